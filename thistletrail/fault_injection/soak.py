"""Random plans: small fleets, a few faults each; one that breaks a rule is made small and kept as TOML."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from thistletrail.benchmarks.process import Tree
from thistletrail.fault_injection.checks import Violation, check
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.plan import Fault, Plan, dump, verify
from thistletrail.fault_injection.play import Say
from thistletrail.fault_injection.runs import play_once
from thistletrail.simulation.scenario import Demand, Net, Scenario, Servers

LENGTH_S = 8.0
MOST_DOORS, MOST_SERVERS, MOST_FAULTS = 6, 6, 4
LINKS = (
    "clients-doors",
    "doors-servers",
    "doors-doors",
    "doors-list",
    "doors-follower",
    "servers-list",
    "follower-list",
)
TRIES = 2  # of a smaller plan: real processes do not do the same twice
# Faults for which the rules hold in full: of the others a client or a server may see what no door can help.
KINDS = (
    "kill",
    "term",
    "pause",
    "bad",
    "errors_fast",
    "slow",
    "replace",
    "hold",
    "delay",
    "lose",
    "repeat",
    "reorder",
    "limit",
    "cut",
    "break",
    "full_disk",
)


@dataclass
class Found:
    """What a soak has come to."""

    played: int = 0
    kept: list[Path] = field(default_factory=list)


def drawn(chance: random.Random, name: str) -> Plan:
    """A plan by chance; each is one that could be written by hand."""
    fleet = Scenario(
        name=name,
        doors=chance.randint(2, MOST_DOORS),
        length_s=LENGTH_S,
        servers=Servers(count=chance.randint(2, MOST_SERVERS)),
        net=Net(zones=chance.randint(1, 2)),
        demand=Demand(load=(0.2, 0.5)),
    )
    kept = ("submit-record",) if chance.random() < 0.5 else ()
    leased = chance.random() < 0.5
    faults = tuple(draw_fault(chance, bool(kept) or leased) for _ in range(chance.randint(1, MOST_FAULTS)))
    return Plan(
        name=name,
        fleet=fleet,
        faults=faults,
        clients=chance.randint(1, 2),
        state=chance.random() < 0.5,
        takeover=kept,
        steward=leased,
        stewards=chance.randint(1, 3),
    )


def draw_fault(chance: random.Random, steward: bool) -> Fault:
    kind = chance.choice(KINDS)
    at_s, for_s = round(chance.uniform(1, 5), 2), round(chance.uniform(0.2, 2.5), 2)
    keepers = ("steward",) if steward else ()
    on = "doors"
    if kind in ("kill", "pause"):
        on = chance.choice(("doors", "doors", "servers", "list", "follower", *keepers))
    elif kind == "full_disk":
        on = chance.choice(("list", *keepers))
    links = (*LINKS, "doors-steward") if steward else LINKS
    size = {
        "delay": chance.uniform(1, 200),
        "limit": chance.uniform(2e4, 1e6),
        "slow": chance.uniform(1.5, 6),
    }.get(kind, chance.uniform(0.05, 0.6))
    return Fault(
        kind=kind,
        at_s=at_s,
        for_s=for_s,
        on=on,
        part=chance.choice((0.3, 0.5, 0.9, 1.0)),
        size=round(size, 3),
        state=chance.choice(("kept", "none", "old")) if on in ("doors", "follower") else "kept",
        link="doors-doors" if kind in ("repeat", "reorder") else chance.choice(links),
        way=chance.choice(("both", "both", "there", "back")),
        stagger_s=chance.choice((0.0, 1.0)),
    )


def smaller(plan: Plan) -> Iterator[Plan]:
    """Plans with something left out, the largest pieces first."""
    replace = msgspec.structs.replace
    for number in range(len(plan.faults)):
        yield replace(plan, faults=plan.faults[:number] + plan.faults[number + 1 :])
    fleet = plan.fleet
    if plan.clients > 1:
        yield replace(plan, clients=1)
    if plan.state:
        yield replace(plan, state=False)
    if plan.takeover:
        yield replace(plan, takeover=())
    if plan.steward:
        yield replace(plan, steward=False)
    if plan.stewards > 1:
        yield replace(plan, stewards=1)
    for doors in {2, fleet.doors // 2, fleet.doors - 1}:
        if 2 <= doors < fleet.doors:
            yield replace(plan, fleet=replace(fleet, doors=doors))
    for count in {1, fleet.servers.count // 2, fleet.servers.count - 1}:
        if 1 <= count < fleet.servers.count:
            yield replace(plan, fleet=replace(fleet, servers=replace(fleet.servers, count=count)))


def shrink(plan: Plan, breaks: Callable[[Plan], bool]) -> Plan:
    """The smallest plan found that still breaks a rule, a step at a time."""
    while True:
        for less in smaller(plan):
            try:
                verify(less, less.name)
            except FaultInjectionError:
                continue
            if breaks(less):
                plan = less
                break
        else:
            return plan


def soak(seed: int, minutes: float, tree: Tree, out: Path, say: Say, count: int | None = None) -> Found:
    """Play random plans for so long, or so many; what breaks a rule is kept in `out`."""
    chance, found, end = random.Random(seed), Found(), time.monotonic() + minutes * 60

    def broken(plan: Plan) -> list[Violation]:
        return check(play_once(plan, seed, tree, lambda text: None))

    while (found.played < count) if count is not None else (time.monotonic() < end):
        plan = drawn(chance, f"soak-{seed}-{found.played}")
        try:
            verify(plan, plan.name)
        except FaultInjectionError:
            continue  # a fault that this fleet has no place for
        violations = broken(plan)
        found.played += 1
        kinds = ", ".join(fault.kind for fault in plan.faults)
        say(f"{plan.name}: {kinds}: {len(violations)} broken")
        if not violations:
            continue
        rule = violations[0].rule
        say(f"{plan.name}: {violations[0].text}; making it small")
        small = shrink(
            plan, lambda less, rule=rule: any(one.rule == rule for _ in range(TRIES) for one in broken(less))
        )
        out.mkdir(parents=True, exist_ok=True)
        path = out / f"{plan.name}.toml"
        path.write_text(f"# {rule}: {violations[0].text}\n{dump(small)}")
        found.kept.append(path)
    return found
