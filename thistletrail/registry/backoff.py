"""Exponential backoff with full jitter, so that clients that failed together do not retry together."""

from __future__ import annotations

import random

MAX_DOUBLINGS = 10
"""The delay doubles at most this many times: 2**10 times the base is above every maximum in use."""


def full_jitter_s(generator: random.Random, failures: int, base_s: float, max_s: float) -> float:
    """Return a random delay in seconds before the next attempt after `failures` consecutive failures.

    The delay is uniform between 0 and `base_s`, doubled for each failure and at most `max_s`. It takes one
    draw from `generator`.
    """
    ceiling_s = min(max_s, base_s * 2 ** min(failures, MAX_DOUBLINGS))
    return generator.uniform(0, ceiling_s)
