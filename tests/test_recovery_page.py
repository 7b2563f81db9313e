"""Tests that the age limits on docs/recovery.md equal the constants in the code."""

import importlib
import re
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "recovery.md"
ROW = re.compile(r"^\| [^|]+ \| `(?P<name>[a-z_.]+\.[A-Z_]+)` \| (?P<seconds>[0-9.]+) \|", re.MULTILINE)
UNITS_PER_SECOND = {"_US": 1e6, "_S": 1.0}


def test_age_limits_on_the_recovery_page_equal_the_constants() -> None:
    rows = ROW.findall(PAGE.read_text())
    assert len(rows) == 13
    for name, seconds in rows:
        module, _, constant = name.rpartition(".")
        value = getattr(importlib.import_module(module), constant)
        units_per_second = next(
            scale for suffix, scale in UNITS_PER_SECOND.items() if constant.endswith(suffix)
        )
        assert value / units_per_second == float(seconds), name
