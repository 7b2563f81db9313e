"""Simulated time: one heap of events, in whole microseconds."""

import heapq
from collections.abc import Callable
from typing import Any

MS, S = 1_000, 1_000_000  # in microseconds


class Clock:
    """Calls what is due, in order of time and, at one time, of having been asked for.

    `now` starts at `start_us` and only moves forward. There is no taking back: whoever asks checks, when
    called, whether it still matters.
    """

    __slots__ = ("calls", "heap", "now", "serial")

    def __init__(self, start_us: int = 0) -> None:
        self.now, self.serial, self.calls = start_us, 0, 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, time_us: int, call: Callable[..., None], *args: object) -> None:
        """Call at that time, or as the next thing where it has passed."""
        self.serial += 1
        heapq.heappush(self.heap, (max(time_us, self.now), self.serial, call, args))

    def after(self, delay_us: float, call: Callable[..., None], *args: object) -> None:
        """Call in so many microseconds; a part of one counts as none."""
        self.at(self.now + int(delay_us), call, *args)

    def run(self, until_us: int) -> None:
        """Let time pass; events due at `until_us` itself happen."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] <= until_us:
            self.now, _, call, args = pop(heap)
            self.calls += 1
            call(*args)
        self.now = max(self.now, until_us)
