"""Requests whose work another gateway, or another request of this one, owns: they wait for its outcome.

They wait for `MAX_WAIT_MS` at most, and not beyond shortly before their deadline.
"""

from __future__ import annotations

import random

import msgspec

from thistletrail.gateway.takeover.client import WorkLeaseClient
from thistletrail.gateway.takeover.messages import remaining_ms
from thistletrail.gateway.takeover.work_item import WorkItem
from thistletrail.gateway.takeover.work_table import WorkTable
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.messages import WORK_LEASE_MS, BeginWork

POLL_INTERVAL_S = 0.1
POLL_JITTER = (0.75, 1.25)  # range of the factor of POLL_INTERVAL_S
MIN_REMAINING_MS = 2000 * POLL_INTERVAL_S  # two polls; with less time left, the request is rejected
MAX_WAIT_MS = 2 * WORK_LEASE_MS  # one lease until the work is taken over, and as long for it to run
MAX_WAITING_REQUESTS = 200  # per gateway


class OwnershipWait:
    """Polls the lease service for work that has another owner, by repeating the request's `BeginWork`."""

    def __init__(
        self, table: WorkTable, client: WorkLeaseClient, rng: random.Random, record_timeout_s: float
    ) -> None:
        """`record_timeout_s` limits the wait for each poll's result."""
        self.table = table
        self.client = client
        self.rng = rng
        self.record_timeout_s = record_timeout_s

    def wait(self, item: WorkItem, begin: BeginWork) -> None:
        """Schedule the next poll, or reject the request if it cannot wait or has waited long enough."""
        if not item.wait_until_ms and not self.start_waiting(item):
            self.table.reject(item)
            return
        if now_ms() >= item.wait_until_ms or remaining_ms(item) < MIN_REMAINING_MS:
            self.table.reject(item)
            return
        item.start_timer(POLL_INTERVAL_S * self.rng.uniform(*POLL_JITTER), self.poll, item, begin)

    def start_waiting(self, item: WorkItem) -> bool:
        """Mark the item as waiting; return False if too many requests already wait."""
        self.table.withdraw_attempt(item)
        if self.table.waiting_count >= MAX_WAITING_REQUESTS:
            return False
        self.table.waiting_count += 1
        self.table.counts.waited += 1
        item.wait_until_ms = now_ms() + MAX_WAIT_MS
        return True

    def poll(self, item: WorkItem, begin: BeginWork) -> None:
        """Send the `BeginWork` again; the result is the outcome, the lease, or that there is another owner.

        If the previous poll has no result yet, the lease service is unreachable, the queue is full, or
        another request of this gateway has the work's name, nothing is sent and the request waits for the
        next poll.
        """
        if item.is_over:
            return
        if item.pending_begin is not None:
            self.wait(item, begin)
            return
        item_with_name = self.table.by_name.get(item.name)
        next_begin = msgspec.structs.replace(begin, left_ms=remaining_ms(item))
        may_use_name = item_with_name is None or item_with_name is item
        if may_use_name and not self.client.is_unreachable and self.client.enqueue(next_begin):
            self.table.set_pending_begin(item, next_begin)
            item.start_timer(self.record_timeout_s, self.wait, item, next_begin)
        else:
            self.wait(item, next_begin)
