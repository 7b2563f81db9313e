"""Reads the settings of a gateway from texts by their paths into `Settings`.

A path consists of the names from the top level of the settings down, joined by dots; list items are numbered
from 0 (`plans.0.burst`). The simulator's wire sends settings in this form, and the gateway process flattens
those of its configuration file to it. Unknown paths are ignored, and most paths have a default.
"""

from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from thistletrail.policy.errors import MalformedSettingError
from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass, Settings

ABSENT = "-"  # A path with this value takes its default.
TRUE_VALUES = ("true", "1")
MAX_NUMBER = 1e15  # The maximum of any setting; a day in microseconds is about 1e11.
MAX_QUOTED_CHARS = 80  # An error quotes at most this many characters of a malformed value.

EFFECTS_BY_NAME = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.IDEMPOTENT_BY_KEY,
    "non_idempotent": Effect.UNSAFE,
}
SCOPES_BY_NAME = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.CELL,
}

Choice = TypeVar("Choice", bound=Enum)


class SettingValues:
    """The values of settings by their paths; each method returns the default for an absent path."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str = "") -> str:
        """The value as an unchanged text."""
        value = self.values.get(path, ABSENT)
        return default if value == ABSENT else value

    def number(self, path: str, default: float = 0.0) -> float:
        """A number from 0 to MAX_NUMBER; raises MalformedSettingError for anything else."""
        text = self.text(path, str(default))
        try:
            value = float(text)
        except ValueError as error:
            raise MalformedSettingError(
                f"{path} is malformed: expected a number, found {text[:MAX_QUOTED_CHARS]!r}"
            ) from error
        if not 0 <= value <= MAX_NUMBER:  # also false for "nan"
            raise MalformedSettingError(
                f"{path} is out of range: expected 0 to {MAX_NUMBER:g}, found {text[:MAX_QUOTED_CHARS]!r}"
            )
        return value

    def integer(self, path: str, default: int = 0) -> int:
        """As `number`, with the fraction dropped."""
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        """Whether the value is one of TRUE_VALUES; any other value, or an absent one, is False."""
        return self.text(path, "false") in TRUE_VALUES

    def choice(self, path: str, choices: Mapping[str, Choice], default: str) -> Choice:
        """The member of `choices` that the value names; raises MalformedSettingError for an unknown name."""
        name = self.text(path, default)
        if name not in choices:
            expected = ", ".join(choices)
            raise MalformedSettingError(
                f"{path} is malformed: expected one of {expected}, found {name[:MAX_QUOTED_CHARS]!r}"
            )
        return choices[name]


def read_settings(seed: int, values: SettingValues) -> Settings:
    """Read the settings of one gateway; raises MalformedSettingError for a malformed value.

    `seed` is the seed of the gateway's random draws. It is not one of the values.
    """
    return Settings(
        seed=seed,
        gateway_index=values.integer("me"),
        gateway_count=values.integer("balancers", 1),
        classes=_read_classes(values),
        plans=_read_plans(values),
        zone=values.integer("zone"),
        max_attempts=values.integer("ceilings.max-attempts", 1),
        max_retry_after_us=_read_max_retry_after_us(values),
        may_hedge=values.flag("ceilings.parallel-tries"),
        may_probe=values.flag("ceilings.may-probe"),
        may_cancel=values.flag("ceilings.may-cancel"),
        may_message_peers=values.flag("ceilings.peers"),
        has_shared_counter=values.flag("extra.counter"),
        must_subscribe=values.text("registry-mode") == "subscribe",
        settles_true_units=values.flag("extra.trued-up"),
        peer_messages_per_s=values.number("extra.mail-per-s"),
        cross_zone_price=values.number("prices.cross-zone"),
        handshake_price=values.number("prices.handshake"),
        waste_price=values.number("prices.waste"),
        late_fail_price=values.number("prices.late-fail"),
        message_price=values.number("prices.peer"),
        probe_price=values.number("prices.probe"),
        answer_grace_us=values.integer("obligations.grace-to-answer-us"),
        ask_within_us=values.integer("obligations.ask-within-us"),
        cold_capacity=values.number("obligations.cold-from", 1.0),
        warm_up_us=values.integer("obligations.warm-within-us"),
        overload_multiple=values.number("obligations.fall-multiple", 1.0),
        overload_window_us=values.integer("obligations.fall-us", 1),
    )


def _read_max_retry_after_us(values: SettingValues) -> int:
    """The maximum Retry-After; 0 where rejections carry no Retry-After."""
    if not values.flag("ceilings.retry-after"):
        return 0
    return values.integer("ceilings.max-retry-after-us")


def _read_classes(values: SettingValues) -> tuple[RequestClass, ...]:
    count = values.integer("categories.count")
    return tuple(_read_class(values, f"categories.{number}") for number in range(count))


def _read_class(values: SettingValues, path: str) -> RequestClass:
    return RequestClass(
        latency_objective_us=values.integer(f"{path}.on-time-us"),
        deadline_us=values.integer(f"{path}.deadline-us"),
        value=values.number(f"{path}.points", 1.0),
        late_value=values.number(f"{path}.late-worth"),
        effect=values.choice(f"{path}.idempotency", EFFECTS_BY_NAME, default="read_like"),
        idempotency_scope=values.choice(f"{path}.group", SCOPES_BY_NAME, default="all"),
        idempotency_window_us=values.integer(f"{path}.window-us"),
        streamed=values.flag(f"{path}.streamed"),
    )


def _read_plans(values: SettingValues) -> tuple[Plan, ...]:
    count = values.integer("plans.count")
    return tuple(_read_plan(values, f"plans.{number}") for number in range(count))


def _read_plan(values: SettingValues, path: str) -> Plan:
    return Plan(
        rate=values.number(f"{path}.units-per-s"),
        burst=values.number(f"{path}.burst"),
        max_in_flight=values.integer(f"{path}.max-out"),
        value_factor=values.number(f"{path}.value-factor", 1.0),
        over_quota_value=values.number(f"{path}.extra-worth"),
        over_quota_cost=values.number(f"{path}.overrun-cost"),
        ceiling_rate=values.number(f"{path}.never-over-rate"),
        ceiling_burst=values.number(f"{path}.hard-burst"),
        ceiling_slack=values.number(f"{path}.hard-slack"),
    )
