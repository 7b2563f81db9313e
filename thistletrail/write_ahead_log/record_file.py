"""Append-only files of checksummed records, and single-record files that are replaced atomically.

A record is a header (magic, length, CRC-32) followed by one JSON value. A last record that a crash truncated
is dropped with a warning. Damage anywhere else raises `CorruptFileError`, because the records after it cannot
be trusted.
"""

from __future__ import annotations

import json
import logging
import os
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

log = logging.getLogger(__name__)

RECORD_HEADER = struct.Struct("!4sII")
"""Magic, length of the JSON text in bytes, CRC-32 of that text; in network byte order."""

RECORD_MAGIC = b"RstR"
"""Stored in every record, so it keeps the value of the first release, whatever the name of the package."""

TEMPORARY_SUFFIX = ".new"
"""Suffix of the file that `replace_single_record` writes and then renames; a remaining one is incomplete."""

FILE_MODE = 0o644
"""Permissions of a record file: writable by its owner, readable by all."""


class WriteAheadLogError(Exception):
    """Base class of the errors of this package."""


class CorruptFileError(WriteAheadLogError):
    """Stored data is damaged or inconsistent and needs an operator.

    The message is one line that names the file and, if known, the position of the damage.
    """


class WriteFailedError(WriteAheadLogError):
    """Records could not be stored, for example on a full disk; the file is unchanged, so a retry is safe.

    The message is the error text of the operating system.
    """


@dataclass(frozen=True, slots=True)
class DecodedRecord:
    """The value of one record and the byte offset of its end."""

    value: object
    end: int


@dataclass(frozen=True, slots=True)
class DecodedRecords:
    """The values of the complete records at the start of a file and the byte offset of their end."""

    values: list[object]
    end: int


def encode_record(value: object) -> bytes:
    """Return the record with `value` as compact JSON; raises `ValueError` for a NaN or an infinity."""
    text = json.dumps(value, separators=(",", ":"), allow_nan=False).encode()
    return RECORD_HEADER.pack(RECORD_MAGIC, len(text), zlib.crc32(text)) + text


def decode_record(data: bytes, offset: int) -> DecodedRecord | None:
    """Return the record that begins at byte `offset`, or None if none there is complete and valid."""
    if len(data) - offset < RECORD_HEADER.size:
        return None
    magic, length, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    end = start + length
    text = data[start:end]
    if magic != RECORD_MAGIC or len(text) < length or zlib.crc32(text) != checksum:
        return None
    try:
        return DecodedRecord(json.loads(text), end)
    except ValueError:
        return None


def decode_records(data: bytes, file_name: str) -> DecodedRecords:
    """Decode the records of a file, except for a truncated tail; `file_name` appears in errors.

    Raises `CorruptFileError` if a valid record follows a damaged one: a crash damages only the tail.
    """
    values: list[object] = []
    offset = 0
    while offset < len(data):
        record = decode_record(data, offset)
        if record is None:
            if has_record_after(data, offset):
                raise CorruptFileError(f"{file_name} is damaged at byte {offset}: complete records follow")
            break
        values.append(record.value)
        offset = record.end
    return DecodedRecords(values, offset)


def has_record_after(data: bytes, offset: int) -> bool:
    """Whether a valid record begins anywhere after byte `offset`."""
    candidate = data.find(RECORD_MAGIC, offset + 1)
    while candidate >= 0:
        if decode_record(data, candidate) is not None:
            return True
        candidate = data.find(RECORD_MAGIC, candidate + 1)
    return False


class RecordFile:
    """An append-only file of records. Only one process at a time may have it open.

    `size_bytes` and `record_count` describe the stored records; both are 0 until `open` is called.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size_bytes = 0
        self.record_count = 0
        self._descriptor: int | None = None

    def open(self) -> list[object]:
        """Open or create the file, remove a truncated tail and return the values of all records.

        Raises `CorruptFileError` for damage before the tail and `OSError` if the file cannot be opened.
        """
        data = self.path.read_bytes() if self.path.exists() else b""
        decoded = decode_records(data, str(self.path))
        if decoded.end < len(data):
            log.warning(
                "%s: %d bytes of an incomplete record are cut off", self.path, len(data) - decoded.end
            )
        self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        os.ftruncate(self._descriptor, decoded.end)
        os.fsync(self._descriptor)
        self.size_bytes = decoded.end
        self.record_count = len(decoded.values)
        return decoded.values

    def append(self, values: Iterable[object]) -> None:
        """Write records and sync them to disk, all or none; no effect if the file is not open.

        Raises `WriteFailedError` if the operating system cannot store the records.
        """
        records = [encode_record(value) for value in values]
        data = b"".join(records)
        if not data or self._descriptor is None:
            return
        try:
            self._write_at_end(self._descriptor, data)
        except OSError as error:
            os.ftruncate(self._descriptor, self.size_bytes)
            raise WriteFailedError(error.strerror) from error
        self.size_bytes += len(data)
        self.record_count += len(records)

    def _write_at_end(self, descriptor: int, data: bytes) -> None:
        written = 0
        while written < len(data):
            written += os.pwrite(descriptor, data[written:], self.size_bytes + written)
        os.fsync(descriptor)

    def clear(self) -> None:
        """Remove all records after a snapshot has replaced them; no effect if the file is not open."""
        if self._descriptor is None:
            return
        os.ftruncate(self._descriptor, 0)
        os.fsync(self._descriptor)
        self.size_bytes = 0
        self.record_count = 0

    def close(self) -> None:
        """Close the file; a second call has no effect."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def read_single_record(path: Path) -> object | None:
    """Return the value in a file written by `replace_single_record`, or None if there is no file.

    Raises `CorruptFileError` if the file is not exactly one valid record.
    """
    if not path.exists():
        return None
    data = path.read_bytes()
    record = decode_record(data, 0)
    if record is None or record.end != len(data):
        raise CorruptFileError(f"{path} is damaged: expected one valid record in its {len(data)} bytes")
    return record.value


def replace_single_record(path: Path, value: object) -> None:
    """Atomically replace a file by one record and sync it: a crash leaves the old file or the new one.

    Raises `OSError` if the new file cannot be written; the old one then remains.
    """
    temporary_path = path.with_name(path.name + TEMPORARY_SUFFIX)
    with temporary_path.open("wb") as file:
        file.write(encode_record(value))
        file.flush()
        os.fsync(file.fileno())
    temporary_path.replace(path)
    sync_directory(path.parent)


def sync_directory(path: Path) -> None:
    """Sync a directory to disk, so that files created or renamed in it survive a power failure."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
