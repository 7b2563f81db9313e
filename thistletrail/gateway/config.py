"""The configuration of a gateway: the environment and the JSON file that it names, checked and typed."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from thistletrail.gateway.errors import ConfigError
from thistletrail.gateway.legacy_settings import with_current_keys
from thistletrail.policy.settings import Settings
from thistletrail.policy.settings_codec import SettingValues, read_settings

MAX_ERROR_CHARACTERS = 200  # of an error's text that are shown: a value of the file may be in it
MAX_PORT = 65535
DEFAULT_LEASE_MS = 3000
MIN_LEASE_MS = 500  # renewed at a third of it: a shorter one would leave a renewal under 170 ms
MAX_RETRY_BUDGET = 1e6  # of both rate (a second) and burst, in retries; more is taken for a mistake
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 64
# What holds where the operators' file has no ceiling of this name.
DEFAULT_CONNECTION_IDLE_US = 30_000_000
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_MAX_OPEN_REQUESTS = 20_000


class Address(NamedTuple):
    """A host and port; equal to the plain tuple that the socket module gives."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """A token bucket for the retries of all gateways together; a rate of 0 divides none."""

    rate: float = 0.0  # retries a second
    burst: float = 0.0  # retries


@dataclass(frozen=True, slots=True)
class BudgetLeaseSettings:
    """The lease service that divides budgets among gateways (`budget_leases` of the file)."""

    addresses: tuple[Address, ...]  # one is used at a time, the next where that fails
    secret: bytes  # signs requests to the lease service and its answers
    lease_ms: int
    retry_budget: RetryBudget = RetryBudget()
    divides_quotas: bool = False
    divides_in_flight: bool = False  # the limits of plans on requests in flight


@dataclass(frozen=True, slots=True)
class WorkLeaseSettings:
    """The lease service that records work items (`work_leases` of the file).

    Another gateway finishes the items of one that failed.
    """

    addresses: tuple[Address, ...]
    secret: bytes
    classes: frozenset[int]  # the indices of the request classes that are recorded


@dataclass(frozen=True, slots=True)
class Config:
    """All that a gateway is configured with. Durations have their unit in their name."""

    name: str
    listen: Address
    discovery: tuple[Address, ...]  # one is watched at a time, the next where that fails
    settings: Settings
    class_numbers: Mapping[str, int]
    plan_numbers: Mapping[str, int]
    zone_numbers: Mapping[str, int]
    kind_numbers: Mapping[str, int]
    conn_idle_us: int
    connect_timeout_us: int
    max_open: int  # requests
    sockets: int
    memory_mb: int
    known: Mapping[str, Any]  # an endpoint list in discovery's form, used until discovery sends one
    time_stages: bool = False  # measure processor time by stage, which itself takes some
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    budget_leases: BudgetLeaseSettings | None = None  # None: fixed shares and quota messages
    work_leases: WorkLeaseSettings | None = None  # None: requests in flight are lost with their gateway
    state_dir: str = ""  # the folder of the snapshot for the next start; empty: nothing is stored
    clock_offset_ms: int = 0  # added to the system's time, for tests of clocks that are off


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment points to; a ConfigError where it cannot be used."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    values = _read_file(path)
    try:
        return parse(with_current_keys(values), env)
    except ConfigError as error:
        raise ConfigError(one_line(error)) from error
    except KeyError as error:
        raise ConfigError(f"the configuration lacks or does not know {one_line(error)}") from error
    except (TypeError, ValueError, AttributeError, IndexError, ArithmeticError) as error:
        raise ConfigError(f"the configuration is malformed: {one_line(error)}") from error


def reload(env: Mapping[str, str]) -> Config:
    """The configuration anew.

    The environment is as old as the process: in a file that was replaced since, the address of discovery is
    the newer one.
    """
    return load({name: value for name, value in env.items() if name != "PROXY_DISCOVERY"})


def parse(values: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    """The configuration from the file's values, where the environment goes before them."""
    settings = values["settings"]
    setting_values = SettingValues(dict(flatten(settings)))
    class_numbers = index_by_name(settings["categories"])
    peer_listen = values.get("peer_listen")
    limits = values.get("limits") or {}
    budget_leases = read_budget_leases(values.get("budget_leases"))
    config = Config(
        name=env.get("PROXY_NAME") or values["name"],
        listen=read_address(env.get("PROXY_LISTEN") or values["listen"]),
        discovery=read_addresses(env.get("PROXY_DISCOVERY") or values["discovery"]),
        settings=with_budget_leases(read_settings(int(values["seed"], 16), setting_values), budget_leases),
        class_numbers=class_numbers,
        plan_numbers=index_by_name(settings["plans"]),
        zone_numbers=index_by_name(settings.get("zones")),
        kind_numbers=index_by_name(settings.get("kinds")),
        conn_idle_us=setting_values.integer("ceilings.conn-idle-us", DEFAULT_CONNECTION_IDLE_US),
        connect_timeout_us=setting_values.integer("ceilings.connect-timeout-us", DEFAULT_CONNECT_TIMEOUT_US),
        max_open=setting_values.integer("ceilings.max-open", DEFAULT_MAX_OPEN_REQUESTS),
        sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        known=values.get("known") or {},
        time_stages=read_flag(values, "time_stages"),
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=tuple(map(read_address, values.get("peers") or ())),
        budget_leases=budget_leases,
        work_leases=read_work_leases(values.get("work_leases"), class_numbers),
        state_dir=read_path(values, "state_dir"),
        clock_offset_ms=int(values.get("clock_offset_ms") or 0),
    )
    _validate(config)
    return config


def read_address(text: str) -> Address:
    """An address from `host:port`; a ConfigError for any other text."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"expected an address as host:port, found '{text}'")
    return Address(host, int(port))


def read_addresses(value: object) -> tuple[Address, ...]:
    """One address, or several: a list of texts, or a text with commas between them. Repeats are dropped."""
    texts = value.split(",") if isinstance(value, str) else value
    if not isinstance(texts, list) or not texts or not all(isinstance(text, str) for text in texts):
        raise ConfigError(f"expected an address or a list of addresses, found '{value}'")
    return tuple(dict.fromkeys(read_address(text.strip()) for text in texts))


def read_flag(values: Mapping[str, Any], name: str) -> bool:
    """A value that is true or false; false where there is none."""
    value = values.get(name, False)
    if not isinstance(value, bool):
        raise ConfigError(f"expected true or false as {name}, found '{value}'")
    return value


def read_path(values: Mapping[str, Any], name: str) -> str:
    """A path; empty where there is none."""
    value = values.get(name) or ""
    if not isinstance(value, str) or "\0" in value:
        raise ConfigError(f"expected a path as {name}, found {value!r}")
    return value


def read_secret(values: Mapping[str, Any]) -> bytes:
    """The secret that gateways and lease service share, which is in a file of its own."""
    path = read_path(values, "secret_file")
    try:
        with open(path, "rb") as file:
            return file.read().strip()
    except OSError as error:
        raise ConfigError(f"cannot read the lease service's secret: {error.strerror}") from error


def read_budget_leases(values: object) -> BudgetLeaseSettings | None:
    """The settings from the file's `budget_leases`; None where nothing is set."""
    if not values:
        return None
    if not isinstance(values, dict):
        raise ConfigError(f"expected an object as budget_leases, found '{values}'")
    secret = read_secret(values)
    lease_ms = int(values.get("lease_ms") or DEFAULT_LEASE_MS)
    if lease_ms < MIN_LEASE_MS:
        raise ConfigError(f"expected at least {MIN_LEASE_MS} as lease_ms of budget_leases, found {lease_ms}")
    return BudgetLeaseSettings(
        addresses=read_addresses(values["addresses"]),
        secret=secret,
        lease_ms=lease_ms,
        retry_budget=read_retry_budget(values.get("further_attempts")),
        divides_quotas=read_flag(values, "quotas"),
        divides_in_flight=read_flag(values, "open"),
    )


def read_retry_budget(values: object) -> RetryBudget:
    """The retry budget from `further_attempts`; none where nothing is set."""
    if not values:
        return RetryBudget()
    found = values if isinstance(values, dict) else {}
    figures = {}
    for name in ("rate", "burst"):
        figure = found.get(name)
        # Not isinstance: a bool is an int, and no figure.
        if type(figure) not in (int, float) or not 0 <= figure <= MAX_RETRY_BUDGET:
            raise ConfigError(
                f"expected a {name} from 0 to {MAX_RETRY_BUDGET:.0f} in further_attempts, found '{figure}'"
            )
        figures[name] = float(figure)
    if figures["rate"] and figures["burst"] < 1:
        raise ConfigError(f"expected a burst of at least 1 in further_attempts, found {figures['burst']}")
    return RetryBudget(**figures)


def read_work_leases(values: object, class_numbers: Mapping[str, int]) -> WorkLeaseSettings | None:
    """The settings from the file's `work_leases`; None where nothing is set."""
    if not values:
        return None
    if not isinstance(values, dict):
        raise ConfigError(f"expected an object as work_leases, found '{values}'")
    names = values["classes"]
    if not isinstance(names, list) or not names:
        raise ConfigError(f"expected names of classes in work_leases, found '{names}'")
    for name in names:
        if name not in class_numbers:
            raise ConfigError(f"expected a class of the settings in work_leases, found '{name}'")
    return WorkLeaseSettings(
        addresses=read_addresses(values["addresses"]),
        secret=read_secret(values),
        classes=frozenset(class_numbers[name] for name in names),
    )


def with_budget_leases(settings: Settings, budget_leases: BudgetLeaseSettings | None) -> Settings:
    """The policy's settings with what the lease service divides."""
    if budget_leases is None:
        return settings
    return replace(
        settings,
        leases_ceilings=True,
        leases_quotas=budget_leases.divides_quotas,
        leases_in_flight=budget_leases.divides_in_flight,
        retry_rate=budget_leases.retry_budget.rate,
        retry_burst=budget_leases.retry_budget.burst,
    )


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value setting_values of the simulator's wire."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def index_by_name(values: object) -> dict[str, int]:
    """The index of each name in a list of the settings: of plain names, or of objects with one."""
    if not isinstance(values, list):
        return {}
    names = [value["name"] if isinstance(value, dict) else value for value in values]
    return {str(name): number for number, name in enumerate(names)}


def one_line(error: Exception) -> str:
    """The text of an error as a part of one line, cut where it is long."""
    return " ".join(str(error).split())[:MAX_ERROR_CHARACTERS]


def _read_file(path: str) -> Mapping[str, Any]:
    """The JSON object in a file."""
    try:
        with open(path, "rb") as file:  # pathlib would be loaded for this alone, and stay
            values = json.loads(file.read())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"cannot read the configuration: {one_line(error)}") from error
    if not isinstance(values, dict):
        raise ConfigError(
            f"the configuration is malformed: expected an object, found {type(values).__name__}"
        )
    return values


def _validate(config: Config) -> None:
    """A ConfigError where values that are right by themselves do not fit together."""
    settings = config.settings
    if not config.class_numbers or not config.plan_numbers:
        raise ConfigError("expected at least one class and one plan in the settings, found none")
    has_unique_classes = len(config.class_numbers) == len(settings.classes)
    has_unique_plans = len(config.plan_numbers) == len(settings.plans)
    if not has_unique_classes or not has_unique_plans:
        raise ConfigError("the settings name a class or a plan twice or not at all")
    if not 0 <= settings.gateway_index < settings.gateway_count:
        raise ConfigError(f"there is no gateway {settings.gateway_index} of {settings.gateway_count}")
    if config.memory_mb < 1 or config.sockets < 1:
        raise ConfigError("the limits leave no memory or no sockets")
