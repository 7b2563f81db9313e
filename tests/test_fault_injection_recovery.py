"""Recovery of real processes: which stored state restarted gateways restore, reject or do without."""

import asyncio
import zlib
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from tests.helpers import WORKING_TREE
from thistletrail.benchmarks.cost import gateway_config
from thistletrail.benchmarks.process import ROOT, free_port, running_gateway_process, start_gateway_process
from thistletrail.benchmarks.stub_servers import HOST
from thistletrail.fault_injection.checks import RunHistory, check
from thistletrail.fault_injection.fleet import STALE_MS, with_earlier_timestamp
from thistletrail.fault_injection.plan import Fault, Plan, load
from thistletrail.fault_injection.runs import play_once
from thistletrail.fault_injection.simulation_context import Load, SimulationContext
from thistletrail.gateway.snapshot_file import decode_snapshot
from thistletrail.simulation.clock import Clock


def play_without_violations(name: str) -> RunHistory:
    """Play a plan, assert that no rule is broken, and return its history."""
    history = play_once(load(name), 1, WORKING_TREE, lambda text: None)
    assert check(history) == []
    return history


def gateway_log(history: RunHistory, gateway: int) -> str:
    """Return all log lines of a gateway."""
    return "\n".join(
        record["text"] for record in history.records_by_kind["door"] if record["door"] == gateway
    )


@pytest.fixture(scope="module")
def registry_restart_history() -> RunHistory:
    """The history of one run of the plan `again`, in which the gateways and the registry are killed."""
    return play_without_violations("again")


def gateways_that_served_after(history: RunHistory, at_us: int) -> set[int]:
    """Return the numbers of the gateways that served a request whose answer arrived after a time."""
    gateway_by_request = {record["id"]: record["door"] for record in history.records_by_kind["try"]}
    return {
        gateway_by_request[record["id"]]
        for record in history.records_by_kind["end"]
        if record["how"] == "served" and record["at"] > at_us
    }


def test_restarted_gateways_serve_from_their_snapshots_while_the_registry_is_down(
    registry_restart_history: RunHistory,
) -> None:
    started_at = {
        record["who"]: record["at"]
        for record in registry_restart_history.records_by_kind["started"]
        if record["at"] > 0
    }
    gateways_at = max(started_at[f"doors-{n}"] for n in range(4))
    registry_at = min(started_at["list-0"], started_at["follower-0"])
    assert gateways_at < registry_at
    assert [
        record
        for record in registry_restart_history.records_by_kind["came"]
        if gateways_at < record["at"] < registry_at
    ]
    for gateway in range(4):
        assert "takes up a snapshot of" in gateway_log(registry_restart_history, gateway)


def test_endpoint_list_is_read_after_the_registry_restarts(registry_restart_history: RunHistory) -> None:
    registry_at = max(
        record["at"]
        for record in registry_restart_history.records_by_kind["started"]
        if record["who"] == "list-0"
    )
    assert {
        record["door"]
        for record in registry_restart_history.records_by_kind["told"]
        if record["at"] > registry_at
    } == {f"doors-{n}" for n in range(4)}


def test_aged_snapshot_differs_only_in_its_time() -> None:
    data = (ROOT / "tests" / "data" / "a1df16a" / "gateway" / "state" / "door").read_bytes()
    fresh = decode_snapshot(data)
    assert fresh.policy.customers and fresh.policy.ejected_servers
    assert decode_snapshot(with_earlier_timestamp(data, STALE_MS)) == replace(
        fresh, written_at_ms=fresh.written_at_ms - STALE_MS
    )


def test_invalid_snapshot_is_logged_once_and_repeatedly_crashing_gateway_waits() -> None:
    history = play_without_violations("state")
    assert gateway_log(history, 0).count("is rejected: damaged: expected") == 1
    assert gateway_log(history, 1).count("is rejected: written 36") == 1
    assert "takes up a snapshot of" in gateway_log(history, 2)
    wait_count = gateway_log(history, 3).count("has started again and again: it waits for")
    assert wait_count >= 1  # the third start within ten seconds, and each one after it
    assert "waits for" not in gateway_log(history, 0)
    start_count = sum(record["who"] == "doors-3" for record in history.records_by_kind["started"])
    assert start_count == 1 + 3


def test_gateway_resumed_or_terminated_during_recovery_breaks_no_rule() -> None:
    history = play_without_violations("wake")
    resumed_at = next(
        record["at"] for record in history.records_by_kind["woke"] if record["who"] == "doors-1"
    )
    drained = [
        record for record in history.records_by_kind["told"] if "DRAINING" in record["servers"].values()
    ]
    assert any(record["door"] == "doors-1" for record in drained)
    assert [
        record
        for record in history.records_by_kind["sent"]
        if record["door"] == "doors-1" and record["at"] > resumed_at
    ]
    died = [record for record in history.records_by_kind["died"] if record["who"] == "doors-2"]
    assert [record["code"] for record in died][:2] == [-9, 0]  # SIGTERM during recovery: a clean exit


def test_only_remaining_gateway_takes_ten_times_the_load_and_breaks_no_rule() -> None:
    history = play_without_violations("rest")
    (killed_at,) = [record["at"] for record in history.records_by_kind["fault"] if record["fault"] == "kill"]
    restarted_at = min(
        record["at"] for record in history.records_by_kind["started"] if record["at"] > killed_at
    )
    ends = [record for record in history.records_by_kind["end"] if killed_at < record["at"] < restarted_at]
    served = [record for record in ends if record["how"] == "served"]
    assert served and any(record["how"] == "refused" for record in ends)
    # After the restart of the others all gateways serve.
    assert gateways_that_served_after(history, restarted_at) == {0, 1, 2, 3}


def test_second_gateway_with_the_same_number_does_not_start(tmp_path: Path) -> None:
    """The address or the state folder of the first gateway is in use; the second reports that and ends."""
    values = gateway_config((HOST, free_port()), (HOST, free_port()), free_port(), 1, False)
    values |= {"state_dir": str(tmp_path / "state")}
    other_address = {**values, "listen": f"{HOST}:{free_port()}"}

    async def start_second_gateways() -> list[tuple[int, str]]:
        results = []
        (tmp_path / "first").mkdir()
        (tmp_path / "second").mkdir()
        async with running_gateway_process(WORKING_TREE, values, tmp_path / "first") as first:
            for second_values in (values, other_address, {**values, "state_dir": str(tmp_path / "fresh")}):
                second = await start_gateway_process(WORKING_TREE, second_values, tmp_path / "second")
                code = await asyncio.wait_for(second.process.wait(), 20)
                results.append((code, second.last_line()))
            await first.wait_until_ready()
        return results

    (same, other, fresh_folder) = asyncio.run(start_second_gateways())
    assert same[0] == other[0] == 2 and "another gateway has the folder" in same[1]
    assert "another gateway has the folder" in other[1]
    assert fresh_folder[0] == 1 and "cannot start" in fresh_folder[1]


def gateways_of_largest_customers(plan: Plan, seed: int, count: int) -> tuple[int, ...]:
    """Return the gateways that own the quotas of the `count` customers with the highest rates."""
    context = SimulationContext(plan.fleet, seed, Clock())
    load = Load(context, 0)
    load.begin(context.capacity())
    largest = sorted(load.customers, key=lambda customer: -customer.usual_rate)[:count]
    owners = {
        (customer.set_first + zlib.crc32(customer.name.encode()) % customer.set_size) % plan.fleet.doors
        for customer in largest
    }
    return tuple(sorted(owners))


def test_quotas_hold_when_the_quota_owners_of_the_largest_customers_restart() -> None:
    plan = load("again")
    owners = gateways_of_largest_customers(plan, 1, 2)
    assert owners and len(owners) < plan.fleet.doors
    kill = Fault(kind="kill", at_s=3.0, numbers=owners, back_s=(0.2, 0.4), state="none")
    plan = msgspec.structs.replace(plan, name="quota-owners", state=False, faults=(kill,))
    history = play_once(plan, 1, WORKING_TREE, lambda text: None)
    assert check(history) == []
    restarted_at = max(
        record["at"] for record in history.records_by_kind["started"] if record["who"] == f"doors-{owners[0]}"
    )
    assert gateways_that_served_after(history, restarted_at) == set(range(4))


def test_second_restart_during_recovery_with_cold_scan_servers_and_an_older_list_breaks_no_rule() -> None:
    """Three of four gateways restart again during a recovery, two of them with snapshots aged by an hour.

    The second restart comes some seconds after the first, as the gateways must have stored a snapshot before
    it can be aged; the scan servers take 15 s to warm up.
    """
    plan, replace = load("waves"), msgspec.structs.replace
    fleet = replace(plan.fleet, doors=4, length_s=13, servers=replace(plan.fleet.servers, count=4))
    waves = [
        Fault(kind="kill", at_s=at_s, numbers=numbers, back_s=(0.3, 0.5), state=state)
        for at_s, numbers, state in ((2.0, (0, 1, 2), "none"), (8.0, (0, 1), "stale"), (8.0, (3,), "kept"))
    ]
    others = [
        Fault(kind="kill", on="servers", at_s=2.0, numbers=(0, 1), back_s=(0.5, 0.5)),
        Fault(kind="kill", on="list", at_s=2.0, back_s=(0.7, 0.7), state="old"),
    ]
    plan = replace(plan, fleet=fleet, state=True, faults=(*waves, *others))
    history = play_once(plan, 1, WORKING_TREE, lambda text: None)
    assert check(history) == []
    assert not history.records_by_kind["fell"]  # no scan server collapsed while it was warming up
    assert sum(record["who"] == "doors-0" for record in history.records_by_kind["started"]) == 3
    assert gateway_log(history, 0).count("is rejected: written 36") == 1
    assert "takes up a snapshot of" in gateway_log(history, 3)
    restarted_at = max(record["at"] for record in history.records_by_kind["started"])
    assert gateways_that_served_after(history, restarted_at) == set(range(4))
