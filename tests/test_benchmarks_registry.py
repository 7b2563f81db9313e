"""Tests of the registry's benchmark, by counts and sizes only, not by speed."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

from thistletrail.benchmarks import registry
from thistletrail.benchmarks.process import ROOT


def test_each_watcher_receives_each_change_once_in_a_bounded_size(tmp_path: Path) -> None:
    figures = asyncio.run(registry.measure(watchers=5, instances=4, changes=6, seed=1))
    assert len(figures.write_to_last_ms) == 6 and sum(figures.connects) == 5
    # One entry, the framing of its chunk, and an occasional empty line.
    assert 100 < figures.bytes_a_change < 320
    assert "5 watchers, 4 leased instances, 6 changes" in registry.format_table(figures)
    assert json.loads(json.dumps(registry.to_json_object(figures)))["instances"] == 4


def test_bad_argument_ends_with_status_2_and_one_line_that_names_it() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "thistletrail.benchmarks", "registry", "--watchers", "0"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1 and "--watchers" in result.stderr
