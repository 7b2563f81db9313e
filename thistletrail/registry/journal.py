"""Persistence of the registry: a journal of changes and a snapshot that replaces it from time to time.

A directory holds `snapshot` (the registry at one generation) and `log` (the changes since, oldest first). A
change is synced to disk before the client that made it gets its response. The file `filling` exists in a
history that began empty, until running instances have had time to register.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from pathlib import Path

from thistletrail.registry.errors import StorageError
from thistletrail.registry.instance import Instance, Lifecycle
from thistletrail.registry.store import Store, StoreSnapshot
from thistletrail.write_ahead_log.record_file import (
    TEMPORARY_SUFFIX,
    CorruptFileError,
    RecordFile,
    WriteFailedError,
    read_single_record,
    replace_single_record,
)

log = logging.getLogger(__name__)

MAX_JOURNAL_RECORDS = 4096
"""A snapshot replaces the journal once it holds this many changes."""

SNAPSHOT_FILE_NAME = "snapshot"
JOURNAL_FILE_NAME = "log"
FILLING_FILE_NAME = "filling"

# Keys on disk. They must not change when a field of a class is renamed.
STORED_KEY_OF_FIELD = {
    "id": "id",
    "address": "address",
    "zone": "zone",
    "machine_type": "machine_type",
    "cell": "cell",
    "weight": "weight",
    "lifecycle": "lifecycle",
    "started_ms": "started_ms",
    "lease_ms": "lease_ms",
    "generation": "generation",
}
"""Key of each field of `Instance` in a stored instance, in the order in which the keys are written."""

STORED_SNAPSHOT_GENERATION = "generation"
STORED_SNAPSHOT_INSTANCES = "instances"


def encode_instance(instance: Instance) -> dict[str, object]:
    """Return the stored form of an instance: a record of the journal or an entry of the snapshot."""
    return {key: getattr(instance, field) for field, key in STORED_KEY_OF_FIELD.items()}


def decode_instance(value: object) -> Instance:
    """Return the instance that a stored form describes; raises `ValueError` if it is malformed."""
    if not isinstance(value, Mapping):
        raise ValueError(f"expected an object, found {type(value).__name__}")
    expected = set(STORED_KEY_OF_FIELD.values())
    if set(value) != expected:
        raise ValueError(f"expected the keys {sorted(expected)}, found {sorted(value)}")
    fields = {field: value[key] for field, key in STORED_KEY_OF_FIELD.items()}
    fields["lifecycle"] = Lifecycle(fields["lifecycle"])
    return Instance(**fields)


def encode_snapshot(snapshot: StoreSnapshot) -> dict[str, object]:
    """Return the stored form of a snapshot."""
    return {
        STORED_SNAPSHOT_GENERATION: snapshot.generation,
        STORED_SNAPSHOT_INSTANCES: [encode_instance(instance) for instance in snapshot.instances],
    }


def decode_snapshot(value: object) -> StoreSnapshot:
    """Return the snapshot that a stored form describes; raises `ValueError` if it is malformed."""
    if not isinstance(value, Mapping):
        raise ValueError(f"expected an object, found {type(value).__name__}")
    try:
        generation = int(value[STORED_SNAPSHOT_GENERATION])
        instances = tuple(decode_instance(entry) for entry in value[STORED_SNAPSHOT_INSTANCES])
    except (KeyError, TypeError) as error:
        raise ValueError(
            f"expected a snapshot with a generation and a list of instances: {error!r}"
        ) from error
    return StoreSnapshot(generation, instances)


class Journal:
    """The files of one store in `directory`. Only one process at a time may have them open."""

    def __init__(self, directory: Path) -> None:
        self.records = RecordFile(directory / JOURNAL_FILE_NAME)
        self._directory = directory
        self._snapshot_path = directory / SNAPSHOT_FILE_NAME
        self._filling_path = directory / FILLING_FILE_NAME

    def is_filling(self) -> bool:
        """Whether the history began empty and running instances may not have registered yet."""
        return self._filling_path.exists()

    def end_filling(self) -> None:
        """Record that all running instances have had time to register; a second call has no effect."""
        self._filling_path.unlink(missing_ok=True)

    def open(self, unix_ms: int, now_ms: int) -> Store:
        """Return the store as persisted, or an empty one with a new history, and persist its later changes.

        All leases get the grace period. Raises `CorruptFileError` if the files are damaged and `OSError` if
        they cannot be read or written.
        """
        self._directory.mkdir(parents=True, exist_ok=True)
        self._remove_incomplete_snapshot()
        store = self._restore(unix_ms, now_ms) or Store(unix_ms, now_ms, log.warning)
        self._replay(store)
        if not self._snapshot_path.exists():
            # Persists the start of the new history, so that the registry resumes it after a crash.
            self._filling_path.touch()
            self.write_snapshot(store)
        store.persist = self.append
        store.begin_grace_period(now_ms, "the registry has started")
        return store

    def _remove_incomplete_snapshot(self) -> None:
        self._snapshot_path.with_name(SNAPSHOT_FILE_NAME + TEMPORARY_SUFFIX).unlink(missing_ok=True)

    def _restore(self, unix_ms: int, now_ms: int) -> Store | None:
        if not self._snapshot_path.exists():
            journal_path = self.records.path
            if journal_path.exists() and journal_path.stat().st_size:
                raise CorruptFileError(f"{self._snapshot_path} is missing, but there is a log")
            return None
        try:
            snapshot = decode_snapshot(read_single_record(self._snapshot_path))
        except ValueError as error:
            raise CorruptFileError(
                f"{self._snapshot_path} is not a snapshot of the registry: {error}"
            ) from error
        return Store.restore(snapshot, unix_ms, now_ms, log.warning)

    def _replay(self, store: Store) -> None:
        """Apply the changes of the journal that the snapshot does not contain."""
        for record_number, value in enumerate(self.records.open(), 1):
            try:
                change = decode_instance(value)
            except ValueError as error:
                raise CorruptFileError(
                    f"{self.records.path}: record {record_number} is not a change: {error}"
                ) from error
            # Older changes remain if the process crashed after writing the snapshot and before clearing the
            # journal.
            if change.generation > store.generation:
                store.apply(change)

    def append(self, changes: Sequence[Instance]) -> None:
        """Write changes and sync them to disk, all or none; raises `StorageError` if that fails."""
        try:
            self.records.append(encode_instance(change) for change in changes)
        except WriteFailedError as error:
            raise StorageError(f"the change cannot be stored: {error}") from error

    def needs_snapshot(self) -> bool:
        """Whether the journal is long enough to be replaced by a snapshot."""
        return self.records.record_count >= MAX_JOURNAL_RECORDS

    def write_snapshot(self, store: Store) -> None:
        """Write a snapshot of the complete store, then clear the journal.

        After a crash between the two steps the journal holds changes that the snapshot already contains. If
        the snapshot cannot be written, a warning is logged and the journal grows until a later call succeeds.
        """
        try:
            replace_single_record(self._snapshot_path, encode_snapshot(store.snapshot()))
        except OSError as error:
            log.warning("no snapshot can be written to %s: %s", self._snapshot_path, error.strerror)
            return
        self.records.clear()

    def close(self) -> None:
        """Close the journal file; a second call has no effect."""
        self.records.close()
