"""RESP2 as clients and scan servers use it: reads commands and answers from byte streams, within size limits.

The bytes come from peers that are not trusted. A length is checked before anything is waited or allocated
for, so malformed data fails at its first lines, however many bytes it announces.
"""

import contextlib
import select
from asyncio import BaseTransport
from dataclasses import dataclass

MAX_ARGUMENTS = 16  # in a command; the longest known command has five
MAX_COMMAND_BYTES = 64 * 1024 + 4096  # the largest value of the protocol, and the arguments before it
MAX_VALUE_BYTES = 512 * 1024  # scan servers send larger values in answers than the protocol says
MAX_REPORT_BYTES = 4096  # a load report, or an answer's usage figures
MAX_ERROR_LINE_BYTES = 512  # an error line may contain a load report
MAX_LENGTH_LINE_BYTES = 12  # the type byte and the digits of a length
ANSWER_ELEMENTS = 3  # value, usage figures, load report

# What the fast path of CommandReader reads.
MIN_FAST_COMMAND_BYTES = 4
MAX_FAST_COMMAND_BYTES = 4096  # everything that is buffered, including further commands
MAX_FAST_ARGUMENTS = 9  # the count is one digit
ASTERISK, CARRIAGE_RETURN, DIGIT_ZERO = b"*\r0"
# What surrounds the length and the bytes of a value in an answer without usage figures and load report.
VALUE_PREFIX = b"*3\r\n$"
VALUE_SUFFIX = b"\r\n$-1\r\n$-1\r\n"
CRLF = b"\r\n"

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ProtocolError(Exception):
    """The received bytes violate the protocol; nothing more can be read from the connection."""


def encode(arguments: list[bytes]) -> bytes:
    """A command with these arguments, as RESP."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    )


def has_unread(transport: BaseTransport) -> bool:
    """Whether the socket has bytes or an end of stream that the event loop has not read yet."""
    return bool(poll_socket(transport, select.POLLIN))


def has_ended(transport: BaseTransport) -> bool:
    """Whether the peer has closed or reset the connection, even if earlier bytes are still unread."""
    return bool(poll_socket(transport, select.POLLRDHUP) & DISCONNECT_EVENTS)


def poll_socket(transport: BaseTransport, events: int) -> int:
    """Which of `events` are pending on the transport's socket; POLLHUP and POLLERR are always reported."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return sum(pending for _, pending in poll.poll(0))


class Reader:
    """Buffers a byte stream and reads the elements of RESP from it."""

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        self.buffer += data

    def discard(self, end: int) -> None:
        """Remove the bytes before `end`."""
        del self.buffer[:end]

    def read_length(self, start: int, type_byte: bytes, max_length: int) -> tuple[int, int] | None:
        """The number in a line such as `*3`, and where the next line begins; None if it is incomplete.

        The only number below 0 is the -1 of a null.
        """
        buffer = self.buffer
        if len(buffer) <= start:
            return None
        if buffer[start : start + 1] != type_byte:
            raise ProtocolError(f"expected '{type_byte.decode()}'")
        end = buffer.find(b"\r\n", start, start + MAX_LENGTH_LINE_BYTES + 2)
        digits = bytes(buffer[start + 1 : end if end >= 0 else start + MAX_LENGTH_LINE_BYTES + 2])
        if end < 0:
            digits = digits.removesuffix(b"\r")
            if len(digits) >= MAX_LENGTH_LINE_BYTES or (
                digits not in (b"", b"-", b"-1") and not digits.isdigit()
            ):
                raise ProtocolError("invalid length")
            return None
        if digits == b"-1":
            return -1, end + 2
        if not digits.isdigit():
            raise ProtocolError("invalid length")
        if int(digits) > max_length:
            raise ProtocolError("too long")
        return int(digits), end + 2

    def read_bulk_string(self, start: int, max_length: int) -> tuple[bytes | None, int] | None:
        """A bulk string, or None for a null, and where the next element begins; None if it is incomplete."""
        header = self.read_length(start, b"$", max_length)
        if header is None or header[0] < 0:
            return header and (None, header[1])
        length, start = header
        end = start + length
        terminator = self.buffer[end : end + 2]
        if not b"\r\n".startswith(terminator):
            raise ProtocolError("a bulk string is longer than it says")
        return (bytes(self.buffer[start:end]), end + 2) if len(terminator) == len(CRLF) else None


class CommandReader(Reader):
    """Reads commands from what a client sends: arrays of bulk strings."""

    __slots__ = ()

    def next(self) -> list[bytes] | None:
        """The arguments of the next command; None if it is incomplete."""
        return self.read_fast() or self.read_incremental()

    def discard_all(self) -> int:
        """Remove everything that is buffered; returns how many complete commands there were."""
        count = 0
        with contextlib.suppress(ProtocolError):
            while self.next() is not None:
                count += 1
        self.buffer.clear()
        return count

    def read_fast(self) -> list[bytes] | None:
        """The next command, if it is short and complete and no argument contains CRLF.

        Nearly all commands are so, and one split reads them. None does not mean that there is no command.
        """
        buffer = self.buffer
        if (
            not MIN_FAST_COMMAND_BYTES <= len(buffer) <= MAX_FAST_COMMAND_BYTES
            or buffer[0] != ASTERISK
            or buffer[2] != CARRIAGE_RETURN
        ):
            return None
        count = buffer[1] - DIGIT_ZERO
        if not 0 < count <= MAX_FAST_ARGUMENTS:
            return None
        lines = buffer.split(b"\r\n", 2 * count + 1)
        if len(lines) != 2 * count + 2:
            return None
        arguments = [bytes(line) for line in lines[2:-1:2]]
        if lines[1:-1:2] != [b"$%d" % len(argument) for argument in arguments]:
            return None
        self.buffer = lines[-1]
        return arguments

    def read_incremental(self) -> list[bytes] | None:
        """The next command, received in any number of reads; None if it is incomplete.

        A malformed element is a ProtocolError as soon as its first bytes show it.
        """
        header = self.read_length(0, b"*", MAX_ARGUMENTS)
        if header is None:
            return None
        count, start = header
        if count < 1:
            raise ProtocolError("an empty command")  # a flood of them would never be answered
        arguments = []
        for _ in range(count):
            element = self.read_bulk_string(start, max(0, MAX_COMMAND_BYTES - start))
            if element is None:
                return None
            if element[0] is None:
                raise ProtocolError("a null in a command")
            arguments.append(element[0])
            start = element[1]
        self.discard(start)
        return arguments


@dataclass(frozen=True, slots=True)
class Answer:
    """A server's answer: a value, or an error line without its type byte; and the load report, if any."""

    value: bytes | None
    error: bytes | None = None
    report: bytes | None = None


class AnswerReader(Reader):
    """Reads answers from what a server sends: `[value, usage figures, load report]` or an error line."""

    __slots__ = ()

    def next(self) -> Answer | None:
        """The next answer; None if it is incomplete."""
        return self.read_fast() or self.read_incremental()

    def read_fast(self) -> Answer | None:
        """The answer, if it fills the buffer and has neither usage figures nor a load report.

        None does not mean that there is no answer.
        """
        buffer = self.buffer
        if not buffer.startswith(VALUE_PREFIX) or not buffer.endswith(VALUE_SUFFIX):
            return None
        length_end = buffer.find(b"\r\n", len(VALUE_PREFIX), len(VALUE_PREFIX) + MAX_LENGTH_LINE_BYTES)
        end = len(buffer) - len(VALUE_SUFFIX)
        if (
            length_end < 0
            or buffer[len(VALUE_PREFIX) : length_end] != b"%d" % (end - length_end - 2)
            or end - length_end - 2 > MAX_VALUE_BYTES
        ):
            return None
        value = bytes(buffer[length_end + 2 : end])
        buffer.clear()
        return Answer(value)

    def read_incremental(self) -> Answer | None:
        """The next answer, received in any number of reads; None if it is incomplete.

        A malformed element is a ProtocolError as soon as its first bytes show it.
        """
        if self.buffer.startswith(b"-"):
            return self.read_error()
        header = self.read_length(0, b"*", ANSWER_ELEMENTS)
        if header is None:
            return None
        if header[0] != ANSWER_ELEMENTS:
            raise ProtocolError("an answer has three parts")
        value = self.read_bulk_string(header[1], MAX_VALUE_BYTES)
        if value is None:
            return None
        if value[0] is None:
            raise ProtocolError("an answer without a value")
        figures = self.read_bulk_string(value[1], MAX_REPORT_BYTES)
        report = figures and self.read_bulk_string(figures[1], MAX_REPORT_BYTES)
        if report is None:
            return None
        self.discard(report[1])
        return Answer(value[0], report=report[0])

    def read_error(self) -> Answer | None:
        """An error line, which may end with a load report after a space; None if it is incomplete."""
        end = self.buffer.find(b"\r\n", 0, MAX_ERROR_LINE_BYTES)
        if end < 0:
            if len(self.buffer) >= MAX_ERROR_LINE_BYTES:
                raise ProtocolError("a line without an end")
            return None
        line = bytes(self.buffer[1:end])
        self.discard(end + 2)
        return Answer(None, line, line.rpartition(b" ")[2])
