"""What the handling of one event has in common: its time, and the actions decided so far.

The engine starts a new event with `begin`; every component that it wires holds the same context, so that no
clock value is passed from call to call. State objects of a single customer, server or budget hold no context
and take the time as an argument.
"""

from thistletrail.policy.actions import Action

TICK_US = 20_000  # how often what waits is looked at: well under any latency objective


class EventContext:
    """The time of the event at hand (`now_us`) and the actions to carry out for it, in order."""

    __slots__ = ("actions", "now_us")

    def __init__(self) -> None:
        self.now_us = 0
        self.actions: list[Action] = []

    def begin(self, now_us: int) -> None:
        """Start the next event; the actions of the last one are the caller's."""
        self.now_us = now_us
        self.actions = []

    def emit(self, action: Action) -> None:
        """Add an action to those of this event."""
        self.actions.append(action)
