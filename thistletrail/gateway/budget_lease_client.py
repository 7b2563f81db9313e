"""The gateway's client of the lease service for budgets.

It requests shares of budgets and posts the grants to the policy as events.

Off unless the configuration has `budget_leases`. No client's request waits for the lease service. One renewal
covers all budgets; it is due after a third of the lease, with jitter.
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

MAX_BUDGETS = 2000  # in one renewal; the limit of the lease service
POLL_INTERVAL_S = 0.05  # between checks for new customers and requests that wait for units
RETRY_BUDGET_NAME = "further-attempts"  # the retry budget's name at the lease service
MILLIUNITS_PER_UNIT = 1000  # the lease service measures demand for a rate in milliunits per second
MICROSECONDS_PER_MILLISECOND = 1000
MILLISECONDS_PER_SECOND = 1000


class BudgetLeaseClient:
    """Leases the shares of customers' budgets and of the retry budget for one incarnation of a gateway."""

    def __init__(self, gateway_server: GatewayServer, config: Config) -> None:
        """`config` must have `budget_leases`."""
        self.gateway_server = gateway_server
        self.plan_names = {number: name for name, number in config.plan_numbers.items()}
        lease_settings = config.budget_leases
        rng = random.Random(config.settings.seed)
        # The policy has the buckets and floors, by a customer's set; those of the holder are not used.
        self.holder = BudgetHolder(
            config.settings.gateway_index, rng.getrandbits(63), config.settings.gateway_count
        )
        self.key_by_name: dict[str, BudgetKey | None] = {}  # the requested budgets, by name
        self.posted_fence_by_name: dict[str, int] = {}  # fences of the last posted grants
        self.needed_units = 0  # units for which requests waited at the last renewal
        self.requested_at_s = 0.0  # time of the last renewal, on the event loop's clock
        # For this time after a renewal, needed units alone cause no early renewal.
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
        """Renew leases until cancelled.

        A renewal is early if a customer without a lease arrives, or requests wait for units. If an early
        renewal for units grants none, the next one waits twice as long, up to the usual renewal interval.
        """
        renewal_task = asyncio.get_running_loop().create_task(self.renewer.run())
        try:
            while True:
                await asyncio.sleep(POLL_INTERVAL_S)
                if self._needs_early_renewal():
                    self.renewer.renew_soon()
        finally:
            renewal_task.cancel()

    def _needs_early_renewal(self) -> bool:
        """Whether a renewal is needed before the next one is due."""
        is_backoff_over = asyncio.get_running_loop().time() >= self.requested_at_s + self.backoff_s
        for demand in self.gateway_server.policy.budget_demands(now_us()):
            if self._budget_name(demand.key) not in self.key_by_name:
                return True
            if is_backoff_over and demand.needed > 0:
                return True
        return False

    def _budget_name(self, key: BudgetKey | None) -> str:
        """A budget's name at the lease service; the key of the retry budget is None."""
        if key is None:
            return RETRY_BUDGET_NAME
        plan_name = self.plan_names[key.plan_index]
        return f"{key.kind}/{plan_name}/{key.set_first}.{key.set_size}/{key.customer:08x}"

    def _budget_limits(self, key: BudgetKey | None) -> BudgetLimits:
        """The rate and burst of a budget, for all gateways together."""
        settings = self.gateway_server.settings
        if key is None:
            return BudgetLimits.from_rate(settings.retry_rate, settings.retry_burst)
        rate, burst = total_budget(key.kind, settings.plans[key.plan_index])
        return BudgetLimits.from_rate(rate, burst)

    def _update_demand(self) -> None:
        """Set the demand for all budgets of which a share is needed; the holder releases the others."""
        self.requested_at_s = asyncio.get_running_loop().time()
        self.needed_units = 0
        now = now_ms()
        for demand in self.gateway_server.policy.budget_demands(now_us())[:MAX_BUDGETS]:
            name = self._budget_name(demand.key)
            self.key_by_name[name] = demand.key
            limits = self._budget_limits(demand.key)
            needed_units = math.ceil(demand.needed)
            self.needed_units += needed_units
            rate_or_count = round(demand.demand * (MILLIUNITS_PER_UNIT if limits.burst else 1))
            self.holder.set_demand(name, limits, Demand(rate_or_count, needed_units, demand.in_use), now)
            self.holder.leases[name].returned_units = demand.returned
        for name in list(self.key_by_name):
            if name not in self.holder.leases:
                del self.key_by_name[name]
                self.posted_fence_by_name.pop(name, None)

    def _on_renewed(self) -> None:
        """Post new grants to the policy, and update the backoff of early renewals."""
        now = now_ms()
        posted_at_us = now_us()
        new_grants = {
            name: grant
            for name, grant in self.holder.leases.items()
            if grant.fence and grant.fence != self.posted_fence_by_name.get(name)
        }
        has_new_units = any(grant.granted_units for grant in new_grants.values())
        if self.needed_units and not has_new_units:
            self.backoff_s = min(2 * self.backoff_s + POLL_INTERVAL_S, self.max_backoff_s)
        else:
            self.backoff_s = 0.0
        for name, grant in new_grants.items():
            self.posted_fence_by_name[name] = grant.fence
            until_us = posted_at_us + (grant.until_ms - now) * MICROSECONDS_PER_MILLISECOND
            share = grant.share / grant.limits.total
            self.gateway_server.post(
                BudgetGranted(self.key_by_name[name], share, grant.granted_units, until_us)
            )
