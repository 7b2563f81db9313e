"""Each customer's account of quota units over all gateways, by the rules of the operators' accounting."""

from thistletrail.simulation.clock import S


class TokenBucket:
    """A token bucket that refills at a rate in units a second and holds at most its burst; it starts full."""

    __slots__ = ("burst", "level", "rate", "updated_us")

    def __init__(self, rate: float, burst: float, now_us: int) -> None:
        self.rate, self.burst, self.level, self.updated_us = rate, burst, burst, now_us

    def refill(self, now_us: int) -> float:
        """Bring the level up to `now_us`, never above the burst, and return it."""
        self.level = min(self.burst, self.level + self.rate * (now_us - self.updated_us) / S)
        self.updated_us = now_us
        return self.level

    def take(self, units: float, now_us: int) -> bool:
        """Take units if the bucket holds them. Return whether it did."""
        if self.refill(now_us) < units:
            return False
        self.level -= units
        return True

    def overdraw(self, units: float, now_us: int) -> float:
        """Take units, as of a ceiling, even if the bucket then falls below 0. Return the level."""
        self.level = self.refill(now_us) - units
        return self.level


class Account:
    """One customer's token buckets.

    `quota` is charged for forwarded requests as long as it holds units, `ideal` for those that a single
    gateway which receives all operations would admit, and `ceiling` (None: no ceiling) for all forwarded
    requests. `min_level` is the
    ceiling's lowest level so far, at most 0.
    """

    __slots__ = ("ceiling", "ideal", "min_level", "quota", "slack")

    def __init__(self, rate: float, burst: float, ceiling: tuple[float, float, float], now_us: int) -> None:
        """`ceiling` is its rate, burst and slack; a rate of 0 means that there is none."""
        self.quota, self.ideal = TokenBucket(rate, burst, now_us), TokenBucket(rate, burst, now_us)
        self.ceiling = TokenBucket(ceiling[0], ceiling[1], now_us) if ceiling[0] else None
        self.slack, self.min_level = ceiling[2], 0.0

    def charge(self, units: float, now_us: int) -> bool:
        """Charge a request whose first attempt has arrived at a server. Return whether it is in the quota."""
        is_in_quota = self.quota.take(units, now_us)
        if self.ceiling:
            self.min_level = min(self.min_level, self.ceiling.overdraw(units, now_us))
        return is_in_quota

    def is_ceiling_exceeded(self) -> bool:
        """Return whether the ceiling was exceeded by more than its slack and 150 ms of its rate.

        The protocol page allows that much.
        """
        return self.ceiling is not None and self.min_level < -(self.slack + 0.15 * self.ceiling.rate) - 1e-9
