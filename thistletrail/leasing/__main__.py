"""Command line of the lease service: `python -m thistletrail.leasing serve|status|begin|check`."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from urllib.error import HTTPError, URLError
from urllib.request import Request, urlopen

import click

from thistletrail.bounded_http import listening
from thistletrail.leasing.config import Config, read_config
from thistletrail.leasing.errors import ConfigError, FolderLockedError
from thistletrail.leasing.framing import MIN_SECRET_BYTES, SIGNATURE_HEADER, sign
from thistletrail.leasing.http_service import LeaseService
from thistletrail.leasing.journal import Journal, begin_history
from thistletrail.leasing.leadership import Term, begin_term, maintain_leadership, wait_for_term
from thistletrail.leasing.model_checking.command import check_command
from thistletrail.write_ahead_log.record_file import CorruptFileError

log = logging.getLogger("thistletrail.leasing")

SHUTDOWN_TIMEOUT_S = 2.0  # for calls in progress when the service stops
STATUS_TIMEOUT_S = 5.0
MAX_PORT = 65535
DEFAULT_ADDRESS = "127.0.0.1:8600"

FILE = click.Path(dir_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)


@dataclass(frozen=True, slots=True)
class ServeOptions:
    """The options of `serve`."""

    folder: Path
    config_path: Path
    secret: bytes
    host: str
    port: int
    standby: bool


async def serve(options: ServeOptions) -> None:
    """Serve until SIGTERM or SIGINT; a standby serves in each term that it leads, and waits in between.

    Raises:
        FolderLockedError: Another process leads, and this process is not a standby.
    """
    config = read_config(options.config_path)
    port = options.port
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    while term := await next_term(options, stopped):
        served = TermServer(term, config, options)
        port = await served.run(port, stopped)
        if stopped.is_set():
            return
        if not options.standby:
            raise FolderLockedError(f"another lease service has taken over the folder {options.folder}")
        log.warning("another lease service has taken over the folder %s", options.folder)
        config = served.config  # may have been reloaded by a SIGHUP


async def next_term(options: ServeOptions, stopped: asyncio.Event) -> Term | None:
    """Begin the next term of this process; a standby waits for it, and returns None if stopped before."""
    if options.standby:
        return await wait_for_term(options.folder, stopped)
    return begin_term(options.folder)


class TermServer:
    """Serves HTTP while one term lasts."""

    def __init__(self, term: Term, config: Config, options: ServeOptions) -> None:
        self.term = term
        self.config = config
        self.options = options

    async def run(self, port: int, stopped: asyncio.Event) -> int:
        """Serve until `stopped` is set or another process leads; return the port listened on."""
        leadership_lost = asyncio.Event()
        loop = asyncio.get_running_loop()
        heartbeat_task = loop.create_task(maintain_leadership(self.term, leadership_lost))
        try:
            # In a thread, as reading the journal may take long and heartbeats must continue.
            service = await loop.run_in_executor(
                None, LeaseService, Journal(self.term), self.config, self.options.secret, leadership_lost
            )
            loop.add_signal_handler(signal.SIGHUP, self.reload, service)
            return await listen(service, self.options.host, port, stopped)
        finally:
            heartbeat_task.cancel()

    def reload(self, service: LeaseService) -> None:
        """Read the configuration again; keep the current one if that fails."""
        try:
            self.config = read_config(self.options.config_path)
        except ConfigError as error:
            log.error("the configuration stays as it was: %s", error)
        else:
            service.committer.reload(self.config)


async def listen(service: LeaseService, host: str, port: int, stopped: asyncio.Event) -> int:
    """Answer calls until `stopped` is set or another process leads; return the port listened on."""
    async with listening(service.app, host, port, SHUTDOWN_TIMEOUT_S) as (bound_host, bound_port):
        print(f"lease service serves at {bound_host}:{bound_port}", flush=True)
        await wait_for_any(stopped, service.committer.leadership_lost)
    return bound_port


async def wait_for_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waiters = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    for waiter in waiters:
        waiter.cancel()


def read_secret(path: Path) -> bytes:
    """Return the secret in a file; exit the program with an error if it is too short."""
    secret = path.read_bytes().strip()
    if len(secret) < MIN_SECRET_BYTES:
        sys.exit(
            f"leasing: the secret in {path} has {len(secret)} bytes, expected {MIN_SECRET_BYTES} or more"
        )
    return secret


@click.group("leasing")
def cli() -> None:
    """Divide the budgets of the fleet among the gateways by leases, and keep work leases."""


@cli.command("serve")
@click.option(
    "--data", type=FOLDER, required=True, help="Folder of the journal; one process at a time leads in it."
)
@click.option("--config", "config_path", type=FILE, required=True)
@click.option(
    "--secret",
    type=FILE,
    required=True,
    help="File with the secret that the lease service and the gateways share.",
)
@click.option("--listen", default=DEFAULT_ADDRESS, show_default=True, metavar="HOST:PORT")
@click.option(
    "--standby",
    is_flag=True,
    help="Wait while another process leads in the folder, and take over when it ends or hangs.",
)
def serve_command(data: Path, config_path: Path, secret: Path, listen: str, standby: bool) -> None:
    """Run the lease service with the budgets of a configuration."""
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise click.BadParameter(f"'{listen}' is not HOST:PORT")
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        options = ServeOptions(data, config_path, read_secret(secret), host, int(port), standby)
        asyncio.run(serve(options))
    except (ConfigError, FolderLockedError, CorruptFileError) as error:
        sys.exit(f"leasing: {error}")
    except OSError as error:
        sys.exit(f"leasing: {error.filename or listen}: {error.strerror}")


@cli.command("status")
@click.option("--at", "address", default=DEFAULT_ADDRESS, show_default=True, metavar="HOST:PORT")
@click.option("--secret", type=FILE, required=True)
@click.option(
    "--parked", is_flag=True, help="Print the work items that were given up because their owners died."
)
def status_command(address: str, secret: Path, parked: bool) -> None:
    """Print the status of a lease service as JSON."""
    path = "/parked" if parked else "/status"
    try:
        signature = sign(secret.read_bytes().strip(), path.encode())
        request = Request(f"http://{address}{path}", headers={SIGNATURE_HEADER: signature})
        with urlopen(request, timeout=STATUS_TIMEOUT_S) as response:
            status = json.load(response)
    except HTTPError as error:
        sys.exit(f"leasing: {address}: {error.read().decode(errors='replace').strip() or error.reason}")
    except (URLError, ValueError, OSError) as error:
        sys.exit(f"leasing: {address}: {getattr(error, 'reason', None) or error}")
    click.echo(json.dumps(status, indent=1))


@cli.command("begin")
@click.option("--data", type=FOLDER, required=True)
@click.option("--config", "config_path", type=FILE, required=True)
def begin_command(data: Path, config_path: Path) -> None:
    """Create the data folder of a new fleet, so that its first grants do not wait for the longest lease."""
    try:
        begin_history(data, read_config(config_path))
    except (ConfigError, FolderLockedError) as error:
        sys.exit(f"leasing: {error}")
    except OSError as error:
        sys.exit(f"leasing: {data}: {error.strerror}")


cli.add_command(check_command)


def main() -> None:
    """Run the command line."""
    with contextlib.suppress(KeyboardInterrupt):
        cli(prog_name="python -m thistletrail.leasing")


if __name__ == "__main__":
    main()
