"""Records the outcomes of attempts: latency, the health of servers, and occupancy."""

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import AttemptEnded, AttemptResult, HealthDigest, LoadReport
from thistletrail.policy.health_gossip import HealthGossip
from thistletrail.policy.outlier_detection import OutlierDetector
from thistletrail.policy.overload_control import OverloadController
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.server_set import ServerSet, is_small_fleet
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import LATENCY_SMOOTHING, TrafficEstimates
from thistletrail.policy.upstream_server import UpstreamServer

AT_CAPACITY_AVOID_US = 300_000  # a server that rejected a request stays full for about a service time
# Bounds on one sample of latency over the class's mean, so that a single outlier counts for little.
MIN_SLOWNESS_SAMPLE = 0.25
MAX_SLOWNESS_SAMPLE = 4.0
BROKEN_ANSWER_RESULTS = (AttemptResult.MALFORMED, AttemptResult.RESET)
NO_HEALTH_SIGNAL_RESULTS = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT, AttemptResult.OWNED_ELSEWHERE)


class OutcomeRecorder:
    """Passes the outcomes of attempts, here and at peers, to the components that use them."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        servers: ServerSet,
        outliers: OutlierDetector,
        overload: OverloadController,
        gossip: HealthGossip,
        traffic: TrafficEstimates,
    ) -> None:
        self.context = context
        self.servers = servers
        self.outliers = outliers
        self.overload = overload
        self.gossip = gossip
        self.traffic = traffic
        self.settles_true_units = settings.settles_true_units
        self.is_small_fleet = is_small_fleet(settings)

    def record(self, request: PendingRequest, server: UpstreamServer, event: AttemptEnded) -> None:
        """Record the result, the latency and the load report of an attempt that ended."""
        if event.report:
            self.record_report(server, event.report)
        # A time-out on a server that answered other requests meanwhile is caused by the request.
        is_slow_request = (
            event.result is AttemptResult.TIMEOUT
            and server.last_success_us >= self.context.now_us - event.latency_us
        )
        latency_ratio = event.latency_us / request.request_class.latency_objective_us
        if event.result is AttemptResult.SUCCESS or is_slow_request:
            self.gossip.record_answer(server.entry.name, latency_ratio)
            self.servers.record_latency_ratio(server, latency_ratio, 1)
        if event.result is AttemptResult.SUCCESS:
            self.record_success(request, server, event)
        if event.result in (AttemptResult.SUCCESS, AttemptResult.TIMEOUT):
            self.overload.record_latency_ratio(min(1.0, latency_ratio))
            self.gossip.record_occupancy(min(1.0, latency_ratio))
        if not is_slow_request:
            self.record_health(server, event)

    def record_report(self, server: UpstreamServer, report: LoadReport) -> None:
        """Record a server's load report.

        Utilization is the occupancy signal of overload control. Servers are compared by the first of
        utilization, requests in flight and queue length that the report has.
        """
        if report.util is not None:
            self.overload.record_utilization(report.util)
        for load in (report.util, report.inflight, report.queue):
            if load is not None:
                self.servers.record_load(server, load)
                return

    def record_success(self, request: PendingRequest, server: UpstreamServer, event: AttemptEnded) -> None:
        """Record the latency of a successful attempt, and settle the units that the request really used."""
        server.last_success_us = self.context.now_us
        mean_us = self.traffic.mean_latency_us[request.arrival.class_index]
        slowness = event.latency_us / max(1.0, mean_us)
        slowness = min(MAX_SLOWNESS_SAMPLE, max(MIN_SLOWNESS_SAMPLE, slowness))
        server.slowness += LATENCY_SMOOTHING * (slowness - server.slowness)
        self.traffic.record_latency(request.arrival.class_index, event.latency_us)
        if self.settles_true_units and event.true_units and request.is_in_quota:
            request.customer.settle(event.true_units - request.arrival.units)

    def record_health(self, server: UpstreamServer, event: AttemptEnded) -> None:
        """Update outlier detection and health gossip by the result of an attempt."""
        now_us = self.context.now_us
        name = server.entry.name
        if event.result is AttemptResult.AT_CAPACITY:
            server.avoid_until_us = max(server.avoid_until_us, now_us + AT_CAPACITY_AVOID_US)
            if not self.is_small_fleet:  # it may be draining already while the endpoint list lags behind
                self.gossip.record_failure(name, now_us, True)
        elif event.result in BROKEN_ANSWER_RESULTS:
            self.outliers.record_broken_answer(server)
        elif event.result is AttemptResult.SUCCESS:
            self.outliers.record_success(server, now_us - event.latency_us)
        elif event.result not in NO_HEALTH_SIGNAL_RESULTS:
            self.gossip.record_failure(name, now_us, event.result is AttemptResult.CONNECT_FAILED)
            self.outliers.record_failure(server)

    def record_digest(self, digest: HealthDigest) -> None:
        """Record a peer's mean occupancy, and its observations of the servers that are known here.

        Latencies always count. For outlier detection, a server with both failures and successes in the digest
        is passed over. Failures alone count at a lower weight than this gateway's own, and successes alone
        count as a single one, unless the server is being avoided.
        """
        self.overload.record_peer_occupancy(digest.occupancy, digest.samples)
        for observation in digest.observations:
            server = self.servers.find_by_fingerprint(observation.server)
            if server is None:
                continue
            successes = observation.successes
            failures = observation.failures
            if successes:
                self.servers.record_latency_ratio(server, observation.latency_ratio, successes)
            if failures and not successes:
                self.outliers.record_peer_failures(server, failures)
            elif successes and not failures and self.context.now_us >= server.avoid_until_us:
                self.outliers.record_success(server)
