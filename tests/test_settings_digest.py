"""The digest of settings is the one that revision a1df16a computed, independently of names in the code.

`tests/data/a1df16a/gateway/settings_digests.json` has random settings over all keys, in the format of the
configuration file, each with the digest that this revision computed.
"""

import dataclasses
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from thistletrail.gateway.config import flatten
from thistletrail.gateway.settings_digest import STORED_FIELDS, settings_digest, stored_text
from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass, Settings
from thistletrail.policy.settings_codec import SettingValues, read_settings

DATA = Path(__file__).parent / "data" / "a1df16a"
RANDOM_SETTINGS = json.loads((DATA / "gateway" / "settings_digests.json").read_text())
EVERY_SETTING = Settings(
    seed=5,
    gateway_index=2,
    gateway_count=4,
    classes=(
        RequestClass(1, 2, 3.5, 0.25, Effect.IDEMPOTENT_BY_KEY, IdempotencyScope.CELL, 7, True),
        RequestClass(750_000, 2_000_000),
        RequestClass(9, 10, effect=Effect.UNSAFE, idempotency_scope=IdempotencyScope.ZONE),
    ),
    plans=(Plan(1.5, 2.0, 3, 4.0, 0.5, 0.6, 7.0, 8.0, 0.9),),
    zone=1,
    max_attempts=4,
    max_retry_after_us=500_000,
    may_hedge=True,
    may_probe=True,
    may_cancel=True,
    may_message_peers=True,
    has_shared_counter=True,
    must_subscribe=True,
    settles_true_units=True,
    peer_messages_per_s=40.0,
    cross_zone_price=0.01,
    handshake_price=0.02,
    waste_price=0.03,
    late_fail_price=0.04,
    message_price=0.05,
    probe_price=0.06,
    answer_grace_us=8_000,
    ask_within_us=250_000,
    cold_capacity=0.3,
    warm_up_us=9_000_000,
    overload_multiple=2.5,
    overload_window_us=1_000_000,
    leases_ceilings=True,
    leases_quotas=True,
    leases_in_flight=True,
    retry_rate=40.0,
    retry_burst=80.0,
)


@pytest.mark.parametrize("case", RANDOM_SETTINGS)
def test_random_settings_have_the_digest_that_a1df16a_computed(case: dict[str, Any]) -> None:
    settings = read_settings(3, SettingValues(dict(flatten(case["settings"]))))
    assert settings_digest(settings) == case["digest"]


@pytest.mark.parametrize(
    "settings, digest",
    [
        (EVERY_SETTING, "9196b7de93f0a74c"),
        (Settings(1, 0, 1, (), ()), "aa5accdd11dc63a6"),
    ],
)
def test_handwritten_settings_have_the_digest_that_a1df16a_computed(settings: Settings, digest: str) -> None:
    assert settings_digest(settings) == digest


@pytest.mark.parametrize("settings_class", STORED_FIELDS)
def test_the_digest_covers_every_setting_in_order(settings_class: type) -> None:
    attributes = [attribute for _, attribute in STORED_FIELDS[settings_class].fields]
    assert attributes == [field.name for field in dataclasses.fields(settings_class)]


def another_value(value: object) -> object:
    """Return a different value of the same type."""
    match value:
        case bool():
            return not value
        case int() | float():
            return value + 1
        case Effect():
            return next(other for other in Effect if other is not value)
        case IdempotencyScope():
            return next(other for other in IdempotencyScope if other is not value)
        case tuple():
            return value[:-1]
    raise TypeError(f"no setting is a {type(value).__name__}")


@pytest.mark.parametrize(
    "rebuild, instance",
    [
        (lambda instance: instance, EVERY_SETTING),
        (
            lambda instance: dataclasses.replace(
                EVERY_SETTING, classes=(instance, *EVERY_SETTING.classes[1:])
            ),
            EVERY_SETTING.classes[0],
        ),
        (lambda instance: dataclasses.replace(EVERY_SETTING, plans=(instance,)), EVERY_SETTING.plans[0]),
    ],
    ids=["settings", "request class", "plan"],
)
def test_each_setting_except_the_seed_changes_the_digest(
    rebuild: Callable[[Any], Settings], instance: Settings | RequestClass | Plan
) -> None:
    digest_of_all = settings_digest(EVERY_SETTING)
    for field in dataclasses.fields(instance):
        other = dataclasses.replace(instance, **{field.name: another_value(getattr(instance, field.name))})
        is_same = settings_digest(rebuild(other)) == digest_of_all
        assert is_same is (field.name == "seed"), field.name


def test_a_value_without_a_stable_text_is_rejected() -> None:
    with pytest.raises(TypeError, match="found str"):
        stored_text("text")
