"""The state machine of fleet-wide budgets: division, leases, fences, floors, and the model checker."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistletrail.leasing.budget_holder import (
    BUDGET_IDLE_TIMEOUT_MS,
    MAX_UNANSWERED_REQUESTS,
    BudgetHolder,
    Demand,
)
from thistletrail.leasing.budget_state import (
    LEASE_MS,
    MAX_BUDGETS,
    MAX_BUDGETS_IN_REQUEST,
    MAX_HOLDERS,
    BudgetLimits,
    BudgetState,
    floor_share,
    leasable_total,
)
from thistletrail.leasing.errors import RequestRejectedError
from thistletrail.leasing.fair_division import bounded_step, divide
from thistletrail.leasing.messages import BudgetRequest, RenewRequest, RenewResponse
from thistletrail.leasing.model_checking.budget_faults import PLANTED_FAULTS, BudgetModel
from thistletrail.leasing.model_checking.budget_properties import violation
from thistletrail.leasing.model_checking.budget_transitions import EventKind, transitions
from thistletrail.leasing.model_checking.budget_world import first_world
from thistletrail.leasing.model_checking.budgets import check_all_walks, check_near_states, check_walks
from thistletrail.leasing.model_checking.search import Walks

NOW = 1_000_000
COUNT, RATE = BudgetLimits(100), BudgetLimits(10_000, 20)
CALM = settings(derandomize=True, deadline=None, database=None)


# --- division ---


@CALM
@given(
    st.integers(0, 10_000),
    st.dictionaries(st.text(max_size=3), st.integers(0, 5_000), max_size=30),
    st.integers(0, 1000),
)
def test_shares_add_up_to_the_total_and_are_max_min_fair(
    whole: int, demands: dict[str, int], turn: int
) -> None:
    shares = divide(whole, demands, turn)
    assert shares.keys() == demands.keys() and all(share >= 0 for share in shares.values())
    assert sum(shares.values()) == (whole if demands else 0)
    for name, share in shares.items():
        if share < demands[name]:  # it lacks: nobody has a unit more than it, beyond a rounding
            assert all(other <= share + 1 for other in shares.values())


def test_units_that_do_not_divide_go_round() -> None:
    """Five units among 17 gateways, each of which wants one: all get as much in the long run."""
    names = {f"d{n}": 1 for n in range(17)}
    total = dict.fromkeys(names, 0)
    for turn in range(17 * 20):
        for name, share in divide(5, names, turn).items():
            total[name] += share
    assert set(total.values()) == {5 * 20}


def test_a_lie_about_demand_is_worth_a_fair_share_at_most() -> None:
    shares = divide(1000, {"liar": 10**12, "a": 100, "b": 400, "c": 400})
    assert shares == {"liar": 300, "a": 100, "b": 300, "c": 300}


def test_a_share_grows_in_bounded_steps_and_shrinks_at_once() -> None:
    way = [0]
    while way[-1] < 900:
        way.append(bounded_step(way[-1], 900, 1000))
    assert way == [0, 250, 500, 750, 900]
    assert bounded_step(900, 10, 1000) == 10
    assert (
        bounded_step(100, 80, 1000) == 100 and bounded_step(100, 74, 1000) == 74
    )  # a little too large: it stays


# --- the checker ---


@pytest.mark.parametrize("is_first_holding_all", [False, True])
def test_all_states_of_a_small_fleet_hold(is_first_holding_all: bool) -> None:
    result = check_near_states(BudgetModel, 2, 2, 4, is_first_holding_all)
    assert result.violation == "" and result.states > 1500


def test_random_walks_of_a_larger_fleet_hold() -> None:
    result = check_walks(BudgetModel, 5, 2, Walks(12, 60, 3))
    assert result.violation == "" and result.states == 12 * 60


WALKS = (2, 1, Walks(1200, 30, 1))  # gateways, budgets, and the walks


def test_nothing_is_found_on_these_walks_where_nothing_is_planted() -> None:
    result = check_all_walks(BudgetModel, *WALKS)
    assert result.violation == "", result.trace
    assert result.states > 30_000


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda fault: fault.name)
def test_a_planted_fault_is_found(fault: type[BudgetModel]) -> None:
    result = check_all_walks(fault, *WALKS)
    assert result.violation and result.trace


def test_the_checker_sees_each_kind_of_event() -> None:
    first = first_world(BudgetModel, 2, 2, True)
    kinds = {transition.kind for transition in transitions(first)}
    assert {
        EventKind.TIME,
        EventKind.SEND_REQUEST,
        EventKind.SPEND,
        EventKind.RESTART_GATEWAY,
        EventKind.RECOVER_SERVICE,
        EventKind.LOSE_SERVICE,
    } <= kinds
    (requested,) = [
        transition.apply()
        for transition in transitions(first)
        if transition.event == "gateway 1 (incarnation 1) sends a request"
    ]
    assert any(
        transition.event.startswith("another lease service takes over")
        for transition in transitions(requested)
    )
    assert violation(first_world(BudgetModel, 2, 2, True)) == ""


# --- the state machine by itself ---


def state(**terms: BudgetLimits) -> BudgetState:
    found = BudgetState(1000, NOW, 0)
    for name, one in (terms or {"open": COUNT, "rate": RATE}).items():
        found.set_limits(name, one, NOW)
    return found


def holder(
    gateway: int, incarnation: int = 1, gateways: int = 10, demand: int = 1000, **terms: BudgetLimits
) -> BudgetHolder:
    found = BudgetHolder(gateway, incarnation, gateways)
    for name, one in (terms or {"open": COUNT, "rate": RATE}).items():
        found.set_demand(name, one, Demand(demand), NOW)
    return found


def renew(service: BudgetState, *holders: BudgetHolder, now: int = NOW, times: int = 1) -> None:
    for _ in range(times):
        for one in holders:
            for lease in one.leases.values():
                lease.last_demand_ms = now
            one.on_response(service.renew(one.next_request(now), now), now)


def leased(one: BudgetHolder, budget: str, now: int = NOW) -> int:
    lease = one.leases[budget]
    return lease.share if now < lease.until_ms else 0


def test_two_gateways_settle_at_half_each_and_a_third_makes_them_share() -> None:
    service, first, second, third = state(), holder(0), holder(1), holder(2)
    renew(service, first, times=5)
    assert leased(first, "open") == leasable_total(100) == 90
    renew(service, first, second, times=6)
    assert {leased(first, "open"), leased(second, "open")} == {45}
    renew(service, first, second, third, times=8)
    assert [leased(one, "open") for one in (first, second, third)] == [30, 30, 30]


def test_the_share_of_a_dead_gateway_is_in_use_elsewhere_after_its_lease() -> None:
    service, first, second = state(), holder(0), holder(1)
    renew(service, first, second, times=6)
    for now in range(NOW + 1000, NOW + LEASE_MS, 1000):
        renew(service, second, now=now)
        assert leased(second, "open", now) <= 45  # what the dead one may still rely on is reserved
    for step in range(4):
        renew(service, second, now=NOW + LEASE_MS + 1000 * step)
    assert leased(second, "open", NOW + LEASE_MS + 3000) == 90


def test_a_new_incarnation_does_not_get_the_old_ones_share_before_it_has_expired() -> None:
    service, old = state(), holder(0, incarnation=1)
    renew(service, old, times=5)
    fresh = holder(0, incarnation=2)
    renew(service, fresh, now=NOW + 1000)
    assert leased(fresh, "open", NOW + 1000) == 0 and leased(old, "open", NOW + 1000) == 90
    for step in range(5):
        renew(service, fresh, now=NOW + LEASE_MS + 1000 * step)
    assert leased(fresh, "open", NOW + LEASE_MS + 4000) == 90
    assert leased(old, "open", NOW + LEASE_MS + 4000) == 0  # a paused one that wakes looks at its clock


def test_a_response_after_its_lease_or_of_another_incarnation_is_of_no_use() -> None:
    service, one = state(), holder(0)
    request = one.next_request(NOW)
    response = service.renew(request, NOW)
    assert not one.on_response(response, NOW + LEASE_MS) and leased(one, "open") == 0
    request = one.next_request(NOW)
    response = service.renew(request, NOW)
    assert not holder(0, incarnation=9).on_response(response, NOW)
    assert one.on_response(response, NOW + LEASE_MS // 2) and not one.on_response(
        response, NOW + LEASE_MS // 2
    )
    # The lease counts from before the request was sent, and ends early.
    assert NOW + 0.9 * LEASE_MS < one.leases["open"].until_ms < NOW + LEASE_MS


def test_the_same_request_again_and_older_ones_are_granted_nothing() -> None:
    service, one = state(), holder(0)
    first, second = one.next_request(NOW), one.next_request(NOW)
    assert service.renew(second, NOW).grants
    assert not service.renew(first, NOW).grants and not service.renew(second, NOW).grants


def test_without_the_lease_service_there_is_the_floor_and_back_without_a_jump() -> None:
    service, one = state(), holder(0)
    renew(service, one, times=5)
    assert one.usable_share("open", NOW) == 90 + 1
    gone = NOW + LEASE_MS
    assert one.usable_share("open", gone) == floor_share(100, 10) == 1
    renew(service, one, now=gone + 5000)
    assert one.usable_share("open", gone + 5000) <= 1 + 25  # a step at a time
    assert 10 * floor_share(100, 10) + leasable_total(100) == 100


def test_nothing_is_granted_after_a_loss_until_the_longest_lease_is_over() -> None:
    service, one = BudgetState(2000, NOW, 10_000), holder(0)
    for name, terms in (("open", COUNT), ("rate", RATE)):
        service.set_limits(name, terms, NOW)
    renew(service, one, now=NOW + 9_999)
    assert leased(one, "open", NOW + 9_999) == 0
    renew(service, one, now=NOW + 10_000)
    assert leased(one, "open", NOW + 10_000) > 0


def test_a_smaller_total_is_reached_as_holders_acknowledge_or_expire() -> None:
    service, first, second = state(), holder(0), holder(1)
    renew(service, first, second, times=6)
    service.set_limits("open", BudgetLimits(20), NOW)
    renew(service, first)
    assert leased(first, "open") + leased(second, "open") <= 90
    renew(service, first, second, times=3)
    assert leased(first, "open") + leased(second, "open") <= leasable_total(20)


def need(units: int, *holders: BudgetHolder) -> None:
    for one in holders:
        one.leases["rate"].needed_units = units


def test_units_come_in_at_the_rate_and_stores_and_pool_hold_the_burst() -> None:
    service, one, two = state(), holder(0), holder(1)
    need(10, one, two)
    spent, now = 0, NOW
    for step in range(200):
        now = NOW + 100 * step
        if step % 2 == 0:  # as gateways do that wait for units
            renew(service, one, two, now=now)
        for who in (one, two):
            while who.spend("rate", 1, now):
                spent += 1
    came = 10 * (now - NOW) / 1000
    assert 0.85 * came < spent <= came
    need(0, one, two)
    idle = NOW + 20_000 + 100_000
    for step in range(30):
        renew(service, one, two, now=idle + 1000 * step)
    at_once = 0
    need(10, one, two)
    for _ in range(10):
        for who in (one, two):
            while who.spend("rate", 1, idle + 29_000):
                at_once += 1
        renew(service, one, two, now=idle + 29_000)
    assert 0.8 * RATE.burst <= at_once <= RATE.burst


def test_a_need_is_met_from_the_pool_and_leaves_half_of_it_for_others() -> None:
    service, one, two = state(), holder(0), holder(1)
    for step in range(10):  # shares settle, and the pool fills
        renew(service, one, two, now=NOW + 1000 * step)
    later = NOW + 9000
    there = service.budgets["rate"].pool_thousandths // 1000
    assert there >= 2
    need(100, one)
    (grant,) = [one for one in service.renew(one.next_request(later), later).grants if one.budget == "rate"]
    assert grant.units == there // 2
    need(1, two)
    (grant,) = [one for one in service.renew(two.next_request(later), later).grants if one.budget == "rate"]
    assert grant.units == 1
    need(0, one)
    (grant,) = [one for one in service.renew(one.next_request(later), later).grants if one.budget == "rate"]
    assert grant.units == 0


def test_requests_and_state_are_bounded() -> None:
    service, one = state(), holder(0)
    requests = tuple(BudgetRequest(budget="open", demand=1) for _ in range(MAX_BUDGETS_IN_REQUEST + 1))
    with pytest.raises(RequestRejectedError, match="2000 budgets at most"):
        service.renew(RenewRequest(gateway=0, incarnation=1, serial=1, budgets=requests), NOW)
    for number in range(MAX_HOLDERS):
        service.renew(RenewRequest(gateway=number, incarnation=1, serial=1), NOW)
    with pytest.raises(RequestRejectedError, match="holders already"):
        service.renew(RenewRequest(gateway=MAX_HOLDERS, incarnation=1, serial=1), NOW)
    service.expire(NOW + LEASE_MS + 1)
    assert not service.last_requests
    for _ in range(50):
        one.next_request(NOW)
    assert len(one.sent_ms) == MAX_UNANSWERED_REQUESTS
    service.budgets = dict.fromkeys(range(MAX_BUDGETS))
    with pytest.raises(RequestRejectedError, match="budgets already"):
        service.set_limits("one more", COUNT, NOW)
    odd = BudgetRequest(budget="open", demand=-5, fence=-1, returned_units=10**18)
    fresh = state()
    grant = fresh.renew_budget("0/1", odd, NOW)
    assert grant is not None and fresh.budgets["open"].holdings["0/1"].demand == 0


def test_a_budget_without_demand_is_dropped() -> None:
    one = holder(0)
    assert len(one.next_request(NOW + BUDGET_IDLE_TIMEOUT_MS).budgets) == 2
    assert (
        one.next_request(NOW + BUDGET_IDLE_TIMEOUT_MS + 1).budgets == ()
        and one.usable_share("open", NOW) == 0
    )
    assert not one.spend("rate", 1, NOW)


@CALM
@given(st.integers(0, 10_000), st.integers(2, 12))
def test_drift_pauses_and_losses_never_make_it_more_than_the_total(seed: int, count: int) -> None:
    """Holders whose clocks drift by 1 in 1,000 either way, who pause, start again and lose answers."""
    chance = random.Random(seed)
    service = state()
    holders = [holder(n, gateways=20) for n in range(count)]
    rates = [1 + chance.uniform(-1e-3, 1e-3) for _ in range(count)]
    for step in range(120):
        now = NOW + 250 * step
        clocks = [NOW + int(250 * step * rate) for rate in rates]
        for number, one in enumerate(holders):
            fate = chance.random()
            if fate < 0.02:
                holders[number] = holder(number, incarnation=step + 2, gateways=20)
            elif fate < 0.5:
                for lease in one.leases.values():
                    lease.last_demand_ms = clocks[number]
                    lease.demand = chance.randrange(0, 200)
                response = service.renew(one.next_request(clocks[number]), now)
                if chance.random() < 0.8:
                    one.on_response(response, clocks[number])
        for name, whole in (("open", 100), ("rate", 10_000)):
            held = sum(leased(one, name, clock) for one, clock in zip(holders, clocks, strict=True))
            assert held <= leasable_total(whole)


def test_a_response_without_grants_is_accepted_and_changes_nothing() -> None:
    one = holder(0)
    serial = one.next_request(NOW).serial
    assert one.on_response(RenewResponse(gateway=0, incarnation=1, serial=serial, lease_ms=LEASE_MS), NOW)
    assert one.usable_share("open", NOW) == floor_share(100, 10)
