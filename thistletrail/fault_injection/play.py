"""Runs a plan once: starts the fleet and the load, injects the faults, and merges the histories."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from contextlib import nullcontext, suppress
from pathlib import Path
from typing import Any

import msgspec

from thistletrail.benchmarks.process import GatewaySourceTree
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
from thistletrail.fault_injection.realtime import now_us, record_event_loop_lag
from thistletrail.simulation.clock import S

LOAD_START_DELAY_US = 300_000  # from sending the order `go` to the load generators until the load begins
CLIENT_EXIT_TIMEOUT_S = 8.0  # after the end of the load and its tail; long enough for slow machines
DRAIN_TIMEOUT_S = 8.0  # from SIGTERM to SIGKILL; the drain of a gateway takes up to 3.5 s
REPLACED_SERVER_DRAIN_S = 0.5  # from the start of a replaced scan server's drain until it leaves

ProgressCallback = Callable[[str], None]


class PlanRun:
    """Runs the plan of a fleet, from the start of the first process to the exit of the last."""

    def __init__(self, fleet: Fleet, report_progress: ProgressCallback) -> None:
        self.fleet, self.plan, self.report_progress = fleet, fleet.plan, report_progress
        self.tasks: set[asyncio.Task[None]] = set()
        self.start_us = 0
        self.task_errors: list[BaseException] = []

    async def run(self) -> None:
        """Start the fleet, run the load with the faults to its end, and terminate the fleet.

        Raises the first error of a fault's task, if there was one.
        """
        fleet = self.fleet
        self.report_progress(f"{self.plan.name}: starting {len(fleet.members)} processes")
        await fleet.start_all()
        self.start_us = now_us() + LOAD_START_DELAY_US
        fleet.writer.note(
            "go", start_us=self.start_us, end_us=self.start_us + round(self.plan.fleet.length_s * S)
        )
        for member in fleet.members_of("clients"):
            member.is_exit_expected = True  # load generators exit after their load
            member.send_order(go=self.start_us)
        self.spawn(record_event_loop_lag(fleet.writer.note))
        for index, fault in enumerate(self.plan.faults):
            self.spawn(self.inject(index, fault))
        await self.wait_for_load_generators()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.task_errors:
            raise self.task_errors[0]
        await fleet.terminate()

    async def wait_for_load_generators(self) -> None:
        """Wait until the load generators exit; raises `FaultInjectionError` if one fails or does not."""
        try:
            async with asyncio.timeout(
                LOAD_START_DELAY_US / S + self.plan.fleet.length_s + TAIL_AFTER_LOAD_S + CLIENT_EXIT_TIMEOUT_S
            ):
                for member in self.fleet.members_of("clients"):
                    while member.is_running and not self.task_errors:
                        await asyncio.sleep(0.05)
                    if member.process.process.returncode:
                        raise FaultInjectionError(f"{member.name} failed: {member.process.last_line()}")
        except TimeoutError:
            raise FaultInjectionError("the load generators did not exit after the load") from None

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that is cancelled at the end of the load."""
        self.tasks.add(task := asyncio.get_running_loop().create_task(coroutine))
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Forget a task, and keep its error for `run` to raise."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.task_errors.append(task.exception())

    async def sleep_until(self, seconds: float) -> None:
        """Sleep until the given time after the start of the load."""
        await asyncio.sleep(max(0.0, (self.start_us + seconds * S - now_us()) / S))

    # --- faults ---

    async def inject(self, index: int, fault: Fault) -> None:
        """Inject one fault at its time, and remove it at its end."""
        if fault.kind in ON_LINKS:
            await self.inject_on_links(index, fault)
            return
        if fault.kind == "burst":
            await self.sleep_until(fault.at_s)
            self.record_fault(index, fault, ["customers"])
            await asyncio.sleep(fault.for_s)
            self.record_fault(index, fault, ["customers"], "undone")
            return
        rng = random.Random(f"{self.fleet.seed}/{index}")
        targets = self.choose_members(fault, rng)
        if fault.state == "old":
            await self.sleep_until(fault.at_s / 2)
            for member in targets:
                await asyncio.to_thread(member.copy_state)
        await self.sleep_until(fault.at_s)
        self.report_progress(f"{fault.at_s:g} s: {fault.kind} {', '.join(member.name for member in targets)}")
        self.record_fault(index, fault, [member.name for member in targets])
        # The time over which the members are hit one after the other.
        spread_s = fault.stagger_s if fault.kind in ON_PROCESSES else 0.0
        spread_s = fault.for_s if fault.kind == "replace" else spread_s
        async with asyncio.TaskGroup() as group:
            for number, member in enumerate(targets):
                group.create_task(
                    self.inject_into_member(
                        fault, member, spread_s * number / max(1, len(targets)), rng.uniform(*fault.back_s)
                    )
                )
        self.record_fault(index, fault, [member.name for member in targets], "undone")

    def choose_members(self, fault: Fault, rng: random.Random) -> list[Member]:
        """Return the members that a fault applies to: those of its numbers, or a random share of a kind."""
        kind = fault.on if fault.kind in ON_PROCESSES else "servers"
        members = [
            member
            for member in self.fleet.members_of(kind)
            if fault.zone is None or member.zone == fault.zone
        ]
        if fault.numbers:
            return [member for member in members if member.number in fault.numbers]
        return sorted(rng.sample(members, round(len(members) * fault.part)), key=lambda member: member.number)

    async def inject_into_member(
        self, fault: Fault, member: Member, delay_s: float, restart_delay_s: float
    ) -> None:
        """Inject a fault into one member after a delay and remove it, `fault.times` times."""
        await asyncio.sleep(delay_s)
        for _ in range(fault.times):
            # All of these have the same parameters, although only some use the restart delay.
            inject = {
                "kill": self.kill,
                "term": self.term,
                "pause": self.pause,
                "full_disk": self.full_disk,
                "move": self.move,
                "replace": self.replace,
            }.get(fault.kind, self.degrade_server)
            # A member that another fault has killed or terminated must serve again before this fault kills or
            # terminates it: otherwise both faults would start it.
            async with member.restart_lock if fault.kind in ("kill", "term") else nullcontext():
                await inject(fault, member, restart_delay_s)

    async def kill(self, fault: Fault, member: Member, restart_delay_s: float) -> None:
        """Kill a member, and restart it."""
        self.fleet.kill(member)
        await member.process.process.wait()
        await self.restart(fault, member, restart_delay_s)

    async def term(self, fault: Fault, member: Member, restart_delay_s: float) -> None:
        """Terminate a member with SIGTERM, kill it if it does not exit, and restart it."""
        member.is_exit_expected = True
        member.send_signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(member.process.process.wait(), DRAIN_TIMEOUT_S)
        self.fleet.kill(member)
        await member.process.process.wait()
        await self.restart(fault, member, restart_delay_s)

    async def restart(self, fault: Fault, member: Member, restart_delay_s: float) -> None:
        """Start a member again after `restart_delay_s`, with the stored state and the clock of the fault."""
        # In a thread: a slow disk would delay the relays.
        await asyncio.to_thread(member.apply_state_fault, fault.state)
        member.is_cold, member.clock_offset_s = True, fault.clock_s
        await asyncio.sleep(restart_delay_s)
        await self.fleet.start(member)

    async def pause(self, fault: Fault, member: Member, restart_delay_s: float) -> None:
        """Suspend a member with SIGSTOP for the duration of the fault."""
        member.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        member.send_signal(signal.SIGCONT)
        self.fleet.writer.note("woke", who=member.name)

    async def move(self, fault: Fault, member: Member, restart_delay_s: float) -> None:
        """Leave a gateway only the last registry of its configuration, and make it reload that by SIGHUP."""
        path = member.folder / "config.json"
        config = msgspec.json.decode(path.read_bytes())
        path.write_bytes(msgspec.json.encode({**config, "discovery": config["discovery"].split(",")[-1]}))
        member.send_signal(signal.SIGHUP)

    async def full_disk(self, fault: Fault, member: Member, restart_delay_s: float) -> None:
        """Make the writes of a member fail for the duration of the fault."""
        member.set_disk_full(True)
        await asyncio.sleep(fault.for_s)
        member.set_disk_full(False)

    async def replace(self, fault: Fault, member: Member, restart_delay_s: float) -> None:
        """Start a cold scan server under a new id, then drain the old one and make it deregister and exit."""
        fleet = self.fleet
        number = fleet.plan.fleet.servers.count + fleet.added_server_count
        fleet.added_server_count += 1
        new_member = fleet.add_member("servers", number, member.zone, fleet.start_stub_scan_server)
        new_member.is_cold = True
        await fleet.start(new_member)
        member.is_exit_expected = True
        member.send_order(drain=True)
        await asyncio.sleep(REPLACED_SERVER_DRAIN_S)
        member.send_order(leave=True)
        await member.process.process.wait()

    async def degrade_server(self, fault: Fault, member: Member, restart_delay_s: float) -> None:
        """Make a scan server slow, or its answers errors, for the duration of the fault."""
        degraded, normal = {
            "bad": ({"bad": fault.size}, {"bad": 0.0}),
            "errors_fast": ({"bad": fault.size, "fast": True}, {"bad": 0.0, "fast": False}),
            "slow": ({"slow": max(1.0, fault.size)}, {"slow": 1.0}),
        }[fault.kind]
        member.send_order(**degraded)
        await asyncio.sleep(fault.for_s)
        member.send_order(**normal)

    async def inject_on_links(self, index: int, fault: Fault) -> None:
        """At its time, add a fault to the links that it applies to, and remove it at its end."""
        await self.sleep_until(fault.at_s)
        self.report_progress(f"{fault.at_s:g} s: {fault.kind} on {fault.link}")
        self.record_fault(index, fault, [fault.link])
        self.fleet.active_link_faults.append((index, fault))
        self.fleet.update_link_states(fault.link)
        await asyncio.sleep(fault.for_s)
        self.fleet.active_link_faults.remove((index, fault))
        self.fleet.update_link_states(fault.link)
        self.record_fault(index, fault, [fault.link], "undone")

    def record_fault(self, index: int, fault: Fault, targets: list[str], kind: str = "fault") -> None:
        """Record the beginning of a fault, or its end by the kind `undone`, with the names of its targets."""
        self.fleet.writer.note(kind, fault=fault.kind, number=index, struck=targets)


async def play(
    plan: Plan,
    seed: int,
    tree: GatewaySourceTree,
    folder: Path,
    report_progress: ProgressCallback,
    extra_gateway_config: dict[str, Any] | None = None,
) -> list[Record]:
    """Run a plan once, with its files in `folder`, and return its history.

    `extra_gateway_config` is added to the configuration of each gateway. Raises `FaultInjectionError` if the
    plan cannot be run.
    """
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    # The exceptions that the default handlers raise could be lost in a callback of the loop.
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    fleet = Fleet(plan, seed, tree, folder, extra_gateway_config or {})
    offset_us = monotonic_offset_us()
    try:
        await PlanRun(fleet, report_progress).run()
    except TimeoutError:
        raise FaultInjectionError("not all processes of the fleet started before the time-out") from None
    except BaseExceptionGroup as group:
        raise first_error(group) from None
    finally:
        with suppress(asyncio.CancelledError):
            await asyncio.shield(fleet.close())
    if fleet.unexpected_exits:
        report_progress(fleet.unexpected_exits[0])
    process_histories = read_folder(folder / "history")
    gateway_logs = [
        read_gateway_log(member.folder / "log", member.number, offset_us)
        for member in fleet.members_of("doors")
    ]
    return merge([*process_histories, *gateway_logs])


def first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error of a group that is not a group itself."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
