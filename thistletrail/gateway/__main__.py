"""Start of a front door, its signals and its exit code."""

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys
import threading

import uvloop

from thistletrail.gateway.config import Config, load, reload
from thistletrail.gateway.errors import ConfigError
from thistletrail.gateway.server import FrontDoor

log = logging.getLogger("thistletrail.gateway")

LINES_AT_ONCE = 10  # from one place in the code
LINES_SPAN_S = 10.0


class RateLimit(logging.Filter):
    """Bounds the lines from each place in the code: what peers can cause must not flood the log.

    The first line that is let through again says how many were left out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.places: dict[tuple[str, int], tuple[float, int]] = {}  # start of the span and lines in it

    def filter(self, record: logging.LogRecord) -> bool:
        place = record.pathname, record.lineno
        start, count = self.places.get(place, (record.created, 0))
        if record.created - start >= LINES_SPAN_S:
            if count > LINES_AT_ONCE:
                record.msg = f"{record.msg} ({count - LINES_AT_ONCE} like it were left out)"
            start, count = record.created, 0
        self.places[place] = start, count + 1
        return count < LINES_AT_ONCE


def take_over(door: FrontDoor) -> None:
    """Read the configuration again; one that is not usable changes nothing."""
    try:
        config = reload(os.environ)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        return
    door.reconfigure(config)


def tell_costs(door: FrontDoor) -> None:
    log.info("%s", door.cost_line())


def note(number: int) -> threading.Event:
    """Have a signal noted until the loop handles it: the event is set where it has come."""
    came = threading.Event()
    signal.signal(number, lambda *_: came.set())
    return came


async def serve(config: Config, reload_asked: threading.Event) -> None:
    """Serve until SIGTERM or SIGINT, then drain; on SIGHUP take over the configuration.

    `reload_asked` is set where SIGHUP came while the configuration was read, or after: what was read may be
    the one before.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    store = None
    if config.state_dir:
        from thistletrail.gateway.snapshot_store import SnapshotStore  # not loaded where nothing is stored

        store = SnapshotStore(config)
        if wait := store.register_start():
            log.warning("%s has started again and again: it waits for %.1f s", config.name, wait)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopped.wait(), wait)
                store.finish(None)
                log.info("%s ends", config.name)
                return
        config = store.with_stored_list(config)
    door = FrontDoor(config)
    loop.add_signal_handler(signal.SIGHUP, take_over, door)
    loop.add_signal_handler(signal.SIGUSR1, tell_costs, door)
    if reload_asked.is_set():
        take_over(door)
    if store:
        store.restore(door)
    if config.work_leases:
        from thistletrail.gateway.takeover import Takeover

        door.takeover = Takeover(door, config)
        working = loop.create_task(door.takeover.run())
    await door.start()
    if config.budget_leases:
        from thistletrail.gateway.budget_lease_client import (
            BudgetLeaseClient,  # its packages are only loaded here
        )

        budget_leases = BudgetLeaseClient(door, config)
        renewing = loop.create_task(budget_leases.run())
    saving = loop.create_task(store.run(door)) if store else None
    # What lives as long as the process need not be looked through by every collection.
    gc.collect()
    gc.freeze()
    log.info("%s serves at %s:%d", config.name, *config.listen)
    await stopped.wait()
    log.info("%s drains", config.name)
    await door.drain()
    if config.budget_leases:
        renewing.cancel()
    if config.work_leases:
        await door.takeover.close()
        working.cancel()
    if store:
        saving.cancel()
        store.finish(door)
    tell_costs(door)
    log.info("%s ends", config.name)


def main() -> int:
    # Whoever reloads or asks too early is not to kill us, and a reload is not to be missed.
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    reload_asked = note(signal.SIGHUP)
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimit())
    try:
        config = load(os.environ)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, reload_asked))
    except ConfigError as error:
        print(f"gateway: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"gateway: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
