"""The model's commands, pairs, sweeps, reports and the search, each without the bench."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from thistletrail.simulation import experiment, search
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.experiment import ROOT, THIS_TREE, Play, Runner, Tree, bootstrap, table
from thistletrail.simulation.report import read, write
from thistletrail.simulation.scenario import Demand, Scenario, Servers, Trouble, dump, parse

TINY = Scenario(name="tiny", doors=2, length_s=1.5, servers=Servers(count=2), demand=Demand(load=(0.5, 0.5)))


@pytest.fixture
def tiny(tmp_path: Path) -> str:
    path = tmp_path / "tiny.toml"
    path.write_text(dump(TINY))
    return str(path)


def model(*words: str, **more: object) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "thistletrail.simulation", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
        **more,
    )


def test_a_run_is_json_lines_and_its_total_comes_last(tiny: str) -> None:
    done = model("run", tiny, "--seed", "4")
    lines = [msgspec.json.decode(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0 and done.stderr == ""
    assert [line["kind"] for line in lines].count("second") >= 2
    assert lines[-1]["kind"] == "total" and lines[-1]["seed"] == 4
    short = model("run", tiny, "--seed", "4", "--total")
    assert short.stdout.splitlines() == done.stdout.splitlines()[-1:]


@pytest.mark.parametrize(
    "words, said",
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
def test_bad_input_is_one_line_and_exit_code_2(words: list[str], said: str) -> None:
    done = model(*words)
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and said in done.stderr


def test_an_unknown_key_is_one_line_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text('name = "x"\nwidth = 3\n')
    done = model("run", str(path))
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1 and "bad.toml" in done.stderr and "width" in done.stderr


def test_a_sweep_pairs_by_seed_and_keeps_its_totals(tiny: str, tmp_path: Path) -> None:
    out = tmp_path / "totals.jsonl"
    done = model(
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
    assert done.returncode == 0, done.stderr
    kept = [msgspec.json.decode(line) for line in out.read_bytes().splitlines()]
    assert sorted((total["side"], total["seed"]) for total in kept) == [
        ("1", 1),
        ("1", 2),
        ("5", 1),
        ("5", 2),
    ]
    assert "IN_FLIGHT_PER_SERVER = 5 against 1" in done.stdout and "in 2 pairs" in done.stdout
    assert "4 of 4" in done.stderr


def test_ctrl_c_leaves_no_process_and_keeps_what_has_ended(tmp_path: Path) -> None:
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
    kept = [msgspec.json.decode(line) for line in out.read_bytes().splitlines()]
    assert len(kept) >= 2
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                words = (entry / "cmdline").read_bytes()
            except OSError:
                continue
            assert str(path).encode() not in words


def test_a_revision_is_its_own_module_and_a_wrong_one_is_told(tmp_path: Path) -> None:
    with pytest.raises(ModelError, match="no revision 'nope'"), experiment.revision("nope"):
        pass


def test_a_play_takes_the_module_of_its_folder(tiny: str, tmp_path: Path) -> None:
    """A folder whose module refuses to be loaded makes the play fail with its own words."""
    (tmp_path / "thistletrail" / "policy").mkdir(parents=True)
    (tmp_path / "thistletrail" / "policy" / "__init__.py").write_text(
        "raise RuntimeError('the other module')"
    )
    experiment.complete(tmp_path)
    runner = Runner(1)
    with pytest.raises(ModelError, match="the other module"):
        runner.play_all([Play("other", Tree(tmp_path), tiny, 1)], lambda total: None)
    total = Runner(1).play_all([Play("this tree", THIS_TREE, tiny, 1)], lambda total: None)[0]
    assert total["side"] == "this tree" and total["asks"] > 0


def test_paired_differences_and_their_interval() -> None:
    gaps = [0.01, 0.02, 0.03, 0.02, 0.01, 0.02]
    found = bootstrap(gaps)
    assert found.median == pytest.approx(0.02) and 0 < found.low <= found.median <= found.high
    assert bootstrap(gaps) == found
    assert bootstrap([-0.1, 0.1, -0.1, 0.1]).low < 0 < bootstrap([-0.1, 0.1, -0.1, 0.1]).high
    with pytest.raises(ModelError):
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
    results = [
        {**base, "side": side, "seed": seed, "g": seed / 10 + extra}
        for seed in (1, 2, 3)
        for side, extra in (("a", 0.0), ("b", 0.05))
    ]
    rows = {name: (before, after, interval) for name, before, after, interval in table(results, "a", "b")}
    assert rows["g"][2].median == pytest.approx(0.05) and rows["messages lost"][0] == pytest.approx(0.25)
    assert rows["refused, ceiling half unused"][0] == pytest.approx(0.3)
    assert table(results[:1], "a", "b") == []


def test_a_report_holds_all_in_one_file(tiny: str, tmp_path: Path) -> None:
    runs = []
    for seed in ("1", "2"):
        path = tmp_path / f"run-{seed}.jsonl"
        path.write_text(model("run", tiny, "--seed", seed).stdout)
        runs.append(read(path))
    out = tmp_path / "report.html"
    write(runs, out)
    text = out.read_text()
    assert text.count("data:image/png;base64,") == 2 and "http" not in text
    assert "Losses of worth by cause" in text and "run-1" in text and "run-2" in text
    (tmp_path / "cut.jsonl").write_text('{"kind":"second"')
    with pytest.raises(ModelError, match=r"cut.jsonl, line 1"):
        read(tmp_path / "cut.jsonl")
    (tmp_path / "total.jsonl").write_text(model("run", tiny, "--total").stdout)
    with pytest.raises(ModelError, match="--total"):
        read(tmp_path / "total.jsonl")


def test_a_search_keeps_what_breaks_a_rule_made_small(tmp_path: Path) -> None:
    """A rule that needs a killed door and two servers: all else is taken out of what is kept."""

    def broken(scenario: Scenario, seed: int) -> str:
        killed = any(trouble.kind == "kill_doors" for trouble in scenario.troubles)
        return "a rule" if killed and scenario.servers.count >= 2 else ""

    found = search.look(3, tmp_path, 0, 60, lambda text: None, broken)
    assert found.played == 60 and found.kept
    for path in found.kept:
        kept = parse(path.read_bytes(), path.name)
        assert [trouble.kind for trouble in kept.troubles] == ["kill_doors"]
        assert kept.servers.count == 2 and kept.doors == 1 and kept.length_s < 6
        assert path.read_text().startswith("# seed ")
    assert search.look(3, tmp_path, 0, 5, lambda text: None, lambda *_: "").kept == []


def test_a_fault_of_the_module_is_a_find(monkeypatch: pytest.MonkeyPatch) -> None:
    from thistletrail.simulation import doors

    def fault(self: object, now_us: int, event: object) -> list:
        raise ZeroDivisionError("as the test wants")

    monkeypatch.setattr(doors.PolicyEngine, "handle", fault, raising=False)
    assert search.breaks(TINY, 1) == "fault: ZeroDivisionError: as the test wants"


def test_what_was_found_once_stays_mended() -> None:
    """Scenarios that once broke a rule, as `search` kept them; the first line tells seed and rule."""
    for path in sorted((Path(__file__).parent / "found").glob("*.toml")):
        seed = int(path.read_text().split()[2].rstrip(":"))
        assert search.breaks(parse(path.read_bytes(), path.name), seed) == "", path.name


def test_a_trouble_is_kept_in_what_is_written() -> None:
    one = msgspec.structs.replace(TINY, troubles=(Trouble(kind="slow", at_s=1, size=4.0),))
    assert parse(dump(one).encode(), "x") == one and "slow" in dump(one)
    assert os.linesep == "\n"
