"""HTTP listeners of the registry and the lease service, against clients that write slowly or send much."""

import asyncio
import contextlib
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from aiohttp import web

from thistletrail import bounded_http
from thistletrail.leasing import receive_budget
from thistletrail.leasing.config import BudgetPattern, Config
from thistletrail.leasing.framing import FRAME_HEADER, WORK_PATH, encode_frame
from thistletrail.leasing.http_service import LeaseService
from thistletrail.leasing.journal import Journal, begin_history
from thistletrail.leasing.leadership import begin_term
from thistletrail.registry import http_service
from thistletrail.registry.http_service import RegistryService

SECRET = b"not for anybody else"
CONFIG = Config(gateways=16, budgets=(BudgetPattern(name="open", open=64),))
Address = tuple[str, int]
CHUNKED_CALL = b"POST %b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" % WORK_PATH.encode()


class RawClient:
    """A connection that sends bytes as they are."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: Address, data: bytes = b"") -> "RawClient":
        client = cls(*await asyncio.open_connection(*address))
        client.writer.write(data)
        return client

    async def status(self) -> int:
        """Return the status of the next response."""
        return int((await self.reader.readline()).split()[1])

    async def wait_closed(self) -> None:
        """Wait until the connection is closed or reset, whatever comes before that."""
        with contextlib.suppress(ConnectionResetError):
            await self.reader.read()


def run(app_factory: Callable[[], web.Application], scenario: Callable[[Address], Awaitable[None]]) -> None:
    async def serve() -> None:
        async with (
            asyncio.timeout(30),
            bounded_http.listening(app_factory(), "127.0.0.1", 0, shutdown_timeout_s=0.1) as address,
        ):
            await scenario(address)

    asyncio.run(serve())


def empty_app() -> web.Application:
    async def respond(_: web.Request) -> web.Response:
        return web.Response(text="ok")

    app = web.Application()
    app.add_routes([web.get("/", respond)])
    return app


def test_connection_beyond_the_limit_is_rejected_and_the_others_are_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against connections without a bound, which exhaust memory and descriptors.
    monkeypatch.setattr(bounded_http, "MAX_CONNECTIONS", 2)

    async def scenario(address: Address) -> None:
        first = await RawClient.connect(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert await first.status() == 200
        second = await RawClient.connect(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert await second.status() == 200
        third = await RawClient.connect(address)
        assert await third.status() == 503
        await third.wait_closed()
        second.writer.close()
        await second.writer.wait_closed()
        while await (await RawClient.connect(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")).status() == 503:
            await asyncio.sleep(0)

    run(empty_app, scenario)


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\nHost: a\r\nX-"])
def test_connection_without_a_complete_head_is_closed(monkeypatch: pytest.MonkeyPatch, data: bytes) -> None:
    # Guards against clients that stop within a head and occupy a connection for ever.
    monkeypatch.setattr(bounded_http, "IDLE_TIMEOUT_S", 0.1)

    async def scenario(address: Address) -> None:
        client = await RawClient.connect(address, data)
        await client.wait_closed()

    run(empty_app, scenario)


def test_head_of_very_many_short_fields_is_rejected() -> None:
    # Guards against heads that take memory by the number of their fields.
    async def scenario(address: Address) -> None:
        fields = b"".join(b"a%d: 1\r\n" % number for number in range(bounded_http.MAX_HEADERS + 1))
        client = await RawClient.connect(address, b"GET / HTTP/1.1\r\n" + fields + b"\r\n")
        assert await client.status() == 400
        await client.wait_closed()

    run(empty_app, scenario)


def test_registration_whose_body_stops_half_way_is_answered(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    # Guards against a handler that waits for the rest of a body without a time limit.
    monkeypatch.setattr(http_service, "BODY_TIMEOUT_S", 0.1)
    head = b"PUT /instances/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n{"

    async def scenario(address: Address) -> None:
        client = await RawClient.connect(address, head)
        assert await client.status() == 408

    run(lambda: RegistryService(tmp_path).app, scenario)


# --- the lease service ---


class LeaseFixture:
    """A lease service in a folder of its own."""

    def __init__(self, folder: Path) -> None:
        begin_history(folder, CONFIG)
        self.folder = folder
        self.service: LeaseService | None = None

    def app(self) -> web.Application:
        self.service = LeaseService(Journal(begin_term(self.folder)), CONFIG, SECRET, asyncio.Event())
        return self.service.app


def incomplete_frame(size_bytes: int) -> bytes:
    """Return a call with the beginning of a frame, of `size_bytes`, whose announced body is larger."""
    data = FRAME_HEADER.pack(2 * size_bytes, 0, bytes(32)) + bytes(size_bytes - FRAME_HEADER.size)
    return CHUNKED_CALL + chunk(data)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def test_incomplete_frames_are_bounded_over_all_streams(tmp_path: Path) -> None:
    # Guards against memory that grows with each sender of a large frame that never ends.
    fixture = LeaseFixture(tmp_path / "data")

    async def scenario(address: Address) -> None:
        budget = fixture.service.receive_budget
        budget.max_bytes = 250_000
        clients = [await RawClient.connect(address, incomplete_frame(100_000)) for _ in range(6)]
        ended = [asyncio.create_task(client.wait_closed()) for client in clients]
        while sum(task.done() for task in ended) < 4:
            assert budget.total_bytes <= budget.max_bytes
            await asyncio.sleep(0)
        while budget.total_bytes < 200_000:
            await asyncio.sleep(0)
        assert sum(task.done() for task in ended) == 4

    run(fixture.app, scenario)


def test_stream_of_a_verified_gateway_outlives_larger_ones_of_unknown_senders(tmp_path: Path) -> None:
    # Guards against unsigned calls that make the lease service end the streams of gateways.
    fixture = LeaseFixture(tmp_path / "data")

    async def scenario(address: Address) -> None:
        budget = fixture.service.receive_budget
        budget.max_bytes = 250_000
        gateway = await RawClient.connect(address, CHUNKED_CALL + chunk(encode_frame(SECRET, b"\xc0")))
        assert await gateway.status() == 200
        body = FRAME_HEADER.pack(300_000, 0, bytes(32)) + bytes(90_000)
        gateway.writer.write(chunk(body))
        while budget.total_bytes < len(body):
            await asyncio.sleep(0)
        unknown = [await RawClient.connect(address, incomplete_frame(100_000)) for _ in range(4)]
        ended = [asyncio.create_task(client.wait_closed()) for client in unknown]
        while sum(task.done() for task in ended) < 3:
            await asyncio.sleep(0)
        assert any(call.is_verified for call in budget.calls)

    run(fixture.app, scenario)


@pytest.mark.parametrize("data", [b"", struct.pack("!I", 9)])
def test_stream_without_a_complete_first_frame_is_ended(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, data: bytes
) -> None:
    # Guards against unknown senders that occupy all streams for ever.
    monkeypatch.setattr(receive_budget, "CALL_TIMEOUT_S", 0.1)
    fixture = LeaseFixture(tmp_path / "data")

    async def scenario(address: Address) -> None:
        client = await RawClient.connect(address, CHUNKED_CALL + (chunk(data) if data else b""))
        assert await client.status() == 403
        while fixture.service.stream_count:
            await asyncio.sleep(0)

    run(fixture.app, scenario)


def test_renewal_whose_body_stops_half_way_is_ended(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    # Guards against a renewal that waits for its rest without a time limit.
    monkeypatch.setattr(receive_budget, "CALL_TIMEOUT_S", 0.1)
    fixture = LeaseFixture(tmp_path / "data")
    head = b"POST /renew HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n{"

    async def scenario(address: Address) -> None:
        client = await RawClient.connect(address, head)
        assert await client.status() == 408
        assert fixture.service.receive_budget.total_bytes == 0

    run(fixture.app, scenario)
