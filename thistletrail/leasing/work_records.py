"""Journal records of work items: every change of the work state is one of these.

The names that are stored (`name=`, `tag=`) are older than those of Python and stay as they are, so that a
process reads the journal of the one before it. `place` is a group of servers that drop each other's repeats.
"""

from __future__ import annotations

import enum

from msgspec import field

from thistletrail.leasing.messages import Message, WorkEffect


class WorkOutcome(enum.StrEnum):
    """How a work item has ended."""

    SERVED = "served"  # with a value, which is kept
    UNKNOWN = "unknown"  # it may have run, and must not run again
    PARKED = "parked"  # its owners died of it; it is kept for people to look at


class WorkBegan(Message, frozen=True, tag="began", tag_field="work"):
    """An item has its first owner. `end_ms` is until when its result is wanted."""

    name: str
    digest: str
    customer: str
    effect: WorkEffect
    end_ms: int
    window_ms: int
    request: bytes
    owner: str
    fence: int
    request_id: str = field(name="id")


class WorkAttempted(Message, frozen=True, tag="tried", tag_field="work"):
    """An attempt may be sent from now on; without a server, none has run so far.

    `earlier_never_ran` says that no attempt before it has run.
    """

    name: str
    server: str
    place: str
    at_ms: int
    number: int = 0
    earlier_never_ran: bool = field(default=False, name="unrun")


class WorkOwned(Message, frozen=True, tag="owned", tag_field="work"):
    """An item has another owner, or none.

    `request_id` is the request for which the owner goes on with it. `awaits_taker` says that the next
    gateway that can take it becomes its owner.
    """

    name: str
    owner: str
    fence: int
    end_ms: int
    request_id: str = field(default="", name="id")
    deaths: int = 0
    awaits_taker: bool = field(default=False, name="orphan")


class WorkEnded(Message, frozen=True, tag="ended", tag_field="work"):
    """An outcome is kept, with its value if there is one."""

    name: str
    outcome: WorkOutcome = field(name="how")
    at_ms: int
    value: bytes = b""


class WorkDropped(Message, frozen=True, tag="dropped", tag_field="work"):
    """An item is forgotten."""

    name: str


WorkRecord = WorkBegan | WorkAttempted | WorkOwned | WorkEnded | WorkDropped
