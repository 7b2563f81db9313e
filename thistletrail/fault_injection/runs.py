"""Runs of plans with their baseline runs without faults: playing, storing, loading, tables of figures."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from thistletrail.benchmarks.process import GatewaySourceTree
from thistletrail.fault_injection.checks import RunHistory, Violation, check
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.figures import Figures, compute_figures
from thistletrail.fault_injection.history import read, write
from thistletrail.fault_injection.plan import Plan, dump, load
from thistletrail.fault_injection.play import ProgressCallback, play

# The files of a stored run.
HISTORY_FILE, BASELINE_HISTORY_FILE = "history.jsonl", "calm.jsonl"
PLAN_FILE, RESULT_FILE = "plan.toml", "result.json"


@dataclass(frozen=True, slots=True)
class Run:
    """A played plan: its history, that of its baseline run if there is one, its figures and violations."""

    plan: Plan
    seed: int
    history: RunHistory
    baseline: RunHistory | None
    figures: Figures
    violations: list[Violation]


def play_once(
    plan: Plan,
    seed: int,
    tree: GatewaySourceTree,
    report_progress: ProgressCallback,
    extra_gateway_config: dict[str, Any] | None = None,
) -> RunHistory:
    """Play a plan once in a temporary folder and return the history.

    On SIGTERM or Ctrl-C all processes end before KeyboardInterrupt is raised.
    """
    with (
        tempfile.TemporaryDirectory(prefix="fault_injection-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        try:
            return RunHistory(
                runner.run(play(plan, seed, tree, Path(folder), report_progress, extra_gateway_config)),
                plan,
                seed,
            )
        except asyncio.CancelledError:  # SIGTERM or Ctrl-C; all processes have ended
            raise KeyboardInterrupt from None


def run(
    plan: Plan,
    seed: int,
    tree: GatewaySourceTree,
    report_progress: ProgressCallback,
    with_baseline: bool = True,
    extra_gateway_config: dict[str, Any] | None = None,
) -> Run:
    """Play a plan, after a baseline run of the same load without faults unless that is disabled."""
    baseline = (
        play_once(plan.without_faults, seed, tree, report_progress, extra_gateway_config)
        if with_baseline and plan.without_faults != plan
        else None
    )
    history = play_once(plan, seed, tree, report_progress, extra_gateway_config)
    return Run(plan, seed, history, baseline, compute_figures(history, baseline), check(history))


def store_run(run: Run, folder: Path) -> None:
    """Store a run's plan, histories, figures and violations in a folder.

    Raises FaultInjectionError if the folder cannot be written.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / PLAN_FILE).write_text(dump(run.plan))
        result = {
            "seed": run.seed,
            "figures": run.figures.as_json(),
            "violations": [[violation.rule, violation.at_us, violation.text] for violation in run.violations],
        }
        (folder / RESULT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    except OSError as error:
        raise FaultInjectionError(f"{folder}: {error.strerror}") from error
    for history, name in ((run.history, HISTORY_FILE), (run.baseline, BASELINE_HISTORY_FILE)):
        if history is not None:
            write(
                (record for records in history.records_by_kind.values() for record in records), folder / name
            )


def load_run(folder: Path) -> Run:
    """Load a stored run; its figures and violations are computed again from its histories.

    Raises FaultInjectionError if the folder holds no run or no seed.
    """
    if not (folder / PLAN_FILE).exists():
        raise FaultInjectionError(f"{folder} holds no run: it has no {PLAN_FILE}")
    plan = load(str(folder / PLAN_FILE))
    try:
        seed = int(msgspec.json.decode((folder / RESULT_FILE).read_bytes())["seed"])
    except (OSError, msgspec.DecodeError, KeyError, TypeError, ValueError):
        raise FaultInjectionError(f"{folder / RESULT_FILE} has no seed") from None
    history = RunHistory(read(folder / HISTORY_FILE), plan, seed)
    baseline = (
        RunHistory(read(folder / BASELINE_HISTORY_FILE), plan.without_faults, seed)
        if (folder / BASELINE_HISTORY_FILE).exists()
        else None
    )
    return Run(plan, seed, history, baseline, compute_figures(history, baseline), check(history))


def format_value(value: object) -> str:
    """Return a figure as text: three decimal places for a float, "-" for None."""
    if value is None:
        return "-"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def figure_table(
    sides: list[tuple[str, list[dict[str, object]]]], labels: Mapping[str, str] | None = None
) -> list[list[str]]:
    """Return a table with a row for each figure and a column for each side: the median of its runs.

    `sides` are pairs of a column's heading and the figures of each of its runs. A row begins with the
    figure's key and, if `labels` has one for it, what the figure counts. A figure that is None (never or
    unknown) counts as the worst in the median.
    """
    names = list(dict.fromkeys(name for _, runs in sides for figures in runs for name in figures))
    table = [["figure", *(name for name, _ in sides)]]
    for name in names:
        label = f"{name}: {labels[name]}" if labels and name in labels else name
        table.append(
            [label, *(format_value(median([figures.get(name) for figures in runs])) for _, runs in sides)]
        )
    return table


def median(values: list[Any]) -> Any:  # noqa: ANN401 - a figure of any kind
    """Return the lower median; None, which means never or unknown, counts as larger than any number."""
    ordered = sorted(values, key=lambda value: (value is None, value if value is not None else 0))
    return ordered[(len(ordered) - 1) // 2] if ordered else None


def format_table(table: list[list[str]]) -> str:
    """Return the rows as lines of aligned columns: the first aligned left, the others right."""
    widths = [max(len(row[n]) for row in table) for n in range(len(table[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if not n else cell.rjust(width)
            for n, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        for row in table
    )
