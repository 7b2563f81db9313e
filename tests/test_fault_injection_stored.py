"""Runs that an earlier revision has stored are read, with the names that it gave to files and figures.

`tests/data/a1df16a/fault_injection` holds a run as that revision kept it (`run`) and the history files of two
of its processes (`history`), both of made-up records.
"""

from pathlib import Path

import msgspec

from thistletrail.fault_injection.history import Writer, merge, read_folder
from thistletrail.fault_injection.report import write
from thistletrail.fault_injection.runs import keep, kept

DATA = Path(__file__).parent / "data" / "a1df16a" / "fault_injection"
LATE = "fault_injection_late_s"  # the one figure that had another name then


def test_a_run_that_was_kept_has_the_figures_and_violations_that_were_stored() -> None:
    stored = msgspec.json.decode((DATA / "run" / "result.json").read_bytes())
    run = kept(DATA / "run")
    figures = run.figures.as_json()
    assert list(figures.values()) == list(stored["figures"].values())
    assert list(figures)[:-1] == list(stored["figures"])[:-1]
    assert list(figures)[-1] == LATE and LATE not in stored["figures"] and figures[LATE] == 0.13
    assert [[one.rule, one.at_us, one.text] for one in run.violations] == stored["violations"]
    assert run.seed == stored["seed"]


def test_a_run_that_was_kept_is_reported_and_kept_again_by_the_names_of_today(tmp_path: Path) -> None:
    run = kept(DATA / "run")
    write([("run", run)], tmp_path / "report.html")
    assert f"<tr><td>{LATE}</td><td>0.130</td></tr>" in (tmp_path / "report.html").read_text()
    keep(run, tmp_path / "run")
    assert msgspec.json.decode((tmp_path / "run" / "result.json").read_bytes())["figures"][LATE] == 0.13
    for name in ("history.jsonl", "calm.jsonl"):
        assert (tmp_path / "run" / name).read_bytes() == (DATA / "run" / name).read_bytes()
    assert kept(tmp_path / "run").plan == run.plan


def test_history_files_of_any_name_are_read(tmp_path: Path) -> None:
    records = merge(read_folder(DATA / "history"))
    kinds = ["go", "try", "ask", "fault", "died", "undone", "started", "stalled"]
    assert [record["kind"] for record in records] == kinds
    writer = Writer(tmp_path / "fault_injection.jsonl")
    writer.note("go", start_us=0, end_us=1)
    writer.close()
    (again,) = merge(read_folder(tmp_path))
    assert again["kind"] == "go" and again["end_us"] == 1
