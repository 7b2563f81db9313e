"""What a front door is told at its start: the environment and the JSON file, checked and typed."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from thistletrail.policy.settings import Settings
from thistletrail.policy.settings_codec import SettingValues, read_settings

Address = tuple[str, int]

MOST_TEXT = 200  # characters of an error: a value of the file may be in it


class ConfigError(Exception):
    """The environment or the configuration is not usable; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Steward:
    """The steward of the fleet's budgets: where it is, one address of several at a time, and the secret."""

    addresses: tuple[Address, ...]
    secret: bytes
    lease_ms: int
    retry_rate: float = 0.0  # of all front doors' further attempts, a second; 0: not divided
    retry_burst: float = 0.0
    quotas: bool = False  # whether customers' quotas are divided too, and what plans let be open at once
    open: bool = False


@dataclass(frozen=True, slots=True)
class Takeover:
    """Who keeps work in hand, so that another door goes on with it: the steward, and for which classes."""

    addresses: tuple[Address, ...]
    secret: bytes
    classes: frozenset[int]


@dataclass(frozen=True, slots=True)
class Config:
    """The front door's own address, whom it talks to, its limits and the module's settings."""

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
    max_open: int
    sockets: int
    memory_mb: int
    known: Mapping[str, Any]
    time_stages: bool = False  # tell the processor time by stage, which itself takes some
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    steward: Steward | None = None  # who divides ceilings by leases; none: fixed parts and words
    takeover: Takeover | None = None  # none: work in hand is lost with its door
    state_dir: str = ""  # where a snapshot is kept for the next start; none: nowhere
    clock_offset_ms: int = 0  # added to the system's time, for tests of clocks that are off


def read_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"'{text}' is not an address")
    return host, int(port)


def read_addresses(value: object) -> tuple[Address, ...]:
    """One address, or several: a list of texts, or a text with commas between them."""
    texts = value.split(",") if isinstance(value, str) else value
    if not isinstance(texts, list) or not texts or not all(isinstance(text, str) for text in texts):
        raise ConfigError(f"'{value}' is no address and no list of them")
    return tuple(dict.fromkeys(read_address(text.strip()) for text in texts))


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs of the simulator's wire."""
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


def numbers(values: object) -> dict[str, int]:
    """The index of each name in a list of the settings: of plain names, or of objects with one."""
    if not isinstance(values, list):
        return {}
    names = [value["name"] if isinstance(value, dict) else value for value in values]
    return {str(name): number for number, name in enumerate(names)}


def flag(values: Mapping[str, Any], name: str) -> bool:
    value = values.get(name, False)
    if not isinstance(value, bool):
        raise ConfigError(f"{name} is neither true nor false")
    return value


def read_secret(values: Mapping[str, Any]) -> bytes:
    """What front doors and steward share is in a file of its own."""
    path = path_of(values, "secret_file")
    try:
        with open(path, "rb") as file:
            return file.read().strip()
    except OSError as error:
        raise ConfigError(f"cannot read the steward's secret: {error.strerror}") from error


def read_takeover(values: object, classes: Mapping[str, int]) -> Takeover | None:
    """The part of the file on work in hand."""
    if not values:
        return None
    if not isinstance(values, dict):
        raise ConfigError("takeover is no object")
    names = values["classes"]
    if not isinstance(names, list) or not names:
        raise ConfigError("takeover names no classes")
    if strange := [name for name in names if name not in classes]:
        raise ConfigError(f"takeover names a class '{strange[0]}' that is none")
    return Takeover(
        read_addresses(values["addresses"]), read_secret(values), frozenset(classes[name] for name in names)
    )


def read_steward(values: object) -> Steward | None:
    """The part of the file on the steward."""
    if not values:
        return None
    if not isinstance(values, dict):
        raise ConfigError("steward is no object")
    secret = read_secret(values)
    lease_ms = int(values.get("lease_ms") or 3000)
    if lease_ms < 500:
        raise ConfigError("the steward's lease_ms is less than 500")
    further = values.get("further_attempts") or {"rate": 0, "burst": 0}
    rate, burst = (further.get(name) if isinstance(further, dict) else None for name in ("rate", "burst"))
    for value, name in ((rate, "rate"), (burst, "burst")):
        if type(value) not in (int, float) or not 0 <= value <= 1e6:
            raise ConfigError(f"the steward's further_attempts have no {name} from 0 to 1000000")
    if rate and burst < 1:
        raise ConfigError("the steward's further_attempts have a burst of less than 1")
    return Steward(
        read_addresses(values["addresses"]),
        secret,
        lease_ms,
        float(rate),
        float(burst),
        flag(values, "quotas"),
        flag(values, "open"),
    )


def leased(settings: Settings, steward: Steward | None) -> Settings:
    """The settings with what a steward divides."""
    if steward is None:
        return settings
    return replace(
        settings,
        leases_ceilings=True,
        leases_quotas=steward.quotas,
        leases_in_flight=steward.open,
        retry_rate=steward.retry_rate,
        retry_burst=steward.retry_burst,
    )


def path_of(values: Mapping[str, Any], name: str) -> str:
    value = values.get(name) or ""
    if not isinstance(value, str) or "\0" in value:
        raise ConfigError(f"{name} is not a path")
    return value


def parse(values: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    """The configuration from the file's values, where the environment goes before them."""
    settings = values["settings"]
    setting_values = SettingValues(dict(flatten(settings)))
    peer_listen = values.get("peer_listen")
    limits = values.get("limits") or {}
    steward = read_steward(values.get("steward"))
    config = Config(
        name=env.get("PROXY_NAME") or values["name"],
        listen=read_address(env.get("PROXY_LISTEN") or values["listen"]),
        discovery=read_addresses(env.get("PROXY_DISCOVERY") or values["discovery"]),
        settings=leased(read_settings(int(values["seed"], 16), setting_values), steward),
        class_numbers=numbers(settings["categories"]),
        plan_numbers=numbers(settings["plans"]),
        zone_numbers=numbers(settings.get("zones")),
        kind_numbers=numbers(settings.get("kinds")),
        conn_idle_us=setting_values.integer("ceilings.conn-idle-us", 30_000_000),
        connect_timeout_us=setting_values.integer("ceilings.connect-timeout-us", 250_000),
        max_open=setting_values.integer("ceilings.max-open", 20_000),
        sockets=int(limits.get("sockets", 1024)),
        memory_mb=int(limits.get("memory_mb", 64)),
        known=values.get("known") or {},
        time_stages=flag(values, "time_stages"),
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=tuple(map(read_address, values.get("peers") or ())),
        steward=steward,
        takeover=read_takeover(values.get("takeover"), numbers(settings["categories"])),
        state_dir=path_of(values, "state_dir"),
        clock_offset_ms=int(values.get("clock_offset_ms") or 0),
    )
    if not config.class_numbers or not config.plan_numbers:
        raise ConfigError("the settings name no class or no plan")
    named = len(config.class_numbers), len(config.plan_numbers)
    if named != (len(config.settings.classes), len(config.settings.plans)):
        raise ConfigError("the settings name a class or a plan twice or not at all")
    if not 0 <= config.settings.gateway_index < config.settings.gateway_count:
        raise ConfigError(
            f"there is no front door {config.settings.gateway_index} of {config.settings.gateway_count}"
        )
    if config.memory_mb < 1 or config.sockets < 1:
        raise ConfigError("the limits leave no memory or no sockets")
    return config


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment points to."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as file:  # pathlib would be loaded for this alone, and stay
            values = json.loads(file.read())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"cannot read the configuration: {line_of(error)}") from error
    try:
        return parse(values, env)
    except ConfigError as error:
        raise ConfigError(line_of(error)) from error
    except KeyError as error:
        raise ConfigError(f"the configuration lacks or does not know {line_of(error)}") from error
    except (TypeError, ValueError, AttributeError, IndexError, ArithmeticError) as error:
        raise ConfigError(f"the configuration is malformed: {line_of(error)}") from error


def line_of(error: Exception) -> str:
    """What an error says, as a part of one line."""
    return " ".join(str(error).split())[:MOST_TEXT]


def reload(env: Mapping[str, str]) -> Config:
    """The configuration anew. The environment is as old as the process: in a file that was replaced
    since, the address of discovery is the newer one."""
    return load({name: value for name, value in env.items() if name != "PROXY_DISCOVERY"})
