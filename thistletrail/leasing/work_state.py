"""The state machine of work leases: who owns which work item, where it may have run, and how it ended.

Pure: time is passed in, in milliseconds. A gateway journals an item here before its first byte goes to a
server. Each item has one owner at a time, an incarnation of a gateway under a fencing number that only
rises. An owner is lost when its lease ends, or when a later incarnation of its gateway is seen. Then its
items go to other holders under higher fencing numbers, where they are of use and cannot run once too often.

Every change is a record: a method here makes and applies it, and the caller journals it before anybody is
answered. `restore` and `finish_restore` bring the records of a journal back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from thistletrail.leasing.errors import RequestRejectedError
from thistletrail.leasing.messages import (
    MAX_OPERATIONS,
    WORK_LEASE_MS,
    AttemptWork,
    BeginWork,
    CompleteWork,
    OperationResult,
    OperationStatus,
    ReleaseWork,
    TransferredWork,
    WorkOperation,
    WorkRequest,
    WorkResponse,
    holder_name,
    parse_holder_name,
)
from thistletrail.leasing.work_membership import Member, Membership
from thistletrail.leasing.work_records import (
    WorkAttempted,
    WorkBegan,
    WorkDropped,
    WorkEnded,
    WorkOutcome,
    WorkOwned,
    WorkRecord,
)
from thistletrail.leasing.work_store import (
    MAX_BYTES,
    NOWHERE,
    Location,
    WorkCounters,
    WorkItem,
    WorkStore,
)

MAX_REQUEST_BYTES = 128 << 10  # of one item: a body of 64 KiB, and its fields
MAX_VALUE_BYTES = 128 << 10  # of one value that is kept
MAX_NAME_LENGTH = 200  # characters
MAX_LEFT_MS = 600_000  # for which a result may be wanted
MAX_WINDOW_MS = 600_000  # for which servers may remember an item
MAX_TRANSFERRED = 64  # items in one response: the loss of a gateway is no burst at the next one
MAX_GATEWAYS = 1000

LOST = OperationResult(status=OperationStatus.LOST)
FAILED = OperationResult(status=OperationStatus.FAILED)
CONFLICT = OperationResult(status=OperationStatus.CONFLICT)
ELSEWHERE = OperationResult(status=OperationStatus.ELSEWHERE)


@dataclass(frozen=True, slots=True)
class WorkDecision:
    """The response to a request, and the records to journal before it is sent."""

    response: WorkResponse
    records: list[WorkRecord]


class WorkState:
    """All work items and their owners."""

    membership_type = Membership  # a model checker's planted fault is a subclass

    def __init__(self, fence: int, lease_ms: int = WORK_LEASE_MS) -> None:
        """Begin without items; fencing numbers are above `fence`."""
        self.lease_ms = lease_ms
        self.store = WorkStore(fence)
        self.membership = self.membership_type()
        self.counters = WorkCounters()
        self.records: list[WorkRecord] = []  # of the call that is under way

    # --- records ---

    def change(self, record: WorkRecord) -> None:
        """Apply a change that was decided on, and note it for the journal."""
        self.store.apply(record)
        self.records.append(record)

    def restore(self, record: WorkRecord) -> None:
        """Apply a record of a journal."""
        self.store.apply(record)

    def finish_restore(self, now_ms: int) -> None:
        """All records are back: an owner may have been there up to now, so its lease begins now."""
        for item in self.store.items.values():
            if item.owner and item.owner not in self.membership.members:
                self.membership.members[item.owner] = Member(now_ms + self.lease_ms)
                identity = parse_holder_name(item.owner)
                self.membership.see(identity.gateway, identity.incarnation)

    def undo(self, records: Iterable[WorkRecord]) -> list[WorkRecord]:
        """Take back what records began that could not be journaled; return the others.

        Nobody was answered: what was begun was never begun, as its gateway goes on without a lease. The other
        records stay and are to be journaled later: they are true, or forbid more than they must.
        """
        remaining = []
        undone: set[str] = set()
        for record in records:
            if isinstance(record, WorkBegan) and (item := self.store.items.get(record.name)):
                undone.add(record.name)
                self.store.remove(item)
            elif record.name not in undone:
                remaining.append(record)
        return remaining

    # --- lost owners ---

    def transfer_lost_items(self, now_ms: int) -> list[WorkRecord]:
        """Transfer items that have lost their owner, forget those that are of no use; return the records."""
        self.records = []
        self.find_lost(now_ms)
        return self.records

    def find_lost(self, now_ms: int) -> None:
        """Look at every item for a lost owner, or for one that it waits for."""
        members = self.membership.members
        lost = self.membership.lost(now_ms)
        for item in list(self.store.items.values()):
            # An item is never forgotten before its end: most are done with at the first comparison.
            if now_ms >= item.end_ms and now_ms >= item.forget_ms:
                self.change(WorkDropped(name=item.name))
            elif item.owner and (item.owner in lost or item.owner not in members):
                self.transfer(item, item.deaths + self.has_died_of(item), now_ms)
            elif item.awaits_taker and not self.must_wait(item, now_ms):
                self.transfer(item, item.deaths, now_ms)
        for holder in lost:
            del members[holder]

    def has_died_of(self, item: WorkItem) -> bool:
        """Return whether its lost owner had the item: one that was never accepted has not killed it."""
        member = self.membership.members.get(item.owner)
        return member is None or item.fence not in member.unacknowledged

    def must_wait(self, item: WorkItem, now_ms: int) -> bool:
        """Return whether an item is wanted, and there is still nobody to take it."""
        return item.is_wanted(now_ms) and not self.membership.taker(item, now_ms)

    def transfer(self, item: WorkItem, deaths: int, now_ms: int) -> None:
        """Give an item that nobody owns any more to another holder if that is of use, or end it."""
        outcome = item.outcome_after(deaths)
        wanted = outcome is None and item.is_wanted(now_ms)
        taker = self.membership.taker(item, now_ms) if wanted else ""
        self.change(
            WorkOwned(
                name=item.name,
                owner=taker,
                fence=self.store.fence + 1,
                end_ms=item.end_ms,
                deaths=deaths,
                awaits_taker=wanted and not taker,
            )
        )
        if taker:
            self.membership.members[taker].unacknowledged[item.fence] = item.name
            self.counters.transferred += 1
        elif outcome is not None:
            self.end(item, outcome, now_ms)

    def end(self, item: WorkItem, outcome: WorkOutcome, now_ms: int, value: bytes = b"") -> None:
        """Keep the outcome of an item."""
        self.change(WorkEnded(name=item.name, outcome=outcome, at_ms=now_ms, value=value))
        self.counters.ended[outcome] += 1

    # --- requests ---

    def handle(self, request: WorkRequest, now_ms: int) -> WorkDecision:
        """Renew a holder's lease, and carry its operations out.

        A request that was overtaken, or comes from an incarnation that was replaced, changes nothing.

        Raises:
            RequestRejectedError: The gateway's number is out of range.
        """
        self.records = []
        if not 0 <= request.gateway < MAX_GATEWAYS:
            raise RequestRejectedError(f"gateways are numbered from 0 to {MAX_GATEWAYS - 1}")
        if self.membership.is_stale(request):
            return WorkDecision(self.response(request, [LOST for _ in request.operations]), [])
        if request.incarnation > self.membership.latest_incarnation(request.gateway):
            self.membership.see(request.gateway, request.incarnation)
            self.find_lost(now_ms)  # an incarnation before it is lost with this
        member = self.membership.renew(request, now_ms + self.lease_ms)
        holder = holder_name(request.gateway, request.incarnation)
        results = [
            self.apply_operation(holder, operation, now_ms)
            for operation in request.operations[:MAX_OPERATIONS]
        ]
        response = self.response(request, results, self.transferred_to(member, now_ms))
        return WorkDecision(response, self.records)

    def transferred_to(self, member: Member, now_ms: int) -> list[TransferredWork]:
        """Return the items that a holder has been given and has not accepted yet, as many as go at a time."""
        found = []
        for fence, name in list(member.unacknowledged.items())[:MAX_TRANSFERRED]:
            item = self.store.items.get(name)
            if item is not None and item.fence == fence:
                found.append(item.transferred(now_ms))
        return found

    def response(
        self,
        request: WorkRequest,
        results: list[OperationResult],
        transferred: Iterable[TransferredWork] = (),
    ) -> WorkResponse:
        """Return the response to a request."""
        return WorkResponse(
            gateway=request.gateway,
            incarnation=request.incarnation,
            serial=request.serial,
            lease_ms=self.lease_ms,
            results=tuple(results),
            transferred=tuple(transferred),
        )

    # --- operations ---

    def apply_operation(self, holder: str, operation: WorkOperation, now_ms: int) -> OperationResult:
        """Carry one operation of a holder's out."""
        if isinstance(operation, BeginWork):
            return self.begin(holder, operation, now_ms)
        item = self.store.items.get(operation.name)
        if item is None or item.fence != operation.fence:
            return LOST
        persisted = OperationResult(status=OperationStatus.PERSISTED, fence=operation.fence)
        if isinstance(operation, CompleteWork) and item.was_completed:
            return persisted  # the response was lost
        if item.owner != holder:
            return LOST
        if isinstance(operation, CompleteWork):
            self.complete(item, operation, now_ms)
        elif isinstance(operation, ReleaseWork):
            self.release(holder, item, operation, now_ms)
        elif operation.number > item.attempt_number:
            self.note_attempt(operation, now_ms, operation.number, operation.earlier_never_ran)
        return persisted

    def complete(self, item: WorkItem, operation: CompleteWork, now_ms: int) -> None:
        """Keep the value of an item; its outcome is unknown where the value does not fit."""
        size = len(operation.value)
        self.make_room(size)
        if size <= MAX_VALUE_BYTES and self.store.total_bytes + size <= MAX_BYTES:
            self.end(item, WorkOutcome.SERVED, now_ms, operation.value)
        else:
            self.end(item, WorkOutcome.UNKNOWN, now_ms)

    def note_attempt(
        self,
        operation: BeginWork | AttemptWork,
        now_ms: int,
        number: int = 0,
        earlier_never_ran: bool = False,
    ) -> None:
        """Note that an item may run from now on where an operation sends it."""
        self.change(
            WorkAttempted(
                name=operation.name,
                server=operation.server,
                place=operation.place,
                at_ms=now_ms,
                number=number,
                earlier_never_ran=earlier_never_ran,
            )
        )

    def release(self, holder: str, item: WorkItem, operation: ReleaseWork, now_ms: int) -> None:
        """Take an item from its owner.

        It goes to another holder; or it stays without an owner, for whoever requests it again, as it may have
        run; or it is forgotten, as it never ran.
        """
        if operation.transfer:
            item.declined_by |= {holder}
            if operation.never_ran:
                self.change(
                    WorkAttempted(
                        name=operation.name, server="", place="", at_ms=now_ms, earlier_never_ran=True
                    )
                )
            self.transfer(item, item.deaths, now_ms)
        elif operation.never_ran:
            self.change(WorkDropped(name=item.name))
        else:
            self.change(
                WorkOwned(
                    name=item.name,
                    owner="",
                    fence=self.store.fence + 1,
                    end_ms=item.end_ms,
                    deaths=item.deaths,
                )
            )

    def begin(self, holder: str, operation: BeginWork, now_ms: int) -> OperationResult:
        """Begin an item, unless there is one by that name.

        Then its sender goes on with what nobody owns, gets the value that is kept, or waits for the owner.
        """
        item = self.store.items.get(operation.name)
        if item is None:
            return self.begin_new(holder, operation, now_ms)
        if item.digest != operation.digest:
            return CONFLICT
        if item.outcome is not None:
            return self.ended_result(item)
        end_ms = max(item.end_ms, now_ms + min(operation.left_ms, MAX_LEFT_MS))
        if item.owner:
            if (item.owner, item.request_id) == (holder, operation.request_id):  # the response was lost
                return self.owned_result(item, item.run_before_owner, now_ms)
            item.end_ms = end_ms  # whoever goes on with it has that much more time
            return ELSEWHERE
        return self.take_over(holder, item, operation, end_ms, now_ms)

    def ended_result(self, item: WorkItem) -> OperationResult:
        """Return how an item has ended."""
        if item.outcome is WorkOutcome.SERVED:
            return OperationResult(status=OperationStatus.ANSWERED, value=item.value)
        return FAILED

    def take_over(
        self, holder: str, item: WorkItem, operation: BeginWork, end_ms: int, now_ms: int
    ) -> OperationResult:
        """Give an item that nobody owns to the holder that has requested it again, if it may run again."""
        if not item.may_run_again(now_ms):
            return FAILED
        ran_at = item.last_run
        self.change(
            WorkOwned(
                name=operation.name,
                owner=holder,
                fence=self.store.fence + 1,
                end_ms=end_ms,
                request_id=operation.request_id,
                deaths=item.deaths,
            )
        )
        if not ran_at.server or ran_at.place == operation.place:
            self.note_attempt(operation, now_ms)
        return self.owned_result(item, ran_at, now_ms)

    def owned_result(self, item: WorkItem, ran_at: Location, now_ms: int) -> OperationResult:
        """Return that the item is the sender's, with where it may have run before."""
        return OperationResult(
            status=OperationStatus.PERSISTED,
            fence=item.fence,
            server=ran_at.server,
            place=ran_at.place,
            left_ms=max(0, item.workable_until_ms - now_ms),
        )

    def begin_new(self, holder: str, operation: BeginWork, now_ms: int) -> OperationResult:
        """Keep a new item if there is room."""
        size = len(operation.request)
        fits = size <= MAX_REQUEST_BYTES and len(operation.name) <= MAX_NAME_LENGTH
        has_room = self.make_room(size)
        if not (fits and has_room and self.store.customer_has_room(operation.customer)):
            self.counters.rejected_full += 1
            return OperationResult(status=OperationStatus.FULL)
        self.change(
            WorkBegan(
                name=operation.name,
                digest=operation.digest,
                customer=operation.customer,
                effect=operation.effect,
                end_ms=now_ms + max(0, min(operation.left_ms, MAX_LEFT_MS)),
                window_ms=max(0, min(operation.window_ms, MAX_WINDOW_MS)),
                request=operation.request,
                owner=holder,
                fence=self.store.fence + 1,
                request_id=operation.request_id,
            )
        )
        self.note_attempt(operation, now_ms)
        self.counters.begun += 1
        return self.owned_result(self.store.items[operation.name], NOWHERE, now_ms)

    def make_room(self, size: int) -> bool:
        """Forget the oldest outcomes where all room is taken: items under way are worth more.

        Return whether another item of that size fits.
        """
        if self.store.has_room(size):
            return True
        for item in self.store.ended_items():
            if self.store.has_room(size):
                return True
            self.change(WorkDropped(name=item.name))
            self.counters.evicted += 1
        return self.store.has_room(size)
