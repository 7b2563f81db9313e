"""Figures of a run: the recovery to full service, and the load that the gateways caused meanwhile."""

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

    The figures `*_calm` are those of the baseline run, which plays the same load without faults. They and the
    figures of the recovery are None without a baseline run. The fields' names are the keys of `result.json`.
    """

    served: float  # worth served in time, as a share of the worth requested inside the quotas
    full_s: float | None  # from the first fault until full service; None if never
    full_after_pong_s: float | None  # the same, from the first PONG of the last restarted gateway
    worst_second: float | None  # lowest served worth in a second, as a share of the baseline's
    lost: float | None  # worth lost, as a share of all worth requested
    connections: int  # opened from gateways to scan servers, in the worst second
    connections_calm: int | None
    list_reads: int  # connections opened to the registry and its read replica, in the worst second
    list_reads_calm: int | None
    words: int  # quota messages in the worst second
    words_calm: int | None
    pushed_over: int  # scan servers that collapsed under their load while they were warming up
    beyond: int  # units beyond the quotas of plans whose overrun costs more than it is worth
    beyond_calm: int | None
    retries: float  # requests after the first, per operation
    refused: int  # requests that a gateway refused
    failed: int  # requests that failed
    gone: int  # requests without an answer by the client's deadline
    fault_injection_late_s: float  # maximum lag of fault injection's own event loops; high on a busy machine

    def as_json(self) -> dict[str, object]:
        """Return the figures under the keys of `result.json`."""
        return asdict(self)


# What each figure counts, for the tables that commands print.
LABELS = {
    "served": "worth served in time, as a share of the worth requested inside the quotas",
    "full_s": "time from the first fault to full service, s",
    "full_after_pong_s": "time from the last restarted gateway's first PONG to full service, s",
    "worst_second": "lowest worth served in a second, as a share of the baseline run's",
    "lost": "worth lost, as a share of all worth requested",
    "connections": "connections opened to scan servers, maximum in a second",
    "connections_calm": "the same in the baseline run",
    "list_reads": "connections opened to the registry, maximum in a second",
    "list_reads_calm": "the same in the baseline run",
    "words": "quota messages, maximum in a second",
    "words_calm": "the same in the baseline run",
    "pushed_over": "scan servers that collapsed while they were warming up",
    "beyond": "units beyond quotas whose overrun costs more than it is worth",
    "beyond_calm": "the same in the baseline run",
    "retries": "retries per operation",
    "refused": "requests refused",
    "failed": "requests failed",
    "gone": "requests without an answer by the client's deadline",
    "fault_injection_late_s": "maximum lag of fault injection's own event loops, s",
}


def load_start_us(history: RunHistory) -> int:
    """Return when the load began, in microseconds of the monotonic clock."""
    return history.records_by_kind["go"][0]["start_us"]


def operations_in_quota(history: RunHistory) -> list[Point]:
    """Return the operations inside the ideal quotas.

    Each has the time from the load's start in microseconds, its worth, and whether it was served in time.
    """
    start_us = load_start_us(history)
    return [
        (record["first_us"] - start_us, record["worth"], record["in_time"])
        for record in history.records_by_kind["ask"]
        if record["ideal"]
    ]


def max_per_second(times_us: Iterable[int], amounts: Iterable[int] | None = None) -> int:
    """Return the maximum sum of amounts in any second that begins at a multiple of 0.1 s.

    Without `amounts`, each time counts as 1.
    """
    tenth_us = S // 10
    sum_by_tenth: Counter[int] = Counter()
    for at_us, amount in zip(times_us, itertools.repeat(1) if amounts is None else amounts, strict=False):
        sum_by_tenth[at_us // tenth_us] += amount
    return max((sum(sum_by_tenth[tenth + n] for n in range(10)) for tenth in sum_by_tenth), default=0)


def records_until_end(history: RunHistory, kind: str) -> list[Record]:
    """Return the records of a kind before the load ends: later ones belong to the shutdown of the run."""
    end_us = history.records_by_kind["go"][0]["end_us"]
    return [record for record in history.records_by_kind[kind] if record["at"] < end_us]


def max_opened_per_second(history: RunHistory, *links: str) -> int:
    """Return the maximum number of connections that were opened on these kinds of links in any second."""
    return max_per_second(
        record["at"] for record in records_until_end(history, "open") if record["link"] in links
    )


def max_quota_messages_per_second(history: RunHistory) -> int:
    """Return the maximum number of quota messages between gateways in any second."""
    records = records_until_end(history, "words")
    return max_per_second([record["at"] for record in records], [record["count"] for record in records])


def units_beyond_quotas(history: RunHistory) -> int:
    """Count the units beyond the quotas of plans whose overruns cost more than they are worth."""
    costly_plans = {plan.name for plan in history.plan.fleet.plans if plan.over_cost > plan.over_worth}
    return sum(
        not inside
        for plan, units in accounts(history)[1].items()
        if plan in costly_plans
        for _, inside in units
    )


def last_pong_us(history: RunHistory, fault_us: int) -> int | None:
    """Return when the last gateway that started after a fault answered PING, in microseconds.

    Returns None if no gateway started after the fault. A gateway's `started` record is written at its PONG.
    """
    pong_times_us = [
        record["at"]
        for record in history.records_by_kind["started"]
        if record["who"].startswith("doors-") and record["at"] > fault_us
    ]
    return max(pong_times_us, default=None)


def compute_figures(history: RunHistory, baseline: RunHistory | None = None) -> Figures:
    """Compute the figures of a run, compared with its baseline run if there is one."""
    operations, start_us = operations_in_quota(history), load_start_us(history)
    offered = sum(worth for _, worth, _ in operations) or 1.0
    outcomes = Counter(record["how"] for record in history.records_by_kind["end"])
    recovery = full_after_pong_s = None
    fault_times_us = [
        record["at"] for record in history.records_by_kind["fault"] if record["fault"] != "burst"
    ]
    if baseline is not None and fault_times_us:
        end_us = history.records_by_kind["go"][0]["end_us"] - start_us
        baseline_operations = operations_in_quota(baseline)
        recovery = measure_recovery(operations, baseline_operations, min(fault_times_us) - start_us, end_us)
        pong_us = last_pong_us(history, min(fault_times_us))
        if pong_us is not None:
            full_after_pong_s = measure_recovery(
                operations, baseline_operations, pong_us - start_us, end_us
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


def count_by_second(records: Iterable[Record], start_us: int, length_s: float) -> list[int]:
    """Count the records in each second of the load, weighted by their `count`."""
    counts = [0] * (int(length_s) + 1)
    for record in records:
        second = (record["at"] - start_us) // S
        if 0 <= second < len(counts):
            counts[second] += record.get("count", 1)
    return counts
