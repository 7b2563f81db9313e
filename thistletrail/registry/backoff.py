"""Exponential backoff with full jitter, so that clients that failed together do not come back together."""

from __future__ import annotations

import random

MAX_DOUBLINGS = 10
"""Exponent after which the delay no longer grows: 2**10 times the base is above every maximum in use."""


def full_jitter_s(generator: random.Random, failures: int, base_s: float, max_s: float) -> float:
    """Draw the delay in seconds before the next attempt after so many failures in a row.

    It is uniform from 0 up to `base_s` doubled at each failure, `max_s` at most, and takes one draw.
    """
    ceiling_s = min(max_s, base_s * 2 ** min(failures, MAX_DOUBLINGS))
    return generator.uniform(0, ceiling_s)
