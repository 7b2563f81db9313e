"""Interfaces of the gateway that takeover uses: its requests and the servers known to its policy."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from thistletrail.gateway.command_parser import Command
from thistletrail.gateway.deadline import Deadline
from thistletrail.gateway.exchange import Exchange, ReplyTarget
from thistletrail.policy.actions import FailRequest, RejectRequest
from thistletrail.policy.events import Server
from thistletrail.policy.settings import Settings


class KnownServer(Protocol):
    """A server in the policy."""

    @property
    def entry(self) -> Server:
        """The server's entry in the endpoint list."""


class ServerDirectory(Protocol):
    """Looks up servers; implemented by the policy."""

    @property
    def servers_by_name(self) -> Mapping[str, KnownServer]:
        """All known servers by name; each endpoint update replaces the mapping."""


class Requests(Protocol):
    """The gateway's open requests."""

    settings: Settings
    drain_end_us: int  # when a graceful shutdown ends all requests

    def open_transferred(self, command: Command, reply: ReplyTarget, deadline: Deadline) -> Exchange | None:
        """Open a request that another gateway accepted.

        Returns None if the id is in use or no further request can be accepted.
        """

    def serve(self, request_id: str, response: bytes) -> None:
        """Answer a request with a value, in RESP."""

    def reject(self, action: RejectRequest) -> None:
        """Answer a request with BUSY and the time after which its client may retry."""

    def fail(self, action: FailRequest) -> None:
        """Answer that a request failed."""

    def drop_from_policy(self, request_id: str) -> None:
        """Have the policy drop a request that it has not ended."""

    def fail_after_fault(self, request_id: str) -> None:
        """Fail a request that the policy has not ended, and have the policy drop it."""
