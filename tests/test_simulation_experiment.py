"""The simulation's commands: runs, paired comparisons, sweeps, reports and the search."""

import os
import re
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from thistletrail.simulation import experiment, search
from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.experiment import (
    ROOT,
    THIS_TREE,
    PlannedRun,
    Runner,
    SourceTree,
    bootstrap,
    comparison_rows,
)
from thistletrail.simulation.report import read, write
from thistletrail.simulation.scenario import Demand, Scenario, ScenarioFault, Servers, dump, parse

TINY = Scenario(name="tiny", doors=2, length_s=1.5, servers=Servers(count=2), demand=Demand(load=(0.5, 0.5)))


@pytest.fixture
def tiny(tmp_path: Path) -> str:
    path = tmp_path / "tiny.toml"
    path.write_text(dump(TINY))
    return str(path)


def run_simulation(*arguments: str, **options: object) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "thistletrail.simulation", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
        **options,
    )


def test_run_writes_json_lines_with_the_total_last(tiny: str) -> None:
    completed = run_simulation("run", tiny, "--seed", "4")
    lines = [msgspec.json.decode(line) for line in completed.stdout.splitlines()]
    assert completed.returncode == 0 and completed.stderr == ""
    assert [line["kind"] for line in lines].count("second") >= 2
    assert lines[-1]["kind"] == "total" and lines[-1]["seed"] == 4
    total_only = run_simulation("run", tiny, "--seed", "4", "--total")
    assert total_only.stdout.splitlines() == completed.stdout.splitlines()[-1:]


@pytest.mark.parametrize(
    "arguments, message",
    [
        (["run", "nowhere.toml"], "nowhere.toml"),
        (["run", "clam"], "no scenario 'clam'"),
        (["run"], "SCENARIO"),
        (["run", "calm", "--seed", "x"], "--seed"),
        (["run", "calm", "--set", "NOPE=1"], "no constant 'NOPE'"),
        (["run", "calm", "--set", "CANDIDATES_OF_SMALL_FLEET"], "not NAME=NUMBER"),
        (["compare", "no-such-revision", "calm"], "no-such-revision"),
        (["sweep", "CANDIDATES_OF_SMALL_FLEET", "calm", "--values", "3"], "two or more"),
        (["sweep", "NOPE", "calm", "--values", "3,4"], "no constant"),
        (["bogus"], "bogus"),
    ],
)
def test_bad_input_is_reported_in_one_line_with_exit_code_2(arguments: list[str], message: str) -> None:
    completed = run_simulation(*arguments)
    assert completed.returncode == 2 and completed.stdout == ""
    assert len(completed.stderr.splitlines()) == 1 and message in completed.stderr


def test_an_unknown_scenario_key_is_reported_in_one_line_with_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text('name = "x"\nwidth = 3\n')
    completed = run_simulation("run", str(path))
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 1
    assert "bad.toml" in completed.stderr and "width" in completed.stderr


def test_a_sweep_pairs_runs_by_seed_and_saves_their_totals(tiny: str, tmp_path: Path) -> None:
    out = tmp_path / "totals.jsonl"
    completed = run_simulation(
        "sweep",
        "IN_FLIGHT_PER_SERVER",
        tiny,
        "--values",
        "5,1",
        "--seeds",
        "2",
        "--jobs",
        "2",
        "--out",
        str(out),
    )
    assert completed.returncode == 0, completed.stderr
    totals = [msgspec.json.decode(line) for line in out.read_bytes().splitlines()]
    assert sorted((total["side"], total["seed"]) for total in totals) == [
        ("1", 1),
        ("1", 2),
        ("5", 1),
        ("5", 2),
    ]
    assert "IN_FLIGHT_PER_SERVER = 5 against 1" in completed.stdout and "in 2 pairs" in completed.stdout
    assert "4 of 4" in completed.stderr


def test_ctrl_c_leaves_no_process_and_keeps_completed_totals(tmp_path: Path) -> None:
    path, out = tmp_path / "long.toml", tmp_path / "totals.jsonl"
    path.write_text(dump(TINY))
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "thistletrail.simulation",
            "sweep",
            "IN_FLIGHT_PER_SERVER",
            str(path),
            "--values",
            "5,4",
            "--seeds",
            "500",
            "--jobs",
            "2",
            "--out",
            str(out),
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline and not (out.exists() and out.read_bytes().count(b"\n") >= 2):
        time.sleep(0.05)
    process.send_signal(signal.SIGINT)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 130 and errors.endswith(b"simulation: stopped\n")
    totals = [msgspec.json.decode(line) for line in out.read_bytes().splitlines()]
    assert len(totals) >= 2
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                command_line = (entry / "cmdline").read_bytes()
            except OSError:
                continue
            assert str(path).encode() not in command_line


def test_an_unknown_revision_is_rejected() -> None:
    with pytest.raises(SimulationError, match="no revision 'nope'"), experiment.revision_tree("nope"):
        pass


def test_a_policy_with_other_names_of_enum_members_makes_the_same_run(tiny: str, tmp_path: Path) -> None:
    """`compare` runs older revisions of the policy, in which members of the same value have other names."""
    policy = tmp_path / "thistletrail" / "policy"
    shutil.copytree(ROOT / "thistletrail" / "policy", policy, ignore=shutil.ignore_patterns("__pycache__"))
    for path in policy.glob("*.py"):
        path.write_text(re.sub(r"\b(SUCCESS|SERVING)\b", r"OLD_\1", path.read_text()))
    assert "OLD_SUCCESS" in (policy / "events.py").read_text()
    assert "OLD_SERVING" in (policy / "events.py").read_text()
    experiment.link_missing_packages(tmp_path)
    sides = [PlannedRun("run", tree, tiny, 1) for tree in (SourceTree(tmp_path), THIS_TREE)]
    older, newer = Runner(1).run_all(sides, lambda total: None)
    assert older == newer


def test_a_run_uses_the_policy_of_its_source_tree(tiny: str, tmp_path: Path) -> None:
    """A run in a tree whose policy cannot be imported fails with the error of that policy."""
    (tmp_path / "thistletrail" / "policy").mkdir(parents=True)
    (tmp_path / "thistletrail" / "policy" / "__init__.py").write_text(
        "raise RuntimeError('the other module')"
    )
    experiment.link_missing_packages(tmp_path)
    runner = Runner(1)
    with pytest.raises(SimulationError, match="the other module"):
        runner.run_all([PlannedRun("other", SourceTree(tmp_path), tiny, 1)], lambda total: None)
    total = Runner(1).run_all([PlannedRun("this tree", THIS_TREE, tiny, 1)], lambda total: None)[0]
    assert total["side"] == "this tree" and total["asks"] > 0


def test_bootstrap_gives_the_median_and_an_interval_and_rows_hold_paired_differences() -> None:
    differences = [0.01, 0.02, 0.03, 0.02, 0.01, 0.02]
    interval = bootstrap(differences)
    assert interval.median == pytest.approx(0.02) and 0 < interval.low <= interval.median <= interval.high
    assert bootstrap(differences) == interval
    assert bootstrap([-0.1, 0.1, -0.1, 0.1]).low < 0 < bootstrap([-0.1, 0.1, -0.1, 0.1]).high
    with pytest.raises(SimulationError):
        bootstrap([])
    base = {
        "asks": 10,
        "whole": 1,
        "worst_10s": 1,
        "prices": {"over_quota": 0},
        "tries": 10,
        "attempts": 10,
        "handshakes": 1,
        "messages": {"arrived": 3, "intake full": 1},
        "broken": {},
        "units_beyond": 0,
        "refused": {"half unused, ceiling, word": 3, "half unused, home": 2, "beyond quota": 4},
    }
    totals = [
        {**base, "side": side, "seed": seed, "g": seed / 10 + gain}
        for seed in (1, 2, 3)
        for side, gain in (("a", 0.0), ("b", 0.05))
    ]
    rows = {name: figures for name, *figures in comparison_rows(totals, "a", "b")}
    assert rows["g"][2].median == pytest.approx(0.05) and rows["messages lost"][0] == pytest.approx(0.25)
    assert rows["refused, ceiling half unused"][0] == pytest.approx(0.3)
    assert comparison_rows(totals[:1], "a", "b") == []


def test_a_report_is_one_self_contained_file(tiny: str, tmp_path: Path) -> None:
    runs = []
    for seed in ("1", "2"):
        path = tmp_path / f"run-{seed}.jsonl"
        path.write_text(run_simulation("run", tiny, "--seed", seed).stdout)
        runs.append(read(path))
    out = tmp_path / "report.html"
    write(runs, out)
    text = out.read_text()
    assert text.count("data:image/png;base64,") == 2 and "http" not in text
    assert "Losses of value by cause" in text and "run-1" in text and "run-2" in text
    (tmp_path / "cut.jsonl").write_text('{"kind":"second"')
    with pytest.raises(SimulationError, match=r"cut.jsonl, line 1"):
        read(tmp_path / "cut.jsonl")
    (tmp_path / "total.jsonl").write_text(run_simulation("run", tiny, "--total").stdout)
    with pytest.raises(SimulationError, match="--total"):
        read(tmp_path / "total.jsonl")


def test_a_search_saves_shrunk_scenarios_that_break_a_rule(tmp_path: Path) -> None:
    """A fault that kills gateways and two servers break the rule; shrinking removes everything else."""

    def broken_rule(scenario: Scenario, seed: int) -> str:
        is_killed = any(fault.kind == "kill_doors" for fault in scenario.troubles)
        return "a rule" if is_killed and scenario.servers.count >= 2 else ""

    result = search.search(3, tmp_path, 0, 60, lambda text: None, broken_rule)
    assert result.played == 60 and result.saved
    for path in result.saved:
        saved = parse(path.read_bytes(), path.name)
        assert [fault.kind for fault in saved.troubles] == ["kill_doors"]
        assert saved.servers.count == 2 and saved.doors == 1 and saved.length_s < 6
        assert path.read_text().startswith("# seed ")
    assert search.search(3, tmp_path, 0, 5, lambda text: None, lambda *_: "").saved == []


def test_an_exception_in_the_policy_counts_as_a_broken_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    from thistletrail.simulation import gateways

    def fail(self: object, now_us: int, event: object) -> list:
        raise ZeroDivisionError("as the test wants")

    monkeypatch.setattr(gateways.PolicyEngine, "handle", fail, raising=False)
    assert search.first_broken_rule(TINY, 1) == "fault: ZeroDivisionError: as the test wants"


def test_scenarios_found_by_earlier_searches_break_no_rule() -> None:
    """`search` saved these scenarios as they broke a rule; their first lines have the seed and the rule."""
    for path in sorted((Path(__file__).parent / "found").glob("*.toml")):
        seed = int(path.read_text().split()[2].rstrip(":"))
        assert search.first_broken_rule(parse(path.read_bytes(), path.name), seed) == "", path.name


def test_a_dumped_scenario_contains_its_faults() -> None:
    scenario = msgspec.structs.replace(TINY, troubles=(ScenarioFault(kind="slow", at_s=1, size=4.0),))
    assert parse(dump(scenario).encode(), "x") == scenario and "slow" in dump(scenario)
    assert os.linesep == "\n"
