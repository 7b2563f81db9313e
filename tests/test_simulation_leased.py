"""Ceilings by a steward's leases in the model: doors die, none is passed; a steward that lies is found."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from thistletrail.benchmarks.process import ROOT
from thistletrail.simulation import day as days
from thistletrail.simulation.day import Day
from thistletrail.simulation.scenario import PLANS, Demand, Net, Scenario, Servers, Trouble, dump, parse

# Ceilings below the quotas, so that it is they that bind.
LOW = tuple(msgspec.structs.replace(plan, ceiling=(0.4, 0.5)) if plan.ceiling else plan for plan in PLANS)
FLEET = Scenario(
    name="leased",
    doors=8,
    length_s=8,
    leased=True,
    servers=Servers(count=8),
    net=Net(zones=2),
    plans=LOW,
    demand=Demand(load=(0.6, 0.6), full=(0.9, 0.9)),
    troubles=(
        Trouble(kind="kill_doors", at_s=3, part=0.5),
        Trouble(kind="hot_customers", at_s=1, for_s=6, part=0.5, size=2.0),
    ),
)


@pytest.fixture(scope="module")
def plays() -> list[Day]:
    return [days.play(FLEET, seed) for seed in range(1, 5)]


def test_doors_die_and_are_granted_parts_anew_and_no_ceiling_is_passed(plays: list[Day]) -> None:
    for day in plays:
        assert day.books.violation_counts == {} and day.result()["sums"] == []
        assert day.leases.renewals > 100
        incarnations = {held.holder.incarnation for held in day.leases.holders.values()}
        assert len(incarnations) > 1  # some have started again
        budgets = day.leases.state.budgets
        assert budgets and {name.split("/")[2] for name in budgets} == {"2"}  # the plan that has ceilings
    # What is served by ceilings is more than the floors alone, a tenth of them, would let through.
    assert min(day.result()["plans"]["institution"] for day in plays) > 0.2


def test_the_same_seed_is_the_same_day_and_off_there_is_no_steward(plays: list[Day]) -> None:
    assert days.play(FLEET, 1).result() == plays[0].result()
    fixed = days.play(msgspec.structs.replace(FLEET, leased=False), 1)
    assert fixed.leases.renewals == 0 and not fixed.leases.holders


def test_a_steward_that_divides_more_than_there_is_passes_ceilings(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: the check of ceilings finds it."""
    monkeypatch.setattr(
        "thistletrail.leasing.budget_state.divisible_total", lambda limits, *_: 8 * limits.total
    )
    assert any(
        "a ceiling was passed" in days.play(FLEET, seed).books.violation_counts for seed in range(1, 5)
    )


def test_pairs_of_fixed_parts_and_leases_are_a_command(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    path.write_text(dump(msgspec.structs.replace(FLEET, length_s=3, troubles=())))
    assert parse(path.read_bytes(), "x") == msgspec.structs.replace(FLEET, length_s=3, troubles=())
    done = subprocess.run(
        [sys.executable, "-m", "thistletrail.simulation", "leases", str(path), "--seeds", "1", "--jobs", "2"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == 0 and "refused, ceiling half unused" in done.stdout
    assert "asks of the steward" in done.stdout


@pytest.mark.parametrize("seed", [1, 2])
def test_quotas_by_leases_cost_nothing_beyond_them_and_serve_as_well(seed: int) -> None:
    """A customer's share of the burst at each of many doors is less than a unit: whole units go round."""
    plain = Scenario(
        name="fleet", doors=17, length_s=8, servers=Servers(count=12), demand=Demand(load=(0.5, 0.5))
    )
    leased = msgspec.structs.replace(plain, leased_quotas=True)
    words, leases = days.play(plain, seed), days.play(leased, seed)
    assert not leases.books.violation_counts and leases.books.check() == []
    assert words.prices()["over_quota"] > 0 and leases.prices()["over_quota"] == 0
    kinds = {name.split("/")[0] for name in leases.leases.state.budgets}
    assert kinds == {"ceiling", "quota"}
    assert leases.result()["whole"] > 0.85 * words.result()["whole"]
