"""Measures the recovery after a share of the gateways was killed, for several shares and snapshot states.

All runs of a seed are compared with one baseline run, as they all have the same load.
"""

from __future__ import annotations

import multiprocessing
import os
import signal
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

import msgspec

from thistletrail.process_lifetime import die_with_parent
from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.experiment import Interval, bootstrap, compared_figures
from thistletrail.simulation.run import play, without_faults
from thistletrail.simulation.scenario import Scenario, StoredState

REFERENCE_STATE: StoredState = "none"  # the state with which the others are compared, by seed


@dataclass(frozen=True, slots=True)
class Case:
    """One run: the share of gateways that is killed, the state of their snapshots, and the seed."""

    killed_share: float
    state: StoredState
    seed: int


def scenario_for(scenario: Scenario, case: Case) -> Scenario:
    """Return the scenario with its first fault set to the share and the state of the case.

    Raises:
        SimulationError: the first fault does not kill gateways.
    """
    first = scenario.troubles[0] if scenario.troubles else None
    if first is None or first.kind != "kill_doors":
        raise SimulationError(f"{scenario.name}: its first fault does not kill gateways")
    fault = msgspec.structs.replace(first, part=case.killed_share, state=case.state)
    return msgspec.structs.replace(scenario, stored=True, troubles=(fault, *scenario.troubles[1:]))


def play_seed(scenario: Scenario, cases: list[Case]) -> list[tuple[Case, dict[str, float]]]:
    """Play all cases of one seed, and return their figures with the recovery against the baseline run."""
    seed = cases[0].seed
    baseline = play(without_faults(scenario_for(scenario, cases[0])), seed)
    results = []
    for case in cases:
        run = play(scenario_for(scenario, case), seed)
        results.append((case, compared_figures({**run.result(), "way": run.recovery(baseline)})))
    return results


def set_up_worker(parent_pid: int) -> None:
    """Ignore SIGINT, as the parent ends its workers on Ctrl-C, and let this worker die with the parent."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    die_with_parent(parent_pid)


def play_all(
    scenario: Scenario,
    killed_shares: Iterable[float],
    states: Iterable[StoredState],
    seeds: Iterable[int],
    jobs: int,
    on_seed: Callable[[int], None],
) -> dict[Case, dict[str, float]]:
    """Play all cases in worker processes and return their figures; `on_seed` is called as each seed ends.

    Raises:
        SimulationError: the first fault of the scenario does not kill gateways.
    """
    cases = [[Case(share, state, seed) for share in killed_shares for state in states] for seed in seeds]
    scenario_for(scenario, cases[0][0])  # invalid input fails here, before any worker starts
    figures: dict[Case, dict[str, float]] = {}
    pool = ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn"), set_up_worker, (os.getpid(),))
    try:
        futures = {pool.submit(play_seed, scenario, seed_cases): seed_cases[0].seed for seed_cases in cases}
        for future in as_completed(futures):
            figures.update(future.result())
            on_seed(futures[future])
    except BaseException:
        # Without this, `shutdown` would wait for the runs in progress.
        for process in list((pool._processes or {}).values()):
            os.kill(process.pid, signal.SIGTERM)
        raise
    finally:
        pool.shutdown(cancel_futures=True)
    return figures


SHOWN_FIGURES = (
    "g",
    "whole",
    "over_quota",
    "units beyond quota",
    "messages per operation",
    "full service, s",
    "after the last gateway, s",
    "worst second",
    "worth lost",
    "handshakes to baseline",
    "collapsed servers",
    "broken rules",
)


def table_rows(
    figures: dict[Case, dict[str, float]],
) -> Iterator[tuple[float, str, str, float, Interval | None]]:
    """Yield for each share, state and figure the mean, and the paired differences from the reference state.

    The differences are None for the reference state, and where it was not played with all of the seeds.
    """
    for share, state in dict.fromkeys((case.killed_share, case.state) for case in figures):
        seeds = sorted(case.seed for case in figures if (case.killed_share, case.state) == (share, state))
        for name in SHOWN_FIGURES:
            values = [figures[Case(share, state, seed)].get(name, 0.0) for seed in seeds]
            references = [
                figures.get(Case(share, REFERENCE_STATE, seed), {}).get(name, 0.0) for seed in seeds
            ]
            has_pairs = state != REFERENCE_STATE and all(
                Case(share, REFERENCE_STATE, seed) in figures for seed in seeds
            )
            difference = (
                bootstrap([value - reference for reference, value in zip(references, values, strict=True)])
                if has_pairs
                else None
            )
            yield share, state, name, sum(values) / len(values), difference
