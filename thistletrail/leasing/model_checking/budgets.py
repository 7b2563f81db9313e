"""The check of fleet-wide budgets: all near states, and random walks to far ones."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import replace

from thistletrail.leasing.model_checking.budget_faults import BudgetModel
from thistletrail.leasing.model_checking.budget_properties import violation
from thistletrail.leasing.model_checking.budget_transitions import BudgetTransition, EventKind, transitions
from thistletrail.leasing.model_checking.budget_world import BudgetWorld, first_world
from thistletrail.leasing.model_checking.search import CheckResult, Walks, search_all, walk_randomly

# Events without which no fault of the fencing numbers shows.
MESSAGE_EVENTS = frozenset((EventKind.SEND_REQUEST, EventKind.REQUEST_ARRIVES, EventKind.RESPONSE_ARRIVES))
BUDGETS_WITH_COUNT = 2


def check_near_states(
    model: type[BudgetModel], gateways: int, budgets: int, depth: int, is_first_holding_all: bool
) -> CheckResult:
    """Look at all states that so many events lead to, the nearest first."""
    first = first_world(model, gateways, budgets, is_first_holding_all)
    return search_all(first, transitions, violation, depth)


def check_walks(
    model: type[BudgetModel],
    gateways: int,
    budgets: int,
    walks: Walks,
    kinds: Collection[EventKind] = (),
) -> CheckResult:
    """Look at random walks, by turns from both first states; with `kinds`, by such events alone.

    What takes many requests is hardly ever met among all other events.
    """

    def first(number: int) -> BudgetWorld:
        return first_world(model, gateways, budgets, number % 2 == 0)

    def chosen(world: BudgetWorld) -> Iterator[BudgetTransition]:
        return (step for step in transitions(world) if not kinds or step.kind in kinds)

    return walk_randomly(first, chosen, violation, walks)


def check_all_walks(model: type[BudgetModel], gateways: int, budgets: int, walks: Walks) -> CheckResult:
    """Look at walks by all events, as many by messages alone, and as many by messages and openings."""
    states = 0
    for count, kinds in (
        (budgets, frozenset[EventKind]()),
        (budgets, MESSAGE_EVENTS),
        (BUDGETS_WITH_COUNT, MESSAGE_EVENTS | {EventKind.OPEN}),
    ):
        result = check_walks(model, gateways, count, walks, kinds)
        states += result.states
        if result.violation:
            break
    return replace(result, states=states)
