"""Expiry of requests that are too late for their latency objective or deadline, and their Retry-After."""

import random

from thistletrail.policy.event_context import TICK_US, EventContext
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.observer import DecisionObserver, RejectReason, WaitReason
from thistletrail.policy.overload_control import OverloadController
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.pending_requests import PendingRequests
from thistletrail.policy.quota_admission import QuotaAdmission
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates

# How many mean latencies must remain before the latency objective, for a request that arrives and for a
# queued one. With a smaller margin, queued requests would all be sent just too late.
NEEDED_LATENCIES_ON_ARRIVAL = 0.5
NEEDED_LATENCIES_IN_QUEUE = 2.0
# Retry-After of an expired request, as a divisor of its latency objective: soon enough for the retry to
# meet the objective.
RETRY_AFTER_DIVISOR = 5
# Width of the jitter on that Retry-After while the fleet recovers from restarts, as a fraction of it.
RECOVERY_RETRY_AFTER_SPREAD = 1.0


class RequestExpiry:
    """Rejects or fails requests that are too late for their latency objective or their deadline."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        generator: random.Random,
        observer: DecisionObserver,
        pending: PendingRequests,
        admission: QuotaAdmission,
        overload: OverloadController,
        servers: ServerSet,
        incarnations: Incarnations,
        traffic: TrafficEstimates,
    ) -> None:
        self.context = context
        self.generator = generator
        self.observer = observer
        self.pending = pending
        self.admission = admission
        self.overload = overload
        self.servers = servers
        self.incarnations = incarnations
        self.traffic = traffic
        self.max_retry_after_us = settings.max_retry_after_us

    def expire_if_too_late(
        self, request: PendingRequest, needed_latencies: float, queue_ahead_us: float = 0.0
    ) -> bool:
        """Reject or fail a request that is too late, and return whether it is finished.

        The request needs `needed_latencies` mean latencies of its class, but no more than half its latency
        objective, after the `queue_ahead_us` that it takes to send those queued ahead of it. If the queue is
        too long, the request is rejected at once, while a retry at another gateway can still meet the
        objective.
        """
        self.observer.on_expiry_check(request, self.wait_reason)
        if not request.is_finished and self.is_too_late(request, needed_latencies, queue_ahead_us):
            self.pending.reject(request, RejectReason.EXPIRED, self.retry_after_us(request))
        return request.is_finished

    def is_too_late(self, request: PendingRequest, needed_latencies: float, queue_ahead_us: float) -> bool:
        """Return whether the request is to be rejected or failed now.

        That is so if the objective is out of reach while the request may be rejected, if no attempt reached a
        server completely and `reject_by_us` is near, or if the deadline is near.
        """
        now_us = self.context.now_us
        mean_us = self.traffic.mean_latency_us[request.arrival.class_index]
        needed_us = (
            min(needed_latencies * mean_us, request.request_class.latency_objective_us / 2) + queue_ahead_us
        )
        if request.may_reject() and now_us + needed_us >= request.objective_at_us:
            return True
        was_never_sent = request.not_sent_count == len(request.attempted_servers)
        if was_never_sent and now_us + TICK_US >= request.reject_by_us:
            return True
        return now_us + 2 * TICK_US >= request.deadline_at_us

    def retry_after_us(self, request: PendingRequest) -> int:
        """Return a short delay if a retry could still meet the objective, else `max_retry_after_us`.

        While the fleet recovers from restarts, the short delay has jitter.
        """
        short_delay_us = request.request_class.latency_objective_us // RETRY_AFTER_DIVISOR
        mean_us = self.traffic.mean_latency_us[request.arrival.class_index]
        if self.context.now_us + short_delay_us + mean_us >= request.objective_at_us:
            return self.max_retry_after_us
        if self.incarnations.is_recovering(self.context.now_us):
            # Clients that were rejected together must not retry together.
            return round(short_delay_us * (1 + RECOVERY_RETRY_AFTER_SPREAD * (self.generator.random() - 0.5)))
        return short_delay_us

    def wait_reason(self, request: PendingRequest) -> WaitReason:
        """Return what a request waits for, for the observer."""
        if request.attempted_servers:
            return WaitReason.NO_SERVER_FOR_RETRY
        if request in self.admission.waiting:
            return WaitReason.QUOTA_ANSWER  # or a lease of units of the quota
        if request.is_finished or not request.is_quota_decided:
            return WaitReason.NOT_ADMITTED
        if not request.is_under_ceiling(self.context.now_us):
            return WaitReason.CEILING
        if self.overload.in_flight >= self.overload.max_in_flight():
            return WaitReason.IN_FLIGHT_LIMIT
        if not self.overload.may_send():
            return WaitReason.OVERLOAD_CONTROL
        return WaitReason.QUEUE if self.servers.available else WaitReason.NO_SERVER
