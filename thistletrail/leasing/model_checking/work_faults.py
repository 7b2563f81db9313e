"""The model of work leases, and the faults that are planted into it to test the check.

Each planted fault is a subclass of `WorkModel`, whose docstring describes the fault. Its `name` is printed.
"""

from __future__ import annotations

import msgspec

from thistletrail.leasing.messages import (
    BeginWork,
    OperationResult,
    TransferredWork,
    WorkOperation,
    WorkRequest,
    holder_name,
)
from thistletrail.leasing.work_holder import AppliedOperation, WorkHolder
from thistletrail.leasing.work_membership import Member, Membership
from thistletrail.leasing.work_state import WorkState

LEASE_MS = 1000


class WorkModel:
    """The state machines that are checked, without a planted fault.

    Attributes:
        name: The name of the planted fault in the command's output.
        state_type: The state machine of the lease service.
        holder_type: The state machine of a gateway.
        begins_before_write: Whether an item is journaled before a gateway writes it to a server.
        persists_before_answer: Whether an outcome is journaled before the client is answered.
        withdraws_before_refusal: Whether a client is refused only once nothing of its request is recorded.
        fails_transferred_requests: Whether the client of an item that a draining gateway transfers is
            answered that its request failed, and not that it has no effect.
        forgets_earlier_attempts: Whether an attempt that could not connect counts as the only one.
        repeats_withdrawn_polls: Whether a gateway withdraws a poll without a result and sends the next one.
    """

    name = "as it is"
    state_type: type[WorkState] = WorkState
    holder_type: type[WorkHolder] = WorkHolder
    begins_before_write = True
    persists_before_answer = True
    withdraws_before_refusal = True
    fails_transferred_requests = True
    forgets_earlier_attempts = False
    repeats_withdrawn_polls = False


class StateWithoutFence(WorkState):
    """Treats every operation as one of the item's owner under the current fencing number."""

    def apply_operation(self, holder: str, operation: WorkOperation, now_ms: int) -> OperationResult:
        """Apply an operation as if the owner had sent it under the current fencing number."""
        item = self.store.items.get(operation.name)
        if item is not None and not isinstance(operation, BeginWork):
            operation = msgspec.structs.replace(operation, fence=item.fence)
            item.owner = item.owner or holder
            holder = item.owner
        return super().apply_operation(holder, operation, now_ms)


class FenceIgnored(WorkModel):
    """The lease service carries out operations of any sender under any fencing number."""

    name = "no fence"
    state_type = StateWithoutFence


class HolderIgnoringLeaseEnd(WorkHolder):
    """Does not check whether its lease has ended."""

    def owns(self, name: str, fence: int, now_ms: int) -> bool:
        """Return whether the item is owned under this fencing number, even if the lease has ended."""
        return self.fences.get(name) == fence

    def drop_expired(self, now_ms: int) -> list[str]:
        """Return no items: none is dropped when the lease ends."""
        return []


class LeaseCheckedAfterWrite(WorkModel):
    """A gateway checks its lease after the write, and not before it."""

    name = "the check after the write"
    holder_type = HolderIgnoringLeaseEnd


class MembershipExpiringEarly(Membership):
    """Counts only half of a lease."""

    def is_alive(self, holder: str, now_ms: int) -> bool:
        """Return whether a holder is still in the first half of its lease."""
        return super().is_alive(holder, now_ms + LEASE_MS // 2)


class StateTakingOverEarly(WorkState):
    """Treats an owner as lost after half of its lease."""

    membership_type = MembershipExpiringEarly


class TakeoverByTimeout(WorkModel):
    """An owner counts as lost if it sends nothing for a time that is shorter than its lease."""

    name = "takeover by a time-out"
    state_type = StateTakingOverEarly


class OutcomePersistedAfterAnswer(WorkModel):
    """A client is answered before the outcome is journaled."""

    name = "the outcome kept after the answer"
    persists_before_answer = False


class WriteBeforeBegin(WorkModel):
    """A gateway writes an item to a server before the item is journaled."""

    name = "the write before the begin"
    begins_before_write = False


class StateHidingLocation(WorkState):
    """Does not report where an item may have run."""

    def begin(self, holder: str, operation: BeginWork, now_ms: int) -> OperationResult:
        """Return a result without a location."""
        result = super().begin(holder, operation, now_ms)
        return OperationResult(status=result.status, fence=result.fence, value=result.value)

    def unaccepted_transfers(self, member: Member, now_ms: int) -> list[TransferredWork]:
        """Return the unaccepted transfers without locations."""
        transfers = super().unaccepted_transfers(member, now_ms)
        return [msgspec.structs.replace(item, server="", place="") for item in transfers]


class ZoneNotReported(WorkModel):
    """A gateway that continues an item does not learn where it may have run."""

    name = "the zone not reported"
    state_type = StateHidingLocation


class EarlierAttemptForgotten(WorkModel):
    """A gateway reports that an item never ran after an attempt of several that could not connect."""

    name = "an earlier attempt forgotten"
    forgets_earlier_attempts = True


class RefusalBeforeWithdrawal(WorkModel):
    """A client is refused while the record of its request may exist."""

    name = "the refusal before the withdrawal"
    withdraws_before_refusal = False


class RefusalOfTransferredWork(WorkModel):
    """A draining gateway refuses the client of an item that it transfers."""

    name = "the refusal of transferred work"
    fails_transferred_requests = False


class HolderForgettingRequests(WorkHolder):
    """Treats a queued `BeginWork` as never sent, although its earlier request had no response."""

    def requeue_unanswered(self) -> None:
        """Queue the operations of an unanswered request again, as if they had not been sent."""
        super().requeue_unanswered()
        self.unresolved.clear()


class RepeatedBeginForgotten(WorkModel):
    """A client is refused as soon as the repetition of a `BeginWork` is taken from the queue."""

    name = "the refusal before a repeated begin"
    holder_type = HolderForgettingRequests


class MembershipForgettingSerials(Membership):
    """Accepts a delayed request of a gateway whose lease has ended."""

    def is_stale(self, request: WorkRequest) -> bool:
        """Return whether a request is stale, as far as the gateways with leases show."""
        holder = holder_name(request.gateway, request.incarnation)
        if holder not in self.members:
            return request.incarnation < self.latest_incarnation_of(request.gateway)
        return super().is_stale(request)


class StateForgettingSerials(WorkState):
    """Remembers the latest request of a gateway only while its lease lasts."""

    membership_type = MembershipForgettingSerials


class DelayedRequestAccepted(WorkModel):
    """A request that arrives after the end of its gateway's lease is carried out."""

    name = "a delayed request accepted"
    state_type = StateForgettingSerials


class HolderKeepingReleased(WorkHolder):
    """Adopts the fencing token of an item that it is about to release."""

    def apply_begin_result(self, begin: BeginWork, result: OperationResult) -> AppliedOperation:
        """Apply the result as if no item were being released."""
        self.releasing.clear()
        return super().apply_begin_result(begin, result)


class ReleasedItemAdopted(WorkModel):
    """A gateway that repeats a withdrawn `BeginWork` owns an item that the lease service has dropped."""

    name = "a withdrawn poll and the next one"
    repeats_withdrawn_polls = True
    holder_type = HolderKeepingReleased


PLANTED_FAULTS: tuple[type[WorkModel], ...] = (
    FenceIgnored,
    LeaseCheckedAfterWrite,
    TakeoverByTimeout,
    OutcomePersistedAfterAnswer,
    WriteBeforeBegin,
    ZoneNotReported,
    EarlierAttemptForgotten,
)
PLANTED_REFUSAL_FAULTS: tuple[type[WorkModel], ...] = (
    RefusalBeforeWithdrawal,
    RefusalOfTransferredWork,
    RepeatedBeginForgotten,
    DelayedRequestAccepted,
    ReleasedItemAdopted,
)
