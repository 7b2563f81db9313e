"""The list of scan servers as discovery has it: seconds late, and of running processes only."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, Server, ServerState
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.servers import ScanServer

if TYPE_CHECKING:
    from thistletrail.simulation.day import Day


class Catalog:
    """What has been noticed so far, with a version for each change; each door hears a little later."""

    def __init__(self, day: Day) -> None:
        self.day, self.version = day, 1
        self.entries: dict[str, Server] = {}
        self.extra_us = 0  # how much later than usual doors hear
        self.first: tuple[Server, ...] = ()

    def entry(self, server: ScanServer, state: ServerState) -> Server:
        return Server(
            server.name, server.zone, 0, server.cell, state, float(server.traits.cores), server.started_us
        )

    def begin(self) -> None:
        """What holds at the start is known to all."""
        for server in self.day.servers.values():
            self.entries[server.name] = self.entry(server, ServerState.SERVING)
        self.first = tuple(self.entries.values())

    def saved(self, again: bool) -> EndpointUpdate:
        """The list as a door had it last: after a restart what is known now, but for what is on its way."""
        entries = tuple(self.entries.values()) if again else self.first
        return EndpointUpdate(EndpointUpdateKind.CACHED, self.version, entries)

    def whole(self) -> EndpointUpdate:
        return EndpointUpdate(EndpointUpdateKind.FULL, self.version, tuple(self.entries.values()))

    def notice(self, server: ScanServer, state: ServerState, lag: tuple[float, float]) -> None:
        """Discovery learns of a change after a time in seconds drawn from `lag`."""
        wait = self.day.streams["lists"].span(lag) * S
        self.day.clock.after(wait, self.publish, self.entry(server, state))

    def publish(self, entry: Server) -> None:
        if entry.state is ServerState.GONE and entry.name not in self.entries:
            return
        self.version += 1
        if entry.state is ServerState.GONE:
            del self.entries[entry.name]
        else:
            self.entries[entry.name] = entry
        news = EndpointUpdate(EndpointUpdateKind.CHANGES, self.version, (replace(entry),))
        for door in self.day.doors:
            if door.alive:
                self.day.clock.after(door.list_lag_us + self.extra_us + MS, self.tell, door, door.life, news)

    def tell(self, door: object, life: int, news: EndpointUpdate) -> None:
        if door.life == life:
            door.hear(news)
