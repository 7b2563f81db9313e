"""Gossip between gateways about the health of the servers that they share.

Where many gateways share the servers, a single gateway sends too few attempts to a server to judge its
health; all of them together send enough. Each gateway therefore summarizes what it observed during a short
span in a `HealthDigest`, and sends it once to each peer, in the datagrams that carry its quota messages.

A digest holds only what its sender observed itself, so that no observation is relayed and counted twice. A
lost digest is missed by one peer only, and the next digest makes up for it. Times are microseconds of the
host's clock.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from thistletrail.policy.events import HealthDigest, ServerObservation

# The span that a digest covers. It is long enough for one gateway to make some attempts, and shorter than an
# overload takes to build up.
DIGEST_SPAN_US = 600_000

# A sender's last digest and its in-flight counts are retained for this long. It is well below the time after
# which serial numbers repeat (SERIAL_COUNT spans), so that a repeated number within it marks a duplicate.
DIGEST_FRESH_US = 2_000_000

# A lasting failure is reported for this long. A digest may reach only some of the peers, and a peer that has
# restarted since has lost it, so it takes several digests until all peers have been notified.
FAILURE_REPORTED_US = 2_400_000

SERIAL_COUNT = 256  # The serial number of a digest is one byte of a peer datagram.

# A fingerprint is two bytes of a peer datagram: observations take up most of a digest, so they must be short.
FINGERPRINT_MASK = 0xFFFF


def fingerprint(name: str) -> int:
    """The checksum (16 bits) that identifies the server `name` to peers; several names may share one."""
    return zlib.crc32(name.encode()) & FINGERPRINT_MASK


def by_fingerprint(names: Iterable[str]) -> dict[int, str]:
    """Server names by their fingerprints, without the names that share a fingerprint with another."""
    names_by_fingerprint: dict[int, list[str]] = {}
    for name in names:
        names_by_fingerprint.setdefault(fingerprint(name), []).append(name)
    return {number: matches[0] for number, matches in names_by_fingerprint.items() if len(matches) == 1}


@dataclass(slots=True)
class ServerTotals:
    """This gateway's observations of one server since the last digest was closed."""

    latency_ratio_sum: float = 0.0  # each answer adds its latency over its class's latency objective
    successes: int = 0
    failures: int = 0

    def to_observation(self, name: str, in_flight: int) -> ServerObservation:
        """An observation of the server `name` for a digest, with the attempts in flight to it."""
        mean_latency_ratio = self.latency_ratio_sum / max(1, self.successes)
        return ServerObservation(
            fingerprint(name), mean_latency_ratio, self.successes, self.failures, in_flight
        )


@dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """The serial number of the last digest that a peer sent, and the time of its arrival."""

    serial: int
    received_us: int


@dataclass(frozen=True, slots=True)
class InFlightReport:
    """A peer's observations of servers to which it had attempts in flight, and the time of their arrival."""

    received_us: int
    observations: tuple[ServerObservation, ...]


class HealthGossip:
    """Builds this gateway's digests, tracks which peers were sent them, and sums peers' in-flight counts."""

    def __init__(self, peer_count: int, first_serial: int) -> None:
        """Start without observations; `peer_count` is the number of other gateways.

        `first_serial` should differ from one start of this process to the next, so that peers do not take
        its first digest for a duplicate.
        """
        self.peer_count = peer_count

        self.serial = first_serial % SERIAL_COUNT
        self.digest: HealthDigest | None = None  # the digest being sent; None if nothing was observed
        self.peers_sent: set[int] = set()  # peers to which this digest was sent
        self.closed_us = 0  # the time at which this digest was closed

        self.totals: dict[str, ServerTotals] = {}  # by server name, since the last digest
        self.occupancy_sum = 0.0
        self.occupancy_samples = 0
        # By server name: the time of the last lasting failure, if the server has not answered since.
        self.lasting_failures: dict[str, int] = {}

        self.received: dict[int, ReceivedDigest] = {}  # by sender
        self.in_flight_reports: dict[int, InFlightReport] = {}  # by sender
        self.in_flight_totals: dict[int, int] = {}  # by fingerprint, over all senders; no entry for 0

    def record_answer(self, name: str, latency_ratio: float) -> None:
        """Count a server's answer, or a time-out that the request caused and not the server, as a success.

        `latency_ratio` is its latency over the class's latency objective.
        """
        totals = self.totals.setdefault(name, ServerTotals())
        totals.latency_ratio_sum += latency_ratio
        totals.successes += 1
        self.lasting_failures.pop(name, None)

    def record_failure(self, name: str, now_us: int, is_lasting: bool) -> None:
        """Count a failed attempt at a server.

        `is_lasting` marks a failure that is caused by the server, which rejects requests or accepts no
        connection. It is reported in the following digests as well, until the server answers or
        FAILURE_REPORTED_US have passed.
        """
        self.totals.setdefault(name, ServerTotals()).failures += 1
        if is_lasting:
            self.lasting_failures[name] = now_us

    def record_occupancy(self, occupancy: float) -> None:
        """Add a sample of the occupancy signal of overload control, from 0 to 1."""
        self.occupancy_sum += occupancy
        self.occupancy_samples += 1

    def close_digest(self, now_us: int, in_flight: Iterable[tuple[str, int]]) -> None:
        """Make a digest of the observations, unless the last one is younger than DIGEST_SPAN_US.

        `in_flight` pairs server names with this gateway's attempts in flight to them.
        """
        if now_us - self.closed_us < DIGEST_SPAN_US:
            return
        self.closed_us = now_us
        self.peers_sent.clear()
        self._repeat_lasting_failures(now_us)
        self.digest = self._make_digest({name: count for name, count in in_flight if count})
        self._discard_totals()

    def _repeat_lasting_failures(self, now_us: int) -> None:
        """Count each lasting failure in the digest that is being closed, and drop those that have expired."""
        self.lasting_failures = {
            name: failed_us
            for name, failed_us in self.lasting_failures.items()
            if now_us - failed_us < FAILURE_REPORTED_US
        }
        for name in self.lasting_failures:
            totals = self.totals.setdefault(name, ServerTotals())
            totals.failures = max(1, totals.failures)

    def _make_digest(self, in_flight: dict[str, int]) -> HealthDigest | None:
        """A digest with the next serial number, or None where there is nothing to report.

        Observations are sorted by failures, most first, as a datagram may not have room for all of them.
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
        """The present digest, which counts as sent to this peer; None if it was sent before or is empty."""
        if peer in self.peers_sent:
            return None
        self.peers_sent.add(peer)
        return self.digest

    def accept(self, sender: int, digest: HealthDigest, now_us: int) -> bool:
        """Replace a sender's in-flight counts by those of its digest.

        A duplicate of the sender's last digest changes nothing and returns False.
        """
        previous = self.received.get(sender)
        if previous and previous.serial == digest.serial and now_us - previous.received_us < DIGEST_FRESH_US:
            return False
        self.received[sender] = ReceivedDigest(digest.serial, now_us)
        self._remove_in_flight(sender)
        self._add_in_flight(sender, digest, now_us)
        return True

    def _add_in_flight(self, sender: int, digest: HealthDigest, now_us: int) -> None:
        observations = tuple(observation for observation in digest.observations if observation.in_flight)
        self.in_flight_reports[sender] = InFlightReport(now_us, observations)
        for observation in observations:
            in_flight_at_others = self.in_flight_totals.get(observation.server, 0)
            self.in_flight_totals[observation.server] = in_flight_at_others + observation.in_flight

    def _remove_in_flight(self, sender: int) -> None:
        report = self.in_flight_reports.pop(sender, None)
        if report is None:
            return
        for observation in report.observations:
            remaining = self.in_flight_totals[observation.server] - observation.in_flight
            self.in_flight_totals[observation.server] = remaining
            if not remaining:
                del self.in_flight_totals[observation.server]

    def discard_stale(self, now_us: int) -> None:
        """Discard peers' in-flight counts and this gateway's observations older than DIGEST_FRESH_US.

        In-flight counts of that age are no longer true, or their sender has ended. Observations reach that
        age where no message was sent that could carry them; they would accumulate with every new server.
        """
        stale = [
            sender
            for sender, report in self.in_flight_reports.items()
            if now_us - report.received_us > DIGEST_FRESH_US
        ]
        for sender in stale:
            self._remove_in_flight(sender)
        if now_us - self.closed_us > DIGEST_FRESH_US:
            self.closed_us = now_us
            self.digest = None
            self.lasting_failures = {}
            self._discard_totals()

    def in_flight_at(self, server: int) -> float:
        """An estimate of the attempts that all peers have in flight at a server, given by its fingerprint.

        Peers without a recent report are assumed to have as many as the mean of those with one. The estimate
        is 0.0 if no peer has reported.
        """
        reporting_peers = len(self.in_flight_reports)
        if not reporting_peers:
            return 0.0
        return self.in_flight_totals.get(server, 0) * self.peer_count / reporting_peers
