"""The context of the event that is being handled: its time, and the actions decided so far.

The engine starts each event with `begin_event`. All components of an engine hold the same context, so that
the time is not passed from call to call. State objects of a single customer, server or budget hold no context
and take the time as an argument.
"""

from thistletrail.policy.actions import Action

TICK_US = 20_000  # interval at which waiting requests are checked: well below any latency objective


class EventContext:
    """The time of the current event (`now_us`), and the actions to carry out for it, in order."""

    __slots__ = ("actions", "now_us")

    def __init__(self) -> None:
        self.now_us = 0
        self.actions: list[Action] = []

    def begin_event(self, now_us: int) -> None:
        """Start the next event with a new list of actions; the caller owns the previous one."""
        self.now_us = now_us
        self.actions = []

    def emit(self, action: Action) -> None:
        """Add an action to those of the current event."""
        self.actions.append(action)
