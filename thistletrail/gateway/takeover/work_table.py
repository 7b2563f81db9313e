"""The work items of a gateway: lookup, and the ways in which an item ends at this gateway."""

from __future__ import annotations

import logging

from thistletrail.gateway.backends import now_us
from thistletrail.gateway.client_connection import FAILED_RESPONSE
from thistletrail.gateway.exchange import EventSink
from thistletrail.gateway.takeover.client import WorkLeaseClient
from thistletrail.gateway.takeover.counts import TakeoverCounts
from thistletrail.gateway.takeover.host import Requests
from thistletrail.gateway.takeover.work_item import WorkItem
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.messages import WORK_LEASE_MS, BeginWork, OperationResult, OperationStatus
from thistletrail.policy.actions import FailRequest, RejectRequest
from thistletrail.policy.events import AttemptEnded, AttemptResult

log = logging.getLogger(__name__)

# Sent to clients. After one work lease the work has no owner, has been taken over or has ended.
RETRY_AFTER_US = WORK_LEASE_MS * 1000
# How long a rejection waits until the record of its request is withdrawn; then the request fails.
WITHDRAWAL_TIMEOUT_S = 0.15


class WorkTable:
    """All work items that are not over, by request id and, once their record is queued, also by work name."""

    def __init__(
        self, client: WorkLeaseClient, requests: Requests, events: EventSink, counts: TakeoverCounts
    ) -> None:
        self.client = client
        self.holder = client.holder
        self.requests = requests
        self.events = events
        self.counts = counts
        self.by_request_id: dict[str, WorkItem] = {}
        self.by_name: dict[str, WorkItem] = {}
        self.waiting_count = 0  # number of items that wait for another owner's outcome

    def add(self, item: WorkItem) -> None:
        """Add a new item by its request id."""
        self.by_request_id[item.request_id] = item

    def is_leased(self, item: WorkItem) -> bool:
        """Return whether this gateway owns the item now, so that it may send, answer or complete it."""
        return self.holder.owns(item.name, item.fence, now_ms())

    # --- withdrawal ---

    def withdraw_attempt(self, item: WorkItem) -> None:
        """End the pending attempt and have the policy finish the request, without answering its client.

        The policy is told that the work is owned elsewhere; this is also used if the work has ended.
        """
        attempt = item.pending_attempt
        item.pending_attempt = None
        if attempt is None or attempt.is_over:
            return
        attempt.end_without_callback()
        item.exchange.in_flight.pop(attempt.number, None)
        self.events.post(
            AttemptEnded(
                attempt.request_id, True, attempt.number, attempt.server, AttemptResult.OWNED_ELSEWHERE, 0
            )
        )

    def set_pending_begin(self, item: WorkItem, begin: BeginWork) -> None:
        """Note that a `BeginWork` is queued, under whose name its result finds the item."""
        self.by_name[item.name] = item
        item.pending_begin = begin
        item.exchange.is_recorded = True

    def remove_name(self, item: WorkItem) -> None:
        """Remove the item from `by_name`, so that another request can use the name."""
        if self.by_name.get(item.name) is item:
            del self.by_name[item.name]

    def stop_waiting(self, item: WorkItem) -> None:
        """Stop waiting for another owner's outcome; no effect on an item that does not wait."""
        if item.wait_until_ms:
            self.waiting_count -= 1
            item.wait_until_ms = 0

    # --- end of an item ---

    def forget(self, item: WorkItem) -> None:
        """Mark the item as over and remove it; later results and events for it are ignored."""
        item.is_over = True
        item.stop_timer()
        self.stop_waiting(item)
        self.remove_name(item)
        self.by_request_id.pop(item.request_id, None)

    def complete(self, item: WorkItem, response: bytes) -> None:
        """Forget the item and answer its request with `response`."""
        self.forget(item)
        if response is FAILED_RESPONSE:
            self.requests.fail(FailRequest(item.request_id))
        else:
            self.requests.serve(item.request_id, response)

    def answer_pending_response(self, item: WorkItem) -> None:
        """Answer with the pending response if this gateway still owns the work; otherwise abandon it."""
        if item.pending_response is None or item.is_over:
            return
        if self.is_leased(item):
            self.holder.forget(item.name)
            self.complete(item, item.pending_response)
        else:
            self.abandon_lost(item)

    def abandon_lost(self, item: WorkItem) -> None:
        """Cancel the attempts of work that this gateway no longer owns, and fail its request.

        Another gateway may own the work, so answers of these attempts must not reach the client.
        """
        if item.is_over:
            return
        self.counts.lost += 1
        self.holder.forget(item.name)
        log.warning("request %s is no longer this gateway's to answer", item.exchange.command.id)
        for attempt in list(item.exchange.in_flight.values()):
            attempt.cancel()
        self.forget(item)
        self.requests.fail_after_fault(item.request_id)

    def release(self, request_id: str) -> None:
        """Release the work of a request that has failed, or whose client has disconnected."""
        item = self.by_request_id.get(request_id)
        if item is None or item.is_over:
            return
        if item.pending_rejection is None:
            self.withdraw_record(item)
        self.forget(item)

    def release_unfinished(self) -> None:
        """Release all work without an outcome at the end of a drain."""
        for item in list(self.by_request_id.values()):
            if item.pending_response is None and item.pending_rejection is None and self.is_leased(item):
                self.release_at_drain_end(item)

    def release_at_drain_end(self, item: WorkItem) -> None:
        """Release unfinished work, and end its request, which the policy has not ended.

        Another gateway continues work that may have run, or that a client no longer waits for here. The
        request of such work fails, as a rejection would promise that it has no effect. The request of any
        other work is rejected.
        """
        if item.has_never_run and not item.is_transferred:
            self.withdraw_attempt(item)
            self.requests.drop_from_policy(item.request_id)
            self.reject(item)
        else:
            self.release_for_transfer(item)
            self.requests.fail_after_fault(item.request_id)

    def release_for_transfer(self, item: WorkItem) -> None:
        """Release work so that another gateway continues it."""
        self.counts.released += self.is_leased(item)
        self.holder.release(item.name, transfer=True, never_ran=item.has_never_run)
        self.client.wake()
        self.forget(item)

    # --- rejection ---

    def reject(self, item: WorkItem) -> None:
        """Reject the request once its record is withdrawn; its client is to retry after `RETRY_AFTER_US`."""
        self.requests.reject(RejectRequest(item.request_id, RETRY_AFTER_US))

    def withdraw_rejected(self, action: RejectRequest) -> bool:
        """Withdraw the record of a rejected request, and answer it later.

        The request is rejected once the lease service has confirmed that no gateway will run it. If that is
        not confirmed within `WITHDRAWAL_TIMEOUT_S` and the deadline, or the lease service is unreachable, the
        request fails: it may still be run, if this gateway is lost.

        Returns:
            False if there is nothing to wait for: the caller rejects the request at once. Then nothing of it
            is recorded, or its work was transferred to this gateway, so that no client is answered.
        """
        item = self.by_request_id.get(action.id)
        if item is None or item.is_over:
            return False
        if item.pending_rejection is not None:
            return True
        if item.is_transferred:
            self.release_for_transfer(item)
            return False
        self.stop_waiting(item)
        if self.withdraw_record(item):
            self.forget(item)
            return False
        item.pending_rejection = action
        if item.may_run_elsewhere or self.client.is_unreachable:
            self.fail_rejected(item)
        else:
            remaining_s = item.exchange.deadline.remaining_us(now_us()) / 1e6
            item.start_timer(min(WITHDRAWAL_TIMEOUT_S, remaining_s), self.fail_rejected, item)
        return True

    def withdraw_record(self, item: WorkItem) -> bool:
        """Withdraw the item's record; return whether no gateway can run the item for its request now.

        An unconfirmed `BeginWork` stays the item's `pending_begin`, so that its result finds the item.
        """
        if item.pending_begin is not None:
            was_never_sent = self.holder.withdraw(item.pending_begin)
            item.exchange.is_recorded = item.may_run_elsewhere or not was_never_sent
        elif item.fence:
            self.counts.released += self.is_leased(item)
            self.holder.release(item.name, never_ran=item.has_never_run)
            self.client.wake()
        return not item.exchange.is_recorded

    def on_withdrawn_begin(self, item: WorkItem, result: OperationResult) -> None:
        """Handle the result of a withdrawn `BeginWork`; the holder releases an item that it has recorded."""
        item.fence = result.fence
        if item.may_run_elsewhere:
            self.fail_rejected(item)
        elif result.status is not OperationStatus.PERSISTED:
            self.confirm_rejection(item)

    def on_released(self, item: WorkItem, result: OperationResult) -> None:
        """Handle the result of a release, for which the item's rejection waits."""
        if result.status is OperationStatus.PERSISTED:
            self.confirm_rejection(item)
        else:
            self.fail_rejected(item)

    def confirm_rejection(self, item: WorkItem) -> None:
        """Reject a request whose record is withdrawn."""
        action = item.pending_rejection
        if action is not None and not item.is_over:
            item.exchange.is_recorded = False
            self.forget(item)
            self.requests.reject(action)

    def fail_rejected(self, item: WorkItem) -> None:
        """Fail a request that was to be rejected, as its record may still exist."""
        if item.pending_rejection is None or item.is_over:
            return
        self.counts.unconfirmed += 1
        self.forget(item)
        self.requests.fail(FailRequest(item.request_id))
