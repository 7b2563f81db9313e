"""Connections to scan servers: reuse, bounds, and whether an attempt may have run."""

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.sockets import HOST, StubScanServer, encode_command, refusing_address, run_scenario, value_response
from thistletrail.gateway import backends
from thistletrail.gateway.backends import Attempt, Backends, outcome_of
from thistletrail.gateway.config import Address
from thistletrail.gateway.resp import Answer, AnswerReader, ProtocolError
from thistletrail.policy.events import AttemptResult, LoadReport, ServerState

SECOND_US = 1_000_000


class Sender:
    """Sends attempts through a pool and queues their outcomes."""

    def __init__(
        self,
        address: Address,
        idle_us: int = 30 * SECOND_US,
        max_connections: int = 50,
        connect_us: int = 20 * SECOND_US,
    ) -> None:
        self.backends = Backends(idle_us, connect_us, max_connections)
        self.backends.update({"s": ServerState.SERVING}, {"s": address}, is_full=True)
        self.ended: asyncio.Queue[tuple[AttemptResult, bytes | None, LoadReport | None]] = asyncio.Queue()

    def send(self, payload: bytes = encode_command("PING"), timeout_us: int = 5 * SECOND_US) -> Attempt:
        attempt = Attempt(
            "a", 0, "s", lambda remaining_us: payload, lambda _, *outcome: self.ended.put_nowait(outcome)
        )
        self.backends.send(attempt, timeout_us)
        return attempt

    async def result(self) -> AttemptResult:
        return (await self.ended.get())[0]

    async def send_and_time_out(self, payload: bytes = encode_command("PING")) -> AttemptResult:
        """Return the result of an attempt that times out 50 ms after its first byte was written."""
        attempt = self.send(payload)
        while not (attempt.written_us or attempt.is_over):
            await asyncio.sleep(0.001)
        if not attempt.is_over:
            attempt.set_timeout(50_000)
        return await self.result()


@contextlib.asynccontextmanager
async def unresponsive_machine() -> AsyncIterator[tuple[Address, socket.socket]]:
    """Yield the address and the listener of a machine that accepts connections and reads nothing."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        yield listener.getsockname(), listener


def test_connection_is_reused_and_carries_one_command_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backends, "REUSE_DELAY_US", 0)

    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        sender = Sender(await scan_server.start())
        sender.send()
        sender.send()
        await scan_server.wait_for_commands(2)
        assert scan_server.opened_connections == 2
        for writer in scan_server.writers:
            writer.write(value_response(b"x"))
        assert [await sender.result(), await sender.result()] == [AttemptResult.SUCCESS] * 2
        scan_server.respond = lambda arguments: value_response(b"y")
        for _ in range(5):
            sender.send()
            assert await sender.result() is AttemptResult.SUCCESS
        assert scan_server.opened_connections == 2
        sender.backends.close()

    run_scenario(scenario())


def test_connection_whose_answer_a_late_copy_may_follow_is_not_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against review/2: a second copy of an answer, up to 8 ms late, answers the next request.
    clock_us = [1_000_000]
    monkeypatch.setattr(backends, "now_us", lambda: clock_us[0])

    async def scenario() -> None:
        scan_server = StubScanServer()
        sender = Sender(await scan_server.start())
        for idle_us, opened in ((0, 1), (8_000, 2), (10_000, 2)):
            clock_us[0] += idle_us
            sender.send()
            assert await sender.result() is AttemptResult.SUCCESS
            assert scan_server.opened_connections == opened
        sender.backends.close()

    run_scenario(scenario())


def test_cancelled_attempt_closes_its_connection() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        sender = Sender(await scan_server.start())
        attempt = sender.send()
        await scan_server.command_received.wait()
        attempt.cancel()
        assert await sender.result() is AttemptResult.CANCELLED
        await scan_server.connection_closed.wait()  # its late answer must not answer the next command
        scan_server.respond = lambda arguments: value_response(b"fresh")
        sender.send()
        assert (await sender.ended.get())[1] == b"fresh"
        assert sender.ended.empty()
        sender.backends.close()

    run_scenario(scenario())


def test_connection_reset_after_the_last_byte_means_that_the_attempt_may_have_run() -> None:
    async def scenario() -> None:
        sender = Sender(await StubScanServer(lambda arguments: b"").start())
        sender.send()
        assert await sender.result() is AttemptResult.RESET

    run_scenario(scenario())


def test_silence_after_the_last_byte_is_a_timeout() -> None:
    async def scenario() -> None:
        async with unresponsive_machine() as (address, _):
            assert await Sender(address).send_and_time_out() is AttemptResult.TIMEOUT

    run_scenario(scenario())


def test_attempt_that_fails_before_the_last_byte_never_ran() -> None:
    async def scenario() -> None:
        sender = Sender(refusing_address())
        sender.send()
        assert await sender.result() is AttemptResult.CONNECT_FAILED
        async with unresponsive_machine() as (address, _):
            large = b"x" * (64 << 20)  # more than the kernel buffers
            assert await Sender(address).send_and_time_out(large) is AttemptResult.CONNECT_FAILED
        async with unresponsive_machine() as (address, listener):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20))
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.close()  # with bytes unread: a reset
            assert await sender.result() is AttemptResult.CONNECT_FAILED

    run_scenario(scenario())


def test_connection_that_ends_at_once_is_reported_as_failed() -> None:
    async def scenario() -> None:
        async with unresponsive_machine() as (address, listener):
            sender = Sender(address)
            sender.send(timeout_us=20 * SECOND_US)
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.close()  # before the event loop handles the established connection
            assert await asyncio.wait_for(sender.result(), 5) in (
                AttemptResult.CONNECT_FAILED,
                AttemptResult.RESET,
            )

    run_scenario(scenario())


def test_connect_without_an_answer_fails_after_its_timeout() -> None:
    async def scenario() -> None:
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind((HOST, 0))
            listener.listen(0)
            for _ in range(3):  # its backlog is full: the kernel drops further SYN segments
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            sender = Sender(listener.getsockname(), connect_us=200_000)
            sender.send(timeout_us=60 * SECOND_US)
            assert await asyncio.wait_for(sender.result(), 20) is AttemptResult.CONNECT_FAILED

    run_scenario(scenario())


def test_connection_established_as_its_timeout_passes_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timeout passes after `connection_made`, before `create_connection` has returned."""
    timeouts: list[asyncio.Timeout] = []

    def recorded_timeout(delay: float) -> asyncio.Timeout:
        timeouts.append(asyncio.timeouts.timeout(delay))
        return timeouts[-1]

    class Crossing(backends.Connection):
        def connection_made(self, transport: asyncio.Transport) -> None:
            super().connection_made(transport)
            timeouts[-1].reschedule(0)

    async def scenario() -> None:
        scan_server = StubScanServer()
        sender = Sender(await scan_server.start())
        sender.backends.connection_class = Crossing
        monkeypatch.setattr(asyncio, "timeout", recorded_timeout)
        sender.send(timeout_us=60 * SECOND_US)
        assert await asyncio.wait_for(sender.result(), 20) is AttemptResult.CONNECT_FAILED
        assert sender.backends.connection_count() == 0 and not scan_server.commands
        assert sender.backends.pools["s"].connecting == 0

    run_scenario(scenario())


def test_idle_connection_is_closed_before_the_server_closes_it() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer()
        sender = Sender(await scan_server.start(), idle_us=200_000)
        sender.backends.sweep()
        sender.send()
        assert await sender.result() is AttemptResult.SUCCESS
        await scan_server.connection_closed.wait()
        assert sender.backends.connection_count() == 0

    run_scenario(scenario())


def test_timeout_or_reset_closes_the_idle_connections_to_a_server() -> None:
    """A machine that was down resets them when it is back, and an unsafe request on one would be lost."""

    async def scenario() -> None:
        for broken in (None, b""):
            scan_server = StubScanServer(lambda arguments: None)
            sender = Sender(await scan_server.start())
            sender.send()
            sender.send()
            await scan_server.wait_for_commands(2)
            for writer in scan_server.writers:
                writer.write(value_response(b"x"))
            assert [await sender.result(), await sender.result()] == [AttemptResult.SUCCESS] * 2
            assert len(sender.backends.pools["s"].idle) == 2
            scan_server.respond = lambda arguments, broken=broken: broken
            assert await sender.send_and_time_out() in (AttemptResult.TIMEOUT, AttemptResult.RESET)
            assert sender.backends.pools["s"].idle == []

    run_scenario(scenario())


def test_connections_are_bounded_over_all_servers() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        sender = Sender(await scan_server.start(), max_connections=2)
        first = sender.send()
        sender.send()
        sender.send()
        assert await sender.result() is AttemptResult.NOT_SENT  # it does not count against the server
        assert sender.backends.connection_count() == 2
        first.cancel()
        assert await sender.result() is AttemptResult.CANCELLED
        await scan_server.command_received.wait()
        sender.backends.close()

    run_scenario(scenario())


def test_removed_server_completes_its_attempt_and_loses_its_idle_connections() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        sender = Sender(await scan_server.start())
        sender.send()
        await scan_server.command_received.wait()
        sender.backends.update({}, {}, is_full=True)
        scan_server.writers[0].write(value_response(b"x"))
        assert await sender.result() is AttemptResult.SUCCESS
        await scan_server.connection_closed.wait()
        sender.send()
        assert await sender.result() is AttemptResult.CONNECT_FAILED

    run_scenario(scenario())


MALFORMED_ANSWERS = [
    b"*1000000000\r\n",
    b"*3\r\n$3000000000\r\n",
    b"*3\r\n$-7\r\n",
    b"*3\r\n$-1\r\n",
    b"*3\r\n*3\r\n",
    b":5\r\n",
    b"+OK\r\n",
    b"*2\r\n",
    b"$2\r\nok\r\n",
    b"*3\r\n$4\r\nabcdefgh\r\n",
    b"_\r\n",
    b"x" * 20,
    b"-" + b"x" * 600,
    b"*3\r\n$2\r\nok\r\n$-1\r\n$99999\r\n",
    b"*3\r\n$2\r\nok\r\n:1\r\n:2\r\n",
    b"*3\r\n+ok\r\n",
    b"*-1\r\n",
]


@pytest.mark.parametrize("answer", MALFORMED_ANSWERS)
def test_malformed_answer_fails_at_its_first_lines_and_leaves_other_connections_open(
    answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server leaves the connection open: a reader that waits for the rest would wait for ever."""
    monkeypatch.setattr(backends, "REUSE_DELAY_US", 0)

    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        sender = Sender(await scan_server.start())
        sender.send()
        sender.send()
        await scan_server.wait_for_commands(2)
        for writer in scan_server.writers:
            writer.write(value_response(b"x"))
        assert [await sender.result(), await sender.result()] == [AttemptResult.SUCCESS] * 2
        scan_server.respond = lambda arguments: answer
        sender.send(timeout_us=20 * SECOND_US)
        assert await sender.result() is AttemptResult.MALFORMED
        await scan_server.connection_closed.wait()
        assert len(sender.backends.pools["s"].idle) == 1
        scan_server.respond = lambda arguments: value_response(b"good")
        sender.send()
        assert await sender.ended.get() == (AttemptResult.SUCCESS, b"good", None)
        assert scan_server.opened_connections == 2
        sender.backends.close()

    run_scenario(scenario())


def test_bytes_behind_an_answer_never_answer_the_next_request() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        sender = Sender(await scan_server.start())
        sender.send()
        await scan_server.command_received.wait()
        scan_server.writers[0].write(value_response(b"first"))
        assert (await sender.ended.get())[1] == b"first"
        scan_server.respond = lambda arguments: value_response(b"second")
        sender.send()  # at once: the connection may not be reused yet
        assert (await sender.ended.get())[1] == b"second"
        assert scan_server.opened_connections == 2
        for connection in sender.backends.pools["s"].idle:
            connection.idle_since_us = 0
        # Both may be reused by now, and get unread bytes, which are found although the loop does not run
        # in between.
        for writer in scan_server.writers:
            writer.transport.get_extra_info("socket")  # still open
            socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())).send(
                value_response(b"copy")
            )
        scan_server.respond = lambda arguments: value_response(b"third")
        sender.send()
        assert (await sender.ended.get())[1] == b"third"
        assert scan_server.opened_connections == 3
        sender.backends.close()

    run_scenario(scenario())


def test_answer_before_the_last_byte_of_the_request_is_not_its_value() -> None:
    async def scenario() -> None:
        async with unresponsive_machine() as (address, listener):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20), timeout_us=20 * SECOND_US)
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            with accepted:
                accepted.send(value_response(b"of another"))
                assert await sender.result() is AttemptResult.CONNECT_FAILED

    run_scenario(scenario())


@pytest.mark.parametrize("state", [ServerState.GONE, ServerState.DRAINING])
def test_nothing_is_written_to_a_server_that_leaves_while_connecting(state: ServerState) -> None:
    async def scenario() -> None:
        async with unresponsive_machine() as (address, listener):
            sender = Sender(address)
            sender.send()
            sender.backends.update({"s": state}, {"s": address}, is_full=False)
            # It never ran, so another server may get it.
            assert await sender.result() is AttemptResult.CONNECT_FAILED
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(accepted, 100) == b""
            accepted.close()

    run_scenario(scenario())


def test_draining_server_gets_no_new_attempts() -> None:
    """The policy may have selected it just before the endpoint list said so."""

    async def scenario() -> None:
        scan_server = StubScanServer()
        address = await scan_server.start()
        sender = Sender(address)
        sender.backends.update({"s": ServerState.DRAINING}, {"s": address}, is_full=False)
        sender.send()
        assert await sender.result() is AttemptResult.CONNECT_FAILED
        assert not sender.backends.connection_count() and not scan_server.opened_connections

    run_scenario(scenario())


def test_connection_of_a_cancelled_attempt_is_closed_before_the_callback() -> None:
    """The callback may start a further attempt at once, and two may not be in flight."""

    async def scenario() -> None:
        scan_server, counts = StubScanServer(lambda arguments: None), []
        sender = Sender(await scan_server.start())
        attempt = sender.send()
        attempt.on_ended = lambda *_: counts.append(sender.backends.connection_count())
        await scan_server.command_received.wait()
        attempt.cancel()
        attempt.cancel()
        await scan_server.connection_closed.wait()
        assert counts == [0]

    run_scenario(scenario())


def test_long_answers_pass_and_incomplete_answers_are_bounded_in_total() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: value_response(b"x" * 213_035))
        sender = Sender(await scan_server.start())
        sender.send()
        assert await sender.ended.get() == (AttemptResult.SUCCESS, b"x" * 213_035, None)
        scan_server.respond = lambda arguments: value_response(b"x" * 213_035)[:150_000]
        sender.backends.max_partial_answer_bytes = 400_000
        for _ in range(3):
            sender.send(timeout_us=20 * SECOND_US)
        assert await sender.result() is AttemptResult.MALFORMED
        assert sender.backends.partial_answer_bytes <= 400_000
        sender.backends.close()
        await scan_server.connection_closed.wait()
        while sender.backends.connection_count():
            await asyncio.sleep(0.01)
        assert sender.backends.partial_answer_bytes == 0

    run_scenario(scenario())


def test_connection_count_follows_the_open_sockets() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        sender = Sender(await scan_server.start())
        attempt = sender.send()
        await scan_server.command_received.wait()
        attempt.cancel()
        assert sender.backends.connection_count() == 1  # the event loop closes the socket in a later turn
        await scan_server.connection_closed.wait()
        assert sender.backends.connection_count() == 0
        sender.backends.update({"s": ServerState.SERVING}, {"s": refusing_address()}, is_full=True)
        sender.send()
        assert await sender.result() is AttemptResult.CANCELLED
        assert await sender.result() is AttemptResult.CONNECT_FAILED
        assert sender.backends.connection_count() == 0 and sender.backends.pools["s"].connecting == 0

    run_scenario(scenario())


def test_idle_connections_are_no_longer_reused_after_resets(monkeypatch: pytest.MonkeyPatch) -> None:
    """A server drops idle connections early: a request on one is reset, and lost if it is unsafe."""
    monkeypatch.setattr(backends, "REUSE_DELAY_US", 0)
    monkeypatch.setattr(backends, "now_us", lambda: 0)  # all are in one idle class, however busy the machine

    async def scenario() -> None:
        scan_server = StubScanServer()
        # The second command on a connection resets it.
        scan_server.respond = lambda arguments: (
            b""
            if scan_server.writers.index(scan_server.writers[-1]) < len(scan_server.writers) - 1
            else value_response(b"ok")
        )
        sender = Sender(await scan_server.start())
        results = []
        for _ in range(40):
            sender.send()
            results.append(await sender.result())
        assert AttemptResult.RESET in results
        assert results.count(AttemptResult.RESET) <= backends.MIN_USES
        assert results[-20:] == [AttemptResult.SUCCESS] * 20
        for _ in range(9):
            sender.backends.reuse_limit.decay()
        # Reuse is tried again after a while.
        assert sender.backends.reuse_limit.idle_class_limit == backends.IDLE_CLASSES
        sender.backends.close()

    run_scenario(scenario())


def test_resets_as_frequent_on_new_connections_do_not_limit_reuse() -> None:
    reuse_limit = backends.ReuseLimit()
    for number in range(100):
        reuse_limit.record_use(0, was_reset=number % 5 == 0)
        reuse_limit.record_use(4, was_reset=number % 5 == 1)
    assert reuse_limit.allows(29_000_000)


def parse_split(data: bytes, cuts: list[int]) -> list[Answer | None]:
    """Return the answers in data that is split at `cuts`, and None in place of a malformed rest."""
    reader = AnswerReader()
    answers: list[Answer | None] = []
    offsets = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    try:
        for start, end in pairwise(offsets):
            reader.feed(data[start:end])
            while answer := reader.next():
                answers.append(answer)
    except ProtocolError:
        answers.append(None)
    return answers


BODIES = st.tuples(st.binary(max_size=40), st.none() | st.binary(max_size=20))


@given(st.lists(BODIES), st.lists(st.integers(0, 400)))
def test_answers_are_the_same_however_the_bytes_are_split(
    answers: list[tuple[bytes, bytes | None]], cuts: list[int]
) -> None:
    data = b"".join(
        value_response(body, b"$-1\r\n" if report is None else b"$%d\r\n%b\r\n" % (len(report), report))
        for body, report in answers
    )
    assert parse_split(data, cuts) == [Answer(body, report=report) for body, report in answers]


FRAGMENTS = st.one_of(
    st.binary(max_size=20),
    st.sampled_from([b"*3\r\n", b"$3\r\nabc\r\n", b"$-1\r\n", b"-ERR failed\r\n", b"-BUSY\r\n", b"\r\n"]),
)


@given(st.lists(FRAGMENTS), st.lists(st.integers(0, 200)))
def test_arbitrary_bytes_read_the_same_however_they_are_split(
    fragments: list[bytes], cuts: list[int]
) -> None:
    assert parse_split(b"".join(fragments), cuts) == parse_split(b"".join(fragments), [])


def test_load_report_is_read_by_field_names_and_without_malformed_values() -> None:
    expected = LoadReport(util=0.61, service_ms=12.5)
    report = b"util=0.61,latency_ms=12.5,strange=x"
    assert outcome_of(Answer(b"v", report=report)) == (AttemptResult.SUCCESS, b"v", expected)
    for malformed in ("nan", "inf", "-inf", "-1", "-0.1", "1_0", " 1", "1e99", "2.5", "", "=", "0x1", "\xb2"):
        report = f"util={malformed},latency_ms=5".encode()
        load_report = outcome_of(Answer(b"v", report=report))[2]
        assert load_report is None or load_report.util is None
    assert outcome_of(Answer(b"v", report=b"util=\xff"))[2] is None
    assert outcome_of(Answer(b"v", report=b"util=what")) == (AttemptResult.SUCCESS, b"v", None)
    assert outcome_of(Answer(b"v")) == (AttemptResult.SUCCESS, b"v", None)
