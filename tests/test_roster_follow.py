"""Followers: the same list under the same generations, over failures of the one they follow."""

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

from tests.test_roster_store import UNIX_MS, instance
from thistletrail.benchmarks.process import free_port
from thistletrail.registry import follow
from thistletrail.registry.follow import Copy, Follower, read_news
from thistletrail.registry.server import READ_PATH, Reader, Service
from thistletrail.registry.store import DELETED, MOST_HISTORY, News, RefusedError, Store

WAIT_S = 20.0


@asynccontextmanager
async def up(service: Reader, port: int | None = None) -> AsyncIterator[str]:
    """A service that listens while the block lasts, at a port that it can have again later in the test."""
    runner = web.AppRunner(service.app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port or free_port(), reuse_address=True).start()
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


def play(act: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(act(), 60))


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follow, "BACKOFF_S", 0.02)
    monkeypatch.setattr(follow, "MOST_BACKOFF_S", 0.1)


def register(service: Service, name: str, **changes: object) -> None:
    service.store.register(instance(name, **changes), 0)
    service.wake()


def test_a_follower_and_its_follower_have_the_same_list_and_generations(tmp_path: Path) -> None:
    async def act() -> None:
        first = Service(tmp_path)
        register(first, "s-1")
        async with up(first) as one:
            second = Follower(one, random.Random(1))
            async with up(second) as two:
                third = Follower(two, random.Random(2))
                async with up(third) as three:
                    for name in ("s-2", "s-3"):
                        register(first, name)
                    first.store.leave("s-1")
                    first.wake()
                    await until(lambda: third.copy.generation == first.store.generation)
                    lists = [await get(address) for address in (one, two, three)]
                    assert lists[0] == lists[1] == lists[2]
                    status, said = await get(three, "/instances/s-2", "DELETE")
                    assert status == 403 and two in said["error"]
                    status, said = await get(two, "/status")
                    assert said["role"] == "follower" and 0 <= said["age_ms"] < 10_000

    play(act)


def test_a_follower_holds_its_list_while_the_first_is_away_and_says_how_old_it_is(tmp_path: Path) -> None:
    async def act() -> None:
        first = Service(tmp_path)
        register(first, "s-1")
        runner = web.AppRunner(first.app, access_log=None, shutdown_timeout=1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", free_port(), reuse_address=True).start()
        port = runner.addresses[0][1]
        second = Follower(f"127.0.0.1:{port}", random.Random(1))
        async with up(second) as two:
            await until(lambda: second.copy.generation == first.store.generation)
            held = await get(two)
            await runner.cleanup()
            await asyncio.sleep(0.3)
            assert await get(two) == held
            assert (await get(two, "/status"))[1]["age_ms"] >= 250
            again = Service(tmp_path)  # it is back with its data, and the watch goes on from there
            async with up(again, port):
                register(again, "s-2")
                await until(lambda: second.copy.generation == again.store.generation)
                assert set(second.copy.instances) == {"s-1", "s-2"}

    play(act)


def test_a_first_one_that_lost_its_data_is_another_history_and_replaces_all(tmp_path: Path) -> None:
    async def act() -> None:
        first = Service(tmp_path / "a")
        register(first, "s-1")
        second = Follower("127.0.0.1:1", random.Random(1))
        async with up(second) as two:
            status, said = await get(two)
            assert status == 503 and said["error"] == "no list has come yet"
            async with up(first) as one:
                second.source = one
                await until(lambda: second.copy.generation == first.store.generation)
            port = int(one.rpartition(":")[2])
            await asyncio.sleep(0.01)
            fresh = Service(tmp_path / "b")
            assert fresh.store.generation > first.store.generation
            async with up(fresh, port):
                await until(lambda: second.copy.generation == fresh.store.generation)
                assert second.copy.instances == {}  # an empty list is a list
                assert (await get(two))[1]["instances"] == []

    play(act)


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
def test_nonsense_from_the_other_is_borne_and_the_list_stays(answer: bytes) -> None:
    async def act() -> None:
        calls = 0

        async def nonsense(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(nonsense, "127.0.0.1", 0)
        second = Follower("127.0.0.1:{1}".format(*server.sockets[0].getsockname()), random.Random(1))
        second.copy.take(News(5, True, (instance("s-1"),)))
        async with up(second) as two:
            await until(lambda: calls >= 3)  # it goes on trying
            status, whole = await get(two)
            assert status == 200 and whole["generation"] == 5 and len(whole["instances"]) == 1
        server.close()

    play(act)


def test_changes_from_a_stale_source_are_never_laid_over_newer_ones() -> None:
    copy = Copy()
    assert copy.take(News(50, True, (instance("s-1"),)))
    assert not copy.take(News(40, False, (instance("s-1", lifecycle=DELETED),)))
    assert not copy.take(News(50, False, (instance("s-2"),)))
    assert copy.generation == 50 and set(copy.instances) == {"s-1"}
    assert copy.take(News(30, True, ()))  # older data from a copy, told as a whole list: it is what holds now
    assert copy.generation == 30 and copy.after(50).reset


def test_what_a_follower_holds_is_bounded() -> None:
    copy = Copy()
    copy.take(News(0, True, ()))
    for generation in range(1, MOST_HISTORY + 50):
        copy.take(News(generation, False, (instance("s-1", started_ms=generation),)))
    assert len(copy.history) == MOST_HISTORY and copy.after(1).reset
    assert not copy.after(copy.floor).reset


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
def test_a_message_that_makes_no_sense_is_refused(line: bytes) -> None:
    with pytest.raises(RefusedError):
        read_news(line)


@options(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.booleans(), st.booleans()), max_size=40), st.integers(0, 1 << 30)
)
def test_a_reader_that_changes_between_first_and_follower_ends_with_the_list(
    steps: list[tuple[int, bool, bool]], seed: int
) -> None:
    """Whoever it reads from, whatever it missed: a follower takes messages late, a reader takes either's."""
    store, copy, chance = Store(UNIX_MS, 0), Copy(), random.Random(seed)
    copy.take(store.whole())
    held, seen = -1, {}
    for at, (number, leaves, follows) in enumerate(steps):
        name = f"s-{number}"
        if leaves and name in store.instances:
            store.leave(name)
        else:
            store.register(instance(name, started_ms=at), 0)
        if follows:
            copy.take(store.after(copy.generation))
        source = copy if chance.random() < 0.5 else store
        if source.generation < held:
            continue  # it knows better: it does not read from a staler one
        news = source.after(held)
        seen = {} if news.reset else seen
        for one in news.instances:
            seen[one.id] = replace(one, generation=0)
            if one.lifecycle == DELETED:
                del seen[one.id]
        held = news.generation
        assert seen == {name: replace(one, generation=0) for name, one in source.instances.items()}


def test_a_follower_of_a_service_that_is_filled_comes_when_it_is_told_to(tmp_path: Path) -> None:
    """And not after a wait drawn anew each time: that was up to 5 s on top, for all behind the follower."""

    async def act() -> None:
        first, reads = Service(tmp_path, 1.0), []
        ready = first.ready
        first.ready = lambda: (reads.append(1), ready())[1]
        async with up(first) as one:
            async with ClientSession() as session, session.get(f"http://{one}{READ_PATH}") as answer:
                assert answer.status == 503 and answer.headers["Retry-After"] == "1"
            reads.clear()
            second = Follower(one, random.Random(1))
            async with up(second):
                await until(lambda: second.copy.generation == first.store.generation)
                assert len(reads) == 2

    play(act)


@pytest.mark.parametrize("said, waits", [("7", [7.0]), ("900", [30.0]), ("soon", [0.0]), ("-3", [0.0])])
def test_when_to_come_again_is_bounded_and_nonsense_is_no_time(
    said: str, waits: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act() -> None:
        async def later(_: web.Request) -> web.Response:
            return web.Response(status=503, headers={"Retry-After": said})

        class Low(random.Random):
            def uniform(self, low: float, high: float) -> float:
                return low

        slept: list[float] = []
        stop = asyncio.Event()

        async def sleep(seconds: float) -> None:
            slept.append(seconds)
            stop.set()
            await asyncio.Event().wait()

        first = Reader(Copy())
        app = web.Application()
        app.router.add_get(READ_PATH, later)
        first.app = app
        async with up(first) as one:
            second = Follower(one, Low())
            monkeypatch.setattr(follow.asyncio, "sleep", sleep)
            task = asyncio.get_running_loop().create_task(second.follow())
            await asyncio.wait_for(stop.wait(), WAIT_S)
            monkeypatch.undo()
            task.cancel()
            assert slept == waits

    play(act)
