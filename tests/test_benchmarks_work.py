"""Tests of the benchmarks of work leases and budget leases, by counts and sizes only, not by speed."""

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
def long_deadlines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make all deadlines and client time-outs so long that no request times out on a busy machine."""
    categories = [
        {**category, "on-time-us": 60_000_000, "deadline-us": 90_000_000}
        for category in cost.SETTINGS["categories"]
    ]
    monkeypatch.setattr(cost, "SETTINGS", {**cost.SETTINGS, "categories": categories})
    monkeypatch.setattr(load_generator, "REQUEST_DEADLINE_MS", 80_000)
    monkeypatch.setattr(load_generator, "ANSWER_TIMEOUT_S", 81.0)


@pytest.mark.usefixtures("long_deadlines")
def test_all_requests_are_served_without_and_with_work_leases_and_a_work_item_logs_under_3000_bytes() -> None:
    # A scan server for each three requests: none is queued, even if all requests arrive at once.
    load = replace(cost.with_request_count(LOADS["steady"], 60), servers=20)
    pairs = asyncio.run(work.run_pairs(WORKING_TREE, load, 1, 1))
    ((without, with_),) = pairs
    assert (without.with_leases, with_.with_leases) == (False, True)
    assert without.served == with_.served == 60
    assert not without.lease_service_cpu_us and with_.latency_p50_us > 0
    service = asyncio.run(work.measure_service(200, 1))
    # A request of 512 bytes and an answer of 1,024 as base64 (2,052), and their attributes.
    assert 2052 < service.log_bytes_per_item < 3000
    assert "the lease service alone" in work.format_table(pairs, service)
    assert json.loads(json.dumps(work.to_json_object(pairs, service)))["alone"]["pieces"] == 200


def test_every_renewal_of_several_gateways_is_granted_and_stays_below_its_size_limit() -> None:
    figures = asyncio.run(leases.measure(6, 4, 2, 2, 1))
    # Four renewals for each gateway, of which a busy machine may skip one.
    assert figures.renewals + figures.late >= 6 * 4 - 6 and figures.renewals > 0
    assert figures.granted == figures.renewals * figures.budgets
    assert figures.request_bytes < 60 + 4 * 80 and figures.response_bytes < 60 + 4 * 80
    assert "renewals a second of one core" in leases.format_table(figures)
    assert json.loads(json.dumps(figures.to_json_object()))["budgets"] == 4


@pytest.mark.parametrize("arguments", [("takeover", "--pairs"), ("leases", "--holders")])
def test_bad_argument_ends_with_status_2_and_one_line_that_names_it(arguments: tuple[str, str]) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "thistletrail.benchmarks", *arguments, "x"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1 and arguments[1] in result.stderr
