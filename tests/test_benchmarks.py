"""The load harness: what it plays and counts, what it says of bad input, and that nothing of it is left."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from tests.sockets import run_scenario
from thistletrail.benchmarks import cost
from thistletrail.benchmarks.__main__ import main
from thistletrail.benchmarks.errors import BenchError
from thistletrail.benchmarks.loads import LOADS
from thistletrail.benchmarks.process import ROOT, Process, Tree, free_port, front_door, prepare
from thistletrail.benchmarks.standins import HOST, Peer
from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.peer_codec import pack_datagrams, unpack_datagram

HERE = Tree(ROOT, f"exec {sys.executable} -m thistletrail.gateway", tells_costs=True)
SMALL = replace(LOADS["steady"], requests=60, rate=300, servers=3, work_ms=2.0)
PROC = Path("/proc/self/task")


def gone(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return True
    return False


def told(args: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> str:
    """The one line that a call with bad input prints."""
    monkeypatch.setattr(sys, "argv", ["bench", *args])
    assert main() == 2
    out, errors = capsys.readouterr()
    assert not out and errors.startswith("benchmarks: ") and errors.count("\n") == 1
    return errors


@pytest.mark.parametrize("folder", ["molereach", "thistletrail/gateway"])
def test_a_tree_from_before_the_lease_keys_is_known_as_such(tmp_path: Path, folder: str) -> None:
    gateway = tmp_path / folder
    gateway.mkdir(parents=True)
    (gateway / "config.py").write_text("def read_addresses(): ...\n")
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text('build = "true"\nrun = "true"\n')
    assert not prepare(tmp_path).has_lease_keys
    (gateway / "legacy_settings.py").touch()
    assert prepare(tmp_path).has_lease_keys


@pytest.mark.parametrize(
    ("args", "says"),
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
def test_bad_input_is_one_plain_line(
    args: list[str], says: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert says in told(args, monkeypatch, capsys)


def test_port_in_use_is_one_plain_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.create_server((HOST, 0)) as taken:
        port = str(taken.getsockname()[1])
        assert f"port {port} is not free" in told(["cost", "--port", port], monkeypatch, capsys)


def test_a_free_port_stays_its_owners() -> None:
    port = free_port()

    async def job() -> None:
        for _ in range(2):  # started, killed and started again
            with socket.socket() as other, pytest.raises(OSError):  # as connections and other servers bind
                other.bind((HOST, port))
            owner = await asyncio.start_server(lambda reader, writer: None, HOST, port)
            with pytest.raises(OSError):
                await asyncio.start_server(lambda reader, writer: None, HOST, port)
            owner.close()
            await owner.wait_closed()

    run_scenario(job())


def test_front_door_that_does_not_start_is_one_plain_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    broken = replace(HERE, run="echo it is broken >&2; exit 3")
    monkeypatch.setattr("thistletrail.benchmarks.__main__.prepare", lambda root: broken)
    assert "did not start: it is broken" in told(["cost", "--load", "steady"], monkeypatch, capsys)


def test_play_counts_what_it_asked() -> None:
    async def job() -> None:
        load = replace(SMALL, pipelined=2, idle=3, replace_every_s=0.05)
        found = await cost.play(HERE, load, seed=5, timed=True)
        assert (found.requests, found.served + found.refused + found.other) == (60, 60)
        assert found.served > 0 and found.other == 0
        assert found.processor_us > 0 and found.resident_end > 1 << 20 and found.resident_idle is not None
        assert 0 < found.handshakes <= 1 and "decisions" in found.stages_us
        text = cost.cost_table([found])
        assert text.splitlines()[1].split()[:2] == ["steady", "60"] and "by stage" in text

    run_scenario(job())


def test_plays_of_one_seed_ask_the_same() -> None:
    callers = [cost.Callers(SMALL, 3, (HOST, 1)) for _ in range(2)]
    asked = [[caller.command() for _ in range(50)] for caller in callers]
    assert asked[0] == asked[1] != [cost.Callers(SMALL, 4, (HOST, 1)).command() for _ in range(50)]


def test_front_door_is_gone_when_a_play_is_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    async def job() -> None:
        started: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        async def stay(tree: Tree, process: Process, *rest: object) -> None:
            started.set_result(process.process.pid)
            await asyncio.Event().wait()

        monkeypatch.setattr(cost, "measure", stay)
        task = asyncio.create_task(cost.play(HERE, SMALL, seed=5))
        pid = await started
        assert not gone(pid)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert gone(pid)

    run_scenario(job())


def test_front_door_that_dies_ends_the_play(tmp_path: Path) -> None:
    async def job() -> None:
        values = cost.config((HOST, 1), (HOST, 2), cost.free_port(), 1, False)
        async with front_door(HERE, values, tmp_path) as process:
            process.kill()
            await process.process.wait()
            with pytest.raises(BenchError, match="has ended"):
                process.resident()
            with pytest.raises(BenchError, match="has ended"):
                process.descriptors()

    run_scenario(job())


@pytest.mark.skipif(not PROC.is_dir(), reason="this system lists no children of a process")
@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_all_is_gone_after_a_signal(number: int) -> None:
    code = (
        "import sys, thistletrail.benchmarks.__main__ as m\n"
        "from thistletrail.benchmarks.process import ROOT, Tree\n"
        f"m.prepare = lambda root: Tree(ROOT, {HERE.run!r}, True)\n"
        "sys.argv[1:] = ['cost', '--load', 'steady', '--requests', '100000']; sys.exit(m.main())"
    )
    bench = subprocess.Popen(
        [sys.executable, "-c", code],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    children = Path(f"/proc/{bench.pid}/task/{bench.pid}/children")
    while not (found := [int(pid) for pid in children.read_text().split()]):
        assert bench.poll() is None
    bench.send_signal(number)
    out, errors = bench.communicate(timeout=30)
    assert bench.returncode == 130 and errors == "benchmarks: ended before its time\n" and not out
    assert all(map(gone, found))


def test_differences_are_of_pairs() -> None:
    def made(load: str, us: float, idle: float | None) -> cost.Play:
        return cost.Play(load, 10, 10, 0, 0, us, 1, 2, idle, 0.5, 0.25, 0.0)

    found = [
        (made("a", 90, 3.0), made("a", 100, 5.0)),
        (made("a", 104, 3.0), made("a", 110, 3.0)),
        (made("b", 7, None), made("b", 7, None)),
    ]
    rows = {(row["load"], row["figure"]): row for row in cost.differences(found)}
    taken = rows["a", "processor_us"]
    assert (taken["pairs"], taken["ours"], taken["theirs"], taken["difference"]) == (2, 97, 105, -8)
    assert (taken["least"], taken["most"], round(taken["deviation"], 3)) == (-10, -6, 2.828)
    assert rows["b", "processor_us"]["deviation"] is None and ("b", "resident_idle") not in rows
    text = cost.difference_table(rows.values(), "HEAD~1")
    assert "HEAD~1" in text.splitlines()[0] and "-7.6" in text


class Sent(asyncio.DatagramTransport):
    """Keeps what is sent."""

    def __init__(self) -> None:
        super().__init__()
        self.datagrams: list[tuple[bytes, tuple[str, int]]] = []

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        self.datagrams.append((data, addr))


def test_the_peer_answers_what_is_requested_and_nothing_else() -> None:
    peer, transport = Peer(level=20.0), Sent()
    peer.connection_made(transport)
    silent = QuotaMessage(7, 0, 0, 2, demand=1.0)
    request = QuotaMessage(9, 0, 0, 2, demand=3.0, requested=2.0)
    for datagram in pack_datagrams([silent, request]):
        peer.datagram_received(datagram, (HOST, 1))
    ((data, address),) = transport.datagrams
    assert address == (HOST, 1)
    messages = unpack_datagram(data).quota_messages
    assert [(message.customer, message.is_answer) for message in messages] == [(9, True)]
    assert (messages[0].demand, messages[0].spent, messages[0].level) == (3.0, 2.0, 20.0)
