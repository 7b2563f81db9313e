"""Snapshots of a gateway's state, which its next process restores.

Times in a snapshot are relative to its collection, as the next process may have another event clock. Each
part of a snapshot has a maximum age, beyond which it is not restored.
"""

from thistletrail.policy.customer_quotas import CustomerQuotas
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import (
    CustomerSnapshot,
    EjectedServerSnapshot,
    PolicySnapshot,
    SnapshotFound,
)
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.overload_control import OverloadController
from thistletrail.policy.quota import CustomerKey, CustomerQuota
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND
from thistletrail.policy.upstream_server import UpstreamServer

# A snapshot has this many customers at most, the most recently used ones. Each takes up about 100 bytes.
MAX_CUSTOMERS = 5_000

# Five control periods of a second, within which N follows a change of load.
ADMISSION_LIMIT_MAX_AGE_US = 5_000_000
SERVER_HEALTH_MAX_AGE_US = 8_000_000  # An ejected server has become half-open within this time.


class SnapshotKeeper:
    """Collects snapshots of this gateway's state, and restores that of the previous process; stores none."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        servers: ServerSet,
        customers: CustomerQuotas,
        overload: OverloadController,
        incarnations: Incarnations,
    ) -> None:
        self.context = context
        self.servers = servers
        self.customers = customers
        self.overload = overload
        self.incarnations = incarnations
        self.plan_count = len(settings.plans)

    def collect(self) -> PolicySnapshot:
        """A snapshot of this gateway's state as of the last event."""
        recently_used = list(self.customers.by_key.values())[-MAX_CUSTOMERS:]
        ejected = [server for server in self.servers.by_name.values() if server.is_ejected]
        return PolicySnapshot(
            customers=tuple(customer_snapshot(customer) for customer in recently_used),
            ejected_servers=tuple(ejected_server_snapshot(server, self.context.now_us) for server in ejected),
            limit_per_scaled_second=self.overload.limit_per_scaled_second(),
        )

    def restore(self, event: SnapshotFound) -> str:
        """Restore each part that is younger than its maximum age; return a log line that names these parts.

        The line counts the customers and servers in the snapshot, including those that are ignored. Buckets
        are not refilled for the time since the snapshot, as other gateways continued to spend meanwhile.
        Levels as old as the customers' retention are not restored, as the buckets could be full again. A
        customer that is not restored gets at most what its rate brings from now on, as after any restart.
        """
        self.incarnations.note_restart(self.context.now_us)
        snapshot = event.snapshot
        age_us = max(0, event.age_us)
        restored: list[str] = []
        if age_us < self.customers.retention_us:
            for customer in snapshot.customers:
                self.restore_customer(customer)
            restored.append(f"{len(snapshot.customers)} customers")
        if age_us < SERVER_HEALTH_MAX_AGE_US:
            for server in snapshot.ejected_servers:
                self.restore_server(server, age_us)
            restored.append(f"{len(snapshot.ejected_servers)} ejected servers")
        if age_us < ADMISSION_LIMIT_MAX_AGE_US and snapshot.limit_per_scaled_second is not None:
            self.overload.set_limit_per_scaled_second(snapshot.limit_per_scaled_second)
            restored.append(f"N {snapshot.limit_per_scaled_second:.1f} a second")
        age_s = age_us / MICROSECONDS_PER_SECOND
        return f"takes up a snapshot of {age_s:.1f} s ago: {', '.join(restored) or 'nothing is young enough'}"

    def restore_customer(self, stored: CustomerSnapshot) -> None:
        """Set a customer's buckets to their stored levels, within their present capacity.

        A customer with an unknown plan or without a set of gateways is ignored.
        """
        if not 0 <= stored.plan_index < self.plan_count or stored.set_size < 1:
            return
        key = CustomerKey(stored.customer, stored.plan_index, stored.set_first, stored.set_size)
        customer = self.customers.get(key)
        customer.restore(stored.local_level, stored.set_level, stored.ceiling_level, stored.grants_level)

    def restore_server(self, stored: EjectedServerSnapshot, age_us: int) -> None:
        """Eject a server for the rest of its time without half-open attempts, as it was `age_us` ago.

        The ejection counts from now on, so no earlier attempt can end it. A server that is not in the
        endpoint list is ignored.
        """
        server = self.servers.by_name.get(stored.server)
        if server is None:
            return
        now_us = self.context.now_us
        server.is_ejected = True
        server.ejected_at_us = now_us
        server.avoid_until_us = now_us + max(0, stored.half_open_after_us - age_us)
        server.backoff_us = stored.backoff_us
        server.latency_ratio = stored.latency_ratio


def customer_snapshot(customer: CustomerQuota) -> CustomerSnapshot:
    """The levels of a customer's buckets as of its last refill."""
    return CustomerSnapshot(
        *customer.key,
        local_level=customer.local_bucket.level,
        set_level=customer.set_level,
        ceiling_level=customer.ceiling_bucket.level,
        grants_level=customer.ceiling_grant_bucket.level,
    )


def ejected_server_snapshot(server: UpstreamServer, now_us: int) -> EjectedServerSnapshot:
    """An ejected server, with the remaining time until half-open attempts are allowed."""
    return EjectedServerSnapshot(
        server=server.entry.name,
        half_open_after_us=max(0, server.avoid_until_us - now_us),
        backoff_us=server.backoff_us,
        latency_ratio=server.latency_ratio,
    )
