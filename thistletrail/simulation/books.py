"""What a run counts: each refusal, each unit beyond quota and each loss under exactly one cause.

Amounts add up: the causes of refusals to the tries refused, those of units beyond quota to the units, and
those of losses to what was offered less what was earned. `check` says where they do not.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from thistletrail.simulation.service import Point

MOST_LOGGED, MOST_BROKEN = 200, 100  # lines and broken rules kept; all are counted
WINDOW_S = 10  # of the worst stretch (the brief)
WEIGHTS = (0.55, 0.2, 0.25)  # of the whole run, its worst stretch and its worst-served plan (the brief)

SERVED, OVER, GAINED = "served in time", "served beyond quota", "beyond one gateway's"
LATE = "late"  # served late: with the cause that kept its try before that from being served


class Books:
    def __init__(self, classes: tuple[str, ...], plans: tuple[str, ...]) -> None:
        self.classes, self.plans = classes, plans
        self.asks = self.tries = self.attempts = self.handshakes = self.crossed = 0
        self.opened: Counter[int] = Counter()  # handshakes by second
        self.zones = 0  # keyed asks that ran in a further zone
        self.points: list[Point] = []  # what was asked inside the quotas
        self.last_back_us = -1  # when the last killed or ended door was back, from the run's start
        self.offered: dict[tuple[int, int, int], float] = defaultdict(float)  # by second, class and plan
        self.earned: dict[tuple[int, int, int], float] = defaultdict(float)
        self.in_time: Counter[int] = Counter()  # asks by second
        self.ends: Counter[str] = Counter()  # of tries: served, refused, failed, gone, unreached
        self.refused: Counter[tuple[int, str]] = Counter()  # by second and cause
        self.sent = self.beyond = 0.0  # units
        self.over: Counter[tuple[int, str]] = Counter()
        self.over_cost: Counter[str] = Counter()  # worth by cause
        self.lost: dict[str, float] = defaultdict(float)  # worth by cause, net
        self.late_fail = 0.0
        self.messages: Counter[tuple[int, str]] = Counter()
        self.peer_bytes = 0
        self.outcomes: dict[str, int] = {}
        self.broken: list[tuple[int, str, str]] = []
        self.breaks: Counter[str] = Counter()
        self.logged: list[tuple[int, int, str]] = []
        self.second = 0

    # --- entries ---

    def broke(self, rule: str, where: str) -> None:
        self.breaks[rule] += 1
        if len(self.broken) < MOST_BROKEN:
            self.broken.append((self.second, rule, where))

    def log(self, door: int, text: str) -> None:
        if len(self.logged) < MOST_LOGGED:
            self.logged.append((self.second, door, text))

    def message(self, fate: str, size: int = 0) -> None:
        self.messages[self.second, fate] += 1
        self.peer_bytes += size

    def handshake(self) -> None:
        self.handshakes += 1
        self.opened[self.second] += 1

    def end_try(self, how: str, cause: str) -> None:
        self.ends[how] += 1
        if how == "refused":
            self.refused[self.second, cause] += 1

    def sent_on(self, inside: bool, cause: str, cost: float) -> None:
        """A try's units are booked, one for each; beyond the quota under `cause`, at its price in worth."""
        self.sent += 1
        if not inside:
            self.beyond += 1
            self.over[self.second, cause] += 1
            self.over_cost[cause] += cost

    def end_ask(
        self, key: tuple[int, int, int], offered: float, earned: float, cause: str, late_fail: float
    ) -> None:
        """A first try and its retries have ended. `key` is its second, class and plan."""
        self.offered[key] += offered
        self.earned[key] += earned
        self.late_fail += late_fail
        if offered != earned:
            self.lost[cause] += offered - earned

    # --- sums ---

    def total(self, values: dict[tuple[int, int, int], float], **only: int) -> float:
        """Of the seconds from the first on, for one class or plan where that is said."""
        at = {"kind": 1, "plan": 2}
        return sum(
            value
            for key, value in values.items()
            if key[0] >= 1 and all(key[at[name]] == number for name, number in only.items())
        )

    def share(self, **only: int) -> float:
        offered = self.total(self.offered, **only)
        return min(1.0, self.total(self.earned, **only) / offered) if offered else 1.0

    def worst_window(self) -> float:
        last = max((key[0] for key in self.offered), default=0)
        offered, earned = [0.0] * (last + 1), [0.0] * (last + 1)
        for key, value in self.offered.items():
            offered[key[0]] += value
        for key, value in self.earned.items():
            earned[key[0]] += value
        spans = [range(at, at + WINDOW_S) for at in range(1, max(2, last - WINDOW_S + 2))]
        shares = [
            sum(earned[n] for n in span if n <= last) / asked
            for span in spans
            for asked in [sum(offered[n] for n in span if n <= last)]
            if asked
        ]
        return min(1.0, *shares) if shares else 1.0

    def by_cause(self, values: Counter[tuple[int, str]]) -> dict[str, int]:
        found: Counter[str] = Counter()
        for (_, cause), count in values.items():
            found[cause] += count
        return dict(sorted(found.items()))

    def check(self) -> list[str]:
        """Where the sums do not add up; nothing when all is well."""
        wrong = []
        if sum(self.refused.values()) != self.ends["refused"]:
            wrong.append("refusals by cause do not add up to the tries refused")
        if sum(self.over.values()) != self.beyond:
            wrong.append("units beyond quota by cause do not add up")
        gap = sum(self.offered.values()) - sum(self.earned.values())
        if abs(sum(self.lost.values()) - gap) > 1e-6 * max(1.0, abs(gap)):
            wrong.append("losses by cause do not add up to what was offered less what was earned")
        if sum(self.ends.values()) != self.tries:
            wrong.append("tries that ended are not those that were begun")
        return wrong
