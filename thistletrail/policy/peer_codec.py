"""Encodes quota messages and health digests as peer datagrams, in network byte order.

A datagram is at most MAX_DATAGRAM_BYTES long and consists of

- one byte: the number of quota messages;
- that number of quota messages, each in the format `QUOTA_MESSAGE`;
- in a datagram that carries a digest: the digest's head in the format `DIGEST_HEAD`, and observations in the
  format `OBSERVATION` up to the end of the datagram.

Amounts, ratios and counts out of a field's range are clipped to it; serial numbers wrap around. Gateways of
different versions exchange these datagrams, so their format must not change.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from thistletrail.policy.events import HealthDigest, QuotaMessage, ServerObservation

MAX_DATAGRAM_BYTES = 256  # The limit of the network between gateways.
COUNT_BYTES = 1  # The length of the number of quota messages.

# Customer checksum, plan, first gateway and size of the set, is_answer; demand, spent, requested and level.
QUOTA_MESSAGE = struct.Struct("!IBHHBhhhh")

# Amounts are encoded in steps of 1/50 of a unit or second: fine enough for quotas of one unit a second.
AMOUNT_STEPS_PER_UNIT = 50
MIN_AMOUNT_STEPS, MAX_AMOUNT_STEPS = -(1 << 15), (1 << 15) - 1  # The range of a signed 16-bit field.

DIGEST_HEAD = struct.Struct("!BBB")  # serial, occupancy, samples
OBSERVATION = struct.Struct("!HBBB")  # server fingerprint, latency ratio, both counts in one byte, in flight

# Occupancies and latency ratios are encoded in steps of 1/64, so that a byte can hold values up to about 4.
RATIO_STEPS_PER_UNIT = 64
MAX_BYTE = 255
MAX_COUNT, COUNT_BITS = 15, 4  # Successes are in the high and failures in the low half of one byte.


@dataclass(frozen=True, slots=True)
class PeerDatagram:
    """The contents of one datagram from another gateway."""

    quota_messages: tuple[QuotaMessage, ...]
    digest: HealthDigest | None


def pack_datagrams(messages: Iterable[QuotaMessage], digest: HealthDigest | None = None) -> list[bytes]:
    """Encode messages and a digest in as few datagrams as can hold the messages, and at least one.

    The first datagram carries the digest, with as many of its first observations as there is room for. With
    neither messages nor a digest, the only datagram consists of the message count 0.
    """
    packed = [_pack_quota_message(message) for message in messages]
    head = _pack_digest_head(digest) if digest else b""
    batch_size = (MAX_DATAGRAM_BYTES - COUNT_BYTES - len(head)) // QUOTA_MESSAGE.size
    batches = [packed[start : start + batch_size] for start in range(0, len(packed), batch_size)] or [[]]
    datagrams = [bytes([len(batch)]) + b"".join(batch) for batch in batches]
    if digest:
        room_bytes = MAX_DATAGRAM_BYTES - len(datagrams[0]) - len(head)
        observations = digest.observations[: room_bytes // OBSERVATION.size]
        datagrams[0] += head + b"".join(map(_pack_observation, observations))
    return datagrams


def unpack_datagram(data: bytes) -> PeerDatagram | None:
    """Decode a datagram; None if its length does not match its message count and the format above."""
    digest_start = COUNT_BYTES + data[0] * QUOTA_MESSAGE.size if data else COUNT_BYTES
    if not _is_complete(len(data), digest_start):
        return None
    messages = tuple(map(_unpack_quota_message, QUOTA_MESSAGE.iter_unpack(data[COUNT_BYTES:digest_start])))
    has_digest = len(data) > digest_start
    return PeerDatagram(messages, _unpack_digest(data[digest_start:]) if has_digest else None)


def _is_complete(length: int, digest_start: int) -> bool:
    """Whether a datagram ends after its quota messages, or after a digest with whole observations."""
    if length <= digest_start:
        return length == digest_start
    observations_length = length - digest_start - DIGEST_HEAD.size
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
        _to_requested_steps(message.requested),
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
        demand / AMOUNT_STEPS_PER_UNIT,
        spent / AMOUNT_STEPS_PER_UNIT,
        requested / AMOUNT_STEPS_PER_UNIT,
        level / AMOUNT_STEPS_PER_UNIT,
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
    return HealthDigest(serial, occupancy / RATIO_STEPS_PER_UNIT, samples, observations)


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
        server, latency_ratio / RATIO_STEPS_PER_UNIT, counts >> COUNT_BITS, counts & MAX_COUNT, in_flight
    )


def _to_amount_steps(amount: float) -> int:
    return max(MIN_AMOUNT_STEPS, min(MAX_AMOUNT_STEPS, round(amount * AMOUNT_STEPS_PER_UNIT)))


def _to_requested_steps(requested: float) -> int:
    """Return the steps of requested units: 0 only if none are requested, as 0 asks for no answer."""
    return max(int(requested > 0), _to_amount_steps(requested))


def _to_ratio_steps(ratio: float) -> int:
    return max(0, min(MAX_BYTE, round(ratio * RATIO_STEPS_PER_UNIT)))
