"""Incarnations of gateways: which gateway has restarted, and so has lost what it knew of its customers.

Each start of a gateway draws an incarnation number. A gateway announces it in a quota message whose set is
empty (`set_size` 0), with these fields:

- `customer`: the incarnation number;
- `demand`: for how many seconds the gateway has been serving requests;
- `is_answer`: whether it knows that it has restarted, and need not be told.

Gateways that start together also begin to serve together. One that has served for a clearly shorter time than
a peer has therefore restarted, and does not know what was spent before. Times are microseconds of the host's
clock.
"""

import random
from typing import NamedTuple

from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.units import MICROSECONDS_PER_SECOND

# For how long after its first request a gateway announces itself with every message: several to each peer.
ANNOUNCED_US = 2 * MICROSECONDS_PER_SECOND

# The least difference in age that shows a restart: of gateways that start together, one may get its first
# request so much later, as a customer with few requests comes to it.
MIN_AGE_DIFFERENCE_US = 2 * MICROSECONDS_PER_SECOND

# For how long after a start the fleet counts as recovering: clients go on retrying for about as long.
RECOVERY_US = 5 * MICROSECONDS_PER_SECOND

# The longest time announced: what the field of a quota message can hold (2**15 / 50 s, rounded down), and far
# longer than any bucket takes to fill.
MAX_ANNOUNCED_AGE_S = 600.0

ANNOUNCEMENTS_PER_INCARNATION = 2  # sent to a peer with a new incarnation; one of them may be lost

NO_REQUEST_YET_US = -1  # in place of a time


class PeerIncarnation(NamedTuple):
    """A peer's last announcement: its incarnation number, and since when it has been serving requests."""

    incarnation: int
    serving_since_us: int


class Incarnations:
    """This gateway's incarnation and the last announced one of each peer."""

    def __init__(self, generator: random.Random) -> None:
        """Draws the own incarnation number (32 bits) from `generator`."""
        self.incarnation = generator.getrandbits(32)
        self.first_request_us = NO_REQUEST_YET_US  # when the first request came, or a peer's first message
        self.has_restarted = False
        self.recovering_until_us = 0
        self.peers: dict[int, PeerIncarnation] = {}
        self.announcements_due: dict[int, int] = {}  # by peer: how many more it is sent

    def note_first_request(self, now: int) -> None:
        """A request came, or a message of a peer; only the first one counts."""
        if self.first_request_us >= 0:
            return
        self.first_request_us = now
        self.recovering_until_us = now + RECOVERY_US

    def note_restart(self, now: int) -> None:
        """This gateway knows that it has restarted, as it found a snapshot of its predecessor."""
        self.note_first_request(now)
        self.has_restarted = True

    def announcements_for(self, peer: int, now: int) -> tuple[QuotaMessage, ...]:
        """What goes along with a message to a peer: the announcement of this incarnation, or nothing.

        It goes to every peer while this gateway is young, and to a peer with a new incarnation.
        """
        due = self.announcements_due.pop(peer, 0)
        if due > 1:
            self.announcements_due[peer] = due - 1
        is_young = self.first_request_us < 0 or self.first_request_us > now - ANNOUNCED_US
        if not due and not is_young:
            return ()
        return (QuotaMessage(self.incarnation, 0, 0, 0, self.has_restarted, demand=self._age_s(now)),)

    def _age_s(self, now: int) -> float:
        """For how long this gateway has been serving, in seconds, as far as a message can hold it."""
        if self.first_request_us < 0:
            return 0.0
        return min(MAX_ANNOUNCED_AGE_S, (now - self.first_request_us) / MICROSECONDS_PER_SECOND)

    def receive(self, sender: int, announcement: QuotaMessage, now: int) -> bool:
        """Take in a peer's announcement: whether the peer is to be sent a message at once.

        That is so where its incarnation is new here, it has restarted since this gateway began to serve, and
        it does not know that yet. An announcement by every gateway that is merely older would reach it by the
        dozen, at its worst moment.
        """
        age_us = round(max(0.0, announcement.demand) * MICROSECONDS_PER_SECOND)
        serving_since_us = now - age_us
        last = self.peers.get(sender)
        self.peers[sender] = PeerIncarnation(announcement.customer, serving_since_us)

        peer_is_older = serving_since_us + MIN_AGE_DIFFERENCE_US < self.first_request_us
        if self.first_request_us >= 0 and peer_is_older:
            self.has_restarted = True

        if last and last.incarnation == announcement.customer:
            return False
        self.announcements_due[sender] = ANNOUNCEMENTS_PER_INCARNATION
        if not self.is_younger(sender):
            return False
        self.recovering_until_us = now + RECOVERY_US
        return not announcement.is_answer

    def is_recovering(self, now: int) -> bool:
        """Whether this gateway, or a peer that announced itself, has started less than RECOVERY_US ago."""
        return now < self.recovering_until_us

    def is_younger(self, peer: int) -> bool:
        """Whether a peer has restarted since this gateway began to serve."""
        known = self.peers.get(peer)
        if known is None or self.first_request_us < 0:
            return False
        return self.first_request_us + MIN_AGE_DIFFERENCE_US < known.serving_since_us

    def has_lost_state(self, peer: int, now: int) -> bool:
        """Whether a peer has restarted so lately that it knows little of its customers.

        What it knew before is lost, and it has not seen much since.
        """
        return self.is_younger(peer) and now - self.peers[peer].serving_since_us < RECOVERY_US
