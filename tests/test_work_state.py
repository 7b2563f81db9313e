"""Tests of work leases: ownership, attempts, outcomes, bounds, the journal, the policy, the model checker."""

import os
from dataclasses import replace
from pathlib import Path

import pytest

from tests.helpers import (
    SECOND_US,
    SETTINGS,
    GatewayHarness,
    actions_of_type,
    copy_with_log,
    current_log_path,
    servers,
)
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
from thistletrail.leasing.model_checking.work_faults import (
    PLANTED_FAULTS,
    PLANTED_REFUSAL_FAULTS,
    WorkModel,
)
from thistletrail.leasing.model_checking.work_refusals import check_near_refusals, check_refusal_walks
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
    defaults = {
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
    return BeginWork(**{**defaults, **values})


class Fleet:
    """Gateways of one lease service; each `call` is a request and its response."""

    def __init__(self, gateways: int = 3) -> None:
        self.now, self.work = START, WorkState(0)
        self.holders = [WorkHolder(gateway, 1) for gateway in range(gateways)]
        self.log: list[object] = []
        for gateway in range(gateways):
            self.call(gateway)

    def call(
        self, gateway: int, *operations: WorkOperation
    ) -> tuple[list[OperationResult], list[TransferredWork]]:
        holder = self.holders[gateway]
        holder.drop_expired(self.now)
        for operation in operations:
            holder.enqueue(operation)
        decision = self.work.handle(holder.next_request(self.now), self.now)
        self.log += decision.records
        applied = holder.on_response(decision.response, self.now)
        return [entry.result for entry in applied.operations], list(applied.transferred)

    def begin(self, gateway: int, operation: BeginWork) -> OperationResult:
        return self.call(gateway, operation)[0][-1]

    def advance(self, ms: int, *alive: int) -> None:
        """Advance the clock while these gateways renew and the lease service transfers lost items."""
        for _ in range(ms // 100):
            self.now += 100
            for gateway in alive:
                self.call(gateway)
            self.log += self.work.transfer_lost_items(self.now)

    def lose_all_but(self, *alive: int) -> tuple[int, TransferredWork]:
        """Let all other gateways' leases end; return the only transferred item and its new owner."""
        transfers: list[tuple[int, TransferredWork]] = []
        for _ in range(WORK_LEASE_MS // 100 + 1):
            self.now += 100
            transfers += [(gateway, item) for gateway in alive for item in self.call(gateway)[1]]
            self.log += self.work.transfer_lost_items(self.now)
        transfers += [(gateway, item) for gateway in alive for item in self.call(gateway)[1]]
        (transfer,) = transfers
        return transfer


# --- ownership ---


def test_work_of_a_lost_owner_is_transferred_to_one_gateway_under_a_higher_fence() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    taker, transferred = fleet.lose_all_but(1, 2)
    assert taker == max((1, 2), key=lambda gateway: rendezvous_weight(f"{gateway}/1", "c/k"))
    assert transferred.fence > result.fence and (transferred.server, transferred.place) == ("s1", "east")
    assert fleet.holders[taker].owns("c/k", transferred.fence, fleet.now)
    # The first owner resumes: it owns nothing, and its operations are refused.
    assert not fleet.holders[0].owns("c/k", result.fence, fleet.now)
    assert fleet.call(0, CompleteWork(name="c/k", fence=result.fence, value=b"late"))[0][-1].status == "lost"
    assert (
        fleet.call(taker, CompleteWork(name="c/k", fence=transferred.fence, value=b"v"))[0][-1].status
        == "kept"
    )
    assert fleet.begin(0, begin_work(request_id="again")) == OperationResult(
        status=OperationStatus.ANSWERED, value=b"v"
    )


def test_a_later_incarnation_of_a_gateway_replaces_the_earlier_one_at_once() -> None:
    fleet = Fleet()
    fleet.begin(0, begin_work())
    fleet.holders[0] = WorkHolder(0, 2)
    fleet.call(0)
    owner = fleet.work.store.items["c/k"].owner
    assert owner in ("0/2", "1/1", "2/1") and fleet.now == START
    # A late request of the earlier incarnation changes nothing.
    stale = fleet.work.handle(
        WorkRequest(gateway=0, incarnation=1, serial=99, operations=(begin_work("c/other"),)), fleet.now
    )
    assert [result.status for result in stale.response.results] == ["lost"] and not stale.records


def test_a_pause_shorter_than_the_lease_transfers_nothing() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    fleet.advance(WORK_LEASE_MS - 100, 1, 2)
    fleet.now += 80
    assert not fleet.work.transfer_lost_items(fleet.now) and fleet.work.store.items["c/k"].owner == "0/1"
    fleet.call(0)
    # By the holder's clock its lease had ended: it released the item, which waits to be requested again.
    assert not fleet.holders[0].owns("c/k", result.fence, fleet.now)


def test_a_holder_stops_a_margin_before_its_lease_ends_at_the_lease_service() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    margin = WORK_LEASE_MS // 50 + WRITE_MARGIN_MS
    assert fleet.holders[0].owns("c/k", result.fence, START + WORK_LEASE_MS - margin - 1)
    assert not fleet.holders[0].owns("c/k", result.fence, START + WORK_LEASE_MS - margin)
    assert fleet.work.membership.is_alive("0/1", START + WORK_LEASE_MS - 1)


def test_a_repeated_request_waits_for_the_owner_or_continues_where_it_ran() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    assert fleet.begin(1, begin_work(request_id="again")).status == "elsewhere"
    assert fleet.begin(1, begin_work(request_id="again", digest="another body")).status == "other"
    # Its first client leaves, and the gateway releases it: the next request owns it, in the same zone.
    fleet.call(0, ReleaseWork(name="c/k", fence=result.fence))
    owned = fleet.begin(1, begin_work(request_id="again", server="s2", place="west"))
    assert (owned.status, owned.server, owned.place) == ("kept", "s1", "east") and owned.fence > result.fence
    # The same request is sent again, as its response was lost.
    assert fleet.begin(1, begin_work(request_id="again", server="s2", place="west")) == owned
    assert fleet.begin(1, begin_work(request_id="third", server="s2", place="west")).status == "elsewhere"


def test_an_item_that_never_ran_is_dropped_or_transferred_without_a_location() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    fleet.call(0, ReleaseWork(name="c/k", fence=result.fence, never_ran=True))
    assert not fleet.work.store.items
    result = fleet.begin(0, begin_work(effect=WorkEffect.UNSAFE))
    # A draining gateway releases its items for transfer.
    fleet.call(0, ReleaseWork(name="c/k", fence=result.fence, transfer=True, never_ran=True))
    transferred = [item for gateway in (1, 2) for item in fleet.call(gateway)[1]]
    assert [item.server for item in transferred] == [""]


def test_a_delayed_attempt_message_does_not_replace_a_later_attempt() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    fleet.call(
        0,
        AttemptWork(
            name="c/k", fence=result.fence, number=1, server="s2", place="west", earlier_never_ran=True
        ),
    )
    assert fleet.work.store.items["c/k"].last_run == Location("s2", "west")
    # A late repetition of the first operation changes nothing.
    fleet.call(0, AttemptWork(name="c/k", fence=result.fence, number=2, server="s3", place="west"))
    fleet.call(
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
def test_the_outcome_of_each_effect_after_its_owner_is_lost(
    effect: WorkEffect, status: OperationStatus
) -> None:
    fleet = Fleet(2)
    fleet.begin(0, begin_work(effect=effect))
    if effect is WorkEffect.KEYED:
        fleet.lose_all_but(1)
        fleet.advance(300)
    else:
        fleet.advance(WORK_LEASE_MS + 100, 1)
        assert not [item for item in fleet.call(1)[1]]
    if effect is not WorkEffect.KEYED:
        assert fleet.begin(1, begin_work(request_id="again", effect=effect)).status == status


def test_an_item_past_its_deadline_is_not_transferred_and_is_dropped_after_its_window() -> None:
    fleet = Fleet(2)
    fleet.begin(0, begin_work(left_ms=500, window_ms=3000))
    fleet.advance(WORK_LEASE_MS + 100, 1)
    assert fleet.work.store.items["c/k"].owner == "" and not fleet.call(1)[1]
    fleet.advance(3000, 1)
    assert (
        not fleet.work.store.items
        and not fleet.work.store.item_count_by_customer
        and not fleet.work.store.total_bytes
    )


def test_an_item_whose_owners_died_too_often_is_parked() -> None:
    fleet = Fleet(4)
    fleet.begin(0, begin_work(left_ms=60_000, window_ms=120_000))
    alive = [1, 2, 3]
    for _ in range(MAX_OWNER_DEATHS - 1):
        taker, _ = fleet.lose_all_but(*alive)
        fleet.call(taker)  # acknowledges the transfer
        alive.remove(taker)
    fleet.advance(WORK_LEASE_MS + 100, *alive)
    assert [item.name for item in fleet.work.store.parked] == ["c/k"]
    assert fleet.begin(alive[0], begin_work(request_id="again")).status == "failed"


def test_the_death_of_a_taker_that_never_accepted_an_item_does_not_count() -> None:
    fleet = Fleet(3)
    fleet.begin(0, begin_work(left_ms=60_000, window_ms=120_000))
    fleet.now += WORK_LEASE_MS  # none renews: all are lost
    fleet.work.transfer_lost_items(fleet.now)
    assert fleet.work.store.items["c/k"].awaits_taker and fleet.work.store.items["c/k"].deaths == 1
    fleet.holders[1] = WorkHolder(1, 2)
    fleet.call(1)
    fleet.work.transfer_lost_items(fleet.now)
    assert fleet.work.store.items["c/k"].owner == "1/2"
    fleet.now += WORK_LEASE_MS
    fleet.work.transfer_lost_items(fleet.now)
    assert fleet.work.store.items["c/k"].deaths == 1


def test_transferred_items_are_spread_over_the_live_gateways() -> None:
    fleet = Fleet(9)
    for number in range(400):
        fleet.begin(0, begin_work(f"c/{number}", customer=f"c{number % 4}"))
    fleet.now += 500
    for gateway in range(1, 9):
        fleet.call(gateway)
    fleet.now += 500
    fleet.work.transfer_lost_items(fleet.now)
    shares = [
        sum(item.owner == f"{gateway}/1" for item in fleet.work.store.items.values())
        for gateway in range(1, 9)
    ]
    assert sum(shares) == 400 and max(shares) < 2 * 400 / 8
    assert len(fleet.call(1)[1]) <= work_state.MAX_TRANSFERRED_PER_RESPONSE


def test_items_of_eighteen_lost_gateways_go_to_the_two_that_remain() -> None:
    fleet = Fleet(20)
    for number in range(2000):
        fleet.holders[number % 20].enqueue(
            begin_work(
                f"c{number % 50}/{number}", customer=f"c{number % 50}", left_ms=60_000, window_ms=60_000
            )
        )
    for gateway in range(20):
        while fleet.holders[gateway].queue:
            assert {result.status for result in fleet.call(gateway)[0]} == {"kept"}
    taker_by_name: dict[str, int] = {}
    for _ in range(40):
        fleet.now += 100
        for gateway in (0, 1):
            transferred = fleet.call(gateway)[1]
            assert len(transferred) <= work_state.MAX_TRANSFERRED_PER_RESPONSE
            for item in transferred:
                assert item.name not in taker_by_name
                taker_by_name[item.name] = gateway
        fleet.work.transfer_lost_items(fleet.now)
    assert len(taker_by_name) == 1800 and 600 < sum(taker_by_name.values()) < 1200


# --- bounds ---


def test_items_beyond_a_bound_are_answered_full_and_outcomes_make_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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
    # An item that has ended is evicted for a new one.
    fence = fleet.work.store.items["c/0"].fence
    fleet.call(0, CompleteWork(name="c/0", fence=fence, value=b"v"))
    assert fleet.begin(0, begin_work("other/2", customer="other")).status == "kept"
    assert "c/0" not in fleet.work.store.items and fleet.work.counters.evicted == 1


def test_a_value_that_is_too_large_to_store_is_reported_as_failed_not_as_empty() -> None:
    fleet = Fleet()
    result = fleet.begin(0, begin_work())
    large = CompleteWork(name="c/k", fence=result.fence, value=b"x" * (MAX_VALUE_BYTES + 1))
    assert fleet.call(0, large)[0][-1].status == "kept"
    assert fleet.begin(1, begin_work(request_id="again")) == OperationResult(status=OperationStatus.FAILED)


@pytest.mark.parametrize("gateway", [-1, work_state.MAX_GATEWAYS])
def test_a_gateway_out_of_range_is_rejected(gateway: int) -> None:
    with pytest.raises(RequestRejectedError, match="numbered"):
        WorkState(0).handle(WorkRequest(gateway=gateway, incarnation=1, serial=1), START)


# --- the holder ---


def test_an_unanswered_request_is_sent_again_and_a_late_response_has_no_effect() -> None:
    fleet, holder = Fleet(1), WorkHolder(5, 1)
    holder.enqueue(begin_work())
    first = holder.next_request(START)
    response = fleet.work.handle(first, START).response
    holder.requeue_unanswered()
    second = holder.next_request(START + 100)
    assert second.operations == first.operations
    # The request of this response is no longer in flight.
    assert holder.on_response(response, START + 100) == AppliedResponse()
    again = fleet.work.handle(second, START + 100).response
    (result,) = [entry.result for entry in holder.on_response(again, START + 100).operations]
    assert result.status == "kept" and holder.owns("c/k", result.fence, START + 100)
    holder.next_request(START + 200)
    late = WorkResponse(gateway=5, incarnation=1, serial=holder.serial, lease_ms=WORK_LEASE_MS)
    holder.on_response(late, START + 5000)
    assert not holder.is_alive(START + 5000)


def test_work_transferred_after_the_lease_is_not_accepted_and_is_transferred_again() -> None:
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
    # It is acknowledged until that request is answered, and accepted once.
    assert holder.next_request(START + 980).accepted_fences == (7,)
    third = WorkResponse(
        gateway=5, incarnation=1, serial=3, lease_ms=WORK_LEASE_MS, transferred=(transferred,)
    )
    assert holder.on_response(third, START + 990) == AppliedResponse()


def test_a_begin_is_withdrawn_from_the_queue_or_released_after_its_result() -> None:
    fleet, holder = Fleet(1), WorkHolder(5, 1)
    holder.enqueue(begin_work())
    assert holder.withdraw(begin_work())
    assert not holder.queue
    holder.enqueue(begin_work())
    request = holder.next_request(START)
    assert not holder.withdraw(begin_work())
    response = fleet.work.handle(request, START).response
    holder.on_response(response, START)
    assert (
        [type(operation) for operation in holder.queue] == [ReleaseWork]
        and holder.queue[0].never_ran
        and not holder.fences
    )
    fleet.work.handle(holder.next_request(START), START)
    assert not fleet.work.store.items


def test_a_withdrawn_begin_that_was_sent_is_sent_again_only_to_be_released() -> None:
    # Guards against BUSY for a request whose first call had no response, but was carried out.
    fleet, holder = Fleet(1), WorkHolder(5, 1)
    holder.enqueue(begin_work())
    fleet.work.handle(holder.next_request(START), START)
    holder.requeue_unanswered()
    assert not holder.withdraw(begin_work())
    assert [operation.left_ms for operation in holder.queue] == [0]
    request = holder.next_request(START)
    (applied,) = holder.on_response(fleet.work.handle(request, START).response, START).operations
    assert applied.is_withdrawn and applied.was_repeated and not applied.may_run_elsewhere
    assert not holder.fences and not holder.unresolved and not holder.withdrawn
    fleet.work.handle(holder.next_request(START), START)
    assert not fleet.work.store.items


def test_a_begin_withdrawn_in_flight_is_sent_again_only_to_be_released() -> None:
    # Guards against work that is recorded only after its client was answered, and is then run.
    holder = WorkHolder(5, 1)
    holder.enqueue(begin_work())
    holder.next_request(START)
    assert not holder.withdraw(begin_work())
    for _ in range(2):
        holder.requeue_unanswered()
        assert [operation.left_ms for operation in holder.next_request(START).operations] == [0]
    assert len(holder.withdrawn) == len(holder.unresolved) == 1


def test_a_begin_that_was_not_persisted_when_repeated_is_sent_again() -> None:
    # Guards against work that counts as not recorded, as only its repetition was not.
    holder = WorkHolder(5, 1)
    holder.enqueue(begin_work())
    holder.next_request(START)
    holder.requeue_unanswered()
    holder.next_request(START)
    assert not holder.on_not_persisted()
    assert holder.queue == [begin_work()]


def test_a_begin_answered_with_a_fence_that_is_being_released_gives_no_item() -> None:
    # Guards against issue 35, entry 1: a gateway that takes itself for the owner of a dropped item.
    fleet, holder = Fleet(1), WorkHolder(5, 1)
    holder.enqueue(begin_work())
    first = holder.next_request(START)
    holder.withdraw(begin_work())
    holder.enqueue(begin_work())
    holder.on_response(fleet.work.handle(first, START).response, START)
    request = holder.next_request(START)
    applied = holder.on_response(fleet.work.handle(request, START).response, START).operations
    assert [entry.result.status for entry in applied] == [
        OperationStatus.ELSEWHERE,
        OperationStatus.PERSISTED,
    ]
    assert not holder.fences and not holder.releasing and not fleet.work.store.items


@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_delayed_request_changes_nothing_after_the_end_of_its_gateways_lease(is_restarted: bool) -> None:
    # Guards against released work that a delayed call begins again, for a gateway that is lost.
    fleet = Fleet(2)
    holder = fleet.holders[0]
    holder.enqueue(begin_work())
    delayed = holder.next_request(fleet.now)
    holder.requeue_unanswered()
    fleet.call(0)
    holder.release("c/k", never_ran=True)
    fleet.call(0)
    fleet.advance(2 * WORK_LEASE_MS, 1)
    if is_restarted:
        restarted = WorkState(0)
        for record in fleet.log:
            restarted.restore(record)
        restarted.finish_restore(fleet.now)
        fleet.work = restarted
    decision = fleet.work.handle(delayed, fleet.now)
    assert [result.status for result in decision.response.results] == [OperationStatus.LOST]
    assert not fleet.work.store.items and not decision.records


def test_work_taken_over_by_a_request_that_is_not_persisted_has_no_owner() -> None:
    # Guards against a request that is refused as not recorded, and run after its gateway's loss.
    fleet = Fleet(2)
    fence = fleet.begin(0, begin_work()).fence
    fleet.call(0, ReleaseWork(name="c/k", fence=fence))
    holder = fleet.holders[1]
    holder.enqueue(begin_work(request_id="c/k-2"))
    decision = fleet.work.handle(holder.next_request(fleet.now), fleet.now)
    remaining = fleet.work.revert_unjournaled(decision.records)
    (applied,) = holder.on_not_persisted()
    assert applied.result.status == OperationStatus.FULL and not applied.may_run_elsewhere
    restored = WorkState(0)
    for record in [*fleet.log, *remaining]:
        restored.restore(record)
    for work in (fleet.work, restored):
        assert not work.store.items["c/k"].owner and work.store.items["c/k"].may_have_run
    fleet.advance(2 * WORK_LEASE_MS, 0)
    assert not fleet.work.store.items["c/k"].owner


def test_a_snapshot_keeps_the_latest_request_of_each_gateway() -> None:
    # Guards against a delayed call that is carried out after a snapshot and a restart.
    fleet = Fleet(2)
    fleet.call(1, begin_work())
    restored = WorkState(0)
    for record in fleet.work.snapshot_records():
        restored.restore(record)
    assert restored.membership.stamps() == fleet.work.membership.stamps()
    assert list(restored.store.items) == ["c/k"]


def test_a_request_that_is_not_persisted_returns_its_begins_and_queues_the_rest_again() -> None:
    holder = WorkHolder(5, 1)
    holder.enqueue(begin_work())
    holder.enqueue(CompleteWork(name="c/x", fence=1, value=b""))
    holder.next_request(START)
    unrecorded = holder.on_not_persisted()
    assert [applied.operation.name for applied in unrecorded] == ["c/k"]
    assert [applied.result.status for applied in unrecorded] == [OperationStatus.FULL]
    assert [operation.name for operation in holder.queue] == ["c/x"] and not holder.on_not_persisted()
    # The queue is bounded.
    assert sum(holder.enqueue(begin_work(str(n))) for n in range(5 * MAX_OPERATIONS)) < 5 * MAX_OPERATIONS


def test_a_request_is_bounded_in_operations_and_bytes() -> None:
    holder = WorkHolder(5, 1)
    for number in range(2 * MAX_BEGINS_PER_REQUEST):
        holder.enqueue(begin_work(str(number)))
    holder.enqueue(CompleteWork(name="large", fence=1, value=b"x" * MAX_REQUEST_BYTES))
    holder.enqueue(CompleteWork(name="other", fence=1, value=b"x" * MAX_REQUEST_BYTES))
    requests = []
    while holder.queue:
        requests.append([operation.name for operation in holder.next_request(START).operations])
    assert [len(names) for names in requests] == [MAX_BEGINS_PER_REQUEST, MAX_BEGINS_PER_REQUEST, 1, 1]


# --- the journal ---


def item_states(work: WorkState) -> list[tuple[object, ...]]:
    return sorted(
        (
            item.name,
            item.owner,
            item.fence,
            item.last_run,
            item.run_before_owner,
            item.outcome,
            item.value,
            item.first_run_ms,
            item.deaths,
            item.awaits_taker,
            item.attempt_number,
        )
        for item in work.store.items.values()
    )


def write_history(folder: Path) -> tuple[list[int], list[list[tuple[object, ...]]]]:
    """Journal the requests of two gateways; return the log's size and the state after each request."""
    begin_history(folder, CONFIG)
    journal = Journal(begin_term(folder))
    work = journal.open(CONFIG).work
    holders, now, sizes, states = [WorkHolder(0, 1), WorkHolder(1, 1)], now_ms(), [], []

    def call(gateway: int, *operations: WorkOperation) -> None:
        for operation in operations:
            holders[gateway].enqueue(operation)
        decision = work.handle(holders[gateway].next_request(now), now)
        journal.append([], decision.records)
        holders[gateway].on_response(decision.response, now)
        sizes.append(journal.records.size_bytes)
        states.append(item_states(work))

    call(0, begin_work("c/1"), begin_work("c/2", effect=WorkEffect.UNSAFE))
    call(1, begin_work("c/3", request=bytes(range(256))))
    call(0, AttemptWork(name="c/1", fence=holders[0].fences["c/1"], number=1, server="s2", place="east"))
    call(0, CompleteWork(name="c/2", fence=holders[0].fences["c/2"], value=b"\x00\xff"))
    holders[0] = WorkHolder(0, 2)  # replaces its earlier incarnation
    call(0)
    journal.close()
    return sizes, states


def test_no_acknowledged_change_is_lost_wherever_the_log_is_cut(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "fsync", lambda file: None)  # each cut simulates data that was not synced
    fixed_now_ms = now_ms()
    monkeypatch.setattr(journal_module, "now_ms", lambda: fixed_now_ms)
    sizes, states = write_history(tmp_path / "complete")
    complete_log = current_log_path(tmp_path / "complete").read_bytes()
    for cut in range(sizes[0], len(complete_log) + 1):
        journal = Journal(
            begin_term(copy_with_log(tmp_path / "complete", tmp_path / f"{cut}", complete_log[:cut]))
        )
        work = journal.open(CONFIG).work
        written_count = sum(size <= cut for size in sizes)
        if cut in sizes:
            assert item_states(work) == states[written_count - 1]
        names = {row[0] for row in states[written_count - 1]}
        assert names <= set(work.store.items)
        # An owner may have been alive until now: its items are not transferred before a lease has ended.
        assert all(
            work.membership.is_alive(item.owner, fixed_now_ms) or work.membership.is_replaced(item.owner)
            for item in work.store.items.values()
            if item.owner
        )
        journal.close()
    journal = Journal(begin_term(tmp_path / "complete"))
    work = journal.open(CONFIG).work  # also writes a snapshot
    journal.close()
    journal = Journal(begin_term(tmp_path / "complete"))
    assert item_states(journal.open(CONFIG).work) == item_states(work)
    journal.close()


def test_a_long_or_large_log_is_replaced_by_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_history(tmp_path)
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


def test_work_of_another_boot_is_dropped(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write_history(tmp_path)
    monkeypatch.setattr(journal_module, "boot_id", lambda: "another")
    journal = Journal(begin_term(tmp_path))
    assert not journal.open(CONFIG).work.store.items
    journal.close()


# --- the model check ---


@pytest.mark.parametrize("is_first_holding_all", [False, True])
def test_all_near_states_satisfy_the_properties(is_first_holding_all: bool) -> None:
    result = check_near_states(WorkModel, 2, 3, is_first_holding_all)
    assert not result.violation, result.trace
    assert result.states > 500


def test_random_walks_satisfy_the_properties() -> None:
    result = check_walks(WorkModel, 3, Walks(300, 30, 2))
    assert not result.violation, result.trace


def test_near_refusals_satisfy_the_properties() -> None:
    result = check_near_refusals(WorkModel, 5)
    assert not result.violation, result.trace
    assert result.states > 1000


def test_random_refusals_satisfy_the_properties() -> None:
    result = check_refusal_walks(WorkModel, Walks(3000, 25, 2))
    assert not result.violation, result.trace


@pytest.mark.parametrize("fault", PLANTED_REFUSAL_FAULTS, ids=lambda fault: fault.name)
def test_each_planted_fault_of_refusals_violates_a_property(fault: type[WorkModel]) -> None:
    assert check_refusal_walks(fault, Walks(20_000, 25, 1)).violation


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda fault: fault.name)
def test_each_planted_fault_violates_a_property(fault: type[WorkModel]) -> None:
    assert check_walks(fault, 3, Walks(20_000, 25, 1)).violation


# --- the policy ---

KEYED = RequestClass(
    latency_objective_us=2 * SECOND_US,
    deadline_us=6 * SECOND_US,
    effect=Effect.IDEMPOTENT_BY_KEY,
    idempotency_scope=IdempotencyScope.ZONE,
    idempotency_window_us=8 * SECOND_US,
)
UNSAFE = RequestClass(latency_objective_us=2 * SECOND_US, deadline_us=6 * SECOND_US, effect=Effect.UNSAFE)
SMALL_PLAN = Plan(rate=0.01, burst=1.0)
WORK_SETTINGS = replace(SETTINGS, classes=(KEYED, UNSAFE), plans=(SMALL_PLAN,))


def test_taken_over_work_costs_no_units_and_stays_in_its_zone() -> None:
    harness = GatewayHarness(WORK_SETTINGS, servers(8))
    assert actions_of_type(StartAttempt, harness.send_request("own"))  # uses up the quota
    for number in range(20):
        (sent,) = actions_of_type(
            StartAttempt, harness.send_request(f"in-{number}", is_taken_over=True, ran_on_server="s3")
        )
        assert int(sent.server[1:]) % 2 == 1  # in zone 1, as s3
    # Another attempt after one that never ran stays in the zone too.
    sends = actions_of_type(StartAttempt, harness.complete_attempt("in-0", AttemptResult.CONNECT_FAILED))
    assert all(int(sent.server[1:]) % 2 == 1 for sent in sends)
    assert actions_of_type(StartAttempt, harness.send_request("free", is_taken_over=True))


def test_taken_over_unsafe_work_that_may_have_run_fails() -> None:
    harness = GatewayHarness(WORK_SETTINGS)
    assert actions_of_type(
        FailRequest, harness.send_request("a", is_taken_over=True, ran_on_server="s1", class_index=1)
    )
    assert actions_of_type(StartAttempt, harness.send_request("b", is_taken_over=True, class_index=1))


def test_work_owned_elsewhere_returns_its_units_and_counts_no_failure() -> None:
    harness = GatewayHarness(WORK_SETTINGS)
    assert actions_of_type(StartAttempt, harness.send_request("a"))
    server, sent, _ = harness.in_flight.pop(("a", 0))
    harness.handle(AttemptEnded("a", True, 0, server, AttemptResult.OWNED_ELSEWHERE, harness.now_us - sent))
    assert "a" not in harness.engine.requests_by_id and not harness.engine.servers_by_name[server].failures
    assert actions_of_type(StartAttempt, harness.send_request("b"))  # the quota is unchanged
    assert not actions_of_type(StartAttempt, harness.send_request("c"))


# --- the configuration ---


@pytest.mark.parametrize(
    "values, expected",
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
def test_an_invalid_work_lease_configuration_is_reported_in_one_line(values: object, expected: str) -> None:
    with pytest.raises(ConfigError, match=expected) as caught:
        read_work_leases(values, {"a": 0})
    assert "\n" not in str(caught.value)
    assert read_work_leases(None, {}) is None


# --- the wire ---


def test_frames_are_split_at_any_cut_and_unsigned_or_large_ones_are_refused() -> None:
    secret = b"s" * 16
    sent = (
        encode_frame(secret, b"one")
        + encode_frame(secret, b"", STATUS_FULL)
        + encode_frame(secret, bytes(range(256)))
    )
    for cut in range(len(sent)):
        frames, received = FrameReader(secret), []
        for chunk in (sent[:cut], sent[cut:]):
            frames.feed(chunk)
            while (frame := frames.next()) is not None:
                received.append(frame)
        assert received == [
            Frame(STATUS_OK, b"one"),
            Frame(STATUS_FULL, b""),
            Frame(STATUS_OK, bytes(range(256))),
        ]
    for index in range(4, len(encode_frame(secret, b"one"))):
        corrupted = bytearray(encode_frame(secret, b"one"))
        corrupted[index] ^= 1
        frames = FrameReader(secret)
        frames.feed(bytes(corrupted))
        with pytest.raises(FrameError, match="not signed"):
            frames.next()
    frames = FrameReader(secret, max_body_bytes=2)
    frames.feed(encode_frame(secret, b"one"))
    with pytest.raises(FrameError, match="of 3 bytes"):
        frames.next()
