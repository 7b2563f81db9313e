"""The registry on loopback: reads as discovery's, writes, slow watchers, restarts, and malformed input."""

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

from thistletrail.registry import http_service
from thistletrail.registry.errors import UnavailableError
from thistletrail.registry.http_service import RegistryService
from thistletrail.registry.limits import MAX_HISTORY

ROOT = Path(__file__).parent.parent
READ = "/catalog/members"


def values(port: int = 6000, **changes: object) -> dict[str, object]:
    return {"address": f"127.0.0.1:{port}", "zone": "east", "machine_type": "m1", **changes}


class Client:
    """A session with one service."""

    def __init__(self, service: RegistryService, session: ClientSession, url: str) -> None:
        self.service, self.session, self.url = service, session, url

    async def call(self, method: str, path: str, **options: object) -> tuple[int, dict]:
        async with self.session.request(method, self.url + path, **options) as answer:
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
    service = RegistryService(folder)
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


def run_scenario(
    folder: Path, scenario: Callable[[Client], Awaitable[None]], send_buffer: int | None = None
) -> None:
    async def run() -> None:
        async with serving(folder, send_buffer) as client:
            await scenario(client)

    asyncio.run(run())


def test_the_endpoint_list_and_a_watch_are_as_discovery_gives_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_service, "EMPTY_LINE_INTERVAL_S", 0.05)

    async def scenario(client: Client) -> None:
        first = await client.put("s-1", 6001, cell=3, weight=2, started_ms=7)
        status, complete = await client.call("GET", READ)
        assert status == 200 and complete == {
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
        update = [line async for line in until(watch, second)][-1]
        assert not update["reset"] and [one["instanceId"] for one in update["instances"]] == ["s-2"]
        assert (
            await client.call("PATCH", "/instances/s-1", json={"generation": first, "lifecycle": "DRAINING"})
        )[0] == 200
        update = [line async for line in until(watch, second + 1)][-1]
        assert update["instances"][0]["lifecycle"] == "DRAINING"
        assert (await client.call("DELETE", "/instances/s-1"))[0] == 200
        update = [line async for line in until(watch, second + 2)][-1]
        assert update["instances"][0]["lifecycle"] == "DELETED"
        await watch.aclose()
        for after in ("41", "", str(2**53 - 1)):  # of another history, of none, from the future
            watch = client.watch(after)
            assert (await anext(watch))["reset"]
            await watch.aclose()

    run_scenario(tmp_path, scenario)


async def until(watch: AsyncIterator[dict | None], generation: int) -> AsyncIterator[dict]:
    """The updates of a watch, up to that generation."""
    async for line in watch:
        if line is not None:
            yield line
            if line["generation"] >= generation:
                return


def test_rejected_writes_say_why_and_change_nothing(tmp_path: Path) -> None:
    async def scenario(client: Client) -> None:
        generation = await client.put("s-1", 6001)
        for method, path, options, status, expected_text in (
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
            found, said = await client.call(method, path, **options)
            assert found == status, (method, path, said)
            assert expected_text in said["error"] and "\n" not in said["error"]
        assert client.service.store.generation == generation
        status, said = await client.call("POST", "/instances/s-1/renew")
        assert status == 200 and said == {"generation": generation}

    run_scenario(tmp_path, scenario)


def test_many_watchers_share_one_encoding_and_are_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_service, "MAX_WATCHERS", 50)

    async def scenario(client: Client) -> None:
        start = await client.put("s-1", 6001)
        watches = [client.watch(start) for _ in range(50)]
        for watch in watches:
            assert not (await anext(watch))["instances"]
        pending = [asyncio.ensure_future(anext(watch)) for watch in watches]
        while client.service.watcher_count < 50:
            await asyncio.sleep(0.01)
        status, said = await client.call("GET", f"{READ}?watch=1&after=1")
        assert status == 503 and "50 watches" in said["error"]
        client.service.encoded_updates.clear()
        end = await client.put("s-2", 6002)
        updates = await asyncio.gather(*pending)
        assert {update["generation"] for update in updates} == {end}
        assert len(client.service.encoded_updates) == 1
        for watch in watches:
            await watch.aclose()

    run_scenario(tmp_path, scenario)


def test_the_watch_of_a_reader_that_takes_nothing_ends_and_memory_is_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_service, "WATCHER_WRITE_TIMEOUT_S", 0.2)

    async def scenario(client: Client) -> None:
        store = client.service.store
        for number in range(400):
            await client.put(f"s-{number}", 6000 + number)
        host, port = client.url.removeprefix("http://").split(":")
        with socket.socket() as reader:
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reader.connect((host, int(port)))
            path = f"{READ}?watch=1&after={store.generation}"
            reader.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            while not client.service.watcher_count:
                await asyncio.sleep(0.01)
            for turn in range(3000):
                if not client.service.watcher_count and turn * 400 > MAX_HISTORY:
                    break
                for number in range(400):  # all of them change: one merged line, whoever takes it
                    store.register(replace(store.instances[f"s-{number}"], started_ms=turn + 1), 0)
                client.service.notify_watchers()
                await asyncio.sleep(0.01)
            assert client.service.watcher_count == 0
        assert len(store.history) <= MAX_HISTORY
        assert len(client.service.encoded_updates) <= http_service.MAX_ENCODED_UPDATES

    run_scenario(
        tmp_path, scenario, send_buffer=65_536
    )  # of some megabytes, which the system would grow it to


def test_a_full_disk_rejects_writes_and_reads_go_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(client: Client) -> None:
        await client.put("s-1", 6001)

        def full(*_: object) -> int:
            raise OSError(28, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(os, "pwrite", full)
            status, said = await client.call("PUT", "/instances/s-2", json=values(6002))
            assert status == 507 and "No space left" in said["error"]
            assert len((await client.call("GET", READ))[1]["instances"]) == 1
        await client.put("s-2", 6002)

    run_scenario(tmp_path, scenario)


def started(folder: Path, *options: str) -> tuple[subprocess.Popen[str], str]:
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
            *options,
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    line = process.stdout.readline()
    return process, "http://" + line.split()[-1] if line else ""


def test_the_program_retains_its_instances_over_a_kill_and_ends_cleanly(tmp_path: Path) -> None:
    async def call(url: str, method: str, path: str, **options: object) -> dict:
        async with (
            ClientSession(timeout=ClientTimeout(20)) as session,
            session.request(method, url + path, **options) as answer,
        ):
            return await answer.json()

    process, url = started(tmp_path)
    before = asyncio.run(call(url, "PUT", "/instances/s-1", json=values(6001)))
    process.kill()
    process.communicate()
    process, url = started(tmp_path)
    complete = asyncio.run(call(url, "GET", READ))
    assert complete["generation"] == before["generation"]
    assert [one["instanceId"] for one in complete["instances"]] == ["s-1"]

    async def ends() -> bytes:
        async with (
            ClientSession(timeout=ClientTimeout(20)) as session,
            session.get(f"{url}{READ}?watch=1&after=1") as answer,
        ):
            line = await answer.content.readline()
            process.send_signal(signal.SIGTERM)
            return line + await answer.content.read()  # ends as a complete response, or this raises

    assert json.loads(asyncio.run(ends()))["reset"]
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 0, errors
    assert (tmp_path / "log").stat().st_size == 0  # all of it is in the snapshot


def test_damage_and_bad_options_are_one_line(tmp_path: Path) -> None:
    (tmp_path / "snapshot").write_bytes(b"nonsense")
    process, _ = started(tmp_path)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 1 and errors.count("\n") == 1 and "snapshot is damaged" in errors
    for arguments, expected_text in (
        (["--data", str(tmp_path), "--listen", "nowhere"], "'nowhere' is not HOST:PORT"),
        (["--fill", "soon"], "not a valid float"),
        ([], "exactly one of --data and --follow is required"),
    ):
        done = subprocess.run(
            [sys.executable, "-m", "thistletrail.registry", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.returncode == 2 and done.stderr.startswith("registry: ")
        assert expected_text in done.stderr and done.stderr.count("\n") == 1


def test_a_registry_that_began_empty_answers_no_reads_until_it_may_be_filled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = http_service.monotonic_ms()
    monkeypatch.setattr(http_service, "monotonic_ms", lambda: now)
    service = RegistryService(tmp_path, 5.0)
    with pytest.raises(UnavailableError, match=r"answers reads in 5\.0 s"):
        service.require_available()
    service.journal.close()
    again = RegistryService(tmp_path, 5.0)  # killed meanwhile: its history is known, and not yet filled
    now += 4999
    with pytest.raises(UnavailableError):
        again.require_available()
    now += 1
    again.require_available()
    again.journal.close()
    RegistryService(tmp_path, 5.0).require_available()  # with its data it answers at once
