"""Overload control: Dynamic Processor Overload Control, section 2 of the paper.

The paper's terms, and their names here:

- *N*, the calls accepted in a call control period: `admission_limit`, in first attempts; None while the
  control is not engaged.
- *Call control period*: `control_period_us`, one or two scaled seconds.
- *OPPUI*, the occupancy update interval: the same period, as occupancy is evaluated at its end.
- *NA_past*, the calls accepted in the last period: `accepted_in_period`.
- *Occupancy* and its targets `max_occup`, `occ_too_high` and `min_occup`: `OccupancyTargets`.
- *Estimated overhead*: `idle_occupancy`, the lowest occupancy seen when the control was lifted.
"""

import math
from typing import NamedTuple

from thistletrail.policy.event_context import TICK_US, EventContext
from thistletrail.policy.pending_requests import PendingRequests
from thistletrail.policy.settings import Settings
from thistletrail.policy.slow_start import SlowStart
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

FAIR_LIMIT = 10  # first attempts that a control period should have, for N to move in small steps
MAX_PERIOD_SECONDS = 2  # scaled seconds of a control period at most
MAX_INCREASE = 0.2  # the largest step of N up in a scaled second, against noise
MAX_DECREASE = 0.1  # the largest step down
ADDITIONAL_DECREMENT = 0.1  # the paper's addl_decrement: an extra step down at occ_too_high
MIN_FRACTION_CALLS = 0.75  # the paper's min_fraction_calls: less of N than this counts as low use
START_PER_SERVER = 8  # attempts a scaled second, by all gateways for each warm server, as the control engages
IN_FLIGHT_PER_SERVER = 5  # attempts in flight, by all gateways for each warm server, whatever N is
MIN_IN_FLIGHT = 2  # attempts that one gateway may have in flight in any case
ROUNDING_SLACK = 1e-9  # so that a sum that is a whole number but for float errors is not rounded down


class OccupancyTargets(NamedTuple):
    """The paper's targets of occupancy, as fractions."""

    max_occup: float
    occ_too_high: float
    min_occup: float


# Reports of busy cores come late; a mean latency at half the objective has a tail.
UTILIZATION_TARGETS = OccupancyTargets(0.92, 0.97, 0.75)
LATENCY_TARGETS = OccupancyTargets(0.5, 0.7, 0.35)


class OverloadController:
    """Bounds first attempts by N a control period, and attempts in flight by the servers' capacity."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        traffic: TrafficEstimates,
        slow_start: SlowStart,
        pending: PendingRequests,
    ) -> None:
        self.context = context
        self.traffic = traffic
        self.slow_start = slow_start
        self.pending = pending
        self.gateway_count = settings.gateway_count
        self.control_period_us = traffic.scaled_second_us
        self.period_start_us = -1  # until the first event

        self.admission_limit: int | None = None
        self.exact_limit = 0.0  # N before it is rounded down
        self.rounding_remainder = 0.0  # what rounding has left over so far
        self.idle_occupancy = 1.0
        self.accepted_in_period = 0
        self.in_flight = 0

        self.capacity = 0.0  # in warm servers, by now
        self.capacity_at_update = 0.0  # the same, as N was last updated
        self.utilization_samples: list[float] = []
        self.latency_samples: list[float] = []
        self.peer_occupancy_sum = 0.0
        self.peer_sample_count = 0

    @property
    def has_started(self) -> bool:
        """Whether there was an event yet."""
        return self.period_start_us >= 0

    @property
    def period_end_us(self) -> int:
        """When the present control period ends."""
        return self.period_start_us + self.control_period_us

    def start(self) -> None:
        """Begin the first control period, with the first event."""
        self.period_start_us = self.context.now_us

    def refresh_capacity(self) -> None:
        """The endpoint list has changed."""
        self.capacity = self.slow_start.usable_capacity()

    def record_attempt_started(self, is_first: bool) -> None:
        """An attempt is in flight; the first one of a request counts in N."""
        self.in_flight += 1
        if is_first:
            self.accepted_in_period += 1

    def record_attempt_ended(self) -> None:
        """An attempt is no longer in flight."""
        self.in_flight -= 1

    def record_utilization(self, utilization: float) -> None:
        """A server's report of busy cores over all cores."""
        self.utilization_samples.append(utilization)

    def record_latency_ratio(self, latency_ratio: float) -> None:
        """An answered or timed-out attempt's latency over its objective, 1 at most."""
        self.latency_samples.append(latency_ratio)

    def record_peer_occupancy(self, occupancy: float, samples: int) -> None:
        """A peer's mean occupancy over so many samples."""
        self.peer_occupancy_sum += min(1.0, occupancy) * samples
        self.peer_sample_count += samples

    def set_limit(self, exact_limit: float) -> None:
        """Set N for the next period, rounded down; the rest goes into the period after it.

        At a few attempts a period, what many gateways round away is much of what the servers could do.
        """
        self.exact_limit = max(1.0, exact_limit)
        self.admission_limit = math.floor(self.exact_limit + self.rounding_remainder + ROUNDING_SLACK)
        self.rounding_remainder += self.exact_limit - self.admission_limit

    def limit_per_scaled_second(self) -> float | None:
        """N for a scaled second, or None while the control is not engaged."""
        if self.admission_limit is None:
            return None
        return self.exact_limit * self.traffic.scaled_second_us / self.control_period_us

    def set_limit_per_scaled_second(self, limit: float) -> None:
        """Engage the control with N as it was for a scaled second."""
        self.set_limit(limit * self.control_period_us / self.traffic.scaled_second_us)

    def has_period_ended(self) -> bool:
        """Whether the present control period is over."""
        return self.context.now_us - self.period_start_us >= self.control_period_us

    def begin_next_period(self) -> None:
        """Move on to the period after this one, which is evaluated by `end_period`."""
        self.period_start_us += self.control_period_us

    def end_period(self) -> None:
        """Update N, and choose the length of the next period by the rate of first attempts."""
        self.update_limit(self.accepted_in_period)
        last_period_us = self.control_period_us
        scaled_rate = (
            self.traffic.first_attempts_per_s * self.traffic.scaled_second_us / MICROSECONDS_PER_SECOND
        )
        seconds = min(MAX_PERIOD_SECONDS, round(FAIR_LIMIT / max(1.0, scaled_rate)))
        self.control_period_us = self.traffic.scaled_second_us * max(1, seconds)
        if self.admission_limit is not None:
            self.set_limit(self.exact_limit * self.control_period_us / last_period_us)
        self.accepted_in_period = 0

    def update_limit(self, accepted: float) -> None:
        """The paper's update of N by the occupancy of the period.

        A limit in full use is not lifted: that would flood servers that have just drained.
        """
        targets, samples = self.take_samples()
        self.follow_capacity()
        own_sum = sum(samples)
        count = len(samples) + self.peer_sample_count
        self.peer_sample_count = 0
        occupancy_sum = own_sum + self.peer_occupancy_sum
        self.peer_occupancy_sum = 0.0
        if not count:
            return
        occupancy = min(1.0, occupancy_sum / count)
        limit = self.admission_limit
        is_low_use = limit is None or accepted < MIN_FRACTION_CALLS * limit
        if occupancy < targets.min_occup and is_low_use:
            self.lift(occupancy)
        elif limit is None:
            self.engage()
        else:
            seconds = self.control_period_us / self.traffic.scaled_second_us
            overhead = min(self.idle_occupancy, targets.min_occup / 2)
            self.exact_limit = next_limit(self.exact_limit, accepted, occupancy, overhead, targets, seconds)

    def take_samples(self) -> tuple[OccupancyTargets, list[float]]:
        """The period's own samples of the better signal, and its targets.

        Servers that jam answer nobody: in the latency signal, overdue attempts count with their age so far.
        """
        utilization = self.utilization_samples
        latency = self.latency_samples
        self.utilization_samples = []
        self.latency_samples = []
        if utilization:
            return UTILIZATION_TARGETS, utilization
        latency += self.pending.overdue_latency_ratios(self.traffic.mean_latency_us)
        return LATENCY_TARGETS, latency

    def follow_capacity(self) -> None:
        """Change N as the servers' capacity has changed: occupancy shows only a jam that has built up."""
        self.refresh_capacity()
        capacity_before = self.capacity_at_update
        self.capacity_at_update = self.capacity
        if self.admission_limit is not None and capacity_before:
            self.exact_limit *= self.capacity / capacity_before

    def lift(self, occupancy: float) -> None:
        """Disengage the control, at low occupancy."""
        self.idle_occupancy = min(self.idle_occupancy, occupancy)
        self.admission_limit = None
        self.rounding_remainder = 0.0

    def engage(self) -> None:
        """Engage the control with this gateway's share of a careful start."""
        start = START_PER_SERVER * self.capacity * self.control_period_us / self.traffic.scaled_second_us
        self.set_limit(start / self.gateway_count)

    def may_send(self) -> bool:
        """Whether one more first attempt may leave now: N is spread over its period.

        Servers that have too much may not come back for long: attempts in flight are bounded at all times.
        """
        if self.in_flight >= self.max_in_flight():
            return False
        if self.admission_limit is None:
            return True
        elapsed_us = self.context.now_us - self.period_start_us + TICK_US
        fraction = min(1.0, elapsed_us / self.control_period_us)
        return self.accepted_in_period < math.ceil(self.admission_limit * fraction)

    def max_in_flight(self) -> float:
        """Attempts that this gateway may have in flight."""
        return max(MIN_IN_FLIGHT, IN_FLIGHT_PER_SERVER * self.capacity / self.gateway_count)

    def time_per_admission_us(self) -> float:
        """How long it takes until one more may leave, by N or by those in flight."""
        by_in_flight = self.traffic.overall_mean_latency_us() / self.max_in_flight()
        if self.admission_limit is None:
            return by_in_flight
        return max(by_in_flight, self.control_period_us / self.exact_limit)


def next_limit(
    limit: float,
    accepted: float,
    occupancy: float,
    overhead: float,
    targets: OccupancyTargets,
    seconds: float,
) -> float:
    """The paper's next N before it is rounded, from N and the attempts accepted in a period of `seconds`."""
    if occupancy < targets.min_occup and accepted < MIN_FRACTION_CALLS * limit:
        return limit
    lowest: float = limit * (1 - MAX_DECREASE) ** seconds
    highest: float = limit * (1 + MAX_INCREASE) ** seconds
    if occupancy <= overhead:
        preliminary = highest
    else:
        preliminary = (targets.max_occup - overhead) / (occupancy - overhead) * accepted
    if occupancy >= targets.occ_too_high:
        decremented: float = max(preliminary, lowest) * (1 - ADDITIONAL_DECREMENT) ** seconds
        return decremented
    if preliminary - limit >= 1 and highest - limit < 1:
        return limit + 1
    return min(max(preliminary, lowest), highest)
