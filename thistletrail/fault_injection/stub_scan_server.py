"""A stub scan server: a process that runs the simulation's scan server in real time on a socket.

Its argument is the path of its configuration. It registers with the registry, serves the protocol's commands,
and records each attempt that it receives completely and its outcome. Orders are JSON lines on standard input:
`bad` (share of errors), `fast` (errors without delay) and `slow` (factor of the service time) change how it
serves; `drain` and `leave` are forwarded to the registry.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from pathlib import Path

from thistletrail.benchmarks.stub_servers import VALUE
from thistletrail.fault_injection.history import Writer
from thistletrail.fault_injection.plan import Plan
from thistletrail.fault_injection.program import Order, ProcessConfig, handle_orders, run_program
from thistletrail.fault_injection.realtime import RealClock, now_us
from thistletrail.fault_injection.relay import HOST
from thistletrail.fault_injection.simulation_context import SimulationContext, zone_name
from thistletrail.gateway.resp import CommandReader, ProtocolError
from thistletrail.registry.errors import RegistrationError
from thistletrail.registry.registration import InstanceSettings, Registration
from thistletrail.simulation.servers import ScanServer, Work
from thistletrail.simulation.streams import Stream

MIN_SERVICE_TIME_US = 500.0
# Position of the argument `name=value,...`, after the command's name, the customer and the id.
FIELDS_INDEX = 3


class ActiveAttempt:
    """An attempt that was received completely, until it is answered or its connection is closed."""

    __slots__ = ("connection", "serial", "work")

    def __init__(self, connection: Connection, serial: int, work: Work) -> None:
        self.connection, self.serial, self.work = connection, serial, work


class Connection(asyncio.Protocol):
    """A connection of a gateway; its commands are answered in order."""

    def __init__(self, stub: StubScanServer) -> None:
        self.stub, self.reader = stub, CommandReader()
        self.transport: asyncio.Transport | None = None
        self.queue: list[list[bytes]] = []  # commands that wait for the answer of the active attempt
        self.active: ActiveAttempt | None = None
        self.is_new = True  # its first attempt takes the additional time of the handshake
        self.is_accepted = False  # False: the server has too many connections, and answers attempts with BUSY

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count the connection at the simulated server; abort it if that has collapsed."""
        self.transport = transport
        self.is_accepted = self.stub.server.connect()
        self.stub.connections.add(self)
        if not self.stub.server.is_alive:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Queue the commands that are complete, and serve the next one; abort on a protocol error."""
        self.reader.feed(data)
        try:
            while (arguments := self.reader.next()) is not None:
                self.queue.append(arguments)
        except ProtocolError:
            self.transport.abort()
            return
        self.serve_next()

    def serve_next(self) -> None:
        """Handle the queued commands until one is an attempt; the next follow once it is answered."""
        while self.queue and self.active is None and not self.transport.is_closing():
            self.stub.handle_command(self, self.queue.pop(0))

    def connection_lost(self, error: Exception | None) -> None:
        """Record the outcome `gone` of the active attempt, and cancel its work."""
        self.stub.connections.discard(self)
        if self.is_accepted:
            self.stub.server.disconnect()
        if self.active is not None:
            self.stub.finish(self.active, "gone")
            self.stub.server.cancel(self.active.work)

    def write(self, data: bytes) -> None:
        """Write an answer, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)


class StubScanServer:
    """The process: one simulated scan server, its connections and its registration."""

    def __init__(self, config: ProcessConfig) -> None:
        plan: Plan = config.plan
        self.config, self.loop = config, asyncio.get_running_loop()
        self.clock = RealClock(self.loop)
        context = SimulationContext(plan.fleet, config.seed, self.clock)
        self.class_indexes = {rule.name: n for n, rule in enumerate(plan.fleet.classes)}
        # By class: mean in us and coefficient of variation of the work.
        self.means, self.cvs = context.demand.work_means_us, context.demand.work_cvs
        self.stream = Stream(config.seed, f"server/{config.name}")
        self.zone = config.number % plan.fleet.net.zones
        # Numbers of cells are unique over all zones, as in the simulation.
        cells = plan.fleet.net.zones * (config.number // plan.fleet.net.zones // plan.fleet.servers.cell_size)
        self.server = ScanServer(
            self.clock,
            context.traits,
            self.stream,
            config.name,
            (self.zone, self.zone + cells),
            context.demand.mean_work_us,
            config.cold,
        )
        self.writer = Writer(Path(config.history))
        self.connections: set[Connection] = set()
        self.serials = itertools.count(
            now_us()
        )  # starts at the present time, so that serials stay unique after a restart
        self.registration: Registration | None = None

    async def run(self) -> None:
        """Listen, register, and handle orders until standard input ends or the order `leave` is handled."""
        listener = await self.loop.create_server(lambda: Connection(self), HOST, 0)
        address = "{}:{}".format(*listener.sockets[0].getsockname())
        started_ms = round((time.time() + self.config.clock_s) * 1000) if self.config.cold else 0
        settings = InstanceSettings(
            address=address,
            zone=zone_name(self.zone),
            machine_type="m1",
            cell=self.server.cell,
            started_ms=started_ms,
            lease_ms=round(self.config.plan.lease_s * 1000),
        )
        self.registration = Registration(
            self.config.service,
            self.config.name,
            settings,
            random.Random(self.config.seed + self.config.number),
        )
        await self.registration.start()
        print(f"scan server {self.config.name} serves at {address}", flush=True)
        await handle_orders(self.handle_order)

    async def handle_order(self, order: Order) -> None:
        """Apply an order; the order `leave` ends the process after it has deregistered."""
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
            raise asyncio.CancelledError  # `run_program` then returns

    # --- requests ---

    def handle_command(self, connection: Connection, arguments: list[bytes]) -> None:
        """Answer PING; record an attempt and start to serve it; answer any other command with an error.

        If the attempt makes the simulated server collapse, all its connections are aborted.
        """
        if arguments[0] == b"PING":
            connection.write(b"+PONG\r\n")
            return
        if not arguments[0].startswith(b"SVC.") or len(arguments) <= FIELDS_INDEX:
            connection.write(b"-SYNTAX\r\n")
            self.writer.note("unread", server=self.config.name, words=repr(arguments)[:200])
            return
        fields = dict(field.partition("=")[::2] for field in arguments[FIELDS_INDEX].decode().split(","))
        class_index = self.class_indexes[fields["c"]]
        work_us = max(
            MIN_SERVICE_TIME_US, self.stream.lognormal(self.means[class_index], self.cvs[class_index])
        )
        handshake_us = self.server.traits.handshake_us if connection.is_new else 0.0
        connection.is_new = False
        work = Work(work_us, now_us() + int(fields["d"]) * 1000, self.on_work_end)
        connection.active = work.context = ActiveAttempt(connection, next(self.serials), work)
        self.writer.note(
            "came",
            server=self.config.name,
            zone=self.zone,
            serial=connection.active.serial,
            id=arguments[2].decode(),
            customer=arguments[1].decode(),
            key=fields.get("k", ""),
            **{"class": fields["c"], "plan": fields["t"]},
        )
        if not connection.is_accepted:
            self.server.end_work(work, "full")
            return
        self.server.accept(work, 0, handshake_us)
        if self.server.has_collapsed and self.connections:
            self.writer.note("fell", server=self.config.name)
            for other in list(self.connections):
                other.transport.abort()

    def finish(self, attempt: ActiveAttempt, outcome: str) -> None:
        """Record the outcome of an attempt, and release its connection for the next one."""
        attempt.connection.active = None
        self.writer.note("left", server=self.config.name, serial=attempt.serial, how=outcome)

    def on_work_end(self, work: Work, outcome: str) -> None:
        """Write the answer of an attempt that the simulated scan server has finished."""
        attempt: ActiveAttempt = work.context
        connection = attempt.connection
        if connection.active is not attempt:
            return  # its connection is closed
        self.finish(attempt, outcome)
        if outcome == "served":
            connection.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(VALUE), VALUE))
        elif outcome in ("error", "full"):
            connection.write(b"-ERR failed\r\n" if outcome == "error" else b"-BUSY\r\n")
        else:
            connection.transport.abort()
        self.loop.call_soon(connection.serve_next)


async def main(config: ProcessConfig) -> None:
    """Run a stub scan server, and stop its registration at the end."""
    stub = StubScanServer(config)
    try:
        await stub.run()
    finally:
        if stub.registration is not None:
            await stub.registration.aclose()


if __name__ == "__main__":
    run_program(main)
