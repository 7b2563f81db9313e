"""A gateway's share of a budget that the lease service divides.

A gateway may use the share that it was granted until its lease expires, and a floor at all times. The floors
of all gateways that may use the budget add up to a tenth of it, which the lease service does not grant.
"""

import math
from dataclasses import dataclass

from thistletrail.policy.events import BudgetKind
from thistletrail.policy.settings import Plan, Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US

# The share of a budget that the floors of all gateways together take. The lease service reserves as much.
FLOOR_SHARE = 0.1

# The time constant of the running mean of demand that is reported to the lease service.
REPORTED_DEMAND_TIME_CONSTANT_US = 2 * MICROSECONDS_PER_SECOND

ROUNDING_SLACK = 1e-9  # Keeps a float error from rounding a whole number down to the one below.


@dataclass(slots=True)
class LeasedBudget:
    """A gateway's share of one budget, in units.

    `rate` (units a second) and `burst` (units) are those of the whole budget; `floor` is the share of it that
    needs no lease. The share is refilled at `share` of the rate until the lease expires, and at the floor's
    share of it at all times. It starts empty, as a gateway cannot tell a restart from a first start. A budget
    that bounds a count, such as requests in flight, has a rate of 0.
    """

    rate: float
    burst: float
    floor: float
    refilled_at_us: int
    level: float = 0.0
    share: float = 0.0
    expires_us: int = -NEVER_US
    returned: int = 0  # units that exceeded the capacity after the last grant
    requested_at_us: int = -NEVER_US  # when a request last needed the budget
    requested_per_s: float = 0.0  # units a second, as a running mean

    def capacity(self, now_us: int) -> float:
        """The maximum number of units at `now_us`: the burst's share by lease and floor."""
        leased_share = self.share if now_us < self.expires_us else 0.0
        return self.burst * (leased_share + self.floor)

    def available_count(self, now_us: int) -> int:
        """For a budget that bounds a count: how many of it may be in use at this gateway."""
        return math.floor(self.capacity(now_us) + ROUNDING_SLACK)

    def refill(self, now_us: int) -> float:
        """Add the units since the last refill, and return those that may be used now."""
        elapsed_us = now_us - self.refilled_at_us
        last_refill_us = self.refilled_at_us
        self.refilled_at_us = now_us
        if elapsed_us > 0:
            leased_us = max(0, min(elapsed_us, self.expires_us - last_refill_us))
            per_us = self.rate / MICROSECONDS_PER_SECOND
            self.level += per_us * (self.share * leased_us + self.floor * elapsed_us)
            self.level = min(self.level, self.capacity(now_us))
        return self.level

    def record_request(self, units: float, now_us: int) -> None:
        """Count the units that a request needs in the demand that is reported to the lease service."""
        elapsed_us = min(REPORTED_DEMAND_TIME_CONSTANT_US, now_us - self.requested_at_us)
        remaining = math.exp(-elapsed_us / REPORTED_DEMAND_TIME_CONSTANT_US)
        added_per_s = units * MICROSECONDS_PER_SECOND / REPORTED_DEMAND_TIME_CONSTANT_US
        self.requested_per_s = self.requested_per_s * remaining + added_per_s
        self.requested_at_us = now_us

    def accept_grant(self, share: float, units: float, expires_us: int, now_us: int) -> None:
        """Adopt a lease: its share, and the units granted with it, which may exceed the capacity."""
        self.refill(now_us)
        self.share = max(0.0, min(1.0 - FLOOR_SHARE, share))
        self.expires_us = expires_us
        self.level += max(0.0, units)

    def return_excess(self, now_us: int) -> None:
        """Move whole units that exceed the capacity to `returned`, for the lease service to take back."""
        capacity = self.capacity(now_us)
        self.returned = int(max(0.0, self.level - capacity))
        self.level = min(self.level - self.returned, capacity)


NO_BUDGETS: dict[BudgetKind, LeasedBudget] = {}
"""The leased budgets of customers that have none. All of them share this dictionary; it is never modified."""


def total_budget(kind: str, plan: Plan) -> tuple[float, float]:
    """A customer's budget of that kind over all gateways: its rate in units a second and its burst in units.

    The rate of a budget that bounds a count is 0.
    """
    if kind == BudgetKind.CEILING:
        return plan.ceiling_rate, plan.ceiling_burst
    if kind == BudgetKind.QUOTA:
        return plan.rate, plan.burst
    return 0.0, plan.max_in_flight


def leased_budgets_of(
    plan: Plan, set_size: int, settings: Settings, now_us: int
) -> dict[BudgetKind, LeasedBudget]:
    """The leased budgets of a customer that `set_size` gateways share, by kind.

    A kind that the settings do not lease, or of which the plan has less than a unit, is left out.
    """
    is_leased = {
        BudgetKind.CEILING: settings.leases_ceilings,
        BudgetKind.QUOTA: settings.leases_quotas,
        BudgetKind.IN_FLIGHT: settings.leases_in_flight,
    }
    budgets: dict[BudgetKind, LeasedBudget] = {}
    for kind in (kind for kind, leased in is_leased.items() if leased):
        rate, burst = total_budget(kind, plan)
        if burst >= 1 and (rate or kind is BudgetKind.IN_FLIGHT):
            budgets[kind] = LeasedBudget(rate, burst, FLOOR_SHARE / set_size, now_us)
    return budgets or NO_BUDGETS
