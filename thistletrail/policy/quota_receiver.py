"""Incoming quota messages of peers: reports to the quota owner, its answers, and announcements of starts."""

from thistletrail.policy.customer_quotas import CustomerQuotas
from thistletrail.policy.event_context import EventContext
from thistletrail.policy.events import QuotaMessage
from thistletrail.policy.incarnations import Incarnations
from thistletrail.policy.quota import CustomerKey, CustomerQuota
from thistletrail.policy.quota_admission import QuotaAdmission
from thistletrail.policy.quota_exchange import QuotaExchange
from thistletrail.policy.settings import Settings


class QuotaReceiver:
    """Handles the quota messages of peers; a message that cannot apply to this fleet is ignored."""

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
                # The lower level applies: a peer's level from before this owner restarted does not include
                # what others have spent since.
                customer.set_level = min(customer.set_level, message.level)
            self.receive_report(sender, message, customer)

    def is_valid(self, message: QuotaMessage) -> bool:
        """Whether the plan exists, and the set is one of this fleet that includes this gateway."""
        if message.plan_index >= self.plan_count or message.set_first >= self.gateway_count:
            return False
        if not 0 < message.set_size <= self.gateway_count:
            return False
        return (self.gateway_index - message.set_first) % self.gateway_count < message.set_size

    def receive_answer(self, sender: int, message: QuotaMessage, customer: CustomerQuota) -> None:
        """Adopt the quota owner's figures, and decide on a request that waits for them."""
        now_us = self.context.now_us
        # An owner that has lost its state does not know all spending, so its level must not raise this one.
        has_lost_state = self.incarnations.has_lost_state(sender, now_us)
        level = min(customer.set_level, message.level) if has_lost_state else message.level
        customer.apply_owner_answer(level, message.demand, now_us)
        customer.limit_local_share(message.level)
        if message.requested:
            self.admission.on_owner_answer(customer, message.spent)
        else:
            self.admission.decide_overdue()

    def receive_report(self, sender: int, message: QuotaMessage, customer: CustomerQuota) -> None:
        """As the quota owner, count a peer's demand and spending, and answer where it needs the figures.

        Units that the peer requests count with the probability with which it is to admit the request.
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
        """Handle a peer's announcement of its start, and schedule this gateway's own if the peer needs it.

        By comparing the two, either gateway may learn that it has restarted. If this one has, the levels of
        its customers do not include what was spent before, and are limited.
        """
        had_restarted = self.incarnations.has_restarted
        if self.incarnations.receive(sender, message, self.context.now_us):
            self.exchange.schedule_message(sender)
        if self.incarnations.has_restarted and not had_restarted:
            self.customers.limit_after_restart()
