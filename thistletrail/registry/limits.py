"""Bounds that apply to the primary and its followers alike."""

NO_GENERATION = -1
"""Generation of a reader, a replica or a registration that has not received one yet."""

MAX_GENERATION = (1 << 53) - 1
"""Highest generation: the largest integer that every JSON parser represents exactly."""

MAX_HISTORY = 4096
"""Changes retained for readers that resume: ten times those of replacing a fleet of 200 instances."""

MAX_INSTANCES = 10_000
"""Fifty times the size of the largest fleet; a bound on memory, not a capacity target."""

MS_PER_SECOND = 1000
