"""What the simulation's clients and scan servers need of a simulation run, for use in real processes.

These are the figures of the quota plans, the traits of the scan servers, and the load. Each process of a run
draws them for itself, with the same result for the same plan and seed.
"""

from __future__ import annotations

from typing import Any

from thistletrail.fault_injection.plan import Plan
from thistletrail.simulation.accounting import Accounting
from thistletrail.simulation.clients import Customer, Demand, PlanFigures
from thistletrail.simulation.clock import Clock, S
from thistletrail.simulation.scenario import Scenario
from thistletrail.simulation.servers import Traits
from thistletrail.simulation.streams import Stream
from thistletrail.simulation.work_takeover import Takeover

QUOTA_MESSAGES_PER_S = 40.0  # the rate that a gateway accepts, which the operators specify
# Limits of a gateway's process, as in the deployment documentation.
MEMORY_LIMIT_MB = 192
SOCKET_LIMIT = 1024
IDEMPOTENCY_SETTINGS = {True: "idempotency_key", False: "read_like"}  # by whether the class is keyed


class NoNetworkDelay:
    """The network of the simulation's clients, without a delay: real sockets add their own."""

    def to_client_us(self) -> float:
        """Return the simulated delay between a client and its gateway, in microseconds."""
        return 0.0


class SimulationContext:
    """The attributes of `SimulationRun` that the simulation's clients and scan servers use."""

    def __init__(self, scenario: Scenario, seed: int, clock: Any) -> None:  # noqa: ANN401 - simulated or real
        self.scenario, self.seed, self.clock = scenario, seed, clock
        self.start_us = clock.now
        self.end_us = self.start_us + round(scenario.length_s * S)
        self.streams = {name: Stream(seed, name) for name in ("servers", "clients", "demand", "asks", "work")}
        self.accounting = Accounting(
            tuple(rule.name for rule in scenario.classes), tuple(plan.name for plan in scenario.plans)
        )
        self.traits = Traits(scenario, self.streams["servers"])
        self.plans = [PlanFigures(plan, scenario.stretch, self.streams["demand"]) for plan in scenario.plans]
        self.network = NoNetworkDelay()
        self.gateways: list[Any] = list(range(scenario.doors))
        self.demand = Demand(self)  # type: ignore[arg-type]
        self.clients: Any = None
        self.takeover = Takeover(self)  # type: ignore[arg-type]  # unused: gateways and lease service are real

    def capacity(self) -> float:
        """Return the capacity of all scan servers, in cores of normal speed."""
        return self.scenario.servers.count * self.traits.cores * self.traits.speed

    def settings(self, number: int) -> dict[str, Any]:
        """Return the initial settings of a gateway, under their names in the protocol."""
        scenario, prices = self.scenario, self.scenario.prices
        us_per_ms = scenario.stretch * 1000  # the scenario's times are stretched
        return {
            "me": number,
            "balancers": scenario.doors,
            "zone": number % scenario.net.zones,
            "zones": [zone_name(zone) for zone in range(scenario.net.zones)],
            "kinds": ["m1"],
            "categories": [
                {
                    "name": rule.name,
                    "on-time-us": round(rule.aim_ms * us_per_ms),
                    "deadline-us": round(rule.deadline_ms * us_per_ms),
                    "points": rule.worth,
                    "late-worth": rule.late_worth,
                    "idempotency": IDEMPOTENCY_SETTINGS[rule.keyed],
                    "group": "zone" if rule.keyed else "all",
                    "window-us": round(rule.window_ms * us_per_ms),
                }
                for rule in scenario.classes
            ],
            "plans": [
                {
                    "name": plan.name,
                    "units-per-s": figures.rate,
                    "burst": figures.burst,
                    "value-factor": plan.price,
                    "extra-worth": plan.over_worth,
                    "overrun-cost": plan.over_cost,
                    "never-over-rate": figures.ceiling[0],
                    "hard-burst": figures.ceiling[1],
                    "hard-slack": figures.ceiling[2] if figures.ceiling[0] else 0.0,
                }
                for plan, figures in zip(scenario.plans, self.plans, strict=True)
            ],
            "ceilings": {
                "max-attempts": scenario.max_attempts,
                "conn-idle-us": round(scenario.servers.idle_s * S),
                "connect-timeout-us": round(scenario.net.connect_timeout_ms * 1000),
                "retry-after": True,
                "max-retry-after-us": round(scenario.clients.max_retry_after_ms * 1000),
                "may-cancel": True,
                "may-probe": True,
                "peers": True,
            },
            "extra": {"mail-per-s": QUOTA_MESSAGES_PER_S},
            "prices": {
                "cross-zone": prices.cross_zone,
                "handshake": prices.handshake,
                "waste": prices.waste,
                "late-fail": prices.late_fail,
                "peer": prices.peer,
                "probe": prices.probe,
            },
            "obligations": {
                "grace-to-answer-us": 8000,
                "ask-within-us": 10 * S,
                "cold-from": scenario.cold_from,
                "warm-within-us": round(scenario.warm_within_s * S),
                "fall-multiple": scenario.fall_multiple,
                "fall-us": round(scenario.fall_s * S),
            },
        }


def zone_name(zone: int) -> str:
    """Return the name of a zone in settings and endpoint lists."""
    return f"zone-{zone}"


class LoadEntry:
    """One entry of a load: an operation of a customer, or new weights of the gateways for its requests.

    `at_us` is the time from the start of the run. New weights are given by `cumulative`, which is None for an
    operation; `class_index` is the operation's request class.
    """

    __slots__ = ("at_us", "class_index", "cumulative", "customer", "work_us")

    def __init__(
        self,
        at_us: int,
        customer: Customer,
        class_index: int = 0,
        work_us: float = 0.0,
        cumulative: list[float] | None = None,
    ) -> None:
        self.at_us, self.customer, self.class_index = at_us, customer, class_index
        self.work_us, self.cumulative = work_us, cumulative


class Load(Demand):
    """Generates the demand of the customers in simulated time, the same for each run of a plan and seed."""

    def __init__(self, context: SimulationContext, process_number: int) -> None:
        super().__init__(context)  # type: ignore[arg-type]
        context.clients, self.entries = self, []
        self.stream = Stream(context.seed, f"demand/{process_number}")
        self.work_stream = Stream(context.seed, f"asks/{process_number}")
        # Numbers of customers, from which their names are formed: unique over all load generators.
        self.customer_numbers = iter(range((process_number << 20) + 1, (process_number + 1) << 20))
        # The same in all processes: the work of a class does not depend on the load generator.
        self.work_means_us, self.work_cvs = context.demand.work_means_us, context.demand.work_cvs

    def start_operation(
        self, customer: Customer, class_index: int | None = None, work_us: float = 0.0
    ) -> None:
        """Draw the class and work of an operation; the base class then calls this with both to add it."""
        if class_index is None:
            super().start_operation(customer)
        else:
            self.entries.append(LoadEntry(self.run.clock.now, customer, class_index, work_us))

    def shift_weights(self, customer: Customer, first: bool = True) -> None:
        """Draw a customer's weights of the gateways, except on the first call, and add them to the load."""
        super().shift_weights(customer, first)
        self.entries.append(LoadEntry(self.run.clock.now, customer, cumulative=customer.cumulative_weights))


def generate_load(plan: Plan, seed: int, process_number: int) -> list[LoadEntry]:
    """Return the load of one load generator, in order of time."""
    context = SimulationContext(plan.fleet, seed, Clock())
    load = Load(context, process_number)
    load.begin(context.capacity() / plan.clients)
    for fault in plan.faults:
        if fault.kind == "burst":
            context.clock.at(round(fault.at_s * S), load.set_load_factor, 1 + fault.size)
            context.clock.at(round((fault.at_s + fault.for_s) * S), load.set_load_factor, 1.0)
    context.clock.run(context.end_us)
    return sorted(load.entries, key=lambda entry: entry.at_us)
