"""What makes the list outlive its process: an append-only log with checksums, and snapshots.

A folder holds `snapshot` (the list at some generation) and `log` (the changes since, oldest first). A change
is synced before whoever asked for it is answered (write_ahead_log/record_file.py).
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

from thistletrail.registry.store import Instance, RefusedError, Store
from thistletrail.write_ahead_log.record_file import (
    CorruptFileError,
    RecordFile,
    WriteFailedError,
    read_single_record,
    replace_single_record,
)

log = logging.getLogger(__name__)

MOST_RECORDS = 4096  # in the log before a snapshot takes their place


class Log:
    """The files of one store. One process at a time has them open."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.snapshot_path = folder / "snapshot"
        self.records = RecordFile(folder / "log")
        self.filling_path = folder / "filling"

    def is_filling(self) -> bool:
        """Whether the history began with nothing, and may not hold yet what is there."""
        return self.filling_path.exists()

    def filled(self) -> None:
        self.filling_path.unlink(missing_ok=True)

    def open(self, unix_ms: int, now_ms: int) -> Store:
        """The store as it was left, or a new history where there is nothing. Leases get the grace."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "snapshot.new").unlink(missing_ok=True)  # of a crash before it was complete
        store = self.read_snapshot(now_ms) or Store(unix_ms, now_ms, log.warning)
        for value in self.records.open():
            try:
                instance = Instance(**value)
            except TypeError as error:
                raise CorruptFileError(
                    f"{self.records.path} holds a record that is no change: {error}"
                ) from error
            if instance.generation > store.generation:  # older ones: a crash came between snapshot and log
                store.apply(instance)
        if not self.snapshot_path.exists():
            self.filling_path.touch()
            self.snapshot(store)  # a new history has to be the same one after the next crash
        store.keep = self.append
        store.away(now_ms, "the service has started")
        return store

    def read_snapshot(self, now_ms: int) -> Store | None:
        if not self.snapshot_path.exists():
            if self.records.path.exists() and self.records.path.stat().st_size:
                raise CorruptFileError(f"{self.snapshot_path} is missing, but there is a log")
            return None
        try:
            return Store.restore(read_single_record(self.snapshot_path), now_ms, log.warning)
        except ValueError as error:
            raise CorruptFileError(f"{self.snapshot_path}: {error}") from error

    def append(self, changes: Iterable[Instance]) -> None:
        """Write changes and sync them. Where that fails, as on a full disk, the log is as before and the
        write is a RefusedError; nobody has been told of it by then."""
        try:
            self.records.append(asdict(change) for change in changes)
        except WriteFailedError as error:
            raise RefusedError(f"the change cannot be kept: {error}") from error

    def due(self) -> bool:
        """Whether a snapshot should take the log's place."""
        return self.records.record_count >= MOST_RECORDS

    def snapshot(self, store: Store) -> None:
        """Write all of the store, then empty the log: a crash in between leaves changes that are known
        already. Where there is no room the log goes on growing, and a later call tries again."""
        try:
            replace_single_record(self.snapshot_path, store.snapshot())
        except OSError as error:
            log.warning("no snapshot can be written: %s", error.strerror)
            return
        self.records.clear()

    def close(self) -> None:
        self.records.close()
