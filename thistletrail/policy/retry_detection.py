"""Detection of retries that clients do not mark, by the time that the client still waits.

Clients state with each request how long they will wait for the answer. First requests of a class nearly all
state the same time. A retry states what is left of the class's deadline, which its client counts from its
first request: a time that is seldom stated is that of a retry. Times are microseconds.
"""

# Waiting times are counted in buckets of this width: it covers what network and client timers add.
BUCKET_US = 50_000

# Share of the recorded requests from which on a waiting time is one that first requests state.
MIN_COMMON_SHARE = 0.15

# By how many buckets a first request's time may be shorter than stated, where client and gateway were slow.
MAX_DELAY_BUCKETS = 6

MIN_REQUESTS = 20  # recorded before any request is taken for a retry: fewer show nothing

# Recorded requests at which all counts are halved, so that the table stays small and follows changes.
MAX_REQUESTS = 400


class RetryDetector:
    """The waiting times that requests of one class stated: a bounded table of counts, by bucket."""

    __slots__ = ("counts", "seen")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}  # by bucket; recent requests count for more
        self.seen = 0.0  # the sum of the counts

    def record(self, remaining_us: int) -> None:
        """Count a request whose client still waits for `remaining_us`."""
        bucket = remaining_us // BUCKET_US
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1
        self.seen += 1
        if self.seen >= MAX_REQUESTS:
            self._halve_counts()

    def _halve_counts(self) -> None:
        """Halve all counts, and drop those that come to half a request or less."""
        self.counts = {bucket: count / 2 for bucket, count in self.counts.items() if count > 1}
        self.seen = sum(self.counts.values())

    def is_common(self, remaining_us: int) -> bool:
        """Whether first requests state this time or a slightly longer one; True while few were recorded."""
        if self.seen < MIN_REQUESTS:
            return True
        bucket = remaining_us // BUCKET_US
        similar = sum(self.counts.get(bucket + n, 0.0) for n in range(-1, MAX_DELAY_BUCKETS + 1))
        return similar >= MIN_COMMON_SHARE * self.seen
