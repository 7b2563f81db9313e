"""Time constants of the policy: every time is a whole number of microseconds."""

MICROSECONDS_PER_SECOND = 1_000_000
NEVER_US = 1 << 62  # later than any clock reading, and still an integer to calculate with
