"""Budget leases in a history: sums of granted shares, planted violations, and runs with lease services."""

import msgspec
import pytest

from tests.helpers import WORKING_TREE
from thistletrail.fault_injection.checks import CHECKS, RunHistory, check
from thistletrail.fault_injection.history import Record, merge
from thistletrail.fault_injection.leases import (
    HttpMessageReader,
    divisible_totals,
    lease_summary,
    share_grants,
    share_sums,
)
from thistletrail.fault_injection.plan import Plan, load, parse
from thistletrail.fault_injection.runs import play_once
from thistletrail.simulation.scenario import Demand, Scenario, Servers

US_PER_S = 1_000_000
PLAN = Plan(
    name="p",
    steward=True,
    stewards=3,
    fleet=Scenario(name="p", doors=3, length_s=10, servers=Servers(count=2), demand=Demand(load=(0.3, 0.3))),
)
(DIVISIBLE_TOTAL,) = divisible_totals(RunHistory([], PLAN, 1)).values()
BUDGET_NAME = "ceiling/institution/0.3/0000002a"


def request_record(at_us: int, gateway: int, serial: int, fence: int = 0, incarnation: int = 1) -> Record:
    """Return the record of a renewal request; a `fence` other than 0 confirms the grant with that token."""
    return {
        "at": at_us,
        "kind": "asked",
        "door": gateway,
        "mark": incarnation,
        "serial": serial,
        "fences": {BUDGET_NAME: fence} if fence else {},
    }


def grant_record(
    at_us: int, gateway: int, serial: int, fence: int, share: int, incarnation: int = 1
) -> Record:
    """Return the record of a grant of a share with the fencing token `fence`, for 3 s."""
    return {
        "at": at_us,
        "kind": "granted",
        "door": gateway,
        "mark": incarnation,
        "serial": serial,
        "lease_ms": 3000,
        "steward": "steward-0",
        "parts": {BUDGET_NAME: [fence, share]},
    }


def renewal(
    at_us: int, gateway: int, serial: int, fence: int, share: int, previous_fence: int = 0
) -> list[Record]:
    """Return the records of a renewal request, and of its grant after 1 ms."""
    return [
        request_record(at_us, gateway, serial, previous_fence),
        grant_record(at_us + 1000, gateway, serial, fence, share),
    ]


def history_of(*records: Record) -> RunHistory:
    """Return a history of these records and the plan `PLAN`."""
    return RunHistory(merge([records]), PLAN, 1)


HALF_TOTAL = DIVISIBLE_TOTAL // 2
# The second grant is smaller.
TWO_RENEWALS = [
    *renewal(US_PER_S, 0, 1, 10, DIVISIBLE_TOTAL),
    *renewal(2 * US_PER_S, 0, 2, 11, HALF_TOTAL, 10),
]
CONFIRMATION = request_record(3 * US_PER_S, 0, 3, 11)  # the gateway confirms the smaller grant


def test_share_counts_until_its_lease_expires_or_a_later_grant_is_confirmed() -> None:
    (first, second) = share_grants(history_of(*TWO_RENEWALS, CONFIRMATION))
    assert (first.begin_us, first.end_us) == (US_PER_S + 1000, 3 * US_PER_S)
    # 2% before the end of the lease, which begins with the request.
    assert second.end_us == 2 * US_PER_S + 2_940_000
    # The larger share counts, not the sum of both.
    assert max(total for _, total in share_sums([first, second])) == DIVISIBLE_TOTAL
    assert share_grants(history_of(grant_record(US_PER_S, 0, 1, 10, 5))) == []  # without a recorded request
    received_after_expiry = history_of(
        request_record(US_PER_S, 0, 1), grant_record(5 * US_PER_S, 0, 1, 10, 5)
    )
    assert share_grants(received_after_expiry) == []


@pytest.mark.parametrize(
    "records",
    [
        [*TWO_RENEWALS, CONFIRMATION, *renewal(3 * US_PER_S + 1, 1, 1, 12, HALF_TOTAL)],
        # The second grant comes after the first lease has expired.
        [*renewal(US_PER_S, 0, 1, 10, DIVISIBLE_TOTAL), *renewal(4 * US_PER_S, 1, 1, 11, DIVISIBLE_TOTAL)],
        [*renewal(US_PER_S, 0, 1, 10, HALF_TOTAL), *renewal(US_PER_S, 1, 1, 11, HALF_TOTAL)],
    ],
)
def test_shares_within_the_divisible_total_are_no_violation(records: list[Record]) -> None:
    assert CHECKS["budgets"](history_of(*records)) == []


@pytest.mark.parametrize(
    "records, expected_text",
    [
        # Granted before the first gateway has confirmed the smaller grant.
        ([*TWO_RENEWALS, *renewal(2 * US_PER_S + 5000, 1, 1, 12, HALF_TOTAL)], "may be believed in"),
        (
            [*TWO_RENEWALS, CONFIRMATION, *renewal(3 * US_PER_S + 1, 1, 1, 12, HALF_TOTAL + 2)],
            "may be believed in",
        ),
        # Granted before the first lease has expired.
        (
            [*renewal(US_PER_S, 0, 1, 10, DIVISIBLE_TOTAL), *renewal(3 * US_PER_S, 1, 1, 11, 1)],
            "may be believed in",
        ),
        # Granted to another incarnation of the gateway, which counts separately.
        (
            [
                *renewal(US_PER_S, 0, 1, 10, HALF_TOTAL),
                request_record(US_PER_S, 0, 1, incarnation=2),
                grant_record(US_PER_S + 1, 0, 1, 11, DIVISIBLE_TOTAL, incarnation=2),
            ],
            "may be believed in",
        ),
        ([*renewal(US_PER_S, 0, 1, 10, 1), *renewal(US_PER_S, 1, 1, 10, 1)], "of two grants"),
    ],
)
def test_planted_overcommitment_or_reused_fencing_token_is_reported(
    records: list[Record], expected_text: str
) -> None:
    (violation,) = CHECKS["budgets"](history_of(*records))
    assert expected_text in violation.text and violation.rule == "budgets"


def test_summary_has_the_time_until_a_dead_gateways_share_is_granted_to_others() -> None:
    load_span = {"at": 0, "kind": "go", "start_us": 0, "end_us": 10 * US_PER_S}
    died = {"at": 2 * US_PER_S, "kind": "died", "who": "doors-0", "meant": True, "code": -9}
    before = [*renewal(US_PER_S, 0, 1, 10, HALF_TOTAL), *renewal(US_PER_S, 1, 1, 11, HALF_TOTAL)]
    summary = lease_summary(
        history_of(load_span, died, *before, *renewal(4 * US_PER_S, 1, 2, 12, DIVISIBLE_TOTAL, 11))
    )
    assert summary.median_regrant_s == pytest.approx(2.001)
    assert summary.not_regranted == 0 and summary.renewals == 3
    assert summary.max_granted_fraction == pytest.approx(1.0, abs=0.001)
    assert lease_summary(history_of(load_span, died, *before)).not_regranted == 1


def test_message_reader_reads_messages_split_anywhere_and_gives_up_without_a_valid_length() -> None:
    message = b"POST /renew HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
    for cut in range(len(message) + 1):
        reader = HttpMessageReader()
        messages = [*reader.feed(message + message[:cut]), *reader.feed(message[cut:])]
        assert messages == [(b"POST /renew HTTP/1.1", b"abc")] * 2
    for unreadable in (
        b"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"x" * 20_000,
        b"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    ):
        reader = HttpMessageReader()
        assert [*reader.feed(unreadable), *reader.feed(message)] == [] and not reader.buffer


def test_plan_with_too_many_lease_services_is_rejected() -> None:
    text = msgspec.toml.encode({"name": "x", "steward": True, "stewards": 4, "fleet": {"name": "x"}})
    with pytest.raises(Exception, match="stewards"):
        parse(text, "x.toml")


@pytest.fixture(scope="module")
def lease_services_history() -> RunHistory:
    """The history of one run of the plan `stewards`, with fewer gateways and scan servers."""
    plan = load("stewards")
    fleet = msgspec.structs.replace(
        plan.fleet, doors=4, servers=msgspec.structs.replace(plan.fleet.servers, count=4)
    )
    return play_once(msgspec.structs.replace(plan, fleet=fleet), 1, WORKING_TREE, lambda text: None)


def test_three_lease_services_never_grant_more_than_the_divisible_total(
    lease_services_history: RunHistory,
) -> None:
    assert check(lease_services_history) == []
    summary = lease_summary(lease_services_history)
    assert 0.5 < summary.max_granted_fraction <= 1 and summary.renewals > 20


def test_another_lease_service_grants_while_the_leader_is_paused_and_after_all_are_killed(
    lease_services_history: RunHistory,
) -> None:
    (paused_us,) = [
        record["at"] for record in lease_services_history.records_by_kind["fault"] if record["number"] == 0
    ]
    (resumed_us,) = [
        record["at"] for record in lease_services_history.records_by_kind["undone"] if record["number"] == 0
    ]
    grants = [
        (record["at"], record["steward"]) for record in lease_services_history.records_by_kind["granted"]
    ]
    assert len({lease_service for _, lease_service in grants}) >= 2
    assert "steward-0" not in {
        lease_service for at_us, lease_service in grants if paused_us + US_PER_S // 2 < at_us < resumed_us
    }
    last_start_us = max(
        record["at"]
        for record in lease_services_history.records_by_kind["started"]
        if record["who"].startswith("steward")
    )
    assert any(at_us > last_start_us for at_us, _ in grants)


def test_no_unit_exceeds_a_leased_quota_under_any_fault() -> None:
    """Gateways are killed and paused, all quota messages are lost, and the lease service is killed.

    The plan allows no unit over a quota.
    """
    plan = load("quotas")
    assert plan.limits.quota_share == plan.limits.quota_units == 0
    history = play_once(plan, 1, WORKING_TREE, lambda text: None)
    assert check(history) == []
    served_ids = {record["id"] for record in history.records_by_kind["end"] if record["how"] == "served"}
    costly_plans = {plan.name for plan in plan.fleet.plans if plan.over_cost > plan.over_worth}
    attempts = history.records_by_kind["came"]
    assert sum(record["plan"] in costly_plans and record["id"] in served_ids for record in attempts) > 50
    kinds = {name.split("/")[0] for record in history.records_by_kind["granted"] for name in record["parts"]}
    assert kinds == {"ceiling", "quota"}
