"""One state of the model of fleet-wide budgets: time, the lease service, holders and messages.

Messages stay in the network once they are sent. Each may arrive any number of times, in any order, late or
never.
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
COUNT_LIMITS = BudgetLimits(total=10)
RATE_LIMITS = BudgetLimits(total=10_000, burst=20)  # 10 units a second
FIRST_FENCE = 1000
FENCE_STEP_BETWEEN_HISTORIES = 1000
DEMAND_PER_HOLDER = 5  # for each budget
NEEDED_UNITS = 2  # for waiting requests, at each gateway with an odd number


@dataclass
class BudgetWorld:
    """One state of the model.

    Attributes:
        model: The state machines that are checked.
        gateways: The number of gateways.
        now_ms: The present time.
        service: The lease service's state machine.
        holders: All holders that were ever started, also those that were replaced.
        messages: All messages that were sent.
        spent_thousandths: Thousandths of units of the rate that holders have spent.
        initial_thousandths: Thousandths of units of the rate that existed in the initial state.
        start_ms: The time of the initial state.
        journal_losses: How many times the lease service's journal was lost.
        was_taken_over: Whether another lease service has taken over from a suspended leader.
        request_count_by_holder: The number of requests that each holder has sent, by its index in `holders`.
    """

    model: type[BudgetModel]
    gateways: int
    now_ms: int
    service: CheckedBudgetState
    holders: list[BudgetHolder]
    messages: tuple[RenewRequest | RenewResponse, ...] = ()
    spent_thousandths: int = 0
    initial_thousandths: int = 0
    start_ms: int = 0
    journal_losses: int = 0
    was_taken_over: bool = False
    request_count_by_holder: dict[int, int] = field(default_factory=dict)

    def copy(self) -> BudgetWorld:
        """Return a copy that shares no mutable object."""
        return replace(
            self,
            service=copy_service(self.service),
            request_count_by_holder=dict(self.request_count_by_holder),
            holders=[copy_holder(holder) for holder in self.holders],
        )

    def key(self) -> Hashable:
        """Return a value that is equal for equal states."""
        return (
            self.now_ms,
            self.spent_thousandths,
            self.journal_losses,
            self.was_taken_over,
            service_key(self.service),
            tuple(map(holder_key, self.holders)),
            frozenset(self.messages),
        )


def copy_service(service: CheckedBudgetState) -> CheckedBudgetState:
    """Return a copy of the lease service's state machine."""
    copied = type(service)(service.fence, 0, 0, service.lease_ms)
    copied.quiet_until_ms = service.quiet_until_ms
    copied.last_requests = dict(service.last_requests)
    copied.budgets = {name: copy_budget(budget) for name, budget in service.budgets.items()}
    return copied


def copy_budget(budget: Budget) -> Budget:
    """Return a copy of a budget with its holdings."""
    holdings = {
        name: Holding(holding.issued, holding.demand, holding.acknowledged_fence)
        for name, holding in budget.holdings.items()
    }
    return Budget(budget.limits, holdings, budget.pool_thousandths, budget.pool_at_ms, budget.rotation)


def service_key(service: CheckedBudgetState) -> Hashable:
    """Return a value that is equal for equal states of the lease service."""
    return (
        service.fence,
        service.quiet_until_ms,
        tuple(
            (name, latest.serial, latest.received_ms)
            for name, latest in sorted(service.last_requests.items())
        ),
        tuple((name, budget_key(budget)) for name, budget in service.budgets.items()),
    )


def budget_key(budget: Budget) -> Hashable:
    """Return a value that is equal for equal states of a budget."""
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
    """Return a value that is equal for equal states of a holder."""
    return (
        holder.gateway,
        holder.incarnation,
        holder.serial,
        tuple(holder.sent_ms.items()),
        tuple((name, lease_key(lease)) for name, lease in holder.leases.items()),
    )


def lease_key(lease: BudgetLease) -> Hashable:
    """Return a value that is equal for equal states of a lease."""
    return (
        lease.share,
        lease.fence,
        lease.until_ms,
        lease.level_thousandths,
        lease.level_at_ms,
        lease.returned_units,
        lease.in_use,
    )


def initial_world(
    model: type[BudgetModel], gateways: int, budgets: int, first_gateway_holds_all: bool
) -> BudgetWorld:
    """Return an initial state: no gateway has sent a request, or the first one holds all of every budget."""
    now_ms = 100 * LEASE_MS
    service = model.state_type(FIRST_FENCE, now_ms, 0, LEASE_MS)
    limits_by_name = {RATE_NAME: RATE_LIMITS, COUNT_NAME: COUNT_LIMITS}
    for name in list(limits_by_name)[:budgets]:
        service.set_limits(name, limits_by_name[name], now_ms)
    world = BudgetWorld(model, gateways, now_ms, service, [], start_ms=now_ms)
    for gateway in range(gateways):
        start_holder(world, gateway)
    if first_gateway_holds_all:
        first = world.holders[0]
        service.budgets[RATE_NAME].pool_thousandths = 1000 * RATE_LIMITS.burst
        first.on_response(service.renew(first.next_request(now_ms), now_ms), now_ms)
        service.refill_pool(service.budgets[RATE_NAME], now_ms)
        world.initial_thousandths = stored_thousandths(world)
    return world


def start_holder(world: BudgetWorld, gateway: int) -> None:
    """Start an incarnation of a gateway with demand for each budget; odd-numbered gateways need units too."""
    incarnation = 1 + sum(holder.gateway == gateway for holder in world.holders)
    holder = world.model.holder_type(gateway, incarnation, world.gateways)
    for name, budget in world.service.budgets.items():
        needed_units = NEEDED_UNITS * (gateway % 2)
        holder.set_demand(name, budget.limits, Demand(DEMAND_PER_HOLDER, needed_units), world.now_ms)
    world.holders.append(holder)


def stored_thousandths(world: BudgetWorld) -> int:
    """Return thousandths of units of the rate in all token buckets and in the pool."""
    in_buckets = sum(holder.leases[RATE_NAME].level_thousandths for holder in world.holders)
    return in_buckets + world.service.budgets[RATE_NAME].pool_thousandths
