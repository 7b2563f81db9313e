"""Simulated time: one heap of events, in whole microseconds."""

import heapq
from collections.abc import Callable
from typing import Any

MS, S = 1_000, 1_000_000  # in microseconds


class Clock:
    """Makes scheduled calls in order of time; calls due at the same time, in the order of scheduling.

    `now`, in microseconds, starts at `start_us` and only moves forward. A scheduled call cannot be cancelled:
    the callee checks whether it still matters.
    """

    __slots__ = ("calls", "heap", "now", "serial")

    def __init__(self, start_us: int = 0) -> None:
        self.now, self.serial, self.calls = start_us, 0, 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, time_us: int, call: Callable[..., None], *args: object) -> None:
        """Schedule a call; if `time_us` has passed, it is made at the present time."""
        self.serial += 1
        heapq.heappush(self.heap, (max(time_us, self.now), self.serial, call, args))

    def after(self, delay_us: float, call: Callable[..., None], *args: object) -> None:
        """Schedule a call after a delay, which is rounded down to whole microseconds."""
        self.at(self.now + int(delay_us), call, *args)

    def run(self, until_us: int) -> None:
        """Make all calls that are due up to and including `until_us`, and set the time to it."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] <= until_us:
            self.now, _, call, args = pop(heap)
            self.calls += 1
            call(*args)
        self.now = max(self.now, until_us)
