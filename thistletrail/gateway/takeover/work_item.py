"""A request whose work is recorded at the lease service, and its states."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from thistletrail.gateway.backends import Attempt
from thistletrail.gateway.exchange import Exchange
from thistletrail.gateway.takeover.detached_reply import DetachedReply
from thistletrail.leasing.messages import BeginWork, WorkEffect
from thistletrail.policy.actions import RejectRequest


@dataclass(slots=True)
class WorkItem:
    """One request whose work is recorded at the lease service or is being recorded.

    The lease service's record of the work is `thistletrail.leasing.work_store.WorkItem`.

    The fields show its state:

    - being recorded: `pending_attempt` waits for the result of `pending_begin`;
    - leased: `fence` is not 0; each further attempt is recorded before it is sent;
    - owned elsewhere: `wait_until_ms` is not 0, and the request waits for the outcome of the work's owner,
      which is another gateway or another request of this one;
    - outcome being recorded: `pending_response` is sent once the outcome is recorded;
    - rejected: `pending_rejection` is sent once the lease service has confirmed that its record is withdrawn;
    - untracked: `is_untracked` is set; the work continues without being recorded;
    - over: `is_over` is set; later results and events are ignored.

    Attributes:
        name: Identifies the work in the fleet.
        digest: Digest of the request that the name stands for.
        effect: How often the work may run.
        fence: Fencing token; 0 if the work is not leased.
        attempt_number: Number of the last attempt that was recorded under this fence.
        may_have_run_before: Whether an attempt may have run under an earlier fence.
        attempts_that_may_have_run: Numbers of this request's attempts at this gateway that were passed on
            and of which no result proves that they did not run.
        may_run_elsewhere: Whether another gateway may run the work, or may have run it, for this request.
        wait_until_ms: When the wait for another owner's outcome ends; 0 if the request does not wait.
    """

    exchange: Exchange
    name: str
    digest: str
    effect: WorkEffect
    pending_begin: BeginWork | None = None
    fence: int = 0
    attempt_number: int = 0
    may_have_run_before: bool = False
    attempts_that_may_have_run: set[int] = field(default_factory=set)
    may_run_elsewhere: bool = False
    pending_attempt: Attempt | None = None
    pending_response: bytes | None = None
    pending_rejection: RejectRequest | None = None
    timer: asyncio.TimerHandle | None = None
    is_untracked: bool = False
    is_over: bool = False
    wait_until_ms: int = 0

    @property
    def request_id(self) -> str:
        """The request's id in the policy."""
        return self.exchange.reply.id

    @property
    def is_transferred(self) -> bool:
        """Whether the request was transferred from another gateway, which accepted it."""
        return isinstance(self.exchange.reply, DetachedReply)

    @property
    def has_never_run(self) -> bool:
        """Whether no attempt is known that may have run, here or under an earlier fence."""
        return not (self.attempts_that_may_have_run or self.may_have_run_before)

    def start_timer(self, delay_s: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call `callback` after `delay_s`; replaces an earlier timer."""
        self.stop_timer()
        self.timer = asyncio.get_running_loop().call_later(delay_s, callback, *arguments)

    def stop_timer(self) -> None:
        """Cancel the timer, if there is one."""
        if self.timer:
            self.timer.cancel()
