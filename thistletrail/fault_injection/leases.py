"""Budget leases in a history: renewals, grants, and the shares that gateways may use at the same time.

Relays record the messages, and forward them unchanged. A grant counts from the time at which its response
passed the relay until its lease expires, measured from the time at which its request passed; it ends earlier
when the same incarnation of the gateway sends a request with a higher fencing token. So the shares that
gateways really use never add up to more than the sums computed here.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

import msgspec

from thistletrail.fault_injection.relay import FORWARD, Relay, Side
from thistletrail.fault_injection.simulation_context import SimulationContext
from thistletrail.gateway.budget_lease_client import RETRY_BUDGET_NAME
from thistletrail.leasing.budget_state import MARGIN_FRACTION, BudgetLimits, divisible_total
from thistletrail.leasing.messages import RenewRequest, RenewResponse
from thistletrail.simulation.clock import Clock, S

if TYPE_CHECKING:
    from thistletrail.fault_injection.checks import RunHistory

MAX_HEAD_BYTES = 1 << 14
MAX_BODY_BYTES = 1 << 20
HEAD_END = b"\r\n\r\n"
# A budget counts as fully granted if at least this fraction of its divisible total is granted, and a dead
# gateway's share as granted to others if at least this fraction of it is.
FULLY_GRANTED_FRACTION = 0.9


class HttpMessageReader:
    """Reads the messages in one direction of an HTTP/1.1 connection.

    It gives up at the first message without a Content-Length, or with too large a head or body, and returns
    nothing from then on.
    """

    def __init__(self) -> None:
        self.buffer, self.has_given_up = b"", False

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Add received data, and yield the start line and the body of each message that is complete."""
        if self.has_given_up:
            return
        self.buffer += data
        while (head_end := self.buffer.find(HEAD_END)) >= 0:
            start_line, *header_lines = self.buffer[:head_end].split(b"\r\n")
            fields = dict(line.lower().split(b":", 1) for line in header_lines if b":" in line)
            length = fields.get(b"content-length", b"").strip()
            if not length.isdigit() or int(length) > MAX_BODY_BYTES:
                break
            end = head_end + len(HEAD_END) + int(length)
            if len(self.buffer) < end:
                return
            body, self.buffer = self.buffer[head_end + len(HEAD_END) : end], self.buffer[end:]
            yield start_line, body
        else:
            if len(self.buffer) <= MAX_HEAD_BYTES:
                return
        self.has_given_up, self.buffer = True, b""


class RenewalRelay(Relay):
    """Relays from a gateway to a lease service, and records each renewal request and each grant."""

    def __init__(self, *arguments: Any) -> None:  # noqa: ANN401 - the arguments of Relay
        super().__init__(*arguments)
        self.readers: WeakKeyDictionary[Side, HttpMessageReader] = WeakKeyDictionary()

    def on_data(self, side: Side, data: bytes) -> None:
        """Record the renewal requests and grants that are complete with these data."""
        for start_line, body in self.readers.setdefault(side, HttpMessageReader()).feed(data):
            try:
                if side.outgoing.direction == FORWARD:
                    request = msgspec.msgpack.decode(body, type=RenewRequest)
                    self.note(
                        "asked",
                        door=request.gateway,
                        mark=request.incarnation,
                        serial=request.serial,
                        fences={budget.budget: budget.fence for budget in request.budgets if budget.fence},
                    )
                elif start_line.split()[1:2] == [b"200"]:
                    response = msgspec.msgpack.decode(body, type=RenewResponse)
                    self.note(
                        "granted",
                        door=response.gateway,
                        mark=response.incarnation,
                        serial=response.serial,
                        steward=self.sides[1],
                        lease_ms=response.lease_ms,
                        parts={grant.budget: [grant.fence, grant.share] for grant in response.grants},
                    )
            except msgspec.MsgspecError:
                continue  # a message of another endpoint


@dataclass(frozen=True, slots=True)
class ShareGrant:
    """A share of a budget, and the time span in which an incarnation of a gateway may use it."""

    budget: str
    gateway: int
    incarnation: int
    share: int
    begin_us: int
    end_us: int


def share_grants(history: RunHistory) -> list[ShareGrant]:
    """Return each grant of a share, with the time span in which its gateway may use it."""
    request_times_us: dict[tuple[int, int, int], int] = {}
    # By gateway, incarnation and budget: the time of each request, and the fencing token that it carries.
    confirmed_fences: dict[tuple[int, int, str], list[tuple[int, int]]] = defaultdict(list)
    for record in history.records_by_kind["asked"]:
        request_times_us.setdefault((record["door"], record["mark"], record["serial"]), record["at"])
        for budget, fence in record["fences"].items():
            confirmed_fences[record["door"], record["mark"], budget].append((record["at"], fence))
    grants = []
    for record in history.records_by_kind["granted"]:
        request_us = request_times_us.get((record["door"], record["mark"], record["serial"]))
        if request_us is None:
            continue  # a response to a request that no relay has recorded
        lease_us = round(record["lease_ms"] * 1000 * (1 - MARGIN_FRACTION))
        for budget, (fence, share) in record["parts"].items():
            superseded_us = min(
                (
                    at_us
                    for at_us, confirmed_fence in confirmed_fences[record["door"], record["mark"], budget]
                    if confirmed_fence > fence
                ),
                default=request_us + lease_us,
            )
            if (end_us := min(request_us + lease_us, superseded_us)) > record["at"]:
                grants.append(ShareGrant(budget, record["door"], record["mark"], share, record["at"], end_us))
    return grants


def share_sums(grants: Iterable[ShareGrant]) -> Iterator[tuple[int, int]]:
    """Yield the time and the sum of the shares that all gateways may use, at each time at which it changes.

    Of several shares of one incarnation of a gateway, the largest counts.
    """
    grants = list(grants)
    changes = sorted(
        change
        for index, grant in enumerate(grants)
        for change in ((grant.end_us, 0, index), (grant.begin_us, 1, index))
    )  # at the same time, ends come before begins
    active_shares: dict[tuple[int, int], list[int]] = defaultdict(list)
    total = 0
    for at_us, begins, index in changes:
        grant = grants[index]
        holder_shares = active_shares[grant.gateway, grant.incarnation]
        previous = max(holder_shares, default=0)
        (holder_shares.append if begins else holder_shares.remove)(grant.share)
        total += max(holder_shares, default=0) - previous
        yield at_us, total


def divisible_totals(history: RunHistory) -> dict[str, int]:
    """Return the divisible total of each budget, in thousandths of a unit per second.

    The keys are `KIND/QUOTA PLAN`, and the name of the retry budget.
    """
    context = SimulationContext(history.plan.fleet, history.seed, Clock())
    limits = {}
    for plan, figures in zip(history.plan.fleet.plans, context.plans, strict=True):
        limits |= {f"quota/{plan.name}": (figures.rate, figures.burst)} if history.plan.quotas else {}
        limits |= {f"ceiling/{plan.name}": figures.ceiling} if figures.ceiling[0] else {}
    if history.plan.further:
        limits[RETRY_BUDGET_NAME] = history.plan.further
    return {
        name: divisible_total(BudgetLimits(round(rate * 1000), int(burst)))
        for name, (rate, burst, *_) in limits.items()
    }


def divisible_total_of(totals: dict[str, int], budget: str) -> int:
    """Return the divisible total of a budget, named `KIND/QUOTA PLAN/CUSTOMER` or as the retry budget."""
    return totals["/".join(budget.split("/")[:2])]


def grants_by_budget(history: RunHistory) -> dict[str, list[ShareGrant]]:
    """Return the grants of shares in a history by the budget's name."""
    grants: dict[str, list[ShareGrant]] = defaultdict(list)
    for grant in share_grants(history):
        grants[grant.budget].append(grant)
    return grants


def find_overcommitments(history: RunHistory) -> Iterator[tuple[int, str]]:
    """Yield the time and a description of each overcommitted budget and each reused fencing token.

    A budget is overcommitted when the shares that all gateways may use add up to more than its divisible
    total.
    """
    totals = divisible_totals(history)
    for budget, grants in grants_by_budget(history).items():
        divisible_total = divisible_total_of(totals, budget)
        max_sum, at_us = max(((total, at_us) for at_us, total in share_sums(grants)), default=(0, 0))
        if max_sum > divisible_total:
            yield at_us, f"{max_sum} of {divisible_total} of {budget} may be believed in"
    grant_by_fence: dict[int, tuple[object, ...]] = {}
    for record in history.records_by_kind["granted"]:
        for budget, (fence, share) in record["parts"].items():
            grant = budget, record["door"], record["mark"], share
            if grant_by_fence.setdefault(fence, grant) != grant:
                yield record["at"], f"fence {fence} is of two grants"


@dataclass(frozen=True, slots=True)
class LeaseSummary:
    """How budgets were divided in a run."""

    max_granted_fraction: float  # the largest sum of shares in use, as a fraction of the divisible total
    median_regrant_s: float | None  # from a gateway's death until its share was granted to others
    not_regranted: int  # shares of dead gateways that were not granted to others by the end of the run
    renewals: int
    lease_services: int  # number of those that granted a share


def lease_summary(history: RunHistory) -> LeaseSummary:
    """Summarize how the budgets of a run were divided."""
    totals, grants = divisible_totals(history), grants_by_budget(history)
    fractions = [
        total / divisible_total_of(totals, budget)
        for budget, budget_grants in grants.items()
        for _, total in share_sums(budget_grants)
    ]
    deaths = [
        (int(record["who"].removeprefix("doors-")), record["at"])
        for record in history.records_by_kind["died"]
        if record["who"].startswith("doors-") and record["at"] < history.records_by_kind["go"][0]["end_us"]
    ]
    regrant_times = [
        time_us
        for budget, budget_grants in grants.items()
        for time_us in regrant_times_us(budget_grants, deaths, divisible_total_of(totals, budget))
    ]
    known_times_s = [time_us / S for time_us in regrant_times if time_us is not None]
    return LeaseSummary(
        max(fractions, default=0.0),
        median(known_times_s) if known_times_s else None,
        len(regrant_times) - len(known_times_s),
        len(history.records_by_kind["granted"]),
        len({record["steward"] for record in history.records_by_kind["granted"]}),
    )


def regrant_times_us(
    grants: list[ShareGrant], deaths: list[tuple[int, int]], divisible_total: int
) -> Iterator[int | None]:
    """Yield for each death of a gateway the time until others were granted its share, or None if never.

    `deaths` are pairs of a gateway's number and a time. Deaths are skipped if the gateway had no share, or if
    the budget was not fully granted.
    """
    for gateway, at_us in deaths:
        lost_share = max(
            (
                grant.share
                for grant in grants
                if grant.gateway == gateway and grant.begin_us <= at_us < grant.end_us
            ),
            default=0,
        )
        if not lost_share or sum_at(grants, at_us) < FULLY_GRANTED_FRACTION * divisible_total:
            continue
        other_grants = [grant for grant in grants if grant.begin_us > at_us or grant.gateway != gateway]
        target = sum_at(other_grants, at_us) + FULLY_GRANTED_FRACTION * lost_share
        yield min(
            (
                grant.begin_us - at_us
                for grant in other_grants
                if grant.begin_us > at_us and sum_at(other_grants, grant.begin_us) >= target
            ),
            default=None,
        )


def sum_at(grants: Iterable[ShareGrant], at_us: int) -> int:
    """Return the sum of the shares that gateways may use at a time, the largest one of each incarnation."""
    max_share_by_holder: dict[tuple[int, int], int] = defaultdict(int)
    for grant in grants:
        if grant.begin_us <= at_us < grant.end_us:
            holder = grant.gateway, grant.incarnation
            max_share_by_holder[holder] = max(max_share_by_holder[holder], grant.share)
    return sum(max_share_by_holder.values())
