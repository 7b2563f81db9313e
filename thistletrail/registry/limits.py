"""Bounds that the primary and its followers share."""

NO_GENERATION = -1
"""Of a reader or an instance that has received nothing yet."""

MAX_GENERATION = (1 << 53) - 1
"""Highest integer that every JSON reader represents exactly."""

MAX_HISTORY = 4096
"""Changes retained for readers that resume: ten times what replaces a fleet of 200 instances."""

MAX_INSTANCES = 10_000
"""Fifty times the largest fleet: a bound on memory, not a target."""

MS_PER_SECOND = 1000
