"""Idle clients fill the descriptors; a gateway reads requests on a new connection and answers only one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import Client, Gateway, Ids, Record, run_case, settings, start_fleet, with_trouble

LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
IDLE_CLIENTS = 256  # as many as the gateway has descriptors
IDLE_INTERVAL_S = 0.005
NEW_CLIENTS = 40
NEW_INTERVAL_S = 0.02
COMMANDS = 4
ANSWER_TIMEOUT_S = 3.0
RESET_WAIT_S = 0.3


async def fill(gateway: Gateway, ids: Ids, record: Record) -> list[Client]:
    """Open connections that ask once and rest, until no further one is taken in; return those that rest."""
    resting: list[Client] = []
    for _ in range(IDLE_CLIENTS):
        client = await Client.open(gateway.port)
        await client.send([ids.request("view-sheet")])
        resting.append(client)
        await asyncio.sleep(IDLE_INTERVAL_S)
    await asyncio.gather(*(client.read_answers(1, ANSWER_TIMEOUT_S) for client in resting))
    record.write("idle clients", f"{sum(client.end == 'open' for client in resting)} rest")
    return resting


async def converse(gateway: Gateway, ids: Ids, record: Record) -> list[str]:
    """Send some commands on a new connection; return the violations."""
    client = await Client.open(gateway.port)
    name = f"client {client.sock.getsockname()[1]}"
    await client.send([ids.request("view-sheet") for _ in range(COMMANDS)])
    await client.read_answers(COMMANDS, ANSWER_TIMEOUT_S)
    await client.watch_end(RESET_WAIT_S)
    record.write(name, f"{client.sent}: {client.answers}, {client.end}")
    client.close()
    # A reset tells that the connection was shut unread, which is allowed then.
    if client.end != "closed" or len(client.answers) >= len(client.sent):
        return []
    return [f"{name}: {len(client.sent)} commands sent and read, {len(client.answers)} answers, closed"]


async def play(record: Record) -> list[str]:
    """Fill the descriptors, and let new clients come; return the violations."""
    gateway = await start_fleet(record, 12, 0.08, settings(), LIMITS)
    ids = Ids()
    violations: list[str] = []
    resting: list[Client] = []
    try:
        if with_trouble():
            resting = await fill(gateway, ids, record)
        tasks = []
        for _ in range(NEW_CLIENTS):
            tasks.append(asyncio.create_task(converse(gateway, ids, record)))
            await asyncio.sleep(NEW_INTERVAL_S)
        for found in await asyncio.gather(*tasks):
            violations += found
        if not gateway.is_running():
            violations.append("the gateway has ended")
    finally:
        for client in resting:
            client.close()
        await gateway.stop()
    return violations


run_case(Path(__file__).resolve().parent, play)
