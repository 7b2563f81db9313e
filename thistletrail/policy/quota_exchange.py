"""Messages between the gateways of a customer's set and its quota owner: what leaves, and who is silent."""

from thistletrail.policy.actions import SendPeerMessage
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.health_gossip import HealthGossip
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.quota import CustomerQuota
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

SILENT_US = 500_000  # a peer that has answered no request for so long counts as silent
SILENT_RETRY_US = 300_000  # a silent peer is sent a request all the same so often
MAX_SPACING_US = 80_000  # between messages to one peer at most


class QuotaExchange:
    """Collects quota messages by peer, sends them spaced, and knows which peers do not answer."""

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
        # So that all peers of a small set together take half of a gateway's intake of messages.
        half_intake_us = (
            2 * MICROSECONDS_PER_SECOND * (settings.gateway_count - 1) / max(1, settings.peer_messages_per_s)
        )
        self.spacing_us = min(MAX_SPACING_US, half_intake_us)
        self.outgoing: dict[int, list[QuotaMessage]] = {}  # by peer
        self.last_sent_us: dict[int, int] = {}  # by peer
        self.unanswered_since_us: dict[int, int] = {}  # by peer: the first request without an answer since
        self.last_requested_us: dict[int, int] = {}  # by peer

    def record_message_from(self, peer: int) -> None:
        """A peer that sends anything is not silent."""
        self.unanswered_since_us.pop(peer, None)

    def is_silent(self, peer: int) -> bool:
        """Whether a peer has answered nothing for long, as one that restarts, and is not yet due a retry."""
        now_us = self.context.now_us
        if now_us - self.unanswered_since_us.get(peer, now_us) <= SILENT_US:
            return False
        return now_us - self.last_requested_us.get(peer, 0) < SILENT_RETRY_US

    def request_units(self, customer: CustomerQuota, units: float) -> None:
        """Request the quota owner's decision on a request of that many units."""
        self.unanswered_since_us.setdefault(customer.owner, self.context.now_us)
        self.last_requested_us[customer.owner] = self.context.now_us
        self.report(customer, units)

    def report(self, customer: CustomerQuota, requested: float = 0.0) -> None:
        """Report to the quota owner demand and spending here since the last report."""
        if customer.owner != self.gateway_index:
            message = QuotaMessage(
                *customer.key,
                is_answer=False,
                demand=customer.unreported_demand,
                spent=customer.unreported_spending,
                requested=requested,
                level=customer.set_level,
            )
            self.post(customer.owner, message)
        customer.clear_reports()

    def answer(self, peer: int, customer: CustomerQuota, requested: float, granted: float) -> None:
        """As the quota owner: answer a peer with what is known, and the units granted of its ceiling."""
        message = QuotaMessage(
            *customer.key,
            is_answer=True,
            demand=customer.demand,
            spent=granted,
            requested=requested,
            level=customer.set_level,
        )
        self.post(peer, message)
        customer.clear_reports()

    def post(self, peer: int, message: QuotaMessage) -> None:
        """Add a message to those that wait for a peer; none goes to this gateway itself."""
        if peer != self.gateway_index:
            self.outgoing.setdefault(peer, []).append(message)

    def schedule_message(self, peer: int) -> None:
        """Send a peer a message soon, if only for what goes along with it."""
        self.outgoing.setdefault(peer, [])

    def send_due(self) -> None:
        """Send what waits, at once but for the spacing by peer; restarts and observed health go along."""
        now_us = self.context.now_us
        due = [
            peer
            for peer in self.outgoing
            if now_us - self.last_sent_us.get(peer, -MICROSECONDS_PER_SECOND) >= self.spacing_us
        ]
        for peer in due:
            self.last_sent_us[peer] = now_us
            in_flight = ((name, len(server.in_flight)) for name, server in self.servers.by_name.items())
            self.gossip.close_digest(now_us, in_flight)
            announcements = self.incarnations.announcements_for(peer, now_us)
            messages = (*announcements, *self.outgoing.pop(peer))
            self.context.emit(SendPeerMessage(peer, messages, self.gossip.digest_for(peer)))
