"""The state machine of work leases: who owns which work item, where it may have run, and how it ended.

It does no I/O and reads no clock: callers pass the time in milliseconds.

A gateway journals an item here before it sends the item's first byte to a server. Each item has at most one
owner at a time: an incarnation of a gateway, under a fencing token that only rises. An owner is lost when
its lease ends, or when a later incarnation of its gateway sends a request. Its items are then transferred to
other holders under higher fencing tokens, if their results are still wanted and another run is allowed.

Each change of an item that a restart must restore is a record. A method here creates and applies it, and the
caller journals it before any response is sent. `restore` and `finish_restore` rebuild the state from the
records of a journal. Leases, an extended `end_ms` and `declined_by` are changed without a record. Each
request with operations is recorded too, so that a delayed repetition changes nothing after a restart either.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
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
    RequestStamp,
    WorkAttempted,
    WorkBegan,
    WorkDropped,
    WorkEnded,
    WorkOutcome,
    WorkOwned,
    WorkRecord,
    read_request_stamp,
)
from thistletrail.leasing.work_store import (
    MAX_STORED_BYTES,
    NOWHERE,
    Location,
    WorkCounters,
    WorkItem,
    WorkStore,
)

MAX_REQUEST_BYTES = 128 << 10  # one item's request: a body of 64 KiB and its fields
MAX_VALUE_BYTES = 128 << 10  # one stored value
MAX_NAME_CHARS = 200
MAX_LEFT_MS = 600_000  # upper bound of `left_ms`, the time for which a result is wanted
MAX_WINDOW_MS = 600_000  # upper bound of `window_ms`, the time for which servers remember a key
MAX_TRANSFERRED_PER_RESPONSE = 64  # limits the burst at a gateway that takes over a lost one's items
MAX_GATEWAYS = 1000

LOST = OperationResult(status=OperationStatus.LOST)
FAILED = OperationResult(status=OperationStatus.FAILED)
CONFLICT = OperationResult(status=OperationStatus.CONFLICT)
ELSEWHERE = OperationResult(status=OperationStatus.ELSEWHERE)


@dataclass(frozen=True, slots=True)
class WorkDecision:
    """The response to a request, and the records to journal before the response is sent."""

    response: WorkResponse
    records: list[WorkRecord]


class WorkState:
    """All work items and their owners."""

    membership_type = Membership  # overridden by a planted fault of the model checker

    def __init__(self, fence: int, lease_ms: int = WORK_LEASE_MS) -> None:
        """Create a state without items; fencing tokens are greater than `fence`."""
        self.lease_ms = lease_ms
        self.store = WorkStore(fence)
        self.membership = self.membership_type()
        self.counters = WorkCounters()
        self.records: list[WorkRecord] = []  # records of the current call

    # --- records ---

    def apply_and_record(self, record: WorkRecord) -> None:
        """Apply a record, and add it to those that the caller is to journal."""
        self.store.apply(record)
        self.records.append(record)

    def restore(self, record: WorkRecord) -> None:
        """Apply a record that was read from a journal."""
        if stamp := read_request_stamp(record):
            self.membership.record_request(stamp)
        else:
            self.store.apply(record)

    def snapshot_records(self) -> Iterator[WorkRecord]:
        """Yield the records that restore the state, for a snapshot."""
        for stamp in self.membership.stamps():
            yield stamp.to_record()
        yield from self.store.records()

    def finish_restore(self, now_ms: int) -> None:
        """Start a new lease for each owner, as it may have been alive until now; called after all records."""
        for item in self.store.items.values():
            if item.owner and item.owner not in self.membership.members:
                self.membership.members[item.owner] = Member(now_ms + self.lease_ms)
                identity = parse_holder_name(item.owner)
                self.membership.record_incarnation(identity.gateway, identity.incarnation)

    def revert_unjournaled(self, records: Iterable[WorkRecord]) -> list[WorkRecord]:
        """Take back the ownership that unjournaled records gave to gateways for requests of their clients.

        Their gateways are told that nothing is recorded, and may refuse these requests. Items that were begun
        are removed; those that existed have no owner again. The other records remain applied: they are true,
        or at worst forbid more than necessary.

        Returns:
            The records to journal later.
        """
        self.records = []
        removed: set[str] = set()
        for record in records:
            item = self.store.items.get(record.name)
            if isinstance(record, WorkBegan) and item is not None:
                removed.add(record.name)
                self.store.remove(item)
            elif record.name not in removed:
                self.records.append(record)
                if isinstance(record, WorkOwned) and record.request_id and item is not None:
                    self.take_back(item, record)
        return self.records

    def take_back(self, item: WorkItem, owned: WorkOwned) -> None:
        """Leave an item without an owner, unless it has another owner than a record gave it."""
        if (item.owner, item.fence) == (owned.owner, owned.fence):
            self.leave_without_owner(item)

    # --- lost owners ---

    def transfer_lost_items(self, now_ms: int) -> list[WorkRecord]:
        """Transfer items with a lost owner, and drop those past their retention.

        Returns:
            The records to journal.
        """
        self.records = []
        self.transfer_and_drop_items(now_ms)
        return self.records

    def transfer_and_drop_items(self, now_ms: int) -> None:
        """Drop items past their retention, and transfer those with a lost owner or a new taker."""
        members = self.membership.members
        lost = self.membership.lost_members(now_ms)
        for item in list(self.store.items.values()):
            # `retain_until_ms` is never before `end_ms`, so for most items the first comparison decides.
            if now_ms >= item.end_ms and now_ms >= item.retain_until_ms:
                self.apply_and_record(WorkDropped(name=item.name))
            elif item.owner and (item.owner in lost or item.owner not in members):
                self.transfer(item, item.deaths + self.owner_had_accepted(item), now_ms)
            elif item.awaits_taker and not self.must_wait_for_taker(item, now_ms):
                self.transfer(item, item.deaths, now_ms)
        for holder in lost:
            del members[holder]

    def owner_had_accepted(self, item: WorkItem) -> bool:
        """Return whether a lost owner counts in `deaths`: it has no unacknowledged transfer of the item."""
        member = self.membership.members.get(item.owner)
        return member is None or item.fence not in member.unacknowledged

    def must_wait_for_taker(self, item: WorkItem, now_ms: int) -> bool:
        """Return whether an item is still wanted, and no holder can take it."""
        return item.is_wanted(now_ms) and not self.membership.choose_taker(item, now_ms)

    def transfer(self, item: WorkItem, deaths: int, now_ms: int) -> None:
        """Transfer an item that has lost its owner, or has none, to another holder if it is still wanted.

        Otherwise records its outcome, if it must not be continued. `deaths` is its new count of lost owners.
        """
        outcome = item.outcome_after(deaths)
        wanted = outcome is None and item.is_wanted(now_ms)
        taker = self.membership.choose_taker(item, now_ms) if wanted else ""
        self.apply_and_record(
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
        """Record the outcome of an item."""
        self.apply_and_record(WorkEnded(name=item.name, outcome=outcome, at_ms=now_ms, value=value))
        self.counters.ended[outcome] += 1

    # --- requests ---

    def handle(self, request: WorkRequest, now_ms: int) -> WorkDecision:
        """Renew a holder's lease, and carry out its operations.

        A repeated or overtaken request, or one from a replaced incarnation, changes nothing: the result of
        each of its operations is `LOST`.

        Raises:
            RequestRejectedError: The gateway's number is out of range.
        """
        self.records = []
        if not 0 <= request.gateway < MAX_GATEWAYS:
            raise RequestRejectedError(f"gateways are numbered from 0 to {MAX_GATEWAYS - 1}")
        if self.membership.is_stale(request):
            return WorkDecision(self.response(request, [LOST for _ in request.operations]), [])
        if request.incarnation > self.membership.latest_incarnation_of(request.gateway):
            self.membership.record_incarnation(request.gateway, request.incarnation)
            self.transfer_and_drop_items(now_ms)  # the items of its earlier incarnation
        member = self.membership.renew(request, now_ms + self.lease_ms)
        if request.operations:
            stamp = RequestStamp(request.gateway, request.incarnation, request.serial)
            self.records.append(stamp.to_record())
        holder = holder_name(request.gateway, request.incarnation)
        results = [
            self.apply_operation(holder, operation, now_ms)
            for operation in request.operations[:MAX_OPERATIONS]
        ]
        response = self.response(request, results, self.unaccepted_transfers(member, now_ms))
        return WorkDecision(response, self.records)

    def unaccepted_transfers(self, member: Member, now_ms: int) -> list[TransferredWork]:
        """Return transferred items that a holder has not acknowledged, up to the limit of one response."""
        unaccepted = []
        for fence, name in list(member.unacknowledged.items())[:MAX_TRANSFERRED_PER_RESPONSE]:
            item = self.store.items.get(name)
            if item is not None and item.fence == fence:
                unaccepted.append(item.transferred(now_ms))
        return unaccepted

    def response(
        self,
        request: WorkRequest,
        results: list[OperationResult],
        transferred: Iterable[TransferredWork] = (),
    ) -> WorkResponse:
        """Return the response to a request, with these results and transferred items."""
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
        """Carry out one operation of a holder."""
        if isinstance(operation, BeginWork):
            return self.begin(holder, operation, now_ms)
        item = self.store.items.get(operation.name)
        if item is None or item.fence != operation.fence:
            return LOST
        persisted = OperationResult(status=OperationStatus.PERSISTED, fence=operation.fence)
        if isinstance(operation, CompleteWork) and item.was_completed:
            return persisted  # repeated, as the response was lost
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
        """Store the value of an item; if it does not fit, the outcome is recorded as unknown."""
        size = len(operation.value)
        self.make_room(size)
        if size <= MAX_VALUE_BYTES and self.store.total_bytes + size <= MAX_STORED_BYTES:
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
        """Record that an item may run at an operation's server from now on."""
        self.apply_and_record(
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
        """Release an item from its owner.

        With `transfer` it goes to another holder. Otherwise an item that never ran is dropped, and one that
        may have run stays without an owner until a gateway requests it again.
        """
        if operation.transfer:
            item.declined_by |= {holder}
            if operation.never_ran:
                self.apply_and_record(
                    WorkAttempted(
                        name=operation.name, server="", place="", at_ms=now_ms, earlier_never_ran=True
                    )
                )
            self.transfer(item, item.deaths, now_ms)
        elif operation.never_ran:
            self.apply_and_record(WorkDropped(name=item.name))
        else:
            self.leave_without_owner(item)

    def leave_without_owner(self, item: WorkItem) -> None:
        """Leave an item without an owner until a gateway begins it again for a client's request."""
        self.apply_and_record(
            WorkOwned(
                name=item.name, owner="", fence=self.store.fence + 1, end_ms=item.end_ms, deaths=item.deaths
            )
        )

    def begin(self, holder: str, operation: BeginWork, now_ms: int) -> OperationResult:
        """Begin an item, unless there already is one by that name.

        For an existing item the result is its stored outcome if it has ended. If it has an owner, the result
        is `ELSEWHERE`, or the fence if the owner repeats the same request. An item without an owner is given
        to the holder if it may run again; otherwise the result is `FAILED`.
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
            # The same request again, whose response was lost.
            if (item.owner, item.request_id) == (holder, operation.request_id):
                return self.owned_result(item, item.run_before_owner, now_ms)
            item.end_ms = end_ms  # the repeated request extends the time for any later owner
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
        """Give an item without an owner to the holder that requests it again, if it may run again."""
        if not item.may_run_again(now_ms):
            return FAILED
        ran_at = item.last_run
        self.apply_and_record(
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
        """Return the result for the item's owner, with the location where the item may have run before."""
        return OperationResult(
            status=OperationStatus.PERSISTED,
            fence=item.fence,
            server=ran_at.server,
            place=ran_at.place,
            left_ms=max(0, item.workable_until_ms - now_ms),
        )

    def begin_new(self, holder: str, operation: BeginWork, now_ms: int) -> OperationResult:
        """Store a new item if there is room."""
        size = len(operation.request)
        fits = size <= MAX_REQUEST_BYTES and len(operation.name) <= MAX_NAME_CHARS
        has_room = self.make_room(size)
        if not (fits and has_room and self.store.customer_has_room(operation.customer)):
            self.counters.rejected_full += 1
            return OperationResult(status=OperationStatus.FULL)
        self.apply_and_record(
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
        """Evict the oldest ended items until another item of `size` bytes fits; unfinished items stay.

        Returns:
            Whether it fits.
        """
        if self.store.has_room(size):
            return True
        for item in self.store.ended_items():
            if self.store.has_room(size):
                return True
            self.apply_and_record(WorkDropped(name=item.name))
            self.counters.evicted += 1
        return self.store.has_room(size)
