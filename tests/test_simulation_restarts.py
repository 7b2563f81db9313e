"""The `back` command: recovery by the share of killed gateways and the state of their snapshots."""

import subprocess
import sys

import msgspec
import pytest

from thistletrail.benchmarks.process import ROOT
from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.restarts import Case, play_seed, scenario_for, table_rows
from thistletrail.simulation.scenario import Demand, Scenario, ScenarioFault, Servers, dump

FLEET = Scenario(
    name="back",
    doors=6,
    length_s=5,
    servers=Servers(count=4),
    demand=Demand(load=(0.4, 0.4)),
    troubles=(ScenarioFault(kind="kill_doors", at_s=1.5, back_s=(0.3, 0.6)),),
)


def test_runs_of_a_seed_differ_only_by_share_and_by_snapshot() -> None:
    cases = [Case(share, state, 1) for share in (0.5, 1.0) for state in ("none", "kept", "stale")]
    figures = dict(play_seed(FLEET, cases))
    assert all(case_figures["broken rules"] == 0 for case_figures in figures.values())
    for share in (0.5, 1.0):
        assert figures[Case(share, "none", 1)] == figures[Case(share, "stale", 1)]
        assert figures[Case(share, "none", 1)] != figures[Case(share, "kept", 1)]
    assert figures[Case(1.0, "none", 1)]["whole"] < figures[Case(0.5, "none", 1)]["whole"]
    rows = list(table_rows(figures))
    assert {state for _, state, _, _, difference in rows if difference is None} == {"none"}
    assert all(difference.median == 0 for _, state, _, _, difference in rows if state == "stale")


def test_a_scenario_that_kills_no_gateways_is_rejected() -> None:
    with pytest.raises(SimulationError, match="does not kill gateways"):
        scenario_for(msgspec.structs.replace(FLEET, troubles=()), Case(0.5, "none", 1))


@pytest.mark.parametrize(
    "arguments, exit_code, message",
    [
        (["--parts", "1", "--seeds", "2", "--jobs", "2"], 0, "after the last gateway, s"),
        (["--parts", "0"], 2, "not a list of shares"),
        (["--parts", "1,1"], 2, "not a list of shares"),
        (["--states", "old"], 2, "not a list of states"),
    ],
)
def test_the_command_measures_shares_and_rejects_bad_lists(
    arguments: list[str], exit_code: int, message: str, tmp_path: object
) -> None:
    path = tmp_path / "back.toml"
    path.write_text(dump(FLEET))
    completed = subprocess.run(
        [sys.executable, "-m", "thistletrail.simulation", "back", str(path), *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    output = completed.stdout if exit_code == 0 else completed.stderr
    assert completed.returncode == exit_code and message in output
    if exit_code:
        assert len(completed.stderr.splitlines()) == 1
