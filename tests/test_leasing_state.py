"""The steward's state machine: division, leases, fences, floors, and the checker of all its states."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistletrail.leasing.budget_holder import MOST_ASKS, UNUSED_MS, Holder
from thistletrail.leasing.budget_state import (
    LEASE_MS,
    MOST_BUDGETS,
    MOST_HOLDERS,
    MOST_WANTS,
    RefusedError,
    State,
    Terms,
    floor,
    granted,
)
from thistletrail.leasing.fair_division import divide, stepped
from thistletrail.leasing.messages import Answer, Ask, Want
from thistletrail.leasing.model_checking.budgets import (
    PLANTED,
    Kind,
    begin,
    broken,
    explore,
    steps,
    stray_all,
    wander,
)

NOW = 1_000_000
COUNT, RATE = Terms(100), Terms(10_000, 20)
CALM = settings(derandomize=True, deadline=None, database=None)


# --- division ---


@CALM
@given(
    st.integers(0, 10_000),
    st.dictionaries(st.text(max_size=3), st.integers(0, 5_000), max_size=30),
    st.integers(0, 1000),
)
def test_parts_add_up_to_the_whole_and_are_max_min_fair(
    whole: int, demands: dict[str, int], turn: int
) -> None:
    parts = divide(whole, demands, turn)
    assert parts.keys() == demands.keys() and all(part >= 0 for part in parts.values())
    assert sum(parts.values()) == (whole if demands else 0)
    for name, part in parts.items():
        if part < demands[name]:  # it lacks: nobody has a unit more than it, beyond a rounding
            assert all(other <= part + 1 for other in parts.values())


def test_units_that_do_not_divide_go_round() -> None:
    """Five units among 17 doors, each of which wants one: all get as much in the long run."""
    names = {f"d{n}": 1 for n in range(17)}
    total = dict.fromkeys(names, 0)
    for turn in range(17 * 20):
        for name, part in divide(5, names, turn).items():
            total[name] += part
    assert set(total.values()) == {5 * 20}


def test_a_lie_about_demand_is_worth_a_fair_share_at_most() -> None:
    parts = divide(1000, {"liar": 10**12, "a": 100, "b": 400, "c": 400})
    assert parts == {"liar": 300, "a": 100, "b": 300, "c": 300}


def test_a_part_grows_in_bounded_steps_and_shrinks_at_once() -> None:
    way = [0]
    while way[-1] < 900:
        way.append(stepped(way[-1], 900, 1000))
    assert way == [0, 250, 500, 750, 900]
    assert stepped(900, 10, 1000) == 10
    assert stepped(100, 80, 1000) == 100 and stepped(100, 74, 1000) == 74  # a little too large: it stays


# --- the checker ---


@pytest.mark.parametrize("held", [False, True])
def test_all_states_of_a_small_fleet_hold(held: bool) -> None:
    found = explore(Kind(), 2, 2, 4, held)
    assert found.broken == "" and found.states > 1500


def test_random_ways_of_a_larger_fleet_hold() -> None:
    found = wander(Kind(), 5, 2, 12, 60, 3)
    assert found.broken == "" and found.states == 12 * 60


WAYS = (2, 1, 1200, 30, 1)  # doors, budgets, ways, events and seed


def test_nothing_is_found_on_these_ways_where_nothing_is_planted() -> None:
    found = stray_all(Kind(), *WAYS)
    assert found.broken == "", found.way
    assert found.states > 30_000


@pytest.mark.parametrize("kind", PLANTED, ids=lambda kind: kind.name)
def test_a_planted_fault_is_found(kind: Kind) -> None:
    found = stray_all(kind, *WAYS)
    assert found.broken and found.way


def test_the_checker_sees_each_kind_of_event() -> None:
    events = {event.split()[-1] for event, _ in steps(begin(Kind(), 2, 2, True))}
    assert {"by", "asks", "spends", "again", "back", "begins"} <= events
    (asked,) = [
        make() for event, make in steps(begin(Kind(), 2, 2, True)) if event == "door 1 (start 1) asks"
    ]
    assert any(event.startswith("another steward takes over") for event, _ in steps(asked))
    assert broken(begin(Kind(), 2, 2, True)) == ""


# --- the state machine by itself ---


def state(**terms: Terms) -> State:
    found = State(1000, NOW, 0)
    for name, one in (terms or {"open": COUNT, "rate": RATE}).items():
        found.set_terms(name, one, NOW)
    return found


def holder(door: int, mark: int = 1, doors: int = 10, demand: int = 1000, **terms: Terms) -> Holder:
    found = Holder(door, mark, doors)
    for name, one in (terms or {"open": COUNT, "rate": RATE}).items():
        found.use(name, one, demand, NOW)
    return found


def renew(steward: State, *holders: Holder, now: int = NOW, times: int = 1) -> None:
    for _ in range(times):
        for one in holders:
            for part in one.parts.values():
                part.used_ms = now
            one.answered(steward.ask(one.ask(now), now), now)


def leased(one: Holder, budget: str, now: int = NOW) -> int:
    part = one.parts[budget]
    return part.part if now < part.until_ms else 0


def test_two_doors_settle_at_half_each_and_a_third_makes_them_share() -> None:
    steward, first, second, third = state(), holder(0), holder(1), holder(2)
    renew(steward, first, times=5)
    assert leased(first, "open") == granted(100) == 90
    renew(steward, first, second, times=6)
    assert {leased(first, "open"), leased(second, "open")} == {45}
    renew(steward, first, second, third, times=8)
    assert [leased(one, "open") for one in (first, second, third)] == [30, 30, 30]


def test_a_leavers_part_is_in_use_elsewhere_after_its_lease() -> None:
    steward, first, second = state(), holder(0), holder(1)
    renew(steward, first, second, times=6)
    for now in range(NOW + 1000, NOW + LEASE_MS, 1000):
        renew(steward, second, now=now)
        assert leased(second, "open", now) <= 45  # what the dead one may still believe in is kept
    for step in range(4):
        renew(steward, second, now=NOW + LEASE_MS + 1000 * step)
    assert leased(second, "open", NOW + LEASE_MS + 3000) == 90


def test_a_new_start_of_a_door_does_not_get_the_old_ones_part_before_it_has_lapsed() -> None:
    steward, old = state(), holder(0, mark=1)
    renew(steward, old, times=5)
    fresh = holder(0, mark=2)
    renew(steward, fresh, now=NOW + 1000)
    assert leased(fresh, "open", NOW + 1000) == 0 and leased(old, "open", NOW + 1000) == 90
    for step in range(5):
        renew(steward, fresh, now=NOW + LEASE_MS + 1000 * step)
    assert leased(fresh, "open", NOW + LEASE_MS + 4000) == 90
    assert leased(old, "open", NOW + LEASE_MS + 4000) == 0  # a paused one that wakes looks at its clock


def test_an_answer_after_its_lease_or_of_another_start_is_of_no_use() -> None:
    steward, one = state(), holder(0)
    ask = one.ask(NOW)
    answer = steward.ask(ask, NOW)
    assert not one.answered(answer, NOW + LEASE_MS) and leased(one, "open") == 0
    ask = one.ask(NOW)
    answer = steward.ask(ask, NOW)
    assert not holder(0, mark=9).answered(answer, NOW)
    assert one.answered(answer, NOW + LEASE_MS // 2) and not one.answered(answer, NOW + LEASE_MS // 2)
    # The lease counts from before it asked, and ends early.
    assert NOW + 0.9 * LEASE_MS < one.parts["open"].until_ms < NOW + LEASE_MS


def test_the_same_ask_again_and_older_ones_are_granted_nothing() -> None:
    steward, one = state(), holder(0)
    first, second = one.ask(NOW), one.ask(NOW)
    assert steward.ask(second, NOW).grants
    assert not steward.ask(first, NOW).grants and not steward.ask(second, NOW).grants


def test_without_the_steward_there_is_the_floor_and_back_without_a_jump() -> None:
    steward, one = state(), holder(0)
    renew(steward, one, times=5)
    assert one.held("open", NOW) == 90 + 1
    gone = NOW + LEASE_MS
    assert one.held("open", gone) == floor(100, 10) == 1
    renew(steward, one, now=gone + 5000)
    assert one.held("open", gone + 5000) <= 1 + 25  # a step at a time
    assert 10 * floor(100, 10) + granted(100) == 100


def test_nothing_is_granted_after_a_loss_until_the_longest_lease_is_over() -> None:
    steward, one = State(2000, NOW, 10_000), holder(0)
    for name, terms in (("open", COUNT), ("rate", RATE)):
        steward.set_terms(name, terms, NOW)
    renew(steward, one, now=NOW + 9_999)
    assert leased(one, "open", NOW + 9_999) == 0
    renew(steward, one, now=NOW + 10_000)
    assert leased(one, "open", NOW + 10_000) > 0


def test_a_smaller_whole_is_reached_as_holders_agree_or_lapse() -> None:
    steward, first, second = state(), holder(0), holder(1)
    renew(steward, first, second, times=6)
    steward.set_terms("open", Terms(20), NOW)
    renew(steward, first)
    assert leased(first, "open") + leased(second, "open") <= 90
    renew(steward, first, second, times=3)
    assert leased(first, "open") + leased(second, "open") <= granted(20)


def need(units: int, *holders: Holder) -> None:
    for one in holders:
        one.parts["rate"].need = units


def test_units_come_in_at_the_rate_and_stores_and_pool_hold_the_burst() -> None:
    steward, one, two = state(), holder(0), holder(1)
    need(10, one, two)
    spent, now = 0, NOW
    for step in range(200):
        now = NOW + 100 * step
        if step % 2 == 0:  # as doors do that wait for units
            renew(steward, one, two, now=now)
        for who in (one, two):
            while who.spend("rate", 1, now):
                spent += 1
    came = 10 * (now - NOW) / 1000
    assert 0.85 * came < spent <= came
    need(0, one, two)
    idle = NOW + 20_000 + 100_000
    for step in range(30):
        renew(steward, one, two, now=idle + 1000 * step)
    at_once = 0
    need(10, one, two)
    for _ in range(10):
        for who in (one, two):
            while who.spend("rate", 1, idle + 29_000):
                at_once += 1
        renew(steward, one, two, now=idle + 29_000)
    assert 0.8 * RATE.burst <= at_once <= RATE.burst


def test_a_need_is_met_from_the_pool_and_leaves_half_of_it_for_others() -> None:
    steward, one, two = state(), holder(0), holder(1)
    for step in range(10):  # parts settle, and the pool fills
        renew(steward, one, two, now=NOW + 1000 * step)
    later = NOW + 9000
    there = steward.budgets["rate"].pool_thousandths // 1000
    assert there >= 2
    need(100, one)
    (grant,) = [one for one in steward.ask(one.ask(later), later).grants if one.budget == "rate"]
    assert grant.units == there // 2
    need(1, two)
    (grant,) = [one for one in steward.ask(two.ask(later), later).grants if one.budget == "rate"]
    assert grant.units == 1
    need(0, one)
    (grant,) = [one for one in steward.ask(one.ask(later), later).grants if one.budget == "rate"]
    assert grant.units == 0


def test_what_is_said_is_bounded() -> None:
    steward, one = state(), holder(0)
    wants = tuple(Want(budget="open", demand=1) for _ in range(MOST_WANTS + 1))
    with pytest.raises(RefusedError, match="2000 budgets at most"):
        steward.ask(Ask(door=0, mark=1, serial=1, wants=wants), NOW)
    for number in range(MOST_HOLDERS):
        steward.ask(Ask(door=number, mark=1, serial=1), NOW)
    with pytest.raises(RefusedError, match="holders already"):
        steward.ask(Ask(door=MOST_HOLDERS, mark=1, serial=1), NOW)
    steward.lapse(NOW + LEASE_MS + 1)
    assert not steward.serials
    for _ in range(50):
        one.ask(NOW)
    assert len(one.asked_ms) == MOST_ASKS
    steward.budgets = dict.fromkeys(range(MOST_BUDGETS))
    with pytest.raises(RefusedError, match="budgets already"):
        steward.set_terms("one more", COUNT, NOW)
    odd = Want(budget="open", demand=-5, fence=-1, back=10**18)
    fresh = state()
    grant = fresh.renew("0/1", odd, NOW)
    assert grant is not None and fresh.budgets["open"].holdings["0/1"].demand == 0


def test_a_budget_without_demand_is_let_go_of() -> None:
    one = holder(0)
    assert len(one.ask(NOW + UNUSED_MS).wants) == 2
    assert one.ask(NOW + UNUSED_MS + 1).wants == () and one.held("open", NOW) == 0
    assert not one.spend("rate", 1, NOW)


@CALM
@given(st.integers(0, 10_000), st.integers(2, 12))
def test_drift_pauses_and_losses_never_make_it_more_than_the_whole(seed: int, count: int) -> None:
    """Holders whose clocks drift by 1 in 1,000 either way, who pause, start again and lose answers."""
    chance = random.Random(seed)
    steward = state()
    holders = [holder(n, doors=20) for n in range(count)]
    rates = [1 + chance.uniform(-1e-3, 1e-3) for _ in range(count)]
    for step in range(120):
        now = NOW + 250 * step
        clocks = [NOW + int(250 * step * rate) for rate in rates]
        for number, one in enumerate(holders):
            fate = chance.random()
            if fate < 0.02:
                holders[number] = holder(number, mark=step + 2, doors=20)
            elif fate < 0.5:
                for part in one.parts.values():
                    part.used_ms, part.demand = clocks[number], chance.randrange(0, 200)
                answer = steward.ask(one.ask(clocks[number]), now)
                if chance.random() < 0.8:
                    one.answered(answer, clocks[number])
        for name, whole in (("open", 100), ("rate", 10_000)):
            held = sum(leased(one, name, clock) for one, clock in zip(holders, clocks, strict=True))
            assert held <= granted(whole)


def test_an_answer_without_grants_is_taken_and_changes_nothing() -> None:
    one = holder(0)
    serial = one.ask(NOW).serial
    assert one.answered(Answer(door=0, mark=1, serial=serial, lease_ms=LEASE_MS), NOW)
    assert one.held("open", NOW) == floor(100, 10)
