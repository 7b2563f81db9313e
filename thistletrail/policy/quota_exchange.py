"""Outgoing messages between the gateways of a customer's set and its quota owner."""

from thistletrail.policy.actions import SendPeerMessage
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.health_gossip import HealthGossip
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.quota import CustomerQuota
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

SILENCE_THRESHOLD_US = 500_000  # A peer that sends nothing for this long after a quota request is silent.
SILENT_PEER_RETRY_US = 300_000  # The interval between quota requests to a silent peer.
MAX_MESSAGE_SPACING_US = 80_000  # Upper bound of the spacing (the minimum interval) of messages to one peer.


class QuotaExchange:
    """Collects quota messages by peer, sends them at intervals, and tracks which peers do not answer."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        servers: ServerSet,
        gossip: HealthGossip,
        incarnations: Incarnations,
    ) -> None:
        self.context = context
        self.servers = servers
        self.gossip = gossip
        self.incarnations = incarnations
        self.gateway_index = settings.gateway_index
        # With this spacing, all peers together take half of a gateway's message intake. In a large fleet the
        # spacing would be too long and is bounded.
        half_intake_spacing_us = (
            2 * MICROSECONDS_PER_SECOND * (settings.gateway_count - 1) / max(1, settings.peer_messages_per_s)
        )
        self.message_spacing_us = min(MAX_MESSAGE_SPACING_US, half_intake_spacing_us)
        self.outgoing: dict[int, list[QuotaMessage]] = {}  # by peer
        self.last_sent_us: dict[int, int] = {}  # by peer
        self.unanswered_since_us: dict[int, int] = {}  # by peer: the oldest request with no message since
        self.last_requested_us: dict[int, int] = {}  # by peer

    def record_message_from(self, peer: int) -> None:
        """Note that a peer has sent a message; whatever its contents, the peer is no longer silent."""
        self.unanswered_since_us.pop(peer, None)

    def is_silent(self, peer: int) -> bool:
        """Whether a peer is not to be sent a quota request now, as it has not answered the last ones.

        That is a peer without any message for SILENCE_THRESHOLD_US since a quota request, such as one that
        restarts. Every SILENT_PEER_RETRY_US this is False, so that it is sent another quota request.
        """
        now_us = self.context.now_us
        if now_us - self.unanswered_since_us.get(peer, now_us) <= SILENCE_THRESHOLD_US:
            return False
        return now_us - self.last_requested_us.get(peer, 0) < SILENT_PEER_RETRY_US

    def request_units(self, customer: CustomerQuota, units: float) -> None:
        """Send the quota owner a quota request: a report that requests its answer on that many units."""
        self.unanswered_since_us.setdefault(customer.owner, self.context.now_us)
        self.last_requested_us[customer.owner] = self.context.now_us
        self.report(customer, units)

    def report(self, customer: CustomerQuota, requested: float = 0.0) -> None:
        """Report this gateway's demand and spending since the last report to the quota owner.

        `requested` is the number of units that a client's request needs, for which the owner's answer is
        requested; 0.0 is a report alone. At the quota owner itself there is nothing to report.
        """
        if customer.owner != self.gateway_index:
            message = QuotaMessage(
                *customer.key,
                is_answer=False,
                demand=customer.unreported_demand,
                spent=customer.unreported_spending,
                requested=requested,
                level=customer.set_level,
            )
            self.enqueue(customer.owner, message)
        customer.clear_unreported()

    def answer(self, peer: int, customer: CustomerQuota, requested: float, granted: float) -> None:
        """As the quota owner, answer a peer with the customer's figures and the ceiling units granted."""
        message = QuotaMessage(
            *customer.key,
            is_answer=True,
            demand=customer.demand,
            spent=granted,
            requested=requested,
            level=customer.set_level,
        )
        self.enqueue(peer, message)
        customer.clear_unreported()

    def enqueue(self, peer: int, message: QuotaMessage) -> None:
        """Queue a message for a peer; one to this gateway itself is dropped."""
        if peer != self.gateway_index:
            self.outgoing.setdefault(peer, []).append(message)

    def schedule_message(self, peer: int) -> None:
        """Have a message sent to a peer, even without quota messages, to carry announcement and digest."""
        self.outgoing.setdefault(peer, [])

    def send_due(self) -> None:
        """Send the queued messages of each peer whose spacing is over.

        Each message also carries this gateway's announcement and its health digest, where the peer is to get
        them.
        """
        now_us = self.context.now_us
        due = [
            peer
            for peer in self.outgoing
            if now_us - self.last_sent_us.get(peer, -MICROSECONDS_PER_SECOND) >= self.message_spacing_us
        ]
        for peer in due:
            self.last_sent_us[peer] = now_us
            in_flight = ((name, len(server.in_flight)) for name, server in self.servers.by_name.items())
            self.gossip.close_digest(now_us, in_flight)
            announcements = self.incarnations.announcements_for(peer, now_us)
            messages = (*announcements, *self.outgoing.pop(peer))
            self.context.emit(SendPeerMessage(peer, messages, self.gossip.digest_for(peer)))
