"""Starts gateways and other programs as processes, and measures these processes from outside."""

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

READY_TIMEOUT_S = 20.0  # until a gateway answers PING; long, as machines may be slow
DRAIN_TIMEOUT_S = 10.0  # for a graceful shutdown after SIGTERM
BUILD_TIMEOUT_S = 300.0
COST_LINE_TIMEOUT_S = 5.0  # for a `costs` line in the log after SIGUSR1
POLL_INTERVAL_S = 0.02  # between checks of the log or of readiness
ROOT = Path(__file__).resolve().parents[2]
KIB = 1024
RESERVED_SOCKETS: list[socket.socket] = []  # bound, not listening: the TCP ports of `free_port`


@dataclass(frozen=True, slots=True)
class GatewaySourceTree:
    """The sources of one revision, with the command that starts a gateway from them."""

    root: Path
    start_command: str  # a shell command with `root` as its working directory
    # Whether the gateway logs a `costs` line on SIGUSR1; in revisions without that, the signal ends it.
    logs_costs: bool
    # Whether `discovery` may hold several addresses.
    accepts_address_list: bool = True
    # Whether the keys of the configuration are `budget_leases` and `work_leases`; else `steward`, `takeover`.
    has_lease_keys: bool = True


def working_tree() -> GatewaySourceTree:
    """Return the present sources, unbuilt, with gateways that are started by this Python interpreter."""
    return GatewaySourceTree(ROOT, f"exec {sys.executable} -m thistletrail.gateway", logs_costs=True)


def last_line(output: bytes) -> str:
    """Return the last line of a program's output."""
    return next(iter(reversed(output.decode(errors="replace").strip().splitlines())), "no output")


def git(*arguments: str) -> bytes:
    """Run git in this repository and return its standard output; BenchmarkError if git fails."""
    completed = subprocess.run(["git", "-C", str(ROOT), *arguments], capture_output=True, check=False)
    if completed.returncode:
        raise BenchmarkError(f"git {arguments[0]} failed: {last_line(completed.stderr)}")
    return completed.stdout


def gateway_folder(root: Path) -> Path:
    """Return the gateway package's folder, which had another name before the project became one package."""
    present = root / "thistletrail" / "gateway"
    return present if present.is_dir() else root / "molereach"


def build_source_tree(root: Path) -> GatewaySourceTree:
    """Run the build command of the deploy file, and find out from the sources what their gateway supports.

    BenchmarkError if the deploy file is unusable or the build fails.
    """
    try:
        deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
        build_command, start_command = deploy["build"], deploy["run"]
    except (OSError, ValueError, KeyError) as error:
        raise BenchmarkError(f"no usable deploy file in {root}: {error}") from error
    try:
        completed = subprocess.run(
            ["/bin/sh", "-c", build_command],
            cwd=root,
            capture_output=True,
            check=False,
            timeout=BUILD_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        raise BenchmarkError(f"the build took more than {BUILD_TIMEOUT_S:.0f} s") from None
    if completed.returncode:
        raise BenchmarkError(f"the build failed: {last_line(completed.stderr or completed.stdout)}")
    folder = gateway_folder(root)
    accepts_address_list = "read_addresses" in (folder / "config.py").read_text()
    logs_costs = any((folder / name).exists() for name in ("cost_counters.py", "costs.py"))
    has_lease_keys = (folder / "legacy_settings.py").exists()
    return GatewaySourceTree(root, start_command, logs_costs, accepts_address_list, has_lease_keys)


@contextlib.contextmanager
def build_revision(name: str) -> Iterator[GatewaySourceTree]:
    """Build another revision in a temporary folder.

    It gets the virtual environment of this tree if both trees require the same packages.
    """
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
        environment = ROOT / ".venv"
        has_same_requirements = (root / "requirements.txt").read_bytes() == (
            ROOT / "requirements.txt"
        ).read_bytes()
        if has_same_requirements and environment.exists():
            (root / ".venv").symlink_to(environment)
        yield build_source_tree(root)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM, host: str = HOST) -> int:
    """Return a free port. A TCP port stays reserved for the caller until this process ends.

    A bound socket that does not listen reserves it: the system assigns a bound port to no other connection,
    and still lets a server that binds it with SO_REUSEADDR listen there. A datagram port is not reserved, as
    two bound sockets would share the datagrams that arrive.
    """
    reserved = socket.socket(socket.AF_INET, kind)
    try:
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind is socket.SOCK_STREAM)
        reserved.bind((host, 0))
        port = reserved.getsockname()[1]
    except OSError as error:
        reserved.close()
        raise BenchmarkError(f"no port is free: {error.strerror}") from error
    if kind is socket.SOCK_STREAM:
        RESERVED_SOCKETS.append(reserved)
    else:
        reserved.close()
    return port


def check_port(port: int) -> None:
    """Raise BenchmarkError if a server could not listen on this TCP port."""
    try:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((HOST, port))
    except (OSError, OverflowError) as error:
        raise BenchmarkError(
            f"port {port} is not free: {getattr(error, 'strerror', None) or error}"
        ) from error


class Process:
    """A running process with its log and the address that it serves at; the figures come from /proc."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path, address: Address) -> None:
        self.process, self.log, self.address = process, log, address
        self.proc_folder = Path("/proc") / str(process.pid)

    def processor_us(self) -> float:
        """Return the processor time used so far by all threads, in microseconds."""
        try:
            threads = list((self.proc_folder / "task").iterdir())
            return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / 1e3
        except (OSError, ValueError, IndexError):
            pass
        try:
            fields = (self.proc_folder / "stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) * 1e6 / os.sysconf("SC_CLK_TCK")
        except (OSError, ValueError, IndexError) as error:
            raise BenchmarkError(f"the process has ended: {self.last_line()}") from error

    def resident_bytes(self) -> int:
        """Return the resident memory; BenchmarkError if the process has ended."""
        try:
            for line in (self.proc_folder / "status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * KIB
        except OSError:
            pass
        raise BenchmarkError(f"the process has ended: {self.last_line()}")

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors; BenchmarkError if the process has ended."""
        try:
            return len(os.listdir(self.proc_folder / "fd"))
        except OSError:
            raise BenchmarkError(f"the process has ended: {self.last_line()}") from None

    def last_line(self) -> str:
        """Return the last line of the log."""
        return last_line(self.log.read_bytes())

    def cost_reports(self) -> list[dict[str, Any]]:
        """Return the contents of all `costs` lines in the log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return [json.loads(line.partition(" costs ")[2]) for line in lines if " costs {" in line]

    async def cost_report(self) -> dict[str, Any]:
        """Send SIGUSR1 to a gateway, which then logs its cost counters, and return them."""
        report_count = len(self.cost_reports())
        self.process.send_signal(signal.SIGUSR1)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(COST_LINE_TIMEOUT_S):
                while len(self.cost_reports()) == report_count:
                    await asyncio.sleep(POLL_INTERVAL_S)
                return self.cost_reports()[report_count]
        raise BenchmarkError(f"the gateway logged no `costs` line within {COST_LINE_TIMEOUT_S:g} s")

    async def wait_until_ready(self) -> None:
        """Wait until the gateway answers PING; BenchmarkError if it ends or takes over `READY_TIMEOUT_S`."""
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
        raise BenchmarkError(f"the gateway did not start: {self.last_line()}")

    async def drain(self) -> None:
        """Send SIGTERM and wait for the graceful shutdown, for `DRAIN_TIMEOUT_S` at most."""
        with contextlib.suppress(ProcessLookupError, TimeoutError):
            self.process.terminate()
            await asyncio.wait_for(self.process.wait(), DRAIN_TIMEOUT_S)

    def kill(self) -> None:
        """Send SIGKILL to the process group."""
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self.process.pid, signal.SIGKILL)


async def start_gateway_process(tree: GatewaySourceTree, config: dict[str, Any], folder: Path) -> Process:
    """Start a gateway and return before it serves. Its output is appended to the file `log` in `folder`."""
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
            start_new_session=True,  # a process group of its own, so that `kill` ends all of it
            preexec_fn=partial(die_with_parent, os.getpid()),
        )
    return Process(process, log, (host, int(port)))


@contextlib.asynccontextmanager
async def running_gateway_process(
    tree: GatewaySourceTree, config: dict[str, Any], folder: Path
) -> AsyncIterator[Process]:
    """Run a gateway during the block; no process of it remains afterwards, also after an error."""
    process = await start_gateway_process(tree, config, folder)
    try:
        await process.wait_until_ready()
        yield process
        await process.drain()
    finally:
        process.kill()
        await process.process.wait()


async def spawn_python(arguments: Sequence[str], log: Path, **options: Any) -> asyncio.subprocess.Process:  # noqa: ANN401
    """Start one of the project's programs in a process group of its own; it is killed if this process dies.

    `options` are forwarded to asyncio's subprocess call.
    """
    with log.open("ab") as errors:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            stderr=errors,
            start_new_session=True,
            preexec_fn=partial(die_with_parent, os.getpid()),
            **options,
        )


async def start_without_waiting(arguments: Sequence[str], log: Path, address: Address) -> Process:
    """Start a program that will serve at `address` later, as a standby does, and return at once."""
    return Process(await spawn_python(arguments, log, stdout=asyncio.subprocess.DEVNULL), log, address)


async def start_program(arguments: Sequence[str], log: Path, **options: Any) -> tuple[Process, str]:  # noqa: ANN401
    """Start one of the project's programs and return it with the line that it prints once it serves.

    An address at the end of the line is stored in the process. BenchmarkError if the program ends before it
    serves, or does not serve within `READY_TIMEOUT_S`.
    """
    child = await spawn_python(arguments, log, stdout=asyncio.subprocess.PIPE, **options)
    process = Process(child, log, (HOST, 0))
    try:
        line = (await asyncio.wait_for(child.stdout.readline(), READY_TIMEOUT_S)).decode().strip()
        if not line:
            raise BenchmarkError(f"'{' '.join(arguments[:2])}' did not start: {process.last_line()}")
        host, _, port = line.split()[-1].rpartition(":")
        if port.isdecimal():
            process.address = host, int(port)
        return process, line
    except BaseException as error:
        process.kill()
        await child.wait()
        if isinstance(error, TimeoutError):
            command = " ".join(arguments[:2])
            raise BenchmarkError(f"'{command}' did not serve within {READY_TIMEOUT_S:g} s") from None
        raise
