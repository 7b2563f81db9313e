"""Start of the list service: `python -m thistletrail.registry --data FOLDER`, or `--follow HOST:PORT`."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click
from aiohttp import web

from thistletrail.registry.follower import Follower
from thistletrail.registry.http_service import Reader, Service
from thistletrail.write_ahead_log.record_file import CorruptFileError

SHUTDOWN_S = 3.0  # that what is being answered may take after SIGTERM
MOST_HEADERS = 8190  # bytes of one header line
# A third of the usual lease, at which scan servers renew and so find that they have been forgotten, and more.
FILL_S = 5.0


async def serve(service: Callable[[], Reader], host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT; then watches end, and all is synced."""
    runner = web.AppRunner(
        service().app,
        access_log=None,
        shutdown_timeout=SHUTDOWN_S,
        max_line_size=MOST_HEADERS,
        max_field_size=MOST_HEADERS,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        where = runner.addresses[0]
        print(f"registry serves at {where[0]}:{where[1]}", flush=True)
        stopped = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopped.set)
        await stopped.wait()
    finally:
        await runner.cleanup()


def split(address: str) -> tuple[str, int]:
    host, sign, port = address.rpartition(":")
    if not sign or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise click.BadParameter(f"'{address}' is not HOST:PORT")
    return host, int(port)


@click.command()
@click.option(
    "--data", type=click.Path(file_okay=False, path_type=Path), help="The folder that holds the list."
)
@click.option("--follow", metavar="HOST:PORT", help="Serve the list of another, for reading only.")
@click.option(
    "--listen",
    default="127.0.0.1:8500",
    show_default=True,
    metavar="HOST:PORT",
    help="Port 0: one that the system chooses.",
)
@click.option(
    "--fill",
    type=click.FloatRange(0, 600),
    default=FILL_S,
    show_default=True,
    help="Seconds in which a list that began with nothing is filled, and not told.",
)
def main(data: Path | None, follow: str | None, listen: str, fill: float) -> None:
    """The list of scan servers: registered with leases, read whole or by a watch."""
    host, port = split(listen)
    if (data is None) == (follow is None):
        raise click.UsageError("one of --data and --follow is wanted")
    if follow is not None:
        split(follow)
    service = (lambda: Service(data, fill)) if data is not None else (lambda: Follower(follow))
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        asyncio.run(serve(service, host, port))
    except CorruptFileError as error:
        sys.exit(f"registry: {error}")
    except OSError as error:
        sys.exit(f"registry: {data or follow} or {listen}: {error.strerror}")


def start() -> None:
    """Run the command; a wrong option is one plain line and exit code 2."""
    with contextlib.suppress(KeyboardInterrupt, click.Abort):
        try:
            main(prog_name="python -m thistletrail.registry", standalone_mode=False)
        except click.ClickException as error:
            click.echo(f"registry: {error.format_message()}", err=True)
            sys.exit(error.exit_code)


if __name__ == "__main__":
    start()
