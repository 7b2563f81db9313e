"""Cuts a stream of bytes into JSON objects, each of which stands on one line or is indented over several."""

import json
import re

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # no string of JSON goes on over the end of a line


class ObjectReader:
    """Collects lines until they make a whole object.

    Each line is looked at once, however many an object has: an object is whole when as many braces are
    closed as were opened, those within strings aside.
    """

    def __init__(self, most_bytes: int) -> None:
        """`most_bytes` is the largest object; one that grows past it is a ValueError."""
        self.most_bytes = most_bytes
        self.line = bytearray()  # the last line, which has no end yet
        self.lines: list[bytes] = []  # of an object that has begun
        self.size = 0  # bytes of `lines`
        self.depth = 0  # braces that are open by the end of `lines`

    def feed(self, data: bytes | bytearray) -> list[bytes]:
        """The objects that are whole with these bytes. What can be no part of one is a ValueError."""
        self.line += data
        *lines, self.line = self.line.split(b"\n")
        objects = [whole for line in lines if (whole := self.add(bytes(line)))]
        if self.size + len(self.line) > self.most_bytes:
            raise ValueError("an object without an end")
        return objects

    def finish(self) -> list[bytes]:
        """The object that stood on a last line without an end, if it is whole with that."""
        return self.feed(b"\n")

    def is_within(self) -> bool:
        """Whether an object has begun and is not whole."""
        return bool(self.lines or self.line.strip())

    def add(self, line: bytes) -> bytes | None:
        """Take a whole line; the object that it completes."""
        if not line.strip():
            return None
        bare = STRING.sub(b"", line)
        self.depth += bare.count(b"{") - bare.count(b"}")
        self.lines.append(line)
        self.size += len(line)
        if self.depth > 0:
            if len(self.lines) == 1:
                check_beginning(line)
            return None
        whole = b"\n".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return whole


def check_beginning(line: bytes) -> None:
    """See that a first line is the beginning of an object and not one that is cut off or malformed: reading
    it as JSON fails at its end, and nowhere before."""
    text = line.decode().rstrip()
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        if error.pos < len(text):
            raise
