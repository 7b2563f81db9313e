"""A simulated gateway: the real policy engine, its timers, and its connections to scan servers.

It carries out the engine's actions with the effect on time and load that they have in the gateway process:
a connection carries one command at a time, an attempt that is cancelled or times out closes its connection,
only the newest timer of a token fires, and each attempt has one outcome. Each action is checked against the
rules of the wire page before it is carried out.
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
    ShutdownStarted,
    SnapshotFound,
    TimerFired,
)
from thistletrail.policy.peer_codec import pack_datagrams, unpack_datagram
from thistletrail.simulation.clients import ClientRequest
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.decision_recorder import DecisionRecorder, RequestDecision
from thistletrail.simulation.endpoint_list import SERVING
from thistletrail.simulation.servers import ScanServer, Work

if TYPE_CHECKING:
    from thistletrail.simulation.run import SimulationRun
    from thistletrail.simulation.work_takeover import WorkItem

# A gateway closes a connection that has been idle for this share of the server's idle time-out, as the
# gateway process does.
IDLE_TIMEOUT_SHARE = 0.5
IDLE_SWEEP_INTERVAL_US = S
# Delay of the registry's first answer. The cached endpoint list is available at once.
FIRST_LIST_DELAY_US = 20 * MS
# The burst of peer messages that a gateway accepts, in seconds of its rate.
# The operators' pages state only the rate.
PEER_INTAKE_BURST_S = 0.5
# From the site's settings: a final answer still counts if it comes this long after the request's deadline.
ANSWER_GRACE_US = 8 * MS
# The protocol page allows each time limit to be exceeded by this much.
TIME_LIMIT_SLACK_US = 50 * MS

# By value: `compare` runs older revisions of the policy here, in which the member has another name.
SUCCESS = AttemptResult("ok")

# The engine's result for each result that a `ScanServer` reports.
ATTEMPT_RESULTS = {
    "served": SUCCESS,
    "error": AttemptResult.ERROR,
    "full": AttemptResult.AT_CAPACITY,
    "lost": AttemptResult.RESET,
}


class Attempt:
    """One attempt of a gateway at a scan server.

    `is_over` is set once its outcome has been reported to the engine, `is_fully_sent` once the server has
    received all of the request. `server` is None if no server has the name that the engine chose.
    """

    __slots__ = (
        "is_connected",
        "is_fully_sent",
        "is_over",
        "number",
        "sent_us",
        "server",
        "server_name",
        "work",
    )

    def __init__(self, number: int, server_name: str, server: ScanServer | None, sent_us: int) -> None:
        self.number, self.server_name, self.server, self.sent_us = number, server_name, server, sent_us
        self.is_connected = self.is_over = self.is_fully_sent = False
        self.work: Work | None = None


class OpenRequest:
    """A request that the gateway has received, until it is answered and its last attempt has ended."""

    __slots__ = (
        "attempts_not_run",
        "attempts_started",
        "end_us",
        "first_sent_us",
        "first_server",
        "in_flight",
        "is_answered",
        "request",
    )

    def __init__(self, request: ClientRequest, end_us: int) -> None:
        self.request, self.end_us = request, end_us
        # `attempts_not_run` counts the attempts that are known not to have run at any server.
        self.attempts_started = self.attempts_not_run = 0
        self.in_flight: dict[int, Attempt] = {}
        self.is_answered = False
        # The first server at which the request may have run, and when that attempt was sent.
        self.first_server: ScanServer | None = None
        self.first_sent_us = 0


class Gateway:
    """One gateway, running or stopped. Its state is lost with its process, except for a stored snapshot."""

    def __init__(self, run: SimulationRun, number: int, zone: int) -> None:
        self.run, self.number, self.zone = run, number, zone
        self.engine: PolicyEngine | None = None
        self.recorder = DecisionRecorder()
        # Counts starts and stops. A scheduled call carries the present epoch and is void in a later one.
        self.epoch = 0
        self.started_us = 0
        # Level of the bucket that limits the intake of peer messages, and the time of its last update.
        self.intake_level, self.intake_updated_us = 0.0, 0
        # Time and content of the last stored snapshot, which survives the process.
        self.stored_snapshot: tuple[int, PolicySnapshot] | None = None
        self.list_delay_us = run.streams["lists"].uniform_in(run.scenario.net.list_spread_ms) * MS
        self.reset()

    def reset(self) -> None:
        """Forget everything that belongs to one process."""
        self.open_requests: dict[str, OpenRequest] = {}
        self.timer_serials: dict[int, int] = {}  # by token: the serial number of the newest timer
        self.idle_connections: dict[str, list[int]] = {}  # by server: the time at which each became idle
        self.leaving_since_us: dict[str, int] = {}  # when the gateway learned that a server drains or is gone
        self.listed_servers: set[str] = set()  # all servers that any endpoint list has named
        self.start_known_us: dict[str, int] = {}  # when the gateway learned that a server is up

    @property
    def is_alive(self) -> bool:
        """Return whether the process is running."""
        return self.engine is not None

    # --- start and stop ---

    def start(self) -> None:
        """Start a new process that has the cached endpoint list and, if there is one, a recent snapshot."""
        run = self.run
        self.epoch += 1
        self.started_us = run.clock.now
        self.reset()
        self.intake_level, self.intake_updated_us = 0.0, run.clock.now
        self.recorder = DecisionRecorder()
        self.engine = PolicyEngine(run.settings(self.number, self.zone), self.recorder)
        self.on_endpoint_update(run.endpoint_list.cached_list(self.epoch > 1))
        self.restore_snapshot()
        run.clock.after(FIRST_LIST_DELAY_US, self.receive_first_list, self.epoch)
        run.clock.after(IDLE_SWEEP_INTERVAL_US, self.sweep_idle_connections, self.epoch)
        if run.scenario.stored:
            self.schedule_snapshot()
        run.leases.add_gateway(self)

    def restore_snapshot(self) -> None:
        """Pass the snapshot of the previous process to the engine unless it is too old."""
        if self.stored_snapshot is None:
            return
        stored_us, snapshot = self.stored_snapshot
        age_us = self.run.clock.now - stored_us
        if age_us <= MAX_POLICY_AGE_S * S:
            self.handle(SnapshotFound(snapshot, age_us))

    def schedule_snapshot(self) -> None:
        """Schedule the next snapshot after the usual interval with jitter."""
        interval_s = WRITE_INTERVAL_S * self.run.streams["stored"].uniform_between(
            1 - WRITE_JITTER, 1 + WRITE_JITTER
        )
        self.run.clock.after(round(interval_s * S), self.store_snapshot, self.epoch)

    def store_snapshot(self, epoch: int) -> None:
        """Store a snapshot and schedule the next one."""
        if epoch == self.epoch:
            self.stored_snapshot = self.run.clock.now, self.engine.snapshot()
            self.schedule_snapshot()

    def receive_first_list(self, epoch: int) -> None:
        """Handle the registry's first complete list."""
        if epoch == self.epoch:
            self.on_endpoint_update(self.run.endpoint_list.full_list())

    def stop(self) -> None:
        """Kill the process: its connections to servers and clients are reset."""
        if self.engine is None:
            return
        self.epoch += 1
        self.engine = None
        for name, pool in self.idle_connections.items():
            if server := self.run.servers.get(name):
                for _ in pool:
                    server.disconnect()
        open_requests, self.open_requests = self.open_requests, {}
        for open_request in open_requests.values():
            if not open_request.is_answered:
                self.run.takeover.add_lost(open_request)
            for attempt in open_request.in_flight.values():
                self.release_connection(attempt, can_reuse=False)
            if not open_request.is_answered:
                self.run.clients.gateway_died(open_request.request)

    def drain(self, remaining_us: int) -> None:
        """Start a graceful shutdown (as on SIGTERM); requests in progress must end within `remaining_us`."""
        if self.engine is not None:
            for open_request in self.open_requests.values():
                open_request.end_us = min(open_request.end_us, self.run.clock.now + remaining_us)
            self.handle(ShutdownStarted(remaining_us))

    def sweep_idle_connections(self, epoch: int) -> None:
        """Close connections that were idle for too long, and drop the pools of servers that have stopped."""
        if epoch != self.epoch:
            return
        clock, servers = self.run.clock, self.run.servers
        oldest_us = clock.now - self.run.traits.idle_us * IDLE_TIMEOUT_SHARE
        for name in list(self.idle_connections):
            server = servers.get(name)
            pool = self.idle_connections[name]
            remaining = (
                [since_us for since_us in pool if since_us > oldest_us] if server and server.is_alive else []
            )
            if server and server.is_alive:
                for _ in range(len(pool) - len(remaining)):
                    server.disconnect()
            if remaining:
                self.idle_connections[name] = remaining
            else:
                del self.idle_connections[name]
        clock.after(IDLE_SWEEP_INTERVAL_US, self.sweep_idle_connections, epoch)

    # --- events ---

    def handle(self, event: Event) -> None:
        """Pass an event to the engine and carry out its actions; do nothing while the gateway is stopped."""
        engine = self.engine
        if engine is None:
            return
        for action in engine.handle(self.run.clock.now, event):
            ACTIONS[type(action)](self, action)

    def on_endpoint_update(self, update: EndpointUpdate) -> None:
        """Record which servers the gateway knows to be up or leaving, and pass the update to the engine."""
        now_us = self.run.clock.now
        is_full_list = update.kind is not EndpointUpdateKind.CHANGES
        listed = {entry.name for entry in update.servers}
        for entry in update.servers:
            self.listed_servers.add(entry.name)
            if entry.state is SERVING:
                self.leaving_since_us.pop(entry.name, None)
                self.start_known_us[entry.name] = now_us
            else:
                self.leaving_since_us.setdefault(entry.name, now_us)
        if is_full_list:
            for name in self.listed_servers - listed:
                self.leaving_since_us.setdefault(name, now_us)
        self.handle(update)

    def receive_datagram(self, sender: int, data: bytes) -> None:
        """Handle a peer's datagram; drop it if datagrams arrive faster than the intake allows."""
        run, rate = self.run, self.run.scenario.net.peer_per_s
        if self.engine is None:
            run.accounting.count_message("to a dead door")
            return
        now_us = run.clock.now
        self.intake_level = max(0.0, self.intake_level - (now_us - self.intake_updated_us) * rate / S)
        self.intake_updated_us = now_us
        if self.intake_level + 1 > max(1.0, rate * PEER_INTAKE_BURST_S):
            run.accounting.count_message("intake full")
            return
        self.intake_level += 1
        run.accounting.count_message("arrived", len(data))
        datagram = unpack_datagram(data)
        if datagram is not None:
            self.handle(PeerMessageReceived(sender, datagram.quota_messages, datagram.digest))

    def receive_request(self, request: ClientRequest) -> None:
        """Handle a client's request. The connection to a stopped gateway is refused."""
        if self.engine is None:
            self.run.clients.unreached(request)
            return
        if self.run.takeover.handle_retry(request):
            return
        now_us = self.run.clock.now
        remaining_us = max(0, request.end_us - now_us - int(self.run.scenario.net.way_ms * MS))
        self.open_requests[request.id] = OpenRequest(request, now_us + remaining_us)
        operation = request.operation
        customer = operation.customer
        self.handle(
            RequestArrived(
                request.id,
                operation.class_index,
                customer.plan,
                customer.name,
                remaining_us,
                1.0,
                customer.set_size,
                customer.set_first,
                False,
                self.run.scenario.classes[operation.class_index].keyed,
            )
        )

    def take_over(self, item: WorkItem) -> None:
        """Continue a work item of a gateway that has died."""
        end_us = self.run.takeover.end_us(item)
        request = ClientRequest(
            f"{item.operation.customer.name}.{next(self.run.takeover_numbers)}", item.operation, self, end_us
        )
        request.work_item, request.is_charged, request.is_in_quota = item, True, item.is_in_quota
        self.resume_request(request, end_us, item.server)

    def resume_request(self, request: ClientRequest, end_us: int, server: ScanServer) -> None:
        """Handle a request that another gateway has admitted and that may have run at `server`."""
        operation, now_us = request.operation, self.run.clock.now
        customer = operation.customer
        self.open_requests[request.id] = OpenRequest(request, end_us)
        known_server = (
            server.name if server.name in self.listed_servers else self.listed_server_of_zone(server)
        )
        self.handle(
            RequestArrived(
                request.id,
                operation.class_index,
                customer.plan,
                customer.name,
                max(0, end_us - now_us),
                1.0,
                customer.set_size,
                customer.set_first,
                False,
                True,
                is_taken_over=True,
                ran_on_server=known_server,
            )
        )

    def listed_server_of_zone(self, server: ScanServer) -> str:
        """Return the name of a server in the zone of `server` that this gateway knows, or ""."""
        servers = self.run.servers
        return next(
            (
                name
                for name in sorted(self.listed_servers)
                if name in servers and servers[name].zone == server.zone
            ),
            "",
        )

    def on_client_disconnect(self, request: ClientRequest) -> bool:
        """Handle the disconnection of a request's client. Return whether the request was still unanswered."""
        open_request = self.open_requests.get(request.id)
        if open_request is None or open_request.is_answered or self.engine is None:
            return False
        if self.run.clock.now > open_request.end_us + ANSWER_GRACE_US:
            self.run.accounting.record_violation(
                "no answer in time", f"door {self.number}, request {request.id}"
            )
        open_request.is_answered = True
        if not open_request.in_flight:
            del self.open_requests[request.id]
        self.handle(ClientDisconnected(request.id))
        self.recorder.by_request.pop(request.id, None)
        return True

    # --- actions ---

    def set_timer(self, action: SetTimer) -> None:
        """Set the timer of a token; an earlier timer of that token no longer fires."""
        serial = self.timer_serials[action.token] = self.timer_serials.get(action.token, 0) + 1
        self.run.clock.after(action.delay_us, self.fire_timer, self.epoch, action.token, serial)

    def fire_timer(self, epoch: int, token: int, serial: int) -> None:
        """Report to the engine that a timer fires, unless it was replaced or the gateway has restarted."""
        if epoch == self.epoch and self.timer_serials.get(token) == serial:
            self.handle(TimerFired(token))

    def send_peer_message(self, action: SendPeerMessage) -> None:
        """Send quota messages and the health digest to a peer, as datagrams."""
        for data in pack_datagrams(action.quota_messages, action.digest):
            self.run.network.send_datagram(self.number, action.peer, data)

    def decision_on(self, request_id: str) -> RequestDecision | None:
        """Return what the engine has decided on an open request; None if nothing is known."""
        return self.recorder.by_request.get(request_id) if self.engine else None

    def reject_request(self, action: RejectRequest) -> None:
        """Reject a request, with the time in microseconds after which to retry."""
        self.answer(action.id, "refused", action.retry_after_us)

    def fail_request(self, action: FailRequest) -> None:
        """Answer a request with a failure."""
        self.answer(action.id, "failed", 0)

    def answer(self, request_id: str, result: str, retry_after_us: int) -> None:
        """Send the client a final answer other than a server's."""
        open_request = self.open_requests.get(request_id)
        if open_request is None or open_request.is_answered:
            self.run.accounting.record_violation(
                "a second answer", f"door {self.number}, request {request_id}"
            )
            return
        request_class = self.run.scenario.classes[open_request.request.operation.class_index]
        if (
            result == "refused"
            and request_class.keyed
            and open_request.attempts_started > open_request.attempts_not_run
        ):
            self.run.accounting.record_violation(
                "refused though it may have run", f"door {self.number}, request {request_id}"
            )
        open_request.is_answered = True
        if not open_request.in_flight:
            del self.open_requests[request_id]
        decision = self.recorder.by_request.pop(request_id, None)
        self.run.clients.answered(open_request.request, result, retry_after_us, decision, self)

    def start_attempt(self, action: StartAttempt) -> None:
        """Send a request to a server, on an idle connection if there is one."""
        open_request, run = self.open_requests.get(action.id), self.run
        now_us = run.clock.now
        if open_request is None or open_request.is_answered:
            run.accounting.record_violation(
                "an attempt for a request that is over", f"door {self.number}, {action.id}"
            )
            return
        number, open_request.attempts_started = (
            open_request.attempts_started,
            open_request.attempts_started + 1,
        )
        server = run.servers.get(action.server)
        self.check_attempt(action, open_request, number, server)
        if number >= run.scenario.max_attempts or open_request.end_us <= now_us:
            open_request.attempts_not_run += 1
            attempt = Attempt(number, action.server, server, now_us)
            open_request.in_flight[number] = attempt
            run.clock.after(0, self.end_attempt, self.epoch, open_request, attempt, AttemptResult.NOT_SENT)
            return
        remaining_us = open_request.end_us - now_us
        timeout_us = min(remaining_us, action.timeout_us) if action.timeout_us > 0 else remaining_us
        attempt = open_request.in_flight[number] = Attempt(number, action.server, server, now_us)
        if (
            open_request.first_server is None
            or open_request.attempts_started - 1 == open_request.attempts_not_run
        ):
            open_request.first_server, open_request.first_sent_us = server, now_us
        run.accounting.attempts += 1
        run.accounting.cross_zone_attempts += bool(server) and server.zone != self.zone
        run.clock.after(timeout_us, self.time_out_attempt, self.epoch, open_request, attempt)
        pool = self.idle_connections.get(action.server)
        if pool and server is not None and server.is_alive:
            pool.pop()
            attempt.is_connected = True
            run.network.send_request(
                self, server, self.arrive_at_server, self.epoch, open_request, attempt, 0.0
            )
            return
        run.network.handshake(self, server, self.on_handshake_end, self.epoch, open_request, attempt)

    def check_attempt(
        self, action: StartAttempt, open_request: OpenRequest, number: int, server: ScanServer | None
    ) -> None:
        """Record a violation for each rule of the wire page that the attempt breaks."""
        run, now_us = self.run, self.run.clock.now
        where = f"door {self.number}, {action.id} to {action.server}"
        if action.server not in self.listed_servers:
            run.accounting.record_violation("a server that no list named", where)
        leaving_since_us = self.leaving_since_us.get(action.server)
        grace_us = run.scenario.drain_grace_ms * MS + TIME_LIMIT_SLACK_US
        if leaving_since_us is not None and now_us - leaving_since_us > grace_us:
            run.accounting.record_violation("sent to a server that drains or is gone", where)
        if len(open_request.in_flight) > 0:
            run.accounting.record_violation("two attempts out at once", where)
        request_class = run.scenario.classes[open_request.request.operation.class_index]
        if (
            request_class.keyed
            and number > open_request.attempts_not_run
            and server is not None
            and open_request.first_server is not None
        ):
            window_us = request_class.window_ms * run.scenario.stretch * MS + TIME_LIMIT_SLACK_US
            if server.zone != open_request.first_server.zone:
                run.accounting.record_violation("a keyed request sent on to another zone", where)
            elif now_us - open_request.first_sent_us > window_us:
                run.accounting.record_violation("a keyed request sent after its window", where)

    def on_handshake_end(self, epoch: int, open_request: OpenRequest, attempt: Attempt, is_up: bool) -> None:
        """Send the request on a new connection, or end the attempt if the handshake has failed."""
        server = attempt.server
        if attempt.is_over or epoch != self.epoch:
            if is_up and server is not None:
                server.disconnect()  # the attempt has ended in the meantime
            return
        self.run.accounting.count_handshake()
        if not is_up or server is None:
            self.end_attempt(epoch, open_request, attempt, AttemptResult.CONNECT_FAILED)
            return
        attempt.is_connected = True
        self.run.network.send_request(
            self, server, self.arrive_at_server, epoch, open_request, attempt, self.run.traits.handshake_us
        )

    def arrive_at_server(
        self, epoch: int, open_request: OpenRequest, attempt: Attempt, handshake_work_us: float
    ) -> None:
        """Pass the request to the server, at which its last byte has arrived."""
        if attempt.is_over or epoch != self.epoch or attempt.server is None:
            return
        must_charge = not attempt.is_fully_sent and not open_request.request.is_charged
        attempt.is_fully_sent = True
        if must_charge:
            open_request.request.is_charged = True
            self.run.clients.charge(open_request.request, self)
        run, server = self.run, attempt.server
        work = Work(
            open_request.request.operation.work_us
            * max(0.2, run.streams["work"].lognormal(1.0, run.attempt_noise)),
            open_request.end_us,
            lambda work, result: self.on_server_done(epoch, server, open_request, attempt, work, result),
        )
        attempt.work = work
        server.accept(work, self.number, handshake_work_us)

    def on_server_done(
        self,
        epoch: int,
        server: ScanServer,
        open_request: OpenRequest,
        attempt: Attempt,
        work: Work,
        result: str,
    ) -> None:
        """Record the zone where the request has run, and send the server's answer over the network."""
        operation = open_request.request.operation
        if (
            result != "full"
            and self.run.scenario.classes[operation.class_index].keyed
            and server.zone not in operation.zones
        ):
            self.run.accounting.extra_zones += bool(operation.zones)
            operation.zones |= {server.zone}
        self.run.network.send_answer(
            self, server, result, self.receive_answer, epoch, open_request, attempt, work, result
        )

    def receive_answer(
        self, epoch: int, open_request: OpenRequest, attempt: Attempt, work: Work, result: str
    ) -> None:
        """Handle a server's answer or a reset connection."""
        if result == "silent" or attempt.is_over or epoch != self.epoch:
            return
        if result == "served":
            attempt.server.useful_us += 0.0 if open_request.is_answered else work.work_us
        self.end_attempt(epoch, open_request, attempt, ATTEMPT_RESULTS[result])

    def time_out_attempt(self, epoch: int, open_request: OpenRequest, attempt: Attempt) -> None:
        """End an attempt at its time-out: a failed connect unless the request was fully sent."""
        if attempt.is_over or epoch != self.epoch:
            return
        result = AttemptResult.TIMEOUT if attempt.is_fully_sent else AttemptResult.CONNECT_FAILED
        self.end_attempt(epoch, open_request, attempt, result)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it has not ended."""
        open_request = self.open_requests.get(action.id)
        attempt = open_request.in_flight.get(action.attempt) if open_request else None
        if attempt and not attempt.is_over:
            self.run.clock.after(
                0, self.end_attempt, self.epoch, open_request, attempt, AttemptResult.CANCELLED
            )

    def release_connection(self, attempt: Attempt, can_reuse: bool) -> None:
        """Return an attempt's connection to the pool, or close it."""
        server = attempt.server
        if attempt.is_connected and server is not None and server.is_alive:
            if can_reuse:
                self.idle_connections.setdefault(attempt.server_name, []).append(self.run.clock.now)
            else:
                server.disconnect()
                if attempt.work and attempt.work.state != "over":
                    server.cancel(attempt.work)
        attempt.is_connected = False

    def end_attempt(
        self, epoch: int, open_request: OpenRequest, attempt: Attempt, result: AttemptResult
    ) -> None:
        """End an attempt once. The first success is sent to the client at once."""
        if attempt.is_over or epoch != self.epoch or self.engine is None:
            return
        attempt.is_over = True
        run, request = self.run, open_request.request
        self.release_connection(
            attempt, can_reuse=result in (SUCCESS, AttemptResult.ERROR, AttemptResult.AT_CAPACITY)
        )
        open_request.in_flight.pop(attempt.number, None)
        open_request.attempts_not_run += result in (AttemptResult.AT_CAPACITY, AttemptResult.CONNECT_FAILED)
        if open_request.attempts_started == open_request.attempts_not_run:
            open_request.first_server = None
        run.accounting.outcomes[result.value] = run.accounting.outcomes.get(result.value, 0) + 1
        is_served = result is SUCCESS and not open_request.is_answered
        is_request_over = is_served or open_request.is_answered
        if is_served:
            open_request.is_answered = True
            decision = self.recorder.by_request.pop(request.id, None)
            run.clients.answered(request, "served", 0, decision, self)
        if open_request.is_answered and not open_request.in_flight:
            self.open_requests.pop(request.id, None)
        self.handle(
            AttemptEnded(
                request.id,
                is_request_over,
                attempt.number,
                attempt.server_name,
                result,
                run.clock.now - attempt.sent_us,
            )
        )

    def ignore(self, action: Action) -> None:
        """Ignore an action: endpoint updates come unasked, and probes and counters are not simulated."""

    def write_log(self, action: WriteLog) -> None:
        """Record a log line of the engine."""
        self.run.accounting.add_log_line(self.number, action.text)

    def close_idle_connections(self, action: CloseIdleConnections) -> None:
        """Close all idle connections to a server."""
        server = self.run.servers.get(action.server)
        for _ in self.idle_connections.pop(action.server, ()):
            if server:
                server.disconnect()


ACTIONS: dict[type, Callable[..., None]] = {
    StartAttempt: Gateway.start_attempt,
    CancelAttempt: Gateway.cancel_attempt,
    RejectRequest: Gateway.reject_request,
    FailRequest: Gateway.fail_request,
    SetTimer: Gateway.set_timer,
    SendPeerMessage: Gateway.send_peer_message,
    WriteLog: Gateway.write_log,
    CloseIdleConnections: Gateway.close_idle_connections,
    WatchEndpoints: Gateway.ignore,
    FetchEndpoints: Gateway.ignore,
    ProbeServer: Gateway.ignore,
    AddToCounter: Gateway.ignore,
}
