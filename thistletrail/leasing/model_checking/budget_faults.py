"""The model of fleet-wide budgets, and the faults that are planted into it to test the check.

Each planted fault is a subclass of `BudgetModel`, whose docstring describes the fault. Its `name` is printed.
"""

from __future__ import annotations

import msgspec

from thistletrail.leasing.budget_holder import BudgetHolder, BudgetLease
from thistletrail.leasing.budget_state import Budget, BudgetState, Holding
from thistletrail.leasing.messages import BudgetRequest, Grant, RenewRequest

LEASE_MS = 4000


class CheckedBudgetState(BudgetState):
    """The state machine, except that shares change in one step, so that traces are shorter."""

    def next_share(self, current: int, target: int, total: int) -> int:
        """Return the target share."""
        return target


class BudgetModel:
    """The state machines that are checked, without a planted fault.

    Attributes:
        name: The name of the planted fault in the command's output.
        state_type: The state machine of the lease service.
        holder_type: The state machine of a holder.
        quiet_ms: How long a new history grants nothing, after the journal of the one before it was lost.
        checks_later_term_last: Whether a leader checks for a later term after its decision is in the journal.
    """

    name = "as it is"
    state_type: type[CheckedBudgetState] = CheckedBudgetState
    holder_type: type[BudgetHolder] = BudgetHolder
    quiet_ms = LEASE_MS
    checks_later_term_last = True


class HolderCountingFromResponse(BudgetHolder):
    """Counts a lease from the arrival of the response."""

    def lease_end_ms(self, sent_ms: int, lease_ms: int, now_ms: int) -> int:
        """Return the end of a lease that begins now."""
        return now_ms + lease_ms


class LeaseCountedFromResponse(BudgetModel):
    """A holder counts its lease from the arrival of the response, and not from before its request."""

    name = "a lease counted from the response"
    holder_type = HolderCountingFromResponse


class StateExpiringEarly(CheckedBudgetState):
    """Counts only half of a lease."""

    def lease_end_ms(self, now_ms: int) -> int:
        """Return the time half a lease from now."""
        return now_ms + self.lease_ms // 2


class LeaseExpiredEarly(BudgetModel):
    """The lease service expires a grant before its holder does."""

    name = "a lease that ends too early at the lease service"
    state_type = StateExpiringEarly


class HolderWithoutFence(BudgetHolder):
    """Adopts any grant."""

    def is_newer(self, lease: BudgetLease, fence: int) -> bool:
        """Return True for every grant."""
        return True


class FenceIgnored(BudgetModel):
    """A holder adopts any grant, even one that is older than the adopted one."""

    name = "no fence at the holder"
    holder_type = HolderWithoutFence


class NoWaitAfterLoss(BudgetModel):
    """A new history grants at once, and not only after all leases of the lost history have ended."""

    name = "no wait after a loss"
    quiet_ms = 0


class StateForgettingGrants(CheckedBudgetState):
    """Reserves only the latest grant of a holder."""

    def issue(
        self, budget: Budget, holding: Holding, request: BudgetRequest, share: int, now_ms: int
    ) -> Grant:
        """Issue a grant, and remove the earlier ones."""
        grant = super().issue(budget, holding, request, share, now_ms)
        holding.issued = holding.issued[-1:]
        return grant


class ShareShrunkAtOnce(BudgetModel):
    """A share shrinks at once, before its holder has acknowledged the smaller one."""

    name = "a share that shrinks without acknowledgement"
    state_type = StateForgettingGrants


class StateCountingReturnsAgain(CheckedBudgetState):
    """Forgets which grant was acknowledged last."""

    def acknowledge(self, budget: Budget, holding: Holding, request: BudgetRequest) -> None:
        """Remove replaced grants, and add returned units to the pool even if they were added before."""
        holding.acknowledged_fence = 0
        super().acknowledge(budget, holding, request)


class ReturnsCountedTwice(BudgetModel):
    """The lease service adds returned units to the pool each time that they are reported."""

    name = "units counted back twice"
    state_type = StateCountingReturnsAgain


class StateRefillingEarly(CheckedBudgetState):
    """Refills the pool also while a new history grants nothing."""

    def refill_pool(self, budget: Budget, now_ms: int) -> None:
        """Add units to the pool, even before `quiet_until_ms`."""
        quiet_until_ms = self.quiet_until_ms
        self.quiet_until_ms = 0
        super().refill_pool(budget, now_ms)
        self.quiet_until_ms = quiet_until_ms


class PoolRefilledWhileQuiet(BudgetModel):
    """Units are added to the pool while holders of an earlier history still get them."""

    name = "units pooled while a loss is waited out"
    state_type = StateRefillingEarly


class LaterTermCheckedFirst(BudgetModel):
    """A leader checks for a later term before its decision is in the journal, and not after."""

    name = "the look for a later term before the log"
    checks_later_term_last = False


class HolderAcceptingAnyShare(BudgetHolder):
    """Reports that it uses nothing, and accepts any share."""

    def next_request(self, now_ms: int) -> RenewRequest:
        """Return the next request, with 0 in use of each budget."""
        request = super().next_request(now_ms)
        budgets = tuple(msgspec.structs.replace(budget, in_use=0) for budget in request.budgets)
        return msgspec.structs.replace(request, budgets=budgets)

    def accepts(self, lease: BudgetLease, share: int, now_ms: int) -> bool:
        """Accept any share."""
        return True


class CountShrunkBelowUse(BudgetModel):
    """A holder accepts a share of a count that is below what it has in use."""

    name = "a count that shrinks below what is in use"
    holder_type = HolderAcceptingAnyShare


PLANTED_FAULTS: tuple[type[BudgetModel], ...] = (
    LeaseCountedFromResponse,
    LeaseExpiredEarly,
    FenceIgnored,
    NoWaitAfterLoss,
    ShareShrunkAtOnce,
    ReturnsCountedTwice,
    PoolRefilledWhileQuiet,
    LaterTermCheckedFirst,
    CountShrunkBelowUse,
)
