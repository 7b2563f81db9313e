"""Tests that a request which was answered BUSY is run by no gateway, wherever its record is at that moment.

A gateway's open requests and its work leases are joined to the lease service's state machine without sockets:
a test sends and delivers each message between them. The policy's decisions are given by the test.
"""

from collections.abc import Callable, Coroutine
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import msgspec

from tests.sockets import CONFIG, CUSTOMER, run_scenario, submit_command
from thistletrail.gateway.backends import Attempt
from thistletrail.gateway.command_parser import CommandParser
from thistletrail.gateway.config import WorkLeaseSettings
from thistletrail.gateway.cost_counters import CostCounters
from thistletrail.gateway.exchanges import Exchanges
from thistletrail.gateway.resp import CommandReader
from thistletrail.gateway.takeover import TakeoverCoordinator
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.messages import (
    BeginWork,
    TransferredWork,
    WorkOperation,
    WorkRequest,
    WorkResponse,
)
from thistletrail.leasing.work_holder import WorkHolder
from thistletrail.leasing.work_state import WorkState
from thistletrail.policy.actions import RejectRequest, StartAttempt
from thistletrail.policy.events import AttemptEnded, AttemptResult, Server, ServerState

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


# --- requests that wait for another owner ---


def open_waiting(gateway: LeasedGateway) -> StubReply:
    """Open a request whose key the other gateway owns; it waits for the outcome."""
    first = gateway.open("b1")
    gateway.send_request()
    (begin,) = gateway.holder.in_flight.operations
    gateway.other.enqueue(msgspec.structs.replace(begin, request_id="other"))
    gateway.transferred_to_other()
    gateway.holder.requeue_unanswered()
    gateway.exchange()
    assert gateway.leases.counts.waited == 1
    return first


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
