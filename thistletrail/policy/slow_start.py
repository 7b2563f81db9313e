"""Slow start: limits the traffic of servers that started or returned from ejection recently."""

import random

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.server_set import ServerSet, is_small_fleet
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import MICROSECONDS_PER_SECOND
from thistletrail.policy.upstream_server import UpstreamServer

MIN_CAPACITY_FRACTION = 0.01  # bounds the spacing of attempts to a server without any capacity yet


class SlowStart:
    """Decides how often servers that are warming up are skipped, and how their attempts are spaced."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        servers: ServerSet,
        traffic: TrafficEstimates,
        generator: random.Random,
    ) -> None:
        self.context = context
        self.servers = servers
        self.traffic = traffic
        self.generator = generator
        self.gateway_count = settings.gateway_count
        self.is_small_fleet = is_small_fleet(settings)
        self.cold_capacity = settings.cold_capacity
        self.warm_up_us = settings.warm_up_us

    def warm_up_cutoff_us(self) -> int:
        """Return the latest time at which a server that is warm by now can have started its warm-up."""
        return self.context.now_us - max(1, self.warm_up_us)

    def capacity_fraction(self, server: UpstreamServer) -> float:
        """Return the minimum fraction of its full capacity that a server has by now."""
        warm_up_progress = (self.context.now_us - server.warm_up_start_us) / max(1, self.warm_up_us)
        if warm_up_progress >= 1 or not server.warm_up_start_us:
            return 1.0
        return self.cold_capacity + (1 - self.cold_capacity) * warm_up_progress

    def traffic_fraction(self, server: UpstreamServer) -> float:
        """Return the fraction of a warm server's traffic that this server may receive.

        In a large fleet the fraction rises ahead of the server's minimum capacity: the traffic is spread over
        many gateways, and stays far below the multiple of capacity at which servers collapse.
        """
        capacity = self.capacity_fraction(server)
        if self.is_small_fleet:
            return capacity
        return min(1.0, 2 * capacity - min(capacity, self.cold_capacity))

    def may_receive_attempt(self, server: UpstreamServer) -> bool:
        """Return whether a server may receive an attempt now.

        A server that is warming up is skipped until its next spaced attempt is due, and at random after that.
        """
        fraction = self.traffic_fraction(server)
        if fraction >= 1:
            return True
        return self.context.now_us >= server.next_attempt_us and self.generator.random() < fraction

    def spacing_us(self, server: UpstreamServer) -> int:
        """Return the minimum time between two attempts to a server, in us.

        In a small fleet, attempts to a server that is warming up are evenly spaced at its fraction of the
        other servers' rate. In a large fleet the result is 0: each gateway sends it an attempt only once in
        many seconds, and waiting for that long after each would leave the server idle.
        """
        if not self.is_small_fleet:
            return 0
        attempts_per_server_per_s = max(
            1 / self.gateway_count,
            self.traffic.first_attempts_per_s / max(1, len(self.servers.available)),
        )
        capacity = max(MIN_CAPACITY_FRACTION, self.capacity_fraction(server))
        return round(MICROSECONDS_PER_SECOND / capacity / attempts_per_server_per_s)

    def usable_capacity(self) -> float:
        """Return the capacity of the available servers by now, in warm servers; ejected ones have none."""
        return sum(
            self.traffic_fraction(server) for server in self.servers.available if not server.is_ejected
        )
