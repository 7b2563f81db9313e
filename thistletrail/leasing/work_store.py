"""All work items, their bounds, and how journal records change them."""

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

MAX_ITEMS = 20_000  # over the fleet: 100 for each of 200 gateways, whose own bound on requests is higher
MAX_BYTES = 64 << 20  # of requests and kept values: a third of the memory of a gateway's machine
MAX_ITEMS_OF_CUSTOMER = 400  # no plan has so many in flight within a window
MAX_DEATHS = 2  # of owners while they had an item: the third would die of it too
MAX_PARKED = 100  # items kept for people to look at


class Location(Struct, frozen=True):
    """Where an attempt went: a server, and the group of servers that drop each other's repeats."""

    server: str
    place: str


NOWHERE = Location("", "")


@dataclass(slots=True)
class WorkItem:
    """One work item.

    Attributes:
        name: Identifies it over the whole fleet.
        digest: Of what is requested under that name.
        customer: Whose bound on items it counts against.
        effect: How often it may run.
        end_ms: Until when its result is wanted.
        window_ms: For how long servers remember a keyed item.
        request: What an owner needs to go on with it; opaque here.
        owner: The holder that owns it; empty while nobody does.
        fence: The fencing number of its owner.
        request_id: The request for which its owner goes on with it.
        last_run: The last attempt that may have run; `NOWHERE` if none has.
        run_before_owner: The same as of when its owner got it.
        first_run_ms: When the first attempt that may have run was made.
        attempt_number: Of the owner's last attempt under its fence.
        deaths: How many owners have died while they had it.
        awaits_taker: Whether the next gateway that can take it becomes its owner.
        outcome: How it has ended; None while it has not.
        value: The value of an item that has ended well.
        ended_ms: When it ended; 0 while it has not.
        declined_by: The holders to which it was transferred and that gave it up.
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
        """Return a new item as its first record has it."""
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
        """Bytes that count against the bound."""
        return len(self.request) + len(self.value) + len(self.name)

    @property
    def forget_ms(self) -> int:
        """When nobody can make use of it any more."""
        return max(self.end_ms, (self.ended_ms or self.first_run_ms) + self.window_ms)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt of it may have run."""
        return bool(self.last_run.server)

    @property
    def workable_until_ms(self) -> int:
        """Until when it may be worked on: what has run may run again only while its servers remember it."""
        if self.last_run.server and self.effect is WorkEffect.KEYED:
            return min(self.end_ms, self.first_run_ms + self.window_ms)
        return self.end_ms

    def may_run_again(self, now_ms: int) -> bool:
        """Return whether another attempt could not be one too many."""
        if not self.may_have_run or self.effect is WorkEffect.SAFE:
            return True
        return self.effect is WorkEffect.KEYED and now_ms < self.first_run_ms + self.window_ms

    def is_wanted(self, now_ms: int) -> bool:
        """Return whether going on with the item is of use to anybody.

        That of a safe item is to nobody: its name is of one request, which nobody sends again.
        """
        return now_ms < self.end_ms and self.may_run_again(now_ms) and self.effect is not WorkEffect.SAFE

    def outcome_after(self, deaths: int) -> WorkOutcome | None:
        """Return its outcome if no other holder may go on with it after so many deaths; None if one may."""
        if deaths >= MAX_DEATHS:
            return WorkOutcome.PARKED
        if self.effect is WorkEffect.UNSAFE and self.may_have_run:
            return WorkOutcome.UNKNOWN
        return None

    @property
    def was_completed(self) -> bool:
        """Whether an owner has ended it."""
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
        """Return the record of an attempt at the time of the first one."""
        return WorkAttempted(
            name=self.name,
            server=location.server,
            place=location.place,
            at_ms=self.first_run_ms,
            number=number,
            earlier_never_ran=earlier_never_ran,
        )

    def records(self) -> Iterator[WorkRecord]:
        """Yield records that bring the item back as it is."""
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
    """How often something happened since this process began."""

    begun: int = 0
    rejected_full: int = 0
    transferred: int = 0
    evicted: int = 0
    ended: Counter[WorkOutcome] = field(default_factory=Counter)


class WorkStore:
    """Work items by name, with what counts against the bounds, and the highest fencing number."""

    def __init__(self, fence: int) -> None:
        """Begin without items; fencing numbers are above `fence`."""
        self.fence = fence
        self.items: dict[str, WorkItem] = {}
        self.total_bytes = 0
        self.items_of_customer: dict[str, int] = {}
        self.parked: list[WorkItem] = []

    def has_room(self, size: int) -> bool:
        """Return whether another item with so many bytes fits."""
        return self.total_bytes + size <= MAX_BYTES and len(self.items) < MAX_ITEMS

    def customer_has_room(self, customer: str) -> bool:
        """Return whether the customer may have another item."""
        return self.items_of_customer.get(customer, 0) < MAX_ITEMS_OF_CUSTOMER

    def ended_items(self) -> list[WorkItem]:
        """Return the items that have ended, the oldest outcome first."""
        ended = (item for item in self.items.values() if item.outcome is not None)
        return sorted(ended, key=lambda item: item.ended_ms)

    def records(self) -> Iterator[WorkRecord]:
        """Yield records that bring all items back: what a snapshot holds."""
        for item in self.items.values():
            yield from item.records()

    def apply(self, record: WorkRecord) -> None:
        """Make a change that a record says, new or read from a journal; one of no known item says nothing."""
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
        """Note where the item may run from now on."""
        is_first_run = record.earlier_never_ran or not item.last_run.server
        if is_first_run and not item.run_before_owner.server:
            item.first_run_ms = record.at_ms
        item.last_run = Location(record.server, record.place)
        item.attempt_number = record.number

    def apply_owned(self, item: WorkItem, record: WorkOwned) -> None:
        """Give the item to another owner, or to none."""
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
        """Keep the outcome of the item; nobody owns it any more."""
        self.total_bytes += len(record.value) - len(item.value)
        item.outcome = record.outcome
        item.value = record.value
        item.ended_ms = record.at_ms
        item.owner = ""
        if record.outcome is WorkOutcome.PARKED:
            self.parked = [*self.parked[1 - MAX_PARKED :], item]

    def add(self, item: WorkItem) -> None:
        """Add an item, and count it."""
        self.items[item.name] = item
        self.total_bytes += item.size
        self.items_of_customer[item.customer] = self.items_of_customer.get(item.customer, 0) + 1

    def remove(self, item: WorkItem) -> None:
        """Forget an item, and count it no more."""
        del self.items[item.name]
        self.total_bytes -= item.size
        self.items_of_customer[item.customer] -= 1
        if not self.items_of_customer[item.customer]:
            del self.items_of_customer[item.customer]
