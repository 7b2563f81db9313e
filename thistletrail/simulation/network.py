"""The way between doors, scan servers and peers: delay, loss, zones cut off and servers that fall silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from thistletrail.simulation.clock import MS, Clock
from thistletrail.simulation.scenario import Net
from thistletrail.simulation.servers import ScanServer
from thistletrail.simulation.streams import Stream

if TYPE_CHECKING:
    from thistletrail.simulation.day import SimulationRun
    from thistletrail.simulation.doors import Door


class Network:
    """Delays are a run's mean for a pair of zones, with jitter; what is cut says and hears nothing."""

    def __init__(self, day: SimulationRun, clock: Clock, spec: Net, stream: Stream) -> None:
        self.day, self.clock, self.spec, self.stream = day, clock, spec, stream
        self.same_us, self.cross_us = stream.span(spec.same_ms) * MS, stream.span(spec.cross_ms) * MS
        self.client_us, self.jitter = stream.span(spec.client_ms) * MS, stream.span(spec.jitter)
        self.peer_us, self.peer_loss = stream.span(spec.peer_ms) * MS, stream.span(spec.peer_loss)
        self.cut: set[int] = set()  # zones that reach only themselves
        self.silent: set[str] = set()  # servers that nothing reaches
        self.answers_lost = 0.0  # share of answers that never come
        self.messages_lost = 0.0  # share of peers' messages lost on top

    def reachable(self, here: int, there: int) -> bool:
        return here == there or not (here in self.cut or there in self.cut)

    def reaches(self, door: Door, server: ScanServer) -> bool:
        return server.name not in self.silent and self.reachable(door.zone, server.zone)

    def way_us(self, here: int, there: int) -> float:
        mean = self.same_us if here == there else self.cross_us
        return mean * (1 + self.stream.exponential(self.jitter))

    def to_client_us(self) -> float:
        return self.client_us * (1 + self.stream.exponential(self.jitter))

    def handshake(
        self, door: Door, server: ScanServer | None, call: Callable[..., None], *args: object
    ) -> None:
        """Open a connection: `call` is told at the end whether it came up."""
        if server is None or not self.reaches(door, server) or self.day.is_unresponsive(server):
            self.clock.after(self.spec.connect_timeout_ms * MS, call, *args, False)
            return
        rtt = 2 * self.way_us(door.zone, server.zone)
        handling = self.spec.handling_us
        self.clock.after(handling + rtt * self.day.traits.rtts, self.accept, door, server, call, args)

    def accept(
        self, door: Door, server: ScanServer, call: Callable[..., None], args: tuple[object, ...]
    ) -> None:
        call(*args, self.reaches(door, server) and server.connect())

    def to_server(self, door: Door, server: ScanServer, call: Callable[..., None], *args: object) -> None:
        if self.reaches(door, server) and not self.day.is_unresponsive(server):
            self.clock.after(self.spec.handling_us + self.way_us(door.zone, server.zone), call, *args)

    def from_server(
        self, door: Door, server: ScanServer, how: str, call: Callable[..., None], *args: object
    ) -> None:
        lost = self.answers_lost and self.stream.chance(self.answers_lost)
        if how != "silent" and not lost and self.reaches(door, server):
            self.clock.after(self.way_us(door.zone, server.zone), call, *args)

    def datagram(self, sender: int, peer: int, data: bytes) -> None:
        doors, books = self.day.doors, self.day.books
        if not 0 <= peer < len(doors):
            books.broke("a message to nobody", f"door {sender} to {peer}")
            return
        if not self.reachable(doors[sender].zone, doors[peer].zone):
            books.message("cut off")
        elif self.stream.chance(self.peer_loss) or (
            self.messages_lost and self.stream.chance(self.messages_lost)
        ):
            books.message("lost on the way")
        else:
            delay = self.peer_us * (0.5 + self.stream.exponential(0.5))
            self.clock.after(delay, doors[peer].datagram, sender, data)
