"""Detection of retries that clients do not mark, by the remaining time that they state.

Clients state with each request how long they will wait for the answer. First attempts of a class nearly all
state the same time. A retry states what remains of the class's deadline, which its client counts from the
first attempt. A request that states an uncommon time is therefore treated as a retry.
"""

# Width of a bucket of remaining times, which covers the variation from the network and client timers.
BUCKET_US = 50_000

# A remaining time is that of first attempts if at least this share of requests state a similar one.
MIN_COMMON_SHARE = 0.15

# How much time a first attempt may lose when its client or the gateway is slow, in buckets. A request counts
# as a first attempt if its remaining time is up to this much below a common one, or a bucket above it.
MAX_DELAY_BUCKETS = 6

MIN_REQUESTS = 20  # recorded before any counts as a retry: fewer do not show which time is common

# When this many requests are counted, all counts are halved: the table stays small and follows changes.
MAX_REQUESTS = 400


class RetryDetector:
    """Counts of the remaining times that requests of one class stated: a bounded table, by bucket."""

    __slots__ = ("counts", "total_count")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}  # by bucket; recent requests have more weight
        self.total_count = 0.0  # the sum of the counts

    def record(self, remaining_us: int) -> None:
        """Count a request whose client will wait for another `remaining_us`."""
        bucket = remaining_us // BUCKET_US
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1
        self.total_count += 1
        if self.total_count >= MAX_REQUESTS:
            self._halve_counts()

    def _halve_counts(self) -> None:
        """Halve all counts, and drop those that fall to half a request or less."""
        self.counts = {bucket: count / 2 for bucket, count in self.counts.items() if count > 1}
        self.total_count = sum(self.counts.values())

    def is_common(self, remaining_us: int) -> bool:
        """Return whether first attempts state about this time; True until MIN_REQUESTS have been recorded."""
        if self.total_count < MIN_REQUESTS:
            return True
        bucket = remaining_us // BUCKET_US
        similar = sum(self.counts.get(bucket + n, 0.0) for n in range(-1, MAX_DELAY_BUCKETS + 1))
        return similar >= MIN_COMMON_SHARE * self.total_count
