"""The registry client of an instance: registers it, renews its lease, drains and deregisters it.

An asyncio program calls `await registration.start()`, `await registration.drain()` and `await
registration.deregister()`. A background task renews the lease, retries while the registry is unreachable, and
registers the instance again if the registry no longer knows it.
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
"""Renewal interval as a fraction of the lease: the lease survives the loss of two renewals."""

RENEWAL_JITTER = 0.25
"""Maximum fraction by which jitter shortens a renewal interval, so that a fleet's renewals spread out."""

REQUEST_TIMEOUT_S = 2.0
"""Time limit of one attempt, a fifth of the default lease."""

BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
"""Base and maximum of the backoff between attempts, which has full jitter."""

MAX_ATTEMPTS = 5
"""Maximum attempts of a drain or a deregistration; if all fail, the registration ends with its lease."""

UNLIMITED_ATTEMPTS = 0
"""Value of `max_attempts` for retries without a limit."""


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Values of a registration (docs/registry.md); for None the registry uses its default."""

    address: str
    zone: str
    machine_type: str
    cell: int | None = None
    weight: float | None = None
    started_ms: int | None = None
    lease_ms: int | None = None

    def to_json(self) -> dict[str, object]:
        """Return the request body of a registration, without the values that are None."""
        return {key: value for key, value in asdict(self).items() if value is not None}


@dataclass(frozen=True, slots=True)
class RegistryResponse:
    """A response of the registry: status, generation of the instance and error text; None if absent."""

    status: int
    generation: int | None = None
    error: str | None = None


class Registration:
    """The registration of one instance at one registry.

    `generation` is the generation of the instance in the last successful response of the registry, and
    `NO_GENERATION` before the first.
    """

    def __init__(
        self,
        registry_address: str,
        instance_id: str,
        settings: InstanceSettings,
        generator: random.Random | None = None,
    ) -> None:
        """Prepare a registration; `registry_address` is HOST:PORT, `generator` draws all jitter."""
        self.generation = NO_GENERATION
        self._url = f"http://{registry_address}/instances/{instance_id}"
        self._settings = settings
        lease_ms = DEFAULT_LEASE_MS if settings.lease_ms is None else settings.lease_ms
        self.renewal_interval_s = lease_ms / MS_PER_SECOND * RENEWAL_FRACTION
        """Time between two renewals before jitter shortens it."""
        self._random = generator or random.Random()
        # A registry that lost its data rejects reads until all instances have had time to register again.
        # They do so at their next renewal, so a longer backoff would come too late.
        self._max_backoff_s = min(MAX_BACKOFF_S, self.renewal_interval_s)
        self._session: ClientSession | None = None
        self._renewal_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Register, with retries until the registry answers, then renew in the background.

        Raises `RegistrationRejectedError` if the registry rejects the registration.
        """
        self._session = ClientSession(timeout=ClientTimeout(REQUEST_TIMEOUT_S))
        await self._register()
        self.start_renewing()

    def start_renewing(self) -> None:
        """Start the background renewal, which `stop_renewing`, `deregister` and `aclose` stop."""
        self._renewal_task = asyncio.create_task(self._renew_forever())

    async def stop_renewing(self) -> None:
        """Cancel the background renewal and wait until it has ended; no effect if there is none."""
        if self._renewal_task is None:
            return
        self._renewal_task.cancel()
        await asyncio.wait([self._renewal_task])
        self._renewal_task = None

    async def drain(self) -> None:
        """Set the instance to `DRAINING`, whatever its current generation is.

        No effect if the registry does not know the instance. Raises `RegistrationError` if the registry
        cannot be reached or rejects the drain.
        """
        for _ in range(MAX_ATTEMPTS):
            body = {"generation": self.generation, "lifecycle": Lifecycle.DRAINING}
            response = await self.request(
                "PATCH", "", body, MAX_ATTEMPTS, (HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT)
            )
            if response.status != HTTPStatus.CONFLICT:
                return
            # Another client changed the instance; the response to a renewal has its current generation.
            await self.renew(MAX_ATTEMPTS)

    async def deregister(self) -> None:
        """Stop renewing and delete the instance; no effect if the registry no longer knows it.

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
        """Stop without deregistering, as a process that crashes does: the lease then expires."""
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
        """Repeat a request until the registry answers with a status below 500, and return that response.

        Raises `RegistryUnreachableError` after `max_attempts` attempts, and `RegistrationRejectedError` for a
        status that is not in `accepted`.
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
        """Send one request to the URL of the instance extended by `path`, and return the response.

        Raises `RegistrationError` if the registration is closed, `aiohttp.ClientError`, `OSError` or
        `TimeoutError` if there is no response, and `ValueError` if that is not JSON.
        """
        if self._session is None:
            raise RegistrationError(
                f"{method} {self._url}{path}: the registration is not started or is closed"
            )
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
                    # The registry lost its data, or the lease expired because renewals did not arrive.
                    log.warning("the registry does not know this instance: it registers again")
                    await self._register()
            except RegistrationError as error:
                # The message is the text that the registry sent; a traceback would add nothing.
                log.error("the registry rejects this instance: %s", error)


def _decode_response(status: int, text: str) -> RegistryResponse:
    """Return the response with this JSON body; raises `ValueError` if the body is not JSON."""
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
