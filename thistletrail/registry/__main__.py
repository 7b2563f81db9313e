"""Command line of the registry.

`python -m thistletrail.registry --data DIRECTORY` runs a primary, `--follow HOST:PORT` a read replica.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click

from thistletrail.bounded_http import listening
from thistletrail.registry.follower import Follower
from thistletrail.registry.http_service import ReadService, RegistryService
from thistletrail.write_ahead_log.record_file import CorruptFileError

SHUTDOWN_TIMEOUT_S = 3.0
"""Time limit for responses in progress when the process shuts down."""

DEFAULT_FILL_S = 5.0
"""Longer than the renewal interval, a third of the default lease: by then scan servers have tried to renew
and learned that they must register again."""

MAX_FILL_S = 600
"""The longest lease that an instance can have, in seconds."""

MAX_PORT = 65_535

ServiceFactory = Callable[[], ReadService]
"""Creates the service inside the running event loop."""


async def serve(create_service: ServiceFactory, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT, then end all watches and sync the state to disk."""
    async with listening(create_service().app, host, port, SHUTDOWN_TIMEOUT_S) as (bound_host, bound_port):
        print(f"registry serves at {bound_host}:{bound_port}", flush=True)
        stop_requested = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
        await stop_requested.wait()


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of HOST:PORT; raises `click.BadParameter` for another text."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise click.BadParameter(f"'{address}' is not HOST:PORT")
    return host, int(port)


def service_factory(data: Path | None, follow: str | None, fill_s: float) -> ServiceFactory:
    """Return a factory of the primary in directory `data`, or of a follower of `follow` (HOST:PORT).

    Raises `click.UsageError` unless exactly one of the two is given.
    """
    if data is not None and follow is None:
        return lambda: RegistryService(data, fill_s)
    if follow is not None and data is None:
        parse_address(follow)
        return lambda: Follower(follow)
    raise click.UsageError("exactly one of --data and --follow is required")


@click.command()
@click.option(
    "--data",
    type=click.Path(file_okay=False, path_type=Path),
    help="The directory that holds the registry's journal and snapshot.",
)
@click.option("--follow", metavar="HOST:PORT", help="Serve a read replica of another registry.")
@click.option(
    "--listen",
    default="127.0.0.1:8500",
    show_default=True,
    metavar="HOST:PORT",
    help="Port 0: one that the system chooses.",
)
@click.option(
    "--fill",
    type=click.FloatRange(0, MAX_FILL_S),
    default=DEFAULT_FILL_S,
    show_default=True,
    help="Seconds in which a registry that began empty lets instances register and answers no reads.",
)
def main(data: Path | None, follow: str | None, listen: str, fill: float) -> None:
    """The service registry: scan servers register with leases, gateways read the endpoint list."""
    host, port = parse_address(listen)
    create_service = service_factory(data, follow, fill)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        asyncio.run(serve(create_service, host, port))
    except CorruptFileError as error:
        sys.exit(f"registry: {error}")
    except OSError as error:
        sys.exit(f"registry: cannot use {data or follow} or listen at {listen}: {error.strerror}")


def run() -> None:
    """Run the command; an invalid option prints one line to standard error and exits with code 2."""
    with contextlib.suppress(KeyboardInterrupt, click.Abort):
        try:
            main(prog_name="python -m thistletrail.registry", standalone_mode=False)
        except click.ClickException as error:
            click.echo(f"registry: {error.format_message()}", err=True)
            sys.exit(error.exit_code)


if __name__ == "__main__":
    run()
