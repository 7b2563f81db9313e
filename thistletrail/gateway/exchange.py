"""One request from its arrival to its answer, and the interfaces through which it is handled."""

import asyncio
from typing import NamedTuple, Protocol

from thistletrail.gateway.backends import NEVER, Attempt
from thistletrail.gateway.command_parser import Command
from thistletrail.gateway.deadline import Deadline, Stage
from thistletrail.policy.actions import RejectRequest
from thistletrail.policy.events import AttemptResult, Event


class ReplyTarget(Protocol):
    """Receives a request's answer: a slot on a client's connection, or none for a transferred request."""

    id: str | None  # request id

    def waits(self) -> bool:
        """Whether earlier answers on the same connection must be sent first."""

    def is_wanted(self) -> bool:
        """Whether the client still waits for the answer."""

    def send(self, data: bytes) -> None:
        """Send the answer, in RESP; answers after the first are ignored."""


class EventSink(Protocol):
    """Accepts events for the policy."""

    def post(self, event: "Event | Exchange") -> None:
        """Queue an event; an exchange represents the arrival of its request."""


class AttemptSender(Protocol):
    """Sends attempts to servers."""

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Send an attempt, which times out after `timeout_us`."""


class WorkLeases(Protocol):
    """Requests that are recorded at the lease service, so that another gateway can take them over."""

    def covers(self, exchange: "Exchange") -> bool:
        """Whether the attempts of a request are recorded."""

    def start_attempt(self, exchange: "Exchange", attempt: Attempt) -> None:
        """Record an attempt, then send it."""

    def record_outcome(self, request_id: str, response: bytes, value: bytes) -> bool:
        """Record a value at the lease service, then answer with `response`.

        Returns False if the request is not recorded and the caller has to answer it.
        """

    def on_attempt_ended(self, request_id: str, number: int, result: AttemptResult) -> None:
        """Handle the end of an attempt, given by its request and number."""

    def withdraw_rejected(self, action: RejectRequest) -> bool:
        """Withdraw the record of a rejected request, then reject it, or fail it if that is not confirmed.

        Returns False if nothing of the request is recorded, or no client waits for its answer: the caller
        rejects it at once.
        """

    def on_request_over(self, request_id: str) -> None:
        """Handle a request that has failed, or whose client has disconnected."""


class AttemptTimes(NamedTuple):
    """When an ended attempt was started, written (0 if never) and ended, on the monotonic clock."""

    started_us: int
    written_us: int
    ended_us: int


class Exchange:
    """A request from its arrival until its answer and the end of all of its attempts."""

    __slots__ = (
        "attempt_count",
        "attempt_history",
        "backstop",
        "command",
        "deadline",
        "first_run_us",
        "in_flight",
        "is_recorded",
        "reply",
    )

    def __init__(self, command: Command, reply: ReplyTarget, deadline: Deadline) -> None:
        self.command = command
        self.reply = reply
        self.deadline = deadline
        self.attempt_count = 0
        self.attempt_history: list[AttemptTimes] = []
        self.in_flight: dict[int, Attempt] = {}  # by attempt number
        # When the first attempt that a server may have run was written.
        self.first_run_us = NEVER
        self.backstop: asyncio.TimerHandle | None = None
        # Whether the lease service may have a record of it, for which another gateway may run it.
        self.is_recorded = False

    def may_have_run(self) -> bool:
        """Whether a server may have run the request, or may still run it."""
        if self.is_recorded:
            return True
        is_written = any(attempt.written_us for attempt in self.in_flight.values())
        return is_written or self.first_run_us < NEVER

    def deadline_at(self, now: int) -> Deadline:
        """The request's deadline, with the time that each stage has taken up to `now`."""
        deadline = self.deadline
        running = [
            AttemptTimes(attempt.started_us, attempt.written_us, now) for attempt in self.in_flight.values()
        ]
        for started_us, written_us, ended_us in (*self.attempt_history, *running):
            deadline = deadline.enter(Stage.CONNECTING, started_us)
            if written_us:
                deadline = deadline.enter(Stage.WAITING, written_us)
            deadline = deadline.enter(Stage.HELD, ended_us)
        return deadline
