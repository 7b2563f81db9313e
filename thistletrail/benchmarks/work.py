"""What it costs that work in hand is kept: pairs of plays with it off and on, and the steward alone."""

from __future__ import annotations

import asyncio
import contextlib
import random
import statistics
import time
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from thistletrail.benchmarks.cost import PLAN, SETTLE_TIME_S, gateway_config
from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.load_generator import LoadGenerator
from thistletrail.benchmarks.loads import Load
from thistletrail.benchmarks.process import (
    GatewaySourceTree,
    Process,
    free_port,
    running_gateway_process,
    start_program,
)
from thistletrail.benchmarks.stub_servers import HOST, StubServers, format_address
from thistletrail.leasing.client import WorkStream
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.leadership import latest_term, term_folder
from thistletrail.leasing.messages import MAX_OPERATIONS, BeginWork, CompleteWork, WorkEffect, WorkResponse
from thistletrail.leasing.work_holder import WorkHolder

MOST_US = 10_000_000  # that a histogram holds
DIGITS = 3
BODY = b"y" * 512  # a request as it is kept
VALUE = b"x" * 1024  # an answer


@dataclass(frozen=True)
class Figures:
    """One play; times are in microseconds."""

    kept: bool
    requests: int
    served: int
    processor_us: float  # of the front door, a request
    steward_us: float  # of the steward, a request
    resident: int
    p50_us: int  # of a write
    p99_us: int


async def start_steward(folder: Path) -> Process:
    """With the files in a folder: `budgets.toml`, `secret`, and `state` if it was there before."""
    process, _ = await start_program(
        (
            "-m",
            "thistletrail.leasing",
            "serve",
            "--data",
            str(folder / "state"),
            "--config",
            str(folder / "budgets.toml"),
            "--secret",
            str(folder / "secret"),
            "--listen",
            f"{HOST}:0",
        ),
        folder / "steward.log",
    )
    return process


@contextlib.asynccontextmanager
async def steward(folder: Path, seed: int, budgets: str = "budgets = []\n") -> AsyncIterator[Process]:
    """A steward as a process of its own, with the text of its configuration; it ends with the block."""
    (folder / "budgets.toml").write_text(budgets)
    (folder / "secret").write_text(f"{random.Random(seed).getrandbits(256):064x}")
    process = await start_steward(folder)
    try:
        yield process
    finally:
        process.kill()
        await process.process.wait()


async def play(tree: GatewaySourceTree, load: Load, seed: int, kept: bool) -> Figures:
    """A load against one front door, with its writes kept or not."""
    stubs = StubServers(load, seed, peer_level=PLAN["burst"])
    with TemporaryDirectory(prefix="bench-") as name:
        folder = Path(name)
        try:
            discovery = await stubs.start()
            values = gateway_config(discovery, stubs.peer_address, free_port(), seed, False)
            async with contextlib.AsyncExitStack() as stack:
                keeper = await stack.enter_async_context(steward(folder, seed)) if kept else None
                if keeper:
                    key = "work_leases" if tree.has_lease_keys else "takeover"
                    values[key] = {
                        "addresses": format_address(keeper.address),
                        "classes": ["submit-record"],
                        "secret_file": str(folder / "secret"),
                    }
                door = await stack.enter_async_context(running_gateway_process(tree, values, folder))
                return await measure(door, keeper, stubs, load, seed)
        except OSError as error:
            raise BenchmarkError(f"cannot play '{load.name}': {error}") from error
        finally:
            await stubs.close()


async def measure(
    door: Process, keeper: Process | None, stubs: StubServers, load: Load, seed: int
) -> Figures:
    load_generator = LoadGenerator(load, seed, door.address)
    try:
        await asyncio.sleep(SETTLE_TIME_S)
        stubs.start_replacing()
        used, other = door.processor_us(), keeper.processor_us() if keeper else 0.0
        await load_generator.run()
        used = door.processor_us() - used
        other = (keeper.processor_us() if keeper else 0.0) - other
        histogram = HdrHistogram(1, MOST_US, DIGITS)
        for took in load_generator.write_latencies_us:
            histogram.record_value(min(MOST_US, took))
        count = sum(load_generator.outcomes.values())
        return Figures(
            keeper is not None,
            count,
            load_generator.outcomes["served"],
            used / count,
            other / count,
            door.resident_bytes(),
            int(histogram.get_value_at_percentile(50)),
            int(histogram.get_value_at_percentile(99)),
        )
    finally:
        load_generator.close()


async def pairs(tree: GatewaySourceTree, load: Load, seed: int, count: int) -> list[tuple[Figures, Figures]]:
    """Plays with it off and on, in turns."""
    return [
        (await play(tree, load, seed + n, False), await play(tree, load, seed + n, True))
        for n in range(count)
    ]


@dataclass(frozen=True)
class Alone:
    """The steward alone: pieces of work begun and ended by one door."""

    pieces: int
    per_s: float  # of its own processor time
    took_s: float
    log_bytes: float  # a piece


async def alone(pieces: int, seed: int) -> Alone:
    """So many pieces of work, begun and ended in asks of as many ops as fit."""
    with TemporaryDirectory(prefix="bench-") as name:
        folder = Path(name)
        async with steward(folder, seed) as keeper:
            secret = (folder / "secret").read_bytes()
            line, hand = WorkStream(keeper.address, secret), WorkHolder(0, 1)

            async def ask() -> None:
                answer = await line.call(hand.next_request(now_ms()))
                hand.on_response(msgspec.msgpack.decode(answer, type=WorkResponse), now_ms())

            await ask()
            used, began = keeper.processor_us(), time.monotonic()
            for first in range(0, pieces, MAX_OPERATIONS):
                last = min(pieces, first + MAX_OPERATIONS)
                names = [f"{number % 97:016x}/{number}" for number in range(first, last)]
                for name in names:
                    hand.enqueue(
                        BeginWork(
                            name=name,
                            request_id=name,
                            digest="d",
                            customer=name[:16],
                            effect=WorkEffect.KEYED,
                            left_ms=2000,
                            window_ms=0,
                            request=BODY,
                            server="s",
                            place="east",
                        )
                    )
                while hand.queue:
                    await ask()
                for name in names:
                    hand.enqueue(CompleteWork(name=name, fence=hand.fences.pop(name), value=VALUE))
                while hand.queue:
                    await ask()
            took, used = time.monotonic() - began, keeper.processor_us() - used
            line.close()
            state = folder / "state"
            log = (term_folder(state, latest_term(state)) / "log").stat().st_size
            return Alone(pieces, pieces * 1e6 / used, took, log / pieces)


def table(found: list[tuple[Figures, Figures]], by_itself: Alone) -> str:
    """Medians with it off and on, and the median difference of the pairs."""
    lines = ["figure                          off          on  difference"]
    for name in ("served", "processor_us", "steward_us", "resident", "p50_us", "p99_us"):
        off, on = ([getattr(one[side], name) for one in found] for side in (0, 1))
        apart = statistics.median(b - a for a, b in zip(off, on, strict=True))
        lines.append(f"{name:24}{statistics.median(off):11.0f} {statistics.median(on):11.0f} {apart:+11.0f}")
    lines.append(
        f"the steward alone: {by_itself.per_s:.0f} pieces of work a second of one core, "
        f"{by_itself.log_bytes:.0f} bytes of log each"
    )
    return "\n".join(lines)


def as_json(found: list[tuple[Figures, Figures]], by_itself: Alone) -> dict[str, Any]:
    return {"pairs": [[asdict(one) for one in pair] for pair in found], "alone": asdict(by_itself)}
