"""The registry's state: instances with leases, a generation for each change, and a bounded history.

It performs no I/O and reads no clock: the time comes in as `now_ms` of a monotonic clock and, where a new
history begins, as `unix_ms`.
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
"""A new history begins at the Unix time in milliseconds times this.

A later history, also after the loss of all data, so begins above an earlier one that made no more than that
many changes a millisecond. Generations stay below `MAX_GENERATION` until the year 2248.
"""

MASS_EXPIRY_SHARE = 0.3
"""Share of all instances; if more of them expire within the window, the registry was probably cut off."""

MASS_EXPIRY_MIN_COUNT = 3
"""Fewer expired leases than this are never a mass expiry, whatever their share."""

MASS_EXPIRY_WINDOW_MS = 10_000
"""Expired leases that count together, and how long each instance is retained after its lease expired."""

GRACE_PERIOD_MS = 30_000
"""How long expired leases are retained after a mass expiry, a start or a pause."""

PAUSE_MS = 5_000
"""After longer than this without a check of the leases the process paused and may have missed renewals."""

MAX_ECHOED_ID_CHARACTERS = 64
"""Of an unknown id, in the error text that goes back to the client."""

WarningSink = Callable[[str], None]
PersistChanges = Callable[[Sequence[Instance]], None]


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """What outlives the process. Leases do not: after a restore all instances get the grace period."""

    generation: int
    instances: tuple[Instance, ...]


def discard_warning(message: str) -> None:
    """Ignore a warning: the default where nobody reads them."""


def discard_changes(changes: Sequence[Instance]) -> None:
    """Persist nothing: the default of a store without a journal."""


class Store:
    """All instances and their leases. Its size is bounded by `MAX_INSTANCES` and `MAX_HISTORY`.

    `persist` is called with the changes before they take effect; if it raises, the store stays as it was.
    """

    def __init__(self, unix_ms: int, now_ms: int, warn: WarningSink = discard_warning) -> None:
        """Begin a new history, above every generation of an older one."""
        self.generation = min(unix_ms * GENERATIONS_PER_MS, MAX_GENERATION - 1)
        self.floor = self.generation
        """The generation before the oldest change in `history`."""
        self.history: deque[Instance] = deque()
        """The changes after `floor`, in order of their generations."""
        self.instances: dict[str, Instance] = {}
        self.lease_end_ms: dict[str, int] = {}
        """When the lease of an instance expires, by its id."""
        self.expired_since_ms: dict[str, int] = {}
        """Instances whose leases have expired and that are not deleted yet, and since when, by id."""
        self.grace_end_ms = 0
        """Until when no instance is deleted for its expired lease."""
        self.persist: PersistChanges = discard_changes
        self.id_by_address: dict[str, str] = {}
        """Ids of the instances by the address that each has taken last."""
        self._checked_ms = now_ms
        self._warn = warn

    @classmethod
    def restore(cls, snapshot: StoreSnapshot, now_ms: int, warn: WarningSink = discard_warning) -> Self:
        """Return the store of a snapshot; its history begins there."""
        store = cls(0, now_ms, warn)
        store.generation = snapshot.generation
        store.floor = snapshot.generation
        for instance in snapshot.instances:
            store.instances[instance.id] = instance
            store.id_by_address[instance.address] = instance.id
        return store

    def snapshot(self) -> StoreSnapshot:
        """Return what a later process needs to go on with this history."""
        return StoreSnapshot(self.generation, tuple(self.instances.values()))

    # --- writes ---

    def register(self, instance: Instance, now_ms: int) -> Instance:
        """Register an instance and begin its lease; return it with its generation.

        The same registration again only renews the lease, as a client repeats it when the answer was lost.
        Another address or start time is a new process. Another instance that had the address is deleted,
        because a machine runs one at a time. Raises `RejectedError` if the registry is full.
        """
        known = self.instances.get(instance.id)
        if known is None and len(self.instances) >= MAX_INSTANCES:
            raise RejectedError(f"there are {MAX_INSTANCES} instances already")
        if known is not None and _is_same_registration(instance, known):
            self.renew(instance.id, now_ms)
            return known
        changes = [replace(instance, lifecycle=Lifecycle.SERVING)]
        previous_id = self.id_by_address.get(instance.address)
        if previous_id is not None and previous_id != instance.id:
            changes.insert(0, replace(self.instances[previous_id], lifecycle=Lifecycle.DELETED))
        registered = self._commit(changes)[-1]
        self.renew(instance.id, now_ms)
        return registered

    def renew(self, instance_id: str, now_ms: int) -> Instance:
        """Extend the lease by its full length from now, which is no change and has no generation."""
        instance = self.get(instance_id)
        self.lease_end_ms[instance_id] = now_ms + instance.lease_ms
        self.expired_since_ms.pop(instance_id, None)
        return instance

    def update(self, instance_id: str, generation: int, lifecycle: str, now_ms: int) -> Instance:
        """Set an instance to `SERVING` or `DRAINING` and renew its lease.

        `generation` is the instance's as the writer knows it; a later one raises `ConflictError`.
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
        """Delete an instance at its own request, at once; return it as deleted."""
        return self._commit([replace(self.get(instance_id), lifecycle=Lifecycle.DELETED)])[0]

    def get(self, instance_id: str) -> Instance:
        """Return an instance; raises `UnknownInstanceError` if there is none with that id."""
        if instance_id not in self.instances:
            raise UnknownInstanceError(f"there is no instance '{instance_id[:MAX_ECHOED_ID_CHARACTERS]}'")
        return self.instances[instance_id]

    def _commit(self, instances: Sequence[Instance]) -> list[Instance]:
        """Give the changes the next generations, persist them and apply them: all of them or none."""
        if self.generation + len(instances) > MAX_GENERATION:
            raise RejectedError("the generations of this history are used up")
        changes = [
            replace(instance, generation=generation)
            for generation, instance in enumerate(instances, self.generation + 1)
        ]
        self.persist(changes)
        for change in changes:
            self.apply(change)
        return changes

    def apply(self, change: Instance) -> None:
        """Apply a change that already has its generation, which must be above the current one."""
        if change.generation <= self.generation:
            raise ValueError(f"generation {change.generation} comes after {self.generation}")
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
        known = self.instances.get(instance_id)
        if known is not None and self.id_by_address.get(known.address) == instance_id:
            del self.id_by_address[known.address]

    # --- leases ---

    def expire_leases(self, now_ms: int) -> list[Instance]:
        """Delete instances whose leases expired long enough ago; return them. To be called every second."""
        paused_ms = now_ms - self._checked_ms
        if paused_ms > PAUSE_MS:
            self.begin_grace_period(now_ms, f"the registry paused for {paused_ms / MS_PER_SECOND:.0f} s")
        self._checked_ms = now_ms
        for instance_id, lease_end_ms in self.lease_end_ms.items():
            if lease_end_ms <= now_ms:
                self.expired_since_ms.setdefault(instance_id, now_ms)
        self._detect_mass_expiry(now_ms)
        if now_ms < self.grace_end_ms:
            return []
        # A mass expiry shows only once most have expired, so each instance is retained for the window first.
        deleted = [
            replace(self.instances[instance_id], lifecycle=Lifecycle.DELETED)
            for instance_id, since_ms in self.expired_since_ms.items()
            if now_ms - since_ms >= MASS_EXPIRY_WINDOW_MS
        ]
        return self._commit(deleted) if deleted else []

    def _detect_mass_expiry(self, now_ms: int) -> None:
        """Begin a grace period if so many leases expired lately that the registry was probably cut off."""
        recent = [
            since_ms
            for since_ms in self.expired_since_ms.values()
            if now_ms - since_ms <= MASS_EXPIRY_WINDOW_MS
        ]
        is_mass = len(recent) >= MASS_EXPIRY_MIN_COUNT and len(recent) > MASS_EXPIRY_SHARE * len(
            self.instances
        )
        # Leases that a grace period has retained already do not begin another one.
        has_new = now_ms in recent
        if not is_mass or not has_new or now_ms < self.grace_end_ms:
            return
        self.grace_end_ms = now_ms + GRACE_PERIOD_MS
        self._warn(
            f"{len(recent)} of {len(self.instances)} leases expired in "
            f"{MASS_EXPIRY_WINDOW_MS // MS_PER_SECOND} s: retained for {GRACE_PERIOD_MS // MS_PER_SECOND} s, "
            "as the registry may have been cut off"
        )

    def begin_grace_period(self, now_ms: int, reason: str) -> None:
        """Retain all instances for the grace period, as renewals may have been missed; `reason` is logged."""
        grace_end_ms = now_ms + GRACE_PERIOD_MS
        self.grace_end_ms = max(self.grace_end_ms, grace_end_ms)
        self._checked_ms = now_ms
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
        """Return what changed after `generation`; the complete list if that is not in this history."""
        update = update_since(self.history, self.floor, self.generation, generation)
        return update or self.full_update()


def _is_same_registration(instance: Instance, known: Instance) -> bool:
    return replace(instance, lifecycle=known.lifecycle, generation=known.generation) == known
