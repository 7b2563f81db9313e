"""The commands of fault injection: run, pairs, back, compare, deaths, soak, report and list."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, ClassVar

import click

from thistletrail.benchmarks.errors import BenchError
from thistletrail.benchmarks.process import ROOT, prepare, revision
from thistletrail.command_line import HELP, Group, end_on_signals
from thistletrail.fault_injection.deaths import EFFECTS, POINTS, deaths, table
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.leases import lease_summary
from thistletrail.fault_injection.plan import load, plan_names, to_scenario
from thistletrail.fault_injection.runs import Run, keep, kept, rows, run, show, text
from thistletrail.simulation import day as days
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.experiment import EXIT_RULE_BROKEN

MOST_SEED = 2**53


class FaultInjectionGroup(Group):
    errors: ClassVar[tuple[type[Exception], ...]] = (FaultInjectionError, ModelError, BenchError)


def say(text: str) -> None:
    """Progress, on standard error."""
    click.echo(text, err=True)


@click.group("fault_injection", cls=FaultInjectionGroup, context_settings=HELP)
def cli() -> None:
    """Several real processes on loopback, relays and faults between them, and checked histories."""
    end_on_signals()


SEED = click.option(
    "--seed",
    type=click.IntRange(0, MOST_SEED),
    default=1,
    show_default=True,
    help="Of load and faults; real processes are not the same twice.",
)
SEEDS = click.option(
    "--seeds", type=click.IntRange(1, 100), default=3, show_default=True, help="As many, from --first on."
)
FIRST = click.option("--first", type=click.IntRange(0, MOST_SEED), default=1, show_default=True)
OUT = click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="A folder to keep plan, histories and figures in.",
)


def told(found: Run) -> None:
    """A run's violations, on standard output."""
    for one in found.violations:
        click.echo(f"broken: {one.rule}: {one.text}")


def violated(runs: list[Run]) -> None:
    if any(found.violations for found in runs):
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
    """Play PLAN (a name or a .toml file) with real processes. Exit code 3 where a rule was broken."""
    found = run(load(plan), seed, prepare(tree), say, twin)
    if out is not None:
        keep(found, out)
    click.echo(show(rows([("value", [found.figures.as_json()])])))
    told(found)
    violated([found])


@cli.command()
@click.argument("rev")
@click.argument("plan")
@SEEDS
@FIRST
@OUT
def pairs(rev: str, plan: str, seeds: int, first: int, out: Path | None) -> None:
    """The front doors of REV against this tree's, on the same plan and seeds, in turns; medians."""
    wanted = load(plan)
    sides: dict[str, list[Run]] = {rev: [], "this tree": []}
    with revision(rev) as theirs:
        trees = {rev: theirs, "this tree": prepare(ROOT)}
        for number in range(seeds):
            order = list(trees) if number % 2 else list(reversed(trees))
            for side in order:
                found = run(wanted, first + number, trees[side], lambda text: None)
                sides[side].append(found)
                say(
                    f"{side}, seed {first + number}: full service {found.figures.full_s}, "
                    f"{len(found.violations)} broken"
                )
                if out is not None:
                    keep(found, out / f"{side.replace(' ', '-')}-{first + number}")
    click.echo(
        show(rows([(side, [found.figures.as_json() for found in runs]) for side, runs in sides.items()]))
    )
    for runs in sides.values():
        for found in runs:
            told(found)
    violated(sides["this tree"])


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
    """The way back after restarts of several shares of PLAN's doors: a table of medians."""
    from thistletrail.fault_injection.back import STATES, cases, measure, table

    wanted = load(plan)
    shares = [share(word) for word in parts.split(",")]
    names = [word.strip() for word in states.split(",")]
    if unknown := [name for name in names if name not in STATES]:
        raise FaultInjectionError(f"unknown state '{unknown[0]}'; known are {', '.join(STATES)}")
    with contextlib.ExitStack() as stack:
        ours = {"this tree": prepare(ROOT).root}
        numbers = range(first, first + seeds)
        plays = cases(ours, shares, names, numbers)
        if against is not None:
            theirs = stack.enter_context(revision(against)).root
            plays += cases({against: theirs}, shares, ["none"], numbers)
            plays.sort(key=lambda case: case.seed)  # in turns, seed by seed
        results = measure(wanted, plays, jobs, out, say)
    click.echo(show(table(results)))
    for one in results:
        for violation in one.violations:
            click.echo(f"broken: {one.case.name}: {violation}")


def share(text: str) -> float:
    """A share of the doors, above nothing."""
    try:
        found = float(text)
    except ValueError:
        found = 0.0
    if not 0 < found <= 1:
        raise FaultInjectionError(f"'{text}' is no share above 0 and up to 1")
    return found


@cli.command()
@click.argument("plan")
@SEEDS
@FIRST
def compare(plan: str, seeds: int, first: int) -> None:
    """PLAN with real processes and in the model, on the same seeds: medians of both, side by side."""
    wanted = load(plan)
    scenario, missing = to_scenario(wanted)
    if missing:
        raise FaultInjectionError(f"{wanted.name}: the model has no {', nor '.join(dict.fromkeys(missing))}")
    tree, real, modelled = prepare(ROOT), [], []
    for seed in range(first, first + seeds):
        found = run(wanted, seed, tree, say)
        told(found)
        real.append(found.figures.as_json())
        modelled.append(in_model(scenario, seed))
        say(f"seed {seed}: full service {real[-1]['full_s']}, in the model {modelled[-1]['full_s']}")
    click.echo(show(rows([("fault injection", real), ("model", modelled)])))


def in_model(scenario: Any, seed: int) -> dict[str, object]:  # noqa: ANN401 - a Scenario
    """The figures of one play of the model, by the names of fault injection's where both have them."""
    day = days.play(scenario, seed)
    result = day.result()
    points = day.books.points
    offered = sum(worth for _, worth, _ in points) or 1.0
    found: dict[str, object] = {
        "served": sum(worth for _, worth, in_time in points if in_time) / offered,
        "retries": result["tries"] / max(1, result["asks"]) - 1,
        **{how: result["ends"].get(how, 0) for how in ("refused", "failed", "gone")},
    }
    if scenario.troubles:
        way = day.recovery(days.play(days.without_faults(scenario), seed))
        found |= {
            "full_s": way["full_s"],
            "full_after_pong_s": way["full_after_back_s"],
            "worst_second": way["worst_second"],
            "lost": way["lost"],
            "connections": way["opened"],
            "connections_calm": way["opened_calm"],
            "pushed_over": way["fallen"],
        }
    return found


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
    """Play random plans; one that breaks a rule is made small and kept as a .toml file."""
    from thistletrail.fault_injection.soak import soak as play

    found = play(seed, minutes, prepare(ROOT), out, say, count)
    click.echo(f"{found.played} plans played, {len(found.kept)} kept")
    for path in found.kept:
        click.echo(str(path))
    if found.kept:
        sys.exit(EXIT_RULE_BROKEN)


@cli.command("budgets")
@click.argument("plan", default="stewards")
@SEEDS
@FIRST
def budgets_(plan: str, seeds: int, first: int) -> None:
    """PLAN, in which stewards divide budgets: what doors may believe in, at most, and how soon the part of a
    door that has died is in use elsewhere. A line for each seed."""
    wanted = load(plan)
    if not wanted.steward:
        raise FaultInjectionError(f"{wanted.name}: no steward divides anything in it")
    tree, wrong = prepare(ROOT), False
    click.echo("seed  most held  regained s  not regained  renewals  stewards  served  broken")
    for seed in range(first, first + seeds):
        found = run(wanted, seed, tree, say, twin=False)
        told(found)
        count, one = len(found.violations), lease_summary(found.seen)
        wrong = wrong or bool(count)
        click.echo(
            f"{seed:4}  {one.most_held:9.3f}  {text(one.regained_s):>10}  {one.unregained:12}  "
            f"{one.renewals:8}  {one.stewards:8}  {found.figures.served:6.3f}  {count:6}"
        )
    if wrong:
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
    """Kill doors at chosen points of a piece of work: is it run once, and does its client get its outcome?"""
    wanted = tuple(points.split(","))
    if strange := set(wanted) - set(POINTS):
        raise FaultInjectionError(f"there is no point '{min(strange)}' (one of: {', '.join(POINTS)})")
    tree, found = prepare(ROOT), []
    for seed in range(first, first + seeds):
        with TemporaryDirectory(prefix="deaths-") as folder:
            found += asyncio.run(
                deaths(tree, Path(folder), wanted, EFFECTS, count, seed, doors, not without, say)
            )
        say(f"seed {seed}: {len(found)} deaths so far")
    click.echo(table(found))
    for death in found:
        if death.wrong:
            click.echo(f"broken: {death.point}: {death.wrong}")
    if not without and any(death.wrong for death in found):
        sys.exit(EXIT_RULE_BROKEN)


@cli.command()
@click.argument(
    "runs", type=click.Path(exists=True, file_okay=False, path_type=Path), nargs=-1, required=True
)
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("report.html"), show_default=True
)
def report(runs: tuple[Path, ...], out: Path) -> None:
    """One HTML file with plots of the runs kept in these folders."""
    from thistletrail.fault_injection.report import write

    write([(folder.name, kept(folder)) for folder in runs], out)
    click.echo(f"{out} is written")


@cli.command("list")
def list_() -> None:
    """The plans that come with fault injection."""
    for name in plan_names():
        plan = load(name)
        kinds = ", ".join(dict.fromkeys(fault.kind for fault in plan.faults)) or "no fault"
        click.echo(
            f"{name:12} {plan.fleet.doors} doors, {plan.fleet.servers.count} servers, "
            f"{plan.fleet.length_s:g} s: {kinds}"
        )


if __name__ == "__main__":
    cli()
