"""A request's time: what is spent and what is left, over any course of it."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistletrail.gateway.deadline import (
    ANSWER_MARGIN_US,
    MIN_LATE_US,
    Deadline,
    DeadlineSource,
    Stage,
    decode_remaining,
    encode_remaining,
    estimate_unread_us,
)

S = 1_000_000
TIMES = st.integers(-S, 10 * S)
# Steps: time goes by (a clock that stands still or seems to go back takes nothing), then a stage or a drain.
STEP = st.tuples(st.integers(-50_000, 2 * S), st.one_of(st.sampled_from(Stage), TIMES))
STEPS = st.lists(STEP, max_size=12)


def total_us(deadline: Deadline, now: int) -> int:
    return sum(deadline.spent_by(now)) + deadline.remaining_us(now)


@settings(derandomize=True)
@given(TIMES, TIMES, STEPS)
def test_spent_and_left_are_what_was_given(wait: int, unread: int, steps: list) -> None:
    now, deadline = 100 * S, Deadline.start(wait, unread, 100 * S)
    assert deadline.given_us == max(0, wait - ANSWER_MARGIN_US) == total_us(deadline, now)
    for took, what in steps:
        now += took
        assert total_us(deadline, now) == deadline.given_us
        if isinstance(what, Stage):
            after = deadline.enter(what, now)
            assert after.given_us == deadline.given_us and after.end_us == deadline.end_us
        else:
            after = deadline.capped_at(100 * S + what, DeadlineSource.DRAIN)
            assert after.end_us <= deadline.end_us
            assert after is deadline or after.source is DeadlineSource.DRAIN
        assert all(new >= old for old, new in zip(deadline.spent_us, after.spent_us, strict=True))
        assert 0 <= after.remaining_us(now) <= deadline.remaining_us(now)
        deadline = after
    assert total_us(deadline, now + 100 * S) == deadline.given_us and not deadline.remaining_us(now + 100 * S)


@settings(derandomize=True)
@given(TIMES, TIMES, st.lists(st.integers(0, S), max_size=10))
def test_left_never_grows(wait: int, unread: int, steps: list[int]) -> None:
    now, deadline = 0, Deadline.start(wait, unread, 0)
    remaining = deadline.remaining_us(now)
    for number, took in enumerate(steps):
        now += took
        deadline = deadline.enter(Stage(number % len(Stage)), now)
        assert 0 <= deadline.remaining_us(now) <= remaining
        remaining = deadline.remaining_us(now)


@settings(derandomize=True)
@given(st.integers(-S, 20 * S), st.integers(0, 20 * S))
def test_text_never_gives_more_than_was_written(remaining: int, max_us: int) -> None:
    read = decode_remaining(encode_remaining(remaining).decode(), max_us)
    if read is None:
        assert remaining > max_us
    else:
        assert 0 <= read <= max(0, remaining) and max(0, remaining) - read < 1000 and read <= max_us


@pytest.mark.parametrize("text", ["", "-1", "1.5", " 1", "1e3", "٣", "9" * 13, "0x1", "1_0", "10001"])
def test_text_that_is_no_time(text: str) -> None:
    assert decode_remaining(text, 10 * S) is None


def test_each_moment_is_charged_to_its_stage() -> None:
    deadline = Deadline.start(1_025_000, 30_000, 0)
    deadline = (
        deadline.enter(Stage.CONNECTING, 100_000).enter(Stage.WAITING, 150_000).enter(Stage.HELD, 450_000)
    )
    assert deadline.spent_by(500_000) == (30_000, 150_000, 50_000, 300_000, 0)
    assert deadline.remaining_us(500_000) == 470_000 and deadline.longest_stage(500_000) is Stage.WAITING
    # Past its end nothing is left, and nothing more is charged.
    assert deadline.spent_by(5 * S) == (30_000, 620_000, 50_000, 300_000, 0) and not deadline.remaining_us(
        5 * S
    )


def test_drain_shortens_and_never_lengthens() -> None:
    deadline = Deadline.start(2_025_000, 0, 0)
    assert deadline.capped_at(3 * S, DeadlineSource.DRAIN) is deadline
    short = deadline.capped_at(S, DeadlineSource.DRAIN)
    assert (short.end_us, short.given_us, short.source) == (S, S, DeadlineSource.DRAIN)
    assert short.capped_at(2 * S, DeadlineSource.DRAIN) is short
    assert not short.capped_at(-S, DeadlineSource.DRAIN).remaining_us(0)


def test_time_unread_is_an_estimate_with_bounds() -> None:
    assert estimate_unread_us(MIN_LATE_US - 1, 0) == 0  # a timer may be as coarse
    assert (
        estimate_unread_us(2 * S, 0) == S
        and estimate_unread_us(0, 70_000) == 70_000
        and estimate_unread_us(-S, -S) == 0
    )
    assert Deadline.start(500_000, 9 * S, 0).remaining_us(0) == 0  # never more than was there to lose
    assert Deadline.start(500_000, -9 * S, 0).remaining_us(0) == 475_000
