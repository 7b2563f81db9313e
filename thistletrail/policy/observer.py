"""What may be observed of decisions beside their actions: on what basis they were made.

The engine calls its observer, which changes nothing. Without one, it calls `NoObserver`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from thistletrail.policy.pending_request import PendingRequest


class QuotaBasis(Enum):
    """By what a request was found inside its customer's quota, or beyond it."""

    LOCAL_SHARE = auto()  # this gateway's share of the quota
    OWN_ACCOUNT = auto()  # this gateway is the quota owner
    LAST_ANSWER = auto()  # the quota owner's last answer, which is fresh
    OWNER_SILENT = auto()  # what is known here, as the quota owner does not answer
    OWNER_ANSWER = auto()  # the quota owner's answer, which the request has waited for
    NO_ANSWER = auto()  # what is known here, as no answer came in time
    LEASE = auto()  # what a lease of the lease service grants


class RejectReason(Enum):
    """Why a request was not served."""

    LATE_RETRY = auto()  # a retry with little value, while its customer's quota is scarce
    QUOTA = auto()
    EXPIRED = auto()  # out of time; see WaitReason
    ATTEMPTS_FAILED = auto()
    RAN_ELSEWHERE = auto()  # taken over, and it may have run where it must not run twice


class WaitReason(Enum):
    """What keeps a request from leaving."""

    NO_SERVER_FOR_RETRY = auto()
    QUOTA_ANSWER = auto()
    NOT_ADMITTED = auto()  # it has just arrived
    CEILING = auto()
    OVERLOAD_CONTROL = auto()
    IN_FLIGHT_LIMIT = auto()
    NO_SERVER = auto()
    QUEUE = auto()


WaitReasonOf = Callable[["PendingRequest"], WaitReason]
"""Returns what a request waits for."""


class DecisionObserver(Protocol):
    """Is called with decisions as they are made."""

    def on_quota_decision(self, request: PendingRequest, basis: QuotaBasis, chance: float) -> None:
        """A request was found in its quota (`is_in_quota`), by that chance, or not."""

    def on_expiry_check(self, request: PendingRequest, wait_reason: WaitReasonOf) -> None:
        """A request may be given up now; `wait_reason` returns what it waits for."""

    def on_reject(self, request: PendingRequest, reason: RejectReason) -> None:
        """A request is about to be rejected, or failed where a rejection would not be true."""


class NoObserver:
    """An observer that notes nothing."""

    def on_quota_decision(self, request: PendingRequest, basis: QuotaBasis, chance: float) -> None:
        """Note nothing."""

    def on_expiry_check(self, request: PendingRequest, wait_reason: WaitReasonOf) -> None:
        """Note nothing."""

    def on_reject(self, request: PendingRequest, reason: RejectReason) -> None:
        """Note nothing."""
