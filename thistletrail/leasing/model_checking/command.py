"""The command `check`: checks the models of both state machines, or those with planted faults."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import click

from thistletrail.leasing.model_checking import (
    budget_faults,
    budgets,
    work,
    work_faults,
    work_refusals,
)
from thistletrail.leasing.model_checking.budget_faults import BudgetModel
from thistletrail.leasing.model_checking.search import CheckResult, Walks
from thistletrail.leasing.model_checking.work_faults import WorkModel

EXIT_VIOLATION = 3  # exit code: a property is violated, or a planted fault is not found
BUDGET_WALK_EVENTS = 40
WORK_WALK_EVENTS = 30
PLANTED_BUDGET_WALKS = 5_000
PLANTED_BUDGET_WALK_EVENTS = 30
PLANTED_WORK_WALKS = 20_000
PLANTED_WORK_WALK_EVENTS = 25


@click.command("check")
@click.option(
    "--gateways", type=click.IntRange(1, 4), default=3, show_default=True, help="`--doors` is its old name."
)
@click.option("--doors", "old_gateways", type=click.IntRange(1, 4), hidden=True)
@click.option("--budgets", "budget_count", type=click.IntRange(1, 2), default=2, show_default=True)
@click.option("--depth", type=click.IntRange(1, 12), default=5, show_default=True, help="Events.")
@click.option(
    "--walks",
    type=click.IntRange(0, 10**6),
    default=2000,
    show_default=True,
    help="Random walks of 40 events besides, as many by messages alone, and by openings.",
)
@click.option("--planted", is_flag=True, help="Plant each fault, and say how it is found.")
@click.option("--seed", type=click.IntRange(0, 2**53), default=1, show_default=True)
def check_command(
    gateways: int,
    old_gateways: int | None,
    budget_count: int,
    depth: int,
    walks: int,
    planted: bool,
    seed: int,
) -> None:
    """Look at all states of the state machines and messages. Exit code 3 where something does not hold."""
    if old_gateways is not None:
        click.echo("leasing: --doors is now --gateways", err=True)
        gateways = old_gateways
    if planted:
        sys.exit(EXIT_VIOLATION if not planted_faults_are_found(seed) else 0)
    results = [
        *check_budgets(gateways, budget_count, depth, walks, seed),
        *check_work(gateways, depth, walks, seed),
        *check_refusals(depth, walks, seed),
    ]
    sys.exit(EXIT_VIOLATION if any(result.violation for result in results) else 0)


def planted_faults_are_found(seed: int) -> bool:
    """Check each planted fault, print how it is found, and return whether all are found."""
    results = []
    for budget_fault in budget_faults.PLANTED_FAULTS:
        result = budgets.check_all_walks(
            budget_fault, 2, 1, Walks(PLANTED_BUDGET_WALKS, PLANTED_BUDGET_WALK_EVENTS, seed)
        )
        click.echo(f"{budget_fault.name}: {describe_finding(result)}")
        results.append(result)
    for work_fault in work_faults.PLANTED_FAULTS:
        result = work.check_walks(work_fault, 3, Walks(PLANTED_WORK_WALKS, PLANTED_WORK_WALK_EVENTS, seed))
        click.echo(f"work leases, {work_fault.name}: {describe_finding(result)}")
        results.append(result)
    for refusal_fault in work_faults.PLANTED_REFUSAL_FAULTS:
        walks = Walks(PLANTED_WORK_WALKS, PLANTED_WORK_WALK_EVENTS, seed)
        result = work_refusals.check_refusal_walks(refusal_fault, walks)
        click.echo(f"refusals, {refusal_fault.name}: {describe_finding(result)}")
        results.append(result)
    return all(result.violation for result in results)


def describe_finding(result: CheckResult) -> str:
    """Return the violation by which a planted fault was found, with the number of states up to it."""
    return f"{result.violation or 'not found'} after {result.states} states"


def check_budgets(gateways: int, budget_count: int, depth: int, walks: int, seed: int) -> list[CheckResult]:
    """Check the model of fleet-wide budgets, print the results, and return them."""
    title = f"{gateways} gateways, {budget_count} budgets"
    results = check_both_initial_states(
        title,
        "nobody holds anything",
        lambda first_gateway_holds_all: budgets.check_near_states(
            BudgetModel, gateways, budget_count, depth, first_gateway_holds_all
        ),
    )
    if walks:
        result = budgets.check_all_walks(
            BudgetModel, gateways, budget_count, Walks(walks, BUDGET_WALK_EVENTS, seed)
        )
        print_result(f"random walks: {result.states} states", result)
        results.append(result)
    return results


def check_work(gateways: int, depth: int, walks: int, seed: int) -> list[CheckResult]:
    """Check the model of work leases, print the results, and return them."""
    results = check_both_initial_states(
        f"work leases, {gateways} gateways",
        "nobody owns anything",
        lambda first_gateway_holds_all: work.check_near_states(
            WorkModel, gateways, depth, first_gateway_holds_all
        ),
    )
    if walks:
        result = work.check_walks(WorkModel, gateways, Walks(2 * walks, WORK_WALK_EVENTS, seed))
        print_result(f"work leases, random walks: {result.states} states", result)
        results.append(result)
    return results


def check_refusals(depth: int, walks: int, seed: int) -> list[CheckResult]:
    """Check the model of refused requests, print the results, and return them."""
    result = work_refusals.check_near_refusals(WorkModel, depth)
    print_result(f"refusals: {result.states} states to depth {result.depth}", result)
    results = [result]
    if walks:
        result = work_refusals.check_refusal_walks(WorkModel, Walks(2 * walks, WORK_WALK_EVENTS, seed))
        print_result(f"refusals, random walks: {result.states} states", result)
        results.append(result)
    return results


def check_both_initial_states(
    title: str, empty_state_text: str, check: Callable[[bool], CheckResult]
) -> list[CheckResult]:
    """Check the states near both initial states, print the results, and return them."""
    results = []
    for first_gateway_holds_all in (False, True):
        began_s = time.process_time()
        result = check(first_gateway_holds_all)
        elapsed_s = time.process_time() - began_s
        initial_state = "the first gateway holds all" if first_gateway_holds_all else empty_state_text
        print_result(
            f"{title}, {initial_state}: {result.states} states to depth {result.depth}, {elapsed_s:.1f} s",
            result,
        )
        results.append(result)
    return results


def print_result(title: str, result: CheckResult) -> None:
    """Print a result, with the trace of a violation."""
    click.echo(title + (f"; broken: {result.violation}" if result.violation else ""))
    for event in result.trace:
        click.echo(f"  {event}")
