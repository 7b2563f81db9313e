"""A gateway's side of work leases: what it owns, under which fencing numbers, and until when it may act.

Pure: time is passed in, in milliseconds of a clock that runs in suspension. A gateway calls `owns` before
each write and each answer. Its lease counts from before the request was sent and ends early by a stated
margin: what lies between reading the clock and the write itself. What it owned when its lease ended is lost
to it, whoever owns it by now.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from thistletrail.leasing.budget_state import MARGIN_FRACTION
from thistletrail.leasing.messages import (
    MAX_OPERATIONS,
    BeginWork,
    CompleteWork,
    OperationResult,
    OperationStatus,
    ReleaseWork,
    TransferredWork,
    WorkOperation,
    WorkRequest,
    WorkResponse,
)

# Between reading the clock and the last byte's way into the kernel: a turn of the loop on a busy machine.
WRITE_MARGIN_MS = 50
MAX_QUEUED = 4 * MAX_OPERATIONS  # operations that wait to be sent: past it work goes on without a lease
MAX_REQUEST_BYTES = 4 << 20  # of bodies and values in one request: half of what the lease service takes
MAX_BEGINS = 64  # in one request, as each may be answered by a kept value of 128 KiB


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """The request that has no response yet."""

    serial: int
    sent_ms: int
    operations: list[WorkOperation]


class AppliedOperation(Struct, frozen=True):
    """An operation, and what became of it."""

    operation: WorkOperation
    result: OperationResult


class AppliedResponse(Struct, frozen=True):
    """What a response has brought: what became of each operation, and items to go on with."""

    operations: tuple[AppliedOperation, ...] = ()
    transferred: tuple[TransferredWork, ...] = ()


class WorkHolder:
    """All work items that one incarnation of a gateway owns."""

    def __init__(self, gateway: int, incarnation: int) -> None:
        self.gateway = gateway
        self.incarnation = incarnation
        self.serial = 0
        self.until_ms = -1
        self.fences: dict[str, int] = {}  # by name of an owned item: the fencing number
        self.queue: list[WorkOperation] = []
        self.in_flight: InFlightRequest | None = None
        self.accepted_fences: list[int] = []  # of the items of the last response, to acknowledge
        self.withdrawn: set[str] = set()  # names that were begun, and given up before there was a result
        self.is_draining = False

    # --- what may be done ---

    def is_alive(self, now_ms: int) -> bool:
        """Return whether the lease lasts."""
        return now_ms < self.until_ms

    def owns(self, name: str, fence: int, now_ms: int) -> bool:
        """Return whether an item may be written, answered or ended now."""
        return self.is_alive(now_ms) and self.fences.get(name) == fence

    def drop_expired(self, now_ms: int) -> list[str]:
        """Return the names of what is lost as the lease has ended; it is released, if nobody has taken it."""
        if self.is_alive(now_ms) or not self.fences:
            return []
        lost = list(self.fences)
        for name, fence in self.fences.items():
            self.queue.append(ReleaseWork(name=name, fence=fence))
        self.fences.clear()
        return lost

    # --- operations ---

    def enqueue(self, operation: WorkOperation) -> bool:
        """Queue an operation; return whether there was room."""
        if len(self.queue) >= MAX_QUEUED:
            return False
        self.queue.append(operation)
        return True

    def forget(self, name: str) -> None:
        """Own an item no more, without a word to the lease service."""
        self.fences.pop(name, None)

    def release(self, name: str, transfer: bool = False, never_ran: bool = False) -> None:
        """Give an item up: for another gateway with `transfer`."""
        fence = self.fences.pop(name, 0)
        if fence:
            self.queue.append(ReleaseWork(name=name, fence=fence, transfer=transfer, never_ran=never_ran))

    def withdraw(self, name: str) -> None:
        """Give up on a `BeginWork` that has no result yet: it is taken back, wherever it is by now."""
        remaining = [op for op in self.queue if not (isinstance(op, BeginWork) and op.name == name)]
        if len(remaining) < len(self.queue):
            self.queue = remaining
        else:
            self.withdrawn.add(name)

    # --- requests ---

    def next_request(self, now_ms: int) -> WorkRequest:
        """Return the next request, with operations that wait; one is in flight at a time."""
        self.serial += 1
        count = self.fitting_count()
        operations = self.queue[:count]
        self.queue = self.queue[count:]
        self.in_flight = InFlightRequest(self.serial, now_ms, operations)
        return WorkRequest(
            gateway=self.gateway,
            incarnation=self.incarnation,
            serial=self.serial,
            operations=tuple(operations),
            accepted_fences=tuple(self.accepted_fences),
            is_draining=self.is_draining,
        )

    def fitting_count(self) -> int:
        """Return how many of the queued operations go into one request: one at least."""
        size = 0
        begins = 0
        for count, operation in enumerate(self.queue[:MAX_OPERATIONS]):
            size += payload_bytes(operation)
            begins += isinstance(operation, BeginWork)
            if count and (size > MAX_REQUEST_BYTES or begins > MAX_BEGINS):
                return count
        return min(MAX_OPERATIONS, len(self.queue))

    def requeue_unanswered(self) -> None:
        """The request in flight got no response: its operations are sent again, some for the second time."""
        if self.in_flight is not None:
            self.queue = [*self.in_flight.operations, *self.queue]
            self.in_flight = None

    def on_rejected(self) -> list[BeginWork]:
        """The request in flight was rejected as a whole: return what goes on without a lease."""
        if self.in_flight is None:
            return []
        operations = self.in_flight.operations
        self.in_flight = None
        begun = [operation for operation in operations if isinstance(operation, BeginWork)]
        self.withdrawn -= {operation.name for operation in begun}
        others = [operation for operation in operations if not isinstance(operation, BeginWork)]
        self.queue = [*others, *self.queue]
        return begun

    def lease_end_ms(self, sent_ms: int, lease_ms: int) -> int:
        """Return when to stop: the margins before the lease ends, counted from before the request."""
        return sent_ms + lease_ms - max(1, int(lease_ms * MARGIN_FRACTION)) - WRITE_MARGIN_MS

    def on_response(self, response: WorkResponse, now_ms: int) -> AppliedResponse:
        """Apply a response; one to a request that is not in flight any more brings nothing."""
        in_flight = self.in_flight
        if in_flight is None or response.serial != in_flight.serial:
            return AppliedResponse()
        self.in_flight = None
        self.until_ms = max(self.until_ms, self.lease_end_ms(in_flight.sent_ms, response.lease_ms))
        operations = tuple(map(AppliedOperation, in_flight.operations, response.results))
        for applied in operations:
            self.apply_result(applied.operation, applied.result)
        known = self.accepted_fences
        self.accepted_fences = []
        if not self.is_alive(now_ms):  # too late to go on with anything: it has not arrived
            return AppliedResponse(operations)
        self.accepted_fences = [item.fence for item in response.transferred]
        arrived = tuple(item for item in response.transferred if item.fence not in known)
        for item in arrived:
            self.fences[item.name] = item.fence
        return AppliedResponse(operations, arrived)

    def apply_result(self, operation: WorkOperation, result: OperationResult) -> None:
        """Note what an operation has made this gateway's, or shown to be lost."""
        if isinstance(operation, BeginWork):
            if result.status is OperationStatus.PERSISTED:
                self.fences[operation.name] = result.fence
            if operation.name in self.withdrawn:
                self.withdrawn.discard(operation.name)
                self.release(operation.name, never_ran=not result.server)
        elif result.status is OperationStatus.LOST and self.fences.get(operation.name) == operation.fence:
            del self.fences[operation.name]


def payload_bytes(operation: WorkOperation) -> int:
    """Return the size of what makes an operation large."""
    if isinstance(operation, BeginWork):
        return len(operation.request)
    if isinstance(operation, CompleteWork):
        return len(operation.value)
    return 0
