"""A request's time, from its client's sending to the last attempt: what was given, what is left, who took it.

A budget is made once, when a request is taken, and each later limit is read from it: the module's, those of
an attempt's connect, wait and written `d`, the back-stop, the drain. It goes by the monotonic clock, so that
a step of the wall clock changes nothing, and a pause of the process is charged to the stage it fell in.
"""

from dataclasses import dataclass
from enum import IntEnum

# Taken off what a client says once, here, and nowhere else: for its request's way here and our answer's back.
ANSWER_MARGIN_US = 25_000
# A loop that is late by less may only have a coarse timer.
LATE_LEAST_US = 10_000
# Of the loop's lateness, what a command that was read in it is charged: it may have come at any time in it.
LATE_SHARE = 0.5
MS = 1000


class Stage(IntEnum):
    """Where a request's time goes."""

    UNREAD = 0  # it had come, and was not looked at: an estimate
    HELD = 1  # with the module, which has no attempt out
    CONNECTING = 2  # an attempt is out and not written
    WAITING = 3  # an attempt is written
    ANSWERING = 4  # the answer is known, and waits behind others on its connection


class Source(IntEnum):
    """Where a budget's end comes from."""

    CLIENT = 0  # the time that its client said
    DRAIN = 1  # what a drain leaves


@dataclass(frozen=True, slots=True)
class Budget:
    """What was given, its end on the monotonic clock, and what each stage has taken by `since_us`.

    At any time what all stages have taken and what is left are what was given. Time past the end is nobody's.
    """

    given_us: int
    end_us: int
    source: Source
    stage: Stage
    since_us: int  # when the present stage began
    spent_us: tuple[int, int, int, int, int] = (0, 0, 0, 0, 0)

    @classmethod
    def taken(cls, wait_us: int, unread_us: int, now_us: int) -> "Budget":
        """That of a request that is taken now, whose client waits for so long from its sending on.

        What it lay unread for is an estimate: never below nothing, and never more than there was to lose.
        """
        given = max(0, wait_us - ANSWER_MARGIN_US)
        unread = max(0, min(unread_us, given))
        return cls(given, now_us + given - unread, Source.CLIENT, Stage.HELD, now_us, (unread, 0, 0, 0, 0))

    def remaining_us(self, now_us: int) -> int:
        """Never below nothing; it only falls."""
        return max(0, self.end_us - max(now_us, self.since_us))

    def spent_by(self, now_us: int) -> tuple[int, int, int, int, int]:
        """By stage, with the present one up to now."""
        took = max(0, min(now_us, self.end_us) - self.since_us)
        if not took:
            return self.spent_us
        return tuple(spent + took * (at == self.stage) for at, spent in enumerate(self.spent_us))

    def enter(self, stage: Stage, now_us: int) -> "Budget":
        """Go on in another stage."""
        if stage is self.stage:
            return self
        now = max(now_us, self.since_us)
        return Budget(self.given_us, self.end_us, self.source, stage, now, self.spent_by(now))

    def until(self, end_us: int, source: Source) -> "Budget":
        """The lesser of its own end and another; what has been taken by now stays taken."""
        end = max(end_us, self.since_us)
        if end >= self.end_us:
            return self
        given = self.given_us - (self.end_us - end)
        return Budget(given, end, source, self.stage, self.since_us, self.spent_us)

    def slowest(self, now_us: int) -> Stage:
        """Which stage has taken the most."""
        spent = self.spent_by(now_us)
        return Stage(max(range(len(spent)), key=spent.__getitem__))


def unread_us(late_us: int, waited_us: int) -> int:
    """An estimate of how long a command lay before its first look: a share of the time by which the loop was
    late when it was read, and all of the time for which it then waited behind others on its connection."""
    late = round(late_us * LATE_SHARE) if late_us >= LATE_LEAST_US else 0
    return late + max(0, waited_us)


def to_text(remaining_us: int) -> bytes:
    """What is left as it crosses to another process: whole milliseconds, rounded down, as a relative figure,
    so that clocks need not agree."""
    return b"%d" % (max(0, remaining_us) // MS)


def from_text(text: str, most_us: int) -> int | None:
    """What is left by such a text, never more than was written; None where it is no such text or is more than
    anybody gives."""
    if len(text) > 12 or not (text.isascii() and text.isdigit()):
        return None
    left = int(text) * MS
    return left if left <= most_us else None
