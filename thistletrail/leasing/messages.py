"""Messages between the lease service and the lease holders, as they are encoded on the wire.

Amounts are integers; times are in milliseconds. The names on the wire (`name=`, `tag=`) differ from the
attributes and must stay as they are, so that programs of different revisions can exchange messages.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from msgspec import Struct, field


class Message(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all messages and journal records: immutable, and unknown fields are rejected."""


class BudgetRequest(Message, frozen=True):
    """A holder's request for a share of one budget.

    Attributes:
        budget: The name of the budget.
        demand: Recent demand: a count, or thousandths of a unit per second.
        fence: The fencing token of the latest grant that the holder has adopted; 0 for none.
        returned_units: Units that exceeded the token bucket's capacity when that grant was adopted.
        needed_units: Units that queued requests need now beyond what the holder has.
        in_use: How much of a count is in use.
    """

    budget: str
    demand: int
    fence: int = 0
    returned_units: int = field(default=0, name="back")
    needed_units: int = field(default=0, name="need")
    in_use: int = field(default=0, name="used")


class RenewRequest(Message, frozen=True):
    """A renewal of all leases of one incarnation of a gateway; `serial` rises with each request."""

    gateway: int = field(name="door")
    incarnation: int = field(name="mark")
    serial: int
    budgets: tuple[BudgetRequest, ...] = field(default=(), name="wants")


class Grant(Message, frozen=True):
    """A share of a budget, valid from when the request was sent until the lease ends.

    `units` are added once to the holder's token bucket.
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
    """Return the gateway and incarnation of a name that `holder_name` returned."""
    gateway, _, incarnation = name.partition("/")
    return HolderId(int(gateway), int(incarnation))


WORK_LEASE_MS = 1000  # half of the shortest request deadline, to leave time after a takeover
MAX_OPERATIONS = 500  # in one work request


class WorkEffect(enum.StrEnum):
    """How often a work item may run."""

    SAFE = "safe"  # repeatable without limit
    KEYED = "keyed"  # servers deduplicate by its idempotency key within a window
    UNSAFE = "unsafe"  # at most once


class BeginWork(Message, frozen=True, tag="begin"):
    """A gateway is about to forward a work item; this is journaled before its first byte is sent.

    Attributes:
        name: Identifies the item in the fleet.
        request_id: This gateway's request for the item.
        digest: Digest of the request that the name stands for.
        customer: The customer whose limit on work items it counts against.
        effect: How often it may run.
        left_ms: How long from now its result is wanted.
        window_ms: How long servers remember a keyed item.
        request: What another gateway needs to continue it; opaque to the lease service.
        server: The server of the first attempt.
        place: The group of servers, which deduplicate together, that the server belongs to.
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
    """Another attempt at `server`; `number` counts attempts under this fence from 1.

    `earlier_never_ran` means that no earlier attempt has run, under this fence or an earlier one.
    """

    name: str
    fence: int
    number: int
    server: str
    place: str
    earlier_never_ran: bool = field(default=False, name="unrun")


class CompleteWork(Message, frozen=True, tag="done"):
    """The item was served with `value`, which answers later requests for the same name."""

    name: str
    fence: int
    value: bytes


class ReleaseWork(Message, frozen=True, tag="leave"):
    """The owner gives up the item.

    With `transfer` another gateway is to continue it. Without, it is dropped if it never ran; else it has no
    owner until a gateway begins it again for a client's request.
    `never_ran` means that no attempt has ever run.
    """

    name: str
    fence: int
    transfer: bool = field(default=False, name="on")
    never_ran: bool = field(default=False, name="unrun")


WorkOperation = BeginWork | AttemptWork | CompleteWork | ReleaseWork


class WorkRequest(Message, frozen=True):
    """Operations of one incarnation of a gateway on its work items; each request renews its lease.

    `incarnation` rises with each start of a gateway. `accepted_fences` are the fencing tokens of transferred
    items whose arrival the gateway acknowledges; `is_draining` means that no more items should be transferred
    to this gateway.
    """

    gateway: int = field(name="door")
    incarnation: int = field(name="mark")
    serial: int
    operations: tuple[WorkOperation, ...] = field(default=(), name="ops")
    accepted_fences: tuple[int, ...] = field(default=(), name="took")
    is_draining: bool = field(default=False, name="leaving")


class OperationStatus(enum.StrEnum):
    """The status of an operation's result."""

    PERSISTED = "kept"  # journaled; the sender owns the item under the fence of the result
    FULL = "full"  # there is no room, and the item is not recorded
    ANSWERED = "answered"  # the item was served before, with the value of the result
    FAILED = "failed"  # the item cannot be continued, and its value is not known
    ELSEWHERE = "elsewhere"  # another gateway, or another request of this one, owns the item
    CONFLICT = "other"  # the name stands for another request
    LOST = "lost"  # the fence is not the current one, the sender is not the owner, or the request is stale


class OperationResult(Message, frozen=True):
    """The result of one operation.

    Attributes:
        status: Whether the operation was carried out, or why not.
        fence: The fencing token under which the sender owns the item.
        left_ms: How long from now the item may be attempted.
        server: The server where it may have run before the sender became its owner; empty if none.
        place: The group of servers, which deduplicate together, that `server` belongs to; empty if none.
        value: The value of an item that was served.
    """

    status: OperationStatus = field(name="how")
    fence: int = 0
    left_ms: int = 0
    server: str = ""
    place: str = ""
    value: bytes = b""


class TransferredWork(Message, frozen=True):
    """An item that this gateway is to continue under a new fence, as its owner was lost or released it.

    `server` and `place` are where it may have run before; they are empty if it has not run.
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
