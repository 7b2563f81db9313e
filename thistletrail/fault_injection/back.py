"""The way back measured: restarts of several shares of the doors, with and without state, of several trees.

Each play is a process of its own (`python -m thistletrail.fault_injection run`), so that several go on side
by side; a calm twin is played once for each tree and seed.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec

from thistletrail.benchmarks.process import ROOT
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.figures import Figures, figures
from thistletrail.fault_injection.plan import Plan, dump
from thistletrail.fault_injection.runs import Run, kept, median, text
from thistletrail.simulation.experiment import Runner

STATES = {"none": ("none", False), "kept": ("kept", True), "stale": ("stale", True)}
END_S = 20.0  # for a play to end all its processes after SIGTERM


@dataclass(frozen=True, slots=True)
class Case:
    """One play: which doors' tree, what share of the doors, what state they come back with."""

    side: str
    tree: Path
    part: float  # 0: the calm twin
    state: str
    seed: int

    @property
    def name(self) -> str:
        return f"{self.side.replace(' ', '-')}-{self.state}-{self.part:g}-{self.seed}"


@dataclass(frozen=True, slots=True)
class Result:
    """What became of a case: its figures against its twin, and the rules that it broke."""

    case: Case
    figures: Figures
    violations: list[str]


def cases(
    sides: dict[str, Path], parts: Iterable[float], states: Iterable[str], seeds: Iterable[int]
) -> list[Case]:
    """All plays in the order in which they are made: sides in turns, twins among them."""
    return [
        Case(side, tree, part, state, seed)
        for seed in seeds
        for state in states
        for part in (0.0, *parts)
        for side, tree in sides.items()
    ]


def plan_of(plan: Plan, case: Case) -> Plan:
    """The plan with its first fault on that share of the doors, which come back with that state."""
    if not plan.faults or plan.faults[0].kind not in ("kill", "term") or plan.faults[0].on != "doors":
        raise FaultInjectionError(f"{plan.name}: its first fault does not restart doors")
    state, kept_ = STATES[case.state]
    replace = msgspec.structs.replace
    first = replace(plan.faults[0], part=case.part, numbers=(), state=state)
    faults = (first, *plan.faults[1:]) if case.part else ()
    return replace(plan, faults=faults, state=kept_)


def play(runner: Runner, plan: Plan, case: Case, out: Path) -> Run:
    """One play in a process of its own, kept in its folder; one that fails is a ModelError."""
    folder = out / case.name
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "wanted.toml"
    path.write_text(dump(plan_of(plan, case)))
    words = [
        sys.executable,
        "-m",
        "thistletrail.fault_injection",
        "run",
        str(path),
        "--seed",
        str(case.seed),
        "--no-twin",
        "--out",
        str(folder),
        "--tree",
        str(case.tree),
    ]
    runner.run(words, ROOT, os.environ, case.name)
    return kept(folder)


def measure(plan: Plan, wanted: list[Case], jobs: int, out: Path, say: Callable[[str], None]) -> list[Result]:
    """Make all plays and hold each against its twin. What cannot be played ends all others."""
    runner, pool = Runner(jobs, END_S), ThreadPoolExecutor(jobs)
    try:
        futures = [pool.submit(play, runner, plan, case, out) for case in wanted]
        runs: dict[Case, Run] = {}
        for case, future in zip(wanted, futures, strict=True):
            runs[case] = future.result()
            say(
                f"{len(runs)} of {len(wanted)}: {case.name}: served {runs[case].figures.served:.3f}, "
                f"{len(runs[case].violations)} broken"
            )
    finally:
        runner.stop()
        pool.shutdown(cancel_futures=True)
    found = []
    for case, run in runs.items():
        twin = runs[Case(case.side, case.tree, 0.0, case.state, case.seed)]
        if case.part:
            found.append(
                Result(
                    case, figures(run.seen, twin.seen), [f"{one.rule}: {one.text}" for one in run.violations]
                )
            )
    return found


COLUMNS: dict[str, Callable[[Figures], object]] = {
    "full service, s": lambda found: found.full_s,
    "after the last PONG": lambda found: found.full_after_pong_s,
    "worst second": lambda found: found.worst_second,
    "worth lost": lambda found: found.lost,
    "opened to calm": lambda found: found.connections / max(1, found.connections_calm or 0),
    "words to calm": lambda found: found.words / max(1, found.words_calm or 0),
    "list reads to calm": lambda found: found.list_reads / max(1, found.list_reads_calm or 0),
    "beyond, less calm": lambda found: found.beyond - (found.beyond_calm or 0),
    "retries": lambda found: found.retries,
    "failed": lambda found: found.failed,
    "pushed over": lambda found: found.pushed_over,
}


def table(results: list[Result]) -> list[list[str]]:
    """By side, state and share: the median of each figure over the seeds, and all broken rules."""
    rows = [["doors", "state", "share", "seeds", *COLUMNS, "broken"]]
    for key in dict.fromkeys((one.case.side, one.case.state, one.case.part) for one in results):
        of = [one for one in results if (one.case.side, one.case.state, one.case.part) == key]
        cells = [text(median([column(one.figures) for one in of])) for column in COLUMNS.values()]
        rows.append(
            [key[0], key[1], f"{key[2]:g}", str(len(of)), *cells, str(sum(len(one.violations) for one in of))]
        )
    return rows
