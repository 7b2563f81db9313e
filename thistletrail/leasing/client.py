"""Connections of gateways to the lease service, and the timing of renewals.

It runs in an asyncio program and depends only on h11 and msgspec. No client request waits for a renewal.
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
RENEW_FRACTION = 1 / 3  # renewal interval as a fraction of the lease: two renewals may be lost
JITTER_FRACTION = 0.25  # largest reduction of a renewal interval
MIN_RENEW_INTERVAL_S = 0.1
MAX_RESPONSE_BYTES = 1 << 20
MAX_ERROR_CHARS = 200  # longer error texts of the lease service are cut off
READ_CHUNK_BYTES = 1 << 16
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class SignedResponse:
    """An HTTP response of the lease service, with a signature that is not yet verified."""

    status: int
    signature: str
    body: bytes


class HttpConnection:
    """A connection to the lease service, opened by the first request."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.http = h11.Connection(h11.CLIENT)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the streams of the connection; connect first if there is none."""
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self.reader, self.writer

    def head(self, target: str, *headers: tuple[str, str]) -> h11.Request:
        """Return the head of a POST request."""
        host, port = self.address
        return h11.Request(method="POST", target=target, headers=[("Host", f"{host}:{port}"), *headers])

    async def receive(self, reader: asyncio.StreamReader) -> None:
        """Read the next bytes into the HTTP parser."""
        self.http.receive_data(await reader.read(READ_CHUNK_BYTES))

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self.writer is not None:
            self.writer.close()


class RenewalConnection(HttpConnection):
    """A connection for successive renewals."""

    async def call(self, body: bytes, signature: str) -> SignedResponse:
        """Send a renewal and return the response.

        Raises:
            ServiceUnavailableError: The connection ends, or the response exceeds `MAX_RESPONSE_BYTES`.
            OSError: The connection fails.
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
        """Read one complete response."""
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
                    raise ServiceUnavailableError(
                        f"response of at least {len(body)} bytes exceeds the limit of {MAX_RESPONSE_BYTES}"
                    )
            elif isinstance(event, h11.ConnectionClosed):
                raise ServiceUnavailableError(
                    f"connection closed after {len(body)} bytes of a response to a renewal"
                )
        return SignedResponse(status, signature, body)


class WorkStream(HttpConnection):
    """One long HTTP call to the lease service in which framed requests and responses alternate."""

    def __init__(self, address: Address, secret: bytes) -> None:
        super().__init__(address)
        self.secret = secret
        self.frames = FrameReader(secret)

    async def call(self, request: object) -> bytes:
        """Send a request and return the body of the response, both in msgpack.

        Raises:
            ServiceFullError: The lease service cannot persist the request now.
            ServiceUnavailableError: The request is rejected, or the connection ends.
            FrameError: A frame is too large, or not signed by the shared secret.
            OSError: The connection fails.
            h11.ProtocolError: The response is not HTTP.
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
        text = response.body.decode(errors="replace")[:MAX_ERROR_CHARS]
        if response.status == STATUS_FULL:
            raise ServiceFullError(text)
        raise ServiceUnavailableError(text)

    async def receive_frame(self, reader: asyncio.StreamReader) -> Frame:
        """Return the next frame once it is complete."""
        while (frame := self.frames.next()) is None:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                await self.receive(reader)
            elif isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                raise ServiceUnavailableError(f"work stream answered with status {event.status_code}")
            elif isinstance(event, h11.Data):
                self.frames.feed(event.data)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise ServiceUnavailableError("the lease service ended the work stream")
        return frame


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """How to reach the lease service: addresses of all its processes, the shared secret, its lease length."""

    addresses: tuple[Address, ...]
    secret: bytes
    lease_ms: int


class LeaseRenewer:
    """Renews all leases of a holder in one request at jittered intervals, at one of several addresses."""

    def __init__(
        self,
        holder: BudgetHolder,
        service: ServiceSettings,
        random_source: random.Random,
        prepare: Callable[[], None],
        on_renewed: Callable[[], None],
    ) -> None:
        """Create a renewer for a holder's leases.

        Args:
            holder: The holder of the leases.
            service: How to reach the lease service.
            random_source: Source of the jitter.
            prepare: Called before each request, to set the holder's demand.
            on_renewed: Called after the grants of a response are adopted.
        """
        self.holder = holder
        self.service = service
        self.random = random_source
        self.prepare = prepare
        self.on_renewed = on_renewed
        self.address_index = 0
        self.connection: RenewalConnection | None = None
        self.request_count = 0
        self.failure_count = 0
        self.renewal_requested = asyncio.Event()

    async def run(self) -> None:
        """Renew until cancelled; the first renewal follows after a random fraction of the interval."""
        interval_s = self.service.lease_ms * RENEW_FRACTION / 1000
        await asyncio.sleep(self.random.uniform(0, interval_s * JITTER_FRACTION))
        try:
            while True:
                if await self.attempt_renewal(interval_s):
                    wait_s = self.random.uniform(1 - JITTER_FRACTION, 1) * interval_s
                else:  # retry soon, spread so that not all holders retry at the same moment
                    wait_s = self.random.uniform(0, interval_s / 2)
                await self.wait_for_next(wait_s)
        finally:
            self.disconnect()

    async def wait_for_next(self, wait_s: float) -> None:
        """Wait for `wait_s`, or less if an earlier renewal is requested."""
        await asyncio.sleep(min(wait_s, MIN_RENEW_INTERVAL_S))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.renewal_requested.wait(), max(0.0, wait_s - MIN_RENEW_INTERVAL_S))
        self.renewal_requested.clear()

    def renew_soon(self) -> None:
        """Request a renewal as soon as `MIN_RENEW_INTERVAL_S` allows."""
        self.renewal_requested.set()

    async def attempt_renewal(self, timeout_s: float) -> bool:
        """Renew once; return whether it succeeded. After a failure the next address is used."""
        self.request_count += 1
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
            self.failure_count += 1
            host, port = self.service.addresses[self.address_index]
            reason = str(error) or f"no response within {timeout_s:.1f} s"
            log.warning("no renewal by the lease service at %s:%d: %s", host, port, reason)
            self.disconnect()
            self.address_index = (self.address_index + 1) % len(self.service.addresses)
            return False
        return True

    async def renew(self) -> None:
        """Send one request, verify the signature of the response, and adopt its grants."""
        if self.connection is None:
            self.connection = RenewalConnection(self.service.addresses[self.address_index])
        self.prepare()
        body = msgspec.msgpack.encode(self.holder.next_request(now_ms()))
        response = await self.connection.call(body, sign(self.service.secret, body))
        if response.status != HTTP_OK:
            text = response.body.decode(errors="replace").strip()[:MAX_ERROR_CHARS]
            raise ServiceUnavailableError(text or f"renewal answered with status {response.status}")
        if not hmac.compare_digest(response.signature, sign(self.service.secret, response.body)):
            raise ServiceUnavailableError("the response is not signed by the shared secret")
        if self.holder.on_response(msgspec.msgpack.decode(response.body, type=RenewResponse), now_ms()):
            self.on_renewed()

    def disconnect(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
