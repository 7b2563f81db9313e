"""The model of work leases that is checked, and the faults that are planted into it.

Each planted fault is a subclass of `WorkModel`, whose docstring says what is wrong with it.
"""

from __future__ import annotations

import msgspec

from thistletrail.leasing.messages import BeginWork, OperationResult, TransferredWork, WorkOperation
from thistletrail.leasing.work_holder import WorkHolder
from thistletrail.leasing.work_membership import Member, Membership
from thistletrail.leasing.work_state import WorkState

LEASE_MS = 1000


class WorkModel:
    """What is checked: the state machines as they are."""

    name = "as it is"
    state_type: type[WorkState] = WorkState
    holder_type: type[WorkHolder] = WorkHolder
    begins_before_write = True  # an item is journaled before it is written
    persists_before_answer = True  # an outcome is journaled before the client is answered


class StateWithoutFence(WorkState):
    """Takes every operation for the owner's, under the present fencing number."""

    def apply_operation(self, holder: str, operation: WorkOperation, now_ms: int) -> OperationResult:
        """Apply an operation under the present fencing number."""
        item = self.store.items.get(operation.name)
        if item is not None and not isinstance(operation, BeginWork):
            operation = msgspec.structs.replace(operation, fence=item.fence)
            item.owner = item.owner or holder
            holder = item.owner
        return super().apply_operation(holder, operation, now_ms)


class FenceIgnored(WorkModel):
    """Operations are carried out for whoever sends them, under whatever fencing number."""

    name = "no fence"
    state_type = StateWithoutFence


class HolderLookingLate(WorkHolder):
    """Does not look at its lease."""

    def owns(self, name: str, fence: int, now_ms: int) -> bool:
        """Return whether an item was owned, whether or not the lease lasts."""
        return self.fences.get(name) == fence

    def drop_expired(self, now_ms: int) -> list[str]:
        """Drop nothing."""
        return []


class LeaseCheckedAfterWrite(WorkModel):
    """A gateway looks at its lease after the write, and not before it."""

    name = "the check after the write"
    holder_type = HolderLookingLate


class ImpatientMembership(Membership):
    """Counts half of a lease."""

    def is_alive(self, holder: str, now_ms: int) -> bool:
        """Return whether half of the lease lasts."""
        return super().is_alive(holder, now_ms + LEASE_MS // 2)


class StateTakingOverEarly(WorkState):
    """Takes an owner for lost after half of its lease."""

    membership_type = ImpatientMembership


class TakeoverByTimeout(WorkModel):
    """An owner counts as lost after a silence that is shorter than its lease."""

    name = "takeover by a time-out"
    state_type = StateTakingOverEarly


class OutcomePersistedAfterAnswer(WorkModel):
    """A client is answered before the outcome is journaled."""

    name = "the outcome kept after the answer"
    persists_before_answer = False


class WriteBeforeBegin(WorkModel):
    """An item is written before it is journaled."""

    name = "the write before the begin"
    begins_before_write = False


class StateHidingLocation(WorkState):
    """Says nothing of where an item may have run."""

    def begin(self, holder: str, operation: BeginWork, now_ms: int) -> OperationResult:
        """Return a result without a location."""
        result = super().begin(holder, operation, now_ms)
        return OperationResult(status=result.status, fence=result.fence, value=result.value)

    def unaccepted_transfers(self, member: Member, now_ms: int) -> list[TransferredWork]:
        """Return items without a location."""
        found = super().unaccepted_transfers(member, now_ms)
        return [msgspec.structs.replace(item, server="", place="") for item in found]


class ZoneNotReported(WorkModel):
    """Whoever goes on with an item does not learn where it may have run."""

    name = "the zone not reported"
    state_type = StateHidingLocation


PLANTED_FAULTS: tuple[type[WorkModel], ...] = (
    FenceIgnored,
    LeaseCheckedAfterWrite,
    TakeoverByTimeout,
    OutcomePersistedAfterAnswer,
    WriteBeforeBegin,
    ZoneNotReported,
)
