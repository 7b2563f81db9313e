"""The events of the model of work leases.

A gateway begins an item when its client requests it, writes items that it owns to servers, and answers the
client once the outcome is persisted. Messages may arrive any number of times, in any order, late or never. A
gateway may be killed and restart, or be suspended while time passes. The lease service may be killed and
restart with its journal.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from thistletrail.leasing.messages import CompleteWork, WorkRequest, WorkResponse
from thistletrail.leasing.model_checking.search import Transition
from thistletrail.leasing.model_checking.work_faults import LEASE_MS
from thistletrail.leasing.model_checking.work_world import (
    EFFECT_BY_ITEM,
    FIRST_FENCE,
    KEYED_ITEM,
    ZONES,
    GatewayProcess,
    Progress,
    ProgressState,
    WorkWorld,
    apply_response,
    drop_expired,
    report_attempt,
    request_item,
    serve,
)

SHORT_WAIT_MS = 400
MAX_INCARNATIONS_PER_GATEWAY = 2
MAX_REQUESTS_PER_INCARNATION = 6
MAX_WRITES_PER_ITEM = 3

WorkTransition = Transition[WorkWorld]
# Actions change a state in place: the whole state, a gateway in it, or a gateway's progress with an item.
Action = Callable[[WorkWorld], None]
GatewayAction = Callable[[WorkWorld, GatewayProcess], None]
ProgressAction = Callable[[WorkWorld, GatewayProcess, Progress], None]


def transitions(world: WorkWorld) -> Iterator[WorkTransition]:
    """Yield every event that can occur in a state."""
    for wait_ms in (SHORT_WAIT_MS, LEASE_MS):
        yield make_transition(world, f"{wait_ms} ms pass", advance_time_action(wait_ms))
    yield make_transition(world, "the lease service looks for lost owners", transfer_lost_items)
    for process_index, gateway in enumerate(world.gateways):
        if gateway.is_alive:
            yield from gateway_transitions(world, process_index)
    for message in world.messages:
        yield from message_transitions(world, message)
    yield make_transition(world, "the lease service is killed and comes back", recover_service)


def make_transition(world: WorkWorld, event: str, action: Action) -> WorkTransition:
    """Return the transition to a copy of the state on which an action was carried out."""

    def apply() -> WorkWorld:
        successor = world.copy()
        action(successor)
        return successor

    return Transition(event, apply)


def make_gateway_transition(
    world: WorkWorld, process_index: int, event: str, action: GatewayAction
) -> WorkTransition:
    """Return a transition that an incarnation of a gateway makes, described as its label and `event`."""
    label = world.gateways[process_index].label
    return make_transition(
        world, f"{label} {event}", lambda successor: action(successor, successor.gateways[process_index])
    )


def gateway_transitions(world: WorkWorld, process_index: int) -> Iterator[WorkTransition]:
    """Yield the events that an incarnation of a gateway can cause."""
    gateway = world.gateways[process_index]
    for name in EFFECT_BY_ITEM:
        if name not in gateway.progress_by_item and name not in world.answered_items:
            event = f"a client requests the {name} item from {gateway.label}"
            yield make_transition(world, event, request_item_action(process_index, name))
    if gateway.holder.serial <= MAX_REQUESTS_PER_INCARNATION:
        yield make_gateway_transition(world, process_index, "sends a request", send_request)
        yield make_gateway_transition(world, process_index, "sends a request and is answered", exchange)
    for name in gateway.progress_by_item:
        yield from item_transitions(world, process_index, name)
    incarnations = sum(other.holder.gateway == gateway.holder.gateway for other in world.gateways)
    if incarnations < MAX_INCARNATIONS_PER_GATEWAY:
        yield make_gateway_transition(world, process_index, "is killed, and starts again", restart_gateway)


def item_transitions(world: WorkWorld, process_index: int, name: str) -> Iterator[WorkTransition]:
    """Yield the events that an incarnation of a gateway can cause for one item."""
    progress = world.gateways[process_index].progress_by_item[name]

    def make_item_transition(event: str, action: ProgressAction) -> WorkTransition:
        return make_gateway_transition(
            world,
            process_index,
            event,
            lambda successor, gateway: action(successor, gateway, gateway.progress_by_item[name]),
        )

    is_owned = world.gateways[process_index].holder.owns(name, progress.fence, world.now_ms)
    if may_write(world, name, progress, is_owned):
        yield make_item_transition(f"writes the {name} item to zone {progress.place}", write_action(name))
    if progress.state is ProgressState.CONFIRMED and is_owned:
        yield make_item_transition(
            f"cannot reach zone {progress.place} with the {name} item", fail_to_connect_action(name)
        )
    if progress.state is ProgressState.WRITTEN and is_owned:
        yield make_item_transition(f"gets the answer to the {name} item", receive_value_action(name))
        yield make_item_transition(f"gives up on the {name} item", give_up_action(name))
    if progress.state is ProgressState.WRITTEN and is_owned and name == KEYED_ITEM:
        yield make_item_transition(f"tries the {name} item once more", retry_action(name))
    if progress.state is ProgressState.CONFIRMED and is_owned and progress.never_ran:
        yield make_item_transition(f"drains, and transfers the {name} item", transfer_action(name))
    if progress.state is ProgressState.VALUE_PERSISTED and (
        is_owned or not world.model.persists_before_answer
    ):
        yield make_item_transition(f"answers the {name} item", answer_client_action(name))


def may_write(world: WorkWorld, name: str, progress: Progress, is_owned: bool) -> bool:
    """Return whether the model lets a gateway write an item to its zone."""
    begins_first = world.model.begins_before_write
    is_unreported = not begins_first and progress.state is ProgressState.REPORTED and not progress.fence
    is_ready = progress.state is ProgressState.CONFIRMED or is_unreported
    write_count = len(world.execution_zones.get(name, ()))
    return is_ready and (is_owned or not begins_first) and write_count < MAX_WRITES_PER_ITEM


def message_transitions(world: WorkWorld, message: WorkRequest | WorkResponse) -> Iterator[WorkTransition]:
    """Yield the events that a sent message can cause."""
    label = f"gateway {message.gateway} (incarnation {message.incarnation})"
    if isinstance(message, WorkRequest):
        yield make_transition(
            world, f"request {message.serial} of {label} arrives", deliver_request_action(message)
        )
        return
    for process_index, gateway in enumerate(world.gateways):
        if gateway.is_alive and is_awaited(gateway, message):
            event = f"response {message.serial} reaches {label}"
            yield make_transition(world, event, deliver_response_action(process_index, message))


def is_awaited(gateway: GatewayProcess, message: WorkResponse) -> bool:
    """Return whether a response answers the request that a gateway has in flight."""
    holder = gateway.holder
    is_addressed = (holder.gateway, holder.incarnation) == (message.gateway, message.incarnation)
    in_flight = holder.in_flight
    return is_addressed and in_flight is not None and in_flight.serial == message.serial


# --- actions on the whole state ---


def advance_time_action(wait_ms: int) -> Action:
    """Return the action that lets time pass."""

    def action(world: WorkWorld) -> None:
        world.now_ms += wait_ms

    return action


def transfer_lost_items(world: WorkWorld) -> None:
    """Let the lease service transfer the items whose owners are lost."""
    world.journal += world.service.transfer_lost_items(world.now_ms)


def request_item_action(process_index: int, name: str) -> Action:
    """Return the action by which a client requests an item from a gateway."""
    return lambda world: request_item(world.gateways[process_index], name, process_index)


def deliver_request_action(request: WorkRequest) -> Action:
    """Return the action by which the lease service receives a request and sends its response."""

    def action(world: WorkWorld) -> None:
        response = serve(world, request)
        if response not in world.messages:
            world.messages = (*world.messages, response)

    return action


def deliver_response_action(process_index: int, response: WorkResponse) -> Action:
    """Return the action by which a gateway receives a response."""

    def action(world: WorkWorld) -> None:
        gateway = world.gateways[process_index]
        drop_expired(world, gateway)
        apply_response(world, gateway, response)

    return action


def recover_service(world: WorkWorld) -> None:
    """Replace the lease service by a process that restores its journal."""
    restarted = type(world.service)(FIRST_FENCE, LEASE_MS)
    for record in world.journal:
        restarted.restore(record)
    restarted.finish_restore(world.now_ms)
    world.service = restarted


# --- actions of a gateway ---


def send_request(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Send a gateway's next request."""
    drop_expired(world, gateway)
    gateway.holder.requeue_unanswered()
    world.messages = (*world.messages, gateway.holder.next_request(world.now_ms))


def exchange(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Send a gateway's next request and deliver both messages at once.

    One event stands for three that usually follow each other.
    """
    drop_expired(world, gateway)
    gateway.holder.requeue_unanswered()
    apply_response(world, gateway, serve(world, gateway.holder.next_request(world.now_ms)))


def restart_gateway(world: WorkWorld, gateway: GatewayProcess) -> None:
    """Kill a gateway, and start its next incarnation."""
    gateway.is_alive = False
    previous = gateway.holder
    holder = world.model.holder_type(previous.gateway, previous.incarnation + 1)
    world.gateways.append(GatewayProcess(holder))


# --- actions of a gateway on one item ---


def write_action(name: str) -> ProgressAction:
    """Return the action by which a gateway writes an item to the zone of its attempt, where it runs."""

    def action(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.state = ProgressState.WRITTEN
        progress.never_ran = False
        world.record_execution(name, progress)

    return action


def fail_to_connect_action(name: str) -> ProgressAction:
    """Return the action by which a gateway fails to connect to a zone.

    Its next attempt goes to the other zone if the item has never run, else to the same zone.
    """

    def action(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.never_ran |= world.model.forgets_earlier_attempts
        other = next(zone for zone in ZONES if zone != progress.place)
        place = other if progress.never_ran else progress.place
        report_attempt(gateway, name, progress, place, progress.never_ran)

    return action


def receive_value_action(name: str) -> ProgressAction:
    """Return the action by which a gateway receives an item's value and sends it to the lease service."""

    def action(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        is_persisted_first = world.model.persists_before_answer
        progress.state = ProgressState.VALUE_ARRIVED if is_persisted_first else ProgressState.VALUE_PERSISTED
        gateway.holder.enqueue(CompleteWork(name=name, fence=progress.fence, value=b"v"))

    return action


def retry_action(name: str) -> ProgressAction:
    """Return the action by which a gateway whose connection was reset records a further attempt.

    One event stands for the report and its confirmation.
    """

    def action(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        report_attempt(gateway, name, progress, progress.place, False)
        exchange(world, gateway)

    return action


def give_up_action(name: str) -> ProgressAction:
    """Return the action by which a gateway stops waiting for an item."""

    def action(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.state = ProgressState.OVER
        gateway.holder.release(name)

    return action


def transfer_action(name: str) -> ProgressAction:
    """Return the action by which a draining gateway transfers an item that has never run."""

    def action(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.state = ProgressState.OVER
        gateway.holder.release(name, transfer=True, never_ran=True)
        if progress.begin is not None and not world.model.fails_transferred_requests:
            world.record_refused(progress.begin.request_id)

    return action


def answer_client_action(name: str) -> ProgressAction:
    """Return the action by which a gateway answers the client of an item."""

    def action(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.state = ProgressState.OVER
        world.record_answered(name)

    return action
