"""Which instance an address belongs to, where the endpoint list names several.

A machine runs one process at an address. Where a list names a new instance at the address of another one, the
other one's process has ended, although the list may say so only later, or never. Without this, work for the
old instance would reach the new process, which may be in another zone or cell, where repeats are not known.
"""

from dataclasses import dataclass, replace

from thistletrail.gateway.config import Address
from thistletrail.gateway.endpoint_list import EndpointListUpdate
from thistletrail.policy.events import EndpointUpdateKind, Server, ServerState


@dataclass(slots=True)
class ListedInstance:
    """An instance as it is listed, and the number of the update that first listed its process there."""

    server: Server
    address: Address
    update_number: int
    is_displaced: bool = False

    def order(self) -> tuple[int, int]:
        """The key by which the latest of several processes at an address is found."""
        return self.server.started_us, self.update_number


class AddressOwners:
    """The listed instances, as many as the endpoint list has."""

    def __init__(self) -> None:
        self.by_name: dict[str, ListedInstance] = {}
        self.update_count = 0

    def resolve(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Return the update with each instance as GONE whose address belongs to a later one.

        Instances at the same address of which none is known to be later stay as they are.
        """
        self.update_count += 1
        servers = {server.name: server for server in update.event.servers}
        if update.event.kind is not EndpointUpdateKind.CHANGES:
            self.by_name = {name: listed for name, listed in self.by_name.items() if name in servers}
        new_processes = [self.record(server, update.addresses.get(name)) for name, server in servers.items()]
        if any(new_processes):
            self.displace_earlier_processes()
        displaced = {name: listed.server for name, listed in self.by_name.items() if listed.is_displaced}
        if not displaced:
            return update
        servers |= {name: replace(server, state=ServerState.GONE) for name, server in displaced.items()}
        addresses = {name: address for name, address in update.addresses.items() if name not in displaced}
        return EndpointListUpdate(replace(update.event, servers=tuple(servers.values())), addresses)

    def record(self, server: Server, address: Address | None) -> bool:
        """Record an instance of an update; returns whether its process is new: listed, moved or restarted."""
        if address is None:
            self.by_name.pop(server.name, None)
            return False
        listed = self.by_name.get(server.name)
        if listed and (listed.address, listed.server.started_us) == (address, server.started_us):
            listed.server = server
            return False
        self.by_name[server.name] = ListedInstance(server, address, self.update_count)
        return True

    def displace_earlier_processes(self) -> None:
        """Mark the instances whose address belongs to a later process."""
        latest: dict[Address, tuple[int, int]] = {}
        for listed in self.by_name.values():
            latest[listed.address] = max(listed.order(), latest.get(listed.address, listed.order()))
        for listed in self.by_name.values():
            listed.is_displaced = listed.is_displaced or listed.order() < latest[listed.address]
