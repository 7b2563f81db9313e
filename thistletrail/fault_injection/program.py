"""What the programs of fault injection share: a configuration, a line once they serve, orders on stdin."""

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


class Told(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration of a stand-in scan server or of clients, as `Fleet` writes it."""

    plan: Plan
    seed: int
    number: int
    history: str
    name: str = ""
    cold: bool = False
    clock_s: float = 0.0
    service: str = ""  # the list service, at the relay to it
    doors: tuple[str, ...] = ()  # front doors, at the relays to them


async def orders(take: Callable[[Order], Awaitable[None] | None]) -> None:
    """Hand on each JSON line of standard input until it ends, as it does when the parent process has gone."""
    reader = asyncio.StreamReader(limit=1 << 20)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        done = take(msgspec.json.decode(line))
        if done is not None:
            await done


def start(program: Callable[[Told], Awaitable[None]]) -> None:
    """Run a program by the configuration file that its command line names, until it ends or SIGTERM."""
    told = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Told)

    async def act() -> None:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, lambda: None)  # Ctrl-C is for the parent, which ends all
        try:
            await program(told)
        except asyncio.CancelledError:
            return

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(act())
