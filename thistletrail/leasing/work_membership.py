"""Which incarnations of gateways may own work items, and which one takes over an item."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from thistletrail.leasing.messages import WorkRequest, holder_name, parse_holder_name
from thistletrail.leasing.work_records import RequestStamp
from thistletrail.leasing.work_store import WorkItem

NO_SERIAL = -1  # lower than that of any request


@dataclass(slots=True)
class Member:
    """One incarnation of a gateway, with the end of its lease.

    `unacknowledged` maps fencing tokens to the names of transferred items whose arrival it has not
    acknowledged yet.
    """

    until_ms: int
    is_draining: bool = False
    unacknowledged: dict[int, str] = field(default_factory=dict)


def rendezvous_weight(holder: str, name: str) -> int:
    """Return a holder's weight for an item by rendezvous hashing (XXH3); the highest weight takes it."""
    return xxhash.xxh3_64_intdigest(f"{holder}|{name}".encode())


class Membership:
    """The holders with leases, which are the members, and the latest request of each gateway.

    A holder is the name of one incarnation of a gateway, as `holder_name` returns it. The latest serial of a
    gateway outlasts its lease: a delayed request must not begin work again that the gateway has released.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.latest_incarnations: dict[int, int] = {}  # by gateway number
        self.latest_serials: dict[int, int] = {}  # of the latest incarnation, by gateway number

    def latest_incarnation_of(self, gateway: int) -> int:
        """Return the latest known incarnation of a gateway; -1 if none is known."""
        return self.latest_incarnations.get(gateway, -1)

    def record_incarnation(self, gateway: int, incarnation: int) -> None:
        """Record an incarnation of a gateway, which replaces earlier ones."""
        if incarnation > self.latest_incarnation_of(gateway):
            self.latest_incarnations[gateway] = incarnation
            self.latest_serials[gateway] = NO_SERIAL

    def record_request(self, stamp: RequestStamp) -> None:
        """Record a request that is carried out; one of an earlier incarnation has no effect."""
        self.record_incarnation(stamp.gateway, stamp.incarnation)
        if stamp.incarnation == self.latest_incarnations[stamp.gateway]:
            self.latest_serials[stamp.gateway] = max(self.latest_serials[stamp.gateway], stamp.serial)

    def stamps(self) -> list[RequestStamp]:
        """Return the stamp of the latest request of each gateway, for a snapshot."""
        return [
            RequestStamp(gateway, incarnation, self.latest_serials[gateway])
            for gateway, incarnation in self.latest_incarnations.items()
        ]

    def is_alive(self, holder: str, now_ms: int) -> bool:
        """Return whether a holder may still own items: its lease lasts, and it has not been replaced."""
        member = self.members.get(holder)
        return member is not None and now_ms < member.until_ms and not self.is_replaced(holder)

    def is_replaced(self, holder: str) -> bool:
        """Return whether a later incarnation of the same gateway is known."""
        identity = parse_holder_name(holder)
        return identity.incarnation < self.latest_incarnation_of(identity.gateway)

    def is_stale(self, request: WorkRequest) -> bool:
        """Return whether a request is repeated or overtaken, or its sender has been replaced."""
        latest_incarnation = self.latest_incarnation_of(request.gateway)
        if request.incarnation != latest_incarnation:
            return request.incarnation < latest_incarnation
        return request.serial <= self.latest_serials[request.gateway]

    def renew(self, request: WorkRequest, until_ms: int) -> Member:
        """Begin or renew the lease of a request's sender, and note the items that it acknowledges."""
        holder = holder_name(request.gateway, request.incarnation)
        member = self.members.get(holder)
        if member is None:
            member = Member(until_ms)
            self.members[holder] = member
        self.record_request(RequestStamp(request.gateway, request.incarnation, request.serial))
        member.until_ms = until_ms
        member.is_draining = request.is_draining
        for fence in request.accepted_fences:
            member.unacknowledged.pop(fence, None)
        return member

    def lost_members(self, now_ms: int) -> set[str]:
        """Return the holders among the members whose lease has ended or that were replaced."""
        return {holder for holder in self.members if not self.is_alive(holder, now_ms)}

    def choose_taker(self, item: WorkItem, now_ms: int) -> str:
        """Return the holder that takes over an item, by rendezvous hashing; empty if there is none."""
        candidates = (
            holder
            for holder, member in self.members.items()
            if self.is_alive(holder, now_ms) and not member.is_draining and holder not in item.declined_by
        )
        return max(candidates, key=lambda holder: rendezvous_weight(holder, item.name), default="")
