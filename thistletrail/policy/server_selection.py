"""Which upstream server an attempt goes to: the one with the least expected wait among a few candidates."""

import random

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.health_gossip import HealthGossip
from thistletrail.policy.pending_request import PendingRequest
from thistletrail.policy.server_set import ServerSet, is_small_fleet
from thistletrail.policy.settings import Effect, IdempotencyScope, Settings
from thistletrail.policy.slow_start import SlowStart
from thistletrail.policy.units import MICROSECONDS_PER_SECOND
from thistletrail.policy.upstream_server import UpstreamServer

# Candidates for one attempt. Many gateways that all took the emptiest server would flood it. A few gateways
# know what is in flight by their own attempts; many go by late gossip, and two candidates keep herds small.
CANDIDATES_OF_SMALL_FLEET = 8
CANDIDATES_OF_LARGE_FLEET = 2
MIN_LATENCY_RATIO = 0.02  # latency over the objective, below which servers count as equally fast
# What a new connection weighs, in attempts in flight at a server, for each point that it costs of a first
# attempt.
HANDSHAKE_WEIGHT = 20.0
HALF_OPEN_FRACTION = (
    0.05  # of a large fleet's attempts that may go to ejected servers: who makes one reports it
)
REPORT_FRESH_US = 1.5 * MICROSECONDS_PER_SECOND  # a load report older than this says nothing
MIN_MEAN_LOAD = 0.01  # by which reported load is divided
CROSS_ZONE_WEIGHT = 10  # by which the price of another zone lengthens the expected wait


class ServerSelector:
    """Chooses servers by health, by where a request may be repeated, and by expected wait."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        servers: ServerSet,
        slow_start: SlowStart,
        gossip: HealthGossip,
        draws: random.Random,
    ) -> None:
        self.settings = settings
        self.context = context
        self.servers = servers
        self.slow_start = slow_start
        self.gossip = gossip
        self.draws = draws
        self.is_small_fleet = is_small_fleet(settings)

    def choose(self, request: PendingRequest) -> UpstreamServer | None:
        """The server for the request's next attempt, or None where it can go nowhere now."""
        ready = self.ready_servers(request)
        if self.is_small_fleet:
            count = min(CANDIDATES_OF_SMALL_FLEET, len(ready))
            return min(self.draws.sample(ready, count), key=self.expected_wait, default=None)
        candidates = self.draws.sample(ready, min(CANDIDATES_OF_LARGE_FLEET, len(ready)))
        if self.settings.handshake_price:  # each gateway keeps to the servers that it has connections to
            connected = [server for server in ready if len(server.in_flight) < server.connections]
            candidates += self.draws.sample(connected, min(CANDIDATES_OF_LARGE_FLEET, len(connected)))
        return min(candidates, key=self.expected_wait, default=None)

    def ready_servers(self, request: PendingRequest) -> list[UpstreamServer]:
        """The servers that rules and health allow, without the cold ones that are passed over this time.

        All servers are looked through for each attempt, so what holds for nearly all of them is inlined: over
        200 servers this takes 20 to 26 us, and 35 to 55 us with a call for each test.
        """
        now_us = self.context.now_us
        attempted = request.attempted_servers
        may_be_half_open = request.request_class.effect is not Effect.UNSAFE and (
            self.is_small_fleet or self.draws.random() < HALF_OPEN_FRACTION
        )
        permitted = self.permitted_servers(request)
        healthy = [
            server
            for server in permitted
            if now_us >= server.avoid_until_us
            and not (server.is_ejected and (server.in_flight or not may_be_half_open))
            and not (attempted and server in attempted)
        ] or permitted
        warm_before_us = self.slow_start.warm_before_us()
        has_turn = self.slow_start.has_turn
        # All gateways may see a cold server as the emptiest: each passes it over as often as it is cold.
        return [server for server in healthy if server.warm_up_start_us <= warm_before_us or has_turn(server)]

    def permitted_servers(self, request: PendingRequest) -> list[UpstreamServer]:
        """Where the request may run, given that it may have run already."""
        first = request.may_have_run_on
        if first is None or request.request_class.effect is Effect.IDEMPOTENT:
            return self.servers.available
        return [server for server in self.servers.available if self.drops_repeats(request, first, server)]

    def drops_repeats(self, request: PendingRequest, first: UpstreamServer, server: UpstreamServer) -> bool:
        """Whether a server recognises the idempotency key of a request that may have run on the first one."""
        rule = request.request_class
        if rule.effect is not Effect.IDEMPOTENT_BY_KEY:
            return False
        if self.context.now_us >= request.may_have_run_since_us + rule.idempotency_window_us:
            return False
        if rule.idempotency_scope is IdempotencyScope.ALL:
            return True
        if rule.idempotency_scope is IdempotencyScope.ZONE:
            return server.entry.zone == first.entry.zone
        return server.entry.cell == first.entry.cell

    def expected_wait(self, server: UpstreamServer) -> float:
        """What waits at a server, by how slow and how loaded it is; comparable between servers only."""
        in_flight = len(server.in_flight)
        waiting = 0 if server.is_ejected else in_flight + 1  # a half-open attempt that is due goes first
        is_cross_zone = server.entry.zone != self.settings.zone
        distance = 1 + CROSS_ZONE_WEIGHT * self.settings.cross_zone_price * is_cross_zone
        if not self.is_small_fleet and waiting:
            needs_connection = in_flight >= server.connections
            handshake = HANDSHAKE_WEIGHT * self.settings.handshake_price * needs_connection
            waiting_of_all = waiting + handshake + self.gossip.in_flight_at(server.fingerprint)
            return waiting_of_all * max(MIN_LATENCY_RATIO, server.latency_ratio) * distance
        return waiting * server.slowness * self.load_pressure(server) * distance

    def load_pressure(self, server: UpstreamServer) -> float:
        """How loaded a server reports to be, compared with the mean; 1 without a fresh report."""
        if server.reported_load is None:
            return 1.0
        if self.context.now_us - server.reported_load_at_us >= REPORT_FRESH_US:
            return 1.0
        return 0.5 + server.reported_load / max(MIN_MEAN_LOAD, self.servers.mean_reported_load) / 2
