"""Checkers: what a history must not show. Each is a pure function from a history and its plan to violations.

What the faults of a plan excuse is said with each: a door that is dead owes nothing, one that is paused
cannot answer. All times are microseconds of the machine's monotonic clock.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import pairwise

from thistletrail.fault_injection.history import Record
from thistletrail.fault_injection.leases import overfull
from thistletrail.fault_injection.plan import ON_LINKS, Plan
from thistletrail.fault_injection.world import World
from thistletrail.gateway.snapshot_store import MAX_POLICY_AGE_S
from thistletrail.simulation.clock import MS, Clock, S
from thistletrail.simulation.ledger import Account, TokenBucket

NEVER = 1 << 62
RUN = ("served", "error", "gone", "lost", "silent")  # ends of attempts that may have run
FURTHER_SLACK = 2.0  # attempts that came on the way: doors count them when they are written
SWEEP_US = S  # for which a fault's traces are still met after its end: resets, late closes
# What a door says of state that it takes up, with its age, and of the list that it goes by.
TAKEN_UP = re.compile(r"takes up a snapshot of (\d+(?:\.\d+)?) s ago")


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, when, and by what."""

    rule: str
    at_us: int
    text: str


class Spans:
    """When somebody was struck: spans by name, and whether a moment or a stretch falls into one."""

    def __init__(self) -> None:
        self.spans: dict[str, list[tuple[int, int]]] = defaultdict(list)

    def add(self, name: str, begin: int, end: int) -> None:
        self.spans[name].append((begin, end))

    def meet(self, name: str, begin: int, end: int) -> bool:
        return any(begin <= last and first <= end for first, last in self.spans.get(name, ()))


class Seen:
    """A history, sorted by what checkers ask of it."""

    def __init__(self, records: Iterable[Record], plan: Plan, seed: int = 0) -> None:
        self.plan, self.seed = plan, seed
        self.by: dict[str, list[Record]] = defaultdict(list)
        for record in records:
            self.by[record["kind"]].append(record)
        self.down, self.paused, self.links, self.stalled = Spans(), Spans(), Spans(), Spans()
        for record in self.by["stalled"]:  # fault injection or its clients were late: nobody else is to blame
            self.stalled.add("", record["at"] - record["us"] - SWEEP_US, record["at"] + SWEEP_US)
        self.read_faults()
        self.read_downs()

    def read_faults(self) -> None:
        ends = {record["number"]: record["at"] for record in self.by["undone"]}
        for record in self.by["fault"]:
            end = ends.get(record["number"], NEVER) + SWEEP_US
            spans = self.links if record["fault"] in ON_LINKS else self.paused
            if record["fault"] in (*ON_LINKS, "pause"):
                for name in record["struck"]:
                    spans.add(name, record["at"], end)

    def read_downs(self) -> None:
        """From the fault, or the death, until it serves again."""
        gone: dict[str, int] = {}
        for record in sorted(
            (*self.by["died"], *self.by["started"], *self.by["fault"]), key=lambda record: record["at"]
        ):
            if record["kind"] == "fault":
                names = record["struck"] if record["fault"] in ("kill", "term") else []
                for name in names:
                    gone.setdefault(name, record["at"])
            elif record["kind"] == "died":
                gone.setdefault(record["who"], record["at"])
            elif record["who"] in gone:
                self.down.add(record["who"], gone.pop(record["who"]), record["at"] + SWEEP_US)
        for name, at in gone.items():
            self.down.add(name, at, NEVER)

    def struck(self, door: int, begin: int, end: int) -> bool:
        """Whether a door was down or paused then, its links to clients at fault, or fault injection late."""
        name = f"doors-{door}"
        return (
            self.down.meet(name, begin, end)
            or self.paused.meet(name, begin, end)
            or self.links.meet("clients-doors", begin, end)
            or self.stalled.meet("", begin, end)
        )


def one_answer(seen: Seen) -> list[Violation]:
    """One final answer for each request taken, in its time and half a second: none twice, none never.

    Excused: a door that was down or paused, and links to clients at fault, while the request was open.
    """
    found = []
    tries = {record["id"]: record for record in seen.by["try"]}
    count: dict[str, int] = defaultdict(int)
    for end in seen.by["end"]:
        count[end["id"]] += 1
        if count[end["id"]] > 1:
            found.append(Violation("one answer", end["at"], f"request {end['id']} ended twice"))
        asked = tries.get(end["id"])
        if asked and end["how"] == "unreached" and not seen.struck(asked["door"], asked["at"], end["at"]):
            found.append(
                Violation(
                    "one answer",
                    end["at"],
                    f"door {asked['door']} closed the connection of request {end['id']} without an answer",
                )
            )
    for record in seen.by["lost"]:
        asked = tries[record["id"]]
        if not seen.struck(asked["door"], asked["at"], record["at"]):
            found.append(
                Violation(
                    "one answer",
                    record["at"],
                    f"door {asked['door']} gave no answer to request {record['id']}",
                )
            )
    found += [
        Violation("one answer", record["at"], f"an answer that nobody asked for: {record['data']}")
        for record in seen.by["extra"]
    ]
    found += [
        Violation("one answer", asked["at"], f"request {asked['id']} never ended at its client")
        for asked in tries.values()
        if asked["id"] not in count
    ]
    return found


def attempts_of(seen: Seen) -> dict[str, list[tuple[Record, int, str]]]:
    """By request: each attempt that came whole, when it ended, and how."""
    ends = {(record["server"], record["serial"]): record for record in seen.by["left"]}
    found: dict[str, list[tuple[Record, int, str]]] = defaultdict(list)
    for record in seen.by["came"]:
        end = ends.get((record["server"], record["serial"]))
        if end is None:  # its scan server was killed with it
            died = [
                gone["at"]
                for gone in seen.by["died"]
                if gone["who"] == record["server"] and gone["at"] >= record["at"]
            ]
            found[record["id"]].append((record, min(died, default=NEVER), "lost"))
        else:
            found[record["id"]].append((record, end["at"], end["how"]))
    return found


def executions(seen: Seen) -> list[Violation]:
    """No request runs more often than its class allows: a keyed one runs in one zone, whose scan servers drop
    its repeats, and only while they remember it."""
    found = []
    rules = {rule.name: rule for rule in seen.plan.fleet.classes}
    for name, attempts in attempts_of(seen).items():
        ran = [record for record, _, how in attempts if how in RUN]
        if len(ran) < 2 or not rules[ran[0]["class"]].keyed:
            continue
        window = rules[ran[0]["class"]].window_ms * seen.plan.fleet.stretch * MS
        for record in ran[1:]:
            if record["zone"] != ran[0]["zone"]:
                found.append(Violation("executions", record["at"], f"keyed request {name} in two zones"))
            elif record["at"] - ran[0]["at"] > window + seen.plan.limits.drain_ms * MS:
                found.append(Violation("executions", record["at"], f"keyed request {name} after its window"))
    return found


def kept_work(seen: Seen) -> list[Violation]:
    """Where work in hand is kept, a key runs in one zone, by whichever requests it is asked for; and once a
    client was told its outcome nothing of it runs again. Excused: what a door logged as gone on without."""
    if not seen.plan.takeover:
        return []
    found: list[Violation] = []
    rules = {rule.name: rule for rule in seen.plan.fleet.classes}
    ends = {(record["server"], record["serial"]): record for record in seen.by["left"]}
    asked = {record["id"]: record for record in seen.by["try"]}
    served = {
        asked[record["id"]]["key"]: record["at"]
        for record in reversed(seen.by["end"])
        if record["how"] == "served" and record["id"] in asked
    }
    ran: dict[str, list[Record]] = defaultdict(list)
    for record in seen.by["came"]:
        end = ends.get((record["server"], record["serial"]))
        if (
            record["key"]
            and rules[record["class"]].name in seen.plan.takeover
            and (end is None or end["how"] in RUN)
        ):
            ran[record["key"]].append(record)
    slack = seen.plan.limits.drain_ms * MS
    for key, records in ran.items():
        if len({record["zone"] for record in records}) > 1:
            found.append(Violation("kept work", records[-1]["at"], f"key {key} ran in two zones"))
        found += [
            Violation("kept work", record["at"], f"key {key} ran again after its client was told")
            for record in records
            if record["at"] > served.get(key, NEVER) + slack
        ]
    return found


def one_attempt(seen: Seen) -> list[Violation]:
    """One attempt of a request is out at a time. Excused: the time that a link's delay, a paused scan server
    or a link to it at fault takes to show that an attempt was given up."""
    found, slack = [], seen.plan.limits.drain_ms * MS
    for name, attempts in attempts_of(seen).items():
        for (before, ended, _), (record, _, _) in pairwise(attempts):
            late = seen.paused.meet(before["server"], before["at"], record["at"])
            late = late or seen.links.meet("doors-servers", before["at"], record["at"])
            late = late or seen.stalled.meet("", before["at"], record["at"])
            if ended > record["at"] + slack and not late:
                found.append(
                    Violation(
                        "one attempt",
                        record["at"],
                        f"request {name} is out at {before['server']} and {record['server']}",
                    )
                )
    return found


def drains(seen: Seen) -> list[Violation]:
    """Nothing new to a scan server that drains or is gone, 250 ms after the door was told; a paused door is
    told when it wakes."""
    found = []
    grace = (seen.plan.fleet.drain_grace_ms + seen.plan.limits.drain_ms) * MS
    told: dict[str, dict[str, int]] = defaultdict(dict)  # by door and server: since when
    named: dict[str, set[str]] = defaultdict(set)
    records = (*seen.by["told"], *seen.by["sent"], *seen.by["started"])
    for record in sorted(records, key=lambda record: record["at"]):
        door, at = record.get("door", record.get("who")), record["at"]
        if record["kind"] == "started":  # a new process knows what it is told
            told.pop(door, None)
            named.pop(door, None)
        elif record["kind"] == "told":
            for server, lifecycle in record["servers"].items():
                if lifecycle == "SERVING":
                    told[door].pop(server, None)
                else:
                    told[door].setdefault(server, at)
            if record["whole"]:
                for server in named[door] - set(record["servers"]):
                    told[door].setdefault(server, at)
            named[door] |= set(record["servers"])
        elif (since := told[door].get(record["server"])) is not None:
            late = seen.paused.meet(door, since, at) or seen.stalled.meet("", since, since + grace)
            if at > since + grace and not late:
                found.append(
                    Violation(
                        "drains",
                        at,
                        f"{door} sent {record['id']} to {record['server']} "
                        f"{(at - since) // MS} ms after it was told",
                    )
                )
    return found


def accounts(seen: Seen) -> tuple[dict[str, Account], dict[str, list[tuple[int, bool]]]]:
    """The customers' stores as what was sent on leaves them; by plan, when each unit was sent and whether
    it was inside the quota."""
    world = World(seen.plan.fleet, seen.seed, Clock())
    figures = dict(zip([plan.name for plan in seen.plan.fleet.plans], world.plans, strict=True))
    found: dict[str, Account] = {}
    units: dict[str, list[tuple[int, bool]]] = defaultdict(list)
    counted: set[str] = set()
    for record in seen.by["came"]:
        if record["id"] in counted:
            continue
        counted.add(record["id"])
        plan = figures[record["plan"]]
        account = found.setdefault(
            record["customer"], Account(plan.rate, plan.burst, plan.ceiling, record["at"])
        )
        units[record["plan"]].append((record["at"], account.charge(1.0, record["at"])))
    return found, units


def quotas(seen: Seen) -> list[Violation]:
    """Over all doors, what is sent beyond the quotas of a plan that an overrun costs stays within the plan's
    stated share and units a customer; no ceiling is passed by more than its slack."""
    found, (stores, units), limits = [], accounts(seen), seen.plan.limits
    customers: dict[str, set[str]] = defaultdict(set)
    for record in seen.by["came"]:
        customers[record["plan"]].add(record["customer"])
    for plan in seen.plan.fleet.plans:
        sent = units.get(plan.name, [])
        beyond = sum(not inside for _, inside in sent)
        most = limits.quota_share * len(sent) + limits.quota_units * len(customers[plan.name])
        if plan.over_cost > plan.over_worth and beyond > most:
            found.append(
                Violation(
                    "quotas",
                    sent[-1][0],
                    f"plan {plan.name}: {beyond} of {len(sent)} units beyond the quotas, {most:.1f} at most",
                )
            )
    found += [
        Violation(
            "ceilings",
            seen.by["came"][-1]["at"],
            f"customer {name}: {-account.min_level:.1f} units beyond its ceiling, {account.slack:g} at most",
        )
        for name, account in stores.items()
        if account.is_ceiling_exceeded()
    ]
    return found


def budgets(seen: Seen) -> list[Violation]:
    """What all doors may believe in of a budget is never more than what is granted of the whole. Nothing is
    excused: it holds for whoever is dead, paused or cut off."""
    return [Violation("budgets", at, text) for at, text in overfull(seen)]


def further(seen: Seen) -> list[Violation]:
    """Where further attempts are divided by leases, all doors together make no more than come into one store
    of the whole, which begins full. One behind an attempt that never came whole to its server is free."""
    if seen.plan.further is None:
        return []
    rate, burst = seen.plan.further
    again = sorted(record["at"] for attempts in attempts_of(seen).values() for record, _, _ in attempts[1:])
    store = TokenBucket(rate, burst, seen.by["go"][0]["start_us"])
    lowest = min(((store.overdraw(1.0, at), at) for at in again), default=(0.0, 0))
    if lowest[0] >= -FURTHER_SLACK:
        return []
    return [Violation("further attempts", lowest[1], f"{-lowest[0]:.1f} further attempts beyond the whole")]


def stale(seen: Seen) -> list[Violation]:
    """No door goes by a snapshot that is older than its bound."""
    return [
        Violation("stale state", record["at"], f"door {record['door']} took up state of {age} s ago")
        for record in seen.by["door"]
        for age in TAKEN_UP.findall(record["text"])
        if float(age) > MAX_POLICY_AGE_S
    ]


def processes(seen: Seen) -> list[Violation]:
    """Nobody ends by itself, no cold scan server is pushed over, every command can be read, and no door's log
    has an error. Excused: what a door logs of the time for which it was paused, when it wakes."""
    found = [
        Violation("processes", record["at"], f"{record['who']} ended by itself ({record['code']})")
        for record in seen.by["died"]
        if not record["meant"]
    ]
    found += [
        Violation("cold servers", record["at"], f"{record['server']} was pushed over")
        for record in seen.by["fell"]
    ]
    found += [
        Violation("processes", record["at"], f"{record['server']} cannot read {record['words']}")
        for record in seen.by["unread"]
    ]
    found += [
        Violation("processes", record["at"], f"door {record['door']}: {record['text']}")
        for record in seen.by["door"]
        if record["level"] in ("ERROR", "CRITICAL")
        and not seen.paused.meet(f"doors-{record['door']}", record["at"], record["at"])
    ]
    return found


CHECKS: dict[str, Callable[[Seen], list[Violation]]] = {
    check.__name__: check
    for check in (
        one_answer,
        executions,
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


def check(seen: Seen) -> list[Violation]:
    """All that the history must not show, in order of time."""
    found = [violation for run in CHECKS.values() for violation in run(seen)]
    return sorted(found, key=lambda violation: violation.at_us)
