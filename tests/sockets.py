"""Clients, stub scan servers and a stub of discovery on loopback sockets, for tests of the gateway."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterable
from dataclasses import replace
from typing import Any

import hiredis
import uvloop

from thistletrail.benchmarks.process import free_port
from thistletrail.gateway.config import Address, Config
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass, Settings

HOST = "127.0.0.1"
CUSTOMER = "00000000b4d65521"
CLASSES = (
    RequestClass(latency_objective_us=2_000_000, deadline_us=6_000_000),
    RequestClass(
        2_000_000,
        6_000_000,
        effect=Effect.IDEMPOTENT_BY_KEY,
        idempotency_scope=IdempotencyScope.ZONE,
        idempotency_window_us=5_000_000,
    ),
    RequestClass(2_000_000, 6_000_000, effect=Effect.UNSAFE),
)
SETTINGS = Settings(
    seed=3,
    gateway_index=0,
    gateway_count=2,
    classes=CLASSES,
    plans=(Plan(rate=1000.0, burst=1000.0),),
    max_attempts=3,
    max_retry_after_us=750_000,
    may_cancel=True,
    may_message_peers=True,
    peer_messages_per_s=100.0,
)
# For tests whose outcome must not depend on the speed of the machine: no attempt or request times out, and
# with a scan server for every `IN_FLIGHT_PER_SERVER` requests, none is queued.
LONG_TIMEOUT_SETTINGS = replace(
    SETTINGS,
    gateway_count=1,
    classes=tuple(replace(rule, latency_objective_us=60_000_000, deadline_us=90_000_000) for rule in CLASSES),
)
LONG_TIMEOUT_MS = 80_000
CONFIG = Config(
    name="n0",
    listen=(HOST, 0),
    discovery=((HOST, 1),),
    settings=SETTINGS,
    class_numbers={"read": 0, "book": 1, "settle": 2},
    plan_numbers={"team": 0},
    zone_numbers={"a": 0, "b": 1},
    kind_numbers={"m2": 0},
    conn_idle_us=30_000_000,
    connect_timeout_us=20_000_000,
    max_open=100,
    sockets=256,
    memory_mb=64,
    known={},
)


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine on uvloop, as the gateway does; raise TimeoutError after 30 s.

    Only a test that hangs takes that long.
    """

    async def bounded() -> None:
        async with asyncio.timeout(30):
            await scenario

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def encode_command(*arguments: bytes | str) -> bytes:
    """Return a command, or another array of bulk strings, in RESP."""
    encoded = [argument.encode() if isinstance(argument, str) else argument for argument in arguments]
    bulk_strings = b"".join(b"$%d\r\n%b\r\n" % (len(data), data) for data in encoded)
    return b"*%d\r\n%b" % (len(encoded), bulk_strings)


def query_command(name: str, wait_ms: int = 3000, **extra_fields: str) -> bytes:
    """Return an SVC.QUERY command with the request id `name`, and `extra_fields` after its own fields."""
    suffix = "".join(f",{key}={field}" for key, field in extra_fields.items())
    return encode_command("SVC.QUERY", CUSTOMER, name, f"c=read,t=team,d={wait_ms}{suffix}")


def submit_command(
    name: str, request_class: str = "settle", wait_ms: int = 3000, body: bytes = b"BODY"
) -> bytes:
    """Return an SVC.SUBMIT command with the request id `name` and an idempotency key."""
    return encode_command("SVC.SUBMIT", CUSTOMER, name, f"c={request_class},t=team,d={wait_ms},k=5c0f", body)


def value_response(data: bytes, report: bytes = b"$-1\r\n") -> bytes:
    """Return a scan server's response with the value `data` and, in RESP, its load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(data), data, report)


ResponseFunction = Callable[[list[bytes]], bytes | None]


class StubScanServer:
    """A scan server that answers each command with the result of `respond`.

    With None it does not answer; with b"" it aborts the connection.
    """

    def __init__(self, respond: ResponseFunction = lambda arguments: value_response(b"ok")) -> None:
        self.respond, self.opened_connections = respond, 0
        self.commands: list[list[bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []  # parallel to `commands`: the connection of each
        self.command_received, self.connection_closed = asyncio.Event(), asyncio.Event()

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()

    async def wait_for_commands(self, count: int = 1, name: bytes = b"") -> None:
        """Wait until `count` commands have arrived, of any request or of the one with the id `name`."""
        while sum(not name or arguments[2] == name for arguments in self.commands) < count:
            self.command_received.clear()
            await self.command_received.wait()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened_connections += 1
        parser = hiredis.Reader()
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (arguments := parser.gets()) is not False:
                    self.commands.append(arguments)
                    self.writers.append(writer)
                    self.command_received.set()
                    response = self.respond(arguments)
                    if response == b"":
                        writer.transport.abort()
                    elif response:
                        writer.write(response)
        self.connection_closed.set()
        writer.close()


class StubDiscovery:
    """Discovery: each watch in turn is served by the next script, and all further ones by the last script.

    `request_targets` are the targets (path and query) of the HTTP requests that began the watches.
    """

    def __init__(self, *scripts: Callable[[asyncio.StreamWriter], Awaitable[None]]) -> None:
        self.scripts = list(scripts)
        self.request_targets: list[str] = []

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.request_targets.append((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        with contextlib.suppress(OSError):
            await script(writer)
        writer.close()


CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def http_chunk(data: bytes) -> bytes:
    """Return `data` as one chunk of HTTP's chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def endpoint_entry(
    name: str, address: Address, lifecycle: str = "SERVING", started_ms: int = 0
) -> dict[str, Any]:
    """Return a server's entry in an endpoint list, as discovery sends it."""
    return {
        "instanceId": name,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": "a",
        "machineType": "m2",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


def watch_event(version: int, entries: Iterable[dict[str, Any]], reset: bool = True) -> bytes:
    """Return a watch event as a line of JSON: a complete endpoint list, or its changes if not `reset`."""
    return json.dumps({"generation": version, "reset": reset, "instances": list(entries)}).encode() + b"\n"


class RespClient:
    """A client's connection to the gateway."""

    @classmethod
    async def connect(cls, address: Address) -> "RespClient":
        client = cls()
        client.reader, client.writer = await asyncio.open_connection(*address)
        client.parser = hiredis.Reader(notEnoughData=RespClient)
        return client

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_reply(self) -> object:
        """Return the next reply, an error as a string with `-` in front; raise EOFError at the end."""
        while (reply := self.parser.gets()) is RespClient:
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.parser.feed(data)
        return f"-{reply}" if isinstance(reply, hiredis.ReplyError) else reply

    async def request(self, data: bytes) -> object:
        """Send a command and return its reply."""
        self.send(data)
        return await self.read_reply()

    async def closed_without_reply(self) -> bool:
        """Wait until the gateway closes or resets the connection; return whether it has sent nothing more."""
        try:
            return not await self.reader.read()
        except ConnectionResetError:
            return True


@contextlib.asynccontextmanager
async def running_gateway(
    *scan_servers: StubScanServer, addresses: Iterable[Address] = (), **changes: object
) -> AsyncIterator[tuple[GatewayServer, Address]]:
    """Start a gateway with the scan servers at `addresses` and the stubs; yield it and its address.

    The servers are `s0`, `s1`, … in this order. `changes` replace fields of `CONFIG`.
    """
    all_addresses = [*addresses, *[await scan_server.start() for scan_server in scan_servers]]
    entries = [endpoint_entry(f"s{number}", address) for number, address in enumerate(all_addresses)]

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(7, entries)))
        await asyncio.Event().wait()

    gateway = GatewayServer(replace(CONFIG, discovery=(await StubDiscovery(script).start(),), **changes))
    await gateway.start()
    try:
        yield gateway, gateway.address
    finally:
        gateway.close()


def refusing_address() -> Address:
    """Return an address whose port is reserved, so that no process listens on it: connecting is refused."""
    return HOST, free_port()
