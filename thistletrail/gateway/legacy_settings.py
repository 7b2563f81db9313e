"""Renamed keys of the configuration file: the old names are still read, with a warning.

Only keys that are specific to this gateway were renamed. Those that operators' documentation defines are not.
"""

import functools
import logging
from collections.abc import Mapping
from typing import Any

from thistletrail.gateway.errors import ConfigError

log = logging.getLogger(__name__)

CURRENT_KEYS: Mapping[str, str] = {
    "steward": "budget_leases",
    "takeover": "work_leases",
}


def with_current_keys(values: Mapping[str, Any]) -> dict[str, Any]:
    """The top-level values of a configuration file under the current names of their keys.

    An old key is read like the current one, with a warning. Raises ConfigError if a file has both, as it
    would be unclear which of them applies.
    """
    current = dict(values)
    for old_key, key in CURRENT_KEYS.items():
        if old_key not in current:
            continue
        if key in current:
            raise ConfigError(f"expected one of '{key}' and its old name '{old_key}', found both")
        _warn_once(old_key, key)
        current[key] = current.pop(old_key)
    return current


@functools.cache
def _warn_once(old_key: str, key: str) -> None:
    """Warn about an old key; only once per process, as each reload reads the file again."""
    log.warning("the configuration's key '%s' has a new name: write '%s' in its place", old_key, key)
