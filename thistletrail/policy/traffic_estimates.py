"""Running means of this gateway's traffic: latency by request class, and first attempts a second."""

from thistletrail.policy.settings import Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

# Smoothing factors of exponential running means: the weight of a new value.
LATENCY_SMOOTHING = 0.1
RATE_SMOOTHING = 0.3

# Constants that are given for a second apply as they are where the mean latency objective is this long.
REFERENCE_OBJECTIVE_US = 1.5 * MICROSECONDS_PER_SECOND


class TrafficEstimates:
    """Running means of request latency and of the rate of first attempts.

    `scaled_second_us` is the length of a scaled second: shorter than a second, in proportion, where the mean
    latency objective is below REFERENCE_OBJECTIVE_US, so that control reacts as fast as requests do.
    """

    def __init__(self, settings: Settings) -> None:
        objectives_us = [rule.latency_objective_us for rule in settings.classes]
        # By class. A quarter of the latency objective is assumed before the first answers.
        self.mean_latency_us: list[float] = [objective_us / 4 for objective_us in objectives_us]
        mean_objective_us = sum(objectives_us) / max(1, len(objectives_us))
        self.scaled_second_us = round(
            MICROSECONDS_PER_SECOND * min(1.0, mean_objective_us / REFERENCE_OBJECTIVE_US)
        )
        self.first_attempts_per_s = 0.0
        self.admitted_in_period = 0  # requests admitted by quota in this control period

    def record_admission(self) -> None:
        """Count a request that quota admission has let through to be sent."""
        self.admitted_in_period += 1

    def record_latency(self, class_index: int, latency_us: int) -> None:
        """Include a successful attempt's latency in the mean of its class."""
        mean_us = self.mean_latency_us[class_index]
        self.mean_latency_us[class_index] += LATENCY_SMOOTHING * (latency_us - mean_us)

    def overall_mean_latency_us(self) -> float:
        """The unweighted mean of the classes' mean latencies; 0.0 without classes."""
        return sum(self.mean_latency_us) / max(1, len(self.mean_latency_us))

    def end_period(self, accepted: int, limit: int | None, period_us: int) -> None:
        """Include a control period in the rate: `accepted` first attempts were sent, with N at `limit`.

        `limit` is None where the control is not engaged. Admitted requests up to the limit count even if they
        were not sent: slow start spaces attempts to servers that are warming up by this rate, so a rate of
        sent attempts alone would keep such a fleet at its present load.
        """
        admitted = self.admitted_in_period
        sent = max(accepted, admitted if limit is None else min(admitted, limit))
        smoothing = RATE_SMOOTHING if self.first_attempts_per_s else 1
        sent_per_s = sent * MICROSECONDS_PER_SECOND / period_us
        self.first_attempts_per_s += smoothing * (sent_per_s - self.first_attempts_per_s)
        self.admitted_in_period = 0
