"""Incarnations of gateways: detects which gateways have restarted and lost the state of their customers.

Each start of a gateway draws an incarnation number, which depends on the seed of its settings alone: peers
recognise a new incarnation only if the seed is another one. A gateway announces the number in a quota message
whose set is empty (`set_size` 0), with these fields:

- `customer`: the incarnation number;
- `demand`: for how many seconds the gateway has been serving;
- `is_answer`: whether it knows that it has restarted, so that no peer needs to notify it.

A gateway begins to serve with its first request, with the first message of a peer, or when it restores a
snapshot, whichever is first. Gateways that start together also begin to serve together. A gateway that has
served for a clearly shorter time than a peer has therefore restarted, and does not know what was spent
before, unless it has restored a snapshot. Times are microseconds of the event clock.
"""

import random
from typing import NamedTuple

from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

# A gateway announces itself with every message for this long after it began to serve, so that each peer gets
# several announcements.
ANNOUNCED_US = 2 * MICROSECONDS_PER_SECOND

# The minimum difference in age that shows a restart. Of gateways that start together, one may get its first
# request later by almost this much, if its customers send few requests.
MIN_AGE_DIFFERENCE_US = 2 * MICROSECONDS_PER_SECOND

# The fleet counts as recovering for this long after this gateway began to serve or learned of a peer's
# restart, as clients continue to retry for about as long.
RECOVERY_US = 5 * MICROSECONDS_PER_SECOND

# The longest serving time that is announced. It fits the field of a quota message (below 2**15 / 50 s), and
# is far longer than any bucket takes to refill.
MAX_ANNOUNCED_AGE_S = 600.0

# Announcements that are sent to a peer with a new incarnation; the second one makes up for a lost message.
ANNOUNCEMENTS_PER_INCARNATION = 2

NOT_SERVING_YET_US = -1  # `serving_since_us` of a gateway that has not begun to serve


class PeerIncarnation(NamedTuple):
    """A peer's last announcement: its incarnation number, and the time at which it began to serve."""

    incarnation: int
    serving_since_us: int


class Incarnations:
    """This gateway's incarnation, and the last incarnation that each peer has announced."""

    def __init__(self, generator: random.Random) -> None:
        """Draw this gateway's incarnation number (32 bits) from `generator`."""
        self.incarnation = generator.getrandbits(32)
        self.serving_since_us = NOT_SERVING_YET_US
        self.has_restarted = False
        self.recovering_until_us = 0
        self.peers: dict[int, PeerIncarnation] = {}
        self.announcements_due: dict[int, int] = {}  # by peer: the number of announcements yet to be sent

    def note_serving(self, now_us: int) -> None:
        """Note that this gateway serves, since now if this is the first call; later ones have no effect."""
        if self.serving_since_us >= 0:
            return
        self.serving_since_us = now_us
        self.recovering_until_us = now_us + RECOVERY_US

    def note_restart(self, now_us: int) -> None:
        """Note that this gateway has restarted, as it found a snapshot of its previous process."""
        self.note_serving(now_us)
        self.has_restarted = True

    def announcements_for(self, peer: int, now_us: int) -> tuple[QuotaMessage, ...]:
        """The announcement that a message to this peer is to carry, or nothing.

        Every peer is sent the announcement until ANNOUNCED_US after this gateway began to serve. A peer that
        announces a new incarnation is sent it with the next ANNOUNCEMENTS_PER_INCARNATION messages in any
        case. An announcement that is returned counts as sent.
        """
        due = self.announcements_due.pop(peer, 0)
        if due > 1:
            self.announcements_due[peer] = due - 1
        is_young = self.serving_since_us < 0 or self.serving_since_us > now_us - ANNOUNCED_US
        if not due and not is_young:
            return ()
        return (QuotaMessage(self.incarnation, 0, 0, 0, self.has_restarted, demand=self._age_s(now_us)),)

    def _age_s(self, now_us: int) -> float:
        """How long this gateway has served, in seconds, MAX_ANNOUNCED_AGE_S at most; 0.0 if not yet."""
        if self.serving_since_us < 0:
            return 0.0
        return min(MAX_ANNOUNCED_AGE_S, (now_us - self.serving_since_us) / MICROSECONDS_PER_SECOND)

    def receive(self, sender: int, announcement: QuotaMessage, now_us: int) -> bool:
        """Handle a peer's announcement; True if the peer is to be sent a message at once.

        That is so if the peer's incarnation is new to this gateway, and the peer has restarted since this
        gateway began to serve but does not know that yet. If every older gateway replied to every new
        incarnation, a restarted gateway would get dozens of messages while it is busiest.
        """
        age_us = round(max(0.0, announcement.demand) * MICROSECONDS_PER_SECOND)
        peer_serving_since_us = now_us - age_us
        previous = self.peers.get(sender)
        self.peers[sender] = PeerIncarnation(announcement.customer, peer_serving_since_us)

        is_peer_older = peer_serving_since_us + MIN_AGE_DIFFERENCE_US < self.serving_since_us
        if self.serving_since_us >= 0 and is_peer_older:
            self.has_restarted = True

        if previous and previous.incarnation == announcement.customer:
            return False
        self.announcements_due[sender] = ANNOUNCEMENTS_PER_INCARNATION
        if not self.is_peer_younger(sender):
            return False
        self.recovering_until_us = now_us + RECOVERY_US
        return not announcement.is_answer

    def is_recovering(self, now_us: int) -> bool:
        """Whether this gateway began to serve, or learned of a peer's restart, less than RECOVERY_US ago."""
        return now_us < self.recovering_until_us

    def is_peer_younger(self, peer: int) -> bool:
        """Whether a peer has restarted since this gateway began to serve."""
        announced = self.peers.get(peer)
        if announced is None or self.serving_since_us < 0:
            return False
        return self.serving_since_us + MIN_AGE_DIFFERENCE_US < announced.serving_since_us

    def has_lost_state(self, peer: int, now_us: int) -> bool:
        """Whether a peer has restarted less than RECOVERY_US ago.

        Such a peer counts as having lost what it knew of its customers, even if it restored a snapshot, and
        has seen few requests since.
        """
        return self.is_peer_younger(peer) and now_us - self.peers[peer].serving_since_us < RECOVERY_US
