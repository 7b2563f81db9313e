"""Tests that the modules that the pages name exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "CONTRIBUTING.md", "docs/architecture.md", "docs/glossary.md", "docs/policy.md")
PACKAGES = sorted(path.name for path in (ROOT / "thistletrail").iterdir() if (path / "__init__.py").exists())
MODULE = re.compile(rf"`(?:thistletrail/)?((?:{'|'.join(PACKAGES)})/[a-z_/]+\.py)`")


@pytest.mark.parametrize("page", PAGES)
def test_modules_named_on_a_page_exist(page: str) -> None:
    named = MODULE.findall((ROOT / page).read_text())
    assert [module for module in named if not (ROOT / "thistletrail" / module).exists()] == []


def test_architecture_page_names_more_than_30_modules() -> None:
    assert len(MODULE.findall((ROOT / "docs/architecture.md").read_text())) > 30
