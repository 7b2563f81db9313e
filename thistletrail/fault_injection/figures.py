"""Figures of a run: the recovery to full service, and the load that the fleet caused meanwhile."""

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
    """The figures of one run: times in seconds, rates as the maximum in any second.

    The figures `*_calm` and those of the recovery are None without a baseline run, which plays the same load
    without faults.
    The fields' names are the keys of `result.json`.
    """

    served: float  # share of the worth asked inside the quotas
    full_s: float | None  # from the first fault until full service; None if never
    full_after_pong_s: float | None  # the same, from the first PONG of the last restarted gateway
    worst_second: float | None  # lowest served worth in a second, as a share of the baseline's
    lost: float | None  # worth lost, as a share of all worth requested
    connections: int  # opened from gateways to scan servers, in the worst second
    connections_calm: int | None
    list_reads: int
    list_reads_calm: int | None
    words: int  # quota messages in the worst second
    words_calm: int | None
    pushed_over: int  # scan servers that collapsed under their load
    beyond: int  # units beyond the quotas of plans whose overrun costs more than it is worth
    beyond_calm: int | None
    retries: float  # requests after the first, per operation
    refused: int
    failed: int
    gone: int
    fault_injection_late_s: float  # maximum lag of the own event loops; high if the machine was too busy

    def as_json(self) -> dict[str, object]:
        return asdict(self)


def start_us(history: RunHistory) -> int:
    return history.records_by_kind["go"][0]["start_us"]


def operations_in_quota(history: RunHistory) -> list[Point]:
    """The time from the load's start, the worth and the success of each operation inside the ideal quotas."""
    start = start_us(history)
    return [
        (record["first_us"] - start, record["worth"], record["in_time"])
        for record in history.records_by_kind["ask"]
        if record["ideal"]
    ]


def max_per_second(times: Iterable[int], amounts: Iterable[int] | None = None) -> int:
    """The maximum count in any second that begins at a multiple of 0.1 s; times are in microseconds."""
    tenth_us = S // 10
    counts_by_tenth: Counter[int] = Counter()
    for at, amount in zip(times, itertools.repeat(1) if amounts is None else amounts, strict=False):
        counts_by_tenth[at // tenth_us] += amount
    return max((sum(counts_by_tenth[at + n] for n in range(10)) for at in counts_by_tenth), default=0)


def records_until_end(history: RunHistory, kind: str) -> list[Record]:
    """The records of a kind before the load ends: later ones belong to the shutdown of the run."""
    end = history.records_by_kind["go"][0]["end_us"]
    return [record for record in history.records_by_kind[kind] if record["at"] < end]


def max_opened_per_second(history: RunHistory, *links: str) -> int:
    return max_per_second(
        record["at"] for record in records_until_end(history, "open") if record["link"] in links
    )


def max_quota_messages_per_second(history: RunHistory) -> int:
    records = records_until_end(history, "words")
    return max_per_second([record["at"] for record in records], [record["count"] for record in records])


def units_beyond_quotas(history: RunHistory) -> int:
    costly = {plan.name for plan in history.plan.fleet.plans if plan.over_cost > plan.over_worth}
    return sum(
        not inside for plan, units in accounts(history)[1].items() if plan in costly for _, inside in units
    )


def last_pong_us(history: RunHistory, fault_us: int) -> int | None:
    """When the last restarted gateway answered the fleet's PING again, in microseconds, or None."""
    pongs = [
        record["at"]
        for record in history.records_by_kind["started"]
        if record["who"].startswith("doors-") and record["at"] > fault_us
    ]
    return max(pongs, default=None)


def compute_figures(history: RunHistory, baseline: RunHistory | None = None) -> Figures:
    """Compute the figures of a run, compared with its baseline run if there is one."""
    operations, start = operations_in_quota(history), start_us(history)
    offered = sum(worth for _, worth, _ in operations) or 1.0
    outcomes = Counter(record["how"] for record in history.records_by_kind["end"])
    recovery = full_after_pong_s = None
    faults = [record["at"] for record in history.records_by_kind["fault"] if record["fault"] != "burst"]
    if baseline is not None and faults:
        end_us = history.records_by_kind["go"][0]["end_us"] - start
        baseline_operations = operations_in_quota(baseline)
        recovery = measure_recovery(operations, baseline_operations, min(faults) - start, end_us)
        pong_us = last_pong_us(history, min(faults))
        if pong_us is not None:
            full_after_pong_s = measure_recovery(
                operations, baseline_operations, pong_us - start, end_us
            ).full_s
    return Figures(
        served=sum(worth for _, worth, in_time in operations if in_time) / offered,
        full_s=recovery.full_s if recovery else None,
        full_after_pong_s=full_after_pong_s,
        worst_second=recovery.worst_second if recovery else None,
        lost=recovery.lost if recovery else None,
        connections=max_opened_per_second(history, "doors-servers"),
        connections_calm=max_opened_per_second(baseline, "doors-servers") if baseline else None,
        list_reads=max_opened_per_second(history, "doors-list", "doors-follower"),
        list_reads_calm=max_opened_per_second(baseline, "doors-list", "doors-follower") if baseline else None,
        words=max_quota_messages_per_second(history),
        words_calm=max_quota_messages_per_second(baseline) if baseline else None,
        pushed_over=len(history.records_by_kind["fell"]),
        beyond=units_beyond_quotas(history),
        beyond_calm=units_beyond_quotas(baseline) if baseline else None,
        retries=len(history.records_by_kind["end"]) / max(1, len(history.records_by_kind["ask"])) - 1,
        refused=outcomes["refused"],
        failed=outcomes["failed"],
        gone=outcomes["gone"],
        fault_injection_late_s=max(
            (record["us"] / S for record in history.records_by_kind["stalled"]), default=0.0
        ),
    )


def count_by_second(records: Iterable[Record], start: int, length_s: float) -> list[int]:
    """Count the records in each second of the load, weighted by their `count`."""
    counts = [0] * (int(length_s) + 1)
    for record in records:
        second = (record["at"] - start) // S
        if 0 <= second < len(counts):
            counts[second] += record.get("count", 1)
    return counts
