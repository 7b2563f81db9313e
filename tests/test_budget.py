"""A request's time: what is spent and what is left, over any course of it."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistletrail.gateway.deadline import (
    ANSWER_MARGIN_US,
    LATE_LEAST_US,
    Budget,
    Source,
    Stage,
    from_text,
    to_text,
    unread_us,
)

S = 1_000_000
TIMES = st.integers(-S, 10 * S)
# Steps: time goes by (a clock that stands still or seems to go back takes nothing), then a stage or a drain.
STEP = st.tuples(st.integers(-50_000, 2 * S), st.one_of(st.sampled_from(Stage), TIMES))
STEPS = st.lists(STEP, max_size=12)


def whole(budget: Budget, now: int) -> int:
    return sum(budget.spent_by(now)) + budget.remaining_us(now)


@settings(derandomize=True)
@given(TIMES, TIMES, STEPS)
def test_spent_and_left_are_what_was_given(wait: int, unread: int, steps: list) -> None:
    now, budget = 100 * S, Budget.taken(wait, unread, 100 * S)
    assert budget.given_us == max(0, wait - ANSWER_MARGIN_US) == whole(budget, now)
    for took, what in steps:
        now += took
        assert whole(budget, now) == budget.given_us
        if isinstance(what, Stage):
            after = budget.enter(what, now)
            assert after.given_us == budget.given_us and after.end_us == budget.end_us
        else:
            after = budget.until(100 * S + what, Source.DRAIN)
            assert after.end_us <= budget.end_us
            assert after is budget or after.source is Source.DRAIN
        assert all(new >= old for old, new in zip(budget.spent_us, after.spent_us, strict=True))
        assert 0 <= after.remaining_us(now) <= budget.remaining_us(now)
        budget = after
    assert whole(budget, now + 100 * S) == budget.given_us and not budget.remaining_us(now + 100 * S)


@settings(derandomize=True)
@given(TIMES, TIMES, st.lists(st.integers(0, S), max_size=10))
def test_left_never_grows(wait: int, unread: int, steps: list[int]) -> None:
    now, budget = 0, Budget.taken(wait, unread, 0)
    left = budget.remaining_us(now)
    for number, took in enumerate(steps):
        now += took
        budget = budget.enter(Stage(number % len(Stage)), now)
        assert 0 <= budget.remaining_us(now) <= left
        left = budget.remaining_us(now)


@settings(derandomize=True)
@given(st.integers(-S, 20 * S), st.integers(0, 20 * S))
def test_text_never_gives_more_than_was_written(left: int, most: int) -> None:
    read = from_text(to_text(left).decode(), most)
    if read is None:
        assert left > most
    else:
        assert 0 <= read <= max(0, left) and max(0, left) - read < 1000 and read <= most


@pytest.mark.parametrize("text", ["", "-1", "1.5", " 1", "1e3", "٣", "9" * 13, "0x1", "1_0", "10001"])
def test_text_that_is_no_budget(text: str) -> None:
    assert from_text(text, 10 * S) is None


def test_each_moment_is_charged_to_its_stage() -> None:
    budget = Budget.taken(1_025_000, 30_000, 0)
    budget = budget.enter(Stage.CONNECTING, 100_000).enter(Stage.WAITING, 150_000).enter(Stage.HELD, 450_000)
    assert budget.spent_by(500_000) == (30_000, 150_000, 50_000, 300_000, 0)
    assert budget.remaining_us(500_000) == 470_000 and budget.slowest(500_000) is Stage.WAITING
    # Past its end nothing is left, and nothing more is charged.
    assert budget.spent_by(5 * S) == (30_000, 620_000, 50_000, 300_000, 0) and not budget.remaining_us(5 * S)


def test_drain_shortens_and_never_lengthens() -> None:
    budget = Budget.taken(2_025_000, 0, 0)
    assert budget.until(3 * S, Source.DRAIN) is budget
    short = budget.until(S, Source.DRAIN)
    assert (short.end_us, short.given_us, short.source) == (S, S, Source.DRAIN)
    assert short.until(2 * S, Source.DRAIN) is short
    assert not short.until(-S, Source.DRAIN).remaining_us(0)


def test_time_unread_is_an_estimate_with_bounds() -> None:
    assert unread_us(LATE_LEAST_US - 1, 0) == 0  # a timer may be as coarse
    assert unread_us(2 * S, 0) == S and unread_us(0, 70_000) == 70_000 and unread_us(-S, -S) == 0
    assert Budget.taken(500_000, 9 * S, 0).remaining_us(0) == 0  # never more than was there to lose
    assert Budget.taken(500_000, -9 * S, 0).remaining_us(0) == 475_000
