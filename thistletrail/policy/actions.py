"""The actions that the policy engine returns; the host process carries them out in the order given.

Times are whole microseconds.
"""

from dataclasses import dataclass

from thistletrail.policy.events import HealthDigest, QuotaMessage


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt of a request at a server.

    The attempts of a request are numbered from 0 in the order of these actions. The attempt times out after
    `timeout_us`; 0 means at the time at which its client stops waiting.
    """

    id: str
    server: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight, given by its number (see `StartAttempt`)."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject a request as its final answer.

    The client may safely send it again, preferably after `retry_after_us`; 0 means that no time is advised.
    """

    id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Fail a request as its final answer: the client is not told whether it has run, and it may have."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a TimerFired with `token` after `delay_us`; it replaces an earlier timer of the same token."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Probe whether a server answers; a ProbeEnded reports the result."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send quota messages to a peer, together with a health digest; None sends no digest.

    `peer` is the peer's gateway index.
    """

    peer: int
    quota_messages: tuple[QuotaMessage, ...]
    digest: HealthDigest | None = None


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add `amount` to the shared counter of that name, which expires after `lifetime_us`."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start (`enabled`) or stop a watch on the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the operators' log."""

    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | ProbeServer
    | CloseIdleConnections
    | SendPeerMessage
    | AddToCounter
    | WatchEndpoints
    | FetchEndpoints
    | WriteLog
)
