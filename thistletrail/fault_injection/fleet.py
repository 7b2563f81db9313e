"""The processes of a run and the relays between them: started, killed, paused, started again, all ended."""

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

from thistletrail.benchmarks.errors import BenchError
from thistletrail.benchmarks.process import Process, Tree, free_port, start_door, start_program, start_quiet
from thistletrail.benchmarks.standins import text
from thistletrail.fault_injection.endpoint_list_rewriter import EndpointListRewriter
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.history import Writer
from thistletrail.fault_injection.leases import Renewals
from thistletrail.fault_injection.plan import Fault, Plan
from thistletrail.fault_injection.program import Told
from thistletrail.fault_injection.relay import Address, Peers, Relay, Requests, State
from thistletrail.fault_injection.world import MEMORY_MB, SOCKETS, World
from thistletrail.gateway.budget_lease_client import RETRY_BUDGET_NAME
from thistletrail.gateway.snapshot_file import decode_snapshot, encode_snapshot
from thistletrail.leasing.config import read_config
from thistletrail.leasing.journal import begin_history
from thistletrail.simulation.clock import Clock

GATHER_S = 30.0  # for all processes to serve: dozens start at once on few cores
END_S = 6.0  # for a process to end after SIGTERM: a door's drain takes up to 3.5 s
LEASE_MS = 3000  # of the steward's
SERVICES = {"list": 251, "follower": 252, "steward": 253}  # the last part of their addresses
STALE_MS = 3_600_000  # how old a stale snapshot is made


def aged(data: bytes, by_ms: int) -> bytes:
    """A door's snapshot as if it had been made so much earlier."""
    snapshot = decode_snapshot(data)
    return encode_snapshot(replace(snapshot, written_at_ms=snapshot.written_at_ms - by_ms))


class Member:
    """One process of the fleet, running or not."""

    def __init__(
        self, kind: str, number: int, zone: int, folder: Path, start: Callable[[Member], Awaitable[Process]]
    ) -> None:
        self.kind, self.number, self.zone, self.folder, self.begin = kind, number, zone, folder, start
        self.name = f"{kind}-{number}"
        self.process: Process | None = None
        self.place: Address = ("", 0)  # where a steward listens, which is told before it does
        self.meant = False  # to end, or to be down
        self.cold = False
        self.clock_s = 0.0
        self.watching: asyncio.Task[None] | None = None
        self.ending = asyncio.Lock()  # held by a fault that ends it, until it serves again
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def state(self) -> Path:
        """The folder of what it stores; stewards have one together."""
        own = self.folder if self.kind != "steward" else self.folder.with_name("steward-0")
        return own / "state"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.process.returncode is None

    def send(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.process.send_signal(number)

    def order(self, **values: object) -> None:
        """A line on its standard input."""
        if self.running:
            self.process.process.stdin.write(msgspec.json.encode(values) + b"\n")

    def fill_disk(self, full: bool) -> None:
        """Let it write to no file, or again: the bound on a file's size stands for a disk that is full."""
        with contextlib.suppress(ProcessLookupError):
            _, most = resource.prlimit(self.process.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.process.pid, resource.RLIMIT_FSIZE, (0 if full else most, most))

    def lose_state(self, how: str) -> None:
        """What is stored, while it is down: kept as it is, gone, from its older copy, older, or damaged."""
        if how == "none":
            shutil.rmtree(self.state, ignore_errors=True)
        elif how == "old":
            shutil.rmtree(self.state, ignore_errors=True)
            if self.copy.exists():
                shutil.copytree(self.copy, self.state)
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
    def copy(self) -> Path:
        return self.folder / "copy"

    def copy_state(self) -> None:
        """Keep what is stored now, for a later fault."""
        shutil.rmtree(self.copy, ignore_errors=True)
        if self.state.exists():
            shutil.copytree(self.state, self.copy, ignore_dangling_symlinks=True)


class Fleet:
    """All members, the relays and the state of each link."""

    def __init__(self, plan: Plan, seed: int, tree: Tree, folder: Path, more: dict[str, Any]) -> None:
        """`more` is added to each door's configuration."""
        self.plan, self.seed, self.tree, self.folder, self.more = plan, seed, tree, folder, more
        self.loop = asyncio.get_running_loop()
        (folder / "history").mkdir(parents=True, exist_ok=True)
        self.writer = Writer(folder / "history" / "fault_injection.jsonl")
        self.world = World(plan.fleet, seed, Clock())
        self.members: dict[str, Member] = {}
        self.relays: dict[tuple[str, str, str], Relay] = {}
        self.states: dict[tuple[str, str, str], State] = {}
        self.active: list[tuple[int, Fault]] = []  # faults on links that hold now
        self.random = random.Random(f"{seed}/doors")
        self.crashed: list[str] = []
        self.fresh_servers = 0
        net, own = plan.fleet.net, os.getpid()
        # Who starts again at its address has one of its own: else another's connection could take its port.
        self.prefix = f"127.{64 + (own >> 8) % 128}.{own % 256}"
        hosts = [f"{self.prefix}.{n + 1}" for n in range(plan.fleet.doors)]
        self.listens = [(host, free_port(host=host)) for host in hosts]
        self.peer_listens = [(host, free_port(socket.SOCK_DGRAM, host)) for host in hosts]
        self.peers = Peers(self.peer_listens, self.peer_state, self.writer)
        self.add("list", 0, 0, self.start_list)
        if plan.follower:
            self.add("follower", 0, 0, self.start_follower)
        if plan.needs_lease_service:
            for number in range(plan.stewards):
                self.add("steward", number, 0, self.start_steward)
        for number in range(plan.fleet.servers.count):
            self.add("servers", number, number % net.zones, self.start_scan)
        for number in range(plan.fleet.doors):
            self.add("doors", number, number % net.zones, self.start_front_door)
        for number in range(plan.clients):
            self.add("clients", number, -1, self.start_clients)

    def add(self, kind: str, number: int, zone: int, start: Callable[[Member], Awaitable[Process]]) -> Member:
        member = Member(kind, number, zone, self.folder / f"{kind}-{number}", start)
        self.members[member.name] = member
        return member

    def of(self, kind: str) -> list[Member]:
        return [member for member in self.members.values() if member.kind == kind]

    # --- links ---

    def state(self, link: str, near: str, far: str) -> State:
        """That of the link between two members, by name."""
        found = self.states.get((link, near, far))
        if found is None:
            found = self.states[link, near, far] = State(random.Random(f"{self.seed}/{link}/{near}/{far}"))
            self.refresh(link, near, far)
        return found

    def peer_state(self, one: int, other: int) -> State:
        return self.state("doors-doors", f"doors-{one}", f"doors-{other}")

    def strikes(self, index: int, fault: Fault, near: str, far: str) -> bool:
        """Whether a fault on links strikes this one: by chance of its own, so that order changes nothing."""
        sides = [self.members[near], self.members[far]]
        if fault.zone is not None and len({side.zone == fault.zone for side in sides}) == 1:
            return False
        if fault.numbers and sides[0].number not in fault.numbers:
            return False
        return random.Random(f"{self.seed}/{index}/{near}/{far}").random() < fault.part

    def refresh(self, link: str, near: str, far: str) -> None:
        """Set a link's state by the faults that hold now."""
        state = self.states[link, near, far]
        state.clear()
        for index, fault in self.active:
            if fault.link == link and self.strikes(index, fault, near, far):
                state.apply(fault.kind, fault.way, fault.size)
        state.wake()

    def refresh_all(self, link: str) -> None:
        for key in [key for key in self.states if key[0] == link]:
            self.refresh(*key)

    def relay(self, link: str, near: str, far: str, target: Address, kind: type[Relay] = Relay) -> Relay:
        """The relay from one member to another; made when first asked for."""
        found = self.relays.get((link, near, far))
        if found is None:
            make = (
                (lambda: EndpointListRewriter(near, lambda name, at: self.address_of(near, name, at)))
                if link in ("doors-list", "doors-follower")
                else None
            )
            found = self.relays[link, near, far] = kind(
                link, (near, far), self.state(link, near, far), target, self.writer, make
            )
        found.target = target
        return found

    def address_of(self, door: str, server: str, listens: str) -> str:
        """Where a door reaches a scan server: what the list tells it."""
        if server not in self.members:
            return listens
        host, _, port = listens.rpartition(":")
        relay = self.relay("doors-servers", door, server, (host, int(port)), Requests)
        if not self.members[server].running:
            relay.refuse()
        return text(relay.address)

    def open_relays(self, member: Member, is_there: bool) -> None:
        """It is there, or connecting to it is refused."""
        for (_, _, far), relay in self.relays.items():
            if far == member.name:
                relay.open() if is_there else relay.refuse()

    # --- starts ---

    def listen(self, member: Member) -> str:
        """Where a service listens: at a port that the system chose, the same one each time."""
        if member.process:
            return text(member.process.address)
        return text((f"{self.prefix}.{SERVICES[member.kind] + member.number}", 0))

    async def start_list(self, member: Member) -> Process:
        words = ("-m", "thistletrail.registry", "--data", str(member.state), "--listen", self.listen(member))
        if member.process is None:  # a first start: doors come once scan servers have registered
            words = (*words, "--fill", "0")
        process, _ = await start_program(words, member.folder / "log")
        return process

    async def start_follower(self, member: Member) -> Process:
        relay = self.relay("follower-list", member.name, "list-0", self.members["list-0"].process.address)
        words = (
            "-m",
            "thistletrail.registry",
            "--follow",
            text(relay.address),
            "--listen",
            self.listen(member),
        )
        process, _ = await start_program(words, member.folder / "log")
        return process

    async def start_steward(self, member: Member) -> Process:
        """The first one is waited for; where there are others, nobody knows who will have the office."""
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
        words = (
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
            process, _ = await start_program((*words, self.listen(member)), member.folder / "log")
            return process
        if member.process is None:
            host = self.listen(member).rpartition(":")[0]
            member.place = host, free_port(host=host)
        words = (*words, text(member.place), "--standby")
        if member.process is None and member.number == 0:
            process, _ = await start_program(words, member.folder / "log")
        else:
            process = await start_quiet(words, member.folder / "log", member.place)
        return process

    def steward_of(self, door: str) -> dict[str, Any]:
        """What a door is told of the stewards, at the relays to them; each door begins at another one."""
        if not self.plan.needs_lease_service:
            return {}
        found = self.of("steward")
        relays = [
            text(self.relay("doors-steward", door, one.name, one.process.address, Renewals).address)
            for one in found
        ]
        at = self.members[door].number % len(relays)
        told = {
            "addresses": ",".join(relays[at:] + relays[:at]),
            "secret_file": str(found[0].folder / "secret"),
        }
        leased = {**told, "lease_ms": LEASE_MS, "quotas": self.plan.quotas}
        has_lease_keys = self.tree.has_lease_keys
        budget_key = "budget_leases" if has_lease_keys else "steward"
        work_key = "work_leases" if has_lease_keys else "takeover"
        config: dict[str, Any] = {budget_key: leased} if self.plan.steward else {}
        if self.plan.further:
            rate, burst = self.plan.further
            config[budget_key]["further_attempts"] = {"rate": rate, "burst": int(burst)}
        if self.plan.takeover:
            config[work_key] = {**told, "classes": list(self.plan.takeover)}
        return config

    async def start_own(self, member: Member, module: str, **values: Any) -> Process:  # noqa: ANN401
        """One of fault injection's own programs."""
        told = Told(
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
        path.write_bytes(msgspec.json.encode(told))
        process, _ = await start_program(
            ("-m", module, str(path)), member.folder / "log", stdin=asyncio.subprocess.PIPE
        )
        return process

    async def start_scan(self, member: Member) -> Process:
        relay = self.relay("servers-list", member.name, "list-0", self.members["list-0"].process.address)
        return await self.start_own(member, "thistletrail.fault_injection.scan", service=text(relay.address))

    async def start_clients(self, member: Member) -> Process:
        doors = tuple(
            text(self.relay("clients-doors", member.name, door.name, door.process.address).address)
            for door in self.of("doors")
        )
        return await self.start_own(member, "thistletrail.fault_injection.clients", doors=doors)

    async def start_front_door(self, member: Member) -> Process:
        number = member.number
        sources = [("list-0", "doors-list")]
        if self.plan.follower:  # every other door asks it first
            sources.insert(1 - number % 2, ("follower-0", "doors-follower"))
        if not self.tree.many_lists:
            del sources[1:]
        relays = [
            self.relay(link, member.name, source, self.members[source].process.address)
            for source, link in sources
        ]
        config = {
            "name": member.name,
            "listen": text(self.listens[number]),
            "discovery": ",".join(text(relay.address) for relay in relays),
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "peer_listen": text(self.peer_listens[number]),
            "known": {},
            "peers": [text(address) for address in self.peers.seen_by(number)],
            "settings": self.world.settings(number),
            "clock_offset_ms": round(member.clock_s * 1000),
            **({"state_dir": str(member.state)} if self.plan.state else {}),
            **self.steward_of(member.name),
            **self.more,
        }
        process = await start_door(self.tree, config, member.folder)
        try:
            await process.ready()
        except BaseException:
            process.kill()
            await process.process.wait()
            raise
        return process

    async def start(self, member: Member) -> None:
        """Start a member, again too, and wait until it serves."""
        try:
            process = await member.begin(member)
        except BenchError as error:
            raise FaultInjectionError(f"{member.name}: {error}") from error
        member.process, member.meant = process, False
        self.writer.note("started", who=member.name, cold=member.cold)
        if member.kind == "doors":
            self.writer.note("pong", door=member.number)
        self.open_relays(member, True)
        member.watching = self.loop.create_task(self.watch(member, process))

    async def watch(self, member: Member, process: Process) -> None:
        """Note its end, and whether anybody meant it."""
        code = await process.process.wait()
        if member.process is process:
            self.open_relays(member, False)
            self.writer.note("died", who=member.name, meant=member.meant, code=code)
            if not member.meant:
                self.crashed.append(f"{member.name} has ended by itself ({code}): {process.last_line()}")

    async def start_all(self) -> None:
        """Everything but the clients' load."""
        async with asyncio.timeout(GATHER_S + 0.5 * len(self.members)):
            await self.peers.start()
            await self.start(self.members["list-0"])
            if self.plan.follower:
                await self.start(self.members["follower-0"])
            if self.plan.needs_lease_service:
                await self.start(self.members["steward-0"])
            await self.together([*self.of("steward")[1:], *self.of("servers")])
            await self.together(self.of("doors"))
            await self.together(self.of("clients"))

    async def together(self, members: list[Member]) -> None:
        """Start several at once; the first that fails ends it."""
        async with asyncio.TaskGroup() as group:
            for member in members:
                group.create_task(self.start(member))

    # --- ends ---

    def kill(self, member: Member) -> None:
        member.meant = True
        self.open_relays(member, False)
        member.process.kill()

    async def end(self) -> None:
        """SIGTERM to all that runs, and SIGKILL to what is left."""
        running = [member for member in self.members.values() if member.running]
        for member in running:
            member.meant = True
            member.send(signal.SIGCONT)
            member.send(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                for member in running:
                    await member.process.process.wait()

    async def close(self) -> None:
        """Leave no process and no socket, whatever has happened."""
        for member in self.members.values():
            member.meant = True
            if member.process is not None:
                member.process.kill()
        for member in self.members.values():
            if member.process is not None:
                await member.process.process.wait()
            if member.watching is not None:
                await member.watching
        for relay in self.relays.values():
            relay.close()
        self.peers.tell()
        self.peers.close()
        self.writer.close()
