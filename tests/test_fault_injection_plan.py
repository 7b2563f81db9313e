"""Plans: which are valid, and that gateways and the simulation read the same settings from a plan."""

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
from thistletrail.fault_injection.simulation_context import SimulationContext, generate_load
from thistletrail.fault_injection.soak import draw_plan, shrink, smaller_plans
from thistletrail.gateway.config import flatten
from thistletrail.policy.settings_codec import SettingValues, read_settings
from thistletrail.simulation.clock import Clock
from thistletrail.simulation.run import SimulationRun
from thistletrail.simulation.scenario import Scenario
from thistletrail.simulation.service import measure_recovery

US_PER_S = 1_000_000
SMALL = Scenario(name="small", doors=3, length_s=4)


def plan(*faults: Fault, **values: object) -> Plan:
    """Return a plan of three gateways with these faults and other values."""
    return Plan(name="p", fleet=SMALL, faults=faults, **values)


@pytest.mark.parametrize(
    "text, message",
    [
        ("name = 'x'", "missing required field `fleet`"),
        ("name = 'x'\nspeed = 3\n[fleet]\nname = 'x'", "unknown field `speed`"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'explode'", "Invalid enum value 'explode'"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\npart = 2", "`$.faults[0].part`"),
        ("name = 'x'\n[fleet]\nname = 'x'\ndoors = 201", "at most 200 gateways"),
        (
            "name = 'x'\n[fleet]\nname = 'x'\n[[fleet.troubles]]\nkind = 'burst'",
            "faults belong in [[faults]]",
        ),
        (
            "name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\nat_s = 99",
            "begins at 99 s, after the end of the load",
        ),
        (
            "name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'cut'\nzone = 7",
            "in zone 7, but there are only 2 zones",
        ),
        (
            "name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\nnumbers = [3]",
            "on number 3 of doors, but there are only 3",
        ),
        (
            "name = 'x'\nfollower = false\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\non = 'follower'",
            "on follower, and the plan runs none",
        ),
        (
            "name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'lose'\nsize = 3",
            "is a share of at most 1, not 3",
        ),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'repeat'", "is for datagrams"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\nback_s = [2, 1]", "from 2 down to 1"),
        ("name = 'x'\n[fleet]\nname = 'x'\n[[faults]]\nkind = 'kill'\non = 'list'\nclock_s = 5", "clock_s"),
        ("name = ", "x.toml: "),
    ],
)
def test_invalid_plan_is_reported_in_one_line(text: str, message: str) -> None:
    with pytest.raises(FaultInjectionError) as error_info:
        parse(text.encode(), "x.toml")
    assert str(error_info.value).startswith("x.toml") and message in str(error_info.value)
    assert "\n" not in str(error_info.value)


def test_plans_of_the_package_are_equal_after_writing_and_reading() -> None:
    assert {"short", "back", "all", "waves", "flood", "split"} <= set(plan_names())
    for name in plan_names():
        loaded = load(name)
        assert parse(dump(loaded).encode(), name) == loaded
    with pytest.raises(FaultInjectionError, match="there is no plan 'nothing'"):
        load("nothing")


def test_random_plans_are_valid_and_shrink() -> None:
    for seed in range(60):
        drawn = draw_plan(random.Random(seed), "soak")
        try:
            verify(drawn, "soak")
        except FaultInjectionError:
            continue
        assert parse(dump(drawn).encode(), "soak") == drawn
    large = Plan(
        name="p", fleet=SMALL, faults=tuple(Fault(kind=kind) for kind in ("kill", "cut", "pause")), clients=2
    )
    assert sum(len(smaller.faults) < 3 for smaller in smaller_plans(large)) == 3
    assert large not in smaller_plans(large)
    small = shrink(large, lambda candidate: any(fault.kind == "cut" for fault in candidate.faults))
    assert [fault.kind for fault in small.faults] == ["cut"]
    assert small.fleet.doors == 2 and small.clients == 1 and small.fleet.servers.count == 1


def test_real_and_simulated_gateways_have_equal_settings() -> None:
    """The configuration of a real gateway decodes to the settings of the simulated one, but for the seed."""
    for number in range(SMALL.doors):
        real = read_settings(
            7, SettingValues(dict(flatten(SimulationContext(SMALL, 5, Clock()).settings(number))))
        )
        simulated = SimulationRun(SMALL, 5).settings(number, number % SMALL.net.zones)
        assert replace(real, seed=0) == replace(simulated, seed=0)


def test_load_depends_on_plan_and_seed_and_on_no_fault_but_bursts() -> None:
    def load_of(some_plan: Plan, seed: int, client: int = 0) -> list[tuple]:
        return [
            (operation.at_us, operation.customer.name, operation.class_index, operation.work_us)
            for operation in generate_load(some_plan, seed, client)
        ]

    killed = plan(Fault(kind="kill"), Fault(kind="cut"))
    assert load_of(killed, 1) == load_of(killed.without_faults, 1)
    assert load_of(killed, 1) != load_of(killed, 2)
    burst = plan(Fault(kind="burst", at_s=1, for_s=2, size=4))
    assert len(load_of(burst, 1)) > 1.5 * len(load_of(killed, 1)) and burst.without_faults == burst
    customers = [{name for _, name, _, _ in load_of(plan(clients=2), 1, client)} for client in (0, 1)]
    assert customers[0] and customers[1] and not customers[0] & customers[1]


def test_simulation_takes_the_faults_that_it_has_and_reports_the_others_as_missing() -> None:
    mixed_plan = plan(
        Fault(kind="kill", at_s=1, part=0.9, back_s=(1.0, 2.0)),
        Fault(kind="pause"),
        Fault(kind="cut", link="doors-list"),
        Fault(kind="bad", size=0.4, part=0.2),
    )
    scenario, missing = to_scenario(mixed_plan)
    kinds_and_shares = [(fault.kind, fault.part) for fault in scenario.troubles]
    assert kinds_and_shares == [("kill_doors", 0.9), ("bad", 0.2)]
    assert scenario.troubles[0].back_s == (1.0, 2.0)
    assert missing == ["pause", "cut of doors-list"]
    # The simulation chooses the gateways that a fault hits at random only.
    assert to_scenario_fault(Fault(kind="kill", numbers=(1,)), SMALL) is None
    assert to_scenario_fault(Fault(kind="cut", zone=1), SMALL).kind == "zone_cut"
    assert to_scenario_fault(Fault(kind="delay", link="doors-list", size=1500), SMALL).size == 1.5
    assert to_scenario_fault(Fault(kind="term", stagger_s=3), SMALL).for_s == 3


def test_full_service_is_reached_when_two_seconds_are_served_as_in_the_baseline() -> None:
    baseline = [(at_us, 1.0, True) for at_us in range(0, 20 * US_PER_S, US_PER_S // 100)]
    # Nothing is served from 5 to 7 s, half from 7 to 9 s, then all but one in 33.
    served = [
        (
            at_us,
            worth,
            not 5 * US_PER_S <= at_us < 7 * US_PER_S
            and (at_us >= 9 * US_PER_S or at_us < 5 * US_PER_S or at_us // 10_000 % 2 == 0)
            and (at_us < 9 * US_PER_S or at_us // 10_000 % 33 != 0),
        )
        for at_us, worth, _ in baseline
    ]
    recovery = measure_recovery(served, baseline, 5 * US_PER_S, 20 * US_PER_S)
    assert 3.8 <= recovery.full_s <= 4.0
    assert recovery.worst_second == 0.0 and 0.14 < recovery.lost < 0.18
    assert measure_recovery(baseline, baseline, 5 * US_PER_S, 20 * US_PER_S) == type(recovery)(0.0, 1.0, 0.0)
    never_recovered = [(at_us, worth, at_us < 5 * US_PER_S) for at_us, worth, _ in baseline]
    assert measure_recovery(never_recovered, baseline, 5 * US_PER_S, 20 * US_PER_S).full_s is None
    # Service lost before the fault is not counted, and service beyond the baseline does not make up for it.
    assert measure_recovery(served, baseline, 10 * US_PER_S, 20 * US_PER_S).full_s == 0.0


def test_plan_is_loaded_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(dump(plan(Fault(kind="limit", size=5000.0))))
    assert load(str(path)).faults[0].size == 5000.0
    with pytest.raises(FaultInjectionError, match="No such file"):
        load(str(tmp_path / "none.toml"))
    assert msgspec.structs.replace(load(str(path)), faults=()) == plan()
