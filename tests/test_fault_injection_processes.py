"""Runs of real processes: the plan `short` violates no rule, and no process remains after its run."""

import os
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import pytest

from tests.helpers import WORKING_TREE
from thistletrail.benchmarks.process import ROOT, GatewaySourceTree
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.plan import load
from thistletrail.fault_injection.report import write_report
from thistletrail.fault_injection.runs import Run, load_run, play_once, run, store_run

EXIT_TIMEOUT_S = 20.0  # until all processes have exited; exceeded only on a failure
MARK_VARIABLE = "FAULT_INJECTION_TEST_MARK"


def processes_with_mark(mark: str) -> set[int]:
    """Return the ids of the processes that have a mark in their environment."""
    process_ids = set()
    for folder in Path("/proc").iterdir():
        if folder.name.isdigit() and int(folder.name) != os.getpid():
            try:
                environment = (folder / "environ").read_bytes()
            except OSError:
                continue
            if f"{MARK_VARIABLE}={mark}".encode() in environment:
                process_ids.add(int(folder.name))
    return process_ids


@pytest.fixture(scope="module")
def short_run() -> Run:
    """One run of the plan `short`, with its baseline run."""
    return run(load("short"), 1, WORKING_TREE, lambda text: None)


def test_short_plan_violates_no_rule(short_run: Run) -> None:
    assert short_run.violations == []
    start_counts = Counter(
        record["who"].partition("-")[0] for record in short_run.history.records_by_kind["started"]
    )
    assert start_counts == {"doors": 4 + 2, "servers": 4 + 1, "list": 2, "follower": 1, "clients": 1}
    assert all(record["meant"] for record in short_run.history.records_by_kind["died"])
    assert {record["fault"] for record in short_run.history.records_by_kind["undone"]} == {"kill", "replace"}
    assert len(short_run.history.records_by_kind["pong"]) >= 4 + 2


def test_short_plan_records_what_each_process_observed(short_run: Run) -> None:
    requests = short_run.history.records_by_kind["try"]
    ended_ids = {record["id"] for record in short_run.history.records_by_kind["end"]}
    assert len(requests) > 100 and {record["id"] for record in requests} <= ended_ids
    updates_with_drain = [
        record
        for record in short_run.history.records_by_kind["told"]
        if "DRAINING" in record["servers"].values()
    ]
    assert {record["door"] for record in updates_with_drain} == {f"doors-{n}" for n in range(4)}
    assert {record["door"] for record in short_run.history.records_by_kind["door"]} == {0, 1, 2, 3}
    # The baseline run has the same operations.
    customers = [
        sorted(record["customer"] for record in history.records_by_kind["ask"])
        for history in (short_run.history, short_run.baseline)
    ]
    assert customers[0] == customers[1]
    assert short_run.figures.served > 0.2 and short_run.figures.pushed_over == 0


def test_run_is_stored_loaded_and_reported(short_run: Run, tmp_path: Path) -> None:
    store_run(short_run, tmp_path / "run")
    loaded = load_run(tmp_path / "run")
    assert loaded.figures == short_run.figures and loaded.violations == short_run.violations
    write_report([("run", loaded)], tmp_path / "report.html")
    page = (tmp_path / "report.html").read_text()
    assert "Rules kept." in page and "data:image/png;base64," in page and 'src="http' not in page
    with pytest.raises(FaultInjectionError, match="holds no run"):
        load_run(tmp_path)


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_process_is_left_after_fault_injection_is_ended(signal_number: int) -> None:
    """The processes of a run exit also after SIGKILL, as in a crash of fault injection itself."""
    mark = f"{os.getpid()}-{signal_number}"
    code = (
        "from thistletrail.command_line import end_on_signals\n"
        "end_on_signals()\n"
        "from thistletrail.benchmarks.process import working_tree\n"
        "from thistletrail.fault_injection.plan import load\n"
        "from thistletrail.fault_injection.runs import play_once\n"
        "play_once(load('short'), 1, working_tree(), lambda text: None)"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env={**os.environ, MARK_VARIABLE: mark},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        while len(processes_with_mark(mark)) < 8:
            assert process.poll() is None
            time.sleep(0.02)
        process.send_signal(signal_number)
        assert process.wait(EXIT_TIMEOUT_S) != 0
        deadline = time.monotonic() + EXIT_TIMEOUT_S
        while processes_with_mark(mark) and time.monotonic() < deadline:
            time.sleep(0.02)
        assert processes_with_mark(mark) == set()
    finally:
        process.kill()
        process.wait()


def test_failed_start_is_reported_in_one_line_and_leaves_no_process(monkeypatch: pytest.MonkeyPatch) -> None:
    mark = f"{os.getpid()}-failed"
    monkeypatch.setenv(MARK_VARIABLE, mark)
    tree_with_broken_gateway = GatewaySourceTree(ROOT, "echo 'no such module' >&2; exit 3", logs_costs=True)
    with pytest.raises(FaultInjectionError, match=r"doors-.: .*no such module") as error_info:
        play_once(load("short"), 1, tree_with_broken_gateway, lambda text: None)
    assert "\n" not in str(error_info.value)
    assert processes_with_mark(mark) == set()


@pytest.mark.parametrize(
    "arguments, message",
    [
        (["run", "nothing"], "there is no plan 'nothing'"),
        (["run", "short", "--seed", "x"], "--seed"),
        (["report", "/nowhere"], "does not exist"),
        (["pairs", "no-such-revision", "short"], "no revision 'no-such-revision'"),
        (["compare", "split", "--seeds", "1"], "the simulation has no"),
        (["bogus"], "bogus"),
    ],
)
def test_invalid_input_is_reported_in_one_line_with_exit_code_2(arguments: list[str], message: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "thistletrail.fault_injection", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 2 and process.stdout == ""
    assert len(process.stderr.splitlines()) == 1 and message in process.stderr
