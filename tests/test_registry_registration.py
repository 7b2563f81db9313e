"""A scan server's registration, against a real registry on loopback."""

import asyncio
import random
from pathlib import Path

import pytest

from tests.test_registry_follower import run_scenario, running_service, until
from tests.test_registry_http_service import values
from thistletrail.registry import registration
from thistletrail.registry.errors import (
    RegistrationRejectedError,
    RegistryUnreachableError,
)
from thistletrail.registry.http_service import RegistryService
from thistletrail.registry.registration import InstanceSettings, Registration


@pytest.fixture(autouse=True)
def short_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registration, "BACKOFF_S", 0.02)
    monkeypatch.setattr(registration, "MAX_BACKOFF_S", 0.1)


def registration_of(address: str, **changes: object) -> Registration:
    return Registration(address, "s-1", InstanceSettings(**values(6001, **changes)), random.Random(1))


def test_it_registers_renews_drains_and_deregisters(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = RegistryService(tmp_path)
        renewals = []
        renew = service.store.renew
        service.store.renew = lambda name, now: (renewals.append(now), renew(name, now))[1]
        async with running_service(service) as address:
            server = registration_of(address, lease_ms=1000)
            await server.start()
            assert service.store.instances["s-1"].lifecycle == "SERVING"
            await until(lambda: len(renewals) >= 4)
            service.store.update("s-1", service.store.generation, "SERVING", 0)
            await server.drain()
            assert service.store.instances["s-1"].lifecycle == "DRAINING"
            await server.deregister()
            assert service.store.instances == {}
            await server.deregister()  # twice is once

    run_scenario(scenario)


def test_a_drain_goes_by_the_current_generation_of_the_registry(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = RegistryService(tmp_path)
        async with running_service(service) as address:
            server = registration_of(address)
            await server.start()
            for lifecycle in ("DRAINING", "SERVING"):  # somebody else has changed it meanwhile
                service.store.update("s-1", service.store.get("s-1").generation, lifecycle, 0)
            await server.drain()
            assert service.store.instances["s-1"].lifecycle == "DRAINING"
            await server.deregister()

    run_scenario(scenario)


def test_a_registry_that_is_late_or_lost_its_data_is_registered_with_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_service(RegistryService(tmp_path / "a")) as address:
            port = int(address.rpartition(":")[2])
        server = registration_of(address, lease_ms=1000)
        starting = asyncio.create_task(server.start())
        await asyncio.sleep(0.1)
        assert not starting.done()
        service = RegistryService(tmp_path / "b")
        async with running_service(service, port):
            await starting
            assert "s-1" in service.store.instances
            service.store.deregister("s-1")  # as though it had lost its data
            await until(lambda: "s-1" in service.store.instances)
            await server.aclose()

    run_scenario(scenario)


def test_a_rejection_carries_the_sentence_of_the_registry(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_service(RegistryService(tmp_path)) as address:
            server = registration_of(address, weight=-1)
            with pytest.raises(RegistrationRejectedError, match="weight"):
                await server.start()
            await server.aclose()
        server = registration_of(address)
        server.generation = 1
        starting = asyncio.create_task(server.start())
        await asyncio.sleep(0.05)
        starting.cancel()
        with pytest.raises(RegistryUnreachableError, match="no answer in 5 attempts"):
            await server.deregister()

    run_scenario(scenario)


def test_the_backoff_is_bounded_by_a_third_of_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """By then a registry that has lost its data counts as filled."""
    monkeypatch.setattr(registration, "MAX_BACKOFF_S", 5.0)
    monkeypatch.setattr(registration, "BACKOFF_S", 0.2)
    highs: list[float] = []

    class LowestDraw(random.Random):
        def uniform(self, low: float, high: float) -> float:
            highs.append(high)
            return low

    async def scenario() -> None:
        server = Registration(
            "127.0.0.1:1", "s-1", InstanceSettings(**values(6001, lease_ms=3000)), LowestDraw()
        )
        server._session = registration.ClientSession()
        with pytest.raises(RegistryUnreachableError, match="no answer in 9 attempts"):
            await server.renew(9)
        await server.aclose()

    run_scenario(scenario)
    assert highs[:2] == [0.4, 0.8] and max(highs) == 1.0
