"""Work leases: whose an item is, where it may have run, what is kept of it; the module's part; the check."""

import os
from dataclasses import replace
from pathlib import Path

import pytest

from tests.helpers import SETTINGS, S, World, copied, log_of, of, servers
from thistletrail.gateway.config import read_work_leases
from thistletrail.gateway.errors import ConfigError
from thistletrail.leasing import journal as journal_module
from thistletrail.leasing import work_state, work_store
from thistletrail.leasing.budget_state import HolderGrant, IssuedGrant
from thistletrail.leasing.config import Config
from thistletrail.leasing.errors import FrameError, RequestRejectedError
from thistletrail.leasing.framing import STATUS_FULL, STATUS_OK, Frame, FrameReader, encode_frame, now_ms
from thistletrail.leasing.journal import Journal, begin_history
from thistletrail.leasing.leadership import begin_term
from thistletrail.leasing.messages import (
    MAX_OPERATIONS,
    WORK_LEASE_MS,
    AttemptWork,
    BeginWork,
    CompleteWork,
    OperationResult,
    OperationStatus,
    ReleaseWork,
    TransferredWork,
    WorkEffect,
    WorkOperation,
    WorkRequest,
    WorkResponse,
)
from thistletrail.leasing.model_checking.search import Walks
from thistletrail.leasing.model_checking.work import check_near_states, check_walks
from thistletrail.leasing.model_checking.work_faults import PLANTED_FAULTS, WorkModel
from thistletrail.leasing.work_holder import (
    MAX_BEGINS_PER_REQUEST,
    MAX_REQUEST_BYTES,
    WRITE_MARGIN_MS,
    AppliedResponse,
    WorkHolder,
)
from thistletrail.leasing.work_membership import rendezvous_weight
from thistletrail.leasing.work_state import MAX_VALUE_BYTES, WorkState
from thistletrail.leasing.work_store import MAX_ITEMS_PER_CUSTOMER, MAX_OWNER_DEATHS, Location
from thistletrail.policy.actions import FailRequest, StartAttempt
from thistletrail.policy.events import AttemptEnded, AttemptResult
from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass

START = 1_000_000
CONFIG = Config(budgets=())


def begin_work(name: str = "c/k", **values: object) -> BeginWork:
    usual = {
        "name": name,
        "request_id": f"{name}-1",
        "digest": "d",
        "customer": "c",
        "effect": WorkEffect.KEYED,
        "left_ms": 2000,
        "window_ms": 4000,
        "request": b"r",
        "server": "s1",
        "place": "east",
    }
    return BeginWork(**{**usual, **values})


class Fleet:
    """Some gateways at one lease service; each call is a request and its response."""

    def __init__(self, gateways: int = 3) -> None:
        self.now, self.work = START, WorkState(0)
        self.holders = [WorkHolder(gateway, 1) for gateway in range(gateways)]
        self.log: list[object] = []
        for gateway in range(gateways):
            self.ask(gateway)

    def ask(self, gateway: int, *ops: WorkOperation) -> tuple[list[OperationResult], list[TransferredWork]]:
        holder = self.holders[gateway]
        holder.drop_expired(self.now)
        for op in ops:
            holder.enqueue(op)
        decision = self.work.handle(holder.next_request(self.now), self.now)
        self.log += decision.records
        applied = holder.on_response(decision.response, self.now)
        return [one.result for one in applied.operations], list(applied.transferred)

    def begin(self, gateway: int, op: BeginWork) -> OperationResult:
        return self.ask(gateway, op)[0][-1]

    def pass_(self, ms: int, *alive: int) -> None:
        """Time goes by, in which these gateways renew and the lease service looks."""
        for _ in range(ms // 100):
            self.now += 100
            for gateway in alive:
                self.ask(gateway)
            self.log += self.work.transfer_lost_items(self.now)

    def lost(self, *alive: int) -> tuple[int, TransferredWork]:
        """All but these are silent for a lease: who was transferred what."""
        found: list[tuple[int, TransferredWork]] = []
        for _ in range(WORK_LEASE_MS // 100 + 1):
            self.now += 100
            found += [(gateway, one) for gateway in alive for one in self.ask(gateway)[1]]
            self.log += self.work.transfer_lost_items(self.now)
        found += [(gateway, one) for gateway in alive for one in self.ask(gateway)[1]]
        (one,) = found
        return one


# --- whose it is ---


def test_work_of_a_lost_owner_goes_to_one_other_under_a_higher_fence() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    taker, transferred = fleet.lost(1, 2)
    assert taker == max((1, 2), key=lambda gateway: rendezvous_weight(f"{gateway}/1", "c/k"))
    assert transferred.fence > result.fence and (transferred.server, transferred.place) == ("s1", "east")
    assert fleet.holders[taker].owns("c/k", transferred.fence, fleet.now)
    # The first owner wakes, and may do nothing; what it says is not heard.
    assert not fleet.holders[0].owns("c/k", result.fence, fleet.now)
    assert fleet.ask(0, CompleteWork(name="c/k", fence=result.fence, value=b"late"))[0][-1].status == "lost"
    assert (
        fleet.ask(taker, CompleteWork(name="c/k", fence=transferred.fence, value=b"v"))[0][-1].status
        == "kept"
    )
    assert fleet.begin(0, begin_work(request_id="again")) == OperationResult(
        status=OperationStatus.ANSWERED, value=b"v"
    )


def test_a_later_incarnation_of_the_same_gateway_loses_the_earlier_ones_work_at_once() -> None:
    fleet = Fleet()
    fleet.begin(0, begin_work())
    fleet.holders[0] = WorkHolder(0, 2)
    fleet.ask(0)
    owner = fleet.work.store.items["c/k"].owner
    assert owner in ("0/2", "1/1", "2/1") and fleet.now == START
    # A late request of the earlier incarnation changes nothing.
    stale = fleet.work.handle(
        WorkRequest(gateway=0, incarnation=1, serial=99, operations=(begin_work("c/other"),)), fleet.now
    )
    assert [one.status for one in stale.response.results] == ["lost"] and not stale.records


def test_a_silence_that_is_shorter_than_the_lease_loses_nothing() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    fleet.pass_(WORK_LEASE_MS - 100, 1, 2)
    fleet.now += 80
    assert not fleet.work.transfer_lost_items(fleet.now) and fleet.work.store.items["c/k"].owner == "0/1"
    fleet.ask(0)
    # Its own lease had ended by then: it has let go, and nobody may go on with it but whoever asks again.
    assert not fleet.holders[0].owns("c/k", result.fence, fleet.now)


def test_a_holder_stops_a_margin_before_its_lease_is_over_at_the_lease_service() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    margin = WORK_LEASE_MS // 50 + WRITE_MARGIN_MS
    assert fleet.holders[0].owns("c/k", result.fence, START + WORK_LEASE_MS - margin - 1)
    assert not fleet.holders[0].owns("c/k", result.fence, START + WORK_LEASE_MS - margin)
    assert fleet.work.membership.is_alive("0/1", START + WORK_LEASE_MS - 1)


def test_what_clients_request_again_is_waited_for_answered_or_gone_on_with_where_it_ran() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    assert fleet.begin(1, begin_work(request_id="again")).status == "elsewhere"
    assert fleet.begin(1, begin_work(request_id="again", digest="another body")).status == "other"
    # Its first client leaves, and so does the gateway: whoever asks again has it, in its zone.
    fleet.ask(0, ReleaseWork(name="c/k", fence=result.fence))
    mine = fleet.begin(1, begin_work(request_id="again", server="s2", place="west"))
    assert (mine.status, mine.server, mine.place) == ("kept", "s1", "east") and mine.fence > result.fence
    assert (
        fleet.begin(1, begin_work(request_id="again", server="s2", place="west")) == mine
    )  # its answer was lost
    assert fleet.begin(1, begin_work(request_id="third", server="s2", place="west")).status == "elsewhere"


def test_what_never_ran_is_forgotten_or_transferred_and_may_run_anywhere() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    fleet.ask(0, ReleaseWork(name="c/k", fence=result.fence, never_ran=True))
    assert not fleet.work.store.items
    result = fleet.begin(0, begin_work(effect=WorkEffect.UNSAFE))
    fleet.ask(
        0, ReleaseWork(name="c/k", fence=result.fence, transfer=True, never_ran=True)
    )  # as a gateway that drains does
    transferred = [one for gateway in (1, 2) for one in fleet.ask(gateway)[1]]
    assert [one.server for one in transferred] == [""]


def test_an_attempt_elsewhere_counts_only_where_those_before_it_never_ran() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    fleet.ask(
        0,
        AttemptWork(
            name="c/k", fence=result.fence, number=1, server="s2", place="west", earlier_never_ran=True
        ),
    )
    assert fleet.work.store.items["c/k"].last_run == Location("s2", "west")
    # The same once more, late: a message that was held up changes nothing.
    fleet.ask(0, AttemptWork(name="c/k", fence=result.fence, number=2, server="s3", place="west"))
    fleet.ask(
        0,
        AttemptWork(
            name="c/k", fence=result.fence, number=1, server="s2", place="west", earlier_never_ran=True
        ),
    )
    assert fleet.work.store.items["c/k"].last_run == Location("s3", "west")


@pytest.mark.parametrize(
    "effect, status",
    [
        (WorkEffect.UNSAFE, OperationStatus.FAILED),
        (WorkEffect.SAFE, OperationStatus.PERSISTED),
        (WorkEffect.KEYED, OperationStatus.PERSISTED),
    ],
)
def test_what_becomes_of_each_class_when_nobody_is_left(effect: WorkEffect, status: OperationStatus) -> None:
    fleet = Fleet(2)
    fleet.begin(0, begin_work(effect=effect))
    if effect is WorkEffect.KEYED:
        fleet.lost(1)
        fleet.pass_(300)
    else:
        fleet.pass_(WORK_LEASE_MS + 100, 1)
        assert not [one for one in fleet.ask(1)[1]]
    if effect is not WorkEffect.KEYED:
        assert fleet.begin(1, begin_work(request_id="again", effect=effect)).status == status


def test_over_its_time_nothing_is_run_and_in_the_end_it_is_forgotten() -> None:
    fleet = Fleet(2)
    fleet.begin(0, begin_work(left_ms=500, window_ms=3000))
    fleet.pass_(WORK_LEASE_MS + 100, 1)
    assert fleet.work.store.items["c/k"].owner == "" and not fleet.ask(1)[1]
    fleet.pass_(3000, 1)
    assert (
        not fleet.work.store.items
        and not fleet.work.store.item_count_by_customer
        and not fleet.work.store.total_bytes
    )


def test_what_its_owners_die_of_is_given_up_and_kept_for_people_to_look_at() -> None:
    fleet = Fleet(4)
    fleet.begin(0, begin_work(left_ms=60_000, window_ms=120_000))
    alive = [1, 2, 3]
    for _ in range(MAX_OWNER_DEATHS - 1):
        taker, _ = fleet.lost(*alive)
        fleet.ask(taker)  # it says that it has come
        alive.remove(taker)
    fleet.pass_(WORK_LEASE_MS + 100, *alive)
    assert [one.name for one in fleet.work.store.parked] == ["c/k"]
    assert fleet.begin(alive[0], begin_work(request_id="again")).status == "failed"


def test_a_taker_that_never_received_it_has_not_died_of_it() -> None:
    fleet = Fleet(3)
    fleet.begin(0, begin_work(left_ms=60_000, window_ms=120_000))
    fleet.now += WORK_LEASE_MS  # none renews: all are lost
    fleet.work.transfer_lost_items(fleet.now)
    assert fleet.work.store.items["c/k"].awaits_taker and fleet.work.store.items["c/k"].deaths == 1
    fleet.holders[1] = WorkHolder(1, 2)
    fleet.ask(1)
    fleet.work.transfer_lost_items(fleet.now)
    assert fleet.work.store.items["c/k"].owner == "1/2"
    fleet.now += WORK_LEASE_MS
    fleet.work.transfer_lost_items(fleet.now)
    assert fleet.work.store.items["c/k"].deaths == 1


def test_takers_are_spread_over_those_that_are_alive() -> None:
    fleet = Fleet(9)
    for number in range(400):
        fleet.begin(0, begin_work(f"c/{number}", customer=f"c{number % 4}"))
    fleet.now += 500
    for gateway in range(1, 9):
        fleet.ask(gateway)
    fleet.now += 500
    fleet.work.transfer_lost_items(fleet.now)
    shares = [
        sum(one.owner == f"{gateway}/1" for one in fleet.work.store.items.values()) for gateway in range(1, 9)
    ]
    assert sum(shares) == 400 and max(shares) < 2 * 400 / 8
    assert len(fleet.ask(1)[1]) <= work_state.MAX_TRANSFERRED_PER_RESPONSE


def test_nine_in_ten_gateways_lost_at_once_leave_two_thousand_items_to_the_rest() -> None:
    fleet = Fleet(20)
    for number in range(2000):
        fleet.holders[number % 20].enqueue(
            begin_work(
                f"c{number % 50}/{number}", customer=f"c{number % 50}", left_ms=60_000, window_ms=60_000
            )
        )
    for gateway in range(20):
        while fleet.holders[gateway].queue:
            assert {one.status for one in fleet.ask(gateway)[0]} == {"kept"}
    took: dict[str, int] = {}
    for _ in range(40):
        fleet.now += 100
        for gateway in (0, 1):
            transferred = fleet.ask(gateway)[1]
            assert len(transferred) <= work_state.MAX_TRANSFERRED_PER_RESPONSE
            for one in transferred:
                assert one.name not in took
                took[one.name] = gateway
        fleet.work.transfer_lost_items(fleet.now)
    assert len(took) == 1800 and 600 < sum(took.values()) < 1200


# --- bounds ---


def test_full_means_without_and_never_a_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet()
    assert (
        fleet.begin(0, begin_work("c/big", request=b"x" * (work_state.MAX_REQUEST_BYTES + 1))).status
        == "full"
    )
    for number in range(MAX_ITEMS_PER_CUSTOMER):
        assert fleet.begin(0, begin_work(f"c/{number}")).status == "kept"
    assert fleet.begin(0, begin_work("c/more")).status == "full"
    assert fleet.begin(0, begin_work("other/1", customer="other")).status == "kept"
    monkeypatch.setattr(work_store, "MAX_ITEMS", MAX_ITEMS_PER_CUSTOMER + 1)
    assert fleet.begin(0, begin_work("other/2", customer="other")).status == "full"
    # An outcome gives its place up to work in holder.
    fence = fleet.work.store.items["c/0"].fence
    fleet.ask(0, CompleteWork(name="c/0", fence=fence, value=b"v"))
    assert fleet.begin(0, begin_work("other/2", customer="other")).status == "kept"
    assert "c/0" not in fleet.work.store.items and fleet.work.counters.evicted == 1


def test_a_value_that_is_too_large_to_keep_is_reported_as_failed_not_as_empty() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    large = CompleteWork(name="c/k", fence=result.fence, value=b"x" * (MAX_VALUE_BYTES + 1))
    assert fleet.ask(0, large)[0][-1].status == "kept"
    assert fleet.begin(1, begin_work(request_id="again")) == OperationResult(status=OperationStatus.FAILED)


@pytest.mark.parametrize("gateway", [-1, work_state.MAX_GATEWAYS])
def test_a_gateway_out_of_range_is_rejected(gateway: int) -> None:
    with pytest.raises(RequestRejectedError, match="numbered"):
        WorkState(0).handle(WorkRequest(gateway=gateway, incarnation=1, serial=1), START)


# --- the holder ---


def test_a_request_without_a_response_is_sent_again_and_a_late_response_gives_nothing() -> None:
    fleet, holder = Fleet(1), WorkHolder(5, 1)
    holder.enqueue(begin_work())
    first = holder.next_request(START)
    response = fleet.work.handle(first, START).response
    holder.requeue_unanswered()
    second = holder.next_request(START + 100)
    assert second.operations == first.operations
    assert (
        holder.on_response(response, START + 100) == AppliedResponse()
    )  # of a request that is not in flight any more
    again = fleet.work.handle(second, START + 100).response
    (result,) = [one.result for one in holder.on_response(again, START + 100).operations]
    assert result.status == "kept" and holder.owns("c/k", result.fence, START + 100)
    holder.next_request(START + 200)
    late = WorkResponse(gateway=5, incarnation=1, serial=holder.serial, lease_ms=WORK_LEASE_MS)
    holder.on_response(late, START + 5000)
    assert not holder.is_alive(START + 5000)


def test_work_that_a_response_transfers_too_late_has_not_arrived_and_is_transferred_again() -> None:
    holder = WorkHolder(5, 1)
    transferred = TransferredWork(name="c/k", fence=7, request=b"r", left_ms=1000)
    answer = WorkResponse(
        gateway=5, incarnation=1, serial=1, lease_ms=WORK_LEASE_MS, transferred=(transferred,)
    )
    holder.next_request(START)
    assert holder.on_response(answer, START + 950) == AppliedResponse() and not holder.fences
    assert holder.next_request(START + 960).accepted_fences == ()
    again = WorkResponse(
        gateway=5, incarnation=1, serial=2, lease_ms=WORK_LEASE_MS, transferred=(transferred,)
    )
    assert holder.on_response(again, START + 970) == AppliedResponse(transferred=(transferred,))
    # It is acknowledged until that is answered, and taken once.
    assert holder.next_request(START + 980).accepted_fences == (7,)
    third = WorkResponse(
        gateway=5, incarnation=1, serial=3, lease_ms=WORK_LEASE_MS, transferred=(transferred,)
    )
    assert holder.on_response(third, START + 990) == AppliedResponse()


def test_a_begin_that_was_given_up_on_is_taken_back_wherever_it_is() -> None:
    fleet, holder = Fleet(1), WorkHolder(5, 1)
    holder.enqueue(begin_work())
    holder.withdraw("c/k")
    assert not holder.queue
    holder.enqueue(begin_work())
    ask = holder.next_request(START)
    holder.withdraw("c/k")
    response = fleet.work.handle(ask, START).response
    holder.on_response(response, START)
    assert (
        [type(op) for op in holder.queue] == [ReleaseWork] and holder.queue[0].never_ran and not holder.fences
    )
    fleet.work.handle(holder.next_request(START), START)
    assert not fleet.work.store.items


def test_a_request_that_was_rejected_gives_its_begins_back() -> None:
    holder = WorkHolder(5, 1)
    holder.enqueue(begin_work())
    holder.enqueue(CompleteWork(name="c/x", fence=1, value=b""))
    holder.next_request(START)
    assert [op.name for op in holder.on_rejected()] == ["c/k"]
    assert [op.name for op in holder.queue] == ["c/x"] and not holder.on_rejected()
    assert (
        sum(holder.enqueue(begin_work(str(n))) for n in range(5 * MAX_OPERATIONS)) < 5 * MAX_OPERATIONS
    )  # bounded


def test_a_request_is_bounded_in_operations_and_bytes_and_the_rest_goes_with_the_next() -> None:
    holder = WorkHolder(5, 1)
    for number in range(2 * MAX_BEGINS_PER_REQUEST):
        holder.enqueue(begin_work(str(number)))
    holder.enqueue(CompleteWork(name="large", fence=1, value=b"x" * MAX_REQUEST_BYTES))
    holder.enqueue(CompleteWork(name="other", fence=1, value=b"x" * MAX_REQUEST_BYTES))
    asked = []
    while holder.queue:
        asked.append([op.name for op in holder.next_request(START).operations])
    assert [len(names) for names in asked] == [MAX_BEGINS_PER_REQUEST, MAX_BEGINS_PER_REQUEST, 1, 1]


# --- the log ---


def state_of(found: WorkState) -> list[tuple[object, ...]]:
    return sorted(
        (
            one.name,
            one.owner,
            one.fence,
            one.last_run,
            one.run_before_owner,
            one.outcome,
            one.value,
            one.first_run_ms,
            one.deaths,
            one.awaits_taker,
            one.attempt_number,
        )
        for one in found.store.items.values()
    )


def grown(folder: Path) -> tuple[list[int], list[list[tuple[object, ...]]]]:
    """A log of the life of two gateways, with its size and the state after each request."""
    begin_history(folder, CONFIG)
    journal = Journal(begin_term(folder))
    found = journal.open(CONFIG).work
    holders, now, sizes, states = [WorkHolder(0, 1), WorkHolder(1, 1)], now_ms(), [], []

    def ask(gateway: int, *ops: WorkOperation) -> None:
        for op in ops:
            holders[gateway].enqueue(op)
        decision = found.handle(holders[gateway].next_request(now), now)
        journal.append([], decision.records)
        holders[gateway].on_response(decision.response, now)
        sizes.append(journal.records.size_bytes)
        states.append(state_of(found))

    ask(0, begin_work("c/1"), begin_work("c/2", effect=WorkEffect.UNSAFE))
    ask(1, begin_work("c/3", request=bytes(range(256))))
    ask(0, AttemptWork(name="c/1", fence=holders[0].fences["c/1"], number=1, server="s2", place="east"))
    ask(0, CompleteWork(name="c/2", fence=holders[0].fences["c/2"], value=b"\x00\xff"))
    holders[0] = WorkHolder(0, 2)  # its start before is lost
    ask(0)
    journal.close()
    return sizes, states


def test_no_acknowledged_change_is_lost_wherever_the_log_is_cut(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "fsync", lambda file: None)  # what a sync would keep is cut off here
    still = now_ms()
    monkeypatch.setattr(journal_module, "now_ms", lambda: still)
    sizes, states = grown(tmp_path / "whole")
    whole = log_of(tmp_path / "whole").read_bytes()
    for cut in range(sizes[0], len(whole) + 1):
        journal = Journal(begin_term(copied(tmp_path / "whole", tmp_path / f"{cut}", whole[:cut])))
        found = journal.open(CONFIG).work
        result = sum(size <= cut for size in sizes)
        if cut in sizes:
            assert state_of(found) == states[result - 1]
        names = {row[0] for row in states[result - 1]}
        assert names <= set(found.store.items)
        # Whoever has work may have been there up to now: nobody goes on with it before a lease is over.
        assert all(
            found.membership.is_alive(one.owner, still) or found.membership.is_replaced(one.owner)
            for one in found.store.items.values()
            if one.owner
        )
        journal.close()
    journal = Journal(begin_term(tmp_path / "whole"))
    found = journal.open(CONFIG).work  # which is kept as a snapshot
    journal.close()
    journal = Journal(begin_term(tmp_path / "whole"))
    assert state_of(journal.open(CONFIG).work) == state_of(found)
    journal.close()


def test_a_log_that_has_grown_long_or_large_makes_place_for_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    grown(tmp_path)
    journal = Journal(begin_term(tmp_path))
    states = journal.open(CONFIG)
    assert not journal.is_snapshot_due()
    for number in range(5):
        journal.append([HolderGrant("open", f"{number}/1", IssuedGrant(number, 1, 1))])
    for name in ("MAX_RECORDS", "MAX_LOG_BYTES"):
        with monkeypatch.context() as small:
            small.setattr(journal_module, name, 5)
            assert journal.is_snapshot_due()
    journal.write_snapshot(journal.snapshot(states))
    assert not journal.records.size_bytes and not journal.is_snapshot_due()
    journal.close()


def test_work_of_another_boot_is_over(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    grown(tmp_path)
    monkeypatch.setattr(journal_module, "boot_id", lambda: "another")
    journal = Journal(begin_term(tmp_path))
    assert not journal.open(CONFIG).work.store.items
    journal.close()


# --- the model check ---


@pytest.mark.parametrize("is_first_holding_all", [False, True])
def test_all_near_states_hold(is_first_holding_all: bool) -> None:
    result = check_near_states(WorkModel, 2, 3, is_first_holding_all)
    assert not result.violation, result.trace
    assert result.states > 500


def test_far_states_hold() -> None:
    result = check_walks(WorkModel, 3, Walks(300, 30, 2))
    assert not result.violation, result.trace


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda fault: fault.name)
def test_each_planted_fault_is_found(fault: type[WorkModel]) -> None:
    assert check_walks(fault, 3, Walks(20_000, 25, 1)).violation


# --- the module ---

KEYED = RequestClass(
    latency_objective_us=2 * S,
    deadline_us=6 * S,
    effect=Effect.IDEMPOTENT_BY_KEY,
    idempotency_scope=IdempotencyScope.ZONE,
    idempotency_window_us=8 * S,
)
ONCE = RequestClass(latency_objective_us=2 * S, deadline_us=6 * S, effect=Effect.UNSAFE)
FEW = Plan(rate=0.01, burst=1.0)
THREE = replace(SETTINGS, classes=(KEYED, ONCE), plans=(FEW,))


def test_inherited_work_takes_no_units_and_stays_in_its_zone() -> None:
    world = World(THREE, servers(8))
    assert of(StartAttempt, world.ask("own"))  # the whole quota
    for number in range(20):
        (sent,) = of(StartAttempt, world.ask(f"in-{number}", is_taken_over=True, ran_on_server="s3"))
        assert int(sent.server[1:]) % 2 == 1  # in zone 1, as s3
    # Where its first attempt never ran, the next one still stays there.
    sends = of(StartAttempt, world.answer("in-0", AttemptResult.CONNECT_FAILED))
    assert all(int(sent.server[1:]) % 2 == 1 for sent in sends)
    assert of(StartAttempt, world.ask("free", is_taken_over=True))


def test_inherited_work_that_may_have_run_and_may_not_be_repeated_is_over() -> None:
    world = World(THREE)
    assert of(FailRequest, world.ask("a", is_taken_over=True, ran_on_server="s1", class_index=1))
    assert of(StartAttempt, world.ask("b", is_taken_over=True, class_index=1))


def test_units_of_what_another_has_go_back_and_nobody_is_blamed() -> None:
    world = World(THREE)
    assert of(StartAttempt, world.ask("a"))
    server, sent, _ = world.out.pop(("a", 0))
    world.tell(AttemptEnded("a", True, 0, server, AttemptResult.OWNED_ELSEWHERE, world.now - sent))
    assert "a" not in world.gateway.requests_by_id and not world.gateway.servers_by_name[server].failures
    assert of(StartAttempt, world.ask("b"))  # the quota is as it was
    assert not of(StartAttempt, world.ask("c"))


# --- the configuration ---


@pytest.mark.parametrize(
    "values, said",
    [
        ([1], "expected an object"),
        (
            {"addresses": "h:1", "classes": ["x"], "secret_file": "/nowhere"},
            "expected a class of the settings in work_leases, found 'x'",
        ),
        ({"addresses": "h:1", "classes": [], "secret_file": "/nowhere"}, "expected names of classes"),
        ({"addresses": "h:1", "classes": ["a"], "secret_file": "/nowhere"}, "cannot read"),
    ],
)
def test_what_is_wrong_with_the_part_on_work_leases_is_one_line(values: object, said: str) -> None:
    with pytest.raises(ConfigError, match=said) as caught:
        read_work_leases(values, {"a": 0})
    assert "\n" not in str(caught.value)
    assert read_work_leases(None, {}) is None


# --- the wire ---


def test_frames_come_apart_wherever_they_are_cut_and_only_signed_ones_are_read() -> None:
    secret = b"s" * 16
    sent = (
        encode_frame(secret, b"one")
        + encode_frame(secret, b"", STATUS_FULL)
        + encode_frame(secret, bytes(range(256)))
    )
    for cut in range(len(sent)):
        frames, found = FrameReader(secret), []
        for part in (sent[:cut], sent[cut:]):
            frames.feed(part)
            while (one := frames.next()) is not None:
                found.append(one)
        assert found == [
            Frame(STATUS_OK, b"one"),
            Frame(STATUS_FULL, b""),
            Frame(STATUS_OK, bytes(range(256))),
        ]
    for at in range(4, len(encode_frame(secret, b"one"))):
        spoilt = bytearray(encode_frame(secret, b"one"))
        spoilt[at] ^= 1
        frames = FrameReader(secret)
        frames.feed(bytes(spoilt))
        with pytest.raises(FrameError, match="not signed"):
            frames.next()
    frames = FrameReader(secret, max_body_bytes=2)
    frames.feed(encode_frame(secret, b"one"))
    with pytest.raises(FrameError, match="of 3 bytes"):
        frames.next()
