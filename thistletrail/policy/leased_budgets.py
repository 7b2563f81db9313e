"""A gateway's share of a budget that the lease service divides.

What a gateway may use of such a budget is the share that was granted for as long as its lease lasts, and a
floor at all times: a tenth of the budget, split over all who may use it, which the lease service does not
grant.
"""

import math
from dataclasses import dataclass

from thistletrail.policy.events import BudgetKind
from thistletrail.policy.settings import Plan, Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US

FLOOR = 0.1  # of a budget, for all gateways together; the lease service keeps as much aside
DEMAND_SPAN_US = 2 * MICROSECONDS_PER_SECOND  # over which demand is smoothed for the lease service
ROUNDING_SLACK = 1e-9  # so that a count that is whole but for float errors is not rounded down


@dataclass(slots=True)
class LeasedBudget:
    """A gateway's share of one budget, in units.

    Units come in at the granted share of the rate up to the lease's end, and at the floor always. It starts
    empty, as a restart looks like a first start. `rate` (units a second) and `burst` (units) are the whole
    budget's, `floor` is the share of it that needs no lease; a count has a rate of 0.
    """

    rate: float
    burst: float
    floor: float
    refilled_at_us: int
    level: float = 0.0
    share: float = 0.0
    expires_us: int = -NEVER_US
    returned: int = 0  # units that the last grant left no room for
    requested_at_us: int = -NEVER_US  # when a request last needed it
    requested_per_s: float = 0.0  # units a second lately

    def capacity(self, now_us: int) -> float:
        """The most units that it may hold now."""
        leased_share = self.share if now_us < self.expires_us else 0.0
        return self.burst * (leased_share + self.floor)

    def available_count(self, now_us: int) -> int:
        """Of a count, which has no rate: how many may be in use here."""
        return math.floor(self.capacity(now_us) + ROUNDING_SLACK)

    def refill(self, now_us: int) -> float:
        """Add what has come in; the units that may be used now."""
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
        """Count units that a request needs in the demand that is reported to the lease service."""
        elapsed_us = min(DEMAND_SPAN_US, now_us - self.requested_at_us)
        remaining = math.exp(-elapsed_us / DEMAND_SPAN_US)
        added_per_s = units * MICROSECONDS_PER_SECOND / DEMAND_SPAN_US
        self.requested_per_s = self.requested_per_s * remaining + added_per_s
        self.requested_at_us = now_us

    def accept_grant(self, share: float, units: float, expires_us: int, now_us: int) -> None:
        """Take over a lease: its share, and the units that come with it, which may be more than fit."""
        self.refill(now_us)
        self.share = max(0.0, min(1.0 - FLOOR, share))
        self.expires_us = expires_us
        self.level += max(0.0, units)

    def return_excess(self, now_us: int) -> None:
        """Set aside, in whole units, what does not fit, for the lease service to take back."""
        capacity = self.capacity(now_us)
        self.returned = int(max(0.0, self.level - capacity))
        self.level = min(self.level - self.returned, capacity)


NO_BUDGETS: dict[BudgetKind, LeasedBudget] = {}
"""What is leased of most customers: one dictionary for all of them, which is never changed."""


def total_budget(kind: str, plan: Plan) -> tuple[float, float]:
    """A customer's budget of that kind, of all gateways: units a second, and units; a count has no rate."""
    if kind == BudgetKind.CEILING:
        return plan.ceiling_rate, plan.ceiling_burst
    if kind == BudgetKind.QUOTA:
        return plan.rate, plan.burst
    return 0.0, plan.max_in_flight


def leased_budgets_of(
    plan: Plan, set_size: int, settings: Settings, now_us: int
) -> dict[BudgetKind, LeasedBudget]:
    """What is leased of the budgets of a customer that so many gateways share; less than a unit is not."""
    is_leased = {
        BudgetKind.CEILING: settings.leases_ceilings,
        BudgetKind.QUOTA: settings.leases_quotas,
        BudgetKind.IN_FLIGHT: settings.leases_in_flight,
    }
    budgets: dict[BudgetKind, LeasedBudget] = {}
    for kind in (kind for kind, leased in is_leased.items() if leased):
        rate, burst = total_budget(kind, plan)
        if burst >= 1 and (rate or kind is BudgetKind.IN_FLIGHT):
            budgets[kind] = LeasedBudget(rate, burst, FLOOR / set_size, now_us)
    return budgets or NO_BUDGETS
