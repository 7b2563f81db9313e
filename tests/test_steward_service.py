"""The steward's service: its log over crashes, its wire, a standby, several processes with faults between."""

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

from tests.helpers import copied, log_of
from thistletrail.benchmarks.process import ROOT, Process, free_port, start_program
from thistletrail.leasing import book as books
from thistletrail.leasing.book import Book, begin
from thistletrail.leasing.client import CallError, Stream
from thistletrail.leasing.config import Config, ConfigError, Kind, read
from thistletrail.leasing.messages import MOST_OPS, Answer, Ask, Begin, Leave, Want, WorkAnswer, WorkAsk
from thistletrail.leasing.state import MOST_LEASE_MS, Issued, Terms, granted
from thistletrail.leasing.tenure import (
    MOST_LOOKS,
    LockedError,
    LostError,
    Tenure,
    Watch,
    claim,
    place,
)
from thistletrail.leasing.wire import PATH, SIGNATURE, now_ms, sign
from thistletrail.simulation.ledger import Store
from thistletrail.write_ahead_log.record_file import CorruptFileError, WriteFailedError

SECRET = "not for anybody else"
CONFIG = Config(
    doors=16, lease_ms=1500, budgets=(Kind(name="rate/*", rate=200.0, burst=40), Kind(name="open", open=64))
)
TERMS = {"rate/a": Terms(200_000, 40), "open": Terms(64)}


# --- configuration ---


@pytest.mark.parametrize(
    "text, said",
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
def test_what_is_wrong_with_a_configuration_is_one_line(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "c.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        read(path)
    assert said in str(caught.value) and "\n" not in str(caught.value)


def test_budgets_are_known_by_the_form_of_their_names() -> None:
    assert CONFIG.terms_of("rate/a") == TERMS["rate/a"] and CONFIG.terms_of("open") == TERMS["open"]
    assert CONFIG.terms_of("other") is None and CONFIG.terms_of("rate/" + "x" * 200) is None


# --- the log ---


@pytest.fixture
def still(monkeypatch: pytest.MonkeyPatch) -> int:
    """A clock that stands still, so that no lease is over however slow the machine is."""
    now = now_ms()
    monkeypatch.setattr(books, "now_ms", lambda: now)
    return now


def grown(folder: Path, now: int, count: int = 6) -> list[int]:
    """A folder with some acknowledged grants; the log's size after each."""
    begin(folder, CONFIG)
    book = Book(claim(folder))
    state, _ = book.open(CONFIG)
    state.set_terms("open", TERMS["open"], now)
    sizes = []
    for serial in range(count):
        ask = Ask(door=serial % 3, mark=1, serial=serial, wants=(Want(budget="open", demand=9),))
        answer = state.ask(ask, now)
        holder = f"{serial % 3}/1"
        book.append([("open", holder, state.budgets["open"].holdings[holder].issued[-1])])
        assert answer.grants
        sizes.append(book.records.size_bytes)
    book.close()
    return sizes


def test_no_acknowledged_grant_is_lost_wherever_the_log_is_cut(
    tmp_path: Path, still: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "fsync", lambda file: None)  # what a sync would keep is cut off here
    sizes = grown(tmp_path / "whole", still)
    whole = log_of(tmp_path / "whole").read_bytes()
    for cut in range(sizes[2], len(whole) + 1):
        book = Book(claim(copied(tmp_path / "whole", tmp_path / f"{cut}", whole[:cut])))
        state, _ = book.open(CONFIG)
        known = sum(size <= cut for size in sizes)
        assert len(list(state.issued())) == known
        highest = max(one.fence for _, _, one in state.issued())
        answer = state.ask(Ask(door=9, mark=1, serial=0, wants=(Want(budget="open", demand=64),)), still)
        assert answer.grants[0].fence > highest
        assert answer.grants[0].part <= granted(64) - sum(
            holding.bound for name, holding in state.budgets["open"].holdings.items() if name != "9/1"
        )
        book.close()


def test_damage_is_one_line_and_a_lost_folder_waits_for_the_longest_lease(tmp_path: Path, still: int) -> None:
    sizes = grown(tmp_path / "whole", still)
    data = bytearray(log_of(tmp_path / "whole").read_bytes())
    damaged = bytearray(data)
    damaged[sizes[1] + 20] ^= 1
    with pytest.raises(CorruptFileError, match="is damaged at byte") as caught:
        Book(claim(copied(tmp_path / "whole", tmp_path / "damaged", damaged))).open(CONFIG)
    assert "\n" not in str(caught.value)
    fresh = Book(claim(tmp_path / "other"))
    assert fresh.open(CONFIG)[0].quiet_until_ms == still + MOST_LEASE_MS
    third = copied(tmp_path / "whole", tmp_path / "third", data[: sizes[0]])
    log_of(third).with_name("snapshot").unlink()
    with pytest.raises(CorruptFileError, match="is missing, but there is a log"):
        Book(claim(third)).open(CONFIG)


def test_what_was_granted_before_a_restart_of_the_machine_has_the_longest_lease(
    tmp_path: Path, still: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    grown(tmp_path, still)
    monkeypatch.setattr(books, "boot", lambda: "another")
    book = Book(claim(tmp_path))
    state, _ = book.open(CONFIG)
    ends = {one.until_ms for _, _, one in state.issued()}
    assert ends == {still + MOST_LEASE_MS} and state.quiet_until_ms == still + MOST_LEASE_MS
    book.close()


def held_by(book: Book) -> list[tuple[str, str, Issued]]:
    return sorted(book.open(CONFIG)[0].issued(), key=lambda one: one[2].fence)


def test_a_snapshot_takes_the_logs_place_and_one_process_has_a_folder(tmp_path: Path, still: int) -> None:
    grown(tmp_path, still)
    book = Book(claim(tmp_path))
    before = held_by(book)
    assert len(before) == 6 and log_of(tmp_path).stat().st_size == 0
    with pytest.raises(LockedError, match="another steward"):
        claim(tmp_path)
    book.close()
    again = Book(claim(tmp_path))
    assert held_by(again) == before
    again.close()
    with pytest.raises(LockedError, match="there is a history"):
        begin(tmp_path, CONFIG)
    after = Book(claim(tmp_path))  # which has begun a term, and told nobody anything
    assert held_by(after) == before
    after.close()


def test_a_folder_from_before_there_were_terms_is_gone_on_with(tmp_path: Path, still: int) -> None:
    grown(tmp_path / "now", still)
    (tmp_path / "then").mkdir()
    for name in ("log", "snapshot", "lock"):
        (place(tmp_path / "now", 2) / name).rename(tmp_path / "then" / name)
    book = Book(claim(tmp_path / "then"))
    assert len(held_by(book)) == 6 and [path.name for path in (tmp_path / "then").iterdir()] == ["term-1"]
    book.close()


# --- terms of office ---


def test_who_was_passed_over_keeps_nothing_more_and_its_successor_knows_all_it_told(
    tmp_path: Path, still: int
) -> None:
    grown(tmp_path, still)
    old = Book(claim(tmp_path))
    before = held_by(old)
    told = ("open", "7/1", Issued(10**18, 3, still + 1500))
    old.append([told])
    late = Tenure(tmp_path, old.tenure.number)  # as a standby that has seen no sign of life
    with pytest.raises(LostError, match="taken over"):
        old.append([("open", "8/1", Issued(10**18 + 1, 3, still + 1500))])
    assert not old.tenure.holds() and late.holds()
    new = Book(late)
    known = held_by(new)
    # What was kept and never told may be there too.
    assert [one for one in known if one[1] != "8/1"] == [*before, told]
    with pytest.raises(LockedError):
        Tenure(tmp_path, old.tenure.number)  # for one process alone
    old.close()
    new.close()
    last = Book(claim(tmp_path))
    assert held_by(last) == known
    last.close()


def test_a_term_whose_process_died_before_it_told_anything_is_passed_over(tmp_path: Path, still: int) -> None:
    grown(tmp_path, still)
    for _ in range(3):
        tenure = claim(tmp_path)
        tenure.end()
    book = Book(claim(tmp_path))
    assert len(held_by(book)) == 6 and [path.name for path in tmp_path.iterdir()] == ["term-6"]
    book.close()


def test_a_process_that_died_before_it_had_a_lock_keeps_nobody_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("thistletrail.leasing.tenure.LOOK_S", 0.001)
    (tmp_path / "term-4").mkdir()
    tenure = claim(tmp_path)
    assert tenure.number == 5 and tenure.holds()
    tenure.end()


def test_a_program_from_before_there_were_terms_is_not_passed_over(tmp_path: Path) -> None:
    """It gives no signs of life, and would go on beside its successor."""
    lock = os.open(tmp_path / "lock", os.O_RDWR | os.O_CREAT)
    fcntl.flock(lock, fcntl.LOCK_EX)
    watch = Watch(tmp_path)
    assert [watch.over() for _ in range(2 * MOST_LOOKS)] == [None] * 2 * MOST_LOOKS
    with pytest.raises(LockedError):
        claim(tmp_path)
    os.close(lock)
    assert watch.over() == 0


def test_a_folder_that_was_lost_and_made_again_is_not_the_same_term(tmp_path: Path, still: int) -> None:
    begin(tmp_path / "data", CONFIG)
    old = Book(claim(tmp_path / "data"))
    old.open(CONFIG)
    shutil.rmtree(tmp_path / "data")
    assert not old.tenure.holds()
    new = claim(tmp_path / "data")
    again = Tenure(tmp_path / "data", new.number)
    assert again.number == old.tenure.number and again.holds()
    with pytest.raises(LostError):
        old.append([])
    for one in (old, new, again):
        (one.close if isinstance(one, Book) else one.end)()


def test_a_standby_goes_by_signs_of_life_and_not_by_its_own_time(tmp_path: Path) -> None:
    tenure = claim(tmp_path)
    watch = Watch(tmp_path)
    for number in range(3 * MOST_LOOKS):
        os.utime(tenure.place, ns=(number, number))
        assert watch.over() is None
    tenure.beat()
    assert tenure.place.stat().st_mtime_ns > 3 * MOST_LOOKS and watch.over() is None
    looks = [watch.over() for _ in range(MOST_LOOKS)]
    assert looks == [None] * (MOST_LOOKS - 1) + [1]  # none was seen in so many looks
    tenure.end()
    assert Watch(tmp_path).over() == 1  # its process has ended


def test_a_full_disk_leaves_the_log_as_it_was(
    tmp_path: Path, still: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    grown(tmp_path, still)
    book = Book(claim(tmp_path))
    state, _ = book.open(CONFIG)
    book.append(list(state.issued())[:1])
    size = log_of(tmp_path).stat().st_size

    def full(file: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(WriteFailedError, match="No space left"):
        book.append(list(state.issued())[:1])
    monkeypatch.undo()
    assert size > 0 and log_of(tmp_path).stat().st_size == size
    book.close()


# --- the wire, and several processes ---


@dataclass
class Fleet:
    """A steward with its standbys, and holders, each a process of its own."""

    folder: Path
    stewards: list[Process] = field(default_factory=list)
    standbys: list[subprocess.Popen[bytes]] = field(default_factory=list)
    addresses: list[tuple[str, int]] = field(default_factory=list)
    holders: dict[int, Process] = field(default_factory=dict)
    starts: int = 0

    def words(self, number: int) -> tuple[str, ...]:
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

    async def steward(self, number: int) -> Process:
        """Started, and waited for until it serves."""
        process, _ = await start_program(self.words(number), self.folder / f"steward-{number}.log")
        self.stewards.append(process)
        return process

    def standby(self, number: int) -> None:
        """Started, and not waited for: it serves once the other has gone."""
        self.standbys.append(
            subprocess.Popen(
                [sys.executable, *self.words(number)],
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

    def granted_after(self, moment: int, part: int = 50) -> bool:
        """Whether so much is held by grants that were all taken over later than that."""
        return self.held("open") >= part and all(
            record["at"] > moment for record in self.last("open").values()
        )

    async def holder(self, door: int, demand: int = 1000) -> None:
        self.starts += 1
        told = {
            "door": door,
            "mark": self.starts,
            "doors": 16,
            "addresses": self.addresses,
            "secret": SECRET,
            "lease_ms": CONFIG.lease_ms,
            "budgets": {name: [terms.whole, terms.burst] for name, terms in TERMS.items()},
            "demands": {"rate/a": demand * 1000, "open": demand},
            "history": str(self.folder / f"holder-{self.starts}.jsonl"),
        }
        path = self.folder / f"holder-{self.starts}.json"
        path.write_bytes(msgspec.json.encode(told))
        self.holders[door], _ = await start_program(
            ("-m", "thistletrail.benchmarks.holders", str(path)), self.folder / "log"
        )

    def records(self) -> list[dict]:
        found = [
            msgspec.json.decode(line)
            for path in self.folder.glob("holder-*.jsonl")
            for line in path.read_bytes().splitlines()
        ]
        return sorted(found, key=lambda record: record["at"])

    def held(self, budget: str, door: int | None = None) -> int:
        """What holders may use now, by what they noted."""
        now = now_ms()
        return sum(
            record["part"]
            for (who, _), record in self.last(budget).items()
            if record["until"] > now and door in (None, who)
        )

    def last(self, budget: str) -> dict[tuple[int, int], dict]:
        """Each holder's last grant."""
        return {
            (record["door"], record["mark"]): record
            for record in self.records()
            if record["kind"] == "held" and record["budget"] == budget
        }

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(30):
            while not holds():
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def fleet(folder: Path, holders: int) -> AsyncIterator[Fleet]:
    hosts = [f"127.77.{os.getpid() % 256}.{number}" for number in (1, 2, 3)]
    found = Fleet(folder, addresses=[(host, free_port(host=host)) for host in hosts])
    (folder / "c.toml").write_text(
        "doors = 16\nlease_ms = 1500\n[[budgets]]\nname = 'rate/*'\nrate = 200.0\nburst = 40\n"
        "[[budgets]]\nname = 'open'\nopen = 64\n"
    )
    (folder / "secret").write_text(SECRET)
    begin(folder / "data", CONFIG)
    try:
        await found.steward(0)
        found.standby(1)
        found.standby(2)
        await asyncio.gather(*(found.holder(door) for door in range(holders)))
        yield found
    finally:
        for process in (*found.stewards, *found.holders.values()):
            process.kill()
            await process.process.wait()
        found.kill_standbys()


def most_held(records: list[dict], budget: str) -> int:
    """The most that all holders together believed in at any moment: each grant counts until it is left behind
    by a later one of its holder, or its lease is over."""
    changes, open_ = [], {}
    for record in records:
        if record["kind"] == "held" and record["budget"] == budget:
            who = record["door"], record["mark"]
            if who in open_:
                at, until, part = open_.pop(who)
                changes += [(at, part), (min(until, record["at"]), -part)]
            open_[who] = record["at"], record["until"], record["part"]
    for at, until, part in open_.values():
        changes += [(at, part), (until, -part)]
    most = total = 0
    for _, change in sorted(changes):
        total += change
        most = max(most, total)
    return most


def overdrawn(records: list[dict], budget: str) -> float:
    """By how much all that was spent ever went beyond one store of the whole."""
    spent = [record["at"] for record in records if record["kind"] == "spent" and record["budget"] == budget]
    terms, worst = TERMS[budget], 0.0
    store = Store(terms.whole / 1000, terms.burst, spent[0] * 1000 if spent else 0)
    for at in spent:
        worst = min(worst, store.force(1.0, at * 1000))
    return -worst


def kept_within(found: Fleet) -> None:
    records = found.records()
    assert most_held(records, "open") <= granted(64)
    assert most_held(records, "rate/a") <= granted(200_000)
    assert overdrawn(records, "rate/a") <= 1.0  # times are noted in whole milliseconds
    fences = [record["fence"] for record in records if record["kind"] == "held"]
    assert len(set(fences)) == len(fences)


def run(job: Callable[[Fleet], object], folder: Path, holders: int) -> None:
    async def act() -> None:
        async with fleet(folder, holders) as found:
            await job(found)
        kept_within(found)

    asyncio.run(act())


def test_a_standby_goes_on_with_all_grants_when_the_steward_is_killed(tmp_path: Path) -> None:
    async def act(found: Fleet) -> None:
        await found.until(lambda: found.held("open") >= 50)
        for process in found.stewards:
            process.kill()
        died = now_ms()
        await found.until(
            lambda: any(record["kind"] == "held" and record["at"] > died + 200 for record in found.records())
        )
        await found.until(lambda: found.held("open") >= 50)

    run(act, tmp_path, 6)


def test_a_steward_that_hangs_is_passed_over_and_harms_nobody_when_it_wakes(tmp_path: Path) -> None:
    async def act(found: Fleet) -> None:
        await found.until(lambda: found.held("open") >= 50)
        found.stewards[0].process.send_signal(signal.SIGSTOP)
        stopped = now_ms()
        await found.until(lambda: found.granted_after(stopped + 1500))
        found.stewards[0].process.send_signal(signal.SIGCONT)  # with asks in hand
        woke = now_ms()
        await found.until(lambda: found.granted_after(woke))
        found.kill_standbys()  # it stands by, and is the last one that is left
        killed = now_ms()
        await found.until(lambda: found.granted_after(killed + 1500))

    run(act, tmp_path, 6)


def test_three_stewards_killed_one_by_one_and_all_at_once_at_any_moment(tmp_path: Path) -> None:
    async def act(found: Fleet) -> None:
        await found.until(lambda: found.held("open") >= 50)
        for turn in range(6):
            await asyncio.sleep(0.11 * turn)
            if turn % 2:  # one of them, whichever has the office
                found.standbys[turn % len(found.standbys)].kill()
            else:
                for process in (*found.stewards, *found.standbys):
                    process.kill()
            found.standby(turn % 3)
            found.standby((turn + 1) % 3)
        killed = now_ms()
        await found.until(lambda: found.granted_after(killed))

    run(act, tmp_path, 5)


def test_a_folder_lost_under_a_living_steward_is_waited_out_by_whoever_comes(tmp_path: Path) -> None:
    async def act(found: Fleet) -> None:
        await found.until(lambda: found.held("open") >= 50)
        (found.folder / "data").rename(found.folder / "gone")
        lost = now_ms()
        await found.until(lambda: found.granted_after(lost + MOST_LEASE_MS))
        # What was asked for since then: a lease ends 2% early.
        later = [
            record["at"]
            for record in found.records()
            if record["kind"] == "held" and record["until"] - CONFIG.lease_ms * 49 // 50 > lost
        ]
        assert min(later) >= lost + MOST_LEASE_MS

    run(act, tmp_path, 4)


def test_parts_of_the_dead_and_the_paused_are_used_elsewhere_and_never_twice(tmp_path: Path) -> None:
    async def act(found: Fleet) -> None:
        await found.until(lambda: found.held("open") >= 50)
        found.holders[0].process.send_signal(signal.SIGSTOP)
        for door in (1, 2):
            found.holders[door].kill()
            await found.holders[door].process.wait()
        await found.holder(1)  # back under a new mark, within the lease of the old one
        # Three are left of five: what the dead and the paused one had goes to them.
        await found.until(lambda: found.held("open", 3) >= 17)
        assert found.held("open", 0) == 0
        found.holders[0].process.send_signal(signal.SIGCONT)
        await found.until(lambda: found.held("open", 0) >= 8)

    run(act, tmp_path, 5)


def test_all_killed_at_once_come_back_within_the_whole(tmp_path: Path) -> None:
    async def act(found: Fleet) -> None:
        await found.until(lambda: found.held("open") >= 50)
        for process in (*found.stewards, *found.holders.values()):
            process.kill()
        await asyncio.gather(*(found.holder(door) for door in range(5)))
        marks = set(range(6, 11))
        await found.until(
            lambda: marks
            <= {record["mark"] for record in found.records() if record["kind"] == "held" and record["part"]}
        )

    run(act, tmp_path, 5)


def test_who_lacks_the_secret_is_told_nothing(tmp_path: Path) -> None:
    async def act(found: Fleet) -> None:
        host, port = found.addresses[0]
        url = f"http://{host}:{port}"
        ask = msgspec.msgpack.encode(Ask(door=0, mark=1, serial=1, wants=(Want(budget="open", demand=5),)))
        async with ClientSession() as session:
            for headers in ({}, {SIGNATURE: "0"}, {SIGNATURE: sign(b"x" * 16, ask)}):
                async with session.post(url + PATH, data=ask, headers=headers) as answer:
                    assert answer.status == 403 and b"secret" in await answer.read()
            async with session.get(f"{url}/status") as answer:
                assert answer.status == 403
            secret = SECRET.encode()
            async with session.post(url + PATH, data=ask, headers={SIGNATURE: sign(secret, ask)}) as answer:
                said = await answer.read()
                assert answer.status == 200 and answer.headers[SIGNATURE] == sign(secret, said)
                assert msgspec.msgpack.decode(said, type=Answer).grants[0].part > 0
            for body, status in ((b"nonsense", 400), (b"\x00" * (1 << 20), 413)):
                signed = {SIGNATURE: sign(secret, body)}
                async with session.post(url + PATH, data=body, headers=signed) as answer:
                    assert answer.status == status
            async with session.get(f"{url}/status", headers={SIGNATURE: sign(secret, b"/status")}) as answer:
                assert (await answer.json())["budgets"]["open"]["whole"] == 64

    run(act, tmp_path, 0)


def test_a_call_on_work_is_for_who_has_the_secret_and_nonsense_is_one_sentence(tmp_path: Path) -> None:
    async def act(found: Fleet) -> None:
        address, secret = found.addresses[0], SECRET.encode()
        stranger = Stream(address, b"x" * 16)
        with pytest.raises(CallError, match="403"):
            await stranger.call(WorkAsk(door=0, mark=1, serial=1))
        stranger.close()
        stream = Stream(address, secret)
        with pytest.raises(CallError, match="no ask"):
            await stream.call({"door": "none"})
        with pytest.raises(CallError, match="numbered"):
            await stream.call(WorkAsk(door=-1, mark=1, serial=1))
        many = tuple(Leave(name="n", fence=1) for _ in range(MOST_OPS + 1))
        with pytest.raises(CallError, match=f"{MOST_OPS} ops at most"):
            await stream.call(WorkAsk(door=0, mark=1, serial=1, ops=many))
        # All on one connection, which goes on.
        begin_ = Begin(
            name="n",
            id="i",
            digest="d",
            customer="c",
            effect="keyed",
            left_ms=60_000,
            window_ms=60_000,
            request=b"r",
            server="s",
            place="p",
        )
        answer = msgspec.msgpack.decode(
            await stream.call(WorkAsk(door=0, mark=1, serial=2, ops=(begin_,))), type=WorkAnswer
        )
        assert [one.how for one in answer.told] == ["kept"]
        stream.close()
        # What it holds, by the command.
        (tmp_path / "s").write_text(SECRET)
        (tmp_path / "x").write_text("x" * 16)
        at = "{}:{}".format(*address)
        words = [sys.executable, "-m", "thistletrail.leasing", "status", "--at", at, "--secret"]
        for more, code, said in (
            (["s"], 0, '"intents": 1'),
            (["s", "--parked"], 0, "[]"),
            (["x"], 1, "not signed"),
        ):
            done = await asyncio.to_thread(
                subprocess.run,
                [*words, str(tmp_path / more[0]), *more[1:]],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
            assert done.returncode == code and said in done.stdout + done.stderr
            assert "Traceback" not in done.stderr

    run(act, tmp_path, 0)


@pytest.mark.parametrize(
    "words, said",
    [
        (["serve", "--data", "x", "--config", "/nowhere", "--secret", "/nowhere"], "No such file"),
        (["serve"], "Missing option"),
        (["bogus"], "No such command"),
    ],
)
def test_bad_input_is_told_and_is_no_crash(words: list[str], said: str, tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "thistletrail.leasing", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode != 0 and said in done.stderr and "Traceback" not in done.stderr


def test_the_check_is_a_command() -> None:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "thistletrail.leasing",
            "check",
            "--doors",
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
    assert done.returncode == 0 and done.stdout.count("states to depth 3") == 4
