"""Splits a stream of bytes into JSON objects, each on one line or indented over several lines."""

import json
import re

from thistletrail.gateway.errors import MalformedJsonError

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # a JSON string contains no line end


class JsonObjectReader:
    """Collects lines until they form a complete object.

    An object is complete when as many braces are closed as were opened, not counting those in strings. Each
    line is scanned once, so the cost is linear in the size of an object.
    """

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` is the maximum size of an object."""
        self.max_bytes = max_bytes
        self.unfinished_line = bytearray()  # the last line, without its line end
        self.lines: list[bytes] = []  # complete lines of an incomplete object
        self.size = 0  # bytes in `lines`
        self.open_braces = 0  # at the end of `lines`

    def feed(self, data: bytes | bytearray) -> list[bytes]:
        """Add data; returns the objects that it completes.

        Raises MalformedJsonError for data that cannot be part of an object, or an object that is too large.
        """
        self.unfinished_line += data
        *lines, self.unfinished_line = self.unfinished_line.split(b"\n")
        objects = []
        for line in lines:
            complete = self._add_line(bytes(line))
            if complete:
                objects.append(complete)
        size = self.size + len(self.unfinished_line)
        if size > self.max_bytes:
            raise MalformedJsonError(f"expected an object of {self.max_bytes} bytes at most, found {size}")
        return objects

    def finish(self) -> list[bytes]:
        """End the last line; returns the object that this completes, if any."""
        return self.feed(b"\n")

    def has_partial_object(self) -> bool:
        """Whether the reader holds an incomplete object."""
        return bool(self.lines or self.unfinished_line.strip())

    def _add_line(self, line: bytes) -> bytes | None:
        """Add a complete line; returns the object that it completes, if any."""
        if not line.strip():
            return None
        without_strings = STRING.sub(b"", line)
        self.open_braces += without_strings.count(b"{") - without_strings.count(b"}")
        self.lines.append(line)
        self.size += len(line)
        if self.open_braces > 0:
            if len(self.lines) == 1:
                _check_first_line(line)
            return None
        complete = b"\n".join(self.lines)
        self.lines = []
        self.size = 0
        self.open_braces = 0
        return complete


def _check_first_line(line: bytes) -> None:
    """Raise MalformedJsonError if a line is not the start of an object that continues on the next line.

    Parsing the start of an indented object as JSON fails at the end of the line. An error before the end
    means that the line is truncated or malformed.
    """
    try:
        text = line.decode().rstrip()
    except UnicodeDecodeError as error:
        raise MalformedJsonError(f"expected the first line of an object in UTF-8: {error}") from error
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        if error.pos < len(text):
            raise MalformedJsonError(f"expected the first line of an object: {error}") from error
