"""A front door in the model: the real decision module, its timers, and its connections to scan servers.

It does what the gateway process does with the module's actions, as far as time and load go: one command at a
time on a connection, an attempt's connection given up with it, the newest timer of a token only, one outcome
for each attempt. Each action is held against the rules of the wire page before it is carried out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from thistletrail.gateway.snapshot_store import MAX_POLICY_AGE_S, WRITE_INTERVAL_S, WRITE_JITTER
from thistletrail.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    ProbeServer,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from thistletrail.policy.engine import PolicyEngine
from thistletrail.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    PeerMessageReceived,
    PolicySnapshot,
    RequestArrived,
    ServerState,
    ShutdownStarted,
    SnapshotFound,
    TimerFired,
)
from thistletrail.policy.peer_codec import pack_datagrams, unpack_datagram
from thistletrail.simulation.clients import Try
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.servers import ScanServer, Work
from thistletrail.simulation.watched import Decided, DecisionRecorder

if TYPE_CHECKING:
    from thistletrail.simulation.day import Day
    from thistletrail.simulation.kept import Piece

IDLE_PART = 0.5  # of a server's idle time after which a door closes: as the gateway process does
SWEEP_US = S  # how often idle connections are looked through
LIST_AFTER_START_US = 20 * MS  # for the agent's first answer; the known list is there at once
INTAKE_DEPTH = 0.5  # seconds of the intake that may come at once (ours: the pages say only how many a second)
GRACE_US = 8 * MS  # after a try's time in which its final answer still counts: the site's settings
RULE_SLACK_US = 50 * MS  # the protocol page's, on each time limit

RESULTS = {
    "served": AttemptResult.SUCCESS,
    "error": AttemptResult.ERROR,
    "full": AttemptResult.AT_CAPACITY,
    "lost": AttemptResult.RESET,
}


class Attempt:
    """One attempt at a door: `over` once its outcome was told, `whole` once it came whole to the server."""

    __slots__ = ("connected", "number", "over", "sent_us", "server", "target", "whole", "work")

    def __init__(self, number: int, server: str, target: ScanServer | None, sent_us: int) -> None:
        self.number, self.server, self.target, self.sent_us = number, server, target, sent_us
        self.connected = self.over = self.whole = False
        self.work: Work | None = None


class Open:
    """A request that the door has taken, until its answer, and until its last attempt has ended."""

    __slots__ = ("answered", "attempts", "end_us", "grouped", "out", "proven", "since_us", "try_")

    def __init__(self, try_: Try, end_us: int) -> None:
        self.try_, self.end_us = try_, end_us
        self.attempts = self.proven = 0  # attempts begun, and those proven never to have run
        self.out: dict[int, Attempt] = {}
        self.answered = False
        self.grouped: ScanServer | None = None  # where it may first have run, since when
        self.since_us = 0


class Door:
    """One front door, dead or alive; all its knowledge goes with its process."""

    def __init__(self, day: Day, number: int, zone: int) -> None:
        self.day, self.number, self.zone = day, number, zone
        self.gateway: PolicyEngine | None = None
        self.decisions = DecisionRecorder()
        self.life = 0  # counts starts and ends: what was asked in an earlier life is void
        self.started_us = 0
        self.intake, self.intake_at = 0.0, 0
        self.stored: tuple[int, PolicySnapshot] | None = (
            None  # outlives the process: when it was made, and what
        )
        self.list_lag_us = day.streams["lists"].span(day.scenario.net.list_spread_ms) * MS
        self.reset()

    def reset(self) -> None:
        self.open: dict[str, Open] = {}
        self.timers: dict[int, int] = {}  # by token: the serial number of the one set last
        self.pools: dict[str, list[int]] = {}  # idle connections by server: since when each
        self.told: dict[str, int] = {}  # servers that drain or have gone, and since when that is known here
        self.named: set[str] = set()
        self.told_start: dict[str, int] = {}

    @property
    def alive(self) -> bool:
        return self.gateway is not None

    # --- its life ---

    def start(self) -> None:
        """A fresh process with nothing but the last list of servers."""
        day = self.day
        self.life += 1
        self.started_us = day.clock.now
        self.reset()
        self.intake, self.intake_at = 0.0, day.clock.now
        self.decisions = DecisionRecorder()
        self.gateway = PolicyEngine(day.settings(self.number, self.zone), self.decisions)
        self.hear(day.catalog.saved(self.life > 1))
        self.recall()
        day.clock.after(LIST_AFTER_START_US, self.first_list, self.life)
        day.clock.after(SWEEP_US, self.sweep, self.life)
        if day.scenario.stored:
            self.store_later()
        day.leases.start(self)

    def recall(self) -> None:
        """What the process before this one stored, where that is young enough."""
        if self.stored is None:
            return
        at, memory = self.stored
        age = self.day.clock.now - at
        if age <= MAX_POLICY_AGE_S * S:
            self.handle(SnapshotFound(memory, age))

    def store_later(self) -> None:
        wait = WRITE_INTERVAL_S * self.day.streams["stored"].between(1 - WRITE_JITTER, 1 + WRITE_JITTER)
        self.day.clock.after(round(wait * S), self.store, self.life)

    def store(self, life: int) -> None:
        """A snapshot now and then."""
        if life == self.life:
            self.stored = self.day.clock.now, self.gateway.snapshot()
            self.store_later()

    def first_list(self, life: int) -> None:
        if life == self.life:
            self.hear(self.day.catalog.whole())

    def stop(self) -> None:
        """The process is killed: its connections are reset, at servers and to clients."""
        if self.gateway is None:
            return
        self.life += 1
        self.gateway = None
        for name, pool in self.pools.items():
            if server := self.day.servers.get(name):
                for _ in pool:
                    server.disconnect()
        opened, self.open = self.open, {}
        for state in opened.values():
            if not state.answered:
                self.day.kept.lost(state)
            for attempt in state.out.values():
                self.release(attempt, keep=False)
            if not state.answered:
                self.day.clients.door_died(state.try_)

    def drain(self, left_us: int) -> None:
        """SIGTERM: no request, open or new, lasts longer than `left_us`."""
        if self.gateway is not None:
            for state in self.open.values():
                state.end_us = min(state.end_us, self.day.clock.now + left_us)
            self.handle(ShutdownStarted(left_us))

    def sweep(self, life: int) -> None:
        """Close what has stood idle, and forget the pools of servers that have gone."""
        if life != self.life:
            return
        clock, servers = self.day.clock, self.day.servers
        oldest = clock.now - self.day.traits.idle_us * IDLE_PART
        for name in list(self.pools):
            server = servers.get(name)
            pool = self.pools[name]
            kept = [since for since in pool if since > oldest] if server and server.alive else []
            if server and server.alive:
                for _ in range(len(pool) - len(kept)):
                    server.disconnect()
            if kept:
                self.pools[name] = kept
            else:
                del self.pools[name]
        clock.after(SWEEP_US, self.sweep, life)

    # --- what comes in ---

    def handle(self, event: Event) -> None:
        gateway = self.gateway
        if gateway is None:
            return
        for action in gateway.handle(self.day.clock.now, event):
            ACTIONS[type(action)](self, action)

    def hear(self, news: EndpointUpdate) -> None:
        now = self.day.clock.now
        whole = news.kind is not EndpointUpdateKind.CHANGES
        listed = {entry.name for entry in news.servers}
        for entry in news.servers:
            self.named.add(entry.name)
            if entry.state is ServerState.SERVING:
                self.told.pop(entry.name, None)
                self.told_start[entry.name] = now
            else:
                self.told.setdefault(entry.name, now)
        if whole:
            for name in self.named - listed:
                self.told.setdefault(name, now)
        self.handle(news)

    def datagram(self, sender: int, data: bytes) -> None:
        """A peer's message that has arrived; the intake drops what comes faster than it takes in."""
        day, rate = self.day, self.day.scenario.net.peer_per_s
        if self.gateway is None:
            day.books.message("to a dead door")
            return
        now = day.clock.now
        self.intake = max(0.0, self.intake - (now - self.intake_at) * rate / S)
        self.intake_at = now
        if self.intake + 1 > max(1.0, rate * INTAKE_DEPTH):
            day.books.message("intake full")
            return
        self.intake += 1
        day.books.message("arrived", len(data))
        datagram = unpack_datagram(data)
        if datagram is not None:
            self.handle(PeerMessageReceived(sender, datagram.quota_messages, datagram.digest))

    def request(self, try_: Try) -> None:
        """A client's try; a door that has died resets it."""
        if self.gateway is None:
            self.day.clients.unreached(try_)
            return
        if self.day.kept.meets(try_):
            return
        now = self.day.clock.now
        left = max(0, try_.end_us - now - int(self.day.scenario.net.way_ms * MS))
        self.open[try_.id] = Open(try_, now + left)
        ask = try_.ask
        customer = ask.customer
        self.handle(
            RequestArrived(
                try_.id,
                ask.kind,
                customer.plan,
                customer.name,
                left,
                1.0,
                customer.size,
                customer.first,
                False,
                self.day.scenario.classes[ask.kind].keyed,
            )
        )

    def inherit(self, piece: Piece) -> None:
        """Go on with the work of a dead door."""
        until = self.day.kept.until_us(piece)
        try_ = Try(f"{piece.ask.customer.name}.{next(self.day.heirs)}", piece.ask, self, until)
        try_.heir, try_.booked, try_.inside = piece, True, piece.inside
        self.go_on(try_, until, piece.server)

    def go_on(self, try_: Try, end_us: int, server: ScanServer) -> None:
        """Take work that another door has admitted, and that may have run at a scan server."""
        ask, now = try_.ask, self.day.clock.now
        customer = ask.customer
        self.open[try_.id] = Open(try_, end_us)
        known = server.name if server.name in self.named else self.like(server)
        self.handle(
            RequestArrived(
                try_.id,
                ask.kind,
                customer.plan,
                customer.name,
                max(0, end_us - now),
                1.0,
                customer.size,
                customer.first,
                False,
                True,
                is_taken_over=True,
                ran_on_server=known,
            )
        )

    def like(self, server: ScanServer) -> str:
        """Another scan server of its zone that this door knows."""
        servers = self.day.servers
        return next(
            (name for name in sorted(self.named) if name in servers and servers[name].zone == server.zone), ""
        )

    def client_gone(self, try_: Try) -> bool:
        """Its client gives up: whether an answer was still owed."""
        state = self.open.get(try_.id)
        if state is None or state.answered or self.gateway is None:
            return False
        if self.day.clock.now > state.end_us + GRACE_US:
            self.day.books.broke("no answer in time", f"door {self.number}, request {try_.id}")
        state.answered = True
        if not state.out:
            del self.open[try_.id]
        self.handle(ClientDisconnected(try_.id))
        self.decisions.seen.pop(try_.id, None)
        return True

    # --- actions ---

    def set_timer(self, action: SetTimer) -> None:
        serial = self.timers[action.token] = self.timers.get(action.token, 0) + 1
        self.day.clock.after(action.delay_us, self.ring, self.life, action.token, serial)

    def ring(self, life: int, token: int, serial: int) -> None:
        if life == self.life and self.timers.get(token) == serial:
            self.handle(TimerFired(token))

    def tell(self, action: SendPeerMessage) -> None:
        for data in pack_datagrams(action.quota_messages, action.digest):
            self.day.network.datagram(self.number, action.peer, data)

    def note(self, try_id: str) -> Decided | None:
        return self.decisions.seen.get(try_id) if self.gateway else None

    def refuse(self, action: RejectRequest) -> None:
        self.answer(action.id, "refused", action.retry_after_us)

    def fail(self, action: FailRequest) -> None:
        self.answer(action.id, "failed", 0)

    def answer(self, name: str, how: str, retry_after_us: int) -> None:
        state = self.open.get(name)
        if state is None or state.answered:
            self.day.books.broke("a second answer", f"door {self.number}, request {name}")
            return
        rule = self.day.scenario.classes[state.try_.ask.kind]
        if how == "refused" and rule.keyed and state.attempts > state.proven:
            self.day.books.broke("refused though it may have run", f"door {self.number}, request {name}")
        state.answered = True
        if not state.out:
            del self.open[name]
        note = self.decisions.seen.pop(name, None)
        self.day.clients.answered(state.try_, how, retry_after_us, note, self)

    def send(self, action: StartAttempt) -> None:
        state, day = self.open.get(action.id), self.day
        now = day.clock.now
        if state is None or state.answered:
            day.books.broke("an attempt for a request that is over", f"door {self.number}, {action.id}")
            return
        number, state.attempts = state.attempts, state.attempts + 1
        server = day.servers.get(action.server)
        self.check_send(action, state, number, server)
        if number >= day.scenario.max_attempts or state.end_us <= now:
            state.proven += 1
            attempt = Attempt(number, action.server, server, now)
            state.out[number] = attempt
            day.clock.after(0, self.outcome, self.life, state, attempt, AttemptResult.NOT_SENT)
            return
        left = state.end_us - now
        timeout = min(left, action.timeout_us) if action.timeout_us > 0 else left
        attempt = state.out[number] = Attempt(number, action.server, server, now)
        if state.grouped is None or state.attempts - 1 == state.proven:
            state.grouped, state.since_us = server, now
        day.books.attempts += 1
        day.books.crossed += bool(server) and server.zone != self.zone
        day.clock.after(timeout, self.time_out, self.life, state, attempt)
        pool = self.pools.get(action.server)
        if pool and server is not None and server.alive:
            pool.pop()
            attempt.connected = True
            day.network.to_server(self, server, self.arrive, self.life, state, attempt, 0.0)
            return
        day.network.handshake(self, server, self.connected, self.life, state, attempt)

    def check_send(self, action: StartAttempt, state: Open, number: int, server: ScanServer | None) -> None:
        """The rules of the wire page that an attempt can break."""
        day, now = self.day, self.day.clock.now
        where = f"door {self.number}, {action.id} to {action.server}"
        if action.server not in self.named:
            day.books.broke("a server that no list named", where)
        told = self.told.get(action.server)
        if told is not None and now - told > day.scenario.drain_grace_ms * MS + RULE_SLACK_US:
            day.books.broke("sent to a server that drains or is gone", where)
        if len(state.out) > 0:
            day.books.broke("two attempts out at once", where)
        rule = day.scenario.classes[state.try_.ask.kind]
        if rule.keyed and number > state.proven and server is not None and state.grouped is not None:
            if server.zone != state.grouped.zone:
                day.books.broke("a keyed request sent on to another zone", where)
            elif now - state.since_us > rule.window_ms * day.scenario.stretch * MS + RULE_SLACK_US:
                day.books.broke("a keyed request sent after its window", where)

    def connected(self, life: int, state: Open, attempt: Attempt, up: bool) -> None:
        """A handshake has ended."""
        server = attempt.target
        if attempt.over or life != self.life:
            if up and server is not None:
                server.disconnect()  # nobody waits for it any more
            return
        self.day.books.handshake()
        if not up or server is None:
            self.outcome(life, state, attempt, AttemptResult.CONNECT_FAILED)
            return
        attempt.connected = True
        self.day.network.to_server(
            self, server, self.arrive, life, state, attempt, self.day.traits.handshake_us
        )

    def arrive(self, life: int, state: Open, attempt: Attempt, extra_us: float) -> None:
        """Its last byte has come to the server."""
        if attempt.over or life != self.life or attempt.target is None:
            return
        first = not attempt.whole and not state.try_.booked
        attempt.whole = True
        if first:
            state.try_.booked = True
            self.day.clients.sent_on(state.try_, self)
        day, server = self.day, attempt.target
        work = Work(
            state.try_.ask.work_us * max(0.2, day.streams["work"].lognormal(1.0, day.attempt_noise)),
            state.end_us,
            lambda work, how: self.ran(life, server, state, attempt, work, how),
        )
        attempt.work = work
        server.accept(work, self.number, extra_us)

    def ran(self, life: int, server: ScanServer, state: Open, attempt: Attempt, work: Work, how: str) -> None:
        """It has ended at its server, whoever hears of that."""
        ask = state.try_.ask
        if how != "full" and self.day.scenario.classes[ask.kind].keyed and server.zone not in ask.zones:
            self.day.books.zones += bool(ask.zones)
            ask.zones |= {server.zone}
        self.day.network.from_server(self, server, how, self.answered_by, life, state, attempt, work, how)

    def answered_by(self, life: int, state: Open, attempt: Attempt, work: Work, how: str) -> None:
        """A server's answer, or word that its connection broke, has come back."""
        if how == "silent" or attempt.over or life != self.life:
            return
        if how == "served":
            attempt.target.useful_us += 0.0 if state.answered else work.work_us
        self.outcome(life, state, attempt, RESULTS[how])

    def time_out(self, life: int, state: Open, attempt: Attempt) -> None:
        if attempt.over or life != self.life:
            return
        self.outcome(
            life, state, attempt, AttemptResult.TIMEOUT if attempt.whole else AttemptResult.CONNECT_FAILED
        )

    def cancel(self, action: CancelAttempt) -> None:
        state = self.open.get(action.id)
        attempt = state.out.get(action.attempt) if state else None
        if attempt and not attempt.over:
            self.day.clock.after(0, self.outcome, self.life, state, attempt, AttemptResult.CANCELLED)

    def release(self, attempt: Attempt, keep: bool) -> None:
        """Its connection goes back to the pool, or is closed."""
        server = attempt.target
        if attempt.connected and server is not None and server.alive:
            if keep:
                self.pools.setdefault(attempt.server, []).append(self.day.clock.now)
            else:
                server.disconnect()
                if attempt.work and attempt.work.state != "over":
                    server.leave(attempt.work)
        attempt.connected = False

    def outcome(self, life: int, state: Open, attempt: Attempt, result: AttemptResult) -> None:
        """An attempt's one end; the first value goes to the client at once."""
        if attempt.over or life != self.life or self.gateway is None:
            return
        attempt.over = True
        day, try_ = self.day, state.try_
        self.release(
            attempt, keep=result in (AttemptResult.SUCCESS, AttemptResult.ERROR, AttemptResult.AT_CAPACITY)
        )
        state.out.pop(attempt.number, None)
        state.proven += result in (AttemptResult.AT_CAPACITY, AttemptResult.CONNECT_FAILED)
        if state.attempts == state.proven:
            state.grouped = None
        day.books.outcomes[result.value] = day.books.outcomes.get(result.value, 0) + 1
        served = result is AttemptResult.SUCCESS and not state.answered
        over = served or state.answered
        if served:
            state.answered = True
            day.clients.answered(try_, "served", 0, self.decisions.seen.pop(try_.id, None), self)
        if state.answered and not state.out:
            self.open.pop(try_.id, None)
        self.handle(
            AttemptEnded(
                try_.id, over, attempt.number, attempt.server, result, day.clock.now - attempt.sent_us
            )
        )

    def ignore(self, action: Action) -> None:
        """What the list's watch does in any case, or nobody has use for here."""

    def log(self, action: WriteLog) -> None:
        self.day.books.log(self.number, action.text)

    def close_idle(self, action: CloseIdleConnections) -> None:
        server = self.day.servers.get(action.server)
        for _ in self.pools.pop(action.server, ()):
            if server:
                server.disconnect()


ACTIONS: dict[type, Callable[..., None]] = {
    StartAttempt: Door.send,
    CancelAttempt: Door.cancel,
    RejectRequest: Door.refuse,
    FailRequest: Door.fail,
    SetTimer: Door.set_timer,
    SendPeerMessage: Door.tell,
    WriteLog: Door.log,
    CloseIdleConnections: Door.close_idle,
    WatchEndpoints: Door.ignore,
    FetchEndpoints: Door.ignore,
    ProbeServer: Door.ignore,
    AddToCounter: Door.ignore,
}
