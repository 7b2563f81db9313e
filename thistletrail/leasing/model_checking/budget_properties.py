"""What must hold in every state of the model of fleet-wide budgets.

- The shares that all holders may use add up to no more than the total.
- What is open under unexpired leases is no more than the total that leases may grant.
- The units that were spent, or are in token buckets and the pool, are no more than were added at the rate.
- The units that can be spent at once are no more than the burst.
"""

from __future__ import annotations

from thistletrail.leasing.budget_state import divisible_total, floor_share, leasable_total
from thistletrail.leasing.model_checking.budget_world import (
    COUNT_LIMITS,
    COUNT_NAME,
    RATE_LIMITS,
    RATE_NAME,
    BudgetWorld,
    stored_thousandths,
)


def find_violation(world: BudgetWorld) -> str:
    """Return a description of the property that a state violates; empty if all properties hold."""
    return (
        find_excess_share(world)
        or find_excess_open(world)
        or find_excess_units(world)
        or find_excess_burst(world)
    )


def find_excess_share(world: BudgetWorld) -> str:
    """Return a violation if usable shares add up to more than the divisible total and the floors."""
    for name, budget in world.service.budgets.items():
        # A gateway has one floor, whichever of its incarnations uses it.
        floor = floor_share(budget.limits.total, world.gateways)
        shares = sum(holder.usable_share(name, world.now_ms) - floor for holder in world.holders)
        usable = shares + world.gateways * floor
        divisible = divisible_total(budget.limits)
        if usable > divisible + world.gateways * floor:
            return f"{usable} of '{name}' is held, {divisible} is divided beside the floors"
    return ""


def find_excess_open(world: BudgetWorld) -> str:
    """Return a violation if more is open under unexpired leases than leases may grant."""
    counts = [holder.leases[COUNT_NAME] for holder in world.holders if COUNT_NAME in holder.leases]
    open_now = sum(lease.in_use for lease in counts if world.now_ms < lease.until_ms)
    if open_now > leasable_total(COUNT_LIMITS.total):
        return f"{open_now} are open, {leasable_total(COUNT_LIMITS.total)} are divided"
    return ""


def find_excess_units(world: BudgetWorld) -> str:
    """Return a violation if more units were spent, or are in buckets and the pool, than were added."""
    elapsed_ms = world.now_ms - world.start_ms
    added_thousandths = world.initial_thousandths + RATE_LIMITS.total * elapsed_ms // 1000
    added_thousandths += RATE_LIMITS.total // 10 * elapsed_ms // 1000  # floors of earlier incarnations
    accounted_thousandths = world.spent_thousandths + stored_thousandths(world)
    if accounted_thousandths > added_thousandths:
        return (
            f"{accounted_thousandths / 1000:g} units were spent, are held or pooled, "
            f"{added_thousandths / 1000:g} have come in"
        )
    return ""


def find_excess_burst(world: BudgetWorld) -> str:
    """Return a violation if more than the burst can be spent while no time passes.

    Each incarnation of a gateway has a floor's fraction of the burst besides.
    """
    floors = len(world.holders) * floor_share(RATE_LIMITS.total, world.gateways)
    limit = 1000 * RATE_LIMITS.burst * (leasable_total(RATE_LIMITS.total) + floors)
    at_once = poolable_thousandths(world)
    for holder in world.holders:
        lease = holder.leases[RATE_NAME]
        at_once += min(lease.level_thousandths, holder.capacity_thousandths(lease, world.now_ms))
    if at_once * RATE_LIMITS.total > limit:
        return (
            f"{at_once / 1000:g} units could be spent at once, {limit / RATE_LIMITS.total / 1000:g} at most"
        )
    return ""


def poolable_thousandths(world: BudgetWorld) -> int:
    """Return thousandths of units in the pool, up to the unreserved fraction of the burst."""
    budget = world.service.budgets[RATE_NAME]
    unreserved = max(0, leasable_total(RATE_LIMITS.total) - budget.reserved)
    return min(budget.pool_thousandths, 1000 * RATE_LIMITS.burst * unreserved // RATE_LIMITS.total)
