"""Takeover of requests: if a gateway fails, another one continues its recorded requests.

A request is recorded at the lease service before its first byte is sent to a server. Takeover is off unless
the configuration names request classes (docs/takeover.md). The policy decides when and at which server an
attempt is made; the lease service decides which gateway owns the work. This package exchanges the messages
with the lease service, holds attempts and answers back until they are recorded, and checks the lease before
each write to a server and each answer to a client. While the lease service is unreachable, requests continue
without being recorded and are counted as untracked.

`coordinator` connects the parts: `client` calls the lease service, `work_table` stores the work items and
ends them, `ownership_wait` waits for another owner's outcome, and `work_transfer` continues the work of
earlier owners. `host` defines what they need from the gateway.
"""

from thistletrail.gateway.takeover.coordinator import TakeoverCoordinator

__all__ = ["TakeoverCoordinator"]
