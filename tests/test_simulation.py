"""The simulation: its components, its accounting, the rules that it checks, and reproducible runs."""

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
from thistletrail.simulation.accounting import Accounting
from thistletrail.simulation.clock import MS, Clock, S
from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.quota_accounts import Account, TokenBucket
from thistletrail.simulation.run import SimulationRun, play
from thistletrail.simulation.scenario import Demand, Net, Scenario, ScenarioFault, Servers
from thistletrail.simulation.search import random_scenario
from thistletrail.simulation.servers import ScanServer, Traits, Work
from thistletrail.simulation.streams import Stream

SMALL = Scenario(name="small", doors=3, length_s=4, servers=Servers(count=4), demand=Demand(load=(0.6, 0.6)))


def test_calls_are_made_in_order_of_time_and_then_of_scheduling() -> None:
    clock, called = Clock(), []
    for delay, name in ((30, "c"), (10, "a"), (30, "d"), (20, "b")):
        clock.after(delay, called.append, name)
    clock.run(30)
    assert called == ["a", "b", "c", "d"]
    clock.at(5, called.append, "late")  # in the past: it is called next, and the clock does not go back
    clock.run(40)
    assert called[-1] == "late" and clock.now == 40


def test_streams_of_different_names_or_seeds_draw_different_numbers() -> None:
    first = [Stream(1, "a").uniform() for _ in range(2)]
    assert first[0] == first[1]
    assert len({Stream(seed, name).uniform() for seed in (1, 2) for name in ("a", "b")}) == 4
    stream = Stream(3, "x")
    values = [stream.lognormal(2.0, 0.5) for _ in range(4000)]
    assert 1.9 < sum(values) / 4000 < 2.1
    assert 0.9 < sum(stream.exponential(1.0) for _ in range(4000)) / 4000 < 1.1


# --- scenarios ---


@pytest.mark.parametrize(
    "toml, expected",
    [
        ('name = "x"\nbogus = 1', "bogus"),
        ('name = "x"\n[servers]\ncuont = 1', "cuont"),
        ('name = "x"\ndoors = 0', "doors"),
        ('name = "x"\ndoors = "two"', "doors"),
        ('name = "x"\n[demand]\nload = [0.9, 0.1]', "load goes from 0.9 down to 0.1"),
        ('name = "x"\n[[troubles]]\nkind = "meteor"', "meteor"),
        ('name = "x"\n[[troubles]]\nkind = "zone_cut"\nzone = 7', "zone 7 of 2"),
        ('name = "x"\nlength_s = 3\n[[troubles]]\nkind = "burst"\nat_s = 4', "after the end of the run"),
        ('name = "x"\nclasses = []', "one class"),
        ("name = ", "Invalid value"),
        ("doors = 3", "name"),
        ("\xff", "x.toml"),
    ],
)
def test_an_invalid_scenario_gives_an_error_of_one_line_that_names_the_cause(
    toml: str, expected: str
) -> None:
    with pytest.raises(SimulationError) as error:
        scenarios.parse(toml.encode("latin-1"), "x.toml")
    message = str(error.value)
    assert message.startswith("x.toml: ") and "\n" not in message and expected in message


def test_bundled_scenarios_are_the_same_after_dump_and_parse() -> None:
    names = set(scenarios.bundled_scenario_names())
    assert names >= {"calm", "roll", "herd", "zone", "split", "join", "thousand"}
    for name in scenarios.bundled_scenario_names():
        scenario = scenarios.load(name)
        assert scenarios.parse(scenarios.dump(scenario).encode(), name) == scenario
    assert scenarios.load("thousand").doors == scenarios.load("thousand").servers.count == 1000
    with pytest.raises(SimulationError, match="no scenario 'clam'"):
        scenarios.load("clam")


def test_random_scenarios_are_the_same_after_dump_and_parse() -> None:
    stream = Stream(5, "search")
    for number in range(30):
        scenario = random_scenario(stream, number)
        assert scenarios.parse(scenarios.dump(scenario).encode(), "x") == scenario


# --- scan servers ---


def make_server(cold: bool = False, **changes: object) -> tuple[Clock, ScanServer, list[tuple[int, str]]]:
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


def make_work(clock: Clock, results: list[tuple[int, str]], ms: float, expires_us: int = 1 << 60) -> Work:
    start = clock.now
    return Work(ms * MS, expires_us, lambda _, result: results.append(((clock.now - start) // MS, result)))


def test_running_work_shares_the_cores_evenly() -> None:
    clock, server, results = make_server()
    for _ in range(4):  # on two cores, so that each gets half of one
        server.accept(make_work(clock, results, 50), 0, 0)
    clock.run(clock.now + S)
    assert [result for _, result in results] == ["served"] * 4
    assert all(99 <= at <= 101 for at, _ in results)
    assert server.worked_us == pytest.approx(200 * MS, rel=0.01)


def test_a_server_with_a_full_queue_rejects_work() -> None:
    clock, server, results = make_server()
    for _ in range(9):  # one more than four slots and a queue of four
        server.accept(make_work(clock, results, 50), 0, 0)
    assert results == [(0, "full")]
    clock.run(clock.now + S)
    assert len(results) == 9


def test_a_draining_server_finishes_its_work_and_rejects_new_work() -> None:
    clock, server, results = make_server()
    server.accept(make_work(clock, results, 50), 0, 0)
    server.is_draining = True
    server.accept(make_work(clock, results, 50), 0, 0)
    assert results == [(0, "full")]
    clock.run(clock.now + S)
    assert results[1][1] == "served"


def test_cancelled_work_in_the_queue_is_dropped_only_if_servers_drop_it() -> None:
    for drops in (True, False):
        clock, server, results = make_server(drops_cancelled=drops, drops_expired=False)
        for _ in range(4):
            server.accept(make_work(clock, results, 50), 0, 0)
        waiting = make_work(clock, results, 50)
        server.accept(waiting, 0, 0)
        server.cancel(waiting)
        clock.run(clock.now + S)
        assert len(results) == (4 if drops else 5)


def test_expired_work_in_the_queue_is_dropped_only_if_servers_drop_it() -> None:
    for drops in (True, False):
        clock, server, results = make_server(drops_cancelled=False, drops_expired=drops)
        for _ in range(4):
            server.accept(make_work(clock, results, 50), 0, 0)
        server.accept(make_work(clock, results, 50, expires_us=clock.now + 1), 0, 0)
        clock.run(clock.now + S)
        assert [result for _, result in results].count("full") == (1 if drops else 0)


def test_a_cold_server_warms_up_and_collapses_under_too_much_work() -> None:
    clock, server, results = make_server(cold=True, cold_from=(0.2, 0.2), cold_s=(10, 10))
    assert server.warm_up_share() == pytest.approx(0.2)
    clock.run(clock.now + 5 * S)
    assert server.warm_up_share() == pytest.approx(0.6)
    clock, server, results = make_server(cold=True, cold_from=(0.2, 0.2), cold_s=(10, 10))
    sent = 0
    # The limit is 2.5 x 0.2 x 2 cores for 2 s, which is 40 requests of 50 ms, and the slack.
    while server.is_alive and sent < 200:
        server.accept(make_work(clock, results, 50), 7, 0)
        sent += 1
    assert server.has_collapsed and 40 <= sent <= 46
    assert server.work_by_gateway[7] == pytest.approx(sent * 50 * MS)
    clock, server, results = make_server()  # one that is not warming up rejects work and does not collapse
    for _ in range(200):
        server.accept(make_work(clock, results, 50), 7, 0)
    assert server.is_alive


def test_a_server_refuses_connections_beyond_its_limit() -> None:
    _, server, _ = make_server(connections=3)
    assert [server.connect() for _ in range(4)] == [True, True, True, False]
    server.disconnect()
    assert server.connect()
    server.stop()
    assert not server.connect()


def test_work_is_reset_when_the_process_ends_and_unanswered_when_the_machine_vanishes() -> None:
    for is_silent, result in ((False, "lost"), (True, "silent")):
        clock, server, results = make_server()
        server.accept(make_work(clock, results, 50), 0, 0)
        server.stop(is_silent)
        assert results == [(0, result)]


# --- accounts of quota units ---


@options(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 2 * S), st.floats(0.1, 3)), max_size=40))
def test_a_token_bucket_stays_between_zero_and_its_burst(steps: list[tuple[int, float]]) -> None:
    bucket, now, taken = TokenBucket(4.0, 6.0, 0), 0, 0.0
    for wait, units in steps:
        now += wait
        taken += units * bucket.take(units, now)
        assert -1e-9 <= bucket.level <= 6.0
        assert taken <= 6.0 + 4.0 * now / S + 1e-6


def test_a_ceiling_counts_units_beyond_the_quota_as_well() -> None:
    account = Account(1.0, 2.0, (2.0, 4.0, 1.0), 0)
    in_quota = [account.charge(1.0, 0) for _ in range(5)]
    assert in_quota == [True, True, False, False, False]
    # Not yet: 1 unit beyond the ceiling's burst is within the slack and the rate's units of 150 ms.
    assert not account.is_ceiling_exceeded()
    account.charge(1.0, 0)
    assert account.is_ceiling_exceeded()


# --- runs ---


def output(run: SimulationRun) -> bytes:
    return b"".join(run.lines())


def test_the_same_seed_gives_the_same_output_and_another_seed_gives_another() -> None:
    first, again, other = (play(SMALL, seed) for seed in (3, 3, 4))
    assert output(first) == output(again) != output(other)
    assert first.accounting.results["served"] > 100


@options(derandomize=True, deadline=None, max_examples=12)
@given(st.integers(0, 1 << 30))
def test_causes_add_up_and_no_rule_is_broken_in_random_scenarios(number: int) -> None:
    stream = Stream(number, "test")
    scenario = random_scenario(stream, number)
    length_s = min(5.0, scenario.length_s)
    faults = tuple(fault for fault in scenario.troubles if fault.at_s <= length_s)
    run = play(msgspec.structs.replace(scenario, length_s=length_s, troubles=faults), number)
    accounting = run.accounting
    assert accounting.check() == []
    assert not accounting.violation_counts, accounting.violations[:3]
    assert sum(accounting.results.values()) == accounting.requests >= accounting.operations
    assert accounting.units_sent == sum(1 for _ in range(int(accounting.units_sent)))
    gap = sum(accounting.offered.values()) - sum(accounting.earned.values())
    assert sum(accounting.lost.values()) == pytest.approx(gap, abs=1e-6)
    assert "unknown" not in accounting.by_cause(accounting.over_quota)


def test_accounting_check_reports_each_sum_that_does_not_add_up() -> None:
    accounting = Accounting(("a",), ("p",))
    accounting.requests = 2
    accounting.end_request("refused", "cap")
    assert accounting.check() == ["the number of ended requests is not that of sent requests"]
    accounting.results["refused"] += 1
    assert "rejections by cause do not add up to the rejected requests" in accounting.check()
    accounting.units_beyond = 1
    accounting.offered[0, 0, 0] = 5.0
    assert len(accounting.check()) == 3


def violations_under(
    monkeypatch: pytest.MonkeyPatch, change_actions: object, scenario: Scenario = SMALL
) -> set[str]:
    """Return the rules that a run breaks whose engine's actions are replaced by `change_actions`."""

    class ChangedEngine(PolicyEngine):
        def handle(self, now_us: int, event: Event) -> list[Action]:
            return change_actions(event, super().handle(now_us, event))

    monkeypatch.setattr("thistletrail.simulation.gateways.PolicyEngine", ChangedEngine)
    return set(play(scenario, 1).accounting.violation_counts)


def test_each_rule_that_an_engine_breaks_is_recorded_as_a_violation(monkeypatch: pytest.MonkeyPatch) -> None:
    def twice(event: Event, actions: list[Action]) -> list[Action]:
        return [
            again
            for action in actions
            for again in ([action, action] if isinstance(action, StartAttempt) else [action])
        ]

    assert "two attempts out at once" in violations_under(monkeypatch, twice)

    def unknown_server(event: Event, actions: list[Action]) -> list[Action]:
        return [
            StartAttempt(action.id, "nowhere", 0) if isinstance(action, StartAttempt) else action
            for action in actions
        ]

    assert "a server that no list named" in violations_under(monkeypatch, unknown_server)

    def no_answer(event: Event, actions: list[Action]) -> list[Action]:
        return [
            action for action in actions if not isinstance(action, RejectRequest | FailRequest | StartAttempt)
        ]

    assert "no answer in time" in violations_under(monkeypatch, no_answer)

    def attempt_and_reject(event: Event, actions: list[Action]) -> list[Action]:
        return [
            again
            for action in actions
            for again in (
                [action, RejectRequest(action.id)] if isinstance(action, StartAttempt) else [action]
            )
        ]

    assert "refused though it may have run" in violations_under(monkeypatch, attempt_and_reject)


def test_attempts_at_draining_servers_and_beyond_a_ceiling_are_recorded_as_violations(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shrinking = msgspec.structs.replace(
        SMALL, troubles=(ScenarioFault(kind="shrink", at_s=0.2, for_s=0.1, part=0.7),)
    )
    server_numbers = itertools.count()

    def any_server(event: Event, actions: list[Action]) -> list[Action]:
        return [
            StartAttempt(action.id, f"s-000{next(server_numbers) % 4}", 0)
            if isinstance(action, StartAttempt)
            else action
            for action in actions
        ]

    assert "sent to a server that drains or is gone" in violations_under(monkeypatch, any_server, shrinking)

    def no_limits(event: Event, actions: list[Action]) -> list[Action]:
        if isinstance(event, RequestArrived):
            timers_and_messages = [
                action for action in actions if isinstance(action, SetTimer | SendPeerMessage)
            ]
            return [*timers_and_messages, StartAttempt(event.id, "s-0001", 0)]
        return [action for action in actions if isinstance(action, SetTimer | SendPeerMessage)]

    heavy_demand = Demand(load=(1.0, 1.0), full=(0, 0), heavy=(1, 1), heavy_x=(5, 5))
    flood = msgspec.structs.replace(SMALL, demand=heavy_demand)
    assert "a ceiling was passed" in violations_under(monkeypatch, no_limits, flood)


def test_killed_gateways_restart_and_their_clients_get_no_answer() -> None:
    killed = msgspec.structs.replace(SMALL, troubles=(ScenarioFault(kind="kill_doors", at_s=1, part=0.5),))
    run = play(killed, 2)
    assert run.accounting.results["unreached"] > 0
    # Of three gateways two have died and restarted.
    assert [gateway.epoch for gateway in run.gateways].count(1) == 1
    assert not run.accounting.violation_counts and all(gateway.is_alive for gateway in run.gateways)


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
def test_each_kind_of_fault_changes_the_run_and_breaks_no_rule(kind: str) -> None:
    fault = ScenarioFault(kind=kind, at_s=0.5, for_s=2, part=0.4, size=0.8 if kind != "slow" else 6.0)
    run, baseline = play(msgspec.structs.replace(SMALL, troubles=(fault,)), 5), play(SMALL, 5)
    assert not run.accounting.violation_counts and run.accounting.check() == []
    assert output(run) != output(baseline)


def test_servers_of_a_lost_zone_restart_cold_and_get_requests_again() -> None:
    lost = ScenarioFault(kind="zone_loss", at_s=1, for_s=2, part=0, size=0.9, zone=1)
    run = play(msgspec.structs.replace(SMALL, length_s=12, troubles=(lost,)), 1)
    restarted = [server for server in run.servers.values() if server.zone == 1]
    restart_us = run.start_us + 3 * S
    assert restarted and all(server.is_alive and server.started_us == restart_us for server in restarted)
    assert all(server.served > 0 for server in restarted)
    assert not run.accounting.violation_counts


def test_a_full_intake_and_the_network_lose_peer_messages() -> None:
    net = Net(peer_loss=(0.0, 0.0), peer_per_s=4.0)
    accounting = play(msgspec.structs.replace(SMALL, net=net), 1).accounting
    fates = accounting.by_cause(accounting.messages)
    assert fates["intake full"] > fates["arrived"] > 0
    assert fates["arrived"] <= 3 * (4.0 * 7 + 2)
    accounting = play(msgspec.structs.replace(SMALL, net=Net(peer_loss=(1.0, 1.0))), 1).accounting
    assert set(accounting.by_cause(accounting.messages)) == {"lost on the way"}


def test_the_cost_of_an_operation_does_not_grow_with_the_fleet() -> None:
    """A fleet of four times the size and load makes less than 1.5 times the scheduled calls per operation."""
    counts = []
    for factor in (1, 4):
        run = play(msgspec.structs.replace(SMALL, doors=4 * factor, servers=Servers(count=6 * factor)), 1)
        counts.append(run.clock.calls / run.accounting.operations)
    assert all(after < 1.5 * before for before, after in pairwise(counts))
