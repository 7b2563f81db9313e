"""What a gateway asks of a steward, and what it makes of the parts that it is granted.

Where a budget is divided by leases, what a gateway may use of it is the part that was granted for as long as
its lease lasts, and a floor at all times: a tenth of the whole, split over all who may use it, which nobody
grants.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from thistletrail.policy.base import NEVER, S
from thistletrail.policy.events import BudgetDemand, BudgetGranted, BudgetKey, BudgetKind
from thistletrail.policy.settings import Plan, Settings

if TYPE_CHECKING:
    from thistletrail.policy.rules import Gateway

FLOOR = 0.1  # of a budget, for all who share it together (leasing/state.py keeps as much aside)
WANTED_US = 3 * S  # for which a budget that has not been asked of is still asked for: a lease
RATE_US = 2 * S  # over which demand is smoothed for a steward
NOTHING: dict[str, Store] = {}  # is leased of most customers: one for all of them, and never changed


@dataclass(slots=True)
class Store:
    """A gateway's part of one budget: units, which come in at the granted share of the rate up to the lease's
    end, and at the floor always. It starts empty, as a restart looks like a first start."""

    rate: float  # the whole's, in units a second; its burst, in units
    burst: float
    floor: float  # the share of the whole that nobody grants
    at: int
    level: float = 0.0
    share: float = 0.0
    until_us: int = -NEVER
    back: int = 0  # units that the last grant left no room for
    asked_us: int = -NEVER  # when it was last asked of
    asked_rate: float = 0.0  # units a second lately

    def most(self, now: int) -> float:
        return self.burst * ((self.share if now < self.until_us else 0.0) + self.floor)

    def room(self, now: int) -> int:
        """Of a count, which has no rate: how much may be open here, in whole units."""
        return math.floor(self.most(now) + 1e-9)

    def refill(self, now: int) -> float:
        """The units that may be used now."""
        took, self.at = now - self.at, now
        if took > 0:
            leased = max(0, min(took, self.until_us - (now - took)))
            self.level += self.rate / S * (self.share * leased + self.floor * took)
            self.level = min(self.level, self.most(now))
        return self.level

    def asked(self, units: float, now: int) -> None:
        """Its demand here for the steward: smoothed over a lease or so."""
        took = min(RATE_US, now - self.asked_us)
        aged = math.exp(-took / RATE_US)
        self.asked_rate, self.asked_us = self.asked_rate * aged + units * S / RATE_US, now


def whole_of(kind: str, plan: Plan) -> tuple[float, float]:
    """A customer's budget of that kind, of all gateways: units a second, and units; a count has no rate."""
    if kind == BudgetKind.CEILING:
        return plan.ceiling_rate, plan.ceiling_burst
    return (plan.rate, plan.burst) if kind == BudgetKind.QUOTA else (0.0, plan.max_in_flight)


def stores_of(plan: Plan, size: int, settings: Settings, now: int) -> dict[str, Store]:
    """What is divided by leases of a customer's budgets, by kind; what is less than a unit is not."""
    leased = (
        (BudgetKind.CEILING, settings.leases_ceilings),
        (BudgetKind.QUOTA, settings.leases_quotas),
        (BudgetKind.IN_FLIGHT, settings.leases_in_flight),
    )
    wholes = [(kind, *whole_of(kind, plan)) for kind, on in leased if on]
    whole = [
        (kind, rate, burst)
        for kind, rate, burst in wholes
        if burst >= 1 and (rate or kind == BudgetKind.IN_FLIGHT)
    ]
    return {kind: Store(rate, burst, FLOOR / size, now) for kind, rate, burst in whole} or NOTHING


def wanted(gateway: Gateway, now: int) -> list[BudgetDemand]:
    """The budgets that this gateway needs a part of, with its demand lately."""
    waited: dict[BudgetKey | None, float] = {}  # units, or openings, that something waits for
    unsent = [job for _, _, job in gateway.held if not job.servers]
    lacking = [(BudgetKind.CEILING, job) for job in unsent if not job.customer.allows(job.req.units)]
    lacking += [
        (BudgetKind.QUOTA if job.customer.may_open() else BudgetKind.IN_FLIGHT, job) for job in gateway.waits
    ]
    for kind, job in lacking:
        key = BudgetKey(kind, *job.customer.key)
        waited[key] = waited.get(key, 0.0) + (1.0 if kind == BudgetKind.IN_FLIGHT else job.req.units)
    known = gateway.customers.items()
    stores = [
        (BudgetKey(kind, *key), store, one.out) for key, one in known for kind, store in one.leased.items()
    ]
    if gateway.further:
        waited[None] = float(gateway.not_again)
        stores.insert(0, (None, gateway.further, 0))
    found = []
    for key, store, out in stores:
        need = waited.get(key, 0.0)
        if key and key.kind == BudgetKind.IN_FLIGHT:
            if need or out:
                found.append(BudgetDemand(key, need + out, needed=need, in_use=out))
        elif now - store.asked_us < WANTED_US:
            found.append(BudgetDemand(key, store.asked_rate, store.back, max(0.0, need - store.level)))
    return found


def take(gateway: Gateway, event: BudgetGranted) -> None:
    """A part of a budget, until its lease is over."""
    customer = gateway.customers.get(event.key[1:]) if event.key else None
    store = gateway.further if event.key is None else customer and customer.leased.get(event.key.kind)
    if not store:
        return
    now = gateway.now
    store.refill(now)
    store.share, store.until_us = max(0.0, min(1.0 - FLOOR, event.share)), event.expires_us
    store.level += max(0.0, event.units)
    if customer:
        gateway.end_leased_waits(customer)
    gateway.release()  # who waits for these units has them, also where they are more than fit
    # What no longer fits goes back with the next ask, in whole units.
    store.back = int(max(0.0, store.level - store.most(now)))
    store.level = min(store.level - store.back, store.most(now))
