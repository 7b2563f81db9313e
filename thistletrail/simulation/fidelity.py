"""Measures how well the simulation ranks revisions, compared with a benchmark.

Both sides give the change of the score G from a base revision to each other one, in pairs with the same
seed. The results of the benchmark are JSON lines with `bench`, `kind`, `seed`, `rev` and `g`. For each kind
the simulation plays the scenario of that name, with as many gateways as the benchmark had.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.scenario import Scenario, load

# Number of gateways, and of servers, in each benchmark; None: as in the scenario.
FLEET_SIZES = {"lbsim": None, "mass at 40": 40}


class BenchmarkResult(msgspec.Struct, frozen=True):
    """The result of one run of a benchmark, or of a run of the simulation."""

    bench: str
    kind: str
    seed: int
    rev: str
    g: float


@dataclass(frozen=True)
class RankingRow:
    """One kind of a benchmark's runs: number of seeds, and mean change of G by revision on either side."""

    benchmark: str
    kind: str
    seed_count: int
    benchmark_changes: dict[str, float]
    simulation_changes: dict[str, float]

    def correlation(self) -> float:
        """Return the rank correlation of the changes in the benchmark and in the simulation."""
        names = sorted(self.benchmark_changes)
        return spearman(
            [self.benchmark_changes[name] for name in names],
            [self.simulation_changes[name] for name in names],
        )


def read(path: Path) -> list[BenchmarkResult]:
    """Read the results of a benchmark.

    Raises:
        SimulationError: the file cannot be read or has no results or an invalid line; the message names it.
    """
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise SimulationError(f"{path}: cannot be read: {error.strerror}") from error
    results = []
    for number, line in enumerate(lines, 1):
        try:
            results.append(msgspec.json.decode(line, type=BenchmarkResult))
        except msgspec.DecodeError as error:
            raise SimulationError(f"{path}, line {number}: {error}") from error
    if not results:
        raise SimulationError(f"{path}: the file has no figures")
    return results


def scenario_for(benchmark: str, kind: str) -> Scenario:
    """Return the scenario for a kind of a benchmark's runs, with the fleet size of that benchmark."""
    scenario = load(kind)
    size = FLEET_SIZES.get(benchmark)
    if size is None:
        return scenario
    servers = msgspec.structs.replace(scenario.servers, count=size)
    return msgspec.structs.replace(scenario, name=f"{kind}-{size}", doors=size, servers=servers)


def ranks(values: Iterable[float]) -> np.ndarray:
    """Return the rank of each value, from 1 on; equal values get the mean of their ranks."""
    _, inverse, counts = np.unique(
        np.asarray(list(values), dtype=float), return_inverse=True, return_counts=True
    )
    last_ranks = np.cumsum(counts)
    return (last_ranks - (counts - 1) / 2)[inverse]


def spearman(first: Iterable[float], second: Iterable[float]) -> float:
    """Return the rank correlation; NaN if there are fewer than two values or one side does not vary."""
    first_ranks, second_ranks = ranks(first), ranks(second)
    if len(first_ranks) < 2 or np.ptp(first_ranks) == 0 or np.ptp(second_ranks) == 0:
        return float("nan")
    return float(np.corrcoef(first_ranks, second_ranks)[0, 1])


def mean_changes(
    results: Iterable[BenchmarkResult], base: str
) -> dict[tuple[str, str], tuple[int, dict[str, float]]]:
    """Return, by benchmark and kind, the number of seeds of the base and each revision's mean change of G.

    The change is from the base to the revision, over the seeds with which both were run.
    """
    by_seed: dict[tuple[str, str, int], dict[str, float]] = defaultdict(dict)
    for result in results:
        by_seed[result.bench, result.kind, result.seed][result.rev] = result.g
    changes: dict[tuple[str, str], dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    seed_counts: dict[tuple[str, str], int] = defaultdict(int)
    for (benchmark, kind, _), g_by_rev in by_seed.items():
        if base in g_by_rev:
            seed_counts[benchmark, kind] += 1
            for rev, g in g_by_rev.items():
                if rev != base:
                    changes[benchmark, kind][rev].append(g - g_by_rev[base])
    return {
        key: (seed_counts[key], {rev: float(np.mean(values)) for rev, values in by_rev.items()})
        for key, by_rev in changes.items()
    }


def ranking_rows(
    benchmark_results: Iterable[BenchmarkResult], simulation_results: Iterable[BenchmarkResult], base: str
) -> list[RankingRow]:
    """Return a row for each kind of runs that both the benchmark and the simulation have."""
    benchmark, simulation = mean_changes(benchmark_results, base), mean_changes(simulation_results, base)
    rows = []
    for key in sorted(set(benchmark) & set(simulation)):
        seed_count, benchmark_changes = benchmark[key]
        _, simulation_changes = simulation[key]
        shared = sorted(set(benchmark_changes) & set(simulation_changes))
        rows.append(
            RankingRow(
                *key,
                seed_count,
                {rev: benchmark_changes[rev] for rev in shared},
                {rev: simulation_changes[rev] for rev in shared},
            )
        )
    return rows


def render(rows: list[RankingRow], base: str) -> str:
    """Return the rows as a Markdown table.

    A revision's cells have the change of G from it to the base, in the benchmark and in the simulation.
    """
    revs = sorted({rev for row in rows for rev in row.benchmark_changes})
    lines = [
        "| benchmark | scenario | seeds | rank correlation "
        f"| {' | '.join(f'{rev} to {base}' for rev in revs)} |",
        "| " + "--- | " * (4 + len(revs)),
    ]
    for row in rows:
        cells = [
            f"{-row.benchmark_changes[rev]:+.3f}, {-row.simulation_changes[rev]:+.3f}"
            if rev in row.benchmark_changes
            else ""
            for rev in revs
        ]
        lines.append(
            f"| {row.benchmark} | {row.kind} | {row.seed_count} | {row.correlation():.2f} "
            f"| {' | '.join(cells)} |"
        )
    pairs = [
        (row.benchmark_changes[rev], row.simulation_changes[rev])
        for row in rows
        for rev in row.benchmark_changes
    ]
    means = [
        [np.mean([getattr(row, side)[rev] for row in rows if rev in row.benchmark_changes]) for rev in revs]
        for side in ("benchmark_changes", "simulation_changes")
    ]
    lines += [
        "",
        f"All {len(pairs)} changes together: rank correlation "
        f"{spearman(*zip(*pairs, strict=True)):.2f}; the {len(revs)} revisions by their mean over all "
        f"scenarios: {spearman(*means):.2f}.",
    ]
    return "\n".join(lines)
