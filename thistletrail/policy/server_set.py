"""The servers of the endpoint list, and the mean latency and load over all of them."""

from thistletrail.policy.actions import WatchEndpoints
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, ServerState
from thistletrail.policy.health_gossip import by_fingerprint
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import LATENCY_SMOOTHING
from thistletrail.policy.upstream_server import UpstreamServer

# Up to this size of the fleet, gateways know the servers' load from their own attempts; beyond it, by gossip.
SMALL_FLEET_MAX_GATEWAYS = 8
INITIAL_LATENCY_RATIO = 0.2  # latency over the objective, before the first answer
LATENCY_RATIO_SMOOTHING = 0.15  # weight of one answer, at any gateway, in a server's mean
# Updates that do not replace the list: after a failed call of discovery, the last list stays in use.
PARTIAL_UPDATES = (EndpointUpdateKind.CHANGES, EndpointUpdateKind.FAILED)
# Updates that show that there is no watch on the endpoint list.
UNWATCHED_UPDATES = (EndpointUpdateKind.CACHED, EndpointUpdateKind.FAILED)


def is_small_fleet(settings: Settings) -> bool:
    """Return whether there are so few gateways that each knows the servers' load from its own attempts."""
    return settings.gateway_count <= SMALL_FLEET_MAX_GATEWAYS


class ServerSet:
    """The known servers by name, and those that may be sent new requests (`available`)."""

    def __init__(self, settings: Settings, context: EventContext) -> None:
        self.must_subscribe = settings.must_subscribe
        self.context = context
        self.by_name: dict[str, UpstreamServer] = {}
        self.available: list[UpstreamServer] = []
        self.names_by_fingerprint: dict[int, str] = {}
        self.mean_latency_ratio = INITIAL_LATENCY_RATIO  # also assumed for a new server
        self.mean_reported_load = 0.0

    def update(self, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list; a server that restarted loses what was observed of it.

        Request a watch on the list if it must be subscribed to and the update shows that there is none.
        """
        if self.must_subscribe and update.kind in UNWATCHED_UPDATES:
            self.context.emit(WatchEndpoints(True))
        if update.kind not in PARTIAL_UPDATES:
            listed_names = {entry.name for entry in update.servers}
            self.by_name = {name: server for name, server in self.by_name.items() if name in listed_names}
        for entry in update.servers:
            server = self.by_name.get(entry.name)
            if server is None or server.entry.started_us != entry.started_us:
                server = UpstreamServer(entry, self.mean_latency_ratio)
                self.by_name[entry.name] = server
            server.entry = entry
            if entry.state is ServerState.GONE:  # the name is not reused
                del self.by_name[entry.name]
        self.available = [
            server for server in self.by_name.values() if server.entry.state is ServerState.SERVING
        ]
        self.names_by_fingerprint = by_fingerprint(self.by_name)

    def find_by_fingerprint(self, fingerprint: int) -> UpstreamServer | None:
        """Return the server with a fingerprint, or None if it is unknown or shared by several servers."""
        return self.by_name.get(self.names_by_fingerprint.get(fingerprint, ""))

    def record_latency_ratio(self, server: UpstreamServer, latency_ratio: float, answers: int) -> None:
        """Record the mean latency over the objective of a number of answers, received at any gateway."""
        server_weight = 1 - (1 - LATENCY_RATIO_SMOOTHING) ** answers
        server.latency_ratio += server_weight * (latency_ratio - server.latency_ratio)
        fleet_smoothing = LATENCY_RATIO_SMOOTHING / max(1, len(self.by_name))
        fleet_weight = 1 - (1 - fleet_smoothing) ** answers
        self.mean_latency_ratio += fleet_weight * (latency_ratio - self.mean_latency_ratio)

    def record_load(self, server: UpstreamServer, load: float) -> None:
        """Record the load that a server reports."""
        server.reported_load = load
        server.reported_load_at_us = self.context.now_us
        self.mean_reported_load += LATENCY_SMOOTHING * (load - self.mean_reported_load)

    def decay_towards_mean(self) -> None:
        """Move each server's latency figures towards the mean, once a control period.

        A slow server that is sent nothing has no new samples, and would never be chosen again otherwise.
        """
        for server in self.by_name.values():
            server.slowness += LATENCY_SMOOTHING * (1 - server.slowness)
            server.latency_ratio += LATENCY_SMOOTHING * (self.mean_latency_ratio - server.latency_ratio)
