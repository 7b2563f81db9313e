"""Retries by this gateway, and the age of retries that arrive from clients."""

from thistletrail.policy.actions import WriteLog
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import AttemptResult, RequestArrived
from thistletrail.policy.leased_budgets import FLOOR_SHARE, LeasedBudget
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.retry_detection import RetryDetector
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_SAVED_RETRIES = 8.0
# Each first attempt raises the learned client timeout by 1/200 at most; 200 of them nearly triple it.
CLIENT_TIMEOUT_STEPS = 200


class RetryBudget:
    """The retry budget: retries stay a small share of first attempts, so that they cannot feed an overload.

    `saved_retries` is the number of retries that first attempts have earned and that are not used yet. If the
    lease service divides a retry budget of all gateways, `leased` is this gateway's share of it and applies
    in place of `saved_retries`; otherwise it is None.
    """

    def __init__(self, settings: Settings, context: EventContext) -> None:
        self.context = context
        self.saved_retries = MAX_SAVED_RETRIES / 2
        self.refused_in_period = 0
        self.leased: LeasedBudget | None = None
        if settings.retry_rate:
            floor = FLOOR_SHARE / settings.gateway_count
            self.leased = LeasedBudget(settings.retry_rate, settings.retry_burst, floor, 0)

    def start(self) -> None:
        """Start refilling the leased budget from the time of the first event."""
        if self.leased:
            self.leased.refilled_at_us = self.context.now_us

    def record_first_attempt(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self.saved_retries = min(MAX_SAVED_RETRIES, self.saved_retries + RETRIES_PER_FIRST_ATTEMPT)

    def request_retry(self) -> bool:
        """Return whether the budget allows a retry; `take_retry` takes it from the budget when it starts.

        A refused retry is counted for the log, and each request counts in the demand for leased retries.
        """
        if self.leased:
            self.leased.record_request(1.0, self.context.now_us)
        available = self.leased.refill(self.context.now_us) if self.leased else self.saved_retries
        if available < 1:
            self.refused_in_period += 1
            return False
        return True

    def take_retry(self) -> None:
        """Take one retry from the budget."""
        self.saved_retries -= 1
        if self.leased:
            self.leased.level -= 1

    def log_refused(self) -> None:
        """Log, once a control period, how many retries the budget refused.

        The text of the line is part of recorded runs, which are compared byte for byte.
        """
        if self.refused_in_period:
            text = f"further attempts are spent: {self.refused_in_period} not begun in a period"
            self.context.emit(WriteLog(text))
            self.refused_in_period = 0


class RetryPolicy:
    """Decides whether a request whose attempts have all ended may have another one."""

    def __init__(self, settings: Settings, context: EventContext, traffic: TrafficEstimates) -> None:
        self.context = context
        self.traffic = traffic
        self.max_attempts = settings.max_attempts

    def may_attempt_again(self, request: PendingRequest, result: AttemptResult) -> bool:
        """Return whether attempts and time are left after an attempt that ended with `result`.

        More than half the mean latency of its class must remain before the deadline. There is no retry after
        NOT_SENT, as its cause is at this gateway or its client.
        """
        if result is AttemptResult.NOT_SENT or len(request.attempted_servers) >= self.max_attempts:
            return False
        mean_us = self.traffic.mean_latency_us[request.arrival.class_index]
        return self.context.now_us + mean_us / 2 < request.deadline_at_us


class ClientRetryAge:
    """Estimates how long ago a client first sent a request that may be a retry.

    A retry that is answered after the latency objective of its first attempt has little or no value, but
    still uses its customer's quota.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes = settings.classes
        # By class: how long clients wait for the answer to a first attempt; 0 until one arrives.
        self.client_timeout_us = [0] * len(settings.classes)
        self.detectors = [RetryDetector() for _ in settings.classes]

    def elapsed_us(self, arrival: RequestArrived, is_shutting_down: bool) -> int:
        """Return the time since the client's first attempt, as far as it is known; 0 for a first attempt.

        For a marked retry, it is estimated from the client timeout; in a class with a late value the result
        is 0, as no client timeout is recorded there. An unmarked retry is recognised by a remaining time
        that is uncommon for first attempts. Remaining times are not recorded or judged in this way during a
        shutdown, which shortens them.
        """
        request_class = self.classes[arrival.class_index]
        timeout_us = self.client_timeout_us[arrival.class_index]
        if arrival.is_retry:
            return 0 if request_class.late_value else max(0, timeout_us - arrival.remaining_us)
        if not is_shutting_down:
            detector = self.detectors[arrival.class_index]
            detector.record(arrival.remaining_us)
            if not detector.is_common(arrival.remaining_us):
                return max(0, request_class.deadline_us - arrival.remaining_us)
        if not request_class.late_value:
            self.record_first_attempt(arrival)
        return 0

    def record_first_attempt(self, arrival: RequestArrived) -> None:
        """Update the client timeout, the shortest one of recent first attempts.

        It rises slowly, as clients may differ in their timeouts.
        """
        timeout_us = self.client_timeout_us[arrival.class_index]
        raised_timeout_us = (
            timeout_us + timeout_us // CLIENT_TIMEOUT_STEPS + 1 if timeout_us else arrival.remaining_us
        )
        self.client_timeout_us[arrival.class_index] = min(arrival.remaining_us, raised_timeout_us)
