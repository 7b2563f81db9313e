"""Endpoint lists that name several instances at one address."""

import asyncio
from dataclasses import replace

from tests.sockets import (
    CHUNKED_RESPONSE_HEAD,
    CONFIG,
    LONG_TIMEOUT_MS,
    LONG_TIMEOUT_SETTINGS,
    RespClient,
    StubDiscovery,
    StubScanServer,
    endpoint_entry,
    http_chunk,
    query_command,
    run_scenario,
    running_gateway,
    watch_event,
)
from thistletrail.gateway.address_owners import AddressOwners
from thistletrail.gateway.endpoint_list import EndpointListCodec, EndpointListUpdate
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.events import ServerState

CODEC = EndpointListCodec(CONFIG)
A, B = ("127.0.0.1", 7001), ("127.0.0.1", 7002)


def update(*entries: dict[str, object], reset: bool = False) -> EndpointListUpdate:
    return CODEC.decode_update({"generation": 1, "reset": reset, "instances": entries})


def states(resolved: EndpointListUpdate) -> dict[str, ServerState]:
    return {server.name: server.state for server in resolved.event.servers}


def test_instance_listed_at_the_address_of_another_one_takes_its_place() -> None:
    # Guards against sending work for an instance that has gone to the new process at its address.
    owners = AddressOwners()
    owners.resolve(update(endpoint_entry("old", A), endpoint_entry("other", B), reset=True))
    resolved = owners.resolve(update(endpoint_entry("new", A)))
    assert states(resolved) == {"new": ServerState.SERVING, "old": ServerState.GONE}
    assert resolved.addresses == {"new": A}
    # It stays so whatever the list says of the old process later.
    drained = owners.resolve(update(endpoint_entry("old", A, "DRAINING")))
    assert states(drained) == {"old": ServerState.GONE}
    deleted = owners.resolve(update({"instanceId": "new", "lifecycle": "DELETED"}))
    assert states(deleted) == {"new": ServerState.GONE, "old": ServerState.GONE}


def test_whole_list_with_an_old_and_a_new_process_at_an_address_keeps_the_one_that_started_last() -> None:
    # Guards against a list that still has the old process when a gateway starts.
    owners = AddressOwners()
    old, new = endpoint_entry("old", A, started_ms=1000), endpoint_entry("new", A, started_ms=2000)
    assert states(owners.resolve(update(new, old, reset=True))) == {
        "new": ServerState.SERVING,
        "old": ServerState.GONE,
    }


def test_process_that_starts_at_another_address_is_used_again() -> None:
    # Guards against an instance that stays displaced although it has a new process.
    owners = AddressOwners()
    owners.resolve(update(endpoint_entry("old", A), reset=True))
    owners.resolve(update(endpoint_entry("new", A)))
    moved = owners.resolve(update(endpoint_entry("old", B, started_ms=5000)))
    assert states(moved) == {"old": ServerState.SERVING}
    swapped = owners.resolve(update(endpoint_entry("old", A, started_ms=6000), endpoint_entry("new", B)))
    assert states(swapped) == {"old": ServerState.SERVING, "new": ServerState.SERVING}


def test_instances_of_which_none_is_known_to_be_later_stay_listed() -> None:
    # Guards against dropping instances without evidence that one has replaced the other.
    owners = AddressOwners()
    listed = update(endpoint_entry("one", A), endpoint_entry("two", A), reset=True)
    assert owners.resolve(listed) is listed
    assert states(owners.resolve(listed)) == {"one": ServerState.SERVING, "two": ServerState.SERVING}


def test_gateway_uses_the_new_instance_alone_once_it_is_listed_at_the_address_of_the_old_one() -> None:
    # Guards against attempts for the old instance that reach the new process.
    async def scenario() -> None:
        scan_server = StubScanServer()
        address = await scan_server.start()
        changed = asyncio.Event()

        async def script(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_RESPONSE_HEAD)
            writer.write(http_chunk(watch_event(7, [endpoint_entry("old", address)])))
            await changed.wait()
            writer.write(http_chunk(watch_event(8, [endpoint_entry("new", address)], reset=False)))
            await asyncio.Event().wait()

        discovery = (await StubDiscovery(script).start(),)
        config = replace(CONFIG, discovery=discovery, settings=LONG_TIMEOUT_SETTINGS)
        gateway = GatewayServer(config)
        await gateway.start()
        try:
            client = await RespClient.connect(gateway.address)
            assert await client.request(query_command("a1", wait_ms=LONG_TIMEOUT_MS)) == b"ok"
            assert list(gateway.policy.servers_by_name) == ["old"]
            changed.set()
            while list(gateway.policy.servers_by_name) != ["new"]:
                await asyncio.sleep(0)
            assert list(gateway.backends.pools) == ["new"]
            assert await client.request(query_command("a2", wait_ms=LONG_TIMEOUT_MS)) == b"ok"
        finally:
            gateway.close()

    run_scenario(scenario())


def test_idle_connections_to_the_process_before_are_closed_when_an_instance_has_started_again() -> None:
    # Guards against a request that is written to a connection of a process that has gone.
    async def scenario() -> None:
        scan_server = StubScanServer()
        async with running_gateway(scan_server, settings=LONG_TIMEOUT_SETTINGS) as (gateway, address):
            client = await RespClient.connect(address)
            assert await client.request(query_command("a1", wait_ms=LONG_TIMEOUT_MS)) == b"ok"
            (pool,) = gateway.backends.pools.values()
            while not pool.idle:
                await asyncio.sleep(0)
            gateway.on_endpoint_update(update(endpoint_entry("s0", pool.address)))
            assert pool.idle
            gateway.on_endpoint_update(update(endpoint_entry("s0", pool.address, started_ms=5000)))
            assert not pool.idle
            await scan_server.connection_closed.wait()
            assert await client.request(query_command("a2", wait_ms=LONG_TIMEOUT_MS)) == b"ok"
            assert scan_server.opened_connections == 2

    run_scenario(scenario())
