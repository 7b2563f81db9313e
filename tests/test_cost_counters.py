"""Cost counters, compared with counts at clients and backends, and stage times on a simulated clock."""

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

from tests.sockets import (
    RespClient,
    StubScanServer,
    query_command,
    refusing_address,
    run_scenario,
    running_gateway,
    value_response,
)
from tests.test_program import config_values, start_process, write_config
from thistletrail.gateway import backends
from thistletrail.gateway import cost_counters as costs
from thistletrail.gateway.config import load
from thistletrail.gateway.cost_counters import REST, CostCounters, StageTimer
from thistletrail.gateway.errors import ConfigError
from thistletrail.gateway.peer_transport import PeerTransport
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.actions import SendPeerMessage
from thistletrail.policy.events import PeerMessageReceived, QuotaMessage

DESCRIPTOR_TABLE = Path("/proc/self/fd")


def read_figures(gateway_server: GatewayServer) -> dict[str, object]:
    """Return the figures of the line that the gateway would log."""
    label, _, rest = gateway_server.cost_line().partition(" ")
    assert label == "costs" and "\n" not in rest
    return json.loads(rest)


def test_counters_agree_with_what_clients_and_backends_see(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backends, "REUSE_DELAY_US", 0)

    async def scenario() -> None:
        def answer(arguments: list[bytes]) -> bytes | None:
            return {b"b1": b"-ERR failed\r\n", b"z1": None}.get(arguments[2], value_response(b"ok"))

        backend = StubScanServer(answer)
        async with running_gateway(backend) as (gateway_server, address):
            client = await RespClient.connect(address)
            for number in range(20):
                assert await client.request(query_command(f"a{number}")) == b"ok"
            assert await client.request(b"*1\r\n$4\r\nPING\r\n") == b"PONG"
            assert str(await client.request(query_command("a!"))).startswith("-ERR")
            # An idempotent class without attempts left.
            assert await client.request(query_command("b1")) == "-BUSY 750"
            leaving = await RespClient.connect(address)
            leaving.send(query_command("z1"))
            await backend.wait_for_commands(1, b"z1")
            leaving.writer.close()
            while not (figures := read_figures(gateway_server))["gone"]:
                await asyncio.sleep(0.001)
            assert [figures[key] for key in ("requests", "served", "refused", "failed")] == [22, 20, 1, 0]
            assert figures["accepted"] == 2 and figures["pings"] == 1 and figures["wrong_commands"] == 1
            assert figures["attempts"] == len(backend.commands)
            assert figures["handshakes"] == backend.opened_connections
            assert figures["reused"] == len(backend.commands) - backend.opened_connections
            assert figures["handshakes_failed"] == 0 and figures["turned_away"] == 0
            assert figures["list_lines"] == 1 and figures["watches"] == 1
            assert figures["bytes"] == {"requests": 0, "clients": 0}
            assert "stages_s" not in figures

    run_scenario(scenario())


def test_handshakes_that_fail_are_counted() -> None:
    async def scenario() -> None:
        async with running_gateway(addresses=[refusing_address()]) as (gateway_server, address):
            client = await RespClient.connect(address)
            assert str(await client.request(query_command("a1"))).startswith("-")
            figures = read_figures(gateway_server)
            assert figures["handshakes"] == figures["handshakes_failed"] == figures["attempts"] > 0
            assert figures["refused"] + figures["failed"] == 1

    run_scenario(scenario())


@pytest.mark.skipif(
    not DESCRIPTOR_TABLE.is_dir(), reason="this system does not list the descriptors of a process"
)
def test_descriptors_agree_with_the_descriptor_table_of_the_process() -> None:
    async def scenario() -> None:
        backend = StubScanServer()
        async with running_gateway(backend) as (gateway_server, address):
            before = read_figures(gateway_server)["descriptors"]
            clients = [await RespClient.connect(address) for _ in range(30)]
            for number, client in enumerate(clients):
                assert await client.request(query_command(f"a{number}")) == b"ok"
            after, listed = read_figures(gateway_server)["descriptors"], len(os.listdir(DESCRIPTOR_TABLE)) - 1
            assert after["all"] == listed
            assert after["clients"] - before["clients"] == len(clients)
            assert after["backends"] - before["backends"] == backend.opened_connections
            # This process also has the other ends of these connections, which have no owner in the gateway.
            assert after["process"] - before["process"] == len(clients) + backend.opened_connections
            assert after["listener"] == after["discovery"] == 1

    run_scenario(scenario())


def test_figures_that_the_system_does_not_provide_are_omitted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(costs, "DESCRIPTOR_FOLDER", tmp_path / "none")
    monkeypatch.setattr(costs, "STATUS_FILE", tmp_path / "none")
    figures = costs.report(CostCounters(), {}, {"clients": 3})
    assert figures["descriptors"] == {"clients": 3}
    assert not {"resident_bytes", "resident_most_bytes"} & set(figures)
    (tmp_path / "none").write_text("Name:\tx\nVmHWM:\t  9 kB\nVmRSS:\t  7 kB\n")
    assert costs.resident_memory() == {"resident_bytes": 7 * 1024, "resident_most_bytes": 9 * 1024}
    (tmp_path / "none").write_text("VmRSS:\tmuch\n")
    assert costs.resident_memory() == {}


def test_time_counts_for_the_innermost_stage() -> None:
    ticks = iter([0, 10, 13, 20, 27, 30])
    stages = StageTimer(True, clock=lambda: next(ticks))
    inner = stages.wrap("in", lambda text: text * 2)
    outer = stages.wrap("out", inner)
    # Stages by time in ns: 0..10 rest, 10..13 out, 13..20 in, 20..27 out, 27..30 rest.
    assert outer("a") == "aa"
    assert stages.report() == {"in": 7e-9, "out": 10e-9, REST: 13e-9}


def test_a_stage_ends_when_its_function_raises() -> None:
    ticks = iter([0, 10, 15, 16])
    stages = StageTimer(True, clock=lambda: next(ticks))

    def fail() -> None:
        raise ValueError("boom")

    with pytest.raises(ValueError, match="boom"):
        stages.wrap("out", fail)()
    assert stages.stage == REST and stages.report() == {"out": 5e-9, REST: 11e-9}


def test_disabled_stage_timer_returns_functions_and_classes_unchanged() -> None:
    stages = StageTimer(False, clock=lambda: 1 // 0)
    assert stages.wrap("x", len) is len and stages.wrap_class("x", StubScanServer, "serve") is StubScanServer
    assert stages.report() == {}


def test_stages_of_a_gateway_add_up_to_its_time() -> None:
    async def scenario() -> None:
        async with running_gateway(StubScanServer(), time_stages=True) as (gateway_server, address):
            client = await RespClient.connect(address)
            for number in range(50):
                assert await client.request(query_command(f"a{number}")) == b"ok"
            gateway_server.peers.datagram_received(b"\0", ("127.0.0.9", 9))  # an unknown address
            stages = read_figures(gateway_server)["stages_s"]
            assert {"actions", "backends", "clients", "decisions", "discovery", "peers", "rest"} == set(
                stages
            )
            assert all(seconds > 0 for seconds in stages.values())
            assert read_figures(gateway_server)["datagrams_dropped"] == 1

    run_scenario(scenario())


def test_datagrams_are_counted() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        addresses = []
        for _ in range(2):
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
            )
            addresses.append(transport.get_extra_info("sockname"))
            transport.close()
        received: asyncio.Queue[PeerMessageReceived] = asyncio.Queue()
        counters = [CostCounters(), CostCounters()]
        transports = [
            PeerTransport(tuple(addresses), number, received.put_nowait, counters[number])
            for number in (0, 1)
        ]
        for peer_transport, address in zip(transports, addresses, strict=True):
            await asyncio.sleep(0)
            await loop.create_datagram_endpoint(
                lambda peer_transport=peer_transport: peer_transport, local_addr=address
            )
        for _ in range(3):
            transports[0].send(SendPeerMessage(1, (QuotaMessage(7, 0, 0, 2),)))
            await received.get()
        transports[0].transport.sendto(b"nonsense", addresses[1])
        while not counters[1].datagrams_dropped:
            await asyncio.sleep(0.001)
        assert counters[0].datagrams_out == counters[1].datagrams_in == 3
        assert counters[1].datagrams_dropped == 1
        for peer_transport in transports:
            peer_transport.close()

    run_scenario(scenario())


def test_time_stages_must_be_a_boolean(tmp_path: Path) -> None:
    assert not load(write_config(tmp_path, config_values())).time_stages
    assert load(write_config(tmp_path, config_values(time_stages=True))).time_stages
    with pytest.raises(ConfigError, match="time_stages"):
        load(write_config(tmp_path, config_values(time_stages=1)))


def test_signal_and_shutdown_each_log_one_cost_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        process, address = await start_process(tmp_path, StubScanServer())
        client = await RespClient.connect(address)
        assert await client.request(query_command("a1", 1500)) == b"ok"
        lines = []
        for number in (signal.SIGUSR1, signal.SIGTERM):
            process.send_signal(number)
            while b" costs {" not in (line := await process.stderr.readline()):
                assert line
            lines.append(json.loads(line.partition(b" costs ")[2]))
        assert [line["served"] for line in lines] == [1, 1]
        assert lines[0]["descriptors"]["clients"] == 1 and lines[1]["descriptors"]["clients"] == 0
        assert lines[1]["processor_s"] >= lines[0]["processor_s"] > 0
        assert await process.wait() == 0

    run_scenario(scenario())
