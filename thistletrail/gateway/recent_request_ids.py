"""The ids of requests that have ended after an attempt may have run, so that none of them runs again."""

RETENTION_US = 10_000_000
MIN_IDS = 1000
ID_BYTES = 256  # of memory for one id


class RecentRequestIds:
    """A bounded number of ids, each for RETENTION_US; the oldest are dropped first."""

    __slots__ = ("expires_us", "max_ids")

    def __init__(self, max_ids: int) -> None:
        self.max_ids = max_ids
        self.expires_us: dict[str, int] = {}  # by id, in the order in which they were added

    def add(self, request_id: str, now_us: int) -> None:
        """Remember an id from `now_us` on."""
        self.expires_us.pop(request_id, None)
        self.expires_us[request_id] = now_us + RETENTION_US
        while len(self.expires_us) > self.max_ids or self.oldest_expires_us() <= now_us:
            del self.expires_us[next(iter(self.expires_us))]

    def oldest_expires_us(self) -> int:
        """When the oldest id expires."""
        return next(iter(self.expires_us.values()))

    def contains(self, request_id: str, now_us: int) -> bool:
        """Whether an id is remembered."""
        return self.expires_us.get(request_id, 0) > now_us
