"""The commands of the simulation."""

from __future__ import annotations

import contextlib
import os
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO, ClassVar, get_args

import click
import msgspec

from thistletrail.command_line import HELP, Group, end_on_signals
from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.experiment import (
    EXIT_RULE_BROKEN,
    THIS_TREE,
    PlannedRun,
    Runner,
    comparison_rows,
    revision_tree,
    set_constant,
)
from thistletrail.simulation.run import encode_line, play, without_faults
from thistletrail.simulation.scenario import StoredState, bundled_scenario_names, dump, load


class SimulationGroup(Group):
    """The commands of the simulation; invalid input is reported in one line."""

    errors: ClassVar[tuple[type[Exception], ...]] = (SimulationError,)


@click.group("simulation", cls=SimulationGroup, context_settings=HELP)
def cli() -> None:
    """Simulate a fleet: single runs, and paired comparisons of revisions or of values of a constant."""
    end_on_signals()


SEED = click.option(
    "--seed", type=click.IntRange(0, 2**53), default=1, show_default=True, help="Seed of all random numbers."
)
JOBS = click.option(
    "--jobs",
    type=click.IntRange(1, 256),
    default=os.cpu_count() or 1,
    show_default=True,
    help="Number of parallel processes.",
)
SEEDS = click.option(
    "--seeds",
    type=click.IntRange(1, 1000),
    default=5,
    show_default=True,
    help="Number of seeds, from --first on.",
)
FIRST = click.option(
    "--first", type=click.IntRange(0, 2**53), default=1, show_default=True, help="First seed."
)
TWIN = click.option(
    "--twin", is_flag=True, help="Also run without faults, and report the recovery to full service."
)
OUT = click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Append the total of each run to this file as it ends, as a JSON line.",
)


def comparison_arguments(command: Callable[..., None]) -> Callable[..., None]:
    """Add the argument and the options that the commands comparing pairs of runs share."""
    scenarios = click.argument("scenarios", nargs=-1, required=True, metavar="SCENARIO...")
    for option in (OUT, JOBS, FIRST, SEEDS, scenarios):
        command = option(command)
    return command


@cli.command()
@click.argument("scenario")
@SEED
@click.option("--total", is_flag=True, help="Write only the last line, the total.")
@click.option("--set", "settings", multiple=True, metavar="NAME=NUMBER", help="Set a constant of the policy.")
@TWIN
@click.option("--out", type=click.File("wb"), default="-", help="File for the JSON lines.")
def run(scenario: str, seed: int, total: bool, settings: tuple[str, ...], twin: bool, out: BinaryIO) -> None:
    """Run SCENARIO (a name or a .toml file) once and write JSON lines; exit with 3 if a rule was broken."""
    loaded = load(scenario)
    for setting in settings:
        set_constant(setting)
    started_s = time.process_time()
    simulated = play(loaded, seed)
    recovery = (
        {"way": simulated.recovery(play(without_faults(loaded), seed))} if twin and loaded.troubles else {}
    )
    lines = [encode_line({**simulated.result(), **recovery})] if total else simulated.lines(**recovery)
    for line in lines:
        out.write(line)
    out.flush()
    if sys.stderr.isatty():
        click.echo(f"{time.process_time() - started_s:.1f} s of processor time", err=True)
    if simulated.accounting.violation_counts or simulated.accounting.check():
        sys.exit(EXIT_RULE_BROKEN)


@cli.command("list")
def list_() -> None:
    """List the bundled scenarios."""
    for name in bundled_scenario_names():
        scenario = load(name)
        click.echo(
            f"{name:10} {scenario.doors} gateways, {scenario.servers.count} servers, {scenario.length_s:g} s"
        )


def resolve(scenario: str) -> str:
    """Return the name or the absolute path of a scenario, for runs in another folder.

    Raises:
        SimulationError: the scenario is invalid, which is thus reported before any process is started.
    """
    load(scenario)
    return str(Path(scenario).resolve()) if scenario.endswith(".toml") else scenario


def run_all(planned_runs: list[PlannedRun], jobs: int, out: Path | None) -> list[dict[str, object]]:
    """Make all runs and return their totals in the order given.

    Progress is written to standard error, and each total is appended to `out`, if given, as its run ends.

    Raises:
        SimulationError: `out` cannot be written, or a run failed.
    """
    runner, ended_count = Runner(jobs), 0
    try:
        file = out.open("ab") if out else None
    except OSError as error:
        raise SimulationError(f"{out}: cannot be written: {error.strerror}") from error

    def on_total(total: dict[str, object]) -> None:
        nonlocal ended_count
        ended_count += 1
        if file:
            file.write(msgspec.json.encode(total) + b"\n")
            file.flush()
        click.echo(
            f"{ended_count} of {len(planned_runs)}: {total['side']}, {total['scenario']}, "
            f"seed {total['seed']}: G {total['g']:.4f}",
            err=True,
        )

    try:
        return runner.run_all(planned_runs, on_total)
    finally:
        runner.stop()
        if file:
            file.close()


def print_comparison(totals: list[dict[str, object]], old: str, new: str) -> None:
    """Print the mean of each figure on both sides, and the median of the paired differences."""
    click.echo(f"{'figure':28} {old:>10.10} {new:>10.10}  median of the paired differences [95%]")
    for name, old_mean, new_mean, interval in comparison_rows(totals, old, new):
        click.echo(f"{name:28} {old_mean:10.4f} {new_mean:10.4f}  {interval}")


@cli.command()
@click.argument("rev")
@click.argument("scenarios", nargs=-1, required=True, metavar="SCENARIO...")
@SEEDS
@FIRST
@JOBS
@TWIN
@OUT
def compare(
    rev: str, scenarios: tuple[str, ...], seeds: int, first: int, jobs: int, twin: bool, out: Path | None
) -> None:
    """Compare the policy of REV with this tree's, on the same scenarios and seeds."""
    names = [resolve(scenario) for scenario in scenarios]
    with revision_tree(rev) as tree:
        planned_runs = [
            PlannedRun(side, side_tree, name, seed, with_baseline=twin)
            for name in names
            for seed in range(first, first + seeds)
            for side, side_tree in ((rev, tree), ("this tree", THIS_TREE))
        ]
        totals = run_all(planned_runs, jobs, out)
    for index, scenario in enumerate(scenarios):
        click.echo(f"{scenario}: {rev} against this tree")
        print_comparison(totals[index * 2 * seeds : (index + 1) * 2 * seeds], rev, "this tree")


def run_with_field_off_and_on(
    field: str, sides: tuple[str, str], scenarios: tuple[str, ...], seeds: range, jobs: int, out: Path | None
) -> list[list[dict[str, object]]]:
    """Run scenarios with a boolean field off and on, with the same seeds.

    Return a list of totals for each scenario, in which the two sides of a seed are adjacent.
    """
    with tempfile.TemporaryDirectory(prefix="model-") as folder:
        planned_runs = []
        for name in scenarios:
            scenario = load(name)
            for side, value in zip(sides, (False, True), strict=True):
                (Path(folder) / f"{scenario.name}-{side}.toml").write_text(
                    dump(msgspec.structs.replace(scenario, **{field: value}))
                )
            planned_runs += [
                PlannedRun(side, THIS_TREE, str(Path(folder) / f"{scenario.name}-{side}.toml"), seed)
                for seed in seeds
                for side in sides
            ]
        totals = run_all(planned_runs, jobs, out)
    scenario_size = 2 * len(seeds)
    return [totals[start : start + scenario_size] for start in range(0, len(totals), scenario_size)]


@cli.command()
@comparison_arguments
def takeover(scenarios: tuple[str, ...], seeds: int, first: int, jobs: int, out: Path | None) -> None:
    """Compare scenarios without and with the takeover of work items of gateways that died."""
    sides, seed_range = ("lost", "kept"), range(first, first + seeds)
    totals_by_scenario = run_with_field_off_and_on("takeover", sides, scenarios, seed_range, jobs, out)
    for name, totals in zip(scenarios, totals_by_scenario, strict=True):
        click.echo(f"{name}: requests in flight when a gateway died, lost against kept")
        print_comparison(totals, *sides)
        takeover_counts = Counter()
        for total in totals:
            takeover_counts.update(total["kept"] if total["side"] == "kept" else {})
        click.echo(", ".join(f"{what} {count / seeds:g}" for what, count in sorted(takeover_counts.items())))


@cli.command()
@comparison_arguments
@click.option("--quotas", is_flag=True, help="Divide quotas by leases as well.")
def leases(
    scenarios: tuple[str, ...], seeds: int, first: int, jobs: int, out: Path | None, quotas: bool
) -> None:
    """Compare ceilings divided by fixed shares and quota messages with leases of the lease service."""
    sides, seed_range = ("fixed", "leased"), range(first, first + seeds)
    field = "leased_quotas" if quotas else "leased"
    totals_by_scenario = run_with_field_off_and_on(field, sides, scenarios, seed_range, jobs, out)
    for name, totals in zip(scenarios, totals_by_scenario, strict=True):
        click.echo(
            f"{name}: {'ceilings and quotas' if quotas else 'ceilings'} by fixed shares against leases"
        )
        print_comparison(totals, *sides)
        renewals_per_operation = sum(total["leases"] for total in totals) / sum(
            total["asks"] for total in totals[1::2]
        )
        click.echo(f"renewals at the lease service per operation: {renewals_per_operation:.3f}")


def parse_list(text: str, parse: Callable[[str], object], what: str) -> list:
    """Return the parsed items of a comma-separated list; `what` names them in the error.

    Raises:
        SimulationError: the list is empty, or an item is invalid or repeated.
    """
    try:
        values = [parse(item.strip()) for item in text.split(",") if item.strip()]
    except (ValueError, KeyError):
        values = []
    if not values or len(set(values)) < len(values):
        raise SimulationError(f"'{text}' is not a list of {what}")
    return values


def parse_share(text: str) -> float:
    """Return a share above 0 and up to 1; anything else raises a ValueError."""
    if not 0 < float(text) <= 1:
        raise ValueError(text)
    return float(text)


@cli.command()
@click.argument("scenario", default="back")
@click.option(
    "--parts",
    default="0.5,0.7,0.9,1.0",
    show_default=True,
    help="Shares of the gateways that are killed.",
)
@click.option(
    "--states",
    default="none,kept",
    show_default=True,
    help=f"States of their snapshots, out of {', '.join(get_args(StoredState))}.",
)
@SEEDS
@FIRST
@JOBS
def back(scenario: str, parts: str, states: str, seeds: int, first: int, jobs: int) -> None:
    """Measure the recovery after a share of the gateways was killed, by share and state of the snapshots.

    All runs of a seed are compared with one baseline run without faults.
    """
    from thistletrail.simulation.restarts import play_all, table_rows

    known_states = {name: name for name in get_args(StoredState)}
    killed_shares = parse_list(parts, parse_share, "shares")
    snapshot_states = parse_list(states, known_states.__getitem__, "states")
    figures = play_all(
        load(scenario),
        killed_shares,
        snapshot_states,
        range(first, first + seeds),
        jobs,
        lambda seed: click.echo(f"seed {seed}: all runs have ended", err=True),
    )
    click.echo(f"{'share':6}{'state':6}{'figure':26}{'mean':>10}  paired difference from state none [95%]")
    for share, state, name, mean, difference in table_rows(figures):
        click.echo(f"{share:<6g}{state:6}{name:26}{mean:10.4f}  {difference or ''}")
    if any(case_figures["broken rules"] for case_figures in figures.values()):
        sys.exit(EXIT_RULE_BROKEN)


@cli.command()
@click.argument("constant")
@click.argument("scenario")
@click.option(
    "--values", required=True, metavar="A,B,...", help="Values; the others are compared with the first."
)
@SEEDS
@FIRST
@JOBS
@OUT
def sweep(
    constant: str, scenario: str, values: str, seeds: int, first: int, jobs: int, out: Path | None
) -> None:
    """Run SCENARIO with several values of CONSTANT, a constant of the policy, on the same seeds."""
    numbers = [number.strip() for number in values.split(",") if number.strip()]
    if len(set(numbers)) < 2 or len(set(numbers)) < len(numbers):
        raise SimulationError("--values takes two or more different numbers")
    import thistletrail.policy.engine  # noqa: F401 - loads the modules that `set_constant` looks in

    for number in numbers:
        set_constant(f"{constant}={number}")
    name = resolve(scenario)
    planned_runs = [
        PlannedRun(number, THIS_TREE, name, seed, (f"{constant}={number}",))
        for seed in range(first, first + seeds)
        for number in numbers
    ]
    totals = run_all(planned_runs, jobs, out)
    for number in numbers[1:]:
        click.echo(f"{scenario}: {constant} = {numbers[0]} against {number}")
        sides = numbers[0], number
        print_comparison([total for total in totals if total["side"] in sides], *sides)


@cli.command()
@click.argument("runs", type=click.Path(exists=True, dir_okay=False, path_type=Path), nargs=-1, required=True)
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("report.html"), show_default=True
)
def report(runs: tuple[Path, ...], out: Path) -> None:
    """Write one HTML file with plots of RUNS: files of JSON lines that `run` wrote."""
    from thistletrail.simulation.report import read, write

    write([read(path) for path in runs], out)
    click.echo(f"wrote {out}")


@cli.command("search")
@click.option(
    "--seconds",
    type=click.FloatRange(0.1, 86_400),
    default=60.0,
    show_default=True,
    help="How long to search.",
)
@click.option(
    "--count", type=click.IntRange(1, 1_000_000), help="Number of scenarios to search, in place of --seconds."
)
@SEED
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="Folder for the scenarios that break a rule.",
)
def search_(seconds: float, count: int | None, seed: int, out: Path) -> None:
    """Search random scenarios for those that break a rule; each is shrunk and saved as a .toml file."""
    from thistletrail.simulation.search import search

    result = search(seed, out, seconds, count, lambda text: click.echo(text, err=True))
    click.echo(f"{result.played} scenarios run, {len(result.saved)} saved")
    for path in result.saved:
        click.echo(str(path))
    if result.saved:
        sys.exit(EXIT_RULE_BROKEN)


@cli.command()
@click.argument("bench", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--base", required=True, metavar="REV", help="The revision that the others are compared with.")
@SEEDS
@JOBS
def fidelity(bench: Path, base: str, seeds: int, jobs: int) -> None:
    """Compare how the simulation and a benchmark rank revisions; BENCH has its results as JSON lines."""
    from thistletrail.simulation.fidelity import BenchmarkResult, ranking_rows, read, render, scenario_for

    benchmark_results = read(bench)
    revs = sorted({result.rev for result in benchmark_results})
    if base not in revs or len(revs) < 3:
        raise SimulationError(
            f"{bench}: {base} is not among its revisions, or there are fewer than three: {', '.join(revs)}"
        )
    with contextlib.ExitStack() as stack:
        trees = {rev: stack.enter_context(revision_tree(rev)) for rev in revs}
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="model-")))
        planned_runs, benchmark_and_kind = [], {}
        for name, kind in sorted({(result.bench, result.kind) for result in benchmark_results}):
            scenario = scenario_for(name, kind)
            path = folder / f"{scenario.name}.toml"
            path.write_text(dump(scenario))
            benchmark_and_kind[scenario.name] = name, kind
            planned_runs += [
                PlannedRun(rev, trees[rev], str(path), seed) for seed in range(1, seeds + 1) for rev in revs
            ]
        simulation_results = [
            BenchmarkResult(*benchmark_and_kind[total["scenario"]], total["seed"], total["side"], total["g"])
            for total in run_all(planned_runs, jobs, None)
        ]
    click.echo(render(ranking_rows(benchmark_results, simulation_results, base), base))


if __name__ == "__main__":
    cli()
