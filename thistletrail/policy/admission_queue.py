"""The queue of admitted requests that wait for an attempt, the first or a retry; highest priority first."""

import itertools
from bisect import insort
from collections.abc import Iterator
from typing import NamedTuple

from thistletrail.policy.pending_request import PendingRequest


class QueueEntry(NamedTuple):
    """A queued request with its sort key: descending priority, then the order of arrival in the queue."""

    negated_priority: float
    arrival_number: int
    request: PendingRequest


class AdmissionQueue:
    """The queued requests in the order in which they are to be sent."""

    def __init__(self) -> None:
        self.entries: list[QueueEntry] = []
        self.arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[PendingRequest]:
        return (entry.request for entry in self.entries)

    def add(self, request: PendingRequest) -> None:
        """Queue a request by its priority, behind requests of equal priority."""
        insort(self.entries, QueueEntry(-request.priority, next(self.arrival_numbers), request))

    def take_all(self) -> list[QueueEntry]:
        """Empty the queue and return its entries in order; the caller puts back those that are not sent."""
        entries = self.entries
        self.entries = []
        return entries

    def put_back(self, entry: QueueEntry) -> None:
        """Put back an entry from `take_all`; entries must be put back in the order that they had there."""
        self.entries.append(entry)
