"""What befalls a fleet: each kind of trouble begins, and ends, by events on the run's clock."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, get_args

from thistletrail.policy.events import ServerState
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.scenario import Kind, Trouble
from thistletrail.simulation.servers import ScanServer

if TYPE_CHECKING:
    from thistletrail.simulation.day import Day
    from thistletrail.simulation.doors import Door

RESTART_S = 0.4  # until a planned restart is back: what a real one takes here
SETTLE_S = (0.2, 0.4)  # after SIGTERM for which new connections keep coming (the protocol page)
STALE_S = 3600  # by which a stale snapshot is older than it was
DRAIN_EXTRA_S, LEAST_DRAIN_S = 0.5, 3.0  # past the longest deadline, as the gateway process drains
DRAINED_S = (2.0, 5.4)  # for which a server that leaves drains (the site's `shrink`)
RESTART_STEPS = 10  # a tenth of the doors at a time
ONE_SHOT_PLAN = 0  # customers that are seen once come under the first plan
LIST_DRAIN_S = (0.05, 0.5)  # a drain is told at once, but for what lists take


class Troubles:
    """Carries out a scenario's troubles."""

    def __init__(self, day: Day) -> None:
        self.day, self.stream = day, day.streams["troubles"]
        self.names = 0

    def begin(self) -> None:
        for trouble in self.day.scenario.troubles:
            self.day.clock.at(self.day.start_us + round(trouble.at_s * S), KINDS[trouble.kind], self, trouble)

    def later(self, seconds: float, call: Callable[..., None], *args: object) -> None:
        self.day.clock.after(seconds * S, call, *args)

    def some(self, values: list, part: float) -> list:
        """That share of them, by chance; at least one where there is any and the share is above nothing."""
        count = min(len(values), math.ceil(len(values) * part - 1e-9))
        return self.stream.shuffled(values)[:count]

    def running(self) -> list[ScanServer]:
        return [server for server in self.day.servers.values() if server.alive and not server.draining]

    # --- demand ---

    def burst(self, trouble: Trouble) -> None:
        self.day.demand.change(1 + trouble.size)
        self.later(trouble.for_s, self.day.demand.change, 1.0)

    def hot_customers(self, trouble: Trouble) -> None:
        """One to three customers ask `size` times the usual load on top."""
        demand = self.day.demand
        struck = [self.stream.pick(demand.customers) for _ in range(1 + self.stream.below(3))]
        for customer in struck:
            customer.use += trouble.size * demand.usual / len(struck)
            demand.follow(customer)
        self.later(trouble.for_s, self.cool, struck)

    def cool(self, struck: list) -> None:
        for customer in struck:
            customer.use = customer.usual
            self.day.demand.follow(customer)

    def one_shots(self, trouble: Trouble) -> None:
        """Customers that ask once and are not seen again add `size` times the usual load."""
        self.one_shot(trouble, self.day.clock.now + round(trouble.for_s * S))

    def one_shot(self, trouble: Trouble, until_us: int, ask: bool = False) -> None:
        demand = self.day.demand
        if self.day.clock.now >= min(until_us, self.day.end_us):
            return
        if ask:
            customer = demand.customer(ONE_SHOT_PLAN, 0.0)
            demand.ask(customer)
            demand.customers.remove(customer)
        rate = trouble.size * demand.usual
        if rate > 0:
            self.later(self.stream.exponential(1 / rate), self.one_shot, trouble, until_us, True)

    # --- doors ---

    def kill_doors(self, trouble: Trouble) -> None:
        for door in self.some([door for door in self.day.doors if door.alive], trouble.part):
            self.kill(door, trouble)

    def kill(self, door: Door, trouble: Trouble) -> None:
        back = self.stream.span(trouble.back_s)
        door.stop()
        if door.stored and trouble.state != "kept":
            at, memory = door.stored
            door.stored = (at - STALE_S * S, memory) if trouble.state == "stale" else None
        notice = self.stream.span(self.day.scenario.clients.notice_s)
        if notice < back:
            self.later(notice, self.day.clients.down.add, door.number)
        self.later(back, self.revive, door)

    def revive(self, door: Door) -> None:
        """It is back; the front takes it in as soon as it answers."""
        self.day.clients.down.discard(door.number)
        if not door.alive:
            door.start()
            self.day.books.last_back_us = self.day.clock.now - self.day.start_us

    def restart_doors(self, trouble: Trouble) -> None:
        """All of them in turn, a tenth at a time, by SIGTERM."""
        doors = self.some(self.day.doors, 1.0)
        step = math.ceil(len(doors) / RESTART_STEPS)
        for number in range(0, len(doors), step):
            self.later(trouble.for_s * number / len(doors), self.terminate, doors[number : number + step])

    def terminate(self, doors: list[Door]) -> None:
        longest = max(self.day.clients.deadlines) / S
        left = max(LEAST_DRAIN_S, longest) + DRAIN_EXTRA_S
        for door in doors:
            if door.alive:
                door.drain(round(left * S))
                self.later(self.stream.span(SETTLE_S), self.day.clients.down.add, door.number)
                self.drained(door, door.life, self.day.clock.now + round(left * S))

    def drained(self, door: Door, life: int, latest_us: int) -> None:
        """The process ends once all is answered, or when its time is up."""
        if door.life != life:
            return
        settled = door.number in self.day.clients.down
        if (settled and not door.open) or self.day.clock.now > latest_us + 200 * MS:
            if door.stored:  # a planned end keeps what is known then
                door.store(door.life)
            door.stop()
            self.later(RESTART_S, self.revive, door)
        else:
            self.later(0.05, self.drained, door, life, latest_us)

    # --- servers ---

    def release(self, trouble: Trouble) -> None:
        """`part` of the servers are replaced over `for_s`: a new one under a new id, the old one drains."""
        old = self.some(self.running(), trouble.part)
        for number, server in enumerate(old):
            self.later(trouble.for_s * number / max(1, len(old)), self.replace, server)

    def replace(self, server: ScanServer) -> None:
        self.names += 1
        fresh = self.day.add_server(f"{server.name}r{self.names}", (server.zone, server.cell), cold=True)
        self.day.catalog.notice(fresh, ServerState.SERVING, self.day.scenario.net.list_add_s)
        self.retire(server)

    def retire(self, server: ScanServer) -> None:
        if not server.alive or server.draining:
            return
        server.draining = True
        self.day.catalog.notice(server, ServerState.DRAINING, LIST_DRAIN_S)
        self.later(self.stream.span(DRAINED_S), self.gone, server)

    def gone(self, server: ScanServer) -> None:
        if server.alive:
            server.stop()
        self.day.catalog.notice(server, ServerState.GONE, self.day.scenario.net.list_gone_s)

    def shrink(self, trouble: Trouble) -> None:
        old = self.some(self.running(), trouble.part)
        for number, server in enumerate(old):
            self.later(trouble.for_s * number / max(1, len(old)), self.retire, server)

    def zone_loss(self, trouble: Trouble) -> None:
        """A zone's servers vanish (`size` above a half: in silence, else their processes die) and come back
        cold; `part` of its doors go with them."""
        silent = trouble.size > 0.5
        struck = [server for server in self.running() if server.zone == trouble.zone]
        if self.day.scenario.net.zones == 1:
            struck = self.some(self.running(), 0.3)
        lag = self.day.scenario.net.list_silent_s if silent else self.day.scenario.net.list_gone_s
        for server in struck:
            self.day.lose(server, silent)
            if trouble.for_s > lag[0]:
                self.day.catalog.notice(server, ServerState.GONE, lag)
        self.later(trouble.for_s, self.come_back, struck)
        doors = [door for door in self.day.doors if door.zone == trouble.zone and door.alive]
        for door in self.some(doors, trouble.part) if trouble.part else []:
            self.kill(door, trouble)

    def come_back(self, struck: list[ScanServer]) -> None:
        for server in struck:
            if not server.alive:
                self.day.gone_silent.discard(server.name)
                server.start()
                self.day.catalog.notice(server, ServerState.SERVING, self.day.scenario.net.list_add_s)

    def zone_cut(self, trouble: Trouble) -> None:
        cut = self.day.network.cut
        cut.add(trouble.zone)
        self.later(trouble.for_s, cut.discard, trouble.zone)

    def silent(self, trouble: Trouble) -> None:
        """`part` of the servers are not reached for a while, and lose nothing."""
        names = {server.name for server in self.some(self.running(), trouble.part)}
        self.day.network.silent |= names
        self.later(trouble.for_s, self.day.network.silent.difference_update, names)

    def bad(self, trouble: Trouble, fast: bool = False) -> None:
        """`part` of the servers answer `size` of their requests with errors."""
        struck = self.some(self.running(), trouble.part)
        for server in struck:
            server.bad, server.fast_errors = trouble.size, fast
        self.later(trouble.for_s, self.mend, struck)

    def errors_fast(self, trouble: Trouble) -> None:
        """The same, but at once, without having done the work."""
        self.bad(trouble, fast=True)

    def mend(self, struck: list[ScanServer]) -> None:
        for server in struck:
            server.bad, server.fast_errors = 0.0, False

    def slow(self, trouble: Trouble) -> None:
        struck = self.some(self.running(), trouble.part)
        self.set_slow(struck, max(1.0, trouble.size))
        self.later(trouble.for_s, self.set_slow, struck, 1.0)

    def set_slow(self, struck: list[ScanServer], factor: float) -> None:
        for server in struck:
            server.advance()
            server.slow = factor
            if server.alive:
                server.plan()

    # --- network and lists ---

    def messages_lost(self, trouble: Trouble) -> None:
        self.set_lost(min(1.0, trouble.size))
        self.later(trouble.for_s, self.set_lost, 0.0)

    def set_lost(self, share: float) -> None:
        self.day.network.messages_lost = share

    def drop_answers(self, trouble: Trouble) -> None:
        self.set_dropped(min(1.0, trouble.size))
        self.later(trouble.for_s, self.set_dropped, 0.0)

    def set_dropped(self, share: float) -> None:
        self.day.network.answers_lost = share

    def lists_late(self, trouble: Trouble) -> None:
        """News of the list reach the doors `size` seconds later; never out of their order."""
        self.day.catalog.extra_us = round(trouble.size * S)
        self.later(trouble.for_s, self.lists_again)

    def lists_again(self) -> None:
        """The lag falls a little at a time: what is on its way must not be overtaken."""
        catalog = self.day.catalog
        step = 20 * MS
        catalog.extra_us = max(0, catalog.extra_us - step)
        if catalog.extra_us:
            self.later(step / S, self.lists_again)


KINDS: dict[str, Callable[[Troubles, Trouble], None]] = {
    kind: getattr(Troubles, kind) for kind in get_args(Kind)
}
