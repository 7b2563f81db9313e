"""The policy engine of one gateway: it takes events and returns the actions to carry out.

This module creates and connects the components, dispatches events to them, and sets the wake-up timer. Each
rule is in the module of its concern. Events, actions and settings are in `events.py`, `actions.py` and
`settings.py`.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any

from thistletrail.policy.actions import Action, SetTimer, WriteLog
from thistletrail.policy.admission_queue import AdmissionQueue
from thistletrail.policy.attempt_outcomes import OutcomeRecorder
from thistletrail.policy.budget_leases import BudgetLeases
from thistletrail.policy.customer_quotas import DEFAULT_MAX_CUSTOMERS, CustomerQuotas
from thistletrail.policy.dispatcher import Dispatcher
from thistletrail.policy.event_context import TICK_US, EventContext
from thistletrail.policy.events import (
    AttemptEnded,
    BudgetDemand,
    BudgetGranted,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    PeerMessageReceived,
    PolicySnapshot,
    RequestArrived,
    ShutdownStarted,
    SnapshotFound,
    StreamStarted,
    TimerFired,
)
from thistletrail.policy.health_gossip import HealthGossip
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.observer import DecisionObserver, NoObserver
from thistletrail.policy.outlier_detection import OutlierDetector
from thistletrail.policy.overload_control import OverloadController
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.pending_requests import PendingRequests
from thistletrail.policy.quota_admission import QuotaAdmission
from thistletrail.policy.quota_exchange import QuotaExchange
from thistletrail.policy.quota_receiver import QuotaReceiver
from thistletrail.policy.request_expiry import RequestExpiry
from thistletrail.policy.request_lifecycle import RequestLifecycle
from thistletrail.policy.retry_policy import RetryBudget
from thistletrail.policy.server_selection import ServerSelector
from thistletrail.policy.server_set import ServerSet
from thistletrail.policy.settings import Settings
from thistletrail.policy.slow_start import SlowStart
from thistletrail.policy.snapshot import SnapshotKeeper
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import NEVER_US
from thistletrail.policy.upstream_server import UpstreamServer

GOSSIP_SERIAL_BITS = 8
WAKE_UP_TIMER_TOKEN = 0  # the engine sets only one timer


class PolicyEngine:
    """The decisions of one gateway: `handle` takes an event and returns the actions to carry out, in order.

    The engine has no clock and does no I/O: the same events at the same times, with the same settings, give
    the same actions. `observer` is called with the basis of each decision; None observes nothing.
    `max_customers` bounds the customers in memory.
    """

    def __init__(
        self,
        settings: Settings,
        observer: DecisionObserver | None = None,
        max_customers: int = DEFAULT_MAX_CUSTOMERS,
    ) -> None:
        self.settings = settings
        self.max_customers = max_customers
        self.observer = observer or NoObserver()
        self.context = EventContext()
        self.wake_up_us = NEVER_US
        # All components share this generator, so the order of their draws determines the course of a run.
        self.generator = random.Random(settings.seed)
        first_serial = self.generator.getrandbits(GOSSIP_SERIAL_BITS)
        self.gossip = HealthGossip(settings.gateway_count - 1, first_serial)
        self.incarnations = Incarnations(self.generator)
        self.create_load_components()
        self.create_request_components()
        self.create_peer_components()
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self.on_request,
            AttemptEnded: self.lifecycle.on_attempt_ended,
            TimerFired: self.on_timer,
            EndpointUpdate: self.on_endpoint_update,
            PeerMessageReceived: self.on_peer_message,
            ClientDisconnected: self.lifecycle.on_answer_not_needed,
            StreamStarted: self.lifecycle.on_answer_not_needed,
            ShutdownStarted: self.lifecycle.on_shutdown,
            SnapshotFound: self.on_snapshot,
            BudgetGranted: self.leases.on_grant,
        }

    def create_load_components(self) -> None:
        """Create the components that track the servers and limit the load that is sent to them."""
        settings = self.settings
        context = self.context
        self.traffic = TrafficEstimates(settings)
        self.servers = ServerSet(settings, context)
        self.pending = PendingRequests(settings, context, self.observer)
        self.outliers = OutlierDetector(settings, context, self.servers)
        self.slow_start = SlowStart(settings, context, self.servers, self.traffic, self.generator)
        self.selector = ServerSelector(
            settings, context, self.servers, self.slow_start, self.gossip, self.generator
        )
        self.overload = OverloadController(settings, context, self.traffic, self.slow_start, self.pending)
        self.outcomes = OutcomeRecorder(
            settings, context, self.servers, self.outliers, self.overload, self.gossip, self.traffic
        )

    def create_request_components(self) -> None:
        """Create the components that queue requests and check customers' quotas."""
        settings = self.settings
        context = self.context
        self.queue = AdmissionQueue()
        self.retry_budget = RetryBudget(settings, context)
        self.dispatcher = Dispatcher(
            settings,
            context,
            self.queue,
            self.overload,
            self.selector,
            self.slow_start,
            self.retry_budget,
            self.traffic,
        )
        self.customers = CustomerQuotas(settings, context, self.incarnations, self.max_customers)
        self.exchange = QuotaExchange(settings, context, self.servers, self.gossip, self.incarnations)
        self.admission = QuotaAdmission(
            settings,
            context,
            self.generator,
            self.observer,
            self.pending,
            self.queue,
            self.dispatcher,
            self.overload,
            self.exchange,
            self.traffic,
        )
        self.create_lifecycle_components()

    def create_lifecycle_components(self) -> None:
        """Create the components that take each request from its arrival to its final answer."""
        settings = self.settings
        context = self.context
        self.expiry = RequestExpiry(
            settings,
            context,
            self.generator,
            self.observer,
            self.pending,
            self.admission,
            self.overload,
            self.servers,
            self.incarnations,
            self.traffic,
        )
        self.lifecycle = RequestLifecycle(
            settings,
            context,
            self.servers,
            self.customers,
            self.pending,
            self.queue,
            self.admission,
            self.dispatcher,
            self.expiry,
            self.overload,
            self.selector,
            self.outcomes,
            self.retry_budget,
            self.traffic,
        )

    def create_peer_components(self) -> None:
        """Create the components that handle quota messages, leases and snapshots."""
        settings = self.settings
        context = self.context
        self.quota_receiver = QuotaReceiver(
            settings, context, self.customers, self.admission, self.exchange, self.incarnations
        )
        self.leases = BudgetLeases(
            context, self.customers, self.queue, self.admission, self.dispatcher, self.retry_budget
        )
        self.snapshots = SnapshotKeeper(
            settings, context, self.servers, self.customers, self.overload, self.incarnations
        )

    # --- interface for the host process ---

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Return the actions to carry out, in order, for an event at `now_us`.

        `now_us` must not decrease from one call to the next. An event without a handler is ignored, such as
        ProbeEnded and CounterReply: this policy sends no probes and does not use the shared counter.
        """
        self.context.begin_event(now_us)
        if not self.overload.has_started:
            self.start()
        if handler := self.handlers.get(type(event)):
            handler(event)
        self.exchange.send_due()
        self.set_wake_up()
        return self.context.actions

    def snapshot(self) -> PolicySnapshot:
        """Return the state to store for the gateway's next process."""
        return self.snapshots.collect()

    def budget_demands(self, now_us: int) -> list[BudgetDemand]:
        """Return this gateway's demand for each budget that the lease service divides."""
        return self.leases.demands(now_us)

    @property
    def servers_by_name(self) -> Mapping[str, UpstreamServer]:
        """The servers of the endpoint list, by name."""
        return self.servers.by_name

    @property
    def requests_by_id(self) -> Mapping[str, PendingRequest]:
        """The requests, by id, that have no final answer yet or still have an attempt in flight."""
        return self.pending.by_id

    # --- events that concern several components ---

    def start(self) -> None:
        """Start the components that count time from the first event."""
        self.overload.start()
        self.customers.start()
        self.retry_budget.start()

    def on_request(self, arrival: RequestArrived) -> None:
        """Handle a client's request."""
        self.incarnations.note_serving(self.context.now_us)
        self.lifecycle.on_arrival(arrival)

    def on_endpoint_update(self, update: EndpointUpdate) -> None:
        """Apply a change of the endpoint list."""
        self.servers.update(update)
        self.overload.refresh_capacity()

    def on_peer_message(self, message: PeerMessageReceived) -> None:
        """Handle a peer's health digest and quota messages; a digest that was received before is ignored."""
        now_us = self.context.now_us
        self.incarnations.note_serving(now_us)
        self.exchange.record_message_from(message.sender)
        if message.digest and self.gossip.accept(message.sender, message.digest, now_us):
            self.outcomes.record_digest(message.digest)
        for quota_message in message.quota_messages:
            self.quota_receiver.receive(message.sender, quota_message)

    def on_snapshot(self, event: SnapshotFound) -> None:
        """Restore the snapshot of the previous process, and log the result."""
        self.context.emit(WriteLog(self.snapshots.restore(event)))

    # --- the wake-up timer ---

    def on_timer(self, _: TimerFired) -> None:
        """End the control periods that are over, then process queued and waiting requests.

        A timer that fires before `wake_up_us` is ignored: the engine regards its timer as still set, and sets
        no other one. The host process must therefore not fire it early.
        """
        if self.context.now_us < self.wake_up_us:
            return
        self.wake_up_us = NEVER_US
        while self.overload.has_period_ended():
            self.end_period()
        self.lifecycle.on_tick()

    def end_period(self) -> None:
        """End a control period: update running means and N, log refused retries, and remove what is stale."""
        overload = self.overload
        overload.begin_next_period()
        self.servers.decay_towards_mean()
        self.traffic.end_period(
            overload.accepted_in_period, overload.admission_limit, overload.control_period_us
        )
        self.retry_budget.log_refused()
        self.gossip.discard_stale(self.context.now_us)
        self.customers.forget_idle()
        overload.end_period()

    def set_wake_up(self) -> None:
        """Set the timer to the next tick, or while the gateway is idle to the end of the control period.

        A timer that is already set for an earlier time stays.
        """
        now_us = self.context.now_us
        is_busy = bool(self.queue or self.exchange.outgoing or self.pending.by_id)
        due_us = now_us + TICK_US
        if not is_busy:
            due_us = max(due_us, self.overload.period_end_us)
        if due_us < self.wake_up_us:
            self.wake_up_us = due_us
            self.context.emit(SetTimer(due_us - now_us, WAKE_UP_TIMER_TOKEN))
