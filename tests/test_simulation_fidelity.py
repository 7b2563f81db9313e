"""How rankings of revisions are compared."""

import math
from pathlib import Path

import pytest

from tests.test_simulation_experiment import model
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.fidelity import Figure, changes, fitting, ranks, read, render, spearman, table


def plays(bench: str, **gains: float) -> list[Figure]:
    """Two days on which each revision has so much more G than the base's 0.5 and 0.7."""
    return [
        Figure(bench, "zone", seed, rev, base + gain)
        for seed, base in ((1, 0.5), (2, 0.7))
        for rev, gain in {"base": 0.0, **gains}.items()
    ]


def test_ranks_and_their_correlation() -> None:
    assert list(ranks([3.0, 1.0, 2.0, 2.0])) == [4.0, 1.0, 2.5, 2.5]
    assert spearman([1, 2, 3], [10, 20, 90]) == pytest.approx(1)
    assert spearman([1, 2, 3], [3, 2, 1]) == pytest.approx(-1)
    assert math.isnan(spearman([1, 1, 1], [1, 2, 3])) and math.isnan(spearman([1], [1]))


def test_changes_are_paired_by_day() -> None:
    figures = [*plays("b", old=-0.1), Figure("b", "zone", 3, "old", 0.1)]  # the base was not played on day 3
    assert changes(figures, "base") == {("b", "zone"): (2, {"old": pytest.approx(-0.1)})}


def test_a_table_says_how_both_rank_the_revisions() -> None:
    seen, found = plays("b", one=-0.1, two=-0.2, three=0.1), plays("b", one=-0.01, two=-0.05, three=0.0)
    rows = table(seen, found, "base")
    assert len(rows) == 1 and rows[0].correlation() == pytest.approx(1) and rows[0].days == 2
    text = render(rows, "base")
    assert "| b | zone | 2 | 1.00 |" in text and "+0.100, +0.010" in text  # from the old one to the base
    against = table(plays("b", one=-0.1, two=-0.2), plays("b", one=0.2, two=0.3), "base")
    assert against[0].correlation() == pytest.approx(-1)


def test_a_bench_that_is_smaller_gets_a_smaller_fleet() -> None:
    assert fitting("mass at 40", "zone").doors == fitting("mass at 40", "zone").servers.count == 40
    assert fitting("lbsim", "quiet").doors == 3


def test_figures_that_are_none_are_told(tmp_path: Path) -> None:
    path = tmp_path / "bench.jsonl"
    with pytest.raises(ModelError, match=r"bench.jsonl"):
        read(path)
    path.write_text('{"bench":"b"}\n')
    with pytest.raises(ModelError, match="line 1"):
        read(path)
    path.write_text("")
    with pytest.raises(ModelError, match="no figures"):
        read(path)
    path.write_text('{"bench":"lbsim","kind":"quiet","seed":1,"rev":"a","g":0.5}\n')
    done = model("fidelity", str(path), "--base", "b")
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and "b is not among" in done.stderr
