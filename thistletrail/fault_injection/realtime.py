"""The system's monotonic clock behind the interface of the simulation's clock."""

import asyncio
import time
from collections.abc import Callable


def now_us() -> int:
    """Return the time of the monotonic clock, which all processes of the machine share, in microseconds."""
    return time.monotonic_ns() // 1000


LAG_CHECK_INTERVAL_US = 50_000
MIN_RECORDED_LAG_US = 100_000


async def record_event_loop_lag(record: Callable[..., None]) -> None:
    """Record each time at which this process's event loop was late, until cancelled.

    `record` is `history.Writer.note`. What a process observes while its event loop is late is no evidence
    against the processes under test.
    """
    while True:
        due_us = now_us() + LAG_CHECK_INTERVAL_US
        await asyncio.sleep(LAG_CHECK_INTERVAL_US / 1e6)
        if (lag_us := now_us() - due_us) > MIN_RECORDED_LAG_US:
            record("stalled", us=lag_us)


class RealClock:
    """The interface of `simulation.clock.Clock` on an event loop, where time passes by itself."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    @property
    def now(self) -> int:
        """The time of the monotonic clock in microseconds."""
        return now_us()

    def at(self, time_us: int, call: Callable[..., None], *args: object) -> None:
        """Schedule a call on the event loop; if `time_us` has passed, it is made as soon as possible."""
        self.after(time_us - now_us(), call, *args)

    def after(self, delay_us: float, call: Callable[..., None], *args: object) -> None:
        """Schedule a call on the event loop after a delay; a negative delay counts as 0."""
        self.loop.call_later(max(0.0, delay_us) / 1e6, call, *args)
