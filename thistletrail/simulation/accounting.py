"""The accounting of a run: each rejection, each unit beyond quota and each loss has exactly one cause.

Amounts add up: the causes of rejections to the rejected requests, those of units beyond quota to the units,
and those of losses to the value offered less the value earned. `check` returns a message for each sum
that does not add up.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from thistletrail.simulation.service import Point

# Limits on the log lines and violations that are stored; all violations are counted.
MAX_LOG_LINES, MAX_VIOLATIONS = 200, 100
# From the operators' brief: the length of the worst window in seconds, and the weights of the whole run, of
# the worst window and of the worst-served plan in the score.
WINDOW_S = 10
WEIGHTS = (0.55, 0.2, 0.25)

SERVED, BEYOND_QUOTA, BEYOND_IDEAL_QUOTA = "served in time", "served beyond quota", "beyond one gateway's"
LATE = "late"  # served late; followed by the cause for which the previous request was not served


class Accounting:
    """The counters of a run, in quota units and in value: that of a class times the factor of a plan."""

    def __init__(self, classes: tuple[str, ...], plans: tuple[str, ...]) -> None:
        self.classes, self.plans = classes, plans
        self.operations = self.requests = self.attempts = self.handshakes = 0
        self.cross_zone_attempts = 0
        self.handshakes_by_second: Counter[int] = Counter()
        self.extra_zones = 0  # zones in which keyed operations ran, beyond one for each
        self.points: list[Point] = []  # one for each operation inside the ideal quota of its customer
        self.last_restart_us = -1  # the last restart of a gateway, from the run's start; -1: none
        self.offered: dict[tuple[int, int, int], float] = defaultdict(float)  # by second, class and plan
        self.earned: dict[tuple[int, int, int], float] = defaultdict(float)  # by second, class and plan
        self.in_time: Counter[int] = Counter()  # operations served within their objective, by second
        self.results: Counter[str] = (
            Counter()
        )  # requests by result: served, refused, failed, gone or unreached
        self.refused: Counter[tuple[int, str]] = Counter()  # by second and cause
        self.units_sent = self.units_beyond = 0.0
        self.over_quota: Counter[tuple[int, str]] = Counter()  # units beyond quota by second and cause
        self.over_cost: Counter[str] = Counter()  # cost of units beyond quota, by cause
        # Value by cause, net: an operation that earned more than it offered counts as a negative loss.
        self.lost: dict[str, float] = defaultdict(float)
        self.late_fail = 0.0  # value of operations that ended unserved after their latency objective
        self.messages: Counter[tuple[int, str]] = Counter()  # by second and fate
        self.peer_bytes = 0
        self.outcomes: dict[str, int] = {}  # attempts by result
        self.violations: list[tuple[int, str, str]] = []  # second, rule and where
        self.violation_counts: Counter[str] = Counter()  # by rule
        self.log_lines: list[tuple[int, int, str]] = []  # second, gateway and text
        self.second = 0  # the present second of the run

    # --- recording ---

    def record_violation(self, rule: str, where: str) -> None:
        """Count a violation of a rule. Store the first MAX_VIOLATIONS with their second and `where`."""
        self.violation_counts[rule] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append((self.second, rule, where))

    def add_log_line(self, gateway: int, text: str) -> None:
        """Store a gateway's log line with its second, up to MAX_LOG_LINES."""
        if len(self.log_lines) < MAX_LOG_LINES:
            self.log_lines.append((self.second, gateway, text))

    def count_message(self, fate: str, size: int = 0) -> None:
        """Count a peer message; `size` is in bytes, and 0 for one that was lost."""
        self.messages[self.second, fate] += 1
        self.peer_bytes += size

    def count_handshake(self) -> None:
        """Count a handshake with a server that has ended, whether or not it succeeded."""
        self.handshakes += 1
        self.handshakes_by_second[self.second] += 1

    def end_request(self, result: str, cause: str) -> None:
        """Count a request by its result, and a rejected one also by second and cause."""
        self.results[result] += 1
        if result == "refused":
            self.refused[self.second, cause] += 1

    def charge(self, is_in_quota: bool, cause: str, cost: float) -> None:
        """Count the unit of a forwarded request; beyond the quota with its cause and its cost."""
        self.units_sent += 1
        if not is_in_quota:
            self.units_beyond += 1
            self.over_quota[self.second, cause] += 1
            self.over_cost[cause] += cost

    def end_operation(
        self, key: tuple[int, int, int], offered: float, earned: float, cause: str, late_fail: float
    ) -> None:
        """Count an operation that has ended. `key` is its second, class and plan."""
        self.offered[key] += offered
        self.earned[key] += earned
        self.late_fail += late_fail
        if offered != earned:
            self.lost[cause] += offered - earned

    # --- sums ---

    def total(self, values: dict[tuple[int, int, int], float], **only: int) -> float:
        """Return the sum without second 0, of one class (`class_index`) or `plan` if `only` names it."""
        index = {"class_index": 1, "plan": 2}
        return sum(
            value
            for key, value in values.items()
            if key[0] >= 1 and all(key[index[name]] == number for name, number in only.items())
        )

    def share(self, **only: int) -> float:
        """Return the share of the value offered that was earned, of all operations or as `only` selects."""
        offered = self.total(self.offered, **only)
        return min(1.0, self.total(self.earned, **only) / offered) if offered else 1.0

    def worst_window(self) -> float:
        """Return the smallest share of the value offered that was earned in any window of WINDOW_S."""
        last = max((key[0] for key in self.offered), default=0)
        offered, earned = [0.0] * (last + 1), [0.0] * (last + 1)
        for key, value in self.offered.items():
            offered[key[0]] += value
        for key, value in self.earned.items():
            earned[key[0]] += value
        windows = [range(start, start + WINDOW_S) for start in range(1, max(2, last - WINDOW_S + 2))]
        shares = [
            sum(earned[n] for n in window if n <= last) / window_offered
            for window in windows
            for window_offered in [sum(offered[n] for n in window if n <= last)]
            if window_offered
        ]
        return min(1.0, *shares) if shares else 1.0

    def by_cause(self, values: Counter[tuple[int, str]]) -> dict[str, int]:
        """Return the sums of a counter by cause, over all seconds."""
        sums: Counter[str] = Counter()
        for (_, cause), count in values.items():
            sums[cause] += count
        return dict(sorted(sums.items()))

    def check(self) -> list[str]:
        """Return a message for each sum that does not add up."""
        errors = []
        if sum(self.refused.values()) != self.results["refused"]:
            errors.append("rejections by cause do not add up to the rejected requests")
        if sum(self.over_quota.values()) != self.units_beyond:
            errors.append("units beyond quota by cause do not add up")
        gap = sum(self.offered.values()) - sum(self.earned.values())
        if abs(sum(self.lost.values()) - gap) > 1e-6 * max(1.0, abs(gap)):
            errors.append("losses by cause do not add up to what was offered less what was earned")
        if sum(self.results.values()) != self.requests:
            errors.append("the number of ended requests is not that of sent requests")
        return errors
