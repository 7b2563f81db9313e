"""A request whose work is recorded at the lease service, and its states."""

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
    """One request whose work is recorded at the lease service or is being recorded.

    The fields show its state:

    - being recorded: `pending_begin` has no result yet, for which `pending_attempt` waits;
    - leased: `fence` is not 0; each further attempt is recorded before it is sent;
    - owned elsewhere: `wait_until_ms` is not 0, and the request waits for another gateway's outcome;
    - outcome being recorded: `pending_response` is sent once the outcome is recorded;
    - untracked: `is_untracked` is set; the work continues without being recorded;
    - over: `is_over` is set; later results and events are ignored.
    """

    exchange: Exchange
    name: str  # identifies the work in the fleet
    digest: str  # of the request that the name stands for
    effect: WorkEffect  # how often it may run
    pending_begin: BeginWork | None = None
    fence: int = 0  # fencing token; 0 if not leased
    attempt_number: int = 0  # of the last attempt recorded under this fence
    may_have_run_before: bool = False  # under an earlier fence
    may_have_run_here: bool = False  # in an attempt of this gateway
    pending_attempt: Attempt | None = None  # to be sent once recorded
    pending_response: bytes | None = None  # to be sent once the outcome is recorded
    timer: asyncio.TimerHandle | None = None
    is_untracked: bool = False
    is_over: bool = False
    wait_until_ms: int = 0  # end of the wait for another gateway's outcome; 0 if it does not wait

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
        """Whether it is certain that no attempt has run, at any gateway."""
        return not (self.may_have_run_here or self.may_have_run_before)

    def start_timer(self, delay_s: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call `callback` after `delay_s`; replaces an earlier timer."""
        self.stop_timer()
        self.timer = asyncio.get_running_loop().call_later(delay_s, callback, *arguments)

    def stop_timer(self) -> None:
        """Cancel the timer, if there is one."""
        if self.timer:
            self.timer.cancel()
