"""The stored state: what is taken up again and how old it may be, and that nothing bad is ever used."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from tests.helpers import SETTINGS, S, World, of
from tests.sockets import CONFIG, HOST, Backend, Client, Watch, front_door, query, run
from tests.test_program import config as values_of
from tests.test_program import write as write_config
from thistletrail.gateway import snapshot_store as keep
from thistletrail.gateway.config import ConfigError
from thistletrail.gateway.server import FrontDoor
from thistletrail.gateway.snapshot_store import (
    Keep,
    RejectedError,
    Snapshot,
    pack,
    settings_of,
    unpack,
    wait_s,
)
from thistletrail.policy.actions import WriteLog
from thistletrail.policy.events import CustomerSnapshot, EjectedServerSnapshot, PolicySnapshot, SnapshotFound
from thistletrail.policy.settings import Plan
from thistletrail.policy.snapshot import ADMISSION_RATE_MAX_AGE_US, SERVER_HEALTH_MAX_AGE_US

NOW_MS = 1_800_000_000_000
KEY = (7, 0, 0, 2)


def snapshot(**changes: object) -> Snapshot:
    return msgspec.structs.replace(
        Snapshot(
            name=CONFIG.name,
            settings=settings_of(CONFIG),
            at_ms=NOW_MS,
            mark=3,
            memory=PolicySnapshot(
                (CustomerSnapshot(*KEY, 2.0, 5.0, 0.0, 0.0),),
                (EjectedServerSnapshot("s1", 10, 20, 0.5),),
                7.5,
            ),
            known={"generation": 4, "instances": []},
        ),
        **changes,
    )


def why_not(data: bytes, now_ms: int = NOW_MS, config: object = CONFIG) -> str:
    with pytest.raises(RejectedError) as caught:
        unpack(data, config, now_ms)
    assert "\n" not in str(caught.value)
    return str(caught.value)


def test_a_snapshot_comes_back_as_it_was() -> None:
    assert unpack(pack(snapshot()), CONFIG, NOW_MS + 500) == snapshot()


def test_what_is_wrong_with_a_snapshot_is_told_and_it_is_not_used() -> None:
    good = pack(snapshot())
    assert why_not(b"") == "it is cut off"
    assert why_not(b"x" * 100) == "it is none"
    assert "version 2" in why_not(good[:4] + b"\x02" + good[5:])
    assert why_not(pack(snapshot(name="another"))) == "it is of another"
    assert "other settings" in why_not(pack(snapshot(settings="0")))
    assert "in the future" in why_not(good, NOW_MS - 3_600_000)
    assert why_not(good, NOW_MS + 3_600_000) == "it is 3600 s old"
    other = replace(CONFIG, settings=replace(CONFIG.settings, gateway_count=3))
    assert "other settings" in why_not(good, config=other)
    # A new seed comes with each start, and is no other setting.
    unpack(good, replace(CONFIG, settings=replace(CONFIG.settings, seed=9)), NOW_MS)
    body = msgspec.msgpack.encode({"name": 1})
    wrong = keep.HEAD.pack(keep.MARK, keep.VERSION, len(body), keep.zlib.crc32(body)) + body
    assert "Expected `str`" in why_not(wrong)


def test_a_snapshot_that_is_cut_or_changed_at_any_byte_is_not_used() -> None:
    good = pack(snapshot())
    for at in range(len(good)):
        why_not(good[:at])
        why_not(good[:at] + bytes([good[at] ^ 0x41]) + good[at + 1 :])


# --- the module's part ---

PLAN = Plan(rate=10.0, burst=20.0, over_quota_cost=1.0, ceiling_rate=20.0, ceiling_burst=40.0)
SET = replace(SETTINGS, gateway_count=2, plans=(PLAN,))


def recalled(age_us: int, **changes: object) -> World:
    world = World(SET)
    kept = msgspec.structs.replace(snapshot()).memory
    world.tell(SnapshotFound(replace(kept, **changes), age_us))
    return world


def test_a_memory_is_what_the_gateway_knew() -> None:
    world = World(replace(SET, plans=(replace(PLAN, ceiling_rate=0.0),)))  # a ceiling's store starts empty
    for number in range(8):
        world.ask(f"r{number}", set_size=2)
    world.gateway.overload.set_limit(12.0)
    suspect = world.gateway.servers_by_name["s1"]
    suspect.is_ejected, suspect.avoid_until_us, suspect.backoff_us = True, world.now + S, 2 * S
    found = world.gateway.snapshot()
    ((key, customer),) = world.gateway.customers.by_key.items()
    (kept,) = found.customers
    assert (kept.customer, kept.plan_index, kept.set_first, kept.set_size) == key
    assert kept.share == customer.local_bucket.level < 10.0 and kept.level == customer.set_level < 20.0
    assert found.ejected_servers == (EjectedServerSnapshot("s1", S, 2 * S, suspect.latency_ratio),)
    assert found.admission_rate_per_s == pytest.approx(12.0)

    successor = World(SET)
    successor.tell(SnapshotFound(found, 500_000))
    again = successor.gateway.customers.by_key[key]
    assert (
        again.local_bucket.level <= customer.local_bucket.level + 1e-9
        and again.set_level <= customer.set_level + 1e-9
    )
    assert successor.gateway.servers_by_name["s1"].is_ejected
    assert successor.gateway.servers_by_name["s1"].avoid_until_us == successor.now + S // 2
    assert successor.gateway.overload.admission_limit == 12 and successor.gateway.incarnations.has_restarted


@pytest.mark.parametrize(
    "age_us, customers, ejected_servers, n",
    [
        (0, 1, True, 7),
        (ADMISSION_RATE_MAX_AGE_US - 1, 1, True, 7),
        (ADMISSION_RATE_MAX_AGE_US, 1, True, None),
        (SERVER_HEALTH_MAX_AGE_US - 1, 1, True, None),
        (SERVER_HEALTH_MAX_AGE_US, 1, False, None),
    ],
)
def test_what_is_past_its_bound_is_not_used(
    age_us: int, customers: int, ejected_servers: bool, n: int | None
) -> None:
    world = recalled(age_us)
    assert len(world.gateway.customers.by_key) == customers
    assert world.gateway.servers_by_name["s1"].is_ejected is ejected_servers
    assert world.gateway.overload.admission_limit == n


def test_customers_are_forgotten_when_their_stores_are_full_again() -> None:
    world = World(SET)
    forget_us = world.gateway.customers.kept_us
    assert forget_us >= 10 * S
    assert (
        recalled(forget_us - 1).gateway.customers.by_key and not recalled(forget_us).gateway.customers.by_key
    )


@pytest.mark.parametrize(
    "odd",
    [
        CustomerSnapshot(7, 9, 0, 2, 1.0, 1.0, 0.0, 0.0),
        CustomerSnapshot(7, 0, 0, 0, 1.0, 1.0, 0.0, 0.0),
    ],
)
def test_a_customer_that_cannot_be_is_passed_over(odd: CustomerSnapshot) -> None:
    assert not recalled(0, customers=(odd,)).gateway.customers.by_key


def test_what_is_recalled_is_never_more_than_a_store_holds() -> None:
    world = recalled(0, customers=(CustomerSnapshot(*KEY, 1e9, 1e9, 1e9, 1e9),))
    customer = world.gateway.customers.by_key[KEY]
    assert (customer.local_bucket.level, customer.set_level) == (10.0, 20.0)
    assert (
        customer.ceiling_bucket.level <= 40.0 * customer.ceiling_bucket.share
        and customer.ceiling_grants.level <= 40.0
    )


def test_what_is_recalled_is_told() -> None:
    world = World(SET)
    (said,) = of(WriteLog, world.tell(SnapshotFound(snapshot().memory, 2_500_000)))
    assert said.text == "takes up a snapshot of 2.5 s ago: 1 customers, 1 suspect servers, N 7.5 a second"


# --- the front door's part ---


def keeper(folder: Path, **changes: object) -> Keep:
    return Keep(replace(CONFIG, state_dir=str(folder), **changes))


def test_a_door_takes_up_what_its_predecessor_kept(tmp_path: Path) -> None:
    async def act() -> None:
        async with front_door(Backend()) as (door, address):
            first = keeper(tmp_path)
            client = await Client.open(address)
            for number in range(5):
                await client.ask(query(f"r{number}"))
            first.write(first.snapshot(door))
            first.close()
            second = keeper(tmp_path)
            assert second.found.known["generation"] == 7
            config = second.with_known(replace(CONFIG, discovery=(await Watch(never).start(),)))
            successor = FrontDoor(config)
            second.recall(successor)
            await asyncio.sleep(0)
            successor.run_batch()
            assert list(successor.gateway.servers_by_name) == ["s0"]
            assert successor.gateway.servers_by_name["s0"].entry == door.gateway.servers_by_name["s0"].entry
            assert successor.gateway.customers.by_key.keys() == door.gateway.customers.by_key.keys()
            assert successor.gateway.incarnations.has_restarted
            successor.close()
            second.close()

    async def never(writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    run(act())


def test_an_old_snapshot_is_good_for_its_list_alone(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def act() -> None:
        async with front_door(Backend()) as (door, _):
            first = keeper(tmp_path)
            first.write(first.snapshot(door))
            first.close()
            offset = round(keep.MOST_AGE_S * 1000) + 1000
            second = keeper(tmp_path, clock_offset_ms=offset)
            second.recall(door)
            assert second.found is not None and not door.inbox
            second.close()
            third = keeper(tmp_path, clock_offset_ms=3_600_000)  # a clock that is an hour off
            assert third.found is None
            third.close()

    run(act())
    assert "is too old for all but its list" in caplog.text and "it is 3600 s old" in caplog.text


def test_a_damaged_snapshot_is_one_warning(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    (tmp_path / "door").write_bytes(pack(snapshot())[:-1])
    (tmp_path / "starts").write_bytes(b"\xff")
    found = keeper(tmp_path)
    assert found.found is None and found.starts == []
    assert len(caplog.records) == 1 and "is not used: it is damaged" in caplog.text
    found.close()


def test_two_doors_cannot_have_one_folder(tmp_path: Path) -> None:
    first = keeper(tmp_path)
    with pytest.raises(ConfigError, match="another front door has the folder"):
        keeper(tmp_path)
    first.close()
    keeper(tmp_path).close()
    with pytest.raises(ConfigError, match="cannot be used"):
        keeper(tmp_path / "lock" / "below")


def test_a_full_disk_is_one_warning_and_leaves_the_old_snapshot(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    found = keeper(tmp_path)
    found.write(snapshot(at_ms=1))
    before = (tmp_path / "door").read_bytes()

    def full(file: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    found.write(snapshot(at_ms=2))
    found.write(snapshot(at_ms=3))
    assert (tmp_path / "door").read_bytes() == before
    assert [record.message for record in caplog.records] == [
        "no snapshot can be written: No space left on device"
    ]
    monkeypatch.undo()
    found.write(snapshot(at_ms=4))
    assert (tmp_path / "door").read_bytes() == pack(snapshot(at_ms=4)) and not found.failing
    found.close()


def test_a_door_that_crashes_again_and_again_waits_longer_each_time() -> None:
    now = 1000.0
    assert wait_s([], now) == 0.0 and wait_s([999.0], now) == 0.0  # a first start, and a restart
    waits = [wait_s([now - 0.1 * n for n in range(count)], now) for count in range(2, 8)]
    assert waits == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert wait_s([now - keep.CRASH_SPAN_S - 1] * 5, now) == 0.0
    assert wait_s([now + 3600] * 5, now) == 0.0  # a clock that was off


def test_starts_that_ended_well_are_no_crashes(tmp_path: Path) -> None:
    for _ in range(4):
        found = keeper(tmp_path)
        assert found.wait_s() == 0.0
        found.end(None)
        found.close()
    for expected in (False, False, True):
        found = keeper(tmp_path)
        assert (found.wait_s() > 0) is expected
        found.close()  # and no word of a planned end


def test_a_door_in_its_wait_ends_cleanly_and_keeps_the_crashes_in_mind(tmp_path: Path) -> None:
    now = time.time()
    state = tmp_path / "state"
    state.mkdir()
    (state / "starts").write_bytes(msgspec.msgpack.encode([now - 0.3, now - 0.2, now - 0.1, now]))
    environment = write_config(tmp_path, values_of(state_dir=str(state), listen=f"{HOST}:1"))
    process = subprocess.Popen(
        [sys.executable, "-m", "thistletrail.gateway"],
        env={**os.environ, **environment},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        said = process.stderr.readline()
        assert "has started again and again: it waits for" in said
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0 and "ends" in process.stderr.read()
    finally:
        process.kill()
        process.wait()
    assert len(msgspec.msgpack.decode((state / "starts").read_bytes())) == 4


def test_without_a_folder_nothing_is_loaded_for_it() -> None:
    words = (
        "import thistletrail.gateway.__main__, sys\n"
        "assert not {'msgspec', 'thistletrail.gateway.snapshot_store'} & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", words], check=True)
