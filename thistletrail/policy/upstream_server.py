"""What is known here of one upstream server: its load, its latency, and whether it is ejected."""

from thistletrail.policy.events import Server
from thistletrail.policy.health_gossip import fingerprint


class UpstreamServer:
    """A server of the endpoint list with what was observed of it; compared by identity.

    `is_ejected` holds from the ejection until a half-open attempt succeeds; such attempts are allowed from
    `avoid_until_us` on.
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
        """`latency_ratio` is assumed until there are answers."""
        self.entry = entry
        self.fingerprint = fingerprint(entry.name)
        self.in_flight: dict[tuple[str, int], int] = {}  # by request and attempt number: when it was sent
        self.connections = 0  # that should be open: the most in flight at once, less those that broke
        self.next_attempt_us = 0  # in slow start, the attempt after the last one waits until then

        self.last_success_us = 0
        self.slowness = 1.0  # mean latency here over the mean of the request's class
        self.latency_ratio = latency_ratio  # mean latency over the objective, over all gateways
        self.reported_load: float | None = None
        self.reported_load_at_us = 0

        self.failures = 0.0  # recent failures, halved by each success
        self.is_ejected = False
        self.ejected_at_us = 0
        self.avoid_until_us = 0
        self.backoff_us = 0
        self.warm_up_start_us = entry.started_us  # the process's start, or the return from ejection

    def add_attempt(self, request_id: str, number: int, sent_us: int) -> None:
        """An attempt is in flight here, on a connection of its own."""
        self.in_flight[(request_id, number)] = sent_us
        self.connections = max(self.connections, len(self.in_flight))

    def remove_attempt(self, request_id: str, number: int, is_connection_broken: bool) -> None:
        """An attempt is no longer in flight; its connection stays open unless it broke."""
        del self.in_flight[(request_id, number)]
        if is_connection_broken and self.connections > 0:
            self.connections -= 1
