"""Outlier detection: servers that fail are ejected, and come back by a half-open attempt that succeeds."""

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US
from thistletrail.policy.upstream_server import UpstreamServer

EJECTION_FAILURES = 1.7  # two failures in a row, or a mix with more failures than successes
PEER_FAILURE_WEIGHT = 0.5  # of an own failure: one that a peer reports
BROKEN_ANSWER_WEIGHT = 0.5  # of a failure: a malformed answer or a reset
FIRST_EJECTION_US = MICROSECONDS_PER_SECOND  # the shortest time without a half-open attempt
MAX_EJECTION_US = 8 * MICROSECONDS_PER_SECOND  # the longest one


class OutlierDetector:
    """Ejects servers by the failures that are seen here and reported by peers."""

    def __init__(self, settings: Settings, context: EventContext, servers: ServerSet) -> None:
        self.context = context
        self.servers = servers
        self.warm_up_us = settings.warm_up_us

    def record_success(self, server: UpstreamServer, sent_us: int = NEVER_US) -> None:
        """A success brings an ejected server back, in slow start, if it was sent after the ejection.

        What was sent before is no half-open attempt: a server that drains still answers that.
        """
        server.failures = server.failures / 2
        if server.is_ejected and sent_us >= server.ejected_at_us:
            server.is_ejected = False
            server.backoff_us = 0
            server.failures = 0.0
            half_warm_us = self.context.now_us - self.warm_up_us // 2
            server.warm_up_start_us = max(server.warm_up_start_us, half_warm_us)

    def record_failure(self, server: UpstreamServer, weight: float = 1) -> None:
        """Count a failure of any kind; a server that fails half-open is ejected for twice as long."""
        server.failures += weight
        if server.failures < EJECTION_FAILURES and not server.is_ejected:
            return
        if self.context.now_us < server.avoid_until_us:
            return
        server.backoff_us = min(MAX_EJECTION_US, max(FIRST_EJECTION_US, server.backoff_us * 2))
        server.avoid_until_us = self.context.now_us + server.backoff_us
        server.is_ejected = True
        server.ejected_at_us = self.context.now_us

    def record_broken_answer(self, server: UpstreamServer) -> None:
        """An answer was malformed or a connection was reset, as may happen to any server now and then.

        Only a server that does little else is ejected by it. One that has died refuses new connections.
        """
        self.record_failure(server, BROKEN_ANSWER_WEIGHT)

    def record_peer_failures(self, server: UpstreamServer, failures: int) -> None:
        """Count failures that a peer saw, in part."""
        self.record_failure(server, PEER_FAILURE_WEIGHT * failures)
