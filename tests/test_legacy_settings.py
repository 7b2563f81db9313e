"""Old keys of the configuration file: read like the current ones with one warning, rejected beside them."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.test_program import config_values, write_config
from thistletrail.gateway import legacy_settings
from thistletrail.gateway.config import load
from thistletrail.gateway.errors import ConfigError
from thistletrail.gateway.legacy_settings import with_current_keys

KEYS = [("steward", "budget_leases"), ("takeover", "work_leases")]


@pytest.fixture(autouse=True)
def reset_warnings() -> Iterator[None]:
    """Reset the warnings that were logged, as in a new process."""
    legacy_settings._warn_once.cache_clear()
    yield
    legacy_settings._warn_once.cache_clear()


def lease_settings(folder: Path) -> dict[str, object]:
    """Return a value that is valid for either key."""
    secret = folder / "secret"
    secret.write_text("0123456789abcdef\n")
    return {
        "addresses": "127.0.0.1:8600,127.0.0.1:8601",
        "secret_file": str(secret),
        "lease_ms": 2000,
        "classes": ["read"],
        "quotas": True,
    }


@pytest.mark.parametrize("old_key, key", KEYS)
def test_an_old_key_is_read_like_the_current_one(tmp_path: Path, old_key: str, key: str) -> None:
    by_old_key = load(write_config(tmp_path, config_values(**{old_key: lease_settings(tmp_path)})))
    by_current_key = load(write_config(tmp_path, config_values(**{key: lease_settings(tmp_path)})))
    assert by_old_key == by_current_key
    assert getattr(by_current_key, key).addresses == (("127.0.0.1", 8600), ("127.0.0.1", 8601))
    assert getattr(by_current_key, key).secret == b"0123456789abcdef"


@pytest.mark.parametrize("old_key, key", KEYS)
def test_an_old_key_is_warned_of_once_per_process(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, old_key: str, key: str
) -> None:
    env = write_config(tmp_path, config_values(**{old_key: lease_settings(tmp_path)}))
    load(env)
    load(env)
    warnings = [record.getMessage() for record in caplog.records if record.levelname == "WARNING"]
    assert warnings == [f"the configuration's key '{old_key}' has a new name: write '{key}' in its place"]


def test_current_keys_cause_no_warning(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    load(
        write_config(
            tmp_path,
            config_values(budget_leases=lease_settings(tmp_path), work_leases=lease_settings(tmp_path)),
        )
    )
    assert not caplog.records


@pytest.mark.parametrize("old_key, key", KEYS)
def test_an_old_key_together_with_its_current_one_is_rejected(tmp_path: Path, old_key: str, key: str) -> None:
    env = write_config(
        tmp_path, config_values(**{old_key: lease_settings(tmp_path), key: lease_settings(tmp_path)})
    )
    with pytest.raises(ConfigError, match="found both") as caught:
        load(env)
    assert f"'{key}'" in str(caught.value) and f"'{old_key}'" in str(caught.value)
    assert "\n" not in str(caught.value)


def test_other_keys_are_unchanged() -> None:
    values = {"name": "n0", "unknown": 1}
    assert with_current_keys(values) == values
