"""Start marks: what a restarted gateway and its peers learn of the restart, and what they make of it."""

import random
from dataclasses import replace

import pytest

from tests.helpers import MS, SETTINGS, S, Set, World, of
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


def start(mark: int = 5, served_s: float = 0.0, knows: bool = False) -> QuotaMessage:
    return QuotaMessage(mark, 0, 0, 0, knows, demand=served_s)


def starts(first_us: int) -> Incarnations:
    found = Incarnations(random.Random(1))
    found.note_first_request(first_us)
    return found


def test_a_start_is_told_while_young_and_to_peers_that_are_new() -> None:
    mine = starts(100 * S)
    assert [word.demand for word in mine.announcements_for(1, 101 * S)] == [1.0]
    assert mine.announcements_for(1, 100 * S + ANNOUNCED_US) == ()
    mine.receive(1, start(), 110 * S)
    has_announcement = [
        bool(mine.announcements_for(1, 110 * S)) for _ in range(ANNOUNCEMENTS_PER_INCARNATION + 1)
    ]
    assert has_announcement == [True] * ANNOUNCEMENTS_PER_INCARNATION + [False]
    mine.receive(1, start(), 111 * S)  # the same start once more is nothing new
    assert mine.announcements_for(1, 111 * S) == ()
    assert mine.announcements_for(2, 10_000 * S) == () and not mine.has_restarted
    mine.receive(2, start(6), 10_000 * S)
    assert mine.announcements_for(2, 10_000 * S)[0].demand == MAX_ANNOUNCED_AGE_S


@pytest.mark.parametrize(
    "older_us, restarted", [(0, False), (MIN_AGE_DIFFERENCE_US, False), (MIN_AGE_DIFFERENCE_US + S, True)]
)
def test_who_is_asked_for_a_shorter_time_than_a_peer_has_restarted(older_us: int, restarted: bool) -> None:
    mine, now = starts(100 * S), 101 * S
    mine.receive(1, start(served_s=1.0 + older_us / S), now)
    assert mine.has_restarted is restarted
    theirs = starts(100 * S - older_us)
    assert theirs.receive(0, start(served_s=1.0), now) is restarted  # and is told at once that it has
    assert theirs.is_younger(0) is restarted and not theirs.has_restarted
    assert theirs.is_recovering(now + RECOVERY_US - 1) is restarted


def test_who_knows_that_it_has_restarted_is_not_told_again() -> None:
    mine, older = starts(100 * S), [gateway(gateway_index) for gateway_index in (1, 2)]
    for world in older:
        ask(world, "a")
        world.run(MIN_AGE_DIFFERENCE_US + 2 * S)
        world.log.clear()
    (word,) = mine.announcements_for(1, 100 * S + MS)
    assert not word.is_answer
    (told_back,) = of(SendPeerMessage, told(older[0], 0, word))
    (answer,) = [word for word in told_back.quota_messages if not word.set_size]
    mine.receive(1, answer, 100 * S + 2 * MS)
    (word,) = mine.announcements_for(2, 100 * S + 3 * MS)
    assert mine.has_restarted and word.is_answer
    assert of(SendPeerMessage, told(older[1], 0, word)) == []
    assert older[1].gateway.incarnations.is_younger(0) and older[1].gateway.incarnations.is_recovering(
        older[1].now
    )


def test_marks_survive_the_wire_and_are_no_words_to_who_knows_them_not() -> None:
    word = start(0xFFFFFFFF, 12.5)
    (data,) = pack_datagrams((word, QuotaMessage(1, 0, 0, 2)))
    assert unpack_datagram(data).quota_messages == (word, QuotaMessage(1, 0, 0, 2))
    # A revision that does not know them takes words for sets that have no member, and passes them over.
    assert word.set_size == 0


def ask(world: World, name: str, **values: object) -> list[Action]:
    return world.ask(name, set_size=3, **values)


def told(world: World, sender: int, *words: QuotaMessage) -> list[Action]:
    return world.tell(PeerMessageReceived(sender, words))


def gateway(gateway_index: int = 0) -> World:
    """One of three, which customer c has for its home or not."""
    return World(
        replace(
            SETTINGS,
            gateway_index=gateway_index,
            gateway_count=3,
            plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),),
        )
    )


def test_a_restarted_gateway_does_not_spend_a_burst_again() -> None:
    fresh, restarted = gateway(), gateway()
    for world in (fresh, restarted):
        ask(world, "a")
        world.run(200 * MS)
    told(restarted, 1, start(served_s=60.0))
    burst = {
        name: next(iter(world.gateway.customers.by_key.values()))
        for name, world in (("fresh", fresh), ("restarted", restarted))
    }
    assert burst["fresh"].local_bucket.level > 5 and burst["fresh"].set_level > 18
    assert burst["restarted"].set_level <= 10 * 0.2 + 1e-9  # what has come since it was first asked
    assert burst["restarted"].local_bucket.level <= burst["restarted"].set_level / 3 + 1e-9
    ask(restarted, "b", customer="another")
    assert max(known.set_level for known in restarted.gateway.customers.by_key.values()) <= 10 * 0.2 + 1e-9


def test_what_was_told_by_a_home_after_the_start_is_kept() -> None:
    world = gateway()
    ask(world, "a")
    ((key, customer),) = world.gateway.customers.by_key.items()
    home = customer.owner if customer.owner else 1
    told(world, home, QuotaMessage(*key, True, demand=3.0, level=15.0))
    told(world, 2, start(served_s=60.0))
    assert customer.set_level == 15.0


def test_a_home_that_lost_its_memory_goes_by_what_can_have_come_in() -> None:
    """What one of its set last knew is no measure: others spent meanwhile, and what is silent fills here."""
    gateway_index = next(
        n for n in range(3) if gateway(n).gateway.customers.get(CustomerKey(7, 0, 0, 3)).owner == n
    )
    others = [n for n in range(3) if n != gateway_index]
    home = gateway(gateway_index)
    ask(home, "a", customer="another")
    home.run(100 * MS)
    told(home, others[0], start(served_s=60.0))
    key = (7, 0, 0, 3)
    for sender, level in ((others[1], 20.0), (others[0], 12.0), (others[0], 18.0)):
        told(home, sender, QuotaMessage(*key, demand=1.0, requested=1.0, level=level))
        assert home.gateway.customers.by_key[key].set_level <= 10 * 0.1 + 1e-9
    home.run(S)
    assert home.gateway.customers.get(CustomerKey(*key)).set_level <= 10 * 1.1 + 1e-9


def test_answers_of_a_home_that_lost_its_memory_raise_nothing() -> None:
    world = gateway()
    ask(world, "a")
    world.run(10 * S)
    ask(world, "b")
    ((key, customer),) = world.gateway.customers.by_key.items()
    customer.set_level = 2.0
    home = 1
    told(world, home, start(9, 0.0), QuotaMessage(*key, True, demand=1.0, level=20.0))
    assert customer.set_level == 2.0
    told(world, 2, QuotaMessage(*key, True, demand=1.0, level=19.0))  # one that was there all the time
    assert customer.set_level == 19.0
    # Once it has been back for a while, it is a home like any other: its word holds, also where it is more.
    customer.set_level = 2.0
    world.run(RECOVERY_US)
    told(world, home, QuotaMessage(*key, True, demand=1.0, level=15.0))
    assert customer.set_level == 15.0


def test_a_restarted_gateway_learns_of_it_from_its_first_words() -> None:
    gateway_count = Set(3, replace(SETTINGS, plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),)))
    for number in range(40):
        gateway_count.ask(number % 3, f"r{number}")
        gateway_count.run(100 * MS)
    settings = replace(
        SETTINGS,
        gateway_count=3,
        gateway_index=1,
        seed=99,
        plans=(Plan(rate=10.0, burst=20.0, over_quota_cost=1.0),),
    )
    fresh = World(settings)
    fresh.now = gateway_count.worlds[1].now
    gateway_count.worlds[1] = fresh
    gateway_count.ask(1, "first")
    gateway_count.run(300 * MS)
    assert fresh.gateway.incarnations.has_restarted
    assert not any(gateway_count.worlds[n].gateway.incarnations.has_restarted for n in (0, 2))


def test_gateways_that_start_together_have_not_restarted_and_say_so_no_longer() -> None:
    gateway_count = Set(3)
    for number in range(60):
        gateway_count.ask(number % 3, f"r{number}")
        gateway_count.run(100 * MS)
    assert not any(world.gateway.incarnations.has_restarted for world in gateway_count.worlds)
    late = [
        action
        for world in gateway_count.worlds
        for at, action in world.log
        if isinstance(action, SendPeerMessage)
        and at > 100 * S + 2 * ANNOUNCED_US
        and any(not word.set_size for word in action.quota_messages)
    ]
    assert not late


def test_refusals_on_the_way_back_are_spread_and_others_are_not() -> None:
    def waits(world: World, at_us: int) -> list[int]:
        """With nobody to send to, what is held is refused while an answer can still be in time."""
        world.run(at_us)
        for n in range(40):
            world.ask(f"{at_us}-{n}", customer=f"c{n}")
        return [action.retry_after_us for action in of(RejectRequest, world.run(2 * S))]

    aim = SETTINGS.classes[0].latency_objective_us
    world = World(replace(SETTINGS, max_retry_after_us=10 * S), ())
    back = waits(world, 0)
    assert len(back) == 40
    assert len(set(back)) > 20 and all(aim / 10 <= wait <= 3 * aim / 10 for wait in back)
    assert set(waits(world, RECOVERY_US)) == {aim // 5}
