"""The state machine of fleet-wide budgets: which holder has which share of which budget, and until when.

Pure: time is passed in, in milliseconds. The guarantee: at every moment the shares that any holder may still
rely on add up to no more than the total. A holder may rely on all grants of its that have not expired and
that it has not replaced by adopting a later one; all of these are reserved here, and a share is only granted
out of what is not. A holder counts its lease from before it sent its request and stops early; this side
counts from its decision, and longer.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from msgspec import Struct

from thistletrail.leasing.errors import RequestRejectedError
from thistletrail.leasing.fair_division import bounded_step, divide
from thistletrail.leasing.messages import BudgetRequest, Grant, RenewRequest, RenewResponse, holder_name

LEASE_MS = 3000
# By which a holder stops early: clocks that drift by 1 in 1,000 against each other, ten times over.
MARGIN_FRACTION = 1 / 50
MIN_LEASE_MS = 500  # that may be configured: a renewal and a retry fit in
MAX_LEASE_MS = 10_000  # that may be configured: for as long a new history grants nothing
MAX_HOLDERS = 1000  # five times the largest fleet: incarnations that have died count for a lease
MAX_BUDGETS = 20_000
MAX_BUDGETS_IN_REQUEST = 2000
MAX_DEMAND = 1 << 40  # a gateway's demand is bounded, and so is what a wrong one gains
# Of a granted rate, in hundredths, that stays in a common pool: its units go to whoever needs some at the
# moment. Shares by demand alone leave each holder with too few units for random peaks (docs/leasing.md has
# the measurements).
POOL_PERCENT = 70
FLOOR_DIVISOR = 10  # a tenth of each total is reserved for gateways that cannot reach the lease service
THOUSANDTHS = 1000


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """A budget as it is configured.

    Attributes:
        total: What may be in use at once, or thousandths of units a second.
        burst: How many units a store of the rate holds; 0 for a count of what may be open at once.
    """

    total: int
    burst: int = 0

    @classmethod
    def from_rate(cls, rate: float, burst: float) -> BudgetLimits:
        """Return limits of so many units a second and at once; without a rate, of a count of `burst`."""
        if not rate:
            return cls(int(burst))
        return cls(round(rate * THOUSANDTHS), int(burst))


class IssuedGrant(Struct, frozen=True):
    """A grant that its holder may still rely on, until `until_ms` at most; `units` came with it."""

    fence: int
    share: int
    until_ms: int
    units: int = 0


class Holding:
    """One holder's grants of one budget, oldest first, and its demand.

    `reserved` (the largest share that the holder may rely on) and `first_end_ms` (when the first grant ends)
    follow from the grants. They are stored, as each renewal of any holder reads them.
    """

    __slots__ = ("_issued", "acknowledged_fence", "demand", "first_end_ms", "reserved")

    def __init__(
        self, issued: Iterable[IssuedGrant] = (), demand: int = 0, acknowledged_fence: int = 0
    ) -> None:
        self.demand = demand
        self.acknowledged_fence = acknowledged_fence  # of the latest grant that the holder has adopted
        self.issued = tuple(issued)

    @property
    def issued(self) -> tuple[IssuedGrant, ...]:
        """All grants that the holder may still rely on."""
        return self._issued

    @issued.setter
    def issued(self, grants: tuple[IssuedGrant, ...]) -> None:
        self._issued = grants
        self.reserved = max((grant.share for grant in grants), default=0)
        self.first_end_ms = min((grant.until_ms for grant in grants), default=0)

    def drop_expired(self, now_ms: int) -> None:
        """Forget the grants that have ended."""
        self.issued = tuple(grant for grant in self.issued if grant.until_ms > now_ms)


@dataclass(slots=True)
class Budget:
    """One budget: its limits, its holders by name, and the pool of units that nobody holds."""

    limits: BudgetLimits
    holdings: dict[str, Holding] = field(default_factory=dict)
    pool_thousandths: int = 0  # of units; refilled at the rate that nobody holds
    pool_at_ms: int = 0  # when it was refilled last
    turn: int = 0  # of the division's remainders

    @property
    def reserved(self) -> int:
        """What all holders together may rely on."""
        return sum(holding.reserved for holding in self.holdings.values())


class HolderGrant(Struct, frozen=True):
    """A grant with the budget and the holder that it belongs to."""

    budget: str
    holder: str
    grant: IssuedGrant


class RequestStamp(Struct, frozen=True):
    """The serial of a holder's latest request, and when it arrived."""

    serial: int
    at_ms: int


NO_REQUEST = RequestStamp(-1, 0)


def floor_share(total: int, gateways: int) -> int:
    """Return what each of so many gateways may use at all times: together within what is reserved for it."""
    return total // FLOOR_DIVISOR // max(1, gateways)


def leasable_total(total: int) -> int:
    """Return what leases divide: the total without what is reserved for floors."""
    return total - total // FLOOR_DIVISOR


def divisible_total(limits: BudgetLimits, holders: int = 1) -> int:
    """Return what is divided into shares: all that is leasable of a count; of a rate, what is not the pool's.

    It is nothing where a share's part of the burst would be less than one unit, which nobody could spend.
    """
    total = leasable_total(limits.total)
    if not limits.burst:
        return total
    shares = total - total * POOL_PERCENT // 100
    return shares if limits.burst * shares >= limits.total * holders else 0


class BudgetState:
    """All budgets and their holders. Every change goes through `renew`, `expire` and `set_limits`."""

    def __init__(self, fence: int, now_ms: int, quiet_ms: int = LEASE_MS, lease_ms: int = LEASE_MS) -> None:
        """Begin a history.

        Args:
            fence: Fencing numbers of this history are above it.
            now_ms: The time.
            quiet_ms: For how long nothing is granted: all that another history may have granted ends in it.
            lease_ms: The length of a lease.
        """
        self.fence = fence
        self.lease_ms = lease_ms
        self.quiet_until_ms = now_ms + quiet_ms
        self.budgets: dict[str, Budget] = {}
        self.last_requests: dict[str, RequestStamp] = {}  # by holder

    def set_limits(self, name: str, limits: BudgetLimits, now_ms: int) -> None:
        """Begin a budget, or change its limits: existing grants stay until they expire or are replaced.

        Raises:
            RequestRejectedError: There are too many budgets.
        """
        budget = self.budgets.get(name)
        if budget is not None:
            self.refill_pool(budget, now_ms)
            budget.limits = limits
        elif len(self.budgets) < MAX_BUDGETS:
            self.budgets[name] = Budget(limits, pool_at_ms=now_ms)
        else:
            raise RequestRejectedError(f"there are {MAX_BUDGETS} budgets already")

    # --- time ---

    def lease_end_ms(self, now_ms: int) -> int:
        """Return when a grant that is decided on now ends on this side: never before its holder stops."""
        return now_ms + self.lease_ms

    def expire(self, now_ms: int) -> None:
        """Forget what has ended, in all budgets; a renewal does so for the budget that it is about."""
        for budget in self.budgets.values():
            self.expire_grants(budget, now_ms)
        live = {name for budget in self.budgets.values() for name in budget.holdings}
        for name, stamp in list(self.last_requests.items()):
            if name not in live and now_ms - stamp.at_ms > self.lease_ms:
                del self.last_requests[name]

    def expire_grants(self, budget: Budget, now_ms: int) -> None:
        """Forget the grants of one budget that have ended; units left in their holders' stores are spent."""
        self.refill_pool(budget, now_ms)
        expired = [name for name, holding in budget.holdings.items() if holding.first_end_ms <= now_ms]
        for name in expired:
            holding = budget.holdings[name]
            holding.drop_expired(now_ms)
            if not holding.issued:
                del budget.holdings[name]

    def refill_pool(self, budget: Budget, now_ms: int) -> None:
        """Add units to the pool at the rate that no holder has, up to the pool's fraction of the burst.

        While all that another history may have granted is waited out, its holders get them, and not the pool.
        """
        limits = budget.limits
        total = leasable_total(limits.total)
        unreserved = max(0, total - budget.reserved)
        since_ms = max(budget.pool_at_ms, min(now_ms, self.quiet_until_ms))
        elapsed_ms = max(0, now_ms - since_ms)
        budget.pool_at_ms = max(now_ms, budget.pool_at_ms)
        if not limits.burst or not total:
            budget.pool_thousandths = 0
            return
        capacity = THOUSANDTHS * limits.burst * unreserved // limits.total
        # The rate is in thousandths of units a second, the time in thousandths of a second.
        level = budget.pool_thousandths + unreserved * elapsed_ms // 1000
        budget.pool_thousandths = min(capacity, level)

    # --- renewals ---

    def renew(self, request: RenewRequest, now_ms: int) -> RenewResponse:
        """Renew a holder's grants by its demand.

        A request that was received before, or is older than the latest, changes nothing and gets no grants:
        the holder has a later one under way, or its next request brings one.

        Raises:
            RequestRejectedError: The request names too many budgets, or there are too many holders.
        """
        if len(request.budgets) > MAX_BUDGETS_IN_REQUEST:
            raise RequestRejectedError(f"a request is for {MAX_BUDGETS_IN_REQUEST} budgets at most")
        holder = holder_name(request.gateway, request.incarnation)
        if request.serial <= self.last_requests.get(holder, NO_REQUEST).serial:
            return self.response(request, ())
        if holder not in self.last_requests and len(self.last_requests) >= MAX_HOLDERS:
            raise RequestRejectedError(f"there are {MAX_HOLDERS} holders already")
        self.last_requests[holder] = RequestStamp(request.serial, now_ms)
        grants = [self.renew_budget(holder, wanted, now_ms) for wanted in request.budgets]
        return self.response(request, tuple(grant for grant in grants if grant is not None))

    def response(self, request: RenewRequest, grants: tuple[Grant, ...]) -> RenewResponse:
        """Return the response to a request."""
        return RenewResponse(
            gateway=request.gateway,
            incarnation=request.incarnation,
            serial=request.serial,
            lease_ms=self.lease_ms,
            grants=grants,
        )

    def renew_budget(self, holder: str, request: BudgetRequest, now_ms: int) -> Grant | None:
        """Grant a holder its share of one budget, as much as can be granted now."""
        budget = self.budgets.get(request.budget)
        if budget is None:
            return None
        self.expire_grants(budget, now_ms)
        holding = budget.holdings.setdefault(holder, Holding())
        holding.demand = max(0, min(MAX_DEMAND, request.demand))
        self.acknowledge(budget, holding, request)
        if now_ms < self.quiet_until_ms:
            if not holding.issued:
                del budget.holdings[holder]
            return None
        share = self.share_of(budget, holder, holding)
        if not budget.limits.burst:  # what is in use cannot be taken back: it ends by itself
            share = max(share, min(request.in_use, holding.reserved))
        return self.issue(budget, holding, request, share, now_ms)

    def share_of(self, budget: Budget, holder: str, holding: Holding) -> int:
        """Return a holder's next share by all demands, out of what the others may not rely on."""
        present = holding.issued[-1].share if holding.issued else 0
        total = divisible_total(budget.limits, len(budget.holdings))
        demands = {name: other.demand for name, other in budget.holdings.items()}
        wanted = divide(total, demands, budget.turn)[holder]
        budget.turn += 1
        reserved_by_others = budget.reserved - holding.reserved
        return min(self.next_share(present, wanted, total), max(0, total - reserved_by_others))

    def next_share(self, present: int, wanted: int, total: int) -> int:
        """Return the next share on the way to another."""
        return bounded_step(present, wanted, total)

    def acknowledge(self, budget: Budget, holding: Holding, request: BudgetRequest) -> None:
        """Drop the grants that the holder has replaced; what it returned goes to the pool, once a fence."""
        adopted = next((grant for grant in holding.issued if grant.fence == request.fence), None)
        if adopted is None or request.fence <= holding.acknowledged_fence:
            return
        holding.acknowledged_fence = request.fence
        holding.issued = tuple(grant for grant in holding.issued if grant.fence >= request.fence)
        limits = budget.limits
        if limits.burst:
            # No holder has more to return than its share of the burst, and what came with a grant.
            limit = limits.burst * adopted.share // max(1, limits.total) + limits.burst
            budget.pool_thousandths += THOUSANDTHS * max(0, min(request.returned_units, limit))

    def issue(
        self, budget: Budget, holding: Holding, request: BudgetRequest, share: int, now_ms: int
    ) -> Grant:
        """Record a grant under the next fencing number, and return it."""
        self.fence += 1
        units = self.units_to_grant(budget, share - holding.reserved, request.needed_units)
        budget.pool_thousandths -= THOUSANDTHS * units
        grant = IssuedGrant(self.fence, share, self.lease_end_ms(now_ms), units)
        holding.issued = (*holding.issued, grant)
        return Grant(budget=request.budget, share=share, fence=self.fence, units=units)

    def units_to_grant(self, budget: Budget, growth: int, needed_units: int) -> int:
        """Return how many units of the pool go along with a grant.

        A share that grows brings its fraction of the burst; a need is met as far as there are units, but with
        half of them at most, as other holders may need some too.
        """
        limits = budget.limits
        available = budget.pool_thousandths // THOUSANDTHS
        if not available:
            return 0
        for_growth = limits.burst * max(0, growth) // max(1, limits.total)
        for_need = min(needed_units, max(1, available // 2))
        return min(available, max(for_growth, for_need))

    # --- persistence ---

    def issued_grants(self) -> Iterator[HolderGrant]:
        """Yield every grant that some holder may rely on."""
        for name, budget in self.budgets.items():
            for holder, holding in budget.holdings.items():
                for grant in holding.issued:
                    yield HolderGrant(name, holder, grant)

    def restore_grant(self, budget_name: str, holder: str, grant: IssuedGrant) -> None:
        """Add a grant that was made before this process began, and may be relied on as it says."""
        budget = self.budgets.get(budget_name)
        if budget is not None:
            holding = budget.holdings.setdefault(holder, Holding())
            holding.issued = (*holding.issued, grant)
        self.fence = max(self.fence, grant.fence)
