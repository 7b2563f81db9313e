"""The way back measured: restarts of several shares of the doors, with what they stored and without.

All plays of a seed are held against one calm twin, as the same load without its troubles is the same for all.
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
from thistletrail.simulation import day as days
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.experiment import Interval, bootstrap, figures
from thistletrail.simulation.scenario import Scenario, Stored

BEFORE: Stored = "none"  # what the other states are held against, on the same seeds


@dataclass(frozen=True, slots=True)
class Case:
    """One play: what share of the doors is killed, what they come back with, and the seed."""

    part: float
    state: Stored
    seed: int


def of(scenario: Scenario, case: Case) -> Scenario:
    """The scenario with its first trouble on that share of the doors, which come back with that state."""
    first = scenario.troubles[0] if scenario.troubles else None
    if first is None or first.kind != "kill_doors":
        raise ModelError(f"{scenario.name}: its first trouble does not kill doors")
    struck = msgspec.structs.replace(first, part=case.part, state=case.state)
    return msgspec.structs.replace(scenario, stored=True, troubles=(struck, *scenario.troubles[1:]))


def play_seed(scenario: Scenario, cases: list[Case]) -> list[tuple[Case, dict[str, float]]]:
    """All plays of one seed, and their figures against its calm twin."""
    seed = cases[0].seed
    calm = days.play(days.calm(of(scenario, cases[0])), seed)
    found = []
    for case in cases:
        day = days.play(of(scenario, case), seed)
        found.append((case, figures({**day.result(), "way": day.way(calm)})))
    return found


def ready(parent: int) -> None:
    """In a worker: Ctrl-C is its parent's, which ends it; it dies with that one."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    die_with_parent(parent)


def play_all(
    scenario: Scenario,
    parts: Iterable[float],
    states: Iterable[Stored],
    seeds: Iterable[int],
    jobs: int,
    done: Callable[[int], None],
) -> dict[Case, dict[str, float]]:
    """Figures of all plays; `done` is called with each seed as it ends."""
    cases = [[Case(part, state, seed) for part in parts for state in states] for seed in seeds]
    of(scenario, cases[0][0])
    found: dict[Case, dict[str, float]] = {}
    pool = ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn"), ready, (os.getpid(),))
    try:
        futures = {pool.submit(play_seed, scenario, of_seed): of_seed[0].seed for of_seed in cases}
        for future in as_completed(futures):
            found.update(future.result())
            done(futures[future])
    except BaseException:
        for process in list((pool._processes or {}).values()):  # else what is played is waited for
            os.kill(process.pid, signal.SIGTERM)
        raise
    finally:
        pool.shutdown(cancel_futures=True)
    return found


SHOWN = (
    "g",
    "whole",
    "over_quota",
    "units beyond quota",
    "messages an ask",
    "full service, s",
    "after the last door",
    "worst second",
    "worth lost",
    "opened to calm",
    "pushed over",
    "broken rules",
)


def table(found: dict[Case, dict[str, float]]) -> Iterator[tuple[float, str, str, float, Interval | None]]:
    """By share and state, each figure's mean, and its paired differences to the plays without state."""
    for part, state in dict.fromkeys((case.part, case.state) for case in found):
        seeds = sorted(case.seed for case in found if (case.part, case.state) == (part, state))
        for name in SHOWN:
            values = [found[Case(part, state, seed)].get(name, 0.0) for seed in seeds]
            before = [found.get(Case(part, BEFORE, seed), {}).get(name, 0.0) for seed in seeds]
            pairs = state != BEFORE and all(Case(part, BEFORE, seed) in found for seed in seeds)
            apart = bootstrap([b - a for a, b in zip(before, values, strict=True)]) if pairs else None
            yield part, state, name, sum(values) / len(values), apart
