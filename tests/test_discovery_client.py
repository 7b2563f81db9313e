"""The watch on discovery and the datagrams between gateways."""

import asyncio
import json
import math
import random
import socket
import time
from dataclasses import replace

import pytest

from tests.sockets import CONFIG, HEAD, HOST, Watch, catalog, chunk, entry, refusing_address, run
from thistletrail.gateway import discovery_client, watch_connection
from thistletrail.gateway.discovery_client import DiscoveryClient
from thistletrail.gateway.endpoint_list import EndpointListCodec, EndpointListUpdate
from thistletrail.gateway.peer_transport import PeerTransport
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.actions import SendPeerMessage
from thistletrail.policy.codec import pack_message
from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, Event, QuotaMessage, ServerState

AT = (HOST, 6379)


class Longest(random.Random):
    """Draws the longest wait."""

    def uniform(self, a: float, b: float) -> float:
        return b


async def receive_updates(watch: Watch, count: int, version: int = 0) -> list[EndpointListUpdate]:
    """The first updates that a watch brings."""
    received: asyncio.Queue[EndpointListUpdate] = asyncio.Queue()
    tasks = []
    found = DiscoveryClient(
        (await watch.start(),),
        EndpointListCodec(CONFIG),
        version,
        received.put_nowait,
        lambda coroutine: tasks.append(asyncio.create_task(coroutine)),
        rng=Longest(),
    )
    found.start()
    try:
        return [await received.get() for _ in range(count)]
    finally:
        tasks[0].cancel()


def script(*pieces: bytes, stay: bool = True) -> object:
    async def play(writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.001)  # so that the pieces are read apart
        if stay:
            await asyncio.Event().wait()

    return play


def test_lines_in_pieces_empty_lines_and_unknown_states() -> None:
    async def scenario() -> None:
        odd = [entry("s2", AT, "RESTING"), {"instanceId": "odd"}, entry("s3", AT, "DRAINING")]
        line = catalog(5, [entry("s1", AT), *odd])
        gone = catalog(6, [{"instanceId": "s1", "lifecycle": "DELETED"}], reset=False)
        stream = HEAD + chunk(b"\n") + chunk(line[:30])
        stream += chunk(line[30:] + b"\n" + gone[:9]) + chunk(gone[9:])
        pieces = [stream[n : n + 50] for n in range(0, len(stream), 50)]
        first, second = await receive_updates(Watch(script(*pieces)), 2)
        states = {server.name: server.state for server in first.event.servers}
        assert (first.event.kind, first.event.version) == (EndpointUpdateKind.FULL, 5)
        draining = ServerState.DRAINING
        assert states == {"s1": ServerState.UP, "s2": draining, "s3": draining}
        assert (second.event.kind, second.event.version) == (EndpointUpdateKind.CHANGES, 6)
        assert second.event.servers[0].state is ServerState.GONE

    run(scenario())


def indented(listed: bytes) -> bytes:
    return json.dumps(json.loads(listed), indent=2).encode() + b"\n"


def test_indented_lists_are_read_as_complete_lists_and_as_changes() -> None:
    async def scenario() -> None:
        brace = entry("s2", AT) | {"zone": 'a "{" b'}  # braces in strings open nothing
        complete = indented(catalog(5, [entry("s1", AT), brace]))
        change = indented(catalog(6, [entry("s1", AT, "DRAINING")], reset=False))
        stream = HEAD + chunk(complete[:70]) + chunk(complete[70:] + b"\n") + chunk(change)
        pieces = [stream[n : n + 90] for n in range(0, len(stream), 90)]
        first, second = await receive_updates(Watch(script(*pieces)), 2)
        assert [server.name for server in first.event.servers] == ["s1", "s2"]
        assert (second.event.kind, second.event.version) == (EndpointUpdateKind.CHANGES, 6)
        assert second.event.servers[0].state is ServerState.DRAINING

    run(scenario())


def test_complete_list_that_is_indented_and_has_no_line_end_is_read() -> None:
    async def scenario() -> None:
        body = indented(catalog(5, [entry("s1", AT)])).strip()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        old, new = Watch(script(HEAD)), Watch(script(answer, stay=False))
        moved = Moved(await old.start())
        moved.discovery.change_addresses((await new.start(),))
        assert await moved.names() == (EndpointUpdateKind.FULL, ["s1"])
        moved.discovery.watcher.close()

    run(scenario())


def test_complete_list_that_ends_with_its_connection_is_read(caplog: pytest.LogCaptureFixture) -> None:
    """It has neither a length nor chunks nor a last line's end."""

    async def scenario() -> None:
        answer = (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + indented(catalog(5, [entry("s1", AT)])).strip()
        )
        old, new = Watch(script(HEAD, stay=False)), Watch(script(answer, stay=False))
        moved = Moved(await old.start())
        moved.discovery.change_addresses((await new.start(),))
        assert await moved.names() == (EndpointUpdateKind.FULL, ["s1"])
        moved.discovery.watcher.close()

    run(scenario())
    assert "malformed" not in caplog.text


def test_an_object_that_does_not_go_on_is_given_up_though_empty_lines_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What stands half on the wire must not swallow the changes behind it."""
    monkeypatch.setattr(watch_connection, "OBJECT_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        async def stuck(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b'{"generation": 5,\n'))
            while True:
                writer.write(chunk(b"\n"))
                await asyncio.sleep(0.02)

        watch = Watch(stuck, script(HEAD + chunk(catalog(5, []))))
        assert (await receive_updates(watch, 1))[0].event.version == 5

    run(scenario())


def test_all_that_a_call_may_take_to_be_made_anew_fits_in_what_counts_as_notified() -> None:
    """6 s after a watch fell silent, which may be right after a line, and 6 s after discovery is back, which
    may be right after a call that will not be answered; 0.25 s are left to carry a change out."""
    notified_s = 6.0 - 0.25
    silent_s = watch_connection.SILENT_TIMEOUT_S + discovery_client.MIN_BACKOFF_S
    failed_s = (
        max(
            discovery_client.CONNECT_TIMEOUT_S,
            watch_connection.FIRST_BYTE_TIMEOUT_S,
            watch_connection.OBJECT_TIMEOUT_S,
        )
        + discovery_client.MAX_BACKOFF_S
    )
    assert max(silent_s, failed_s) < notified_s
    assert watch_connection.FIRST_BYTE_TIMEOUT_S > 2.0  # the first empty line may be all that comes


def test_watch_that_ends_is_reopened_after_what_was_received() -> None:
    async def scenario() -> None:
        watch = Watch(
            script(HEAD + chunk(catalog(5, [])), stay=False),
            script(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", stay=False),
            script(HEAD + chunk(catalog(6, [])[:20]), stay=False),  # breaks within a line: not received
            script(HEAD + chunk(b"{not json\n")),
            script(HEAD + chunk(catalog(9, [], reset=False))),
        )
        started = time.monotonic()
        found = await receive_updates(watch, 2, version=3)
        assert [update.event.version for update in found] == [5, 9]
        afters = [target.partition("after=")[2] for target in watch.targets]
        assert afters == ["3", "5", "5", "5", "5"]
        assert time.monotonic() - started > 4 * discovery_client.MIN_BACKOFF_S  # no busy loop

    run(scenario())


def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "SILENT_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        watch = Watch(script(HEAD), script(HEAD + chunk(catalog(4, []))))
        assert (await receive_updates(watch, 1))[0].event.version == 4
        assert len(watch.targets) == 2

    run(scenario())


def test_call_that_has_no_answer_is_awaited_while_the_next_one_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery answers it as it comes back, and what it sends then counts as notified at once."""
    monkeypatch.setattr(watch_connection, "FIRST_BYTE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(
        discovery_client, "MIN_BACKOFF_S", 20.0
    )  # what a test that misses the answer waits for

    async def scenario() -> None:
        async def back_late(writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.4)
            writer.write(HEAD + chunk(catalog(4, [])))
            await asyncio.sleep(0.4)
            writer.write(chunk(catalog(5, [], reset=False)))
            await asyncio.Event().wait()

        watch = Watch(back_late)
        async with asyncio.timeout(10):
            updates = await receive_updates(watch, 2)
        assert [update.event.version for update in updates] == [4, 5]
        assert len(watch.targets) == 1  # that was answered after all, and goes on

    run(scenario())


def test_watch_that_fell_silent_is_not_awaited(monkeypatch: pytest.MonkeyPatch) -> None:
    """It would never send what it has missed, and what it sends later would hide that."""
    for name in ("SILENT_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S"):
        monkeypatch.setattr(watch_connection, name, 0.2)
    monkeypatch.setattr(discovery_client, "MIN_BACKOFF_S", 1.0)

    async def scenario() -> None:
        async def missing_one(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(4, [])))
            await asyncio.sleep(0.6)
            writer.write(chunk(catalog(9, [], reset=False)))
            await asyncio.Event().wait()

        watch = Watch(missing_one, script(HEAD + chunk(catalog(6, [], reset=False))))
        updates = await receive_updates(watch, 2)
        assert [update.event.version for update in updates] == [4, 6]
        assert watch.targets[1].endswith("after=4")

    run(scenario())


@pytest.mark.parametrize("odd", [math.nan, math.inf, -math.inf, -1, 1e300, "1", [], None, "nan"])
def test_numbers_out_of_range_say_nothing(odd: object) -> None:
    listed = {**entry("s1", AT), "weight": odd, "startedAtMs": odd}
    update = EndpointListCodec(CONFIG).decode_update({"generation": 1, "instances": [listed]})
    (server,) = update.event.servers
    assert (server.size, server.started_us) == (1.0, 0)


def test_start_times_go_over_to_our_clock() -> None:
    read = EndpointListCodec(CONFIG)
    assert read.to_monotonic_us(0) == 0
    now_ms = time.time_ns() // 1_000_000
    assert abs(read.to_monotonic_us(now_ms - 5000) - (time.monotonic_ns() // 1000 - 5_000_000)) < 100_000
    assert read.to_monotonic_us(now_ms) == read.to_monotonic_us(now_ms)
    assert read.to_monotonic_us(1) < 0  # before this machine's clock began, but not 'long ago'


def test_known_list_serves_while_discovery_is_silent() -> None:
    async def scenario() -> None:
        known = {"generation": 3, "reset": True, "instances": [entry("s1", AT)]}
        gateway_server = GatewayServer(
            replace(CONFIG, known=known, discovery=(await Watch(script()).start(),))
        )
        received: list[Event] = []
        gateway_server.policy.handle = lambda now, event: received.append(event) or []
        await gateway_server.start()
        assert [event.kind for event in received if isinstance(event, EndpointUpdate)] == [
            EndpointUpdateKind.CACHED
        ]
        assert gateway_server.discovery.version == 3 and list(gateway_server.backends.pools) == ["s1"]
        gateway_server.close()

    run(scenario())


def test_messages_of_peers_arrive_and_those_of_strangers_are_dropped() -> None:
    async def scenario() -> None:
        loop, received = asyncio.get_running_loop(), asyncio.Queue()
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        ports = [refusing_address(), refusing_address()]
        own, friend = (PeerTransport(tuple(ports), number, received.put_nowait) for number in (0, 1))
        for peers, at in zip((own, friend), ports, strict=True):
            await loop.create_datagram_endpoint(lambda peers=peers: peers, local_addr=at)
        messages = tuple(QuotaMessage(n, 0, 0, 2, demand=1.0) for n in range(30))
        with stranger:
            stranger.sendto(pack_message(messages[:1])[0], ports[0])
        friend.transport.sendto(b"x" * 7, ports[0])
        friend.transport.sendto(pack_message(messages)[0] * 2, ports[0])  # longer than the wire allows
        friend.send(SendPeerMessage(0, messages))
        got: tuple[QuotaMessage, ...] = ()
        while len(got) < len(messages):
            message = await received.get()
            assert message.sender == 1
            got += message.quota_messages
        assert got == messages and received.empty()

    run(scenario())


class Moved:
    """A gateway's discovery that is moved from one address to others."""

    def __init__(self, *addresses: tuple[str, int]) -> None:
        self.received: asyncio.Queue[EndpointListUpdate] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.discovery = DiscoveryClient(
            addresses,
            EndpointListCodec(CONFIG),
            3,
            self.received.put_nowait,
            lambda coroutine: self.tasks.append(asyncio.create_task(coroutine)),
            rng=random.Random(1),
        )
        self.discovery.start()

    async def names(self) -> tuple[EndpointUpdateKind, list[str]]:
        event = (await self.received.get()).event
        return event.kind, [server.name for server in event.servers]


def listing(*names: str, version: int = 4) -> object:
    """Answers the question for the whole list, without a line's end."""
    body = catalog(version, [entry(name, AT) for name in names]).strip()
    return script(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body, stay=False)


def test_new_address_takes_over_with_its_complete_list() -> None:
    async def scenario() -> None:
        late = asyncio.Event()

        async def old_watch(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(9, [entry("s1", AT)])))
            await late.wait()
            writer.write(chunk(catalog(10, [entry("s9", AT)])))  # must not undo what the new one has sent
            await writer.drain()

        old = Watch(old_watch)
        new = Watch(listing("s2", version=2), script(HEAD + chunk(catalog(3, [], reset=False))))
        moved = Moved(await old.start())
        assert await moved.names() == (EndpointUpdateKind.FULL, ["s1"])
        moved.discovery.change_addresses((await new.start(),))
        assert await moved.names() == (EndpointUpdateKind.FULL, ["s2"])
        late.set()
        assert await moved.names() == (EndpointUpdateKind.CHANGES, [])
        assert new.targets == ["/catalog/members", "/catalog/members?watch=1&after=2"]
        assert len(old.targets) == 1
        await moved.tasks[0]  # the old watch has ended for good
        assert moved.received.empty() and moved.discovery.version == 3
        moved.discovery.watcher.close()

    run(scenario())


def test_old_watch_goes_on_until_the_new_one_sends_its_list() -> None:
    async def scenario() -> None:
        moves, speak = asyncio.Event(), asyncio.Event()

        async def old_watch(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(5, [entry("s1", AT)])))
            await moves.wait()
            writer.write(chunk(catalog(6, [entry("s2", AT)])))

        async def slow(writer: asyncio.StreamWriter) -> None:
            await speak.wait()
            await listing("s3")(writer)

        never = Watch(script())
        last = Watch(slow, script(HEAD))
        moved = Moved(await Watch(old_watch).start())
        assert (await moved.names())[1] == ["s1"]
        moved.discovery.change_addresses((await never.start(),))
        moved.discovery.change_addresses((await last.start(),))  # twice, as reloads may come in a row
        moves.set()
        assert (await moved.names())[1] == ["s2"]
        speak.set()
        assert (await moved.names())[1] == ["s3"]
        assert moved.discovery.watcher.address == last.server.sockets[0].getsockname()
        moved.discovery.watcher.close()

    run(scenario())


def always(*pieces: bytes) -> object:
    return script(HEAD, *(chunk(piece) for piece in pieces))


async def versions(moved: Moved, count: int) -> list[int]:
    return [(await moved.received.get()).event.version for _ in range(count)]


def test_another_address_is_watched_where_one_fails() -> None:
    async def scenario() -> None:
        ends = Watch(script(HEAD + chunk(catalog(5, [entry("s1", AT)])), stay=False))
        stays = Watch(always(catalog(6, [entry("s2", AT)], reset=False)))
        moved = Moved(refusing_address(), await ends.start(), await stays.start())
        assert await versions(moved, 2) == [5, 6]
        assert stays.targets == ["/catalog/members?watch=1&after=5"]
        moved.discovery.watcher.close()

    run(scenario())


def test_changes_of_an_address_that_lags_are_passed_over() -> None:
    async def scenario() -> None:
        ends = Watch(script(HEAD + chunk(catalog(9, [entry("s1", AT)])), stay=False))
        lags = Watch(
            always(
                catalog(7, [entry("s1", AT, "DRAINING")], reset=False),
                catalog(10, [entry("s2", AT)], reset=False),
            )
        )
        moved = Moved(await ends.start(), await lags.start())
        assert await versions(moved, 2) == [9, 10]
        moved.discovery.watcher.close()

    run(scenario())


def test_an_older_list_is_taken_only_when_it_is_all_there_is(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(discovery_client, "STALE_LIST_GRACE_S", 0.4)
    monkeypatch.setattr(discovery_client, "MAX_BACKOFF_S", 0.1)

    async def scenario() -> None:
        ends = Watch(
            script(HEAD + chunk(catalog(9, [entry("s1", AT)])), stay=False), script(HEAD, stay=False)
        )
        older = Watch(always(catalog(4, [entry("s2", AT)])))
        moved = Moved(await ends.start(), await older.start())
        began = time.monotonic()
        assert await versions(moved, 2) == [9, 4]
        assert time.monotonic() - began >= 0.4 and len(older.targets) > 1
        moved.discovery.watcher.close()

    run(scenario())
    assert "the watch sent an older endpoint list: version 4 is older than 9" in caplog.text
    assert "there is only an older list: version 4 after 9" in caplog.text


def test_a_list_of_another_history_replaces_all_and_a_single_address_is_always_believed() -> None:
    async def scenario() -> None:
        only = Watch(
            script(HEAD + chunk(catalog(9, [entry("s1", AT)])), stay=False),
            always(catalog(4, [entry("s2", AT)])),
        )
        moved = Moved(await only.start())
        assert await moved.names() == (EndpointUpdateKind.FULL, ["s1"])
        assert await moved.names() == (EndpointUpdateKind.FULL, ["s2"])
        assert moved.discovery.version == 4
        moved.discovery.watcher.close()

    run(scenario())


def test_the_age_of_the_list_is_known_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(watch_connection, "SILENT_TIMEOUT_S", 0.3)
    monkeypatch.setattr(watch_connection, "FIRST_BYTE_TIMEOUT_S", 0.3)

    async def scenario() -> None:
        moved = Moved(await Watch(script(), always(catalog(5, [])), script()).start())
        assert moved.discovery.age_s() < 0
        assert await versions(moved, 1) == [5]
        assert 0 <= moved.discovery.age_s() < 0.3
        while moved.discovery.age_s() < 0.5:
            await asyncio.sleep(0.02)
        moved.discovery.watcher.close()

    run(scenario())
    assert "the watch on discovery is silent; the list is the one known at the start" in caplog.text
    assert "the watch on discovery is silent; the list is 0.3 s old" in caplog.text


@pytest.mark.parametrize(
    "pieces",
    [
        [b"nonsense\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 100_000],  # a head without an end
        [HEAD + chunk(b"{" * 600_000), chunk(b"{" * 600_000)],  # a line without an end
        [HEAD + chunk(b'{"generation":')],  # half a line, and then silence
        [HEAD + b"zz\r\n"],
        [],  # an answer that never starts
    ],
)
def test_what_fails_is_bounded_and_the_next_address_serves(
    pieces: list[bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("SILENT_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S", "OBJECT_TIMEOUT_S"):
        monkeypatch.setattr(watch_connection, name, 0.3)

    async def scenario() -> None:
        good = Watch(always(catalog(5, [entry("s1", AT)])))
        moved = Moved(await Watch(script(*pieces)).start(), await good.start())
        assert await versions(moved, 1) == [5]
        moved.discovery.watcher.close()

    run(scenario())


def test_waits_between_attempts_have_full_jitter_and_a_bound() -> None:
    async def scenario() -> None:
        waits = []

        class Noted(random.Random):
            def uniform(self, a: float, b: float) -> float:
                waits.append((a, b))
                return 0.0

        found = DiscoveryClient(
            (refusing_address(),),
            EndpointListCodec(CONFIG),
            0,
            lambda update: None,
            lambda coroutine: asyncio.create_task(coroutine),
            rng=Noted(),
        )
        found.start()
        while len(waits) < 8:
            await asyncio.sleep(0.01)
        found.watcher.close()
        assert [low for low, _ in waits] == [0] * len(waits)
        highs = [high for _, high in waits]
        assert highs[:4] == [0.2, 0.4, 0.8, 1.6] and max(highs) == discovery_client.MAX_BACKOFF_S

    run(scenario())
