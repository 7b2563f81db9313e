"""The load generator: a process that runs the simulation's customers and clients in real time.

Its argument is the path of its configuration. It prints a line once its load is generated, for which its
parent waits. It starts at the time that the order `go` gives (microseconds of the monotonic clock), and exits
after its last request. It also simulates the load balancer in front of the gateways, which detects after a
delay that a gateway is down, and uses it again once it answers PING.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

from thistletrail.benchmarks.load_generator import BODY, PING, GatewayClient
from thistletrail.fault_injection.history import Writer
from thistletrail.fault_injection.program import Order, ProcessConfig, handle_orders, run_program
from thistletrail.fault_injection.realtime import RealClock, now_us, record_event_loop_lag
from thistletrail.fault_injection.simulation_context import LoadEntry, SimulationContext, generate_load
from thistletrail.gateway.resp import encode
from thistletrail.simulation.clients import ClientRequest, Clients, Customer, Operation
from thistletrail.simulation.clock import S

if TYPE_CHECKING:
    from thistletrail.fault_injection.relay import Address

# Between probes of a gateway that is down, and between checks whether all operations have ended.
POLL_INTERVAL_S = 0.05
PONG_TIMEOUT_S = 0.5
REFUSED = "refused"  # outcome of a refused request; the retry delay in ms may follow it


class GatewayConnection(GatewayClient):
    """A connection to a gateway, which records data that are no answer to a request and then closes."""

    def __init__(self, generator: LoadGenerator) -> None:
        super().__init__()
        self.generator = generator

    def parse_outcome(self, reply_type: str, rest: bytes) -> str:
        """Return the outcome of an answer, with the retry delay in ms if it is refused and has one."""
        outcome = super().parse_outcome(reply_type, rest)
        retry_after_ms = rest.removeprefix(b"BUSY").strip()
        return (
            f"{REFUSED} {int(retry_after_ms)}" if outcome == REFUSED and retry_after_ms.isdigit() else outcome
        )

    def data_received(self, data: bytes) -> None:
        """Read answers; data beyond those of all pending requests are recorded, and end the connection."""
        super().data_received(data)
        if self.buffer and not self.pending_answers:
            self.generator.writer.note("extra", data=repr(bytes(self.buffer[:80])))
            self.close()


class Gateway:
    """A gateway as the clients use it, with a pool of connections.

    `receive_request` and `on_client_disconnect` are called by the simulation's clients.
    """

    def __init__(self, generator: LoadGenerator, number: int, address: Address) -> None:
        self.generator, self.number, self.address = generator, number, address
        self.idle_connections: list[GatewayConnection] = []
        self.busy_connections: dict[str, GatewayConnection] = {}
        self.is_probing = False

    def receive_request(self, request: ClientRequest) -> None:
        """Start to send a request over one of the connections."""
        self.generator.spawn(self.send(request))

    async def send(self, request: ClientRequest) -> None:
        """Send a request over an idle or new connection, and report its outcome to the clients."""
        generator = self.generator
        try:
            while self.idle_connections and not self.idle_connections[-1].is_open():
                self.idle_connections.pop()
            if self.idle_connections:
                connection = self.idle_connections.pop()
            else:
                _, connection = await generator.loop.create_connection(
                    lambda: GatewayConnection(generator), *self.address
                )
        except OSError:
            self.start_probing()
            generator.clients.unreached(request)
            return
        if request.is_over:
            self.idle_connections.append(connection)
            return
        self.busy_connections[request.id] = connection
        outcome = await connection.send_commands([generator.encode_command(request, self.number)])[0]
        self.busy_connections.pop(request.id, None)
        result, _, retry_after_ms = outcome.partition(" ")
        if result == "closed":
            if not request.is_over:
                self.start_probing()
                generator.clients.gateway_died(request)
            return
        if connection.is_open():
            self.idle_connections.append(connection)
        if not request.is_over:
            generator.clients.answered(request, result, int(retry_after_ms or 0) * 1000, None, self)
        else:
            generator.writer.note("late", id=request.id, how=result)

    def on_client_disconnect(self, request: ClientRequest) -> bool:
        """Handle the time-out of a request at its client; return whether an answer was still outstanding.

        The connection stays open for the grace period `limits.answer_ms`, to record a late answer.
        """
        connection = self.busy_connections.get(request.id)
        if connection is not None:
            grace_s = self.generator.config.plan.limits.answer_ms / 1000
            self.generator.loop.call_later(grace_s, self.close_unanswered, request, connection)
        return connection is not None

    def close_unanswered(self, request: ClientRequest, connection: GatewayConnection) -> None:
        """Record that a request got no answer within the grace period, and close its connection."""
        if self.busy_connections.pop(request.id, None) is not None:
            self.generator.writer.note("lost", id=request.id)
            connection.close()

    def start_probing(self) -> None:
        """Start to probe the gateway after a failed connection, unless it is being probed."""
        if not self.is_probing:
            self.is_probing = True
            self.generator.spawn(self.probe())

    async def probe(self) -> None:
        """Send PING until the gateway answers.

        The clients regard it as down from the end of the detection delay until it answers.
        """
        generator = self.generator
        detection_delay_us = generator.clients.draw_detection_delay_us()
        began_us = now_us()
        try:
            while True:
                if now_us() - began_us > detection_delay_us:
                    generator.clients.known_down.add(self.number)
                try:
                    async with asyncio.timeout(PONG_TIMEOUT_S):
                        _, connection = await generator.loop.create_connection(
                            lambda: GatewayConnection(generator), *self.address
                        )
                        outcome = await connection.send_commands([PING])[0]
                        connection.close()
                    if outcome == "pong":
                        generator.writer.note("pong", door=self.number)
                        return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self.is_probing = False
            generator.clients.known_down.discard(self.number)


class LiveClients(Clients):
    """The simulation's clients, but their requests go over sockets, and are recorded in the history."""

    def __init__(self, generator: LoadGenerator, context: SimulationContext) -> None:
        super().__init__(context, context.scenario.clients, context.streams["clients"])  # type: ignore[arg-type]
        self.generator, self.writer = generator, generator.writer
        # The ids of requests have 16 hex digits and are unique over all load generators.
        self.request_numbers = itertools.count((16 + generator.config.number) << 56)
        self.idempotency_keys: dict[int, str] = {}  # by id() of the open operation

    def draw_detection_delay_us(self) -> float:
        """Draw the delay in microseconds after which the load balancer detects a gateway that is down."""
        return self.stream.uniform_in(self.spec.notice_s) * S

    def start_operation(self, customer: Customer, class_index: int, work_us: float) -> None:
        """Start an operation, and count it as open."""
        self.generator.open_operations += 1
        super().start_operation(customer, class_index, work_us)

    def end_request(self, request: ClientRequest, result: str, cause: str, retry_after_us: int) -> None:
        """End a request, and record its outcome."""
        if not request.is_over:
            self.writer.note("end", id=request.id, how=result, wait_us=retry_after_us)
        super().end_request(request, result, cause, retry_after_us)

    def end_operation(self, operation: Operation, served: ClientRequest | None, cause: str) -> None:
        """End an operation, and record it."""
        super().end_operation(operation, served, cause)
        rule = self.run.scenario.classes[operation.class_index]
        self.idempotency_keys.pop(id(operation), None)
        self.generator.open_operations -= 1
        self.writer.note(
            "ask",
            first_us=operation.first_us,
            customer=operation.customer.name,
            worth=operation.value,
            ideal=operation.is_in_ideal_quota,
            tries=operation.request_count,
            served=served.id if served else "",
            in_time=bool(served) and now_us() <= operation.objective_end_us,
            **{"class": rule.name, "plan": self.run.scenario.plans[operation.customer.plan].name},
        )


class LoadGenerator:
    """The process: its clients, the gateways that they use, and its load."""

    def __init__(self, config: ProcessConfig) -> None:
        self.config, self.loop = config, asyncio.get_running_loop()
        self.writer = Writer(Path(config.history))
        self.context = SimulationContext(config.plan.fleet, config.seed, RealClock(self.loop))
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_operations = 0
        self.context.clients = self.clients = LiveClients(self, self.context)
        self.context.gateways = [
            Gateway(self, number, (host, int(port)))
            for number, address in enumerate(config.doors)
            for host, _, port in [address.rpartition(":")]
        ]
        self.start_order_received = asyncio.Event()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, and keep a reference to it until it is done."""
        self.tasks.add(task := self.loop.create_task(coroutine))
        task.add_done_callback(self.tasks.discard)

    def encode_command(self, request: ClientRequest, gateway: int) -> bytes:
        """Record a request and return its encoded command."""
        operation, scenario = request.operation, self.context.scenario
        rule, customer = scenario.classes[operation.class_index], operation.customer
        plan = scenario.plans[customer.plan].name
        remaining_ms = max(0, (request.end_us - now_us()) // 1000)
        key = self.clients.idempotency_keys.setdefault(id(operation), request.id) if rule.keyed else ""
        self.writer.note(
            "try",
            id=request.id,
            door=gateway,
            customer=customer.name,
            key=key,
            left_ms=remaining_ms,
            number=operation.request_count,
            **{"class": rule.name, "plan": plan},
        )
        fields = (
            f"c={rule.name},t={plan},d={remaining_ms},units=1,spread={customer.set_size},first={customer.set_first}"
        ).encode()
        arguments = [customer.name.encode(), request.id.encode()]
        if rule.keyed:
            return encode([b"SVC.SUBMIT", *arguments, fields + b",k=" + key.encode(), BODY])
        return encode([b"SVC.QUERY", *arguments, fields])

    async def run(self) -> None:
        """Generate the load, run it from the time of the order `go`, and return after its last request."""
        load = generate_load(self.config.plan, self.config.seed, self.config.number)
        print(f"clients {self.config.number} have {len(load)} entries", flush=True)
        order_reader = self.loop.create_task(handle_orders(self.handle_order))
        self.spawn(record_event_loop_lag(self.writer.note))
        await self.start_order_received.wait()
        await self.run_load(load)
        order_reader.cancel()

    def handle_order(self, order: Order) -> None:
        """Handle the order `go`, which gives the time at which the load begins."""
        if "go" in order:
            self.context.start_us = order["go"]
            self.start_order_received.set()

    async def run_load(self, load: list[LoadEntry]) -> None:
        """Start each operation at its time; return when all have ended and no answer is outstanding."""
        start_us = self.context.start_us
        for entry in load:
            if (wait_us := start_us + entry.at_us - now_us()) > 0:
                await asyncio.sleep(wait_us / 1e6)
            if entry.cumulative is not None:
                entry.customer.cumulative_weights = entry.cumulative
            else:
                self.clients.start_operation(entry.customer, entry.class_index, entry.work_us)
        while self.open_operations or any(gateway.busy_connections for gateway in self.context.gateways):
            await asyncio.sleep(POLL_INTERVAL_S)


async def main(config: ProcessConfig) -> None:
    """Run a load generator."""
    await LoadGenerator(config).run()


if __name__ == "__main__":
    run_program(main)
