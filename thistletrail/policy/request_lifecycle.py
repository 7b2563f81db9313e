"""A request's way from its arrival to its one final answer."""

import zlib

from thistletrail.policy.admission_queue import AdmissionQueue
from thistletrail.policy.attempt_outcomes import OutcomeRecorder
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
from thistletrail.policy.quota import CustomerKey, CustomerQuotas
from thistletrail.policy.quota_admission import QuotaAdmission
from thistletrail.policy.request_expiry import NEEDED_IN_QUEUE, NEEDED_ON_ARRIVAL, RequestExpiry
from thistletrail.policy.retry_policy import ClientRetryAge, RetryBudget, RetryPolicy
from thistletrail.policy.server_selection import ServerSelector
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Effect, Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import NEVER_US

# Results after which the connection is not used again.
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
    """Follows each request: arrival, queue, attempts, and its end."""

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
        self.shutdown_at_us = NEVER_US  # until when requests may last

    # --- arrival ---

    def on_arrival(self, arrival: RequestArrived) -> None:
        """A client's request: rejected at once, admitted, or waiting for its quota."""
        request = self.create(arrival)
        self.pending.add(request)
        # Some come with no time left: they cost no quota.
        if self.expiry.give_up_if_late(request, NEEDED_ON_ARRIVAL):
            return
        if arrival.is_taken_over:
            self.inherit(request)
        else:
            self.admission.admit(request)

    def create(self, arrival: RequestArrived) -> PendingRequest:
        """The pending request of an arrival, with its times and its priority."""
        key = CustomerKey(
            zlib.crc32(arrival.customer.encode()), arrival.plan_index, arrival.set_first, arrival.set_size
        )
        customer = self.customers.get(key)
        rule = self.classes[arrival.class_index]
        elapsed_us = 0
        if not arrival.is_taken_over:
            is_shutting_down = self.shutdown_at_us != NEVER_US
            elapsed_us = self.client_retry_age.elapsed_us(arrival, is_shutting_down)
        counted_us = 0 if rule.late_value else elapsed_us
        request = PendingRequest(arrival, rule, customer, self.context.now_us, counted_us)
        request.limit_deadline(self.shutdown_at_us)
        needed_us = NEEDED_ON_ARRIVAL * self.traffic.mean_latency_us[arrival.class_index]
        if rule.late_value and elapsed_us + needed_us >= rule.latency_objective_us:
            request.is_late_retry = True
            request.priority *= rule.late_value
        return request

    def inherit(self, request: PendingRequest) -> None:
        """Queue a request that another gateway has admitted, and whose units are taken there.

        It goes where it may have run. What may not be repeated and may have run is over.
        """
        request.ceiling_granted_until_us = NEVER_US
        request.may_have_run_since_us = self.context.now_us
        request.inherited_server = self.servers.by_name.get(request.arrival.ran_on_server)
        request.may_have_run_on = request.inherited_server
        if request.inherited_server and request.request_class.effect is Effect.UNSAFE:
            self.pending.reject(request, RejectReason.RAN_ELSEWHERE)
            return
        self.admission.enqueue(request)

    # --- attempts ---

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """An attempt has ended: finish its request, retry it, or reject it."""
        request = self.pending.by_id.get(event.id)
        if request is None or event.attempt not in request.in_flight:
            return
        self.remove_attempt(request, event)
        self.outcomes.record(request, request.attempted_servers[event.attempt], event)
        self.note_where_it_ran(request, event.result)
        if event.result is AttemptResult.OWNED_ELSEWHERE and request.is_in_quota:
            request.customer.spend_locally(-request.arrival.units)  # its units are taken there
        if event.request_ended or request.is_finished:
            self.pending.finish(request)
        elif not request.in_flight and not self.retry(request, event.result):
            self.pending.reject(request, RejectReason.ATTEMPTS_FAILED)

    def remove_attempt(self, request: PendingRequest, event: AttemptEnded) -> None:
        """The attempt is no longer in flight, and its connection may be broken."""
        server = request.attempted_servers[event.attempt]
        request.customer.in_flight -= 1
        self.overload.record_attempt_ended()
        del request.in_flight[event.attempt]
        server.remove_attempt(event.id, event.attempt, event.result in BROKEN_CONNECTION_RESULTS)

    def note_where_it_ran(self, request: PendingRequest, result: AttemptResult) -> None:
        """Count what is known not to have run; if that is all, it may run anywhere."""
        if result in NOT_SENT_RESULTS:
            request.not_sent_count += 1
        if result in NEVER_RAN_RESULTS:
            request.never_ran_count += 1
        if request.never_ran_count == len(request.attempted_servers):
            request.may_have_run_on = request.inherited_server

    def retry(self, request: PendingRequest, result: AttemptResult) -> bool:
        """Begin a further attempt, or queue the request for one; False if it may have none.

        A failed connect has cost the servers nothing, and its retry is free.
        """
        if not self.retry_policy.may_attempt_again(request, result):
            return False
        uses_budget = result is not AttemptResult.CONNECT_FAILED
        if uses_budget and not self.retry_budget.request_retry():
            return False
        if server := self.selector.choose(request):
            if uses_budget:
                self.retry_budget.take()
            self.dispatcher.start_attempt(request, server)
            return True
        if request.may_have_run_on is None:
            self.queue.add(request)
            return True
        return False

    # --- the end ---

    def on_client_left(self, event: ClientDisconnected | StreamStarted) -> None:
        """The client has left, or its answer has begun: nothing more is owed."""
        if request := self.pending.by_id.get(event.id):
            self.pending.finish(request)

    def on_shutdown(self, event: ShutdownStarted) -> None:
        """What is queued and cannot be answered in the time left is rejected now."""
        self.shutdown_at_us = self.context.now_us + event.remaining_us
        for request in list(self.pending.by_id.values()):
            request.limit_deadline(self.shutdown_at_us)
            if not request.attempted_servers:
                self.expiry.give_up_if_late(request, NEEDED_IN_QUEUE)

    def on_tick(self) -> None:
        """Decide on what has waited for its quota, send what may leave, give up what is out of time."""
        self.admission.decide_overdue()
        self.dispatcher.dispatch_queued()
        turn_us = 0.0 if self.overload.may_send() else self.overload.time_per_admission_us()
        for entry in self.queue.take_all():
            ahead_us = len(self.queue) * turn_us
            if not self.expiry.give_up_if_late(entry.request, NEEDED_IN_QUEUE, ahead_us):
                self.queue.put_back(entry)
