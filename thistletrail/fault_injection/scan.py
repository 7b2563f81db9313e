"""A stand-in scan server as a process of its own: the model's scan server, in real time and on a socket.

Started with the path of its configuration. It registers with the list service, serves the protocol's
commands, and notes each attempt that comes whole and how it ends. Orders come as JSON lines: `bad`, `fast`
and `slow` change how it serves, `drain` and `leave` are told to the list service.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from pathlib import Path

from thistletrail.benchmarks.standins import VALUE
from thistletrail.fault_injection.history import Writer
from thistletrail.fault_injection.plan import Plan
from thistletrail.fault_injection.program import Order, Told, orders, start
from thistletrail.fault_injection.realtime import RealClock, now_us
from thistletrail.fault_injection.relay import HOST
from thistletrail.fault_injection.world import World, zone_name
from thistletrail.gateway.resp import CommandReader, ProtocolError
from thistletrail.registry.errors import RegistrationError
from thistletrail.registry.registration import InstanceSettings, Registration
from thistletrail.simulation.servers import ScanServer, Work
from thistletrail.simulation.streams import Stream

LEAST_WORK_US = 500.0
FIELDS_AT = 3  # in a command: its name, the customer, the id, then names and values


class Served:
    """An attempt that has come whole, until it is answered or its connection ends."""

    __slots__ = ("connection", "serial", "work")

    def __init__(self, connection: Connection, serial: int, work: Work) -> None:
        self.connection, self.serial, self.work = connection, serial, work


class Connection(asyncio.Protocol):
    """A front door's connection; answers go in the order of its commands."""

    def __init__(self, program: Scan) -> None:
        self.program, self.reader = program, CommandReader()
        self.transport: asyncio.Transport | None = None
        self.queue: list[list[bytes]] = []
        self.serving: Served | None = None
        self.fresh, self.taken = True, False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.taken = self.program.server.connect()
        self.program.connections.add(self)
        if not self.program.server.is_alive:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while (words := self.reader.next()) is not None:
                self.queue.append(words)
        except ProtocolError:
            self.transport.abort()
            return
        self.go_on()

    def go_on(self) -> None:
        while self.queue and self.serving is None and not self.transport.is_closing():
            self.program.take(self, self.queue.pop(0))

    def connection_lost(self, error: Exception | None) -> None:
        self.program.connections.discard(self)
        if self.taken:
            self.program.server.disconnect()
        if self.serving is not None:
            self.program.left(self.serving, "gone")
            self.program.server.cancel(self.serving.work)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


class Scan:
    """The process: one scan server of the model's, its connections and its registration."""

    def __init__(self, told: Told) -> None:
        plan: Plan = told.plan
        self.told, self.loop = told, asyncio.get_running_loop()
        self.clock = RealClock(self.loop)
        world = World(plan.fleet, told.seed, self.clock)
        self.classes = {rule.name: n for n, rule in enumerate(plan.fleet.classes)}
        self.means, self.cvs = world.demand.means, world.demand.cvs
        self.stream = Stream(told.seed, f"server/{told.name}")
        self.zone = told.number % plan.fleet.net.zones
        cells = plan.fleet.net.zones * (told.number // plan.fleet.net.zones // plan.fleet.servers.cell_size)
        self.server = ScanServer(
            self.clock,
            world.traits,
            self.stream,
            told.name,
            (self.zone, self.zone + cells),
            world.demand.mean_work_us,
            told.cold,
        )
        self.writer = Writer(Path(told.history))
        self.connections: set[Connection] = set()
        self.serial = itertools.count(now_us())  # also over restarts nobody else's at this server
        self.registration: Registration | None = None

    async def run(self) -> None:
        listener = await self.loop.create_server(lambda: Connection(self), HOST, 0)
        address = "{}:{}".format(*listener.sockets[0].getsockname())
        started = round((time.time() + self.told.clock_s) * 1000) if self.told.cold else 0
        settings = InstanceSettings(
            address=address,
            zone=zone_name(self.zone),
            machine_type="m1",
            cell=self.server.cell,
            started_ms=started,
            lease_ms=round(self.told.plan.lease_s * 1000),
        )
        self.registration = Registration(
            self.told.service, self.told.name, settings, random.Random(self.told.seed + self.told.number)
        )
        await self.registration.start()
        print(f"scan server {self.told.name} serves at {address}", flush=True)
        await orders(self.order)

    async def order(self, order: Order) -> None:
        self.server.advance()
        self.server.error_share = order.get("bad", self.server.error_share)
        self.server.fails_fast = order.get("fast", self.server.fails_fast)
        self.server.slowdown = order.get("slow", self.server.slowdown)
        self.server.schedule_step()
        if order.get("drain"):
            self.server.is_draining = True
            with contextlib.suppress(RegistrationError):
                await self.registration.drain()
        if order.get("leave"):
            with contextlib.suppress(RegistrationError):
                await self.registration.deregister()
            raise asyncio.CancelledError  # it ends

    # --- requests ---

    def take(self, connection: Connection, words: list[bytes]) -> None:
        """A command that has come whole."""
        if words[0] == b"PING":
            connection.write(b"+PONG\r\n")
            return
        if not words[0].startswith(b"SVC.") or len(words) <= FIELDS_AT:
            connection.write(b"-SYNTAX\r\n")
            self.writer.note("unread", server=self.told.name, words=repr(words)[:200])
            return
        fields = dict(field.partition("=")[::2] for field in words[FIELDS_AT].decode().split(","))
        kind = self.classes[fields["c"]]
        work_us = max(LEAST_WORK_US, self.stream.lognormal(self.means[kind], self.cvs[kind]))
        extra = self.server.traits.handshake_us if connection.fresh else 0.0
        connection.fresh = False
        work = Work(work_us, now_us() + int(fields["d"]) * 1000, self.ended)
        connection.serving = work.served = Served(connection, next(self.serial), work)
        self.writer.note(
            "came",
            server=self.told.name,
            zone=self.zone,
            serial=connection.serving.serial,
            id=words[2].decode(),
            customer=words[1].decode(),
            key=fields.get("k", ""),
            **{"class": fields["c"], "plan": fields["t"]},
        )
        if not connection.taken:
            self.server.end_work(work, "full")
            return
        self.server.accept(work, 0, extra)
        if self.server.has_collapsed and self.connections:
            self.writer.note("fell", server=self.told.name)
            for other in list(self.connections):
                other.transport.abort()

    def left(self, served: Served, how: str) -> None:
        served.connection.serving = None
        self.writer.note("left", server=self.told.name, serial=served.serial, how=how)

    def ended(self, work: Work, how: str) -> None:
        """The model's scan server is done with it."""
        served: Served = work.served
        connection = served.connection
        if connection.serving is not served:
            return  # its front door has gone
        self.left(served, how)
        if how == "served":
            connection.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(VALUE), VALUE))
        elif how in ("error", "full"):
            connection.write(b"-ERR failed\r\n" if how == "error" else b"-BUSY\r\n")
        else:
            connection.transport.abort()
        self.loop.call_soon(connection.go_on)


async def main(told: Told) -> None:
    program = Scan(told)
    try:
        await program.run()
    finally:
        if program.registration is not None:
            await program.registration.aclose()


if __name__ == "__main__":
    start(main)
