"""What must hold in every state of the model of work leases.

- The unsafe item has run at most once.
- The keyed item has run in one zone only.
- At most one gateway may write an item at any time.
- The lease service has persisted each outcome that a client has received, so the client would get the same
  outcome from any gateway.
- No item runs for a request whose client was told that it has no effect.
"""

from __future__ import annotations

from thistletrail.leasing.model_checking.work_world import (
    EFFECT_BY_ITEM,
    KEYED_ITEM,
    UNSAFE_ITEM,
    GatewayProcess,
    ProgressState,
    WorkWorld,
)
from thistletrail.leasing.work_records import WorkOutcome


def find_violation(world: WorkWorld) -> str:
    """Return a description of the property that a state violates; empty if all properties hold."""
    return (
        find_repetition(world)
        or find_second_writer(world)
        or find_unpersisted_outcome(world)
        or find_run_of_refused_request(world)
    )


def find_repetition(world: WorkWorld) -> str:
    """Return a violation if an item has run more often, or in more zones, than its effect allows."""
    if len(world.execution_zones.get(UNSAFE_ITEM, ())) > 1:
        return "the unsafe item has run twice"
    if len(set(world.execution_zones.get(KEYED_ITEM, ()))) > 1:
        return "the keyed item has run in two zones"
    return ""


def find_second_writer(world: WorkWorld) -> str:
    """Return a violation if more than one gateway may write the same item."""
    for name in EFFECT_BY_ITEM:
        writers = sum(may_write_now(world, gateway, name) for gateway in world.gateways)
        if writers > 1:
            return f"{writers} gateways may write the {name} item"
    return ""


def may_write_now(world: WorkWorld, gateway: GatewayProcess, name: str) -> bool:
    """Return whether a gateway may write an item now."""
    progress = gateway.progress_by_item.get(name)
    if progress is None or not gateway.is_alive or progress.state is not ProgressState.CONFIRMED:
        return False
    return gateway.holder.owns(name, progress.fence, world.now_ms)


def find_unpersisted_outcome(world: WorkWorld) -> str:
    """Return a violation if a client has received an outcome that the lease service has not persisted."""
    for name in world.answered_items:
        item = world.service.store.items.get(name)
        if item is None or item.outcome != WorkOutcome.SERVED:
            return f"the {name} item was answered, and its outcome is not persisted"
    return ""


def find_run_of_refused_request(world: WorkWorld) -> str:
    """Return a violation if a request has run whose client was told that it has no effect."""
    for request_id in world.refused_requests:
        if request_id in world.executed_requests:
            return f"the request {request_id} was refused, and has run"
    return ""
