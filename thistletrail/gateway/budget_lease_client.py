"""The front door's side of the steward: asks for parts of budgets, and hands what is granted to the module.

Off unless the configuration names a steward. No request waits for it: asks are batched for all budgets, at
a third of the lease with jitter, and what comes back is an event like any other.
"""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from thistletrail.gateway.backends import now_us
from thistletrail.gateway.config import Config
from thistletrail.leasing.client import RENEW_SHARE, Renewer
from thistletrail.leasing.holder import Holder
from thistletrail.leasing.state import Terms
from thistletrail.leasing.wire import now_ms
from thistletrail.policy.events import BudgetGranted, BudgetKey
from thistletrail.policy.leased_budgets import total_budget

if TYPE_CHECKING:
    from thistletrail.gateway.server import FrontDoor

MOST_WANTED = 2000  # budgets in one ask: as many as a steward takes
LOOK_S = 0.05  # between looks for customers that have come
FURTHER = "further-attempts"  # the budget of all front doors' together
THOUSANDTHS = 1000  # in which a steward counts units a second


class Allowances:
    """One start's parts of customers' ceilings, quotas and openings, and of the fleet's further attempts."""

    def __init__(self, door: FrontDoor, config: Config) -> None:
        self.door, self.plans = door, {number: name for name, number in config.plan_numbers.items()}
        chance = random.Random(config.settings.seed)
        # Stores and floors are the module's, by a customer's set; the holder's own are of no use here.
        self.holder = Holder(
            config.settings.gateway_index, chance.getrandbits(63), config.settings.gateway_count
        )
        self.keys: dict[str, BudgetKey | None] = {}  # of budgets that are asked for
        self.taken: dict[str, int] = {}  # by budget: the fence of the grant that was handed on last
        self.needs = 0  # units that were waited for at the last ask
        self.patience_s = self.asked_at = 0.0  # for how long after an ask none is made for units alone
        self.most_s = config.steward.lease_ms * RENEW_SHARE / 1000
        steward = config.steward
        self.renewer = Renewer(
            self.holder,
            steward.addresses,
            steward.secret,
            steward.lease_ms,
            chance,
            self.prepare,
            self.renewed,
        )

    async def run(self) -> None:
        """Renew, and sooner where a customer comes that nothing is held for, or requests wait for units.
        Where an ask for units brings none, the next one waits for twice as long, a renewal at most."""
        loop = asyncio.get_running_loop()
        renewing = loop.create_task(self.renewer.run())
        try:
            while True:
                await asyncio.sleep(LOOK_S)
                wants = self.door.gateway.budget_demands(now_us())
                waited = loop.time() >= self.asked_at + self.patience_s
                if any(
                    self.name(want.key) not in self.keys or (waited and want.needed > 0) for want in wants
                ):
                    self.renewer.hurry()
        finally:
            renewing.cancel()

    def name(self, key: BudgetKey | None) -> str:
        """A budget as the steward knows it."""
        if key is None:
            return FURTHER
        kind, customer, plan, first, size = key
        return f"{kind}/{self.plans[plan]}/{first}.{size}/{customer:08x}"

    def terms(self, key: BudgetKey | None) -> Terms:
        if key is None:
            settings = self.door.settings
            return Terms.of(settings.retry_rate, settings.retry_burst)
        return Terms.of(*total_budget(key[0], self.door.settings.plans[key[2]]))

    def prepare(self) -> None:
        """Tell the holder of all budgets that a part is needed of; others are let go of by it."""
        now, self.needs, self.asked_at = now_ms(), 0, asyncio.get_running_loop().time()
        for want in self.door.gateway.budget_demands(now_us())[:MOST_WANTED]:
            name = self.name(want.key)
            self.keys[name] = want.key
            need, terms = math.ceil(want.needed), self.terms(want.key)
            self.needs += need
            demand = round(want.demand * (THOUSANDTHS if terms.burst else 1))
            self.holder.use(name, terms, demand, now, need, want.in_use)
            self.holder.parts[name].back = want.returned
        for name in [name for name in self.keys if name not in self.holder.parts]:
            del self.keys[name]
            self.taken.pop(name, None)

    def renewed(self) -> None:
        """Hand on what is new."""
        now, here = now_ms(), now_us()
        came = any(
            part.came and part.fence != self.taken.get(name) for name, part in self.holder.parts.items()
        )
        self.patience_s = min(2 * self.patience_s + LOOK_S, self.most_s) if self.needs and not came else 0.0
        for name, part in self.holder.parts.items():
            if part.fence and part.fence != self.taken.get(name):
                self.taken[name] = part.fence
                until_us, share = here + (part.until_ms - now) * 1000, part.part / part.terms.whole
                self.door.post(BudgetGranted(self.keys[name], share, part.came, until_us))
