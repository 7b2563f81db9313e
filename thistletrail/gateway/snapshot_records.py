"""What a gateway's snapshot file holds, as msgpack: records of their own, apart from the policy's types.

The keys in the file are those that revision a1df16a wrote (`name=` of each field). They must not change: an
older gateway reads what a newer one wrote, and the other way round. The policy's dataclasses may be renamed
freely; the conversions below are the one place that knows both.
"""

from __future__ import annotations

from typing import Any

import msgspec

from thistletrail.policy.events import CustomerSnapshot, EjectedServerSnapshot, PolicySnapshot


class CustomerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A customer's buckets, in units, as they were when it was last looked at."""

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    share: float = msgspec.field(name="part")
    level: float
    ceiling: float
    grants: float


class EjectedServerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A server that was ejected.

    For how much longer, in microseconds from the snapshot on, and its latency as a multiple of the
    objective.
    """

    server: str
    ejected_for_us: int = msgspec.field(name="avoid_us")
    backoff_us: int
    latency_ratio: float = msgspec.field(name="lag")


class PolicyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What the policy leaves to its successor."""

    customers: tuple[CustomerRecord, ...] = ()
    ejected_servers: tuple[EjectedServerRecord, ...] = msgspec.field(name="suspects", default=())
    admission_rate_per_s: float | None = msgspec.field(name="n_a_second", default=None)  # None: not limited


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True):
    """All of a snapshot file behind its header."""

    gateway_name: str = msgspec.field(name="name")
    settings_digest: str = msgspec.field(name="settings")
    written_at_ms: int = msgspec.field(name="at_ms")  # Unix time
    incarnation: int = msgspec.field(name="mark")
    policy: PolicyRecord = msgspec.field(name="memory")
    endpoint_list: dict[str, Any] = msgspec.field(name="known")  # in the form of the discovery protocol


def encode(record: SnapshotRecord) -> bytes:
    """The bytes of a record, as they stand in the file."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> SnapshotRecord:
    """The record of those bytes; a msgspec.MsgspecError that names the key where they are none."""
    return msgspec.msgpack.decode(data, type=SnapshotRecord)


def to_policy_record(snapshot: PolicySnapshot) -> PolicyRecord:
    """The policy's state as it is stored."""
    return PolicyRecord(
        customers=tuple(_customer_record(customer) for customer in snapshot.customers),
        ejected_servers=tuple(_ejected_server_record(server) for server in snapshot.ejected_servers),
        admission_rate_per_s=snapshot.admission_rate_per_s,
    )


def from_policy_record(record: PolicyRecord) -> PolicySnapshot:
    """The policy's state from what was stored."""
    return PolicySnapshot(
        customers=tuple(_customer(customer) for customer in record.customers),
        ejected_servers=tuple(_ejected_server(server) for server in record.ejected_servers),
        admission_rate_per_s=record.admission_rate_per_s,
    )


def _customer_record(customer: CustomerSnapshot) -> CustomerRecord:
    return CustomerRecord(
        customer=customer.customer,
        plan_index=customer.plan_index,
        set_first=customer.set_first,
        set_size=customer.set_size,
        share=customer.share,
        level=customer.level,
        ceiling=customer.ceiling,
        grants=customer.grants,
    )


def _customer(record: CustomerRecord) -> CustomerSnapshot:
    return CustomerSnapshot(
        customer=record.customer,
        plan_index=record.plan_index,
        set_first=record.set_first,
        set_size=record.set_size,
        share=record.share,
        level=record.level,
        ceiling=record.ceiling,
        grants=record.grants,
    )


def _ejected_server_record(server: EjectedServerSnapshot) -> EjectedServerRecord:
    return EjectedServerRecord(
        server=server.server,
        ejected_for_us=server.ejected_for_us,
        backoff_us=server.backoff_us,
        latency_ratio=server.latency_ratio,
    )


def _ejected_server(record: EjectedServerRecord) -> EjectedServerSnapshot:
    return EjectedServerSnapshot(
        server=record.server,
        ejected_for_us=record.ejected_for_us,
        backoff_us=record.backoff_us,
        latency_ratio=record.latency_ratio,
    )
