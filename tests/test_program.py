"""Tests of the gateway as a process: its configuration, signals, log and exit code."""

import asyncio
import json
import logging
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from tests.sockets import (
    CHUNKED_RESPONSE_HEAD,
    CUSTOMER,
    HOST,
    RespClient,
    StubDiscovery,
    StubScanServer,
    encode_command,
    endpoint_entry,
    refusing_address,
    run_scenario,
    value_response,
    watch_event,
)
from thistletrail.gateway.__main__ import MAX_LINES_PER_PERIOD, RATE_LIMIT_PERIOD_S, LogRateLimit
from thistletrail.gateway.config import load
from thistletrail.gateway.errors import ConfigError
from thistletrail.policy.engine import PolicyEngine
from thistletrail.policy.events import (
    EndpointUpdate,
    EndpointUpdateKind,
    RequestArrived,
    Server,
    ServerState,
    TimerFired,
)

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "me": 0,
    "balancers": 2,
    "zones": ["a", "b"],
    "kinds": ["m2"],
    "plans": [{"name": "team", "units-per-s": 9}],
    "categories": [
        {"name": "read", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "read_like"},
        {"name": "settle", "on-time-us": 750000, "deadline-us": 2000000, "idempotency": "non_idempotent"},
    ],
    "ceilings": {
        "max-attempts": 4,
        "conn-idle-us": 7000000,
        "retry-after": True,
        "max-retry-after-us": 500000,
    },
    "stats": {"how": "inline", "names": ["util", "latency_ms"]},
}


def config_values(**changes: object) -> dict[str, object]:
    """Return a valid configuration with `changes`; None removes a key."""
    known = json.loads(watch_event(4, []))
    values = {
        "name": "n0",
        "listen": f"{HOST}:7",
        "discovery": f"{HOST}:8",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 512},
        "known": known,
        "settings": SETTINGS,
    }
    return {key: value for key, value in {**values, **changes}.items() if value is not None}


def write_config(folder: Path, values: object) -> dict[str, str]:
    """Write a configuration, or text as it is; return the environment variable with its path."""
    file = folder / "config.json"
    file.write_text(values if isinstance(values, str) else json.dumps(values))
    return {"PROXY_CONFIG": str(file)}


def test_configuration_is_read_from_file_and_environment(tmp_path: Path) -> None:
    loaded = load(
        {**write_config(tmp_path, config_values()), "PROXY_LISTEN": f"{HOST}:6379", "PROXY_NAME": "n9"}
    )
    assert (loaded.name, loaded.listen, loaded.discovery) == ("n9", (HOST, 6379), ((HOST, 8),))
    assert loaded.settings.seed == 0x8C1F30D27A5BE964 and loaded.settings.gateway_count == 2
    assert loaded.class_numbers == {"read": 0, "settle": 1} and loaded.zone_numbers == {"a": 0, "b": 1}
    assert loaded.settings.classes[1].effect.value == "unsafe" and loaded.settings.plans[0].rate == 9.0
    assert loaded.settings.max_retry_after_us == 500_000 and loaded.sockets == 512
    assert loaded.conn_idle_us == 7_000_000 and loaded.connect_timeout_us == 250_000


@pytest.mark.parametrize(
    "values",
    [
        "{",
        "[]",
        {},
        config_values(settings={}),
        config_values(seed="xyz"),
        config_values(listen="nowhere"),
        config_values(discovery=None),
        config_values(settings={**SETTINGS, "me": 2}),
        config_values(settings={**SETTINGS, "plans": []}),
        config_values(settings={**SETTINGS, "categories": [{"name": "read", "idempotency": "what"}]}),
        config_values(peers=["x:y"]),
        None,
    ],
)
def test_unusable_configuration_is_reported_in_one_line(tmp_path: Path, values: object) -> None:
    env = {key: text for key, text in os.environ.items() if not key.startswith("PROXY_")}
    env |= write_config(tmp_path, values) if values is not None else {}
    completed = subprocess.run(
        [sys.executable, "-m", "thistletrail.gateway"],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith("gateway: ") and completed.stderr.count("\n") == 1


async def start_process(
    tmp_path: Path, scan_server: StubScanServer, **env: str
) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start a gateway process with one scan server; return it with its address when it serves."""
    listen, silent = refusing_address(), refusing_address()
    known = json.loads(watch_event(4, [endpoint_entry("s1", await scan_server.start())]))
    values = config_values(listen=f"{HOST}:{listen[1]}", discovery=f"{HOST}:{silent[1]}", known=known)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "thistletrail.gateway",
        cwd=ROOT,
        env={**os.environ, **write_config(tmp_path, values), **env},
        stderr=asyncio.subprocess.PIPE,
    )
    while b"serves at" not in await process.stderr.readline():
        pass
    return process, listen


def test_reload_requested_while_the_configuration_is_read_takes_effect(tmp_path: Path) -> None:
    """The configuration file is a pipe, so that the start blocks until the test writes to it."""

    async def scenario() -> None:
        fifo, new_discovery = tmp_path / "config.json", StubDiscovery(lambda writer: asyncio.sleep(60))
        os.mkfifo(fifo)
        free, target = refusing_address(), await new_discovery.start()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "thistletrail.gateway",
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(fifo)},
            stderr=asyncio.subprocess.PIPE,
        )
        old = config_values(listen=f"{HOST}:{free[1]}", discovery=f"{HOST}:{refusing_address()[1]}")
        while True:  # until the gateway has opened the pipe
            try:
                end = os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError:
                await asyncio.sleep(0.01)
        newer = tmp_path / "newer.json"
        newer.write_text(json.dumps({**old, "discovery": f"{HOST}:{target[1]}"}))
        newer.replace(fifo)
        process.send_signal(signal.SIGHUP)
        os.write(end, json.dumps(old).encode())
        os.close(end)
        while not new_discovery.request_targets:
            await asyncio.sleep(0.01)
        process.terminate()
        await process.wait()
        assert process.returncode == 0

    run_scenario(scenario())


def test_reload_takes_the_address_of_discovery_from_the_file(tmp_path: Path) -> None:
    """The reload ignores PROXY_DISCOVERY, set when the process started; an unusable file has no effect."""

    async def scenario() -> None:
        process, address = await start_process(tmp_path, StubScanServer(), PROXY_DISCOVERY=f"{HOST}:9")
        file = tmp_path / "config.json"
        original = json.loads(file.read_text())
        file.write_text("{ not json")
        process.send_signal(signal.SIGHUP)
        while b"stays as it was" not in (line := await process.stderr.readline()):
            assert line
        scan_server = StubScanServer(lambda arguments: value_response(b"new"))
        listed = json.loads(watch_event(1, [endpoint_entry("s2", await scan_server.start())]))
        body = json.dumps(listed).encode()

        async def complete_list(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

        async def silent(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_RESPONSE_HEAD)
            watched.set()
            await asyncio.Event().wait()

        watched = asyncio.Event()
        discovery = await StubDiscovery(complete_list, silent).start()
        file.write_text(json.dumps({**original, "discovery": f"{HOST}:{discovery[1]}"}))
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        await watched.wait()
        client = await RespClient.connect(address)
        request = encode_command("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
        assert await client.request(request) == b"new"
        process.send_signal(signal.SIGTERM)
        while b"drains" not in await process.stderr.readline():
            pass
        process.send_signal(signal.SIGHUP)  # must be harmless during the shutdown
        assert await process.wait() == 0

    run_scenario(scenario())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_starts_a_graceful_shutdown_with_exit_code_0(tmp_path: Path, number: int) -> None:
    async def scenario() -> None:
        scan_server = StubScanServer()
        process, address = await start_process(tmp_path, scan_server)
        client = await RespClient.connect(address)
        request = encode_command("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
        assert await client.request(request) == b"ok"
        process.send_signal(number)
        while b"drains" not in await process.stderr.readline():
            pass
        late = await RespClient.connect(address)
        assert await late.request(request.replace(b"a1", b"a2")) == b"ok"
        assert await client.closed_without_reply()
        assert await process.wait() == 0

    run_scenario(scenario())


def test_address_in_use_is_reported_without_a_traceback(tmp_path: Path) -> None:
    async def scenario() -> None:
        taken = await StubScanServer().start()
        values = config_values(listen=f"{HOST}:{taken[1]}")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "thistletrail.gateway",
            cwd=ROOT,
            env={**os.environ, **write_config(tmp_path, values)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode == 1
        assert b"gateway: cannot start: " in errors and b"Traceback" not in errors

    run_scenario(scenario())


def test_log_lines_of_one_call_are_limited() -> None:
    limit = LogRateLimit()

    def record_at(at_s: float, line_number: int = 7) -> logging.LogRecord:
        record = logging.LogRecord("x", logging.INFO, "x.py", line_number, "odd %s", ("one",), None)
        record.created = at_s
        return record

    passed = [limit.filter(record_at(100.0 + index / 100)) for index in range(500)]
    assert sum(passed) == MAX_LINES_PER_PERIOD
    assert limit.filter(record_at(100.0, line_number=8))  # another log call has a limit of its own
    later = record_at(100.0 + RATE_LIMIT_PERIOD_S)
    assert limit.filter(later)
    assert later.getMessage() == f"odd one ({500 - MAX_LINES_PER_PERIOD} similar lines were suppressed)"


def paths_within(values: object, path: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    """Return the paths of all values within a configuration."""
    inner = (
        values.items() if isinstance(values, dict) else enumerate(values) if isinstance(values, list) else ()
    )
    return [
        inner_path
        for key, value in inner
        for inner_path in ((*path, key), *paths_within(value, (*path, key)))
    ]


INVALID_VALUES = [
    None,
    True,
    -1,
    0,
    0.5,
    1e400,
    float("nan"),
    10**400,
    "",
    "x",
    "-1",
    "nan",
    "9" * 5000,
    [],
    {},
    [[]],
    [1],
    {"a": 1},
]


@given(st.sampled_from(paths_within(config_values())), st.sampled_from(INVALID_VALUES))
@example(("limits", "sockets"), 1e400)
@example(("settings", "categories", 0, "deadline-us"), -1)
def test_invalid_value_anywhere_is_read_or_reported_in_one_line(
    path: tuple[str | int, ...], invalid: object
) -> None:
    """A configuration that is accepted must also be usable by the policy."""
    values = json.loads(json.dumps(config_values()))
    inner = values
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = invalid
    with tempfile.TemporaryDirectory() as folder:
        env = write_config(Path(folder), values)
        try:
            loaded = load(env)
        except ConfigError as error:
            assert "\n" not in str(error) and len(str(error)) < 300
            return
    policy = PolicyEngine(loaded.settings)
    server = Server("s1", 0, 0, 0, ServerState.SERVING)
    policy.handle(1_000_000, EndpointUpdate(EndpointUpdateKind.CACHED, 1, (server,)))
    for number in range(3):
        policy.handle(1_000_000 + number, RequestArrived(f"r{number}", 0, 0, "c", 1_000_000))
    policy.handle(5_000_000, TimerFired(0))


def test_deeply_nested_configuration_is_reported(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="cannot read"):
        load(write_config(tmp_path, "[" * 100_000))


@pytest.mark.parametrize("out_of_range", [-1, float("nan"), 1e400, 1e16])
def test_setting_out_of_range_is_reported_with_its_path(out_of_range: float, tmp_path: Path) -> None:
    values = json.loads(json.dumps(config_values()))
    values["settings"]["plans"][0]["units-per-s"] = out_of_range
    with pytest.raises(ConfigError, match=r"plans\.0\.units-per-s is out of range"):
        load(write_config(tmp_path, values))
