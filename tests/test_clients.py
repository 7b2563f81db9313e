"""Client connections: the order of answers, bounds and timeouts, and malformed or invalid input."""

import asyncio
import contextlib
import socket
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.sockets import (
    CONFIG,
    CUSTOMER,
    LONG_TIMEOUT_MS,
    LONG_TIMEOUT_SETTINGS,
    RespClient,
    StubScanServer,
    encode_command,
    query_command,
    run_scenario,
    running_gateway,
    submit_command,
    value_response,
)
from thistletrail.gateway import client_connection, clients, command_parser
from thistletrail.gateway.client_connection import (
    MAX_CONSECUTIVE_ERRORS,
    MAX_PIPELINED,
    STATE_TIMEOUTS_US,
    State,
)
from thistletrail.gateway.command_parser import CommandError, CommandParser
from thistletrail.gateway.resp import CommandReader, ProtocolError
from thistletrail.policy.overload_control import IN_FLIGHT_PER_SERVER

PARSER = CommandParser(CONFIG)


def test_answers_are_sent_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(
            lambda arguments: None if arguments[2] == b"a1" else value_response(arguments[2])
        )
        async with running_gateway(scan_server) as (_, address):
            client = await RespClient.connect(address)
            client.send(
                query_command("a1") + encode_command("PING") + query_command("a2") + encode_command("WHAT")
            )
            await scan_server.wait_for_commands(2)
            slow = next(
                index for index, arguments in enumerate(scan_server.commands) if arguments[2] == b"a1"
            )
            scan_server.writers[slow].write(value_response(b"a1"))
            answers = [await client.read_reply() for _ in range(4)]
            assert answers == [b"a1", b"PONG", b"a2", "-ERR unknown command"]

    run_scenario(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*1\r\n:1\r\n",
        b"*2\r\n*100000000\r\n",
        b"*100000000\r\n",
        b"$4\r\nPING\r\n",
        b"*x\r\n",
        b"*-1\r\n",
        b"*0\r\n" * 1000,
        b"*1\r\n$-1\r\n",
        b"*2\r\n$40000\r\n" + b"x" * 40000 + b"\r\n$40000\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\r\n$1\r\nab\r\n",
        b"*1\r\n$" + b"1" * 40,
        b"\x16\x03\x01\x02\x00",
    ],
)
def test_malformed_resp_gets_an_error_and_closes_the_connection(data: bytes) -> None:
    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(scan_server) as (_, address):
            client = await RespClient.connect(address)
            assert str(await client.request(data)).startswith("-ERR Protocol error")
            assert await client.closed_without_reply()
            other = await RespClient.connect(address)
            assert await other.request(query_command("a1")) == b"ok"
            assert len(scan_server.commands) == 1

    run_scenario(scenario())


FIELDS = "c=read,t=team,d=500"


@pytest.mark.parametrize(
    "arguments",
    [
        ("GET", "x"),
        ("svc.query", CUSTOMER, "a", FIELDS),
        ("SVC.QUERY",),
        ("SVC.QUERY", CUSTOMER, "a"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS, "BODY"),
        ("SVC.SUBMIT", CUSTOMER, "a", "c=settle,t=team,d=500"),
        ("SVC.QUERY", "b4d65521", "a", FIELDS),
        ("SVC.QUERY", "0" * 15 + "g", "a", FIELDS),
        ("SVC.QUERY", "f" * 16, "a", FIELDS),
        ("SVC.QUERY", CUSTOMER, "", FIELDS),
        ("SVC.QUERY", CUSTOMER, "a b", FIELDS),
        ("SVC.QUERY", CUSTOMER, "a", ""),
        ("SVC.QUERY", CUSTOMER, "a", "c=what,t=team,d=500"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=what,d=500"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=-5"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=1e3"),
        ("SVC.QUERY", CUSTOMER, "a", "c=settle,t=team,d=500"),
        ("SVC.SUBMIT", CUSTOMER, "a", FIELDS, "B"),
        ("SVC.SUBMIT", CUSTOMER, "a", "c=book,t=team,d=500", "B"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=nan"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=0"),
        *[
            ("SVC.QUERY", CUSTOMER, "a", FIELDS + f",units={units}")
            for units in ("-1", "inf", "1_0", " 1", "1e3", "x", "", "1001", "0x1", "1.", "+1")
        ],
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",spread=1,first=1"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",spread=0"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=86400000"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",spread=3"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",first=2"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",d=900"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",é=1"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",odd"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + "".join(f",x{n}=" for n in range(command_parser.MAX_FIELDS))),
        ("PING", "a", "b"),
    ],
)
def test_invalid_command_gets_an_error_and_the_connection_stays_open(arguments: tuple[str, ...]) -> None:
    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(scan_server) as (_, address):
            client = await RespClient.connect(address)
            assert str(await client.request(encode_command(*arguments))).startswith("-ERR ")
            assert await client.request(encode_command("PING")) == b"PONG"
            assert scan_server.commands == []

    run_scenario(scenario())


def test_gateway_at_its_connection_limit_evicts_inactive_connections_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """First a client without a complete command, then one that only sent PING, then the longest idle one.

    A client that has sent requests keeps its minimum idle time.
    """

    async def scenario() -> None:
        is_silent = asyncio.Event()
        scan_server = StubScanServer(lambda arguments: None if is_silent.is_set() else value_response(b"ok"))
        async with running_gateway(scan_server) as (gateway, address):
            gateway.clients.max_sockets = 3
            first, second = await RespClient.connect(address), await RespClient.connect(address)
            assert await first.request(query_command("a")) == b"ok"
            assert await second.request(query_command("b")) == b"ok"
            silent = await RespClient.connect(address)
            pinging = await RespClient.connect(address)
            assert await silent.closed_without_reply()
            assert await pinging.request(encode_command("PING")) == b"PONG"
            third = await RespClient.connect(address)
            assert await pinging.closed_without_reply()
            assert await third.request(query_command("c")) == b"ok"
            early = await RespClient.connect(address)  # the others have not been idle for long enough
            assert await early.read_reply() == "-ERR max number of clients reached"
            assert await early.closed_without_reply()
            for connection in gateway.clients.eviction_candidates[State.IDLE]:
                connection.state_since_us -= clients.MIN_IDLE_US
            fourth = await RespClient.connect(address)
            assert await fourth.request(encode_command("PING")) == b"PONG"
            assert await first.closed_without_reply()
            is_silent.set()
            for number, client in enumerate((second, third, fourth)):
                client.send(query_command(f"a{number}"))
            while len(gateway.exchanges.unanswered) < 3:
                await asyncio.sleep(0)
            late = await RespClient.connect(address)  # no client is idle
            assert await late.read_reply() == "-ERR max number of clients reached"
            assert await late.closed_without_reply()

    run_scenario(scenario())


def test_rejected_connection_gets_an_error_for_each_command_that_was_read() -> None:
    # Guards against reading several commands on a connection beyond the limit and answering only one.
    async def scenario() -> None:
        async with running_gateway() as (gateway, address):
            gateway.clients.max_sockets = 0
            gateway.loop.remove_reader(gateway.clients.listener)
            client = await RespClient.connect(address)
            client.send(b"".join(query_command(f"a{number}") for number in range(4)))
            gateway.clients.accept()
            for _ in range(4):
                assert await client.read_reply() == "-ERR max number of clients reached"
            assert await client.closed_without_reply()

    run_scenario(scenario())


def test_rejected_connection_is_reset_if_some_of_its_commands_were_not_read() -> None:
    # Guards against a close that lets a client take its unread commands for read ones.
    async def scenario() -> None:
        async with running_gateway() as (gateway, address):
            gateway.clients.max_sockets = 0
            gateway.loop.remove_reader(gateway.clients.listener)
            client = await RespClient.connect(address)
            count = 3 * clients.REJECTED_READ_BYTES // len(query_command("a1"))
            client.send(b"".join(query_command("a1") for number in range(count)))
            gateway.clients.accept()
            answers = 0
            with pytest.raises(ConnectionResetError):
                while await client.read_reply() == "-ERR max number of clients reached":
                    answers += 1
            assert answers <= clients.REJECTED_READ_BYTES // len(query_command("a1"))

    run_scenario(scenario())


def test_burst_of_connections_stays_within_the_bound() -> None:
    """An accepted socket counts until it is closed. The loop's own server accepts all pending connections."""

    async def scenario() -> None:
        async with running_gateway() as (gateway, address):
            gateway.clients.max_sockets = 20
            max_sockets_used = 0
            attach = gateway.clients.attach

            def attach_and_count(accepted: socket.socket) -> object:
                nonlocal max_sockets_used
                max_sockets_used = max(max_sockets_used, gateway.clients.sockets)
                return attach(accepted)

            gateway.clients.attach = attach_and_count
            with contextlib.ExitStack() as stack:
                for _ in range(300):
                    burst = stack.enter_context(socket.socket())
                    burst.setblocking(False)
                    burst.connect_ex(address)
                client = await RespClient.connect(address)
                assert await client.request(encode_command("PING")) == b"PONG"
            assert 20 <= max_sockets_used <= 21

    run_scenario(scenario())


TEST_TIMEOUT_US = 500_000  # short, but longer than a slow machine takes to answer


def shorten_timeout(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    """Set the timeout of this name to a short time."""
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.01)
    monkeypatch.setattr(client_connection, name, TEST_TIMEOUT_US)
    monkeypatch.setitem(STATE_TIMEOUTS_US, State.PINGED, client_connection.IDLE_TIMEOUT_US)
    states = {
        "IDLE_TIMEOUT_US": State.IDLE,
        "PARTIAL_COMMAND_TIMEOUT_US": State.PARTIAL,
        "UNREAD_ANSWERS_TIMEOUT_US": State.WRITE_PAUSED,
        "LINGER_TIMEOUT_US": State.CLOSING,
    }
    if name in states:
        monkeypatch.setitem(STATE_TIMEOUTS_US, states[name], TEST_TIMEOUT_US)


@pytest.mark.parametrize(
    ("name", "data", "answers"),
    [
        ("FIRST_COMMAND_TIMEOUT_US", b"", 0),
        ("FIRST_COMMAND_TIMEOUT_US", b"*4\r\n$9\r\nSVC.", 0),
        ("FIRST_COMMAND_TIMEOUT_US", encode_command("WHAT"), 1),
        ("PARTIAL_COMMAND_TIMEOUT_US", encode_command("PING") + b"*4\r\n$9\r\nSVC.", 1),
        ("IDLE_TIMEOUT_US", encode_command("PING"), 1),
    ],
)
def test_connection_ends_after_the_timeout_of_its_state(
    monkeypatch: pytest.MonkeyPatch, name: str, data: bytes, answers: int
) -> None:
    shorten_timeout(monkeypatch, name)

    async def scenario() -> None:
        async with running_gateway() as (_, address):
            client = await RespClient.connect(address)
            client.send(data)
            for _ in range(answers):
                await client.read_reply()
            if name == "IDLE_TIMEOUT_US":
                assert await client.closed_without_reply()
            else:
                assert await client.read_reply() == "-ERR timed out"
                assert await client.closed_without_reply()

    run_scenario(scenario())


def test_timeouts_are_within_the_limits_of_the_protocol() -> None:
    sweep_us = clients.SWEEP_INTERVAL_S * 1e6
    assert 2_000_000 < client_connection.FIRST_COMMAND_TIMEOUT_US < 3_000_000 - 2 * sweep_us
    assert client_connection.PARTIAL_COMMAND_TIMEOUT_US + 2 * sweep_us < 3_000_000
    assert client_connection.UNREAD_ANSWERS_TIMEOUT_US + 2 * sweep_us < 3_000_000
    assert min(client_connection.IDLE_TIMEOUT_US, clients.MIN_IDLE_US) > 2_000_000


def test_connection_ends_when_its_client_reads_no_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_timeout(monkeypatch, "UNREAD_ANSWERS_TIMEOUT_US")

    async def scenario() -> None:
        body = b"x" * 65536
        async with running_gateway(StubScanServer(lambda arguments: value_response(body))) as (
            gateway,
            address,
        ):
            with socket.socket() as unresponsive_socket:
                unresponsive_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                unresponsive_socket.connect(address)
                unresponsive_socket.setblocking(False)
                loop = asyncio.get_running_loop()
                with contextlib.suppress(OSError):
                    for number in range(200):
                        await loop.sock_sendall(unresponsive_socket, query_command(f"a{number}"))
                while not gateway.clients.connections:
                    await asyncio.sleep(0)
                assert await gateway.clients.wait_closed(20)

    run_scenario(scenario())


def test_close_is_bounded_when_the_client_reads_nothing_and_goes_on_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_timeout(monkeypatch, "LINGER_TIMEOUT_US")

    async def scenario() -> None:
        async with running_gateway() as (gateway, address):
            client = await RespClient.connect(address)
            client.send(b"*1\r\n$60000000\r\n" + b"x" * (4 << 20))
            assert await client.read_reply() == "-ERR Protocol error: too long"
            (connection,) = gateway.clients.connections
            read = len(connection.reader.buffer)
            assert await client.closed_without_reply()
            assert read <= clients.READ_BUFFER_BYTES  # nothing was read after the malformed length
            assert await gateway.clients.wait_closed(20)

    run_scenario(scenario())


def test_buffered_bytes_are_bounded_over_all_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.01)

    async def scenario() -> None:
        async with running_gateway() as (gateway, address):
            gateway.clients.max_buffered_bytes = 100_000
            small = await RespClient.connect(address)
            assert await small.request(encode_command("PING")) == b"PONG"
            large = [await RespClient.connect(address) for _ in range(2)]
            for client in large:
                client.send(b"*1\r\n$60000\r\n" + b"x" * 59_000)
            while len(gateway.clients.connections) == 3:
                await asyncio.sleep(0)
            assert len(gateway.clients.connections) == 2
            assert await small.request(encode_command("PING")) == b"PONG"

    run_scenario(scenario())


def test_connection_over_the_byte_limit_still_gets_the_answers_to_its_earlier_requests() -> None:
    # Guards against losing a request in flight when the incomplete command behind it takes too much memory.
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server, settings=LONG_TIMEOUT_SETTINGS) as (gateway, address):
            gateway.clients.max_buffered_bytes = 50_000
            client = await RespClient.connect(address)
            client.send(query_command("a1", wait_ms=LONG_TIMEOUT_MS))
            await scan_server.wait_for_commands(1)
            client.send(b"*1\r\n$60000\r\n" + b"x" * 59_000)
            while not next(iter(gateway.clients.connections)).is_closing:
                await asyncio.sleep(0)
            assert gateway.clients.partial_command_bytes == 0
            scan_server.writers[0].write(value_response(b"late"))
            assert await client.read_reply() == b"late"
            assert await client.read_reply() == "-ERR too many bytes of incomplete commands"
            assert await client.closed_without_reply()

    run_scenario(scenario())


def test_incomplete_commands_are_bounded_between_two_sweeps(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against hundreds of slow writers exceeding the memory limit before the next periodic check.
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 3600)

    async def scenario() -> None:
        async with running_gateway() as (gateway, address):
            gateway.clients.max_buffered_bytes = 200_000
            slow = [await RespClient.connect(address) for _ in range(10)]
            for client in slow:
                client.send(b"*1\r\n$60000\r\n" + b"x" * 59_000)
            # At most three of them fit into the limit.
            while sum(connection.is_closing for connection in gateway.clients.connections) < 7:
                await asyncio.sleep(0)
                assert gateway.clients.buffered_bytes() <= 200_000
            assert gateway.clients.buffered_bytes() <= 200_000

    run_scenario(scenario())


def test_connection_is_read_once_in_each_turn_of_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against one client that sends at full speed and delays the answers to others.
    reads: list[tuple[int, int]] = []
    turn = 0
    update = client_connection.ClientConnection.buffer_updated

    def record_read(connection: client_connection.ClientConnection, count: int) -> None:
        reads.append((turn, id(connection)))
        update(connection, count)

    monkeypatch.setattr(client_connection.ClientConnection, "buffer_updated", record_read)

    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):

            def count_turn() -> None:
                nonlocal turn
                turn += 1
                gateway.loop.call_soon(count_turn)

            count_turn()
            client = await RespClient.connect(address)
            body = b"x" * (4 * clients.READ_BUFFER_BYTES - 1000)
            for number in range(8):
                client.send(submit_command(f"a{number}", body=body))
            for _ in range(8):
                assert await client.read_reply() == b"ok"
            assert len(reads) >= 8 * 3
            assert len(set(reads)) == len(reads)

    run_scenario(scenario())


def test_unanswered_requests_are_bounded_by_the_memory_limit() -> None:
    async def scenario() -> None:
        backends = [StubScanServer(lambda arguments: None) for _ in range(64 // IN_FLIGHT_PER_SERVER + 1)]
        async with running_gateway(*backends, memory_mb=1, settings=LONG_TIMEOUT_SETTINGS) as (
            gateway,
            address,
        ):
            open_clients = [await RespClient.connect(address) for _ in range(4)]
            for number, client in enumerate(open_clients):
                client.send(
                    b"".join(
                        query_command(f"a{number}x{other}", wait_ms=LONG_TIMEOUT_MS) for other in range(16)
                    )
                )
            last = await RespClient.connect(address)
            while len(gateway.exchanges.unanswered) < 30:
                await asyncio.sleep(0)
            too_many = "-ERR too many requests are open"
            while (
                answer := await last.request(
                    query_command(f"b{len(gateway.exchanges.unanswered)}", wait_ms=10)
                )
            ) != too_many:
                # Its deadline had passed, before it was read or later.
                assert answer in ("-BUSY 750", "-ERR failed")
            assert gateway.exchanges.buffered_bytes < (1 << 20) // 8 + 5000

    run_scenario(scenario())


def test_hundreds_of_commands_at_once_are_bounded_and_served_in_order() -> None:
    async def scenario() -> None:
        max_unanswered = 0

        def respond(arguments: list[bytes]) -> bytes:
            nonlocal max_unanswered
            max_unanswered = max(max_unanswered, len(gateway.exchanges.unanswered))
            return value_response(arguments[2])

        backends = [StubScanServer(respond) for _ in range(MAX_PIPELINED // IN_FLIGHT_PER_SERVER + 1)]
        async with running_gateway(*backends, settings=LONG_TIMEOUT_SETTINGS) as (gateway, address):
            client = await RespClient.connect(address)
            names = [f"a{number}" for number in range(300)]
            queries = b"".join(query_command(name, wait_ms=LONG_TIMEOUT_MS) for name in names)
            client.send(queries + encode_command("PING") * 300)
            assert [await client.read_reply() for _ in names] == [name.encode() for name in names]
            assert [await client.read_reply() for _ in names] == [b"PONG"] * 300
            assert 1 < max_unanswered <= MAX_PIPELINED

    run_scenario(scenario())


def test_consecutive_invalid_commands_end_the_connection() -> None:
    async def scenario() -> None:
        async with running_gateway() as (_, address):
            client = await RespClient.connect(address)
            client.send(encode_command("WHAT") * 1000)
            for _ in range(MAX_CONSECUTIVE_ERRORS):
                assert await client.read_reply() == "-ERR unknown command"
            # The commands that had been read with them are answered as well: they might have been valid.
            last_answers = []
            with contextlib.suppress(EOFError):
                while True:
                    last_answers.append(await client.read_reply())
            assert set(last_answers) == {"-ERR too many wrong commands"}
            assert len(last_answers) <= 1000 - MAX_CONSECUTIVE_ERRORS + 1

    run_scenario(scenario())


def test_requests_read_behind_invalid_commands_get_an_answer_before_the_connection_is_closed() -> None:
    # Guards against closing a connection over valid commands that were read and have no answer.
    async def scenario() -> None:
        async with running_gateway() as (_, address):
            client = await RespClient.connect(address)
            requests = b"".join(query_command(f"a{number}") for number in range(20))
            client.send(encode_command("WHAT") * MAX_CONSECUTIVE_ERRORS + requests)
            for _ in range(MAX_CONSECUTIVE_ERRORS):
                assert await client.read_reply() == "-ERR unknown command"
            for _ in range(20):
                assert await client.read_reply() == "-ERR too many wrong commands"

    run_scenario(scenario())


def test_requests_beyond_the_memory_limit_do_not_count_as_invalid_commands() -> None:
    # Guards against closing a connection whose requests are valid but cannot be accepted at the moment.
    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            max_bytes, gateway.exchanges.max_buffered_bytes = gateway.exchanges.max_buffered_bytes, -1
            client = await RespClient.connect(address)
            count = 3 * MAX_CONSECUTIVE_ERRORS
            client.send(b"".join(query_command(f"a{number}") for number in range(count)))
            for _ in range(count):
                assert await client.read_reply() == "-ERR too many requests are open"
            gateway.exchanges.max_buffered_bytes = max_bytes
            assert await client.request(query_command("b1")) == b"ok"

    run_scenario(scenario())


def test_connection_with_unhandled_commands_is_not_closed_for_a_new_client() -> None:
    # Guards against closing a connection whose commands were read and wait for the loop's next turn.
    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            client = await RespClient.connect(address)
            assert await client.request(encode_command("PING")) == b"PONG"
            connection = next(iter(gateway.clients.connections))
            connection.reader.feed(encode_command("PING") * MAX_PIPELINED + query_command("a1"))
            connection.process()
            assert connection.has_more_commands
            assert not gateway.clients.make_room()
            for _ in range(MAX_PIPELINED):
                assert await client.read_reply() == b"PONG"
            assert await client.read_reply() == b"ok"

    run_scenario(scenario())


def test_internal_error_on_a_connection_still_answers_every_command(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server) as (gateway, address):
            client = await RespClient.connect(address)
            client.send(query_command("a1"))
            await scan_server.command_received.wait()

            def failing(arguments: list[bytes], reply: object) -> None:
                raise RuntimeError("an internal fault")

            gateway.clients.on_command = failing
            client.send(query_command("a2"))
            answers = [await client.read_reply() for _ in range(3)]
            assert answers == ["-ERR failed", "-ERR failed", "-ERR internal error"]
            assert await client.closed_without_reply()
            assert not gateway.exchanges.unanswered

    run_scenario(scenario())
    assert "an internal fault" in caplog.text


ARGUMENT_LISTS = st.lists(st.binary(max_size=40), min_size=1, max_size=6)


@given(st.lists(ARGUMENT_LISTS, max_size=4), st.lists(st.integers(0, 400), max_size=6))
def test_commands_are_the_same_however_the_bytes_are_split(
    commands: list[list[bytes]], cuts: list[int]
) -> None:
    data = b"".join(encode_command(*arguments) for arguments in commands)
    reader = CommandReader()
    received = []
    offsets = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in pairwise(offsets):
        reader.feed(data[start:end])
        while arguments := reader.next():
            received.append(arguments)
    assert received == commands
    assert reader.buffer == b""


FRAGMENTS = st.one_of(st.binary(max_size=20), st.sampled_from([b"*2\r\n", b"$3\r\nabc\r\n", b"$0\r\n\r\n"]))


@given(st.lists(FRAGMENTS))
def test_arbitrary_bytes_are_commands_or_a_protocol_error(fragments: list[bytes]) -> None:
    reader = CommandReader()
    try:
        for fragment in fragments:
            reader.feed(fragment)
            while arguments := reader.next():
                assert arguments
    except ProtocolError:
        pass
    assert len(reader.buffer) <= sum(map(len, fragments))


def test_client_may_wait_longer_than_the_deadline_of_its_class() -> None:
    fields = b"c=read,t=team,d=6200"  # the deadline of the class is 6 s
    command = PARSER.parse([b"SVC.QUERY", CUSTOMER.encode(), b"a1", fields])
    assert command.wait_us == 6_200_000 and command.build_arrival(remaining_us=7).remaining_us == 7


TEXTS = ["read", "book", "team", "500", "", "=", "-1", "²"]
FIELD = st.tuples(st.sampled_from("ctdkrx"), st.sampled_from(TEXTS))


@given(st.sampled_from([b"SVC.QUERY", b"SVC.SUBMIT"]), st.lists(FIELD, max_size=6), st.booleans())
def test_arbitrary_fields_are_accepted_or_a_command_error(
    name: bytes, fields: list[tuple[str, str]], body: bool
) -> None:
    text = ",".join(f"{key}={field}" for key, field in fields)
    arguments = [name, CUSTOMER.encode(), b"a1", text.encode(), *[b"B"] * body]
    try:
        command = PARSER.parse(arguments)
    except CommandError:
        return
    assert command.wait_us == 500_000
    assert text.replace("d=500", "d=7") in command.payload(7_000).decode()
