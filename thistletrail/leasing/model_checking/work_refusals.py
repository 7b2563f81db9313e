"""The check of refusals: a request whose client was told that it has no effect does not run after that.

The first gateway has a client's request for the keyed item, and may refuse it at any time. The other gateways
renew their leases, and run what is transferred to them. To reach such runs in few events, one event stands
for a whole lease in which the first gateway is silent.
"""

from __future__ import annotations

from collections.abc import Iterator

from thistletrail.leasing.model_checking.search import (
    CheckResult,
    Walks,
    search_breadth_first,
    walk_randomly,
)
from thistletrail.leasing.model_checking.work_faults import LEASE_MS, WorkModel
from thistletrail.leasing.model_checking.work_properties import find_violation
from thistletrail.leasing.model_checking.work_transitions import (
    MAX_REQUESTS_PER_INCARNATION,
    WorkTransition,
    exchange,
    give_up_action,
    make_gateway_transition,
    make_transition,
    may_write,
    message_transitions,
    recover_service,
    request_item_action,
    send_request,
    transfer_action,
    transfer_lost_items,
    write_action,
)
from thistletrail.leasing.model_checking.work_world import (
    KEYED_ITEM,
    GatewayProcess,
    Progress,
    ProgressState,
    WorkWorld,
    apply_results,
    drop_expired,
    initial_world,
)

GATEWAYS = 2
REFUSING_GATEWAY = 0  # index of the process whose client is refused


def check_near_refusals(model: type[WorkModel], depth: int) -> CheckResult:
    """Check all states within `depth` events of the one in which no gateway has anything."""
    return search_breadth_first(
        initial_world(model, GATEWAYS, False), refusal_transitions, find_violation, depth
    )


def check_refusal_walks(model: type[WorkModel], walks: Walks) -> CheckResult:
    """Check random walks from the state in which no gateway has anything."""
    return walk_randomly(
        lambda _: initial_world(model, GATEWAYS, False), refusal_transitions, find_violation, walks
    )


def refusal_transitions(world: WorkWorld) -> Iterator[WorkTransition]:
    """Yield the events that concern a refusal."""
    yield make_transition(world, "the first gateway is silent for a lease", pass_silent_lease)
    yield make_transition(world, "the lease service is killed and comes back", recover_service)
    for message in world.messages:
        yield from message_transitions(world, message)
    for process_index, gateway in enumerate(world.gateways):
        yield from process_transitions(world, process_index, gateway)


def process_transitions(
    world: WorkWorld, process_index: int, gateway: GatewayProcess
) -> Iterator[WorkTransition]:
    """Yield the events that a gateway can cause."""
    progress = gateway.progress_by_item.get(KEYED_ITEM)
    if progress is None:
        event = f"a client requests the {KEYED_ITEM} item from {gateway.label}"
        yield make_transition(world, event, request_item_action(process_index, KEYED_ITEM))
    if gateway.holder.serial <= MAX_REQUESTS_PER_INCARNATION:
        yield make_gateway_transition(world, process_index, "sends a request", send_request)
        yield make_gateway_transition(world, process_index, "sends a request and is answered", exchange)
        yield make_gateway_transition(
            world, process_index, "sends a request that cannot be stored", send_unstored_request
        )
    if progress is None:
        return
    is_owned = gateway.holder.owns(KEYED_ITEM, progress.fence, world.now_ms)
    if progress.state is ProgressState.WRITTEN and is_owned and process_index != REFUSING_GATEWAY:
        yield make_gateway_transition(world, process_index, "gives up on the item", give_up_item)
    if may_write(world, KEYED_ITEM, progress, is_owned):
        yield make_gateway_transition(world, process_index, "writes the item", write_item)
    if process_index == REFUSING_GATEWAY:
        yield from end_transitions(world, progress, is_owned)


def end_transitions(world: WorkWorld, progress: Progress, is_owned: bool) -> Iterator[WorkTransition]:
    """Yield the ways in which the first gateway ends its client's request without running it."""
    if progress.begin is None:
        return
    if progress.state in (ProgressState.REPORTED, ProgressState.CONFIRMED):
        yield make_gateway_transition(world, REFUSING_GATEWAY, "rejects its client", reject)
    is_begun = progress.state is ProgressState.REPORTED and not progress.fence
    if is_begun and world.model.repeats_withdrawn_polls:
        yield make_gateway_transition(
            world, REFUSING_GATEWAY, "withdraws its poll, and sends the next one", repeat_poll
        )
    if progress.state is ProgressState.CONFIRMED and is_owned and progress.never_ran:
        yield make_gateway_transition(
            world, REFUSING_GATEWAY, "drains, and transfers the item", transfer_item
        )


# --- actions ---


def pass_silent_lease(world: WorkWorld) -> None:
    """Let a lease pass in which all gateways but the first renew theirs and confirm their attempts."""
    others = world.gateways[REFUSING_GATEWAY + 1 :]
    for _ in range(2):
        world.now_ms += LEASE_MS // 2
        for gateway in others:
            exchange(world, gateway)
    transfer_lost_items(world)
    for _ in range(2):  # the first response transfers items, and the second confirms their attempts
        for gateway in others:
            exchange(world, gateway)


def send_unstored_request(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Send a gateway's next request, whose records the lease service cannot write, and deliver its answer."""
    drop_expired(world, gateway)
    gateway.holder.requeue_unanswered()
    decision = world.service.handle(gateway.holder.next_request(world.now_ms), world.now_ms)
    world.journal += world.service.revert_unjournaled(decision.records)
    apply_results(world, gateway, gateway.holder.on_not_persisted())


def give_up_item(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Stop waiting for the item, which may have run and now has no owner."""
    give_up_action(KEYED_ITEM)(world, gateway, gateway.progress_by_item[KEYED_ITEM])


def write_item(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Write the item to the zone of its attempt, where it runs."""
    write_action(KEYED_ITEM)(world, gateway, gateway.progress_by_item[KEYED_ITEM])


def transfer_item(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Transfer the item to another gateway, as at the end of a drain."""
    transfer_action(KEYED_ITEM)(world, gateway, gateway.progress_by_item[KEYED_ITEM])


def repeat_poll(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Withdraw the record of the client's request, and send it once more."""
    progress = gateway.progress_by_item[KEYED_ITEM]
    assert progress.begin is not None
    gateway.holder.withdraw(progress.begin)
    gateway.holder.enqueue(progress.begin)


def reject(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Reject the client's request, and withdraw its record."""
    progress = gateway.progress_by_item[KEYED_ITEM]
    assert progress.begin is not None
    if progress.fence:
        may_be_recorded = gateway.holder.release(KEYED_ITEM, never_ran=progress.never_ran)
    else:
        may_be_recorded = not gateway.holder.withdraw(progress.begin)
    is_withdrawn = not may_be_recorded and not progress.may_run_elsewhere
    if is_withdrawn or not world.model.withdraws_before_refusal:
        progress.state = ProgressState.OVER
        world.record_refused(progress.begin.request_id)
    elif progress.may_run_elsewhere:
        progress.state = ProgressState.OVER  # the client is answered that its request failed
    else:
        progress.state = ProgressState.WITHDRAWING
