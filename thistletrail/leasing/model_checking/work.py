"""The model checker's world for work in hand: doors, the steward, scan servers and a client that asks again.

Two zones with a scan server each; two pieces of work, one keyed, one that may not be repeated. A door begins
a piece of work when its client asks, writes what it holds, and tells its client what has come once that is
kept. Messages may arrive any number of times, in any order, late or never; a door may be killed and start
again, or stand still while time goes on; the steward may be killed and come back with its log.

What must hold in every state: what may not be repeated has run once at most; what is keyed has run in one
zone; two doors are never free to write the same piece of work; and a client that was told an outcome could
ask any door for it, and would get the same.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from thistletrail.leasing.messages import Begin, Done, Told, Try, WorkAnswer, WorkAsk
from thistletrail.leasing.model_checking.budgets import Outcome, search, stray
from thistletrail.leasing.work_holder import Hand
from thistletrail.leasing.work_state import Intent, Work

LEASE_MS, SECOND_MS = 1000, 400
LEFT_MS, WINDOW_MS = 6000, 20_000
ZONES = ("east", "west")
NAMES = {"keyed": "keyed", "unsafe": "unsafe"}  # of the work, and its effect
MOST_STARTS, MOST_ASKS, MOST_WRITES = 2, 6, 3  # of a door; of a start; of a piece of work


class EarlyWork(Work):
    """Planted: an owner counts as lost after a silence that is shorter than its lease."""

    def is_alive(self, owner: str, now_ms: int) -> bool:
        member = self.members.get(owner)
        return member is not None and now_ms < member.until_ms - LEASE_MS // 2 and not self.is_replaced(owner)


class NoFence(Work):
    """Planted: the fence stays the same from one owner to the next, and nobody asks whose it is."""

    def act(self, owner: str, op: object, now_ms: int) -> Told:
        intent = self.intents.get(op.name)
        if intent is not None and not isinstance(op, Begin):
            op = type(op)(
                **{**{name: getattr(op, name) for name in op.__struct_fields__}, "fence": intent.fence}
            )
            intent.owner = intent.owner or owner
            owner = intent.owner
        return super().act(owner, op, now_ms)


class Anywhere(Work):
    """Planted: where a piece of work may have run is not told to whoever goes on with it."""

    def begin(self, owner: str, op: Begin, now_ms: int) -> Told:
        told = super().begin(owner, op, now_ms)
        return Told(how=told.how, fence=told.fence, value=told.value)

    def handed(self, intent: Intent, now_ms: int) -> object:
        found = super().handed(intent, now_ms)
        return type(found)(name=found.name, fence=found.fence, request=found.request, left_ms=found.left_ms)


class LateHand(Hand):
    """Planted: a door looks at its lease after the write, not before it."""

    def holds(self, name: str, fence: int, now_ms: int) -> bool:
        return self.held.get(name) == fence

    def lapsed(self, now_ms: int) -> list[str]:
        return []


@dataclass(frozen=True)
class Kind:
    """What is checked: the machine as it is, or with a fault planted."""

    name: str = "as it is"
    work: type[Work] = Work
    hand: type[Hand] = Hand
    asks_first: bool = True  # an intent is kept before the write
    keeps_first: bool = True  # an outcome is kept before the answer


PLANTED = (
    Kind("no fence", work=NoFence),
    Kind("the check after the write", hand=LateHand),
    Kind("takeover by a time-out", work=EarlyWork),
    Kind("the outcome kept after the answer", keeps_first=False),
    Kind("the write before the intent", asks_first=False),
    Kind("the zone not told", work=Anywhere),
)


@dataclass
class Job:
    """What a door does with one piece of work."""

    fence: int = 0
    place: str = ""  # where it is bound to; none: to no zone
    number: int = 0
    told: str = ""  # begun, kept, tried, written, came, ended
    unrun: bool = True


@dataclass
class Door:
    """One start of a door."""

    hand: Hand
    alive: bool = True
    jobs: dict[str, Job] = field(default_factory=dict)


@dataclass
class World:
    """One state."""

    kind: Kind
    now_ms: int
    work: Work
    log: list[object]
    doors: list[Door]
    messages: tuple[object, ...] = ()
    ran: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by work: the zones of its executions
    answered: tuple[str, ...] = ()  # work whose client was told its outcome

    def copy(self) -> World:
        found = copy.copy(self)
        found.work, found.log, found.ran = copy_work(self.work), list(self.log), dict(self.ran)
        found.doors = [copy_door(door) for door in self.doors]
        return found

    def key(self) -> object:
        return (
            self.now_ms,
            tuple(sorted(self.ran.items())),
            self.answered,
            frozenset(map(repr, self.messages)),
            repr(sorted(self.work.intents.items())),
            repr(sorted(self.work.members.items())),
            repr(sorted(self.work.marks.items())),
            repr([(door.alive, door.hand.__dict__, sorted(door.jobs.items())) for door in self.doors]),
        )


def copy_work(work: Work) -> Work:
    found = copy.copy(work)
    found.intents = {name: copy.copy(intent) for name, intent in work.intents.items()}
    found.members = {
        name: replace(member, handed=dict(member.handed)) for name, member in work.members.items()
    }
    found.marks, found.of_customer, found.counts = dict(work.marks), dict(work.of_customer), dict(work.counts)
    found.records = []
    return found


def copy_door(door: Door) -> Door:
    hand = copy.copy(door.hand)
    hand.held, hand.queue, hand.took = dict(hand.held), list(hand.queue), list(hand.took)
    hand.withdrawn = set(hand.withdrawn)
    return Door(hand, door.alive, {name: copy.copy(job) for name, job in door.jobs.items()})


def begin(kind: Kind, doors: int, held: bool) -> World:
    """A first state: all doors are known, and nobody has anything, or the first holds all, not written."""
    world = World(kind, 100_000, kind.work(1000, 100_000, LEASE_MS), [], [])
    for door in range(doors):
        world.doors.append(Door(kind.hand(door, 1)))
    if held:
        for name in NAMES:
            ask_for(world.doors[0], name, ZONES[0], 0)
    for door in world.doors:
        take_answer(world, door, serve(world, door.hand.ask(world.now_ms)))
    return world


def ask_for(door: Door, name: str, place: str, serial: int) -> None:
    """A client asks a door for a piece of work."""
    door.jobs[name] = Job(place=place, told="begun")
    door.hand.add(
        Begin(
            name=name,
            id=f"{name}/{serial}",
            digest="d",
            customer="c",
            effect=NAMES[name],
            left_ms=LEFT_MS,
            window_ms=WINDOW_MS,
            request=b"r",
            server=f"s-{place}",
            place=place,
        )
    )


def serve(world: World, ask: WorkAsk) -> WorkAnswer:
    """The steward takes an ask, and keeps what it decides."""
    answer, records = world.work.ask(ask, world.now_ms)
    world.log += records
    return answer


def take_answer(world: World, door: Door, answer: WorkAnswer) -> None:
    """An answer reaches its door."""
    told, handed = door.hand.answered(answer, world.now_ms)
    for op, one in told:
        job = door.jobs.get(op.name)
        if job is None:
            continue
        if isinstance(op, Begin) and job.told == "begun":
            if one.how == "kept":
                job.fence, job.told = one.fence, "tried"
                if one.place:
                    job.unrun = False
                    if one.place != job.place:  # it may have run in the other zone: it goes on there
                        again(door, op.name, job, one.place, False)
            elif one.how == "elsewhere":
                door.hand.add(op)  # it asks again
            else:
                job.told = "over"
                if one.how == "answered":
                    world.answered = tuple(sorted({*world.answered, op.name}))
        elif isinstance(op, Try) and op.number == job.number and job.told == "begun" and one.how == "kept":
            job.told = "tried"
        elif isinstance(op, Done) and job.told == "came" and one.how == "kept":
            job.told = "ended"
        if one.how == "lost" and job.fence == getattr(op, "fence", 0):
            job.told = "over"
    for one in handed:
        place = one.place or ZONES[door.hand.door % 2]
        job = door.jobs[one.name] = Job(fence=one.fence, place=place, unrun=not one.place)
        again(door, one.name, job, place, False)


def again(door: Door, name: str, job: Job, place: str, unrun: bool) -> None:
    """Another attempt is told of before it is made."""
    job.number, job.place, job.told = job.number + 1, place, "begun"
    door.hand.add(
        Try(name=name, fence=job.fence, number=job.number, server=f"s-{place}", place=place, unrun=unrun)
    )


def lapse(world: World, door: Door) -> None:
    for name in door.hand.lapsed(world.now_ms):
        door.jobs[name].told = "over"


Make = Callable[[], World]


def steps(world: World) -> Iterator[tuple[str, Make]]:
    """Every state that one event leads to, with the event in words."""

    def then(act: Callable[[World], object]) -> Make:
        def make() -> World:
            found = world.copy()
            act(found)
            return found

        return make

    for wait in (SECOND_MS, LEASE_MS):
        yield f"{wait} ms go by", then(lambda found, wait=wait: go_on(found, wait))
    yield "the steward looks", then(look)
    for number, door in enumerate(world.doors):
        if door.alive:
            for event, act in of_door(world, number, door):
                yield event, then(act)
    for message in world.messages:
        for event, act in of_message(world, message):
            yield event, then(act)
    yield "the steward is killed and comes back", then(recover)


def go_on(world: World, wait_ms: int) -> None:
    world.now_ms += wait_ms


def look(world: World) -> None:
    world.log += world.work.look(world.now_ms)


Act = Callable[[World], object]


def of_door(world: World, number: int, door: Door) -> Iterator[tuple[str, Act]]:
    """What one start of a door may do."""
    who = f"door {door.hand.door} (start {door.hand.mark})"
    zone = ZONES[door.hand.door % 2]
    for name in NAMES:
        if name not in door.jobs and name not in world.answered:
            yield (
                f"a client asks {who} for the {name} work",
                lambda found, name=name: ask_for(found.doors[number], name, zone, number),
            )
    if door.hand.serial <= MOST_ASKS:
        yield f"{who} asks", lambda found: ask(found, found.doors[number])
        yield f"{who} asks and is answered", lambda found: round_trip(found, found.doors[number])
    for name, job in door.jobs.items():
        for event, act in of_job(world, door, name, job):
            yield (
                f"{who} {event}",
                lambda found, act=act, name=name: act(
                    found, found.doors[number], found.doors[number].jobs[name]
                ),
            )
    if sum(one.hand.door == door.hand.door for one in world.doors) < MOST_STARTS:
        yield f"{who} is killed, and starts again", lambda found: restart(found, found.doors[number])


def ask(world: World, door: Door) -> None:
    lapse(world, door)
    door.hand.unanswered()
    world.messages = (*world.messages, door.hand.ask(world.now_ms))


def round_trip(world: World, door: Door) -> None:
    """An ask and its answer with nothing between: three events that mostly come together."""
    lapse(world, door)
    door.hand.unanswered()
    take_answer(world, door, serve(world, door.hand.ask(world.now_ms)))


def restart(world: World, door: Door) -> None:
    door.alive = False
    world.doors.append(Door(world.kind.hand(door.hand.door, door.hand.mark + 1)))


def of_job(
    world: World, door: Door, name: str, job: Job
) -> Iterator[tuple[str, Callable[[World, Door, Job], object]]]:
    """What a door may do with one piece of work."""
    kind = world.kind
    may = door.hand.holds(name, job.fence, world.now_ms)
    writes = job.told == "tried" or (not kind.asks_first and job.told == "begun" and not job.fence)
    if writes and (may or not kind.asks_first) and len(world.ran.get(name, ())) < MOST_WRITES:

        def write(found: World, there: Door, job: Job) -> None:
            job.told, job.unrun = "written", False
            found.ran[name] = (*found.ran.get(name, ()), job.place)

        yield f"writes the {name} work to zone {job.place}", write
    if job.told == "tried" and may:

        def miss(found: World, there: Door, job: Job) -> None:
            other = next(one for one in ZONES if one != job.place) if job.unrun else job.place
            again(there, name, job, other, job.unrun)

        yield f"cannot reach zone {job.place} with the {name} work", miss
    if job.told == "written" and may:

        def come(found: World, there: Door, job: Job) -> None:
            job.told = "came" if kind.keeps_first else "ended"
            there.hand.add(Done(name=name, fence=job.fence, value=b"v"))

        def give_up(found: World, there: Door, job: Job) -> None:
            job.told = "over"
            there.hand.leave(name)

        yield f"gets the answer to the {name} work", come
        yield f"gives up on the {name} work", give_up
    if job.told == "tried" and may and job.unrun:

        def hand_over(found: World, there: Door, job: Job) -> None:
            job.told = "over"
            there.hand.leave(name, on=True, unrun=True)

        yield f"drains, and hands the {name} work over", hand_over
    if job.told == "ended" and (may or not kind.keeps_first):

        def answer(found: World, there: Door, job: Job) -> None:
            job.told = "over"
            found.answered = tuple(sorted({*found.answered, name}))

        yield f"answers the {name} work", answer


def of_message(world: World, message: object) -> Iterator[tuple[str, Act]]:
    if isinstance(message, WorkAsk):
        yield (
            f"ask {message.serial} of door {message.door} (start {message.mark}) arrives",
            lambda found: reach(found, message),
        )
        return
    for number, door in enumerate(world.doors):
        out = door.hand.asked
        same = (door.hand.door, door.hand.mark) == (message.door, message.mark)
        if door.alive and same and out and out[0] == message.serial:
            yield (
                f"answer {message.serial} reaches door {message.door} (start {message.mark})",
                lambda found, number=number: be_answered(found, found.doors[number], message),
            )


def reach(world: World, message: WorkAsk) -> None:
    answer = serve(world, message)
    if answer not in world.messages:
        world.messages = (*world.messages, answer)


def be_answered(world: World, door: Door, message: WorkAnswer) -> None:
    lapse(world, door)
    take_answer(world, door, message)


def recover(world: World) -> None:
    """A process with the log of the one before it."""
    old = world.work
    world.work = type(old)(1000, world.now_ms, LEASE_MS)
    for record in world.log:
        world.work.apply(record)
    world.work.taken_up(world.now_ms)


def broken(world: World) -> str:
    """What does not hold in a state; nothing where all does."""
    if len(world.ran.get("unsafe", ())) > 1:
        return "the unsafe work has run twice"
    if len(set(world.ran.get("keyed", ()))) > 1:
        return "the keyed work has run in two zones"
    for name in NAMES:
        free = [
            door
            for door in world.doors
            if door.alive
            and name in door.jobs
            and door.jobs[name].told == "tried"
            and door.hand.holds(name, door.jobs[name].fence, world.now_ms)
        ]
        if len(free) > 1:
            return f"{len(free)} doors may write the {name} work"
    for name in world.answered:
        intent = world.work.intents.get(name)
        if intent is None or intent.how != "served":
            return f"the {name} work was answered, and its outcome is not kept"
    return ""


def explore(kind: Kind, doors: int, depth: int, held: bool) -> Outcome:
    """All states that so many events lead to."""
    return search(begin(kind, doors, held), steps, broken, depth)


def wander(kind: Kind, doors: int, walks: int, length: int, seed: int) -> Outcome:
    """Random ways, each from one of the first states."""
    return stray(lambda number: begin(kind, doors, number % 2 == 0), steps, broken, walks, length, seed)
