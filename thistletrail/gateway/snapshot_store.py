"""A gateway's stored state: a small snapshot now and then, for the process that comes after it.

Off unless `state_dir` is set. A snapshot is written in a thread, to a file of its own that then takes the
old one's place; it says of which gateway and settings it is, and when it was made. Whatever is wrong with
it is one warning, and then it is as if there were none. The folder also has the times of recent starts
(start_history.py): a gateway that crashes again and again waits longer each time before it takes load.
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

MAX_SNAPSHOT_BYTES = 8 << 20  # 5,000 customers and 2,000 servers are a tenth of that
SAVE_INTERVAL_S = 1.0  # between snapshots: what a crash loses
SAVE_JITTER = 0.25  # of the interval, either way: gateways must not all write at once
# A customer's buckets are full again within some seconds, and nothing else is stored for as long.
MAX_AGE_S = 30.0
# The list is read anew within a second where anybody has it, and an older one names servers that were
# removed.
MAX_LIST_AGE_S = 600.0
CRASH_BACKOFF_JITTER = 0.25  # of the wait after crashes, either way

SNAPSHOT_NAME = "door"  # the names of files in the folder, as every release has them
NEW_SNAPSHOT_NAME = "door.new"
START_TIMES_NAME = "starts"
LOCK_NAME = "lock"


class SnapshotStore:
    """The folder of one gateway. One that another process has or that is of no use is a ConfigError."""

    def __init__(self, config: Config) -> None:
        """Lock the folder, and read what a predecessor left in it."""
        self.config = config
        folder = Path(config.state_dir)
        self.lock_descriptor = _lock_folder(folder)
        self.snapshot_path = folder / SNAPSHOT_NAME
        self.new_snapshot_path = folder / NEW_SNAPSHOT_NAME
        self.is_write_failing = False  # whether the last snapshot could not be written
        self.write_lock = threading.Lock()  # the last write may begin while the one before it goes on
        self.rng = random.Random(config.settings.seed)
        self.incarnation = self.rng.getrandbits(32)
        self.start_history = StartHistory(folder / START_TIMES_NAME)
        self.stored_snapshot = self._read()  # a predecessor's snapshot

    def unix_ms(self) -> int:
        """The system's time, in milliseconds."""
        return round(time.time() * 1000) + self.config.clock_offset_ms

    # --- at the start ---

    def register_start(self) -> float:
        """Note a start as one that has not ended well yet.

        For how many seconds it is to wait, with jitter.
        """
        now_s = self.unix_ms() / 1000
        backoff_s = crash_backoff_s(self.start_history.start_times_s, now_s)
        jitter = self.rng.uniform(1 - CRASH_BACKOFF_JITTER, 1 + CRASH_BACKOFF_JITTER)
        self.start_history.add(now_s)
        return backoff_s * jitter

    def with_stored_list(self, config: Config) -> Config:
        """The configuration with the endpoint list of the snapshot, where it has none itself."""
        if self.stored_snapshot is None or config.known:
            return config
        return replace(config, known=self.stored_snapshot.endpoint_list)

    def restore(self, gateway_server: GatewayServer) -> None:
        """Give the policy what the snapshot says, where that is young enough."""
        if self.stored_snapshot is None:
            return
        age_ms = max(0, self.unix_ms() - self.stored_snapshot.written_at_ms)
        if age_ms <= MAX_AGE_S * 1000:
            gateway_server.post(SnapshotFound(self.stored_snapshot.policy, age_ms * 1000))
        else:
            log.warning("a snapshot of %.1f s ago is too old for all but its list", age_ms / 1000)

    def _read(self) -> Snapshot | None:
        """What a predecessor left, if it may be used."""
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
        """Write a snapshot every now and then, until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            jitter = self.rng.uniform(1 - SAVE_JITTER, 1 + SAVE_JITTER)
            await asyncio.sleep(SAVE_INTERVAL_S * jitter)
            await loop.run_in_executor(None, self.write, self.collect(gateway_server))

    def collect(self, gateway_server: GatewayServer) -> Snapshot:
        """A snapshot of what a gateway knows now."""
        return Snapshot(
            gateway_name=self.config.name,
            settings_digest=settings_digest(self.config.settings),
            written_at_ms=self.unix_ms(),
            incarnation=self.incarnation,
            policy=gateway_server.policy.snapshot(),
            endpoint_list=gateway_server.known_list(),
        )

    def write(self, snapshot: Snapshot) -> None:
        """Put it in the old one's place, complete or not at all. A failure is logged once, until it works."""
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

    def finish(self, gateway_server: GatewayServer | None) -> None:
        """A planned end: the last state, if any, is written, and the start was none that crashed."""
        if gateway_server is not None:
            self.write(self.collect(gateway_server))
        self.start_history.remove_last()

    def close(self) -> None:
        """Unlock the folder."""
        os.close(self.lock_descriptor)


def check_snapshot(snapshot: Snapshot, config: Config, now_ms: int) -> None:
    """A RejectedSnapshotError where not even the endpoint list of a snapshot may be used."""
    if snapshot.gateway_name != config.name:
        raise RejectedSnapshotError(f"expected one of {config.name}, found one of {snapshot.gateway_name}")
    digest = settings_digest(config.settings)
    if snapshot.settings_digest != digest:
        raise RejectedSnapshotError(
            f"of other settings: expected digest {digest}, found {snapshot.settings_digest}"
        )
    age_s = (now_ms - snapshot.written_at_ms) / 1000
    if age_s < -CLOCK_TOLERANCE_S:
        raise RejectedSnapshotError(f"written {-age_s:.1f} s in the future")
    if age_s > MAX_LIST_AGE_S:
        raise RejectedSnapshotError(f"written {age_s:.0f} s ago, expected {MAX_LIST_AGE_S:.0f} at most")


def _lock_folder(folder: Path) -> int:
    """Make a folder and lock it for this process; the descriptor that holds the lock."""
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
