"""Old keys of the configuration file: read like the new ones, warned of once, refused beside the new ones."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.test_program import config, write
from thistletrail.gateway import legacy_settings
from thistletrail.gateway.config import load
from thistletrail.gateway.errors import ConfigError
from thistletrail.gateway.legacy_settings import with_current_keys

KEYS = [("steward", "budget_leases"), ("takeover", "work_leases")]


@pytest.fixture(autouse=True)
def no_warning_yet() -> Iterator[None]:
    """Each test is as a process of its own: nothing was warned of before."""
    legacy_settings._warn_once.cache_clear()
    yield
    legacy_settings._warn_once.cache_clear()


def part(folder: Path) -> dict[str, object]:
    """An object that either key may have."""
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
def test_an_old_key_is_read_like_the_new_one(tmp_path: Path, old_key: str, key: str) -> None:
    by_old_key = load(write(tmp_path, config(**{old_key: part(tmp_path)})))
    by_new_key = load(write(tmp_path, config(**{key: part(tmp_path)})))
    assert by_old_key == by_new_key
    assert getattr(by_new_key, key).addresses == (("127.0.0.1", 8600), ("127.0.0.1", 8601))
    assert getattr(by_new_key, key).secret == b"0123456789abcdef"


@pytest.mark.parametrize("old_key, key", KEYS)
def test_an_old_key_is_warned_of_once_however_often_the_file_is_read(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, old_key: str, key: str
) -> None:
    env = write(tmp_path, config(**{old_key: part(tmp_path)}))
    load(env)
    load(env)
    said = [record.getMessage() for record in caplog.records if record.levelname == "WARNING"]
    assert said == [f"the configuration's key '{old_key}' has a new name: write '{key}' in its place"]


def test_new_keys_bring_no_warning(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    load(write(tmp_path, config(budget_leases=part(tmp_path), work_leases=part(tmp_path))))
    assert not caplog.records


@pytest.mark.parametrize("old_key, key", KEYS)
def test_an_old_key_beside_its_new_one_is_refused(tmp_path: Path, old_key: str, key: str) -> None:
    env = write(tmp_path, config(**{old_key: part(tmp_path), key: part(tmp_path)}))
    with pytest.raises(ConfigError, match="found both") as caught:
        load(env)
    assert f"'{key}'" in str(caught.value) and f"'{old_key}'" in str(caught.value)
    assert "\n" not in str(caught.value)


def test_other_keys_stay_as_they_are() -> None:
    values = {"name": "n0", "unknown": 1}
    assert with_current_keys(values) == values
