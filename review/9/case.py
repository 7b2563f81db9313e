"""A gateway dies with a keyed request after a reset and a rejection; another one sends it past its window."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

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
    category,
    fields_of,
    free_port,
    plan,
    run_case,
    settings,
    with_trouble,
)

GATEWAYS, SERVERS, CELL_SIZE = 3, 8, 4
WORK_S = 0.03
WINDOW_S = 1.2
SLACK_S = 0.05  # PROTOCOL: every time limit is 50 ms longer
RESET_AFTER_S = 0.35
KILL_AFTER_S = 0.42
ROUNDS = 4
ROUND_S = 3.0
WARM_UP_REQUESTS = 60
VICTIMS = 3
TRAFFIC_INTERVAL_S = 0.05  # between two requests of the usual traffic at each of the other gateways
ANSWER_TIMEOUT_S = 2.5
LEASING_PYTHON = ROOT / "review" / ".venv" / "bin" / "python"


class Cells:
    """How the scan servers treat the attempts of each key, and what came to them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.victims: set[str] = set()  # keys whose first attempt is reset after it has begun
        self.attempts: dict[str, list[tuple[float, ScanServer]]] = {}

    async def answer(self, server: ScanServer, command: list[bytes]) -> bytes | None:
        """Answer one attempt; b"" stands for a reset."""
        key = fields_of(command)["k"]
        attempts = self.attempts.setdefault(key, [])
        attempts.append((time.monotonic(), server))
        number = len(attempts)
        since_s = attempts[-1][0] - attempts[0][0]
        text = (
            f"attempt {number} of key {key}, {since_s:.3f} s after the first, cell {server.entry()['cell']}"
        )
        self.record.write(server.name, text)
        if key in self.victims and number == 1:
            await asyncio.sleep(RESET_AFTER_S)
            return b""
        if key in self.victims and number == len("12"):
            return b"-BUSY\r\n"
        if key in self.victims and number == len("123"):
            return None
        await asyncio.sleep(server.work_s)
        return server.value(command)

    def violations(self) -> list[str]:
        """Return the attempts that came later than the window, or to another cell, of requests that ran."""
        found = []
        for key, attempts in self.attempts.items():
            start_s, first = attempts[0]
            for number, (time_s, server) in enumerate(attempts[1:], 2):
                if time_s - start_s > WINDOW_S + SLACK_S:
                    found.append(
                        f"key {key}: attempt {number} came {time_s - start_s:.3f} s after the first, which "
                        f"had begun; its scan servers drop repeats for {WINDOW_S} s"
                    )
                if server.entry()["cell"] != first.entry()["cell"]:
                    found.append(f"key {key}: attempt {number} came to another cell")
        return found


class CellServer(ScanServer):
    """A scan server of the second deployment: one hall, cells of four."""

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in the list of discovery."""
        number = int(self.name.removeprefix("s-"))
        return {**super().entry(), "cell": 1 + number // CELL_SIZE}


def deployment(me: int) -> dict[str, Any]:
    """Return the settings, with the classes and the window of the second deployment of the kit."""
    values = settings(GATEWAYS, me)
    values["zones"] = ["fes-hall"]
    values["zone"] = 0
    values["categories"] = [
        category("site-lookup", 600_000, 3.0, 0.0, "read_like", "all", 5_000_000),
        category("count-submit", 750_000, 5.0, 0.2, "idempotency_key", "cell", round(WINDOW_S * 1e6)),
    ]
    values["plans"] = [plan("basic", 4.0, 20.0, 1.0, 0.3, 0.0)]
    return values


async def start_lease_service(folder: Path, port: int) -> asyncio.subprocess.Process:
    """Start the project's lease service, and wait until it serves."""
    (folder / "budgets.toml").write_text(
        f"doors = {GATEWAYS}\nlease_ms = 3000\nwork_lease_ms = 1000\n\n"
        '[[budgets]]\nname = "ceiling/institute/*"\nrate = 30.0\nburst = 60\n'
    )
    (folder / "secret").write_text("0123456789abcdef0123456789abcdef")
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            str(LEASING_PYTHON),
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


async def ask(gateway: Gateway, command: list[bytes], record: Record) -> str:
    """Send a request on a connection of its own; return its answer."""
    client = await Client.open(gateway.port)
    record.write("client", f"sends {command[2].decode()} {command[3].decode()}")
    await client.send([command])
    await client.read_answers(1, ANSWER_TIMEOUT_S)
    client.close()
    answer = client.answers[0] if client.answers else client.end
    record.write("client", f"{command[2].decode()}: {answer}")
    return answer


async def keep_asking(gateway: Gateway, ids: Ids, record: Record) -> None:
    """Send the usual traffic to a gateway, until cancelled."""
    while True:
        await ask(gateway, ids.request("count-submit"), record)
        await asyncio.sleep(TRAFFIC_INTERVAL_S)


async def play_round(gateway: Gateway, cells: Cells, ids: Ids, record: Record) -> None:
    """Send requests to a gateway, and kill it while some of them are in flight."""
    for _ in range(WARM_UP_REQUESTS):
        await ask(gateway, ids.request("count-submit"), record)
    commands = [ids.request("count-submit") for _ in range(VICTIMS)]
    if with_trouble():
        cells.victims |= {fields_of(command)["k"] for command in commands}
    tasks = [asyncio.create_task(ask(gateway, command, record)) for command in commands]
    await asyncio.sleep(KILL_AFTER_S)
    if with_trouble():
        gateway.signal(signal.SIGKILL)
        assert gateway.process is not None
        await gateway.process.wait()
    await asyncio.gather(*tasks)
    await asyncio.sleep(ROUND_S - KILL_AFTER_S)
    if not gateway.is_running():
        await gateway.start()
        await asyncio.sleep(1)


async def play(record: Record) -> list[str]:
    """Play some rounds; return the violations."""
    cells = Cells(record)
    servers: list[ScanServer] = [CellServer(f"s-{n}", "fes-hall", record, WORK_S) for n in range(SERVERS)]
    for server in servers:
        server.answer = cells.answer
        await server.start()
    discovery = Discovery(servers)
    await discovery.start()
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    lease_port = free_port()
    lease_service = await start_lease_service(folder, lease_port)
    peers = [f"{HOST}:{free_port(socket.SOCK_DGRAM)}" for _ in range(GATEWAYS)]
    work_leases = {
        "addresses": f"{HOST}:{lease_port}",
        "secret_file": str(folder / "secret"),
        "classes": ["count-submit"],
    }
    gateways = [
        Gateway(
            n, discovery, deployment(n), record, peer_listen=peers[n], peers=peers, work_leases=work_leases
        )
        for n in range(GATEWAYS)
    ]
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        await asyncio.sleep(1)
        ids = Ids(spread=GATEWAYS)
        traffic = [asyncio.create_task(keep_asking(gateway, ids, record)) for gateway in gateways[1:]]
        for _ in range(ROUNDS):
            await play_round(gateways[0], cells, ids, record)
        for task in traffic:
            task.cancel()
        if os.environ.get("SHOW_LOG"):
            print(*(gateway.log() for gateway in gateways), sep="\n---\n")
    finally:
        for gateway in gateways:
            await gateway.stop()
        lease_service.kill()
        await lease_service.wait()
    return cells.violations()


run_case(Path(__file__).resolve().parent, play)
