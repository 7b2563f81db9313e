"""What a gateway asks of a steward, and what it makes of the parts that it is granted.

Where a budget is divided by leases, what a gateway may use of it is the part that was granted for as long as
its lease lasts, and a floor at all times: a tenth of the whole, split over all who may use it, which nobody
grants.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fennelwinch import interface as i
from fennelwinch.base import NEVER, S

if TYPE_CHECKING:
    from fennelwinch.rules import Gateway

FLOOR = 0.1  # of a budget, for all who share it together (steward/state.py keeps as much aside)
WANTED_US = 3 * S  # for which a budget that has not been asked of is still asked for: a lease
RATE_US = 2 * S  # over which demand is smoothed for a steward


class Store:
    """A gateway's part of one budget: units, which come in at the granted share of the rate up to the lease's
    end, and at the floor always. It starts empty, as a restart looks like a first start."""

    __slots__ = ("asked_rate", "asked_us", "at", "back", "burst", "floor", "level", "rate", "share",
                 "until_us")

    def __init__(self, rate: float, burst: float, sharers: int, now: int) -> None:
        """`rate` and `burst` are the whole's, in units a second and units; so many share the floor."""
        self.rate, self.burst, self.floor, self.at = rate, burst, FLOOR / sharers, now
        self.level, self.share, self.until_us = 0.0, 0.0, -NEVER
        self.back = 0  # units that the last grant left no room for
        self.asked_us, self.asked_rate = -NEVER, 0.0  # when it was last asked of; units a second lately

    def most(self, now: int) -> float:
        return self.burst * ((self.share if now < self.until_us else 0.0) + self.floor)

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


def wanted(gateway: Gateway, now: int) -> list[i.Wanted]:
    """The budgets that this gateway needs a part of, with its demand lately."""
    waited: dict[i.Key, float] = {None: float(gateway.not_again)}  # units that something waits for
    for _, _, job in gateway.held:
        if job.customer.leased and not job.servers and not job.customer.allows(job.req.units):
            waited[job.customer.key] = waited.get(job.customer.key, 0.0) + job.req.units
    stores = [(key, customer.leased) for key, customer in gateway.customers.items()]
    return [i.Wanted(key, store.asked_rate, store.back, max(0.0, waited.get(key, 0.0) - store.level))
            for key, store in ((None, gateway.further), *stores)
            if store and now - store.asked_us < WANTED_US]


def take(gateway: Gateway, event: i.Allowance) -> None:
    """A part of a budget, until its lease is over."""
    customer = gateway.customers.get(event.key) if event.key else None
    store = gateway.further if event.key is None else customer and customer.leased
    if not store:
        return
    now = gateway.now
    store.refill(now)
    store.share, store.until_us = max(0.0, min(1.0 - FLOOR, event.share)), event.until_us
    store.level += max(0.0, event.units)
    gateway.release()  # who waits for these units has them, also where they are more than fit
    # What no longer fits goes back with the next ask, in whole units.
    store.back = int(max(0.0, store.level - store.most(now)))
    store.level = min(store.level - store.back, store.most(now))
