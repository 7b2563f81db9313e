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
from thistletrail.fault_injection.crash_injection import EFFECTS, POINTS, format_crash_table, inject_crashes
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.figures import LABELS
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
from thistletrail.simulation import run as simulation
from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.experiment import EXIT_RULE_BROKEN

MAX_SEED = 2**53


class FaultInjectionGroup(Group):
    """A group of commands whose errors of these types are reported in one line, with exit code 2."""

    errors: ClassVar[tuple[type[Exception], ...]] = (FaultInjectionError, SimulationError, BenchmarkError)


def report_progress(text: str) -> None:
    """Print a line of progress to standard error."""
    click.echo(text, err=True)


@click.group("fault_injection", cls=FaultInjectionGroup, context_settings=HELP)
def cli() -> None:
    """Run plans of faults with real processes on loopback, and check the recorded histories."""
    end_on_signals()


SEED_OPTION = click.option(
    "--seed",
    type=click.IntRange(0, MAX_SEED),
    default=1,
    show_default=True,
    help="Seed of the load and the faults; two runs of real processes still differ.",
)
SEEDS_OPTION = click.option(
    "--seeds",
    type=click.IntRange(1, 100),
    default=3,
    show_default=True,
    help="Number of seeds, from --first on.",
)
FIRST_OPTION = click.option(
    "--first", type=click.IntRange(0, MAX_SEED), default=1, show_default=True, help="The first seed."
)
OUT_OPTION = click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="The folder in which plan, histories and figures are stored.",
)


def print_violations(result: Run) -> None:
    """Print a run's violations to standard output."""
    for violation in result.violations:
        click.echo(f"broken: {violation.rule}: {violation.text}")


def exit_on_violations(runs: list[Run]) -> None:
    """Exit with `EXIT_RULE_BROKEN` if any of the runs broke a rule."""
    if any(result.violations for result in runs):
        sys.exit(EXIT_RULE_BROKEN)


@cli.command("run")
@click.argument("plan")
@SEED_OPTION
@click.option(
    "--twin/--no-twin",
    default=True,
    show_default=True,
    help="Play the same load without faults first; the recovery is measured against this baseline run.",
)
@click.option(
    "--tree",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=ROOT,
    help="The source tree of the gateways, instead of the current one.",
)
@OUT_OPTION
def run_(plan: str, seed: int, twin: bool, tree: Path, out: Path | None) -> None:
    """Play PLAN (a name or a .toml file) with real processes. The exit code is 3 if a rule was broken."""
    result = run(load(plan), seed, build_source_tree(tree), report_progress, twin)
    if out is not None:
        store_run(result, out)
    click.echo(format_table(figure_table([("value", [result.figures.as_json()])], LABELS)))
    print_violations(result)
    exit_on_violations([result])


@cli.command()
@click.argument("rev")
@click.argument("plan")
@SEEDS_OPTION
@FIRST_OPTION
@OUT_OPTION
def pairs(rev: str, plan: str, seeds: int, first: int, out: Path | None) -> None:
    """Compare the gateways of revision REV with this tree's on the same plan and seeds; prints medians.

    The two sides are played in turns, and which is first alternates.
    """
    loaded_plan = load(plan)
    sides: dict[str, list[Run]] = {rev: [], "this tree": []}
    with build_revision(rev) as other_tree:
        trees = {rev: other_tree, "this tree": build_source_tree(ROOT)}
        for number in range(seeds):
            order = list(trees) if number % 2 else list(reversed(trees))
            for side in order:
                result = run(loaded_plan, first + number, trees[side], lambda text: None)
                sides[side].append(result)
                report_progress(
                    f"{side}, seed {first + number}: full service after {result.figures.full_s} s, "
                    f"{len(result.violations)} violations"
                )
                if out is not None:
                    store_run(result, out / f"{side.replace(' ', '-')}-{first + number}")
    click.echo(
        format_table(
            figure_table(
                [(side, [result.figures.as_json() for result in runs]) for side, runs in sides.items()],
                LABELS,
            )
        )
    )
    for runs in sides.values():
        for result in runs:
            print_violations(result)
    exit_on_violations(sides["this tree"])


@cli.command()
@click.argument("plan")
@click.option(
    "--parts", default="0.5,0.7,0.9,1.0", show_default=True, help="Shares of the gateways that restart."
)
@click.option(
    "--states",
    default="none,kept,stale",
    show_default=True,
    help="The state of restarted gateways: no snapshot, their own snapshot, or their own an hour old.",
)
@click.option(
    "--against",
    metavar="REV",
    help="Also measure the gateways of this revision, without stored state, in turns with this tree's.",
)
@SEEDS_OPTION
@FIRST_OPTION
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=2, show_default=True, help="Number of runs at once."
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    required=True,
    help="The folder in which each run is stored.",
)
def back(
    plan: str, parts: str, states: str, against: str | None, seeds: int, first: int, jobs: int, out: Path
) -> None:
    """Measure the recovery after restarts of several shares of PLAN's gateways; prints a table of medians."""
    from thistletrail.fault_injection.restarts import STATES, list_cases, measure, table

    loaded_plan = load(plan)
    shares = [parse_share(text) for text in parts.split(",")]
    state_names = [name.strip() for name in states.split(",")]
    if unknown := [name for name in state_names if name not in STATES]:
        raise FaultInjectionError(f"unknown state '{unknown[0]}'; the states are {', '.join(STATES)}")
    with contextlib.ExitStack() as stack:
        this_tree = {"this tree": build_source_tree(ROOT).root}
        seed_range = range(first, first + seeds)
        cases = list_cases(this_tree, shares, state_names, seed_range)
        if against is not None:
            other_tree = stack.enter_context(build_revision(against)).root
            cases += list_cases({against: other_tree}, shares, ["none"], seed_range)
            cases.sort(key=lambda case: case.seed)  # both trees take turns, seed by seed
        results = measure(loaded_plan, cases, jobs, out, report_progress)
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
        raise FaultInjectionError(f"'{text}' is not a share: expected a number above 0 and at most 1")
    return share


@cli.command()
@click.argument("plan")
@SEEDS_OPTION
@FIRST_OPTION
def compare(plan: str, seeds: int, first: int) -> None:
    """Play PLAN with real processes and in the simulation on the same seeds; prints the medians of both."""
    loaded_plan = load(plan)
    scenario, missing = to_scenario(loaded_plan)
    if missing:
        raise FaultInjectionError(
            f"{loaded_plan.name}: the simulation has no {', nor '.join(dict.fromkeys(missing))}"
        )
    tree, real, simulated = build_source_tree(ROOT), [], []
    for seed in range(first, first + seeds):
        result = run(loaded_plan, seed, tree, report_progress)
        print_violations(result)
        real.append(result.figures.as_json())
        simulated.append(simulated_figures(scenario, seed))
        report_progress(
            f"seed {seed}: full service after {real[-1]['full_s']} s, in the simulation after "
            f"{simulated[-1]['full_s']} s"
        )
    click.echo(format_table(figure_table([("fault injection", real), ("simulation", simulated)], LABELS)))


def simulated_figures(scenario: Any, seed: int) -> dict[str, object]:  # noqa: ANN401 - a Scenario
    """Return those figures of one simulated run that `Figures` has as well, under its keys."""
    simulation_run = simulation.play(scenario, seed)
    result = simulation_run.result()
    points = simulation_run.accounting.points
    offered = sum(worth for _, worth, _ in points) or 1.0
    figures: dict[str, object] = {
        "served": sum(worth for _, worth, in_time in points if in_time) / offered,
        "retries": result["tries"] / max(1, result["asks"]) - 1,
        **{outcome: result["ends"].get(outcome, 0) for outcome in ("refused", "failed", "gone")},
    }
    if scenario.troubles:
        recovery = simulation_run.recovery(simulation.play(simulation.without_faults(scenario), seed))
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
@click.option(
    "--minutes",
    type=click.FloatRange(0.01, 1440),
    default=10.0,
    show_default=True,
    help="No plan starts after so many minutes.",
)
@click.option(
    "--count", type=click.IntRange(1, 100_000), help="The number of plans to play, whatever --minutes is."
)
@SEED_OPTION
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="The folder in which plans that break a rule are stored.",
)
def soak(minutes: float, count: int | None, seed: int, out: Path) -> None:
    """Play random plans; each that breaks a rule is shrunk and stored as a .toml file."""
    from thistletrail.fault_injection.soak import soak as run_soak

    result = run_soak(seed, minutes, build_source_tree(ROOT), out, report_progress, count)
    click.echo(f"{result.played} plans played, {len(result.stored)} broke a rule")
    for path in result.stored:
        click.echo(str(path))
    if result.stored:
        sys.exit(EXIT_RULE_BROKEN)


@cli.command("budgets")
@click.argument("plan", default="stewards")
@SEEDS_OPTION
@FIRST_OPTION
def budgets_(plan: str, seeds: int, first: int) -> None:
    """Play PLAN, in which lease services divide budgets, and print how they divided them.

    For each seed it prints the largest sum of shares of a budget that gateways may hold at once, and the
    median time until the shares of a killed gateway are granted to others.
    """
    loaded_plan = load(plan)
    if not loaded_plan.steward:
        raise FaultInjectionError(
            f"{loaded_plan.name}: its budgets are not divided by leases (steward = true)"
        )
    tree, has_violations = build_source_tree(ROOT), False
    click.echo(
        "seed  max share held  regrant time, s  not regranted  renewals  lease services  served  violations"
    )
    for seed in range(first, first + seeds):
        result = run(loaded_plan, seed, tree, report_progress, with_baseline=False)
        print_violations(result)
        count, leases = len(result.violations), lease_summary(result.history)
        regrant_s = format_value(leases.median_regrant_s)
        has_violations = has_violations or bool(count)
        click.echo(
            f"{seed:4}  {leases.max_granted_fraction:14.3f}  {regrant_s:>15}  "
            f"{leases.not_regranted:13}  {leases.renewals:8}  {leases.lease_services:14}  "
            f"{result.figures.served:6.3f}  {count:10}"
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
    help="Number of injected crashes at each point, for each kind of class (keyed, unsafe) and each seed.",
)
@click.option(
    "--points",
    default=",".join(POINTS),
    show_default=True,
    help="The points in the processing of a work item at which gateways crash.",
)
@click.option(
    "--seeds",
    type=click.IntRange(1, 100),
    default=1,
    show_default=True,
    help="Number of seeds, from --first on.",
)
@FIRST_OPTION
@click.option("--doors", type=click.IntRange(2, 48), default=6, show_default=True, help="Number of gateways.")
@click.option(
    "--without",
    is_flag=True,
    help="Store no work items, to show what the same crashes cost without a takeover.",
)
def deaths_(count: int, points: str, seeds: int, first: int, doors: int, without: bool) -> None:
    """Crash gateways that process work items; check that each runs once and its outcome is delivered."""
    chosen_points = tuple(points.split(","))
    if unknown := set(chosen_points) - set(POINTS):
        raise FaultInjectionError(f"there is no point '{min(unknown)}' (one of: {', '.join(POINTS)})")
    tree, crashes = build_source_tree(ROOT), []
    for seed in range(first, first + seeds):
        with TemporaryDirectory(prefix="deaths-") as folder:
            crashes += asyncio.run(
                inject_crashes(
                    tree,
                    Path(folder),
                    chosen_points,
                    EFFECTS,
                    count,
                    seed,
                    doors,
                    not without,
                    report_progress,
                )
            )
        report_progress(f"seed {seed}: {len(crashes)} injected crashes so far")
    click.echo(format_crash_table(crashes))
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
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("report.html"),
    show_default=True,
    help="The HTML file to write.",
)
def report(runs: tuple[Path, ...], out: Path) -> None:
    """Write one HTML file with plots of the runs stored in these folders."""
    from thistletrail.fault_injection.report import write_report

    write_report([(folder.name, load_run(folder)) for folder in runs], out)
    click.echo(f"wrote {out}")


@cli.command("list")
def list_() -> None:
    """List the plans of this package."""
    for name in plan_names():
        plan = load(name)
        kinds = ", ".join(dict.fromkeys(fault.kind for fault in plan.faults)) or "no fault"
        click.echo(
            f"{name:12} {plan.fleet.doors} gateways, {plan.fleet.servers.count} scan servers, "
            f"{plan.fleet.length_s:g} s: {kinds}"
        )


if __name__ == "__main__":
    cli()
