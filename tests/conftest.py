"""The same verdict every time: hypothesis draws the same examples, and no time decides.

The tests run on several workers (pytest-xdist); how many, and which tests stay together, is decided here.
"""

import os

import pytest
from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems as mark_known_failures
from tests.known_red import pytest_terminal_summary, pytest_testnodedown

__all__ = ["pytest_terminal_summary", "pytest_testnodedown"]  # hooks

# Many tests start processes of their own, up to some twenty, and talk to them on loopback. A worker for every
# second core leaves each worker one more core for what its test has started.
CORES_PER_WORKER = 2

settings.register_profile("thistletrail", derandomize=True, deadline=None)
settings.load_profile("thistletrail")


@pytest.hookimpl(optionalhook=True)  # a hook of pytest-xdist, which need not be there
def pytest_xdist_auto_num_workers(config: pytest.Config) -> int:
    """Return the number of workers that `-n auto` starts."""
    return max(1, len(os.sched_getaffinity(0)) // CORES_PER_WORKER)


@pytest.hookimpl(tryfirst=True)  # before any are deselected, and before pytest-xdist reads the groups
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the known failures, and keep the tests that share a module's fixture on one worker."""
    mark_known_failures(config, items)
    for item in items:
        for name in module_fixtures(item):
            item.add_marker(pytest.mark.xdist_group(f"{item.path.stem}.{name}"))


def module_fixtures(item: pytest.Item) -> list[str]:
    """Return the names of the fixtures that a test shares with its module.

    Such a fixture plays a whole scenario once for several tests; on two workers it would be played twice.
    """
    if not isinstance(item, pytest.Function):
        return []
    definitions = item._fixtureinfo.name2fixturedefs
    return sorted(name for name, found in definitions.items() if found[-1].scope == "module")
