"""Relays between every two processes, which forward their data and apply the faults of the link.

A relay has an address of its own, which the connecting side gets in place of the other's. Data are forwarded
in order, with the delay that the state of the link asks for. The bytes in the queue are bounded: a side that
sends more is not read until the queue has shrunk. Everything runs on one event loop.
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
THERE, BACK = 0, 1  # directions: from the connecting side, and to it
MAX_QUEUED_BYTES = 1 << 18  # in one direction of a connection: four of the longest values
RETRANSMISSION_DELAY_US = 200_000  # of a lost chunk of TCP: the minimum retransmission time-out
MAX_REORDER_DELAY_US = 30_000  # of a datagram that others overtake: the usual delays between peers
# Marks in a queue, compared by identity: the sender has finished, has closed the connection, or has reset it.
FINISH, CLOSE, RESET = b"finish", b"end", b"reset"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # a value of SO_LINGER
DATAGRAM_COUNT_INTERVAL_US = 100_000


class State:
    """The present faults of the link between a pair of processes, by direction."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.on_change: set[Callable[[], None]] = set()
        self.clear()

    def clear(self) -> None:
        """Remove all faults."""
        self.cut = [False, False]
        self.hold = [False, False]
        self.delay_us = [0, 0]
        self.lose = [0.0, 0.0]
        self.repeat = [0.0, 0.0]
        self.reorder = [0.0, 0.0]
        self.limit = [0.0, 0.0]  # bytes a second; 0: unlimited
        self.broken = [0.0, 0.0]  # share of the chunks that are cut in the middle

    def apply(self, kind: str, way: str, size: float) -> None:
        """Add a fault of a plan; where there is one of its kind already, the larger value holds."""
        values, value = {
            "cut": (self.cut, True),
            "hold": (self.hold, True),
            "delay": (self.delay_us, round(size * 1000)),
            "lose": (self.lose, size),
            "repeat": (self.repeat, size),
            "reorder": (self.reorder, size),
            "limit": (self.limit, size),
            "break": (self.broken, size),
        }[kind]
        for direction in {"both": (THERE, BACK), "there": (THERE,), "back": (BACK,)}[way]:
            values[direction] = max(values[direction], value)

    def notify(self) -> None:
        """Call all callbacks, after the state has changed."""
        for callback in list(self.on_change):
            callback()


Notes = Sequence[dict[str, object]]  # history records, each with its kind


class Filter(Protocol):
    """Rewrites the data on their way to the connecting side."""

    def feed(self, data: bytes) -> list[tuple[bytes, Notes]]:
        """Return chunks to forward, each with the records to write once it is forwarded."""


class Flow:
    """One direction of one connection, with a queue of the data that are not due yet."""

    def __init__(self, state: State, way: int, reader: Side, writer: Side) -> None:
        self.state, self.way, self.reader, self.writer = state, way, reader, writer
        self.queue: deque[tuple[int, bytes, list[dict[str, object]]]] = deque()
        self.queued_bytes = self.due_us = 0
        self.timer: asyncio.TimerHandle | None = None
        self.has_lost_data = False  # the connection cannot continue after the cut
        self.finished = False  # the end of the data has been forwarded
        state.on_change.add(self.flush)

    def push(self, data: bytes, notes: Notes = ()) -> None:
        """Queue received data, with the faults of the link."""
        state, way = self.state, self.way
        if state.cut[way]:
            self.has_lost_data = True
            return
        is_broken = state.broken[way] and state.rng.random() < state.broken[way]
        if is_broken:
            data, notes = data[: len(data) // 2], ()
        due_us = max(self.due_us, now_us() + state.delay_us[way])
        if state.limit[way]:
            due_us += round(len(data) / state.limit[way] * 1e6)
        if state.lose[way] and state.rng.random() < state.lose[way]:
            due_us += RETRANSMISSION_DELAY_US
        self.due_us = due_us
        self.queue.append((due_us, data, notes))
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self.reader.pause_reading()
        if is_broken:
            self.mark(RESET)
        self.flush()

    def mark(self, mark: bytes) -> None:
        """Queue a mark for what the sender did after the data that it has sent."""
        self.queue.append((self.due_us, mark, ()))
        self.flush()

    def flush(self) -> None:
        """Forward what is due, unless the link is held."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        cut = self.state.cut
        if all(cut) or (self.has_lost_data and not cut[self.way]):
            self.reader.abort()
            self.writer.abort()
            return
        while self.queue and not self.state.hold[self.way] and self.writer.is_writable:
            due_us, data, notes = self.queue[0]
            if (wait_us := due_us - now_us()) > 0:
                self.timer = self.reader.loop.call_later(wait_us / 1e6, self.flush)
                return
            self.queue.popleft()
            if data is RESET:
                self.writer.abort()
            elif data is CLOSE or (data is FINISH and self.writer.out.finished):
                self.writer.transport.close()
                self.reader.transport.close()
            elif data is FINISH:
                self.finished = True
                self.writer.finish()
            else:
                self.queued_bytes -= len(data)
                self.writer.write(data)
                for note in notes:
                    self.reader.relay.note(**note)
        if self.queued_bytes <= MAX_QUEUED_BYTES // 2:
            self.reader.resume_reading()

    def close(self) -> None:
        self.state.on_change.discard(self.flush)
        if self.timer:
            self.timer.cancel()


class Side(asyncio.Protocol):
    """One of the two connections that make up a relayed connection."""

    def __init__(self, relay: Relay) -> None:
        self.relay, self.loop = relay, relay.loop
        self.transport: asyncio.Transport | None = None
        self.out: Flow | None = None  # the data read from this side
        self.into: Flow | None = None  # the data to write to this side
        self.is_writable = self.is_reading_paused = False
        self.filter: Filter | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.is_writable = transport, True
        if self.into:
            self.into.flush()

    def data_received(self, data: bytes) -> None:
        if self.filter is None:
            self.relay.on_data(self, data)
            self.out.push(data)
            return
        try:
            for piece, notes in self.filter.feed(data):
                self.out.push(piece, notes)
        except ValueError:  # the gateway could not read it either
            self.out.mark(RESET)

    def eof_received(self) -> bool:
        self.out.mark(FINISH)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.is_writable = False
        if self.out:
            self.out.mark(RESET if error else CLOSE)
        if self.into:
            self.into.close()

    def pause_writing(self) -> None:
        self.is_writable = False

    def resume_writing(self) -> None:
        self.is_writable = True
        if self.into:
            self.into.flush()

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def finish(self) -> None:
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
        if self.transport and not self.is_reading_paused and not self.transport.is_closing():
            self.is_reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self.is_reading_paused and not self.transport.is_closing():
            self.is_reading_paused = False
            self.transport.resume_reading()


class Relay:
    """The address at which one process reaches another."""

    def __init__(
        self,
        link: str,
        sides: tuple[str, str],
        state: State,
        target: Address,
        writer: Writer,
        make_filter: Callable[[], Filter] | None = None,
    ) -> None:
        """`sides` are the names of the two processes, the connecting one first."""
        self.link, self.sides, self.state, self.target = link, sides, state, target
        self.writer, self.make_filter = writer, make_filter
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.sides_open: set[Side] = set()
        # Reserves the port while the target is down: connections are refused, as by a host that is up.
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind((HOST, 0))
        self.address: Address = self.reservation.getsockname()
        self.connecting: set[asyncio.Task[None]] = set()
        self.is_refusing = True
        self.open()

    def note(self, kind: str, **values: object) -> None:
        self.writer.note(kind, **values)

    def open(self) -> None:
        """Listen for connections; those not accepted yet wait in the backlog of the system."""
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
        """Refuse connections: the target is down."""
        if not self.is_refusing:
            self.is_refusing = True
            self.loop.remove_reader(self.listener)
            self.listener.close()

    def accept(self) -> None:
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            if any(self.state.cut):
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                accepted.close()
                continue
            accepted.setblocking(False)
            task = self.loop.create_task(self.connect(accepted))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)

    async def connect(self, accepted: socket.socket) -> None:
        """Connect an accepted connection to the target, and relay between the two."""
        near, far = Side(self), Side(self)
        near.out = far.into = Flow(self.state, THERE, near, far)
        far.out = near.into = Flow(self.state, BACK, far, near)
        if self.make_filter:
            far.filter = self.make_filter()
        self.note("open", link=self.link, sides=self.sides)
        await self.loop.create_connection(lambda: near, sock=accepted)
        try:
            await self.loop.create_connection(lambda: far, *self.target)
        except OSError:
            near.abort()
            near.out.close()
            return
        if near.transport.is_closing():
            far.abort()

    def on_data(self, side: Side, data: bytes) -> None:
        """Called with all data of a side that has no filter; for subclasses."""

    def close(self) -> None:
        self.refuse()
        self.reservation.close()


class Requests(Relay):
    """From a gateway to a scan server: records each request that it sends."""

    def on_data(self, side: Side, data: bytes) -> None:
        if side.filter is None and data.startswith(b"*") and side.out.way == THERE:
            lines = data.split(b"\r\n", 7)
            if len(lines) > 6:
                self.note(
                    "sent", door=self.sides[0], server=self.sides[1], id=lines[6].decode(errors="replace")
                )


class Datagrams(asyncio.DatagramProtocol):
    """Receives what one gateway sends to another, at the address at which the sender sees the receiver."""

    def __init__(self, relays: Peers, sender: int, receiver: int) -> None:
        self.relays, self.sender, self.receiver = relays, sender, receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        if address == self.relays.doors[self.sender]:  # others are not of the fleet
            self.relays.forward(self.sender, self.receiver, data)

    def error_received(self, error: OSError) -> None:
        """Ignore that the receiver is down: its datagrams get lost."""


class Peers:
    """Relays the datagrams between all gateways.

    Each gateway sees another at one address, to which it sends and from which it receives.
    """

    def __init__(self, doors: list[Address], state: Callable[[int, int], State], writer: Writer) -> None:
        """`doors` are the gateways' addresses; `state` takes two numbers of gateways, the lower one first."""
        self.doors, self.state, self.writer = doors, state, writer
        self.loop = asyncio.get_running_loop()
        # By the sending gateway, and the one that it sees at this socket.
        self.sockets: dict[tuple[int, int], Datagrams] = {}
        self.counts: Counter[tuple[int, str]] = Counter()  # by interval and fate

    async def start(self) -> None:
        for sender in range(len(self.doors)):
            for receiver in range(len(self.doors)):
                if sender != receiver:
                    _, datagrams = await self.loop.create_datagram_endpoint(
                        lambda sender=sender, receiver=receiver: Datagrams(self, sender, receiver),
                        local_addr=(HOST, 0),
                    )
                    self.sockets[sender, receiver] = datagrams

    def addresses_for(self, door: int) -> list[Address]:
        """Return the addresses of all gateways as one of them sees them."""
        return [
            self.doors[number]
            if number == door
            else self.sockets[door, number].transport.get_extra_info("sockname")
            for number in range(len(self.doors))
        ]

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        """Forward a datagram with the faults of the link."""
        state = self.state(min(sender, receiver), max(sender, receiver))
        way, rng = (THERE if sender < receiver else BACK), state.rng
        is_lost = state.cut[way] or (state.lose[way] and rng.random() < state.lose[way])
        interval = now_us() // DATAGRAM_COUNT_INTERVAL_US
        self.counts[interval, "lost" if is_lost else "passed"] += 1
        if is_lost:
            return
        for _ in range(1 + (state.repeat[way] > 0 and rng.random() < state.repeat[way])):
            delay_us = state.delay_us[way]
            if state.reorder[way] and rng.random() < state.reorder[way]:
                delay_us += round(rng.random() * MAX_REORDER_DELAY_US)
            if state.limit[way]:
                delay_us += round(len(data) / state.limit[way] * 1e6)
            if state.hold[way]:
                self.deliver_after_hold(state, way, sender, receiver, data)
            elif delay_us:
                self.loop.call_later(delay_us / 1e6, self.deliver, sender, receiver, data)
            else:
                self.deliver(sender, receiver, data)

    def deliver_after_hold(self, state: State, way: int, sender: int, receiver: int, data: bytes) -> None:
        """Deliver a datagram once the link is not held any more."""

        def release() -> None:
            if not state.hold[way]:
                state.on_change.discard(release)
                self.deliver(sender, receiver, data)

        state.on_change.add(release)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        # Sent from the address at which the receiver sees the sender.
        transport = self.sockets[receiver, sender].transport
        if not transport.is_closing():
            transport.sendto(data, self.doors[receiver])

    def record_counts(self) -> None:
        """Write the counts of datagrams to the history."""
        for (interval, fate), count in sorted(self.counts.items()):
            self.writer.note("words", at=interval * DATAGRAM_COUNT_INTERVAL_US, fate=fate, count=count)

    def close(self) -> None:
        for datagrams in self.sockets.values():
            datagrams.transport.close()
