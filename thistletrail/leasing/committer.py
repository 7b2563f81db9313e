"""Group commit: decides on requests, and journals what they bring about before they are answered.

Requests that arrive while the disk is busy are committed together by the next sync.
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

EXPIRY_INTERVAL_S = 1.0  # between looks for grants that have ended
LOST_OWNER_INTERVAL_S = 0.05  # between looks for items that have lost their owner: a twentieth of the lease
MAX_WAITING = 2000  # requests that wait for the disk: ten from each gateway of the largest fleet

Request = RenewRequest | WorkRequest
Response = RenewResponse | WorkResponse


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that was received, and the future of its response."""

    request: Request
    response: asyncio.Future[Response]

    def fail(self, error: Exception) -> None:
        """Give an error in place of the response, if it is still waited for."""
        if not self.response.done():
            self.response.set_exception(error)


@dataclass(frozen=True, slots=True)
class DecidedRequest:
    """A request with its response, which is sent once its effects are in the journal."""

    waiting: WaitingRequest
    response: Response

    def send(self) -> None:
        """Give the response, if it is still waited for."""
        if not self.waiting.response.done():
            self.waiting.response.set_result(self.response)


@dataclass(slots=True)
class Batch:
    """Requests that are committed together, and the grants that they have brought."""

    received: int = 0
    decided: list[DecidedRequest] = field(default_factory=list)
    grants: list[HolderGrant] = field(default_factory=list)

    def fail(self, error: Exception) -> None:
        """Give all of them an error in place of their responses."""
        for decided in self.decided:
            decided.waiting.fail(error)


class Committer:
    """The states of one term, and the only place where they change.

    `lost` is set once another process leads, by whoever finds out first.
    """

    def __init__(self, journal: Journal, config: Config, lost: asyncio.Event) -> None:
        """Read the journal of the term before; this may take long.

        Raises:
            DamageError: That journal is damaged.
        """
        self.journal = journal
        self.config = config
        self.lost = lost
        self.states = journal.open(config)
        self.waiting: list[WaitingRequest] = []
        # Changes of work items that were decided on and are not in the log: written before any answer.
        self.unwritten: list[WorkRecord] = []
        self.has_changes = asyncio.Event()
        self.commit_count = 0
        self.request_count = 0

    @property
    def is_overloaded(self) -> bool:
        """Whether too many requests wait for another to be taken."""
        return len(self.waiting) >= MAX_WAITING

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Commit, forget grants that have ended, and transfer lost items; at the end, close the journal."""
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
        """Use other limits from now on; what was granted by the old ones expires."""
        self.config = config
        budgets = self.states.budgets
        for name in budgets.budgets:
            if limits := config.limits_of(name):
                budgets.set_limits(name, limits, now_ms())

    def submit(self, request: Request) -> asyncio.Future[Response]:
        """Queue a request; the response comes once its effects are in the journal.

        Raises:
            LeadershipLostError: Another process leads.
        """
        if self.lost.is_set():
            raise LeadershipLostError("another lease service has taken over")
        response: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.waiting.append(WaitingRequest(request, response))
        self.has_changes.set()
        return response

    async def commit_forever(self) -> None:
        """Decide on all requests that wait, write their effects with one sync, and then answer."""
        while True:
            await self.has_changes.wait()
            self.has_changes.clear()
            batch = self.decide_waiting()
            try:
                is_written = await self.write(batch)
            except LeadershipLostError as error:  # nobody was answered by this term, and never will be
                self.lost.set()
                batch.fail(error)
                for waiting in self.waiting:
                    waiting.fail(error)
                return
            if not is_written:
                continue
            self.commit_count += 1
            self.request_count += batch.received
            for decided in batch.decided:
                decided.send()
            if self.journal.is_snapshot_due() and not self.unwritten:
                await self.write_snapshot()

    def decide_waiting(self) -> Batch:
        """Decide on all requests that wait; answer those that are rejected."""
        received = self.waiting
        self.waiting = []
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
        """Write a batch and all other changes; return whether there was room, else all of it has failed.

        Raises:
            LeadershipLostError: Another process leads.
        """
        records = self.unwritten
        self.unwritten = []
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(None, self.journal.append, batch.grants, records)
        except WriteFailedError as error:  # in the state grants count as made, until they expire
            log.error("grants and work items cannot be persisted: %s", error)
            self.unwritten = [*self.states.work.undo(records), *self.unwritten]
            batch.fail(WriteFailedError(str(error)))
            return False
        return True

    async def write_snapshot(self) -> None:
        """Write a snapshot, between two commits: nothing is on its way into the log."""
        try:
            snapshot = self.journal.snapshot(self.states)
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, self.journal.write_snapshot, snapshot)
        except OSError as error:
            log.warning("no snapshot can be written: %s", error.strerror)

    def decide(self, request: Request) -> Response:
        """Apply a request to the states, and return the response to send once that is journaled."""
        now = now_ms()
        if isinstance(request, WorkRequest):
            return self.decide_work(request, now)
        budgets = self.states.budgets
        for wanted in request.budgets:
            if wanted.budget not in budgets.budgets and (limits := self.config.limits_of(wanted.budget)):
                budgets.set_limits(wanted.budget, limits, now)
        return budgets.renew(request, now)

    def decide_work(self, request: WorkRequest, now: int) -> WorkResponse:
        """Apply a work request; its records are written with the next commit."""
        if len(request.operations) > MAX_OPERATIONS:
            raise RequestRejectedError(f"a request has {MAX_OPERATIONS} ops at most")
        decision = self.states.work.handle(request, now)
        self.unwritten += decision.records
        return decision.response

    def grants_of(self, response: RenewResponse) -> list[HolderGrant]:
        """Return the grants of a response as the state has them."""
        holder = holder_name(response.gateway, response.incarnation)
        budgets = self.states.budgets.budgets
        return [
            HolderGrant(grant.budget, holder, budgets[grant.budget].holdings[holder].issued[-1])
            for grant in response.grants
        ]

    async def expire_forever(self) -> None:
        """Forget grants that have ended."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.states.budgets.expire(now_ms())

    async def transfer_forever(self) -> None:
        """Find items that have lost their owner; the next commit writes that before anybody is answered."""
        while True:
            await asyncio.sleep(LOST_OWNER_INTERVAL_S)
            if records := self.states.work.transfer_lost_items(now_ms()):
                self.unwritten += records
                self.has_changes.set()
