"""The endpoint list in discovery's form (JSON objects), to the policy's events and back."""

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
    "SERVING": ServerState.UP,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}
LIFECYCLE_BY_STATE = {state: lifecycle for lifecycle, state in STATE_BY_LIFECYCLE.items()}
UNKNOWN_INDEX = -1  # of a zone or machine type that the settings do not name
# Figures past these are taken for mistakes, and say nothing.
MAX_WEIGHT = 1e6
MAX_TIME_MS = 1e14  # Unix time: some thousands of years


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An endpoint list, or changes to it, for the policy, and the addresses that go with it."""

    event: EndpointUpdate
    addresses: dict[str, Address]  # by server name; of all that are not removed


class EndpointListCodec:
    """Translates discovery's names to the settings' indices, and Unix time to the monotonic clock."""

    def __init__(self, config: Config) -> None:
        self.zone_numbers = config.zone_numbers
        self.kind_numbers = config.kind_numbers
        # Fixed once: the policy takes a server whose start time differs for one that has restarted.
        self.offset_us = (time.monotonic_ns() - time.time_ns()) // 1000 - config.clock_offset_ms * 1000
        self.zone_names = {number: name for name, number in config.zone_numbers.items()}
        self.kind_names = {number: name for name, number in config.kind_numbers.items()}

    def decode_update(
        self, value: Mapping[str, Any], kind: EndpointUpdateKind | None = None
    ) -> EndpointListUpdate:
        """A list or changes to it, of the given kind or of the one that it says.

        Malformed entries are logged and left out; a DiscoveryProtocolError where it is malformed itself.
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
                # One that is removed needs no address, and the policy must be notified in any case.
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
            zone=self.zone_numbers.get(entry.get("zone"), UNKNOWN_INDEX),
            kind=self.kind_numbers.get(entry.get("machineType"), UNKNOWN_INDEX),
            cell=int(entry.get("cell") or 0),
            # A server in an unknown state is not said to serve: no new request goes there.
            state=STATE_BY_LIFECYCLE.get(entry.get("lifecycle"), ServerState.DRAINING),
            size=_read_number(entry, "weight", MAX_WEIGHT) or 1.0,
            started_us=self.to_monotonic_us(_read_number(entry, "startedAtMs", MAX_TIME_MS)),
        )

    def to_monotonic_us(self, unix_ms: float) -> int:
        """A start time on the monotonic clock. 0 stays 0, for long ago; nothing else becomes 0."""
        if not unix_ms:
            return 0
        return (round(unix_ms * 1000) + self.offset_us) or 1

    def encode_entry(self, server: Server, address: Address) -> dict[str, Any]:
        """A server in discovery's form, as `decode_update` reads it."""
        started_ms = (server.started_us - self.offset_us) / 1000 if server.started_us else 0
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
    """A number that is finite and from 0 to a maximum; 0 for any other value."""
    value = entry.get(name) or 0
    is_valid = isinstance(value, int | float) and 0 <= value <= maximum  # also false for not-a-number
    return float(value) if is_valid else 0.0
