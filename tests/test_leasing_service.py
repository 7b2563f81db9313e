"""Tests of the lease service: journal recovery, leadership, its HTTP interface, and processes that fail."""

import asyncio
import contextlib
import fcntl
import os
import shutil
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import pytest
from aiohttp import ClientSession

from tests.helpers import copy_with_log, current_log_path
from thistletrail.benchmarks.process import ROOT, Process, free_port, start_program
from thistletrail.leasing import journal as journal_module
from thistletrail.leasing.budget_state import (
    MAX_LEASE_MS,
    BudgetLimits,
    HolderGrant,
    IssuedGrant,
    leasable_total,
)
from thistletrail.leasing.client import WorkStream
from thistletrail.leasing.config import BudgetPattern, Config, read_config
from thistletrail.leasing.errors import (
    ConfigError,
    FolderLockedError,
    LeadershipLostError,
    ServiceUnavailableError,
)
from thistletrail.leasing.framing import RENEW_PATH, SIGNATURE_HEADER, now_ms, sign
from thistletrail.leasing.journal import Journal, begin_history
from thistletrail.leasing.leadership import (
    MAX_POLLS_WITHOUT_HEARTBEAT,
    LeaderWatch,
    Term,
    begin_term,
    term_folder,
)
from thistletrail.leasing.messages import (
    MAX_OPERATIONS,
    BeginWork,
    BudgetRequest,
    ReleaseWork,
    RenewRequest,
    RenewResponse,
    WorkEffect,
    WorkRequest,
    WorkResponse,
)
from thistletrail.simulation.quota_accounts import TokenBucket
from thistletrail.write_ahead_log.record_file import CorruptFileError, WriteFailedError

SECRET = "not for anybody else"
CONFIG = Config(
    gateways=16,
    lease_ms=1500,
    budgets=(BudgetPattern(name="rate/*", rate=200.0, burst=40), BudgetPattern(name="open", open=64)),
)
LIMITS = {"rate/a": BudgetLimits(200_000, 40), "open": BudgetLimits(64)}


# --- configuration ---


@pytest.mark.parametrize(
    "text, expected",
    [
        ("", "missing required field `budgets`"),
        ("x = 1", "x"),
        ("budgets = 3", "budgets"),
        ("[[budgets]]\nname = 'a'", "'a' needs rate and burst, or open"),
        ("[[budgets]]\nname = 'a'\nrate = 3", "'a' needs"),
        ("[[budgets]]\nname = 'a'\nopen = 0", "open"),
        ("[[budgets]]\nname = 'a'\nopen = 1\nrate = 2\nburst = 1", "'a' needs"),
        ("lease_ms = 60000\n[[budgets]]\nname = 'a'\nopen = 1", "lease_ms"),
        ("nonsense", "c.toml: "),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "c.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        read_config(path)
    assert expected in str(caught.value) and "\n" not in str(caught.value)


def test_budgets_get_limits_by_the_pattern_of_their_names() -> None:
    assert CONFIG.limits_of("rate/a") == LIMITS["rate/a"] and CONFIG.limits_of("open") == LIMITS["open"]
    assert CONFIG.limits_of("other") is None and CONFIG.limits_of("rate/" + "x" * 200) is None


# --- the journal ---


@pytest.fixture
def fixed_now_ms(monkeypatch: pytest.MonkeyPatch) -> int:
    """Stop the journal's clock, so that no lease ends on a slow machine."""
    now = now_ms()
    monkeypatch.setattr(journal_module, "now_ms", lambda: now)
    return now


def write_grants(folder: Path, now: int, count: int = 6) -> list[int]:
    """Journal `count` grants in a new folder; return the size of the log in bytes after each."""
    begin_history(folder, CONFIG)
    journal = Journal(begin_term(folder))
    state = journal.open(CONFIG).budgets
    state.set_limits("open", LIMITS["open"], now)
    sizes = []
    for serial in range(count):
        request = RenewRequest(
            gateway=serial % 3,
            incarnation=1,
            serial=serial,
            budgets=(BudgetRequest(budget="open", demand=9),),
        )
        response = state.renew(request, now)
        holder = f"{serial % 3}/1"
        journal.append([HolderGrant("open", holder, state.budgets["open"].holdings[holder].issued[-1])])
        assert response.grants
        sizes.append(journal.records.size_bytes)
    journal.close()
    return sizes


def test_no_acknowledged_grant_is_lost_wherever_the_log_is_cut(
    tmp_path: Path, fixed_now_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "fsync", lambda file: None)  # each cut simulates data that was not synced
    sizes = write_grants(tmp_path / "complete", fixed_now_ms)
    complete_log = current_log_path(tmp_path / "complete").read_bytes()
    for cut in range(sizes[2], len(complete_log) + 1):
        journal = Journal(
            begin_term(copy_with_log(tmp_path / "complete", tmp_path / f"{cut}", complete_log[:cut]))
        )
        state = journal.open(CONFIG).budgets
        known = sum(size <= cut for size in sizes)
        assert len(list(state.issued_grants())) == known
        highest = max(issued.grant.fence for issued in state.issued_grants())
        answer = state.renew(
            RenewRequest(
                gateway=9, incarnation=1, serial=0, budgets=(BudgetRequest(budget="open", demand=64),)
            ),
            fixed_now_ms,
        )
        assert answer.grants[0].fence > highest
        assert answer.grants[0].share <= leasable_total(64) - sum(
            holding.reserved for name, holding in state.budgets["open"].holdings.items() if name != "9/1"
        )
        journal.close()


def test_damage_is_reported_in_one_line_and_a_new_folder_waits_for_the_longest_lease(
    tmp_path: Path, fixed_now_ms: int
) -> None:
    sizes = write_grants(tmp_path / "complete", fixed_now_ms)
    data = bytearray(current_log_path(tmp_path / "complete").read_bytes())
    damaged = bytearray(data)
    damaged[sizes[1] + 20] ^= 1
    with pytest.raises(CorruptFileError, match="is damaged at byte") as caught:
        Journal(begin_term(copy_with_log(tmp_path / "complete", tmp_path / "damaged", damaged))).open(CONFIG)
    assert "\n" not in str(caught.value)
    fresh = Journal(begin_term(tmp_path / "other"))
    assert fresh.open(CONFIG).budgets.quiet_until_ms == fixed_now_ms + MAX_LEASE_MS
    third = copy_with_log(tmp_path / "complete", tmp_path / "third", data[: sizes[0]])
    current_log_path(third).with_name("snapshot").unlink()
    with pytest.raises(CorruptFileError, match="is missing, but there is a log"):
        Journal(begin_term(third)).open(CONFIG)


def test_grants_of_another_boot_are_retained_for_the_longest_lease(
    tmp_path: Path, fixed_now_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_grants(tmp_path, fixed_now_ms)
    monkeypatch.setattr(journal_module, "boot_id", lambda: "another")
    journal = Journal(begin_term(tmp_path))
    state = journal.open(CONFIG).budgets
    ends = {issued.grant.until_ms for issued in state.issued_grants()}
    assert ends == {fixed_now_ms + MAX_LEASE_MS} and state.quiet_until_ms == fixed_now_ms + MAX_LEASE_MS
    journal.close()


def issued_grants_of(journal: Journal) -> list[HolderGrant]:
    """Open a journal and return its issued grants in the order of their fencing tokens."""
    return sorted(journal.open(CONFIG).budgets.issued_grants(), key=lambda issued: issued.grant.fence)


def test_a_snapshot_replaces_the_log_and_one_process_leads_in_a_folder(
    tmp_path: Path, fixed_now_ms: int
) -> None:
    write_grants(tmp_path, fixed_now_ms)
    journal = Journal(begin_term(tmp_path))
    before = issued_grants_of(journal)
    assert len(before) == 6 and current_log_path(tmp_path).stat().st_size == 0
    with pytest.raises(FolderLockedError, match="another lease service"):
        begin_term(tmp_path)
    journal.close()
    again = Journal(begin_term(tmp_path))
    assert issued_grants_of(again) == before
    again.close()
    with pytest.raises(FolderLockedError, match="there is a history"):
        begin_history(tmp_path, CONFIG)
    after = Journal(begin_term(tmp_path))  # the failed call has begun a term without a journal
    assert issued_grants_of(after) == before
    after.close()


def test_a_folder_of_a_revision_without_terms_is_continued(tmp_path: Path, fixed_now_ms: int) -> None:
    write_grants(tmp_path / "now", fixed_now_ms)
    (tmp_path / "then").mkdir()
    for name in ("log", "snapshot", "lock"):
        (term_folder(tmp_path / "now", 2) / name).rename(tmp_path / "then" / name)
    journal = Journal(begin_term(tmp_path / "then"))
    assert len(issued_grants_of(journal)) == 6 and [path.name for path in (tmp_path / "then").iterdir()] == [
        "term-1"
    ]
    journal.close()


# --- leadership ---


def test_a_replaced_leader_stops_answering_and_its_successor_has_all_it_answered(
    tmp_path: Path, fixed_now_ms: int
) -> None:
    write_grants(tmp_path, fixed_now_ms)
    old = Journal(begin_term(tmp_path))
    before = issued_grants_of(old)
    answered = HolderGrant("open", "7/1", IssuedGrant(10**18, 3, fixed_now_ms + 1500))
    old.append([answered])
    late = Term(tmp_path, old.term.number)  # as a standby does that polled without a heartbeat
    with pytest.raises(LeadershipLostError, match="taken over"):
        old.append([HolderGrant("open", "8/1", IssuedGrant(10**18 + 1, 3, fixed_now_ms + 1500))])
    assert not old.term.is_current() and late.is_current()
    new = Journal(late)
    known = issued_grants_of(new)
    # A grant that was written and never answered may be in the journal too.
    assert [grant for grant in known if grant.holder != "8/1"] == [*before, answered]
    with pytest.raises(FolderLockedError):
        Term(tmp_path, old.term.number)  # a term begins once
    old.close()
    new.close()
    last = Journal(begin_term(tmp_path))
    assert issued_grants_of(last) == known
    last.close()


def test_a_term_whose_process_died_before_it_answered_anything_is_skipped(
    tmp_path: Path, fixed_now_ms: int
) -> None:
    write_grants(tmp_path, fixed_now_ms)
    for _ in range(3):
        term = begin_term(tmp_path)
        term.close()
    journal = Journal(begin_term(tmp_path))
    assert len(issued_grants_of(journal)) == 6 and [path.name for path in tmp_path.iterdir()] == ["term-6"]
    journal.close()


def test_a_term_whose_process_died_before_it_had_a_lock_is_replaced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("thistletrail.leasing.leadership.POLL_INTERVAL_S", 0.001)
    (tmp_path / "term-4").mkdir()
    term = begin_term(tmp_path)
    assert term.number == 5 and term.is_current()
    term.close()


def test_a_running_revision_without_terms_is_not_replaced(tmp_path: Path) -> None:
    """It sends no heartbeats, and would keep running beside its successor."""
    lock = os.open(tmp_path / "lock", os.O_RDWR | os.O_CREAT)
    fcntl.flock(lock, fcntl.LOCK_EX)
    watch = LeaderWatch(tmp_path)
    assert [watch.ended_term() for _ in range(2 * MAX_POLLS_WITHOUT_HEARTBEAT)] == [
        None
    ] * 2 * MAX_POLLS_WITHOUT_HEARTBEAT
    with pytest.raises(FolderLockedError):
        begin_term(tmp_path)
    os.close(lock)
    assert watch.ended_term() == 0


def test_a_term_ends_when_its_folder_is_removed_and_created_again(tmp_path: Path, fixed_now_ms: int) -> None:
    begin_history(tmp_path / "data", CONFIG)
    old = Journal(begin_term(tmp_path / "data"))
    old.open(CONFIG)
    shutil.rmtree(tmp_path / "data")
    assert not old.term.is_current()
    new = begin_term(tmp_path / "data")
    again = Term(tmp_path / "data", new.number)
    assert again.number == old.term.number and again.is_current()
    with pytest.raises(LeadershipLostError):
        old.append([])
    for closable in (old, new, again):
        closable.close()


def test_a_standby_counts_polls_without_a_heartbeat_and_reads_no_clock(tmp_path: Path) -> None:
    term = begin_term(tmp_path)
    watch = LeaderWatch(tmp_path)
    for number in range(3 * MAX_POLLS_WITHOUT_HEARTBEAT):
        os.utime(term.path, ns=(number, number))
        assert watch.ended_term() is None
    term.heartbeat()
    assert term.path.stat().st_mtime_ns > 3 * MAX_POLLS_WITHOUT_HEARTBEAT and watch.ended_term() is None
    polls = [watch.ended_term() for _ in range(MAX_POLLS_WITHOUT_HEARTBEAT)]
    assert polls == [None] * (MAX_POLLS_WITHOUT_HEARTBEAT - 1) + [1]
    term.close()
    assert LeaderWatch(tmp_path).ended_term() == 1  # its process has ended


def test_a_full_disk_leaves_the_log_unchanged(
    tmp_path: Path, fixed_now_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_grants(tmp_path, fixed_now_ms)
    journal = Journal(begin_term(tmp_path))
    state = journal.open(CONFIG).budgets
    journal.append(list(state.issued_grants())[:1])
    size = current_log_path(tmp_path).stat().st_size

    def fail_fsync(file: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail_fsync)
    with pytest.raises(WriteFailedError, match="No space left"):
        journal.append(list(state.issued_grants())[:1])
    monkeypatch.undo()
    assert size > 0 and current_log_path(tmp_path).stat().st_size == size
    journal.close()


# --- the HTTP interface, and several processes ---


@dataclass
class Fleet:
    """A lease service with standbys, and holders; each is a separate process."""

    folder: Path
    services: list[Process] = field(default_factory=list)
    standbys: list[subprocess.Popen[bytes]] = field(default_factory=list)
    addresses: list[tuple[str, int]] = field(default_factory=list)
    holders: dict[int, Process] = field(default_factory=dict)
    started_holders: int = 0

    def arguments(self, number: int) -> tuple[str, ...]:
        host, port = self.addresses[number]
        return (
            "-m",
            "thistletrail.leasing",
            "serve",
            "--data",
            str(self.folder / "data"),
            "--config",
            str(self.folder / "c.toml"),
            "--secret",
            str(self.folder / "secret"),
            "--listen",
            f"{host}:{port}",
            "--standby",
        )

    async def start_service(self, number: int) -> Process:
        """Start a lease service, and wait until it serves."""
        process, _ = await start_program(self.arguments(number), self.folder / f"service-{number}.log")
        self.services.append(process)
        return process

    def start_standby(self, number: int) -> None:
        """Start a standby without waiting; it serves once the leader has ended."""
        self.standbys.append(
            subprocess.Popen(
                [sys.executable, *self.arguments(number)],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        )

    def kill_standbys(self) -> None:
        for process in self.standbys:
            process.kill()
            process.wait()
        self.standbys.clear()

    def has_grants_after(self, after_ms: int, min_share: int = 50) -> bool:
        """Return whether holders have `min_share` by grants that were all adopted after `after_ms`."""
        return self.usable_share("open") >= min_share and all(
            record["at"] > after_ms for record in self.latest_grants("open").values()
        )

    async def start_holder(self, gateway: int, demand: int = 1000) -> None:
        self.started_holders += 1
        settings = {
            "door": gateway,
            "mark": self.started_holders,
            "doors": 16,
            "addresses": self.addresses,
            "secret": SECRET,
            "lease_ms": CONFIG.lease_ms,
            "budgets": {name: [limits.total, limits.burst] for name, limits in LIMITS.items()},
            "demands": {"rate/a": demand * 1000, "open": demand},
            "history": str(self.folder / f"holder-{self.started_holders}.jsonl"),
        }
        path = self.folder / f"holder-{self.started_holders}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.holders[gateway], _ = await start_program(
            ("-m", "thistletrail.benchmarks.holders", str(path)), self.folder / "log"
        )

    def records(self) -> list[dict]:
        """Return the records of all holders by time."""
        records = [
            msgspec.json.decode(line)
            for path in self.folder.glob("holder-*.jsonl")
            for line in path.read_bytes().splitlines()
        ]
        return sorted(records, key=lambda record: record["at"])

    def usable_share(self, budget: str, gateway: int | None = None) -> int:
        """Return the sum of the shares that all holders, or only `gateway`, may use now by their records."""
        now = now_ms()
        return sum(
            record["part"]
            for (holder_id, _), record in self.latest_grants(budget).items()
            if record["until"] > now and gateway in (None, holder_id)
        )

    def latest_grants(self, budget: str) -> dict[tuple[int, int], dict]:
        """Return each holder's latest record of a grant."""
        return {
            (record["door"], record["mark"]): record
            for record in self.records()
            if record["kind"] == "held" and record["budget"] == budget
        }

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition is true; raise TimeoutError after 30 s."""
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def running_fleet(folder: Path, holders: int) -> AsyncIterator[Fleet]:
    """Start a lease service, two standbys and `holders` holders; kill them at the end."""
    hosts = [f"127.77.{os.getpid() % 256}.{number}" for number in (1, 2, 3)]
    fleet = Fleet(folder, addresses=[(host, free_port(host=host)) for host in hosts])
    (folder / "c.toml").write_text(
        "doors = 16\nlease_ms = 1500\n[[budgets]]\nname = 'rate/*'\nrate = 200.0\nburst = 40\n"
        "[[budgets]]\nname = 'open'\nopen = 64\n"
    )
    (folder / "secret").write_text(SECRET)
    begin_history(folder / "data", CONFIG)
    try:
        await fleet.start_service(0)
        fleet.start_standby(1)
        fleet.start_standby(2)
        await asyncio.gather(*(fleet.start_holder(gateway) for gateway in range(holders)))
        yield fleet
    finally:
        for process in (*fleet.services, *fleet.holders.values()):
            process.kill()
            await process.process.wait()
        fleet.kill_standbys()


def max_usable_share(records: list[dict], budget: str) -> int:
    """Return the largest sum of shares that all holders could use at any moment.

    Each grant counts until its holder adopts a later one, or its lease ends.
    """
    deltas, current = [], {}
    for record in records:
        if record["kind"] == "held" and record["budget"] == budget:
            holder_id = record["door"], record["mark"]
            if holder_id in current:
                adopted_ms, until_ms, share = current.pop(holder_id)
                deltas += [(adopted_ms, share), (min(until_ms, record["at"]), -share)]
            current[holder_id] = record["at"], record["until"], record["part"]
    for adopted_ms, until_ms, share in current.values():
        deltas += [(adopted_ms, share), (until_ms, -share)]
    maximum = total = 0
    for _, delta in sorted(deltas):
        total += delta
        maximum = max(maximum, total)
    return maximum


def overspent_units(records: list[dict], budget: str) -> float:
    """Return by how many units the spends exceeded one token bucket with the budget's rate and burst."""
    spent_ms = [
        record["at"] for record in records if record["kind"] == "spent" and record["budget"] == budget
    ]
    limits, lowest_level = LIMITS[budget], 0.0
    bucket = TokenBucket(limits.total / 1000, limits.burst, spent_ms[0] * 1000 if spent_ms else 0)
    for time_ms in spent_ms:
        lowest_level = min(lowest_level, bucket.overdraw(1.0, time_ms * 1000))
    return -lowest_level


def assert_within_total(fleet: Fleet) -> None:
    records = fleet.records()
    assert max_usable_share(records, "open") <= leasable_total(64)
    assert max_usable_share(records, "rate/a") <= leasable_total(200_000)
    assert overspent_units(records, "rate/a") <= 1.0  # times are recorded in whole milliseconds
    fences = [record["fence"] for record in records if record["kind"] == "held"]
    assert len(set(fences)) == len(fences)


def run_with_fleet(scenario: Callable[[Fleet], object], folder: Path, holders: int) -> None:
    """Run a scenario with lease services and `holders` holders; assert that no total was exceeded."""

    async def run_and_check() -> None:
        async with running_fleet(folder, holders) as fleet:
            await scenario(fleet)
        assert_within_total(fleet)

    asyncio.run(run_and_check())


def test_a_standby_continues_all_grants_when_the_leader_is_killed(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.wait_until(lambda: fleet.usable_share("open") >= 50)
        for process in fleet.services:
            process.kill()
        killed_ms = now_ms()
        await fleet.wait_until(
            lambda: any(
                record["kind"] == "held" and record["at"] > killed_ms + 200 for record in fleet.records()
            )
        )
        await fleet.wait_until(lambda: fleet.usable_share("open") >= 50)

    run_with_fleet(scenario, tmp_path, 6)


def test_a_leader_that_hangs_is_replaced_and_becomes_a_standby_when_it_resumes(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.wait_until(lambda: fleet.usable_share("open") >= 50)
        fleet.services[0].process.send_signal(signal.SIGSTOP)
        stopped_ms = now_ms()
        await fleet.wait_until(lambda: fleet.has_grants_after(stopped_ms + 1500))
        fleet.services[0].process.send_signal(signal.SIGCONT)  # with requests in progress
        resumed_ms = now_ms()
        await fleet.wait_until(lambda: fleet.has_grants_after(resumed_ms))
        fleet.kill_standbys()  # the former leader is a standby now, and the only process left
        killed_ms = now_ms()
        await fleet.wait_until(lambda: fleet.has_grants_after(killed_ms + 1500))

    run_with_fleet(scenario, tmp_path, 6)


def test_shares_stay_within_the_total_when_lease_services_are_killed_at_any_moment(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.wait_until(lambda: fleet.usable_share("open") >= 50)
        for turn in range(6):
            await asyncio.sleep(0.11 * turn)
            if turn % 2:  # one process, whether it is the leader or not
                fleet.standbys[turn % len(fleet.standbys)].kill()
            else:
                for process in (*fleet.services, *fleet.standbys):
                    process.kill()
            fleet.start_standby(turn % 3)
            fleet.start_standby((turn + 1) % 3)
        killed_ms = now_ms()
        await fleet.wait_until(lambda: fleet.has_grants_after(killed_ms))

    run_with_fleet(scenario, tmp_path, 5)


def test_after_the_loss_of_the_folder_a_successor_waits_for_the_longest_lease(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.wait_until(lambda: fleet.usable_share("open") >= 50)
        (fleet.folder / "data").rename(fleet.folder / "removed")
        lost_ms = now_ms()
        await fleet.wait_until(lambda: fleet.has_grants_after(lost_ms + MAX_LEASE_MS))
        # Grants that were requested after the loss; a holder stops 2% before its lease ends.
        later = [
            record["at"]
            for record in fleet.records()
            if record["kind"] == "held" and record["until"] - CONFIG.lease_ms * 49 // 50 > lost_ms
        ]
        assert min(later) >= lost_ms + MAX_LEASE_MS

    run_with_fleet(scenario, tmp_path, 4)


def test_shares_of_dead_and_paused_holders_go_to_others_and_are_never_used_twice(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.wait_until(lambda: fleet.usable_share("open") >= 50)
        fleet.holders[0].process.send_signal(signal.SIGSTOP)
        for gateway in (1, 2):
            fleet.holders[gateway].kill()
            await fleet.holders[gateway].process.wait()
        await fleet.start_holder(1)  # restarts within the lease of its old incarnation
        # Three of five holders run, and get the shares of the dead and the paused holder.
        await fleet.wait_until(lambda: fleet.usable_share("open", 3) >= 17)
        assert fleet.usable_share("open", 0) == 0
        fleet.holders[0].process.send_signal(signal.SIGCONT)
        await fleet.wait_until(lambda: fleet.usable_share("open", 0) >= 8)

    run_with_fleet(scenario, tmp_path, 5)


def test_shares_stay_within_the_total_when_all_processes_are_killed_and_restarted(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.wait_until(lambda: fleet.usable_share("open") >= 50)
        for process in (*fleet.services, *fleet.holders.values()):
            process.kill()
        await asyncio.gather(*(fleet.start_holder(gateway) for gateway in range(5)))
        incarnations = set(range(6, 11))
        await fleet.wait_until(
            lambda: incarnations
            <= {record["mark"] for record in fleet.records() if record["kind"] == "held" and record["part"]}
        )

    run_with_fleet(scenario, tmp_path, 5)


def test_calls_without_the_secret_are_rejected(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        host, port = fleet.addresses[0]
        url = f"http://{host}:{port}"
        request_body = msgspec.msgpack.encode(
            RenewRequest(
                gateway=0, incarnation=1, serial=1, budgets=(BudgetRequest(budget="open", demand=5),)
            )
        )
        async with ClientSession() as session:
            for headers in ({}, {SIGNATURE_HEADER: "0"}, {SIGNATURE_HEADER: sign(b"x" * 16, request_body)}):
                async with session.post(url + RENEW_PATH, data=request_body, headers=headers) as answer:
                    assert answer.status == 403 and b"secret" in await answer.read()
            async with session.get(f"{url}/status") as answer:
                assert answer.status == 403
            secret = SECRET.encode()
            async with session.post(
                url + RENEW_PATH, data=request_body, headers={SIGNATURE_HEADER: sign(secret, request_body)}
            ) as answer:
                response_body = await answer.read()
                assert answer.status == 200 and answer.headers[SIGNATURE_HEADER] == sign(
                    secret, response_body
                )
                assert msgspec.msgpack.decode(response_body, type=RenewResponse).grants[0].share > 0
            for body, status in ((b"nonsense", 400), (b"\x00" * (1 << 20), 413)):
                signed = {SIGNATURE_HEADER: sign(secret, body)}
                async with session.post(url + RENEW_PATH, data=body, headers=signed) as answer:
                    assert answer.status == status
            async with session.get(
                f"{url}/status", headers={SIGNATURE_HEADER: sign(secret, b"/status")}
            ) as answer:
                assert (await answer.json())["budgets"]["open"]["whole"] == 64

    run_with_fleet(scenario, tmp_path, 0)


def test_work_streams_need_the_secret_and_answer_invalid_requests_with_a_text(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        address, secret = fleet.addresses[0], SECRET.encode()
        stranger = WorkStream(address, b"x" * 16)
        with pytest.raises(ServiceUnavailableError, match="403"):
            await stranger.call(WorkRequest(gateway=0, incarnation=1, serial=1))
        stranger.close()
        stream = WorkStream(address, secret)
        with pytest.raises(ServiceUnavailableError, match="not a work request"):
            await stream.call({"door": "none"})
        with pytest.raises(ServiceUnavailableError, match="numbered"):
            await stream.call(WorkRequest(gateway=-1, incarnation=1, serial=1))
        many = tuple(ReleaseWork(name="n", fence=1) for _ in range(MAX_OPERATIONS + 1))
        with pytest.raises(ServiceUnavailableError, match=f"{MAX_OPERATIONS} ops at most"):
            await stream.call(WorkRequest(gateway=0, incarnation=1, serial=1, operations=many))
        # All of this is on one connection, which stays open.
        begin_work = BeginWork(
            name="n",
            request_id="i",
            digest="d",
            customer="c",
            effect=WorkEffect.KEYED,
            left_ms=60_000,
            window_ms=60_000,
            request=b"r",
            server="s",
            place="p",
        )
        answer = msgspec.msgpack.decode(
            await stream.call(WorkRequest(gateway=0, incarnation=1, serial=2, operations=(begin_work,))),
            type=WorkResponse,
        )
        assert [result.status for result in answer.results] == ["kept"]
        stream.close()
        # The status command.
        (tmp_path / "s").write_text(SECRET)
        (tmp_path / "x").write_text("x" * 16)
        host_and_port = "{}:{}".format(*address)
        command = [sys.executable, "-m", "thistletrail.leasing", "status", "--at", host_and_port, "--secret"]
        for arguments, code, expected in (
            (["s"], 0, '"intents": 1'),
            (["s", "--parked"], 0, "[]"),
            (["x"], 1, "not signed"),
        ):
            result = await asyncio.to_thread(
                subprocess.run,
                [*command, str(tmp_path / arguments[0]), *arguments[1:]],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
            assert result.returncode == code and expected in result.stdout + result.stderr
            assert "Traceback" not in result.stderr

    run_with_fleet(scenario, tmp_path, 0)


@pytest.mark.parametrize(
    "arguments, expected",
    [
        (["serve", "--data", "x", "--config", "/nowhere", "--secret", "/nowhere"], "No such file"),
        (["serve"], "Missing option"),
        (["bogus"], "No such command"),
    ],
)
def test_invalid_arguments_are_reported_without_a_traceback(
    arguments: list[str], expected: str, tmp_path: Path
) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "thistletrail.leasing", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert result.returncode != 0 and expected in result.stderr and "Traceback" not in result.stderr


def test_the_check_command_reports_each_model() -> None:
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "thistletrail.leasing",
            "check",
            "--gateways",
            "2",
            "--depth",
            "3",
            "--walks",
            "2",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 0 and result.stdout.count("states to depth 3") == 5
