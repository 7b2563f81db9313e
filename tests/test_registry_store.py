"""The registry's store and journal: generations, leases, history, and recovery after a crash."""

import errno
import json
import os
import shutil
from dataclasses import asdict, replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from thistletrail.registry import store as store_module
from thistletrail.registry.errors import ConflictError, RejectedError, StorageError, UnknownInstanceError
from thistletrail.registry.instance import Instance, Lifecycle, parse_instance
from thistletrail.registry.journal import Journal
from thistletrail.registry.limits import MAX_GENERATION, MAX_HISTORY
from thistletrail.registry.store import GRACE_PERIOD_MS, MASS_EXPIRY_WINDOW_MS, Store
from thistletrail.registry.watch_update import encode_update
from thistletrail.write_ahead_log.record_file import CorruptFileError, decode_records

UNIX_MS = 1_790_000_000_000


def make_instance(name: str = "s-1", port: int = 0, **changes: object) -> Instance:
    values = {
        "id": name,
        "address": f"127.0.0.1:{port or 6000 + int(name.split('-')[1])}",
        "zone": "east",
        "machine_type": "m1",
        "started_ms": 5,
        "lease_ms": 10_000,
    }
    return replace(parse_instance(values), **changes)


def store_with_instances(count: int, now_ms: int = 0) -> tuple[Store, list[str]]:
    warnings: list[str] = []
    store = Store(UNIX_MS, now_ms, warnings.append)
    for number in range(count):
        store.register(make_instance(f"s-{number}"), now_ms)
    return store, warnings


def expire_each_second(store: Store, from_ms: int, until_ms: int, *renewing_ids: str) -> list[str]:
    """Check the leases each second while these instances renew theirs; return the ids of the deleted ones."""
    deleted_ids = []
    for now_ms in range(from_ms, until_ms, 1000):
        for instance_id in renewing_ids:
            store.renew(instance_id, now_ms)
        deleted_ids += [change.id for change in store.expire_leases(now_ms)]
    return deleted_ids


# --- generations and reads ---


def test_each_change_has_the_next_generation_and_a_reader_gets_the_changes_it_lacks() -> None:
    store, _ = store_with_instances(2)
    start_generation = store.generation
    store.update("s-0", store.get("s-0").generation, Lifecycle.DRAINING, 0)
    store.deregister("s-1")
    update = store.update_after(start_generation)
    assert [(entry.id, entry.lifecycle) for entry in update.instances] == [
        ("s-0", Lifecycle.DRAINING),
        ("s-1", Lifecycle.DELETED),
    ]
    assert not update.is_reset and update.generation == start_generation + 2
    assert store.update_after(update.generation).instances == ()
    assert json.loads(encode_update(store.full_update()))["instances"] == [
        {
            "instanceId": "s-0",
            "hostPort": "127.0.0.1:6000",
            "zone": "east",
            "machineType": "m1",
            "cell": 0,
            "lifecycle": "DRAINING",
            "weight": 1.0,
            "startedAtMs": 5,
        }
    ]


def test_a_reader_at_a_generation_outside_the_history_gets_the_complete_list() -> None:
    store, _ = store_with_instances(3)
    for generation in (0, store.floor - 1, store.generation + 1, 41):
        update = store.update_after(generation)
        assert update.is_reset and len(update.instances) == 3
    for _ in range(MAX_HISTORY):
        store.update(
            "s-0",
            store.get("s-0").generation,
            Lifecycle.DRAINING if store.get("s-0").lifecycle == Lifecycle.SERVING else Lifecycle.SERVING,
            0,
        )
    # The oldest retained change follows this generation.
    assert store.update_after(store.generation - MAX_HISTORY - 1).is_reset
    assert not store.update_after(store.generation - MAX_HISTORY).is_reset
    assert len(store.history) == MAX_HISTORY


def test_a_later_history_has_higher_generations_that_json_represents_exactly() -> None:
    store = Store(UNIX_MS, 0)
    for _ in range(1000):
        store.register(make_instance(), 0)
        store.deregister("s-1")
    assert Store(UNIX_MS + 2, 0).generation > store.generation  # 2 ms later, after the loss of all data
    assert store.generation < MAX_GENERATION == 2**53 - 1
    exhausted_store = Store(1 << 62, 0)
    with pytest.raises(RejectedError, match="used up"):
        for _ in range(3):
            exhausted_store.register(make_instance(), 0)
            exhausted_store.deregister("s-1")


def test_a_deletion_and_a_new_registration_between_two_reads_are_merged_into_the_last_state() -> None:
    store, _ = store_with_instances(1)
    read_generation = store.generation
    store.deregister("s-0")
    store.register(make_instance("s-0", started_ms=9), 0)
    changes = store.update_after(read_generation).instances
    assert [(entry.lifecycle, entry.started_ms) for entry in changes] == [(Lifecycle.SERVING, 9)]


# --- registration ---


def test_an_id_moves_to_another_address_and_another_id_takes_over_an_address() -> None:
    store, _ = store_with_instances(1)
    read_generation = store.generation
    store.register(make_instance("s-0", 7000), 0)
    store.register(make_instance("s-9", 7000), 0)
    assert [(entry.id, entry.lifecycle) for entry in store.update_after(read_generation).instances] == [
        ("s-0", Lifecycle.DELETED),
        ("s-9", Lifecycle.SERVING),
    ]
    store.register(make_instance("s-0"), 0)  # its old address is free again
    assert set(store.instances) == {"s-0", "s-9"}


def test_a_repeated_registration_changes_nothing_and_retains_a_drain() -> None:
    store, _ = store_with_instances(1)
    store.update("s-0", store.get("s-0").generation, Lifecycle.DRAINING, 0)
    generation_before = store.generation
    assert store.register(make_instance("s-0"), 5000).lifecycle == Lifecycle.DRAINING
    assert store.generation == generation_before and store.lease_end_ms["s-0"] == 15_000
    # A different start time means a new process, which serves.
    assert store.register(make_instance("s-0", started_ms=6), 0).lifecycle == Lifecycle.SERVING


def test_an_update_with_an_outdated_generation_is_a_conflict() -> None:
    store, _ = store_with_instances(1)
    outdated_generation = store.get("s-0").generation
    store.update("s-0", outdated_generation, Lifecycle.DRAINING, 0)
    with pytest.raises(ConflictError, match=str(outdated_generation)):
        store.update("s-0", outdated_generation, Lifecycle.SERVING, 0)
    with pytest.raises(UnknownInstanceError):
        store.update("s-7", outdated_generation, Lifecycle.SERVING, 0)
    with pytest.raises(RejectedError, match="lifecycle"):
        store.update("s-0", store.generation, "GONE", 0)


@pytest.mark.parametrize(
    "key, value",
    [
        ("id", ""),
        ("id", "a b"),
        ("id", "x" * 65),
        ("id", 7),
        ("zone", "\n"),
        ("address", "localhost:1"),
        ("address", "127.0.0.1:0"),
        ("address", "127.0.0.256:1"),
        ("address", "127.0.0.1:65536"),
        ("cell", -1),
        ("cell", True),
        ("weight", 0),
        ("weight", float("nan")),
        ("weight", float("inf")),
        ("lease_ms", 10),
        ("lease_ms", 1e4),
        ("started_ms", -1),
        ("colour", "red"),
        ("generation", 4),
        ("lifecycle", "SERVING"),
    ],
)
def test_the_rejection_of_an_invalid_registration_names_the_key(key: str, value: object) -> None:
    values = {
        field: default
        for field, default in asdict(make_instance()).items()
        if field not in ("lifecycle", "generation")
    }
    assert parse_instance(values) == make_instance()
    with pytest.raises(RejectedError, match=key):
        parse_instance({**values, key: value})
    if key in ("id", "zone", "address"):
        del values[key]
        with pytest.raises(RejectedError, match=f"'{key}' is missing"):
            parse_instance(values)


def test_the_number_of_instances_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_module, "MAX_INSTANCES", 2)
    store, _ = store_with_instances(2)
    with pytest.raises(RejectedError, match="2 instances already"):
        store.register(make_instance("s-5"), 0)
    store.register(make_instance("s-1", started_ms=8), 0)  # a known id takes no additional place


# --- leases ---


def test_one_expired_lease_deletes_one_instance_and_renewals_retain_the_others() -> None:
    store, warnings = store_with_instances(10)
    renewing_ids = [f"s-{number}" for number in range(1, 10)]
    assert expire_each_second(store, 0, 10_000 + MASS_EXPIRY_WINDOW_MS, *renewing_ids) == []
    assert expire_each_second(store, 10_000 + MASS_EXPIRY_WINDOW_MS, 22_000, *renewing_ids) == ["s-0"]
    assert set(store.instances) == set(renewing_ids) and warnings == []


def test_a_mass_expiry_is_retained_for_the_grace_period_with_a_warning() -> None:
    store, warnings = store_with_instances(10)
    renewing_ids = ["s-0", "s-1"]
    assert expire_each_second(store, 0, 10_000 + GRACE_PERIOD_MS, *renewing_ids) == []
    assert len(warnings) == 1 and "8 of 10 leases" in warnings[0]
    recovered_ids = [f"s-{number}" for number in range(8)]  # six more renew within the grace period
    store, warnings = store_with_instances(10)
    assert expire_each_second(store, 0, 25_000, *renewing_ids) == []
    assert sorted(expire_each_second(store, 25_000, 60_000, *recovered_ids)) == ["s-8", "s-9"]
    assert len(warnings) == 1


def test_instances_without_renewals_are_deleted_after_the_grace_period() -> None:
    store, _ = store_with_instances(10)
    deleted = expire_each_second(store, 0, 80_000, "s-0")
    assert sorted(deleted) == [f"s-{number}" for number in range(1, 10)]


def test_a_registry_that_paused_retains_every_lease_for_the_grace_period() -> None:
    store, warnings = store_with_instances(10)
    assert expire_each_second(store, 0, 5_000) == []
    assert store.expire_leases(35_000) == []  # every lease expired during the pause
    assert len(warnings) == 1 and "paused for 31 s" in warnings[0]
    all_ids = [f"s-{number}" for number in range(10)]
    assert expire_each_second(store, 36_000, 90_000, *all_ids) == []
    assert len(store.instances) == 10


def test_a_drain_and_a_deregistration_take_effect_at_once_during_a_grace_period() -> None:
    store, _ = store_with_instances(10)
    expire_each_second(store, 0, 15_000)
    store.update("s-3", store.get("s-3").generation, Lifecycle.DRAINING, 15_000)
    store.deregister("s-4")
    assert store.get("s-3").lifecycle == Lifecycle.DRAINING and "s-4" not in store.instances


# --- the journal ---


def open_journal(directory: Path, unix_ms: int = UNIX_MS) -> tuple[Journal, Store]:
    journal = Journal(directory)
    return journal, journal.open(unix_ms, 0)


def test_instances_and_generations_survive_a_restart(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path)
    for number in range(3):
        store.register(make_instance(f"s-{number}"), 0)
    store.update("s-1", store.get("s-1").generation, Lifecycle.DRAINING, 0)
    store.deregister("s-2")
    journal.close()
    journal, restored = open_journal(tmp_path, UNIX_MS + 1_000_000)
    assert restored.instances == store.instances and restored.generation == store.generation
    previous_generation = store.generation - 1
    assert (
        restored.update_after(previous_generation).instances
        == store.update_after(previous_generation).instances
    )
    start_generation = (UNIX_MS + 1_000_000) * store_module.GENERATIONS_PER_MS
    assert restored.register(make_instance("s-7"), 0).generation == start_generation + 1
    assert restored.register(make_instance("s-8", 8), 0).generation == start_generation + 2
    journal.close()


def test_a_journal_truncated_at_any_byte_is_restored_up_to_its_last_complete_record(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path)
    states = [(store.generation, dict(store.instances))]
    record_ends = [0]
    for number in range(4):
        store.register(make_instance(f"s-{number % 3}", started_ms=number), 0)
        states.append((store.generation, dict(store.instances)))
        record_ends.append(journal.records.size_bytes)
    journal.close()
    complete = (tmp_path / "log").read_bytes()
    for length in range(record_ends[2], len(complete) + 1):
        (tmp_path / "log").write_bytes(complete[:length])
        journal, restored = open_journal(tmp_path)
        complete_records = sum(end <= length for end in record_ends) - 1
        assert (restored.generation, restored.instances) == states[complete_records]
        registered = restored.register(make_instance("s-8"), 0)
        assert registered.generation == states[complete_records][0] + 1
        journal.close()
        assert len(decode_records((tmp_path / "log").read_bytes(), "log").values) == complete_records + 1


def test_damage_before_the_last_record_prevents_the_start_with_a_one_line_error(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path)
    for number in range(4):
        store.register(make_instance(f"s-{number}"), 0)
    journal.close()
    complete = bytearray((tmp_path / "log").read_bytes())
    for offset in range(0, len(complete) // 2, 7):
        damaged = bytearray(complete)
        damaged[offset] ^= 0x40
        (tmp_path / "log").write_bytes(damaged)
        with pytest.raises(CorruptFileError, match="damaged at byte") as error:
            open_journal(tmp_path)
        assert "\n" not in str(error.value)
    (tmp_path / "log").write_bytes(complete)
    (tmp_path / "snapshot").write_bytes((tmp_path / "snapshot").read_bytes()[:-1])
    with pytest.raises(CorruptFileError, match="snapshot is damaged"):
        open_journal(tmp_path)
    (tmp_path / "snapshot").unlink()
    with pytest.raises(CorruptFileError, match="snapshot is missing"):
        open_journal(tmp_path)


def test_a_full_disk_rejects_writes_and_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, store = open_journal(tmp_path)
    store.register(make_instance("s-0"), 0)
    generation_before, size_before = store.generation, (tmp_path / "log").stat().st_size
    pwrite = os.pwrite

    def pwrite_to_full_disk(descriptor: int, data: bytes, offset: int) -> int:
        pwrite(descriptor, data[:5], offset)
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "pwrite", pwrite_to_full_disk)
    with pytest.raises(StorageError, match="No space left"):
        store.register(make_instance("s-1"), 0)
    assert store.generation == generation_before and (tmp_path / "log").stat().st_size == size_before
    assert [entry.id for entry in store.full_update().instances] == ["s-0"]
    monkeypatch.setattr(os, "pwrite", pwrite)
    assert store.register(make_instance("s-1"), 0).generation == generation_before + 1
    journal.close()


def test_a_snapshot_replaces_the_journal_and_a_crash_before_the_journal_is_cleared_is_harmless(
    tmp_path: Path,
) -> None:
    journal, store = open_journal(tmp_path)
    for number in range(3):
        store.register(make_instance(f"s-{number}"), 0)
    journal_bytes = (tmp_path / "log").read_bytes()
    journal.write_snapshot(store)
    assert (tmp_path / "log").stat().st_size == 0 and journal.records.record_count == 0
    journal.close()
    (tmp_path / "log").write_bytes(journal_bytes)  # as if a crash had prevented clearing the journal
    (tmp_path / "snapshot.new").write_bytes(b"incomplete")
    journal, restored = open_journal(tmp_path)
    assert restored.instances == store.instances and restored.generation == store.generation
    journal.close()


def test_a_registry_restored_from_an_older_copy_repeats_no_generation(tmp_path: Path) -> None:
    # Guards against a reader that misses changes, as its generation now stands for others.
    journal, store = open_journal(tmp_path / "data")
    store.register(make_instance("s-1", 1), 0)
    journal.close()
    shutil.copytree(tmp_path / "data", tmp_path / "copy")
    journal, store = open_journal(tmp_path / "data", UNIX_MS + 1000)
    store.register(make_instance("s-2", 2), 0)
    reached = store.generation
    journal.close()
    journal, store = open_journal(tmp_path / "copy", UNIX_MS + 2000)
    assert store.update_after(reached).is_reset
    store.register(make_instance("s-3", 3), 0)
    update = store.update_after(reached)
    assert update.is_reset and [instance.id for instance in update.instances] == ["s-1", "s-3"]
    assert store.generation > reached
    journal.close()


def test_a_restart_alone_changes_no_generation(tmp_path: Path) -> None:
    # Guards against a complete list for every reader after each restart.
    journal, store = open_journal(tmp_path)
    store.register(make_instance("s-1", 1), 0)
    reached = store.generation
    journal.close()
    journal, store = open_journal(tmp_path, UNIX_MS + 1000)
    assert store.update_after(reached).instances == ()
    store.register(make_instance("s-2", 2), 0)
    update = store.update_after(reached)
    assert not update.is_reset and [instance.id for instance in update.instances] == ["s-2"]
    journal.close()


def test_a_registry_that_lost_its_directory_repeats_no_generation(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path / "a")
    store.register(make_instance("s-0"), 0)
    journal.close()
    journal, new_store = open_journal(tmp_path / "b", UNIX_MS + 1)
    assert new_store.generation > store.generation
    assert new_store.update_after(store.generation).is_reset
    journal.close()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["register", "drain", "leave", "renew", "tick", "crash", "cut"]),
        st.integers(0, 5),
        st.integers(0, 12_000),
    ),
    max_size=40,
)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=40)
@given(steps=STEPS, read_steps=st.lists(st.integers(0, 40), max_size=6))
def test_a_resuming_reader_has_the_stores_instances_after_writes_expiries_and_crashes(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, int, int]], read_steps: list[int]
) -> None:
    directory = tmp_path_factory.mktemp("list")
    journal, store = open_journal(directory)
    now_ms = 0
    reader_instances = {}
    reader_generation = 0
    last_generation = store.generation
    for index, (action, number, elapsed_ms) in enumerate(steps):
        instance_id = f"s-{number}"
        if action == "register":
            store.register(make_instance(instance_id, started_ms=index), now_ms)
        elif action == "tick":
            now_ms += elapsed_ms
            store.expire_leases(now_ms)
        elif action in ("crash", "cut"):
            journal.close()
            if action == "cut":  # the crash truncated a record whose write had not been answered
                with (directory / "log").open("ab") as file:
                    file.write(b"RstR\0\0")
            journal = Journal(directory)
            generation, instances = store.generation, store.instances
            store = journal.open(UNIX_MS + index, now_ms)
            assert (store.generation, store.instances) == (generation, instances)
        elif instance_id in store.instances:
            if action == "drain":
                store.update(instance_id, store.get(instance_id).generation, Lifecycle.DRAINING, now_ms)
            else:
                store.deregister(instance_id) if action == "leave" else store.renew(instance_id, now_ms)
        assert store.generation >= last_generation
        last_generation = store.generation
        if index in read_steps or index == len(steps) - 1:  # the reader misses the updates in between
            update = store.update_after(reader_generation)
            reader_instances = {} if update.is_reset else reader_instances
            for entry in update.instances:
                reader_instances[entry.id] = entry
                if entry.lifecycle == Lifecycle.DELETED:
                    del reader_instances[entry.id]
            reader_generation = update.generation
            assert reader_instances == store.instances
    journal.close()
