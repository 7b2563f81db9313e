"""What takeover needs of the gateway around it: its requests and the servers that its policy knows."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from thistletrail.gateway.clients import Command
from thistletrail.gateway.deadline import Deadline
from thistletrail.gateway.exchange import Exchange, ReplyTarget
from thistletrail.policy.actions import FailRequest, RejectRequest
from thistletrail.policy.events import Server
from thistletrail.policy.settings import Settings


class KnownServer(Protocol):
    """A server as the policy knows it."""

    @property
    def entry(self) -> Server:
        """What discovery says of it."""


class ServerDirectory(Protocol):
    """The policy, as the place where servers are looked up."""

    @property
    def servers_by_name(self) -> Mapping[str, KnownServer]:
        """All known servers by name; another mapping after each endpoint update."""


class Requests(Protocol):
    """The gateway's requests."""

    settings: Settings
    drain_end_us: int  # until when a drain lets requests last

    def open_transferred(self, command: Command, reply: ReplyTarget, deadline: Deadline) -> Exchange | None:
        """Open a request that another gateway took in; None where too much is open."""

    def serve(self, request_id: str, response: bytes) -> None:
        """Answer with a value, in RESP."""

    def reject(self, action: RejectRequest) -> None:
        """Answer BUSY, with the time after which the client may retry."""

    def fail(self, action: FailRequest) -> None:
        """Answer that the request failed."""

    def fail_after_fault(self, request_id: str) -> None:
        """Fail a request, and have the policy forget it."""
