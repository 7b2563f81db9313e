"""Several real processes at once: the short plan keeps the rules, and nothing is left of a run that ends."""

import os
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import pytest

from thistletrail.benchmarks.process import ROOT, Tree
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.plan import load
from thistletrail.fault_injection.report import write
from thistletrail.fault_injection.runs import Run, keep, kept, play_once, run

DOOR = f"exec {sys.executable} -m thistletrail.gateway"
HERE = Tree(ROOT, DOOR, tells_costs=True)
GONE_S = 20.0  # for processes to end: only a fault takes that long
MARK = "FAULT_INJECTION_TEST_MARK"


def of_mark(mark: str) -> set[int]:
    """The processes that carry a mark in their environment."""
    found = set()
    for folder in Path("/proc").iterdir():
        if folder.name.isdigit() and int(folder.name) != os.getpid():
            try:
                environment = (folder / "environ").read_bytes()
            except OSError:
                continue
            if f"{MARK}={mark}".encode() in environment:
                found.add(int(folder.name))
    return found


@pytest.fixture(scope="module")
def short() -> Run:
    return run(load("short"), 1, HERE, lambda text: None)


def test_the_short_plan_keeps_every_rule(short: Run) -> None:
    assert short.violations == []
    count = Counter(record["who"].partition("-")[0] for record in short.seen.by["started"])
    assert count == {"doors": 4 + 2, "servers": 4 + 1, "list": 2, "follower": 1, "clients": 1}
    assert all(record["meant"] for record in short.seen.by["died"])
    assert {record["fault"] for record in short.seen.by["undone"]} == {"kill", "replace"}
    assert len(short.seen.by["pong"]) >= 4 + 2


def test_the_short_plan_says_what_everybody_saw(short: Run) -> None:
    asked, ended = short.seen.by["try"], {record["id"] for record in short.seen.by["end"]}
    assert len(asked) > 100 and {record["id"] for record in asked} <= ended
    drained = [record for record in short.seen.by["told"] if "DRAINING" in record["servers"].values()]
    assert {record["door"] for record in drained} == {f"doors-{n}" for n in range(4)}
    assert {record["door"] for record in short.seen.by["door"]} == {0, 1, 2, 3}
    # The calm twin asked the same.
    asks = [sorted(record["customer"] for record in seen.by["ask"]) for seen in (short.seen, short.calm)]
    assert asks[0] == asks[1]
    assert short.figures.served > 0.2 and short.figures.pushed_over == 0


def test_a_run_is_kept_read_again_and_reported(short: Run, tmp_path: Path) -> None:
    keep(short, tmp_path / "run")
    again = kept(tmp_path / "run")
    assert again.figures == short.figures and again.violations == short.violations
    write([("run", again)], tmp_path / "report.html")
    page = (tmp_path / "report.html").read_text()
    assert "Rules kept." in page and "data:image/png;base64," in page and 'src="http' not in page
    with pytest.raises(FaultInjectionError, match="holds no run"):
        kept(tmp_path)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_nothing_is_left_when_the_fault_injection_is_ended(number: int) -> None:
    """SIGKILL stands for a crash of the fault injection."""
    mark = f"{os.getpid()}-{number}"
    words = (
        "from thistletrail.command_line import end_on_signals\nend_on_signals()\n"
        "from thistletrail.benchmarks.process import ROOT, Tree\n"
        "from thistletrail.fault_injection.plan import load\n"
        "from thistletrail.fault_injection.runs import play_once\n"
        f"play_once(load('short'), 1, Tree(ROOT, {DOOR!r}, True), lambda text: None)"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", words],
        cwd=ROOT,
        env={**os.environ, MARK: mark},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        while len(of_mark(mark)) < 8:
            assert process.poll() is None
            time.sleep(0.02)
        process.send_signal(number)
        assert process.wait(GONE_S) != 0
        end = time.monotonic() + GONE_S
        while of_mark(mark) and time.monotonic() < end:
            time.sleep(0.02)
        assert of_mark(mark) == set()
    finally:
        process.kill()
        process.wait()


def test_a_failed_start_is_one_plain_line_and_leaves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    mark = f"{os.getpid()}-failed"
    monkeypatch.setenv(MARK, mark)
    broken = Tree(ROOT, "echo 'it cannot be' >&2; exit 3", tells_costs=True)
    with pytest.raises(FaultInjectionError, match=r"doors-.: .*it cannot be") as caught:
        play_once(load("short"), 1, broken, lambda text: None)
    assert "\n" not in str(caught.value)
    assert of_mark(mark) == set()


@pytest.mark.parametrize(
    "words, said",
    [
        (["run", "nothing"], "there is no plan 'nothing'"),
        (["run", "short", "--seed", "x"], "--seed"),
        (["report", "/nowhere"], "does not exist"),
        (["pairs", "no-such-revision", "short"], "no revision 'no-such-revision'"),
        (["compare", "split", "--seeds", "1"], "the model has no"),
        (["bogus"], "bogus"),
    ],
)
def test_bad_input_is_one_line_and_exit_code_2(words: list[str], said: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "thistletrail.fault_injection", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and said in done.stderr
