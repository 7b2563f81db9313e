"""Outlier detection: failing servers are ejected, and return when a half-open attempt succeeds."""

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US
from thistletrail.policy.upstream_server import UpstreamServer

# Each success halves the count of failures. Two failures in a row reach this threshold, and so do three that
# alternate with successes.
EJECTION_FAILURE_THRESHOLD = 1.7
# Weights relative to a failure that this gateway observed.
PEER_FAILURE_WEIGHT = 0.5
BROKEN_ANSWER_WEIGHT = 0.5  # a malformed answer or a connection reset
# Minimum and maximum time without a half-open attempt; the time doubles with each attempt that fails.
FIRST_EJECTION_US = MICROSECONDS_PER_SECOND
MAX_EJECTION_US = 8 * MICROSECONDS_PER_SECOND


class OutlierDetector:
    """Ejects servers by the failures that this gateway observes and its peers report."""

    def __init__(self, settings: Settings, context: EventContext, servers: ServerSet) -> None:
        self.context = context
        self.servers = servers
        self.warm_up_us = settings.warm_up_us

    def record_success(self, server: UpstreamServer, sent_us: int = NEVER_US) -> None:
        """Record a successful attempt. If it was sent after an ejection, the server returns in slow start.

        An attempt that was sent before the ejection proves nothing, as a draining server still answers it.
        `sent_us` is NEVER_US for a success that a peer reports, which always counts as sent afterwards.
        """
        server.failures = server.failures / 2
        if server.is_ejected and sent_us >= server.ejected_at_us:
            server.is_ejected = False
            server.backoff_us = 0
            server.failures = 0.0
            half_warmed_start_us = self.context.now_us - self.warm_up_us // 2
            server.warm_up_start_us = max(server.warm_up_start_us, half_warmed_start_us)

    def record_failure(self, server: UpstreamServer, weight: float = 1) -> None:
        """Record a failure; a server that fails a half-open attempt is ejected for twice as long.

        Failures of a server that is avoided already are only counted.
        """
        server.failures += weight
        if server.failures < EJECTION_FAILURE_THRESHOLD and not server.is_ejected:
            return
        if self.context.now_us < server.avoid_until_us:
            return
        server.backoff_us = min(MAX_EJECTION_US, max(FIRST_EJECTION_US, server.backoff_us * 2))
        server.avoid_until_us = self.context.now_us + server.backoff_us
        server.is_ejected = True
        server.ejected_at_us = self.context.now_us

    def record_broken_answer(self, server: UpstreamServer) -> None:
        """Record a malformed answer or a connection reset, which any server may produce now and then.

        It counts for less than other failures: only a server that rarely answers otherwise is ejected for
        it. A server whose process has died refuses new connections, which counts in full.
        """
        self.record_failure(server, BROKEN_ANSWER_WEIGHT)

    def record_peer_failures(self, server: UpstreamServer, failures: int) -> None:
        """Record failures that a peer reports, at a lower weight."""
        self.record_failure(server, PEER_FAILURE_WEIGHT * failures)
