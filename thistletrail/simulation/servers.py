"""A scan server: cores shared by what is in work, a waiting room, a cold start, and connections it holds.

Sources: the bench page's account of the world (slots, waiting room, loss of efficiency, cold ramp, falling
over, connection caps) and the protocol page (what comes back when). Where they give no formula the one
used is named here and listed in docs/simulation.md.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable

from thistletrail.simulation.clock import Clock, S
from thistletrail.simulation.scenario import Scenario
from thistletrail.simulation.streams import Stream

RAMP_STEP_US = 100_000  # how often a warming server's rate is taken anew while nothing else happens there
CHANCE_SLACK = 4.0  # mean works that may come beyond the budget of a cold server: the rule's slack for chance

Ended = Callable[["Work", str], None]  # how: "served", "error", "full", "dropped", "lost" or "silent"


class Work:
    """A request at a scan server; `ended` is called once, at the server's side of the network."""

    __slots__ = ("ended", "expires_us", "served", "state", "work_us")  # served: whose it is, to its owner

    def __init__(self, work_us: float, expires_us: int, ended: Ended) -> None:
        """`work_us` is in microseconds of one core; at `expires_us` its front door stops waiting."""
        self.work_us, self.expires_us, self.ended = work_us, expires_us, ended
        self.state = "new"  # "waiting", "working" or "over"


class Traits:
    """What all scan servers of a run have in common, drawn once."""

    def __init__(self, scenario: Scenario, stream: Stream) -> None:
        spec = scenario.servers
        self.cores = spec.cores
        self.slots = max(spec.cores, round(stream.span(spec.slots) * spec.cores))
        self.queue = round(stream.span(spec.queue) * spec.cores)
        self.thrash, self.thrash_at = stream.span(spec.thrash), stream.span(spec.thrash_at)
        self.cold_from = max(scenario.cold_from, stream.span(spec.cold_from))
        self.cold_us = min(scenario.warm_within_s, stream.span(spec.cold_s)) * S
        self.connections, self.full_tax = spec.connections, stream.span(spec.full_tax)
        self.handshake_us, self.rtts = stream.span(spec.handshake_us), stream.span(spec.handshake_rtts)
        self.error_rate = stream.span(spec.error_rate)
        drawn = stream.chance(0.5), stream.chance(0.5)
        self.drops_cancelled = drawn[0] if spec.drops_cancelled is None else spec.drops_cancelled
        self.drops_expired = drawn[1] if spec.drops_expired is None else spec.drops_expired
        self.speed, self.speed_cv = stream.span(spec.speed), stream.span(spec.speed_cv)
        self.fall_multiple, self.fall_us = scenario.fall_multiple, scenario.fall_s * S
        self.idle_us = spec.idle_s * S


class ScanServer:
    """One process on one machine. It knows nothing of front doors but the connections they hold."""

    __slots__ = (
        "alive",
        "bad",
        "budget",
        "budget_at",
        "cell",
        "clock",
        "cold",
        "connections",
        "draining",
        "fallen",
        "fast_errors",
        "finish",
        "mean_work_us",
        "name",
        "rate",
        "sent_by",
        "serial",
        "served",
        "slow",
        "speed",
        "started_us",
        "stream",
        "token",
        "traits",
        "useful_us",
        "v",
        "v_at",
        "waiting",
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
        """`place` is its zone and cell; a cold one starts now, a warm one started long ago."""
        self.clock, self.traits, self.stream, self.name = clock, traits, stream, name
        self.zone, self.cell = place
        self.mean_work_us = mean_work_us
        self.speed = max(0.3, stream.lognormal(traits.speed, traits.speed_cv))
        self.cold, self.started_us = cold, clock.now if cold else 0
        self.alive, self.draining, self.fallen = True, False, False
        self.slow, self.bad, self.fast_errors = 1.0, 0.0, False  # times slower; share of errors; at once
        self.connections = self.served = 0
        self.waiting: deque[Work] = deque()
        # Processor sharing by virtual time: all in work progress alike, so each has a fixed virtual end.
        self.finish: list[tuple[float, int, Work]] = []
        self.v, self.v_at, self.rate, self.serial, self.token = 0.0, clock.now, 0.0, itertools.count(), 0
        self.budget, self.budget_at = 0.0, clock.now  # of the rule on cold servers: drained by time
        self.sent_by: dict[int, float] = {}  # work by door while it is cold, for who is to blame
        self.worked_us = self.useful_us = 0.0  # work done; that of answers that served a client

    # --- capacity ---

    def warmth(self) -> float:
        """The part of its full capacity that it has by now: rising evenly, as the stated least."""
        if not self.cold:
            return 1.0
        age = (self.clock.now - self.started_us) / self.traits.cold_us
        if age >= 1:
            self.cold = False
            return 1.0
        return self.traits.cold_from + (1 - self.traits.cold_from) * age

    def capacity(self) -> float:
        """Work that it can do, in cores at the usual speed."""
        return self.traits.cores * self.speed / self.slow * self.warmth()

    def efficiency(self) -> float:
        """What holding too many, and a full table of connections, leave of its capacity (ours: linear)."""
        held = (len(self.finish) + len(self.waiting)) / self.traits.cores
        thrash = self.traits.thrash * max(0.0, held / self.traits.thrash_at - 1)
        table = self.traits.full_tax * min(1.0, self.connections / max(1, self.traits.connections))
        return (1 - table) / (1 + thrash)

    def advance(self) -> None:
        """Bring what is in work up to now, at the rate that has held since the last change."""
        now = self.clock.now
        done = (now - self.v_at) * self.rate
        self.v += done
        self.worked_us += done * len(self.finish)
        self.v_at = now

    def plan(self) -> None:
        """Take the rate anew and ask to be called at the next end."""
        self.token += 1
        count = len(self.finish)
        if not count:
            self.rate = 0.0
            return
        cores = self.traits.cores
        self.rate = self.capacity() * self.efficiency() / cores * min(1.0, cores / count)
        wait = max(0.0, (self.finish[0][0] - self.v) / self.rate)
        if self.cold:
            wait = min(wait, RAMP_STEP_US)
        self.clock.after(wait + 1, self.step, self.token)

    def step(self, token: int) -> None:
        if token != self.token or not self.alive:
            return
        self.advance()
        ended = []
        while self.finish and self.finish[0][0] <= self.v + 1e-6:
            ended.append(heapq.heappop(self.finish)[2])
        self.fill()
        self.plan()
        for work in ended:
            self.end(
                work, "error" if self.stream.uniform() < max(self.bad, self.traits.error_rate) else "served"
            )

    def fill(self) -> None:
        """Begin what waits while there are slots."""
        while self.waiting and len(self.finish) < self.traits.slots:
            work = self.waiting.popleft()
            if work.state == "over":
                continue
            if self.traits.drops_expired and self.clock.now >= work.expires_us:
                self.end(work, "full")
                continue
            self.begin(work)

    def begin(self, work: Work) -> None:
        work.state = "working"
        heapq.heappush(self.finish, (self.v + work.work_us, next(self.serial), work))

    def end(self, work: Work, how: str) -> None:
        if work.state == "over":
            return
        work.state = "over"
        self.served += how == "served"
        work.ended(work, how)

    # --- what comes in ---

    def connect(self) -> bool:
        """A front door's new connection: whether it is taken."""
        if not self.alive or self.connections >= self.traits.connections:
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        self.connections = max(0, self.connections - 1)

    def accept(self, work: Work, door: int, extra_us: float) -> None:
        """A request whose last byte has come; `extra_us` is the work of its handshake, if it needed one."""
        if not self.alive:
            work.state = "over"
            work.ended(work, "lost")
            return
        if self.cold and self.over_budget(work.work_us, door):
            self.fall()
            work.state = "over"
            work.ended(work, "lost")
            return
        if self.fast_errors and self.stream.uniform() < self.bad:
            self.end(work, "error")  # fast but wrong: it answers at once, having done nothing
            return
        if self.draining:
            self.end(work, "full")
            return
        work.work_us += extra_us
        self.advance()
        if len(self.finish) < self.traits.slots:
            self.begin(work)
        elif len(self.waiting) < self.traits.queue:
            work.state = "waiting"
            self.waiting.append(work)
        else:
            self.plan()
            self.end(work, "full")
            return
        self.plan()

    def leave(self, work: Work) -> None:
        """Its front door has stopped waiting: running work goes on, waiting work may be dropped."""
        if work.state == "waiting" and self.traits.drops_cancelled:
            work.state = "over"
            self.waiting.remove(work)

    # --- the rule on cold servers ---

    def over_budget(self, work_us: float, door: int) -> bool:
        """Whether this work is more than `fall_multiple` times present capacity over the window allows."""
        now, most_rate = self.clock.now, self.traits.fall_multiple * self.capacity()
        drained = (now - self.budget_at) * most_rate
        self.budget, self.budget_at = max(0.0, self.budget - drained) + work_us, now
        self.sent_by[door] = self.sent_by.get(door, 0.0) + work_us
        return self.budget > most_rate * self.traits.fall_us + CHANCE_SLACK * self.mean_work_us

    def fall(self) -> None:
        self.fallen = True
        self.stop()

    # --- ends ---

    def stop(self, silent: bool = False) -> None:
        """The process ends, or the machine vanishes: then nobody hears of it."""
        self.advance()
        self.alive = False
        self.token += 1
        works = [work for _, _, work in self.finish] + list(self.waiting)
        self.finish, self.rate, self.connections = [], 0.0, 0
        self.waiting.clear()
        for work in works:
            self.end(work, "silent" if silent else "lost")

    def start(self) -> None:
        """A fresh process under the same id: cold, with nothing in hand."""
        self.alive, self.draining, self.fallen, self.cold = True, False, False, True
        self.started_us = self.v_at = self.budget_at = self.clock.now
        self.budget = 0.0
        self.sent_by = {}

    def busy(self) -> int:
        return len(self.finish)
