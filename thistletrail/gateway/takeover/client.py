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
from thistletrail.leasing.work_holder import WorkHolder

log = logging.getLogger(__name__)

RENEWAL_S = WORK_LEASE_MS / 4000  # between renewals at most: three may get lost within a lease
CALL_TIMEOUT_S = WORK_LEASE_MS / 2000  # for an answer: past it the lease service counts as unreachable
FLUSH_POLL_S = 0.01  # between looks for whether all operations are answered, when the gateway ends
# Shares of RENEWAL_S between calls, so that gateways do not call in step, least of all one that is back.
RENEWAL_JITTER = (0.75, 1.0)
RECONNECT_JITTER = (0.25, 1.0)


class LeaseListener(Protocol):
    """Takes what the lease service answers."""

    def on_answer(self, answer: WorkResponse) -> None:
        """The leases are renewed, and the operations of the call are answered."""

    def on_batch_rejected(self, begins: list[WorkOperation]) -> None:
        """The lease service took nothing of a batch in; these begins are not recorded."""


class WorkLeaseClient:
    """The stream to the lease service: one call at a time, to one of its addresses."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        secret: bytes,
        holder: WorkHolder,
        chance: random.Random,
        listener: LeaseListener,
    ) -> None:
        self.addresses = addresses
        self.secret = secret
        self.holder = holder
        self.chance = chance
        self.listener = listener
        self.stream: WorkStream | None = None
        self.address_index = 0
        self.is_unreachable = True  # until the first answer
        self.wakeup = asyncio.Event()

    async def run(self) -> None:
        """Call until cancelled."""
        try:
            while True:
                await self.call()
                await self.pause()
                self.wakeup.clear()
        finally:
            self.close()

    async def pause(self) -> None:
        """Wait until the next call is due, or operations wait for it."""
        if self.is_unreachable:
            await asyncio.sleep(RENEWAL_S * self.chance.uniform(*RECONNECT_JITTER))
        elif not self.holder.queue:
            wait_s = RENEWAL_S * self.chance.uniform(*RENEWAL_JITTER)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wakeup.wait(), wait_s)

    async def call(self) -> None:
        """Renew once, with the operations that wait, and pass the answer on."""
        host, port = self.addresses[self.address_index]
        try:
            answer = await self.exchange()
        except ServiceFullError as error:
            log.warning("the lease service does not record work: %s", error)
            self.listener.on_batch_rejected(self.holder.on_rejected())
            return
        except LeaseServiceUnavailableError as error:
            if not self.is_unreachable:
                log.warning("no answer from the lease service at %s:%d: %s", host, port, error)
            self.use_next_address()
            return
        if self.is_unreachable:
            log.info("work is recorded by the lease service at %s:%d", host, port)
        self.is_unreachable = False
        self.listener.on_answer(answer)

    async def exchange(self) -> WorkResponse:
        """One call and its answer, or a LeaseServiceUnavailableError; a ServiceFullError passes through."""
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
            raise LeaseServiceUnavailableError(str(error) or "it is silent") from error

    def use_next_address(self) -> None:
        """After a failed call: its operations go again, to another address."""
        self.is_unreachable = True
        self.holder.requeue_unanswered()
        self.close()
        self.address_index = (self.address_index + 1) % len(self.addresses)

    def enqueue(self, operation: WorkOperation) -> bool:
        """Send an operation with the next call, which is made at once; whether there was room for it."""
        if not self.holder.enqueue(operation):
            return False
        self.wakeup.set()
        return True

    def wake(self) -> None:
        """Make the next call at once."""
        self.wakeup.set()

    async def flush(self) -> None:
        """Wait until all operations are answered, for one call's time at most."""
        loop = asyncio.get_running_loop()
        end = loop.time() + CALL_TIMEOUT_S
        while (self.holder.queue or self.holder.in_flight) and not self.is_unreachable and loop.time() < end:
            self.wake()
            await asyncio.sleep(FLUSH_POLL_S)

    def close(self) -> None:
        """Close the stream; the next call opens another."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None
