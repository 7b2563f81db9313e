"""What all processes of a run draw alike from plan and seed: plans' figures, traits, and the load itself."""

from __future__ import annotations

from typing import Any

from thistletrail.fault_injection.plan import Plan
from thistletrail.simulation.books import Accounting
from thistletrail.simulation.clients import Customer, Demand, PlanFigures
from thistletrail.simulation.clock import Clock, S
from thistletrail.simulation.kept import Takeover
from thistletrail.simulation.scenario import Scenario
from thistletrail.simulation.servers import Traits
from thistletrail.simulation.streams import Stream

MESSAGES_S = 40.0  # that a door takes in (the operators' figures)
MEMORY_MB, SOCKETS = 192, 1024  # the limits of the scored days (the deployment page)
EFFECTS = {True: "idempotency_key", False: "read_like"}


class Instant:
    """The network as the model's clients see it: real sockets take their own time."""

    def to_client_us(self) -> float:
        return 0.0


class World:
    """The parts of a run that the model's customers and servers ask of their day."""

    def __init__(self, scenario: Scenario, seed: int, clock: Any) -> None:  # noqa: ANN401 - simulated or real
        self.scenario, self.seed, self.clock = scenario, seed, clock
        self.start_us = clock.now
        self.end_us = self.start_us + round(scenario.length_s * S)
        self.streams = {name: Stream(seed, name) for name in ("servers", "clients", "demand", "asks", "work")}
        self.books = Accounting(
            tuple(rule.name for rule in scenario.classes), tuple(plan.name for plan in scenario.plans)
        )
        self.traits = Traits(scenario, self.streams["servers"])
        self.plans = [PlanFigures(plan, scenario.stretch, self.streams["demand"]) for plan in scenario.plans]
        self.network = Instant()
        self.doors: list[Any] = list(range(scenario.doors))
        self.demand = Demand(self)  # type: ignore[arg-type]
        self.clients: Any = None
        self.kept = Takeover(self)  # type: ignore[arg-type] - of the model alone: here doors and steward are real

    def capacity(self) -> float:
        """Of all scan servers, in cores at the usual speed."""
        return self.scenario.servers.count * self.traits.cores * self.traits.speed

    def settings(self, number: int) -> dict[str, Any]:
        """What a front door is told at its start, by the protocol's names."""
        scenario, prices = self.scenario, self.scenario.prices
        stretch = scenario.stretch * 1000
        return {
            "me": number,
            "balancers": scenario.doors,
            "zone": number % scenario.net.zones,
            "zones": [zone_name(zone) for zone in range(scenario.net.zones)],
            "kinds": ["m1"],
            "categories": [
                {
                    "name": rule.name,
                    "on-time-us": round(rule.aim_ms * stretch),
                    "deadline-us": round(rule.deadline_ms * stretch),
                    "points": rule.worth,
                    "late-worth": rule.late_worth,
                    "idempotency": EFFECTS[rule.keyed],
                    "group": "zone" if rule.keyed else "all",
                    "window-us": round(rule.window_ms * stretch),
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
            "extra": {"mail-per-s": MESSAGES_S},
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
    """A zone by its name in settings and list."""
    return f"zone-{zone}"


class Asked:
    """One entry of a load: what a customer asks, or how its requests are spread from then on."""

    __slots__ = ("at_us", "cumulative", "customer", "kind", "work_us")

    def __init__(
        self,
        at_us: int,
        customer: Customer,
        kind: int = 0,
        work_us: float = 0.0,
        cumulative: list[float] | None = None,
    ) -> None:
        self.at_us, self.customer, self.kind = at_us, customer, kind
        self.work_us, self.cumulative = work_us, cumulative


class Load(Demand):
    """The customers, played ahead in simulated time, so that each run of a plan and seed asks the same."""

    def __init__(self, world: World, part: int) -> None:
        super().__init__(world)  # type: ignore[arg-type]
        world.clients, self.asked = self, []
        self.stream = Stream(world.seed, f"demand/{part}")
        self.work = Stream(world.seed, f"asks/{part}")
        self.names = iter(range((part << 20) + 1, (part + 1) << 20))
        # Drawn alike for all parts: a class's work does not go by who asks.
        self.means, self.cvs = world.demand.means, world.demand.cvs

    def start_operation(self, customer: Customer, kind: int | None = None, work_us: float = 0.0) -> None:
        """Called by the series of a customer, and then by itself with what was drawn."""
        if kind is None:
            super().start_operation(customer)
        else:
            self.asked.append(Asked(self.run.clock.now, customer, kind, work_us))

    def shift(self, customer: Customer, first: bool = True) -> None:
        super().shift(customer, first)
        self.asked.append(Asked(self.run.clock.now, customer, cumulative=customer.cumulative))


def load_of(plan: Plan, seed: int, part: int) -> list[Asked]:
    """What the customers of one client process ask, at times from the run's start, in microseconds."""
    world = World(plan.fleet, seed, Clock())
    load = Load(world, part)
    load.begin(world.capacity() / plan.clients)
    for fault in plan.faults:
        if fault.kind == "burst":
            world.clock.at(round(fault.at_s * S), load.set_load_factor, 1 + fault.size)
            world.clock.at(round((fault.at_s + fault.for_s) * S), load.set_load_factor, 1.0)
    world.clock.run(world.end_us)
    return sorted(load.asked, key=lambda asked: asked.at_us)
