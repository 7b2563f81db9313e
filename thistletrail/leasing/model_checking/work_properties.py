"""What must hold in every state of the model of work leases.

What may not be repeated has run once at most; what is keyed has run in one zone; two gateways are never free
to write the same item; and a client that has an outcome could ask any gateway for it, and would get the same.
"""

from __future__ import annotations

from thistletrail.leasing.model_checking.work_world import (
    EFFECTS,
    KEYED,
    UNSAFE,
    GatewayProcess,
    ProgressState,
    WorkWorld,
)
from thistletrail.leasing.work_records import WorkOutcome


def violation(world: WorkWorld) -> str:
    """Return what does not hold in a state; empty where all does."""
    return repeated(world) or two_writers(world) or outcome_not_persisted(world)


def repeated(world: WorkWorld) -> str:
    """Check that nothing has run once too often."""
    if len(world.zones_run.get(UNSAFE, ())) > 1:
        return "the unsafe item has run twice"
    if len(set(world.zones_run.get(KEYED, ()))) > 1:
        return "the keyed item has run in two zones"
    return ""


def two_writers(world: WorkWorld) -> str:
    """Check that one gateway at most may write each item."""
    for name in EFFECTS:
        writers = sum(is_free_to_write(world, gateway, name) for gateway in world.gateways)
        if writers > 1:
            return f"{writers} gateways may write the {name} item"
    return ""


def is_free_to_write(world: WorkWorld, gateway: GatewayProcess, name: str) -> bool:
    """Return whether a gateway may write an item now."""
    progress = gateway.progress_of.get(name)
    if progress is None or not gateway.is_alive or progress.state is not ProgressState.CONFIRMED:
        return False
    return gateway.holder.owns(name, progress.fence, world.now_ms)


def outcome_not_persisted(world: WorkWorld) -> str:
    """Check that each outcome that a client has is kept."""
    for name in world.answered:
        item = world.state.store.items.get(name)
        if item is None or item.outcome != WorkOutcome.SERVED:
            return f"the {name} item was answered, and its outcome is not kept"
    return ""
