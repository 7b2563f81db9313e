"""One run of a plan: its fleet, its load, its faults at their times, and the history of it all."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from contextlib import nullcontext, suppress
from pathlib import Path
from typing import Any

import msgspec

from thistletrail.benchmarks.process import Tree
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.fleet import Fleet, Member
from thistletrail.fault_injection.history import (
    Record,
    merge,
    monotonic_offset_us,
    read_folder,
    read_gateway_log,
)
from thistletrail.fault_injection.plan import ON_LINKS, ON_PROCESSES, TAIL_AFTER_LOAD_S, Fault, Plan
from thistletrail.fault_injection.realtime import now_us, watch_lag
from thistletrail.simulation.clock import S

LEAD_US = 300_000  # from the order to begin until the load begins
ENDS_S = 8.0  # past the load and its tail, for clients to end: a machine may be slow
DRAIN_S = 8.0  # for a door that was sent SIGTERM: 3.5 s by its own word
GONE_S = 0.5  # that a scan server drains before it leaves, where the plan replaces it

Say = Callable[[str], None]


class Play:
    """A plan's run from the first process to the last."""

    def __init__(self, fleet: Fleet, say: Say) -> None:
        self.fleet, self.plan, self.say = fleet, fleet.plan, say
        self.tasks: set[asyncio.Task[None]] = set()
        self.start_us = 0
        self.failed: list[BaseException] = []

    async def run(self) -> None:
        """Play the load to its end."""
        fleet = self.fleet
        self.say(f"{self.plan.name}: starting {len(fleet.members)} processes")
        await fleet.start_all()
        self.start_us = now_us() + LEAD_US
        fleet.writer.note(
            "go", start_us=self.start_us, end_us=self.start_us + round(self.plan.fleet.length_s * S)
        )
        for member in fleet.of("clients"):
            member.meant = True  # to end, with its load
            member.order(go=self.start_us)
        self.spawn(watch_lag(fleet.writer.note))
        for index, fault in enumerate(self.plan.faults):
            self.spawn(self.strike(index, fault))
        await self.clients_end()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.failed:
            raise self.failed[0]
        await fleet.end()

    async def clients_end(self) -> None:
        """Wait for the clients' own end."""
        try:
            async with asyncio.timeout(LEAD_US / S + self.plan.fleet.length_s + TAIL_AFTER_LOAD_S + ENDS_S):
                for member in self.fleet.of("clients"):
                    while member.running and not self.failed:
                        await asyncio.sleep(0.05)
                    if member.process.process.returncode:
                        raise FaultInjectionError(f"{member.name} has failed: {member.process.last_line()}")
        except TimeoutError:
            raise FaultInjectionError("the clients do not end") from None

    def spawn(self, job: Any) -> None:  # noqa: ANN401 - a coroutine
        self.tasks.add(task := asyncio.get_running_loop().create_task(job))
        task.add_done_callback(self.ended)

    def ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.failed.append(task.exception())

    async def until(self, seconds: float) -> None:
        """Until so long after the start of the load."""
        await asyncio.sleep(max(0.0, (self.start_us + seconds * S - now_us()) / S))

    # --- faults ---

    async def strike(self, index: int, fault: Fault) -> None:
        """One fault from its beginning to its end."""
        if fault.kind in ON_LINKS:
            await self.strike_links(index, fault)
            return
        if fault.kind == "burst":
            await self.until(fault.at_s)
            self.note(index, fault, ["customers"])
            await asyncio.sleep(fault.for_s)
            self.note(index, fault, ["customers"], "undone")
            return
        chance = random.Random(f"{self.fleet.seed}/{index}")
        struck = self.chosen(fault, chance)
        if fault.state == "old":
            await self.until(fault.at_s / 2)
            for member in struck:
                await asyncio.to_thread(member.copy_state)
        await self.until(fault.at_s)
        self.say(f"{fault.at_s:g} s: {fault.kind} {', '.join(member.name for member in struck)}")
        self.note(index, fault, [member.name for member in struck])
        spread = fault.stagger_s if fault.kind in ON_PROCESSES else 0.0
        spread = fault.for_s if fault.kind == "replace" else spread
        async with asyncio.TaskGroup() as group:
            for number, member in enumerate(struck):
                group.create_task(
                    self.strike_one(
                        fault, member, spread * number / max(1, len(struck)), chance.uniform(*fault.back_s)
                    )
                )
        self.note(index, fault, [member.name for member in struck], "undone")

    def chosen(self, fault: Fault, chance: random.Random) -> list[Member]:
        """The members that it strikes: those of the numbers, or a part of a kind by chance."""
        kind = fault.on if fault.kind in ON_PROCESSES else "servers"
        members = [
            member for member in self.fleet.of(kind) if fault.zone is None or member.zone == fault.zone
        ]
        if fault.numbers:
            return [member for member in members if member.number in fault.numbers]
        return sorted(
            chance.sample(members, round(len(members) * fault.part)), key=lambda member: member.number
        )

    async def strike_one(self, fault: Fault, member: Member, after_s: float, back_s: float) -> None:
        await asyncio.sleep(after_s)
        for _ in range(fault.times):
            act = {
                "kill": self.kill,
                "term": self.term,
                "pause": self.pause,
                "full_disk": self.full_disk,
                "move": self.move,
                "replace": self.replace,
            }.get(fault.kind, self.serve_badly)
            # One that is ended while it is away, or on its way back, is ended once it serves: it must not be
            # started twice.
            async with member.ending if fault.kind in ("kill", "term") else nullcontext():
                await act(fault, member, back_s)

    async def kill(self, fault: Fault, member: Member, back_s: float) -> None:
        self.fleet.kill(member)
        await member.process.process.wait()
        await self.again(fault, member, back_s)

    async def term(self, fault: Fault, member: Member, back_s: float) -> None:
        member.meant = True
        member.send(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(member.process.process.wait(), DRAIN_S)
        self.fleet.kill(member)
        await member.process.process.wait()
        await self.again(fault, member, back_s)

    async def again(self, fault: Fault, member: Member, back_s: float) -> None:
        """Start it once more, with what the fault leaves of its state."""
        await asyncio.to_thread(member.lose_state, fault.state)  # a slow disk must not hold up the relays
        member.cold, member.clock_s = True, fault.clock_s
        await asyncio.sleep(back_s)
        await self.fleet.start(member)

    async def pause(self, fault: Fault, member: Member, back_s: float) -> None:
        member.send(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        member.send(signal.SIGCONT)
        self.fleet.writer.note("woke", who=member.name)

    async def move(self, fault: Fault, member: Member, back_s: float) -> None:
        """The list service that it asks second becomes the only one that it is told of."""
        path = member.folder / "config.json"
        config = msgspec.json.decode(path.read_bytes())
        path.write_bytes(msgspec.json.encode({**config, "discovery": config["discovery"].split(",")[-1]}))
        member.send(signal.SIGHUP)

    async def full_disk(self, fault: Fault, member: Member, back_s: float) -> None:
        member.fill_disk(True)
        await asyncio.sleep(fault.for_s)
        member.fill_disk(False)

    async def replace(self, fault: Fault, member: Member, back_s: float) -> None:
        """A cold one comes under a new id, the old one drains and leaves."""
        fleet = self.fleet
        number = fleet.plan.fleet.servers.count + fleet.fresh_servers
        fleet.fresh_servers += 1
        fresh = fleet.add("servers", number, member.zone, fleet.start_scan)
        fresh.cold = True
        await fleet.start(fresh)
        member.meant = True
        member.order(drain=True)
        await asyncio.sleep(GONE_S)
        member.order(leave=True)
        await member.process.process.wait()

    async def serve_badly(self, fault: Fault, member: Member, back_s: float) -> None:
        worse, usual = {
            "bad": ({"bad": fault.size}, {"bad": 0.0}),
            "errors_fast": ({"bad": fault.size, "fast": True}, {"bad": 0.0, "fast": False}),
            "slow": ({"slow": max(1.0, fault.size)}, {"slow": 1.0}),
        }[fault.kind]
        member.order(**worse)
        await asyncio.sleep(fault.for_s)
        member.order(**usual)

    async def strike_links(self, index: int, fault: Fault) -> None:
        await self.until(fault.at_s)
        self.say(f"{fault.at_s:g} s: {fault.kind} on {fault.link}")
        self.note(index, fault, [fault.link])
        self.fleet.active.append((index, fault))
        self.fleet.refresh_all(fault.link)
        await asyncio.sleep(fault.for_s)
        self.fleet.active.remove((index, fault))
        self.fleet.refresh_all(fault.link)
        self.note(index, fault, [fault.link], "undone")

    def note(self, index: int, fault: Fault, what: list[str], kind: str = "fault") -> None:
        self.fleet.writer.note(kind, fault=fault.kind, number=index, struck=what)


async def play(
    plan: Plan, seed: int, tree: Tree, folder: Path, say: Say, more: dict[str, Any] | None = None
) -> list[Record]:
    """Run a plan once, in `folder`: its history. What keeps it from being played is a FaultInjectionError."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):  # as an exception it could be lost in a callback
        loop.add_signal_handler(number, task.cancel)
    fleet = Fleet(plan, seed, tree, folder, more or {})
    offset_us = monotonic_offset_us()
    try:
        await Play(fleet, say).run()
    except TimeoutError:
        raise FaultInjectionError("the processes do not all start") from None
    except BaseExceptionGroup as group:
        raise first(group) from None
    finally:
        with suppress(asyncio.CancelledError):
            await asyncio.shield(fleet.close())
    if fleet.crashed:
        say(fleet.crashed[0])
    parts = read_folder(folder / "history")
    logs = [read_gateway_log(member.folder / "log", member.number, offset_us) for member in fleet.of("doors")]
    return merge([*parts, *logs])


def first(group: BaseExceptionGroup) -> BaseException:
    """The first plain error of a group."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
