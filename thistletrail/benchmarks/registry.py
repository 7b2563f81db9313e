"""The cost of the service registry: many watchers and leased instances, changes one at a time, a restart."""

from __future__ import annotations

import asyncio
import contextlib
import random
import statistics
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.process import DRAIN_TIMEOUT_S, Process, start_program
from thistletrail.benchmarks.stub_servers import HOST, Address
from thistletrail.registry.backoff import full_jitter_s
from thistletrail.registry.follower import BACKOFF_S, MAX_BACKOFF_S
from thistletrail.registry.registration import InstanceSettings, Registration

WAIT_TIMEOUT_S = 60.0
"""Time for all watchers to receive a change, or to connect again after a restart."""

RENEWALS_PER_INSTANCE = 10
"""Number of renewals of each instance, over which the cost of one is averaged."""

LEASE_MS = 600_000
"""Duration of a lease: so long that no instance renews by itself during a run."""

RECONNECT_BUCKET_S = 0.5
"""Width of a bucket in the histogram of reconnects after the restart."""

RECONNECT_POLL_S = 0.05
"""Interval between checks whether all watchers are connected again."""

MAX_LINE_BYTES = 1 << 24
"""Maximum size of one update: far above the complete endpoint list of the largest run."""

INSTANCES_PER_SUBNET = 250
"""Instances whose made-up addresses share the first three octets."""

BYTES_PER_KIB = 1024
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Figures:
    """Times in milliseconds, sizes in bytes, processor time in microseconds."""

    watchers: int
    instances: int
    write_to_last_ms: list[float]
    """For each change, the time from the write until the last watcher received it."""
    bytes_a_change: float
    memory_a_watcher: float
    cpu_a_renewal_us: float
    connects: list[int]
    """Watchers that connected again, counted in buckets of `RECONNECT_BUCKET_S` after the restart."""


class Watcher:
    """One watch, whose JSON is not decoded; it is resumed after a backoff with full jitter when it ends."""

    def __init__(self, address: Address, generator: random.Random) -> None:
        self.received_bytes = 0
        self.generation = -1
        self.connected_at_s: list[float] = []
        """Monotonic time of each connection."""
        self._address = address
        self._random = generator
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Watch until cancelled."""
        failures = 0
        while True:
            try:
                await self._watch()
                failures = 0
            except OSError:
                failures += 1
            await asyncio.sleep(full_jitter_s(self._random, failures, BACKOFF_S, MAX_BACKOFF_S))

    async def _watch(self) -> None:
        reader, writer = await asyncio.open_connection(*self._address, limit=MAX_LINE_BYTES)
        self.connected_at_s.append(time.monotonic())
        after = "" if self.generation < 0 else str(self.generation)
        writer.write(f"GET /catalog/members?watch=1&after={after} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            while line := await reader.readline():
                self._receive_line(line)
        finally:
            writer.close()

    def _receive_line(self, line: bytes) -> None:
        self.received_bytes += len(line)
        prefix, key, rest = line.partition(b'{"generation":')
        if key and not prefix:
            self.generation = int(rest.partition(b",")[0])
            self._changed.set()

    async def wait_for_generation(self, generation: int) -> float:
        """Wait until the watcher has received this generation, and return the monotonic time."""
        while self.generation < generation:
            self._changed.clear()
            await self._changed.wait()
        return time.monotonic()


async def wait_for_all(watchers: Sequence[Watcher], generation: int) -> list[float]:
    """Return when each watcher received this generation; raises `TimeoutError` after `WAIT_TIMEOUT_S`."""
    waits = (watcher.wait_for_generation(generation) for watcher in watchers)
    return await asyncio.wait_for(asyncio.gather(*waits), WAIT_TIMEOUT_S)


@contextlib.asynccontextmanager
async def registry_process(folder: Path, port: int) -> AsyncIterator[Process]:
    """Run a service registry as a separate process during the block."""
    data = str(folder / "list")
    listen = f"{HOST}:{port}"
    process, _ = await start_program(
        ("-m", "thistletrail.registry", "--data", data, "--listen", listen, "--fill", "0"), folder / "log.txt"
    )
    try:
        yield process
    finally:
        await process.drain()
        process.kill()
        await process.process.wait()


async def register_instances(
    stack: contextlib.AsyncExitStack, address: Address, count: int
) -> list[Registration]:
    """Register `count` instances at made-up addresses; the stack closes their registrations."""
    registrations = []
    for number in range(count):
        subnet, host = divmod(number, INSTANCES_PER_SUBNET)
        settings = InstanceSettings(
            address=f"127.1.{subnet}.{host + 1}:6379", zone="east", machine_type="m1", lease_ms=LEASE_MS
        )
        registration = Registration("{}:{}".format(*address), f"s-{number}", settings)
        registrations.append(registration)
        await registration.start()
        stack.push_async_callback(registration.aclose)
    return registrations


def start_watchers(
    stack: contextlib.AsyncExitStack, address: Address, count: int, seed: int
) -> list[Watcher]:
    """Start `count` watchers in the background; the stack cancels them."""
    watchers = [Watcher(address, random.Random(seed + number)) for number in range(count)]
    for watcher in watchers:
        task = asyncio.create_task(watcher.run())
        stack.callback(task.cancel)
    return watchers


async def measure_changes(
    registrations: Sequence[Registration], watchers: Sequence[Watcher], count: int
) -> list[float]:
    """Change one instance at a time; return for each change the ms until the last watcher received it."""
    times_ms = []
    for number in range(count):
        round_number, index = divmod(number, len(registrations))
        registration = registrations[index]
        lifecycle = "DRAINING" if round_number % 2 == 0 else "SERVING"
        body = {"generation": registration.generation, "lifecycle": lifecycle}
        began_s = time.monotonic()
        await registration.request_once("PATCH", "", body)
        await registration.renew()
        received_s = await wait_for_all(watchers, registration.generation)
        times_ms.append((max(received_s) - began_s) * MS_PER_SECOND)
    return times_ms


async def measure_renewals(process: Process, registrations: Sequence[Registration]) -> float:
    """Renew each lease several times; return the registry's processor time per renewal in microseconds."""
    used_before_us = process.processor_us()
    for _ in range(RENEWALS_PER_INSTANCE):
        for registration in registrations:
            await registration.renew()
    return (process.processor_us() - used_before_us) / RENEWALS_PER_INSTANCE / len(registrations)


async def measure_reconnects(process: Process, folder: Path, watchers: Sequence[Watcher]) -> list[int]:
    """Restart the registry at its address; return how many watchers connected again in each bucket."""
    port = process.address[1]
    process.process.terminate()
    await asyncio.wait_for(process.process.wait(), DRAIN_TIMEOUT_S)
    counts_before = [len(watcher.connected_at_s) for watcher in watchers]
    restarted_s = time.monotonic()
    async with registry_process(folder, port):
        while any(
            len(watcher.connected_at_s) == count
            for watcher, count in zip(watchers, counts_before, strict=True)
        ):
            if time.monotonic() - restarted_s > WAIT_TIMEOUT_S:
                raise BenchmarkError(
                    f"not all watchers connected again within {WAIT_TIMEOUT_S:g} s of the registry's restart"
                )
            await asyncio.sleep(RECONNECT_POLL_S)
        delays_s = [
            watcher.connected_at_s[count] - restarted_s
            for watcher, count in zip(watchers, counts_before, strict=True)
        ]
    return histogram(delays_s)


def histogram(delays_s: Sequence[float]) -> list[int]:
    """Count delays by buckets of `RECONNECT_BUCKET_S`."""
    counts = [0] * (1 + int(max(delays_s) / RECONNECT_BUCKET_S))
    for delay_s in delays_s:
        counts[int(max(0.0, delay_s) / RECONNECT_BUCKET_S)] += 1
    return counts


async def measure(watchers: int, instances: int, changes: int, seed: int) -> Figures:
    """Measure a registry process with watchers, changes and renewals, and over a restart."""
    with TemporaryDirectory(prefix="bench-") as name:
        folder = Path(name)
        async with contextlib.AsyncExitStack() as stack:
            process = await stack.enter_async_context(registry_process(folder, 0))
            registrations = await register_instances(stack, process.address, instances)
            memory_before_bytes = process.resident_bytes()
            watching = start_watchers(stack, process.address, watchers, seed)
            await wait_for_all(watching, registrations[-1].generation)
            memory_per_watcher = (process.resident_bytes() - memory_before_bytes) / watchers
            received_before = sum(watcher.received_bytes for watcher in watching)
            write_to_last_ms = await measure_changes(registrations, watching, changes)
            received = sum(watcher.received_bytes for watcher in watching) - received_before
            renewal_us = await measure_renewals(process, registrations)
            return Figures(
                watchers=watchers,
                instances=instances,
                write_to_last_ms=write_to_last_ms,
                bytes_a_change=received / changes / watchers,
                memory_a_watcher=memory_per_watcher,
                cpu_a_renewal_us=renewal_us,
                connects=await measure_reconnects(process, folder, watching),
            )


def format_table(figures: Figures) -> str:
    """Return the figures as lines for a reader."""
    times_ms = sorted(figures.write_to_last_ms)
    return "\n".join(
        [
            f"{figures.watchers} watchers, {figures.instances} leased instances, {len(times_ms)} changes",
            f"from a write until the last watcher received it: median {statistics.median(times_ms):.1f} ms, "
            f"at most {times_ms[-1]:.1f} ms",
            f"a change costs each watcher {figures.bytes_a_change:.0f} bytes",
            f"a watcher costs the registry {figures.memory_a_watcher / BYTES_PER_KIB:.1f} KiB",
            f"a renewal costs the registry {figures.cpu_a_renewal_us:.0f} us of processor time",
            f"watchers connected again after a restart, in each {RECONNECT_BUCKET_S:g} s: "
            f"{' '.join(map(str, figures.connects))}",
        ]
    )


def to_json_object(figures: Figures) -> dict[str, Any]:
    """Return the figures under their names, for a JSON file."""
    return asdict(figures)
