"""The registry reads the files of its first release and writes the same bytes.

The bytes were recorded at revision a1df16a, whose registry was still a separate package.
"""

from contextlib import closing
from dataclasses import replace
from pathlib import Path

import pytest

from thistletrail.registry.instance import Instance, Lifecycle, parse_instance
from thistletrail.registry.journal import Journal
from thistletrail.registry.store import Store

UNIX_MS = 1_790_000_000_000
FIRST_GENERATION = UNIX_MS * 1024

EMPTY_SNAPSHOT = b'RstR\x00\x00\x00.\xa45\x1cf{"generation":1832960000000000,"instances":[]}'
REGISTER_RECORD = (
    b'RstR\x00\x00\x00\xbf\x83\x01\x98\xcc{"id":"s-1","address":"127.0.0.1:6379","zone":"east",'
    b'"machine_type":"m1","cell":3,"weight":2.5,"lifecycle":"SERVING","started_ms":1832960000000,'
    b'"lease_ms":10000,"generation":1832960000000001}'
)
REGISTER_WITH_DEFAULTS_RECORD = (
    b'RstR\x00\x00\x00\xb3b\xbb\xb5\xb7{"id":"s-2","address":"127.0.0.1:6380","zone":"west",'
    b'"machine_type":"m2","cell":0,"weight":1.0,"lifecycle":"SERVING","started_ms":0,'
    b'"lease_ms":10000,"generation":1832960000000002}'
)
DRAIN_RECORD = (
    b'RstR\x00\x00\x00\xc0\xcf\x98\xb4\xab{"id":"s-1","address":"127.0.0.1:6379","zone":"east",'
    b'"machine_type":"m1","cell":3,"weight":2.5,"lifecycle":"DRAINING","started_ms":1832960000000,'
    b'"lease_ms":10000,"generation":1832960000000003}'
)
DEREGISTER_RECORD = (
    b'RstR\x00\x00\x00\xb3\x14Y\xa7F{"id":"s-2","address":"127.0.0.1:6380","zone":"west",'
    b'"machine_type":"m2","cell":0,"weight":1.0,"lifecycle":"DELETED","started_ms":0,'
    b'"lease_ms":10000,"generation":1832960000000004}'
)
ADDRESS_REUSE_RECORDS = (
    b'RstR\x00\x00\x00\xbf\x86\xb3\xae\x1c{"id":"s-1","address":"127.0.0.1:6379","zone":"east",'
    b'"machine_type":"m1","cell":3,"weight":2.5,"lifecycle":"DELETED","started_ms":1832960000000,'
    b'"lease_ms":10000,"generation":1832960000000005}'
    b'RstR\x00\x00\x00\xb3M\xccl\xc9{"id":"s-3","address":"127.0.0.1:6379","zone":"east",'
    b'"machine_type":"m1","cell":0,"weight":1.0,"lifecycle":"SERVING","started_ms":0,'
    b'"lease_ms":10000,"generation":1832960000000006}'
)
FINAL_SNAPSHOT = (
    b'RstR\x00\x00\x00\xe1_\xcer\xd7{"generation":1832960000000006,"instances":[{"id":"s-3",'
    b'"address":"127.0.0.1:6379","zone":"east","machine_type":"m1","cell":0,"weight":1.0,'
    b'"lifecycle":"SERVING","started_ms":0,"lease_ms":10000,"generation":1832960000000006}]}'
)
ALL_RECORDS = [
    REGISTER_RECORD,
    REGISTER_WITH_DEFAULTS_RECORD,
    DRAIN_RECORD,
    DEREGISTER_RECORD,
    ADDRESS_REUSE_RECORDS,
]

FULL_INSTANCE = Instance(
    id="s-1",
    address="127.0.0.1:6379",
    zone="east",
    machine_type="m1",
    cell=3,
    weight=2.5,
    lifecycle=Lifecycle.SERVING,
    started_ms=1_832_960_000_000,
    lease_ms=10_000,
)
INSTANCE_WITH_DEFAULTS = parse_instance(
    {"id": "s-2", "address": "127.0.0.1:6380", "zone": "west", "machine_type": "m2"}
)
INSTANCE_AT_REUSED_ADDRESS = parse_instance(
    {"id": "s-3", "address": "127.0.0.1:6379", "zone": "east", "machine_type": "m1"}
)


def apply_step(store: Store, step: int) -> None:
    """Make the change that the element of ALL_RECORDS at index `step` records."""
    if step == 0:
        store.register(FULL_INSTANCE, 0)
    elif step == 1:
        store.register(INSTANCE_WITH_DEFAULTS, 0)
    elif step == 2:
        store.update("s-1", store.get("s-1").generation, Lifecycle.DRAINING, 0)
    elif step == 3:
        store.deregister("s-2")
    else:
        store.register(INSTANCE_AT_REUSED_ADDRESS, 0)


def write_directory(directory: Path, records: bytes, snapshot: bytes = EMPTY_SNAPSHOT) -> None:
    (directory / "snapshot").write_bytes(snapshot)
    (directory / "log").write_bytes(records)


def test_a_new_history_writes_the_recorded_files(tmp_path: Path) -> None:
    with closing(Journal(tmp_path)) as journal:
        journal.open(UNIX_MS, 0)
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == {
        "snapshot": EMPTY_SNAPSHOT,
        "log": b"",
        "filling": b"",
    }


@pytest.mark.parametrize("step", range(len(ALL_RECORDS)))
def test_each_change_appends_the_recorded_bytes(tmp_path: Path, step: int) -> None:
    write_directory(tmp_path, b"".join(ALL_RECORDS[:step]))
    with closing(Journal(tmp_path)) as journal:
        apply_step(journal.open(UNIX_MS, 0), step)
    assert (tmp_path / "log").read_bytes() == b"".join(ALL_RECORDS[: step + 1])


def test_the_recorded_journal_restores_the_instances(tmp_path: Path) -> None:
    write_directory(tmp_path, b"".join(ALL_RECORDS[:3]))
    with closing(Journal(tmp_path)) as journal:
        store = journal.open(UNIX_MS + 1, 0)
    assert store.generation == FIRST_GENERATION + 3
    assert store.instances == {
        "s-1": replace(FULL_INSTANCE, lifecycle=Lifecycle.DRAINING, generation=FIRST_GENERATION + 3),
        "s-2": replace(INSTANCE_WITH_DEFAULTS, generation=FIRST_GENERATION + 2),
    }


def test_a_snapshot_has_the_recorded_bytes_and_clears_the_journal(tmp_path: Path) -> None:
    write_directory(tmp_path, b"".join(ALL_RECORDS))
    with closing(Journal(tmp_path)) as journal:
        journal.write_snapshot(journal.open(UNIX_MS, 0))
    assert (tmp_path / "snapshot").read_bytes() == FINAL_SNAPSHOT
    assert (tmp_path / "log").read_bytes() == b""


def test_the_recorded_snapshot_restores_the_instances(tmp_path: Path) -> None:
    write_directory(tmp_path, b"", FINAL_SNAPSHOT)
    with closing(Journal(tmp_path)) as journal:
        store = journal.open(UNIX_MS + 1, 0)
    assert store.generation == FIRST_GENERATION + 6
    assert store.instances == {"s-3": replace(INSTANCE_AT_REUSED_ADDRESS, generation=FIRST_GENERATION + 6)}


def test_an_incomplete_last_record_is_removed(tmp_path: Path) -> None:
    write_directory(tmp_path, REGISTER_RECORD + DRAIN_RECORD[:40])
    with closing(Journal(tmp_path)) as journal:
        store = journal.open(UNIX_MS, 0)
    assert store.generation == FIRST_GENERATION + 1
    assert (tmp_path / "log").read_bytes() == REGISTER_RECORD
