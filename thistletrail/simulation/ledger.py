"""Each customer's stores of quota and ceiling, over all front doors, as the operators book them."""

from thistletrail.simulation.clock import S


class Store:
    """Units that fill at a rate, in units a second, and hold the burst at most; it starts full."""

    __slots__ = ("at", "burst", "level", "rate")

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, now

    def refill(self, now: int) -> float:
        """Bring the level up to `now`; never above the burst."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / S)
        self.at = now
        return self.level

    def take(self, units: float, now: int) -> bool:
        """Take units where it holds them: whether it did."""
        if self.refill(now) < units:
            return False
        self.level -= units
        return True

    def force(self, units: float, now: int) -> float:
        """Take units whether it holds them or not, as a ceiling does: what is left, also below nothing."""
        self.level = self.refill(now) - units
        return self.level


class Account:
    """One customer's stores: quota as sent on, as one gateway that saw all would have it, and ceiling."""

    __slots__ = ("ceiling", "ideal", "lowest", "quota", "slack")

    def __init__(self, rate: float, burst: float, ceiling: tuple[float, float, float], now: int) -> None:
        """`ceiling` is its rate, burst and slack; a rate of 0 means there is none."""
        self.quota, self.ideal = Store(rate, burst, now), Store(rate, burst, now)
        self.ceiling = Store(ceiling[0], ceiling[1], now) if ceiling[0] else None
        self.slack, self.lowest = ceiling[2], 0.0

    def send(self, units: float, now: int) -> bool:
        """A try's first attempt has come to a scan server: whether it is inside the quota."""
        inside = self.quota.take(units, now)
        if self.ceiling:
            self.lowest = min(self.lowest, self.ceiling.force(units, now))
        return inside

    def broken(self) -> bool:
        """Whether the ceiling was passed, by the rule's slack and 150 ms of its rate (the protocol page)."""
        return self.ceiling is not None and self.lowest < -(self.slack + 0.15 * self.ceiling.rate) - 1e-9
