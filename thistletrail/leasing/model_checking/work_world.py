"""One state of the model of work leases: time, the lease service with its journal, gateways and messages.

There are two zones with a server each, and two work items: one keyed, one that may not be repeated.
"""

from __future__ import annotations

import copy
import enum
from collections.abc import Hashable
from dataclasses import dataclass, field, replace

from thistletrail.leasing.messages import (
    AttemptWork,
    BeginWork,
    CompleteWork,
    OperationResult,
    OperationStatus,
    WorkEffect,
    WorkOperation,
    WorkRequest,
    WorkResponse,
)
from thistletrail.leasing.model_checking.work_faults import LEASE_MS, WorkModel
from thistletrail.leasing.work_holder import WorkHolder
from thistletrail.leasing.work_records import WorkRecord
from thistletrail.leasing.work_state import WorkState

START_MS = 100_000
FIRST_FENCE = 1000
LEFT_MS = 6000  # for which each item is wanted
WINDOW_MS = 20_000
ZONES = ("east", "west")
KEYED = "keyed"
UNSAFE = "unsafe"
EFFECTS = {KEYED: WorkEffect.KEYED, UNSAFE: WorkEffect.UNSAFE}  # by name of the item


class ProgressState(enum.Enum):
    """How far a gateway is with an item."""

    REPORTED = 1  # an attempt is reported to the lease service, and not yet confirmed
    CONFIRMED = 2  # the attempt may be written
    WRITTEN = 3
    VALUE_ARRIVED = 4  # and is not yet kept by the lease service
    VALUE_PERSISTED = 5  # the client may be answered
    OVER = 6


@dataclass
class Progress:
    """What a gateway does with one item; `never_ran` says that no attempt of it has run."""

    fence: int = 0
    place: str = ""
    attempt_number: int = 0
    state: ProgressState = ProgressState.REPORTED
    never_ran: bool = True


@dataclass
class GatewayProcess:
    """One incarnation of a gateway."""

    holder: WorkHolder
    is_alive: bool = True
    progress_of: dict[str, Progress] = field(default_factory=dict)

    @property
    def zone(self) -> str:
        """The zone that it sends an item to first."""
        return ZONES[self.holder.gateway % 2]

    @property
    def label(self) -> str:
        """What events call it."""
        return f"gateway {self.holder.gateway} (incarnation {self.holder.incarnation})"

    def copy(self) -> GatewayProcess:
        """Return a copy that shares nothing that changes."""
        holder = copy.copy(self.holder)
        holder.fences = dict(holder.fences)
        holder.queue = list(holder.queue)
        holder.accepted_fences = list(holder.accepted_fences)
        holder.withdrawn = set(holder.withdrawn)
        progress_of = {name: copy.copy(progress) for name, progress in self.progress_of.items()}
        return GatewayProcess(holder, self.is_alive, progress_of)


@dataclass
class WorkWorld:
    """One state."""

    model: type[WorkModel]
    now_ms: int
    state: WorkState
    journal: list[WorkRecord]
    gateways: list[GatewayProcess]
    messages: tuple[WorkRequest | WorkResponse, ...] = ()
    zones_run: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by item: of each execution
    answered: tuple[str, ...] = ()  # items whose client has the outcome

    def copy(self) -> WorkWorld:
        """Return a copy that shares nothing that changes."""
        return replace(
            self,
            state=copy_state(self.state),
            journal=list(self.journal),
            gateways=[gateway.copy() for gateway in self.gateways],
            zones_run=dict(self.zones_run),
        )

    def key(self) -> Hashable:
        """Return a value that is equal for equal states."""
        membership = self.state.membership
        gateways = [
            (gateway.is_alive, vars(gateway.holder), sorted(gateway.progress_of.items()))
            for gateway in self.gateways
        ]
        return (
            self.now_ms,
            tuple(sorted(self.zones_run.items())),
            self.answered,
            frozenset(map(repr, self.messages)),
            repr(sorted(self.state.store.items.items())),
            repr(sorted(membership.members.items())),
            repr(sorted(membership.latest_incarnations.items())),
            repr(gateways),
        )

    def note_answered(self, name: str) -> None:
        """A client has the outcome of an item."""
        self.answered = tuple(sorted({*self.answered, name}))


def copy_state(state: WorkState) -> WorkState:
    """Return a copy of the lease service's state."""
    copied = copy.copy(state)
    copied.store = copy.copy(state.store)
    copied.store.items = {name: copy.copy(item) for name, item in state.store.items.items()}
    copied.store.item_count_by_customer = dict(state.store.item_count_by_customer)
    copied.membership = copy.copy(state.membership)
    copied.membership.members = {
        name: replace(member, unacknowledged=dict(member.unacknowledged))
        for name, member in state.membership.members.items()
    }
    copied.membership.latest_incarnations = dict(state.membership.latest_incarnations)
    copied.counters = replace(state.counters, ended=state.counters.ended.copy())
    copied.records = []
    return copied


def first_world(model: type[WorkModel], gateways: int, is_first_holding_all: bool) -> WorkWorld:
    """Return a first state: all gateways are known, and nobody owns anything, or the first owns all."""
    state = model.state_type(FIRST_FENCE, LEASE_MS)
    processes = [GatewayProcess(model.holder_type(gateway, 1)) for gateway in range(gateways)]
    world = WorkWorld(model, START_MS, state, [], processes)
    if is_first_holding_all:
        for name in EFFECTS:
            request_item(processes[0], name, 0)
    for gateway in processes:
        apply_response(world, gateway, serve(world, gateway.holder.next_request(world.now_ms)))
    return world


def request_item(gateway: GatewayProcess, name: str, request_number: int) -> None:
    """A client requests an item from a gateway."""
    place = gateway.zone
    gateway.progress_of[name] = Progress(place=place)
    gateway.holder.enqueue(
        BeginWork(
            name=name,
            request_id=f"{name}/{request_number}",
            digest="d",
            customer="c",
            effect=EFFECTS[name],
            left_ms=LEFT_MS,
            window_ms=WINDOW_MS,
            request=b"r",
            server=f"s-{place}",
            place=place,
        )
    )


def serve(world: WorkWorld, request: WorkRequest) -> WorkResponse:
    """The lease service handles a request, and journals what it decides."""
    decision = world.state.handle(request, world.now_ms)
    world.journal += decision.records
    return decision.response


def apply_response(world: WorkWorld, gateway: GatewayProcess, response: WorkResponse) -> None:
    """A response reaches its gateway."""
    applied = gateway.holder.on_response(response, world.now_ms)
    for one in applied.operations:
        progress = gateway.progress_of.get(one.operation.name)
        if progress is not None:
            apply_result(world, gateway, progress, one.operation, one.result)
    for item in applied.transferred:
        progress = Progress(fence=item.fence, place=item.place or gateway.zone, never_ran=not item.place)
        gateway.progress_of[item.name] = progress
        report_attempt(gateway, item.name, progress, progress.place, False)


def apply_result(
    world: WorkWorld,
    gateway: GatewayProcess,
    progress: Progress,
    operation: WorkOperation,
    result: OperationResult,
) -> None:
    """A gateway learns what became of one operation."""
    is_persisted = result.status == OperationStatus.PERSISTED
    if isinstance(operation, BeginWork):
        if progress.state is ProgressState.REPORTED:
            apply_begin_result(world, gateway, progress, operation, result)
    elif isinstance(operation, AttemptWork):
        is_latest = operation.number == progress.attempt_number
        if is_latest and progress.state is ProgressState.REPORTED and is_persisted:
            progress.state = ProgressState.CONFIRMED
    elif (
        isinstance(operation, CompleteWork) and progress.state is ProgressState.VALUE_ARRIVED and is_persisted
    ):
        progress.state = ProgressState.VALUE_PERSISTED
    fence = 0 if isinstance(operation, BeginWork) else operation.fence
    if result.status == OperationStatus.LOST and progress.fence == fence:
        progress.state = ProgressState.OVER


def apply_begin_result(
    world: WorkWorld,
    gateway: GatewayProcess,
    progress: Progress,
    operation: BeginWork,
    result: OperationResult,
) -> None:
    """A gateway learns whether an item is its own."""
    if result.status == OperationStatus.PERSISTED:
        progress.fence = result.fence
        progress.state = ProgressState.CONFIRMED
        if result.place:
            progress.never_ran = False
            if result.place != progress.place:  # it may have run in the other zone: it goes on there
                report_attempt(gateway, operation.name, progress, result.place, False)
    elif result.status == OperationStatus.ELSEWHERE:
        gateway.holder.enqueue(operation)  # it is requested again
    else:
        progress.state = ProgressState.OVER
        if result.status == OperationStatus.ANSWERED:
            world.note_answered(operation.name)


def report_attempt(
    gateway: GatewayProcess, name: str, progress: Progress, place: str, earlier_never_ran: bool
) -> None:
    """A gateway reports another attempt before it is made."""
    progress.attempt_number += 1
    progress.place = place
    progress.state = ProgressState.REPORTED
    gateway.holder.enqueue(
        AttemptWork(
            name=name,
            fence=progress.fence,
            number=progress.attempt_number,
            server=f"s-{place}",
            place=place,
            earlier_never_ran=earlier_never_ran,
        )
    )


def drop_expired(world: WorkWorld, gateway: GatewayProcess) -> None:
    """A gateway notices what it has lost as its lease has ended."""
    for name in gateway.holder.drop_expired(world.now_ms):
        gateway.progress_of[name].state = ProgressState.OVER
