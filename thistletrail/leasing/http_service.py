"""HTTP interface of the lease service: signed calls, whose effects are journaled before the response."""

from __future__ import annotations

import asyncio
import hmac
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

import msgspec
from aiohttp import web

from thistletrail.leasing.committer import Committer
from thistletrail.leasing.config import Config
from thistletrail.leasing.errors import FrameError, LeadershipLostError, RequestRejectedError
from thistletrail.leasing.framing import (
    RENEW_PATH,
    SIGNATURE_HEADER,
    STATUS_FULL,
    STATUS_REJECTED,
    WORK_PATH,
    Frame,
    FrameReader,
    encode_frame,
    now_ms,
    sign,
)
from thistletrail.leasing.journal import Journal
from thistletrail.leasing.messages import RenewRequest, WorkRequest
from thistletrail.leasing.receive_budget import IncompleteCall, ReceiveBudget
from thistletrail.leasing.work_records import WorkOutcome
from thistletrail.write_ahead_log.record_file import WriteFailedError

log = logging.getLogger(__name__)

MAX_RENEW_BYTES = 1 << 19  # fits 2,000 budgets with names of 120 characters
MAX_WORK_BYTES = 8 << 20  # fits 500 operations of some kilobytes each, or tens of the largest requests
MAX_STREAMS = 1000  # concurrent work streams: five times the largest fleet

HTTP_BAD_REQUEST = 400
HTTP_SERVICE_UNAVAILABLE = 503
HTTP_INSUFFICIENT_STORAGE = 507


@web.middleware
async def errors_as_responses(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Turn an expected error into a response with its status and one line of text."""
    try:
        return await handler(request)
    except RequestRejectedError as error:
        return web.Response(status=HTTP_BAD_REQUEST, text=f"{error}\n")
    except WriteFailedError as error:
        return web.Response(
            status=HTTP_INSUFFICIENT_STORAGE, text=f"the grant cannot be persisted: {error}\n"
        )
    except LeadershipLostError as error:
        return web.Response(status=HTTP_SERVICE_UNAVAILABLE, text=f"{error}\n")


def disconnect(request: web.Request, buffer: bytearray) -> None:
    """Close the connection of a call at once, and free what has been received."""
    buffer.clear()
    if request.transport is not None:
        request.transport.abort()


async def read_body(request: web.Request, call: IncompleteCall, buffer: bytearray, max_bytes: int) -> None:
    """Read the body of a call into a buffer.

    Raises:
        HTTPRequestEntityTooLarge: It has more than `max_bytes` (413).
        HTTPRequestTimeout: It is not complete in time (408).
    """
    try:
        while not request.content.at_eof():
            async with call.time_limit():
                buffer += await request.content.readany()
            if len(buffer) > max_bytes:
                raise web.HTTPRequestEntityTooLarge(max_size=max_bytes, actual_size=len(buffer))
            call.resize(len(buffer))
    except TimeoutError as error:
        raise web.HTTPRequestTimeout from error


class LeaseService:
    """The HTTP application of one term of the lease service.

    `app` is the aiohttp application, whose cleanup closes the journal. `leadership_lost` is set once another
    process leads, by the committer or by the heartbeat.
    """

    def __init__(
        self, journal: Journal, config: Config, secret: bytes, leadership_lost: asyncio.Event
    ) -> None:
        """Read the journal of the previous term, which may take long.

        Raises:
            CorruptFileError: That journal is damaged.
        """
        self.secret = secret
        self.committer = Committer(journal, config, leadership_lost)
        self.receive_budget = ReceiveBudget()
        self.stream_count = 0
        self.app = web.Application(middlewares=[errors_as_responses])
        self.app.add_routes(
            [
                web.post(RENEW_PATH, self.on_renew),
                web.post(WORK_PATH, self.on_work_stream),
                web.get("/status", self.on_status),
                web.get("/parked", self.on_parked),
            ]
        )
        self.app.cleanup_ctx.append(self.background_tasks)

    async def background_tasks(self, _: web.Application) -> AsyncIterator[None]:
        """Run the committer from the application's start to its cleanup."""
        async with self.committer.running():
            yield

    # --- calls ---

    def check_signature(self, request: web.Request, body: bytes) -> None:
        """Raise HTTPForbidden (403) unless a body is signed by the shared secret."""
        if not hmac.compare_digest(request.headers.get(SIGNATURE_HEADER, ""), sign(self.secret, body)):
            raise web.HTTPForbidden(text="not signed by the shared secret\n")

    async def on_renew(self, request: web.Request) -> web.Response:
        """Handle a renewal of a holder's budget leases."""
        buffer = bytearray()
        with self.receive_budget.receiving(partial(disconnect, request, buffer)) as call:
            await read_body(request, call, buffer, MAX_RENEW_BYTES)
        body = bytes(buffer)
        self.check_signature(request, body)
        try:
            renewal = msgspec.msgpack.decode(body, type=RenewRequest)
        except msgspec.MsgspecError as error:
            raise RequestRejectedError(f"not a renewal request: {error}") from error
        if self.committer.is_overloaded:
            return web.Response(status=HTTP_SERVICE_UNAVAILABLE, text="too many requests wait\n")
        encoded = msgspec.msgpack.encode(await self.committer.submit(renewal))
        return web.Response(
            body=encoded,
            content_type="application/msgpack",
            headers={SIGNATURE_HEADER: sign(self.secret, encoded)},
        )

    async def on_work_stream(self, request: web.Request) -> web.StreamResponse:
        """Answer each frame of a gateway's work stream; an invalid frame ends the stream."""
        if self.stream_count >= MAX_STREAMS:
            return web.Response(status=HTTP_SERVICE_UNAVAILABLE, text="too many calls\n")
        response = web.StreamResponse()
        self.stream_count += 1
        try:
            await self.answer_frames(request, response)
        except FrameError as error:
            log.warning("closing the work stream from %s: %s", request.remote, error)
            if not response.prepared:
                raise web.HTTPForbidden(text="not signed by the shared secret\n") from error
        except (EOFError, ConnectionError):
            pass  # the gateway has disconnected
        finally:
            self.stream_count -= 1
        return response

    async def answer_frames(self, request: web.Request, response: web.StreamResponse) -> None:
        """Answer frames until an error ends the stream; nothing is sent before the first valid frame."""
        frames = FrameReader(self.secret, MAX_WORK_BYTES)
        with self.receive_budget.receiving(partial(disconnect, request, frames.buffer)) as call:
            frame = await self.next_frame(request, frames, call)
            call.is_verified = True
            await response.prepare(request)
            while True:
                await response.write(await self.answer_frame(frame))
                frame = await self.next_frame(request, frames, call)

    async def next_frame(self, request: web.Request, frames: FrameReader, call: IncompleteCall) -> Frame:
        """Return the next frame once it is complete.

        Raises:
            EOFError: The gateway has ended the stream.
            FrameError: The frame is invalid, or takes too long.
        """
        while (frame := frames.next()) is None:
            call.resize(len(frames.buffer))
            try:
                async with call.time_limit():
                    data = await request.content.readany()
            except TimeoutError as error:
                raise FrameError("frame that is not complete in time") from error
            if not data:
                raise EOFError
            frames.feed(data)
        call.resize(len(frames.buffer))
        return frame

    async def answer_frame(self, frame: Frame) -> bytes:
        """Return the frame that answers one work request."""
        if self.committer.is_overloaded:
            return encode_frame(self.secret, b"too many requests wait", STATUS_REJECTED)
        try:
            request = msgspec.msgpack.decode(frame.body, type=WorkRequest)
            response = await self.committer.submit(request)
        except msgspec.MsgspecError as error:
            return encode_frame(self.secret, f"not a work request: {error}".encode(), STATUS_REJECTED)
        except RequestRejectedError as error:
            return encode_frame(self.secret, str(error).encode(), STATUS_REJECTED)
        except LeadershipLostError as error:
            raise EOFError from error  # the gateway connects to the new leader
        except WriteFailedError as error:
            return encode_frame(self.secret, str(error).encode(), STATUS_FULL)
        return encode_frame(self.secret, msgspec.msgpack.encode(response))

    # --- status ---

    async def on_status(self, request: web.Request) -> web.Response:
        """Answer with the reserved share of each budget and counts of work items, as JSON."""
        self.check_signature(request, request.path.encode())
        budgets = self.committer.states.budgets
        reserved = {
            name: {"whole": budget.limits.total, "held": budget.reserved, "holders": len(budget.holdings)}
            for name, budget in budgets.budgets.items()
        }
        return web.json_response(
            {
                "work": self.work_status(),
                "fence": budgets.fence,
                "quiet_ms": max(0, budgets.quiet_until_ms - now_ms()),
                "asks": self.committer.request_count,
                "commits": self.committer.commit_count,
                "budgets": reserved,
            }
        )

    def work_status(self) -> dict[str, int]:
        """Return counts of work items under their names in `/status`."""
        work = self.committer.states.work
        counters = work.counters
        return {
            "intents": len(work.store.items),
            "bytes": work.store.total_bytes,
            "doors": len(work.membership.members),
            "kept": counters.begun,
            "full": counters.rejected_full,
            "handed": counters.transferred,
            "served": counters.ended[WorkOutcome.SERVED],
            "unknown": counters.ended[WorkOutcome.UNKNOWN],
            "parked": counters.ended[WorkOutcome.PARKED],
            "evicted": counters.evicted,
        }

    async def on_parked(self, request: web.Request) -> web.Response:
        """Answer with the parked items, which were given up because several owners were lost, as JSON."""
        self.check_signature(request, request.path.encode())
        return web.json_response(
            [
                {
                    "name": item.name,
                    "customer": item.customer,
                    "deaths": item.deaths,
                    "at_ms": item.ended_ms,
                    "request": item.request.decode(errors="replace"),
                }
                for item in self.committer.states.work.store.parked
            ]
        )
