"""KNOWN-RED.txt: tests that fail for a fault which is known and not mended yet.

A listed test is a strict expected failure: one that passes fails the run until it is taken off the list. A
line is `test | cause | issue N`; empty lines and lines that begin with `#` say nothing. Too many entries (see
MOST_ENTRIES), a line of another form, a test listed twice or one that does not exist fail the run.
"""

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = "KNOWN-RED.txt"
MOST_ENTRIES = 3
ISSUE = re.compile(r"issue [1-9][0-9]*")
# What pytest-xdist calls a worker's answer to the process that started it: a dict, sent when the worker ends.
WORKER_OUTPUT = "workeroutput"
PROBLEM_KEY = "known_red_problem"


class ListError(ValueError):
    """The list is not in order."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A test that is known to fail, by its node id, and why."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test} | {self.cause} | {self.issue}"


def parse(text: str) -> list[Entry]:
    """The entries of a list."""
    lines = [line.strip() for line in text.splitlines()]
    entries = [entry_of(line) for line in lines if line and not line.startswith("#")]
    if len(entries) > MOST_ENTRIES:
        raise ListError(f"{len(entries)} tests are listed, and {MOST_ENTRIES} at most may be")
    if len({entry.test for entry in entries}) < len(entries):
        raise ListError("a test is listed twice")
    return entries


def entry_of(line: str) -> Entry:
    """The entry that a line holds."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise ListError(f"not of the form 'test | cause | issue N': {line}")
    if not ISSUE.fullmatch(parts[2]):
        raise ListError(f"names no issue: {line}")
    return Entry(*parts)


def read(root: Path) -> list[Entry]:
    """The entries of the list at the root of the repository; there is none where there is no list."""
    path = root / LIST
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def mark(entries: list[Entry], items: list[pytest.Item], root: Path, whole_files: bool) -> None:
    """Have listed tests fail. `whole_files` says that of each file that was collected all tests were."""
    found = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for entry in entries:
        file = entry.test.partition("::")[0]
        if entry.test in found:
            reason = f"{entry.cause} ({entry.issue})"
            found[entry.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif not (root / file).is_file() or (whole_files and file in files):
            raise ListError(f"there is no such test: {entry.test}")


@pytest.hookimpl(tryfirst=True)  # before any are deselected
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Read the list and mark what it names."""
    try:
        whole_files = not any("::" in argument for argument in config.args)
        mark(read(config.rootpath), items, config.rootpath, whole_files)
    except ListError as error:
        problem = f"{LIST}: {error}"
        if hasattr(config, WORKER_OUTPUT):
            getattr(config, WORKER_OUTPUT)[PROBLEM_KEY] = problem
        raise pytest.UsageError(problem) from error


@pytest.hookimpl(optionalhook=True)  # a hook of pytest-xdist, which need not be there
def pytest_testnodedown(node: object, error: object | None) -> None:
    """End a run on several workers as a run in one process would end, where the list is not in order.

    The tests are collected in the workers, so that these find the problem; the process that hands out the
    tests and reports learns of it when the first worker ends.
    """
    problem = getattr(node, WORKER_OUTPUT, {}).get(PROBLEM_KEY)
    if problem:
        raise pytest.UsageError(problem)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the list, so that nobody takes a run for wholly green."""
    try:
        entries = read(config.rootpath)
    except ListError:
        return  # said already, as the error that ended the run
    terminalreporter.write_line(f"{LIST}: {len(entries) or 'no'} known failures")
    for entry in entries:
        terminalreporter.write_line(f"  {entry}")
