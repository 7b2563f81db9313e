"""Plans: the processes of a run and the faults to inject, read from TOML and validated completely.

`[fleet]` is a scenario of the simulation (`simulation/scenario.py`): gateways, scan servers, zones,
customers, classes and quota plans. `[[faults]]` are the faults to inject; the simulation injects those for
which it has an equivalent. An unknown key, a wrong type or a value out of its range raises a
FaultInjectionError of one line that names the key.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal, get_args

import msgspec
import tomli_w

from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.scenario import (
    Amount,
    Count,
    Name,
    Range,
    Scenario,
    ScenarioFault,
    ScenarioSection,
    Share,
    StoredState,
    check,
    without_defaults,
)

# Kinds of processes, and of links between two of them; the connecting side is named first. `doors` are the
# gateways, `servers` the scan servers, `list` the registry, `follower` its read replica, and `clients` the
# load generators; the lease services have an earlier name.
ProcessKind = Literal["doors", "servers", "list", "follower", "steward", "clients"]
LinkKind = Literal[
    "clients-doors",
    "doors-servers",
    "doors-doors",
    "doors-list",
    "doors-follower",
    "doors-steward",
    "servers-list",
    "follower-list",
]
ON_PROCESSES = ("kill", "term", "pause", "full_disk", "move")
ON_SERVERS = ("bad", "errors_fast", "slow", "replace")
ON_LINKS = ("cut", "hold", "delay", "lose", "repeat", "reorder", "limit", "break")
FaultKind = Literal[
    "kill",
    "term",
    "pause",
    "full_disk",
    "move",
    "bad",
    "errors_fast",
    "slow",
    "replace",
    "burst",
    "cut",
    "hold",
    "delay",
    "lose",
    "repeat",
    "reorder",
    "limit",
    "break",
]
MAX_GATEWAYS = 200  # the largest installation of the operators; each gateway has a loopback address
MAX_LENGTH_S = 600
# Covers the longest deadline of the operators' request classes, and a drain.
TAIL_AFTER_LOAD_S = 4.0


class Fault(ScenarioSection):
    """One fault, which begins at `at_s`.

    Faults of processes hit those of kind `on`: a share `part` of them or those of `numbers`, and only those
    of zone `zone` if it is given. `kill` sends SIGKILL, `term` SIGTERM, `pause` SIGSTOP for `for_s`;
    `full_disk` makes writes fail for `for_s`. Killed and terminated processes are started again after a
    random time in the range `back_s`, with a stored state by `state`: what they stored (`kept`), nothing
    (`none`), an `old` copy (made at half of `at_s`), a `stale` snapshot (of gateways, an hour old) or a
    `damaged` one; their clock is then off by `clock_s`. `move` (of gateways) writes a new configuration that
    names only the last of the registries, and sends SIGHUP. `stagger_s` spreads the hits evenly over that
    time; `times` hits the same processes repeatedly, each time once they serve.

    Faults of scan servers: `bad` (a share `size` of the answers are errors), `errors_fast` (the same, without
    delay), `slow` (by the factor `size`), `replace` (they drain and leave over `for_s`, and cold ones, which
    have yet to warm up, join).

    Faults of links hit a share `part` of the links of kind `link`, and only those that cross the border of
    zone `zone` if it is given: `cut` (connections are reset and refused), `hold` (connections stay open and
    silent), `delay` (by `size` ms), `lose` (a share `size` of the datagrams; chunks of TCP arrive 200 ms late
    instead), `repeat` and `reorder` (of datagrams), `limit` (to `size` bytes a second), `break` (a share
    `size` of the chunks is cut in the middle, and the connection reset). `way` is the direction: `there` from
    the connecting side, `back` towards it.

    `burst`: the demand of all customers is multiplied by 1 + `size` for `for_s`.
    """

    kind: FaultKind
    at_s: Amount = 3.0
    for_s: Amount = 3.0
    on: ProcessKind = "doors"
    part: Share = 1.0
    numbers: tuple[Annotated[int, msgspec.Meta(ge=0, le=1999)], ...] = ()
    zone: Annotated[int, msgspec.Meta(ge=0, le=15)] | None = None
    back_s: Range = (0.3, 1.0)
    state: Literal["kept", "none", "old", "stale", "damaged"] = "kept"
    clock_s: Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)] = 0.0
    stagger_s: Amount = 0.0
    times: Annotated[int, msgspec.Meta(ge=1, le=20)] = 1
    link: LinkKind = "doors-servers"
    way: Literal["both", "there", "back"] = "both"
    size: Amount = 0.5


class Limits(ScenarioSection):
    """Tolerances of the checks beyond the limits of the rules; times in milliseconds.

    `drain_ms` is added to the grace period for draining servers. A share `quota_share` of the units sent,
    plus `quota_units` for each customer, may be beyond the quota of a plan whose overruns cost more than
    their worth.
    """

    drain_ms: Amount = 50.0  # the tolerance of the protocol on each time limit
    answer_ms: Amount = 500.0  # after the deadline of a request
    quota_share: Share = 0.1
    quota_units: Amount = 2.0


class Plan(ScenarioSection):
    """The real processes of a run, and the faults to inject."""

    name: Name
    fleet: Scenario
    faults: tuple[Fault, ...] = ()
    clients: Annotated[int, msgspec.Meta(ge=1, le=32)] = 1  # load generators, which share the load
    follower: bool = True  # runs a read replica of the registry, which every second gateway reads first
    lease_s: Annotated[float, msgspec.Meta(ge=1, le=600)] = 3.0
    steward: bool = False  # ceilings are divided by leases, instead of fixed shares and quota messages
    quotas: bool = False  # quotas are divided by leases as well
    stewards: Annotated[int, msgspec.Meta(ge=1, le=3)] = 1  # lease services; all but one are standbys
    further: tuple[Amount, Amount] | None = None  # leased retry budget: attempts a second, burst
    takeover: tuple[str, ...] = ()  # classes whose work items the lease service stores for a takeover
    state: bool = False  # gateways store snapshots (`state_dir`)
    limits: Limits = Limits()

    @property
    def needs_lease_service(self) -> bool:
        """Whether a lease service runs: to divide budgets, or to store work items."""
        return self.steward or bool(self.takeover)

    @property
    def without_faults(self) -> Plan:
        """The plan of the baseline run: the same load, bursts included, without any other fault."""
        return msgspec.structs.replace(
            self, faults=tuple(fault for fault in self.faults if fault.kind == "burst")
        )


def parse(data: bytes, name: str) -> Plan:
    """Decode and verify a plan in TOML.

    Raises a `FaultInjectionError` of one line that begins with `name` if the plan is invalid.
    """
    try:
        plan = msgspec.toml.decode(data, type=Plan)
        verify(plan, name)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise FaultInjectionError(f"{name}: {' '.join(str(error).split())}") from error
    except SimulationError as error:
        raise FaultInjectionError(str(error)) from error
    return plan


def verify(plan: Plan, name: str) -> None:
    """Check what the types alone cannot express; raises `FaultInjectionError` if the plan is invalid."""
    fleet = plan.fleet
    check(fleet, name)
    if fleet.troubles:
        raise FaultInjectionError(f"{name}: faults belong in [[faults]], not in fleet.troubles")
    if unknown_classes := set(plan.takeover) - {rule.name for rule in fleet.classes}:
        raise FaultInjectionError(f"{name}: takeover names an unknown class '{min(unknown_classes)}'")
    if plan.further and not (plan.steward and plan.further[0] and plan.further[1] >= 1):
        raise FaultInjectionError(
            f"{name}: further needs a rate above 0, a burst of at least 1, and steward = true"
        )
    if plan.quotas and not plan.steward:
        raise FaultInjectionError(f"{name}: quotas = true needs steward = true")
    if fleet.doors > MAX_GATEWAYS or fleet.length_s > MAX_LENGTH_S:
        raise FaultInjectionError(
            f"{name}: at most {MAX_GATEWAYS} gateways (fleet.doors) and {MAX_LENGTH_S} s (fleet.length_s)"
        )
    process_counts: dict[str, Count] = {
        "doors": fleet.doors,
        "servers": fleet.servers.count,
        "clients": plan.clients,
        "list": 1,
        "follower": int(plan.follower),
        "steward": plan.stewards if plan.needs_lease_service else 0,
    }
    for fault in plan.faults:
        if fault.at_s > fleet.length_s:
            raise FaultInjectionError(
                f"{name}: {fault.kind} begins at {fault.at_s:g} s, after the end of the load"
            )
        if fault.zone is not None and fault.zone >= fleet.net.zones:
            raise FaultInjectionError(
                f"{name}: {fault.kind} is in zone {fault.zone}, but there are only {fleet.net.zones} zones"
            )
        if fault.numbers and max(fault.numbers) >= process_counts[fault.on]:
            raise FaultInjectionError(
                f"{name}: {fault.kind} is on number {max(fault.numbers)} of {fault.on}, "
                f"but there are only {process_counts[fault.on]}, numbered from 0"
            )
        if fault.kind in ON_PROCESSES and not process_counts[fault.on]:
            raise FaultInjectionError(f"{name}: {fault.kind} is on {fault.on}, and the plan runs none")
        if fault.kind in ("lose", "repeat", "reorder", "break", "bad", "errors_fast") and fault.size > 1:
            raise FaultInjectionError(
                f"{name}: the size of {fault.kind} is a share of at most 1, not {fault.size:g}"
            )
        if fault.kind in ("repeat", "reorder") and fault.link != "doors-doors":
            raise FaultInjectionError(
                f"{name}: {fault.kind} is for datagrams, so its link is doors-doors, not {fault.link}"
            )
        if fault.state == "stale" and fault.on != "doors":
            raise FaultInjectionError(
                f"{name}: state = 'stale' is for gateways (on = 'doors'), not for {fault.on}"
            )
        if fault.clock_s and fault.on not in ("doors", "servers"):
            raise FaultInjectionError(
                f"{name}: clock_s is for gateways and scan servers (doors, servers), not for {fault.on}"
            )
        if fault.back_s[0] > fault.back_s[1]:
            raise FaultInjectionError(
                f"{name}: back_s goes from {fault.back_s[0]:g} down to {fault.back_s[1]:g}; "
                "its lower end comes first"
            )


def plan_names() -> list[str]:
    """Return the names of the plans that are part of this package."""
    return sorted(path.stem for path in PLANS_FOLDER.glob("*.toml"))


def load(name: str) -> Plan:
    """Load a plan by its name, or from a path that ends in .toml."""
    path = Path(name) if name.endswith(".toml") else PLANS_FOLDER / f"{name}.toml"
    if not name.endswith(".toml") and name not in plan_names():
        raise FaultInjectionError(
            f"there is no plan '{name}' (a .toml file, or one of {', '.join(plan_names())})"
        )
    try:
        data = path.read_bytes()
    except OSError as error:
        raise FaultInjectionError(f"{name}: {error.strerror}") from error
    return parse(data, name)


def dump(plan: Plan) -> str:
    """Return the plan as TOML without default values; `parse` returns an equal plan from it."""
    values = msgspec.to_builtins(plan)
    defaults = msgspec.to_builtins(Plan(name=plan.name, fleet=Scenario(name=plan.fleet.name)))
    output = without_defaults(values, defaults) | {"name": plan.name}
    output["fleet"] = output.get("fleet", {}) | {"name": plan.fleet.name}
    fault_defaults = msgspec.to_builtins(Fault(kind="kill"))
    output["faults"] = [
        {"kind": fault["kind"]} | without_defaults(fault, fault_defaults) for fault in values["faults"]
    ]
    return tomli_w.dumps(output)


def to_scenario(plan: Plan) -> tuple[Scenario, list[str]]:
    """Return the plan as a scenario of the simulation, and the faults for which that has no equivalent."""
    scenario_faults, missing = [], []
    for fault in plan.faults:
        scenario_fault = to_scenario_fault(fault, plan.fleet)
        if scenario_fault is None:
            missing.append(fault.kind if fault.kind not in ON_LINKS else f"{fault.kind} of {fault.link}")
        else:
            scenario_faults.append(scenario_fault)
    return msgspec.structs.replace(plan.fleet, troubles=tuple(scenario_faults), stored=plan.state), missing


def to_scenario_fault(fault: Fault, fleet: Scenario) -> ScenarioFault | None:
    """Return the equivalent fault of the simulation; None if it has none with the same meaning."""
    common = {"at_s": fault.at_s, "for_s": fault.for_s, "part": fault.part, "size": fault.size}
    is_untargeted = fault.zone is None and not fault.numbers and fault.way == "both" and fault.times == 1
    kind_and_target = (
        fault.kind,
        fault.on if fault.kind in ON_PROCESSES else fault.link if fault.kind in ON_LINKS else "",
    )
    if kind_and_target == ("cut", "doors-servers") and fault.zone is not None and fault.part == 1:
        return ScenarioFault(kind="zone_cut", zone=fault.zone, **common)
    if not is_untargeted:
        return None
    if kind_and_target == ("kill", "doors") and not fault.stagger_s and fault.state in get_args(StoredState):
        return ScenarioFault(kind="kill_doors", back_s=fault.back_s, state=fault.state, **common)
    if kind_and_target == ("term", "doors") and fault.part == 1:
        return ScenarioFault(kind="restart_doors", **common | {"for_s": fault.stagger_s})
    if kind_and_target == ("hold", "doors-servers"):
        return ScenarioFault(kind="silent", **common)
    if kind_and_target == ("lose", "doors-doors") and fault.part == 1:
        return ScenarioFault(kind="messages_lost", **common)
    if kind_and_target == ("delay", "doors-list") and not fault.part < 1:
        return ScenarioFault(kind="lists_late", **common | {"size": fault.size / 1000})
    if fault.kind in ("bad", "errors_fast", "slow", "burst"):
        return ScenarioFault(kind=fault.kind, **common)
    if fault.kind == "replace":
        return ScenarioFault(kind="release", **common)
    return None


PLANS_FOLDER = Path(__file__).resolve().parent / "plans"
