"""Calls the lease service: renews this gateway's work leases and sends its operations in batches."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from typing import Protocol

import h11
import msgspec

from thistletrail.gateway.config import Address
from thistletrail.gateway.errors import LeaseServiceUnavailableError
from thistletrail.leasing.client import WorkStream
from thistletrail.leasing.errors import FrameError, ServiceFullError, ServiceUnavailableError
from thistletrail.leasing.framing import now_ms
from thistletrail.leasing.messages import WORK_LEASE_MS, WorkOperation, WorkResponse
from thistletrail.leasing.work_holder import AppliedOperation, WorkHolder

log = logging.getLogger(__name__)

MAX_RENEWAL_INTERVAL_S = WORK_LEASE_MS / 4000  # four per lease, so that it outlasts lost ones
CALL_TIMEOUT_S = WORK_LEASE_MS / 2000  # after it the lease service counts as unreachable
FLUSH_POLL_INTERVAL_S = 0.01
# Ranges of the factor of MAX_RENEWAL_INTERVAL_S. Jitter prevents gateways from calling all at once, above all
# when the lease service becomes reachable again.
RENEWAL_JITTER = (0.75, 1.0)
RECONNECT_JITTER = (0.25, 1.0)


class LeaseListener(Protocol):
    """Handles the responses of the lease service."""

    def on_response(self, response: WorkResponse) -> None:
        """Handle a response, which renews the lease and has the results of the call's operations."""

    def on_batch_not_persisted(self, begins: list[AppliedOperation]) -> None:
        """Handle a batch that the lease service could not persist; `begins` are not recorded."""


class WorkLeaseClient:
    """A client of the lease service, with one call at a time to one of its addresses."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        secret: bytes,
        holder: WorkHolder,
        rng: random.Random,
        listener: LeaseListener,
    ) -> None:
        self.addresses = addresses
        self.secret = secret
        self.holder = holder
        self.rng = rng
        self.listener = listener
        self.stream: WorkStream | None = None
        self.address_index = 0
        self.is_unreachable = True  # until the first response
        self.is_storage_full = False  # whether the lease service could not persist the last call
        self.wakeup = asyncio.Event()

    async def run(self) -> None:
        """Call the lease service periodically until cancelled, then close the stream."""
        try:
            while True:
                await self.call()
                await self.wait_for_next_call()
                self.wakeup.clear()
        finally:
            self.close()

    async def wait_for_next_call(self) -> None:
        """Wait until the next renewal is due, or operations are queued while the service is reachable.

        Operations that the service could not persist are sent again with the next renewal or new operation.
        """
        if self.is_unreachable:
            await asyncio.sleep(MAX_RENEWAL_INTERVAL_S * self.rng.uniform(*RECONNECT_JITTER))
        elif self.is_storage_full or not self.holder.queue:
            wait_s = MAX_RENEWAL_INTERVAL_S * self.rng.uniform(*RENEWAL_JITTER)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wakeup.wait(), wait_s)

    async def call(self) -> None:
        """Renew the lease once, send queued operations, and pass the response to the listener."""
        host, port = self.addresses[self.address_index]
        try:
            response = await self.send_request()
        except ServiceFullError as error:
            log.warning("the lease service does not record work: %s", error)
            self.is_storage_full = True
            self.listener.on_batch_not_persisted(self.holder.on_not_persisted())
            return
        except LeaseServiceUnavailableError as error:
            if not self.is_unreachable:
                log.warning("no answer from the lease service at %s:%d: %s", host, port, error)
            self.use_next_address()
            return
        if self.is_unreachable:
            log.info("work is recorded by the lease service at %s:%d", host, port)
        self.is_unreachable = False
        self.is_storage_full = False
        self.listener.on_response(response)

    async def send_request(self) -> WorkResponse:
        """Send the next request and return its response.

        Raises:
            LeaseServiceUnavailableError: No usable response arrived within `CALL_TIMEOUT_S`.
            ServiceFullError: The lease service cannot persist the request now.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                self.stream = self.stream or WorkStream(self.addresses[self.address_index], self.secret)
                data = await self.stream.call(self.holder.next_request(now_ms()))
                return msgspec.msgpack.decode(data, type=WorkResponse)
        except ServiceFullError:
            raise
        except (
            OSError,
            TimeoutError,
            ServiceUnavailableError,
            FrameError,
            h11.ProtocolError,
            msgspec.MsgspecError,
        ) as error:
            raise LeaseServiceUnavailableError(
                str(error) or f"{type(error).__name__}, expected a response within {CALL_TIMEOUT_S} s"
            ) from error

    def use_next_address(self) -> None:
        """Queue the operations of a failed call again, and switch to the next address."""
        self.is_unreachable = True
        self.holder.requeue_unanswered()
        self.close()
        self.address_index = (self.address_index + 1) % len(self.addresses)

    def enqueue(self, operation: WorkOperation) -> bool:
        """Queue an operation, and start the next call as `wake` does; return False if the queue is full."""
        if not self.holder.enqueue(operation):
            return False
        self.wakeup.set()
        return True

    def wake(self) -> None:
        """Start the next call without waiting; no effect while the lease service is unreachable."""
        self.wakeup.set()

    async def flush(self) -> None:
        """Wait until all operations have results, or the lease service counts as unreachable.

        Waits for `CALL_TIMEOUT_S` at most.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + CALL_TIMEOUT_S
        while (
            (self.holder.queue or self.holder.in_flight) and not self.is_unreachable and loop.time() < end_s
        ):
            self.wake()
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close the stream, if it is open; the next call opens a new one."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None
