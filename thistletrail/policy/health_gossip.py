"""Gossip between gateways about the health of the servers that they share.

Where many gateways share the servers, each one alone sends too few attempts to a server to judge it by; all
of them together send plenty. Each gateway therefore sums up what it observed during a short span in a
`HealthDigest`, and sends it along with the quota messages that it has for its peers anyway, once to each.

A digest holds only what its sender observed itself, so that no observation is relayed and counted twice. A
lost digest is missed by one peer, and the next one makes up for it. Times are microseconds of the host's
clock.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from thistletrail.policy.events import HealthDigest, ServerObservation

# What a digest spans: long enough for some attempts of one gateway, shorter than an overload takes to build.
DIGEST_SPAN_US = 600_000

# For how long a sender's last digest and its in-flight counts are remembered. It is well below the time after
# which serial numbers repeat (SERIAL_COUNT spans), so that a repeated serial within it is a duplicate.
DIGEST_FRESH_US = 2_000_000

# For how long a lasting failure is reported: a digest reaches only some of the peers, and one that has
# restarted since knows of none, so it takes a few digests until all have been told.
FAILURE_REPORTED_US = 2_400_000

SERIAL_COUNT = 256  # serial numbers of digests; they are one byte in a peer datagram

FINGERPRINT_MASK = 0xFFFF  # two bytes a server in a peer datagram, as observations are most of a digest


def fingerprint(name: str) -> int:
    """The checksum (16 bits) by which peers refer to the server `name`; several names may share one."""
    return zlib.crc32(name.encode()) & FINGERPRINT_MASK


def by_fingerprint(names: Iterable[str]) -> dict[int, str]:
    """Server names by their fingerprints, without the names that share a fingerprint with another."""
    names_of: dict[int, list[str]] = {}
    for name in names:
        names_of.setdefault(fingerprint(name), []).append(name)
    return {number: same[0] for number, same in names_of.items() if len(same) == 1}


@dataclass(slots=True)
class ServerTotals:
    """What was observed of one server since the last digest was closed."""

    latency_ratio_sum: float = 0.0  # of the answers' latencies, each over its class's latency objective
    successes: int = 0
    failures: int = 0

    def to_observation(self, name: str, in_flight: int) -> ServerObservation:
        """These totals as they stand in a digest, with the attempts that are in flight at the server."""
        mean_latency_ratio = self.latency_ratio_sum / max(1, self.successes)
        return ServerObservation(
            fingerprint(name), mean_latency_ratio, self.successes, self.failures, in_flight
        )


@dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """The last digest that came from a peer: its serial number, and when it came."""

    serial: int
    received_us: int


@dataclass(frozen=True, slots=True)
class InFlightReport:
    """The attempts that a peer had in flight, by server, and when it reported them."""

    received_us: int
    observations: tuple[ServerObservation, ...]


class HealthGossip:
    """Collects this gateway's digest, tracks which peers have it, and keeps what peers have in flight."""

    def __init__(self, peer_count: int, first_serial: int) -> None:
        """`peer_count` counts the other gateways.

        `first_serial` should differ from one start of this process to the next, so that peers do not take
        its first digest for a duplicate.
        """
        self.peer_count = peer_count

        self.serial = first_serial % SERIAL_COUNT
        self.digest: HealthDigest | None = None  # the digest that is being sent; None: nothing was observed
        self.peers_sent: set[int] = set()  # peers that this digest was sent to
        self.closed_us = 0  # when it was closed

        self.totals: dict[str, ServerTotals] = {}  # by server name, since the last digest
        self.occupancy_sum = 0.0
        self.occupancy_samples = 0
        self.lasting_failures: dict[
            str, int
        ] = {}  # by server name: when it last failed, with no answer since

        self.received: dict[int, ReceivedDigest] = {}  # by sender
        self.in_flight_reports: dict[int, InFlightReport] = {}  # by sender
        self.in_flight_totals: dict[int, int] = {}  # by fingerprint, over all senders; no entry for 0

    def record_answer(self, name: str, latency_ratio: float) -> None:
        """A server answered, `latency_ratio` being its latency over the latency objective of the class."""
        totals = self.totals.setdefault(name, ServerTotals())
        totals.latency_ratio_sum += latency_ratio
        totals.successes += 1
        self.lasting_failures.pop(name, None)

    def record_failure(self, name: str, now: int, lasts: bool) -> None:
        """An attempt at a server failed.

        `lasts` where the cause lies with the server, as it rejects requests or accepts no connection: this is
        reported again in the next digests, until the server answers or FAILURE_REPORTED_US are over.
        """
        self.totals.setdefault(name, ServerTotals()).failures += 1
        if lasts:
            self.lasting_failures[name] = now

    def record_occupancy(self, occupancy: float) -> None:
        """A sample of the occupancy signal of overload control, from 0 to 1."""
        self.occupancy_sum += occupancy
        self.occupancy_samples += 1

    def close_digest(self, now: int, in_flight: Iterable[tuple[str, int]]) -> None:
        """Make a digest of what was observed, unless the last one is younger than DIGEST_SPAN_US.

        `in_flight` are the attempts of this gateway in flight, by server name.
        """
        if now - self.closed_us < DIGEST_SPAN_US:
            return
        self.closed_us = now
        self.peers_sent.clear()
        self._repeat_lasting_failures(now)
        self.digest = self._make_digest({name: count for name, count in in_flight if count})
        self._discard_totals()

    def _repeat_lasting_failures(self, now: int) -> None:
        """Count a lasting failure in each digest for as long as it is to be reported."""
        self.lasting_failures = {
            name: failed_us
            for name, failed_us in self.lasting_failures.items()
            if now - failed_us < FAILURE_REPORTED_US
        }
        for name in self.lasting_failures:
            totals = self.totals.setdefault(name, ServerTotals())
            totals.failures = max(1, totals.failures)

    def _make_digest(self, in_flight: dict[str, int]) -> HealthDigest | None:
        """A digest with the next serial number, or None where there is nothing to report.

        Observations with the most failures come first, as a datagram may not have room for all.
        """
        if not (self.totals or self.occupancy_samples or in_flight):
            return None
        self.serial = (self.serial + 1) % SERIAL_COUNT
        observations = [
            self.totals.get(name, ServerTotals()).to_observation(name, in_flight.get(name, 0))
            for name in {**self.totals, **in_flight}
        ]
        observations.sort(key=lambda observation: -observation.failures)
        mean_occupancy = self.occupancy_sum / max(1, self.occupancy_samples)
        return HealthDigest(self.serial, mean_occupancy, self.occupancy_samples, tuple(observations))

    def _discard_totals(self) -> None:
        self.totals = {}
        self.occupancy_sum = 0.0
        self.occupancy_samples = 0

    def digest_for(self, peer: int) -> HealthDigest | None:
        """The present digest, if there is one and it was not yet sent to this peer; it counts as sent now."""
        if peer in self.peers_sent:
            return None
        self.peers_sent.add(peer)
        return self.digest

    def accept(self, sender: int, digest: HealthDigest, now: int) -> bool:
        """Take in the in-flight counts of a peer's digest; False, and no change, for a duplicate."""
        last = self.received.get(sender)
        if last and last.serial == digest.serial and now - last.received_us < DIGEST_FRESH_US:
            return False
        self.received[sender] = ReceivedDigest(digest.serial, now)
        self._forget_in_flight(sender)
        self._add_in_flight(sender, digest, now)
        return True

    def _add_in_flight(self, sender: int, digest: HealthDigest, now: int) -> None:
        observations = tuple(observation for observation in digest.observations if observation.in_flight)
        self.in_flight_reports[sender] = InFlightReport(now, observations)
        for observation in observations:
            others = self.in_flight_totals.get(observation.server, 0)
            self.in_flight_totals[observation.server] = others + observation.in_flight

    def _forget_in_flight(self, sender: int) -> None:
        report = self.in_flight_reports.pop(sender, None)
        if report is None:
            return
        for observation in report.observations:
            left = self.in_flight_totals[observation.server] - observation.in_flight
            self.in_flight_totals[observation.server] = left
            if not left:
                del self.in_flight_totals[observation.server]

    def forget_stale(self, now: int) -> None:
        """Forget in-flight counts and own observations that are older than DIGEST_FRESH_US.

        In-flight counts that old are no longer true, or their sender has ended. Own observations grow that
        old where no message went out that could carry them; they would pile up with every new server.
        """
        stale = [
            sender
            for sender, report in self.in_flight_reports.items()
            if now - report.received_us > DIGEST_FRESH_US
        ]
        for sender in stale:
            self._forget_in_flight(sender)
        if now - self.closed_us > DIGEST_FRESH_US:
            self.closed_us = now
            self.digest = None
            self.lasting_failures = {}
            self._discard_totals()

    def in_flight_at(self, server: int) -> float:
        """The attempts that all peers have in flight at a server (by its fingerprint), as an estimate.

        Peers without a fresh report are taken to be like those that have one; 0.0 where no peer has.
        """
        reporting_peers = len(self.in_flight_reports)
        if not reporting_peers:
            return 0.0
        return self.in_flight_totals.get(server, 0) * self.peer_count / reporting_peers
