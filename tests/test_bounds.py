"""Bounds on the memory, objects and connections that requests and customers use, without measuring time."""

import asyncio
import gc
import subprocess
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
import uvloop

from tests.helpers import MILLISECOND_US, PLAN, SECOND_US, SETTINGS, GatewayHarness, servers
from tests.sockets import (
    CONFIG,
    LONG_TIMEOUT_MS,
    LONG_TIMEOUT_SETTINGS,
    RespClient,
    StubScanServer,
    query_command,
    run_scenario,
    running_gateway,
    value_response,
)
from thistletrail.gateway import backends
from thistletrail.gateway.backends import Attempt
from thistletrail.gateway.exchange import Exchange
from thistletrail.gateway.recent_request_ids import ID_BYTES
from thistletrail.gateway.resource_limits import CUSTOMER_BYTES, PROCESS_BYTES, ResourceLimits
from thistletrail.policy.actions import SetTimer
from thistletrail.policy.customer_quotas import MAX_OVERSHOOT
from thistletrail.policy.events import Event, TimerFired
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.quota import CustomerKey

ROOT = Path(__file__).parent.parent
# Allocated by lines of the gateway for an idle connection, including the transport. With uvloop 0.23 it is
# 1,600 bytes (2,450 with a deque for the replies, 1,750 without slots).
MAX_IDLE_CONNECTION_BYTES = 2000
# Allocated by the policy for a customer with one request: about 650 bytes, and more just after a dictionary
# has grown.
MAX_CUSTOMER_BYTES = 1200


def allocated_bytes(path_pattern: str) -> Callable[[], int]:
    """Return a function that measures the bytes allocated by these files from now on and not yet freed."""
    filters = [tracemalloc.Filter(True, str(ROOT / path_pattern))]

    def take_snapshot() -> tracemalloc.Snapshot:
        gc.collect()
        return tracemalloc.take_snapshot().filter_traces(filters)

    before = take_snapshot()
    return lambda: sum(statistic.size_diff for statistic in take_snapshot().compare_to(before, "filename"))


@pytest.fixture
def traced_memory() -> object:
    tracemalloc.start()
    yield
    tracemalloc.stop()


def test_memory_of_an_idle_connection_is_bounded(traced_memory: None) -> None:
    count = 200

    async def scenario() -> None:
        async with running_gateway(StubScanServer(), sockets=512, settings=LONG_TIMEOUT_SETTINGS) as (
            _,
            address,
        ):
            # Memory that is allocated only once, by the first requests, is not counted.
            for number in range(20):
                await (await RespClient.connect(address)).request(
                    query_command(f"w{number}", wait_ms=LONG_TIMEOUT_MS)
                )
            measure = allocated_bytes("thistletrail/gateway/client*.py")
            clients = [await RespClient.connect(address) for _ in range(count)]
            for number, client in enumerate(clients):
                assert await client.request(query_command(f"a{number}", wait_ms=LONG_TIMEOUT_MS)) == b"ok"
            assert 0 < measure() / count < MAX_IDLE_CONNECTION_BYTES

    run_scenario(scenario())


def serve_customers(harness: GatewayHarness, start: int, count: int) -> None:
    """Have `count` customers, numbered from `start`, send one request each, and answer it."""
    for number in range(start, start + count):
        harness.send_request(f"r{number}", customer=f"c{number}")
        for name, attempt in list(harness.in_flight):
            harness.complete_attempt(name, attempt=attempt)
        harness.action_log.clear()
        harness.attempt_counts.clear()


def test_memory_of_a_customer_with_one_request_is_bounded(traced_memory: None) -> None:
    harness = GatewayHarness()
    serve_customers(harness, 0, 100)
    count = 2000
    measure = allocated_bytes("thistletrail/policy/*")
    serve_customers(harness, 100, count)
    assert 0 < measure() / count < MAX_CUSTOMER_BYTES


def test_ten_thousand_customers_with_one_request_each_are_all_evicted() -> None:
    """A customer is evicted as soon as its token buckets are full again."""
    harness = GatewayHarness(replace(SETTINGS, plans=(replace(PLAN, rate=1000.0),)), servers(4))
    gateway = harness.engine
    max_customers = 0
    for start in range(0, 10_000, 100):
        serve_customers(harness, start, 100)
        harness.advance(SECOND_US)
        harness.action_log.clear()
        max_customers = max(max_customers, len(gateway.customers.by_key))
    assert max_customers <= 100 * (gateway.customers.retention_us // SECOND_US + 2)
    harness.advance(gateway.customers.retention_us + 3 * SECOND_US)
    assert not gateway.customers.by_key and not gateway.customers.first_keys
    assert (
        not gateway.requests_by_id
        and not gateway.queue
        and not gateway.admission.waiting
        and not gateway.exchange.outgoing
    )


def test_customers_that_clients_name_are_bounded_between_two_periods() -> None:
    # Guards against memory that grows with every new name that a client sends at full speed.
    harness = GatewayHarness()
    harness.engine.customers.max_customers = 50
    serve_customers(harness, 0, 500)
    assert len(harness.engine.customers.by_key) <= 50 * MAX_OVERSHOOT
    assert len(harness.engine.customers.first_keys) <= 50 * MAX_OVERSHOOT


def test_customer_evicted_for_others_does_not_get_a_second_burst() -> None:
    # Guards against exceeding a quota by naming so many other customers that the spending is forgotten.
    harness = GatewayHarness(replace(SETTINGS, plans=(replace(PLAN, rate=1.0, burst=20.0),)), servers(4))
    customers = harness.engine.customers
    customers.max_customers = 50
    key = CustomerKey(1, 0, 0, 1)
    customers.get(key).spend_locally(20.0)
    for number in range(100, 2000):
        if key in customers.by_key:
            customers.get(CustomerKey(number, 0, 0, 1)).spend_locally(1.0)
    assert key not in customers.by_key
    assert customers.get(key).local_bucket.level == 0
    harness.advance(5 * SECOND_US)
    assert customers.get(key).local_bucket.level == pytest.approx(5.0)


def test_customers_that_spent_nothing_are_evicted_before_those_that_did() -> None:
    # Guards against new names that are all rejected making the gateway forget what others have spent.
    harness = GatewayHarness(replace(SETTINGS, plans=(replace(PLAN, rate=1.0, burst=20.0),)), servers(4))
    customers = harness.engine.customers
    customers.max_customers = 50
    spending = [CustomerKey(number, 0, 0, 1) for number in range(40)]
    for key in spending:
        customers.get(key).spend_locally(20.0)
    for number in range(100, 400):
        customers.get(CustomerKey(number, 0, 0, 1))
    assert all(key in customers.by_key for key in spending)
    assert len(customers.by_key) <= 50 * MAX_OVERSHOOT


def live_objects(*classes: type) -> list[object]:
    """Return the objects of these classes that are still referenced."""
    gc.collect()
    return [candidate for candidate in gc.get_objects() if isinstance(candidate, classes)]


def test_finished_requests_leave_no_task_timer_or_object() -> None:
    """A timer that is not cancelled refers to its callback, and so keeps the request in memory."""

    async def scenario() -> None:
        def respond(arguments: list[bytes]) -> bytes | None:
            return {b"b": b"-ERR failed\r\n", b"c": b"", b"z": None}.get(
                arguments[2][:1], value_response(b"ok")
            )

        scan_server = StubScanServer(respond)
        async with running_gateway(scan_server) as (gateway, address):
            client = await RespClient.connect(address)
            assert await client.request(query_command("a0")) == b"ok"
            before = asyncio.all_tasks()
            for number in range(20):
                assert await client.request(query_command(f"a{number + 1}")) == b"ok"
            assert str(await client.request(query_command("b1"))).startswith("-")
            assert str(await client.request(query_command("c1"))).startswith("-")
            disconnecting = await RespClient.connect(address)
            disconnecting.send(query_command("z1"))
            await scan_server.wait_for_commands(1, b"z1")
            disconnecting.writer.close()
            while (
                gateway.exchanges.unanswered
                or gateway.exchanges.answered_in_flight
                or gateway.policy.requests_by_id
            ):
                await asyncio.sleep(0.001)
            gateway_tasks = {
                task
                for task in asyncio.all_tasks() - before
                if "thistletrail/gateway" in repr(task.get_coro())
            }
            assert not gateway_tasks
            assert not live_objects(Exchange, Attempt, PendingRequest)

    run_scenario(scenario())


@pytest.mark.parametrize(("at_once", "rounds"), [(1, 40), (8, 5)])
def test_connections_to_a_server_do_not_exceed_the_attempts_in_flight_at_once(
    at_once: int, rounds: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The number of connections must not grow with the number of requests."""
    monkeypatch.setattr(backends, "REUSE_DELAY_US", 0)

    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(scan_server) as (gateway, address):
            clients = [await RespClient.connect(address) for _ in range(at_once)]
            for turn in range(rounds):
                for number, client in enumerate(clients):
                    client.send(query_command(f"a{turn}x{number}"))
                assert [await client.read_reply() for client in clients] == [b"ok"] * at_once
            assert gateway.costs.requests == at_once * rounds
            assert gateway.costs.handshakes == scan_server.opened_connections <= at_once
            assert gateway.backends.connection_count() <= at_once and gateway.clients.sockets == at_once

    run_scenario(scenario())


def test_gateway_start_does_not_import_pathlib_urllib_or_email() -> None:
    """The gateway hardly uses these modules, but imported ones take memory in every process of the fleet."""
    code = (
        "import sys, thistletrail.gateway.__main__\n"
        "print([name for name in ('pathlib', 'urllib', 'email') if name in sys.modules])"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "[]"


def test_setting_a_policy_timer_replaces_the_previous_one() -> None:
    """The timer of an idle policy is due at the end of its period; a request sets an earlier one instead."""

    async def scenario() -> None:
        async with running_gateway(StubScanServer()) as (gateway, _):
            for _ in range(10):
                gateway.driver.set_timer(SetTimer(900 * MILLISECOND_US, 0))
                gateway.driver.set_timer(SetTimer(500 * MILLISECOND_US, 0))
            pending = [
                timer
                for timer in live_objects(uvloop.loop.TimerHandle)
                if "PolicyDriver.fire_when_due" in repr(timer)
            ]
            assert len(pending) == 1 and list(gateway.driver.timers) == [0]
            fired: list[Event] = []
            gateway.driver.post = fired.append
            gateway.driver.set_timer(SetTimer(0, 0))
            assert fired == [TimerFired(0)] and not gateway.driver.timers

    run_scenario(scenario())


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 128, 192])
def test_buffers_and_customers_fit_into_the_memory_limit_beside_the_process(memory_mb: int) -> None:
    # Guards against shares that exceed a small memory limit, as the process itself takes most of it.
    limits = ResourceLimits.from_config(replace(CONFIG, memory_mb=memory_mb))
    buffer_bytes = limits.request_bytes + limits.client_bytes + limits.answer_bytes
    customer_bytes = limits.customers * MAX_OVERSHOOT * CUSTOMER_BYTES
    id_bytes = limits.recent_ids * ID_BYTES
    assert PROCESS_BYTES + buffer_bytes + customer_bytes + id_bytes <= memory_mb << 20
