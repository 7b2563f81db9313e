"""What the cases share: a record, RESP2, stand-ins of clients, scan servers and discovery, and processes.

Only the standard library is used. Everything is on loopback and on the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

ROOT = Path(__file__).resolve().parents[1]
REVIEW = Path(__file__).resolve().parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
READY_TIMEOUT_S = 30.0  # the pages' limit for the start of a gateway
EMPTY_LINE_S = 2.0  # of a watch on discovery while nothing changes
POLL_S = 0.02
END_TIMEOUT_S = 5.0
CRLF = b"\r\n"
TAKING, DRAINING = "SERVING", "DRAINING"
FIELDS = 3  # position of the argument `name=value,...`
BODY = 4  # position of the body
SERVED, REFUSED, FAILED, UNREACHED, LOST = "served", "refused", "failed", "unreached", "lost"


class CaseError(Exception):
    """The case could not run; the text says why."""


class Recorder:
    """Writes `record.txt`: a line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file: TextIO = (folder / "record.txt").open("w")
        self.start_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.start_s:9.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


# --- RESP2 ---


def encode(arguments: list[bytes]) -> bytes:
    """Return a command as an array of bulk strings."""
    parts = [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n" % len(arguments) + b"".join(parts)


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next line without its end."""
    return (await reader.readuntil(CRLF))[:-2]


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the arguments of the next command."""
    count = int((await read_line(reader))[1:])
    arguments = []
    for _ in range(count):
        length = int((await read_line(reader))[1:])
        arguments.append((await reader.readexactly(length + 2))[:-2])
    return arguments


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return a gateway's next answer: a line with its type byte, or a bulk string's bytes behind `$`."""
    line = await read_line(reader)
    if line[:1] != b"$" or line == b"$-1":
        return line
    return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]


def fields_of(arguments: list[bytes]) -> dict[str, str]:
    """Return the names and values of a request."""
    return dict(pair.partition("=")[::2] for pair in arguments[FIELDS].decode().split(","))


@dataclass
class Answer:
    """How a request ended for its client: the outcome, and the value, error or delay in milliseconds."""

    outcome: str
    text: bytes = b""
    retry_after_ms: int = 0


def parse_answer(answer: bytes) -> Answer:
    """Return the outcome that an answer of a gateway means by the protocol page."""
    if answer[:1] == b"$" and answer != b"$-1":
        return Answer(SERVED, answer[1:])
    words = answer.split()
    if words and words[0] == b"-BUSY":
        return Answer(REFUSED, answer, int(words[1]) if len(words) > 1 else 0)
    return Answer(FAILED, answer)


class ClientConnection:
    """A connection to a gateway; many requests may be open on it, and answers come in their order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.waiting: list[asyncio.Future[Answer]] = []
        self.task = asyncio.ensure_future(self.read_answers())

    @classmethod
    async def open(cls, address: tuple[str, int]) -> ClientConnection:
        """Connect; OSError if the gateway cannot be reached."""
        return cls(*await asyncio.open_connection(*address))

    async def read_answers(self) -> None:
        """Give each answer to the oldest open request; at the end of the connection the rest are lost."""
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError):
            while True:
                answer = parse_answer(await read_answer(self.reader))
                if self.waiting:
                    self.waiting.pop(0).set_result(answer)
        for request in self.waiting:
            request.set_result(Answer(LOST))
        self.waiting.clear()
        self.writer.close()

    def is_open(self) -> bool:
        """Whether the gateway has not ended the connection."""
        return not self.task.done()

    def send(self, arguments: list[bytes]) -> asyncio.Future[Answer]:
        """Send a request; the future becomes its answer."""
        request: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        if self.task.done():
            request.set_result(Answer(UNREACHED))
            return request
        self.waiting.append(request)
        self.writer.write(encode(arguments))
        return request

    async def close(self) -> None:
        """Close the connection."""
        self.writer.close()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


# --- stand-ins ---


@dataclass
class Attempt:
    """A command that a scan server has received completely."""

    server: ScanServer
    arguments: list[bytes]
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        """The request's id."""
        return self.arguments[2].decode()

    def answer(self, value: bytes) -> None:
        """Answer with a value, without figures on use and without a load report."""
        self.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection has ended."""
        if not self.writer.is_closing():
            self.writer.write(data)


Behaviour = Callable[[Attempt], Awaitable[None]]


class ScanServer:
    """A scan server: it passes each complete command to `behaviour`, which answers it."""

    def __init__(self, name: str, zone: str, behaviour: Behaviour, recorder: Recorder) -> None:
        self.name, self.zone, self.behaviour, self.recorder = name, zone, behaviour, recorder
        self.lifecycle = TAKING
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = (HOST, 0)

    async def start(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one command after the other."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                arguments = await read_command(reader)
                if arguments[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                if arguments[0] == b"INFO":
                    writer.write(b"$17\r\nutil=0.45,queue=0\r\n")
                    continue
                await self.behaviour(Attempt(self, arguments, writer))
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def crash(self) -> None:
        """End like a process that is killed: connections are reset, and new ones are refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")  # a reset
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def entry(self) -> dict[str, object]:
        """Return the server's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.address[1]}",
            "zone": self.zone,
            "machineType": "m1",
            "cell": 0 if self.zone == ZONES[0] else 1,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Discovery:
    """Discovery: the whole list, and watches that stay open; nothing changes during a case."""

    def __init__(self, servers: list[ScanServer]) -> None:
        self.servers = servers
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = (HOST, 0)

    def list(self) -> dict[str, object]:
        """Return the whole list."""
        return {"generation": 41, "reset": True, "instances": [server.entry() for server in self.servers]}

    async def start(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call: the list, or a watch with the whole list first and an empty line every 2 s."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            line = json.dumps(self.list()).encode() + b"\n"
            if b"watch=1" not in head.split(CRLF, 1)[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                line = b"\n"
                await asyncio.sleep(EMPTY_LINE_S)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


# --- processes ---


@dataclass
class Program:
    """One of the project's programs, in a process group of its own, with its log."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    address: tuple[str, int] = (HOST, 0)

    def log_text(self) -> str:
        """Return the log so far."""
        return self.log.read_text(errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal to the program itself; the deploy file's `run` has become it by `exec`."""
        self.process.send_signal(number)

    async def wait_for_log(self, text: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the log has a text; CaseError if the program ends or takes too long."""
        end_s = time.monotonic() + timeout_s
        while text not in self.log_text():
            if self.process.poll() is not None or time.monotonic() > end_s:
                raise CaseError(f"{self.name} has not logged '{text}': {self.log_text()[-400:]}")
            await asyncio.sleep(POLL_S)

    def end(self) -> None:
        """Kill the program's process group and wait for its end."""
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait(END_TIMEOUT_S)


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


ZONES = ("east-hall", "west-hall")
CUSTOMERS = 200
PLANS = [
    {"name": "basic", "units-per-s": 0.73, "burst": 4.0, "value-factor": 0.88, "extra-worth": 0.3},
    {"name": "standard", "units-per-s": 4.1, "burst": 10.0, "value-factor": 1.1, "overrun-cost": 0.6},
]
CEILINGS = {
    "max-attempts": 5,
    "conn-idle-us": 30_000_000,
    "connect-timeout-us": 250_000,
    "retry-after": True,
    "max-retry-after-us": 2_000_000,
    "may-cancel": True,
    "may-probe": True,
    "peers": True,
    "parallel-tries": False,
    "streams-per-conn": 32,
    "max-open": 25_434,
}
OBLIGATIONS = {
    "ask-within-us": 10_000_000,
    "cold-from": 0.17,
    "warm-within-us": 15_000_000,
    "drain-grace-us": 250_000,
    "fall-multiple": 2.5,
    "fall-us": 2_000_000,
    "grace-to-answer-us": 8_000,
}
VIEW_SHEET = {
    "name": "view-sheet",
    "on-time-us": 400_000,
    "deadline-us": 2_000_000,
    "points": 3.0,
    "late-worth": 0.0,
    "idempotency": "read_like",
    "group": "all",
    "window-us": 5_000_000,
}
SUBMIT_RECORD = {
    "name": "submit-record",
    "on-time-us": 750_000,
    "deadline-us": 2_000_000,
    "points": 9.0,
    "late-worth": 0.2,
    "idempotency": "idempotency_key",
    "group": "zone",
    "window-us": 4_000_000,
}


@dataclass
class Fleet:
    """Scan servers, discovery, gateways and, where it is started, a lease service, in a temporary folder."""

    recorder: Recorder
    folder: Path
    classes: list[dict[str, object]]
    gateway_count: int
    servers: list[ScanServer] = field(default_factory=list)
    gateways: list[Program] = field(default_factory=list)
    programs: list[Program] = field(default_factory=list)
    work_leases: dict[str, object] = field(default_factory=dict)
    discovery: Discovery | None = None

    async def start_servers(self, count: int, behaviour: Behaviour) -> None:
        """Start scan servers, by turns in both halls, and discovery."""
        for number in range(count):
            server = ScanServer(f"s-{number}", ZONES[number % len(ZONES)], behaviour, self.recorder)
            await server.start()
            self.servers.append(server)
        self.discovery = Discovery(self.servers)
        await self.discovery.start()

    def start_program(self, name: str, command: list[str], environment: dict[str, str]) -> Program:
        """Start a program from the repository's root."""
        log = self.folder / f"{name}.log"
        inherited = {key: text for key, text in os.environ.items() if not key.startswith("PROXY_")}
        with log.open("wb") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**inherited, **environment},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        program = Program(name, process, log)
        self.programs.append(program)
        self.recorder.note(f"started {name}")
        return program

    async def start_lease_service(self, recorded_class: str) -> None:
        """Start the project's lease service as docs/leasing.md says, and record a class's work there."""
        (self.folder / "budgets.toml").write_text("doors = 8\nwork_lease_ms = 1000\nbudgets = []\n")
        (self.folder / "secret.txt").write_text("0123456789abcdef0123456789abcdef")
        data, config, secret = (str(self.folder / name) for name in ("leasing", "budgets.toml", "secret.txt"))
        python, address = stand_in_python(), f"{HOST}:{free_port()}"
        lease = [python, "-m", "thistletrail.leasing"]
        begin = await asyncio.create_subprocess_exec(
            *lease, "begin", "--data", data, "--config", config, cwd=ROOT
        )
        if await begin.wait():
            raise CaseError("the lease service's folder could not be created")
        serve = [*lease, "serve", "--data", data, "--config", config, "--secret", secret, "--listen", address]
        program = self.start_program("lease-service", serve, {})
        await program.wait_for_log("lease service serves at")
        self.work_leases = {"addresses": address, "secret_file": secret, "classes": [recorded_class]}

    async def start_gateways(self) -> None:
        """Start the gateways by the deploy file's `run`, and wait until each answers PING."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        ports = [free_port() for _ in range(self.gateway_count)]
        peers = [f"{HOST}:{free_port()}" for _ in range(self.gateway_count)]
        for number in range(self.gateway_count):
            path = self.folder / f"n{number}.json"
            path.write_text(json.dumps(self.gateway_config(number, ports[number], peers)))
            environment = {"PROXY_CONFIG": str(path), "TMPDIR": str(self.folder)}
            gateway = self.start_program(f"n{number}", ["/bin/sh", "-c", command], environment)
            gateway.address = (HOST, ports[number])
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await wait_for_pong(gateway)
            if self.work_leases:
                await gateway.wait_for_log("work is recorded by the lease service")

    def gateway_config(self, number: int, port: int, peers: list[str]) -> dict[str, object]:
        """Return the configuration of a gateway, with the settings of a small deployment."""
        assert self.discovery is not None
        config: dict[str, object] = {
            "name": f"n{number}",
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{self.discovery.address[1]}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": peers[number],
            "peers": peers,
            "known": self.discovery.list(),
            "settings": {
                "me": number,
                "balancers": self.gateway_count,
                "zone": number % len(ZONES),
                "zones": list(ZONES),
                "kinds": ["m1"],
                "categories": self.classes,
                "plans": PLANS,
                "ceilings": CEILINGS,
                "obligations": OBLIGATIONS,
                "extra": {"mail-per-s": 40.0, "largest": 1},
                "registry-mode": "automatic",
                "weight-kind": "rough",
                "stats": {"how": "on_probe", "names": ["util", "queue"]},
            },
        }
        if self.work_leases:
            config["work_leases"] = self.work_leases
        return config

    def request(
        self, request_class: str, request_id: str, wait_ms: int, body: bytes | None = None, key: str = ""
    ) -> list[bytes]:
        """Return the arguments of a request, whose customer may come through any gateway.

        A client's retry is of the same customer: its id differs only behind the last `t`.
        """
        customer = zlib.crc32(request_id.rpartition("t")[0].encode()) % CUSTOMERS
        fields = f"c={request_class},t=standard,d={wait_ms}" + (f",k={key}" if key else "")
        fields += f",units=1,spread={self.gateway_count},first=0"
        command = "SVC.QUERY" if body is None else "SVC.SUBMIT"
        arguments = [command.encode(), b"%016x" % customer, request_id.encode(), fields.encode()]
        return arguments if body is None else [*arguments, body]

    def end(self) -> None:
        """End all processes that were started, and keep the end of their logs in the record."""
        for program in self.programs:
            program.end()
            for line in program.log_text().splitlines()[-12:]:
                self.recorder.note(f"log of {program.name}: {line}")
        for server in self.servers:
            server.crash()


def stand_in_python() -> str:
    """Return the interpreter that `build.sh` has given the packages of the lease service."""
    own = REVIEW / ".venv" / "bin" / "python"
    return str(own if own.exists() else ROOT / ".venv" / "bin" / "python")


async def wait_for_pong(gateway: Program) -> None:
    """Wait until a gateway answers PING."""
    end_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end_s and gateway.process.poll() is None:
        with contextlib.suppress(OSError, EOFError):
            reader, writer = await asyncio.open_connection(*gateway.address)
            writer.write(encode([b"PING"]))
            line = await read_line(reader)
            writer.close()
            if line == b"+PONG":
                return
        await asyncio.sleep(POLL_S)
    raise CaseError(f"{gateway.name} did not start: {gateway.log_text()[-400:]}")


def run_case(folder: Path, case: Callable[[Recorder, Path, bool], Coroutine[None, None, int]]) -> None:
    """Run a case, write its record, end everything that it started, and exit with its code."""
    recorder = Recorder(folder)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    recorder.note(f"the disruption is {'on' if has_trouble else 'off'}")
    try:
        code = asyncio.run(case(recorder, scratch, has_trouble))
    except (CaseError, OSError) as error:
        recorder.note(f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
        code = COULD_NOT_RUN
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    recorder.note(f"exit code {code}")
    recorder.close()
    sys.exit(code)
