"""Keys of the configuration file that have a new name: the old name is still read, with a warning.

Only keys that are this gateway's own are renamed. Those that the operators' pages give keep their names.
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

    An old key is read like the current one and logged. A ConfigError where a file has both, as it would not
    be clear which of them holds.
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
    """Log that an old key was read: once in a process, as the file is read again at each reload."""
    log.warning("the configuration's key '%s' has a new name: write '%s' in its place", old_key, key)
