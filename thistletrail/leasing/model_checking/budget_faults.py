"""The model of fleet-wide budgets that is checked, and the faults that are planted into it.

Each planted fault is a subclass of `BudgetModel`, whose docstring says what is wrong with it.
"""

from __future__ import annotations

import msgspec

from thistletrail.leasing.budget_holder import BudgetHolder, BudgetLease
from thistletrail.leasing.budget_state import Budget, BudgetState, Holding
from thistletrail.leasing.messages import BudgetRequest, Grant, RenewRequest

LEASE_MS = 4000


class CheckedBudgetState(BudgetState):
    """The state machine as it is, but that shares change in one step, so that traces are shorter."""

    def next_share(self, current: int, target: int, total: int) -> int:
        """Return the wanted share at once."""
        return target


class BudgetModel:
    """What is checked: the state machines as they are."""

    name = "as it is"
    state_type: type[CheckedBudgetState] = CheckedBudgetState
    holder_type: type[BudgetHolder] = BudgetHolder
    quiet_ms = LEASE_MS  # that a new history waits after a loss
    looks_for_later_term_last = True  # once what was decided is in the journal


class HolderCountingFromResponse(BudgetHolder):
    """Counts a lease from the response."""

    def lease_end_ms(self, sent_ms: int, lease_ms: int, now_ms: int) -> int:
        """Return an end that counts from the response."""
        return now_ms + lease_ms


class LeaseCountedFromResponse(BudgetModel):
    """A holder counts its lease from the response, and not from before its request."""

    name = "a lease counted from the response"
    holder_type = HolderCountingFromResponse


class StateExpiringEarly(CheckedBudgetState):
    """Counts half of a lease."""

    def lease_end_ms(self, now_ms: int) -> int:
        """Return an end after half of the lease."""
        return now_ms + self.lease_ms // 2


class LeaseExpiredEarly(BudgetModel):
    """The lease service's count of a lease ends before the holder's does."""

    name = "a lease that ends too early at the lease service"
    state_type = StateExpiringEarly


class HolderWithoutFence(BudgetHolder):
    """Adopts any grant."""

    def is_newer(self, lease: BudgetLease, fence: int) -> bool:
        """Take every grant for a later one."""
        return True


class FenceIgnored(BudgetModel):
    """A holder adopts any grant, also one that was overtaken by a later one."""

    name = "no fence at the holder"
    holder_type = HolderWithoutFence


class NoWaitAfterLoss(BudgetModel):
    """A new history grants at once, and not after the leases of the lost one have ended."""

    name = "no wait after a loss"
    quiet_ms = 0


class StateForgettingGrants(CheckedBudgetState):
    """Counts only the latest grant of a holder."""

    def issue(
        self, budget: Budget, holding: Holding, request: BudgetRequest, share: int, now_ms: int
    ) -> Grant:
        """Record a grant, and drop those before it."""
        grant = super().issue(budget, holding, request, share, now_ms)
        holding.issued = holding.issued[-1:]
        return grant


class ShareShrunkAtOnce(BudgetModel):
    """A share shrinks at once, before its holder has acknowledged that."""

    name = "a share that shrinks without acknowledgement"
    state_type = StateForgettingGrants


class StateCountingReturnsAgain(CheckedBudgetState):
    """Forgets which grants were acknowledged."""

    def acknowledge(self, budget: Budget, holding: Holding, request: BudgetRequest) -> None:
        """Drop replaced grants, and take what was returned again."""
        holding.acknowledged_fence = 0
        super().acknowledge(budget, holding, request)


class ReturnsCountedTwice(BudgetModel):
    """Returned units go to the pool each time that they are reported."""

    name = "units counted back twice"
    state_type = StateCountingReturnsAgain


class StateRefillingEarly(CheckedBudgetState):
    """Refills the pool also while nothing is granted."""

    def refill_pool(self, budget: Budget, now_ms: int) -> None:
        """Add units to the pool, also before grants begin."""
        quiet_until_ms = self.quiet_until_ms
        self.quiet_until_ms = 0
        super().refill_pool(budget, now_ms)
        self.quiet_until_ms = quiet_until_ms


class PoolRefilledWhileQuiet(BudgetModel):
    """Units come into the pool while holders of another history still get them."""

    name = "units pooled while a loss is waited out"
    state_type = StateRefillingEarly


class LaterTermLookedForFirst(BudgetModel):
    """A leader looks for a later term before its decision is in the journal, and not after."""

    name = "the look for a later term before the log"
    looks_for_later_term_last = False


class HolderAcceptingLess(BudgetHolder):
    """Reports nothing as in use, and accepts any share."""

    def next_request(self, now_ms: int) -> RenewRequest:
        """Return the next request, with nothing in use."""
        request = super().next_request(now_ms)
        budgets = tuple(msgspec.structs.replace(wanted, in_use=0) for wanted in request.budgets)
        return msgspec.structs.replace(request, budgets=budgets)

    def accepts(self, lease: BudgetLease, share: int, now_ms: int) -> bool:
        """Accept any share."""
        return True


class CountShrunkBelowUse(BudgetModel):
    """A holder accepts less of a count than it has in use."""

    name = "a count that shrinks below what is in use"
    holder_type = HolderAcceptingLess


PLANTED_FAULTS: tuple[type[BudgetModel], ...] = (
    LeaseCountedFromResponse,
    LeaseExpiredEarly,
    FenceIgnored,
    NoWaitAfterLoss,
    ShareShrunkAtOnce,
    ReturnsCountedTwice,
    PoolRefilledWhileQuiet,
    LaterTermLookedForFirst,
    CountShrunkBelowUse,
)
