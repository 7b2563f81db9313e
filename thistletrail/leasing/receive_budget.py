"""Bounds the memory that incomplete calls to the lease service take, over all connections together.

A call's signature can only be verified once all of it has arrived. Until then anybody may have sent it. When
the bound is exceeded, the largest call of a sender that is not verified is therefore ended first.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator

MAX_INCOMPLETE_BYTES = 16 << 20  # fits two work requests of the maximum size
CALL_TIMEOUT_S = 5.0  # from the first byte of a call to its last one


class IncompleteCall:
    """One call that is being received, or a stream of calls between two of them."""

    def __init__(self, budget: ReceiveBudget, end: Callable[[], None]) -> None:
        self.budget = budget
        self.end = end
        self.size_bytes = 0
        self.is_verified = False  # the sender has signed an earlier call of this stream
        self.deadline_s: float | None = None  # on the event loop's clock; None while nothing has arrived

    def resize(self, size_bytes: int) -> None:
        """Set the bytes that have arrived so far; ends other calls, or this one, if all are too many.

        Raises:
            ConnectionError: This call has been ended.
        """
        if self not in self.budget.calls:
            raise ConnectionAbortedError("the call has been ended to free memory")
        if not size_bytes:
            self.deadline_s = None
        elif self.deadline_s is None:
            self.deadline_s = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        self.budget.total_bytes += size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        self.budget.enforce()

    def precedence(self) -> tuple[bool, int]:
        """The key by which calls are ended, the greatest first."""
        return not self.is_verified, self.size_bytes

    @contextlib.asynccontextmanager
    async def time_limit(self) -> AsyncIterator[None]:
        """Limit a wait for more bytes; raises TimeoutError once the call has taken CALL_TIMEOUT_S.

        A verified stream may wait for the beginning of its next call for any time.
        """
        deadline_s = self.deadline_s
        if deadline_s is None and not self.is_verified:
            deadline_s = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        async with asyncio.timeout_at(deadline_s):
            yield


class ReceiveBudget:
    """All calls that are being received."""

    def __init__(self, max_bytes: int = MAX_INCOMPLETE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.calls: set[IncompleteCall] = set()

    @contextlib.contextmanager
    def receiving(self, end: Callable[[], None]) -> Iterator[IncompleteCall]:
        """Count a call for the duration of the block; `end` disconnects its sender and frees its memory."""
        call = IncompleteCall(self, end)
        self.calls.add(call)
        try:
            yield call
        finally:
            self.remove(call)

    def remove(self, call: IncompleteCall) -> None:
        """Stop counting a call."""
        if call in self.calls:
            self.calls.remove(call)
            self.total_bytes -= call.size_bytes
            call.size_bytes = 0

    def enforce(self) -> None:
        """End calls until the rest is within the bound."""
        while self.total_bytes > self.max_bytes:
            largest = max(self.calls, key=IncompleteCall.precedence)
            self.remove(largest)
            largest.end()
