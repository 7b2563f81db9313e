"""Start of the steward: `python -m thistletrail.leasing serve --data FOLDER --config FILE --secret FILE`."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import signal
import sys
import time
from pathlib import Path
from urllib.error import HTTPError, URLError
from urllib.request import Request, urlopen

import click
from aiohttp import web

from thistletrail.leasing import check_work
from thistletrail.leasing.book import Book, begin
from thistletrail.leasing.check import PLANTED, Kind, Outcome, explore, stray_all
from thistletrail.leasing.config import ConfigError, read
from thistletrail.leasing.server import Service
from thistletrail.leasing.tenure import LockedError, claim, keep, office
from thistletrail.leasing.wire import LEAST_SECRET, SIGNATURE, sign
from thistletrail.write_ahead_log.record_file import CorruptFileError

SHUTDOWN_S = 2.0
ASK_S = 5.0  # for an answer to `status`
FOUND = 3  # the exit code where something does not hold


async def serve(folder: Path, config_path: Path, secret: bytes, host: str, port: int, wait: bool) -> None:
    """Serve until SIGTERM or SIGINT; a standby serves when it has a term of office, and stands by again when
    another has taken over."""
    config = read(config_path)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    while tenure := await office(folder, stopped) if wait else claim(folder):
        lost = asyncio.Event()
        keeping = loop.create_task(keep(tenure, lost))
        try:
            # It may take long, and is well meanwhile.
            service = await loop.run_in_executor(None, Service, Book(tenure), config, secret, lost)
            loop.add_signal_handler(signal.SIGHUP, reload, service, config_path)
            port = await answer(service, host, port, stopped)
        finally:
            keeping.cancel()
        if stopped.is_set():
            return
        if not wait:
            raise LockedError(f"another steward has taken over the folder {folder}")
        logging.getLogger("thistletrail.leasing").warning(
            "another steward has taken over the folder %s", folder
        )
        config = service.config  # as a SIGHUP has left it


async def answer(service: Service, host: str, port: int, stopped: asyncio.Event) -> int:
    """Serve until it is stopped, or another has taken over: the port, which the system may have chosen."""
    runner = web.AppRunner(service.app, access_log=None, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        where = runner.addresses[0]
        print(f"steward serves at {where[0]}:{where[1]}", flush=True)
        await first(stopped, service.lost)
    finally:
        await runner.cleanup()
    return where[1]


async def first(*events: asyncio.Event) -> None:
    """Until one of them is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def reload(service: Service, path: Path) -> None:
    try:
        service.reload(read(path))
    except ConfigError as error:
        logging.getLogger("thistletrail.leasing").error("the configuration stays as it was: %s", error)


@click.group("leasing")
def cli() -> None:
    """Budgets of the whole fleet, divided among the front doors by leases."""


@cli.command("serve")
@click.option(
    "--data",
    type=click.Path(file_okay=False, path_type=Path),
    required=True,
    help="The folder of its log; one process has it at a time.",
)
@click.option("--config", "config_path", type=click.Path(dir_okay=False, path_type=Path), required=True)
@click.option(
    "--secret",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="A file with the secret that steward and doors share.",
)
@click.option("--listen", default="127.0.0.1:8600", show_default=True, metavar="HOST:PORT")
@click.option(
    "--standby",
    is_flag=True,
    help="Wait while another process has the folder, and take over when that ends or hangs.",
)
def serve_(data: Path, config_path: Path, secret: Path, listen: str, standby: bool) -> None:
    """Serve the budgets of a configuration."""
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise click.BadParameter(f"'{listen}' is not HOST:PORT")
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        shared = secret.read_bytes().strip()
        if len(shared) < LEAST_SECRET:
            sys.exit(f"leasing: the secret in {secret} has less than {LEAST_SECRET} bytes")
        asyncio.run(serve(data, config_path, shared, host, int(port), standby))
    except (ConfigError, LockedError, CorruptFileError) as error:
        sys.exit(f"leasing: {error}")
    except OSError as error:
        sys.exit(f"leasing: {error.filename or listen}: {error.strerror}")


@cli.command("status")
@click.option("--at", default="127.0.0.1:8600", show_default=True, metavar="HOST:PORT")
@click.option("--secret", type=click.Path(dir_okay=False, path_type=Path), required=True)
@click.option("--parked", is_flag=True, help="The work that was given up, as its owners died of it.")
def status_(at: str, secret: Path, parked: bool) -> None:
    """What a steward holds, as JSON."""
    path = "/parked" if parked else "/status"
    try:
        shared = secret.read_bytes().strip()
        request = Request(f"http://{at}{path}", headers={SIGNATURE: sign(shared, path.encode())})
        with urlopen(request, timeout=ASK_S) as answer:
            found = json.load(answer)
    except HTTPError as error:
        sys.exit(f"leasing: {at}: {error.read().decode(errors='replace').strip() or error.reason}")
    except (URLError, ValueError, OSError) as error:
        sys.exit(f"leasing: {at}: {getattr(error, 'reason', None) or error}")
    click.echo(json.dumps(found, indent=1))


@cli.command("begin")
@click.option("--data", type=click.Path(file_okay=False, path_type=Path), required=True)
@click.option("--config", "config_path", type=click.Path(dir_okay=False, path_type=Path), required=True)
def begin_(data: Path, config_path: Path) -> None:
    """Make the folder of a fleet's first steward: without it the first grants wait for the longest lease."""
    try:
        begin(data, read(config_path))
    except (ConfigError, LockedError) as error:
        sys.exit(f"leasing: {error}")
    except OSError as error:
        sys.exit(f"leasing: {data}: {error.strerror}")


@cli.command("check")
@click.option("--doors", type=click.IntRange(1, 4), default=3, show_default=True)
@click.option("--budgets", type=click.IntRange(1, 2), default=2, show_default=True)
@click.option("--depth", type=click.IntRange(1, 12), default=5, show_default=True, help="Events.")
@click.option(
    "--walks",
    type=click.IntRange(0, 10**6),
    default=2000,
    show_default=True,
    help="Random ways of 40 events besides, as many by messages alone, and by openings.",
)
@click.option("--planted", is_flag=True, help="Plant each fault, and tell how it is found.")
@click.option("--seed", type=click.IntRange(0, 2**53), default=1, show_default=True)
def check_(doors: int, budgets: int, depth: int, walks: int, planted: bool, seed: int) -> None:
    """Look at all states of the state machine and its messages. Exit code 3 where something does not hold."""
    if planted:
        missed = False
        for kind in PLANTED:
            found = stray_all(kind, 2, 1, 5_000, 30, seed)
            missed = missed or not found.broken
            click.echo(f"{kind.name}: {found.broken or 'not found'} after {found.states} states")
        for kind in check_work.PLANTED:
            found = check_work.wander(kind, 3, 20_000, 25, seed)
            said = f"{found.broken or 'not found'} after {found.states} states"
            missed = missed or not found.broken
            click.echo(f"work in hand, {kind.name}: {said}")
        sys.exit(FOUND if missed else 0)
    wrong = False
    for held in (False, True):
        began = time.process_time()
        found = explore(Kind(), doors, budgets, depth, held)
        where = "the first door holds all" if held else "nobody holds anything"
        told(
            f"{doors} doors, {budgets} budgets, {where}: {found.states} states to depth {found.depth}, "
            f"{time.process_time() - began:.1f} s",
            found,
        )
        wrong = wrong or bool(found.broken)
    if walks:
        found = stray_all(Kind(), doors, budgets, walks, 40, seed)
        told(f"random ways: {found.states} states", found)
        wrong = wrong or bool(found.broken)
    for held in (False, True):
        began = time.process_time()
        found = check_work.explore(check_work.Kind(), doors, depth, held)
        where = "the first door holds all" if held else "nobody has anything"
        told(
            f"work in hand, {doors} doors, {where}: {found.states} states to depth {found.depth}, "
            f"{time.process_time() - began:.1f} s",
            found,
        )
        wrong = wrong or bool(found.broken)
    if walks:
        found = check_work.wander(check_work.Kind(), doors, 2 * walks, 30, seed)
        told(f"work in hand, random ways: {found.states} states", found)
        wrong = wrong or bool(found.broken)
    sys.exit(FOUND if wrong else 0)


def told(head: str, found: Outcome) -> None:
    click.echo(head + (f"; broken: {found.broken}" if found.broken else ""))
    for event in found.way:
        click.echo(f"  {event}")


def main() -> None:
    with contextlib.suppress(KeyboardInterrupt):
        cli(prog_name="python -m thistletrail.leasing")


if __name__ == "__main__":
    main()
