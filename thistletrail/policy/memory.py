"""What a gateway takes up of a snapshot (snapshot.py) after its process was restarted. Each part of it has a
bound on its age, past which it is not used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thistletrail.policy.events import SnapshotFound

if TYPE_CHECKING:
    from thistletrail.policy.rules import Gateway

# Bounds on age: N follows load within some OPPUIs; a suspect server is tried again by then.
CAP_US, HEALTH_US = 5_000_000, 8_000_000


def recall(gateway: Gateway, event: SnapshotFound) -> str:
    """Take up a memory, as far as each part is young enough: what was taken up, in words.

    What came in since is not credited: others have gone on spending meanwhile. A customer that is not in it
    had not asked for long; as little is known of it here as after a restart with no memory.
    """
    now, memory, age = gateway.now, event.snapshot, max(0, event.age_us)
    gateway.starts.note_restart(now)
    taken = []
    if age < gateway.forget_us:
        for kept in memory.customers:
            key = (kept.customer, kept.plan_index, kept.set_first, kept.set_size)
            if not 0 <= kept.plan_index < len(gateway.set.plans) or kept.set_size < 1:
                continue
            customer = gateway.customer(key)
            customer.part = max(0.0, min(customer.plan.burst / customer.size, kept.share))
            customer.level = min(customer.plan.burst, kept.level)
            customer.ceiling = min(kept.ceiling, customer.plan.ceiling_burst * customer.ceiling_part)
            customer.grants = min(kept.grants, customer.plan.ceiling_burst * customer.ceiling_home)
        taken.append(f"{len(memory.customers)} customers")
    if age < HEALTH_US:
        for kept in memory.ejected_servers:
            if server := gateway.servers.get(kept.server):
                server.on_trial, server.backoff_us, server.latency_ratio = (
                    True,
                    kept.backoff_us,
                    kept.latency_ratio,
                )
                server.suspect_us, server.avoid_until = now, now + max(0, kept.ejected_for_us - age)
        taken.append(f"{len(memory.ejected_servers)} suspect servers")
    if age < CAP_US and memory.admission_rate_per_s is not None:
        gateway.set_n(memory.admission_rate_per_s * gateway.cc_us / gateway.second)
        taken.append(f"N {memory.admission_rate_per_s:.1f} a second")
    return f"takes up a snapshot of {age / 1e6:.1f} s ago: {', '.join(taken) or 'nothing is young enough'}"
