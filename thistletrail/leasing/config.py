"""Configuration of the lease service: its leases, how many gateways may exist, and budgets by name pattern.

The file is TOML. An unknown key or a value out of range is reported in one line that names it.

    doors = 200            # gateways that may exist; each has a floor that it may use without the service
    lease_ms = 3000
    work_lease_ms = 1000   # a gateway that sends no request for this long loses its work items

    [[budgets]]
    name = "ceiling/institution/*"    # one budget for each matching name; a star matches any characters
    rate = 30.0                       # units per second
    burst = 60

    [[budgets]]
    name = "further-attempts"         # one budget for the fleet
    rate = 40.0
    burst = 80

    [[budgets]]
    name = "sessions"
    open = 50                         # a count that may be open at once
"""

from __future__ import annotations

from fnmatch import fnmatchcase
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from thistletrail.leasing.budget_state import LEASE_MS, MAX_LEASE_MS, MIN_LEASE_MS, BudgetLimits
from thistletrail.leasing.errors import ConfigError
from thistletrail.leasing.messages import WORK_LEASE_MS

MAX_NAME_CHARS = 120
MAX_RATE = 1e6  # units per second
MAX_COUNT = 10**6  # units of a burst, or the count that may be open at once
MAX_GATEWAYS = 1000  # five times the largest fleet


class BudgetPattern(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of the budgets whose names match a pattern: a rate with a burst, or a count."""

    name: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
    rate: Annotated[float, Meta(gt=0, le=MAX_RATE)] | None = None
    burst: Annotated[int, Meta(ge=1, le=MAX_COUNT)] | None = None
    open: Annotated[int, Meta(ge=1, le=MAX_COUNT)] | None = None

    def is_complete(self) -> bool:
        """Return whether the pattern has either a rate with a burst, or a count, but not both."""
        has_rate = self.rate is not None and self.burst is not None
        has_incomplete_rate = (self.rate is None) != (self.burst is None)
        has_count = self.open is not None
        return has_rate != has_count and not has_incomplete_rate

    def limits(self) -> BudgetLimits:
        """Return the limits of each matching budget."""
        if self.open is not None:
            return BudgetLimits.from_rate(self.rate or 0.0, self.open)
        return BudgetLimits.from_rate(self.rate or 0.0, self.burst or 0)


class Config(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The whole configuration; times are in milliseconds."""

    budgets: tuple[BudgetPattern, ...]
    gateways: Annotated[int, Meta(ge=1, le=MAX_GATEWAYS)] = msgspec.field(default=200, name="doors")
    lease_ms: Annotated[int, Meta(ge=MIN_LEASE_MS, le=MAX_LEASE_MS)] = LEASE_MS
    work_lease_ms: Annotated[int, Meta(ge=MIN_LEASE_MS, le=MAX_LEASE_MS)] = WORK_LEASE_MS

    def limits_of(self, name: str) -> BudgetLimits | None:
        """Return the limits of a budget, by the first pattern that its name matches; None if none does."""
        if len(name) > MAX_NAME_CHARS:
            return None
        matching = (pattern for pattern in self.budgets if fnmatchcase(name, pattern.name))
        pattern = next(matching, None)
        return pattern.limits() if pattern is not None else None


def read_config(path: Path) -> Config:
    """Return the configuration in a file.

    Raises:
        ConfigError: The file cannot be read, or is not a valid configuration.
    """
    try:
        config = msgspec.toml.decode(path.read_bytes(), type=Config)
    except OSError as error:
        raise ConfigError(f"cannot read the configuration {path}: {error.strerror}") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigError(f"invalid configuration {path}: {' '.join(str(error).split())}") from error
    for pattern in config.budgets:
        if not pattern.is_complete():
            raise ConfigError(f"{path}: '{pattern.name}' needs rate and burst, or open")
    return config
