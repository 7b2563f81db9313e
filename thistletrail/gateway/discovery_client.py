"""Keeps a watch on discovery open, and reports its updates of the endpoint list.

Discovery may have several addresses; one is watched at a time, and where that fails the next one. Whatever
fails, the last good list stays in use, and its age is known.
"""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable, Coroutine

from thistletrail.gateway.config import Address
from thistletrail.gateway.cost_counters import DISCOVERY, CostCounters
from thistletrail.gateway.endpoint_list import EndpointListCodec, EndpointListUpdate
from thistletrail.gateway.errors import DiscoveryProtocolError, StaleEndpointListError
from thistletrail.gateway.watch_connection import SILENT_TIMEOUT_S, WatchConnection
from thistletrail.policy.events import EndpointUpdateKind

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
# Between attempts, with full jitter: the mean wait is half of it, and many gateways do not come back
# together.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.6
# For so long a complete list that is older than ours is not taken from another address: it may be a
# follower that lags, or a service with an older copy of its data. After that it is all there is.
STALE_LIST_GRACE_S = 10.0
NEVER_RECEIVED_S = -1.0  # the age of a list that discovery has not sent
LIST_PATH = "/catalog/members"


class DiscoveryWatcher:
    """Discovery at one address of several: a watch that is kept open, its updates reported as they come."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        codec: EndpointListCodec,
        version: int | None,
        on_update: Callable[["DiscoveryWatcher", EndpointListUpdate], None],
        costs: CostCounters,
        rng: random.Random,
    ) -> None:
        """`version` is that of the list in use; None has the complete list requested first."""
        self.addresses = addresses
        self.codec = codec
        self.version = version
        self.on_update = on_update
        self.costs = costs
        self.rng = rng
        self.connection_class = costs.stages.wrap_class(DISCOVERY, WatchConnection, "data_received")
        self.connection: WatchConnection | None = None
        self.sockets = 0  # in use, also while one connects
        self.address_index = 0  # which of the addresses is watched
        self.newest_from: Address | None = None  # that sent the version that we have
        self.stale_since_s: float | None = None  # since when there are only older lists
        self.fresh_at_s: float | None = None  # when an address that is not stale sent anything last
        self.backoff_s = MIN_BACKOFF_S
        self.is_retiring = False
        self.is_closed = False

    @property
    def address(self) -> Address:
        """The address that is watched."""
        return self.addresses[self.address_index]

    def age_s(self) -> float:
        """How long ago an address that is not stale sent anything, an empty line included.

        Below 0 where none has.
        """
        if self.fresh_at_s is None:
            return NEVER_RECEIVED_S
        connection = self.connection
        if connection and self.newest_from == self.address and not connection.ended.done():
            self.fresh_at_s = max(self.fresh_at_s, connection.received_s)
        return time.monotonic() - self.fresh_at_s

    async def run(self) -> None:
        """Watch one address after another, until it is closed or, where it is retiring, its watch ends."""
        while not self.is_closed:
            has_waited = False
            try:
                if self.version is None:
                    has_waited = await self._request(LIST_PATH)
                if self.version is not None:
                    has_waited = await self._request(f"{LIST_PATH}?watch=1&after={self.version}")
            except (OSError, TimeoutError) as error:
                log.warning(
                    "no watch on discovery at %s:%d: %s; the list is %s",
                    *self.address,
                    str(error) or "no answer",
                    self._age_text(),
                )
            except Exception:
                log.exception("the watch on discovery failed")  # without it the list would grow old unseen
            if self.is_retiring:
                return
            self.address_index = (self.address_index + 1) % len(self.addresses)
            if not has_waited:
                await asyncio.sleep(self._next_backoff_s())

    def _next_backoff_s(self) -> float:
        """Draw the wait before the next call, with full jitter, and double the bound of the one after it."""
        bound_s = self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, bound_s * 2)
        return self.rng.uniform(0, bound_s)

    def retire(self) -> None:
        """Let its watch go on until that ends, and do not open it again."""
        self.is_retiring = True

    def close(self) -> None:
        """End its watch at once; nothing more is reported."""
        self.is_closed = True
        self.is_retiring = True
        if self.connection:
            self.connection.close()

    async def _request(self, target: str) -> bool:
        """One answer, until it ends or has been silent for too long.

        Returns whether the wait before the next call is over by then.
        """
        host, port = self.address
        self.costs.watches += 1
        self.sockets += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self.connection_class(target, f"{host}:{port}", self._on_object), host, port
                )
            return await self._follow(connection)
        finally:
            self.sockets -= 1

    async def _follow(self, connection: WatchConnection) -> bool:
        """Wait for the end of a connection, or close it where it is silent for too long.

        A call that has no answer yet stays open during the wait before the next one: discovery answers it as
        it comes back, and what it sends then counts as notified at once. A watch that had an answer and fell
        silent is closed: it would never send what it has missed. Returns whether that wait is over.
        """
        self.connection = connection
        try:
            while not connection.ended.done():
                left_s = connection.give_up_at_s() - time.monotonic()
                if left_s <= 0:
                    log.warning("the watch on discovery is silent; the list is %s", self._age_text())
                    if connection.has_answer:
                        return False
                    await asyncio.wait([connection.ended], timeout=self._next_backoff_s())
                    if not connection.has_answer:
                        return True
                else:
                    await asyncio.wait([connection.ended], timeout=left_s)
            return False
        finally:
            connection.close()

    def _on_object(self, data: bytes) -> None:
        """Report a complete object.

        Where that fails, the version stays, and the next watch brings it again.
        """
        if self.is_closed:  # what is still in the pipe must not undo what a newer watcher has reported
            return
        kind = EndpointUpdateKind.FULL if self.version is None else None
        update = self.codec.decode_update(_parse(data), kind)
        if self._is_outdated(update):
            return
        age_s = self.age_s()
        if age_s > SILENT_TIMEOUT_S:
            log.info("the list is up to date again after %.0f s", age_s)
        self.version = update.event.version
        self.backoff_s = MIN_BACKOFF_S
        self.newest_from = self.address
        self.stale_since_s = None
        self.fresh_at_s = time.monotonic()
        self.costs.list_lines += 1
        self.on_update(self, update)

    def _is_outdated(self, update: EndpointListUpdate) -> bool:
        """Whether changes are older than what we have, and so no update.

        A complete list that is, of an address that did not send ours, is a StaleEndpointListError for a
        time: after that it is all there is.
        """
        version = update.event.version
        if self.version is None or version >= self.version:
            return False
        if self.newest_from is None or self.newest_from == self.address:
            return False
        if update.event.kind is EndpointUpdateKind.CHANGES:
            return True
        now_s = time.monotonic()
        if self.stale_since_s is None:
            self.stale_since_s = now_s
        if now_s - self.stale_since_s < STALE_LIST_GRACE_S:
            raise StaleEndpointListError(f"version {version} is older than {self.version}")
        log.warning("there is only an older list: version %d after %d", version, self.version)
        return False

    def _age_text(self) -> str:
        age_s = self.age_s()
        return f"{age_s:.1f} s old" if age_s >= 0 else "the one known at the start"


class DiscoveryClient:
    """Reports the updates of one watcher; a successor takes over once it has received its complete list."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        codec: EndpointListCodec,
        version: int,
        on_update: Callable[[EndpointListUpdate], None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        costs: CostCounters | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """`version` is that of the list in use, 0 where there is none; `spawn` runs a watcher as a task."""
        self.codec = codec
        self.on_update = on_update
        self.spawn = spawn
        self.costs = costs or CostCounters()
        self.rng = rng or random.Random()
        self.first_update = asyncio.Event()
        self.watcher = self._make_watcher(addresses, version)
        self.successor: DiscoveryWatcher | None = None  # it has received nothing yet

    @property
    def version(self) -> int | None:
        """The version of the list in use."""
        return self.watcher.version

    @property
    def sockets(self) -> int:
        """How many sockets are in use."""
        return self.watcher.sockets + (self.successor.sockets if self.successor else 0)

    def start(self) -> None:
        """Open the watch."""
        self.spawn(self.watcher.run())

    def age_s(self) -> float:
        """How old the list may be; below 0 where discovery has sent none."""
        return self.watcher.age_s()

    def change_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Go to other addresses. Until they have sent their list, the old watch goes on.

        The complete list is requested: what vanished meanwhile may be in no change, and their count of
        versions need not be the old one's.
        """
        if addresses == (self.successor or self.watcher).addresses:
            return
        if self.successor:
            self.successor.close()
        self.watcher.retire()
        self.successor = self._make_watcher(addresses, None)
        self.spawn(self.successor.run())

    def _make_watcher(self, addresses: tuple[Address, ...], version: int | None) -> DiscoveryWatcher:
        return DiscoveryWatcher(addresses, self.codec, version, self._on_update, self.costs, self.rng)

    def _on_update(self, watcher: DiscoveryWatcher, update: EndpointListUpdate) -> None:
        if watcher is self.successor:
            self.watcher.close()
            self.watcher = watcher
            self.successor = None
        self.on_update(update)
        self.first_update.set()


def _parse(data: bytes) -> dict[str, object]:
    """The JSON object in these bytes."""
    try:
        return json.loads(data)
    except ValueError as error:
        raise DiscoveryProtocolError(f"expected a JSON object, found {data!r:.100}: {error}") from error
