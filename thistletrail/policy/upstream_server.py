"""The state of one upstream server at this gateway: load, latency, and whether it is ejected."""

from thistletrail.policy.events import Server
from thistletrail.policy.health_gossip import fingerprint


class UpstreamServer:
    """A server of the endpoint list with its observed state; compared by identity.

    `is_ejected` is true from the ejection until an attempt that was sent after it succeeds, or a peer reports
    a success. Half-open attempts are allowed from `avoid_until_us` on. A server that rejected an attempt at
    capacity is avoided until `avoid_until_us` as well, but not ejected for it.
    """

    __slots__ = (
        "avoid_until_us",
        "backoff_us",
        "connections",
        "ejected_at_us",
        "entry",
        "failures",
        "fingerprint",
        "in_flight",
        "is_ejected",
        "last_success_us",
        "latency_ratio",
        "next_attempt_us",
        "reported_load",
        "reported_load_at_us",
        "slowness",
        "warm_up_start_us",
    )

    def __init__(self, entry: Server, latency_ratio: float = 0.0) -> None:
        """`latency_ratio` is the assumed latency over the objective until there are answers."""
        self.entry = entry
        self.fingerprint = fingerprint(entry.name)
        self.in_flight: dict[tuple[str, int], int] = {}  # send time in us, by request and attempt number
        self.connections = 0  # estimate of open ones: the maximum in flight at once, less those that broke
        self.next_attempt_us = 0  # in slow start, time of the next permitted attempt

        self.last_success_us = 0
        self.slowness = 1.0  # this gateway's mean latency, over the mean of the request's class
        self.latency_ratio = latency_ratio  # mean latency over the objective, at all gateways
        self.reported_load: float | None = None  # None until the server reports its load
        self.reported_load_at_us = 0

        self.failures = 0.0  # recent failures, halved by each success
        self.is_ejected = False
        self.ejected_at_us = 0
        self.avoid_until_us = 0
        self.backoff_us = 0  # time from the last failure that ejected it to the next half-open attempt
        # Start of the server's process; after an ejection, half a warm-up before its return if that is later.
        self.warm_up_start_us = entry.started_us

    def add_attempt(self, request_id: str, number: int, sent_us: int) -> None:
        """Add an attempt in flight, which uses a connection of its own."""
        self.in_flight[(request_id, number)] = sent_us
        self.connections = max(self.connections, len(self.in_flight))

    def remove_attempt(self, request_id: str, number: int, is_connection_broken: bool) -> None:
        """Remove an attempt in flight; its connection stays open unless it broke."""
        del self.in_flight[(request_id, number)]
        if is_connection_broken and self.connections > 0:
            self.connections -= 1
