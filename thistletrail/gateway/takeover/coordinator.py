"""Ties a request's attempts and its outcome to its work lease."""

from __future__ import annotations

import asyncio
import logging
import random

from thistletrail.gateway.backends import Attempt, now_us
from thistletrail.gateway.clients import FAILED_RESPONSE, CommandParser
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
    placement,
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
    WorkOperation,
    WorkResponse,
)
from thistletrail.leasing.work_holder import WorkHolder
from thistletrail.policy.events import AttemptResult

log = logging.getLogger(__name__)

LEASE_CHECK_S = 0.05  # between checks of the lease
# For the answer that a request or an attempt is recorded: a sync takes some milliseconds, and latency
# objectives are 400 ms and more.
RECORD_TIMEOUT_S = 0.15
# For the answer that an outcome is recorded; past it the client is answered all the same.
OUTCOME_TIMEOUT_S = 0.25
RELEASE_BEFORE_DRAIN_END_US = 200_000  # what is unfinished then goes to other gateways
CONFLICTING_KEY = b"-ERR this key stands for another request\r\n"
NEVER_WRITTEN_RESULTS = (AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT, AttemptResult.AT_CAPACITY)


class TakeoverCoordinator:
    """The work leases of one gateway process: what it records, waits for, answers and gives up."""

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
        chance = random.Random(config.settings.seed)
        self.client = WorkLeaseClient(
            config.work_leases.addresses, config.work_leases.secret, self.holder, chance, self
        )
        self.table = WorkTable(self.client, requests, events, self.counts)
        self.ownership_wait = OwnershipWait(self.table, self.client, chance, RECORD_TIMEOUT_S)
        self.transfer = WorkTransfer(self.table, self.client, requests, events, parser, directory)

    # --- life ---

    async def run(self) -> None:
        """Renew the leases and check them until cancelled."""
        checks = asyncio.get_running_loop().create_task(self.check_periodically())
        try:
            await self.client.run()
        finally:
            checks.cancel()

    async def check_periodically(self) -> None:
        """Find work whose lease has ended, and hand over what a drain will not see the end of."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            self.check_lease()
            if self.requests.drain_end_us - now_us() < RELEASE_BEFORE_DRAIN_END_US:
                self.release_unfinished()

    def check_lease(self) -> None:
        """Give up all work whose lease has ended."""
        for name in self.holder.drop_expired(now_ms()):
            if item := self.table.by_name.get(name):
                self.table.lose(item)

    def start_draining(self) -> None:
        """Have no more work transferred to this gateway."""
        self.holder.is_draining = True
        self.client.wake()

    def release_unfinished(self) -> None:
        """Have other gateways continue all work that has no outcome yet."""
        self.table.release_unfinished()

    async def close(self) -> None:
        """At the end of a drain: log the counts, and send the last operations if that is possible."""
        log.info("work leases: %s", self.counts.line())
        await self.client.flush()

    # --- answers of the lease service ---

    def on_answer(self, answer: WorkResponse) -> None:
        """The leases are renewed: act on each operation's result, and continue transferred work."""
        self.check_lease()
        applied = self.holder.on_response(answer, now_ms())
        for ended in applied.operations:
            self.on_result(ended.operation, ended.result)
        for work in applied.transferred:
            self.transfer.accept(work)

    def on_batch_rejected(self, begins: list[WorkOperation]) -> None:
        """The lease service took nothing of a batch in: its begins go on untracked."""
        for begin in begins:
            self.on_result(begin, OperationResult(status=OperationStatus.FULL))

    def on_result(self, operation: WorkOperation, result: OperationResult) -> None:
        """What became of one operation."""
        if isinstance(operation, BeginWork):
            self.on_begin_result(operation, result)
            return
        item = self.table.by_name.get(operation.name)
        if item is None or item.fence != operation.fence:
            return
        if result.status == OperationStatus.LOST:
            self.table.lose(item)
        elif isinstance(operation, AttemptWork) and operation.number == item.attempt_number:
            self.send_attempt(item)
        elif isinstance(operation, CompleteWork):
            self.table.answer_pending_response(item)

    def on_begin_result(self, begin: BeginWork, result: OperationResult) -> None:
        """Whether a request's work is recorded and ours, has ended, or is another gateway's."""
        item = self.table.by_name.get(begin.name)
        if item is None or item.pending_begin is not begin:
            return
        item.pending_begin = None
        item.stop_timer()
        if result.status == OperationStatus.PERSISTED:
            self.on_lease(item, begin, result)
        elif result.status in (OperationStatus.FULL, OperationStatus.LOST):
            self.on_not_recorded(item)
        elif result.status == OperationStatus.ELSEWHERE:
            self.ownership_wait.wait(item, begin)
        else:
            self.on_ended_before(item, result)

    def on_lease(self, item: WorkItem, begin: BeginWork, result: OperationResult) -> None:
        """The work is recorded and leased to this gateway."""
        self.counts.begun += 1
        item.fence = result.fence
        item.may_have_run_before = bool(result.server)
        item.attempt_number = 0
        self.limit(item, result.left_ms)
        if item.wait_until_ms:
            self.transfer.resume(item, result.server, result.place)
        elif result.server and result.place != begin.place:
            self.table.withdraw_attempt(item)
            self.transfer.resume(item, result.server, result.place)
        else:
            self.send_attempt(item)

    def on_not_recorded(self, item: WorkItem) -> None:
        """The lease service has no room for the work, or does not know this process any more."""
        self.counts.rejected += 1
        if item.wait_until_ms:
            self.table.reject(item)
        else:
            self.continue_untracked(item)

    def on_ended_before(self, item: WorkItem, result: OperationResult) -> None:
        """The work has ended already: answer with its outcome."""
        self.counts.answered += 1
        self.table.withdraw_attempt(item)
        if result.status == OperationStatus.ANSWERED:
            response = b"$%d\r\n%b\r\n" % (len(result.value), result.value)
        elif result.status == OperationStatus.CONFLICT:
            response = CONFLICTING_KEY
        else:
            response = FAILED_RESPONSE
        self.table.complete(item, response)

    def limit(self, item: WorkItem, remaining_ms: int) -> None:
        """Work that may have run may run again only while its servers remember it."""
        exchange = item.exchange
        budget = exchange.deadline.capped_at(now_us() + remaining_ms * 1000, DeadlineSource.CLIENT)
        if item.may_have_run_before and budget is not exchange.deadline:
            exchange.deadline = budget

    # --- attempts ---

    def covers(self, exchange: Exchange) -> bool:
        """Whether a request's attempts are recorded: by its class, or as one that was transferred."""
        is_recorded_class = exchange.command.class_index in self.recorded_classes
        return is_recorded_class or exchange.reply.id in self.table.by_request_id

    def start_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record an attempt before it is sent, unless its work goes on untracked."""
        item = self.item_of(exchange, attempt)
        attempt.may_write = lambda: item.is_untracked or self.table.is_leased(item)
        settings = self.requests.settings
        server = self.directory.servers_by_name[attempt.server].entry
        place = placement(settings, exchange.command.class_index, server)
        item.pending_attempt = attempt
        if item.is_untracked:
            self.send_attempt(item)
        elif item.fence:
            item.attempt_number += 1
            self.record(item, attempt_message(item, attempt, place))
        elif item.name in self.table.by_name:  # another request here has the work, as another gateway might
            self.ownership_wait.wait(item, begin_message(item, attempt, place, settings))
        elif self.client.is_unreachable or not self.holder.is_alive(now_ms()):
            self.continue_untracked(item)
        else:
            self.table.by_name[item.name] = item
            item.pending_begin = begin_message(item, attempt, place, settings)
            self.record(item, item.pending_begin)

    def item_of(self, exchange: Exchange, attempt: Attempt) -> WorkItem:
        """The work item of an attempt's request; a new one at its first attempt."""
        item = self.table.by_request_id.get(attempt.request_id)
        if item is None:
            item = new_work_item(exchange, self.requests.settings)
            self.table.add(item)
        return item

    def record(self, item: WorkItem, operation: WorkOperation) -> None:
        """Record an attempt, and wait for the answer for a while."""
        if self.client.enqueue(operation):
            item.start_timer(RECORD_TIMEOUT_S, self.on_record_timeout, item)
        elif item.fence:  # the work is recorded, and what is recorded of where it runs must not be wrong
            self.on_record_timeout(item)
        else:
            self.continue_untracked(item)

    def on_record_timeout(self, item: WorkItem) -> None:
        """An attempt that may be unrecorded is not sent. A retry finds the work free or ended."""
        self.client.is_unreachable = True
        self.table.withdraw_begin(item)
        attempt = item.pending_attempt
        if attempt is not None:
            item.pending_attempt = None
            attempt.finish(AttemptResult.NOT_SENT)

    def continue_untracked(self, item: WorkItem) -> None:
        """Go on without the lease service, and without what its record promises."""
        self.counts.untracked += 1
        item.is_untracked = True
        self.table.remove_name(item)
        self.send_attempt(item)

    def send_attempt(self, item: WorkItem) -> None:
        """Send the pending attempt, if it is still wanted."""
        item.stop_timer()
        attempt = item.pending_attempt
        item.pending_attempt = None
        if attempt is not None and not attempt.is_over:
            item.may_have_run_here = True  # until its result proves that it has not
            self.attempts.send(attempt, attempt.end_us - now_us())

    def on_attempt_ended(self, request_id: str, result: AttemptResult, has_others: bool) -> None:
        """What was not written whole to its server, or was rejected there, has not run."""
        item = self.table.by_request_id.get(request_id)
        if item is not None and result in NEVER_WRITTEN_RESULTS:
            item.may_have_run_here = has_others

    # --- outcomes ---

    def record_outcome(self, request_id: str, response: bytes, value: bytes) -> bool:
        """Record a value, then answer with `response`; False where that is to be sent at once."""
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
        """Answer the client all the same while the work is ours: no other gateway can have continued it."""
        self.counts.unrecorded += 1
        self.table.answer_pending_response(item)

    def on_request_over(self, request_id: str, was_rejected: bool = False) -> None:
        """The policy has rejected or failed a request, or its client has disconnected."""
        self.table.release(request_id, was_rejected)
