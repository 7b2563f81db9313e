"""Coming back, with several real processes: what doors take up again, what they pass over and keep."""

import asyncio
import sys
import zlib
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from thistletrail.benchmarks.cost import config
from thistletrail.benchmarks.process import ROOT, Tree, free_port, front_door, start_door
from thistletrail.benchmarks.standins import HOST
from thistletrail.fault_injection.checks import RunHistory, check
from thistletrail.fault_injection.fleet import STALE_MS, aged
from thistletrail.fault_injection.plan import Fault, Plan, load
from thistletrail.fault_injection.runs import play_once
from thistletrail.fault_injection.world import Load, World
from thistletrail.gateway.snapshot_file import decode_snapshot
from thistletrail.simulation.clock import Clock

HERE = Tree(ROOT, f"exec {sys.executable} -m thistletrail.gateway", tells_costs=True)


def played(name: str) -> RunHistory:
    """A plan that keeps every rule."""
    seen = play_once(load(name), 1, HERE, lambda text: None)
    assert check(seen) == []
    return seen


def said(seen: RunHistory, door: int) -> str:
    return "\n".join(record["text"] for record in seen.by["door"] if record["door"] == door)


@pytest.fixture(scope="module")
def again() -> RunHistory:
    return played("again")


def test_doors_serve_by_what_they_stored_while_the_list_service_is_away(again: RunHistory) -> None:
    back = {record["who"]: record["at"] for record in again.by["started"] if record["at"] > 0}
    first = max(back[f"doors-{door}"] for door in range(4))
    lists = min(back["list-0"], back["follower-0"])
    assert first < lists
    assert [record for record in again.by["came"] if first < record["at"] < lists]
    for door in range(4):
        assert "takes up a snapshot of" in said(again, door)


def test_the_list_is_read_again_once_its_service_is_back(again: RunHistory) -> None:
    lists = max(record["at"] for record in again.by["started"] if record["who"] == "list-0")
    assert {record["door"] for record in again.by["told"] if record["at"] > lists} == {
        f"doors-{n}" for n in range(4)
    }


def test_a_snapshot_that_is_made_stale_differs_in_its_time_alone() -> None:
    data = (ROOT / "tests" / "data" / "a1df16a" / "gateway" / "state" / "door").read_bytes()
    fresh = decode_snapshot(data)
    assert fresh.policy.customers and fresh.policy.ejected_servers
    assert decode_snapshot(aged(data, STALE_MS)) == replace(
        fresh, written_at_ms=fresh.written_at_ms - STALE_MS
    )


def test_bad_state_is_one_warning_and_a_door_that_crashes_waits() -> None:
    seen = played("state")
    assert said(seen, 0).count("is rejected: damaged: expected") == 1
    assert said(seen, 1).count("is rejected: written 36") == 1
    assert "takes up a snapshot of" in said(seen, 2)
    waits = said(seen, 3).count("has started again and again: it waits for")
    assert waits >= 1  # the third start within ten seconds, and each one after it
    assert "waits for" not in said(seen, 0)
    starts = sum(record["who"] == "doors-3" for record in seen.by["started"])
    assert starts == 1 + 3


def test_a_door_that_wakes_or_ends_on_the_way_back_keeps_the_rules() -> None:
    seen = played("wake")
    woke = next(record["at"] for record in seen.by["woke"] if record["who"] == "doors-1")
    drained = [record for record in seen.by["told"] if "DRAINING" in record["servers"].values()]
    assert any(record["door"] == "doors-1" for record in drained)
    assert [record for record in seen.by["sent"] if record["door"] == "doors-1" and record["at"] > woke]
    died = [record for record in seen.by["died"] if record["who"] == "doors-2"]
    assert [record["code"] for record in died][:2] == [-9, 0]  # SIGTERM on the way back is a clean end


def test_the_one_door_that_is_left_takes_ten_times_the_load_and_keeps_the_rules() -> None:
    seen = played("rest")
    (killed,) = [record["at"] for record in seen.by["fault"] if record["fault"] == "kill"]
    back = min(record["at"] for record in seen.by["started"] if record["at"] > killed)
    ends = [record for record in seen.by["end"] if killed < record["at"] < back]
    served = [record for record in ends if record["how"] == "served"]
    assert served and any(record["how"] == "refused" for record in ends)
    # Once the others are back all serve again.
    asked = {record["id"]: record["door"] for record in seen.by["try"]}
    assert {
        asked[record["id"]] for record in seen.by["end"] if record["how"] == "served" and record["at"] > back
    } == {0, 1, 2, 3}


def test_two_doors_with_one_number_are_one_door(tmp_path: Path) -> None:
    """The second has neither the first one's address nor its folder, and says so in one line."""
    values = config((HOST, free_port()), (HOST, free_port()), free_port(), 1, False)
    values |= {"state_dir": str(tmp_path / "state")}
    other = {**values, "listen": f"{HOST}:{free_port()}"}

    async def act() -> list[tuple[int, str]]:
        found = []
        (tmp_path / "first").mkdir()
        (tmp_path / "second").mkdir()
        async with front_door(HERE, values, tmp_path / "first") as first:
            for again in (values, other, {**values, "state_dir": str(tmp_path / "fresh")}):
                second = await start_door(HERE, again, tmp_path / "second")
                code = await asyncio.wait_for(second.process.wait(), 20)
                found.append((code, second.last_line()))
            await first.ready()
        return found

    (one, two, three) = asyncio.run(act())
    assert one[0] == two[0] == 2 and "another gateway has the folder" in one[1]
    assert "another gateway has the folder" in two[1]
    assert three[0] == 1 and "cannot start" in three[1]


def largest_homes(plan: Plan, seed: int, count: int) -> tuple[int, ...]:
    """The doors that are home to the customers who ask most."""
    world = World(plan.fleet, seed, Clock())
    load = Load(world, 0)
    load.begin(world.capacity())
    largest = sorted(load.customers, key=lambda customer: -customer.usual_rate)[:count]
    homes = {
        (customer.first + zlib.crc32(customer.name.encode()) % customer.size) % plan.fleet.doors
        for customer in largest
    }
    return tuple(sorted(homes))


def test_the_homes_of_the_largest_customers_restart_and_no_quota_is_passed() -> None:
    plan = load("again")
    homes = largest_homes(plan, 1, 2)
    assert homes and len(homes) < plan.fleet.doors
    kill = Fault(kind="kill", at_s=3.0, numbers=homes, back_s=(0.2, 0.4), state="none")
    plan = msgspec.structs.replace(plan, name="homes", state=False, faults=(kill,))
    seen = play_once(plan, 1, HERE, lambda text: None)
    assert check(seen) == []
    back = max(record["at"] for record in seen.by["started"] if record["who"] == f"doors-{homes[0]}")
    served = {record["id"] for record in seen.by["end"] if record["how"] == "served" and record["at"] > back}
    assert {record["door"] for record in seen.by["try"] if record["id"] in served} == set(range(4))


def test_a_second_wave_finds_cold_scan_servers_and_an_older_list_and_the_rules_hold() -> None:
    """On the way back from the first: three in four doors again, half of them with state from an hour ago.

    The second wave leaves the doors that come back some seconds to serve and to store a snapshot, as there
    is nothing to age before that; the scan servers are cold for 15 s.
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
    seen = play_once(plan, 1, HERE, lambda text: None)
    assert check(seen) == []
    assert not seen.by["fell"]  # no cold one was pushed over
    assert sum(record["who"] == "doors-0" for record in seen.by["started"]) == 3
    assert said(seen, 0).count("is rejected: written 36") == 1 and "takes up a snapshot of" in said(seen, 3)
    back = max(record["at"] for record in seen.by["started"])
    served = {record["id"] for record in seen.by["end"] if record["how"] == "served" and record["at"] > back}
    assert {record["door"] for record in seen.by["try"] if record["id"] in served} == set(range(4))
