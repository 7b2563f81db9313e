"""The list service on loopback: reads as discovery's, writes, watchers that lag, restarts, and nonsense."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from aiohttp import ClientSession, ClientTimeout, web

from thistletrail.registry import server as servers
from thistletrail.registry.server import Service
from thistletrail.registry.store import MOST_HISTORY

ROOT = Path(__file__).parent.parent
READ = "/catalog/members"


def values(port: int = 6000, **changes: object) -> dict[str, object]:
    return {"address": f"127.0.0.1:{port}", "zone": "east", "machine_type": "m1", **changes}


class Client:
    """A session with one service."""

    def __init__(self, service: Service, session: ClientSession, url: str) -> None:
        self.service, self.session, self.url = service, session, url

    async def call(self, method: str, path: str, **more: object) -> tuple[int, dict]:
        async with self.session.request(method, self.url + path, **more) as answer:
            return answer.status, json.loads(await answer.text())

    async def put(self, name: str, port: int, **changes: object) -> int:
        status, said = await self.call("PUT", f"/instances/{name}", json=values(port, **changes))
        assert status == 200, said
        return said["generation"]

    async def watch(self, after: int | str) -> AsyncIterator[dict | None]:
        async with self.session.get(f"{self.url}{READ}?watch=1&after={after}") as answer:
            assert answer.headers["Transfer-Encoding"] == "chunked"
            async for line in answer.content:
                yield json.loads(line) if line.strip() else None


@asynccontextmanager
async def serving(folder: Path, send_buffer: int | None = None) -> AsyncIterator[Client]:
    """A service; `send_buffer` bounds the bytes that the system takes for a reader that reads nothing."""
    service = Service(folder)
    runner = web.AppRunner(service.app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if send_buffer is not None:  # what is accepted inherits it
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    listening.bind(("127.0.0.1", 0))
    await web.SockSite(runner, listening).start()
    async with ClientSession(timeout=ClientTimeout(20)) as session:
        yield Client(service, session, "http://127.0.0.1:{1}".format(*runner.addresses[0]))
    await runner.cleanup()


def play(folder: Path, act: Callable[[Client], Awaitable[None]], send_buffer: int | None = None) -> None:
    async def run() -> None:
        async with serving(folder, send_buffer) as client:
            await act(client)

    asyncio.run(run())


def test_the_whole_list_and_a_watch_are_as_discovery_gives_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(servers, "EMPTY_LINE_S", 0.05)

    async def act(client: Client) -> None:
        first = await client.put("s-1", 6001, cell=3, weight=2, started_ms=7)
        status, whole = await client.call("GET", READ)
        assert status == 200 and whole == {
            "generation": first,
            "reset": True,
            "instances": [
                {
                    "instanceId": "s-1",
                    "hostPort": "127.0.0.1:6001",
                    "zone": "east",
                    "machineType": "m1",
                    "cell": 3,
                    "lifecycle": "SERVING",
                    "weight": 2.0,
                    "startedAtMs": 7,
                }
            ],
        }
        watch = client.watch(first)
        # The first object comes at once, also with nothing in it: the reader knows that it is up to date.
        assert await anext(watch) == {"generation": first, "reset": False, "instances": []}
        assert await anext(watch) is None  # an empty line while nothing changes
        second = await client.put("s-2", 6002)
        news = [line async for line in until(watch, second)][-1]
        assert not news["reset"] and [one["instanceId"] for one in news["instances"]] == ["s-2"]
        assert (
            await client.call("PATCH", "/instances/s-1", json={"generation": first, "lifecycle": "DRAINING"})
        )[0] == 200
        news = [line async for line in until(watch, second + 1)][-1]
        assert news["instances"][0]["lifecycle"] == "DRAINING"
        assert (await client.call("DELETE", "/instances/s-1"))[0] == 200
        news = [line async for line in until(watch, second + 2)][-1]
        assert news["instances"][0]["lifecycle"] == "DELETED"
        await watch.aclose()
        for after in ("41", "", str(2**53 - 1)):  # of another history, of none, from the future
            watch = client.watch(after)
            assert (await anext(watch))["reset"]
            await watch.aclose()

    play(tmp_path, act)


async def until(watch: AsyncIterator[dict | None], generation: int) -> AsyncIterator[dict]:
    """The lines with news, up to that generation."""
    async for line in watch:
        if line is not None:
            yield line
            if line["generation"] >= generation:
                return


def test_writes_that_are_refused_say_why_and_change_nothing(tmp_path: Path) -> None:
    async def act(client: Client) -> None:
        generation = await client.put("s-1", 6001)
        for method, path, more, status, word in (
            ("PUT", "/instances/s-2", {"json": values(0)}, 400, "address"),
            ("PUT", "/instances/s-2", {"json": values(colour=1)}, 400, "colour"),
            ("PUT", "/instances/s-2", {"json": values(id="s-3")}, 400, "path"),
            ("PUT", "/instances/s-2", {"data": b"{"}, 400, "JSON"),
            ("PUT", "/instances/s-2", {"data": b"[" * 3000}, 400, "JSON"),
            ("PUT", "/instances/s-2", {"json": []}, 400, "object"),
            ("PUT", "/instances/s-2", {"data": b" " * 5000}, 413, ""),
            ("PUT", "/instances/a%20b", {"json": values()}, 400, "id"),
            ("POST", "/instances/s-9/renew", {}, 404, "s-9"),
            ("DELETE", "/instances/s-9", {}, 404, "s-9"),
            ("PATCH", "/instances/s-1", {"json": {"lifecycle": "DRAINING"}}, 400, "generation"),
            ("PATCH", "/instances/s-1", {"json": {"generation": 1, "lifecycle": "DRAINING"}}, 409, "changed"),
            ("PATCH", "/instances/s-1", {"json": {"generation": generation, "lifecycle": "X"}}, 400, "not"),
            ("POST", READ, {}, 405, ""),
            ("GET", "/nothing", {}, 404, ""),
            ("GET", f"{READ}?watch=1&after=x", {}, 400, "generation"),
            ("GET", f"{READ}?watch=1&after=-1", {}, 400, "generation"),
        ):
            found, said = await client.call(method, path, **more)
            assert found == status, (method, path, said)
            assert word in said["error"] and "\n" not in said["error"]
        assert client.service.store.generation == generation
        status, said = await client.call("POST", "/instances/s-1/renew")
        assert status == 200 and said == {"generation": generation}

    play(tmp_path, act)


def test_many_watchers_share_one_encoding_and_are_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(servers, "MOST_WATCHERS", 50)

    async def act(client: Client) -> None:
        start = await client.put("s-1", 6001)
        watches = [client.watch(start) for _ in range(50)]
        for watch in watches:
            assert not (await anext(watch))["instances"]
        pending = [asyncio.ensure_future(anext(watch)) for watch in watches]
        while client.service.watchers < 50:
            await asyncio.sleep(0.01)
        status, said = await client.call("GET", f"{READ}?watch=1&after=1")
        assert status == 503 and "50 watches" in said["error"]
        client.service.encoded.clear()
        end = await client.put("s-2", 6002)
        news = await asyncio.gather(*pending)
        assert {line["generation"] for line in news} == {end}
        assert len(client.service.encoded) == 1
        for watch in watches:
            await watch.aclose()

    play(tmp_path, act)


def test_a_reader_that_takes_nothing_is_sent_away_and_memory_stays(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(servers, "LAG_S", 0.2)

    async def act(client: Client) -> None:
        store = client.service.store
        for number in range(400):
            await client.put(f"s-{number}", 6000 + number)
        host, port = client.url.removeprefix("http://").split(":")
        with socket.socket() as reader:
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reader.connect((host, int(port)))
            path = f"{READ}?watch=1&after={store.generation}"
            reader.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            while not client.service.watchers:
                await asyncio.sleep(0.01)
            for turn in range(3000):
                if not client.service.watchers and turn * 400 > MOST_HISTORY:
                    break
                for number in range(400):  # all of them change: one merged line, whoever takes it
                    store.register(replace(store.instances[f"s-{number}"], started_ms=turn + 1), 0)
                client.service.wake()
                await asyncio.sleep(0.01)
            assert client.service.watchers == 0
        assert len(store.history) <= MOST_HISTORY
        assert len(client.service.encoded) <= servers.MOST_ENCODED

    play(tmp_path, act, send_buffer=65_536)  # of some megabytes, which the system would grow it to


def test_a_full_disk_refuses_writes_and_reads_go_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(client: Client) -> None:
        await client.put("s-1", 6001)

        def full(*_: object) -> int:
            raise OSError(28, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(os, "pwrite", full)
            status, said = await client.call("PUT", "/instances/s-2", json=values(6002))
            assert status == 507 and "No space left" in said["error"]
            assert len((await client.call("GET", READ))[1]["instances"]) == 1
        await client.put("s-2", 6002)

    play(tmp_path, act)


def started(folder: Path, *more: str) -> tuple[subprocess.Popen[str], str]:
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "thistletrail.registry",
            "--data",
            str(folder),
            "--listen",
            "127.0.0.1:0",
            "--fill",
            "0",
            *more,
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    line = process.stdout.readline()
    return process, "http://" + line.split()[-1] if line else ""


def test_the_program_keeps_its_list_over_a_kill_and_ends_cleanly(tmp_path: Path) -> None:
    async def call(url: str, method: str, path: str, **more: object) -> dict:
        async with (
            ClientSession(timeout=ClientTimeout(20)) as session,
            session.request(method, url + path, **more) as answer,
        ):
            return await answer.json()

    process, url = started(tmp_path)
    before = asyncio.run(call(url, "PUT", "/instances/s-1", json=values(6001)))
    process.kill()
    process.communicate()
    process, url = started(tmp_path)
    whole = asyncio.run(call(url, "GET", READ))
    assert whole["generation"] == before["generation"]
    assert [one["instanceId"] for one in whole["instances"]] == ["s-1"]

    async def ends() -> bytes:
        async with (
            ClientSession(timeout=ClientTimeout(20)) as session,
            session.get(f"{url}{READ}?watch=1&after=1") as answer,
        ):
            line = await answer.content.readline()
            process.send_signal(signal.SIGTERM)
            return line + await answer.content.read()  # ends as a whole answer, or this raises

    assert json.loads(asyncio.run(ends()))["reset"]
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 0, errors
    assert (tmp_path / "log").stat().st_size == 0  # all of it is in the snapshot


def test_damage_and_bad_options_are_one_line(tmp_path: Path) -> None:
    (tmp_path / "snapshot").write_bytes(b"nonsense")
    process, _ = started(tmp_path)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 1 and errors.count("\n") == 1 and "snapshot is damaged" in errors
    for words, told in (
        (["--data", str(tmp_path), "--listen", "nowhere"], "'nowhere' is not HOST:PORT"),
        (["--fill", "soon"], "not a valid float"),
        ([], "one of --data and --follow is wanted"),
    ):
        done = subprocess.run(
            [sys.executable, "-m", "thistletrail.registry", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.returncode == 2 and done.stderr.startswith("registry: ")
        assert told in done.stderr and done.stderr.count("\n") == 1


def test_a_list_that_began_with_nothing_is_not_told_until_it_may_be_filled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = servers.now_ms()
    monkeypatch.setattr(servers, "now_ms", lambda: now)
    service = Service(tmp_path, 5.0)
    with pytest.raises(servers.UnavailableError, match=r"told in 5\.0 s"):
        service.ready()
    service.log.close()
    again = Service(tmp_path, 5.0)  # killed meanwhile: its history is known, and not yet full
    now += 4999
    with pytest.raises(servers.UnavailableError):
        again.ready()
    now += 1
    again.ready()
    again.log.close()
    Service(tmp_path, 5.0).ready()  # with its data it is told at once
