"""A gateway that hears late from the lease service dies; requests that it has refused are run after that."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    HOST,
    READY_TIMEOUT_S,
    ROOT,
    Client,
    Discovery,
    Gateway,
    Ids,
    Record,
    ScanServer,
    free_port,
    run_case,
    settings,
    with_trouble,
)

GATEWAYS, SERVERS = 3, 12
WORK_S = 0.08
LATE_S = 0.2  # the replies of the lease service to the second gateway
ROUNDS = 5
LOAD_S, INTERVAL_S = 1.2, 0.015  # 67 requests a second until the second gateway is killed
DOWN_S = 2.6
ANSWER_TIMEOUT_S = 3.0
PYTHONS = (ROOT / ".venv" / "bin" / "python", ROOT / "review" / ".venv" / "bin" / "python")


class Refusals:
    """When each request was refused, and the attempts that began after that."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.refused_s: dict[str, float] = {}  # by request id
        self.violations: list[str] = []

    async def answer(self, server: ScanServer, command: list[bytes]) -> bytes | None:
        """Begin an attempt, and serve it; note where its request was refused before."""
        request = command[2].decode()
        if request in self.refused_s:
            after_s = time.monotonic() - self.refused_s[request]
            text = (
                f"{request}, which was answered -BUSY, is begun at {server.name} {after_s:.3f} s after that"
            )
            self.record.write(server.name, text)
            self.violations.append(text)
        await asyncio.sleep(server.work_s)
        return server.value(command)


class LateRelay:
    """Passes bytes on between a gateway and the lease service; what the lease service sends is late."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.late_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a port that the system chooses."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection."""
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
            back = asyncio.create_task(self.pass_on(far_reader, writer, True))
            self.tasks.add(back)
            await self.pass_on(reader, far_writer, False)

    async def pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_back: bool
    ) -> None:
        """Pass on what comes, in order; late on the way back."""
        with contextlib.closing(writer), contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                if is_back and self.late_s:
                    await asyncio.sleep(self.late_s)
                writer.write(data)
                await writer.drain()


async def leasing_python() -> str:
    """Return the interpreter that has the packages of the lease service."""
    for path in PYTHONS:
        if path.exists():
            check = await asyncio.create_subprocess_exec(
                str(path),
                "-c",
                "import aiohttp, click, h11, msgspec, xxhash",
                stderr=asyncio.subprocess.DEVNULL,
            )
            if not await check.wait():
                return str(path)
    raise RuntimeError("no environment has the packages of the lease service: run review/build-2.sh")


async def start_lease_service(folder: Path, port: int) -> asyncio.subprocess.Process:
    """Start the project's lease service, and wait until it serves."""
    python = await leasing_python()
    (folder / "budgets.toml").write_text(
        f"doors = {GATEWAYS}\nlease_ms = 3000\nwork_lease_ms = 1000\n\n"
        '[[budgets]]\nname = "ceiling/institution/*"\nrate = 30.0\nburst = 60\n'
    )
    (folder / "secret").write_text("0123456789abcdef0123456789abcdef")
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            python,
            *("-m", "thistletrail.leasing", "serve", "--data", str(folder / "data")),
            *("--config", str(folder / "budgets.toml"), "--secret", str(folder / "secret")),
            *("--listen", f"{HOST}:{port}"),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            start_new_session=True,
        )
    assert process.stdout is not None
    line = await asyncio.wait_for(process.stdout.readline(), READY_TIMEOUT_S)
    if b"serves" not in line:
        raise RuntimeError(f"the lease service is not ready: {(folder / 'log').read_text()[-300:]}")
    return process


async def ask(gateway: Gateway, command: list[bytes], refusals: Refusals) -> None:
    """Send one request to a gateway; note when it is refused."""
    request = command[2].decode()
    try:
        client = await Client.open(gateway.port)
    except OSError:
        refusals.record.write("client", f"{request}: unreached")
        return
    await client.send([command])
    await client.read_answers(1, ANSWER_TIMEOUT_S)
    answer = client.answers[0] if client.answers else client.end
    if answer.startswith("-BUSY"):
        refusals.refused_s[request] = time.monotonic()
    refusals.record.write("client", f"{request} {command[3].decode()} at {gateway.name}: {answer}")
    client.close()


async def play_round(gateways: list[Gateway], relay: LateRelay, ids: Ids, refusals: Refusals) -> None:
    """Kill the second gateway while clients send requests to it, and start it again."""
    relay.late_s = LATE_S if with_trouble() else 0.0
    tasks = []
    end_s = time.monotonic() + LOAD_S
    while time.monotonic() < end_s:
        tasks.append(asyncio.create_task(ask(gateways[1], ids.request("submit-record"), refusals)))
        await asyncio.sleep(INTERVAL_S)
    if with_trouble():
        gateways[1].signal(signal.SIGKILL)
        assert gateways[1].process is not None
        await gateways[1].process.wait()
    await asyncio.gather(*tasks)
    await asyncio.sleep(DOWN_S)
    relay.late_s = 0.0
    if not gateways[1].is_running():
        await gateways[1].start()
    await asyncio.sleep(1)


async def play(record: Record) -> list[str]:
    """Play some rounds; return the violations."""
    refusals = Refusals(record)
    names = ("east-hall", "west-hall")
    servers = [ScanServer(f"s-{n}", names[n % 2], record, WORK_S) for n in range(SERVERS)]
    for server in servers:
        server.answer = refusals.answer
        await server.start()
    discovery = Discovery(servers)
    await discovery.start()
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    lease_port = free_port()
    lease_service = await start_lease_service(folder, lease_port)
    relay = LateRelay(lease_port)
    await relay.start()
    peers = [f"{HOST}:{free_port(socket.SOCK_DGRAM)}" for _ in range(GATEWAYS)]
    gateways = [
        Gateway(
            n,
            discovery,
            settings(GATEWAYS, n),
            record,
            peer_listen=peers[n],
            peers=peers,
            work_leases={
                "addresses": f"{HOST}:{port}",
                "secret_file": str(folder / "secret"),
                "classes": ["submit-record"],
            },
        )
        for n, port in enumerate((lease_port, relay.port, lease_port))
    ]
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        await asyncio.sleep(1)
        ids = Ids(spread=GATEWAYS)
        for _ in range(ROUNDS):
            await play_round(gateways, relay, ids, refusals)
    finally:
        for gateway in gateways:
            await gateway.stop()
        lease_service.kill()
        await lease_service.wait()
    return refusals.violations


run_case(Path(__file__).resolve().parent, play)
