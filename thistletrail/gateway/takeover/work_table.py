"""The work items of a gateway: lookup, and the ways in which an item ends at this gateway."""

from __future__ import annotations

import logging

from thistletrail.gateway.client_connection import FAILED_RESPONSE
from thistletrail.gateway.exchange import EventSink
from thistletrail.gateway.takeover.client import WorkLeaseClient
from thistletrail.gateway.takeover.counts import TakeoverCounts
from thistletrail.gateway.takeover.host import Requests
from thistletrail.gateway.takeover.work_item import WorkItem
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.messages import WORK_LEASE_MS
from thistletrail.policy.actions import FailRequest, RejectRequest
from thistletrail.policy.events import AttemptEnded, AttemptResult, ClientDisconnected

log = logging.getLogger(__name__)

# Sent to clients. After one work lease the work has no owner, has been taken over or has ended.
RETRY_AFTER_US = WORK_LEASE_MS * 1000


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

    def withdraw_begin(self, item: WorkItem) -> None:
        """Withdraw a `BeginWork` that has no result yet, if there is one."""
        if item.pending_begin is None:
            return
        self.holder.withdraw(item.name)
        item.pending_begin = None
        self.remove_name(item)

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

    def reject(self, item: WorkItem) -> None:
        """Reject the request; its client is to retry after `RETRY_AFTER_US`."""
        self.withdraw_begin(item)
        self.forget(item)
        self.requests.reject(RejectRequest(item.request_id, RETRY_AFTER_US))

    def release(self, request_id: str, was_rejected: bool = False) -> None:
        """Release the work of a request that the policy or its client has ended.

        Another gateway is to continue it only if two conditions hold: the policy rejected it here; and it was
        transferred from another gateway, or a drain of this one ends no later than its deadline.
        """
        item = self.by_request_id.get(request_id)
        if item is None or item.is_over:
            return
        self.withdraw_begin(item)
        is_limited_by_drain = self.requests.drain_end_us <= item.exchange.deadline.end_us
        is_to_be_transferred = was_rejected and (item.is_transferred or is_limited_by_drain)
        self.counts.released += self.is_leased(item)
        self.holder.release(item.name, transfer=is_to_be_transferred, never_ran=item.has_never_run)
        self.client.wake()
        self.forget(item)

    def release_unfinished(self) -> None:
        """Release all work without an outcome, so that other gateways continue it."""
        for item in list(self.by_request_id.values()):
            self.release_for_transfer(item)

    def release_for_transfer(self, item: WorkItem) -> None:
        """Release unfinished work so that another gateway continues it, and reject its request.

        The client is to retry after `RETRY_AFTER_US`. The policy, which has not ended the request, drops it
        on `ClientDisconnected`.
        """
        if item.is_over or item.pending_response is not None or not self.is_leased(item):
            return
        self.holder.release(item.name, transfer=True, never_ran=item.has_never_run)
        self.counts.released += 1
        self.client.wake()
        self.forget(item)
        self.requests.reject(RejectRequest(item.request_id, RETRY_AFTER_US))
        self.events.post(ClientDisconnected(item.request_id))
