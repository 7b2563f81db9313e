"""All open requests of a gateway: their arrival, attempts, time limits and single answer."""

import asyncio
import logging
from functools import partial

from thistletrail.gateway.backends import NEVER, Attempt, now_us
from thistletrail.gateway.client_connection import FAILED_RESPONSE, Reply
from thistletrail.gateway.command_parser import (
    Command,
    CommandError,
    CommandParser,
    TooManyRequestsError,
)
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
from thistletrail.gateway.recent_request_ids import RecentRequestIds
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

# The policy ends each request by its deadline. If it fails to, the backstop ends the request this much later.
BACKSTOP_DELAY_US = 15_000
# Event loop iterations from an attempt's time-out to the policy's answer: the first closes the connection,
# the same or the next one posts the outcome, and the one after that handles it.
OUTCOME_LOOP_ITERATIONS = 3
REQUEST_OVERHEAD_BYTES = 4096  # memory of an open request in addition to its command


class Exchanges:
    """All open requests of a gateway.

    Answers each request exactly once, and reports the outcome of each attempt to the policy.
    """

    def __init__(
        self,
        config: Config,
        parser: CommandParser,
        events: EventSink,
        attempts: AttemptSender,
        costs: CostCounters,
        max_buffered_bytes: int,
        max_recent_ids: int,
    ) -> None:
        """`max_buffered_bytes` limits the memory of all unanswered requests together.

        `max_recent_ids` is how many ids of ended requests are remembered.
        """
        self.settings = config.settings
        self.max_unanswered = config.max_open
        self.max_buffered_bytes = max_buffered_bytes
        self.parser = parser
        self.events = events
        self.attempts = attempts
        self.costs = costs
        self.work_leases: WorkLeases | None = None  # None: other gateways take over no requests
        self.loop = asyncio.get_running_loop()
        self.unanswered: dict[str, Exchange] = {}  # by request id
        self.answered_in_flight: dict[str, Exchange] = {}  # answered, with attempts still in flight
        self.recent_ids = RecentRequestIds(max_recent_ids)
        self.buffered_bytes = 0
        self.drain_end_us = NEVER  # when a graceful shutdown ends all requests

    # --- arrival ---

    def on_command(self, arguments: list[bytes], reply: Reply) -> None:
        """Accept a request from a client; raises CommandError if it is rejected without an attempt."""
        command = self.parser.parse(arguments)
        now = now_us()
        if self.is_id_in_use(command.id, now):
            raise CommandError("this id is in use")
        if self.is_full():
            raise TooManyRequestsError
        deadline = Deadline.start(command.wait_us, reply.connection.unread_us(now), now)
        if self.drain_end_us < deadline.end_us:
            deadline = deadline.capped_at(self.drain_end_us, DeadlineSource.DRAIN)
        reply.id = command.id
        self.events.post(self.open_exchange(command, reply, deadline, now))

    def is_id_in_use(self, request_id: str, now: int) -> bool:
        """Whether a request of this id is open, or has ended and may have run: it must not run again.

        Its client may have disconnected since, and so may send it again on another connection.
        """
        return (
            request_id in self.unanswered
            or request_id in self.answered_in_flight
            or self.recent_ids.contains(request_id, now)
        )

    def is_full(self) -> bool:
        """Whether no further request can be accepted."""
        return len(self.unanswered) >= self.max_unanswered or self.buffered_bytes > self.max_buffered_bytes

    def open_exchange(self, command: Command, reply: ReplyTarget, deadline: Deadline, now: int) -> Exchange:
        """Register an unanswered request under the id of its reply, and start its backstop."""
        exchange = Exchange(command, reply, deadline)
        self.set_backstop(exchange, now)
        self.unanswered[reply.id] = exchange
        self.buffered_bytes += command.size_bytes + REQUEST_OVERHEAD_BYTES
        self.costs.requests += 1
        return exchange

    def open_transferred(self, command: Command, reply: ReplyTarget, deadline: Deadline) -> Exchange | None:
        """Open a request that another gateway accepted.

        Returns None if the id is in use or no further request can be accepted.
        """
        if reply.id in self.unanswered or self.is_full():
            return None
        return self.open_exchange(command, reply, deadline, now_us())

    # --- time limits ---

    def cap_deadlines(self, end_us: int) -> None:
        """Limit the deadlines of all present and future requests to `end_us`."""
        self.drain_end_us = end_us
        for exchange in list(self.unanswered.values()):
            self.cap_deadline(exchange)

    def cap_deadline(self, exchange: Exchange) -> None:
        """Limit a request, its attempts and its backstop to the end of the graceful shutdown."""
        deadline = exchange.deadline.capped_at(self.drain_end_us, DeadlineSource.DRAIN)
        if deadline is exchange.deadline:
            return
        exchange.deadline = deadline
        self.set_backstop(exchange, now_us())
        for attempt in exchange.in_flight.values():
            if attempt.end_us > deadline.end_us:
                attempt.set_timeout(deadline.remaining_us(now_us()))

    def set_backstop(self, exchange: Exchange, now: int) -> None:
        """Restart the timer that fails the request if the policy has not answered it after its deadline."""
        if exchange.backstop:
            exchange.backstop.cancel()
        delay_s = (exchange.deadline.remaining_us(now) + BACKSTOP_DELAY_US) / 1e6
        exchange.backstop = self.loop.call_later(delay_s, self.on_backstop, exchange.reply.id)

    def on_backstop(self, request_id: str, loop_iterations: int = OUTCOME_LOOP_ITERATIONS) -> None:
        """Fail a request that the policy left unanswered.

        After a pause of the process all timers are due at once. The policy therefore first gets
        `loop_iterations` iterations of the event loop to handle its own timers and the attempts' outcomes.
        """
        if request_id not in self.unanswered:
            return
        if loop_iterations:
            self.loop.call_soon(self.on_backstop, request_id, loop_iterations - 1)
            return
        log.error("request %s was left without an answer", request_id)
        self.fail_after_fault(request_id)

    # --- attempts ---

    def start_attempt(self, action: StartAttempt) -> None:
        """Send an attempt.

        If the request is over or has no attempts left, reports the attempt to the policy as not sent.
        """
        exchange = self.unanswered.get(action.id)
        if exchange is None or not self.is_wanted(exchange):
            self.report_not_sent(action, self.answered_in_flight.get(action.id), is_over=True)
            return
        if exchange.attempt_count >= self.settings.max_attempts:
            self.report_not_sent(action, exchange, is_over=False)
            return
        remaining_us = exchange.deadline.remaining_us(now_us())
        timeout_us = min(remaining_us, action.timeout_us) if action.timeout_us > 0 else remaining_us
        attempt = self.new_attempt(exchange, action)
        if self.work_leases and self.work_leases.covers(exchange):
            attempt.set_timeout(timeout_us)
            self.work_leases.start_attempt(exchange, attempt)
        else:
            self.attempts.send(attempt, timeout_us)

    def report_not_sent(self, action: StartAttempt, exchange: Exchange | None, is_over: bool) -> None:
        """Report to the policy that an attempt was not sent; it uses up the request's next attempt number."""
        number = 0
        if exchange is not None:
            number = exchange.attempt_count
            exchange.attempt_count += 1
        self.events.post(AttemptEnded(action.id, is_over, number, action.server, AttemptResult.NOT_SENT, 0))

    def new_attempt(self, exchange: Exchange, action: StartAttempt) -> Attempt:
        """Create the request's next attempt and count it as in flight."""
        number = exchange.attempt_count
        exchange.attempt_count += 1
        self.costs.attempts += 1
        attempt = Attempt(action.id, number, action.server, exchange.command.payload, self.on_attempt_ended)
        attempt.may_write = partial(self.may_write, exchange)
        exchange.in_flight[number] = attempt
        rule = self.settings.classes[exchange.command.class_index]
        if rule.effect is Effect.IDEMPOTENT_BY_KEY:
            # Servers detect repeats of a key only within the window. The attempt must be written by its end,
            # and connecting may take long.
            attempt.write_by_us = exchange.first_run_us + rule.idempotency_window_us
        return attempt

    def may_write(self, exchange: Exchange) -> bool:
        """Whether an attempt of a request may still be written, which may be long after its start.

        Its connection may have taken long to be set up. Meanwhile the client may have disconnected, or the
        request may have been answered.
        """
        return exchange.reply.id in self.unanswered and self.is_wanted(exchange)

    def is_wanted(self, exchange: Exchange) -> bool:
        """Whether the client of an unanswered request is still connected; if not, the request is dropped."""
        if exchange.reply.is_wanted():
            return True
        self.on_client_disconnected(exchange.reply)
        return False

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is still in flight."""
        exchange = self.unanswered.get(action.id) or self.answered_in_flight.get(action.id)
        attempt = exchange.in_flight.get(action.attempt) if exchange else None
        if attempt:
            attempt.cancel()

    def on_attempt_ended(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """Handle the outcome of an attempt; the first value is the answer to the client."""
        request_id = attempt.request_id
        now = now_us()
        exchange = self.unanswered.get(request_id)
        is_over = exchange is None
        if exchange is None:
            exchange = self.answered_in_flight.get(request_id)
        else:
            self.add_to_history(exchange, attempt, result, now)
            if result is AttemptResult.SUCCESS and value is not None:
                self.answer_with_value(request_id, value)
                is_over = True
        if exchange:
            self.remove_attempt(exchange, attempt, result, is_over)
        took_us = now - attempt.started_us
        self.events.post(
            AttemptEnded(request_id, is_over, attempt.number, attempt.server, result, took_us, report=report)
        )

    def add_to_history(self, exchange: Exchange, attempt: Attempt, result: AttemptResult, now: int) -> None:
        """Record the times of an ended attempt of an unanswered request."""
        exchange.attempt_history.append(AttemptTimes(attempt.started_us, attempt.written_us, now))
        if attempt.written_us and result not in NEVER_RAN_RESULTS:
            exchange.first_run_us = min(exchange.first_run_us, attempt.written_us)

    def answer_with_value(self, request_id: str, value: bytes) -> None:
        """Answer with a server's value, at once or after the lease service has recorded it."""
        response = b"$%d\r\n%b\r\n" % (len(value), value)
        if not self.work_leases or not self.work_leases.record_outcome(request_id, response, value):
            self.serve(request_id, response)

    def serve(self, request_id: str, response: bytes) -> None:
        """Answer with a value, in RESP."""
        self.costs.served += self.answer(request_id, response, "was served")

    def remove_attempt(
        self, exchange: Exchange, attempt: Attempt, result: AttemptResult, is_over: bool
    ) -> None:
        """Remove an ended attempt from the attempts in flight."""
        exchange.in_flight.pop(attempt.number, None)
        if is_over and not exchange.in_flight:
            self.answered_in_flight.pop(attempt.request_id, None)
        if self.work_leases:
            self.work_leases.on_attempt_ended(attempt.request_id, attempt.number, result)

    # --- end ---

    def on_client_disconnected(self, reply: ReplyTarget) -> None:
        """Abandon the request of a client that disconnected.

        Attempts that are not written yet are withdrawn, and the policy drops the request.
        """
        if reply.id is None:
            return
        exchange = self.close_exchange(reply.id)
        if exchange is None:
            return
        self.costs.gone += 1
        for attempt in list(exchange.in_flight.values()):
            attempt.cancel_unless_written()
        if self.work_leases:
            self.work_leases.on_request_over(reply.id)
        self.post_disconnected(reply.id, exchange)

    def post_disconnected(self, request_id: str, exchange: Exchange) -> None:
        """Post `ClientDisconnected`, on which the policy drops a request.

        Events that were queued earlier may still start an attempt of the request, whose outcome needs an
        attempt number. The exchange is therefore retained until the policy has handled this event.
        """
        self.answered_in_flight[request_id] = exchange
        self.events.post(ClientDisconnected(request_id))

    def on_disconnect_handled(self, request_id: str) -> None:
        """Remove a request after the policy has handled its `ClientDisconnected`.

        While attempts are in flight, the end of the last one removes it.
        """
        exchange = self.answered_in_flight.get(request_id)
        if exchange and not exchange.in_flight:
            del self.answered_in_flight[request_id]

    def fail_after_fault(self, request_id: str) -> None:
        """Fail a request that the policy has not ended, and have the policy drop it.

        The reason is a fault in the gateway, or the loss of the request's work lease.
        """
        if exchange := self.unanswered.get(request_id):
            self.fail(FailRequest(request_id))
            self.post_disconnected(request_id, exchange)

    def drop_from_policy(self, request_id: str) -> None:
        """Have the policy drop a request that it has not ended, and that is answered separately."""
        if exchange := self.unanswered.get(request_id):
            self.post_disconnected(request_id, exchange)

    def reject(self, action: RejectRequest) -> None:
        """Answer BUSY, with the time in milliseconds after which the client may retry.

        BUSY promises that no server will run the request. The answer to one that is recorded at the lease
        service therefore waits until the record is withdrawn.
        """
        if self.work_leases and self.work_leases.withdraw_rejected(action):
            return
        retry_after_ms = action.retry_after_us // 1000
        response = b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"
        self.costs.refused += self.answer(action.id, response, "was rejected")

    def fail(self, action: FailRequest) -> None:
        """Answer that the request failed."""
        if self.work_leases:
            self.work_leases.on_request_over(action.id)
        self.costs.failed += self.answer(action.id, FAILED_RESPONSE, "failed")

    def answer(self, request_id: str, response: bytes, outcome: str) -> bool:
        """Send a request's answer; returns False if the request was already answered.

        `outcome` describes the answer in the log.
        """
        exchange = self.close_exchange(request_id)
        if exchange is None:
            return False
        now = now_us()
        reply = exchange.reply
        deadline = exchange.deadline
        took_us = now - deadline.end_us + deadline.given_us
        objective_us = self.settings.classes[exchange.command.class_index].latency_objective_us
        if response is FAILED_RESPONSE or took_us > objective_us:
            self.count_late(exchange, request_id, outcome, took_us, now)
        elif reply.waits():
            reply.end_us = deadline.end_us
            reply.budget = lambda: exchange.deadline_at(now).enter(Stage.ANSWERING, now)
        reply.send(response)
        return True

    def count_late(self, exchange: Exchange, request_id: str, outcome: str, took_us: int, now: int) -> None:
        """Count and log the stages of a request that failed or missed its latency objective."""
        deadline = exchange.deadline_at(now)
        self.costs.count_late(deadline, now)
        stages = ", ".join(
            f"{stage.name.lower()} {spent_us // 1000}"
            for stage, spent_us in zip(Stage, deadline.spent_by(now), strict=True)
            if spent_us
        )
        log.info("request %s %s after %d ms: %s", request_id, outcome, took_us // 1000, stages)

    def close_exchange(self, request_id: str) -> Exchange | None:
        """Remove a request that is answered or abandoned; returns None if it was not open."""
        exchange = self.unanswered.pop(request_id, None)
        if exchange is None:
            return None
        self.buffered_bytes -= exchange.command.size_bytes + REQUEST_OVERHEAD_BYTES
        if exchange.may_have_run():
            self.recent_ids.add(request_id, now_us())
        if exchange.backstop:
            exchange.backstop.cancel()
        if exchange.in_flight:
            self.answered_in_flight[request_id] = exchange
        return exchange
