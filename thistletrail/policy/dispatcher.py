"""Dispatch of queued requests, and the start of each of their attempts."""

from thistletrail.policy.actions import StartAttempt
from thistletrail.policy.admission_queue import AdmissionQueue
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.overload_control import OverloadController
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.retry_policy import RetryBudget
from thistletrail.policy.server_selection import ServerSelector
from thistletrail.policy.settings import Effect, Settings
from thistletrail.policy.slow_start import SlowStart
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.upstream_server import UpstreamServer


class Dispatcher:
    """Starts attempts as overload control, ceilings and available servers allow."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        queue: AdmissionQueue,
        overload: OverloadController,
        selector: ServerSelector,
        slow_start: SlowStart,
        retry_budget: RetryBudget,
        traffic: TrafficEstimates,
    ) -> None:
        self.context = context
        self.queue = queue
        self.overload = overload
        self.selector = selector
        self.slow_start = slow_start
        self.retry_budget = retry_budget
        self.traffic = traffic
        self.max_attempts = settings.max_attempts

    def dispatch_queued(self) -> None:
        """Send the queued requests that may be sent now, by priority; the others stay queued.

        Finished requests are dropped. Nothing is sent while overload control allows no first attempt. Once it
        does, queued retries are sent even where the first attempts ahead of them are blocked.
        """
        if not self.overload.may_send() or not self.queue:
            return
        are_first_attempts_blocked = False
        for entry in self.queue.take_all():
            request = entry.request
            may_attempt = not request.is_finished and (
                bool(request.attempted_servers)
                or (not are_first_attempts_blocked and request.is_under_ceiling(self.context.now_us))
            )
            server = self.selector.choose(request) if may_attempt else None
            if server:
                self.start_attempt(request, server)
            elif not request.is_finished:
                self.queue.put_back(entry)
            # If no server can take one request, the first attempts behind it are not tried either.
            are_first_attempts_blocked = (
                are_first_attempts_blocked or not self.overload.may_send() or (may_attempt and server is None)
            )

    def start_attempt(self, request: PendingRequest, server: UpstreamServer) -> None:
        """Send the request's next attempt to a server."""
        now_us = self.context.now_us
        number = len(request.attempted_servers)
        if number == 0:
            self.count_first_attempt(request)
        request.attempted_servers.append(server)
        request.in_flight[number] = now_us
        server.add_attempt(request.arrival.id, number, now_us)
        request.customer.in_flight += 1
        self.overload.record_attempt_started(is_first=number == 0)
        server.next_attempt_us = now_us + self.slow_start.spacing_us(server)
        if request.may_have_run_on is None:
            request.may_have_run_on = server
            request.may_have_run_since_us = now_us
        timeout_us = self.attempt_timeout_us(request)
        self.context.emit(StartAttempt(request.arrival.id, server.entry.name, timeout_us))

    def count_first_attempt(self, request: PendingRequest) -> None:
        """Add what a first attempt earns to the retry budget, and take its units from the ceiling share.

        Units that the quota owner has granted were taken from its reserved share of the ceiling instead.
        """
        self.retry_budget.record_first_attempt()
        if self.context.now_us >= request.ceiling_granted_until_us:
            request.customer.use_ceiling(request.arrival.units)

    def attempt_timeout_us(self, request: PendingRequest) -> int:
        """Return how long the request's latest attempt, which is about to be sent, may take, in us.

        An attempt that may be retried times out two mean latencies before the latency objective, so that
        another one can meet it. If that leaves it less than two mean latencies, or if it is the last possible
        attempt, it may take until the deadline.
        """
        remaining_us = request.deadline_at_us - self.context.now_us
        mean_us = self.traffic.mean_latency_us[request.arrival.class_index]
        early_timeout_us = round(request.objective_at_us - self.context.now_us - 2 * mean_us)
        is_last_attempt = (
            request.request_class.effect is Effect.UNSAFE
            or len(request.attempted_servers) >= self.max_attempts
        )
        if is_last_attempt or early_timeout_us < 2 * mean_us:
            return max(1, remaining_us)
        return max(1, min(remaining_us, early_timeout_us))
