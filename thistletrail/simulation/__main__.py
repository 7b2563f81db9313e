"""The model's commands: run, compare, takeover, leases, back, sweep, report and search."""

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
from thistletrail.simulation import day as days
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.experiment import BROKEN, THIS_TREE, Play, Runner, revision, set_constant, table
from thistletrail.simulation.scenario import Stored, dump, known, load


class SimulationGroup(Group):
    """The commands of the simulation; what a user did wrong is one plain line."""

    errors: ClassVar[tuple[type[Exception], ...]] = (ModelError,)


@click.group("simulation", cls=SimulationGroup, context_settings=HELP)
def cli() -> None:
    """The fleet in simulated time: one run, pairs against a revision, a constant at several values."""
    end_on_signals()


SEED = click.option(
    "--seed", type=click.IntRange(0, 2**53), default=1, show_default=True, help="Of all random numbers."
)
JOBS = click.option(
    "--jobs",
    type=click.IntRange(1, 256),
    default=os.cpu_count() or 1,
    show_default=True,
    help="Processes at once.",
)
SEEDS = click.option(
    "--seeds",
    type=click.IntRange(1, 1000),
    default=5,
    show_default=True,
    help="Pairs: as many seeds, from --first on.",
)
FIRST = click.option("--first", type=click.IntRange(0, 2**53), default=1, show_default=True)
TWIN = click.option(
    "--twin", is_flag=True, help="Play it without its troubles too, and tell the way back to full service."
)
OUT = click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Keep each run's total as it ends, a JSON line each; what is there already is kept.",
)


def on_scenarios(command: Callable[..., None]) -> Callable[..., None]:
    """What commands take that play scenarios in pairs."""
    scenarios = click.argument("scenarios", nargs=-1, required=True, metavar="SCENARIO...")
    for option in (OUT, JOBS, FIRST, SEEDS, scenarios):
        command = option(command)
    return command


@cli.command()
@click.argument("scenario")
@SEED
@click.option("--total", is_flag=True, help="The last line alone.")
@click.option("--set", "settings", multiple=True, metavar="NAME=NUMBER", help="A constant of the module.")
@TWIN
@click.option("--out", type=click.File("wb"), default="-", help="Where the JSON lines go.")
def run(scenario: str, seed: int, total: bool, settings: tuple[str, ...], twin: bool, out: BinaryIO) -> None:
    """Play SCENARIO (a name or a .toml file) once; JSON lines. Exit code 3 where a rule was broken."""
    found = load(scenario)
    for setting in settings:
        set_constant(setting)
    started = time.process_time()
    day = days.play(found, seed)
    way = {"way": day.way(days.play(days.calm(found), seed))} if twin and found.troubles else {}
    for line in [days.line({**day.result(), **way})] if total else day.lines(**way):
        out.write(line)
    out.flush()
    if sys.stderr.isatty():
        click.echo(f"{time.process_time() - started:.1f} s of processor time", err=True)
    if day.books.violation_counts or day.books.check():
        sys.exit(BROKEN)


@cli.command("list")
def list_() -> None:
    """The scenarios that come with the model."""
    for name in known():
        found = load(name)
        click.echo(f"{name:10} {found.doors} doors, {found.servers.count} servers, {found.length_s:g} s")


def resolve(scenario: str) -> str:
    """A scenario as a play in another folder names it; checked before any process is started."""
    load(scenario)
    return str(Path(scenario).resolve()) if scenario.endswith(".toml") else scenario


def play_all(plays: list[Play], jobs: int, out: Path | None) -> list[dict[str, object]]:
    """Make the plays, with progress on standard error and each total kept as it ends."""
    runner, ended = Runner(jobs), 0
    try:
        kept = out.open("ab") if out else None
    except OSError as error:
        raise ModelError(f"{out}: {error.strerror}") from error

    def done(total: dict[str, object]) -> None:
        nonlocal ended
        ended += 1
        if kept:
            kept.write(msgspec.json.encode(total) + b"\n")
            kept.flush()
        click.echo(
            f"{ended} of {len(plays)}: {total['side']}, {total['scenario']}, seed {total['seed']}: "
            f"G {total['g']:.4f}",
            err=True,
        )

    try:
        return runner.play_all(plays, done)
    finally:
        runner.stop()
        if kept:
            kept.close()


def show(results: list[dict[str, object]], old: str, new: str) -> None:
    click.echo(f"{'figure':28} {old:>10.10} {new:>10.10}  median of the paired differences [95%]")
    for name, before, after, interval in table(results, old, new):
        click.echo(f"{name:28} {before:10.4f} {after:10.4f}  {interval}")


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
    """The decision module of REV against this tree's, on the same scenarios and seeds, in turns."""
    names = [resolve(scenario) for scenario in scenarios]
    with revision(rev) as tree:
        plays = [
            Play(side, where, name, seed, twin=twin)
            for name in names
            for seed in range(first, first + seeds)
            for side, where in ((rev, tree), ("this tree", THIS_TREE))
        ]
        results = play_all(plays, jobs, out)
    for number, scenario in enumerate(scenarios):
        click.echo(f"{scenario}: {rev} against this tree")
        show(results[number * 2 * seeds : (number + 1) * 2 * seeds], rev, "this tree")


def switched(
    field: str, sides: tuple[str, str], scenarios: tuple[str, ...], seeds: range, jobs: int, out: Path | None
) -> list[list[dict[str, object]]]:
    """Scenarios with a field of theirs off and on, on the same seeds, in turns: by scenario, all plays."""
    with tempfile.TemporaryDirectory(prefix="model-") as folder:
        plays = []
        for name in scenarios:
            scenario = load(name)
            for side, value in zip(sides, (False, True), strict=True):
                (Path(folder) / f"{scenario.name}-{side}.toml").write_text(
                    dump(msgspec.structs.replace(scenario, **{field: value}))
                )
            plays += [
                Play(side, THIS_TREE, str(Path(folder) / f"{scenario.name}-{side}.toml"), seed)
                for seed in seeds
                for side in sides
            ]
        results = play_all(plays, jobs, out)
    each = 2 * len(seeds)
    return [results[at : at + each] for at in range(0, len(results), each)]


@cli.command()
@on_scenarios
def takeover(scenarios: tuple[str, ...], seeds: int, first: int, jobs: int, out: Path | None) -> None:
    """Scenarios with work in hand lost with its door against kept by a steward, on the same seeds."""
    sides, many = ("lost", "kept"), range(first, first + seeds)
    for name, these in zip(scenarios, switched("takeover", sides, scenarios, many, jobs, out), strict=True):
        click.echo(f"{name}: work in hand lost against kept")
        show(these, *sides)
        counts = Counter()  # of a play with it
        for total in these:
            counts.update(total["kept"] if total["side"] == "kept" else {})
        click.echo(", ".join(f"{what} {count / seeds:g}" for what, count in sorted(counts.items())))


@cli.command()
@on_scenarios
@click.option("--quotas", is_flag=True, help="Quotas by leases as well.")
def leases(
    scenarios: tuple[str, ...], seeds: int, first: int, jobs: int, out: Path | None, quotas: bool
) -> None:
    """Scenarios with ceilings by fixed parts and words against leases of a steward, on the same seeds."""
    sides, many = ("fixed", "leased"), range(first, first + seeds)
    field = "leased_quotas" if quotas else "leased"
    for name, these in zip(scenarios, switched(field, sides, scenarios, many, jobs, out), strict=True):
        click.echo(f"{name}: {'ceilings and quotas' if quotas else 'ceilings'} by fixed parts against leases")
        show(these, *sides)
        asks = sum(total["leases"] for total in these) / sum(total["asks"] for total in these[1::2])
        click.echo(f"asks of the steward, for each of a client's: {asks:.3f}")


def listed(text: str, read: Callable[[str], object], what: str) -> list:
    """Words with commas between them; a ModelError where one is none of `what`, or comes twice."""
    try:
        found = [read(word.strip()) for word in text.split(",") if word.strip()]
    except (ValueError, KeyError):
        found = []
    if not found or len(set(found)) < len(found):
        raise ModelError(f"'{text}' is not a list of {what}")
    return found


def share(text: str) -> float:
    if not 0 < float(text) <= 1:
        raise ValueError(text)
    return float(text)


@cli.command()
@click.argument("scenario", default="back")
@click.option("--parts", default="0.5,0.7,0.9,1.0", show_default=True, help="Shares of the doors.")
@click.option("--states", default="none,kept", show_default=True, help=f"Of {', '.join(get_args(Stored))}.")
@SEEDS
@FIRST
@JOBS
def back(scenario: str, parts: str, states: str, seeds: int, first: int, jobs: int) -> None:
    """The way back after several shares of the doors were killed at once, with what they stored and without,
    against one calm twin a seed."""
    from thistletrail.simulation.back import play_all, table

    known_states = {name: name for name in get_args(Stored)}
    shares, kept = listed(parts, share, "shares"), listed(states, known_states.__getitem__, "states")
    found = play_all(
        load(scenario),
        shares,
        kept,
        range(first, first + seeds),
        jobs,
        lambda seed: click.echo(f"seed {seed} is played", err=True),
    )
    click.echo(f"{'share':6}{'state':6}{'figure':20}{'mean':>10}  difference to none, by pairs [95%]")
    for part, state, name, mean, apart in table(found):
        click.echo(f"{part:<6g}{state:6}{name:20}{mean:10.4f}  {apart or ''}")
    if any(one["broken rules"] for one in found.values()):
        sys.exit(BROKEN)


@cli.command()
@click.argument("constant")
@click.argument("scenario")
@click.option("--values", required=True, metavar="A,B,...", help="The others are held against the first.")
@SEEDS
@FIRST
@JOBS
@OUT
def sweep(
    constant: str, scenario: str, values: str, seeds: int, first: int, jobs: int, out: Path | None
) -> None:
    """CONSTANT of the decision module at several values, on the same seeds of SCENARIO."""
    words = [word.strip() for word in values.split(",") if word.strip()]
    if len(set(words)) < 2 or len(set(words)) < len(words):
        raise ModelError("--values takes two or more different numbers")
    import thistletrail.policy.engine  # noqa: F401 - its constants are what is checked here

    for word in words:
        set_constant(f"{constant}={word}")
    name = resolve(scenario)
    plays = [
        Play(word, THIS_TREE, name, seed, (f"{constant}={word}",))
        for seed in range(first, first + seeds)
        for word in words
    ]
    results = play_all(plays, jobs, out)
    for word in words[1:]:
        click.echo(f"{scenario}: {constant} = {words[0]} against {word}")
        show([total for total in results if total["side"] in (words[0], word)], words[0], word)


@cli.command()
@click.argument("runs", type=click.Path(exists=True, dir_okay=False, path_type=Path), nargs=-1, required=True)
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("report.html"), show_default=True
)
def report(runs: tuple[Path, ...], out: Path) -> None:
    """One HTML file with plots of the JSON lines that `run` wrote, the first against the others."""
    from thistletrail.simulation.report import read, write

    write([read(path) for path in runs], out)
    click.echo(f"{out} is written")


@cli.command()
@click.option(
    "--seconds",
    type=click.FloatRange(0.1, 86_400),
    default=60.0,
    show_default=True,
    help="For how long to look.",
)
@click.option("--count", type=click.IntRange(1, 1_000_000), help="Look at so many scenarios instead.")
@SEED
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="Where what breaks a rule is kept.",
)
def search(seconds: float, count: int | None, seed: int, out: Path) -> None:
    """Play random scenarios; one that breaks a rule is made small and kept as a .toml file."""
    from thistletrail.simulation.search import look

    found = look(seed, out, seconds, count, lambda text: click.echo(text, err=True))
    click.echo(f"{found.played} scenarios played, {len(found.kept)} kept")
    for path in found.kept:
        click.echo(str(path))
    if found.kept:
        sys.exit(BROKEN)


@cli.command()
@click.argument("bench", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--base", required=True, metavar="REV", help="The revision that the others are held against.")
@SEEDS
@JOBS
def fidelity(bench: Path, base: str, seeds: int, jobs: int) -> None:
    """How the model ranks the revisions that the bench's figures in BENCH (JSON lines) name; a table."""
    from thistletrail.simulation.fidelity import Figure, fitting, read, render, table

    seen = read(bench)
    revs = sorted({figure.rev for figure in seen})
    if base not in revs or len(revs) < 3:
        raise ModelError(f"{bench}: {base} is not among at least three revisions")
    with contextlib.ExitStack() as stack:
        trees = {rev: stack.enter_context(revision(rev)) for rev in revs}
        scratch = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="model-")))
        plays, of = [], {}
        for name, kind in sorted({(figure.bench, figure.kind) for figure in seen}):
            scenario = fitting(name, kind)
            path = scratch / f"{scenario.name}.toml"
            path.write_text(dump(scenario))
            of[scenario.name] = name, kind
            plays += [Play(rev, trees[rev], str(path), seed) for seed in range(1, seeds + 1) for rev in revs]
        found = [
            Figure(*of[total["scenario"]], total["seed"], total["side"], total["g"])
            for total in play_all(plays, jobs, None)
        ]
    click.echo(render(table(seen, found, base), base))


if __name__ == "__main__":
    cli()
