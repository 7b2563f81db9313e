"""Stand-ins for what a front door talks to: scan servers, discovery, a peer. Each counts what it sees."""

import asyncio
import contextlib
import json
import random
from collections import deque
from collections.abc import Iterable
from typing import Any

from thistletrail.benchmarks.loads import Load
from thistletrail.gateway.resp import CommandReader, ProtocolError
from thistletrail.policy.codec import pack_message, unpack_message
from thistletrail.policy.events import QuotaMessage

HOST = "127.0.0.1"
Address = tuple[str, int]
VALUE = b"x" * 1024  # bytes of an answer: a label and a small image
EMPTY_LINE_S = 2.0  # how often a watch with no news brings an empty line


class ScanServer:
    """Works on a few requests at once, lets some wait, and turns the rest away."""

    def __init__(self, name: str, load: Load, random_: random.Random) -> None:
        self.name, self.load, self.random = name, load, random_
        self.connections = self.commands = self.turned_away = self.unreadable = 0
        self.working = 0
        self.waiting: deque[ScanConnection] = deque()
        self.address: Address = (HOST, 0)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ScanConnection(self), HOST, 0)
        self.address = self.server.sockets[0].getsockname()

    def come(self, connection: "ScanConnection") -> None:
        self.commands += 1
        if self.working < self.load.slots:
            self.begin(connection)
        elif len(self.waiting) < self.load.waiting:
            self.waiting.append(connection)
        else:
            self.turned_away += 1
            connection.write(b"-BUSY\r\n")

    def begin(self, connection: "ScanConnection") -> None:
        self.working += 1
        work_s = self.random.expovariate(1000 / self.load.work_ms)
        asyncio.get_running_loop().call_later(work_s, self.end, connection)

    def end(self, connection: "ScanConnection") -> None:
        self.working -= 1
        connection.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(VALUE), VALUE))
        if self.waiting:
            self.begin(self.waiting.popleft())

    def close(self) -> None:
        self.server.close()


class ScanConnection(asyncio.Protocol):
    """A connection of the front door's to a scan server."""

    def __init__(self, server: ScanServer) -> None:
        self.server, self.reader = server, CommandReader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.server.connections += 1

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while self.reader.next() is not None:
                self.server.come(self)
        except ProtocolError:
            self.server.unreadable += 1
            self.transport.abort()

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def entry(server: ScanServer, lifecycle: str) -> dict[str, Any]:
    return {
        "instanceId": server.name,
        "hostPort": text(server.address),
        "zone": "east",
        "machineType": "m1",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Discovery:
    """The list of scan servers, whole or as a watch that is told of changes."""

    def __init__(self) -> None:
        self.generation = 1
        self.listed: dict[str, dict[str, Any]] = {}
        self.calls = 0
        self.watches: set[asyncio.StreamWriter] = set()
        self.serving: set[asyncio.Task[None]] = set()
        self.closed = asyncio.Event()

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()

    def line(self, reset: bool, entries: Iterable[dict[str, Any]]) -> bytes:
        value = {"generation": self.generation, "reset": reset, "instances": list(entries)}
        return json.dumps(value).encode() + b"\n"

    def whole(self) -> bytes:
        return self.line(True, self.listed.values())

    def change(self, server: ScanServer, lifecycle: str) -> None:
        self.generation += 1
        self.listed[server.name] = changed = entry(server, lifecycle)
        if lifecycle == "DELETED":
            del self.listed[server.name]
        data = self.line(False, [changed])
        for writer in self.watches:
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        self.serving.add(task := asyncio.current_task())
        task.add_done_callback(self.serving.discard)
        try:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
            data = self.whole()
            if b"watch=1" not in target:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                return
            # Whatever was seen before, the whole list comes first: a front door must take it at any time.
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            self.watches.add(writer)
            while not self.closed.is_set() and not writer.is_closing():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.closed.wait(), EMPTY_LINE_S)
                writer.write(b"1\r\n\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, IndexError):
            pass  # the front door has gone, or is no front door
        finally:
            self.watches.discard(writer)
            writer.close()

    async def close(self) -> None:
        self.server.close()
        self.closed.set()
        if self.serving:  # they end by themselves; the loop would report those that it has to cancel
            await asyncio.wait(self.serving)


class Peer(asyncio.DatagramProtocol):
    """The other front door of each customer's set: answers what it is asked, as a home with room would."""

    def __init__(self, level: float) -> None:
        self.level, self.datagrams = level, 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.datagrams += 1
        words, _ = unpack_message(data) or ((), None)
        answers = [
            QuotaMessage(
                word.customer,
                word.plan_index,
                word.set_first,
                word.set_size,
                True,
                demand=word.demand,
                spent=word.requested,
                requested=word.requested,
                level=self.level,
            )
            for word in words
            if not word.is_answer and word.requested
        ]
        if answers:
            for message in pack_message(answers):
                self.transport.sendto(message, address)


class World:
    """All stand-ins of one play."""

    def __init__(self, load: Load, seed: int, peer_level: float) -> None:
        self.load, self.random = load, random.Random(seed)
        self.servers: list[ScanServer] = []  # all that ever were
        self.up: deque[ScanServer] = deque()
        self.discovery, self.peer = Discovery(), Peer(peer_level)
        self.peer_address: Address = (HOST, 0)
        self.replacing: asyncio.Task[None] | None = None

    async def start(self) -> Address:
        """The address of discovery."""
        for _ in range(self.load.servers):
            await self.add()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self.peer, local_addr=(HOST, 0))
        self.peer_address = transport.get_extra_info("sockname")
        return await self.discovery.start()

    async def add(self) -> None:
        server = ScanServer(f"s-{len(self.servers)}", self.load, random.Random(self.random.random()))
        await server.start()
        self.servers.append(server)
        self.up.append(server)
        self.discovery.change(server, "SERVING")

    def begin(self) -> None:
        """From now on, replace scan servers where the load says so."""
        if self.load.replace_every_s:
            self.replacing = asyncio.get_running_loop().create_task(self.replace())

    async def replace(self) -> None:
        while True:
            await asyncio.sleep(self.load.replace_every_s / 2)
            await self.add()
            leaving = self.up.popleft()
            self.discovery.change(leaving, "DRAINING")
            await asyncio.sleep(self.load.replace_every_s / 2)
            self.discovery.change(leaving, "DELETED")

    def total(self, name: str) -> int:
        return sum(getattr(server, name) for server in self.servers)

    async def close(self) -> None:
        if self.replacing:
            self.replacing.cancel()
        for server in self.servers:
            server.close()
        await self.discovery.close()
        if self.peer.transport:
            self.peer.transport.close()
