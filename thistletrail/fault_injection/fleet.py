"""The processes of a run and the relays between them.

Starts, restarts and terminates the processes, and sets the faults of the links between them.
"""

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
from thistletrail.fault_injection.leases import RenewalRelay
from thistletrail.fault_injection.plan import Fault, Plan
from thistletrail.fault_injection.program import ProcessConfig
from thistletrail.fault_injection.relay import Address, LinkState, PeerRelays, Relay, RequestRelay
from thistletrail.fault_injection.simulation_context import MEMORY_LIMIT_MB, SOCKET_LIMIT, SimulationContext
from thistletrail.gateway.budget_lease_client import RETRY_BUDGET_NAME
from thistletrail.gateway.snapshot_file import decode_snapshot, encode_snapshot
from thistletrail.leasing.config import read_config
from thistletrail.leasing.journal import begin_history
from thistletrail.simulation.clock import Clock

START_TIMEOUT_S = 30.0  # until all processes serve: many start at once, on few cores
EXIT_TIMEOUT_S = 6.0  # from SIGTERM to SIGKILL: the drain of a gateway takes up to 3.5 s
LEASE_MS = 3000  # duration of the leases that the lease service grants
# Last octet of the loopback address of the first process of each kind. Gateways use the octets from 1 on.
SERVICE_OCTETS = {"list": 251, "follower": 252, "steward": 253}
STALE_MS = 3_600_000  # added to the age of a stale snapshot


def with_earlier_timestamp(data: bytes, by_ms: int) -> bytes:
    """Return an encoded snapshot of a gateway with a timestamp that is earlier by `by_ms`."""
    snapshot = decode_snapshot(data)
    return encode_snapshot(replace(snapshot, written_at_ms=snapshot.written_at_ms - by_ms))


class Member:
    """A process of the fleet, which may be down at the moment."""

    def __init__(
        self, kind: str, number: int, zone: int, folder: Path, start: Callable[[Member], Awaitable[Process]]
    ) -> None:
        self.kind, self.number, self.zone, self.folder, self.start_process = kind, number, zone, folder, start
        self.name = f"{kind}-{number}"
        self.process: Process | None = None
        # Only of a lease service that is one of several; set before its start.
        self.listen_address: Address = ("", 0)
        self.is_exit_expected = False  # the run has terminated the process, or is about to
        self.is_cold = False  # starts as on a new machine: a scan server then has to warm up
        self.clock_offset_s = 0.0
        self.exit_task: asyncio.Task[None] | None = None  # runs `Fleet.record_exit`
        # Locked from a kill or SIGTERM by a fault until the member serves again.
        self.restart_lock = asyncio.Lock()
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def state_folder(self) -> Path:
        """The folder of the process's stored state; all lease services share one."""
        folder = self.folder if self.kind != "steward" else self.folder.with_name("steward-0")
        return folder / "state"

    @property
    def is_running(self) -> bool:
        """Whether the process has started and not exited."""
        return self.process is not None and self.process.process.returncode is None

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process, unless it has exited."""
        with contextlib.suppress(ProcessLookupError):
            self.process.process.send_signal(signal_number)

    def send_order(self, **values: object) -> None:
        """Write an order as a JSON line to the standard input of the process, if it is running."""
        if self.is_running:
            self.process.process.stdin.write(msgspec.json.encode(values) + b"\n")

    def set_disk_full(self, is_full: bool) -> None:
        """Make all writes to files fail, or succeed again, by the process's limit on the size of files."""
        with contextlib.suppress(ProcessLookupError):
            _, hard_limit = resource.prlimit(self.process.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(
                self.process.process.pid, resource.RLIMIT_FSIZE, (0 if is_full else hard_limit, hard_limit)
            )

    def apply_state_fault(self, state_fault: str) -> None:
        """Change the stored state while the process is down; `state_fault` is a value of `Fault.state`."""
        if state_fault == "none":
            shutil.rmtree(self.state_folder, ignore_errors=True)
        elif state_fault == "old":
            shutil.rmtree(self.state_folder, ignore_errors=True)
            if self.state_copy_folder.exists():
                shutil.copytree(self.state_copy_folder, self.state_folder)
        elif state_fault == "stale" and (self.state_folder / "door").exists():
            path = self.state_folder / "door"
            path.write_bytes(with_earlier_timestamp(path.read_bytes(), STALE_MS))
        elif state_fault == "damaged":
            for path in sorted(path for path in self.state_folder.rglob("*") if path.is_file()):
                data = bytearray(path.read_bytes())
                if data:
                    data[len(data) // 2] ^= 0xFF
                    path.write_bytes(data)

    @property
    def state_copy_folder(self) -> Path:
        """The folder of the copy that `copy_state` makes."""
        return self.folder / "copy"

    def copy_state(self) -> None:
        """Copy the stored state, for a later fault with an old state."""
        shutil.rmtree(self.state_copy_folder, ignore_errors=True)
        if self.state_folder.exists():
            shutil.copytree(self.state_folder, self.state_copy_folder, ignore_dangling_symlinks=True)


class Fleet:
    """All processes of a run, the relays between them, and the state of each link."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        tree: GatewaySourceTree,
        folder: Path,
        extra_gateway_config: dict[str, Any],
    ) -> None:
        """`extra_gateway_config` is added to the configuration of each gateway."""
        self.plan, self.seed, self.tree, self.folder, self.extra_gateway_config = (
            plan,
            seed,
            tree,
            folder,
            extra_gateway_config,
        )
        self.loop = asyncio.get_running_loop()
        (folder / "history").mkdir(parents=True, exist_ok=True)
        self.writer = Writer(folder / "history" / "fault_injection.jsonl")
        self.context = SimulationContext(plan.fleet, seed, Clock())
        self.members: dict[str, Member] = {}
        self.relays: dict[tuple[str, str, str], Relay] = {}
        self.link_states: dict[tuple[str, str, str], LinkState] = {}
        self.active_link_faults: list[tuple[int, Fault]] = []
        self.gateway_seed_rng = random.Random(f"{seed}/doors")
        self.unexpected_exits: list[str] = []  # one message each
        self.added_server_count = 0
        net, pid = plan.fleet.net, os.getpid()
        # Each process that restarts at its address has an IP address of its own: on a shared one, another
        # process's connection could take its port. The prefix depends on the process id, so that concurrent
        # runs use different addresses.
        self.address_prefix = f"127.{64 + (pid >> 8) % 128}.{pid % 256}"
        hosts = [f"{self.address_prefix}.{number + 1}" for number in range(plan.fleet.doors)]
        self.listen_addresses = [(host, free_port(host=host)) for host in hosts]
        self.peer_listen_addresses = [(host, free_port(socket.SOCK_DGRAM, host)) for host in hosts]
        self.peers = PeerRelays(self.peer_listen_addresses, self.peer_link_state, self.writer)
        self.add_member("list", 0, 0, self.start_registry)
        if plan.follower:
            self.add_member("follower", 0, 0, self.start_registry_follower)
        if plan.needs_lease_service:
            for number in range(plan.stewards):
                self.add_member("steward", number, 0, self.start_lease_service)
        for number in range(plan.fleet.servers.count):
            self.add_member("servers", number, number % net.zones, self.start_stub_scan_server)
        for number in range(plan.fleet.doors):
            self.add_member("doors", number, number % net.zones, self.start_gateway)
        for number in range(plan.clients):
            self.add_member("clients", number, -1, self.start_load_generator)

    def add_member(
        self, kind: str, number: int, zone: int, start: Callable[[Member], Awaitable[Process]]
    ) -> Member:
        """Add a process that is not started yet; `kind` is one of `plan.ProcessKind`."""
        member = Member(kind, number, zone, self.folder / f"{kind}-{number}", start)
        self.members[member.name] = member
        return member

    def members_of(self, kind: str) -> list[Member]:
        """Return the members of a kind, in order of their numbers."""
        return [member for member in self.members.values() if member.kind == kind]

    # --- links ---

    def link_state(self, link: str, source: str, destination: str) -> LinkState:
        """Return the state of the link between two members, by their names; it is created on first use.

        `source` is the connecting one.
        """
        state = self.link_states.get((link, source, destination))
        if state is None:
            state = self.link_states[link, source, destination] = LinkState(
                random.Random(f"{self.seed}/{link}/{source}/{destination}")
            )
            self.update_link_state(link, source, destination)
        return state

    def peer_link_state(self, lower: int, higher: int) -> LinkState:
        """Return the state of the link between two gateways, by their numbers, the lower one first."""
        return self.link_state("doors-doors", f"doors-{lower}", f"doors-{higher}")

    def affects_link(self, index: int, fault: Fault, source: str, destination: str) -> bool:
        """Return whether a fault on links applies to this one.

        Each pair of a fault and a link has a random generator of its own, so that the order of the calls
        does not matter.
        """
        members = [self.members[source], self.members[destination]]
        # A fault of a zone applies to the links that cross its border: one member is inside, one outside.
        if fault.zone is not None and len({member.zone == fault.zone for member in members}) == 1:
            return False
        if fault.numbers and members[0].number not in fault.numbers:
            return False
        return random.Random(f"{self.seed}/{index}/{source}/{destination}").random() < fault.part

    def update_link_state(self, link: str, source: str, destination: str) -> None:
        """Replace the faults of a link by those that are active now and apply to it."""
        state = self.link_states[link, source, destination]
        state.clear()
        for index, fault in self.active_link_faults:
            if fault.link == link and self.affects_link(index, fault, source, destination):
                state.apply(fault.kind, fault.way, fault.size)
        state.notify()

    def update_link_states(self, link: str) -> None:
        """Call `update_link_state` for all links of a kind."""
        for key in [key for key in self.link_states if key[0] == link]:
            self.update_link_state(*key)

    def relay(
        self, link: str, source: str, destination: str, target: Address, relay_class: type[Relay] = Relay
    ) -> Relay:
        """Return the relay from one member to another, with its target set; it is created on first use."""
        relay = self.relays.get((link, source, destination))
        if relay is None:
            make_filter = (
                (
                    lambda: EndpointListRewriter(
                        source, lambda name, address: self.address_of(source, name, address)
                    )
                )
                if link in ("doors-list", "doors-follower")
                else None
            )
            relay = self.relays[link, source, destination] = relay_class(
                link,
                (source, destination),
                self.link_state(link, source, destination),
                target,
                self.writer,
                make_filter,
            )
        relay.target = target
        return relay

    def address_of(self, gateway: str, server: str, listen_address: str) -> str:
        """Return the address at which a gateway reaches a scan server, for its endpoint list.

        It is that of a relay, or `listen_address` if the server is not a member of the fleet.
        """
        if server not in self.members:
            return listen_address
        host, _, port = listen_address.rpartition(":")
        relay = self.relay("doors-servers", gateway, server, (host, int(port)), RequestRelay)
        if not self.members[server].is_running:
            relay.refuse()
        return format_address(relay.address)

    def set_reachable(self, member: Member, is_reachable: bool) -> None:
        """Make all relays to a member accept connections, or refuse them."""
        for (_, _, destination), relay in self.relays.items():
            if destination == member.name:
                relay.open() if is_reachable else relay.refuse()

    # --- starts ---

    def listen_argument(self, member: Member) -> str:
        """Return the `--listen` argument of a service: any port at first, the same one after restarts."""
        if member.process:
            return format_address(member.process.address)
        return format_address((f"{self.address_prefix}.{SERVICE_OCTETS[member.kind] + member.number}", 0))

    async def start_registry(self, member: Member) -> Process:
        """Start the registry with its stored state."""
        arguments = (
            "-m",
            "thistletrail.registry",
            "--data",
            str(member.state_folder),
            "--listen",
            self.listen_argument(member),
        )
        # At the first start no time for registrations is needed: scan servers register before gateways start.
        if member.process is None:
            arguments = (*arguments, "--fill", "0")
        process, _ = await start_program(arguments, member.folder / "log")
        return process

    async def start_registry_follower(self, member: Member) -> Process:
        """Start the follower of the registry, which reads it through a relay."""
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

    async def start_lease_service(self, member: Member) -> Process:
        """Start a lease service; before the first start, write the configuration and the secret.

        At its first start, the first lease service serves before this returns. If the plan has several, the
        others are standbys, and each may become the leader later.
        """
        folder = self.members["steward-0"].folder
        config, secret = folder / "budgets.toml", folder / "secret"
        if not config.exists():
            plans = zip(self.plan.fleet.plans, self.context.plans, strict=True)
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
            begin_history(member.state_folder, read_config(config))
        arguments = (
            "-m",
            "thistletrail.leasing",
            "serve",
            "--data",
            str(member.state_folder),
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

    def lease_service_settings(self, gateway: str) -> dict[str, Any]:
        """Return the keys of a gateway's configuration for budget leases and work leases.

        The addresses of the lease services are those of the relays. Their order is rotated by the gateway's
        number, so that not all gateways begin with the same one.
        """
        if not self.plan.needs_lease_service:
            return {}
        lease_services = self.members_of("steward")
        relays = [
            format_address(
                self.relay(
                    "doors-steward", gateway, service.name, service.process.address, RenewalRelay
                ).address
            )
            for service in lease_services
        ]
        first = self.members[gateway].number % len(relays)
        connection = {
            "addresses": ",".join(relays[first:] + relays[:first]),
            "secret_file": str(lease_services[0].folder / "secret"),
        }
        budget_lease_settings = {**connection, "lease_ms": LEASE_MS, "quotas": self.plan.quotas}
        has_lease_keys = self.tree.has_lease_keys  # older revisions read the former keys
        budget_key = "budget_leases" if has_lease_keys else "steward"
        work_key = "work_leases" if has_lease_keys else "takeover"
        config: dict[str, Any] = {budget_key: budget_lease_settings} if self.plan.steward else {}
        if self.plan.further:
            rate, burst = self.plan.further
            config[budget_key]["further_attempts"] = {"rate": rate, "burst": int(burst)}
        if self.plan.takeover:
            config[work_key] = {**connection, "classes": list(self.plan.takeover)}
        return config

    async def start_helper_process(self, member: Member, module: str, **values: Any) -> Process:  # noqa: ANN401
        """Start a stub scan server or a load generator, with its configuration in the file `told.json`."""
        config = ProcessConfig(
            plan=self.plan,
            seed=self.seed,
            number=member.number,
            name=member.name,
            history=str(self.folder / "history" / f"{member.name}.jsonl"),
            cold=member.is_cold,
            clock_s=member.clock_offset_s,
            **values,
        )
        path = member.folder / "told.json"
        path.write_bytes(msgspec.json.encode(config))
        process, _ = await start_program(
            ("-m", module, str(path)), member.folder / "log", stdin=asyncio.subprocess.PIPE
        )
        return process

    async def start_stub_scan_server(self, member: Member) -> Process:
        """Start a stub scan server, which registers through a relay."""
        relay = self.relay("servers-list", member.name, "list-0", self.members["list-0"].process.address)
        return await self.start_helper_process(
            member, "thistletrail.fault_injection.stub_scan_server", service=format_address(relay.address)
        )

    async def start_load_generator(self, member: Member) -> Process:
        """Start a load generator, which connects to the gateways through relays."""
        gateway_addresses = tuple(
            format_address(
                self.relay("clients-doors", member.name, gateway.name, gateway.process.address).address
            )
            for gateway in self.members_of("doors")
        )
        return await self.start_helper_process(
            member, "thistletrail.fault_injection.load_generator", doors=gateway_addresses
        )

    async def start_gateway(self, member: Member) -> Process:
        """Start a gateway, and wait until it answers PING."""
        number = member.number
        registries = [("list-0", "doors-list")]
        if self.plan.follower:  # gateways of odd numbers read it first
            registries.insert(1 - number % 2, ("follower-0", "doors-follower"))
        if not self.tree.accepts_address_list:  # an older revision, which reads one address
            del registries[1:]
        relays = [
            self.relay(link, member.name, registry, self.members[registry].process.address)
            for registry, link in registries
        ]
        config = {
            "name": member.name,
            "listen": format_address(self.listen_addresses[number]),
            "discovery": ",".join(format_address(relay.address) for relay in relays),
            "seed": f"{self.gateway_seed_rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "peer_listen": format_address(self.peer_listen_addresses[number]),
            "known": {},
            "peers": [format_address(address) for address in self.peers.addresses_for(number)],
            "settings": self.context.settings(number),
            "clock_offset_ms": round(member.clock_offset_s * 1000),
            **({"state_dir": str(member.state_folder)} if self.plan.state else {}),
            **self.lease_service_settings(member.name),
            **self.extra_gateway_config,
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
        """Start or restart a member, and wait until it serves.

        Raises `FaultInjectionError` if the process does not start.
        """
        try:
            process = await member.start_process(member)
        except BenchmarkError as error:
            raise FaultInjectionError(f"{member.name}: {error}") from error
        member.process, member.is_exit_expected = process, False
        self.writer.note("started", who=member.name, cold=member.is_cold)
        if member.kind == "doors":
            self.writer.note("pong", door=member.number)
        self.set_reachable(member, True)
        member.exit_task = self.loop.create_task(self.record_exit(member, process))

    async def record_exit(self, member: Member, process: Process) -> None:
        """Wait for the exit of a process; record it, and whether it was expected."""
        exit_code = await process.process.wait()
        if member.process is process:
            self.set_reachable(member, False)
            self.writer.note("died", who=member.name, meant=member.is_exit_expected, code=exit_code)
            if not member.is_exit_expected:
                self.unexpected_exits.append(
                    f"{member.name} exited unexpectedly with code {exit_code}: {process.last_line()}"
                )

    async def start_all(self) -> None:
        """Start all members in the order of their dependencies; the load begins later.

        Raises TimeoutError if one of them does not serve before the time-out.
        """
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
        """Start several members at once; the first failure cancels the starts of the others."""
        async with asyncio.TaskGroup() as group:
            for member in members:
                group.create_task(self.start(member))

    # --- termination ---

    def kill(self, member: Member) -> None:
        """Send SIGKILL to a member, and make the relays refuse connections to it."""
        member.is_exit_expected = True
        self.set_reachable(member, False)
        member.process.kill()

    async def terminate(self) -> None:
        """Send SIGTERM to all running processes, and wait for their exit; `close` kills those that remain."""
        running = [member for member in self.members.values() if member.is_running]
        for member in running:
            member.is_exit_expected = True
            member.send_signal(signal.SIGCONT)
            member.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                for member in running:
                    await member.process.process.wait()

    async def close(self) -> None:
        """Kill all processes and close all sockets."""
        for member in self.members.values():
            member.is_exit_expected = True
            if member.process is not None:
                member.process.kill()
        for member in self.members.values():
            if member.process is not None:
                await member.process.process.wait()
            if member.exit_task is not None:
                await member.exit_task
        for relay in self.relays.values():
            relay.close()
        self.peers.record_counts()
        self.peers.close()
        self.writer.close()
