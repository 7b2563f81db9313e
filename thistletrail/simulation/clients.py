"""Customers and their clients: their requests, choice of gateways, time-outs and retries."""

from __future__ import annotations

import itertools
import math
from bisect import bisect
from typing import TYPE_CHECKING

from thistletrail.simulation.accounting import BEYOND_IDEAL_QUOTA, BEYOND_QUOTA, LATE, SERVED
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.decision_recorder import RequestDecision
from thistletrail.simulation.quota_accounts import Account
from thistletrail.simulation.scenario import Clients as ClientsSpec
from thistletrail.simulation.streams import Stream

if TYPE_CHECKING:
    from thistletrail.simulation.gateways import Gateway
    from thistletrail.simulation.run import SimulationRun
    from thistletrail.simulation.work_takeover import WorkItem

# Units that a gateway forwards beyond the quota within this time of its start are attributed to the restart.
RECENT_START_US = 5 * S
# Causes of a rejected retry that follow from an earlier request of the operation that was not served.
LATE_CAUSES = ("late on arrival", "late retry")
CONNECTION_REFUSED_DELAY_US = 1 * MS


class Customer:
    """One customer: its plan and account, its set of gateways, and its request rate."""

    __slots__ = (
        "account",
        "arrival_epoch",
        "cumulative_weights",
        "is_spiking",
        "name",
        "plan",
        "rate",
        "set_first",
        "set_size",
        "spike_factor",
        "usual_rate",
    )

    def __init__(
        self, name: str, plan: int, set_first: int, set_size: int, account: Account, rate: float
    ) -> None:
        """`rate` is in operations a second. The set has `set_size` gateways from number `set_first` on."""
        self.name, self.plan, self.account = name, plan, account
        self.set_first, self.set_size = set_first, set_size
        self.rate = self.usual_rate = rate
        self.spike_factor, self.is_spiking = 1.0, False
        self.arrival_epoch = 0  # arrivals that were scheduled in an earlier epoch are void
        self.cumulative_weights: list[float] = []  # cumulative weights of the gateways of its set

    def draw_weights(self, stream: Stream, skew: float) -> None:
        """Draw the weights of its gateways: uneven, by rank to the power of -skew."""
        ranks = stream.shuffled(range(1, self.set_size + 1))
        self.cumulative_weights = list(itertools.accumulate(rank**-skew for rank in ranks))

    def draw_gateway(self, stream: Stream, gateway_count: int) -> int:
        """Draw the number of a gateway of its set by the weights."""
        index = bisect(self.cumulative_weights, stream.uniform() * self.cumulative_weights[-1])
        return (self.set_first + min(index, self.set_size - 1)) % gateway_count


class Operation:
    """What a client wants to have done. It sends a first request for it, and retries."""

    __slots__ = (
        "cause",
        "class_index",
        "customer",
        "end_us",
        "first_us",
        "is_in_ideal_quota",
        "objective_end_us",
        "request_count",
        "value",
        "work_us",
        "zones",
    )

    def __init__(
        self, customer: Customer, class_index: int, work_us: float, value: float, now_us: int
    ) -> None:
        self.customer, self.class_index = customer, class_index
        self.work_us, self.value = work_us, value
        self.first_us = now_us
        self.request_count = 0  # number sent so far
        self.is_in_ideal_quota = False  # as one gateway that saw all requests would decide
        self.zones: frozenset[int] = frozenset()  # the zones in which it has run
        self.cause = "a slow answer"  # why the latest request that was not served failed
        self.objective_end_us = self.end_us = now_us


class ClientRequest:
    """One request of an operation, with an id of its own.

    `is_charged` is set once its units have been charged, `is_over` once its client has a
    result or no longer waits.
    `work_item` is None except for the request by which a gateway finishes the work item of one that died. No
    client waits for it.
    """

    __slots__ = ("end_us", "gateway", "id", "is_charged", "is_in_quota", "is_over", "operation", "work_item")

    def __init__(self, request_id: str, operation: Operation, gateway: Gateway, end_us: int) -> None:
        self.id, self.operation, self.gateway, self.end_us = request_id, operation, gateway, end_us
        self.is_charged = self.is_in_quota = self.is_over = False
        self.work_item: WorkItem | None = None


class Clients:
    """The clients of all customers, and the load balancer that spreads their requests over the gateways."""

    def __init__(self, run: SimulationRun, spec: ClientsSpec, stream: Stream) -> None:
        self.run, self.spec, self.stream = run, spec, stream
        self.request_numbers = itertools.count(1)
        self.known_down: set[int] = set()  # gateways that the load balancer knows to be down
        self.timeout_shares = [stream.uniform_in(spec.try_share) for _ in run.scenario.classes]
        self.backoff = spec.backoff or stream.choice(("none", "fixed", "exp"))
        self.backoff_us, self.retry_after_share = (
            stream.uniform_in(spec.backoff_ms) * MS,
            stream.uniform_in(spec.honour),
        )
        self.other_gateway_share = stream.uniform_in(run.scenario.demand.elsewhere)
        self.objectives_us = [
            round(request_class.aim_ms * run.scenario.stretch * MS) for request_class in run.scenario.classes
        ]
        self.deadlines_us = [
            round(request_class.deadline_ms * run.scenario.stretch * MS)
            for request_class in run.scenario.classes
        ]

    # --- requests ---

    def start_operation(self, customer: Customer, class_index: int, work_us: float) -> None:
        """Send the first request of a new operation; its work is in microseconds of one core."""
        run, now_us = self.run, self.run.clock.now
        value = run.scenario.classes[class_index].worth * run.plans[customer.plan].value_factor
        operation = Operation(customer, class_index, work_us, value, now_us)
        operation.objective_end_us = now_us + self.objectives_us[class_index]
        operation.end_us = now_us + self.deadlines_us[class_index]
        operation.is_in_ideal_quota = customer.account.ideal.take(1.0, now_us)
        run.accounting.operations += 1
        self.send_request(operation, None)

    def choose_gateway(self, customer: Customer, previous: Gateway | None) -> Gateway:
        """Draw a gateway of the customer's set by weight, but none that is known to be down.

        A retry goes to the previous gateway again, except for the share `other_gateway_share`.
        """
        gateways = self.run.gateways
        if (
            previous is not None
            and previous.number not in self.known_down
            and not self.stream.chance(self.other_gateway_share)
        ):
            return previous
        for _ in range(4):
            number = customer.draw_gateway(self.stream, len(gateways))
            if number not in self.known_down:
                return gateways[number]
        numbers = [(customer.set_first + index) % len(gateways) for index in range(customer.set_size)]
        running = [number for number in numbers if number not in self.known_down] or numbers
        return gateways[self.stream.choice(running)]

    def send_request(self, operation: Operation, previous: Gateway | None) -> None:
        """Send an operation's next request; `previous` is the gateway of the request before it."""
        run, now_us = self.run, self.run.clock.now
        operation.request_count += 1
        gateway = self.choose_gateway(operation.customer, previous)
        timeout_us = self.deadlines_us[operation.class_index] * self.timeout_shares[operation.class_index]
        end_us = min(operation.end_us, now_us + round(timeout_us))
        request = ClientRequest(f"{next(self.request_numbers):x}", operation, gateway, end_us)
        run.accounting.requests += 1
        run.clock.after(run.network.to_client_us(), gateway.receive_request, request)
        run.clock.at(request.end_us, self.time_out_request, request)

    def charge(self, request: ClientRequest, gateway: Gateway) -> None:
        """Charge a request's units: its first attempt has arrived at a server in full."""
        run, customer = self.run, request.operation.customer
        now_us, plan = run.clock.now, run.plans[customer.plan]
        was_exceeded = customer.account.is_ceiling_exceeded()
        request.is_in_quota = customer.account.charge(1.0, now_us)
        cause = (
            ""
            if request.is_in_quota
            else self.over_quota_cause(gateway.decision_on(request.id), plan, gateway)
        )
        run.accounting.charge(request.is_in_quota, cause, plan.over_quota_cost * request.operation.value)
        if customer.account.is_ceiling_exceeded() and not was_exceeded:
            run.accounting.record_violation("a ceiling was passed", f"customer {customer.name}")

    def over_quota_cause(self, decision: RequestDecision | None, plan: PlanFigures, gateway: Gateway) -> str:
        """Return why a request beyond the quota was forwarded."""
        if decision is None:
            return "unknown"
        if not decision.is_in_quota and plan.over_quota_value > plan.over_quota_cost:
            return "on purpose"
        gateways, now_us = self.run.gateways, self.run.clock.now
        owner = gateways[decision.owner] if 0 <= decision.owner < len(gateways) else gateway
        for cause, restarted in (("restarted door", gateway), ("restarted home", owner)):
            if restarted.epoch > 1 and now_us - restarted.started_us < RECENT_START_US:
                return cause
        return decision.basis or "unknown"

    # --- answers ---

    def unreached(self, request: ClientRequest) -> None:
        """Handle a connection that is refused because no gateway listens."""
        self.run.clock.after(
            CONNECTION_REFUSED_DELAY_US, self.end_request, request, "unreached", "door is down", 0
        )

    def gateway_died(self, request: ClientRequest) -> None:
        """Handle a connection that is reset because the gateway has died."""
        if request.work_item is not None:
            return
        self.run.clock.after(
            self.run.network.to_client_us(), self.end_request, request, "unreached", "door died", 0
        )

    def answered(
        self,
        request: ClientRequest,
        result: str,
        retry_after_us: int,
        decision: RequestDecision | None,
        gateway: Gateway,
    ) -> None:
        """Send a gateway's answer to the client, with its cause."""
        if request.work_item is not None:
            self.run.takeover.on_takeover_end(request.work_item, result)
            return
        cause = result if result != "refused" else self.rejection_cause(request, decision)
        if result == "failed":
            cause = f"failed: {decision.reason}" if decision and decision.reason else "failed"
        self.run.clock.after(
            self.run.network.to_client_us(), self.end_request, request, result, cause, retry_after_us
        )

    def rejection_cause(self, request: ClientRequest, decision: RequestDecision | None) -> str:
        """Return the cause of a rejection; for a quota or ceiling, with how full the fleet's bucket is."""
        if decision is None or not decision.reason:
            return "unknown"
        account, now_us = request.operation.customer.account, self.run.clock.now
        bucket = account.ceiling if decision.reason == "ceiling" else account.quota
        if bucket is None or decision.reason not in ("quota", "ceiling"):
            return decision.reason
        level = bucket.refill(now_us)
        if level < 1.0:
            return f"beyond {decision.reason}"
        room = "half unused" if 2 * level >= bucket.burst else "some room"
        return f"{room}, {'ceiling, ' if decision.reason == 'ceiling' else ''}{decision.basis}"

    def time_out_request(self, request: ClientRequest) -> None:
        """End a request at its client's time-out, unless it has ended before."""
        if request.is_over:
            return
        was_unanswered = request.gateway.on_client_disconnect(request)
        self.end_request(request, "gone", "no answer in time" if was_unanswered else "answer too late", 0)

    def end_request(self, request: ClientRequest, result: str, cause: str, retry_after_us: int) -> None:
        """End a request at its client, and retry if the client may."""
        if request.is_over:
            return
        request.is_over = True
        run, operation, now_us = self.run, request.operation, self.run.clock.now
        run.accounting.end_request(result, cause)
        if result == "served":
            self.end_operation(operation, request, cause)
            return
        if cause not in LATE_CAUSES or operation.request_count == 1:
            operation.cause = cause
        request_class = run.scenario.classes[operation.class_index]
        delay_us = self.retry_delay_us(operation, retry_after_us)
        may_retry = not request_class.keyed or result in ("refused", "unreached")
        if (
            may_retry
            and operation.request_count <= self.spec.retries
            and now_us + delay_us < operation.end_us
        ):
            run.clock.after(delay_us, self.send_request, operation, request.gateway)
        else:
            self.end_operation(
                operation, None, cause if cause == operation.cause else f"{LATE} after {operation.cause}"
            )

    def retry_delay_us(self, operation: Operation, retry_after_us: int) -> float:
        """Return how long to wait before a retry: the Retry-After time, if followed, or the backoff."""
        if retry_after_us and self.stream.chance(self.retry_after_share):
            return min(retry_after_us, self.spec.max_retry_after_ms * MS)
        if self.backoff == "none":
            return 1 * MS
        return self.backoff_us * (2 ** (operation.request_count - 1) if self.backoff == "exp" else 1)

    def end_operation(self, operation: Operation, served: ClientRequest | None, cause: str) -> None:
        """End an operation: account for the value offered, the value earned and the cause of the difference.

        `served` is the request that was served; None if none was.
        """
        run, now_us = self.run, self.run.clock.now
        run.takeover.forget(operation)
        plan, request_class = run.plans[operation.customer.plan], run.scenario.classes[operation.class_index]
        offered = operation.value * (1.0 if operation.is_in_ideal_quota else plan.over_quota_value)
        earned, late_fail = 0.0, 0.0
        if served is None:
            late_fail = operation.value if now_us > operation.objective_end_us else 0.0
        else:
            earned = operation.value * (1.0 if served.is_in_quota else plan.over_quota_value)
            if now_us > operation.objective_end_us:
                earned, cause = earned * request_class.late_worth, f"{LATE} after {operation.cause}"
            elif not served.is_in_quota:
                cause = BEYOND_QUOTA
            else:
                cause = SERVED if operation.is_in_ideal_quota else BEYOND_IDEAL_QUOTA
        second = (operation.first_us - run.start_us) // S
        in_time = served is not None and now_us <= operation.objective_end_us
        run.accounting.in_time[second] += in_time
        if operation.is_in_ideal_quota:
            run.accounting.points.append((operation.first_us - run.start_us, operation.value, in_time))
        run.accounting.end_operation(
            (second, operation.class_index, operation.customer.plan), offered, earned, cause, late_fail
        )


class PlanFigures:
    """The rates, bursts and values of a plan that are drawn for one run, for the settings of gateways."""

    __slots__ = ("burst", "ceiling", "over_quota_cost", "over_quota_value", "rate", "value_factor")

    def __init__(self, spec: object, stretch: float, stream: Stream) -> None:
        self.rate = stream.uniform_in(spec.rate) / stretch
        self.value_factor = spec.price
        self.over_quota_value, self.over_quota_cost = spec.over_worth, spec.over_cost
        # The operators' page on the benchmark requires a burst of at least 2 of the largest requests, 4 with
        # a ceiling.
        min_burst = 4 if spec.ceiling else 2
        self.burst = float(max(min_burst, round(self.rate * stretch * stream.uniform_in(spec.burst_s))))
        multiple = stream.uniform_in(spec.ceiling) if spec.ceiling else 0.0
        ceiling_burst = float(round(self.burst * multiple))
        # The ceiling's rate, burst and slack; a rate of 0 means that there is no ceiling.
        self.ceiling = (self.rate * multiple, ceiling_burst, max(1.0, math.floor(ceiling_burst / 10)))


class Demand:
    """All customers of a run. The operations of each start as a Poisson process whose rate changes."""

    def __init__(self, run: SimulationRun) -> None:
        self.run, scenario = run, run.scenario
        self.spec, self.stream, self.work_stream = scenario.demand, run.streams["demand"], run.streams["asks"]
        stream = self.stream
        # By class: mean and coefficient of variation of the work of an operation.
        self.work_means_us = [
            self.work_stream.uniform_in(request_class.work_ms) * scenario.stretch * MS
            for request_class in scenario.classes
        ]
        self.work_cvs = [self.work_stream.uniform_in(request_class.cv) for request_class in scenario.classes]
        total_share = sum(request_class.share for request_class in scenario.classes)
        self.cumulative_shares = list(
            itertools.accumulate(request_class.share / total_share for request_class in scenario.classes)
        )
        self.mean_work_us = sum(
            request_class.share / total_share * mean
            for request_class, mean in zip(scenario.classes, self.work_means_us, strict=True)
        )
        self.customers: list[Customer] = []
        self.customer_numbers = itertools.count(1)
        self.load_factor, self.swing = 1.0, stream.uniform_in(self.spec.swing)
        self.phase = stream.uniform() * 2 * math.pi
        self.skew = stream.uniform_in(self.spec.skew)
        self.in_quota_rate = 0.0  # operations a second of all customers inside their quotas

    def begin(self, capacity: float) -> None:
        """Draw the customers for this capacity (of all servers, in cores at usual speed); start arrivals."""
        spec, stream, scenario = self.spec, self.stream, self.run.scenario
        self.in_quota_rate = stream.uniform_in(spec.load) * capacity * S / self.mean_work_us
        total_share = sum(plan.share for plan in scenario.plans)
        full_share, heavy_share, spiky_share = (
            stream.uniform_in(spec.full),
            stream.uniform_in(spec.heavy),
            stream.uniform_in(spec.spiky),
        )
        for number, plan in enumerate(scenario.plans):
            rate = self.run.plans[number].rate
            mean_calm_use = sum(spec.calm_use) / 2
            mean_use = max(
                0.05, (1 - full_share - heavy_share) * mean_calm_use + full_share * 0.95 + heavy_share
            )
            count = max(1, round(self.in_quota_rate * plan.share / total_share / (rate * mean_use)))
            kinds = stream.shuffled(
                ["full"] * round(full_share * count)
                + ["heavy"] * round(heavy_share * count)
                + ["spiky"] * round(spiky_share * count)
                + ["calm"] * count
            )[:count]
            for kind in kinds:
                # All three numbers are drawn, whatever the kind.
                use = {
                    "full": stream.uniform_between(0.9, 1.0),
                    "heavy": stream.uniform_in(spec.heavy_x),
                }.get(kind, stream.uniform_in(spec.calm_use))
                customer = self.add_customer(number, use * rate)
                if kind == "spiky":
                    customer.spike_factor = stream.uniform_in(spec.spike_x) / use
                    self.run.clock.after(
                        stream.uniform() * stream.uniform_in(spec.spike_every_s) * S,
                        self.toggle_spike,
                        customer,
                    )
                self.restart_arrivals(customer)
                self.shift_weights(customer)

    def add_customer(self, plan: int, rate: float) -> Customer:
        """Draw a customer of a plan that starts `rate` operations a second."""
        figures, stream, gateway_count = self.run.plans[plan], self.stream, len(self.run.gateways)
        spread = self.run.scenario.plans[plan].spread
        size = max(min(2, gateway_count), round(stream.uniform_in(spread) * gateway_count))
        if figures.ceiling[0]:
            # The ceiling's burst then has room for two of the largest requests at each gateway.
            size = min(size, max(2, int(figures.ceiling[1] / 2)))
        size = min(size, gateway_count)
        account = Account(figures.rate, figures.burst, figures.ceiling, self.run.clock.now)
        customer = Customer(
            f"{next(self.customer_numbers):016x}",
            plan,
            stream.integer_below(gateway_count),
            size,
            account,
            rate,
        )
        customer.draw_weights(stream, self.skew)
        self.customers.append(customer)
        return customer

    def shift_weights(self, customer: Customer, first: bool = True) -> None:
        """Draw new weights of a customer's gateways at intervals; the first call only schedules the next."""
        if not first:
            customer.draw_weights(self.stream, self.skew)
        self.run.clock.after(
            self.stream.uniform_in(self.spec.shift_s) * S, self.shift_weights, customer, False
        )

    def toggle_spike(self, customer: Customer) -> None:
        """Begin or end a spike of a customer's rate, and schedule the next change."""
        customer.is_spiking = not customer.is_spiking
        customer.rate = customer.usual_rate * (customer.spike_factor if customer.is_spiking else 1)
        spec = self.spec
        self.run.clock.after(
            self.stream.uniform_in(spec.spike_s if customer.is_spiking else spec.spike_every_s) * S,
            self.toggle_spike,
            customer,
        )
        self.restart_arrivals(customer)

    def restart_arrivals(self, customer: Customer) -> None:
        """Restart a customer's arrivals at its present rate, as a Poisson process is memoryless."""
        customer.arrival_epoch += 1
        self.schedule_arrival(customer, customer.arrival_epoch)

    def max_factor(self) -> float:
        """Return the largest factor on a customer's rate while the load swings."""
        return self.load_factor * (1 + self.swing)

    def schedule_arrival(self, customer: Customer, epoch: int) -> None:
        """Schedule the next arrival at the maximum rate of the swing, of which `arrive` drops some."""
        rate = customer.rate * self.max_factor()
        if rate > 0:
            self.run.clock.after(self.stream.exponential(S / rate), self.arrive, customer, epoch)

    def arrive(self, customer: Customer, epoch: int) -> None:
        """Start an operation with the probability that the present rate is of the maximum rate (thinning)."""
        run = self.run
        if epoch != customer.arrival_epoch or run.clock.now >= run.end_us:
            return
        elapsed_share = (run.clock.now - run.start_us) / max(1, run.end_us - run.start_us)
        swing_factor = 1 + self.swing * math.sin(self.phase + 2 * math.pi * elapsed_share)
        if self.stream.uniform() * (1 + self.swing) < swing_factor:
            self.start_operation(customer)
        self.schedule_arrival(customer, epoch)

    def start_operation(self, customer: Customer) -> None:
        """Draw the class and the work of an operation, and start it."""
        class_index = min(
            bisect(self.cumulative_shares, self.work_stream.uniform()), len(self.work_means_us) - 1
        )
        work_us = max(
            500.0, self.work_stream.lognormal(self.work_means_us[class_index], self.work_cvs[class_index])
        )
        self.run.clients.start_operation(customer, class_index, work_us)

    def set_load_factor(self, factor: float) -> None:
        """Multiply the usual rates of all customers by a factor from now on."""
        self.load_factor = factor
        for customer in self.customers:
            self.restart_arrivals(customer)
