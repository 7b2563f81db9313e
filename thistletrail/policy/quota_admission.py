"""Whether a request is inside its customer's quota: by the local share, the quota owner, or a lease."""

import random

from thistletrail.policy.admission_queue import AdmissionQueue
from thistletrail.policy.dispatcher import Dispatcher
from thistletrail.policy.event_context import TICK_US, EventContext
from thistletrail.policy.events import BudgetKind
from thistletrail.policy.observer import DecisionObserver, QuotaBasis, RejectReason
from thistletrail.policy.overload_control import OverloadController
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.pending_requests import PendingRequests
from thistletrail.policy.quota import DEMAND_SPAN_US, OWNER_ANSWER_FRESH_US, CustomerQuota
from thistletrail.policy.quota_exchange import QuotaExchange
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US

MAX_OWNER_WAIT_US = 160_000  # for the quota owner's answer
OWNER_WAIT_DIVISOR = 3  # such a wait is a third of the latency objective at most
MAX_QUOTA_REQUESTS = 2  # to the quota owner for one request, as messages may be lost
REQUEST_INTAKE_SHARE = 0.25  # of a gateway's intake that requests for one customer's quota may take
CEILING_GRANT_FRESH_US = 500_000  # for which the quota owner's grant holds


class QuotaAdmission:
    """Decides on each request once, and owns those that wait for an answer or a lease to decide by."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        draws: random.Random,
        observer: DecisionObserver,
        pending: PendingRequests,
        queue: AdmissionQueue,
        dispatcher: Dispatcher,
        overload: OverloadController,
        exchange: QuotaExchange,
        traffic: TrafficEstimates,
    ) -> None:
        self.context = context
        self.draws = draws
        self.observer = observer
        self.pending = pending
        self.queue = queue
        self.dispatcher = dispatcher
        self.overload = overload
        self.exchange = exchange
        self.traffic = traffic
        self.gateway_index = settings.gateway_index
        # Where demand is more than this, the quota owner's last answer must do for part of it.
        self.max_requested_demand = (
            REQUEST_INTAKE_SHARE * settings.peer_messages_per_s * DEMAND_SPAN_US / MICROSECONDS_PER_SECOND
        )
        self.waiting: list[PendingRequest] = []

    def admit(self, request: PendingRequest) -> None:
        """Decide on a request, or let it wait for what decides on it."""
        customer = request.customer
        units = request.arrival.units
        if request.is_late_retry and customer.admission_chance(units) < 1:
            # What is scarce goes to those that come in time.
            self.pending.reject(request, RejectReason.LATE_RETRY)
            return
        for budget in customer.leased.values():
            budget.record_request(units, self.context.now_us)
        customer.add_local_demand(units)
        is_answer_fresh = self.context.now_us - customer.owner_answered_at_us < OWNER_ANSWER_FRESH_US
        is_last_answer_enough = (
            is_answer_fresh and self.draws.random() * customer.demand > self.max_requested_demand
        )
        is_owner = customer.owner == self.gateway_index
        if BudgetKind.QUOTA in customer.leased:
            self.admit_by_lease(request)
        elif customer.has_local_share(units) and (is_owner or customer.has_ceiling_room(units)):
            self.decide(request, 1.0, QuotaBasis.LOCAL_SHARE)
            self.exchange.report(customer)
        elif is_owner:
            self.decide(request, customer.admission_chance(units), QuotaBasis.OWN_ACCOUNT)
        elif is_last_answer_enough or self.exchange.is_silent(customer.owner) or not customer.plan.rate:
            basis = QuotaBasis.LAST_ANSWER if is_answer_fresh else QuotaBasis.OWNER_SILENT
            self.decide(request, customer.admission_chance(units), basis)
        else:
            self.request_owner_answer(request)

    def admit_by_lease(self, request: PendingRequest) -> None:
        """Decide by the units that a lease has brought, or wait for more."""
        self.exchange.report(request.customer)
        if request.customer.admission_chance(request.arrival.units):
            self.decide(request, 1.0, QuotaBasis.LEASE)
        else:
            self.wait(request)

    def request_owner_answer(self, request: PendingRequest) -> None:
        """Request the quota owner's answer, and wait for it."""
        request.quota_requests_sent += 1
        self.wait(request)
        self.exchange.request_units(request.customer, request.arrival.units)

    def wait(self, request: PendingRequest) -> None:
        """Wait for the quota owner's answer or for a lease, for a part of the request's time."""
        objective_us = request.request_class.latency_objective_us
        wait_us = min(MAX_OWNER_WAIT_US, objective_us // OWNER_WAIT_DIVISOR)
        request.quota_wait_until_us = min(self.context.now_us + wait_us, latest_decision_us(request))
        self.waiting.append(request)

    def decide(self, request: PendingRequest, chance: float, basis: QuotaBasis) -> None:
        """Admit the request by that chance; one beyond the quota only where it earns more than it costs."""
        customer = request.customer
        units = request.arrival.units
        request.is_in_quota = self.draws.random() < chance
        request.is_quota_decided = True
        self.observer.on_quota_decision(request, basis, chance)
        if request.is_in_quota:
            customer.spend_locally(units)
            if not customer.has_ceiling_room(units) and customer.grant_ceiling(units, 1.0):
                request.ceiling_granted_until_us = self.context.now_us + CEILING_GRANT_FRESH_US
        elif not self.admits_over_quota(customer):
            self.pending.reject(request, RejectReason.QUOTA)
            return
        self.enqueue(request)

    def admits_over_quota(self, customer: CustomerQuota) -> bool:
        """Whether a request beyond the quota is served: it earns more than it costs, and there is room."""
        plan = customer.plan
        return plan.over_quota_value > plan.over_quota_cost and self.overload.admission_limit is None

    def enqueue(self, request: PendingRequest) -> None:
        """Queue an admitted request, and send what may leave."""
        self.traffic.record_admission()
        self.queue.add(request)
        self.dispatcher.dispatch_queued()

    def on_lease_granted(self, customer: CustomerQuota) -> None:
        """Units have come by a lease: whoever waits for them goes on, as far as they go."""
        if BudgetKind.QUOTA not in customer.leased:
            return
        for request in [request for request in self.waiting if request.customer is customer]:
            if customer.refill(self.context.now_us).admission_chance(request.arrival.units):
                self.waiting.remove(request)
                if not request.is_finished:
                    self.decide(request, 1.0, QuotaBasis.LEASE)

    def on_owner_answer(self, customer: CustomerQuota, granted: float) -> None:
        """The quota owner has answered: decide on the first that waits for it, and on those out of time."""
        first = next((request for request in self.waiting if request.customer is customer), None)
        if first is None:
            self.settle_waiting([], customer)
            return
        is_granted = granted >= first.arrival.units
        first.ceiling_granted_until_us = (
            self.context.now_us + CEILING_GRANT_FRESH_US if is_granted else -NEVER_US
        )
        self.settle_waiting([first], customer)

    def settle_overdue(self) -> None:
        """Decide on those that have waited for long enough, by what is known here."""
        self.settle_waiting([], None)

    def settle_waiting(self, ready: list[PendingRequest], answered: CustomerQuota | None) -> None:
        """Decide on those that are ready and those whose wait is over; or request an answer once more."""
        for request in self.waiting:
            if request.quota_wait_until_us <= self.context.now_us and request not in ready:
                ready.append(request)
        self.waiting = [request for request in self.waiting if request not in ready]
        for request in ready:
            if request.is_finished:
                continue
            if answered is None and self.may_request_again(request):
                self.request_owner_answer(request)
                continue
            basis = QuotaBasis.OWNER_ANSWER if request.customer is answered else QuotaBasis.NO_ANSWER
            self.decide_after_wait(request, basis)

    def may_request_again(self, request: PendingRequest) -> bool:
        """Whether there is time to request the quota owner's answer once more, as messages may be lost."""
        if not 0 < request.quota_requests_sent < MAX_QUOTA_REQUESTS:
            return False
        return self.context.now_us + MAX_OWNER_WAIT_US < latest_decision_us(request)

    def decide_after_wait(self, request: PendingRequest, basis: QuotaBasis) -> None:
        """Decide on a request that has waited, by the figures of now."""
        customer = request.customer
        units = request.arrival.units
        if customer.leased:  # a lease may be over by now
            customer.refill(self.context.now_us)
        chance = customer.admission_chance(units)
        # The quota owner has counted so much already, with each request for its answer.
        customer.unreported_spending -= units * chance * request.quota_requests_sent
        self.decide(request, chance, basis)


def latest_decision_us(request: PendingRequest) -> int:
    """When a request's quota must be decided for it to be served or rejected in time."""
    return min(request.deadline_at_us - 4 * TICK_US, request.reject_by_us - 2 * TICK_US)
