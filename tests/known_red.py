"""A pytest plugin that enforces KNOWN-RED.txt, the list of tests that fail for a known fault.

A listed test is a strict expected failure: one that passes fails the run until it is taken off the list. A
line is `test | cause | issue N`; empty lines and lines that begin with `#` are ignored. Too many entries (see
MAX_ENTRIES), a line of another form, a test listed twice or one that does not exist fail the run.
"""

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = "KNOWN-RED.txt"
MAX_ENTRIES = 3
ISSUE = re.compile(r"issue [1-9][0-9]*")
# Attribute of pytest-xdist: a dict that a worker sends to the process that started it, when the worker ends.
WORKER_OUTPUT = "workeroutput"
PROBLEM_KEY = "known_red_problem"


class ListError(ValueError):
    """A list of an invalid form, or with an invalid entry."""


@dataclass(frozen=True, slots=True)
class Entry:
    """The node id of a test that is known to fail, the cause, and the issue."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test} | {self.cause} | {self.issue}"


def parse(text: str) -> list[Entry]:
    """Return the entries of a list; raise a `ListError` if the list is invalid."""
    lines = [line.strip() for line in text.splitlines()]
    entries = [parse_entry(line) for line in lines if line and not line.startswith("#")]
    if len(entries) > MAX_ENTRIES:
        raise ListError(f"{len(entries)} tests are listed, and {MAX_ENTRIES} at most may be")
    if len({entry.test for entry in entries}) < len(entries):
        raise ListError("a test is listed twice")
    return entries


def parse_entry(line: str) -> Entry:
    """Return the entry on a line; raise a `ListError` if its form is invalid."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 3 or not all(fields):
        raise ListError(f"not of the form 'test | cause | issue N': {line}")
    if not ISSUE.fullmatch(fields[2]):
        raise ListError(f"names no issue: {line}")
    return Entry(*fields)


def read(root: Path) -> list[Entry]:
    """Return the entries of the list in the folder `root`, or none if there is no list."""
    path = root / LIST
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def expect_listed_failures(
    entries: list[Entry], items: list[pytest.Item], root: Path, all_collected: bool
) -> None:
    """Mark listed tests as strict expected failures; raise a `ListError` if one does not exist.

    `all_collected` is whether all tests of each file in `items` were collected.
    """
    items_by_id = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for entry in entries:
        file = entry.test.partition("::")[0]
        if entry.test in items_by_id:
            reason = f"{entry.cause} ({entry.issue})"
            items_by_id[entry.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif not (root / file).is_file() or (all_collected and file in files):
            raise ListError(f"there is no such test: {entry.test}")


@pytest.hookimpl(tryfirst=True)  # before other plugins deselect tests
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Read the list and mark the tests that it names."""
    try:
        all_collected = not any("::" in argument for argument in config.args)
        expect_listed_failures(read(config.rootpath), items, config.rootpath, all_collected)
    except ListError as error:
        problem = f"{LIST}: {error}"
        if hasattr(config, WORKER_OUTPUT):
            getattr(config, WORKER_OUTPUT)[PROBLEM_KEY] = problem
        raise pytest.UsageError(problem) from error


@pytest.hookimpl(optionalhook=True)  # a hook of pytest-xdist, which may not be installed
def pytest_testnodedown(node: object, error: object | None) -> None:
    """End a run on several workers, if the list is invalid, as a run in one process ends.

    Workers collect the tests and detect the problem; the controlling process receives it when the first
    worker ends.
    """
    problem = getattr(node, WORKER_OUTPUT, {}).get(PROBLEM_KEY)
    if problem:
        raise pytest.UsageError(problem)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the list, so that a run with known failures does not look like one without."""
    try:
        entries = read(config.rootpath)
    except ListError:
        return  # already reported as the error that ended the run
    terminalreporter.write_line(f"{LIST}: {len(entries) or 'no'} known failures")
    for entry in entries:
        terminalreporter.write_line(f"  {entry}")
