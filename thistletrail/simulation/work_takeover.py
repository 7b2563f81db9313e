"""Simulated takeover: work items outlive the gateway that had them in flight.

Of docs/takeover.md this models the owner of a work item, the work lease, the takeover by a random gateway,
the zone, clients that retry, and stored results. It leaves out the time that the write-ahead log takes (a few
milliseconds), failures of the lease service, paused gateways, and the bounds on numbers and sizes.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from thistletrail.simulation.clock import MS, S

if TYPE_CHECKING:
    from thistletrail.simulation.clients import ClientRequest, Operation
    from thistletrail.simulation.gateways import OpenRequest
    from thistletrail.simulation.run import SimulationRun
    from thistletrail.simulation.servers import ScanServer

WORK_LEASE_US = S
REASSIGN_INTERVAL_US = 50 * MS  # while no gateway is running
MAX_DEATHS = 2  # a work item fails for good when this many of its gateways have died


class WorkItem:
    """The work of one operation whose gateway has died.

    `is_in_quota` is that of the one request whose units were charged. `server` is where the request may have
    run, and `waiting` has its client's retries that wait for the result.
    """

    __slots__ = ("deaths", "end_us", "first_us", "is_in_quota", "operation", "server", "state", "waiting")

    def __init__(self, operation: Operation, first_us: int) -> None:
        self.operation, self.first_us = operation, first_us
        # "lost" until a gateway takes it over, then "taken". At the end "served", "free" (a retry may run it
        # again) or "over" (failed for good).
        self.state = "lost"
        self.deaths = self.end_us = 0
        self.is_in_quota = False
        self.server: ScanServer | None = None
        self.waiting: list[ClientRequest] = []


class Takeover:
    """The work items whose gateways have died, by operation."""

    def __init__(self, run: SimulationRun) -> None:
        self.run, self.is_enabled = run, run.scenario.takeover
        self.items: dict[Operation, WorkItem] = {}
        self.counts: Counter[str] = Counter()
        self.taken: Counter[tuple[int, int]] = Counter()  # takeovers by second and gateway

    def add_lost(self, open_request: OpenRequest) -> None:
        """Add a keyed request of a gateway that has died, if an attempt may have reached a server."""
        request = open_request.request
        operation, servers = (
            request.operation,
            [attempt.server for attempt in open_request.in_flight.values()],
        )
        server = open_request.first_server or next(iter(servers), None)
        if (
            not self.is_enabled
            or not self.run.scenario.classes[operation.class_index].keyed
            or server is None
        ):
            return
        item = self.items.get(operation)
        if item is None:
            item = self.items[operation] = WorkItem(
                operation, open_request.first_sent_us or self.run.clock.now
            )
        item.state, item.server, item.is_in_quota = "lost", server, request.is_in_quota
        item.deaths += 1
        item.end_us = max(item.end_us, open_request.end_us)
        self.counts["lost"] += 1
        self.run.clock.after(WORK_LEASE_US, self.assign, item)

    def end_us(self, item: WorkItem) -> int:
        """Return until when an item may run: its deadline or, if earlier, the end of its window."""
        request_class = self.run.scenario.classes[item.operation.class_index]
        window_us = round(request_class.window_ms * self.run.scenario.stretch * MS)
        return min(item.end_us, item.first_us + window_us)

    def assign(self, item: WorkItem) -> None:
        """Assign an item whose work lease has expired to a random gateway, or close it."""
        if item.state != "lost":
            return
        running = [gateway for gateway in self.run.gateways if gateway.is_alive]
        if item.deaths >= MAX_DEATHS:
            self.close(item, "over", "failed")
        elif self.run.clock.now >= self.end_us(item):
            self.close(item, "free", "refused")
        elif not running:
            self.run.clock.after(REASSIGN_INTERVAL_US, self.assign, item)
        else:
            item.state = "taken"
            gateway = self.run.streams["kept"].choice(running)
            self.counts["taken"] += 1
            self.taken[self.run.accounting.second, gateway.number] += 1
            gateway.take_over(item)

    def on_takeover_end(self, item: WorkItem, result: str) -> None:
        """Close an item whose request has ended at the gateway that took it over."""
        if result == "served":
            self.counts["served"] += 1
            self.counts["in vain"] += item.operation not in self.items  # its client no longer waits
            self.close(item, "served", "served")
        else:
            self.close(item, "free", "refused")

    def close(self, item: WorkItem, state: str, result: str) -> None:
        """Set an item's final state and answer the requests that wait for it."""
        item.state, waiting, item.waiting = state, item.waiting, []
        for request in waiting:
            if not request.is_over and request.gateway.is_alive:
                self.answer(item, request, result)

    def answer(self, item: WorkItem, request: ClientRequest, result: str) -> None:
        """Answer a request with the result of its work item, whose units have been charged."""
        request.is_charged, request.is_in_quota = True, item.is_in_quota
        self.counts[f"told {result}"] += 1
        retry_after_us = WORK_LEASE_US if result == "refused" else 0
        self.run.clients.answered(request, result, retry_after_us, None, request.gateway)

    def handle_retry(self, request: ClientRequest) -> bool:
        """Handle a request whose operation has a work item. Return False if there is none."""
        item = self.items.get(request.operation)
        if item is None:
            return False
        if item.state in ("served", "over"):
            self.answer(item, request, "served" if item.state == "served" else "failed")
        elif item.state == "free":
            request.is_charged, request.is_in_quota = True, item.is_in_quota
            request.gateway.resume_request(request, request.end_us, item.server)
        else:
            item.end_us = max(item.end_us, request.end_us)
            item.waiting.append(request)
        return True

    def forget(self, operation: Operation) -> None:
        """Forget an operation that has ended at its client. A gateway that has taken it over continues."""
        self.items.pop(operation, None)

    def result(self) -> dict[str, int]:
        """Return the counts for the run's output."""
        return {**dict(sorted(self.counts.items())), "most a second": max(self.taken.values(), default=0)}
