"""The gateway over loopback sockets: requests from clients to scan servers, and their answers."""

import asyncio
import logging
import random
import time
from dataclasses import replace

import pytest

from tests.sockets import (
    CONFIG,
    CUSTOMER,
    SETTINGS,
    RespClient,
    StubScanServer,
    encode_command,
    query_command,
    refusing_address,
    run_scenario,
    running_gateway,
    submit_command,
    value_response,
)
from thistletrail.gateway import graceful_shutdown
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.actions import Action, SetTimer, StartAttempt
from thistletrail.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestArrived,
    TimerFired,
)


def test_value_is_forwarded_byte_for_byte() -> None:
    async def scenario() -> None:
        body = bytes(range(256)) * 256  # 64 KiB, including line ends and null bytes
        scan_server = StubScanServer(lambda arguments: value_response(body))
        async with running_gateway(scan_server) as (_, address):
            client = await RespClient.connect(address)
            assert await client.request(submit_command("a1", body=body)) == body
            assert scan_server.commands[0][4] == body

    run_scenario(scenario())


def test_only_the_wait_time_of_a_command_is_rewritten() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(scan_server) as (_, address):
            client = await RespClient.connect(address)
            fields = "c=settle,r=1,kd=7,d=3000,t=team,k=5c0f,new=1,units=2,spread=2,first=1"
            assert await client.request(encode_command("SVC.SUBMIT", CUSTOMER, "a1", fields, "B")) == b"ok"
            name, customer, request_id, sent, body = scan_server.commands[0]
            assert (name, customer, request_id, body) == (b"SVC.SUBMIT", CUSTOMER.encode(), b"a1", b"B")
            head, _, tail = fields.partition("d=3000")
            assert sent.startswith(head.encode()) and sent.endswith(tail.encode())
            assert 2000 < int(sent.decode().removeprefix(head).removesuffix(tail)[2:]) < 3000

    run_scenario(scenario())


def test_busy_answer_of_a_scan_server_is_not_forwarded() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: b"-BUSY 123456\r\n")
        async with running_gateway(scan_server) as (_, address):
            client = await RespClient.connect(address)
            assert await client.request(submit_command("a1")) == "-BUSY 750"
            assert len(scan_server.commands) == SETTINGS.max_attempts  # BUSY: none of them ran

    run_scenario(scenario())


ANSWERS_OF_UNKNOWN_EFFECT = [b"-ERR failed util=0.5\r\n", b"-ODD\r\n", b"", b"$-1\r\n", b"+OK\r\n", b"?"]


@pytest.mark.parametrize("answer", ANSWERS_OF_UNKNOWN_EFFECT)
def test_unsafe_request_that_may_have_run_is_sent_once(answer: bytes) -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: answer)
        async with running_gateway(scan_server) as (_, address):
            client = await RespClient.connect(address)
            assert await client.request(submit_command("a1")) == "-ERR failed"
            assert len(scan_server.commands) == 1

    run_scenario(scenario())


def test_unsafe_request_is_retried_after_refused_connections() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer()
        refusing = [refusing_address() for _ in range(6)]
        async with running_gateway(
            scan_server, addresses=refusing, settings=replace(SETTINGS, max_attempts=9)
        ) as (
            _,
            address,
        ):
            client = await RespClient.connect(address)
            assert await client.request(submit_command("a1")) == b"ok"

    run_scenario(scenario())


def test_request_is_answered_once_before_its_client_times_out() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server) as (gateway, address):
            client = await RespClient.connect(address)
            client.send(submit_command("a1", wait_ms=300))
            await scan_server.wait_for_commands(1)
            loop = asyncio.get_running_loop()
            open_at_end: asyncio.Future[list[str]] = loop.create_future()
            # The gateway's timers and this one fire in the order of their due times, even if all are late.
            loop.call_later(0.3, lambda: open_at_end.set_result(list(gateway.exchanges.unanswered)))
            assert await client.read_reply() == "-ERR failed"
            assert await open_at_end == []
            await scan_server.connection_closed.wait()  # the attempt ended with its connection
            assert await client.request(encode_command("PING")) == b"PONG"  # no second answer was sent
            assert (
                not gateway.exchanges.unanswered
                and not gateway.exchanges.answered_in_flight
                and gateway.exchanges.buffered_bytes == 0
            )

    run_scenario(scenario())


def test_attempt_ends_when_its_client_disconnects() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server) as (gateway, address):
            client = await RespClient.connect(address)
            client.send(query_command("a1"))
            await scan_server.command_received.wait()
            client.writer.close()
            await scan_server.connection_closed.wait()
            assert not gateway.exchanges.unanswered and not gateway.policy.requests_by_id

    run_scenario(scenario())


def test_second_request_with_an_id_in_use_is_an_error_and_the_first_continues() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server) as (_, address):
            client, other = await RespClient.connect(address), await RespClient.connect(address)
            client.send(query_command("a1"))
            await scan_server.command_received.wait()
            assert await other.request(query_command("a1")) == "-ERR this id is in use"
            scan_server.writers[0].write(value_response(b"late"))
            assert await client.read_reply() == b"late"

    run_scenario(scenario())


def test_exception_in_the_policy_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            handle = gateway.policy.handle

            def fail_on_one_request(now: int, event: Event) -> list[Action]:
                if isinstance(event, RequestArrived) and event.id == "bad":
                    raise RuntimeError("a fault in the policy")
                return handle(now, event)

            gateway.policy.handle = fail_on_one_request
            client = await RespClient.connect(address)
            assert await client.request(query_command("bad")) == "-ERR failed"
            assert await client.request(query_command("good")) == b"ok"

    with caplog.at_level(logging.ERROR):
        run_scenario(scenario())
    assert "a fault in the policy" in caplog.text and "Traceback" in caplog.text


def test_request_that_the_policy_does_not_answer_fails_by_its_deadline(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            gateway.policy.handle = lambda now, event: []
            client = await RespClient.connect(address)
            assert await client.request(query_command("a1", wait_ms=200)) == "-ERR failed"

    run_scenario(scenario())
    assert "left without an answer" in caplog.text


def test_attempt_for_an_answered_request_is_not_sent() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(scan_server) as (gateway, address):
            client = await RespClient.connect(address)
            assert await client.request(query_command("a1")) == b"ok"
            events: list[Event] = []
            gateway.policy.handle = lambda now, event: events.append(event) or []
            gateway.exchanges.start_attempt(StartAttempt("a1", "s0"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert [event.result for event in events if isinstance(event, AttemptEnded)] == [
                AttemptResult.NOT_SENT
            ]
            assert len(scan_server.commands) == 1

    run_scenario(scenario())


def test_timers_are_never_early_and_events_of_a_batch_have_one_time() -> None:
    """uvloop rounds to milliseconds; the policy ignores an early timer and then sets no other."""

    async def scenario() -> None:
        gateway = GatewayServer(CONFIG)
        fired_at_us: dict[int, int] = {}
        done = asyncio.Event()

        def handle(now: int, event: Event) -> list[Action]:
            if isinstance(event, TimerFired):
                fired_at_us[event.token] = now
                if len(fired_at_us) == len(due_at_us):
                    done.set()
            else:
                batch_times_us.append(now)
            return []

        batch_times_us: list[int] = []
        gateway.policy.handle = handle
        due_at_us = {}
        for token in range(40):
            delay = 5_000 + 37 * token
            due_at_us[token] = time.monotonic_ns() // 1000 + delay
            gateway.driver.set_timer(SetTimer(delay, token))
        for number in range(5):
            gateway.driver.post(ClientDisconnected(str(number)))
        await done.wait()
        assert all(fired_at_us[token] >= due_at_us[token] for token in due_at_us)
        assert len(batch_times_us) == 5 and len(set(batch_times_us)) == 1

    run_scenario(scenario())


def test_shutdown_serves_new_requests_and_answers_all() -> None:
    async def scenario() -> None:
        scan_server = StubScanServer(
            lambda arguments: None if arguments[2] == b"slow" else value_response(b"ok")
        )
        async with running_gateway(scan_server) as (gateway, address):
            idle, busy = await RespClient.connect(address), await RespClient.connect(address)
            assert await idle.request(encode_command("PING")) == b"PONG"
            busy.send(query_command("slow"))
            await scan_server.command_received.wait()
            draining = asyncio.create_task(gateway.drain())
            await asyncio.sleep(0)
            late = await RespClient.connect(address)
            assert await late.request(query_command("new")) == b"ok"
            assert await idle.request(query_command("kept")) == b"ok"
            # Both connections are closed between requests.
            assert await idle.closed_without_reply() and await late.closed_without_reply()
            assert not draining.done()
            scan_server.writers[0].write(value_response(b"at last"))
            assert await busy.read_reply() == b"at last"
            assert await busy.closed_without_reply()
            await draining

    run_scenario(scenario())


def test_shutdown_waits_for_a_request_that_arrives_late(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, "NEW_CONNECTION_GRACE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "CLIENT_CLOSE_GRACE_S", 0.1)

    async def scenario() -> None:
        scan_server = StubScanServer(lambda arguments: None)
        async with running_gateway(scan_server) as (gateway, address):
            busy = await RespClient.connect(address)
            busy.send(submit_command("a1"))
            await scan_server.command_received.wait()
            draining = asyncio.create_task(gateway.drain())
            while not gateway.clients.is_draining:
                await asyncio.sleep(0)
            client = await RespClient.connect(address)
            scan_server.command_received.clear()
            client.send(submit_command("a2"))
            await scan_server.command_received.wait()
            scan_server.writers[0].write(value_response(b"first"))
            assert await busy.read_reply() == b"first"
            await asyncio.sleep(0.3)  # longer than the grace: open requests are still awaited
            assert not draining.done()
            scan_server.writers[1].write(value_response(b"at last"))
            assert await client.read_reply() == b"at last"
            await draining

    run_scenario(scenario())


def test_action_whose_handler_fails_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, address):
            handle = gateway.policy.handle

            def add_invalid_action(now: int, event: Event) -> list[Action]:
                actions = handle(now, event)
                if isinstance(event, RequestArrived) and event.id == "bad":
                    return [StartAttempt("bad", "s0", timeout_us="soon"), *actions]
                return actions

            gateway.policy.handle = add_invalid_action
            client = await RespClient.connect(address)
            assert await client.request(query_command("bad")) == "-ERR failed"
            assert await client.request(query_command("good")) == b"ok"

    run_scenario(scenario())
    assert "cannot carry out" in caplog.text


def test_counters_agree_with_the_sockets_after_all_kinds_of_outcomes() -> None:
    """Requests in flight, open requests and sockets must not leak: a scan server would seem busy for ever."""

    async def scenario() -> None:
        rng = random.Random(5)
        valid_response, malformed = value_response(b"ok"), b"*9\r\n"
        answers = [
            valid_response,
            valid_response,
            b"-BUSY\r\n",
            b"-ERR failed\r\n",
            b"",
            malformed,
            valid_response * 2,
            None,
        ]
        servers = [StubScanServer(lambda arguments: rng.choice(answers)) for _ in range(3)]
        async with running_gateway(*servers, addresses=[refusing_address()]) as (gateway, address):
            clients = [await RespClient.connect(address) for _ in range(20)]
            for number in range(200):
                make_command = query_command if number % 3 else submit_command
                clients[number % 20].send(make_command(f"a{number}", wait_ms=400))
            for client in clients[:5]:
                client.writer.close()  # with requests open
            for client in clients[5:]:
                for _ in range(10):
                    assert await client.read_reply() is not None
            policy = gateway.policy
            while (
                gateway.exchanges.unanswered or gateway.exchanges.answered_in_flight or policy.requests_by_id
            ):
                await asyncio.sleep(0.01)
            assert policy.overload.in_flight == 0 and not any(
                server.in_flight for server in policy.servers_by_name.values()
            )
            assert not policy.queue and not policy.admission.waiting and gateway.exchanges.buffered_bytes == 0
            assert all(customer.in_flight == 0 for customer in policy.customers.by_key.values())
            pools = gateway.backends.pools.values()
            while gateway.backends.connection_count() > sum(len(pool.idle) for pool in pools):
                await asyncio.sleep(0.01)  # the event loop closes aborted connections later
            assert not any(pool.connecting or pool.waiting for pool in pools)
            assert gateway.clients.sockets == len(gateway.clients.connections) == 15

    run_scenario(scenario())
