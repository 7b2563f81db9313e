"""The events of the model of fleet-wide budgets.

- A second or the length of a lease passes.
- A holder sends a request, spends its units, or opens and closes units of the count.
- A message arrives.
- A gateway restarts. Its earlier incarnation, which may be suspended, stays in the model.
- The lease service is killed and restarts with its journal.
- The lease service is lost with its journal, and another one begins a new history.
- The leader is suspended in the middle of a request, another process takes over (leadership.py), and then the
  suspended one resumes.
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
    FENCE_STEP_BETWEEN_HISTORIES,
    RATE_NAME,
    BudgetWorld,
    copy_service,
    start_holder,
)
from thistletrail.leasing.model_checking.search import Transition

SECOND_MS = 1000
MAX_REQUESTS_PER_HOLDER = 3
MAX_INCARNATIONS_PER_GATEWAY = 2

Action = Callable[[BudgetWorld], None]  # changes a state in place


class EventKind(enum.Enum):
    """The kind of an event."""

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
    """An event and its kind."""

    kind: EventKind


def transitions(world: BudgetWorld) -> Iterator[BudgetTransition]:
    """Yield every event that can occur in a state."""
    for wait_ms in (SECOND_MS, LEASE_MS):
        yield make_transition(
            world, EventKind.TIME, f"{wait_ms / 1000:g} s pass", advance_time_action(wait_ms)
        )
    for holder_index in range(len(world.holders)):
        yield from holder_transitions(world, holder_index)
    for message in dict.fromkeys(world.messages):
        yield from message_transitions(world, message)
    for gateway in range(world.gateways):
        if sum(holder.gateway == gateway for holder in world.holders) < MAX_INCARNATIONS_PER_GATEWAY:
            event = f"gateway {gateway} starts again"
            yield make_transition(world, EventKind.RESTART_GATEWAY, event, restart_gateway_action(gateway))
    yield make_transition(
        world, EventKind.RECOVER_SERVICE, "the lease service is killed and comes back", recover_service
    )
    if not world.journal_losses:
        event = "the lease service is lost, and another begins"
        yield make_transition(world, EventKind.LOSE_SERVICE, event, replace_lost_service)


def make_transition(world: BudgetWorld, kind: EventKind, event: str, action: Action) -> BudgetTransition:
    """Return the transition to a copy of the state on which an action was carried out."""

    def apply() -> BudgetWorld:
        successor = world.copy()
        action(successor)
        return successor

    return BudgetTransition(event, apply, kind)


def holder_transitions(world: BudgetWorld, holder_index: int) -> Iterator[BudgetTransition]:
    """Yield the events that a holder can cause."""
    holder = world.holders[holder_index]
    label = f"gateway {holder.gateway} (incarnation {holder.incarnation})"
    if world.request_count_by_holder.get(holder_index, 0) < MAX_REQUESTS_PER_HOLDER:
        yield make_transition(
            world, EventKind.SEND_REQUEST, f"{label} sends a request", send_request_action(holder_index)
        )
    if any(lease.level_thousandths >= THOUSANDTHS for lease in holder.leases.values()):
        yield make_transition(world, EventKind.SPEND, f"{label} spends", spend_action(holder_index))
    count = holder.leases.get(COUNT_NAME)
    if count is None:
        return
    if holder.usable_share(COUNT_NAME, world.now_ms) > count.in_use:
        yield make_transition(world, EventKind.OPEN, f"{label} opens all it may", open_action(holder_index))
    if count.in_use:
        yield make_transition(world, EventKind.CLOSE, f"{label} closes one", close_action(holder_index))


def message_transitions(
    world: BudgetWorld, message: RenewRequest | RenewResponse
) -> Iterator[BudgetTransition]:
    """Yield the events that a sent message can cause."""
    label = f"gateway {message.gateway} (incarnation {message.incarnation})"
    if isinstance(message, RenewRequest):
        event = f"request {message.serial} of {label} arrives"
        yield make_transition(world, EventKind.REQUEST_ARRIVES, event, deliver_request_action(message))
        if not world.was_taken_over:
            event = f"another lease service takes over in the middle of request {message.serial} of {label}"
            yield make_transition(world, EventKind.TAKEOVER, event, take_over_action(message))
        return
    for holder_index, holder in enumerate(world.holders):
        if is_awaited(holder, message):
            event = f"response {message.serial} reaches {label}"
            yield make_transition(
                world, EventKind.RESPONSE_ARRIVES, event, deliver_response_action(holder_index, message)
            )


def is_awaited(holder: BudgetHolder, message: RenewResponse) -> bool:
    """Return whether a response answers one of a holder's unanswered requests."""
    recipient = (holder.gateway, holder.incarnation)
    return recipient == (message.gateway, message.incarnation) and message.serial in holder.sent_ms


def advance_time_action(wait_ms: int) -> Action:
    """Return the action that lets time pass; what was opened under a lease has ended when the lease ends."""

    def action(world: BudgetWorld) -> None:
        world.now_ms += wait_ms
        for holder in world.holders:
            count = holder.leases.get(COUNT_NAME)
            if count is not None and count.until_ms <= world.now_ms:
                count.in_use = 0

    return action


def restart_gateway_action(gateway: int) -> Action:
    """Return the action that starts another incarnation of a gateway."""
    return lambda world: start_holder(world, gateway)


def send_request_action(holder_index: int) -> Action:
    """Return the action by which a holder sends a request for all of its budgets."""

    def action(world: BudgetWorld) -> None:
        holder = world.holders[holder_index]
        for lease in holder.leases.values():
            lease.last_demand_ms = world.now_ms
        world.messages = (*world.messages, holder.next_request(world.now_ms))
        world.request_count_by_holder[holder_index] = world.request_count_by_holder.get(holder_index, 0) + 1

    return action


def spend_action(holder_index: int) -> Action:
    """Return the action by which a holder spends all whole units in its token bucket of the rate."""

    def action(world: BudgetWorld) -> None:
        holder = world.holders[holder_index]
        lease = holder.leases[RATE_NAME]
        holder.refill(lease, world.now_ms)
        units = lease.level_thousandths // THOUSANDTHS
        if units and holder.spend(RATE_NAME, units, world.now_ms):
            world.spent_thousandths += THOUSANDTHS * units

    return action


def open_action(holder_index: int) -> Action:
    """Return the action by which a holder uses all of its share of the count."""

    def action(world: BudgetWorld) -> None:
        holder = world.holders[holder_index]
        holder.leases[COUNT_NAME].in_use = holder.usable_share(COUNT_NAME, world.now_ms)

    return action


def close_action(holder_index: int) -> Action:
    """Return the action by which a holder stops using one unit of the count."""

    def action(world: BudgetWorld) -> None:
        world.holders[holder_index].leases[COUNT_NAME].in_use -= 1

    return action


def deliver_request_action(request: RenewRequest) -> Action:
    """Return the action by which the lease service receives a request and sends its response."""

    def action(world: BudgetWorld) -> None:
        response = world.service.renew(request, world.now_ms)
        if response.grants and response not in world.messages:
            world.messages = (*world.messages, response)

    return action


def deliver_response_action(holder_index: int, response: RenewResponse) -> Action:
    """Return the action by which a holder receives a response."""

    def action(world: BudgetWorld) -> None:
        world.holders[holder_index].on_response(response, world.now_ms)

    return action


def take_over_action(request: RenewRequest) -> Action:
    """Return the action by which another process takes over from a leader suspended before its response.

    Without a fault, the leader checks for a later term last: its decision may be in the journal that the
    successor reads, and no response is sent. If the leader checks first, its decision is not in that journal,
    and the leader writes it and sends the response when it resumes. A decision that is neither in the journal
    nor sent needs no event of its own: the effect is the same as if the leader were killed.
    """

    def action(world: BudgetWorld) -> None:
        world.was_taken_over = True
        replaced = copy_service(world.service)
        response = replaced.renew(request, world.now_ms)
        if world.model.checks_later_term_last:
            world.service = replaced
        elif response.grants:
            world.messages = (*world.messages, response)
        recover_service(world)

    return action


def recover_service(world: BudgetWorld) -> None:
    """Replace the lease service by a process that restores its journal, which does not contain the pool."""
    previous = world.service
    restarted = type(previous)(previous.fence, world.now_ms, 0, LEASE_MS)
    for name, budget in previous.budgets.items():
        restarted.set_limits(name, budget.limits, world.now_ms)
    for issued in previous.issued_grants():
        if issued.grant.until_ms > world.now_ms:
            restarted.restore_grant(issued.budget, issued.holder, issued.grant)
    restarted.quiet_until_ms = previous.quiet_until_ms
    world.service = restarted


def replace_lost_service(world: BudgetWorld) -> None:
    """Replace the lease service by a process without a journal, which begins a history of its own."""
    previous = world.service
    world.journal_losses += 1
    first_fence = previous.fence + FENCE_STEP_BETWEEN_HISTORIES
    replacement = type(previous)(first_fence, world.now_ms, world.model.quiet_ms, LEASE_MS)
    for name, budget in previous.budgets.items():
        replacement.set_limits(name, budget.limits, world.now_ms)
    world.service = replacement
