"""One HTTP request to discovery, from its first byte to the end of its connection.

A watch is an answer that does not end: a JSON object for each update, and empty lines in between. A request
for the complete endpoint list is answered in the same form, with an end.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from http import HTTPStatus

import h11

from thistletrail.gateway.errors import DiscoveryProtocolError, GatewayError, StaleEndpointListError
from thistletrail.gateway.json_stream import JsonObjectReader

log = logging.getLogger(__name__)

# An update counts as notified to a gateway 6 s after a watch fell silent, and 6 s after discovery had it
# and could be reached. The longest that a request may take to be given up, and the next one to be made,
# fits in that.
SILENT_TIMEOUT_S = 4.5  # an empty line comes every 2 s: two of them are missing
FIRST_BYTE_TIMEOUT_S = 2.5  # for the first bytes of an answer, or its first empty line
OBJECT_TIMEOUT_S = 2.0  # for the rest of an object that has begun
MAX_OBJECT_BYTES = 1 << 20


class WatchConnection(asyncio.Protocol):
    """The connection of one request; `on_object` gets the bytes of each complete JSON object."""

    def __init__(self, target: str, host: str, on_object: Callable[[bytes], None]) -> None:
        self.target = target
        self.host = host
        self.on_object = on_object
        self.http = h11.Connection(h11.CLIENT)
        self.reader = JsonObjectReader(MAX_OBJECT_BYTES)
        self.received_s = time.monotonic()  # when bytes came last; at first, when it was made
        self.has_answer = False  # whether any byte of the answer has come
        self.object_since_s: float | None = None  # since when an object is incomplete
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the request."""
        self.transport = transport
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer."""
        self.received_s = time.monotonic()
        self.has_answer = True
        self._read(data)

    def eof_received(self) -> None:
        """An answer without a length is complete with that; any other one is broken off."""
        self._read(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Mark it as ended."""
        if not self.ended.done():
            self.ended.set_result(None)

    def close(self) -> None:
        """Abort the connection; nothing more is read."""
        if self.transport:
            self.transport.abort()

    def give_up_at_s(self) -> float:
        """When it is to be given up if nothing comes by then, on the monotonic clock."""
        silent_s = self.received_s + (SILENT_TIMEOUT_S if self.has_answer else FIRST_BYTE_TIMEOUT_S)
        if self.object_since_s is None:
            return silent_s
        return min(silent_s, self.object_since_s + OBJECT_TIMEOUT_S)

    def _read(self, data: bytes) -> None:
        """Take bytes, none of them for the end of the connection. An answer that is wrong closes it."""
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self._handle(event)
                if isinstance(event, h11.ConnectionClosed):  # which comes again and again
                    break
            self._note_progress()
        except StaleEndpointListError as error:
            log.warning("the watch sent an older endpoint list: %s", error)
            self.close()
        except h11.ProtocolError as error:
            if data:  # without, the watch was broken off, as it may be at any time
                log.error("the watch sent a malformed answer: %s", error)
            self.close()
        except GatewayError as error:
            log.error("the watch sent a malformed answer: %s", error)
            self.close()

    def _handle(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response) and event.status_code != HTTPStatus.OK:
            raise DiscoveryProtocolError(f"expected status 200, found {event.status_code}")
        if isinstance(event, h11.Data):
            for data in self.reader.feed(event.data):
                self.on_object(data)
        if isinstance(event, h11.EndOfMessage):
            for data in self.reader.finish():  # a complete list may come without a line end
                self.on_object(data)
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def _note_progress(self) -> None:
        """Note since when an object is incomplete, if one is."""
        if not self.reader.has_partial_object():
            self.object_since_s = None
        elif self.object_since_s is None:
            self.object_since_s = self.received_s
