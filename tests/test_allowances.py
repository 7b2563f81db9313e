"""Ceilings by leases: what a gateway asks for, what it makes of grants, and doors with a real steward."""

import sys
from dataclasses import replace

import pytest

from tests.helpers import SETTINGS, S, World, of
from thistletrail.benchmarks.process import ROOT, Tree
from thistletrail.fault_injection.checks import Seen, check
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
    """One of two, which has been asked for its customer once."""
    world = World(LEASED)
    world.ask("first", set_size=2)
    return world


def allow(world: World, share: float, units: float = 0.0, lasts_us: int = 3 * S) -> None:
    ((key, _),) = world.gateway.customers.by_key.items()
    world.tell(BudgetGranted(BudgetKey(BudgetKind.CEILING, *key), share, units, world.now + lasts_us))


def ceiling(world: World) -> float:
    ((_, customer),) = world.gateway.customers.by_key.items()
    customer.refill(world.now)
    return customer.leased["ceiling"].level if customer.leased else customer.ceiling_bucket.level


def test_a_ceiling_is_the_floor_until_a_part_is_granted_and_after_its_lease() -> None:
    world = gateway()
    floor = FLOOR_SHARE / 2
    world.now += 100 * S
    assert ceiling(world) == pytest.approx(40.0 * floor)
    allow(world, 0.5)
    world.now += S
    assert ceiling(world) == pytest.approx(40.0 * floor + 20.0 * (0.5 + floor))
    world.now += 10 * S  # two seconds of them within the lease; then what the floor holds
    assert ceiling(world) == pytest.approx(40.0 * floor)


def test_units_come_at_the_granted_rate_up_to_the_leases_end_and_no_longer() -> None:
    world = gateway()
    allow(world, 0.25, lasts_us=S)
    ((_, customer),) = world.gateway.customers.by_key.items()
    customer.leased["ceiling"].expires_us = world.now + S
    world.now += S - 1
    assert ceiling(world) == pytest.approx(20.0 * (0.25 + FLOOR_SHARE / 2), rel=0.01)
    world.now += 1
    assert ceiling(world) == pytest.approx(40.0 * FLOOR_SHARE / 2)


def test_what_a_smaller_part_has_no_room_for_goes_back_in_whole_units() -> None:
    world = gateway()
    allow(world, 0.8, units=30.0)
    assert ceiling(world) == 30.0
    allow(world, 0.2)
    ((_, customer),) = world.gateway.customers.by_key.items()
    most = 40.0 * (0.2 + FLOOR_SHARE / 2)
    assert customer.leased["ceiling"].returned == int(30.0 - most) and ceiling(world) <= most
    (want,) = world.gateway.budget_demands(world.now)
    assert want.returned == customer.leased["ceiling"].returned
    allow(world, 0.2)
    assert world.gateway.budget_demands(world.now)[0].returned == 0  # told with one grant, and not again


def test_no_more_is_taken_than_leases_can_grant() -> None:
    world = gateway()
    allow(world, 7.0, units=1e9)
    assert ceiling(world) <= 40.0 * (1 - FLOOR_SHARE + FLOOR_SHARE / 2) + 1e-9
    stranger = BudgetGranted(BudgetKey(BudgetKind.CEILING, 1, 0, 0, 2), 0.5, 1.0, world.now + S)
    world.tell(stranger)  # of a customer that is not known here
    assert len(world.gateway.customers.by_key) == 1
    plain = World(replace(LEASED, leases_ceilings=False))
    plain.ask("first", set_size=2)
    before = ceiling(plain)
    allow(plain, 0.9, units=30.0)
    assert ceiling(plain) == before


QUOTAS = replace(LEASED, leases_quotas=True, plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),))
OPEN = replace(LEASED, leases_in_flight=True, plans=(Plan(rate=1000.0, burst=1000.0, max_in_flight=10),))


def grant(world: World, kind: str, share: float, units: float = 0.0, lasts_us: int = 3 * S) -> list[Action]:
    ((key, _),) = world.gateway.customers.by_key.items()
    return world.tell(BudgetGranted(BudgetKey(kind, *key), share, units, world.now + lasts_us))


def sent(actions: list[Action]) -> list[str]:
    return [action.id for action in of(StartAttempt, actions)]


def test_a_leased_quota_lets_nothing_through_but_units_that_were_granted() -> None:
    world = World(QUOTAS)
    assert sent(world.ask("a", set_size=2)) == []
    (want,) = world.gateway.budget_demands(world.now)
    assert want.key.kind == "quota" and want.needed == 1.0 and want.demand > 0
    assert sent(grant(world, "quota", 0.0, units=2.0)) == ["a"]  # and one is left
    assert sent(world.ask("b", set_size=2)) == ["b"]
    assert sent(world.ask("c", set_size=2)) == []
    assert [action.id for action in of(RejectRequest, world.run(S))] == ["c"]  # no units came in time
    floor = 10.0 * FLOOR_SHARE / 2  # units a second that nobody grants
    world.now += round(S / floor)
    assert sent(world.ask("d", set_size=2)) == ["d"] and sent(world.ask("e", set_size=2)) == []


def test_units_that_come_go_round_among_those_that_wait_and_no_further() -> None:
    world = World(QUOTAS)
    names = [f"a{n}" for n in range(5)]
    for name in names:
        world.ask(name, set_size=2)
    assert world.gateway.budget_demands(world.now)[0].needed == 5.0
    assert sent(grant(world, "quota", 0.0, units=3.0)) == names[:3]
    assert world.gateway.budget_demands(world.now)[0].needed == 2.0
    assert sent(grant(world, "quota", 0.0, units=2.0)) == names[3:]


def test_a_request_that_is_not_sent_gives_its_leased_unit_back() -> None:
    world = World(QUOTAS, ())  # nobody to send to
    world.ask("a", set_size=2)
    grant(world, "quota", 0.9, units=1.0)
    ((_, customer),) = world.gateway.customers.by_key.items()
    level = customer.leased["quota"].level
    world.tell(ClientDisconnected("a"))
    assert customer.leased["quota"].level == pytest.approx(level + 1.0)


def test_no_more_is_open_at_once_than_the_leases_allow() -> None:
    world = World(OPEN)
    world.ask("a", set_size=2)
    (want,) = [want for want in world.gateway.budget_demands(world.now) if want.key.kind == "open"]
    assert want.needed == 1.0 and want.in_use == 0  # the floor of ten over two is half of one
    assert sent(grant(world, "open", 0.3)) == []  # its home's word is still waited for
    world.run(S)
    for number in range(5):
        world.ask(f"b{number}", set_size=2)
        world.run(S)
    ((_, customer),) = world.gateway.customers.by_key.items()
    assert customer.in_flight == 3
    (want,) = [want for want in world.gateway.budget_demands(world.now) if want.key.kind == "open"]
    assert want.in_use == 3 and want.demand >= 3
    world.now += 10 * S
    assert not customer.refill(
        world.now
    ).has_in_flight_room()  # its lease is over; what is out ends by itself
    both = World(replace(OPEN, leases_in_flight=False))
    both.ask("a", set_size=17)  # without leases one is let out at each of 17 doors, of 10
    ((_, alone),) = both.gateway.customers.by_key.items()
    assert alone.has_in_flight_room()


def test_a_lease_that_ends_while_a_request_waits_lets_nothing_be_opened() -> None:
    plan = Plan(rate=1000.0, burst=1000.0, max_in_flight=10)
    world = World(replace(LEASED, leases_in_flight=True, leases_quotas=True, plans=(plan,)))
    world.ask("a", set_size=2)
    grant(world, "quota", 0.9, units=100.0)
    assert sent(grant(world, "open", 0.1, lasts_us=S // 10)) == ["a"]  # one, with the floor's half
    world.ask("b", set_size=2)
    world.run(S // 20)
    world.answer("a")  # there is room for it now, and nobody looks before its time to wait is over
    assert [action.id for action in of(RejectRequest, world.run(S))] == ["b"] and "b" not in world.tries


def test_what_is_asked_for_is_the_demand_lately() -> None:
    world = gateway()
    for number in range(60):
        world.now += S // 10
        world.ask(f"r{number}", set_size=2)
    (want,) = world.gateway.budget_demands(world.now)
    assert want.demand == pytest.approx(10.0, rel=0.15)
    assert world.gateway.budget_demands(world.now + DEMAND_REPORTED_US) == []


def test_requests_leave_by_the_granted_part() -> None:
    world = World(LEASED)
    for number in range(10):
        world.ask(f"r{number}")
    assert world.gateway.overload.accepted_in_period == 0  # the floor's store starts empty
    allow(world, 0.9, units=4.0)
    assert world.gateway.overload.accepted_in_period == 4


def test_units_that_requests_wait_for_are_told_and_go_to_them_before_any_goes_back() -> None:
    world = World(LEASED)
    for number in range(20):
        world.ask(f"r{number}")
    (want,) = world.gateway.budget_demands(world.now)
    held = len(world.gateway.queue)
    assert held > 10 and want.needed == held  # its store starts empty
    allow(world, 0.01, units=10.0)  # there is room for four of them; but more wait
    assert world.gateway.overload.accepted_in_period == 10 and ceiling(world) == 0
    ((_, customer),) = world.gateway.customers.by_key.items()
    assert customer.leased["ceiling"].returned == 0
    (want,) = world.gateway.budget_demands(world.now)
    assert want.needed == held - 10


FURTHER = replace(SETTINGS, gateway_count=4, retry_rate=8.0, retry_burst=40.0, max_attempts=5)


def failed(world: World, name: str) -> bool:
    """A request whose attempt fails: whether a further one is begun."""
    world.ask(name, remaining_us=6 * S)
    return bool(of(StartAttempt, world.answer(name, AttemptResult.ERROR)))


def test_further_attempts_of_all_gateways_live_on_what_was_granted_and_on_the_floor() -> None:
    world = World(FURTHER)
    assert not failed(world, "a")  # its store starts empty
    (want,) = world.gateway.budget_demands(world.now)
    assert want.key is None and want.demand > 0 and want.needed == 1
    world.tell(BudgetGranted(None, 0.25, 2.0, world.now + 3 * S))
    assert failed(world, "b") and failed(world, "c") and not failed(world, "d")
    world.now += S // 2  # at 8 a second, a quarter and the floor's fortieth
    assert failed(world, "e") and not failed(world, "f")
    world.now += 100 * S  # the lease is over: the floor's share of the burst, one of forty
    assert failed(world, "g") and not failed(world, "h")
    assert world.gateway.budget_demands(world.now + DEMAND_REPORTED_US) == []
    world.tell(
        BudgetGranted(BudgetKey(BudgetKind.CEILING, 1, 0, 0, 2), 0.5, 9.0, world.now + S)
    )  # of another budget
    assert not failed(world, "i")


def test_without_a_budget_further_attempts_live_on_a_share_of_first_ones() -> None:
    world = World(replace(FURTHER, retry_rate=0.0))
    assert failed(world, "a") and world.gateway.budget_demands(world.now) == []
    world.tell(BudgetGranted(None, 0.25, 2.0, world.now + 3 * S))
    assert world.gateway.retry_budget.leased is None


@pytest.mark.parametrize(
    "values, said",
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
def test_what_is_wrong_with_the_part_on_budget_leases_is_one_line(values: object, said: str | None) -> None:
    if said is None:
        assert read_budget_leases(values) is None
        return
    with pytest.raises(ConfigError, match=said):
        read_budget_leases(values)


@pytest.fixture(scope="module")
def leases() -> Seen:
    here = Tree(ROOT, f"exec {sys.executable} -m thistletrail.gateway", tells_costs=True)
    return play_once(load("leases"), 1, here, lambda text: None)


def test_front_doors_serve_by_leases_while_doors_and_steward_die(leases: Seen) -> None:
    """No ceiling is passed over all doors; what the floors hold alone would serve nobody of that plan."""
    assert check(leases) == []
    doors = {record["sides"][0] for record in leases.by["open"] if record["link"] == "doors-steward"}
    assert doors == {f"doors-{number}" for number in range(6)}
    assert {record["who"] for record in leases.by["died"]} >= {"steward-0"}
    back = max(record["at"] for record in leases.by["started"] if record["who"] == "steward-0")
    capped = [record["at"] for record in leases.by["came"] if record["plan"] == "institution"]
    assert len(capped) > 50 and any(at > back + S for at in capped)
