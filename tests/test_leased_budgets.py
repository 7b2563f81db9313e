"""Tests of leased budgets: reported demand, use of grants, and gateways with a running lease service."""

from dataclasses import replace

import pytest

from tests.helpers import SETTINGS, WORKING_TREE, S, World, of
from thistletrail.fault_injection.checks import RunHistory, check
from thistletrail.fault_injection.plan import load
from thistletrail.fault_injection.runs import play_once
from thistletrail.gateway.config import read_budget_leases
from thistletrail.gateway.errors import ConfigError
from thistletrail.policy.actions import Action, RejectRequest, StartAttempt
from thistletrail.policy.budget_leases import DEMAND_REPORTED_US
from thistletrail.policy.events import AttemptResult, BudgetGranted, BudgetKey, BudgetKind, ClientDisconnected
from thistletrail.policy.leased_budgets import FLOOR_SHARE
from thistletrail.policy.settings import Plan

PLAN = Plan(rate=100.0, burst=100.0, ceiling_rate=20.0, ceiling_burst=40.0)
LEASED = replace(SETTINGS, gateway_count=2, plans=(PLAN,), leases_ceilings=True)


def gateway() -> World:
    """Return one of two gateways, with a customer that has sent it one request."""
    world = World(LEASED)
    world.ask("first", set_size=2)
    return world


def grant_ceiling(world: World, share: float, units: float = 0.0, duration_us: int = 3 * S) -> None:
    ((key, _),) = world.gateway.customers.by_key.items()
    world.tell(BudgetGranted(BudgetKey(BudgetKind.CEILING, *key), share, units, world.now + duration_us))


def ceiling_level(world: World) -> float:
    ((_, customer),) = world.gateway.customers.by_key.items()
    customer.refill(world.now)
    return customer.leased["ceiling"].level if customer.leased else customer.ceiling_bucket.level


def test_a_leased_ceiling_is_the_floor_before_and_after_a_lease() -> None:
    world = gateway()
    floor = FLOOR_SHARE / 2
    world.now += 100 * S
    assert ceiling_level(world) == pytest.approx(40.0 * floor)
    grant_ceiling(world, 0.5)
    world.now += S
    assert ceiling_level(world) == pytest.approx(40.0 * floor + 20.0 * (0.5 + floor))
    world.now += 10 * S  # the lease expires after two of these seconds; the capacity is the floor's again
    assert ceiling_level(world) == pytest.approx(40.0 * floor)


def test_a_leased_ceiling_is_refilled_at_the_granted_rate_until_the_lease_expires() -> None:
    world = gateway()
    grant_ceiling(world, 0.25, duration_us=S)
    ((_, customer),) = world.gateway.customers.by_key.items()
    customer.leased["ceiling"].expires_us = world.now + S
    world.now += S - 1
    assert ceiling_level(world) == pytest.approx(20.0 * (0.25 + FLOOR_SHARE / 2), rel=0.01)
    world.now += 1
    assert ceiling_level(world) == pytest.approx(40.0 * FLOOR_SHARE / 2)


def test_units_beyond_the_capacity_of_a_smaller_share_are_returned_rounded_down() -> None:
    world = gateway()
    grant_ceiling(world, 0.8, units=30.0)
    assert ceiling_level(world) == 30.0
    grant_ceiling(world, 0.2)
    ((_, customer),) = world.gateway.customers.by_key.items()
    capacity = 40.0 * (0.2 + FLOOR_SHARE / 2)
    assert customer.leased["ceiling"].returned == int(30.0 - capacity) and ceiling_level(world) <= capacity
    (reported,) = world.gateway.budget_demands(world.now)
    assert reported.returned == customer.leased["ceiling"].returned
    grant_ceiling(world, 0.2)
    assert world.gateway.budget_demands(world.now)[0].returned == 0  # units are returned only once


def test_a_grant_is_limited_to_the_budget_and_applies_to_known_leased_budgets_only() -> None:
    world = gateway()
    grant_ceiling(world, 7.0, units=1e9)
    assert ceiling_level(world) <= 40.0 * (1 - FLOOR_SHARE + FLOOR_SHARE / 2) + 1e-9
    other_customer = BudgetKey(BudgetKind.CEILING, 1, 0, 0, 2)  # a customer that has sent no request here
    world.tell(BudgetGranted(other_customer, 0.5, 1.0, world.now + S))
    assert len(world.gateway.customers.by_key) == 1
    not_leased = World(replace(LEASED, leases_ceilings=False))
    not_leased.ask("first", set_size=2)
    level_before = ceiling_level(not_leased)
    grant_ceiling(not_leased, 0.9, units=30.0)
    assert ceiling_level(not_leased) == level_before


LEASED_QUOTAS = replace(LEASED, leases_quotas=True, plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),))
LEASED_IN_FLIGHT = replace(
    LEASED, leases_in_flight=True, plans=(Plan(rate=1000.0, burst=1000.0, max_in_flight=10),)
)


def grant(
    world: World, kind: str, share: float, units: float = 0.0, duration_us: int = 3 * S
) -> list[Action]:
    ((key, _),) = world.gateway.customers.by_key.items()
    return world.tell(BudgetGranted(BudgetKey(kind, *key), share, units, world.now + duration_us))


def started_attempts(actions: list[Action]) -> list[str]:
    return [action.id for action in of(StartAttempt, actions)]


def test_a_leased_quota_admits_requests_by_granted_units_and_the_floor_only() -> None:
    world = World(LEASED_QUOTAS)
    assert started_attempts(world.ask("a", set_size=2)) == []
    (reported,) = world.gateway.budget_demands(world.now)
    assert reported.key.kind == "quota" and reported.needed == 1.0 and reported.demand > 0
    assert started_attempts(grant(world, "quota", 0.0, units=2.0)) == ["a"]  # one unit remains
    assert started_attempts(world.ask("b", set_size=2)) == ["b"]
    assert started_attempts(world.ask("c", set_size=2)) == []
    # No units were granted while the request waited.
    assert [action.id for action in of(RejectRequest, world.run(S))] == ["c"]
    floor_units_per_s = 10.0 * FLOOR_SHARE / 2  # needs no grant
    world.now += round(S / floor_units_per_s)
    assert started_attempts(world.ask("d", set_size=2)) == ["d"]
    assert started_attempts(world.ask("e", set_size=2)) == []


def test_granted_units_admit_as_many_waiting_requests_as_they_suffice_for() -> None:
    world = World(LEASED_QUOTAS)
    names = [f"a{n}" for n in range(5)]
    for name in names:
        world.ask(name, set_size=2)
    assert world.gateway.budget_demands(world.now)[0].needed == 5.0
    assert started_attempts(grant(world, "quota", 0.0, units=3.0)) == names[:3]
    assert world.gateway.budget_demands(world.now)[0].needed == 2.0
    assert started_attempts(grant(world, "quota", 0.0, units=2.0)) == names[3:]


def test_a_request_that_is_not_sent_gives_its_leased_unit_back() -> None:
    world = World(LEASED_QUOTAS, ())  # no servers
    world.ask("a", set_size=2)
    grant(world, "quota", 0.9, units=1.0)
    ((_, customer),) = world.gateway.customers.by_key.items()
    level = customer.leased["quota"].level
    world.tell(ClientDisconnected("a"))
    assert customer.leased["quota"].level == pytest.approx(level + 1.0)


def test_requests_in_flight_are_limited_by_their_lease() -> None:
    world = World(LEASED_IN_FLIGHT)
    world.ask("a", set_size=2)
    (reported,) = [
        reported for reported in world.gateway.budget_demands(world.now) if reported.key.kind == "open"
    ]
    assert reported.needed == 1.0 and reported.in_use == 0  # the floor of 10 for two gateways is 0.5
    assert started_attempts(grant(world, "open", 0.3)) == []  # the request still waits for its quota owner
    world.run(S)
    for number in range(5):
        world.ask(f"b{number}", set_size=2)
        world.run(S)
    ((_, customer),) = world.gateway.customers.by_key.items()
    assert customer.in_flight == 3
    (reported,) = [
        reported for reported in world.gateway.budget_demands(world.now) if reported.key.kind == "open"
    ]
    assert reported.in_use == 3 and reported.demand >= 3
    world.now += 10 * S
    # The lease has expired: requests in flight may end, and no new one is sent.
    assert not customer.refill(world.now).has_in_flight_room()
    not_leased = World(replace(LEASED_IN_FLIGHT, leases_in_flight=False))
    # Without leases, each of 17 gateways may have one in flight, although the limit is 10 in all.
    not_leased.ask("a", set_size=17)
    ((_, customer),) = not_leased.gateway.customers.by_key.items()
    assert customer.has_in_flight_room()


def test_a_request_that_waits_is_rejected_if_the_in_flight_lease_expires() -> None:
    plan = Plan(rate=1000.0, burst=1000.0, max_in_flight=10)
    world = World(replace(LEASED, leases_in_flight=True, leases_quotas=True, plans=(plan,)))
    world.ask("a", set_size=2)
    grant(world, "quota", 0.9, units=100.0)
    # There is room for one request: 1 by the lease and 0.5 by the floor.
    assert started_attempts(grant(world, "open", 0.1, duration_us=S // 10)) == ["a"]
    world.ask("b", set_size=2)
    world.run(S // 20)
    world.answer("a")  # makes room for "b", which is reconsidered only when its wait is over
    assert [action.id for action in of(RejectRequest, world.run(S))] == ["b"] and "b" not in world.tries


def test_the_reported_demand_is_the_recent_rate_of_requested_units_and_expires() -> None:
    world = gateway()
    for number in range(60):
        world.now += S // 10
        world.ask(f"r{number}", set_size=2)
    (reported,) = world.gateway.budget_demands(world.now)
    assert reported.demand == pytest.approx(10.0, rel=0.15)
    assert world.gateway.budget_demands(world.now + DEMAND_REPORTED_US) == []


def test_queued_requests_are_sent_as_ceiling_units_are_granted() -> None:
    world = World(LEASED)
    for number in range(10):
        world.ask(f"r{number}")
    assert world.gateway.overload.accepted_in_period == 0  # the share of the ceiling starts empty
    grant_ceiling(world, 0.9, units=4.0)
    assert world.gateway.overload.accepted_in_period == 4


def test_granted_units_are_used_by_queued_requests_before_any_are_returned() -> None:
    world = World(LEASED)
    for number in range(20):
        world.ask(f"r{number}")
    (reported,) = world.gateway.budget_demands(world.now)
    queued = len(world.gateway.queue)
    assert queued > 10 and reported.needed == queued  # the share of the ceiling starts empty
    grant_ceiling(world, 0.01, units=10.0)  # exceeds the capacity of this share, but more requests are queued
    assert world.gateway.overload.accepted_in_period == 10 and ceiling_level(world) == 0
    ((_, customer),) = world.gateway.customers.by_key.items()
    assert customer.leased["ceiling"].returned == 0
    (reported,) = world.gateway.budget_demands(world.now)
    assert reported.needed == queued - 10


LEASED_RETRIES = replace(SETTINGS, gateway_count=4, retry_rate=8.0, retry_burst=40.0, max_attempts=5)


def is_retried(world: World, name: str) -> bool:
    """Send a request whose first attempt fails; return whether it is retried."""
    world.ask(name, remaining_us=6 * S)
    return bool(of(StartAttempt, world.answer(name, AttemptResult.ERROR)))


def test_a_leased_retry_budget_allows_retries_by_granted_units_and_the_floor() -> None:
    world = World(LEASED_RETRIES)
    assert not is_retried(world, "a")  # the share of the budget starts empty
    (reported,) = world.gateway.budget_demands(world.now)
    assert reported.key is None and reported.demand > 0 and reported.needed == 1
    world.tell(BudgetGranted(None, 0.25, 2.0, world.now + 3 * S))
    assert is_retried(world, "b") and is_retried(world, "c") and not is_retried(world, "d")
    world.now += S // 2  # refills at 8 units a second times the granted 1/4 and the floor's 1/40
    assert is_retried(world, "e") and not is_retried(world, "f")
    world.now += 100 * S  # the lease has expired: the floor's 1/40 of the burst of 40 units
    assert is_retried(world, "g") and not is_retried(world, "h")
    assert world.gateway.budget_demands(world.now + DEMAND_REPORTED_US) == []
    other_budget = BudgetKey(BudgetKind.CEILING, 1, 0, 0, 2)
    world.tell(BudgetGranted(other_budget, 0.5, 9.0, world.now + S))
    assert not is_retried(world, "i")


def test_without_a_leased_budget_retries_are_limited_to_a_share_of_first_attempts() -> None:
    world = World(replace(LEASED_RETRIES, retry_rate=0.0))
    assert is_retried(world, "a") and world.gateway.budget_demands(world.now) == []
    world.tell(BudgetGranted(None, 0.25, 2.0, world.now + 3 * S))
    assert world.gateway.retry_budget.leased is None


@pytest.mark.parametrize(
    "values, expected_error",
    [
        ([], None),
        (3, "expected an object"),
        ({"secret_file": "/nowhere", "addresses": "x"}, "cannot read"),
        ({"secret_file": __file__, "addresses": "nowhere"}, "expected an address as host:port"),
        ({"secret_file": __file__, "addresses": "127.0.0.1:1", "lease_ms": 5}, "expected at least 500"),
        (
            {"secret_file": __file__, "addresses": "127.0.0.1:1", "further_attempts": 3},
            "expected a rate from 0",
        ),
        (
            {"secret_file": __file__, "addresses": "127.0.0.1:1", "further_attempts": {"rate": 1}},
            "expected a burst from",
        ),
        (
            {
                "secret_file": __file__,
                "addresses": "127.0.0.1:1",
                "further_attempts": {"rate": 1, "burst": 0.5},
            },
            "burst of at least 1",
        ),
        (
            {
                "secret_file": __file__,
                "addresses": "127.0.0.1:1",
                "further_attempts": {"rate": float("nan"), "burst": 1},
            },
            "expected a rate from 0",
        ),
        (
            {"secret_file": __file__, "addresses": "127.0.0.1:1", "quotas": 1},
            "expected true or false as quotas",
        ),
    ],
)
def test_malformed_budget_lease_settings_raise_an_error_that_names_what_was_expected(
    values: object, expected_error: str | None
) -> None:
    if expected_error is None:
        assert read_budget_leases(values) is None
        return
    with pytest.raises(ConfigError, match=expected_error):
        read_budget_leases(values)


@pytest.fixture(scope="module")
def lease_run() -> RunHistory:
    return play_once(load("leases"), 1, WORKING_TREE, lambda text: None)


def test_gateways_serve_by_leases_while_gateways_and_the_lease_service_are_killed(
    lease_run: RunHistory,
) -> None:
    """All gateways together exceed no ceiling; the floors alone would admit no request of that plan."""
    assert check(lease_run) == []
    gateways = {
        record["sides"][0]
        for record in lease_run.records_by_kind["open"]
        if record["link"] == "doors-steward"
    }
    assert gateways == {f"doors-{number}" for number in range(6)}
    assert {record["who"] for record in lease_run.records_by_kind["died"]} >= {"steward-0"}
    restarted_us = max(
        record["at"] for record in lease_run.records_by_kind["started"] if record["who"] == "steward-0"
    )
    arrivals_with_ceiling = [
        record["at"] for record in lease_run.records_by_kind["came"] if record["plan"] == "institution"
    ]
    assert len(arrivals_with_ceiling) > 50
    assert any(arrived_us > restarted_us + S for arrived_us in arrivals_with_ceiling)
