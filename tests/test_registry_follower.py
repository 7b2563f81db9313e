"""Followers: the same instances under the same generations, over failures of the registry they follow."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from aiohttp import ClientSession, ClientTimeout, web
from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st

from tests.test_registry_store import UNIX_MS, instance
from thistletrail.registry import follower
from thistletrail.registry.errors import MalformedResponseError
from thistletrail.registry.follower import Follower, Replica
from thistletrail.registry.http_service import READ_PATH, ReadService, RegistryService
from thistletrail.registry.instance import Lifecycle
from thistletrail.registry.limits import MAX_HISTORY
from thistletrail.registry.store import Store
from thistletrail.registry.watch_update import WatchUpdate, decode_update

WAIT_S = 20.0


@asynccontextmanager
async def running_service(service: ReadService, port: int = 0) -> AsyncIterator[str]:
    runner = web.AppRunner(service.app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, reuse_address=True).start()
    yield "{}:{}".format(*runner.addresses[0])
    await runner.cleanup()


async def until(holds: Callable[[], bool]) -> None:
    async def poll() -> None:
        while not holds():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), WAIT_S)


async def get(address: str, path: str = READ_PATH, method: str = "GET") -> tuple[int, dict]:
    async with (
        ClientSession(timeout=ClientTimeout(WAIT_S)) as session,
        session.request(method, f"http://{address}{path}") as answer,
    ):
        return answer.status, await answer.json()


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.fixture(autouse=True)
def short_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower, "BACKOFF_S", 0.02)
    monkeypatch.setattr(follower, "MAX_BACKOFF_S", 0.1)


def register(service: RegistryService, name: str, **changes: object) -> None:
    service.store.register(instance(name, **changes), 0)
    service.notify_watchers()


def test_a_follower_and_its_follower_have_the_same_instances_and_generations(tmp_path: Path) -> None:
    async def scenario() -> None:
        first = RegistryService(tmp_path)
        register(first, "s-1")
        async with running_service(first) as one:
            second = Follower(one, random.Random(1))
            async with running_service(second) as two:
                third = Follower(two, random.Random(2))
                async with running_service(third) as three:
                    for name in ("s-2", "s-3"):
                        register(first, name)
                    first.store.deregister("s-1")
                    first.notify_watchers()
                    await until(lambda: third.replica.generation == first.store.generation)
                    lists = [await get(address) for address in (one, two, three)]
                    assert lists[0] == lists[1] == lists[2]
                    status, said = await get(three, "/instances/s-2", "DELETE")
                    assert status == 403 and two in said["error"]
                    status, said = await get(two, "/status")
                    assert said["role"] == "follower" and 0 <= said["age_ms"] < 10_000

    run_scenario(scenario)


def test_a_follower_serves_its_replica_while_the_primary_is_away_and_reports_its_age(tmp_path: Path) -> None:
    async def scenario() -> None:
        first = RegistryService(tmp_path)
        register(first, "s-1")
        runner = web.AppRunner(first.app, access_log=None, shutdown_timeout=1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        second = Follower(f"127.0.0.1:{port}", random.Random(1))
        async with running_service(second) as two:
            await until(lambda: second.replica.generation == first.store.generation)
            known = await get(two)
            await runner.cleanup()
            await asyncio.sleep(0.3)
            assert await get(two) == known
            assert (await get(two, "/status"))[1]["age_ms"] >= 250
            again = RegistryService(tmp_path)  # it is back with its data, and the watch goes on from there
            async with running_service(again, port):
                register(again, "s-2")
                await until(lambda: second.replica.generation == again.store.generation)
                assert set(second.replica.instances) == {"s-1", "s-2"}

    run_scenario(scenario)


def test_a_primary_that_lost_its_data_has_another_history_that_replaces_all(tmp_path: Path) -> None:
    async def scenario() -> None:
        first = RegistryService(tmp_path / "a")
        register(first, "s-1")
        second = Follower("127.0.0.1:1", random.Random(1))
        async with running_service(second) as two:
            status, said = await get(two)
            assert status == 503 and said["error"] == "no endpoint list has been received yet"
            async with running_service(first) as one:
                second.source = one
                await until(lambda: second.replica.generation == first.store.generation)
            port = int(one.rpartition(":")[2])
            await asyncio.sleep(0.01)
            fresh = RegistryService(tmp_path / "b")
            assert fresh.store.generation > first.store.generation
            async with running_service(fresh, port):
                await until(lambda: second.replica.generation == fresh.store.generation)
                assert second.replica.instances == {}  # an empty endpoint list is a valid one
                assert (await get(two))[1]["instances"] == []

    run_scenario(scenario)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nnope\n\r\n",
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{"generation":1,"reset":true,"ins',
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"SSH-2.0-nonsense\r\n\r\n",
        b"",
    ],
)
def test_a_malformed_response_of_the_source_leaves_the_replica_as_it_is(answer: bytes) -> None:
    async def scenario() -> None:
        calls = 0

        async def answer_malformed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(answer_malformed, "127.0.0.1", 0)
        second = Follower("127.0.0.1:{1}".format(*server.sockets[0].getsockname()), random.Random(1))
        second.replica.apply(WatchUpdate(5, True, (instance("s-1"),)))
        async with running_service(second) as two:
            await until(lambda: calls >= 3)  # it goes on attempting
            status, response_body = await get(two)
            assert status == 200 and response_body["generation"] == 5 and len(response_body["instances"]) == 1
        server.close()

    run_scenario(scenario)


def test_changes_from_a_stale_source_are_never_applied_over_newer_ones() -> None:
    replica = Replica()
    assert replica.apply(WatchUpdate(50, True, (instance("s-1"),)))
    assert not replica.apply(WatchUpdate(40, False, (instance("s-1", lifecycle=Lifecycle.DELETED),)))
    assert not replica.apply(WatchUpdate(50, False, (instance("s-2"),)))
    assert replica.generation == 50 and set(replica.instances) == {"s-1"}
    # An older generation as a complete list, from another replica, replaces what this one has.
    assert replica.apply(WatchUpdate(30, True, ()))
    assert replica.generation == 30 and replica.update_after(50).is_reset


def test_the_history_of_a_replica_is_bounded() -> None:
    replica = Replica()
    replica.apply(WatchUpdate(0, True, ()))
    for generation in range(1, MAX_HISTORY + 50):
        replica.apply(WatchUpdate(generation, False, (instance("s-1", started_ms=generation),)))
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


@options(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.booleans(), st.booleans()), max_size=40), st.integers(0, 1 << 30)
)
def test_a_reader_that_changes_between_primary_and_follower_ends_with_the_same_instances(
    steps: list[tuple[int, bool, bool]], seed: int
) -> None:
    """Whoever it reads from and whatever it missed: a follower applies updates late, a reader either's."""
    store, replica, chance = Store(UNIX_MS, 0), Replica(), random.Random(seed)
    replica.apply(store.full_update())
    known = -1
    seen = {}
    for at, (number, leaves, follows) in enumerate(steps):
        name = f"s-{number}"
        if leaves and name in store.instances:
            store.deregister(name)
        else:
            store.register(instance(name, started_ms=at), 0)
        if follows:
            replica.apply(store.update_after(replica.generation))
        source = replica if chance.random() < 0.5 else store
        if source.generation < known:
            continue  # a reader does not read from a source that is behind it
        update = source.update_after(known)
        seen = {} if update.is_reset else seen
        for one in update.instances:
            seen[one.id] = replace(one, generation=0)
            if one.lifecycle == Lifecycle.DELETED:
                del seen[one.id]
        known = update.generation
        assert seen == {name: replace(one, generation=0) for name, one in source.instances.items()}


def test_a_follower_of_a_registry_that_is_being_filled_retries_at_its_retry_after(tmp_path: Path) -> None:
    """Not after a delay drawn anew each time, which was up to 5 s more for all who read from the follower."""

    async def scenario() -> None:
        first, reads = RegistryService(tmp_path, 1.0), []
        require_available = first.require_available
        first.require_available = lambda: (reads.append(1), require_available())[1]
        async with running_service(first) as one:
            async with ClientSession() as session, session.get(f"http://{one}{READ_PATH}") as answer:
                assert answer.status == 503 and answer.headers["Retry-After"] == "1"
            reads.clear()
            second = Follower(one, random.Random(1))
            async with running_service(second):
                await until(lambda: second.replica.generation == first.store.generation)
                assert len(reads) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("said, waits", [("7", [7.0]), ("900", [30.0]), ("soon", [0.0]), ("-3", [0.0])])
def test_retry_after_is_bounded_and_a_malformed_one_is_ignored(
    said: str, waits: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async def later(_: web.Request) -> web.Response:
            return web.Response(status=503, headers={"Retry-After": said})

        class LowestDraw(random.Random):
            def uniform(self, low: float, high: float) -> float:
                return low

        slept: list[float] = []
        stop = asyncio.Event()

        async def sleep(seconds: float) -> None:
            slept.append(seconds)
            stop.set()
            await asyncio.Event().wait()

        first = ReadService(Replica())
        app = web.Application()
        app.router.add_get(READ_PATH, later)
        first.app = app
        async with running_service(first) as one:
            second = Follower(one, LowestDraw())
            monkeypatch.setattr(follower.asyncio, "sleep", sleep)
            task = asyncio.get_running_loop().create_task(second.follow())
            await asyncio.wait_for(stop.wait(), WAIT_S)
            monkeypatch.undo()
            task.cancel()
            assert slept == waits

    run_scenario(scenario)
