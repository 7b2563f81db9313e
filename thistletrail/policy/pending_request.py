"""A request that is owed a final answer, from its arrival on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thistletrail.policy.events import RequestArrived
from thistletrail.policy.settings import Effect, IdempotencyScope, RequestClass
from thistletrail.policy.units import NEVER_US

if TYPE_CHECKING:
    from thistletrail.policy.quota import CustomerQuota
    from thistletrail.policy.upstream_server import UpstreamServer


class PendingRequest:
    """A request, its times and its attempts; `_at_us` names are absolute times."""

    __slots__ = (
        "arrival",
        "attempted_servers",
        "ceiling_granted_until_us",
        "customer",
        "deadline_at_us",
        "in_flight",
        "inherited_server",
        "is_finished",
        "is_in_quota",
        "is_late_retry",
        "is_quota_decided",
        "may_have_run_on",
        "may_have_run_since_us",
        "never_ran_count",
        "not_sent_count",
        "objective_at_us",
        "priority",
        "quota_requests_sent",
        "quota_wait_until_us",
        "reject_by_us",
        "request_class",
    )

    def __init__(
        self,
        arrival: RequestArrived,
        request_class: RequestClass,
        customer: CustomerQuota,
        now_us: int,
        elapsed_us: int,
    ) -> None:
        """`elapsed_us` is how long ago the client's first attempt was: the objective counts from there."""
        self.arrival = arrival
        self.request_class = request_class
        self.customer = customer
        self.priority = request_class.value * customer.plan.value_factor * arrival.units
        self.deadline_at_us = now_us + arrival.remaining_us
        self.objective_at_us = min(
            now_us + request_class.latency_objective_us - elapsed_us, self.deadline_at_us
        )
        # A rejection after that, with nothing sent completely, comes too late.
        self.reject_by_us = now_us + arrival.remaining_us // 2
        self.is_late_retry = False  # its objective has passed at its client: it has only its late value
        self.is_finished = False  # it has its final answer, or its client has left

        self.attempted_servers: list[UpstreamServer] = []  # by number of the attempt
        self.in_flight: dict[int, int] = {}  # by number of the attempt: when it was sent
        self.may_have_run_on: UpstreamServer | None = None  # the first server on which it may have run
        self.may_have_run_since_us = 0
        self.inherited_server: UpstreamServer | None = None  # the same, of another gateway's attempts
        self.never_ran_count = 0  # attempts that are known not to have run
        self.not_sent_count = 0  # attempts that never came completely to a server

        self.is_in_quota = False
        self.is_quota_decided = False
        self.quota_wait_until_us = NEVER_US  # until when it waits for its quota owner's answer
        self.quota_requests_sent = 0
        self.ceiling_granted_until_us = -NEVER_US  # by the quota owner's share of the ceiling

    def limit_deadline(self, deadline_at_us: int) -> None:
        """End no later than this."""
        self.deadline_at_us = min(self.deadline_at_us, deadline_at_us)
        self.objective_at_us = min(self.objective_at_us, self.deadline_at_us)

    def may_reject(self) -> bool:
        """Whether a rejection is true: to try again is harmless, as nothing ran or repeats are recognised."""
        if self.may_have_run_on is None or self.request_class.effect is Effect.IDEMPOTENT:
            return True
        return (
            self.request_class.effect is Effect.IDEMPOTENT_BY_KEY
            and self.request_class.idempotency_scope is IdempotencyScope.ALL
        )

    def is_under_ceiling(self, now_us: int) -> bool:
        """Whether its customer's ceiling, or a grant from the quota owner's share, has room for it."""
        if not self.customer.plan.ceiling_rate or now_us < self.ceiling_granted_until_us:
            return True
        return self.customer.refill(now_us).has_ceiling_room(self.arrival.units)
