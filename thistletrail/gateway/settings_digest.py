"""The digest of a gateway's settings in a stored snapshot.

A snapshot is used only under the settings under which it was collected. The digest is the beginning of the
SHA-256 of the text that revision a1df16a's `repr` produced for its settings, so that snapshots of that and
later revisions stay usable. The names in that text are stored names. They are fixed in the tables below,
independently of the names of classes and fields in the code. After a rename in the code, change only the
attribute, class or enum member in a table, and leave its stored name or text as it is. A new setting needs a
row at the position of its field, and invalidates all stored snapshots.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass, Settings

DIGEST_LENGTH = 16  # hexadecimal digits; 64 bits suffice to distinguish configurations


@dataclass(frozen=True, slots=True)
class StoredFields:
    """The representation of a settings class in the stored text.

    `fields` has each field's stored name and the attribute with its value, in stored order.
    """

    stored_name: str
    fields: tuple[tuple[str, str], ...]


STORED_FIELDS: Mapping[type, StoredFields] = {
    RequestClass: StoredFields(
        "RequestClass",
        (
            ("aim_us", "latency_objective_us"),
            ("deadline_us", "deadline_us"),
            ("worth", "value"),
            ("late_worth", "late_value"),
            ("effect", "effect"),
            ("group", "idempotency_scope"),
            ("window_us", "idempotency_window_us"),
            ("streamed", "streamed"),
        ),
    ),
    Plan: StoredFields(
        "Plan",
        (
            ("rate", "rate"),
            ("burst", "burst"),
            ("max_out", "max_in_flight"),
            ("worth_factor", "value_factor"),
            ("over_worth", "over_quota_value"),
            ("over_cost", "over_quota_cost"),
            ("ceiling_rate", "ceiling_rate"),
            ("ceiling_burst", "ceiling_burst"),
            ("ceiling_slack", "ceiling_slack"),
        ),
    ),
    Settings: StoredFields(
        "Settings",
        (
            ("seed", "seed"),
            ("me", "gateway_index"),
            ("gateways", "gateway_count"),
            ("classes", "classes"),
            ("plans", "plans"),
            ("zone", "zone"),
            ("max_attempts", "max_attempts"),
            ("max_retry_after_us", "max_retry_after_us"),
            ("parallel_tries", "may_hedge"),
            ("may_probe", "may_probe"),
            ("may_cancel", "may_cancel"),
            ("may_tell", "may_message_peers"),
            ("may_count", "has_shared_counter"),
            ("must_subscribe", "must_subscribe"),
            ("trued_up", "settles_true_units"),
            ("peer_messages_per_s", "peer_messages_per_s"),
            ("cross_zone_price", "cross_zone_price"),
            ("handshake_price", "handshake_price"),
            ("waste_price", "waste_price"),
            ("late_fail_price", "late_fail_price"),
            ("message_price", "message_price"),
            ("probe_price", "probe_price"),
            ("answer_grace_us", "answer_grace_us"),
            ("ask_within_us", "ask_within_us"),
            ("cold_from", "cold_capacity"),
            ("warm_within_us", "warm_up_us"),
            ("fall_multiple", "overload_multiple"),
            ("fall_us", "overload_window_us"),
            ("leased", "leases_ceilings"),
            ("leased_quotas", "leases_quotas"),
            ("leased_open", "leases_in_flight"),
            ("further_rate", "retry_rate"),
            ("further_burst", "retry_burst"),
        ),
    ),
}
STORED_MEMBERS: Mapping[Enum, str] = {
    Effect.IDEMPOTENT: "<Effect.SAFE: 'safe'>",
    Effect.IDEMPOTENT_BY_KEY: "<Effect.KEYED: 'keyed'>",
    Effect.UNSAFE: "<Effect.UNSAFE: 'unsafe'>",
    IdempotencyScope.ALL: "<Group.ALL: 'all'>",
    IdempotencyScope.ZONE: "<Group.ZONE: 'zone'>",
    IdempotencyScope.CELL: "<Group.CELL: 'cell'>",
}


def settings_digest(settings: Settings) -> str:
    """The digest of all settings except the seed, which may differ at each start: 16 hexadecimal digits."""
    text = stored_text(replace(settings, seed=0))
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]


def stored_text(value: object) -> str:
    """The stored text of settings or of a value in them.

    Raises TypeError for a type that no setting of revision a1df16a had, as its text may differ between
    versions of Python.
    """
    if type(value) in (bool, int, float):
        return repr(value)
    if isinstance(value, Enum):
        return STORED_MEMBERS[value]
    if isinstance(value, tuple):
        return _stored_tuple(value)
    stored = STORED_FIELDS.get(type(value))
    if stored is None:
        raise TypeError(
            f"expected settings, a number, an enum member or a tuple, found {type(value).__name__}"
        )
    fields = (f"{name}={stored_text(getattr(value, attribute))}" for name, attribute in stored.fields)
    return f"{stored.stored_name}({', '.join(fields)})"


def _stored_tuple(items: tuple[object, ...]) -> str:
    """The text of a tuple in Python's notation: a single item is followed by a comma."""
    texts = [stored_text(item) for item in items]
    if len(texts) == 1:
        return f"({texts[0]},)"
    return f"({', '.join(texts)})"
