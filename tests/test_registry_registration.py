"""A scan server's registration, against a real registry on loopback."""

import asyncio
import random
from pathlib import Path

import pytest

from tests.test_registry_follower import play, until, up
from tests.test_registry_http_service import values
from thistletrail.registry import registration
from thistletrail.registry.errors import (
    RegistrationRejectedError,
    RegistryUnreachableError,
)
from thistletrail.registry.http_service import RegistryService
from thistletrail.registry.registration import InstanceSettings, Registration


@pytest.fixture(autouse=True)
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registration, "BACKOFF_S", 0.02)
    monkeypatch.setattr(registration, "MAX_BACKOFF_S", 0.1)


def one(address: str, **changes: object) -> Registration:
    return Registration(address, "s-1", InstanceSettings(**values(6001, **changes)), random.Random(1))


def test_it_registers_renews_drains_and_leaves(tmp_path: Path) -> None:
    async def act() -> None:
        service = RegistryService(tmp_path)
        renewals = []
        renew = service.store.renew
        service.store.renew = lambda name, now: (renewals.append(now), renew(name, now))[1]
        async with up(service) as address:
            server = one(address, lease_ms=1000)
            await server.start()
            assert service.store.instances["s-1"].lifecycle == "SERVING"
            await until(lambda: len(renewals) >= 4)
            service.store.update("s-1", service.store.generation, "SERVING", 0)
            await server.drain()
            assert service.store.instances["s-1"].lifecycle == "DRAINING"
            await server.deregister()
            assert service.store.instances == {}
            await server.deregister()  # twice is once

    play(act)


def test_a_drain_goes_by_what_the_service_has_by_now(tmp_path: Path) -> None:
    async def act() -> None:
        service = RegistryService(tmp_path)
        async with up(service) as address:
            server = one(address)
            await server.start()
            for lifecycle in ("DRAINING", "SERVING"):  # somebody else has changed it meanwhile
                service.store.update("s-1", service.store.get("s-1").generation, lifecycle, 0)
            await server.drain()
            assert service.store.instances["s-1"].lifecycle == "DRAINING"
            await server.deregister()

    play(act)


def test_a_service_that_starts_late_or_forgets_is_registered_with_again(tmp_path: Path) -> None:
    async def act() -> None:
        async with up(RegistryService(tmp_path / "a")) as address:
            port = int(address.rpartition(":")[2])
        server = one(address, lease_ms=1000)
        starting = asyncio.create_task(server.start())
        await asyncio.sleep(0.1)
        assert not starting.done()
        service = RegistryService(tmp_path / "b")
        async with up(service, port):
            await starting
            assert "s-1" in service.store.instances
            service.store.deregister("s-1")  # as though it had lost its data
            await until(lambda: "s-1" in service.store.instances)
            await server.aclose()

    play(act)


def test_what_the_service_refuses_is_its_sentence(tmp_path: Path) -> None:
    async def act() -> None:
        async with up(RegistryService(tmp_path)) as address:
            server = one(address, weight=-1)
            with pytest.raises(RegistrationRejectedError, match="weight"):
                await server.start()
            await server.aclose()
        server = one(address)
        server.generation = 1
        starting = asyncio.create_task(server.start())
        await asyncio.sleep(0.05)
        starting.cancel()
        with pytest.raises(RegistryUnreachableError, match="no answer in 5 attempts"):
            await server.deregister()

    play(act)


def test_a_scan_server_tries_again_within_a_third_of_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """A service that has lost its list is told to be full by then."""
    monkeypatch.setattr(registration, "MAX_BACKOFF_S", 5.0)
    monkeypatch.setattr(registration, "BACKOFF_S", 0.2)
    highs: list[float] = []

    class Low(random.Random):
        def uniform(self, low: float, high: float) -> float:
            highs.append(high)
            return low

    async def act() -> None:
        server = Registration("127.0.0.1:1", "s-1", InstanceSettings(**values(6001, lease_ms=3000)), Low())
        server._session = registration.ClientSession()
        with pytest.raises(RegistryUnreachableError, match="no answer in 9 attempts"):
            await server.renew(9)
        await server.aclose()

    play(act)
    assert highs[:2] == [0.4, 0.8] and max(highs) == 1.0
