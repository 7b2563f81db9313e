"""An append-only file of records with checksums, and whole files that are replaced in one go.

A record that a crash has cut off at the end is dropped with a warning; damage anywhere else is a DamageError,
as what follows it cannot be trusted.
"""

from __future__ import annotations

import json
import logging
import os
import struct
import zlib
from collections.abc import Iterable
from pathlib import Path

log = logging.getLogger(__name__)

RECORD = struct.Struct("!4sII")  # mark, length of the text behind it, its checksum
MARK = b"RstR"


class DamageError(Exception):
    """The folder's files are damaged: one line that names file and place."""


class FullError(Exception):
    """A record cannot be kept, as on a full disk; the file is as before."""


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


class Records:
    """One file of records. One process at a time has it open."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file: int | None = None
        self.size = self.count = 0

    def open(self) -> list[object]:
        """What is in it, with a torn tail cut off."""
        data = self.path.read_bytes() if self.path.exists() else b""
        values, end = read_log(data, str(self.path))
        if end < len(data):
            log.warning(
                "%s: %d bytes of a change that was not completed are cut off", self.path, len(data) - end
            )
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        os.ftruncate(self.file, end)
        os.fsync(self.file)
        self.size, self.count = end, len(values)
        return values

    def append(self, values: Iterable[object]) -> None:
        """Write records and sync them; where that fails, a FullError, and nobody has been told by then."""
        packed = [pack(value) for value in values]
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
            raise FullError(error.strerror) from error
        self.size += len(data)
        self.count += len(packed)

    def empty(self) -> None:
        """Forget all records: a snapshot has taken their place."""
        if self.file is not None:
            os.ftruncate(self.file, 0)
            os.fsync(self.file)
            self.size = self.count = 0

    def close(self) -> None:
        if self.file is not None:
            os.close(self.file)
            self.file = None


def read_whole(path: Path) -> object | None:
    """The one record of a file that was written whole; None where there is no file."""
    if not path.exists():
        return None
    data = path.read_bytes()
    found = read_record(data, 0)
    if found is None or found[1] != len(data):
        raise DamageError(f"{path} is damaged")
    return found[0]


def write_whole(path: Path, value: object) -> None:
    """Put a file of one record in the old one's place, synced; what keeps it from that is an OSError."""
    fresh = path.with_name(path.name + ".new")
    with fresh.open("wb") as file:
        file.write(pack(value))
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Make what stands in a folder outlive the machine's power."""
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
