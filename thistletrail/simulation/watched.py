"""The project's own decision module, unchanged, with what it does made known to the books.

`Watched` calls the module's methods and adds nothing to what they do: it notes on what basis a request's
quota was decided and why one was refused.
"""

from __future__ import annotations

from thistletrail.policy import rules
from thistletrail.policy.events import AttemptEnded, ShutdownStarted
from thistletrail.policy.quota import WORD_FRESH_US
from thistletrail.policy.settings import Settings

# On what basis a quota was decided.
PART, HOME, LAST_WORD, SILENT = "own part", "home", "last word", "silent home"
WORD, NO_WORD, LEASE = "word", "no word", "lease"


class Decided:
    """What the module made of one request: whether it counted it as inside the quota, and on what basis."""

    __slots__ = ("basis", "chance", "home", "inside", "why")

    def __init__(self) -> None:
        self.basis, self.chance, self.inside, self.why, self.home = "", 1.0, False, "", -1


class Watched(rules.Gateway):
    """One front door's decisions; `seen` holds a note for each request that is open."""

    def __init__(self, settings: Settings) -> None:
        self.seen: dict[str, Decided] = {}
        self.basis, self.refusing, self.told = "", "", None
        super().__init__(settings)

    def note(self, job: object) -> Decided:
        return self.seen.setdefault(job.req.id, Decided())

    def admit(self, job: object) -> None:
        customer = job.customer
        alone, units = customer.home == self.set.gateway_index, job.req.units
        allows = customer.allows(units)
        if "quota" in customer.leased:
            self.basis = LEASE
        elif not customer.plan.max_in_flight and customer.part >= units and (alone or allows):
            self.basis = PART
        elif alone:
            self.basis = HOME
        elif self.now - customer.heard_us < WORD_FRESH_US:
            self.basis = LAST_WORD
        else:
            self.basis = SILENT
        before, self.refusing = self.refusing, "late retry"
        super().admit(job)
        self.refusing = before

    def end_waits(self, told: object = None, *granted: float) -> None:
        self.basis, self.told = NO_WORD, told
        super().end_waits(told, *granted)
        self.told = None

    def end_leased_waits(self, customer: object) -> None:
        self.basis = LEASE
        super().end_leased_waits(customer)

    def decide(self, job: object, chance: float) -> None:
        note = self.note(job)
        note.basis, note.chance, note.home = self.basis, chance, job.customer.home
        if self.told is not None and job.customer is self.told:
            note.basis = WORD
        before, self.refusing = self.refusing, "quota"
        super().decide(job, chance)
        self.refusing = before
        note.inside = job.in_quota

    def release(self) -> None:
        """Whoever is refused in here is not refused for its quota."""
        before, self.refusing = self.refusing, ""
        super().release()
        self.refusing = before

    def expire(self, job: object, *args: float) -> bool:
        before, self.refusing = self.refusing, self.held_by(job)
        over = super().expire(job, *args)
        self.refusing = before
        return over

    def held_by(self, job: object) -> str:
        """What keeps a request that has not been sent from leaving."""
        if job.servers:
            return "no server again"
        if job in self.waits:
            return "waiting for word"
        if self.note(job).basis == "":
            return "late on arrival"
        if not self.under_ceiling(job):
            return "ceiling"
        full = self.out >= self.most_out()
        if not full and self.n_past is not None and not self.allowance():
            return "cap"
        if full:
            return "out at once"
        return "no server" if not self.up else "turn too late"

    def on_outcome(self, event: AttemptEnded) -> None:
        before, self.refusing = self.refusing, "attempts failed"
        super().on_outcome(event)
        self.refusing = before

    def on_draining(self, event: ShutdownStarted) -> None:
        before, self.refusing = self.refusing, "draining"
        super().on_draining(event)
        self.refusing = before

    def end(self, job: object, *args: int) -> None:
        self.note(job).why = self.refusing or "other"
        super().end(job, *args)
