"""One simulated run of a scenario: builds the fleet, simulates it and computes the figures."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import msgspec

from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass, Settings
from thistletrail.simulation.accounting import WEIGHTS, Accounting
from thistletrail.simulation.clients import Clients, Demand, PlanFigures
from thistletrail.simulation.clock import MS, Clock, S
from thistletrail.simulation.endpoint_list import EndpointList
from thistletrail.simulation.faults import FaultInjector
from thistletrail.simulation.gateways import ANSWER_GRACE_US, Gateway
from thistletrail.simulation.leased_budgets import BudgetLeases
from thistletrail.simulation.network import Network
from thistletrail.simulation.scenario import Scenario
from thistletrail.simulation.servers import ScanServer, Traits
from thistletrail.simulation.service import Recovery, measure_recovery
from thistletrail.simulation.streams import Stream
from thistletrail.simulation.work_takeover import Takeover

START_US = 1_000 * S  # not 0: a server's start time of 0 means that it started long ago
TAIL_S = 1.0  # simulated time after the deadline of the last request
LOAD_FAULT_KINDS = ("burst", "hot_customers", "one_shots")  # faults that are part of the load
STREAM_NAMES = (  # each name seeds its stream: a renamed one changes every run
    "servers",
    "net",
    "lists",
    "clients",
    "demand",
    "asks",
    "work",
    "troubles",
    "doors",
    "kept",
    "leases",
    "stored",
)
# Range of the coefficient of variation of the work of one request's attempts, from the description of the
# site.
ATTEMPT_NOISE_RANGE = (0.052, 0.47)
PEER_MESSAGE_PRICE_BYTES = 256  # the price of peer messages is per this many bytes


class SimulationRun:
    """One run of a scenario.

    It is deterministic: the same scenario and seed give the same events and exactly the same figures.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.streams = {name: Stream(seed, name) for name in STREAM_NAMES}
        self.clock = Clock(START_US)
        self.start_us = START_US
        self.end_us = START_US + round(scenario.length_s * S)
        self.accounting = Accounting(
            tuple(request_class.name for request_class in scenario.classes),
            tuple(plan.name for plan in scenario.plans),
        )
        self.traits = Traits(scenario, self.streams["servers"])
        self.attempt_noise = self.streams["work"].uniform_in(ATTEMPT_NOISE_RANGE)
        self.network = Network(self, self.clock, scenario.net, self.streams["net"])
        self.plans = [PlanFigures(plan, scenario.stretch, self.streams["demand"]) for plan in scenario.plans]
        self.endpoint_list = EndpointList(self)
        self.servers: dict[str, ScanServer] = {}
        self.unresponsive_servers: set[str] = set()
        self.takeover = Takeover(self)
        self.takeover_numbers = itertools.count(1)  # makes the ids of taken-over requests unique
        self.leases = BudgetLeases(self)
        self.gateways = [
            Gateway(self, number, number % scenario.net.zones) for number in range(scenario.doors)
        ]
        self.clients = Clients(self, scenario.clients, self.streams["clients"])
        self.demand = Demand(self)
        for number in range(scenario.servers.count):
            zone = number % scenario.net.zones
            cell = zone + scenario.net.zones * (number // scenario.net.zones // scenario.servers.cell_size)
            self.add_server(f"s-{number:04d}", (zone, cell), cold=False)
        self.endpoint_list.begin()

    # --- called by the components ---

    def add_server(self, name: str, place: tuple[int, int], cold: bool) -> ScanServer:
        """Add a running server at `place`, its zone and cell. If cold, it starts now and has to warm up."""
        server = self.servers[name] = ScanServer(
            self.clock, self.traits, self.streams["servers"], name, place, self.demand.mean_work_us, cold
        )
        return server

    def stop_server(self, server: ScanServer, silent: bool) -> None:
        """Stop a server at once.

        If `silent`, its whole machine disappears and packets to it are lost. Otherwise only its process ends.
        """
        if silent:
            self.unresponsive_servers.add(server.name)
        server.stop(silent)

    def is_unresponsive(self, server: ScanServer) -> bool:
        """Return whether the server's machine answers nothing, not even a refused connection."""
        return server.name in self.unresponsive_servers

    def settings(self, gateway_index: int, zone: int) -> Settings:
        """Return the settings with which a gateway starts."""
        scenario, clients = self.scenario, self.clients
        classes = tuple(
            RequestClass(
                latency_objective_us=clients.objectives_us[index],
                deadline_us=clients.deadlines_us[index],
                value=request_class.worth,
                late_value=request_class.late_worth,
                effect=Effect.IDEMPOTENT_BY_KEY if request_class.keyed else Effect.IDEMPOTENT,
                idempotency_scope=IdempotencyScope.ZONE if request_class.keyed else IdempotencyScope.ALL,
                idempotency_window_us=round(request_class.window_ms * scenario.stretch * MS),
            )
            for index, request_class in enumerate(scenario.classes)
        )
        plans = tuple(
            Plan(
                rate=plan.rate,
                burst=plan.burst,
                value_factor=plan.value_factor,
                over_quota_value=plan.over_quota_value,
                over_quota_cost=plan.over_quota_cost,
                ceiling_rate=plan.ceiling[0],
                ceiling_burst=plan.ceiling[1],
                ceiling_slack=plan.ceiling[2] if plan.ceiling[0] else 0.0,
            )
            for plan in self.plans
        )
        return Settings(
            seed=self.streams["doors"].draw_seed(),
            gateway_index=gateway_index,
            gateway_count=scenario.doors,
            classes=classes,
            plans=plans,
            zone=zone,
            max_attempts=scenario.max_attempts,
            max_retry_after_us=round(scenario.clients.max_retry_after_ms * MS),
            may_probe=True,
            may_cancel=True,
            may_message_peers=True,
            peer_messages_per_s=scenario.net.peer_per_s,
            cross_zone_price=scenario.prices.cross_zone,
            handshake_price=scenario.prices.handshake,
            waste_price=scenario.prices.waste,
            late_fail_price=scenario.prices.late_fail,
            message_price=scenario.prices.peer,
            probe_price=scenario.prices.probe,
            answer_grace_us=ANSWER_GRACE_US,
            ask_within_us=10 * S,
            cold_capacity=scenario.cold_from,
            warm_up_us=round(scenario.warm_within_s * S),
            overload_multiple=scenario.fall_multiple,
            overload_window_us=round(scenario.fall_s * S),
            leases_ceilings=scenario.leased or scenario.leased_quotas,
            leases_quotas=scenario.leased_quotas,
        )

    # --- the run ---

    def play(self) -> Accounting:
        """Play the run until shortly after the deadline of the last request, and return its accounting."""
        for gateway in self.gateways:
            gateway.start()
        capacity = sum(server.traits.cores * server.speed for server in self.servers.values())
        self.demand.begin(capacity)
        FaultInjector(self).begin()
        self.clock.after(S, self.next_second)
        self.clock.run(self.end_us + max(self.clients.deadlines_us) + round(TAIL_S * S))
        self.check_overloaded_cold_servers()
        for customer in self.demand.customers:
            for bucket in (customer.account.quota, customer.account.ceiling):
                if bucket and bucket.level > bucket.burst + 1e-9:
                    self.accounting.record_violation("a store above its burst", f"customer {customer.name}")
        return self.accounting

    def next_second(self) -> None:
        """Advance the accounting to the next second of the run."""
        self.accounting.second += 1
        self.clock.after(S, self.next_second)

    def check_overloaded_cold_servers(self) -> None:
        """Record a violation for each server that gateways overloaded while they knew that it was warming up.

        It is a violation if at least two thirds of the work came from gateways that had been notified of the
        server's start.
        """
        for server in self.servers.values():
            if not server.has_collapsed:
                continue
            work_from_notified = sum(
                work
                for gateway, work in server.work_by_gateway.items()
                if server.name in self.gateways[gateway].start_known_us
            )
            if work_from_notified >= 2 / 3 * sum(server.work_by_gateway.values()):
                self.accounting.record_violation("a cold server was pushed over", server.name)

    # --- figures ---

    def prices(self) -> dict[str, float]:
        """Return what is deducted from the score, by the rules of the operators' page on prices."""
        accounting, price_rates = self.accounting, self.scenario.prices
        operations, offered = max(1, accounting.operations), sum(accounting.offered.values()) or 1.0
        worked_us = sum(server.worked_us for server in self.servers.values())
        useful_us = sum(server.useful_us for server in self.servers.values())
        return {
            "over_quota": sum(accounting.over_cost.values()) / offered,
            "handshake": price_rates.handshake * accounting.handshakes / operations,
            "peer": price_rates.peer * accounting.peer_bytes / PEER_MESSAGE_PRICE_BYTES / operations,
            "cross_zone": price_rates.cross_zone * accounting.cross_zone_attempts / operations,
            "late_fail": price_rates.late_fail * accounting.late_fail / offered,
            "waste": price_rates.waste * max(0.0, worked_us - useful_us) / max(1.0, worked_us),
        }

    def result(self) -> dict[str, object]:
        """Return the figures of the run as plain values, ready for JSON.

        The keys keep the names of earlier outputs: `asks` are operations, `tries` requests, `ends` their
        results, `kept` the counts of the takeover, `over` units beyond quota, `broken` violations by rule
        and `sums` the errors of the accounting. `g` is the score by which revisions are compared: weighted
        shares of the offered value that was earned, less the prices.
        """
        accounting = self.accounting
        prices = self.prices()
        plan_shares = {name: accounting.share(plan=index) for index, name in enumerate(accounting.plans)}
        run_share, worst_window_share = accounting.share(), accounting.worst_window()
        shares = run_share, worst_window_share, min(plan_shares.values())
        weighted_share = sum(weight * share for weight, share in zip(WEIGHTS, shares, strict=True))
        return {
            "kind": "total",
            "scenario": self.scenario.name,
            "seed": self.seed,
            "g": weighted_share - sum(prices.values()),
            "whole": run_share,
            "worst_10s": worst_window_share,
            "plans": plan_shares,
            "classes": {
                name: accounting.share(class_index=index) for index, name in enumerate(accounting.classes)
            },
            "prices": prices,
            "asks": accounting.operations,
            "tries": accounting.requests,
            "attempts": accounting.attempts,
            "handshakes": accounting.handshakes,
            "ends": dict(sorted(accounting.results.items())),
            "refused": accounting.by_cause(accounting.refused),
            "over": accounting.by_cause(accounting.over_quota),
            "over_cost": dict(sorted(accounting.over_cost.items())),
            "units_sent": accounting.units_sent,
            "units_beyond": accounting.units_beyond,
            "offered": sum(accounting.offered.values()),
            "earned": sum(accounting.earned.values()),
            "lost": dict(sorted(accounting.lost.items())),
            "messages": accounting.by_cause(accounting.messages),
            "peer_bytes": accounting.peer_bytes,
            "kept": self.takeover.result(),
            "leases": self.leases.renewals,
            "zones": accounting.extra_zones,
            "outcomes": dict(sorted(accounting.outcomes.items())),
            "broken": dict(sorted(accounting.violation_counts.items())),
            "sums": accounting.check(),
            "events": self.clock.calls,
        }

    def recovery(self, baseline: SimulationRun) -> dict[str, object]:
        """Return the recovery from the first fault, against `baseline`: the same load without faults.

        The caller has to make sure that the scenario has a fault. Times are in seconds from the fault; None
        means that full service was not reached (or, for `full_after_back_s`, that no gateway came back).
        `opened` is the maximum number of handshakes in a second, `fallen` the servers that collapsed under
        load, `beyond` units beyond quota; keys with `calm` have the figure of the baseline run.
        """
        accounting, baseline_accounting = self.accounting, baseline.accounting
        fault_us = round(min(fault.at_s for fault in self.scenario.troubles) * S)
        length_us = self.end_us - self.start_us

        def recovery_since(from_us: int) -> Recovery:
            return measure_recovery(accounting.points, baseline_accounting.points, from_us, length_us)

        since_fault = recovery_since(fault_us)
        came_back = accounting.last_restart_us >= fault_us
        return {
            "full_s": since_fault.full_s,
            "worst_second": since_fault.worst_second,
            "lost": since_fault.lost,
            "full_after_back_s": recovery_since(accounting.last_restart_us).full_s if came_back else None,
            "came_back": came_back,
            "left_s": (length_us - fault_us) / S,
            "opened": max(accounting.handshakes_by_second.values(), default=0),
            "opened_calm": max(baseline_accounting.handshakes_by_second.values(), default=0),
            "fallen": sum(server.has_collapsed for server in self.servers.values()),
            "beyond": accounting.units_beyond,
            "beyond_calm": baseline_accounting.units_beyond,
            "tries_an_ask": accounting.requests / max(1, accounting.operations),
        }

    def lines(self, **extra: object) -> Iterator[bytes]:
        """Yield the run as JSON lines: one for each second, server, broken rule and log line, then the total.

        `extra` is added to the total.
        """
        accounting = self.accounting
        last_second = max((key[0] for key in accounting.offered), default=0)
        for second in range(last_second + 1):
            yield encode_line(
                {
                    "kind": "second",
                    "at": second,
                    "classes": {
                        name: [
                            sum(values[key] for key in values if key[0] == second and key[1] == index)
                            for values in (accounting.offered, accounting.earned)
                        ]
                        for index, name in enumerate(accounting.classes)
                    },
                    "refused": {
                        cause: count
                        for (at_second, cause), count in sorted(accounting.refused.items())
                        if at_second == second
                    },
                    "over": {
                        cause: count
                        for (at_second, cause), count in sorted(accounting.over_quota.items())
                        if at_second == second
                    },
                    "messages": {
                        fate: count
                        for (at_second, fate), count in sorted(accounting.messages.items())
                        if at_second == second
                    },
                }
            )
        for server in self.servers.values():
            yield encode_line(
                {
                    "kind": "server",
                    "name": server.name,
                    "zone": server.zone,
                    "served": server.served,
                    "busy": server.worked_us / (self.traits.cores * (self.end_us - self.start_us)),
                    "fallen": server.has_collapsed,
                }
            )
        for second, rule, where in accounting.violations:
            yield encode_line({"kind": "broken", "at": second, "rule": rule, "where": where})
        for second, gateway, text in accounting.log_lines:
            yield encode_line({"kind": "log", "at": second, "door": gateway, "text": text})
        yield encode_line({**self.result(), **extra})


def encode_line(values: dict[str, object]) -> bytes:
    """Return the values as one line of JSON."""
    return msgspec.json.encode(values) + b"\n"


def without_faults(scenario: Scenario) -> Scenario:
    """Return the scenario with the same load, but without the faults that are not part of the load."""
    load_faults = tuple(fault for fault in scenario.troubles if fault.kind in LOAD_FAULT_KINDS)
    return msgspec.structs.replace(scenario, troubles=load_faults)


def play(scenario: Scenario, seed: int) -> SimulationRun:
    """Play a scenario once and return the completed run."""
    run = SimulationRun(scenario, seed)
    run.play()
    return run
