"""Clients send many commands at once; a gateway with much to do closes connections over read requests."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import Client, Gateway, Ids, Record, run_case, settings, start_fleet, with_trouble

LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
ROUNDS = 3
ROUND_S = 4.0
LONG_CONNECTIONS, LONG_COMMANDS, LONG_BODY_BYTES = 12, 24, 64 * 1024
SHORT_CONNECTIONS, SHORT_COMMANDS = 4, 40
SHORT_AFTER_S = 0.05
ANSWER_TIMEOUT_S = 3.5
RESET_WAIT_S = 1.0  # the gateway closes its socket 0.4 s after the end of its answers, by a sweep of 0.2 s


async def send_all(gateway: Gateway, commands: list[list[bytes]], client: Client) -> None:
    """Send the commands of one connection: all at once, or each after the answer to the one before."""
    if with_trouble():
        await client.send(commands)
        await client.read_answers(len(commands), ANSWER_TIMEOUT_S)
        return
    for count, command in enumerate(commands, 1):
        await client.send([command])
        await client.read_answers(count, ANSWER_TIMEOUT_S)


async def converse(gateway: Gateway, commands: list[list[bytes]], record: Record) -> list[str]:
    """Send the commands on one connection; return the violations."""
    client = await Client.open(gateway.port)
    name = f"client {client.sock.getsockname()[1]}"
    record.write(name, f"sends {len(commands)} commands, the first {commands[0][2].decode()}")
    await send_all(gateway, commands, client)
    await client.watch_end(RESET_WAIT_S)
    for request, answer in zip(client.sent, client.answers, strict=False):
        record.write(name, f"{request}: {answer}")
    record.write(name, f"{len(client.answers)} answers to {len(client.sent)} commands, {client.end}")
    client.close()
    # A reset tells that the close crossed bytes that were not read: the client sends these once more.
    if client.end == "reset" or len(client.answers) >= len(client.sent):
        return []
    return [
        f"{name}: {len(client.sent)} commands sent and read, {len(client.answers)} answers, {client.end}; "
        f"the first without an answer: {client.sent[len(client.answers)]}"
    ]


async def play(record: Record) -> list[str]:
    """Play some rounds of many commands at once; return the violations."""
    gateway = await start_fleet(record, 12, 0.08, settings(), LIMITS)
    ids = Ids()
    violations: list[str] = []
    try:
        for _ in range(ROUNDS):
            long = [
                [ids.request("submit-record", LONG_BODY_BYTES) for _ in range(LONG_COMMANDS)]
                for _ in range(LONG_CONNECTIONS)
            ]
            short = [
                [ids.request("view-sheet") for _ in range(SHORT_COMMANDS)] for _ in range(SHORT_CONNECTIONS)
            ]
            tasks = [asyncio.create_task(converse(gateway, commands, record)) for commands in long]
            await asyncio.sleep(SHORT_AFTER_S)
            tasks += [asyncio.create_task(converse(gateway, commands, record)) for commands in short]
            tasks.append(asyncio.create_task(asyncio.sleep(ROUND_S, [])))
            for found in await asyncio.gather(*tasks):
                violations += found
        if not gateway.is_running():
            violations.append("the gateway has ended")
    finally:
        await gateway.stop()
    return violations


run_case(Path(__file__).resolve().parent, play)
