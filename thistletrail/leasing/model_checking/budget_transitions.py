"""The events of the model of fleet-wide budgets.

Time goes on by a second or by a lease; a holder sends a request, spends what it has, opens and closes; a
message arrives; a gateway starts again, beside its process before, which may be paused; the lease service is
killed and comes back with its journal, is lost with it and another begins, or stands still in the middle of a
request while another takes over (leadership.py), and then goes on.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from thistletrail.leasing.budget_holder import BudgetHolder
from thistletrail.leasing.budget_state import THOUSANDTHS
from thistletrail.leasing.messages import RenewRequest, RenewResponse
from thistletrail.leasing.model_checking.budget_faults import LEASE_MS
from thistletrail.leasing.model_checking.budget_world import (
    COUNT_NAME,
    FENCES_BETWEEN_HISTORIES,
    RATE_NAME,
    BudgetWorld,
    copy_state,
    start_holder,
)
from thistletrail.leasing.model_checking.search import Transition

SECOND_MS = 1000
MAX_REQUESTS = 3  # of each holder
MAX_INCARNATIONS = 2  # of each gateway

Change = Callable[[BudgetWorld], None]


class EventKind(enum.Enum):
    """What an event is about."""

    TIME = enum.auto()
    SEND_REQUEST = enum.auto()
    SPEND = enum.auto()
    OPEN = enum.auto()
    CLOSE = enum.auto()
    REQUEST_ARRIVES = enum.auto()
    TAKEOVER = enum.auto()
    RESPONSE_ARRIVES = enum.auto()
    RESTART_GATEWAY = enum.auto()
    RECOVER_SERVICE = enum.auto()
    LOSE_SERVICE = enum.auto()


@dataclass(frozen=True, slots=True)
class BudgetTransition(Transition[BudgetWorld]):
    """An event with its kind."""

    kind: EventKind


def transitions(world: BudgetWorld) -> Iterator[BudgetTransition]:
    """Yield every event that may come next."""
    for wait_ms in (SECOND_MS, LEASE_MS):
        yield transition(world, EventKind.TIME, f"{wait_ms / 1000:g} s pass", passing(wait_ms))
    for number in range(len(world.holders)):
        yield from holder_transitions(world, number)
    for message in dict.fromkeys(world.messages):
        yield from message_transitions(world, message)
    for gateway in range(world.gateways):
        if sum(holder.gateway == gateway for holder in world.holders) < MAX_INCARNATIONS:
            event = f"gateway {gateway} starts again"
            yield transition(world, EventKind.RESTART_GATEWAY, event, starting(gateway))
    yield transition(world, EventKind.RECOVER_SERVICE, "the lease service is killed and comes back", recover)
    if not world.losses:
        event = "the lease service is lost, and another begins"
        yield transition(world, EventKind.LOSE_SERVICE, event, lose)


def transition(world: BudgetWorld, kind: EventKind, event: str, change: Change) -> BudgetTransition:
    """Return an event that makes a change to a copy of the state."""

    def apply() -> BudgetWorld:
        changed = world.copy()
        change(changed)
        return changed

    return BudgetTransition(event, apply, kind)


def holder_transitions(world: BudgetWorld, number: int) -> Iterator[BudgetTransition]:
    """Yield what a holder may do."""
    holder = world.holders[number]
    who = f"gateway {holder.gateway} (incarnation {holder.incarnation})"
    if world.requests_of.get(number, 0) < MAX_REQUESTS:
        yield transition(world, EventKind.SEND_REQUEST, f"{who} sends a request", sending(number))
    if any(lease.level_thousandths >= THOUSANDTHS for lease in holder.leases.values()):
        yield transition(world, EventKind.SPEND, f"{who} spends", spending(number))
    count = holder.leases.get(COUNT_NAME)
    if count is None:
        return
    if holder.usable_share(COUNT_NAME, world.now_ms) > count.in_use:
        yield transition(world, EventKind.OPEN, f"{who} opens all it may", opening(number))
    if count.in_use:
        yield transition(world, EventKind.CLOSE, f"{who} closes one", closing(number))


def message_transitions(
    world: BudgetWorld, message: RenewRequest | RenewResponse
) -> Iterator[BudgetTransition]:
    """Yield what may come of a message that was sent."""
    who = f"gateway {message.gateway} (incarnation {message.incarnation})"
    if isinstance(message, RenewRequest):
        event = f"request {message.serial} of {who} arrives"
        yield transition(world, EventKind.REQUEST_ARRIVES, event, arriving(message))
        if not world.was_taken_over:
            event = f"another lease service takes over in the middle of request {message.serial} of {who}"
            yield transition(world, EventKind.TAKEOVER, event, taking_over(message))
        return
    for number, holder in enumerate(world.holders):
        if is_awaited(holder, message):
            event = f"response {message.serial} reaches {who}"
            yield transition(world, EventKind.RESPONSE_ARRIVES, event, answering(number, message))


def is_awaited(holder: BudgetHolder, message: RenewResponse) -> bool:
    """Return whether a response is to a request of a holder's that is unanswered."""
    sender = (holder.gateway, holder.incarnation)
    return sender == (message.gateway, message.incarnation) and message.serial in holder.sent_ms


def passing(wait_ms: int) -> Change:
    """Time passes; what was opened under a lease that is over by then has ended by itself."""

    def change(world: BudgetWorld) -> None:
        world.now_ms += wait_ms
        for holder in world.holders:
            count = holder.leases.get(COUNT_NAME)
            if count is not None and count.until_ms <= world.now_ms:
                count.in_use = 0

    return change


def starting(gateway: int) -> Change:
    """A gateway starts again."""
    return lambda world: start_holder(world, gateway)


def sending(number: int) -> Change:
    """A holder sends a request for all of its budgets."""

    def change(world: BudgetWorld) -> None:
        holder = world.holders[number]
        for lease in holder.leases.values():
            lease.last_demand_ms = world.now_ms
        world.messages = (*world.messages, holder.next_request(world.now_ms))
        world.requests_of[number] = world.requests_of.get(number, 0) + 1

    return change


def spending(number: int) -> Change:
    """A holder spends all units that are in its store of the rate."""

    def change(world: BudgetWorld) -> None:
        holder = world.holders[number]
        lease = holder.leases[RATE_NAME]
        holder.refill(lease, world.now_ms)
        units = lease.level_thousandths // 1000
        if units and holder.spend(RATE_NAME, units, world.now_ms):
            world.spent_thousandths += 1000 * units

    return change


def opening(number: int) -> Change:
    """A holder opens as many as it may have open."""

    def change(world: BudgetWorld) -> None:
        holder = world.holders[number]
        holder.leases[COUNT_NAME].in_use = holder.usable_share(COUNT_NAME, world.now_ms)

    return change


def closing(number: int) -> Change:
    """A holder closes one."""

    def change(world: BudgetWorld) -> None:
        world.holders[number].leases[COUNT_NAME].in_use -= 1

    return change


def arriving(request: RenewRequest) -> Change:
    """A request arrives at the lease service, and is answered."""

    def change(world: BudgetWorld) -> None:
        response = world.state.renew(request, world.now_ms)
        if response.grants and response not in world.messages:
            world.messages = (*world.messages, response)

    return change


def answering(number: int, response: RenewResponse) -> Change:
    """A response reaches its holder."""

    def change(world: BudgetWorld) -> None:
        world.holders[number].on_response(response, world.now_ms)

    return change


def taking_over(request: RenewRequest) -> Change:
    """The leader stands still between its decision and its response, and another takes over its journal.

    As it is, the decision may be in that journal, and nobody is answered: the look for a later term comes
    last. Where the look comes first, the decision is still to be written when the leader goes on, and is
    answered then. If it is neither in the journal nor answered, the leader might as well have been killed.
    """

    def change(world: BudgetWorld) -> None:
        world.was_taken_over = True
        replaced = copy_state(world.state)
        response = replaced.renew(request, world.now_ms)
        if world.model.looks_for_later_term_last:
            world.state = replaced
        elif response.grants:
            world.messages = (*world.messages, response)
        recover(world)

    return change


def recover(world: BudgetWorld) -> None:
    """A process begins with the journal of the one before it; what was in its pool is not in there."""
    before = world.state
    fresh = type(before)(before.fence, world.now_ms, 0, LEASE_MS)
    for name, budget in before.budgets.items():
        fresh.set_limits(name, budget.limits, world.now_ms)
    for issued in before.issued_grants():
        if issued.grant.until_ms > world.now_ms:
            fresh.restore_grant(issued.budget, issued.holder, issued.grant)
    fresh.quiet_until_ms = before.quiet_until_ms
    world.state = fresh


def lose(world: BudgetWorld) -> None:
    """A process begins that knows nothing, with a history of its own."""
    before = world.state
    world.losses += 1
    first_fence = before.fence + FENCES_BETWEEN_HISTORIES
    fresh = type(before)(first_fence, world.now_ms, world.model.quiet_ms, LEASE_MS)
    for name, budget in before.budgets.items():
        fresh.set_limits(name, budget.limits, world.now_ms)
    world.state = fresh
