"""Which of several processes leads in a data folder: in terms, as in Raft, and never two at once.

A term is a folder `term-N` in the data folder, made by whoever begins it: making a folder succeeds for one
process alone, and whoever has made the highest number leads. It keeps its journal there. It holds a lock in
it for as long as it lives, and touches the folder as a heartbeat; a standby begins the next term where the
lock is free, or where no heartbeat was seen for a while, as with a process that is suspended or hangs.

A leader that was replaced may not know of it yet. It looks for a later term after its decision is in its
journal and before anybody is answered. So all that was ever answered in a term was in its journal when the
next term began, and that is when its successor reads it: nothing has to be waited out.
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

HEARTBEAT_S = 0.1  # between two touches of the term's folder
POLL_S = 0.05  # between two looks of a standby at the term
# Looks in a row without a heartbeat after which a leader is replaced: 1.5 s, longer than a sync or a snapshot
# takes, and less than a gateway has left of its lease of 3 s when a renewal is not answered. Looks and not
# time: a standby that was suspended itself has seen nothing meanwhile.
MAX_MISSED_LOOKS = 30
TERM_FOLDER = re.compile(r"term-([1-9]\d{0,17})", re.ASCII)
LOCK_NAME = "lock"
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
# What lay in the data folder itself before there were terms.
FILES_WITHOUT_TERM = (LOG_NAME, SNAPSHOT_NAME, "snapshot.new", LOCK_NAME)


def term_numbers(folder: Path) -> list[int]:
    """Return the numbers of all terms that there are, the latest first."""
    matches = (TERM_FOLDER.fullmatch(name) for name in os.listdir(folder))
    return sorted((int(match[1]) for match in matches if match), reverse=True)


def latest_term(folder: Path) -> int:
    """Return the number of the present term; 0 where there has been none."""
    return next(iter(term_numbers(folder)), 0)


def term_folder(folder: Path, number: int) -> Path:
    """Return where a term's journal is; that of term 0, from before there were terms, is the data folder."""
    return folder / f"term-{number}" if number else folder


def has_ended(folder: Path, number: int) -> bool:
    """Return whether the process that led in a term has ended; False while it has no lock there yet."""
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
    """A term, and when its folder was touched last, in nanoseconds of the file system's clock."""

    number: int
    touched_ns: int


class LeaderWatch:
    """A standby's view of the present term."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.last_seen: Heartbeat | None = None
        self.missed_looks = 0

    def ended_term(self) -> int | None:
        """Return the latest term if the next one may be begun: its process has ended, or hangs."""
        number = latest_term(self.folder)
        if has_ended(self.folder, number):
            return number
        if not number:
            return None  # a program from before there were terms gives no heartbeat, nor looks for one
        try:
            touched_ns = term_folder(self.folder, number).stat().st_mtime_ns
        except FileNotFoundError:
            return None  # a later one has begun meanwhile
        if not self.is_silent(Heartbeat(number, touched_ns)):
            return None
        log.warning(
            "term %d of %s is replaced: its process gave no heartbeat for %.1f s",
            number,
            self.folder,
            MAX_MISSED_LOOKS * POLL_S,
        )
        self.missed_looks = 0
        return number

    def is_silent(self, seen: Heartbeat) -> bool:
        """Note what was seen; return whether it has been the same for too many looks."""
        self.missed_looks = self.missed_looks + 1 if seen == self.last_seen else 0
        self.last_seen = seen
        return self.missed_looks >= MAX_MISSED_LOOKS


class Term:
    """One term in which this process leads, until a later one has begun."""

    def __init__(self, folder: Path, after: int) -> None:
        """Begin the term after that one.

        Raises:
            FolderLockedError: Another process was first.
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
        claim.replace(self.path / LOCK_NAME)  # locked already when others can see it
        sync_directory(folder)
        # Held open, so that the file system gives its inode number to no other folder.
        self.folder_file = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def is_current(self) -> bool:
        """Return whether no later term has begun, and the folder is still the one that was made."""
        try:
            found = self.path.stat()
            own = os.fstat(self.folder_file)
            is_same_folder = (found.st_ino, found.st_dev) == (own.st_ino, own.st_dev)
            return is_same_folder and latest_term(self.folder) == self.number
        except OSError:
            return False

    def heartbeat(self) -> None:
        """Show that this process is well."""
        os.utime(self.folder_file)

    def predecessor(self) -> Path | None:
        """Return the folder of the last term before this one that may have answered anybody, if any."""
        for number in (*term_numbers(self.folder), 0):
            found = term_folder(self.folder, number)
            if number < self.number and has_journal(found):
                return found
        return None

    def remove_predecessors(self) -> None:
        """Remove what this term's own snapshot has replaced."""
        for number in term_numbers(self.folder):
            if number < self.number:
                shutil.rmtree(term_folder(self.folder, number), ignore_errors=True)
        for name in FILES_WITHOUT_TERM:
            (self.folder / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Let go of the folder; the journal stays."""
        os.close(self.folder_file)
        with suppress(OSError):
            os.close(self.lock_file)


def has_journal(path: Path) -> bool:
    """Return whether a term's folder has a snapshot, or a log with anything in it."""
    log_path = path / LOG_NAME
    has_log = log_path.exists() and log_path.stat().st_size > 0
    return (path / SNAPSHOT_NAME).exists() or has_log


def begin_term(folder: Path) -> Term:
    """Begin a term where the one before has ended.

    One whose process died before it had a lock there is known by its missing heartbeat, which is waited for.

    Raises:
        FolderLockedError: Another process leads.
    """
    folder.mkdir(parents=True, exist_ok=True)
    watch = LeaderWatch(folder)
    while (number := watch.ended_term()) is None:
        if (term_folder(folder, latest_term(folder)) / LOCK_NAME).exists():
            raise FolderLockedError(f"another lease service has the folder {folder}")
        time.sleep(POLL_S)
    return Term(folder, number)


async def wait_for_term(folder: Path, stopped: asyncio.Event) -> Term | None:
    """Wait, as a standby, for a term of this process; return None if it is stopped before."""
    watch = LeaderWatch(folder)
    while not stopped.is_set():
        folder.mkdir(parents=True, exist_ok=True)
        with suppress(FolderLockedError, FileNotFoundError):  # another was first; the folder is removed
            if (number := watch.ended_term()) is not None:
                return Term(folder, number)
        with suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), POLL_S)
    return None


async def maintain_leadership(term: Term, lost: asyncio.Event) -> None:
    """Give heartbeats for as long as this process leads; then set `lost`."""
    while term.is_current():
        term.heartbeat()
        await asyncio.sleep(HEARTBEAT_S)
    lost.set()
