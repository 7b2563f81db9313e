"""A snapshot of what a gateway knows, for the next start of its process. Nothing is decided here.

Times in a snapshot are from its making on, as nobody's clock goes on over a restart.
"""

from thistletrail.policy.events import CustomerSnapshot, EjectedServerSnapshot, PolicySnapshot
from thistletrail.policy.rules import Gateway

MOST_CUSTOMERS = 5_000  # the ones seen last: some 100 bytes each


def collect(gateway: Gateway) -> PolicySnapshot:
    """What this gateway knows that would be of use to its successor."""
    now = gateway.now
    customers = tuple(
        CustomerSnapshot(*customer.key, customer.part, customer.level, customer.ceiling, customer.grants)
        for customer in list(gateway.customers.values())[-MOST_CUSTOMERS:]
    )
    ejected_servers = tuple(
        EjectedServerSnapshot(
            server.entry.name, max(0, server.avoid_until - now), server.backoff_us, server.latency_ratio
        )
        for server in gateway.servers.values()
        if server.on_trial
    )
    admission_rate_per_s = (
        None if gateway.n_past is None else gateway.n_exact * gateway.second / gateway.cc_us
    )
    return PolicySnapshot(customers, ejected_servers, admission_rate_per_s)
