"""The processes of a run and the relays between them: starts, restarts and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import resource
import shutil
import signal
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.process import (
    GatewaySourceTree,
    Process,
    free_port,
    start_gateway_process,
    start_program,
    start_without_waiting,
)
from thistletrail.benchmarks.stub_servers import format_address
from thistletrail.fault_injection.endpoint_list_rewriter import EndpointListRewriter
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.history import Writer
from thistletrail.fault_injection.leases import Renewals
from thistletrail.fault_injection.plan import Fault, Plan
from thistletrail.fault_injection.program import ProcessConfig
from thistletrail.fault_injection.relay import Address, Peers, Relay, Requests, State
from thistletrail.fault_injection.world import MEMORY_LIMIT_MB, SOCKET_LIMIT, World
from thistletrail.gateway.budget_lease_client import RETRY_BUDGET_NAME
from thistletrail.gateway.snapshot_file import decode_snapshot, encode_snapshot
from thistletrail.leasing.config import read_config
from thistletrail.leasing.journal import begin_history
from thistletrail.simulation.clock import Clock

START_TIMEOUT_S = 30.0  # for all processes to serve: dozens start at once on few cores
END_TIMEOUT_S = 6.0  # from SIGTERM to SIGKILL: the drain of a gateway takes up to 3.5 s
LEASE_MS = 3000  # of the leases that the lease service grants
# The last octet of the address of the first process of each kind.
SERVICE_OCTETS = {"list": 251, "follower": 252, "steward": 253}
STALE_MS = 3_600_000  # the age added to a stale snapshot


def aged(data: bytes, by_ms: int) -> bytes:
    """Return a gateway's snapshot with a timestamp that is earlier by `by_ms`."""
    snapshot = decode_snapshot(data)
    return encode_snapshot(replace(snapshot, written_at_ms=snapshot.written_at_ms - by_ms))


class Member:
    """One process of the fleet, which may be down at the moment."""

    def __init__(
        self, kind: str, number: int, zone: int, folder: Path, start: Callable[[Member], Awaitable[Process]]
    ) -> None:
        self.kind, self.number, self.zone, self.folder, self.start_process = kind, number, zone, folder, start
        self.name = f"{kind}-{number}"
        self.process: Process | None = None
        self.listen_address: Address = ("", 0)  # of a lease service; chosen before the process starts
        self.is_end_expected = False  # the run has ended the process, or is about to
        self.cold = False
        self.clock_s = 0.0
        self.watch_task: asyncio.Task[None] | None = None
        self.restart_lock = asyncio.Lock()  # held from the end by a fault until it serves again
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def state(self) -> Path:
        """The folder of the stored state, which all lease services share."""
        folder = self.folder if self.kind != "steward" else self.folder.with_name("steward-0")
        return folder / "state"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.process.returncode is None

    def send_signal(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.process.send_signal(number)

    def send_order(self, **values: object) -> None:
        """Write an order as a JSON line to the standard input of the process, if it runs."""
        if self.running:
            self.process.process.stdin.write(msgspec.json.encode(values) + b"\n")

    def fill_disk(self, full: bool) -> None:
        """Make all writes to files fail, or succeed again, by the limit on the size of files."""
        with contextlib.suppress(ProcessLookupError):
            _, hard_limit = resource.prlimit(self.process.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(
                self.process.process.pid, resource.RLIMIT_FSIZE, (0 if full else hard_limit, hard_limit)
            )

    def apply_state_fault(self, how: str) -> None:
        """Change the stored state while the process is down, by the value of `Fault.state`."""
        if how == "none":
            shutil.rmtree(self.state, ignore_errors=True)
        elif how == "old":
            shutil.rmtree(self.state, ignore_errors=True)
            if self.copy_folder.exists():
                shutil.copytree(self.copy_folder, self.state)
        elif how == "stale" and (self.state / "door").exists():
            path = self.state / "door"
            path.write_bytes(aged(path.read_bytes(), STALE_MS))
        elif how == "damaged":
            for path in sorted(path for path in self.state.rglob("*") if path.is_file()):
                data = bytearray(path.read_bytes())
                if data:
                    data[len(data) // 2] ^= 0xFF
                    path.write_bytes(data)

    @property
    def copy_folder(self) -> Path:
        return self.folder / "copy"

    def copy_state(self) -> None:
        """Copy the stored state, for a later fault with an old state."""
        shutil.rmtree(self.copy_folder, ignore_errors=True)
        if self.state.exists():
            shutil.copytree(self.state, self.copy_folder, ignore_dangling_symlinks=True)


class Fleet:
    """All members of the fleet, the relays between them, and the state of each link."""

    def __init__(
        self, plan: Plan, seed: int, tree: GatewaySourceTree, folder: Path, more: dict[str, Any]
    ) -> None:
        """`more` is added to the configuration of each gateway."""
        self.plan, self.seed, self.tree, self.folder, self.more = plan, seed, tree, folder, more
        self.loop = asyncio.get_running_loop()
        (folder / "history").mkdir(parents=True, exist_ok=True)
        self.writer = Writer(folder / "history" / "fault_injection.jsonl")
        self.world = World(plan.fleet, seed, Clock())
        self.members: dict[str, Member] = {}
        self.relays: dict[tuple[str, str, str], Relay] = {}
        self.states: dict[tuple[str, str, str], State] = {}
        self.active_link_faults: list[tuple[int, Fault]] = []
        self.random = random.Random(f"{seed}/doors")
        self.crashed: list[str] = []
        self.added_server_count = 0
        net, pid = plan.fleet.net, os.getpid()
        # Each process that restarts at its address has a host of its own: on a shared one, a connection of
        # another process could take its port.
        self.prefix = f"127.{64 + (pid >> 8) % 128}.{pid % 256}"
        hosts = [f"{self.prefix}.{number + 1}" for number in range(plan.fleet.doors)]
        self.listen_addresses = [(host, free_port(host=host)) for host in hosts]
        self.peer_listen_addresses = [(host, free_port(socket.SOCK_DGRAM, host)) for host in hosts]
        self.peers = Peers(self.peer_listen_addresses, self.peer_state, self.writer)
        self.add("list", 0, 0, self.start_list)
        if plan.follower:
            self.add("follower", 0, 0, self.start_follower)
        if plan.needs_lease_service:
            for number in range(plan.stewards):
                self.add("steward", number, 0, self.start_steward)
        for number in range(plan.fleet.servers.count):
            self.add("servers", number, number % net.zones, self.start_scan)
        for number in range(plan.fleet.doors):
            self.add("doors", number, number % net.zones, self.start_gateway)
        for number in range(plan.clients):
            self.add("clients", number, -1, self.start_clients)

    def add(self, kind: str, number: int, zone: int, start: Callable[[Member], Awaitable[Process]]) -> Member:
        member = Member(kind, number, zone, self.folder / f"{kind}-{number}", start)
        self.members[member.name] = member
        return member

    def members_of(self, kind: str) -> list[Member]:
        return [member for member in self.members.values() if member.kind == kind]

    # --- links ---

    def link_state(self, link: str, near: str, far: str) -> State:
        """Return the state of the link between two members, by their names; it is created on first use."""
        state = self.states.get((link, near, far))
        if state is None:
            state = self.states[link, near, far] = State(random.Random(f"{self.seed}/{link}/{near}/{far}"))
            self.update_link_state(link, near, far)
        return state

    def peer_state(self, one: int, other: int) -> State:
        return self.link_state("doors-doors", f"doors-{one}", f"doors-{other}")

    def hits_link(self, index: int, fault: Fault, near: str, far: str) -> bool:
        """Whether a fault on links hits this one.

        Each link has a random generator of its own, so that the order of the calls changes nothing.
        """
        sides = [self.members[near], self.members[far]]
        if fault.zone is not None and len({side.zone == fault.zone for side in sides}) == 1:
            return False
        if fault.numbers and sides[0].number not in fault.numbers:
            return False
        return random.Random(f"{self.seed}/{index}/{near}/{far}").random() < fault.part

    def update_link_state(self, link: str, near: str, far: str) -> None:
        """Set the state of a link by the faults that are active now."""
        state = self.states[link, near, far]
        state.clear()
        for index, fault in self.active_link_faults:
            if fault.link == link and self.hits_link(index, fault, near, far):
                state.apply(fault.kind, fault.way, fault.size)
        state.notify()

    def update_link_states(self, link: str) -> None:
        for key in [key for key in self.states if key[0] == link]:
            self.update_link_state(*key)

    def relay(self, link: str, near: str, far: str, target: Address, kind: type[Relay] = Relay) -> Relay:
        """Return the relay from one member to another, with its target set; it is created on first use."""
        relay = self.relays.get((link, near, far))
        if relay is None:
            make_filter = (
                (lambda: EndpointListRewriter(near, lambda name, at: self.address_of(near, name, at)))
                if link in ("doors-list", "doors-follower")
                else None
            )
            relay = self.relays[link, near, far] = kind(
                link, (near, far), self.link_state(link, near, far), target, self.writer, make_filter
            )
        relay.target = target
        return relay

    def address_of(self, door: str, server: str, listen_address: str) -> str:
        """Return the address at which a gateway reaches a scan server, for its endpoint list."""
        if server not in self.members:
            return listen_address
        host, _, port = listen_address.rpartition(":")
        relay = self.relay("doors-servers", door, server, (host, int(port)), Requests)
        if not self.members[server].running:
            relay.refuse()
        return format_address(relay.address)

    def set_reachable(self, member: Member, is_reachable: bool) -> None:
        """Accept connections to a member, or refuse them while it is down."""
        for (_, _, far), relay in self.relays.items():
            if far == member.name:
                relay.open() if is_reachable else relay.refuse()

    # --- starts ---

    def listen_argument(self, member: Member) -> str:
        """Return the address at which a service listens: any free port at first, then the same one again."""
        if member.process:
            return format_address(member.process.address)
        return format_address((f"{self.prefix}.{SERVICE_OCTETS[member.kind] + member.number}", 0))

    async def start_list(self, member: Member) -> Process:
        arguments = (
            "-m",
            "thistletrail.registry",
            "--data",
            str(member.state),
            "--listen",
            self.listen_argument(member),
        )
        if member.process is None:  # first start: gateways start once the scan servers have registered
            arguments = (*arguments, "--fill", "0")
        process, _ = await start_program(arguments, member.folder / "log")
        return process

    async def start_follower(self, member: Member) -> Process:
        relay = self.relay("follower-list", member.name, "list-0", self.members["list-0"].process.address)
        arguments = (
            "-m",
            "thistletrail.registry",
            "--follow",
            format_address(relay.address),
            "--listen",
            self.listen_argument(member),
        )
        process, _ = await start_program(arguments, member.folder / "log")
        return process

    async def start_steward(self, member: Member) -> Process:
        """Start a lease service; the first one writes the configuration, and serves before this returns.

        Among several, any one may become the leader later.
        """
        folder = self.members["steward-0"].folder
        config, secret = folder / "budgets.toml", folder / "secret"
        if not config.exists():
            plans = zip(self.plan.fleet.plans, self.world.plans, strict=True)
            config.write_text(
                tomli_w.dumps(
                    {
                        "doors": self.plan.fleet.doors,
                        "lease_ms": LEASE_MS,
                        "budgets": [
                            *(
                                {"name": f"{kind}/{plan.name}/*", "rate": rate, "burst": int(burst)}
                                for plan, figures in plans
                                for kind, rate, burst in (
                                    ("ceiling", *figures.ceiling[:2]),
                                    ("quota", figures.rate, figures.burst),
                                )
                                if rate and burst >= 1 and (kind == "ceiling" or self.plan.quotas)
                            ),
                            *(
                                {"name": RETRY_BUDGET_NAME, "rate": rate, "burst": int(burst)}
                                for rate, burst in [self.plan.further or (0, 0)]
                                if rate
                            ),
                        ],
                    }
                )
            )
            secret.write_text(f"{random.Random(self.seed).getrandbits(256):064x}")
            begin_history(member.state, read_config(config))
        arguments = (
            "-m",
            "thistletrail.leasing",
            "serve",
            "--data",
            str(member.state),
            "--config",
            str(config),
            "--secret",
            str(secret),
            "--listen",
        )
        if self.plan.stewards == 1:
            process, _ = await start_program(
                (*arguments, self.listen_argument(member)), member.folder / "log"
            )
            return process
        if member.process is None:
            host = self.listen_argument(member).rpartition(":")[0]
            member.listen_address = host, free_port(host=host)
        arguments = (*arguments, format_address(member.listen_address), "--standby")
        if member.process is None and member.number == 0:
            process, _ = await start_program(arguments, member.folder / "log")
        else:
            process = await start_without_waiting(arguments, member.folder / "log", member.listen_address)
        return process

    def lease_service_settings(self, door: str) -> dict[str, Any]:
        """Return the part of a gateway's configuration with the addresses of the lease services.

        The addresses are those of the relays; the first one goes round by the gateway's number.
        """
        if not self.plan.needs_lease_service:
            return {}
        lease_services = self.members_of("steward")
        relays = [
            format_address(
                self.relay("doors-steward", door, service.name, service.process.address, Renewals).address
            )
            for service in lease_services
        ]
        first = self.members[door].number % len(relays)
        connection = {
            "addresses": ",".join(relays[first:] + relays[:first]),
            "secret_file": str(lease_services[0].folder / "secret"),
        }
        leased = {**connection, "lease_ms": LEASE_MS, "quotas": self.plan.quotas}
        has_lease_keys = self.tree.has_lease_keys
        budget_key = "budget_leases" if has_lease_keys else "steward"
        work_key = "work_leases" if has_lease_keys else "takeover"
        config: dict[str, Any] = {budget_key: leased} if self.plan.steward else {}
        if self.plan.further:
            rate, burst = self.plan.further
            config[budget_key]["further_attempts"] = {"rate": rate, "burst": int(burst)}
        if self.plan.takeover:
            config[work_key] = {**connection, "classes": list(self.plan.takeover)}
        return config

    async def start_helper_program(self, member: Member, module: str, **values: Any) -> Process:  # noqa: ANN401
        """Start one of the programs of fault injection itself, with its configuration in `told.json`."""
        config = ProcessConfig(
            plan=self.plan,
            seed=self.seed,
            number=member.number,
            name=member.name,
            history=str(self.folder / "history" / f"{member.name}.jsonl"),
            cold=member.cold,
            clock_s=member.clock_s,
            **values,
        )
        path = member.folder / "told.json"
        path.write_bytes(msgspec.json.encode(config))
        process, _ = await start_program(
            ("-m", module, str(path)), member.folder / "log", stdin=asyncio.subprocess.PIPE
        )
        return process

    async def start_scan(self, member: Member) -> Process:
        relay = self.relay("servers-list", member.name, "list-0", self.members["list-0"].process.address)
        return await self.start_helper_program(
            member, "thistletrail.fault_injection.scan", service=format_address(relay.address)
        )

    async def start_clients(self, member: Member) -> Process:
        doors = tuple(
            format_address(self.relay("clients-doors", member.name, door.name, door.process.address).address)
            for door in self.members_of("doors")
        )
        return await self.start_helper_program(member, "thistletrail.fault_injection.clients", doors=doors)

    async def start_gateway(self, member: Member) -> Process:
        number = member.number
        sources = [("list-0", "doors-list")]
        if self.plan.follower:  # every other gateway asks the follower first
            sources.insert(1 - number % 2, ("follower-0", "doors-follower"))
        if not self.tree.accepts_address_list:
            del sources[1:]
        relays = [
            self.relay(link, member.name, source, self.members[source].process.address)
            for source, link in sources
        ]
        config = {
            "name": member.name,
            "listen": format_address(self.listen_addresses[number]),
            "discovery": ",".join(format_address(relay.address) for relay in relays),
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "peer_listen": format_address(self.peer_listen_addresses[number]),
            "known": {},
            "peers": [format_address(address) for address in self.peers.addresses_for(number)],
            "settings": self.world.settings(number),
            "clock_offset_ms": round(member.clock_s * 1000),
            **({"state_dir": str(member.state)} if self.plan.state else {}),
            **self.lease_service_settings(member.name),
            **self.more,
        }
        process = await start_gateway_process(self.tree, config, member.folder)
        try:
            await process.wait_until_ready()
        except BaseException:
            process.kill()
            await process.process.wait()
            raise
        return process

    async def start(self, member: Member) -> None:
        """Start or restart a member, and wait until it serves."""
        try:
            process = await member.start_process(member)
        except BenchmarkError as error:
            raise FaultInjectionError(f"{member.name}: {error}") from error
        member.process, member.is_end_expected = process, False
        self.writer.note("started", who=member.name, cold=member.cold)
        if member.kind == "doors":
            self.writer.note("pong", door=member.number)
        self.set_reachable(member, True)
        member.watch_task = self.loop.create_task(self.watch(member, process))

    async def watch(self, member: Member, process: Process) -> None:
        """Record the end of a process, and whether it was expected."""
        code = await process.process.wait()
        if member.process is process:
            self.set_reachable(member, False)
            self.writer.note("died", who=member.name, meant=member.is_end_expected, code=code)
            if not member.is_end_expected:
                self.crashed.append(f"{member.name} has ended by itself ({code}): {process.last_line()}")

    async def start_all(self) -> None:
        """Start all members, in the order in which they need each other; the load begins later."""
        async with asyncio.timeout(START_TIMEOUT_S + 0.5 * len(self.members)):
            await self.peers.start()
            await self.start(self.members["list-0"])
            if self.plan.follower:
                await self.start(self.members["follower-0"])
            if self.plan.needs_lease_service:
                await self.start(self.members["steward-0"])
            await self.start_concurrently([*self.members_of("steward")[1:], *self.members_of("servers")])
            await self.start_concurrently(self.members_of("doors"))
            await self.start_concurrently(self.members_of("clients"))

    async def start_concurrently(self, members: list[Member]) -> None:
        """Start several members at once; the first failure cancels the others."""
        async with asyncio.TaskGroup() as group:
            for member in members:
                group.create_task(self.start(member))

    # --- ends ---

    def kill(self, member: Member) -> None:
        member.is_end_expected = True
        self.set_reachable(member, False)
        member.process.kill()

    async def end(self) -> None:
        """Send SIGTERM to all running processes, and wait for their ends; `close` kills those that remain."""
        running = [member for member in self.members.values() if member.running]
        for member in running:
            member.is_end_expected = True
            member.send_signal(signal.SIGCONT)
            member.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_TIMEOUT_S):
                for member in running:
                    await member.process.process.wait()

    async def close(self) -> None:
        """Kill all processes and close all sockets."""
        for member in self.members.values():
            member.is_end_expected = True
            if member.process is not None:
                member.process.kill()
        for member in self.members.values():
            if member.process is not None:
                await member.process.process.wait()
            if member.watch_task is not None:
                await member.watch_task
        for relay in self.relays.values():
            relay.close()
        self.peers.record_counts()
        self.peers.close()
        self.writer.close()
