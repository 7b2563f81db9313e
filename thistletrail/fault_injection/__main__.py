"""The commands of fault injection: run, pairs, back, compare, soak, budgets, deaths, report and list."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, ClassVar

import click

from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.process import ROOT, build_revision, build_source_tree
from thistletrail.command_line import HELP, Group, end_on_signals
from thistletrail.fault_injection.deaths import EFFECTS, POINTS, inject_crashes, table
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.leases import lease_summary
from thistletrail.fault_injection.plan import load, plan_names, to_scenario
from thistletrail.fault_injection.runs import (
    Run,
    figure_table,
    format_table,
    format_value,
    load_run,
    run,
    store_run,
)
from thistletrail.simulation import day as days
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.experiment import EXIT_RULE_BROKEN

MAX_SEED = 2**53


class FaultInjectionGroup(Group):
    errors: ClassVar[tuple[type[Exception], ...]] = (FaultInjectionError, ModelError, BenchmarkError)


def say(text: str) -> None:
    """Print progress to standard error."""
    click.echo(text, err=True)


@click.group("fault_injection", cls=FaultInjectionGroup, context_settings=HELP)
def cli() -> None:
    """Play plans of faults with real processes on loopback, and check the recorded histories."""
    end_on_signals()


SEED = click.option(
    "--seed",
    type=click.IntRange(0, MAX_SEED),
    default=1,
    show_default=True,
    help="Of load and faults; real processes are not the same twice.",
)
SEEDS = click.option(
    "--seeds", type=click.IntRange(1, 100), default=3, show_default=True, help="As many, from --first on."
)
FIRST = click.option("--first", type=click.IntRange(0, MAX_SEED), default=1, show_default=True)
OUT = click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="A folder to keep plan, histories and figures in.",
)


def print_violations(result: Run) -> None:
    """Print a run's violations to standard output."""
    for violation in result.violations:
        click.echo(f"broken: {violation.rule}: {violation.text}")


def exit_on_violations(runs: list[Run]) -> None:
    """Exit with `EXIT_RULE_BROKEN` if a rule was broken in one of the runs."""
    if any(result.violations for result in runs):
        sys.exit(EXIT_RULE_BROKEN)


@cli.command("run")
@click.argument("plan")
@SEED
@click.option(
    "--twin/--no-twin",
    default=True,
    show_default=True,
    help="Play the same load without faults first; without it the way back is not told.",
)
@click.option(
    "--tree",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=ROOT,
    help="The front doors of this folder instead of this tree's.",
)
@OUT
def run_(plan: str, seed: int, twin: bool, tree: Path, out: Path | None) -> None:
    """Play PLAN (a name or a .toml file) with real processes. The exit code is 3 if a rule was broken."""
    result = run(load(plan), seed, build_source_tree(tree), say, twin)
    if out is not None:
        store_run(result, out)
    click.echo(format_table(figure_table([("value", [result.figures.as_json()])])))
    print_violations(result)
    exit_on_violations([result])


@cli.command()
@click.argument("rev")
@click.argument("plan")
@SEEDS
@FIRST
@OUT
def pairs(rev: str, plan: str, seeds: int, first: int, out: Path | None) -> None:
    """Compare the gateways of REV with this tree's, in turns on the same plan and seeds; prints medians."""
    loaded_plan = load(plan)
    sides: dict[str, list[Run]] = {rev: [], "this tree": []}
    with build_revision(rev) as theirs:
        trees = {rev: theirs, "this tree": build_source_tree(ROOT)}
        for number in range(seeds):
            order = list(trees) if number % 2 else list(reversed(trees))
            for side in order:
                result = run(loaded_plan, first + number, trees[side], lambda text: None)
                sides[side].append(result)
                say(
                    f"{side}, seed {first + number}: full service {result.figures.full_s}, "
                    f"{len(result.violations)} broken"
                )
                if out is not None:
                    store_run(result, out / f"{side.replace(' ', '-')}-{first + number}")
    click.echo(
        format_table(
            figure_table(
                [(side, [result.figures.as_json() for result in runs]) for side, runs in sides.items()]
            )
        )
    )
    for runs in sides.values():
        for result in runs:
            print_violations(result)
    exit_on_violations(sides["this tree"])


@cli.command()
@click.argument("plan")
@click.option("--parts", default="0.5,0.7,0.9,1.0", show_default=True, help="Shares of the doors.")
@click.option(
    "--states",
    default="none,kept,stale",
    show_default=True,
    help="What the doors come back with: their snapshots, none, or ones an hour old.",
)
@click.option("--against", metavar="REV", help="Its front doors too, without state, in turns.")
@SEEDS
@FIRST
@click.option("--jobs", type=click.IntRange(1, 64), default=2, show_default=True, help="Plays at once.")
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), required=True, help="Where each play is kept."
)
def back(
    plan: str, parts: str, states: str, against: str | None, seeds: int, first: int, jobs: int, out: Path
) -> None:
    """Measure the recovery after restarts of several shares of PLAN's gateways; prints a table of medians."""
    from thistletrail.fault_injection.back import STATES, list_cases, measure, table

    loaded_plan = load(plan)
    shares = [parse_share(text) for text in parts.split(",")]
    state_names = [name.strip() for name in states.split(",")]
    if unknown := [name for name in state_names if name not in STATES]:
        raise FaultInjectionError(f"unknown state '{unknown[0]}'; known are {', '.join(STATES)}")
    with contextlib.ExitStack() as stack:
        ours = {"this tree": build_source_tree(ROOT).root}
        seed_range = range(first, first + seeds)
        cases = list_cases(ours, shares, state_names, seed_range)
        if against is not None:
            theirs = stack.enter_context(build_revision(against)).root
            cases += list_cases({against: theirs}, shares, ["none"], seed_range)
            cases.sort(key=lambda case: case.seed)  # sides alternate for each seed
        results = measure(loaded_plan, cases, jobs, out, say)
    click.echo(format_table(table(results)))
    for result in results:
        for violation in result.violations:
            click.echo(f"broken: {result.case.name}: {violation}")


def parse_share(text: str) -> float:
    """Parse a share of the gateways: above 0, at most 1; FaultInjectionError for any other text."""
    try:
        share = float(text)
    except ValueError:
        share = 0.0
    if not 0 < share <= 1:
        raise FaultInjectionError(f"'{text}' is no share above 0 and up to 1")
    return share


@cli.command()
@click.argument("plan")
@SEEDS
@FIRST
def compare(plan: str, seeds: int, first: int) -> None:
    """Play PLAN with real processes and in the simulation, on the same seeds; prints the medians of both."""
    loaded_plan = load(plan)
    scenario, missing = to_scenario(loaded_plan)
    if missing:
        raise FaultInjectionError(
            f"{loaded_plan.name}: the model has no {', nor '.join(dict.fromkeys(missing))}"
        )
    tree, real, simulated = build_source_tree(ROOT), [], []
    for seed in range(first, first + seeds):
        result = run(loaded_plan, seed, tree, say)
        print_violations(result)
        real.append(result.figures.as_json())
        simulated.append(simulated_figures(scenario, seed))
        say(f"seed {seed}: full service {real[-1]['full_s']}, in the model {simulated[-1]['full_s']}")
    click.echo(format_table(figure_table([("fault injection", real), ("model", simulated)])))


def simulated_figures(scenario: Any, seed: int) -> dict[str, object]:  # noqa: ANN401 - a Scenario
    """The figures of one simulated run, under the names of `Figures` where both have them."""
    day = days.play(scenario, seed)
    result = day.result()
    points = day.books.points
    offered = sum(worth for _, worth, _ in points) or 1.0
    figures: dict[str, object] = {
        "served": sum(worth for _, worth, in_time in points if in_time) / offered,
        "retries": result["tries"] / max(1, result["asks"]) - 1,
        **{how: result["ends"].get(how, 0) for how in ("refused", "failed", "gone")},
    }
    if scenario.troubles:
        recovery = day.recovery(days.play(days.without_faults(scenario), seed))
        figures |= {
            "full_s": recovery["full_s"],
            "full_after_pong_s": recovery["full_after_back_s"],
            "worst_second": recovery["worst_second"],
            "lost": recovery["lost"],
            "connections": recovery["opened"],
            "connections_calm": recovery["opened_calm"],
            "pushed_over": recovery["fallen"],
        }
    return figures


@cli.command()
@click.option("--minutes", type=click.FloatRange(0.01, 1440), default=10.0, show_default=True)
@click.option("--count", type=click.IntRange(1, 100_000), help="So many plans instead.")
@SEED
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="Where a plan that breaks a rule is kept.",
)
def soak(minutes: float, count: int | None, seed: int, out: Path) -> None:
    """Play random plans; one that breaks a rule is shrunk and stored as a .toml file."""
    from thistletrail.fault_injection.soak import soak as run_soak

    result = run_soak(seed, minutes, build_source_tree(ROOT), out, say, count)
    click.echo(f"{result.played} plans played, {len(result.stored)} kept")
    for path in result.stored:
        click.echo(str(path))
    if result.stored:
        sys.exit(EXIT_RULE_BROKEN)


@cli.command("budgets")
@click.argument("plan", default="stewards")
@SEEDS
@FIRST
def budgets_(plan: str, seeds: int, first: int) -> None:
    """Play PLAN, in which lease services divide budgets.

    For each seed it prints the largest part of a budget that gateways may believe they hold, and the time
    until the part of a killed gateway is in use at others.
    """
    loaded_plan = load(plan)
    if not loaded_plan.steward:
        raise FaultInjectionError(f"{loaded_plan.name}: no steward divides anything in it")
    tree, has_violations = build_source_tree(ROOT), False
    click.echo("seed  most held  regained s  not regained  renewals  stewards  served  broken")
    for seed in range(first, first + seeds):
        result = run(loaded_plan, seed, tree, say, with_baseline=False)
        print_violations(result)
        count, leases = len(result.violations), lease_summary(result.history)
        regained = format_value(leases.regained_s)
        has_violations = has_violations or bool(count)
        click.echo(
            f"{seed:4}  {leases.most_held:9.3f}  {regained:>10}  {leases.unregained:12}  "
            f"{leases.renewals:8}  {leases.stewards:8}  {result.figures.served:6.3f}  {count:6}"
        )
    if has_violations:
        sys.exit(EXIT_RULE_BROKEN)


@cli.command("deaths")
@click.option(
    "--deaths",
    "count",
    type=click.IntRange(1, 10_000),
    default=10,
    show_default=True,
    help="At each point, of each kind of class, and seed.",
)
@click.option("--points", default=",".join(POINTS), show_default=True, help="Where doors die.")
@click.option("--seeds", type=click.IntRange(1, 100), default=1, show_default=True)
@FIRST
@click.option("--doors", type=click.IntRange(2, 48), default=6, show_default=True)
@click.option("--without", is_flag=True, help="Nothing is kept: what the same deaths cost without it.")
def deaths_(count: int, points: str, seeds: int, first: int, doors: int, without: bool) -> None:
    """Kill gateways at chosen points of a work item; check that it runs once and its outcome is delivered."""
    chosen_points = tuple(points.split(","))
    if unknown := set(chosen_points) - set(POINTS):
        raise FaultInjectionError(f"there is no point '{min(unknown)}' (one of: {', '.join(POINTS)})")
    tree, crashes = build_source_tree(ROOT), []
    for seed in range(first, first + seeds):
        with TemporaryDirectory(prefix="deaths-") as folder:
            crashes += asyncio.run(
                inject_crashes(
                    tree, Path(folder), chosen_points, EFFECTS, count, seed, doors, not without, say
                )
            )
        say(f"seed {seed}: {len(crashes)} deaths so far")
    click.echo(table(crashes))
    for crash in crashes:
        if crash.violation:
            click.echo(f"broken: {crash.point}: {crash.violation}")
    if not without and any(crash.violation for crash in crashes):
        sys.exit(EXIT_RULE_BROKEN)


@cli.command()
@click.argument(
    "runs", type=click.Path(exists=True, file_okay=False, path_type=Path), nargs=-1, required=True
)
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("report.html"), show_default=True
)
def report(runs: tuple[Path, ...], out: Path) -> None:
    """Write one HTML file with plots of the runs stored in these folders."""
    from thistletrail.fault_injection.report import write_report

    write_report([(folder.name, load_run(folder)) for folder in runs], out)
    click.echo(f"{out} is written")


@cli.command("list")
def list_() -> None:
    """List the plans that come with fault injection."""
    for name in plan_names():
        plan = load(name)
        kinds = ", ".join(dict.fromkeys(fault.kind for fault in plan.faults)) or "no fault"
        click.echo(
            f"{name:12} {plan.fleet.doors} doors, {plan.fleet.servers.count} servers, "
            f"{plan.fleet.length_s:g} s: {kinds}"
        )


if __name__ == "__main__":
    cli()
