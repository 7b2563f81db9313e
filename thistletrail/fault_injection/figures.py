"""What a run was like, in figures: the way back to full service, and what the fleet did on it."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass

from thistletrail.fault_injection.checks import RunHistory, accounts
from thistletrail.fault_injection.history import Record
from thistletrail.simulation.clock import S
from thistletrail.simulation.service import Point, measure_recovery


@dataclass(frozen=True, slots=True)
class Figures:
    """Of one run; times in seconds, rates a second at their highest. Those against calm need its twin."""

    served: float  # share of the worth asked inside the quotas
    full_s: float | None  # from the first fault until full service
    full_after_pong_s: float | None  # the same, from when the last restarted door answered PING
    worst_second: float | None  # share of what the calm twin served then
    lost: float | None  # worth, as a share of all that was asked
    connections: int  # doors to scan servers, in the worst second
    connections_calm: int | None
    list_reads: int
    list_reads_calm: int | None
    words: int
    words_calm: int | None
    pushed_over: int
    beyond: int  # units beyond quotas that an overrun costs
    beyond_calm: int | None
    retries: float  # a first try
    refused: int
    failed: int
    gone: int
    fault_injection_late_s: float  # at most, of the own loop and its clients': the machine was too busy

    def as_json(self) -> dict[str, object]:
        return asdict(self)


def start_us(seen: RunHistory) -> int:
    return seen.by["go"][0]["start_us"]


def points(seen: RunHistory) -> list[Point]:
    """What was asked inside the quotas, and whether it was served in time."""
    start = start_us(seen)
    return [
        (record["first_us"] - start, record["worth"], record["in_time"])
        for record in seen.by["ask"]
        if record["ideal"]
    ]


def busiest(times: Iterable[int], counts: Iterable[int] | None = None) -> int:
    """The most in a second, of seconds that begin at a tenth."""
    tenth = S // 10
    found: Counter[int] = Counter()
    for at, count in zip(times, itertools.repeat(1) if counts is None else counts, strict=False):
        found[at // tenth] += count
    return max((sum(found[at + n] for n in range(10)) for at in found), default=0)


def until_end(seen: RunHistory, kind: str) -> list[Record]:
    """Records up to the load's end: what comes after it is the end of the run."""
    end = seen.by["go"][0]["end_us"]
    return [record for record in seen.by[kind] if record["at"] < end]


def opened(seen: RunHistory, *links: str) -> int:
    return busiest(record["at"] for record in until_end(seen, "open") if record["link"] in links)


def words(seen: RunHistory) -> int:
    kept = until_end(seen, "words")
    return busiest([record["at"] for record in kept], [record["count"] for record in kept])


def beyond(seen: RunHistory) -> int:
    costly = {plan.name for plan in seen.plan.fleet.plans if plan.over_cost > plan.over_worth}
    return sum(
        not inside for plan, units in accounts(seen)[1].items() if plan in costly for _, inside in units
    )


def last_pong(seen: RunHistory, fault_at: int) -> int | None:
    """When the last door that was down answered PING again, by `Fleet`'s own look."""
    came = [
        record["at"]
        for record in seen.by["started"]
        if record["who"].startswith("doors-") and record["at"] > fault_at
    ]
    return max(came, default=None)


def figures(seen: RunHistory, calm: RunHistory | None = None) -> Figures:
    """Of a run, and against its calm twin where there is one."""
    mine, start = points(seen), start_us(seen)
    offered = sum(worth for _, worth, _ in mine) or 1.0
    ends = Counter(record["how"] for record in seen.by["end"])
    back = after_pong = None
    faults = [record["at"] for record in seen.by["fault"] if record["fault"] != "burst"]
    if calm is not None and faults:
        end = seen.by["go"][0]["end_us"] - start
        usual = points(calm)
        back = measure_recovery(mine, usual, min(faults) - start, end)
        pong = last_pong(seen, min(faults))
        if pong is not None:
            after_pong = measure_recovery(mine, usual, pong - start, end).full_s
    return Figures(
        served=sum(worth for _, worth, in_time in mine if in_time) / offered,
        full_s=back.full_s if back else None,
        full_after_pong_s=after_pong,
        worst_second=back.worst_second if back else None,
        lost=back.lost if back else None,
        connections=opened(seen, "doors-servers"),
        connections_calm=opened(calm, "doors-servers") if calm else None,
        list_reads=opened(seen, "doors-list", "doors-follower"),
        list_reads_calm=opened(calm, "doors-list", "doors-follower") if calm else None,
        words=words(seen),
        words_calm=words(calm) if calm else None,
        pushed_over=len(seen.by["fell"]),
        beyond=beyond(seen),
        beyond_calm=beyond(calm) if calm else None,
        retries=len(seen.by["end"]) / max(1, len(seen.by["ask"])) - 1,
        refused=ends["refused"],
        failed=ends["failed"],
        gone=ends["gone"],
        fault_injection_late_s=max((record["us"] / S for record in seen.by["stalled"]), default=0.0),
    )


def by_second(records: Iterable[Record], start: int, length_s: float) -> list[int]:
    """How many records fall into each second of the load."""
    found = [0] * (int(length_s) + 1)
    for record in records:
        second = (record["at"] - start) // S
        if 0 <= second < len(found):
            found[second] += record.get("count", 1)
    return found
