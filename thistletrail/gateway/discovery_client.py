"""The list of backends: a watch on discovery that is kept open, read line by line.

Discovery may have several addresses; one is watched at a time, and where that fails the next one. Whatever
fails, the last good list stays in use, and its age is known.
"""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

import h11

from thistletrail.gateway.config import Address, Config, ConfigError, read_address
from thistletrail.gateway.cost_counters import DISCOVERY, Costs
from thistletrail.gateway.json_stream import ObjectReader
from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, Server, ServerState

log = logging.getLogger(__name__)

STATES = {
    "SERVING": ServerState.UP,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}
NAMES = {state: name for name, state in STATES.items()}
# What a front door has not heard counts as told to it 6 s after a watch fell silent, and 6 s after discovery
# had it and could be reached. What a call may take to be given up, and the next one to be made, fits in that.
SILENT_S = 4.5  # an empty line comes every 2 s: two of them are missing
ANSWER_S = 2.5  # for the first bytes of an answer, or its first empty line
OBJECT_S = 2.0  # for the rest of an object that has begun
CONNECT_S = 1.0
# Between tries, of full jitter: the mean is half of it, and many front doors do not come back together.
BACKOFF_S, MOST_BACKOFF_S = 0.2, 1.6
# For which a whole list that is older than ours is not taken from another address: it may be a follower that
# lags, or a service with an older copy of its data. After that it is all there is.
STALE_S = 10.0
MOST_OBJECT = 1 << 20  # bytes
MOST_WEIGHT = 1e6
MOST_TIME_MS = 1e14  # some thousands of years


@dataclass(frozen=True, slots=True)
class News:
    """News of the list for the module, and the addresses that go with it."""

    event: EndpointUpdate
    addresses: dict[str, Address]


class Catalog:
    """Reads discovery's lists, with names turned to the settings' numbers and times to our clock."""

    def __init__(self, config: Config) -> None:
        self.zones, self.kinds = config.zone_numbers, config.kind_numbers
        # Fixed once: the module takes a backend whose start time differs for one that has restarted.
        self.offset_us = (time.monotonic_ns() - time.time_ns()) // 1000 - config.clock_offset_ms * 1000
        self.zone_names = {number: name for name, number in self.zones.items()}
        self.kind_names = {number: name for name, number in self.kinds.items()}

    def started_us(self, unix_ms: float) -> int:
        """0 stays 0, for long ago; nothing else becomes 0."""
        return (round(unix_ms * 1000) + self.offset_us) or 1 if unix_ms else 0

    @staticmethod
    def number(entry: Mapping[str, Any], name: str, most: float) -> float:
        """A number that is finite and in range; 0 for one that says nothing."""
        value = entry.get(name) or 0
        known = isinstance(value, int | float) and 0 <= value <= most  # also false for what is no number
        return float(value) if known else 0.0

    def server(self, entry: Mapping[str, Any]) -> Server:
        return Server(
            name=str(entry["instanceId"]),
            zone=self.zones.get(entry.get("zone"), -1),
            kind=self.kinds.get(entry.get("machineType"), -1),
            cell=int(entry.get("cell") or 0),
            # In a state that we do not know it is not said to serve: nothing new goes there.
            state=STATES.get(entry.get("lifecycle"), ServerState.DRAINING),
            size=self.number(entry, "weight", MOST_WEIGHT) or 1.0,
            started_us=self.started_us(self.number(entry, "startedAtMs", MOST_TIME_MS)),
        )

    def entry(self, server: Server, address: Address) -> dict[str, Any]:
        """A server in discovery's form, as `server` reads it."""
        started_ms = (server.started_us - self.offset_us) / 1000 if server.started_us else 0
        return {
            "instanceId": server.name,
            "hostPort": f"{address[0]}:{address[1]}",
            "zone": self.zone_names.get(server.zone, ""),
            "machineType": self.kind_names.get(server.kind, ""),
            "cell": server.cell,
            "lifecycle": NAMES[server.state],
            "weight": server.size,
            "startedAtMs": started_ms,
        }

    def news(self, value: Mapping[str, Any], kind: EndpointUpdateKind | None = None) -> News:
        """A list or changes to it; an entry that makes no sense is passed over."""
        kind = kind or (EndpointUpdateKind.FULL if value.get("reset") else EndpointUpdateKind.CHANGES)
        servers, addresses = [], {}
        for entry in value["instances"]:
            try:
                server = self.server(entry)
                # One that is gone needs no address, and must be heard of in any case.
                if server.state is not ServerState.GONE:
                    addresses[server.name] = read_address(entry["hostPort"])
            except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
                log.error("passed over an entry of the list: %.200r: %s", entry, error)
                continue
            servers.append(server)
        return News(EndpointUpdate(kind, int(value["generation"]), tuple(servers)), addresses)


class StaleError(ValueError):
    """An address tells an older list than another one has told."""


class WatchConnection(asyncio.Protocol):
    """One watch, from its request to the end of its connection."""

    def __init__(self, target: str, host: str, line: Callable[[bytes], None]) -> None:
        self.target, self.host, self.line = target, host, line
        self.http = h11.Connection(h11.CLIENT)
        self.reader = ObjectReader(MOST_OBJECT)
        self.heard = time.monotonic()
        self.answered = False  # something of the answer has come
        self.within_since: float | None = None  # since when an object has begun and is not whole
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        self.heard, self.answered = time.monotonic(), True
        self.read(data)

    def eof_received(self) -> None:
        """An answer without a length is whole with that; any other one is broken off."""
        self.read(b"")

    def read(self, data: bytes) -> None:
        """Take what comes; nothing is the connection's end."""
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event)
                if isinstance(event, h11.ConnectionClosed):  # which comes again and again
                    break
            self.note_progress()
        except StaleError as error:
            log.warning("the watch brings an older list: %s", error)
            self.close()
        except (h11.ProtocolError, ValueError, KeyError, TypeError, AttributeError) as error:
            if data or not isinstance(error, h11.ProtocolError):  # a watch may end at any time
                log.error("the watch brings what makes no sense: %s", error)
            self.close()

    def take(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response) and event.status_code != 200:
            raise ValueError(f"status {event.status_code}")
        if isinstance(event, h11.Data):
            for whole in self.reader.feed(event.data):
                self.line(whole)
        if isinstance(event, h11.EndOfMessage):
            for whole in self.reader.finish():  # the whole list may come with no line's end
                self.line(whole)
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def note_progress(self) -> None:
        """See whether an object is begun, and since when."""
        if not self.reader.is_within():
            self.within_since = None
        elif self.within_since is None:
            self.within_since = self.heard

    def due(self) -> float:
        """When it is to be given up, if nothing comes by then."""
        silent = self.heard + (SILENT_S if self.answered else ANSWER_S)
        return silent if self.within_since is None else min(silent, self.within_since + OBJECT_S)

    def connection_lost(self, error: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def close(self) -> None:
        if self.transport:
            self.transport.abort()


class Source:
    """Discovery, at one address of several: a watch that is kept open, its news handed on as they come."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        catalog: Catalog,
        version: int | None,
        heard: Callable[["Source", News], None],
        costs: Costs,
        chance: random.Random,
    ) -> None:
        self.costs = costs
        self.kind = costs.stages.kind(DISCOVERY, WatchConnection, "data_received")
        self.sockets = 0  # held, also while one connects
        self.addresses, self.catalog, self.heard, self.random = addresses, catalog, heard, chance
        self.at = 0  # which of the addresses is watched
        self.newest: Address | None = None  # that told the version that we have
        self.stale_since: float | None = None  # since when there are but older lists
        self.told_at: float | None = None  # when an address that is not stale was last heard
        self.version = version  # None: the whole list comes first
        self.backoff_s = BACKOFF_S
        self.retiring = self.closed = False
        self.connection: WatchConnection | None = None

    @property
    def address(self) -> Address:
        return self.addresses[self.at]

    def line(self, line: bytes) -> None:
        """A whole object. Where it fails, the version stays, and the next watch brings it again."""
        if self.closed:  # what is still in the pipe must not undo what a newer source has told
            return
        kind = EndpointUpdateKind.FULL if self.version is None else None
        news = self.catalog.news(json.loads(line), kind)
        if self.is_older(news):
            return
        if self.told_at is not None and (age := self.age_s()) > SILENT_S:
            log.info("the list is heard again after %.0f s", age)
        self.version, self.backoff_s = news.event.version, BACKOFF_S
        self.newest, self.stale_since, self.told_at = self.address, None, time.monotonic()
        self.costs.list_lines += 1
        self.heard(self, news)

    def is_older(self, news: News) -> bool:
        """Whether changes are older than what we have, and so no news. A whole list that is, of an address
        that did not tell ours, is a StaleError for a time: after that it is taken for all there is."""
        if self.version is None or news.event.version >= self.version or self.newest in (None, self.address):
            return False
        if news.event.kind is EndpointUpdateKind.CHANGES:
            return True
        now = time.monotonic()
        self.stale_since = now if self.stale_since is None else self.stale_since
        if now - self.stale_since < STALE_S:
            raise StaleError(f"version {news.event.version} is older than {self.version}")
        log.warning("there is but an older list: version %d after %d", news.event.version, self.version)
        return False

    def age_s(self) -> float:
        """How long ago an address that is not stale was last heard, an empty line included; below nothing
        where none was."""
        if self.told_at is None:
            return -1.0
        if self.connection and self.newest == self.address and not self.connection.ended.done():
            self.told_at = max(self.told_at, self.connection.heard)
        return time.monotonic() - self.told_at

    async def run(self) -> None:
        while not self.closed:
            waited = False
            try:
                if self.version is None:
                    waited = await self.read("/catalog/members")
                if self.version is not None:
                    waited = await self.read(f"/catalog/members?watch=1&after={self.version}")
            except (OSError, TimeoutError) as error:
                log.warning(
                    "no watch on discovery at %s:%d: %s; the list is %s",
                    *self.address,
                    str(error) or "it does not answer",
                    self.age(),
                )
            except Exception:
                log.exception("the watch on discovery failed")  # without it the list would grow old unseen
            if self.retiring:
                return
            self.at = (self.at + 1) % len(self.addresses)
            if not waited:
                await asyncio.sleep(self.wait_s())

    def wait_s(self) -> float:
        """The wait before the next try, drawn anew."""
        most, self.backoff_s = self.backoff_s, min(MOST_BACKOFF_S, self.backoff_s * 2)
        return self.random.uniform(0, most)

    def age(self) -> str:
        age = self.age_s()
        return f"{age:.1f} s old" if age >= 0 else "the one known at the start"

    async def read(self, target: str) -> bool:
        """One answer, until it ends or has been silent for too long; whether the next try is due then."""
        host, port = self.address
        self.costs.watches += 1
        self.sockets += 1
        try:
            async with asyncio.timeout(CONNECT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self.kind(target, f"{host}:{port}", self.line), host, port
                )
            return await self.follow(connection)
        finally:
            self.sockets -= 1

    async def follow(self, connection: WatchConnection) -> bool:
        self.connection = connection
        try:
            while not connection.ended.done():
                left = connection.due() - time.monotonic()
                if left <= 0:
                    log.warning("the watch on discovery is silent; the list is %s", self.age())
                    if connection.answered:  # what it has missed it would never tell
                        return False
                    # It is answered as discovery comes back, and what that tells counts at once: it stays
                    # open while the next try waits.
                    await asyncio.wait([connection.ended], timeout=self.wait_s())
                    if not connection.answered:
                        return True
                else:
                    await asyncio.wait([connection.ended], timeout=left)
            return False
        finally:
            connection.close()

    def retire(self) -> None:
        """Hear it out: its watch goes on until it ends, and is not opened again."""
        self.retiring = True

    def close(self) -> None:
        self.closed = self.retiring = True
        if self.connection:
            self.connection.close()


class Discovery:
    """Hands on the news of one source; another address takes over once it has told its whole list."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        catalog: Catalog,
        version: int,
        heard: Callable[[News], None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        costs: Costs | None = None,
        chance: random.Random | None = None,
    ) -> None:
        self.catalog, self.heard, self.spawn = catalog, heard, spawn
        self.costs = costs or Costs()
        self.first = asyncio.Event()
        self.random = chance or random.Random()
        self.source = Source(addresses, catalog, version, self.take, self.costs, self.random)
        self.next: Source | None = None  # it has told nothing yet

    @property
    def version(self) -> int | None:
        return self.source.version

    @property
    def sockets(self) -> int:
        return self.source.sockets + (self.next.sockets if self.next else 0)

    def start(self) -> None:
        self.spawn(self.source.run())

    def age_s(self) -> float:
        """How old the list may be; below nothing where none was heard."""
        return self.source.age_s()

    def move(self, addresses: tuple[Address, ...]) -> None:
        """Go to other addresses. Until that has told its list, the old watch is heard out.

        Its list is asked for whole: what vanished meanwhile may be in no change, and its count of versions
        need not be the old one's.
        """
        if addresses == (self.next or self.source).addresses:
            return
        if self.next:
            self.next.close()
        self.source.retire()
        self.next = Source(addresses, self.catalog, None, self.take, self.costs, self.random)
        self.spawn(self.next.run())

    def take(self, source: Source, news: News) -> None:
        if source is self.next:
            self.source.close()
            self.source, self.next = source, None
        self.heard(news)
        self.first.set()
