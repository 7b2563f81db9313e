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

from thistletrail.benchmarks.callers import Callers
from thistletrail.benchmarks.errors import BenchError
from thistletrail.benchmarks.loads import Load
from thistletrail.benchmarks.process import Process, Tree, free_port, front_door
from thistletrail.benchmarks.standins import HOST, Address, World, text

PLAN = {"name": "standard", "units-per-s": 100.0, "burst": 200.0}  # nobody is refused for a quota
LOOK_S = 0.02  # between looks at open descriptors
REST_S = 0.2  # after the start, before anything is measured
MOST_REQUESTS = 200_000
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
class Play:
    """The figures of one play; those that were not taken are None."""

    load: str
    requests: int
    served: int
    refused: int
    other: int  # failed, closed, not answered
    processor_us: float  # a request
    resident_start: int
    resident_end: int
    resident_idle: float | None  # a quiet connection
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


def config(discovery: Address, peer: Address, port: int, seed: int, timed: bool) -> dict[str, Any]:
    own = text((HOST, free_port(socket.SOCK_DGRAM)))
    return {
        "name": "bench",
        "listen": text((HOST, port)),
        "discovery": text(discovery),
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "time_stages": timed,
        "peer_listen": own,
        "peers": [own, text(peer)],
        "known": {},
        "settings": SETTINGS,
    }


class Watcher:
    """Looks at the descriptors while a load is played."""

    def __init__(self, process: Process, callers: Callers) -> None:
        self.process, self.callers = process, callers
        self.most_open, self.most_descriptors = 0, 0

    async def watch(self) -> None:
        while True:
            opened = self.callers.open
            if opened > self.most_open:
                self.most_open, self.most_descriptors = opened, self.process.descriptors()
            await asyncio.sleep(LOOK_S)


async def play(tree: Tree, load: Load, seed: int, port: int = 0, timed: bool = False) -> Play:
    """Play a load against a front door that is started for it alone."""
    world = World(load, seed, peer_level=PLAN["burst"])
    with TemporaryDirectory(prefix="bench-") as folder:
        try:
            discovery = await world.start()
            values = config(discovery, world.peer_address, port or free_port(), seed, timed)
            async with front_door(tree, values, Path(folder)) as process:
                return await measure(tree, process, world, load, seed, timed)
        except OSError as error:
            raise BenchError(f"cannot play '{load.name}': {error}") from error
        finally:
            await world.close()


async def measure(tree: Tree, process: Process, world: World, load: Load, seed: int, timed: bool) -> Play:
    callers = Callers(load, seed, process.address)
    try:
        await asyncio.sleep(REST_S)
        start = process.resident()
        await callers.settle()
        idle = (process.resident() - start) / load.idle if load.idle else None
        said = await process.costs() if timed and tree.tells_costs else None
        quiet, used = process.descriptors(), process.processor_us()
        connections, datagrams = world.total("connections"), world.peer.datagrams
        world.begin()
        watcher = Watcher(process, callers)
        watching = asyncio.get_running_loop().create_task(watcher.watch())
        try:
            await callers.play()
        finally:
            watching.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watching
        used = process.processor_us() - used
        count = sum(callers.ended.values())
        stages = None
        if said and (after := await process.costs()).get("stages_s"):
            stages = {
                name: 1e6 * (spent - said["stages_s"].get(name, 0.0)) / count
                for name, spent in after["stages_s"].items()
            }
        served, refused = callers.ended["served"], callers.ended["refused"]
        return Play(
            load.name,
            count,
            served,
            refused,
            count - served - refused,
            used / count,
            start,
            process.resident(),
            idle,
            (watcher.most_descriptors - quiet) / max(1, watcher.most_open),
            (world.total("connections") - connections) / count,
            (world.peer.datagrams - datagrams) / count,
            stages,
        )
    finally:
        callers.close()


async def costs(tree: Tree, loads: Iterable[Load], seed: int, port: int) -> list[Play]:
    """Each load once for the figures, and once more for the stages, as to time them costs time itself."""
    found = []
    for load in loads:
        plain = await play(tree, load, seed, port)
        timed = await play(tree, load, seed, port, timed=True) if tree.tells_costs else None
        found.append(replace(plain, stages_us=timed.stages_us if timed else None))
    return found


async def pairs(
    ours: Tree, theirs: Tree, loads: Iterable[Load], seed: int, port: int, count: int
) -> list[tuple[Play, Play]]:
    """Plays of both in turns, each pair under a seed of its own; who goes first alternates."""
    found = []
    for load in loads:
        for number in range(count):
            order = (theirs, ours) if number % 2 else (ours, theirs)
            plays = {tree.root: await play(tree, load, seed + number, port) for tree in order}
            found.append((plays[ours.root], plays[theirs.root]))
    return found


def fitting(load: Load, requests: int | None) -> Load:
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


def cost_table(plays: Sequence[Play]) -> str:
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
            play.load,
            str(play.requests),
            str(play.served),
            str(play.refused),
            str(play.other),
            f"{play.processor_us:.0f}",
            mib(play.resident_start),
            mib(play.resident_end),
            "-" if play.resident_idle is None else f"{play.resident_idle / 1024:.1f}",
            f"{play.descriptors:.2f}",
            f"{play.handshakes:.3f}",
            f"{play.datagrams:.3f}",
        )
        for play in plays
    ]
    text = table(head, rows)
    timed = [play for play in plays if play.stages_us]
    if not timed:
        return text
    names = sorted({name for play in timed for name in play.stages_us})
    stages = [(play.load, *(f"{play.stages_us.get(name, 0.0):.0f}" for name in names)) for play in timed]
    return f"{text}\n\nby stage, us a request, while stages are timed\n{table(('load', *names), stages)}"


def differences(found: Sequence[tuple[Play, Play]]) -> list[dict[str, Any]]:
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


def as_json(plays: Iterable[Play]) -> list[dict[str, Any]]:
    return [asdict(play) for play in plays]
