"""The front door: events to the decision module, its actions to the sockets, on one clock.

As on the simulator's wire, what has come in by one moment is a batch: each of its events is handed to
the module with the same time, in order of arrival, and its actions are carried out in order. What an
action itself brings about (an attempt that could not start) comes with a later batch.
"""

import asyncio
import logging
import random
import resource
from collections.abc import Callable
from dataclasses import fields, replace
from typing import TYPE_CHECKING

from thistletrail.gateway import cost_counters as costs
from thistletrail.gateway.backends import NEVER, Attempt, Backends, now_us
from thistletrail.gateway.clients import FAILED, Clients, Command, CommandError, CommandParser, Reply
from thistletrail.gateway.config import Config
from thistletrail.gateway.deadline import Deadline, DeadlineSource, Stage
from thistletrail.gateway.discovery_client import DiscoveryClient
from thistletrail.gateway.endpoint_list import EndpointListCodec, EndpointListUpdate
from thistletrail.gateway.peer_transport import PeerTransport
from thistletrail.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from thistletrail.policy.engine import PolicyEngine
from thistletrail.policy.events import (
    NEVER_RAN_RESULTS,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointUpdateKind,
    Event,
    LoadReport,
    ShutdownStarted,
    TimerFired,
)
from thistletrail.policy.settings import Effect

if TYPE_CHECKING:
    from thistletrail.gateway.takeover import Nobody, Takeover

log = logging.getLogger(__name__)

BACKSTOP_US = 15_000  # how much later than the module a request is ended here, should it not do so
# Turns of the loop from an attempt's timer to the module's answer: its connection is closed in the first, its
# outcome posted in the same or the next, and handed on in the one after.
TURNS_OF_OUTCOME = 3
FIRST_LIST_S = 0.3  # how long the start waits for a list that is newer than the known one
RING_AGAIN_US = 20_000  # how soon a timer comes again on which the module failed
# After SIGTERM an end by force comes no sooner than the longest deadline, 3 s at least, and 0.7 s more, of
# which the last 0.2 s are for the answers' way and for our own end.
LEAST_DRAIN_US, DRAIN_EXTRA_US = 3_000_000, 500_000
SETTLE_S = 0.6  # after SIGTERM new connections go on coming for up to 0.4 s
LAST_WRITES_S = 1.0  # how long clients may take to read their last answers, or to ask at last
SPARE_SOCKETS = 32  # for listening, discovery, peers, the loop and log
CLIENT_SHARE = 0.8  # of the other sockets
HELD_SHARE = 1 / 8  # of the memory: for commands that are not answered yet
WAITING_SHARE = 1 / 8  # of the memory: for commands in part, and answers that clients don't read
ANSWERS_SHARE = 1 / 8  # of the memory: for answers of scan servers that are not whole yet
REQUEST_BYTES = 4096  # that an open request takes besides its command


class Exchange:
    """A request from its arrival until its answer, with the attempts that are out."""

    __slots__ = ("attempts", "budget", "command", "course", "out", "ran_us", "reply", "timer")

    def __init__(self, command: Command, reply: Reply, budget: Deadline) -> None:
        self.command, self.reply, self.budget = command, reply, budget
        self.attempts = 0
        self.course: list[tuple[int, int, int]] = []  # of ended attempts: begun, written or 0, ended
        self.out: dict[int, Attempt] = {}
        self.ran_us = NEVER  # when the first attempt was written that may have run
        self.timer: asyncio.TimerHandle | None = None

    def spent(self, now: int) -> Deadline:
        """Its budget with what each stage has taken by now."""
        budget = self.budget
        out = [(attempt.sent_us, attempt.written_us, now) for attempt in self.out.values()]
        for begun, written, ended in (*self.course, *out):
            budget = budget.enter(Stage.CONNECTING, begun)
            if written:
                budget = budget.enter(Stage.WAITING, written)
            budget = budget.enter(Stage.HELD, ended)
        return budget


class FrontDoor:
    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.costs = costs.CostCounters(config.time_stages)
        stages = self.costs.stages
        self.gateway = PolicyEngine(config.settings)
        self.gateway.handle = stages.wrap(costs.DECISIONS, self.gateway.handle)
        self.run_batch = stages.wrap(costs.ACTIONS, self.run_batch)
        self.inbox: list[Event | Exchange] = []  # an exchange: its request, which is new
        self.takeover: Takeover | None = None  # where work in hand is kept
        self.open: dict[str, Exchange] = {}  # requests that are owed an answer
        self.ended: dict[str, Exchange] = {}  # those answered with attempts still out
        self.held_bytes = 0
        self.timers: dict[int, asyncio.TimerHandle] = {}  # by token: the module has one of each at most
        self.timer_us = NEVER  # when the one set last is due
        self.last_us = NEVER  # until when a drain lets requests last
        self.address = config.listen
        memory = config.memory_mb << 20
        self.most_held = round(memory * HELD_SHARE)
        granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = max(16, min(config.sockets, granted) - SPARE_SOCKETS)
        most_clients = round(sockets * CLIENT_SHARE)
        self.backends = Backends(
            config.conn_idle_us,
            config.connect_timeout_us,
            sockets - most_clients,
            self.costs,
            round(memory * ANSWERS_SHARE),
        )
        self.parser = CommandParser(config)
        self.clients = Clients(
            most_clients,
            round(memory * WAITING_SHARE),
            self.take,
            self.client_gone,
            self.backends.spawn,
            self.costs,
            lambda: self.timer_us,
        )
        self.peers = PeerTransport(config.peers, config.settings.gateway_index, self.post, self.costs)
        self.catalog = EndpointListCodec(config)
        known = self.read_known()
        version = known.event.version if known else 0
        self.discovery = DiscoveryClient(
            config.discovery,
            self.catalog,
            version,
            self.list_heard,
            self.backends.spawn,
            self.costs,
            random.Random(config.settings.seed),
        )
        self.carry_out: dict[type, Callable[..., None]] = {
            StartAttempt: stages.wrap(costs.BACKENDS, self.send),
            CancelAttempt: self.cancel,
            RejectRequest: self.refuse,
            FailRequest: self.fail,
            SetTimer: self.set_timer,
            WriteLog: self.log_line,
            SendPeerMessage: stages.wrap(costs.PEERS, self.peers.send),
            CloseIdleConnections: lambda action: self.backends.close_idle(action.server),
            WatchEndpoints: lambda action: None,
            FetchEndpoints: lambda action: None,  # the watch is always on
        }

    # --- start and end ---

    def read_known(self) -> EndpointListUpdate | None:
        if not self.config.known:
            return None
        try:
            news = self.catalog.decode_update(self.config.known, EndpointUpdateKind.CACHED)
        except (KeyError, TypeError, ValueError) as error:
            log.error("the known list makes no sense: %s", error)
            return None
        self.list_heard(news)
        return news

    def known_list(self) -> dict[str, object]:
        """The list of scan servers as it is known now, in discovery's form."""
        pools = self.backends.pools
        entries = [
            self.catalog.encode_entry(server.entry, pools[name].address)
            for name, server in self.gateway.servers_by_name.items()
            if name in pools
        ]
        return {"generation": self.discovery.version or 0, "reset": True, "instances": entries}

    async def start(self) -> None:
        """Serve; returns once clients are answered. An address that cannot be had is an OSError."""
        self.backends.sweep()
        if self.settings.may_message_peers and self.config.peer_listen:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)
        self.discovery.start()
        try:
            await asyncio.wait_for(self.discovery.first_update.wait(), FIRST_LIST_S)
        except TimeoutError:
            log.warning("discovery is silent; starting with the known list")
        self.address = self.clients.listen(self.config.listen)

    def reconfigure(self, config: Config) -> None:
        """Take over what can change while it serves: the address of discovery."""
        fixed = replace(
            config,
            discovery=self.config.discovery,
            known=self.config.known,
            settings=replace(config.settings, seed=self.settings.seed),
        )
        changed = [
            field.name
            for field in fields(fixed)
            if getattr(fixed, field.name) != getattr(self.config, field.name)
        ]
        if changed:
            log.warning("a restart is needed for new values of: %s", ", ".join(changed))
        where = ", ".join(f"{host}:{port}" for host, port in config.discovery)
        log.info("takes over the configuration: discovery at %s", where)
        self.discovery.change_addresses(config.discovery)

    async def drain(self) -> None:
        """Take and answer what still comes, then close what is idle, and answer all that is held."""
        longest = max((rule.deadline_us for rule in self.settings.classes), default=0)
        left = max(LEAST_DRAIN_US, longest) + DRAIN_EXTRA_US
        self.last_us = now_us() + left
        for exchange in list(self.open.values()):
            self.limit(exchange)
        self.post(ShutdownStarted(left))
        if self.takeover:
            self.takeover.drain()
        await asyncio.sleep(SETTLE_S)
        self.clients.drain()
        while not await self.clients.left(LAST_WRITES_S):
            owed = self.clients.is_owed() and now_us() < self.last_us
            if not self.open and not owed:  # a request may still come on a connection that has had none
                log.warning("%d clients stay without a request", len(self.clients.connections))
                break
        if self.takeover:  # what another door's clients wait for
            self.takeover.hand_all_over()
        self.close()

    def close(self) -> None:
        """Let go of all sockets."""
        self.peers.close()
        self.clients.close()
        self.backends.close()

    def cost_line(self) -> str:
        """What the requests so far have cost, as a line for the log."""
        held = {"requests": self.held_bytes, "clients": self.clients.waiting_bytes()}
        descriptors = {
            "clients": self.clients.sockets,
            "listener": int(self.clients.listener is not None),
            "backends": self.backends.count(),
            "discovery": self.discovery.sockets,
            "peers": int(self.peers.transport is not None),
        }
        age = self.discovery.age_s()
        ages = {"list": round(age, 1)} if age >= 0 else {}
        return costs.to_log_line(costs.report(self.costs, held, descriptors, ages))

    # --- events ---

    def limit(self, exchange: Exchange) -> None:
        """Hold a request to what the drain leaves, with its attempts and its back-stop."""
        budget = exchange.budget.until(self.last_us, DeadlineSource.DRAIN)
        if budget is exchange.budget:
            return
        exchange.budget = budget
        self.back_stop(exchange, now_us())
        for attempt in exchange.out.values():
            if attempt.end_us > budget.end_us:
                attempt.wait(budget.remaining_us(now_us()))

    def back_stop(self, exchange: Exchange, now: int) -> None:
        """The module owes an answer in time; this keeps the promise to the client should it fail to."""
        if exchange.timer:
            exchange.timer.cancel()
        delay = (exchange.budget.remaining_us(now) + BACKSTOP_US) / 1e6
        exchange.timer = self.loop.call_later(delay, self.overdue, exchange.reply.id)

    def post(self, event: Event | Exchange) -> None:
        if not self.inbox:
            self.loop.call_soon(self.run_batch)
        self.inbox.append(event)

    def run_batch(self) -> None:
        now, events, self.inbox = now_us(), self.inbox, []
        for event in events:
            if type(event) is Exchange:  # what is left counts from the batch's time, as the module's does
                event = event.command.request(remaining_us=event.budget.remaining_us(now))
            for action in self.decide(now, event):
                self.act(action)
            if type(event) is ClientDisconnected:
                self.forget(event.id)

    def decide(self, now: int, event: Event) -> list[Action]:
        """What the module makes of an event; where it fails, the event's request is given up."""
        try:
            return self.gateway.handle(now, event)
        except Exception:
            log.exception("the module failed on %r", event)
            self.give_up(getattr(event, "id", ""))
            if isinstance(event, TimerFired):  # the module lives by it: it comes again
                self.set_timer(SetTimer(RING_AGAIN_US, event.token))
            return []

    def act(self, action: Action) -> None:
        try:
            self.carry_out[type(action)](action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.give_up(getattr(action, "id", ""))

    def give_up(self, request_id: str) -> None:
        """Fail a request over a fault, and have the module forget it."""
        if exchange := self.open.get(request_id):
            self.fail(FailRequest(request_id))
            self.tell_gone(request_id, exchange)

    def list_heard(self, news: EndpointListUpdate) -> None:
        whole = news.event.kind is not EndpointUpdateKind.CHANGES
        states = {server.name: server.state for server in news.event.servers}
        self.backends.update(states, news.addresses, whole)
        self.post(news.event)

    def take(self, words: list[bytes], reply: Reply) -> None:
        """A client's command; one that is wrong is a CommandError."""
        command = self.parser.parse(words)
        if command.id in self.open or command.id in self.ended:
            raise CommandError("this id is in use")
        if self.is_full():
            raise CommandError("too many requests are open")
        now = now_us()
        budget = Deadline.start(command.wait_us, reply.connection.unread_us(now), now)
        if self.last_us < budget.end_us:
            budget = budget.until(self.last_us, DeadlineSource.DRAIN)
        reply.id = command.id
        self.post(self.begin(command, reply, budget, now))

    def is_full(self) -> bool:
        return len(self.open) >= self.config.max_open or self.held_bytes > self.most_held

    def begin(self, command: Command, reply: "Reply | Nobody", budget: Deadline, now: int) -> Exchange:
        """A request is owed an answer, by the id of its reply."""
        exchange = Exchange(command, reply, budget)
        self.back_stop(exchange, now)
        self.open[reply.id] = exchange
        self.held_bytes += command.size + REQUEST_BYTES
        self.costs.requests += 1
        return exchange

    def exchange(self, command: Command, reply: "Nobody", budget: Deadline) -> Exchange | None:
        """One for work that another front door has taken; none where too much is open here."""
        if reply.id in self.open or self.is_full():
            return None
        return self.begin(command, reply, budget, now_us())

    def overdue(self, request_id: str, turns: int = TURNS_OF_OUTCOME) -> None:
        """Where this process has stood still, what came due meanwhile is still to be handed to the module,
        which has its say first."""
        if request_id not in self.open:
            return
        if turns:
            self.loop.call_soon(self.overdue, request_id, turns - 1)
            return
        log.error("request %s was left without an answer", request_id)
        self.give_up(request_id)

    def client_gone(self, reply: Reply) -> None:
        if reply.id is not None and (exchange := self.settle(reply.id)):
            self.costs.gone += 1
            for attempt in list(exchange.out.values()):
                attempt.withdraw()
            if self.takeover:
                self.takeover.ended(reply.id)
            self.tell_gone(reply.id, exchange)

    def tell_gone(self, request_id: str, exchange: Exchange) -> None:
        """Have the module forget a request. What it has been told before may still bring an attempt of it,
        and the outcome of that needs its number: the exchange is kept until the module has heard."""
        self.ended[request_id] = exchange
        self.post(ClientDisconnected(request_id))

    def forget(self, request_id: str) -> None:
        """The module has heard that a request is over."""
        exchange = self.ended.get(request_id)
        if exchange and not exchange.out:
            del self.ended[request_id]

    # --- actions ---

    def send(self, action: StartAttempt) -> None:
        exchange = self.open.get(action.id)
        if exchange and not exchange.reply.is_wanted():
            self.client_gone(exchange.reply)
            exchange = None
        if exchange is None or exchange.attempts >= self.settings.max_attempts:
            ended = exchange or self.ended.get(action.id)
            number = ended.attempts if ended else 0
            if ended:
                ended.attempts += 1
            self.post(
                AttemptEnded(action.id, exchange is None, number, action.server, AttemptResult.NOT_SENT, 0)
            )
            return
        left = exchange.budget.remaining_us(now_us())
        timeout = min(left, action.timeout_us) if action.timeout_us > 0 else left
        number, exchange.attempts = exchange.attempts, exchange.attempts + 1
        self.costs.attempts += 1
        attempt = Attempt(action.id, number, action.server, exchange.command.payload, self.attempt_done)
        exchange.out[number] = attempt
        rule = self.settings.classes[exchange.command.class_index]
        if (
            rule.effect is Effect.IDEMPOTENT_BY_KEY
        ):  # connecting takes its time, and repeats are dropped for so long
            attempt.write_by_us = exchange.ran_us + rule.idempotency_window_us
        if self.takeover and self.takeover.covers(exchange):
            attempt.wait(timeout)
            self.takeover.before(exchange, attempt)
        else:
            self.backends.send(attempt, timeout)

    def attempt_done(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """An attempt's one outcome; the first value goes to the client at once and closes the request."""
        name, now = attempt.request_id, now_us()
        exchange = self.open.get(name)
        over = exchange is None
        if over:
            exchange = self.ended.get(name)
        else:
            exchange.course.append((attempt.sent_us, attempt.written_us, now))
            if attempt.written_us and result not in NEVER_RAN_RESULTS:
                exchange.ran_us = min(exchange.ran_us, attempt.written_us)
            if result is AttemptResult.OK and value is not None:
                data = b"$%d\r\n%b\r\n" % (len(value), value)
                if not self.takeover or not self.takeover.served(name, data, value):
                    self.costs.served += self.answer(name, data, "was served")
                over = True
        if exchange:
            exchange.out.pop(attempt.number, None)
            if over and not exchange.out:
                self.ended.pop(name, None)
            if self.takeover:
                self.takeover.noted(name, result, bool(exchange.out))
        took = now - attempt.sent_us
        self.post(AttemptEnded(name, over, attempt.number, attempt.server, result, took, report=report))

    def cancel(self, action: CancelAttempt) -> None:
        exchange = self.open.get(action.id) or self.ended.get(action.id)
        attempt = exchange.out.get(action.attempt) if exchange else None
        if attempt:
            attempt.cancel()

    def refuse(self, action: RejectRequest) -> None:
        if self.takeover:
            self.takeover.ended(action.id, refused=True)
        wait_ms = action.retry_after_us // 1000
        word = b"-BUSY %d\r\n" % wait_ms if wait_ms > 0 else b"-BUSY\r\n"
        self.costs.refused += self.answer(action.id, word, "was refused")

    def fail(self, action: FailRequest) -> None:
        if self.takeover:
            self.takeover.ended(action.id)
        self.costs.failed += self.answer(action.id, FAILED, "failed")

    def answer(self, name: str, data: bytes, how: str) -> bool:
        """Whether it was still owed one."""
        exchange = self.settle(name)
        if exchange is None:
            return False
        now, reply, budget = now_us(), exchange.reply, exchange.budget
        took = now - budget.end_us + budget.given_us
        if data is FAILED or took > self.settings.classes[exchange.command.class_index].latency_objective_us:
            budget = exchange.spent(now)
            self.costs.count_late(budget, now)
            log.info(
                "request %s %s after %d ms: %s",
                name,
                how,
                took // 1000,
                ", ".join(
                    f"{stage.name.lower()} {spent // 1000}"
                    for stage, spent in zip(Stage, budget.spent_by(now), strict=True)
                    if spent
                ),
            )
        elif reply.waits():
            reply.end_us = budget.end_us
            reply.budget = lambda: exchange.spent(now).enter(Stage.ANSWERING, now)
        reply.send(data)
        return True

    def settle(self, name: str) -> Exchange | None:
        """The request is owed nothing more; None if that is so already."""
        exchange = self.open.pop(name, None)
        if exchange is None:
            return None
        self.held_bytes -= exchange.command.size + REQUEST_BYTES
        if exchange.timer:
            exchange.timer.cancel()
        if exchange.out:
            self.ended[name] = exchange
        return exchange

    def set_timer(self, action: SetTimer) -> None:
        """Of each token the module waits for the timer that it set last: an older one, which is due later,
        would wake it for nothing."""
        if older := self.timers.pop(action.token, None):
            older.cancel()
        self.timer_us = now_us() + action.delay_us
        self.ring(self.timer_us, action.token)

    def ring(self, due_us: int, token: int) -> None:
        """The loop's timers go by milliseconds and may be early; the module would pass over such a one
        and, as it takes it for still set, never set another."""
        left = due_us - now_us()
        if left > 0:
            self.timers[token] = self.loop.call_later(max(1000, left) / 1e6, self.ring, due_us, token)
        else:
            self.timers.pop(token, None)
            self.timer_us = NEVER
            self.post(TimerFired(token))

    def log_line(self, action: WriteLog) -> None:
        log.info("%s", action.text)
