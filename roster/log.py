"""What makes the list outlive its process: an append-only log with checksums, and snapshots.

A folder holds `snapshot` (the list at some generation) and `log` (the changes since, oldest first). A change
is synced before whoever asked for it is answered. A record cut off at the end, as a crash leaves it, is
dropped with a warning; damage anywhere else is a DamageError, as what follows it cannot be trusted.
"""

from __future__ import annotations

import json
import logging
import os
import struct
import zlib
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

from roster.store import Instance, RefusedError, Store

log = logging.getLogger(__name__)

RECORD = struct.Struct("!4sII")  # mark, length of the text behind it, its checksum
MARK = b"RstR"
MOST_RECORDS = 4096  # in the log before a snapshot takes their place


class DamageError(Exception):
    """The folder's files are damaged: one line that names file and place."""


def pack(value: object) -> bytes:
    text = json.dumps(value, separators=(",", ":"), allow_nan=False).encode()
    return RECORD.pack(MARK, len(text), zlib.crc32(text)) + text


def read_record(data: bytes, at: int) -> tuple[object, int] | None:
    """The record there and where the next one begins; None where there is no whole one."""
    if len(data) - at < RECORD.size:
        return None
    mark, length, checksum = RECORD.unpack_from(data, at)
    end = at + RECORD.size + length
    text = data[at + RECORD.size : end]
    if mark != MARK or len(text) < length or zlib.crc32(text) != checksum:
        return None
    try:
        return json.loads(text), end
    except ValueError:
        return None


def read_log(data: bytes, name: str) -> tuple[list[object], int]:
    """All records, and up to where they reach; damage before the last one is a DamageError."""
    values, at = [], 0
    while at < len(data):
        found = read_record(data, at)
        if found is None:
            later = data.find(MARK, at + 1)
            while later >= 0:
                if read_record(data, later) is not None:
                    raise DamageError(f"{name} is damaged at byte {at}: records follow that are whole")
                later = data.find(MARK, later + 1)
            break
        value, at = found
        values.append(value)
    return values, at


class Log:
    """The files of one store. One process at a time has them open."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.snapshot_path, self.log_path = folder / "snapshot", folder / "log"
        self.file: int | None = None
        self.size = self.records = 0

    def open(self, unix_ms: int, now_ms: int) -> Store:
        """The store as it was left, or a new history where there is nothing. Leases get the grace."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "snapshot.new").unlink(missing_ok=True)  # of a crash before it was complete
        store = self.read_snapshot(now_ms) or Store(unix_ms, now_ms, log.warning)
        data = self.log_path.read_bytes() if self.log_path.exists() else b""
        values, end = read_log(data, str(self.log_path))
        for value in values:
            try:
                instance = Instance(**value)
            except TypeError as error:
                raise DamageError(f"{self.log_path} holds a record that is no change: {error}") from error
            if instance.generation > store.generation:  # older ones: a crash came between snapshot and log
                store.apply(instance)
        if end < len(data):
            log.warning("%s: %d bytes of a change that was not completed are cut off", self.log_path,
                        len(data) - end)
        self.file = os.open(self.log_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        os.ftruncate(self.file, end)
        os.fsync(self.file)
        self.size, self.records = end, len(values)
        if not self.snapshot_path.exists():
            self.snapshot(store)  # a new history has to be the same one after the next crash
        store.keep = self.append
        store.away(now_ms, "the service has started")
        return store

    def read_snapshot(self, now_ms: int) -> Store | None:
        if not self.snapshot_path.exists():
            if self.log_path.exists() and self.log_path.stat().st_size:
                raise DamageError(f"{self.snapshot_path} is missing, but there is a log")
            return None
        data = self.snapshot_path.read_bytes()
        found = read_record(data, 0)
        if found is None or found[1] != len(data):
            raise DamageError(f"{self.snapshot_path} is damaged")
        try:
            return Store.restore(found[0], now_ms, log.warning)
        except ValueError as error:
            raise DamageError(f"{self.snapshot_path}: {error}") from error

    def append(self, changes: Iterable[Instance]) -> None:
        """Write changes and sync them. Where that fails, as on a full disk, the log is as before and the
        write is a RefusedError; nobody has been told of it by then."""
        packed = [pack(asdict(change)) for change in changes]
        data = b"".join(packed)
        if not data or self.file is None:
            return
        try:
            written = 0
            while written < len(data):
                written += os.pwrite(self.file, data[written:], self.size + written)
            os.fsync(self.file)
        except OSError as error:
            os.ftruncate(self.file, self.size)
            raise RefusedError(f"the change cannot be kept: {error.strerror}") from error
        self.size += len(data)
        self.records += len(packed)

    def due(self) -> bool:
        """Whether a snapshot should take the log's place."""
        return self.records >= MOST_RECORDS

    def snapshot(self, store: Store) -> None:
        """Write all of the store, then empty the log: a crash in between leaves changes that are known
        already. Where there is no room the log goes on growing, and a later call tries again."""
        fresh = self.folder / "snapshot.new"
        try:
            with fresh.open("wb") as file:
                file.write(pack(store.snapshot()))
                file.flush()
                os.fsync(file.fileno())
            fresh.replace(self.snapshot_path)
            folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            log.warning("no snapshot can be written: %s", error.strerror)
            return
        if self.file is not None:
            os.ftruncate(self.file, 0)
            os.fsync(self.file)
            self.size = self.records = 0

    def close(self) -> None:
        if self.file is not None:
            os.close(self.file)
            self.file = None
