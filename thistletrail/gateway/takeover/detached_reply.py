"""The reply target of a transferred request, which has no client connection at this gateway."""


class DetachedReply:
    """Discards the answer of a request that was transferred from another gateway."""

    __slots__ = ("id",)

    def __init__(self, request_id: str) -> None:
        self.id: str | None = request_id

    def waits(self) -> bool:
        """Return False: no earlier answers have to be sent first."""
        return False

    def is_wanted(self) -> bool:
        """Return True: the work continues whether or not its client is connected."""
        return True

    def send(self, data: bytes) -> None:
        """Discard the answer; the client retries, and gets the recorded outcome."""
