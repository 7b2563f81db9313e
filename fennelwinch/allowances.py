"""What a gateway asks of a steward, and what it makes of the parts that it is granted.

Where ceilings are divided by leases, a customer's ceiling here is the part that was granted for as long as
its lease lasts, and a floor at all times: a tenth of the whole, split over the customer's set, which nobody
grants.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fennelwinch import interface as i
from fennelwinch.base import S

if TYPE_CHECKING:
    from fennelwinch.quota import Customer
    from fennelwinch.rules import Gateway

FLOOR = 0.1  # of a ceiling, for all of a customer's set together (steward/state.py keeps as much aside)
WANTED_US = 3 * S  # for which a customer that has not asked is still asked for: a lease


def wanted(gateway: Gateway, now: int) -> list[i.Wanted]:
    """The ceilings that this gateway needs a part of, with its demand lately, in units a second."""
    waited = {}  # units that are held for the ceiling alone, and more than it has
    for _, _, job in gateway.held:
        if job.customer.leased and not job.servers and not job.customer.allows(job.req.units):
            waited[job.customer.key] = waited.get(job.customer.key, 0.0) + job.req.units
    return [i.Wanted(*key, customer.asked_rate, customer.back,
                     max(0.0, waited.get(key, 0.0) - customer.ceiling))
            for key, customer in gateway.customers.items()
            if customer.leased and now - customer.asked_us < WANTED_US]


def take(gateway: Gateway, event: i.Allowance) -> None:
    """A part of a customer's ceiling, until its lease is over."""
    key = (event.customer, event.plan_index, event.set_first, event.set_size)
    customer = gateway.customers.get(key)
    if customer is None or not gateway.set.leased:
        return
    refill(customer, gateway.now)
    customer.share, customer.share_until = max(0.0, min(1.0 - FLOOR, event.share)), event.until_us
    customer.ceiling += max(0.0, event.units)
    gateway.release()  # who waits for these units has them, also where they are more than fit
    # What no longer fits goes back with the next ask, in whole units.
    customer.back = int(max(0.0, customer.ceiling - most(customer, gateway.now)))
    customer.ceiling = min(customer.ceiling - customer.back, most(customer, gateway.now))


def most(customer: Customer, now: int) -> float:
    share = customer.share if now < customer.share_until else 0.0
    return customer.plan.ceiling_burst * (share + FLOOR / customer.size)


def refill(customer: Customer, now: int) -> None:
    """Bring a leased ceiling up to now: at the granted part up to the lease's end, at the floor always."""
    took, customer.ceiling_at = now - customer.ceiling_at, now
    if not took:
        return
    leased = max(0, min(took, customer.share_until - (now - took)))
    flow = customer.plan.ceiling_rate / S
    customer.ceiling += flow * (customer.share * leased + FLOOR / customer.size * took)
    customer.ceiling = min(customer.ceiling, most(customer, now))
