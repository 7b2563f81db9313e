"""A small driver for the module: settings, a server list and the bookkeeping of a fair world."""

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

MS, S = 1_000, 1_000_000
SAFE = RequestClass(latency_objective_us=2 * S, deadline_us=6 * S)
PLAN = Plan(rate=10.0, burst=20.0)
SETTINGS = Settings(
    seed=7,
    gateway_index=0,
    gateway_count=1,
    classes=(SAFE,),
    plans=(PLAN,),
    max_attempts=3,
    may_cancel=True,
    may_message_peers=True,
    peer_messages_per_s=100.0,
    max_retry_after_us=500 * MS,
    cold_capacity=0.2,
    warm_up_us=10 * S,
    overload_multiple=2.0,
    overload_window_us=S,
    answer_grace_us=8 * MS,
)
WORKING_TREE = working_tree()


def servers(count: int, **changes: object) -> tuple[Server, ...]:
    return tuple(
        replace(Server(f"s{n}", n % 2, 0, n // 2, ServerState.SERVING), **changes) for n in range(count)
    )


class World:
    """One gateway with the clock, the timers and the attempts that are out."""

    def __init__(self, settings: Settings = SETTINGS, fleet: Iterable[Server] = servers(4)) -> None:
        self.now = 100 * S
        self.gateway = PolicyEngine(settings)
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, Action]] = []
        self.out: dict[tuple[str, int], tuple[str, int, int]] = {}
        self.tries: dict[str, int] = {}
        self.tell(EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(fleet)))

    def tell(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.token))
            if isinstance(action, StartAttempt):
                number = self.tries.get(action.id, 0)
                self.tries[action.id] = number + 1
                self.out[(action.id, number)] = (action.server, self.now, action.timeout_us)
        return actions

    def run(self, time_us: int) -> list[Action]:
        """Let time pass; the actions that timers brought."""
        end, start = self.now + time_us, len(self.log)
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = due[0]
            self.tell(TimerFired(due[1]))
        self.now = end
        return [action for _, action in self.log[start:]]

    def ask(self, name: str, remaining_us: int = 6 * S, **values: object) -> list[Action]:
        request = RequestArrived(name, 0, 0, "c", remaining_us)
        return self.tell(replace(request, **values))

    def answer(
        self,
        name: str,
        result: AttemptResult = AttemptResult.SUCCESS,
        attempt: int = 0,
        report: LoadReport | None = None,
    ) -> list[Action]:
        server, sent, _ = self.out.pop((name, attempt))
        over = result is AttemptResult.SUCCESS
        event = AttemptEnded(name, over, attempt, server, result, self.now - sent, report=report)
        return self.tell(event)


def of(kind: type, actions: Iterable[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, kind)]


class Set:
    """Several gateways that a customer's requests come through, with the messages between them."""

    def __init__(
        self,
        count: int,
        settings: Settings = SETTINGS,
        fleet: Iterable[Server] = servers(4),
        loss: float = 0.0,
    ) -> None:
        self.worlds = [
            World(replace(settings, gateway_index=n, gateway_count=count, seed=n), fleet)
            for n in range(count)
        ]
        self.posted: list[tuple[int, int, SendPeerMessage]] = []
        self.random, self.loss, self.down = random.Random(3), loss, -1

    def carry(self, sender: int, actions: Iterable[Action]) -> None:
        self.posted += [(sender, action.peer, action) for action in of(SendPeerMessage, actions)]

    def ask(self, gateway_index: int, name: str, **values: object) -> None:
        self.carry(gateway_index, self.worlds[gateway_index].ask(name, set_size=len(self.worlds), **values))

    def run(self, time_us: int) -> None:
        """Time goes by in steps of 10 ms: what was posted arrives, what is out is served."""
        for _ in range(time_us // (10 * MS)):
            posted, self.posted = self.posted, []
            for sender, peer, told in posted:
                if self.random.random() >= self.loss and self.down not in (sender, peer):
                    message = PeerMessageReceived(sender, told.quota_messages, told.digest)
                    self.carry(peer, self.worlds[peer].tell(message))
            for gateway_index, world in enumerate(self.worlds):
                self.carry(gateway_index, world.run(10 * MS))
                for name, attempt in list(world.out):
                    world.answer(name, attempt=attempt)

    def sent(self) -> int:
        return sum(isinstance(action, StartAttempt) for world in self.worlds for _, action in world.log)


def log_of(folder: Path) -> Path:
    """The log of a steward's present term."""
    return term_folder(folder, latest_term(folder)) / "log"


def copied(folder: Path, to: Path, data: bytes) -> Path:
    """The same folder with another log."""
    shutil.copytree(folder, to)
    log_of(to).write_bytes(data)
    return to
