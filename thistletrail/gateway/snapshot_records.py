"""The records of a gateway's snapshot file, as msgpack. They are separate from the policy's types.

The keys in the file are those that revision a1df16a wrote (`name=` of each field). They must not change, as
older and newer gateways read each other's files. The policy's dataclasses may be renamed freely; only the
conversions below depend on both.
"""

from __future__ import annotations

from typing import Any

import msgspec

from thistletrail.policy.events import CustomerSnapshot, EjectedServerSnapshot, PolicySnapshot


class CustomerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The levels of a customer's token buckets, in units, when they were last updated."""

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    share: float = msgspec.field(name="part")
    level: float
    ceiling: float
    grants: float


class EjectedServerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An ejected server.

    `ejected_for_us` counts from the time of the snapshot. `latency_ratio` is the server's latency as a
    multiple of the objective.
    """

    server: str
    ejected_for_us: int = msgspec.field(name="avoid_us")
    backoff_us: int
    latency_ratio: float = msgspec.field(name="lag")


class PolicyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the policy."""

    customers: tuple[CustomerRecord, ...] = ()
    ejected_servers: tuple[EjectedServerRecord, ...] = msgspec.field(name="suspects", default=())
    admission_rate_per_s: float | None = msgspec.field(name="n_a_second", default=None)  # None: not limited


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The contents of a snapshot file after its header."""

    gateway_name: str = msgspec.field(name="name")
    settings_digest: str = msgspec.field(name="settings")
    written_at_ms: int = msgspec.field(name="at_ms")  # Unix time
    incarnation: int = msgspec.field(name="mark")
    policy: PolicyRecord = msgspec.field(name="memory")
    endpoint_list: dict[str, Any] = msgspec.field(name="known")  # in discovery's format


def encode(record: SnapshotRecord) -> bytes:
    """Encode a record as it is stored in the file."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> SnapshotRecord:
    """Decode a record; raises msgspec.MsgspecError, which names the key, for malformed data."""
    return msgspec.msgpack.decode(data, type=SnapshotRecord)


def to_policy_record(snapshot: PolicySnapshot) -> PolicyRecord:
    """Convert the policy's state to its stored form."""
    return PolicyRecord(
        customers=tuple(_customer_record(customer) for customer in snapshot.customers),
        ejected_servers=tuple(_ejected_server_record(server) for server in snapshot.ejected_servers),
        admission_rate_per_s=snapshot.admission_rate_per_s,
    )


def from_policy_record(record: PolicyRecord) -> PolicySnapshot:
    """Convert a stored record to the policy's state."""
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
