"""A holder's renewals over the network: batched, jittered, at a third of the lease, to one of several.

For an asyncio program; nothing that is served waits for it. h11 and msgspec are all it needs.
"""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import logging
import random
from collections.abc import Callable

import h11
import msgspec

from thistletrail.leasing.budget_holder import Holder
from thistletrail.leasing.framing import FULL, GOOD, PATH, SIGNATURE, WORK_PATH, Frames, frame, now_ms, sign
from thistletrail.leasing.messages import Answer

log = logging.getLogger(__name__)

Address = tuple[str, int]
RENEW_SHARE, JITTER = 1 / 3, 0.25  # of the lease: two renewals may get lost
HURRY_S = 0.1  # between two renewals at least, also where something new is wanted
MOST_ANSWER = 1 << 20  # bytes


class CallError(Exception):
    """A steward that did not answer as one."""


class TurnedAwayError(CallError):
    """A steward that could not keep what it was asked to."""


class Line:
    """One connection to a steward, used for one call after another."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.http = h11.Connection(h11.CLIENT)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def call(self, body: bytes, signature: str) -> tuple[int, str, bytes]:
        """Status, signature and body of the answer."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        host = "{}:{}".format(*self.address)
        head = h11.Request(
            method="POST",
            target=PATH,
            headers=[("Host", host), ("Content-Length", str(len(body))), (SIGNATURE, signature)],
        )
        self.writer.write(
            self.http.send(head) + self.http.send(h11.Data(data=body)) + self.http.send(h11.EndOfMessage())
        )
        status, signed, found = 0, "", b""
        while not isinstance(event := self.http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                data = await self.reader.read(1 << 16)
                self.http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                signed = dict(event.headers).get(SIGNATURE.lower().encode(), b"").decode()
            elif isinstance(event, h11.Data):
                found += event.data
                if len(found) > MOST_ANSWER:
                    raise CallError("an answer without an end")
            elif isinstance(event, h11.ConnectionClosed):
                raise CallError("the connection has ended")
        self.http.start_next_cycle()
        return status, signed, found

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


class Stream:
    """One long call to a steward, in which asks and answers go by turns: no heads, and one connection."""

    def __init__(self, address: Address, secret: bytes) -> None:
        self.address, self.secret = address, secret
        self.http = h11.Connection(h11.CLIENT)
        self.frames = Frames(secret)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def call(self, ask: object) -> bytes:
        """The answer's body, in msgpack; where nothing can be kept, a TurnedAwayError."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
            head = h11.Request(
                method="POST",
                target=WORK_PATH,
                headers=[("Host", "{}:{}".format(*self.address)), ("Transfer-Encoding", "chunked")],
            )
            self.writer.write(self.http.send(head))
        self.writer.write(self.http.send(h11.Data(data=frame(self.secret, msgspec.msgpack.encode(ask)))))
        while (found := self.frames.next()) is None:
            await self.read()
        status, body = found
        if status != GOOD:
            text = body.decode(errors="replace")[:200]
            raise TurnedAwayError(text) if status == FULL else CallError(text)
        return body

    async def read(self) -> None:
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            self.http.receive_data(await self.reader.read(1 << 16))
        elif isinstance(event, h11.Response) and event.status_code != 200:
            raise CallError(f"status {event.status_code}")
        elif isinstance(event, h11.Data):
            self.frames.feed(event.data)
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            raise CallError("the connection has ended")

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


class Renewer:
    """Keeps a holder's grants alive for as long as it runs."""

    def __init__(
        self,
        holder: Holder,
        addresses: tuple[Address, ...],
        secret: bytes,
        lease_ms: int,
        chance: random.Random,
        prepare: Callable[[], None],
        renewed: Callable[[], None],
    ) -> None:
        """`prepare` is called before each ask, to tell demand; `renewed` when an answer was taken over."""
        self.holder, self.addresses, self.secret, self.lease_ms = holder, addresses, secret, lease_ms
        self.random, self.prepare, self.renewed = chance, prepare, renewed
        self.at = 0
        self.line: Line | None = None
        self.asks = self.failures = 0
        self.wanting = asyncio.Event()

    async def run(self) -> None:
        """Renew until it is cancelled; the first time at once, spread over a part of a renewal."""
        part_s = self.lease_ms * RENEW_SHARE / 1000
        await asyncio.sleep(self.random.uniform(0, part_s * JITTER))
        try:
            while True:
                good = await self.once(part_s)
                # Where one fails the next is tried soon, and not by all at the same moment.
                wait = (
                    self.random.uniform(1 - JITTER, 1) * part_s
                    if good
                    else self.random.uniform(0, part_s / 2)
                )
                await self.rest(wait)
        finally:
            self.drop()

    async def rest(self, wait_s: float) -> None:
        """Until the next renewal is due, or something is wanted that nothing is held of."""
        await asyncio.sleep(min(wait_s, HURRY_S))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.wanting.wait(), max(0.0, wait_s - HURRY_S))
        self.wanting.clear()

    def hurry(self) -> None:
        """There is demand for something that nothing is held of yet."""
        self.wanting.set()

    async def once(self, within_s: float) -> bool:
        """One renewal: whether it was answered."""
        self.asks += 1
        try:
            async with asyncio.timeout(within_s):
                await self.renew()
            return True
        except (OSError, TimeoutError, CallError, h11.ProtocolError, msgspec.MsgspecError) as error:
            self.failures += 1
            log.warning(
                "no renewal by the steward at %s:%d: %s",
                *self.addresses[self.at],
                str(error) or "it does not answer",
            )
            self.drop()
            self.at = (self.at + 1) % len(self.addresses)
            return False

    async def renew(self) -> None:
        if self.line is None:
            self.line = Line(self.addresses[self.at])
        self.prepare()
        body = msgspec.msgpack.encode(self.holder.ask(now_ms()))
        status, signed, found = await self.line.call(body, sign(self.secret, body))
        if status != 200:
            raise CallError(found.decode(errors="replace").strip()[:200] or f"status {status}")
        if not hmac.compare_digest(signed, sign(self.secret, found)):
            raise CallError("the answer is not signed by the shared secret")
        if self.holder.answered(msgspec.msgpack.decode(found, type=Answer), now_ms()):
            self.renewed()

    def drop(self) -> None:
        if self.line is not None:
            self.line.close()
            self.line = None
