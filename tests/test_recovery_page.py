"""The page on coming back: its bounds on age are those of the code."""

import importlib
import re
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "recovery.md"
ROW = re.compile(r"^\| [^|]+ \| `(?P<name>[a-z_.]+\.[A-Z_]+)` \| (?P<seconds>[0-9.]+) \|", re.MULTILINE)
UNITS = {"_US": 1e6, "_S": 1.0}


def test_the_bounds_of_the_page_are_those_of_the_code() -> None:
    rows = ROW.findall(PAGE.read_text())
    assert len(rows) == 13
    for name, seconds in rows:
        module, _, constant = name.rpartition(".")
        value = getattr(importlib.import_module(module), constant)
        unit = next(scale for suffix, scale in UNITS.items() if constant.endswith(suffix))
        assert value / unit == float(seconds), name
