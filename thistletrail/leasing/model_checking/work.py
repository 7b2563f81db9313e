"""The check of work leases: all near states, and random walks to far ones."""

from __future__ import annotations

from thistletrail.leasing.model_checking.search import CheckResult, Walks, search_all, walk_randomly
from thistletrail.leasing.model_checking.work_faults import WorkModel
from thistletrail.leasing.model_checking.work_properties import violation
from thistletrail.leasing.model_checking.work_transitions import transitions
from thistletrail.leasing.model_checking.work_world import first_world


def check_near_states(
    model: type[WorkModel], gateways: int, depth: int, is_first_holding_all: bool
) -> CheckResult:
    """Look at all states that so many events lead to, the nearest first."""
    first = first_world(model, gateways, is_first_holding_all)
    return search_all(first, transitions, violation, depth)


def check_walks(model: type[WorkModel], gateways: int, walks: Walks) -> CheckResult:
    """Look at random walks, by turns from both first states."""
    return walk_randomly(
        lambda number: first_world(model, gateways, number % 2 == 0),
        transitions,
        violation,
        walks,
    )
