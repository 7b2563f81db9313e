"""Peer datagrams: quota messages and health digests as bytes, in network byte order.

A datagram is at most MAX_DATAGRAM_BYTES long, and holds

- one byte: the number of quota messages;
- so many quota messages, each as in `QUOTA_MESSAGE`;
- where it carries a digest, the digest's head as in `DIGEST_HEAD`, and after it observations as in
  `OBSERVATION` up to the end of the datagram.

Amounts, ratios and counts that a field cannot hold are clipped to the nearest that it can; serials wrap
round. Gateways of different versions exchange these datagrams, so their form must not change.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from thistletrail.policy.events import HealthDigest, QuotaMessage, ServerObservation

MAX_DATAGRAM_BYTES = 256  # the longest that the network between gateways allows
COUNT_BYTES = 1  # the number of quota messages

# Customer checksum, plan, first gateway and size of the set, is_answer; demand, spent, requested and level.
QUOTA_MESSAGE = struct.Struct("!IBHHBhhhh")
AMOUNT_STEPS = 50  # the steps of one unit (or second) in an amount: fine enough for quotas of a unit a second
MIN_AMOUNT_STEPS, MAX_AMOUNT_STEPS = -(1 << 15), (1 << 15) - 1  # of a signed 16-bit field

DIGEST_HEAD = struct.Struct("!BBB")  # serial, occupancy, samples
OBSERVATION = struct.Struct("!HBBB")  # server fingerprint, latency ratio, both counts in one byte, in flight
RATIO_STEPS = 64  # the steps of 1 in an occupancy or a latency ratio: the largest that fits a byte is about 4
MAX_BYTE = 255
MAX_COUNT, COUNT_BITS = 15, 4  # successes in the high and failures in the low half of one byte


@dataclass(frozen=True, slots=True)
class PeerDatagram:
    """The contents of one datagram from another gateway."""

    quota_messages: tuple[QuotaMessage, ...]
    digest: HealthDigest | None


def pack_datagrams(messages: Iterable[QuotaMessage], digest: HealthDigest | None = None) -> list[bytes]:
    """The datagrams for these messages, at least one and as few as can hold them.

    The first one carries the digest, with as many of its observations, from the first on, as find room. With
    neither messages nor a digest, the one datagram is empty but for its count.
    """
    packed = [_pack_quota_message(message) for message in messages]
    head = _pack_digest_head(digest) if digest else b""
    messages_at_once = (MAX_DATAGRAM_BYTES - COUNT_BYTES - len(head)) // QUOTA_MESSAGE.size
    batches = [packed[n : n + messages_at_once] for n in range(0, len(packed), messages_at_once)] or [[]]
    datagrams = [bytes([len(batch)]) + b"".join(batch) for batch in batches]
    if digest:
        room = MAX_DATAGRAM_BYTES - len(datagrams[0]) - len(head)
        observations = digest.observations[: room // OBSERVATION.size]
        datagrams[0] += head + b"".join(map(_pack_observation, observations))
    return datagrams


def unpack_datagram(data: bytes) -> PeerDatagram | None:
    """The contents of a datagram; None where its length is none that this version writes."""
    digest_at = COUNT_BYTES + data[0] * QUOTA_MESSAGE.size if data else COUNT_BYTES
    if not _is_complete(len(data), digest_at):
        return None
    messages = tuple(map(_unpack_quota_message, QUOTA_MESSAGE.iter_unpack(data[COUNT_BYTES:digest_at])))
    has_digest = len(data) > digest_at
    return PeerDatagram(messages, _unpack_digest(data[digest_at:]) if has_digest else None)


def _is_complete(length: int, digest_at: int) -> bool:
    """Whether a datagram ends where its quota messages do, or else with the last observation of a digest."""
    if length <= digest_at:
        return length == digest_at
    observations_length = length - digest_at - DIGEST_HEAD.size
    return observations_length >= 0 and observations_length % OBSERVATION.size == 0


def _pack_quota_message(message: QuotaMessage) -> bytes:
    return QUOTA_MESSAGE.pack(
        message.customer,
        message.plan_index,
        message.set_first,
        message.set_size,
        message.is_answer,
        _to_amount_steps(message.demand),
        _to_amount_steps(message.spent),
        _to_amount_steps(message.requested),
        _to_amount_steps(message.level),
    )


def _unpack_quota_message(fields: tuple[int, ...]) -> QuotaMessage:
    customer, plan_index, set_first, set_size, is_answer, demand, spent, requested, level = fields
    return QuotaMessage(
        customer,
        plan_index,
        set_first,
        set_size,
        bool(is_answer),
        demand / AMOUNT_STEPS,
        spent / AMOUNT_STEPS,
        requested / AMOUNT_STEPS,
        level / AMOUNT_STEPS,
    )


def _pack_digest_head(digest: HealthDigest) -> bytes:
    return DIGEST_HEAD.pack(
        digest.serial & MAX_BYTE,
        _to_ratio_steps(digest.occupancy),
        min(MAX_BYTE, digest.samples),
    )


def _unpack_digest(data: bytes) -> HealthDigest:
    serial, occupancy, samples = DIGEST_HEAD.unpack_from(data)
    observations = tuple(map(_unpack_observation, OBSERVATION.iter_unpack(data[DIGEST_HEAD.size :])))
    return HealthDigest(serial, occupancy / RATIO_STEPS, samples, observations)


def _pack_observation(observation: ServerObservation) -> bytes:
    successes = min(MAX_COUNT, observation.successes)
    failures = min(MAX_COUNT, observation.failures)
    return OBSERVATION.pack(
        observation.server,
        _to_ratio_steps(observation.latency_ratio),
        successes << COUNT_BITS | failures,
        min(MAX_BYTE, observation.in_flight),
    )


def _unpack_observation(fields: tuple[int, ...]) -> ServerObservation:
    server, latency_ratio, counts, in_flight = fields
    return ServerObservation(
        server, latency_ratio / RATIO_STEPS, counts >> COUNT_BITS, counts & MAX_COUNT, in_flight
    )


def _to_amount_steps(amount: float) -> int:
    return max(MIN_AMOUNT_STEPS, min(MAX_AMOUNT_STEPS, round(amount * AMOUNT_STEPS)))


def _to_ratio_steps(ratio: float) -> int:
    return max(0, min(MAX_BYTE, round(ratio * RATIO_STEPS)))
