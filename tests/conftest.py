"""Configuration of pytest: reproducible hypothesis examples without a time limit, and the use of workers.

The tests run on several workers (pytest-xdist). The hooks set their number and which tests share a worker.
"""

import os

import pytest
from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems as mark_known_failures
from tests.known_red import pytest_terminal_summary, pytest_testnodedown

__all__ = ["pytest_terminal_summary", "pytest_testnodedown"]  # hooks

# Many tests start up to about twenty processes and connect to them on loopback. One worker for every two
# cores leaves a second core for the processes that the test of each worker has started.
CORES_PER_WORKER = 2

settings.register_profile("thistletrail", derandomize=True, deadline=None)
settings.load_profile("thistletrail")


@pytest.hookimpl(optionalhook=True)  # a hook of pytest-xdist, which may not be installed
def pytest_xdist_auto_num_workers(config: pytest.Config) -> int:
    """Return the number of workers that `-n auto` starts."""
    return max(1, len(os.sched_getaffinity(0)) // CORES_PER_WORKER)


@pytest.hookimpl(tryfirst=True)  # before tests are deselected, and before pytest-xdist reads the groups
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the known failures, and keep the tests that share a module's fixture on one worker."""
    mark_known_failures(config, items)
    for item in items:
        for name in module_fixtures(item):
            item.add_marker(pytest.mark.xdist_group(f"{item.path.stem}.{name}"))


def module_fixtures(item: pytest.Item) -> list[str]:
    """Return the names of the module-scoped fixtures of a test.

    Such a fixture runs a scenario once for several tests; on two workers it would run twice.
    """
    if not isinstance(item, pytest.Function):
        return []
    definitions = item._fixtureinfo.name2fixturedefs
    return sorted(name for name, overrides in definitions.items() if overrides[-1].scope == "module")
