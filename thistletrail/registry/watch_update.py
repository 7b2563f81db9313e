"""Updates that readers of the registry receive, their JSON format, and their construction from a history.

The JSON format is that of the discovery protocol: an object with `generation`, `reset` and `instances`.
"""

from __future__ import annotations

import bisect
import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from thistletrail.registry.errors import MalformedResponseError, RejectedError
from thistletrail.registry.instance import Instance, Lifecycle, parse_instance
from thistletrail.registry.limits import MAX_GENERATION, MAX_HISTORY, MAX_INSTANCES

WIRE_KEY_OF_FIELD = {
    "id": "instanceId",
    "address": "hostPort",
    "zone": "zone",
    "machine_type": "machineType",
    "cell": "cell",
    "lifecycle": "lifecycle",
    "weight": "weight",
    "started_ms": "startedAtMs",
}
"""Key of each field of `Instance` in an entry on the wire, in the order in which the keys are sent."""


@dataclass(frozen=True, slots=True)
class WatchUpdate:
    """The complete endpoint list if `is_reset`, otherwise each changed instance once, in its last state.

    `generation` is that of the registry after the update.
    """

    generation: int
    is_reset: bool
    instances: tuple[Instance, ...]


def encode_update(update: WatchUpdate) -> bytes:
    """Return the update as one line of JSON, with its newline."""
    value = {
        "generation": update.generation,
        "reset": update.is_reset,
        "instances": [_wire_entry(instance) for instance in update.instances],
    }
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def _wire_entry(instance: Instance) -> dict[str, object]:
    return {key: getattr(instance, field) for field, key in WIRE_KEY_OF_FIELD.items()}


def decode_update(line: bytes) -> WatchUpdate:
    """Decode one line of a watch; each entry gets the generation of the update.

    Raises `MalformedResponseError` if the line is not an update or an entry is invalid.
    """
    try:
        value = json.loads(line)
        generation = value["generation"]
        is_reset = value["reset"]
        entries = value["instances"]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MalformedResponseError(
            "expected a JSON object with generation, reset and instances in a watch line: "
            f"{type(error).__name__}: {error}"
        ) from error
    if type(generation) is not int or not 0 <= generation <= MAX_GENERATION:
        raise MalformedResponseError(
            f"expected an integer from 0 to {MAX_GENERATION} as generation of a watch update, "
            f"found an invalid {type(generation).__name__}"
        )
    if type(is_reset) is not bool:
        raise MalformedResponseError(
            f"expected true or false as reset of a watch update, found {type(is_reset).__name__}"
        )
    if not isinstance(entries, list) or len(entries) > MAX_INSTANCES + MAX_HISTORY:
        found = f"{len(entries)} entries" if isinstance(entries, list) else type(entries).__name__
        raise MalformedResponseError(
            f"expected a list of at most {MAX_INSTANCES + MAX_HISTORY} instances in a watch update, "
            f"found {found}"
        )
    return WatchUpdate(generation, is_reset, tuple(_decode_entry(entry, generation) for entry in entries))


def _decode_entry(entry: object, generation: int) -> Instance:
    if not isinstance(entry, Mapping) or entry.get("lifecycle") not in tuple(Lifecycle):
        raise MalformedResponseError(
            f"expected one of the lifecycles {', '.join(Lifecycle)} in each entry of a watch update"
        )
    values = {
        field: entry[key] for field, key in WIRE_KEY_OF_FIELD.items() if field != "lifecycle" and key in entry
    }
    try:
        instance = parse_instance(values)
    except RejectedError as error:
        raise MalformedResponseError(f"an entry of a watch update is invalid: {error}") from error
    return replace(instance, lifecycle=Lifecycle(entry["lifecycle"]), generation=generation)


def update_since(history: Sequence[Instance], floor: int, latest: int, generation: int) -> WatchUpdate | None:
    """Return the changes after `generation`, or None if that is not a generation of this history.

    `history` holds the changes after `floor` up to `latest`, in order of their generations.
    """
    if generation == latest:
        return WatchUpdate(generation, False, ())
    index = bisect.bisect_left(history, generation, key=lambda change: change.generation)
    is_recorded = index < len(history) and history[index].generation == generation
    if generation != floor and not is_recorded:
        return None
    return WatchUpdate(latest, False, last_changes(history, generation))


def last_changes(changes: Iterable[Instance], generation: int) -> tuple[Instance, ...]:
    """Return the last change of each instance after `generation`, in order of generation."""
    last_by_id: dict[str, Instance] = {}
    for change in changes:
        if change.generation > generation:
            # Removed first so that the instance moves to the end of the order.
            last_by_id.pop(change.id, None)
            last_by_id[change.id] = change
    return tuple(last_by_id.values())
