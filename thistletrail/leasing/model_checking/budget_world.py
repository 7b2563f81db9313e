"""One state of the model of fleet-wide budgets: time, the lease service, holders and messages.

Messages that were sent stay in the network: each may arrive any number of times, in any order, late or never.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field, replace

from thistletrail.leasing.budget_holder import BudgetHolder, BudgetLease, Demand
from thistletrail.leasing.budget_state import Budget, BudgetLimits, Holding
from thistletrail.leasing.messages import RenewRequest, RenewResponse
from thistletrail.leasing.model_checking.budget_faults import LEASE_MS, BudgetModel, CheckedBudgetState

RATE_NAME = "rate"
COUNT_NAME = "open"
COUNT = BudgetLimits(total=10)  # of what may be open at once
RATE = BudgetLimits(total=10_000, burst=20)  # in thousandths of units a second
FIRST_FENCE = 1000
FENCES_BETWEEN_HISTORIES = 1000
DEMAND = 5  # of each holder, for each budget
NEEDED_UNITS = 2  # that requests wait for at every other gateway


@dataclass
class BudgetWorld:
    """One state: time, the lease service, all holders that were ever started, messages, and units spent."""

    model: type[BudgetModel]
    gateways: int
    now_ms: int
    state: CheckedBudgetState
    holders: list[BudgetHolder]
    messages: tuple[RenewRequest | RenewResponse, ...] = ()
    spent_thousandths: int = 0  # of units of the rate
    initial_thousandths: int = 0  # of units that were there at the beginning
    began_ms: int = 0
    losses: int = 0  # of the lease service's journal
    was_taken_over: bool = False  # another has taken over from a leader that stood still
    requests_of: dict[int, int] = field(default_factory=dict)  # by holder: how many it has sent

    def copy(self) -> BudgetWorld:
        """Return a copy that shares nothing that changes."""
        return replace(
            self,
            state=copy_state(self.state),
            requests_of=dict(self.requests_of),
            holders=[copy_holder(holder) for holder in self.holders],
        )

    def key(self) -> Hashable:
        """Return a value that is equal for equal states."""
        return (
            self.now_ms,
            self.spent_thousandths,
            self.losses,
            self.was_taken_over,
            state_key(self.state),
            tuple(map(holder_key, self.holders)),
            frozenset(self.messages),
        )


def copy_state(state: CheckedBudgetState) -> CheckedBudgetState:
    """Return a copy of the lease service's state."""
    copied = type(state)(state.fence, 0, 0, state.lease_ms)
    copied.quiet_until_ms = state.quiet_until_ms
    copied.last_requests = dict(state.last_requests)
    copied.budgets = {name: copy_budget(budget) for name, budget in state.budgets.items()}
    return copied


def copy_budget(budget: Budget) -> Budget:
    """Return a copy of a budget with its holdings."""
    holdings = {
        name: Holding(holding.issued, holding.demand, holding.acknowledged_fence)
        for name, holding in budget.holdings.items()
    }
    return Budget(budget.limits, holdings, budget.pool_thousandths, budget.pool_at_ms, budget.rotation)


def state_key(state: CheckedBudgetState) -> Hashable:
    """Return what distinguishes one state of the lease service from another."""
    return (
        state.fence,
        state.quiet_until_ms,
        tuple((name, stamp.serial, stamp.received_ms) for name, stamp in sorted(state.last_requests.items())),
        tuple((name, budget_key(budget)) for name, budget in state.budgets.items()),
    )


def budget_key(budget: Budget) -> Hashable:
    """Return what distinguishes one state of a budget from another."""
    holdings = tuple(
        (name, holding.issued, holding.demand, holding.acknowledged_fence)
        for name, holding in sorted(budget.holdings.items())
    )
    return (budget.pool_thousandths, budget.pool_at_ms, budget.rotation, holdings)


def copy_holder(holder: BudgetHolder) -> BudgetHolder:
    """Return a copy of a holder with its leases."""
    copied = type(holder)(holder.gateway, holder.incarnation, holder.max_gateways)
    copied.serial = holder.serial
    copied.sent_ms = dict(holder.sent_ms)
    copied.leases = {name: replace(lease) for name, lease in holder.leases.items()}
    return copied


def holder_key(holder: BudgetHolder) -> Hashable:
    """Return what distinguishes one state of a holder from another."""
    return (
        holder.gateway,
        holder.incarnation,
        holder.serial,
        tuple(holder.sent_ms.items()),
        tuple((name, lease_key(lease)) for name, lease in holder.leases.items()),
    )


def lease_key(lease: BudgetLease) -> Hashable:
    """Return what distinguishes one state of a lease from another."""
    return (
        lease.share,
        lease.fence,
        lease.until_ms,
        lease.level_thousandths,
        lease.level_at_ms,
        lease.returned_units,
        lease.in_use,
    )


def first_world(
    model: type[BudgetModel], gateways: int, budgets: int, is_first_holding_all: bool
) -> BudgetWorld:
    """Return a first state: nobody has sent a request, or the first gateway holds all of everything."""
    now = 100 * LEASE_MS
    state = model.state_type(FIRST_FENCE, now, 0, LEASE_MS)
    limits_by_name = {RATE_NAME: RATE, COUNT_NAME: COUNT}
    for name in list(limits_by_name)[:budgets]:
        state.set_limits(name, limits_by_name[name], now)
    world = BudgetWorld(model, gateways, now, state, [], began_ms=now)
    for gateway in range(gateways):
        start_holder(world, gateway)
    if is_first_holding_all:
        first = world.holders[0]
        state.budgets[RATE_NAME].pool_thousandths = 1000 * RATE.burst
        first.on_response(state.renew(first.next_request(now), now), now)
        state.refill_pool(state.budgets[RATE_NAME], now)
        world.initial_thousandths = units_in_stores(world)
    return world


def start_holder(world: BudgetWorld, gateway: int) -> None:
    """Start a process of a gateway: it has demand for everything, and every other one needs units besides."""
    incarnation = 1 + sum(holder.gateway == gateway for holder in world.holders)
    holder = world.model.holder_type(gateway, incarnation, world.gateways)
    for name, budget in world.state.budgets.items():
        needed_units = NEEDED_UNITS * (gateway % 2)
        holder.set_demand(name, budget.limits, Demand(DEMAND, needed_units), world.now_ms)
    world.holders.append(holder)


def units_in_stores(world: BudgetWorld) -> int:
    """Return thousandths of units of the rate in all stores and in the pool."""
    in_stores = sum(holder.leases[RATE_NAME].level_thousandths for holder in world.holders)
    return in_stores + world.state.budgets[RATE_NAME].pool_thousandths
