"""What makes grants outlive the steward's process: each is in a synced log before it is told to anybody.

One process at a time has the folder, for a term (leasing/tenure.py); it reads what the one before it has
kept, and goes on. Grants of the same boot have their exact ends, as all processes share its clock; those of
another boot may be believed in for the longest lease from now. Where nothing is left, a history of its own
begins, and grants nothing until the longest lease that may be set has run out.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec

from thistletrail.leasing.config import Config
from thistletrail.leasing.state import MOST_LEASE_MS, Issued, State
from thistletrail.leasing.tenure import LockedError, LostError, Tenure, claim
from thistletrail.leasing.wire import now_ms
from thistletrail.leasing.work import Record, Work
from thistletrail.write_ahead_log.record_file import (
    CorruptFileError,
    RecordFile,
    decode_records,
    read_single_record,
    replace_single_record,
)

log = logging.getLogger(__name__)

# In the log before a snapshot takes their place: grants are some megabytes, requests and answers more.
MOST_RECORDS, MOST_LOG_BYTES = 50_000, 64 << 20
BOOT = Path("/proc/sys/kernel/random/boot_id")
PER_MS = 1000  # fences begin at the time, by thousandths of milliseconds: no history reaches another's


def boot() -> str:
    try:
        return BOOT.read_text().strip()
    except OSError:
        return ""


def begin(folder: Path, config: Config) -> None:
    """Make a folder for a history that is the first: nobody can hold anything, and nothing is waited for."""
    book = Book(claim(folder))
    try:
        if book.tenure.before() is not None:
            raise LockedError(f"there is a history in the folder {folder} already")
        state, work = book.open(config)
        state.quiet_until_ms = 0
        book.put(book.image(state, work))
    finally:
        book.close()


class Book:
    """What a term of a steward's keeps."""

    def __init__(self, tenure: Tenure) -> None:
        self.tenure, self.boot = tenure, boot()
        self.snapshot_path, self.records = tenure.place / "snapshot", RecordFile(tenure.place / "log")

    def read(self) -> tuple[object | None, list[object]]:
        """The last snapshot of the terms before this one, and the records since. Its process may still be
        there and put a snapshot in its log's place: the log is read first, so that nothing is missed."""
        before = self.tenure.before()
        if before is None:
            return None, []
        path = before / "log"
        data = path.read_bytes() if path.exists() else b""
        decoded = decode_records(data, str(path))
        if decoded.end < len(data):
            log.warning(
                "%s: %d bytes of a change that was not completed are passed over",
                path,
                len(data) - decoded.end,
            )
        kept = read_single_record(before / "snapshot")
        if kept is None and decoded.values:
            raise CorruptFileError(f"{before / 'snapshot'} is missing, but there is a log")
        return kept, decoded.values

    def open(self, config: Config) -> tuple[State, Work]:
        """Grants and work in hand as the terms before told them, or a new history; kept as this term's."""
        found = self.take_on(config)
        self.records.open()
        self.put(self.image(*found))
        self.tenure.tidy()
        return found

    def take_on(self, config: Config) -> tuple[State, Work]:
        now = now_ms()
        kept, values = self.read()
        fresh = time.time_ns() // 1_000_000 * PER_MS
        if kept is None:
            return (State(fresh, now, MOST_LEASE_MS, config.lease_ms), Work(fresh, now, config.work_lease_ms))
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
            raise CorruptFileError(
                f"{self.tenure.folder} holds a record that is none of ours: {error!r}"
            ) from error
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
        return {
            "budget": budget,
            "holder": holder,
            "fence": one.fence,
            "part": one.part,
            "units": one.units,
            "until": one.until_ms,
            "boot": self.boot,
        }

    def work_record(self, record: Record) -> dict[str, object]:
        return {**msgspec.to_builtins(record), "boot": self.boot}

    def append(self, made: Iterable[tuple[str, str, Issued]], work: Iterable[Record] = ()) -> None:
        """Keep grants and what became of work, synced; a WriteFailedError where that fails. What is kept may
        be told while this term lasts, which is looked at last: else a LostError."""
        self.records.append([*(self.record(*one) for one in made), *map(self.work_record, work)])
        if not self.tenure.holds():
            raise LostError("another steward has taken over")

    def due(self) -> bool:
        return self.records.record_count >= MOST_RECORDS or self.records.size_bytes >= MOST_LOG_BYTES

    def image(self, state: State, work: Work) -> dict[str, object]:
        """All that may be believed in or is in hand."""
        return {
            "fence": state.fence,
            "boot": self.boot,
            "quiet_until_ms": state.quiet_until_ms,
            "issued": [self.record(*one) for one in state.issued()],
            "work_fence": work.fence,
            "work": [self.work_record(record) for record in work.kept()],
        }

    def put(self, image: dict[str, object]) -> None:
        """Put all of it into one file; then the log is emptied."""
        replace_single_record(self.snapshot_path, image)
        self.records.clear()

    def close(self) -> None:
        self.records.close()
        self.tenure.end()
