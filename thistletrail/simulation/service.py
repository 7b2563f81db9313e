"""Full service after a fault, defined once for the model and for real processes.

Service is the worth of what was asked inside the quotas and answered within its aim, by when it was first
asked. Full service is back at the first moment from which, for `SPAN_US`, it is at least `SHARE` of that of
the same load without a fault.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

SPAN_US, SHARE = 2_000_000, 0.95  # the operators' wish: for 2 s, 95% of the worth
STEP_US = 100_000  # between the moments that are looked at
SECOND_US = 1_000_000

# What was asked: when, from the start of the load in microseconds; its worth; whether it was served in time.
Point = tuple[int, float, bool]


@dataclass(frozen=True, slots=True)
class Way:
    """The way back, in seconds from the fault, and what it cost."""

    full_s: float | None  # until full service; none: not before the load's end
    worst_second: float  # the least share of a second's worth that was served, against no fault
    lost: float  # worth, against no fault, over all that was offered


def binned(points: Iterable[Point], end_us: int, served: bool) -> np.ndarray:
    """The worth of each step, of what was offered or of what was served."""
    found = np.zeros(max(1, -(-end_us // STEP_US)))
    for at_us, worth, in_time in points:
        if 0 <= at_us < end_us and (in_time or not served):
            found[at_us // STEP_US] += worth
    return found


def way_back(points: list[Point], calm: list[Point], fault_us: int, end_us: int) -> Way:
    """The way back from a fault at `fault_us`, of a load that ends at `end_us`, by its calm twin."""
    mine, usual = binned(points, end_us, True), binned(calm, end_us, True)
    offered = binned(calm, end_us, False)
    steps, first = SPAN_US // STEP_US, -(-fault_us // STEP_US)
    full = None
    for at in range(first, len(mine) - steps + 1):
        if mine[at : at + steps].sum() >= SHARE * usual[at : at + steps].sum() - 1e-9:
            full = (at * STEP_US - fault_us) / SECOND_US
            break
    second = SECOND_US // STEP_US
    shares = [
        mine[at : at + second].sum() / usual[at : at + second].sum()
        for at in range(first, len(mine) - second + 1)
        if usual[at : at + second].sum() > 0
    ]
    return Way(
        full, float(min(shares, default=1.0)), float((usual - mine)[first:].sum() / max(1e-9, offered.sum()))
    )
