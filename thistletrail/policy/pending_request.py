"""The state of a request from its arrival until its final answer and the end of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from thistletrail.policy.events import RequestArrived
from thistletrail.policy.settings import Effect, IdempotencyScope, RequestClass
from thistletrail.policy.units import NEVER_US

if TYPE_CHECKING:
    from thistletrail.policy.quota import CustomerQuota
    from thistletrail.policy.upstream_server import UpstreamServer


class PendingRequest:
    """A request with its deadlines, attempts and quota decision.

    Names in `_at_us`, `_by_us`, `_since_us` and `_until_us` are absolute times.
    """

    __slots__ = (
        "arrival",
        "attempted_servers",
        "ceiling_granted_until_us",
        "customer",
        "deadline_at_us",
        "in_flight",
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
        "server_before_takeover",
    )

    def __init__(
        self,
        arrival: RequestArrived,
        request_class: RequestClass,
        customer: CustomerQuota,
        now_us: int,
        elapsed_us: int,
    ) -> None:
        """`elapsed_us` is the time since the client's first attempt, where the latency objective begins."""
        self.arrival = arrival
        self.request_class = request_class
        self.customer = customer
        self.priority = request_class.value * customer.plan.value_factor * arrival.units
        self.deadline_at_us = now_us + arrival.remaining_us
        self.objective_at_us = min(
            now_us + request_class.latency_objective_us - elapsed_us, self.deadline_at_us
        )
        # A request of which no attempt has reached a server completely must be rejected by then.
        self.reject_by_us = now_us + arrival.remaining_us // 2
        self.is_late_retry = False  # a client's retry that can only earn its late value
        self.is_finished = False  # has its final answer, or needs none

        self.attempted_servers: list[UpstreamServer] = []  # by attempt number
        self.in_flight: dict[int, int] = {}  # send time in us, by attempt number
        self.may_have_run_on: UpstreamServer | None = None  # first server on which it may have run
        self.may_have_run_since_us = 0  # when it was sent there, or arrived here after a takeover
        # For a request that was taken over: the server on which the other gateway's attempt may have run.
        self.server_before_takeover: UpstreamServer | None = None
        self.never_ran_count = 0  # attempts that certainly did not run
        self.not_sent_count = 0  # attempts that never reached a server completely

        self.is_in_quota = False
        self.is_quota_decided = False
        self.quota_wait_until_us = NEVER_US  # when it stops waiting for the quota owner or a lease
        self.quota_requests_sent = 0
        self.ceiling_granted_until_us = -NEVER_US  # when the quota owner's grant of ceiling units expires

    def limit_deadline(self, deadline_at_us: int) -> None:
        """Move the deadline, and the objective with it, to `deadline_at_us` if they are later."""
        self.deadline_at_us = min(self.deadline_at_us, deadline_at_us)
        self.objective_at_us = min(self.objective_at_us, self.deadline_at_us)

    def may_reject(self) -> bool:
        """Return whether the request may be rejected, which allows the client to send it again.

        That is so if it has not run, is idempotent, or every server recognises its idempotency key. Otherwise
        it can only be failed.
        """
        if self.may_have_run_on is None or self.request_class.effect is Effect.IDEMPOTENT:
            return True
        return (
            self.request_class.effect is Effect.IDEMPOTENT_BY_KEY
            and self.request_class.idempotency_scope is IdempotencyScope.ALL
        )

    def is_under_ceiling(self, now_us: int) -> bool:
        """Return whether this gateway's share of the ceiling has room for it, or a grant covers its units.

        It is also true for a plan without a ceiling.
        """
        if not self.customer.plan.ceiling_rate or now_us < self.ceiling_granted_until_us:
            return True
        return self.customer.refill(now_us).has_ceiling_room(self.arrival.units)
