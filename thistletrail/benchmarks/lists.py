"""What the list service costs: many watchers and leased instances, a change at a time, and a restart."""

import asyncio
import contextlib
import random
import statistics
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from thistletrail.benchmarks.errors import BenchError
from thistletrail.benchmarks.process import END_S, Process, start_program
from thistletrail.benchmarks.standins import HOST, Address
from thistletrail.registry.backoff import full_jitter_s
from thistletrail.registry.follower import BACKOFF_S, MAX_BACKOFF_S
from thistletrail.registry.registration import InstanceSettings, Registration

WAIT_S = 60.0  # for all watchers to have what they wait for
RENEWALS = 10  # of each instance, for the mean of one
LEASE_MS = 600_000  # so long that none is renewed by itself meanwhile
BUCKET_S = 0.5  # of the spread of connects


@dataclass(frozen=True, slots=True)
class Figures:
    """Times in milliseconds, sizes in bytes, processor time in microseconds."""

    watchers: int
    instances: int
    write_to_last_ms: list[float]
    bytes_a_change: float
    memory_a_watcher: float
    cpu_a_renewal_us: float
    connects: list[int]  # watchers that came back, by BUCKET_S after the restart


class Watcher:
    """One watch, read as bytes, taken up again with full jitter when it ends."""

    def __init__(self, address: Address, chance: random.Random) -> None:
        self.address, self.random = address, chance
        self.received = 0
        self.generation = -1
        self.connected: list[float] = []  # when each connection was up
        self.changed = asyncio.Event()

    async def run(self) -> None:
        tries = 0
        while True:
            try:
                await self.watch()
                tries = 0
            except OSError:
                tries += 1
            await asyncio.sleep(full_jitter_s(self.random, tries, BACKOFF_S, MAX_BACKOFF_S))

    async def watch(self) -> None:
        reader, writer = await asyncio.open_connection(*self.address, limit=1 << 24)
        self.connected.append(time.monotonic())
        after = "" if self.generation < 0 else str(self.generation)
        writer.write(f"GET /catalog/members?watch=1&after={after} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            while line := await reader.readline():
                self.received += len(line)
                head, mark, rest = line.partition(b'{"generation":')
                if mark and not head:
                    self.generation = int(rest.partition(b",")[0])
                    self.changed.set()
        finally:
            writer.close()

    async def reach(self, generation: int) -> float:
        """When it had that generation."""
        while self.generation < generation:
            self.changed.clear()
            await self.changed.wait()
        return time.monotonic()


@contextlib.asynccontextmanager
async def service(folder: Path, port: int) -> AsyncIterator[Process]:
    """A list service as a process of its own; it ends with the block."""
    process, _ = await start_program(
        (
            "-m",
            "thistletrail.registry",
            "--data",
            str(folder / "list"),
            "--listen",
            f"{HOST}:{port}",
            "--fill",
            "0",
        ),
        folder / "log.txt",
    )
    try:
        yield process
    finally:
        await process.end()
        process.kill()
        await process.process.wait()


async def play(watchers: int, instances: int, changes: int, seed: int) -> Figures:
    """Fill a service, watch it, change it, renew in it and restart it."""
    with TemporaryDirectory(prefix="bench-") as name:
        folder = Path(name)
        async with contextlib.AsyncExitStack() as stack:
            running = await stack.enter_async_context(service(folder, 0))
            servers = []
            for number in range(instances):
                settings = InstanceSettings(
                    address=f"127.1.{number // 250}.{number % 250 + 1}:6379",
                    zone="east",
                    machine_type="m1",
                    lease_ms=LEASE_MS,
                )
                servers.append(Registration("{}:{}".format(*running.address), f"s-{number}", settings))
                await servers[-1].start()
                stack.push_async_callback(servers[-1].aclose)
            before = running.resident()
            readers = [Watcher(running.address, random.Random(seed + number)) for number in range(watchers)]
            tasks = [asyncio.create_task(reader.run()) for reader in readers]
            stack.callback(lambda: [task.cancel() for task in tasks])
            last = servers[-1].generation
            await asyncio.wait_for(asyncio.gather(*(reader.reach(last) for reader in readers)), WAIT_S)
            memory = (running.resident() - before) / watchers
            times, received = [], sum(reader.received for reader in readers)
            for number in range(changes):
                server = servers[number % instances]
                lifecycle = "DRAINING" if number // instances % 2 == 0 else "SERVING"
                began = time.monotonic()
                await server.request_once(
                    "PATCH", "", {"generation": server.generation, "lifecycle": lifecycle}
                )
                await server.renew()
                ends = await asyncio.wait_for(
                    asyncio.gather(*(reader.reach(server.generation) for reader in readers)), WAIT_S
                )
                times.append((max(ends) - began) * 1000)
            size = (sum(reader.received for reader in readers) - received) / changes / watchers
            used = running.processor_us()
            for _ in range(RENEWALS):
                for server in servers:
                    await server.renew()
            renewal = (running.processor_us() - used) / RENEWALS / instances
            port = running.address[1]
            running.process.terminate()
            await asyncio.wait_for(running.process.wait(), END_S)
            counts = [len(reader.connected) for reader in readers]
            again = time.monotonic()
            async with service(folder, port):
                while any(
                    len(reader.connected) == count for reader, count in zip(readers, counts, strict=True)
                ):
                    if time.monotonic() - again > WAIT_S:
                        raise BenchError("not all watchers came back")
                    await asyncio.sleep(0.05)
                waits = [
                    reader.connected[count] - again for reader, count in zip(readers, counts, strict=True)
                ]
            spread = [0] * (1 + int(max(waits) / BUCKET_S))
            for wait in waits:
                spread[int(max(0.0, wait) / BUCKET_S)] += 1
            return Figures(watchers, instances, times, size, memory, renewal, spread)


def table(found: Figures) -> str:
    times = sorted(found.write_to_last_ms)
    return "\n".join(
        [
            f"{found.watchers} watchers, {found.instances} leased instances, {len(times)} changes",
            f"write to the last watcher: median {statistics.median(times):.1f} ms, "
            f"at most {times[-1]:.1f} ms",
            f"a change costs each watcher {found.bytes_a_change:.0f} bytes",
            f"a watcher costs the service {found.memory_a_watcher / 1024:.1f} KiB",
            f"a renewal costs the service {found.cpu_a_renewal_us:.0f} us of processor time",
            f"connects after a restart, in each {BUCKET_S:g} s: {' '.join(map(str, found.connects))}",
        ]
    )


def as_json(found: Figures) -> dict[str, Any]:
    return {name: getattr(found, name) for name in found.__slots__}
