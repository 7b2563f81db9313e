"""Which incarnations of gateways may own work items, and which of them takes an item over."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from thistletrail.leasing.messages import WorkRequest, holder_name, parse_holder_name
from thistletrail.leasing.work_store import WorkItem


@dataclass(slots=True)
class Member:
    """One incarnation of a gateway, and until when it may act.

    `unacknowledged` has, by fencing number, the names of transferred items that it has not yet accepted.
    """

    until_ms: int
    serial: int = -1
    is_draining: bool = False
    unacknowledged: dict[int, str] = field(default_factory=dict)


def rendezvous_weight(holder: str, name: str) -> int:
    """Return the weight of a holder for an item: the highest one takes it (rendezvous hashing, XXH3)."""
    return xxhash.xxh3_64_intdigest(f"{holder}|{name}".encode())


class Membership:
    """The holders whose leases may last, and the latest incarnation of each gateway."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.latest: dict[int, int] = {}  # by gateway: its latest incarnation

    def latest_incarnation(self, gateway: int) -> int:
        """Return the latest incarnation of a gateway that was seen; -1 for none."""
        return self.latest.get(gateway, -1)

    def see(self, gateway: int, incarnation: int) -> None:
        """Note an incarnation of a gateway: those before it are replaced."""
        self.latest[gateway] = max(self.latest_incarnation(gateway), incarnation)

    def is_alive(self, holder: str, now_ms: int) -> bool:
        """Return whether a holder may still act: its lease lasts, and no later incarnation was seen."""
        member = self.members.get(holder)
        return member is not None and now_ms < member.until_ms and not self.is_replaced(holder)

    def is_replaced(self, holder: str) -> bool:
        """Return whether a later incarnation of the same gateway was seen."""
        identity = parse_holder_name(holder)
        return identity.incarnation < self.latest_incarnation(identity.gateway)

    def is_stale(self, request: WorkRequest) -> bool:
        """Return whether a later request, or a later incarnation of its gateway, was seen."""
        if request.incarnation < self.latest_incarnation(request.gateway):
            return True
        member = self.members.get(holder_name(request.gateway, request.incarnation))
        return member is not None and request.serial <= member.serial

    def renew(self, request: WorkRequest, until_ms: int) -> Member:
        """Begin or renew the lease of a request's sender, and note what it has accepted."""
        holder = holder_name(request.gateway, request.incarnation)
        member = self.members.get(holder)
        if member is None:
            member = Member(until_ms)
            self.members[holder] = member
        member.serial = request.serial
        member.until_ms = until_ms
        member.is_draining = request.is_draining
        for fence in request.accepted_fences:
            member.unacknowledged.pop(fence, None)
        return member

    def lost(self, now_ms: int) -> set[str]:
        """Return the members that may not act any more."""
        return {holder for holder in self.members if not self.is_alive(holder, now_ms)}

    def taker(self, item: WorkItem, now_ms: int) -> str:
        """Return the holder that goes on with an item, by rendezvous hashing; empty if there is none."""
        candidates = (
            holder
            for holder, member in self.members.items()
            if self.is_alive(holder, now_ms) and not member.is_draining and holder not in item.declined_by
        )
        return max(candidates, key=lambda holder: rendezvous_weight(holder, item.name), default="")
