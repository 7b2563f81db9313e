"""The state machine of fleet-wide budgets: which holder has which share of which budget, and until when.

It does no I/O and reads no clock: callers pass the time in milliseconds.

It guarantees that the shares that all holders may still use never add up to more than the total. A holder
may use each of its grants that has not expired and that it has not replaced by adopting a later one. All of
these grants are reserved here, and new shares come only from the unreserved rest. A holder counts its lease
from before it sent its request and stops a margin before the end; the lease service counts the whole lease
from its decision, so it always expires a grant after the holder has stopped using it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from msgspec import Struct

from thistletrail.leasing.errors import RequestRejectedError
from thistletrail.leasing.fair_division import bounded_step, divide
from thistletrail.leasing.messages import BudgetRequest, Grant, RenewRequest, RenewResponse, holder_name

LEASE_MS = 3000
# Fraction of a lease by which a holder stops before its end: ten times what is needed for clocks that each
# drift by up to 1 in 1,000 either way.
MARGIN_FRACTION = 1 / 50
MIN_LEASE_MS = 500  # shortest configurable lease: leaves time for a renewal and one retry
MAX_LEASE_MS = 10_000  # longest configurable lease; a new history grants nothing for this long
MAX_HOLDERS = 1000  # five times the largest fleet: dead incarnations are counted until their leases end
MAX_BUDGETS = 20_000
MAX_BUDGETS_IN_REQUEST = 2000
MAX_DEMAND = 1 << 40  # bounds what a gateway gains by reporting a wrong demand
# Percentage of a leasable rate that stays in a common pool, from which holders get units when they need them.
# Dividing the whole rate by demand leaves each holder with too few units for random peaks (docs/leasing.md
# has the measurements).
POOL_PERCENT = 70
FLOOR_DIVISOR = 10  # a tenth of each total is reserved for gateways that cannot reach the lease service
THOUSANDTHS = 1000


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The configured limits of a budget: either a rate with a burst, or a count.

    Attributes:
        total: The rate in thousandths of a unit per second, or the count that may be in use at once.
        burst: Capacity of the rate's token bucket in units; 0 for a count.
    """

    total: int
    burst: int = 0

    @classmethod
    def from_rate(cls, rate: float, burst: float) -> BudgetLimits:
        """Return limits of `rate` units a second with `burst`; if `rate` is 0, of a count of `burst`."""
        if not rate:
            return cls(int(burst))
        return cls(round(rate * THOUSANDTHS), int(burst))


class IssuedGrant(Struct, frozen=True):
    """A grant that its holder may still use, until `until_ms` at most.

    `units` are the units that the holder received from the pool together with the grant.
    """

    fence: int
    share: int
    until_ms: int
    units: int = 0


class Holding:
    """One holder's grants of one budget, oldest first, and its demand.

    `reserved` (the largest share that the holder may use) and `first_end_ms` (when the first grant ends) are
    derived from the grants. They are cached because every renewal of any holder reads them.
    """

    __slots__ = ("_issued", "acknowledged_fence", "demand", "first_end_ms", "reserved")

    def __init__(
        self, issued: Iterable[IssuedGrant] = (), demand: int = 0, acknowledged_fence: int = 0
    ) -> None:
        self.demand = demand
        self.acknowledged_fence = acknowledged_fence  # fence of the latest grant that the holder adopted
        self.issued = tuple(issued)

    @property
    def issued(self) -> tuple[IssuedGrant, ...]:
        """All grants that the holder may still use."""
        return self._issued

    @issued.setter
    def issued(self, grants: tuple[IssuedGrant, ...]) -> None:
        self._issued = grants
        self.reserved = max((grant.share for grant in grants), default=0)
        self.first_end_ms = min((grant.until_ms for grant in grants), default=0)

    def drop_expired(self, now_ms: int) -> None:
        """Remove the grants that have ended."""
        self.issued = tuple(grant for grant in self.issued if grant.until_ms > now_ms)


@dataclass(slots=True)
class Budget:
    """One budget: its limits, its holders by name, and the pool of units that no holder has.

    `rotation` counts divisions, so that rounding remainders go to each holder in turn.
    """

    limits: BudgetLimits
    holdings: dict[str, Holding] = field(default_factory=dict)
    pool_thousandths: int = 0  # thousandths of a unit; refilled at the unreserved rate
    pool_at_ms: int = 0  # time of the last refill
    rotation: int = 0

    @property
    def reserved(self) -> int:
        """What all holders together may use."""
        return sum(holding.reserved for holding in self.holdings.values())


class HolderGrant(Struct, frozen=True):
    """A grant with the budget and the holder that it belongs to."""

    budget: str
    holder: str
    grant: IssuedGrant


class RequestStamp(Struct, frozen=True):
    """The serial of a holder's latest request, and when it arrived."""

    serial: int
    received_ms: int


NO_REQUEST = RequestStamp(-1, 0)


def floor_share(total: int, gateways: int) -> int:
    """Return the share that each gateway may use without a lease; all floors fit into the reserved part."""
    return total // FLOOR_DIVISOR // max(1, gateways)


def leasable_total(total: int) -> int:
    """Return the part of a total that leases may grant: all of it but the part reserved for floors."""
    return total - total // FLOOR_DIVISOR


def divisible_total(limits: BudgetLimits, holders: int = 1) -> int:
    """Return the part of the leasable total that is divided into shares.

    For a count that is all of it; for a rate, all but the pool's part. It is 0 for a rate whose division
    would leave a share with less than one unit of burst, as such a share could never be spent.
    """
    total = leasable_total(limits.total)
    if not limits.burst:
        return total
    shares = total - total * POOL_PERCENT // 100
    return shares if limits.burst * shares >= limits.total * holders else 0


class BudgetState:
    """All budgets and their holders; changed only through `renew`, `expire` and `set_limits`."""

    def __init__(self, fence: int, now_ms: int, quiet_ms: int = LEASE_MS, lease_ms: int = LEASE_MS) -> None:
        """Begin a history.

        Args:
            fence: Fencing tokens of this history are greater than this.
            now_ms: The current time.
            quiet_ms: How long nothing is granted, so that all grants of an earlier history have ended.
            lease_ms: The length of a lease.
        """
        self.fence = fence
        self.lease_ms = lease_ms
        self.quiet_until_ms = now_ms + quiet_ms
        self.budgets: dict[str, Budget] = {}
        self.last_requests: dict[str, RequestStamp] = {}  # by holder

    def set_limits(self, name: str, limits: BudgetLimits, now_ms: int) -> None:
        """Create a budget, or change its limits; existing grants stay until they expire or are replaced.

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
        """Return when a grant that is issued now expires here, which is after its holder stops using it."""
        return now_ms + self.lease_ms

    def expire(self, now_ms: int) -> None:
        """Remove expired grants of all budgets, and idle holders; a renewal does so for its own budgets."""
        for budget in self.budgets.values():
            self.expire_grants(budget, now_ms)
        live = {name for budget in self.budgets.values() for name in budget.holdings}
        for name, stamp in list(self.last_requests.items()):
            if name not in live and now_ms - stamp.received_ms > self.lease_ms:
                del self.last_requests[name]

    def expire_grants(self, budget: Budget, now_ms: int) -> None:
        """Remove the expired grants of one budget; units left in their holders' buckets count as spent."""
        self.refill_pool(budget, now_ms)
        expired = [name for name, holding in budget.holdings.items() if holding.first_end_ms <= now_ms]
        for name in expired:
            holding = budget.holdings[name]
            holding.drop_expired(now_ms)
            if not holding.issued:
                del budget.holdings[name]

    def refill_pool(self, budget: Budget, now_ms: int) -> None:
        """Add units to the pool at the unreserved rate, up to the unreserved fraction of the burst.

        No units are added before `quiet_until_ms`: until then they belong to holders of an earlier history.
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
        # Thousandths of a unit per second times milliseconds, divided by 1000 ms per second.
        level = budget.pool_thousandths + unreserved * elapsed_ms // 1000
        budget.pool_thousandths = min(capacity, level)

    # --- renewals ---

    def renew(self, request: RenewRequest, now_ms: int) -> RenewResponse:
        """Renew a holder's grants according to its demand.

        A repeated or overtaken request changes nothing and gets no grants: the holder has sent a later
        request, or gets its grants with the next one.

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
        grants = [self.renew_budget(holder, budget_request, now_ms) for budget_request in request.budgets]
        return self.response(request, tuple(grant for grant in grants if grant is not None))

    def response(self, request: RenewRequest, grants: tuple[Grant, ...]) -> RenewResponse:
        """Return the response to a request, with these grants."""
        return RenewResponse(
            gateway=request.gateway,
            incarnation=request.incarnation,
            serial=request.serial,
            lease_ms=self.lease_ms,
            grants=grants,
        )

    def renew_budget(self, holder: str, request: BudgetRequest, now_ms: int) -> Grant | None:
        """Grant a holder as much of its share of one budget as is available now.

        Returns:
            The grant; None if there is no such budget, or nothing is granted yet in a new history.
        """
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
        share = self.compute_share(budget, holder, holding)
        if not budget.limits.burst:  # a count in use cannot be revoked; it shrinks as its uses end
            share = max(share, min(request.in_use, holding.reserved))
        return self.issue(budget, holding, request, share, now_ms)

    def compute_share(self, budget: Budget, holder: str, holding: Holding) -> int:
        """Return a holder's next share: a step towards its part by demand, out of what others may not use."""
        current = holding.issued[-1].share if holding.issued else 0
        total = divisible_total(budget.limits, len(budget.holdings))
        demands = {name: other.demand for name, other in budget.holdings.items()}
        target = divide(total, demands, budget.rotation)[holder]
        budget.rotation += 1
        reserved_by_others = budget.reserved - holding.reserved
        return min(self.next_share(current, target, total), max(0, total - reserved_by_others))

    def next_share(self, current: int, target: int, total: int) -> int:
        """Return the next share on the way from the current to the target share."""
        return bounded_step(current, target, total)

    def acknowledge(self, budget: Budget, holding: Holding, request: BudgetRequest) -> None:
        """Remove the grants that the holder has replaced, and add the units that it returned to the pool.

        Returned units are counted once for each fence.
        """
        adopted = next((grant for grant in holding.issued if grant.fence == request.fence), None)
        if adopted is None or request.fence <= holding.acknowledged_fence:
            return
        holding.acknowledged_fence = request.fence
        holding.issued = tuple(grant for grant in holding.issued if grant.fence >= request.fence)
        limits = budget.limits
        if limits.burst:
            # A holder can return at most its share of the burst and the units of one grant.
            limit = limits.burst * adopted.share // max(1, limits.total) + limits.burst
            budget.pool_thousandths += THOUSANDTHS * max(0, min(request.returned_units, limit))

    def issue(
        self, budget: Budget, holding: Holding, request: BudgetRequest, share: int, now_ms: int
    ) -> Grant:
        """Issue a grant under the next fencing token, and return it."""
        self.fence += 1
        units = self.units_to_grant(budget, share - holding.reserved, request.needed_units)
        budget.pool_thousandths -= THOUSANDTHS * units
        grant = IssuedGrant(self.fence, share, self.lease_end_ms(now_ms), units)
        holding.issued = (*holding.issued, grant)
        return Grant(budget=request.budget, share=share, fence=self.fence, units=units)

    def units_to_grant(self, budget: Budget, growth: int, needed_units: int) -> int:
        """Return how many units of the pool are sent with a grant.

        A share that grows comes with its fraction of the burst. Needed units are granted up to half of the
        pool, and one at least, as other holders may need some too.
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
        """Yield every grant that a holder may still use."""
        for name, budget in self.budgets.items():
            for holder, holding in budget.holdings.items():
                for grant in holding.issued:
                    yield HolderGrant(name, holder, grant)

    def restore_grant(self, budget_name: str, holder: str, grant: IssuedGrant) -> None:
        """Add a grant that an earlier process issued and that its holder may still use."""
        budget = self.budgets.get(budget_name)
        if budget is not None:
            holding = budget.holdings.setdefault(holder, Holding())
            holding.issued = (*holding.issued, grant)
        self.fence = max(self.fence, grant.fence)
