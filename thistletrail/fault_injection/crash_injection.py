"""Crash injection: kills gateways at chosen points of a work item, and checks its executions and outcome.

The gateways and the lease service are real processes. This program relays between each gateway and the lease
service, and acts as the scan servers and the clients, so it observes the progress of each work item and kills
its gateway at the chosen point. The client then retries at other gateways with the same idempotency key until
it gets the outcome.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.load_generator import GatewayClient
from thistletrail.benchmarks.process import GatewaySourceTree, Process, free_port, start_gateway_process
from thistletrail.benchmarks.stub_servers import HOST, Address, format_address
from thistletrail.benchmarks.work import start_lease_service
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.gateway.resp import CommandReader, ProtocolError, encode
from thistletrail.leasing.framing import SIGNATURE_HEADER, sign

# Points in the processing of a work item, in their order: a gateway sends its intent to the lease service,
# writes the request to a scan server, sends the outcome to the lease service, and then answers the client.
POINTS = (
    "before the intent",
    "after the intent",
    "in the write",
    "after the write",
    "before it is kept",
    "after it is kept",
    "after the client has it",
)
EFFECTS = ("keyed", "unsafe")  # kinds of request classes: with an idempotency key, and never to be repeated
ZONES = 2
REQUEST_DEADLINE_MS = 3000
EXECUTION_TIME_S = 0.02
# Longer than a work lease, and shorter than the idempotency window for which an outcome is stored.
CLIENT_RETRY_TIMEOUT_S = 6.0
CLIENT_RETRY_INTERVAL_S = 0.05
LOG_POLL_INTERVAL_S = 0.02
# A gateway logs this on its first answer from the lease service.
RECORDED_TEXT = "work is recorded by the lease service"
FIRST_ATTEMPT_TIMEOUT_S = 2.0  # a crash whose point is not reached within this time is not injected
IDEMPOTENCY_WINDOW_MS = 8000
LEASE_MS = 1000
SMALL_BODY_BYTES = 256
LARGE_BODY_BYTES = 64 << 10  # large enough for a crash in the middle of its write
CLASSES = {"keyed": "submit-record", "unsafe": "send-once"}
NO_DELAY: Mapping[int, float] = {}


@dataclass
class InjectedCrash:
    """The crash of a gateway at one point of a work item, and the executions and outcome of the work item."""

    point: str
    effect: str
    key: str
    gateway: int
    reached: bool = False  # False: the work item ended before the point, and the gateway was not killed
    execution_zones: list[int] = field(default_factory=list)  # the zone of each execution
    first_outcome: str = ""  # outcome of the first request
    final_outcome: str = ""  # outcome that the client got in the end
    retries: int = 0  # requests sent after the first

    @property
    def violation(self) -> str:
        """The violated rule in one sentence, or an empty string."""
        if self.effect == "unsafe" and len(self.execution_zones) > 1:
            return f"{self.key} may not be repeated, and ran {len(self.execution_zones)} times"
        if len(set(self.execution_zones)) > 1:
            return f"{self.key} ran in {len(set(self.execution_zones))} zones"
        # From "after it is kept" on, the lease service has stored the outcome.
        outcome_is_stored = self.point in POINTS[5:] and self.effect == "keyed"
        if outcome_is_stored and (self.final_outcome != "served" or len(self.execution_zones) > 1):
            return f"{self.key}: its outcome was stored, and its client got '{self.final_outcome}'"
        return ""


class ScanServerConnection(asyncio.Protocol):
    """A gateway's connection to one of the scan servers.

    The scan servers of a zone share the keys that they have executed and do not execute a key twice.
    """

    def __init__(self, fleet: CrashFleet, gateway: int, zone: int) -> None:
        self.fleet, self.gateway, self.zone = fleet, gateway, zone
        self.reader, self.is_aborted = CommandReader(), False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport for the answers."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Execute the complete commands; inject a crash "in the write" at the first bytes of its request."""
        self.reader.feed(data)
        if crash := self.fleet.crash_in_write(data):
            self.fleet.crash(crash)
            self.is_aborted = True
            self.transport.abort()
        if self.is_aborted:
            return
        with contextlib.suppress(ProtocolError):
            while (arguments := self.reader.next()) is not None:
                self.execute(arguments)

    def execute(self, arguments: list[bytes]) -> None:
        """Execute a command and answer it, unless its key's answer is withheld or a crash is due."""
        if arguments[0] == b"PING":
            self.transport.write(b"+PONG\r\n")
            return
        key = self.fleet.work_key(arguments)
        self.fleet.attempts[key].append((self.gateway, self.zone))
        if key in self.fleet.fatal_keys:
            self.fleet.gateways[self.gateway].kill()
            return
        if key in self.fleet.turned_away_keys:
            self.transport.write(b"-BUSY\r\n")
            return
        loop = asyncio.get_running_loop()
        if (self.zone, key) not in self.fleet.executed:  # the zone ignores a duplicate
            self.fleet.executed.add((self.zone, key))
            self.fleet.execution_zones[key].append(self.zone)
        crash = self.fleet.pending_crashes.get(key)
        if crash is not None and crash.point == "after the write":
            self.fleet.crash(crash)
        elif key not in self.fleet.unanswered_keys:
            loop.call_later(EXECUTION_TIME_S, self.write_answer)

    def write_answer(self) -> None:
        """Write the answer of an execution, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")


class LeaseServiceRelay:
    """Relays the connections of one gateway to the lease service, chunk by chunk."""

    def __init__(self, fleet: CrashFleet, gateway: int) -> None:
        self.fleet, self.gateway, self.request = fleet, gateway, b""

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay a connection of the gateway, unless the gateway is cut off or the lease service is down."""
        if self.gateway in self.fleet.cut_off_gateways:
            writer.close()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.fleet.lease_service.address
            )
        except OSError:
            writer.close()
            return
        self.fleet.tasks += [
            asyncio.ensure_future(self.relay(reader, upstream_writer, self.inspect_request)),
            asyncio.ensure_future(
                self.relay(upstream_reader, writer, self.inspect_answer, self.fleet.answer_delay_s)
            ),
        ]

    async def relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        should_forward: Callable[[bytes], bool],
        delay_s: Mapping[int, float] = NO_DELAY,
    ) -> None:
        """Forward one direction of a connection until its end, or until `should_forward` is false.

        `delay_s` is by how much each chunk is late, by gateway.
        """
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 20):
                if not should_forward(data):
                    break
                await asyncio.sleep(delay_s.get(self.gateway, 0.0))
                writer.write(data)
                await writer.drain()
        writer.close()

    def inspect_request(self, data: bytes) -> bool:
        """Inspect a chunk from the gateway; return whether to forward it."""
        if self.gateway in self.fleet.cut_off_gateways:
            return False
        self.request += data
        return not self.crash_if_due({"before the intent": b"begin", "before it is kept": b"done"})

    def inspect_answer(self, data: bytes) -> bool:
        """Inspect a chunk from the lease service; return whether to forward it."""
        if self.crash_if_due({"after the intent": b"begin", "after it is kept": b"done"}):
            return False
        self.request = b""
        return True

    def crash_if_due(self, operations: dict[str, bytes]) -> bool:
        """Inject the crash that is due, if any, and return whether one was.

        `operations` gives for each point the operation that the outstanding request must contain.
        """
        for crash in self.fleet.crashes_pending_at(self.gateway):
            operation = operations.get(crash.point)
            if operation and self.is_outstanding(crash, operation):
                self.fleet.crash(crash)
                return True
        return False

    def is_outstanding(self, crash: InjectedCrash, operation: bytes) -> bool:
        """Return whether the outstanding request contains the operation for the work item."""
        return operation in self.request and crash.key.encode() in self.request


class CrashFleet:
    """A fleet of gateways with a lease service, and the crashes injected into it."""

    def __init__(
        self, tree: GatewaySourceTree, folder: Path, seed: int, gateway_count: int, takeover: bool
    ) -> None:
        self.tree, self.folder, self.rng, self.takeover = tree, folder, random.Random(seed), takeover
        self.pending_crashes: dict[str, InjectedCrash] = {}  # by key
        self.execution_zones: dict[str, list[int]] = defaultdict(list)
        self.executed: set[tuple[int, str]] = set()  # (zone, key)
        self.attempts: dict[str, list[tuple[int, int]]] = defaultdict(list)  # by key: (gateway, zone)
        self.unanswered_keys: set[str] = set()  # executed by the scan servers without an answer
        self.fatal_keys: set[str] = set()  # each gateway that sends one of these is killed
        self.turned_away_keys: set[str] = set()  # the scan servers answer BUSY without an execution
        self.cut_off_gateways: set[int] = set()  # their connections to the lease service are closed
        self.answer_delay_s: dict[int, float] = {}  # of the lease service's answers, by gateway
        self.tasks: list[asyncio.Future[None]] = []
        self.gateways: list[Process | None] = [None] * gateway_count
        self.configs: list[dict[str, Any]] = []
        self.crash_count, self.seed = 0, seed
        self.servers: list[asyncio.Server] = []

    # --- start and termination ---

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Start the processes and relays, and kill and close them at the end of the context."""
        try:
            await self.start()
            yield
        finally:
            for process in [*self.gateways, getattr(self, "lease_service", None)]:
                if process is not None:
                    process.kill()
                    await process.process.wait()
            for server in self.servers:
                server.close()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def start(self) -> None:
        """Start the lease service, the relays and the scan servers, and then the gateways."""
        loop = asyncio.get_running_loop()
        budgets, secret = self.folder / "budgets.toml", self.folder / "secret"
        budgets.write_text(f"budgets = []\nwork_lease_ms = {LEASE_MS}\n")
        secret.write_text(f"{self.rng.getrandbits(256):064x}")
        await self.start_lease_service()
        for number in range(len(self.gateways)):
            scan_server_addresses = []
            for scan_server in range(2 * ZONES):
                server = await loop.create_server(
                    lambda gateway=number, zone=scan_server % ZONES: ScanServerConnection(
                        self, gateway, zone
                    ),
                    HOST,
                    0,
                )
                self.servers.append(server)
                scan_server_addresses.append(server.sockets[0].getsockname())
            relay = LeaseServiceRelay(self, number)
            server = await asyncio.start_server(relay.accept, HOST, 0)
            self.servers.append(server)
            self.configs.append(
                self.config(number, scan_server_addresses, server.sockets[0].getsockname(), secret)
            )
        await asyncio.gather(*(self.start_gateway(number) for number in range(len(self.gateways))))

    async def start_lease_service(self) -> None:
        """Start the lease service; after a restart it restores its stored state."""
        self.lease_service = await start_lease_service(self.folder)

    def config(
        self, number: int, scan_server_addresses: list[Address], relay: Address, secret: Path
    ) -> dict[str, Any]:
        """Return the configuration of a gateway: it lists all scan servers; discovery is unreachable."""
        instances = [
            {
                "instanceId": f"s-{n}",
                "hostPort": format_address(address),
                "zone": f"zone-{n % ZONES}",
                "machineType": "m1",
                "cell": n,
                "lifecycle": "SERVING",
                "weight": 1,
                "startedAtMs": 0,
            }
            for n, address in enumerate(scan_server_addresses)
        ]
        work_lease_settings = {
            "addresses": format_address(relay),
            "secret_file": str(secret),
            "classes": list(CLASSES.values()),
        }
        classes = [
            {
                "name": "submit-record",
                "on-time-us": 2_000_000,
                "deadline-us": 4_000_000,
                "points": 9,
                "late-worth": 0.5,
                "idempotency": "idempotency_key",
                "group": "zone",
                "window-us": IDEMPOTENCY_WINDOW_MS * 1000,
            },
            {
                "name": "send-once",
                "on-time-us": 2_000_000,
                "deadline-us": 4_000_000,
                "points": 9,
                "late-worth": 0.5,
                "idempotency": "non_idempotent",
                "window-us": IDEMPOTENCY_WINDOW_MS * 1000,
            },
        ]
        listen, unused_address = format_address((HOST, free_port())), format_address((HOST, free_port()))
        return {
            "name": f"door-{number}",
            "listen": listen,
            "discovery": unused_address,
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            "known": {"generation": 1, "reset": True, "instances": instances},
            "settings": {
                "me": number,
                "balancers": len(self.gateways),
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
            **(
                {"work_leases" if self.tree.has_lease_keys else "takeover": work_lease_settings}
                if self.takeover
                else {}
            ),
        }

    async def start_gateway(self, number: int) -> None:
        """Start or restart a gateway, and wait until it serves.

        With takeover, wait also until the lease service records its work, unless the gateway is cut off from
        it. Raises `BenchmarkError` if the gateway exits before.
        """
        folder = self.folder / f"door-{number}"
        folder.mkdir(exist_ok=True)
        lines_before = self.count_in_log(number)
        process = self.gateways[number] = await start_gateway_process(self.tree, self.configs[number], folder)
        await process.wait_until_ready()
        while (
            self.takeover
            and number not in self.cut_off_gateways
            and self.count_in_log(number) == lines_before
        ):
            if process.process.returncode is not None:
                raise BenchmarkError(f"gateway {number} has exited: {process.last_line()}")
            await asyncio.sleep(LOG_POLL_INTERVAL_S)

    def count_in_log(self, number: int, log_text: str = RECORDED_TEXT) -> int:
        """Count the occurrences of a text in a gateway's log."""
        log = self.folder / f"door-{number}" / "log"
        return log.read_text(errors="replace").count(log_text) if log.exists() else 0

    async def work_counts(self) -> dict[str, int]:
        """Return the lease service's counts of work items, by the names in its status."""
        secret = (self.folder / "secret").read_bytes()
        url = f"http://{format_address(self.lease_service.address)}/status"
        async with (
            ClientSession() as session,
            session.get(url, headers={SIGNATURE_HEADER: sign(secret, b"/status")}) as answer,
        ):
            return (await answer.json())["work"]

    # --- crashes ---

    def crashes_pending_at(self, gateway: int) -> list[InjectedCrash]:
        """Return the pending crashes of a gateway."""
        return [crash for crash in self.pending_crashes.values() if crash.gateway == gateway]

    def crash(self, crash: InjectedCrash) -> None:
        """Kill the gateway of a pending crash, whose point has been reached."""
        if self.pending_crashes.pop(crash.key, None) is not None:
            crash.reached = True
            self.gateways[crash.gateway].kill()

    def crash_in_write(self, data: bytes) -> InjectedCrash | None:
        """Return the pending crash "in the write" whose request these bytes belong to, or None."""
        return next(
            (
                crash
                for crash in self.pending_crashes.values()
                if crash.point == "in the write" and crash.key.encode() in data
            ),
            None,
        )

    def work_key(self, arguments: list[bytes]) -> str:
        """Return the idempotency key of a request, or its id if it has none."""
        fields = dict(pair.partition("=")[::2] for pair in arguments[3].decode().split(","))
        return fields.get("k") or arguments[2].decode()

    def request_for(self, crash: InjectedCrash, request_id: str) -> bytes:
        """Return the encoded request of a crash's work item."""
        size = LARGE_BODY_BYTES if crash.point == "in the write" else SMALL_BODY_BYTES
        return self.encode(
            crash.effect, crash.key if crash.effect == "keyed" else "", request_id, b"b" * size
        )

    def encode(
        self, effect: str, key: str, request_id: str, body: bytes, deadline_ms: int = REQUEST_DEADLINE_MS
    ) -> bytes:
        """Encode a SVC.SUBMIT command of a fixed customer; without an idempotency key if `key` is empty."""
        fields = f"c={CLASSES[effect]},t=standard,d={deadline_ms},units=1,spread={len(self.gateways)},first=0"
        fields += f",k={key}" if key else ""
        return encode([b"SVC.SUBMIT", b"%016x" % 7, request_id.encode(), fields.encode(), body])

    async def send(self, gateway: int, command: bytes, timeout_s: float) -> str:
        """Send a command over a new connection; return its outcome, "unreached" or "unanswered"."""
        try:
            client = await GatewayClient.open(self.gateways[gateway].address)
        except OSError:
            return "unreached"
        try:
            return await asyncio.wait_for(client.send_commands([command])[0], timeout_s)
        except TimeoutError:
            return "unanswered"
        finally:
            client.close()

    async def inject_crash(self, point: str, effect: str, gateway: int) -> InjectedCrash:
        """Send a work item, crash its gateway at the point, retry for the outcome, restart the gateway."""
        self.crash_count += 1
        crash = InjectedCrash(point, effect, f"{self.seed:04x}{self.crash_count:012x}", gateway)
        self.pending_crashes[crash.key] = crash
        crash.first_outcome = await self.send(
            gateway, self.request_for(crash, crash.key), FIRST_ATTEMPT_TIMEOUT_S
        )
        if point == "after the client has it" and crash.first_outcome == "served":
            self.crash(crash)
        self.pending_crashes.pop(crash.key, None)
        loop = asyncio.get_running_loop()
        retries_end = loop.time() + CLIENT_RETRY_TIMEOUT_S
        if effect == "unsafe":  # it has no key, so it cannot be retried; its executions are counted
            await asyncio.sleep(2 * LEASE_MS / 1000)
            crash.final_outcome = crash.first_outcome
        while effect == "keyed" and crash.final_outcome != "served" and loop.time() < retries_end:
            crash.retries += 1
            others = [number for number in range(len(self.gateways)) if number != gateway]
            request_id = f"{crash.key}t{crash.retries}"
            crash.final_outcome = await self.send(
                self.rng.choice(others), self.request_for(crash, request_id), CLIENT_RETRY_TIMEOUT_S
            )
            await asyncio.sleep(CLIENT_RETRY_INTERVAL_S)
        if crash.reached:
            await self.gateways[gateway].process.wait()
            await self.start_gateway(gateway)
        crash.execution_zones = self.execution_zones[crash.key]
        return crash


async def inject_crashes(
    tree: GatewaySourceTree,
    folder: Path,
    points: tuple[str, ...],
    effects: tuple[str, ...],
    count: int,
    seed: int,
    gateway_count: int,
    takeover: bool = True,
    report_progress: Callable[[str], None] = lambda text: None,
) -> list[InjectedCrash]:
    """Inject `count` crashes at each point for each effect.

    Only the first half of the gateways is crashed. Raises `FaultInjectionError` if a process does not start.
    """
    fleet = CrashFleet(tree, folder, seed, gateway_count, takeover)
    remaining = [(point, effect) for _ in range(count) for point in points for effect in effects]
    crashes: list[InjectedCrash] = []

    async def crash_repeatedly(gateway: int) -> None:
        while remaining:
            crashes.append(await fleet.inject_crash(*remaining.pop(), gateway))
            if len(crashes) % 50 == 0:
                report_progress(f"{len(crashes)} injected crashes")

    try:
        async with fleet.running():
            async with asyncio.TaskGroup() as group:
                for gateway in range(max(1, gateway_count // 2)):
                    group.create_task(crash_repeatedly(gateway))
            if takeover:
                counts = await fleet.work_counts()
                report_progress(
                    ", ".join(f"{name} {counts[name]}" for name in ("kept", "handed", "served", "parked"))
                )
    except (BenchmarkError, ExceptionGroup) as error:
        inner = error.exceptions[0] if isinstance(error, ExceptionGroup) else error
        if isinstance(inner, BenchmarkError):
            raise FaultInjectionError(str(inner)) from error
        raise
    return crashes


def format_crash_table(crashes: list[InjectedCrash]) -> str:
    """Return a Markdown table of crashes, executions and outcomes, by point and effect."""
    lines = [
        "| point | class | crashes | executed once | never | more often | outcome delivered | violations |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for point in POINTS:
        for effect in EFFECTS:
            matching = [crash for crash in crashes if (crash.point, crash.effect) == (point, effect)]
            if not matching:
                continue
            run_counts = [len(crash.execution_zones) for crash in matching]
            lines.append(
                f"| {point} | {effect} | {sum(crash.reached for crash in matching)} | "
                f"{run_counts.count(1)} | {run_counts.count(0)} | {sum(n > 1 for n in run_counts)} |"
                f" {sum(crash.final_outcome == 'served' for crash in matching)} | "
                f"{sum(bool(crash.violation) for crash in matching)} |"
            )
    return "\n".join(lines)
