"""The registration of a scan server with a real registry on loopback."""

import asyncio
import random
from pathlib import Path

import pytest

from tests.test_registry_follower import run_scenario, running_service, wait_until
from tests.test_registry_http_service import registration_values
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


def make_registration(address: str, **changes: object) -> Registration:
    return Registration(
        address, "s-1", InstanceSettings(**registration_values(6001, **changes)), random.Random(1)
    )


def test_a_registration_registers_renews_drains_and_deregisters(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = RegistryService(tmp_path)
        renewals_ms = []
        renew = service.store.renew
        service.store.renew = lambda name, now_ms: (renewals_ms.append(now_ms), renew(name, now_ms))[1]
        async with running_service(service) as address:
            client = make_registration(address, lease_ms=1000)
            await client.start()
            assert service.store.instances["s-1"].lifecycle == "SERVING"
            await wait_until(lambda: len(renewals_ms) >= 4)
            service.store.update("s-1", service.store.generation, "SERVING", 0)
            await client.drain()
            assert service.store.instances["s-1"].lifecycle == "DRAINING"
            await client.deregister()
            assert service.store.instances == {}
            await client.deregister()  # a second call has no effect

    run_scenario(scenario)


def test_a_drain_succeeds_after_another_client_changed_the_instance(tmp_path: Path) -> None:
    async def scenario() -> None:
        service = RegistryService(tmp_path)
        async with running_service(service) as address:
            client = make_registration(address)
            await client.start()
            for lifecycle in ("DRAINING", "SERVING"):  # changes by another client
                service.store.update("s-1", service.store.get("s-1").generation, lifecycle, 0)
            await client.drain()
            assert service.store.instances["s-1"].lifecycle == "DRAINING"
            await client.deregister()

    run_scenario(scenario)


def test_an_instance_registers_with_a_registry_that_starts_late_or_lost_its_data(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_service(RegistryService(tmp_path / "a")) as address:
            port = int(address.rpartition(":")[2])
        client = make_registration(address, lease_ms=1000)
        starting = asyncio.create_task(client.start())
        await asyncio.sleep(0.1)
        assert not starting.done()
        service = RegistryService(tmp_path / "b")
        async with running_service(service, port):
            await starting
            assert "s-1" in service.store.instances
            service.store.deregister("s-1")  # as if the registry had lost its data
            await wait_until(lambda: "s-1" in service.store.instances)
            await client.aclose()

    run_scenario(scenario)


def test_errors_have_the_text_of_the_registry_or_the_number_of_attempts(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_service(RegistryService(tmp_path)) as address:
            client = make_registration(address, weight=-1)
            with pytest.raises(RegistrationRejectedError, match="weight"):
                await client.start()
            await client.aclose()
        client = make_registration(address)
        client.generation = 1
        starting = asyncio.create_task(client.start())
        await asyncio.sleep(0.05)
        starting.cancel()
        with pytest.raises(RegistryUnreachableError, match="no answer in 5 attempts"):
            await client.deregister()

    run_scenario(scenario)


def test_the_backoff_is_bounded_by_a_third_of_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """A registry that lost its data serves reads once that time has passed."""
    monkeypatch.setattr(registration, "MAX_BACKOFF_S", 5.0)
    monkeypatch.setattr(registration, "BACKOFF_S", 0.2)
    max_delays_s: list[float] = []

    class LowestDraw(random.Random):
        def uniform(self, low: float, high: float) -> float:
            max_delays_s.append(high)
            return low

    async def scenario() -> None:
        client = Registration(
            "127.0.0.1:1", "s-1", InstanceSettings(**registration_values(6001, lease_ms=3000)), LowestDraw()
        )
        client._session = registration.ClientSession()
        with pytest.raises(RegistryUnreachableError, match="no answer in 9 attempts"):
            await client.renew(9)
        await client.aclose()

    run_scenario(scenario)
    assert max_delays_s[:2] == [0.4, 0.8] and max(max_delays_s) == 1.0
