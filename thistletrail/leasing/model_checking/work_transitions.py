"""The events of the model of work leases.

A gateway begins an item when its client requests it, writes what it owns, and answers its client once the
outcome is kept. Messages may arrive any number of times, in any order, late or never; a gateway may be killed
and start again, or stand still while time passes; the lease service may be killed and come back with its
journal.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from thistletrail.leasing.messages import CompleteWork, WorkRequest, WorkResponse
from thistletrail.leasing.model_checking.search import Transition
from thistletrail.leasing.model_checking.work_faults import LEASE_MS
from thistletrail.leasing.model_checking.work_world import (
    EFFECTS,
    FIRST_FENCE,
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
MAX_INCARNATIONS = 2  # of a gateway
MAX_REQUESTS = 6  # of an incarnation
MAX_WRITES = 3  # of an item

WorkTransition = Transition[WorkWorld]
Change = Callable[[WorkWorld], None]
GatewayChange = Callable[[WorkWorld, GatewayProcess], None]
ProgressChange = Callable[[WorkWorld, GatewayProcess, Progress], None]


def transitions(world: WorkWorld) -> Iterator[WorkTransition]:
    """Yield every event that may come next."""
    for wait_ms in (SHORT_WAIT_MS, LEASE_MS):
        yield transition(world, f"{wait_ms} ms pass", passing(wait_ms))
    yield transition(world, "the lease service looks for lost owners", transfer_lost_items)
    for number, gateway in enumerate(world.gateways):
        if gateway.is_alive:
            yield from gateway_transitions(world, number)
    for message in world.messages:
        yield from message_transitions(world, message)
    yield transition(world, "the lease service is killed and comes back", recover)


def transition(world: WorkWorld, event: str, change: Change) -> WorkTransition:
    """Return an event that makes a change to a copy of the state."""

    def apply() -> WorkWorld:
        changed = world.copy()
        change(changed)
        return changed

    return Transition(event, apply)


def gateway_transition(world: WorkWorld, number: int, event: str, change: GatewayChange) -> WorkTransition:
    """Return an event that a gateway's process makes."""
    label = world.gateways[number].label
    return transition(world, f"{label} {event}", lambda changed: change(changed, changed.gateways[number]))


def gateway_transitions(world: WorkWorld, number: int) -> Iterator[WorkTransition]:
    """Yield what one incarnation of a gateway may do."""
    gateway = world.gateways[number]
    for name in EFFECTS:
        if name not in gateway.progress_of and name not in world.answered:
            event = f"a client requests the {name} item from {gateway.label}"
            yield transition(world, event, requesting(number, name))
    if gateway.holder.serial <= MAX_REQUESTS:
        yield gateway_transition(world, number, "sends a request", send_request)
        yield gateway_transition(world, number, "sends a request and is answered", exchange)
    for name in gateway.progress_of:
        yield from item_transitions(world, number, name)
    incarnations = sum(other.holder.gateway == gateway.holder.gateway for other in world.gateways)
    if incarnations < MAX_INCARNATIONS:
        yield gateway_transition(world, number, "is killed, and starts again", restart)


def item_transitions(world: WorkWorld, number: int, name: str) -> Iterator[WorkTransition]:
    """Yield what a gateway may do with one item."""
    progress = world.gateways[number].progress_of[name]

    def step(event: str, change: ProgressChange) -> WorkTransition:
        return gateway_transition(
            world, number, event, lambda changed, gateway: change(changed, gateway, gateway.progress_of[name])
        )

    owns = world.gateways[number].holder.owns(name, progress.fence, world.now_ms)
    if may_write(world, name, progress, owns):
        yield step(f"writes the {name} item to zone {progress.place}", writing(name))
    if progress.state is ProgressState.CONFIRMED and owns:
        yield step(f"cannot reach zone {progress.place} with the {name} item", failing_to_connect(name))
    if progress.state is ProgressState.WRITTEN and owns:
        yield step(f"gets the answer to the {name} item", receiving_value(name))
        yield step(f"gives up on the {name} item", giving_up(name))
    if progress.state is ProgressState.CONFIRMED and owns and progress.never_ran:
        yield step(f"drains, and transfers the {name} item", transferring(name))
    if progress.state is ProgressState.VALUE_PERSISTED and (owns or not world.model.persists_before_answer):
        yield step(f"answers the {name} item", answering_client(name))


def may_write(world: WorkWorld, name: str, progress: Progress, owns: bool) -> bool:
    """Return whether a gateway may write an item to its zone."""
    begins_first = world.model.begins_before_write
    is_unreported = not begins_first and progress.state is ProgressState.REPORTED and not progress.fence
    is_due = progress.state is ProgressState.CONFIRMED or is_unreported
    writes = len(world.zones_run.get(name, ()))
    return is_due and (owns or not begins_first) and writes < MAX_WRITES


def message_transitions(world: WorkWorld, message: WorkRequest | WorkResponse) -> Iterator[WorkTransition]:
    """Yield what may come of a message that was sent."""
    who = f"gateway {message.gateway} (incarnation {message.incarnation})"
    if isinstance(message, WorkRequest):
        yield transition(world, f"request {message.serial} of {who} arrives", arriving(message))
        return
    for number, gateway in enumerate(world.gateways):
        if gateway.is_alive and is_awaited(gateway, message):
            event = f"response {message.serial} reaches {who}"
            yield transition(world, event, responding(number, message))


def is_awaited(gateway: GatewayProcess, message: WorkResponse) -> bool:
    """Return whether a response is to the request of a gateway's that is in flight."""
    holder = gateway.holder
    is_addressed = (holder.gateway, holder.incarnation) == (message.gateway, message.incarnation)
    in_flight = holder.in_flight
    return is_addressed and in_flight is not None and in_flight.serial == message.serial


# --- changes of the world ---


def passing(wait_ms: int) -> Change:
    """Time passes."""

    def change(world: WorkWorld) -> None:
        world.now_ms += wait_ms

    return change


def transfer_lost_items(world: WorkWorld) -> None:
    """The lease service looks for items that have lost their owners."""
    world.journal += world.state.transfer_lost_items(world.now_ms)


def requesting(number: int, name: str) -> Change:
    """A client requests an item from a gateway."""
    return lambda world: request_item(world.gateways[number], name, number)


def arriving(request: WorkRequest) -> Change:
    """A request arrives at the lease service, and is answered."""

    def change(world: WorkWorld) -> None:
        response = serve(world, request)
        if response not in world.messages:
            world.messages = (*world.messages, response)

    return change


def responding(number: int, response: WorkResponse) -> Change:
    """A response reaches its gateway."""

    def change(world: WorkWorld) -> None:
        gateway = world.gateways[number]
        drop_expired(world, gateway)
        apply_response(world, gateway, response)

    return change


def recover(world: WorkWorld) -> None:
    """A process begins with the journal of the one before it."""
    fresh = type(world.state)(FIRST_FENCE, LEASE_MS)
    for record in world.journal:
        fresh.restore(record)
    fresh.finish_restore(world.now_ms)
    world.state = fresh


# --- changes that a gateway makes ---


def send_request(world: WorkWorld, gateway: GatewayProcess) -> None:
    """A gateway sends its next request."""
    drop_expired(world, gateway)
    gateway.holder.requeue_unanswered()
    world.messages = (*world.messages, gateway.holder.next_request(world.now_ms))


def exchange(world: WorkWorld, gateway: GatewayProcess) -> None:
    """A request and its response with nothing between: three events that mostly come together."""
    drop_expired(world, gateway)
    gateway.holder.requeue_unanswered()
    apply_response(world, gateway, serve(world, gateway.holder.next_request(world.now_ms)))


def restart(world: WorkWorld, gateway: GatewayProcess) -> None:
    """A gateway is killed, and its next incarnation starts."""
    gateway.is_alive = False
    before = gateway.holder
    holder = world.model.holder_type(before.gateway, before.incarnation + 1)
    world.gateways.append(GatewayProcess(holder))


# --- changes that a gateway makes to one item ---


def writing(name: str) -> ProgressChange:
    """A gateway writes an item to the zone that it is bound to, where it runs."""

    def change(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.state = ProgressState.WRITTEN
        progress.never_ran = False
        world.zones_run[name] = (*world.zones_run.get(name, ()), progress.place)

    return change


def failing_to_connect(name: str) -> ProgressChange:
    """A gateway cannot reach a zone: it tries the other one if the item has never run."""

    def change(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        other = next(zone for zone in ZONES if zone != progress.place)
        place = other if progress.never_ran else progress.place
        report_attempt(gateway, name, progress, place, progress.never_ran)

    return change


def receiving_value(name: str) -> ProgressChange:
    """The answer to an item arrives, and is sent to be kept."""

    def change(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        is_persisted_first = world.model.persists_before_answer
        progress.state = ProgressState.VALUE_ARRIVED if is_persisted_first else ProgressState.VALUE_PERSISTED
        gateway.holder.enqueue(CompleteWork(name=name, fence=progress.fence, value=b"v"))

    return change


def giving_up(name: str) -> ProgressChange:
    """A gateway waits for an item no longer."""

    def change(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.state = ProgressState.OVER
        gateway.holder.release(name)

    return change


def transferring(name: str) -> ProgressChange:
    """A gateway that drains transfers an item that has never run."""

    def change(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.state = ProgressState.OVER
        gateway.holder.release(name, transfer=True, never_ran=True)

    return change


def answering_client(name: str) -> ProgressChange:
    """A gateway answers the client of an item."""

    def change(world: WorkWorld, gateway: GatewayProcess, progress: Progress) -> None:
        progress.state = ProgressState.OVER
        world.note_answered(name)

    return change
