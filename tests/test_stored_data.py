"""Files that revision a1df16a wrote are read value by value, and its snapshot is rewritten byte for byte.

`tests/data/a1df16a` holds the state folders of a gateway, of the lease service and of the registry as that
revision left them, with the configurations that they were made under. Each test works on a copy.
"""

import dataclasses
import shutil
import time
from pathlib import Path

import pytest

from tests.helpers import GatewayHarness
from thistletrail.gateway.config import Config, load
from thistletrail.gateway.settings_digest import settings_digest
from thistletrail.gateway.snapshot_file import decode_snapshot, encode_snapshot
from thistletrail.gateway.snapshot_store import SnapshotStore, check_snapshot
from thistletrail.gateway.start_history import crash_backoff_s
from thistletrail.leasing import journal as leasing_journal
from thistletrail.leasing.budget_state import BudgetLimits, HolderGrant, IssuedGrant
from thistletrail.leasing.config import read_config as read_leasing_config
from thistletrail.leasing.journal import Journal as LeasingJournal
from thistletrail.leasing.journal import LeasingStates
from thistletrail.leasing.leadership import begin_term
from thistletrail.leasing.messages import BeginWork, OperationStatus, WorkEffect, WorkRequest
from thistletrail.leasing.work_records import WorkOutcome
from thistletrail.leasing.work_store import NOWHERE, Location, WorkItem
from thistletrail.policy.events import (
    CustomerSnapshot,
    EjectedServerSnapshot,
    EndpointUpdate,
    EndpointUpdateKind,
    PolicySnapshot,
    Server,
    ServerState,
    SnapshotFound,
)
from thistletrail.registry.instance import Instance
from thistletrail.registry.journal import Journal

DATA = Path(__file__).parent / "data" / "a1df16a"

# --- the gateway's snapshot and start times ---

SNAPSHOT_UNIX_S = 1_764_700_000.0  # when the snapshot was written
CUSTOMERS = (
    CustomerSnapshot(758604864, 0, 0, 3, 5.666666666666666, 19.0, 0.3383899999999995, 0.0),
    CustomerSnapshot(3437847927, 0, 0, 2, 8.00232275, 18.0046455, 3.0161049999999996, 8.025768),
    CustomerSnapshot(850253292, 1, 1, 1, 1.0026699999999997, 1.0026699999999997, -4.0, 0.0),
    CustomerSnapshot(1182241971, 1, 0, 3, 0.6666666666666665, 4.0, -1.0, 0.0),
)
EJECTED_SERVERS = (
    EjectedServerSnapshot("s1", 1_500_000, 2_000_000, 0.75),
    EjectedServerSnapshot("s2", 300_000, 500_000, 1.25),
)
LIMIT_PER_SCALED_SECOND = 6.0
# Three starts that crashed, then the start of the gateway that wrote the snapshot.
STARTS = [SNAPSHOT_UNIX_S - before_s for before_s in (4.5, 3.0, 1.5, 1.0)]


def gateway_config(folder: Path) -> Config:
    """Return the configuration under which the snapshot was made, with a copy of the state folder."""
    shutil.copytree(DATA / "gateway" / "state", folder / "state")
    config = load({"PROXY_CONFIG": str(DATA / "gateway" / "config.json")})
    return dataclasses.replace(config, state_dir=str(folder / "state"))


def set_unix_time(monkeypatch: pytest.MonkeyPatch, unix_s: float) -> None:
    monkeypatch.setattr(time, "time", lambda: unix_s)


@pytest.fixture
def config(tmp_path: Path) -> Config:
    return gateway_config(tmp_path)


def test_a_snapshot_of_a1df16a_is_read_in_full(config: Config, monkeypatch: pytest.MonkeyPatch) -> None:
    set_unix_time(monkeypatch, SNAPSHOT_UNIX_S + 0.5)
    gateway_store = SnapshotStore(config)
    snapshot = gateway_store.stored_snapshot
    assert snapshot is not None
    assert (snapshot.gateway_name, snapshot.settings_digest) == ("n1", "f2c2f9286bcb3aaa")
    assert (snapshot.written_at_ms, snapshot.start_id) == (1_764_700_000_000, 1_469_153_534)
    assert snapshot.policy.customers == CUSTOMERS
    assert snapshot.policy.ejected_servers == EJECTED_SERVERS
    assert snapshot.policy.limit_per_scaled_second == LIMIT_PER_SCALED_SECOND
    gateway_store.close()


def test_the_endpoint_list_of_a1df16a_is_used_if_the_configuration_has_none(
    config: Config, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_unix_time(monkeypatch, SNAPSHOT_UNIX_S + 0.5)
    gateway_store = SnapshotStore(config)
    assert not config.known
    known = gateway_store.with_stored_list(config).known
    assert (known["generation"], known["reset"]) == (7, True)
    servers_in_list = [
        (
            entry["instanceId"],
            entry["hostPort"],
            entry["zone"],
            entry["machineType"],
            entry["cell"],
            entry["lifecycle"],
        )
        for entry in known["instances"]
    ]
    assert servers_in_list == [
        ("s0", "127.9.0.1:6379", "a", "m2", 0, "SERVING"),
        ("s1", "127.9.0.2:6379", "a", "m4", 0, "SERVING"),
        ("s2", "127.9.0.3:6379", "b", "m2", 7, "SERVING"),
        ("s3", "127.9.0.4:6379", "b", "m4", 7, "DRAINING"),
    ]
    weights_and_starts = [(entry["weight"], entry["startedAtMs"]) for entry in known["instances"]]
    assert weights_and_starts == [(1.0, 0), (2.5, 1764699990000.0), (1.0, 1764600000000.0), (2.0, 0)]
    gateway_store.close()


def test_the_policy_restores_the_state_that_a1df16a_stored(
    config: Config, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_unix_time(monkeypatch, SNAPSHOT_UNIX_S)
    gateway_store = SnapshotStore(config)
    assert gateway_store.stored_snapshot is not None
    harness = GatewayHarness(config.settings, ())
    servers = tuple(Server(f"s{number}", 0, 0, 0, ServerState.SERVING) for number in range(4))
    harness.handle(EndpointUpdate(EndpointUpdateKind.CACHED, 7, servers))
    harness.handle(SnapshotFound(gateway_store.stored_snapshot.policy, 0))
    gateway = harness.engine
    restored = [
        (
            *key,
            customer.local_bucket.level,
            customer.set_level,
            customer.ceiling_bucket.level,
            customer.ceiling_grant_bucket.level,
        )
        for key, customer in gateway.customers.by_key.items()
    ]
    # A customer whose plan has no ceiling has none to restore: its level is 0 or less.
    assert restored == [dataclasses.astuple(customer) for customer in CUSTOMERS]
    assert [name for name, server in gateway.servers_by_name.items() if server.is_ejected] == ["s1", "s2"]
    for ejected in EJECTED_SERVERS:
        server = gateway.servers_by_name[ejected.server]
        assert server.avoid_until_us == harness.now_us + ejected.half_open_after_us
        assert (server.backoff_us, server.latency_ratio) == (ejected.backoff_us, ejected.latency_ratio)
    assert gateway.incarnations.has_restarted
    # A snapshot that is made immediately has the same state, including N.
    assert gateway.snapshot() == PolicySnapshot(CUSTOMERS, EJECTED_SERVERS, LIMIT_PER_SCALED_SECOND)
    gateway_store.close()


def test_a_snapshot_of_a1df16a_is_rewritten_byte_for_byte(config: Config) -> None:
    written = (Path(config.state_dir) / "door").read_bytes()
    snapshot = decode_snapshot(written)
    check_snapshot(snapshot, config, round(SNAPSHOT_UNIX_S * 1000))
    assert encode_snapshot(snapshot) == written


def test_the_configuration_has_the_digest_that_is_in_the_snapshot(config: Config) -> None:
    assert settings_digest(config.settings) == "f2c2f9286bcb3aaa"


def test_start_times_of_a1df16a_cause_a_backoff(config: Config, monkeypatch: pytest.MonkeyPatch) -> None:
    now = SNAPSHOT_UNIX_S + 0.5
    set_unix_time(monkeypatch, now)
    gateway_store = SnapshotStore(config)
    assert gateway_store.start_history.start_times_s == STARTS
    assert crash_backoff_s(STARTS, now) == 4.0
    assert 3.0 <= gateway_store.record_start() <= 5.0  # 4 s with a jitter of a quarter
    assert gateway_store.start_history.start_times_s == [*STARTS, now]
    gateway_store.close()
    again = SnapshotStore(config)
    assert again.start_history.start_times_s == [*STARTS, now]
    again.close()


# --- the lease service's journal ---

LEASING_BOOT = "3f0c6f3a-6d52-4be2-9f6b-0a1df16a0000"
LEASING_NOW_MS = 1_000_000_895  # 0.1 s after the last record, on that boot's clock
FENCE = 1_764_700_000_000_000  # base of the fences in that history
CEILING = "ceiling/institution/7"
ISSUED = [
    HolderGrant(CEILING, "0/11", IssuedGrant(FENCE + 1, 2025, 1_000_003_000, 0)),
    HolderGrant(CEILING, "0/11", IssuedGrant(FENCE + 6, 4050, 1_000_003_740, 4)),
    HolderGrant(CEILING, "1/21", IssuedGrant(FENCE + 4, 1620, 1_000_003_000, 0)),
    HolderGrant("further-attempts", "0/11", IssuedGrant(FENCE + 2, 2700, 1_000_003_000, 0)),
    HolderGrant("sessions", "0/11", IssuedGrant(FENCE + 3, 11, 1_000_003_000, 0)),
    HolderGrant("sessions", "0/11", IssuedGrant(FENCE + 7, 22, 1_000_003_740, 0)),
    HolderGrant("sessions", "1/21", IssuedGrant(FENCE + 5, 11, 1_000_003_000, 0)),
]


# When work items were begun.
FIRST_BEGUN_MS, LATER_BEGUN_MS, LAST_BEGUN_MS = 1_000_000_000, 1_000_000_740, 1_000_000_770
RESULT_WANTED_MS = 300_000  # how long after their begin results are wanted


def work_item(name: str, fence: int, begun_ms: int, **values: object) -> WorkItem:
    defaults = {
        "name": f"work/{name}",
        "digest": f"digest of work/{name}",
        "customer": "00000000b4d65521",
        "effect": WorkEffect.KEYED,
        "end_ms": begun_ms + RESULT_WANTED_MS,
        "window_ms": 400_000,
        "request": f"request of work/{name}".encode(),
        "owner": "",
        "fence": FENCE + fence,
        "last_run": Location("s1", "a"),
        "first_run_ms": begun_ms,
    }
    return WorkItem(**{**defaults, **values})


WORK_ITEMS = [
    # Begun in an earlier term: their records are in the snapshot.
    work_item(
        "running",
        1,
        FIRST_BEGUN_MS,
        owner="0/11",
        request_id="work/running-request",
        last_run=Location("s2", "a"),
        attempt_number=1,
    ),
    work_item(
        "served",
        2,
        FIRST_BEGUN_MS,
        request_id="work/served-request",
        outcome=WorkOutcome.SERVED,
        value=b"the answer\x00\xff",
        ended_ms=FIRST_BEGUN_MS + 40,
    ),
    work_item(
        "failed", 3, FIRST_BEGUN_MS, owner="0/11", request_id="work/failed-request", effect=WorkEffect.UNSAFE
    ),
    work_item(
        "second",
        5,
        FIRST_BEGUN_MS + 40,
        owner="1/21",
        request_id="work/second-request",
        effect=WorkEffect.SAFE,
        customer="00000000000000ff",
        last_run=NOWHERE,
    ),
    # Begun in the last term: their records are in its log.
    work_item(
        "moved",
        10,
        LATER_BEGUN_MS,
        owner="1/21",
        last_run=Location("s3", "b"),
        run_before_owner=Location("s3", "b"),
        deaths=1,
    ),
    work_item(
        "unknown",
        11,
        LATER_BEGUN_MS,
        effect=WorkEffect.UNSAFE,
        run_before_owner=Location("s1", "a"),
        deaths=1,
        outcome=WorkOutcome.UNKNOWN,
        ended_ms=LAST_BEGUN_MS,
    ),
    work_item(
        "parked",
        14,
        LATER_BEGUN_MS,
        run_before_owner=Location("s1", "a"),
        deaths=2,
        outcome=WorkOutcome.PARKED,
        ended_ms=LAST_BEGUN_MS,
    ),
    work_item("left", 18, LAST_BEGUN_MS, last_run=Location("s4", "b"), run_before_owner=Location("s4", "b")),
    work_item("orphan", 19, LAST_BEGUN_MS, run_before_owner=Location("s1", "a"), awaits_taker=True),
    work_item(
        "done",
        17,
        LAST_BEGUN_MS,
        request_id="work/done-request",
        outcome=WorkOutcome.SERVED,
        value=b"second answer",
        ended_ms=LAST_BEGUN_MS + 25,
    ),
]


def restore_leasing(
    folder: Path, monkeypatch: pytest.MonkeyPatch, boot: str
) -> tuple[LeasingJournal, LeasingStates]:
    """Begin the next term on a copy of the journal, on a machine with that boot id."""
    monkeypatch.setattr(leasing_journal, "boot_id", lambda: boot)
    monkeypatch.setattr(leasing_journal, "now_ms", lambda: LEASING_NOW_MS)
    monkeypatch.setattr(time, "time_ns", lambda: round(SNAPSHOT_UNIX_S) * 1_000_000_000)
    shutil.copytree(DATA / "leasing" / "state", folder)
    journal = LeasingJournal(begin_term(folder))
    states = journal.open(read_leasing_config(DATA / "leasing" / "config.toml"))
    return journal, states


def test_budgets_and_grants_of_a1df16a_are_restored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal, states = restore_leasing(tmp_path / "state", monkeypatch, LEASING_BOOT)
    state = states.budgets
    assert journal.term.number == 4
    assert list(state.issued_grants()) == ISSUED
    assert (state.fence, state.lease_ms, state.quiet_until_ms) == (FENCE + 7, 3000, 0)
    assert {name: budget.limits for name, budget in state.budgets.items()} == {
        CEILING: BudgetLimits(30_000, 60),
        "further-attempts": BudgetLimits(40_000, 80),
        "sessions": BudgetLimits(50, 0),
    }
    assert {name: budget.reserved for name, budget in state.budgets.items()} == {
        CEILING: 4050 + 1620,
        "further-attempts": 2700,
        "sessions": 22 + 11,
    }
    journal.close()


def test_work_items_of_a1df16a_are_restored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal, states = restore_leasing(tmp_path / "state", monkeypatch, LEASING_BOOT)
    work = states.work
    assert list(work.store.items.values()) == WORK_ITEMS
    assert (work.store.fence, work.lease_ms) == (FENCE + 19, 1000)
    assert {name: member.until_ms for name, member in work.membership.members.items()} == {
        "0/11": LEASING_NOW_MS + 1000,
        "1/21": LEASING_NOW_MS + 1000,
    }
    assert work.membership.latest_incarnations == {0: 11, 1: 21}
    assert [item.name for item in work.store.parked] == ["work/parked"]
    assert work.store.item_count_by_customer == {"00000000b4d65521": 9, "00000000000000ff": 1}
    assert work.store.total_bytes == 349
    journal.close()


@pytest.mark.parametrize(
    "name, status, value",
    [
        ("served", OperationStatus.ANSWERED, b"the answer\x00\xff"),
        ("done", OperationStatus.ANSWERED, b"second answer"),
        ("unknown", OperationStatus.FAILED, b""),
        ("running", OperationStatus.ELSEWHERE, b""),
        ("left", OperationStatus.PERSISTED, b""),
    ],
)
def test_a_repeated_request_gets_the_result_that_a1df16a_persisted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str, status: OperationStatus, value: bytes
) -> None:
    journal, states = restore_leasing(tmp_path / "state", monkeypatch, LEASING_BOOT)
    begin = BeginWork(
        name=f"work/{name}",
        request_id="again",
        digest=f"digest of work/{name}",
        customer="00000000b4d65521",
        effect=WorkEffect.KEYED,
        left_ms=2000,
        window_ms=4000,
        request=b"again",
        server="s9",
        place="b",
    )
    request = WorkRequest(gateway=5, incarnation=1, serial=1, operations=(begin,))
    response = states.work.handle(request, LEASING_NOW_MS).response
    assert [(result.status, result.value) for result in response.results] == [(status, value)]
    journal.close()


def test_work_that_a1df16a_left_without_an_owner_goes_to_an_available_gateway(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, states = restore_leasing(tmp_path / "state", monkeypatch, LEASING_BOOT)
    states.work.transfer_lost_items(LEASING_NOW_MS)
    orphan = states.work.store.items["work/orphan"]
    assert orphan.owner in ("0/11", "1/21")
    assert (orphan.fence, orphan.awaits_taker) == (FENCE + 20, False)
    journal.close()


def test_after_a_reboot_grants_are_waited_out_and_work_items_are_dropped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    journal, states = restore_leasing(tmp_path / "state", monkeypatch, "another boot")
    max_lease_ms = 10_000
    state = states.budgets
    assert [(held.budget, held.holder, held.grant.share) for held in state.issued_grants()] == [
        (held.budget, held.holder, held.grant.share) for held in ISSUED
    ]
    assert {held.grant.until_ms for held in state.issued_grants()} == {LEASING_NOW_MS + max_lease_ms}
    assert state.quiet_until_ms == LEASING_NOW_MS + max_lease_ms
    # The fence is that of the snapshot, as the later records are of another boot.
    assert not states.work.store.items and states.work.store.fence == FENCE + 5
    assert "are of another boot, and are skipped" in caplog.text
    journal.close()


# --- the registry's journal and snapshot ---

REGISTRY_NOW_MS, GRACE_MS = 5_000_000, 30_000
GENERATION = 1_764_700_000_000 * 1024  # base of the generations in that history


def test_the_registry_of_a1df16a_is_restored(tmp_path: Path) -> None:
    shutil.copytree(DATA / "registry", tmp_path / "registry")
    journal = Journal(tmp_path / "registry")
    store = journal.open(0, REGISTRY_NOW_MS)
    assert list(store.instances.values()) == [
        Instance("s1", "127.9.0.2:6380", "a", "m4", 0, 2.5, "SERVING", 1764699999000, 10_000, GENERATION + 6),
        Instance("s2", "127.9.0.3:6379", "b", "m2", 7, 1.0, "SERVING", 0, 15_000, GENERATION + 12),
        Instance("s4", "127.9.0.4:6379", "b", "m2", 8, 1.0, "SERVING", 0, 10_000, GENERATION + 10),
        Instance("s5", "127.9.0.6:6379", "b", "m2", 9, 0.5, "SERVING", 0, 600_000, GENERATION + 11),
    ]
    assert (store.floor, store.generation) == (GENERATION + 5, GENERATION + 12)
    assert [(change.id, change.lifecycle) for change in store.history] == [
        ("s1", "SERVING"),
        ("s2", "DRAINING"),
        ("s0", "DELETED"),
        ("s3", "DELETED"),
        ("s4", "SERVING"),
        ("s5", "SERVING"),
        ("s2", "SERVING"),
    ]
    assert store.id_by_address == {
        "127.9.0.2:6380": "s1",
        "127.9.0.3:6379": "s2",
        "127.9.0.4:6379": "s4",
        "127.9.0.6:6379": "s5",
    }
    assert not journal.is_filling()
    journal.close()


def test_leases_of_a1df16a_are_valid_for_the_grace_time_and_then_for_their_own_time(tmp_path: Path) -> None:
    shutil.copytree(DATA / "registry", tmp_path / "registry")
    journal = Journal(tmp_path / "registry")
    store = journal.open(0, REGISTRY_NOW_MS)
    assert store.lease_end_ms == dict.fromkeys(("s1", "s2", "s4", "s5"), REGISTRY_NOW_MS + GRACE_MS)
    store.renew("s2", REGISTRY_NOW_MS + GRACE_MS)
    store.renew("s5", REGISTRY_NOW_MS + GRACE_MS)
    assert store.lease_end_ms["s2"] == REGISTRY_NOW_MS + GRACE_MS + 15_000
    assert store.lease_end_ms["s5"] == REGISTRY_NOW_MS + GRACE_MS + 600_000
    journal.close()


def test_the_registry_continues_the_log_of_a1df16a(tmp_path: Path) -> None:
    shutil.copytree(DATA / "registry", tmp_path / "registry")
    journal = Journal(tmp_path / "registry")
    store = journal.open(0, REGISTRY_NOW_MS)
    assert store.deregister("s5").generation == GENERATION + 13
    journal.close()
    written = (tmp_path / "registry" / "log").read_bytes()
    assert written.startswith((DATA / "registry" / "log").read_bytes())
    again = Journal(tmp_path / "registry").open(0, REGISTRY_NOW_MS)
    assert again.generation == GENERATION + 13 and "s5" not in again.instances
