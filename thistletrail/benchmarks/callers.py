"""Clients of a front door: a bounded, seeded load of requests, and how they ended."""

import asyncio
import random
import time
from collections import Counter, deque

from thistletrail.benchmarks.loads import Load
from thistletrail.benchmarks.standins import Address
from thistletrail.gateway.resp import encode

WAIT_MS = 2000  # `d` of every request
PATIENCE_S = 3.0  # past it, an answer does not count as one
CUSTOMERS = 50
BODY = b"y" * 256
PING = encode([b"PING"])
WRITE = b"*5"  # how a SVC.SUBMIT begins: five words
MOST_ANSWER = 1 << 20  # bytes of an answer that is not whole


class Caller(asyncio.Protocol):
    """One connection; answers come in the order of its commands."""

    def __init__(self) -> None:
        self.asked: deque[asyncio.Future[str]] = deque()
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    @classmethod
    async def open(cls, address: Address) -> "Caller":
        _, caller = await asyncio.get_running_loop().create_connection(cls, *address)
        return caller

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def ask(self, commands: list[bytes]) -> list[asyncio.Future[str]]:
        """What the answers are, in one word each."""
        loop = asyncio.get_running_loop()
        asked = [loop.create_future() for _ in commands]
        self.asked += asked
        self.transport.write(b"".join(commands))
        return asked

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while self.asked and (word := self.next()):
            if not (future := self.asked.popleft()).done():
                future.set_result(word)
        if len(self.buffer) > MOST_ANSWER:
            self.transport.abort()

    def next(self) -> str | None:
        end = self.buffer.find(b"\r\n")
        if end < 0:
            return None
        mark, rest = chr(self.buffer[0]), bytes(self.buffer[1:end])
        if mark == "$":
            end += 2 + int(rest)
            if len(self.buffer) < end + 2:
                return None
        del self.buffer[: end + 2]
        return self.word(mark, rest)

    def word(self, mark: str, rest: bytes) -> str:
        """What an answer is in one word, by its first line."""
        return {"$": "served", "+": "pong"}.get(mark) or ("refused" if rest.startswith(b"BUSY") else "failed")

    def connection_lost(self, error: Exception | None) -> None:
        for future in self.asked:
            if not future.done():
                future.set_result("closed")
        self.asked.clear()

    def usable(self) -> bool:
        return not self.transport.is_closing()

    def close(self) -> None:
        self.transport.abort()


class Callers:
    """Plays a load; requests take a connection that is free, or a new one."""

    def __init__(self, load: Load, seed: int, address: Address) -> None:
        self.load, self.random, self.address = load, random.Random(seed), address
        self.free: list[Caller] = []
        self.idle: list[Caller] = []
        self.ended: Counter[str] = Counter()
        self.open = 0  # requests that wait for their answers
        self.took_us: list[int] = []  # by each served write, from when it was asked
        self.serial = 0

    def command(self) -> bytes:
        self.serial += 1
        customer = b"%016x" % (1 + self.random.randrange(CUSTOMERS))
        name = b"%016x" % self.serial
        fields = b"t=standard,d=%d,units=1,spread=2,first=0" % WAIT_MS
        if self.random.random() < 0.56:  # the share of reads of the Trust's scan service
            return encode([b"SVC.QUERY", customer, name, b"c=view-sheet," + fields])
        return encode([b"SVC.SUBMIT", customer, name, b"c=submit-record,k=%b,%b" % (name, fields), BODY])

    async def settle(self) -> None:
        """Open the connections that are to stay idle; each has asked once."""
        for _ in range(self.load.idle):
            caller = await Caller.open(self.address)
            self.idle.append(caller)
            await self.wait(caller.ask([self.command()]))

    async def play(self) -> None:
        """All requests of the load, and their answers or the end of patience."""
        loop = asyncio.get_running_loop()
        due, tasks = loop.time(), []
        for _ in range(0, self.load.requests, self.load.pipelined):
            due += self.random.expovariate(self.load.rate / self.load.pipelined)
            if (left := due - loop.time()) > 0:
                await asyncio.sleep(left)
            tasks.append(loop.create_task(self.one()))
        await asyncio.gather(*tasks)

    async def one(self) -> None:
        count = self.load.pipelined
        self.open += count
        try:
            while self.free and not self.free[-1].usable():
                self.free.pop()
            caller = self.free.pop() if self.free else await Caller.open(self.address)
            commands, began = [self.command() for _ in range(count)], time.monotonic_ns()
            words = await self.wait(caller.ask(commands))
            if commands[0].startswith(WRITE) and words == ["served"]:
                self.took_us.append((time.monotonic_ns() - began) // 1000)
            if caller.usable() and "unanswered" not in words:
                self.free.append(caller)
        except OSError:
            words = ["unconnected"] * count
        finally:
            self.open -= count
        self.ended.update(words)

    @staticmethod
    async def wait(asked: list[asyncio.Future[str]]) -> list[str]:
        await asyncio.wait(asked, timeout=PATIENCE_S)
        return [future.result() if future.done() else "unanswered" for future in asked]

    def close(self) -> None:
        for caller in (*self.free, *self.idle):
            caller.close()
