"""Relays on real sockets: the effect of each fault of a link on connections and datagrams."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from tests.sockets import query, run
from thistletrail.fault_injection.endpoint_list_rewriter import EndpointListRewriter
from thistletrail.fault_injection.history import Writer, read
from thistletrail.fault_injection.relay import HOST, MAX_QUEUED_BYTES, Peers, Relay, Requests, State

QUIET_S = 0.15  # for which nothing may come: a verdict that a slow machine can only keep


class Echo:
    """A server that sends back what it gets, and remembers it."""

    def __init__(self) -> None:
        self.got, self.writers, self.resets = b"", [], 0

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while data := await reader.read(1 << 16):
                self.got += data
                writer.write(data)
            writer.close()
        except ConnectionError:
            self.resets += 1


@contextlib.asynccontextmanager
async def relayed(path: Path, kind: type[Relay] = Relay) -> AsyncIterator[tuple[Echo, Relay, State]]:
    echo, state, writer = Echo(), State(random.Random(1)), Writer(path)
    relay = kind("doors-servers", ("doors-0", "servers-0"), state, await echo.start(), writer)
    try:
        yield echo, relay, state
    finally:
        relay.close()
        echo.server.close()
        for one in echo.writers:
            one.close()


def change(state: State, kind: str, way: str = "both", size: float = 0.0) -> None:
    state.clear()
    if kind:
        state.apply(kind, way, size)
    state.notify()


async def quiet(reader: asyncio.StreamReader) -> bool:
    try:
        return not await asyncio.wait_for(reader.read(1), QUIET_S)
    except TimeoutError:
        return True


async def ended(reader: asyncio.StreamReader) -> bool:
    """Whether the connection ends, by a reset or not, with nothing more."""
    try:
        return await reader.read(1) == b""
    except ConnectionError:
        return True


def test_a_calm_link_passes_everything_on_and_both_ends(tmp_path: Path) -> None:
    async def act() -> None:
        async with relayed(tmp_path / "h") as (echo, relay, _):
            reader, writer = await asyncio.open_connection(*relay.address)
            sent = random.Random(2).randbytes(4 * MAX_QUEUED_BYTES)  # more than a relay keeps
            writer.write(sent)
            writer.write_eof()
            assert await reader.read(-1) == sent == echo.got
            writer.close()
        assert [record["kind"] for record in read(tmp_path / "h")] == ["open"]

    run(act())


def test_a_relay_refuses_at_its_address_and_takes_connections_again(tmp_path: Path) -> None:
    async def act() -> None:
        async with relayed(tmp_path / "h") as (_, relay, _):
            relay.refuse()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*relay.address)
            relay.open()
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            writer.close()

    run(act())


def test_a_cut_resets_what_is_open_and_what_comes(tmp_path: Path) -> None:
    async def act() -> None:
        async with relayed(tmp_path / "h") as (_, relay, state):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            change(state, "cut")
            assert await ended(reader)
            with contextlib.suppress(ConnectionResetError):  # the reset may be there before the loop looks
                other, _ = await asyncio.open_connection(*relay.address)
                assert await ended(other)
            change(state, "")
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"y")
            assert await reader.readexactly(1) == b"y"
            writer.close()

    run(act())


def test_a_cut_one_way_swallows_and_what_lost_bytes_does_not_go_on(tmp_path: Path) -> None:
    async def act() -> None:
        async with relayed(tmp_path / "h") as (echo, relay, state):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            change(state, "cut", "back")
            writer.write(b"yz")
            assert await quiet(reader) and echo.got == b"xyz"  # it arrived, and its answer did not
            change(state, "")
            assert await ended(reader)

    run(act())


@pytest.mark.parametrize("way", ["there", "back"])
def test_a_hold_is_silent_with_connections_open_and_loses_nothing(tmp_path: Path, way: str) -> None:
    async def act() -> None:
        async with relayed(tmp_path / "h") as (echo, relay, state):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"a")
            assert await reader.readexactly(1) == b"a"
            change(state, "hold", way)
            writer.write(b"bc")
            writer.write_eof()
            assert await quiet(reader)
            assert echo.got == (b"a" if way == "there" else b"abc")
            change(state, "")
            assert await reader.read(-1) == b"bc"
            writer.close()

    run(act())


def test_delay_limit_and_loss_only_take_time(tmp_path: Path) -> None:
    async def act() -> None:
        loop = asyncio.get_running_loop()
        async with relayed(tmp_path / "h") as (_, relay, state):
            reader, writer = await asyncio.open_connection(*relay.address)
            for kind, size, least_s in (("delay", 60.0, 0.12), ("limit", 10_000.0, 0.02), ("lose", 1.0, 0.4)):
                change(state, kind, size=size)
                began = loop.time()
                writer.write(b"x" * 100)
                assert await reader.readexactly(100) == b"x" * 100
                assert loop.time() - began >= least_s * 0.95  # there and back
            writer.close()

    run(act())


def test_a_break_cuts_in_the_middle_of_what_is_sent(tmp_path: Path) -> None:
    async def act() -> None:
        async with relayed(tmp_path / "h") as (echo, relay, state):
            change(state, "break", "there", 1.0)
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(b"0123456789")
            assert await ended(reader)
            while not echo.resets:
                await asyncio.sleep(0.01)
            assert echo.got in (b"", b"01234")  # a reset may take what was not read yet

    run(act())


def test_requests_are_noted_as_they_leave_a_door(tmp_path: Path) -> None:
    async def act() -> None:
        async with relayed(tmp_path / "h", Requests) as (_, relay, _):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(query("abc"))
            await reader.readexactly(10)
            writer.close()
        noted = [record for record in read(tmp_path / "h") if record["kind"] == "sent"]
        assert [(one["door"], one["server"], one["id"]) for one in noted] == [("doors-0", "servers-0", "abc")]

    run(act())


def test_the_list_names_each_server_at_the_doors_own_relay() -> None:
    def address_of(name: str, at: str) -> str:
        return {"s-1": "127.0.0.1:1111"}.get(name, at)

    entries = [
        {"instanceId": "s-1", "hostPort": "127.0.0.1:22", "lifecycle": "SERVING"},
        {"instanceId": "s-2", "hostPort": "127.0.0.1:33", "lifecycle": "DRAINING"},
    ]
    line = msgspec.json.encode({"generation": 7, "reset": True, "instances": entries}) + b"\n"
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n1\r\n\n\r\n0\r\n\r\n" % (
        len(line),
        line,
    )
    listing = EndpointListRewriter("doors-0", address_of)
    pieces = [piece for at in range(0, len(answer), 7) for piece in listing.feed(answer[at : at + 7])]
    data = b"".join(data for data, _ in pieces)
    assert b'"127.0.0.1:1111"' in data and b'"127.0.0.1:33"' in data and b":22" not in data
    assert data.endswith(b"1\r\n\n\r\n0\r\n\r\n")
    noted = [note for _, notes in pieces for note in notes]
    assert noted == [
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


class Ear(asyncio.DatagramProtocol):
    """A door's own socket."""

    def __init__(self) -> None:
        self.got: list[tuple[bytes, tuple[str, int]]] = []
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.got.append((data, address))


def test_peers_see_each_other_at_the_addresses_they_were_told(tmp_path: Path) -> None:
    async def act() -> None:
        loop, ears = asyncio.get_running_loop(), []
        for _ in range(3):
            _, ear = await loop.create_datagram_endpoint(Ear, local_addr=(HOST, 0))
            ears.append(ear)
        state, writer = State(random.Random(1)), Writer(tmp_path / "h")
        peers = Peers([ear.transport.get_extra_info("sockname") for ear in ears], lambda *_: state, writer)
        await peers.start()

        async def send(sender: int, receiver: int, *words: bytes, come: int | None = None) -> list[bytes]:
            for word in words:
                ears[sender].transport.sendto(word, peers.addresses_for(sender)[receiver])
            while len(ears[receiver].got) < (len(words) if come is None else come):
                await asyncio.sleep(0.01)
            await asyncio.sleep(QUIET_S)  # and no more
            seen, ears[receiver].got = ears[receiver].got, []
            assert {address for _, address in seen} <= {peers.addresses_for(receiver)[sender]}
            return [data for data, _ in seen]

        assert await send(0, 2, b"a", b"b") == [b"a", b"b"] and await send(2, 0, b"c") == [b"c"]
        change(state, "lose", "there", 1.0)  # from the lower number to the higher
        assert await send(0, 1, b"a", come=0) == [] and await send(1, 0, b"b") == [b"b"]
        change(state, "cut")
        assert await send(0, 1, b"a", come=0) == [] and await send(1, 0, b"b", come=0) == []
        change(state, "repeat", size=1.0)
        assert await send(0, 1, b"a", come=2) == [b"a", b"a"]
        change(state, "reorder", size=1.0)
        sent = [bytes([n]) for n in range(20)]
        came = await send(0, 1, *sent)
        assert sorted(came) == sent and came != sent
        change(state, "hold")
        assert await send(0, 1, b"held", come=0) == []
        change(state, "")
        assert await send(0, 1, come=1) == [b"held"]
        ears[0].transport.sendto(b"x", peers.addresses_for(1)[2])  # not from door 1: nobody of the fleet
        assert await send(0, 2) == []
        peers.record_counts()
        counts = {}
        for record in read(tmp_path / "h"):
            counts[record["fate"]] = counts.get(record["fate"], 0) + record["count"]
        assert counts == {"passed": 26, "lost": 3}
        peers.close()
        for ear in ears:
            ear.transport.close()

    run(act())
