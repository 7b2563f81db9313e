"""The journal of one term: grants and changes of work items are synced before anybody is answered.

One process at a time leads in the folder (leadership.py); it reads what the one before it has written, and
goes on. Grants of the same boot have their exact ends, as all processes share its clock; those of another
boot may be relied on for the longest lease from now. Where nothing is left, a new history begins, and grants
nothing until the longest lease that may be configured has ended.
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

# In the log before a snapshot replaces it: grants are some megabytes, requests and values more.
MAX_RECORDS = 50_000
MAX_LOG_BYTES = 64 << 20
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
# Fencing numbers begin at the time, by thousandths of milliseconds: no history reaches another's.
FENCES_PER_MS = 1000

# A change of a work item as it is stored: the fields of its record, and `boot`.
StoredWorkRecord = dict[str, Any]


class StoredGrant(Struct, frozen=True, kw_only=True):
    """A grant as it is stored; `boot` says of which boot of the machine its end is."""

    budget: str
    holder: str
    fence: int
    share: int = field(name="part")
    units: int
    until_ms: int = field(name="until")
    boot: str


class StoredSnapshot(Struct, frozen=True, kw_only=True):
    """All that may be relied on, as it is stored; without the last two before there were work leases."""

    fence: int
    boot: str
    quiet_until_ms: int
    issued: list[StoredGrant]
    work_fence: int = 0
    work: list[StoredWorkRecord] = []


@dataclass(frozen=True, slots=True)
class StoredTerm:
    """What one term has stored, not yet validated: its snapshot, and the records of the log since."""

    snapshot: object
    records: list[object]


def boot_id() -> str:
    """Return the identity of this boot of the machine; empty where the system has none."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def begin_history(folder: Path, config: Config) -> None:
    """Make a folder for the first history of a fleet: nobody can hold anything, and nothing is waited for.

    Raises:
        FolderLockedError: There is a history already, or another process has the folder.
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
    """What one term writes: a snapshot, and a log of what has changed since."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.boot_id = boot_id()
        self.snapshot_path = term.path / SNAPSHOT_NAME
        self.records = RecordFile(term.path / LOG_NAME)

    # --- reading ---

    def open(self, config: Config) -> LeasingStates:
        """Return the states as the terms before answered them, or new ones; written as this term's snapshot.

        Raises:
            CorruptFileError: The journal of the term before is damaged.
        """
        states = self.read_predecessor(config)
        self.records.open()
        self.write_snapshot(self.snapshot(states))
        self.term.remove_predecessors()
        return states

    def read_predecessor(self, config: Config) -> LeasingStates:
        """Return the states of the term before, or new ones where there is none."""
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
                f"{self.term.folder} holds a record that the lease service does not know: {error!r}"
            ) from error

    def restore(self, stored: StoredTerm, config: Config, first_fence: int, now: int) -> LeasingStates:
        """Return the states that a snapshot and the records since add up to."""
        snapshot = msgspec.convert(stored.snapshot, type=StoredSnapshot)
        budgets = BudgetState(snapshot.fence, now, 0, config.lease_ms)
        is_same_boot = snapshot.boot == self.boot_id  # else the clock is another
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
        if skipped:  # the machine has started again since, and every gateway with it: all of that is over
            log.warning("%d records of work items are of another boot, and are skipped", skipped)
        work.finish_restore(now)
        return LeasingStates(budgets, work)

    def restore_grant(self, budgets: BudgetState, config: Config, stored: StoredGrant, now: int) -> None:
        """Bring a grant back if it has not ended; one of another boot may last for the longest lease."""
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
        """Return a grant as it is stored."""
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
        """Return a change of a work item as it is stored."""
        return {**msgspec.to_builtins(record), "boot": self.boot_id}

    def append(self, grants: Iterable[HolderGrant], work: Iterable[WorkRecord] = ()) -> None:
        """Write and sync grants and changes of work items.

        What is written may be answered while this term lasts, which is looked at last.

        Raises:
            WriteFailedError: They cannot be written; the log is as before.
            LeadershipLostError: A later term has begun.
        """
        stored_grants = [msgspec.to_builtins(self.stored_grant(grant)) for grant in grants]
        self.records.append([*stored_grants, *map(self.stored_work_record, work)])
        if not self.term.is_current():
            raise LeadershipLostError("another lease service has taken over")

    def is_snapshot_due(self) -> bool:
        """Return whether the log has grown so long that a snapshot is to replace it."""
        return self.records.record_count >= MAX_RECORDS or self.records.size_bytes >= MAX_LOG_BYTES

    def snapshot(self, states: LeasingStates) -> StoredSnapshot:
        """Return all that may be relied on, as it is stored."""
        return StoredSnapshot(
            fence=states.budgets.fence,
            boot=self.boot_id,
            quiet_until_ms=states.budgets.quiet_until_ms,
            issued=[self.stored_grant(grant) for grant in states.budgets.issued_grants()],
            work_fence=states.work.store.fence,
            work=[self.stored_work_record(record) for record in states.work.store.records()],
        )

    def write_snapshot(self, snapshot: StoredSnapshot) -> None:
        """Write a snapshot into one file; then empty the log that it replaces."""
        replace_single_record(self.snapshot_path, msgspec.to_builtins(snapshot))
        self.records.clear()

    def close(self) -> None:
        """Close the log, and let go of the term."""
        self.records.close()
        self.term.close()


def read_term(path: Path) -> StoredTerm | None:
    """Return what is stored in a term's folder; None where no record was completed.

    Its process may still be there and replace its log by a snapshot: the log is read first, so that nothing
    is missed.

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
