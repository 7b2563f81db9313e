"""The configuration of a gateway, read from the environment and the JSON file that it names."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from thistletrail.gateway.errors import ConfigError
from thistletrail.gateway.legacy_settings import with_current_keys
from thistletrail.policy.settings import Settings
from thistletrail.policy.settings_codec import SettingValues, read_settings

MAX_ERROR_CHARACTERS = 200  # an error's text may contain a long value of the file
MAX_PORT = 65535
DEFAULT_LEASE_MS = 3000
MIN_LEASE_MS = 500  # renewed after a third, so a shorter lease would leave a renewal less than 170 ms
MAX_RETRY_BUDGET = 1e6  # for both rate and burst; a larger number is regarded as a mistake
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 64
# Used if the settings have no ceiling of this name.
DEFAULT_CONNECTION_IDLE_US = 30_000_000
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_MAX_OPEN_REQUESTS = 20_000


class Address(NamedTuple):
    """A host and port; equal to the plain tuple that the socket module uses."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The token bucket for the retries of all gateways together; with a rate of 0 there is none."""

    rate: float = 0.0  # per second
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class BudgetLeaseSettings:
    """The lease service that divides budgets among gateways (key `budget_leases`)."""

    addresses: tuple[Address, ...]  # one is used at a time; after a failure the next one
    secret: bytes  # signs requests to the lease service and its answers
    lease_ms: int
    retry_budget: RetryBudget = RetryBudget()
    divides_quotas: bool = False
    divides_in_flight: bool = False  # plans' limits on requests in flight


@dataclass(frozen=True, slots=True)
class WorkLeaseSettings:
    """The lease service that records work items (key `work_leases`).

    If a gateway fails, another one finishes its work items.
    """

    addresses: tuple[Address, ...]
    secret: bytes
    classes: frozenset[int]  # indices of the recorded request classes


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a gateway.

    The names of the fields are part of the log line about values that need a restart.
    """

    name: str
    listen: Address
    discovery: tuple[Address, ...]  # one is watched at a time; after a failure the next one
    settings: Settings
    class_numbers: Mapping[str, int]
    plan_numbers: Mapping[str, int]
    zone_numbers: Mapping[str, int]
    kind_numbers: Mapping[str, int]
    conn_idle_us: int
    connect_timeout_us: int
    max_open: int  # requests without an answer
    sockets: int
    memory_mb: int
    known: Mapping[str, Any]  # endpoint list in discovery's format, used until discovery sends one
    time_stages: bool = False  # measure processor time by stage, which has a cost itself
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    budget_leases: BudgetLeaseSettings | None = None  # None: fixed shares and quota messages
    work_leases: WorkLeaseSettings | None = None  # None: requests in flight are lost with their gateway
    state_dir: str = ""  # folder of the snapshot for the next start; empty: nothing is stored
    clock_offset_ms: int = 0  # added to the system's time, for tests of inaccurate clocks


def load(env: Mapping[str, str]) -> Config:
    """Read the configuration file that PROXY_CONFIG names; raises ConfigError if it is unusable."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("expected the path of the configuration file in PROXY_CONFIG, which is not set")
    values = _read_file(path)
    try:
        return parse(with_current_keys(values), env)
    except ConfigError as error:
        raise ConfigError(one_line(error)) from error
    except KeyError as error:
        raise ConfigError(f"the configuration has a missing or unknown name: {one_line(error)}") from error
    except (TypeError, ValueError, AttributeError, IndexError, ArithmeticError) as error:
        raise ConfigError(f"the configuration is malformed: {one_line(error)}") from error


def reload(env: Mapping[str, str]) -> Config:
    """Read the configuration again, without PROXY_DISCOVERY.

    The environment is as old as the process, so the address of discovery in the file is the newer one.
    """
    return load({name: value for name, value in env.items() if name != "PROXY_DISCOVERY"})


def parse(values: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    """Convert the file's values to a configuration; variables of the environment take precedence."""
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
    """Parse `host:port`; raises ConfigError for any other text."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"expected an address as host:port, found '{text}'")
    return Address(host, int(port))


def read_addresses(value: object) -> tuple[Address, ...]:
    """Parse a list of addresses, or a text with one or more addresses separated by commas.

    Duplicates are removed.
    """
    texts = value.split(",") if isinstance(value, str) else value
    if not isinstance(texts, list) or not texts or not all(isinstance(text, str) for text in texts):
        raise ConfigError(f"expected an address or a list of addresses, found '{value}'")
    return tuple(dict.fromkeys(read_address(text.strip()) for text in texts))


def read_flag(values: Mapping[str, Any], name: str) -> bool:
    """Read a boolean; False if it is not set."""
    value = values.get(name, False)
    if not isinstance(value, bool):
        raise ConfigError(f"expected true or false as {name}, found '{value}'")
    return value


def read_path(values: Mapping[str, Any], name: str) -> str:
    """Read a path; empty if it is not set."""
    value = values.get(name) or ""
    if not isinstance(value, str) or "\0" in value:
        raise ConfigError(f"expected a path as {name}, found {value!r}")
    return value


def read_secret(values: Mapping[str, Any]) -> bytes:
    """Read the file with the secret that the gateways and the lease service share."""
    path = read_path(values, "secret_file")
    try:
        with open(path, "rb") as file:
            return file.read().strip()
    except OSError as error:
        raise ConfigError(f"cannot read the lease service's secret in '{path}': {error.strerror}") from error


def read_budget_leases(values: object) -> BudgetLeaseSettings | None:
    """Read `budget_leases`; returns None if it is not set."""
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
    """Read `further_attempts`; returns a retry budget with a rate of 0 if it is not set."""
    if not values:
        return RetryBudget()
    unchecked = values if isinstance(values, dict) else {}
    numbers = {}
    for name in ("rate", "burst"):
        number = unchecked.get(name)
        # isinstance would also accept a bool.
        if type(number) not in (int, float) or not 0 <= number <= MAX_RETRY_BUDGET:
            raise ConfigError(
                f"expected a {name} from 0 to {MAX_RETRY_BUDGET:.0f} in further_attempts, found '{number}'"
            )
        numbers[name] = float(number)
    if numbers["rate"] and numbers["burst"] < 1:
        raise ConfigError(f"expected a burst of at least 1 in further_attempts, found {numbers['burst']}")
    return RetryBudget(**numbers)


def read_work_leases(values: object, class_numbers: Mapping[str, int]) -> WorkLeaseSettings | None:
    """Read `work_leases`; returns None if it is not set."""
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
    """Add the budgets that the lease service divides to the policy's settings."""
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
    """Flatten nested JSON to the path and value of each setting, as in the simulator's protocol."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def index_by_name(values: object) -> dict[str, int]:
    """The index of each name in a list of names, or of objects with a name; empty for any other value."""
    if not isinstance(values, list):
        return {}
    names = [value["name"] if isinstance(value, dict) else value for value in values]
    return {str(name): index for index, name in enumerate(names)}


def one_line(error: Exception) -> str:
    """The text of an error on one line, truncated to `MAX_ERROR_CHARACTERS`."""
    return " ".join(str(error).split())[:MAX_ERROR_CHARACTERS]


def _read_file(path: str) -> Mapping[str, Any]:
    """Read a JSON object from a file."""
    try:
        with open(path, "rb") as file:  # pathlib would take memory for this use alone
            values = json.loads(file.read())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"cannot read the configuration: {one_line(error)}") from error
    if not isinstance(values, dict):
        raise ConfigError(
            f"the configuration is malformed: expected an object, found {type(values).__name__}"
        )
    return values


def _validate(config: Config) -> None:
    """Raise ConfigError if values that are valid by themselves contradict each other."""
    settings = config.settings
    if not config.class_numbers or not config.plan_numbers:
        raise ConfigError(
            "expected at least one class and one plan in the settings,"
            f" found {len(config.class_numbers)} classes and {len(config.plan_numbers)} plans"
        )
    has_unique_classes = len(config.class_numbers) == len(settings.classes)
    has_unique_plans = len(config.plan_numbers) == len(settings.plans)
    if not has_unique_classes or not has_unique_plans:
        raise ConfigError(
            "expected a distinct name for each class and plan in the settings,"
            f" found {len(config.class_numbers)} for {len(settings.classes)} classes"
            f" and {len(config.plan_numbers)} for {len(settings.plans)} plans"
        )
    if not 0 <= settings.gateway_index < settings.gateway_count:
        raise ConfigError(
            f"expected a gateway index ('me') from 0 to less than {settings.gateway_count} ('balancers')"
            f" in the settings, found {settings.gateway_index}"
        )
    if config.memory_mb < 1 or config.sockets < 1:
        raise ConfigError(
            "expected at least 1 as memory_mb and as sockets in the limits,"
            f" found {config.memory_mb} and {config.sockets}"
        )
