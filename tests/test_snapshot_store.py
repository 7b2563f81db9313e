"""Tests of snapshots: the maximum age of each part for its use, and the rejection of unusable ones."""

import asyncio
import os
import signal
import subprocess
import sys
import time
import zlib
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from tests.helpers import SECOND_US, SETTINGS, GatewayHarness, actions_of_type
from tests.sockets import (
    CONFIG,
    HOST,
    RespClient,
    StubDiscovery,
    StubScanServer,
    query_command,
    run_scenario,
    running_gateway,
)
from tests.test_program import config_values, write_config
from thistletrail.gateway import snapshot_file, snapshot_store
from thistletrail.gateway.config import Config
from thistletrail.gateway.errors import ConfigError, RejectedSnapshotError
from thistletrail.gateway.server import GatewayServer
from thistletrail.gateway.settings_digest import settings_digest
from thistletrail.gateway.snapshot_file import Snapshot, decode_snapshot, encode_snapshot
from thistletrail.gateway.snapshot_store import SnapshotStore, check_snapshot
from thistletrail.gateway.start_history import CRASH_WINDOW_S, crash_backoff_s
from thistletrail.policy.actions import WriteLog
from thistletrail.policy.events import CustomerSnapshot, EjectedServerSnapshot, PolicySnapshot, SnapshotFound
from thistletrail.policy.settings import Plan
from thistletrail.policy.snapshot import ADMISSION_LIMIT_MAX_AGE_US, SERVER_HEALTH_MAX_AGE_US

NOW_MS = 1_800_000_000_000
KEY = (7, 0, 0, 2)


def snapshot(**changes: object) -> Snapshot:
    return replace(
        Snapshot(
            gateway_name=CONFIG.name,
            settings_digest=settings_digest(CONFIG.settings),
            written_at_ms=NOW_MS,
            start_id=3,
            policy=PolicySnapshot(
                (CustomerSnapshot(*KEY, 2.0, 5.0, 0.0, 0.0),),
                (EjectedServerSnapshot("s1", 10, 20, 0.5),),
                7.5,
            ),
            endpoint_list={"generation": 4, "instances": []},
        ),
        **changes,
    )


def read(data: bytes, now_ms: int, config: Config = CONFIG) -> Snapshot:
    """Decode a snapshot and check that it may be used."""
    decoded = decode_snapshot(data)
    check_snapshot(decoded, config, now_ms)
    return decoded


def rejection_reason(data: bytes, now_ms: int = NOW_MS, config: Config = CONFIG) -> str:
    with pytest.raises(RejectedSnapshotError) as caught:
        read(data, now_ms, config)
    assert "\n" not in str(caught.value)
    return str(caught.value)


def test_a_snapshot_is_read_as_it_was_written() -> None:
    assert read(encode_snapshot(snapshot()), NOW_MS + 500) == snapshot()


def test_an_unusable_snapshot_is_rejected_with_the_reason() -> None:
    encoded = encode_snapshot(snapshot())
    assert rejection_reason(b"") == "cut off: expected 13 bytes at least, found 0"
    assert rejection_reason(b"x" * 100) == "no snapshot: expected b'MrSt' at its beginning, found b'xxxx'"
    assert "version: expected 1, found 2" in rejection_reason(encoded[:4] + b"\x02" + encoded[5:])
    another = encode_snapshot(snapshot(gateway_name="another"))
    assert rejection_reason(another) == "expected one of n0, found one of another"
    assert "other settings" in rejection_reason(encode_snapshot(snapshot(settings_digest="0")))
    assert "in the future" in rejection_reason(encoded, NOW_MS - 3_600_000)
    assert rejection_reason(encoded, NOW_MS + 3_600_000) == "written 3600 s ago, expected 600 at most"
    other = replace(CONFIG, settings=replace(CONFIG.settings, gateway_count=3))
    assert "other settings" in rejection_reason(encoded, config=other)
    # The seed may differ at each start and is not part of the digest.
    read(encoded, NOW_MS, replace(CONFIG, settings=replace(CONFIG.settings, seed=9)))
    body = msgspec.msgpack.encode({"name": 1})
    magic, version = snapshot_file.MAGIC, snapshot_file.VERSION
    wrong = snapshot_file.HEADER.pack(magic, version, len(body), zlib.crc32(body)) + body
    assert "Expected `str`" in rejection_reason(wrong)


def test_a_snapshot_truncated_or_changed_at_any_byte_is_rejected() -> None:
    encoded = encode_snapshot(snapshot())
    for position in range(len(encoded)):
        rejection_reason(encoded[:position])
        rejection_reason(encoded[:position] + bytes([encoded[position] ^ 0x41]) + encoded[position + 1 :])


# --- restoring by the policy ---

PLAN = Plan(rate=10.0, burst=20.0, over_quota_cost=1.0, ceiling_rate=20.0, ceiling_burst=40.0)
SETTINGS_WITH_CEILING = replace(SETTINGS, gateway_count=2, plans=(PLAN,))


def restored_harness(age_us: int, **changes: object) -> GatewayHarness:
    """Return a harness whose gateway has restored a snapshot of that age."""
    harness = GatewayHarness(SETTINGS_WITH_CEILING)
    harness.handle(SnapshotFound(replace(snapshot().policy, **changes), age_us))
    return harness


def test_a_snapshot_holds_the_state_of_the_policy() -> None:
    # The bucket of a ceiling starts empty, so this plan has no ceiling.
    harness = GatewayHarness(replace(SETTINGS_WITH_CEILING, plans=(replace(PLAN, ceiling_rate=0.0),)))
    for number in range(8):
        harness.send_request(f"r{number}", set_size=2)
    harness.engine.overload.set_limit(12.0)
    ejected = harness.engine.servers_by_name["s1"]
    ejected.is_ejected, ejected.avoid_until_us, ejected.backoff_us = (
        True,
        harness.now_us + SECOND_US,
        2 * SECOND_US,
    )
    collected = harness.engine.snapshot()
    ((key, customer),) = harness.engine.customers.by_key.items()
    (stored,) = collected.customers
    assert (stored.customer, stored.plan_index, stored.set_first, stored.set_size) == key
    assert stored.local_level == customer.local_bucket.level < 10.0
    assert stored.set_level == customer.set_level < 20.0
    assert collected.ejected_servers == (
        EjectedServerSnapshot("s1", SECOND_US, 2 * SECOND_US, ejected.latency_ratio),
    )
    assert collected.limit_per_scaled_second == pytest.approx(12.0)

    next_harness = GatewayHarness(SETTINGS_WITH_CEILING)
    next_harness.handle(SnapshotFound(collected, 500_000))
    restored_customer = next_harness.engine.customers.by_key[key]
    assert (
        restored_customer.local_bucket.level <= customer.local_bucket.level + 1e-9
        and restored_customer.set_level <= customer.set_level + 1e-9
    )
    assert next_harness.engine.servers_by_name["s1"].is_ejected
    assert next_harness.engine.servers_by_name["s1"].avoid_until_us == next_harness.now_us + SECOND_US // 2
    assert (
        next_harness.engine.overload.admission_limit == 12 and next_harness.engine.incarnations.has_restarted
    )


@pytest.mark.parametrize(
    "age_us, customer_count, is_ejected, limit",
    [
        (0, 1, True, 7),
        (ADMISSION_LIMIT_MAX_AGE_US - 1, 1, True, 7),
        (ADMISSION_LIMIT_MAX_AGE_US, 1, True, None),
        (SERVER_HEALTH_MAX_AGE_US - 1, 1, True, None),
        (SERVER_HEALTH_MAX_AGE_US, 1, False, None),
    ],
)
def test_expired_parts_of_a_snapshot_are_not_used(
    age_us: int, customer_count: int, is_ejected: bool, limit: int | None
) -> None:
    harness = restored_harness(age_us)
    assert len(harness.engine.customers.by_key) == customer_count
    assert harness.engine.servers_by_name["s1"].is_ejected is is_ejected
    assert harness.engine.overload.admission_limit == limit


def test_customers_are_not_restored_when_their_buckets_are_full_again() -> None:
    harness = GatewayHarness(SETTINGS_WITH_CEILING)
    retention_us = harness.engine.customers.retention_us
    assert retention_us >= 10 * SECOND_US
    assert (
        restored_harness(retention_us - 1).engine.customers.by_key
        and not restored_harness(retention_us).engine.customers.by_key
    )


@pytest.mark.parametrize(
    "invalid",
    [
        CustomerSnapshot(7, 9, 0, 2, 1.0, 1.0, 0.0, 0.0),
        CustomerSnapshot(7, 0, 0, 0, 1.0, 1.0, 0.0, 0.0),
    ],
)
def test_an_invalid_customer_is_ignored(invalid: CustomerSnapshot) -> None:
    assert not restored_harness(0, customers=(invalid,)).engine.customers.by_key


def test_restored_levels_never_exceed_the_burst_of_a_bucket() -> None:
    harness = restored_harness(0, customers=(CustomerSnapshot(*KEY, 1e9, 1e9, 1e9, 1e9),))
    customer = harness.engine.customers.by_key[KEY]
    assert (customer.local_bucket.level, customer.set_level) == (10.0, 20.0)
    assert (
        customer.ceiling_bucket.level <= 40.0 * customer.ceiling_bucket.share
        and customer.ceiling_grant_bucket.level <= 40.0
    )


def test_the_restored_state_is_logged() -> None:
    harness = GatewayHarness(SETTINGS_WITH_CEILING)
    (log_line,) = actions_of_type(WriteLog, harness.handle(SnapshotFound(snapshot().policy, 2_500_000)))
    assert log_line.text == "takes up a snapshot of 2.5 s ago: 1 customers, 1 ejected servers, N 7.5 a second"


# --- storing and restoring by the gateway ---


def store_in(folder: Path, **changes: object) -> SnapshotStore:
    return SnapshotStore(replace(CONFIG, state_dir=str(folder), **changes))


def test_a_gateway_restores_the_snapshot_of_its_previous_process(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway_server, address):
            first = store_in(tmp_path)
            client = await RespClient.connect(address)
            for number in range(5):
                await client.request(query_command(f"r{number}"))
            first.write(first.collect(gateway_server))
            first.close()
            second = store_in(tmp_path)
            assert second.stored_snapshot.endpoint_list["generation"] == 7
            config = second.with_stored_list(replace(CONFIG, discovery=(await StubDiscovery(never).start(),)))
            next_gateway = GatewayServer(config)
            second.restore(next_gateway)
            await asyncio.sleep(0)
            next_gateway.driver.run_batch()
            assert list(next_gateway.policy.servers_by_name) == ["s0"]
            assert (
                next_gateway.policy.servers_by_name["s0"].entry
                == gateway_server.policy.servers_by_name["s0"].entry
            )
            assert (
                next_gateway.policy.customers.by_key.keys() == gateway_server.policy.customers.by_key.keys()
            )
            assert next_gateway.policy.incarnations.has_restarted
            next_gateway.close()
            second.close()

    async def never(writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    run_scenario(scenario())


def test_only_the_endpoint_list_of_an_old_snapshot_is_used(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway_server, _):
            first = store_in(tmp_path)
            first.write(first.collect(gateway_server))
            first.close()
            offset = round(snapshot_store.MAX_POLICY_AGE_S * 1000) + 1000
            second = store_in(tmp_path, clock_offset_ms=offset)
            second.restore(gateway_server)
            assert second.stored_snapshot is not None and not gateway_server.driver.pending_events
            second.close()
            third = store_in(tmp_path, clock_offset_ms=3_600_000)  # a clock that is wrong by an hour
            assert third.stored_snapshot is None
            third.close()

    run_scenario(scenario())
    assert "is too old for all but its list" in caplog.text and "written 3600 s ago" in caplog.text


def test_a_damaged_snapshot_causes_one_warning(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    (tmp_path / "door").write_bytes(encode_snapshot(snapshot())[:-1])
    (tmp_path / "starts").write_bytes(b"\xff")
    store = store_in(tmp_path)
    assert store.stored_snapshot is None and store.start_history.start_times_s == []
    assert len(caplog.records) == 1 and "is rejected: damaged: expected" in caplog.text
    store.close()


def test_two_gateways_cannot_use_one_folder(tmp_path: Path) -> None:
    first = store_in(tmp_path)
    with pytest.raises(ConfigError, match="another gateway has the folder"):
        store_in(tmp_path)
    first.close()
    store_in(tmp_path).close()
    with pytest.raises(ConfigError, match="cannot be used"):
        store_in(tmp_path / "lock" / "below")


def test_a_full_disk_causes_one_warning_and_leaves_the_old_snapshot(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = store_in(tmp_path)
    store.write(snapshot(written_at_ms=1))
    before = (tmp_path / "door").read_bytes()

    def fsync_on_full_disk(file: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fsync_on_full_disk)
    store.write(snapshot(written_at_ms=2))
    store.write(snapshot(written_at_ms=3))
    assert (tmp_path / "door").read_bytes() == before
    assert [record.message for record in caplog.records] == [
        "no snapshot can be written: No space left on device"
    ]
    monkeypatch.undo()
    store.write(snapshot(written_at_ms=4))
    assert (tmp_path / "door").read_bytes() == encode_snapshot(snapshot(written_at_ms=4))
    assert not store.is_write_failing
    store.close()


def test_a_gateway_that_crashes_repeatedly_waits_longer_each_time() -> None:
    now = 1000.0
    assert crash_backoff_s([], now) == 0.0  # a first start
    assert crash_backoff_s([999.0], now) == 0.0  # a restart
    waits = [crash_backoff_s([now - 0.1 * n for n in range(count)], now) for count in range(2, 8)]
    assert waits == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert crash_backoff_s([now - CRASH_WINDOW_S - 1] * 5, now) == 0.0
    assert crash_backoff_s([now + 3600] * 5, now) == 0.0  # times of a wrong clock


def test_planned_ends_do_not_count_as_crashes(tmp_path: Path) -> None:
    for _ in range(4):
        store = store_in(tmp_path)
        assert store.record_start() == 0.0
        store.record_planned_end(None)
        store.close()
    for expected in (False, False, True):
        store = store_in(tmp_path)
        assert (store.record_start() > 0) is expected
        store.close()  # without a planned end


def test_a_gateway_that_waits_after_crashes_can_be_stopped_and_the_crashes_still_count(
    tmp_path: Path,
) -> None:
    now = time.time()
    state = tmp_path / "state"
    state.mkdir()
    (state / "starts").write_bytes(msgspec.msgpack.encode([now - 0.3, now - 0.2, now - 0.1, now]))
    environment = write_config(tmp_path, config_values(state_dir=str(state), listen=f"{HOST}:1"))
    process = subprocess.Popen(
        [sys.executable, "-m", "thistletrail.gateway"],
        env={**os.environ, **environment},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        log_line = process.stderr.readline()
        assert "has started again and again: it waits for" in log_line
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0 and "ends" in process.stderr.read()
    finally:
        process.kill()
        process.wait()
    assert len(msgspec.msgpack.decode((state / "starts").read_bytes())) == 4


def test_the_modules_for_snapshots_are_loaded_only_if_enabled() -> None:
    script = (
        "import thistletrail.gateway.__main__, sys\n"
        "assert not {'msgspec', 'thistletrail.gateway.snapshot_store'} & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", script], check=True)
