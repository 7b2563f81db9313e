"""Messages between the lease service and the holders of leases, as they are encoded on the wire.

Amounts are integers; times are in milliseconds. Names on the wire (`name=`, `tag=`) are older than those of
Python and stay as they are, so that programs of different revisions understand each other.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from msgspec import Struct, field


class Message(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all messages and journal records: immutable, and strict about unknown fields."""


class BudgetRequest(Message, frozen=True):
    """What a holder requests of one budget.

    Attributes:
        budget: The name of the budget.
        demand: Recent demand: a count, or thousandths of units a second.
        fence: The fencing number of the latest grant that the holder has adopted; 0 for none.
        returned_units: Unspent units that no longer fitted when that grant was adopted.
        needed_units: Units that requests wait for now, beyond what the holder has.
        in_use: How much of a count is in use.
    """

    budget: str
    demand: int
    fence: int = 0
    returned_units: int = field(default=0, name="back")
    needed_units: int = field(default=0, name="need")
    in_use: int = field(default=0, name="used")


class RenewRequest(Message, frozen=True):
    """A renewal of all leases of one incarnation of a gateway; `serial` rises from request to request."""

    gateway: int = field(name="door")
    incarnation: int = field(name="mark")
    serial: int
    budgets: tuple[BudgetRequest, ...] = field(default=(), name="wants")


class Grant(Message, frozen=True):
    """A share of a budget, valid from when the request was sent until the lease ends.

    `units` come with it, once, into the holder's store.
    """

    budget: str
    share: int = field(name="part")
    fence: int
    units: int = 0


class RenewResponse(Message, frozen=True):
    """The response to the request of the same gateway, incarnation and serial."""

    gateway: int = field(name="door")
    incarnation: int = field(name="mark")
    serial: int
    lease_ms: int
    grants: tuple[Grant, ...] = ()


def holder_name(gateway: int, incarnation: int) -> str:
    """Return the name of a holder: one incarnation of a gateway."""
    return f"{gateway}/{incarnation}"


class HolderId(NamedTuple):
    """One incarnation of a gateway."""

    gateway: int
    incarnation: int


def parse_holder_name(name: str) -> HolderId:
    """Return what `holder_name` made a name of."""
    gateway, _, incarnation = name.partition("/")
    return HolderId(int(gateway), int(incarnation))


WORK_LEASE_MS = 1000  # half of the shortest request deadline: what is taken over has time left
MAX_OPERATIONS = 500  # of one work request


class WorkEffect(enum.StrEnum):
    """How often a work item may run."""

    SAFE = "safe"  # repeatable without limit
    KEYED = "keyed"  # its servers drop repeats of its key within a window
    UNSAFE = "unsafe"  # once at most


class BeginWork(Message, frozen=True, tag="begin"):
    """A gateway is about to forward a work item for the first time: journaled before the first byte is sent.

    Attributes:
        name: Identifies the item over the whole fleet.
        request_id: This gateway's request for it.
        digest: Of what is requested under that name.
        customer: Whose bound on work items it counts against.
        effect: How often it may run.
        left_ms: For how long from now its result is wanted.
        window_ms: For how long servers remember a keyed item.
        request: Opaque to the lease service: what another gateway needs to go on.
        server: Where the first attempt goes.
        place: The group of servers, that drop each other's repeats, which the server belongs to.
    """

    name: str
    request_id: str = field(name="id")
    digest: str
    customer: str
    effect: WorkEffect
    left_ms: int
    window_ms: int
    request: bytes
    server: str
    place: str


class AttemptWork(Message, frozen=True, tag="try"):
    """Another attempt, at that server, by its `number` from 1 under this fence.

    `earlier_never_ran` says that no attempt before it arrived completely at its server.
    """

    name: str
    fence: int
    number: int
    server: str
    place: str
    earlier_never_ran: bool = field(default=False, name="unrun")


class CompleteWork(Message, frozen=True, tag="done"):
    """The item has ended well with that value, which whoever requests its name again gets."""

    name: str
    fence: int
    value: bytes


class ReleaseWork(Message, frozen=True, tag="leave"):
    """The owner gives the item up.

    With `transfer` another gateway is to go on with it; without, nobody waits for it here any more.
    `never_ran` says that no attempt of it has ever run.
    """

    name: str
    fence: int
    transfer: bool = field(default=False, name="on")
    never_ran: bool = field(default=False, name="unrun")


WorkOperation = BeginWork | AttemptWork | CompleteWork | ReleaseWork


class WorkRequest(Message, frozen=True):
    """Operations of one incarnation of a gateway on its work items; each request renews its lease.

    `incarnation` rises from one start of a gateway to the next. `accepted_fences` are those of transferred
    items that have arrived; `is_draining` says that no more items are to be transferred to it.
    """

    gateway: int = field(name="door")
    incarnation: int = field(name="mark")
    serial: int
    operations: tuple[WorkOperation, ...] = field(default=(), name="ops")
    accepted_fences: tuple[int, ...] = field(default=(), name="took")
    is_draining: bool = field(default=False, name="leaving")


class OperationStatus(enum.StrEnum):
    """What became of an operation."""

    PERSISTED = "kept"  # it is in the journal, and the item is the sender's under the fence of the result
    FULL = "full"  # there is no room: the item goes on without a lease
    ANSWERED = "answered"  # the item has ended before, with the value of the result
    FAILED = "failed"  # the item has ended, and how is not known
    ELSEWHERE = "elsewhere"  # another gateway owns the item
    CONFLICT = "other"  # the name stands for another request
    LOST = "lost"  # the fence of the operation is not the present one


class OperationResult(Message, frozen=True):
    """What became of one operation.

    Attributes:
        status: What became of it.
        fence: The fencing number under which the sender owns the item.
        left_ms: For how long the item may be worked on.
        server: Where it may have run before; empty for nowhere.
        place: The group of servers where it may have run before.
        value: The value of an item that has ended well.
    """

    status: OperationStatus = field(name="how")
    fence: int = 0
    left_ms: int = 0
    server: str = ""
    place: str = ""
    value: bytes = b""


class TransferredWork(Message, frozen=True):
    """An item of a lost owner that this gateway is to go on with, under a fence of its own.

    `server` and `place` say where it may have run before; they are empty where it has not.
    """

    name: str
    fence: int
    request: bytes
    left_ms: int
    server: str = ""
    place: str = ""


class WorkResponse(Message, frozen=True):
    """The response to one work request: a result for each operation, in order, and transferred items."""

    gateway: int = field(name="door")
    incarnation: int = field(name="mark")
    serial: int
    lease_ms: int
    results: tuple[OperationResult, ...] = field(default=(), name="told")
    transferred: tuple[TransferredWork, ...] = field(default=(), name="handed")
