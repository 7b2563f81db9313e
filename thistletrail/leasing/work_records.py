"""Journal records of work items: each change of an item that a restart must restore is one of these.

The stored names (`name=`, `tag=`) differ from the attributes and must stay as they are, so that a process can
read the journal of an earlier revision. `place` is a group of servers that deduplicate requests together.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from msgspec import field

from thistletrail.leasing.messages import Message, WorkEffect


class WorkOutcome(enum.StrEnum):
    """How a work item has ended."""

    SERVED = "served"  # completed with a value, which is stored
    UNKNOWN = "unknown"  # may have run, and must not run again
    PARKED = "parked"  # given up after several owners were lost, and retained for an operator to inspect


class WorkBegan(Message, frozen=True, tag="began", tag_field="work"):
    """An item has its first owner; its result is wanted until `end_ms`."""

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
    """An attempt may be sent from now on; an empty `server` means that none has run so far.

    `earlier_never_ran` means that no earlier attempt has run.
    """

    name: str
    server: str
    place: str
    at_ms: int
    number: int = 0
    earlier_never_ran: bool = field(default=False, name="unrun")


class WorkOwned(Message, frozen=True, tag="owned", tag_field="work"):
    """An item has another owner, or none if `owner` is empty.

    `request_id` is the owner's request for the item; empty if the item was transferred or has no owner.
    `awaits_taker` means that the item is transferred once a holder can take it over.
    """

    name: str
    owner: str
    fence: int
    end_ms: int
    request_id: str = field(default="", name="id")
    deaths: int = 0
    awaits_taker: bool = field(default=False, name="orphan")


class WorkEnded(Message, frozen=True, tag="ended", tag_field="work"):
    """An item has ended; `value` is empty unless it was served."""

    name: str
    outcome: WorkOutcome = field(name="how")
    at_ms: int
    value: bytes = b""


class WorkDropped(Message, frozen=True, tag="dropped", tag_field="work"):
    """An item is removed from the store."""

    name: str


WorkRecord = WorkBegan | WorkAttempted | WorkOwned | WorkEnded | WorkDropped

# Names of items begin with a customer or with `#`.
REQUEST_STAMP_PREFIX = "!request/"


class RequestStamp(NamedTuple):
    """The latest request of a gateway that was carried out; a delayed earlier one must change nothing."""

    gateway: int
    incarnation: int
    serial: int

    def to_record(self) -> WorkDropped:
        """Return the journal record of the stamp.

        It has the form of the end of an item that never exists, which earlier revisions ignore.
        """
        return WorkDropped(name=f"{REQUEST_STAMP_PREFIX}{self.gateway}/{self.incarnation}/{self.serial}")


def read_request_stamp(record: WorkRecord) -> RequestStamp | None:
    """Return the stamp that a journal record stores; None if it is a record of an item."""
    if not isinstance(record, WorkDropped) or not record.name.startswith(REQUEST_STAMP_PREFIX):
        return None
    gateway, incarnation, serial = record.name.removeprefix(REQUEST_STAMP_PREFIX).split("/")
    return RequestStamp(int(gateway), int(incarnation), int(serial))
