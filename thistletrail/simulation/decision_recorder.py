"""Records the policy engine's decisions on requests, for the simulation's accounting.

`DecisionRecorder` observes an engine and changes nothing. It records the basis of each decision on quota and
the reason of each rejection, as texts of the simulation's output.
"""

from __future__ import annotations

from thistletrail.policy.observer import QuotaBasis, RejectReason, WaitReason, WaitReasonOf
from thistletrail.policy.pending_request import PendingRequest

# Causes in the output. They keep the names of earlier outputs: "home" is the quota owner, "word" its answer
# and "own part" the local share.
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
# "out at once" is the limit of requests in flight, "cap" the overload control.
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


class RequestDecision:
    """The engine's decision on one request: whether it is in the quota, the basis, and why it is rejected.

    `owner` is the number of the quota owner's gateway, -1 before a decision. `chance` is the probability
    with which it was decided to be in the quota. `reason` is empty unless the request was rejected.
    """

    __slots__ = ("basis", "chance", "is_in_quota", "owner", "reason")

    def __init__(self) -> None:
        self.basis, self.chance, self.is_in_quota, self.reason, self.owner = "", 1.0, False, "", -1


class DecisionRecorder:
    """Records one gateway's decisions; `by_request` has that on each open request, by its id."""

    def __init__(self) -> None:
        self.by_request: dict[str, RequestDecision] = {}
        self.wait_text = ""  # from the latest expiry check: what its request waits for

    def decision_on(self, request: PendingRequest) -> RequestDecision:
        """Return the decision on a request; create one if there is none."""
        return self.by_request.setdefault(request.arrival.id, RequestDecision())

    def on_quota_decision(self, request: PendingRequest, basis: QuotaBasis, chance: float) -> None:
        """Record the basis, and whether the request is in its quota."""
        decision = self.decision_on(request)
        decision.basis = BASIS_TEXTS[basis]
        decision.chance = chance
        decision.is_in_quota = request.is_in_quota
        decision.owner = request.customer.owner

    def on_expiry_check(self, request: PendingRequest, wait_reason: WaitReasonOf) -> None:
        """Remember what the request waits for, which is the reason if it is rejected as expired.

        The reason is looked up at each check, not only before a rejection: the look-up refills the
        customer's buckets, and results would differ from those of runs recorded earlier.
        """
        self.wait_text = WAIT_TEXTS[wait_reason(request)]

    def on_reject(self, request: PendingRequest, reason: RejectReason) -> None:
        """Record the reason."""
        decision = self.decision_on(request)
        decision.reason = self.wait_text if reason is RejectReason.EXPIRED else REASON_TEXTS[reason]
