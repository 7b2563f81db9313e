"""Which requests are given up, as they can no longer be served in time, and when their clients may retry."""

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

# Mean latencies that must be left, of a request that arrives and of a queued one: else all that is queued
# would leave just too late.
NEEDED_ON_ARRIVAL = 0.5
NEEDED_IN_QUEUE = 2.0
# When the client of a request that overload control keeps out should retry, as a part of its objective: soon
# enough to be served in time.
RETRY_AFTER_DIVISOR = 5
RECOVERY_SPREAD = 1.0  # the part of that time over which clients are spread after restarts


class RequestExpiry:
    """Gives up requests that are out of time."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        draws: random.Random,
        observer: DecisionObserver,
        pending: PendingRequests,
        admission: QuotaAdmission,
        overload: OverloadController,
        servers: ServerSet,
        incarnations: Incarnations,
        traffic: TrafficEstimates,
    ) -> None:
        self.context = context
        self.draws = draws
        self.observer = observer
        self.pending = pending
        self.admission = admission
        self.overload = overload
        self.servers = servers
        self.incarnations = incarnations
        self.traffic = traffic
        self.max_retry_after_us = settings.max_retry_after_us

    def give_up_if_late(self, request: PendingRequest, needed_means: float, ahead_us: float = 0.0) -> bool:
        """Reject a request that is out of time; whether it is finished, by this or before.

        It needs so many mean latencies, after the `ahead_us` that those queued ahead of it take. Where these
        take too long that is known at once, and its client may still come in time to where there is room.
        """
        self.observer.on_expiry_check(request, self.wait_reason)
        if not request.is_finished and self.is_too_late(request, needed_means, ahead_us):
            self.pending.reject(request, RejectReason.EXPIRED, self.retry_after_us(request))
        return request.is_finished

    def is_too_late(self, request: PendingRequest, needed_means: float, ahead_us: float) -> bool:
        """Whether its objective is out of reach, or its time to be rejected in is nearly over."""
        now_us = self.context.now_us
        mean_us = self.traffic.mean_latency_us[request.arrival.class_index]
        needed_us = min(needed_means * mean_us, request.request_class.latency_objective_us / 2) + ahead_us
        if request.may_reject() and now_us + needed_us >= request.objective_at_us:
            return True
        is_nothing_sent = request.not_sent_count == len(request.attempted_servers)
        if is_nothing_sent and now_us + TICK_US >= request.reject_by_us:
            return True
        return now_us + 2 * TICK_US >= request.deadline_at_us

    def retry_after_us(self, request: PendingRequest) -> int:
        """Soon where the client could still be served in time, else as late as it will wait."""
        soon_us = request.request_class.latency_objective_us // RETRY_AFTER_DIVISOR
        mean_us = self.traffic.mean_latency_us[request.arrival.class_index]
        if self.context.now_us + soon_us + mean_us >= request.objective_at_us:
            return self.max_retry_after_us
        if self.incarnations.is_recovering(self.context.now_us):
            # Rejected together, they must not come back together.
            return round(soon_us * (1 + RECOVERY_SPREAD * (self.draws.random() - 0.5)))
        return soon_us

    def wait_reason(self, request: PendingRequest) -> WaitReason:
        """What a request waits for, for observers."""
        if request.attempted_servers:
            return WaitReason.NO_SERVER_FOR_RETRY
        if request in self.admission.waiting:
            return WaitReason.QUOTA_ANSWER
        if request.is_finished or not request.is_quota_decided:
            return WaitReason.NOT_ADMITTED
        if not request.is_under_ceiling(self.context.now_us):
            return WaitReason.CEILING
        if self.overload.in_flight >= self.overload.max_in_flight():
            return WaitReason.IN_FLIGHT_LIMIT
        if not self.overload.may_send():
            return WaitReason.OVERLOAD_CONTROL
        return WaitReason.QUEUE if self.servers.available else WaitReason.NO_SERVER
