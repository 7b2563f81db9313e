"""Server selection: an attempt goes to the server with the shortest expected wait of a few candidates."""

import random

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.health_gossip import HealthGossip
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.server_set import ServerSet, is_small_fleet
from thistletrail.policy.settings import Effect, IdempotencyScope, Settings
from thistletrail.policy.slow_start import SlowStart
from thistletrail.policy.units import MICROSECONDS_PER_SECOND
from thistletrail.policy.upstream_server import UpstreamServer

# Number of random candidates for one attempt. The few gateways of a small fleet know the servers' load from
# their own attempts. The many of a large one rely on delayed gossip and would all flood the least loaded
# server; with two random candidates each, few of them choose the same one.
CANDIDATES_OF_SMALL_FLEET = 8
CANDIDATES_OF_LARGE_FLEET = 2
MIN_LATENCY_RATIO = 0.02  # latency over the objective; servers below it count as equally fast
# Attempts in flight that a new connection counts as, for each unit of request value that a handshake costs.
HANDSHAKE_WEIGHT = 20.0
# Fraction of a large fleet's attempts that may go to ejected servers; gossip tells the peers the results.
HALF_OPEN_FRACTION = 0.05
REPORT_FRESH_US = 1.5 * MICROSECONDS_PER_SECOND  # older load reports are ignored
MIN_MEAN_LOAD = 0.01  # lower bound of the mean load that reported load is divided by
CROSS_ZONE_WEIGHT = 10  # relative increase of the expected wait per unit of the cross-zone price


class ServerSelector:
    """Chooses servers by health, by whether they may run a repeated request, and by expected wait."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        servers: ServerSet,
        slow_start: SlowStart,
        gossip: HealthGossip,
        generator: random.Random,
    ) -> None:
        self.settings = settings
        self.context = context
        self.servers = servers
        self.slow_start = slow_start
        self.gossip = gossip
        self.generator = generator
        self.is_small_fleet = is_small_fleet(settings)

    def choose(self, request: PendingRequest) -> UpstreamServer | None:
        """Return the server for the request's next attempt, or None if no server can take it now."""
        ready = self.ready_servers(request)
        if self.is_small_fleet:
            count = min(CANDIDATES_OF_SMALL_FLEET, len(ready))
            return min(self.generator.sample(ready, count), key=self.expected_wait, default=None)
        candidates = self.generator.sample(ready, min(CANDIDATES_OF_LARGE_FLEET, len(ready)))
        if self.settings.handshake_price:  # also consider servers with an idle connection
            connected = [server for server in ready if len(server.in_flight) < server.connections]
            candidates += self.generator.sample(connected, min(CANDIDATES_OF_LARGE_FLEET, len(connected)))
        return min(candidates, key=self.expected_wait, default=None)

    def ready_servers(self, request: PendingRequest) -> list[UpstreamServer]:
        """Return the permitted, healthy servers, without those in slow start that are skipped this time.

        Servers to which this request was sent before count as not healthy. If no permitted server is healthy,
        all permitted ones are considered.

        This loop runs over all servers for each attempt, so the checks that nearly all servers pass are
        inlined: 200 servers take 20 to 26 us, and 35 to 55 us with a call for each check.
        """
        now_us = self.context.now_us
        attempted = request.attempted_servers
        is_half_open_allowed = request.request_class.effect is not Effect.UNSAFE and (
            self.is_small_fleet or self.generator.random() < HALF_OPEN_FRACTION
        )
        permitted = self.permitted_servers(request)
        healthy = [
            server
            for server in permitted
            if now_us >= server.avoid_until_us
            and not (server.is_ejected and (server.in_flight or not is_half_open_allowed))
            and not (attempted and server in attempted)
        ] or permitted
        warm_up_cutoff_us = self.slow_start.warm_up_cutoff_us()
        may_receive_attempt = self.slow_start.may_receive_attempt
        # A server that is warming up may look least loaded to all gateways, so each gateway skips it,
        # and does so less often the warmer it gets.
        return [
            server
            for server in healthy
            if server.warm_up_start_us <= warm_up_cutoff_us or may_receive_attempt(server)
        ]

    def permitted_servers(self, request: PendingRequest) -> list[UpstreamServer]:
        """Return the servers that may run the request, given where it may have run already."""
        first_server = request.may_have_run_on
        if first_server is None or request.request_class.effect is Effect.IDEMPOTENT:
            return self.servers.available
        return [
            server
            for server in self.servers.available
            if self.recognises_repeat(request, first_server, server)
        ]

    def recognises_repeat(
        self, request: PendingRequest, first_server: UpstreamServer, server: UpstreamServer
    ) -> bool:
        """Return whether `server` drops a repeat of a request that may have run on `first_server`."""
        request_class = request.request_class
        if request_class.effect is not Effect.IDEMPOTENT_BY_KEY:
            return False
        if self.context.now_us >= request.may_have_run_since_us + request_class.idempotency_window_us:
            return False
        if request_class.idempotency_scope is IdempotencyScope.ALL:
            return True
        if request_class.idempotency_scope is IdempotencyScope.ZONE:
            return server.entry.zone == first_server.entry.zone
        return server.entry.cell == first_server.entry.cell

    def expected_wait(self, server: UpstreamServer) -> float:
        """Return the attempts in flight at a server and this one, weighted by its latency, load and zone.

        In a large fleet, the attempts of peers and a handshake that is needed count as well, and reported
        load does not. The result is only comparable between servers, and only at one gateway.
        """
        in_flight = len(server.in_flight)
        waiting_attempts = 0 if server.is_ejected else in_flight + 1  # prefer a half-open attempt that is due
        is_cross_zone = server.entry.zone != self.settings.zone
        zone_factor = 1 + CROSS_ZONE_WEIGHT * self.settings.cross_zone_price * is_cross_zone
        if not self.is_small_fleet and waiting_attempts:
            needs_connection = in_flight >= server.connections
            handshake_weight = HANDSHAKE_WEIGHT * self.settings.handshake_price * needs_connection
            weighted_in_flight = (
                waiting_attempts + handshake_weight + self.gossip.in_flight_at(server.fingerprint)
            )
            return weighted_in_flight * max(MIN_LATENCY_RATIO, server.latency_ratio) * zone_factor
        return waiting_attempts * server.slowness * self.load_pressure(server) * zone_factor

    def load_pressure(self, server: UpstreamServer) -> float:
        """Return a factor for a server's reported load relative to the mean; 1 without a fresh report."""
        if server.reported_load is None:
            return 1.0
        if self.context.now_us - server.reported_load_at_us >= REPORT_FRESH_US:
            return 1.0
        return 0.5 + server.reported_load / max(MIN_MEAN_LOAD, self.servers.mean_reported_load) / 2
