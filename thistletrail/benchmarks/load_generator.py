"""The load generator: sends a bounded, seeded load of requests to a gateway and counts their outcomes."""

import asyncio
import random
import time
from collections import Counter, deque

from thistletrail.benchmarks.loads import Load
from thistletrail.benchmarks.stub_servers import Address
from thistletrail.gateway.resp import encode

REQUEST_DEADLINE_MS = 2000  # the field `d` of every request
ANSWER_TIMEOUT_S = 3.0  # a later answer counts as "unanswered"
CUSTOMER_COUNT = 50
BODY = b"y" * 256
PING = encode([b"PING"])
SUBMIT_PREFIX = b"*5"  # an encoded SVC.SUBMIT begins with its count of arguments; SVC.QUERY has four
MAX_INCOMPLETE_ANSWER_BYTES = 1 << 20  # a longer incomplete answer closes the connection


class GatewayClient(asyncio.Protocol):
    """One connection to a gateway. Answers arrive in the order of the commands."""

    def __init__(self) -> None:
        self.pending_answers: deque[asyncio.Future[str]] = deque()
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    @classmethod
    async def open(cls, address: Address) -> "GatewayClient":
        """Connect to a gateway; raises OSError if that fails."""
        _, client = await asyncio.get_running_loop().create_connection(cls, *address)
        return client

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport

    def send_commands(self, commands: list[bytes]) -> list[asyncio.Future[str]]:
        """Write the commands at once; return a future for the outcome of each.

        An outcome is "served", "refused", "failed", "pong" or, if the connection is lost, "closed".
        """
        loop = asyncio.get_running_loop()
        answers = [loop.create_future() for _ in commands]
        self.pending_answers += answers
        self.transport.write(b"".join(commands))
        return answers

    def data_received(self, data: bytes) -> None:
        """Complete the pending answers that the buffered data contains."""
        self.buffer += data
        while self.pending_answers and (outcome := self.next_outcome()):
            if not (future := self.pending_answers.popleft()).done():
                future.set_result(outcome)
        if len(self.buffer) > MAX_INCOMPLETE_ANSWER_BYTES:
            self.transport.abort()

    def next_outcome(self) -> str | None:
        """Remove the first answer from the buffer and return its outcome; None if it is incomplete."""
        end = self.buffer.find(b"\r\n")
        if end < 0:
            return None
        reply_type, rest = chr(self.buffer[0]), bytes(self.buffer[1:end])
        if reply_type == "$":
            end += 2 + int(rest)
            if len(self.buffer) < end + 2:
                return None
        del self.buffer[: end + 2]
        return self.parse_outcome(reply_type, rest)

    def parse_outcome(self, reply_type: str, rest: bytes) -> str:
        """Return the outcome of an answer from its type byte and the rest of its first line."""
        return {"$": "served", "+": "pong"}.get(reply_type) or (
            "refused" if rest.startswith(b"BUSY") else "failed"
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Complete the pending answers with the outcome "closed"."""
        for future in self.pending_answers:
            if not future.done():
                future.set_result("closed")
        self.pending_answers.clear()

    def is_open(self) -> bool:
        """Return whether commands can still be sent."""
        return not self.transport.is_closing()

    def close(self) -> None:
        """Close the connection; answers that are still pending end as "closed"."""
        self.transport.abort()


class LoadGenerator:
    """Sends the requests of a load, each on a free connection if there is one, else on a new one."""

    def __init__(self, load: Load, seed: int, address: Address) -> None:
        self.load, self.random, self.address = load, random.Random(seed), address
        self.free_connections: list[GatewayClient] = []
        self.idle_connections: list[GatewayClient] = []
        self.outcomes: Counter[str] = Counter()
        self.open_requests = 0  # requests that are sent or due, and not answered
        self.write_latencies_us: list[int] = []  # time from sending to answer of each served SVC.SUBMIT
        self.request_number = 0

    def next_command(self) -> bytes:
        """Draw the next request and return its encoded command."""
        self.request_number += 1
        customer = b"%016x" % (1 + self.random.randrange(CUSTOMER_COUNT))
        request_id = b"%016x" % self.request_number
        fields = b"t=standard,d=%d,units=1,spread=2,first=0" % REQUEST_DEADLINE_MS
        if self.random.random() < 0.56:  # the share of reads at the Trust's scan service
            return encode([b"SVC.QUERY", customer, request_id, b"c=view-sheet," + fields])
        return encode(
            [b"SVC.SUBMIT", customer, request_id, b"c=submit-record,k=%b,%b" % (request_id, fields), BODY]
        )

    async def open_idle_connections(self) -> None:
        """Open the connections that stay idle during the load; each sends one request first."""
        for _ in range(self.load.idle):
            client = await GatewayClient.open(self.address)
            self.idle_connections.append(client)
            await self.wait_for_outcomes(client.send_commands([self.next_command()]))

    async def run(self) -> None:
        """Send all requests of the load and wait until each is answered or has timed out."""
        loop = asyncio.get_running_loop()
        due_s, tasks = loop.time(), []
        for _ in range(0, self.load.requests, self.load.pipelined):
            due_s += self.random.expovariate(self.load.rate / self.load.pipelined)
            if (remaining_s := due_s - loop.time()) > 0:
                await asyncio.sleep(remaining_s)
            tasks.append(loop.create_task(self.send_pipeline()))
        await asyncio.gather(*tasks)

    async def send_pipeline(self) -> None:
        """Send `load.pipelined` requests at once on one connection and count their outcomes."""
        count = self.load.pipelined
        self.open_requests += count
        try:
            while self.free_connections and not self.free_connections[-1].is_open():
                self.free_connections.pop()
            client = (
                self.free_connections.pop()
                if self.free_connections
                else await GatewayClient.open(self.address)
            )
            commands, began_ns = [self.next_command() for _ in range(count)], time.monotonic_ns()
            outcomes = await self.wait_for_outcomes(client.send_commands(commands))
            if commands[0].startswith(SUBMIT_PREFIX) and outcomes == ["served"]:
                self.write_latencies_us.append((time.monotonic_ns() - began_ns) // 1000)
            if client.is_open() and "unanswered" not in outcomes:
                self.free_connections.append(client)
        except OSError:
            outcomes = ["unconnected"] * count
        finally:
            self.open_requests -= count
        self.outcomes.update(outcomes)

    @staticmethod
    async def wait_for_outcomes(answers: list[asyncio.Future[str]]) -> list[str]:
        """Wait for `ANSWER_TIMEOUT_S` at most; the outcome without an answer is "unanswered"."""
        await asyncio.wait(answers, timeout=ANSWER_TIMEOUT_S)
        return [future.result() if future.done() else "unanswered" for future in answers]

    def close(self) -> None:
        """Close the free and the idle connections."""
        for client in (*self.free_connections, *self.idle_connections):
            client.close()
