"""A gateway before scan servers that register with the registry, which fails in several ways."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

from aiohttp import web

from tests.sockets import CONFIG, HOST, Backend, Client, query, run
from thistletrail.gateway.config import Address
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.events import ServerState
from thistletrail.registry.follower import Follower
from thistletrail.registry.http_service import ReadService, RegistryService
from thistletrail.registry.registration import InstanceSettings, Registration


class RestartableRegistry:
    """A registry that can be killed and started again at its address."""

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
async def registered(service: Address, *names: str) -> AsyncIterator[dict[str, tuple[Backend, Registration]]]:
    """Stub scan servers that have registered."""
    found = {}
    for number, name in enumerate(names):
        backend = Backend()
        host, port = await backend.start()
        settings = InstanceSettings(address=f"{host}:{port}", zone="a", machine_type="m2")
        registration = Registration(f"{service[0]}:{service[1]}", name, settings, random.Random(number))
        await registration.start()
        found[name] = backend, registration
    try:
        yield found
    finally:
        for _, registration in found.values():
            await registration.aclose()


async def gateway_at(discovery: Address) -> GatewayServer:
    gateway = GatewayServer(replace(CONFIG, discovery=(discovery,)))
    await gateway.start()
    return gateway


async def send_queries(client: Client, count: int, prefix: str) -> None:
    """So many requests, each of which has to be served."""
    for number in range(count):
        assert await client.ask(query(f"{prefix}{number}")) == b"ok", f"{prefix}{number}"


async def wait_until_known(gateway: GatewayServer, *names: str, state: ServerState = ServerState.UP) -> None:
    """Wait until the gateway knows just these in that state."""

    def found() -> set[str]:
        return {
            name for name, server in gateway.policy.servers_by_name.items() if server.entry.state is state
        }

    while found() != set(names):
        await asyncio.sleep(0.01)


def test_no_request_fails_while_the_registry_is_killed_and_comes_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry = RestartableRegistry()
        address = await registry.start(RegistryService(tmp_path))
        async with registered(address, "s-1", "s-2"):
            gateway = await gateway_at(address)
            await wait_until_known(gateway, "s-1", "s-2")
            client = await Client.open(gateway.address)
            await send_queries(client, 5, "before")
            await registry.stop()
            await send_queries(client, 20, "away")
            await registry.start(RegistryService(tmp_path))
            await send_queries(client, 5, "back")
            async with registered(address, "s-3"):
                await wait_until_known(gateway, "s-1", "s-2", "s-3")
                await send_queries(client, 5, "more")
            gateway.close()
        await registry.stop()

    run(scenario())


def test_a_drain_reported_by_the_registry_is_obeyed_at_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry = RestartableRegistry()
        address = await registry.start(RegistryService(tmp_path))
        async with registered(address, "s-1", "s-2") as servers:
            gateway = await gateway_at(address)
            await wait_until_known(gateway, "s-1", "s-2")
            client = await Client.open(gateway.address)
            await servers["s-1"][1].drain()
            await wait_until_known(gateway, "s-1", state=ServerState.DRAINING)
            before = len(servers["s-1"][0].commands)
            await send_queries(client, 20, "drained")
            assert len(servers["s-1"][0].commands) == before
            await servers["s-1"][1].deregister()
            await wait_until_known(gateway, "s-2")
            await send_queries(client, 5, "left")
            gateway.close()
        await registry.stop()

    run(scenario())


def test_a_registry_that_lost_its_data_is_filled_again_by_its_scan_servers(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry = RestartableRegistry()
        address = await registry.start(RegistryService(tmp_path / "a"))
        async with registered(address, "s-1") as servers:
            _, registration = servers["s-1"]
            registration.renewal_interval_s = 0.1  # renews soon, and so finds out soon
            await registration.stop_renewing()
            registration.start_renewing()
            gateway = await gateway_at(address)
            await wait_until_known(gateway, "s-1")
            client = await Client.open(gateway.address)
            await registry.stop()
            fresh = RegistryService(tmp_path / "b")
            await registry.start(fresh)
            while not fresh.store.instances:
                await asyncio.sleep(0.01)
            await wait_until_known(gateway, "s-1")
            await send_queries(client, 5, "again")
            gateway.close()
        await registry.stop()

    run(scenario())


def test_a_gateway_reads_a_follower_and_is_moved_to_another(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry, follower_registry = RestartableRegistry(), RestartableRegistry()
        first = await registry.start(RegistryService(tmp_path))
        async with registered(first, "s-1") as servers:
            follower = Follower(f"{first[0]}:{first[1]}", random.Random(1))
            second = await follower_registry.start(follower)
            while not follower.replica.instances:
                await asyncio.sleep(0.01)
            gateway = await gateway_at(second)
            await wait_until_known(gateway, "s-1")
            client = await Client.open(gateway.address)
            await send_queries(client, 5, "follower")
            gateway.reconfigure(replace(gateway.config, discovery=(first,)))  # as SIGHUP does
            await follower_registry.stop()
            await servers["s-1"][1].drain()
            await wait_until_known(gateway, "s-1", state=ServerState.DRAINING)
            gateway.close()
        await registry.stop()

    run(scenario())
