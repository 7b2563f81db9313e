"""Connections to scan servers (the backends): a pool for each server, and one outcome for every attempt.

A connection carries one command at a time. Whether an attempt may have run is decided here, and only by
whether its last byte was handed to the kernel: before that it never ran, after that it may have.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine

from thistletrail.gateway.config import Address
from thistletrail.gateway.cost_counters import BACKENDS, CostCounters
from thistletrail.gateway.resp import Answer, AnswerReader, ProtocolError, has_unread
from thistletrail.policy.events import AttemptResult, LoadReport, ServerState
from thistletrail.policy.load_report_codec import read_load_report

log = logging.getLogger(__name__)

# Idle connections are closed after this fraction of the server's own idle timeout: a request that crosses the
# server's close would end as a reset.
IDLE_TIMEOUT_FRACTION = 0.5
# How long a connection stays unused after an answer: a second copy of the answer, which may come some
# milliseconds late, arrives by then.
REUSE_DELAY_US = 10_000

NEVER = 1 << 62  # a time in microseconds that is never reached
MIN_REMAINING_US = 1_000  # the smallest time that `d` can express; with less, nothing is written

MAX_PARTIAL_ANSWER_BYTES = 8 << 20  # default bound for incomplete answers on all connections together

# Classes by which resets of connections are counted: class 0 is new connections, and each further class is
# up to twice as many milliseconds of idle time as the one before.
IDLE_CLASSES = 24
MAX_EXCESS_RESET_RATE = 0.1  # how far the reset rate of a class may exceed that of new connections
MIN_USES = 5.0  # a class with fewer uses has no reliable reset rate
RESET_STATS_HALF_LIFE_S = 5.0

OutcomeCallback = Callable[["Attempt", AttemptResult, bytes | None, LoadReport | None], None]


def now_us() -> int:
    """The monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


class Attempt:
    """One command for one server; `on_ended` is called once, with the outcome."""

    __slots__ = (
        "build_payload",
        "connection",
        "end_us",
        "is_over",
        "is_written",
        "may_write",
        "number",
        "on_ended",
        "pool",
        "request_id",
        "server",
        "started_us",
        "timer",
        "write_by_us",
        "written_us",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        server: str,
        build_payload: Callable[[int], bytes],
        on_ended: OutcomeCallback,
    ) -> None:
        """`build_payload` makes the command, given the remaining microseconds when it is written."""
        self.request_id = request_id
        self.number = number
        self.server = server
        self.build_payload = build_payload
        self.on_ended = on_ended
        self.started_us = now_us()
        self.is_over = False
        self.is_written = False  # its last byte was handed to the kernel, so the request may have run
        self.end_us = 0  # when it times out
        self.written_us = 0  # when its first bytes were written; 0 before that
        # From this time on it may not be written: servers would no longer recognize a repeated request, and
        # would run it again.
        self.write_by_us = NEVER
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.pool: Pool | None = None
        # Called just before the write, which it may forbid; None if the write needs no permission.
        self.may_write: Callable[[], bool] | None = None

    def finish(
        self, result: AttemptResult, value: bytes | None = None, report: LoadReport | None = None
    ) -> None:
        """End the attempt with this outcome, unless it is over."""
        if not self.is_over:
            self.end_without_callback()
            self.on_ended(self, result, value, report)

    def end_without_callback(self) -> None:
        """End the attempt without calling `on_ended`."""
        self.is_over = True
        if self.timer:
            self.timer.cancel()

    def cancel(self) -> None:
        """End the attempt as cancelled, and close its connection."""
        self.give_up(AttemptResult.CANCELLED)

    def set_timeout(self, remaining_us: int) -> None:
        """Time the attempt out after `remaining_us`, which include connecting and writing."""
        if self.timer:
            self.timer.cancel()
        self.end_us = now_us() + remaining_us
        self.timer = asyncio.get_running_loop().call_later(remaining_us / 1e6, self.on_timeout)

    def on_timeout(self) -> None:
        """End the attempt, and close idle connections to the server if it has been silent meanwhile."""
        if self.is_written and self.pool:
            self.pool.close_idle_if_silent(self.started_us)
        self.give_up(AttemptResult.TIMEOUT if self.is_written else AttemptResult.CONNECT_FAILED)

    def give_up(self, result: AttemptResult) -> None:
        """End the attempt with `result`, and close its connection."""
        connection, self.connection = self.connection, None
        if self.is_over or connection is None or connection.attempt is not self:
            self.finish(result)
            return
        connection.attempt = None
        connection.abort()  # its answer may still come: no other attempt may use the connection
        # The loop closes the socket after this call. The callback comes later still: a further attempt that
        # it starts before that would be a second one in flight.
        self.end_without_callback()
        asyncio.get_running_loop().call_soon(self.on_ended, self, result, None, None)

    def cancel_unless_written(self) -> None:
        """End the attempt, as its client has disconnected, unless it has reached the server completely."""
        if not self.is_written:
            self.give_up(AttemptResult.NOT_SENT)


def outcome_of(answer: Answer) -> tuple[AttemptResult, bytes | None, LoadReport | None]:
    """The result, value and load report that a server's answer gives an attempt."""
    load_report = parse_load_report(answer.report)
    if answer.error is None:
        return AttemptResult.SUCCESS, answer.value, load_report
    error_code = answer.error.partition(b" ")[0]
    if error_code not in (b"BUSY", b"ERR"):
        log.error("a backend answers %.200r", answer.error)
    result = AttemptResult.AT_CAPACITY if error_code == b"BUSY" else AttemptResult.ERROR
    return result, None, load_report


def parse_load_report(text: bytes | None) -> LoadReport | None:
    """A load report `name=value,...`; None if there is none or it is malformed."""
    if not text or b"=" not in text:
        return None
    try:
        return read_load_report(field.split("=", 1) for field in text.decode().split(","))
    except ValueError:
        return None


class ReuseLimit:
    """Learns from resets for how long idle connections may be reused.

    A server, or a device on the way, may drop idle connections long before the configured timeout. The next
    request on such a connection is reset, and one of an unsafe class cannot be retried.
    """

    def __init__(self) -> None:
        # By class of idle time.
        self.uses = [0.0] * IDLE_CLASSES
        self.resets = [0.0] * IDLE_CLASSES
        self.idle_class_limit = IDLE_CLASSES  # connections of this class and above are not reused

    @staticmethod
    def idle_class(idle_us: int | None) -> int:
        """The class of a connection that was idle for `idle_us`; None for a new one."""
        return 0 if idle_us is None else min(IDLE_CLASSES - 1, 1 + (idle_us // 1000).bit_length())

    def allows(self, idle_us: int) -> bool:
        """Whether a connection may be reused that was idle for `idle_us`."""
        return self.idle_class(idle_us) < self.idle_class_limit

    def record_use(self, idle_class: int, was_reset: bool) -> None:
        """Count a request on a connection: it was answered, or reset before any answer."""
        self.uses[idle_class] += 1
        self.resets[idle_class] += was_reset
        if was_reset:
            self.update_limit()

    def update_limit(self) -> None:
        """Set the limit to the first class whose reset rate is too far above that of new connections."""
        new_connection_rate = self.resets[0] / max(MIN_USES, self.uses[0])
        excessive = (
            idle_class
            for idle_class in range(1, IDLE_CLASSES)
            if self.uses[idle_class] >= MIN_USES
            and self.resets[idle_class] / self.uses[idle_class] > new_connection_rate + MAX_EXCESS_RESET_RATE
        )
        self.idle_class_limit = min(excessive, default=IDLE_CLASSES)

    def decay(self) -> None:
        """Halve all counts, so that classes above the limit are tried again after a while."""
        self.uses = [count / 2 for count in self.uses]
        self.resets = [count / 2 for count in self.resets]
        self.update_limit()


class Connection(asyncio.Protocol):
    """A connection to a server with at most one command in flight."""

    __slots__ = (
        "attempt",
        "idle_class",
        "idle_since_us",
        "is_write_paused",
        "last_received_us",
        "partial_answer_bytes",
        "pool",
        "reader",
        "transport",
    )

    def __init__(self, pool: "Pool") -> None:
        self.pool = pool
        self.last_received_us = 0
        self.partial_answer_bytes = 0  # its part of the sum over all connections
        self.idle_since_us: int | None = None  # None until it is idle for the first time
        self.idle_class = 0  # its class when its present or last command was written
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = AnswerReader()
        self.is_write_paused = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The event loop has set the connection up."""
        self.transport = transport
        # With no room for buffering, the loop calls `pause_writing` as soon as bytes are left in the
        # transport, and `resume_writing` when the kernel has taken them all.
        transport.set_write_buffer_limits(0)

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's command, unless its time is up or it may no longer be written."""
        assert self.transport is not None
        now = now_us()
        is_late = attempt.end_us - now < MIN_REMAINING_US or now >= attempt.write_by_us
        if is_late or (attempt.may_write and not attempt.may_write()):
            self.pool.release(self)
            attempt.finish(AttemptResult.NOT_SENT)  # it never ran, and the server is not at fault
            return
        self.attempt = attempt
        attempt.connection = self
        attempt.written_us = now
        self.pool.owner.costs.reused += self.idle_since_us is not None
        self.idle_class = ReuseLimit.idle_class(
            None if self.idle_since_us is None else now - self.idle_since_us
        )
        self.transport.write(attempt.build_payload(attempt.end_us - now))
        attempt.is_written = not self.is_write_paused

    def pause_writing(self) -> None:
        """The kernel has not taken all bytes of the command."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """The kernel has taken all bytes of the command."""
        self.is_write_paused = False
        if self.attempt and not self.transport.is_closing():
            self.attempt.is_written = True

    def data_received(self, data: bytes) -> None:
        """Read the answer to the command in flight; without one, close the connection."""
        self.last_received_us = self.pool.last_received_us = now_us()
        attempt = self.attempt
        if attempt and not self.reader.buffer:
            self.pool.owner.reuse_limit.record_use(self.idle_class, was_reset=False)
        if attempt is None:
            self.abort()  # unexpected bytes behind an answer must not answer the next command
            return
        self.reader.feed(data)
        try:
            answer = self.reader.next()
        except ProtocolError as error:
            self.fail_malformed(attempt, error)
            return
        if answer is None:
            if not self.count_partial_answer(len(self.reader.buffer)):
                owner = self.pool.owner
                size_error = ProtocolError(
                    f"expected at most {owner.max_partial_answer_bytes} bytes of incomplete answers on all "
                    f"connections, found {owner.partial_answer_bytes}"
                )
                self.fail_malformed(attempt, size_error)
            return
        self.count_partial_answer(0)
        self.attempt = attempt.connection = None
        if self.reader.buffer or not attempt.is_written:
            self.abort()
        else:
            self.pool.release(self)
        if attempt.is_written:
            attempt.finish(*outcome_of(answer))
        else:
            # The answer came before the command was sent completely, so the command was never begun.
            attempt.finish(AttemptResult.CONNECT_FAILED)

    def count_partial_answer(self, size_bytes: int) -> bool:
        """Count this connection's incomplete answer, and return whether those of all are within bounds."""
        owner = self.pool.owner
        owner.partial_answer_bytes += size_bytes - self.partial_answer_bytes
        self.partial_answer_bytes = size_bytes
        return owner.partial_answer_bytes <= owner.max_partial_answer_bytes

    def fail_malformed(self, attempt: Attempt, error: ProtocolError) -> None:
        """End an attempt whose answer cannot be read, and close the connection.

        The request has run, and what follows on the connection cannot be read either. A malformed answer says
        nothing about the machine, so other connections to it stay open.
        """
        log.warning("spoilt answer from %s: %s", self.pool.name, error)
        self.attempt = attempt.connection = None
        self.abort()
        attempt.finish(AttemptResult.MALFORMED if attempt.is_written else AttemptResult.CONNECT_FAILED)

    def eof_received(self) -> None:
        """The server sends nothing more, so no answer can come.

        Without the abort the event loop would first wait until all buffered bytes are written.
        """
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """The socket is closed, by either side: end the attempt that is in flight."""
        self.count_partial_answer(0)
        self.pool.on_connection_lost(self)
        attempt, self.attempt = self.attempt, None
        if attempt:
            attempt.connection = None
            if not self.reader.buffer:  # a reset within an answer does not come from having been idle
                self.pool.owner.reuse_limit.record_use(self.idle_class, was_reset=True)
            self.pool.close_silent_idle(attempt.started_us)
            attempt.finish(AttemptResult.RESET if attempt.is_written else AttemptResult.CONNECT_FAILED)

    def is_usable(self) -> bool:
        """Whether the connection is set up and not closing."""
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Close the connection once buffered bytes are written."""
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """Close at once; `close` would first write what is buffered, and so let the attempt run."""
        self.pool.remove_idle(self)
        if self.transport:
            self.transport.abort()


class Pool:
    """The connections to one server."""

    def __init__(self, owner: "Backends", name: str, address: Address) -> None:
        self.owner = owner
        self.name = name
        self.address = address
        self.connections: set[Connection] = set()  # all that have a socket, until it is closed
        self.idle: list[Connection] = []  # the last used at the end, so that surplus ones reach the timeout
        self.waiting: list[Attempt] = []  # attempts that wait for a connection, the oldest first
        self.connecting = 0  # connections that are being set up
        self.last_received_us = 0
        self.is_accepting = True  # the server takes new attempts

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on the next one that is set up."""
        attempt.pool = self
        if connection := self.take_idle():
            connection.send(attempt)
            return
        if not self.owner.make_room():
            # The gateway lacks sockets: not CONNECT_FAILED, which would count against the server.
            attempt.finish(AttemptResult.NOT_SENT)
            return
        self.waiting.append(attempt)
        self.connecting += 1
        connection = self.owner.connection_class(self)
        self.owner.costs.handshakes += 1
        # Added at once, as connections that are being set up count towards the bound.
        self.connections.add(connection)
        self.owner.spawn(self.connect(connection))

    def take_idle(self) -> Connection | None:
        """Take the last used of the idle connections that may be reused; None if there is none.

        Such a connection has been idle for REUSE_DELAY_US, is within the reuse limit, and has no unread
        bytes. Unexpected bytes behind an answer would pass for the answer to the next command.
        """
        now = now_us()
        for connection in reversed(self.idle[:]):
            idle_us = now - connection.idle_since_us
            if idle_us < REUSE_DELAY_US:
                continue
            may_reuse = connection.is_usable() and self.owner.reuse_limit.allows(idle_us)
            if may_reuse and not has_unread(connection.transport):
                self.idle.remove(connection)
                return connection
            connection.abort()
        return None

    async def connect(self, connection: Connection) -> None:
        """Set a connection up for the attempt that has waited longest.

        There is a timeout, as a machine that is cut off does not answer at all.
        """
        is_connected = False
        try:
            async with asyncio.timeout(self.owner.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
            is_connected = connection.is_usable()  # a server at its limit accepts and closes at once
        except (OSError, TimeoutError):
            # The connection may have been set up just as the timeout passed. The event loop has closed its
            # transport then, and does not call `connection_lost`.
            connection.abort()
            self.connections.discard(connection)
            self.owner.costs.handshakes_failed += 1
        finally:
            self.connecting -= 1
        self.remove_ended_attempts()
        if is_connected and self.waiting:
            connection.send(self.waiting.pop(0))
        elif is_connected and self.is_accepting:
            self.release(connection)
        elif is_connected:
            connection.close()
        elif len(self.waiting) > self.connecting:
            self.waiting.pop(0).finish(AttemptResult.CONNECT_FAILED)

    def remove_ended_attempts(self) -> None:
        """Remove attempts that are over from the front of those that wait."""
        while self.waiting and self.waiting[0].is_over:
            self.waiting.pop(0)

    def release(self, connection: Connection) -> None:
        """Keep a connection without a command for reuse, or close it."""
        if self.is_accepting and connection.is_usable():
            connection.idle_since_us = now_us()
            self.idle.append(connection)
        else:
            connection.close()

    def remove_idle(self, connection: Connection) -> None:
        """Do not reuse a connection."""
        if connection in self.idle:
            self.idle.remove(connection)

    def on_connection_lost(self, connection: Connection) -> None:
        """A connection's socket is closed."""
        self.remove_idle(connection)
        self.connections.discard(connection)

    def close_idle_if_silent(self, since_us: int) -> None:
        """Close all idle connections if the server has sent nothing since `since_us`: it may be down.

        Connections to a machine that is down stay open and silent, and are reset when it is back. The next
        request on one would end as a reset, and one of an unsafe class cannot be retried.
        """
        if self.last_received_us < since_us:
            self.close_idle()

    def close_silent_idle(self, since_us: int) -> None:
        """Close the idle connections on which nothing has arrived since `since_us`.

        After a reset, another machine may have taken over the address.
        """
        for connection in [connection for connection in self.idle if connection.last_received_us < since_us]:
            self.idle.remove(connection)
            connection.close()

    def close_idle(self, before_us: int | None = None) -> None:
        """Close the connections that have been idle since before `before_us`; None closes all idle ones."""
        while self.idle and (before_us is None or self.idle[0].idle_since_us < before_us):
            self.idle.pop(0).close()

    def stop_sending(self) -> None:
        """The server drains or has left its address: fail all attempts that are not written yet.

        They never ran, so the policy can send them to another server.
        """
        self.is_accepting = False
        self.close_idle()
        while self.waiting:
            self.waiting.pop(0).finish(AttemptResult.CONNECT_FAILED)


class Backends:
    """The connection pools of all servers by name, within a bound on the number of connections."""

    def __init__(
        self,
        server_idle_timeout_us: int,
        connect_timeout_us: int,
        max_connections: int,
        costs: CostCounters | None = None,
        max_partial_answer_bytes: int = MAX_PARTIAL_ANSWER_BYTES,
    ) -> None:
        """`server_idle_timeout_us` is the time after which servers close idle connections."""
        self.partial_answer_bytes = 0
        self.max_partial_answer_bytes = max_partial_answer_bytes
        self.costs = costs or CostCounters()
        self.connection_class = self.costs.stages.wrap_class(
            BACKENDS, Connection, "connection_made", "data_received", "connection_lost"
        )
        self.idle_timeout_us = round(server_idle_timeout_us * IDLE_TIMEOUT_FRACTION)
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.max_connections = max_connections
        self.pools: dict[str, Pool] = {}
        # The pools of servers that moved or left the list, while they have open connections.
        self.retired_pools: list[Pool] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.reuse_limit = ReuseLimit()
        self.next_decay_us = 0

    def update(self, states: dict[str, ServerState], addresses: dict[str, Address], is_full: bool) -> None:
        """Apply the endpoint list, or changes to it.

        A full list names all servers; changes name those whose state or address has changed.
        """
        for name in [name for name in self.pools if is_full and name not in states]:
            self.retire(name)
        for name, state in states.items():
            pool = self.pools.get(name)
            address = addresses.get(name)
            if state is ServerState.GONE or (pool and address and pool.address != address):
                self.retire(name)
            if state is not ServerState.GONE and address and name not in self.pools:
                self.pools[name] = Pool(self, name, address)
            if pool := self.pools.get(name):
                if state is ServerState.SERVING:
                    pool.is_accepting = True
                else:
                    pool.stop_sending()

    def retire(self, name: str) -> None:
        """Send nothing more to a server; attempts in flight go on."""
        if pool := self.pools.pop(name, None):
            self.retired_pools.append(pool)
            pool.stop_sending()

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Send an attempt, which times out after `timeout_us`."""
        pool = self.pools.get(attempt.server)
        if pool is None or not pool.is_accepting:  # the policy decided before it knew of the server's change
            attempt.finish(AttemptResult.CONNECT_FAILED)
            return
        if timeout_us < MIN_REMAINING_US:  # it could not be written, so no handshake is made for it
            attempt.finish(AttemptResult.NOT_SENT)
            return
        attempt.set_timeout(timeout_us)
        pool.start(attempt)

    def close_idle(self, name: str) -> None:
        """Close all idle connections to a server."""
        if pool := self.pools.get(name):
            pool.close_idle()

    def connection_count(self) -> int:
        """How many connections have a socket, including those that are being set up."""
        return sum(len(pool.connections) for pool in (*self.pools.values(), *self.retired_pools))

    def make_room(self) -> bool:
        """Close the longest idle connection if the bound is reached; whether one more may be opened then."""
        if self.connection_count() < self.max_connections:
            return True
        with_idle = [pool for pool in self.pools.values() if pool.idle]
        if not with_idle:
            return False
        pool = min(with_idle, key=lambda pool: pool.idle[0].idle_since_us)
        pool.idle[0].abort()
        return True

    def sweep(self) -> None:
        """Periodically close connections whose idle timeout has passed, and remove unused retired pools."""
        now = now_us()
        if now >= self.next_decay_us:
            self.reuse_limit.decay()
            self.next_decay_us = now + round(RESET_STATS_HALF_LIFE_S * 1e6)
        before_us = now - self.idle_timeout_us
        for pool in self.pools.values():
            pool.close_idle(before_us)
        self.retired_pools = [pool for pool in self.retired_pools if pool.connections]
        asyncio.get_running_loop().call_later(min(1.0, self.idle_timeout_us / 4e6), self.sweep)

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task that `close` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)  # the loop itself has only weak references to tasks
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """Close all connections, and cancel all tasks."""
        for pool in (*self.pools.values(), *self.retired_pools):
            for connection in list(pool.connections):
                connection.abort()
        for task in self.tasks:
            task.cancel()
