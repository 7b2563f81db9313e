"""Leader election among the processes that share a data folder, in numbered terms as in Raft.

A term is a folder `term-N` in the data folder. The process that begins the term creates it: creating a folder
succeeds for only one process, and the process that created the highest number leads. The leader keeps its
journal in that folder, holds a lock in it while it runs, and touches the folder as a heartbeat. A standby
begins the next term once the lock is free, or once heartbeats are missing because the leader is suspended or
hangs.

A replaced leader may not know of it yet. It therefore checks for a later term after its decision is in its
journal and before it sends a response. All that was answered in a term was thus in its journal when the next
term began. The successor reads the journal after that, so it does not have to wait for leases to end.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import re
import shutil
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from thistletrail.leasing.errors import FolderLockedError
from thistletrail.write_ahead_log.record_file import sync_directory

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.1
POLL_INTERVAL_S = 0.05  # between two checks of the latest term by a standby
# Consecutive polls without a heartbeat after which a leader is replaced. They take 1.5 s: longer than a sync
# or a snapshot, and less than what remains of a gateway's lease of 3 s when a renewal is not answered. Polls
# are counted instead of time because a standby that was suspended has missed heartbeats itself.
MAX_POLLS_WITHOUT_HEARTBEAT = 30
TERM_FOLDER_NAME = re.compile(r"term-([1-9]\d{0,17})", re.ASCII)
LOCK_NAME = "lock"
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
# Files that revisions without terms stored in the data folder itself.
FILES_WITHOUT_TERM = (LOG_NAME, SNAPSHOT_NAME, "snapshot.new", LOCK_NAME)


def term_numbers(folder: Path) -> list[int]:
    """Return the numbers of all existing terms, the latest first."""
    matches = (TERM_FOLDER_NAME.fullmatch(name) for name in os.listdir(folder))
    return sorted((int(match[1]) for match in matches if match), reverse=True)


def latest_term(folder: Path) -> int:
    """Return the number of the latest term; 0 if there is none."""
    return next(iter(term_numbers(folder)), 0)


def term_folder(folder: Path, number: int) -> Path:
    """Return the folder of a term's journal; for 0, the data folder, as used by revisions without terms."""
    return folder / f"term-{number}" if number else folder


def has_ended(folder: Path, number: int) -> bool:
    """Return whether a term's process has ended, by its lock; False if the term has no lock file yet."""
    try:
        lock = os.open(term_folder(folder, number) / LOCK_NAME, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return number == 0
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    finally:
        os.close(lock)
    return True


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A term, and the last modification time of its folder in nanoseconds of the file system's clock."""

    number: int
    touched_ns: int


class LeaderWatch:
    """A standby's view of the latest term and its heartbeats."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.last_seen: Heartbeat | None = None
        self.polls_without_heartbeat = 0

    def ended_term(self) -> int | None:
        """Return the latest term if its process has ended or hangs, so that the next may begin; else None."""
        number = latest_term(self.folder)
        if has_ended(self.folder, number):
            return number
        if not number:
            return None  # a revision without terms sends no heartbeats, and would not notice a new term
        try:
            touched_ns = term_folder(self.folder, number).stat().st_mtime_ns
        except FileNotFoundError:
            return None  # a later term has begun meanwhile
        if not self.is_heartbeat_overdue(Heartbeat(number, touched_ns)):
            return None
        log.warning(
            "term %d of %s is replaced: its process gave no heartbeat for %.1f s",
            number,
            self.folder,
            MAX_POLLS_WITHOUT_HEARTBEAT * POLL_INTERVAL_S,
        )
        self.polls_without_heartbeat = 0
        return number

    def is_heartbeat_overdue(self, seen: Heartbeat) -> bool:
        """Record a heartbeat; return whether it has been unchanged for too many polls."""
        self.polls_without_heartbeat = self.polls_without_heartbeat + 1 if seen == self.last_seen else 0
        self.last_seen = seen
        return self.polls_without_heartbeat >= MAX_POLLS_WITHOUT_HEARTBEAT


class Term:
    """One term in which this process leads, until a later one has begun."""

    def __init__(self, folder: Path, after: int) -> None:
        """Begin the term that follows the term `after`.

        Raises:
            FolderLockedError: Another process has begun it first.
        """
        self.folder = folder
        self.number = after + 1
        self.path = term_folder(folder, self.number)
        claim = folder / f"claim-{os.getpid()}"
        self.lock_file = os.open(claim, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.lock_file, fcntl.LOCK_EX)
        try:
            self.path.mkdir()
        except FileExistsError:
            claim.unlink(missing_ok=True)
            os.close(self.lock_file)
            raise FolderLockedError(f"another lease service has the folder {folder}") from None
        claim.replace(self.path / LOCK_NAME)  # already locked when it becomes visible to others
        sync_directory(folder)
        # Stays open so that the file system does not reuse the inode number for another folder.
        self.folder_file = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def is_current(self) -> bool:
        """Return whether no later term has begun, and the folder has not been replaced by another."""
        try:
            at_path = self.path.stat()
            own = os.fstat(self.folder_file)
            is_same_folder = (at_path.st_ino, at_path.st_dev) == (own.st_ino, own.st_dev)
            return is_same_folder and latest_term(self.folder) == self.number
        except OSError:
            return False

    def heartbeat(self) -> None:
        """Touch the term's folder, to show that this process is running."""
        os.utime(self.folder_file)

    def predecessor(self) -> Path | None:
        """Return the folder of the latest earlier term with a journal; None if there is none.

        A term without a journal has sent no responses.
        """
        for number in (*term_numbers(self.folder), 0):
            path = term_folder(self.folder, number)
            if number < self.number and has_journal(path):
                return path
        return None

    def remove_predecessors(self) -> None:
        """Remove the journals of earlier terms, which this term's snapshot replaces."""
        for number in term_numbers(self.folder):
            if number < self.number:
                shutil.rmtree(term_folder(self.folder, number), ignore_errors=True)
        for name in FILES_WITHOUT_TERM:
            (self.folder / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Release the lock; the journal stays."""
        os.close(self.folder_file)
        with suppress(OSError):
            os.close(self.lock_file)


def has_journal(path: Path) -> bool:
    """Return whether a term's folder has a snapshot or a log that is not empty."""
    log_path = path / LOG_NAME
    has_log = log_path.exists() and log_path.stat().st_size > 0
    return (path / SNAPSHOT_NAME).exists() or has_log


def begin_term(folder: Path) -> Term:
    """Begin the next term if the process of the latest one has ended.

    If that process died before it created its lock, this waits until its heartbeats are overdue.

    Raises:
        FolderLockedError: Another process leads.
    """
    folder.mkdir(parents=True, exist_ok=True)
    watch = LeaderWatch(folder)
    while (number := watch.ended_term()) is None:
        if (term_folder(folder, latest_term(folder)) / LOCK_NAME).exists():
            raise FolderLockedError(f"another lease service has the folder {folder}")
        time.sleep(POLL_INTERVAL_S)
    return Term(folder, number)


async def wait_for_term(folder: Path, stopped: asyncio.Event) -> Term | None:
    """Wait, as a standby, until this process can begin a term; return None if `stopped` is set before."""
    watch = LeaderWatch(folder)
    while not stopped.is_set():
        folder.mkdir(parents=True, exist_ok=True)
        with suppress(FolderLockedError, FileNotFoundError):  # lost the race, or the folder was removed
            if (number := watch.ended_term()) is not None:
                return Term(folder, number)
        with suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), POLL_INTERVAL_S)
    return None


async def maintain_leadership(term: Term, leadership_lost: asyncio.Event) -> None:
    """Send heartbeats while this process leads, then set `leadership_lost`."""
    while term.is_current():
        term.heartbeat()
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
    leadership_lost.set()
