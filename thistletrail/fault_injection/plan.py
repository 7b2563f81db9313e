"""Plans: a fleet, and the faults between and on its processes, read from TOML and checked in full.

`[fleet]` is a scenario of the simulation's (`simulation/scenario.py`): doors, servers, zones, customers,
classes, plans of quota. What befalls it stands in `[[faults]]`, which the simulation plays too where it has
the like. An unknown key, a wrong type or a figure out of its range is a FaultInjectionError of
one line that names the key.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal, get_args

import msgspec
import tomli_w

from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.simulation.errors import ModelError
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

# Kinds of process, and of link: between two kinds of process, the one that connects first.
Who = Literal["doors", "servers", "list", "follower", "steward", "clients"]
Link = Literal[
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
Kind = Literal[
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
MOST_DOORS = 200  # a loopback address for each; the largest fleet of the operators
MOST_LENGTH_S = 600
TAIL_S = 4.0  # after the last ask: the longest deadline of the operators' classes, and a drain


class Fault(ScenarioSection):
    """One fault, from `at_s` on.

    On processes (`on`, a `part` of them or those of `numbers`, of one zone where `zone` says so): `kill`
    (SIGKILL), `term` (SIGTERM), `pause` (SIGSTOP for `for_s`), `full_disk` for `for_s`. Killed and ended ones
    are started again after a time from `back_s`, with `state`: what they stored (`kept`), nothing (`none`),
    an `old` copy (half of the time up to the fault old), a `stale` snapshot (of doors, an hour old), or a
    `damaged` one; their clock is then `clock_s` off. `move` (doors): a new configuration and SIGHUP, with the
    other list service alone. `stagger_s` spreads the strikes evenly over that time;
    `times` strikes the same ones again, each time once they serve.
    On scan servers: `bad` (a `size` of answers are errors), `errors_fast` (at once), `slow` (`size` times),
    `replace` (they drain and leave over `for_s`, cold ones come).
    On links (`link`, a `part` of them, those that leave zone `zone`): `cut` (reset, and refused), `hold`
    (open and silent), `delay` (`size` ms), `lose` (a share `size` of the datagrams; of TCP's chunks, 200 ms
    late), `repeat` and `reorder` (of datagrams), `limit` (`size` bytes a second), `break` (a share `size` of
    chunks is cut in the middle, with the connection); `way` is from the connecting side `there`, from the
    other `back`.
    `burst`: all customers ask 1 + `size` times as much.
    """

    kind: Kind
    at_s: Amount = 3.0
    for_s: Amount = 3.0
    on: Who = "doors"
    part: Share = 1.0
    numbers: tuple[Annotated[int, msgspec.Meta(ge=0, le=1999)], ...] = ()
    zone: Annotated[int, msgspec.Meta(ge=0, le=15)] | None = None
    back_s: Range = (0.3, 1.0)
    state: Literal["kept", "none", "old", "stale", "damaged"] = "kept"
    clock_s: Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)] = 0.0
    stagger_s: Amount = 0.0
    times: Annotated[int, msgspec.Meta(ge=1, le=20)] = 1
    link: Link = "doors-servers"
    way: Literal["both", "there", "back"] = "both"
    size: Amount = 0.5


class Limits(ScenarioSection):
    """What the checks allow beyond the rules' own figures; times in milliseconds.

    `drain_ms` is past the grace of the rule on draining servers; `quota_share` of the units sent, and
    `quota_units` for each customer, may be beyond the quota of a plan that an overrun costs.
    """

    drain_ms: Amount = 50.0  # the protocol page's, on each time limit
    answer_ms: Amount = 500.0  # past a request's time (the page on the whole fleet)
    quota_share: Share = 0.1
    quota_units: Amount = 2.0


class Plan(ScenarioSection):
    """A fleet of real processes and what befalls it."""

    name: Name
    fleet: Scenario
    faults: tuple[Fault, ...] = ()
    clients: Annotated[int, msgspec.Meta(ge=1, le=32)] = 1  # processes
    follower: bool = True  # a second list service, which every other door reads
    lease_s: Annotated[float, msgspec.Meta(ge=1, le=600)] = 3.0
    steward: bool = False  # ceilings are divided by leases; else by fixed parts and words
    quotas: bool = False  # quotas by leases too
    stewards: Annotated[int, msgspec.Meta(ge=1, le=3)] = 1  # processes: one serves, others stand by
    further: tuple[Amount, Amount] | None = None  # attempts of all doors, a second and at once, by leases
    takeover: tuple[str, ...] = ()  # classes of which work in hand is kept by a steward, for another door
    state: bool = False  # doors keep a snapshot (`state_dir`)
    limits: Limits = Limits()

    @property
    def has_steward(self) -> bool:
        return self.steward or bool(self.takeover)

    @property
    def calm(self) -> Plan:
        """The same load without a fault."""
        return msgspec.structs.replace(self, faults=tuple(f for f in self.faults if f.kind == "burst"))


def parse(data: bytes, name: str) -> Plan:
    """A plan from TOML; what is wrong with it is one line, a FaultInjectionError, that begins with `name`."""
    try:
        plan = msgspec.toml.decode(data, type=Plan)
        verify(plan, name)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise FaultInjectionError(f"{name}: {' '.join(str(error).split())}") from error
    except ModelError as error:
        raise FaultInjectionError(str(error)) from error
    return plan


def verify(plan: Plan, name: str) -> None:
    """What types alone cannot tell."""
    fleet = plan.fleet
    check(fleet, name)
    if fleet.troubles:
        raise FaultInjectionError(f"{name}: what befalls the fleet stands in faults, not in fleet.troubles")
    if strange := set(plan.takeover) - {rule.name for rule in fleet.classes}:
        raise FaultInjectionError(f"{name}: takeover names a class '{min(strange)}' that is none")
    if plan.further and not (plan.steward and plan.further[0] and plan.further[1] >= 1):
        raise FaultInjectionError(
            f"{name}: further takes a rate and a burst, and a steward that divides budgets"
        )
    if plan.quotas and not plan.steward:
        raise FaultInjectionError(f"{name}: quotas by leases take a steward that divides budgets")
    if fleet.doors > MOST_DOORS or fleet.length_s > MOST_LENGTH_S:
        raise FaultInjectionError(f"{name}: at most {MOST_DOORS} doors for {MOST_LENGTH_S} s")
    counts: dict[str, Count] = {
        "doors": fleet.doors,
        "servers": fleet.servers.count,
        "clients": plan.clients,
        "list": 1,
        "follower": int(plan.follower),
        "steward": plan.stewards if plan.has_steward else 0,
    }
    for fault in plan.faults:
        if fault.at_s > fleet.length_s:
            raise FaultInjectionError(f"{name}: {fault.kind} begins after the end")
        if fault.zone is not None and fault.zone >= fleet.net.zones:
            raise FaultInjectionError(f"{name}: {fault.kind} strikes zone {fault.zone} of {fleet.net.zones}")
        if fault.numbers and max(fault.numbers) >= counts[fault.on]:
            raise FaultInjectionError(
                f"{name}: {fault.kind} strikes {fault.on} {max(fault.numbers)} of {counts[fault.on]}"
            )
        if fault.kind in ON_PROCESSES and not counts[fault.on]:
            raise FaultInjectionError(f"{name}: {fault.kind} strikes the {fault.on}, and there is none")
        if fault.kind in ("lose", "repeat", "reorder", "break", "bad", "errors_fast") and fault.size > 1:
            raise FaultInjectionError(f"{name}: the size of {fault.kind} is a share, not {fault.size:g}")
        if fault.kind in ("repeat", "reorder") and fault.link != "doors-doors":
            raise FaultInjectionError(f"{name}: {fault.kind} is for datagrams, on the link doors-doors")
        if fault.state == "stale" and fault.on != "doors":
            raise FaultInjectionError(f"{name}: a stale snapshot is for doors, not for the {fault.on}")
        if fault.clock_s and fault.on not in ("doors", "servers"):
            raise FaultInjectionError(f"{name}: clock_s is for doors and servers, not for the {fault.on}")
        if fault.back_s[0] > fault.back_s[1]:
            raise FaultInjectionError(
                f"{name}: back_s goes from {fault.back_s[0]:g} down to {fault.back_s[1]:g}"
            )


def known() -> list[str]:
    """The names of the plans that come with fault injection."""
    return sorted(path.stem for path in PLANS.glob("*.toml"))


def load(name: str) -> Plan:
    """A plan by its name, or from a file."""
    path = Path(name) if name.endswith(".toml") else PLANS / f"{name}.toml"
    if not name.endswith(".toml") and name not in known():
        raise FaultInjectionError(f"there is no plan '{name}' (a .toml file, or one of {', '.join(known())})")
    try:
        data = path.read_bytes()
    except OSError as error:
        raise FaultInjectionError(f"{name}: {error.strerror}") from error
    return parse(data, name)


def dump(plan: Plan) -> str:
    """The plan as TOML, without what is left at its default; `parse` gives the same one back."""
    values = msgspec.to_builtins(plan)
    usual = msgspec.to_builtins(Plan(name=plan.name, fleet=Scenario(name=plan.fleet.name)))
    kept = without_defaults(values, usual) | {"name": plan.name}
    kept["fleet"] = kept.get("fleet", {}) | {"name": plan.fleet.name}
    plain = msgspec.to_builtins(Fault(kind="kill"))
    kept["faults"] = [{"kind": one["kind"]} | without_defaults(one, plain) for one in values["faults"]]
    return tomli_w.dumps(kept)


def as_scenario(plan: Plan) -> tuple[Scenario, list[str]]:
    """The plan as the model plays it, and the faults that the model has not."""
    troubles, missing = [], []
    for fault in plan.faults:
        trouble = as_trouble(fault, plan.fleet)
        if trouble is None:
            missing.append(fault.kind if fault.kind not in ON_LINKS else f"{fault.kind} of {fault.link}")
        else:
            troubles.append(trouble)
    return msgspec.structs.replace(plan.fleet, troubles=tuple(troubles), stored=plan.state), missing


def as_trouble(fault: Fault, fleet: Scenario) -> ScenarioFault | None:
    """One fault as a trouble of the model's; None where it has none that means the same."""
    common = {"at_s": fault.at_s, "for_s": fault.for_s, "part": fault.part, "size": fault.size}
    everywhere = fault.zone is None and not fault.numbers and fault.way == "both" and fault.times == 1
    on = fault.kind, fault.on if fault.kind in ON_PROCESSES else fault.link if fault.kind in ON_LINKS else ""
    if on == ("cut", "doors-servers") and fault.zone is not None and fault.part == 1:
        return ScenarioFault(kind="zone_cut", zone=fault.zone, **common)
    if not everywhere:
        return None
    if on == ("kill", "doors") and not fault.stagger_s and fault.state in get_args(StoredState):
        return ScenarioFault(kind="kill_doors", back_s=fault.back_s, state=fault.state, **common)
    if on == ("term", "doors") and fault.part == 1:
        return ScenarioFault(kind="restart_doors", **common | {"for_s": fault.stagger_s})
    if on == ("hold", "doors-servers"):
        return ScenarioFault(kind="silent", **common)
    if on == ("lose", "doors-doors") and fault.part == 1:
        return ScenarioFault(kind="messages_lost", **common)
    if on == ("delay", "doors-list") and not fault.part < 1:
        return ScenarioFault(kind="lists_late", **common | {"size": fault.size / 1000})
    if fault.kind in ("bad", "errors_fast", "slow", "burst"):
        return ScenarioFault(kind=fault.kind, **common)
    if fault.kind == "replace":
        return ScenarioFault(kind="release", **common)
    return None


PLANS = Path(__file__).resolve().parent / "plans"
