"""A registered instance, and the validation of the values that a registration sends."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from thistletrail.registry.errors import RejectedError

MIN_LEASE_MS = 1_000
MAX_LEASE_MS = 600_000
DEFAULT_LEASE_MS = 10_000
MAX_CELL = 1_000_000
MAX_WEIGHT = 1e6
DEFAULT_WEIGHT = 1.0
MAX_STARTED_MS = 100_000_000_000_000
"""Unix time in milliseconds, in the year 5138: rejects values that cannot be a start time."""

MAX_NAME_CHARACTERS = 64

MAX_ECHOED_CHARACTERS = 40
"""An unknown key is cut to this length in the error text that is sent to the client."""

NAME_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}", re.ASCII)
ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})", re.ASCII)
MAX_OCTET = 255
MAX_PORT = 65_535

NAME_KEYS = ("id", "zone", "machine_type")
REQUIRED_KEYS = frozenset({"id", "address", "zone", "machine_type"})
OPTIONAL_KEYS = frozenset({"cell", "weight", "started_ms", "lease_ms"})


class Lifecycle(StrEnum):
    """State of an instance; the values are also those on the wire and on disk.

    `SERVING` takes requests, `DRAINING` takes no new ones, and `DELETED` is no longer registered.
    """

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class Instance:
    """A registered scan server. `generation` is that of its last change, 0 before the first one.

    `address` is IPv4:PORT, `started_ms` the start of its process in Unix milliseconds (0 if that is not
    recent), `lease_ms` the length of its lease in milliseconds, and `weight` its share of the load relative
    to others.
    """

    id: str
    address: str
    zone: str
    machine_type: str
    cell: int
    weight: float
    lifecycle: Lifecycle
    started_ms: int
    lease_ms: int
    generation: int = 0


def parse_instance(values: Mapping[str, object]) -> Instance:
    """Return the instance that the decoded JSON of a registration describes, `SERVING` and with generation 0.

    Raises `RejectedError`, whose message names the unknown, missing or invalid key.
    """
    _check_keys(values)
    return Instance(
        id=_parse_name(values, "id"),
        zone=_parse_name(values, "zone"),
        machine_type=_parse_name(values, "machine_type"),
        address=_parse_address(values["address"]),
        cell=_parse_integer(values, "cell", 0, 0, MAX_CELL),
        weight=_parse_weight(values.get("weight", DEFAULT_WEIGHT)),
        lifecycle=Lifecycle.SERVING,
        started_ms=_parse_integer(values, "started_ms", 0, 0, MAX_STARTED_MS),
        lease_ms=_parse_integer(values, "lease_ms", DEFAULT_LEASE_MS, MIN_LEASE_MS, MAX_LEASE_MS),
    )


def _check_keys(values: Mapping[str, object]) -> None:
    unknown = sorted(set(values) - REQUIRED_KEYS - OPTIONAL_KEYS)
    if unknown:
        raise RejectedError(f"there is no key '{unknown[0][:MAX_ECHOED_CHARACTERS]}'")
    missing = sorted(REQUIRED_KEYS - set(values))
    if missing:
        raise RejectedError(f"the key '{missing[0]}' is missing")


def _parse_name(values: Mapping[str, object], key: str) -> str:
    value = values[key]
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise RejectedError(
            f"{key} is not 1 to {MAX_NAME_CHARACTERS} letters, digits, dots, colons, dashes or underscores"
        )
    return value


def _parse_address(value: object) -> str:
    if isinstance(value, str) and _is_address(value):
        return value
    raise RejectedError("address is not an IPv4 address and a port, as in 127.0.0.1:6379")


def _is_address(text: str) -> bool:
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        return False
    octets = match[1].split(".")
    port = int(match[2])
    return all(int(octet) <= MAX_OCTET for octet in octets) and 0 < port <= MAX_PORT


def _parse_integer(values: Mapping[str, object], key: str, default: int, minimum: int, maximum: int) -> int:
    value = values.get(key, default)
    # isinstance() would accept a bool, which is a subclass of int.
    if type(value) is not int or not minimum <= value <= maximum:
        raise RejectedError(f"{key} is not a whole number from {minimum} to {maximum}")
    return value


def _parse_weight(value: object) -> float:
    # A bool is a subclass of int, so it is excluded. The comparison is false for a NaN.
    if isinstance(value, int | float) and not isinstance(value, bool) and 0 < value <= MAX_WEIGHT:
        return float(value)
    raise RejectedError(f"weight is not a number above 0 and up to {MAX_WEIGHT:g}")
