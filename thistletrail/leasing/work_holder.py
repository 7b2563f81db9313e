"""A gateway's side of work leases: the items that it owns, their fencing tokens, and the end of its lease.

It does no I/O and reads no clock: callers pass the time in milliseconds, by a clock that also runs while the
machine is suspended. A gateway calls `owns` before each write to a server and each answer to a client. Its
lease is counted from before the request was sent and ends early: by a margin for clock drift, and by one for
the time between reading the clock and the write. When the lease ends, the gateway loses all items that it
owned, even if no other gateway has taken them over.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
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

# Longest time between reading the clock and passing the last byte to the kernel: one iteration of the event
# loop on a busy machine.
WRITE_MARGIN_MS = 50
MAX_QUEUED_OPERATIONS = 4 * MAX_OPERATIONS  # when full, items are forwarded without a work lease
MAX_REQUEST_BYTES = 4 << 20  # bodies and values in one request: half of what the lease service accepts
MAX_BEGINS_PER_REQUEST = 64  # each may be answered with a stored value of 128 KiB


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """The request that has no response yet."""

    serial: int
    sent_ms: int
    operations: list[WorkOperation]


class AppliedOperation(Struct, frozen=True):
    """An operation and its result.

    Attributes:
        operation: The operation.
        result: Its result.
        is_withdrawn: Whether the gateway has withdrawn it, a `BeginWork`. If it has recorded the item, the
            holder has queued the item's release.
        was_repeated: Whether a `BeginWork` was sent before without a response. The item may then have been
            transferred to another gateway, which runs it for the same request.
    """

    operation: WorkOperation
    result: OperationResult
    is_withdrawn: bool = False
    was_repeated: bool = False

    @property
    def may_run_elsewhere(self) -> bool:
        """Whether another gateway may run, or have run, the item for the request of a `BeginWork`.

        A stale request, which is answered `LOST`, may have been carried out when it arrived first.
        """
        if self.result.status is OperationStatus.LOST:
            return True
        is_owned_and_never_ran = self.result.status is OperationStatus.PERSISTED and not self.result.server
        return self.was_repeated and not is_owned_and_never_ran


class AppliedResponse(Struct, frozen=True):
    """The content of an applied response: operations with their results, and newly transferred items."""

    operations: tuple[AppliedOperation, ...] = ()
    transferred: tuple[TransferredWork, ...] = ()


class WorkHolder:
    """All work items that one incarnation of a gateway owns."""

    def __init__(self, gateway: int, incarnation: int) -> None:
        self.gateway = gateway
        self.incarnation = incarnation
        self.serial = 0
        self.until_ms = -1
        self.fences: dict[str, int] = {}  # name of an owned item -> its fencing token
        self.queue: list[WorkOperation] = []
        self.in_flight: InFlightRequest | None = None
        self.accepted_fences: list[int] = []  # of transferred items that the next request acknowledges
        self.withdrawn: list[BeginWork] = []  # withdrawn after they were sent, without a result
        self.unresolved: list[BeginWork] = []  # queued again after a request without a response
        self.releasing: set[int] = set()  # fences whose `ReleaseWork` has no result
        self.is_draining = False

    # --- ownership ---

    def is_alive(self, now_ms: int) -> bool:
        """Return whether the lease lasts."""
        return now_ms < self.until_ms

    def owns(self, name: str, fence: int, now_ms: int) -> bool:
        """Return whether an item may be sent, answered or completed now under this fencing token."""
        return self.is_alive(now_ms) and self.fences.get(name) == fence

    def drop_expired(self, now_ms: int) -> list[str]:
        """If the lease has ended, give up all items and return their names.

        They are also released at the lease service, in case it has not transferred them yet.
        """
        if self.is_alive(now_ms) or not self.fences:
            return []
        lost = list(self.fences)
        for name in lost:
            self.release(name)
        return lost

    # --- operations ---

    def enqueue(self, operation: WorkOperation) -> bool:
        """Queue an operation; return False if the queue is full."""
        if len(self.queue) >= MAX_QUEUED_OPERATIONS:
            return False
        self.queue.append(operation)
        return True

    def forget(self, name: str) -> None:
        """Give up an item without telling the lease service."""
        self.fences.pop(name, None)

    def release(self, name: str, transfer: bool = False, never_ran: bool = False) -> bool:
        """Give up an item and release it at the lease service; with `transfer`, for another gateway.

        Without `transfer`, no gateway runs the item for this request once the result is `PERSISTED`. Until
        then the lease service may transfer it, if this gateway is lost.

        Returns:
            Whether this gateway owned the item.
        """
        fence = self.fences.pop(name, 0)
        if not fence:
            return False
        self.queue_release(ReleaseWork(name=name, fence=fence, transfer=transfer, never_ran=never_ran))
        return True

    def queue_release(self, release: ReleaseWork) -> None:
        """Queue a release, whatever the length of the queue."""
        self.queue.append(release)
        self.releasing.add(release.fence)

    def withdraw(self, begin: BeginWork) -> bool:
        """Withdraw a `BeginWork` that has no result yet.

        One that was never sent is removed from the queue. Any other may be recorded: its item is released
        once the result arrives. If it is to be sent again, it asks for no time, so that no gateway takes it
        over if only the repetition records it.

        Returns:
            Whether it was never sent, so that it is not recorded and never will be.
        """
        if begin not in self.queue:
            self.withdrawn.append(begin)
            return False
        position = self.queue.index(begin)
        if begin not in self.unresolved:
            del self.queue[position]
            return not self.was_sent(begin.request_id)
        self.withdrawn.append(begin)
        self.queue[position] = self.without_time_if_withdrawn(begin)
        return False

    def without_time_if_withdrawn(self, operation: WorkOperation) -> WorkOperation:
        """Return what is sent again for an operation: a withdrawn `BeginWork` asks for no time."""
        if not isinstance(operation, BeginWork) or operation not in self.withdrawn:
            return operation
        repetition = msgspec.structs.replace(operation, left_ms=0)
        self.withdrawn[self.withdrawn.index(operation)] = repetition
        if operation in self.unresolved:
            self.unresolved[self.unresolved.index(operation)] = repetition
        return repetition

    def was_sent(self, request_id: str) -> bool:
        """Return whether a `BeginWork` of this request was sent and has no result yet."""
        in_flight = [] if self.in_flight is None else self.in_flight.operations
        return any(
            isinstance(operation, BeginWork) and operation.request_id == request_id
            for operation in (*in_flight, *self.withdrawn, *self.unresolved)
        )

    # --- requests ---

    def next_request(self, now_ms: int) -> WorkRequest:
        """Return the next request with queued operations; only one request is in flight at a time."""
        self.serial += 1
        count = self.next_operation_count()
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

    def next_operation_count(self) -> int:
        """Return how many queued operations fit into the next request: one at least, if any are queued."""
        size = 0
        begins = 0
        for count, operation in enumerate(self.queue[:MAX_OPERATIONS]):
            size += payload_bytes(operation)
            begins += isinstance(operation, BeginWork)
            if count and (size > MAX_REQUEST_BYTES or begins > MAX_BEGINS_PER_REQUEST):
                return count
        return min(MAX_OPERATIONS, len(self.queue))

    def requeue_unanswered(self) -> None:
        """Queue the operations of an unanswered request again; the lease service may have applied some."""
        if self.in_flight is None:
            return
        operations = [self.without_time_if_withdrawn(operation) for operation in self.in_flight.operations]
        self.in_flight = None
        self.unresolved += [
            operation
            for operation in operations
            if isinstance(operation, BeginWork) and operation not in self.unresolved
        ]
        self.queue = [*operations, *self.queue]

    def on_not_persisted(self) -> list[AppliedOperation]:
        """Handle that the lease service could not persist the request in flight.

        Its operations are queued again, except each `BeginWork` that was sent for the first time: its item is
        not recorded.

        Returns:
            These `BeginWork` operations, each with the result `FULL`.
        """
        if self.in_flight is None:
            return []
        operations = self.in_flight.operations
        self.in_flight = None
        unrecorded = [
            operation
            for operation in operations
            if isinstance(operation, BeginWork) and operation not in self.unresolved
        ]
        self.queue = [*(operation for operation in operations if operation not in unrecorded), *self.queue]
        return [
            self.apply_result(begin, OperationResult(status=OperationStatus.FULL)) for begin in unrecorded
        ]

    def lease_end_ms(self, sent_ms: int, lease_ms: int) -> int:
        """Return when this gateway gives up a lease that began at `sent_ms`: both margins before its end."""
        return sent_ms + lease_ms - max(1, int(lease_ms * MARGIN_FRACTION)) - WRITE_MARGIN_MS

    def on_response(self, response: WorkResponse, now_ms: int) -> AppliedResponse:
        """Apply a response; one to a request that is no longer in flight has no effect."""
        in_flight = self.in_flight
        if in_flight is None or response.serial != in_flight.serial:
            return AppliedResponse()
        self.in_flight = None
        self.until_ms = max(self.until_ms, self.lease_end_ms(in_flight.sent_ms, response.lease_ms))
        operations = tuple(map(self.apply_result, in_flight.operations, response.results))
        already_accepted = self.accepted_fences
        self.accepted_fences = []
        if not self.is_alive(now_ms):  # too late: transferred items are not accepted
            return AppliedResponse(operations)
        self.accepted_fences = [item.fence for item in response.transferred]
        arrived = tuple(item for item in response.transferred if item.fence not in already_accepted)
        for item in arrived:
            self.fences[item.name] = item.fence
        return AppliedResponse(operations, arrived)

    def apply_result(self, operation: WorkOperation, result: OperationResult) -> AppliedOperation:
        """Record the item that an operation's result gives to this gateway, or drop the one it lost."""
        if isinstance(operation, BeginWork):
            return self.apply_begin_result(operation, result)
        if result.status is OperationStatus.LOST and self.fences.get(operation.name) == operation.fence:
            del self.fences[operation.name]
        if isinstance(operation, ReleaseWork):
            self.releasing.discard(operation.fence)
        return AppliedOperation(operation, result)

    def apply_begin_result(self, begin: BeginWork, result: OperationResult) -> AppliedOperation:
        """Record the item that a `BeginWork` gives to this gateway, or release it if it was withdrawn.

        A repeated `BeginWork` may be answered with the fence of an item whose release is on its way. The
        lease service drops that item, so the request has to ask again, as if another gateway owned it.
        """
        was_repeated = begin in self.unresolved
        if was_repeated:
            self.unresolved.remove(begin)
        is_withdrawn = begin in self.withdrawn
        if is_withdrawn:
            self.withdrawn.remove(begin)
        if result.status is not OperationStatus.PERSISTED:
            return AppliedOperation(begin, result, is_withdrawn, was_repeated)
        if is_withdrawn:
            self.queue_release(ReleaseWork(name=begin.name, fence=result.fence, never_ran=not result.server))
        elif result.fence in self.releasing:
            result = OperationResult(status=OperationStatus.ELSEWHERE)
            was_repeated = True
        else:
            self.fences[begin.name] = result.fence
        return AppliedOperation(begin, result, is_withdrawn, was_repeated)


def payload_bytes(operation: WorkOperation) -> int:
    """Return the size of an operation's request or value."""
    if isinstance(operation, BeginWork):
        return len(operation.request)
    if isinstance(operation, CompleteWork):
        return len(operation.value)
    return 0
