"""Retries: what this gateway may attempt again, and how old a client's retry is when it arrives."""

from thistletrail.policy.actions import WriteLog
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import AttemptResult, RequestArrived
from thistletrail.policy.leased_budgets import FLOOR_SHARE, LeasedBudget
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.retry_detection import RetryDetector
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates

RETRIES_PER_FIRST_ATTEMPT = 0.1  # retries that a first attempt earns
MAX_SAVED_RETRIES = 8.0
CLIENT_TIMEOUT_STEPS = 200  # first attempts by which the known client timeout can rise by about its double


class RetryBudget:
    """The retries that may be begun: a small share of first attempts, so that they cannot feed an overload.

    Where the lease service divides a retry budget of all gateways, `leased` is this gateway's share of it,
    and holds in place of the share of first attempts.
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
        """The gateway starts with the event at hand."""
        if self.leased:
            self.leased.refilled_at_us = self.context.now_us

    def record_first_attempt(self) -> None:
        """Earn a part of a retry."""
        self.saved_retries = min(MAX_SAVED_RETRIES, self.saved_retries + RETRIES_PER_FIRST_ATTEMPT)

    def request_retry(self) -> bool:
        """Ask for a retry: whether it may be begun now. One that may not is counted."""
        if self.leased:
            self.leased.record_request(1.0, self.context.now_us)
        available = self.leased.refill(self.context.now_us) if self.leased else self.saved_retries
        if available < 1:
            self.refused_in_period += 1
            return False
        return True

    def take(self) -> None:
        """A retry is begun."""
        self.saved_retries -= 1
        if self.leased:
            self.leased.level -= 1

    def report_refused(self) -> None:
        """Once a control period: log the retries that the budget did not allow.

        The words of the line are part of recorded runs, which are compared to the byte.
        """
        if self.refused_in_period:
            text = f"further attempts are spent: {self.refused_in_period} not begun in a period"
            self.context.emit(WriteLog(text))
            self.refused_in_period = 0


class RetryPolicy:
    """Whether a request whose attempts have all ended may have another one."""

    def __init__(self, settings: Settings, context: EventContext, traffic: TrafficEstimates) -> None:
        self.context = context
        self.traffic = traffic
        self.max_attempts = settings.max_attempts

    def may_attempt_again(self, request: PendingRequest, result: AttemptResult) -> bool:
        """Whether there are attempts and time left, after an attempt that ended so."""
        if result is AttemptResult.NOT_SENT or len(request.attempted_servers) >= self.max_attempts:
            return False
        mean_us = self.traffic.mean_latency_us[request.arrival.class_index]
        return self.context.now_us + mean_us / 2 < request.deadline_at_us


class ClientRetryAge:
    """How long ago a client first sent a request that may be a retry.

    What a retry would be served after its objective has little or no value, and takes its customer's quota.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes = settings.classes
        # By class: how long clients wait for their first attempts.
        self.client_timeout_us = [0] * len(settings.classes)
        self.detectors = [RetryDetector() for _ in settings.classes]

    def elapsed_us(self, arrival: RequestArrived, is_shutting_down: bool) -> int:
        """The time since the client's first attempt, as far as it is known; 0 for a first attempt.

        Retries that are not marked are recognised by a remaining time that first attempts do not have; what
        a shutdown has cut short shows nothing.
        """
        request_class = self.classes[arrival.class_index]
        known_us = self.client_timeout_us[arrival.class_index]
        if arrival.is_retry:
            return 0 if request_class.late_value else max(0, known_us - arrival.remaining_us)
        if not is_shutting_down:
            detector = self.detectors[arrival.class_index]
            detector.record(arrival.remaining_us)
            if not detector.is_common(arrival.remaining_us):
                return max(0, request_class.deadline_us - arrival.remaining_us)
        if not request_class.late_value:
            self.record_first_attempt(arrival)
        return 0

    def record_first_attempt(self, arrival: RequestArrived) -> None:
        """Learn the client timeout: the least seen lately, which rises slowly as clients may differ."""
        known_us = self.client_timeout_us[arrival.class_index]
        raised_us = known_us + known_us // CLIENT_TIMEOUT_STEPS + 1 if known_us else arrival.remaining_us
        self.client_timeout_us[arrival.class_index] = min(arrival.remaining_us, raised_us)
