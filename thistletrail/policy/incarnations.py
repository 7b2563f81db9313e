"""Incarnations of gateways: detects which gateways have restarted and lost the state of their customers.

Each start of a gateway draws an incarnation number. A gateway announces it in a quota message whose set is
empty (`set_size` 0), with these fields:

- `customer`: the incarnation number;
- `demand`: for how many seconds the gateway has been serving requests;
- `is_answer`: whether it knows that it has restarted, so that no peer needs to notify it.

Gateways that start together also begin to serve together. A gateway that has served for a clearly shorter
time than a peer has therefore restarted, and does not know what was spent before. Times are microseconds of
the host's clock.
"""

import random
from typing import NamedTuple

from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

# A gateway announces itself with every message for this long after its first request, so that each peer gets
# several announcements.
ANNOUNCED_US = 2 * MICROSECONDS_PER_SECOND

# The minimum difference in age that shows a restart. Of gateways that start together, one may get its first
# request later by almost this much, if its customers send few requests.
MIN_AGE_DIFFERENCE_US = 2 * MICROSECONDS_PER_SECOND

# The fleet counts as recovering for this long after a start, as clients continue to retry for about as long.
RECOVERY_US = 5 * MICROSECONDS_PER_SECOND

# The longest serving time that is announced. It fits the field of a quota message (below 2**15 / 50 s), and
# is far longer than any bucket takes to refill.
MAX_ANNOUNCED_AGE_S = 600.0

# Announcements that are sent to a peer with a new incarnation; the second one makes up for a lost message.
ANNOUNCEMENTS_PER_INCARNATION = 2

NO_REQUEST_YET_US = -1  # Stands for the time of the first request before there is one.


class PeerIncarnation(NamedTuple):
    """A peer's last announcement: its incarnation number, and the time at which it began to serve."""

    incarnation: int
    serving_since_us: int


class Incarnations:
    """This gateway's incarnation, and the last incarnation that each peer has announced."""

    def __init__(self, generator: random.Random) -> None:
        """Draw this gateway's incarnation number (32 bits) from `generator`."""
        self.incarnation = generator.getrandbits(32)
        self.first_request_us = NO_REQUEST_YET_US  # the time of the first request or first message of a peer
        self.has_restarted = False
        self.recovering_until_us = 0
        self.peers: dict[int, PeerIncarnation] = {}
        self.announcements_due: dict[int, int] = {}  # by peer: the number of announcements yet to be sent

    def note_first_request(self, now_us: int) -> None:
        """Note a request or a message of a peer as the begin of serving; later calls have no effect."""
        if self.first_request_us >= 0:
            return
        self.first_request_us = now_us
        self.recovering_until_us = now_us + RECOVERY_US

    def note_restart(self, now_us: int) -> None:
        """Note that this gateway has restarted, as it found a snapshot of its predecessor."""
        self.note_first_request(now_us)
        self.has_restarted = True

    def announcements_for(self, peer: int, now_us: int) -> tuple[QuotaMessage, ...]:
        """The announcement that a message to this peer is to carry, or nothing.

        Every peer is sent the announcement until ANNOUNCED_US after the first request, and a peer with a new
        incarnation after that as well. An announcement that is returned counts as sent.
        """
        due = self.announcements_due.pop(peer, 0)
        if due > 1:
            self.announcements_due[peer] = due - 1
        is_young = self.first_request_us < 0 or self.first_request_us > now_us - ANNOUNCED_US
        if not due and not is_young:
            return ()
        return (QuotaMessage(self.incarnation, 0, 0, 0, self.has_restarted, demand=self._age_s(now_us)),)

    def _age_s(self, now_us: int) -> float:
        """The time since the first request in seconds, at most MAX_ANNOUNCED_AGE_S; 0.0 before it."""
        if self.first_request_us < 0:
            return 0.0
        return min(MAX_ANNOUNCED_AGE_S, (now_us - self.first_request_us) / MICROSECONDS_PER_SECOND)

    def receive(self, sender: int, announcement: QuotaMessage, now_us: int) -> bool:
        """Handle a peer's announcement; True if the peer is to be sent a message at once.

        That is so if its incarnation is new to this gateway, it has restarted since this gateway began to
        serve, and it does not know that yet. If every older gateway replied to every new incarnation, a
        restarted gateway would get dozens of messages while it is busiest.
        """
        age_us = round(max(0.0, announcement.demand) * MICROSECONDS_PER_SECOND)
        serving_since_us = now_us - age_us
        previous = self.peers.get(sender)
        self.peers[sender] = PeerIncarnation(announcement.customer, serving_since_us)

        peer_is_older = serving_since_us + MIN_AGE_DIFFERENCE_US < self.first_request_us
        if self.first_request_us >= 0 and peer_is_older:
            self.has_restarted = True

        if previous and previous.incarnation == announcement.customer:
            return False
        self.announcements_due[sender] = ANNOUNCEMENTS_PER_INCARNATION
        if not self.is_younger(sender):
            return False
        self.recovering_until_us = now_us + RECOVERY_US
        return not announcement.is_answer

    def is_recovering(self, now_us: int) -> bool:
        """Whether this gateway began to serve, or learned of a peer's restart, less than RECOVERY_US ago."""
        return now_us < self.recovering_until_us

    def is_younger(self, peer: int) -> bool:
        """Whether a peer has restarted since this gateway began to serve."""
        announced = self.peers.get(peer)
        if announced is None or self.first_request_us < 0:
            return False
        return self.first_request_us + MIN_AGE_DIFFERENCE_US < announced.serving_since_us

    def has_lost_state(self, peer: int, now_us: int) -> bool:
        """Whether a peer has restarted less than RECOVERY_US ago.

        Such a peer has lost what it knew of its customers before, and has seen few requests since.
        """
        return self.is_younger(peer) and now_us - self.peers[peer].serving_since_us < RECOVERY_US
