"""Customers' quotas, ceilings and requests in flight, as known at this gateway."""

import math
from typing import NamedTuple

from thistletrail.policy.events import BudgetKind
from thistletrail.policy.leased_budgets import leased_budgets_of
from thistletrail.policy.settings import Plan, Settings
from thistletrail.policy.token_bucket import TokenBucket
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US

# The time constant with which demand decays. It is short, as the level of the bucket reflects older demand.
DEMAND_TIME_CONSTANT_US = 0.5 * MICROSECONDS_PER_SECOND

# The quota owner's figures apply for this long after its answer.
OWNER_ANSWER_FRESH_US = MICROSECONDS_PER_SECOND

LEVEL_SLACK = 1e-6  # units; buckets that were refilled in different steps differ by rounding errors

# Shares of a customer's ceiling: the first is split evenly over its gateways. The second is reserved at its
# quota owner, which grants units of it on request, as many gateways would each have less than a unit of a
# split. The rest is a margin for grants that are in transit while other units are used.
CEILING_SPLIT_SHARE = 0.5
CEILING_OWNER_SHARE = 0.4


class CustomerKey(NamedTuple):
    """Identifies a customer's quota.

    `customer` is a checksum of the customer's name. The quota is shared by `set_size` gateways, numbered from
    `set_first` on.
    """

    customer: int
    plan_index: int
    set_first: int
    set_size: int


class CustomerQuota:
    """A customer's buckets at this gateway, and this gateway's view of the totals over the customer's set.

    `set_level` is the level of the quota over all gateways of the set, in units; it is negative if the quota
    is overspent. At the quota owner it includes all reported spending. `local_bucket` is the share that this
    gateway spends without an answer of the quota owner.
    """

    __slots__ = (
        "ceiling_bucket",
        "ceiling_grant_bucket",
        "in_flight",
        "key",
        "leased",
        "local_bucket",
        "local_demand",
        "owner",
        "owner_answered_at_us",
        "peer_demand",
        "plan",
        "refilled_at_us",
        "set_level",
        "unreported_demand",
        "unreported_spending",
    )

    def __init__(
        self, plan: Plan, key: CustomerKey, settings: Settings, now_us: int, started_us: int
    ) -> None:
        """Create the customer with a full quota, and a ceiling that has refilled since `started_us`.

        At `started_us`, the time of the gateway's first event, the ceiling counts as empty: a previous
        process may have spent it, and a gateway cannot tell a restart from a first start by itself.
        """
        self.plan = plan
        self.key = key
        self.refilled_at_us = now_us
        self.in_flight = 0
        self.owner = quota_owner(key, settings)
        self.owner_answered_at_us = -NEVER_US
        self.set_level = plan.burst
        self.local_bucket = TokenBucket(plan.rate, plan.burst, 1 / key.set_size, plan.burst / key.set_size)
        self.local_demand = 0.0  # units requested at this gateway, with exponential decay
        self.peer_demand = 0.0  # the same at the other gateways of the set
        self.unreported_demand = 0.0  # units not yet reported to the quota owner
        self.unreported_spending = 0.0

        self.leased = leased_budgets_of(plan, key.set_size, settings, now_us)
        is_shared = settings.may_message_peers and key.set_size > 1
        split_share = (CEILING_SPLIT_SHARE if is_shared else 1.0) / key.set_size
        owner_share = CEILING_OWNER_SHARE if is_shared and self.owner == settings.gateway_index else 0.0
        refilled_since_start = plan.ceiling_rate * (now_us - started_us) / MICROSECONDS_PER_SECOND
        level = min(plan.ceiling_burst, refilled_since_start)
        if BudgetKind.CEILING in self.leased:
            split_share = 0.0
            owner_share = 0.0
            level = 0.0
        self.ceiling_bucket = ceiling_share(plan, split_share, level)
        self.ceiling_grant_bucket = ceiling_share(plan, owner_share, level)

    @property
    def set_size(self) -> int:
        """The number of gateways that share the customer."""
        return self.key.set_size

    def is_replaceable_by(self, fresh: "CustomerQuota") -> bool:
        """Whether a new customer in this one's place would have no more units, and nothing would be lost."""
        return (
            not self.unreported_spending
            and self.set_level >= fresh.set_level - LEVEL_SLACK
            and self.local_bucket.level >= fresh.local_bucket.level - LEVEL_SLACK
            and self.ceiling_bucket.level >= fresh.ceiling_bucket.level - LEVEL_SLACK
            and self.ceiling_grant_bucket.level >= fresh.ceiling_grant_bucket.level - LEVEL_SLACK
        )

    def limit_to_refill_since(self, serving_since_us: int) -> None:
        """Limit the quota to what its rate has brought since a restarted gateway began to serve.

        What was spent before the restart is not known, so the whole burst may have been spent.
        """
        refilled = self.plan.rate * (self.refilled_at_us - serving_since_us) / MICROSECONDS_PER_SECOND
        refilled = min(self.plan.burst, refilled)
        self.local_bucket.level = min(self.local_bucket.level, refilled / self.set_size)
        self.set_level = min(self.set_level, refilled)

    def empty(self) -> None:
        """Empty the quota and the ceiling, as for a customer whose units are counted under another key."""
        self.local_bucket.level = 0.0
        self.set_level = 0.0
        self.ceiling_bucket.level = 0.0

    def refill(self, now_us: int) -> "CustomerQuota":
        """Refill the buckets and decay the demand up to `now_us`; return the customer itself.

        The set's level and the peers' demand stay as the quota owner reported them for OWNER_ANSWER_FRESH_US.
        After that they are estimated: the level rises at the plan's rate, and the demand decays.
        """
        elapsed_s = (now_us - self.refilled_at_us) / MICROSECONDS_PER_SECOND
        self.refilled_at_us = now_us
        for budget in self.leased.values():
            budget.refill(now_us)
        self.ceiling_bucket.refill(elapsed_s)
        self.ceiling_grant_bucket.refill(elapsed_s)
        remaining = math.exp(-elapsed_s * MICROSECONDS_PER_SECOND / DEMAND_TIME_CONSTANT_US)
        self.local_demand *= remaining
        if now_us - self.owner_answered_at_us > OWNER_ANSWER_FRESH_US:
            self.set_level = min(self.plan.burst, self.set_level + self.plan.rate * elapsed_s)
            self.peer_demand *= remaining
        self.local_bucket.refill(elapsed_s)
        self.local_bucket.level = min(self.local_bucket.level, max(0.0, self.set_level))
        return self

    def apply_owner_answer(self, level: float, demand: float, now_us: int) -> None:
        """Adopt the quota owner's figures: the set's level, and the demand at all gateways of the set."""
        self.owner_answered_at_us = now_us
        self.set_level = level
        self.peer_demand = max(0.0, demand - self.local_demand)

    def limit_local_share(self, level: float) -> None:
        """Limit the local share to an even share of the level that the quota owner reports."""
        self.local_bucket.level = min(self.local_bucket.level, max(0.0, level / self.set_size))

    def restore(
        self, local_level: float, set_level: float, ceiling_level: float, grants_level: float
    ) -> None:
        """Set the buckets to stored levels, within their present capacity.

        Leased budgets are not stored: they stay as they are until the lease service grants a share.
        """
        max_local = self.plan.burst / self.set_size
        self.local_bucket.level = max(0.0, min(max_local, local_level))
        self.set_level = min(self.plan.burst, set_level)
        self.ceiling_bucket.level = min(ceiling_level, self.ceiling_bucket.capacity)
        self.ceiling_grant_bucket.level = min(grants_level, self.ceiling_grant_bucket.capacity)

    @property
    def demand(self) -> float:
        """Units requested at all gateways of the set, with exponential decay, as far as known here."""
        return self.local_demand + self.peer_demand

    def add_local_demand(self, units: float) -> None:
        """Add a request's units to the local demand and to the next report to the quota owner."""
        self.local_demand += units
        self.unreported_demand += units

    def admission_chance(self, units: float) -> float:
        """The probability with which a request of that many units is admitted: available quota over demand.

        The available quota is the set's level (negative if the quota is overspent), less a reserve, plus the
        refill of one DEMAND_TIME_CONSTANT_US. The chance is 1.0 for a plan without a quota, and 0.0 where the
        limit on requests in flight is reached. With a leased quota it is 1.0 or 0.0, as its level suffices.
        Without any demand it is 1.0 unless the quota is overspent.
        """
        if not self.has_in_flight_room():
            return 0.0
        if budget := self.leased.get(BudgetKind.QUOTA):
            return float(budget.level >= units)
        if not self.plan.rate:
            return 1.0
        # The more a request beyond the quota costs, the more of the quota stays in reserve.
        reserve = units * self.plan.over_quota_cost
        refill = self.plan.rate * DEMAND_TIME_CONSTANT_US / MICROSECONDS_PER_SECOND
        quota = self.set_level - reserve + refill
        demand = max(units, self.demand)
        if not demand:
            return float(quota >= 0)
        return max(0.0, min(1.0, quota / demand))

    def has_local_share(self, units: float) -> bool:
        """Whether the local share has that many units; False for a plan that limits requests in flight."""
        return not self.plan.max_in_flight and self.local_bucket.level >= units

    def has_in_flight_room(self) -> bool:
        """Whether this gateway may have one more of the customer's requests in flight.

        `in_flight` counts attempts, of which a request has at most one in flight.
        """
        max_in_flight = self.plan.max_in_flight
        if not max_in_flight:
            return True
        if budget := self.leased.get(BudgetKind.IN_FLIGHT):
            return self.in_flight < budget.available_count(self.refilled_at_us)
        return self.in_flight < max(1, max_in_flight // self.set_size)

    def has_ceiling_room(self, units: float) -> bool:
        """Whether this gateway's share of the ceiling has that many units; True without a ceiling."""
        if not self.plan.ceiling_rate:
            return True
        budget = self.leased.get(BudgetKind.CEILING)
        return (budget.level if budget else self.ceiling_bucket.level) >= units

    def use_ceiling(self, units: float) -> None:
        """Take the units of a request that is forwarded from this gateway's share of the ceiling."""
        if budget := self.leased.get(BudgetKind.CEILING):
            budget.level -= units
        else:
            self.ceiling_bucket.level -= units

    def grant_ceiling(self, units: float, chance: float) -> bool:
        """As the quota owner, grant a request that many units of the reserved ceiling; False without room.

        The request is forwarded with the probability `chance`, so that fraction of the units is taken.
        """
        if not self.plan.ceiling_rate or self.ceiling_grant_bucket.level < units:
            return False
        self.ceiling_grant_bucket.level -= units * chance
        return True

    def spend(self, units: float) -> None:
        """Take units from the set's level, which may become negative.

        The debt is bounded to what DEMAND_TIME_CONSTANT_US refills, so that it is soon paid.
        """
        max_owed = self.plan.rate * DEMAND_TIME_CONSTANT_US / MICROSECONDS_PER_SECOND
        self.set_level = max(self.set_level - units, -max_owed)

    def settle(self, units: float) -> None:
        """Take units that were used at this gateway from the set's level and from a leased quota.

        They are not added to the next report to the quota owner; `spend_locally` does that as well.
        """
        self.spend(units)
        if budget := self.leased.get(BudgetKind.QUOTA):
            budget.level -= units

    def spend_locally(self, units: float) -> None:
        """Take a request's units here, and add them to the next report to the quota owner.

        A negative number of units is given back.
        """
        self.settle(units)
        self.local_bucket.level = max(0.0, self.local_bucket.level - units)
        self.unreported_spending += units

    def clear_unreported(self) -> None:
        """Reset the demand and spending that are yet to be reported, as after a report."""
        self.unreported_demand = 0.0
        self.unreported_spending = 0.0


def quota_owner(key: CustomerKey, settings: Settings) -> int:
    """The gateway that adds up the customer's quota over its set.

    Without peer messages, each gateway is the quota owner of its own customers.
    """
    if not settings.may_message_peers:
        return settings.gateway_index
    return (key.set_first + key.customer % key.set_size) % settings.gateway_count


def ceiling_share(plan: Plan, share: float, level: float) -> TokenBucket:
    """A share of a customer's ceiling, where the whole ceiling is at `level` units."""
    return TokenBucket(plan.ceiling_rate, plan.ceiling_burst, share, level * share)
