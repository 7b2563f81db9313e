"""The hard cases of recovery, in the model: the rules hold, and what is lost stays bounded."""

import msgspec
import pytest

from thistletrail.simulation.day import Day, play
from thistletrail.simulation.scenario import Demand, Net, Scenario, Servers, Trouble

FLEET = Scenario(
    name="fleet",
    doors=24,
    length_s=9,
    servers=Servers(count=16, connections=40),
    demand=Demand(load=(0.5, 0.5)),
)


def after(troubles: list[Trouble], seed: int = 1, **changes: object) -> Day:
    day = play(msgspec.structs.replace(FLEET, troubles=tuple(troubles), **changes), seed)
    assert not day.books.violation_counts, day.books.violations[:3]
    assert day.books.check() == []
    return day


def served(day: Day, since_s: int, until_s: int) -> float:
    """The share of what was offered in those seconds that was earned."""
    sums = [
        sum(value for key, value in values.items() if since_s <= key[0] < until_s)
        for values in (day.books.earned, day.books.offered)
    ]
    return sums[0] / sums[1]


def test_homes_that_died_are_not_waited_for_and_known_again_once_back() -> None:
    day = after([Trouble(kind="kill_doors", at_s=2, part=0.4)])
    usual = after([])
    silent = sum(count for cause, count in day.books.by_cause(day.books.refused).items() if "silent" in cause)
    silent += day.books.by_cause(day.books.over).get("silent home", 0)
    assert silent > 0 or day.books.by_cause(day.books.over).get("no word", 0) > 0
    assert day.books.units_beyond < 2 * usual.books.units_beyond + 0.1 * usual.books.units_sent
    assert served(day, 8, 9) > 0.8 * served(usual, 8, 9)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_zone_that_is_back_cold_while_the_other_is_full_is_not_pushed_over(seed: int) -> None:
    lost = Trouble(kind="zone_loss", at_s=1, for_s=3, part=0, size=0.9, zone=1)
    day = after([lost], seed, demand=Demand(load=(0.8, 0.8)), length_s=12)
    assert not any(server.has_collapsed for server in day.servers.values())
    back = [server for server in day.servers.values() if server.zone == 1]
    assert sum(server.served for server in back) > 0


def test_six_in_ten_servers_are_replaced_under_short_tables_of_connections() -> None:
    day = after(
        [Trouble(kind="release", at_s=2, for_s=3, part=0.6)],
        servers=Servers(count=16, connections=30, handshake_us=(1500, 1500)),
    )
    assert len(day.servers) == 16 + 10
    assert day.books.handshakes < 0.6 * day.books.operations
    assert served(day, 7, 9) > 0.6


def test_a_door_started_among_139_others_is_given_no_fresh_quota() -> None:
    one = Trouble(kind="kill_doors", at_s=0.5, part=1 / 140)
    day = after([one], doors=140, length_s=4, servers=Servers(count=24, connections=200))
    assert sorted(door.epoch for door in day.doors)[-2:] == [1, 3]
    assert day.books.by_cause(day.books.over).get("restarted door", 0) < 0.01 * day.books.units_sent


@pytest.mark.parametrize("seed", [1, 2])
def test_messages_lost_for_six_seconds_break_no_ceiling(seed: int) -> None:
    day = after([Trouble(kind="messages_lost", at_s=1, for_s=6, size=1.0)], seed)
    fates = day.books.by_cause(day.books.messages)
    assert fates["lost on the way"] > fates["arrived"] / 2
    assert served(day, 2, 7) > 0.5
    ceilings = [customer.account for customer in day.demand.customers if customer.account.ceiling]
    assert ceilings and not any(account.is_ceiling_exceeded() for account in ceilings)


def test_half_of_all_messages_lost_is_borne() -> None:
    day = after([], net=Net(peer_loss=(0.5, 0.5)))
    assert served(day, 2, 9) > 0.6


def takes_up(day: Day) -> set[int]:
    return {door for _, door, text in day.books.log_lines if "takes up a snapshot" in text}


@pytest.mark.parametrize("seed", [1, 2])
def test_doors_that_stored_what_they_knew_spend_no_burst_again(seed: int) -> None:
    """All at once, customers past their quotas: with nothing stored, nobody knows what was spent."""
    past = {"demand": Demand(load=(0.5, 0.5), heavy=(0.9, 0.9), heavy_x=(2, 3))}
    kill = {
        state: Trouble(kind="kill_doors", at_s=4, part=1, back_s=(0.5, 1), state=state)
        for state in ("kept", "none", "stale")
    }
    found = {state: after([trouble], seed, stored=True, **past) for state, trouble in kill.items()}
    assert takes_up(found["kept"]) == set(range(FLEET.doors))
    assert not takes_up(found["none"]) and not takes_up(found["stale"])
    assert found["stale"].result() == found["none"].result()  # an hour old: as if there were nothing
    beyond = {state: day.books.by_cause(day.books.over)["restarted door"] for state, day in found.items()}
    assert beyond["kept"] < 0.8 * beyond["none"]


def test_a_planned_end_stores_what_is_known_then() -> None:
    day = after([Trouble(kind="restart_doors", at_s=2, for_s=2)], stored=True, length_s=12)
    ages = [
        float(text.split(" s ago")[0].rpartition(" ")[2])
        for _, _, text in day.books.log_lines
        if "takes up a snapshot" in text
    ]
    assert len(ages) == FLEET.doors and all(age == 0.4 for age in ages)  # what a restart takes
