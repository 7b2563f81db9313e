"""Races between an unanswered request and another event, each forced by a hook or a stub."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from dataclasses import replace

import pytest

from tests.sockets import (
    CHUNKED_RESPONSE_HEAD,
    CONFIG,
    LONG_TIMEOUT_MS,
    LONG_TIMEOUT_SETTINGS,
    SETTINGS,
    RespClient,
    ResponseFunction,
    StubDiscovery,
    StubScanServer,
    encode_command,
    endpoint_entry,
    http_chunk,
    query_command,
    refusing_address,
    run_scenario,
    running_gateway,
    submit_command,
    value_response,
    watch_event,
)
from thistletrail.gateway import backends, client_connection, clients, graceful_shutdown
from thistletrail.gateway.backends import now_us
from thistletrail.gateway.client_connection import State
from thistletrail.gateway.config import Address
from thistletrail.gateway.recent_request_ids import RETENTION_US, RecentRequestIds
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.events import AttemptEnded
from thistletrail.policy.overload_control import IN_FLIGHT_PER_SERVER


@contextlib.contextmanager
def raw_client(address: Address) -> Iterator[socket.socket]:
    """Yield a client's blocking socket; the gateway's event loop does not run during its calls."""
    with socket.create_connection(address) as client:
        client.settimeout(10)
        yield client


async def received(client: socket.socket) -> bytes:
    """Return all bytes up to the end of the connection; a reset raises ConnectionResetError."""
    data_received = bytearray()
    while data := await asyncio.to_thread(client.recv, 1 << 16):
        data_received += data
    return bytes(data_received)


def connection_of(gateway: GatewayServer, client: socket.socket) -> client_connection.ClientConnection:
    """Return the gateway's side of a client's connection."""
    (connection,) = [
        connection
        for connection in gateway.clients.connections
        if connection.transport.get_extra_info("peername") == client.getsockname()
    ]
    return connection


def enough_scan_servers(respond: ResponseFunction) -> list[StubScanServer]:
    """Return so many scan servers that no request of a full pipeline is queued, and none is rejected."""
    count = client_connection.MAX_PIPELINED // IN_FLIGHT_PER_SERVER + 1
    return [StubScanServer(respond) for _ in range(count)]


async def fill_pipeline(gateway: GatewayServer, client: socket.socket) -> None:
    """Send more commands than a connection may have in flight, so that the gateway stops reading from it."""
    for number in range(client_connection.MAX_PIPELINED + 4):
        client.sendall(submit_command(f"a{number}", wait_ms=LONG_TIMEOUT_MS))
    while not gateway.clients.connections:
        await asyncio.sleep(0.001)
    # The policy may soon reject the last of the queued ones; its answer waits behind the others.
    while len(connection_of(gateway, client).replies) < client_connection.MAX_PIPELINED:
        await asyncio.sleep(0.001)


def test_request_sent_while_its_connection_closes_is_not_consumed_and_causes_no_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A reset would discard the previous answer if it has not reached the client yet."""
    monkeypatch.setattr(graceful_shutdown, "NEW_CONNECTION_GRACE_S", 0.0)

    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(scan_server) as (gateway, address):
            with raw_client(address) as client:
                client.sendall(query_command("first"))
                await scan_server.wait_for_commands(1)
                while not gateway.costs.served:
                    await asyncio.sleep(0.001)
                has_unread = client_connection.has_unread
                connection = connection_of(gateway, client)

                def send_after_check(transport: asyncio.Transport) -> bool:
                    result = has_unread(transport)
                    if transport is connection.transport:
                        client.sendall(query_command("second"))
                    return result

                monkeypatch.setattr(client_connection, "has_unread", send_after_check)
                draining = asyncio.create_task(gateway.drain())
                assert await received(client) == b"$2\r\nok\r\n"
                await draining
            assert [arguments[2] for arguments in scan_server.commands] == [b"first"]

    run_scenario(scenario())


def test_drain_waits_until_clients_have_had_time_to_read_their_last_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection that was closed just before the drain checks whether all are done is not reset."""
    monkeypatch.setattr(graceful_shutdown, "NEW_CONNECTION_GRACE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "CLIENT_CLOSE_GRACE_S", 0.02)

    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            with raw_client(address) as client:
                client.sendall(query_command("a1"))
                while not gateway.costs.served:
                    await asyncio.sleep(0.001)
                connection = connection_of(gateway, client)
                await gateway.drain()
                assert connection.state is State.CLOSING
                assert now_us() - connection.state_since_us >= client_connection.LINGER_TIMEOUT_US

    run_scenario(scenario())


@pytest.mark.parametrize("is_new", [False, True])
def test_command_completed_during_a_drain_is_answered(is_new: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """The gateway has consumed the beginning of the command, so it must not close the connection."""
    monkeypatch.setattr(graceful_shutdown, "NEW_CONNECTION_GRACE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "CLIENT_CLOSE_GRACE_S", 0.05)

    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            slow = await RespClient.connect(address)
            if not is_new:
                assert await slow.request(encode_command("PING")) == b"PONG"
            slow.send(query_command("a1")[:40])
            while not any(connection.reader.buffer for connection in gateway.clients.connections):
                await asyncio.sleep(0.001)
            checked = asyncio.Event()
            wait_closed = gateway.clients.wait_closed

            async def wait_and_signal(timeout_s: float) -> bool:
                result = await wait_closed(timeout_s)
                checked.set()
                return result

            monkeypatch.setattr(gateway.clients, "wait_closed", wait_and_signal)
            draining = asyncio.create_task(gateway.drain())
            await checked.wait()
            checked.clear()
            await checked.wait()
            slow.send(query_command("a1")[40:])
            assert await slow.read_reply() == b"ok"
            assert await slow.closed_without_reply()
            await draining

    run_scenario(scenario())


def test_connection_in_the_backlog_at_the_end_of_a_drain_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "NEW_CONNECTION_GRACE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "CLIENT_CLOSE_GRACE_S", 0.05)

    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            gateway.loop.remove_reader(gateway.clients.listener)  # as after a failure to accept
            with raw_client(address) as client:
                client.sendall(query_command("a1"))
                draining = asyncio.create_task(gateway.drain())
                assert await received(client) == b"$2\r\nok\r\n"
                await draining

    run_scenario(scenario())


def test_client_that_disconnects_while_reading_is_paused_has_nothing_more_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With the maximum of requests in flight, the loop does not report received bytes or a closed socket."""
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 60.0)

    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server, settings=LONG_TIMEOUT_SETTINGS) as (gateway, address):
            with raw_client(address) as client:
                await fill_pipeline(gateway, client)
                await scan_server.wait_for_commands(5)
                client.shutdown(socket.SHUT_RDWR)
            forwarded = list(zip(scan_server.commands, scan_server.writers, strict=True))
            for arguments, writer in forwarded:
                # Later ones wait for that to a0: a write to the client would let the loop detect the close.
                if arguments[2] != b"a0":
                    writer.write(value_response(b"ok"))
            while len(gateway.policy.requests_by_id) > 1:
                await asyncio.sleep(0.001)
            assert len(scan_server.commands) == len(forwarded)
            for writer in scan_server.writers:
                writer.write(value_response(b"ok"))
            policy = gateway.policy
            while gateway.exchanges.answered_in_flight or policy.requests_by_id or policy.queue:
                await asyncio.sleep(0.001)
            assert policy.overload.in_flight == 0

    run_scenario(scenario())


def test_sweep_ends_the_requests_of_a_client_that_disconnected_while_reading_is_paused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        scan_servers = enough_scan_servers(lambda arguments: None)
        async with running_gateway(*scan_servers, settings=LONG_TIMEOUT_SETTINGS) as (gateway, address):
            with raw_client(address) as client:
                await fill_pipeline(gateway, client)
            while gateway.exchanges.unanswered or gateway.clients.sockets or gateway.policy.requests_by_id:
                await asyncio.sleep(0.001)
            assert gateway.costs.gone == client_connection.MAX_PIPELINED

    run_scenario(scenario())


def test_disconnected_client_has_nothing_written_although_attempts_are_not_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects while its attempt connects, and the policy may not cancel attempts."""
    connect = backends.Pool.connect
    client_disconnected = asyncio.Event()

    async def connect_late(pool: backends.Pool, connection: backends.Connection) -> None:
        await client_disconnected.wait()
        await connect(pool, connection)

    monkeypatch.setattr(backends.Pool, "connect", connect_late)

    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(
            scan_server, settings=replace(LONG_TIMEOUT_SETTINGS, may_cancel=False)
        ) as (
            gateway,
            address,
        ):
            client = await RespClient.connect(address)
            client.send(submit_command("a1", wait_ms=LONG_TIMEOUT_MS))
            while not gateway.costs.handshakes:
                await asyncio.sleep(0.001)
            client.writer.close()
            while gateway.exchanges.unanswered:
                await asyncio.sleep(0.001)
            client_disconnected.set()
            other = await RespClient.connect(address)
            assert await other.request(submit_command("b1", wait_ms=LONG_TIMEOUT_MS)) == b"ok"
            assert [arguments[2] for arguments in scan_server.commands] == [b"b1"]
            while gateway.exchanges.answered_in_flight or gateway.policy.requests_by_id:
                await asyncio.sleep(0.001)

    run_scenario(scenario())


def test_client_that_disconnects_as_its_attempt_fails_leaves_no_request_in_flight() -> None:
    """The policy handles the failure first and starts a further attempt, whose outcome needs its number.

    Without the outcome the request would stay in flight in the policy for ever and use up its capacity.
    """

    async def scenario() -> None:
        scan_servers = [StubScanServer(lambda arguments: b"") for _ in range(2)]
        async with running_gateway(*scan_servers, settings=LONG_TIMEOUT_SETTINGS) as (gateway, address):
            post = gateway.driver.post

            def post_and_disconnect(event: object) -> None:
                post(event)
                if isinstance(event, AttemptEnded) and event.id in gateway.exchanges.unanswered:
                    gateway.exchanges.on_client_disconnected(gateway.exchanges.unanswered[event.id].reply)

            gateway.driver.post = post_and_disconnect
            client = await RespClient.connect(address)
            client.send(query_command("a1", wait_ms=LONG_TIMEOUT_MS))
            policy = gateway.policy
            while not gateway.costs.gone or gateway.driver.pending_events:
                await asyncio.sleep(0.001)
            while gateway.exchanges.answered_in_flight or policy.requests_by_id:
                await asyncio.sleep(0.001)
            assert policy.overload.in_flight == 0 and not any(
                server.in_flight for server in policy.servers_by_name.values()
            )
            assert all(customer.in_flight == 0 for customer in policy.customers.by_key.values())

    run_scenario(scenario())


def test_retry_that_connects_after_the_idempotency_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The policy started the retry within the window, in which scan servers still recognize the key."""
    connect = backends.Pool.connect
    window_s = 2.0
    connect_numbers = iter(range(2))

    async def connect_second_late(pool: backends.Pool, connection: backends.Connection) -> None:
        if next(connect_numbers):  # the first one connects at once
            await asyncio.sleep(window_s + 0.1)
        await connect(pool, connection)

    monkeypatch.setattr(backends.Pool, "connect", connect_second_late)
    keyed = replace(LONG_TIMEOUT_SETTINGS.classes[1], idempotency_window_us=round(window_s * 1e6))
    settings = replace(
        LONG_TIMEOUT_SETTINGS,
        classes=(LONG_TIMEOUT_SETTINGS.classes[0], keyed, LONG_TIMEOUT_SETTINGS.classes[2]),
    )

    async def scenario() -> None:
        scan_servers = [StubScanServer(lambda arguments: b"-ERR failed\r\n") for _ in range(2)]
        async with running_gateway(*scan_servers, settings=settings) as (gateway, address):
            client = await RespClient.connect(address)
            assert (
                await client.request(submit_command("a1", "book", wait_ms=LONG_TIMEOUT_MS)) == "-ERR failed"
            )
            assert (
                gateway.costs.attempts == 2
                and sum(len(scan_server.commands) for scan_server in scan_servers) == 1
            )

    run_scenario(scenario())


def test_evicted_connection_is_one_without_unread_bytes() -> None:
    """The client that was idle longest has just sent a request, which the gateway has not read yet."""

    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            with raw_client(address) as requesting, raw_client(address) as idle:
                for number, client in enumerate((requesting, idle)):
                    client.sendall(query_command(f"a{number}"))
                    while gateway.costs.served <= number:
                        await asyncio.sleep(0.001)
                    assert client.recv(100) == b"$2\r\nok\r\n"
                for connection in gateway.clients.connections:
                    connection.state_since_us -= 2 * clients.MIN_IDLE_US
                requesting.sendall(query_command("a2"))
                assert gateway.clients.make_room()
                assert await received(idle) == b""
                assert await asyncio.to_thread(requesting.recv, 100) == b"$2\r\nok\r\n"

    run_scenario(scenario())


def test_error_to_a_rejected_connection_is_not_discarded_by_a_reset() -> None:
    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            gateway.clients.max_sockets = 0
            with raw_client(address) as client:
                client.sendall(query_command("a1"))  # is received before the gateway accepts
                assert await received(client) == clients.TOO_MANY_CLIENTS_RESPONSE
            assert gateway.costs.turned_away == 1

    run_scenario(scenario())


def test_all_connections_set_tcp_nodelay() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server) as (gateway, address):
            client = await RespClient.connect(address)
            client.send(query_command("a1"))
            await scan_server.command_received.wait()
            (pool,) = gateway.backends.pools.values()
            connections = (*pool.connections, *gateway.clients.connections)
            transports = [connection.transport for connection in connections]
            transports.append(gateway.discovery.watcher.connection.transport)
            for transport in transports:
                connection_socket = transport.get_extra_info("socket")
                assert connection_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1

    run_scenario(scenario())


def test_idle_clients_at_the_socket_limit_leave_descriptors_for_discovery_and_servers() -> None:
    """The clients connect while discovery is silent; its list is read later, and its server used."""

    async def scenario() -> None:
        scan_server = StubScanServer()
        is_back = asyncio.Event()
        listed = watch_event(7, [endpoint_entry("s0", await scan_server.start())])

        async def answer_when_back(writer: asyncio.StreamWriter) -> None:
            await is_back.wait()
            writer.write(CHUNKED_RESPONSE_HEAD + http_chunk(listed))
            await asyncio.Event().wait()

        discovery = StubDiscovery(answer_when_back)
        config = replace(
            CONFIG, settings=LONG_TIMEOUT_SETTINGS, sockets=48, discovery=(await discovery.start(),)
        )
        gateway = GatewayServer(config)
        await gateway.start()
        idle = [await RespClient.connect(gateway.address) for _ in range(3 * gateway.clients.max_sockets)]
        requesting = await RespClient.connect(gateway.address)
        requesting.send(query_command("a1", wait_ms=LONG_TIMEOUT_MS))
        while "a1" not in gateway.exchanges.unanswered:
            await asyncio.sleep(0.001)
        assert gateway.clients.sockets <= gateway.clients.max_sockets
        is_back.set()
        assert await requesting.read_reply() == b"ok"
        assert len(discovery.request_targets) == 1 and len(idle) > gateway.clients.max_sockets
        gateway.close()

    run_scenario(scenario())


def test_requests_of_a_departed_client_are_not_sent_when_their_connections_come_up_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against attempts that begin after the client has closed its connection with much still unread.
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 3600)
    connect = backends.Pool.connect

    async def scenario() -> None:
        is_up = asyncio.Event()

        async def connect_late(pool: backends.Pool, connection: backends.Connection) -> None:
            await is_up.wait()
            await connect(pool, connection)

        monkeypatch.setattr(backends.Pool, "connect", connect_late)
        scan_servers = enough_scan_servers(lambda arguments: value_response(b"ok"))
        async with running_gateway(*scan_servers, settings=LONG_TIMEOUT_SETTINGS) as (gateway, address):
            with raw_client(address) as client:
                await fill_pipeline(gateway, client)
                while not any(pool.connecting for pool in gateway.backends.pools.values()):
                    await asyncio.sleep(0)
                assert not connection_of(gateway, client).is_reading
            is_up.set()
            while gateway.exchanges.unanswered or gateway.exchanges.answered_in_flight:
                await asyncio.sleep(0)
            assert [scan_server.commands for scan_server in scan_servers] == [[]] * len(scan_servers)
            assert gateway.costs.gone == client_connection.MAX_PIPELINED

    run_scenario(scenario())


def test_id_of_a_departed_client_does_not_run_again_when_it_comes_again() -> None:
    # Guards against running an unsafe request twice, as its first client left before the answer.
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server, settings=LONG_TIMEOUT_SETTINGS) as (gateway, address):
            first = await RespClient.connect(address)
            first.send(submit_command("a1", wait_ms=LONG_TIMEOUT_MS))
            await scan_server.wait_for_commands(1)
            first.writer.close()
            while gateway.exchanges.unanswered or gateway.exchanges.answered_in_flight:
                for writer in scan_server.writers:
                    writer.transport.abort()
                await asyncio.sleep(0)
            second = await RespClient.connect(address)
            request = submit_command("a1", wait_ms=LONG_TIMEOUT_MS)
            assert await second.request(request) == "-ERR this id is in use"
            assert len(scan_server.commands) == 1

    run_scenario(scenario())


def test_id_that_never_ran_is_accepted_again() -> None:
    # Guards against rejecting a request that its client sends once more because it was not handled.
    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(addresses=[refusing_address()], settings=SETTINGS) as (_, address):
            client = await RespClient.connect(address)
            request = submit_command("a1", wait_ms=300)
            first = await client.request(request)
            assert await client.request(request) == first
            assert first != "-ERR this id is in use"
            assert scan_server.commands == []

    run_scenario(scenario())


def test_ids_of_ended_requests_are_bounded_in_number_and_time() -> None:
    # Guards against memory that grows with each request.
    ids = RecentRequestIds(max_ids=3)
    for number in range(5):
        ids.add(f"a{number}", now_us=number)
    assert [ids.contains(f"a{number}", now_us=10) for number in range(5)] == [False, False, True, True, True]
    ids.add("b", now_us=RETENTION_US + 3)
    assert list(ids.expires_us) == ["a4", "b"]
    assert not ids.contains("a4", now_us=RETENTION_US + 4)
