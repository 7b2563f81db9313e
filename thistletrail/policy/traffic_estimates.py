"""Running means of the traffic here: latency by request class, and first attempts a second."""

from thistletrail.policy.settings import Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

LATENCY_SMOOTHING = 0.1  # weight of a new latency in a running mean
RATE_SMOOTHING = 0.3  # weight of a control period's attempts in a running mean
USUAL_OBJECTIVE_US = 1.5 * MICROSECONDS_PER_SECOND  # for which the figures for a second are meant


class TrafficEstimates:
    """What requests have taken, and how many there are, as running means.

    `scaled_second_us` is the second of this deployment: where latency objectives are shorter than usual,
    everything goes faster, and what is meant for a second holds for less.
    """

    def __init__(self, settings: Settings) -> None:
        objectives_us = [rule.latency_objective_us for rule in settings.classes]
        self.mean_latency_us: list[float] = [objective_us / 4 for objective_us in objectives_us]
        mean_objective_us = sum(objectives_us) / max(1, len(objectives_us))
        self.scaled_second_us = round(
            MICROSECONDS_PER_SECOND * min(1.0, mean_objective_us / USUAL_OBJECTIVE_US)
        )
        self.first_attempts_per_s = 0.0
        self.admitted_in_period = 0  # requests that their quotas let through in this control period

    def record_admission(self) -> None:
        """A request is inside its quota, and is to be sent."""
        self.admitted_in_period += 1

    def record_latency(self, class_index: int, latency_us: int) -> None:
        """Count a successful attempt in the mean of its class."""
        mean_us = self.mean_latency_us[class_index]
        self.mean_latency_us[class_index] += LATENCY_SMOOTHING * (latency_us - mean_us)

    def overall_mean_latency_us(self) -> float:
        """The mean over the classes."""
        return sum(self.mean_latency_us) / max(1, len(self.mean_latency_us))

    def end_period(self, accepted: int, limit: int | None, period_us: int) -> None:
        """Count a control period in which `accepted` first attempts were sent, of `limit` allowed ones.

        What was to be sent counts, not what was: a fleet of cold servers, each spaced by this rate, would
        never be sent more than before.
        """
        admitted = self.admitted_in_period
        sent = max(accepted, admitted if limit is None else min(admitted, limit))
        smoothing = RATE_SMOOTHING if self.first_attempts_per_s else 1
        sent_per_s = sent * MICROSECONDS_PER_SECOND / period_us
        self.first_attempts_per_s += smoothing * (sent_per_s - self.first_attempts_per_s)
        self.admitted_in_period = 0
