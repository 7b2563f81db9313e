"""The recovery of full service after a fault, defined once for the simulation and for real processes.

Service is the worth of the operations inside the quotas that were served within their latency objective, by
the time of their first request. Full service is back at the first moment from which, for SPAN_US, it is at
least SHARE of that of the same load without a fault.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

SPAN_US, SHARE = 2_000_000, 0.95  # the operators ask for 95% of the worth for 2 s
STEP_US = 100_000  # the resolution
SECOND_US = 1_000_000

# One operation: its time in microseconds from the load's start, its worth, and whether it was served in time.
Point = tuple[int, float, bool]


@dataclass(frozen=True, slots=True)
class Recovery:
    """How long the recovery from a fault took, and what it cost."""

    full_s: float | None  # from the fault to full service; None if it was not back before the load's end
    worst_second: (
        float  # smallest share of a second's worth that was served, against the run without the fault
    )
    lost: float  # worth lost against the run without the fault, as a share of all that was offered


def worth_by_step(points: Iterable[Point], end_us: int, only_served: bool) -> np.ndarray:
    """Return the worth offered in each step or, if `only_served`, the worth served in time."""
    worth_sums = np.zeros(max(1, -(-end_us // STEP_US)))
    for at_us, worth, in_time in points:
        if 0 <= at_us < end_us and (in_time or not only_served):
            worth_sums[at_us // STEP_US] += worth
    return worth_sums


def measure_recovery(points: list[Point], baseline: list[Point], fault_us: int, end_us: int) -> Recovery:
    """Measure the recovery from a fault at `fault_us` of a load that ends at `end_us`.

    `baseline` are the points of the same load without a fault.
    """
    served, baseline_served = worth_by_step(points, end_us, True), worth_by_step(baseline, end_us, True)
    offered = worth_by_step(baseline, end_us, False)
    span_steps, first = SPAN_US // STEP_US, -(-fault_us // STEP_US)
    full_s = None
    for start in range(first, len(served) - span_steps + 1):
        end = start + span_steps
        if served[start:end].sum() >= SHARE * baseline_served[start:end].sum() - 1e-9:
            full_s = (start * STEP_US - fault_us) / SECOND_US
            break
    second_steps = SECOND_US // STEP_US
    shares = [
        served[start : start + second_steps].sum() / baseline_served[start : start + second_steps].sum()
        for start in range(first, len(served) - second_steps + 1)
        if baseline_served[start : start + second_steps].sum() > 0
    ]
    return Recovery(
        full_s,
        float(min(shares, default=1.0)),
        float((baseline_served - served)[first:].sum() / max(1e-9, offered.sum())),
    )
