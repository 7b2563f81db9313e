"""The format of a gateway's snapshot file: a header with a checksum, then one record in msgpack.

The record's keys are defined in snapshot_records.py. The format must not change without a new version, as
older and newer releases read each other's files.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import Any

import msgspec

from thistletrail.gateway import snapshot_records
from thistletrail.gateway.errors import RejectedSnapshotError
from thistletrail.policy.events import PolicySnapshot

MAGIC = b"MrSt"
VERSION = 1
HEADER = struct.Struct("!4sBII")  # magic, version, length of the record in bytes, its CRC-32


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """A gateway's state for its next process, with its origin and time."""

    gateway_name: str
    settings_digest: str  # digest of the settings under which it was collected
    written_at_ms: int  # Unix time at which it was collected
    start_id: int  # identifies the start that wrote it; stored, but not used on a restore
    policy: PolicySnapshot
    endpoint_list: dict[str, Any]  # in discovery's format


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as the contents of a file."""
    record = snapshot_records.SnapshotRecord(
        gateway_name=snapshot.gateway_name,
        settings_digest=snapshot.settings_digest,
        written_at_ms=snapshot.written_at_ms,
        start_id=snapshot.start_id,
        policy=snapshot_records.to_policy_record(snapshot.policy),
        endpoint_list=snapshot.endpoint_list,
    )
    body = snapshot_records.encode(record)
    return HEADER.pack(MAGIC, VERSION, len(body), zlib.crc32(body)) + body


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode the contents of a file; raises RejectedSnapshotError if they are not a valid snapshot."""
    body = _checked_body(data)
    try:
        record = snapshot_records.decode(body)
    except msgspec.MsgspecError as error:
        raise RejectedSnapshotError(f"malformed record: {error}") from error
    return Snapshot(
        gateway_name=record.gateway_name,
        settings_digest=record.settings_digest,
        written_at_ms=record.written_at_ms,
        start_id=record.start_id,
        policy=snapshot_records.from_policy_record(record.policy),
        endpoint_list=record.endpoint_list,
    )


def _checked_body(data: bytes) -> bytes:
    """The encoded record after the header.

    Raises RejectedSnapshotError if the data are cut off, damaged, or of another format or version.
    """
    if len(data) < HEADER.size:
        raise RejectedSnapshotError(f"cut off: expected {HEADER.size} bytes at least, found {len(data)}")
    magic, version, length, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise RejectedSnapshotError(f"no snapshot: expected {MAGIC!r} at its beginning, found {magic!r}")
    if version != VERSION:
        raise RejectedSnapshotError(f"of another version: expected {VERSION}, found {version}")
    body = data[HEADER.size :]
    if len(body) != length:
        raise RejectedSnapshotError(f"damaged: expected {length} bytes after the header, found {len(body)}")
    found_checksum = zlib.crc32(body)
    if found_checksum != checksum:
        raise RejectedSnapshotError(f"damaged: expected checksum {checksum:08x}, found {found_checksum:08x}")
    return body
