"""Measures the recovery after restarts of several shares of the gateways, with and without stored state.

Gateways of several source trees can be compared.

Each run is a process of its own (`python -m thistletrail.fault_injection run`), so that several run in
parallel. The baseline run without faults is played once for each tree, state and seed.
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
from thistletrail.fault_injection.figures import Figures, compute_figures
from thistletrail.fault_injection.plan import Plan, dump
from thistletrail.fault_injection.runs import Run, format_value, load_run, median
from thistletrail.simulation.experiment import Runner

# By the name of a state: the `state` of the restart fault, and whether gateways store snapshots at all.
STATES = {"none": ("none", False), "kept": ("kept", True), "stale": ("stale", True)}
TERMINATION_TIMEOUT_S = 20.0  # for a run to end all its processes after SIGTERM


@dataclass(frozen=True, slots=True)
class Case:
    """One run: the gateways' source tree, the share that restarts, and their state after the restart."""

    side: str  # name of the source tree: a revision, or `this tree`
    tree: Path
    restarted_share: float  # 0: the baseline run without faults
    state: str
    seed: int

    @property
    def name(self) -> str:
        """The name of the folder in which the run is stored."""
        return f"{self.side.replace(' ', '-')}-{self.state}-{self.restarted_share:g}-{self.seed}"


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a case: its figures compared with its baseline run, and its violations."""

    case: Case
    figures: Figures
    violations: list[str]


def list_cases(
    sides: dict[str, Path], shares: Iterable[float], states: Iterable[str], seeds: Iterable[int]
) -> list[Case]:
    """Return all cases in the order of their runs.

    `sides` are the source trees by name, which take turns. Each seed and state begins with the baseline runs.
    """
    return [
        Case(side, tree, share, state, seed)
        for seed in seeds
        for state in states
        for share in (0.0, *shares)
        for side, tree in sides.items()
    ]


def plan_for(plan: Plan, case: Case) -> Plan:
    """Return the plan with the case's share and state in its first fault; without faults for a baseline run.

    Raises FaultInjectionError if the first fault does not restart gateways.
    """
    if not plan.faults or plan.faults[0].kind not in ("kill", "term") or plan.faults[0].on != "doors":
        raise FaultInjectionError(
            f"{plan.name}: its first fault does not restart gateways (kind kill or term, on doors)"
        )
    state, stores_state = STATES[case.state]
    replace = msgspec.structs.replace
    first = replace(plan.faults[0], part=case.restarted_share, numbers=(), state=state)
    faults = (first, *plan.faults[1:]) if case.restarted_share else ()
    return replace(plan, faults=faults, state=stores_state)


def play(runner: Runner, plan: Plan, case: Case, out: Path) -> Run:
    """Play a case in its own process and load the stored run. Raises SimulationError if the process fails."""
    folder = out / case.name
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "wanted.toml"
    path.write_text(dump(plan_for(plan, case)))
    command = [
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
    runner.run_command(command, ROOT, os.environ, case.name)
    return load_run(folder)


def measure(
    plan: Plan, cases: list[Case], jobs: int, out: Path, report_progress: Callable[[str], None]
) -> list[Result]:
    """Play all cases and compare each with its baseline run. The first failure stops all other runs."""
    runner, pool = Runner(jobs, TERMINATION_TIMEOUT_S), ThreadPoolExecutor(jobs)
    try:
        futures = [pool.submit(play, runner, plan, case, out) for case in cases]
        runs: dict[Case, Run] = {}
        for case, future in zip(cases, futures, strict=True):
            runs[case] = future.result()
            report_progress(
                f"{len(runs)} of {len(cases)}: {case.name}: served {runs[case].figures.served:.3f}, "
                f"{len(runs[case].violations)} violations"
            )
    finally:
        runner.stop()
        pool.shutdown(cancel_futures=True)
    results = []
    for case, run in runs.items():
        baseline = runs[Case(case.side, case.tree, 0.0, case.state, case.seed)]
        if case.restarted_share:
            results.append(
                Result(
                    case,
                    compute_figures(run.history, baseline.history),
                    [f"{violation.rule}: {violation.text}" for violation in run.violations],
                )
            )
    return results


# "to baseline" is the ratio to the baseline run, "less baseline" the difference from it.
COLUMNS: dict[str, Callable[[Figures], object]] = {
    "full service, s": lambda figures: figures.full_s,
    "after the last PONG": lambda figures: figures.full_after_pong_s,
    "worst second": lambda figures: figures.worst_second,
    "worth lost": lambda figures: figures.lost,
    "connections to baseline": lambda figures: figures.connections / max(1, figures.connections_calm or 0),
    "quota messages to baseline": lambda figures: figures.words / max(1, figures.words_calm or 0),
    "registry reads to baseline": lambda figures: figures.list_reads / max(1, figures.list_reads_calm or 0),
    "beyond quotas, less baseline": lambda figures: figures.beyond - (figures.beyond_calm or 0),
    "retries": lambda figures: figures.retries,
    "failed": lambda figures: figures.failed,
    "collapsed scan servers": lambda figures: figures.pushed_over,
}


def table(results: list[Result]) -> list[list[str]]:
    """Return a table by side, state and share: medians over the seeds, and the number of violations."""
    rows = [["gateways", "state", "share", "seeds", *COLUMNS, "violations"]]
    for side, state, share in dict.fromkeys(
        (result.case.side, result.case.state, result.case.restarted_share) for result in results
    ):
        matching = [
            result
            for result in results
            if (result.case.side, result.case.state, result.case.restarted_share) == (side, state, share)
        ]
        cells = [
            format_value(median([column(result.figures) for result in matching]))
            for column in COLUMNS.values()
        ]
        rows.append(
            [
                side,
                state,
                f"{share:g}",
                str(len(matching)),
                *cells,
                str(sum(len(result.violations) for result in matching)),
            ]
        )
    return rows
