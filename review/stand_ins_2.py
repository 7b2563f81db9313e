"""Stand-ins for the clients, the scan servers and discovery, and the start of gateways, for cases 6 to 10.

Everything listens on loopback, at ports that the system chooses. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
RUN_TIMEOUT_S = 110.0
EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
EMPTY_LINE_S = 2.0
CRLF = b"\r\n"
SAFE_CLASSES = ("view-sheet", "site-lookup")
FIELDS = 3  # position of the list of names and values in a command


def with_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that nobody listens on."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start_s

    def write(self, who: str, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now_s():9.4f} {who}: {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def encode(*arguments: bytes) -> bytes:
    """Return a command in RESP."""
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in arguments)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one command; IncompleteReadError at the end of the stream."""
    count = int((await reader.readuntil(CRLF))[1:])
    arguments = []
    for _ in range(count):
        length = int((await reader.readuntil(CRLF))[1:])
        arguments.append((await reader.readexactly(length + 2))[:-2])
    return arguments


def fields_of(command: list[bytes]) -> dict[str, str]:
    """Return the list of names and values of a request."""
    return dict(part.split("=", 1) for part in command[FIELDS].decode().split(","))


class ScanServer:
    """A scan server: it answers each request after `work_s`, with a value that names the request."""

    def __init__(self, name: str, zone: str, record: Record, work_s: float) -> None:
        self.name, self.zone, self.record, self.work_s = name, zone, record, work_s
        self.is_hung = False
        self.connections: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        # Called with each complete command; returns the answer, or None if none is given.
        self.answer: Callable[[ScanServer, list[bytes]], Awaitable[bytes | None]] = default_answer
        self.runs: list[tuple[float, str]] = []

    async def start(self, listener: socket.socket | None = None) -> None:
        """Listen at a port that the system chooses."""
        if listener is None:
            self.server = await asyncio.start_server(self.serve, HOST, 0)
        else:
            self.server = await asyncio.start_server(self.serve, sock=listener)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": self.zone,
            "machineType": "small-2c",
            "cell": 1 if self.zone == "east-hall" else 2,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of one connection in order."""
        with contextlib.closing(writer), contextlib.suppress(EOFError, ConnectionError, ValueError):
            while True:
                command = await read_command(reader)
                if command[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                request = command[2].decode()
                self.runs.append((time.monotonic(), request))
                self.record.write(self.name, f"runs {command[0].decode()} {request}")
                answer = await self.answer(self, command)
                if answer is None:
                    await reader.read()  # says nothing more until the gateway closes
                    break
                if not answer:
                    writer.transport.abort()  # a reset
                    break
                writer.write(answer)
                await writer.drain()

    def value(self, command: list[bytes]) -> bytes:
        """Return the answer that serves a request."""
        value = b"scan of " + command[2]
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


async def default_answer(server: ScanServer, command: list[bytes]) -> bytes | None:
    """Serve a request after the server's work; a hung server says nothing."""
    if server.is_hung:
        return None
    await asyncio.sleep(server.work_s)
    return None if server.is_hung else server.value(command)


class Discovery:
    """Discovery: gives the whole list, and a watch that tells changes, with an empty line every 2 s."""

    def __init__(self, servers: list[ScanServer]) -> None:
        self.servers = servers
        self.generation = 41
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a port that the system chooses."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        entries = [server.entry() for server in self.servers]
        return {"generation": self.generation, "reset": True, "instances": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        with contextlib.closing(writer), contextlib.suppress(EOFError, ConnectionError):
            head = await reader.readuntil(CRLF + CRLF)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            line = json.dumps(self.whole()).encode() + b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            while b"watch=1" in head:
                await writer.drain()
                await asyncio.sleep(EMPTY_LINE_S)
                writer.write(b"1\r\n\n\r\n")
            writer.write(b"0\r\n\r\n")
            await writer.drain()


def settings(balancers: int = 2, me: int = 0) -> dict[str, Any]:
    """Return the settings of a small deployment, with the figures of the wire page's example."""
    return {
        "balancers": balancers,
        "me": me,
        "zone": me % 2,
        "zones": ["east-hall", "west-hall"],
        "kinds": ["small-2c"],
        "tiers": ["scan-servers"],
        "stage": 0,
        "registry-mode": "automatic",
        "categories": [
            category("view-sheet", 400_000, 3.0, 0.0, "read_like", "all", 5_000_000),
            category("submit-record", 750_000, 9.0, 0.2, "idempotency_key", "zone", 4_000_000),
        ],
        "plans": [
            plan("basic", 0.73, 4.0, 0.88, 0.3, 0.0),
            plan("standard", 4.1, 10.0, 1.1, 0.0, 0.6),
        ],
        "ceilings": {
            "conn-idle-us": 30_000_000,
            "connect-timeout-us": 250_000,
            "max-attempts": 5,
            "max-open": 25_434,
            "max-retry-after-us": 2_000_000,
            "may-cancel": True,
            "may-probe": True,
            "parallel-tries": False,
            "peers": True,
            "retry-after": True,
            "streams-per-conn": 32,
        },
        "clients": {"marks-retry": False},
        "extra": {"counter": False, "largest": 1, "mail-per-s": 40.0, "trued-up": False},
        "obligations": {
            "ask-within-us": 10_000_000,
            "cold-from": 0.17,
            "drain-grace-us": 250_000,
            "fall-multiple": 2.5,
            "fall-us": 2_000_000,
            "grace-to-answer-us": 8_000,
            "warm-within-us": 15_000_000,
        },
        "prices": {"cross-zone": 0.01, "late-fail": 0.05, "peer": 0.03, "probe": 0.01, "waste": 0.05},
    }


def category(
    name: str, aim_us: int, points: float, late: float, effect: str, group: str, window_us: int
) -> dict[str, Any]:
    """Return one request class of the settings; clients wait 2 s in all."""
    return {
        "name": name,
        "on-time-us": aim_us,
        "deadline-us": 2_000_000,
        "points": points,
        "late-worth": late,
        "idempotency": effect,
        "group": group,
        "window-us": window_us,
        "streamed": False,
    }


def plan(
    name: str, rate: float, burst: float, factor: float, extra_worth: float, overrun: float
) -> dict[str, Any]:
    """Return one plan of the settings, without a ceiling."""
    return {
        "name": name,
        "units-per-s": rate,
        "burst": burst,
        "value-factor": factor,
        "extra-worth": extra_worth,
        "overrun-cost": overrun,
        "max-out": 0,
        "never-over-rate": 0.0,
        "hard-burst": 0.0,
        "hard-slack": 0.0,
    }


class Gateway:
    """A gateway process, started by the `run` command of the deploy file."""

    def __init__(
        self, number: int, discovery: Discovery, values: dict[str, Any], record: Record, **more: object
    ) -> None:
        """`more` are further keys of the configuration file."""
        self.record = record
        self.name = f"n{number}"
        self.port = free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.process: asyncio.subprocess.Process | None = None
        self.servers: list[ScanServer] = []  # the scan servers that the gateway is told of
        self.config: dict[str, Any] = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": discovery.whole(),
            "settings": values,
            **more,
        }

    async def start(self) -> None:
        """Start the process, and wait until it answers PING."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        log = (self.folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={**environment, "PROXY_CONFIG": str(path), "TMPDIR": str(self.folder)},
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.answers_ping():
            if time.monotonic() > end_s or self.process.returncode is not None:
                await self.stop()
                raise RuntimeError(f"{self.name} is not ready: {self.log()[-500:]}")
            await asyncio.sleep(0.05)
        self.record.write(self.name, "is ready")

    async def answers_ping(self) -> bool:
        """Return whether the gateway answers PING."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        writer.write(encode(b"PING"))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            line = await reader.readuntil(CRLF)
            writer.close()
            return line == b"+PONG\r\n"
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def log(self) -> str:
        """Return what the process has logged."""
        return (self.folder / "log").read_text(errors="replace")

    async def stop(self) -> None:
        """End the process, if it runs."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()


class Client:
    """A client's connection: it sends commands, and reads their answers in order.

    `end` is how the gateway ended the connection: `open`, `closed` (all that was sent had been read) or
    `reset`. A gateway that closes a socket over bytes that it has not read resets the connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.buffer = b""
        self.answers: list[str] = []
        self.end = "open"
        self.sent: list[str] = []  # ids of the requests whose last byte is written

    @classmethod
    async def open(cls, port: int) -> Client:
        """Connect to a gateway."""
        sock = socket.socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
        return cls(sock)

    async def send(self, commands: list[list[bytes]]) -> None:
        """Write commands behind each other, without waiting for answers."""
        with contextlib.suppress(ConnectionError):
            await self.loop.sock_sendall(self.sock, b"".join(encode(*command) for command in commands))
            self.sent += [command[2].decode() for command in commands]

    async def send_bytes(self, data: bytes) -> None:
        """Write a part of a command."""
        with contextlib.suppress(ConnectionError):
            await self.loop.sock_sendall(self.sock, data)

    def take_answer(self) -> str | None:
        """Take the next whole answer from the buffer."""
        line, end, rest = self.buffer.partition(CRLF)
        if not end:
            return None
        if not line.startswith(b"$"):
            self.buffer = rest
            return line.decode(errors="replace")
        length = int(line[1:])
        if len(rest) < length + len(CRLF):
            return None
        self.buffer = rest[length + len(CRLF) :]
        return f"served {rest[:length].decode(errors='replace')}"

    async def read_answers(self, count: int, timeout_s: float) -> None:
        """Read until `count` answers are there, the connection has ended or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while len(self.answers) < count and self.end == "open":
                    await self.read_some()

    async def read_some(self) -> None:
        """Read once, and take the whole answers."""
        try:
            data = await self.loop.sock_recv(self.sock, 1 << 16)
        except ConnectionError:
            self.end = "reset"
            return
        if not data:
            self.end = "closed"
        self.buffer += data
        while (answer := self.take_answer()) is not None:
            self.answers.append(answer)

    async def watch_end(self, wait_s: float) -> None:
        """After a close, wait whether a reset follows, which tells that not all had been read."""
        if self.end == "closed":
            await asyncio.sleep(wait_s)
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.end = "reset"

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


async def start_fleet(
    record: Record,
    server_count: int,
    work_s: float,
    values: dict[str, Any],
    limits: dict[str, float],
    server_class: type[ScanServer] = ScanServer,
) -> Gateway:
    """Start scan servers in two halls, discovery, and the first of two gateways.

    The second gateway is down throughout: nobody listens at its address among the peers.
    """
    halls = ("east-hall", "west-hall")
    servers = [server_class(f"s-{n}", halls[n % 2], record, work_s) for n in range(server_count)]
    for server in servers:
        await server.start()
    discovery = Discovery(servers)
    await discovery.start()
    peers = [f"{HOST}:{free_port(socket.SOCK_DGRAM)}" for _ in range(2)]
    gateway = Gateway(0, discovery, values, record, limits=limits, peer_listen=peers[0], peers=peers)
    gateway.servers = servers
    await gateway.start()
    return gateway


class Ids:
    """Ids and customers that are new with each call; each customer's set is the first `spread` gateways."""

    def __init__(self, spread: int = 2) -> None:
        self.numbers = itertools.count(1)
        self.spread = spread

    def request(self, name: str, body_bytes: int = 100, wait_ms: int = 2000) -> list[bytes]:
        """Return the arguments of a request of class `name` by a new customer."""
        number = next(self.numbers)
        command = b"SVC.QUERY" if name in SAFE_CLASSES else b"SVC.SUBMIT"
        key = "" if name in SAFE_CLASSES else f",k={number:016x}"
        fields = f"c={name},t=basic,d={wait_ms},units=1,spread={self.spread},first=0{key}".encode()
        body = [] if name in SAFE_CLASSES else [b"x" * body_bytes]
        return [command, b"%016x" % number, b"%016x" % (number + (1 << 60)), fields, *body]


def run_case(folder: Path, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Play a case, print the violations that it returns, and exit by them.

    SIGTERM and SIGINT end the case, which then ends its processes.
    """
    record = Record(folder)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        violations = asyncio.run(asyncio.wait_for(play(record), RUN_TIMEOUT_S))
    except (OSError, RuntimeError, TimeoutError, KeyboardInterrupt) as error:
        record.write("case", f"cannot run: {error!r}")
        print(f"the case cannot run: {error!r}")
        sys.exit(EXIT_CANNOT_RUN)
    for violation in violations:
        record.write("violation", violation)
    record.close()
    print(f"{len(violations)} violation(s)", *violations[:5], sep="\n")
    sys.exit(EXIT_BROKEN if violations else EXIT_HELD)
