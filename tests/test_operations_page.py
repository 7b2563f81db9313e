"""The page for on-call: each log line and each field that it explains is one of the code's."""

import re
from pathlib import Path

import pytest

from thistletrail.gateway.cost_counters import COUNTERS

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "operations.md").read_text()
LINES, _, FIELDS = PAGE.partition("## The `costs` line")
SOURCES = "\n".join(path.read_text() for path in sorted((ROOT / "thistletrail").rglob("*.py")))


def first_cells(text: str) -> list[str]:
    """The code in the first cell of each row of the tables."""
    return [
        code for row in re.findall(r"^\| (`.*?`) \|", text, re.MULTILINE) for code in row.split("`")[1::2]
    ]


@pytest.mark.parametrize("line", first_cells(LINES))
def test_a_log_line_that_the_page_explains_is_written_somewhere(line: str) -> None:
    assert line in SOURCES


def test_the_page_explains_every_counter_of_the_costs_line() -> None:
    assert set(COUNTERS) <= set(first_cells(FIELDS))
