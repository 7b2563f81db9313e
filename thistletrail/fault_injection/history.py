"""Histories: the records of all processes of a run, one JSON line each, merged in order of time.

Every record has `at` (microseconds of the machine's monotonic clock) and `kind`; the other fields depend on
the kind:

| kind | written by | meaning |
| --- | --- | --- |
| `ask` | clients | an operation (a request with its retries) has ended: start, class, plan, worth, success |
| `try`, `end` | clients | a request was written; its outcome, and how long the client waits for a retry |
| `late`, `lost` | clients | the answer came after the client's deadline; none came within the grace period |
| `extra` | clients | an answer without a request arrived |
| `pong` | clients, fault injection | a gateway that was down answers PING |
| `came`, `left` | scan servers | an attempt has arrived completely; it has ended, with its outcome |
| `unread` | scan servers | a command that the scan server cannot read |
| `fell` | scan servers | the scan server collapsed under its load while it was warming up |
| `open` | relays | a connection was opened, by link and sides |
| `sent` | relays | the first bytes of a request went from a gateway to a scan server |
| `asked`, `granted` | relays | a gateway's renewal of its budget shares, and the lease service's response |
| `told` | relays | an update of the endpoint list was written to a gateway |
| `words` | relays | the number of quota messages (datagrams) between gateways in a tenth of a second |
| `go` | fault injection | the times at which the load begins and ends |
| `fault`, `undone`, `woke` | fault injection | a fault begins, with its targets; it ends; a pause ends |
| `started`, `died` | fault injection | a process serves; it has exited, and whether that was expected |
| `stalled` | fault injection, clients | the event loop of the writer was late, as the machine was too busy |
| `door` | a gateway's log | a line of the log, at its timestamp |
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.realtime import now_us

Record = dict[str, Any]
LOG_TIMESTAMP_LENGTH = len("2026-01-01 00:00:00,000")
LOG_TIMESTAMP_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class Writer:
    """Writes each record at once, without a buffer: the records of a process that is killed are complete."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)
        self.encode = msgspec.json.Encoder().encode

    def note(self, kind: str, **values: object) -> None:
        """Write a record of this kind with the present time; the keywords are its other fields."""
        self.file.write(self.encode({"at": now_us(), "kind": kind, **values}) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def read(path: Path) -> Iterator[Record]:
    """Yield the records of one file. An incomplete last line, which a killed process leaves, is skipped.

    Raises `FaultInjectionError` if the file cannot be read or another line is malformed.
    """
    try:
        lines = path.read_bytes().split(b"\n")
    except OSError as error:
        raise FaultInjectionError(f"{path}: {error.strerror}") from error
    for number, line in enumerate(lines):
        try:
            if line:
                yield msgspec.json.decode(line, type=Record)
        except msgspec.DecodeError as error:
            if number < len(lines) - 1:
                raise FaultInjectionError(f"{path}, line {number + 1}: {error}") from error


def read_folder(folder: Path) -> list[Iterator[Record]]:
    """Return the records of each history file (`*.jsonl`) in a folder.

    The names before the suffix do not matter, as earlier revisions gave the files other names.
    """
    return [read(path) for path in sorted(folder.glob("*.jsonl"))]


def read_gateway_log(path: Path, gateway: int, offset_us: int) -> Iterator[Record]:
    """Yield the lines of a gateway's log as records; `offset_us` is the result of `monotonic_offset_us`.

    Lines that do not begin with a timestamp are skipped.
    """
    for line in path.read_text(errors="replace").splitlines():
        with contextlib.suppress(ValueError):
            timestamp_s = datetime.strptime(line[:LOG_TIMESTAMP_LENGTH], LOG_TIMESTAMP_FORMAT).timestamp()
            level, _, text = line[LOG_TIMESTAMP_LENGTH + 1 :].partition(" ")
            yield {
                "at": round(timestamp_s * 1e6) + offset_us,
                "kind": "door",
                "door": gateway,
                "level": level,
                "text": text.partition(": ")[2],
            }


def monotonic_offset_us() -> int:
    """Return the monotonic clock minus the system's wall-clock time, in microseconds."""
    return (time.monotonic_ns() - time.time_ns()) // 1000


def merge(histories: Iterable[Iterable[Record]]) -> list[Record]:
    """Return the records of all histories in order of time."""
    return sorted((record for history in histories for record in history), key=lambda record: record["at"])


def write(records: Iterable[Record], path: Path) -> None:
    """Write the records to a file, one JSON line each; raises `FaultInjectionError` if that fails."""
    encode = msgspec.json.Encoder().encode
    try:
        path.write_bytes(b"".join(encode(record) + b"\n" for record in records))
    except OSError as error:
        raise FaultInjectionError(f"{path}: {error.strerror}") from error
