"""Tests that withdrawn names of programs and packages occur only in records of, or code for, older revisions.

A file that is not renamed yet has a line in NOT_YET_RENAMED with its exact number of withdrawn names. The
message of a failure contains the lines to which the table should be changed.
"""

import re
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
WITHDRAWN = frozenset({"fennelwinch", "molereach", "roster", "steward", "rig"})
# Matches a word of prose, or of an identifier such as `start_steward`, `RigError` or `RIG_HOST`.
WORD = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")

# Folders and files in which the names may occur: path -> reason. The path of a folder ends with a slash.
EXCEPTIONS = {
    "README.md": "names the former key of the configuration",
    "docs/fidelity.jsonl": "measured records stay as they were written",
    "docs/glossary.md": "maps withdrawn names to those of today",
    "journal/": "records of earlier runs stay as they were written",
    "tests/data/": "files as an earlier revision stored them",
    "tests/test_benchmarks.py": "finds the packages of older revisions",
    "tests/test_legacy_settings.py": "reads a former key of the configuration",
    "tests/test_stored_data.py": "restores from files of an earlier revision",
    "tests/test_withdrawn_names.py": "lists the names",
    "docs/leasing.md": "names the former key of the configuration",
    "thistletrail/gateway/legacy_settings.py": "reads the former keys of the configuration",
    "thistletrail/benchmarks/process.py": "finds the packages of older revisions",
    "thistletrail/simulation/experiment.py": "finds the packages of older revisions",
}

# Files that still contain withdrawn names: path -> number of occurrences.
NOT_YET_RENAMED = {
    # Issue on the data path, simulation, fault injection, benchmarks and tests; keys of plans stay.
    "docs/ROADMAP.md": 1,
    "docs/fault_injection.md": 3,
    "tests/test_leased_budgets.py": 3,
    "tests/test_fault_injection_checks.py": 1,
    "tests/test_fault_injection_leases.py": 12,
    "thistletrail/benchmarks/work.py": 2,
    "thistletrail/fault_injection/__main__.py": 3,
    "thistletrail/fault_injection/fleet.py": 13,
    "thistletrail/fault_injection/leases.py": 2,
    "thistletrail/fault_injection/plan.py": 11,
    "thistletrail/fault_injection/plans/leases.toml": 2,
    "thistletrail/fault_injection/plans/quotas.toml": 2,
    "thistletrail/fault_injection/plans/stewards.toml": 10,
    "thistletrail/fault_injection/soak.py": 8,
}


def tracked_files() -> list[str]:
    """Return the paths, relative to the root, of all existing files that git tracks."""
    listed = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, text=True, check=True)
    return [path for path in listed.stdout.split("\0") if path and (ROOT / path).is_file()]


def is_exception(path: str) -> bool:
    """Return whether withdrawn names may occur in a file permanently."""
    return any(
        path == exception or (exception.endswith("/") and path.startswith(exception))
        for exception in EXCEPTIONS
    )


def count_withdrawn_names(text: str) -> int:
    """Return how often withdrawn names, or their plurals, occur as words of prose or of identifiers."""
    words = (word.group().lower() for word in WORD.finditer(text))
    return sum(word in WITHDRAWN or word.removesuffix("s") in WITHDRAWN for word in words)


def files_with_withdrawn_names() -> Iterator[tuple[str, int]]:
    """Yield each file with withdrawn names in its path or content, and their number, except EXCEPTIONS."""
    for path in tracked_files():
        if is_exception(path):
            continue
        content = (ROOT / path).read_text(encoding="utf-8", errors="replace")
        count = count_withdrawn_names(path) + count_withdrawn_names(content)
        if count:
            yield path, count


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("python -m rig run", 1),
        ("RigError(rig_host, RIG_HOST, startSteward, two_rosters.jsonl)", 5),
        ("molereach/server.py and fennelwinch", 2),
        ("right, trigger, rigid, original, rigging, stewardess", 0),
    ],
)
def test_withdrawn_names_are_counted_as_words_and_within_identifiers(text: str, expected: int) -> None:
    assert count_withdrawn_names(text) == expected


def test_withdrawn_names_occur_only_where_the_table_allows_them() -> None:
    counts = dict(files_with_withdrawn_names())
    wrong_lines = [
        f'    "{path}": {counts.get(path, 0)},  # in place of {NOT_YET_RENAMED.get(path, "no line")}'
        for path in sorted({*counts, *NOT_YET_RENAMED})
        if counts.get(path, 0) != NOT_YET_RENAMED.get(path, 0)
    ]
    assert not wrong_lines, "NOT_YET_RENAMED is not exact; its lines should be:\n" + "\n".join(wrong_lines)
