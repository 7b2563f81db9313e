"""A snapshot of what a gateway knows, for the next start of its process. Nothing is decided here.

Times in a snapshot are from its making on, as nobody's clock goes on over a restart.
"""

from thistletrail.policy import interface as i
from thistletrail.policy.rules import Gateway

MOST_CUSTOMERS = 5_000  # the ones seen last: some 100 bytes each


def collect(gateway: Gateway) -> i.Memory:
    """What this gateway knows that would be of use to its successor."""
    now = gateway.now
    customers = tuple(
        i.KeptCustomer(*customer.key, customer.part, customer.level, customer.ceiling, customer.grants)
        for customer in list(gateway.customers.values())[-MOST_CUSTOMERS:]
    )
    suspects = tuple(
        i.KeptSuspect(server.entry.name, max(0, server.avoid_until - now), server.backoff_us, server.lag)
        for server in gateway.servers.values()
        if server.on_trial
    )
    n_a_second = None if gateway.n_past is None else gateway.n_exact * gateway.second / gateway.cc_us
    return i.Memory(customers, suspects, n_a_second)
