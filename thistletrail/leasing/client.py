"""Connections of gateways to the lease service, and the timing of renewals.

For an asyncio program; no request of a client waits for it. h11 and msgspec are all it needs.
"""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import h11
import msgspec

from thistletrail.leasing.budget_holder import BudgetHolder
from thistletrail.leasing.errors import ServiceFullError, ServiceUnavailableError
from thistletrail.leasing.framing import (
    RENEW_PATH,
    SIGNATURE_HEADER,
    STATUS_FULL,
    STATUS_OK,
    WORK_PATH,
    Frame,
    FrameReader,
    encode_frame,
    now_ms,
    sign,
)
from thistletrail.leasing.messages import RenewResponse

log = logging.getLogger(__name__)

Address = tuple[str, int]  # host and port
RENEW_FRACTION = 1 / 3  # of the lease, between renewals: two may get lost
JITTER = 0.25  # of the time between renewals
MIN_RENEW_INTERVAL_S = 0.1  # also where something new is wanted
MAX_RESPONSE_BYTES = 1 << 20
MAX_ERROR_LENGTH = 200  # characters of a text of the service's, in an error of ours
READ_BYTES = 1 << 16  # at a time
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class SignedResponse:
    """An HTTP response of the lease service, its signature not yet checked."""

    status: int
    signature: str
    body: bytes


class HttpConnection:
    """A connection to the lease service; opened with the first request."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.http = h11.Connection(h11.CLIENT)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect, if that has not been done yet."""
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self.reader, self.writer

    def head(self, target: str, *headers: tuple[str, str]) -> h11.Request:
        """Return the head of a POST request."""
        host, port = self.address
        return h11.Request(method="POST", target=target, headers=[("Host", f"{host}:{port}"), *headers])

    async def receive(self, reader: asyncio.StreamReader) -> None:
        """Read what has arrived next."""
        self.http.receive_data(await reader.read(READ_BYTES))

    def close(self) -> None:
        """Close the connection, if it was opened."""
        if self.writer is not None:
            self.writer.close()


class RenewalConnection(HttpConnection):
    """One connection to the lease service, used for one renewal after another."""

    async def call(self, body: bytes, signature: str) -> SignedResponse:
        """Send a renewal and return the response.

        Raises:
            ServiceUnavailableError: The connection ends, or the response has no end.
            OSError: There is no connection.
            h11.ProtocolError: The response is not HTTP.
        """
        reader, writer = await self.open()
        request = self.head(RENEW_PATH, ("Content-Length", str(len(body))), (SIGNATURE_HEADER, signature))
        writer.write(
            (self.http.send(request) or b"")
            + (self.http.send(h11.Data(data=body)) or b"")
            + (self.http.send(h11.EndOfMessage()) or b"")
        )
        response = await self.receive_response(reader)
        self.http.start_next_cycle()
        return response

    async def receive_response(self, reader: asyncio.StreamReader) -> SignedResponse:
        """Read one response to its end."""
        status = 0
        signature = ""
        body = b""
        while not isinstance(event := self.http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                await self.receive(reader)
            elif isinstance(event, h11.Response):
                status = event.status_code
                signature = dict(event.headers).get(SIGNATURE_HEADER.lower().encode(), b"").decode()
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise ServiceUnavailableError(f"a response of more than {MAX_RESPONSE_BYTES} bytes")
            elif isinstance(event, h11.ConnectionClosed):
                raise ServiceUnavailableError("the connection has ended")
        return SignedResponse(status, signature, body)


class WorkStream(HttpConnection):
    """One long call to the lease service, in which framed requests and responses alternate."""

    def __init__(self, address: Address, secret: bytes) -> None:
        super().__init__(address)
        self.secret = secret
        self.frames = FrameReader(secret)

    async def call(self, request: object) -> bytes:
        """Send a request and return the body of the response, both in msgpack.

        Raises:
            ServiceFullError: Nothing can be persisted there now.
            ServiceUnavailableError: The request is rejected, or the connection ends.
            FrameError: A frame is not signed by the shared secret.
            OSError: There is no connection.
            h11.ProtocolError: What comes back is not HTTP.
        """
        is_first = self.writer is None
        reader, writer = await self.open()
        if is_first:
            head = self.head(WORK_PATH, ("Transfer-Encoding", "chunked"))
            writer.write(self.http.send(head) or b"")
        frame = encode_frame(self.secret, msgspec.msgpack.encode(request))
        writer.write(self.http.send(h11.Data(data=frame)) or b"")
        response = await self.receive_frame(reader)
        if response.status == STATUS_OK:
            return response.body
        text = response.body.decode(errors="replace")[:MAX_ERROR_LENGTH]
        if response.status == STATUS_FULL:
            raise ServiceFullError(text)
        raise ServiceUnavailableError(text)

    async def receive_frame(self, reader: asyncio.StreamReader) -> Frame:
        """Read until a frame is complete."""
        while (frame := self.frames.next()) is None:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                await self.receive(reader)
            elif isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                raise ServiceUnavailableError(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                self.frames.feed(event.data)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise ServiceUnavailableError("the connection has ended")
        return frame


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """How to reach the lease service: the addresses of all its processes, the shared secret, its lease."""

    addresses: tuple[Address, ...]
    secret: bytes
    lease_ms: int


class LeaseRenewer:
    """Keeps the leases of a holder alive: batched and jittered renewals, at one of several addresses."""

    def __init__(
        self,
        holder: BudgetHolder,
        service: ServiceSettings,
        random_source: random.Random,
        prepare: Callable[[], None],
        on_renewed: Callable[[], None],
    ) -> None:
        """`prepare` is called before each request, to set demand; `on_renewed` once a response is adopted."""
        self.holder = holder
        self.service = service
        self.random = random_source
        self.prepare = prepare
        self.on_renewed = on_renewed
        self.address_index = 0
        self.connection: RenewalConnection | None = None
        self.requests = 0
        self.failures = 0
        self.is_wanted = asyncio.Event()

    async def run(self) -> None:
        """Renew until it is cancelled; the first time at once, spread over a fraction of the interval."""
        interval_s = self.service.lease_ms * RENEW_FRACTION / 1000
        await asyncio.sleep(self.random.uniform(0, interval_s * JITTER))
        try:
            while True:
                if await self.attempt_renewal(interval_s):
                    wait_s = self.random.uniform(1 - JITTER, 1) * interval_s
                else:  # the next one follows soon, and not from all holders at the same moment
                    wait_s = self.random.uniform(0, interval_s / 2)
                await self.wait_for_next(wait_s)
        finally:
            self.disconnect()

    async def wait_for_next(self, wait_s: float) -> None:
        """Wait until the next renewal is due, or something is wanted that nothing is held of."""
        await asyncio.sleep(min(wait_s, MIN_RENEW_INTERVAL_S))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.is_wanted.wait(), max(0.0, wait_s - MIN_RENEW_INTERVAL_S))
        self.is_wanted.clear()

    def hurry(self) -> None:
        """Renew as soon as allowed: there is demand for something that nothing is held of yet."""
        self.is_wanted.set()

    async def attempt_renewal(self, timeout_s: float) -> bool:
        """Renew once; return whether that succeeded. After a failure the next address is used."""
        self.requests += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self.renew()
        except (
            OSError,
            TimeoutError,
            ServiceUnavailableError,
            h11.ProtocolError,
            msgspec.MsgspecError,
        ) as error:
            self.failures += 1
            host, port = self.service.addresses[self.address_index]
            reason = str(error) or "it does not answer"
            log.warning("no renewal by the lease service at %s:%d: %s", host, port, reason)
            self.disconnect()
            self.address_index = (self.address_index + 1) % len(self.service.addresses)
            return False
        return True

    async def renew(self) -> None:
        """Send one request, check the response, and adopt it."""
        if self.connection is None:
            self.connection = RenewalConnection(self.service.addresses[self.address_index])
        self.prepare()
        body = msgspec.msgpack.encode(self.holder.next_request(now_ms()))
        response = await self.connection.call(body, sign(self.service.secret, body))
        if response.status != HTTP_OK:
            text = response.body.decode(errors="replace").strip()[:MAX_ERROR_LENGTH]
            raise ServiceUnavailableError(text or f"status {response.status}")
        if not hmac.compare_digest(response.signature, sign(self.service.secret, response.body)):
            raise ServiceUnavailableError("the response is not signed by the shared secret")
        if self.holder.on_response(msgspec.msgpack.decode(response.body, type=RenewResponse), now_ms()):
            self.on_renewed()

    def disconnect(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
