"""Work in hand: who has it, where it may have run, and how it ended. Pure; time is passed in.

A door keeps an intent here before the first byte of a piece of work goes to a scan server. Each intent has
one owner at a time, a start of a door under a fence that only rises. An owner is lost when its lease is over,
or when a later start of the same door is seen. Then the intent goes to one other start, by a higher fence.

Every change is a record: `decide` makes it and applies it, and `apply` brings a kept one back.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec
import xxhash

from thistletrail.leasing.budget_state import RefusedError
from thistletrail.leasing.messages import (
    MOST_OPS,
    WORK_LEASE_MS,
    Begin,
    Done,
    Handed,
    Leave,
    Message,
    Op,
    Told,
    WorkAnswer,
    WorkAsk,
    holder_of,
)

MOST_INTENTS = 20_000  # over the fleet: 100 for each of 200 doors, whose own bound on open requests is higher
MOST_BYTES = 64 << 20  # of requests and kept values: a third of the memory of a door's machine
MOST_OF_CUSTOMER = 400  # one customer's share: no plan has so much out within a window
MOST_REQUEST = 128 << 10  # of one: a body of 64 KiB, and its fields
MOST_VALUE = 128 << 10  # of one answer that is kept
MOST_NAME = 200  # characters of a name
MOST_LEFT_MS, MOST_WINDOW_MS = 600_000, 600_000
MOST_HANDED = 64  # in one answer: the loss of a door is no burst at the next one
MOST_DEATHS = 2  # of owners that had it: the third would die of it too
MOST_PARKED = 100  # of those, kept for people to look at
MOST_DOORS = 1000


class Began(Message, tag="began", tag_field="work"):
    """An intent is kept."""

    name: str
    digest: str
    customer: str
    effect: str
    end_ms: int
    window_ms: int
    request: bytes
    owner: str
    fence: int
    id: str


class Tried(Message, tag="tried", tag_field="work"):
    """An attempt may be written from now on. `unrun`: those before it never ran. No server: none has run."""

    name: str
    server: str
    place: str
    at_ms: int
    number: int = 0
    unrun: bool = False


class Owned(Message, tag="owned", tag_field="work"):
    """Another owner, or none. `orphan`: it goes to the first one that is there. `id` is the request for which
    an owner goes on with it."""

    name: str
    owner: str
    fence: int
    end_ms: int
    id: str = ""
    deaths: int = 0
    orphan: bool = False


class Ended(Message, tag="ended", tag_field="work"):
    """An outcome is kept; `how` is `served`, `unknown` or `parked`."""

    name: str
    how: str
    at_ms: int
    value: bytes = b""


class Dropped(Message, tag="dropped", tag_field="work"):
    """It is forgotten."""

    name: str


Record = Began | Tried | Owned | Ended | Dropped


@dataclass(slots=True)
class Intent:
    """One piece of work. `tried` is the last attempt that may have run, and where; none: none has. `before`
    is the same as of when its owner got it."""

    name: str
    digest: str
    customer: str
    effect: str
    end_ms: int  # until when its result is wanted
    window_ms: int
    request: bytes
    owner: str  # none: nobody has it, and nobody is to have it until it is asked for
    fence: int
    id: str = ""
    tried: tuple[str, str] = ("", "")
    before: tuple[str, str] = ("", "")
    first_ms: int = 0  # when the first attempt that may have run was made
    number: int = 0  # of the owner's last attempt under its fence
    deaths: int = 0
    orphan: bool = False
    how: str = ""
    value: bytes = b""
    done_ms: int = 0
    left: frozenset[str] = frozenset()  # who was handed it and would not have it

    @property
    def size(self) -> int:
        return len(self.request) + len(self.value) + len(self.name)

    @property
    def over_ms(self) -> int:
        """When nobody can make anything of it any more."""
        return max(self.end_ms, (self.done_ms or self.first_ms) + self.window_ms)

    def may_run_again(self, now_ms: int) -> bool:
        """Whether another attempt could not be one too many."""
        if not self.tried[0]:
            return True
        return self.effect == "safe" or (self.effect == "keyed" and now_ms < self.first_ms + self.window_ms)


@dataclass(slots=True)
class Member:
    """A start of a door, and until when it may act."""

    until_ms: int
    serial: int = -1
    leaving: bool = False
    handed: dict[int, str] = field(default_factory=dict)  # by fence: what it has not yet said to have


def weight(member: str, name: str) -> int:
    """Of rendezvous hashing: who has the highest for a name takes it."""
    return xxhash.xxh3_64_intdigest(f"{member}|{name}".encode())


class Work:
    """All intents and their owners."""

    def __init__(self, fence: int, now_ms: int, lease_ms: int = WORK_LEASE_MS) -> None:
        self.fence, self.lease_ms, self.began_ms = fence, lease_ms, now_ms
        self.intents: dict[str, Intent] = {}
        self.members: dict[str, Member] = {}
        self.marks: dict[int, int] = {}  # by door: its latest start
        self.bytes = 0
        self.of_customer: dict[str, int] = {}
        self.parked: list[Intent] = []
        self.counts = dict.fromkeys(("kept", "full", "handed", "served", "unknown", "parked", "evicted"), 0)
        self.records: list[Record] = []  # of the change at hand

    # --- records ---

    def change(self, record: Record) -> None:
        self.apply(record)
        self.records.append(record)

    def apply(self, record: Record) -> None:
        """Bring a change about: one that is decided on, or one that was kept."""
        if isinstance(record, Began):
            self.put(
                Intent(
                    record.name,
                    record.digest,
                    record.customer,
                    record.effect,
                    record.end_ms,
                    record.window_ms,
                    record.request,
                    record.owner,
                    record.fence,
                    record.id,
                )
            )
            self.fence = max(self.fence, record.fence)
            return
        intent = self.intents.get(record.name)
        if intent is None:
            return
        if isinstance(record, Tried):
            if not intent.before[0] and (record.unrun or not intent.tried[0]):
                intent.first_ms = record.at_ms
            intent.tried, intent.number = (record.server, record.place), record.number
        elif isinstance(record, Owned):
            intent.owner, intent.fence, intent.end_ms = record.owner, record.fence, record.end_ms
            intent.id, intent.before = record.id, intent.tried
            intent.deaths, intent.number, intent.orphan = record.deaths, 0, record.orphan
            self.fence = max(self.fence, record.fence)
        elif isinstance(record, Ended):
            self.bytes += len(record.value) - len(intent.value)
            intent.how, intent.value, intent.done_ms = record.how, record.value, record.at_ms
            intent.owner = ""
            if record.how == "parked":
                self.parked = [*self.parked[1 - MOST_PARKED :], intent]
        else:
            self.forget(intent)

    def put(self, intent: Intent) -> None:
        self.intents[intent.name] = intent
        self.bytes += intent.size
        self.of_customer[intent.customer] = self.of_customer.get(intent.customer, 0) + 1

    def forget(self, intent: Intent) -> None:
        del self.intents[intent.name]
        self.bytes -= intent.size
        self.of_customer[intent.customer] -= 1
        if not self.of_customer[intent.customer]:
            del self.of_customer[intent.customer]

    def kept(self) -> Iterator[Record]:
        """All that there is, as records: what a snapshot holds."""
        for one in self.intents.values():
            yield Began(
                name=one.name,
                digest=one.digest,
                customer=one.customer,
                effect=one.effect,
                end_ms=one.end_ms,
                window_ms=one.window_ms,
                request=one.request,
                owner=one.owner,
                fence=one.fence,
                id=one.id,
            )
            if one.before[0]:
                yield Tried(name=one.name, server=one.before[0], place=one.before[1], at_ms=one.first_ms)
            yield Owned(
                name=one.name,
                owner=one.owner,
                fence=one.fence,
                end_ms=one.end_ms,
                id=one.id,
                deaths=one.deaths,
                orphan=one.orphan,
            )
            yield Tried(
                name=one.name,
                server=one.tried[0],
                place=one.tried[1],
                at_ms=one.first_ms,
                number=one.number,
                unrun=True,
            )
            if one.how:
                yield Ended(name=one.name, how=one.how, at_ms=one.done_ms, value=one.value)

    def taken_up(self, now_ms: int) -> None:
        """All records of a log are back: an owner may have been there up to now, so its lease begins now."""
        for intent in self.intents.values():
            if intent.owner and intent.owner not in self.members:
                self.members[intent.owner] = Member(now_ms + self.lease_ms)
                door, _, mark = intent.owner.partition("/")
                self.marks[int(door)] = max(self.marks.get(int(door), -1), int(mark))

    def undo(self, records: Iterable[Record]) -> list[Record]:
        """These could not be kept, and nobody was told: what they began was never begun, as its door goes on
        without. The others stay, and are to be kept by and by: they are true, or bar more than they must."""
        rest = []
        undone: set[str] = set()
        for record in records:
            if isinstance(record, Began) and (intent := self.intents.get(record.name)):
                undone.add(record.name)
                self.forget(intent)
            elif record.name not in undone:
                rest.append(record)
        return rest

    # --- time ---

    def is_alive(self, owner: str, now_ms: int) -> bool:
        """Whether an owner may still act: its lease lasts, and no later start of its door has been seen."""
        member = self.members.get(owner)
        return member is not None and now_ms < member.until_ms and not self.is_replaced(owner)

    def is_replaced(self, owner: str) -> bool:
        door, _, mark = owner.partition("/")
        return int(mark) < self.marks.get(int(door), -1)

    def look(self, now_ms: int) -> list[Record]:
        """Find what has lost its owner, and hand it on; forget what is over. The records of that."""
        self.records = []
        self.find_lost(now_ms)
        return self.records

    def find_lost(self, now_ms: int) -> None:
        lost = {name for name in self.members if not self.is_alive(name, now_ms)}
        for intent in list(self.intents.values()):
            if now_ms >= intent.over_ms:
                self.change(Dropped(name=intent.name))
            elif intent.owner and (intent.owner in lost or intent.owner not in self.members):
                # What was handed to it and it never heard of has not killed it.
                member = self.members.get(intent.owner)
                died = member is None or intent.fence not in member.handed
                self.hand_on(intent, intent.deaths + died, now_ms)
            elif intent.orphan and (not self.is_wanted(intent, now_ms) or self.taker(intent, now_ms)):
                self.hand_on(intent, intent.deaths, now_ms)
        for name in lost:
            del self.members[name]

    def hand_on(self, intent: Intent, deaths: int, now_ms: int) -> None:
        """Its owner is lost, or has let go of it: one other goes on with it, where that can be of use and
        cannot be once too often; else it is ended."""
        over = ""
        if deaths >= MOST_DEATHS:
            over = "parked"
        elif intent.effect == "unsafe" and intent.tried[0]:
            over = "unknown"
        wanted = not over and self.is_wanted(intent, now_ms)
        taker = self.taker(intent, now_ms) if wanted else ""
        self.change(
            Owned(
                name=intent.name,
                owner=taker,
                fence=self.fence + 1,
                end_ms=intent.end_ms,
                deaths=deaths,
                orphan=wanted and not taker,
            )
        )
        if taker:
            self.members[taker].handed[intent.fence] = intent.name
            self.counts["handed"] += 1
        elif over:
            self.end(intent, over, now_ms)

    def is_wanted(self, intent: Intent, now_ms: int) -> bool:
        """What is safe to repeat is of no use to anybody who does not ask again: no name stands for it."""
        return now_ms < intent.end_ms and intent.may_run_again(now_ms) and intent.effect != "safe"

    def taker(self, intent: Intent, now_ms: int) -> str:
        """Who goes on with it, by rendezvous hashing over those that are there."""
        there = (
            name
            for name, member in self.members.items()
            if self.is_alive(name, now_ms) and not member.leaving and name not in intent.left
        )
        return max(there, key=lambda name: weight(name, intent.name), default="")

    def end(self, intent: Intent, how: str, now_ms: int, value: bytes = b"") -> None:
        self.change(Ended(name=intent.name, how=how, at_ms=now_ms, value=value))
        self.counts[how] += 1

    # --- asks ---

    def ask(self, ask: WorkAsk, now_ms: int) -> tuple[WorkAnswer, list[Record]]:
        """What a start of a door does; and the records to keep before it is told. One that was overtaken, or
        comes of a start that is not the latest, changes nothing."""
        self.records = []
        owner = holder_of(ask.door, ask.mark)
        answer = WorkAnswer(door=ask.door, mark=ask.mark, serial=ask.serial, lease_ms=self.lease_ms)
        member = self.members.get(owner)
        if not 0 <= ask.door < MOST_DOORS:
            raise RefusedError(f"doors are numbered from 0 to {MOST_DOORS - 1}")
        stale = ask.mark < self.marks.get(ask.door, -1) or (member and ask.serial <= member.serial)
        if stale:
            return self.say(answer, [Told(how="lost") for _ in ask.ops]), []
        if ask.mark > self.marks.get(ask.door, -1):
            self.marks[ask.door] = ask.mark
            self.find_lost(now_ms)  # a start before it is lost with this
        if member is None:
            member = self.members[owner] = Member(0)
        member.serial, member.until_ms, member.leaving = ask.serial, now_ms + self.lease_ms, ask.leaving
        for fence in ask.took:
            member.handed.pop(fence, None)
        told = [self.act(owner, op, now_ms) for op in ask.ops[:MOST_OPS]]
        handed = [
            self.handed(intent, now_ms)
            for fence, name in list(member.handed.items())[:MOST_HANDED]
            if (intent := self.intents.get(name)) is not None and intent.fence == fence
        ]
        return self.say(answer, told, handed), self.records

    def say(self, answer: WorkAnswer, told: list[Told], handed: Iterable[Handed] = ()) -> WorkAnswer:
        return msgspec.structs.replace(answer, told=tuple(told), handed=tuple(handed))

    def handed(self, intent: Intent, now_ms: int) -> Handed:
        server, place = intent.tried
        return Handed(
            name=intent.name,
            fence=intent.fence,
            request=intent.request,
            server=server,
            place=place,
            left_ms=max(0, self.until_ms(intent) - now_ms),
        )

    def until_ms(self, intent: Intent) -> int:
        """Until when it may be worked on: what has run may run again only while its servers remember it."""
        if intent.tried[0] and intent.effect == "keyed":
            return min(intent.end_ms, intent.first_ms + intent.window_ms)
        return intent.end_ms

    def act(self, owner: str, op: Op, now_ms: int) -> Told:
        """One op of an owner's."""
        if isinstance(op, Begin):
            return self.begin(owner, op, now_ms)
        intent = self.intents.get(op.name)
        if intent is None or intent.fence != op.fence:
            return Told(how="lost")
        kept = Told(how="kept", fence=op.fence)
        if isinstance(op, Done) and intent.how in ("served", "unknown") and not intent.owner:
            return kept  # its answer was lost
        if intent.owner != owner:
            return Told(how="lost")
        if isinstance(op, Done):
            self.make_room(len(op.value))
            fits = len(op.value) <= MOST_VALUE and self.bytes + len(op.value) <= MOST_BYTES
            self.end(intent, "served" if fits else "unknown", now_ms, op.value if fits else b"")
        elif isinstance(op, Leave):
            self.leave(owner, intent, op, now_ms)
        elif op.number > intent.number:
            self.change(
                Tried(
                    name=op.name,
                    server=op.server,
                    place=op.place,
                    at_ms=now_ms,
                    number=op.number,
                    unrun=op.unrun,
                )
            )
        return kept

    def leave(self, owner: str, intent: Intent, op: Leave, now_ms: int) -> None:
        """It goes to another; or it stays without an owner, so that whoever asks again goes on with it where
        it may have run; or it is forgotten, as it never ran."""
        if op.on:
            intent.left |= {owner}
            if op.unrun:
                self.change(Tried(name=op.name, server="", place="", at_ms=now_ms, unrun=True))
            self.hand_on(intent, intent.deaths, now_ms)
        elif op.unrun:
            self.change(Dropped(name=intent.name))
        else:
            self.change(
                Owned(
                    name=intent.name,
                    owner="",
                    fence=self.fence + 1,
                    end_ms=intent.end_ms,
                    deaths=intent.deaths,
                )
            )

    def begin(self, owner: str, op: Begin, now_ms: int) -> Told:
        """Keep an intent, unless there is one by that name already: then whoever asks again goes on with what
        nobody has, gets what is kept, or waits for who has it."""
        intent = self.intents.get(op.name)
        if intent is None:
            return self.keep(owner, op, now_ms)
        if intent.digest != op.digest:
            return Told(how="other")
        if intent.how == "served":
            return Told(how="answered", value=intent.value)
        if intent.how:
            return Told(how="failed")
        end_ms = max(intent.end_ms, now_ms + min(op.left_ms, MOST_LEFT_MS))
        if intent.owner:
            if (intent.owner, intent.id) == (owner, op.id):  # its answer was lost
                return self.yours(intent, intent.before, now_ms)
            intent.end_ms = end_ms  # whoever goes on with it has that much more time
            return Told(how="elsewhere")
        if not intent.may_run_again(now_ms):
            return Told(how="failed")
        server, place = intent.tried
        self.change(
            Owned(
                name=op.name, owner=owner, fence=self.fence + 1, end_ms=end_ms, id=op.id, deaths=intent.deaths
            )
        )
        if not server or place == op.place:
            self.change(Tried(name=op.name, server=op.server, place=op.place, at_ms=now_ms))
        return self.yours(intent, (server, place), now_ms)

    def yours(self, intent: Intent, ran: tuple[str, str], now_ms: int) -> Told:
        """It is the asker's, with where it may have run before."""
        return Told(
            how="kept",
            fence=intent.fence,
            server=ran[0],
            place=ran[1],
            left_ms=max(0, self.until_ms(intent) - now_ms),
        )

    def keep(self, owner: str, op: Begin, now_ms: int) -> Told:
        fits = len(op.request) <= MOST_REQUEST and len(op.name) <= MOST_NAME
        self.make_room(len(op.request))
        if (
            not fits
            or len(self.intents) >= MOST_INTENTS
            or self.bytes + len(op.request) > MOST_BYTES
            or self.of_customer.get(op.customer, 0) >= MOST_OF_CUSTOMER
        ):
            self.counts["full"] += 1
            return Told(how="full")
        left, window = (
            max(0, min(ms, most)) for ms, most in ((op.left_ms, MOST_LEFT_MS), (op.window_ms, MOST_WINDOW_MS))
        )
        self.change(
            Began(
                name=op.name,
                digest=op.digest,
                customer=op.customer,
                effect=op.effect,
                end_ms=now_ms + left,
                window_ms=window,
                request=op.request,
                owner=owner,
                fence=self.fence + 1,
                id=op.id,
            )
        )
        self.change(Tried(name=op.name, server=op.server, place=op.place, at_ms=now_ms))
        self.counts["kept"] += 1
        return self.yours(self.intents[op.name], ("", ""), now_ms)

    def make_room(self, size: int) -> None:
        """Where all room is taken, the oldest outcomes go first: work in hand is worth more."""
        if self.bytes + size <= MOST_BYTES and len(self.intents) < MOST_INTENTS:
            return
        for intent in sorted((one for one in self.intents.values() if one.how), key=lambda one: one.done_ms):
            if self.bytes + size <= MOST_BYTES and len(self.intents) < MOST_INTENTS:
                return
            self.change(Dropped(name=intent.name))
            self.counts["evicted"] += 1
