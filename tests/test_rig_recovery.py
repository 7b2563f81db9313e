"""Coming back, with several real processes: what doors take up again, what they pass over and keep."""

import sys

import pytest

from bench.process import ROOT, Tree
from rig.checks import Seen, check
from rig.plan import load
from rig.runs import play_once

HERE = Tree(ROOT, f"exec {sys.executable} -m molereach", tells_costs=True)


def played(name: str) -> Seen:
    """A plan that keeps every rule."""
    seen = play_once(load(name), 1, HERE, lambda text: None)
    assert check(seen) == []
    return seen


def said(seen: Seen, door: int) -> str:
    return "\n".join(record["text"] for record in seen.by["door"] if record["door"] == door)


@pytest.fixture(scope="module")
def again() -> Seen:
    return played("again")


def test_doors_serve_by_what_they_stored_while_the_list_service_is_away(again: Seen) -> None:
    back = {record["who"]: record["at"] for record in again.by["started"] if record["at"] > 0}
    first = max(back[f"doors-{door}"] for door in range(4))
    lists = min(back["list-0"], back["follower-0"])
    assert first < lists
    assert [record for record in again.by["came"] if first < record["at"] < lists]
    for door in range(4):
        assert "takes up a snapshot of" in said(again, door)


def test_the_list_is_read_again_once_its_service_is_back(again: Seen) -> None:
    lists = max(record["at"] for record in again.by["started"] if record["who"] == "list-0")
    assert {record["door"] for record in again.by["told"] if record["at"] > lists} == {
        f"doors-{n}" for n in range(4)}


def test_bad_state_is_one_warning_and_a_door_that_crashes_waits() -> None:
    seen = played("state")
    assert said(seen, 0).count("is not used: it is damaged") == 1
    assert said(seen, 1).count("is not used: it is 36") == 1
    assert "takes up a snapshot of" in said(seen, 2)
    waits = said(seen, 3).count("has started again and again: it waits for")
    assert waits >= 1  # the third start within ten seconds, and each one after it
    assert "waits for" not in said(seen, 0)
    starts = sum(record["who"] == "doors-3" for record in seen.by["started"])
    assert starts == 1 + 3


def test_a_door_that_wakes_or_ends_on_the_way_back_keeps_the_rules() -> None:
    seen = played("wake")
    woke = next(record["at"] for record in seen.by["woke"] if record["who"] == "doors-1")
    drained = [record for record in seen.by["told"] if "DRAINING" in record["servers"].values()]
    assert any(record["door"] == "doors-1" for record in drained)
    assert [record for record in seen.by["sent"] if record["door"] == "doors-1" and record["at"] > woke]
    died = [record for record in seen.by["died"] if record["who"] == "doors-2"]
    assert [record["code"] for record in died][:2] == [-9, 0]  # SIGTERM on the way back is a clean end
