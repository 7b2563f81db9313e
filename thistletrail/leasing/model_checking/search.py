"""Search through the states of a model: exhaustive to a depth, or by random walks."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar


class World(Protocol):
    """One state of a model."""

    def key(self) -> Hashable:
        """Return a value that is equal for equal states."""


W = TypeVar("W", bound=World)


@dataclass(frozen=True, slots=True)
class Transition(Generic[W]):
    """One event that may come next: its description, and what makes the state that it leads to."""

    event: str
    apply: Callable[[], W]


Transitions = Callable[[W], Iterable[Transition[W]]]
Violation = Callable[[W], str]  # what does not hold in a state; empty where all does


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What a search has found.

    Attributes:
        states: How many states were seen.
        depth: To how many events from the first state.
        violation: What does not hold in the last state of `trace`; empty if nothing was found.
        trace: The events that lead to it.
    """

    states: int
    depth: int
    violation: str = ""
    trace: tuple[str, ...] = ()


def search_all(first: W, transitions: Transitions[W], violation: Violation[W], depth: int) -> CheckResult:
    """Look at all states that so many events lead to, the nearest first."""
    seen = {first.key()}
    queue: deque[tuple[W, tuple[str, ...]]] = deque([(first, ())])
    while queue:
        world, trace = queue.popleft()
        if len(trace) == depth:
            continue
        for transition in transitions(world):
            found = transition.apply()
            found_trace = (*trace, transition.event)
            if broken := violation(found):
                return CheckResult(len(seen), len(found_trace), broken, found_trace)
            key = found.key()
            if key not in seen:
                seen.add(key)
                queue.append((found, found_trace))
    return CheckResult(len(seen), depth)


@dataclass(frozen=True, slots=True)
class Walks:
    """Random walks: how many, of how many events each, and the seed of their generator."""

    count: int
    length: int
    seed: int


def walk_randomly(
    first: Callable[[int], W],
    transitions: Transitions[W],
    violation: Violation[W],
    walks: Walks,
) -> CheckResult:
    """Look at random walks, each from the first state of its number."""
    random_source = random.Random(walks.seed)
    states = 0
    for number in range(walks.count):
        world = first(number)
        trace: tuple[str, ...] = ()
        for _ in range(walks.length):
            choices = list(transitions(world))
            if not choices:
                break
            transition = random_source.choice(choices)
            world = transition.apply()
            trace = (*trace, transition.event)
            states += 1
            if broken := violation(world):
                return CheckResult(states, len(trace), broken, trace)
    return CheckResult(states, walks.length)
