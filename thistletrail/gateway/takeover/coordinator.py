"""Records requests, attempts and outcomes at the lease service, and stops work whose lease has ended."""

from __future__ import annotations

import asyncio
import logging
import random

from thistletrail.gateway.backends import Attempt, now_us
from thistletrail.gateway.client_connection import FAILED_RESPONSE
from thistletrail.gateway.command_parser import CommandParser
from thistletrail.gateway.config import Config
from thistletrail.gateway.deadline import DeadlineSource
from thistletrail.gateway.exchange import AttemptSender, EventSink, Exchange
from thistletrail.gateway.takeover.client import WorkLeaseClient
from thistletrail.gateway.takeover.counts import TakeoverCounts
from thistletrail.gateway.takeover.host import Requests, ServerDirectory
from thistletrail.gateway.takeover.messages import (
    attempt_message,
    begin_message,
    new_work_item,
    place_of_server,
)
from thistletrail.gateway.takeover.ownership_wait import OwnershipWait
from thistletrail.gateway.takeover.work_item import WorkItem
from thistletrail.gateway.takeover.work_table import WorkTable
from thistletrail.gateway.takeover.work_transfer import WorkTransfer
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.messages import (
    AttemptWork,
    BeginWork,
    CompleteWork,
    OperationResult,
    OperationStatus,
    ReleaseWork,
    WorkOperation,
    WorkResponse,
)
from thistletrail.leasing.work_holder import AppliedOperation, WorkHolder
from thistletrail.policy.actions import RejectRequest
from thistletrail.policy.events import AttemptResult

log = logging.getLogger(__name__)

LEASE_CHECK_INTERVAL_S = 0.05
# How long an attempt waits for its record. The lease service syncs each record to disk, which takes some
# milliseconds; latency objectives are 400 ms or more.
RECORD_TIMEOUT_S = 0.15
OUTCOME_TIMEOUT_S = 0.25  # after it the client is answered although the outcome may not be recorded
RELEASE_BEFORE_DRAIN_END_US = 200_000  # unfinished requests are then released to other gateways
CONFLICTING_KEY_RESPONSE = b"-ERR this key stands for another request\r\n"
# The policy's `NEVER_RAN_RESULTS` without `OWNED_ELSEWHERE`, which only `WorkTable.withdraw_attempt` reports.
PROVEN_NOT_RUN_RESULTS = (AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT, AttemptResult.AT_CAPACITY)


class TakeoverCoordinator:
    """Coordinates the work leases of one gateway process.

    It records requests, attempts and outcomes, and handles the results of these operations. It gives up work
    items when the lease ends, and releases unfinished ones at the end of a drain.
    """

    def __init__(
        self,
        config: Config,
        requests: Requests,
        events: EventSink,
        attempts: AttemptSender,
        parser: CommandParser,
        directory: ServerDirectory,
    ) -> None:
        self.recorded_classes = config.work_leases.classes
        self.requests = requests
        self.attempts = attempts
        self.directory = directory
        self.counts = TakeoverCounts()
        self.holder = WorkHolder(config.settings.gateway_index, now_ms())
        rng = random.Random(config.settings.seed)
        self.client = WorkLeaseClient(
            config.work_leases.addresses, config.work_leases.secret, self.holder, rng, self
        )
        self.table = WorkTable(self.client, requests, events, self.counts)
        self.ownership_wait = OwnershipWait(self.table, self.client, rng, RECORD_TIMEOUT_S)
        self.transfer = WorkTransfer(self.table, self.client, requests, events, parser, directory)

    # --- lifecycle ---

    async def run(self) -> None:
        """Renew and check the lease until cancelled."""
        check_task = asyncio.get_running_loop().create_task(self.check_periodically())
        try:
            await self.client.run()
        finally:
            check_task.cancel()

    async def check_periodically(self) -> None:
        """Check the lease periodically; shortly before the end of a drain, also release unfinished work."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.check_lease()
            if self.requests.drain_end_us - now_us() < RELEASE_BEFORE_DRAIN_END_US:
                self.release_unfinished()

    def check_lease(self) -> None:
        """Give up all work items if the lease has ended."""
        for name in self.holder.drop_expired(now_ms()):
            if item := self.table.by_name.get(name):
                self.table.abandon_lost(item)

    def start_draining(self) -> None:
        """Ask the lease service to transfer no more work to this gateway."""
        self.holder.is_draining = True
        self.client.wake()

    def release_unfinished(self) -> None:
        """Release all work without an outcome, so that other gateways continue it."""
        self.table.release_unfinished()

    async def close(self) -> None:
        """Log the counts at the end of a drain, and wait for a limited time for queued operations."""
        log.info("work leases: %s", self.counts.format_line())
        await self.client.flush()

    # --- responses of the lease service ---

    def on_response(self, response: WorkResponse) -> None:
        """Renew the lease, handle the result of each operation, and continue transferred work."""
        self.check_lease()
        applied_response = self.holder.on_response(response, now_ms())
        for applied in applied_response.operations:
            self.on_result(applied)
        for work in applied_response.transferred:
            self.transfer.accept(work)

    def on_batch_not_persisted(self, begins: list[AppliedOperation]) -> None:
        """Handle the results of `begins`, whose batch the lease service could not persist."""
        for applied in begins:
            self.on_result(applied)

    def on_result(self, applied: AppliedOperation) -> None:
        """Handle the result of one operation; the result of one under an earlier fence has no effect."""
        operation = applied.operation
        result = applied.result
        if isinstance(operation, BeginWork):
            self.on_begin_result(operation, applied)
            return
        item = self.table.by_name.get(operation.name)
        if item is None or item.fence != operation.fence:
            return
        if isinstance(operation, ReleaseWork):
            self.table.on_released(item, result)
        elif result.status == OperationStatus.LOST:
            self.table.abandon_lost(item)
        elif isinstance(operation, AttemptWork) and operation.number == item.attempt_number:
            self.send_attempt(item)
        elif isinstance(operation, CompleteWork):
            self.table.answer_pending_response(item)

    def on_begin_result(self, begin: BeginWork, applied: AppliedOperation) -> None:
        """Handle the result of recording a request; that of a request which is over has no effect."""
        item = self.table.by_name.get(begin.name)
        if item is None or item.pending_begin is None or item.pending_begin.request_id != begin.request_id:
            return
        result = applied.result
        item.pending_begin = None
        item.may_run_elsewhere |= applied.may_run_elsewhere
        is_persisted = result.status is OperationStatus.PERSISTED
        item.exchange.is_recorded = is_persisted or item.may_run_elsewhere
        if applied.is_withdrawn:
            self.table.on_withdrawn_begin(item, result)
            return
        item.stop_timer()
        if result.status == OperationStatus.PERSISTED:
            self.on_leased(item, begin, result)
        elif result.status in (OperationStatus.FULL, OperationStatus.LOST):
            self.on_not_recorded(item)
        elif result.status == OperationStatus.ELSEWHERE:
            self.ownership_wait.wait(item, begin)
        else:
            self.on_already_ended(item, result)

    def on_leased(self, item: WorkItem, begin: BeginWork, result: OperationResult) -> None:
        """Run work that is recorded and leased to this gateway.

        The pending attempt is sent. There are two exceptions, in which the policy chooses a server again: the
        request has waited for another owner's outcome, or it may have run at servers that do not deduplicate
        together with the attempt's server. Nothing is sent if the attempt has ended meanwhile, as the policy
        then ends the request.
        """
        self.counts.begun += 1
        item.fence = result.fence
        item.may_have_run_before = bool(result.server)
        item.attempt_number = 0
        self.limit_deadline(item, result.left_ms)
        if item.wait_until_ms:
            self.transfer.resume(item, result.server, result.place)
        elif item.pending_attempt is None:
            return
        elif result.server and result.place != begin.place:
            self.table.withdraw_attempt(item)
            self.transfer.resume(item, result.server, result.place)
        else:
            self.send_attempt(item)

    def on_not_recorded(self, item: WorkItem) -> None:
        """Handle work that the lease service has not recorded.

        It has no room, could not persist the batch, or ignored the request as stale, such as one from a
        replaced incarnation. A request that waits for another owner's outcome is rejected; any other
        continues untracked.
        """
        self.counts.rejected += 1
        if item.wait_until_ms:
            self.table.reject(item)
        else:
            self.continue_untracked(item)

    def on_already_ended(self, item: WorkItem, result: OperationResult) -> None:
        """Answer without running the request here.

        The answer is the recorded value, or an error if there is none, if the work must not run again, or if
        the key stands for another request.
        """
        self.counts.answered += 1
        self.table.withdraw_attempt(item)
        if result.status == OperationStatus.ANSWERED:
            response = b"$%d\r\n%b\r\n" % (len(result.value), result.value)
        elif result.status == OperationStatus.CONFLICT:
            response = CONFLICTING_KEY_RESPONSE
        else:
            response = FAILED_RESPONSE
        self.table.complete(item, response)

    def limit_deadline(self, item: WorkItem, remaining_ms: int) -> None:
        """Limit the deadline of work that may have run to `remaining_ms`, if that is earlier.

        The lease service allows attempts for this long: for keyed work, while servers deduplicate it.
        """
        exchange = item.exchange
        capped_deadline = exchange.deadline.capped_at(now_us() + remaining_ms * 1000, DeadlineSource.CLIENT)
        if item.may_have_run_before and capped_deadline is not exchange.deadline:
            exchange.deadline = capped_deadline

    # --- attempts ---

    def covers(self, exchange: Exchange) -> bool:
        """Return whether `start_attempt` sends the attempts of a request.

        That is so if its class is recorded, or if it already has a work item.
        """
        is_recorded_class = exchange.command.class_index in self.recorded_classes
        return is_recorded_class or exchange.reply.id in self.table.by_request_id

    def start_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record an attempt, then send it.

        An attempt of untracked work is sent at once. If another request of this gateway has the work's name,
        the request waits for its outcome. If the lease service is unreachable or this gateway's lease has
        ended, work that is not recorded yet becomes untracked.
        """
        item = self.get_or_add_item(exchange, attempt)
        is_wanted = attempt.may_write
        attempt.may_write = lambda: is_wanted() and (item.is_untracked or self.table.is_leased(item))
        if item.pending_rejection is not None:
            attempt.finish(AttemptResult.NOT_SENT)
            return
        settings = self.requests.settings
        server = self.directory.servers_by_name[attempt.server].entry
        place = place_of_server(settings, exchange.command.class_index, server)
        item.pending_attempt = attempt
        if item.is_untracked:
            self.send_attempt(item)
        elif item.fence:
            item.attempt_number += 1
            self.enqueue_record(item, attempt_message(item, attempt, place))
        elif item.name in self.table.by_name:  # another request of this gateway has the name
            self.ownership_wait.wait(item, begin_message(item, attempt, place, settings))
        elif self.client.is_unreachable or not self.holder.is_alive(now_ms()):
            self.continue_untracked(item)
        else:
            begin = begin_message(item, attempt, place, settings)
            self.table.set_pending_begin(item, begin)
            self.enqueue_record(item, begin)

    def get_or_add_item(self, exchange: Exchange, attempt: Attempt) -> WorkItem:
        """Return the work item of an attempt's request; the first attempt adds it to the table."""
        item = self.table.by_request_id.get(attempt.request_id)
        if item is None:
            item = new_work_item(exchange, self.requests.settings)
            self.table.add(item)
        return item

    def enqueue_record(self, item: WorkItem, operation: WorkOperation) -> None:
        """Queue the record of the pending attempt; the attempt is sent once the record's result arrives.

        If the queue is full, an attempt of leased work is not sent; work without a lease continues untracked.
        """
        if self.client.enqueue(operation):
            item.start_timer(RECORD_TIMEOUT_S, self.on_record_timeout, item)
        elif item.fence:  # the record must name each server at which the work may run
            self.on_record_timeout(item)
        else:
            self.continue_untracked(item)

    def on_record_timeout(self, item: WorkItem) -> None:
        """End the pending attempt without sending it, as it may not be recorded.

        The policy does not retry; it ends the request unless other attempts are in flight. The lease service
        counts as unreachable until its next response. The end of the request withdraws a `BeginWork` without
        a result: if it is recorded after all, the work is released, so that a retry of the client does not
        find it owned.
        """
        self.client.is_unreachable = True
        attempt = item.pending_attempt
        if attempt is not None:
            item.pending_attempt = None
            attempt.finish(AttemptResult.NOT_SENT)

    def continue_untracked(self, item: WorkItem) -> None:
        """Continue a request without a work lease; it is not taken over, and its outcome is not recorded."""
        self.counts.untracked += 1
        item.is_untracked = True
        self.table.remove_name(item)
        if item.pending_begin is not None:  # the queue is full
            item.pending_begin = None
            item.exchange.is_recorded = False
        self.send_attempt(item)

    def send_attempt(self, item: WorkItem) -> None:
        """Send the pending attempt, unless it is over."""
        item.stop_timer()
        attempt = item.pending_attempt
        item.pending_attempt = None
        if attempt is not None and not attempt.is_over:
            item.attempts_that_may_have_run.add(attempt.number)  # until its result proves otherwise
            self.attempts.send(attempt, attempt.end_us - now_us())

    def on_attempt_ended(self, request_id: str, number: int, result: AttemptResult) -> None:
        """Note the end of an attempt that certainly did not run; others of its request may have run."""
        item = self.table.by_request_id.get(request_id)
        if item is not None and result in PROVEN_NOT_RUN_RESULTS:
            item.attempts_that_may_have_run.discard(number)

    # --- outcomes ---

    def record_outcome(self, request_id: str, response: bytes, value: bytes) -> bool:
        """Record a value, then answer with `response`.

        Returns False if the request has no recorded work and the caller has to answer it.
        """
        item = self.table.by_request_id.get(request_id)
        if item is None or item.is_untracked or item.is_over:
            return False
        item.pending_response = response
        if self.client.enqueue(CompleteWork(name=item.name, fence=item.fence, value=value)):
            item.start_timer(OUTCOME_TIMEOUT_S, self.on_outcome_timeout, item)
        else:
            self.on_outcome_timeout(item)
        return True

    def on_outcome_timeout(self, item: WorkItem) -> None:
        """Answer although the outcome may not be recorded, if this gateway still owns the work.

        That is safe while the lease lasts, as no other gateway can have continued the work.
        """
        self.counts.unrecorded += 1
        self.table.answer_pending_response(item)

    def withdraw_rejected(self, action: RejectRequest) -> bool:
        """Withdraw the record of a rejected request; see `WorkTable.withdraw_rejected`."""
        return self.table.withdraw_rejected(action)

    def on_request_over(self, request_id: str) -> None:
        """Release the work of a request that has failed, or whose client has disconnected."""
        self.table.release(request_id)
