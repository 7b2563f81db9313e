"""A front door as a process: a tree of sources, its start by the deploy file, and figures from outside."""

import asyncio
import contextlib
import io
import json
import os
import signal
import socket
import subprocess
import sys
import tarfile
import tomllib
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.load_generator import PING, GatewayClient
from thistletrail.benchmarks.stub_servers import HOST, Address
from thistletrail.process_lifetime import die_with_parent

READY_TIMEOUT_S = 20.0  # for a front door to answer PING: machines may be slow
DRAIN_TIMEOUT_S = 10.0  # for its drain
BUILD_TIMEOUT_S = 300.0
COST_LINE_TIMEOUT_S = 5.0  # for the line on costs to come
POLL_INTERVAL_S = 0.02  # between looks at whether it is ready
ROOT = Path(__file__).resolve().parents[2]
KIB = 1024
RESERVED_SOCKETS: list[socket.socket] = []  # bound and not listening, one for each port that `free_port` gave


@dataclass(frozen=True, slots=True)
class GatewaySourceTree:
    """Sources that can be built and started by their deploy file."""

    root: Path
    start_command: str
    logs_costs: bool  # whether SIGUSR1 brings a line; else it would end the process
    accepts_address_list: bool = True  # whether a front door takes several addresses of discovery
    has_lease_keys: bool = (
        True  # whether its file has `budget_leases`, `work_leases`; else `steward`, `takeover`
    )


def working_tree() -> GatewaySourceTree:
    """Return the present sources, unbuilt, with gateways that are started by this Python interpreter."""
    return GatewaySourceTree(ROOT, f"exec {sys.executable} -m thistletrail.gateway", logs_costs=True)


def last_line(said: bytes) -> str:
    """What a program said last, of all that it printed."""
    return next(iter(reversed(said.decode(errors="replace").strip().splitlines())), "it said nothing")


def git(*words: str) -> bytes:
    done = subprocess.run(["git", "-C", str(ROOT), *words], capture_output=True, check=False)
    if done.returncode:
        raise BenchmarkError(f"git {words[0]}: {last_line(done.stderr)}")
    return done.stdout


def gateway_folder(root: Path) -> Path:
    """Where a tree has the gateway process; revisions before the single package call it otherwise."""
    today = root / "thistletrail" / "gateway"
    return today if today.is_dir() else root / "molereach"


def build_source_tree(root: Path) -> GatewaySourceTree:
    """Build a tree."""
    try:
        deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
        build, run = deploy["build"], deploy["run"]
    except (OSError, ValueError, KeyError) as error:
        raise BenchmarkError(f"no usable deploy file in {root}: {error}") from error
    try:
        done = subprocess.run(
            ["/bin/sh", "-c", build], cwd=root, capture_output=True, check=False, timeout=BUILD_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        raise BenchmarkError(f"the build took more than {BUILD_TIMEOUT_S:.0f} s") from None
    if done.returncode:
        raise BenchmarkError(f"the build failed: {last_line(done.stderr or done.stdout)}")
    folder = gateway_folder(root)
    accepts_address_list = "read_addresses" in (folder / "config.py").read_text()
    logs_costs = any((folder / name).exists() for name in ("cost_counters.py", "costs.py"))
    has_lease_keys = (folder / "legacy_settings.py").exists()
    return GatewaySourceTree(root, run, logs_costs, accepts_address_list, has_lease_keys)


@contextlib.contextmanager
def check_out_revision(name: str) -> Iterator[GatewaySourceTree]:
    """Another revision, in a folder of its own; with our packages where it asks for the same."""
    if name.startswith("-"):
        raise BenchmarkError(f"'{name}' is no revision")
    try:
        commit = git("rev-parse", "--verify", "--quiet", f"{name}^{{commit}}").decode().strip()
    except BenchmarkError:
        raise BenchmarkError(f"there is no revision '{name}'") from None
    with TemporaryDirectory(prefix="bench-") as folder:
        root = Path(folder)
        with tarfile.open(fileobj=io.BytesIO(git("archive", commit))) as archive:
            archive.extractall(root, filter="data")
        ours = ROOT / ".venv"
        same = (root / "requirements.txt").read_bytes() == (ROOT / "requirements.txt").read_bytes()
        if same and ours.exists():
            (root / ".venv").symlink_to(ours)
        yield build_source_tree(root)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM, host: str = HOST) -> int:
    """One that nobody has; of TCP it stays so until this process ends, but for whoever is told of it.

    The system gives no connection a port that is bound, and lets a server that binds it with SO_REUSEADDR
    listen there. One of datagrams is let go of, as two sockets would share what comes.
    """
    found = socket.socket(socket.AF_INET, kind)
    try:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind is socket.SOCK_STREAM)
        found.bind((host, 0))
        port = found.getsockname()[1]
    except OSError as error:
        found.close()
        raise BenchmarkError(f"no port is free: {error.strerror}") from error
    if kind is socket.SOCK_STREAM:
        RESERVED_SOCKETS.append(found)
    else:
        found.close()
    return port


def check_port(port: int) -> None:
    try:
        with socket.socket() as found:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            found.bind((HOST, port))
    except (OSError, OverflowError) as error:
        raise BenchmarkError(
            f"port {port} is not free: {getattr(error, 'strerror', None) or error}"
        ) from error


class Process:
    """A front door that runs; its figures are the system's own."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path, address: Address) -> None:
        self.process, self.log, self.address = process, log, address
        self.proc_folder = Path("/proc") / str(process.pid)

    def processor_us(self) -> float:
        """Used so far by all its threads."""
        try:
            threads = list((self.proc_folder / "task").iterdir())
            return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / 1e3
        except (OSError, ValueError, IndexError):
            pass
        try:
            fields = (self.proc_folder / "stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) * 1e6 / os.sysconf("SC_CLK_TCK")
        except (OSError, ValueError, IndexError) as error:
            raise BenchmarkError(f"the front door has ended: {self.last_line()}") from error

    def resident_bytes(self) -> int:
        try:
            for line in (self.proc_folder / "status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * KIB
        except OSError:
            pass
        raise BenchmarkError(f"the front door has ended: {self.last_line()}")

    def descriptor_count(self) -> int:
        try:
            return len(os.listdir(self.proc_folder / "fd"))
        except OSError:
            raise BenchmarkError(f"the front door has ended: {self.last_line()}") from None

    def last_line(self) -> str:
        return last_line(self.log.read_bytes())

    def cost_reports(self) -> list[dict[str, Any]]:
        lines = self.log.read_text(errors="replace").splitlines()
        return [json.loads(line.partition(" costs ")[2]) for line in lines if " costs {" in line]

    async def cost_report(self) -> dict[str, Any]:
        """What it says of its own costs by now."""
        known = len(self.cost_reports())
        self.process.send_signal(signal.SIGUSR1)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(COST_LINE_TIMEOUT_S):
                while len(self.cost_reports()) == known:
                    await asyncio.sleep(POLL_INTERVAL_S)
                return self.cost_reports()[known]
        raise BenchmarkError("the front door does not tell its costs")

    async def wait_until_ready(self) -> None:
        """Wait until it answers PING."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                while self.process.returncode is None:
                    try:
                        client = await GatewayClient.open(self.address)
                    except OSError:
                        await asyncio.sleep(POLL_INTERVAL_S)
                        continue
                    outcome = await client.send_commands([PING])[0]
                    client.close()
                    if outcome == "pong":
                        return
        raise BenchmarkError(f"the front door did not start: {self.last_line()}")

    async def drain(self) -> None:
        """Drain it; what is left of its group after that is killed."""
        with contextlib.suppress(ProcessLookupError, TimeoutError):
            self.process.terminate()
            await asyncio.wait_for(self.process.wait(), DRAIN_TIMEOUT_S)

    def kill(self) -> None:
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self.process.pid, signal.SIGKILL)


async def start_gateway_process(tree: GatewaySourceTree, config: dict[str, Any], folder: Path) -> Process:
    """A front door, started by the deploy file; it need not serve yet. Its log is added to what is there."""
    file, log = folder / "config.json", folder / "log"
    file.write_text(json.dumps(config))
    env = {name: text for name, text in os.environ.items() if not name.startswith("PROXY_")}
    host, _, port = config["listen"].rpartition(":")
    with log.open("ab") as output:
        process = await asyncio.create_subprocess_shell(
            tree.start_command,
            cwd=tree.root,
            env={**env, "PROXY_CONFIG": str(file)},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            start_new_session=True,  # a group of its own, ended as one
            preexec_fn=partial(die_with_parent, os.getpid()),
        )
    return Process(process, log, (host, int(port)))


@contextlib.asynccontextmanager
async def running_gateway_process(
    tree: GatewaySourceTree, config: dict[str, Any], folder: Path
) -> AsyncIterator[Process]:
    """A front door that serves; it is gone at the end, whatever happens in between."""
    found = await start_gateway_process(tree, config, folder)
    try:
        await found.wait_until_ready()
        yield found
        await found.drain()
    finally:
        found.kill()
        await found.process.wait()


async def spawn_python(words: Sequence[str], log: Path, **more: Any) -> asyncio.subprocess.Process:  # noqa: ANN401
    """A Python program of the project's own, in a group of its own; it dies with this process."""
    with log.open("ab") as errors:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            cwd=ROOT,
            stderr=errors,
            start_new_session=True,
            preexec_fn=partial(die_with_parent, os.getpid()),
            **more,
        )


async def start_without_waiting(words: Sequence[str], log: Path, address: Address) -> Process:
    """A program that is not waited for, as it serves at `address` only once its turn has come."""
    return Process(await spawn_python(words, log, stdout=asyncio.subprocess.DEVNULL), log, address)


async def start_program(words: Sequence[str], log: Path, **more: Any) -> tuple[Process, str]:  # noqa: ANN401
    """A Python program of the project's own that prints one line once it serves, with its address at the end
    where it has one: the process and that line. One that ends before is a BenchmarkError."""
    process = await spawn_python(words, log, stdout=asyncio.subprocess.PIPE, **more)
    found = Process(process, log, (HOST, 0))
    try:
        line = (await asyncio.wait_for(process.stdout.readline(), READY_TIMEOUT_S)).decode().strip()
        if not line:
            raise BenchmarkError(f"'{' '.join(words[:2])}' does not start: {found.last_line()}")
        host, _, port = line.split()[-1].rpartition(":")
        if port.isdecimal():
            found.address = host, int(port)
        return found, line
    except BaseException as error:
        found.kill()
        await process.wait()
        if isinstance(error, TimeoutError):
            raise BenchmarkError(f"'{' '.join(words[:2])}' does not start in {READY_TIMEOUT_S:g} s") from None
        raise
