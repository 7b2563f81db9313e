"""Followers: the same instances and generations as the primary, despite failures of their source."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from aiohttp import ClientSession, ClientTimeout, web
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.test_registry_store import UNIX_MS, make_instance
from thistletrail.registry import follower as follower_module
from thistletrail.registry.errors import MalformedResponseError
from thistletrail.registry.follower import Follower, Replica
from thistletrail.registry.http_service import READ_PATH, ReadService, RegistryService
from thistletrail.registry.instance import Lifecycle
from thistletrail.registry.limits import MAX_HISTORY
from thistletrail.registry.store import Store
from thistletrail.registry.watch_update import WatchUpdate, decode_update

WAIT_TIMEOUT_S = 20.0


@asynccontextmanager
async def running_service(service: ReadService, port: int = 0) -> AsyncIterator[str]:
    """Run a service and yield its address as HOST:PORT; port 0 takes a free one."""
    runner = web.AppRunner(service.app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, reuse_address=True).start()
    yield "{}:{}".format(*runner.addresses[0])
    await runner.cleanup()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition is true; raises `TimeoutError` after `WAIT_TIMEOUT_S`."""

    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), WAIT_TIMEOUT_S)


async def request_json(address: str, path: str = READ_PATH, method: str = "GET") -> tuple[int, dict]:
    async with (
        ClientSession(timeout=ClientTimeout(WAIT_TIMEOUT_S)) as session,
        session.request(method, f"http://{address}{path}") as response,
    ):
        return response.status, await response.json()


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.fixture(autouse=True)
def short_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower_module, "BACKOFF_S", 0.02)
    monkeypatch.setattr(follower_module, "MAX_BACKOFF_S", 0.1)


def register(service: RegistryService, name: str, **changes: object) -> None:
    service.store.register(make_instance(name, **changes), 0)
    service.notify_watchers()


def test_a_follower_and_its_follower_have_the_same_instances_and_generations(tmp_path: Path) -> None:
    async def scenario() -> None:
        primary = RegistryService(tmp_path)
        register(primary, "s-1")
        async with running_service(primary) as primary_address:
            follower = Follower(primary_address, random.Random(1))
            async with running_service(follower) as follower_address:
                second_follower = Follower(follower_address, random.Random(2))
                async with running_service(second_follower) as second_address:
                    for name in ("s-2", "s-3"):
                        register(primary, name)
                    primary.store.deregister("s-1")
                    primary.notify_watchers()
                    await wait_until(lambda: second_follower.replica.generation == primary.store.generation)
                    lists = [
                        await request_json(address)
                        for address in (primary_address, follower_address, second_address)
                    ]
                    assert lists[0] == lists[1] == lists[2]
                    status, body = await request_json(second_address, "/instances/s-2", "DELETE")
                    assert status == 403 and follower_address in body["error"]
                    status, body = await request_json(follower_address, "/status")
                    assert body["role"] == "follower" and 0 <= body["age_ms"] < 10_000

    run_scenario(scenario)


def test_a_follower_serves_its_replica_while_the_primary_is_down_and_reports_its_age(tmp_path: Path) -> None:
    async def scenario() -> None:
        primary = RegistryService(tmp_path)
        register(primary, "s-1")
        runner = web.AppRunner(primary.app, access_log=None, shutdown_timeout=1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        follower = Follower(f"127.0.0.1:{port}", random.Random(1))
        async with running_service(follower) as follower_address:
            await wait_until(lambda: follower.replica.generation == primary.store.generation)
            list_before = await request_json(follower_address)
            await runner.cleanup()
            await asyncio.sleep(0.3)
            assert await request_json(follower_address) == list_before
            assert (await request_json(follower_address, "/status"))[1]["age_ms"] >= 250
            restarted = RegistryService(tmp_path)  # it has its data, so the watch resumes
            async with running_service(restarted, port):
                register(restarted, "s-2")
                await wait_until(lambda: follower.replica.generation == restarted.store.generation)
                assert set(follower.replica.instances) == {"s-1", "s-2"}

    run_scenario(scenario)


def test_the_history_of_a_primary_that_lost_its_data_replaces_the_replica(tmp_path: Path) -> None:
    async def scenario() -> None:
        primary = RegistryService(tmp_path / "a")
        register(primary, "s-1")
        follower = Follower("127.0.0.1:1", random.Random(1))
        async with running_service(follower) as follower_address:
            status, body = await request_json(follower_address)
            assert status == 503 and body["error"] == "no endpoint list has been received yet"
            async with running_service(primary) as primary_address:
                follower.source = primary_address
                await wait_until(lambda: follower.replica.generation == primary.store.generation)
            port = int(primary_address.rpartition(":")[2])
            await asyncio.sleep(0.01)
            new_primary = RegistryService(tmp_path / "b")
            assert new_primary.store.generation > primary.store.generation
            async with running_service(new_primary, port):
                await wait_until(lambda: follower.replica.generation == new_primary.store.generation)
                assert follower.replica.instances == {}  # an empty endpoint list is valid
                assert (await request_json(follower_address))[1]["instances"] == []

    run_scenario(scenario)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nnope\n\r\n",
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{"generation":1,"reset":true,"ins',
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"SSH-2.0-nonsense\r\n\r\n",
        b"",
    ],
)
def test_a_malformed_response_of_the_source_leaves_the_replica_unchanged(response: bytes) -> None:
    async def scenario() -> None:
        request_count = 0

        async def send_malformed_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal request_count
            request_count += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            writer.close()

        server = await asyncio.start_server(send_malformed_response, "127.0.0.1", 0)
        follower = Follower("127.0.0.1:{1}".format(*server.sockets[0].getsockname()), random.Random(1))
        follower.replica.apply(WatchUpdate(5, True, (make_instance("s-1"),)))
        async with running_service(follower) as follower_address:
            await wait_until(lambda: request_count >= 3)  # the follower keeps retrying
            status, body = await request_json(follower_address)
            assert status == 200 and body["generation"] == 5 and len(body["instances"]) == 1
        server.close()

    run_scenario(scenario)


def test_changes_from_a_stale_source_are_never_applied_over_newer_ones() -> None:
    replica = Replica()
    assert replica.apply(WatchUpdate(50, True, (make_instance("s-1"),)))
    assert not replica.apply(WatchUpdate(40, False, (make_instance("s-1", lifecycle=Lifecycle.DELETED),)))
    assert not replica.apply(WatchUpdate(50, False, (make_instance("s-2"),)))
    assert replica.generation == 50 and set(replica.instances) == {"s-1"}
    # A complete list replaces the replica even at an older generation, as from another replica.
    assert replica.apply(WatchUpdate(30, True, ()))
    assert replica.generation == 30 and replica.update_after(50).is_reset


def test_the_history_of_a_replica_is_bounded() -> None:
    replica = Replica()
    replica.apply(WatchUpdate(0, True, ()))
    for generation in range(1, MAX_HISTORY + 50):
        replica.apply(WatchUpdate(generation, False, (make_instance("s-1", started_ms=generation),)))
    assert len(replica.history) == MAX_HISTORY and replica.update_after(1).is_reset
    assert not replica.update_after(replica.floor).is_reset


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"[]",
        b'{"generation":"x","reset":true,"instances":[]}',
        b'{"generation":-1,"reset":true,"instances":[]}',
        b'{"generation":1,"reset":1,"instances":[]}',
        b'{"generation":1,"reset":true,"instances":[7]}',
        b'{"generation":1,"reset":true,"instances":[{"instanceId":"a","lifecycle":"SERVING"}]}',
        b"[" * 100_000,
    ],
)
def test_a_malformed_update_is_rejected(line: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        decode_update(line)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.booleans(), st.booleans()), max_size=40), st.integers(0, 1 << 30)
)
def test_a_reader_that_switches_between_primary_and_follower_has_the_instances_of_its_source(
    steps: list[tuple[int, bool, bool]], seed: int
) -> None:
    """The follower may lag behind the primary, and the reader may have missed any updates of either."""
    store, replica, generator = Store(UNIX_MS, 0), Replica(), random.Random(seed)
    replica.apply(store.full_update())
    reader_generation = -1
    reader_instances = {}
    for index, (number, deregisters, updates_replica) in enumerate(steps):
        instance_id = f"s-{number}"
        if deregisters and instance_id in store.instances:
            store.deregister(instance_id)
        else:
            store.register(make_instance(instance_id, started_ms=index), 0)
        if updates_replica:
            replica.apply(store.update_after(replica.generation))
        source = replica if generator.random() < 0.5 else store
        if source.generation < reader_generation:
            continue  # readers do not read from a source that is behind them
        update = source.update_after(reader_generation)
        reader_instances = {} if update.is_reset else reader_instances
        for entry in update.instances:
            reader_instances[entry.id] = replace(entry, generation=0)
            if entry.lifecycle == Lifecycle.DELETED:
                del reader_instances[entry.id]
        reader_generation = update.generation
        assert reader_instances == {
            entry_id: replace(entry, generation=0) for entry_id, entry in source.instances.items()
        }


def test_a_follower_of_a_registry_that_is_being_filled_retries_at_its_retry_after(tmp_path: Path) -> None:
    """Retrying with backoff instead kept the readers of the follower waiting for up to 5 s longer."""

    async def scenario() -> None:
        primary, reads = RegistryService(tmp_path, 1.0), []
        require_available = primary.require_available
        primary.require_available = lambda: (reads.append(1), require_available())[1]
        async with running_service(primary) as address:
            async with ClientSession() as session, session.get(f"http://{address}{READ_PATH}") as response:
                assert response.status == 503 and response.headers["Retry-After"] == "1"
            reads.clear()
            follower = Follower(address, random.Random(1))
            async with running_service(follower):
                await wait_until(lambda: follower.replica.generation == primary.store.generation)
                assert len(reads) == 2

    run_scenario(scenario)


@pytest.mark.parametrize(
    "retry_after, expected_delays_s", [("7", [7.0]), ("900", [30.0]), ("soon", [0.0]), ("-3", [0.0])]
)
def test_retry_after_is_bounded_and_a_malformed_one_is_ignored(
    retry_after: str, expected_delays_s: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async def reject(_: web.Request) -> web.Response:
            return web.Response(status=503, headers={"Retry-After": retry_after})

        class LowestDraw(random.Random):
            def uniform(self, low: float, high: float) -> float:
                return low

        delays_s: list[float] = []
        has_slept = asyncio.Event()

        async def sleep(seconds: float) -> None:
            delays_s.append(seconds)
            has_slept.set()
            await asyncio.Event().wait()

        source = ReadService(Replica())
        app = web.Application()
        app.router.add_get(READ_PATH, reject)
        source.app = app
        async with running_service(source) as address:
            follower = Follower(address, LowestDraw())
            monkeypatch.setattr(follower_module.asyncio, "sleep", sleep)
            task = asyncio.get_running_loop().create_task(follower.follow())
            await asyncio.wait_for(has_slept.wait(), WAIT_TIMEOUT_S)
            monkeypatch.undo()
            task.cancel()
            assert delays_s == expected_delays_s

    run_scenario(scenario)
