"""What holders and the steward say to each other. Amounts are whole units; times are in milliseconds."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A message, or a part of one."""


class Want(Message):
    """What a holder asks of one budget: its demand lately, and the last grant that it has taken over.

    `back` are unspent units that it gave back when it took that grant over: they no longer fit in.
    """

    budget: str
    demand: int
    fence: int = 0
    back: int = 0


class Ask(Message):
    """A renewal for all budgets at once. A door is told by its number and its start mark; `serial` rises."""

    door: int
    mark: int
    serial: int
    wants: tuple[Want, ...] = ()


class Grant(Message):
    """A part of a budget, from when the ask was sent until the lease is over; `units` come with it, once."""

    budget: str
    part: int
    fence: int
    units: int = 0


class Answer(Message):
    """To one ask, by its door, mark and serial."""

    door: int
    mark: int
    serial: int
    lease_ms: int
    grants: tuple[Grant, ...] = ()


def holder_of(door: int, mark: int) -> str:
    """The name of a holder: one start of a front door. Another start is another holder."""
    return f"{door}/{mark}"
