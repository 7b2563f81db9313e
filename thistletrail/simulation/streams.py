"""Random numbers from independent streams, one for each purpose.

If one purpose draws more or fewer numbers, those of the others stay the same.
"""

import math
import zlib
from collections.abc import Sequence
from typing import TypeVar

import numpy as np

# Numbers drawn from numpy at once: a call for each number takes ten times as long.
BLOCK_SIZE = 1024

T = TypeVar("T")


class Stream:
    """A stream of random numbers, determined by the seed of the run and the name of its purpose."""

    __slots__ = ("generator", "normals", "uniforms")

    def __init__(self, seed: int, name: str) -> None:
        self.generator = np.random.Generator(np.random.PCG64([seed, zlib.crc32(name.encode())]))
        self.uniforms: list[float] = []
        self.normals: list[float] = []

    def uniform(self) -> float:
        """Return a number from 0 up to, but not including, 1."""
        if not self.uniforms:
            self.uniforms = self.generator.random(BLOCK_SIZE).tolist()
        return self.uniforms.pop()

    def uniform_between(self, low: float, high: float) -> float:
        """Return a number from `low` up to, but not including, `high`."""
        return low + (high - low) * self.uniform()

    def uniform_in(self, bounds: tuple[float, float]) -> float:
        """Return a number from a range of a scenario, given by its lower and upper bound."""
        return self.uniform_between(*bounds)

    def chance(self, probability: float) -> bool:
        """Return True with this probability."""
        return self.uniform() < probability

    def integer_below(self, count: int) -> int:
        """Return an integer from 0 up to, but not including, `count`."""
        return int(self.uniform() * count)

    def choice(self, values: Sequence[T]) -> T:
        """Return one of the values, each with the same probability."""
        return values[self.integer_below(len(values))]

    def exponential(self, mean: float) -> float:
        """Return an exponentially distributed number with this mean."""
        return -mean * math.log1p(-self.uniform())

    def normal(self) -> float:
        """Return a number from the standard normal distribution."""
        if not self.normals:
            self.normals = self.generator.standard_normal(BLOCK_SIZE).tolist()
        return self.normals.pop()

    def lognormal(self, mean: float, cv: float) -> float:
        """Return a log-normal number with this mean and coefficient of variation."""
        variance = math.log1p(cv * cv)
        return mean * math.exp(math.sqrt(variance) * self.normal() - variance / 2)

    def shuffled(self, values: Sequence[T]) -> list[T]:
        """Return the values in random order."""
        return [values[index] for index in self.generator.permutation(len(values)).tolist()]

    def draw_seed(self) -> int:
        """Return a seed for another random number generator."""
        return int(self.uniform() * (1 << 53))
