"""Work in hand that outlives its door, in the model: what the steward and the doors make of a death.

Of docs/takeover.md it has: whose the work is, the lease, one taker by chance, the zone, who asks again, and
answers that are kept. Not in it: the time that the log takes (some milliseconds), the steward's own failures,
doors that are paused, and bounds.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from thistletrail.simulation.clock import MS, S

if TYPE_CHECKING:
    from thistletrail.simulation.clients import Ask, Try
    from thistletrail.simulation.day import SimulationRun
    from thistletrail.simulation.doors import Open
    from thistletrail.simulation.servers import ScanServer

LEASE_US = S  # the steward's, for work in hand
AGAIN_US = 50 * MS  # until it looks anew where nobody is there
MOST_DEATHS = 2


class Piece:
    """The work of one ask whose door has died."""

    __slots__ = ("ask", "deaths", "end_us", "first_us", "inside", "server", "state", "waiting")

    def __init__(self, ask: Ask, first_us: int) -> None:
        self.ask, self.first_us = ask, first_us
        self.state = "lost"  # lost, taken, served, free, over
        self.deaths = self.end_us = 0
        self.inside = False  # its units, which are taken once
        self.server: ScanServer | None = None  # where it may have run
        self.waiting: list[Try] = []


class Kept:
    """All work whose door has died, by the ask that it is for."""

    def __init__(self, day: SimulationRun) -> None:
        self.day, self.on = day, day.scenario.takeover
        self.pieces: dict[Ask, Piece] = {}
        self.counts: Counter[str] = Counter()
        self.taken: Counter[tuple[int, int]] = Counter()  # by second and door

    def lost(self, state: Open) -> None:
        """A door has died with this in hand, of which an attempt may have been written."""
        try_ = state.try_
        ask, servers = try_.ask, [attempt.target for attempt in state.out.values()]
        server = state.grouped or next(iter(servers), None)
        if not self.on or not self.day.scenario.classes[ask.kind].keyed or server is None:
            return
        piece = self.pieces.get(ask)
        if piece is None:
            piece = self.pieces[ask] = Piece(ask, state.since_us or self.day.clock.now)
        piece.state, piece.server, piece.inside = "lost", server, try_.inside
        piece.deaths += 1
        piece.end_us = max(piece.end_us, state.end_us)
        self.counts["lost"] += 1
        self.day.clock.after(LEASE_US, self.look, piece)

    def until_us(self, piece: Piece) -> int:
        rule = self.day.scenario.classes[piece.ask.kind]
        window = round(rule.window_ms * self.day.scenario.stretch * MS)
        return min(piece.end_us, piece.first_us + window)

    def look(self, piece: Piece) -> None:
        """Its owner's lease is over."""
        if piece.state != "lost":
            return
        there = [door for door in self.day.doors if door.alive]
        if piece.deaths >= MOST_DEATHS:
            self.close(piece, "over", "failed")
        elif self.day.clock.now >= self.until_us(piece):
            self.close(piece, "free", "refused")
        elif not there:
            self.day.clock.after(AGAIN_US, self.look, piece)
        else:
            piece.state = "taken"
            door = self.day.streams["kept"].pick(there)
            self.counts["taken"] += 1
            self.taken[self.day.books.second, door.number] += 1
            door.inherit(piece)

    def ended(self, piece: Piece, how: str) -> None:
        """Its taker has ended it."""
        if how == "served":
            self.counts["served"] += 1
            self.counts["in vain"] += piece.ask not in self.pieces  # nobody asks for it any more
            self.close(piece, "served", "served")
        else:
            self.close(piece, "free", "refused")

    def close(self, piece: Piece, state: str, how: str) -> None:
        """Whoever waits is told."""
        piece.state, waiting, piece.waiting = state, piece.waiting, []
        for try_ in waiting:
            if not try_.over and try_.door.alive:
                self.tell(piece, try_, how)

    def tell(self, piece: Piece, try_: Try, how: str) -> None:
        try_.booked, try_.inside = True, piece.inside
        self.counts[f"told {how}"] += 1
        self.day.clients.answered(try_, how, LEASE_US if how == "refused" else 0, None, try_.door)

    def meets(self, try_: Try) -> bool:
        """A client asks again: whether that is for work whose door has died."""
        piece = self.pieces.get(try_.ask)
        if piece is None:
            return False
        if piece.state in ("served", "over"):
            self.tell(piece, try_, "served" if piece.state == "served" else "failed")
        elif piece.state == "free":
            try_.booked, try_.inside = True, piece.inside
            try_.door.go_on(try_, try_.end_us, piece.server)
        else:
            piece.end_us = max(piece.end_us, try_.end_us)
            piece.waiting.append(try_)
        return True

    def forget(self, ask: Ask) -> None:
        """Its client asks no more; whoever goes on with it does not know."""
        self.pieces.pop(ask, None)

    def result(self) -> dict[str, int]:
        return {**dict(sorted(self.counts.items())), "most a second": max(self.taken.values(), default=0)}
