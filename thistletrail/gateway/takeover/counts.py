"""What became of recorded work at this gateway."""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class TakeoverCounts:
    """Counters since the start, logged when the gateway ends."""

    begun: int = 0  # recorded for the first time
    answered: int = 0  # had ended before, and were answered with that outcome
    transferred: int = 0  # continued here after another gateway's end
    released: int = 0  # whose lease was given back unfinished
    lost: int = 0  # whose lease ended while they were worked on
    rejected: int = 0  # that the lease service did not record, being full
    unrecorded: int = 0  # answered before the outcome was known to be recorded
    untracked: int = 0  # continued without being recorded
    waited: int = 0  # for another gateway's outcome

    def line(self) -> str:
        """All counters as `name count`, for the log."""
        return ", ".join(f"{field.name} {getattr(self, field.name)}" for field in fields(self))
