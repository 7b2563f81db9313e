"""The recovery of full service after a fault, defined once for the simulation and for real processes.

Service is the value of the operations inside the quotas that were served within their latency objective, by
the time of their first request. Full service is back at the first moment from which, for
FULL_SERVICE_SPAN_US, service is at least FULL_SERVICE_SHARE of that of the baseline run: the same load
without the fault.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

FULL_SERVICE_SPAN_US, FULL_SERVICE_SHARE = 2_000_000, 0.95  # the operators require 95% of the value for 2 s
STEP_US = 100_000  # the resolution of the time to full service
SECOND_US = 1_000_000

# One operation: its time in microseconds from the load's start, its value, and whether it was served
# within its latency objective.
Point = tuple[int, float, bool]


@dataclass(frozen=True, slots=True)
class Recovery:
    """How long the recovery from a fault took, and what it cost."""

    full_s: float | None  # from the fault to full service; None if it was not back before the load's end
    worst_second: float  # smallest share that service had of the baseline run's in any second
    lost: float  # value lost against the baseline run, as a share of all that was offered


def value_by_step(points: Iterable[Point], end_us: int, only_served: bool) -> np.ndarray:
    """Return the value offered in each step or, if `only_served`, the value served in time."""
    value_sums = np.zeros(max(1, -(-end_us // STEP_US)))
    for at_us, value, in_time in points:
        if 0 <= at_us < end_us and (in_time or not only_served):
            value_sums[at_us // STEP_US] += value
    return value_sums


def measure_recovery(points: list[Point], baseline: list[Point], fault_us: int, end_us: int) -> Recovery:
    """Measure the recovery from a fault at `fault_us` of a load that ends at `end_us`.

    `baseline` has the points of the same load without the fault.
    """
    served, baseline_served = value_by_step(points, end_us, True), value_by_step(baseline, end_us, True)
    offered = value_by_step(baseline, end_us, False)
    span_steps, first = FULL_SERVICE_SPAN_US // STEP_US, -(-fault_us // STEP_US)
    full_s = None
    for start in range(first, len(served) - span_steps + 1):
        end = start + span_steps
        if served[start:end].sum() >= FULL_SERVICE_SHARE * baseline_served[start:end].sum() - 1e-9:
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
