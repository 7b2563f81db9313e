"""The list of scan servers as discovery has it: seconds late, and of running processes only."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from thistletrail.policy import interface as i
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.servers import ScanServer

if TYPE_CHECKING:
    from thistletrail.simulation.day import Day


class Catalog:
    """What has been noticed so far, with a version for each change; each door hears a little later."""

    def __init__(self, day: Day) -> None:
        self.day, self.version = day, 1
        self.entries: dict[str, i.Server] = {}
        self.extra_us = 0  # how much later than usual doors hear
        self.first: tuple[i.Server, ...] = ()

    def entry(self, server: ScanServer, state: i.ServerState) -> i.Server:
        return i.Server(
            server.name, server.zone, 0, server.cell, state, float(server.traits.cores), server.started_us
        )

    def begin(self) -> None:
        """What holds at the start is known to all."""
        for server in self.day.servers.values():
            self.entries[server.name] = self.entry(server, i.ServerState.UP)
        self.first = tuple(self.entries.values())

    def saved(self, again: bool) -> i.ServerList:
        """The list as a door had it last: after a restart what is known now, but for what is on its way."""
        entries = tuple(self.entries.values()) if again else self.first
        return i.ServerList(i.ListKind.SAVED, self.version, entries)

    def whole(self) -> i.ServerList:
        return i.ServerList(i.ListKind.FULL, self.version, tuple(self.entries.values()))

    def notice(self, server: ScanServer, state: i.ServerState, lag: tuple[float, float]) -> None:
        """Discovery learns of a change after a time in seconds drawn from `lag`."""
        wait = self.day.streams["lists"].span(lag) * S
        self.day.clock.after(wait, self.publish, self.entry(server, state))

    def publish(self, entry: i.Server) -> None:
        if entry.state is i.ServerState.GONE and entry.name not in self.entries:
            return
        self.version += 1
        if entry.state is i.ServerState.GONE:
            del self.entries[entry.name]
        else:
            self.entries[entry.name] = entry
        news = i.ServerList(i.ListKind.CHANGES, self.version, (replace(entry),))
        for door in self.day.doors:
            if door.alive:
                self.day.clock.after(door.list_lag_us + self.extra_us + MS, self.tell, door, door.life, news)

    def tell(self, door: object, life: int, news: i.ServerList) -> None:
        if door.life == life:
            door.hear(news)
