"""Plans: what is accepted and rejected, and that gateways and simulation read the same from one."""

import random
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.plan import (
    Fault,
    Plan,
    dump,
    load,
    parse,
    plan_names,
    to_scenario,
    to_scenario_fault,
    verify,
)
from thistletrail.fault_injection.soak import draw_plan, shrink, smaller_plans
from thistletrail.fault_injection.world import World, generate_load
from thistletrail.gateway.config import flatten
from thistletrail.policy.settings_codec import SettingValues, read_settings
from thistletrail.simulation.clock import Clock
from thistletrail.simulation.run import SimulationRun
from thistletrail.simulation.scenario import Scenario
from thistletrail.simulation.service import measure_recovery

S = 1_000_000
SMALL = Scenario(name="small", doors=3, length_s=4)


def plan(*faults: Fault, **more: object) -> Plan:
    return Plan(name="p", fleet=SMALL, faults=faults, **more)


@pytest.mark.parametrize(
    "text, said",
    [
        ("name = 'x'", "missing required field `fleet`"),
        ("name = 'x'\nspeed = 3\n[fleet]\nname = 'x'", "unknown field `speed`"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'explode'", "Invalid enum value 'explode'"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\npart = 2", "`$.faults[0].part`"),
        ("name = 'x'\n[fleet]\nname = 'x'\ndoors = 201", "at most 200 doors"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[fleet.troubles]]\nkind = 'burst'", "stands in faults"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\nat_s = 99", "after the end"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'cut'\nzone = 7", "strikes zone 7 of 2"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\nnumbers = [3]", "strikes doors 3 of 3"),
        (
            "name = 'x'\nfollower = false\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\non = 'follower'",
            "there is none",
        ),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'lose'\nsize = 3", "is a share, not 3"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'repeat'", "is for datagrams"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\nback_s = [2, 1]", "from 2 down to 1"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\non = 'list'\nclock_s = 5", "clock_s"),
        ("name = ", "x.toml: "),
    ],
)
def test_what_is_wrong_with_a_plan_is_one_line(text: str, said: str) -> None:
    with pytest.raises(FaultInjectionError) as caught:
        parse(text.encode(), "x.toml")
    assert str(caught.value).startswith("x.toml") and said in str(caught.value)
    assert "\n" not in str(caught.value)


def test_the_plans_that_come_along_can_be_read_and_written_again() -> None:
    assert {"short", "back", "all", "waves", "flood", "split"} <= set(plan_names())
    for name in plan_names():
        found = load(name)
        assert parse(dump(found).encode(), name) == found
    with pytest.raises(FaultInjectionError, match="there is no plan 'nothing'"):
        load("nothing")


def test_random_plans_are_plans_and_get_smaller() -> None:
    for seed in range(60):
        found = draw_plan(random.Random(seed), "soak")
        try:
            verify(found, "soak")
        except FaultInjectionError:
            continue
        assert parse(dump(found).encode(), "soak") == found
    big = Plan(
        name="p", fleet=SMALL, faults=tuple(Fault(kind=kind) for kind in ("kill", "cut", "pause")), clients=2
    )
    assert sum(len(less.faults) < 3 for less in smaller_plans(big)) == 3 and big not in smaller_plans(big)
    small = shrink(big, lambda less: any(fault.kind == "cut" for fault in less.faults))
    assert [fault.kind for fault in small.faults] == ["cut"]
    assert small.fleet.doors == 2 and small.clients == 1 and small.fleet.servers.count == 1


def test_doors_are_told_what_the_model_tells_them() -> None:
    """The configuration that real doors read means the same settings as the model hands to its own."""
    for number in range(SMALL.doors):
        told = read_settings(7, SettingValues(dict(flatten(World(SMALL, 5, Clock()).settings(number)))))
        modelled = SimulationRun(SMALL, 5).settings(number, number % SMALL.net.zones)
        assert replace(told, seed=0) == replace(modelled, seed=0)


def test_each_run_of_a_plan_and_seed_asks_the_same_and_a_fault_changes_nothing_of_it() -> None:
    def asked(of: Plan, seed: int, part: int = 0) -> list[tuple]:
        return [
            (one.at_us, one.customer.name, one.class_index, one.work_us)
            for one in generate_load(of, seed, part)
        ]

    killed = plan(Fault(kind="kill"), Fault(kind="cut"))
    assert asked(killed, 1) == asked(killed.without_faults, 1)
    assert asked(killed, 1) != asked(killed, 2)
    more = plan(Fault(kind="burst", at_s=1, for_s=2, size=4))
    assert len(asked(more, 1)) > 1.5 * len(asked(killed, 1)) and more.without_faults == more
    parts = [{name for _, name, _, _ in asked(plan(clients=2), 1, part)} for part in (0, 1)]
    assert parts[0] and parts[1] and not parts[0] & parts[1]


def test_the_model_plays_the_faults_that_it_has_and_names_the_others() -> None:
    both = plan(
        Fault(kind="kill", at_s=1, part=0.9, back_s=(1.0, 2.0)),
        Fault(kind="pause"),
        Fault(kind="cut", link="doors-list"),
        Fault(kind="bad", size=0.4, part=0.2),
    )
    scenario, missing = to_scenario(both)
    played = [(trouble.kind, trouble.part) for trouble in scenario.troubles]
    assert played == [("kill_doors", 0.9), ("bad", 0.2)]
    assert scenario.troubles[0].back_s == (1.0, 2.0)
    assert missing == ["pause", "cut of doors-list"]
    # The simulation chooses the gateways that a fault hits at random only.
    assert to_scenario_fault(Fault(kind="kill", numbers=(1,)), SMALL) is None
    assert to_scenario_fault(Fault(kind="cut", zone=1), SMALL).kind == "zone_cut"
    assert to_scenario_fault(Fault(kind="delay", link="doors-list", size=1500), SMALL).size == 1.5
    assert to_scenario_fault(Fault(kind="term", stagger_s=3), SMALL).for_s == 3


def test_the_way_back_ends_when_two_seconds_are_served_as_without_the_fault() -> None:
    calm = [(at, 1.0, True) for at in range(0, 20 * S, S // 100)]
    # Nothing from 5 to 7 s, half from there to 9, then all but three in a hundred.
    served = [
        (
            at,
            worth,
            not 5 * S <= at < 7 * S
            and (at >= 9 * S or at < 5 * S or at // 10_000 % 2 == 0)
            and (at < 9 * S or at // 10_000 % 33 != 0),
        )
        for at, worth, _ in calm
    ]
    way = measure_recovery(served, calm, 5 * S, 20 * S)
    assert 3.8 <= way.full_s <= 4.0
    assert way.worst_second == 0.0 and 0.14 < way.lost < 0.18
    assert measure_recovery(calm, calm, 5 * S, 20 * S) == (type(way))(0.0, 1.0, 0.0)
    never = [(at, worth, at < 5 * S) for at, worth, _ in calm]
    assert measure_recovery(never, calm, 5 * S, 20 * S).full_s is None
    # What is served beyond the calm twin does not make up for what was lost before.
    assert measure_recovery(served, calm, 10 * S, 20 * S).full_s == 0.0


def test_a_plan_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(dump(plan(Fault(kind="limit", size=5000.0))))
    assert load(str(path)).faults[0].size == 5000.0
    with pytest.raises(FaultInjectionError, match="No such file"):
        load(str(tmp_path / "none.toml"))
    assert msgspec.structs.replace(load(str(path)), faults=()) == plan()
