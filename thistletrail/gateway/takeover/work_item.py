"""A request as work under a lease, and the states it goes through."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from thistletrail.gateway.backends import Attempt
from thistletrail.gateway.exchange import Exchange
from thistletrail.gateway.takeover.detached_reply import DetachedReply
from thistletrail.leasing.messages import BeginWork, WorkEffect


@dataclass(slots=True)
class WorkItem:
    """One request whose work is recorded at the lease service, or is to be.

    Its states, by the fields that show them:

    - being recorded: `pending_begin` is out, and `pending_attempt` waits for its answer;
    - leased: `fence` is set; each further attempt is recorded before it is sent;
    - owned elsewhere: `wait_until_ms` is set while another gateway's outcome is waited for;
    - outcome being recorded: `pending_response` waits until the outcome is recorded;
    - untracked: the work goes on without being recorded;
    - over: nothing more comes of it here.
    """

    exchange: Exchange
    name: str  # over the fleet
    digest: str  # of what is requested under that name
    effect: WorkEffect  # how often it may run, in the lease service's terms
    pending_begin: BeginWork | None = None
    fence: int = 0  # fencing token; 0: not leased
    attempt_number: int = 0  # of the last attempt recorded under this fence
    may_have_run_before: bool = False  # under another fence
    may_have_run_here: bool = False  # in an attempt of this gateway
    pending_attempt: Attempt | None = None  # until it is recorded
    pending_response: bytes | None = None  # until the outcome is recorded
    timer: asyncio.TimerHandle | None = None
    is_untracked: bool = False
    is_over: bool = False
    wait_until_ms: int = 0  # for another gateway's outcome; 0: it does not wait

    @property
    def request_id(self) -> str:
        """The id under which the policy knows the request."""
        return self.exchange.reply.id

    @property
    def is_transferred(self) -> bool:
        """Whether another gateway took the request in."""
        return isinstance(self.exchange.reply, DetachedReply)

    @property
    def has_never_run(self) -> bool:
        """Whether it is proven that no attempt has run, anywhere."""
        return not (self.may_have_run_here or self.may_have_run_before)

    def start_timer(self, delay_s: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call back after `delay_s`, in place of the timer that was set before."""
        self.stop_timer()
        self.timer = asyncio.get_running_loop().call_later(delay_s, callback, *arguments)

    def stop_timer(self) -> None:
        """Do not call back any more."""
        if self.timer:
            self.timer.cancel()
