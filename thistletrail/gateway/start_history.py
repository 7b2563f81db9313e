"""When a gateway started lately, to slow down one that crashes again and again.

Each start is written to a file before the gateway takes load, and removed by a planned end: what is in the
file are the starts that crashed, and the present one. The file is a list of Unix times in msgpack.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

import msgspec

CRASH_WINDOW_S = 10.0  # starts within it count together
MAX_STARTS_WITHOUT_BACKOFF = 1  # of these: one before is a restart, more are a crash that repeats
FIRST_BACKOFF_S = 1.0  # doubles with each further start
MAX_BACKOFF_S = 8.0
CLOCK_TOLERANCE_S = 2.0  # by which a time may be in the future: clocks of one machine step by less


class StartHistory:
    """The start times in one file. One that cannot be read is as an empty one."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.start_times_s = self._read()  # Unix times, the latest last

    def add(self, now_s: float) -> None:
        """Note a start as one that has not ended well yet, and forget those that count no more."""
        relevant_s = CRASH_WINDOW_S + MAX_BACKOFF_S
        recent = [start_s for start_s in self.start_times_s if abs(now_s - start_s) < relevant_s]
        self.start_times_s = [*recent, now_s]
        self._write()

    def remove_last(self) -> None:
        """Note that the last start has ended well."""
        self.start_times_s = self.start_times_s[:-1]
        self._write()

    def _read(self) -> list[float]:
        try:
            return msgspec.msgpack.decode(self.path.read_bytes(), type=list[float])
        except (OSError, msgspec.MsgspecError):
            return []

    def _write(self) -> None:
        with contextlib.suppress(OSError):  # a folder that takes nothing is reported with the first snapshot
            self.path.write_bytes(msgspec.msgpack.encode(self.start_times_s))


def crash_backoff_s(start_times_s: list[float], now_s: float) -> float:
    """How long a start is to wait before it takes load, by the times of those before it that crashed."""
    earliest_s = now_s - CRASH_WINDOW_S
    latest_s = now_s + CLOCK_TOLERANCE_S
    recent = sum(earliest_s <= start_s <= latest_s for start_s in start_times_s)
    excess = recent - MAX_STARTS_WITHOUT_BACKOFF
    if excess <= 0:
        return 0.0
    return min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (excess - 1))
