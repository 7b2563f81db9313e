"""The records of a gateway's snapshot file, as msgpack. They are separate from the policy's types.

The keys in the file are those that revision a1df16a wrote: a field's `name=`, or its own name where it has
none. They must not change, as older and newer gateways read each other's files. The policy's dataclasses may
be renamed freely; only the conversions below depend on both.
"""

from __future__ import annotations

from typing import Any

import msgspec

from thistletrail.policy.events import CustomerSnapshot, EjectedServerSnapshot, PolicySnapshot


class CustomerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The levels of a customer's token buckets, in units, as of their last refill."""

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    local_level: float = msgspec.field(name="part")
    set_level: float = msgspec.field(name="level")
    ceiling_level: float = msgspec.field(name="ceiling")
    grants_level: float = msgspec.field(name="grants")


class EjectedServerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An ejected server.

    `half_open_after_us` is the time from the snapshot until half-open attempts are allowed, and
    `latency_ratio` is the server's latency as a multiple of the objective.
    """

    server: str
    half_open_after_us: int = msgspec.field(name="avoid_us")
    backoff_us: int
    latency_ratio: float = msgspec.field(name="lag")


class PolicyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the policy; `limit_per_scaled_second` is N, or None if overload control is not engaged."""

    customers: tuple[CustomerRecord, ...] = ()
    ejected_servers: tuple[EjectedServerRecord, ...] = msgspec.field(name="suspects", default=())
    limit_per_scaled_second: float | None = msgspec.field(name="n_a_second", default=None)


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The contents of a snapshot file after its header."""

    gateway_name: str = msgspec.field(name="name")
    settings_digest: str = msgspec.field(name="settings")
    written_at_ms: int = msgspec.field(name="at_ms")  # Unix time at which it was collected
    start_id: int = msgspec.field(name="mark")
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
        limit_per_scaled_second=snapshot.limit_per_scaled_second,
    )


def from_policy_record(record: PolicyRecord) -> PolicySnapshot:
    """Convert a stored record to the policy's state."""
    return PolicySnapshot(
        customers=tuple(_customer(customer) for customer in record.customers),
        ejected_servers=tuple(_ejected_server(server) for server in record.ejected_servers),
        limit_per_scaled_second=record.limit_per_scaled_second,
    )


def _customer_record(customer: CustomerSnapshot) -> CustomerRecord:
    return CustomerRecord(
        customer=customer.customer,
        plan_index=customer.plan_index,
        set_first=customer.set_first,
        set_size=customer.set_size,
        local_level=customer.local_level,
        set_level=customer.set_level,
        ceiling_level=customer.ceiling_level,
        grants_level=customer.grants_level,
    )


def _customer(record: CustomerRecord) -> CustomerSnapshot:
    return CustomerSnapshot(
        customer=record.customer,
        plan_index=record.plan_index,
        set_first=record.set_first,
        set_size=record.set_size,
        local_level=record.local_level,
        set_level=record.set_level,
        ceiling_level=record.ceiling_level,
        grants_level=record.grants_level,
    )


def _ejected_server_record(server: EjectedServerSnapshot) -> EjectedServerRecord:
    return EjectedServerRecord(
        server=server.server,
        half_open_after_us=server.half_open_after_us,
        backoff_us=server.backoff_us,
        latency_ratio=server.latency_ratio,
    )


def _ejected_server(record: EjectedServerRecord) -> EjectedServerSnapshot:
    return EjectedServerSnapshot(
        server=record.server,
        half_open_after_us=record.half_open_after_us,
        backoff_us=record.backoff_us,
        latency_ratio=record.latency_ratio,
    )
