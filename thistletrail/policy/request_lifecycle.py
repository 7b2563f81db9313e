"""The lifecycle of a request, from its arrival to its one final answer."""

import zlib

from thistletrail.policy.admission_queue import AdmissionQueue
from thistletrail.policy.attempt_outcomes import OutcomeRecorder
from thistletrail.policy.customer_quotas import CustomerQuotas
from thistletrail.policy.dispatcher import Dispatcher
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import (
    NEVER_RAN_RESULTS,
    NOT_SENT_RESULTS,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    RequestArrived,
    ShutdownStarted,
    StreamStarted,
)
from thistletrail.policy.observer import RejectReason
from thistletrail.policy.overload_control import OverloadController
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.pending_requests import PendingRequests
from thistletrail.policy.quota import CustomerKey
from thistletrail.policy.quota_admission import QuotaAdmission
from thistletrail.policy.request_expiry import (
    NEEDED_LATENCIES_IN_QUEUE,
    NEEDED_LATENCIES_ON_ARRIVAL,
    RequestExpiry,
)
from thistletrail.policy.retry_policy import ClientRetryAge, RetryBudget, RetryPolicy
from thistletrail.policy.server_selection import ServerSelector
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Effect, Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import NEVER_US

# Results after which the connection is not reused.
BROKEN_CONNECTION_RESULTS = frozenset(
    {
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
        AttemptResult.RESET,
        AttemptResult.MALFORMED,
        AttemptResult.CONNECT_FAILED,
    }
)


class RequestLifecycle:
    """Takes each request through arrival, admission, attempts and its final answer."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        servers: ServerSet,
        customers: CustomerQuotas,
        pending: PendingRequests,
        queue: AdmissionQueue,
        admission: QuotaAdmission,
        dispatcher: Dispatcher,
        expiry: RequestExpiry,
        overload: OverloadController,
        selector: ServerSelector,
        outcomes: OutcomeRecorder,
        retry_budget: RetryBudget,
        traffic: TrafficEstimates,
    ) -> None:
        self.context = context
        self.classes = settings.classes
        self.servers = servers
        self.customers = customers
        self.pending = pending
        self.queue = queue
        self.admission = admission
        self.dispatcher = dispatcher
        self.expiry = expiry
        self.overload = overload
        self.selector = selector
        self.outcomes = outcomes
        self.retry_budget = retry_budget
        self.traffic = traffic
        self.retry_policy = RetryPolicy(settings, context, traffic)
        self.client_retry_age = ClientRetryAge(settings)
        self.shutdown_at_us = NEVER_US  # the end of the shutdown once it has started: a deadline for all

    # --- arrival ---

    def on_arrival(self, arrival: RequestArrived) -> None:
        """Queue a client's request, reject it at once, or let it wait for its quota decision."""
        request = self.create(arrival)
        self.pending.add(request)
        # A request that arrives with too little time left is not charged to its customer's quota.
        if self.expiry.expire_if_too_late(request, NEEDED_LATENCIES_ON_ARRIVAL):
            return
        if arrival.is_taken_over:
            self.enqueue_taken_over(request)
        else:
            self.admission.admit(request)

    def create(self, arrival: RequestArrived) -> PendingRequest:
        """Return the pending request for an arrival, with its deadlines and its priority.

        The latency objective counts from the client's first attempt, unless an answer after the objective
        still has a value: then a retry that can only earn this late value gets a lower priority instead.
        """
        key = CustomerKey(
            zlib.crc32(arrival.customer.encode()), arrival.plan_index, arrival.set_first, arrival.set_size
        )
        customer = self.customers.get(key)
        request_class = self.classes[arrival.class_index]
        elapsed_us = 0
        if not arrival.is_taken_over:
            is_shutting_down = self.shutdown_at_us != NEVER_US
            elapsed_us = self.client_retry_age.elapsed_us(arrival, is_shutting_down)
        objective_elapsed_us = 0 if request_class.late_value else elapsed_us
        request = PendingRequest(arrival, request_class, customer, self.context.now_us, objective_elapsed_us)
        request.limit_deadline(self.shutdown_at_us)
        needed_us = NEEDED_LATENCIES_ON_ARRIVAL * self.traffic.mean_latency_us[arrival.class_index]
        if request_class.late_value and elapsed_us + needed_us >= request_class.latency_objective_us:
            request.is_late_retry = True
            request.priority *= request_class.late_value
        return request

    def enqueue_taken_over(self, request: PendingRequest) -> None:
        """Queue a request that another gateway admitted and charged to the customer's quota.

        If it may have run before, it may run only where servers would recognise a repeat, and an unsafe one
        is ended with `RAN_ELSEWHERE`. A request whose `ran_on_server` is not in the endpoint list is treated
        as one that has not run: the host process must name a listed server, or fail the request itself.
        """
        request.ceiling_granted_until_us = NEVER_US
        request.may_have_run_since_us = self.context.now_us
        request.server_before_takeover = self.servers.by_name.get(request.arrival.ran_on_server)
        request.may_have_run_on = request.server_before_takeover
        if request.server_before_takeover and request.request_class.effect is Effect.UNSAFE:
            self.pending.reject(request, RejectReason.RAN_ELSEWHERE)
            return
        self.admission.enqueue(request)

    # --- attempts ---

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Finish the request of an ended attempt, retry it, or reject it.

        The host process answers the client of a successful attempt itself, and sets `request_ended`.
        """
        request = self.pending.by_id.get(event.id)
        if request is None or event.attempt not in request.in_flight:
            return
        self.remove_attempt(request, event)
        self.outcomes.record(request, request.attempted_servers[event.attempt], event)
        self.update_may_have_run_on(request, event.result)
        if event.result is AttemptResult.OWNED_ELSEWHERE and request.is_in_quota:
            request.customer.spend_locally(-request.arrival.units)  # the other gateway charges its units
        if event.request_ended or request.is_finished:
            self.pending.finish(request)
        elif not request.in_flight and not self.retry(request, event.result):
            self.pending.reject(request, RejectReason.ATTEMPTS_FAILED)

    def remove_attempt(self, request: PendingRequest, event: AttemptEnded) -> None:
        """Remove an ended attempt from the counts of attempts in flight and of usable connections."""
        server = request.attempted_servers[event.attempt]
        request.customer.in_flight -= 1
        self.overload.record_attempt_ended()
        del request.in_flight[event.attempt]
        server.remove_attempt(event.id, event.attempt, event.result in BROKEN_CONNECTION_RESULTS)

    def update_may_have_run_on(self, request: PendingRequest, result: AttemptResult) -> None:
        """Count an attempt that cannot have run; if no attempt can, the request may run on any server.

        For a request that was taken over, this leaves the server on which it may have run before.
        """
        if result in NOT_SENT_RESULTS:
            request.not_sent_count += 1
        if result in NEVER_RAN_RESULTS:
            request.never_ran_count += 1
        if request.never_ran_count == len(request.attempted_servers):
            request.may_have_run_on = request.server_before_takeover

    def retry(self, request: PendingRequest, result: AttemptResult) -> bool:
        """Start another attempt, or queue the request for one; return False if it may have none.

        A retry after a failed connect does not use the retry budget, as that attempt put no load on a server.
        A queued retry needs a budget with at least one retry left, but does not take it. Only a request that
        has certainly not run is queued. A retry that starts at once does not wait for overload control.
        """
        if not self.retry_policy.may_attempt_again(request, result):
            return False
        uses_budget = result is not AttemptResult.CONNECT_FAILED
        if uses_budget and not self.retry_budget.request_retry():
            return False
        if server := self.selector.choose(request):
            if uses_budget:
                self.retry_budget.take_retry()
            self.dispatcher.start_attempt(request, server)
            return True
        if request.may_have_run_on is None:
            self.queue.add(request)
            return True
        return False

    # --- end of requests ---

    def on_answer_not_needed(self, event: ClientDisconnected | StreamStarted) -> None:
        """Finish a request that needs no answer: its client has disconnected, or its stream has begun."""
        if request := self.pending.by_id.get(event.id):
            self.pending.finish(request)

    def on_shutdown(self, event: ShutdownStarted) -> None:
        """Limit all deadlines to the end of the shutdown; reject unsent requests that cannot meet theirs."""
        self.shutdown_at_us = self.context.now_us + event.remaining_us
        for request in list(self.pending.by_id.values()):
            request.limit_deadline(self.shutdown_at_us)
            if not request.attempted_servers:
                self.expiry.expire_if_too_late(request, NEEDED_LATENCIES_IN_QUEUE)

    def on_tick(self) -> None:
        """Decide overdue quota waits, dispatch queued requests, and expire queued ones that are too late."""
        self.admission.decide_overdue()
        self.dispatcher.dispatch_queued()
        time_per_admission_us = 0.0 if self.overload.may_send() else self.overload.time_per_admission_us()
        for entry in self.queue.take_all():
            queue_ahead_us = len(self.queue) * time_per_admission_us
            if not self.expiry.expire_if_too_late(entry.request, NEEDED_LATENCIES_IN_QUEUE, queue_ahead_us):
                self.queue.put_back(entry)
