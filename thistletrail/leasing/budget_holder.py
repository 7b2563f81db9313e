"""A holder's side of fleet-wide budgets: the leases of one incarnation of a gateway.

It does no I/O and reads no clock: callers pass the time in milliseconds, by a clock that also runs while the
machine is suspended, and read it again before every spend. A lease is counted from before its request was
sent and ends a margin early. Without the lease service a holder may use its grant until the lease ends, and
at all times the floor that is reserved for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from thistletrail.leasing.budget_state import MARGIN_FRACTION, THOUSANDTHS, BudgetLimits, floor_share
from thistletrail.leasing.messages import BudgetRequest, Grant, RenewRequest, RenewResponse

BUDGET_IDLE_TIMEOUT_MS = 10_000  # a budget without demand for this long is no longer requested
MAX_UNANSWERED_REQUESTS = 8  # responses to older requests are ignored, as later ones supersede them


class Demand(Struct, frozen=True):
    """A holder's demand for a budget.

    Attributes:
        amount: Recent demand: a count, or thousandths of a unit per second.
        needed_units: Units that queued requests need now beyond what the holder has.
        in_use: How much of a count is in use.
    """

    amount: int
    needed_units: int = 0
    in_use: int = 0


@dataclass(slots=True)
class BudgetLease:
    """A holder's lease of one budget, and the token bucket of a rate.

    Attributes:
        limits: The limits of the budget.
        demand: Recent demand: a count, or thousandths of a unit per second.
        share: The granted share.
        fence: Fencing token of the adopted grant; 0 before the first one.
        until_ms: When the holder stops using the share.
        level_thousandths: Level of the token bucket, in thousandths of a unit.
        level_at_ms: When the bucket was last refilled.
        granted_units: Units that came with the latest grant.
        returned_units: Units that exceeded the bucket's capacity when the grant of this fence was adopted.
        last_demand_ms: When demand was last reported.
        needed_units: Units that queued requests need now.
        in_use: How much of a count is in use.
    """

    limits: BudgetLimits
    demand: int = 0
    share: int = 0
    fence: int = 0
    until_ms: int = -1
    level_thousandths: int = 0
    level_at_ms: int = 0
    granted_units: int = 0
    returned_units: int = 0
    last_demand_ms: int = 0
    needed_units: int = 0
    in_use: int = 0

    def usable_share(self, now_ms: int, gateways: int) -> int:
        """Return the granted share, while its lease lasts, plus the floor of one of `gateways` gateways."""
        leased = self.share if now_ms < self.until_ms else 0
        return leased + floor_share(self.limits.total, gateways)

    def request(self, name: str) -> BudgetRequest:
        """Return this budget's part of a renewal request."""
        return BudgetRequest(
            budget=name,
            demand=self.demand,
            fence=self.fence,
            returned_units=self.returned_units,
            needed_units=self.needed_units,
            in_use=self.in_use,
        )


class BudgetHolder:
    """All budget leases of one incarnation of a gateway.

    `max_gateways` is how many gateways may exist; it divides the part of each total reserved for floors.
    """

    def __init__(self, gateway: int, incarnation: int, max_gateways: int) -> None:
        self.gateway = gateway
        self.incarnation = incarnation
        self.max_gateways = max_gateways
        self.serial = 0
        self.sent_ms: dict[int, int] = {}  # serial -> when the unanswered request was created
        self.leases: dict[str, BudgetLease] = {}

    def set_demand(self, budget: str, limits: BudgetLimits, demand: Demand, now_ms: int) -> None:
        """Set the demand for a budget, which is then requested until it has been idle for the time-out."""
        lease = self.leases.get(budget)
        if lease is None:
            lease = BudgetLease(limits, level_at_ms=now_ms)
            self.leases[budget] = lease
        lease.demand = demand.amount
        lease.last_demand_ms = now_ms
        lease.needed_units = demand.needed_units
        lease.in_use = demand.in_use

    # --- renewals ---

    def next_request(self, now_ms: int) -> RenewRequest:
        """Return the next request, to be sent at once: the lease counts from `now_ms`."""
        self.serial += 1
        self.drop_unused(now_ms)
        self.sent_ms[self.serial] = now_ms
        for serial in [serial for serial in self.sent_ms if serial <= self.serial - MAX_UNANSWERED_REQUESTS]:
            del self.sent_ms[serial]
        return RenewRequest(
            gateway=self.gateway,
            incarnation=self.incarnation,
            serial=self.serial,
            budgets=tuple(lease.request(name) for name, lease in self.leases.items()),
        )

    def drop_unused(self, now_ms: int) -> None:
        """Remove budgets without recent demand; their grants expire at the lease service."""
        for name, lease in list(self.leases.items()):
            if now_ms - lease.last_demand_ms > BUDGET_IDLE_TIMEOUT_MS:
                del self.leases[name]

    def on_response(self, response: RenewResponse, now_ms: int) -> bool:
        """Adopt the grants of a response.

        Returns:
            Whether the response answers an open request of this holder, and its lease has not yet ended.
        """
        sent_ms = self.sent_ms.pop(response.serial, None)
        sender = (response.gateway, response.incarnation)
        if sent_ms is None or sender != (self.gateway, self.incarnation):
            return False
        until_ms = self.lease_end_ms(sent_ms, response.lease_ms, now_ms)
        if until_ms <= now_ms:
            return False
        for grant in response.grants:
            lease = self.leases.get(grant.budget)
            if lease is None or not self.is_newer(lease, grant.fence):
                continue
            if self.accepts(lease, grant.share, now_ms):
                self.adopt(lease, grant, until_ms, now_ms)
        return True

    def lease_end_ms(self, sent_ms: int, lease_ms: int, now_ms: int) -> int:
        """Return when to stop using a grant: a margin before a lease that began when the request was sent."""
        return sent_ms + lease_ms - max(1, int(lease_ms * MARGIN_FRACTION))

    def is_newer(self, lease: BudgetLease, fence: int) -> bool:
        """Return whether a grant is later than the adopted one, by its fencing token."""
        return fence > lease.fence

    def accepts(self, lease: BudgetLease, share: int, now_ms: int) -> bool:
        """Return whether a share may be adopted: a share of a count must not be below what is in use.

        Uses that began after the request was sent are reported by the next request.
        """
        if lease.limits.burst or now_ms >= lease.until_ms:
            return True
        return share >= min(lease.in_use, lease.share)

    def adopt(self, lease: BudgetLease, grant: Grant, until_ms: int, now_ms: int) -> None:
        """Adopt a grant; units beyond the bucket's capacity are returned with the next request."""
        self.refill(lease, now_ms)
        lease.share = grant.share
        lease.fence = grant.fence
        lease.until_ms = until_ms
        lease.granted_units = grant.units
        lease.level_thousandths += THOUSANDTHS * grant.units
        capacity = self.capacity_thousandths(lease, now_ms)
        lease.returned_units = max(0, lease.level_thousandths - capacity) // THOUSANDTHS
        lease.level_thousandths = min(capacity, lease.level_thousandths)

    # --- usage ---

    def usable_share(self, budget: str, now_ms: int) -> int:
        """Return the share that may be used now: the grant while its lease lasts, plus the floor."""
        lease = self.leases.get(budget)
        return lease.usable_share(now_ms, self.max_gateways) if lease is not None else 0

    def capacity_thousandths(self, lease: BudgetLease, now_ms: int) -> int:
        """Return the token bucket's capacity in thousandths of a unit: the share's fraction of the burst."""
        usable = lease.usable_share(now_ms, self.max_gateways)
        return THOUSANDTHS * lease.limits.burst * usable // max(1, lease.limits.total)

    def refill(self, lease: BudgetLease, now_ms: int) -> None:
        """Refill the token bucket at the floor's rate, and at the grant's rate up to the lease's end."""
        floor = floor_share(lease.limits.total, self.max_gateways)
        if now_ms > lease.level_at_ms:
            elapsed_ms = now_ms - lease.level_at_ms
            leased_ms = max(0, min(now_ms, lease.until_ms) - lease.level_at_ms)
            # Thousandths of a unit per second times milliseconds, divided by 1000 ms per second.
            lease.level_thousandths += (lease.share * leased_ms + floor * elapsed_ms) // 1000
            lease.level_at_ms = now_ms
        if now_ms >= lease.until_ms:
            lease.share = 0
        lease.level_thousandths = min(lease.level_thousandths, self.capacity_thousandths(lease, now_ms))

    def spend(self, budget: str, units: int, now_ms: int) -> bool:
        """Take units from the token bucket; return False, and take none, if it has too few.

        Callers read the clock for each call.
        """
        lease = self.leases.get(budget)
        if lease is None:
            return False
        self.refill(lease, now_ms)
        if lease.level_thousandths < THOUSANDTHS * units:
            return False
        lease.level_thousandths -= THOUSANDTHS * units
        return True
