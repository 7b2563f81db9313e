"""The list of scan servers: instances with leases, a generation for each change, a bounded history.

Pure: the time is passed in, as `now_ms` of a clock that only moves forward and, where a new history begins,
as `unix_ms`. What it answers is in the form that the protocol page gives to discovery.
"""

from __future__ import annotations

import bisect
import re
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, fields, replace
from typing import Any

# Generations of a new history begin at the wall clock's milliseconds times this: a history that begins later,
# also after the loss of all data, begins above one that made no more than so many changes a millisecond. They
# stay below 2**53, which any JSON reader holds exactly, until the year 2248.
PER_MS = 1024
MOST_GENERATION = (1 << 53) - 1
MOST_HISTORY = 4096  # changes kept: ten times over what replaces a fleet of 200
MOST_INSTANCES = 10_000  # fifty times the largest fleet: a bound on memory, not a plan
LEAST_LEASE_MS, MOST_LEASE_MS = 1_000, 600_000
# More than this share of all (and at least so many) whose leases lapse within the window: then it is likelier
# that the service was cut off than that all have died. They are kept for the grace.
MASS_SHARE, MASS_COUNT, MASS_WINDOW_MS = 0.3, 3, 10_000
GRACE_MS = 30_000
PAUSE_MS = 5_000  # without a tick for so long the service itself was away: it may have missed renewals
MOST_TEXT = 64
TEXT = re.compile(r"[A-Za-z0-9._:-]{1,64}", re.ASCII)
ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})", re.ASCII)

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"


class RefusedError(Exception):
    """A write that is not taken, and why, as one sentence for whoever sent it."""


class ConflictError(RefusedError):
    """An update that went by an older generation than the instance has by now."""


class UnknownError(RefusedError):
    """There is no such instance."""


@dataclass(frozen=True, slots=True)
class Instance:
    """A scan server as registered. `generation` is that of its last change; times are in milliseconds."""

    id: str
    address: str
    zone: str
    machine_type: str
    cell: int
    weight: float
    lifecycle: str
    started_ms: int
    lease_ms: int
    generation: int = 0

    def shown(self) -> dict[str, Any]:
        """In discovery's form."""
        return {
            "instanceId": self.id,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.machine_type,
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": self.weight,
            "startedAtMs": self.started_ms,
        }


@dataclass(frozen=True, slots=True)
class News:
    """What a reader gets: the whole list with `reset`, or each instance that changed since, once."""

    generation: int
    reset: bool
    instances: tuple[Instance, ...]

    def shown(self) -> dict[str, Any]:
        return {
            "generation": self.generation,
            "reset": self.reset,
            "instances": [instance.shown() for instance in self.instances],
        }


def read_instance(values: Mapping[str, Any]) -> Instance:
    """An instance from a registration's values; what is wrong with them is a RefusedError naming the key."""
    known = {field.name for field in fields(Instance)} - {"lifecycle", "generation"}
    if unknown := sorted(set(values) - known):
        raise RefusedError(f"there is no key '{unknown[0]:.40}'")
    if missing := sorted(known - {"cell", "weight", "started_ms", "lease_ms"} - set(values)):
        raise RefusedError(f"the key '{missing[0]}' is missing")
    for key in ("id", "zone", "machine_type"):
        if not isinstance(values[key], str) or not TEXT.fullmatch(values[key]):
            raise RefusedError(
                f"{key} is not 1 to {MOST_TEXT} letters, digits, dots, colons, dashes or underscores"
            )
    found = ADDRESS.fullmatch(values["address"]) if isinstance(values["address"], str) else None
    if not found or any(int(part) > 255 for part in found[1].split(".")) or not 0 < int(found[2]) < 65536:
        raise RefusedError("address is not an IPv4 address and a port, as in 127.0.0.1:6379")
    return Instance(
        id=values["id"],
        address=values["address"],
        zone=values["zone"],
        machine_type=values["machine_type"],
        cell=whole(values, "cell", 0, 0, 1_000_000),
        weight=number(values, "weight", 1.0, 1e6),
        lifecycle=SERVING,
        started_ms=whole(values, "started_ms", 0, 0, 100_000_000_000_000),
        lease_ms=whole(values, "lease_ms", 10_000, LEAST_LEASE_MS, MOST_LEASE_MS),
    )


def whole(values: Mapping[str, Any], key: str, default: int, least: int, most: int) -> int:
    value = values.get(key, default)
    if type(value) is not int or not least <= value <= most:
        raise RefusedError(f"{key} is not a whole number from {least} to {most}")
    return value


def number(values: Mapping[str, Any], key: str, default: float, most: float) -> float:
    value = values.get(key, default)
    if type(value) not in (int, float) or not 0 < value <= most:  # also false for what is not a number
        raise RefusedError(f"{key} is not a number above 0 and up to {most:g}")
    return float(value)


class Store:
    """All instances and their leases. Its size is bounded by MOST_INSTANCES and MOST_HISTORY."""

    def __init__(self, unix_ms: int, now_ms: int, warn: Callable[[str], None] = lambda text: None) -> None:
        """A new history: nobody's generation of an older one lies in it."""
        self.floor = self.generation = min(unix_ms * PER_MS, MOST_GENERATION - 1)
        self.instances: dict[str, Instance] = {}
        self.expires: dict[str, int] = {}  # by id: when its lease lapses
        self.addresses: dict[str, str] = {}  # ids by address
        self.history: deque[Instance] = deque()  # the changes since `floor`, in order of their generations
        self.lapsed: dict[str, int] = {}  # whose leases have lapsed and are not gone yet, and since when
        self.kept_until = 0  # until when lapsed leases are kept
        self.ticked_ms, self.warn = now_ms, warn
        self.keep: Callable[[list[Instance]], None] = lambda changes: None  # the log, where there is one

    # --- writes ---

    def register(self, instance: Instance, now_ms: int) -> Instance:
        """A scan server says that it is there. At another address or with another start it is a new process;
        an address that it takes over makes the instance that had it gone, as a machine has one at a time."""
        known = self.instances.get(instance.id)
        if known is None and len(self.instances) >= MOST_INSTANCES:
            raise RefusedError(f"there are {MOST_INSTANCES} instances already")
        if known and replace(instance, lifecycle=known.lifecycle, generation=known.generation) == known:
            self.renew(instance.id, now_ms)  # the same again, as after an answer that got lost
            return known
        before = self.addresses.get(instance.address)
        other = before is not None and before != instance.id
        gone = [replace(self.instances[before], lifecycle=DELETED)] if other else []
        taken = self.change(*gone, replace(instance, lifecycle=SERVING))[-1]
        self.renew(instance.id, now_ms)
        return taken

    def renew(self, name: str, now_ms: int) -> Instance:
        """Its lease holds anew from now on; that is no change."""
        instance = self.get(name)
        self.expires[name] = now_ms + instance.lease_ms
        self.lapsed.pop(name, None)
        return instance

    def update(self, name: str, generation: int, lifecycle: str, now_ms: int) -> Instance:
        """Drain, or serve again, going by the generation that the writer knows of the instance."""
        instance = self.get(name)
        if lifecycle not in (SERVING, DRAINING):
            raise RefusedError(f"lifecycle is not {SERVING} or {DRAINING}")
        if instance.generation != generation:
            raise ConflictError(
                f"{name} has changed since generation {generation}: it is at {instance.generation}"
            )
        self.renew(name, now_ms)
        return (
            instance
            if instance.lifecycle == lifecycle
            else self.change(replace(instance, lifecycle=lifecycle))[0]
        )

    def leave(self, name: str) -> Instance:
        """It goes by its own word, which holds at once."""
        return self.change(replace(self.get(name), lifecycle=DELETED))[0]

    def get(self, name: str) -> Instance:
        if name not in self.instances:
            raise UnknownError(f"there is no instance '{name:.64}'")
        return self.instances[name]

    def change(self, *instances: Instance) -> list[Instance]:
        """The one place where the list changes: under the next generations, and only once `keep` has taken
        all of it. What cannot be kept is a RefusedError, and nothing has changed."""
        if self.generation + len(instances) > MOST_GENERATION:
            raise RefusedError("the generations of this history are used up")
        changes = [
            replace(instance, generation=self.generation + number)
            for number, instance in enumerate(instances, 1)
        ]
        self.keep(changes)
        for change in changes:
            self.apply(change)
        return changes

    def apply(self, instance: Instance) -> None:
        """Take over a change that has its generation, as from the log."""
        if instance.generation <= self.generation:
            raise ValueError(f"generation {instance.generation} comes after {self.generation}")
        self.generation = instance.generation
        known = self.instances.get(instance.id)
        if known and self.addresses.get(known.address) == known.id:
            del self.addresses[known.address]
        if instance.lifecycle == DELETED:
            self.instances.pop(instance.id, None)
            self.expires.pop(instance.id, None)
            self.lapsed.pop(instance.id, None)
        else:
            self.instances[instance.id] = instance
            self.addresses[instance.address] = instance.id
        self.history.append(instance)
        while len(self.history) > MOST_HISTORY:
            self.floor = self.history.popleft().generation

    # --- leases ---

    def tick(self, now_ms: int) -> list[Instance]:
        """Let leases lapse; the instances that are gone by it. To be called about once a second."""
        if now_ms - self.ticked_ms > PAUSE_MS:
            self.away(now_ms, f"the service paused for {(now_ms - self.ticked_ms) / 1000:.0f} s")
        self.ticked_ms = now_ms
        for name, until in self.expires.items():
            if until <= now_ms:
                self.lapsed.setdefault(name, now_ms)
        recent = sum(now_ms - since <= MASS_WINDOW_MS for since in self.lapsed.values())
        if recent >= MASS_COUNT and recent > MASS_SHARE * len(self.instances) and now_ms >= self.kept_until:
            fresh = [name for name, since in self.lapsed.items() if now_ms - since <= MASS_WINDOW_MS]
            if any(self.lapsed[name] == now_ms for name in fresh):  # not those that were kept before
                self.kept_until = now_ms + GRACE_MS
                self.warn(
                    f"{recent} of {len(self.instances)} leases lapsed in {MASS_WINDOW_MS // 1000} s: "
                    f"kept for {GRACE_MS // 1000} s, as the service may have been cut off"
                )
        if now_ms < self.kept_until:
            return []
        # A mass is known as one only when most have lapsed: each stays for the window before it goes.
        due = [name for name, since in self.lapsed.items() if now_ms - since >= MASS_WINDOW_MS]
        return self.change(*(replace(self.instances[name], lifecycle=DELETED) for name in due)) if due else []

    def away(self, now_ms: int, why: str) -> None:
        """The service was away, or has just started: renewals may have been missed, so all are kept."""
        self.kept_until = max(self.kept_until, now_ms + GRACE_MS)
        self.ticked_ms = now_ms
        if self.instances:
            self.warn(f"{why}: {len(self.instances)} leases are kept for {GRACE_MS // 1000} s")
        for name in self.instances:
            self.expires[name] = max(self.expires.get(name, 0), now_ms + GRACE_MS)
            self.lapsed.pop(name, None)

    # --- reads ---

    def whole(self) -> News:
        return News(self.generation, True, tuple(self.instances.values()))

    def after(self, generation: int) -> News:
        """What changed since, each instance once in its last state; the whole list for a reader from before
        the history, from the future, or from another history."""
        return since(self.history, self.floor, self.generation, generation) or self.whole()

    # --- snapshots ---

    def snapshot(self) -> dict[str, Any]:
        """All that outlives the process. Leases do not: who reads it gives all of them the grace."""
        return {"generation": self.generation, "instances": [asdict(one) for one in self.instances.values()]}

    @classmethod
    def restore(
        cls, values: Mapping[str, Any], now_ms: int, warn: Callable[[str], None] = lambda text: None
    ) -> Store:
        """The store of a snapshot; its history begins there. Values that are none are a ValueError."""
        store = cls(0, now_ms, warn)
        try:
            store.floor = store.generation = int(values["generation"])
            for value in values["instances"]:
                instance = Instance(**value)
                store.instances[instance.id] = instance
                store.addresses[instance.address] = instance.id
        except (KeyError, TypeError) as error:
            raise ValueError(f"this is no snapshot: {error}") from error
        return store


def merged(changes: Iterable[Instance], after: int) -> tuple[Instance, ...]:
    """Changes past a generation, the last one of each instance, in order of generation."""
    last: dict[str, Instance] = {}
    for change in changes:
        if change.generation > after:
            last.pop(change.id, None)
            last[change.id] = change
    return tuple(last.values())


def since(history: Sequence[Instance], floor: int, latest: int, generation: int) -> News | None:
    """What changed after a generation, by a history of the changes past `floor` up to `latest`; None where
    that generation is none of its own."""
    if generation == latest:
        return News(generation, False, ())
    at = bisect.bisect_left(history, generation, key=lambda change: change.generation)
    if generation != floor and not (at < len(history) and history[at].generation == generation):
        return None
    return News(latest, False, merged(history, generation))
