"""The cost of work leases: pairs of runs with them off and on, and the throughput of the lease service."""

from __future__ import annotations

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

MAX_LATENCY_US = 10_000_000  # largest value of a latency histogram; longer latencies count as this
SIGNIFICANT_DIGITS = 3  # precision of a latency histogram
REQUEST_BODY = b"y" * 512  # the request that a work item stores
RESPONSE_VALUE = b"x" * 1024  # the answer that a work item stores


@dataclass(frozen=True)
class Figures:
    """The figures of one run of a load."""

    with_leases: bool
    """Whether the gateway took a work lease for each SVC.SUBMIT."""
    requests: int
    served: int
    gateway_cpu_us: float
    """Processor time of the gateway for each request, in microseconds."""
    lease_service_cpu_us: float
    """Processor time of the lease service for each request, in microseconds."""
    gateway_rss_bytes: int
    """Resident memory of the gateway at the end of the run, in bytes."""
    latency_p50_us: int
    """Median latency of a served SVC.SUBMIT, in microseconds."""
    latency_p99_us: int
    """99th percentile of the latency of a served SVC.SUBMIT, in microseconds."""

    def to_json_object(self) -> dict[str, Any]:
        """Return the figures under the keys of the JSON file."""
        return {
            "kept": self.with_leases,
            "requests": self.requests,
            "served": self.served,
            "processor_us": self.gateway_cpu_us,
            "steward_us": self.lease_service_cpu_us,
            "resident": self.gateway_rss_bytes,
            "p50_us": self.latency_p50_us,
            "p99_us": self.latency_p99_us,
        }


async def start_lease_service(folder: Path) -> Process:
    """Start a lease service on the files in `folder`.

    These are `budgets.toml`, `secret`, and the data folder `state`, which the service creates if needed.
    """
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
async def running_lease_service(
    folder: Path, seed: int, budgets: str = "budgets = []\n"
) -> AsyncIterator[Process]:
    """Run a lease service as a separate process until the block ends; `budgets` is its configuration."""
    (folder / "budgets.toml").write_text(budgets)
    (folder / "secret").write_text(f"{random.Random(seed).getrandbits(256):064x}")
    process = await start_lease_service(folder)
    try:
        yield process
    finally:
        process.kill()
        await process.process.wait()


async def run_load(tree: GatewaySourceTree, load: Load, seed: int, with_leases: bool) -> Figures:
    """Run a load against one gateway, with or without work leases for its SVC.SUBMIT requests."""
    stubs = StubServers(load, seed, peer_level=PLAN["burst"])
    with TemporaryDirectory(prefix="bench-") as name:
        folder = Path(name)
        try:
            discovery = await stubs.start()
            values = gateway_config(discovery, stubs.peer_address, free_port(), seed, False)
            async with contextlib.AsyncExitStack() as stack:
                lease_service = None
                if with_leases:
                    lease_service = await stack.enter_async_context(running_lease_service(folder, seed))
                    key = "work_leases" if tree.has_lease_keys else "takeover"
                    values[key] = {
                        "addresses": format_address(lease_service.address),
                        "classes": ["submit-record"],
                        "secret_file": str(folder / "secret"),
                    }
                gateway = await stack.enter_async_context(running_gateway_process(tree, values, folder))
                return await measure(gateway, lease_service, stubs, load, seed)
        except OSError as error:
            raise BenchmarkError(f"cannot run the load '{load.name}': {error}") from error
        finally:
            await stubs.close()


async def measure(
    gateway: Process, lease_service: Process | None, stubs: StubServers, load: Load, seed: int
) -> Figures:
    """Send a load's requests to a running gateway and return the figures."""
    load_generator = LoadGenerator(load, seed, gateway.address)
    try:
        await asyncio.sleep(SETTLE_TIME_S)
        stubs.start_replacing()
        gateway_us, lease_service_us = (
            gateway.processor_us(),
            lease_service.processor_us() if lease_service else 0.0,
        )
        await load_generator.run()
        gateway_us = gateway.processor_us() - gateway_us
        lease_service_us = (lease_service.processor_us() if lease_service else 0.0) - lease_service_us
        histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        for latency_us in load_generator.write_latencies_us:
            histogram.record_value(min(MAX_LATENCY_US, latency_us))
        count = sum(load_generator.outcomes.values())
        return Figures(
            with_leases=lease_service is not None,
            requests=count,
            served=load_generator.outcomes["served"],
            gateway_cpu_us=gateway_us / count,
            lease_service_cpu_us=lease_service_us / count,
            gateway_rss_bytes=gateway.resident_bytes(),
            latency_p50_us=int(histogram.get_value_at_percentile(50)),
            latency_p99_us=int(histogram.get_value_at_percentile(99)),
        )
    finally:
        load_generator.close()


async def run_pairs(
    tree: GatewaySourceTree, load: Load, seed: int, count: int
) -> list[tuple[Figures, Figures]]:
    """Run a load without and with work leases, `count` times in turns."""
    return [
        (await run_load(tree, load, seed + number, False), await run_load(tree, load, seed + number, True))
        for number in range(count)
    ]


@dataclass(frozen=True)
class ServiceFigures:
    """The cost of work items that one gateway begins and completes, at a lease service without other load."""

    work_items: int
    items_per_core_s: float
    """Work items for each second of the lease service's processor time."""
    duration_s: float
    log_bytes_per_item: float

    def to_json_object(self) -> dict[str, Any]:
        """Return the figures under the keys of the JSON file."""
        return {
            "pieces": self.work_items,
            "per_s": self.items_per_core_s,
            "took_s": self.duration_s,
            "log_bytes": self.log_bytes_per_item,
        }


async def measure_service(work_items: int, seed: int) -> ServiceFigures:
    """Begin and complete work items, with as many operations in each request as it may have."""
    with TemporaryDirectory(prefix="bench-") as folder_name:
        folder = Path(folder_name)
        async with running_lease_service(folder, seed) as process:
            secret = (folder / "secret").read_bytes()
            stream, holder = WorkStream(process.address, secret), WorkHolder(0, 1)

            async def send_request() -> None:
                answer = await stream.call(holder.next_request(now_ms()))
                holder.on_response(msgspec.msgpack.decode(answer, type=WorkResponse), now_ms())

            await send_request()
            used_us, began_s = process.processor_us(), time.monotonic()
            for first in range(0, work_items, MAX_OPERATIONS):
                end = min(work_items, first + MAX_OPERATIONS)
                names = [f"{number % 97:016x}/{number}" for number in range(first, end)]
                for name in names:
                    holder.enqueue(
                        BeginWork(
                            name=name,
                            request_id=name,
                            digest="d",
                            customer=name[:16],
                            effect=WorkEffect.KEYED,
                            left_ms=2000,
                            window_ms=0,
                            request=REQUEST_BODY,
                            server="s",
                            place="east",
                        )
                    )
                while holder.queue:
                    await send_request()
                for name in names:
                    holder.enqueue(
                        CompleteWork(name=name, fence=holder.fences.pop(name), value=RESPONSE_VALUE)
                    )
                while holder.queue:
                    await send_request()
            duration_s, used_us = time.monotonic() - began_s, process.processor_us() - used_us
            stream.close()
            data = folder / "state"
            log_bytes = (term_folder(data, latest_term(data)) / "log").stat().st_size
            return ServiceFigures(
                work_items=work_items,
                items_per_core_s=work_items * 1e6 / used_us,
                duration_s=duration_s,
                log_bytes_per_item=log_bytes / work_items,
            )


ROWS = (
    ("requests served", "served"),
    ("gateway processor us/request", "gateway_cpu_us"),
    ("lease service processor us/request", "lease_service_cpu_us"),
    ("gateway resident bytes", "gateway_rss_bytes"),
    ("SVC.SUBMIT latency us (median)", "latency_p50_us"),
    ("SVC.SUBMIT latency us (99%)", "latency_p99_us"),
)
"""Rows of the table: label, and attribute of `Figures`."""


def format_table(pairs: list[tuple[Figures, Figures]], service: ServiceFigures) -> str:
    """Return a table: medians with work leases off and on, and the median of the paired differences."""
    lines = [f"{'work leases':36}{'off':>11} {'on':>11} {'difference':>11}"]
    for label, attribute in ROWS:
        without, with_ = ([getattr(pair[side], attribute) for pair in pairs] for side in (0, 1))
        difference = statistics.median(after - before for before, after in zip(without, with_, strict=True))
        medians = f"{statistics.median(without):11.0f} {statistics.median(with_):11.0f}"
        lines.append(f"{label:36}{medians} {difference:+11.0f}")
    lines.append(
        f"the lease service alone: {service.items_per_core_s:.0f} work items a second of one core, "
        f"{service.log_bytes_per_item:.0f} bytes of write-ahead log each"
    )
    return "\n".join(lines)


def to_json_object(pairs: list[tuple[Figures, Figures]], service: ServiceFigures) -> dict[str, Any]:
    """Return the figures of all runs under the keys of the JSON file."""
    return {
        "pairs": [[figures.to_json_object() for figures in pair] for pair in pairs],
        "alone": service.to_json_object(),
    }
