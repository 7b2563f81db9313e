"""Some clients write long requests slowly; a gateway resets connections with requests in flight."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import Client, Gateway, Ids, Record, encode, run_case, settings, start_fleet, with_trouble

LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
ROUNDS = 7
ROUND_S = 4.0
CONNECTIONS = 155  # with the others under a third of the descriptors
CONNECT_INTERVAL_S = 0.004
BODY_BYTES = 64 * 1024
LAST_BYTES = 512  # of a long request, which come late where clients write slowly
SLOW_S = 1.2
ANSWER_TIMEOUT_S = 3.0
COMMANDS = 2
QUICK_CONNECTIONS, QUICK_COMMANDS = 10, 20  # of clients that write at once, one request after the other


async def converse(gateway: Gateway, ids: Ids, record: Record, after_s: float) -> list[str]:
    """Send a short request and a long one behind it, after a while; return the violations."""
    await asyncio.sleep(after_s)
    client = await Client.open(gateway.port)
    name = f"client {client.sock.getsockname()[1]}"
    short = ids.request("view-sheet")
    long = ids.request("submit-record", BODY_BYTES)
    await client.send([short])
    record.write(name, f"has sent {client.sent[0]} whole")
    data = encode(*long)
    await client.send_bytes(data[:-LAST_BYTES])
    reading = asyncio.create_task(client.read_answers(COMMANDS, ANSWER_TIMEOUT_S))
    if with_trouble():
        await asyncio.sleep(SLOW_S)
    await client.send_bytes(data[-LAST_BYTES:])
    await reading
    client.close()
    record.write(name, f"{client.sent[0]}: {client.answers[:1]}; {long[2].decode()}: {client.answers[1:]}")
    record.write(name, f"the connection is {client.end}")
    # Only the request that had been sent whole is judged.
    if client.answers or client.end == "open":
        return []
    return [f"{name}: {client.sent[0]} had been sent whole; the connection is {client.end} with no answer"]


async def ask_quickly(gateway: Gateway, ids: Ids, record: Record) -> list[str]:
    """Send short requests, each after the answer to the one before; return the violations."""
    client = await Client.open(gateway.port)
    for count in range(1, QUICK_COMMANDS + 1):
        await client.send([ids.request("view-sheet")])
        await client.read_answers(count, ANSWER_TIMEOUT_S)
    name = f"client {client.sock.getsockname()[1]}"
    client.close()
    record.write(name, f"{len(client.answers)} answers to {len(client.sent)} requests, {client.end}")
    return [] if len(client.answers) >= len(client.sent) else [f"{name}: an answer is missing"]


async def play(record: Record) -> list[str]:
    """Play some rounds; return the violations."""
    gateway = await start_fleet(record, 12, 0.08, settings(), LIMITS)
    ids = Ids()
    violations: list[str] = []
    try:
        for _ in range(ROUNDS):
            tasks = [
                asyncio.create_task(converse(gateway, ids, record, number * CONNECT_INTERVAL_S))
                for number in range(CONNECTIONS)
            ]
            tasks += [
                asyncio.create_task(ask_quickly(gateway, ids, record)) for _ in range(QUICK_CONNECTIONS)
            ]
            tasks.append(asyncio.create_task(asyncio.sleep(ROUND_S, [])))
            for found in await asyncio.gather(*tasks):
                violations += found
        if not gateway.is_running():
            violations.append("the gateway has ended")
    finally:
        await gateway.stop()
    return violations


run_case(Path(__file__).resolve().parent, play)
