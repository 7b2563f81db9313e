"""A door's side of work in hand: what it has, under which fences, and until when it may act. Pure.

Before each write, and before each answer, the door asks `holds`. Its lease counts from before it asked, on a
clock that goes on over suspension, and ends early by a stated margin: what lies between the look at the clock
and the write itself. What it had when its lease ended is lost to it, whoever has it by now.
"""

from __future__ import annotations

from thistletrail.leasing.budget_state import MARGIN_SHARE
from thistletrail.leasing.messages import MOST_OPS, Begin, Done, Handed, Leave, Op, Told, WorkAnswer, WorkAsk

# Between the look at the clock and the last byte's way into the kernel: a turn of the loop on a busy machine.
WRITE_MARGIN_MS = 50
MOST_QUEUED = 4 * MOST_OPS  # ops that wait for the steward: past it work goes on without
MOST_ASK_BYTES = 4 << 20  # of requests and values in one ask: half of what a steward takes
MOST_BEGINS = 64  # in one ask, as each may be answered by a kept value of 128 KiB


class Hand:
    """All that one start of a door has in hand."""

    def __init__(self, door: int, mark: int) -> None:
        self.door, self.mark, self.serial = door, mark, 0
        self.until_ms = -1
        self.held: dict[str, int] = {}  # by name: the fence under which it is ours
        self.queue: list[Op] = []
        self.asked: tuple[int, int, list[Op]] | None = None  # serial, when, and ops of the ask that is out
        self.took: list[int] = []  # fences of the work that the last answer handed: told of having come
        self.withdrawn: set[str] = set()  # begun, and given up on before there was an answer
        self.leaving = False

    # --- what may be done ---

    def is_alive(self, now_ms: int) -> bool:
        """Whether the lease lasts."""
        return now_ms < self.until_ms

    def holds(self, name: str, fence: int, now_ms: int) -> bool:
        """Whether a piece of work may be written, answered or ended now."""
        return self.is_alive(now_ms) and self.held.get(name) == fence

    def lapsed(self, now_ms: int) -> list[str]:
        """The names of what is lost as the lease has ended. It is let go of, should nobody have taken it."""
        if self.is_alive(now_ms) or not self.held:
            return []
        lost = list(self.held)
        for name, fence in self.held.items():
            self.queue.append(Leave(name=name, fence=fence))
        self.held.clear()
        return lost

    # --- ops ---

    def add(self, op: Op) -> bool:
        """Queue an op: whether there is room."""
        if len(self.queue) >= MOST_QUEUED:
            return False
        self.queue.append(op)
        return True

    def leave(self, name: str, on: bool = False, unrun: bool = False) -> None:
        """Let go of a piece of work."""
        fence = self.held.pop(name, 0)
        if fence:
            self.queue.append(Leave(name=name, fence=fence, on=on, unrun=unrun))

    def withdraw(self, name: str) -> None:
        """Give up on a `Begin` that has not been answered: it is taken back, wherever it is by now."""
        rest = [op for op in self.queue if not (isinstance(op, Begin) and op.name == name)]
        if len(rest) < len(self.queue):
            self.queue = rest
        else:
            self.withdrawn.add(name)

    # --- asks ---

    def ask(self, now_ms: int) -> WorkAsk:
        """The next ask, with the ops that wait; one is out at a time."""
        self.serial += 1
        count = self.fitting()
        ops, self.queue = self.queue[:count], self.queue[count:]
        self.asked = self.serial, now_ms, ops
        return WorkAsk(
            door=self.door,
            mark=self.mark,
            serial=self.serial,
            ops=tuple(ops),
            took=tuple(self.took),
            leaving=self.leaving,
        )

    def fitting(self) -> int:
        """How many of the ops that wait go into one ask: one at least."""
        size = begins = 0
        for count, op in enumerate(self.queue[:MOST_OPS]):
            size += len(op.request) if isinstance(op, Begin) else len(op.value) if isinstance(op, Done) else 0
            begins += isinstance(op, Begin)
            if count and (size > MOST_ASK_BYTES or begins > MOST_BEGINS):
                return count
        return min(MOST_OPS, len(self.queue))

    def unanswered(self) -> None:
        """The ask that was out got no answer: its ops go again, each of which may be told twice."""
        if self.asked is not None:
            self.queue = [*self.asked[2], *self.queue]
            self.asked = None

    def refused(self) -> list[Op]:
        """The ask that was out was turned away as a whole: what it began goes on without. Those ops."""
        if self.asked is None:
            return []
        ops, self.asked = self.asked[2], None
        begun = [op for op in ops if isinstance(op, Begin)]
        self.withdrawn -= {op.name for op in begun}
        self.queue = [*(op for op in ops if not isinstance(op, Begin)), *self.queue]
        return begun

    def lease_end(self, asked_ms: int, lease_ms: int, now_ms: int) -> int:
        """When to stop: the margins before the lease is over, counted from before the ask."""
        return asked_ms + lease_ms - max(1, int(lease_ms * MARGIN_SHARE)) - WRITE_MARGIN_MS

    def answered(self, answer: WorkAnswer, now_ms: int) -> tuple[list[tuple[Op, Told]], list[Handed]]:
        """Take an answer over: what became of each op, and work that is handed to this door."""
        if self.asked is None or answer.serial != self.asked[0]:
            return [], []
        _, asked_ms, ops = self.asked
        self.asked = None
        self.until_ms = max(self.until_ms, self.lease_end(asked_ms, answer.lease_ms, now_ms))
        told = list(zip(ops, answer.told, strict=False))
        for op, one in told:
            self.note(op, one)
        known, self.took = self.took, []
        if not self.is_alive(now_ms):  # too late to begin anything by it: none of it has come
            return told, []
        fresh = [handed for handed in answer.handed if handed.fence not in known]
        self.took = [handed.fence for handed in answer.handed]
        for handed in fresh:
            self.held[handed.name] = handed.fence
        return told, fresh

    def note(self, op: Op, told: Told) -> None:
        """What one op has made ours, or shown to be lost."""
        if isinstance(op, Begin):
            if told.how == "kept":
                self.held[op.name] = told.fence
            if op.name in self.withdrawn:
                self.withdrawn.discard(op.name)
                self.leave(op.name, unrun=not told.server)
        elif told.how == "lost" and self.held.get(op.name) == op.fence:
            del self.held[op.name]
