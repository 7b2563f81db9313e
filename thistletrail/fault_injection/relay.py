"""Relays between each pair of communicating processes: forward their data and apply the faults of the link.

Each relay listens at an address of its own, which the connecting process gets in place of the target's. Data
are forwarded in order, with the delay that the state of the link requires. The bytes in the queue are
bounded: a connection that sends more is not read until the queue has shrunk. All relays run on one event
loop.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import Protocol

from thistletrail.fault_injection.history import Writer
from thistletrail.fault_injection.realtime import now_us

HOST = "127.0.0.1"
Address = tuple[str, int]
FORWARD, BACKWARD = 0, 1  # directions: from the connecting process, and to it
MAX_QUEUED_BYTES = 1 << 18  # per direction of a connection: four values of the protocol's maximum size
RETRANSMISSION_DELAY_US = 200_000  # delay of a lost chunk of TCP: the minimum retransmission time-out
MAX_REORDER_DELAY_US = 30_000  # added to a reordered datagram: the usual delays between peers
# Markers in a queue, compared by identity: the sender has sent EOF, closed the connection, or reset it.
FINISH, CLOSE, RESET = b"finish", b"end", b"reset"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time-out of 0: closing sends RST
DATAGRAM_COUNT_INTERVAL_US = 100_000


class LinkState:
    """The active faults of the link between two processes; each list has one value per direction."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.change_callbacks: set[Callable[[], None]] = set()
        self.clear()

    def clear(self) -> None:
        """Remove all faults."""
        self.is_cut = [False, False]
        self.is_on_hold = [False, False]
        self.delay_us = [0, 0]
        self.loss_probability = [0.0, 0.0]
        self.repeat_probability = [0.0, 0.0]
        self.reorder_probability = [0.0, 0.0]
        self.bytes_per_s = [0.0, 0.0]  # 0: unlimited
        self.break_probability = [0.0, 0.0]  # for a chunk to be cut in the middle

    def apply(self, kind: str, way: str, size: float) -> None:
        """Add a fault of a plan; if one of its kind is active already, the larger value applies.

        The arguments are the fields of `plan.Fault` of the same names.
        """
        values, value = {
            "cut": (self.is_cut, True),
            "hold": (self.is_on_hold, True),
            "delay": (self.delay_us, round(size * 1000)),
            "lose": (self.loss_probability, size),
            "repeat": (self.repeat_probability, size),
            "reorder": (self.reorder_probability, size),
            "limit": (self.bytes_per_s, size),
            "break": (self.break_probability, size),
        }[kind]
        for direction in {"both": (FORWARD, BACKWARD), "there": (FORWARD,), "back": (BACKWARD,)}[way]:
            values[direction] = max(values[direction], value)

    def notify(self) -> None:
        """Call all callbacks; to be called after each change of the state."""
        for callback in list(self.change_callbacks):
            callback()


Records = Sequence[dict[str, object]]  # history records, each with its kind


class Filter(Protocol):
    """Rewrites the data that a target sends to the connecting process."""

    def feed(self, data: bytes) -> list[tuple[bytes, Records]]:
        """Return chunks to forward, each with the records to write once it is forwarded."""


class Flow:
    """One direction of a relayed connection, with a queue of the data that are not due yet."""

    def __init__(self, state: LinkState, direction: int, source: Side, destination: Side) -> None:
        self.state, self.direction = state, direction
        self.source, self.destination = source, destination
        self.queue: deque[tuple[int, bytes, Records]] = deque()  # (due time in us, data or marker, records)
        self.queued_bytes = self.due_us = 0
        self.timer: asyncio.TimerHandle | None = None
        self.has_lost_data = False  # data were dropped by a cut: the connection cannot continue after it
        self.is_finished = False  # EOF has been forwarded
        state.change_callbacks.add(self.flush)

    def push(self, data: bytes, records: Records = ()) -> None:
        """Queue received data, and apply the faults of the link to them."""
        state, direction = self.state, self.direction
        if state.is_cut[direction]:
            self.has_lost_data = True
            return
        is_broken = (
            state.break_probability[direction] and state.rng.random() < state.break_probability[direction]
        )
        if is_broken:
            data, records = data[: len(data) // 2], ()
        due_us = max(self.due_us, now_us() + state.delay_us[direction])
        if state.bytes_per_s[direction]:
            due_us += round(len(data) / state.bytes_per_s[direction] * 1e6)
        if state.loss_probability[direction] and state.rng.random() < state.loss_probability[direction]:
            due_us += RETRANSMISSION_DELAY_US
        self.due_us = due_us
        self.queue.append((due_us, data, records))
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self.source.pause_reading()
        if is_broken:
            self.queue_marker(RESET)
        self.flush()

    def queue_marker(self, marker: bytes) -> None:
        """Queue a marker behind the received data: `FINISH`, `CLOSE` or `RESET`."""
        self.queue.append((self.due_us, marker, ()))
        self.flush()

    def flush(self) -> None:
        """Forward the data and markers that are due, unless the link is on hold.

        Resets both connections if the link is cut in both directions, or no longer cut after data were lost.
        """
        if self.timer:
            self.timer.cancel()
            self.timer = None
        is_cut = self.state.is_cut
        if all(is_cut) or (self.has_lost_data and not is_cut[self.direction]):
            self.source.abort()
            self.destination.abort()
            return
        while self.queue and not self.state.is_on_hold[self.direction] and self.destination.is_writable:
            due_us, data, records = self.queue[0]
            if (wait_us := due_us - now_us()) > 0:
                self.timer = self.source.loop.call_later(wait_us / 1e6, self.flush)
                return
            self.queue.popleft()
            if data is RESET:
                self.destination.abort()
            # With EOF in both directions, both connections are closed.
            elif data is CLOSE or (data is FINISH and self.destination.outgoing.is_finished):
                self.destination.transport.close()
                self.source.transport.close()
            elif data is FINISH:
                self.is_finished = True
                self.destination.finish()
            else:
                self.queued_bytes -= len(data)
                self.destination.write(data)
                for record in records:
                    self.source.relay.note(**record)
        if self.queued_bytes <= MAX_QUEUED_BYTES // 2:
            self.source.resume_reading()

    def close(self) -> None:
        """Stop following the state of the link; queued data are not forwarded any more."""
        self.state.change_callbacks.discard(self.flush)
        if self.timer:
            self.timer.cancel()


class Side(asyncio.Protocol):
    """One of the two TCP connections that make up a relayed connection."""

    def __init__(self, relay: Relay) -> None:
        self.relay, self.loop = relay, relay.loop
        self.transport: asyncio.Transport | None = None
        self.outgoing: Flow | None = None  # the data read from this side
        self.incoming: Flow | None = None  # the data to write to this side
        self.is_writable = self.is_reading_paused = False
        self.filter: Filter | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Write the data of the other side that were queued while this one was connecting."""
        self.transport, self.is_writable = transport, True
        if self.incoming:
            self.incoming.flush()

    def data_received(self, data: bytes) -> None:
        """Queue the data for the other side, rewritten if this side has a filter.

        Data that the filter cannot parse reset the other side.
        """
        if self.filter is None:
            self.relay.on_data(self, data)
            self.outgoing.push(data)
            return
        try:
            for chunk, records in self.filter.feed(data):
                self.outgoing.push(chunk, records)
        except ValueError:  # malformed: the gateway could not read it either
            self.outgoing.queue_marker(RESET)

    def eof_received(self) -> bool:
        """Queue EOF for the other side; return True to keep this connection open for writing."""
        self.outgoing.queue_marker(FINISH)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Queue the close or the reset of the other side, and drop the data for this one."""
        self.is_writable = False
        if self.outgoing:
            self.outgoing.queue_marker(RESET if error else CLOSE)
        if self.incoming:
            self.incoming.close()

    def pause_writing(self) -> None:
        """Keep further data in the queue, as the transport's write buffer is full."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Forward the queued data that are due, as the transport's write buffer has drained."""
        self.is_writable = True
        if self.incoming:
            self.incoming.flush()

    def write(self, data: bytes) -> None:
        """Pass data to the transport of this connection."""
        self.transport.write(data)

    def finish(self) -> None:
        """Send EOF, unless the connection is closing."""
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport and not self.transport.is_closing():
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            self.transport.abort()

    def pause_reading(self) -> None:
        """Stop reading from this side, so that its sender is slowed down by TCP flow control."""
        if self.transport and not self.is_reading_paused and not self.transport.is_closing():
            self.is_reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from this side again after `pause_reading`; no effect if it is not paused."""
        if self.is_reading_paused and not self.transport.is_closing():
            self.is_reading_paused = False
            self.transport.resume_reading()


class Relay:
    """Relays the connections from one process to another, at an address of its own."""

    def __init__(
        self,
        link: str,
        sides: tuple[str, str],
        state: LinkState,
        target: Address,
        writer: Writer,
        make_filter: Callable[[], Filter] | None = None,
    ) -> None:
        """`sides` are the names of the two processes, the connecting one first.

        `target` is the address of the second one. `make_filter` creates a filter for the data that it sends,
        one per connection.
        """
        self.link, self.sides, self.state, self.target = link, sides, state, target
        self.writer, self.make_filter = writer, make_filter
        self.loop = asyncio.get_running_loop()
        # Reserves the port while the target is down: connections are refused, as by a host that is up.
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind((HOST, 0))
        self.address: Address = self.reservation.getsockname()
        self.connecting: set[asyncio.Task[None]] = set()
        self.is_refusing = True
        self.open()

    def note(self, kind: str, **values: object) -> None:
        """Write a record to the history; `values` are its fields."""
        self.writer.note(kind, **values)

    def open(self) -> None:
        """Listen for connections; those not accepted yet wait in the backlog of the listening socket."""
        if not self.is_refusing:
            return
        self.is_refusing = False
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(256)
        listener.setblocking(False)
        self.listener = listener
        self.loop.add_reader(listener, self.accept)

    def refuse(self) -> None:
        """Refuse new connections, as if the target were down."""
        if not self.is_refusing:
            self.is_refusing = True
            self.loop.remove_reader(self.listener)
            self.listener.close()

    def accept(self) -> None:
        """Accept all waiting connections; they are reset while the link is cut in any direction."""
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            if any(self.state.is_cut):
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                accepted.close()
                continue
            accepted.setblocking(False)
            task = self.loop.create_task(self.connect(accepted))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)

    async def connect(self, accepted: socket.socket) -> None:
        """Connect an accepted connection to the target, and relay between the two."""
        connecting_side, target_side = Side(self), Side(self)
        connecting_side.outgoing = target_side.incoming = Flow(
            self.state, FORWARD, connecting_side, target_side
        )
        target_side.outgoing = connecting_side.incoming = Flow(
            self.state, BACKWARD, target_side, connecting_side
        )
        if self.make_filter:
            target_side.filter = self.make_filter()
        self.note("open", link=self.link, sides=self.sides)
        await self.loop.create_connection(lambda: connecting_side, sock=accepted)
        try:
            await self.loop.create_connection(lambda: target_side, *self.target)
        except OSError:
            connecting_side.abort()
            connecting_side.outgoing.close()
            return
        if connecting_side.transport.is_closing():
            target_side.abort()

    def on_data(self, side: Side, data: bytes) -> None:
        """Do nothing; a subclass may inspect the data of a side without a filter, before they are queued."""

    def close(self) -> None:
        """Stop listening, and release the address."""
        self.refuse()
        self.reservation.close()


class RequestRelay(Relay):
    """Relays from a gateway to a scan server, and records each request that the gateway sends."""

    def on_data(self, side: Side, data: bytes) -> None:
        """Record the request that begins with these data, if they come from the gateway."""
        # The 7th line of an encoded command is the value of its third argument, the request id.
        if side.filter is None and data.startswith(b"*") and side.outgoing.direction == FORWARD:
            lines = data.split(b"\r\n", 7)
            if len(lines) > 6:
                self.note(
                    "sent", door=self.sides[0], server=self.sides[1], id=lines[6].decode(errors="replace")
                )


class PeerSocket(asyncio.DatagramProtocol):
    """Receives the datagrams of one gateway to another, at the address that the sender has for the other."""

    def __init__(self, relays: PeerRelays, sender: int, receiver: int) -> None:
        self.relays, self.sender, self.receiver = relays, sender, receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport, whose address the sender is given in place of the receiver's."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Forward a datagram of the sending gateway; ignore those of any other source."""
        if address == self.relays.gateway_addresses[self.sender]:
            self.relays.forward(self.sender, self.receiver, data)

    def error_received(self, error: OSError) -> None:
        """Ignore errors: the receiver is down, and its datagrams are lost."""


class PeerRelays:
    """Relays the datagrams between all gateways.

    Each gateway has one address for each peer, to which it sends and from which it receives.
    """

    def __init__(
        self, gateway_addresses: list[Address], link_state: Callable[[int, int], LinkState], writer: Writer
    ) -> None:
        """`link_state` takes the numbers of two gateways, the lower one first."""
        self.gateway_addresses, self.link_state, self.writer = gateway_addresses, link_state, writer
        self.loop = asyncio.get_running_loop()
        # By the numbers of the sending gateway, and of the peer whose address this socket has for it.
        self.sockets: dict[tuple[int, int], PeerSocket] = {}
        self.counts: Counter[tuple[int, str]] = Counter()  # by number of the interval, and `lost` or `passed`

    async def start(self) -> None:
        """Open one socket for each ordered pair of gateways."""
        for sender in range(len(self.gateway_addresses)):
            for receiver in range(len(self.gateway_addresses)):
                if sender != receiver:
                    _, peer_socket = await self.loop.create_datagram_endpoint(
                        lambda sender=sender, receiver=receiver: PeerSocket(self, sender, receiver),
                        local_addr=(HOST, 0),
                    )
                    self.sockets[sender, receiver] = peer_socket

    def addresses_for(self, gateway: int) -> list[Address]:
        """Return the addresses that a gateway has for all gateways: its own, and sockets of the relays."""
        return [
            self.gateway_addresses[number]
            if number == gateway
            else self.sockets[gateway, number].transport.get_extra_info("sockname")
            for number in range(len(self.gateway_addresses))
        ]

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        """Forward a datagram, and apply the faults of the link to it."""
        state = self.link_state(min(sender, receiver), max(sender, receiver))
        direction, rng = (FORWARD if sender < receiver else BACKWARD), state.rng
        is_lost = state.is_cut[direction] or (
            state.loss_probability[direction] and rng.random() < state.loss_probability[direction]
        )
        interval = now_us() // DATAGRAM_COUNT_INTERVAL_US
        self.counts[interval, "lost" if is_lost else "passed"] += 1
        if is_lost:
            return
        for _ in range(
            1
            + (state.repeat_probability[direction] > 0 and rng.random() < state.repeat_probability[direction])
        ):
            delay_us = state.delay_us[direction]
            if state.reorder_probability[direction] and rng.random() < state.reorder_probability[direction]:
                delay_us += round(rng.random() * MAX_REORDER_DELAY_US)
            if state.bytes_per_s[direction]:
                delay_us += round(len(data) / state.bytes_per_s[direction] * 1e6)
            if state.is_on_hold[direction]:
                self.deliver_after_hold(state, direction, sender, receiver, data)
            elif delay_us:
                self.loop.call_later(delay_us / 1e6, self.deliver, sender, receiver, data)
            else:
                self.deliver(sender, receiver, data)

    def deliver_after_hold(
        self, state: LinkState, direction: int, sender: int, receiver: int, data: bytes
    ) -> None:
        """Deliver a datagram once the link is not on hold any more."""

        def release() -> None:
            if not state.is_on_hold[direction]:
                state.change_callbacks.discard(release)
                self.deliver(sender, receiver, data)

        state.change_callbacks.add(release)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a datagram to the receiver, from the address that the receiver has for the sender."""
        transport = self.sockets[receiver, sender].transport
        if not transport.is_closing():
            transport.sendto(data, self.gateway_addresses[receiver])

    def record_counts(self) -> None:
        """Write the counts of lost and passed datagrams to the history, by interval."""
        for (interval, fate), count in sorted(self.counts.items()):
            self.writer.note("words", at=interval * DATAGRAM_COUNT_INTERVAL_US, fate=fate, count=count)

    def close(self) -> None:
        """Close all sockets."""
        for peer_socket in self.sockets.values():
            peer_socket.transport.close()
