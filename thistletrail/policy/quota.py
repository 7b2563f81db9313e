"""A customer's quota, ceiling and requests in flight, as far as they are known at this gateway."""

import math
from typing import NamedTuple

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import BudgetKind
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.leased_budgets import leased_budgets_of
from thistletrail.policy.settings import Plan, Settings
from thistletrail.policy.token_bucket import TokenBucket
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US

# Over which demand ages: short, as the level of the bucket carries the longer memory.
DEMAND_SPAN_US = 0.5 * MICROSECONDS_PER_SECOND
OWNER_ANSWER_FRESH_US = MICROSECONDS_PER_SECOND  # for which the quota owner's figures hold
MIN_RETENTION_US = 10 * MICROSECONDS_PER_SECOND  # for which a customer is remembered in any case
# Shares of a customer's ceiling: one is split over its gateways, one is reserved at its quota owner, which
# grants of it on request, as many gateways would split it into less than a unit each. The rest is left for
# grants that are on their way while others are used.
CEILING_SPLIT_SHARE = 0.5
CEILING_OWNER_SHARE = 0.4


class CustomerKey(NamedTuple):
    """Whose quota it is: a checksum of the name, the plan, and the gateways that keep it, from one on."""

    customer: int
    plan_index: int
    set_first: int
    set_size: int


class CustomerQuota:
    """A customer's buckets at this gateway, and what is known of those of all its gateways together.

    `set_level` is the level of the quota over all of its gateways, in units; below 0 is what they owe. At the
    quota owner it is complete. `local_bucket` is the share that needs nobody's answer.
    """

    __slots__ = (
        "ceiling_bucket",
        "ceiling_grants",
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
        """Ceilings are empty at `started_us`, the gateway's start, as a restart looks like a first start."""
        self.plan = plan
        self.key = key
        self.refilled_at_us = now_us
        self.in_flight = 0
        self.owner = quota_owner(key, settings)
        self.owner_answered_at_us = -NEVER_US
        self.set_level = plan.burst
        self.local_bucket = TokenBucket(plan.rate, plan.burst, 1 / key.set_size, plan.burst / key.set_size)
        self.local_demand = 0.0  # units requested here, aged
        self.peer_demand = 0.0  # the same at the other gateways of the set
        self.unreported_demand = 0.0  # not yet reported to the quota owner
        self.unreported_spending = 0.0

        self.leased = leased_budgets_of(plan, key.set_size, settings, now_us)
        is_shared = settings.may_message_peers and key.set_size > 1
        split_share = (CEILING_SPLIT_SHARE if is_shared else 1.0) / key.set_size
        owner_share = CEILING_OWNER_SHARE if is_shared and self.owner == settings.gateway_index else 0.0
        since_start = plan.ceiling_rate * (now_us - started_us) / MICROSECONDS_PER_SECOND
        level = min(plan.ceiling_burst, since_start)
        if BudgetKind.CEILING in self.leased:
            split_share = 0.0
            owner_share = 0.0
            level = 0.0
        self.ceiling_bucket = ceiling_share(plan, split_share, level)
        self.ceiling_grants = ceiling_share(plan, owner_share, level)

    @property
    def set_size(self) -> int:
        """How many gateways share the customer."""
        return self.key.set_size

    def limit_to_arrivals_since(self, restarted_us: int) -> None:
        """What was spent before a restart is not known: there is only what can have come in since then."""
        arrived = self.plan.rate * (self.refilled_at_us - restarted_us) / MICROSECONDS_PER_SECOND
        arrived = min(self.plan.burst, arrived)
        self.local_bucket.level = min(self.local_bucket.level, arrived / self.set_size)
        self.set_level = min(self.set_level, arrived)

    def empty(self) -> None:
        """Nothing of quota and ceiling is here: it is counted under another key."""
        self.local_bucket.level = 0.0
        self.set_level = 0.0
        self.ceiling_bucket.level = 0.0

    def refill(self, now_us: int) -> "CustomerQuota":
        """Fill the buckets and age the demand up to now.

        The set's level and the peers' demand stay as the quota owner reported them while that is fresh; after
        that they are what they may be by now.
        """
        elapsed_s = (now_us - self.refilled_at_us) / MICROSECONDS_PER_SECOND
        self.refilled_at_us = now_us
        for budget in self.leased.values():
            budget.refill(now_us)
        self.ceiling_bucket.refill(elapsed_s)
        self.ceiling_grants.refill(elapsed_s)
        remaining = math.exp(-elapsed_s * MICROSECONDS_PER_SECOND / DEMAND_SPAN_US)
        self.local_demand *= remaining
        if now_us - self.owner_answered_at_us > OWNER_ANSWER_FRESH_US:
            self.set_level = min(self.plan.burst, self.set_level + self.plan.rate * elapsed_s)
            self.peer_demand *= remaining
        self.local_bucket.refill(elapsed_s)
        self.local_bucket.level = min(self.local_bucket.level, max(0.0, self.set_level))
        return self

    def apply_owner_answer(self, level: float, demand: float, now_us: int) -> None:
        """Go by the quota owner's figures: the set's level, and the demand of all its gateways."""
        self.owner_answered_at_us = now_us
        self.set_level = level
        self.peer_demand = max(0.0, demand - self.local_demand)

    def limit_local_share(self, level: float) -> None:
        """Have no more here than an even share of the level that the quota owner reports."""
        self.local_bucket.level = min(self.local_bucket.level, max(0.0, level / self.set_size))

    def restore(self, share: float, level: float, ceiling: float, grants: float) -> None:
        """Set the buckets to stored levels, within their present capacity."""
        max_local = self.plan.burst / self.set_size
        self.local_bucket.level = max(0.0, min(max_local, share))
        self.set_level = min(self.plan.burst, level)
        self.ceiling_bucket.level = min(ceiling, self.ceiling_bucket.capacity)
        self.ceiling_grants.level = min(grants, self.ceiling_grants.capacity)

    @property
    def demand(self) -> float:
        """Units requested lately at all gateways of the set, as far as it is known."""
        return self.local_demand + self.peer_demand

    def add_local_demand(self, units: float) -> None:
        """Count a request's units in the demand here and in the next report to the quota owner."""
        self.local_demand += units
        self.unreported_demand += units

    def admission_chance(self, units: float) -> float:
        """The chance with which a request is inside the quota: the quota over the demand of all.

        The quota is what comes in while demand ages, and what the set has left or owes.
        """
        if not self.has_in_flight_room():
            return 0.0
        if budget := self.leased.get(BudgetKind.QUOTA):
            return float(budget.level >= units)
        reserve = units * self.plan.over_quota_cost  # held in reserve: to find the bucket empty costs so much
        quota = self.set_level - reserve + self.plan.rate * DEMAND_SPAN_US / MICROSECONDS_PER_SECOND
        return max(0.0, min(1.0, quota / max(units, self.demand))) if self.plan.rate else 1.0

    def has_local_share(self, units: float) -> bool:
        """Whether the share here suffices; with a bound on requests in flight it never does."""
        return not self.plan.max_in_flight and self.local_bucket.level >= units

    def has_in_flight_room(self) -> bool:
        """Whether one more of its requests may be in flight from here."""
        max_in_flight = self.plan.max_in_flight
        if not max_in_flight:
            return True
        if budget := self.leased.get(BudgetKind.IN_FLIGHT):
            return self.in_flight < budget.available_count(self.refilled_at_us)
        return self.in_flight < max(1, max_in_flight // self.set_size)

    def has_ceiling_room(self, units: float) -> bool:
        """Whether the ceiling's share here has room for that many units."""
        if not self.plan.ceiling_rate:
            return True
        budget = self.leased.get(BudgetKind.CEILING)
        return (budget.level if budget else self.ceiling_bucket.level) >= units

    def use_ceiling(self, units: float) -> None:
        """Take units from the ceiling's share here, as a request is sent on."""
        if budget := self.leased.get(BudgetKind.CEILING):
            budget.level -= units
        else:
            self.ceiling_bucket.level -= units

    def grant_ceiling(self, units: float, chance: float) -> bool:
        """At the quota owner: whether its share of the ceiling has room for a request of that many units.

        The request is sent on by `chance`, and so much of the units is counted.
        """
        if not self.plan.ceiling_rate or self.ceiling_grants.level < units:
            return False
        self.ceiling_grants.level -= units * chance
        return True

    def spend(self, units: float) -> None:
        """Take units from the set's quota; what it owes is bounded, so that it does not owe for long."""
        max_owed = self.plan.rate * DEMAND_SPAN_US / MICROSECONDS_PER_SECOND
        self.set_level = max(self.set_level - units, -max_owed)

    def settle(self, units: float) -> None:
        """Take units that were used here, from what is leased as well."""
        self.spend(units)
        if budget := self.leased.get(BudgetKind.QUOTA):
            budget.level -= units

    def spend_locally(self, units: float) -> None:
        """Take a request's units here, and note them for the quota owner; negative ones are given back."""
        self.settle(units)
        self.local_bucket.level = max(0.0, self.local_bucket.level - units)
        self.unreported_spending += units

    def clear_reports(self) -> None:
        """Demand and spending have been reported to the quota owner."""
        self.unreported_demand = 0.0
        self.unreported_spending = 0.0


def quota_owner(key: CustomerKey, settings: Settings) -> int:
    """The gateway that adds up the customer's quota over its set; without peer messages, each for itself."""
    if not settings.may_message_peers:
        return settings.gateway_index
    return (key.set_first + key.customer % key.set_size) % settings.gateway_count


def ceiling_share(plan: Plan, share: float, level: float) -> TokenBucket:
    """A share of a customer's ceiling, of which `level` units are there in all."""
    return TokenBucket(plan.ceiling_rate, plan.ceiling_burst, share, level * share)


def refill_time_us(plan: Plan) -> int:
    """How long a customer's buckets take at most to be full, from what it may owe."""
    quota_s = 0.0
    if plan.rate:
        quota_s = plan.burst / plan.rate + DEMAND_SPAN_US / MICROSECONDS_PER_SECOND
    ceiling_s = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate else 0.0
    return round(MICROSECONDS_PER_SECOND * max(quota_s, ceiling_s))


class CustomerQuotas:
    """The customers that are known here; the one seen last at the end."""

    def __init__(self, settings: Settings, context: EventContext, incarnations: Incarnations) -> None:
        self.settings = settings
        self.context = context
        self.incarnations = incarnations
        self.by_key: dict[CustomerKey, CustomerQuota] = {}
        self.first_keys: dict[tuple[int, int], CustomerKey] = {}  # under which a customer came first
        self.started_us = 0
        self.retention_us = max(MIN_RETENTION_US, *map(refill_time_us, settings.plans))

    def start(self) -> None:
        """The gateway starts with the event at hand."""
        self.started_us = self.context.now_us

    def get(self, key: CustomerKey) -> CustomerQuota:
        """The customer of that key, refilled; a new one where it is not known."""
        known = self.by_key.pop(key, None) or self.create(key)
        self.by_key[key] = known
        return known.refill(self.context.now_us)

    def create(self, key: CustomerKey) -> CustomerQuota:
        """A customer that was not known here: full, unless what it has spent can have been forgotten."""
        plan = self.settings.plans[key.plan_index]
        new = CustomerQuota(plan, key, self.settings, self.context.now_us, self.started_us)
        if self.incarnations.has_restarted:
            new.limit_to_arrivals_since(self.incarnations.first_request_us)
        # The same name with another set of gateways must not open a fresh burst.
        if self.first_keys.setdefault(key[:2], key) != key:
            new.empty()
        return new

    def forget_idle(self) -> None:
        """Drop those whose buckets are full again; customers that come only once would never end."""
        while self.by_key:
            key, oldest = next(iter(self.by_key.items()))
            if oldest.in_flight or self.context.now_us - oldest.refilled_at_us <= self.retention_us:
                return
            del self.by_key[key]
            if self.first_keys.get(key[:2]) == key:
                del self.first_keys[key[:2]]

    def limit_to_restart(self) -> None:
        """This gateway has learned that it restarted: limit those that the quota owner has not reported."""
        for customer in self.by_key.values():
            if customer.owner_answered_at_us < 0:
                customer.refill(self.context.now_us)
                customer.limit_to_arrivals_since(self.incarnations.first_request_us)
