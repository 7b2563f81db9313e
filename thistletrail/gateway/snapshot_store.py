"""A front door's stored state: a small snapshot now and then, for the process that comes after it.

Off unless `state_dir` is set. A snapshot is written in a thread, to a file of its own that then takes the
old one's place; it has a version, a checksum, the door it is of, its settings, a time and a start mark.
Whatever is wrong with it is one warning, and then it is as if there were none. The folder also tells of
starts that came one soon after the other: a door that crashes again and again waits longer each time before
it takes load.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import random
import struct
import threading
import time
import zlib
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from thistletrail.gateway import snapshot_records
from thistletrail.gateway.config import Config, ConfigError
from thistletrail.gateway.settings_digest import settings_digest
from thistletrail.policy.events import PolicySnapshot, SnapshotFound

if TYPE_CHECKING:
    from thistletrail.gateway.server import FrontDoor

log = logging.getLogger(__name__)

VERSION = 1
HEAD = struct.Struct("!4sBII")  # mark, version, length of what follows, its checksum
MARK = b"MrSt"
MOST_BYTES = 8 << 20  # of a snapshot: 5,000 customers and 2,000 servers are a tenth of that
SAVE_S, SAVE_JITTER = 1.0, 0.25  # between snapshots: what a crash loses; doors must not all write at once
# Bounds on age. A store is full again within some seconds, and nothing else is kept for as long; the list is
# read anew within a second where anybody tells it, and an older one names servers that have gone.
MOST_AGE_S, MOST_LIST_AGE_S = 30.0, 600.0
AHEAD_S = 2.0  # by which a snapshot may be from the future: clocks of one machine step by less
# Starts within a span after which the next one waits: the second is a restart, more are a crash that repeats.
CRASH_SPAN_S, USUAL_STARTS, FIRST_WAIT_S, MOST_WAIT_S = 10.0, 1, 1.0, 8.0


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """What is kept; snapshot_records.py says how it is written."""

    name: str
    settings: str  # a digest of them
    at_ms: int  # Unix time
    mark: int
    memory: PolicySnapshot
    known: dict[str, Any]  # the list, in discovery's form


class RejectedError(ValueError):
    """A snapshot that is not to be used, and why."""


def settings_of(config: Config) -> str:
    """A digest of what the module is told: another one means other customers, servers or numbers."""
    return settings_digest(config.settings)


def to_record(snapshot: Snapshot) -> snapshot_records.SnapshotRecord:
    """The record that a snapshot is written as."""
    return snapshot_records.SnapshotRecord(
        gateway_name=snapshot.name,
        settings_digest=snapshot.settings,
        written_at_ms=snapshot.at_ms,
        start_mark=snapshot.mark,
        policy=snapshot_records.to_policy_record(snapshot.memory),
        server_list=snapshot.known,
    )


def from_record(record: snapshot_records.SnapshotRecord) -> Snapshot:
    """The snapshot of a record that was read."""
    return Snapshot(
        name=record.gateway_name,
        settings=record.settings_digest,
        at_ms=record.written_at_ms,
        mark=record.start_mark,
        memory=snapshot_records.from_policy_record(record.policy),
        known=record.server_list,
    )


def pack(snapshot: Snapshot) -> bytes:
    body = snapshot_records.encode(to_record(snapshot))
    return HEAD.pack(MARK, VERSION, len(body), zlib.crc32(body)) + body


def unpack(data: bytes, config: Config, now_ms: int) -> Snapshot:
    """A snapshot that may be used; else a RejectedError that says why not."""
    if len(data) < HEAD.size:
        raise RejectedError("it is cut off")
    mark, version, length, checksum = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if mark != MARK or version != VERSION:
        raise RejectedError(f"it is of version {version}, not {VERSION}" if mark == MARK else "it is none")
    if len(body) != length or zlib.crc32(body) != checksum:
        raise RejectedError("it is damaged")
    try:
        found = from_record(snapshot_records.decode(body))
    except msgspec.MsgspecError as error:
        raise RejectedError(str(error)) from error
    if found.name != config.name:
        raise RejectedError(f"it is of {found.name}")
    if found.settings != settings_of(config):
        raise RejectedError("it was made under other settings")
    if found.at_ms > now_ms + AHEAD_S * 1000:
        raise RejectedError(f"it is from {(found.at_ms - now_ms) / 1000:.1f} s in the future")
    if now_ms - found.at_ms > MOST_LIST_AGE_S * 1000:
        raise RejectedError(f"it is {(now_ms - found.at_ms) / 1000:.0f} s old")
    return found


def wait_s(starts: list[float], now: float) -> float:
    """How long a start waits before it takes load, by the times of those before it that did not end well."""
    lately = sum(now - CRASH_SPAN_S <= start <= now + AHEAD_S for start in starts)
    over = lately - USUAL_STARTS
    return min(MOST_WAIT_S, FIRST_WAIT_S * 2 ** (over - 1)) if over > 0 else 0.0


class Keep:
    """The folder of one front door. One that another process has or that is of no use is a ConfigError."""

    def __init__(self, config: Config) -> None:
        self.config = config
        folder = Path(config.state_dir)
        self.path, self.fresh, self.starts_path = folder / "door", folder / "door.new", folder / "starts"
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise ConfigError(f"another front door has the folder {folder}") from None
        except OSError as error:
            raise ConfigError(f"the folder {folder} cannot be used: {error.strerror}") from error
        self.failing = False
        self.writing = threading.Lock()  # the last one is written while the one before it may be on its way
        self.random = random.Random(config.settings.seed)
        self.mark = self.random.getrandbits(32)
        self.starts = self.read_starts()
        self.found = self.read()

    def unix_ms(self) -> int:
        return round(time.time() * 1000) + self.config.clock_offset_ms

    # --- at the start ---

    def read(self) -> Snapshot | None:
        """What a predecessor left, if it may be used."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MOST_BYTES)
            return unpack(data, self.config, self.unix_ms())
        except FileNotFoundError:
            return None
        except (OSError, RejectedError) as error:
            reason = getattr(error, "strerror", None) or error
            log.warning("the snapshot in %s is not used: %s", self.path, reason)
            return None

    def with_known(self, config: Config) -> Config:
        """The configuration with the list of the snapshot, where it knows none itself."""
        return replace(config, known=self.found.known) if self.found and not config.known else config

    def recall(self, door: FrontDoor) -> None:
        """Hand the module what the snapshot tells, where that is young enough."""
        if self.found is None:
            return
        age_ms = max(0, self.unix_ms() - self.found.at_ms)
        if age_ms <= MOST_AGE_S * 1000:
            door.post(SnapshotFound(self.found.memory, age_ms * 1000))
        else:
            log.warning("a snapshot of %.1f s ago is too old for all but its list", age_ms / 1000)

    def read_starts(self) -> list[float]:
        try:
            return msgspec.msgpack.decode(self.starts_path.read_bytes(), type=list[float])
        except (OSError, msgspec.MsgspecError):
            return []

    def wait_s(self) -> float:
        """How long this start is to wait, with jitter; it is noted as one that has not ended well yet."""
        now = self.unix_ms() / 1000
        wait = wait_s(self.starts, now) * self.random.uniform(0.75, 1.25)
        recent = [start for start in self.starts if abs(now - start) < CRASH_SPAN_S + MOST_WAIT_S]
        self.starts = [*recent, now]
        self.write_starts()
        return wait

    def write_starts(self) -> None:
        with contextlib.suppress(OSError):  # a folder that takes nothing is told of with the first snapshot
            self.starts_path.write_bytes(msgspec.msgpack.encode(self.starts))

    # --- while it serves ---

    async def run(self, door: FrontDoor) -> None:
        """Keep a snapshot every now and then, until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SAVE_S * self.random.uniform(1 - SAVE_JITTER, 1 + SAVE_JITTER))
            await loop.run_in_executor(None, self.write, self.snapshot(door))

    def snapshot(self, door: FrontDoor) -> Snapshot:
        return Snapshot(
            name=self.config.name,
            settings=settings_of(self.config),
            at_ms=self.unix_ms(),
            mark=self.mark,
            memory=door.gateway.snapshot(),
            known=door.known_list(),
        )

    def write(self, snapshot: Snapshot) -> None:
        """Put it in the old one's place, whole or not at all. A failure is told once, until it works."""
        try:
            with self.writing, self.fresh.open("wb") as file:
                file.write(pack(snapshot))
                file.flush()
                os.fsync(file.fileno())
                self.fresh.replace(self.path)
        except OSError as error:
            if not self.failing:
                log.warning("no snapshot can be written: %s", error.strerror)
            self.failing = True
            return
        if self.failing:
            log.info("snapshots can be written again")
        self.failing = False

    def end(self, door: FrontDoor | None) -> None:
        """A planned end: the last state is kept, and the start was none that crashed."""
        if door is not None:
            self.write(self.snapshot(door))
        self.starts = self.starts[:-1]
        self.write_starts()

    def close(self) -> None:
        os.close(self.lock)
