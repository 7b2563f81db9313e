"""How long clients wait, and so how old what they ask already is.

Clients that do not mark their retries still tell how long they will wait. First tries of a class nearly all
say the same; a retry says what is left of the class's deadline, which its client counts from its first try.
"""

BUCKET_US = 50_000  # times that differ by less are taken for the same: what a client's way and timers blur
COMMON = 0.15  # of the tries: a time that so many say is one that first tries say
DELAY_BUCKETS = 6  # by which a first try's time may be less than said, where front door or network were late
LEAST_SEEN, MOST_SEEN = 20, 400  # tries before anything is made of them; as many count, older ones by half


class RetryDetector:
    """The times that tries of one class say their clients will wait; a bounded table of counts."""

    __slots__ = ("counts", "seen")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.seen = 0.0

    def record(self, remaining_us: int) -> None:
        """A try whose client says that it waits for so long."""
        bucket = remaining_us // BUCKET_US
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1
        self.seen += 1
        if self.seen >= MOST_SEEN:
            self.counts = {key: count / 2 for key, count in self.counts.items() if count > 1}
            self.seen = sum(self.counts.values())

    def is_common(self, remaining_us: int) -> bool:
        """Whether so many say so, or a little more, that first tries do; too few tell nothing."""
        if self.seen < LEAST_SEEN:
            return True
        bucket, get = remaining_us // BUCKET_US, self.counts.get
        return sum(get(bucket + n, 0.0) for n in range(-1, DELAY_BUCKETS + 1)) >= COMMON * self.seen
