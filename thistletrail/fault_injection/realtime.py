"""The system's monotonic clock with the calls of the model's: what is modelled there runs in real time."""

import asyncio
import time
from collections.abc import Callable


def now_us() -> int:
    """Microseconds of the monotonic clock, the same in all processes of the machine."""
    return time.monotonic_ns() // 1000


LOOK_US, LATE_US = 50_000, 100_000  # between looks at the own loop; by which one is told of as late


async def watch_lag(note: Callable[..., None]) -> None:
    """Note when the own loop was late: what passed it then says nothing of who is watched."""
    while True:
        due = now_us() + LOOK_US
        await asyncio.sleep(LOOK_US / 1e6)
        if (late := now_us() - due) > LATE_US:
            note("stalled", us=late)


class RealClock:
    """`simulation.clock.Clock` on an event loop: `now` goes on by itself."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    @property
    def now(self) -> int:
        return now_us()

    def at(self, time_us: int, call: Callable[..., None], *args: object) -> None:
        self.after(time_us - now_us(), call, *args)

    def after(self, delay_us: float, call: Callable[..., None], *args: object) -> None:
        self.loop.call_later(max(0.0, delay_us) / 1e6, call, *args)
