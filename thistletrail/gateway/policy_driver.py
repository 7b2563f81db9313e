"""Passes batches of events to the policy and carries out the actions that it returns.

Events that arrive before the event loop's next iteration form a batch, as in the simulator's protocol. The
policy gets all events of a batch with the same time, in order of arrival, and their actions are carried out
in order. An event that an action causes, such as an attempt that could not start, is part of a later batch.
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

TIMER_RETRY_DELAY_US = 20_000  # until a timer fires again after the policy failed on it
MIN_TIMER_US = 1_000  # the event loop's timers have a resolution of a millisecond

ActionHandlers = Mapping[type[Action], Callable[..., None]]


class Policy(Protocol):
    """Decides on events; the driver's view of the policy."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event at `now_us` of the monotonic clock; returns the actions to carry out."""


class Requests(Protocol):
    """The owner of the open requests; the driver's view of it."""

    def fail_after_fault(self, request_id: str) -> None:
        """Fail a request after the policy or a handler raised an exception on its event or action."""

    def on_disconnect_handled(self, request_id: str) -> None:
        """Called after the policy has handled the request's `ClientDisconnected`."""


def to_arrival_event(exchange: Exchange, now: int) -> RequestArrived:
    """The event of a new request, with the time that remains at `now`, the time of the batch."""
    return exchange.command.build_arrival(remaining_us=exchange.deadline.remaining_us(now))


class PolicyDriver:
    """The policy with its pending events, its timers and the handlers of its actions."""

    def __init__(self, policy: Policy, stages: costs.StageTimer) -> None:
        """`connect` must be called before the event loop's next iteration."""
        self.policy = policy
        self.policy.handle = stages.wrap(costs.DECISIONS, self.policy.handle)
        self.run_batch = stages.wrap(costs.ACTIONS, self.run_batch)
        self.loop = asyncio.get_running_loop()
        self.pending_events: list[Event | Exchange] = []  # an exchange: its request has arrived
        self.timers: dict[int, asyncio.TimerHandle] = {}  # by token; at most one each
        self.timer_due_us = NEVER  # when the timer that was set last is due
        self.action_handlers: ActionHandlers = {}
        self.requests: Requests  # set by `connect`

    def connect(self, action_handlers: ActionHandlers, requests: Requests) -> None:
        """Set the handler of each type of action, and the owner of the requests."""
        self.action_handlers = action_handlers
        self.requests = requests

    def post(self, event: Event | Exchange) -> None:
        """Queue an event for the next batch."""
        if not self.pending_events:
            self.loop.call_soon(self.run_batch)
        self.pending_events.append(event)

    def run_batch(self) -> None:
        """Pass all pending events to the policy and carry out its actions."""
        now = now_us()
        batch = self.pending_events
        self.pending_events = []
        for posted in batch:
            event = to_arrival_event(posted, now) if isinstance(posted, Exchange) else posted
            for action in self.decide(now, event):
                self.carry_out(action)
            if type(event) is ClientDisconnected:
                self.requests.on_disconnect_handled(event.id)

    def decide(self, now: int, event: Event) -> list[Action]:
        """The policy's actions on an event; if the policy raises an exception, the event's request fails."""
        try:
            return self.policy.handle(now, event)
        except Exception:
            log.exception("the policy failed on %r", event)
            self.requests.fail_after_fault(getattr(event, "id", ""))
            if isinstance(event, TimerFired):  # the policy sets its next timer when this one fires
                self.set_timer(SetTimer(TIMER_RETRY_DELAY_US, event.token))
            return []

    def carry_out(self, action: Action) -> None:
        """Carry out an action; if its handler raises an exception, the action's request fails."""
        try:
            self.action_handlers[type(action)](action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.requests.fail_after_fault(getattr(action, "id", ""))

    def set_timer(self, action: SetTimer) -> None:
        """Set the timer of a token, replacing an older one, which is due later and would have no effect."""
        if replaced := self.timers.pop(action.token, None):
            replaced.cancel()
        self.timer_due_us = now_us() + action.delay_us
        self.fire_when_due(self.timer_due_us, action.token)

    def fire_when_due(self, due_us: int, token: int) -> None:
        """Fire a timer if it is due, or wait for the rest of its time.

        The event loop's timers may be early by up to a millisecond. The policy would ignore an early one
        and, as it regards the timer as still set, never set another.
        """
        remaining_us = due_us - now_us()
        if remaining_us > 0:
            delay_s = max(MIN_TIMER_US, remaining_us) / 1e6
            self.timers[token] = self.loop.call_later(delay_s, self.fire_when_due, due_us, token)
            return
        self.timers.pop(token, None)
        self.timer_due_us = NEVER
        self.post(TimerFired(token))
