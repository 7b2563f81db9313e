"""Shared by the stub scan server and the load generator: configuration file, orders on stdin, main loop."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from thistletrail.fault_injection.plan import Plan

Order = dict[str, Any]


class ProcessConfig(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration of a stub scan server or a load generator, as `Fleet` writes it.

    The fields' names are the keys of the configuration file.
    """

    plan: Plan
    seed: int
    number: int
    history: str
    name: str = ""
    cold: bool = False
    clock_s: float = 0.0  # offset of the wall clock
    service: str = ""  # address of the relay to the registry
    doors: tuple[str, ...] = ()  # addresses of the relays to the gateways


async def handle_orders(handle_order: Callable[[Order], Awaitable[None] | None]) -> None:
    """Pass each JSON line of standard input to `handle_order`, until the input ends as the parent exits."""
    reader = asyncio.StreamReader(limit=1 << 20)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        result = handle_order(msgspec.json.decode(line))
        if result is not None:
            await result


def run_program(main: Callable[[ProcessConfig], Awaitable[None]]) -> None:
    """Run `main` with the configuration file named on the command line, until it returns or gets SIGTERM."""
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ProcessConfig)

    async def run_until_terminated() -> None:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, lambda: None)  # on Ctrl-C the parent terminates all processes
        try:
            await main(config)
        except asyncio.CancelledError:
            return

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_until_terminated())
