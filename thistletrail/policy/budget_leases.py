"""This gateway's demand for budgets that the lease service divides, and the grants that it receives."""

from collections.abc import Iterator

from thistletrail.policy.admission_queue import AdmissionQueue
from thistletrail.policy.customer_quotas import CustomerQuotas
from thistletrail.policy.dispatcher import Dispatcher
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import BudgetDemand, BudgetGranted, BudgetKey, BudgetKind
from thistletrail.policy.leased_budgets import LeasedBudget
from thistletrail.policy.quota import CustomerKey
from thistletrail.policy.quota_admission import QuotaAdmission
from thistletrail.policy.retry_policy import RetryBudget
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

# A budget is reported as needed for this long after its last use: the default duration of a lease.
DEMAND_REPORTED_US = 3 * MICROSECONDS_PER_SECOND


class BudgetLeases:
    """Adds up the units that requests need of leased budgets, and applies grants."""

    def __init__(
        self,
        context: EventContext,
        customers: CustomerQuotas,
        queue: AdmissionQueue,
        admission: QuotaAdmission,
        dispatcher: Dispatcher,
        retry_budget: RetryBudget,
    ) -> None:
        self.context = context
        self.customers = customers
        self.queue = queue
        self.admission = admission
        self.dispatcher = dispatcher
        self.retry_budget = retry_budget

    def demands(self, now_us: int) -> list[BudgetDemand]:
        """The budgets that this gateway needs a share of, each with its recent demand."""
        waiting = self.waiting_units()
        demands: list[BudgetDemand] = []
        for key, budget, in_flight in self.budgets():
            needed = waiting.get(key, 0.0)
            if key and key.kind == BudgetKind.IN_FLIGHT:
                if needed or in_flight:
                    demand = BudgetDemand(key, needed + in_flight, needed=needed, in_use=in_flight)
                    demands.append(demand)
            elif now_us - budget.requested_at_us < DEMAND_REPORTED_US:
                missing = max(0.0, needed - budget.level)
                demands.append(BudgetDemand(key, budget.requested_per_s, budget.returned, missing))
        return demands

    def waiting_units(self) -> dict[BudgetKey | None, float]:
        """The units, or the number of requests in flight, that requests wait for, by budget.

        The key None stands for the retry budget.
        """
        waiting: dict[BudgetKey | None, float] = {}
        for request in self.queue:
            if not request.attempted_servers and not request.customer.has_ceiling_room(request.arrival.units):
                key = BudgetKey(BudgetKind.CEILING, *request.customer.key)
                waiting[key] = waiting.get(key, 0.0) + request.arrival.units
        for request in self.admission.waiting:
            if request.customer.has_in_flight_room():
                key = BudgetKey(BudgetKind.QUOTA, *request.customer.key)
                waiting[key] = waiting.get(key, 0.0) + request.arrival.units
            else:
                key = BudgetKey(BudgetKind.IN_FLIGHT, *request.customer.key)
                waiting[key] = waiting.get(key, 0.0) + 1.0
        if self.retry_budget.leased:
            waiting[None] = float(self.retry_budget.refused_in_period)
        return waiting

    def budgets(self) -> Iterator[tuple[BudgetKey | None, LeasedBudget, int]]:
        """The leased budgets, each with the customer's requests in flight.

        The retry budget comes first, with the key None and no requests in flight.
        """
        if self.retry_budget.leased:
            yield None, self.retry_budget.leased, 0
        for key, customer in self.customers.by_key.items():
            for kind, budget in customer.leased.items():
                yield BudgetKey(kind, *key), budget, customer.in_flight

    def on_grant(self, grant: BudgetGranted) -> None:
        """Apply a grant of a share of a budget; a grant of a budget that is not leased here is ignored."""
        now_us = self.context.now_us
        customer = None
        budget = self.retry_budget.leased
        if grant.key is not None:
            kind, *customer_key = grant.key
            customer = self.customers.by_key.get(CustomerKey(*customer_key))
            budget = customer.leased.get(kind) if customer else None
        if not budget:
            return
        budget.accept_grant(grant.share, grant.units, grant.expires_us, now_us)
        if customer:
            self.admission.on_lease_granted(customer)
        # Waiting requests use the granted units first, even beyond the capacity; the excess is returned.
        self.dispatcher.dispatch_queued()
        budget.return_excess(now_us)
