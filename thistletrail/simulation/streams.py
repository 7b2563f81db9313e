"""Random numbers, a stream for each concern: one that draws more leaves the others as they were."""

import math
import zlib
from collections.abc import Sequence
from typing import TypeVar

import numpy as np

BLOCK = 1024  # numbers drawn from numpy at once: a call for each one costs ten times as much

T = TypeVar("T")


class Stream:
    """Numbers of one concern, fixed by the run's seed and the concern's name."""

    __slots__ = ("generator", "normals", "uniforms")

    def __init__(self, seed: int, name: str) -> None:
        self.generator = np.random.Generator(np.random.PCG64([seed, zlib.crc32(name.encode())]))
        self.uniforms: list[float] = []
        self.normals: list[float] = []

    def uniform(self) -> float:
        """From 0 up to, not including, 1."""
        if not self.uniforms:
            self.uniforms = self.generator.random(BLOCK).tolist()
        return self.uniforms.pop()

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.uniform()

    def span(self, pair: tuple[float, float]) -> float:
        """From the lower to the upper one of a range in a scenario."""
        return self.between(*pair)

    def chance(self, share: float) -> bool:
        return self.uniform() < share

    def below(self, count: int) -> int:
        """A whole number from 0 up to, not including, `count`."""
        return int(self.uniform() * count)

    def pick(self, values: Sequence[T]) -> T:
        return values[self.below(len(values))]

    def exponential(self, mean: float) -> float:
        return -mean * math.log1p(-self.uniform())

    def normal(self) -> float:
        if not self.normals:
            self.normals = self.generator.standard_normal(BLOCK).tolist()
        return self.normals.pop()

    def lognormal(self, mean: float, cv: float) -> float:
        """Of that mean and coefficient of variation."""
        variance = math.log1p(cv * cv)
        return mean * math.exp(math.sqrt(variance) * self.normal() - variance / 2)

    def shuffled(self, values: Sequence[T]) -> list[T]:
        return [values[index] for index in self.generator.permutation(len(values)).tolist()]

    def whole(self) -> int:
        """A seed for something else."""
        return int(self.uniform() * (1 << 53))
