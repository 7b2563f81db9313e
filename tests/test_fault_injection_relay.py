"""Relays on real sockets: the effect of each fault of a link on connections and datagrams."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from tests.sockets import query_command, run_scenario
from thistletrail.fault_injection.endpoint_list_rewriter import EndpointListRewriter
from thistletrail.fault_injection.history import Writer, read
from thistletrail.fault_injection.relay import (
    HOST,
    MAX_QUEUED_BYTES,
    LinkState,
    PeerRelays,
    Relay,
    RequestRelay,
)

SILENCE_S = 0.15  # no data may arrive within this time; a slow machine cannot cause a false failure


class EchoServer:
    """A server that sends back and stores what it receives, and counts the connections that were reset."""

    def __init__(self) -> None:
        self.received, self.writers, self.reset_count = b"", [], 0

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while data := await reader.read(1 << 16):
                self.received += data
                writer.write(data)
            writer.close()
        except ConnectionError:
            self.reset_count += 1


@contextlib.asynccontextmanager
async def relayed_echo(
    path: Path, relay_class: type[Relay] = Relay
) -> AsyncIterator[tuple[EchoServer, Relay, LinkState]]:
    """Run an echo server and a relay to it; `path` is the file of the history."""
    echo, state, writer = EchoServer(), LinkState(random.Random(1)), Writer(path)
    relay = relay_class("doors-servers", ("doors-0", "servers-0"), state, await echo.start(), writer)
    try:
        yield echo, relay, state
    finally:
        relay.close()
        echo.server.close()
        for echo_writer in echo.writers:
            echo_writer.close()


def set_fault(state: LinkState, kind: str, way: str = "both", size: float = 0.0) -> None:
    """Replace the faults of a link by one, or by none if `kind` is empty."""
    state.clear()
    if kind:
        state.apply(kind, way, size)
    state.notify()


async def is_silent(reader: asyncio.StreamReader) -> bool:
    """Return whether no data arrive within `SILENCE_S`."""
    try:
        return not await asyncio.wait_for(reader.read(1), SILENCE_S)
    except TimeoutError:
        return True


async def has_ended(reader: asyncio.StreamReader) -> bool:
    """Wait for data, EOF or a reset; return whether the connection ends without further data."""
    try:
        return await reader.read(1) == b""
    except ConnectionError:
        return True


def test_link_without_fault_forwards_all_data_and_eof_in_both_directions(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with relayed_echo(tmp_path / "h") as (echo, relay, _):
            reader, writer = await asyncio.open_connection(*relay.address)
            sent = random.Random(2).randbytes(4 * MAX_QUEUED_BYTES)  # more than a relay queues
            writer.write(sent)
            writer.write_eof()
            assert await reader.read(-1) == sent == echo.received
            writer.close()
        assert [record["kind"] for record in read(tmp_path / "h")] == ["open"]

    run_scenario(scenario())


def test_relay_refuses_connections_and_accepts_them_again_at_the_same_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with relayed_echo(tmp_path / "h") as (_, relay, _):
            relay.refuse()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*relay.address)
            relay.open()
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            writer.close()

    run_scenario(scenario())


def test_cut_resets_open_and_new_connections_until_it_is_removed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with relayed_echo(tmp_path / "h") as (_, relay, state):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            set_fault(state, "cut")
            assert await has_ended(reader)
            # The reset may arrive before the connection is returned.
            with contextlib.suppress(ConnectionResetError):
                other, _ = await asyncio.open_connection(*relay.address)
                assert await has_ended(other)
            set_fault(state, "")
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"y")
            assert await reader.readexactly(1) == b"y"
            writer.close()

    run_scenario(scenario())


def test_cut_in_one_direction_drops_data_and_the_connection_ends_after_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with relayed_echo(tmp_path / "h") as (echo, relay, state):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            set_fault(state, "cut", "back")
            writer.write(b"yz")
            # The data arrive, and their echo does not.
            assert await is_silent(reader) and echo.received == b"xyz"
            set_fault(state, "")
            assert await has_ended(reader)

    run_scenario(scenario())


@pytest.mark.parametrize("way", ["there", "back"])
def test_hold_delays_data_without_loss_or_a_closed_connection(tmp_path: Path, way: str) -> None:
    async def scenario() -> None:
        async with relayed_echo(tmp_path / "h") as (echo, relay, state):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"a")
            assert await reader.readexactly(1) == b"a"
            set_fault(state, "hold", way)
            writer.write(b"bc")
            writer.write_eof()
            assert await is_silent(reader)
            assert echo.received == (b"a" if way == "there" else b"abc")
            set_fault(state, "")
            assert await reader.read(-1) == b"bc"
            writer.close()

    run_scenario(scenario())


def test_delay_limit_and_loss_delay_data_without_loss(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with relayed_echo(tmp_path / "h") as (_, relay, state):
            reader, writer = await asyncio.open_connection(*relay.address)
            for kind, size, min_round_trip_s in (
                ("delay", 60.0, 0.12),
                ("limit", 10_000.0, 0.02),
                ("lose", 1.0, 0.4),
            ):
                set_fault(state, kind, size=size)
                start_s = loop.time()
                writer.write(b"x" * 100)
                assert await reader.readexactly(100) == b"x" * 100
                assert loop.time() - start_s >= min_round_trip_s * 0.95
            writer.close()

    run_scenario(scenario())


def test_break_truncates_a_chunk_and_resets_the_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with relayed_echo(tmp_path / "h") as (echo, relay, state):
            set_fault(state, "break", "there", 1.0)
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"0123456789")
            assert await has_ended(reader)
            while not echo.reset_count:
                await asyncio.sleep(0.01)
            assert echo.received in (b"", b"01234")  # a reset may drop data that were not read yet

    run_scenario(scenario())


def test_requests_from_a_gateway_to_a_scan_server_are_recorded(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with relayed_echo(tmp_path / "h", RequestRelay) as (_, relay, _):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(query_command("abc"))
            await reader.readexactly(10)
            writer.close()
        sent = [record for record in read(tmp_path / "h") if record["kind"] == "sent"]
        assert [(record["door"], record["server"], record["id"]) for record in sent] == [
            ("doors-0", "servers-0", "abc")
        ]

    run_scenario(scenario())


def test_endpoint_list_has_the_addresses_of_the_gateways_relays_and_is_recorded() -> None:
    def address_of(name: str, listen_address: str) -> str:
        return {"s-1": "127.0.0.1:1111"}.get(name, listen_address)

    entries = [
        {"instanceId": "s-1", "hostPort": "127.0.0.1:22", "lifecycle": "SERVING"},
        {"instanceId": "s-2", "hostPort": "127.0.0.1:33", "lifecycle": "DRAINING"},
    ]
    line = msgspec.json.encode({"generation": 7, "reset": True, "instances": entries}) + b"\n"
    response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n1\r\n\n\r\n0\r\n\r\n" % (
        len(line),
        line,
    )
    rewriter = EndpointListRewriter("doors-0", address_of)
    chunks = [
        chunk
        for offset in range(0, len(response), 7)
        for chunk in rewriter.feed(response[offset : offset + 7])
    ]
    data = b"".join(data for data, _ in chunks)
    assert b'"127.0.0.1:1111"' in data and b'"127.0.0.1:33"' in data and b":22" not in data
    assert data.endswith(b"1\r\n\n\r\n0\r\n\r\n")
    recorded = [record for _, records in chunks for record in records]
    assert recorded == [
        {
            "kind": "told",
            "door": "doors-0",
            "generation": 7,
            "whole": True,
            "servers": {"s-1": "SERVING", "s-2": "DRAINING"},
        }
    ]
    with pytest.raises(ValueError):
        EndpointListRewriter("doors-0", address_of).feed(b"nonsense\r\n\r\n")


class GatewaySocket(asyncio.DatagramProtocol):
    """A gateway's own socket, which stores the datagrams that it receives."""

    def __init__(self) -> None:
        self.received: list[tuple[bytes, tuple[str, int]]] = []
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.received.append((data, address))


def test_datagrams_arrive_from_the_peers_address_with_the_faults_of_the_link(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop, gateways = asyncio.get_running_loop(), []
        for _ in range(3):
            _, gateway = await loop.create_datagram_endpoint(GatewaySocket, local_addr=(HOST, 0))
            gateways.append(gateway)
        state, writer = LinkState(random.Random(1)), Writer(tmp_path / "h")
        peers = PeerRelays(
            [gateway.transport.get_extra_info("sockname") for gateway in gateways], lambda *_: state, writer
        )
        await peers.start()

        async def send(
            sender: int, receiver: int, *datagrams: bytes, expected_count: int | None = None
        ) -> list[bytes]:
            for datagram in datagrams:
                gateways[sender].transport.sendto(datagram, peers.addresses_for(sender)[receiver])
            count = len(datagrams) if expected_count is None else expected_count
            while len(gateways[receiver].received) < count:
                await asyncio.sleep(0.01)
            await asyncio.sleep(SILENCE_S)  # no further one may arrive
            received, gateways[receiver].received = gateways[receiver].received, []
            assert {address for _, address in received} <= {peers.addresses_for(receiver)[sender]}
            return [data for data, _ in received]

        assert await send(0, 2, b"a", b"b") == [b"a", b"b"] and await send(2, 0, b"c") == [b"c"]
        set_fault(state, "lose", "there", 1.0)  # from the lower gateway number to the higher
        assert await send(0, 1, b"a", expected_count=0) == [] and await send(1, 0, b"b") == [b"b"]
        set_fault(state, "cut")
        assert await send(0, 1, b"a", expected_count=0) == []
        assert await send(1, 0, b"b", expected_count=0) == []
        set_fault(state, "repeat", size=1.0)
        assert await send(0, 1, b"a", expected_count=2) == [b"a", b"a"]
        set_fault(state, "reorder", size=1.0)
        sent = [bytes([n]) for n in range(20)]
        received = await send(0, 1, *sent)
        assert sorted(received) == sent and received != sent
        set_fault(state, "hold")
        assert await send(0, 1, b"held", expected_count=0) == []
        set_fault(state, "")
        assert await send(0, 1, expected_count=1) == [b"held"]
        # This address is gateway 1's for gateway 2: datagrams from gateway 0 are not forwarded.
        gateways[0].transport.sendto(b"x", peers.addresses_for(1)[2])
        assert await send(0, 2) == []
        peers.record_counts()
        counts = {}
        for record in read(tmp_path / "h"):
            counts[record["fate"]] = counts.get(record["fate"], 0) + record["count"]
        assert counts == {"passed": 26, "lost": 3}
        peers.close()
        for gateway in gateways:
            gateway.transport.close()

    run_scenario(scenario())
