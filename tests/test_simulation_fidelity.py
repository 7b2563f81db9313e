"""Comparison of how a benchmark and the simulation rank revisions."""

import math
from pathlib import Path

import pytest

from tests.test_simulation_experiment import run_simulation
from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.fidelity import (
    BenchmarkResult,
    mean_changes,
    ranking_rows,
    ranks,
    read,
    render,
    scenario_for,
    spearman,
)


def benchmark_results(bench: str, **gains: float) -> list[BenchmarkResult]:
    """Return results for two seeds: G of the base is 0.5 and 0.7, that of a revision higher by its gain."""
    return [
        BenchmarkResult(bench, "zone", seed, rev, base + gain)
        for seed, base in ((1, 0.5), (2, 0.7))
        for rev, gain in {"base": 0.0, **gains}.items()
    ]


def test_equal_values_share_their_mean_rank_and_constant_sides_have_no_correlation() -> None:
    assert list(ranks([3.0, 1.0, 2.0, 2.0])) == [4.0, 1.0, 2.5, 2.5]
    assert spearman([1, 2, 3], [10, 20, 90]) == pytest.approx(1)
    assert spearman([1, 2, 3], [3, 2, 1]) == pytest.approx(-1)
    assert math.isnan(spearman([1, 1, 1], [1, 2, 3])) and math.isnan(spearman([1], [1]))


def test_changes_are_paired_by_seed() -> None:
    seed_without_base = BenchmarkResult("b", "zone", 3, "old", 0.1)
    results = [*benchmark_results("b", old=-0.1), seed_without_base]
    assert mean_changes(results, "base") == {("b", "zone"): (2, {"old": pytest.approx(-0.1)})}


def test_a_row_has_the_rank_correlation_of_benchmark_and_simulation() -> None:
    measured = benchmark_results("b", one=-0.1, two=-0.2, three=0.1)
    simulated = benchmark_results("b", one=-0.01, two=-0.05, three=0.0)
    rows = ranking_rows(measured, simulated, "base")
    assert len(rows) == 1 and rows[0].correlation() == pytest.approx(1) and rows[0].seed_count == 2
    text = render(rows, "base")
    assert "| b | zone | 2 | 1.00 |" in text
    assert "+0.100, +0.010" in text  # the changes from a revision to the base
    measured, simulated = benchmark_results("b", one=-0.1, two=-0.2), benchmark_results("b", one=0.2, two=0.3)
    opposite = ranking_rows(measured, simulated, "base")
    assert opposite[0].correlation() == pytest.approx(-1)


def test_the_simulated_fleet_has_the_size_of_the_benchmarks_fleet() -> None:
    assert scenario_for("mass at 40", "zone").doors == scenario_for("mass at 40", "zone").servers.count == 40
    assert scenario_for("lbsim", "quiet").doors == 3


def test_invalid_results_are_reported_with_file_and_line(tmp_path: Path) -> None:
    path = tmp_path / "bench.jsonl"
    with pytest.raises(SimulationError, match=r"bench.jsonl"):
        read(path)
    path.write_text('{"bench":"b"}\n')
    with pytest.raises(SimulationError, match="line 1"):
        read(path)
    path.write_text("")
    with pytest.raises(SimulationError, match="no figures"):
        read(path)
    path.write_text('{"bench":"lbsim","kind":"quiet","seed":1,"rev":"a","g":0.5}\n')
    completed = run_simulation("fidelity", str(path), "--base", "b")
    assert completed.returncode == 2 and len(completed.stderr.splitlines()) == 1
    assert "b is not among" in completed.stderr
