"""Budget leases in a history: sums of held shares, planted violations, and runs with real lease services."""

import msgspec
import pytest

from tests.helpers import WORKING_TREE
from thistletrail.fault_injection.checks import CHECKS, RunHistory, check
from thistletrail.fault_injection.history import Record, merge
from thistletrail.fault_injection.leases import (
    MessageReader,
    divisible_totals,
    held_shares,
    lease_summary,
    share_sums,
)
from thistletrail.fault_injection.plan import Plan, load, parse
from thistletrail.fault_injection.runs import play_once
from thistletrail.simulation.scenario import Demand, Scenario, Servers

S = 1_000_000
PLAN = Plan(
    name="p",
    steward=True,
    stewards=3,
    fleet=Scenario(name="p", doors=3, length_s=10, servers=Servers(count=2), demand=Demand(load=(0.3, 0.3))),
)
(WHOLE,) = divisible_totals(RunHistory([], PLAN, 1)).values()
NAME = "ceiling/institution/0.3/0000002a"


def asked(at: int, door: int, serial: int, fence: int = 0, mark: int = 1) -> Record:
    return {
        "at": at,
        "kind": "asked",
        "door": door,
        "mark": mark,
        "serial": serial,
        "fences": {NAME: fence} if fence else {},
    }


def granted(at: int, door: int, serial: int, fence: int, part: int, mark: int = 1) -> Record:
    return {
        "at": at,
        "kind": "granted",
        "door": door,
        "mark": mark,
        "serial": serial,
        "lease_ms": 3000,
        "steward": "steward-0",
        "parts": {NAME: [fence, part]},
    }


def renewal(at: int, door: int, serial: int, fence: int, part: int, before: int = 0) -> list[Record]:
    return [asked(at, door, serial, before), granted(at + 1000, door, serial, fence, part)]


def seen(*records: Record) -> RunHistory:
    return RunHistory(merge([records]), PLAN, 1)


HALF = WHOLE // 2
FIRST = [*renewal(S, 0, 1, 10, WHOLE), *renewal(2 * S, 0, 2, 11, HALF, 10)]  # the second grant is smaller
AGREED = asked(3 * S, 0, 3, 11)  # the gateway confirms the smaller grant


def test_a_part_is_believed_in_until_its_lease_is_over_or_a_later_one_is_in_hand() -> None:
    (first, second) = held_shares(seen(*FIRST, AGREED))
    assert (first.begin_us, first.end_us) == (S + 1000, 3 * S)
    assert second.end_us == 2 * S + 2_940_000  # 2% early, from the ask
    assert max(total for _, total in share_sums([first, second])) == WHOLE  # the larger one, not both
    assert held_shares(seen(granted(S, 0, 1, 10, 5))) == []  # to an ask that nobody saw
    assert held_shares(seen(asked(S, 0, 1), granted(5 * S, 0, 1, 10, 5))) == []  # after its lease


@pytest.mark.parametrize(
    "records",
    [
        [*FIRST, AGREED, *renewal(3 * S + 1, 1, 1, 12, HALF)],
        [*renewal(S, 0, 1, 10, WHOLE), *renewal(4 * S, 1, 1, 11, WHOLE)],  # the lease is over
        [*renewal(S, 0, 1, 10, HALF), *renewal(S, 1, 1, 11, HALF)],
    ],
)
def test_parts_within_the_whole_break_nothing(records: list[Record]) -> None:
    assert CHECKS["budgets"](seen(*records)) == []


@pytest.mark.parametrize(
    "records, said",
    [
        (
            [*FIRST, *renewal(2 * S + 5000, 1, 1, 12, HALF)],
            "may be believed in",
        ),  # without the first one's leave
        ([*FIRST, AGREED, *renewal(3 * S + 1, 1, 1, 12, HALF + 2)], "may be believed in"),
        (
            [*renewal(S, 0, 1, 10, WHOLE), *renewal(3 * S, 1, 1, 11, 1)],
            "may be believed in",
        ),  # before its end
        (
            [*renewal(S, 0, 1, 10, HALF), asked(S, 0, 1, mark=2), granted(S + 1, 0, 1, 11, WHOLE, mark=2)],
            "may be believed in",
        ),  # a door's next start is another holder
        ([*renewal(S, 0, 1, 10, 1), *renewal(S, 1, 1, 10, 1)], "of two grants"),
    ],
)
def test_a_planted_sum_beyond_the_whole_is_found(records: list[Record], said: str) -> None:
    (violation,) = CHECKS["budgets"](seen(*records))
    assert said in violation.text and violation.rule == "budgets"


def test_how_soon_a_dead_doors_part_is_in_use_elsewhere() -> None:
    go = {"at": 0, "kind": "go", "start_us": 0, "end_us": 10 * S}
    died = {"at": 2 * S, "kind": "died", "who": "doors-0", "meant": True, "code": -9}
    before = [*renewal(S, 0, 1, 10, HALF), *renewal(S, 1, 1, 11, HALF)]
    found = lease_summary(seen(go, died, *before, *renewal(4 * S, 1, 2, 12, WHOLE, 11)))
    assert found.regained_s == pytest.approx(2.001) and found.unregained == 0 and found.renewals == 3
    assert found.most_held == pytest.approx(1.0, abs=0.001)
    assert lease_summary(seen(go, died, *before)).unregained == 1


def test_bodies_are_taken_apart_wherever_they_are_cut_and_what_tells_no_length_is_passed_over() -> None:
    one = b"POST /renew HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
    for cut in range(len(one) + 1):
        bodies = MessageReader()
        found = [*bodies.feed(one + one[:cut]), *bodies.feed(one[cut:])]
        assert found == [(b"POST /renew HTTP/1.1", b"abc")] * 2
    for other in (
        b"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"x" * 20_000,
        b"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    ):
        bodies = MessageReader()
        assert [*bodies.feed(other), *bodies.feed(one)] == [] and not bodies.buffer


def test_what_is_wrong_with_the_count_of_stewards_is_one_line() -> None:
    text = msgspec.toml.encode({"name": "x", "steward": True, "stewards": 4, "fleet": {"name": "x"}})
    with pytest.raises(Exception, match="stewards"):
        parse(text, "x.toml")


@pytest.fixture(scope="module")
def stewards() -> RunHistory:
    """The plan of the same name, with fewer doors."""
    plan = load("stewards")
    fleet = msgspec.structs.replace(
        plan.fleet, doors=4, servers=msgspec.structs.replace(plan.fleet.servers, count=4)
    )
    return play_once(msgspec.structs.replace(plan, fleet=fleet), 1, WORKING_TREE, lambda text: None)


def test_real_doors_are_never_granted_more_than_the_whole_by_three_stewards(stewards: RunHistory) -> None:
    assert check(stewards) == []
    found = lease_summary(stewards)
    assert 0.5 < found.most_held <= 1 and found.renewals > 20


def test_another_takes_over_from_one_that_hangs_and_after_all_have_died(stewards: RunHistory) -> None:
    (hung,) = [record["at"] for record in stewards.by["fault"] if record["number"] == 0]
    (woke,) = [record["at"] for record in stewards.by["undone"] if record["number"] == 0]
    grants = [(record["at"], record["steward"]) for record in stewards.by["granted"]]
    assert len({who for _, who in grants}) >= 2
    assert "steward-0" not in {who for at, who in grants if hung + S // 2 < at < woke}
    last = max(record["at"] for record in stewards.by["started"] if record["who"].startswith("steward"))
    assert any(at > last for at, _ in grants)


def test_no_unit_goes_beyond_a_quota_by_leases_whatever_fails() -> None:
    """Doors killed and paused, every word between doors lost, the steward killed: and no unit is allowed."""
    plan = load("quotas")
    assert plan.limits.quota_share == plan.limits.quota_units == 0
    seen = play_once(plan, 1, WORKING_TREE, lambda text: None)
    assert check(seen) == []
    served = {record["id"] for record in seen.by["end"] if record["how"] == "served"}
    costly = {plan.name for plan in plan.fleet.plans if plan.over_cost > plan.over_worth}
    assert sum(record["plan"] in costly and record["id"] in served for record in seen.by["came"]) > 50
    kinds = {name.split("/")[0] for record in seen.by["granted"] for name in record["parts"]}
    assert kinds == {"ceiling", "quota"}
