"""The gateway's client of the lease service for budgets.

Requests shares, and gives the policy what is granted.

Off unless the configuration has `budget_leases`. No request of a client waits for it: renewals are batched
for all budgets, at a third of the lease with jitter, and what comes back is an event like any other.
"""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from thistletrail.gateway.backends import now_us
from thistletrail.gateway.config import Config
from thistletrail.leasing.budget_holder import BudgetHolder, Demand
from thistletrail.leasing.budget_state import BudgetLimits
from thistletrail.leasing.client import RENEW_FRACTION, LeaseRenewer, ServiceSettings
from thistletrail.leasing.framing import now_ms
from thistletrail.policy.events import BudgetGranted, BudgetKey
from thistletrail.policy.leased_budgets import total_budget

if TYPE_CHECKING:
    from thistletrail.gateway.server import GatewayServer

MAX_BUDGETS = 2000  # in one renewal: as many as the lease service accepts
POLL_INTERVAL_S = 0.05  # between looks for new customers and requests that wait for units
RETRY_BUDGET_NAME = "further-attempts"  # the budget of all gateways' retries, at the lease service
THOUSANDTHS = 1000  # of a unit a second, in which the lease service counts demand of a rate
MICROSECONDS_PER_MILLISECOND = 1000
MILLISECONDS_PER_SECOND = 1000


class BudgetLeaseClient:
    """One incarnation's shares of customers' budgets, and of the retry budget."""

    def __init__(self, gateway_server: GatewayServer, config: Config) -> None:
        """`config` has `budget_leases`."""
        self.gateway_server = gateway_server
        self.plan_names = {number: name for name, number in config.plan_numbers.items()}
        lease_settings = config.budget_leases
        rng = random.Random(config.settings.seed)
        # Buckets and floors are the policy's, by a customer's set; the holder's own are of no use here.
        self.holder = BudgetHolder(
            config.settings.gateway_index, rng.getrandbits(63), config.settings.gateway_count
        )
        self.keys: dict[str, BudgetKey | None] = {}  # by name: the budgets that are requested
        self.posted_fences: dict[str, int] = {}  # by name: the fence of the grant that was posted last
        self.needed_units = 0  # that requests waited for at the last renewal
        self.requested_at_s = 0.0  # when the last renewal was made, on the loop's clock
        # For how long after a renewal none is hurried for units alone, and the longest that this may grow to.
        self.backoff_s = 0.0
        self.max_backoff_s = lease_settings.lease_ms * RENEW_FRACTION / MILLISECONDS_PER_SECOND
        self.renewer = LeaseRenewer(
            self.holder,
            ServiceSettings(lease_settings.addresses, lease_settings.secret, lease_settings.lease_ms),
            rng,
            self._update_demand,
            self._on_renewed,
        )

    async def run(self) -> None:
        """Renew until it is cancelled.

        Sooner than due where a customer comes of which nothing is leased, or requests wait for units. Where a
        renewal for units brings none, the next one waits for twice as long, a usual renewal at most.
        """
        renewing = asyncio.get_running_loop().create_task(self.renewer.run())
        try:
            while True:
                await asyncio.sleep(POLL_INTERVAL_S)
                if self._is_hurried():
                    self.renewer.renew_soon()
        finally:
            renewing.cancel()

    def _is_hurried(self) -> bool:
        """Whether the next renewal is needed before it is due."""
        may_hurry_for_units = asyncio.get_running_loop().time() >= self.requested_at_s + self.backoff_s
        for demand in self.gateway_server.policy.budget_demands(now_us()):
            if self._name(demand.key) not in self.keys:
                return True
            if may_hurry_for_units and demand.needed > 0:
                return True
        return False

    def _name(self, key: BudgetKey | None) -> str:
        """A budget's name at the lease service; None is the retry budget."""
        if key is None:
            return RETRY_BUDGET_NAME
        plan_name = self.plan_names[key.plan_index]
        return f"{key.kind}/{plan_name}/{key.set_first}.{key.set_size}/{key.customer:08x}"

    def _limits(self, key: BudgetKey | None) -> BudgetLimits:
        """The rate and burst of a budget, of all gateways together."""
        settings = self.gateway_server.settings
        if key is None:
            return BudgetLimits.from_rate(settings.retry_rate, settings.retry_burst)
        rate, burst = total_budget(key.kind, settings.plans[key.plan_index])
        return BudgetLimits.from_rate(rate, burst)

    def _update_demand(self) -> None:
        """Give the holder all budgets of which a share is needed; it lets go of others by itself."""
        self.requested_at_s = asyncio.get_running_loop().time()
        self.needed_units = 0
        now = now_ms()
        for demand in self.gateway_server.policy.budget_demands(now_us())[:MAX_BUDGETS]:
            name = self._name(demand.key)
            self.keys[name] = demand.key
            limits = self._limits(demand.key)
            needed_units = math.ceil(demand.needed)
            self.needed_units += needed_units
            rate_or_count = round(demand.demand * (THOUSANDTHS if limits.burst else 1))
            self.holder.set_demand(name, limits, Demand(rate_or_count, needed_units, demand.in_use), now)
            self.holder.leases[name].returned_units = demand.returned
        for name in list(self.keys):
            if name not in self.holder.leases:
                del self.keys[name]
                self.posted_fences.pop(name, None)

    def _on_renewed(self) -> None:
        """Post the grants that are new."""
        now = now_ms()
        posted_at_us = now_us()
        new_grants = {
            name: grant
            for name, grant in self.holder.leases.items()
            if grant.fence and grant.fence != self.posted_fences.get(name)
        }
        has_new_units = any(grant.granted_units for grant in new_grants.values())
        if self.needed_units and not has_new_units:
            self.backoff_s = min(2 * self.backoff_s + POLL_INTERVAL_S, self.max_backoff_s)
        else:
            self.backoff_s = 0.0
        for name, grant in new_grants.items():
            self.posted_fences[name] = grant.fence
            until_us = posted_at_us + (grant.until_ms - now) * MICROSECONDS_PER_MILLISECOND
            share = grant.share / grant.limits.total
            self.gateway_server.post(BudgetGranted(self.keys[name], share, grant.granted_units, until_us))
