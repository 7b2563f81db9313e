"""What the decision engine makes of requests, made known to the simulation's books.

`DecisionRecorder` observes an engine and changes nothing: it notes on what basis a request's quota was
decided and why one was rejected, in the words that the simulation's output has.
"""

from __future__ import annotations

from thistletrail.policy.observer import QuotaBasis, RejectReason, WaitReason, WaitReasonOf
from thistletrail.policy.pending_request import PendingRequest

BASIS_TEXTS = {
    QuotaBasis.LOCAL_SHARE: "own part",
    QuotaBasis.OWN_ACCOUNT: "home",
    QuotaBasis.LAST_ANSWER: "last word",
    QuotaBasis.OWNER_SILENT: "silent home",
    QuotaBasis.OWNER_ANSWER: "word",
    QuotaBasis.NO_ANSWER: "no word",
    QuotaBasis.LEASE: "lease",
}
REASON_TEXTS = {
    RejectReason.LATE_RETRY: "late retry",
    RejectReason.QUOTA: "quota",
    RejectReason.ATTEMPTS_FAILED: "attempts failed",
    RejectReason.RAN_ELSEWHERE: "other",
}
WAIT_TEXTS = {
    WaitReason.NO_SERVER_FOR_RETRY: "no server again",
    WaitReason.QUOTA_ANSWER: "waiting for word",
    WaitReason.NOT_ADMITTED: "late on arrival",
    WaitReason.CEILING: "ceiling",
    WaitReason.OVERLOAD_CONTROL: "cap",
    WaitReason.IN_FLIGHT_LIMIT: "out at once",
    WaitReason.NO_SERVER: "no server",
    WaitReason.QUEUE: "turn too late",
}


class Decided:
    """What the engine made of one request: whether it counted it as inside the quota, and on what basis."""

    __slots__ = ("basis", "chance", "home", "inside", "why")

    def __init__(self) -> None:
        self.basis, self.chance, self.inside, self.why, self.home = "", 1.0, False, "", -1


class DecisionRecorder:
    """Observes one gateway's decisions; `seen` holds a note for each request that is open."""

    def __init__(self) -> None:
        self.seen: dict[str, Decided] = {}
        self.wait_text = ""  # of the request whose expiry is checked

    def note(self, request: PendingRequest) -> Decided:
        """The note of a request, made where there is none."""
        return self.seen.setdefault(request.arrival.id, Decided())

    def on_quota_decision(self, request: PendingRequest, basis: QuotaBasis, chance: float) -> None:
        """Note the basis, and whether the request is inside its quota."""
        note = self.note(request)
        note.basis = BASIS_TEXTS[basis]
        note.chance = chance
        note.inside = request.is_in_quota
        note.home = request.customer.owner

    def on_expiry_check(self, request: PendingRequest, wait_reason: WaitReasonOf) -> None:
        """Remember what the request waits for: it is why it is rejected, if it is.

        This is looked up at each check, not only before a rejection, as to look refills the customer's
        buckets, and recorded runs have been made so.
        """
        self.wait_text = WAIT_TEXTS[wait_reason(request)]

    def on_reject(self, request: PendingRequest, reason: RejectReason) -> None:
        """Note the reason."""
        self.note(request).why = self.wait_text if reason is RejectReason.EXPIRED else REASON_TEXTS[reason]
