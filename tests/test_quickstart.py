"""The first command of the README: a gateway with stub scan servers answers one request."""

import subprocess
import sys

from thistletrail.benchmarks.process import ROOT


def test_the_quickstart_serves_one_request_and_ends() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "thistletrail.benchmarks", "quickstart"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    first, request, answer = completed.stdout.splitlines()
    assert first.startswith("a gateway serves at 127.0.0.1:")
    assert request.startswith("request: SVC.QUERY ")
    assert answer == "answer: served, after 1 attempt(s)"
