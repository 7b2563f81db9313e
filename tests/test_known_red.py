"""Tests of the list of known failures: each runs pytest in a folder of its own."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TWO_WORKERS = ("-p", "xdist", "-n2")
TESTS = """
import pytest

def test_red():
    assert False

def test_green():
    pass

@pytest.mark.parametrize("n", [1, 2])
def test_two(n):
    assert n == 1
"""
RED = "test_a.py::test_red | it asserts a falsehood | issue 7\n"
TWO = "test_a.py::test_two[2] | two is not one | issue 7\n"
GREEN = "test_a.py::test_green | nothing is wrong with it | issue 7\n"


def run(folder: Path, listed: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run pytest on `TESTS` in `folder`, with `listed` as its list of known failures."""
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_a.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    environment = {
        "PYTHONPATH": str(ROOT),
        "PYTHONDONTWRITEBYTECODE": "1",
        "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1",  # hypothesis and others are not needed, and load slowly
    }
    return subprocess.run(
        [*command, *arguments], cwd=folder, env=environment, capture_output=True, text=True, check=False
    )


def test_run_in_which_only_listed_tests_fail_passes_and_prints_the_list(tmp_path: Path) -> None:
    result = run(tmp_path, f"# a comment\n\n{RED}{TWO}")
    assert result.returncode == 0, result.stdout
    assert "2 passed, 2 xfailed" in result.stdout
    assert "KNOWN-RED.txt: 2 known failures" in result.stdout
    assert RED.strip() in result.stdout and TWO.strip() in result.stdout


def test_run_fails_if_a_failing_test_is_not_listed(tmp_path: Path) -> None:
    result = run(tmp_path, RED)
    assert result.returncode == 1
    assert "1 failed, 2 passed, 1 xfailed" in result.stdout


def test_run_fails_if_a_listed_test_passes(tmp_path: Path) -> None:
    result = run(tmp_path, RED + TWO + GREEN)
    assert result.returncode == 1
    assert "XPASS(strict)" in result.stdout


@pytest.mark.parametrize(
    ("listed", "error"),
    [
        ("test_a.py::test_red\n", "not of the form"),
        ("test_a.py::test_red | it fails\n", "not of the form"),
        ("test_a.py::test_red | | issue 7\n", "not of the form"),
        ("test_a.py::test_red | it fails | some day\n", "names no issue"),
        ("test_a.py::test_gone | it fails | issue 7\n", "there is no such test"),
        ("test_a.py::test_two[3] | it fails | issue 7\n", "there is no such test"),
        ("test_gone.py::test_red | it fails | issue 7\n", "there is no such test"),
        (RED + RED, "listed twice"),
        (RED + TWO + GREEN + "test_a.py::test_two[1] | it fails | issue 7\n", "4 tests are listed"),
    ],
)
def test_invalid_list_fails_the_run(tmp_path: Path, listed: str, error: str) -> None:
    result = run(tmp_path, listed)
    assert result.returncode == pytest.ExitCode.USAGE_ERROR
    assert error in result.stderr


def test_run_of_selected_tests_passes_if_a_listed_test_is_not_selected(tmp_path: Path) -> None:
    assert run(tmp_path, RED, "-k", "green").returncode == 0
    assert run(tmp_path, RED, "test_a.py::test_green").returncode == 0


def test_run_on_several_workers_prints_the_list_once(tmp_path: Path) -> None:
    result = run(tmp_path, RED + TWO, *TWO_WORKERS)
    assert result.returncode == 0, result.stdout
    assert "2 passed, 2 xfailed" in result.stdout
    assert result.stdout.count("KNOWN-RED.txt: 2 known failures") == 1
    assert result.stdout.count(RED.strip()) == 1 and result.stdout.count(TWO.strip()) == 1


def test_run_on_several_workers_fails_if_a_listed_test_passes(tmp_path: Path) -> None:
    result = run(tmp_path, RED + TWO + GREEN, *TWO_WORKERS)
    assert result.returncode == 1
    assert "XPASS(strict)" in result.stdout
    assert "1 failed, 1 passed, 2 xfailed" in result.stdout


def test_listed_test_of_an_xdist_group_is_matched_by_its_node_id(tmp_path: Path) -> None:
    """With `--dist loadgroup`, pytest-xdist appends the group to the node id of a test."""
    listed = "test_group.py::test_grouped | it asserts a falsehood | issue 7\n"
    (tmp_path / "test_group.py").write_text(
        'import pytest\n@pytest.mark.xdist_group("one")\ndef test_grouped():\n    assert False\n'
    )
    result = run(tmp_path, RED + TWO + listed, *TWO_WORKERS, "--dist", "loadgroup")
    assert result.returncode == 0, result.stdout
    assert "2 passed, 3 xfailed" in result.stdout


@pytest.mark.parametrize(
    ("listed", "error"),
    [
        ("test_a.py::test_red\n", "not of the form"),
        ("test_a.py::test_gone | it fails | issue 7\n", "there is no such test"),
    ],
)
def test_invalid_list_fails_a_run_on_several_workers(tmp_path: Path, listed: str, error: str) -> None:
    result = run(tmp_path, listed, *TWO_WORKERS)
    assert result.returncode == pytest.ExitCode.USAGE_ERROR
    assert error in result.stderr
