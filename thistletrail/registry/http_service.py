"""The registry on HTTP/1.1: reads in the form that discovery expects, and writes.

Watchers have no queue. Each has the generation that it was sent last and gets what changed since, merged by
instance, whenever its connection takes more. An update is encoded once for all watchers at one generation.
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

EMPTY_LINE_S = 2.0
"""An empty line goes to a watcher for which nothing changed for so long, as the protocol demands."""

LEASE_CHECK_S = 1.0
"""Between checks for expired leases."""

MAX_WATCHERS = 1000
"""Five times the largest fleet."""

MAX_BODY_BYTES = 4096
"""Of a request; a registration takes a tenth of that."""

WATCHER_WRITE_TIMEOUT_S = 10.0
"""A watch ends when its reader takes nothing of what it was sent for so long."""

WATCHER_BUFFER_BYTES = 32_768
"""That are buffered for one watcher before writing to it waits."""

MAX_ENCODED_UPDATES = 64
"""Encoded updates that are cached; watchers that keep up are at one generation or two."""

MAX_GENERATION_DIGITS = 16
"""Of the parameter `after`: enough for every generation below 2**53."""

NANOSECONDS_PER_MS = 1_000_000

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def now_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // NANOSECONDS_PER_MS


def unix_time_ms() -> int:
    """Return the wall clock in milliseconds since 1970."""
    return time.time_ns() // NANOSECONDS_PER_MS


def json_error(status: int, message: str, headers: Mapping[str, str] | None = None) -> web.Response:
    """Return an error response: one sentence under the key `error`."""
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
    # Whole seconds (RFC 9110, 10.2.3), rounded up so that nobody comes back too early.
    return {"Retry-After": str(math.ceil(error.retry_after_s))}


@web.middleware
async def error_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn the errors of the registry, and HTTP errors of the framework, into JSON responses."""
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
    """Run a coroutine for the duration of the block, then cancel it and wait for its end."""
    task = asyncio.create_task(coroutine)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait([task])


class RegistryView(Protocol):
    """An endpoint list that can be read: the store of the primary, or the replica of a follower."""

    @property
    def generation(self) -> int:
        """The generation of the last change."""

    def full_update(self) -> WatchUpdate:
        """Return the complete endpoint list."""

    def update_after(self, generation: int) -> WatchUpdate:
        """Return what changed after `generation`, or the complete list."""


class ReadService:
    """The read side: an endpoint list and its watchers, as an aiohttp application in `app`."""

    def __init__(self, view: RegistryView) -> None:
        self.view = view
        self.watcher_count = 0
        self.encoded_updates: dict[tuple[int, int], bytes] = {}
        """Encoded updates by the generation before (`NO_GENERATION` for the complete list) and after."""
        self._is_stopping = False
        # Replaced at each change: whoever waits for the previous one is woken.
        self._changed = asyncio.Event()
        self.app = web.Application(middlewares=[error_middleware], client_max_size=MAX_BODY_BYTES)
        self.app.add_routes([web.get(READ_PATH, self._get_endpoints), web.get(STATUS_PATH, self._get_status)])
        self.app.on_shutdown.append(self._end_watches)

    def age_ms(self) -> int:
        """Return how old the endpoint list may be; the primary's own is never old."""
        return 0

    def require_available(self) -> None:
        """Raise `UnavailableError` if there is no endpoint list to answer with."""

    def status_fields(self) -> dict[str, object]:
        """Return what the kind of service adds to the answer of `/status`."""
        return {}

    def notify_watchers(self) -> None:
        """Wake all watchers, as the endpoint list has changed or the watches are to end."""
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _end_watches(self, _: web.Application) -> None:
        """Let each watch end after its last complete line."""
        self._is_stopping = True
        self.notify_watchers()

    def _encoded_update(self, after: int | None) -> bytes:
        """Return the line for readers at generation `after` (None: at none), encoded once for all of them."""
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
            # The reader has disconnected.
            pass
        return response

    async def _send_updates(self, response: web.StreamResponse, after: int | None) -> None:
        """Send an update whenever there is one, else empty lines, until the service stops.

        Raises `TimeoutError` if the reader takes nothing and `ConnectionError` if it has disconnected.
        """
        # The first update is sent even when it is empty: it tells the reader that it is up to date.
        is_first = True
        while not self._is_stopping:
            changed = self._changed
            if is_first or after != self.view.generation:
                line = self._encoded_update(after)
                after = self.view.generation
                is_first = False
                await asyncio.wait_for(response.write(line), WATCHER_WRITE_TIMEOUT_S)
                # There may have been another change while it was sent.
                continue
            try:
                await asyncio.wait_for(changed.wait(), EMPTY_LINE_S)
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
    """Return the generation of the parameter `after`, None if it is empty."""
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > MAX_GENERATION_DIGITS:
        raise RejectedError("after is not a generation")
    return int(text)


class RegistryService(ReadService):
    """The primary: it accepts writes and owns the store, its leases and its journal."""

    def __init__(self, directory: Path, fill_s: float = 0.0) -> None:
        """Read the directory; raises `CorruptFileError` if its files are damaged.

        A history that began with nothing does not answer reads for `fill_s` seconds: running scan servers
        register meanwhile, and clients would take an empty endpoint list for the loss of all of them.
        """
        self.journal = Journal(directory)
        self.store: Store = self.journal.open(unix_time_ms(), now_ms())
        self._filled_at_ms = now_ms() + round(fill_s * MS_PER_SECOND)
        super().__init__(self.store)
        self.app.add_routes(
            [
                web.put(WRITE_PATH, self._put_instance),
                web.post(RENEW_PATH, self._post_renewal),
                web.patch(WRITE_PATH, self._patch_instance),
                web.delete(WRITE_PATH, self._delete_instance),
            ]
        )
        self.app.cleanup_ctx.append(self._run)

    def require_available(self) -> None:
        """Raise `UnavailableError` while the endpoint list is still being filled."""
        if not self.journal.is_filling():
            return
        remaining_s = (self._filled_at_ms - now_ms()) / MS_PER_SECOND
        if remaining_s > 0:
            raise UnavailableError(
                f"the registry began empty and answers reads in {remaining_s:.1f} s", remaining_s
            )
        self.journal.end_filling()

    def status_fields(self) -> dict[str, object]:
        """Return the role and the number of instances."""
        return {"role": "first", "instances": len(self.store.instances)}

    def notify_watchers(self) -> None:
        """Wake all watchers, and write a snapshot if the journal has grown long."""
        super().notify_watchers()
        if self.journal.needs_snapshot():
            self.journal.write_snapshot(self.store)

    async def _run(self, _: web.Application) -> AsyncIterator[None]:
        async with background_task(self._check_leases()):
            yield
        self.journal.write_snapshot(self.store)
        self.journal.close()

    async def _check_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            try:
                deleted = self.store.expire_leases(now_ms())
            except RejectedError as error:
                # The message says all: a traceback would add nothing to a full disk.
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
        registered = self.store.register(instance, now_ms())
        return self._respond_to_write(generation_before, registered.generation)

    async def _post_renewal(self, request: web.Request) -> web.Response:
        renewed = self.store.renew(request.match_info["id"], now_ms())
        return _generation_response(renewed.generation)

    async def _patch_instance(self, request: web.Request) -> web.Response:
        values = await _read_json_object(request)
        if set(values) != {"generation", "lifecycle"} or type(values["generation"]) is not int:
            raise RejectedError("an update has a generation, a whole number, and a lifecycle")
        generation_before = self.store.generation
        updated = self.store.update(
            request.match_info["id"], values["generation"], values["lifecycle"], now_ms()
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
        value = json.loads(await request.text())
    except (ValueError, RecursionError) as error:
        raise RejectedError("the body is not JSON") from error
    if not isinstance(value, dict):
        raise RejectedError("the body is not a JSON object")
    return value
