"""An HTTP listener that bounds the connections, and what each of them may send before it is served.

Clients are not trusted: any number of them may connect, write slowly, stop within a request, or send long
heads.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

from aiohttp import web

MAX_CONNECTIONS = 4096  # 3,200 instances, 200 gateways, and followers
RESERVED_DESCRIPTORS = 64  # for files, the event loop, and connections that are being rejected
MAX_LINE_BYTES = 1024  # of the request line, and of each header field
MAX_HEADERS = 32
RECEIVE_BUFFER_BYTES = 16 * 1024  # of a socket, and so of what one read takes
READ_BUFFER_BYTES = 8 * 1024  # of a connection, from which on its body is not read for the time being
# A connection without a complete request is closed after this time, counted from its start or from its last
# response. Clients of aiohttp close idle connections after 15 s, and so do not use one that is closed.
IDLE_TIMEOUT_S = 20.0
LINGER_TIMEOUT_S = 2.0  # for the rest of a body that the response did not wait for
BACKLOG = 1024

REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
)


class RejectedConnection(asyncio.Protocol):
    """A connection beyond the limit: it gets status 503, and is closed unread."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Respond and close."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(REJECTION)
        transport.close()


@dataclass(frozen=True, slots=True)
class BoundedProtocolFactory:
    """Creates the protocol of each accepted connection: that of the server, up to `max_connections`."""

    server: web.Server
    max_connections: int

    def __call__(self) -> asyncio.Protocol:
        """Return the protocol of one more connection."""
        if len(self.server.connections) >= self.max_connections:
            return RejectedConnection()
        return self.server()


def max_connections() -> int:
    """The limit on connections, within the system's limit on open descriptors."""
    descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, min(MAX_CONNECTIONS, descriptor_limit - RESERVED_DESCRIPTORS))


def new_runner(app: web.Application, shutdown_timeout_s: float) -> web.AppRunner:
    """Return a runner of an application, with limits on the heads of requests and on idle connections."""
    return web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=shutdown_timeout_s,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        max_headers=MAX_HEADERS,
        read_bufsize=READ_BUFFER_BYTES,
        keepalive_timeout=IDLE_TIMEOUT_S,
        lingering_time=LINGER_TIMEOUT_S,
    )


@contextlib.asynccontextmanager
async def listening(
    app: web.Application, host: str, port: int, shutdown_timeout_s: float
) -> AsyncIterator[tuple[str, int]]:
    """Serve an application for the duration of the block, which gets the address that is listened on.

    Raises:
        OSError: The address cannot be listened on.
    """
    runner = new_runner(app, shutdown_timeout_s)
    await runner.setup()
    try:
        assert runner.server is not None
        factory = BoundedProtocolFactory(runner.server, max_connections())
        listener = await asyncio.get_running_loop().create_server(factory, host, port, backlog=BACKLOG)
        limit_receive_buffers(listener.sockets)
        try:
            yield listener.sockets[0].getsockname()[:2]
        finally:
            listener.close()
    finally:
        await runner.cleanup()


def limit_receive_buffers(listeners: Iterable[socket.socket]) -> None:
    """Limit the receive buffers of the sockets that will be accepted."""
    for listener in listeners:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
