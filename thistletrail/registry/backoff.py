"""Exponential backoff with full jitter, so that clients that failed together do not come back together."""

from __future__ import annotations

import random

MAX_DOUBLINGS = 10
"""Exponent after which the delay no longer grows: 2**10 times the base is above every maximum in use."""


def backoff_ceiling_s(failures: int, base_s: float, max_s: float) -> float:
    """Return the longest delay in seconds after so many failures in a row."""
    return float(min(max_s, base_s * 2 ** min(failures, MAX_DOUBLINGS)))


def full_jitter_s(generator: random.Random, failures: int, base_s: float, max_s: float) -> float:
    """Draw the delay in seconds before the next attempt, uniformly from 0 up to the ceiling (one draw)."""
    return generator.uniform(0, backoff_ceiling_s(failures, base_s, max_s))
