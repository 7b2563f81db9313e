"""The recent start times of a gateway, which slow down one that crashes repeatedly.

Each start is written to a file before the gateway waits or accepts requests, and a planned end removes it.
The file thus contains the current start and earlier ones without a planned end, which count as crashed. Its
format is a list of Unix times in msgpack.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

import msgspec

# A start before this time causes no backoff. The time counts from the start, including its wait.
CRASH_WINDOW_S = 10.0
# One crash in the window may be a process that was killed for a restart; several mean that the gateway
# crashes repeatedly.
MAX_CRASHES_WITHOUT_BACKOFF = 1
FIRST_BACKOFF_S = 1.0  # before jitter; doubled for each further crash
MAX_BACKOFF_S = 8.0
# How far a stored time may be in the future: steps of a machine's clock backwards are smaller.
CLOCK_TOLERANCE_S = 2.0


class StartHistory:
    """The start times in one file. An unreadable file counts as empty."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.start_times_s = self._read()  # Unix times, the latest last

    def add(self, now_s: float) -> None:
        """Add a start, and remove those that are too long before or after it to cause a backoff."""
        retention_s = CRASH_WINDOW_S + MAX_BACKOFF_S
        recent = [start_s for start_s in self.start_times_s if abs(now_s - start_s) < retention_s]
        self.start_times_s = [*recent, now_s]
        self._write()

    def remove_last(self) -> None:
        """Remove the last start after a planned end."""
        self.start_times_s = self.start_times_s[:-1]
        self._write()

    def _read(self) -> list[float]:
        try:
            return msgspec.msgpack.decode(self.path.read_bytes(), type=list[float])
        except (OSError, msgspec.MsgspecError):
            return []

    def _write(self) -> None:
        with contextlib.suppress(OSError):  # the first snapshot reports an unwritable folder
            self.path.write_bytes(msgspec.msgpack.encode(self.start_times_s))


def crash_backoff_s(start_times_s: list[float], now_s: float) -> float:
    """For how many seconds a start must wait, without jitter; `start_times_s` are those of crashed starts."""
    earliest_s = now_s - CRASH_WINDOW_S
    latest_s = now_s + CLOCK_TOLERANCE_S
    recent_crashes = sum(earliest_s <= start_s <= latest_s for start_s in start_times_s)
    excess = recent_crashes - MAX_CRASHES_WITHOUT_BACKOFF
    if excess <= 0:
        return 0.0
    return min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (excess - 1))
