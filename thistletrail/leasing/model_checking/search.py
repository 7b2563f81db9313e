"""Search of a model's states: exhaustive to a depth, or by random walks."""

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


WorldT = TypeVar("WorldT", bound=World)


@dataclass(frozen=True, slots=True)
class Transition(Generic[WorldT]):
    """An event that can occur in a state.

    Attributes:
        event: The description of the event, as printed in a trace.
        apply: Returns the state after the event; the state before it stays as it is.
    """

    event: str
    apply: Callable[[], WorldT]


Transitions = Callable[[WorldT], Iterable[Transition[WorldT]]]
# Returns a description of the property that a state violates; empty if all properties hold.
ViolationFinder = Callable[[WorldT], str]


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of a search.

    Attributes:
        states: The number of states checked: distinct ones in an exhaustive search, steps in random walks.
        depth: The number of events from the initial state that were searched, or that led to the violation.
        violation: The property that the last state of `trace` violates; empty if no violation was found.
        trace: The events that lead from the initial state to the violation.
    """

    states: int
    depth: int
    violation: str = ""
    trace: tuple[str, ...] = ()


def search_breadth_first(
    initial: WorldT, transitions: Transitions[WorldT], find_violation: ViolationFinder[WorldT], depth: int
) -> CheckResult:
    """Check all states within `depth` events of the initial one, nearest first, up to the first violation."""
    seen = {initial.key()}
    queue: deque[tuple[WorldT, tuple[str, ...]]] = deque([(initial, ())])
    while queue:
        world, trace = queue.popleft()
        if len(trace) == depth:
            continue
        for transition in transitions(world):
            successor = transition.apply()
            successor_trace = (*trace, transition.event)
            if violation := find_violation(successor):
                return CheckResult(len(seen), len(successor_trace), violation, successor_trace)
            key = successor.key()
            if key not in seen:
                seen.add(key)
                queue.append((successor, successor_trace))
    return CheckResult(len(seen), depth)


@dataclass(frozen=True, slots=True)
class Walks:
    """The number of random walks, the number of events in each, and the seed of the random generator."""

    count: int
    length: int
    seed: int


def walk_randomly(
    initial_of_walk: Callable[[int], WorldT],
    transitions: Transitions[WorldT],
    find_violation: ViolationFinder[WorldT],
    walks: Walks,
) -> CheckResult:
    """Check the states of random walks up to the first violation.

    `initial_of_walk` returns the initial state of a walk by the walk's number.
    """
    random_source = random.Random(walks.seed)
    states = 0
    for walk_number in range(walks.count):
        world = initial_of_walk(walk_number)
        trace: tuple[str, ...] = ()
        for _ in range(walks.length):
            choices = list(transitions(world))
            if not choices:
                break
            transition = random_source.choice(choices)
            world = transition.apply()
            trace = (*trace, transition.event)
            states += 1
            if violation := find_violation(world):
                return CheckResult(states, len(trace), violation, trace)
    return CheckResult(states, walks.length)
