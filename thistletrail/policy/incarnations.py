"""Who of a fleet has started when: what a restarted gateway learns, and what its peers learn of it.

A word with a set of none tells of its sender instead of a customer: `customer` is its start mark, drawn anew
with each start, `demand` for how many seconds it has been asked, and `is_answer` whether it knows that it has
restarted, and need not be told. Gateways that start together are asked together; one that is asked for a
shorter time than a peer has restarted, and knows nothing of what was spent.
"""

import random

from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.timing import MICROSECONDS_PER_SECOND as S

YOUNG_US = 2 * S  # for which a gateway tells of its start with every message: several words to each peer
# By which a peer has to be older: a thin customer's first request may come so much later to one of the set.
OLDER_US = 2 * S
BACK_US = 5 * S  # for which a fleet is on its way back after a start: what clients retry for
MOST_SERVED_S = 600.0  # told at most: what a word holds; far longer than any store takes to fill
TIMES_TOLD = 2  # to a peer with a new mark: words may be lost


class Incarnations:
    """The own start, and the last that each peer has told of; one entry a peer."""

    def __init__(self, chance: random.Random) -> None:
        self.incarnation = chance.getrandbits(32)
        self.first_request_us = -1  # when the first request came, or a peer's first word
        self.peers: dict[int, tuple[int, int]] = {}  # mark, and since when it has been asked
        self.owed: dict[int, int] = {}  # how often the own start is still to be told
        self.has_restarted = False
        self.back_us = 0  # until when the fleet is on its way back

    def note_first_request(self, now: int) -> None:
        if self.first_request_us < 0:
            self.first_request_us, self.back_us = now, now + BACK_US

    def note_restart(self, now: int) -> None:
        """It is known to have restarted, by what its predecessor left."""
        self.note_first_request(now)
        self.has_restarted = True

    def announcements_for(self, peer: int, now: int) -> tuple[QuotaMessage, ...]:
        """What goes along with a message: the own start while it is young, or the peer is new."""
        owed = self.owed.pop(peer, 0)
        if owed > 1:
            self.owed[peer] = owed - 1
        if not owed and 0 <= self.first_request_us <= now - YOUNG_US:
            return ()
        served = 0.0 if self.first_request_us < 0 else min(MOST_SERVED_S, (now - self.first_request_us) / S)
        return (QuotaMessage(self.incarnation, 0, 0, 0, self.has_restarted, demand=served),)

    def receive(self, sender: int, word: QuotaMessage, now: int) -> bool:
        """A peer's start: whether it is new here, so much later than the own, and yet to be told so. Where
        all who are older told it, their words would come to it by the dozen, at its worst moment."""
        incarnation, since = word.customer, now - round(max(0.0, word.demand) * S)
        known = self.peers.get(sender)
        self.peers[sender] = incarnation, since
        self.has_restarted = self.has_restarted or (
            self.first_request_us >= 0 and since + OLDER_US < self.first_request_us
        )
        if known and known[0] == incarnation:
            return False
        self.owed[sender] = TIMES_TOLD
        if younger := self.is_younger(sender):
            self.back_us = now + BACK_US
        return younger and not word.is_answer

    def is_recovering(self, now: int) -> bool:
        """Whether this gateway, or a peer that it has heard of, has started a short while ago."""
        return now < self.back_us

    def is_younger(self, peer: int) -> bool:
        """Whether a peer has restarted since this gateway was first asked."""
        known = self.peers.get(peer)
        return (
            known is not None and self.first_request_us >= 0 and self.first_request_us + OLDER_US < known[1]
        )

    def has_lost_state(self, peer: int, now: int) -> bool:
        """Whether a peer has restarted since this gateway was first asked, a short while ago: what it held of
        its customers is gone, and it has not seen much since."""
        return self.is_younger(peer) and now - self.peers[peer][1] < BACK_US
