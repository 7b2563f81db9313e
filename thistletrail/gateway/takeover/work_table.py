"""The work items of a gateway, and the ways in which one of them ends here."""

from __future__ import annotations

import logging

from thistletrail.gateway.clients import FAILED_RESPONSE
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

RETRY_AFTER_US = WORK_LEASE_MS * 1000  # told to clients: by then the work is free, taken over or has ended


class WorkTable:
    """All work items that are not over, by the request's id and, once recorded, by the work's name."""

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
        self.waiting_count = 0  # items that wait for another gateway's outcome

    def add(self, item: WorkItem) -> None:
        """SnapshotStore a new item."""
        self.by_request_id[item.request_id] = item

    def is_leased(self, item: WorkItem) -> bool:
        """Whether the lease allows to write, answer or end the work now."""
        return self.holder.owns(item.name, item.fence, now_ms())

    # --- steps back ---

    def withdraw_begin(self, item: WorkItem) -> None:
        """Take back a begin that is not answered yet."""
        if item.pending_begin is None:
            return
        self.holder.withdraw(item.name)
        item.pending_begin = None
        self.remove_name(item)

    def withdraw_attempt(self, item: WorkItem) -> None:
        """Tell the policy that the pending attempt is not made here, as the work is another gateway's."""
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
        """Let another request have the work's name."""
        if self.by_name.get(item.name) is item:
            del self.by_name[item.name]

    def stop_waiting(self, item: WorkItem) -> None:
        """Wait for another gateway's outcome no longer."""
        if item.wait_until_ms:
            self.waiting_count -= 1
            item.wait_until_ms = 0

    # --- ends ---

    def forget(self, item: WorkItem) -> None:
        """The item is over; whatever still comes for it is ignored."""
        item.is_over = True
        item.stop_timer()
        self.stop_waiting(item)
        self.remove_name(item)
        self.by_request_id.pop(item.request_id, None)

    def complete(self, item: WorkItem, response: bytes) -> None:
        """Answer, and forget the item."""
        self.forget(item)
        if response is FAILED_RESPONSE:
            self.requests.fail(FailRequest(item.request_id))
        else:
            self.requests.serve(item.request_id, response)

    def answer_pending_response(self, item: WorkItem) -> None:
        """Answer with the response that waited to be recorded, if the work is still ours."""
        if item.pending_response is None or item.is_over:
            return
        if self.is_leased(item):
            self.holder.forget(item.name)
            self.complete(item, item.pending_response)
        else:
            self.lose(item)

    def lose(self, item: WorkItem) -> None:
        """The work is another gateway's: attempts in flight here are of no use, and must not be answered."""
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
        """Tell the client when to come back for the outcome."""
        self.withdraw_begin(item)
        self.forget(item)
        self.requests.reject(RejectRequest(item.request_id, RETRY_AFTER_US))

    def release(self, request_id: str, was_rejected: bool = False) -> None:
        """The policy or the client has ended a request: another gateway may continue where that is of use."""
        item = self.by_request_id.get(request_id)
        if item is None or item.is_over:
            return
        self.withdraw_begin(item)
        is_draining = self.requests.drain_end_us <= item.exchange.deadline.end_us
        to_be_continued = was_rejected and (item.is_transferred or is_draining)
        self.counts.released += self.is_leased(item)
        self.holder.release(item.name, transfer=to_be_continued, never_ran=item.has_never_run)
        self.client.wake()
        self.forget(item)

    def release_unfinished(self) -> None:
        """Have other gateways continue all work that has no outcome yet."""
        for item in list(self.by_request_id.values()):
            self.release_to_others(item)

    def release_to_others(self, item: WorkItem) -> None:
        """Have another gateway continue what a drain will not see the end of; the client is to retry."""
        if item.is_over or item.pending_response is not None or not self.is_leased(item):
            return
        self.holder.release(item.name, transfer=True, never_ran=item.has_never_run)
        self.counts.released += 1
        self.client.wake()
        self.forget(item)
        self.requests.reject(RejectRequest(item.request_id, RETRY_AFTER_US))
        self.events.post(ClientDisconnected(item.request_id))
