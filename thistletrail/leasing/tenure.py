"""Which of several processes is the steward of a folder: terms of office, one after the other, never two.

A term is a folder `term-N` in the steward's folder, made by whoever begins it: making a folder succeeds for
one process alone, and whoever has made the highest number has the office. It keeps its log there. It holds a
lock in it for as long as it lives, and touches it as long as it is well; a standby begins the next term where
the lock is free, or where nothing was touched for a while, as with a process that is suspended or hangs.

Who was passed over may not know of it yet. It looks for a higher term after what it decided is in its log and
before anybody is told. So all that was ever told in a term was in its log when the next term began, and that
is when its successor reads it: nothing has to be waited out.
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
from pathlib import Path

from thistletrail.write_ahead_log.record_file import sync_directory

log = logging.getLogger(__name__)

BEAT_S = 0.1  # between two touches
LOOK_S = 0.05  # of a standby at the term
# Looks in a row without a touch after which it is passed over: 1.5 s, longer than a sync or a snapshot takes,
# and less than a door has left of its lease of 3 s when a renewal is not answered. Looks and not time: a
# standby that was suspended itself has seen nothing meanwhile.
MOST_LOOKS = 30
TERM = re.compile(r"term-([1-9]\d{0,17})", re.ASCII)


class LockedError(Exception):
    """The folder is another's: a process has it, or a history is in it."""


class LostError(Exception):
    """Another process has the office by now."""


def terms(folder: Path) -> list[int]:
    """The numbers of all terms that there are, the latest first."""
    return sorted(
        (int(found[1]) for name in os.listdir(folder) if (found := TERM.fullmatch(name))), reverse=True
    )


def latest(folder: Path) -> int:
    """The number of the present term; 0 where there has been none."""
    return next(iter(terms(folder)), 0)


def place(folder: Path, number: int) -> Path:
    """Where a term's log is; that of no term, as folders had it before there were any, is the folder."""
    return folder / f"term-{number}" if number else folder


def is_over(folder: Path, number: int) -> bool:
    """Whether the process that had a term has ended. Of one that has just begun that is not known."""
    try:
        lock = os.open(place(folder, number) / "lock", os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return number == 0
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    finally:
        os.close(lock)
    return True


class Watch:
    """A standby's look at the present term."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.seen: tuple[int, int] | None = None  # the term, and when it was touched last
        self.looks = 0

    def over(self) -> int | None:
        """The latest term, where the one after it may be begun: its process has ended, or has not been well
        for long."""
        number = latest(self.folder)
        if is_over(self.folder, number):
            return number
        if not number:
            return None  # a program from before there were terms gives no signs of life, nor looks for one
        try:
            seen = number, place(self.folder, number).stat().st_mtime_ns
        except FileNotFoundError:
            return None  # a later one has begun meanwhile
        self.looks = self.looks + 1 if seen == self.seen else 0
        self.seen = seen
        if self.looks < MOST_LOOKS:
            return None
        log.warning(
            "term %d of %s is passed over: its process has not been well for %.1f s",
            number,
            self.folder,
            MOST_LOOKS * LOOK_S,
        )
        self.looks = 0
        return number


class Tenure:
    """One term of this process's."""

    def __init__(self, folder: Path, after: int) -> None:
        """Begin the term after that one; a LockedError where another process was first."""
        self.folder, self.number = folder, after + 1
        self.place = place(folder, self.number)
        mine = folder / f"claim-{os.getpid()}"
        self.lock = os.open(mine, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.lock, fcntl.LOCK_EX)
        try:
            self.place.mkdir()
        except FileExistsError:
            mine.unlink(missing_ok=True)
            os.close(self.lock)
            raise LockedError(f"another steward has the folder {folder}") from None
        mine.replace(self.place / "lock")  # held already when others can see it
        sync_directory(folder)
        # Held open, no other folder can come to have its number at the file system.
        self.file = os.open(self.place, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def holds(self) -> bool:
        """Whether no later term has begun, and the folder is still the one that this term began in."""
        try:
            found, mine = self.place.stat(), os.fstat(self.file)
            return (found.st_ino, found.st_dev) == (mine.st_ino, mine.st_dev) and (
                latest(self.folder) == self.number
            )
        except OSError:
            return False

    def beat(self) -> None:
        """Show that this process is well."""
        os.utime(self.file)

    def before(self) -> Path | None:
        """Where the log is that this term goes on with: that of the last one before it that got so far as to
        tell anybody anything. None where there is none."""
        for number in (*terms(self.folder), 0):
            found = place(self.folder, number)
            if number < self.number and ((found / "snapshot").exists() or filled(found / "log")):
                return found
        return None

    def tidy(self) -> None:
        """Remove what this term's own snapshot has taken the place of."""
        for number in terms(self.folder):
            if number < self.number:
                shutil.rmtree(place(self.folder, number), ignore_errors=True)
        for name in ("log", "snapshot", "snapshot.new", "lock"):
            (self.folder / name).unlink(missing_ok=True)

    def end(self) -> None:
        """Let go of it; its log stays."""
        os.close(self.file)
        with suppress(OSError):
            os.close(self.lock)


def filled(path: Path) -> bool:
    return path.exists() and path.stat().st_size > 0


def claim(folder: Path) -> Tenure:
    """Begin a term where the one before is over; else a LockedError. One whose process died before it had a
    lock there is told by that it shows no sign of life."""
    folder.mkdir(parents=True, exist_ok=True)
    watch = Watch(folder)
    while (number := watch.over()) is None:
        if (place(folder, latest(folder)) / "lock").exists():
            raise LockedError(f"another steward has the folder {folder}")
        time.sleep(LOOK_S)
    return Tenure(folder, number)


async def office(folder: Path, stopped: asyncio.Event) -> Tenure | None:
    """A standby's wait for a term of its own; None where it is stopped before."""
    watch = Watch(folder)
    while not stopped.is_set():
        folder.mkdir(parents=True, exist_ok=True)
        with suppress(LockedError, FileNotFoundError):  # another was first; the folder is gone just now
            if (number := watch.over()) is not None:
                return Tenure(folder, number)
        with suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), LOOK_S)
    return None


async def keep(tenure: Tenure, lost: asyncio.Event) -> None:
    """Show that this process is well, for as long as it has the office."""
    while tenure.holds():
        tenure.beat()
        await asyncio.sleep(BEAT_S)
    lost.set()
