"""What the gateways of a fleet tell each other of the back end.

Where many gateways share the servers, each sees little of any one of them. All see a lot: what one saw in
a short while goes along with the words that it sends in any case, once to each peer that it has a word for.
A digest holds only what its sender saw itself, so that nothing comes round again and counts twice; one
that is lost is missed by one peer and made good by the next.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from thistletrail.policy.events import HealthDigest, ServerObservation

DIGEST_US = 600_000  # what a digest spans: some attempts of a gateway, and less than a jam takes to build up
FRESH_US = 2_000_000  # for which a sender's last digest is remembered: serial numbers come round later
SERIALS = 256
# For which a failure is told: each digest reaches but some peers, and one that restarts has heard of nothing.
FAILURE_US = 2_400_000


def fingerprint(name: str) -> int:
    """The checksum by which servers are told of: short, as it is most of a digest."""
    return zlib.crc32(name.encode()) & 0xFFFF


@dataclass(slots=True)
class Seen:
    """What was seen of one server since the last digest."""

    lags: float = 0.0
    successes: int = 0
    failures: int = 0


class HealthGossip:
    """Collects the own digest, and knows whom it has been told and whose have been heard."""

    def __init__(self, peers: int, first_serial: int) -> None:
        self.peers = peers
        self.outs: dict[
            int, tuple[int, tuple[ServerObservation, ...]]
        ] = {}  # by sender: when told, what it has out
        self.load: dict[int, int] = {}  # by mark: what all these have out together
        self.serial = first_serial % SERIALS
        self.digest: HealthDigest | None = None
        self.told: set[int] = set()  # peers that have the present digest
        self.heard: dict[int, tuple[int, int]] = {}  # by sender: its last digest and when that came
        self.seen: dict[str, Seen] = {}
        self.failed: dict[str, int] = {}  # when it last failed here, with no answer since
        self.occupancy, self.samples, self.closed_us = 0.0, 0, 0

    def record_answer(self, name: str, latency_ratio: float) -> None:
        seen = self.seen.setdefault(name, Seen())
        self.failed.pop(name, None)
        seen.lags, seen.successes = seen.lags + latency_ratio, seen.successes + 1

    def record_failure(self, name: str, now: int, lasts: bool) -> None:
        """`lasts` where it is turned away or nobody is there, which is not a matter of one attempt."""
        self.seen.setdefault(name, Seen()).failures += 1
        if lasts:
            self.failed[name] = now

    def record_occupancy(self, occupancy: float) -> None:
        self.occupancy, self.samples = self.occupancy + occupancy, self.samples + 1

    def close_digest(self, now: int, outs: Iterable[tuple[str, int]]) -> None:
        """Make what was seen so far the present digest, with the attempts out by server; the bad news first,
        should not all find room."""
        if now - self.closed_us < DIGEST_US:
            return
        self.closed_us, self.digest = now, None
        self.told.clear()
        self.failed = {name: at for name, at in self.failed.items() if now - at < FAILURE_US}
        for name in self.failed:
            seen = self.seen.setdefault(name, Seen())
            seen.failures = max(1, seen.failures)
        out = {name: count for name, count in outs if count}
        if self.seen or self.samples or out:
            self.serial = (self.serial + 1) % SERIALS
            seen = [(name, self.seen.get(name, Seen()), out.get(name, 0)) for name in {**self.seen, **out}]
            notes = [
                ServerObservation(fingerprint(name), s.lags / max(1, s.successes), s.successes, s.failures, n)
                for name, s, n in seen
            ]
            notes.sort(key=lambda note: -note.failures)
            self.digest = HealthDigest(
                self.serial, self.occupancy / max(1, self.samples), self.samples, tuple(notes)
            )
        self.seen, self.occupancy, self.samples = {}, 0.0, 0

    def digest_for(self, peer: int) -> HealthDigest | None:
        """The present digest, once."""
        if peer in self.told:
            return None
        self.told.add(peer)
        return self.digest

    def accept(self, sender: int, digest: HealthDigest, now: int) -> bool:
        """Whether it has not come before."""
        serial, at = self.heard.get(sender, (-1, 0))
        if serial == digest.serial and now - at < FRESH_US:
            return False
        self.heard[sender] = digest.serial, now
        self.take_outs(sender, now, tuple(note for note in digest.observations if note.in_flight))
        return True

    def take_outs(self, sender: int, now: int, notes: tuple[ServerObservation, ...]) -> None:
        """What a sender has out takes the place of what it had."""
        _, before = self.outs.pop(sender, (0, ()))
        for note in before:
            left = self.load[note.server] - note.in_flight
            self.load[note.server] = left
            if not left:
                del self.load[note.server]
        for note in notes:
            self.load[note.server] = self.load.get(note.server, 0) + note.in_flight
        self.outs[sender] = now, notes

    def forget_stale(self, now: int) -> None:
        """What was told long ago is not out any more, or its sender has gone; what was seen here long ago,
        with no word to send in all that time, is no news, and would grow with every server that comes."""
        for sender in [sender for sender, (at, _) in self.outs.items() if now - at > FRESH_US]:
            self.take_outs(sender, now, ())
            del self.outs[sender]
        if now - self.closed_us > FRESH_US:
            self.closed_us, self.digest, self.seen, self.failed = now, None, {}, {}
            self.occupancy, self.samples = 0.0, 0

    def in_flight_at(self, server: int) -> float:
        """Attempts that peers have out at a server, by its mark; those not heard of are taken for alike."""
        heard = len(self.outs)
        return self.load.get(server, 0) * self.peers / heard if heard else 0.0


def by_fingerprint(names: Iterable[str]) -> dict[int, str]:
    """Names by their marks, without those whose mark is not theirs alone."""
    found: dict[int, list[str]] = {}
    for name in names:
        found.setdefault(fingerprint(name), []).append(name)
    return {number: same[0] for number, same in found.items() if len(same) == 1}
