"""Max-min fair division of a total by demand, in integers; remainders rotate among the holders."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

TOLERANCE_DIVISOR = 4  # a share that is too large by at most a quarter stays as it is
STEP_DIVISOR = 4  # a share grows by at most a quarter of the total at a time, so that it settles


def divide(total: int, demands: Mapping[str, int], turn: int = 0) -> dict[str, int]:
    """Return shares by name, none negative, that add up to `total` where there is any name.

    Nobody gets more than its demand while another lacks. What exceeds all demands is spread by demand, or
    evenly where there is none. Units that do not divide evenly go to one name after the other, beginning at
    `turn`, so that over many divisions each gets as much.
    """
    if not demands or total <= 0:
        return dict.fromkeys(demands, 0)
    names = sorted(demands)
    shares = dict.fromkeys(names, 0)
    left = fill_demands(shares, demands, total, turn)
    if not left:
        return shares
    left = spread_by_demand(shares, demands, left)
    each, remainder = divmod(left, len(names))
    for number, name in enumerate(rotated(names, turn)):
        shares[name] += each + (number < remainder)
    return shares


def fill_demands(shares: dict[str, int], demands: Mapping[str, int], total: int, turn: int) -> int:
    """Raise all shares together until each reaches its demand; return what is left of the total."""
    left = total
    unsatisfied = [name for name in shares if demands[name] > 0]
    while left and unsatisfied:
        each = left // len(unsatisfied)
        if not each:
            for name in rotated(unsatisfied, turn)[:left]:
                shares[name] += 1
            return 0
        for name in unsatisfied:
            added = min(each, demands[name] - shares[name])
            shares[name] += added
            left -= added
        unsatisfied = [name for name in unsatisfied if shares[name] < demands[name]]
    return left


def spread_by_demand(shares: dict[str, int], demands: Mapping[str, int], spare: int) -> int:
    """Add what exceeds all demands in proportion to them; return what is left by rounding."""
    total_demand = sum(demands.values())
    if not total_demand:
        return spare
    left = spare
    for name in shares:
        added = spare * max(0, demands[name]) // total_demand
        shares[name] += added
        left -= added
    return left


def rotated(names: Sequence[str], turn: int) -> list[str]:
    """Return the names in order, beginning at one by turn."""
    first = turn % len(names)
    return [*names[first:], *names[:first]]


def bounded_step(present: int, wanted: int, total: int) -> int:
    """Return the next share on the way from one to another: all the way down, a bounded step up.

    One that is a little too large stays, as a share that shrinks is reserved twice until its holder has
    acknowledged the smaller one.
    """
    if 0 <= present - wanted <= present // TOLERANCE_DIVISOR:
        return present
    step = max(1, total // STEP_DIVISOR)
    return min(wanted, present + step)
