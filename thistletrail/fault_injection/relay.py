"""Relays between every two processes: what they pass on, and what a fault on their link does to it.

A relay stands at an address of its own, which the connecting side is given in place of the other's. What
comes is passed on in order, late by what the link's state asks for; bytes that wait are bounded, and a side
that brings more is not read meanwhile. Everything runs on one loop.
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
THERE, BACK = 0, 1  # from the side that connects, and to it
MOST_WAITING = 1 << 18  # bytes in one direction of one connection: four of the longest values
LOST_US = 200_000  # by which a lost chunk of TCP comes late: the least time-out of a retransmission
REORDER_US = 30_000  # by which a datagram that is overtaken comes late, at most: the peers' usual delays
# Marks in a queue: the sender has finished, the connection has been closed, or reset.
FINISH, END, RESET = b"finish", b"end", b"reset"  # told by identity
LINGER = struct.pack("ii", 1, 0)  # a close with this is a reset
BUCKET_US = 100_000  # over which datagrams are counted


class State:
    """What a link does at the moment, by direction. One for each pair of processes."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.changed: set[Callable[[], None]] = set()  # called when any of it has changed
        self.clear()

    def clear(self) -> None:
        """Nothing befalls it."""
        self.cut = [False, False]
        self.hold = [False, False]
        self.delay_us = [0, 0]
        self.lose = [0.0, 0.0]
        self.repeat = [0.0, 0.0]
        self.reorder = [0.0, 0.0]
        self.limit = [0.0, 0.0]  # bytes a second; 0: none
        self.broken = [0.0, 0.0]  # share of chunks that are cut in the middle

    def apply(self, kind: str, way: str, size: float) -> None:
        """A fault of the plan's page, on top of what there is."""
        field, value = {
            "cut": (self.cut, True),
            "hold": (self.hold, True),
            "delay": (self.delay_us, round(size * 1000)),
            "lose": (self.lose, size),
            "repeat": (self.repeat, size),
            "reorder": (self.reorder, size),
            "limit": (self.limit, size),
            "break": (self.broken, size),
        }[kind]
        for at in {"both": (THERE, BACK), "there": (THERE,), "back": (BACK,)}[way]:
            field[at] = max(field[at], value)

    def wake(self) -> None:
        for call in list(self.changed):
            call()


Notes = Sequence[dict[str, object]]  # records, each with its kind


class Filter(Protocol):
    """What a relay makes of bytes on their way back: those to pass on, and what to note once they are."""

    def feed(self, data: bytes) -> list[tuple[bytes, Notes]]: ...


class Flow:
    """One direction of one connection: what waits for its time."""

    def __init__(self, state: State, way: int, reader: Side, writer: Side) -> None:
        self.state, self.way, self.reader, self.writer = state, way, reader, writer
        self.queue: deque[tuple[int, bytes, list[dict[str, object]]]] = deque()
        self.waiting = self.due_us = 0
        self.timer: asyncio.TimerHandle | None = None
        self.spoilt = False  # bytes were thrown away: the connection cannot go on
        self.finished = False  # no more will come, and the receiver has been told
        state.changed.add(self.flush)

    def push(self, data: bytes, notes: Notes = ()) -> None:
        """Bytes that have come."""
        state, way = self.state, self.way
        if state.cut[way]:
            self.spoilt = True
            return
        broken = state.broken[way] and state.chance.random() < state.broken[way]
        if broken:
            data, notes = data[: len(data) // 2], ()
        due = max(self.due_us, now_us() + state.delay_us[way])
        if state.limit[way]:
            due += round(len(data) / state.limit[way] * 1e6)
        if state.lose[way] and state.chance.random() < state.lose[way]:
            due += LOST_US
        self.due_us = due
        self.queue.append((due, data, notes))
        self.waiting += len(data)
        if self.waiting > MOST_WAITING:
            self.reader.pause()
        if broken:
            self.mark(RESET)
        self.flush()

    def mark(self, mark: bytes) -> None:
        """What its sender has done, behind what it has sent."""
        self.queue.append((self.due_us, mark, ()))
        self.flush()

    def flush(self) -> None:
        """Pass on what is due, unless the link holds."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        cut = self.state.cut
        if all(cut) or (self.spoilt and not cut[self.way]):
            self.reader.abort()
            self.writer.abort()
            return
        while self.queue and not self.state.hold[self.way] and self.writer.ready:
            due, data, notes = self.queue[0]
            if (left := due - now_us()) > 0:
                self.timer = self.reader.loop.call_later(left / 1e6, self.flush)
                return
            self.queue.popleft()
            if data is RESET:
                self.writer.abort()
            elif data is END or (data is FINISH and self.writer.out.finished):
                self.writer.transport.close()
                self.reader.transport.close()
            elif data is FINISH:
                self.finished = True
                self.writer.finish()
            else:
                self.waiting -= len(data)
                self.writer.write(data)
                for note in notes:
                    self.reader.relay.note(**note)
        if self.waiting <= MOST_WAITING // 2:
            self.reader.resume()

    def close(self) -> None:
        self.state.changed.discard(self.flush)
        if self.timer:
            self.timer.cancel()


class Side(asyncio.Protocol):
    """One of the two connections that a relayed one is made of."""

    def __init__(self, relay: Relay) -> None:
        self.relay, self.loop = relay, relay.loop
        self.transport: asyncio.Transport | None = None
        self.out: Flow | None = None  # where what it reads goes
        self.into: Flow | None = None  # what is to be written to it
        self.ready = self.paused = False
        self.filter: Filter | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.ready = transport, True
        if self.into:
            self.into.flush()

    def data_received(self, data: bytes) -> None:
        if self.filter is None:
            self.relay.seen(self, data)
            self.out.push(data)
            return
        try:
            for piece, notes in self.filter.feed(data):
                self.out.push(piece, notes)
        except ValueError:  # no answer that a door could read either
            self.out.mark(RESET)

    def eof_received(self) -> bool:
        self.out.mark(FINISH)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.ready = False
        if self.out:
            self.out.mark(RESET if error else END)
        if self.into:
            self.into.close()

    def pause_writing(self) -> None:
        self.ready = False

    def resume_writing(self) -> None:
        self.ready = True
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
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            self.transport.abort()

    def pause(self) -> None:
        if self.transport and not self.paused and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()


class Relay:
    """An address at which one process reaches another."""

    def __init__(
        self,
        link: str,
        sides: tuple[str, str],
        state: State,
        target: Address,
        writer: Writer,
        make_filter: Callable[[], Filter] | None = None,
    ) -> None:
        """`sides` are the names of both processes, the connecting one first."""
        self.link, self.sides, self.state, self.target = link, sides, state, target
        self.writer, self.make_filter = writer, make_filter
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.sides_open: set[Side] = set()
        # It keeps the port while nobody is to be there: connecting is refused, as by a machine that is up.
        self.place = socket.socket()
        self.place.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.place.bind((HOST, 0))
        self.address: Address = self.place.getsockname()
        self.connecting: set[asyncio.Task[None]] = set()
        self.refusing = True
        self.open()

    def note(self, kind: str, **values: object) -> None:
        self.writer.note(kind, **values)

    def open(self) -> None:
        """Take connections; those that come meanwhile wait in the system's queue."""
        if not self.refusing:
            return
        self.refusing = False
        found = socket.socket()
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        found.bind(self.address)
        found.listen(256)
        found.setblocking(False)
        self.listener = found
        self.loop.add_reader(found, self.accept)

    def refuse(self) -> None:
        """Nobody is there: connecting is refused."""
        if not self.refusing:
            self.refusing = True
            self.loop.remove_reader(self.listener)
            self.listener.close()

    def accept(self) -> None:
        while True:
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            if any(self.state.cut):
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
                accepted.close()
                continue
            accepted.setblocking(False)
            task = self.loop.create_task(self.join(accepted))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)

    async def join(self, accepted: socket.socket) -> None:
        """Bring both sides of a connection together."""
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

    def seen(self, side: Side, data: bytes) -> None:
        """Bytes that one side has sent; for those who want to look."""

    def close(self) -> None:
        self.refuse()
        self.place.close()


class Requests(Relay):
    """From a door to a scan server: notes each request that begins."""

    def seen(self, side: Side, data: bytes) -> None:
        if side.filter is None and data.startswith(b"*") and side.out.way == THERE:
            words = data.split(b"\r\n", 7)
            if len(words) > 6:
                self.note(
                    "sent", door=self.sides[0], server=self.sides[1], id=words[6].decode(errors="replace")
                )


class Datagrams(asyncio.DatagramProtocol):
    """What one door sends to another: received at the address that it knows the other by."""

    def __init__(self, relays: Peers, sender: int, receiver: int) -> None:
        self.relays, self.sender, self.receiver = relays, sender, receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        if address == self.relays.doors[self.sender]:  # else nobody of the fleet
            self.relays.passed(self.sender, self.receiver, data)

    def error_received(self, error: OSError) -> None:
        """Its receiver is down: words get lost."""


class Peers:
    """The datagrams between all doors. Each sees another at one address, of which both directions come."""

    def __init__(self, doors: list[Address], state: Callable[[int, int], State], writer: Writer) -> None:
        """`doors` are their own addresses; `state` gives the link of a pair, the lower number first."""
        self.doors, self.state, self.writer = doors, state, writer
        self.loop = asyncio.get_running_loop()
        self.sockets: dict[tuple[int, int], Datagrams] = {}  # by who is seen there, and by whom
        self.counted: Counter[tuple[int, str]] = Counter()

    async def start(self) -> None:
        for sender in range(len(self.doors)):
            for receiver in range(len(self.doors)):
                if sender != receiver:
                    _, found = await self.loop.create_datagram_endpoint(
                        lambda s=sender, r=receiver: Datagrams(self, s, r), local_addr=(HOST, 0)
                    )
                    self.sockets[sender, receiver] = found

    def seen_by(self, door: int) -> list[Address]:
        """The addresses of all doors as one of them is told them."""
        return [
            self.doors[number]
            if number == door
            else self.sockets[door, number].transport.get_extra_info("sockname")
            for number in range(len(self.doors))
        ]

    def passed(self, sender: int, receiver: int, data: bytes) -> None:
        state = self.state(min(sender, receiver), max(sender, receiver))
        way, chance = (THERE if sender < receiver else BACK), state.chance
        lost = state.cut[way] or (state.lose[way] and chance.random() < state.lose[way])
        bucket = now_us() // BUCKET_US
        self.counted[bucket, "lost" if lost else "passed"] += 1
        if lost:
            return
        for _ in range(1 + (state.repeat[way] > 0 and chance.random() < state.repeat[way])):
            late = state.delay_us[way]
            if state.reorder[way] and chance.random() < state.reorder[way]:
                late += round(chance.random() * REORDER_US)
            if state.limit[way]:
                late += round(len(data) / state.limit[way] * 1e6)
            if state.hold[way]:
                self.held(state, way, sender, receiver, data)
            elif late:
                self.loop.call_later(late / 1e6, self.deliver, sender, receiver, data)
            else:
                self.deliver(sender, receiver, data)

    def held(self, state: State, way: int, sender: int, receiver: int, data: bytes) -> None:
        """Keep it until the link holds no more."""

        def release() -> None:
            if not state.hold[way]:
                state.changed.discard(release)
                self.deliver(sender, receiver, data)

        state.changed.add(release)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        # From the address at which the receiver sees the sender.
        seen = self.sockets[receiver, sender].transport
        if not seen.is_closing():
            seen.sendto(data, self.doors[receiver])

    def record_counts(self) -> None:
        """Note what was counted."""
        for (bucket, fate), count in sorted(self.counted.items()):
            self.writer.note("words", at=bucket * BUCKET_US, fate=fate, count=count)

    def close(self) -> None:
        for found in self.sockets.values():
            found.transport.close()
