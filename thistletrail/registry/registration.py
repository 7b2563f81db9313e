"""The registry's client for an instance: it registers, renews its lease, drains and deregisters.

For an asyncio program: `await registration.start()`, `await registration.drain()`, `await
registration.deregister()`. A background task renews the lease, also while the registry cannot be reached, and
registers again when the registry does not know the instance any more.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Collection, Mapping
from dataclasses import asdict, dataclass
from http import HTTPStatus

from aiohttp import ClientError, ClientSession, ClientTimeout

from thistletrail.registry.backoff import full_jitter_s
from thistletrail.registry.errors import (
    RegistrationError,
    RegistrationRejectedError,
    RegistryUnreachableError,
)
from thistletrail.registry.instance import DEFAULT_LEASE_MS, Lifecycle
from thistletrail.registry.limits import MS_PER_SECOND, NO_GENERATION

log = logging.getLogger(__name__)

RENEWAL_FRACTION = 1 / 3
"""Of the lease, after which it is renewed: two renewals may get lost."""

RENEWAL_JITTER = 0.25
"""Of the renewal interval, by which it is shortened at random, so that a fleet's renewals spread out."""

CALL_TIMEOUT_S = 2.0
"""For one call; a lease is longer than several of them."""

BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
"""Bounds of the delay between attempts, drawn with full jitter."""

MAX_ATTEMPTS = 5
"""Of a drain or a deregistration before it is given up: the lease then ends the registration."""

UNLIMITED_ATTEMPTS = 0


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """What an instance registers with (docs/registry.md). None leaves a value to the registry's default."""

    address: str
    zone: str
    machine_type: str
    cell: int | None = None
    weight: float | None = None
    started_ms: int | None = None
    lease_ms: int | None = None

    def to_json(self) -> dict[str, object]:
        """Return the body of a registration."""
        return {key: value for key, value in asdict(self).items() if value is not None}


@dataclass(frozen=True, slots=True)
class RegistryResponse:
    """An answer of the registry: the status, the generation of the instance, and the error text, if any."""

    status: int
    generation: int | None = None
    error: str | None = None


class Registration:
    """The registration of one instance at one registry.

    `generation` is the instance's as the registry answered last, `NO_GENERATION` before the first answer.
    """

    def __init__(
        self,
        registry_address: str,
        instance_id: str,
        settings: InstanceSettings,
        generator: random.Random | None = None,
    ) -> None:
        """`registry_address` is HOST:PORT; `generator` draws the jitter of renewals and retries."""
        self.generation = NO_GENERATION
        self._url = f"http://{registry_address}/instances/{instance_id}"
        self._settings = settings
        lease_ms = DEFAULT_LEASE_MS if settings.lease_ms is None else settings.lease_ms
        self.renewal_interval_s = lease_ms / MS_PER_SECOND * RENEWAL_FRACTION
        """Seconds between two renewals, before jitter shortens them."""
        self._random = generator or random.Random()
        # A registry that has lost its data answers no reads until all instances can have registered again,
        # which is by their next renewal.
        self._max_backoff_s = min(MAX_BACKOFF_S, self.renewal_interval_s)
        self._session: ClientSession | None = None
        self._renewal_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Register, retrying for as long as the registry cannot be reached; then renew in the background.

        Raises `RegistrationRejectedError` if the registry rejects the registration.
        """
        self._session = ClientSession(timeout=ClientTimeout(CALL_TIMEOUT_S))
        await self._register()
        self.start_renewing()

    def start_renewing(self) -> None:
        """Renew in the background until `stop_renewing`, `deregister` or `aclose`."""
        self._renewal_task = asyncio.create_task(self._renew_forever())

    async def stop_renewing(self) -> None:
        """Cancel the background renewal and wait for its end; no effect if there is none."""
        if self._renewal_task is None:
            return
        self._renewal_task.cancel()
        await asyncio.wait([self._renewal_task])
        self._renewal_task = None

    async def drain(self) -> None:
        """Set the instance to `DRAINING`, whatever its generation is by now.

        Raises `RegistrationError` if the registry cannot be reached or rejects it. An instance that the
        registry does not know is left alone.
        """
        for _ in range(MAX_ATTEMPTS):
            body = {"generation": self.generation, "lifecycle": Lifecycle.DRAINING}
            response = await self.request(
                "PATCH", "", body, MAX_ATTEMPTS, (HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT)
            )
            if response.status != HTTPStatus.CONFLICT:
                return
            # Somebody else changed the instance: the renewal answers with its generation.
            await self.renew(MAX_ATTEMPTS)

    async def deregister(self) -> None:
        """Stop renewing and delete the instance; no effect if the registry does not know it any more.

        Raises `RegistrationError` if the registry cannot be reached. A second call has no effect.
        """
        await self.stop_renewing()
        if self._session is None:
            return
        try:
            await self.request("DELETE", "", None, MAX_ATTEMPTS, (HTTPStatus.OK, HTTPStatus.NOT_FOUND))
        finally:
            await self.aclose()

    async def aclose(self) -> None:
        """Stop without deregistering, like a process that dies: the lease then expires."""
        await self.stop_renewing()
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def renew(
        self, max_attempts: int = UNLIMITED_ATTEMPTS, accepted: Collection[int] = (HTTPStatus.OK,)
    ) -> RegistryResponse:
        """Renew the lease once; the parameters and errors are those of `request`."""
        return await self.request("POST", "/renew", None, max_attempts, accepted)

    async def request(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        max_attempts: int = UNLIMITED_ATTEMPTS,
        accepted: Collection[int] = (HTTPStatus.OK,),
    ) -> RegistryResponse:
        """Repeat a call until the registry answers with a status below 500, and return the answer.

        Raises `RegistryUnreachableError` after `max_attempts`, and `RegistrationRejectedError` for a status
        that is not in `accepted`.
        """
        response = await self._request_until_answered(method, path, body, max_attempts)
        if response.status not in accepted:
            raise RegistrationRejectedError(response.error or f"the registry answered {response.status}")
        if response.status == HTTPStatus.OK and response.generation is not None:
            self.generation = response.generation
        return response

    async def _request_until_answered(
        self, method: str, path: str, body: Mapping[str, object] | None, max_attempts: int
    ) -> RegistryResponse:
        attempts = 0
        while True:
            attempts += 1
            try:
                response = await self.request_once(method, path, body)
                if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                    return response
                reason = response.error or str(response.status)
            except (ClientError, OSError, TimeoutError, ValueError) as error:
                reason = str(error) or type(error).__name__
            if max_attempts != UNLIMITED_ATTEMPTS and attempts >= max_attempts:
                raise RegistryUnreachableError(f"no answer in {max_attempts} attempts: {reason}")
            log.warning("the registry cannot be reached: %s", reason)
            await asyncio.sleep(full_jitter_s(self._random, attempts, BACKOFF_S, self._max_backoff_s))

    async def request_once(
        self, method: str, path: str, body: Mapping[str, object] | None
    ) -> RegistryResponse:
        """Send one request to the path behind the instance's; raises aiohttp's errors, or `ValueError`."""
        if self._session is None:
            raise RegistrationError("the registration is closed")
        async with self._session.request(method, self._url + path, json=body) as response:
            return _decode_response(response.status, await response.text())

    async def _register(self) -> None:
        await self.request("PUT", "", self._settings.to_json())

    async def _renew_forever(self) -> None:
        while True:
            await asyncio.sleep(self.renewal_interval_s * (1 - RENEWAL_JITTER * self._random.random()))
            try:
                response = await self.renew(accepted=(HTTPStatus.OK, HTTPStatus.NOT_FOUND))
                if response.status == HTTPStatus.NOT_FOUND:
                    # The registry has lost its data, or the lease expired while renewals did not arrive.
                    log.warning("the registry does not know this instance: it registers again")
                    await self._register()
            except RegistrationError as error:
                # The message is the sentence of the registry: a traceback would add nothing.
                log.error("the registry rejects this instance: %s", error)


def _decode_response(status: int, text: str) -> RegistryResponse:
    """Decode a JSON body; raises `ValueError` if it is not JSON."""
    value = json.loads(text)
    if not isinstance(value, dict):
        return RegistryResponse(status)
    generation = value.get("generation")
    error = value.get("error")
    return RegistryResponse(
        status=status,
        generation=generation if type(generation) is int else None,
        error=None if error is None else str(error),
    )
