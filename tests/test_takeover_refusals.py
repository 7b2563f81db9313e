"""Tests that a request which was answered BUSY is run by no gateway, wherever its record is at that moment.

A gateway's open requests and its work leases are joined to the lease service's state machine without sockets:
a test sends and delivers each message between them. The policy's decisions are given by the test.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from tests.sockets import CONFIG, CUSTOMER, run_scenario, submit_command
from thistletrail.gateway.backends import Attempt, now_us
from thistletrail.gateway.command_parser import CommandError, CommandParser
from thistletrail.gateway.config import WorkLeaseSettings
from thistletrail.gateway.cost_counters import CostCounters
from thistletrail.gateway.exchanges import Exchanges
from thistletrail.gateway.resp import CommandReader
from thistletrail.gateway.takeover import TakeoverCoordinator, work_table
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.messages import (
    AttemptWork,
    BeginWork,
    ReleaseWork,
    TransferredWork,
    WorkOperation,
    WorkRequest,
    WorkResponse,
)
from thistletrail.leasing.work_holder import MAX_QUEUED_OPERATIONS, WorkHolder
from thistletrail.leasing.work_state import LOST, WorkState
from thistletrail.policy.actions import FailRequest, RejectRequest, StartAttempt
from thistletrail.policy.events import AttemptEnded, AttemptResult, ClientDisconnected, Server, ServerState

BUSY, FAILED = b"-BUSY 500\r\n", b"-ERR failed\r\n"
# Long enough that no lease ends while a test runs, and shorter than the window of a key.
LEASE_MS = 4_000
DEADLINE_MS = 6_000
CLASS_NAME, WORK_NAME = "book", f"{CUSTOMER}/5c0f"
WORK_LEASES = WorkLeaseSettings((("127.0.0.1", 1),), b"0123456789abcdef", frozenset({1, 2}))


class StubReply:
    """A client that waits for one answer."""

    def __init__(self) -> None:
        self.id: str | None = None
        self.answers: list[bytes] = []
        self.is_connected = True
        self.connection = SimpleNamespace(unread_us=lambda now: 0)

    def waits(self) -> bool:
        return False

    def is_wanted(self) -> bool:
        return self.is_connected

    def send(self, data: bytes) -> None:
        self.answers.append(data)


class LeasedGateway:
    """A gateway with work leases, the lease service, and a second gateway that takes over lost work.

    It also stands for the policy and the scan servers: it notes the events and the attempts.
    """

    def __init__(self) -> None:
        config = replace(CONFIG, work_leases=WORK_LEASES)
        parser = CommandParser(config)
        self.events: list[object] = []
        self.attempts: list[Attempt] = []
        self.exchanges = Exchanges(config, parser, self, self, CostCounters(False), 1 << 20, 100)
        entries = [Server(f"s{zone}", zone, 0, zone, ServerState.SERVING) for zone in range(2)]
        self.servers_by_name = {entry.name: SimpleNamespace(entry=entry) for entry in entries}
        self.leases = TakeoverCoordinator(config, self.exchanges, self, self, parser, self)
        self.exchanges.work_leases = self.leases
        self.holder = self.leases.holder
        self.service = WorkState(0, LEASE_MS)
        self.service_ms = now_ms()
        self.other = WorkHolder(1, 1)
        self.exchange()
        self.transferred_to_other()

    # --- what the gateway calls ---

    def post(self, event: object) -> None:
        self.events.append(event)

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        self.attempts.append(attempt)

    # --- the client and the policy ---

    def open(self, name: str) -> StubReply:
        """Have a client send a request, and the policy start its first attempt."""
        reader = CommandReader()
        reader.feed(submit_command(name, CLASS_NAME, DEADLINE_MS))
        reply = StubReply()
        self.exchanges.on_command(reader.next(), reply)
        self.start_attempt(name)
        return reply

    def start_attempt(self, name: str, server: str = "s0") -> None:
        self.exchanges.start_attempt(StartAttempt(name, server, 1_000_000))

    def reject(self, name: str) -> None:
        self.exchanges.reject(RejectRequest(name, 500_000))

    def time_out_record(self, name: str) -> None:
        """Let the time for the record of an attempt pass, upon which the policy rejects the request."""
        self.leases.on_record_timeout(self.leases.table.by_request_id[name])
        assert [event.result for event in self.events_of(AttemptEnded)][-1] is AttemptResult.NOT_SENT
        self.reject(name)

    def events_of(self, event_type: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, event_type)]

    # --- the lease service ---

    def send_request(self) -> WorkRequest:
        return self.holder.next_request(now_ms())

    def deliver(self, request: WorkRequest) -> WorkResponse:
        return self.service.handle(request, self.service_ms).response

    def receive(self, response: WorkResponse) -> None:
        self.leases.client.is_unreachable = False
        self.leases.on_response(response)

    def exchange(self) -> None:
        self.receive(self.deliver(self.send_request()))

    def lose_response(self) -> None:
        """Have the call in flight fail without a response; the next one succeeds."""
        self.leases.client.use_next_address()
        self.leases.client.is_unreachable = False

    def queued(self, operation_type: type[WorkOperation]) -> list[Any]:
        return [operation for operation in self.holder.queue if isinstance(operation, operation_type)]

    # --- after the gateway's death ---

    def transferred_to_other(self) -> tuple[TransferredWork, ...]:
        """Renew the other gateway's lease; return what was transferred to it."""
        request = self.other.next_request(self.service_ms)
        response = self.service.handle(request, self.service_ms).response
        return self.other.on_response(response, self.service_ms).transferred

    def lose_gateway(self) -> list[str]:
        """Let the gateway be silent for a lease; return the names of the work that the other one runs."""
        for _ in range(2):
            self.service_ms += LEASE_MS // 2
            self.transferred_to_other()
        self.service_ms += 1
        self.service.transfer_lost_items(self.service_ms)
        return [item.name for item in self.transferred_to_other()]


def scenario(test: Callable[[LeasedGateway], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Run a test with a gateway, on an event loop."""

    async def run() -> None:
        await test(LeasedGateway())

    def wrapper() -> None:
        run_scenario(run())

    wrapper.__name__ = test.__name__
    wrapper.__doc__ = test.__doc__
    return wrapper


# --- the first record of a request ---


@scenario
async def test_request_whose_record_was_never_sent_is_rejected_at_once(gateway: LeasedGateway) -> None:
    # Guards against a refusal that waits although nothing is on its way.
    reply = gateway.open("a1")
    gateway.time_out_record("a1")
    assert reply.answers == [BUSY] and not gateway.queued(BeginWork)
    assert not gateway.lose_gateway()


@scenario
async def test_request_whose_record_is_in_flight_fails_when_it_times_out(gateway: LeasedGateway) -> None:
    # Guards against review/6: BUSY, then the gateway dies, and another one runs the request.
    reply = gateway.open("a1")
    request = gateway.send_request()
    gateway.time_out_record("a1")
    assert reply.answers == [FAILED]
    gateway.deliver(request)
    assert gateway.lose_gateway() == [WORK_NAME]


@scenario
async def test_late_record_of_a_failed_request_is_released(gateway: LeasedGateway) -> None:
    # Guards against work that nobody owns up to, and that a retry of its client would wait for.
    reply = gateway.open("a1")
    response = gateway.deliver(gateway.send_request())
    gateway.time_out_record("a1")
    gateway.receive(response)
    gateway.exchange()
    assert reply.answers == [FAILED] and not gateway.service.store.items
    assert not gateway.attempts and not gateway.lose_gateway()


@scenario
async def test_request_rejected_while_its_record_is_in_flight_waits_for_the_release(
    gateway: LeasedGateway,
) -> None:
    # Guards against BUSY before the release is recorded, where the lease service is in time.
    reply = gateway.open("a1")
    response = gateway.deliver(gateway.send_request())
    gateway.reject("a1")
    gateway.receive(response)
    assert not reply.answers
    gateway.exchange()
    assert reply.answers == [BUSY] and not gateway.service.store.items


@scenario
async def test_repeated_record_is_not_forgotten_as_if_it_were_never_sent(gateway: LeasedGateway) -> None:
    # Guards against BUSY for a request whose first call had no response, but was carried out.
    reply = gateway.open("a1")
    gateway.deliver(gateway.send_request())
    gateway.lose_response()
    gateway.reject("a1")
    assert not reply.answers
    gateway.exchange()
    gateway.exchange()
    assert reply.answers == [BUSY] and not gateway.service.store.items


@scenario
async def test_withdrawn_record_that_is_sent_again_is_not_taken_over(gateway: LeasedGateway) -> None:
    # Guards against work that is recorded only after its client was answered, and is then run.
    reply = gateway.open("a1")
    gateway.send_request()
    gateway.lose_response()
    gateway.time_out_record("a1")
    assert reply.answers == [FAILED]
    gateway.deliver(gateway.send_request())
    assert not gateway.lose_gateway()


@scenario
async def test_record_withdrawn_before_its_call_fails_is_not_taken_over(gateway: LeasedGateway) -> None:
    # Guards against the same, where the client is answered while the call is still in flight.
    reply = gateway.open("a1")
    gateway.send_request()
    gateway.time_out_record("a1")
    assert reply.answers == [FAILED]
    gateway.lose_response()
    gateway.deliver(gateway.send_request())
    assert not gateway.lose_gateway()


@scenario
async def test_request_that_another_gateway_may_have_got_fails(gateway: LeasedGateway) -> None:
    # Guards against BUSY for work that was transferred while the responses were lost: it runs elsewhere.
    reply = gateway.open("a1")
    gateway.deliver(gateway.send_request())
    gateway.lose_response()
    assert gateway.lose_gateway()
    gateway.exchange()
    assert gateway.leases.counts.waited == 1 and not reply.answers
    gateway.reject("a1")
    assert reply.answers == [FAILED]


@scenario
async def test_request_whose_record_was_ignored_as_stale_fails(gateway: LeasedGateway) -> None:
    # Guards against BUSY where a call arrived twice, and the second response came first.
    reply = gateway.open("a1")
    request = gateway.send_request()
    gateway.deliver(request)
    repeated = gateway.deliver(request)
    assert repeated.results == (LOST,)
    gateway.receive(repeated)
    gateway.reject("a1")
    assert reply.answers == [FAILED] and gateway.lose_gateway() == [WORK_NAME]


@scenario
async def test_request_that_the_lease_service_cannot_store_is_rejected_at_once(
    gateway: LeasedGateway,
) -> None:
    # Guards against a request that fails although it is certain that it is not recorded.
    reply = gateway.open("a1")
    gateway.send_request()
    gateway.leases.on_batch_not_persisted(gateway.holder.on_not_persisted())
    gateway.reject("a1")
    assert reply.answers == [BUSY] and not gateway.lose_gateway()


@scenario
async def test_repeated_record_that_cannot_be_stored_stays_in_doubt(gateway: LeasedGateway) -> None:
    # Guards against BUSY where the first call was carried out, and only the repetition was not.
    reply = gateway.open("a1")
    gateway.deliver(gateway.send_request())
    gateway.lose_response()
    gateway.send_request()
    gateway.leases.on_batch_not_persisted(gateway.holder.on_not_persisted())
    gateway.reject("a1")
    assert not reply.answers and len(gateway.queued(BeginWork)) == 1


@scenario
async def test_operations_that_cannot_be_stored_wait_for_the_next_call(gateway: LeasedGateway) -> None:
    # Guards against calls without a pause while the lease service's disk is full.
    client = gateway.leases.client
    gateway.holder.enqueue(ReleaseWork(name="x", fence=1))
    client.is_unreachable, client.is_storage_full = False, True
    waiting = asyncio.get_running_loop().create_task(client.wait_for_next_call())
    await asyncio.sleep(0)
    assert not waiting.done()
    client.wake()
    await waiting


@scenario
async def test_request_that_finds_the_queue_full_leaves_no_record(gateway: LeasedGateway) -> None:
    # Guards against a request in doubt whose record never left the gateway.
    filler = ReleaseWork(name="x", fence=1)
    gateway.holder.queue += [filler] * MAX_QUEUED_OPERATIONS
    reply = gateway.open("a1")
    assert len(gateway.attempts) == 1
    gateway.attempts[0].finish(AttemptResult.AT_CAPACITY)
    gateway.reject("a1")
    assert reply.answers == [BUSY] and not gateway.queued(BeginWork) and not gateway.holder.withdrawn


# --- recorded requests ---


def open_recorded(gateway: LeasedGateway) -> StubReply:
    """Open a request whose first attempt is recorded and sent, and then ends as turned away."""
    reply = gateway.open("a1")
    gateway.exchange()
    gateway.attempts[-1].finish(AttemptResult.AT_CAPACITY)
    return reply


@scenario
async def test_recorded_request_is_rejected_once_its_release_is_recorded(gateway: LeasedGateway) -> None:
    # Guards against BUSY while another gateway would still take the work over.
    reply = open_recorded(gateway)
    gateway.reject("a1")
    assert not reply.answers and gateway.service.store.items
    gateway.exchange()
    assert reply.answers == [BUSY] and not gateway.service.store.items


@scenario
async def test_recorded_request_fails_at_once_while_the_lease_service_is_unreachable(
    gateway: LeasedGateway,
) -> None:
    # Guards against a client that waits for a lost lease service, and against BUSY without its word.
    reply = open_recorded(gateway)
    gateway.leases.client.is_unreachable = True
    gateway.reject("a1")
    assert reply.answers == [FAILED] and gateway.lose_gateway() == [WORK_NAME]


def test_recorded_request_fails_if_its_release_is_not_confirmed_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a client that waits for a slow lease service.
    monkeypatch.setattr(work_table, "WITHDRAWAL_TIMEOUT_S", 0.0)

    async def run() -> None:
        gateway = LeasedGateway()
        reply = open_recorded(gateway)
        gateway.reject("a1")
        while not reply.answers:
            await asyncio.sleep(0)
        assert reply.answers == [FAILED] and gateway.leases.counts.unconfirmed == 1

    run_scenario(run())


def test_rejection_does_not_wait_beyond_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an answer that is late.
    monkeypatch.setattr(work_table, "WITHDRAWAL_TIMEOUT_S", 1e6)

    async def run() -> None:
        gateway = LeasedGateway()
        reply = open_recorded(gateway)
        gateway.exchanges.cap_deadlines(now_us())
        gateway.reject("a1")
        while not reply.answers:
            await asyncio.sleep(0)
        assert reply.answers == [FAILED] and gateway.leases.counts.unconfirmed == 1

    run_scenario(run())


@scenario
async def test_recorded_request_fails_if_its_release_comes_too_late(gateway: LeasedGateway) -> None:
    # Guards against BUSY for work that the lease service has transferred before the release arrives.
    reply = open_recorded(gateway)
    gateway.reject("a1")
    assert gateway.lose_gateway()
    gateway.exchange()
    assert reply.answers == [FAILED]


@scenario
async def test_attempt_of_a_request_that_is_being_rejected_is_not_sent(gateway: LeasedGateway) -> None:
    # Guards against a request that runs here after its rejection was decided.
    reply = open_recorded(gateway)
    gateway.reject("a1")
    sent = len(gateway.attempts)
    gateway.start_attempt("a1")
    gateway.exchange()
    assert len(gateway.attempts) == sent and reply.answers == [BUSY]


@scenario
async def test_further_attempt_whose_record_times_out_leaves_the_request_failed(
    gateway: LeasedGateway,
) -> None:
    # Guards against BUSY after a retry whose record is in flight.
    reply = open_recorded(gateway)
    gateway.start_attempt("a1", "s1")
    gateway.send_request()
    gateway.time_out_record("a1")
    assert reply.answers == [FAILED]


@scenario
async def test_client_that_leaves_a_rejected_request_is_not_answered(gateway: LeasedGateway) -> None:
    # Guards against a second release, and an answer to nobody.
    reply = open_recorded(gateway)
    gateway.reject("a1")
    reply.is_connected = False
    gateway.exchanges.on_client_disconnected(reply)
    gateway.exchange()
    assert not reply.answers and not gateway.service.store.items and not gateway.queued(ReleaseWork)


@scenario
async def test_record_of_a_departed_client_is_released(gateway: LeasedGateway) -> None:
    # Guards against work that is taken over later although its client has left.
    reply = gateway.open("a1")
    response = gateway.deliver(gateway.send_request())
    reply.is_connected = False
    gateway.exchanges.on_client_disconnected(reply)
    gateway.receive(response)
    gateway.exchange()
    assert not reply.answers and not gateway.service.store.items and not gateway.lose_gateway()


@scenario
async def test_id_of_a_request_whose_record_may_exist_is_not_used_again(gateway: LeasedGateway) -> None:
    # Guards against two records of one id, of which one is released and the other is run.
    gateway.open("a1")
    gateway.send_request()
    gateway.time_out_record("a1")
    with pytest.raises(CommandError, match="in use"):
        gateway.open("a1")


# --- where a request may have run ---


@pytest.mark.parametrize("result", [AttemptResult.RESET, AttemptResult.TIMEOUT])
def test_attempt_that_was_not_sent_does_not_hide_an_earlier_one_that_may_have_run(
    result: AttemptResult,
) -> None:
    # Guards against review/3: the zone of the earlier attempt is forgotten, and the key runs in both zones.
    async def run() -> None:
        gateway = LeasedGateway()
        reply = gateway.open("a1")
        gateway.exchange()
        gateway.attempts[0].finish(result)
        gateway.start_attempt("a1", "s0")
        assert [operation.earlier_never_ran for operation in gateway.queued(AttemptWork)] == [False]
        gateway.exchange()
        gateway.attempts[1].finish(AttemptResult.CONNECT_FAILED)
        gateway.start_attempt("a1", "s0")
        assert [operation.earlier_never_ran for operation in gateway.queued(AttemptWork)] == [False]
        gateway.exchanges.fail(FailRequest("a1"))
        gateway.exchange()
        assert reply.answers == [FAILED]
        assert gateway.service.store.items[WORK_NAME].last_run.place == "zone 0"

    run_scenario(run())


@scenario
async def test_request_whose_attempts_were_all_turned_away_has_not_run(gateway: LeasedGateway) -> None:
    # Guards against a zone that binds a request which ran nowhere.
    open_recorded(gateway)
    gateway.start_attempt("a1", "s1")
    assert [operation.earlier_never_ran for operation in gateway.queued(AttemptWork)] == [True]


# --- requests that wait for another owner ---


def open_waiting(gateway: LeasedGateway) -> StubReply:
    """Open a request whose key the other gateway owns; it waits for the outcome."""
    first = gateway.open("b1")
    (begin,) = gateway.queued(BeginWork)
    gateway.other.enqueue(msgspec.structs.replace(begin, request_id="other"))
    gateway.transferred_to_other()
    gateway.exchange()
    assert gateway.leases.counts.waited == 1
    return first


@scenario
async def test_waiting_request_without_a_poll_in_flight_is_rejected_at_once(gateway: LeasedGateway) -> None:
    # Guards against a request that fails although another gateway's client owns the work.
    reply = open_waiting(gateway)
    item = gateway.leases.table.by_request_id["b1"]
    gateway.leases.table.reject(item)
    assert reply.answers == [b"-BUSY 1000\r\n"]


@scenario
async def test_waiting_request_is_not_rejected_while_a_poll_may_get_the_work(gateway: LeasedGateway) -> None:
    # Guards against BUSY, and the poll that follows it makes this gateway the owner of the work.
    reply = open_waiting(gateway)
    item = gateway.leases.table.by_request_id["b1"]
    gateway.leases.ownership_wait.poll(item, make_poll(gateway))
    response = gateway.deliver(gateway.send_request())
    gateway.leases.table.reject(item)
    assert not reply.answers
    gateway.receive(response)
    assert reply.answers == [b"-BUSY 1000\r\n"]


def make_poll(gateway: LeasedGateway) -> BeginWork:
    item = gateway.leases.table.by_request_id["b1"]
    stored = gateway.service.store.items[item.name]
    return BeginWork(
        name=item.name,
        request_id="b1",
        digest=stored.digest,
        customer=stored.customer,
        effect=stored.effect,
        left_ms=2000,
        window_ms=stored.window_ms,
        request=stored.request,
        server="s0",
        place="zone 0",
    )


@scenario
async def test_poll_without_a_result_is_not_repeated(gateway: LeasedGateway) -> None:
    # Guards against issue 35, entry 1: the gateway owns an item that its withdrawn poll has released.
    open_waiting(gateway)
    item = gateway.leases.table.by_request_id["b1"]
    wait = gateway.leases.ownership_wait
    poll = make_poll(gateway)
    wait.poll(item, poll)
    gateway.other.release(item.name, never_ran=True)
    gateway.transferred_to_other()
    response = gateway.deliver(gateway.send_request())
    wait.wait(item, poll)  # the time for the result has passed
    wait.poll(item, poll)
    assert not gateway.queued(BeginWork) and not gateway.holder.withdrawn
    gateway.receive(response)
    gateway.exchange()
    assert gateway.service.store.items[item.name].fence == gateway.holder.fences[item.name]


# --- shutdown, and transferred work ---


@scenario
async def test_work_that_runs_at_the_end_of_a_drain_fails_and_is_transferred(gateway: LeasedGateway) -> None:
    # Guards against BUSY for work that another gateway continues.
    reply = gateway.open("a1")
    gateway.exchange()
    gateway.leases.release_unfinished()
    assert reply.answers == [FAILED] and gateway.events_of(ClientDisconnected)
    gateway.exchange()
    assert [item.name for item in gateway.transferred_to_other()]


@scenario
async def test_work_that_never_ran_is_rejected_at_the_end_of_a_drain(gateway: LeasedGateway) -> None:
    # Guards against BUSY for work that another gateway continues, and a failure where BUSY is true.
    reply = open_recorded(gateway)
    gateway.leases.release_unfinished()
    assert not reply.answers and gateway.events_of(ClientDisconnected)
    gateway.exchange()
    assert reply.answers == [BUSY.replace(b"500", b"1000")] and not gateway.transferred_to_other()
    assert not gateway.service.store.items


@scenario
async def test_rejected_request_whose_deadline_the_drain_limits_is_not_transferred(
    gateway: LeasedGateway,
) -> None:
    # Guards against BUSY for work that another gateway continues.
    reply = open_recorded(gateway)
    gateway.exchanges.cap_deadlines(now_us() + 400_000)
    gateway.reject("a1")
    gateway.exchange()
    assert reply.answers == [BUSY] and not gateway.transferred_to_other()


@scenario
async def test_transferred_work_that_is_rejected_goes_on_to_another_gateway(gateway: LeasedGateway) -> None:
    # Guards against keyed work that is dropped, as its first gateway has died and answered nobody.
    begin = begin_of(gateway, "c1")
    gateway.other.enqueue(begin)
    gateway.transferred_to_other()
    third = WorkHolder(2, 1)
    gateway.other.release(begin.name, transfer=True, never_ran=True)
    gateway.transferred_to_other()
    gateway.exchange()
    (name,) = gateway.leases.table.by_request_id
    decision = gateway.service.handle(third.next_request(gateway.service_ms), gateway.service_ms)
    third.on_response(decision.response, gateway.service_ms)
    gateway.reject(name)
    gateway.exchange()
    decision = gateway.service.handle(third.next_request(gateway.service_ms), gateway.service_ms)
    assert [item.name for item in decision.response.transferred] == [begin.name]


def begin_of(gateway: LeasedGateway, name: str) -> BeginWork:
    """Return the record of a keyed request, as a gateway that is not lost would send it."""
    gateway.open(name)
    (begin,) = gateway.queued(BeginWork)
    gateway.time_out_record(name)
    return begin
