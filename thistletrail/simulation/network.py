"""The simulated network: delays, losses, isolated zones and servers that cannot be reached."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from thistletrail.simulation.clock import MS, Clock
from thistletrail.simulation.scenario import Net
from thistletrail.simulation.servers import ScanServer
from thistletrail.simulation.streams import Stream

if TYPE_CHECKING:
    from thistletrail.simulation.gateways import Gateway
    from thistletrail.simulation.run import SimulationRun


class Network:
    """The network between clients, gateways and scan servers.

    A delay has a mean that is fixed for the run, within a zone and between zones, and jitter. No message
    enters or leaves an isolated zone or reaches an unreachable server.
    """

    def __init__(self, run: SimulationRun, clock: Clock, spec: Net, stream: Stream) -> None:
        self.run, self.clock, self.spec, self.stream = run, clock, spec, stream
        self.same_zone_us, self.cross_zone_us = (
            stream.uniform_in(spec.same_ms) * MS,
            stream.uniform_in(spec.cross_ms) * MS,
        )
        self.client_us, self.jitter = stream.uniform_in(spec.client_ms) * MS, stream.uniform_in(spec.jitter)
        self.peer_us, self.peer_loss = stream.uniform_in(spec.peer_ms) * MS, stream.uniform_in(spec.peer_loss)
        self.isolated_zones: set[int] = set()  # zones that reach only themselves
        self.unreachable_servers: set[str] = set()
        self.answer_loss = 0.0  # share of answers that are lost
        self.message_loss = 0.0  # share of peer messages that are lost in addition to `peer_loss`

    def are_zones_connected(self, zone: int, other_zone: int) -> bool:
        """Return whether messages pass between two zones, or within one."""
        return zone == other_zone or not (zone in self.isolated_zones or other_zone in self.isolated_zones)

    def is_reachable(self, gateway: Gateway, server: ScanServer) -> bool:
        """Return whether the network connects a gateway with a server."""
        return server.name not in self.unreachable_servers and self.are_zones_connected(
            gateway.zone, server.zone
        )

    def one_way_us(self, zone: int, other_zone: int) -> float:
        """Draw the one-way delay between two zones, or within one."""
        mean_us = self.same_zone_us if zone == other_zone else self.cross_zone_us
        return mean_us * (1 + self.stream.exponential(self.jitter))

    def to_client_us(self) -> float:
        """Draw the one-way delay between a client and a gateway."""
        return self.client_us * (1 + self.stream.exponential(self.jitter))

    def handshake(
        self, gateway: Gateway, server: ScanServer | None, callback: Callable[..., None], *args: object
    ) -> None:
        """Open a connection. At the end, call back with `args` and whether the connection is up."""
        if server is None or not self.is_reachable(gateway, server) or self.run.is_unresponsive(server):
            self.clock.after(self.spec.connect_timeout_ms * MS, callback, *args, False)
            return
        round_trip_us = 2 * self.one_way_us(gateway.zone, server.zone)
        delay_us = self.spec.handling_us + round_trip_us * self.run.traits.handshake_rtts
        self.clock.after(delay_us, self.finish_handshake, gateway, server, callback, args)

    def finish_handshake(
        self, gateway: Gateway, server: ScanServer, callback: Callable[..., None], args: tuple[object, ...]
    ) -> None:
        """Report whether the connection is up: the server may refuse it or have become unreachable."""
        callback(*args, self.is_reachable(gateway, server) and server.connect())

    def send_request(
        self, gateway: Gateway, server: ScanServer, callback: Callable[..., None], *args: object
    ) -> None:
        """Call back when a request arrives at the server; never if it is lost."""
        if self.is_reachable(gateway, server) and not self.run.is_unresponsive(server):
            delay_us = self.spec.handling_us + self.one_way_us(gateway.zone, server.zone)
            self.clock.after(delay_us, callback, *args)

    def send_answer(
        self, gateway: Gateway, server: ScanServer, result: str, callback: Callable[..., None], *args: object
    ) -> None:
        """Call back when a server's answer arrives at the gateway; never if it is lost."""
        is_lost = self.answer_loss and self.stream.chance(self.answer_loss)
        if result != "silent" and not is_lost and self.is_reachable(gateway, server):
            self.clock.after(self.one_way_us(gateway.zone, server.zone), callback, *args)

    def send_datagram(self, sender: int, peer: int, data: bytes) -> None:
        """Send a datagram from one gateway to another, and count it by cause if it does not arrive."""
        gateways, accounting = self.run.gateways, self.run.accounting
        if not 0 <= peer < len(gateways):
            accounting.record_violation("a message to nobody", f"door {sender} to {peer}")
            return
        if not self.are_zones_connected(gateways[sender].zone, gateways[peer].zone):
            accounting.count_message("cut off")
        elif self.stream.chance(self.peer_loss) or (
            self.message_loss and self.stream.chance(self.message_loss)
        ):
            accounting.count_message("lost on the way")
        else:
            delay_us = self.peer_us * (0.5 + self.stream.exponential(0.5))
            self.clock.after(delay_us, gateways[peer].receive_datagram, sender, data)
