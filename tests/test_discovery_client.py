"""Tests of the watch on discovery and of the datagrams between gateways."""

import asyncio
import json
import math
import random
import socket
import time
from dataclasses import replace

import pytest

from tests.sockets import (
    CHUNKED_RESPONSE_HEAD,
    CONFIG,
    HOST,
    StubDiscovery,
    endpoint_entry,
    http_chunk,
    refusing_address,
    run_scenario,
    watch_event,
)
from thistletrail.gateway import discovery_client, watch_connection
from thistletrail.gateway.discovery_client import DiscoveryClient
from thistletrail.gateway.endpoint_list import EndpointListCodec, EndpointListUpdate
from thistletrail.gateway.peer_transport import PeerTransport
from thistletrail.gateway.server import GatewayServer
from thistletrail.policy.actions import SendPeerMessage
from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, Event, QuotaMessage, ServerState
from thistletrail.policy.peer_codec import pack_datagrams

ADDRESS = (HOST, 6379)


class MaxJitter(random.Random):
    """A random number generator that returns the maximum of each range."""

    def uniform(self, low: float, high: float) -> float:
        return high


async def receive_updates(discovery: StubDiscovery, count: int, version: int = 0) -> list[EndpointListUpdate]:
    """Return the first `count` updates of a watch on the stub."""
    received: asyncio.Queue[EndpointListUpdate] = asyncio.Queue()
    tasks = []
    client = DiscoveryClient(
        (await discovery.start(),),
        EndpointListCodec(CONFIG),
        version,
        received.put_nowait,
        lambda coroutine: tasks.append(asyncio.create_task(coroutine)),
        rng=MaxJitter(),
    )
    client.start()
    try:
        return [await received.get() for _ in range(count)]
    finally:
        tasks[0].cancel()


def response_script(*segments: bytes, stay: bool = True) -> object:
    """Return a script that writes the segments separately and, with `stay`, keeps the connection open."""

    async def write_segments(writer: asyncio.StreamWriter) -> None:
        for segment in segments:
            writer.write(segment)
            await asyncio.sleep(0.001)  # the segments must arrive separately
        if stay:
            await asyncio.Event().wait()

    return write_segments


def test_updates_are_read_from_split_data_with_empty_lines_and_unknown_states() -> None:
    async def scenario() -> None:
        others = [
            endpoint_entry("s2", ADDRESS, "RESTING"),
            {"instanceId": "odd"},
            endpoint_entry("s3", ADDRESS, "DRAINING"),
        ]
        line = watch_event(5, [endpoint_entry("s1", ADDRESS), *others])
        removal = watch_event(6, [{"instanceId": "s1", "lifecycle": "DELETED"}], reset=False)
        stream = CHUNKED_RESPONSE_HEAD + http_chunk(b"\n") + http_chunk(line[:30])
        stream += http_chunk(line[30:] + b"\n" + removal[:9]) + http_chunk(removal[9:])
        segments = [stream[start : start + 50] for start in range(0, len(stream), 50)]
        first, second = await receive_updates(StubDiscovery(response_script(*segments)), 2)
        states = {server.name: server.state for server in first.event.servers}
        assert (first.event.kind, first.event.version) == (EndpointUpdateKind.FULL, 5)
        draining = ServerState.DRAINING
        assert states == {"s1": ServerState.SERVING, "s2": draining, "s3": draining}
        assert (second.event.kind, second.event.version) == (EndpointUpdateKind.CHANGES, 6)
        assert second.event.servers[0].state is ServerState.GONE

    run_scenario(scenario())


def indented(listed: bytes) -> bytes:
    return json.dumps(json.loads(listed), indent=2).encode() + b"\n"


def test_indented_lists_and_changes_are_read() -> None:
    async def scenario() -> None:
        brace = endpoint_entry("s2", ADDRESS) | {"zone": 'a "{" b'}  # braces in strings do not count
        complete = indented(watch_event(5, [endpoint_entry("s1", ADDRESS), brace]))
        change = indented(watch_event(6, [endpoint_entry("s1", ADDRESS, "DRAINING")], reset=False))
        stream = (
            CHUNKED_RESPONSE_HEAD
            + http_chunk(complete[:70])
            + http_chunk(complete[70:] + b"\n")
            + http_chunk(change)
        )
        segments = [stream[start : start + 90] for start in range(0, len(stream), 90)]
        first, second = await receive_updates(StubDiscovery(response_script(*segments)), 2)
        assert [server.name for server in first.event.servers] == ["s1", "s2"]
        assert (second.event.kind, second.event.version) == (EndpointUpdateKind.CHANGES, 6)
        assert second.event.servers[0].state is ServerState.DRAINING

    run_scenario(scenario())


def test_indented_complete_list_without_a_final_line_end_is_read() -> None:
    async def scenario() -> None:
        body = indented(watch_event(5, [endpoint_entry("s1", ADDRESS)])).strip()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        old, new = (
            StubDiscovery(response_script(CHUNKED_RESPONSE_HEAD)),
            StubDiscovery(response_script(answer, stay=False)),
        )
        harness = DiscoveryHarness(await old.start())
        harness.discovery.change_addresses((await new.start(),))
        assert await harness.names() == (EndpointUpdateKind.FULL, ["s1"])
        harness.discovery.watcher.close()

    run_scenario(scenario())


def test_complete_list_that_the_end_of_its_connection_ends_is_read(caplog: pytest.LogCaptureFixture) -> None:
    """The answer has neither a length nor chunks nor a final line end."""

    async def scenario() -> None:
        answer = (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
            + indented(watch_event(5, [endpoint_entry("s1", ADDRESS)])).strip()
        )
        old, new = (
            StubDiscovery(response_script(CHUNKED_RESPONSE_HEAD, stay=False)),
            StubDiscovery(response_script(answer, stay=False)),
        )
        harness = DiscoveryHarness(await old.start())
        harness.discovery.change_addresses((await new.start(),))
        assert await harness.names() == (EndpointUpdateKind.FULL, ["s1"])
        harness.discovery.watcher.close()

    run_scenario(scenario())
    assert "malformed" not in caplog.text


def test_an_incomplete_object_times_out_although_empty_lines_arrive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An incomplete object must not swallow the changes that follow it."""
    monkeypatch.setattr(watch_connection, "OBJECT_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        async def send_incomplete_object(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_RESPONSE_HEAD + http_chunk(b'{"generation": 5,\n'))
            while True:
                writer.write(http_chunk(b"\n"))
                await asyncio.sleep(0.02)

        discovery = StubDiscovery(
            send_incomplete_object, response_script(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(5, [])))
        )
        assert (await receive_updates(discovery, 1))[0].event.version == 5

    run_scenario(scenario())


def test_a_failed_request_is_repeated_within_the_time_of_notification() -> None:
    """An update counts as notified 6 s after a watch became silent or discovery recovered.

    Silence may start right after a line, and the recovery right after a request that gets no answer. 0.25 s
    are reserved for applying an update.
    """
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
    # The first data may be the first empty line, after 2 s.
    assert watch_connection.FIRST_BYTE_TIMEOUT_S > 2.0


def test_watch_that_ends_is_reopened_after_the_last_received_version() -> None:
    async def scenario() -> None:
        discovery = StubDiscovery(
            response_script(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(5, [])), stay=False),
            response_script(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", stay=False),
            # This response ends within a line, which is discarded.
            response_script(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(6, [])[:20]), stay=False),
            response_script(CHUNKED_RESPONSE_HEAD + http_chunk(b"{not json\n")),
            response_script(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(9, [], reset=False))),
        )
        started_s = time.monotonic()
        updates = await receive_updates(discovery, 2, version=3)
        assert [update.event.version for update in updates] == [5, 9]
        requested_versions = [target.partition("after=")[2] for target in discovery.request_targets]
        assert requested_versions == ["3", "5", "5", "5", "5"]
        assert time.monotonic() - started_s > 4 * discovery_client.MIN_BACKOFF_S  # no busy loop

    run_scenario(scenario())


def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "SILENT_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        discovery = StubDiscovery(
            response_script(CHUNKED_RESPONSE_HEAD),
            response_script(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(4, []))),
        )
        assert (await receive_updates(discovery, 1))[0].event.version == 4
        assert len(discovery.request_targets) == 2

    run_scenario(scenario())


def test_unanswered_request_stays_open_during_the_backoff(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery answers the request when it recovers; its updates then count as notified at once."""
    monkeypatch.setattr(watch_connection, "FIRST_BYTE_TIMEOUT_S", 0.1)
    # Without the answer, the test would wait for this time and fail.
    monkeypatch.setattr(discovery_client, "MIN_BACKOFF_S", 20.0)

    async def scenario() -> None:
        async def answer_late(writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.4)
            writer.write(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(4, [])))
            await asyncio.sleep(0.4)
            writer.write(http_chunk(watch_event(5, [], reset=False)))
            await asyncio.Event().wait()

        discovery = StubDiscovery(answer_late)
        async with asyncio.timeout(10):
            updates = await receive_updates(discovery, 2)
        assert [update.event.version for update in updates] == [4, 5]
        assert len(discovery.request_targets) == 1  # it was answered late and continues

    run_scenario(scenario())


def test_watch_that_became_silent_is_closed_before_the_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    """It would never send the updates that it has missed, and later ones would hide that."""
    for name in ("SILENT_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S"):
        monkeypatch.setattr(watch_connection, name, 0.2)
    monkeypatch.setattr(discovery_client, "MIN_BACKOFF_S", 1.0)

    async def scenario() -> None:
        async def skip_an_update(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(4, [])))
            await asyncio.sleep(0.6)
            writer.write(http_chunk(watch_event(9, [], reset=False)))
            await asyncio.Event().wait()

        discovery = StubDiscovery(
            skip_an_update,
            response_script(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(6, [], reset=False))),
        )
        updates = await receive_updates(discovery, 2)
        assert [update.event.version for update in updates] == [4, 6]
        assert discovery.request_targets[1].endswith("after=4")

    run_scenario(scenario())


@pytest.mark.parametrize("invalid", [math.nan, math.inf, -math.inf, -1, 1e300, "1", [], None, "nan"])
def test_numbers_out_of_range_are_ignored(invalid: object) -> None:
    listed = {**endpoint_entry("s1", ADDRESS), "weight": invalid, "startedAtMs": invalid}
    update = EndpointListCodec(CONFIG).decode_update({"generation": 1, "instances": [listed]})
    (server,) = update.event.servers
    assert (server.size, server.started_us) == (1.0, 0)


def test_start_times_are_converted_to_the_monotonic_clock() -> None:
    codec = EndpointListCodec(CONFIG)
    assert codec.to_monotonic_us(0) == 0
    now_ms = time.time_ns() // 1_000_000
    assert abs(codec.to_monotonic_us(now_ms - 5000) - (time.monotonic_ns() // 1000 - 5_000_000)) < 100_000
    assert codec.to_monotonic_us(now_ms) == codec.to_monotonic_us(now_ms)
    assert codec.to_monotonic_us(1) < 0  # before the start of the monotonic clock, but known


def test_configured_list_is_used_while_discovery_is_silent() -> None:
    async def scenario() -> None:
        known = {"generation": 3, "reset": True, "instances": [endpoint_entry("s1", ADDRESS)]}
        gateway_server = GatewayServer(
            replace(CONFIG, known=known, discovery=(await StubDiscovery(response_script()).start(),))
        )
        received: list[Event] = []
        gateway_server.policy.handle = lambda now, event: received.append(event) or []
        await gateway_server.start()
        assert [event.kind for event in received if isinstance(event, EndpointUpdate)] == [
            EndpointUpdateKind.CACHED
        ]
        assert gateway_server.discovery.version == 3 and list(gateway_server.backends.pools) == ["s1"]
        gateway_server.close()

    run_scenario(scenario())


def test_datagrams_of_peers_are_received_and_those_of_unknown_addresses_dropped() -> None:
    async def scenario() -> None:
        loop, received = asyncio.get_running_loop(), asyncio.Queue()
        unknown_sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        ports = [refusing_address(), refusing_address()]
        own, peer = (PeerTransport(tuple(ports), number, received.put_nowait) for number in (0, 1))
        for transport, address in zip((own, peer), ports, strict=True):
            await loop.create_datagram_endpoint(lambda transport=transport: transport, local_addr=address)
        messages = tuple(QuotaMessage(number, 0, 0, 2, demand=1.0) for number in range(30))
        with unknown_sender:
            unknown_sender.sendto(pack_datagrams(messages[:1])[0], ports[0])
        peer.transport.sendto(b"x" * 7, ports[0])
        peer.transport.sendto(pack_datagrams(messages)[0] * 2, ports[0])  # longer than a valid datagram
        peer.send(SendPeerMessage(0, messages))
        quota_messages: tuple[QuotaMessage, ...] = ()
        while len(quota_messages) < len(messages):
            message = await received.get()
            assert message.sender == 1
            quota_messages += message.quota_messages
        assert quota_messages == messages and received.empty()

    run_scenario(scenario())


class DiscoveryHarness:
    """A discovery client with changeable addresses and a queue of the updates that it reports."""

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
        """Return the kind of the next update and the names of its servers."""
        event = (await self.received.get()).event
        return event.kind, [server.name for server in event.servers]


def complete_list_script(*names: str, version: int = 4) -> object:
    """Return a script that sends the complete list without a final line end."""
    body = watch_event(version, [endpoint_entry(name, ADDRESS) for name in names]).strip()
    return response_script(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body, stay=False)


def test_new_address_replaces_the_old_one_with_its_complete_list() -> None:
    async def scenario() -> None:
        late = asyncio.Event()

        async def old_watch(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(9, [endpoint_entry("s1", ADDRESS)])))
            await late.wait()
            # This update must not overwrite the list of the new address.
            writer.write(http_chunk(watch_event(10, [endpoint_entry("s9", ADDRESS)])))
            await writer.drain()

        old = StubDiscovery(old_watch)
        new = StubDiscovery(
            complete_list_script("s2", version=2),
            response_script(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(3, [], reset=False))),
        )
        harness = DiscoveryHarness(await old.start())
        assert await harness.names() == (EndpointUpdateKind.FULL, ["s1"])
        harness.discovery.change_addresses((await new.start(),))
        assert await harness.names() == (EndpointUpdateKind.FULL, ["s2"])
        late.set()
        assert await harness.names() == (EndpointUpdateKind.CHANGES, [])
        assert new.request_targets == ["/catalog/members", "/catalog/members?watch=1&after=2"]
        assert len(old.request_targets) == 1
        await harness.tasks[0]  # the old watch has ended and is not reopened
        assert harness.received.empty() and harness.discovery.version == 3
        harness.discovery.watcher.close()

    run_scenario(scenario())


def test_old_watch_continues_until_the_new_address_sends_its_list() -> None:
    async def scenario() -> None:
        moves, speak = asyncio.Event(), asyncio.Event()

        async def old_watch(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(5, [endpoint_entry("s1", ADDRESS)])))
            await moves.wait()
            writer.write(http_chunk(watch_event(6, [endpoint_entry("s2", ADDRESS)])))

        async def slow(writer: asyncio.StreamWriter) -> None:
            await speak.wait()
            await complete_list_script("s3")(writer)

        never = StubDiscovery(response_script())
        last = StubDiscovery(slow, response_script(CHUNKED_RESPONSE_HEAD))
        harness = DiscoveryHarness(await StubDiscovery(old_watch).start())
        assert (await harness.names())[1] == ["s1"]
        harness.discovery.change_addresses((await never.start(),))
        # The second change follows at once, as after consecutive reloads.
        harness.discovery.change_addresses((await last.start(),))
        moves.set()
        assert (await harness.names())[1] == ["s2"]
        speak.set()
        assert (await harness.names())[1] == ["s3"]
        assert harness.discovery.watcher.address == last.server.sockets[0].getsockname()
        harness.discovery.watcher.close()

    run_scenario(scenario())


def watch_script(*segments: bytes) -> object:
    """Return a script that sends each of the segments as a chunk of a response."""
    return response_script(CHUNKED_RESPONSE_HEAD, *(http_chunk(segment) for segment in segments))


async def versions(harness: DiscoveryHarness, count: int) -> list[int]:
    """Return the versions of the next `count` updates."""
    return [(await harness.received.get()).event.version for _ in range(count)]


def test_the_next_address_is_watched_after_a_failure() -> None:
    async def scenario() -> None:
        ends = StubDiscovery(
            response_script(
                CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(5, [endpoint_entry("s1", ADDRESS)])),
                stay=False,
            )
        )
        stays = StubDiscovery(watch_script(watch_event(6, [endpoint_entry("s2", ADDRESS)], reset=False)))
        harness = DiscoveryHarness(refusing_address(), await ends.start(), await stays.start())
        assert await versions(harness, 2) == [5, 6]
        assert stays.request_targets == ["/catalog/members?watch=1&after=5"]
        harness.discovery.watcher.close()

    run_scenario(scenario())


def test_outdated_changes_of_a_lagging_address_are_ignored() -> None:
    async def scenario() -> None:
        ends = StubDiscovery(
            response_script(
                CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(9, [endpoint_entry("s1", ADDRESS)])),
                stay=False,
            )
        )
        lags = StubDiscovery(
            watch_script(
                watch_event(7, [endpoint_entry("s1", ADDRESS, "DRAINING")], reset=False),
                watch_event(10, [endpoint_entry("s2", ADDRESS)], reset=False),
            )
        )
        harness = DiscoveryHarness(await ends.start(), await lags.start())
        assert await versions(harness, 2) == [9, 10]
        harness.discovery.watcher.close()

    run_scenario(scenario())


def test_an_older_list_is_accepted_only_after_the_grace_time(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(discovery_client, "STALE_LIST_GRACE_S", 0.4)
    monkeypatch.setattr(discovery_client, "MAX_BACKOFF_S", 0.1)

    async def scenario() -> None:
        ends = StubDiscovery(
            response_script(
                CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(9, [endpoint_entry("s1", ADDRESS)])),
                stay=False,
            ),
            response_script(CHUNKED_RESPONSE_HEAD, stay=False),
        )
        older = StubDiscovery(watch_script(watch_event(4, [endpoint_entry("s2", ADDRESS)])))
        harness = DiscoveryHarness(await ends.start(), await older.start())
        started_s = time.monotonic()
        assert await versions(harness, 2) == [9, 4]
        assert time.monotonic() - started_s >= 0.4 and len(older.request_targets) > 1
        harness.discovery.watcher.close()

    run_scenario(scenario())
    assert "the watch sent an older endpoint list: version 4 is older than 9" in caplog.text
    assert "there is only an older list: version 4 after 9" in caplog.text


def test_an_older_list_of_the_same_address_replaces_the_list_in_use() -> None:
    async def scenario() -> None:
        only = StubDiscovery(
            response_script(
                CHUNKED_RESPONSE_HEAD + http_chunk(watch_event(9, [endpoint_entry("s1", ADDRESS)])),
                stay=False,
            ),
            watch_script(watch_event(4, [endpoint_entry("s2", ADDRESS)])),
        )
        harness = DiscoveryHarness(await only.start())
        assert await harness.names() == (EndpointUpdateKind.FULL, ["s1"])
        assert await harness.names() == (EndpointUpdateKind.FULL, ["s2"])
        assert harness.discovery.version == 4
        harness.discovery.watcher.close()

    run_scenario(scenario())


def test_the_age_of_the_list_is_reported_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(watch_connection, "SILENT_TIMEOUT_S", 0.3)
    monkeypatch.setattr(watch_connection, "FIRST_BYTE_TIMEOUT_S", 0.3)

    async def scenario() -> None:
        harness = DiscoveryHarness(
            await StubDiscovery(
                response_script(), watch_script(watch_event(5, [])), response_script()
            ).start()
        )
        assert harness.discovery.age_s() < 0
        assert await versions(harness, 1) == [5]
        assert 0 <= harness.discovery.age_s() < 0.3
        while harness.discovery.age_s() < 0.5:
            await asyncio.sleep(0.02)
        harness.discovery.watcher.close()

    run_scenario(scenario())
    assert "the watch on discovery is silent; the list is the one known at the start" in caplog.text
    assert "the watch on discovery is silent; the list is 0.3 s old" in caplog.text


@pytest.mark.parametrize(
    "segments",
    [
        [b"nonsense\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 100_000],  # a head without an end
        # A line without an end.
        [CHUNKED_RESPONSE_HEAD + http_chunk(b"{" * 600_000), http_chunk(b"{" * 600_000)],
        [CHUNKED_RESPONSE_HEAD + http_chunk(b'{"generation":')],  # half a line, then silence
        [CHUNKED_RESPONSE_HEAD + b"zz\r\n"],
        [],  # an answer that never starts
    ],
)
def test_malformed_or_incomplete_answers_end_and_the_next_address_is_used(
    segments: list[bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("SILENT_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S", "OBJECT_TIMEOUT_S"):
        monkeypatch.setattr(watch_connection, name, 0.3)

    async def scenario() -> None:
        working = StubDiscovery(watch_script(watch_event(5, [endpoint_entry("s1", ADDRESS)])))
        harness = DiscoveryHarness(
            await StubDiscovery(response_script(*segments)).start(), await working.start()
        )
        assert await versions(harness, 1) == [5]
        harness.discovery.watcher.close()

    run_scenario(scenario())


def test_backoff_between_requests_has_full_jitter_and_a_maximum() -> None:
    async def scenario() -> None:
        waits = []

        class RecordingRandom(random.Random):
            def uniform(self, low: float, high: float) -> float:
                waits.append((low, high))
                return 0.0

        client = DiscoveryClient(
            (refusing_address(),),
            EndpointListCodec(CONFIG),
            0,
            lambda update: None,
            lambda coroutine: asyncio.create_task(coroutine),
            rng=RecordingRandom(),
        )
        client.start()
        while len(waits) < 8:
            await asyncio.sleep(0.01)
        client.watcher.close()
        assert [low for low, _ in waits] == [0] * len(waits)
        highs = [high for _, high in waits]
        assert highs[:4] == [0.2, 0.4, 0.8, 1.6] and max(highs) == discovery_client.MAX_BACKOFF_S

    run_scenario(scenario())
