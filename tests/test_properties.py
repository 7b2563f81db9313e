"""Legal but odd sequences of events must never break a rule."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import MS, SETTINGS, S, World, servers
from thistletrail.policy.actions import Action, FailRequest, RejectRequest, StartAttempt
from thistletrail.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    RequestArrived,
    ServerState,
)
from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass, Settings

CLASSES = (
    RequestClass(S, 2 * S),
    RequestClass(
        S,
        3 * S,
        effect=Effect.IDEMPOTENT_BY_KEY,
        idempotency_scope=IdempotencyScope.ZONE,
        idempotency_window_us=S,
    ),
    RequestClass(
        S,
        3 * S,
        effect=Effect.IDEMPOTENT_BY_KEY,
        idempotency_scope=IdempotencyScope.CELL,
        idempotency_window_us=2 * S,
    ),
    RequestClass(
        S,
        3 * S,
        effect=Effect.IDEMPOTENT_BY_KEY,
        idempotency_scope=IdempotencyScope.ALL,
        idempotency_window_us=2 * S,
    ),
    RequestClass(S, 3 * S, effect=Effect.UNSAFE),
)
PLANS = (
    Plan(rate=5.0, burst=5.0),
    Plan(max_in_flight=2),
    Plan(rate=9.0, burst=9.0, ceiling_rate=12.0, ceiling_burst=10.0, ceiling_slack=1.0),
)
UNRUN = (AttemptResult.AT_CAPACITY, AttemptResult.CONNECT_FAILED)
FAILURES = (*UNRUN, AttemptResult.ERROR, AttemptResult.RESET)
STEP = st.tuples(st.integers(0, 9), st.integers(0, 10_000), st.integers(0, 400))


class Referee(World):
    """A world that checks each action against the rules."""

    def __init__(self, conf: Settings) -> None:
        self.requests: dict[str, tuple[RequestArrived, int]] = {}
        self.over: set[str] = set()
        self.might: dict[str, list[tuple[str, int]]] = {}
        self.states = {server.name: server for server in servers(4)}
        self.store, self.store_at = 10.0, 100 * S
        super().__init__(conf)

    def tell(self, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            self.requests[event.id] = (event, self.now)
        actions = super().tell(event)
        for action in actions:
            if isinstance(action, StartAttempt):
                self.check_send(action)
            elif isinstance(action, RejectRequest | FailRequest):
                self.check_end(action)
        return actions

    def check_send(self, action: StartAttempt) -> None:
        request, _ = self.requests[action.id]
        rule, before = CLASSES[request.class_index], self.might.setdefault(action.id, [])
        assert action.id not in self.over
        assert self.states[action.server].state is ServerState.UP
        outs = [key for key in self.out if key[0] == action.id]
        assert len(outs) == 1 or (self.gateway.settings.may_hedge and len(outs) == 2)
        if before and rule.effect is not Effect.IDEMPOTENT:
            assert rule.effect is Effect.IDEMPOTENT_BY_KEY
            first, place = self.states[before[0][0]], self.states[action.server]
            assert rule.idempotency_scope is not IdempotencyScope.ZONE or first.zone == place.zone
            assert rule.idempotency_scope is not IdempotencyScope.CELL or first.cell == place.cell
            assert self.now < before[0][1] + rule.idempotency_window_us
        if not before and self.tries[action.id] == 1 and request.plan_index == 2:
            self.store = min(10.0, self.store + 12.0 * (self.now - self.store_at) / S) - request.units
            self.store_at = self.now
            assert self.store >= -1.0
        before.append((action.server, self.now))

    def check_end(self, action: RejectRequest | FailRequest) -> None:
        request, came = self.requests[action.id]
        rule = CLASSES[request.class_index]
        assert action.id not in self.over
        self.over.add(action.id)
        assert self.now <= came + request.remaining_us + 8 * MS
        if isinstance(action, RejectRequest) and self.might.get(action.id):
            keyed = rule.effect is Effect.IDEMPOTENT_BY_KEY and rule.idempotency_scope is IdempotencyScope.ALL
            assert rule.effect is Effect.IDEMPOTENT or keyed

    def settle(self, key: tuple[str, int], result: AttemptResult) -> None:
        """An attempt ends; one that a proof says never ran no longer binds its request."""
        server, sent, _ = self.out.pop(key)
        if result in UNRUN:
            self.might[key[0]].remove((server, sent))
        over = key[0] in self.over or result is AttemptResult.OK
        if result is AttemptResult.OK:
            self.over.add(key[0])
        self.tell(AttemptEnded(key[0], over, key[1], server, result, self.now - sent))

    def pass_time(self, time_us: int) -> None:
        """Time goes by in steps of a millisecond, with time-outs where they fall due."""
        end = self.now + time_us
        while self.now < end:
            self.run(min(MS, end - self.now))
            for key, (_, sent, timeout) in list(self.out.items()):
                request, came = self.requests[key[0]]
                if self.now >= min(sent + timeout, came + request.remaining_us) and key in self.out:
                    self.settle(key, AttemptResult.TIMEOUT)

    def restart(self) -> None:
        """The gateway is killed: its requests are void, and it starts again knowing only its list."""
        self.over.update(self.requests)
        self.out.clear()
        self.timers.clear()
        self.gateway = type(self.gateway)(self.gateway.settings)
        self.tell(EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(self.states.values())))

    def change_server(self, number: int) -> None:
        name = f"s{number % 4}"
        state = list(ServerState)[number % 3]
        started = self.now if number % 5 == 0 else self.states[name].started_us
        self.states[name] = replace(self.states[name], state=state, started_us=started)
        self.tell(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (self.states[name],)))


def play(parallel: bool, steps: list[tuple[int, int, int]]) -> Referee:
    world = Referee(replace(SETTINGS, classes=CLASSES, plans=PLANS, may_hedge=parallel))
    for count, (kind, number, wait) in enumerate(steps):
        if kind <= 4:
            world.ask(
                f"q{count}",
                remaining_us=number * 100,
                class_index=kind,
                plan_index=number % 3,
                customer=f"c{number % 3}",
            )
        elif kind <= 7 and world.out:
            key = list(world.out)[number % len(world.out)]
            world.settle(key, AttemptResult.OK if kind == 5 else FAILURES[number % len(FAILURES)])
        elif kind == 8:
            world.change_server(number)
        elif number % 20 == 0:
            world.restart()
        world.pass_time(wait * 250)
    world.pass_time(4 * S)
    return world


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(st.booleans(), st.lists(STEP, min_size=5, max_size=50))
def test_rules_hold_whatever_comes(parallel: bool, steps: list[tuple[int, int, int]]) -> None:
    world = play(parallel, steps)
    assert set(world.requests) == world.over
    assert not world.gateway.requests_by_id and not world.gateway.queue
