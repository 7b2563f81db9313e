"""Budgets in a history: what doors ask of the stewards, what they are told, and what may be believed at once.

Relays read what goes by and pass it on as it is. A grant counts from when its answer goes by until its lease
is over, counted from when its ask went by, or until the same start of a door asks with a later one in hand:
so what doors believe in is never more than what is added up here.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

import msgspec

from thistletrail.fault_injection.relay import THERE, Relay, Side
from thistletrail.fault_injection.world import World
from thistletrail.gateway.budget_lease_client import RETRY_BUDGET_NAME
from thistletrail.leasing.budget_state import MARGIN_FRACTION, BudgetLimits, divisible_total
from thistletrail.leasing.messages import RenewRequest, RenewResponse
from thistletrail.simulation.clock import Clock, S

if TYPE_CHECKING:
    from thistletrail.fault_injection.checks import RunHistory

MOST_HEAD = 1 << 14  # bytes
MOST_BODY = 1 << 20
END_HEAD = b"\r\n\r\n"
FULL_SHARE = 0.9  # of a whole that counts as given out, and of a dead door's part as in use elsewhere


class Bodies:
    """One direction of a connection of HTTP/1.1 whose messages tell their length; others are passed over."""

    def __init__(self) -> None:
        self.buffer, self.blind = b"", False

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """The first line and the body of each message that has come whole."""
        if self.blind:
            return
        self.buffer += data
        while (at := self.buffer.find(END_HEAD)) >= 0:
            first, *rest = self.buffer[:at].split(b"\r\n")
            fields = dict(line.lower().split(b":", 1) for line in rest if b":" in line)
            length = fields.get(b"content-length", b"").strip()
            if not length.isdigit() or int(length) > MOST_BODY:
                break
            end = at + len(END_HEAD) + int(length)
            if len(self.buffer) < end:
                return
            body, self.buffer = self.buffer[at + len(END_HEAD) : end], self.buffer[end:]
            yield first, body
        else:
            if len(self.buffer) <= MOST_HEAD:
                return
        self.blind, self.buffer = True, b""


class Renewals(Relay):
    """From a door to a steward: notes each ask and each answer, as they go by."""

    def __init__(self, *values: Any) -> None:  # noqa: ANN401 - a relay's
        super().__init__(*values)
        self.bodies: WeakKeyDictionary[Side, Bodies] = WeakKeyDictionary()

    def seen(self, side: Side, data: bytes) -> None:
        for first, body in self.bodies.setdefault(side, Bodies()).feed(data):
            try:
                if side.out.way == THERE:
                    ask = msgspec.msgpack.decode(body, type=RenewRequest)
                    self.note(
                        "asked",
                        door=ask.gateway,
                        mark=ask.incarnation,
                        serial=ask.serial,
                        fences={want.budget: want.fence for want in ask.budgets if want.fence},
                    )
                elif first.split()[1:2] == [b"200"]:
                    told = msgspec.msgpack.decode(body, type=RenewResponse)
                    self.note(
                        "granted",
                        door=told.gateway,
                        mark=told.incarnation,
                        serial=told.serial,
                        steward=self.sides[1],
                        lease_ms=told.lease_ms,
                        parts={one.budget: [one.fence, one.share] for one in told.grants},
                    )
            except msgspec.MsgspecError:
                continue  # a body of another call


@dataclass(frozen=True, slots=True)
class Held:
    """What one start of a door may believe in, of one budget."""

    budget: str
    door: int
    mark: int
    part: int
    begin_us: int
    end_us: int


def beliefs(seen: RunHistory) -> list[Held]:
    """Every grant that went by, for as long as it may be believed in."""
    asked: dict[tuple[int, int, int], int] = {}
    later: dict[tuple[int, int, str], list[tuple[int, int]]] = defaultdict(list)  # fences in hand, and when
    for record in seen.by["asked"]:
        asked.setdefault((record["door"], record["mark"], record["serial"]), record["at"])
        for budget, fence in record["fences"].items():
            later[record["door"], record["mark"], budget].append((record["at"], fence))
    found = []
    for record in seen.by["granted"]:
        begin = asked.get((record["door"], record["mark"], record["serial"]))
        if begin is None:
            continue  # to an ask that no relay saw
        lease_us = round(record["lease_ms"] * 1000 * (1 - MARGIN_FRACTION))
        for budget, (fence, part) in record["parts"].items():
            left = min(
                (at for at, known in later[record["door"], record["mark"], budget] if known > fence),
                default=begin + lease_us,
            )
            if (end := min(begin + lease_us, left)) > record["at"]:
                found.append(Held(budget, record["door"], record["mark"], part, record["at"], end))
    return found


def sums(held: Iterable[Held]) -> Iterator[tuple[int, int]]:
    """At each moment at which it changes, what all may believe in together: of each holder, the most."""
    many = list(held)
    changes = sorted(
        change
        for number, one in enumerate(many)
        for change in ((one.end_us, 0, number), (one.begin_us, 1, number))
    )  # what ends then is over
    live: dict[tuple[int, int], list[int]] = defaultdict(list)
    total = 0
    for at, begins, number in changes:
        parts = live[many[number].door, many[number].mark]
        before = max(parts, default=0)
        (parts.append if begins else parts.remove)(many[number].part)
        total += max(parts, default=0) - before
        yield at, total


def wholes(seen: RunHistory) -> dict[str, int]:
    """What is divided in parts, by kind and plan, and of further attempts: thousandths a second."""
    world = World(seen.plan.fleet, seen.seed, Clock())
    found = {}
    for plan, figures in zip(seen.plan.fleet.plans, world.plans, strict=True):
        found |= {f"quota/{plan.name}": (figures.rate, figures.burst)} if seen.plan.quotas else {}
        found |= {f"ceiling/{plan.name}": figures.ceiling} if figures.ceiling[0] else {}
    if seen.plan.further:
        found[RETRY_BUDGET_NAME] = seen.plan.further
    return {
        name: divisible_total(BudgetLimits(round(rate * 1000), int(burst)))
        for name, (rate, burst, *_) in found.items()
    }


def whole_of(wholes: dict[str, int], budget: str) -> int:
    return wholes["/".join(budget.split("/")[:2])]


def by_budget(seen: RunHistory) -> dict[str, list[Held]]:
    found: dict[str, list[Held]] = defaultdict(list)
    for one in beliefs(seen):
        found[one.budget].append(one)
    return found


def overfull(seen: RunHistory) -> Iterator[tuple[int, str]]:
    """When the parts of a budget that all doors may believe in added up to more than what is divided of the
    whole, and grants that have one fencing number together."""
    most = wholes(seen)
    for budget, held in by_budget(seen).items():
        whole = whole_of(most, budget)
        worst, at = max(((total, at) for at, total in sums(held)), default=(0, 0))
        if worst > whole:
            yield at, f"{worst} of {whole} of {budget} may be believed in"
    told: dict[int, tuple[object, ...]] = {}
    for record in seen.by["granted"]:
        for budget, (fence, part) in record["parts"].items():
            what = budget, record["door"], record["mark"], part
            if told.setdefault(fence, what) != what:
                yield record["at"], f"fence {fence} is of two grants"


@dataclass(frozen=True, slots=True)
class Divided:
    """How budgets were divided in a run; times in seconds."""

    most_held: float  # the most that may be believed in, as a share of what is granted
    regained_s: float | None  # from a door's death until its part was granted to others; the median
    unregained: int  # dead doors' parts that were not granted to others by the end
    renewals: int
    stewards: int  # that granted anything


def divided(seen: RunHistory) -> Divided:
    most, held = wholes(seen), by_budget(seen)
    shares = [total / whole_of(most, budget) for budget, many in held.items() for _, total in sums(many)]
    deaths = [
        (int(record["who"].removeprefix("doors-")), record["at"])
        for record in seen.by["died"]
        if record["who"].startswith("doors-") and record["at"] < seen.by["go"][0]["end_us"]
    ]
    waits = [wait for budget, many in held.items() for wait in regained(many, deaths, whole_of(most, budget))]
    known = [wait / S for wait in waits if wait is not None]
    return Divided(
        max(shares, default=0.0),
        median(known) if known else None,
        len(waits) - len(known),
        len(seen.by["granted"]),
        len({record["steward"] for record in seen.by["granted"]}),
    )


def regained(held: list[Held], deaths: list[tuple[int, int]], whole: int) -> Iterator[int | None]:
    """For each death of a door that held a part of a budget that was given out, how long until others were
    granted as much in its place."""
    for door, at in deaths:
        mine = max(
            (one.part for one in held if one.door == door and one.begin_us <= at < one.end_us), default=0
        )
        if not mine or sum_at(held, at) < FULL_SHARE * whole:
            continue
        others = [one for one in held if one.begin_us > at or one.door != door]
        target = sum_at(others, at) + FULL_SHARE * mine
        yield min(
            (
                one.begin_us - at
                for one in others
                if one.begin_us > at and sum_at(others, one.begin_us) >= target
            ),
            default=None,
        )


def sum_at(held: Iterable[Held], at: int) -> int:
    best: dict[tuple[int, int], int] = defaultdict(int)
    for one in held:
        if one.begin_us <= at < one.end_us:
            best[one.door, one.mark] = max(best[one.door, one.mark], one.part)
    return sum(best.values())
