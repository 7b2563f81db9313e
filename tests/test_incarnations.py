"""Tests of incarnations: how gateways detect a restart, and how they limit quotas after it."""

import random
from dataclasses import replace

import pytest

from tests.helpers import MILLISECOND_US, SECOND_US, SETTINGS, GatewayFleet, GatewayHarness, actions_of_type
from thistletrail.policy.actions import Action, RejectRequest, SendPeerMessage
from thistletrail.policy.events import PeerMessageReceived, QuotaMessage
from thistletrail.policy.incarnations import (
    ANNOUNCED_US,
    ANNOUNCEMENTS_PER_INCARNATION,
    MAX_ANNOUNCED_AGE_S,
    MIN_AGE_DIFFERENCE_US,
    RECOVERY_US,
    Incarnations,
)
from thistletrail.policy.peer_codec import pack_datagrams, unpack_datagram
from thistletrail.policy.quota import CustomerKey
from thistletrail.policy.settings import Plan

CUSTOMER = (1, 0, 0, 3)


def announcement(incarnation: int = 5, served_s: float = 0.0, knows_of_restart: bool = False) -> QuotaMessage:
    return QuotaMessage(incarnation, 0, 0, 0, knows_of_restart, demand=served_s)


def serving_since(serving_since_us: int) -> Incarnations:
    incarnations = Incarnations(random.Random(1))
    incarnations.note_serving(serving_since_us)
    return incarnations


def test_an_incarnation_is_announced_while_young_and_to_peers_with_a_new_incarnation() -> None:
    mine = serving_since(100 * SECOND_US)
    assert [message.demand for message in mine.announcements_for(1, 101 * SECOND_US)] == [1.0]
    assert mine.announcements_for(1, 100 * SECOND_US + ANNOUNCED_US) == ()
    mine.receive(1, announcement(), 110 * SECOND_US)
    has_announcement = [
        bool(mine.announcements_for(1, 110 * SECOND_US)) for _ in range(ANNOUNCEMENTS_PER_INCARNATION + 1)
    ]
    assert has_announcement == [True] * ANNOUNCEMENTS_PER_INCARNATION + [False]
    mine.receive(1, announcement(), 111 * SECOND_US)  # the same incarnation again
    assert mine.announcements_for(1, 111 * SECOND_US) == ()
    assert mine.announcements_for(2, 10_000 * SECOND_US) == () and not mine.has_restarted
    mine.receive(2, announcement(6), 10_000 * SECOND_US)
    assert mine.announcements_for(2, 10_000 * SECOND_US)[0].demand == MAX_ANNOUNCED_AGE_S


@pytest.mark.parametrize(
    "older_us, restarted",
    [(0, False), (MIN_AGE_DIFFERENCE_US, False), (MIN_AGE_DIFFERENCE_US + SECOND_US, True)],
)
def test_a_gateway_that_has_served_for_a_shorter_time_than_a_peer_has_restarted(
    older_us: int, restarted: bool
) -> None:
    mine, now = serving_since(100 * SECOND_US), 101 * SECOND_US
    mine.receive(1, announcement(served_s=1.0 + older_us / SECOND_US), now)
    assert mine.has_restarted is restarted
    older_incarnations = serving_since(100 * SECOND_US - older_us)
    # The older gateway replies at once to one that has restarted.
    assert older_incarnations.receive(0, announcement(served_s=1.0), now) is restarted
    assert older_incarnations.is_peer_younger(0) is restarted and not older_incarnations.has_restarted
    assert older_incarnations.is_recovering(now + RECOVERY_US - 1) is restarted


def test_a_gateway_that_knows_of_its_restart_is_not_notified_again() -> None:
    mine, older = serving_since(100 * SECOND_US), [gateway(gateway_index) for gateway_index in (1, 2)]
    for harness in older:
        send_request(harness, "a")
        harness.advance(MIN_AGE_DIFFERENCE_US + 2 * SECOND_US)
        harness.action_log.clear()
    (first_announcement,) = mine.announcements_for(1, 100 * SECOND_US + MILLISECOND_US)
    assert not first_announcement.is_answer
    (reply,) = actions_of_type(SendPeerMessage, receive(older[0], 0, first_announcement))
    (answer,) = [message for message in reply.quota_messages if not message.set_size]
    mine.receive(1, answer, 100 * SECOND_US + 2 * MILLISECOND_US)
    (second_announcement,) = mine.announcements_for(2, 100 * SECOND_US + 3 * MILLISECOND_US)
    assert mine.has_restarted and second_announcement.is_answer
    assert actions_of_type(SendPeerMessage, receive(older[1], 0, second_announcement)) == []
    assert older[1].engine.incarnations.is_peer_younger(0) and older[1].engine.incarnations.is_recovering(
        older[1].now_us
    )


def test_announcements_survive_encoding_and_have_an_empty_set() -> None:
    message = announcement(0xFFFFFFFF, 12.5)
    (data,) = pack_datagrams((message, QuotaMessage(1, 0, 0, 2)))
    assert unpack_datagram(data).quota_messages == (message, QuotaMessage(1, 0, 0, 2))
    # A version without announcements ignores them, as a set without members is not valid.
    assert message.set_size == 0


def send_request(harness: GatewayHarness, name: str, **values: object) -> list[Action]:
    return harness.send_request(name, set_size=3, **values)


def receive(harness: GatewayHarness, sender: int, *messages: QuotaMessage) -> list[Action]:
    return harness.handle(PeerMessageReceived(sender, messages))


def gateway(gateway_index: int = 0) -> GatewayHarness:
    """Return one of three gateways; any of them may be the quota owner of customer "c"."""
    return GatewayHarness(
        replace(
            SETTINGS,
            gateway_index=gateway_index,
            gateway_count=3,
            plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),),
        )
    )


def test_a_restarted_gateway_does_not_spend_a_burst_again() -> None:
    fresh, restarted = gateway(), gateway()
    for harness in (fresh, restarted):
        send_request(harness, "a")
        harness.advance(200 * MILLISECOND_US)
    receive(restarted, 1, announcement(served_s=60.0))
    customers = {
        name: next(iter(harness.engine.customers.by_key.values()))
        for name, harness in (("fresh", fresh), ("restarted", restarted))
    }
    assert customers["fresh"].local_bucket.level > 5 and customers["fresh"].set_level > 18
    assert customers["restarted"].set_level <= 10 * 0.2 + 1e-9  # the refill since its first request
    assert customers["restarted"].local_bucket.level <= customers["restarted"].set_level / 3 + 1e-9
    send_request(restarted, "b", customer="another")
    assert (
        max(customer.set_level for customer in restarted.engine.customers.by_key.values()) <= 10 * 0.2 + 1e-9
    )


def test_a_quota_owners_level_is_retained_when_a_restart_is_detected_later() -> None:
    harness = gateway()
    send_request(harness, "a")
    ((key, customer),) = harness.engine.customers.by_key.items()
    owner = customer.owner if customer.owner else 1
    receive(harness, owner, QuotaMessage(*key, True, demand=3.0, level=15.0))
    receive(harness, 2, announcement(served_s=60.0))
    assert customer.set_level == 15.0


def test_a_quota_owner_that_lost_its_state_is_limited_to_the_refill_since() -> None:
    """The levels that peers report do not raise the owner's level.

    Other gateways have spent since, and a peer without answers of an owner refills its own estimate.
    """
    gateway_index = next(
        n for n in range(3) if gateway(n).engine.customers.get(CustomerKey(7, 0, 0, 3)).owner == n
    )
    others = [n for n in range(3) if n != gateway_index]
    owner = gateway(gateway_index)
    send_request(owner, "a", customer="another")
    owner.advance(100 * MILLISECOND_US)
    receive(owner, others[0], announcement(served_s=60.0))
    key = (7, 0, 0, 3)
    for sender, level in ((others[1], 20.0), (others[0], 12.0), (others[0], 18.0)):
        receive(owner, sender, QuotaMessage(*key, demand=1.0, requested=1.0, level=level))
        assert owner.engine.customers.by_key[key].set_level <= 10 * 0.1 + 1e-9
    owner.advance(SECOND_US)
    assert owner.engine.customers.get(CustomerKey(*key)).set_level <= 10 * 1.1 + 1e-9


def test_answers_of_a_quota_owner_that_lost_its_state_do_not_raise_the_level() -> None:
    harness = gateway()
    send_request(harness, "a")
    harness.advance(10 * SECOND_US)
    send_request(harness, "b")
    ((key, customer),) = harness.engine.customers.by_key.items()
    customer.set_level = 2.0
    owner = 1
    receive(harness, owner, announcement(9, 0.0), QuotaMessage(*key, True, demand=1.0, level=20.0))
    assert customer.set_level == 2.0
    receive(harness, 2, QuotaMessage(*key, True, demand=1.0, level=19.0))  # a peer that has not restarted
    assert customer.set_level == 19.0
    # RECOVERY_US after its restart, the owner's answer applies as any other, even if its level is higher.
    customer.set_level = 2.0
    harness.advance(RECOVERY_US)
    receive(harness, owner, QuotaMessage(*key, True, demand=1.0, level=15.0))
    assert customer.set_level == 15.0


def test_a_restarted_gateway_learns_of_its_restart_with_its_first_messages() -> None:
    fleet = GatewayFleet(3, replace(SETTINGS, plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),)))
    for number in range(40):
        fleet.send_request(number % 3, f"r{number}")
        fleet.advance(100 * MILLISECOND_US)
    settings = replace(
        SETTINGS,
        gateway_count=3,
        gateway_index=1,
        seed=99,
        plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),),
    )
    fresh = GatewayHarness(settings)
    fresh.now_us = fleet.gateways[1].now_us
    fleet.gateways[1] = fresh
    fleet.send_request(1, "first")
    fleet.advance(300 * MILLISECOND_US)
    assert fresh.engine.incarnations.has_restarted
    assert not any(fleet.gateways[n].engine.incarnations.has_restarted for n in (0, 2))


def test_gateways_that_start_together_detect_no_restart_and_stop_their_announcements() -> None:
    fleet = GatewayFleet(3)
    for number in range(60):
        fleet.send_request(number % 3, f"r{number}")
        fleet.advance(100 * MILLISECOND_US)
    assert not any(harness.engine.incarnations.has_restarted for harness in fleet.gateways)
    late_announcements = [
        action
        for harness in fleet.gateways
        for time_us, action in harness.action_log
        if isinstance(action, SendPeerMessage)
        and time_us > 100 * SECOND_US + 2 * ANNOUNCED_US
        and any(not message.set_size for message in action.quota_messages)
    ]
    assert not late_announcements


def test_retry_after_is_jittered_while_recovering_and_constant_after() -> None:
    def retry_after_us(harness: GatewayHarness, run_us: int) -> list[int]:
        """Return the Retry-After of 40 requests, rejected before their objective without servers."""
        harness.advance(run_us)
        for number in range(40):
            harness.send_request(f"{run_us}-{number}", customer=f"c{number}")
        return [
            action.retry_after_us for action in actions_of_type(RejectRequest, harness.advance(2 * SECOND_US))
        ]

    objective_us = SETTINGS.classes[0].latency_objective_us
    harness = GatewayHarness(replace(SETTINGS, max_retry_after_us=10 * SECOND_US), ())
    recovering = retry_after_us(harness, 0)
    assert len(recovering) == 40
    assert len(set(recovering)) > 20
    assert all(objective_us / 10 <= wait_us <= 3 * objective_us / 10 for wait_us in recovering)
    assert set(retry_after_us(harness, RECOVERY_US)) == {objective_us // 5}


def test_units_below_a_hundredth_are_still_requested_in_a_message() -> None:
    # Guards against a request for an answer that reads as a report alone, and is never answered.
    (data,) = pack_datagrams([QuotaMessage(1, 0, 0, 2, requested=0.004), QuotaMessage(1, 0, 0, 2)])
    small, nothing = unpack_datagram(data).quota_messages
    assert small.requested > 0 and nothing.requested == 0
