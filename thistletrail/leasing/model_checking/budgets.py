"""The check of fleet-wide budgets: an exhaustive search of near states, and random walks to distant ones."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import replace

from thistletrail.leasing.model_checking.budget_faults import BudgetModel
from thistletrail.leasing.model_checking.budget_properties import find_violation
from thistletrail.leasing.model_checking.budget_transitions import BudgetTransition, EventKind, transitions
from thistletrail.leasing.model_checking.budget_world import BudgetWorld, initial_world
from thistletrail.leasing.model_checking.search import (
    CheckResult,
    Walks,
    search_breadth_first,
    walk_randomly,
)

# The events that every violation by a fault of the fencing numbers needs.
MESSAGE_EVENTS = frozenset((EventKind.SEND_REQUEST, EventKind.REQUEST_ARRIVES, EventKind.RESPONSE_ARRIVES))
BUDGETS_WITH_COUNT = 2  # the smallest number of budgets that includes the count, which comes after the rate


def check_near_states(
    model: type[BudgetModel], gateways: int, budgets: int, depth: int, first_gateway_holds_all: bool
) -> CheckResult:
    """Check all states within `depth` events of the initial one, nearest first."""
    initial = initial_world(model, gateways, budgets, first_gateway_holds_all)
    return search_breadth_first(initial, transitions, find_violation, depth)


def check_walks(
    model: type[BudgetModel],
    gateways: int,
    budgets: int,
    walks: Walks,
    kinds: Collection[EventKind] = (),
) -> CheckResult:
    """Check random walks, alternately from each of the two initial states.

    If `kinds` is not empty, only events of these kinds occur: among all events, a walk rarely reaches a state
    that takes many requests.
    """

    def initial_of_walk(walk_number: int) -> BudgetWorld:
        return initial_world(model, gateways, budgets, walk_number % 2 == 0)

    def transitions_of_kinds(world: BudgetWorld) -> Iterator[BudgetTransition]:
        return (transition for transition in transitions(world) if not kinds or transition.kind in kinds)

    return walk_randomly(initial_of_walk, transitions_of_kinds, find_violation, walks)


def check_all_walks(model: type[BudgetModel], gateways: int, budgets: int, walks: Walks) -> CheckResult:
    """Check walks of all events, as many of message events only, and as many of messages and openings.

    It stops after the walks that find a violation. The result's number of states is the sum.
    """
    states = 0
    for budget_count, kinds in (
        (budgets, frozenset[EventKind]()),
        (budgets, MESSAGE_EVENTS),
        (BUDGETS_WITH_COUNT, MESSAGE_EVENTS | {EventKind.OPEN}),
    ):
        result = check_walks(model, gateways, budget_count, walks, kinds)
        states += result.states
        if result.violation:
            break
    return replace(result, states=states)
