"""The way of the list to one door: every scan server is named to it at the relay between the two.

As the platform's discovery does, each door is told other addresses for the same instances. What a line tells
of lifecycles is noted when the line is written to the door.
"""

from __future__ import annotations

from collections.abc import Callable

import h11
import msgspec

from thistletrail.fault_injection.relay import Notes

MOST_LINE = 1 << 22  # bytes: two thousand entries are a fifth of that


class Listing:
    """One answer of the list service on its way to a door: read, rewritten, sent on in chunks."""

    def __init__(self, door: str, address_of: Callable[[str, str], str]) -> None:
        """`address_of` gives the relay's address for an instance, by its id and the address it listens at."""
        self.door, self.address_of = door, address_of
        self.http = h11.Connection(h11.CLIENT)
        self.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        self.http.send(h11.EndOfMessage())
        self.buffer = b""

    def feed(self, data: bytes) -> list[tuple[bytes, Notes]]:
        """What to pass on, with the records of what it tells; what is no such answer is a ValueError."""
        found: list[tuple[bytes, Notes]] = []
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event, found)
        except (h11.ProtocolError, msgspec.DecodeError, KeyError, TypeError) as error:
            raise ValueError(str(error)) from error
        return found

    def take(self, event: object, found: list[tuple[bytes, Notes]]) -> None:
        if isinstance(event, h11.Response):
            found.append((b"HTTP/1.1 %d OK\r\nTransfer-Encoding: chunked\r\n\r\n" % event.status_code, []))
        elif isinstance(event, h11.Data):
            *lines, self.buffer = (self.buffer + bytes(event.data)).split(b"\n")
            if len(self.buffer) > MOST_LINE:
                raise ValueError("a line without an end")
            found += [self.line(line) for line in lines]
        elif isinstance(event, h11.EndOfMessage):
            if self.buffer:
                found.append(self.line(self.buffer))
                self.buffer = b""
            found.append((b"0\r\n\r\n", []))

    def line(self, line: bytes) -> tuple[bytes, Notes]:
        notes: list[dict[str, object]] = []
        if line.strip():
            value = msgspec.json.decode(line)
            for entry in value.get("instances", ()):
                if "hostPort" in entry:
                    entry["hostPort"] = self.address_of(entry["instanceId"], entry["hostPort"])
            notes = [
                {
                    "kind": "told",
                    "door": self.door,
                    "generation": value.get("generation"),
                    "whole": bool(value.get("reset")),
                    "servers": {
                        entry["instanceId"]: entry["lifecycle"] for entry in value.get("instances", ())
                    },
                }
            ]
            line = msgspec.json.encode(value)
        line += b"\n"
        return b"%x\r\n%b\r\n" % (len(line), line), notes
