"""What a request costs a front door: plays of a load, their figures, and pairs of plays of two revisions."""

import asyncio
import contextlib
import socket
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.load_generator import LoadGenerator
from thistletrail.benchmarks.loads import Load
from thistletrail.benchmarks.process import GatewaySourceTree, Process, free_port, running_gateway_process
from thistletrail.benchmarks.stub_servers import HOST, Address, StubServers, format_address

PLAN = {"name": "standard", "units-per-s": 100.0, "burst": 200.0}  # nobody is refused for a quota
SAMPLE_INTERVAL_S = 0.02  # between looks at open descriptors
SETTLE_TIME_S = 0.2  # after the start, before anything is measured
MAX_REQUESTS = 200_000
SETTINGS = {
    "me": 0,
    "balancers": 2,
    "zones": ["east"],
    "kinds": ["m1"],
    "plans": [PLAN],
    "categories": [
        {
            "name": "view-sheet",
            "on-time-us": 400_000,
            "deadline-us": 2_000_000,
            "points": 3,
            "idempotency": "read_like",
        },
        {
            "name": "submit-record",
            "on-time-us": 750_000,
            "deadline-us": 2_000_000,
            "points": 9,
            "idempotency": "idempotency_key",
            "group": "zone",
            "window-us": 4_000_000,
        },
    ],
    "ceilings": {
        "max-attempts": 5,
        "conn-idle-us": 30_000_000,
        "connect-timeout-us": 250_000,
        "retry-after": True,
        "max-retry-after-us": 2_000_000,
        "may-cancel": True,
        "peers": True,
    },
    "extra": {"mail-per-s": 40.0},
    "obligations": {
        "cold-from": 0.5,
        "warm-within-us": 1_000_000,
        "fall-multiple": 2.5,
        "fall-us": 2_000_000,
    },
}


@dataclass(frozen=True, slots=True)
class LoadRun:
    """The figures of one play; those that were not taken are None."""

    load: str
    requests: int
    served: int
    refused: int
    other: int  # failed, closed, not answered
    processor_us: float  # a request
    resident_start: int
    resident_end: int
    resident_idle: float | None  # a idle_descriptors connection
    descriptors: float  # for each request open, when the most were
    handshakes: float  # with scan servers, a request
    datagrams: float  # to the peer, a request
    stages_us: dict[str, float] | None = None  # a request, while stages were timed

    @property
    def figures(self) -> dict[str, float]:
        """Those that two revisions are compared by."""
        found = {
            "processor_us": self.processor_us,
            "resident_end": self.resident_end,
            "resident_idle": self.resident_idle,
            "descriptors": self.descriptors,
            "handshakes": self.handshakes,
            "datagrams": self.datagrams,
        }
        return {name: value for name, value in found.items() if value is not None}


def gateway_config(discovery: Address, peer: Address, port: int, seed: int, timed: bool) -> dict[str, Any]:
    own = format_address((HOST, free_port(socket.SOCK_DGRAM)))
    return {
        "name": "bench",
        "listen": format_address((HOST, port)),
        "discovery": format_address(discovery),
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "time_stages": timed,
        "peer_listen": own,
        "peers": [own, format_address(peer)],
        "known": {},
        "settings": SETTINGS,
    }


class DescriptorSampler:
    """Looks at the descriptors while a load is played."""

    def __init__(self, process: Process, load_generator: LoadGenerator) -> None:
        self.process, self.load_generator = process, load_generator
        self.max_open_requests, self.max_descriptors = 0, 0

    async def sample(self) -> None:
        while True:
            opened = self.load_generator.open_requests
            if opened > self.max_open_requests:
                self.max_open_requests, self.max_descriptors = opened, self.process.descriptor_count()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def run_load(
    tree: GatewaySourceTree, load: Load, seed: int, port: int = 0, timed: bool = False
) -> LoadRun:
    """Play a load against a front door that is started for it alone."""
    stubs = StubServers(load, seed, peer_level=PLAN["burst"])
    with TemporaryDirectory(prefix="bench-") as folder:
        try:
            discovery = await stubs.start()
            values = gateway_config(discovery, stubs.peer_address, port or free_port(), seed, timed)
            async with running_gateway_process(tree, values, Path(folder)) as process:
                return await measure(tree, process, stubs, load, seed, timed)
        except OSError as error:
            raise BenchmarkError(f"cannot play '{load.name}': {error}") from error
        finally:
            await stubs.close()


async def measure(
    tree: GatewaySourceTree, process: Process, stubs: StubServers, load: Load, seed: int, timed: bool
) -> LoadRun:
    load_generator = LoadGenerator(load, seed, process.address)
    try:
        await asyncio.sleep(SETTLE_TIME_S)
        start = process.resident_bytes()
        await load_generator.open_idle_connections()
        idle = (process.resident_bytes() - start) / load.idle if load.idle else None
        before = await process.cost_report() if timed and tree.logs_costs else None
        idle_descriptors, used = process.descriptor_count(), process.processor_us()
        connections, datagrams = stubs.total("connections"), stubs.peer.datagrams
        stubs.start_replacing()
        sampler = DescriptorSampler(process, load_generator)
        sampling = asyncio.get_running_loop().create_task(sampler.sample())
        try:
            await load_generator.run()
        finally:
            sampling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sampling
        used = process.processor_us() - used
        count = sum(load_generator.outcomes.values())
        stages = None
        if before and (after := await process.cost_report()).get("stages_s"):
            stages = {
                name: 1e6 * (spent - before["stages_s"].get(name, 0.0)) / count
                for name, spent in after["stages_s"].items()
            }
        served, refused = load_generator.outcomes["served"], load_generator.outcomes["refused"]
        return LoadRun(
            load.name,
            count,
            served,
            refused,
            count - served - refused,
            used / count,
            start,
            process.resident_bytes(),
            idle,
            (sampler.max_descriptors - idle_descriptors) / max(1, sampler.max_open_requests),
            (stubs.total("connections") - connections) / count,
            (stubs.peer.datagrams - datagrams) / count,
            stages,
        )
    finally:
        load_generator.close()


async def measure_costs(
    tree: GatewaySourceTree, loads: Iterable[Load], seed: int, port: int
) -> list[LoadRun]:
    """Each load once for the figures, and once more for the stages, as to time them costs time itself."""
    found = []
    for load in loads:
        plain = await run_load(tree, load, seed, port)
        timed = await run_load(tree, load, seed, port, timed=True) if tree.logs_costs else None
        found.append(replace(plain, stages_us=timed.stages_us if timed else None))
    return found


async def run_pairs(
    ours: GatewaySourceTree,
    theirs: GatewaySourceTree,
    loads: Iterable[Load],
    seed: int,
    port: int,
    count: int,
) -> list[tuple[LoadRun, LoadRun]]:
    """Plays of both in turns, each pair under a seed of its own; who goes first alternates."""
    found = []
    for load in loads:
        for number in range(count):
            order = (theirs, ours) if number % 2 else (ours, theirs)
            plays = {tree.root: await run_load(tree, load, seed + number, port) for tree in order}
            found.append((plays[ours.root], plays[theirs.root]))
    return found


def with_request_count(load: Load, requests: int | None) -> Load:
    return replace(load, requests=requests) if requests else load


# --- tables ---


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if not column else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in lines
    )


def mib(size: float) -> str:
    return f"{size / (1 << 20):.1f}"


def cost_table(plays: Sequence[LoadRun]) -> str:
    head = (
        "load",
        "requests",
        "served",
        "refused",
        "other",
        "us/request",
        "MiB start",
        "MiB end",
        "KiB/idle conn",
        "fds/open",
        "handshakes",
        "datagrams",
    )
    rows = [
        (
            load_run.load,
            str(load_run.requests),
            str(load_run.served),
            str(load_run.refused),
            str(load_run.other),
            f"{load_run.processor_us:.0f}",
            mib(load_run.resident_start),
            mib(load_run.resident_end),
            "-" if load_run.resident_idle is None else f"{load_run.resident_idle / 1024:.1f}",
            f"{load_run.descriptors:.2f}",
            f"{load_run.handshakes:.3f}",
            f"{load_run.datagrams:.3f}",
        )
        for load_run in plays
    ]
    text = table(head, rows)
    timed = [load_run for load_run in plays if load_run.stages_us]
    if not timed:
        return text
    names = sorted({name for load_run in timed for name in load_run.stages_us})
    stages = [
        (load_run.load, *(f"{load_run.stages_us.get(name, 0.0):.0f}" for name in names)) for load_run in timed
    ]
    return f"{text}\n\nby stage, us a request, while stages are timed\n{table(('load', *names), stages)}"


def differences(found: Sequence[tuple[LoadRun, LoadRun]]) -> list[dict[str, Any]]:
    """For each load and figure: the means of both, and the mean and spread of ours less theirs."""
    rows = []
    for load in dict.fromkeys(ours.load for ours, _ in found):
        plays = [pair for pair in found if pair[0].load == load]
        for name in plays[0][0].figures:
            values = [(ours.figures[name], theirs.figures[name]) for ours, theirs in plays]
            gaps = [ours - theirs for ours, theirs in values]
            rows.append(
                {
                    "load": load,
                    "figure": name,
                    "pairs": len(gaps),
                    "ours": statistics.fmean(ours for ours, _ in values),
                    "theirs": statistics.fmean(theirs for _, theirs in values),
                    "difference": statistics.fmean(gaps),
                    "least": min(gaps),
                    "most": max(gaps),
                    "deviation": statistics.stdev(gaps) if len(gaps) > 1 else None,
                }
            )
    return rows


def difference_table(rows: Iterable[dict[str, Any]], against: str) -> str:
    head = ("load", "figure", "pairs", against, "here", "difference", "%", "least", "most", "deviation")

    def cell(value: float | None) -> str:
        return "-" if value is None else f"{value:.3f}" if abs(value) < 10 else f"{value:.0f}"

    return table(
        head,
        [
            (
                row["load"],
                row["figure"],
                str(row["pairs"]),
                cell(row["theirs"]),
                cell(row["ours"]),
                cell(row["difference"]),
                f"{100 * row['difference'] / row['theirs']:+.1f}" if row["theirs"] else "-",
                cell(row["least"]),
                cell(row["most"]),
                cell(row["deviation"]),
            )
            for row in rows
        ],
    )


def as_json(plays: Iterable[LoadRun]) -> list[dict[str, Any]]:
    return [asdict(load_run) for load_run in plays]
