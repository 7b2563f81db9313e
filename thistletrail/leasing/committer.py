"""Group commit: applies requests to the states, and journals the effects before the responses are sent.

Requests that arrive during a sync are committed together by the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from thistletrail.leasing.budget_state import HolderGrant
from thistletrail.leasing.config import Config
from thistletrail.leasing.errors import LeadershipLostError, RequestRejectedError
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.journal import Journal
from thistletrail.leasing.messages import (
    MAX_OPERATIONS,
    RenewRequest,
    RenewResponse,
    WorkRequest,
    WorkResponse,
    holder_name,
)
from thistletrail.leasing.work_records import WorkRecord
from thistletrail.write_ahead_log.record_file import WriteFailedError

log = logging.getLogger(__name__)

EXPIRY_INTERVAL_S = 1.0
LOST_OWNER_CHECK_INTERVAL_S = 0.05  # a twentieth of the work lease
MAX_WAITING_REQUESTS = 2000  # ten from each gateway of the largest fleet

Request = RenewRequest | WorkRequest
Response = RenewResponse | WorkResponse


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A received request that is not yet committed, and the future of its response."""

    request: Request
    response: asyncio.Future[Response]

    def fail(self, error: Exception) -> None:
        """Fail the request with an error, unless its caller has stopped waiting."""
        if not self.response.done():
            self.response.set_exception(error)


@dataclass(frozen=True, slots=True)
class DecidedRequest:
    """A request whose response is sent once its effects are in the journal."""

    waiting: WaitingRequest
    response: Response

    def send(self) -> None:
        """Complete the request with its response, unless its caller has stopped waiting."""
        if not self.waiting.response.done():
            self.waiting.response.set_result(self.response)


@dataclass(slots=True)
class Batch:
    """Requests that are committed together, and the grants that were issued for them."""

    received: int = 0
    decided: list[DecidedRequest] = field(default_factory=list)
    grants: list[HolderGrant] = field(default_factory=list)

    def fail(self, error: Exception) -> None:
        """Fail all requests of the batch with an error."""
        for decided in self.decided:
            decided.waiting.fail(error)


class Committer:
    """Owns the states of one term, and makes all changes to them.

    `leadership_lost` is set once another process leads, by the committer or by the heartbeat.
    """

    def __init__(self, journal: Journal, config: Config, leadership_lost: asyncio.Event) -> None:
        """Read the journal of the previous term, which may take long.

        Raises:
            CorruptFileError: That journal is damaged.
        """
        self.journal = journal
        self.config = config
        self.leadership_lost = leadership_lost
        self.states = journal.open(config)
        self.waiting_requests: list[WaitingRequest] = []
        # Applied records of work items that are not yet journaled; written before any response is sent.
        self.unwritten_records: list[WorkRecord] = []
        self.has_changes = asyncio.Event()
        self.commit_count = 0
        self.request_count = 0

    @property
    def is_overloaded(self) -> bool:
        """Whether so many requests are waiting that no further one is accepted."""
        return len(self.waiting_requests) >= MAX_WAITING_REQUESTS

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the loops for commits, expiry and transfers; at the end, stop them and close the journal."""
        loops = (self.commit_forever, self.expire_forever, self.transfer_forever)
        tasks = [asyncio.create_task(loop()) for loop in loops]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.journal.close()

    def reload(self, config: Config) -> None:
        """Apply the limits of a new configuration; existing grants stay until they expire or are replaced."""
        self.config = config
        budgets = self.states.budgets
        for name in budgets.budgets:
            if limits := config.limits_of(name):
                budgets.set_limits(name, limits, now_ms())

    def submit(self, request: Request) -> asyncio.Future[Response]:
        """Queue a request; the returned future is completed once its effects are in the journal.

        Raises:
            LeadershipLostError: Another process leads.
        """
        if self.leadership_lost.is_set():
            raise LeadershipLostError("another lease service has taken over")
        response: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.waiting_requests.append(WaitingRequest(request, response))
        self.has_changes.set()
        return response

    async def commit_forever(self) -> None:
        """Apply all waiting requests, journal their effects with one sync, and then send the responses."""
        while True:
            await self.has_changes.wait()
            self.has_changes.clear()
            batch = self.decide_waiting()
            try:
                is_written = await self.write(batch)
            except LeadershipLostError as error:  # no response of this batch, or a later one, is sent
                self.leadership_lost.set()
                batch.fail(error)
                for waiting in self.waiting_requests:
                    waiting.fail(error)
                return
            if not is_written:
                continue
            self.commit_count += 1
            self.request_count += batch.received
            for decided in batch.decided:
                decided.send()
            if self.journal.is_snapshot_due() and not self.unwritten_records:
                await self.write_snapshot()

    def decide_waiting(self) -> Batch:
        """Apply all waiting requests; those that are rejected fail at once."""
        received = self.waiting_requests
        self.waiting_requests = []
        batch = Batch(len(received))
        for waiting in received:
            try:
                response = self.decide(waiting.request)
            except RequestRejectedError as error:
                waiting.fail(error)
                continue
            batch.decided.append(DecidedRequest(waiting, response))
            if isinstance(response, RenewResponse):
                batch.grants += self.grants_of(response)
        return batch

    async def write(self, batch: Batch) -> bool:
        """Journal a batch and all unwritten records of work items.

        If the journal cannot be written, all requests of the batch fail.

        Returns:
            Whether the journal was written.

        Raises:
            LeadershipLostError: Another process leads.
        """
        records = self.unwritten_records
        self.unwritten_records = []
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(None, self.journal.append, batch.grants, records)
        except WriteFailedError as error:  # grants stay reserved in the state until they expire
            log.error("grants and work items cannot be persisted: %s", error)
            self.unwritten_records = [*self.states.work.revert_unjournaled(records), *self.unwritten_records]
            batch.fail(WriteFailedError(str(error)))
            return False
        return True

    async def write_snapshot(self) -> None:
        """Write a snapshot; called between two commits, when no record is being written to the log."""
        try:
            snapshot = self.journal.snapshot(self.states)
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, self.journal.write_snapshot, snapshot)
        except OSError as error:
            log.warning("no snapshot can be written: %s", error.strerror)

    def decide(self, request: Request) -> Response:
        """Apply a request to the states; return the response to send once its effects are journaled."""
        now = now_ms()
        if isinstance(request, WorkRequest):
            return self.decide_work(request, now)
        budgets = self.states.budgets
        for budget_request in request.budgets:
            name = budget_request.budget
            if name not in budgets.budgets and (limits := self.config.limits_of(name)):
                budgets.set_limits(name, limits, now)
        return budgets.renew(request, now)

    def decide_work(self, request: WorkRequest, now: int) -> WorkResponse:
        """Apply a work request; its records are written with the next commit."""
        if len(request.operations) > MAX_OPERATIONS:
            raise RequestRejectedError(f"a request has {MAX_OPERATIONS} ops at most")
        decision = self.states.work.handle(request, now)
        self.unwritten_records += decision.records
        return decision.response

    def grants_of(self, response: RenewResponse) -> list[HolderGrant]:
        """Return the grants of a response in the form of the state."""
        holder = holder_name(response.gateway, response.incarnation)
        budgets = self.states.budgets.budgets
        return [
            HolderGrant(grant.budget, holder, budgets[grant.budget].holdings[holder].issued[-1])
            for grant in response.grants
        ]

    async def expire_forever(self) -> None:
        """Remove expired grants every `EXPIRY_INTERVAL_S`."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.states.budgets.expire(now_ms())

    async def transfer_forever(self) -> None:
        """Transfer items with a lost owner; the next commit journals this before it sends any response."""
        while True:
            await asyncio.sleep(LOST_OWNER_CHECK_INTERVAL_S)
            if records := self.states.work.transfer_lost_items(now_ms()):
                self.unwritten_records += records
                self.has_changes.set()
