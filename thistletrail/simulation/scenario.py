"""Scenarios: the description of a fleet and of the faults injected into it, read from TOML and validated.

Names of keys carry their units. Defaults come from the operators' description of the site. A pair of numbers
is a range: each run draws one value from it. An unknown key, a wrong type or a number outside its limits
raises a SimulationError whose message is one line and names the key.
"""

from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import tomli_w

from thistletrail.simulation.errors import SimulationError

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Range = tuple[Amount, Amount]
# Gateways or servers; the maximum is twice the largest fleet that the operators asked for.
Count = Annotated[int, msgspec.Meta(ge=1, le=2000)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=40, pattern="^[A-Za-z0-9._-]+$")]


class ScenarioSection(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The base of all sections of a scenario: immutable, and unknown keys are errors."""


class Servers(ScenarioSection):
    """The scan servers.

    `slots` (requests that run at once) and `queue` (requests that wait) are per core; `connections` is the
    limit of one server. `thrash` and `thrash_at` describe the loss of efficiency when a core has too many
    requests.
    """

    count: Count = 12
    cores: Annotated[int, msgspec.Meta(ge=1, le=64)] = 2
    speed: Range = (0.85, 1.1)  # mean speed; 1 is that of the work in the request classes
    speed_cv: Range = (0.044, 0.22)  # coefficient of variation between servers
    slots: Range = (2, 6)
    queue: Range = (11, 26)
    thrash: Range = (0.069, 0.27)
    thrash_at: Range = (4.1, 7.9)  # requests per core above which efficiency falls
    cold_from: Range = (0.17, 0.5)  # share of full capacity at the start of warming up
    cold_s: Range = (5.9, 15)  # time until a started server has its full capacity
    connections: Count = 1100
    full_tax: Range = (0.032, 0.14)  # share of capacity that a full connection table costs
    handshake_us: Range = (250, 1500)  # work of the server
    handshake_rtts: Range = (1, 3)  # round trips
    idle_s: Positive = 30.0  # idle time-out of a connection
    error_rate: Range = (0, 0.0005)  # share of requests answered with an error without a fault
    # Whether queued work is dropped when its client has disconnected; None: drawn for each run.
    drops_cancelled: bool | None = None
    # Whether work is dropped whose deadline passed before it began; None: drawn for each run.
    drops_expired: bool | None = None
    # Servers in a cell: a group within a zone that the endpoint list names.
    cell_size: Annotated[int, msgspec.Meta(ge=1, le=100)] = 4


class Net(ScenarioSection):
    """The network, the delays of discovery and the handling time of a gateway.

    `same_ms` and `cross_ms` are mean one-way delays within a zone and between zones, `client_ms` between a
    client and a gateway, and `peer_ms` between gateways. `list_add_s`, `list_gone_s` and `list_silent_s` are
    the times until discovery lists a started server, and until it removes one that has stopped or that is
    silent.
    """

    zones: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    same_ms: Range = (0.14, 0.28)
    cross_ms: Range = (0.42, 0.78)
    client_ms: Range = (0.3, 1.1)
    jitter: Range = (0.1, 0.31)  # mean of the random addition to a delay, as a share of it
    peer_ms: Range = (1.1, 38)
    peer_loss: Range = (0.027, 0.076)  # share of the messages between gateways
    peer_per_s: Amount = 40  # messages that a gateway accepts
    connect_timeout_ms: Positive = 250.0
    list_add_s: Range = (0.25, 2.1)
    list_gone_s: Range = (1.4, 4.2)
    list_silent_s: Range = (5.1, 13)
    list_spread_ms: Range = (120, 330)  # delay from discovery to a gateway, fixed for each gateway
    handling_us: Amount = 500.0
    way_ms: Amount = 25.0  # network delay that a gateway subtracts from a client's deadline


class Clients(ScenarioSection):
    """How clients retry requests that were not served."""

    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 3
    try_share: Range = (0.5, 1)  # client's time-out of one request, as a share of the deadline
    backoff: Literal["none", "fixed", "exp"] | None = None  # None: drawn for each run
    backoff_ms: Range = (20, 160)
    honour: Range = (0.36, 0.92)  # probability that a client follows Retry-After
    max_retry_after_ms: Amount = 2000.0
    notice_s: Range = (1.4, 3.3)  # until the load balancer detects that a gateway is down


class Class(ScenarioSection):
    """A request class.

    `work_ms` is the mean work in milliseconds of one core at the usual speed, and `cv` its coefficient of
    variation. `worth` is the value within the latency objective `aim_ms`, `late_worth` the share of it after
    that.
    """

    name: Name
    share: Positive
    work_ms: Range
    cv: Range
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive
    late_worth: Share = 0.0
    keyed: bool = False  # True: idempotent by key; False: always idempotent
    window_ms: Positive = 4000.0


class Plan(ScenarioSection):
    """A plan: its share of the use inside quotas, its quota, and the value and cost of units beyond it.

    `price` is the factor on the value of its requests. `over_worth` and `over_cost` are the value and the
    cost of a unit beyond the quota, as factors on the value of its request. `spread` is the share of the
    gateways that serve a customer. `ceiling` is the multiple of the burst and of the rate that a customer may
    never exceed; None: no ceiling.
    """

    name: Name
    share: Positive
    rate: Range
    burst_s: Range
    price: Positive
    over_worth: Share = 0.0
    over_cost: Amount = 0.0
    spread: Range = (0.5, 1)
    ceiling: Range | None = None


class Demand(ScenarioSection):
    """The demand of customers.

    `load` is the demand inside the quotas, as a share of the capacity of all servers. `full`, `heavy` and
    `spiky` are the shares of customers that use about their whole quota, several times their quota, and
    bursts (`spike_*`); the others are calm. `calm_use`, `heavy_x` and `spike_x` are rates as multiples of the
    quota. `skew` is how unevenly a customer uses its gateways, and `shift_s` the time until it changes their
    weights.
    """

    load: Range = (0.42, 0.64)
    calm_use: Range = (0.22, 0.41)
    full: Range = (0.083, 0.24)
    heavy: Range = (0.069, 0.13)
    heavy_x: Range = (2.1, 5)
    spiky: Range = (0.1, 0.22)
    spike_x: Range = (3.2, 7.9)
    spike_s: Range = (0.55, 4)
    spike_every_s: Range = (11, 24)
    swing: Range = (0.077, 0.2)  # amplitude of a sine over the run, as a share of the load
    skew: Range = (0.26, 0.97)
    shift_s: Range = (6.6, 23)
    elsewhere: Range = (0.067, 0.76)  # probability that a retry goes to another gateway


class Prices(ScenarioSection):
    """The prices deducted from the score, each multiplied by a share or a rate of the run."""

    cross_zone: Amount = 0.01
    waste: Amount = 0.05
    handshake: Amount = 0.0
    peer: Amount = 0.03
    late_fail: Amount = 0.05
    probe: Amount = 0.01


FaultKind = Literal[
    "burst",
    "kill_doors",
    "restart_doors",
    "release",
    "zone_loss",
    "zone_cut",
    "silent",
    "bad",
    "slow",
    "messages_lost",
    "lists_late",
    "hot_customers",
    "one_shots",
    "drop_answers",
    "errors_fast",
    "shrink",
]


StoredState = Literal["kept", "none", "stale"]


class ScenarioFault(ScenarioSection):
    """A fault that is injected at `at_s` and lasts for `for_s`; an entry of `troubles`.

    `part` is the share of gateways or servers that are affected, `size` the strength (a factor, or a share of
    the usual load) and `zone` the affected zone, for the kinds that affect one. `back_s` is the time until
    killed gateways are back. `state` says whether they then find their snapshot (`kept`), none, or an old one
    (`stale`).
    """

    kind: FaultKind
    at_s: Amount = 5.0
    for_s: Amount = 5.0
    part: Share = 0.3
    size: Amount = 0.5
    zone: Annotated[int, msgspec.Meta(ge=0, le=15)] = 0
    back_s: Range = (1.1, 5.6)
    state: StoredState = "kept"


CLASSES = (
    Class(
        name="view-sheet", share=0.56, work_ms=(44, 77), cv=(0.64, 1.2), aim_ms=400, deadline_ms=2000, worth=3
    ),
    Class(
        name="submit-record",
        share=0.44,
        work_ms=(65, 120),
        cv=(0.56, 1.4),
        aim_ms=750,
        deadline_ms=2000,
        worth=9,
        late_worth=0.2,
        keyed=True,
        window_ms=4000,
    ),
)
PLANS = (
    Plan(name="basic", share=0.2, rate=(0.65, 1.1), burst_s=(3.1, 6), price=0.88, over_worth=0.3),
    Plan(name="standard", share=0.43, rate=(3.2, 5.6), burst_s=(1.2, 2.5), price=1.1, over_cost=0.6),
    Plan(
        name="institution",
        share=0.37,
        rate=(13, 22),
        burst_s=(1.3, 2.9),
        price=1.6,
        over_cost=1.0,
        ceiling=(1.7, 2.5),
    ),
)


class Scenario(ScenarioSection):
    """A fleet, its demand and the faults injected into it."""

    name: Name
    doors: Count = 3
    length_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 25.0
    stretch: Positive = 1.0  # multiplies work, latency objectives and deadlines
    # The rule on servers that are warming up, which gateways get with their settings: such a server starts
    # with the share `cold_from` of its capacity, has all of it after `warm_within_s`, and collapses under
    # more work than `fall_multiple` times its present capacity over `fall_s`.
    cold_from: Share = 0.17
    warm_within_s: Positive = 15.0
    fall_multiple: Positive = 2.5
    fall_s: Positive = 2.0
    drain_grace_ms: Positive = 250.0  # time in which gateways may still send to a server that drains
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 5
    leased: bool = False  # ceilings are divided by the lease service, not by fixed shares and quota messages
    leased_quotas: bool = False  # the lease service divides quotas as well
    stored: bool = False  # gateways store a snapshot about every second, for their next start
    takeover: bool = False  # keyed requests in flight are recorded as work items that survive their gateway
    servers: Servers = Servers()
    net: Net = Net()
    clients: Clients = Clients()
    demand: Demand = Demand()
    prices: Prices = Prices()
    classes: tuple[Class, ...] = CLASSES
    plans: tuple[Plan, ...] = PLANS
    troubles: tuple[ScenarioFault, ...] = ()


def parse(data: bytes, name: str) -> Scenario:
    """Return the scenario that a TOML document describes.

    Raises:
        SimulationError: the scenario is invalid; the message is one line that begins with `name`.
    """
    try:
        scenario = msgspec.toml.decode(data, type=Scenario)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SimulationError(f"{name}: {' '.join(str(error).split())}") from error
    check(scenario, name)
    return scenario


def check(scenario: Scenario, name: str) -> None:
    """Raise a SimulationError if the scenario breaks a rule that the types of its fields cannot express."""
    if not scenario.classes or not scenario.plans:
        raise SimulationError(f"{name}: at least one class and one plan are required")
    for key, sections in (("classes", scenario.classes), ("plans", scenario.plans)):
        if len({section.name for section in sections}) < len(sections):
            raise SimulationError(f"{name}: two of the {key} have the same name")
    for section in (
        scenario,
        scenario.servers,
        scenario.net,
        scenario.clients,
        scenario.demand,
        *scenario.classes,
        *scenario.plans,
        *scenario.troubles,
    ):
        for key in section.__struct_fields__:
            value = getattr(section, key)
            if not isinstance(value, tuple) or not all(type(number) in (int, float) for number in value):
                continue
            if value and value[0] > value[1]:
                raise SimulationError(f"{name}: {key} goes from {value[0]:g} down to {value[1]:g}")
    for fault in scenario.troubles:
        if fault.zone >= scenario.net.zones:
            raise SimulationError(
                f"{name}: {fault.kind} affects zone {fault.zone} of {scenario.net.zones} (counted from 0)"
            )
        if fault.at_s > scenario.length_s:
            raise SimulationError(f"{name}: {fault.kind} begins after the end of the run")


def bundled_scenario_names() -> list[str]:
    """Return the names of the scenarios that come with the package."""
    folder = resources.files("thistletrail.simulation") / "scenarios"
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


def load(name: str) -> Scenario:
    """Return a bundled scenario by its name, or the one in a .toml file.

    Raises:
        SimulationError: there is no such scenario, or its file cannot be read or is invalid.
    """
    bundled = bundled_scenario_names()
    if name in bundled:
        return parse(
            (resources.files("thistletrail.simulation") / "scenarios" / f"{name}.toml").read_bytes(), name
        )
    if not name.endswith(".toml"):
        raise SimulationError(f"there is no scenario '{name}' (a .toml file, or one of {', '.join(bundled)})")
    try:
        data = Path(name).read_bytes()
    except OSError as error:
        raise SimulationError(f"{name}: cannot be read: {error.strerror}") from error
    return parse(data, name)


def dump(scenario: Scenario) -> str:
    """Return the scenario as TOML without the keys at their defaults; `parse` returns an equal scenario."""
    values = msgspec.to_builtins(scenario)
    defaults = msgspec.to_builtins(Scenario(name=scenario.name))
    return tomli_w.dumps(without_defaults(values, defaults) | {"name": scenario.name})


def without_defaults(values: dict, defaults: dict) -> dict:
    """Return the values that differ from their defaults and are not None, also within sections."""
    changed = {}
    for key, value in values.items():
        default = defaults.get(key)
        if value == default or value is None:
            continue
        if isinstance(value, dict) and isinstance(default, dict):
            value = without_defaults(value, default)
        elif key == "troubles":
            fault_defaults = msgspec.to_builtins(ScenarioFault(kind="burst"))
            value = [{"kind": fault["kind"]} | without_defaults(fault, fault_defaults) for fault in value]
        elif isinstance(value, list | tuple):
            value = [
                {name: field for name, field in entry.items() if field is not None}
                if isinstance(entry, dict)
                else entry
                for entry in value
            ]
        changed[key] = value
    return changed
