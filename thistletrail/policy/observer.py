"""The interface for observing on what basis decisions are made, beyond the actions that they emit.

An observer must not change anything. An engine that is given none uses `NoObserver`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from thistletrail.policy.pending_request import PendingRequest


class QuotaBasis(Enum):
    """What decided whether a request is inside its customer's quota."""

    LOCAL_SHARE = auto()  # this gateway's share of the quota
    OWN_ACCOUNT = auto()  # this gateway's account of the quota, as the quota owner
    LAST_ANSWER = auto()  # the quota owner's last answer, which is still fresh
    OWNER_SILENT = auto()  # own estimate, as the quota owner is silent; also for a plan without a quota
    OWNER_ANSWER = auto()  # the quota owner's answer, for which the request waited
    NO_ANSWER = auto()  # this gateway's own estimate, as the wait timed out
    LEASE = auto()  # the units granted by a lease


class RejectReason(Enum):
    """Why a request was rejected or failed."""

    LATE_RETRY = auto()  # a retry of little value, while its customer's quota is scarce
    QUOTA = auto()
    EXPIRED = auto()  # too late for its latency objective or its deadline; see WaitReason
    ATTEMPTS_FAILED = auto()
    RAN_ELSEWHERE = auto()  # taken over and unsafe, and it may have run already


class WaitReason(Enum):
    """What a request waits for before its next attempt."""

    NO_SERVER_FOR_RETRY = auto()
    QUOTA_ANSWER = auto()  # the quota owner's answer, or a lease
    NOT_ADMITTED = auto()  # it has just arrived, or is finished
    CEILING = auto()
    OVERLOAD_CONTROL = auto()
    IN_FLIGHT_LIMIT = auto()
    NO_SERVER = auto()
    QUEUE = auto()


WaitReasonOf = Callable[["PendingRequest"], WaitReason]
"""A function that returns what a request waits for."""


class DecisionObserver(Protocol):
    """The methods that the engine calls as it makes decisions."""

    def on_quota_decision(self, request: PendingRequest, basis: QuotaBasis, chance: float) -> None:
        """Called when a request was decided to be in its quota (`is_in_quota`) or not, with that chance."""

    def on_expiry_check(self, request: PendingRequest, wait_reason: WaitReasonOf) -> None:
        """Called before a request may expire; `wait_reason` returns what it waits for."""

    def on_reject(self, request: PendingRequest, reason: RejectReason) -> None:
        """Called before a request is rejected, or failed if it must not be repeated."""


class NoObserver:
    """An observer that does nothing."""

    def on_quota_decision(self, request: PendingRequest, basis: QuotaBasis, chance: float) -> None:
        """Do nothing."""

    def on_expiry_check(self, request: PendingRequest, wait_reason: WaitReasonOf) -> None:
        """Do nothing."""

    def on_reject(self, request: PendingRequest, reason: RejectReason) -> None:
        """Do nothing."""
