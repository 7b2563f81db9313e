"""Withdrawn names of programs and packages stand nowhere but where the past is told or read.

A file that is not renamed yet has a line in NOT_YET_RENAMED with the number of places it has;
more or fewer of them fail. The message of the failure holds the line that the file would need: by it, the
table can be brought up to date while files are renamed.
"""

import re
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
WITHDRAWN = frozenset({"fennelwinch", "molereach", "roster", "steward", "rig"})
# One part of a name such as `start_steward`, `RigError` or `RIG_HOST`; in prose, a word.
PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")

# Folders and files in which the names stay: path -> reason. A folder ends with a slash.
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

# Files that still have withdrawn names: path -> places.
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
    "thistletrail/fault_injection/plans/leases.toml": 3,
    "thistletrail/fault_injection/plans/quotas.toml": 3,
    "thistletrail/fault_injection/plans/stewards.toml": 11,
    "thistletrail/fault_injection/soak.py": 8,
}


def tracked_files() -> list[str]:
    """Return the paths of all files that git tracks and that are there, relative to the root."""
    listed = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, text=True, check=True)
    return [path for path in listed.stdout.split("\0") if path and (ROOT / path).is_file()]


def is_exception(path: str) -> bool:
    """Return whether withdrawn names may stand in a file for good."""
    return any(path == kept or (kept.endswith("/") and path.startswith(kept)) for kept in EXCEPTIONS)


def places(text: str) -> int:
    """Return how often a withdrawn name, or its plural, stands in a text as a word or as part of a name."""
    parts = (part.group().lower() for part in PART.finditer(text))
    return sum(part in WITHDRAWN or part.removesuffix("s") in WITHDRAWN for part in parts)


def files_with_places() -> Iterator[tuple[str, int]]:
    """Yield each file that has withdrawn names and is no exception, with the number of places.

    The path of the file counts as well.
    """
    for path in tracked_files():
        if is_exception(path):
            continue
        found = places(path) + places((ROOT / path).read_text(encoding="utf-8", errors="replace"))
        if found:
            yield path, found


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("python -m rig run", 1),
        ("RigError(rig_host, RIG_HOST, startSteward, two_rosters.jsonl)", 5),
        ("molereach/server.py and fennelwinch", 2),
        ("right, trigger, rigid, original, rigging, stewardess", 0),
    ],
)
def test_names_are_found_as_words_and_as_parts_of_names(text: str, expected: int) -> None:
    assert places(text) == expected


def test_withdrawn_names_stand_nowhere_else() -> None:
    counts = dict(files_with_places())
    beyond = [
        f'    "{path}": {counts.get(path, 0)},  # in place of {NOT_YET_RENAMED.get(path, "no line")}'
        for path in sorted({*counts, *NOT_YET_RENAMED})
        if counts.get(path, 0) != NOT_YET_RENAMED.get(path, 0)
    ]
    assert not beyond, "not the places that the table says; as lines of it:\n" + "\n".join(beyond)
