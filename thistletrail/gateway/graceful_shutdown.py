"""Graceful shutdown: serve what still arrives, close idle connections, answer every request in flight."""

import asyncio
import logging
from typing import Protocol

from thistletrail.gateway.backends import now_us
from thistletrail.gateway.clients import Clients
from thistletrail.gateway.exchange import EventSink
from thistletrail.gateway.exchanges import Exchanges
from thistletrail.policy.events import ShutdownStarted
from thistletrail.policy.settings import Settings

log = logging.getLogger(__name__)

# After SIGTERM a SIGKILL comes no sooner than the longest deadline, 3 s at least, and 0.7 s more, of which
# the last 0.2 s are for the answers' way and for the end of the process.
MIN_DRAIN_US = 3_000_000
DRAIN_EXTRA_US = 500_000
SETTLE_S = 0.6  # new connections go on coming for up to 0.4 s after SIGTERM
LAST_WRITES_S = 1.0  # how long clients may take to read their last answers, or to send a last request


class TransferableWork(Protocol):
    """The work leases of this gateway, as its shutdown uses them."""

    def start_draining(self) -> None:
        """Have no more work transferred to this gateway."""

    def release_unfinished(self) -> None:
        """Give all unfinished work to other gateways."""


class GracefulShutdown:
    """One shutdown of a gateway, with the time that it may take."""

    def __init__(self, settings: Settings, exchanges: Exchanges, clients: Clients, events: EventSink) -> None:
        self.settings = settings
        self.exchanges = exchanges
        self.clients = clients
        self.events = events

    async def run(self, work: TransferableWork | None) -> None:
        """Drain; returns once all clients are answered and closed, or their time is over.

        `work` is what other gateways may take over; None where that is off.
        """
        duration_us = self.duration_us()
        self.exchanges.limit_all(now_us() + duration_us)
        self.events.post(ShutdownStarted(duration_us))
        if work:
            work.start_draining()
        await asyncio.sleep(SETTLE_S)
        self.clients.start_draining()
        await self.wait_for_clients()
        if work:  # another gateway's clients may wait for it
            work.release_unfinished()

    def duration_us(self) -> int:
        """How long requests may go on from now."""
        longest_deadline_us = max((rule.deadline_us for rule in self.settings.classes), default=0)
        return max(MIN_DRAIN_US, longest_deadline_us) + DRAIN_EXTRA_US

    async def wait_for_clients(self) -> None:
        """Wait until no client is connected, or none of those left is owed anything."""
        while not await self.clients.wait_closed(LAST_WRITES_S):
            # A request may still come on a connection that has had none.
            is_owed = self.clients.needs_time() and now_us() < self.exchanges.drain_end_us
            if not self.exchanges.unanswered and not is_owed:
                log.warning("%d clients stay connected without a request", len(self.clients.connections))
                return
