"""The pending requests, and their rejection or failure; a request gets exactly one final answer.

The host process gives successful answers to clients itself (see `AttemptEnded.request_ended`).
"""

from collections.abc import Sequence

from thistletrail.policy.actions import CancelAttempt, FailRequest, RejectRequest
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.observer import DecisionObserver, RejectReason
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.settings import Settings
from thistletrail.policy.units import NEVER_US


class PendingRequests:
    """Requests by id, from arrival until they are finished and have no attempt in flight."""

    def __init__(self, settings: Settings, context: EventContext, observer: DecisionObserver) -> None:
        self.context = context
        self.observer = observer
        self.max_retry_after_us = settings.max_retry_after_us
        self.may_cancel = settings.may_cancel
        self.by_id: dict[str, PendingRequest] = {}

    def add(self, request: PendingRequest) -> None:
        """Add a request that has arrived."""
        self.by_id[request.arrival.id] = request

    def reject(self, request: PendingRequest, reason: RejectReason, retry_after_us: int = NEVER_US) -> None:
        """Reject a request, or fail it if it may have run and must not be repeated.

        A rejection advises the client to retry after `retry_after_us`, but no more than `max_retry_after_us`,
        which is also the default.
        """
        self.observer.on_reject(request, reason)
        if request.may_reject():
            wait_us = min(retry_after_us, self.max_retry_after_us)
            self.context.emit(RejectRequest(request.arrival.id, wait_us))
        else:
            self.context.emit(FailRequest(request.arrival.id))
        self.finish(request)

    def finish(self, request: PendingRequest) -> None:
        """Finish a request: refund its units if nothing was attempted, and cancel its attempts in flight.

        Attempts are not cancelled if the settings forbid it or the answer is streamed. A request that was
        finished before is only removed, once its last attempt has ended.
        """
        was_finished = request.is_finished
        if request.is_in_quota and not request.attempted_servers and not was_finished:
            request.customer.spend_locally(-request.arrival.units)
        request.is_finished = True
        if self.may_cancel and not was_finished and not request.request_class.streamed:
            for attempt in request.in_flight:
                self.context.emit(CancelAttempt(request.arrival.id, attempt))
        if not request.in_flight:
            self.by_id.pop(request.arrival.id, None)

    def overdue_latency_ratios(self, mean_latency_us: Sequence[float]) -> list[float]:
        """Return the age over the latency objective, at most 1, of attempts slower than their class's mean.

        `mean_latency_us` is the mean latency by class index; only attempts in flight are considered.
        """
        ratios: list[float] = []
        for request in self.by_id.values():
            mean_us = mean_latency_us[request.arrival.class_index]
            for sent_us in request.in_flight.values():
                age_us = self.context.now_us - sent_us
                if age_us > mean_us:
                    ratios.append(min(1.0, age_us / request.request_class.latency_objective_us))
        return ratios
