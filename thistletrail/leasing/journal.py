"""The journal of one term: grants and changes of work items are synced before any response is sent.

One process at a time leads in the data folder (leadership.py). It reads the journal of the previous term and
continues from there. Grants of the same boot keep their exact ends, as all processes share the clock of the
boot; grants of another boot are assumed to last for the longest configurable lease from now. If there is no
earlier journal, a new history begins and grants nothing until the longest configurable lease has ended.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

from thistletrail.leasing.budget_state import MAX_LEASE_MS, BudgetState, HolderGrant, IssuedGrant
from thistletrail.leasing.config import Config
from thistletrail.leasing.errors import FolderLockedError, LeadershipLostError
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.leadership import LOG_NAME, SNAPSHOT_NAME, Term, begin_term
from thistletrail.leasing.work_records import WorkRecord
from thistletrail.leasing.work_state import WorkState
from thistletrail.write_ahead_log.record_file import (
    CorruptFileError,
    RecordFile,
    decode_records,
    read_single_record,
    replace_single_record,
)

log = logging.getLogger(__name__)

# Size of the log at which a snapshot replaces it: 50,000 grants take some megabytes, work items more.
MAX_RECORDS = 50_000
MAX_LOG_BYTES = 64 << 20
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
# The fencing tokens of a history start at the wall-clock time in these units, so that no history reaches the
# tokens of a later one.
FENCES_PER_MS = 1000

# A stored record of a work item: the fields of the record, and `boot`.
StoredWorkRecord = dict[str, Any]


class StoredGrant(Struct, frozen=True, kw_only=True):
    """A stored grant; `until_ms` is a time by the clock of the machine's boot `boot`."""

    budget: str
    holder: str
    fence: int
    share: int = field(name="part")
    units: int
    until_ms: int = field(name="until")
    boot: str


class StoredSnapshot(Struct, frozen=True, kw_only=True):
    """A stored snapshot of both states; revisions without work leases wrote no `work_fence` and `work`."""

    fence: int
    boot: str
    quiet_until_ms: int
    issued: list[StoredGrant]
    work_fence: int = 0
    work: list[StoredWorkRecord] = []


@dataclass(frozen=True, slots=True)
class StoredTerm:
    """The stored data of one term, not yet validated: its snapshot, and the later records of its log."""

    snapshot: object
    records: list[object]


def boot_id() -> str:
    """Return the identifier of this boot of the machine; empty if the system provides none."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def begin_history(folder: Path, config: Config) -> None:
    """Create a folder for the first history of a fleet, which grants at once as no earlier grants exist.

    Raises:
        FolderLockedError: There is a history already, or another process leads in the folder.
    """
    journal = Journal(begin_term(folder))
    try:
        if journal.term.predecessor() is not None:
            raise FolderLockedError(f"there is a history in the folder {folder} already")
        states = journal.open(config)
        states.budgets.quiet_until_ms = 0
        journal.write_snapshot(journal.snapshot(states))
    finally:
        journal.close()


@dataclass(frozen=True, slots=True)
class LeasingStates:
    """Both state machines of the lease service."""

    budgets: BudgetState
    work: WorkState


class Journal:
    """The journal that one term writes: a snapshot, and a log of later changes."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.boot_id = boot_id()
        self.snapshot_path = term.path / SNAPSHOT_NAME
        self.records = RecordFile(term.path / LOG_NAME)

    # --- reading ---

    def open(self, config: Config) -> LeasingStates:
        """Restore the states of the previous term, or create new ones, and write them as a snapshot.

        Raises:
            CorruptFileError: The journal of the previous term is damaged.
        """
        states = self.read_predecessor(config)
        self.records.open()
        self.write_snapshot(self.snapshot(states))
        self.term.remove_predecessors()
        return states

    def read_predecessor(self, config: Config) -> LeasingStates:
        """Return the states of the previous term, or new ones if there is none."""
        now = now_ms()
        first_fence = time.time_ns() // 1_000_000 * FENCES_PER_MS
        previous = self.term.predecessor()
        stored = None if previous is None else read_term(previous)
        if stored is None:
            return LeasingStates(
                BudgetState(first_fence, now, MAX_LEASE_MS, config.lease_ms),
                WorkState(first_fence, config.work_lease_ms),
            )
        try:
            return self.restore(stored, config, first_fence, now)
        except (KeyError, TypeError, ValueError) as error:
            raise CorruptFileError(
                f"unknown record in the journal of {self.term.folder}: {error!r}"
            ) from error

    def restore(self, stored: StoredTerm, config: Config, first_fence: int, now: int) -> LeasingStates:
        """Return the states that result from a snapshot and the later records of its log."""
        snapshot = msgspec.convert(stored.snapshot, type=StoredSnapshot)
        budgets = BudgetState(snapshot.fence, now, 0, config.lease_ms)
        is_same_boot = snapshot.boot == self.boot_id  # another boot has another clock
        budgets.quiet_until_ms = snapshot.quiet_until_ms if is_same_boot else now + MAX_LEASE_MS
        work = WorkState(max(first_fence, snapshot.work_fence), config.work_lease_ms)
        for grant in snapshot.issued:
            self.restore_grant(budgets, config, grant, now)
        skipped = 0
        for record in [*snapshot.work, *stored.records]:
            fields = msgspec.convert(record, type=dict[str, Any])
            if "work" not in fields:
                self.restore_grant(budgets, config, msgspec.convert(fields, type=StoredGrant), now)
            elif fields.pop("boot") == self.boot_id:
                work.restore(msgspec.convert(fields, type=WorkRecord))
            else:
                skipped += 1
        if skipped:  # the machine and every gateway on it have restarted: no client waits for these items
            log.warning("%d records of work items are of another boot, and are skipped", skipped)
        work.finish_restore(now)
        return LeasingStates(budgets, work)

    def restore_grant(self, budgets: BudgetState, config: Config, stored: StoredGrant, now: int) -> None:
        """Restore a grant that has not ended; one of another boot lasts for the longest lease from now."""
        until_ms = stored.until_ms if stored.boot == self.boot_id else now + MAX_LEASE_MS
        grant = IssuedGrant(stored.fence, stored.share, until_ms, stored.units)
        limits = config.limits_of(stored.budget)
        if limits is not None and until_ms > now:
            if stored.budget not in budgets.budgets:
                budgets.set_limits(stored.budget, limits, now)
            budgets.restore_grant(stored.budget, stored.holder, grant)
        budgets.fence = max(budgets.fence, grant.fence)

    # --- writing ---

    def stored_grant(self, issued: HolderGrant) -> StoredGrant:
        """Return the stored form of a grant."""
        return StoredGrant(
            budget=issued.budget,
            holder=issued.holder,
            fence=issued.grant.fence,
            share=issued.grant.share,
            units=issued.grant.units,
            until_ms=issued.grant.until_ms,
            boot=self.boot_id,
        )

    def stored_work_record(self, record: WorkRecord) -> StoredWorkRecord:
        """Return the stored form of a work item's record."""
        return {**msgspec.to_builtins(record), "boot": self.boot_id}

    def append(self, grants: Iterable[HolderGrant], work: Iterable[WorkRecord] = ()) -> None:
        """Write and sync grants and records of work items.

        Afterwards it checks that this term is still the latest one: only then may responses be sent.

        Raises:
            WriteFailedError: The write or sync failed; the log is unchanged.
            LeadershipLostError: A later term has begun.
        """
        stored_grants = [msgspec.to_builtins(self.stored_grant(grant)) for grant in grants]
        self.records.append([*stored_grants, *map(self.stored_work_record, work)])
        if not self.term.is_current():
            raise LeadershipLostError("another lease service has taken over")

    def is_snapshot_due(self) -> bool:
        """Return whether the log is so large that a snapshot should replace it."""
        return self.records.record_count >= MAX_RECORDS or self.records.size_bytes >= MAX_LOG_BYTES

    def snapshot(self, states: LeasingStates) -> StoredSnapshot:
        """Return the stored form of both states."""
        return StoredSnapshot(
            fence=states.budgets.fence,
            boot=self.boot_id,
            quiet_until_ms=states.budgets.quiet_until_ms,
            issued=[self.stored_grant(grant) for grant in states.budgets.issued_grants()],
            work_fence=states.work.store.fence,
            work=[self.stored_work_record(record) for record in states.work.snapshot_records()],
        )

    def write_snapshot(self, snapshot: StoredSnapshot) -> None:
        """Write a snapshot, then clear the log that it replaces."""
        replace_single_record(self.snapshot_path, msgspec.to_builtins(snapshot))
        self.records.clear()

    def close(self) -> None:
        """Close the log, and release the term."""
        self.records.close()
        self.term.close()


def read_term(path: Path) -> StoredTerm | None:
    """Return the stored data of a term's folder; None if it has neither a snapshot nor a complete record.

    The process of that term may still be running and replace its log with a snapshot. The log is therefore
    read first, so that no record is missed.

    Raises:
        CorruptFileError: The log is damaged before its end, or there is a log without a snapshot.
    """
    log_path = path / LOG_NAME
    data = log_path.read_bytes() if log_path.exists() else b""
    decoded = decode_records(data, str(log_path))
    if decoded.end < len(data):
        log.warning("%s: %d bytes of an incomplete record are skipped", log_path, len(data) - decoded.end)
    snapshot = read_single_record(path / SNAPSHOT_NAME)
    if snapshot is None:
        if decoded.values:
            raise CorruptFileError(f"{path / SNAPSHOT_NAME} is missing, but there is a log")
        return None
    return StoredTerm(snapshot, decoded.values)
