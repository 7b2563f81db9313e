"""A front door before scan servers that register with the list service, which fails in several ways."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

from aiohttp import web

from tests.sockets import CONFIG, HOST, Backend, Client, query, run
from thistletrail.gateway.config import Address
from thistletrail.gateway.server import FrontDoor
from thistletrail.policy.events import ServerState
from thistletrail.registry.follow import Follower
from thistletrail.registry.registration import Registration
from thistletrail.registry.server import Reader, Service


class Lists:
    """A list service that can be killed and started again at its address."""

    def __init__(self, port: int = 0) -> None:
        self.port = port
        self.runner: web.AppRunner | None = None

    async def start(self, service: Reader) -> Address:
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
    """Stand-in scan servers that have registered."""
    found = {}
    for number, name in enumerate(names):
        backend = Backend()
        host, port = await backend.start()
        values = {"address": f"{host}:{port}", "zone": "a", "machine_type": "m2"}
        registration = Registration(f"{service[0]}:{service[1]}", name, values, random.Random(number))
        await registration.start()
        found[name] = backend, registration
    try:
        yield found
    finally:
        for _, registration in found.values():
            await registration.close()


async def door_at(discovery: Address) -> FrontDoor:
    door = FrontDoor(replace(CONFIG, discovery=(discovery,)))
    await door.start()
    return door


async def ask(client: Client, count: int, prefix: str) -> None:
    """So many requests, each of which has to be served."""
    for number in range(count):
        assert await client.ask(query(f"{prefix}{number}")) == b"ok", f"{prefix}{number}"


async def known(door: FrontDoor, *names: str, state: ServerState = ServerState.UP) -> None:
    """Wait until the door knows just these in that state."""

    def found() -> set[str]:
        return {name for name, server in door.gateway.servers_by_name.items() if server.entry.state is state}

    while found() != set(names):
        await asyncio.sleep(0.01)


def test_no_request_fails_while_the_list_service_is_killed_and_comes_back(tmp_path: Path) -> None:
    async def act() -> None:
        lists = Lists()
        address = await lists.start(Service(tmp_path))
        async with registered(address, "s-1", "s-2"):
            door = await door_at(address)
            await known(door, "s-1", "s-2")
            client = await Client.open(door.address)
            await ask(client, 5, "before")
            await lists.stop()
            await ask(client, 20, "away")
            await lists.start(Service(tmp_path))
            await ask(client, 5, "back")
            async with registered(address, "s-3"):
                await known(door, "s-1", "s-2", "s-3")
                await ask(client, 5, "more")
            door.close()
        await lists.stop()

    run(act())


def test_a_drain_told_through_the_service_is_obeyed_at_once(tmp_path: Path) -> None:
    async def act() -> None:
        lists = Lists()
        address = await lists.start(Service(tmp_path))
        async with registered(address, "s-1", "s-2") as servers:
            door = await door_at(address)
            await known(door, "s-1", "s-2")
            client = await Client.open(door.address)
            await servers["s-1"][1].drain()
            await known(door, "s-1", state=ServerState.DRAINING)
            before = len(servers["s-1"][0].commands)
            await ask(client, 20, "drained")
            assert len(servers["s-1"][0].commands) == before
            await servers["s-1"][1].leave()
            await known(door, "s-2")
            await ask(client, 5, "left")
            door.close()
        await lists.stop()

    run(act())


def test_a_service_that_lost_its_data_is_filled_again_by_its_scan_servers(tmp_path: Path) -> None:
    async def act() -> None:
        lists = Lists()
        address = await lists.start(Service(tmp_path / "a"))
        async with registered(address, "s-1") as servers:
            servers["s-1"][1].lease_s = 0.3  # renews soon, and so finds out soon
            await servers["s-1"][1].stop()
            servers["s-1"][1].renewing = asyncio.create_task(servers["s-1"][1].renew())
            door = await door_at(address)
            await known(door, "s-1")
            client = await Client.open(door.address)
            await lists.stop()
            fresh = Service(tmp_path / "b")
            await lists.start(fresh)
            while not fresh.store.instances:
                await asyncio.sleep(0.01)
            await known(door, "s-1")
            await ask(client, 5, "again")
            door.close()
        await lists.stop()

    run(act())


def test_a_door_reads_a_follower_and_is_moved_to_another(tmp_path: Path) -> None:
    async def act() -> None:
        lists, copies = Lists(), Lists()
        first = await lists.start(Service(tmp_path))
        async with registered(first, "s-1") as servers:
            follower = Follower(f"{first[0]}:{first[1]}", random.Random(1))
            second = await copies.start(follower)
            while not follower.copy.instances:
                await asyncio.sleep(0.01)
            door = await door_at(second)
            await known(door, "s-1")
            client = await Client.open(door.address)
            await ask(client, 5, "follower")
            door.reconfigure(replace(door.config, discovery=(first,)))  # as SIGHUP does
            await copies.stop()
            await servers["s-1"][1].drain()
            await known(door, "s-1", state=ServerState.DRAINING)
            door.close()
        await lists.stop()

    run(act())
