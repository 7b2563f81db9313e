"""One request from its arrival to its answer, and what its surroundings have to offer."""

import asyncio
from typing import NamedTuple, Protocol

from thistletrail.gateway.backends import NEVER, Attempt
from thistletrail.gateway.clients import Command
from thistletrail.gateway.deadline import Deadline, Stage
from thistletrail.policy.events import AttemptResult, Event


class ReplyTarget(Protocol):
    """Where a request's answer goes: a place on a client's connection, or nowhere."""

    id: str | None  # of the request

    def waits(self) -> bool:
        """Whether earlier answers on the same connection have to leave first."""

    def is_wanted(self) -> bool:
        """Whether somebody still waits for the answer."""

    def send(self, data: bytes) -> None:
        """Answer, in RESP; only the first answer counts."""


class EventSink(Protocol):
    """Takes events for the policy."""

    def post(self, event: "Event | Exchange") -> None:
        """Queue an event; an exchange stands for the arrival of its request."""


class AttemptSender(Protocol):
    """Sends attempts to servers."""

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Send an attempt, which is given up after `timeout_us`."""


class WorkLeases(Protocol):
    """Requests that are recorded at the lease service, so that another gateway can take them over."""

    def covers(self, exchange: "Exchange") -> bool:
        """Whether the attempts of a request are recorded."""

    def start_attempt(self, exchange: "Exchange", attempt: Attempt) -> None:
        """Record an attempt, then send it."""

    def record_outcome(self, request_id: str, response: bytes, value: bytes) -> bool:
        """Record a value, then answer with `response`; False where the caller is to answer at once."""

    def on_attempt_ended(self, request_id: str, result: AttemptResult, has_others: bool) -> None:
        """An attempt has ended, with or without others of its request in flight."""

    def on_request_over(self, request_id: str, was_rejected: bool = False) -> None:
        """The policy has rejected or failed a request, or its client has disconnected."""


class AttemptTimes(NamedTuple):
    """When an ended attempt was started, first written (0: never) and ended, on the monotonic clock."""

    started_us: int
    written_us: int
    ended_us: int


class Exchange:
    """A request from its arrival until its answer."""

    __slots__ = (
        "attempt_count",
        "attempt_history",
        "backstop",
        "budget",
        "command",
        "first_run_us",
        "in_flight",
        "reply",
    )

    def __init__(self, command: Command, reply: ReplyTarget, budget: Deadline) -> None:
        self.command = command
        self.reply = reply
        self.budget = budget
        self.attempt_count = 0
        self.attempt_history: list[AttemptTimes] = []
        self.in_flight: dict[int, Attempt] = {}  # by number
        self.first_run_us = NEVER  # when the first attempt was written that may have run
        self.backstop: asyncio.TimerHandle | None = None

    def spent_budget(self, now: int) -> Deadline:
        """The request's budget with what each stage has taken up to `now`."""
        budget = self.budget
        running = [
            AttemptTimes(attempt.started_us, attempt.written_us, now) for attempt in self.in_flight.values()
        ]
        for started_us, written_us, ended_us in (*self.attempt_history, *running):
            budget = budget.enter(Stage.CONNECTING, started_us)
            if written_us:
                budget = budget.enter(Stage.WAITING, written_us)
            budget = budget.enter(Stage.HELD, ended_us)
        return budget
