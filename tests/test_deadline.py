"""Deadlines: the time spent and the remaining time, for any sequence of stages and limits."""

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

SECOND_US = 1_000_000
TIMES = st.integers(-SECOND_US, 10 * SECOND_US)
# A step: time passes (none if the clock stands still or goes back), then a new stage or a shutdown begins.
STEP = st.tuples(st.integers(-50_000, 2 * SECOND_US), st.one_of(st.sampled_from(Stage), TIMES))
STEPS = st.lists(STEP, max_size=12)


def total_us(deadline: Deadline, now: int) -> int:
    return sum(deadline.spent_by(now)) + deadline.remaining_us(now)


@settings(derandomize=True)
@given(TIMES, TIMES, STEPS)
def test_spent_and_remaining_time_add_up_to_the_given_time(wait: int, unread: int, steps: list) -> None:
    now, deadline = 100 * SECOND_US, Deadline.start(wait, unread, 100 * SECOND_US)
    assert deadline.given_us == max(0, wait - ANSWER_MARGIN_US) == total_us(deadline, now)
    for elapsed_us, change in steps:
        now += elapsed_us
        assert total_us(deadline, now) == deadline.given_us
        if isinstance(change, Stage):
            after = deadline.enter(change, now)
            assert after.given_us == deadline.given_us and after.end_us == deadline.end_us
        else:
            after = deadline.capped_at(100 * SECOND_US + change, DeadlineSource.DRAIN)
            assert after.end_us <= deadline.end_us
            assert after is deadline or after.source is DeadlineSource.DRAIN
        assert all(new >= old for old, new in zip(deadline.spent_us, after.spent_us, strict=True))
        assert 0 <= after.remaining_us(now) <= deadline.remaining_us(now)
        deadline = after
    much_later = now + 100 * SECOND_US
    assert total_us(deadline, much_later) == deadline.given_us and not deadline.remaining_us(much_later)


@settings(derandomize=True)
@given(TIMES, TIMES, st.lists(st.integers(0, SECOND_US), max_size=10))
def test_remaining_time_never_increases(wait: int, unread: int, steps: list[int]) -> None:
    now, deadline = 0, Deadline.start(wait, unread, 0)
    remaining = deadline.remaining_us(now)
    for number, elapsed_us in enumerate(steps):
        now += elapsed_us
        deadline = deadline.enter(Stage(number % len(Stage)), now)
        assert 0 <= deadline.remaining_us(now) <= remaining
        remaining = deadline.remaining_us(now)


@settings(derandomize=True)
@given(st.integers(-SECOND_US, 20 * SECOND_US), st.integers(0, 20 * SECOND_US))
def test_decoded_time_never_exceeds_the_encoded_time(remaining: int, max_us: int) -> None:
    read = decode_remaining(encode_remaining(remaining).decode(), max_us)
    if read is None:
        assert remaining > max_us
    else:
        assert 0 <= read <= max(0, remaining) and max(0, remaining) - read < 1000 and read <= max_us


@pytest.mark.parametrize("text", ["", "-1", "1.5", " 1", "1e3", "٣", "9" * 13, "0x1", "1_0", "10001"])
def test_malformed_or_too_large_text_is_rejected(text: str) -> None:
    assert decode_remaining(text, 10 * SECOND_US) is None


def test_time_is_charged_to_the_stage_it_was_spent_in() -> None:
    deadline = Deadline.start(1_025_000, 30_000, 0)
    deadline = (
        deadline.enter(Stage.CONNECTING, 100_000).enter(Stage.WAITING, 150_000).enter(Stage.HELD, 450_000)
    )
    assert deadline.spent_by(500_000) == (30_000, 150_000, 50_000, 300_000, 0)
    assert deadline.remaining_us(500_000) == 470_000 and deadline.longest_stage(500_000) is Stage.WAITING
    # After the end no time remains, and no more is charged.
    assert deadline.spent_by(5 * SECOND_US) == (30_000, 620_000, 50_000, 300_000, 0)
    assert not deadline.remaining_us(5 * SECOND_US)


def test_shutdown_shortens_a_deadline_and_never_lengthens_it() -> None:
    deadline = Deadline.start(2_025_000, 0, 0)
    assert deadline.capped_at(3 * SECOND_US, DeadlineSource.DRAIN) is deadline
    shortened = deadline.capped_at(SECOND_US, DeadlineSource.DRAIN)
    assert shortened.end_us == shortened.given_us == SECOND_US
    assert shortened.source == DeadlineSource.DRAIN
    assert shortened.capped_at(2 * SECOND_US, DeadlineSource.DRAIN) is shortened
    assert not shortened.capped_at(-SECOND_US, DeadlineSource.DRAIN).remaining_us(0)


def test_unread_time_is_estimated_within_bounds() -> None:
    assert estimate_unread_us(MIN_LATE_US - 1, 0) == 0  # within the resolution of a timer
    assert (
        estimate_unread_us(2 * SECOND_US, 0) == SECOND_US
        and estimate_unread_us(0, 70_000) == 70_000
        and estimate_unread_us(-SECOND_US, -SECOND_US) == 0
    )
    assert Deadline.start(500_000, 9 * SECOND_US, 0).remaining_us(0) == 0  # limited to the given time
    assert Deadline.start(500_000, -9 * SECOND_US, 0).remaining_us(0) == 475_000
