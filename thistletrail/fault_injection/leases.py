"""Budget leases in a history: renewals, grants, and the shares that gateways may hold at the same time.

Relays record the messages, and forward them unchanged. A grant counts from the time at which its response
passed the relay until its lease expires, measured from the time at which its request passed; it ends earlier
when the same incarnation of the gateway sends a request with a later fencing number. So the shares that
gateways really hold are never more than the sums computed here.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

import msgspec

from thistletrail.fault_injection.relay import THERE, Relay, Side
from thistletrail.fault_injection.world import World
from thistletrail.gateway.budget_lease_client import RETRY_BUDGET_NAME
from thistletrail.leasing.budget_state import MARGIN_FRACTION, BudgetLimits, divisible_total
from thistletrail.leasing.messages import RenewRequest, RenewResponse
from thistletrail.simulation.clock import Clock, S

if TYPE_CHECKING:
    from thistletrail.fault_injection.checks import RunHistory

MAX_HEAD_BYTES = 1 << 14
MAX_BODY_BYTES = 1 << 20
HEAD_END = b"\r\n\r\n"
# The share of a total that counts as fully granted, and of a dead gateway's share as granted to others.
FULLY_GRANTED_SHARE = 0.9


class MessageReader:
    """Reads one direction of an HTTP/1.1 connection.

    It gives up at the first message without a Content-Length, or with too large a head or body, and returns
    nothing from then on.
    """

    def __init__(self) -> None:
        self.buffer, self.has_given_up = b"", False

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Yield the first line and the body of each message that is complete."""
        if self.has_given_up:
            return
        self.buffer += data
        while (at := self.buffer.find(HEAD_END)) >= 0:
            first, *rest = self.buffer[:at].split(b"\r\n")
            fields = dict(line.lower().split(b":", 1) for line in rest if b":" in line)
            length = fields.get(b"content-length", b"").strip()
            if not length.isdigit() or int(length) > MAX_BODY_BYTES:
                break
            end = at + len(HEAD_END) + int(length)
            if len(self.buffer) < end:
                return
            body, self.buffer = self.buffer[at + len(HEAD_END) : end], self.buffer[end:]
            yield first, body
        else:
            if len(self.buffer) <= MAX_HEAD_BYTES:
                return
        self.has_given_up, self.buffer = True, b""


class Renewals(Relay):
    """From a gateway to a lease service: records each renewal request and each grant."""

    def __init__(self, *values: Any) -> None:  # noqa: ANN401 - the arguments of Relay
        super().__init__(*values)
        self.readers: WeakKeyDictionary[Side, MessageReader] = WeakKeyDictionary()

    def on_data(self, side: Side, data: bytes) -> None:
        for first, body in self.readers.setdefault(side, MessageReader()).feed(data):
            try:
                if side.out.way == THERE:
                    request = msgspec.msgpack.decode(body, type=RenewRequest)
                    self.note(
                        "asked",
                        door=request.gateway,
                        mark=request.incarnation,
                        serial=request.serial,
                        fences={budget.budget: budget.fence for budget in request.budgets if budget.fence},
                    )
                elif first.split()[1:2] == [b"200"]:
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
                continue  # the body of another call


@dataclass(frozen=True, slots=True)
class HeldShare:
    """A share of a budget that one incarnation of a gateway may hold, and its time span."""

    budget: str
    door: int
    incarnation: int
    share: int
    begin_us: int
    end_us: int


def held_shares(history: RunHistory) -> list[HeldShare]:
    """Return the share of every grant, for as long as its gateway may hold it."""
    request_times_us: dict[tuple[int, int, int], int] = {}
    # Times of requests with the fencing number that they carry, by gateway, incarnation and budget.
    later_fences: dict[tuple[int, int, str], list[tuple[int, int]]] = defaultdict(list)
    for record in history.records_by_kind["asked"]:
        request_times_us.setdefault((record["door"], record["mark"], record["serial"]), record["at"])
        for budget, fence in record["fences"].items():
            later_fences[record["door"], record["mark"], budget].append((record["at"], fence))
    shares = []
    for record in history.records_by_kind["granted"]:
        request_us = request_times_us.get((record["door"], record["mark"], record["serial"]))
        if request_us is None:
            continue  # a response to a request that no relay has recorded
        lease_us = round(record["lease_ms"] * 1000 * (1 - MARGIN_FRACTION))
        for budget, (fence, share) in record["parts"].items():
            superseded_us = min(
                (
                    at_us
                    for at_us, known_fence in later_fences[record["door"], record["mark"], budget]
                    if known_fence > fence
                ),
                default=request_us + lease_us,
            )
            if (end_us := min(request_us + lease_us, superseded_us)) > record["at"]:
                shares.append(HeldShare(budget, record["door"], record["mark"], share, record["at"], end_us))
    return shares


def share_sums(held: Iterable[HeldShare]) -> Iterator[tuple[int, int]]:
    """Yield the sum of the shares that all gateways may hold, at each time at which it changes.

    Of several shares of one incarnation of a gateway, the largest counts.
    """
    shares = list(held)
    changes = sorted(
        change
        for number, share in enumerate(shares)
        for change in ((share.end_us, 0, number), (share.begin_us, 1, number))
    )  # at the same time, ends come before begins
    active_shares: dict[tuple[int, int], list[int]] = defaultdict(list)
    total = 0
    for at_us, begins, number in changes:
        holder_shares = active_shares[shares[number].door, shares[number].incarnation]
        previous = max(holder_shares, default=0)
        (holder_shares.append if begins else holder_shares.remove)(shares[number].share)
        total += max(holder_shares, default=0) - previous
        yield at_us, total


def divisible_totals(history: RunHistory) -> dict[str, int]:
    """Return the divisible total of each budget in thousandths of a unit a second.

    The keys are kind and quota plan of a budget, and the name of the retry budget.
    """
    world = World(history.plan.fleet, history.seed, Clock())
    limits = {}
    for plan, figures in zip(history.plan.fleet.plans, world.plans, strict=True):
        limits |= {f"quota/{plan.name}": (figures.rate, figures.burst)} if history.plan.quotas else {}
        limits |= {f"ceiling/{plan.name}": figures.ceiling} if figures.ceiling[0] else {}
    if history.plan.further:
        limits[RETRY_BUDGET_NAME] = history.plan.further
    return {
        name: divisible_total(BudgetLimits(round(rate * 1000), int(burst)))
        for name, (rate, burst, *_) in limits.items()
    }


def total_of(totals: dict[str, int], budget: str) -> int:
    return totals["/".join(budget.split("/")[:2])]


def group_by_budget(history: RunHistory) -> dict[str, list[HeldShare]]:
    shares_by_budget: dict[str, list[HeldShare]] = defaultdict(list)
    for share in held_shares(history):
        shares_by_budget[share.budget].append(share)
    return shares_by_budget


def overcommitted(history: RunHistory) -> Iterator[tuple[int, str]]:
    """Yield the time and a description of each overcommitted budget and each reused fencing number.

    A budget is overcommitted when the shares that all gateways may hold add up to more than its divisible
    total.
    """
    totals = divisible_totals(history)
    for budget, held in group_by_budget(history).items():
        divisible = total_of(totals, budget)
        max_sum, at_us = max(((total, at_us) for at_us, total in share_sums(held)), default=(0, 0))
        if max_sum > divisible:
            yield at_us, f"{max_sum} of {divisible} of {budget} may be believed in"
    grant_by_fence: dict[int, tuple[object, ...]] = {}
    for record in history.records_by_kind["granted"]:
        for budget, (fence, share) in record["parts"].items():
            grant = budget, record["door"], record["mark"], share
            if grant_by_fence.setdefault(fence, grant) != grant:
                yield record["at"], f"fence {fence} is of two grants"


@dataclass(frozen=True, slots=True)
class LeaseSummary:
    """How budgets were divided in a run; times in seconds."""

    most_held: float  # the largest sum of held shares, as a share of the divisible total
    regained_s: float | None  # median time from a gateway's death until its share was granted to others
    unregained: int  # shares of dead gateways that were not granted to others by the end
    renewals: int
    stewards: int  # lease services that granted anything


def lease_summary(history: RunHistory) -> LeaseSummary:
    """Summarize how the budgets of a run were divided."""
    totals, held = divisible_totals(history), group_by_budget(history)
    shares = [
        total / total_of(totals, budget)
        for budget, budget_shares in held.items()
        for _, total in share_sums(budget_shares)
    ]
    deaths = [
        (int(record["who"].removeprefix("doors-")), record["at"])
        for record in history.records_by_kind["died"]
        if record["who"].startswith("doors-") and record["at"] < history.records_by_kind["go"][0]["end_us"]
    ]
    waits = [
        wait
        for budget, budget_shares in held.items()
        for wait in regain_times_us(budget_shares, deaths, total_of(totals, budget))
    ]
    known_waits_s = [wait / S for wait in waits if wait is not None]
    return LeaseSummary(
        max(shares, default=0.0),
        median(known_waits_s) if known_waits_s else None,
        len(waits) - len(known_waits_s),
        len(history.records_by_kind["granted"]),
        len({record["steward"] for record in history.records_by_kind["granted"]}),
    )


def regain_times_us(
    held: list[HeldShare], deaths: list[tuple[int, int]], divisible: int
) -> Iterator[int | None]:
    """Yield for each death of a gateway the time until others were granted the share that it held, or None.

    Deaths are skipped if the gateway held no share, or if the budget was not fully granted.
    """
    for door, at_us in deaths:
        lost_share = max(
            (share.share for share in held if share.door == door and share.begin_us <= at_us < share.end_us),
            default=0,
        )
        if not lost_share or sum_at(held, at_us) < FULLY_GRANTED_SHARE * divisible:
            continue
        others = [share for share in held if share.begin_us > at_us or share.door != door]
        target = sum_at(others, at_us) + FULLY_GRANTED_SHARE * lost_share
        yield min(
            (
                share.begin_us - at_us
                for share in others
                if share.begin_us > at_us and sum_at(others, share.begin_us) >= target
            ),
            default=None,
        )


def sum_at(held: Iterable[HeldShare], at_us: int) -> int:
    """Return the sum of the shares that may be held at a time, the largest one of each incarnation."""
    max_share_by_holder: dict[tuple[int, int], int] = defaultdict(int)
    for share in held:
        if share.begin_us <= at_us < share.end_us:
            max_share_by_holder[share.door, share.incarnation] = max(
                max_share_by_holder[share.door, share.incarnation], share.share
            )
    return sum(max_share_by_holder.values())
