"""A gateway's share of a token bucket that several gateways keep."""


class TokenBucket:
    """`share` of a bucket of `burst` units that fills at `rate` units a second; `level` units are in it."""

    __slots__ = ("burst", "level", "rate", "share")

    def __init__(self, rate: float, burst: float, share: float, level: float) -> None:
        self.rate = rate
        self.burst = burst
        self.share = share
        self.level = level

    @property
    def capacity(self) -> float:
        """The most units that this share holds."""
        return self.burst * self.share

    def refill(self, elapsed_s: float) -> None:
        """Add what has come in since the last call."""
        self.level = min(self.capacity, self.level + self.rate * elapsed_s * self.share)
