"""The check of work leases: an exhaustive search of near states, and random walks to distant ones."""

from __future__ import annotations

from thistletrail.leasing.model_checking.search import (
    CheckResult,
    Walks,
    search_breadth_first,
    walk_randomly,
)
from thistletrail.leasing.model_checking.work_faults import WorkModel
from thistletrail.leasing.model_checking.work_properties import find_violation
from thistletrail.leasing.model_checking.work_transitions import transitions
from thistletrail.leasing.model_checking.work_world import initial_world


def check_near_states(
    model: type[WorkModel], gateways: int, depth: int, first_gateway_holds_all: bool
) -> CheckResult:
    """Check all states within `depth` events of the initial one, nearest first."""
    initial = initial_world(model, gateways, first_gateway_holds_all)
    return search_breadth_first(initial, transitions, find_violation, depth)


def check_walks(model: type[WorkModel], gateways: int, walks: Walks) -> CheckResult:
    """Check random walks, alternately from each of the two initial states."""
    return walk_randomly(
        lambda walk_number: initial_world(model, gateways, walk_number % 2 == 0),
        transitions,
        find_violation,
        walks,
    )
