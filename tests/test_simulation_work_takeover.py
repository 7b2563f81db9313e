"""Simulated takeover of work items: a keyed request runs in one zone only, and no rule is broken."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from thistletrail.benchmarks.process import ROOT
from thistletrail.simulation.run import SimulationRun, play
from thistletrail.simulation.scenario import Demand, Net, Scenario, ScenarioFault, Servers, dump
from thistletrail.simulation.work_takeover import WORK_LEASE_US

FLEET = Scenario(
    name="kept",
    doors=8,
    length_s=10,
    stretch=1.7,
    servers=Servers(count=8),
    net=Net(zones=4),
    demand=Demand(load=(0.6, 0.6)),
    troubles=(
        ScenarioFault(kind="kill_doors", at_s=3, part=0.7),
        ScenarioFault(kind="kill_doors", at_s=6, part=0.5),
    ),
)


@pytest.fixture(scope="module")
def runs() -> dict[bool, list[SimulationRun]]:
    return {
        has_takeover: [
            play(msgspec.structs.replace(FLEET, takeover=has_takeover), seed) for seed in range(1, 9)
        ]
        for has_takeover in (False, True)
    }


def test_with_takeover_a_keyed_request_runs_in_one_zone_and_no_rule_is_broken(
    runs: dict[bool, list[SimulationRun]],
) -> None:
    assert sum(run.accounting.extra_zones for run in runs[False]) > 0
    assert sum(run.accounting.extra_zones for run in runs[True]) == 0
    assert not [run.accounting.violation_counts for run in runs[True] if run.accounting.violation_counts]
    assert all(run.result()["sums"] == [] for run in runs[True])


def test_lost_work_items_are_taken_over_and_their_clients_answered(
    runs: dict[bool, list[SimulationRun]],
) -> None:
    counts = [run.takeover.result() for run in runs[True]]
    assert sum(count.get("taken", 0) for count in counts) > 0
    assert sum(count.get("told served", 0) for count in counts) > 0
    assert all(count.get("served", 0) <= count.get("taken", 0) <= count.get("lost", 0) for count in counts)
    assert all(run.takeover.counts == {} for run in runs[False])


def test_without_faults_takeover_changes_nothing() -> None:
    without_faults = msgspec.structs.replace(FLEET, troubles=(), length_s=5)
    baseline = play(without_faults, 1).result()
    assert play(msgspec.structs.replace(without_faults, takeover=True), 1).result() == baseline
    assert WORK_LEASE_US < 2_000_000  # otherwise a work item would have no time left after its takeover


def test_the_takeover_command_compares_runs_with_and_without_takeover(tmp_path: Path) -> None:
    scenario_path = tmp_path / "small.toml"
    scenario_path.write_text(
        dump(msgspec.structs.replace(FLEET, length_s=6, doors=4, servers=Servers(count=4)))
    )
    arguments = ["takeover", str(scenario_path), "--seeds", "1", "--jobs", "2"]
    completed = subprocess.run(
        [sys.executable, "-m", "thistletrail.simulation", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    assert "lost against kept" in completed.stdout and "keyed in two zones" in completed.stdout
    assert "most a second" in completed.stdout.splitlines()[-1]
