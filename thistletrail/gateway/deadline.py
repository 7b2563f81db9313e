"""A request's deadline: how much time it was given, what is left, and which stage took the rest.

A deadline is made once, when a request is accepted, and each later limit is read from it: the policy's,
those of an attempt's connect, wait and written `d`, the back-stop, the graceful shutdown. It goes by the
monotonic clock, so that a step of the wall clock changes nothing, and a pause of the process is charged to
the stage it fell in.

All of this is on the path of each request: it is plain code on one small object with slots.
"""

from dataclasses import dataclass
from enum import IntEnum

# Taken off what a client says once, here, and nowhere else: for its request's way here and our answer's back.
ANSWER_MARGIN_US = 25_000
# A loop that is late by less may only have a coarse timer.
MIN_LATE_US = 10_000
# Of the loop's lateness, what a command that was read in it is charged: it may have come at any time in it.
LATE_SHARE = 0.5
MICROSECONDS_PER_MILLISECOND = 1000
MAX_DIGITS = 12  # of a time as text: more than anybody waits, and cheap to read


class Stage(IntEnum):
    """Where a request's time goes. The names, in lower case, are keys of the `costs` line."""

    UNREAD = 0  # it had come, and was not read: an estimate
    HELD = 1  # with the policy, which has no attempt in flight
    CONNECTING = 2  # an attempt is in flight and not written
    WAITING = 3  # an attempt is written
    ANSWERING = 4  # the answer is known, and waits behind others on its connection


class DeadlineSource(IntEnum):
    """What a deadline's end comes from."""

    CLIENT = 0  # the time that its client said
    DRAIN = 1  # what a graceful shutdown leaves


@dataclass(frozen=True, slots=True)
class Deadline:
    """What was given, its end on the monotonic clock, and what each stage has taken by `stage_began_us`.

    At any time what all stages have taken and what is left are what was given. Time past the end is nobody's.
    """

    given_us: int
    end_us: int
    source: DeadlineSource
    stage: Stage
    stage_began_us: int  # when the present stage began
    spent_us: tuple[int, int, int, int, int] = (0, 0, 0, 0, 0)  # by stage

    @classmethod
    def start(cls, wait_us: int, unread_us: int, now_us: int) -> "Deadline":
        """That of a request that is accepted now, whose client waits for so long from its sending on.

        What it lay unread for is an estimate: never below nothing, and never more than there was to lose.
        """
        given_us = max(0, wait_us - ANSWER_MARGIN_US)
        unread_us = max(0, min(unread_us, given_us))
        end_us = now_us + given_us - unread_us
        return cls(given_us, end_us, DeadlineSource.CLIENT, Stage.HELD, now_us, (unread_us, 0, 0, 0, 0))

    def remaining_us(self, now_us: int) -> int:
        """What is left; never below nothing, and it only falls."""
        return max(0, self.end_us - max(now_us, self.stage_began_us))

    def spent_by(self, now_us: int) -> tuple[int, int, int, int, int]:
        """Microseconds by stage, with the present one up to now."""
        took_us = max(0, min(now_us, self.end_us) - self.stage_began_us)
        if not took_us:
            return self.spent_us
        return tuple(spent + took_us * (stage == self.stage) for stage, spent in enumerate(self.spent_us))

    def enter(self, stage: Stage, now_us: int) -> "Deadline":
        """Go on in another stage."""
        if stage is self.stage:
            return self
        began_us = max(now_us, self.stage_began_us)
        return Deadline(self.given_us, self.end_us, self.source, stage, began_us, self.spent_by(began_us))

    def until(self, end_us: int, source: DeadlineSource) -> "Deadline":
        """The earlier of its own end and another; what has been spent by now stays spent."""
        end = max(end_us, self.stage_began_us)
        if end >= self.end_us:
            return self
        given_us = self.given_us - (self.end_us - end)
        return Deadline(given_us, end, source, self.stage, self.stage_began_us, self.spent_us)

    def longest_stage(self, now_us: int) -> Stage:
        """Which stage has taken the most."""
        spent_us = self.spent_by(now_us)
        return Stage(max(range(len(spent_us)), key=spent_us.__getitem__))


def estimate_unread_us(late_us: int, waited_us: int) -> int:
    """An estimate of how long a command lay unread.

    A share of the time by which the loop was late when it was read, and all of the time for which it then
    waited behind others on its connection.
    """
    late = round(late_us * LATE_SHARE) if late_us >= MIN_LATE_US else 0
    return late + max(0, waited_us)


def encode_remaining(remaining_us: int) -> bytes:
    """What is left as it crosses to another process.

    Whole milliseconds, rounded down, as a relative figure, so that clocks need not agree.
    """
    return b"%d" % (max(0, remaining_us) // MICROSECONDS_PER_MILLISECOND)


def decode_remaining(text: str, max_us: int) -> int | None:
    """What is left by such a text, in microseconds, never more than was written.

    None where it is no such text or is more than `max_us`.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    remaining_us = int(text) * MICROSECONDS_PER_MILLISECOND
    return remaining_us if remaining_us <= max_us else None
