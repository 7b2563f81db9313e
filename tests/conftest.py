"""The same verdict every time: hypothesis draws the same examples, and no time decides."""

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]  # hooks

settings.register_profile("thistletrail", derandomize=True, deadline=None)
settings.load_profile("thistletrail")
