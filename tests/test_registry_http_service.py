"""The registry on loopback: discovery reads, writes, slow watchers, restarts and malformed input."""

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
READ_PATH = "/catalog/members"


def registration_values(port: int = 6000, **changes: object) -> dict[str, object]:
    return {"address": f"127.0.0.1:{port}", "zone": "east", "machine_type": "m1", **changes}


class Client:
    """An HTTP session with one service that runs in this process."""

    def __init__(self, service: RegistryService, session: ClientSession, url: str) -> None:
        self.service, self.session, self.url = service, session, url

    async def call(self, method: str, path: str, **options: object) -> tuple[int, dict]:
        async with self.session.request(method, self.url + path, **options) as response:
            return response.status, json.loads(await response.text())

    async def put(self, name: str, port: int, **changes: object) -> int:
        status, body = await self.call("PUT", f"/instances/{name}", json=registration_values(port, **changes))
        assert status == 200, body
        return body["generation"]

    async def watch(self, after: int | str) -> AsyncIterator[dict | None]:
        async with self.session.get(f"{self.url}{READ_PATH}?watch=1&after={after}") as response:
            assert response.headers["Transfer-Encoding"] == "chunked"
            async for line in response.content:
                yield json.loads(line) if line.strip() else None


@asynccontextmanager
async def running_client(directory: Path, send_buffer_bytes: int | None = None) -> AsyncIterator[Client]:
    """Run a service and yield a client of it.

    `send_buffer_bytes` bounds the data that the kernel buffers for a reader that reads nothing.
    """
    service = RegistryService(directory)
    runner = web.AppRunner(service.app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if send_buffer_bytes is not None:  # accepted connections inherit the option
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    listener.bind(("127.0.0.1", 0))
    await web.SockSite(runner, listener).start()
    async with ClientSession(timeout=ClientTimeout(20)) as session:
        yield Client(service, session, "http://127.0.0.1:{1}".format(*runner.addresses[0]))
    await runner.cleanup()


def run_scenario(
    directory: Path, scenario: Callable[[Client], Awaitable[None]], send_buffer_bytes: int | None = None
) -> None:
    async def run() -> None:
        async with running_client(directory, send_buffer_bytes) as client:
            await scenario(client)

    asyncio.run(run())


def test_the_endpoint_list_and_a_watch_have_the_format_of_discovery(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_service, "EMPTY_LINE_INTERVAL_S", 0.05)

    async def scenario(client: Client) -> None:
        first_generation = await client.put("s-1", 6001, cell=3, weight=2, started_ms=7)
        status, complete = await client.call("GET", READ_PATH)
        assert status == 200 and complete == {
            "generation": first_generation,
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
        watch = client.watch(first_generation)
        # The first update is sent at once, even if empty: it confirms that the reader is up to date.
        assert await anext(watch) == {"generation": first_generation, "reset": False, "instances": []}
        assert await anext(watch) is None  # an empty line, as nothing changed
        second_generation = await client.put("s-2", 6002)
        update = [line async for line in updates_until(watch, second_generation)][-1]
        assert not update["reset"] and [entry["instanceId"] for entry in update["instances"]] == ["s-2"]
        assert (
            await client.call(
                "PATCH", "/instances/s-1", json={"generation": first_generation, "lifecycle": "DRAINING"}
            )
        )[0] == 200
        update = [line async for line in updates_until(watch, second_generation + 1)][-1]
        assert update["instances"][0]["lifecycle"] == "DRAINING"
        assert (await client.call("DELETE", "/instances/s-1"))[0] == 200
        update = [line async for line in updates_until(watch, second_generation + 2)][-1]
        assert update["instances"][0]["lifecycle"] == "DELETED"
        await watch.aclose()
        for after in ("41", "", str(2**53 - 1)):  # another history, no generation, a future one
            watch = client.watch(after)
            assert (await anext(watch))["reset"]
            await watch.aclose()

    run_scenario(tmp_path, scenario)


async def updates_until(watch: AsyncIterator[dict | None], generation: int) -> AsyncIterator[dict]:
    """Yield the updates of a watch up to `generation`; skip empty lines."""
    async for line in watch:
        if line is not None:
            yield line
            if line["generation"] >= generation:
                return


def test_a_rejected_request_names_the_reason_and_changes_nothing(tmp_path: Path) -> None:
    async def scenario(client: Client) -> None:
        generation = await client.put("s-1", 6001)
        for method, path, options, expected_status, expected_text in (
            ("PUT", "/instances/s-2", {"json": registration_values(0)}, 400, "address"),
            ("PUT", "/instances/s-2", {"json": registration_values(colour=1)}, 400, "colour"),
            ("PUT", "/instances/s-2", {"json": registration_values(id="s-3")}, 400, "path"),
            ("PUT", "/instances/s-2", {"data": b"{"}, 400, "JSON"),
            ("PUT", "/instances/s-2", {"data": b"[" * 3000}, 400, "JSON"),
            ("PUT", "/instances/s-2", {"json": []}, 400, "object"),
            ("PUT", "/instances/s-2", {"data": b" " * 5000}, 413, ""),
            ("PUT", "/instances/a%20b", {"json": registration_values()}, 400, "id"),
            ("POST", "/instances/s-9/renew", {}, 404, "s-9"),
            ("DELETE", "/instances/s-9", {}, 404, "s-9"),
            ("PATCH", "/instances/s-1", {"json": {"lifecycle": "DRAINING"}}, 400, "generation"),
            ("PATCH", "/instances/s-1", {"json": {"generation": 1, "lifecycle": "DRAINING"}}, 409, "changed"),
            ("PATCH", "/instances/s-1", {"json": {"generation": generation, "lifecycle": "X"}}, 400, "not"),
            ("POST", READ_PATH, {}, 405, ""),
            ("GET", "/nothing", {}, 404, ""),
            ("GET", f"{READ_PATH}?watch=1&after=x", {}, 400, "generation"),
            ("GET", f"{READ_PATH}?watch=1&after=-1", {}, 400, "generation"),
        ):
            status, body = await client.call(method, path, **options)
            assert status == expected_status, (method, path, body)
            assert expected_text in body["error"] and "\n" not in body["error"]
        assert client.service.store.generation == generation
        status, body = await client.call("POST", "/instances/s-1/renew")
        assert status == 200 and body == {"generation": generation}

    run_scenario(tmp_path, scenario)


def test_watchers_share_one_encoded_update_and_their_number_is_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_service, "MAX_WATCHERS", 50)

    async def scenario(client: Client) -> None:
        start_generation = await client.put("s-1", 6001)
        watches = [client.watch(start_generation) for _ in range(50)]
        for watch in watches:
            assert not (await anext(watch))["instances"]
        pending = [asyncio.ensure_future(anext(watch)) for watch in watches]
        while client.service.watcher_count < 50:
            await asyncio.sleep(0.01)
        status, body = await client.call("GET", f"{READ_PATH}?watch=1&after=1")
        assert status == 503 and "50 watches" in body["error"]
        client.service.encoded_updates.clear()
        end_generation = await client.put("s-2", 6002)
        updates = await asyncio.gather(*pending)
        assert {update["generation"] for update in updates} == {end_generation}
        assert len(client.service.encoded_updates) == 1
        for watch in watches:
            await watch.aclose()

    run_scenario(tmp_path, scenario)


def test_the_watch_of_a_reader_that_accepts_no_data_ends_and_memory_is_bounded(
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
            target = f"{READ_PATH}?watch=1&after={store.generation}"
            reader.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            while not client.service.watcher_count:
                await asyncio.sleep(0.01)
            for round_number in range(3000):
                if not client.service.watcher_count and round_number * 400 > MAX_HISTORY:
                    break
                for number in range(400):  # all instances change, in one merged update
                    store.register(replace(store.instances[f"s-{number}"], started_ms=round_number + 1), 0)
                client.service.notify_watchers()
                await asyncio.sleep(0.01)
            assert client.service.watcher_count == 0
        assert len(store.history) <= MAX_HISTORY
        assert len(client.service.encoded_updates) <= http_service.MAX_ENCODED_UPDATES

    # By default the kernel grows the send buffer to some megabytes.
    run_scenario(tmp_path, scenario, send_buffer_bytes=65_536)


def test_a_reader_that_accepts_no_data_does_not_hold_the_whole_list_in_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a registry whose memory grows by a whole list for each slow watcher.
    transports: list[asyncio.WriteTransport] = []
    watch = RegistryService._watch

    async def note_transport(
        service: RegistryService, request: web.Request, after: int | None
    ) -> web.StreamResponse:
        transports.append(request.transport)
        return await watch(service, request, after)

    monkeypatch.setattr(RegistryService, "_watch", note_transport)

    async def scenario(client: Client) -> None:
        store = client.service.store
        await client.put("s-0", 5000)
        template = store.get("s-0")
        store.persist = lambda changes: None  # 4,000 writes to the disk take seconds
        for number in range(4000):
            store.register(replace(template, id=f"s-{number}", address=f"127.0.0.1:{5000 + number}"), 0)
        host, port = client.url.removeprefix("http://").split(":")
        with socket.socket() as reader:
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            reader.connect((host, int(port)))
            reader.sendall(f"GET {READ_PATH}?watch=1&after=1 HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            while not transports or not transports[0].get_write_buffer_size():
                await asyncio.sleep(0.01)
            assert len(client.service._encoded_update(None)) > 16 * http_service.WATCHER_BUFFER_BYTES
            assert transports[0].get_write_buffer_size() <= 4 * http_service.WATCHER_BUFFER_BYTES

    run_scenario(tmp_path, scenario, send_buffer_bytes=65_536)


def test_with_a_full_disk_writes_are_rejected_and_reads_continue(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(client: Client) -> None:
        await client.put("s-1", 6001)

        def pwrite_to_full_disk(*_: object) -> int:
            raise OSError(28, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr(os, "pwrite", pwrite_to_full_disk)
            status, body = await client.call("PUT", "/instances/s-2", json=registration_values(6002))
            assert status == 507 and "No space left" in body["error"]
            assert len((await client.call("GET", READ_PATH))[1]["instances"]) == 1
        await client.put("s-2", 6002)

    run_scenario(tmp_path, scenario)


def start_registry(directory: Path, *options: str) -> tuple[subprocess.Popen[str], str]:
    """Start a registry process; return it with its URL, which is empty if the start failed."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "thistletrail.registry",
            "--data",
            str(directory),
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


def test_a_registry_process_restores_its_instances_after_sigkill_and_ends_cleanly_on_sigterm(
    tmp_path: Path,
) -> None:
    async def call(url: str, method: str, path: str, **options: object) -> dict:
        async with (
            ClientSession(timeout=ClientTimeout(20)) as session,
            session.request(method, url + path, **options) as response,
        ):
            return await response.json()

    process, url = start_registry(tmp_path)
    registered = asyncio.run(call(url, "PUT", "/instances/s-1", json=registration_values(6001)))
    process.kill()
    process.communicate()
    process, url = start_registry(tmp_path)
    complete = asyncio.run(call(url, "GET", READ_PATH))
    assert complete["generation"] == registered["generation"]
    assert [entry["instanceId"] for entry in complete["instances"]] == ["s-1"]

    async def watch_until_the_end() -> bytes:
        async with (
            ClientSession(timeout=ClientTimeout(20)) as session,
            session.get(f"{url}{READ_PATH}?watch=1&after=1") as response,
        ):
            line = await response.content.readline()
            process.send_signal(signal.SIGTERM)
            return line + await response.content.read()  # raises unless the response is complete

    assert json.loads(asyncio.run(watch_until_the_end()))["reset"]
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 0, errors
    assert (tmp_path / "log").stat().st_size == 0  # the snapshot contains all changes


def test_damaged_files_and_invalid_options_print_a_one_line_error(tmp_path: Path) -> None:
    (tmp_path / "snapshot").write_bytes(b"nonsense")
    process, _ = start_registry(tmp_path)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 1 and errors.count("\n") == 1 and "snapshot is damaged" in errors
    for arguments, expected_text in (
        (["--data", str(tmp_path), "--listen", "nowhere"], "'nowhere' is not HOST:PORT"),
        (["--fill", "soon"], "not a valid float"),
        ([], "exactly one of --data and --follow is required"),
    ):
        completed = subprocess.run(
            [sys.executable, "-m", "thistletrail.registry", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert completed.returncode == 2 and completed.stderr.startswith("registry: ")
        assert expected_text in completed.stderr and completed.stderr.count("\n") == 1


def test_a_registry_that_began_empty_rejects_reads_until_its_fill_time_has_passed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now_ms = http_service.monotonic_ms()
    monkeypatch.setattr(http_service, "monotonic_ms", lambda: now_ms)
    service = RegistryService(tmp_path, 5.0)
    with pytest.raises(UnavailableError, match=r"answers reads in 5\.0 s"):
        service.require_available()
    service.journal.close()
    restarted = RegistryService(tmp_path, 5.0)  # its history exists, but has not been filled
    now_ms += 4999
    with pytest.raises(UnavailableError):
        restarted.require_available()
    now_ms += 1
    restarted.require_available()
    restarted.journal.close()
    RegistryService(tmp_path, 5.0).require_available()  # a filled history is served at once after a restart
