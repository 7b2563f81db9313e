"""A holder's side: one start of a front door. Pure; time is passed in.

Its clock has to go on over suspension. It counts its lease from before it asked, stops a margin early, and
looks at the clock before every spend. Without the steward it has its grant until the lease ends, and the
floor that is kept aside for it at all times.
"""

from __future__ import annotations

from dataclasses import dataclass

from thistletrail.leasing.budget_state import MARGIN_SHARE, Terms, floor
from thistletrail.leasing.messages import Answer, Ask, Want

UNUSED_MS = 10_000  # without demand, after which a budget is not asked for any more
MOST_ASKS = 8  # that may be unanswered: an older one's answer is of no use any more


@dataclass(slots=True)
class Part:
    """What is held of one budget."""

    terms: Terms
    demand: int = 0
    part: int = 0
    fence: int = 0
    until_ms: int = -1
    level_thousandths: int = 0  # units in the store
    level_at_ms: int = 0
    came: int = 0  # units that came with the last grant
    back: int = 0  # units that did not fit in any more with the grant of this fence
    used_ms: int = 0  # when there was demand last
    need: int = 0  # units that are waited for now
    used: int = 0  # of a count: how much is in use


class Holder:
    """All that one start of a front door holds."""

    def __init__(self, door: int, mark: int, doors: int) -> None:
        """`doors` is how many there may be at most: the floor is a part of what is kept aside for all."""
        self.door, self.mark, self.doors = door, mark, doors
        self.serial = 0
        self.asked_ms: dict[int, int] = {}  # by serial: when each ask that is unanswered was made
        self.parts: dict[str, Part] = {}

    def use(self, budget: str, terms: Terms, demand: int, now_ms: int, need: int = 0, used: int = 0) -> None:
        """There is demand for a budget: it is asked for until there has been none for a while."""
        part = self.parts.get(budget)
        if part is None:
            part = self.parts[budget] = Part(terms, level_at_ms=now_ms)
        part.demand, part.used_ms, part.need, part.used = demand, now_ms, need, used

    def ask(self, now_ms: int) -> Ask:
        """The next ask: made before it is sent, as the lease counts from here."""
        self.serial += 1
        for name in [name for name, part in self.parts.items() if now_ms - part.used_ms > UNUSED_MS]:
            del self.parts[name]  # its grant is let go of, and ends with its lease
        self.asked_ms[self.serial] = now_ms
        for serial in [serial for serial in self.asked_ms if serial <= self.serial - MOST_ASKS]:
            del self.asked_ms[serial]
        wants = tuple(
            Want(
                budget=name,
                demand=part.demand,
                fence=part.fence,
                back=part.back,
                need=part.need,
                used=part.used,
            )
            for name, part in self.parts.items()
        )
        return Ask(door=self.door, mark=self.mark, serial=self.serial, wants=wants)

    def answered(self, answer: Answer, now_ms: int) -> bool:
        """Take over what an answer grants: whether it was for an ask of this start, and not too late."""
        asked_ms = self.asked_ms.pop(answer.serial, None)
        if asked_ms is None or (answer.door, answer.mark) != (self.door, self.mark):
            return False
        until_ms = self.lease_end(asked_ms, answer.lease_ms, now_ms)
        if until_ms <= now_ms:
            return False
        for grant in answer.grants:
            part = self.parts.get(grant.budget)
            newer = part is not None and self.is_newer(part, grant.fence)
            if newer and self.agrees(part, grant.part, now_ms):
                self.take_over(part, grant.part, grant.fence, grant.units, until_ms, now_ms)
        return True

    def lease_end(self, asked_ms: int, lease_ms: int, now_ms: int) -> int:
        """When to stop: a margin before the lease is over, counted from before the ask."""
        return asked_ms + lease_ms - max(1, int(lease_ms * MARGIN_SHARE))

    def is_newer(self, part: Part, fence: int) -> bool:
        """Fences only rise: an answer that was overtaken is of no use."""
        return fence > part.fence

    def agrees(self, part: Part, amount: int, now_ms: int) -> bool:
        """Of a count, to no less than is in use: what came into use since the ask, the next one tells."""
        return bool(part.terms.burst) or amount >= min(part.used, part.part) or now_ms >= part.until_ms

    def take_over(self, part: Part, amount: int, fence: int, units: int, until_ms: int, now_ms: int) -> None:
        self.fill(part, now_ms)
        part.part, part.fence, part.until_ms, part.came = amount, fence, until_ms, units
        part.level_thousandths += 1000 * units
        most = self.most_thousandths(part, now_ms)
        part.back = max(0, part.level_thousandths - most) // 1000
        part.level_thousandths = min(most, part.level_thousandths)

    # --- what may be used ---

    def held(self, budget: str, now_ms: int) -> int:
        """The part that may be used now: the grant while its lease lasts, and the floor."""
        part = self.parts.get(budget)
        if part is None:
            return 0
        return (part.part if now_ms < part.until_ms else 0) + floor(part.terms.whole, self.doors)

    def most_thousandths(self, part: Part, now_ms: int) -> int:
        held = (part.part if now_ms < part.until_ms else 0) + floor(part.terms.whole, self.doors)
        return 1000 * part.terms.burst * held // max(1, part.terms.whole)

    def fill(self, part: Part, now_ms: int) -> None:
        """Units come in at the rate that is held: the grant's up to the lease's end, and the floor's."""
        least = floor(part.terms.whole, self.doors)
        if now_ms > part.level_at_ms:
            leased = max(0, min(now_ms, part.until_ms) - part.level_at_ms)
            took = now_ms - part.level_at_ms
            part.level_thousandths += (part.part * leased + least * took) // 1000
            part.level_at_ms = now_ms
        if now_ms >= part.until_ms:
            part.part = 0
        part.level_thousandths = min(part.level_thousandths, self.most_thousandths(part, now_ms))

    def spend(self, budget: str, units: int, now_ms: int) -> bool:
        """Take units from the store: whether it held them. Looks at the clock each time."""
        part = self.parts.get(budget)
        if part is None:
            return False
        self.fill(part, now_ms)
        if part.level_thousandths < 1000 * units:
            return False
        part.level_thousandths -= 1000 * units
        return True
