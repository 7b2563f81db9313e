"""Stores snapshots of a gateway's state, from which the next process of the gateway restores it.

Off unless `state_dir` is set. Each snapshot is written to a new file, which then replaces the old one: by a
thread while the gateway serves, and by the event loop after a graceful shutdown. A snapshot contains the name
of its gateway, the digest of its settings and the time of its collection. An unusable snapshot is logged as
one warning and ignored. Its parts have different maximum ages, here and in `policy.snapshot`.

The folder also contains the times of recent starts (start_history.py): a gateway that crashes repeatedly
waits longer each time before it accepts requests.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import random
import threading
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from thistletrail.gateway.config import Config
from thistletrail.gateway.errors import ConfigError, RejectedSnapshotError
from thistletrail.gateway.settings_digest import settings_digest
from thistletrail.gateway.snapshot_file import Snapshot, decode_snapshot, encode_snapshot
from thistletrail.gateway.start_history import CLOCK_TOLERANCE_S, StartHistory, crash_backoff_s
from thistletrail.policy.events import SnapshotFound

if TYPE_CHECKING:
    from thistletrail.gateway.server import GatewayServer

log = logging.getLogger(__name__)

# Ten times the size with 5,000 customers and 2,000 servers. A larger file is read in part, and is rejected.
MAX_SNAPSHOT_BYTES = 8 << 20
WRITE_INTERVAL_S = 1.0  # a crash loses the changes since the last snapshot
WRITE_JITTER = 0.25  # fraction of the interval, in both directions, so that gateways do not write at once
# The policy gets no part of an older snapshot. By then its own bounds have passed too, except for customers
# whose buckets take longer to refill.
MAX_POLICY_AGE_S = 30.0
# A snapshot beyond this age is rejected, with its endpoint list. Discovery sends the list within a second if
# it is reachable, and so old a list may name servers that have been removed.
MAX_LIST_AGE_S = 600.0
CRASH_BACKOFF_JITTER = 0.25  # fraction of the backoff, in both directions

# Names of files in the folder; all releases use them.
SNAPSHOT_NAME = "door"
NEW_SNAPSHOT_NAME = "door.new"
START_TIMES_NAME = "starts"
LOCK_NAME = "lock"


class SnapshotStore:
    """The folder with the snapshot and the start times of one gateway."""

    def __init__(self, config: Config) -> None:
        """Lock the folder, and read the snapshot and the start times that earlier processes left.

        Raises ConfigError if another process has locked the folder, or it cannot be used.
        """
        self.config = config
        folder = Path(config.state_dir)
        self.lock_descriptor = _lock_folder(folder)
        self.snapshot_path = folder / SNAPSHOT_NAME
        self.new_snapshot_path = folder / NEW_SNAPSHOT_NAME
        self.is_write_failing = False  # the last write failed
        self.write_lock = threading.Lock()  # the write at the end may overlap a periodic one
        self.rng = random.Random(config.settings.seed)
        self.start_id = self.rng.getrandbits(32)  # not the incarnation number that the policy announces
        self.start_history = StartHistory(folder / START_TIMES_NAME)
        # The snapshot that the previous process wrote; None if there is no usable one.
        self.stored_snapshot = self._read()

    def unix_ms(self) -> int:
        """The system's time in milliseconds since 1970, with the configured offset."""
        return round(time.time() * 1000) + self.config.clock_offset_ms

    # --- at the start ---

    def record_start(self) -> float:
        """Record this start, which counts as crashed until `record_planned_end` removes it.

        Returns for how many seconds, with jitter, the gateway must wait before it accepts requests; 0.0
        after at most `MAX_CRASHES_WITHOUT_BACKOFF` crashes.
        """
        now_s = self.unix_ms() / 1000
        backoff_s = crash_backoff_s(self.start_history.start_times_s, now_s)
        jitter = self.rng.uniform(1 - CRASH_BACKOFF_JITTER, 1 + CRASH_BACKOFF_JITTER)
        self.start_history.add(now_s)
        return backoff_s * jitter

    def with_stored_list(self, config: Config) -> Config:
        """The configuration, with the snapshot's endpoint list as `known` if it has no list of its own."""
        if self.stored_snapshot is None or config.known:
            return config
        return replace(config, known=self.stored_snapshot.endpoint_list)

    def restore(self, gateway_server: GatewayServer) -> None:
        """Post the stored snapshot to the policy, unless it is older than `MAX_POLICY_AGE_S`.

        The health of servers is restored only for those of the known endpoint list, which a GatewayServer
        posts when it is created.
        """
        if self.stored_snapshot is None:
            return
        age_ms = max(0, self.unix_ms() - self.stored_snapshot.written_at_ms)
        if age_ms <= MAX_POLICY_AGE_S * 1000:
            gateway_server.post(SnapshotFound(self.stored_snapshot.policy, age_ms * 1000))
        else:
            log.warning("a snapshot of %.1f s ago is too old for all but its list", age_ms / 1000)

    def _read(self) -> Snapshot | None:
        """Read the stored snapshot; returns None if there is none, or it is rejected, which is logged."""
        try:
            with self.snapshot_path.open("rb") as file:
                data = file.read(MAX_SNAPSHOT_BYTES)
            snapshot = decode_snapshot(data)
            check_snapshot(snapshot, self.config, self.unix_ms())
        except FileNotFoundError:
            return None
        except (OSError, RejectedSnapshotError) as error:
            reason = getattr(error, "strerror", None) or error
            log.warning("the snapshot in %s is rejected: %s", self.snapshot_path, reason)
            return None
        return snapshot

    # --- while it serves ---

    async def run(self, gateway_server: GatewayServer) -> None:
        """Write a snapshot every `WRITE_INTERVAL_S`, with jitter, until cancelled.

        The snapshot is collected on the event loop and written by a thread, as `fsync` blocks.
        """
        loop = asyncio.get_running_loop()
        while True:
            jitter = self.rng.uniform(1 - WRITE_JITTER, 1 + WRITE_JITTER)
            await asyncio.sleep(WRITE_INTERVAL_S * jitter)
            await loop.run_in_executor(None, self.write, self.collect(gateway_server))

    def collect(self, gateway_server: GatewayServer) -> Snapshot:
        """Create a snapshot of a gateway's current state; call it on the event loop."""
        return Snapshot(
            gateway_name=self.config.name,
            settings_digest=settings_digest(self.config.settings),
            written_at_ms=self.unix_ms(),
            start_id=self.start_id,
            policy=gateway_server.policy.snapshot(),
            endpoint_list=gateway_server.current_list(),
        )

    def write(self, snapshot: Snapshot) -> None:
        """Replace the stored snapshot atomically. The first of consecutive failures is logged."""
        try:
            with self.write_lock, self.new_snapshot_path.open("wb") as file:
                file.write(encode_snapshot(snapshot))
                file.flush()
                os.fsync(file.fileno())
                self.new_snapshot_path.replace(self.snapshot_path)
        except OSError as error:
            if not self.is_write_failing:
                log.warning("no snapshot can be written: %s", error.strerror)
            self.is_write_failing = True
            return
        if self.is_write_failing:
            log.info("snapshots can be written again")
        self.is_write_failing = False

    # --- at the end ---

    def record_planned_end(self, gateway_server: GatewayServer | None) -> None:
        """Write the gateway's last state, and remove this start from the start times.

        `gateway_server` is None if the gateway has not served; the stored snapshot then stays as it is.
        """
        if gateway_server is not None:
            self.write(self.collect(gateway_server))
        self.start_history.remove_last()

    def close(self) -> None:
        """Unlock the folder, as the end of the process does too."""
        os.close(self.lock_descriptor)


def check_snapshot(snapshot: Snapshot, config: Config, now_ms: int) -> None:
    """Raise RejectedSnapshotError if no part of a snapshot may be used, not even its endpoint list."""
    if snapshot.gateway_name != config.name:
        raise RejectedSnapshotError(f"expected one of {config.name}, found one of {snapshot.gateway_name}")
    digest = settings_digest(config.settings)
    if snapshot.settings_digest != digest:
        raise RejectedSnapshotError(
            f"made under other settings: expected digest {digest}, found {snapshot.settings_digest}"
        )
    age_s = (now_ms - snapshot.written_at_ms) / 1000
    if age_s < -CLOCK_TOLERANCE_S:
        raise RejectedSnapshotError(f"written {-age_s:.1f} s in the future")
    if age_s > MAX_LIST_AGE_S:
        raise RejectedSnapshotError(f"written {age_s:.0f} s ago, expected {MAX_LIST_AGE_S:.0f} at most")


def _lock_folder(folder: Path) -> int:
    """Create a folder if necessary and lock it for this process; returns the descriptor of the lock."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as error:
        raise ConfigError(f"the folder {folder} cannot be used: {error.strerror}") from error
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        if isinstance(error, BlockingIOError):
            raise ConfigError(f"another gateway has the folder {folder}") from error
        raise ConfigError(f"the folder {folder} cannot be used: {error.strerror}") from error
    return lock
