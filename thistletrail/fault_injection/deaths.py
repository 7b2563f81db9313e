"""Deaths at chosen points of a piece of work: is it run once, and does its client get its outcome?

Front doors and the steward are real processes. Between a door and the steward, and in the place of scan
servers and clients, stands this program: it sees how far a piece of work has come, and kills the door there.
Then its client asks another door again, under the same key, until it knows the outcome.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

from thistletrail.benchmarks.callers import Caller
from thistletrail.benchmarks.errors import BenchError
from thistletrail.benchmarks.process import Process, Tree, free_port, start_door
from thistletrail.benchmarks.standins import HOST, Address, text
from thistletrail.benchmarks.work import start_steward
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.gateway.resp import CommandReader, ProtocolError, encode
from thistletrail.leasing.framing import SIGNATURE_HEADER, sign

POINTS = (
    "before the intent",
    "after the intent",
    "in the write",
    "after the write",
    "before it is kept",
    "after it is kept",
    "after the client has it",
)
EFFECTS = ("keyed", "unsafe")
ZONES = 2
TIME_MS = 3000  # `d` of a request
WORK_S = 0.02  # that a scan server takes
PATIENCE_S = 6.0  # of a client that comes again: past the lease, and as long as an answer is kept
WAIT_S = 0.05  # between its tries
LOOK_S = 0.02  # between looks at a log
RECORDED_TEXT = "work is recorded by the lease service"  # logged when a gateway has its first answer from it
DYING_S = 2.0  # for the point to be reached: else it is not
WINDOW_MS = 8000
LEASE_MS = 1000
SMALL, LARGE = 256, 64 << 10  # bytes of a body; one in the middle of which a write can be cut
CLASSES = {"keyed": "submit-record", "unsafe": "send-once"}


@dataclass
class Death:
    """One piece of work whose door was killed."""

    point: str
    effect: str
    key: str
    door: int
    reached: bool = False  # the point: else the work ended without it
    ran: list[int] = field(default_factory=list)  # zones of its executions
    first: str = ""  # how it ended at its first client
    last: str = ""  # what its client got in the end
    tries: int = 0

    @property
    def wrong(self) -> str:
        """What must not be, in one sentence."""
        if self.effect == "unsafe" and len(self.ran) > 1:
            return f"{self.key} may not be repeated, and ran {len(self.ran)} times"
        if len(set(self.ran)) > 1:
            return f"{self.key} ran in {len(set(self.ran))} zones"
        kept = self.point in POINTS[5:] and self.effect == "keyed"
        if kept and (self.last != "served" or len(self.ran) > 1):
            return f"{self.key}: its outcome was kept, and its client got '{self.last}'"
        return ""


class Scan(asyncio.Protocol):
    """A door's connection to one of the scan servers, which drop what they know in their zone."""

    def __init__(self, fleet: Deaths, door: int, zone: int) -> None:
        self.fleet, self.door, self.zone = fleet, door, zone
        self.reader, self.ended = CommandReader(), False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        if death := self.fleet.writing(data):
            self.fleet.strike(death)
            self.ended = True
            self.transport.abort()
        if self.ended:
            return
        with contextlib.suppress(ProtocolError):
            while (words := self.reader.next()) is not None:
                self.take(words)

    def take(self, words: list[bytes]) -> None:
        if words[0] == b"PING":
            self.transport.write(b"+PONG\r\n")
            return
        key = self.fleet.key_of(words)
        self.fleet.came[key].append((self.door, self.zone))
        if key in self.fleet.poison:
            self.fleet.doors[self.door].kill()
            return
        loop = asyncio.get_running_loop()
        if (self.zone, key) not in self.fleet.known:  # else its zone remembers it, and drops the repeat
            self.fleet.known.add((self.zone, key))
            self.fleet.ran[key].append(self.zone)
        death = self.fleet.dying.get(key)
        if death is not None and death.point == "after the write":
            self.fleet.strike(death)
        elif key not in self.fleet.held:
            loop.call_later(WORK_S, self.answer)

    def answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")


class Wire:
    """A door's way to the steward, chunk by chunk."""

    def __init__(self, fleet: Deaths, door: int) -> None:
        self.fleet, self.door, self.asked = fleet, door, b""

    async def join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.door in self.fleet.cut:
            writer.close()
            return
        try:
            there, back = await asyncio.open_connection(*self.fleet.steward.address)
        except OSError:
            writer.close()
            return
        self.fleet.tasks += [
            asyncio.ensure_future(self.pipe(reader, back, self.ask)),
            asyncio.ensure_future(self.pipe(there, writer, self.tell)),
        ]

    async def pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, passes: Callable[[bytes], bool]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 20):
                if not passes(data):
                    break
                writer.write(data)
                await writer.drain()
        writer.close()

    def ask(self, data: bytes) -> bool:
        """What the door says: whether it may pass."""
        if self.door in self.fleet.cut:
            return False
        self.asked += data
        return not self.strikes({"before the intent": b"begin", "before it is kept": b"done"})

    def tell(self, data: bytes) -> bool:
        """What the steward answers to it."""
        if self.strikes({"after the intent": b"begin", "after it is kept": b"done"}):
            return False
        self.asked = b""
        return True

    def strikes(self, ops: dict[str, bytes]) -> bool:
        """Whether a death is due here: by its point, the op that the ask which is out has to hold."""
        for death in self.fleet.at(self.door):
            op = ops.get(death.point)
            if op and self.names(death, op):
                self.fleet.strike(death)
                return True
        return False

    def names(self, death: Death, op: bytes) -> bool:
        """Whether the ask that is out holds an op of a piece of work."""
        return op in self.asked and death.key.encode() in self.asked


class Deaths:
    """The fleet, and the deaths that its doors die."""

    def __init__(self, tree: Tree, folder: Path, seed: int, doors: int, takeover: bool) -> None:
        self.tree, self.folder, self.random, self.takeover = tree, folder, random.Random(seed), takeover
        self.dying: dict[str, Death] = {}  # by key
        self.ran: dict[str, list[int]] = defaultdict(list)
        self.known: set[tuple[int, str]] = set()
        self.came: dict[str, list[tuple[int, int]]] = defaultdict(list)  # by key: doors and zones of attempts
        self.held: set[str] = set()  # keys that scan servers do not answer
        self.poison: set[str] = set()  # keys that kill whichever door sends them
        self.cut: set[int] = set()  # doors that do not reach the steward
        self.tasks: list[asyncio.Future[None]] = []
        self.doors: list[Process | None] = [None] * doors
        self.configs: list[dict[str, Any]] = []
        self.serial, self.seed = 0, seed
        self.servers: list[asyncio.Server] = []

    # --- start and end ---

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        try:
            await self.start()
            yield
        finally:
            for process in [*self.doors, getattr(self, "steward", None)]:
                if process is not None:
                    process.kill()
                    await process.process.wait()
            for server in self.servers:
                server.close()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        budgets, secret = self.folder / "budgets.toml", self.folder / "secret"
        budgets.write_text(f"budgets = []\nwork_lease_ms = {LEASE_MS}\n")
        secret.write_text(f"{self.random.getrandbits(256):064x}")
        await self.start_steward()
        for number in range(len(self.doors)):
            scans = []
            for scan in range(2 * ZONES):
                server = await loop.create_server(
                    lambda door=number, zone=scan % ZONES: Scan(self, door, zone), HOST, 0
                )
                self.servers.append(server)
                scans.append(server.sockets[0].getsockname())
            wire = Wire(self, number)
            server = await asyncio.start_server(wire.join, HOST, 0)
            self.servers.append(server)
            self.configs.append(self.config(number, scans, server.sockets[0].getsockname(), secret))
        await asyncio.gather(*(self.start_door(number) for number in range(len(self.doors))))

    async def start_steward(self) -> None:
        """With what it has kept, if it was there before."""
        self.steward = await start_steward(self.folder)

    def config(self, number: int, scans: list[Address], wire: Address, secret: Path) -> dict[str, Any]:
        """What a door is told: all of its fleet, and a list that nobody renews."""
        instances = [
            {
                "instanceId": f"s-{n}",
                "hostPort": text(address),
                "zone": f"zone-{n % ZONES}",
                "machineType": "m1",
                "cell": n,
                "lifecycle": "SERVING",
                "weight": 1,
                "startedAtMs": 0,
            }
            for n, address in enumerate(scans)
        ]
        told = {"addresses": text(wire), "secret_file": str(secret), "classes": list(CLASSES.values())}
        classes = [
            {
                "name": "submit-record",
                "on-time-us": 2_000_000,
                "deadline-us": 4_000_000,
                "points": 9,
                "late-worth": 0.5,
                "idempotency": "idempotency_key",
                "group": "zone",
                "window-us": WINDOW_MS * 1000,
            },
            {
                "name": "send-once",
                "on-time-us": 2_000_000,
                "deadline-us": 4_000_000,
                "points": 9,
                "late-worth": 0.5,
                "idempotency": "non_idempotent",
                "window-us": WINDOW_MS * 1000,
            },
        ]
        listen, nobody = text((HOST, free_port())), text((HOST, free_port()))
        return {
            "name": f"door-{number}",
            "listen": listen,
            "discovery": nobody,
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            "known": {"generation": 1, "reset": True, "instances": instances},
            "settings": {
                "me": number,
                "balancers": len(self.doors),
                "zone": number % ZONES,
                "zones": [f"zone-{n}" for n in range(ZONES)],
                "kinds": ["m1"],
                "categories": classes,
                "plans": [{"name": "standard", "units-per-s": 1000.0, "burst": 1000.0, "value-factor": 1.0}],
                "ceilings": {
                    "max-attempts": 5,
                    "retry-after": True,
                    "max-retry-after-us": 2_000_000,
                    "may-cancel": True,
                },
            },
            **({"work_leases" if self.tree.has_lease_keys else "takeover": told} if self.takeover else {}),
        }

    async def start_door(self, number: int) -> None:
        folder = self.folder / f"door-{number}"
        folder.mkdir(exist_ok=True)
        known = self.said(number)
        process = self.doors[number] = await start_door(self.tree, self.configs[number], folder)
        await process.ready()
        while self.takeover and number not in self.cut and self.said(number) == known:
            if process.process.returncode is not None:
                raise BenchError(f"door {number} has ended: {process.last_line()}")
            await asyncio.sleep(LOOK_S)

    def said(self, number: int, text: str = RECORDED_TEXT) -> int:
        """How often a door's log says so: that it has been heard of by the steward, unless another text is
        asked for."""
        log = self.folder / f"door-{number}" / "log"
        return log.read_text(errors="replace").count(text) if log.exists() else 0

    async def counts(self) -> dict[str, int]:
        """What the steward says of all work so far."""
        secret = (self.folder / "secret").read_bytes()
        url = f"http://{text(self.steward.address)}/status"
        async with (
            ClientSession() as session,
            session.get(url, headers={SIGNATURE_HEADER: sign(secret, b"/status")}) as answer,
        ):
            return (await answer.json())["work"]

    # --- deaths ---

    def at(self, door: int) -> list[Death]:
        return [death for death in self.dying.values() if death.door == door]

    def strike(self, death: Death) -> None:
        """The point is reached: its door dies."""
        if self.dying.pop(death.key, None) is not None:
            death.reached = True
            self.doors[death.door].kill()

    def writing(self, data: bytes) -> Death | None:
        """The death in the middle of whose write these bytes are."""
        return next(
            (
                death
                for death in self.dying.values()
                if death.point == "in the write" and death.key.encode() in data
            ),
            None,
        )

    def key_of(self, words: list[bytes]) -> str:
        """What a piece of work goes by: its key, or the id of what has none."""
        fields = dict(part.partition("=")[::2] for part in words[3].decode().split(","))
        return fields.get("k") or words[2].decode()

    def command(self, death: Death, name: str) -> bytes:
        size = LARGE if death.point == "in the write" else SMALL
        return self.submit(death.effect, death.key if death.effect == "keyed" else "", name, b"b" * size)

    def submit(self, effect: str, key: str, name: str, body: bytes, time_ms: int = TIME_MS) -> bytes:
        """A request as a client writes it."""
        fields = f"c={CLASSES[effect]},t=standard,d={time_ms},units=1,spread={len(self.doors)},first=0"
        fields += f",k={key}" if key else ""
        return encode([b"SVC.SUBMIT", b"%016x" % 7, name.encode(), fields.encode(), body])

    async def ask(self, door: int, command: bytes, wait_s: float) -> str:
        try:
            caller = await Caller.open(self.doors[door].address)
        except OSError:
            return "unreached"
        try:
            return await asyncio.wait_for(caller.ask([command])[0], wait_s)
        except TimeoutError:
            return "unanswered"
        finally:
            caller.close()

    async def die(self, point: str, effect: str, door: int) -> Death:
        """One piece of work, the death of its door, its client's way to the outcome, the door's return."""
        self.serial += 1
        death = Death(point, effect, f"{self.seed:04x}{self.serial:012x}", door)
        self.dying[death.key] = death
        death.first = await self.ask(door, self.command(death, death.key), DYING_S)
        if point == "after the client has it" and death.first == "served":
            self.strike(death)
        self.dying.pop(death.key, None)
        loop = asyncio.get_running_loop()
        end = loop.time() + PATIENCE_S
        if effect == "unsafe":  # it has no key to ask again by: what becomes of it is seen where it runs
            await asyncio.sleep(2 * LEASE_MS / 1000)
            death.last = death.first
        while effect == "keyed" and death.last != "served" and loop.time() < end:
            death.tries += 1
            others = [number for number in range(len(self.doors)) if number != door]
            name = f"{death.key}t{death.tries}"
            death.last = await self.ask(self.random.choice(others), self.command(death, name), PATIENCE_S)
            await asyncio.sleep(WAIT_S)
        if death.reached:
            await self.doors[door].process.wait()
            await self.start_door(door)
        death.ran = self.ran[death.key]
        return death


async def deaths(
    tree: Tree,
    folder: Path,
    points: tuple[str, ...],
    effects: tuple[str, ...],
    count: int,
    seed: int,
    doors: int,
    takeover: bool = True,
    say: Callable[[str], None] = lambda text: None,
) -> list[Death]:
    """So many deaths at each point, of each kind of class; half of the doors die, the others stay."""
    fleet = Deaths(tree, folder, seed, doors, takeover)
    todo = [(point, effect) for _ in range(count) for point in points for effect in effects]
    found: list[Death] = []

    async def work(door: int) -> None:
        while todo:
            found.append(await fleet.die(*todo.pop(), door))
            if len(found) % 50 == 0:
                say(f"{len(found)} deaths")

    try:
        async with fleet.running():
            async with asyncio.TaskGroup() as group:
                for door in range(max(1, doors // 2)):
                    group.create_task(work(door))
            if takeover:
                counts = await fleet.counts()
                say(", ".join(f"{name} {counts[name]}" for name in ("kept", "handed", "served", "parked")))
    except (BenchError, ExceptionGroup) as error:
        inner = error.exceptions[0] if isinstance(error, ExceptionGroup) else error
        if isinstance(inner, BenchError):
            raise FaultInjectionError(str(inner)) from error
        raise
    return found


def table(found: list[Death]) -> str:
    """By point and kind of class: how many died there, what ran how often, and what clients got."""
    lines = [
        "| point | class | deaths | ran once | never | more often | ended well | wrong |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for point in POINTS:
        for effect in EFFECTS:
            these = [death for death in found if (death.point, death.effect) == (point, effect)]
            if not these:
                continue
            ran = [len(death.ran) for death in these]
            lines.append(
                f"| {point} | {effect} | {sum(death.reached for death in these)} | {ran.count(1)} "
                f"| {ran.count(0)} | {sum(n > 1 for n in ran)} "
                f"| {sum(death.last == 'served' for death in these)} "
                f"| {sum(bool(death.wrong) for death in these)} |"
            )
    return "\n".join(lines)
