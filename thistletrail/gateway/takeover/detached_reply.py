"""The reply of a request whose client waits elsewhere."""


class DetachedReply:
    """Stands in for a client's reply, where the request was transferred from another gateway."""

    __slots__ = ("id",)

    def __init__(self, request_id: str) -> None:
        self.id: str | None = request_id

    def waits(self) -> bool:
        """No earlier answer has to leave first."""
        return False

    def is_wanted(self) -> bool:
        """The work goes on whether or not its client is connected."""
        return True

    def send(self, data: bytes) -> None:
        """Drop the answer: the client asks for the recorded outcome."""
