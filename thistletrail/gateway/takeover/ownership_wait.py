"""Requests whose work another gateway has: they wait for its outcome within their client's time."""

from __future__ import annotations

import random

import msgspec

from thistletrail.gateway.takeover.client import WorkLeaseClient
from thistletrail.gateway.takeover.messages import remaining_ms
from thistletrail.gateway.takeover.work_item import WorkItem
from thistletrail.gateway.takeover.work_table import WorkTable
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.messages import WORK_LEASE_MS, BeginWork

POLL_S = 0.1  # between requests for the outcome
POLL_JITTER = (0.75, 1.25)
MIN_REMAINING_MS = 2000 * POLL_S  # two polls: with less, the client is told to come back
MAX_WAIT_MS = 2 * WORK_LEASE_MS  # a lease, until the work is taken over, and as long for it to run
MAX_WAITING = 200  # requests that wait at one gateway


class OwnershipWait:
    """Polls the lease service for work that another gateway has, by the begin that found it so."""

    def __init__(
        self, table: WorkTable, client: WorkLeaseClient, chance: random.Random, record_timeout_s: float
    ) -> None:
        """`record_timeout_s` bounds the wait for each poll's answer."""
        self.table = table
        self.client = client
        self.chance = chance
        self.record_timeout_s = record_timeout_s

    def wait(self, item: WorkItem, begin: BeginWork) -> None:
        """Wait until the next poll, or reject the request where it cannot wait longer."""
        if not item.wait_until_ms and not self.start_waiting(item):
            self.table.reject(item)
            return
        if now_ms() >= item.wait_until_ms or remaining_ms(item) < MIN_REMAINING_MS:
            self.table.reject(item)
            return
        item.start_timer(POLL_S * self.chance.uniform(*POLL_JITTER), self.poll, item, begin)

    def start_waiting(self, item: WorkItem) -> bool:
        """Take the item in as one that waits; False where too many do already."""
        self.table.withdraw_attempt(item)
        if self.table.waiting_count >= MAX_WAITING:
            return False
        self.table.waiting_count += 1
        self.table.counts.waited += 1
        item.wait_until_ms = now_ms() + MAX_WAIT_MS
        return True

    def poll(self, item: WorkItem, begin: BeginWork) -> None:
        """Begin again: the answer is the outcome, the lease, or that another gateway still has the work."""
        if item.is_over:
            return
        other = self.table.by_name.get(item.name)
        fresh = msgspec.structs.replace(begin, left_ms=remaining_ms(item))
        has_name = other is None or other is item
        if has_name and not self.client.is_unreachable and self.client.enqueue(fresh):
            self.table.by_name[item.name] = item
            item.pending_begin = fresh
            item.start_timer(self.record_timeout_s, self.on_poll_timeout, item, fresh)
        else:
            self.wait(item, fresh)

    def on_poll_timeout(self, item: WorkItem, begin: BeginWork) -> None:
        """The poll was not answered: wait on."""
        self.table.withdraw_begin(item)
        self.wait(item, begin)
