"""Slow start: how much of its traffic a server gets that started or came back from ejection recently."""

import random

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.server_set import ServerSet, is_small_fleet
from thistletrail.policy.settings import Settings
from thistletrail.policy.traffic_estimates import TrafficEstimates
from thistletrail.policy.units import MICROSECONDS_PER_SECOND
from thistletrail.policy.upstream_server import UpstreamServer

MIN_CAPACITY_FRACTION = 0.01  # for which attempts are spaced: a server that can do nothing is not waited for


class SlowStart:
    """Decides by how much servers that warm up are passed over, and how their attempts are spaced."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        servers: ServerSet,
        traffic: TrafficEstimates,
        draws: random.Random,
    ) -> None:
        self.context = context
        self.servers = servers
        self.traffic = traffic
        self.draws = draws
        self.gateway_count = settings.gateway_count
        self.is_small_fleet = is_small_fleet(settings)
        self.cold_capacity = settings.cold_capacity
        self.warm_up_us = settings.warm_up_us

    def warm_before_us(self) -> int:
        """A server whose warm-up started then or earlier is warm."""
        return self.context.now_us - max(1, self.warm_up_us)

    def capacity_fraction(self, server: UpstreamServer) -> float:
        """The least fraction of its capacity that a started or returned server has by now."""
        age = (self.context.now_us - server.warm_up_start_us) / max(1, self.warm_up_us)
        if age >= 1 or not server.warm_up_start_us:
            return 1.0
        return self.cold_capacity + (1 - self.cold_capacity) * age

    def traffic_fraction(self, server: UpstreamServer) -> float:
        """The fraction of a warm server's traffic that this one may have.

        Where many gateways spread it thin, that rises ahead of the least capacity that it has by now, as it
        is far from the multiple of that at which servers collapse.
        """
        capacity = self.capacity_fraction(server)
        if self.is_small_fleet:
            return capacity
        return min(1.0, 2 * capacity - min(capacity, self.cold_capacity))

    def has_turn(self, server: UpstreamServer) -> bool:
        """Whether a server that may be cold is not passed over this time."""
        fraction = self.traffic_fraction(server)
        if fraction >= 1:
            return True
        return self.context.now_us >= server.next_attempt_us and self.draws.random() < fraction

    def spacing_us(self, server: UpstreamServer) -> int:
        """How long the next attempt to a server waits after this one.

        A server that started or came back gets its fraction of what others are sent here, spaced out. In a
        large fleet that is an attempt in many seconds: to wait for so long after each would leave it idle.
        """
        if not self.is_small_fleet:
            return 0
        usual_per_s = max(
            1 / self.gateway_count,
            self.traffic.first_attempts_per_s / max(1, len(self.servers.available)),
        )
        capacity = max(MIN_CAPACITY_FRACTION, self.capacity_fraction(server))
        return round(MICROSECONDS_PER_SECOND / capacity / usual_per_s)

    def usable_capacity(self) -> float:
        """What the available servers can do by now, in warm servers; ejected ones can do nothing."""
        return sum(
            self.traffic_fraction(server) for server in self.servers.available if not server.is_ejected
        )
