"""Tests of health gossip: the content, loss and age of digests, and their effect on decisions."""

from dataclasses import replace

from tests.helpers import (
    MILLISECOND_US,
    SECOND_US,
    SETTINGS,
    GatewayFleet,
    GatewayHarness,
    actions_of_type,
    servers,
)
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


def test_a_digest_holds_observations_since_the_last_one_and_is_sent_once_to_each_peer() -> None:
    gossip = HealthGossip(39, 255)
    gossip.record_answer("s0", 0.2)
    gossip.record_answer("s0", 0.4)
    gossip.record_failure("s1", 0, False)
    gossip.record_occupancy(0.5)
    gossip.close_digest(DIGEST_SPAN_US, [("s0", 0), ("s1", 0), ("s2", 3)])
    digest = gossip.digest_for(7)
    assert digest and (digest.serial, digest.occupancy, digest.samples) == (0, 0.5, 1)
    first, *others = digest.observations
    assert first == ServerObservation(fingerprint("s1"), 0.0, 0, 1)  # most failures first
    assert {
        (
            observation.server,
            round(observation.latency_ratio, 3),
            observation.successes,
            observation.in_flight,
        )
        for observation in others
    } == {
        (fingerprint("s0"), 0.3, 2, 0),
        (fingerprint("s2"), 0.0, 0, 3),
    }
    assert gossip.digest_for(7) is None and gossip.digest_for(8) == digest
    gossip.close_digest(2 * DIGEST_SPAN_US - 1, [])
    assert gossip.digest is digest  # its span is not over
    gossip.close_digest(2 * DIGEST_SPAN_US, [])
    assert gossip.digest_for(7) is None  # nothing was observed since


def test_a_lasting_failure_is_reported_until_the_server_answers_or_the_report_expires() -> None:
    gossip = HealthGossip(39, 0)
    gossip.record_failure("gone", 0, True)
    gossip.record_failure("back", 0, True)
    gossip.record_failure("once", 0, False)
    reported: list[set[int]] = []
    for number in range(1, 6):
        gossip.close_digest(number * DIGEST_SPAN_US, [])
        observations = gossip.digest.observations if gossip.digest else ()
        reported.append({observation.server for observation in observations if observation.failures})
        gossip.record_answer("back", 0.1)
    both = {fingerprint("gone"), fingerprint("back")}
    assert reported == [
        both | {fingerprint("once")},
        {fingerprint("gone")},
        {fingerprint("gone")},
        set(),
        set(),
    ]


def test_a_duplicate_digest_is_ignored_until_serial_numbers_may_repeat() -> None:
    gossip, digest = HealthGossip(39, 0), HealthDigest(9, 0.5, 1, (ServerObservation(5, in_flight=2),))
    assert gossip.accept(3, digest, SECOND_US)
    assert not gossip.accept(3, digest, SECOND_US + 10 * MILLISECOND_US)
    assert gossip.accept(4, digest, SECOND_US)
    assert gossip.in_flight_at(5) == 4 * 39 / 2  # the other peers count with the mean of these two
    assert gossip.accept(3, digest, SECOND_US + DIGEST_FRESH_US)


def test_in_flight_counts_are_replaced_by_the_next_digest_and_expire() -> None:
    gossip = HealthGossip(2, 0)
    gossip.accept(
        1,
        HealthDigest(1, observations=(ServerObservation(5, in_flight=2), ServerObservation(6, in_flight=1))),
        SECOND_US,
    )
    gossip.accept(1, HealthDigest(2, observations=(ServerObservation(6, in_flight=4),)), SECOND_US)
    assert (gossip.in_flight_at(5), gossip.in_flight_at(6)) == (0.0, 8.0)
    gossip.discard_stale(SECOND_US + DIGEST_FRESH_US)
    assert gossip.in_flight_at(6) == 8.0
    gossip.discard_stale(SECOND_US + DIGEST_FRESH_US + 1)  # the sender may have ended
    assert gossip.in_flight_at(6) == 0.0 and not gossip.in_flight_totals and not gossip.in_flight_reports


def test_observations_that_are_not_sent_do_not_accumulate() -> None:
    """A gateway that sends no messages observes new servers without end, so old observations must expire."""
    harness = GatewayHarness(replace(SETTINGS, may_message_peers=False, plans=(Plan(),)), ())
    for number in range(100):
        entry = replace(servers(1)[0], name=f"x{number}")
        harness.handle(EndpointUpdate(EndpointUpdateKind.FULL, number, (entry,)))
        harness.engine.gossip.record_failure(entry.name, harness.now_us, True)
        harness.send_request(f"a{number}")
        harness.complete_attempt(f"a{number}")
        harness.advance(500 * MILLISECOND_US)
    gossip = harness.engine.gossip
    assert len(gossip.totals) < 12 and len(gossip.lasting_failures) < 12


def test_servers_that_share_a_fingerprint_are_omitted() -> None:
    names = [f"s{number}" for number in range(70_000)]
    names_by_fingerprint = by_fingerprint(names)
    assert all(fingerprint(name) == number for number, name in names_by_fingerprint.items())
    colliding = [name for name in names if fingerprint(name) not in names_by_fingerprint]
    assert len(colliding) >= 2 and not by_fingerprint(colliding)


def receive(harness: GatewayHarness, sender: int, *observations: ServerObservation, serial: int = 1) -> None:
    harness.handle(PeerMessageReceived(sender, (), HealthDigest(serial, 0.2, 1, observations)))


def attempted_servers(harness: GatewayHarness, count: int = 200) -> list[str]:
    """Send requests and answer their attempts; return the servers of all attempts of the gateway so far."""
    for number in range(count):
        harness.send_request(f"r{number}-{harness.now_us}", customer=f"c{number}")
        for name, attempt in list(harness.in_flight):
            harness.complete_attempt(name, attempt=attempt)
    return [action.server for _, action in harness.action_log if isinstance(action, StartAttempt)]


def test_a_server_that_fails_for_several_peers_gets_no_attempts() -> None:
    harness = GatewayHarness(MANY, servers(20))
    for sender in range(1, 5):
        receive(harness, sender, ServerObservation(fingerprint("s3"), failures=1))
    assert "s3" not in attempted_servers(harness)
    single_report = GatewayHarness(MANY, servers(20))  # a failure at a single peer is not enough
    receive(single_report, 1, ServerObservation(fingerprint("s3"), failures=1))
    assert "s3" in attempted_servers(single_report)


def test_answers_to_attempts_from_before_the_ejection_do_not_end_it() -> None:
    """A draining server rejects new requests while it still answers older ones."""
    harness = GatewayHarness(MANY, servers(4))
    server = harness.engine.servers_by_name["s3"]
    harness.advance(SECOND_US)
    server.failures = 5.0
    harness.engine.outliers.record_failure(server)
    assert server.is_ejected
    harness.engine.outliers.record_success(server, harness.now_us - 1)
    assert server.is_ejected
    receive(harness, 1, ServerObservation(fingerprint("s3"), latency_ratio=0.1, successes=2))
    assert server.is_ejected
    harness.advance(1100 * MILLISECOND_US)
    # A peer's half-open attempt has succeeded.
    receive(harness, 2, ServerObservation(fingerprint("s3"), latency_ratio=0.1, successes=1))
    assert not server.is_ejected


def test_many_half_open_servers_get_at_most_a_tenth_of_the_attempts() -> None:
    """Selection prefers half-open servers that are due; without a limit they would get all attempts."""
    harness = GatewayHarness(MANY, servers(40))
    for sender in range(1, 6):
        receive(
            harness,
            sender,
            *(ServerObservation(fingerprint(f"s{number}"), failures=1) for number in range(30)),
        )
    harness.advance(1100 * MILLISECOND_US)
    harness.action_log.clear()
    for number in range(400):
        harness.send_request(f"t{number}", customer=f"c{number}")
        for name, attempt in list(harness.in_flight):
            is_failing = int(harness.in_flight[(name, attempt)][0][1:]) < 30
            harness.complete_attempt(
                name, AttemptResult.CONNECT_FAILED if is_failing else AttemptResult.SUCCESS, attempt
            )
        harness.advance(20 * MILLISECOND_US)
    names = [action.server for _, action in harness.action_log if isinstance(action, StartAttempt)]
    half_open_attempts = sum(int(name[1:]) < 30 for name in names)
    assert 1 <= half_open_attempts <= 0.1 * len(names)


def test_a_rejection_at_capacity_is_reported_as_a_failure() -> None:
    """A draining server rejects all requests before the endpoint list shows that it drains."""
    harness = GatewayHarness(MANY, servers(4))
    harness.send_request("a")
    (server,) = {server for server, _, _ in harness.in_flight.values()}
    harness.complete_attempt("a", AttemptResult.AT_CAPACITY)
    harness.engine.gossip.close_digest(harness.now_us, ())
    (observation,) = harness.engine.gossip.digest.observations
    assert (observation.server, observation.failures) == (fingerprint(server), 1)


def test_a_server_that_is_warming_up_gets_its_share_of_many_gateways() -> None:
    """Each gateway sends to it once in many seconds, so that further spacing would leave it idle."""
    endpoints = servers(20)
    fleet = GatewayFleet(40, replace(MANY, cold_capacity=0.5, warm_up_us=1000 * SECOND_US), endpoints)
    warming_up = replace(endpoints[0], started_us=fleet.gateways[0].now_us)
    for harness in fleet.gateways:
        harness.handle(EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (warming_up,)))
    for number in range(2000):
        fleet.send_request(number * 7 % 40, f"r{number}", customer=f"c{number}")
        if number % 2 == 0:
            fleet.advance(10 * MILLISECOND_US)
    names = [
        action.server
        for harness in fleet.gateways
        for _, action in harness.action_log
        if isinstance(action, StartAttempt)
    ]
    share_of_mean = names.count("s0") / (len(names) / 20)
    assert 0.2 <= share_of_mean <= 1.0  # it starts at half of its capacity


def test_servers_with_attempts_of_peers_in_flight_get_fewer_attempts() -> None:
    harness = GatewayHarness(MANY, servers(10))
    for sender in range(1, 20):
        receive(
            harness,
            sender,
            *(ServerObservation(fingerprint(f"s{number}"), in_flight=2) for number in range(5)),
        )
    names = attempted_servers(harness)
    assert sum(name in {"s0", "s1", "s2", "s3", "s4"} for name in names) < 0.35 * len(names)


def test_servers_that_are_slow_for_peers_get_fewer_attempts() -> None:
    harness = GatewayHarness(MANY, servers(10))
    for sender in range(1, 9):
        receive(
            harness,
            sender,
            *(
                ServerObservation(fingerprint(f"s{number}"), latency_ratio=2.0, successes=1)
                for number in range(5)
            ),
        )
    names = attempted_servers(harness, 100)
    assert sum(name in {"s0", "s1", "s2", "s3", "s4"} for name in names) < 0.35 * len(names)


def test_an_observation_of_an_unlisted_server_is_ignored() -> None:
    harness = GatewayHarness(MANY, servers(2))
    receive(
        harness,
        1,
        ServerObservation(fingerprint("unlisted"), latency_ratio=9.0, successes=3, failures=4, in_flight=9),
    )
    assert set(harness.engine.servers_by_name) == {"s0", "s1"}
    assert set(attempted_servers(harness, 20)) <= {"s0", "s1"}
    empty = GatewayHarness(MANY, ())
    receive(empty, 1, ServerObservation(fingerprint("s0"), latency_ratio=9.0, successes=3))
    assert not actions_of_type(StartAttempt, empty.send_request("a"))


def test_the_occupancy_of_peers_engages_overload_control() -> None:
    harness = GatewayHarness(MANY, servers(60))
    harness.send_request("a")
    harness.complete_attempt("a")
    for sender in range(1, 30):
        harness.handle(PeerMessageReceived(sender, (), HealthDigest(1, 0.9, 5)))
    harness.advance(1100 * MILLISECOND_US)
    assert harness.engine.overload.admission_limit is not None
    alone = GatewayHarness(MANY, servers(60))
    alone.send_request("a")
    alone.complete_attempt("a")
    alone.advance(1100 * MILLISECOND_US)
    assert alone.engine.overload.admission_limit is None


def test_a_restarted_gateway_has_no_digests_of_its_predecessor() -> None:
    """Its first serial number is random, so that its first digest is not taken for a duplicate."""
    fleet = GatewayFleet(3, replace(SETTINGS, plans=(replace(SETTINGS.plans[0], burst=1.0),)))
    for number in range(60):
        fleet.send_request(number % 3, f"r{number}")
        fleet.advance(30 * MILLISECOND_US)
    received_counts = [len(harness.engine.gossip.received) for harness in fleet.gateways]
    assert sum(received_counts) >= 3
    restarted = GatewayHarness(replace(fleet.gateways[0].engine.settings, seed=99))
    assert not restarted.engine.gossip.received and not restarted.engine.gossip.in_flight_totals


def test_rounding_n_carries_the_fraction_into_later_periods() -> None:
    """With N at 2.5 a period, rounding down alone would leave a fifth of the capacity unused."""
    gateway = GatewayHarness(MANY, servers(60)).engine
    gateway.overload.admission_limit = 2
    total = 0
    for _ in range(20):
        gateway.overload.set_limit(2.5)
        total += gateway.overload.admission_limit
    assert 49 <= total <= 50


def test_n_is_scaled_to_the_servers_that_are_not_ejected() -> None:
    harness = GatewayHarness(MANY, servers(60))
    gateway = harness.engine
    gateway.overload.capacity_at_update = gateway.overload.capacity
    gateway.overload.admission_limit, gateway.overload.exact_limit = 12, 12.0
    for server in list(gateway.servers_by_name.values())[:30]:
        server.is_ejected = True
    gateway.overload.latency_samples = [0.5]
    gateway.overload.update_limit(6)
    assert 5 <= gateway.overload.exact_limit <= 6.5


def test_a_handshake_price_makes_gateways_prefer_open_connections() -> None:
    """Each new connection costs a handshake, and 40 gateways with 60 servers would open 2,400 of them."""
    server_counts = {}
    for price in (0.0, 0.1):
        harness = GatewayHarness(replace(MANY, handshake_price=price), servers(60))
        names = attempted_servers(harness, 300)
        server_counts[price] = len(set(names))
    assert server_counts[0.0] > 40 and server_counts[0.1] < 25


def test_load_on_connected_servers_outweighs_the_price_of_a_new_connection() -> None:
    harness = GatewayHarness(replace(MANY, handshake_price=0.1), servers(60))
    connected = set(attempted_servers(harness, 50))
    for sender in range(1, 30):
        receive(harness, sender, *(ServerObservation(fingerprint(name), in_flight=3) for name in connected))
    harness.action_log.clear()
    assert set(attempted_servers(harness, 100)) - connected


def test_a_broken_connection_is_no_longer_counted() -> None:
    harness = GatewayHarness(replace(MANY, gateway_count=1), servers(1))
    server = harness.engine.servers_by_name["s0"]
    for name in ("a", "b", "c"):
        harness.send_request(name)
    assert server.connections == 3
    harness.complete_attempt("a")
    assert server.connections == 3  # an answer leaves its connection open
    harness.engine.retry_budget.saved_retries = 0.0
    harness.complete_attempt("b", AttemptResult.ERROR)
    assert server.connections == 3
    harness.complete_attempt("c", AttemptResult.RESET)
    assert server.connections == 2
