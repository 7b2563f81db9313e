"""Runs of plans, kept in folders: a play and its calm twin, pairs against a revision, random plans."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from thistletrail.benchmarks.process import Tree
from thistletrail.fault_injection.checks import RunHistory, Violation, check
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.figures import Figures, figures
from thistletrail.fault_injection.history import read, write
from thistletrail.fault_injection.plan import Plan, dump, load
from thistletrail.fault_injection.play import Say, play

HISTORY, CALM, PLAN, RESULT = "history.jsonl", "calm.jsonl", "plan.toml", "result.json"


@dataclass(frozen=True, slots=True)
class Run:
    """A plan that was played, its calm twin where there was one, and what came of it."""

    plan: Plan
    seed: int
    seen: RunHistory
    calm: RunHistory | None
    figures: Figures
    violations: list[Violation]


def play_once(plan: Plan, seed: int, tree: Tree, say: Say, more: dict[str, Any] | None = None) -> RunHistory:
    """Play a plan in a folder that is gone afterwards. Ctrl-C ends all processes first."""
    with (
        tempfile.TemporaryDirectory(prefix="fault_injection-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        try:
            return RunHistory(runner.run(play(plan, seed, tree, Path(folder), say, more)), plan, seed)
        except asyncio.CancelledError:  # by SIGTERM or Ctrl-C, and all processes have ended
            raise KeyboardInterrupt from None


def run(
    plan: Plan, seed: int, tree: Tree, say: Say, twin: bool = True, more: dict[str, Any] | None = None
) -> Run:
    """Play a plan, and before it the same load without its faults."""
    calm = (
        play_once(plan.without_faults, seed, tree, say, more)
        if twin and plan.without_faults != plan
        else None
    )
    seen = play_once(plan, seed, tree, say, more)
    return Run(plan, seed, seen, calm, figures(seen, calm), check(seen))


def keep(found: Run, folder: Path) -> None:
    """Keep a run's plan, histories and figures."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / PLAN).write_text(dump(found.plan))
        result = {
            "seed": found.seed,
            "figures": found.figures.as_json(),
            "violations": [[one.rule, one.at_us, one.text] for one in found.violations],
        }
        (folder / RESULT).write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    except OSError as error:
        raise FaultInjectionError(f"{folder}: {error.strerror}") from error
    for seen, name in ((found.seen, HISTORY), (found.calm, CALM)):
        if seen is not None:
            write((record for kind in seen.by.values() for record in kind), folder / name)


def kept(folder: Path) -> Run:
    """A run that was kept; its figures and violations are taken from its histories anew."""
    if not (folder / PLAN).exists():
        raise FaultInjectionError(f"{folder} holds no run")
    plan = load(str(folder / PLAN))
    try:
        seed = int(msgspec.json.decode((folder / RESULT).read_bytes())["seed"])
    except (OSError, msgspec.DecodeError, KeyError, TypeError, ValueError):
        raise FaultInjectionError(f"{folder / RESULT} tells no seed") from None
    seen = RunHistory(read(folder / HISTORY), plan, seed)
    calm = RunHistory(read(folder / CALM), plan.without_faults, seed) if (folder / CALM).exists() else None
    return Run(plan, seed, seen, calm, figures(seen, calm), check(seen))


def text(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def rows(sides: list[tuple[str, list[dict[str, object]]]]) -> list[list[str]]:
    """A table of figures: a row each, a column for each side with the median of its runs; never counts as
    the worst."""
    names = list(dict.fromkeys(name for _, runs in sides for one in runs for name in one))
    found = [["figure", *(name for name, _ in sides)]]
    for name in names:
        found.append([name, *(text(median([one.get(name) for one in runs])) for _, runs in sides)])
    return found


def median(values: list[Any]) -> Any:  # noqa: ANN401 - a figure of any kind
    """The middle one; None, which means never or not known, counts as more than any number."""
    ordered = sorted(values, key=lambda value: (value is None, value if value is not None else 0))
    return ordered[(len(ordered) - 1) // 2] if ordered else None


def show(table: list[list[str]]) -> str:
    widths = [max(len(row[n]) for row in table) for n in range(len(table[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if not n else cell.rjust(width)
            for n, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        for row in table
    )
