"""Units of time that the decisions share: every time is a whole number of microseconds."""

MICROSECONDS_PER_SECOND = 1_000_000
NEVER_US = 1 << 62  # a time that does not come: later than any clock's, and still an integer to reckon with
