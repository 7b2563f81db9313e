"""Customers and their clients: what is asked, through which door, for how long, and when again."""

from __future__ import annotations

import itertools
import math
from bisect import bisect
from typing import TYPE_CHECKING

from thistletrail.simulation.books import GAINED, LATE, OVER, SERVED
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.ledger import Account
from thistletrail.simulation.scenario import Clients as ClientsSpec
from thistletrail.simulation.streams import Stream
from thistletrail.simulation.watched import Decided

if TYPE_CHECKING:
    from thistletrail.simulation.day import SimulationRun
    from thistletrail.simulation.doors import Door
    from thistletrail.simulation.kept import Piece

RECENT_US = 5 * S  # after a start for which what a door does not know is the cause of what it lets by
TOO_LATE = ("late on arrival", "late retry")  # refusals that come of why an earlier try was not served
REFUSED_US = 1 * MS  # until a connection to a door that is not there is refused


class Customer:
    """One customer: its plan's figures, its set of doors, how it uses its quota."""

    __slots__ = (
        "account",
        "cumulative",
        "first",
        "life",
        "name",
        "plan",
        "size",
        "spiking",
        "spiky",
        "use",
        "usual",
    )

    def __init__(self, name: str, plan: int, first: int, size: int, account: Account, use: float) -> None:
        """`use` is in requests a second; `first` and `size` tell its set of doors."""
        self.name, self.plan, self.first, self.size, self.account = name, plan, first, size, account
        self.use = self.usual = use
        self.spiky, self.spiking, self.life = 1.0, False, 0
        self.cumulative: list[float] = []

    def weigh(self, stream: Stream, skew: float) -> None:
        """Spread its requests over its set anew: uneven, by rank to the power of -skew."""
        ranks = stream.shuffled(range(1, self.size + 1))
        self.cumulative = list(itertools.accumulate(rank**-skew for rank in ranks))

    def door(self, stream: Stream, doors: int) -> int:
        at = bisect(self.cumulative, stream.uniform() * self.cumulative[-1])
        return (self.first + min(at, self.size - 1)) % doors


class Ask:
    """What a client wants, from its first try to the last."""

    __slots__ = (
        "aim_us",
        "cause",
        "customer",
        "end_us",
        "first_us",
        "ideal",
        "kind",
        "tries",
        "work_us",
        "worth",
        "zones",
    )

    def __init__(self, customer: Customer, kind: int, work_us: float, worth: float, now: int) -> None:
        self.customer, self.kind, self.work_us, self.worth = customer, kind, work_us, worth
        self.first_us = now
        self.tries, self.ideal = 0, False
        self.zones: frozenset[int] = frozenset()  # where it has run
        self.cause = "a slow answer"  # why it is not served yet: of its last try that was not
        self.aim_us = self.end_us = now


class Try:
    """One request id: `booked` once its units were taken, `over` once its client knows how it ended."""

    __slots__ = ("ask", "booked", "door", "end_us", "heir", "id", "inside", "over")

    def __init__(self, name: str, ask: Ask, door: Door, end_us: int) -> None:
        self.id, self.ask, self.door, self.end_us = name, ask, door, end_us
        self.booked = self.inside = self.over = False
        self.heir: Piece | None = None  # no client's: the work of a dead door


class Clients:
    """All customers and the front that spreads their requests over the doors."""

    def __init__(self, day: SimulationRun, spec: ClientsSpec, stream: Stream) -> None:
        self.day, self.spec, self.stream = day, spec, stream
        self.serial = itertools.count(1)
        self.down: set[int] = set()  # doors that the front has seen down
        self.try_share = [stream.span(spec.try_share) for _ in day.scenario.classes]
        self.backoff = spec.backoff or stream.pick(("none", "fixed", "exp"))
        self.backoff_us, self.honour = stream.span(spec.backoff_ms) * MS, stream.span(spec.honour)
        self.elsewhere = stream.span(day.scenario.demand.elsewhere)
        self.aims = [round(rule.aim_ms * day.scenario.stretch * MS) for rule in day.scenario.classes]
        self.deadlines = [
            round(rule.deadline_ms * day.scenario.stretch * MS) for rule in day.scenario.classes
        ]

    # --- asking ---

    def ask(self, customer: Customer, kind: int, work_us: float) -> None:
        day, now = self.day, self.day.clock.now
        worth = day.scenario.classes[kind].worth * day.plans[customer.plan].price
        ask = Ask(customer, kind, work_us, worth, now)
        ask.aim_us, ask.end_us = now + self.aims[kind], now + self.deadlines[kind]
        ask.ideal = customer.account.ideal.take(1.0, now)
        day.books.asks += 1
        self.send(ask, None)

    def pick(self, customer: Customer, before: Door | None) -> Door:
        """A door of its set, by the customer's weights; not one that the front has seen down."""
        doors = self.day.doors
        if before is not None and before.number not in self.down and not self.stream.chance(self.elsewhere):
            return before
        for _ in range(4):
            number = customer.door(self.stream, len(doors))
            if number not in self.down:
                return doors[number]
        numbers = [(customer.first + n) % len(doors) for n in range(customer.size)]
        up = [number for number in numbers if number not in self.down] or numbers
        return doors[self.stream.pick(up)]

    def send(self, ask: Ask, before: Door | None) -> None:
        day, now = self.day, self.day.clock.now
        ask.tries += 1
        door = self.pick(ask.customer, before)
        wait = self.deadlines[ask.kind] * self.try_share[ask.kind]
        try_ = Try(f"{next(self.serial):x}", ask, door, min(ask.end_us, now + round(wait)))
        day.books.tries += 1
        day.clock.after(day.network.to_client_us(), door.request, try_)
        day.clock.at(try_.end_us, self.give_up, try_)

    def sent_on(self, try_: Try, door: Door) -> None:
        """Its first attempt has come whole to a server: its units are booked."""
        day, customer = self.day, try_.ask.customer
        now, plan = day.clock.now, day.plans[customer.plan]
        was = customer.account.broken()
        try_.inside = customer.account.send(1.0, now)
        cause = "" if try_.inside else self.over_cause(door.note(try_.id), plan, door)
        day.books.sent_on(try_.inside, cause, plan.over_cost * try_.ask.worth)
        if customer.account.broken() and not was:
            day.books.broke("a ceiling was passed", f"customer {customer.name}")

    def over_cause(self, note: Decided | None, plan: object, door: Door) -> str:
        """Why a try beyond the quota was sent on."""
        if note is None:
            return "unknown"
        if not note.inside and plan.over_worth > plan.over_cost:
            return "on purpose"
        doors, now = self.day.doors, self.day.clock.now
        home = doors[note.home] if 0 <= note.home < len(doors) else door
        for what, started in (("restarted door", door), ("restarted home", home)):
            if started.life > 1 and now - started.started_us < RECENT_US:
                return what
        return note.basis or "unknown"

    # --- answers ---

    def unreached(self, try_: Try) -> None:
        """Nobody listens at the door."""
        self.day.clock.after(REFUSED_US, self.receive, try_, "unreached", "door is down", 0)

    def door_died(self, try_: Try) -> None:
        if try_.heir is not None:
            return
        self.day.clock.after(self.day.network.to_client_us(), self.receive, try_, "unreached", "door died", 0)

    def answered(self, try_: Try, how: str, retry_after_us: int, note: Decided | None, door: Door) -> None:
        if try_.heir is not None:
            self.day.kept.ended(try_.heir, how)
            return
        cause = how if how != "refused" else self.refusal(try_, note)
        if how == "failed":
            cause = f"failed: {note.why}" if note and note.why else "failed"
        self.day.clock.after(self.day.network.to_client_us(), self.receive, try_, how, cause, retry_after_us)

    def refusal(self, try_: Try, note: Decided | None) -> str:
        """The one cause of a refusal; those for the quota by whether there was room in truth."""
        if note is None or not note.why:
            return "unknown"
        account, now = try_.ask.customer.account, self.day.clock.now
        store = account.ceiling if note.why == "ceiling" else account.quota
        if store is None or note.why not in ("quota", "ceiling"):
            return note.why
        level = store.refill(now)
        if level < 1.0:
            return f"beyond {note.why}"
        room = "half unused" if 2 * level >= store.burst else "some room"
        return f"{room}, {'ceiling, ' if note.why == 'ceiling' else ''}{note.basis}"

    def give_up(self, try_: Try) -> None:
        if try_.over:
            return
        owed = try_.door.client_gone(try_)
        self.receive(try_, "gone", "no answer in time" if owed else "answer too late", 0)

    def receive(self, try_: Try, how: str, cause: str, retry_after_us: int) -> None:
        """The client knows how its try ended, and asks again or not."""
        if try_.over:
            return
        try_.over = True
        day, ask, now = self.day, try_.ask, self.day.clock.now
        day.books.end_try(how, cause)
        if how == "served":
            self.end(ask, try_, cause)
            return
        if cause not in TOO_LATE or ask.tries == 1:
            ask.cause = cause
        rule = day.scenario.classes[ask.kind]
        wait = self.wait_us(ask, retry_after_us)
        may = not rule.keyed or how in ("refused", "unreached")
        if may and ask.tries <= self.spec.retries and now + wait < ask.end_us:
            day.clock.after(wait, self.send, ask, try_.door)
        else:
            self.end(ask, None, cause if cause == ask.cause else f"{LATE} after {ask.cause}")

    def wait_us(self, ask: Ask, advice_us: int) -> float:
        if advice_us and self.stream.chance(self.honour):
            return min(advice_us, self.spec.max_retry_after_ms * MS)
        if self.backoff == "none":
            return 1 * MS
        return self.backoff_us * (2 ** (ask.tries - 1) if self.backoff == "exp" else 1)

    def end(self, ask: Ask, served: Try | None, cause: str) -> None:
        """The ask is over: what was offered, what was earned, and under which cause the rest is lost."""
        day, now = self.day, self.day.clock.now
        day.kept.forget(ask)
        plan, rule = day.plans[ask.customer.plan], day.scenario.classes[ask.kind]
        offered = ask.worth * (1.0 if ask.ideal else plan.over_worth)
        earned, late_fail = 0.0, 0.0
        if served is None:
            late_fail = ask.worth if now > ask.aim_us else 0.0
        else:
            earned = ask.worth * (1.0 if served.inside else plan.over_worth)
            if now > ask.aim_us:
                earned, cause = earned * rule.late_worth, f"{LATE} after {ask.cause}"
            elif not served.inside:
                cause = OVER
            else:
                cause = SERVED if ask.ideal else GAINED
        second = (ask.first_us - day.start_us) // S
        in_time = served is not None and now <= ask.aim_us
        day.books.in_time[second] += in_time
        if ask.ideal:
            day.books.points.append((ask.first_us - day.start_us, ask.worth, in_time))
        day.books.end_ask((second, ask.kind, ask.customer.plan), offered, earned, cause, late_fail)


class PlanFigures:
    """A plan's figures of one run, as the settings tell them."""

    __slots__ = ("burst", "ceiling", "over_cost", "over_worth", "price", "rate")

    def __init__(self, spec: object, stretch: float, stream: Stream) -> None:
        self.rate = stream.span(spec.rate) / stretch
        self.price, self.over_worth, self.over_cost = spec.price, spec.over_worth, spec.over_cost
        least = 4 if spec.ceiling else 2  # largest requests (the bench page)
        self.burst = float(max(least, round(self.rate * stretch * stream.span(spec.burst_s))))
        multiple = stream.span(spec.ceiling) if spec.ceiling else 0.0
        most = float(round(self.burst * multiple))
        self.ceiling = (self.rate * multiple, most, max(1.0, math.floor(most / 10)))


class Demand:
    """All customers of a run, each asking at random moments at its own, changing rate."""

    def __init__(self, day: SimulationRun) -> None:
        self.day, scenario = day, day.scenario
        self.spec, self.stream, self.work = scenario.demand, day.streams["demand"], day.streams["asks"]
        stream = self.stream
        self.means = [self.work.span(rule.work_ms) * scenario.stretch * MS for rule in scenario.classes]
        self.cvs = [self.work.span(rule.cv) for rule in scenario.classes]
        shares = sum(rule.share for rule in scenario.classes)
        self.kinds = list(itertools.accumulate(rule.share / shares for rule in scenario.classes))
        self.mean_work_us = sum(
            rule.share / shares * mean for rule, mean in zip(scenario.classes, self.means, strict=True)
        )
        self.customers: list[Customer] = []
        self.names = itertools.count(1)
        self.factor, self.swing = 1.0, stream.span(self.spec.swing)
        self.phase = stream.uniform() * 2 * math.pi
        self.skew = stream.span(self.spec.skew)
        self.usual = 0.0  # requests a second inside quotas

    def begin(self, capacity: float) -> None:
        """Draw the customers, for servers that have so many cores at the usual speed."""
        spec, stream, scenario = self.spec, self.stream, self.day.scenario
        self.usual = stream.span(spec.load) * capacity * S / self.mean_work_us
        shares = sum(plan.share for plan in scenario.plans)
        full, heavy, spiky = stream.span(spec.full), stream.span(spec.heavy), stream.span(spec.spiky)
        for number, plan in enumerate(scenario.plans):
            rate = self.day.plans[number].rate
            calm = sum(spec.calm_use) / 2
            mean = max(0.05, (1 - full - heavy) * calm + full * 0.95 + heavy)
            count = max(1, round(self.usual * plan.share / shares / (rate * mean)))
            kinds = stream.shuffled(
                ["full"] * round(full * count)
                + ["heavy"] * round(heavy * count)
                + ["spiky"] * round(spiky * count)
                + ["calm"] * count
            )[:count]
            for kind in kinds:
                use = {"full": stream.between(0.9, 1.0), "heavy": stream.span(spec.heavy_x)}.get(
                    kind, stream.span(spec.calm_use)
                )
                customer = self.customer(number, use * rate)
                if kind == "spiky":
                    customer.spiky = stream.span(spec.spike_x) / use
                    self.day.clock.after(
                        stream.uniform() * stream.span(spec.spike_every_s) * S, self.spike, customer
                    )
                self.follow(customer)
                self.shift(customer)

    def customer(self, plan: int, use: float) -> Customer:
        figures, stream, doors = self.day.plans[plan], self.stream, len(self.day.doors)
        size = max(min(2, doors), round(stream.span(self.day.scenario.plans[plan].spread) * doors))
        if figures.ceiling[0]:  # no more than twice the largest request for each door of the set
            size = min(size, max(2, int(figures.ceiling[1] / 2)))
        size = min(size, doors)
        account = Account(figures.rate, figures.burst, figures.ceiling, self.day.clock.now)
        customer = Customer(f"{next(self.names):016x}", plan, stream.below(doors), size, account, use)
        customer.weigh(stream, self.skew)
        self.customers.append(customer)
        return customer

    def shift(self, customer: Customer, first: bool = True) -> None:
        """The doors that its requests prefer change now and then."""
        if not first:
            customer.weigh(self.stream, self.skew)
        self.day.clock.after(self.stream.span(self.spec.shift_s) * S, self.shift, customer, False)

    def spike(self, customer: Customer) -> None:
        customer.spiking = not customer.spiking
        customer.use = customer.usual * (customer.spiky if customer.spiking else 1)
        spec = self.spec
        self.day.clock.after(
            self.stream.span(spec.spike_s if customer.spiking else spec.spike_every_s) * S,
            self.spike,
            customer,
        )
        self.follow(customer)

    def follow(self, customer: Customer) -> None:
        """Begin its series of requests at the rate that now holds: there is no memory to lose."""
        customer.life += 1
        self.next(customer, customer.life)

    def most(self) -> float:
        return self.factor * (1 + self.swing)

    def next(self, customer: Customer, life: int) -> None:
        rate = customer.use * self.most()
        if rate > 0:
            self.day.clock.after(self.stream.exponential(S / rate), self.arrive, customer, life)

    def arrive(self, customer: Customer, life: int) -> None:
        day = self.day
        if life != customer.life or day.clock.now >= day.end_us:
            return
        now_part = (day.clock.now - day.start_us) / max(1, day.end_us - day.start_us)
        swung = 1 + self.swing * math.sin(self.phase + 2 * math.pi * now_part)
        if self.stream.uniform() * (1 + self.swing) < swung:
            self.ask(customer)
        self.next(customer, life)

    def ask(self, customer: Customer) -> None:
        kind = min(bisect(self.kinds, self.work.uniform()), len(self.means) - 1)
        work = max(500.0, self.work.lognormal(self.means[kind], self.cvs[kind]))
        self.day.clients.ask(customer, kind, work)

    def change(self, factor: float) -> None:
        """All traffic is so many times the usual one from now on."""
        self.factor = factor
        for customer in self.customers:
            self.follow(customer)
