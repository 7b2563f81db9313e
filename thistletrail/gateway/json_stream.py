"""Cuts a stream of bytes into JSON objects, each of which stands on one line or is indented over several."""

import json
import re

from thistletrail.gateway.errors import MalformedJsonError

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # no string of JSON goes on over the end of a line


class JsonObjectReader:
    """Collects lines until they make a complete object.

    Each line is looked at once, however many an object has: an object is complete when as many braces are
    closed as were opened, those within strings aside.
    """

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` is the largest object; one that grows past it is a MalformedJsonError."""
        self.max_bytes = max_bytes
        self.unfinished_line = bytearray()  # the last line, which has no end yet
        self.lines: list[bytes] = []  # of an object that has begun
        self.size = 0  # bytes of `lines`
        self.open_braces = 0  # by the end of `lines`

    def feed(self, data: bytes | bytearray) -> list[bytes]:
        """The objects that are complete with these bytes.

        What can be no part of one is a MalformedJsonError.
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
        """The object that stood on a last line without an end, if it is complete with that."""
        return self.feed(b"\n")

    def has_partial_object(self) -> bool:
        """Whether an object has begun and is not complete."""
        return bool(self.lines or self.unfinished_line.strip())

    def _add_line(self, line: bytes) -> bytes | None:
        """Take a complete line; the object that it completes."""
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
    """See that a first line is the beginning of an object and not one that is cut off or malformed.

    Reading it as JSON fails at its end, and nowhere before. Else a MalformedJsonError.
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
