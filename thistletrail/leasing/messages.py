"""What holders and the steward say to each other. Amounts are whole units; times are in milliseconds."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A message, or a part of one."""


class Want(Message):
    """What a holder asks of one budget: its demand lately, and the last grant that it has taken over.

    `back` are unspent units that it gave back when it took that grant over: they no longer fit in. `need` are
    units that are waited for now, beyond what it has; `used` is how much of a count is in use.
    """

    budget: str
    demand: int
    fence: int = 0
    back: int = 0
    need: int = 0
    used: int = 0


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


# --- work in hand ---

WORK_LEASE_MS = 1000  # half of the operators' shortest deadline: what is taken over has time left
MOST_OPS = 500  # of one ask


class Begin(Message, tag="begin"):
    """A door is about to send a piece of work on for the first time: it is kept before the first byte goes.

    `name` tells the work over the fleet, `digest` what is asked under that name, and `id` this door's request
    for it. `request` is opaque to the steward: what a taker needs to go on. The work is wanted for `left_ms`
    from now; how often it may run is `effect`, and a keyed one's scan servers remember it for `window_ms`.
    `place` is where: all scan servers of one place drop each other's repeats.
    """

    name: str
    id: str
    digest: str
    customer: str
    effect: str
    left_ms: int
    window_ms: int
    request: bytes
    server: str
    place: str


class Try(Message, tag="try"):
    """Another attempt, at that scan server, by its `number` from 1 under this fence. `unrun`: those before it
    never came whole to theirs."""

    name: str
    fence: int
    number: int
    server: str
    place: str
    unrun: bool = False


class Done(Message, tag="done"):
    """It has ended well, with that value: who asks again under its name gets it."""

    name: str
    fence: int
    value: bytes


class Leave(Message, tag="leave"):
    """Its owner lets go of it. `on`: it is to be gone on with, by another; else nobody here waits any more.
    `unrun`: nothing of it has run, ever."""

    name: str
    fence: int
    on: bool = False
    unrun: bool = False


Op = Begin | Try | Done | Leave


class WorkAsk(Message):
    """What one start of a door does with work in hand; each one renews its lease.

    `mark` rises from one start of a door to the next. `took` are the fences of handed work that has come, and
    `leaving` says that no more of it is wanted.
    """

    door: int
    mark: int
    serial: int
    ops: tuple[Op, ...] = ()
    took: tuple[int, ...] = ()
    leaving: bool = False


class Told(Message):
    """What became of one op.

    `kept`: it is in the log, under that fence; `server` and `place` say where it may have run before.
    `full`: it is not kept, and goes on without. `answered`: it has ended before, with `value`. `failed`: it
    has ended, and how is not known. `elsewhere`: another has it. `other`: the name stands for something else.
    `lost`: the fence is not the present one. What is kept may be worked on for `left_ms`.
    """

    how: str
    fence: int = 0
    left_ms: int = 0
    server: str = ""
    place: str = ""
    value: bytes = b""


class Handed(Message):
    """Work of a lost owner's that this door is to go on with, under a fence of its own. Where it has run, or
    may have, `server` and `place` say where."""

    name: str
    fence: int
    request: bytes
    left_ms: int
    server: str = ""
    place: str = ""


class WorkAnswer(Message):
    """To one ask: what became of its ops, in order, and what is handed over."""

    door: int
    mark: int
    serial: int
    lease_ms: int
    told: tuple[Told, ...] = ()
    handed: tuple[Handed, ...] = ()
