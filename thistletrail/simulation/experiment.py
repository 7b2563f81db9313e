"""Makes runs in subprocesses, to compare a revision with this tree, or several values of a constant.

Each run is one process of `python -m thistletrail.simulation run`. It uses the policy of this tree, or that
of a revision, which is extracted from git. Runs are compared in pairs with the same scenario and seed.
"""

from __future__ import annotations

import io
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from threading import Event, Lock

import msgspec
import numpy as np

from thistletrail.simulation.errors import SimulationError

ROOT = Path(__file__).resolve().parents[2]
# The last revision whose components are separate top-level packages, and those that its simulation needs.
LAST_OLD_LAYOUT = "a1df16a1ad34769cd8efae1995907d1f87538507"
OLD_LAYOUT_PACKAGES = ("model", "molereach", "steward", "durable")
BOOTSTRAP_RESAMPLES = 2000  # with more, the ends of the interval move by less than 0.002
BOOTSTRAP_CONFIDENCE = 0.95
EXIT_RULE_BROKEN = 3  # exit code of a run in which a rule was broken
TERMINATE_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.2  # interval at which the main thread wakes up to handle signals


@dataclass(frozen=True)
class SourceTree:
    """A directory with the packages of one revision, and the package whose `run` command is used."""

    folder: Path
    package: str = "thistletrail.simulation"


THIS_TREE = SourceTree(ROOT)


def extract_from_git(revision: str, paths: tuple[str, ...], folder: Path) -> bool:
    """Extract paths of a revision into a folder; return False if git does not know one of them."""
    archived = subprocess.run(
        ["git", "archive", "--format=tar", revision, *paths], cwd=ROOT, capture_output=True, check=False
    )
    if archived.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return True


def link_missing_packages(folder: Path) -> None:
    """Link this tree's packages into the folder, except those that were extracted from a revision."""
    package = folder / "thistletrail"
    for path in (ROOT / "thistletrail").iterdir():
        if not (package / path.name).exists():
            (package / path.name).symlink_to(path)


@contextmanager
def revision_tree(revision: str) -> Iterator[SourceTree]:
    """Provide a temporary source tree with the policy of a revision.

    Policies from before `PolicyEngine` run in the simulation of their own revision. Those from before the
    package `thistletrail` run in the simulation of LAST_OLD_LAYOUT, which can run all earlier revisions.

    Raises:
        SimulationError: git does not know the revision, or the revision has no policy.
    """
    with tempfile.TemporaryDirectory(prefix="simulation-") as directory:
        folder = Path(directory)
        if extract_from_git(revision, ("thistletrail/policy/engine.py", "thistletrail/policy"), folder):
            link_missing_packages(folder)
            yield SourceTree(folder)
        elif extract_from_git(revision, ("thistletrail",), folder):
            yield SourceTree(folder)
        elif extract_from_git(revision, ("fennelwinch",), folder):
            if not extract_from_git(LAST_OLD_LAYOUT, OLD_LAYOUT_PACKAGES, folder):
                raise SimulationError(
                    f"revision '{revision}' needs {LAST_OLD_LAYOUT[:7]}, which is not in this clone"
                )
            yield SourceTree(folder, "model")
        else:
            raise SimulationError(f"there is no revision '{revision}' with a policy")


@dataclass(frozen=True)
class PlannedRun:
    """A run to make, on one side of a comparison."""

    side: str
    tree: SourceTree
    scenario: str
    seed: int
    constants: tuple[str, ...] = ()  # NAME=NUMBER: constants of the policy with other values
    with_baseline: bool = False  # also run the scenario without faults, and report the recovery


@dataclass
class Runner:
    """Makes runs in parallel subprocesses; `stop` ends them and leaves no process behind."""

    jobs: int
    terminate_timeout_s: float = TERMINATE_TIMEOUT_S  # from SIGTERM to SIGKILL
    running: set[subprocess.Popen[bytes]] = field(default_factory=set)
    lock: Lock = field(default_factory=Lock)
    stopped: Event = field(default_factory=Event)

    def run_planned(self, planned: PlannedRun) -> dict[str, object]:
        """Make a run and return its total.

        Raises:
            SimulationError: the run failed, or the runner was stopped.
        """
        command = [
            sys.executable,
            "-m",
            planned.tree.package,
            "run",
            planned.scenario,
            "--seed",
            str(planned.seed),
            "--total",
        ]
        command += [argument for constant in planned.constants for argument in ("--set", constant)]
        command += ["--twin"] if planned.with_baseline else []
        environment = {**os.environ, "PYTHONPATH": str(planned.tree.folder), "PYTHONDONTWRITEBYTECODE": "1"}
        output = self.run_command(
            command, planned.tree.folder, environment, f"{planned.side}, seed {planned.seed}"
        )
        return {**msgspec.json.decode(output), "side": planned.side}

    def run_command(
        self, command: list[str], folder: Path, environment: Mapping[str, str], name: str
    ) -> bytes:
        """Run a command in a folder and return its standard output.

        Raises:
            SimulationError: the command failed (the message has `name` and the last line of standard error),
                or the runner was stopped.
        """
        with self.lock:
            if self.stopped.is_set():
                raise SimulationError("the run was stopped before its end")
            # In a session of its own, so that Ctrl-C reaches only the parent, which then ends its runs.
            process = subprocess.Popen(
                command,
                cwd=folder,
                env=environment,
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                start_new_session=True,
            )
            self.running.add(process)
        try:
            output, errors = process.communicate()
        finally:
            with self.lock:
                self.running.discard(process)
        if self.stopped.is_set():
            raise SimulationError("the run was stopped before its end")
        if process.returncode not in (0, EXIT_RULE_BROKEN):
            error_lines = errors.decode(errors="replace").strip().splitlines() or [
                "nothing on standard error"
            ]
            raise SimulationError(f"{name}: exit code {process.returncode}: {error_lines[-1]}")
        return output

    def stop(self) -> None:
        """End all running processes, and let no further run start."""
        self.stopped.set()
        with self.lock:
            running = list(self.running)
        for process in running:
            process.terminate()
        for process in running:
            try:
                process.wait(self.terminate_timeout_s)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def run_all(
        self, planned_runs: list[PlannedRun], on_total: Callable[[dict[str, object]], None]
    ) -> list[dict[str, object]]:
        """Make all runs and return their totals in the order given.

        `on_total` is called with each total as its run ends, in whatever order they end. A run that fails
        ends all others, and so does Ctrl-C; by then `on_total` has been called for each completed run.
        """
        totals: dict[int, dict[str, object]] = {}
        pool = ThreadPoolExecutor(self.jobs)
        futures: dict[Future[dict[str, object]], int] = {
            pool.submit(self.run_planned, planned): index for index, planned in enumerate(planned_runs)
        }
        pending = set(futures)
        try:
            while pending:
                completed, pending = wait(pending, timeout=POLL_INTERVAL_S, return_when=FIRST_COMPLETED)
                for future in completed:
                    totals[futures[future]] = future.result()
                    on_total(totals[futures[future]])
        finally:
            for future in pending:
                future.cancel()
            self.stop()
            pool.shutdown()
        return [totals[index] for index in range(len(planned_runs))]


@dataclass(frozen=True)
class Interval:
    """The median of paired differences, with its bootstrap confidence interval."""

    median: float
    low: float
    high: float
    pair_count: int

    def __str__(self) -> str:
        return f"{self.median:+.4f} [{self.low:+.4f}, {self.high:+.4f}] in {self.pair_count} pairs"


def bootstrap(differences: list[float], seed: int = 1) -> Interval:
    """Return the median of the differences and its percentile interval, by resampling the pairs."""
    values = np.asarray(differences, dtype=float)
    if not len(values):
        raise SimulationError("there are no pairs of runs to compare")
    generator = np.random.Generator(np.random.PCG64(seed))
    resamples = values[generator.integers(0, len(values), (BOOTSTRAP_RESAMPLES, len(values)))]
    medians = np.median(resamples, axis=1)
    tail = (1 - BOOTSTRAP_CONFIDENCE) / 2
    low, high = np.quantile(medians, [tail, 1 - tail])
    return Interval(float(np.median(values)), float(low), float(high), len(values))


def compared_figures(total: dict[str, object]) -> dict[str, float]:
    """Return the figures of a run that comparisons use, from its total."""
    operations = max(1, total["asks"])
    messages = total["messages"]
    sent = sum(messages.values())
    return {
        "g": total["g"],
        "whole": total["whole"],
        "worst_10s": total["worst_10s"],
        "over_quota": total["prices"]["over_quota"],
        "requests per operation": total["tries"] / operations,
        "attempts per operation": total["attempts"] / operations,
        "handshakes per operation": total["handshakes"] / operations,
        "messages per operation": sent / operations,
        "messages lost": 1 - messages.get("arrived", 0) / sent if sent else 0.0,
        "refused, ceiling half unused": sum(
            count for cause, count in total["refused"].items() if cause.startswith("half unused, ceiling")
        )
        / operations,
        "units beyond quota": float(total["units_beyond"]),
        "broken rules": float(sum(total["broken"].values())),
        "keyed in two zones": float(total.get("zones", 0)),
        **recovery_figures(total.get("way")),
    }


def recovery_figures(recovery: dict[str, object] | None) -> dict[str, float]:
    """Return the figures of the recovery; none if the run had no baseline.

    A run that did not return to full service counts with the time from the fault to its end.
    """
    if recovery is None:
        return {}
    remaining_s = recovery["left_s"]
    full_s = recovery["full_s"] if recovery["full_s"] is not None else remaining_s
    after_last_gateway_s = (
        recovery["full_after_back_s"] if recovery["full_after_back_s"] is not None else remaining_s
    )
    return {
        "full service, s": full_s,
        **({"after the last gateway, s": after_last_gateway_s} if recovery["came_back"] else {}),
        "worst second": recovery["worst_second"],
        "worth lost": recovery["lost"],
        "handshakes to baseline": recovery["opened"] / max(1, recovery["opened_calm"]),
        "collapsed servers": float(recovery["fallen"]),
        "beyond quota": float(recovery["beyond"]),
    }


def comparison_rows(
    totals: list[dict[str, object]], old: str, new: str
) -> list[tuple[str, float, float, Interval]]:
    """Return for each figure its mean on the old and on the new side, and the paired differences, new - old.

    Only seeds that both sides have are used; if there are none, there are no rows.
    """
    sides: dict[str, dict[int, dict[str, float]]] = {old: {}, new: {}}
    for total in totals:
        sides[total["side"]][total["seed"]] = compared_figures(total)
    seeds = sorted(set(sides[old]) & set(sides[new]))
    rows = []
    for name in compared_figures(totals[0]) if seeds else ():
        old_values = [sides[old][seed][name] for seed in seeds]
        new_values = [sides[new][seed][name] for seed in seeds]
        differences = [after - before for before, after in zip(old_values, new_values, strict=True)]
        rows.append(
            (name, sum(old_values) / len(seeds), sum(new_values) / len(seeds), bootstrap(differences))
        )
    return rows


def set_constant(assignment: str) -> None:
    """Set a numeric constant of the policy, given as NAME=NUMBER, in each of its modules that has the name.

    Raises:
        SimulationError: the assignment is malformed, or no loaded module has such a constant.
    """
    name, separator, value = assignment.partition("=")
    try:
        number = float(value)
    except ValueError:
        separator = ""
    if not separator:
        raise SimulationError(f"'{assignment}' is not NAME=NUMBER")
    is_known = False
    for module in [
        module for key, module in sorted(sys.modules.items()) if key.startswith("thistletrail.policy.")
    ]:
        if name.isupper() and isinstance(getattr(module, name, None), int | float):
            kind = type(getattr(module, name))
            setattr(module, name, kind(number) if number == kind(number) else number)
            is_known = True
    if not is_known:
        raise SimulationError(f"the policy has no constant '{name}' that is a number")
