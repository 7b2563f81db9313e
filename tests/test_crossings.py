"""Moments in which something is owed while something else happens, each forced by a hook or a stand-in."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from dataclasses import replace

import pytest

from tests.sockets import (
    CONFIG,
    HEAD,
    PATIENT,
    PATIENT_MS,
    Backend,
    Client,
    Watch,
    catalog,
    chunk,
    entry,
    query,
    resp,
    run,
    running_gateway,
    submit,
    value,
)
from thistletrail.gateway import backends, clients, graceful_shutdown
from thistletrail.gateway.backends import now_us
from thistletrail.gateway.clients import State
from thistletrail.gateway.config import Address
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.events import AttemptEnded


@contextlib.contextmanager
def raw_client(address: Address) -> Iterator[socket.socket]:
    """A client whose calls do not let the gateway's loop run."""
    with socket.create_connection(address) as client:
        client.settimeout(10)
        yield client


async def received(client: socket.socket) -> bytes:
    """All that comes up to the end of the connection; a reset is an error."""
    found = bytearray()
    while data := await asyncio.to_thread(client.recv, 1 << 16):
        found += data
    return bytes(found)


def connection_of(gateway: GatewayServer, client: socket.socket) -> clients.ClientConnection:
    (found,) = [
        one
        for one in gateway.clients.connections
        if one.transport.get_extra_info("peername") == client.getsockname()
    ]
    return found


async def fill(gateway: GatewayServer, client: socket.socket, backend: Backend) -> None:
    """Have as many commands of a client open as may be, so that nothing more is read from it."""
    for number in range(clients.MAX_PIPELINED + 4):
        client.sendall(submit(f"a{number}", wait_ms=PATIENT_MS))
    await backend.received(5)
    while len(gateway.exchanges.unanswered) < clients.MAX_PIPELINED:
        await asyncio.sleep(0.001)


def test_request_that_crosses_a_close_resets_nothing_and_is_not_consumed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer before it may not have reached the client yet, and a reset would take that back."""
    monkeypatch.setattr(graceful_shutdown, "SETTLE_S", 0.0)

    async def job() -> None:
        backend = Backend()
        async with running_gateway(backend) as (gateway, address):
            with raw_client(address) as client:
                client.sendall(query("first"))
                await backend.received(1)
                while not gateway.costs.served:
                    await asyncio.sleep(0.001)
                unread, connection = clients.has_unread, connection_of(gateway, client)

                def crossing(transport: asyncio.Transport) -> bool:
                    found = unread(transport)
                    if transport is connection.transport:
                        client.sendall(query("second"))
                    return found

                monkeypatch.setattr(clients, "has_unread", crossing)
                draining = asyncio.create_task(gateway.drain())
                assert await received(client) == b"$2\r\nok\r\n"
                await draining
            assert [words[2] for words in backend.commands] == [b"first"]

    run(job())


def test_end_of_a_drain_leaves_clients_their_time_to_read_the_last_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection that was closed just before the drain looks whether all is over is not reset."""
    monkeypatch.setattr(graceful_shutdown, "SETTLE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "LAST_WRITES_S", 0.02)

    async def job() -> None:
        async with running_gateway(Backend()) as (gateway, address):
            with raw_client(address) as client:
                client.sendall(query("a1"))
                while not gateway.costs.served:
                    await asyncio.sleep(0.001)
                connection = connection_of(gateway, client)
                await gateway.drain()
                assert connection.state is State.CLOSING
                assert now_us() - connection.state_since_us >= clients.LINGER_TIMEOUT_US

    run(job())


@pytest.mark.parametrize("is_new", [False, True])
def test_command_that_comes_slowly_through_a_drain_is_answered(
    is_new: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its first part is read: whoever closes now has half consumed it."""
    monkeypatch.setattr(graceful_shutdown, "SETTLE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "LAST_WRITES_S", 0.05)

    async def job() -> None:
        async with running_gateway(Backend()) as (gateway, address):
            slow = await Client.open(address)
            if not is_new:
                assert await slow.ask(resp("PING")) == b"PONG"
            slow.send(query("a1")[:40])
            while not any(one.reader.buffer for one in gateway.clients.connections):
                await asyncio.sleep(0.001)
            looked = asyncio.Event()
            left = gateway.clients.wait_closed

            async def twice(within_s: float) -> bool:
                result = await left(within_s)
                looked.set()
                return result

            monkeypatch.setattr(gateway.clients, "wait_closed", twice)
            draining = asyncio.create_task(gateway.drain())
            await looked.wait()
            looked.clear()
            await looked.wait()
            slow.send(query("a1")[40:])
            assert await slow.answer() == b"ok"
            assert await slow.ended()
            await draining

    run(job())


def test_connection_that_waits_to_be_accepted_at_the_end_of_a_drain_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "SETTLE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "LAST_WRITES_S", 0.05)

    async def job() -> None:
        async with running_gateway(Backend()) as (gateway, address):
            gateway.loop.remove_reader(gateway.clients.listener)  # as after a failure to accept
            with raw_client(address) as client:
                client.sendall(query("a1"))
                draining = asyncio.create_task(gateway.drain())
                assert await received(client) == b"$2\r\nok\r\n"
                await draining

    run(job())


def test_client_that_leaves_while_nothing_is_read_has_nothing_more_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """As many of its commands are open as may be, so that the loop hears neither of bytes nor of an end."""
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 60.0)

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with running_gateway(backend, settings=PATIENT) as (gateway, address):
            with raw_client(address) as client:
                await fill(gateway, client, backend)
                client.shutdown(socket.SHUT_RDWR)
            out = list(zip(backend.commands, backend.writers, strict=True))
            for words, writer in out:
                if words[2] != b"a0":  # whose answer is the first: none is written, which would tell the loop
                    writer.write(value(b"ok"))
            while len(gateway.policy.requests_by_id) > 1:
                await asyncio.sleep(0.001)
            assert len(backend.commands) == len(out)
            for writer in backend.writers:
                writer.write(value(b"ok"))
            view = gateway.policy
            while gateway.exchanges.answered_in_flight or view.requests_by_id or view.queue:
                await asyncio.sleep(0.001)
            assert view.overload.in_flight == 0

    run(job())


def test_sweep_ends_a_client_that_has_left_while_nothing_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with running_gateway(backend, settings=PATIENT) as (gateway, address):
            with raw_client(address) as client:
                await fill(gateway, client, backend)
            while gateway.exchanges.unanswered or gateway.clients.sockets or gateway.policy.requests_by_id:
                await asyncio.sleep(0.001)
            assert gateway.costs.gone == clients.MAX_PIPELINED

    run(job())


def test_nothing_of_a_client_that_has_left_is_written_where_attempts_are_not_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It leaves while its attempt connects; the module has no way to take an attempt back."""
    connect, left = backends.Pool.connect, asyncio.Event()

    async def late(pool: backends.Pool, connection: backends.Connection) -> None:
        await left.wait()
        await connect(pool, connection)

    monkeypatch.setattr(backends.Pool, "connect", late)

    async def job() -> None:
        backend = Backend()
        async with running_gateway(backend, settings=replace(PATIENT, may_cancel=False)) as (
            gateway,
            address,
        ):
            client = await Client.open(address)
            client.send(submit("a1", wait_ms=PATIENT_MS))
            while not gateway.costs.handshakes:
                await asyncio.sleep(0.001)
            client.writer.close()
            while gateway.exchanges.unanswered:
                await asyncio.sleep(0.001)
            left.set()
            other = await Client.open(address)
            assert await other.ask(submit("b1", wait_ms=PATIENT_MS)) == b"ok"
            assert [words[2] for words in backend.commands] == [b"b1"]
            while gateway.exchanges.answered_in_flight or gateway.policy.requests_by_id:
                await asyncio.sleep(0.001)

    run(job())


def test_client_that_leaves_as_its_attempt_fails_leaves_nothing_behind() -> None:
    """The module hears of the failure first and begins a further attempt, whose number has to be known when
    its outcome is told: one that stays open in the module for good would take the place of others."""

    async def job() -> None:
        fleet = [Backend(lambda words: b"") for _ in range(2)]
        async with running_gateway(*fleet, settings=PATIENT) as (gateway, address):
            post = gateway.driver.post

            def crossing(event: object) -> None:
                post(event)
                if isinstance(event, AttemptEnded) and event.id in gateway.exchanges.unanswered:
                    gateway.exchanges.on_client_disconnected(gateway.exchanges.unanswered[event.id].reply)

            gateway.driver.post = crossing
            client = await Client.open(address)
            client.send(query("a1", wait_ms=PATIENT_MS))
            view = gateway.policy
            while not gateway.costs.gone or gateway.driver.pending_events:
                await asyncio.sleep(0.001)
            while gateway.exchanges.answered_in_flight or view.requests_by_id:
                await asyncio.sleep(0.001)
            assert view.overload.in_flight == 0 and not any(
                server.in_flight for server in view.servers_by_name.values()
            )
            assert all(customer.in_flight == 0 for customer in view.customers.by_key.values())

    run(job())


def test_repeat_that_connects_past_the_window_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was decided on within the window, in which what it repeats is known."""
    connect, window_s, connects = backends.Pool.connect, 2.0, iter(range(2))

    async def slow(pool: backends.Pool, connection: backends.Connection) -> None:
        if next(connects):  # the first one is at once
            await asyncio.sleep(window_s + 0.1)
        await connect(pool, connection)

    monkeypatch.setattr(backends.Pool, "connect", slow)
    keyed = replace(PATIENT.classes[1], idempotency_window_us=round(window_s * 1e6))
    settings = replace(PATIENT, classes=(PATIENT.classes[0], keyed, PATIENT.classes[2]))

    async def job() -> None:
        fleet = [Backend(lambda words: b"-ERR failed\r\n") for _ in range(2)]
        async with running_gateway(*fleet, settings=settings) as (gateway, address):
            client = await Client.open(address)
            assert await client.ask(submit("a1", "book", wait_ms=PATIENT_MS)) == "-ERR failed"
            assert gateway.costs.attempts == 2 and sum(len(one.commands) for one in fleet) == 1

    run(job())


def test_place_is_taken_from_whoever_has_nothing_unread() -> None:
    """A client that rested for longest has just sent a request, which nobody has read."""

    async def job() -> None:
        async with running_gateway(Backend()) as (gateway, address):
            with raw_client(address) as asks, raw_client(address) as rests:
                for number, client in enumerate((asks, rests)):
                    client.sendall(query(f"a{number}"))
                    while gateway.costs.served <= number:
                        await asyncio.sleep(0.001)
                    assert client.recv(100) == b"$2\r\nok\r\n"
                for connection in gateway.clients.connections:
                    connection.state_since_us -= 2 * clients.MIN_IDLE_US
                asks.sendall(query("a2"))
                assert gateway.clients.make_room()
                assert await received(rests) == b""
                assert await asyncio.to_thread(asks.recv, 100) == b"$2\r\nok\r\n"

    run(job())


def test_word_to_one_that_is_turned_away_is_not_taken_back_by_a_reset() -> None:
    async def job() -> None:
        async with running_gateway(Backend()) as (gateway, address):
            gateway.clients.max_sockets = 0
            with raw_client(address) as client:
                client.sendall(query("a1"))  # is there before anybody accepts
                assert await received(client) == clients.TOO_MANY_CLIENTS_RESPONSE
            assert gateway.costs.turned_away == 1

    run(job())


def test_small_writes_are_held_back_nowhere() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with running_gateway(backend) as (gateway, address):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.came.wait()
            (pool,) = gateway.backends.pools.values()
            ours = [one.transport for one in (*pool.connections, *gateway.clients.connections)]
            ours.append(gateway.discovery.watcher.connection.transport)
            for transport in ours:
                wire = transport.get_extra_info("socket")
                assert wire.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1

    run(job())


def test_idle_clients_that_fill_the_descriptors_leave_room_for_discovery_and_scan_servers() -> None:
    """They come while discovery is silent; what it brings at its return is heard, and served by."""

    async def job() -> None:
        backend, back = Backend(), asyncio.Event()
        listed = catalog(7, [entry("s0", await backend.start())])

        async def silent(writer: asyncio.StreamWriter) -> None:
            await back.wait()
            writer.write(HEAD + chunk(listed))
            await asyncio.Event().wait()

        watch = Watch(silent)
        config = replace(CONFIG, settings=PATIENT, sockets=48, discovery=(await watch.start(),))
        gateway = GatewayServer(config)
        await gateway.start()
        idle = [await Client.open(gateway.address) for _ in range(3 * gateway.clients.max_sockets)]
        asks = await Client.open(gateway.address)
        asks.send(query("a1", wait_ms=PATIENT_MS))
        while "a1" not in gateway.exchanges.unanswered:
            await asyncio.sleep(0.001)
        assert gateway.clients.sockets <= gateway.clients.max_sockets
        back.set()
        assert await asks.answer() == b"ok"
        assert len(watch.targets) == 1 and len(idle) > gateway.clients.max_sockets
        gateway.close()

    run(job())
