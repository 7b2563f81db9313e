"""Work in hand that outlives its door, in the model: nobody runs twice in two zones, and rules are kept."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from thistletrail.benchmarks.process import ROOT
from thistletrail.simulation import day as days
from thistletrail.simulation.day import Day
from thistletrail.simulation.kept import LEASE_US
from thistletrail.simulation.scenario import Demand, Net, Scenario, Servers, Trouble, dump

FLEET = Scenario(
    name="kept",
    doors=8,
    length_s=10,
    stretch=1.7,
    servers=Servers(count=8),
    net=Net(zones=4),
    demand=Demand(load=(0.6, 0.6)),
    troubles=(Trouble(kind="kill_doors", at_s=3, part=0.7), Trouble(kind="kill_doors", at_s=6, part=0.5)),
)


@pytest.fixture(scope="module")
def plays() -> dict[bool, list[Day]]:
    return {
        kept: [days.play(msgspec.structs.replace(FLEET, takeover=kept), seed) for seed in range(1, 9)]
        for kept in (False, True)
    }


def test_what_is_kept_runs_in_one_zone_and_breaks_no_rule(plays: dict[bool, list[Day]]) -> None:
    assert sum(day.books.zones for day in plays[False]) > 0
    assert sum(day.books.zones for day in plays[True]) == 0
    assert not [day.books.violation_counts for day in plays[True] if day.books.violation_counts]
    assert all(day.result()["sums"] == [] for day in plays[True])


def test_lost_work_is_taken_over_and_told_and_units_are_taken_once(plays: dict[bool, list[Day]]) -> None:
    counts = [day.kept.result() for day in plays[True]]
    assert sum(count.get("taken", 0) for count in counts) > 0
    assert sum(count.get("told served", 0) for count in counts) > 0
    assert all(count.get("served", 0) <= count.get("taken", 0) <= count.get("lost", 0) for count in counts)
    assert all(day.kept.counts == {} for day in plays[False])


def test_a_day_with_nothing_lost_is_the_same_with_it_and_without() -> None:
    calm = msgspec.structs.replace(FLEET, troubles=(), length_s=5)
    usual = days.play(calm, 1).result()
    assert days.play(msgspec.structs.replace(calm, takeover=True), 1).result() == usual
    assert LEASE_US < 2_000_000  # else what is taken over would have no time left


def test_the_command_sets_both_sides_beside_each_other(tmp_path: Path) -> None:
    path = tmp_path / "small.toml"
    path.write_text(dump(msgspec.structs.replace(FLEET, length_s=6, doors=4, servers=Servers(count=4))))
    words = ["takeover", str(path), "--seeds", "1", "--jobs", "2"]
    done = subprocess.run(
        [sys.executable, "-m", "thistletrail.simulation", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert "lost against kept" in done.stdout and "keyed in two zones" in done.stdout
    assert "most a second" in done.stdout.splitlines()[-1]
