"""Checks of a recorded run: pure functions from the run's history and plan to the violations of a rule.

The docstring of each check names what injected faults excuse: a gateway that is down need not answer, and one
that is paused cannot. All times are in microseconds of the machine's monotonic clock.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import pairwise

from thistletrail.fault_injection.history import Record
from thistletrail.fault_injection.leases import find_overcommitments
from thistletrail.fault_injection.load_generator import REFUSED
from thistletrail.fault_injection.plan import ON_LINKS, Plan
from thistletrail.fault_injection.simulation_context import SimulationContext
from thistletrail.gateway.snapshot_store import MAX_POLICY_AGE_S
from thistletrail.simulation.clock import MS, Clock, S
from thistletrail.simulation.quota_accounts import Account, TokenBucket

NEVER_US = 1 << 62
POSSIBLY_EXECUTED_OUTCOMES = ("served", "error", "gone", "lost", "silent")
# Gateways count an attempt when they write it, the scan servers when it has arrived.
RETRY_BUDGET_SLACK_ATTEMPTS = 2.0
# Effects of a fault, such as resets and delayed closes of connections, still arrive this long after its end.
FAULT_AFTERMATH_US = S
# The log line of a gateway that restores a snapshot, with the snapshot's age in seconds.
SNAPSHOT_RESTORED_LOG = re.compile(r"takes up a snapshot of (\d+(?:\.\d+)?) s ago")


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, the time at which it was broken, and a description."""

    rule: str
    at_us: int
    text: str


class Spans:
    """The time spans in which processes or links were hit by faults, by the name of the process or link."""

    def __init__(self) -> None:
        self.spans: dict[str, list[tuple[int, int]]] = defaultdict(list)

    def add(self, name: str, begin_us: int, end_us: int) -> None:
        """Add a span of `name`; both its ends belong to it."""
        self.spans[name].append((begin_us, end_us))

    def overlaps(self, name: str, begin_us: int, end_us: int) -> bool:
        """Whether any span of `name` overlaps the given one; both include their ends."""
        return any(
            begin_us <= last_us and first_us <= end_us for first_us, last_us in self.spans.get(name, ())
        )


class RunHistory:
    """The history of one run: its records by kind, and the time spans of its faults.

    `down_spans` and `paused_spans` are by the name of the process, `link_fault_spans` by the kind of link.
    `stalled_spans`, in which the event loop of fault injection or its clients was late, have the empty name.
    """

    def __init__(self, records: Iterable[Record], plan: Plan, seed: int = 0) -> None:
        self.plan, self.seed = plan, seed
        self.records_by_kind: dict[str, list[Record]] = defaultdict(list)
        for record in records:
            self.records_by_kind[record["kind"]].append(record)
        self.down_spans, self.paused_spans = Spans(), Spans()
        self.link_fault_spans, self.stalled_spans = Spans(), Spans()
        # The processes under test are excused while the event loop that observes them was late.
        for record in self.records_by_kind["stalled"]:
            self.stalled_spans.add(
                "", record["at"] - record["us"] - FAULT_AFTERMATH_US, record["at"] + FAULT_AFTERMATH_US
            )
        self.read_fault_spans()
        self.read_down_spans()

    def read_fault_spans(self) -> None:
        """Collect the spans of faults on links and of pauses, each with its aftermath."""
        fault_ends_us = {record["number"]: record["at"] for record in self.records_by_kind["undone"]}
        for record in self.records_by_kind["fault"]:
            end_us = fault_ends_us.get(record["number"], NEVER_US) + FAULT_AFTERMATH_US
            spans = self.link_fault_spans if record["fault"] in ON_LINKS else self.paused_spans
            if record["fault"] in (*ON_LINKS, "pause"):
                for name in record["struck"]:
                    spans.add(name, record["at"], end_us)

    def read_down_spans(self) -> None:
        """Collect the spans in which a process is down: from the fault or its exit until it serves again."""
        down_since_us: dict[str, int] = {}
        for record in sorted(
            (*self.records_by_kind["died"], *self.records_by_kind["started"], *self.records_by_kind["fault"]),
            key=lambda record: record["at"],
        ):
            if record["kind"] == "fault":
                names = record["struck"] if record["fault"] in ("kill", "term") else []
                for name in names:
                    down_since_us.setdefault(name, record["at"])
            elif record["kind"] == "died":
                down_since_us.setdefault(record["who"], record["at"])
            elif record["who"] in down_since_us:
                self.down_spans.add(
                    record["who"], down_since_us.pop(record["who"]), record["at"] + FAULT_AFTERMATH_US
                )
        for name, at_us in down_since_us.items():
            self.down_spans.add(name, at_us, NEVER_US)

    def is_excused(self, gateway: int, begin_us: int, end_us: int) -> bool:
        """Whether a fault excuses a missing answer of a gateway in the given span.

        The gateway was down or paused, its links to clients had a fault, or fault injection itself was late.
        """
        name = f"doors-{gateway}"
        return (
            self.down_spans.overlaps(name, begin_us, end_us)
            or self.paused_spans.overlaps(name, begin_us, end_us)
            or self.link_fault_spans.overlaps("clients-doors", begin_us, end_us)
            or self.stalled_spans.overlaps("", begin_us, end_us)
        )

    def is_server_excused(self, server: str, begin_us: int, end_us: int) -> bool:
        """Whether a scan server may have read late what gateways did in a span.

        It was paused, its link had a fault, or the machine was stalled.
        """
        return (
            self.paused_spans.overlaps(server, begin_us, end_us)
            or self.link_fault_spans.overlaps("doors-servers", begin_us, end_us)
            or self.stalled_spans.overlaps("", begin_us, end_us)
        )


def one_answer(history: RunHistory) -> list[Violation]:
    """Each accepted request gets exactly one final answer, at most half a second after its deadline.

    Excused are gateways that were down or paused, and links to clients with a fault, while the request was
    in flight.
    """
    violations = []
    requests = {record["id"]: record for record in history.records_by_kind["try"]}
    end_counts: dict[str, int] = defaultdict(int)
    for end in history.records_by_kind["end"]:
        end_counts[end["id"]] += 1
        if end_counts[end["id"]] > 1:
            violations.append(Violation("one answer", end["at"], f"request {end['id']} ended twice"))
        request = requests.get(end["id"])
        if (
            request
            and end["how"] == "unreached"
            and not history.is_excused(request["door"], request["at"], end["at"])
        ):
            violations.append(
                Violation(
                    "one answer",
                    end["at"],
                    f"door {request['door']} closed the connection of request {end['id']} without an answer",
                )
            )
    for record in history.records_by_kind["lost"]:
        request = requests[record["id"]]
        if not history.is_excused(request["door"], request["at"], record["at"]):
            violations.append(
                Violation(
                    "one answer",
                    record["at"],
                    f"door {request['door']} gave no answer to request {record['id']}",
                )
            )
    violations += [
        Violation("one answer", record["at"], f"an answer that nobody asked for: {record['data']}")
        for record in history.records_by_kind["extra"]
    ]
    violations += [
        Violation("one answer", request["at"], f"request {request['id']} never ended at its client")
        for request in requests.values()
        if request["id"] not in end_counts
    ]
    return violations


def attempts_of(history: RunHistory) -> dict[str, list[tuple[Record, int, str]]]:
    """Return, by request id, each attempt that arrived completely, the time of its end, and its outcome."""
    ends = {(record["server"], record["serial"]): record for record in history.records_by_kind["left"]}
    attempts_by_request: dict[str, list[tuple[Record, int, str]]] = defaultdict(list)
    for record in history.records_by_kind["came"]:
        end = ends.get((record["server"], record["serial"]))
        if end is None:  # its scan server was killed while it ran
            death_times_us = [
                death["at"]
                for death in history.records_by_kind["died"]
                if death["who"] == record["server"] and death["at"] >= record["at"]
            ]
            attempts_by_request[record["id"]].append((record, min(death_times_us, default=NEVER_US), "lost"))
        else:
            attempts_by_request[record["id"]].append((record, end["at"], end["how"]))
    return attempts_by_request


def executions(history: RunHistory) -> list[Violation]:
    """No request is executed more often than its class allows.

    A keyed request runs in one zone only, whose scan servers drop its duplicates, and only within the window
    in which they remember its key.
    """
    violations = []
    rules = {rule.name: rule for rule in history.plan.fleet.classes}
    for request_id, attempts in attempts_of(history).items():
        executed = [record for record, _, outcome in attempts if outcome in POSSIBLY_EXECUTED_OUTCOMES]
        if len(executed) < 2 or not rules[executed[0]["class"]].keyed:
            continue
        window_us = rules[executed[0]["class"]].window_ms * history.plan.fleet.stretch * MS
        for record in executed[1:]:
            if record["zone"] != executed[0]["zone"]:
                violations.append(
                    Violation("executions", record["at"], f"keyed request {request_id} in two zones")
                )
            elif record["at"] - executed[0]["at"] > window_us + history.plan.limits.drain_ms * MS:
                violations.append(
                    Violation("executions", record["at"], f"keyed request {request_id} after its window")
                )
    return violations


def refusals(history: RunHistory) -> list[Violation]:
    """No attempt of a request begins after its client was told that it has no effect.

    Excused are attempts that a scan server reads late, because it was paused, its link had a fault or the
    machine was stalled between the refusal and their arrival. Others may arrive `drain_ms` later.
    """
    refused_at_us = {
        record["id"]: record["at"]
        for record in history.records_by_kind["end"]
        if record["how"].startswith(REFUSED)
    }
    slack_us = history.plan.limits.drain_ms * MS
    violations = []
    for record in history.records_by_kind["came"]:
        at_us = refused_at_us.get(record["id"], NEVER_US)
        if record["at"] <= at_us + slack_us:
            continue
        if not history.is_server_excused(record["server"], at_us, record["at"]):
            text = f"request {record['id']}, which was refused, began at {record['server']}"
            violations.append(Violation("refusals", record["at"], text))
    return violations


def kept_work(history: RunHistory) -> list[Violation]:
    """Where work items are stored, a key runs in one zone only, whichever requests carry it, and does not run
    again after a client has received its outcome."""
    if not history.plan.takeover:
        return []
    violations: list[Violation] = []
    rules = {rule.name: rule for rule in history.plan.fleet.classes}
    ends = {(record["server"], record["serial"]): record for record in history.records_by_kind["left"]}
    request_by_id = {record["id"]: record for record in history.records_by_kind["try"]}
    served_at_us = {
        request_by_id[record["id"]]["key"]: record["at"]
        for record in reversed(history.records_by_kind["end"])
        if record["how"] == "served" and record["id"] in request_by_id
    }
    executed_by_key: dict[str, list[Record]] = defaultdict(list)
    for record in history.records_by_kind["came"]:
        end = ends.get((record["server"], record["serial"]))
        if (
            record["key"]
            and rules[record["class"]].name in history.plan.takeover
            and (end is None or end["how"] in POSSIBLY_EXECUTED_OUTCOMES)
        ):
            executed_by_key[record["key"]].append(record)
    slack_us = history.plan.limits.drain_ms * MS
    for key, records in executed_by_key.items():
        if len({record["zone"] for record in records}) > 1:
            violations.append(Violation("kept work", records[-1]["at"], f"key {key} ran in two zones"))
        violations += [
            Violation("kept work", record["at"], f"key {key} ran again after its client was told")
            for record in records
            if record["at"] > served_at_us.get(key, NEVER_US) + slack_us
        ]
    return violations


def one_attempt(history: RunHistory) -> list[Violation]:
    """At most one attempt of a request is in flight at a time.

    Excused is an overlap while the scan server is paused or the link to it has a fault, as it then cannot
    observe that the gateway has given up the earlier attempt. Other overlaps may last for `drain_ms` of the
    plan's limits.
    """
    violations, slack_us = [], history.plan.limits.drain_ms * MS
    for request_id, attempts in attempts_of(history).items():
        for (earlier, earlier_end_us, _), (record, _, _) in pairwise(attempts):
            is_excused = history.is_server_excused(earlier["server"], earlier["at"], record["at"])
            if earlier_end_us > record["at"] + slack_us and not is_excused:
                violations.append(
                    Violation(
                        "one attempt",
                        record["at"],
                        f"request {request_id} is out at {earlier['server']} and {record['server']}",
                    )
                )
    return violations


def drains(history: RunHistory) -> list[Violation]:
    """A gateway sends nothing new to a scan server that is draining or has left.

    After the notification it may still send for the grace period of the fleet, 250 ms by default, plus
    `drain_ms` of the plan's limits. A paused gateway is notified when it continues.
    """
    violations = []
    grace_us = (history.plan.fleet.drain_grace_ms + history.plan.limits.drain_ms) * MS
    leaving_since_us: dict[str, dict[str, int]] = defaultdict(dict)  # by gateway and server
    known_servers: dict[str, set[str]] = defaultdict(set)
    records = (
        *history.records_by_kind["told"],
        *history.records_by_kind["sent"],
        *history.records_by_kind["started"],
    )
    for record in sorted(records, key=lambda record: record["at"]):
        gateway, at_us = record.get("door", record.get("who")), record["at"]
        if record["kind"] == "started":  # a new process knows only what it is notified of
            leaving_since_us.pop(gateway, None)
            known_servers.pop(gateway, None)
        elif record["kind"] == "told":
            for server, lifecycle in record["servers"].items():
                if lifecycle == "SERVING":
                    leaving_since_us[gateway].pop(server, None)
                else:
                    leaving_since_us[gateway].setdefault(server, at_us)
            if record["whole"]:
                for server in known_servers[gateway] - set(record["servers"]):
                    leaving_since_us[gateway].setdefault(server, at_us)
            known_servers[gateway] |= set(record["servers"])
        elif (since_us := leaving_since_us[gateway].get(record["server"])) is not None:
            is_excused = history.paused_spans.overlaps(
                gateway, since_us, at_us
            ) or history.stalled_spans.overlaps("", since_us, since_us + grace_us)
            if at_us > since_us + grace_us and not is_excused:
                violations.append(
                    Violation(
                        "drains",
                        at_us,
                        f"{gateway} sent {record['id']} to {record['server']} "
                        f"{(at_us - since_us) // MS} ms after it was told",
                    )
                )
    return violations


def accounts(history: RunHistory) -> tuple[dict[str, Account], dict[str, list[tuple[int, bool]]]]:
    """Return the account of each customer after all forwarded requests, and the units sent by quota plan.

    A unit is a pair: the time at which it arrived at a scan server, and whether it was inside the quota.
    """
    context = SimulationContext(history.plan.fleet, history.seed, Clock())
    quota_plan_by_name = dict(
        zip([plan.name for plan in history.plan.fleet.plans], context.plans, strict=True)
    )
    account_by_customer: dict[str, Account] = {}
    units_by_plan: dict[str, list[tuple[int, bool]]] = defaultdict(list)
    counted_ids: set[str] = set()
    for record in history.records_by_kind["came"]:
        if record["id"] in counted_ids:
            continue
        counted_ids.add(record["id"])
        plan = quota_plan_by_name[record["plan"]]
        account = account_by_customer.setdefault(
            record["customer"], Account(plan.rate, plan.burst, plan.ceiling, record["at"])
        )
        units_by_plan[record["plan"]].append((record["at"], account.charge(1.0, record["at"])))
    return account_by_customer, units_by_plan


def quotas(history: RunHistory) -> list[Violation]:
    """Over all gateways, overruns stay within the limits.

    For each quota plan whose overruns cost more than they are worth, the units beyond the quotas are at most
    `quota_share` of all units plus `quota_units` for each customer. No ceiling is exceeded by more than its
    slack.
    """
    violations, (account_by_customer, units_by_plan), limits = [], accounts(history), history.plan.limits
    customers: dict[str, set[str]] = defaultdict(set)
    for record in history.records_by_kind["came"]:
        customers[record["plan"]].add(record["customer"])
    for plan in history.plan.fleet.plans:
        sent = units_by_plan.get(plan.name, [])
        beyond_quota = sum(not inside for _, inside in sent)
        limit = limits.quota_share * len(sent) + limits.quota_units * len(customers[plan.name])
        if plan.over_cost > plan.over_worth and beyond_quota > limit:
            violations.append(
                Violation(
                    "quotas",
                    sent[-1][0],
                    f"plan {plan.name}: {beyond_quota} of {len(sent)} units beyond the quotas, "
                    f"{limit:.1f} at most",
                )
            )
    violations += [
        Violation(
            "ceilings",
            history.records_by_kind["came"][-1]["at"],
            f"customer {name}: {-account.min_level:.1f} units beyond its ceiling, {account.slack:g} at most",
        )
        for name, account in account_by_customer.items()
        if account.is_ceiling_exceeded()
    ]
    return violations


def budgets(history: RunHistory) -> list[Violation]:
    """The shares of a budget that all gateways may hold together never exceed the divisible total.

    Nothing is excused: the rule holds for gateways that are down, paused or partitioned, too.
    """
    return [Violation("budgets", at_us, text) for at_us, text in find_overcommitments(history)]


def further(history: RunHistory) -> list[Violation]:
    """With a retry budget that is divided by leases, all gateways together stay within one token bucket.

    The bucket has the whole budget and is full at the start. A retry after an attempt that never arrived
    completely at its scan server is not counted.
    """
    if history.plan.further is None:
        return []
    rate, burst = history.plan.further
    retry_times_us = sorted(
        record["at"] for attempts in attempts_of(history).values() for record, _, _ in attempts[1:]
    )
    bucket = TokenBucket(rate, burst, history.records_by_kind["go"][0]["start_us"])
    min_level, at_us = min(
        ((bucket.overdraw(1.0, at_us), at_us) for at_us in retry_times_us), default=(0.0, 0)
    )
    if min_level >= -RETRY_BUDGET_SLACK_ATTEMPTS:
        return []
    return [Violation("further attempts", at_us, f"{-min_level:.1f} further attempts beyond the whole")]


def stale(history: RunHistory) -> list[Violation]:
    """No gateway restores a snapshot that is older than `MAX_POLICY_AGE_S`."""
    return [
        Violation("stale state", record["at"], f"door {record['door']} took up state of {age_s} s ago")
        for record in history.records_by_kind["door"]
        for age_s in SNAPSHOT_RESTORED_LOG.findall(record["text"])
        if float(age_s) > MAX_POLICY_AGE_S
    ]


def processes(history: RunHistory) -> list[Violation]:
    """No process exits unless the run terminates or kills it, and gateways log no error.

    Scan servers can read every command, and none collapses under its load while it is warming up.

    Excused are errors that a gateway logs while it is paused or just after it continues.
    """
    violations = [
        Violation("processes", record["at"], f"{record['who']} ended by itself ({record['code']})")
        for record in history.records_by_kind["died"]
        if not record["meant"]
    ]
    violations += [
        Violation(
            "cold servers",
            record["at"],
            f"{record['server']} was pushed over",
        )
        for record in history.records_by_kind["fell"]
    ]
    violations += [
        Violation("processes", record["at"], f"{record['server']} cannot read {record['words']}")
        for record in history.records_by_kind["unread"]
    ]
    violations += [
        Violation("processes", record["at"], f"door {record['door']}: {record['text']}")
        for record in history.records_by_kind["door"]
        if record["level"] in ("ERROR", "CRITICAL")
        and not history.paused_spans.overlaps(f"doors-{record['door']}", record["at"], record["at"])
    ]
    return violations


CHECKS: dict[str, Callable[[RunHistory], list[Violation]]] = {
    check.__name__: check
    for check in (
        one_answer,
        executions,
        refusals,
        kept_work,
        one_attempt,
        drains,
        quotas,
        budgets,
        further,
        stale,
        processes,
    )
}


def check(history: RunHistory) -> list[Violation]:
    """Run all checks and return their violations in order of time."""
    violations = [violation for run_check in CHECKS.values() for violation in run_check(history)]
    return sorted(violations, key=lambda violation: violation.at_us)
