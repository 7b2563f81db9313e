"""A gateway's share of a token bucket that several gateways divide among them."""


class TokenBucket:
    """A share of a bucket that holds `burst` units and is refilled with `rate` units a second.

    `share` is a fraction from 0 to 1 of both; `level` is the number of units in the share.
    """

    __slots__ = ("burst", "level", "rate", "share")

    def __init__(self, rate: float, burst: float, share: float, level: float) -> None:
        self.rate = rate
        self.burst = burst
        self.share = share
        self.level = level

    @property
    def capacity(self) -> float:
        """The maximum number of units in this share."""
        return self.burst * self.share

    def refill(self, elapsed_s: float) -> None:
        """Add the units that `elapsed_s` seconds bring, up to the capacity."""
        self.level = min(self.capacity, self.level + self.rate * elapsed_s * self.share)
