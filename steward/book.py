"""What makes grants outlive the steward's process: each is in a synced log before it is told to anybody.

The folder is locked by the process that has it; a standby waits for that lock, reads the log, and goes on.
Grants of the same boot have their exact ends, as all processes share its clock; those of another boot may be
believed in for the longest lease from now. Where nothing is left, a history of its own begins, and grants
nothing until the longest lease that may be set has run out.
"""

from __future__ import annotations

import fcntl
import logging
import os
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec

from durable.records import DamageError, Records, read_whole, write_whole
from steward.config import Config
from steward.state import MOST_LEASE_MS, Issued, State
from steward.wire import now_ms
from steward.work import Record, Work

log = logging.getLogger(__name__)

# In the log before a snapshot takes their place: grants are some megabytes, requests and answers more.
MOST_RECORDS, MOST_LOG_BYTES = 50_000, 64 << 20
BOOT = Path("/proc/sys/kernel/random/boot_id")
PER_MS = 1000  # fences begin at the time, by thousandths of milliseconds: no history reaches another's


class LockedError(Exception):
    """The folder is another's: a process has it, or a history is in it."""


def boot() -> str:
    try:
        return BOOT.read_text().strip()
    except OSError:
        return ""


def begin(folder: Path, config: Config) -> None:
    """Make a folder for a history that is the first: nobody can hold anything, and nothing is waited for."""
    book = Book(folder)
    try:
        if book.snapshot_path.exists():
            raise LockedError(f"there is a history in the folder {folder} already")
        state, work = book.open(config)
        state.quiet_until_ms = 0
        book.snapshot(state, work)
    finally:
        book.close()


class Book:
    """The folder of a steward's, while it is locked."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.boot = folder, boot()
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.lock)
            raise LockedError(f"another steward has the folder {folder}") from None
        self.snapshot_path, self.records = folder / "snapshot", Records(folder / "log")

    def open(self, config: Config) -> tuple[State, Work]:
        """Grants and work in hand as the log tells them, or a new history."""
        now = now_ms()
        (self.folder / "snapshot.new").unlink(missing_ok=True)
        kept = read_whole(self.snapshot_path)
        values = self.records.open()
        fresh = time.time_ns() // 1_000_000 * PER_MS
        if kept is None:
            if values:
                raise DamageError(f"{self.snapshot_path} is missing, but there is a log")
            state = State(fresh, now, MOST_LEASE_MS, config.lease_ms)
            work = Work(fresh, now, config.work_lease_ms)
            self.snapshot(state, work)
            return state, work
        try:
            state = State(int(kept["fence"]), now, 0, config.lease_ms)
            same = kept["boot"] == self.boot  # else the clock is another
            state.quiet_until_ms = int(kept["quiet_until_ms"]) if same else now + MOST_LEASE_MS
            work = Work(max(fresh, int(kept.get("work_fence", 0))), now, config.work_lease_ms)
            strange = 0
            for value in [*kept["issued"], *kept.get("work", ()), *values]:
                if "work" not in value:
                    self.take_up(state, config, value, now)
                elif value.pop("boot") == self.boot:
                    work.apply(msgspec.convert(value, type=Record))
                else:
                    strange += 1
        except (KeyError, TypeError, ValueError) as error:
            raise DamageError(f"{self.folder} holds a record that is none of ours: {error!r}") from error
        if strange:  # the machine has started again since, and every door with it: all of that is over
            log.warning("%d records of work in hand are of another boot, and are passed over", strange)
        work.taken_up(now)
        return state, work

    def take_up(self, state: State, config: Config, value: dict[str, object], now: int) -> None:
        """A grant of the log, if it is not over."""
        until = int(value["until"]) if value["boot"] == self.boot else now + MOST_LEASE_MS
        one = Issued(int(value["fence"]), int(value["part"]), until, int(value["units"]))
        name, terms = str(value["budget"]), config.terms_of(str(value["budget"]))
        if terms is not None and until > now:
            if name not in state.budgets:
                state.set_terms(name, terms, now)
            state.take_up(name, str(value["holder"]), one)
        state.fence = max(state.fence, one.fence)

    def record(self, budget: str, holder: str, one: Issued) -> dict[str, object]:
        return {"budget": budget, "holder": holder, "fence": one.fence, "part": one.part, "units": one.units,
                "until": one.until_ms, "boot": self.boot}

    def work_record(self, record: Record) -> dict[str, object]:
        return {**msgspec.to_builtins(record), "boot": self.boot}

    def append(self, made: Iterable[tuple[str, str, Issued]], work: Iterable[Record] = ()) -> None:
        """Keep grants and what became of work, synced; a FullError where that fails."""
        self.records.append([*(self.record(*one) for one in made), *map(self.work_record, work)])

    def due(self) -> bool:
        return self.records.count >= MOST_RECORDS or self.records.size >= MOST_LOG_BYTES

    def snapshot(self, state: State, work: Work) -> None:
        """All that may be believed in or is in hand, in one file; then the log is emptied."""
        write_whole(self.snapshot_path, {
            "fence": state.fence, "boot": self.boot, "quiet_until_ms": state.quiet_until_ms,
            "issued": [self.record(*one) for one in state.issued()],
            "work_fence": work.fence, "work": [self.work_record(record) for record in work.kept()]})
        self.records.empty()

    def close(self) -> None:
        self.records.close()
        os.close(self.lock)
