"""Counters of recorded work at this gateway."""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class TakeoverCounts:
    """Numbers of work items since the start, logged when the gateway stops.

    The field names appear in the log line.
    """

    begun: int = 0  # recorded and leased to this gateway for a client's request
    answered: int = 0  # with the outcome of work that had already ended
    transferred: int = 0  # from another gateway to this one
    released: int = 0  # without an outcome
    lost: int = 0  # whose lease ended before the request was answered
    rejected: int = 0  # by the lease service
    unrecorded: int = 0  # whose outcome was not confirmed as recorded in time
    untracked: int = 0  # continued without being recorded
    waited: int = 0  # for another gateway's outcome

    def format_line(self) -> str:
        """Return all counters as `name count`, separated by commas."""
        return ", ".join(f"{field.name} {getattr(self, field.name)}" for field in fields(self))
