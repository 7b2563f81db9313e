"""Tests of leased budgets: reported demand, use of grants, and gateways with a running lease service."""

from dataclasses import replace

import pytest

from tests.helpers import SECOND_US, SETTINGS, WORKING_TREE, GatewayHarness, actions_of_type
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


def gateway() -> GatewayHarness:
    """Return one of two gateways, with a customer that has sent it one request."""
    world = GatewayHarness(LEASED)
    world.send_request("first", set_size=2)
    return world


def grant_ceiling(
    world: GatewayHarness, share: float, units: float = 0.0, duration_us: int = 3 * SECOND_US
) -> None:
    ((key, _),) = world.engine.customers.by_key.items()
    world.handle(BudgetGranted(BudgetKey(BudgetKind.CEILING, *key), share, units, world.now_us + duration_us))


def ceiling_level(world: GatewayHarness) -> float:
    ((_, customer),) = world.engine.customers.by_key.items()
    customer.refill(world.now_us)
    return customer.leased["ceiling"].level if customer.leased else customer.ceiling_bucket.level


def test_a_leased_ceiling_is_the_floor_before_and_after_a_lease() -> None:
    world = gateway()
    floor = FLOOR_SHARE / 2
    world.now_us += 100 * SECOND_US
    assert ceiling_level(world) == pytest.approx(40.0 * floor)
    grant_ceiling(world, 0.5)
    world.now_us += SECOND_US
    assert ceiling_level(world) == pytest.approx(40.0 * floor + 20.0 * (0.5 + floor))
    # The lease expires after two of these seconds; the capacity is the floor's again.
    world.now_us += 10 * SECOND_US
    assert ceiling_level(world) == pytest.approx(40.0 * floor)


def test_a_leased_ceiling_is_refilled_at_the_granted_rate_until_the_lease_expires() -> None:
    world = gateway()
    grant_ceiling(world, 0.25, duration_us=SECOND_US)
    ((_, customer),) = world.engine.customers.by_key.items()
    customer.leased["ceiling"].expires_us = world.now_us + SECOND_US
    world.now_us += SECOND_US - 1
    assert ceiling_level(world) == pytest.approx(20.0 * (0.25 + FLOOR_SHARE / 2), rel=0.01)
    world.now_us += 1
    assert ceiling_level(world) == pytest.approx(40.0 * FLOOR_SHARE / 2)


def test_units_beyond_the_capacity_of_a_smaller_share_are_returned_rounded_down() -> None:
    world = gateway()
    grant_ceiling(world, 0.8, units=30.0)
    assert ceiling_level(world) == 30.0
    grant_ceiling(world, 0.2)
    ((_, customer),) = world.engine.customers.by_key.items()
    capacity = 40.0 * (0.2 + FLOOR_SHARE / 2)
    assert customer.leased["ceiling"].returned == int(30.0 - capacity) and ceiling_level(world) <= capacity
    (reported,) = world.engine.budget_demands(world.now_us)
    assert reported.returned == customer.leased["ceiling"].returned
    grant_ceiling(world, 0.2)
    assert world.engine.budget_demands(world.now_us)[0].returned == 0  # units are returned only once


def test_a_grant_is_limited_to_the_budget_and_applies_to_known_leased_budgets_only() -> None:
    world = gateway()
    grant_ceiling(world, 7.0, units=1e9)
    assert ceiling_level(world) <= 40.0 * (1 - FLOOR_SHARE + FLOOR_SHARE / 2) + 1e-9
    other_customer = BudgetKey(BudgetKind.CEILING, 1, 0, 0, 2)  # a customer that has sent no request here
    world.handle(BudgetGranted(other_customer, 0.5, 1.0, world.now_us + SECOND_US))
    assert len(world.engine.customers.by_key) == 1
    not_leased = GatewayHarness(replace(LEASED, leases_ceilings=False))
    not_leased.send_request("first", set_size=2)
    level_before = ceiling_level(not_leased)
    grant_ceiling(not_leased, 0.9, units=30.0)
    assert ceiling_level(not_leased) == level_before


LEASED_QUOTAS = replace(LEASED, leases_quotas=True, plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),))
LEASED_IN_FLIGHT = replace(
    LEASED, leases_in_flight=True, plans=(Plan(rate=1000.0, burst=1000.0, max_in_flight=10),)
)


def grant(
    world: GatewayHarness, kind: str, share: float, units: float = 0.0, duration_us: int = 3 * SECOND_US
) -> list[Action]:
    ((key, _),) = world.engine.customers.by_key.items()
    return world.handle(BudgetGranted(BudgetKey(kind, *key), share, units, world.now_us + duration_us))


def started_attempts(actions: list[Action]) -> list[str]:
    return [action.id for action in actions_of_type(StartAttempt, actions)]


def test_a_leased_quota_admits_requests_by_granted_units_and_the_floor_only() -> None:
    world = GatewayHarness(LEASED_QUOTAS)
    assert started_attempts(world.send_request("a", set_size=2)) == []
    (reported,) = world.engine.budget_demands(world.now_us)
    assert reported.key.kind == "quota" and reported.needed == 1.0 and reported.demand > 0
    assert started_attempts(grant(world, "quota", 0.0, units=2.0)) == ["a"]  # one unit remains
    assert started_attempts(world.send_request("b", set_size=2)) == ["b"]
    assert started_attempts(world.send_request("c", set_size=2)) == []
    # No units were granted while the request waited.
    assert [action.id for action in actions_of_type(RejectRequest, world.advance(SECOND_US))] == ["c"]
    floor_units_per_s = 10.0 * FLOOR_SHARE / 2  # needs no grant
    world.now_us += round(SECOND_US / floor_units_per_s)
    assert started_attempts(world.send_request("d", set_size=2)) == ["d"]
    assert started_attempts(world.send_request("e", set_size=2)) == []


def test_granted_units_admit_as_many_waiting_requests_as_they_suffice_for() -> None:
    world = GatewayHarness(LEASED_QUOTAS)
    names = [f"a{n}" for n in range(5)]
    for name in names:
        world.send_request(name, set_size=2)
    assert world.engine.budget_demands(world.now_us)[0].needed == 5.0
    assert started_attempts(grant(world, "quota", 0.0, units=3.0)) == names[:3]
    assert world.engine.budget_demands(world.now_us)[0].needed == 2.0
    assert started_attempts(grant(world, "quota", 0.0, units=2.0)) == names[3:]


def test_a_request_that_is_not_sent_gives_its_leased_unit_back() -> None:
    world = GatewayHarness(LEASED_QUOTAS, ())  # no servers
    world.send_request("a", set_size=2)
    grant(world, "quota", 0.9, units=1.0)
    ((_, customer),) = world.engine.customers.by_key.items()
    level = customer.leased["quota"].level
    world.handle(ClientDisconnected("a"))
    assert customer.leased["quota"].level == pytest.approx(level + 1.0)


def test_requests_in_flight_are_limited_by_their_lease() -> None:
    world = GatewayHarness(LEASED_IN_FLIGHT)
    world.send_request("a", set_size=2)
    (reported,) = [
        reported for reported in world.engine.budget_demands(world.now_us) if reported.key.kind == "open"
    ]
    assert reported.needed == 1.0 and reported.in_use == 0  # the floor of 10 for two gateways is 0.5
    assert started_attempts(grant(world, "open", 0.3)) == []  # the request still waits for its quota owner
    world.advance(SECOND_US)
    for number in range(5):
        world.send_request(f"b{number}", set_size=2)
        world.advance(SECOND_US)
    ((_, customer),) = world.engine.customers.by_key.items()
    assert customer.in_flight == 3
    (reported,) = [
        reported for reported in world.engine.budget_demands(world.now_us) if reported.key.kind == "open"
    ]
    assert reported.in_use == 3 and reported.demand >= 3
    world.now_us += 10 * SECOND_US
    # The lease has expired: requests in flight may end, and no new one is sent.
    assert not customer.refill(world.now_us).has_in_flight_room()
    not_leased = GatewayHarness(replace(LEASED_IN_FLIGHT, leases_in_flight=False))
    # Without leases, each of 17 gateways may have one in flight, although the limit is 10 in all.
    not_leased.send_request("a", set_size=17)
    ((_, customer),) = not_leased.engine.customers.by_key.items()
    assert customer.has_in_flight_room()


def test_a_request_that_waits_is_rejected_if_the_in_flight_lease_expires() -> None:
    plan = Plan(rate=1000.0, burst=1000.0, max_in_flight=10)
    world = GatewayHarness(replace(LEASED, leases_in_flight=True, leases_quotas=True, plans=(plan,)))
    world.send_request("a", set_size=2)
    grant(world, "quota", 0.9, units=100.0)
    # There is room for one request: 1 by the lease and 0.5 by the floor.
    assert started_attempts(grant(world, "open", 0.1, duration_us=SECOND_US // 10)) == ["a"]
    world.send_request("b", set_size=2)
    world.advance(SECOND_US // 20)
    world.complete_attempt("a")  # makes room for "b", which is reconsidered only when its wait is over
    assert [action.id for action in actions_of_type(RejectRequest, world.advance(SECOND_US))] == [
        "b"
    ] and "b" not in world.attempt_counts


def test_the_reported_demand_is_the_recent_rate_of_requested_units_and_expires() -> None:
    world = gateway()
    for number in range(60):
        world.now_us += SECOND_US // 10
        world.send_request(f"r{number}", set_size=2)
    (reported,) = world.engine.budget_demands(world.now_us)
    assert reported.demand == pytest.approx(10.0, rel=0.15)
    assert world.engine.budget_demands(world.now_us + DEMAND_REPORTED_US) == []


def test_queued_requests_are_sent_as_ceiling_units_are_granted() -> None:
    world = GatewayHarness(LEASED)
    for number in range(10):
        world.send_request(f"r{number}")
    assert world.engine.overload.accepted_in_period == 0  # the share of the ceiling starts empty
    grant_ceiling(world, 0.9, units=4.0)
    assert world.engine.overload.accepted_in_period == 4


def test_granted_units_are_used_by_queued_requests_before_any_are_returned() -> None:
    world = GatewayHarness(LEASED)
    for number in range(20):
        world.send_request(f"r{number}")
    (reported,) = world.engine.budget_demands(world.now_us)
    queued = len(world.engine.queue)
    assert queued > 10 and reported.needed == queued  # the share of the ceiling starts empty
    grant_ceiling(world, 0.01, units=10.0)  # exceeds the capacity of this share, but more requests are queued
    assert world.engine.overload.accepted_in_period == 10 and ceiling_level(world) == 0
    ((_, customer),) = world.engine.customers.by_key.items()
    assert customer.leased["ceiling"].returned == 0
    (reported,) = world.engine.budget_demands(world.now_us)
    assert reported.needed == queued - 10


LEASED_RETRIES = replace(SETTINGS, gateway_count=4, retry_rate=8.0, retry_burst=40.0, max_attempts=5)


def is_retried(world: GatewayHarness, name: str) -> bool:
    """Send a request whose first attempt fails; return whether it is retried."""
    world.send_request(name, remaining_us=6 * SECOND_US)
    return bool(actions_of_type(StartAttempt, world.complete_attempt(name, AttemptResult.ERROR)))


def test_a_leased_retry_budget_allows_retries_by_granted_units_and_the_floor() -> None:
    world = GatewayHarness(LEASED_RETRIES)
    assert not is_retried(world, "a")  # the share of the budget starts empty
    (reported,) = world.engine.budget_demands(world.now_us)
    assert reported.key is None and reported.demand > 0 and reported.needed == 1
    world.handle(BudgetGranted(None, 0.25, 2.0, world.now_us + 3 * SECOND_US))
    assert is_retried(world, "b") and is_retried(world, "c") and not is_retried(world, "d")
    world.now_us += SECOND_US // 2  # refills at 8 units a second times the granted 1/4 and the floor's 1/40
    assert is_retried(world, "e") and not is_retried(world, "f")
    world.now_us += 100 * SECOND_US  # the lease has expired: the floor's 1/40 of the burst of 40 units
    assert is_retried(world, "g") and not is_retried(world, "h")
    assert world.engine.budget_demands(world.now_us + DEMAND_REPORTED_US) == []
    other_budget = BudgetKey(BudgetKind.CEILING, 1, 0, 0, 2)
    world.handle(BudgetGranted(other_budget, 0.5, 9.0, world.now_us + SECOND_US))
    assert not is_retried(world, "i")


def test_without_a_leased_budget_retries_are_limited_to_a_share_of_first_attempts() -> None:
    world = GatewayHarness(replace(LEASED_RETRIES, retry_rate=0.0))
    assert is_retried(world, "a") and world.engine.budget_demands(world.now_us) == []
    world.handle(BudgetGranted(None, 0.25, 2.0, world.now_us + 3 * SECOND_US))
    assert world.engine.retry_budget.leased is None


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
    assert any(arrived_us > restarted_us + SECOND_US for arrived_us in arrivals_with_ceiling)
