"""How a whole is divided by demand: max-min fair, in whole units, with what is left going round."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

NEAR = 4  # a part that is too large by at most a quarter stays as it is
STEP_SHARE = 4  # a part grows by at most this share (a quarter) of the whole at a time, so that it settles


def divide(whole: int, demands: Mapping[str, int], turn: int = 0) -> dict[str, int]:
    """Parts of `whole` that add up to it where anybody is there.

    Nobody gets more than was asked for while another lacks. What nobody asks for is spread by demand, as more
    may come where there is some; where there is none, evenly. Units that do not divide evenly go to one after
    the other, beginning at `turn`, so that over many divisions each gets as much. All are whole units, none
    below nothing.
    """
    if not demands or whole <= 0:
        return dict.fromkeys(demands, 0)
    names = sorted(demands)
    parts = dict.fromkeys(names, 0)
    left, wanting = whole, [name for name in names if demands[name] > 0]
    while left and wanting:
        each = left // len(wanting)
        if not each:
            for name in around(wanting, turn)[:left]:
                parts[name] += 1
            return parts
        for name in wanting:
            given = min(each, demands[name] - parts[name])
            parts[name] += given
            left -= given
        wanting = [name for name in wanting if parts[name] < demands[name]]
    if total := sum(demands.values()):
        spare = left
        for name in names:
            given = spare * max(0, demands[name]) // total
            parts[name] += given
            left -= given
    each, rest = divmod(left, len(names))
    for number, name in enumerate(around(names, turn)):
        parts[name] += each + (number < rest)
    return parts


def around(names: Sequence[str], turn: int) -> list[str]:
    """The names in order, beginning at one by turn."""
    at = turn % len(names)
    return [*names[at:], *names[:at]]


def stepped(present: int, wanted: int, whole: int) -> int:
    """The next part on the way from one to another: all the way down, a bounded step up. One that is a little
    too large stays, as a part that shrinks is bound twice until its holder has agreed."""
    if 0 <= present - wanted <= present // NEAR:
        return present
    step = max(1, whole // STEP_SHARE)
    return min(wanted, present + step)
