"""A simulated scan server: cores that running work shares, a queue, a warm-up, and a table of connections.

Sources: the operators' page on the benchmark (slots, queue, loss of efficiency, warm-up, collapse under
load, connection limits) and the protocol page (what is answered when). Where they give no formula, the
assumption is stated here and listed in docs/simulation.md.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable

from thistletrail.simulation.clock import Clock, S
from thistletrail.simulation.scenario import Scenario
from thistletrail.simulation.streams import Stream

# Interval at which the rate of a server that is warming up is recomputed while nothing else happens there.
WARM_UP_STEP_US = 100_000
# Slack of the limit on work while warming up, in requests of mean work, as the work of requests is random.
WARM_UP_SLACK_WORKS = 4.0

# Called with the result: "served", "error", "full" (at capacity), "lost" (reset) or "silent" (no answer).
EndCallback = Callable[["Work", str], None]


class Work:
    """A request at a scan server.

    `on_end` is called once, at the server's side of the network. `context` is for the caller's own use.
    """

    __slots__ = ("context", "expires_us", "on_end", "state", "work_us")

    def __init__(self, work_us: float, expires_us: int, on_end: EndCallback) -> None:
        """`work_us` is in microseconds of one core; at `expires_us` the gateway stops waiting."""
        self.work_us, self.expires_us, self.on_end = work_us, expires_us, on_end
        self.state = "new"  # then "waiting", "working" or "over"


class Traits:
    """The properties that all scan servers of a run share, drawn once and named as in the scenario."""

    def __init__(self, scenario: Scenario, stream: Stream) -> None:
        spec = scenario.servers
        self.cores = spec.cores
        self.slots = max(spec.cores, round(stream.uniform_in(spec.slots) * spec.cores))
        self.queue = round(stream.uniform_in(spec.queue) * spec.cores)
        self.thrash, self.thrash_at = stream.uniform_in(spec.thrash), stream.uniform_in(spec.thrash_at)
        self.cold_from = max(scenario.cold_from, stream.uniform_in(spec.cold_from))
        self.cold_us = min(scenario.warm_within_s, stream.uniform_in(spec.cold_s)) * S
        self.connections, self.full_tax = spec.connections, stream.uniform_in(spec.full_tax)
        self.handshake_us = stream.uniform_in(spec.handshake_us)
        self.handshake_rtts = stream.uniform_in(spec.handshake_rtts)
        self.error_rate = stream.uniform_in(spec.error_rate)
        # Both are drawn in any case, so that a scenario that sets them leaves the later draws as they are.
        drawn = stream.chance(0.5), stream.chance(0.5)
        self.drops_cancelled = drawn[0] if spec.drops_cancelled is None else spec.drops_cancelled
        self.drops_expired = drawn[1] if spec.drops_expired is None else spec.drops_expired
        self.speed, self.speed_cv = stream.uniform_in(spec.speed), stream.uniform_in(spec.speed_cv)
        self.fall_multiple, self.fall_us = scenario.fall_multiple, scenario.fall_s * S
        self.idle_us = spec.idle_s * S


class ScanServer:
    """One server process on a machine of its own. It does not know gateways, only their open connections."""

    __slots__ = (
        "cell",
        "clock",
        "connections",
        "error_share",
        "fails_fast",
        "has_collapsed",
        "is_alive",
        "is_draining",
        "is_warming_up",
        "mean_work_us",
        "name",
        "rate",
        "running",
        "serial",
        "served",
        "slowdown",
        "speed",
        "started_us",
        "step_serial",
        "stream",
        "traits",
        "useful_us",
        "virtual_updated_us",
        "virtual_us",
        "waiting",
        "warm_up_level_us",
        "warm_up_updated_us",
        "work_by_gateway",
        "worked_us",
        "zone",
    )

    def __init__(
        self,
        clock: Clock,
        traits: Traits,
        stream: Stream,
        name: str,
        place: tuple[int, int],
        mean_work_us: float,
        cold: bool,
    ) -> None:
        """Create a server at `place`, its zone and cell.

        If it is cold, it starts now and has to warm up; otherwise it started long ago.
        """
        self.clock, self.traits, self.stream, self.name = clock, traits, stream, name
        self.zone, self.cell = place
        self.mean_work_us = mean_work_us
        self.speed = max(0.3, stream.lognormal(traits.speed, traits.speed_cv))
        self.is_warming_up, self.started_us = cold, clock.now if cold else 0
        self.is_alive, self.is_draining, self.has_collapsed = True, False, False
        # Faults: a factor on the time of work, the share of errors, and whether errors come without work.
        self.slowdown, self.error_share, self.fails_fast = 1.0, 0.0, False
        self.connections = self.served = 0
        self.waiting: deque[Work] = deque()
        # Processor sharing by virtual time: all running work progresses at the same rate, so that each work
        # ends at a fixed virtual time, by which the heap is ordered.
        self.running: list[tuple[float, int, Work]] = []
        self.virtual_us, self.virtual_updated_us, self.rate = 0.0, clock.now, 0.0
        self.serial = itertools.count()
        # The serial number of the newest scheduled step. Earlier steps are void.
        self.step_serial = 0
        # Work received while warming up, drained by time. The limit on work while warming up applies to it.
        self.warm_up_level_us, self.warm_up_updated_us = 0.0, clock.now
        # Work received while warming up, by gateway, to find the cause of a collapse.
        self.work_by_gateway: dict[int, float] = {}
        self.worked_us = 0.0  # work done
        self.useful_us = 0.0  # work done for answers that served a client

    # --- capacity ---

    def warm_up_share(self) -> float:
        """Return the present share of its full capacity, which rises linearly from `cold_from` to 1."""
        if not self.is_warming_up:
            return 1.0
        progress = (self.clock.now - self.started_us) / self.traits.cold_us
        if progress >= 1:
            self.is_warming_up = False
            return 1.0
        return self.traits.cold_from + (1 - self.traits.cold_from) * progress

    def capacity(self) -> float:
        """Return the work that it can do, in cores at the usual speed."""
        return self.traits.cores * self.speed / self.slowdown * self.warm_up_share()

    def efficiency(self) -> float:
        """Return the share of its capacity that many requests and many connections leave.

        The pages give no formula: both losses are taken as linear.
        """
        requests_per_core = (len(self.running) + len(self.waiting)) / self.traits.cores
        thrash = self.traits.thrash * max(0.0, requests_per_core / self.traits.thrash_at - 1)
        connection_cost = self.traits.full_tax * min(1.0, self.connections / max(1, self.traits.connections))
        return (1 - connection_cost) / (1 + thrash)

    def advance(self) -> None:
        """Advance running work to the present, at the rate since the last change."""
        now_us = self.clock.now
        done_us = (now_us - self.virtual_updated_us) * self.rate
        self.virtual_us += done_us
        self.worked_us += done_us * len(self.running)
        self.virtual_updated_us = now_us

    def schedule_step(self) -> None:
        """Recompute the rate and schedule a step at the next end of work."""
        self.step_serial += 1
        count = len(self.running)
        if not count:
            self.rate = 0.0
            return
        cores = self.traits.cores
        self.rate = self.capacity() * self.efficiency() / cores * min(1.0, cores / count)
        wait_us = max(0.0, (self.running[0][0] - self.virtual_us) / self.rate)
        if self.is_warming_up:
            wait_us = min(wait_us, WARM_UP_STEP_US)
        self.clock.after(wait_us + 1, self.step, self.step_serial)

    def step(self, step_serial: int) -> None:
        """End the work that is done and start what waits."""
        if step_serial != self.step_serial or not self.is_alive:
            return
        self.advance()
        done = []
        while self.running and self.running[0][0] <= self.virtual_us + 1e-6:
            done.append(heapq.heappop(self.running)[2])
        self.start_waiting()
        self.schedule_step()
        for work in done:
            error_share = max(self.error_share, self.traits.error_rate)
            self.end_work(work, "error" if self.stream.uniform() < error_share else "served")

    def start_waiting(self) -> None:
        """Start waiting work while there are free slots."""
        while self.waiting and len(self.running) < self.traits.slots:
            work = self.waiting.popleft()
            if work.state == "over":
                continue
            if self.traits.drops_expired and self.clock.now >= work.expires_us:
                self.end_work(work, "full")
                continue
            self.start_work(work)

    def start_work(self, work: Work) -> None:
        """Run work in a free slot; it ends once it has had `work_us` of a core."""
        work.state = "working"
        heapq.heappush(self.running, (self.virtual_us + work.work_us, next(self.serial), work))

    def end_work(self, work: Work, result: str) -> None:
        """End work with a result, unless it has ended before."""
        if work.state == "over":
            return
        work.state = "over"
        self.served += result == "served"
        work.on_end(work, result)

    # --- connections and requests ---

    def connect(self) -> bool:
        """Accept a gateway's new connection if there is room. Return whether it was accepted."""
        if not self.is_alive or self.connections >= self.traits.connections:
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        """Close a connection of a gateway."""
        self.connections = max(0, self.connections - 1)

    def accept(self, work: Work, gateway: int, handshake_work_us: float) -> None:
        """Handle a request that has arrived in full; `handshake_work_us` is 0 on an open connection."""
        if not self.is_alive:
            work.state = "over"
            work.on_end(work, "lost")
            return
        if self.is_warming_up and self.exceeds_warm_up_limit(work.work_us, gateway):
            self.collapse()
            work.state = "over"
            work.on_end(work, "lost")
            return
        if self.fails_fast and self.stream.uniform() < self.error_share:
            self.end_work(work, "error")  # at once, without having done the work
            return
        if self.is_draining:
            self.end_work(work, "full")
            return
        work.work_us += handshake_work_us
        self.advance()
        if len(self.running) < self.traits.slots:
            self.start_work(work)
        elif len(self.waiting) < self.traits.queue:
            work.state = "waiting"
            self.waiting.append(work)
        else:
            self.schedule_step()
            self.end_work(work, "full")
            return
        self.schedule_step()

    def cancel(self, work: Work) -> None:
        """Handle a gateway's cancellation: running work continues, waiting work may be dropped."""
        if work.state == "waiting" and self.traits.drops_cancelled:
            work.state = "over"
            self.waiting.remove(work)

    # --- the limit on work while warming up ---

    def exceeds_warm_up_limit(self, work_us: float, gateway: int) -> bool:
        """Add work that has been received, and return whether it exceeds the limit while warming up.

        The limit is `fall_multiple` times the present capacity over the window, and some slack for chance.
        """
        now_us, max_rate = self.clock.now, self.traits.fall_multiple * self.capacity()
        drained_us = (now_us - self.warm_up_updated_us) * max_rate
        self.warm_up_level_us = max(0.0, self.warm_up_level_us - drained_us) + work_us
        self.warm_up_updated_us = now_us
        self.work_by_gateway[gateway] = self.work_by_gateway.get(gateway, 0.0) + work_us
        limit_us = max_rate * self.traits.fall_us + WARM_UP_SLACK_WORKS * self.mean_work_us
        return self.warm_up_level_us > limit_us

    def collapse(self) -> None:
        """Crash under too much load while warming up."""
        self.has_collapsed = True
        self.stop()

    # --- start and stop ---

    def stop(self, silent: bool = False) -> None:
        """End the process and reset its connections; if `silent`, the machine vanishes without a reset."""
        self.advance()
        self.is_alive = False
        self.step_serial += 1
        works = [work for _, _, work in self.running] + list(self.waiting)
        self.running, self.rate, self.connections = [], 0.0, 0
        self.waiting.clear()
        for work in works:
            self.end_work(work, "silent" if silent else "lost")

    def start(self) -> None:
        """Start a new process under the same name. It has no work and has to warm up."""
        self.is_alive, self.is_draining, self.has_collapsed, self.is_warming_up = True, False, False, True
        self.started_us = self.virtual_updated_us = self.warm_up_updated_us = self.clock.now
        self.warm_up_level_us = 0.0
        self.work_by_gateway = {}

    def busy(self) -> int:
        """Return the number of requests that are running."""
        return len(self.running)
