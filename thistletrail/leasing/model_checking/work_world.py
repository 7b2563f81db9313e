"""One state of the model of work leases: time, the lease service with its journal, gateways and messages.

There are two zones with one server each, and two work items: one keyed, and one unsafe, which must not run
twice.
"""

from __future__ import annotations

import copy
import enum
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from thistletrail.leasing.messages import (
    AttemptWork,
    BeginWork,
    CompleteWork,
    OperationResult,
    OperationStatus,
    ReleaseWork,
    WorkEffect,
    WorkOperation,
    WorkRequest,
    WorkResponse,
)
from thistletrail.leasing.model_checking.work_faults import LEASE_MS, WorkModel
from thistletrail.leasing.work_holder import AppliedOperation, WorkHolder
from thistletrail.leasing.work_records import WorkBegan, WorkOwned, WorkRecord
from thistletrail.leasing.work_state import WorkState

START_MS = 100_000
FIRST_FENCE = 1000
REMAINING_MS = 6000  # how long the result of an item is wanted
IDEMPOTENCY_WINDOW_MS = 20_000
ZONES = ("east", "west")
KEYED_ITEM = "keyed"
UNSAFE_ITEM = "unsafe"
EFFECT_BY_ITEM = {KEYED_ITEM: WorkEffect.KEYED, UNSAFE_ITEM: WorkEffect.UNSAFE}


class ProgressState(enum.Enum):
    """How far a gateway has got with an item."""

    REPORTED = 1  # an attempt is reported to the lease service, which has not confirmed it yet
    CONFIRMED = 2  # the attempt may be sent to a server
    WRITTEN = 3
    VALUE_ARRIVED = 4  # the lease service has not persisted the value yet
    VALUE_PERSISTED = 5  # the client may be answered
    WITHDRAWING = 6  # the client is refused once the lease service has confirmed the withdrawal
    OVER = 7


@dataclass
class Progress:
    """A gateway's progress with one item.

    Attributes:
        fence: The fencing token of the item; 0 if the gateway does not own it.
        place: The zone of the latest attempt.
        attempt_number: Number of the latest attempt under the fence.
        state: How far the gateway has got.
        never_ran: Whether no attempt of the item can have run.
        begin: The `BeginWork` of the gateway's own client; None if the item was transferred.
        may_run_elsewhere: Whether another gateway may run the item for the gateway's own client.
    """

    fence: int = 0
    place: str = ""
    attempt_number: int = 0
    state: ProgressState = ProgressState.REPORTED
    never_ran: bool = True
    begin: BeginWork | None = None
    may_run_elsewhere: bool = False


@dataclass
class GatewayProcess:
    """One incarnation of a gateway."""

    holder: WorkHolder
    is_alive: bool = True
    progress_by_item: dict[str, Progress] = field(default_factory=dict)

    @property
    def zone(self) -> str:
        """The zone to which the gateway sends an item first."""
        return ZONES[self.holder.gateway % 2]

    @property
    def label(self) -> str:
        """The name of this incarnation in the descriptions of events."""
        return f"gateway {self.holder.gateway} (incarnation {self.holder.incarnation})"

    def copy(self) -> GatewayProcess:
        """Return a copy that shares no mutable object."""
        holder = copy.copy(self.holder)
        holder.fences = dict(holder.fences)
        holder.queue = list(holder.queue)
        holder.accepted_fences = list(holder.accepted_fences)
        holder.withdrawn = list(holder.withdrawn)
        holder.unresolved = list(holder.unresolved)
        holder.releasing = set(holder.releasing)
        progress_by_item = {name: copy.copy(progress) for name, progress in self.progress_by_item.items()}
        return GatewayProcess(holder, self.is_alive, progress_by_item)


@dataclass
class WorkWorld:
    """One state of the model.

    Attributes:
        model: The state machines that are checked.
        now_ms: The present time.
        service: The lease service's state machine.
        journal: The records that the lease service has written.
        gateways: All incarnations of gateways that were ever started.
        messages: All messages that were sent; each may arrive any number of times.
        execution_zones: The zone of each execution of an item, by the item's name.
        answered_items: The names of the items whose client has received the outcome, sorted.
        refused_requests: The ids of the requests whose client was told that they have no effect, sorted.
        executed_requests: The ids of the requests for which an item has run, sorted.
    """

    model: type[WorkModel]
    now_ms: int
    service: WorkState
    journal: list[WorkRecord]
    gateways: list[GatewayProcess]
    messages: tuple[WorkRequest | WorkResponse, ...] = ()
    execution_zones: dict[str, tuple[str, ...]] = field(default_factory=dict)
    answered_items: tuple[str, ...] = ()
    refused_requests: tuple[str, ...] = ()
    executed_requests: tuple[str, ...] = ()

    def copy(self) -> WorkWorld:
        """Return a copy that shares no mutable object."""
        return replace(
            self,
            service=copy_service(self.service),
            journal=list(self.journal),
            gateways=[gateway.copy() for gateway in self.gateways],
            execution_zones=dict(self.execution_zones),
        )

    def key(self) -> Hashable:
        """Return a value that is equal for equal states."""
        membership = self.service.membership
        gateways = [
            (gateway.is_alive, vars(gateway.holder), sorted(gateway.progress_by_item.items()))
            for gateway in self.gateways
        ]
        return (
            self.now_ms,
            tuple(sorted(self.execution_zones.items())),
            self.answered_items,
            self.refused_requests,
            self.executed_requests,
            frozenset(map(repr, self.messages)),
            repr(sorted(self.service.store.items.items())),
            repr(sorted(membership.members.items())),
            repr(sorted(membership.latest_incarnations.items())),
            repr(sorted(membership.latest_serials.items())),
            repr(gateways),
        )

    def record_answered(self, name: str) -> None:
        """Record that a client has received the outcome of an item."""
        self.answered_items = tuple(sorted({*self.answered_items, name}))

    def record_refused(self, request_id: str) -> None:
        """Record that a client was told that its request has no effect."""
        self.refused_requests = tuple(sorted({*self.refused_requests, request_id}))

    def record_execution(self, name: str, progress: Progress) -> None:
        """Record that an item runs in the zone of a gateway's attempt."""
        self.execution_zones[name] = (*self.execution_zones.get(name, ()), progress.place)
        request_id = self.request_behind(name, progress.fence)
        self.executed_requests = tuple(sorted({*self.executed_requests, request_id}))

    def request_behind(self, name: str, fence: int) -> str:
        """Return the client's request for which an item is owned under a fencing token; empty if none.

        An item that is transferred is still owned for the request of its earlier owner.
        """
        request_id = ""
        for record in self.journal:
            if record.name != name or not isinstance(record, WorkBegan | WorkOwned):
                continue
            is_free = isinstance(record, WorkOwned) and not (record.owner or record.awaits_taker)
            request_id = "" if is_free else record.request_id or request_id
            if record.fence == fence:
                return request_id
        return ""


def copy_service(service: WorkState) -> WorkState:
    """Return a copy of the lease service's state machine."""
    copied = copy.copy(service)
    copied.store = copy.copy(service.store)
    copied.store.items = {name: copy.copy(item) for name, item in service.store.items.items()}
    copied.store.item_count_by_customer = dict(service.store.item_count_by_customer)
    copied.membership = copy.copy(service.membership)
    copied.membership.members = {
        name: replace(member, unacknowledged=dict(member.unacknowledged))
        for name, member in service.membership.members.items()
    }
    copied.membership.latest_incarnations = dict(service.membership.latest_incarnations)
    copied.membership.latest_serials = dict(service.membership.latest_serials)
    copied.counters = replace(service.counters, ended=service.counters.ended.copy())
    copied.records = []
    return copied


def initial_world(model: type[WorkModel], gateways: int, first_gateway_holds_all: bool) -> WorkWorld:
    """Return an initial state: all gateways have leases, and the first one owns all items, or none does."""
    service = model.state_type(FIRST_FENCE, LEASE_MS)
    processes = [GatewayProcess(model.holder_type(gateway, 1)) for gateway in range(gateways)]
    world = WorkWorld(model, START_MS, service, [], processes)
    if first_gateway_holds_all:
        for name in EFFECT_BY_ITEM:
            request_item(processes[0], name, 0)
    for gateway in processes:
        apply_response(world, gateway, serve(world, gateway.holder.next_request(world.now_ms)))
    return world


def request_item(gateway: GatewayProcess, name: str, request_number: int) -> None:
    """Request an item from a gateway, as a client does."""
    place = gateway.zone
    begin = BeginWork(
        name=name,
        request_id=f"{name}/{request_number}",
        digest="d",
        customer="c",
        effect=EFFECT_BY_ITEM[name],
        left_ms=REMAINING_MS,
        window_ms=IDEMPOTENCY_WINDOW_MS,
        request=b"r",
        server=f"s-{place}",
        place=place,
    )
    gateway.progress_by_item[name] = Progress(place=place, begin=begin)
    gateway.holder.enqueue(begin)


def serve(world: WorkWorld, request: WorkRequest) -> WorkResponse:
    """Return the lease service's response to a request, and journal its decision."""
    decision = world.service.handle(request, world.now_ms)
    world.journal += decision.records
    return decision.response


def apply_response(world: WorkWorld, gateway: GatewayProcess, response: WorkResponse) -> None:
    """Apply a response at its gateway."""
    applied = gateway.holder.on_response(response, world.now_ms)
    apply_results(world, gateway, applied.operations)
    for item in applied.transferred:
        progress = Progress(fence=item.fence, place=item.place or gateway.zone, never_ran=not item.place)
        gateway.progress_by_item[item.name] = progress
        report_attempt(gateway, item.name, progress, progress.place, False)


def apply_results(world: WorkWorld, gateway: GatewayProcess, operations: Iterable[AppliedOperation]) -> None:
    """Apply the results of operations at their gateway."""
    for entry in operations:
        progress = gateway.progress_by_item.get(entry.operation.name)
        if progress is None:
            continue
        if isinstance(entry.operation, BeginWork):
            progress.may_run_elsewhere |= entry.may_run_elsewhere
        if progress.state is ProgressState.WITHDRAWING:
            apply_withdrawal_result(world, progress, entry.operation, entry.result)
        elif not entry.is_withdrawn:
            apply_result(world, gateway, progress, entry.operation, entry.result)


def apply_withdrawal_result(
    world: WorkWorld, progress: Progress, operation: WorkOperation, result: OperationResult
) -> None:
    """Apply a result while the client's refusal waits: refuse it, wait on, or answer that it failed."""
    assert progress.begin is not None
    is_persisted = result.status is OperationStatus.PERSISTED
    is_begin = isinstance(operation, BeginWork)
    is_release = isinstance(operation, ReleaseWork) and operation.fence == progress.fence
    is_lost = result.status is OperationStatus.LOST or progress.may_run_elsewhere
    if is_lost and (is_begin or is_release):
        progress.state = ProgressState.OVER
    elif is_begin and is_persisted:
        progress.fence = result.fence
    elif is_begin or is_release:
        progress.state = ProgressState.OVER
        world.record_refused(progress.begin.request_id)


def apply_result(
    world: WorkWorld,
    gateway: GatewayProcess,
    progress: Progress,
    operation: WorkOperation,
    result: OperationResult,
) -> None:
    """Apply the result of one operation at its gateway."""
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
    """Apply the result of a begin at its gateway: the gateway owns the item, asks again, or is done."""
    if result.status == OperationStatus.PERSISTED:
        progress.fence = result.fence
        progress.state = ProgressState.CONFIRMED
        if result.place:
            progress.never_ran = False
            if result.place != progress.place:  # it may have run in the other zone: continue there
                report_attempt(gateway, operation.name, progress, result.place, False)
    elif result.status == OperationStatus.ELSEWHERE:
        gateway.holder.enqueue(operation)  # ask again
    else:
        progress.state = ProgressState.OVER
        if result.status == OperationStatus.ANSWERED:
            world.record_answered(operation.name)
        elif result.status == OperationStatus.FULL and not progress.may_run_elsewhere:
            world.record_refused(operation.request_id)  # the gateway may refuse it at once


def report_attempt(
    gateway: GatewayProcess, name: str, progress: Progress, place: str, earlier_never_ran: bool
) -> None:
    """Report another attempt to the lease service, before the gateway makes it."""
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
    """Mark the items as over that a gateway has lost because its lease has ended."""
    for name in gateway.holder.drop_expired(world.now_ms):
        gateway.progress_by_item[name].state = ProgressState.OVER
