"""The steward's state: who holds which part of which budget, and until when. Pure; time is passed in.

The guarantee: at every moment the parts that any holder may still believe in add up to no more than the
whole. What a holder may believe in is what the steward keeps book of: all grants of its that have not lapsed
and that it has not left behind by taking over a later one. A part is only given out of what is left when all
these are taken off. A holder counts its lease from before it asked and stops early; the steward counts from
when it has decided, and longer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from thistletrail.leasing.fair_division import divide, stepped
from thistletrail.leasing.messages import Answer, Ask, Grant, Want, holder_of

LEASE_MS = 3000
# By which a holder stops early: clocks that drift by 1 in 1,000 against each other, ten times over.
MARGIN_SHARE = 1 / 50
LEAST_LEASE_MS, MOST_LEASE_MS = 500, 10_000  # that may be set
MOST_HOLDERS = 1000  # five times the largest fleet: starts that have died hold on for a lease
MOST_BUDGETS = 20_000
MOST_WANTS = 2000  # of one ask
MOST_DEMAND = 1 << 40  # what a door says it needs is bounded, and so is what a lie is worth
# Of a granted rate, in hundredths: held by nobody, its units go to who needs some at the moment. Parts by
# demand alone leave each holder with too few units for what comes by chance (docs/leasing.md has the plays).
POOL_PERCENT = 70
FLOOR_SHARE = 10  # a tenth of each whole is kept aside for doors that cannot reach the steward


class RefusedError(Exception):
    """An ask that is refused, in one clear sentence."""


@dataclass(frozen=True, slots=True)
class Terms:
    """A budget as it is set: `whole` is what may be held at once, or thousandths of units a second; `burst`
    is how many units a store of it holds, 0 for a count of what may be open at once."""

    whole: int
    burst: int = 0

    @classmethod
    def of(cls, rate: float, burst: float) -> Terms:
        """Those of so many units a second and at once; with no rate, of a count."""
        return cls(round(rate * 1000), int(burst)) if rate else cls(int(burst))


@dataclass(frozen=True, slots=True)
class Issued:
    """A grant that a holder may still believe in."""

    fence: int
    part: int
    until_ms: int
    units: int = 0


class Holding:
    """One holder's grants of one budget, oldest first, and its demand. What follows from the grants is kept
    with them: it is asked for at each renewal of any holder."""

    __slots__ = ("acked", "bound", "demand", "ends_ms", "grants")

    def __init__(self, issued: Iterable[Issued] = (), demand: int = 0, acked: int = 0) -> None:
        self.demand = demand
        self.acked = acked  # the latest grant that it has told of having taken over
        self.issued = issued

    @property
    def issued(self) -> tuple[Issued, ...]:
        """All that it may still believe in."""
        return self.grants

    @issued.setter
    def issued(self, grants: Iterable[Issued]) -> None:
        self.grants = tuple(grants)
        self.bound = max((one.part for one in self.grants), default=0)  # the most that it may believe in
        self.ends_ms = min((one.until_ms for one in self.grants), default=0)  # when the first is over


@dataclass(slots=True)
class Budget:
    """One budget: its terms, who holds what, and the units that nobody holds."""

    terms: Terms
    holdings: dict[str, Holding] = field(default_factory=dict)
    pool_thousandths: int = 0  # of units, filled at the rate that nobody holds
    pool_at_ms: int = 0
    turn: int = 0

    @property
    def bound(self) -> int:
        """What all holders together may believe in."""
        return sum(holding.bound for holding in self.holdings.values())


def floor(whole: int, doors: int) -> int:
    """What each of so many doors may use without the steward: all floors are within the share kept aside."""
    return whole // FLOOR_SHARE // max(1, doors)


def granted(whole: int) -> int:
    """What is divided by leases: the whole less what is kept aside for floors."""
    return whole - whole // FLOOR_SHARE


def parted(terms: Terms, holders: int = 1) -> int:
    """What is divided in parts: all that is granted of a count; of a rate what is not left to the pool, and
    nothing where a part's share of the burst holds no whole unit, which nobody could spend."""
    whole = granted(terms.whole)
    if not terms.burst:
        return whole
    parts = whole - whole * POOL_PERCENT // 100
    return parts if terms.burst * parts >= terms.whole * holders else 0


class State:
    """All budgets and their holders. Every change goes through `ask`, `lapse` and `set_terms`."""

    def __init__(self, fence: int, now_ms: int, quiet_ms: int = LEASE_MS, lease_ms: int = LEASE_MS) -> None:
        """A history of its own: fences are above `fence`, and nothing is granted for `quiet_ms`, in which all
        that another history may have granted ends."""
        self.fence = fence
        self.lease_ms = lease_ms
        self.quiet_until_ms = now_ms + quiet_ms
        self.budgets: dict[str, Budget] = {}
        self.serials: dict[str, tuple[int, int]] = {}  # by holder: the last ask's serial, and when it came

    def set_terms(self, name: str, terms: Terms, now_ms: int) -> None:
        """Begin a budget, or change its whole: what is granted stays until it lapses or is left behind."""
        budget = self.budgets.get(name)
        if budget is not None:
            self.fill(budget, now_ms)
            budget.terms = terms
        elif len(self.budgets) < MOST_BUDGETS:
            self.budgets[name] = Budget(terms, pool_at_ms=now_ms)
        else:
            raise RefusedError(f"there are {MOST_BUDGETS} budgets already")

    # --- time ---

    def ends_ms(self, now_ms: int) -> int:
        """When a grant that is decided on now is over here: never before its holder stops."""
        return now_ms + self.lease_ms

    def lapse(self, now_ms: int) -> None:
        """Forget what is over, in all budgets; each is looked at anew, too, when it is asked for."""
        for budget in self.budgets.values():
            self.lapse_one(budget, now_ms)
        live = {name for budget in self.budgets.values() for name in budget.holdings}
        for name, (_, at_ms) in list(self.serials.items()):
            if name not in live and now_ms - at_ms > self.lease_ms:
                del self.serials[name]

    def lapse_one(self, budget: Budget, now_ms: int) -> None:
        """What the holder of a part that is over had in its stores counts as spent."""
        self.fill(budget, now_ms)
        for name in [name for name, one in budget.holdings.items() if one.ends_ms <= now_ms]:
            holding = budget.holdings[name]
            holding.issued = (one for one in holding.issued if one.until_ms > now_ms)
            if not holding.issued:
                del budget.holdings[name]

    def fill(self, budget: Budget, now_ms: int) -> None:
        """Units come into the pool at the rate that no holder has, up to its share of the burst. While all
        that another history may have granted is waited out, its holders get them, and not the pool."""
        whole = granted(budget.terms.whole)
        free = max(0, whole - budget.bound)
        since = max(budget.pool_at_ms, min(now_ms, self.quiet_until_ms))
        took, budget.pool_at_ms = max(0, now_ms - since), max(now_ms, budget.pool_at_ms)
        if not budget.terms.burst or not whole:
            budget.pool_thousandths = 0
            return
        # The whole is in thousandths of a unit a second.
        most = 1000 * budget.terms.burst * free // budget.terms.whole
        budget.pool_thousandths = min(most, budget.pool_thousandths + free * took // 1000)

    # --- asks ---

    def ask(self, ask: Ask, now_ms: int) -> Answer:
        """Renew a holder's grants by its demand. An ask that came before, or is older, changes nothing and
        gets no grants: the holder has a later one on its way, or its next ask will bring one."""
        if len(ask.wants) > MOST_WANTS:
            raise RefusedError(f"an ask is for {MOST_WANTS} budgets at most")
        name = holder_of(ask.door, ask.mark)
        last = self.serials.get(name, (-1, 0))[0]
        if ask.serial <= last:
            return Answer(door=ask.door, mark=ask.mark, serial=ask.serial, lease_ms=self.lease_ms)
        if name not in self.serials and len(self.serials) >= MOST_HOLDERS:
            raise RefusedError(f"there are {MOST_HOLDERS} holders already")
        self.serials[name] = ask.serial, now_ms
        grants = [grant for want in ask.wants if (grant := self.renew(name, want, now_ms)) is not None]
        return Answer(
            door=ask.door, mark=ask.mark, serial=ask.serial, lease_ms=self.lease_ms, grants=tuple(grants)
        )

    def renew(self, name: str, want: Want, now_ms: int) -> Grant | None:
        """One budget's part for a holder, as much as can be given now."""
        budget = self.budgets.get(want.budget)
        if budget is None:
            return None
        self.lapse_one(budget, now_ms)
        holding = budget.holdings.setdefault(name, Holding())
        holding.demand = max(0, min(MOST_DEMAND, want.demand))
        self.acknowledge(budget, holding, want)
        if now_ms < self.quiet_until_ms:
            if not holding.issued:
                del budget.holdings[name]
            return None
        present = holding.issued[-1].part if holding.issued else 0
        whole = parted(budget.terms, len(budget.holdings))
        wanted = divide(whole, {who: one.demand for who, one in budget.holdings.items()}, budget.turn)[name]
        budget.turn += 1
        others = budget.bound - holding.bound
        part = min(self.step(present, wanted, whole), max(0, whole - others))
        if not budget.terms.burst:  # what is in use is no holder's to agree to: it ends by itself
            part = max(part, min(want.used, holding.bound))
        return self.issue(budget, holding, want, part, now_ms)

    def step(self, present: int, wanted: int, whole: int) -> int:
        """The next part on the way to another."""
        return stepped(present, wanted, whole)

    def acknowledge(self, budget: Budget, holding: Holding, want: Want) -> None:
        """It has taken over a grant, and so left all earlier ones behind; what it gave back with that comes
        into the pool, once."""
        known = next((one for one in holding.issued if one.fence == want.fence), None)
        if known is None or want.fence <= holding.acked:
            return
        holding.acked = want.fence
        holding.issued = (one for one in holding.issued if one.fence >= want.fence)
        if budget.terms.burst:
            most = budget.terms.burst * known.part // max(1, budget.terms.whole) + budget.terms.burst
            budget.pool_thousandths += 1000 * max(0, min(want.back, most))

    def issue(self, budget: Budget, holding: Holding, want: Want, part: int, now_ms: int) -> Grant:
        self.fence += 1
        units = self.units(budget, part - holding.bound, want.need)
        budget.pool_thousandths -= 1000 * units
        holding.issued = (*holding.issued, Issued(self.fence, part, self.ends_ms(now_ms), units))
        return Grant(budget=want.budget, part=part, fence=self.fence, units=units)

    def units(self, budget: Budget, grows: int, need: int) -> int:
        """What goes along with a grant: with a part that grows its share of the burst; and for a need as much
        as there is, but half of it at most, as others may have needs too."""
        there, terms = budget.pool_thousandths // 1000, budget.terms
        if not there:
            return 0
        share = terms.burst * max(0, grows) // max(1, terms.whole)
        return min(there, max(share, min(need, max(1, there // 2))))

    # --- what is kept ---

    def issued(self) -> Iterable[tuple[str, str, Issued]]:
        """Every grant that some holder may believe in, by budget and holder."""
        for name, budget in self.budgets.items():
            for holder, holding in budget.holdings.items():
                for one in holding.issued:
                    yield name, holder, one

    def take_up(self, budget: str, holder: str, one: Issued) -> None:
        """A grant that was made before this process began, and may be believed in as it says."""
        found = self.budgets.get(budget)
        if found is not None:
            holding = found.holdings.setdefault(holder, Holding())
            holding.issued = (*holding.issued, one)
        self.fence = max(self.fence, one.fence)
