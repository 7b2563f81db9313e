"""The steward on HTTP: one call, signed by a secret that all have; grants are synced before they are told.

Asks that come while the disk is busy are committed together by the next sync.
"""

from __future__ import annotations

import asyncio
import hmac
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec
from aiohttp import web

from thistletrail.leasing.book import Book
from thistletrail.leasing.config import Config
from thistletrail.leasing.messages import MOST_OPS, Answer, Ask, WorkAnswer, WorkAsk, holder_of
from thistletrail.leasing.state import Issued, RefusedError, State
from thistletrail.leasing.tenure import LostError
from thistletrail.leasing.wire import (
    FULL,
    PATH,
    REFUSED,
    SIGNATURE,
    WORK_PATH,
    FrameError,
    Frames,
    frame,
    now_ms,
    sign,
)
from thistletrail.leasing.work import Record, Work
from thistletrail.write_ahead_log.record_file import WriteFailedError

log = logging.getLogger(__name__)

MOST_BODY = 1 << 19  # bytes: 2,000 budgets with names of 120 characters
MOST_WORK = 8 << 20  # bytes of an ask on work: 500 ops of some kilobytes, or tens of the largest requests
MOST_STREAMS = 1000  # calls on work: five times the largest fleet
TICK_S = 1.0  # between looks at what is over
LOOK_S = 0.05  # between looks for work that has lost its owner: a twentieth of its lease
MOST_WAITING = 2000  # asks that wait for the disk: ten from each door of the largest fleet


@web.middleware
async def refusals(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """What is refused is one clear sentence."""
    try:
        return await handler(request)
    except RefusedError as error:
        return web.Response(status=400, text=f"{error}\n")
    except WriteFailedError as error:
        return web.Response(status=507, text=f"the grant cannot be kept: {error}\n")
    except LostError as error:
        return web.Response(status=503, text=f"{error}\n")


class Service:
    """One steward that answers."""

    def __init__(self, book: Book, config: Config, secret: bytes, lost: asyncio.Event) -> None:
        """`lost` is set once another process has the office, by whoever finds out first."""
        self.book, self.config, self.secret = book, config, secret
        self.state: State
        self.work: Work
        self.state, self.work = book.open(config)
        self.waiting: list[tuple[Ask | WorkAsk, asyncio.Future[Answer | WorkAnswer]]] = []
        self.unkept: list[Record] = []  # of work, decided on and not in the log: kept before anything is told
        self.woken, self.lost = asyncio.Event(), lost
        self.commits = self.asks = self.streams = 0
        self.app = web.Application(middlewares=[refusals], client_max_size=MOST_BODY)
        self.app.add_routes(
            [
                web.post(PATH, self.renew),
                web.post(WORK_PATH, self.do_work),
                web.get("/status", self.status),
                web.get("/parked", self.parked),
            ]
        )
        self.app.cleanup_ctx.append(self.running)

    async def running(self, _: web.Application) -> object:
        tasks = [asyncio.create_task(job()) for job in (self.commit, self.tick, self.look)]
        yield
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.book.close()

    def signed(self, request: web.Request, body: bytes) -> None:
        """Whoever lacks the secret is told nothing."""
        if not hmac.compare_digest(request.headers.get(SIGNATURE, ""), sign(self.secret, body)):
            raise web.HTTPForbidden(text="not signed by the shared secret\n")

    async def renew(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.signed(request, body)
        try:
            ask = msgspec.msgpack.decode(body, type=Ask)
        except msgspec.MsgspecError as error:
            raise RefusedError(f"no ask: {error}") from error
        if len(self.waiting) >= MOST_WAITING:
            return web.Response(status=503, text="too many asks wait\n")
        said = msgspec.msgpack.encode(await self.decided(ask))
        return web.Response(
            body=said, content_type="application/msgpack", headers={SIGNATURE: sign(self.secret, said)}
        )

    async def do_work(self, request: web.Request) -> web.StreamResponse:
        """A door's long call: each frame is an ask, and is answered by one. What is not signed ends it."""
        if self.streams >= MOST_STREAMS:
            return web.Response(status=503, text="too many calls\n")
        response = web.StreamResponse()
        frames, self.streams = Frames(self.secret, MOST_WORK), self.streams + 1
        try:
            while (found := frames.next()) is None:  # nothing is answered before the first good frame
                frames.feed(await self.more(request))
            await response.prepare(request)
            while found is not None:
                await response.write(await self.work_answer(found[1]))
                while (found := frames.next()) is None:
                    frames.feed(await self.more(request))
        except FrameError as error:
            log.warning("a call on work in hand ends: %s", error)
            if not response.prepared:
                raise web.HTTPForbidden(text="not signed by the shared secret\n") from error
        except (EOFError, ConnectionError):
            pass  # its door has gone
        finally:
            self.streams -= 1
        return response

    async def more(self, request: web.Request) -> bytes:
        data = await request.content.readany()
        if not data:
            raise EOFError
        return data

    async def work_answer(self, body: bytes) -> bytes:
        """The frame that answers one ask."""
        try:
            if len(self.waiting) >= MOST_WAITING:
                raise RefusedError("too many asks wait")
            ask = msgspec.msgpack.decode(body, type=WorkAsk)
            said = await self.decided(ask)
        except msgspec.MsgspecError as error:
            return frame(self.secret, f"no ask: {error}".encode(), REFUSED)
        except RefusedError as error:
            return frame(self.secret, str(error).encode(), REFUSED)
        except LostError as error:
            raise EOFError from error  # its door goes to whoever has taken over
        except WriteFailedError as error:
            return frame(self.secret, str(error).encode(), FULL)
        return frame(self.secret, msgspec.msgpack.encode(said))

    def decided(self, ask: Ask | WorkAsk) -> asyncio.Future[Answer | WorkAnswer]:
        """Take an ask in; the answer comes once what it has brought about is kept."""
        if self.lost.is_set():
            raise LostError("another steward has taken over")
        answer: asyncio.Future[Answer | WorkAnswer] = asyncio.get_running_loop().create_future()
        self.waiting.append((ask, answer))
        self.woken.set()
        return answer

    async def commit(self) -> None:
        """Decide on all asks that wait, keep what they bring about by one sync, and then answer."""
        loop = asyncio.get_running_loop()
        while True:
            await self.woken.wait()
            self.woken.clear()
            batch, self.waiting = self.waiting, []
            answers, made = [], []
            for ask, future in batch:
                try:
                    answer = self.decide(ask)
                except RefusedError as error:
                    future.set_exception(error)
                    continue
                answers.append((future, answer))
                if isinstance(answer, Answer):
                    made += self.grants_of(answer)
            kept, self.unkept = self.unkept, []
            try:
                await loop.run_in_executor(None, self.book.append, made, kept)
            except WriteFailedError as error:  # in the state grants count as given, until they lapse
                log.error("grants and work cannot be kept: %s", error)
                self.unkept = [*self.work.undo(kept), *self.unkept]
                turn_away(answers, WriteFailedError(str(error)))
                continue
            except LostError as error:  # what is decided here was told to nobody, and never will be
                self.lost.set()
                turn_away([*answers, *((future, ask) for ask, future in self.waiting)], error)
                return
            self.commits, self.asks = self.commits + 1, self.asks + len(batch)
            for future, answer in answers:
                if not future.done():  # its asker may have gone
                    future.set_result(answer)
            if self.book.due() and not self.unkept:
                await self.snapshot()

    async def snapshot(self) -> None:
        """Between two commits: nothing is on its way into the log."""
        try:
            image = self.book.image(self.state, self.work)
            await asyncio.get_running_loop().run_in_executor(None, self.book.put, image)
        except OSError as error:
            log.warning("no snapshot can be written: %s", error.strerror)

    def decide(self, ask: Ask | WorkAsk) -> Answer | WorkAnswer:
        now = now_ms()
        if isinstance(ask, WorkAsk):
            if len(ask.ops) > MOST_OPS:
                raise RefusedError(f"an ask has {MOST_OPS} ops at most")
            answer, records = self.work.ask(ask, now)
            self.unkept += records
            return answer
        for want in ask.wants:
            if want.budget not in self.state.budgets and (terms := self.config.terms_of(want.budget)):
                self.state.set_terms(want.budget, terms, now)
        return self.state.ask(ask, now)

    def grants_of(self, answer: Answer) -> list[tuple[str, str, Issued]]:
        """The grants of an answer as the state has them."""
        holder = holder_of(answer.door, answer.mark)
        return [
            (grant.budget, holder, self.state.budgets[grant.budget].holdings[holder].issued[-1])
            for grant in answer.grants
        ]

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.state.lapse(now_ms())

    async def look(self) -> None:
        """Find what has lost its owner; the next commit keeps that, before anybody is told."""
        while True:
            await asyncio.sleep(LOOK_S)
            if found := self.work.look(now_ms()):
                self.unkept += found
                self.woken.set()

    def reload(self, config: Config) -> None:
        """Other terms, from now on; what is granted by the old ones lapses."""
        self.config = config
        for name in self.state.budgets:
            if terms := config.terms_of(name):
                self.state.set_terms(name, terms, now_ms())

    async def status(self, request: web.Request) -> web.Response:
        self.signed(request, request.path.encode())
        now = now_ms()
        held = {
            name: {"whole": budget.terms.whole, "held": budget.bound, "holders": len(budget.holdings)}
            for name, budget in self.state.budgets.items()
        }
        work = {
            "intents": len(self.work.intents),
            "bytes": self.work.bytes,
            "doors": len(self.work.members),
            **self.work.counts,
        }
        return web.json_response(
            {
                "work": work,
                "fence": self.state.fence,
                "quiet_ms": max(0, self.state.quiet_until_ms - now),
                "asks": self.asks,
                "commits": self.commits,
                "budgets": held,
            }
        )

    async def parked(self, request: web.Request) -> web.Response:
        """Work that has been given up, as it may be what its owners died of, for people to look at."""
        self.signed(request, request.path.encode())
        return web.json_response(
            [
                {
                    "name": one.name,
                    "customer": one.customer,
                    "deaths": one.deaths,
                    "at_ms": one.done_ms,
                    "request": one.request.decode(errors="replace"),
                }
                for one in self.work.parked
            ]
        )


def turn_away(answers: Iterable[tuple[asyncio.Future[Any], object]], error: Exception) -> None:
    """Whoever still waits learns why there is no answer."""
    for future, _ in answers:
        if not future.done():
            future.set_exception(error)
