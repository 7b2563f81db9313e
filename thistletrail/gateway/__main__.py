"""The gateway's entry point: start, signals, log and exit code.

`python -m thistletrail.gateway` reads the file that PROXY_CONFIG names and serves until SIGTERM or SIGINT,
then shuts down gracefully. SIGHUP reloads the configuration, SIGUSR1 logs what requests have cost. The exit
code is 0 after a graceful shutdown, 1 if an address or a file cannot be opened, and 2 for an unusable
configuration.
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
# The rate limit applies to each log call in the code by itself.
MAX_LINES_PER_PERIOD = 10
RATE_LIMIT_PERIOD_S = 10.0


class LogRateLimit(logging.Filter):
    """Limits the rate of log lines of each log call, so that peers cannot flood the log.

    At most `MAX_LINES_PER_PERIOD` lines pass in `RATE_LIMIT_PERIOD_S` seconds. The first line of the next
    period says how many were suppressed.
    """

    def __init__(self) -> None:
        super().__init__()
        # By path and line number of the log call: the start of its period, and the lines in it.
        self.periods: dict[tuple[str, int], tuple[float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a log line is written."""
        log_call = (record.pathname, record.lineno)
        start_s, count = self.periods.get(log_call, (record.created, 0))
        if record.created - start_s >= RATE_LIMIT_PERIOD_S:
            if count > MAX_LINES_PER_PERIOD:
                record.msg = f"{record.msg} ({count - MAX_LINES_PER_PERIOD} similar lines were suppressed)"
            start_s = record.created
            count = 0
        self.periods[log_call] = (start_s, count + 1)
        return count < MAX_LINES_PER_PERIOD


# --- signals ---


def reload_config(server: GatewayServer) -> None:
    """Read the configuration again; one that is unusable is logged and has no effect."""
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
    """Record a signal that arrives before the event loop handles it: the signal sets the returned event."""
    received = threading.Event()
    signal.signal(number, lambda *_: received.set())
    return received


def stop_on_signals(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """An event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


# --- optional parts: their modules are loaded only if the configuration enables them, to save memory ---


def open_store(config: Config) -> SnapshotStore | None:
    """Open the folder with the snapshot and start times; returns None if the configuration names none."""
    if not config.state_dir:
        return None
    from thistletrail.gateway.snapshot_store import SnapshotStore

    return SnapshotStore(config)


def enable_takeover(server: GatewayServer, config: Config) -> TakeoverCoordinator | None:
    """Record requests at the lease service; returns None if the configuration has no `work_leases`."""
    if not config.work_leases:
        return None
    from thistletrail.gateway.takeover import TakeoverCoordinator

    takeover = TakeoverCoordinator(
        config, server.exchanges, server.driver, server.backends, server.parser, server.policy
    )
    server.enable_takeover(takeover)
    return takeover


def start_budget_leases(server: GatewayServer, config: Config) -> asyncio.Task[None] | None:
    """Start to renew leased budgets; returns None if the configuration has no `budget_leases`."""
    if not config.budget_leases:
        return None
    from thistletrail.gateway.budget_lease_client import BudgetLeaseClient

    return asyncio.get_running_loop().create_task(BudgetLeaseClient(server, config).run())


# --- from start to end ---


async def wait_after_crashes(config: Config, store: SnapshotStore, stopped: asyncio.Event) -> bool:
    """Record this start, and wait before accepting requests if earlier starts crashed.

    Returns True if a signal arrived meanwhile and the gateway must stop; that counts as a planned end.
    """
    wait_s = store.record_start()
    if not wait_s:
        return False
    log.warning("%s has started again and again: it waits for %.1f s", config.name, wait_s)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(stopped.wait(), wait_s)
        store.record_planned_end(None)
        log.info("%s ends: a signal came before it served", config.name)
        return True
    return False


async def serve(config: Config, reload_requested: threading.Event) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully; on SIGHUP reload the configuration.

    `reload_requested` is set if SIGHUP arrived during or after the reading of `config`, which may then be out
    of date.
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
    """Start the gateway and its background tasks, and shut it down gracefully once `stopped` is set."""
    loop = asyncio.get_running_loop()
    takeover = enable_takeover(server, config)
    takeover_task = loop.create_task(takeover.run()) if takeover else None
    await server.start()
    budget_task = start_budget_leases(server, config)
    snapshot_task = loop.create_task(store.run(server)) if store else None
    # Objects that live as long as the process are excluded from later garbage collections.
    gc.collect()
    gc.freeze()
    log.info("%s serves at %s:%d", config.name, *config.listen)
    await stopped.wait()
    log.info("%s drains: it answers the requests in flight and closes idle connections", config.name)
    await server.drain()
    cancel_tasks(budget_task)
    if takeover:
        await takeover.close()
    cancel_tasks(takeover_task, snapshot_task)
    if store:
        store.record_planned_end(server)
    log_costs(server)
    log.info("%s ends after a graceful shutdown", config.name)


def cancel_tasks(*tasks: asyncio.Task[None] | None) -> None:
    """Cancel the tasks of optional parts that were started."""
    for task in tasks:
        if task:
            task.cancel()


def configure_logging() -> None:
    """Log to standard error, with a limited rate of lines per log call."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit())


def main() -> int:
    """Run a gateway; returns its exit code."""
    # Signals that arrive before the event loop handles them must not end the process, and a reload request
    # must not be lost.
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
