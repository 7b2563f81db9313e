"""What requests cost this gateway: counters that are always on, and timing by stage, off unless set.

A counter is one addition to an attribute, as it is on the path of each request. All that has to be added up
or read from the system is read only for a report. What this system does not provide is left out of the
report, as 0 would be a claim. The names of counters are the keys of the `costs` line, which the benchmarks
read.
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
CLIENTS = "clients"  # reading and parsing what clients send
DECISIONS = "decisions"  # the policy
ACTIONS = "actions"  # carrying out what the policy decided: answers, attempts, timers
BACKENDS = "backends"
DISCOVERY = "discovery"
PEERS = "peers"
REST = "rest"  # the loop, its system calls and its timers, and what has no stage of its own

DESCRIPTOR_FOLDER = "/proc/self/fd"
STATUS_FILE = "/proc/self/status"
# By the name in STATUS_FILE: the key in the report.
MEMORY_KEY_BY_STATUS_FIELD = {"VmRSS": "resident_bytes", "VmHWM": "resident_most_bytes"}
BYTES_PER_KIB = 1024  # bytes; the unit of STATUS_FILE
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
    """What happened since the start, counted where it happens, and where the time went if that is on."""

    __slots__ = (*COUNTERS, "late", "late_us", "stages")

    def __init__(self, time_stages: bool = False) -> None:
        self.stages = StageTimer(time_stages)
        # Of requests that failed or were answered past their latency objective: how often each stage took the
        # most, and what each stage took of all of them.
        self.late = dict.fromkeys(Stage, 0)
        self.late_us = dict.fromkeys(Stage, 0)
        # Connections of clients.
        self.accepted = 0
        self.turned_away = 0
        # Commands that are no request; a PING is a health check of this gateway.
        self.pings = 0
        self.wrong_commands = 0
        # Each accepted request is one of the other four in the end; `gone`: its client disconnected before.
        self.requests = 0
        self.served = 0
        self.refused = 0
        self.failed = 0
        self.gone = 0
        self.behind = 0  # answers that waited behind others on their connection
        self.attempts = 0  # given to a connection pool, whether or not anything was written
        # Connections to servers that were begun, those that were never established, and attempts on a
        # connection that had carried one.
        self.handshakes = 0
        self.handshakes_failed = 0
        self.reused = 0
        # Datagrams of peers; dropped ones came and were not read.
        self.datagrams_in = 0
        self.datagrams_out = 0
        self.datagrams_dropped = 0
        # Requests to discovery, and objects in its answers.
        self.watches = 0
        self.list_lines = 0

    def count_late(self, deadline: Deadline, now_us: int) -> None:
        """A request has failed, or was answered past its latency objective."""
        self.late[deadline.longest_stage(now_us)] += 1
        for stage, spent_us in zip(Stage, deadline.spent_by(now_us), strict=True):
            self.late_us[stage] += spent_us

    def count_behind(self, end_us: int, deadline: Callable[[], Deadline], now_us: int) -> None:
        """An answer was sent that waited behind others; it is late if it did so past its client's time."""
        self.behind += 1
        if now_us >= end_us:
            self.count_late(deadline(), now_us)

    def counts(self) -> dict[str, int]:
        """All counters by their key in the `costs` line."""
        return {name: getattr(self, name) for name in COUNTERS}


class StageTimer:
    """Processor time by stage. Each moment counts for one stage only, the innermost that is under way.

    While it is off, `wrap` and `wrap_class` return what they are given, so that it costs nothing.
    """

    def __init__(self, is_on: bool, clock: Callable[[], int] = time.thread_time_ns) -> None:
        """`clock` gives the processor time of this thread, in nanoseconds."""
        self.is_on = is_on
        self.clock = clock
        self.spent_ns: dict[str, int] = {}
        self.stage = REST
        self.stage_started_ns = clock() if is_on else 0  # when the present stage began

    def enter(self, stage: str) -> str:
        """Charge what has passed to the stage so far, and go on with another; returns the one so far."""
        now_ns = self.clock()
        previous_stage = self.stage
        self.spent_ns[previous_stage] = self.spent_ns.get(previous_stage, 0) + now_ns - self.stage_started_ns
        self.stage = stage
        self.stage_started_ns = now_ns
        return previous_stage

    def wrap(self, stage: str, function: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
        """The function, timed."""
        if not self.is_on:
            return function

        def timed(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
            previous_stage = self.enter(stage)
            try:
                return function(*args, **kwargs)
            finally:
                self.enter(previous_stage)

        return timed

    def wrap_class(self, stage: str, connection_class: ConnectionClass, *names: str) -> ConnectionClass:
        """The class with those of its methods timed, for methods that the event loop calls by itself."""
        if not self.is_on:
            return connection_class
        timed = {name: self.wrap(stage, getattr(connection_class, name)) for name in names}
        return type(connection_class.__name__, (connection_class,), timed)

    def report(self) -> dict[str, float]:
        """Seconds by stage up to now; empty while it is off."""
        if not self.is_on:
            return {}
        self.enter(self.stage)
        return {stage: spent_ns / NANOSECONDS_PER_SECOND for stage, spent_ns in sorted(self.spent_ns.items())}


def open_descriptors() -> int | None:
    """How many descriptors this process has; None where the system does not provide it."""
    try:
        return len(os.listdir(DESCRIPTOR_FOLDER)) - 1  # one was open for the reading itself
    except OSError:
        return None


def resident_memory() -> dict[str, int]:
    """Resident memory now and at its maximum, in bytes by key of the report.

    Without what the system does not provide.
    """
    found = {}
    with contextlib.suppress(OSError, ValueError), open(STATUS_FILE) as lines:
        for line in lines:
            name, _, text = line.partition(":")
            if name in MEMORY_KEY_BY_STATUS_FIELD:
                found[MEMORY_KEY_BY_STATUS_FIELD[name]] = int(text.split()[0]) * BYTES_PER_KIB
    return found


def report(
    costs: CostCounters,
    buffered_bytes: Mapping[str, int],
    descriptors: Mapping[str, int],
    ages_s: Mapping[str, float] | None = None,
) -> dict[str, Any]:
    """All figures by their key in the `costs` line.

    Buffered bytes and descriptors by owner, ages in seconds by what is cached. Descriptors that have no
    owner are the process's own: loop, signals, log.
    """
    found: dict[str, Any] = {
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
        found["stages_s"] = costs.stages.report()
    if ages_s:
        found["ages_s"] = dict(ages_s)
    owned = dict(descriptors)
    total = open_descriptors()
    if total is not None:
        owned["process"] = total - sum(owned.values())
        owned["all"] = total
    found["descriptors"] = owned
    return found


def to_log_line(found: Mapping[str, Any]) -> str:
    """A report as one line for the log: the word `costs` and a JSON object."""
    return "costs " + json.dumps(found, separators=(",", ":"))
