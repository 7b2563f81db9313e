"""The benchmarks: runs of a load and their figures, errors on invalid input, and no process left behind."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from tests.helpers import WORKING_TREE
from tests.sockets import run_scenario
from thistletrail.benchmarks import cost
from thistletrail.benchmarks.__main__ import main
from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.loads import LOADS
from thistletrail.benchmarks.process import (
    ROOT,
    GatewaySourceTree,
    Process,
    build_source_tree,
    free_port,
    running_gateway_process,
)
from thistletrail.benchmarks.stub_servers import HOST, StubPeer
from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.peer_codec import pack_datagrams, unpack_datagram

SMALL_LOAD = replace(LOADS["steady"], requests=60, rate=300, servers=3, work_ms=2.0)
TASK_FOLDER = Path("/proc/self/task")


def has_ended(pid: int) -> bool:
    """Return whether no process has this id."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return True
    return False


def error_line(args: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> str:
    """Run the command line with invalid input, and return the one line that it prints to standard error."""
    monkeypatch.setattr(sys, "argv", ["benchmarks", *args])
    assert main() == 2
    output, errors = capsys.readouterr()
    assert not output and errors.startswith("benchmarks: ") and errors.count("\n") == 1
    return errors


@pytest.mark.parametrize("folder", ["molereach", "thistletrail/gateway"])
def test_source_tree_without_legacy_settings_has_no_lease_keys(tmp_path: Path, folder: str) -> None:
    gateway = tmp_path / folder
    gateway.mkdir(parents=True)
    (gateway / "config.py").write_text("def read_addresses(): ...\n")
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text('build = "true"\nrun = "true"\n')
    assert not build_source_tree(tmp_path).has_lease_keys
    (gateway / "legacy_settings.py").touch()
    assert build_source_tree(tmp_path).has_lease_keys


@pytest.mark.parametrize(
    ("args", "message"),
    [
        ([], "required"),
        (["speed"], "invalid choice"),
        (["cost", "--load", "none"], "unknown load 'none'"),
        (["cost", "--against", "no-such-thing"], "no revision 'no-such-thing'"),
        (["cost", "--against=--help"], "no revision"),
        (["cost", "--requests", "0"], "'0' is no whole number"),
        (["cost", "--pairs", "many"], "'many' is no whole number"),
        (["cost", "--port", "70000"], "'70000'"),
        (["cost", "--json", "/nowhere/x.json"], "cannot write"),
    ],
)
def test_invalid_input_is_reported_in_one_line(
    args: list[str], message: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert message in error_line(args, monkeypatch, capsys)


def test_port_in_use_is_reported_in_one_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.create_server((HOST, 0)) as taken:
        port = str(taken.getsockname()[1])
        assert f"port {port} is not free" in error_line(["cost", "--port", port], monkeypatch, capsys)


def test_free_port_stays_reserved_while_its_server_is_stopped() -> None:
    port = free_port()

    async def scenario() -> None:
        for _ in range(2):  # started, killed and started again
            with (
                socket.socket() as other,
                pytest.raises(OSError),
            ):
                # Connections and other servers bind like this, without SO_REUSEADDR.
                other.bind((HOST, port))
            owner = await asyncio.start_server(lambda reader, writer: None, HOST, port)
            with pytest.raises(OSError):
                await asyncio.start_server(lambda reader, writer: None, HOST, port)
            owner.close()
            await owner.wait_closed()

    run_scenario(scenario())


def test_gateway_that_does_not_start_is_reported_in_one_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    broken = replace(WORKING_TREE, start_command="echo it is broken >&2; exit 3")
    monkeypatch.setattr("thistletrail.benchmarks.__main__.build_source_tree", lambda root: broken)
    assert "did not start: it is broken" in error_line(["cost", "--load", "steady"], monkeypatch, capsys)


def test_outcomes_of_a_run_add_up_to_its_requests() -> None:
    async def scenario() -> None:
        load = replace(SMALL_LOAD, pipelined=2, idle=3, replace_every_s=0.05)
        result = await cost.run_load(WORKING_TREE, load, seed=5, timed=True)
        assert (result.requests, result.served + result.refused + result.other) == (60, 60)
        assert result.served > 0 and result.other == 0
        assert result.processor_us > 0 and result.resident_end > 1 << 20 and result.resident_idle is not None
        assert 0 < result.handshakes <= 1 and "decisions" in result.stages_us
        text = cost.cost_table([result])
        assert text.splitlines()[1].split()[:2] == ["steady", "60"] and "by stage" in text

    run_scenario(scenario())


def test_runs_with_the_same_seed_send_the_same_commands() -> None:
    generators = [cost.LoadGenerator(SMALL_LOAD, 3, (HOST, 1)) for _ in range(2)]
    commands = [[generator.next_command() for _ in range(50)] for generator in generators]
    assert (
        commands[0]
        == commands[1]
        != [cost.LoadGenerator(SMALL_LOAD, 4, (HOST, 1)).next_command() for _ in range(50)]
    )


def test_cancelled_run_ends_its_gateway(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        started: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        async def measure_forever(tree: GatewaySourceTree, process: Process, *rest: object) -> None:
            started.set_result(process.process.pid)
            await asyncio.Event().wait()

        monkeypatch.setattr(cost, "measure", measure_forever)
        task = asyncio.create_task(cost.run_load(WORKING_TREE, SMALL_LOAD, seed=5))
        pid = await started
        assert not has_ended(pid)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert has_ended(pid)

    run_scenario(scenario())


def test_figures_of_a_killed_gateway_raise_benchmark_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        values = cost.gateway_config((HOST, 1), (HOST, 2), cost.free_port(), 1, False)
        async with running_gateway_process(WORKING_TREE, values, tmp_path) as process:
            process.kill()
            await process.process.wait()
            with pytest.raises(BenchmarkError, match="has ended"):
                process.resident_bytes()
            with pytest.raises(BenchmarkError, match="has ended"):
                process.descriptor_count()

    run_scenario(scenario())


@pytest.mark.skipif(not TASK_FOLDER.is_dir(), reason="this system lists no children of a process")
@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_no_process_is_left_after_a_signal(number: int) -> None:
    code = (
        "import sys, thistletrail.benchmarks.__main__ as m\n"
        "from thistletrail.benchmarks.process import working_tree\n"
        "m.build_source_tree = lambda root: working_tree()\n"
        "sys.argv[1:] = ['cost', '--load', 'steady', '--requests', '100000']; sys.exit(m.main())"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    while not (child_pids := [int(pid) for pid in children.read_text().split()]):
        assert process.poll() is None
    process.send_signal(number)
    output, errors = process.communicate(timeout=30)
    assert process.returncode == 130 and errors == "benchmarks: ended before its time\n" and not output
    assert all(map(has_ended, child_pids))


def test_differences_of_figures_are_computed_within_pairs() -> None:
    def load_run(load: str, us: float, idle: float | None) -> cost.LoadRun:
        return cost.LoadRun(load, 10, 10, 0, 0, us, 1, 2, idle, 0.5, 0.25, 0.0)

    pairs = [
        (load_run("a", 90, 3.0), load_run("a", 100, 5.0)),
        (load_run("a", 104, 3.0), load_run("a", 110, 3.0)),
        (load_run("b", 7, None), load_run("b", 7, None)),
    ]
    rows = {(row["load"], row["figure"]): row for row in cost.differences(pairs)}
    row = rows["a", "processor_us"]
    assert (row["pairs"], row["ours"], row["theirs"], row["difference"]) == (2, 97, 105, -8)
    assert (row["least"], row["most"], round(row["deviation"], 3)) == (-10, -6, 2.828)
    assert rows["b", "processor_us"]["deviation"] is None and ("b", "resident_idle") not in rows
    text = cost.difference_table(rows.values(), "HEAD~1")
    assert "HEAD~1" in text.splitlines()[0] and "-7.6" in text


class RecordingTransport(asyncio.DatagramTransport):
    """A transport that records the datagrams sent."""

    def __init__(self) -> None:
        super().__init__()
        self.datagrams: list[tuple[bytes, tuple[str, int]]] = []

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        self.datagrams.append((data, addr))


def test_stub_peer_answers_only_quota_requests() -> None:
    peer, transport = StubPeer(level=20.0), RecordingTransport()
    peer.connection_made(transport)
    report = QuotaMessage(7, 0, 0, 2, demand=1.0)
    request = QuotaMessage(9, 0, 0, 2, demand=3.0, requested=2.0)
    for datagram in pack_datagrams([report, request]):
        peer.datagram_received(datagram, (HOST, 1))
    ((data, address),) = transport.datagrams
    assert address == (HOST, 1)
    messages = unpack_datagram(data).quota_messages
    assert [(message.customer, message.is_answer) for message in messages] == [(9, True)]
    assert (messages[0].demand, messages[0].spent, messages[0].level) == (3.0, 2.0, 20.0)
