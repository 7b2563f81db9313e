"""The way back in the model: shares of the doors, with what they stored and without, against one twin."""

import subprocess
import sys

import msgspec
import pytest

from thistletrail.benchmarks.process import ROOT
from thistletrail.simulation.back import Case, of, play_seed, table
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.scenario import Demand, Scenario, Servers, Trouble, dump

FLEET = Scenario(
    name="back",
    doors=6,
    length_s=5,
    servers=Servers(count=4),
    demand=Demand(load=(0.4, 0.4)),
    troubles=(Trouble(kind="kill_doors", at_s=1.5, back_s=(0.3, 0.6)),),
)


def test_plays_differ_in_the_share_and_in_what_is_stored_and_in_nothing_else() -> None:
    cases = [Case(part, state, 1) for part in (0.5, 1.0) for state in ("none", "kept", "stale")]
    found = dict(play_seed(FLEET, cases))
    assert all(figures["broken rules"] == 0 for figures in found.values())
    for part in (0.5, 1.0):
        assert found[Case(part, "none", 1)] == found[Case(part, "stale", 1)]
        assert found[Case(part, "none", 1)] != found[Case(part, "kept", 1)]
    assert found[Case(1.0, "none", 1)]["whole"] < found[Case(0.5, "none", 1)]["whole"]
    rows = list(table(found))
    assert {state for _, state, _, _, apart in rows if apart is None} == {"none"}
    assert all(apart.median == 0 for _, state, _, _, apart in rows if state == "stale")


def test_a_scenario_that_kills_no_doors_is_turned_away() -> None:
    with pytest.raises(ModelError, match="does not kill doors"):
        of(msgspec.structs.replace(FLEET, troubles=()), Case(0.5, "none", 1))


@pytest.mark.parametrize(
    "words, code, said",
    [
        (["--parts", "1", "--seeds", "2", "--jobs", "2"], 0, "after the last door"),
        (["--parts", "0"], 2, "not a list of shares"),
        (["--parts", "1,1"], 2, "not a list of shares"),
        (["--states", "old"], 2, "not a list of states"),
    ],
)
def test_the_command(words: list[str], code: int, said: str, tmp_path: object) -> None:
    path = tmp_path / "back.toml"
    path.write_text(dump(FLEET))
    done = subprocess.run(
        [sys.executable, "-m", "thistletrail.simulation", "back", str(path), *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == code and said in (done.stdout if code == 0 else done.stderr)
    if code:
        assert len(done.stderr.splitlines()) == 1
