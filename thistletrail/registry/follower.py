"""A follower: the same list under the same generations, from a watch of another service, for reading only.

It holds what it was told last for as long as the other is away, and says how old that may be. It follows a
follower as well as a first one. What it holds is bounded as the first one's list and history are.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import random
from collections import deque
from dataclasses import replace
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from thistletrail.registry.http_service import READ_PATH, WRITE_PATH, Reader, UnavailableError, now_ms
from thistletrail.registry.store import (
    DELETED,
    DRAINING,
    MOST_GENERATION,
    MOST_HISTORY,
    MOST_INSTANCES,
    SERVING,
    Instance,
    News,
    RefusedError,
    read_instance,
    since,
)

log = logging.getLogger(__name__)

CONNECT_S = 1.0
SILENT_S = 5.0  # an empty line comes every 2 s; a watch that is silent for longer is dead
BACKOFF_S, MOST_BACKOFF_S = 0.2, 5.0  # between tries, of full jitter: followers do not come back together
MOST_LATER_S = 30.0  # that one waits because the other says so: as long as it keeps leases in doubt
LINE_BYTES = 4 << 20  # of the whole list of MOST_INSTANCES


class LaterError(Exception):
    """The other has nothing to tell yet, and says when it will have."""

    def __init__(self, after_s: float) -> None:
        super().__init__(f"in {after_s:g} s")
        self.after_s = after_s


class Copy:
    """What a follower holds: each message of the other, and the list that they make together."""

    def __init__(self) -> None:
        self.generation = self.floor = -1  # none yet
        self.instances: dict[str, Instance] = {}
        self.history: deque[Instance] = deque()  # each with the generation of the message that it came in

    def whole(self) -> News:
        return News(self.generation, True, tuple(self.instances.values()))

    def after(self, generation: int) -> News:
        """What came since; the whole list for a reader at a generation that no message ended with."""
        return since(self.history, self.floor, self.generation, generation) or self.whole()

    def take(self, news: News) -> bool:
        """Take over a message: whether it was newer. A whole list replaces all, whatever its generation, as
        that of another history does; changes older than what is held are passed over."""
        if news.reset:
            same = news.generation == self.generation
            self.generation = self.floor = news.generation
            self.instances = {one.id: one for one in news.instances if one.lifecycle != DELETED}
            self.history.clear()
            return not same
        if news.generation <= self.generation:
            return False
        self.generation = news.generation
        for one in news.instances:
            self.instances.pop(one.id, None)
            if one.lifecycle != DELETED:
                self.instances[one.id] = one
            self.history.append(replace(one, generation=news.generation))
        while len(self.history) > MOST_HISTORY:  # a message goes as a whole: nobody resumes within one
            self.floor = self.history[0].generation
            while self.history and self.history[0].generation == self.floor:
                self.history.popleft()
        return True


def read_news(line: bytes) -> News:
    """A message of a watch; one that makes no sense is a RefusedError."""
    try:
        value = json.loads(line)
        generation, reset, entries = value["generation"], value["reset"], value["instances"]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise RefusedError("this is no message of a watch") from error
    fits = type(generation) is int and 0 <= generation <= MOST_GENERATION and type(reset) is bool
    if not fits or not isinstance(entries, list) or len(entries) > MOST_INSTANCES + MOST_HISTORY:
        raise RefusedError("this is no message of a watch")
    return News(generation, reset, tuple(read_entry(entry, generation) for entry in entries))


def read_entry(entry: object, generation: int) -> Instance:
    if not isinstance(entry, dict) or entry.get("lifecycle") not in (SERVING, DRAINING, DELETED):
        raise RefusedError("an entry makes no sense")
    names = {
        "instanceId": "id",
        "hostPort": "address",
        "zone": "zone",
        "machineType": "machine_type",
        "cell": "cell",
        "weight": "weight",
        "startedAtMs": "started_ms",
    }
    instance = read_instance({mine: entry[theirs] for theirs, mine in names.items() if theirs in entry})
    return replace(instance, lifecycle=entry["lifecycle"], generation=generation)


class Follower(Reader):
    """Serves the copy, and keeps it by a watch of `source` (HOST:PORT)."""

    def __init__(self, source: str, chance: random.Random | None = None) -> None:
        self.copy = Copy()
        super().__init__(self.copy)
        self.source, self.random = source, chance or random.Random()
        self.heard_ms: int | None = None  # when the other was heard last; an empty line counts
        for path in (WRITE_PATH, f"{WRITE_PATH}/renew"):
            self.app.router.add_route("*", path, self.refuse)
        self.app.cleanup_ctx.append(self.running)

    async def running(self, _: web.Application) -> Any:  # noqa: ANN401 - aiohttp's context
        following = asyncio.create_task(self.follow())
        yield
        following.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await following

    def age_ms(self) -> int:
        """Since the other was heard: what it holds may be as old as that, and as the other's own is."""
        return 0 if self.heard_ms is None else now_ms() - self.heard_ms

    def ready(self) -> None:
        if self.copy.generation < 0:
            raise UnavailableError("no list has come yet")

    def described(self) -> dict[str, Any]:
        return {"role": "follower", "source": self.source, "instances": len(self.copy.instances)}

    async def refuse(self, _: web.Request) -> web.Response:
        return web.json_response({"error": f"this is a follower: write to {self.source}"}, status=403)

    async def follow(self) -> None:
        """Watch the other for good; a watch that ends begins again where it ended."""
        tries, later_s = 0, 0.0
        async with ClientSession(
            read_bufsize=LINE_BYTES,
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_S, sock_read=SILENT_S),
        ) as session:
            while True:
                before, later_s = self.heard_ms, 0.0
                try:
                    await self.listen(session)
                except LaterError as error:
                    log.warning("%s has no list yet, and will in %.0f s", self.source, error.after_s)
                    tries, later_s = 0, error.after_s
                except (ClientError, OSError, TimeoutError, ValueError, RefusedError) as error:
                    log.warning("the watch of %s ended: %s", self.source, str(error) or type(error).__name__)
                tries = 0 if self.heard_ms != before else tries + 1
                longest = min(MOST_BACKOFF_S, BACKOFF_S * 2 ** min(tries, 10))
                await asyncio.sleep(later_s + self.random.uniform(0, longest))

    async def listen(self, session: ClientSession) -> None:
        after = "" if self.copy.generation < 0 else str(self.copy.generation)
        async with session.get(f"http://{self.source}{READ_PATH}?watch=1&after={after}") as answer:
            if answer.status == 503 and (after := answer.headers.get("Retry-After", "")).isdecimal():
                raise LaterError(min(MOST_LATER_S, float(after)))
            if answer.status != 200:
                raise RefusedError(f"it answered {answer.status}")
            async for line in answer.content:
                if line.strip() and self.copy.take(read_news(line)):
                    self.wake()
                self.heard_ms = now_ms()
