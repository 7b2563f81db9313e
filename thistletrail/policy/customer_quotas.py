"""The customers whose quotas this gateway has in memory, within a bound on their number."""

from itertools import islice

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.quota import DEMAND_TIME_CONSTANT_US, CustomerKey, CustomerQuota
from thistletrail.policy.settings import Plan, Settings
from thistletrail.policy.units import MICROSECONDS_PER_SECOND, NEVER_US

# The minimum time for which an idle customer is retained.
MIN_RETENTION_US = 10 * MICROSECONDS_PER_SECOND

DEFAULT_MAX_CUSTOMERS = 100_000
MAX_EVICTION_CANDIDATES = 16  # customers that are searched for some to evict, when one is created
MAX_OVERSHOOT = 1.25  # the most customers in memory, as a multiple of `max_customers`


def refill_time_us(plan: Plan) -> int:
    """The longest time that a customer's buckets take to refill, from the maximum debt."""
    quota_s = 0.0
    if plan.rate:
        quota_s = plan.burst / plan.rate + DEMAND_TIME_CONSTANT_US / MICROSECONDS_PER_SECOND
    ceiling_s = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate else 0.0
    return round(MICROSECONDS_PER_SECOND * max(quota_s, ceiling_s))


class CustomerQuotas:
    """The customers that this gateway has in memory, from the least to the most recently used.

    About `max_customers`, and those with requests in flight, are in memory at most.
    """

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        incarnations: Incarnations,
        max_customers: int = DEFAULT_MAX_CUSTOMERS,
    ) -> None:
        self.settings = settings
        self.context = context
        self.incarnations = incarnations
        self.by_key: dict[CustomerKey, CustomerQuota] = {}
        # The first key of each customer and plan, by `(customer, plan_index)`.
        self.first_keys: dict[tuple[int, int], CustomerKey] = {}
        self.max_customers = max_customers
        self.started_us = 0
        self.spending_forgotten_at_us = -NEVER_US  # when a customer that had spent units was last evicted
        self.retention_us = max(MIN_RETENTION_US, *map(refill_time_us, settings.plans))

    def start(self) -> None:
        """Record the present event, the first one, as the start of the gateway.

        The gateway may begin to serve at a later event (see `Incarnations.serving_since_us`).
        """
        self.started_us = self.context.now_us

    def get(self, key: CustomerKey) -> CustomerQuota:
        """The customer of that key, refilled up to now; one that is not in memory is created."""
        customer = self.by_key.pop(key, None)
        if customer is None:
            self.make_room()
            customer = self.create(key)
        self.by_key[key] = customer  # the most recently used customer is the last one
        return customer.refill(self.context.now_us)

    def create(self, key: CustomerKey) -> CustomerQuota:
        """A new customer, with a full quota unless its earlier spending may be unknown or under another key.

        The earlier spending is unknown after a restart, also with a snapshot, which may lack the customer. It
        is unknown as well after the eviction of a customer whose spending was not made up for.
        """
        plan = self.settings.plans[key.plan_index]
        known_since_us = max(self.started_us, self.spending_forgotten_at_us)
        customer = CustomerQuota(plan, key, self.settings, self.context.now_us, known_since_us)
        if self.spending_forgotten_at_us >= self.started_us:
            customer.limit_to_refill_since(self.spending_forgotten_at_us)
        if self.incarnations.has_restarted:
            customer.limit_to_refill_since(self.incarnations.serving_since_us)
        # The same customer with another set of gateways must not get a second burst.
        if self.first_keys.setdefault(key[:2], key) != key:
            customer.empty()
        return customer

    def make_room(self) -> None:
        """Evict customers where `max_customers` are in memory, those first whose spending is made up for.

        Clients choose the customers that they name, so any number may come before idle ones are forgotten. A
        customer that cannot be evicted moves to the end, so that the next search finds others.
        """
        if len(self.by_key) < self.max_customers:
            return
        oldest = list(islice(self.by_key.items(), MAX_EVICTION_CANDIDATES))
        for key, customer in oldest:
            customer.refill(self.context.now_us)
            if not customer.in_flight and customer.is_replaceable_by(self.create(key)):
                self.evict(key)
            else:
                self.by_key[key] = self.by_key.pop(key)
        if len(self.by_key) < int(self.max_customers * MAX_OVERSHOOT):
            return
        idle_keys = [key for key, customer in oldest if not customer.in_flight]
        if idle_keys:
            self.spending_forgotten_at_us = self.context.now_us
            self.evict(idle_keys[0])

    def evict(self, key: CustomerKey) -> None:
        """Remove a customer from memory."""
        del self.by_key[key]
        if self.first_keys.get(key[:2]) == key:
            del self.first_keys[key[:2]]

    def forget_idle(self) -> None:
        """Remove idle customers whose buckets are full again.

        Without this, memory would grow with every customer that sends a single request.
        """
        while self.by_key:
            key, oldest = next(iter(self.by_key.items()))
            if oldest.in_flight or self.context.now_us - oldest.refilled_at_us <= self.retention_us:
                return
            self.evict(key)

    def limit_after_restart(self) -> None:
        """Limit the customers without an answer of their quota owner, as this gateway has restarted.

        Called when a peer's announcement shows the restart. A gateway that restored a snapshot knows of its
        restart before that, and its customers keep their restored levels.
        """
        for customer in self.by_key.values():
            if customer.owner_answered_at_us < 0:
                customer.refill(self.context.now_us)
                customer.limit_to_refill_since(self.incarnations.serving_since_us)
