"""The loads of the benchmarks: number and rate of requests, and the fleet of stub scan servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Load:
    """A load. Requests are sent at random intervals, whether or not earlier ones have been answered."""

    name: str
    description: str
    requests: int  # in total
    rate: float  # requests per second
    pipelined: int = 1  # requests written at once on one connection
    idle: int = 0  # connections that send one request before the load and then stay open
    servers: int = 8  # stub scan servers
    max_concurrent: int = 4  # requests that a scan server works on at once; others are queued
    max_queued: int = 16  # requests queued at a scan server; more are rejected
    work_ms: float = 8.0  # mean time for which a scan server works on a request
    replace_every_s: float = 0.0  # interval at which a scan server is replaced; 0: never

    @property
    def capacity(self) -> float:
        """The requests per second that the scan servers can serve."""
        return self.servers * self.max_concurrent * 1000 / self.work_ms


LOADS = {
    load.name: load
    for load in (
        Load("steady", "one request at a time on each connection", requests=2000, rate=400),
        Load("thin", "a low rate, as at one gateway of a large fleet", requests=400, rate=40),
        Load(
            "idle",
            "as `steady`, with many idle connections in addition",
            requests=2000,
            rate=400,
            idle=500,
        ),
        Load(
            "pipelined",
            "eight requests written at once on each connection",
            requests=2000,
            rate=400,
            pipelined=8,
        ),
        Load(
            "overload",
            "1.5 times the capacity of the scan servers",
            requests=2000,
            rate=600,
            max_concurrent=1,
            max_queued=8,
            work_ms=20.0,
        ),
        Load(
            "wide",
            "few requests, spread over the 200 scan servers of a large fleet",
            requests=2000,
            rate=400,
            servers=200,
        ),
        Load(
            "churn", "scan servers are replaced continuously", requests=2000, rate=400, replace_every_s=0.25
        ),
    )
}
