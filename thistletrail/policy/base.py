"""What all decisions of a gateway stand on: its settings, its clock, its requests and their attempts."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from thistletrail.policy.events import RequestArrived
from thistletrail.policy.settings import Effect, IdempotencyScope, RequestClass, Settings

if TYPE_CHECKING:
    from thistletrail.policy.quota import Customer
    from thistletrail.policy.server_selection import Backend

S, NEVER = 1_000_000, 1 << 62  # microseconds in a second; a time that does not come

TICK_US = 20_000  # how often held requests and words are looked at: well under any aim
USUAL_AIM_US = 1.5 * S  # what the figures for a second are meant for: where aims are shorter, all goes faster


class Job:
    def __init__(
        self, req: RequestArrived, rule: RequestClass, customer: Customer, now: int, gone_us: int
    ) -> None:
        """`gone_us` is how long ago the client's first try was: a retry's aim counts from there."""
        self.req, self.rule, self.customer = req, rule, customer
        self.value = rule.value * customer.plan.value_factor * req.units
        self.end_us = now + req.remaining_us
        self.latency_objective_us = min(now + rule.latency_objective_us - gone_us, self.end_us)
        self.half_us = (
            now + req.remaining_us // 2
        )  # a refusal after that, with nothing sent whole, comes too late
        self.servers: list[Backend] = []  # of its attempts, in order
        self.out: dict[int, int] = {}  # attempts out and when each was sent
        self.ran_on: Backend | None = None  # where it may first have run, and since when
        self.bound: Backend | None = None  # the same, of another gateway's attempts
        self.over, self.in_quota, self.ran_us, self.unrun = False, False, 0, 0  # unrun: proven so
        self.unsent = 0  # attempts that never came whole to a server
        self.decide_us, self.asks = NEVER, 0  # until when it waits for word of its quota
        self.late = False  # its aim has passed at its client: it can earn but the worth of a late answer
        self.granted_until = -NEVER  # from the home's part of the ceiling

    def end_by(self, end_us: int) -> None:
        self.end_us = min(self.end_us, end_us)
        self.latency_objective_us = min(self.latency_objective_us, self.end_us)

    def may_refuse(self) -> bool:
        keyed_ok = (
            self.rule.effect is Effect.IDEMPOTENT_BY_KEY
            and self.rule.idempotency_scope is IdempotencyScope.ALL
        )
        return self.ran_on is None or self.rule.effect is Effect.IDEMPOTENT or keyed_ok


class Base:
    """The clock, the actions of the event at hand, the requests that are open, and how long they take."""

    def __init__(self, settings: Settings) -> None:
        self.set = settings
        self.random = random.Random(settings.seed)
        self.now, self.actions, self.serial = 0, [], itertools.count()
        self.jobs, self.held = {}, []  # by id; highest worth first, then by arrival
        self.mean_us = [rule.latency_objective_us / 4 for rule in settings.classes]
        aims = [rule.latency_objective_us for rule in settings.classes]
        self.second = round(S * min(1.0, sum(aims) / max(1, len(aims)) / USUAL_AIM_US))  # of this deployment

    def release(self) -> None:
        """Send on what is held, as far as it may leave now."""
        raise NotImplementedError

    def end(self, job: Job, wait_us: int = NEVER) -> None:
        """Give the final answer to a request that is not served, with when to come again."""
        raise NotImplementedError
