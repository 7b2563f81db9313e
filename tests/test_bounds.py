"""What requests, connections and customers may take, held without a clock."""

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

from tests.helpers import MS, PLAN, SETTINGS, S, World, servers
from tests.sockets import PATIENT, PATIENT_MS, Backend, Client, query, run, running_gateway, value
from thistletrail.gateway import backends
from thistletrail.gateway.backends import Attempt
from thistletrail.gateway.exchange import Exchange
from thistletrail.policy.actions import SetTimer
from thistletrail.policy.events import Event, TimerFired
from thistletrail.policy.pending_request import PendingRequest

ROOT = Path(__file__).parent.parent
# Bytes in the program's own lines for a connection that has gone quiet, the transport included. As measured:
# 1,600 with uvloop 0.23 (2,450 with a deque for its replies, 1,750 with no slots); the rest is room.
IDLE_CONNECTION = 2000
# Of a customer seen once, in the module: about 650, and room for dictionaries that have just grown.
CUSTOMER = 1200


def kept(place: str) -> Callable[[], int]:
    """Tells, when called, the bytes that lines there have allocated from now on and that are still there."""
    only = [tracemalloc.Filter(True, str(ROOT / place))]

    def taken() -> tracemalloc.Snapshot:
        gc.collect()
        return tracemalloc.take_snapshot().filter_traces(only)

    before = taken()
    return lambda: sum(found.size_diff for found in taken().compare_to(before, "filename"))


@pytest.fixture
def traced() -> object:
    tracemalloc.start()
    yield
    tracemalloc.stop()


def test_quiet_connection_keeps_few_bytes(traced: None) -> None:
    count = 200

    async def job() -> None:
        async with running_gateway(Backend(), sockets=512, settings=PATIENT) as (_, address):
            for number in range(20):  # what the first requests bring into being is nobody's
                await (await Client.open(address)).ask(query(f"w{number}", wait_ms=PATIENT_MS))
            found = kept("thistletrail/gateway/clients.py")
            clients = [await Client.open(address) for _ in range(count)]
            for number, client in enumerate(clients):
                assert await client.ask(query(f"a{number}", wait_ms=PATIENT_MS)) == b"ok"
            assert 0 < found() / count < IDLE_CONNECTION

    run(job())


def customers(world: World, start: int, count: int) -> None:
    """Each asks once and is answered."""
    for number in range(start, start + count):
        world.ask(f"r{number}", customer=f"c{number}")
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
        world.log.clear()
        world.tries.clear()


def test_customer_seen_once_keeps_few_bytes(traced: None) -> None:
    world = World()
    customers(world, 0, 100)
    count = 2000
    found = kept("thistletrail/policy/*")
    customers(world, 100, count)
    assert 0 < found() / count < CUSTOMER


def test_ten_thousand_customers_that_come_once_leave_nothing() -> None:
    """They are kept until their stores are full again, and not one longer."""
    world = World(replace(SETTINGS, plans=(replace(PLAN, rate=1000.0),)), servers(4))
    gateway, most = world.gateway, 0
    for start in range(0, 10_000, 100):
        customers(world, start, 100)
        world.run(S)
        world.log.clear()
        most = max(most, len(gateway.customers.by_key))
    assert most <= 100 * (gateway.customers.retention_us // S + 2)
    world.run(gateway.customers.retention_us + 3 * S)
    assert not gateway.customers.by_key and not gateway.customers.first_keys
    assert (
        not gateway.requests_by_id
        and not gateway.queue
        and not gateway.admission.waiting
        and not gateway.exchange.outgoing
    )


def living(*kinds: type) -> list[object]:
    gc.collect()
    return [found for found in gc.get_objects() if isinstance(found, kinds)]


def test_request_leaves_no_task_timer_or_record_behind() -> None:
    """A timer that is left holds what it would call, and so the request."""

    async def job() -> None:
        def answer(words: list[bytes]) -> bytes | None:
            return {b"b": b"-ERR failed\r\n", b"c": b"", b"z": None}.get(words[2][:1], value(b"ok"))

        backend = Backend(answer)
        async with running_gateway(backend) as (gateway, address):
            client = await Client.open(address)
            assert await client.ask(query("a0")) == b"ok"
            before = asyncio.all_tasks()
            for number in range(20):
                assert await client.ask(query(f"a{number + 1}")) == b"ok"
            assert str(await client.ask(query("b1"))).startswith("-")
            assert str(await client.ask(query("c1"))).startswith("-")
            leaving = await Client.open(address)
            leaving.send(query("z1"))
            await backend.received(1, b"z1")
            leaving.writer.close()
            while (
                gateway.exchanges.unanswered
                or gateway.exchanges.answered_in_flight
                or gateway.policy.requests_by_id
            ):
                await asyncio.sleep(0.001)
            ours = {
                task
                for task in asyncio.all_tasks() - before
                if "thistletrail/gateway" in repr(task.get_coro())
            }
            assert not ours
            assert not living(Exchange, Attempt, PendingRequest)

    run(job())


@pytest.mark.parametrize(("at_once", "rounds"), [(1, 40), (8, 5)])
def test_handshakes_and_descriptors_for_a_load(
    at_once: int, rounds: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As many connections to a backend as were out at once, however many requests there are."""
    monkeypatch.setattr(backends, "REUSE_DELAY_US", 0)

    async def job() -> None:
        backend = Backend()
        async with running_gateway(backend) as (gateway, address):
            clients = [await Client.open(address) for _ in range(at_once)]
            for turn in range(rounds):
                for number, client in enumerate(clients):
                    client.send(query(f"a{turn}x{number}"))
                assert [await client.answer() for client in clients] == [b"ok"] * at_once
            assert gateway.costs.requests == at_once * rounds
            assert gateway.costs.handshakes == backend.opened <= at_once
            assert gateway.backends.connection_count() <= at_once and gateway.clients.sockets == at_once

    run(job())


def test_start_loads_no_module_for_little() -> None:
    """What is loaded stays for good, in each of the fleet's front doors."""
    code = (
        "import sys, thistletrail.gateway.__main__\n"
        "print([name for name in ('pathlib', 'urllib', 'email') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_module_has_one_timer_at_a_time() -> None:
    """An idle one waits for the end of its period; each request sets a nearer one, which takes its place."""

    async def job() -> None:
        async with running_gateway(Backend()) as (gateway, _):
            for _ in range(10):
                gateway.driver.set_timer(SetTimer(900 * MS, 0))
                gateway.driver.set_timer(SetTimer(500 * MS, 0))
            pending = [
                found
                for found in living(uvloop.loop.TimerHandle)
                if "PolicyDriver.fire_when_due" in repr(found)
            ]
            assert len(pending) == 1 and list(gateway.driver.timers) == [0]
            rung: list[Event] = []
            gateway.driver.post = rung.append
            gateway.driver.set_timer(SetTimer(0, 0))
            assert rung == [TimerFired(0)] and not gateway.driver.timers

    run(job())
