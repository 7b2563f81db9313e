"""What gateways tell each other of the back end: digests, their loss and age, and what is made of them."""

from dataclasses import replace

from tests.helpers import MS, SETTINGS, S, Set, World, of, servers
from thistletrail.policy.actions import StartAttempt
from thistletrail.policy.events import (
    AttemptResult,
    EndpointUpdate,
    EndpointUpdateKind,
    HealthDigest,
    PeerMessageReceived,
    ServerObservation,
)
from thistletrail.policy.health_gossip import (
    DIGEST_FRESH_US,
    DIGEST_SPAN_US,
    HealthGossip,
    by_fingerprint,
    fingerprint,
)
from thistletrail.policy.settings import Plan

MANY = replace(SETTINGS, gateway_count=40, plans=(Plan(),))


def test_digest_holds_what_was_seen_since_the_last_and_goes_once_to_each() -> None:
    fleet = HealthGossip(39, 255)
    fleet.record_answer("s0", 0.2)
    fleet.record_answer("s0", 0.4)
    fleet.record_failure("s1", 0, False)
    fleet.record_occupancy(0.5)
    fleet.close_digest(DIGEST_SPAN_US, [("s0", 0), ("s1", 0), ("s2", 3)])
    digest = fleet.digest_for(7)
    assert digest and (digest.serial, digest.occupancy, digest.samples) == (0, 0.5, 1)
    first, *others = digest.observations
    assert first == ServerObservation(fingerprint("s1"), 0.0, 0, 1)  # the bad news first
    assert {
        (note.server, round(note.latency_ratio, 3), note.successes, note.in_flight) for note in others
    } == {
        (fingerprint("s0"), 0.3, 2, 0),
        (fingerprint("s2"), 0.0, 0, 3),
    }
    assert fleet.digest_for(7) is None and fleet.digest_for(8) == digest
    fleet.close_digest(2 * DIGEST_SPAN_US - 1, [])
    assert fleet.digest is digest  # not yet
    fleet.close_digest(2 * DIGEST_SPAN_US, [])
    assert fleet.digest_for(7) is None  # there was nothing


def test_a_server_where_nobody_is_stays_in_digests_until_it_answers_or_for_a_while() -> None:
    fleet = HealthGossip(39, 0)
    fleet.record_failure("gone", 0, True)
    fleet.record_failure("back", 0, True)
    fleet.record_failure("once", 0, False)
    told_of = []
    for number in range(1, 6):
        fleet.close_digest(number * DIGEST_SPAN_US, [])
        told_of.append(
            {note.server for note in fleet.digest.observations if note.failures} if fleet.digest else set()
        )
        fleet.record_answer("back", 0.1)
    both = {fingerprint("gone"), fingerprint("back")}
    assert told_of == [
        both | {fingerprint("once")},
        {fingerprint("gone")},
        {fingerprint("gone")},
        set(),
        set(),
    ]


def test_a_digest_that_comes_twice_counts_once_until_serials_come_round() -> None:
    fleet, digest = HealthGossip(39, 0), HealthDigest(9, 0.5, 1, (ServerObservation(5, in_flight=2),))
    assert fleet.accept(3, digest, S)
    assert not fleet.accept(3, digest, S + 10 * MS)
    assert fleet.accept(4, digest, S)
    assert fleet.in_flight_at(5) == 4 * 39 / 2  # those not heard of are taken for alike
    assert fleet.accept(3, digest, S + DIGEST_FRESH_US)


def test_what_was_out_is_replaced_and_forgotten_with_its_sender() -> None:
    fleet = HealthGossip(2, 0)
    fleet.accept(
        1,
        HealthDigest(1, observations=(ServerObservation(5, in_flight=2), ServerObservation(6, in_flight=1))),
        S,
    )
    fleet.accept(1, HealthDigest(2, observations=(ServerObservation(6, in_flight=4),)), S)
    assert (fleet.in_flight_at(5), fleet.in_flight_at(6)) == (0.0, 8.0)
    fleet.discard_stale(S + DIGEST_FRESH_US)
    assert fleet.in_flight_at(6) == 8.0
    fleet.discard_stale(S + DIGEST_FRESH_US + 1)  # its sender may have gone: a restart tells anew
    assert fleet.in_flight_at(6) == 0.0 and not fleet.in_flight_totals and not fleet.in_flight_reports


def test_what_nobody_is_told_does_not_pile_up() -> None:
    """A gateway with no word to send meets new servers for as long as it lives."""
    world = World(replace(SETTINGS, may_message_peers=False, plans=(Plan(),)), ())
    for number in range(100):
        entry = replace(servers(1)[0], name=f"x{number}")
        world.tell(EndpointUpdate(EndpointUpdateKind.FULL, number, (entry,)))
        world.gateway.gossip.record_failure(entry.name, world.now, True)
        world.ask(f"a{number}")
        world.answer(f"a{number}")
        world.run(500 * MS)
    fleet = world.gateway.gossip
    assert len(fleet.totals) < 12 and len(fleet.lasting_failures) < 12


def test_names_with_one_mark_are_told_of_by_nobody() -> None:
    names = [f"s{number}" for number in range(70_000)]
    known = by_fingerprint(names)
    assert all(fingerprint(name) == number for number, name in known.items())
    alike = [name for name in names if fingerprint(name) not in known]
    assert len(alike) >= 2 and not by_fingerprint(alike)


def told(world: World, sender: int, *notes: ServerObservation, serial: int = 1) -> None:
    world.tell(PeerMessageReceived(sender, (), HealthDigest(serial, 0.2, 1, notes)))


def sends(world: World, count: int = 200) -> list[str]:
    for number in range(count):
        world.ask(f"r{number}-{world.now}", customer=f"c{number}")
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
    return [action.server for _, action in world.log if isinstance(action, StartAttempt)]


def test_server_that_fails_at_peers_is_left_alone_here() -> None:
    world = World(MANY, servers(20))
    for sender in range(1, 5):
        told(world, sender, ServerObservation(fingerprint("s3"), failures=1))
    assert "s3" not in sends(world)
    lost = World(MANY, servers(20))  # one word alone is no reason
    told(lost, 1, ServerObservation(fingerprint("s3"), failures=1))
    assert "s3" in sends(lost)


def test_answers_to_what_was_sent_before_end_no_suspicion() -> None:
    """A server that drains turns new work away, and goes on answering the old."""
    world = World(MANY, servers(4))
    server = world.gateway.servers_by_name["s3"]
    world.run(S)
    server.failures = 5.0
    world.gateway.outliers.record_failure(server)
    assert server.is_ejected
    world.gateway.outliers.record_success(server, world.now - 1)
    assert server.is_ejected
    told(world, 1, ServerObservation(fingerprint("s3"), latency_ratio=0.1, successes=2))
    assert server.is_ejected
    world.run(1100 * MS)
    told(world, 2, ServerObservation(fingerprint("s3"), latency_ratio=0.1, successes=1))  # a peer's trial
    assert not server.is_ejected


def test_many_gateways_make_a_few_trials_however_many_servers_are_suspect() -> None:
    """A trial goes first; were each suspect server tried as it is due, all that is sent would go there."""
    world = World(MANY, servers(40))
    for sender in range(1, 6):
        told(
            world, sender, *(ServerObservation(fingerprint(f"s{number}"), failures=1) for number in range(30))
        )
    world.run(1100 * MS)
    world.log.clear()
    for number in range(400):
        world.ask(f"t{number}", customer=f"c{number}")
        for name, attempt in list(world.out):
            bad = int(world.out[(name, attempt)][0][1:]) < 30
            world.answer(name, AttemptResult.CONNECT_FAILED if bad else AttemptResult.OK, attempt)
        world.run(20 * MS)
    names = [action.server for _, action in world.log if isinstance(action, StartAttempt)]
    trials = sum(int(name[1:]) < 30 for name in names)
    assert 1 <= trials <= 0.1 * len(names)


def test_busy_servers_are_told_of() -> None:
    """One that drains turns all away, and the list says so late."""
    world = World(MANY, servers(4))
    world.ask("a")
    (server,) = {server for server, _, _ in world.out.values()}
    world.answer("a", AttemptResult.AT_CAPACITY)
    world.gateway.gossip.close_digest(world.now, ())
    (note,) = world.gateway.gossip.digest.observations
    assert (note.server, note.failures) == (fingerprint(server), 1)


def test_warming_server_is_sent_its_part_by_many_gateways() -> None:
    """Each sends to it once in many seconds: to space that out would leave it idle."""
    fleet = servers(20)
    gates = Set(40, replace(MANY, cold_capacity=0.5, warm_up_us=1000 * S), fleet)
    cold = replace(fleet[0], started_us=gates.worlds[0].now)
    for world in gates.worlds:
        world.tell(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (cold,)))
    for number in range(2000):
        gates.ask(number * 7 % 40, f"r{number}", customer=f"c{number}")
        if number % 2 == 0:
            gates.run(10 * MS)
    names = [
        action.server for world in gates.worlds for _, action in world.log if isinstance(action, StartAttempt)
    ]
    part = names.count("s0") / (len(names) / 20)
    assert 0.2 <= part <= 1.0  # it is half warm


def test_what_peers_have_out_sends_attempts_elsewhere() -> None:
    world = World(MANY, servers(10))
    for sender in range(1, 20):
        told(
            world, sender, *(ServerObservation(fingerprint(f"s{number}"), in_flight=2) for number in range(5))
        )
    names = sends(world)
    assert sum(name in {"s0", "s1", "s2", "s3", "s4"} for name in names) < 0.35 * len(names)


def test_servers_that_are_slow_for_peers_are_sent_less() -> None:
    world = World(MANY, servers(10))
    for sender in range(1, 9):
        told(
            world,
            sender,
            *(
                ServerObservation(fingerprint(f"s{number}"), latency_ratio=2.0, successes=1)
                for number in range(5)
            ),
        )
    names = sends(world, 100)
    assert sum(name in {"s0", "s1", "s2", "s3", "s4"} for name in names) < 0.35 * len(names)


def test_note_of_a_server_that_is_not_listed_says_nothing() -> None:
    world = World(MANY, servers(2))
    told(
        world,
        1,
        ServerObservation(fingerprint("unheard"), latency_ratio=9.0, successes=3, failures=4, in_flight=9),
    )
    assert set(world.gateway.servers_by_name) == {"s0", "s1"}
    assert set(sends(world, 20)) <= {"s0", "s1"}
    empty = World(MANY, ())
    told(empty, 1, ServerObservation(fingerprint("s0"), latency_ratio=9.0, successes=3))
    assert not of(StartAttempt, empty.ask("a"))


def test_signal_of_all_gateways_moves_the_cap_of_each() -> None:
    world = World(MANY, servers(60))
    world.ask("a")
    world.answer("a")
    for sender in range(1, 30):
        world.tell(PeerMessageReceived(sender, (), HealthDigest(1, 0.9, 5)))
    world.run(1100 * MS)
    assert world.gateway.overload.admission_limit is not None
    alone = World(MANY, servers(60))
    alone.ask("a")
    alone.answer("a")
    alone.run(1100 * MS)
    assert alone.gateway.overload.admission_limit is None


def test_a_gateway_that_restarts_hears_and_tells_anew() -> None:
    """Its serial number starts anywhere, so that its first digest is not taken for an old one."""
    gates = Set(3, replace(SETTINGS, plans=(replace(SETTINGS.plans[0], burst=1.0),)))
    for number in range(60):
        gates.ask(number % 3, f"r{number}")
        gates.run(30 * MS)
    heard = [len(world.gateway.gossip.received) for world in gates.worlds]
    assert sum(heard) >= 3
    again = World(replace(gates.worlds[0].gateway.settings, seed=99))
    assert not again.gateway.gossip.received and not again.gateway.gossip.in_flight_totals


def test_n_of_many_gateways_is_not_rounded_away() -> None:
    """At 2.5 a period, rounding down alone would take a fifth from the servers."""
    gateway = World(MANY, servers(60)).gateway
    gateway.overload.admission_limit = 2
    total = 0
    for _ in range(20):
        gateway.overload.set_limit(2.5)
        total += gateway.overload.admission_limit
    assert 49 <= total <= 50


def test_n_follows_the_servers_that_are_well() -> None:
    world = World(MANY, servers(60))
    gateway = world.gateway
    gateway.overload.capacity_at_update = gateway.overload.capacity
    gateway.overload.admission_limit, gateway.overload.exact_limit = 12, 12.0
    for server in list(gateway.servers_by_name.values())[:30]:
        server.is_ejected = True
    gateway.overload.latency_samples = [0.5]
    gateway.overload.update_limit(6)
    assert 5 <= gateway.overload.exact_limit <= 6.5


def test_gateways_of_many_keep_to_the_connections_that_they_have() -> None:
    """A new connection has its price, and 40 gateways by 60 servers are 2,400 of them."""
    used = {}
    for price in (0.0, 0.1):
        world = World(replace(MANY, handshake_price=price), servers(60))
        names = sends(world, 300)
        used[price] = len(set(names))
    assert used[0.0] > 40 and used[0.1] < 25


def test_a_loaded_server_is_left_for_a_new_connection() -> None:
    world = World(replace(MANY, handshake_price=0.1), servers(60))
    met = set(sends(world, 50))
    for sender in range(1, 30):
        told(world, sender, *(ServerObservation(fingerprint(name), in_flight=3) for name in met))
    world.log.clear()
    assert set(sends(world, 100)) - met


def test_a_connection_that_broke_is_not_counted_on() -> None:
    world = World(replace(MANY, gateway_count=1), servers(1))
    server = world.gateway.servers_by_name["s0"]
    for name in ("a", "b", "c"):
        world.ask(name)
    assert server.connections == 3
    world.answer("a")
    assert server.connections == 3  # an answer leaves it open
    world.gateway.retry_budget.saved_retries = 0.0
    world.answer("b", AttemptResult.ERROR)
    assert server.connections == 3
    world.answer("c", AttemptResult.RESET)
    assert server.connections == 2
