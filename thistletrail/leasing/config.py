"""What the steward is told: its lease, how many doors there may be, and budgets by the form of their names.

TOML, checked in full: an unknown key or a figure out of its range is one line that names it.

    doors = 200            # that may exist: each has a floor, kept aside for when it cannot reach the steward
    lease_ms = 3000
    work_lease_ms = 1000   # after which a door that says nothing has lost the work that it has in hand

    [[budgets]]
    name = "ceiling/institution/*"    # one for each name that this fits; a star stands for a part of it
    rate = 30.0                       # units a second
    burst = 60

    [[budgets]]
    name = "further-attempts"         # of all front doors together
    rate = 40.0
    burst = 80

    [[budgets]]
    name = "sessions"
    open = 50                         # a count of what may be open at once
"""

from __future__ import annotations

from fnmatch import fnmatchcase
from pathlib import Path
from typing import Annotated

import msgspec

from thistletrail.leasing.budget_state import LEASE_MS, LEAST_LEASE_MS, MOST_LEASE_MS, Terms
from thistletrail.leasing.messages import WORK_LEASE_MS

MOST_NAME = 120  # characters of a budget's name


class ConfigError(Exception):
    """The file cannot be used; the text is one plain line."""


class Kind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Budgets of one form: a rate with a burst, or a count."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_NAME)]
    rate: Annotated[float, msgspec.Meta(gt=0, le=1e6)] | None = None
    burst: Annotated[int, msgspec.Meta(ge=1, le=10**6)] | None = None
    open: Annotated[int, msgspec.Meta(ge=1, le=10**6)] | None = None

    def terms(self) -> Terms:
        return Terms.of(self.rate or 0.0, self.burst if self.open is None else self.open)


class Config(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All of it."""

    budgets: tuple[Kind, ...]
    doors: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 200
    lease_ms: Annotated[int, msgspec.Meta(ge=LEAST_LEASE_MS, le=MOST_LEASE_MS)] = LEASE_MS
    work_lease_ms: Annotated[int, msgspec.Meta(ge=LEAST_LEASE_MS, le=MOST_LEASE_MS)] = WORK_LEASE_MS

    def terms_of(self, name: str) -> Terms | None:
        """Those of a budget, by the first form that its name fits; None for one that is not set."""
        if len(name) > MOST_NAME:
            return None
        return next((kind.terms() for kind in self.budgets if fnmatchcase(name, kind.name)), None)


def read(path: Path) -> Config:
    """The file, or a ConfigError of one line."""
    try:
        config = msgspec.toml.decode(path.read_bytes(), type=Config)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error
    for kind in config.budgets:
        rated = kind.rate is not None and kind.burst is not None
        if rated == (kind.open is not None) or (kind.rate is None) != (kind.burst is None):
            raise ConfigError(f"{path}: '{kind.name}' needs rate and burst, or open")
    return config
