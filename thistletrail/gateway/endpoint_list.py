"""Converts endpoint lists between discovery's format (JSON objects) and the policy's events.

A stored snapshot has its list in discovery's format as well. The list's `generation` in that format is the
`version` of the policy's events.
"""

import logging
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from thistletrail.gateway.config import Address, Config, read_address
from thistletrail.gateway.errors import ConfigError, DiscoveryProtocolError
from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, Server, ServerState

log = logging.getLogger(__name__)

STATE_BY_LIFECYCLE = {
    "SERVING": ServerState.SERVING,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}
LIFECYCLE_BY_STATE = {state: lifecycle for lifecycle, state in STATE_BY_LIFECYCLE.items()}
UNKNOWN_INDEX = -1  # index of a zone or machine type that the settings do not name
# Larger numbers are regarded as mistakes and ignored.
MAX_WEIGHT = 1e6
MAX_START_TIME_MS = 1e14  # Unix time, some thousands of years after 1970


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An endpoint list, or changes to it, as an event for the policy, with the servers' addresses."""

    event: EndpointUpdate
    addresses: dict[str, Address]  # by server name, without removed servers


class EndpointListCodec:
    """Translates discovery's names to indices of the settings, and Unix time to the monotonic clock."""

    def __init__(self, config: Config) -> None:
        self.zone_indices = config.zone_numbers
        self.kind_indices = config.kind_numbers
        # Computed once: a server whose start time changes is regarded as restarted by the policy.
        system_offset_us = (time.monotonic_ns() - time.time_ns()) // 1000
        self.monotonic_offset_us = system_offset_us - config.clock_offset_ms * 1000
        self.zone_names = {index: name for name, index in config.zone_numbers.items()}
        self.kind_names = {index: name for name, index in config.kind_numbers.items()}

    def decode_update(
        self, value: Mapping[str, Any], kind: EndpointUpdateKind | None = None
    ) -> EndpointListUpdate:
        """Decode a complete list or changes to it; `kind` overrides the kind that the object states.

        Malformed entries are logged and omitted. Raises DiscoveryProtocolError if the object itself is
        malformed.
        """
        try:
            if kind is None:
                kind = EndpointUpdateKind.FULL if value.get("reset") else EndpointUpdateKind.CHANGES
            servers, addresses = self._decode_entries(value["instances"])
            return EndpointListUpdate(
                EndpointUpdate(kind, int(value["generation"]), tuple(servers)), addresses
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise DiscoveryProtocolError(
                f"expected an object with instances and generation, found {value!r:.100}: {error!r}"
            ) from error

    def _decode_entries(self, entries: list[Mapping[str, Any]]) -> tuple[list[Server], dict[str, Address]]:
        servers: list[Server] = []
        addresses: dict[str, Address] = {}
        for entry in entries:
            try:
                server = self._decode_server(entry)
                # A removal needs no address, and the policy must be notified of it in any case.
                if server.state is not ServerState.GONE:
                    addresses[server.name] = read_address(entry["hostPort"])
            except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
                log.error("left out a malformed entry of the endpoint list: %.200r: %s", entry, error)
                continue
            servers.append(server)
        return servers, addresses

    def _decode_server(self, entry: Mapping[str, Any]) -> Server:
        return Server(
            name=str(entry["instanceId"]),
            zone=self.zone_indices.get(entry.get("zone"), UNKNOWN_INDEX),
            kind=self.kind_indices.get(entry.get("machineType"), UNKNOWN_INDEX),
            cell=int(entry.get("cell") or 0),
            # An unknown state may not be a serving one, so the server gets no new requests.
            state=STATE_BY_LIFECYCLE.get(entry.get("lifecycle"), ServerState.DRAINING),
            size=_read_number(entry, "weight", MAX_WEIGHT) or 1.0,
            started_us=self.to_monotonic_us(_read_number(entry, "startedAtMs", MAX_START_TIME_MS)),
        )

    def to_monotonic_us(self, unix_ms: float) -> int:
        """Convert a start time to the monotonic clock; only 0, which means long ago, becomes 0."""
        if not unix_ms:
            return 0
        return (round(unix_ms * 1000) + self.monotonic_offset_us) or 1

    def encode_entry(self, server: Server, address: Address) -> dict[str, Any]:
        """A server in discovery's format, as `decode_update` reads it.

        The names of a zone and a machine type that the settings do not name are lost.
        """
        started_ms = (server.started_us - self.monotonic_offset_us) / 1000 if server.started_us else 0
        host, port = address
        return {
            "instanceId": server.name,
            "hostPort": f"{host}:{port}",
            "zone": self.zone_names.get(server.zone, ""),
            "machineType": self.kind_names.get(server.kind, ""),
            "cell": server.cell,
            "lifecycle": LIFECYCLE_BY_STATE[server.state],
            "weight": server.size,
            "startedAtMs": started_ms,
        }


def _read_number(entry: Mapping[str, Any], name: str, maximum: float) -> float:
    """A finite number from 0 to `maximum`; 0 for any other value."""
    value = entry.get(name) or 0
    is_valid = isinstance(value, int | float) and 0 <= value <= maximum  # False for NaN
    return float(value) if is_valid else 0.0
