"""One HTTP request to discovery, on a connection of its own.

The answer to a watch does not end: it has a JSON object for each update, and empty lines in between. The
answer to a request for the complete endpoint list has the same form, and ends.
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

# An update counts as notified to a gateway 6 s after its watch became silent, or 6 s after discovery had the
# update and was reachable. A time-out and the backoff before the next request must fit into that time.
SILENT_TIMEOUT_S = 4.5  # two of the empty lines, which discovery sends every 2 s, are missing
FIRST_BYTE_TIMEOUT_S = 2.5  # the first data of an answer may be its first empty line, after 2 s
OBJECT_TIMEOUT_S = 2.0  # for the rest of a partly received object
MAX_OBJECT_BYTES = 1 << 20


class WatchConnection(asyncio.Protocol):
    """The connection of one request; calls `on_object` with the bytes of each complete JSON object."""

    def __init__(self, target: str, host: str, on_object: Callable[[bytes], None]) -> None:
        self.target = target
        self.host = host
        self.on_object = on_object
        self.http = h11.Connection(h11.CLIENT)
        self.reader = JsonObjectReader(MAX_OBJECT_BYTES)
        self.received_s = time.monotonic()  # when data arrived last; initially the creation time
        self.has_answer = False  # any data of the answer has arrived
        self.object_started_s: float | None = None  # None: no partly received object
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the request."""
        self.transport = transport
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        """Process data of the answer."""
        self.received_s = time.monotonic()
        self.has_answer = True
        self._read(data)

    def eof_received(self) -> None:
        """Process the end of the data: it completes an answer without a length and truncates any other."""
        self._read(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection as ended."""
        if not self.ended.done():
            self.ended.set_result(None)

    def close(self) -> None:
        """Abort the connection; no further data is processed."""
        if self.transport:
            self.transport.abort()

    def timeout_at_s(self) -> float:
        """When the request times out if no data arrives, on the monotonic clock."""
        silence_end_s = self.received_s + (SILENT_TIMEOUT_S if self.has_answer else FIRST_BYTE_TIMEOUT_S)
        if self.object_started_s is None:
            return silence_end_s
        return min(silence_end_s, self.object_started_s + OBJECT_TIMEOUT_S)

    def _read(self, data: bytes) -> None:
        """Process data; empty data is the end of the connection. A malformed answer closes the connection."""
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self._handle(event)
                if isinstance(event, h11.ConnectionClosed):  # h11 returns this event repeatedly
                    break
            self._update_object_start()
        except StaleEndpointListError as error:
            log.warning("the watch sent an older endpoint list: %s", error)
            self.close()
        except h11.ProtocolError as error:
            if data:  # a connection that ends early is no protocol error: it may do so at any time
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
            for data in self.reader.finish():  # a complete list may lack a final line end
                self.on_object(data)
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def _update_object_start(self) -> None:
        """Record when a partly received object started, if there is one."""
        if not self.reader.has_partial_object():
            self.object_started_s = None
        elif self.object_started_s is None:
            self.object_started_s = self.received_s
