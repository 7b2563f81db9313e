"""Work in hand outlives its front door: it is kept by the steward before its first byte leaves.

Off unless the configuration names classes. What is decided is the module's (when, and at which server) and
the steward's (whose it is); here are the messages, what waits for them, and the looks at the lease before
each write and each answer. While the steward is away, work goes on without being kept, and is counted.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import h11
import msgspec

from thistletrail.gateway.backends import Attempt, now_us
from thistletrail.gateway.clients import FAILED, Command, CommandError, read_fields
from thistletrail.gateway.config import Config
from thistletrail.gateway.deadline import ANSWER_MARGIN_US, Deadline, DeadlineSource
from thistletrail.gateway.resp import CommandReader, ProtocolError, encode
from thistletrail.leasing.client import CallError, Stream, TurnedAwayError
from thistletrail.leasing.hand import Hand
from thistletrail.leasing.messages import WORK_LEASE_MS, Begin, Done, Handed, Op, Told, Try, WorkAnswer
from thistletrail.leasing.wire import FrameError, now_ms
from thistletrail.policy.actions import FailRequest, RejectRequest
from thistletrail.policy.events import AttemptEnded, AttemptResult, ClientDisconnected, Server
from thistletrail.policy.settings import Effect, IdempotencyScope

if TYPE_CHECKING:
    from thistletrail.gateway.server import Exchange, FrontDoor

log = logging.getLogger(__name__)

ASK_S = WORK_LEASE_MS / 4000  # between asks at most: three may get lost within a lease
CALL_S = WORK_LEASE_MS / 2000  # for an answer to come: past it the steward is away
LOOK_S = 0.05  # between looks at the lease
# For word that an intent is kept: a sync takes some milliseconds, and aims are 400 ms and more.
KEEP_WAIT_S = 0.15
OUTCOME_WAIT_S = 0.25  # for word that an outcome is kept; past it the client is told all the same
AGAIN_S = 0.1  # between looks for the outcome of work that another has
MOST_WAIT_MS = 2 * WORK_LEASE_MS  # for it: a lease, until it is taken over, and as long for it to run
MOST_WAITING = 200  # requests that wait for another door's outcome
OTHER = b"-ERR this key stands for another request\r\n"
DIGEST_BYTES = 16
SAME = ("c", "t", "units")  # fields that are the same each time that one piece of work is asked for
LATE_S = 0.2  # before the end of a drain, when what is still out is handed over
CLASS_EFFECTS = {Effect.IDEMPOTENT: "safe", Effect.IDEMPOTENT_BY_KEY: "keyed", Effect.UNSAFE: "unsafe"}


class Nobody:
    """In the place of a client's reply, where the work is another door's."""

    __slots__ = ("id",)

    def __init__(self, name: str) -> None:
        self.id: str | None = name

    def waits(self) -> bool:
        return False

    def is_wanted(self) -> bool:
        """The work goes on whether or not its client is there."""
        return True

    def send(self, data: bytes) -> None:
        """Nobody waits here."""


@dataclass(slots=True)
class Piece:
    """One request here whose work is kept, or is to be."""

    exchange: Exchange
    name: str
    digest: str
    effect: str
    begin: Begin | None = None
    fence: int = 0
    number: int = 0  # of the last attempt told of under this fence
    ran: bool = False  # it may have run under another fence
    attempt: Attempt | None = None  # that waits for word
    data: bytes | None = None  # the answer that waits for word
    timer: asyncio.TimerHandle | None = None
    without: bool = False  # it goes on without being kept
    over: bool = False
    until_ms: int = 0  # for how long it waits for another's outcome; 0: it does not
    was_out: bool = False  # an attempt of ours may have run

    @property
    def is_handed(self) -> bool:
        return isinstance(self.exchange.reply, Nobody)


class Counts:
    """What became of work in hand here."""

    __slots__ = ("answered", "begun", "handed", "left", "lost", "refused", "unkept", "waited", "without")

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)

    def line(self) -> str:
        return ", ".join(f"{name} {getattr(self, name)}" for name in self.__slots__)


class Takeover:
    """One start's work in hand."""

    def __init__(self, door: FrontDoor, config: Config) -> None:
        self.door, self.told = door, config.work_leases
        self.hand = Hand(config.settings.gateway_index, now_ms())
        self.random = random.Random(config.settings.seed)
        self.pieces: dict[str, Piece] = {}  # by the id under which the module knows the request
        self.by_name: dict[str, Piece] = {}
        self.line: Stream | None = None
        self.at = self.waiting = 0
        self.away = True  # until a first answer
        self.wanting = asyncio.Event()
        self.counts = Counts()
        self.loop = door.loop

    # --- the way to the steward ---

    async def run(self) -> None:
        """Ask for as long as the process lives."""
        looking = self.loop.create_task(self.look())
        try:
            while True:
                await self.call()
                if self.away:  # a steward that comes back is not met by all doors at once
                    await asyncio.sleep(ASK_S * self.random.uniform(0.25, 1))
                elif not self.hand.queue:
                    wait = ASK_S * self.random.uniform(0.75, 1)
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.wanting.wait(), wait)
                self.wanting.clear()
        finally:
            looking.cancel()
            self.drop_line()

    async def call(self) -> None:
        """One ask, and what comes of it."""
        address = self.told.addresses[self.at]
        try:
            async with asyncio.timeout(CALL_S):
                self.line = self.line or Stream(address, self.told.secret)
                found = await self.line.call(self.hand.ask(now_ms()))
                answer = msgspec.msgpack.decode(found, type=WorkAnswer)
        except TurnedAwayError as error:
            log.warning("work cannot be kept: %s", error)
            for op in self.hand.refused():
                self.begun(op, Told(how="full"))
            return
        except (
            OSError,
            TimeoutError,
            CallError,
            FrameError,
            h11.ProtocolError,
            msgspec.MsgspecError,
        ) as error:
            if not self.away:
                log.warning("no word of the steward at %s:%d: %s", *address, str(error) or "it is silent")
            self.away = True
            self.hand.unanswered()
            self.drop_line()
            self.at = (self.at + 1) % len(self.told.addresses)
            return
        if self.away:
            log.info("work in hand is kept by the steward at %s:%d", *address)
        self.away = False
        self.take(answer)

    def drop_line(self) -> None:
        if self.line is not None:
            self.line.close()
            self.line = None

    def take(self, answer: WorkAnswer) -> None:
        self.check()
        told, handed = self.hand.answered(answer, now_ms())
        for op, one in told:
            self.hear(op, one)
        for one in handed:
            self.go_on(one)

    def hear(self, op: Op, told: Told) -> None:
        """What became of one op."""
        if isinstance(op, Begin):
            self.begun(op, told)
            return
        piece = self.by_name.get(op.name)
        if piece is None or piece.fence != op.fence:
            return
        if told.how == "lost":
            self.lose(piece)
        elif isinstance(op, Try) and op.number == piece.number:
            self.write(piece)
        elif isinstance(op, Done):
            self.answer(piece)

    async def look(self) -> None:
        """Find what is lost as the lease has ended, and hand over what a drain will not see the end of."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.check()
            if self.door.last_us - now_us() < LATE_S * 1e6:
                self.hand_all_over()

    def check(self) -> None:
        for name in self.hand.lapsed(now_ms()):
            if piece := self.by_name.get(name):
                self.lose(piece)

    def put(self, op: Op) -> bool:
        if not self.hand.add(op):
            return False
        self.wanting.set()
        return True

    # --- attempts ---

    def covers(self, exchange: Exchange) -> bool:
        """Whether its attempts are told of: by its class, or as another door's that was handed over."""
        return exchange.command.class_index in self.told.classes or exchange.reply.id in self.pieces

    def before(self, exchange: Exchange, attempt: Attempt) -> None:
        """An attempt is to be sent: first it is told of, unless its work goes on without."""
        piece = self.pieces.get(attempt.request_id) or self.piece(exchange, attempt.request_id)
        attempt.may_write = lambda: piece.without or self.holds(piece)
        entry = self.door.gateway.servers_by_name[attempt.server].entry
        place = self.place(exchange.command.class_index, entry)
        piece.attempt = attempt
        if piece.without:
            self.write(piece)
        elif piece.fence:
            piece.number += 1
            op = Try(
                name=piece.name,
                fence=piece.fence,
                number=piece.number,
                server=attempt.server,
                place=place,
                unrun=not piece.was_out and not piece.ran,
            )
            self.keep(piece, op)
        elif piece.name in self.by_name:  # a request of that name is out here: as if it were another door's
            self.wait(piece, self.begin_of(piece, attempt, place))
        elif self.away or not self.hand.is_alive(now_ms()):
            self.go_without(piece)
        else:
            self.by_name[piece.name] = piece
            piece.begin = self.begin_of(piece, attempt, place)
            self.keep(piece, piece.begin)

    def piece(self, exchange: Exchange, name: str) -> Piece:
        words = exchange.command.words
        fields = read_fields(words[3])
        rule = self.door.settings.classes[exchange.command.class_index]
        keyed = rule.effect is Effect.IDEMPOTENT_BY_KEY
        work = f"{words[1].decode().lower()}/{fields['k']}" if keyed else f"#{exchange.command.id}"
        same = [f"{field}={fields.get(field, '')}".encode() for field in SAME]
        told = encode([words[0], words[1], *same, *words[4:]])
        digest = hashlib.blake2b(told, digest_size=DIGEST_BYTES).hexdigest()
        piece = self.pieces[name] = Piece(exchange, work, digest, CLASS_EFFECTS[rule.effect])
        return piece

    def begin_of(self, piece: Piece, attempt: Attempt, place: str) -> Begin:
        command = piece.exchange.command
        rule = self.door.settings.classes[command.class_index]
        return Begin(
            name=piece.name,
            id=command.id,
            digest=piece.digest,
            customer=command.words[1].decode(),
            effect=piece.effect,
            left_ms=piece.exchange.budget.remaining_us(now_us()) // 1000,
            window_ms=rule.idempotency_window_us // 1000,
            request=encode(command.words),
            server=attempt.server,
            place=place,
        )

    def place(self, class_index: int, entry: Server) -> str:
        """Where a scan server's repeats are dropped."""
        group = self.door.settings.classes[class_index].idempotency_scope
        return {IdempotencyScope.ZONE: f"zone {entry.zone}", IdempotencyScope.CELL: f"cell {entry.cell}"}.get(
            group, "all"
        )

    def keep(self, piece: Piece, op: Op) -> None:
        """Tell of an attempt, and wait for word for a while."""
        if self.put(op):
            self.after(piece, KEEP_WAIT_S, self.unkept, piece)
        elif piece.fence:  # it is kept, and nobody may be told wrongly where it runs
            self.unkept(piece)
        else:
            self.go_without(piece)

    def after(self, piece: Piece, wait_s: float, act: Callable[..., None], *words: object) -> None:
        if piece.timer:
            piece.timer.cancel()
        piece.timer = self.loop.call_later(wait_s, act, *words)

    def unkept(self, piece: Piece) -> None:
        """No word of an attempt: it is not made. Whoever asks again finds it free, or how it ended."""
        self.away = True
        self.withdraw(piece)
        if (attempt := piece.attempt) is not None:
            piece.attempt = None
            attempt.finish(AttemptResult.NOT_SENT)

    def begun(self, op: Begin, told: Told) -> None:
        """Word of an intent."""
        piece = self.by_name.get(op.name)
        if piece is None or piece.begin is not op:
            return
        piece.begin = None
        if piece.timer:
            piece.timer.cancel()
        if told.how == "kept":
            self.counts.begun += 1
            piece.fence, piece.ran, piece.number = told.fence, bool(told.server), 0
            self.limit(piece, told.left_ms)
            if piece.until_ms:
                self.resume(piece, told)
            elif told.server and told.place != op.place:
                self.take_out(piece)
                self.resume(piece, told)
            else:
                self.write(piece)
        elif told.how in ("full", "lost"):
            self.counts.refused += 1
            if piece.until_ms:
                self.refuse(piece)
            else:
                self.go_without(piece)
        elif told.how == "elsewhere":
            self.wait(piece, op)
        else:
            self.counts.answered += 1
            self.take_out(piece)
            value = b"$%d\r\n%b\r\n" % (len(told.value), told.value)
            self.end(piece, {"answered": value, "other": OTHER}.get(told.how, FAILED))

    def limit(self, piece: Piece, left_ms: int) -> None:
        """What has run may run again only while its servers remember it."""
        budget = piece.exchange.budget.until(now_us() + left_ms * 1000, DeadlineSource.CLIENT)
        if piece.ran and budget is not piece.exchange.budget:
            piece.exchange.budget = budget

    def go_without(self, piece: Piece) -> None:
        self.counts.without += 1
        piece.without = True
        if self.by_name.get(piece.name) is piece:
            del self.by_name[piece.name]
        self.write(piece)

    def write(self, piece: Piece) -> None:
        """Word has come: the attempt goes on its way, if it is still wanted."""
        if piece.timer:
            piece.timer.cancel()
        attempt, piece.attempt = piece.attempt, None
        if attempt is not None and not attempt.over:
            piece.was_out = True  # until it is proven that it never ran
            self.door.backends.send(attempt, attempt.end_us - now_us())

    def holds(self, piece: Piece) -> bool:
        return self.hand.holds(piece.name, piece.fence, now_ms())

    def noted(self, name: str, result: AttemptResult, others_out: bool) -> None:
        """An attempt has ended: what never came whole to its server, or was turned away, has not run."""
        piece = self.pieces.get(name)
        if piece is not None and result in (
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_SENT,
            AttemptResult.AT_CAPACITY,
        ):
            piece.was_out = others_out

    # --- outcomes ---

    def served(self, name: str, data: bytes, value: bytes) -> bool:
        """A value has come: whether it waits here until it is kept."""
        piece = self.pieces.get(name)
        if piece is None or piece.without or piece.over:
            return False
        piece.data = data
        if self.put(Done(name=piece.name, fence=piece.fence, value=value)):
            self.after(piece, OUTCOME_WAIT_S, self.unkept_outcome, piece)
        else:
            self.unkept_outcome(piece)
        return True

    def unkept_outcome(self, piece: Piece) -> None:
        """The client is told all the same while the work is ours: nobody else can have gone on with it."""
        self.counts.unkept += 1
        self.answer(piece)

    def answer(self, piece: Piece) -> None:
        if piece.data is None or piece.over:
            return
        if self.holds(piece):
            self.hand.held.pop(piece.name, None)
            self.end(piece, piece.data)
        else:
            self.lose(piece)

    def lose(self, piece: Piece) -> None:
        """It is another's: what is out of it here is of no use, and must not be told."""
        if piece.over:
            return
        self.counts.lost += 1
        self.hand.held.pop(piece.name, None)
        log.warning("request %s is no longer this door's to answer", piece.exchange.command.id)
        name = piece.exchange.reply.id
        for attempt in list(piece.exchange.out.values()):
            attempt.cancel()
        self.forget(piece)
        self.door.give_up(name)

    def end(self, piece: Piece, data: bytes) -> None:
        """The last of it here."""
        name = piece.exchange.reply.id
        self.forget(piece)
        if data is FAILED:
            self.door.costs.failed += self.door.answer(name, data, "failed")
        else:
            self.door.costs.served += self.door.answer(name, data, "was served")

    def forget(self, piece: Piece) -> None:
        piece.over = True
        if piece.timer:
            piece.timer.cancel()
        self.stop_waiting(piece)
        if self.by_name.get(piece.name) is piece:
            del self.by_name[piece.name]
        self.pieces.pop(piece.exchange.reply.id, None)

    def ended(self, name: str, refused: bool = False) -> None:
        """The module, or its client, has ended a request: another may go on with it where that is of use."""
        piece = self.pieces.get(name)
        if piece is None or piece.over:
            return
        self.withdraw(piece)
        draining = self.door.last_us <= piece.exchange.budget.end_us
        on = refused and (piece.is_handed or draining)
        self.counts.left += self.holds(piece)
        self.hand.leave(piece.name, on=on, unrun=not (piece.was_out or piece.ran))
        self.wanting.set()
        self.forget(piece)

    def hand_all_over(self) -> None:
        for piece in list(self.pieces.values()):
            self.hand_over(piece)

    def hand_over(self, piece: Piece) -> None:
        """A drain will not see its end: another goes on with it, and its client is told to ask again."""
        if piece.over or piece.data is not None or not self.holds(piece):
            return
        self.hand.leave(piece.name, on=True, unrun=not (piece.was_out or piece.ran))
        self.counts.left += 1
        self.wanting.set()
        name = piece.exchange.reply.id
        self.forget(piece)
        self.door.refuse(RejectRequest(name, WORK_LEASE_MS * 1000))
        self.door.post(ClientDisconnected(name))

    # --- work that another has, or had ---

    def take_out(self, piece: Piece) -> None:
        """The module is told that its attempt is not made here: the work is elsewhere."""
        attempt, piece.attempt = piece.attempt, None
        if attempt is None or attempt.over:
            return
        attempt.drop()
        exchange, name = piece.exchange, attempt.request_id
        exchange.out.pop(attempt.number, None)
        self.door.post(
            AttemptEnded(name, True, attempt.number, attempt.server, AttemptResult.OWNED_ELSEWHERE, 0)
        )

    def wait(self, piece: Piece, begin: Begin) -> None:
        """Another has it: wait for the outcome within the client's own time, and ask now and then."""
        if not piece.until_ms:
            self.take_out(piece)
            if self.waiting >= MOST_WAITING:
                self.refuse(piece)
                return
            self.waiting += 1
            self.counts.waited += 1
            piece.until_ms = now_ms() + MOST_WAIT_MS
        left_ms = piece.exchange.budget.remaining_us(now_us()) // 1000
        if now_ms() >= piece.until_ms or left_ms < 2000 * AGAIN_S:
            self.refuse(piece)
            return
        self.after(piece, AGAIN_S * self.random.uniform(0.75, 1.25), self.ask_again, piece, begin)

    def ask_again(self, piece: Piece, begin: Begin) -> None:
        other = self.by_name.get(piece.name)
        if piece.over:
            return
        left_ms = piece.exchange.budget.remaining_us(now_us()) // 1000
        fresh = msgspec.structs.replace(begin, left_ms=left_ms)
        if (other is None or other is piece) and not self.away and self.put(fresh):
            self.by_name[piece.name], piece.begin = piece, fresh
            self.after(piece, KEEP_WAIT_S, self.unheard, piece, fresh)
        else:
            self.wait(piece, fresh)

    def unheard(self, piece: Piece, begin: Begin) -> None:
        """No word of whether another has it: it goes on waiting."""
        self.withdraw(piece)
        self.wait(piece, begin)

    def withdraw(self, piece: Piece) -> None:
        """Take back what is told of and not answered."""
        if piece.begin is not None:
            self.hand.withdraw(piece.name)
            piece.begin = None
            if self.by_name.get(piece.name) is piece:
                del self.by_name[piece.name]

    def refuse(self, piece: Piece) -> None:
        """It cannot wait longer: its client is told when to come back."""
        self.withdraw(piece)
        name = piece.exchange.reply.id
        self.forget(piece)
        self.door.refuse(RejectRequest(name, WORK_LEASE_MS * 1000))

    def stop_waiting(self, piece: Piece) -> None:
        if piece.until_ms:
            self.waiting -= 1
            piece.until_ms = 0

    def resume(self, piece: Piece, told: Told) -> None:
        """Nobody has it any more: it is ours, and the module's again, where it may have run if it has."""
        self.stop_waiting(piece)
        piece.exchange.attempts = 0
        self.decide(piece, told.server, told.place)

    def decide(self, piece: Piece, server: str, place: str) -> None:
        """Hand it to the module as work that another door has admitted."""
        bound = self.server_at(piece.exchange.command.class_index, server, place) if server else ""
        exchange, name = piece.exchange, piece.exchange.reply.id
        if server and not bound:  # nobody there is known any more
            self.ended(name)
            self.door.fail(FailRequest(name))
            return
        request = exchange.command.request(remaining_us=exchange.budget.remaining_us(now_us()))
        self.door.post(replace(request, id=name, is_taken_over=True, ran_on_server=bound))

    def server_at(self, class_index: int, server: str, place: str) -> str:
        """That server, or another of its place, as the module knows them."""
        servers = self.door.gateway.servers_by_name
        if server in servers:
            return server
        return next(
            (name for name, known in servers.items() if self.place(class_index, known.entry) == place), ""
        )

    def go_on(self, handed: Handed) -> None:
        """Work of a lost owner's is this door's now."""
        self.counts.handed += 1
        self.wanting.set()  # to tell that it has come
        try:
            command = self.command_of(handed.request)
        except (CommandError, ProtocolError, KeyError, TypeError, ValueError) as error:
            log.warning("work that was handed over cannot be read: %s", error)
            self.hand.leave(handed.name, unrun=not handed.server)
            return
        name = f"{command.id}.{handed.fence}"
        now = now_us()
        budget = Deadline.start(handed.left_ms * 1000 + ANSWER_MARGIN_US, 0, now)
        exchange = self.door.exchange(command, Nobody(name), budget)
        if exchange is None:
            self.hand.leave(handed.name, on=True, unrun=not handed.server)
            return
        piece = self.piece(exchange, name)
        piece.fence, piece.ran = handed.fence, bool(handed.server)
        self.by_name[piece.name] = piece
        log.info("goes on with request %s of a lost door", command.id)
        self.decide(piece, handed.server, handed.place)

    def command_of(self, request: bytes) -> Command:
        reader = CommandReader()
        reader.feed(request)
        words = reader.next()
        if words is None:
            raise ValueError("it is cut off")
        return self.door.parser.parse(words, own=False)

    def drain(self) -> None:
        """No more is to be handed to this door."""
        self.hand.leaving = True
        self.wanting.set()

    async def close(self) -> None:
        """At the end of a drain: the last words, if anybody hears them."""
        log.info("work in hand: %s", self.counts.line())
        end = self.loop.time() + CALL_S
        while (self.hand.queue or self.hand.asked) and not self.away and self.loop.time() < end:
            self.wanting.set()
            await asyncio.sleep(LOOK_S / 5)
