"""Recovery from severe faults in the simulation: no rule is broken, and the loss stays bounded."""

import msgspec
import pytest

from thistletrail.simulation.run import SimulationRun, play
from thistletrail.simulation.scenario import Demand, Net, Scenario, ScenarioFault, Servers

FLEET = Scenario(
    name="fleet",
    doors=24,
    length_s=9,
    servers=Servers(count=16, connections=40),
    demand=Demand(load=(0.5, 0.5)),
)


def run_with_faults(faults: list[ScenarioFault], seed: int = 1, **changes: object) -> SimulationRun:
    """Play the fleet with these faults, and check that no rule is broken and that the accounting adds up."""
    run = play(msgspec.structs.replace(FLEET, troubles=tuple(faults), **changes), seed)
    assert not run.accounting.violation_counts, run.accounting.violations[:3]
    assert run.accounting.check() == []
    return run


def served_share(run: SimulationRun, since_s: int, until_s: int) -> float:
    """Return the earned share of the value offered from `since_s` up to, but not including, `until_s`."""
    sums = [
        sum(value for key, value in values.items() if since_s <= key[0] < until_s)
        for values in (run.accounting.earned, run.accounting.offered)
    ]
    return sums[0] / sums[1]


def test_service_recovers_after_quota_owners_die_and_restart() -> None:
    run = run_with_faults([ScenarioFault(kind="kill_doors", at_s=2, part=0.4)])
    baseline = run_with_faults([])
    owner_silent_count = sum(
        count for cause, count in run.accounting.by_cause(run.accounting.refused).items() if "silent" in cause
    )
    owner_silent_count += run.accounting.by_cause(run.accounting.over_quota).get("silent home", 0)
    assert owner_silent_count > 0 or run.accounting.by_cause(run.accounting.over_quota).get("no word", 0) > 0
    assert (
        run.accounting.units_beyond
        < 2 * baseline.accounting.units_beyond + 0.1 * baseline.accounting.units_sent
    )
    assert served_share(run, 8, 9) > 0.8 * served_share(baseline, 8, 9)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_servers_of_a_recovered_zone_are_not_overloaded_while_they_warm_up(seed: int) -> None:
    zone_loss = ScenarioFault(kind="zone_loss", at_s=1, for_s=3, part=0, size=0.9, zone=1)
    run = run_with_faults([zone_loss], seed, demand=Demand(load=(0.8, 0.8)), length_s=12)
    assert not any(server.has_collapsed for server in run.servers.values())
    recovered = [server for server in run.servers.values() if server.zone == 1]
    assert sum(server.served for server in recovered) > 0


def test_replacing_six_in_ten_servers_with_small_connection_tables_needs_few_handshakes() -> None:
    run = run_with_faults(
        [ScenarioFault(kind="release", at_s=2, for_s=3, part=0.6)],
        servers=Servers(count=16, connections=30, handshake_us=(1500, 1500)),
    )
    assert len(run.servers) == 16 + 10
    assert run.accounting.handshakes < 0.6 * run.accounting.operations
    assert served_share(run, 7, 9) > 0.6


def test_a_gateway_restarted_among_139_others_forwards_few_units_beyond_quota() -> None:
    kill_one = ScenarioFault(kind="kill_doors", at_s=0.5, part=1 / 140)
    run = run_with_faults([kill_one], doors=140, length_s=4, servers=Servers(count=24, connections=200))
    assert sorted(gateway.epoch for gateway in run.gateways)[-2:] == [1, 3]
    assert (
        run.accounting.by_cause(run.accounting.over_quota).get("restarted door", 0)
        < 0.01 * run.accounting.units_sent
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_losing_messages_for_six_seconds_breaks_no_ceiling(seed: int) -> None:
    run = run_with_faults([ScenarioFault(kind="messages_lost", at_s=1, for_s=6, size=1.0)], seed)
    fates = run.accounting.by_cause(run.accounting.messages)
    assert fates["lost on the way"] > fates["arrived"] / 2
    assert served_share(run, 2, 7) > 0.5
    ceilings = [customer.account for customer in run.demand.customers if customer.account.ceiling]
    assert ceilings and not any(account.is_ceiling_exceeded() for account in ceilings)


def test_service_continues_when_half_of_all_messages_are_lost() -> None:
    run = run_with_faults([], net=Net(peer_loss=(0.5, 0.5)))
    assert served_share(run, 2, 9) > 0.6


def restored_gateways(run: SimulationRun) -> set[int]:
    """Return the numbers of the gateways that restored a snapshot."""
    return {gateway for _, gateway, text in run.accounting.log_lines if "takes up a snapshot" in text}


@pytest.mark.parametrize("seed", [1, 2])
def test_gateways_with_a_snapshot_do_not_grant_the_burst_again(seed: int) -> None:
    """All gateways die at once, with customers beyond their quotas: only snapshots record what was used."""
    heavy_demand = {"demand": Demand(load=(0.5, 0.5), heavy=(0.9, 0.9), heavy_x=(2, 3))}
    faults = {
        state: ScenarioFault(kind="kill_doors", at_s=4, part=1, back_s=(0.5, 1), state=state)
        for state in ("kept", "none", "stale")
    }
    runs = {
        state: run_with_faults([fault], seed, stored=True, **heavy_demand) for state, fault in faults.items()
    }
    assert restored_gateways(runs["kept"]) == set(range(FLEET.doors))
    assert not restored_gateways(runs["none"]) and not restored_gateways(runs["stale"])
    assert runs["stale"].result() == runs["none"].result()  # a snapshot that is an hour old is not restored
    beyond = {
        state: run.accounting.by_cause(run.accounting.over_quota)["restarted door"]
        for state, run in runs.items()
    }
    assert beyond["kept"] < 0.8 * beyond["none"]


def test_a_graceful_shutdown_stores_a_snapshot_at_its_end() -> None:
    run = run_with_faults([ScenarioFault(kind="restart_doors", at_s=2, for_s=2)], stored=True, length_s=12)
    ages_s = [
        float(text.split(" s ago")[0].rpartition(" ")[2])
        for _, _, text in run.accounting.log_lines
        if "takes up a snapshot" in text
    ]
    assert len(ages_s) == FLEET.doors
    assert all(age_s == 0.4 for age_s in ages_s)  # the duration of a restart
