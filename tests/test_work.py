"""Work in hand: whose it is, where it may have run, what is kept of it; the module's part; the check."""

import os
from dataclasses import replace
from pathlib import Path

import pytest

from tests.helpers import SETTINGS, S, World, copied, log_of, of, servers
from thistletrail.gateway.config import read_work_leases
from thistletrail.gateway.errors import ConfigError
from thistletrail.leasing import book as books
from thistletrail.leasing import check_work, work
from thistletrail.leasing.book import Book, begin
from thistletrail.leasing.config import Config
from thistletrail.leasing.hand import MOST_ASK_BYTES, MOST_BEGINS, WRITE_MARGIN_MS, Hand
from thistletrail.leasing.messages import (
    MOST_OPS,
    WORK_LEASE_MS,
    Begin,
    Done,
    Handed,
    Leave,
    Op,
    Told,
    Try,
    WorkAnswer,
    WorkAsk,
)
from thistletrail.leasing.state import Issued, RefusedError
from thistletrail.leasing.tenure import claim
from thistletrail.leasing.wire import FULL, GOOD, FrameError, Frames, frame, now_ms
from thistletrail.leasing.work import MOST_DEATHS, MOST_OF_CUSTOMER, MOST_REQUEST, MOST_VALUE, Work, weight
from thistletrail.policy.actions import FailRequest, StartAttempt
from thistletrail.policy.events import AttemptEnded, AttemptResult
from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass

START = 1_000_000
CONFIG = Config(budgets=())


def intent(name: str = "c/k", **values: object) -> Begin:
    usual = {
        "name": name,
        "id": f"{name}-1",
        "digest": "d",
        "customer": "c",
        "effect": "keyed",
        "left_ms": 2000,
        "window_ms": 4000,
        "request": b"r",
        "server": "s1",
        "place": "east",
    }
    return Begin(**{**usual, **values})


class Fleet:
    """Some doors at one steward; each call is an ask and its answer."""

    def __init__(self, doors: int = 3) -> None:
        self.now, self.work = START, Work(0, START)
        self.hands = [Hand(door, 1) for door in range(doors)]
        self.log: list[object] = []
        for door in range(doors):
            self.ask(door)

    def ask(self, door: int, *ops: Op) -> tuple[list[Told], list[Handed]]:
        hand = self.hands[door]
        hand.lapsed(self.now)
        for op in ops:
            hand.add(op)
        answer, records = self.work.ask(hand.ask(self.now), self.now)
        self.log += records
        told, handed = hand.answered(answer, self.now)
        return [one for _, one in told], handed

    def begin(self, door: int, op: Begin) -> Told:
        return self.ask(door, op)[0][-1]

    def pass_(self, ms: int, *alive: int) -> None:
        """Time goes by, in which these doors renew and the steward looks."""
        for _ in range(ms // 100):
            self.now += 100
            for door in alive:
                self.ask(door)
            self.log += self.work.look(self.now)

    def lost(self, *alive: int) -> tuple[int, Handed]:
        """All but these are silent for a lease: who was handed what."""
        found: list[tuple[int, Handed]] = []
        for _ in range(WORK_LEASE_MS // 100 + 1):
            self.now += 100
            found += [(door, one) for door in alive for one in self.ask(door)[1]]
            self.log += self.work.look(self.now)
        found += [(door, one) for door in alive for one in self.ask(door)[1]]
        (one,) = found
        return one


# --- whose it is ---


def test_work_of_a_lost_owner_goes_to_one_other_under_a_higher_fence() -> None:
    fleet = Fleet()
    told = fleet.begin(0, intent())
    taker, handed = fleet.lost(1, 2)
    assert taker == max((1, 2), key=lambda door: weight(f"{door}/1", "c/k"))
    assert handed.fence > told.fence and (handed.server, handed.place) == ("s1", "east")
    assert fleet.hands[taker].holds("c/k", handed.fence, fleet.now)
    # The first owner wakes, and may do nothing; what it says is not heard.
    assert not fleet.hands[0].holds("c/k", told.fence, fleet.now)
    assert fleet.ask(0, Done(name="c/k", fence=told.fence, value=b"late"))[0][-1].how == "lost"
    assert fleet.ask(taker, Done(name="c/k", fence=handed.fence, value=b"v"))[0][-1].how == "kept"
    assert fleet.begin(0, intent(id="again")) == Told(how="answered", value=b"v")


def test_a_later_start_of_the_same_door_loses_the_earlier_ones_work_at_once() -> None:
    fleet = Fleet()
    fleet.begin(0, intent())
    fleet.hands[0] = Hand(0, 2)
    fleet.ask(0)
    owner = fleet.work.intents["c/k"].owner
    assert owner in ("0/2", "1/1", "2/1") and fleet.now == START
    # A word of the earlier start that comes late is not taken for news.
    stale, records = fleet.work.ask(WorkAsk(door=0, mark=1, serial=99, ops=(intent("c/other"),)), fleet.now)
    assert [one.how for one in stale.told] == ["lost"] and not records


def test_a_silence_that_is_shorter_than_the_lease_loses_nothing() -> None:
    fleet = Fleet()
    told = fleet.begin(0, intent())
    fleet.pass_(WORK_LEASE_MS - 100, 1, 2)
    fleet.now += 80
    assert not fleet.work.look(fleet.now) and fleet.work.intents["c/k"].owner == "0/1"
    fleet.ask(0)
    # Its own lease had ended by then: it has let go, and nobody may go on with it but whoever asks again.
    assert not fleet.hands[0].holds("c/k", told.fence, fleet.now)


def test_a_holder_stops_a_margin_before_its_lease_is_over_at_the_steward() -> None:
    fleet = Fleet()
    told = fleet.begin(0, intent())
    margin = WORK_LEASE_MS // 50 + WRITE_MARGIN_MS
    assert fleet.hands[0].holds("c/k", told.fence, START + WORK_LEASE_MS - margin - 1)
    assert not fleet.hands[0].holds("c/k", told.fence, START + WORK_LEASE_MS - margin)
    assert fleet.work.is_alive("0/1", START + WORK_LEASE_MS - 1)


def test_what_clients_ask_again_for_is_waited_for_answered_or_gone_on_with_where_it_ran() -> None:
    fleet = Fleet()
    told = fleet.begin(0, intent())
    assert fleet.begin(1, intent(id="again")).how == "elsewhere"
    assert fleet.begin(1, intent(id="again", digest="another body")).how == "other"
    # Its first client leaves, and so does the door: whoever asks again has it, in its zone.
    fleet.ask(0, Leave(name="c/k", fence=told.fence))
    mine = fleet.begin(1, intent(id="again", server="s2", place="west"))
    assert (mine.how, mine.server, mine.place) == ("kept", "s1", "east") and mine.fence > told.fence
    assert fleet.begin(1, intent(id="again", server="s2", place="west")) == mine  # its answer was lost
    assert fleet.begin(1, intent(id="third", server="s2", place="west")).how == "elsewhere"


def test_what_never_ran_is_forgotten_or_handed_over_and_may_run_anywhere() -> None:
    fleet = Fleet()
    told = fleet.begin(0, intent())
    fleet.ask(0, Leave(name="c/k", fence=told.fence, unrun=True))
    assert not fleet.work.intents
    told = fleet.begin(0, intent(effect="unsafe"))
    fleet.ask(0, Leave(name="c/k", fence=told.fence, on=True, unrun=True))  # as a door that drains does
    handed = [one for door in (1, 2) for one in fleet.ask(door)[1]]
    assert [one.server for one in handed] == [""]


def test_an_attempt_elsewhere_counts_only_where_those_before_it_never_ran() -> None:
    fleet = Fleet()
    told = fleet.begin(0, intent())
    fleet.ask(0, Try(name="c/k", fence=told.fence, number=1, server="s2", place="west", unrun=True))
    assert fleet.work.intents["c/k"].tried == ("s2", "west")
    # The same once more, late: a message that was held up changes nothing.
    fleet.ask(0, Try(name="c/k", fence=told.fence, number=2, server="s3", place="west"))
    fleet.ask(0, Try(name="c/k", fence=told.fence, number=1, server="s2", place="west", unrun=True))
    assert fleet.work.intents["c/k"].tried == ("s3", "west")


@pytest.mark.parametrize("effect, how", [("unsafe", "failed"), ("safe", "kept"), ("keyed", "kept")])
def test_what_becomes_of_each_class_when_nobody_is_left(effect: str, how: str) -> None:
    fleet = Fleet(2)
    fleet.begin(0, intent(effect=effect))
    if effect == "keyed":
        fleet.lost(1)
        fleet.pass_(300)
    else:
        fleet.pass_(WORK_LEASE_MS + 100, 1)
        assert not [one for one in fleet.ask(1)[1]]
    if effect != "keyed":
        assert fleet.begin(1, intent(id="again", effect=effect)).how == how


def test_over_its_time_nothing_is_run_and_in_the_end_it_is_forgotten() -> None:
    fleet = Fleet(2)
    fleet.begin(0, intent(left_ms=500, window_ms=3000))
    fleet.pass_(WORK_LEASE_MS + 100, 1)
    assert fleet.work.intents["c/k"].owner == "" and not fleet.ask(1)[1]
    fleet.pass_(3000, 1)
    assert not fleet.work.intents and not fleet.work.of_customer and not fleet.work.bytes


def test_what_its_owners_die_of_is_given_up_and_kept_for_people_to_look_at() -> None:
    fleet = Fleet(4)
    fleet.begin(0, intent(left_ms=60_000, window_ms=120_000))
    alive = [1, 2, 3]
    for _ in range(MOST_DEATHS - 1):
        taker, _ = fleet.lost(*alive)
        fleet.ask(taker)  # it says that it has come
        alive.remove(taker)
    fleet.pass_(WORK_LEASE_MS + 100, *alive)
    assert [one.name for one in fleet.work.parked] == ["c/k"]
    assert fleet.begin(alive[0], intent(id="again")).how == "failed"


def test_a_taker_that_never_heard_of_it_has_not_died_of_it() -> None:
    fleet = Fleet(3)
    fleet.begin(0, intent(left_ms=60_000, window_ms=120_000))
    fleet.now += WORK_LEASE_MS  # none renews: all are lost
    fleet.work.look(fleet.now)
    assert fleet.work.intents["c/k"].orphan and fleet.work.intents["c/k"].deaths == 1
    fleet.hands[1] = Hand(1, 2)
    fleet.ask(1)
    fleet.work.look(fleet.now)
    assert fleet.work.intents["c/k"].owner == "1/2"
    fleet.now += WORK_LEASE_MS
    fleet.work.look(fleet.now)
    assert fleet.work.intents["c/k"].deaths == 1


def test_takers_are_spread_over_those_that_are_there() -> None:
    fleet = Fleet(9)
    for number in range(400):
        fleet.begin(0, intent(f"c/{number}", customer=f"c{number % 4}"))
    fleet.now += 500
    for door in range(1, 9):
        fleet.ask(door)
    fleet.now += 500
    fleet.work.look(fleet.now)
    shares = [sum(one.owner == f"{door}/1" for one in fleet.work.intents.values()) for door in range(1, 9)]
    assert sum(shares) == 400 and max(shares) < 2 * 400 / 8
    assert len(fleet.ask(1)[1]) <= work.MOST_HANDED


def test_nine_in_ten_doors_at_once_leave_two_thousand_pieces_to_the_rest() -> None:
    fleet = Fleet(20)
    for number in range(2000):
        fleet.hands[number % 20].add(
            intent(f"c{number % 50}/{number}", customer=f"c{number % 50}", left_ms=60_000, window_ms=60_000)
        )
    for door in range(20):
        while fleet.hands[door].queue:
            assert {one.how for one in fleet.ask(door)[0]} == {"kept"}
    took: dict[str, int] = {}
    for _ in range(40):
        fleet.now += 100
        for door in (0, 1):
            handed = fleet.ask(door)[1]
            assert len(handed) <= work.MOST_HANDED
            for one in handed:
                assert one.name not in took
                took[one.name] = door
        fleet.work.look(fleet.now)
    assert len(took) == 1800 and 600 < sum(took.values()) < 1200


# --- bounds ---


def test_full_means_without_and_never_a_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet()
    assert fleet.begin(0, intent("c/big", request=b"x" * (MOST_REQUEST + 1))).how == "full"
    for number in range(MOST_OF_CUSTOMER):
        assert fleet.begin(0, intent(f"c/{number}")).how == "kept"
    assert fleet.begin(0, intent("c/more")).how == "full"
    assert fleet.begin(0, intent("other/1", customer="other")).how == "kept"
    monkeypatch.setattr(work, "MOST_INTENTS", MOST_OF_CUSTOMER + 1)
    assert fleet.begin(0, intent("other/2", customer="other")).how == "full"
    # An outcome gives its place up to work in hand.
    fence = fleet.work.intents["c/0"].fence
    fleet.ask(0, Done(name="c/0", fence=fence, value=b"v"))
    assert fleet.begin(0, intent("other/2", customer="other")).how == "kept"
    assert "c/0" not in fleet.work.intents and fleet.work.counts["evicted"] == 1


def test_a_value_that_is_too_large_to_keep_is_told_as_failed_not_as_empty() -> None:
    fleet = Fleet()
    told = fleet.begin(0, intent())
    large = Done(name="c/k", fence=told.fence, value=b"x" * (MOST_VALUE + 1))
    assert fleet.ask(0, large)[0][-1].how == "kept"
    assert fleet.begin(1, intent(id="again")) == Told(how="failed")


@pytest.mark.parametrize("door", [-1, work.MOST_DOORS])
def test_a_door_out_of_range_is_refused(door: int) -> None:
    with pytest.raises(RefusedError, match="numbered"):
        Work(0, START).ask(WorkAsk(door=door, mark=1, serial=1), START)


# --- the hand ---


def test_an_ask_without_an_answer_is_told_again_and_a_late_answer_gives_nothing() -> None:
    fleet, hand = Fleet(1), Hand(5, 1)
    hand.add(intent())
    first = hand.ask(START)
    answer, _ = fleet.work.ask(first, START)
    hand.unanswered()
    second = hand.ask(START + 100)
    assert second.ops == first.ops
    assert hand.answered(answer, START + 100) == ([], [])  # of an ask that is not out any more
    again, _ = fleet.work.ask(second, START + 100)
    (told,) = [one for _, one in hand.answered(again, START + 100)[0]]
    assert told.how == "kept" and hand.holds("c/k", told.fence, START + 100)
    hand.ask(START + 200)
    late = WorkAnswer(door=5, mark=1, serial=hand.serial, lease_ms=WORK_LEASE_MS)
    hand.answered(late, START + 5000)
    assert not hand.is_alive(START + 5000)


def test_work_that_an_answer_hands_too_late_has_not_come_and_is_handed_again() -> None:
    hand = Hand(5, 1)
    handed = Handed(name="c/k", fence=7, request=b"r", left_ms=1000)
    answer = WorkAnswer(door=5, mark=1, serial=1, lease_ms=WORK_LEASE_MS, handed=(handed,))
    hand.ask(START)
    assert hand.answered(answer, START + 950) == ([], []) and not hand.held
    assert hand.ask(START + 960).took == ()
    again = WorkAnswer(door=5, mark=1, serial=2, lease_ms=WORK_LEASE_MS, handed=(handed,))
    assert hand.answered(again, START + 970) == ([], [handed])
    assert hand.ask(START + 980).took == (7,)  # told again until that is heard, and taken once
    third = WorkAnswer(door=5, mark=1, serial=3, lease_ms=WORK_LEASE_MS, handed=(handed,))
    assert hand.answered(third, START + 990) == ([], [])


def test_a_begin_that_was_given_up_on_is_taken_back_wherever_it_is() -> None:
    fleet, hand = Fleet(1), Hand(5, 1)
    hand.add(intent())
    hand.withdraw("c/k")
    assert not hand.queue
    hand.add(intent())
    ask = hand.ask(START)
    hand.withdraw("c/k")
    answer, _ = fleet.work.ask(ask, START)
    hand.answered(answer, START)
    assert [type(op) for op in hand.queue] == [Leave] and hand.queue[0].unrun and not hand.held
    fleet.work.ask(hand.ask(START), START)
    assert not fleet.work.intents


def test_an_ask_that_was_turned_away_gives_its_begins_back() -> None:
    hand = Hand(5, 1)
    hand.add(intent())
    hand.add(Done(name="c/x", fence=1, value=b""))
    hand.ask(START)
    assert [op.name for op in hand.refused()] == ["c/k"]
    assert [op.name for op in hand.queue] == ["c/x"] and not hand.refused()
    assert sum(hand.add(intent(str(n))) for n in range(5 * MOST_OPS)) < 5 * MOST_OPS  # bounded


def test_an_ask_is_bounded_in_ops_and_bytes_and_the_rest_goes_with_the_next() -> None:
    hand = Hand(5, 1)
    for number in range(2 * MOST_BEGINS):
        hand.add(intent(str(number)))
    hand.add(Done(name="large", fence=1, value=b"x" * MOST_ASK_BYTES))
    hand.add(Done(name="other", fence=1, value=b"x" * MOST_ASK_BYTES))
    asked = []
    while hand.queue:
        asked.append([op.name for op in hand.ask(START).ops])
    assert [len(names) for names in asked] == [MOST_BEGINS, MOST_BEGINS, 1, 1]


# --- the log ---


def state_of(found: Work) -> list[tuple[object, ...]]:
    return sorted(
        (
            one.name,
            one.owner,
            one.fence,
            one.tried,
            one.before,
            one.how,
            one.value,
            one.first_ms,
            one.deaths,
            one.orphan,
            one.number,
        )
        for one in found.intents.values()
    )


def grown(folder: Path) -> tuple[list[int], list[list[tuple[object, ...]]]]:
    """A log of a life of two doors, with its size and the state after each ask."""
    begin(folder, CONFIG)
    book = Book(claim(folder))
    _, found = book.open(CONFIG)
    hands, now, sizes, states = [Hand(0, 1), Hand(1, 1)], now_ms(), [], []

    def ask(door: int, *ops: Op) -> None:
        for op in ops:
            hands[door].add(op)
        answer, records = found.ask(hands[door].ask(now), now)
        book.append([], records)
        hands[door].answered(answer, now)
        sizes.append(book.records.size_bytes)
        states.append(state_of(found))

    ask(0, intent("c/1"), intent("c/2", effect="unsafe"))
    ask(1, intent("c/3", request=bytes(range(256))))
    ask(0, Try(name="c/1", fence=hands[0].held["c/1"], number=1, server="s2", place="east"))
    ask(0, Done(name="c/2", fence=hands[0].held["c/2"], value=b"\x00\xff"))
    hands[0] = Hand(0, 2)  # its start before is lost
    ask(0)
    book.close()
    return sizes, states


def test_no_acknowledged_word_is_lost_wherever_the_log_is_cut(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "fsync", lambda file: None)  # what a sync would keep is cut off here
    still = now_ms()
    monkeypatch.setattr(books, "now_ms", lambda: still)
    sizes, states = grown(tmp_path / "whole")
    whole = log_of(tmp_path / "whole").read_bytes()
    for cut in range(sizes[0], len(whole) + 1):
        book = Book(claim(copied(tmp_path / "whole", tmp_path / f"{cut}", whole[:cut])))
        _, found = book.open(CONFIG)
        told = sum(size <= cut for size in sizes)
        if cut in sizes:
            assert state_of(found) == states[told - 1]
        names = {row[0] for row in states[told - 1]}
        assert names <= set(found.intents)
        # Whoever has work may have been there up to now: nobody goes on with it before a lease is over.
        assert all(
            found.is_alive(one.owner, still) or found.is_replaced(one.owner)
            for one in found.intents.values()
            if one.owner
        )
        book.close()
    book = Book(claim(tmp_path / "whole"))
    _, found = book.open(CONFIG)  # which is kept as a snapshot
    book.close()
    book = Book(claim(tmp_path / "whole"))
    assert state_of(book.open(CONFIG)[1]) == state_of(found)
    book.close()


def test_a_log_that_has_grown_long_or_large_makes_place_for_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    grown(tmp_path)
    book = Book(claim(tmp_path))
    state, found = book.open(CONFIG)
    assert not book.due()
    for number in range(5):
        book.append([("open", f"{number}/1", Issued(number, 1, 1))])
    for name in ("MOST_RECORDS", "MOST_LOG_BYTES"):
        with monkeypatch.context() as small:
            small.setattr(books, name, 5)
            assert book.due()
    book.put(book.image(state, found))
    assert not book.records.size_bytes and not book.due()
    book.close()


def test_work_of_another_boot_is_over(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    grown(tmp_path)
    monkeypatch.setattr(books, "boot", lambda: "another")
    book = Book(claim(tmp_path))
    assert not book.open(CONFIG)[1].intents
    book.close()


# --- the model check ---


@pytest.mark.parametrize("held", [False, True])
def test_all_near_states_hold(held: bool) -> None:
    found = check_work.explore(check_work.Kind(), 2, 3, held)
    assert not found.broken, found.way
    assert found.states > 500


def test_far_states_hold() -> None:
    found = check_work.wander(check_work.Kind(), 3, 300, 30, 2)
    assert not found.broken, found.way


@pytest.mark.parametrize("kind", check_work.PLANTED, ids=lambda kind: kind.name)
def test_each_planted_fault_is_found(kind: check_work.Kind) -> None:
    assert check_work.wander(kind, 3, 20_000, 25, 1).broken


# --- the module ---

KEYED = RequestClass(
    latency_objective_us=2 * S,
    deadline_us=6 * S,
    effect=Effect.IDEMPOTENT_BY_KEY,
    idempotency_scope=IdempotencyScope.ZONE,
    idempotency_window_us=8 * S,
)
ONCE = RequestClass(latency_objective_us=2 * S, deadline_us=6 * S, effect=Effect.UNSAFE)
FEW = Plan(rate=0.01, burst=1.0)
THREE = replace(SETTINGS, classes=(KEYED, ONCE), plans=(FEW,))


def test_inherited_work_takes_no_units_and_stays_in_its_zone() -> None:
    world = World(THREE, servers(8))
    assert of(StartAttempt, world.ask("own"))  # the whole quota
    for number in range(20):
        (sent,) = of(StartAttempt, world.ask(f"in-{number}", is_taken_over=True, ran_on_server="s3"))
        assert int(sent.server[1:]) % 2 == 1  # in zone 1, as s3
    # Where its first attempt never ran, the next one still stays there.
    sends = of(StartAttempt, world.answer("in-0", AttemptResult.CONNECT_FAILED))
    assert all(int(sent.server[1:]) % 2 == 1 for sent in sends)
    assert of(StartAttempt, world.ask("free", is_taken_over=True))


def test_inherited_work_that_may_have_run_and_may_not_be_repeated_is_over() -> None:
    world = World(THREE)
    assert of(FailRequest, world.ask("a", is_taken_over=True, ran_on_server="s1", class_index=1))
    assert of(StartAttempt, world.ask("b", is_taken_over=True, class_index=1))


def test_units_of_what_another_has_go_back_and_nobody_is_blamed() -> None:
    world = World(THREE)
    assert of(StartAttempt, world.ask("a"))
    server, sent, _ = world.out.pop(("a", 0))
    world.tell(AttemptEnded("a", True, 0, server, AttemptResult.OWNED_ELSEWHERE, world.now - sent))
    assert "a" not in world.gateway.requests_by_id and not world.gateway.servers_by_name[server].failures
    assert of(StartAttempt, world.ask("b"))  # the quota is as it was
    assert not of(StartAttempt, world.ask("c"))


# --- the configuration ---


@pytest.mark.parametrize(
    "values, said",
    [
        ([1], "expected an object"),
        (
            {"addresses": "h:1", "classes": ["x"], "secret_file": "/nowhere"},
            "expected a class of the settings in work_leases, found 'x'",
        ),
        ({"addresses": "h:1", "classes": [], "secret_file": "/nowhere"}, "expected names of classes"),
        ({"addresses": "h:1", "classes": ["a"], "secret_file": "/nowhere"}, "cannot read"),
    ],
)
def test_what_is_wrong_with_the_part_on_work_leases_is_one_line(values: object, said: str) -> None:
    with pytest.raises(ConfigError, match=said) as caught:
        read_work_leases(values, {"a": 0})
    assert "\n" not in str(caught.value)
    assert read_work_leases(None, {}) is None


# --- the wire ---


def test_frames_come_apart_wherever_they_are_cut_and_only_signed_ones_are_read() -> None:
    secret = b"s" * 16
    sent = frame(secret, b"one") + frame(secret, b"", FULL) + frame(secret, bytes(range(256)))
    for cut in range(len(sent)):
        frames, found = Frames(secret), []
        for part in (sent[:cut], sent[cut:]):
            frames.feed(part)
            while (one := frames.next()) is not None:
                found.append(one)
        assert found == [(GOOD, b"one"), (FULL, b""), (GOOD, bytes(range(256)))]
    for at in range(4, len(frame(secret, b"one"))):
        spoilt = bytearray(frame(secret, b"one"))
        spoilt[at] ^= 1
        frames = Frames(secret)
        frames.feed(bytes(spoilt))
        with pytest.raises(FrameError, match="not signed"):
            frames.next()
    frames = Frames(secret, most=2)
    frames.feed(frame(secret, b"one"))
    with pytest.raises(FrameError, match="of 3 bytes"):
        frames.next()
