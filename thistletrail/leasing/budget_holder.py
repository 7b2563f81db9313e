"""A holder's side of fleet-wide budgets: the leases of one incarnation of a gateway.

Pure: time is passed in, in milliseconds of a clock that runs in suspension. A lease counts from before its
request was sent and stops a margin early; the clock is read before every spend. Without the lease service a
holder has its grant until the lease ends, and at all times the floor that is reserved for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from thistletrail.leasing.budget_state import MARGIN_FRACTION, THOUSANDTHS, BudgetLimits, floor_share
from thistletrail.leasing.messages import BudgetRequest, Grant, RenewRequest, RenewResponse

UNUSED_MS = 10_000  # without demand, after which a budget is not requested any more
MAX_UNANSWERED = 8  # requests: the response to an older one is of no use any more


class Demand(Struct, frozen=True):
    """What a holder needs of a budget.

    Attributes:
        amount: Recent demand: a count, or thousandths of units a second.
        needed_units: Units that requests wait for now, beyond what the holder has.
        in_use: How much of a count is in use.
    """

    amount: int
    needed_units: int = 0
    in_use: int = 0


@dataclass(slots=True)
class BudgetLease:
    """What a holder has of one budget."""

    limits: BudgetLimits
    demand: int = 0
    share: int = 0
    fence: int = 0
    until_ms: int = -1
    level_thousandths: int = 0  # of units in the store
    level_at_ms: int = 0  # when the store was refilled last
    granted_units: int = 0  # that came with the latest grant
    returned_units: int = 0  # that did not fit in any more with the grant of this fence
    last_demand_ms: int = 0
    needed_units: int = 0  # that requests wait for now
    in_use: int = 0  # of a count

    def usable_share(self, now_ms: int, gateways: int) -> int:
        """Return the grant while its lease lasts, and the floor of one of so many gateways."""
        leased = self.share if now_ms < self.until_ms else 0
        return leased + floor_share(self.limits.total, gateways)

    def request(self, name: str) -> BudgetRequest:
        """Return what to send about this budget."""
        return BudgetRequest(
            budget=name,
            demand=self.demand,
            fence=self.fence,
            returned_units=self.returned_units,
            needed_units=self.needed_units,
            in_use=self.in_use,
        )


class BudgetHolder:
    """All leases of budgets of one incarnation of a gateway.

    `max_gateways` is how many may exist: a holder's floor is a fraction of what is reserved for all.
    """

    def __init__(self, gateway: int, incarnation: int, max_gateways: int) -> None:
        self.gateway = gateway
        self.incarnation = incarnation
        self.max_gateways = max_gateways
        self.serial = 0
        self.sent_ms: dict[int, int] = {}  # by serial: when each unanswered request was made
        self.leases: dict[str, BudgetLease] = {}

    def set_demand(self, budget: str, limits: BudgetLimits, demand: Demand, now_ms: int) -> None:
        """Note demand for a budget: it is requested until there has been none for a while."""
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
        """Return the next request, made before it is sent: the lease counts from here."""
        self.serial += 1
        self.drop_unused(now_ms)
        self.sent_ms[self.serial] = now_ms
        for serial in [serial for serial in self.sent_ms if serial <= self.serial - MAX_UNANSWERED]:
            del self.sent_ms[serial]
        return RenewRequest(
            gateway=self.gateway,
            incarnation=self.incarnation,
            serial=self.serial,
            budgets=tuple(lease.request(name) for name, lease in self.leases.items()),
        )

    def drop_unused(self, now_ms: int) -> None:
        """Forget budgets without demand: their grants end with their leases."""
        for name, lease in list(self.leases.items()):
            if now_ms - lease.last_demand_ms > UNUSED_MS:
                del self.leases[name]

    def on_response(self, response: RenewResponse, now_ms: int) -> bool:
        """Adopt what a response grants; return whether it was to a request of this holder, and in time."""
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
        """Return when to stop: a margin before the lease ends, counted from before the request."""
        return sent_ms + lease_ms - max(1, int(lease_ms * MARGIN_FRACTION))

    def is_newer(self, lease: BudgetLease, fence: int) -> bool:
        """Return whether a grant is later than the adopted one: fencing numbers only rise."""
        return fence > lease.fence

    def accepts(self, lease: BudgetLease, share: int, now_ms: int) -> bool:
        """Return whether a share may be adopted: of a count, one that is no less than what is in use.

        What came into use since the request is reported by the next one.
        """
        if lease.limits.burst or now_ms >= lease.until_ms:
            return True
        return share >= min(lease.in_use, lease.share)

    def adopt(self, lease: BudgetLease, grant: Grant, until_ms: int, now_ms: int) -> None:
        """Replace the present grant; units that no longer fit are returned with the next request."""
        self.refill(lease, now_ms)
        lease.share = grant.share
        lease.fence = grant.fence
        lease.until_ms = until_ms
        lease.granted_units = grant.units
        lease.level_thousandths += THOUSANDTHS * grant.units
        capacity = self.capacity_thousandths(lease, now_ms)
        lease.returned_units = max(0, lease.level_thousandths - capacity) // THOUSANDTHS
        lease.level_thousandths = min(capacity, lease.level_thousandths)

    # --- what may be used ---

    def usable_share(self, budget: str, now_ms: int) -> int:
        """Return the share that may be used now: the grant while its lease lasts, and the floor."""
        lease = self.leases.get(budget)
        return lease.usable_share(now_ms, self.max_gateways) if lease is not None else 0

    def capacity_thousandths(self, lease: BudgetLease, now_ms: int) -> int:
        """Return how many thousandths of units the store holds: the share's fraction of the burst."""
        usable = lease.usable_share(now_ms, self.max_gateways)
        return THOUSANDTHS * lease.limits.burst * usable // max(1, lease.limits.total)

    def refill(self, lease: BudgetLease, now_ms: int) -> None:
        """Add units at the rate of the grant, up to the lease's end, and of the floor."""
        floor = floor_share(lease.limits.total, self.max_gateways)
        if now_ms > lease.level_at_ms:
            elapsed_ms = now_ms - lease.level_at_ms
            leased_ms = max(0, min(now_ms, lease.until_ms) - lease.level_at_ms)
            # Shares are in thousandths of units a second, times in thousandths of a second.
            lease.level_thousandths += (lease.share * leased_ms + floor * elapsed_ms) // 1000
            lease.level_at_ms = now_ms
        if now_ms >= lease.until_ms:
            lease.share = 0
        lease.level_thousandths = min(lease.level_thousandths, self.capacity_thousandths(lease, now_ms))

    def spend(self, budget: str, units: int, now_ms: int) -> bool:
        """Take units from the store; return whether it held as many. `now_ms` is read for each call."""
        lease = self.leases.get(budget)
        if lease is None:
            return False
        self.refill(lease, now_ms)
        if lease.level_thousandths < THOUSANDTHS * units:
            return False
        lease.level_thousandths -= THOUSANDTHS * units
        return True
