"""Soak test: random plans of small fleets with a few faults; one that breaks a rule is shrunk and stored."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from thistletrail.benchmarks.process import GatewaySourceTree
from thistletrail.fault_injection.checks import Violation, check
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.plan import Fault, Plan, dump, verify
from thistletrail.fault_injection.play import ProgressCallback
from thistletrail.fault_injection.runs import play_once
from thistletrail.simulation.scenario import Demand, Net, Scenario, Servers

LOAD_LENGTH_S = 8.0
MAX_GATEWAYS, MAX_SCAN_SERVERS, MAX_FAULTS = 6, 6, 4
DRAWN_LINKS = (
    "clients-doors",
    "doors-servers",
    "doors-doors",
    "doors-list",
    "doors-follower",
    "servers-list",
    "follower-list",
)
SHRINK_ATTEMPTS = 2  # runs of each smaller plan, as runs of real processes are not deterministic
# Kinds of faults under which all rules hold. Under others, clients or scan servers may observe violations
# that no gateway can prevent.
DRAWN_FAULT_KINDS = (
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
class SoakResult:
    """The number of plans played, and the files of the plans that broke a rule."""

    played: int = 0
    stored: list[Path] = field(default_factory=list)


def draw_plan(rng: random.Random, name: str) -> Plan:
    """Draw a random plan; `verify` may still reject it if a fault does not apply to its processes."""
    fleet = Scenario(
        name=name,
        doors=rng.randint(2, MAX_GATEWAYS),
        length_s=LOAD_LENGTH_S,
        servers=Servers(count=rng.randint(2, MAX_SCAN_SERVERS)),
        net=Net(zones=rng.randint(1, 2)),
        demand=Demand(load=(0.2, 0.5)),
    )
    recorded_classes = ("submit-record",) if rng.random() < 0.5 else ()
    has_budget_leases = rng.random() < 0.5
    faults = tuple(
        draw_fault(rng, bool(recorded_classes) or has_budget_leases)
        for _ in range(rng.randint(1, MAX_FAULTS))
    )
    return Plan(
        name=name,
        fleet=fleet,
        faults=faults,
        clients=rng.randint(1, 2),
        state=rng.random() < 0.5,
        takeover=recorded_classes,
        steward=has_budget_leases,
        stewards=rng.randint(1, 3),
    )


def draw_fault(rng: random.Random, has_lease_service: bool) -> Fault:
    """Draw a random fault; on a lease service and its links only if the plan runs one."""
    kind = rng.choice(DRAWN_FAULT_KINDS)
    at_s, for_s = round(rng.uniform(1, 5), 2), round(rng.uniform(0.2, 2.5), 2)
    lease_services = ("steward",) if has_lease_service else ()
    target = "doors"
    if kind in ("kill", "pause"):
        target = rng.choice(("doors", "doors", "servers", "list", "follower", *lease_services))
    elif kind == "full_disk":
        target = rng.choice(("list", *lease_services))
    links = (*DRAWN_LINKS, "doors-steward") if has_lease_service else DRAWN_LINKS
    size = {"delay": rng.uniform(1, 200), "limit": rng.uniform(2e4, 1e6), "slow": rng.uniform(1.5, 6)}.get(
        kind, rng.uniform(0.05, 0.6)
    )
    return Fault(
        kind=kind,
        at_s=at_s,
        for_s=for_s,
        on=target,
        part=rng.choice((0.3, 0.5, 0.9, 1.0)),
        size=round(size, 3),
        state=rng.choice(("kept", "none", "old")) if target in ("doors", "follower") else "kept",
        link="doors-doors" if kind in ("repeat", "reorder") else rng.choice(links),
        way=rng.choice(("both", "both", "there", "back")),
        stagger_s=rng.choice((0.0, 1.0)),
    )


def smaller_plans(plan: Plan) -> Iterator[Plan]:
    """Yield plans in which one fault, feature or process is left out, faults first."""
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
    for gateway_count in {2, fleet.doors // 2, fleet.doors - 1}:
        if 2 <= gateway_count < fleet.doors:
            yield replace(plan, fleet=replace(fleet, doors=gateway_count))
    for count in {1, fleet.servers.count // 2, fleet.servers.count - 1}:
        if 1 <= count < fleet.servers.count:
            yield replace(plan, fleet=replace(fleet, servers=replace(fleet.servers, count=count)))


def shrink(plan: Plan, breaks_rule: Callable[[Plan], bool]) -> Plan:
    """Shrink a plan step by step while it still breaks a rule; return the smallest plan found."""
    while True:
        for candidate in smaller_plans(plan):
            try:
                verify(candidate, candidate.name)
            except FaultInjectionError:
                continue
            if breaks_rule(candidate):
                plan = candidate
                break
        else:
            return plan


def soak(
    seed: int,
    minutes: float,
    tree: GatewaySourceTree,
    out: Path,
    report_progress: ProgressCallback,
    count: int | None = None,
) -> SoakResult:
    """Play `count` random plans, or as many as start within `minutes` if it is None.

    Each plan that breaks a rule is shrunk and stored in `out`.
    """
    rng, result, end_s = random.Random(seed), SoakResult(), time.monotonic() + minutes * 60

    def play_and_check(plan: Plan) -> list[Violation]:
        return check(play_once(plan, seed, tree, lambda text: None))

    while (result.played < count) if count is not None else (time.monotonic() < end_s):
        plan = draw_plan(rng, f"soak-{seed}-{result.played}")
        try:
            verify(plan, plan.name)
        except FaultInjectionError:
            continue  # a drawn fault does not apply to the processes of this plan
        violations = play_and_check(plan)
        result.played += 1
        kinds = ", ".join(fault.kind for fault in plan.faults)
        report_progress(f"{plan.name}: {kinds}: {len(violations)} violations")
        if not violations:
            continue
        rule = violations[0].rule
        report_progress(f"{plan.name}: {violations[0].text}; shrinking the plan")
        smallest = shrink(
            plan,
            lambda candidate, rule=rule: any(
                violation.rule == rule
                for _ in range(SHRINK_ATTEMPTS)
                for violation in play_and_check(candidate)
            ),
        )
        out.mkdir(parents=True, exist_ok=True)
        path = out / f"{plan.name}.toml"
        path.write_text(f"# {rule}: {violations[0].text}\n{dump(smallest)}")
        result.stored.append(path)
    return result
