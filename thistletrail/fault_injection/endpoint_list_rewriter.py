"""Rewrites the endpoint list from the registry to a gateway: each scan server gets its relay's address.

As with the platform's discovery, each gateway receives different addresses for the same instances. The
lifecycles of an update are recorded in the history when its line is written to the gateway.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
import msgspec

from thistletrail.fault_injection.relay import Records

MAX_LINE_BYTES = 1 << 22  # for one update; one with 2,000 entries has a fifth of it

# Returns the relay's address for an instance, from its id and the address at which it listens.
AddressOf = Callable[[str, str], str]


class EndpointListRewriter:
    """One response of the registry to a gateway: parsed, rewritten and forwarded in chunks."""

    def __init__(self, gateway: str, address_of: AddressOf) -> None:
        """`gateway` is the gateway's name in the history."""
        self._gateway = gateway
        self._address_of = address_of
        self._incomplete_line = b""
        # The parser reads a response only after a request of its own.
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        self._http.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> list[tuple[bytes, Records]]:
        """Return the chunks to forward, each with the history records of what they contain.

        Raises `ValueError` if the data are not a valid response of the registry.
        """
        output: list[tuple[bytes, Records]] = []
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                output += self._rewrite_event(event)
        except (h11.ProtocolError, msgspec.DecodeError, KeyError, TypeError) as error:
            raise ValueError(str(error)) from error
        return output

    def _rewrite_event(self, event: object) -> list[tuple[bytes, Records]]:
        if isinstance(event, h11.Response):
            head = b"HTTP/1.1 %d OK\r\nTransfer-Encoding: chunked\r\n\r\n" % event.status_code
            return [(head, [])]
        if isinstance(event, h11.Data):
            *lines, self._incomplete_line = (self._incomplete_line + bytes(event.data)).split(b"\n")
            if len(self._incomplete_line) > MAX_LINE_BYTES:
                raise ValueError(f"an update of the registry has more than {MAX_LINE_BYTES} bytes")
            return [self._rewrite_line(line) for line in lines]
        if isinstance(event, h11.EndOfMessage):
            return self._rewrite_end()
        return []

    def _rewrite_end(self) -> list[tuple[bytes, Records]]:
        output: list[tuple[bytes, Records]] = []
        if self._incomplete_line:
            output.append(self._rewrite_line(self._incomplete_line))
            self._incomplete_line = b""
        output.append((b"0\r\n\r\n", []))
        return output

    def _rewrite_line(self, line: bytes) -> tuple[bytes, Records]:
        """Return the chunk with the rewritten line, and its history record unless the line is empty."""
        records: list[dict[str, object]] = []
        if line.strip():
            update = msgspec.json.decode(line)
            for entry in update.get("instances", ()):
                if "hostPort" in entry:
                    entry["hostPort"] = self._address_of(entry["instanceId"], entry["hostPort"])
            records = [self._history_record(update)]
            line = msgspec.json.encode(update)
        line += b"\n"
        return b"%x\r\n%b\r\n" % (len(line), line), records

    def _history_record(self, update: dict[str, Any]) -> dict[str, object]:
        """Return the history record of an update; its field names are those of the stored histories."""
        entries = update.get("instances", ())
        return {
            "kind": "told",
            "door": self._gateway,
            "generation": update.get("generation"),
            "whole": bool(update.get("reset")),
            "servers": {entry["instanceId"]: entry["lifecycle"] for entry in entries},
        }
