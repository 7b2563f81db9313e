"""The registry's state: instances with leases, a generation for each change, and a bounded history.

The module performs no I/O and reads no clock. Callers pass the time: `now_ms`, in milliseconds of a monotonic
clock, and, where a new history begins, `unix_ms`, in milliseconds since 1970.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Self

from thistletrail.registry.errors import ConflictError, RejectedError, UnknownInstanceError
from thistletrail.registry.instance import Instance, Lifecycle
from thistletrail.registry.limits import MAX_GENERATION, MAX_HISTORY, MAX_INSTANCES, MS_PER_SECOND
from thistletrail.registry.watch_update import WatchUpdate, update_since

GENERATIONS_PER_MS = 1024
"""The changes of a process have generations above the Unix time of its start in ms times this factor.

They are therefore above those of every earlier process, also if all data was lost or restored from an older
copy, unless there were more than this many changes per millisecond. Generations stay below `MAX_GENERATION`
until the year 2248.
"""

MASS_EXPIRY_SHARE = 0.3
"""If a larger share of all leases expires within the window, the registry was probably cut off."""

MASS_EXPIRY_MIN_COUNT = 3
"""Fewer expired leases than this do not count as a mass expiry, whatever their share."""

MASS_EXPIRY_WINDOW_MS = 10_000
"""Leases that expire within this time count together. An expired instance is retained for as long."""

GRACE_PERIOD_MS = 30_000
"""How long instances are retained after a mass expiry, or after the registry started or was paused."""

PAUSE_THRESHOLD_MS = 5_000
"""A longer time between two lease checks means that the process was paused and may have missed renewals."""

MAX_ECHOED_ID_CHARACTERS = 64
"""An unknown id is cut to this length in the error text that is sent to the client."""

WarningSink = Callable[[str], None]
PersistChanges = Callable[[Sequence[Instance]], None]


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """The persisted state. It excludes leases: after a restore, all instances get the grace period."""

    generation: int
    instances: tuple[Instance, ...]


def discard_warning(message: str) -> None:
    """Ignore a warning: the default sink of a store."""


def discard_changes(changes: Sequence[Instance]) -> None:
    """Persist nothing: the default of a store without a journal."""


class Store:
    """All instances and their leases. Its size is bounded by `MAX_INSTANCES` and `MAX_HISTORY`.

    A change is an instance in its new state, with the generation of that change. `persist` is called with the
    changes before they take effect; if it raises, the store is unchanged.
    """

    def __init__(self, unix_ms: int, now_ms: int, warn: WarningSink = discard_warning) -> None:
        """Begin a new history with generations above those of any earlier one; `warn` receives log texts."""
        self.start_generation = min(unix_ms * GENERATIONS_PER_MS, MAX_GENERATION - 1)
        """Each new change has a higher generation than this."""
        self.generation = self.start_generation
        self.floor = self.generation
        """The generation before the oldest change in `history`."""
        self.history: deque[Instance] = deque()
        """The changes after `floor`, in order of their generations."""
        self.instances: dict[str, Instance] = {}
        self.lease_end_ms: dict[str, int] = {}
        """End of the lease of each instance, by id."""
        self.expired_since_ms: dict[str, int] = {}
        """When the lease was found expired, by id, for instances that are still retained."""
        self.grace_end_ms = 0
        """No instance is deleted for an expired lease before this time."""
        self.persist: PersistChanges = discard_changes
        self.id_by_address: dict[str, str] = {}
        """Id of the instance that currently has an address, by address."""
        self._last_lease_check_ms = now_ms
        self._warn = warn

    @classmethod
    def restore(
        cls, snapshot: StoreSnapshot, unix_ms: int, now_ms: int, warn: WarningSink = discard_warning
    ) -> Self:
        """Return a store with the instances of a snapshot and a history that begins at its generation."""
        store = cls(unix_ms, now_ms, warn)
        store.generation = snapshot.generation
        store.floor = snapshot.generation
        for instance in snapshot.instances:
            store.instances[instance.id] = instance
            store.id_by_address[instance.address] = instance.id
        return store

    def snapshot(self) -> StoreSnapshot:
        """Return the state from which a later process continues this history."""
        return StoreSnapshot(self.generation, tuple(self.instances.values()))

    # --- writes ---

    def register(self, instance: Instance, now_ms: int) -> Instance:
        """Register an instance and begin its lease; return it with its generation.

        Repeating a registration only renews the lease: a client repeats it when the response was lost. A
        different address or start time means a new process, which is set to `SERVING`. Another instance
        registered at the same address is deleted, because a machine runs one instance at a time. Raises
        `RejectedError` if the registry is full.
        """
        existing = self.instances.get(instance.id)
        if existing is None and len(self.instances) >= MAX_INSTANCES:
            raise RejectedError(f"there are {MAX_INSTANCES} instances already")
        if existing is not None and _is_same_registration(instance, existing):
            self.renew(instance.id, now_ms)
            return existing
        changes = [replace(instance, lifecycle=Lifecycle.SERVING)]
        previous_holder_id = self.id_by_address.get(instance.address)
        if previous_holder_id is not None and previous_holder_id != instance.id:
            changes.insert(0, replace(self.instances[previous_holder_id], lifecycle=Lifecycle.DELETED))
        registered = self._commit(changes)[-1]
        self.renew(instance.id, now_ms)
        return registered

    def renew(self, instance_id: str, now_ms: int) -> Instance:
        """Extend the lease to its full length from now, which creates no new generation; return the instance.

        Raises `UnknownInstanceError` if there is no instance with that id.
        """
        instance = self.get(instance_id)
        self.lease_end_ms[instance_id] = now_ms + instance.lease_ms
        self.expired_since_ms.pop(instance_id, None)
        return instance

    def update(self, instance_id: str, generation: int, lifecycle: str, now_ms: int) -> Instance:
        """Set an instance to `SERVING` or `DRAINING` and renew its lease.

        Raises `ConflictError` unless `generation` is the instance's current one, `RejectedError` for another
        lifecycle, and `UnknownInstanceError` if there is no instance with that id.
        """
        instance = self.get(instance_id)
        if lifecycle not in (Lifecycle.SERVING, Lifecycle.DRAINING):
            raise RejectedError(f"lifecycle is not {Lifecycle.SERVING} or {Lifecycle.DRAINING}")
        if instance.generation != generation:
            raise ConflictError(
                f"{instance_id} has changed since generation {generation}: it is at {instance.generation}"
            )
        self.renew(instance_id, now_ms)
        if instance.lifecycle == lifecycle:
            return instance
        return self._commit([replace(instance, lifecycle=Lifecycle(lifecycle))])[0]

    def deregister(self, instance_id: str) -> Instance:
        """Delete an instance immediately, at its own request; return its last state, `DELETED`."""
        return self._commit([replace(self.get(instance_id), lifecycle=Lifecycle.DELETED)])[0]

    def get(self, instance_id: str) -> Instance:
        """Return the instance with that id; raises `UnknownInstanceError` if there is none."""
        if instance_id not in self.instances:
            raise UnknownInstanceError(f"there is no instance '{instance_id[:MAX_ECHOED_ID_CHARACTERS]}'")
        return self.instances[instance_id]

    def _commit(self, instances: Sequence[Instance]) -> list[Instance]:
        """Assign the next generations, then persist and apply the changes, all or none; return them."""
        last_generation = max(self.generation, self.start_generation)
        if last_generation + len(instances) > MAX_GENERATION:
            raise RejectedError("the generations of this history are used up")
        changes = [
            replace(instance, generation=generation)
            for generation, instance in enumerate(instances, last_generation + 1)
        ]
        self.persist(changes)
        for change in changes:
            self.apply(change)
        return changes

    def apply(self, change: Instance) -> None:
        """Apply a change with its generation; raises `ValueError` unless that is above the current one."""
        if change.generation <= self.generation:
            raise ValueError(f"expected a generation above {self.generation}, found {change.generation}")
        self.generation = change.generation
        self._release_address(change.id)
        if change.lifecycle == Lifecycle.DELETED:
            self.instances.pop(change.id, None)
            self.lease_end_ms.pop(change.id, None)
            self.expired_since_ms.pop(change.id, None)
        else:
            self.instances[change.id] = change
            self.id_by_address[change.address] = change.id
        self.history.append(change)
        while len(self.history) > MAX_HISTORY:
            self.floor = self.history.popleft().generation

    def _release_address(self, instance_id: str) -> None:
        existing = self.instances.get(instance_id)
        if existing is not None and self.id_by_address.get(existing.address) == instance_id:
            del self.id_by_address[existing.address]

    # --- leases ---

    def expire_leases(self, now_ms: int) -> list[Instance]:
        """Delete instances whose leases expired at least `MASS_EXPIRY_WINDOW_MS` ago; return these changes.

        Must be called every second: a gap above `PAUSE_THRESHOLD_MS` begins a grace period, in which no
        instance is deleted for its expired lease.
        """
        paused_ms = now_ms - self._last_lease_check_ms
        if paused_ms > PAUSE_THRESHOLD_MS:
            self.begin_grace_period(now_ms, f"the registry paused for {paused_ms / MS_PER_SECOND:.0f} s")
        self._last_lease_check_ms = now_ms
        for instance_id, lease_end_ms in self.lease_end_ms.items():
            if lease_end_ms <= now_ms:
                self.expired_since_ms.setdefault(instance_id, now_ms)
        self._detect_mass_expiry(now_ms)
        if now_ms < self.grace_end_ms:
            return []
        # A mass expiry is recognizable only after several leases have expired, so each instance is first
        # retained for the length of the window.
        deleted = [
            replace(self.instances[instance_id], lifecycle=Lifecycle.DELETED)
            for instance_id, since_ms in self.expired_since_ms.items()
            if now_ms - since_ms >= MASS_EXPIRY_WINDOW_MS
        ]
        return self._commit(deleted) if deleted else []

    def _detect_mass_expiry(self, now_ms: int) -> None:
        """Begin a grace period if so many leases expired recently that the registry was probably cut off."""
        recent_expiries_ms = [
            since_ms
            for since_ms in self.expired_since_ms.values()
            if now_ms - since_ms <= MASS_EXPIRY_WINDOW_MS
        ]
        count = len(recent_expiries_ms)
        is_mass_expiry = count >= MASS_EXPIRY_MIN_COUNT and count > MASS_EXPIRY_SHARE * len(self.instances)
        # Leases that a grace period has already retained do not begin another one.
        has_new_expiry = now_ms in recent_expiries_ms
        if not is_mass_expiry or not has_new_expiry or now_ms < self.grace_end_ms:
            return
        self.grace_end_ms = now_ms + GRACE_PERIOD_MS
        self._warn(
            f"{count} of {len(self.instances)} leases expired in "
            f"{MASS_EXPIRY_WINDOW_MS // MS_PER_SECOND} s: retained for {GRACE_PERIOD_MS // MS_PER_SECOND} s, "
            "as the registry may have been cut off"
        )

    def begin_grace_period(self, now_ms: int, reason: str) -> None:
        """Retain all instances for `GRACE_PERIOD_MS`, as renewals may have been missed; log `reason`."""
        grace_end_ms = now_ms + GRACE_PERIOD_MS
        self.grace_end_ms = max(self.grace_end_ms, grace_end_ms)
        self._last_lease_check_ms = now_ms
        if self.instances:
            grace_period_s = GRACE_PERIOD_MS // MS_PER_SECOND
            self._warn(f"{reason}: {len(self.instances)} leases are retained for {grace_period_s} s")
        for instance_id in self.instances:
            self.lease_end_ms[instance_id] = max(self.lease_end_ms.get(instance_id, 0), grace_end_ms)
            self.expired_since_ms.pop(instance_id, None)

    # --- reads ---

    def full_update(self) -> WatchUpdate:
        """Return the complete endpoint list."""
        return WatchUpdate(self.generation, True, tuple(self.instances.values()))

    def update_after(self, generation: int) -> WatchUpdate:
        """Return the changes after `generation`, or the complete list if that is not in this history."""
        update = update_since(self.history, self.floor, self.generation, generation)
        return update or self.full_update()


def _is_same_registration(instance: Instance, existing: Instance) -> bool:
    return replace(instance, lifecycle=existing.lifecycle, generation=existing.generation) == existing
