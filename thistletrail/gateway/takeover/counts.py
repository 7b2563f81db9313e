"""Counters of recorded work at this gateway."""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class TakeoverCounts:
    """Numbers of work items since the start, logged when the gateway stops.

    The field names appear in the log line.

    Attributes:
        begun: Recorded and leased to this gateway for a client's request.
        answered: Answered without running here: the work had ended or must not run again, or its key stands
            for another request.
        transferred: Transferred to this gateway from another one.
        released: Released by this gateway without an outcome.
        lost: Lost before the request was answered, as the lease had ended or the fence was outdated.
        rejected: Not recorded, as the lease service had no room, could not persist it, or ignored the
            request.
        unrecorded: Outcome not confirmed as recorded in time; answered if the lease still lasted.
        untracked: Continued without being recorded.
        waited: Waited for the outcome of another owner: another gateway, or another request of this one.
        unconfirmed: Rejected by the policy, but answered as failed, as the withdrawal of the record was not
            confirmed in time.
    """

    begun: int = 0
    answered: int = 0
    transferred: int = 0
    released: int = 0
    lost: int = 0
    rejected: int = 0
    unrecorded: int = 0
    untracked: int = 0
    waited: int = 0
    unconfirmed: int = 0

    def format_line(self) -> str:
        """Return all counters as `name count`, separated by commas."""
        return ", ".join(f"{field.name} {getattr(self, field.name)}" for field in fields(self))
