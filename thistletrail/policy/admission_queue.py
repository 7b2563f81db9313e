"""Admitted requests that wait to be sent, the highest priority first."""

import itertools
from bisect import insort
from collections.abc import Iterator
from typing import NamedTuple

from thistletrail.policy.pending_request import PendingRequest


class QueueEntry(NamedTuple):
    """A queued request with its sort key: priority from high to low, then arrival in the queue."""

    negated_priority: float
    arrival_number: int
    request: PendingRequest


class AdmissionQueue:
    """The queued requests in the order in which they are to leave."""

    def __init__(self) -> None:
        self.entries: list[QueueEntry] = []
        self.arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.entries)

    def __iter__(self) -> Iterator[PendingRequest]:
        return (entry.request for entry in self.entries)

    def add(self, request: PendingRequest) -> None:
        """Queue a request by its priority, behind those of the same one."""
        insort(self.entries, QueueEntry(-request.priority, next(self.arrival_numbers), request))

    def take_all(self) -> list[QueueEntry]:
        """Empty the queue; its entries in order, of which some may be put back."""
        entries = self.entries
        self.entries = []
        return entries

    def put_back(self, entry: QueueEntry) -> None:
        """Return an entry that was taken; entries come back in the order in which they were taken."""
        self.entries.append(entry)
