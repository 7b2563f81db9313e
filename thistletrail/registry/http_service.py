"""The registry over HTTP/1.1: reads and watches in the format of the discovery protocol, and writes.

Watchers have no queue. For each watcher the service knows the generation that it sent last, and sends the
changes since then, merged by instance, whenever the connection accepts more data. An update is encoded once
for all watchers at the same generation.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Mapping
from http import HTTPStatus
from pathlib import Path
from typing import Any, Protocol

from aiohttp import web

from thistletrail.registry.errors import (
    ConflictError,
    RejectedError,
    StorageError,
    UnavailableError,
    UnknownInstanceError,
)
from thistletrail.registry.instance import parse_instance
from thistletrail.registry.journal import Journal
from thistletrail.registry.limits import MS_PER_SECOND, NO_GENERATION
from thistletrail.registry.store import Store
from thistletrail.registry.watch_update import WatchUpdate, encode_update

log = logging.getLogger(__name__)

READ_PATH = "/catalog/members"
STATUS_PATH = "/status"
WRITE_PATH = "/instances/{id}"
RENEW_PATH = f"{WRITE_PATH}/renew"

EMPTY_LINE_INTERVAL_S = 2.0
"""A watcher gets an empty line after this long without a change, as the discovery protocol requires."""

LEASE_CHECK_INTERVAL_S = 1.0
"""Time between two checks for expired leases."""

MAX_WATCHERS = 1000
"""Five times the size of the largest fleet."""

MAX_BODY_BYTES = 4096
"""Maximum size of a request body, ten times that of a registration."""

BODY_TIMEOUT_S = 2.0
"""Time limit for the body of a request, that of a registration's whole attempt."""

WATCHER_WRITE_TIMEOUT_S = 10.0
"""A watch is closed if its reader accepts no data for this long."""

WATCHER_BUFFER_BYTES = 32_768
"""Size of the write buffer of one watcher; writes to a full one wait. A longer line is written in pieces."""

MAX_ENCODED_UPDATES = 64
"""Size of the cache of encoded updates; watchers that keep up are at one of the last two generations."""

MAX_GENERATION_DIGITS = 16
"""Maximum length of the parameter `after`: enough for every generation below 2**53."""

NANOSECONDS_PER_MS = 1_000_000

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


async def _write_line(response: web.StreamResponse, line: bytes) -> None:
    """Write a line of a watch in pieces, so that a slow reader's part of it is not buffered at once.

    Raises `TimeoutError` if the reader accepts no piece for `WATCHER_WRITE_TIMEOUT_S`, and `ConnectionError`
    if it has disconnected.
    """
    for start in range(0, len(line), WATCHER_BUFFER_BYTES):
        piece = line[start : start + WATCHER_BUFFER_BYTES]
        await asyncio.wait_for(response.write(piece), WATCHER_WRITE_TIMEOUT_S)


def monotonic_ms() -> int:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic_ns() // NANOSECONDS_PER_MS


def unix_time_ms() -> int:
    """Return the time of the system clock in milliseconds since 1970."""
    return time.time_ns() // NANOSECONDS_PER_MS


def json_error(status: int, message: str, headers: Mapping[str, str] | None = None) -> web.Response:
    """Return a JSON error response that has the message, one sentence, under the key `error`."""
    return web.json_response({"error": message}, status=status, headers=headers)


def _status_of_rejection(error: RejectedError) -> int:
    if isinstance(error, ConflictError):
        return HTTPStatus.CONFLICT
    if isinstance(error, UnknownInstanceError):
        return HTTPStatus.NOT_FOUND
    if isinstance(error, StorageError):
        return HTTPStatus.INSUFFICIENT_STORAGE
    return HTTPStatus.BAD_REQUEST


def _retry_after_header(error: UnavailableError) -> dict[str, str]:
    if error.retry_after_s is None:
        return {}
    # Whole seconds (RFC 9110, 10.2.3), rounded up so that clients do not retry too early.
    return {"Retry-After": str(math.ceil(error.retry_after_s))}


@web.middleware
async def error_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert the errors of the registry and the HTTP errors of aiohttp to JSON responses."""
    try:
        return await handler(request)
    except RejectedError as error:
        return json_error(_status_of_rejection(error), str(error))
    except UnavailableError as error:
        return json_error(HTTPStatus.SERVICE_UNAVAILABLE, str(error), _retry_after_header(error))
    except web.HTTPException as error:
        if error.status < HTTPStatus.BAD_REQUEST:
            raise
        return json_error(error.status, error.reason)


@contextlib.asynccontextmanager
async def background_task(coroutine: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run a coroutine as a task for the duration of the block, then cancel it and wait until it has ended."""
    task = asyncio.create_task(coroutine)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait([task])


class RegistryView(Protocol):
    """A readable endpoint list: the store of the primary, or the replica of a follower."""

    @property
    def generation(self) -> int:
        """The generation of the last change."""

    def full_update(self) -> WatchUpdate:
        """Return the complete endpoint list."""

    def update_after(self, generation: int) -> WatchUpdate:
        """Return the changes after `generation`, or the complete list if those are not retained."""


class ReadService:
    """Serves an endpoint list to readers and watchers; `app` is the aiohttp application."""

    def __init__(self, view: RegistryView) -> None:
        self.view = view
        self.watcher_count = 0
        self.encoded_updates: dict[tuple[int, int], bytes] = {}
        """Cached lines by the generation before the update (`NO_GENERATION`: complete list) and after it."""
        self._is_stopping = False
        # Replaced at each change; setting the previous event wakes all watchers that wait for it.
        self._changed = asyncio.Event()
        self.app = web.Application(middlewares=[error_middleware], client_max_size=MAX_BODY_BYTES)
        self.app.add_routes([web.get(READ_PATH, self._get_endpoints), web.get(STATUS_PATH, self._get_status)])
        self.app.on_shutdown.append(self._end_watches)

    def age_ms(self) -> int:
        """Return the maximum age of the endpoint list in milliseconds; on the primary it is always 0."""
        return 0

    def require_available(self) -> None:
        """Raise `UnavailableError` if there is no endpoint list to serve."""

    def status_fields(self) -> dict[str, object]:
        """Return the fields that this kind of service adds to the response of `/status`."""
        return {}

    def notify_watchers(self) -> None:
        """Wake all watchers; to be called when the endpoint list has changed or the watches must end."""
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _end_watches(self, _: web.Application) -> None:
        """End each watch after the line that is being sent."""
        self._is_stopping = True
        self.notify_watchers()

    def _encoded_update(self, after: int | None) -> bytes:
        """Return the encoded update for readers at generation `after`, the complete list if that is None.

        The line is encoded once for all readers at the same generation.
        """
        key = (NO_GENERATION if after is None else after, self.view.generation)
        line = self.encoded_updates.get(key)
        if line is None:
            update = self.view.full_update() if after is None else self.view.update_after(after)
            line = encode_update(update)
            while len(self.encoded_updates) >= MAX_ENCODED_UPDATES:
                oldest = next(iter(self.encoded_updates))
                del self.encoded_updates[oldest]
            self.encoded_updates[key] = line
        return line

    async def _get_endpoints(self, request: web.Request) -> web.StreamResponse:
        self.require_available()
        if request.query.get("watch") != "1":
            return web.Response(
                body=self._encoded_update(None),
                content_type="application/json",
                headers={"Age": str(self.age_ms() // MS_PER_SECOND)},
            )
        after = _parse_after(request.query.get("after", ""))
        if self.watcher_count >= MAX_WATCHERS:
            return json_error(HTTPStatus.SERVICE_UNAVAILABLE, f"there are {MAX_WATCHERS} watches already")
        self.watcher_count += 1
        try:
            return await self._watch(request, after)
        finally:
            self.watcher_count -= 1

    async def _watch(self, request: web.Request, after: int | None) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        if request.transport is not None:
            request.transport.set_write_buffer_limits(WATCHER_BUFFER_BYTES)
        try:
            await self._send_updates(response, after)
            await response.write_eof()
        except TimeoutError:
            log.warning("a watch ends: its reader took nothing for %.0f s", WATCHER_WRITE_TIMEOUT_S)
            if request.transport is not None:
                request.transport.abort()
        except ConnectionError:
            # The reader disconnected, so no response can be completed.
            pass
        return response

    async def _send_updates(self, response: web.StreamResponse, after: int | None) -> None:
        """Send each update, and empty lines while there is none, until the service stops.

        Raises `TimeoutError` if the reader accepts no data for `WATCHER_WRITE_TIMEOUT_S`, and
        `ConnectionError` if it has disconnected.
        """
        # The first update is sent even if it is empty: it tells the reader that its list is up to date.
        is_first = True
        while not self._is_stopping:
            changed = self._changed
            if is_first or after != self.view.generation:
                line = self._encoded_update(after)
                after = self.view.generation
                is_first = False
                await _write_line(response, line)
                # The list may have changed while the line was being sent.
                continue
            try:
                await asyncio.wait_for(changed.wait(), EMPTY_LINE_INTERVAL_S)
            except TimeoutError:
                await asyncio.wait_for(response.write(b"\n"), WATCHER_WRITE_TIMEOUT_S)

    async def _get_status(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                **self.status_fields(),
                "generation": self.view.generation,
                "age_ms": self.age_ms(),
                "watchers": self.watcher_count,
            }
        )


def _parse_after(text: str) -> int | None:
    """Return the generation in the parameter `after`, or None if it is empty; raises `RejectedError`."""
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > MAX_GENERATION_DIGITS:
        raise RejectedError("after is not a generation")
    return int(text)


class RegistryService(ReadService):
    """The primary: accepts writes and owns the store, its leases and its journal."""

    def __init__(self, directory: Path, fill_s: float = 0.0) -> None:
        """Restore the store from `directory`; raises `CorruptFileError` if its files are damaged.

        A registry that began empty rejects reads for `fill_s` seconds. Meanwhile running scan servers
        register: readers would take an empty endpoint list for the loss of all scan servers.
        """
        self.journal = Journal(directory)
        self.store: Store = self.journal.open(unix_time_ms(), monotonic_ms())
        self._fill_end_ms = monotonic_ms() + round(fill_s * MS_PER_SECOND)
        super().__init__(self.store)
        self.app.add_routes(
            [
                web.put(WRITE_PATH, self._put_instance),
                web.post(RENEW_PATH, self._post_renewal),
                web.patch(WRITE_PATH, self._patch_instance),
                web.delete(WRITE_PATH, self._delete_instance),
            ]
        )
        self.app.cleanup_ctx.append(self._run_lease_checks)

    def require_available(self) -> None:
        """Raise `UnavailableError` while scan servers fill the list of a registry that began empty."""
        if not self.journal.is_filling():
            return
        remaining_s = (self._fill_end_ms - monotonic_ms()) / MS_PER_SECOND
        if remaining_s > 0:
            raise UnavailableError(
                f"the registry began empty and answers reads in {remaining_s:.1f} s", remaining_s
            )
        self.journal.end_filling()

    def status_fields(self) -> dict[str, object]:
        """Return the role and the number of instances."""
        return {"role": "first", "instances": len(self.store.instances)}

    def notify_watchers(self) -> None:
        """Wake all watchers, and write a snapshot if the journal needs one."""
        super().notify_watchers()
        if self.journal.needs_snapshot():
            self.journal.write_snapshot(self.store)

    async def _run_lease_checks(self, _: web.Application) -> AsyncIterator[None]:
        """Check leases while the application runs; then write a snapshot and close the journal."""
        async with background_task(self._check_leases()):
            yield
        self.journal.write_snapshot(self.store)
        self.journal.close()

    async def _check_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            try:
                deleted = self.store.expire_leases(monotonic_ms())
            except RejectedError as error:
                # The message names the cause, such as a full disk; a traceback would add nothing.
                log.error("instances with expired leases are retained for now: %s", error)
                continue
            if deleted:
                self.notify_watchers()

    # --- writes ---

    def _respond_to_write(self, generation_before: int, generation: int) -> web.Response:
        if self.store.generation != generation_before:
            self.notify_watchers()
        return _generation_response(generation)

    async def _put_instance(self, request: web.Request) -> web.Response:
        values = await _read_json_object(request)
        if "id" in values:
            raise RejectedError("id stands in the path")
        generation_before = self.store.generation
        instance = parse_instance({**values, "id": request.match_info["id"]})
        registered = self.store.register(instance, monotonic_ms())
        return self._respond_to_write(generation_before, registered.generation)

    async def _post_renewal(self, request: web.Request) -> web.Response:
        renewed = self.store.renew(request.match_info["id"], monotonic_ms())
        return _generation_response(renewed.generation)

    async def _patch_instance(self, request: web.Request) -> web.Response:
        values = await _read_json_object(request)
        if set(values) != {"generation", "lifecycle"} or type(values["generation"]) is not int:
            raise RejectedError("an update has a generation, a whole number, and a lifecycle")
        generation_before = self.store.generation
        updated = self.store.update(
            request.match_info["id"], values["generation"], values["lifecycle"], monotonic_ms()
        )
        return self._respond_to_write(generation_before, updated.generation)

    async def _delete_instance(self, request: web.Request) -> web.Response:
        generation_before = self.store.generation
        deleted = self.store.deregister(request.match_info["id"])
        return self._respond_to_write(generation_before, deleted.generation)


def _generation_response(generation: int) -> web.Response:
    return web.json_response({"generation": generation})


async def _read_json_object(request: web.Request) -> dict[str, Any]:
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            text = await request.text()
    except TimeoutError as error:
        raise web.HTTPRequestTimeout from error
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise RejectedError("the body is not JSON") from error
    if not isinstance(value, dict):
        raise RejectedError("the body is not a JSON object")
    return value
