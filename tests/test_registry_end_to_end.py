"""A gateway and scan servers that register with a registry, while the registry fails in several ways."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

from aiohttp import web

from tests.sockets import CONFIG, HOST, RespClient, StubScanServer, query_command, run_scenario
from thistletrail.gateway.config import Address
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.events import ServerState
from thistletrail.registry.follower import Follower
from thistletrail.registry.http_service import ReadService, RegistryService
from thistletrail.registry.registration import InstanceSettings, Registration


class RestartableRegistry:
    """A registry that can be stopped and started again at the same address."""

    def __init__(self, port: int = 0) -> None:
        self.port = port
        self.runner: web.AppRunner | None = None

    async def start(self, service: ReadService) -> Address:
        self.runner = web.AppRunner(service.app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, self.port, reuse_address=True).start()
        self.port = self.runner.addresses[0][1]
        return HOST, self.port

    async def stop(self) -> None:
        if self.runner:
            await self.runner.cleanup()
            self.runner = None


@contextlib.asynccontextmanager
async def registered_servers(
    registry: Address, *names: str
) -> AsyncIterator[dict[str, tuple[StubScanServer, Registration]]]:
    """Start stub scan servers, register them, and yield both by name."""
    servers = {}
    for number, name in enumerate(names):
        scan_server = StubScanServer()
        host, port = await scan_server.start()
        settings = InstanceSettings(address=f"{host}:{port}", zone="a", machine_type="m2")
        registration = Registration(f"{registry[0]}:{registry[1]}", name, settings, random.Random(number))
        await registration.start()
        servers[name] = scan_server, registration
    try:
        yield servers
    finally:
        for _, registration in servers.values():
            await registration.aclose()


async def start_gateway(discovery: Address) -> GatewayServer:
    gateway = GatewayServer(replace(CONFIG, discovery=(discovery,)))
    await gateway.start()
    return gateway


async def send_queries(client: RespClient, count: int, prefix: str) -> None:
    """Send `count` requests and assert that each is served."""
    for number in range(count):
        assert await client.request(query_command(f"{prefix}{number}")) == b"ok", f"{prefix}{number}"


async def wait_until_known(
    gateway: GatewayServer, *names: str, state: ServerState = ServerState.SERVING
) -> None:
    """Wait until exactly these scan servers have that state at the gateway."""

    def names_in_state() -> set[str]:
        return {
            name for name, server in gateway.policy.servers_by_name.items() if server.entry.state is state
        }

    while names_in_state() != set(names):
        await asyncio.sleep(0.01)


def test_no_request_fails_while_the_registry_is_stopped_and_restarted(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry = RestartableRegistry()
        address = await registry.start(RegistryService(tmp_path))
        async with registered_servers(address, "s-1", "s-2"):
            gateway = await start_gateway(address)
            await wait_until_known(gateway, "s-1", "s-2")
            client = await RespClient.connect(gateway.address)
            await send_queries(client, 5, "before")
            await registry.stop()
            await send_queries(client, 20, "away")
            await registry.start(RegistryService(tmp_path))
            await send_queries(client, 5, "back")
            async with registered_servers(address, "s-3"):
                await wait_until_known(gateway, "s-1", "s-2", "s-3")
                await send_queries(client, 5, "more")
            gateway.close()
        await registry.stop()

    run_scenario(scenario())


def test_a_draining_scan_server_gets_no_more_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry = RestartableRegistry()
        address = await registry.start(RegistryService(tmp_path))
        async with registered_servers(address, "s-1", "s-2") as servers:
            gateway = await start_gateway(address)
            await wait_until_known(gateway, "s-1", "s-2")
            client = await RespClient.connect(gateway.address)
            await servers["s-1"][1].drain()
            await wait_until_known(gateway, "s-1", state=ServerState.DRAINING)
            commands_before = len(servers["s-1"][0].commands)
            await send_queries(client, 20, "drained")
            assert len(servers["s-1"][0].commands) == commands_before
            await servers["s-1"][1].deregister()
            await wait_until_known(gateway, "s-2")
            await send_queries(client, 5, "left")
            gateway.close()
        await registry.stop()

    run_scenario(scenario())


def test_scan_servers_register_again_with_a_registry_that_lost_its_data(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry = RestartableRegistry()
        address = await registry.start(RegistryService(tmp_path / "a"))
        async with registered_servers(address, "s-1") as servers:
            _, registration = servers["s-1"]
            registration.renewal_interval_s = 0.1  # a rejected renewal makes the server register again
            await registration.stop_renewing()
            registration.start_renewing()
            gateway = await start_gateway(address)
            await wait_until_known(gateway, "s-1")
            client = await RespClient.connect(gateway.address)
            await registry.stop()
            empty_registry = RegistryService(tmp_path / "b")
            await registry.start(empty_registry)
            while not empty_registry.store.instances:
                await asyncio.sleep(0.01)
            await wait_until_known(gateway, "s-1")
            await send_queries(client, 5, "again")
            gateway.close()
        await registry.stop()

    run_scenario(scenario())


def test_a_gateway_reads_from_a_follower_and_switches_to_the_primary(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry, follower_registry = RestartableRegistry(), RestartableRegistry()
        primary_address = await registry.start(RegistryService(tmp_path))
        async with registered_servers(primary_address, "s-1") as servers:
            follower = Follower(f"{primary_address[0]}:{primary_address[1]}", random.Random(1))
            follower_address = await follower_registry.start(follower)
            while not follower.replica.instances:
                await asyncio.sleep(0.01)
            gateway = await start_gateway(follower_address)
            await wait_until_known(gateway, "s-1")
            client = await RespClient.connect(gateway.address)
            await send_queries(client, 5, "follower")
            gateway.reconfigure(replace(gateway.config, discovery=(primary_address,)))  # as SIGHUP does
            await follower_registry.stop()
            await servers["s-1"][1].drain()
            await wait_until_known(gateway, "s-1", state=ServerState.DRAINING)
            gateway.close()
        await registry.stop()

    run_scenario(scenario())
