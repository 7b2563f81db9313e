"""Harnesses that run the policy engine without sockets, on a simulated clock in microseconds."""

import random
import shutil
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from thistletrail.benchmarks.process import working_tree
from thistletrail.leasing.leadership import latest_term, term_folder
from thistletrail.policy.actions import Action, SendPeerMessage, SetTimer, StartAttempt
from thistletrail.policy.engine import PolicyEngine
from thistletrail.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadReport,
    PeerMessageReceived,
    RequestArrived,
    Server,
    ServerState,
    TimerFired,
)
from thistletrail.policy.settings import Plan, RequestClass, Settings

MILLISECOND_US, SECOND_US = 1_000, 1_000_000
SAFE_CLASS = RequestClass(latency_objective_us=2 * SECOND_US, deadline_us=6 * SECOND_US)
PLAN = Plan(rate=10.0, burst=20.0)
SETTINGS = Settings(
    seed=7,
    gateway_index=0,
    gateway_count=1,
    classes=(SAFE_CLASS,),
    plans=(PLAN,),
    max_attempts=3,
    may_cancel=True,
    may_message_peers=True,
    peer_messages_per_s=100.0,
    max_retry_after_us=500 * MILLISECOND_US,
    cold_capacity=0.2,
    warm_up_us=10 * SECOND_US,
    overload_multiple=2.0,
    overload_window_us=SECOND_US,
    answer_grace_us=8 * MILLISECOND_US,
)
WORKING_TREE = working_tree()


def servers(count: int, **changes: object) -> tuple[Server, ...]:
    """Return `count` serving scan servers `s0`, `s1`, …, alternately of two zones, with `changes` to each."""
    return tuple(
        replace(Server(f"s{n}", n % 2, 0, n // 2, ServerState.SERVING), **changes) for n in range(count)
    )


class GatewayHarness:
    """One policy engine with its clock in microseconds, its timers and its attempts in flight.

    `in_flight` maps a request id and attempt number to the attempt's server, start and timeout.
    """

    def __init__(self, settings: Settings = SETTINGS, endpoints: Iterable[Server] = servers(4)) -> None:
        self.now_us = 100 * SECOND_US
        self.engine = PolicyEngine(settings)
        self.timers: list[tuple[int, int]] = []
        self.action_log: list[tuple[int, Action]] = []
        self.in_flight: dict[tuple[str, int], tuple[str, int, int]] = {}
        self.attempt_counts: dict[str, int] = {}
        self.handle(EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(endpoints)))

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the engine; record and return its actions."""
        actions = self.engine.handle(self.now_us, event)
        for action in actions:
            self.action_log.append((self.now_us, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now_us + action.delay_us, action.token))
            if isinstance(action, StartAttempt):
                number = self.attempt_counts.get(action.id, 0)
                self.attempt_counts[action.id] = number + 1
                self.in_flight[(action.id, number)] = (action.server, self.now_us, action.timeout_us)
        return actions

    def advance(self, duration_us: int) -> list[Action]:
        """Advance the clock by `duration_us`, firing the timers that are due; return their actions."""
        end_us, start = self.now_us + duration_us, len(self.action_log)
        while self.timers and min(self.timers)[0] <= end_us:
            due = min(self.timers)
            self.timers.remove(due)
            self.now_us = due[0]
            self.handle(TimerFired(due[1]))
        self.now_us = end_us
        return [action for _, action in self.action_log[start:]]

    def send_request(self, name: str, remaining_us: int = 6 * SECOND_US, **values: object) -> list[Action]:
        """Have customer `c` send the request `name`, with `values` in place of the defaults of its event."""
        request = RequestArrived(name, 0, 0, "c", remaining_us)
        return self.handle(replace(request, **values))

    def complete_attempt(
        self,
        name: str,
        result: AttemptResult = AttemptResult.SUCCESS,
        attempt: int = 0,
        report: LoadReport | None = None,
    ) -> list[Action]:
        """End an attempt that is in flight with `result`; only a success completes its request."""
        server, started_us, _ = self.in_flight.pop((name, attempt))
        completed = result is AttemptResult.SUCCESS
        event = AttemptEnded(
            name, completed, attempt, server, result, self.now_us - started_us, report=report
        )
        return self.handle(event)


def actions_of_type(action_type: type, actions: Iterable[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, action_type)]


class GatewayFleet:
    """The gateways that receive a customer's requests, and the peer messages in transit between them.

    A message is lost with probability `loss_probability`, and always if it is from or to the gateway with the
    index `unreachable_gateway` (-1 for none).
    """

    def __init__(
        self,
        count: int,
        settings: Settings = SETTINGS,
        endpoints: Iterable[Server] = servers(4),
        loss_probability: float = 0.0,
    ) -> None:
        self.gateways = [
            GatewayHarness(replace(settings, gateway_index=index, gateway_count=count, seed=index), endpoints)
            for index in range(count)
        ]
        self.messages_in_transit: list[tuple[int, int, SendPeerMessage]] = []
        self.random, self.loss_probability, self.unreachable_gateway = random.Random(3), loss_probability, -1

    def post_messages(self, sender: int, actions: Iterable[Action]) -> None:
        """Put the peer messages among a gateway's actions in transit; the next step of time delivers them."""
        self.messages_in_transit += [
            (sender, action.peer, action) for action in actions_of_type(SendPeerMessage, actions)
        ]

    def send_request(self, gateway_index: int, name: str, **values: object) -> None:
        gateway = self.gateways[gateway_index]
        actions = gateway.send_request(name, set_size=len(self.gateways), **values)
        self.post_messages(gateway_index, actions)

    def advance(self, duration_us: int) -> None:
        """Advance all clocks in steps of 10 ms; each delivers messages and completes attempts in flight."""
        for _ in range(duration_us // (10 * MILLISECOND_US)):
            messages, self.messages_in_transit = self.messages_in_transit, []
            for sender, peer, action in messages:
                lost = self.random.random() < self.loss_probability
                if not lost and self.unreachable_gateway not in (sender, peer):
                    message = PeerMessageReceived(sender, action.quota_messages, action.digest)
                    self.post_messages(peer, self.gateways[peer].handle(message))
            for gateway_index, gateway in enumerate(self.gateways):
                self.post_messages(gateway_index, gateway.advance(10 * MILLISECOND_US))
                for name, attempt in list(gateway.in_flight):
                    gateway.complete_attempt(name, attempt=attempt)

    def started_attempts(self) -> int:
        """Return the number of attempts that all gateways have started so far."""
        return sum(
            isinstance(action, StartAttempt) for gateway in self.gateways for _, action in gateway.action_log
        )


def current_log_path(folder: Path) -> Path:
    """Return the path of the log of the latest term in a journal's folder."""
    return term_folder(folder, latest_term(folder)) / "log"


def copy_with_log(folder: Path, destination: Path, data: bytes) -> Path:
    """Copy a journal's folder to `destination`, with `data` as its log, and return `destination`."""
    shutil.copytree(folder, destination)
    current_log_path(destination).write_bytes(data)
    return destination
