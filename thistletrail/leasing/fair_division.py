"""Max-min fair division of a total by demand, in integers; remainders rotate among the holders."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

TOLERANCE_DIVISOR = 4  # a share that is at most a quarter too large stays as it is
STEP_DIVISOR = 4  # a share grows by at most a quarter of the total per step, so that shares converge


def divide(total: int, demands: Mapping[str, int], rotation: int = 0) -> dict[str, int]:
    """Return non-negative shares by name; they add up to `total` if there are any names.

    No name gets more than its demand while another gets less than its own. What exceeds all demands is
    divided in proportion to demand, or evenly if there is no demand. Units that do not divide evenly go to
    one name each, starting at `rotation`, so that over many divisions all names get the same.
    """
    if not demands or total <= 0:
        return dict.fromkeys(demands, 0)
    names = sorted(demands)
    shares = dict.fromkeys(names, 0)
    remaining = fill_demands(shares, demands, total, rotation)
    if not remaining:
        return shares
    remaining = spread_by_demand(shares, demands, remaining)
    each, remainder = divmod(remaining, len(names))
    for number, name in enumerate(rotated(names, rotation)):
        shares[name] += each + (number < remainder)
    return shares


def fill_demands(shares: dict[str, int], demands: Mapping[str, int], total: int, rotation: int) -> int:
    """Raise all shares together until each reaches its demand; return the remaining units."""
    remaining = total
    unsatisfied = [name for name in shares if demands[name] > 0]
    while remaining and unsatisfied:
        each = remaining // len(unsatisfied)
        if not each:
            for name in rotated(unsatisfied, rotation)[:remaining]:
                shares[name] += 1
            return 0
        for name in unsatisfied:
            added = min(each, demands[name] - shares[name])
            shares[name] += added
            remaining -= added
        unsatisfied = [name for name in unsatisfied if shares[name] < demands[name]]
    return remaining


def spread_by_demand(shares: dict[str, int], demands: Mapping[str, int], spare: int) -> int:
    """Divide the units beyond all demands in proportion to demand; return the rounding remainder."""
    total_demand = sum(demands.values())
    if not total_demand:
        return spare
    remaining = spare
    for name in shares:
        added = spare * max(0, demands[name]) // total_demand
        shares[name] += added
        remaining -= added
    return remaining


def rotated(names: Sequence[str], rotation: int) -> list[str]:
    """Return the names in order, starting at the one that `rotation` selects."""
    first = rotation % len(names)
    return [*names[first:], *names[:first]]


def bounded_step(current: int, target: int, total: int) -> int:
    """Return the next share on the way from `current` to `target`: down at once, up by bounded steps.

    A share that is slightly too large is not reduced: while a share shrinks, the larger one stays reserved
    until the holder has acknowledged the smaller one.
    """
    if 0 <= current - target <= current // TOLERANCE_DIVISOR:
        return current
    step = max(1, total // STEP_DIVISOR)
    return min(target, current + step)
