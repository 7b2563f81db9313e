"""Simulated budgets by leases: ceilings and quotas that the lease service's own state machine divides.

Of docs/leasing.md this models shares, leases, the pool of units, grants of units that requests wait for,
renewals with jitter, early renewals, and gateways that die while they hold leases. It leaves
out failures of the lease service, clock drift, and the cost of a renewal other than its time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from thistletrail.leasing.budget_holder import BudgetHolder, Demand
from thistletrail.leasing.budget_state import LEASE_MS, BudgetLimits, BudgetState
from thistletrail.leasing.messages import RenewRequest, RenewResponse
from thistletrail.policy.events import BudgetDemand, BudgetGranted, BudgetKey, BudgetKind
from thistletrail.policy.leased_budgets import total_budget
from thistletrail.simulation.clock import MS

if TYPE_CHECKING:
    from thistletrail.simulation.gateways import Gateway
    from thistletrail.simulation.run import SimulationRun

# Duration of a renewal: a network round trip within one machine and a sync of the write-ahead log.
RENEWAL_DELAY_US = 4 * MS
# The same as in leasing/client.py.
RENEWAL_INTERVAL_US, RENEWAL_JITTER = LEASE_MS * MS // 3, 0.25
# The same as in gateway/allowance.py and leasing/client.py.
DEMAND_CHECK_INTERVAL_US, MIN_RENEWAL_INTERVAL_US = 50 * MS, 100 * MS
THOUSANDTHS = 1000  # rates and the demand for them are in thousandths of a unit per second


class BudgetLeases:
    """The lease service, and the leases of each gateway. Does nothing if the scenario uses no leases."""

    def __init__(self, run: SimulationRun) -> None:
        self.run, self.is_enabled = run, run.scenario.leased or run.scenario.leased_quotas
        self.state = BudgetState(0, run.clock.now // MS, 0)
        self.holders: dict[int, GatewayLeases] = {}
        self.renewals = 0

    def add_gateway(self, gateway: Gateway) -> None:
        """Register a gateway that has started as a new lease holder."""
        if self.is_enabled:
            self.settings = gateway.engine.settings
            holder = self.holders[gateway.number] = GatewayLeases(self, gateway)
            jitter = self.run.streams["leases"].uniform()
            first_us = round(jitter * RENEWAL_INTERVAL_US * RENEWAL_JITTER)
            self.run.clock.after(first_us, holder.renew, gateway.epoch, 0)
            self.run.clock.after(DEMAND_CHECK_INTERVAL_US, holder.check_demand, gateway.epoch)

    def limits(self, key: BudgetKey) -> BudgetLimits:
        """Return the limits of a budget, from the rate and burst of its plan."""
        return BudgetLimits.from_rate(*total_budget(key[0], self.settings.plans[key[2]]))

    def renew(self, request: RenewRequest) -> RenewResponse:
        """Renew a holder's leases at the lease service."""
        now_ms, self.renewals = self.run.clock.now // MS, self.renewals + 1
        for entry in request.budgets:
            if entry.budget not in self.state.budgets:
                self.state.set_limits(entry.budget, self.limits(key_of(entry.budget)), now_ms)
        return self.state.renew(request, now_ms)


class GatewayLeases:
    """The leases of one process of a gateway, and their renewals."""

    def __init__(self, leases: BudgetLeases, gateway: Gateway) -> None:
        self.leases, self.gateway, self.clock = leases, gateway, leases.run.clock
        self.holder = BudgetHolder(gateway.number, gateway.epoch, leases.run.scenario.doors)
        self.keys: dict[str, BudgetKey] = {}
        self.granted_fencing_tokens: dict[str, int] = {}  # by budget: the fencing token of the latest grant
        # The serial number of the renewal that is due. An early renewal replaces it.
        self.serial = 0
        # When the last renewal was sent, and how long to wait after it before an early one for units.
        self.renewed_us = self.backoff_us = 0
        self.needed_units = 0  # the units that the last renewal requested

    def check_demand(self, epoch: int) -> None:
        """Renew early if a demanded budget has no lease, or if requests wait for units."""
        if epoch != self.gateway.epoch or self.gateway.engine is None:
            return
        now_us = self.clock.now
        is_backoff_over = now_us >= self.renewed_us + self.backoff_us
        if now_us >= self.renewed_us + MIN_RENEWAL_INTERVAL_US and any(
            name_of(demand.key) not in self.keys or (is_backoff_over and demand.needed > 0)
            for demand in self.demands()
        ):
            self.renew(epoch, self.serial)
        self.clock.after(DEMAND_CHECK_INTERVAL_US, self.check_demand, epoch)

    def demands(self) -> list[BudgetDemand]:
        """Return the engine's present demand for each budget."""
        return self.gateway.engine.budget_demands(self.clock.now)

    def renew(self, epoch: int, serial: int) -> None:
        """Send a renewal with the present demands and schedule the next one."""
        if epoch != self.gateway.epoch or serial != self.serial or self.gateway.engine is None:
            return
        now_us, self.renewed_us, self.needed_units = self.clock.now, self.clock.now, 0
        for demand in self.demands():
            name = name_of(demand.key)
            self.keys[name] = demand.key
            needed_units, limits = math.ceil(demand.needed), self.leases.limits(demand.key)
            self.needed_units += needed_units
            amount = round(demand.demand * (THOUSANDTHS if limits.burst else 1))
            self.holder.set_demand(name, limits, Demand(amount, needed_units, demand.in_use), now_us // MS)
            self.holder.leases[name].returned_units = demand.returned
        for name in [name for name in self.keys if name not in self.holder.leases]:
            del self.keys[name]
        response = self.leases.renew(self.holder.next_request(now_us // MS))
        self.clock.after(RENEWAL_DELAY_US, self.on_response, epoch, response)
        self.serial += 1
        interval_share = 1 - RENEWAL_JITTER * self.leases.run.streams["leases"].uniform()
        self.clock.after(round(interval_share * RENEWAL_INTERVAL_US), self.renew, epoch, self.serial)

    def on_response(self, epoch: int, response: RenewResponse) -> None:
        """Pass new grants to the gateway, and back off if units were needed and none were granted."""
        now_us = self.clock.now
        if epoch != self.gateway.epoch or not self.holder.on_response(response, now_us // MS):
            return
        granted = [
            (name, lease)
            for name, lease in self.holder.leases.items()
            if lease.fence and lease.fence != self.granted_fencing_tokens.get(name)
        ]
        has_units = any(lease.granted_units for _, lease in granted)
        self.backoff_us = (
            min(2 * self.backoff_us + DEMAND_CHECK_INTERVAL_US, RENEWAL_INTERVAL_US)
            if self.needed_units and not has_units
            else 0
        )
        for name, lease in granted:
            self.granted_fencing_tokens[name] = lease.fence
            self.gateway.handle(
                BudgetGranted(
                    self.keys[name],
                    lease.share / lease.limits.total,
                    lease.granted_units,
                    now_us + (lease.until_ms - now_us // MS) * MS,
                )
            )


def name_of(key: BudgetKey) -> str:
    """Return the name by which the lease service knows a budget."""
    return "/".join(map(str, key))


def key_of(name: str) -> BudgetKey:
    """Return the key of a budget's name."""
    kind, *numbers = name.split("/")
    return BudgetKey(BudgetKind(kind), *map(int, numbers))
