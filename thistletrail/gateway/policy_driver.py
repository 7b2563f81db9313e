"""Drives the policy: batches of events go in, and the actions that come out are carried out.

Events that arrive before the loop's next turn form a batch, as on the simulator's wire. Each event of a
batch goes to the policy with the same time, in order of arrival, and its actions are carried out in order.
An event that an action causes, such as an attempt that could not start, comes with a later batch.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Protocol

from thistletrail.gateway import cost_counters as costs
from thistletrail.gateway.backends import NEVER, now_us
from thistletrail.gateway.exchange import Exchange
from thistletrail.policy.actions import Action, SetTimer
from thistletrail.policy.events import ClientDisconnected, Event, RequestArrived, TimerFired

log = logging.getLogger(__name__)

TIMER_RETRY_US = 20_000  # how soon a timer comes again on which the policy failed
MIN_TIMER_US = 1_000  # the loop's timers go by milliseconds

ActionHandlers = Mapping[type[Action], Callable[..., None]]


class Policy(Protocol):
    """The decisions, as the driver calls them."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event in at `now_us` of the monotonic clock; the actions to be carried out."""


class Requests(Protocol):
    """Whoever owns the requests, as the driver calls it."""

    def give_up(self, request_id: str) -> None:
        """Fail a request after a fault in its event or action."""

    def forget(self, request_id: str) -> None:
        """The policy has handled the request's `ClientDisconnected`."""


def arrival_of(exchange: Exchange, now: int) -> RequestArrived:
    """The event of a new request. Its remaining time counts from the batch's `now`, as the policy's does."""
    return exchange.command.build_arrival(remaining_us=exchange.budget.remaining_us(now))


class PolicyDriver:
    """One policy with its pending events, its timers and the handlers of its actions."""

    def __init__(self, policy: Policy, stages: costs.StageTimer) -> None:
        """`connect` has to be called before the loop's next turn."""
        self.policy = policy
        self.policy.handle = stages.wrap(costs.DECISIONS, self.policy.handle)
        self.run_batch = stages.wrap(costs.ACTIONS, self.run_batch)
        self.loop = asyncio.get_running_loop()
        self.pending_events: list[Event | Exchange] = []  # an exchange stands for its request's arrival
        self.timers: dict[int, asyncio.TimerHandle] = {}  # by token: the policy has one of each at most
        self.timer_due_us = NEVER  # of the timer that was set last
        self.action_handlers: ActionHandlers = {}
        self.requests: Requests  # set by `connect`

    def connect(self, action_handlers: ActionHandlers, requests: Requests) -> None:
        """Say what carries out each type of action, and who owns the requests."""
        self.action_handlers = action_handlers
        self.requests = requests

    def post(self, event: Event | Exchange) -> None:
        """Queue an event for the next batch."""
        if not self.pending_events:
            self.loop.call_soon(self.run_batch)
        self.pending_events.append(event)

    def run_batch(self) -> None:
        """Give the policy all pending events, and carry out what it decides."""
        now = now_us()
        batch = self.pending_events
        self.pending_events = []
        for posted in batch:
            event = arrival_of(posted, now) if isinstance(posted, Exchange) else posted
            for action in self.decide(now, event):
                self.carry_out(action)
            if type(event) is ClientDisconnected:
                self.requests.forget(event.id)

    def decide(self, now: int, event: Event) -> list[Action]:
        """The policy's actions on an event; where the policy fails, the event's request is given up."""
        try:
            return self.policy.handle(now, event)
        except Exception:
            log.exception("the policy failed on %r", event)
            self.requests.give_up(getattr(event, "id", ""))
            if isinstance(event, TimerFired):  # the policy sets its next timer when this one fires
                self.set_timer(SetTimer(TIMER_RETRY_US, event.token))
            return []

    def carry_out(self, action: Action) -> None:
        """Carry out an action; where that fails, the action's request is given up."""
        try:
            self.action_handlers[type(action)](action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.requests.give_up(getattr(action, "id", ""))

    def set_timer(self, action: SetTimer) -> None:
        """Replace the timer of a token: an older one is due later, and would wake the policy for nothing."""
        if older := self.timers.pop(action.token, None):
            older.cancel()
        self.timer_due_us = now_us() + action.delay_us
        self.fire_when_due(self.timer_due_us, action.token)

    def fire_when_due(self, due_us: int, token: int) -> None:
        """Fire a timer, or wait on.

        The loop's timers may be early by up to a millisecond; the policy would ignore an early one and, as
        it takes it for still set, never set another.
        """
        remaining_us = due_us - now_us()
        if remaining_us > 0:
            delay_s = max(MIN_TIMER_US, remaining_us) / 1e6
            self.timers[token] = self.loop.call_later(delay_s, self.fire_when_due, due_us, token)
            return
        self.timers.pop(token, None)
        self.timer_due_us = NEVER
        self.post(TimerFired(token))
