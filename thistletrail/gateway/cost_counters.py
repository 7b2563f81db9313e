"""What requests cost this front door: counters that are always on, and timing by stage, off unless set.

A counter is one addition to an attribute. All that has to be added up or asked of the system is read only
when a report is asked for. What this system does not tell is left out of the report, as 0 would be a claim.
"""

import contextlib
import json
import os
import time
from collections.abc import Callable, Mapping
from typing import Any, ParamSpec, TypeVar

from thistletrail.gateway.deadline import Budget, Stage

P, R, T = ParamSpec("P"), TypeVar("R"), TypeVar("T", bound=type)

CLIENTS = "clients"  # reading and parsing what clients send
DECISIONS = "decisions"  # the module
ACTIONS = "actions"  # carrying out what the module decided: answers, attempts, timers
BACKENDS = "backends"
DISCOVERY = "discovery"
PEERS = "peers"
REST = "rest"  # the loop, its system calls and its timers, and what has no stage of its own

DESCRIPTORS = "/proc/self/fd"
STATUS = "/proc/self/status"
RESIDENT = {"VmRSS": "resident_bytes", "VmHWM": "resident_most_bytes"}
KIB = 1024  # the system's figures on memory are in these


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


class Costs:
    """What happened since the start, counted where it happens, and where the time went if that is on."""

    __slots__ = (*COUNTERS, "late", "late_us", "stages")

    def __init__(self, time_stages: bool = False) -> None:
        self.stages = Stages(time_stages)
        # Of requests that failed or were answered past their aim: which stage took the most, how often; and
        # what each stage took of all of them.
        self.late, self.late_us = dict.fromkeys(Stage, 0), dict.fromkeys(Stage, 0)
        self.accepted = self.turned_away = 0  # connections of clients
        self.pings = self.wrong_commands = 0  # commands that are no request; a PING is a probe of this one
        # Each request taken is one of the four in the end; `gone`: its client left before the answer.
        self.requests = self.served = self.refused = self.failed = self.gone = 0
        self.behind = 0  # answers that waited behind others on their connection
        self.attempts = 0  # handed to a pool, whether or not anything was written
        self.handshakes = self.handshakes_failed = 0  # connections to backends begun; those never up
        self.reused = 0  # attempts given to a connection that had carried one
        self.datagrams_in = self.datagrams_out = self.datagrams_dropped = 0  # the last were not read
        self.watches = self.list_lines = 0  # of discovery

    def note_late(self, budget: Budget, now: int) -> None:
        self.late[budget.slowest(now)] += 1
        for stage, spent in zip(Stage, budget.spent_by(now), strict=True):
            self.late_us[stage] += spent

    def note_behind(self, end_us: int, budget: Callable[[], Budget], now: int) -> None:
        """An answer has left that waited behind others; it is late if it did so past its client's time."""
        self.behind += 1
        if now >= end_us:
            self.note_late(budget(), now)

    def counts(self) -> dict[str, int]:
        return {name: getattr(self, name) for name in COUNTERS}


class Stages:
    """Processor time by stage. Each moment counts for one stage only, the innermost that is under way.

    While it is off, `call` and `kind` give back what they are given, so that nothing is paid for it.
    """

    def __init__(self, on: bool, clock: Callable[[], int] = time.thread_time_ns) -> None:
        self.on, self.clock = on, clock
        self.spent_ns: dict[str, int] = {}
        self.stage, self.since_ns = REST, clock() if on else 0

    def enter(self, stage: str) -> str:
        """Charge what has passed to the stage so far, and go on with another; the one so far."""
        now, before = self.clock(), self.stage
        self.spent_ns[before] = self.spent_ns.get(before, 0) + now - self.since_ns
        self.stage, self.since_ns = stage, now
        return before

    def call(self, stage: str, function: Callable[P, R]) -> Callable[P, R]:
        """The function, timed."""
        if not self.on:
            return function

        def timed(*args: P.args, **kwargs: P.kwargs) -> R:
            before = self.enter(stage)
            try:
                return function(*args, **kwargs)
            finally:
                self.enter(before)

        return timed

    def kind(self, stage: str, kind: T, *names: str) -> T:
        """The class with those of its methods timed, for what the loop makes calls to by itself."""
        if not self.on:
            return kind
        return type(kind.__name__, (kind,), {name: self.call(stage, getattr(kind, name)) for name in names})

    def report(self) -> dict[str, float]:
        """Seconds by stage up to now; empty while it is off."""
        if not self.on:
            return {}
        self.enter(self.stage)
        return {stage: spent / 1e9 for stage, spent in sorted(self.spent_ns.items())}


def open_descriptors() -> int | None:
    """How many this process holds; None where the system does not tell."""
    try:
        return len(os.listdir(DESCRIPTORS)) - 1  # one was open for the reading itself
    except OSError:
        return None


def resident() -> dict[str, int]:
    """Resident memory now and at most, as far as the system tells."""
    found = {}
    with contextlib.suppress(OSError, ValueError), open(STATUS) as lines:
        for line in lines:
            name, _, text = line.partition(":")
            if name in RESIDENT:
                found[RESIDENT[name]] = int(text.split()[0]) * KIB
    return found


def report(
    costs: Costs,
    held_bytes: Mapping[str, int],
    descriptors: Mapping[str, int],
    ages_s: Mapping[str, float] | None = None,
) -> dict[str, Any]:
    """All figures by name. Descriptors that have no owner are the process's own: loop, signals, log."""
    found: dict[str, Any] = {
        "processor_s": time.process_time_ns() / 1e9,
        **costs.counts(),
        "bytes": dict(held_bytes),
        **resident(),
        "late": {stage.name.lower(): count for stage, count in costs.late.items() if count},
        "late_s": {stage.name.lower(): spent / 1e6 for stage, spent in costs.late_us.items() if spent},
    }
    if costs.stages.on:
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


def line(found: Mapping[str, Any]) -> str:
    """The report as one line for the log: the word `costs` and a JSON object."""
    return "costs " + json.dumps(found, separators=(",", ":"))
