"""Scenarios: what a fleet is like and what befalls it, read from TOML and checked in full.

Every key has its unit in its name and a default that comes from the operators' pages (the site's ranges);
a pair is a range from which a run draws once. An unknown key, a wrong type or a figure out of its range is
a ModelError of one line that names the key.
"""

from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import tomli_w

from thistletrail.simulation.errors import ModelError

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Range = tuple[Amount, Amount]
Count = Annotated[int, msgspec.Meta(ge=1, le=2000)]  # doors and servers: twice the largest fleet asked for
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=40, pattern="^[A-Za-z0-9._-]+$")]


class Part(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A part of a scenario."""


class Servers(Part):
    """The scan servers. `connections` is how many one holds; `slots` and `queue` are for a core."""

    count: Count = 12
    cores: Annotated[int, msgspec.Meta(ge=1, le=64)] = 2
    speed: Range = (0.85, 1.1)
    speed_cv: Range = (0.044, 0.22)
    slots: Range = (2, 6)
    queue: Range = (11, 26)
    thrash: Range = (0.069, 0.27)
    thrash_at: Range = (4.1, 7.9)
    cold_from: Range = (0.17, 0.5)
    cold_s: Range = (5.9, 15)
    connections: Count = 1100
    full_tax: Range = (0.032, 0.14)
    handshake_us: Range = (250, 1500)
    handshake_rtts: Range = (1, 3)
    idle_s: Positive = 30.0
    error_rate: Range = (0, 0.0005)
    drops_cancelled: bool | None = None  # waiting work whose client has gone; none: drawn for each run
    drops_expired: bool | None = None  # work whose time has passed before it began
    cell_size: Annotated[int, msgspec.Meta(ge=1, le=100)] = 4


class Net(Part):
    """The network, discovery and what a front door's own handling takes."""

    zones: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    same_ms: Range = (0.14, 0.28)
    cross_ms: Range = (0.42, 0.78)
    client_ms: Range = (0.3, 1.1)
    jitter: Range = (0.1, 0.31)
    peer_ms: Range = (1.1, 38)
    peer_loss: Range = (0.027, 0.076)
    peer_per_s: Amount = 40
    connect_timeout_ms: Positive = 250.0
    list_add_s: Range = (0.25, 2.1)
    list_gone_s: Range = (1.4, 4.2)
    list_silent_s: Range = (5.1, 13)
    list_spread_ms: Range = (120, 330)
    handling_us: Amount = 500.0
    way_ms: Amount = 25.0  # that a front door takes off a client's time for the way


class Clients(Part):
    """What clients do when they are not served."""

    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 3
    try_share: Range = (0.5, 1)
    backoff: Literal["none", "fixed", "exp"] | None = None  # none given: drawn for each run
    backoff_ms: Range = (20, 160)
    honour: Range = (0.36, 0.92)
    max_retry_after_ms: Amount = 2000.0
    notice_s: Range = (1.4, 3.3)


class Class(Part):
    """A class of requests; work in milliseconds of one core at the usual speed."""

    name: Name
    share: Positive
    work_ms: Range
    cv: Range
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive
    late_worth: Share = 0.0
    keyed: bool = False  # else it is safe to repeat
    window_ms: Positive = 4000.0


class Plan(Part):
    """A plan: `share` of the use inside quotas, its quota, what going beyond it earns and costs."""

    name: Name
    share: Positive
    rate: Range
    burst_s: Range
    price: Positive
    over_worth: Share = 0.0
    over_cost: Amount = 0.0
    spread: Range = (0.5, 1)
    ceiling: Range | None = None


class Demand(Part):
    """What customers ask: `load` is that inside quotas, as a share of what the servers can do."""

    load: Range = (0.42, 0.64)
    calm_use: Range = (0.22, 0.41)
    full: Range = (0.083, 0.24)
    heavy: Range = (0.069, 0.13)
    heavy_x: Range = (2.1, 5)
    spiky: Range = (0.1, 0.22)
    spike_x: Range = (3.2, 7.9)
    spike_s: Range = (0.55, 4)
    spike_every_s: Range = (11, 24)
    swing: Range = (0.077, 0.2)
    skew: Range = (0.26, 0.97)
    shift_s: Range = (6.6, 23)
    elsewhere: Range = (0.067, 0.76)


class Prices(Part):
    """Taken off the result, each for its share or rate."""

    cross_zone: Amount = 0.01
    waste: Amount = 0.05
    handshake: Amount = 0.0
    peer: Amount = 0.03
    late_fail: Amount = 0.05
    probe: Amount = 0.01


Kind = Literal[
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


Stored = Literal["kept", "none", "stale"]


class Trouble(Part):
    """What befalls the fleet, from `at_s` on for `for_s`.

    `part` is the share of doors or servers struck, `size` the strength (a factor or a share of the usual
    load), `zone` the zone, where the kind strikes one. `back_s` is how long killed doors are away, `state`
    what they find of what they stored, where doors store anything.
    """

    kind: Kind
    at_s: Amount = 5.0
    for_s: Amount = 5.0
    part: Share = 0.3
    size: Amount = 0.5
    zone: Annotated[int, msgspec.Meta(ge=0, le=15)] = 0
    back_s: Range = (1.1, 5.6)
    state: Stored = "kept"


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


class Scenario(Part):
    """A fleet and its day."""

    name: Name
    doors: Count = 3
    length_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 25.0
    stretch: Positive = 1.0  # of work, aims and deadlines
    cold_from: Share = 0.17  # the figures of the rule on cold servers, as the settings tell them
    warm_within_s: Positive = 15.0
    fall_multiple: Positive = 2.5
    fall_s: Positive = 2.0
    drain_grace_ms: Positive = 250.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 5
    leased: bool = False  # ceilings are divided by a steward's leases, not by fixed parts and words
    leased_quotas: bool = False  # quotas too
    stored: bool = False  # doors store what they know about every second, for their next start
    takeover: bool = False  # keyed work in hand is kept by a steward, and outlives its door
    servers: Servers = Servers()
    net: Net = Net()
    clients: Clients = Clients()
    demand: Demand = Demand()
    prices: Prices = Prices()
    classes: tuple[Class, ...] = CLASSES
    plans: tuple[Plan, ...] = PLANS
    troubles: tuple[Trouble, ...] = ()


def parse(data: bytes, name: str) -> Scenario:
    """A scenario from TOML; what is wrong with it is a ModelError of one line that begins with `name`."""
    try:
        scenario = msgspec.toml.decode(data, type=Scenario)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ModelError(f"{name}: {' '.join(str(error).split())}") from error
    check(scenario, name)
    return scenario


def check(scenario: Scenario, name: str) -> None:
    """What types alone cannot tell."""
    if not scenario.classes or not scenario.plans:
        raise ModelError(f"{name}: there has to be a class and a plan")
    for what, parts in (("classes", scenario.classes), ("plans", scenario.plans)):
        if len({part.name for part in parts}) < len(parts):
            raise ModelError(f"{name}: {what} have the same name twice")
    for part in (
        scenario,
        scenario.servers,
        scenario.net,
        scenario.clients,
        scenario.demand,
        *scenario.classes,
        *scenario.plans,
        *scenario.troubles,
    ):
        for key in part.__struct_fields__:
            value = getattr(part, key)
            if not isinstance(value, tuple) or not all(type(one) in (int, float) for one in value):
                continue
            if value and value[0] > value[1]:
                raise ModelError(f"{name}: {key} goes from {value[0]:g} down to {value[1]:g}")
    for trouble in scenario.troubles:
        if trouble.zone >= scenario.net.zones:
            raise ModelError(f"{name}: {trouble.kind} strikes zone {trouble.zone} of {scenario.net.zones}")
        if trouble.at_s > scenario.length_s:
            raise ModelError(f"{name}: {trouble.kind} begins after the day's end")


def known() -> list[str]:
    """The names of the scenarios that come with the model."""
    folder = resources.files("thistletrail.simulation") / "scenarios"
    return sorted(
        entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml")
    )


def load(name: str) -> Scenario:
    """A scenario by its name, or from a file."""
    if name in known():
        return parse(
            (resources.files("thistletrail.simulation") / "scenarios" / f"{name}.toml").read_bytes(), name
        )
    if not name.endswith(".toml"):
        raise ModelError(f"there is no scenario '{name}' (a .toml file, or one of {', '.join(known())})")
    try:
        data = Path(name).read_bytes()
    except OSError as error:
        raise ModelError(f"{name}: {error.strerror}") from error
    return parse(data, name)


def dump(scenario: Scenario) -> str:
    """The scenario as TOML, without what is left at its default; `parse` gives the same one back."""
    values = msgspec.to_builtins(scenario)
    return tomli_w.dumps(
        trimmed(values, msgspec.to_builtins(Scenario(name=scenario.name))) | {"name": scenario.name}
    )


def trimmed(values: dict, usual: dict) -> dict:
    found = {}
    for key, value in values.items():
        default = usual.get(key)
        if value == default or value is None:
            continue
        if isinstance(value, dict) and isinstance(default, dict):
            value = trimmed(value, default)
        elif key == "troubles":
            plain = msgspec.to_builtins(Trouble(kind="burst"))
            value = [{"kind": one["kind"]} | trimmed(one, plain) for one in value]
        elif isinstance(value, list | tuple):
            value = [
                {k: v for k, v in one.items() if v is not None} if isinstance(one, dict) else one
                for one in value
            ]
        found[key] = value
    return found
