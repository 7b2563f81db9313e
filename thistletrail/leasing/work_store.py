"""The store of work items: its bounds, and how journal records change it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from msgspec import Struct

from thistletrail.leasing.messages import TransferredWork, WorkEffect
from thistletrail.leasing.work_records import (
    WorkAttempted,
    WorkBegan,
    WorkEnded,
    WorkOutcome,
    WorkOwned,
    WorkRecord,
)

MAX_ITEMS = 20_000  # in the fleet: 100 for each of 200 gateways, whose own request limit is higher
MAX_STORED_BYTES = 64 << 20  # requests and values: a third of the memory of a gateway's machine
MAX_ITEMS_PER_CUSTOMER = 400  # more than any plan has in flight within an idempotency window
MAX_OWNER_DEATHS = 2  # an item that has lost this many owners is parked, as it may have caused the losses
MAX_PARKED = 100  # items retained for an operator to inspect


class Location(Struct, frozen=True):
    """Where an attempt was sent: the server, and the group of servers that deduplicate together."""

    server: str
    place: str


NOWHERE = Location("", "")


@dataclass(slots=True)
class WorkItem:
    """One work item.

    Attributes:
        name: Identifies the item in the fleet.
        digest: Digest of the request that the name stands for.
        customer: The customer whose limit on items it counts against.
        effect: How often it may run.
        end_ms: Until when its result is wanted.
        window_ms: How long servers remember a keyed item.
        request: What an owner needs to continue it; opaque to the lease service.
        owner: The holder that owns it; empty if none does.
        fence: The fencing token of its owner.
        request_id: The owner's request for the item; empty if it was transferred or has no owner.
        last_run: Location of the last attempt that may have run; `NOWHERE` if none has.
        run_before_owner: The value of `last_run` when the owner got the item.
        first_run_ms: When the first attempt that may have run was made.
        attempt_number: Number of the owner's last attempt under its fence.
        deaths: How many owners were lost, without those that had not acknowledged its transfer.
        awaits_taker: Whether it is transferred once a holder can take it over; until then it has no owner.
        outcome: How it has ended; None before.
        value: The value of an item that was served.
        ended_ms: When it ended; 0 before.
        declined_by: The holders that released it for transfer; none is chosen as its taker. Not journaled.
    """

    name: str
    digest: str
    customer: str
    effect: WorkEffect
    end_ms: int
    window_ms: int
    request: bytes
    owner: str
    fence: int
    request_id: str = ""
    last_run: Location = NOWHERE
    run_before_owner: Location = NOWHERE
    first_run_ms: int = 0
    attempt_number: int = 0
    deaths: int = 0
    awaits_taker: bool = False
    outcome: WorkOutcome | None = None
    value: bytes = b""
    ended_ms: int = 0
    declined_by: frozenset[str] = frozenset()

    @classmethod
    def from_record(cls, record: WorkBegan) -> WorkItem:
        """Return a new item with the fields of its first record."""
        return cls(
            record.name,
            record.digest,
            record.customer,
            record.effect,
            record.end_ms,
            record.window_ms,
            record.request,
            record.owner,
            record.fence,
            record.request_id,
        )

    @property
    def size(self) -> int:
        """Bytes that count against `MAX_STORED_BYTES`."""
        return len(self.request) + len(self.value) + len(self.name)

    @property
    def retain_until_ms(self) -> int:
        """When the item may be dropped: its result is not wanted, and servers no longer remember it."""
        return max(self.end_ms, (self.ended_ms or self.first_run_ms) + self.window_ms)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have run."""
        return bool(self.last_run.server)

    @property
    def workable_until_ms(self) -> int:
        """Until when the item may be attempted; a keyed item that ran, only while its servers remember it."""
        if self.last_run.server and self.effect is WorkEffect.KEYED:
            return min(self.end_ms, self.first_run_ms + self.window_ms)
        return self.end_ms

    def may_run_again(self, now_ms: int) -> bool:
        """Return whether another attempt is allowed by the item's effect."""
        if not self.may_have_run or self.effect is WorkEffect.SAFE:
            return True
        return self.effect is WorkEffect.KEYED and now_ms < self.first_run_ms + self.window_ms

    def is_wanted(self, now_ms: int) -> bool:
        """Return whether the item should be continued by another holder.

        A safe item is not: its name belongs to a single request, so no client asks for its result again.
        """
        return now_ms < self.end_ms and self.may_run_again(now_ms) and self.effect is not WorkEffect.SAFE

    def outcome_after(self, deaths: int) -> WorkOutcome | None:
        """Return the outcome of an item with this count of `deaths`; None if it may be continued."""
        if deaths >= MAX_OWNER_DEATHS:
            return WorkOutcome.PARKED
        if self.effect is WorkEffect.UNSAFE and self.may_have_run:
            return WorkOutcome.UNKNOWN
        return None

    @property
    def was_completed(self) -> bool:
        """Whether it has ended as served or unknown, rather than parked."""
        return not self.owner and self.outcome in (WorkOutcome.SERVED, WorkOutcome.UNKNOWN)

    def transferred(self, now_ms: int) -> TransferredWork:
        """Return the item as it is sent to its new owner."""
        return TransferredWork(
            name=self.name,
            fence=self.fence,
            request=self.request,
            server=self.last_run.server,
            place=self.last_run.place,
            left_ms=max(0, self.workable_until_ms - now_ms),
        )

    def attempted_record(self, location: Location, number: int, earlier_never_ran: bool) -> WorkAttempted:
        """Return the record of an attempt, dated with the time of the first attempt."""
        return WorkAttempted(
            name=self.name,
            server=location.server,
            place=location.place,
            at_ms=self.first_run_ms,
            number=number,
            earlier_never_ran=earlier_never_ran,
        )

    def records(self) -> Iterator[WorkRecord]:
        """Yield the records that restore the item to its present state."""
        yield WorkBegan(
            name=self.name,
            digest=self.digest,
            customer=self.customer,
            effect=self.effect,
            end_ms=self.end_ms,
            window_ms=self.window_ms,
            request=self.request,
            owner=self.owner,
            fence=self.fence,
            request_id=self.request_id,
        )
        if self.run_before_owner.server:
            yield self.attempted_record(self.run_before_owner, 0, False)
        yield WorkOwned(
            name=self.name,
            owner=self.owner,
            fence=self.fence,
            end_ms=self.end_ms,
            request_id=self.request_id,
            deaths=self.deaths,
            awaits_taker=self.awaits_taker,
        )
        yield self.attempted_record(self.last_run, self.attempt_number, True)
        if self.outcome is not None:
            yield WorkEnded(name=self.name, outcome=self.outcome, at_ms=self.ended_ms, value=self.value)


@dataclass(slots=True)
class WorkCounters:
    """Counts of events since this process began."""

    begun: int = 0
    rejected_full: int = 0
    transferred: int = 0
    evicted: int = 0
    ended: Counter[WorkOutcome] = field(default_factory=Counter)


class WorkStore:
    """Work items by name, their totals for the limits, and the highest fencing token."""

    def __init__(self, fence: int) -> None:
        """Create an empty store; fencing tokens are greater than `fence`."""
        self.fence = fence
        self.items: dict[str, WorkItem] = {}
        self.total_bytes = 0
        self.item_count_by_customer: dict[str, int] = {}
        self.parked: list[WorkItem] = []

    def has_room(self, size: int) -> bool:
        """Return whether another item of `size` bytes fits."""
        return self.total_bytes + size <= MAX_STORED_BYTES and len(self.items) < MAX_ITEMS

    def customer_has_room(self, customer: str) -> bool:
        """Return whether the customer may have another item."""
        return self.item_count_by_customer.get(customer, 0) < MAX_ITEMS_PER_CUSTOMER

    def ended_items(self) -> list[WorkItem]:
        """Return the items that have ended, the oldest outcome first."""
        ended = (item for item in self.items.values() if item.outcome is not None)
        return sorted(ended, key=lambda item: item.ended_ms)

    def records(self) -> Iterator[WorkRecord]:
        """Yield the records that restore all items, for a snapshot."""
        for item in self.items.values():
            yield from item.records()

    def apply(self, record: WorkRecord) -> None:
        """Apply a new record or one of a journal; a record of an unknown item has no effect."""
        if isinstance(record, WorkBegan):
            self.add(WorkItem.from_record(record))
            self.fence = max(self.fence, record.fence)
            return
        item = self.items.get(record.name)
        if item is None:
            return
        if isinstance(record, WorkAttempted):
            self.apply_attempted(item, record)
        elif isinstance(record, WorkOwned):
            self.apply_owned(item, record)
        elif isinstance(record, WorkEnded):
            self.apply_ended(item, record)
        else:
            self.remove(item)

    def apply_attempted(self, item: WorkItem, record: WorkAttempted) -> None:
        """Set the location where the item may run from now on."""
        is_first_run = record.earlier_never_ran or not item.last_run.server
        if is_first_run and not item.run_before_owner.server:
            item.first_run_ms = record.at_ms
        item.last_run = Location(record.server, record.place)
        item.attempt_number = record.number

    def apply_owned(self, item: WorkItem, record: WorkOwned) -> None:
        """Set the item's owner; empty for none."""
        item.owner = record.owner
        item.fence = record.fence
        item.end_ms = record.end_ms
        item.request_id = record.request_id
        item.run_before_owner = item.last_run
        item.deaths = record.deaths
        item.attempt_number = 0
        item.awaits_taker = record.awaits_taker
        self.fence = max(self.fence, record.fence)

    def apply_ended(self, item: WorkItem, record: WorkEnded) -> None:
        """Set the item's outcome and value, and clear its owner."""
        self.total_bytes += len(record.value) - len(item.value)
        item.outcome = record.outcome
        item.value = record.value
        item.ended_ms = record.at_ms
        item.owner = ""
        if record.outcome is WorkOutcome.PARKED:
            self.parked = [*self.parked[1 - MAX_PARKED :], item]

    def add(self, item: WorkItem) -> None:
        """Add an item to the store and its totals."""
        self.items[item.name] = item
        self.total_bytes += item.size
        self.item_count_by_customer[item.customer] = self.item_count_by_customer.get(item.customer, 0) + 1

    def remove(self, item: WorkItem) -> None:
        """Remove an item from the store and its totals."""
        del self.items[item.name]
        self.total_bytes -= item.size
        self.item_count_by_customer[item.customer] -= 1
        if not self.item_count_by_customer[item.customer]:
            del self.item_count_by_customer[item.customer]
