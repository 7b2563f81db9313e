"""The cap: Dynamic Processor Overload Control, section 2 of the paper."""

import math

from thistletrail.policy.base import TICK_US
from thistletrail.policy.server_selection import Choice
from thistletrail.policy.settings import Settings

FAIR_N, MOST_PERIODS = 10, 2  # control period and OPPUI: 1 or 2 s, for a fair-sized N
MAX_INCREASE, MAX_DECREASE = 0.2, 0.1  # the largest step of N in a second, against noise
ADDL_DECREMENT, MIN_FRACTION_CALLS = 0.1, 0.75  # extra step at occ_too_high; part of N that counts as low
# max_occup, occ_too_high, min_occup: reports of busy cores are late; a mean at half the aim has a tail.
TARGETS = {"util": (0.92, 0.97, 0.75), "latency": (0.5, 0.7, 0.35)}
# For each ready server, by all gateways: attempts a second when the cap engages, and out at once ever.
START_PER_SERVER, OUT_PER_SERVER, LEAST_OUT = 8, 5, 2  # the last: for one gateway in any case


class Cap(Choice):
    """Owns N, the control period, and what is out at once."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.period_us, self.cc_us = -1, self.second
        self.n_past: int | None = None  # no N: the cap is lifted
        self.n_exact, self.n_rest = 0.0, 0.0  # N before it is rounded down; what rounding has left over
        # Of the servers, in those that are warm and well: by now, and when N was last updated.
        self.capacity = self.counted = 0.0
        self.overhead, self.accepted, self.out = 1.0, 0, 0  # accepted: this period
        self.signals: dict[str, list[float]] = {"util": [], "latency": []}
        self.told_occup, self.told_samples = 0.0, 0  # the signal as peers told of it in this period

    def set_n(self, exact: float) -> None:
        """N of the next period is rounded down, and what that leaves over goes into the one after: at a few
        attempts a period, what many gateways round away is a large part of what the servers could do."""
        self.n_exact = max(1.0, exact)
        self.n_past = math.floor(self.n_exact + self.n_rest + 1e-9)
        self.n_rest += self.n_exact - self.n_past

    def measure_capacity(self) -> float:
        """Servers that are suspect can do nothing, those that are cold a part. By how much that is more or
        less than before, so much more or less is N: occupancy tells of it only when a jam has built up."""
        return sum(self.part(server) for server in self.up if not server.on_trial)

    def update_cap(self, na_past: float) -> None:
        """The paper's update. A cap in full use is not lifted: that floods servers that have just drained."""
        kind = "util" if self.signals["util"] else "latency"
        samples, targets = self.signals[kind], TARGETS[kind]
        self.signals = {"util": [], "latency": []}
        if kind == "latency":  # a jam answers nobody: what is out and overdue counts with its age so far
            out = [(job, self.now - sent) for job in self.jobs.values() for sent in job.out.values()]
            overdue = [(job, age) for job, age in out if age > self.mean_us[job.req.class_index]]
            samples += [min(1.0, age / job.rule.latency_objective_us) for job, age in overdue]
        own = sum(samples)
        self.capacity = self.measure_capacity()
        before, self.counted = self.counted, self.capacity
        if self.n_past is not None and before:
            self.n_exact *= self.capacity / before
        count, self.told_samples = len(samples) + self.told_samples, 0
        total, self.told_occup = own + self.told_occup, 0.0
        if not count:
            return
        occupancy, was = min(1.0, total / count), self.n_past
        if occupancy < targets[2] and (was is None or na_past < MIN_FRACTION_CALLS * was):
            self.overhead, self.n_past, self.n_rest = min(self.overhead, occupancy), None, 0.0
        elif was is None:
            start = START_PER_SERVER * self.capacity * self.cc_us / self.second
            self.set_n(start / self.set.gateway_count)
        else:
            seconds, overhead = self.cc_us / self.second, min(self.overhead, targets[2] / 2)
            self.n_exact = next_exact(self.n_exact, na_past, occupancy, overhead, targets, seconds)

    def allowance(self) -> bool:
        part = min(1.0, (self.now - self.period_us + TICK_US) / self.cc_us)
        # Servers that hold too much may not come back for long: what is out is bounded, cap or no cap.
        free = self.out < self.most_out()
        return free and (self.n_past is None or self.accepted < math.ceil(self.n_past * part))

    def most_out(self) -> float:
        return max(LEAST_OUT, OUT_PER_SERVER * self.capacity / self.set.gateway_count)

    def turn_us(self) -> float:
        """How long it takes until one more may leave, by the cap or by those that are out."""
        by_out = sum(self.mean_us) / max(1, len(self.mean_us)) / self.most_out()
        return by_out if self.n_past is None else max(by_out, self.cc_us / self.n_exact)


def next_exact(
    n_past: float,
    na_past: float,
    occupancy: float,
    overhead: float,
    targets: tuple[float, ...],
    seconds: float,
) -> float:
    """The paper's update of N, before it is rounded; `targets` are max_occup, occ_too_high and min_occup."""
    max_occup, occ_too_high, min_occup = targets
    if occupancy < min_occup and na_past < MIN_FRACTION_CALLS * n_past:
        return n_past
    lowest, highest = n_past * (1 - MAX_DECREASE) ** seconds, n_past * (1 + MAX_INCREASE) ** seconds
    n_prelim = highest if occupancy <= overhead else (max_occup - overhead) / (occupancy - overhead) * na_past
    n_next = min(max(n_prelim, lowest), highest)
    if occupancy >= occ_too_high:
        n_next = max(n_prelim, lowest) * (1 - ADDL_DECREMENT) ** seconds
    elif n_prelim - n_past >= 1 and highest - n_past < 1:
        n_next = n_past + 1
    return n_next
