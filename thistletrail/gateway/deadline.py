"""A request's deadline: the time it was given, the remaining time, and the time that each stage has taken.

A deadline is created once, when the request is accepted. Each later limit is derived from it: the policy's,
an attempt's time-outs and the `d` that is written to a server, the backstop and the graceful shutdown. It
uses the monotonic clock, so that a step of the wall clock has no effect. A pause of the process is charged to
the stage in which it occurred.

This code runs for each request, so it uses one small object with slots.
"""

from dataclasses import dataclass
from enum import IntEnum

# Network time of the request and of its answer. Subtracted from the client's wait time here and nowhere else.
ANSWER_MARGIN_US = 25_000
# Event loop lateness below this is ignored: it may only be the resolution of a timer.
MIN_LATE_US = 10_000
# Share of the event loop's lateness that is charged to a command read during it. The command may have arrived
# at any time in that period, so half of it is the expected wait.
LOOP_LATENESS_SHARE = 0.5
MICROSECONDS_PER_MILLISECOND = 1000
MAX_INTEGER_DIGITS = 12  # of an integer in a command; limits the cost of parsing it


class Stage(IntEnum):
    """The stages of a request. Their names in lower case are keys of the `costs` line."""

    UNREAD = 0  # in the socket's buffer, not yet read; an estimate
    HELD = 1  # queued by the policy, with no attempt in flight
    CONNECTING = 2  # an attempt is in flight, not yet written
    WAITING = 3  # an attempt is written, its answer pending
    ANSWERING = 4  # the answer is queued behind others on the client's connection


class DeadlineSource(IntEnum):
    """What determines the end of a deadline."""

    CLIENT = 0  # the wait time in the client's command
    DRAIN = 1  # the end of a graceful shutdown


@dataclass(frozen=True, slots=True)
class Deadline:
    """The given time, its end on the monotonic clock, and the time that each stage has taken.

    At any time, the time spent in all stages and the remaining time add up to the given time. Time past the
    end is charged to no stage.
    """

    given_us: int
    end_us: int
    source: DeadlineSource
    stage: Stage
    stage_began_us: int  # when the current stage began
    spent_us: tuple[int, int, int, int, int] = (0, 0, 0, 0, 0)  # by stage, up to `stage_began_us`

    @classmethod
    def start(cls, wait_us: int, unread_us: int, now_us: int) -> "Deadline":
        """The deadline of a request accepted at `now_us`, whose client waits `wait_us` from sending it.

        `unread_us` is an estimate of the time before the request was read. It is limited to the range from 0
        to the given time.
        """
        given_us = max(0, wait_us - ANSWER_MARGIN_US)
        unread_us = max(0, min(unread_us, given_us))
        end_us = now_us + given_us - unread_us
        return cls(given_us, end_us, DeadlineSource.CLIENT, Stage.HELD, now_us, (unread_us, 0, 0, 0, 0))

    def remaining_us(self, now_us: int) -> int:
        """The remaining time; never negative, and never increasing."""
        return max(0, self.end_us - max(now_us, self.stage_began_us))

    def spent_by(self, now_us: int) -> tuple[int, int, int, int, int]:
        """Microseconds spent in each stage, including the current one up to `now_us`."""
        took_us = max(0, min(now_us, self.end_us) - self.stage_began_us)
        if not took_us:
            return self.spent_us
        return tuple(spent + took_us * (stage == self.stage) for stage, spent in enumerate(self.spent_us))

    def enter(self, stage: Stage, now_us: int) -> "Deadline":
        """The deadline of a request that enters another stage at `now_us`."""
        if stage is self.stage:
            return self
        began_us = max(now_us, self.stage_began_us)
        return Deadline(self.given_us, self.end_us, self.source, stage, began_us, self.spent_by(began_us))

    def capped_at(self, end_us: int, source: DeadlineSource) -> "Deadline":
        """The deadline with its end limited to `end_us`; the time already spent is unchanged."""
        end = max(end_us, self.stage_began_us)
        if end >= self.end_us:
            return self
        given_us = self.given_us - (self.end_us - end)
        return Deadline(given_us, end, source, self.stage, self.stage_began_us, self.spent_us)

    def longest_stage(self, now_us: int) -> Stage:
        """The stage that has taken the most time."""
        spent_us = self.spent_by(now_us)
        return Stage(max(range(len(spent_us)), key=spent_us.__getitem__))


def estimate_unread_us(late_us: int, waited_us: int) -> int:
    """Estimate how long a command was unread.

    The estimate is a share of the event loop's lateness when the command was read, plus all of the time for
    which the command then waited behind others on its connection.
    """
    late = round(late_us * LOOP_LATENESS_SHARE) if late_us >= MIN_LATE_US else 0
    return late + max(0, waited_us)


def encode_remaining(remaining_us: int) -> bytes:
    """Encode a remaining time for another process.

    The text is a number of milliseconds, rounded down. It is relative, so that clocks need not agree.
    """
    return b"%d" % (max(0, remaining_us) // MICROSECONDS_PER_MILLISECOND)


def decode_remaining(text: str, max_us: int) -> int | None:
    """Decode a remaining time into microseconds.

    Returns None if the text is not a number of milliseconds, or the time is greater than `max_us`.
    """
    if len(text) > MAX_INTEGER_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    remaining_us = int(text) * MICROSECONDS_PER_MILLISECOND
    return remaining_us if remaining_us <= max_us else None
