"""Simulated budget leases: no ceiling is exceeded when gateways die, and a wrong division is detected."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from thistletrail.benchmarks.process import ROOT
from thistletrail.simulation.run import SimulationRun, play
from thistletrail.simulation.scenario import PLANS, Demand, Net, Scenario, ScenarioFault, Servers, dump, parse

# Ceilings below the quotas, so that the ceilings limit the customers.
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
        ScenarioFault(kind="kill_doors", at_s=3, part=0.5),
        ScenarioFault(kind="hot_customers", at_s=1, for_s=6, part=0.5, size=2.0),
    ),
)


@pytest.fixture(scope="module")
def runs() -> list[SimulationRun]:
    return [play(FLEET, seed) for seed in range(1, 5)]


def test_restarted_gateways_are_granted_shares_again_and_no_ceiling_is_exceeded(
    runs: list[SimulationRun],
) -> None:
    for run in runs:
        assert run.accounting.violation_counts == {} and run.result()["sums"] == []
        assert run.leases.renewals > 100
        incarnations = {leases.holder.incarnation for leases in run.leases.holders.values()}
        assert len(incarnations) > 1  # some gateways have restarted
        budgets = run.leases.state.budgets
        assert budgets and {name.split("/")[2] for name in budgets} == {"2"}  # the only plan with ceilings
    # More is served than with the floors alone, a tenth of the ceilings, which need no lease.
    assert min(run.result()["plans"]["institution"] for run in runs) > 0.2


def test_runs_are_reproducible_and_without_leases_nothing_is_renewed(runs: list[SimulationRun]) -> None:
    assert play(FLEET, 1).result() == runs[0].result()
    fixed = play(msgspec.structs.replace(FLEET, leased=False), 1)
    assert fixed.leases.renewals == 0 and not fixed.leases.holders


def test_a_lease_service_that_grants_more_than_the_total_exceeds_ceilings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The injected fault tests that the check of ceilings detects it."""
    monkeypatch.setattr(
        "thistletrail.leasing.budget_state.divisible_total", lambda limits, *_: 8 * limits.total
    )
    assert any(
        "a ceiling was passed" in play(FLEET, seed).accounting.violation_counts for seed in range(1, 5)
    )


def test_the_leases_command_compares_fixed_shares_with_leases(tmp_path: Path) -> None:
    scenario_path = tmp_path / "x.toml"
    scenario_path.write_text(dump(msgspec.structs.replace(FLEET, length_s=3, troubles=())))
    assert parse(scenario_path.read_bytes(), "x") == msgspec.structs.replace(FLEET, length_s=3, troubles=())
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "thistletrail.simulation",
            "leases",
            str(scenario_path),
            "--seeds",
            "1",
            "--jobs",
            "2",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert completed.returncode == 0 and "refused, ceiling half unused" in completed.stdout
    assert "renewals at the lease service per operation" in completed.stdout


@pytest.mark.parametrize("seed", [1, 2])
def test_leased_quotas_are_not_exceeded_and_serve_nearly_as_much(seed: int) -> None:
    """With many gateways, one's share of a customer's burst is below a unit; only whole units are granted."""
    fixed = Scenario(
        name="fleet", doors=17, length_s=8, servers=Servers(count=12), demand=Demand(load=(0.5, 0.5))
    )
    leased = msgspec.structs.replace(fixed, leased_quotas=True)
    fixed_run, leased_run = play(fixed, seed), play(leased, seed)
    assert not leased_run.accounting.violation_counts and leased_run.accounting.check() == []
    assert fixed_run.prices()["over_quota"] > 0 and leased_run.prices()["over_quota"] == 0
    kinds = {name.split("/")[0] for name in leased_run.leases.state.budgets}
    assert kinds == {"ceiling", "quota"}
    assert leased_run.result()["whole"] > 0.85 * fixed_run.result()["whole"]
