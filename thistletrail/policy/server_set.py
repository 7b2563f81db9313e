"""The servers of the endpoint list, and the means over all of them."""

from thistletrail.policy.actions import WatchEndpoints
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, ServerState
from thistletrail.policy.health_gossip import by_fingerprint
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import LATENCY_SMOOTHING
from thistletrail.policy.upstream_server import UpstreamServer

# A small fleet's gateways know what is in flight by their own attempts; those of a large one go by gossip.
SMALL_FLEET_MAX_GATEWAYS = 8
USUAL_LATENCY_RATIO = 0.2  # latency over the objective, before anything is known
LATENCY_RATIO_SMOOTHING = 0.15  # weight of one answer in a server's mean, whichever gateway had it
PARTIAL_UPDATES = (
    EndpointUpdateKind.CHANGES,
    EndpointUpdateKind.FAILED,
)  # after a failure the old list holds
UNWATCHED_UPDATES = (EndpointUpdateKind.CACHED, EndpointUpdateKind.FAILED)


def is_small_fleet(settings: Settings) -> bool:
    """Whether the gateways are so few that each knows the servers' load by its own attempts."""
    return settings.gateway_count <= SMALL_FLEET_MAX_GATEWAYS


class ServerSet:
    """The known servers by name, and those of them that may be sent new requests."""

    def __init__(self, settings: Settings, context: EventContext) -> None:
        self.must_subscribe = settings.must_subscribe
        self.context = context
        self.by_name: dict[str, UpstreamServer] = {}
        self.available: list[UpstreamServer] = []
        self.names_by_fingerprint: dict[int, str] = {}
        self.mean_latency_ratio = USUAL_LATENCY_RATIO  # what a server that nobody has met is taken for
        self.mean_reported_load = 0.0

    def update(self, update: EndpointUpdate) -> None:
        """Follow the endpoint list; a server that restarted is a new one."""
        if self.must_subscribe and update.kind in UNWATCHED_UPDATES:
            self.context.emit(WatchEndpoints(True))
        if update.kind not in PARTIAL_UPDATES:
            named = {entry.name for entry in update.servers}
            self.by_name = {name: known for name, known in self.by_name.items() if name in named}
        for entry in update.servers:
            known = self.by_name.get(entry.name)
            if known is None or known.entry.started_us != entry.started_us:
                known = UpstreamServer(entry, self.mean_latency_ratio)
                self.by_name[entry.name] = known
            known.entry = entry
            if entry.state is ServerState.GONE:  # its name does not come again
                del self.by_name[entry.name]
        self.available = [server for server in self.by_name.values() if server.entry.state is ServerState.UP]
        self.names_by_fingerprint = by_fingerprint(self.by_name)

    def with_fingerprint(self, fingerprint: int) -> UpstreamServer | None:
        """The server that peers mean by a fingerprint; None where it is unknown or not of one server."""
        return self.by_name.get(self.names_by_fingerprint.get(fingerprint, ""))

    def record_latency_ratio(self, server: UpstreamServer, latency_ratio: float, answers: int) -> None:
        """Count answers, of whichever gateway, whose mean latency was so much of the objective."""
        own_weight = 1 - (1 - LATENCY_RATIO_SMOOTHING) ** answers
        server.latency_ratio += own_weight * (latency_ratio - server.latency_ratio)
        one_of_all = LATENCY_RATIO_SMOOTHING / max(1, len(self.by_name))
        weight_of_all = 1 - (1 - one_of_all) ** answers
        self.mean_latency_ratio += weight_of_all * (latency_ratio - self.mean_latency_ratio)

    def record_load(self, server: UpstreamServer, load: float) -> None:
        """Note what a server reports of its load."""
        server.reported_load = load
        server.reported_load_at_us = self.context.now_us
        self.mean_reported_load += LATENCY_SMOOTHING * (load - self.mean_reported_load)

    def drift_towards_mean(self) -> None:
        """Once a control period: a slow server that is sent nothing must get its chance again."""
        for server in self.by_name.values():
            server.slowness += LATENCY_SMOOTHING * (1 - server.slowness)
            server.latency_ratio += LATENCY_SMOOTHING * (self.mean_latency_ratio - server.latency_ratio)
