"""One client's connection: reads commands, and sends the answers in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from thistletrail.gateway.backends import NEVER, now_us
from thistletrail.gateway.command_parser import CommandError, TooManyRequestsError
from thistletrail.gateway.cost_counters import CostCounters
from thistletrail.gateway.deadline import MIN_LATE_US, Deadline, estimate_unread_us
from thistletrail.gateway.resp import CommandReader, ProtocolError, has_ended, has_unread

log = logging.getLogger(__name__)

MAX_PIPELINED = 16  # requests in flight on a connection; further commands stay unread
MAX_CONSECUTIVE_ERRORS = 16  # invalid commands in a row, after which a connection is closed
MAX_PING_ARGUMENTS = 2
# The protocol requires that a client without a valid command gets an error or is disconnected within 3 s of
# connecting, and that a well-behaved idle client may stay for at least 2 s.
FIRST_COMMAND_TIMEOUT_US = 2_300_000  # from connecting to the first complete command
PARTIAL_COMMAND_TIMEOUT_US = 2_000_000  # from the beginning of a command to its end
UNREAD_ANSWERS_TIMEOUT_US = 2_000_000  # how long a client may leave answers unread
# How long a client may read its last answer: closing a socket with unread input would discard the answer.
LINGER_TIMEOUT_US = 400_000
IDLE_TIMEOUT_US = 15_000_000  # how long a client may be idle between requests

FAILED_RESPONSE = b"-ERR failed\r\n"
OUT_OF_MEMORY_RESPONSE = b"-ERR too many bytes of incomplete commands\r\n"


def error_response(error: CommandError) -> bytes:
    """The error line that answers a command which is not accepted."""
    return b"-ERR %b\r\n" % str(error).encode()


class Reply:
    """The answer to one command; a connection sends its answers in the order of its commands."""

    __slots__ = ("budget", "connection", "data", "end_us", "id")

    def __init__(self, connection: ClientConnection, data: bytes | None = None) -> None:
        """`data` is the answer in RESP; None while it is not known."""
        self.connection = connection
        self.data = data
        self.id: str | None = None  # the request's id; None if the command is not a request
        # Set only if the answer waits behind others: the end of the request's deadline, and a function
        # for the deadline with the time spent by stage.
        self.end_us = 0
        self.budget: Callable[[], Deadline] | None = None

    def waits(self) -> bool:
        """Whether earlier answers on the same connection have to be sent first."""
        replies = self.connection.replies
        return bool(replies) and replies[0] is not self

    def send(self, data: bytes) -> None:
        """Send the answer `data`, in RESP, after all earlier answers; only the first call has an effect."""
        if self.data is None:
            self.data = data
            self.connection.flush()

    def is_wanted(self) -> bool:
        """Whether the client is still connected."""
        return not self.connection.has_disconnected()


class State(Enum):
    """What a connection waits for; each state has a timeout."""

    NEW = "no valid command yet"
    PINGED = "no command other than PING yet"
    IDLE = "between requests"
    PARTIAL = "within a command"
    BUSY = "requests are in flight"
    WRITE_PAUSED = "answers are not read"
    CLOSING = "closing"


STATE_TIMEOUTS_US = {
    State.PINGED: IDLE_TIMEOUT_US,
    State.IDLE: IDLE_TIMEOUT_US,
    State.PARTIAL: PARTIAL_COMMAND_TIMEOUT_US,
    State.BUSY: NEVER,
    State.WRITE_PAUSED: UNREAD_ANSWERS_TIMEOUT_US,
    State.CLOSING: LINGER_TIMEOUT_US,
}


class ConnectionOwner(Protocol):
    """All client connections, as one of them uses them."""

    loop: asyncio.AbstractEventLoop
    costs: CostCounters
    read_buffer: memoryview  # shared by all connections
    on_command: Callable[[list[bytes], Reply], None]  # raises CommandError for an invalid command
    on_disconnected: Callable[[Reply], None]

    def on_connected(self, connection: ClientConnection) -> None:
        """Handle a connection that has been set up."""

    def on_state_changed(self, connection: ClientConnection) -> None:
        """Handle a connection that has entered another state."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle a connection whose socket is closed."""

    def count_partial_command(self, connection: ClientConnection) -> None:
        """Count the bytes in a connection's reader."""

    def limit_partial_commands(self, connection: ClientConnection) -> None:
        """Give up the largest incomplete commands beyond the byte limit, after a read on `connection`."""

    def loop_late_us(self, now: int) -> int:
        """Return how late the event loop is at `now`."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection, on which answers are sent in the order of the commands."""

    __slots__ = (
        "clients",
        "consecutive_errors",
        "has_more_commands",
        "has_requested",
        "has_valid_command",
        "is_closing",
        "is_processing",
        "is_processing_scheduled",
        "is_reading",
        "is_write_paused",
        "last_read_us",
        "loop_late_us",
        "partial_command_bytes",
        "reader",
        "reading_paused_us",
        "reading_resumed_us",
        "replies",
        "state",
        "state_since_us",
        "state_until_us",
        "transport",
    )

    def __init__(self, clients: ConnectionOwner) -> None:
        self.clients = clients
        self.reader = CommandReader()
        self.partial_command_bytes = 0  # its part of the sum over all connections
        # A list, as there are few: an empty deque takes ten times the memory of an empty list.
        self.replies: list[Reply] = []
        self.transport: asyncio.Transport | None = None
        self.is_closing = False  # no further command is read
        self.is_reading = True
        self.is_write_paused = False  # the client does not read its answers
        self.is_processing = False
        self.has_valid_command = False  # the client has sent at least one valid command
        self.has_requested = False  # the client has sent at least one request
        self.consecutive_errors = 0
        self.has_more_commands = False  # complete commands may be left in the reader
        self.is_processing_scheduled = False
        self.state = State.NEW
        self.state_since_us = now_us()
        self.state_until_us = self.state_since_us + FIRST_COMMAND_TIMEOUT_US
        self.last_read_us = 0
        self.loop_late_us = 0  # how much earlier the last bytes may have come than they were read
        # Between these times the socket was not read, as too many requests were in flight; the second is 0
        # once bytes have been read again.
        self.reading_paused_us = 0
        self.reading_resumed_us = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The event loop has taken over the socket."""
        self.transport = transport
        self.clients.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the event loop puts the bytes that it reads next."""
        return self.clients.read_buffer

    def buffer_updated(self, count: int) -> None:
        """The event loop has read `count` bytes into the buffer."""
        if not self.is_closing:
            self.reader.feed(self.clients.read_buffer[:count])
            self.last_read_us = now = now_us()
            self.loop_late_us = self.clients.loop_late_us(now)
            if self.reading_resumed_us:
                if now - self.reading_resumed_us < MIN_LATE_US:  # the bytes may have come during the pause
                    self.loop_late_us = max(self.loop_late_us, now - self.reading_paused_us)
                self.reading_resumed_us = 0
            self.process()
            if count == len(self.clients.read_buffer):
                self.yield_to_others()
            self.clients.limit_partial_commands(self)

    def process(self) -> None:
        """Handle complete commands, up to the limits on requests in flight and on one turn of the loop."""
        self.is_processing = True
        handled = 0
        self.has_more_commands = False
        try:
            while not self.is_closing and len(self.replies) < MAX_PIPELINED and not self.is_write_paused:
                if handled >= MAX_PIPELINED:
                    self.has_more_commands = True
                    self.schedule_processing()
                    break
                arguments = self.reader.next()
                if arguments is None:
                    break
                handled += 1
                self.handle_command(arguments)
            else:
                self.has_more_commands = not self.is_closing
        except ProtocolError as error:
            self.close_after(b"-ERR Protocol error: %b\r\n" % str(error).encode())
        except Exception:
            # A fault of the gateway closes this connection only, after an answer to each of its commands.
            log.exception("handling a client's commands failed; its connection is closed")
            self.fail_unanswered()
            self.close_after(b"-ERR internal error\r\n")
        finally:
            self.is_processing = False
        self.flush()

    def schedule_processing(self) -> None:
        """Handle further commands in the loop's next turn."""
        if not self.is_processing_scheduled:
            self.is_processing_scheduled = True
            self.clients.loop.call_soon(self.process_scheduled)

    def yield_to_others(self) -> None:
        """Read the rest of what has arrived in the loop's next turn, after the other connections.

        The event loop would otherwise read one socket up to 32 times before it serves the next one.
        """
        if not self.is_closing:
            self.has_more_commands = True
            self.schedule_processing()
            self.update_state()

    def process_scheduled(self) -> None:
        """Handle further commands, unless that has happened meanwhile or the connection closes."""
        self.is_processing_scheduled = False
        if self.has_more_commands and not self.is_closing:
            self.process()
            self.clients.count_partial_command(self)

    def handle_command(self, arguments: list[bytes]) -> None:
        """Answer a PING or an invalid command, and pass on a request."""
        reply = Reply(self)
        self.replies.append(reply)
        name = arguments[0].upper()
        try:
            if name == b"PING" and len(arguments) <= MAX_PING_ARGUMENTS:
                self.clients.costs.pings += 1
                pong = (
                    b"+PONG\r\n"
                    if len(arguments) == 1
                    else b"$%d\r\n%b\r\n" % (len(arguments[1]), arguments[1])
                )
                reply.send(pong)
            else:
                self.handle_request(arguments, reply)
        except CommandError as error:
            self.consecutive_errors += 1
            self.clients.costs.wrong_commands += 1
            reply.send(error_response(error))
            if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
                self.close_after(b"-ERR too many wrong commands\r\n")
        else:
            self.has_valid_command = True
            self.consecutive_errors = 0
            self.state = None  # the next `update_state` starts the state's timeout anew

    def handle_request(self, arguments: list[bytes], reply: Reply) -> None:
        """Pass on a request; a valid one that cannot be accepted now does not count as an invalid command."""
        try:
            self.clients.on_command(arguments, reply)
        except TooManyRequestsError as error:
            reply.send(error_response(error))
        self.has_requested = True

    def flush(self) -> None:
        """Send the answers that wait for no earlier one, and update the connection's state."""
        if self.is_processing or self.transport is None:
            return
        ready = []
        while self.replies and self.replies[0].data is not None:
            reply = self.replies.pop(0)
            ready.append(reply.data)
            if reply.end_us:
                self.clients.costs.count_behind(reply.end_us, reply.budget, now_us())
                reply.budget = None  # breaks a reference cycle: the function refers to the reply
        if self.transport.is_closing():
            return
        if ready:
            self.transport.write(b"".join(ready))
        if self.is_closing and not self.replies:
            self.end_writing()
        elif self.has_more_commands and ready:
            self.schedule_processing()
        self.update_state()

    def unread_us(self, now: int) -> int:
        """An estimate of how long a command that is handled at `now` has been waiting in this process.

        The loop may have been late, the socket may not have been read while too many requests were in
        flight, and commands from the same read went first.
        """
        return estimate_unread_us(self.loop_late_us, now - self.last_read_us)

    def close_after(self, response: bytes) -> None:
        """Send a last response after all answers, then close; nothing more is read.

        The response is also the answer to each complete command that has been read and not been handled.
        """
        self.is_closing = True
        self.replies += [Reply(self, response) for _ in range(self.reader.discard_all() + 1)]
        self.flush()
        self.clients.count_partial_command(self)

    def give_up_partial_command(self) -> None:
        """Close after the answers to all earlier commands, without reading the rest of the present one."""
        self.close_after(OUT_OF_MEMORY_RESPONSE)

    def end_writing(self) -> None:
        """Close the sending direction; the socket is closed when the client has had time to read."""
        if self.state is not State.CLOSING and self.transport.can_write_eof():
            self.transport.write_eof()

    def fail_unanswered(self) -> None:
        """Answer all commands that have no answer yet as failed."""
        for reply in [reply for reply in self.replies if reply.data is None]:
            self.clients.on_disconnected(reply)
            reply.send(FAILED_RESPONSE)

    def update_state(self) -> None:
        """Pause or resume reading by the limits, and start the timeout of a new state."""
        if self.transport.is_closing():
            return
        may_read = not (
            self.is_closing
            or self.has_more_commands
            or self.is_write_paused
            or len(self.replies) >= MAX_PIPELINED
        )
        if may_read and not self.is_reading:
            self.transport.resume_reading()
            self.reading_resumed_us = now_us()
        elif self.is_reading and not may_read:
            self.transport.pause_reading()
            self.reading_paused_us = now_us()
        self.is_reading = may_read
        state = self.current_state()
        if state is not self.state:
            self.state = state
            if state is not State.NEW:
                self.state_since_us = now_us()
                self.state_until_us = self.state_since_us + STATE_TIMEOUTS_US[state]
            self.clients.on_state_changed(self)

    def current_state(self) -> State:
        """The state that follows from what is read, unanswered and unsent."""
        if self.is_closing and not self.replies:
            return State.CLOSING
        if self.is_write_paused:
            return State.WRITE_PAUSED
        if self.replies:
            return State.BUSY
        if not self.has_valid_command:
            return State.NEW
        if self.reader.buffer:
            return State.PARTIAL
        return State.IDLE if self.has_requested else State.PINGED

    def pause_writing(self) -> None:
        """The transport's buffer is full, as the client does not read its answers."""
        self.is_write_paused = True
        if not self.is_processing:
            self.update_state()

    def resume_writing(self) -> None:
        """The transport's buffer has room again."""
        self.is_write_paused = False
        if self.is_closing or self.is_processing:
            return
        self.process()
        self.clients.count_partial_command(self)

    def on_state_timeout(self) -> None:
        """The timeout of the present state has passed: end the connection."""
        if self.transport.is_closing():
            return
        if self.state in (State.IDLE, State.PINGED):
            self.close_if_idle()
        elif self.state in (State.WRITE_PAUSED, State.CLOSING):
            self.abort()
        else:
            self.close_after(b"-ERR timed out\r\n")

    def connection_lost(self, error: Exception | None) -> None:
        """The socket is closed, by either side: drop the requests that are not answered."""
        self.is_closing = True
        for reply in self.replies:
            if reply.data is None:
                self.clients.on_disconnected(reply)
        self.replies.clear()
        self.reader.buffer.clear()
        self.clients.on_closed(self)

    def close_if_idle(self) -> None:
        """Close the connection if it is between requests and no part of a command has arrived.

        At first only the sending direction is closed, and nothing more is read. A command that crosses this
        is then not half consumed. Closing the socket over unread bytes would reset the connection, and could
        discard an answer on its way to the client.
        """
        if self.replies or self.is_closing or self.transport.is_closing():
            return
        if self.reader.buffer or has_unread(self.transport):
            return
        self.is_closing = True
        self.flush()

    def has_read_everything(self) -> bool:
        """Whether no bytes of the client are unread, and no complete command is left to handle."""
        return not self.has_more_commands and not has_unread(self.transport)

    def needs_time(self) -> bool:
        """Whether a graceful shutdown has to wait for this client.

        It does while a command is incomplete or unread, as it may be a request, and while the client has
        time left to read its last answer.
        """
        if self.transport.is_closing():
            return False
        if self.state is State.CLOSING:
            return True
        return bool(self.reader.buffer) or (self.is_reading and has_unread(self.transport))

    def has_disconnected(self) -> bool:
        """Whether the client has closed the connection.

        The event loop does not notice that while reading is paused, so the socket is polled then.
        """
        if self.transport.is_closing():
            return True
        return not self.is_reading and has_ended(self.transport)

    def abort(self) -> None:
        """Close the socket at once, without sending what is buffered."""
        if self.transport:
            self.transport.abort()

    def unsent_bytes(self) -> int:
        """The bytes of answers that the client has not read."""
        return self.transport.get_write_buffer_size()

    def buffered_bytes(self) -> int:
        """The bytes of an incomplete command and of answers that the client has not read."""
        return len(self.reader.buffer) + self.unsent_bytes()
