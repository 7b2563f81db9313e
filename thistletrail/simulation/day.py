"""One run of a scenario: the fleet put together, played to its end, and what came of it."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import msgspec

from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass, Settings
from thistletrail.simulation.books import WEIGHTS, Accounting
from thistletrail.simulation.catalog import EndpointList
from thistletrail.simulation.clients import Clients, Demand, PlanFigures
from thistletrail.simulation.clock import MS, Clock, S
from thistletrail.simulation.doors import ANSWER_GRACE_US, Gateway
from thistletrail.simulation.kept import Takeover
from thistletrail.simulation.leased import BudgetLeases
from thistletrail.simulation.network import Network
from thistletrail.simulation.scenario import Scenario
from thistletrail.simulation.servers import ScanServer, Traits
from thistletrail.simulation.service import Recovery, measure_recovery
from thistletrail.simulation.streams import Stream
from thistletrail.simulation.troubles import FaultInjector

START_US = 1_000 * S  # when a run begins: a start time of 0 means long ago
TAIL_S = 1.0  # after the last possible end of a request
LOAD_KINDS = ("burst", "hot_customers", "one_shots")  # troubles that are a part of the load
STREAMS = (
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
NOISE = (0.052, 0.47)  # of one attempt's work against another's for the same request (the site)


class Day:
    """A run. Same scenario and seed, same events, and so the same figures to the last digit."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.streams = {name: Stream(seed, name) for name in STREAMS}
        self.clock = Clock(START_US)
        self.start_us = START_US
        self.end_us = START_US + round(scenario.length_s * S)
        self.books = Accounting(
            tuple(rule.name for rule in scenario.classes), tuple(plan.name for plan in scenario.plans)
        )
        self.traits = Traits(scenario, self.streams["servers"])
        self.attempt_noise = self.streams["work"].span(NOISE)
        self.network = Network(self, self.clock, scenario.net, self.streams["net"])
        self.plans = [PlanFigures(plan, scenario.stretch, self.streams["demand"]) for plan in scenario.plans]
        self.catalog = EndpointList(self)
        self.servers: dict[str, ScanServer] = {}
        self.gone_silent: set[str] = set()
        self.kept, self.heirs = Takeover(self), itertools.count(1)
        self.leases = BudgetLeases(self)
        self.doors = [Gateway(self, number, number % scenario.net.zones) for number in range(scenario.doors)]
        self.clients = Clients(self, scenario.clients, self.streams["clients"])
        self.demand = Demand(self)
        for number in range(scenario.servers.count):
            zone = number % scenario.net.zones
            cell = zone + scenario.net.zones * (number // scenario.net.zones // scenario.servers.cell_size)
            self.add_server(f"s-{number:04d}", (zone, cell), cold=False)
        self.catalog.begin()

    # --- what its parts ask of it ---

    def add_server(self, name: str, place: tuple[int, int], cold: bool) -> ScanServer:
        server = self.servers[name] = ScanServer(
            self.clock, self.traits, self.streams["servers"], name, place, self.demand.mean_work_us, cold
        )
        return server

    def lose(self, server: ScanServer, silent: bool) -> None:
        """Its machine vanishes, in silence or not."""
        if silent:
            self.gone_silent.add(server.name)
        server.stop(silent)

    def vanished(self, server: ScanServer) -> bool:
        """Whether its machine says nothing, not even that nobody listens."""
        return server.name in self.gone_silent

    def settings(self, number: int, zone: int) -> Settings:
        """What a front door is told at its start."""
        scenario, clients = self.scenario, self.clients
        classes = tuple(
            RequestClass(
                latency_objective_us=clients.objectives_us[n],
                deadline_us=clients.deadlines_us[n],
                value=rule.worth,
                late_value=rule.late_worth,
                effect=Effect.IDEMPOTENT_BY_KEY if rule.keyed else Effect.IDEMPOTENT,
                idempotency_scope=IdempotencyScope.ZONE if rule.keyed else IdempotencyScope.ALL,
                idempotency_window_us=round(rule.window_ms * scenario.stretch * MS),
            )
            for n, rule in enumerate(scenario.classes)
        )
        plans = tuple(
            Plan(
                rate=plan.rate,
                burst=plan.burst,
                value_factor=plan.price,
                over_quota_value=plan.over_worth,
                over_quota_cost=plan.over_cost,
                ceiling_rate=plan.ceiling[0],
                ceiling_burst=plan.ceiling[1],
                ceiling_slack=plan.ceiling[2] if plan.ceiling[0] else 0.0,
            )
            for plan in self.plans
        )
        return Settings(
            seed=self.streams["doors"].whole(),
            gateway_index=number,
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

    # --- a run ---

    def play(self) -> Accounting:
        """Play the day to its end: until the last request's time is up and a little more."""
        for door in self.doors:
            door.start()
        capacity = sum(server.traits.cores * server.speed for server in self.servers.values())
        self.demand.begin(capacity)
        FaultInjector(self).begin()
        self.clock.after(S, self.tick)
        self.clock.run(self.end_us + max(self.clients.deadlines_us) + round(TAIL_S * S))
        self.check_falls()
        for customer in self.demand.customers:
            for store in (customer.account.quota, customer.account.ceiling):
                if store and store.level > store.burst + 1e-9:
                    self.books.record_violation("a store above its burst", f"customer {customer.name}")
        return self.books

    def tick(self) -> None:
        self.books.second += 1
        self.clock.after(S, self.tick)

    def check_falls(self) -> None:
        """A cold server pushed over by doors that had been told of its start breaks the rule."""
        for server in self.servers.values():
            if not server.has_collapsed:
                continue
            told = sum(
                work
                for door, work in server.work_by_gateway.items()
                if server.name in self.doors[door].start_known_us
            )
            if told >= 2 / 3 * sum(server.work_by_gateway.values()):
                self.books.record_violation("a cold server was pushed over", server.name)

    # --- figures ---

    def prices(self) -> dict[str, float]:
        """What comes off the result, as the operators' page on prices words it."""
        books, price = self.books, self.scenario.prices
        asks, offered = max(1, books.operations), sum(books.offered.values()) or 1.0
        worked = sum(server.worked_us for server in self.servers.values())
        useful = sum(server.useful_us for server in self.servers.values())
        return {
            "over_quota": sum(books.over_cost.values()) / offered,
            "handshake": price.handshake * books.handshakes / asks,
            "peer": price.peer * books.peer_bytes / 256 / asks,
            "cross_zone": price.cross_zone * books.cross_zone_attempts / asks,
            "late_fail": price.late_fail * books.late_fail / offered,
            "waste": price.waste * max(0.0, worked - useful) / max(1.0, worked),
        }

    def result(self) -> dict[str, object]:
        """The run in figures, each a plain value."""
        books = self.books
        prices = self.prices()
        plans = {name: books.share(plan=number) for number, name in enumerate(books.plans)}
        parts = books.share(), books.worst_window(), min(plans.values())
        worth = sum(weight * part for weight, part in zip(WEIGHTS, parts, strict=True))
        return {
            "kind": "total",
            "scenario": self.scenario.name,
            "seed": self.seed,
            "g": worth - sum(prices.values()),
            "whole": parts[0],
            "worst_10s": parts[1],
            "plans": plans,
            "classes": {name: books.share(kind=number) for number, name in enumerate(books.classes)},
            "prices": prices,
            "asks": books.operations,
            "tries": books.requests,
            "attempts": books.attempts,
            "handshakes": books.handshakes,
            "ends": dict(sorted(books.results.items())),
            "refused": books.by_cause(books.refused),
            "over": books.by_cause(books.over),
            "over_cost": dict(sorted(books.over_cost.items())),
            "units_sent": books.units_sent,
            "units_beyond": books.units_beyond,
            "offered": sum(books.offered.values()),
            "earned": sum(books.earned.values()),
            "lost": dict(sorted(books.lost.items())),
            "messages": books.by_cause(books.messages),
            "peer_bytes": books.peer_bytes,
            "kept": self.kept.result(),
            "leases": self.leases.renewals,
            "zones": books.zones,
            "outcomes": dict(sorted(books.outcomes.items())),
            "broken": dict(sorted(books.violation_counts.items())),
            "sums": books.check(),
            "events": self.clock.calls,
        }

    def way(self, calm: Day) -> dict[str, object]:
        """The way back from the first trouble, against the same load without troubles."""
        books, usual = self.books, calm.books
        at_us = round(min(trouble.at_s for trouble in self.scenario.troubles) * S)
        length_us = self.end_us - self.start_us

        def back(from_us: int) -> Recovery:
            return measure_recovery(books.points, usual.points, from_us, length_us)

        found = back(at_us)
        return {
            "full_s": found.full_s,
            "worst_second": found.worst_second,
            "lost": found.lost,
            "full_after_back_s": back(books.last_restart_us).full_s
            if books.last_restart_us >= at_us
            else None,
            "came_back": books.last_restart_us >= at_us,
            "left_s": (length_us - at_us) / S,
            "opened": max(books.handshakes_by_second.values(), default=0),
            "opened_calm": max(usual.handshakes_by_second.values(), default=0),
            "fallen": sum(server.has_collapsed for server in self.servers.values()),
            "beyond": books.units_beyond,
            "beyond_calm": usual.units_beyond,
            "tries_an_ask": books.requests / max(1, books.operations),
        }

    def lines(self, **more: object) -> Iterator[bytes]:
        """The run as JSON lines: what happened in each second, each server, rules broken, and the total with
        what is to be added to it."""
        books = self.books
        last = max((key[0] for key in books.offered), default=0)
        for second in range(last + 1):
            yield line(
                {
                    "kind": "second",
                    "at": second,
                    "classes": {
                        name: [
                            sum(values[key] for key in values if key[0] == second and key[1] == n)
                            for values in (books.offered, books.earned)
                        ]
                        for n, name in enumerate(books.classes)
                    },
                    "refused": {
                        cause: count for (at, cause), count in sorted(books.refused.items()) if at == second
                    },
                    "over": {
                        cause: count for (at, cause), count in sorted(books.over.items()) if at == second
                    },
                    "messages": {
                        fate: count for (at, fate), count in sorted(books.messages.items()) if at == second
                    },
                }
            )
        for server in self.servers.values():
            yield line(
                {
                    "kind": "server",
                    "name": server.name,
                    "zone": server.zone,
                    "served": server.served,
                    "busy": server.worked_us / (self.traits.cores * (self.end_us - self.start_us)),
                    "fallen": server.has_collapsed,
                }
            )
        for second, rule, where in books.violations:
            yield line({"kind": "broken", "at": second, "rule": rule, "where": where})
        for second, door, text in books.log_lines:
            yield line({"kind": "log", "at": second, "door": door, "text": text})
        yield line({**self.result(), **more})


def line(values: dict[str, object]) -> bytes:
    return msgspec.json.encode(values) + b"\n"


def calm(scenario: Scenario) -> Scenario:
    """The same load without what befalls the fleet."""
    kept = tuple(trouble for trouble in scenario.troubles if trouble.kind in LOAD_KINDS)
    return msgspec.structs.replace(scenario, troubles=kept)


def play(scenario: Scenario, seed: int) -> Day:
    """Play a scenario once."""
    day = Day(scenario, seed)
    day.play()
    return day
