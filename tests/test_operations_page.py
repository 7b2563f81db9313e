"""Tests that docs/operations.md explains only log lines of the code, and every counter of `costs`."""

import re
from pathlib import Path

import pytest

from thistletrail.gateway.cost_counters import COUNTERS

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "operations.md").read_text()
LINES, _, FIELDS = PAGE.partition("## The `costs` line")
SOURCES = "\n".join(path.read_text() for path in sorted((ROOT / "thistletrail").rglob("*.py")))


def first_cells(text: str) -> list[str]:
    """Return the texts marked as code in the first cell of each row of the tables."""
    return [
        code for row in re.findall(r"^\| (`.*?`) \|", text, re.MULTILINE) for code in row.split("`")[1::2]
    ]


@pytest.mark.parametrize("line", first_cells(LINES))
def test_log_line_on_the_operations_page_occurs_in_the_source(line: str) -> None:
    assert line in SOURCES


def test_operations_page_explains_every_counter_of_the_costs_line() -> None:
    assert set(COUNTERS) <= set(first_cells(FIELDS))
