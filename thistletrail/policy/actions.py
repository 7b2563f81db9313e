"""What the decisions ask for: each action is carried out by whoever hosts them, in the order given."""

from dataclasses import dataclass

from thistletrail.policy.events import HealthDigest, QuotaMessage


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt of a request at a server; a time-out of 0 lasts until the client gives up."""

    id: str
    server: str
    timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; attempts of a request are numbered from 0."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not taken, and trying again is harmless, at best after `retry_after_us`."""

    id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, with no promise about effects."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a TimerFired with this token after a delay; it replaces an earlier timer of the same token."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Check whether a server answers."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send quota messages to one peer, and with them what was observed of the servers."""

    peer: int
    quota_messages: tuple[QuotaMessage, ...]
    digest: HealthDigest | None = None


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a number that the shared counter keeps."""

    name: int
    amount: float
    lifetime_us: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Follow the changes of the endpoint list, or stop."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Request the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line for those on call."""

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
