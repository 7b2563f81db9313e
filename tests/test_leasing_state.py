"""Tests of the state machine of fleet-wide budgets: division, leases, fences, floors, the model checker."""

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
from thistletrail.leasing.model_checking.budget_properties import find_violation
from thistletrail.leasing.model_checking.budget_transitions import EventKind, transitions
from thistletrail.leasing.model_checking.budget_world import initial_world
from thistletrail.leasing.model_checking.budgets import check_all_walks, check_near_states, check_walks
from thistletrail.leasing.model_checking.search import Walks

NOW = 1_000_000
COUNT, RATE = BudgetLimits(100), BudgetLimits(10_000, 20)
DETERMINISTIC = settings(derandomize=True, deadline=None, database=None)


# --- division ---


@DETERMINISTIC
@given(
    st.integers(0, 10_000),
    st.dictionaries(st.text(max_size=3), st.integers(0, 5_000), max_size=30),
    st.integers(0, 1000),
)
def test_shares_add_up_to_the_total_and_are_max_min_fair(
    total: int, demands: dict[str, int], turn: int
) -> None:
    shares = divide(total, demands, turn)
    assert shares.keys() == demands.keys() and all(share >= 0 for share in shares.values())
    assert sum(shares.values()) == (total if demands else 0)
    for name, share in shares.items():
        if share < demands[name]:  # unsatisfied: no other share is larger, but for the rounding remainder
            assert all(other <= share + 1 for other in shares.values())


def test_indivisible_units_rotate_among_names() -> None:
    """Five units are divided among 17 gateways that each demand one; over many divisions all get the same."""
    names = {f"d{n}": 1 for n in range(17)}
    total = dict.fromkeys(names, 0)
    for turn in range(17 * 20):
        for name, share in divide(5, names, turn).items():
            total[name] += share
    assert set(total.values()) == {5 * 20}


def test_excessive_demand_gets_no_more_than_a_fair_share() -> None:
    shares = divide(1000, {"liar": 10**12, "a": 100, "b": 400, "c": 400})
    assert shares == {"liar": 300, "a": 100, "b": 300, "c": 300}


def test_a_share_grows_in_bounded_steps_and_shrinks_at_once() -> None:
    steps = [0]
    while steps[-1] < 900:
        steps.append(bounded_step(steps[-1], 900, 1000))
    assert steps == [0, 250, 500, 750, 900]
    assert bounded_step(900, 10, 1000) == 10
    # A share that is at most a quarter too large does not change.
    assert bounded_step(100, 80, 1000) == 100 and bounded_step(100, 74, 1000) == 74


# --- the checker ---


@pytest.mark.parametrize("is_first_holding_all", [False, True])
def test_all_states_of_a_small_fleet_satisfy_the_properties(is_first_holding_all: bool) -> None:
    result = check_near_states(BudgetModel, 2, 2, 4, is_first_holding_all)
    assert result.violation == "" and result.states > 1500


def test_random_walks_of_a_larger_fleet_satisfy_the_properties() -> None:
    result = check_walks(BudgetModel, 5, 2, Walks(12, 60, 3))
    assert result.violation == "" and result.states == 12 * 60


WALKS = (2, 1, Walks(1200, 30, 1))  # gateways, budgets, and the walks


def test_walks_without_a_planted_fault_find_no_violation() -> None:
    result = check_all_walks(BudgetModel, *WALKS)
    assert result.violation == "", result.trace
    assert result.states > 30_000


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda fault: fault.name)
def test_a_planted_fault_violates_a_property(fault: type[BudgetModel]) -> None:
    result = check_all_walks(fault, *WALKS)
    assert result.violation and result.trace


def test_the_model_has_each_kind_of_event() -> None:
    first = initial_world(BudgetModel, 2, 2, True)
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
    assert find_violation(initial_world(BudgetModel, 2, 2, True)) == ""


# --- the state machine alone ---


def make_state(**limits_by_name: BudgetLimits) -> BudgetState:
    service = BudgetState(1000, NOW, 0)
    for name, limits in (limits_by_name or {"open": COUNT, "rate": RATE}).items():
        service.set_limits(name, limits, NOW)
    return service


def make_holder(
    gateway: int, incarnation: int = 1, gateways: int = 10, demand: int = 1000, **limits_by_name: BudgetLimits
) -> BudgetHolder:
    created = BudgetHolder(gateway, incarnation, gateways)
    for name, limits in (limits_by_name or {"open": COUNT, "rate": RATE}).items():
        created.set_demand(name, limits, Demand(demand), NOW)
    return created


def renew(service: BudgetState, *holders: BudgetHolder, now: int = NOW, times: int = 1) -> None:
    for _ in range(times):
        for holder in holders:
            for lease in holder.leases.values():
                lease.last_demand_ms = now
            holder.on_response(service.renew(holder.next_request(now), now), now)


def leased_share(holder: BudgetHolder, budget: str, now: int = NOW) -> int:
    lease = holder.leases[budget]
    return lease.share if now < lease.until_ms else 0


def test_two_and_three_gateways_converge_to_equal_shares() -> None:
    service, first, second, third = make_state(), make_holder(0), make_holder(1), make_holder(2)
    renew(service, first, times=5)
    assert leased_share(first, "open") == leasable_total(100) == 90
    renew(service, first, second, times=6)
    assert {leased_share(first, "open"), leased_share(second, "open")} == {45}
    renew(service, first, second, third, times=8)
    assert [leased_share(holder, "open") for holder in (first, second, third)] == [30, 30, 30]


def test_the_share_of_a_dead_gateway_goes_to_others_after_its_lease() -> None:
    service, first, second = make_state(), make_holder(0), make_holder(1)
    renew(service, first, second, times=6)
    for now in range(NOW + 1000, NOW + LEASE_MS, 1000):
        renew(service, second, now=now)
        # The share that the dead gateway may still use stays reserved.
        assert leased_share(second, "open", now) <= 45
    for step in range(4):
        renew(service, second, now=NOW + LEASE_MS + 1000 * step)
    assert leased_share(second, "open", NOW + LEASE_MS + 3000) == 90


def test_a_new_incarnation_gets_the_old_ones_share_only_after_its_lease() -> None:
    service, old = make_state(), make_holder(0, incarnation=1)
    renew(service, old, times=5)
    fresh = make_holder(0, incarnation=2)
    renew(service, fresh, now=NOW + 1000)
    assert leased_share(fresh, "open", NOW + 1000) == 0 and leased_share(old, "open", NOW + 1000) == 90
    for step in range(5):
        renew(service, fresh, now=NOW + LEASE_MS + 1000 * step)
    assert leased_share(fresh, "open", NOW + LEASE_MS + 4000) == 90
    # A paused gateway reads the clock when it resumes.
    assert leased_share(old, "open", NOW + LEASE_MS + 4000) == 0


def test_a_response_after_its_lease_or_of_another_incarnation_is_ignored() -> None:
    service, holder = make_state(), make_holder(0)
    request = holder.next_request(NOW)
    response = service.renew(request, NOW)
    assert not holder.on_response(response, NOW + LEASE_MS) and leased_share(holder, "open") == 0
    request = holder.next_request(NOW)
    response = service.renew(request, NOW)
    assert not make_holder(0, incarnation=9).on_response(response, NOW)
    assert holder.on_response(response, NOW + LEASE_MS // 2) and not holder.on_response(
        response, NOW + LEASE_MS // 2
    )
    # The lease counts from before the request was sent, and ends early.
    assert NOW + 0.9 * LEASE_MS < holder.leases["open"].until_ms < NOW + LEASE_MS


def test_repeated_and_overtaken_requests_get_no_grants() -> None:
    service, holder = make_state(), make_holder(0)
    first, second = holder.next_request(NOW), holder.next_request(NOW)
    assert service.renew(second, NOW).grants
    assert not service.renew(first, NOW).grants and not service.renew(second, NOW).grants


def test_the_floor_applies_without_the_lease_service_and_shares_return_in_steps() -> None:
    service, holder = make_state(), make_holder(0)
    renew(service, holder, times=5)
    assert holder.usable_share("open", NOW) == 90 + 1
    expired = NOW + LEASE_MS
    assert holder.usable_share("open", expired) == floor_share(100, 10) == 1
    renew(service, holder, now=expired + 5000)
    assert holder.usable_share("open", expired + 5000) <= 1 + 25  # one step per renewal
    assert 10 * floor_share(100, 10) + leasable_total(100) == 100


def test_a_new_history_grants_nothing_until_the_longest_lease_has_ended() -> None:
    service, holder = BudgetState(2000, NOW, 10_000), make_holder(0)
    for name, limits in (("open", COUNT), ("rate", RATE)):
        service.set_limits(name, limits, NOW)
    renew(service, holder, now=NOW + 9_999)
    assert leased_share(holder, "open", NOW + 9_999) == 0
    renew(service, holder, now=NOW + 10_000)
    assert leased_share(holder, "open", NOW + 10_000) > 0


def test_a_smaller_total_is_reached_as_holders_acknowledge_or_expire() -> None:
    service, first, second = make_state(), make_holder(0), make_holder(1)
    renew(service, first, second, times=6)
    service.set_limits("open", BudgetLimits(20), NOW)
    renew(service, first)
    assert leased_share(first, "open") + leased_share(second, "open") <= 90
    renew(service, first, second, times=3)
    assert leased_share(first, "open") + leased_share(second, "open") <= leasable_total(20)


def set_needed_units(units: int, *holders: BudgetHolder) -> None:
    for holder in holders:
        holder.leases["rate"].needed_units = units


def test_units_are_added_at_the_rate_up_to_the_burst_of_buckets_and_pool() -> None:
    service, holder, other_holder = make_state(), make_holder(0), make_holder(1)
    set_needed_units(10, holder, other_holder)
    spent, now = 0, NOW
    for step in range(200):
        now = NOW + 100 * step
        if step % 2 == 0:  # gateways that need units renew often
            renew(service, holder, other_holder, now=now)
        for spender in (holder, other_holder):
            while spender.spend("rate", 1, now):
                spent += 1
    added = 10 * (now - NOW) / 1000
    assert 0.85 * added < spent <= added
    set_needed_units(0, holder, other_holder)
    idle = NOW + 20_000 + 100_000
    for step in range(30):
        renew(service, holder, other_holder, now=idle + 1000 * step)
    at_once = 0
    set_needed_units(10, holder, other_holder)
    for _ in range(10):
        for spender in (holder, other_holder):
            while spender.spend("rate", 1, idle + 29_000):
                at_once += 1
        renew(service, holder, other_holder, now=idle + 29_000)
    assert 0.8 * RATE.burst <= at_once <= RATE.burst


def test_needed_units_come_from_the_pool_and_leave_half_of_it() -> None:
    service, holder, other_holder = make_state(), make_holder(0), make_holder(1)
    for step in range(10):  # shares converge, and the pool fills
        renew(service, holder, other_holder, now=NOW + 1000 * step)
    later = NOW + 9000
    pool_units = service.budgets["rate"].pool_thousandths // 1000
    assert pool_units >= 2
    set_needed_units(100, holder)
    (grant,) = [
        grant for grant in service.renew(holder.next_request(later), later).grants if grant.budget == "rate"
    ]
    assert grant.units == pool_units // 2
    set_needed_units(1, other_holder)
    (grant,) = [
        grant
        for grant in service.renew(other_holder.next_request(later), later).grants
        if grant.budget == "rate"
    ]
    assert grant.units == 1
    set_needed_units(0, holder)
    (grant,) = [
        grant for grant in service.renew(holder.next_request(later), later).grants if grant.budget == "rate"
    ]
    assert grant.units == 0


def test_requests_and_state_are_bounded() -> None:
    service, holder = make_state(), make_holder(0)
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
        holder.next_request(NOW)
    assert len(holder.sent_ms) == MAX_UNANSWERED_REQUESTS
    service.budgets = dict.fromkeys(range(MAX_BUDGETS))
    with pytest.raises(RequestRejectedError, match="budgets already"):
        service.set_limits("one more", COUNT, NOW)
    invalid = BudgetRequest(budget="open", demand=-5, fence=-1, returned_units=10**18)
    fresh = make_state()
    grant = fresh.renew_budget("0/1", invalid, NOW)
    assert grant is not None and fresh.budgets["open"].holdings["0/1"].demand == 0


def test_a_budget_without_demand_is_dropped() -> None:
    holder = make_holder(0)
    assert len(holder.next_request(NOW + BUDGET_IDLE_TIMEOUT_MS).budgets) == 2
    assert (
        holder.next_request(NOW + BUDGET_IDLE_TIMEOUT_MS + 1).budgets == ()
        and holder.usable_share("open", NOW) == 0
    )
    assert not holder.spend("rate", 1, NOW)


@DETERMINISTIC
@given(st.integers(0, 10_000), st.integers(2, 12))
def test_shares_stay_within_the_total_under_drift_restarts_and_lost_responses(seed: int, count: int) -> None:
    """Holders have clocks that drift by 1 in 1,000 either way, and pause, restart and lose responses."""
    random_source = random.Random(seed)
    service = make_state()
    holders = [make_holder(n, gateways=20) for n in range(count)]
    rates = [1 + random_source.uniform(-1e-3, 1e-3) for _ in range(count)]
    for step in range(120):
        now = NOW + 250 * step
        clocks = [NOW + int(250 * step * rate) for rate in rates]
        for number, holder in enumerate(holders):
            draw = random_source.random()
            if draw < 0.02:
                holders[number] = make_holder(number, incarnation=step + 2, gateways=20)
            elif draw < 0.5:
                for lease in holder.leases.values():
                    lease.last_demand_ms = clocks[number]
                    lease.demand = random_source.randrange(0, 200)
                response = service.renew(holder.next_request(clocks[number]), now)
                if random_source.random() < 0.8:
                    holder.on_response(response, clocks[number])
        for name, total in (("open", 100), ("rate", 10_000)):
            held = sum(
                leased_share(holder, name, clock) for holder, clock in zip(holders, clocks, strict=True)
            )
            assert held <= leasable_total(total)


def test_a_response_without_grants_is_accepted_and_changes_nothing() -> None:
    holder = make_holder(0)
    serial = holder.next_request(NOW).serial
    assert holder.on_response(RenewResponse(gateway=0, incarnation=1, serial=serial, lease_ms=LEASE_MS), NOW)
    assert holder.usable_share("open", NOW) == floor_share(100, 10)
