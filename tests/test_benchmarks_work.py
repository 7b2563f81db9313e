"""The benches of what the steward keeps and divides: counts and bytes, never speed."""

import asyncio
import json
import subprocess
import sys
from dataclasses import replace

import pytest

from tests.helpers import WORKING_TREE
from thistletrail.benchmarks import cost, leases, load_generator, work
from thistletrail.benchmarks.loads import LOADS
from thistletrail.benchmarks.process import ROOT


@pytest.fixture
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Classes and clients for which no time decides, however busy the machine: nothing is given up."""
    categories = [
        {**category, "on-time-us": 60_000_000, "deadline-us": 90_000_000}
        for category in cost.SETTINGS["categories"]
    ]
    monkeypatch.setattr(cost, "SETTINGS", {**cost.SETTINGS, "categories": categories})
    monkeypatch.setattr(load_generator, "REQUEST_DEADLINE_MS", 80_000)
    monkeypatch.setattr(load_generator, "ANSWER_TIMEOUT_S", 81.0)


@pytest.mark.usefixtures("patient")
def test_each_request_is_served_with_it_off_and_on_and_a_piece_takes_few_bytes_of_log() -> None:
    # With a scan server for each three requests, none is held, even if all come at once.
    load = replace(cost.with_request_count(LOADS["steady"], 60), servers=20)
    found = asyncio.run(work.pairs(WORKING_TREE, load, 1, 1))
    ((off, on),) = found
    assert (off.kept, on.kept) == (False, True) and off.served == on.served == 60
    assert not off.steward_us and on.p50_us > 0
    alone = asyncio.run(work.alone(200, 1))
    # A request of 512 bytes and an answer of 1,024 as base64 (2,052), and what is said of them.
    assert 2052 < alone.log_bytes < 3000
    assert "the steward alone" in work.table(found, alone)
    assert json.loads(json.dumps(work.as_json(found, alone)))["alone"]["pieces"] == 200


def test_each_ask_of_several_front_doors_is_granted_and_takes_few_bytes() -> None:
    found = asyncio.run(leases.play(6, 4, 2, 2, 1))
    # Four asks each, less those that a busy machine has left out.
    assert found.asks + found.late >= 6 * 4 - 6 and found.asks > 0
    assert found.granted == found.asks * found.budgets  # every budget of every ask
    assert found.ask_bytes < 60 + 4 * 80 and found.answer_bytes < 60 + 4 * 80
    assert "asks a second of one core" in leases.table(found)
    assert json.loads(json.dumps(leases.as_json(found)))["budgets"] == 4


@pytest.mark.parametrize("words", [("takeover", "--pairs"), ("leases", "--holders")])
def test_bad_input_is_one_line(words: tuple[str, str]) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "thistletrail.benchmarks", *words, "x"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and words[1] in done.stderr
