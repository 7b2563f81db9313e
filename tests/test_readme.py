"""Tests that the example in README runs as printed, and that CI runs the test command in README."""

from pathlib import Path

ROOT = Path(__file__).parent.parent
README = (ROOT / "README.md").read_text()


def test_readme_example_runs_without_an_error() -> None:
    code = README.split("```python\n", 1)[1].split("```", 1)[0]
    exec(compile(code, "README.md", "exec"), {})
    assert "assert" in code


def test_ci_runs_the_test_command_of_the_readme() -> None:
    command = README.split("there runs the test command:\n\n```sh\n", 1)[1].split("```", 1)[0]
    assert (ROOT / ".ci" / "run").read_text().endswith(f"\n{command}")
