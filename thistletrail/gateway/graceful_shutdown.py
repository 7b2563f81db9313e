"""Graceful shutdown: serves new requests for a while, then closes idle connections and answers the rest."""

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

# SIGKILL follows SIGTERM no sooner than the longest deadline (at least 3 s) plus 0.7 s. The last 0.2 s of
# that are reserved for the transmission of answers and the end of the process.
MIN_DRAIN_US = 3_000_000
DRAIN_EXTRA_US = 500_000
NEW_CONNECTION_GRACE_S = 0.6  # clients open new connections for up to 0.4 s after SIGTERM
CLIENT_CLOSE_GRACE_S = 1.0  # for clients to read their last answers, or to send a last request


class TransferableWork(Protocol):
    """The work leases of this gateway, as the graceful shutdown uses them."""

    def start_draining(self) -> None:
        """Stop the transfer of work to this gateway."""

    def release_unfinished(self) -> None:
        """Release all unfinished work to other gateways."""


class GracefulShutdown:
    """The graceful shutdown of a gateway, within a limited time."""

    def __init__(self, settings: Settings, exchanges: Exchanges, clients: Clients, events: EventSink) -> None:
        self.settings = settings
        self.exchanges = exchanges
        self.clients = clients
        self.events = events

    async def run(self, work: TransferableWork | None) -> None:
        """Shut down; returns once all clients are answered and closed, or the time is over.

        `work` is None if other gateways cannot take over requests.
        """
        duration_us = self.duration_us()
        self.exchanges.cap_deadlines(now_us() + duration_us)
        self.events.post(ShutdownStarted(duration_us))
        if work:
            work.start_draining()
        await asyncio.sleep(NEW_CONNECTION_GRACE_S)
        self.clients.start_draining()
        await self.wait_for_clients()
        if work:
            # Clients of another gateway may wait for the result of work that was transferred to this one.
            work.release_unfinished()

    def duration_us(self) -> int:
        """The time in which all requests must end."""
        longest_deadline_us = max((rule.deadline_us for rule in self.settings.classes), default=0)
        return max(MIN_DRAIN_US, longest_deadline_us) + DRAIN_EXTRA_US

    async def wait_for_clients(self) -> None:
        """Wait until no client is connected, or none that remains has an unanswered request."""
        while not await self.clients.wait_closed(CLIENT_CLOSE_GRACE_S):
            # A connection that has not carried a request may still receive one.
            is_owed = self.clients.needs_time() and now_us() < self.exchanges.drain_end_us
            if not self.exchanges.unanswered and not is_owed:
                log.warning("%d clients stay connected without a request", len(self.clients.connections))
                return
