"""Work that outlives its gateway: requests are recorded at the lease service before their first byte is sent.

Off unless the configuration names classes (docs/takeover.md). The policy decides when and at which server an
attempt is made, the lease service whose the work is. Here are the messages between them, what waits for their
answers, and the checks of the lease before each write and each answer. While the lease service cannot be
reached, work goes on without being recorded, and is counted.

`coordinator` ties the parts together: `client` calls the lease service, `work_table` keeps the work items and
ends them, `ownership_wait` waits for another gateway's outcome, `work_transfer` continues another's work.
`host` says what all of them need of the gateway.
"""

from thistletrail.gateway.takeover.coordinator import TakeoverCoordinator

__all__ = ["TakeoverCoordinator"]
