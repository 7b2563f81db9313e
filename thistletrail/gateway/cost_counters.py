"""Measures what requests cost this gateway: counters, and optionally processor time by stage.

Counters are plain attributes, because they are incremented for each request. Sums and figures of the system
are computed only for a report. Figures that the system does not provide are omitted, as 0 would be wrong. The
names of the counters are keys of the `costs` line, which the benchmarks read.
"""

import contextlib
import json
import os
import time
from collections.abc import Callable, Mapping
from typing import Any, ParamSpec, TypeVar

from thistletrail.gateway.deadline import Deadline, Stage

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")
ConnectionClass = TypeVar("ConnectionClass", bound=type)

# Stages of processor time.
CLIENTS = "clients"  # reading and parsing commands
DECISIONS = "decisions"  # the policy
ACTIONS = "actions"  # carrying out the policy's actions: answers, attempts, timers
BACKENDS = "backends"
DISCOVERY = "discovery"
PEERS = "peers"
REST = "rest"  # all other code: the event loop, its system calls and timers

DESCRIPTOR_FOLDER = "/proc/self/fd"
STATUS_FILE = "/proc/self/status"
# Keys of the report, by the name of the field in STATUS_FILE.
MEMORY_KEY_BY_STATUS_FIELD = {"VmRSS": "resident_bytes", "VmHWM": "resident_most_bytes"}
BYTES_PER_KIB = 1024  # STATUS_FILE has sizes in KiB
NANOSECONDS_PER_SECOND = 1e9
MICROSECONDS_PER_SECOND = 1e6

COUNTERS = (
    "accepted",
    "attempts",
    "behind",
    "datagrams_dropped",
    "datagrams_in",
    "datagrams_out",
    "failed",
    "gone",
    "handshakes",
    "handshakes_failed",
    "list_lines",
    "pings",
    "refused",
    "requests",
    "reused",
    "served",
    "turned_away",
    "watches",
    "wrong_commands",
)


class CostCounters:
    """Counters since the start, and the processor time by stage if that is enabled."""

    __slots__ = (*COUNTERS, "late", "late_us", "stages")

    def __init__(self, time_stages: bool = False) -> None:
        self.stages = StageTimer(time_stages)
        # For requests that failed or missed their latency objective: how often each stage took the longest,
        # and the total time in each stage.
        self.late = dict.fromkeys(Stage, 0)
        self.late_us = dict.fromkeys(Stage, 0)
        # Client connections.
        self.accepted = 0
        self.turned_away = 0
        # Commands that are not requests; a PING is a health check of this gateway.
        self.pings = 0
        self.wrong_commands = 0
        # Each accepted request ends as one of the other four. `gone`: the client disconnected before that.
        self.requests = 0
        self.served = 0
        self.refused = 0
        self.failed = 0
        self.gone = 0
        self.behind = 0  # answers queued behind others on their connection
        self.attempts = 0  # passed to a connection pool, written or not
        # Connections to servers: started, and failed to connect. `reused`: attempts on a connection that had
        # carried an earlier one.
        self.handshakes = 0
        self.handshakes_failed = 0
        self.reused = 0
        # Datagrams of peers. Dropped ones were malformed or came from an unknown address.
        self.datagrams_in = 0
        self.datagrams_out = 0
        self.datagrams_dropped = 0
        # Requests to discovery, and updates in its answers.
        self.watches = 0
        self.list_lines = 0

    def count_late(self, deadline: Deadline, now_us: int) -> None:
        """Count a request that failed or missed its latency objective."""
        self.late[deadline.longest_stage(now_us)] += 1
        for stage, spent_us in zip(Stage, deadline.spent_by(now_us), strict=True):
            self.late_us[stage] += spent_us

    def count_behind(self, end_us: int, deadline: Callable[[], Deadline], now_us: int) -> None:
        """Count an answer that waited behind others; it is late if it was sent at or after `end_us`."""
        self.behind += 1
        if now_us >= end_us:
            self.count_late(deadline(), now_us)

    def counts(self) -> dict[str, int]:
        """All counters by their key in the `costs` line."""
        return {name: getattr(self, name) for name in COUNTERS}


class StageTimer:
    """Measures processor time by stage; time counts only for the innermost active stage.

    While the timer is off, `wrap` and `wrap_class` return their argument, so it has no cost.
    """

    def __init__(self, is_on: bool, clock: Callable[[], int] = time.thread_time_ns) -> None:
        """`clock` returns the processor time of this thread in nanoseconds."""
        self.is_on = is_on
        self.clock = clock
        self.spent_ns: dict[str, int] = {}
        self.stage = REST
        self.stage_started_ns = clock() if is_on else 0  # when the current stage started

    def enter(self, stage: str) -> str:
        """Charge the time passed to the current stage and enter another; returns the previous stage."""
        now_ns = self.clock()
        previous_stage = self.stage
        self.spent_ns[previous_stage] = self.spent_ns.get(previous_stage, 0) + now_ns - self.stage_started_ns
        self.stage = stage
        self.stage_started_ns = now_ns
        return previous_stage

    def wrap(self, stage: str, function: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
        """Wrap a function so that its time is charged to a stage."""
        if not self.is_on:
            return function

        def timed(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
            previous_stage = self.enter(stage)
            try:
                return function(*args, **kwargs)
            finally:
                self.enter(previous_stage)

        return timed

    def wrap_class(
        self, stage: str, connection_class: ConnectionClass, *method_names: str
    ) -> ConnectionClass:
        """Wrap methods of a class, for methods that the event loop calls."""
        if not self.is_on:
            return connection_class
        timed = {name: self.wrap(stage, getattr(connection_class, name)) for name in method_names}
        return type(connection_class.__name__, (connection_class,), timed)

    def report(self) -> dict[str, float]:
        """Seconds by stage up to now; empty while the timer is off."""
        if not self.is_on:
            return {}
        self.enter(self.stage)
        return {stage: spent_ns / NANOSECONDS_PER_SECOND for stage, spent_ns in sorted(self.spent_ns.items())}


def open_descriptors() -> int | None:
    """The number of open descriptors of this process; None if the system does not provide it."""
    try:
        return len(os.listdir(DESCRIPTOR_FOLDER)) - 1  # without the one that listdir opened
    except OSError:
        return None


def resident_memory() -> dict[str, int]:
    """Current and maximum resident memory in bytes, by key of the report.

    Figures that the system does not provide are omitted.
    """
    figures = {}
    with contextlib.suppress(OSError, ValueError), open(STATUS_FILE) as lines:
        for line in lines:
            name, _, text = line.partition(":")
            if name in MEMORY_KEY_BY_STATUS_FIELD:
                figures[MEMORY_KEY_BY_STATUS_FIELD[name]] = int(text.split()[0]) * BYTES_PER_KIB
    return figures


def report(
    costs: CostCounters,
    buffered_bytes: Mapping[str, int],
    descriptors: Mapping[str, int],
    ages_s: Mapping[str, float] | None = None,
) -> dict[str, Any]:
    """All figures by their key in the `costs` line.

    `buffered_bytes` and `descriptors` are by owner, `ages_s` by what is cached. Descriptors without an owner
    are reported as the process's own: those of the event loop, signals and the log.
    """
    figures: dict[str, Any] = {
        "processor_s": time.process_time_ns() / NANOSECONDS_PER_SECOND,
        **costs.counts(),
        "bytes": dict(buffered_bytes),
        **resident_memory(),
        "late": {stage.name.lower(): count for stage, count in costs.late.items() if count},
        "late_s": {
            stage.name.lower(): spent_us / MICROSECONDS_PER_SECOND
            for stage, spent_us in costs.late_us.items()
            if spent_us
        },
    }
    if costs.stages.is_on:
        figures["stages_s"] = costs.stages.report()
    if ages_s:
        figures["ages_s"] = dict(ages_s)
    owned = dict(descriptors)
    total = open_descriptors()
    if total is not None:
        owned["process"] = total - sum(owned.values())
        owned["all"] = total
    figures["descriptors"] = owned
    return figures


def to_log_line(figures: Mapping[str, Any]) -> str:
    """Format a report as one log line: `costs` and a JSON object."""
    return "costs " + json.dumps(figures, separators=(",", ":"))
