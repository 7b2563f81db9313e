"""Overload control: the algorithm of the paper "Dynamic Processor Overload Control", section 2.

The paper's terms and their names in this module:

- *N*, the limit on the calls accepted in a Call Control Period: `admission_limit`, in first attempts; None
  while the control is not engaged.
- *Call Control Period*: `control_period_us`, one or two scaled seconds (see `TrafficEstimates`).
- *OPPUI*, the occupancy update interval: equal to the Call Control Period, as occupancy is evaluated at its
  end.
- *NA_past*, the calls accepted in the last period: `accepted_in_period`.
- *Occupancy* and its targets `max_occup`, `occ_too_high` and `min_occup`: `OccupancyTargets`.
- *Estimated overhead*: `idle_occupancy`, the lowest occupancy at which the control was disengaged; half of
  `min_occup` at most.
"""

import math
from typing import NamedTuple

from thistletrail.policy.event_context import TICK_US, EventContext
from thistletrail.policy.pending_requests import PendingRequests
from thistletrail.policy.settings import Settings
from thistletrail.policy.slow_start import SlowStart
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

# A control period is as long as it takes for this many first attempts, from one scaled second to the maximum,
# so that N can change in small steps.
TARGET_ATTEMPTS_PER_PERIOD = 10
MAX_PERIOD_SCALED_S = 2

# The largest relative changes of N in a scaled second. They keep noisy samples from moving N too far.
MAX_INCREASE_PER_SCALED_S = 0.2
MAX_DECREASE_PER_SCALED_S = 0.1

# The paper's addl_decrement: N is reduced by this fraction as well where occupancy reaches occ_too_high.
ADDITIONAL_DECREMENT_PER_SCALED_S = 0.1

# The paper's min_fraction_calls: a period that accepts a smaller fraction of N is one of low use.
MIN_FRACTION_CALLS = 0.75

# N when the control engages: first attempts a scaled second for each server at full capacity, over all
# gateways.
INITIAL_LIMIT_PER_SERVER = 8

# Attempts in flight for each server at full capacity, over all gateways. The bound applies whatever N is.
IN_FLIGHT_PER_SERVER = 5
MIN_IN_FLIGHT = 2  # Attempts that one gateway may always have in flight.

ROUNDING_SLACK = 1e-9  # Keeps a float error from rounding a whole number down to the one below.


class OccupancyTargets(NamedTuple):
    """The paper's targets of occupancy, as fractions from 0 to 1."""

    max_occup: float
    occ_too_high: float
    min_occup: float


# The targets of utilization are below 1, as servers report their busy cores with a delay. Those of latency
# are far below 1, as latencies with a mean of half the objective have a tail of much slower answers.
UTILIZATION_TARGETS = OccupancyTargets(0.92, 0.97, 0.75)
LATENCY_TARGETS = OccupancyTargets(0.5, 0.7, 0.35)


class OverloadController:
    """Bounds the first attempts of each control period by N, and attempts in flight by server capacity."""

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
        self.period_start_us = -1  # -1 until the first event

        self.admission_limit: int | None = None
        self.exact_limit = 0.0  # N before it is rounded down
        self.rounding_remainder = 0.0  # the sum of the fractions that rounding N down has dropped
        self.idle_occupancy = 1.0
        self.accepted_in_period = 0
        self.in_flight = 0

        self.capacity = 0.0  # in servers at full capacity
        self.capacity_at_update = 0.0  # the capacity when N was last updated
        self.utilization_samples: list[float] = []
        self.latency_samples: list[float] = []
        self.peer_occupancy_sum = 0.0
        self.peer_sample_count = 0

    @property
    def has_started(self) -> bool:
        """Whether the first event has begun the first control period."""
        return self.period_start_us >= 0

    @property
    def period_end_us(self) -> int:
        """The end of the present control period, on the event clock."""
        return self.period_start_us + self.control_period_us

    def start(self) -> None:
        """Begin the first control period at the present event, which is the first one."""
        self.period_start_us = self.context.now_us

    def refresh_capacity(self) -> None:
        """Recompute the usable server capacity, as after a change of the endpoint list."""
        self.capacity = self.slow_start.usable_capacity()

    def record_attempt_started(self, is_first: bool) -> None:
        """Count an attempt as in flight, and the first attempt of a request against N as well."""
        self.in_flight += 1
        if is_first:
            self.accepted_in_period += 1

    def record_attempt_ended(self) -> None:
        """Remove an attempt from those in flight."""
        self.in_flight -= 1

    def record_utilization(self, utilization: float) -> None:
        """Add a sample of a server's busy cores over all of its cores."""
        self.utilization_samples.append(utilization)

    def record_latency_ratio(self, latency_ratio: float) -> None:
        """Add a sample of the latency of an answered or timed-out attempt over its objective, 1 at most."""
        self.latency_samples.append(latency_ratio)

    def record_peer_occupancy(self, occupancy: float, samples: int) -> None:
        """Add a peer's mean occupancy, weighted by the number of samples that it is the mean of.

        Peers report the latency signal only, also where this gateway's own samples are of utilization.
        """
        self.peer_occupancy_sum += min(1.0, occupancy) * samples
        self.peer_sample_count += samples

    def set_limit(self, exact_limit: float) -> None:
        """Set N to `exact_limit` (at least 1), rounded down, and carry the fraction into later periods.

        Where N is a few attempts a period, fractions that many gateways dropped would leave much of the
        servers' capacity unused.
        """
        self.exact_limit = max(1.0, exact_limit)
        self.admission_limit = math.floor(self.exact_limit + self.rounding_remainder + ROUNDING_SLACK)
        self.rounding_remainder += self.exact_limit - self.admission_limit

    def limit_per_scaled_second(self) -> float | None:
        """N before rounding, converted to a scaled second, or None while the control is not engaged."""
        if self.admission_limit is None:
            return None
        return self.exact_limit * self.traffic.scaled_second_us / self.control_period_us

    def set_limit_per_scaled_second(self, limit: float) -> None:
        """Engage the control with N given for a scaled second, as after a restart with a snapshot."""
        self.set_limit(limit * self.control_period_us / self.traffic.scaled_second_us)

    def has_period_ended(self) -> bool:
        """Whether the present control period has ended."""
        return self.context.now_us - self.period_start_us >= self.control_period_us

    def begin_next_period(self) -> None:
        """Move on to the next period; `end_period` then evaluates the samples of the one that is over."""
        self.period_start_us += self.control_period_us

    def end_period(self) -> None:
        """Update N, and set the length of the next period by the rate of first attempts."""
        self.update_limit(self.accepted_in_period)
        last_period_us = self.control_period_us
        scaled_rate = (
            self.traffic.first_attempts_per_s * self.traffic.scaled_second_us / MICROSECONDS_PER_SECOND
        )
        period_scaled_s = min(MAX_PERIOD_SCALED_S, round(TARGET_ATTEMPTS_PER_PERIOD / max(1.0, scaled_rate)))
        self.control_period_us = self.traffic.scaled_second_us * max(1, period_scaled_s)
        if self.admission_limit is not None:
            self.set_limit(self.exact_limit * self.control_period_us / last_period_us)
        self.accepted_in_period = 0

    def update_limit(self, accepted: float) -> None:
        """Update the exact N by the change of capacity, and by the period's occupancy as in the paper.

        `end_period` then rounds N. Without samples of occupancy, only the change of capacity applies.

        The control is not disengaged while N is in full use: that would flood servers whose queues have only
        just drained.
        """
        targets, samples = self.take_samples()
        self.scale_limit_to_capacity()
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
            self.disengage(occupancy)
        elif limit is None:
            self.engage()
        else:
            period_scaled_s = self.control_period_us / self.traffic.scaled_second_us
            overhead = min(self.idle_occupancy, targets.min_occup / 2)
            self.exact_limit = next_limit(
                self.exact_limit, accepted, occupancy, overhead, targets, period_scaled_s
            )

    def take_samples(self) -> tuple[OccupancyTargets, list[float]]:
        """Return and clear this gateway's samples of the period, with the targets that apply to them.

        Utilization is used where any server reported it, and latency otherwise. Overloaded servers may send
        no answers at all, so overdue attempts count in the latency samples with their age so far.
        """
        utilization = self.utilization_samples
        latency = self.latency_samples
        self.utilization_samples = []
        self.latency_samples = []
        if utilization:
            return UTILIZATION_TARGETS, utilization
        latency += self.pending.overdue_latency_ratios(self.traffic.mean_latency_us)
        return LATENCY_TARGETS, latency

    def scale_limit_to_capacity(self) -> None:
        """Scale N by the change of server capacity since its last update.

        Occupancy alone would show a loss of servers only once the remaining ones are overloaded.
        """
        self.refresh_capacity()
        capacity_before = self.capacity_at_update
        self.capacity_at_update = self.capacity
        if self.admission_limit is not None and capacity_before:
            self.exact_limit *= self.capacity / capacity_before

    def disengage(self, occupancy: float) -> None:
        """Disengage the control, and note the period's low occupancy for the estimate of the overhead."""
        self.idle_occupancy = min(self.idle_occupancy, occupancy)
        self.admission_limit = None
        self.rounding_remainder = 0.0

    def engage(self) -> None:
        """Engage the control with this gateway's share of a cautious initial limit."""
        limit_per_scaled_s = INITIAL_LIMIT_PER_SERVER * self.capacity
        fleet_limit = limit_per_scaled_s * self.control_period_us / self.traffic.scaled_second_us
        self.set_limit(fleet_limit / self.gateway_count)

    def may_send(self) -> bool:
        """Whether one more first attempt may be sent now; N is spread evenly over its period.

        Attempts in flight are bounded whether or not the control is engaged, as servers that were given too
        much may take long to recover.
        """
        if self.in_flight >= self.max_in_flight():
            return False
        if self.admission_limit is None:
            return True
        elapsed_us = self.context.now_us - self.period_start_us + TICK_US
        fraction = min(1.0, elapsed_us / self.control_period_us)
        return self.accepted_in_period < math.ceil(self.admission_limit * fraction)

    def max_in_flight(self) -> float:
        """The number of attempts that this gateway may have in flight, by its share of the capacity."""
        return max(MIN_IN_FLIGHT, IN_FLIGHT_PER_SERVER * self.capacity / self.gateway_count)

    def time_per_admission_us(self) -> float:
        """The mean time between two attempts that N and the bound on attempts in flight allow."""
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
    period_scaled_s: float,
) -> float:
    """The paper's next N, not rounded, from the present N and the first attempts accepted under it.

    `occupancy` is that of the period, whose length is `period_scaled_s` scaled seconds; `overhead` is the
    occupancy that remains without calls.
    """
    if occupancy < targets.min_occup and accepted < MIN_FRACTION_CALLS * limit:
        return limit
    min_limit: float = limit * (1 - MAX_DECREASE_PER_SCALED_S) ** period_scaled_s
    max_limit: float = limit * (1 + MAX_INCREASE_PER_SCALED_S) ** period_scaled_s
    if occupancy <= overhead:
        preliminary = max_limit
    else:
        preliminary = (targets.max_occup - overhead) / (occupancy - overhead) * accepted
    if occupancy >= targets.occ_too_high:
        decrement_factor: float = (1 - ADDITIONAL_DECREMENT_PER_SCALED_S) ** period_scaled_s
        return max(preliminary, min_limit) * decrement_factor
    if preliminary - limit >= 1 and max_limit - limit < 1:
        return limit + 1
    return min(max(preliminary, min_limit), max_limit)
