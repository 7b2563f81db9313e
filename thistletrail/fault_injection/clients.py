"""The load generator: a process that runs the simulation's customers and clients in real time.

Its argument is the path of its configuration. It prints a line once its load is drawn, starts at the time of
the order `go` (microseconds of the monotonic clock), and exits after its last request. It contains the load
balancer in front of the gateways, which detects a dead gateway after a delay and uses it again once it
answers PING.
"""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path
from typing import TYPE_CHECKING

from thistletrail.benchmarks.load_generator import BODY, PING, GatewayClient
from thistletrail.fault_injection.history import Writer
from thistletrail.fault_injection.program import Order, ProcessConfig, orders, start
from thistletrail.fault_injection.realtime import RealClock, now_us, watch_lag
from thistletrail.fault_injection.world import LoadEntry, World, generate_load
from thistletrail.gateway.resp import encode
from thistletrail.simulation.clients import ClientRequest, Clients, Customer, Operation
from thistletrail.simulation.clock import S

if TYPE_CHECKING:
    from thistletrail.fault_injection.relay import Address

POLL_INTERVAL_S = 0.05  # between probes of a gateway that is down
PONG_TIMEOUT_S = 0.5
REFUSED = "refused"  # the outcome of a refused request; the retry delay in ms may follow it


class GatewayConnection(GatewayClient):
    """One connection to a gateway. A refusal's outcome has the retry delay; unrequested data is recorded."""

    def __init__(self, program: Program) -> None:
        super().__init__()
        self.program = program

    def parse_outcome(self, reply_type: str, rest: bytes) -> str:
        outcome = super().parse_outcome(reply_type, rest)
        retry_after_ms = rest.removeprefix(b"BUSY").strip()
        return (
            f"{REFUSED} {int(retry_after_ms)}" if outcome == REFUSED and retry_after_ms.isdigit() else outcome
        )

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self.buffer and not self.pending_answers:
            self.program.writer.note("extra", data=repr(bytes(self.buffer[:80])))
            self.close()


class Gateway:
    """A gateway as seen by the clients, with its connection pool."""

    def __init__(self, program: Program, number: int, address: Address) -> None:
        self.program, self.number, self.address = program, number, address
        self.idle_connections: list[GatewayConnection] = []
        self.busy_connections: dict[str, GatewayConnection] = {}
        self.is_probing = False

    def receive_request(self, request: ClientRequest) -> None:
        self.program.spawn(self.serve(request))

    async def serve(self, request: ClientRequest) -> None:
        program = self.program
        try:
            while self.idle_connections and not self.idle_connections[-1].is_open():
                self.idle_connections.pop()
            if self.idle_connections:
                connection = self.idle_connections.pop()
            else:
                _, connection = await program.loop.create_connection(
                    lambda: GatewayConnection(program), *self.address
                )
        except OSError:
            self.start_probing()
            program.clients.unreached(request)
            return
        if request.is_over:
            self.idle_connections.append(connection)
            return
        self.busy_connections[request.id] = connection
        outcome = await connection.send_commands([program.command(request, self.number)])[0]
        self.busy_connections.pop(request.id, None)
        how, _, retry_after_ms = outcome.partition(" ")
        if how == "closed":
            if not request.is_over:
                self.start_probing()
                program.clients.gateway_died(request)
            return
        if connection.is_open():
            self.idle_connections.append(connection)
        if not request.is_over:
            program.clients.answered(request, how, int(retry_after_ms or 0) * 1000, None, self)
        else:
            program.writer.note("late", id=request.id, how=how)

    def client_gone(self, request: ClientRequest) -> bool:
        """Handle a client's time-out; return whether an answer was still outstanding.

        The connection stays open for the grace period `limits.answer_ms`, to record a late answer.
        """
        connection = self.busy_connections.get(request.id)
        if connection is not None:
            grace_s = self.program.config.plan.limits.answer_ms / 1000
            self.program.loop.call_later(grace_s, self.close_unanswered, request, connection)
        return connection is not None

    def close_unanswered(self, request: ClientRequest, connection: GatewayConnection) -> None:
        if self.busy_connections.pop(request.id, None) is not None:
            self.program.writer.note("lost", id=request.id)
            connection.close()

    def start_probing(self) -> None:
        """Start probing after a failed connection, unless a probe is running."""
        if not self.is_probing:
            self.is_probing = True
            self.program.spawn(self.probe())

    async def probe(self) -> None:
        """Send PING until the gateway answers; it counts as down from the detection delay until then."""
        program = self.program
        detection_delay_us = program.clients.draw_detection_delay_us()
        began_us = now_us()
        try:
            while True:
                if now_us() - began_us > detection_delay_us:
                    program.clients.down.add(self.number)
                try:
                    async with asyncio.timeout(PONG_TIMEOUT_S):
                        _, connection = await program.loop.create_connection(
                            lambda: GatewayConnection(program), *self.address
                        )
                        outcome = await connection.send_commands([PING])[0]
                        connection.close()
                    if outcome == "pong":
                        program.writer.note("pong", door=self.number)
                        return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self.is_probing = False
            program.clients.down.discard(self.number)


class LiveClients(Clients):
    """The simulation's clients, whose requests go over sockets and are recorded."""

    def __init__(self, program: Program, world: World) -> None:
        super().__init__(world, world.scenario.clients, world.streams["clients"])  # type: ignore[arg-type]
        self.program, self.writer = program, program.writer
        self.serial = itertools.count((16 + program.config.number) << 56)  # unique ids of 16 hex digits
        self.keys: dict[int, str] = {}  # idempotency key by id() of the open operation

    def draw_detection_delay_us(self) -> float:
        """Draw the delay in microseconds after which the load balancer detects a gateway that is down."""
        return self.stream.span(self.spec.notice_s) * S

    def start_operation(self, customer: Customer, kind: int, work_us: float) -> None:
        self.program.open_operations += 1
        super().start_operation(customer, kind, work_us)

    def receive(self, request: ClientRequest, how: str, cause: str, retry_after_us: int) -> None:
        if not request.is_over:
            self.writer.note("end", id=request.id, how=how, wait_us=retry_after_us)
        super().receive(request, how, cause, retry_after_us)

    def end(self, operation: Operation, served: ClientRequest | None, cause: str) -> None:
        super().end(operation, served, cause)
        rule = self.run.scenario.classes[operation.class_index]
        self.keys.pop(id(operation), None)
        self.program.open_operations -= 1
        self.writer.note(
            "ask",
            first_us=operation.first_us,
            customer=operation.customer.name,
            worth=operation.worth,
            ideal=operation.is_in_ideal_quota,
            tries=operation.requests,
            served=served.id if served else "",
            in_time=bool(served) and now_us() <= operation.objective_end_us,
            **{"class": rule.name, "plan": self.run.scenario.plans[operation.customer.plan].name},
        )


class Program:
    """The process: its world, its gateways and its load."""

    def __init__(self, config: ProcessConfig) -> None:
        self.config, self.loop = config, asyncio.get_running_loop()
        self.writer = Writer(Path(config.history))
        self.world = World(config.plan.fleet, config.seed, RealClock(self.loop))
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_operations = 0  # operations that have not ended
        self.world.clients = self.clients = LiveClients(self, self.world)
        self.world.doors = [
            Gateway(self, number, (host, int(port)))
            for number, address in enumerate(config.doors)
            for host, _, port in [address.rpartition(":")]
        ]
        self.has_started = asyncio.Event()

    def spawn(self, job: object) -> None:
        self.tasks.add(task := self.loop.create_task(job))
        task.add_done_callback(self.tasks.discard)

    def command(self, request: ClientRequest, gateway: int) -> bytes:
        """Record a request and return its encoded command."""
        operation, scenario = request.operation, self.world.scenario
        rule, customer = scenario.classes[operation.class_index], operation.customer
        plan = scenario.plans[customer.plan].name
        left_ms = max(0, (request.end_us - now_us()) // 1000)
        key = self.clients.keys.setdefault(id(operation), request.id) if rule.keyed else ""
        self.writer.note(
            "try",
            id=request.id,
            door=gateway,
            customer=customer.name,
            key=key,
            left_ms=left_ms,
            number=operation.requests,
            **{"class": rule.name, "plan": plan},
        )
        fields = (
            f"c={rule.name},t={plan},d={left_ms},units=1,spread={customer.size},first={customer.first}"
        ).encode()
        arguments = [customer.name.encode(), request.id.encode()]
        if rule.keyed:
            return encode([b"SVC.SUBMIT", *arguments, fields + b",k=" + key.encode(), BODY])
        return encode([b"SVC.QUERY", *arguments, fields])

    async def run(self) -> None:
        load = generate_load(self.config.plan, self.config.seed, self.config.number)
        print(f"clients {self.config.number} have {len(load)} entries", flush=True)
        order_reader = self.loop.create_task(orders(self.handle_order))
        self.spawn(watch_lag(self.writer.note))
        await self.has_started.wait()
        await self.play(load)
        order_reader.cancel()

    def handle_order(self, order: Order) -> None:
        if "go" in order:
            self.world.start_us = order["go"]
            self.has_started.set()

    async def play(self, load: list[LoadEntry]) -> None:
        """Start each operation at its time, and return when the last one has ended."""
        start_us = self.world.start_us
        for entry in load:
            if (left_us := start_us + entry.at_us - now_us()) > 0:
                await asyncio.sleep(left_us / 1e6)
            if entry.cumulative is not None:
                entry.customer.cumulative = entry.cumulative
            else:
                self.clients.start_operation(entry.customer, entry.kind, entry.work_us)
        while self.open_operations or any(gateway.busy_connections for gateway in self.world.doors):
            await asyncio.sleep(POLL_INTERVAL_S)


async def main(config: ProcessConfig) -> None:
    await Program(config).run()


if __name__ == "__main__":
    start(main)
