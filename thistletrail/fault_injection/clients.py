"""The clients of a run, as a process of their own: the model's customers and clients, in real time.

Started with the path of its configuration. It prints a line once its load is drawn, and begins at the moment
that the order `go` names (microseconds of the monotonic clock); it ends with its last request. The front that
spreads requests over the doors is in it: a door that has died is noticed late, and taken in again once it
answers PING.
"""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path
from typing import TYPE_CHECKING

from thistletrail.benchmarks.callers import BODY, PING, Caller
from thistletrail.fault_injection.history import Writer
from thistletrail.fault_injection.program import Order, Told, orders, start
from thistletrail.fault_injection.realtime import RealClock, now_us, watch_lag
from thistletrail.fault_injection.world import LoadEntry, World, generate_load
from thistletrail.gateway.resp import encode
from thistletrail.simulation.clients import ClientRequest, Clients, Customer, Operation
from thistletrail.simulation.clock import S

if TYPE_CHECKING:
    from thistletrail.fault_injection.relay import Address

LOOK_S = 0.05  # between tries to reach a door that is down
PONG_S = 0.5  # for its answer
WAITS = "refused"  # how an answer that refuses begins, before the time that it says


class Line(Caller):
    """One connection to a door. A refusal comes with its time; an answer that nobody asked for is told."""

    def __init__(self, program: Program) -> None:
        super().__init__()
        self.program = program

    def word(self, mark: str, rest: bytes) -> str:
        word = super().word(mark, rest)
        wait = rest.removeprefix(b"BUSY").strip()
        return f"{WAITS} {int(wait)}" if word == WAITS and wait.isdigit() else word

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self.buffer and not self.asked:
            self.program.writer.note("extra", data=repr(bytes(self.buffer[:80])))
            self.close()


class Door:
    """A front door as clients reach it."""

    def __init__(self, program: Program, number: int, address: Address) -> None:
        self.program, self.number, self.address = program, number, address
        self.free: list[Line] = []
        self.busy: dict[str, Line] = {}
        self.looking = False

    def receive_request(self, try_: ClientRequest) -> None:
        self.program.spawn(self.serve(try_))

    async def serve(self, try_: ClientRequest) -> None:
        program = self.program
        try:
            while self.free and not self.free[-1].usable():
                self.free.pop()
            if self.free:
                line = self.free.pop()
            else:
                _, line = await program.loop.create_connection(lambda: Line(program), *self.address)
        except OSError:
            self.missed()
            program.clients.unreached(try_)
            return
        if try_.is_over:
            self.free.append(line)
            return
        self.busy[try_.id] = line
        word = await line.ask([program.command(try_, self.number)])[0]
        self.busy.pop(try_.id, None)
        how, _, wait = word.partition(" ")
        if how == "closed":
            if not try_.is_over:
                self.missed()
                program.clients.gateway_died(try_)
            return
        if line.usable():
            self.free.append(line)
        if not try_.is_over:
            program.clients.answered(try_, how, int(wait or 0) * 1000, None, self)
        else:
            program.writer.note("late", id=try_.id, how=how)

    def client_gone(self, try_: ClientRequest) -> bool:
        """Its client gives up: whether an answer was still owed. It keeps the connection for as long as a
        late answer is no broken rule, to see whether one comes."""
        line = self.busy.get(try_.id)
        if line is not None:
            grace_s = self.program.told.plan.limits.answer_ms / 1000
            self.program.loop.call_later(grace_s, self.lost, try_, line)
        return line is not None

    def lost(self, try_: ClientRequest, line: Line) -> None:
        if self.busy.pop(try_.id, None) is not None:
            self.program.writer.note("lost", id=try_.id)
            line.close()

    def missed(self) -> None:
        """It could not be reached. The front takes it out after a time, and in again when it answers."""
        if not self.looking:
            self.looking = True
            self.program.spawn(self.look())

    async def look(self) -> None:
        program = self.program
        notice = program.clients.notice()
        began = now_us()
        try:
            while True:
                if now_us() - began > notice:
                    program.clients.down.add(self.number)
                try:
                    async with asyncio.timeout(PONG_S):
                        _, line = await program.loop.create_connection(lambda: Line(program), *self.address)
                        word = await line.ask([PING])[0]
                        line.close()
                    if word == "pong":
                        program.writer.note("pong", door=self.number)
                        return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(LOOK_S)
        finally:
            self.looking = False
            program.clients.down.discard(self.number)


class Live(Clients):
    """The model's clients, whose tries go over sockets and are noted."""

    def __init__(self, program: Program, world: World) -> None:
        super().__init__(world, world.scenario.clients, world.streams["clients"])  # type: ignore[arg-type]
        self.program, self.writer = program, program.writer
        self.serial = itertools.count((16 + program.told.number) << 56)  # ids of 16 digits, nobody else's
        self.keys: dict[int, str] = {}  # by ask that is open

    def notice(self) -> float:
        """After how many microseconds the front sees that a door is down."""
        return self.stream.span(self.spec.notice_s) * S

    def start_operation(self, customer: Customer, kind: int, work_us: float) -> None:
        self.program.open += 1
        super().start_operation(customer, kind, work_us)

    def receive(self, try_: ClientRequest, how: str, cause: str, retry_after_us: int) -> None:
        if not try_.is_over:
            self.writer.note("end", id=try_.id, how=how, wait_us=retry_after_us)
        super().receive(try_, how, cause, retry_after_us)

    def end(self, ask: Operation, served: ClientRequest | None, cause: str) -> None:
        super().end(ask, served, cause)
        rule = self.run.scenario.classes[ask.kind]
        self.keys.pop(id(ask), None)
        self.program.open -= 1
        self.writer.note(
            "ask",
            first_us=ask.first_us,
            customer=ask.customer.name,
            worth=ask.worth,
            ideal=ask.is_in_ideal_quota,
            tries=ask.requests,
            served=served.id if served else "",
            in_time=bool(served) and now_us() <= ask.aim_us,
            **{"class": rule.name, "plan": self.run.scenario.plans[ask.customer.plan].name},
        )


class Program:
    """The process: its world, its doors, and the load that it plays."""

    def __init__(self, told: Told) -> None:
        self.told, self.loop = told, asyncio.get_running_loop()
        self.writer = Writer(Path(told.history))
        self.world = World(told.plan.fleet, told.seed, RealClock(self.loop))
        self.tasks: set[asyncio.Task[None]] = set()
        self.open = 0  # asks that have not ended
        self.world.clients = self.clients = Live(self, self.world)
        self.world.doors = [
            Door(self, number, (host, int(port)))
            for number, address in enumerate(told.doors)
            for host, _, port in [address.rpartition(":")]
        ]
        self.began = asyncio.Event()

    def spawn(self, job: object) -> None:
        self.tasks.add(task := self.loop.create_task(job))
        task.add_done_callback(self.tasks.discard)

    def command(self, try_: ClientRequest, door: int) -> bytes:
        """The request as it is written, and noted."""
        ask, scenario = try_.operation, self.world.scenario
        rule, customer = scenario.classes[ask.kind], ask.customer
        plan = scenario.plans[customer.plan].name
        left = max(0, (try_.end_us - now_us()) // 1000)
        key = self.clients.keys.setdefault(id(ask), try_.id) if rule.keyed else ""
        self.writer.note(
            "try",
            id=try_.id,
            door=door,
            customer=customer.name,
            key=key,
            left_ms=left,
            number=ask.requests,
            **{"class": rule.name, "plan": plan},
        )
        fields = (
            f"c={rule.name},t={plan},d={left},units=1,spread={customer.size},first={customer.first}"
        ).encode()
        words = [customer.name.encode(), try_.id.encode()]
        if rule.keyed:
            return encode([b"SVC.SUBMIT", *words, fields + b",k=" + key.encode(), BODY])
        return encode([b"SVC.QUERY", *words, fields])

    async def run(self) -> None:
        load = generate_load(self.told.plan, self.told.seed, self.told.number)
        print(f"clients {self.told.number} have {len(load)} entries", flush=True)
        listening = self.loop.create_task(orders(self.order))
        self.spawn(watch_lag(self.writer.note))
        await self.began.wait()
        await self.play(load)
        listening.cancel()

    def order(self, order: Order) -> None:
        if "go" in order:
            self.world.start_us = order["go"]
            self.began.set()

    async def play(self, load: list[LoadEntry]) -> None:
        """The load at its times, and until the last of it has ended."""
        start_us = self.world.start_us
        for asked in load:
            if (left := start_us + asked.at_us - now_us()) > 0:
                await asyncio.sleep(left / 1e6)
            if asked.cumulative is not None:
                asked.customer.cumulative = asked.cumulative
            else:
                self.clients.start_operation(asked.customer, asked.kind, asked.work_us)
        while self.open or any(door.busy for door in self.world.doors):
            await asyncio.sleep(LOOK_S)


async def main(told: Told) -> None:
    await Program(told).run()


if __name__ == "__main__":
    start(main)
