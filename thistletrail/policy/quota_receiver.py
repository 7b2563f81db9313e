"""What a gateway makes of the quota messages of its peers: as the quota owner, and as one of the set."""

from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.quota import CustomerKey, CustomerQuota, CustomerQuotas
from thistletrail.policy.quota_admission import QuotaAdmission
from thistletrail.policy.quota_exchange import QuotaExchange
from thistletrail.policy.settings import Settings


class QuotaReceiver:
    """Takes quota messages in; whatever cannot be true of this fleet is passed over."""

    def __init__(
        self,
        settings: Settings,
        context: EventContext,
        customers: CustomerQuotas,
        admission: QuotaAdmission,
        exchange: QuotaExchange,
        incarnations: Incarnations,
    ) -> None:
        self.context = context
        self.customers = customers
        self.admission = admission
        self.exchange = exchange
        self.incarnations = incarnations
        self.gateway_index = settings.gateway_index
        self.gateway_count = settings.gateway_count
        self.plan_count = len(settings.plans)

    def receive(self, sender: int, message: QuotaMessage) -> None:
        """Handle one message of a peer."""
        if not message.set_size:
            self.receive_announcement(sender, message)
            return
        if not self.is_valid(message):
            return
        key = CustomerKey(message.customer, message.plan_index, message.set_first, message.set_size)
        is_new = key not in self.customers.by_key
        customer = self.customers.get(key)
        if message.is_answer:
            self.receive_answer(sender, message, customer)
        elif customer.owner == self.gateway_index:
            if is_new:
                # The lesser: what others knew before an owner was away is more than what is left.
                customer.set_level = min(customer.set_level, message.level)
            self.receive_report(sender, message, customer)

    def is_valid(self, message: QuotaMessage) -> bool:
        """Whether the plan is known, and the set is one of this fleet that this gateway belongs to."""
        if message.plan_index >= self.plan_count or message.set_first >= self.gateway_count:
            return False
        if not 0 < message.set_size <= self.gateway_count:
            return False
        return (self.gateway_index - message.set_first) % self.gateway_count < message.set_size

    def receive_answer(self, sender: int, message: QuotaMessage, customer: CustomerQuota) -> None:
        """The quota owner's figures hold here for a while, and decide on a request that waits for them."""
        now_us = self.context.now_us
        # An owner that has lost its state knows less than what it reported before.
        has_lost_state = self.incarnations.has_lost_state(sender, now_us)
        level = min(customer.set_level, message.level) if has_lost_state else message.level
        customer.apply_owner_answer(level, message.demand, now_us)
        customer.limit_local_share(message.level)
        if message.requested:
            self.admission.on_owner_answer(customer, message.spent)
        else:
            self.admission.settle_overdue()

    def receive_report(self, sender: int, message: QuotaMessage, customer: CustomerQuota) -> None:
        """As the quota owner: count a peer's demand and spending, and answer.

        What it requests is counted by the chance with which the peer is to admit it.
        """
        customer.peer_demand += message.demand
        customer.spend(message.spent)
        chance = customer.admission_chance(message.requested)
        granted = 0.0
        if message.requested > 0:
            granted = message.requested * customer.grant_ceiling(message.requested, chance)
        if message.requested or customer.set_level < customer.plan.burst / 2:
            self.exchange.answer(sender, customer, message.requested, granted)
        customer.spend(message.requested * chance)

    def receive_announcement(self, sender: int, message: QuotaMessage) -> None:
        """A peer announces its start, and gets this gateway's: either may learn so that it has restarted.

        If this gateway is the later one, what it knows of customers here is not to be trusted.
        """
        had_restarted = self.incarnations.has_restarted
        if self.incarnations.receive(sender, message, self.context.now_us):
            self.exchange.schedule_message(sender)
        if self.incarnations.has_restarted and not had_restarted:
            self.customers.limit_to_restart()
