"""Datagrams between the front doors of a tier."""

import asyncio
from collections.abc import Callable

from thistletrail.gateway.config import Address
from thistletrail.gateway.cost_counters import PEERS, Costs
from thistletrail.policy.actions import SendPeerMessage
from thistletrail.policy.events import PeerMessageReceived
from thistletrail.policy.peer_codec import MAX_DATAGRAM_BYTES, pack_datagrams, unpack_datagram


class Peers(asyncio.DatagramProtocol):
    """Words to and from the other front doors; what strangers send or what is malformed is dropped."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        gateway_index: int,
        heard: Callable[[PeerMessageReceived], None],
        costs: Costs | None = None,
    ) -> None:
        self.costs = costs or Costs()
        self.addresses, self.gateway_index, self.heard = addresses, gateway_index, heard
        self.senders = {
            address: number for number, address in enumerate(addresses) if number != gateway_index
        }
        self.transport: asyncio.DatagramTransport | None = None
        # The loop calls it for each datagram.
        self.datagram_received = self.costs.stages.call(PEERS, self.datagram_received)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        sender = self.senders.get(address)
        known = sender is not None and len(data) <= MAX_DATAGRAM_BYTES
        if datagram := unpack_datagram(data) if known else None:
            self.costs.datagrams_in += 1
            self.heard(PeerMessageReceived(sender, datagram.quota_messages, datagram.digest))
        else:
            self.costs.datagrams_dropped += 1

    def error_received(self, error: OSError) -> None:
        """A peer that is down may show as an error here; words may be lost in any case."""

    def tell(self, action: SendPeerMessage) -> None:
        if self.transport and action.peer != self.gateway_index and action.peer < len(self.addresses):
            for data in pack_datagrams(action.quota_messages, action.digest):
                self.transport.sendto(data, self.addresses[action.peer])
                self.costs.datagrams_out += 1

    def close(self) -> None:
        if self.transport:
            self.transport.close()
