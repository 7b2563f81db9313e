"""The list service on HTTP/1.1: reads as the protocol page gives them to discovery, and writes beside them.

Watchers have no queue: each knows the generation it was sent last, and gets what changed since, merged by
instance, whenever it takes more. A change is encoded once for all who are at the same generation.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Protocol

from aiohttp import web

from thistletrail.registry.journal import Log
from thistletrail.registry.store import ConflictError, News, RefusedError, Store, UnknownError, read_instance

log = logging.getLogger(__name__)

READ_PATH, WRITE_PATH = "/catalog/members", "/instances/{id}"
EMPTY_LINE_S = 2.0  # while nothing changes (the protocol page)
TICK_S = 1.0  # between looks at the leases
MOST_WATCHERS = 1000  # five times the largest fleet
MOST_BODY = 4096  # bytes: a registration is a tenth of that
LAG_S = 10.0  # for which a watcher may take nothing of what it was sent before its watch ends
BUFFER = 32_768  # bytes that lie ready for one watcher before its watch waits
MOST_ENCODED = 64  # changes kept encoded: watchers that keep up are at one generation or two


def now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def answer(status: int, value: dict[str, Any], headers: dict[str, str] | None = None) -> web.Response:
    return web.json_response(value, status=status, headers=headers)


class UnavailableError(RefusedError):
    """There is nothing to answer with yet; there may be in `after_s`, where that is known."""

    def __init__(self, text: str, after_s: float | None = None) -> None:
        super().__init__(text)
        self.after_s = after_s

    @property
    def headers(self) -> dict[str, str]:
        """In whole seconds, as RFC 9110 (10.2.3) has them: never too early."""
        return {} if self.after_s is None else {"Retry-After": str(math.ceil(self.after_s))}


@web.middleware
async def refusals(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """What is refused is one clear sentence in JSON."""
    try:
        return await handler(request)
    except ConflictError as error:
        return answer(409, {"error": str(error)})
    except UnknownError as error:
        return answer(404, {"error": str(error)})
    except UnavailableError as error:
        return answer(503, {"error": str(error)}, error.headers)
    except RefusedError as error:
        full = "cannot be kept" in str(error)
        return answer(507 if full else 400, {"error": str(error)})
    except web.HTTPException as error:
        if error.status < 400:
            raise
        return answer(error.status, {"error": error.reason})


class Held(Protocol):
    """A list that can be read: the first one's store, or a follower's copy."""

    generation: int

    def whole(self) -> News: ...

    def after(self, generation: int) -> News: ...


class Reader:
    """The read side: one list, and its watchers."""

    def __init__(self, held: Held) -> None:
        self.held = held
        self.changed = asyncio.Event()  # replaced at each change: who waits on the old one is woken
        self.watchers = 0
        self.stopping = False
        self.encoded: dict[tuple[int, int], bytes] = {}  # by the generation before and after
        self.app = web.Application(middlewares=[refusals], client_max_size=MOST_BODY)
        self.app.add_routes([web.get(READ_PATH, self.read), web.get("/status", self.status)])
        self.app.on_shutdown.append(self.stop)

    async def stop(self, _: web.Application) -> None:
        """Watches end with their last whole line."""
        self.stopping = True
        self.wake()

    def wake(self) -> None:
        """The list has changed, or the watches are to end."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def age_ms(self) -> int:
        """How old what is held may be; the first one's own list is never old."""
        return 0

    def ready(self) -> None:
        """Whether there is a list to be read; where there is none, an UnavailableError."""

    def encode(self, after: int | None) -> bytes:
        """The line for readers at that generation (none: at no one), encoded once for all of them."""
        key = -1 if after is None else after, self.held.generation
        found = self.encoded.get(key)
        if found is None:
            news = self.held.whole() if after is None else self.held.after(after)
            found = json.dumps(news.shown(), separators=(",", ":")).encode() + b"\n"
            while len(self.encoded) >= MOST_ENCODED:
                del self.encoded[next(iter(self.encoded))]
            self.encoded[key] = found
        return found

    async def read(self, request: web.Request) -> web.StreamResponse:
        self.ready()
        if request.query.get("watch") != "1":
            age = {"Age": str(self.age_ms() // 1000)}
            return web.Response(body=self.encode(None), content_type="application/json", headers=age)
        text = request.query.get("after", "")
        if text and not (text.isascii() and text.isdigit() and len(text) <= 16):
            raise RefusedError("after is not a generation")
        if self.watchers >= MOST_WATCHERS:
            return answer(503, {"error": f"there are {MOST_WATCHERS} watches already"})
        self.watchers += 1
        try:
            return await self.watch(request, int(text) if text else None)
        finally:
            self.watchers -= 1

    async def watch(self, request: web.Request, after: int | None) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        if request.transport is not None:
            request.transport.set_write_buffer_limits(BUFFER)
        first = True  # which tells, also with nothing in it, that the reader is up to date
        try:
            while not self.stopping:
                changed = self.changed
                if first or after != self.held.generation:
                    line, after, first = self.encode(after), self.held.generation, False
                    await asyncio.wait_for(response.write(line), LAG_S)
                    continue  # there may be more by now
                try:
                    await asyncio.wait_for(changed.wait(), EMPTY_LINE_S)
                except TimeoutError:
                    await asyncio.wait_for(response.write(b"\n"), LAG_S)
            await response.write_eof()
        except TimeoutError:
            log.warning("a watch ends: its reader took nothing for %.0f s", LAG_S)
            if request.transport is not None:
                request.transport.abort()
        except ConnectionError:
            pass  # its reader has gone
        return response

    async def status(self, _: web.Request) -> web.Response:
        return answer(
            200,
            {
                **self.described(),
                "generation": self.held.generation,
                "age_ms": self.age_ms(),
                "watchers": self.watchers,
            },
        )

    def described(self) -> dict[str, Any]:
        return {}


class Service(Reader):
    """The first one: it takes writes, and has the list, its leases and its log."""

    def __init__(self, folder: Path, fill_s: float = 0.0) -> None:
        """Reads the folder; a CorruptFileError where it cannot be trusted. A list that began with nothing is
        not told for `fill_s`: scan servers that are there register meanwhile, and an empty list would be
        taken for all of them gone."""
        self.log = Log(folder)
        self.store: Store = self.log.open(time.time_ns() // 1_000_000, now_ms())
        self.filled_ms = now_ms() + round(fill_s * 1000)
        super().__init__(self.store)
        self.app.add_routes(
            [
                web.put(WRITE_PATH, self.register),
                web.post(f"{WRITE_PATH}/renew", self.renew),
                web.patch(WRITE_PATH, self.update),
                web.delete(WRITE_PATH, self.leave),
            ]
        )
        self.app.cleanup_ctx.append(self.running)

    def ready(self) -> None:
        if self.log.is_filling():
            left_ms = self.filled_ms - now_ms()
            if left_ms > 0:
                raise UnavailableError(
                    f"the list began with nothing, and is told in {left_ms / 1000:.1f} s", left_ms / 1000
                )
            self.log.filled()

    async def running(self, _: web.Application) -> Any:  # noqa: ANN401 - aiohttp's context
        ticking = asyncio.create_task(self.tick())
        yield
        ticking.cancel()
        self.log.snapshot(self.store)
        self.log.close()

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                if self.store.tick(now_ms()):
                    self.wake()
            except RefusedError as error:
                log.error("leases that lapsed are kept for now: %s", error)

    def wake(self) -> None:
        super().wake()
        if self.log.due():
            self.log.snapshot(self.store)

    def described(self) -> dict[str, Any]:
        return {"role": "first", "instances": len(self.store.instances)}

    # --- writes ---

    async def body(self, request: web.Request) -> dict[str, Any]:
        try:
            value = json.loads(await request.text())
        except (ValueError, RecursionError) as error:
            raise RefusedError("the body is not JSON") from error
        if not isinstance(value, dict):
            raise RefusedError("the body is not a JSON object")
        return value

    def changed_to(self, before: int, generation: int) -> web.Response:
        if self.store.generation != before:
            self.wake()
        return answer(200, {"generation": generation})

    async def register(self, request: web.Request) -> web.Response:
        values = await self.body(request)
        if "id" in values:
            raise RefusedError("id stands in the path")
        before = self.store.generation
        taken = self.store.register(read_instance({**values, "id": request.match_info["id"]}), now_ms())
        return self.changed_to(before, taken.generation)

    async def renew(self, request: web.Request) -> web.Response:
        return answer(200, {"generation": self.store.renew(request.match_info["id"], now_ms()).generation})

    async def update(self, request: web.Request) -> web.Response:
        values = await self.body(request)
        if set(values) != {"generation", "lifecycle"} or type(values["generation"]) is not int:
            raise RefusedError("an update has a generation, a whole number, and a lifecycle")
        before, name = self.store.generation, request.match_info["id"]
        taken = self.store.update(name, values["generation"], values["lifecycle"], now_ms())
        return self.changed_to(before, taken.generation)

    async def leave(self, request: web.Request) -> web.Response:
        before = self.store.generation
        return self.changed_to(before, self.store.leave(request.match_info["id"]).generation)
