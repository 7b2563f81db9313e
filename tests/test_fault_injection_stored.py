"""Runs stored by an earlier revision can be read, although files and a figure had other names then.

`tests/data/a1df16a/fault_injection` holds a run as that revision stored it (`run`) and the history files of
two of its processes (`history`), both of made-up records.
"""

from pathlib import Path

import msgspec

from thistletrail.fault_injection.history import Writer, merge, read_folder
from thistletrail.fault_injection.report import write_report
from thistletrail.fault_injection.runs import load_run, store_run

DATA = Path(__file__).parent / "data" / "a1df16a" / "fault_injection"
LAG_FIGURE = "fault_injection_late_s"  # the only figure that had another name then


def test_stored_run_has_its_stored_figures_and_violations() -> None:
    stored = msgspec.json.decode((DATA / "run" / "result.json").read_bytes())
    run = load_run(DATA / "run")
    figures = run.figures.as_json()
    assert list(figures.values()) == list(stored["figures"].values())
    assert list(figures)[:-1] == list(stored["figures"])[:-1]
    assert (
        list(figures)[-1] == LAG_FIGURE
        and LAG_FIGURE not in stored["figures"]
        and figures[LAG_FIGURE] == 0.13
    )
    assert [[violation.rule, violation.at_us, violation.text] for violation in run.violations] == stored[
        "violations"
    ]
    assert run.seed == stored["seed"]


def test_stored_run_is_reported_and_stored_again_with_current_names(tmp_path: Path) -> None:
    run = load_run(DATA / "run")
    write_report([("run", run)], tmp_path / "report.html")
    assert f"<tr><td>{LAG_FIGURE}</td><td>0.130</td></tr>" in (tmp_path / "report.html").read_text()
    store_run(run, tmp_path / "run")
    assert msgspec.json.decode((tmp_path / "run" / "result.json").read_bytes())["figures"][LAG_FIGURE] == 0.13
    for name in ("history.jsonl", "calm.jsonl"):
        assert (tmp_path / "run" / name).read_bytes() == (DATA / "run" / name).read_bytes()
    assert load_run(tmp_path / "run").plan == run.plan


def test_history_files_are_read_whatever_their_name(tmp_path: Path) -> None:
    records = merge(read_folder(DATA / "history"))
    kinds = ["go", "try", "ask", "fault", "died", "undone", "started", "stalled"]
    assert [record["kind"] for record in records] == kinds
    writer = Writer(tmp_path / "fault_injection.jsonl")
    writer.note("go", start_us=0, end_us=1)
    writer.close()
    (record,) = merge(read_folder(tmp_path))
    assert record["kind"] == "go" and record["end_us"] == 1
