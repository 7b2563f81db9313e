"""All requests of a gateway: their arrival, their attempts, their time limits and their one answer."""

import asyncio
import logging

from thistletrail.gateway.backends import NEVER, Attempt, now_us
from thistletrail.gateway.clients import FAILED_RESPONSE, Command, CommandError, CommandParser, Reply
from thistletrail.gateway.config import Config
from thistletrail.gateway.cost_counters import CostCounters
from thistletrail.gateway.deadline import Deadline, DeadlineSource, Stage
from thistletrail.gateway.exchange import (
    AttemptSender,
    AttemptTimes,
    EventSink,
    Exchange,
    ReplyTarget,
    WorkLeases,
)
from thistletrail.policy.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from thistletrail.policy.events import (
    NEVER_RAN_RESULTS,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    LoadReport,
)
from thistletrail.policy.settings import Effect

log = logging.getLogger(__name__)

BACKSTOP_US = 15_000  # how much later than the policy a request is ended here, should the policy not do so
# Turns of the loop from an attempt's timer to the policy's answer: its connection is closed in the first, its
# outcome posted in the same or the next, and handled in the one after.
OUTCOME_TURNS = 3
REQUEST_OVERHEAD_BYTES = 4096  # that an open request takes besides its command


class Exchanges:
    """All requests of a gateway: each gets one answer, and the policy hears how each attempt ended."""

    def __init__(
        self,
        config: Config,
        parser: CommandParser,
        events: EventSink,
        attempts: AttemptSender,
        costs: CostCounters,
        max_buffered_bytes: int,
    ) -> None:
        """`max_buffered_bytes` bounds the commands that are not answered yet."""
        self.settings = config.settings
        self.max_unanswered = config.max_open
        self.max_buffered_bytes = max_buffered_bytes
        self.parser = parser
        self.events = events
        self.attempts = attempts
        self.costs = costs
        self.work_leases: WorkLeases | None = None  # None: nothing is taken over by other gateways
        self.loop = asyncio.get_running_loop()
        self.unanswered: dict[str, Exchange] = {}  # by request id
        self.answered_in_flight: dict[str, Exchange] = {}  # answered with attempts still in flight
        self.buffered_bytes = 0
        self.drain_end_us = NEVER  # until when a drain lets requests last

    # --- arrival ---

    def on_command(self, arguments: list[bytes], reply: Reply) -> None:
        """Take a client's command in; one that is wrong is a CommandError."""
        command = self.parser.parse(arguments)
        if command.id in self.unanswered or command.id in self.answered_in_flight:
            raise CommandError("this id is in use")
        if self.is_full():
            raise CommandError("too many requests are open")
        now = now_us()
        budget = Deadline.start(command.wait_us, reply.connection.unread_us(now), now)
        if self.drain_end_us < budget.end_us:
            budget = budget.until(self.drain_end_us, DeadlineSource.DRAIN)
        reply.id = command.id
        self.events.post(self.open(command, reply, budget, now))

    def is_full(self) -> bool:
        """Whether no further request can be taken in."""
        return len(self.unanswered) >= self.max_unanswered or self.buffered_bytes > self.max_buffered_bytes

    def open(self, command: Command, reply: ReplyTarget, budget: Deadline, now: int) -> Exchange:
        """Owe a request an answer, by the id of its reply."""
        exchange = Exchange(command, reply, budget)
        self.set_backstop(exchange, now)
        self.unanswered[reply.id] = exchange
        self.buffered_bytes += command.size_bytes + REQUEST_OVERHEAD_BYTES
        self.costs.requests += 1
        return exchange

    def open_transferred(self, command: Command, reply: ReplyTarget, budget: Deadline) -> Exchange | None:
        """Open a request that another gateway took in; None where too much is open here."""
        if reply.id in self.unanswered or self.is_full():
            return None
        return self.open(command, reply, budget, now_us())

    # --- time limits ---

    def limit_all(self, end_us: int) -> None:
        """End all requests by `end_us`, those to come as well."""
        self.drain_end_us = end_us
        for exchange in list(self.unanswered.values()):
            self.limit(exchange)

    def limit(self, exchange: Exchange) -> None:
        """Bound a request, its attempts and its backstop by the end of the drain."""
        budget = exchange.budget.until(self.drain_end_us, DeadlineSource.DRAIN)
        if budget is exchange.budget:
            return
        exchange.budget = budget
        self.set_backstop(exchange, now_us())
        for attempt in exchange.in_flight.values():
            if attempt.end_us > budget.end_us:
                attempt.set_timeout(budget.remaining_us(now_us()))

    def set_backstop(self, exchange: Exchange, now: int) -> None:
        """The policy owes an answer in time; the backstop keeps the promise to the client should it fail."""
        if exchange.backstop:
            exchange.backstop.cancel()
        delay_s = (exchange.budget.remaining_us(now) + BACKSTOP_US) / 1e6
        exchange.backstop = self.loop.call_later(delay_s, self.on_backstop, exchange.reply.id)

    def on_backstop(self, request_id: str, turns: int = OUTCOME_TURNS) -> None:
        """Fail a request that the policy left unanswered.

        After a pause of the process all timers are due at once: the policy gets `turns` turns of the loop to
        handle what came due meanwhile first.
        """
        if request_id not in self.unanswered:
            return
        if turns:
            self.loop.call_soon(self.on_backstop, request_id, turns - 1)
            return
        log.error("request %s was left without an answer", request_id)
        self.give_up(request_id)

    # --- attempts ---

    def start_attempt(self, action: StartAttempt) -> None:
        """Send an attempt, unless its request is over or has had its number of attempts."""
        exchange = self.unanswered.get(action.id)
        if exchange is not None and not exchange.reply.is_wanted():
            self.on_client_disconnected(exchange.reply)
            exchange = None
        if exchange is None:
            self.report_not_sent(action, self.answered_in_flight.get(action.id), is_over=True)
            return
        if exchange.attempt_count >= self.settings.max_attempts:
            self.report_not_sent(action, exchange, is_over=False)
            return
        remaining_us = exchange.budget.remaining_us(now_us())
        timeout_us = min(remaining_us, action.timeout_us) if action.timeout_us > 0 else remaining_us
        attempt = self.new_attempt(exchange, action)
        if self.work_leases and self.work_leases.covers(exchange):
            attempt.set_timeout(timeout_us)
            self.work_leases.start_attempt(exchange, attempt)
        else:
            self.attempts.send(attempt, timeout_us)

    def report_not_sent(self, action: StartAttempt, exchange: Exchange | None, is_over: bool) -> None:
        """Tell the policy that an attempt was not sent, under the request's next attempt number."""
        number = 0
        if exchange is not None:
            number = exchange.attempt_count
            exchange.attempt_count += 1
        self.events.post(AttemptEnded(action.id, is_over, number, action.server, AttemptResult.NOT_SENT, 0))

    def new_attempt(self, exchange: Exchange, action: StartAttempt) -> Attempt:
        """The request's next attempt, which counts as in flight from now on."""
        number = exchange.attempt_count
        exchange.attempt_count += 1
        self.costs.attempts += 1
        attempt = Attempt(action.id, number, action.server, exchange.command.payload, self.on_attempt_ended)
        exchange.in_flight[number] = attempt
        rule = self.settings.classes[exchange.command.class_index]
        if rule.effect is Effect.IDEMPOTENT_BY_KEY:
            # Connecting takes its time, and servers drop repeats of a key only within the window.
            attempt.write_by_us = exchange.first_run_us + rule.idempotency_window_us
        return attempt

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Stop waiting for an attempt, if it is still in flight."""
        exchange = self.unanswered.get(action.id) or self.answered_in_flight.get(action.id)
        attempt = exchange.in_flight.get(action.attempt) if exchange else None
        if attempt:
            attempt.cancel()

    def on_attempt_ended(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """An attempt's one outcome; the first value goes to the client at once and closes the request."""
        request_id = attempt.request_id
        now = now_us()
        exchange = self.unanswered.get(request_id)
        is_over = exchange is None
        if exchange is None:
            exchange = self.answered_in_flight.get(request_id)
        else:
            self.note_attempt(exchange, attempt, result, now)
            if result is AttemptResult.OK and value is not None:
                self.deliver(request_id, value)
                is_over = True
        if exchange:
            self.remove_attempt(exchange, attempt, result, is_over)
        took_us = now - attempt.started_us
        self.events.post(
            AttemptEnded(request_id, is_over, attempt.number, attempt.server, result, took_us, report=report)
        )

    def note_attempt(self, exchange: Exchange, attempt: Attempt, result: AttemptResult, now: int) -> None:
        """Add an ended attempt to the history of its unanswered request."""
        exchange.attempt_history.append(AttemptTimes(attempt.started_us, attempt.written_us, now))
        if attempt.written_us and result not in NEVER_RAN_RESULTS:
            exchange.first_run_us = min(exchange.first_run_us, attempt.written_us)

    def deliver(self, request_id: str, value: bytes) -> None:
        """Answer with a server's value, at once or when the lease service has recorded it."""
        response = b"$%d\r\n%b\r\n" % (len(value), value)
        if not self.work_leases or not self.work_leases.record_outcome(request_id, response, value):
            self.serve(request_id, response)

    def serve(self, request_id: str, response: bytes) -> None:
        """Answer with a value, in RESP."""
        self.costs.served += self.answer(request_id, response, "was served")

    def remove_attempt(
        self, exchange: Exchange, attempt: Attempt, result: AttemptResult, is_over: bool
    ) -> None:
        """An ended attempt is no longer in flight."""
        exchange.in_flight.pop(attempt.number, None)
        has_others = bool(exchange.in_flight)
        if is_over and not has_others:
            self.answered_in_flight.pop(attempt.request_id, None)
        if self.work_leases:
            self.work_leases.on_attempt_ended(attempt.request_id, result, has_others)

    # --- end ---

    def on_client_disconnected(self, reply: ReplyTarget) -> None:
        """A client is gone: nothing more of its request is written, and the policy forgets it."""
        if reply.id is None:
            return
        exchange = self.settle(reply.id)
        if exchange is None:
            return
        self.costs.gone += 1
        for attempt in list(exchange.in_flight.values()):
            attempt.cancel_unless_written()
        if self.work_leases:
            self.work_leases.on_request_over(reply.id)
        self.post_disconnected(reply.id, exchange)

    def post_disconnected(self, request_id: str, exchange: Exchange) -> None:
        """Have the policy forget a request.

        Events before this one may still bring an attempt of it, whose outcome needs its number: the exchange
        is kept until the policy has handled this event.
        """
        self.answered_in_flight[request_id] = exchange
        self.events.post(ClientDisconnected(request_id))

    def forget(self, request_id: str) -> None:
        """The policy has handled a request's `ClientDisconnected`."""
        exchange = self.answered_in_flight.get(request_id)
        if exchange and not exchange.in_flight:
            del self.answered_in_flight[request_id]

    def give_up(self, request_id: str) -> None:
        """Fail a request over a fault of the gateway, and have the policy forget it."""
        if exchange := self.unanswered.get(request_id):
            self.fail(FailRequest(request_id))
            self.post_disconnected(request_id, exchange)

    def reject(self, action: RejectRequest) -> None:
        """Answer BUSY, with the time after which the client may retry, in ms."""
        if self.work_leases:
            self.work_leases.on_request_over(action.id, was_rejected=True)
        retry_after_ms = action.retry_after_us // 1000
        response = b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"
        self.costs.refused += self.answer(action.id, response, "was rejected")

    def fail(self, action: FailRequest) -> None:
        """Answer that the request failed."""
        if self.work_leases:
            self.work_leases.on_request_over(action.id)
        self.costs.failed += self.answer(action.id, FAILED_RESPONSE, "failed")

    def answer(self, request_id: str, response: bytes, outcome: str) -> bool:
        """Send a request's answer; whether it was still owed one. `outcome` is for the log."""
        exchange = self.settle(request_id)
        if exchange is None:
            return False
        now = now_us()
        reply = exchange.reply
        budget = exchange.budget
        took_us = now - budget.end_us + budget.given_us
        objective_us = self.settings.classes[exchange.command.class_index].latency_objective_us
        if response is FAILED_RESPONSE or took_us > objective_us:
            self.count_late(exchange, request_id, outcome, took_us, now)
        elif reply.waits():
            reply.end_us = budget.end_us
            reply.budget = lambda: exchange.spent_budget(now).enter(Stage.ANSWERING, now)
        reply.send(response)
        return True

    def count_late(self, exchange: Exchange, request_id: str, outcome: str, took_us: int, now: int) -> None:
        """Count and log the stages of a request that failed or missed its latency objective."""
        budget = exchange.spent_budget(now)
        self.costs.count_late(budget, now)
        stages = ", ".join(
            f"{stage.name.lower()} {spent_us // 1000}"
            for stage, spent_us in zip(Stage, budget.spent_by(now), strict=True)
            if spent_us
        )
        log.info("request %s %s after %d ms: %s", request_id, outcome, took_us // 1000, stages)

    def settle(self, request_id: str) -> Exchange | None:
        """Owe a request nothing more; None if that is so already."""
        exchange = self.unanswered.pop(request_id, None)
        if exchange is None:
            return None
        self.buffered_bytes -= exchange.command.size_bytes + REQUEST_OVERHEAD_BYTES
        if exchange.backstop:
            exchange.backstop.cancel()
        if exchange.in_flight:
            self.answered_in_flight[request_id] = exchange
        return exchange
