"""Property tests: no valid sequence of events, however unusual, breaks an invariant of the policy."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS, GatewayHarness, servers
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
    RequestClass(SECOND_US, 2 * SECOND_US),
    RequestClass(
        SECOND_US,
        3 * SECOND_US,
        effect=Effect.IDEMPOTENT_BY_KEY,
        idempotency_scope=IdempotencyScope.ZONE,
        idempotency_window_us=SECOND_US,
    ),
    RequestClass(
        SECOND_US,
        3 * SECOND_US,
        effect=Effect.IDEMPOTENT_BY_KEY,
        idempotency_scope=IdempotencyScope.CELL,
        idempotency_window_us=2 * SECOND_US,
    ),
    RequestClass(
        SECOND_US,
        3 * SECOND_US,
        effect=Effect.IDEMPOTENT_BY_KEY,
        idempotency_scope=IdempotencyScope.ALL,
        idempotency_window_us=2 * SECOND_US,
    ),
    RequestClass(SECOND_US, 3 * SECOND_US, effect=Effect.UNSAFE),
)
PLANS = (
    Plan(rate=5.0, burst=5.0),
    Plan(max_in_flight=2),
    Plan(rate=9.0, burst=9.0, ceiling_rate=12.0, ceiling_burst=10.0, ceiling_slack=1.0),
)
NEVER_RAN = (AttemptResult.AT_CAPACITY, AttemptResult.CONNECT_FAILED)
FAILURES = (*NEVER_RAN, AttemptResult.ERROR, AttemptResult.RESET)
# The kind, number and wait of a step; see `run_steps`.
STEP = st.tuples(st.integers(0, 9), st.integers(0, 10_000), st.integers(0, 400))


class CheckingHarness(GatewayHarness):
    """A harness that checks each action of its gateway against the invariants."""

    def __init__(self, policy_settings: Settings) -> None:
        self.requests: dict[str, tuple[RequestArrived, int]] = {}  # with the time of arrival, by id
        self.finished_ids: set[str] = set()
        # By request id: the servers on which it may have run, with the time at which it was sent there.
        self.possible_runs: dict[str, list[tuple[str, int]]] = {}
        self.states = {server.name: server for server in servers(4)}
        # The units available under the ceiling of plan 2, which has only one customer.
        self.ceiling_level, self.ceiling_refilled_us = 10.0, 100 * SECOND_US
        super().__init__(policy_settings)

    def handle(self, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            self.requests[event.id] = (event, self.now_us)
        actions = super().handle(event)
        for action in actions:
            if isinstance(action, StartAttempt):
                self.check_attempt(action)
            elif isinstance(action, RejectRequest | FailRequest):
                self.check_final_answer(action)
        return actions

    def check_attempt(self, action: StartAttempt) -> None:
        request, _ = self.requests[action.id]
        request_class = CLASSES[request.class_index]
        runs = self.possible_runs.setdefault(action.id, [])
        assert action.id not in self.finished_ids
        assert self.states[action.server].state is ServerState.SERVING
        in_flight = [key for key in self.in_flight if key[0] == action.id]
        assert len(in_flight) == 1 or (self.engine.settings.may_hedge and len(in_flight) == 2)
        if runs and request_class.effect is not Effect.IDEMPOTENT:
            assert request_class.effect is Effect.IDEMPOTENT_BY_KEY
            first_server, server = self.states[runs[0][0]], self.states[action.server]
            assert (
                request_class.idempotency_scope is not IdempotencyScope.ZONE
                or first_server.zone == server.zone
            )
            assert (
                request_class.idempotency_scope is not IdempotencyScope.CELL
                or first_server.cell == server.cell
            )
            assert self.now_us < runs[0][1] + request_class.idempotency_window_us
        if not runs and self.attempt_counts[action.id] == 1 and request.plan_index == 2:
            self.ceiling_level = (
                min(10.0, self.ceiling_level + 12.0 * (self.now_us - self.ceiling_refilled_us) / SECOND_US)
                - request.units
            )
            self.ceiling_refilled_us = self.now_us
            assert self.ceiling_level >= -1.0
        runs.append((action.server, self.now_us))

    def check_final_answer(self, action: RejectRequest | FailRequest) -> None:
        request, arrived_us = self.requests[action.id]
        request_class = CLASSES[request.class_index]
        assert action.id not in self.finished_ids
        self.finished_ids.add(action.id)
        assert self.now_us <= arrived_us + request.remaining_us + 8 * MILLISECOND_US
        if isinstance(action, RejectRequest) and self.possible_runs.get(action.id):
            is_recognised_everywhere = (
                request_class.effect is Effect.IDEMPOTENT_BY_KEY
                and request_class.idempotency_scope is IdempotencyScope.ALL
            )
            assert request_class.effect is Effect.IDEMPOTENT or is_recognised_everywhere

    def end_attempt(self, key: tuple[str, int], result: AttemptResult) -> None:
        """End an attempt; one that certainly did not run no longer restricts where its request may run."""
        server, sent, _ = self.in_flight.pop(key)
        if result in NEVER_RAN:
            self.possible_runs[key[0]].remove((server, sent))
        request_ended = key[0] in self.finished_ids or result is AttemptResult.SUCCESS
        if result is AttemptResult.SUCCESS:
            self.finished_ids.add(key[0])
        self.handle(AttemptEnded(key[0], request_ended, key[1], server, result, self.now_us - sent))

    def advance_with_timeouts(self, duration_us: int) -> None:
        """Advance the clock in steps of a millisecond, ending attempts that time out."""
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            self.advance(min(MILLISECOND_US, end_us - self.now_us))
            for key, (_, sent, timeout) in list(self.in_flight.items()):
                request, arrived_us = self.requests[key[0]]
                if (
                    self.now_us >= min(sent + timeout, arrived_us + request.remaining_us)
                    and key in self.in_flight
                ):
                    self.end_attempt(key, AttemptResult.TIMEOUT)

    def restart(self) -> None:
        """Kill the gateway: its requests are lost, and the new process has only the cached endpoint list."""
        self.finished_ids.update(self.requests)
        self.in_flight.clear()
        self.timers.clear()
        self.engine = type(self.engine)(self.engine.settings)
        self.handle(EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(self.states.values())))

    def change_server(self, number: int) -> None:
        name = f"s{number % 4}"
        state = list(ServerState)[number % 3]
        started = self.now_us if number % 5 == 0 else self.states[name].started_us
        self.states[name] = replace(self.states[name], state=state, started_us=started)
        self.handle(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (self.states[name],)))


def run_steps(may_hedge: bool, steps: list[tuple[int, int, int]]) -> CheckingHarness:
    """Return a harness after the steps: each a kind of event, a number for details and a wait in 0.25 ms."""
    harness = CheckingHarness(replace(SETTINGS, classes=CLASSES, plans=PLANS, may_hedge=may_hedge))
    for step_index, (kind, number, wait) in enumerate(steps):
        if kind <= 4:
            harness.send_request(
                f"q{step_index}",
                remaining_us=number * 100,
                class_index=kind,
                plan_index=number % 3,
                customer=f"c{number % 3}",
            )
        elif kind <= 7 and harness.in_flight:
            key = list(harness.in_flight)[number % len(harness.in_flight)]
            harness.end_attempt(key, AttemptResult.SUCCESS if kind == 5 else FAILURES[number % len(FAILURES)])
        elif kind == 8:
            harness.change_server(number)
        elif number % 20 == 0:
            harness.restart()
        harness.advance_with_timeouts(wait * 250)
    harness.advance_with_timeouts(4 * SECOND_US)
    return harness


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(st.booleans(), st.lists(STEP, min_size=5, max_size=50))
def test_invariants_hold_for_any_sequence_of_events(
    may_hedge: bool, steps: list[tuple[int, int, int]]
) -> None:
    harness = run_steps(may_hedge, steps)
    assert set(harness.requests) == harness.finished_ids
    assert not harness.engine.requests_by_id and not harness.engine.queue
