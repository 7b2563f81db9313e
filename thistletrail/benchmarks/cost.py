"""Measures what a request costs a gateway, and compares two revisions in pairs of runs of the same load."""

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

# A quota so large that no request is refused for it.
PLAN = {"name": "standard", "units-per-s": 100.0, "burst": 200.0}
SAMPLE_INTERVAL_S = 0.02  # between samples of the open file descriptors
SETTLE_TIME_S = 0.2  # from the time at which a gateway serves to its first measurement
MAX_REQUESTS = 200_000  # in one run of a load
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


# Labels of the compared figures in printed tables.
FIGURE_LABELS = {
    "processor_us": "CPU us/request",
    "resident_end": "RSS bytes at end",
    "resident_idle": "RSS bytes/idle connection",
    "descriptors": "fds/open request",
    "handshakes": "handshakes/request",
    "datagrams": "datagrams/request",
}


@dataclass(frozen=True, slots=True)
class LoadRun:
    """The figures of one run of a load; None for those that it did not measure."""

    load: str
    requests: int
    served: int
    refused: int
    other: int  # failed, connection refused or closed, or no answer within `ANSWER_TIMEOUT_S`
    processor_us: float  # microseconds of processor time per request
    resident_start: int  # bytes of resident memory
    resident_end: int  # bytes
    resident_idle: float | None  # bytes per idle connection
    descriptors: float  # open file descriptors per open request, at the largest number of open requests
    handshakes: float  # connections opened to scan servers, per request
    datagrams: float  # datagrams sent to the peer, per request
    stages_us: dict[str, float] | None = None  # by stage, per request, in a run with `time_stages`

    @property
    def figures(self) -> dict[str, float]:
        """The figures by which two revisions are compared, without those that are None."""
        figures = {
            "processor_us": self.processor_us,
            "resident_end": self.resident_end,
            "resident_idle": self.resident_idle,
            "descriptors": self.descriptors,
            "handshakes": self.handshakes,
            "datagrams": self.datagrams,
        }
        return {name: value for name, value in figures.items() if value is not None}


def gateway_config(discovery: Address, peer: Address, port: int, seed: int, timed: bool) -> dict[str, Any]:
    """Return the configuration of a gateway on loopback; `timed` turns on `time_stages`."""
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
    """Records the open file descriptors of a process at the largest number of open requests."""

    def __init__(self, process: Process, load_generator: LoadGenerator) -> None:
        self.process, self.load_generator = process, load_generator
        self.max_open_requests, self.max_descriptors = 0, 0

    async def sample(self) -> None:
        """Take samples until cancelled."""
        while True:
            open_requests = self.load_generator.open_requests
            if open_requests > self.max_open_requests:
                self.max_open_requests, self.max_descriptors = open_requests, self.process.descriptor_count()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def run_load(
    tree: GatewaySourceTree, load: Load, seed: int, port: int = 0, timed: bool = False
) -> LoadRun:
    """Run a load against a gateway that is started for it alone; with port 0 it gets any free port."""
    stubs = StubServers(load, seed, peer_level=PLAN["burst"])
    with TemporaryDirectory(prefix="bench-") as folder:
        try:
            discovery = await stubs.start()
            values = gateway_config(discovery, stubs.peer_address, port or free_port(), seed, timed)
            async with running_gateway_process(tree, values, Path(folder)) as process:
                return await measure(tree, process, stubs, load, seed, timed)
        except OSError as error:
            raise BenchmarkError(f"cannot run the load '{load.name}': {error}") from error
        finally:
            await stubs.close()


async def measure(
    tree: GatewaySourceTree, process: Process, stubs: StubServers, load: Load, seed: int, timed: bool
) -> LoadRun:
    """Run a load against a gateway that is already serving, and return the figures."""
    load_generator = LoadGenerator(load, seed, process.address)
    try:
        await asyncio.sleep(SETTLE_TIME_S)
        resident_start = process.resident_bytes()
        await load_generator.open_idle_connections()
        resident_idle = (process.resident_bytes() - resident_start) / load.idle if load.idle else None
        before = await process.cost_report() if timed and tree.logs_costs else None
        idle_descriptors, used_us = process.descriptor_count(), process.processor_us()
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
        used_us = process.processor_us() - used_us
        count = sum(load_generator.outcomes.values())
        stages = None
        if before and (after := await process.cost_report()).get("stages_s"):
            stages = {
                name: 1e6 * (spent_s - before["stages_s"].get(name, 0.0)) / count
                for name, spent_s in after["stages_s"].items()
            }
        served, refused = load_generator.outcomes["served"], load_generator.outcomes["refused"]
        return LoadRun(
            load.name,
            count,
            served,
            refused,
            count - served - refused,
            used_us / count,
            resident_start,
            process.resident_bytes(),
            resident_idle,
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
    """Run each load once for the figures, and again to time the stages, which itself uses processor time."""
    runs = []
    for load in loads:
        plain = await run_load(tree, load, seed, port)
        timed = await run_load(tree, load, seed, port, timed=True) if tree.logs_costs else None
        runs.append(replace(plain, stages_us=timed.stages_us if timed else None))
    return runs


async def run_pairs(
    ours: GatewaySourceTree,
    theirs: GatewaySourceTree,
    loads: Iterable[Load],
    seed: int,
    port: int,
    count: int,
) -> list[tuple[LoadRun, LoadRun]]:
    """Run both source trees in turns. Each pair has a seed of its own, and the order alternates."""
    pairs = []
    for load in loads:
        for number in range(count):
            order = (theirs, ours) if number % 2 else (ours, theirs)
            by_root = {tree.root: await run_load(tree, load, seed + number, port) for tree in order}
            pairs.append((by_root[ours.root], by_root[theirs.root]))
    return pairs


def with_request_count(load: Load, requests: int | None) -> Load:
    """Return the load with this number of requests, or unchanged if it is None."""
    return replace(load, requests=requests) if requests else load


# --- tables ---


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a text table with the first column aligned to the left and the others to the right."""
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
    """Return a size in bytes as a number of MiB."""
    return f"{size / (1 << 20):.1f}"


def cost_table(runs: Sequence[LoadRun]) -> str:
    """Return the figures of each load as a table, and a second table with the processor time by stage."""
    head = (
        "load",
        "requests",
        "served",
        "refused",
        "other",
        "CPU us/request",
        "RSS MiB at start",
        "RSS MiB at end",
        "KiB/idle connection",
        "fds/open request",
        "handshakes/request",
        "datagrams/request",
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
        for load_run in runs
    ]
    text = table(head, rows)
    timed = [load_run for load_run in runs if load_run.stages_us]
    if not timed:
        return text
    names = sorted({name for load_run in timed for name in load_run.stages_us})
    stages = [
        (load_run.load, *(f"{load_run.stages_us.get(name, 0.0):.0f}" for name in names)) for load_run in timed
    ]
    title = "CPU us/request by stage, from runs that time the stages"
    return f"{text}\n\n{title}\n{table(('load', *names), stages)}"


def differences(pairs: Sequence[tuple[LoadRun, LoadRun]]) -> list[dict[str, Any]]:
    """Return by load and figure both means, and mean, range and standard deviation of ours minus theirs."""
    rows = []
    for load in dict.fromkeys(ours.load for ours, _ in pairs):
        load_pairs = [pair for pair in pairs if pair[0].load == load]
        for name in load_pairs[0][0].figures:
            values = [(ours.figures[name], theirs.figures[name]) for ours, theirs in load_pairs]
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
    """Return the rows of `differences` as a table; `against` names the other revision."""
    head = ("load", "figure", "pairs", against, "here", "difference", "%", "min", "max", "deviation")

    def cell(value: float | None) -> str:
        return "-" if value is None else f"{value:.3f}" if abs(value) < 10 else f"{value:.0f}"

    return table(
        head,
        [
            (
                row["load"],
                FIGURE_LABELS[row["figure"]],
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


def as_json(runs: Iterable[LoadRun]) -> list[dict[str, Any]]:
    """Return the runs as JSON objects."""
    return [asdict(load_run) for load_run in runs]
