"""Which scan server an attempt goes to, and which are well: own attempts, and what peers tell of theirs."""

from thistletrail.policy.actions import WatchEndpoints
from thistletrail.policy.base import NEVER, Base, Job, S
from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, HealthDigest, Server, ServerState
from thistletrail.policy.health_gossip import HealthGossip, by_fingerprint, fingerprint
from thistletrail.policy.settings import Effect, IdempotencyScope, Settings

SMOOTH = 0.1  # weight of a new latency in a running mean
# Servers looked at for one attempt: many gateways that all take the emptiest would flood it. A few gateways
# know what is out by their own attempts; many go by what is told late, and two keep what they pile up small.
FEW_GATEWAYS, CHOICES, CHOICES_OF_MANY = 8, 8, 2
LEAST_LAG, USUAL_LAG = 0.02, 0.2  # the second: latency over the aim, before anything is known
# What a new connection weighs, in attempts out at a server, for each point that it costs of a first try.
HANDSHAKE_WEIGHT = 20.0
LAG_SMOOTH = 0.15  # weight of one answer in a server's mean latency over the aim, whoever got it
PEER_PART = 0.5  # of a failure: how much one that a peer tells of counts
TRIAL_SHARE = 0.05  # of the attempts of many gateways may go to suspect servers: whoever makes a trial tells
SUSPECT_AT = 1.7  # two failures running, or a mix with more failures than answers
BROKEN_PART = 0.5  # of a failure: how much a spoilt answer or a reset counts
SUSPECT_US, SUSPECT_MAX_US = S, 8 * S  # the first and the longest time without a trial
REPORT_FRESH_US = 1.5 * S  # a load report older than this says nothing


class Backend:
    def __init__(self, entry: Server) -> None:
        self.entry, self.mark = entry, fingerprint(entry.name)
        self.out: dict[tuple[str, int], int] = {}  # attempts out and when each was sent
        self.heard_us = self.avoid_until = self.next_us = self.backoff_us = self.suspect_us = 0
        self.slowness, self.failures = 1.0, 0.0  # latency over the mean of its class; failures of late
        self.connections = 0  # that should be open: as many as were out at once, less those that broke
        self.latency_ratio = 0.0  # mean latency over the aim, for all gateways together
        self.on_trial, self.load, self.load_at = False, None, 0
        self.warm_from = entry.started_us  # start of its ramp: its start, or its return from suspicion


class Choice(Base):
    """Owns the servers, their health, and what the fleet has told of them."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.servers, self.up = {}, []  # by name; those that may be sent new work
        self.fleet = HealthGossip(settings.gateway_count - 1, self.random.getrandbits(8))
        self.marks: dict[int, str] = {}  # the servers' names by their checksums
        self.mean_lag = USUAL_LAG  # of all servers: what one that nobody has met is taken for
        self.rate, self.mean_load = 0.0, 0.0  # first attempts a second; load of the servers, as they say

    def on_list(self, news: EndpointUpdate) -> None:
        if self.set.must_subscribe and news.kind in (EndpointUpdateKind.CACHED, EndpointUpdateKind.FAILED):
            self.actions.append(WatchEndpoints(True))
        named = {entry.name for entry in news.servers}
        part = news.kind in (
            EndpointUpdateKind.CHANGES,
            EndpointUpdateKind.FAILED,
        )  # after a failure the old list holds
        self.servers = {name: known for name, known in self.servers.items() if part or name in named}
        for entry in news.servers:
            known = self.servers.get(entry.name)
            if known is None or known.entry.started_us != entry.started_us:
                known = self.servers[entry.name] = Backend(entry)
                known.latency_ratio = self.mean_lag
            known.entry = entry
            if entry.state is ServerState.GONE:  # its id does not come again
                del self.servers[entry.name]
        self.up = [server for server in self.servers.values() if server.entry.state is ServerState.UP]
        self.marks, self.capacity = by_fingerprint(self.servers), self.measure_capacity()

    def hear(self, digest: HealthDigest) -> None:
        """What a peer saw counts as if it had been seen here, its failures in part."""
        self.told_occup += min(1.0, digest.occupancy) * digest.samples
        self.told_samples += digest.samples
        for note in digest.observations:
            server = self.servers.get(self.marks.get(note.server, ""))
            if server is None:
                continue
            if note.successes:
                self.note_lag(server, note.latency_ratio, note.successes)
            if note.failures and not note.successes:
                server.failures += PEER_PART * note.failures - 1
                self.note_result(server, False)
            elif note.successes and not note.failures and self.now >= server.avoid_until:
                self.note_result(server, True)

    def note_lag(self, server: Backend, latency_ratio: float, answers: int) -> None:
        server.latency_ratio += (1 - (1 - LAG_SMOOTH) ** answers) * (latency_ratio - server.latency_ratio)
        self.mean_lag += (1 - (1 - LAG_SMOOTH / max(1, len(self.servers))) ** answers) * (
            latency_ratio - self.mean_lag
        )

    def choose(self, job: Job) -> Backend | None:
        """The least expected wait among a few of those that the rules and their health allow."""
        few, now, tried = self.set.gateway_count <= FEW_GATEWAYS, self.now, job.servers
        trial = job.rule.effect is not Effect.UNSAFE and (few or self.random.random() < TRIAL_SHARE)
        # The whole fleet is looked through for each attempt: what holds for nearly all of it makes no calls.
        anywhere = job.ran_on is None or job.rule.effect is Effect.IDEMPOTENT
        allowed = self.up if anywhere else [server for server in self.up if self.in_group(job, server)]
        usable = [
            server
            for server in allowed
            if now >= server.avoid_until
            and not (server.on_trial and (server.out or not trial))
            and not (tried and server in tried)
        ] or allowed
        # All gateways may see a cold server as the emptiest: each passes it over as often as it is cold.
        warm_since = now - max(1, self.set.warm_up_us)
        room = [server for server in usable if server.warm_from <= warm_since or self.has_turn(server)]
        if few:
            return min(self.random.sample(room, min(CHOICES, len(room))), key=self.cost, default=None)
        looked_at = self.random.sample(room, min(CHOICES_OF_MANY, len(room)))
        if self.set.handshake_price:  # each gateway keeps to the servers that it has connections to
            met = [server for server in room if len(server.out) < server.connections]
            looked_at += self.random.sample(met, min(CHOICES_OF_MANY, len(met)))
        return min(looked_at, key=self.cost, default=None)

    def has_turn(self, server: Backend) -> bool:
        """Whether one that may be cold is not passed over this time."""
        part = self.part(server)
        return part >= 1 or (self.now >= server.next_us and self.random.random() < part)

    def in_group(self, job: Job, server: Backend) -> bool:
        """One that may have run and is not safe: if keyed, it stays where its repeats are dropped, while they
        are."""
        rule, first = job.rule, job.ran_on
        place = "zone" if rule.idempotency_scope is IdempotencyScope.ZONE else "cell"
        same = rule.idempotency_scope is IdempotencyScope.ALL or getattr(server.entry, place) == getattr(
            first.entry, place
        )
        return (
            same
            and rule.effect is Effect.IDEMPOTENT_BY_KEY
            and self.now < job.ran_us + rule.idempotency_window_us
        )

    def cost(self, server: Backend) -> float:
        """Expected wait: work out there, how slow it is, how loaded it says it is."""
        fresh = server.load is not None and self.now - server.load_at < REPORT_FRESH_US
        pressure = 0.5 + server.load / max(0.01, self.mean_load) / 2 if fresh else 1.0
        far = 1 + 10 * self.set.cross_zone_price * (server.entry.zone != self.set.zone)
        waits = 0 if server.on_trial else len(server.out) + 1  # a trial that is due goes first
        if self.set.gateway_count > FEW_GATEWAYS and waits:
            new = HANDSHAKE_WEIGHT * self.set.handshake_price * (len(server.out) >= server.connections)
            return (
                (waits + new + self.fleet.in_flight_at(server.mark))
                * max(LEAST_LAG, server.latency_ratio)
                * far
            )
        return waits * server.slowness * pressure * far

    def warmth(self, server: Backend) -> float:
        """The least part of its capacity that a started or returned server has by now."""
        age, cold = (self.now - server.warm_from) / max(1, self.set.warm_up_us), self.set.cold_capacity
        return 1.0 if age >= 1 or not server.warm_from else cold + (1 - cold) * age

    def part(self, server: Backend) -> float:
        """The part of what a warm server is sent that this one may have. Where many gateways spread it thin,
        that rises ahead of the least that it can do by now, as it is far from fall_multiple times that."""
        warmth = self.warmth(server)
        few = self.set.gateway_count <= FEW_GATEWAYS
        return warmth if few else min(1.0, 2 * warmth - min(warmth, self.set.cold_capacity))

    def spacing(self, server: Backend) -> int:
        """A server that started or came back gets its part of what others are sent here, spaced out. Where
        that is an attempt in many seconds, to wait for so long after each would leave it idle."""
        if self.set.gateway_count > FEW_GATEWAYS:
            return 0
        usual = max(1 / self.set.gateway_count, self.rate / max(1, len(self.up)))
        return round(S / max(0.01, self.warmth(server)) / usual)

    def note_result(self, server: Backend, ok: bool, sent_us: int = NEVER) -> None:
        """Any kind of failure makes a server suspect; it comes back by a trial, then by the cold ramp. What
        was sent before is no trial: one that drains still answers that."""
        server.failures = server.failures / 2 if ok else server.failures + 1
        if ok and server.on_trial and sent_us >= server.suspect_us:
            server.on_trial, server.backoff_us, server.failures = False, 0, 0.0
            server.warm_from = max(server.warm_from, self.now - self.set.warm_up_us // 2)
        elif not ok and (server.failures >= SUSPECT_AT or server.on_trial) and self.now >= server.avoid_until:
            server.backoff_us = min(SUSPECT_MAX_US, max(SUSPECT_US, server.backoff_us * 2))
            server.avoid_until, server.on_trial = self.now + server.backoff_us, True
            server.suspect_us = self.now

    def note_broken(self, server: Backend) -> None:
        """It is there, but an answer was spoilt or a connection ended, as any may now and then: only one
        that does little else is suspect. One that has died refuses new connections."""
        server.failures += BROKEN_PART - 1
        self.note_result(server, False)
