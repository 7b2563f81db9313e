"""A read replica: serves the endpoint list of another registry, which it watches, with the same generations.

While the source is unreachable, the follower serves the list that it received last, and reports its age. A
follower can follow another follower. Its instances and its history have the same bounds as the primary's.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import replace
from http import HTTPStatus

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout, web

from thistletrail.registry.backoff import full_jitter_s
from thistletrail.registry.errors import MalformedResponseError, RegistryError, UnavailableError
from thistletrail.registry.http_service import (
    READ_PATH,
    RENEW_PATH,
    WRITE_PATH,
    ReadService,
    background_task,
    json_error,
    monotonic_ms,
)
from thistletrail.registry.instance import Instance, Lifecycle
from thistletrail.registry.limits import MAX_HISTORY, NO_GENERATION
from thistletrail.registry.watch_update import WatchUpdate, decode_update, update_since

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0

READ_TIMEOUT_S = 5.0
"""A source sends an empty line every 2 s, so a watch without any data for this long is dead."""

BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
"""Base and maximum of the backoff between attempts, which has full jitter."""

MAX_RETRY_AFTER_S = 30.0
"""Maximum delay accepted from `Retry-After`: the time for which the source retains expired leases."""

MAX_LINE_BYTES = 4 << 20
"""Maximum length of a line: that of the complete endpoint list with `MAX_INSTANCES`."""


class RetryLaterError(RegistryError):
    """The source has no endpoint list yet; a retry can succeed after `retry_after_s` seconds."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"the source has no endpoint list for another {retry_after_s:g} s")
        self.retry_after_s = retry_after_s


class Replica:
    """The endpoint list built from the updates of a source, and the history of these updates."""

    def __init__(self) -> None:
        self.generation = NO_GENERATION
        self.floor = NO_GENERATION
        """The generation before the oldest change in `history`."""
        self.instances: dict[str, Instance] = {}
        self.history: deque[Instance] = deque()
        """The changes after `floor`, each with the generation of the update that contained it."""

    def full_update(self) -> WatchUpdate:
        """Return the complete endpoint list."""
        return WatchUpdate(self.generation, True, tuple(self.instances.values()))

    def update_after(self, generation: int) -> WatchUpdate:
        """Return the changes after `generation`, or the complete list if no retained update ended with it."""
        update = update_since(self.history, self.floor, self.generation, generation)
        return update or self.full_update()

    def apply(self, update: WatchUpdate) -> bool:
        """Apply an update of the source; return whether the generation changed.

        A complete list replaces everything, even at a lower generation: it may belong to another history.
        Changes up to the generation of the replica are ignored.
        """
        if update.is_reset:
            return self._reset(update)
        if update.generation <= self.generation:
            return False
        self.generation = update.generation
        for instance in update.instances:
            self.instances.pop(instance.id, None)
            if instance.lifecycle != Lifecycle.DELETED:
                self.instances[instance.id] = instance
            self.history.append(replace(instance, generation=update.generation))
        self._trim_history()
        return True

    def _reset(self, update: WatchUpdate) -> bool:
        is_same_generation = update.generation == self.generation
        self.generation = update.generation
        self.floor = update.generation
        self.instances = {
            instance.id: instance for instance in update.instances if instance.lifecycle != Lifecycle.DELETED
        }
        self.history.clear()
        return not is_same_generation

    def _trim_history(self) -> None:
        """Drop the oldest updates, always complete ones: no reader resumes in the middle of an update."""
        while len(self.history) > MAX_HISTORY:
            self.floor = self.history[0].generation
            while self.history and self.history[0].generation == self.floor:
                self.history.popleft()


class Follower(ReadService):
    """Serves reads from a replica, which a watch of `source` (HOST:PORT) updates."""

    def __init__(self, source: str, generator: random.Random | None = None) -> None:
        """Create an empty replica of `source`; `generator` draws the jitter of the backoff."""
        self.replica = Replica()
        super().__init__(self.replica)
        self.source = source
        self._random = generator or random.Random()
        self._received_ms: int | None = None
        """Monotonic time of the last line from the source, empty ones included; None before the first."""
        for path in (WRITE_PATH, RENEW_PATH):
            self.app.router.add_route("*", path, self._reject_write)
        self.app.cleanup_ctx.append(self._run_watch)

    async def _run_watch(self, _: web.Application) -> AsyncIterator[None]:
        """Watch the source while the application runs."""
        async with background_task(self.follow()):
            yield

    def age_ms(self) -> int:
        """Return the milliseconds since the last line from the source, or 0 before the first.

        If the source is itself a follower, the age of its own list is not included.
        """
        if self._received_ms is None:
            return 0
        return monotonic_ms() - self._received_ms

    def require_available(self) -> None:
        """Raise `UnavailableError` until the first endpoint list has been received."""
        if self.replica.generation == NO_GENERATION:
            raise UnavailableError("no endpoint list has been received yet")

    def status_fields(self) -> dict[str, object]:
        """Return the role, the source and the number of instances."""
        return {"role": "follower", "source": self.source, "instances": len(self.replica.instances)}

    async def _reject_write(self, _: web.Request) -> web.Response:
        return json_error(HTTPStatus.FORBIDDEN, f"this is a follower: write to {self.source}")

    async def follow(self) -> None:
        """Watch the source until cancelled; when a watch ends, resume at the generation that it reached."""
        failures = 0
        timeout = ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S)
        async with ClientSession(read_bufsize=MAX_LINE_BYTES, timeout=timeout) as session:
            while True:
                received_before_ms = self._received_ms
                retry_after_s = 0.0
                try:
                    await self._watch_source(session)
                except RetryLaterError as error:
                    log.warning(
                        "%s has no endpoint list for another %.0f s", self.source, error.retry_after_s
                    )
                    failures = 0
                    retry_after_s = error.retry_after_s
                except (ClientError, OSError, TimeoutError, ValueError, RegistryError) as error:
                    log.warning("the watch of %s ended: %s", self.source, str(error) or type(error).__name__)
                failures = 0 if self._received_ms != received_before_ms else failures + 1
                jitter_s = full_jitter_s(self._random, failures, BACKOFF_S, MAX_BACKOFF_S)
                await asyncio.sleep(retry_after_s + jitter_s)

    async def _watch_source(self, session: ClientSession) -> None:
        """Apply the updates of one watch until it ends."""
        generation = self.replica.generation
        after = "" if generation == NO_GENERATION else str(generation)
        async with session.get(f"http://{self.source}{READ_PATH}?watch=1&after={after}") as response:
            _check_watch_response(response)
            async for line in response.content:
                if line.strip() and self.replica.apply(decode_update(line)):
                    self.notify_watchers()
                self._received_ms = monotonic_ms()


def _check_watch_response(response: ClientResponse) -> None:
    """Raise `RetryLaterError` for 503 with `Retry-After`, `MalformedResponseError` for others except 200."""
    retry_after = response.headers.get("Retry-After", "")
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE and retry_after.isdecimal():
        raise RetryLaterError(min(MAX_RETRY_AFTER_S, float(retry_after)))
    if response.status != HTTPStatus.OK:
        raise MalformedResponseError(f"expected status 200 from {response.url}, found {response.status}")
