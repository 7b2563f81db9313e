"""A scan server's side of the list service: registers, renews with jitter, drains and leaves.

For an asyncio program: `await start()`, `await drain()`, `await leave()`. Renewing goes on in a task of its
own for as long as the service cannot be reached, and registers anew where the service has forgotten it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import random
from collections.abc import Mapping
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

log = logging.getLogger(__name__)

# A third of the lease: two renewals may get lost. Jitter of a quarter of that spreads a fleet's renewals.
RENEW_SHARE, JITTER = 1 / 3, 0.25
CALL_S = 2.0  # for one call; a lease is longer than several of them
BACKOFF_S, MOST_BACKOFF_S = 0.2, 5.0  # between tries, of full jitter
TRIES = 5  # of a drain or a leave before it is given up: the lease ends it in any case


class RegistrationError(Exception):
    """The service refuses: one sentence of its own."""


class Registration:
    """One instance at a list service."""

    def __init__(
        self, service: str, name: str, values: Mapping[str, Any], chance: random.Random | None = None
    ) -> None:
        """`service` is its HOST:PORT; `values` are those of a registration (docs/registry.md)."""
        self.base, self.values = f"http://{service}/instances/{name}", dict(values)
        self.lease_s = float(values.get("lease_ms", 10_000)) / 1000
        self.random = chance or random.Random()
        # A service that has lost its list tells none until all can have registered: by their next renewal.
        self.longest_s = min(MOST_BACKOFF_S, self.lease_s * RENEW_SHARE)
        self.generation = -1  # of the last change that the service has told of
        self.session: ClientSession | None = None
        self.renewing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Register, trying for as long as the service cannot be reached; then renew in the background.

        What the service refuses is a RegistrationError, as trying again would not help."""
        self.session = ClientSession(timeout=ClientTimeout(CALL_S))
        await self.call_until_heard("PUT", "", self.values)
        self.renewing = asyncio.create_task(self.renew())

    async def drain(self) -> None:
        """Tell that nothing new is wanted; by what the service says it has, where that has changed."""
        for _ in range(TRIES):
            status, _ = await self.call_until_heard(
                "PATCH", "", {"generation": self.generation, "lifecycle": "DRAINING"}, TRIES, (200, 404, 409)
            )
            if status != 409:
                return
            await self.call_until_heard("POST", "/renew", None, TRIES)  # learns the generation

    async def leave(self) -> None:
        """Tell that it goes, and stop renewing. One that the service has forgotten has gone already."""
        await self.stop()
        if self.session is not None:
            try:
                await self.call_until_heard("DELETE", "", None, TRIES, (200, 404))
            finally:
                await self.close()

    async def stop(self) -> None:
        if self.renewing is not None:
            self.renewing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.renewing
            self.renewing = None

    async def close(self) -> None:
        """Let go of all without a word, as a process that dies: the lease ends it."""
        await self.stop()
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def renew(self) -> None:
        while True:
            part = self.lease_s * RENEW_SHARE
            await asyncio.sleep(part * (1 - JITTER * self.random.random()))
            try:
                status, _ = await self.call_until_heard("POST", "/renew", None, allowed=(200, 404))
                if status == 404:  # the service has lost its data, or took the silence for a death
                    log.warning("the list service does not know this instance: it registers again")
                    await self.call_until_heard("PUT", "", self.values)
            except RegistrationError as error:
                log.error("the list service refuses: %s", error)

    async def call_until_heard(
        self,
        method: str,
        path: str,
        values: Mapping[str, Any] | None,
        tries: int = 0,
        allowed: tuple[int, ...] = (200,),
    ) -> tuple[int, dict[str, Any]]:
        """Call until there is an answer, so many times (0: for good). Another than those allowed is a
        RegistrationError; a 5xx counts as none."""
        count = 0
        while True:
            count += 1
            try:
                status, said = await self.call(method, path, values)
                if status < 500:
                    break
                reason = str(said.get("error", status))
            except (ClientError, OSError, TimeoutError, ValueError) as error:
                reason = str(error) or type(error).__name__
            if tries and count >= tries:
                raise RegistrationError(f"no answer in {tries} tries: {reason}")
            log.warning("the list service cannot be reached: %s", reason)
            await asyncio.sleep(self.random.uniform(0, min(self.longest_s, BACKOFF_S * 2 ** min(count, 10))))
        if status not in allowed:
            raise RegistrationError(str(said.get("error", f"it answered {status}")))
        if status == 200 and type(said.get("generation")) is int:
            self.generation = said["generation"]
        return status, said

    async def call(
        self, method: str, path: str, values: Mapping[str, Any] | None
    ) -> tuple[int, dict[str, Any]]:
        if self.session is None:
            raise RegistrationError("it is closed")
        async with self.session.request(method, self.base + path, json=values) as answer:
            said = json.loads(await answer.text())
            return answer.status, said if isinstance(said, dict) else {}
