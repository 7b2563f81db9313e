"""Stub servers that a gateway connects to: scan servers, a service registry and a peer, with counters."""

import asyncio
import contextlib
import json
import random
from collections import deque
from collections.abc import Iterable
from typing import Any

from thistletrail.benchmarks.loads import Load
from thistletrail.gateway.resp import CommandReader, ProtocolError
from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.peer_codec import pack_datagrams, unpack_datagram

HOST = "127.0.0.1"
Address = tuple[str, int]
VALUE = b"x" * 1024  # value of an answer, of the size of a label and a small image
EMPTY_LINE_INTERVAL_S = 2.0  # between the empty lines that keep a watch stream alive


class StubScanServer:
    """A scan server with limited concurrency and a bounded queue; commands beyond both get BUSY."""

    def __init__(self, name: str, load: Load, random_: random.Random) -> None:
        self.name, self.load, self.random = name, load, random_
        # Counters: accepted connections, commands, BUSY answers, connections with malformed commands.
        self.connections = self.commands = self.rejected_commands = self.malformed_streams = 0
        self.active = 0  # commands that are being worked on
        self.queue: deque[ScanConnection] = deque()
        self.address: Address = (HOST, 0)

    async def start(self) -> None:
        """Listen on a port that the system chooses, and store the address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ScanConnection(self), HOST, 0)
        self.address = self.server.sockets[0].getsockname()

    def receive_command(self, connection: "ScanConnection") -> None:
        """Start, queue or reject a command."""
        self.commands += 1
        if self.active < self.load.max_concurrent:
            self.start_work(connection)
        elif len(self.queue) < self.load.max_queued:
            self.queue.append(connection)
        else:
            self.rejected_commands += 1
            connection.write(b"-BUSY\r\n")

    def start_work(self, connection: "ScanConnection") -> None:
        """Answer a command after a time drawn from an exponential distribution with mean `load.work_ms`."""
        self.active += 1
        work_s = self.random.expovariate(1000 / self.load.work_ms)
        asyncio.get_running_loop().call_later(work_s, self.finish_work, connection)

    def finish_work(self, connection: "ScanConnection") -> None:
        """Send the answer, and start the first queued command."""
        self.active -= 1
        connection.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(VALUE), VALUE))
        if self.queue:
            self.start_work(self.queue.popleft())

    def close(self) -> None:
        """Stop listening; open connections stay open."""
        self.server.close()


class ScanConnection(asyncio.Protocol):
    """A gateway's connection to a stub scan server."""

    def __init__(self, server: StubScanServer) -> None:
        self.server, self.reader = server, CommandReader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and count the connection."""
        self.transport = transport
        self.server.connections += 1

    def data_received(self, data: bytes) -> None:
        """Pass each complete command to the server; abort the connection on a malformed one."""
        self.reader.feed(data)
        try:
            while self.reader.next() is not None:
                self.server.receive_command(self)
        except ProtocolError:
            self.server.malformed_streams += 1
            self.transport.abort()

    def write(self, data: bytes) -> None:
        """Send data unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)


def format_address(address: Address) -> str:
    """Return `host:port`."""
    return f"{address[0]}:{address[1]}"


def registry_entry(server: StubScanServer, lifecycle: str) -> dict[str, Any]:
    """Return the entry of a scan server in the endpoint list, as the service registry sends it."""
    return {
        "instanceId": server.name,
        "hostPort": format_address(server.address),
        "zone": "east",
        "machineType": "m1",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class StubServiceRegistry:
    """Serves the endpoint list over HTTP: once, or as a watch stream with an event for each change."""

    def __init__(self) -> None:
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.requests = 0
        self.watch_writers: set[asyncio.StreamWriter] = set()
        self.serving_tasks: set[asyncio.Task[None]] = set()
        self.closed = asyncio.Event()

    async def start(self) -> Address:
        """Listen on a port that the system chooses, and return the address."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()

    def encode_line(self, reset: bool, entries: Iterable[dict[str, Any]]) -> bytes:
        """Return one line of a watch stream: a complete list if `reset`, else changes."""
        value = {"generation": self.generation, "reset": reset, "instances": list(entries)}
        return json.dumps(value).encode() + b"\n"

    def complete_list(self) -> bytes:
        """Return the complete endpoint list as one line."""
        return self.encode_line(True, self.entries.values())

    def publish(self, server: StubScanServer, lifecycle: str) -> None:
        """Set the state of a server in the list to `lifecycle`, and send the change on all watch streams."""
        self.generation += 1
        self.entries[server.name] = changed = registry_entry(server, lifecycle)
        if lifecycle == "DELETED":
            del self.entries[server.name]
        data = self.encode_line(False, [changed])
        for writer in self.watch_writers:
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one HTTP request: with the list, or with a watch stream until either side closes."""
        self.requests += 1
        self.serving_tasks.add(task := asyncio.current_task())
        task.add_done_callback(self.serving_tasks.discard)
        try:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
            data = self.complete_list()
            if b"watch=1" not in target:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                return
            # A watch starts with the complete list even if the client states a generation: a gateway must
            # accept a complete list at any time.
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            self.watch_writers.add(writer)
            while not self.closed.is_set() and not writer.is_closing():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.closed.wait(), EMPTY_LINE_INTERVAL_S)
                writer.write(b"1\r\n\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, IndexError):
            pass  # the gateway disconnected, or the request is malformed
        finally:
            self.watch_writers.discard(writer)
            writer.close()

    async def close(self) -> None:
        """Stop listening and end the watch streams."""
        self.server.close()
        self.closed.set()
        if self.serving_tasks:
            # They return after `closed`; asyncio logs an error for each task that it has to cancel.
            await asyncio.wait(self.serving_tasks)


class StubPeer(asyncio.DatagramProtocol):
    """The other gateway that serves each customer, as the quota owner of customers below their quotas.

    It grants each quota request in full. `level` is the bucket level in its answers, in units.
    """

    def __init__(self, level: float) -> None:
        self.level, self.datagrams = level, 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport of the datagram socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Answer the quota requests of a datagram; anything else is only counted."""
        self.datagrams += 1
        datagram = unpack_datagram(data)
        quota_messages = datagram.quota_messages if datagram else ()
        answers = [
            QuotaMessage(
                message.customer,
                message.plan_index,
                message.set_first,
                message.set_size,
                is_answer=True,
                demand=message.demand,
                spent=message.requested,
                requested=message.requested,
                level=self.level,
            )
            for message in quota_messages
            if not message.is_answer and message.requested
        ]
        if answers:
            for answer in pack_datagrams(answers):
                self.transport.sendto(answer, address)


class StubServers:
    """All stub servers of one run of a load."""

    def __init__(self, load: Load, seed: int, peer_level: float) -> None:
        self.load, self.random = load, random.Random(seed)
        self.servers: list[StubScanServer] = []  # all that were started, including removed ones
        self.serving_servers: deque[StubScanServer] = deque()
        self.registry, self.peer = StubServiceRegistry(), StubPeer(peer_level)
        self.peer_address: Address = (HOST, 0)
        self.replacement_task: asyncio.Task[None] | None = None

    async def start(self) -> Address:
        """Start all stub servers; return the address of the service registry."""
        for _ in range(self.load.servers):
            await self.add_server()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self.peer, local_addr=(HOST, 0))
        self.peer_address = transport.get_extra_info("sockname")
        return await self.registry.start()

    async def add_server(self) -> None:
        """Start a scan server and publish it as SERVING."""
        server = StubScanServer(f"s-{len(self.servers)}", self.load, random.Random(self.random.random()))
        await server.start()
        self.servers.append(server)
        self.serving_servers.append(server)
        self.registry.publish(server, "SERVING")

    def start_replacing(self) -> None:
        """Start to replace scan servers, if the load has a replacement interval."""
        if self.load.replace_every_s:
            self.replacement_task = asyncio.get_running_loop().create_task(self.replace_servers())

    async def replace_servers(self) -> None:
        """Add a scan server, drain the oldest and delete it, once per interval of the load."""
        while True:
            await asyncio.sleep(self.load.replace_every_s / 2)
            await self.add_server()
            removed = self.serving_servers.popleft()
            self.registry.publish(removed, "DRAINING")
            await asyncio.sleep(self.load.replace_every_s / 2)
            self.registry.publish(removed, "DELETED")

    def total(self, name: str) -> int:
        """Return the sum of a counter, given by its name, over all scan servers."""
        return sum(getattr(server, name) for server in self.servers)

    async def close(self) -> None:
        """Stop the replacement and close all stub servers."""
        if self.replacement_task:
            self.replacement_task.cancel()
        for server in self.servers:
            server.close()
        await self.registry.close()
        if self.peer.transport:
            self.peer.transport.close()
