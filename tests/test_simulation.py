"""The model: its parts against what the pages say, its sums, its rules, and that a run repeats itself."""

import itertools
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st

from thistletrail.policy.actions import (
    Action,
    FailRequest,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from thistletrail.policy.engine import PolicyEngine
from thistletrail.policy.events import Event, RequestArrived
from thistletrail.simulation import scenario as scenarios
from thistletrail.simulation.books import Accounting
from thistletrail.simulation.clock import MS, Clock, S
from thistletrail.simulation.day import Day, play
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.ledger import Account, TokenBucket
from thistletrail.simulation.scenario import Demand, Net, Scenario, Servers, Trouble
from thistletrail.simulation.search import draw
from thistletrail.simulation.servers import ScanServer, Traits, Work
from thistletrail.simulation.streams import Stream

SMALL = Scenario(name="small", doors=3, length_s=4, servers=Servers(count=4), demand=Demand(load=(0.6, 0.6)))


def test_events_come_in_order_of_time_and_then_of_asking() -> None:
    clock, seen = Clock(), []
    for delay, name in ((30, "c"), (10, "a"), (30, "d"), (20, "b")):
        clock.after(delay, seen.append, name)
    clock.run(30)
    assert seen == ["a", "b", "c", "d"]
    clock.at(5, seen.append, "late")  # its time has passed: it comes next, and time does not go back
    clock.run(40)
    assert seen[-1] == "late" and clock.now == 40


def test_streams_of_other_names_and_seeds_are_other_numbers() -> None:
    first = [Stream(1, "a").uniform() for _ in range(2)]
    assert first[0] == first[1]
    assert len({Stream(seed, name).uniform() for seed in (1, 2) for name in ("a", "b")}) == 4
    stream = Stream(3, "x")
    values = [stream.lognormal(2.0, 0.5) for _ in range(4000)]
    assert 1.9 < sum(values) / 4000 < 2.1
    assert 0.9 < sum(stream.exponential(1.0) for _ in range(4000)) / 4000 < 1.1


# --- scenarios ---


@pytest.mark.parametrize(
    "text, words",
    [
        ('name = "x"\nbogus = 1', "bogus"),
        ('name = "x"\n[servers]\ncuont = 1', "cuont"),
        ('name = "x"\ndoors = 0', "doors"),
        ('name = "x"\ndoors = "two"', "doors"),
        ('name = "x"\n[demand]\nload = [0.9, 0.1]', "load goes from 0.9 down to 0.1"),
        ('name = "x"\n[[troubles]]\nkind = "meteor"', "meteor"),
        ('name = "x"\n[[troubles]]\nkind = "zone_cut"\nzone = 7', "zone 7 of 2"),
        ('name = "x"\nlength_s = 3\n[[troubles]]\nkind = "burst"\nat_s = 4', "after the day's end"),
        ('name = "x"\nclasses = []', "a class"),
        ("name = ", "Invalid value"),
        ("doors = 3", "name"),
        ("\xff", "x.toml"),
    ],
)
def test_a_wrong_scenario_is_one_line_that_names_what(text: str, words: str) -> None:
    with pytest.raises(ModelError) as error:
        scenarios.parse(text.encode("latin-1"), "x.toml")
    said = str(error.value)
    assert said.startswith("x.toml: ") and "\n" not in said and words in said


def test_the_scenarios_that_come_along_are_read_and_written() -> None:
    assert set(scenarios.known()) >= {"calm", "roll", "herd", "zone", "split", "join", "thousand"}
    for name in scenarios.known():
        found = scenarios.load(name)
        assert scenarios.parse(scenarios.dump(found).encode(), name) == found
    assert scenarios.load("thousand").doors == scenarios.load("thousand").servers.count == 1000
    with pytest.raises(ModelError, match="no scenario 'clam'"):
        scenarios.load("clam")


def test_random_scenarios_survive_being_written() -> None:
    stream = Stream(5, "search")
    for number in range(30):
        found = draw(stream, number)
        assert scenarios.parse(scenarios.dump(found).encode(), "x") == found


# --- scan servers ---


def server(cold: bool = False, **changes: object) -> tuple[Clock, ScanServer, list[tuple[int, str]]]:
    spec = msgspec.structs.replace(
        SMALL.servers,
        speed=(1, 1),
        speed_cv=(0, 0),
        thrash=(0, 0),
        full_tax=(0, 0),
        error_rate=(0, 0),
        slots=(2, 2),
        queue=(2, 2),
        **changes,
    )
    clock = Clock(100 * S)
    traits = Traits(msgspec.structs.replace(SMALL, servers=spec), Stream(1, "servers"))
    return clock, ScanServer(clock, traits, Stream(1, "s"), "s", (0, 0), 50 * MS, cold), []


def work(clock: Clock, seen: list[tuple[int, str]], ms: float, expires_us: int = 1 << 60) -> Work:
    start = clock.now
    return Work(ms * MS, expires_us, lambda _, how: seen.append(((clock.now - start) // MS, how)))


def test_cores_are_shared_by_what_is_in_work() -> None:
    clock, one, seen = server()
    for _ in range(4):  # of two cores: each gets half of one
        one.accept(work(clock, seen, 50), 0, 0)
    clock.run(clock.now + S)
    assert [how for _, how in seen] == ["served"] * 4
    assert all(99 <= at <= 101 for at, _ in seen)
    assert one.worked_us == pytest.approx(200 * MS, rel=0.01)


def test_a_waiting_room_that_is_full_turns_away() -> None:
    clock, one, seen = server()
    for _ in range(9):  # four slots and room for four
        one.accept(work(clock, seen, 50), 0, 0)
    assert seen == [(0, "full")]
    clock.run(clock.now + S)
    assert len(seen) == 9


def test_a_draining_server_finishes_and_takes_nothing_new() -> None:
    clock, one, seen = server()
    one.accept(work(clock, seen, 50), 0, 0)
    one.is_draining = True
    one.accept(work(clock, seen, 50), 0, 0)
    assert seen == [(0, "full")]
    clock.run(clock.now + S)
    assert seen[1][1] == "served"


def test_what_waits_is_dropped_only_where_servers_do_so() -> None:
    for drops in (True, False):
        clock, one, seen = server(drops_cancelled=drops, drops_expired=False)
        for _ in range(4):
            one.accept(work(clock, seen, 50), 0, 0)
        waiting = work(clock, seen, 50)
        one.accept(waiting, 0, 0)
        one.cancel(waiting)
        clock.run(clock.now + S)
        assert len(seen) == (4 if drops else 5)


def test_work_whose_time_has_passed_is_begun_only_where_servers_do_so() -> None:
    for drops in (True, False):
        clock, one, seen = server(drops_cancelled=False, drops_expired=drops)
        for _ in range(4):
            one.accept(work(clock, seen, 50), 0, 0)
        one.accept(work(clock, seen, 50, expires_us=clock.now + 1), 0, 0)
        clock.run(clock.now + S)
        assert [how for _, how in seen].count("full") == (1 if drops else 0)


def test_a_cold_server_warms_and_one_sent_too_much_falls_over() -> None:
    clock, one, seen = server(cold=True, cold_from=(0.2, 0.2), cold_s=(10, 10))
    assert one.warm_up_share() == pytest.approx(0.2)
    clock.run(clock.now + 5 * S)
    assert one.warm_up_share() == pytest.approx(0.6)
    clock, one, seen = server(cold=True, cold_from=(0.2, 0.2), cold_s=(10, 10))
    sent = 0
    while (
        one.is_alive and sent < 200
    ):  # 2.5 x 0.2 x 2 cores for 2 s is 2 s of work: forty of 50 ms, and slack
        one.accept(work(clock, seen, 50), 7, 0)
        sent += 1
    assert one.has_collapsed and 40 <= sent <= 46
    assert one.work_by_gateway[7] == pytest.approx(sent * 50 * MS)
    clock, one, seen = server()  # a warm one turns away and stands
    for _ in range(200):
        one.accept(work(clock, seen, 50), 7, 0)
    assert one.is_alive


def test_a_server_holds_so_many_connections_and_no_more() -> None:
    _, one, _ = server(connections=3)
    assert [one.connect() for _ in range(4)] == [True, True, True, False]
    one.disconnect()
    assert one.connect()
    one.stop()
    assert not one.connect()


def test_a_process_that_ends_resets_and_a_machine_that_vanishes_is_silent() -> None:
    for silent, how in ((False, "lost"), (True, "silent")):
        clock, one, seen = server()
        one.accept(work(clock, seen, 50), 0, 0)
        one.stop(silent)
        assert seen == [(0, how)]


# --- stores ---


@options(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 2 * S), st.floats(0.1, 3)), max_size=40))
def test_a_store_is_never_above_its_burst_nor_taken_below_nothing(steps: list[tuple[int, float]]) -> None:
    store, now, taken = TokenBucket(4.0, 6.0, 0), 0, 0.0
    for wait, units in steps:
        now += wait
        taken += units * store.take(units, now)
        assert -1e-9 <= store.level <= 6.0
        assert taken <= 6.0 + 4.0 * now / S + 1e-6


def test_a_ceiling_counts_what_is_beyond_the_quota_too() -> None:
    account = Account(1.0, 2.0, (2.0, 4.0, 1.0), 0)
    inside = [account.charge(1.0, 0) for _ in range(5)]
    assert inside == [True, True, False, False, False]
    assert not account.is_ceiling_exceeded()  # the slack, and what the rate gives in 150 ms
    account.charge(1.0, 0)
    assert account.is_ceiling_exceeded()


# --- runs ---


def text(day: Day) -> bytes:
    return b"".join(day.lines())


def test_the_same_seed_gives_the_same_bytes_and_another_one_others() -> None:
    first, again, other = (play(SMALL, seed) for seed in (3, 3, 4))
    assert text(first) == text(again) != text(other)
    assert first.books.results["served"] > 100


@options(derandomize=True, deadline=None, max_examples=12)
@given(st.integers(0, 1 << 30))
def test_causes_add_up_and_rules_hold_on_random_days(number: int) -> None:
    stream = Stream(number, "test")
    found = draw(stream, number)
    short = min(5.0, found.length_s)
    troubles = tuple(trouble for trouble in found.troubles if trouble.at_s <= short)
    day = play(msgspec.structs.replace(found, length_s=short, troubles=troubles), number)
    books = day.books
    assert books.check() == []
    assert not books.violation_counts, books.violations[:3]
    assert sum(books.results.values()) == books.requests >= books.operations
    assert books.units_sent == sum(1 for _ in range(int(books.units_sent)))
    gap = sum(books.offered.values()) - sum(books.earned.values())
    assert sum(books.lost.values()) == pytest.approx(gap, abs=1e-6)
    assert "unknown" not in books.by_cause(books.over)


def test_sums_that_do_not_add_up_are_told() -> None:
    books = Accounting(("a",), ("p",))
    books.requests = 2
    books.end_request("refused", "cap")
    assert books.check() == ["tries that ended are not those that were begun"]
    books.results["refused"] += 1
    assert "refusals by cause do not add up to the tries refused" in books.check()
    books.units_beyond = 1
    books.offered[0, 0, 0] = 5.0
    assert len(books.check()) == 3


def broken_by(monkeypatch: pytest.MonkeyPatch, change: object, scenario: Scenario = SMALL) -> set[str]:
    """The rules that a module whose actions are changed so is found to break."""

    class Changed(PolicyEngine):
        def handle(self, now_us: int, event: Event) -> list[Action]:
            return change(event, super().handle(now_us, event))

    monkeypatch.setattr("thistletrail.simulation.doors.PolicyEngine", Changed)
    return set(play(scenario, 1).books.violation_counts)


def test_each_rule_that_a_module_breaks_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def twice(event: Event, actions: list[Action]) -> list[Action]:
        return [
            again
            for action in actions
            for again in ([action, action] if isinstance(action, StartAttempt) else [action])
        ]

    assert "two attempts out at once" in broken_by(monkeypatch, twice)

    def nowhere(event: Event, actions: list[Action]) -> list[Action]:
        return [
            StartAttempt(action.id, "nowhere", 0) if isinstance(action, StartAttempt) else action
            for action in actions
        ]

    assert "a server that no list named" in broken_by(monkeypatch, nowhere)

    def silent(event: Event, actions: list[Action]) -> list[Action]:
        return [
            action for action in actions if not isinstance(action, RejectRequest | FailRequest | StartAttempt)
        ]

    assert "no answer in time" in broken_by(monkeypatch, silent)

    def both(event: Event, actions: list[Action]) -> list[Action]:
        return [
            again
            for action in actions
            for again in (
                [action, RejectRequest(action.id)] if isinstance(action, StartAttempt) else [action]
            )
        ]

    assert "refused though it may have run" in broken_by(monkeypatch, both)


def test_sending_to_what_has_gone_and_past_a_ceiling_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    leaving = msgspec.structs.replace(
        SMALL, troubles=(Trouble(kind="shrink", at_s=0.2, for_s=0.1, part=0.7),)
    )
    turns = itertools.count()

    def stubborn(event: Event, actions: list[Action]) -> list[Action]:
        return [
            StartAttempt(action.id, f"s-000{next(turns) % 4}", 0)
            if isinstance(action, StartAttempt)
            else action
            for action in actions
        ]

    assert "sent to a server that drains or is gone" in broken_by(monkeypatch, stubborn, leaving)

    def greedy(event: Event, actions: list[Action]) -> list[Action]:
        if isinstance(event, RequestArrived):
            kept = [action for action in actions if isinstance(action, SetTimer | SendPeerMessage)]
            return [*kept, StartAttempt(event.id, "s-0001", 0)]
        return [action for action in actions if isinstance(action, SetTimer | SendPeerMessage)]

    every = Demand(load=(1.0, 1.0), full=(0, 0), heavy=(1, 1), heavy_x=(5, 5))
    flood = msgspec.structs.replace(SMALL, demand=every)
    assert "a ceiling was passed" in broken_by(monkeypatch, greedy, flood)


def test_a_dead_door_knows_nothing_and_its_clients_ask_again() -> None:
    killed = msgspec.structs.replace(SMALL, troubles=(Trouble(kind="kill_doors", at_s=1, part=0.5),))
    day = play(killed, 2)
    assert day.books.results["unreached"] > 0
    assert [door.epoch for door in day.doors].count(1) == 1  # of three, two have died and are back
    assert not day.books.violation_counts and all(door.is_alive for door in day.doors)


@pytest.mark.parametrize(
    "kind",
    sorted(
        [
            "burst",
            "kill_doors",
            "restart_doors",
            "release",
            "zone_loss",
            "zone_cut",
            "silent",
            "bad",
            "slow",
            "messages_lost",
            "lists_late",
            "hot_customers",
            "one_shots",
            "drop_answers",
            "errors_fast",
            "shrink",
        ]
    ),
)
def test_each_trouble_changes_the_day_and_breaks_no_rule(kind: str) -> None:
    trouble = Trouble(kind=kind, at_s=0.5, for_s=2, part=0.4, size=0.8 if kind != "slow" else 6.0)
    day, usual = play(msgspec.structs.replace(SMALL, troubles=(trouble,)), 5), play(SMALL, 5)
    assert not day.books.violation_counts and day.books.check() == []
    assert text(day) != text(usual)


def test_a_silent_zone_comes_back_cold_and_is_sent_to_again() -> None:
    lost = Trouble(kind="zone_loss", at_s=1, for_s=2, part=0, size=0.9, zone=1)
    day = play(msgspec.structs.replace(SMALL, length_s=12, troubles=(lost,)), 1)
    back = [one for one in day.servers.values() if one.zone == 1]
    assert back and all(one.is_alive and one.started_us == day.start_us + 3 * S for one in back)
    assert all(one.served > 0 for one in back)
    assert not day.books.violation_counts


def test_the_intake_and_the_network_lose_messages_as_told() -> None:
    net = Net(peer_loss=(0.0, 0.0), peer_per_s=4.0)
    books = play(msgspec.structs.replace(SMALL, net=net), 1).books
    fates = books.by_cause(books.messages)
    assert fates["intake full"] > fates["arrived"] > 0
    assert fates["arrived"] <= 3 * (4.0 * 7 + 2)
    books = play(msgspec.structs.replace(SMALL, net=Net(peer_loss=(1.0, 1.0))), 1).books
    assert set(books.by_cause(books.messages)) == {"lost on the way"}


def test_cost_grows_with_requests_and_not_faster() -> None:
    """Events of the heap an ask: the same for a fleet four times as large under four times the load."""
    counts = []
    for factor in (1, 4):
        day = play(msgspec.structs.replace(SMALL, doors=4 * factor, servers=Servers(count=6 * factor)), 1)
        counts.append(day.clock.calls / day.books.operations)
    assert all(after < 1.5 * before for before, after in pairwise(counts))
