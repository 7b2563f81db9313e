"""Runs in processes of their own: a revision against this tree, or a constant at several values.

Each play is one process that runs `python -m thistletrail.simulation run`; the decisions it hosts are this
tree's, or those of a revision, which are taken out of git. Pairs have the same scenario and seed.
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

from thistletrail.simulation.errors import ModelError

ROOT = Path(__file__).resolve().parents[2]
# The last revision with a package for each part at the root, and which of these its simulation needs.
LAST_OLD_LAYOUT = "a1df16a1ad34769cd8efae1995907d1f87538507"
OLD_HOSTS = ("model", "molereach", "steward", "durable")
RESAMPLES, CONFIDENCE = 2000, 0.95  # of the bootstrap: its interval's ends move by under 0.002 with more
BROKEN = 3  # the exit code of a run in which a rule was broken
END_S = 5.0  # for a play to end after SIGTERM


@dataclass(frozen=True)
class Tree:
    """Where a play runs: a folder that holds the packages, and the one whose `run` command plays."""

    folder: Path
    package: str = "thistletrail.simulation"


THIS_TREE = Tree(ROOT)


def extract(name: str, paths: tuple[str, ...], folder: Path) -> bool:
    """Take paths of a revision out of git, into a folder; whether git knows them all."""
    found = subprocess.run(
        ["git", "archive", "--format=tar", name, *paths], cwd=ROOT, capture_output=True, check=False
    )
    if found.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return True


def complete(folder: Path) -> None:
    """Put this tree's packages beside the decisions of a revision, as links."""
    package = folder / "thistletrail"
    for path in (ROOT / "thistletrail").iterdir():
        if not (package / path.name).exists():
            (package / path.name).symlink_to(path)


@contextmanager
def revision(name: str) -> Iterator[Tree]:
    """A tree with the decisions of a revision; one that git does not know is a ModelError.

    Decisions from before `PolicyEngine` are hosted by the simulation of their own revision. Those from before
    the single package are hosted by the simulation as it was at LAST_OLD_LAYOUT, which plays all revisions up
    to then.
    """
    with tempfile.TemporaryDirectory(prefix="simulation-") as text:
        folder = Path(text)
        if extract(name, ("thistletrail/policy/engine.py", "thistletrail/policy"), folder):
            complete(folder)
            yield Tree(folder)
        elif extract(name, ("thistletrail",), folder):
            yield Tree(folder)
        elif extract(name, ("fennelwinch",), folder):
            if not extract(LAST_OLD_LAYOUT, OLD_HOSTS, folder):
                raise ModelError(f"revision '{name}' needs {LAST_OLD_LAYOUT[:7]}, which is not in this clone")
            yield Tree(folder, "model")
        else:
            raise ModelError(f"there is no revision '{name}' with a decision module")


@dataclass(frozen=True)
class Play:
    """One run to be made: whose decisions (a tree), which scenario and seed, which constants."""

    side: str
    tree: Tree
    scenario: str
    seed: int
    settings: tuple[str, ...] = ()
    twin: bool = False  # also without its troubles, for the way back


@dataclass
class Runner:
    """Makes plays side by side; `stop` ends those that run, and leaves no process."""

    jobs: int
    end_s: float = END_S  # for one to end after SIGTERM
    running: set[subprocess.Popen[bytes]] = field(default_factory=set)
    lock: Lock = field(default_factory=Lock)
    stopped: Event = field(default_factory=Event)

    def play(self, play: Play) -> dict[str, object]:
        """The total of one run; a play that fails is a ModelError with its last line."""
        words = [
            sys.executable,
            "-m",
            play.tree.package,
            "run",
            play.scenario,
            "--seed",
            str(play.seed),
            "--total",
        ]
        words += [word for setting in play.settings for word in ("--set", setting)]
        words += ["--twin"] if play.twin else []
        environment = {**os.environ, "PYTHONPATH": str(play.tree.folder), "PYTHONDONTWRITEBYTECODE": "1"}
        out = self.run(words, play.tree.folder, environment, f"{play.side}, seed {play.seed}")
        return {**msgspec.json.decode(out), "side": play.side}

    def run(self, words: list[str], folder: Path, environment: Mapping[str, str], name: str) -> bytes:
        """What a process says on standard output; one that fails is a ModelError with its last line."""
        with self.lock:
            if self.stopped.is_set():
                raise ModelError("stopped")
            # A group of its own: Ctrl-C is for the parent alone, which then ends its plays in order.
            process = subprocess.Popen(
                words,
                cwd=folder,
                env=environment,
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                start_new_session=True,
            )
            self.running.add(process)
        try:
            out, errors = process.communicate()
        finally:
            with self.lock:
                self.running.discard(process)
        if self.stopped.is_set():
            raise ModelError("stopped")
        if process.returncode not in (0, BROKEN):
            last = errors.decode(errors="replace").strip().splitlines() or ["it said nothing"]
            raise ModelError(f"{name}: {last[-1]}")
        return out

    def stop(self) -> None:
        self.stopped.set()
        with self.lock:
            running = list(self.running)
        for process in running:
            process.terminate()
        for process in running:
            try:
                process.wait(self.end_s)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def play_all(
        self, plays: list[Play], done: Callable[[dict[str, object]], None]
    ) -> list[dict[str, object]]:
        """All of them, in the order given; `done` is called as each ends, whatever its place.

        A play that fails ends all others. Ctrl-C does too, and what has ended by then has been told.
        """
        results: dict[int, dict[str, object]] = {}
        pool = ThreadPoolExecutor(self.jobs)
        futures: dict[Future[dict[str, object]], int] = {
            pool.submit(self.play, play): number for number, play in enumerate(plays)
        }
        pending = set(futures)
        try:
            while pending:
                ended, pending = wait(pending, timeout=0.2, return_when=FIRST_COMPLETED)
                for future in ended:
                    results[futures[future]] = future.result()
                    done(results[futures[future]])
        finally:
            for future in pending:
                future.cancel()
            self.stop()
            pool.shutdown()
        return [results[number] for number in range(len(plays))]


@dataclass(frozen=True)
class Interval:
    """The median of paired differences, and where it lies in resamples of them."""

    median: float
    low: float
    high: float
    pairs: int

    def __str__(self) -> str:
        return f"{self.median:+.4f} [{self.low:+.4f}, {self.high:+.4f}] in {self.pairs} pairs"


def bootstrap(differences: list[float], seed: int = 1) -> Interval:
    """The percentile interval of the median, by resampling the pairs."""
    values = np.asarray(differences, dtype=float)
    if not len(values):
        raise ModelError("there are no pairs")
    generator = np.random.Generator(np.random.PCG64(seed))
    medians = np.median(values[generator.integers(0, len(values), (RESAMPLES, len(values)))], axis=1)
    tail = (1 - CONFIDENCE) / 2
    low, high = np.quantile(medians, [tail, 1 - tail])
    return Interval(float(np.median(values)), float(low), float(high), len(values))


def figures(total: dict[str, object]) -> dict[str, float]:
    """The figures of a run that are compared."""
    asks = max(1, total["asks"])
    messages = total["messages"]
    sent = sum(messages.values())
    return {
        "g": total["g"],
        "whole": total["whole"],
        "worst_10s": total["worst_10s"],
        "over_quota": total["prices"]["over_quota"],
        "tries an ask": total["tries"] / asks,
        "attempts an ask": total["attempts"] / asks,
        "handshakes an ask": total["handshakes"] / asks,
        "messages an ask": sent / asks,
        "messages lost": 1 - messages.get("arrived", 0) / sent if sent else 0.0,
        "refused, ceiling half unused": sum(
            count for cause, count in total["refused"].items() if cause.startswith("half unused, ceiling")
        )
        / asks,
        "units beyond quota": float(total["units_beyond"]),
        "broken rules": float(sum(total["broken"].values())),
        "keyed in two zones": float(total.get("zones", 0)),
        **way_figures(total.get("way")),
    }


def way_figures(way: dict[str, object] | None) -> dict[str, float]:
    """Those of the way back; one that never got to full service counts as having taken all that was left."""
    if way is None:
        return {}
    after = way["full_after_back_s"] if way["full_after_back_s"] is not None else way["left_s"]
    return {
        "full service, s": way["full_s"] if way["full_s"] is not None else way["left_s"],
        **({"after the last door": after} if way["came_back"] else {}),
        "worst second": way["worst_second"],
        "worth lost": way["lost"],
        "opened to calm": way["opened"] / max(1, way["opened_calm"]),
        "pushed over": float(way["fallen"]),
        "beyond quota": float(way["beyond"]),
    }


def table(results: list[dict[str, object]], old: str, new: str) -> list[tuple[str, float, float, Interval]]:
    """By figure: the mean of either side, and the paired differences, new less old."""
    sides: dict[str, dict[int, dict[str, float]]] = {old: {}, new: {}}
    for total in results:
        sides[total["side"]][total["seed"]] = figures(total)
    seeds = sorted(set(sides[old]) & set(sides[new]))
    rows = []
    for name in figures(results[0]) if seeds else ():
        before = [sides[old][seed][name] for seed in seeds]
        after = [sides[new][seed][name] for seed in seeds]
        gaps = [b - a for a, b in zip(before, after, strict=True)]
        rows.append((name, sum(before) / len(seeds), sum(after) / len(seeds), bootstrap(gaps)))
    return rows


def set_constant(text: str) -> None:
    """Give a constant of the decision module another value: NAME=NUMBER, wherever it has been imported."""
    name, sign, value = text.partition("=")
    try:
        number = float(value)
    except ValueError:
        sign = ""
    if not sign:
        raise ModelError(f"'{text}' is not NAME=NUMBER")
    found = False
    for module in [
        module for key, module in sorted(sys.modules.items()) if key.startswith("thistletrail.policy.")
    ]:
        if name.isupper() and isinstance(getattr(module, name, None), int | float):
            kind = type(getattr(module, name))
            setattr(module, name, kind(number) if number == kind(number) else number)
            found = True
    if not found:
        raise ModelError(f"the decision module has no constant '{name}' that is a number")
