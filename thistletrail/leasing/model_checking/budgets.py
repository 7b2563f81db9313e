"""A model checker for the steward: all states of holders, steward and messages, to a stated depth.

Messages that were sent stay in the network: each may arrive any number of times, in any order, late or never.
A step is one event: time goes on by a second or by a lease, a holder asks, a message arrives, a holder spends
what it has, a door starts anew (the process before it may still be there, paused), the steward is killed and
comes back with its log, it is lost with its log and another begins, or it stands still in the middle of an
ask while another takes over with its log (leasing/leadership.py), and then goes on.

What must hold in every state: the parts that all holders may use add up to no more than the whole; what is
open under leases that last is no more; and units spent, held and pooled are no more than came in.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

import msgspec

from thistletrail.leasing.budget_holder import Holder, Part
from thistletrail.leasing.budget_state import Budget, Holding, State, Terms, floor, granted, parted
from thistletrail.leasing.messages import Answer, Ask, Grant, Want

SECOND_MS, LEASE_MS = 1000, 4000
COUNT, RATE = Terms(whole=10), Terms(whole=10_000, burst=20)  # what may be open; units a second, by thousands
FENCES = 1000  # by which the fences of one history after another differ
MOST_ASKS, MOST_STARTS = 3, 2  # of each holder; of each door


class Steward(State):
    """As it is, but that parts change in one step: traces get shorter, and nothing else is different."""

    def step(self, present: int, wanted: int, whole: int) -> int:
        return wanted


class EarlyLapse(Steward):
    """Planted: the steward's count of a lease ends before the holder's does."""

    def ends_ms(self, now_ms: int) -> int:
        return now_ms + self.lease_ms // 2


class NoLeave(Steward):
    """Planted: a part shrinks at once, without its holder's leave."""

    def issue(self, budget: Budget, holding: Holding, want: Want, part: int, now_ms: int) -> Grant:
        grant = super().issue(budget, holding, want, part, now_ms)
        holding.issued = holding.issued[-1:]
        return grant


class TwiceBack(Steward):
    """Planted: what is given back counts each time that it is told."""

    def acknowledge(self, budget: Budget, holding: Holding, want: Want) -> None:
        holding.acked = 0
        super().acknowledge(budget, holding, want)


class EagerPool(Steward):
    """Planted: units come into the pool while their holders of another history still get them."""

    def fill(self, budget: Budget, now_ms: int) -> None:
        quiet, self.quiet_until_ms = self.quiet_until_ms, 0
        super().fill(budget, now_ms)
        self.quiet_until_ms = quiet


class FromAnswer(Holder):
    """Planted: a holder counts its lease from the answer."""

    def lease_end(self, asked_ms: int, lease_ms: int, now_ms: int) -> int:
        return now_ms + lease_ms


class NoFence(Holder):
    """Planted: a holder takes over any grant, also one that was overtaken."""

    def is_newer(self, part: Part, fence: int) -> bool:
        return True


class Careless(Holder):
    """Planted: a holder agrees to less of a count than it has in use."""

    def ask(self, now_ms: int) -> Ask:
        ask = super().ask(now_ms)
        return msgspec.structs.replace(
            ask, wants=tuple(msgspec.structs.replace(want, used=0) for want in ask.wants)
        )

    def agrees(self, part: Part, amount: int, now_ms: int) -> bool:
        return True


@dataclass(frozen=True)
class Kind:
    """What is checked: the machine as it is, or with a fault planted."""

    name: str = "as it is"
    steward: type[Steward] = Steward
    holder: type[Holder] = Holder
    quiet_ms: int = LEASE_MS  # that another steward waits after a loss
    looks_last: bool = True  # for a later term, once what it decided is in its log


PLANTED = (
    Kind("a lease counted from the answer", holder=FromAnswer),
    Kind("a lease that ends too early at the steward", steward=EarlyLapse),
    Kind("no fence at the holder", holder=NoFence),
    Kind("no wait after a loss", quiet_ms=0),
    Kind("a part that shrinks without leave", steward=NoLeave),
    Kind("units counted back twice", steward=TwiceBack),
    Kind("units pooled while a loss is waited out", steward=EagerPool),
    Kind("the look for a later term before the log", looks_last=False),
    Kind("a count that shrinks below what is in use", holder=Careless),
)


@dataclass
class World:
    """One state: time, the steward, all holders that were ever started, messages, and units spent."""

    kind: Kind
    doors: int
    now_ms: int
    steward: Steward
    holders: list[Holder]
    messages: tuple[object, ...] = ()
    spent: int = 0  # thousandths of units, of the rate
    credit: int = 0  # thousandths of units that were there at the beginning
    began_ms: int = 0
    losses: int = 0
    passed: bool = False  # another has taken over from a steward that stood still
    asks: dict[int, int] = field(default_factory=dict)  # by holder

    def copy(self) -> World:
        return replace(
            self,
            steward=copy_state(self.steward),
            asks=dict(self.asks),
            holders=[copy_holder(one) for one in self.holders],
        )

    def key(self) -> tuple[object, ...]:
        return (
            self.now_ms,
            self.spent,
            self.losses,
            self.passed,
            key_of_state(self.steward),
            tuple(map(key_of_holder, self.holders)),
            frozenset(self.messages),
        )


def copy_state(state: Steward) -> Steward:
    found = type(state).__new__(type(state))
    found.fence, found.lease_ms, found.quiet_until_ms = state.fence, state.lease_ms, state.quiet_until_ms
    found.serials = dict(state.serials)
    found.budgets = {
        name: Budget(
            one.terms,
            {who: Holding(held.issued, held.demand, held.acked) for who, held in one.holdings.items()},
            one.pool_thousandths,
            one.pool_at_ms,
            one.turn,
        )
        for name, one in state.budgets.items()
    }
    return found


def key_of_state(state: Steward) -> tuple[object, ...]:
    return (
        state.fence,
        state.quiet_until_ms,
        tuple(sorted(state.serials.items())),
        tuple(
            (
                name,
                one.pool_thousandths,
                one.pool_at_ms,
                one.turn,
                tuple(
                    (who, held.issued, held.demand, held.acked) for who, held in sorted(one.holdings.items())
                ),
            )
            for name, one in state.budgets.items()
        ),
    )


def copy_holder(holder: Holder) -> Holder:
    found = type(holder).__new__(type(holder))
    found.door, found.mark, found.doors, found.serial = holder.door, holder.mark, holder.doors, holder.serial
    found.asked_ms = dict(holder.asked_ms)
    found.parts = {name: replace(part) for name, part in holder.parts.items()}
    return found


def key_of_holder(holder: Holder) -> tuple[object, ...]:
    return (
        holder.door,
        holder.mark,
        holder.serial,
        tuple(holder.asked_ms.items()),
        tuple(
            (
                name,
                part.part,
                part.fence,
                part.until_ms,
                part.level_thousandths,
                part.level_at_ms,
                part.back,
                part.used,
            )
            for name, part in holder.parts.items()
        ),
    )


def budgets(count: int) -> dict[str, Terms]:
    return dict(list({"rate": RATE, "open": COUNT}.items())[:count])


def begin(kind: Kind, doors: int, count: int, held: bool) -> World:
    """A first state: nobody has asked, or the first door holds all of everything."""
    now = 100 * LEASE_MS
    steward = kind.steward(FENCES, now, 0, LEASE_MS)
    for name, terms in budgets(count).items():
        steward.set_terms(name, terms, now)
    world = World(kind, doors, now, steward, [], began_ms=now)
    for door in range(doors):
        start(world, door)
    if held:
        steward.budgets["rate"].pool_thousandths = 1000 * RATE.burst
        world.holders[0].answered(steward.ask(world.holders[0].ask(now), now), now)
        steward.fill(steward.budgets["rate"], now)
        world.credit = units_there(world)
    return world


def start(world: World, door: int) -> None:
    """A process of a door; it has demand for everything, and every other door waits for units besides."""
    mark = 1 + sum(one.door == door for one in world.holders)
    holder = world.kind.holder(door, mark, world.doors)
    for name, budget in world.steward.budgets.items():
        holder.use(name, budget.terms, 5, world.now_ms, need=2 * (door % 2))
    world.holders.append(holder)


def steps(world: World) -> Iterator[tuple[str, Callable[[], World]]]:
    """Every event that may come next, in words, and what makes the state that it leads to."""

    def by(change: Callable[..., None], *values: object) -> Callable[[], World]:
        return lambda: changed(world, change, *values)

    for wait in (SECOND_MS, LEASE_MS):
        yield f"{wait / 1000:g} s go by", by(go_by, wait)
    for number, holder in enumerate(world.holders):
        if world.asks.get(number, 0) < MOST_ASKS:
            yield f"door {holder.door} (start {holder.mark}) asks", by(ask, number)
        if any(part.level_thousandths >= 1000 for part in holder.parts.values()):
            yield f"door {holder.door} (start {holder.mark}) spends", by(spend, number)
        if "open" in holder.parts:
            if holder.held("open", world.now_ms) > holder.parts["open"].used:
                yield f"door {holder.door} (start {holder.mark}) opens all it may", by(open_all, number)
            if holder.parts["open"].used:
                yield f"door {holder.door} (start {holder.mark}) closes one", by(close_one, number)
    for message in dict.fromkeys(world.messages):
        who = f"door {message.door} (start {message.mark})"
        if isinstance(message, Ask):
            yield f"ask {message.serial} of {who} arrives", by(arrive, message)
            if not world.passed:
                yield (
                    f"another steward takes over in the middle of ask {message.serial} of {who}",
                    by(pass_over, message),
                )
            continue
        for number, holder in enumerate(world.holders):
            if (holder.door, holder.mark) == (
                message.door,
                message.mark,
            ) and message.serial in holder.asked_ms:
                yield f"answer {message.serial} reaches {who}", by(answered, number, message)
    for door in range(world.doors):
        if sum(one.door == door for one in world.holders) < MOST_STARTS:
            yield f"door {door} starts again", by(start, door)
    yield "the steward is killed and comes back", by(recover)
    if not world.losses:
        yield "the steward is lost, and another begins", by(lose)


def changed(world: World, change: Callable[..., None], *values: object) -> World:
    found = world.copy()
    change(found, *values)
    return found


def go_by(world: World, wait_ms: int) -> None:
    """What was opened under a lease that is over by then has ended by itself, and nobody promises more."""
    world.now_ms += wait_ms
    for holder in world.holders:
        if (part := holder.parts.get("open")) and part.until_ms <= world.now_ms:
            part.used = 0


def ask(world: World, number: int) -> None:
    for part in world.holders[number].parts.values():
        part.used_ms = world.now_ms
    world.messages = (*world.messages, world.holders[number].ask(world.now_ms))
    world.asks[number] = world.asks.get(number, 0) + 1


def arrive(world: World, message: Ask) -> None:
    answer = world.steward.ask(message, world.now_ms)
    if answer.grants and answer not in world.messages:
        world.messages = (*world.messages, answer)


def answered(world: World, number: int, message: Answer) -> None:
    world.holders[number].answered(message, world.now_ms)


def pass_over(world: World, message: Ask) -> None:
    """The steward stands still between its decision and its word, and another takes over with its log. As it
    is, the decision may be in that log, and is told to nobody: the look for a later term comes last. Where
    the look lies behind it, the decision is still to be kept when it goes on, and is told then. Without it in
    the log, and untold, it is a steward that was killed."""
    world.passed = True
    old = copy_state(world.steward)
    answer = old.ask(message, world.now_ms)
    if world.kind.looks_last:
        world.steward = old
    elif answer.grants:
        world.messages = (*world.messages, answer)
    recover(world)


def spend(world: World, number: int) -> None:
    """All that is in a holder's store of the rate."""
    holder = world.holders[number]
    part = holder.parts["rate"]
    holder.fill(part, world.now_ms)
    units = part.level_thousandths // 1000
    if units and holder.spend("rate", units, world.now_ms):
        world.spent += 1000 * units


def open_all(world: World, number: int) -> None:
    """As many as it may have open."""
    holder = world.holders[number]
    holder.parts["open"].used = holder.held("open", world.now_ms)


def close_one(world: World, number: int) -> None:
    world.holders[number].parts["open"].used -= 1


def recover(world: World) -> None:
    """A process with the log of the one before it; what was in its pool is not in the log."""
    old = world.steward
    fresh = type(old)(old.fence, world.now_ms, 0, LEASE_MS)
    for name, budget in old.budgets.items():
        fresh.set_terms(name, budget.terms, world.now_ms)
    for name, holder, one in old.issued():
        if one.until_ms > world.now_ms:
            fresh.take_up(name, holder, one)
    fresh.quiet_until_ms = old.quiet_until_ms
    world.steward = fresh


def lose(world: World) -> None:
    """A process that knows nothing, in a history of its own."""
    old, world.losses = world.steward, world.losses + 1
    fresh = type(old)(old.fence + FENCES, world.now_ms, world.kind.quiet_ms, LEASE_MS)
    for name, budget in old.budgets.items():
        fresh.set_terms(name, budget.terms, world.now_ms)
    world.steward = fresh


def broken(world: World) -> str:
    """What does not hold in a state; nothing where all does."""
    for name, budget in world.steward.budgets.items():
        own = floor(budget.terms.whole, world.doors)  # of each door, whichever of its processes uses it
        held = sum(holder.held(name, world.now_ms) - own for holder in world.holders) + world.doors * own
        if held > parted(budget.terms) + world.doors * own:
            return f"{held} of '{name}' is held, {parted(budget.terms)} is divided beside the floors"
    open_now = sum(
        part.used
        for holder in world.holders
        for part in [holder.parts.get("open")]
        if part and world.now_ms < part.until_ms
    )
    if open_now > granted(COUNT.whole):
        return f"{open_now} are open, {granted(COUNT.whole)} are divided"
    came = world.credit + RATE.whole * (world.now_ms - world.began_ms) // 1000
    came += RATE.whole // 10 * (world.now_ms - world.began_ms) // 1000  # floors of starts before the latest
    there = world.spent + units_there(world)
    if there > came:
        return f"{there / 1000:g} units were spent, are held or pooled, {came / 1000:g} have come in"
    # What may be spent with no time going by: each process of a door has a floor's share of the burst.
    most = 1000 * RATE.burst * (granted(RATE.whole) + len(world.holders) * floor(RATE.whole, world.doors))
    at_once = pooled_at_once(world) + sum(
        min(part.level_thousandths, holder.most_thousandths(part, world.now_ms))
        for holder in world.holders
        for part in [holder.parts["rate"]]
    )
    if at_once * RATE.whole > most:
        return f"{at_once / 1000:g} units could be spent at once, {most / RATE.whole / 1000:g} at most"
    return ""


def pooled_at_once(world: World) -> int:
    """Thousandths of units in the pool that have room there."""
    budget = world.steward.budgets["rate"]
    free = max(0, granted(RATE.whole) - budget.bound)
    return min(budget.pool_thousandths, 1000 * RATE.burst * free // RATE.whole)


def units_there(world: World) -> int:
    """Thousandths of units of the rate in all stores and in the pool."""
    held = sum(holder.parts["rate"].level_thousandths for holder in world.holders)
    return held + world.steward.budgets["rate"].pool_thousandths


@dataclass(frozen=True)
class Outcome:
    """How many states were seen to which depth, and the shortest way to one in which something is broken."""

    states: int
    depth: int
    broken: str = ""
    way: tuple[str, ...] = ()


def explore(kind: Kind, doors: int, count: int, depth: int, held: bool) -> Outcome:
    """All states that so many events lead to, nearest first."""
    return search(begin(kind, doors, count, held), steps, broken, depth)


TALK = (" asks", " arrives", " reaches ")  # events without which no fault of the fences shows


def wander(
    kind: Kind, doors: int, count: int, walks: int, length: int, seed: int, only: tuple[str, ...] = ()
) -> Outcome:
    """Random ways, deeper than all states can be looked at; each from one of the first states. With `only`,
    by events alone that have one of these words: what needs many asks is hardly met among all others."""

    def first(number: int) -> World:
        return begin(kind, doors, count, number % 2 == 0)

    def chosen(world: World) -> Iterator[tuple[str, Callable[[], World]]]:
        return (step for step in steps(world) if any(word in step[0] for word in only))

    return stray(first, chosen if only else steps, broken, walks, length, seed)


def stray_all(kind: Kind, doors: int, count: int, walks: int, length: int, seed: int) -> Outcome:
    """Ways by all events, as many by talk alone, and as many by talk and what is opened of a count."""
    states = 0
    for budgets, only in ((count, ()), (count, TALK), (2, (*TALK, " opens"))):
        found = wander(kind, doors, budgets, walks, length, seed, only)
        states += found.states
        if found.broken:
            break
    return replace(found, states=states)


class Checked(Protocol):
    """A state of whatever is checked."""

    def key(self) -> object: ...


Steps = Callable[[Any], Iterator[tuple[str, Callable[[], Any]]]]  # each event, and what makes the next state
Broken = Callable[[Any], str]


def search(first: Checked, steps: Steps, broken: Broken, depth: int) -> Outcome:
    """All states that so many events lead to, nearest first."""
    seen = {first.key()}
    queue: deque[tuple[Checked, tuple[str, ...]]] = deque([(first, ())])
    while queue:
        world, way = queue.popleft()
        if len(way) == depth:
            continue
        for event, make in steps(world):
            found = make()
            if wrong := broken(found):
                return Outcome(len(seen), len(way) + 1, wrong, (*way, event))
            key = found.key()
            if key not in seen:
                seen.add(key)
                queue.append((found, (*way, event)))
    return Outcome(len(seen), depth)


def stray(
    first: Callable[[int], Checked], steps: Steps, broken: Broken, walks: int, length: int, seed: int
) -> Outcome:
    """Random ways, each from the first state of its number."""
    chance, states = random.Random(seed), 0
    for number in range(walks):
        world, way = first(number), ()
        for _ in range(length):
            if not (nexts := list(steps(world))):
                break
            event, make = chance.choice(nexts)
            world = make()
            way, states = (*way, event), states + 1
            if wrong := broken(world):
                return Outcome(states, len(way), wrong, way)
    return Outcome(states, length)
