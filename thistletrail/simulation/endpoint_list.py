"""The service registry's endpoint list, which has each change of a server seconds after it happened."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, Server, ServerState
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.servers import ScanServer

if TYPE_CHECKING:
    from thistletrail.simulation.gateways import Gateway
    from thistletrail.simulation.run import SimulationRun

# By value: `compare` runs older revisions of the policy here, in which the member has another name.
SERVING = ServerState("up")


class EndpointList:
    """The servers that the registry knows. Each change has a new version, and gateways get it later."""

    def __init__(self, run: SimulationRun) -> None:
        self.run, self.version = run, 1
        self.entries: dict[str, Server] = {}
        self.extra_delay_us = 0  # added to each gateway's own delay
        self.initial_entries: tuple[Server, ...] = ()

    def entry(self, server: ScanServer, state: ServerState) -> Server:
        """Return the list's entry for a server, with this state."""
        return Server(
            server.name, server.zone, 0, server.cell, state, float(server.traits.cores), server.started_us
        )

    def begin(self) -> None:
        """Fill the list with the servers that run at the start of the run, which all gateways have cached."""
        for server in self.run.servers.values():
            self.entries[server.name] = self.entry(server, SERVING)
        self.initial_entries = tuple(self.entries.values())

    def cached_list(self, is_restart: bool) -> EndpointUpdate:
        """Return the list that a gateway has cached: at a restart the present one, else the initial one."""
        entries = tuple(self.entries.values()) if is_restart else self.initial_entries
        return EndpointUpdate(EndpointUpdateKind.CACHED, self.version, entries)

    def full_list(self) -> EndpointUpdate:
        """Return the complete list that the registry has now."""
        return EndpointUpdate(EndpointUpdateKind.FULL, self.version, tuple(self.entries.values()))

    def report(self, server: ScanServer, state: ServerState, delay_range_s: tuple[float, float]) -> None:
        """Report a server's new state, which the registry knows after a time drawn from `delay_range_s`."""
        delay_us = self.run.streams["lists"].uniform_in(delay_range_s) * S
        self.run.clock.after(delay_us, self.publish, self.entry(server, state))

    def publish(self, entry: Server) -> None:
        """Change the list and send the change to all running gateways."""
        if entry.state is ServerState.GONE and entry.name not in self.entries:
            return
        self.version += 1
        if entry.state is ServerState.GONE:
            del self.entries[entry.name]
        else:
            self.entries[entry.name] = entry
        update = EndpointUpdate(EndpointUpdateKind.CHANGES, self.version, (replace(entry),))
        for gateway in self.run.gateways:
            if gateway.is_alive:
                delay_us = gateway.list_delay_us + self.extra_delay_us + MS
                self.run.clock.after(delay_us, self.deliver, gateway, gateway.epoch, update)

    def deliver(self, gateway: Gateway, epoch: int, update: EndpointUpdate) -> None:
        """Deliver a change unless the gateway has stopped or restarted since it was sent."""
        if gateway.epoch == epoch:
            gateway.on_endpoint_update(update)
