"""Quota admission: decides on requests by the local share, the quota owner's figures or a lease."""

import random

from thistletrail.policy.admission_queue import AdmissionQueue
from thistletrail.policy.dispatcher import Dispatcher
from thistletrail.policy.event_context import TICK_US, EventContext
from thistletrail.policy.events import BudgetKind
from thistletrail.policy.observer import DecisionObserver, QuotaBasis, RejectReason
from thistletrail.policy.overload_control import OverloadController
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.pending_requests import PendingRequests
from thistletrail.policy.quota import DEMAND_TIME_CONSTANT_US, OWNER_ANSWER_FRESH_US, CustomerQuota
from thistletrail.policy.quota_exchange import QuotaExchange
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US

# The maximum wait for the quota owner's answer. It is also at most a third of the latency objective.
MAX_OWNER_WAIT_US = 160_000
OWNER_WAIT_DIVISOR = 3

# Quota requests (messages that request the quota owner's answer) that may be sent for one client's request:
# the second one makes up for a lost message.
MAX_QUOTA_REQUESTS = 2

# The share of the quota owner's message intake that a gateway's quota requests for one customer may take.
MAX_INTAKE_SHARE_PER_CUSTOMER = 0.25

# A quota owner's grant of ceiling units is valid for this long.
CEILING_GRANT_FRESH_US = 500_000


class QuotaAdmission:
    """Decides on each request once; holds the requests that wait for the quota owner's answer or a lease."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        generator: random.Random,
        observer: DecisionObserver,
        pending: PendingRequests,
        queue: AdmissionQueue,
        dispatcher: Dispatcher,
        overload: OverloadController,
        exchange: QuotaExchange,
        traffic: TrafficEstimates,
    ) -> None:
        self.context = context
        self.generator = generator
        self.observer = observer
        self.pending = pending
        self.queue = queue
        self.dispatcher = dispatcher
        self.overload = overload
        self.exchange = exchange
        self.traffic = traffic
        self.gateway_index = settings.gateway_index
        # Demand above this would take too much of the quota owner's message intake: for the excess, the
        # owner's last answer is used.
        max_requests_per_s = MAX_INTAKE_SHARE_PER_CUSTOMER * settings.peer_messages_per_s
        self.max_requested_demand = max_requests_per_s * DEMAND_TIME_CONSTANT_US / MICROSECONDS_PER_SECOND
        self.waiting: list[PendingRequest] = []

    def admit(self, request: PendingRequest) -> None:
        """Decide on a request, or defer the decision until the quota owner answers or a lease is granted."""
        customer = request.customer
        units = request.arrival.units
        if request.is_late_retry and customer.admission_chance(units) < 1:
            # Where the quota is scarce, requests that are not late take precedence.
            self.pending.reject(request, RejectReason.LATE_RETRY)
            return
        for budget in customer.leased.values():
            budget.record_request(units, self.context.now_us)
        customer.add_local_demand(units)
        is_answer_fresh = self.context.now_us - customer.owner_answered_at_us < OWNER_ANSWER_FRESH_US
        is_last_answer_enough = (
            is_answer_fresh and self.generator.random() * customer.demand > self.max_requested_demand
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
        """Admit the request by leased units, or defer the decision until a lease grants enough."""
        self.exchange.report(request.customer)
        if request.customer.admission_chance(request.arrival.units):
            self.decide(request, 1.0, QuotaBasis.LEASE)
        else:
            self.defer_decision(request)

    def request_owner_answer(self, request: PendingRequest) -> None:
        """Request the quota owner's answer, and defer the decision until it arrives."""
        request.quota_requests_sent += 1
        self.defer_decision(request)
        self.exchange.request_units(request.customer, request.arrival.units)

    def defer_decision(self, request: PendingRequest) -> None:
        """Hold a request for the quota owner's answer or a lease, but not past `quota_wait_until_us`.

        The decision is due after a fraction of its latency objective, and by `latest_decision_us`.
        """
        objective_us = request.request_class.latency_objective_us
        wait_us = min(MAX_OWNER_WAIT_US, objective_us // OWNER_WAIT_DIVISOR)
        request.quota_wait_until_us = min(self.context.now_us + wait_us, latest_decision_us(request))
        self.waiting.append(request)

    def decide(self, request: PendingRequest, chance: float, basis: QuotaBasis) -> None:
        """Admit the request with the probability `chance`, and otherwise reject it.

        A request that is beyond the quota is still admitted where `admits_over_quota` allows it; it takes no
        units of the quota. If this gateway is the quota owner and its share of the ceiling has no room, it
        grants itself the units of the reserved ceiling.
        """
        customer = request.customer
        units = request.arrival.units
        request.is_in_quota = self.generator.random() < chance
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
        """Whether a request beyond the quota is served: its value must exceed its cost.

        While overload control is engaged, none is.
        """
        plan = customer.plan
        return plan.over_quota_value > plan.over_quota_cost and self.overload.admission_limit is None

    def enqueue(self, request: PendingRequest) -> None:
        """Queue an admitted request, and dispatch the queued requests that may be sent."""
        self.traffic.record_admission()
        self.queue.add(request)
        self.dispatcher.dispatch_queued()

    def on_lease_granted(self, customer: CustomerQuota) -> None:
        """Admit the customer's waiting requests, in their order, as far as the granted units suffice."""
        if BudgetKind.QUOTA not in customer.leased:
            return
        for request in [request for request in self.waiting if request.customer is customer]:
            if customer.refill(self.context.now_us).admission_chance(request.arrival.units):
                self.waiting.remove(request)
                if not request.is_finished:
                    self.decide(request, 1.0, QuotaBasis.LEASE)

    def on_owner_answer(self, customer: CustomerQuota, granted: float) -> None:
        """Decide on the customer's first waiting request by the quota owner's answer, and on overdue ones.

        `granted` is the number of ceiling units that came with the answer.
        """
        first = next((request for request in self.waiting if request.customer is customer), None)
        if first is None:
            self.decide_waiting([], customer)
            return
        is_granted = granted >= first.arrival.units
        first.ceiling_granted_until_us = (
            self.context.now_us + CEILING_GRANT_FRESH_US if is_granted else -NEVER_US
        )
        self.decide_waiting([first], customer)

    def decide_overdue(self) -> None:
        """Decide on the requests whose wait is over, by what is known at this gateway."""
        self.decide_waiting([], None)

    def decide_waiting(self, ready: list[PendingRequest], answered: CustomerQuota | None) -> None:
        """Decide on the requests in `ready` and on those whose wait is over.

        `answered` is the customer whose quota owner has just answered. Where it is None, the answer for a
        request that has enough time is requested once more instead.
        """
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
        """Whether the quota owner's answer may be requested once more, in case a message was lost."""
        if not 0 < request.quota_requests_sent < MAX_QUOTA_REQUESTS:
            return False
        return self.context.now_us + MAX_OWNER_WAIT_US < latest_decision_us(request)

    def decide_after_wait(self, request: PendingRequest, basis: QuotaBasis) -> None:
        """Decide on a request that has waited, by the present figures."""
        customer = request.customer
        units = request.arrival.units
        if customer.leased:  # a lease may have expired during the wait
            customer.refill(self.context.now_us)
        chance = customer.admission_chance(units)
        # The quota owner counts the units, times the chance, as spent with each quota request, so they are
        # left out of the next report. A quota request that was lost is taken to be counted as well.
        customer.unreported_spending -= units * chance * request.quota_requests_sent
        self.decide(request, chance, basis)


def latest_decision_us(request: PendingRequest) -> int:
    """The latest time for a quota decision that leaves enough time to serve or reject the request."""
    return min(request.deadline_at_us - 4 * TICK_US, request.reject_by_us - 2 * TICK_US)
