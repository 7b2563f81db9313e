"""What must hold in every state of the model of fleet-wide budgets.

The shares that all holders may use add up to no more than the total; what is open under leases that last is
no more; and units spent, held and pooled are no more than have come in.
"""

from __future__ import annotations

from thistletrail.leasing.budget_state import divisible_total, floor_share, leasable_total
from thistletrail.leasing.model_checking.budget_world import (
    COUNT,
    COUNT_NAME,
    RATE,
    RATE_NAME,
    BudgetWorld,
    units_in_stores,
)


def violation(world: BudgetWorld) -> str:
    """Return what does not hold in a state; empty where all does."""
    return excess_share(world) or excess_open(world) or excess_units(world) or excess_at_once(world)


def excess_share(world: BudgetWorld) -> str:
    """Check that shares add up to no more than what is divided, beside the floors."""
    for name, budget in world.state.budgets.items():
        floor = floor_share(budget.limits.total, world.gateways)  # of a gateway, whichever process uses it
        shares = sum(holder.usable_share(name, world.now_ms) - floor for holder in world.holders)
        usable = shares + world.gateways * floor
        divisible = divisible_total(budget.limits)
        if usable > divisible + world.gateways * floor:
            return f"{usable} of '{name}' is held, {divisible} is divided beside the floors"
    return ""


def excess_open(world: BudgetWorld) -> str:
    """Check that no more is open than leases divide."""
    counts = [holder.leases[COUNT_NAME] for holder in world.holders if COUNT_NAME in holder.leases]
    open_now = sum(lease.in_use for lease in counts if world.now_ms < lease.until_ms)
    if open_now > leasable_total(COUNT.total):
        return f"{open_now} are open, {leasable_total(COUNT.total)} are divided"
    return ""


def excess_units(world: BudgetWorld) -> str:
    """Check that no more units were spent, or are there, than have come in."""
    elapsed_ms = world.now_ms - world.began_ms
    came_in = world.initial_thousandths + RATE.total * elapsed_ms // 1000
    came_in += RATE.total // 10 * elapsed_ms // 1000  # floors of incarnations before the latest
    found = world.spent_thousandths + units_in_stores(world)
    if found > came_in:
        return f"{found / 1000:g} units were spent, are held or pooled, {came_in / 1000:g} have come in"
    return ""


def excess_at_once(world: BudgetWorld) -> str:
    """Check that no more than the burst can be spent while no time passes.

    Each process of a gateway has a floor's fraction of the burst.
    """
    floors = len(world.holders) * floor_share(RATE.total, world.gateways)
    limit = 1000 * RATE.burst * (leasable_total(RATE.total) + floors)
    at_once = poolable_thousandths(world)
    for holder in world.holders:
        lease = holder.leases[RATE_NAME]
        at_once += min(lease.level_thousandths, holder.capacity_thousandths(lease, world.now_ms))
    if at_once * RATE.total > limit:
        return f"{at_once / 1000:g} units could be spent at once, {limit / RATE.total / 1000:g} at most"
    return ""


def poolable_thousandths(world: BudgetWorld) -> int:
    """Return thousandths of units in the pool that have room there."""
    budget = world.state.budgets[RATE_NAME]
    unreserved = max(0, leasable_total(RATE.total) - budget.reserved)
    return min(budget.pool_thousandths, 1000 * RATE.burst * unreserved // RATE.total)
