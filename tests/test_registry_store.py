"""The registry's store and journal: generations, leases, history, and what a crash leaves."""

import errno
import json
import os
from dataclasses import asdict, replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as options
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


def instance(name: str = "s-1", port: int = 0, **changes: object) -> Instance:
    values = {
        "id": name,
        "address": f"127.0.0.1:{port or 6000 + int(name.split('-')[1])}",
        "zone": "east",
        "machine_type": "m1",
        "started_ms": 5,
        "lease_ms": 10_000,
    }
    return replace(parse_instance(values), **changes)


def filled_store(count: int, now_ms: int = 0) -> tuple[Store, list[str]]:
    warnings: list[str] = []
    store = Store(UNIX_MS, now_ms, warnings.append)
    for number in range(count):
        store.register(instance(f"s-{number}"), now_ms)
    return store, warnings


def expire_each_second(store: Store, from_ms: int, until_ms: int, *renewing: str) -> list[str]:
    """Check the leases each second, with these renewing; return the ids of the deleted instances."""
    deleted = []
    for now in range(from_ms, until_ms, 1000):
        for name in renewing:
            store.renew(name, now)
        deleted += [change.id for change in store.expire_leases(now)]
    return deleted


# --- generations and reads ---


def test_each_change_has_the_next_generation_and_a_reader_gets_what_it_lacks() -> None:
    store, _ = filled_store(2)
    start = store.generation
    store.update("s-0", store.get("s-0").generation, Lifecycle.DRAINING, 0)
    store.deregister("s-1")
    update = store.update_after(start)
    assert [(entry.id, entry.lifecycle) for entry in update.instances] == [
        ("s-0", Lifecycle.DRAINING),
        ("s-1", Lifecycle.DELETED),
    ]
    assert not update.is_reset and update.generation == start + 2
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


def test_a_reader_from_before_from_the_future_or_of_another_history_gets_the_complete_list() -> None:
    store, _ = filled_store(3)
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
    # The history has just been cut there.
    assert store.update_after(store.generation - MAX_HISTORY - 1).is_reset
    assert not store.update_after(store.generation - MAX_HISTORY).is_reset
    assert len(store.history) == MAX_HISTORY


def test_generations_of_a_later_history_are_above_and_fit_a_json_number() -> None:
    first = Store(UNIX_MS, 0)
    for _ in range(1000):
        first.register(instance(), 0)
        first.deregister("s-1")
    assert Store(UNIX_MS + 2, 0).generation > first.generation  # 2 ms later, with all data lost
    assert first.generation < MAX_GENERATION == 2**53 - 1
    last = Store(1 << 62, 0)
    with pytest.raises(RejectedError, match="used up"):
        for _ in range(3):
            last.register(instance(), 0)
            last.deregister("s-1")


def test_a_delete_and_a_new_registration_between_two_reads_show_as_the_last() -> None:
    store, _ = filled_store(1)
    seen = store.generation
    store.deregister("s-0")
    store.register(instance("s-0", started_ms=9), 0)
    changes = store.update_after(seen).instances
    assert [(entry.lifecycle, entry.started_ms) for entry in changes] == [(Lifecycle.SERVING, 9)]


# --- registration ---


def test_an_id_at_another_address_and_an_address_under_another_id() -> None:
    store, _ = filled_store(1)
    seen = store.generation
    store.register(instance("s-0", 7000), 0)
    store.register(instance("s-9", 7000), 0)
    assert [(entry.id, entry.lifecycle) for entry in store.update_after(seen).instances] == [
        ("s-0", Lifecycle.DELETED),
        ("s-9", Lifecycle.SERVING),
    ]
    store.register(instance("s-0"), 0)  # its old address is free again
    assert set(store.instances) == {"s-0", "s-9"}


def test_the_same_registration_again_changes_nothing_and_retains_a_drain() -> None:
    store, _ = filled_store(1)
    store.update("s-0", store.get("s-0").generation, Lifecycle.DRAINING, 0)
    before = store.generation
    assert store.register(instance("s-0"), 5000).lifecycle == Lifecycle.DRAINING
    assert store.generation == before and store.lease_end_ms["s-0"] == 15_000
    # A new process serves.
    assert store.register(instance("s-0", started_ms=6), 0).lifecycle == Lifecycle.SERVING


def test_an_update_by_an_older_generation_is_a_conflict() -> None:
    store, _ = filled_store(1)
    known = store.get("s-0").generation
    store.update("s-0", known, Lifecycle.DRAINING, 0)
    with pytest.raises(ConflictError, match=str(known)):
        store.update("s-0", known, Lifecycle.SERVING, 0)
    with pytest.raises(UnknownInstanceError):
        store.update("s-7", known, Lifecycle.SERVING, 0)
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
def test_an_invalid_registration_names_the_key(key: str, value: object) -> None:
    values = {
        name: found for name, found in asdict(instance()).items() if name not in ("lifecycle", "generation")
    }
    assert parse_instance(values) == instance()
    with pytest.raises(RejectedError, match=key):
        parse_instance({**values, key: value})
    if key in ("id", "zone", "address"):
        del values[key]
        with pytest.raises(RejectedError, match=f"'{key}' is missing"):
            parse_instance(values)


def test_the_number_of_instances_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_module, "MAX_INSTANCES", 2)
    store, _ = filled_store(2)
    with pytest.raises(RejectedError, match="2 instances already"):
        store.register(instance("s-5"), 0)
    store.register(instance("s-1", started_ms=8), 0)  # one that is known takes no further place


# --- leases ---


def test_one_expired_lease_deletes_one_instance_and_renewals_retain_the_others() -> None:
    store, warnings = filled_store(10)
    others = [f"s-{number}" for number in range(1, 10)]
    assert expire_each_second(store, 0, 10_000 + MASS_EXPIRY_WINDOW_MS, *others) == []
    assert expire_each_second(store, 10_000 + MASS_EXPIRY_WINDOW_MS, 22_000, *others) == ["s-0"]
    assert set(store.instances) == set(others) and warnings == []


def test_a_mass_expiry_is_retained_for_the_grace_period_with_a_warning() -> None:
    store, warnings = filled_store(10)
    renewing = ["s-0", "s-1"]
    assert expire_each_second(store, 0, 10_000 + GRACE_PERIOD_MS, *renewing) == []
    assert len(warnings) == 1 and "8 of 10 leases" in warnings[0]
    back = [f"s-{number}" for number in range(8)]  # six renew again in time
    store, warnings = filled_store(10)
    assert expire_each_second(store, 0, 25_000, *renewing) == []
    assert sorted(expire_each_second(store, 25_000, 60_000, *back)) == ["s-8", "s-9"]
    assert len(warnings) == 1


def test_instances_without_renewals_are_deleted_after_the_grace_period() -> None:
    store, _ = filled_store(10)
    deleted = expire_each_second(store, 0, 80_000, "s-0")
    assert sorted(deleted) == [f"s-{number}" for number in range(1, 10)]


def test_a_registry_that_paused_retains_every_lease_for_the_grace_period() -> None:
    store, warnings = filled_store(10)
    assert expire_each_second(store, 0, 5_000) == []
    assert store.expire_leases(35_000) == []  # a pause of 30 s, and it wakes with every lease lapsed
    assert len(warnings) == 1 and "paused for 31 s" in warnings[0]
    everyone = [f"s-{number}" for number in range(10)]
    assert expire_each_second(store, 36_000, 90_000, *everyone) == []
    assert len(store.instances) == 10


def test_a_drain_and_a_deregistration_apply_at_once_in_a_grace_period() -> None:
    store, _ = filled_store(10)
    expire_each_second(store, 0, 15_000)
    store.update("s-3", store.get("s-3").generation, Lifecycle.DRAINING, 15_000)
    store.deregister("s-4")
    assert store.get("s-3").lifecycle == Lifecycle.DRAINING and "s-4" not in store.instances


# --- the journal ---


def open_journal(folder: Path, unix_ms: int = UNIX_MS) -> tuple[Journal, Store]:
    journal = Journal(folder)
    return journal, journal.open(unix_ms, 0)


def test_the_instances_outlive_the_process(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path)
    for number in range(3):
        store.register(instance(f"s-{number}"), 0)
    store.update("s-1", store.get("s-1").generation, Lifecycle.DRAINING, 0)
    store.deregister("s-2")
    journal.close()
    journal, again = open_journal(tmp_path, UNIX_MS + 1_000_000)
    assert again.instances == store.instances and again.generation == store.generation
    previous = store.generation - 1
    assert again.update_after(previous).instances == store.update_after(previous).instances
    assert again.register(instance("s-7"), 0).generation == store.generation + 1
    journal.close()


def test_a_journal_cut_at_every_byte_of_its_last_records_is_read_up_to_there(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path)
    states = [(store.generation, dict(store.instances))]
    ends = [0]
    for number in range(4):
        store.register(instance(f"s-{number % 3}", started_ms=number), 0)
        states.append((store.generation, dict(store.instances)))
        ends.append(journal.records.size_bytes)
    journal.close()
    complete = (tmp_path / "log").read_bytes()
    for cut in range(ends[2], len(complete) + 1):
        (tmp_path / "log").write_bytes(complete[:cut])
        journal, again = open_journal(tmp_path)
        known = sum(end <= cut for end in ends) - 1
        assert (again.generation, again.instances) == states[known]
        fresh = again.register(instance("s-8"), 0)
        assert fresh.generation == states[known][0] + 1
        journal.close()
        assert len(decode_records((tmp_path / "log").read_bytes(), "log").values) == known + 1


def test_damage_before_the_last_record_stops_the_start_with_one_line(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path)
    for number in range(4):
        store.register(instance(f"s-{number}"), 0)
    journal.close()
    complete = bytearray((tmp_path / "log").read_bytes())
    for at in range(0, len(complete) // 2, 7):
        broken = bytearray(complete)
        broken[at] ^= 0x40
        (tmp_path / "log").write_bytes(broken)
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
    store.register(instance("s-0"), 0)
    before, size = store.generation, (tmp_path / "log").stat().st_size
    write = os.pwrite

    def full(file: int, data: bytes, at: int) -> int:
        write(file, data[:5], at)
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "pwrite", full)
    with pytest.raises(StorageError, match="No space left"):
        store.register(instance("s-1"), 0)
    assert store.generation == before and (tmp_path / "log").stat().st_size == size
    assert [entry.id for entry in store.full_update().instances] == ["s-0"]
    monkeypatch.setattr(os, "pwrite", write)
    assert store.register(instance("s-1"), 0).generation == before + 1
    journal.close()


def test_a_snapshot_replaces_the_journal_and_a_crash_between_the_two_is_survived(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path)
    for number in range(3):
        store.register(instance(f"s-{number}"), 0)
    old = (tmp_path / "log").read_bytes()
    journal.write_snapshot(store)
    assert (tmp_path / "log").stat().st_size == 0 and journal.records.record_count == 0
    journal.close()
    (tmp_path / "log").write_bytes(old)  # as though the journal had not been cleared
    (tmp_path / "snapshot.new").write_bytes(b"half of one")
    journal, again = open_journal(tmp_path)
    assert again.instances == store.instances and again.generation == store.generation
    journal.close()


def test_with_its_directory_lost_the_registry_repeats_no_generation(tmp_path: Path) -> None:
    journal, store = open_journal(tmp_path / "a")
    store.register(instance("s-0"), 0)
    journal.close()
    journal, fresh = open_journal(tmp_path / "b", UNIX_MS + 1)
    assert fresh.generation > store.generation and fresh.update_after(store.generation).is_reset
    journal.close()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["register", "drain", "leave", "renew", "tick", "crash", "cut"]),
        st.integers(0, 5),
        st.integers(0, 12_000),
    ),
    max_size=40,
)


@options(derandomize=True, deadline=None, max_examples=40)
@given(steps=STEPS, reads=st.lists(st.integers(0, 40), max_size=6))
def test_readers_that_resume_end_with_the_stores_instances_over_writes_and_crashes(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, int, int]], reads: list[int]
) -> None:
    folder = tmp_path_factory.mktemp("list")
    journal, store = open_journal(folder)
    now = 0
    seen = {}
    known_generation = 0
    last = store.generation
    for at, (what, number, span) in enumerate(steps):
        name = f"s-{number}"
        if what == "register":
            store.register(instance(name, started_ms=at), now)
        elif what == "tick":
            now += span
            store.expire_leases(now)
        elif what in ("crash", "cut"):
            journal.close()
            if what == "cut":  # a write that was never answered is lost: half a record
                with (folder / "log").open("ab") as file:
                    file.write(b"RstR\0\0")
            journal = Journal(folder)
            generation, instances = store.generation, store.instances
            store = journal.open(UNIX_MS + at, now)
            assert (store.generation, store.instances) == (generation, instances)
        elif name in store.instances:
            if what == "drain":
                store.update(name, store.get(name).generation, Lifecycle.DRAINING, now)
            else:
                store.deregister(name) if what == "leave" else store.renew(name, now)
        assert store.generation >= last
        last = store.generation
        if at in reads or at == len(steps) - 1:  # it reads now and then, and misses what came in between
            update = store.update_after(known_generation)
            seen = {} if update.is_reset else seen
            for entry in update.instances:
                seen[entry.id] = entry
                if entry.lifecycle == Lifecycle.DELETED:
                    del seen[entry.id]
            known_generation = update.generation
            assert seen == store.instances
    journal.close()
