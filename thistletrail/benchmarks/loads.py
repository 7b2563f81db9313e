"""The loads of the cost runs: what is asked, of what fleet, at which rate."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Load:
    """A bounded load. Requests come open-loop, at gaps drawn from the seed."""

    name: str
    description: str
    requests: int
    rate: float  # requests a second
    pipelined: int = 1  # written at once on one connection
    idle: int = 0  # connections that have asked once and stay
    servers: int = 8
    max_concurrent: int = 4  # requests that a scan server works on at once
    max_queued: int = 16  # and that wait there; more are turned away
    work_ms: float = 8.0  # the mean of a request's work
    replace_every_s: float = 0.0  # a scan server is drained and a new one comes; 0: never

    @property
    def capacity(self) -> float:
        """Requests a second that the scan servers can do."""
        return self.servers * self.max_concurrent * 1000 / self.work_ms


LOADS = {
    load.name: load
    for load in (
        Load("steady", "one request at a time on each connection", requests=2000, rate=400),
        Load("thin", "as few as a front door of a large fleet sees", requests=400, rate=40),
        Load(
            "idle",
            "the same, beside many connections that have gone quiet",
            requests=2000,
            rate=400,
            idle=500,
        ),
        Load("pipelined", "eight commands written at once", requests=2000, rate=400, pipelined=8),
        Load(
            "overload",
            "half as much again as the scan servers can do",
            requests=2000,
            rate=600,
            max_concurrent=1,
            max_queued=8,
            work_ms=20.0,
        ),
        Load(
            "wide",
            "few requests, spread over the scan servers of the whole fleet",
            requests=2000,
            rate=400,
            servers=200,
        ),
        Load(
            "churn", "scan servers are replaced all the time", requests=2000, rate=400, replace_every_s=0.25
        ),
    )
}
