"""Datagrams between the gateways of a fleet."""

import asyncio
from collections.abc import Callable

from thistletrail.gateway.config import Address
from thistletrail.gateway.cost_counters import PEERS, CostCounters
from thistletrail.policy.actions import SendPeerMessage
from thistletrail.policy.events import PeerMessageReceived
from thistletrail.policy.peer_codec import MAX_DATAGRAM_BYTES, pack_datagrams, unpack_datagram


class PeerTransport(asyncio.DatagramProtocol):
    """Sends messages to other gateways and receives theirs.

    Datagrams that are malformed or come from an unknown address are dropped.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        gateway_index: int,
        on_message: Callable[[PeerMessageReceived], None],
        costs: CostCounters | None = None,
    ) -> None:
        """`addresses` are those of all gateways by index, including this one's."""
        self.addresses = addresses
        self.gateway_index = gateway_index
        self.on_message = on_message
        self.costs = costs or CostCounters()
        self.senders = {
            address: number for number, address in enumerate(addresses) if number != gateway_index
        }
        self.transport: asyncio.DatagramTransport | None = None
        # The event loop calls this method for each datagram, so it is wrapped to measure its time.
        self.datagram_received = self.costs.stages.wrap(PEERS, self.datagram_received)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport of the open socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Report the message of a peer, or count a dropped datagram."""
        sender = self.senders.get(address)
        is_readable = sender is not None and len(data) <= MAX_DATAGRAM_BYTES
        datagram = unpack_datagram(data) if is_readable else None
        if datagram:
            self.costs.datagrams_in += 1
            self.on_message(PeerMessageReceived(sender, datagram.quota_messages, datagram.digest))
        else:
            self.costs.datagrams_dropped += 1

    def error_received(self, error: OSError) -> None:
        """Ignore errors such as those caused by a peer that is down: messages may be lost in any case."""

    def send(self, action: SendPeerMessage) -> None:
        """Send a message to a peer in as many datagrams as needed; does nothing before the socket is open."""
        if self.transport and action.peer != self.gateway_index and action.peer < len(self.addresses):
            for data in pack_datagrams(action.quota_messages, action.digest):
                self.transport.sendto(data, self.addresses[action.peer])
                self.costs.datagrams_out += 1

    def close(self) -> None:
        """Close the socket."""
        if self.transport:
            self.transport.close()
