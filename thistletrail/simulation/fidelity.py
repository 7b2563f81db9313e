"""How well the model ranks revisions: its paired changes of G against those that a bench saw.

The bench's figures are JSON lines with `bench`, `kind`, `seed`, `rev` and `g`. Of each kind of day the model
plays the scenario of the same name, at as many doors as the bench had; each revision is held against one.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.scenario import Scenario, load

SIZES = {"lbsim": None, "mass at 40": 40}  # doors and servers of its days; none: as the scenario has them


class Figure(msgspec.Struct, frozen=True):
    """One play of a bench."""

    bench: str
    kind: str
    seed: int
    rev: str
    g: float


@dataclass(frozen=True)
class Row:
    """Of one kind of day: the plays behind it, and how the two rank the revisions."""

    bench: str
    kind: str
    days: int
    bench_changes: dict[str, float]
    model_changes: dict[str, float]

    def correlation(self) -> float:
        names = sorted(self.bench_changes)
        return spearman(
            [self.bench_changes[name] for name in names], [self.model_changes[name] for name in names]
        )


def read(path: Path) -> list[Figure]:
    """The bench's figures; a line that is none is a ModelError that names it."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise ModelError(f"{path}: {error.strerror}") from error
    figures = []
    for number, line in enumerate(lines, 1):
        try:
            figures.append(msgspec.json.decode(line, type=Figure))
        except msgspec.DecodeError as error:
            raise ModelError(f"{path}, line {number}: {error}") from error
    if not figures:
        raise ModelError(f"{path}: there are no figures")
    return figures


def fitting(bench: str, kind: str) -> Scenario:
    """The scenario that stands for a bench's kind of day, at that bench's size."""
    scenario = load(kind)
    size = SIZES.get(bench)
    if size is None:
        return scenario
    servers = msgspec.structs.replace(scenario.servers, count=size)
    return msgspec.structs.replace(scenario, name=f"{kind}-{size}", doors=size, servers=servers)


def ranks(values: Iterable[float]) -> np.ndarray:
    """The place of each value, those that are alike at their mean place."""
    found = np.asarray(list(values), dtype=float)
    _, inverse, counts = np.unique(found, return_inverse=True, return_counts=True)
    ends = np.cumsum(counts)
    return (ends - (counts - 1) / 2)[inverse]


def spearman(first: Iterable[float], second: Iterable[float]) -> float:
    """Rank correlation; not a number where either side does not vary."""
    one, other = ranks(first), ranks(second)
    if len(one) < 2 or np.ptp(one) == 0 or np.ptp(other) == 0:
        return float("nan")
    return float(np.corrcoef(one, other)[0, 1])


def changes(figures: Iterable[Figure], base: str) -> dict[tuple[str, str], tuple[int, dict[str, float]]]:
    """By bench and kind of day: on how many days, and each revision's mean change of G from the base's, over
    the days that both were played on."""
    by_day: dict[tuple[str, str, int], dict[str, float]] = defaultdict(dict)
    for figure in figures:
        by_day[figure.bench, figure.kind, figure.seed][figure.rev] = figure.g
    gaps: dict[tuple[str, str], dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    days: dict[tuple[str, str], int] = defaultdict(int)
    for (bench, kind, _), plays in by_day.items():
        if base in plays:
            days[bench, kind] += 1
            for rev, g in plays.items():
                if rev != base:
                    gaps[bench, kind][rev].append(g - plays[base])
    return {
        key: (days[key], {rev: float(np.mean(values)) for rev, values in found.items()})
        for key, found in gaps.items()
    }


def table(bench: Iterable[Figure], model: Iterable[Figure], base: str) -> list[Row]:
    """A row for each kind of day that both have played."""
    theirs, ours = changes(bench, base), changes(model, base)
    rows = []
    for key in sorted(set(theirs) & set(ours)):
        days, seen = theirs[key]
        _, found = ours[key]
        both = sorted(set(seen) & set(found))
        rows.append(Row(*key, days, {rev: seen[rev] for rev in both}, {rev: found[rev] for rev in both}))
    return rows


def render(rows: list[Row], base: str) -> str:
    """The rows as a table in Markdown: of each revision the bench's and the model's change, and how both
    rank them."""
    revs = sorted({rev for row in rows for rev in row.bench_changes})
    lines = [
        f"| bench | day | days | rank correlation | {' | '.join(f'{rev} to {base}' for rev in revs)} |",
        "| " + "--- | " * (4 + len(revs)),
    ]
    for row in rows:
        cells = [
            f"{-row.bench_changes[rev]:+.3f}, {-row.model_changes[rev]:+.3f}"
            if rev in row.bench_changes
            else ""
            for rev in revs
        ]
        lines.append(
            f"| {row.bench} | {row.kind} | {row.days} | {row.correlation():.2f} | {' | '.join(cells)} |"
        )
    pairs = [(row.bench_changes[rev], row.model_changes[rev]) for row in rows for rev in row.bench_changes]
    means = [
        [np.mean([getattr(row, side)[rev] for row in rows if rev in row.bench_changes]) for rev in revs]
        for side in ("bench_changes", "model_changes")
    ]
    lines += [
        "",
        f"All {len(pairs)} changes together: rank correlation "
        f"{spearman(*zip(*pairs, strict=True)):.2f}; the {len(revs)} revisions by their mean over all "
        f"kinds of day: {spearman(*means):.2f}.",
    ]
    return "\n".join(lines)
