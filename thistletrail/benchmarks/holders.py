"""A holder of budget leases as a separate process: renews and spends them, and records both for a test.

Its argument is the path of its settings. It spends one unit of each rate whenever its token bucket has one,
and records each grant that it starts to use, with the time until which it may be used, so that a test can
add up what all holders could use at any moment. It runs until it is killed.
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

WAITING_UNITS = 10  # units that each renewal states as waited for, of each budget with a rate
SPEND_INTERVAL_S = 0.01


class HolderSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings, as a test writes them."""

    gateway: int = msgspec.field(name="door")
    incarnation: int = msgspec.field(name="mark")
    max_gateways: int = msgspec.field(name="doors")
    addresses: tuple[tuple[str, int], ...]
    secret: str
    lease_ms: int
    budgets: dict[str, tuple[int, int]]
    """Name of a budget -> total and burst."""
    demands: dict[str, int]
    history_path: str = msgspec.field(name="history")


class RecordingHolder:
    """One holder and its file of records."""

    def __init__(self, settings: HolderSettings) -> None:
        self.settings = settings
        self.limits = {name: BudgetLimits(*values) for name, values in settings.budgets.items()}
        self.holder = BudgetHolder(settings.gateway, settings.incarnation, settings.max_gateways)
        path = Path(settings.history_path)
        self.file = path.open("ab", buffering=0)
        self.recorded_fences: dict[str, int] = {}
        """Name of a budget -> fencing token of the grant recorded last."""

    def record(self, kind: str, **values: object) -> None:
        """Append a record with the time in milliseconds; the keywords are keys of the record."""
        record = {
            "at": now_ms(),
            "kind": kind,
            "door": self.settings.gateway,
            "mark": self.settings.incarnation,
            **values,
        }
        self.file.write(msgspec.json.encode(record) + b"\n")

    def set_demand(self) -> None:
        """Set the demand of each budget for the next renewal."""
        for name, limits in self.limits.items():
            demand = Demand(self.settings.demands[name], WAITING_UNITS if limits.burst else 0)
            self.holder.set_demand(name, limits, demand, now_ms())

    def record_grants(self) -> None:
        """Record the grants that are new since the last call, renewed ones included."""
        for name, lease in self.holder.leases.items():
            if lease.fence != self.recorded_fences.get(name):
                self.recorded_fences[name] = lease.fence
                self.record("held", budget=name, part=lease.share, until=lease.until_ms, fence=lease.fence)

    async def run(self) -> None:
        """Renew and spend the leases until cancelled."""
        renewer = LeaseRenewer(
            self.holder,
            ServiceSettings(self.settings.addresses, self.settings.secret.encode(), self.settings.lease_ms),
            random.Random(self.settings.incarnation),
            self.set_demand,
            self.record_grants,
        )
        renewing = asyncio.create_task(renewer.run())
        print(f"holder {self.settings.gateway} runs", flush=True)
        try:
            while True:
                await asyncio.sleep(SPEND_INTERVAL_S)
                for name, limits in self.limits.items():
                    if limits.burst and self.holder.spend(name, 1, now_ms()):
                        self.record("spent", budget=name)
        finally:
            renewing.cancel()


if __name__ == "__main__":
    settings = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HolderSettings)
    asyncio.run(RecordingHolder(settings).run())
