"""A stand-in for a front door before the steward, as a process of its own: renews, spends, and notes both.

Started with the path of its configuration. It spends a unit of each rate whenever its store has one, and
notes each grant that it takes over with the time until which it may be used, so that a test can add up what
all holders believed in at any moment. It runs until it is ended.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

import msgspec

from thistletrail.leasing.budget_holder import BudgetHolder, Demand
from thistletrail.leasing.budget_state import BudgetLimits
from thistletrail.leasing.client import LeaseRenewer, ServiceSettings
from thistletrail.leasing.framing import now_ms

NEED = 10  # units of a rate that it has a use for at once, at any time
LOOK_S = 0.01  # between looks at the stores


class Told(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration, as a test writes it."""

    door: int
    mark: int
    doors: int
    addresses: tuple[tuple[str, int], ...]
    secret: str
    lease_ms: int
    budgets: dict[str, tuple[int, int]]  # by name: whole and burst
    demands: dict[str, int]
    history: str


class Stand:
    """One holder and what it notes."""

    def __init__(self, told: Told) -> None:
        self.told = told
        self.terms = {name: BudgetLimits(*values) for name, values in told.budgets.items()}
        self.holder = BudgetHolder(told.door, told.mark, told.doors)
        path = Path(told.history)
        self.file = path.open("ab", buffering=0)
        self.known: dict[str, int] = {}

    def note(self, kind: str, **values: object) -> None:
        record = {"at": now_ms(), "kind": kind, "door": self.told.door, "mark": self.told.mark, **values}
        self.file.write(msgspec.json.encode(record) + b"\n")

    def want(self) -> None:
        for name, terms in self.terms.items():
            demand = Demand(self.told.demands[name], NEED if terms.burst else 0)
            self.holder.set_demand(name, terms, demand, now_ms())

    def renewed(self) -> None:
        """Grants that were taken over, and those whose lease was renewed."""
        for name, lease in self.holder.leases.items():
            if lease.fence != self.known.get(name):
                self.known[name] = lease.fence
                self.note("held", budget=name, part=lease.share, until=lease.until_ms, fence=lease.fence)

    async def run(self) -> None:
        renewer = LeaseRenewer(
            self.holder,
            ServiceSettings(self.told.addresses, self.told.secret.encode(), self.told.lease_ms),
            random.Random(self.told.mark),
            self.want,
            self.renewed,
        )
        renewing = asyncio.create_task(renewer.run())
        print(f"holder {self.told.door} runs", flush=True)
        try:
            while True:
                await asyncio.sleep(LOOK_S)
                for name, terms in self.terms.items():
                    if terms.burst and self.holder.spend(name, 1, now_ms()):
                        self.note("spent", budget=name)
        finally:
            renewing.cancel()


if __name__ == "__main__":
    asyncio.run(Stand(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Told)).run())
