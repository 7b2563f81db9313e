"""The gateway's entry point: its start, its signals, its log and its exit code.

`python -m thistletrail.gateway` reads the file that PROXY_CONFIG names and serves until SIGTERM or SIGINT,
then drains. SIGHUP reloads the configuration, SIGUSR1 logs what requests have cost. The exit code is 0 after
a drain, 1 where an address or a file cannot be had, and 2 for a configuration that is not usable.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys
import threading
from typing import TYPE_CHECKING

import uvloop

from thistletrail.gateway.config import Config, load, reload
from thistletrail.gateway.errors import ConfigError
from thistletrail.gateway.server import GatewayServer

if TYPE_CHECKING:
    from thistletrail.gateway.snapshot_store import SnapshotStore
    from thistletrail.gateway.takeover import TakeoverCoordinator

log = logging.getLogger("thistletrail.gateway")

EXIT_CANNOT_START = 1
EXIT_BAD_CONFIG = 2
LINES_AT_ONCE = 10  # from one place in the code
LINES_SPAN_S = 10.0


class RateLimit(logging.Filter):
    """Bounds the log lines from each place in the code: what peers can cause must not flood the log.

    At most `LINES_AT_ONCE` lines pass in `LINES_SPAN_S` seconds. The first line that passes again says how
    many were left out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.places: dict[tuple[str, int], tuple[float, int]] = {}  # start of the span and lines in it

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line passes."""
        place = (record.pathname, record.lineno)
        start, count = self.places.get(place, (record.created, 0))
        if record.created - start >= LINES_SPAN_S:
            if count > LINES_AT_ONCE:
                record.msg = f"{record.msg} ({count - LINES_AT_ONCE} like it were left out)"
            start = record.created
            count = 0
        self.places[place] = (start, count + 1)
        return count < LINES_AT_ONCE


# --- signals ---


def reload_config(server: GatewayServer) -> None:
    """Read the configuration again; one that is not usable changes nothing."""
    try:
        config = reload(os.environ)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        return
    server.reconfigure(config)


def log_costs(server: GatewayServer) -> None:
    """Log what the requests so far have cost."""
    log.info("%s", server.cost_line())


def remember_signal(number: int) -> threading.Event:
    """Remember a signal until the loop handles it: the event is set where it has come."""
    received = threading.Event()
    signal.signal(number, lambda *_: received.set())
    return received


def stop_on_signals(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """An event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


# --- optional parts: their modules are loaded only where they are on, and take no memory elsewhere ---


def open_store(config: Config) -> SnapshotStore | None:
    """The folder of snapshots; None where the configuration names none."""
    if not config.state_dir:
        return None
    from thistletrail.gateway.snapshot_store import SnapshotStore

    return SnapshotStore(config)


def enable_takeover(server: GatewayServer, config: Config) -> TakeoverCoordinator | None:
    """Record requests at the lease service; None where the configuration names no classes for it."""
    if not config.work_leases:
        return None
    from thistletrail.gateway.takeover import TakeoverCoordinator

    takeover = TakeoverCoordinator(
        config, server.exchanges, server.driver, server.backends, server.parser, server.policy
    )
    server.enable_takeover(takeover)
    return takeover


def start_budget_leases(server: GatewayServer, config: Config) -> asyncio.Task[None] | None:
    """Renew leased budgets; None where the configuration names no lease service for them."""
    if not config.budget_leases:
        return None
    from thistletrail.gateway.budget_lease_client import BudgetLeaseClient

    return asyncio.get_running_loop().create_task(BudgetLeaseClient(server, config).run())


# --- one life ---


async def wait_after_crashes(config: Config, store: SnapshotStore, stopped: asyncio.Event) -> bool:
    """Wait before taking load where earlier starts crashed; whether to stop instead, as a signal came."""
    wait_s = store.register_start()
    if not wait_s:
        return False
    log.warning("%s has started again and again: it waits for %.1f s", config.name, wait_s)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(stopped.wait(), wait_s)
        store.finish(None)
        log.info("%s ends", config.name)
        return True
    return False


async def serve(config: Config, reload_requested: threading.Event) -> None:
    """Serve until SIGTERM or SIGINT, then drain; on SIGHUP reload the configuration.

    `reload_requested` is set where SIGHUP came while the configuration was read, or after: what was read may
    be the one before.
    """
    loop = asyncio.get_running_loop()
    stopped = stop_on_signals(loop)
    store = open_store(config)
    if store:
        if await wait_after_crashes(config, store, stopped):
            return
        config = store.with_stored_list(config)
    server = GatewayServer(config)
    loop.add_signal_handler(signal.SIGHUP, reload_config, server)
    loop.add_signal_handler(signal.SIGUSR1, log_costs, server)
    if reload_requested.is_set():
        reload_config(server)
    if store:
        store.restore(server)
    await run_until_stopped(server, config, store, stopped)


async def run_until_stopped(
    server: GatewayServer, config: Config, store: SnapshotStore | None, stopped: asyncio.Event
) -> None:
    """Start the gateway and its background tasks, and drain it once `stopped` is set."""
    loop = asyncio.get_running_loop()
    takeover = enable_takeover(server, config)
    takeover_task = loop.create_task(takeover.run()) if takeover else None
    await server.start()
    budget_task = start_budget_leases(server, config)
    snapshot_task = loop.create_task(store.run(server)) if store else None
    # What lives as long as the process need not be looked through by every collection.
    gc.collect()
    gc.freeze()
    log.info("%s serves at %s:%d", config.name, *config.listen)
    await stopped.wait()
    log.info("%s drains", config.name)
    await server.drain()
    cancel(budget_task)
    if takeover:
        await takeover.close()
    cancel(takeover_task, snapshot_task)
    if store:
        store.finish(server)
    log_costs(server)
    log.info("%s ends", config.name)


def cancel(*tasks: asyncio.Task[None] | None) -> None:
    """Cancel those of the optional parts' tasks that were started."""
    for task in tasks:
        if task:
            task.cancel()


def configure_logging() -> None:
    """Log to standard error, each place in the code within its rate."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimit())


def main() -> int:
    """Run a gateway; its exit code."""
    # A signal before the loop handles it must not kill the process, and a reload must not be missed.
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    reload_requested = remember_signal(signal.SIGHUP)
    configure_logging()
    try:
        config = load(os.environ)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, reload_requested))
    except ConfigError as error:
        print(f"gateway: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    except OSError as error:
        print(f"gateway: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return 0


if __name__ == "__main__":
    sys.exit(main())
