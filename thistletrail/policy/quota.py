"""Quota and ceiling: each customer's part here, the chance rule, and the words between a set and its home."""

import math
from bisect import insort

from thistletrail.policy.actions import SendPeerMessage
from thistletrail.policy.base import NEVER, TICK_US, Job, S
from thistletrail.policy.events import BudgetKind, QuotaMessage
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.leased_budgets import stores_of
from thistletrail.policy.overload_control import Cap
from thistletrail.policy.settings import Plan, Settings

DEMAND_US = 0.5 * S  # ageing of demand: short, as the level of the store carries the longer memory
# The wait for word from home, its part of the aim, and how often it is asked; how long a word holds.
ASK_US, ASK_PART, ASKS, WORD_FRESH_US = 160_000, 3, 2, S
SILENT_US, ASK_AGAIN_US = 500_000, 300_000  # a peer is silent that answers no ask for so long; asked again
LEAST_KEPT_US = 10 * S  # for which a customer is remembered in any case
# Parts of a customer's ceiling: split over its set, and kept at its home, which grants of it to whoever asks.
# A set of many splits it into less than a unit each. The rest is left for grants told while others are used.
CEILING_SPLIT, CEILING_HOME, GRANT_FRESH_US = 0.5, 0.4, 500_000
SPACE_US = 80_000  # between words to one peer, at most
ASK_SHARE = 0.25  # part of a gateway's intake that the asks for one customer may take


class Customer:
    """A customer's part of quota and ceiling here, and what is known of its whole set: all, at its home."""

    def __init__(
        self, plan: Plan, key: tuple[int, int, int, int], set_: Settings, now: int, since: int
    ) -> None:
        self.plan, self.key, self.size, self.at = plan, key, key[3], now
        self.home = (
            (key[2] + key[0] % self.size) % set_.gateway_count
            if set_.may_message_peers
            else set_.gateway_index
        )
        self.part, self.level = plan.burst / self.size, plan.burst
        self.own, self.others = 0.0, 0.0  # aged demand, here and at the others of the set
        # Empty at the gateway's start, as a restart looks like a first one; it fills from then on.
        shared = set_.may_message_peers and self.size > 1
        self.ceiling_part = (CEILING_SPLIT if shared else 1.0) / self.size
        ceiling = min(plan.ceiling_burst, plan.ceiling_rate * (now - since) / S)
        self.ceiling = ceiling * self.ceiling_part
        self.ceiling_home = CEILING_HOME if shared and self.home == set_.gateway_index else 0.0
        self.grants = ceiling * self.ceiling_home
        self.heard_us, self.out = -NEVER, 0
        self.leased = stores_of(plan, self.size, set_, now)
        if BudgetKind.CEILING in self.leased:
            self.ceiling = self.grants = self.ceiling_part = self.ceiling_home = 0.0
        self.untold = self.spent = 0.0  # demand and spending that the home has not been told of

    def forget(self, since: int) -> None:
        """What was spent before a restart at `since` is not known: there is but what can have come since."""
        came = min(self.plan.burst, self.plan.rate * (self.at - since) / S)
        self.part, self.level = min(self.part, came / self.size), min(self.level, came)

    def refill(self, now: int) -> "Customer":
        """Refill the parts. Others' demand and the level stay as told while that is fresh; after that they
        are what may be by now."""
        took, plan, part, self.at = (now - self.at) / S, self.plan, 1 / self.size, now
        flow, most = plan.ceiling_rate * took, plan.ceiling_burst
        for store in self.leased.values():
            store.refill(now)
        self.ceiling = min(most * self.ceiling_part, self.ceiling + flow * self.ceiling_part)
        self.grants = min(most * self.ceiling_home, self.grants + flow * self.ceiling_home)
        aged = math.exp(-took * S / DEMAND_US)
        self.own *= aged
        if now - self.heard_us > WORD_FRESH_US:
            self.level = min(plan.burst, self.level + plan.rate * took)
            self.others *= aged
        self.part = min(plan.burst * part, self.part + plan.rate * took * part, max(0.0, self.level))
        return self

    @property
    def demand(self) -> float:
        """That of the whole set, as far as it is known."""
        return self.own + self.others

    def chance(self, units: float) -> float:
        """Quota over summed demand; the quota is the rate while demand ages, and what the set has or owes."""
        if not self.may_open():
            return 0.0
        if store := self.leased.get(BudgetKind.QUOTA):
            return float(store.level >= units)
        spare = units * self.plan.over_quota_cost  # kept in the store: to find it empty costs so much
        quota = self.level - spare + self.plan.rate * DEMAND_US / S
        return max(0.0, min(1.0, quota / max(units, self.demand))) if self.plan.rate else 1.0

    def may_open(self) -> bool:
        """Whether one more of its requests may be out from here."""
        if not (most := self.plan.max_in_flight):
            return True
        store = self.leased.get(BudgetKind.IN_FLIGHT)
        return self.out < (store.room(self.at) if store else max(1, most // self.size))

    def allows(self, units: float) -> bool:
        """Whether the part of the ceiling here has room."""
        store = self.leased.get(BudgetKind.CEILING)
        return not self.plan.ceiling_rate or (store.level if store else self.ceiling) >= units

    def use(self, units: float) -> None:
        """Take them from the ceiling, as they are sent on."""
        if store := self.leased.get(BudgetKind.CEILING):
            store.level -= units
        else:
            self.ceiling -= units

    def grant(self, units: float, chance: float) -> bool:
        """At home: whether the ceiling has room for what somebody asks, who sends it on by that chance."""
        if not self.plan.ceiling_rate or self.grants < units:
            return False
        self.grants -= units * chance
        return True

    def spend(self, units: float) -> None:
        self.level = max(self.level - units, -self.plan.rate * DEMAND_US / S)  # it owes nothing for long

    def take(self, units: float) -> None:
        """The same, of what is used here: of what is leased too."""
        self.spend(units)
        if store := self.leased.get(BudgetKind.QUOTA):
            store.level -= units


class Quota(Cap):
    """Owns the customers, the requests that wait for word, and the words that wait to leave."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.customers: dict[tuple[int, int, int, int], Customer] = {}  # the one seen last at the end
        self.sets: dict[tuple[int, int], tuple[int, int, int, int]] = {}  # under which a customer came first
        self.since_us, self.forget_us = 0, max(LEAST_KEPT_US, *map(full_again_us, settings.plans))
        self.unanswered, self.asked_us = {}, {}  # by peer: the first ask without a word since; the last ask
        self.waits, self.words, self.told_us = [], {}, {}  # who waits for word; peers' words, when they left
        self.wanted = 0  # requests let through by their quotas in this period
        self.starts = Incarnations(self.random)

    def forget_customers(self) -> None:
        """One whose stores are full again is as good as new; those that came only once would never end."""
        while self.customers:
            key, oldest = next(iter(self.customers.items()))
            if oldest.out or self.now - oldest.at <= self.forget_us:
                return
            del self.customers[key]
            if self.sets.get(key[:2]) == key:
                del self.sets[key[:2]]

    def customer(self, key: tuple[int, int, int, int]) -> Customer:
        known = self.customers.pop(key, None)
        if known is None:
            known = Customer(self.set.plans[key[1]], key, self.set, self.now, self.since_us)
            if self.starts.has_restarted:
                known.forget(self.starts.first_request_us)
            if self.sets.setdefault(key[:2], key) != key:  # a name of another set must not open a fresh burst
                known.part = known.level = known.ceiling = 0.0
        self.customers[key] = known
        return known.refill(self.now)

    def under_ceiling(self, job: Job) -> bool:
        if not job.customer.plan.ceiling_rate or self.now < job.granted_until:
            return True
        return job.customer.refill(self.now).allows(job.req.units)

    def admit(self, job: Job) -> None:
        """The part while it lasts; else the chance rule, with word from the home where that is elsewhere."""
        customer, units, home = job.customer, job.req.units, job.customer.home
        if job.late and customer.chance(units) < 1:  # what is scarce goes to those that come in time
            self.end(job)
            return
        for store in customer.leased.values():
            store.asked(units, self.now)
        customer.own, customer.untold = customer.own + units, customer.untold + units
        most = ASK_SHARE * self.set.peer_messages_per_s * DEMAND_US / S  # past this the last word must do
        heard = self.now - customer.heard_us < WORD_FRESH_US and self.random.random() * customer.demand > most
        alone = home == self.set.gateway_index
        if BudgetKind.QUOTA in customer.leased:
            self.tell(home, customer, 0.0)
            if customer.chance(units):
                self.decide(job, 1.0)
            else:
                self.wait(job)
        elif not customer.plan.max_in_flight and customer.part >= units and (alone or customer.allows(units)):
            self.decide(job, 1.0)
            self.tell(home, customer, 0.0)
        elif alone or heard or self.is_silent(home) or not customer.plan.rate:
            self.decide(job, customer.chance(units))
        else:
            self.ask(job)

    def is_silent(self, peer: int) -> bool:
        """It has answered no ask for long, as one that restarts. Now and then it is asked all the same."""
        if self.now - self.unanswered.get(peer, self.now) <= SILENT_US:
            return False
        return self.now - self.asked_us.get(peer, 0) < ASK_AGAIN_US

    def ask(self, job: Job) -> None:
        self.unanswered.setdefault(job.customer.home, self.now)
        self.asked_us[job.customer.home] = self.now
        job.asks += 1
        self.wait(job)
        self.tell(job.customer.home, job.customer, job.req.units)

    def wait(self, job: Job) -> None:
        """For word of its home, or for units by a lease."""
        wait = min(ASK_US, job.rule.latency_objective_us // ASK_PART)
        job.decide_us = min(self.now + wait, job.end_us - 4 * TICK_US, job.half_us - 2 * TICK_US)
        self.waits.append(job)

    def end_leased_waits(self, customer: Customer) -> None:
        """Units have come by a lease: whoever waits for them goes on, as far as they go."""
        for job in [
            job for job in self.waits if job.customer is customer and BudgetKind.QUOTA in customer.leased
        ]:
            if customer.refill(self.now).chance(job.req.units):
                self.waits.remove(job)
                if not job.over:
                    self.decide(job, 1.0)

    def decide(self, job: Job, chance: float) -> None:
        job.in_quota, plan = self.random.random() < chance, job.customer.plan
        if job.in_quota:
            self.spend(job.customer, job.req.units)
            if not job.customer.allows(job.req.units) and job.customer.grant(job.req.units, 1.0):
                job.granted_until = self.now + GRANT_FRESH_US
        elif plan.over_quota_value <= plan.over_quota_cost or self.n_past is not None:
            self.end(job)
            return
        self.wanted += 1
        insort(self.held, (-job.value, next(self.serial), job))
        self.release()

    def end_waits(self, told: Customer | None = None, granted: float = 0.0) -> None:
        """Decide on those that wait for word: theirs has come, or what is known here must do."""
        ready = [job for job in self.waits if job.customer is told][:1]
        for job in ready:
            job.granted_until = self.now + GRANT_FRESH_US if granted >= job.req.units else -NEVER
        ready += [job for job in self.waits if job.decide_us <= self.now and job not in ready]
        self.waits = [job for job in self.waits if job not in ready]
        for job in [job for job in ready if not job.over]:
            last = min(job.end_us - 4 * TICK_US, job.half_us - 2 * TICK_US)
            if told is None and 0 < job.asks < ASKS and self.now + ASK_US < last:
                self.ask(job)  # words may be lost
                continue
            if job.customer.leased:  # a lease may be over by now
                job.customer.refill(self.now)
            chance = job.customer.chance(job.req.units)
            # As much the home has counted already, each time that it was asked.
            job.customer.spent -= job.req.units * chance * job.asks
            self.decide(job, chance)

    def spend(self, customer: Customer, units: float) -> None:
        customer.take(units)
        customer.part, customer.spent = max(0.0, customer.part - units), customer.spent + units

    def tell(self, peer: int, customer: Customer, asked: float, granted: float = 0.0) -> None:
        """A word to the home of what was asked and spent, or the home's answer with what it knows."""
        answer = customer.home == self.set.gateway_index
        demand, spent = (customer.demand, granted) if answer else (customer.untold, customer.spent)
        word = QuotaMessage(*customer.key, answer, demand, spent, asked, customer.level)
        if peer != self.set.gateway_index:
            self.words.setdefault(peer, []).append(word)
        customer.untold = customer.spent = 0.0

    def send_words(self) -> None:
        """Words leave at once, but in a small set spaced so that all peers together take half an intake."""
        space = min(SPACE_US, 2 * S * (self.set.gateway_count - 1) / max(1, self.set.peer_messages_per_s))
        for peer in [peer for peer in self.words if self.now - self.told_us.get(peer, -S) >= space]:
            self.told_us[peer] = self.now
            self.fleet.close_digest(
                self.now, ((name, len(known.out)) for name, known in self.servers.items())
            )
            words = (*self.starts.announcements_for(peer, self.now), *self.words.pop(peer))
            self.actions.append(SendPeerMessage(peer, words, self.fleet.digest_for(peer)))


def full_again_us(plan: Plan) -> int:
    """How long the stores of a customer take at most to be full, from what it may owe."""
    quota = plan.burst / plan.rate + DEMAND_US / S if plan.rate else 0.0
    ceiling = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate else 0.0
    return round(S * max(quota, ceiling))
