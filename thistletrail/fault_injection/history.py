"""Histories: what each process of a run saw, one JSON line each, merged in order of time.

Every record has `at` (microseconds of the machine's monotonic clock) and `kind`; the others go by kind:

| kind | by | tells |
| --- | --- | --- |
| `ask` | clients | a first try and its retries have ended: when it came, class, plan, worth, served or not |
| `try`, `end` | clients | a request as it was written, and how it ended, with when to come again |
| `late`, `lost` | clients | an answer after its client's time; none within half a second after it |
| `extra` | clients | an answer that nobody had asked for |
| `pong` | clients, fault injection | a front door that was down answers PING |
| `came`, `left` | scan servers | an attempt has come whole, and how it ended there |
| `fell` | scan servers | sent too much while cold, it has fallen over |
| `open` | relays | a connection, by link and sides |
| `sent` | relays | a request's first bytes from a door on their way to a scan server |
| `asked`, `granted` | relays | a door's ask for parts of budgets, and a steward's answer, as they go by |
| `told` | relays | a change of the list, as it was written to a door |
| `words` | relays | datagrams between doors in a tenth of a second |
| `go` | fault injection | when the load begins and ends |
| `fault`, `undone`, `woke` | fault injection | a fault and whom it strikes; its end; the end of a pause |
| `started`, `died` | fault injection | a process, and whether it was meant to end |
| `stalled` | fault injection, clients | the own loop was late by so much: the machine was too busy |
| `door` | a door's log | a line of it, at its time |
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
STAMP = len("2026-01-01 00:00:00,000")  # a log line's time
STAMP_FORM = "%Y-%m-%d %H:%M:%S,%f"


class Writer:
    """Writes records as they come, each at once: a process that is killed has written all that it saw."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)
        self.encode = msgspec.json.Encoder().encode

    def note(self, kind: str, **values: object) -> None:
        self.file.write(self.encode({"at": now_us(), "kind": kind, **values}) + b"\n")

    def close(self) -> None:
        self.file.close()


def read(path: Path) -> Iterator[Record]:
    """The records of one file; a last line that a kill has cut off is passed over."""
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
    """The records of each file of a run's folder, whatever the files are called: their names have changed."""
    return [read(path) for path in sorted(folder.glob("*.jsonl"))]


def of_log(path: Path, door: int, offset_us: int) -> Iterator[Record]:
    """A door's log as records; `offset_us` is the monotonic clock less the system's own time."""
    for line in path.read_text(errors="replace").splitlines():
        with contextlib.suppress(ValueError):
            at = datetime.strptime(line[:STAMP], STAMP_FORM).timestamp()
            level, _, text = line[STAMP + 1 :].partition(" ")
            yield {
                "at": round(at * 1e6) + offset_us,
                "kind": "door",
                "door": door,
                "level": level,
                "text": text.partition(": ")[2],
            }


def offset_us() -> int:
    """The monotonic clock less the system's time, in microseconds."""
    return (time.monotonic_ns() - time.time_ns()) // 1000


def merge(parts: Iterable[Iterable[Record]]) -> list[Record]:
    """All records in order of time."""
    return sorted((record for part in parts for record in part), key=lambda record: record["at"])


def write(records: Iterable[Record], path: Path) -> None:
    encode = msgspec.json.Encoder().encode
    try:
        path.write_bytes(b"".join(encode(record) + b"\n" for record in records))
    except OSError as error:
        raise FaultInjectionError(f"{path}: {error.strerror}") from error
