"""Times that all decisions share. Times are whole microseconds; names of times end in `_us`."""

MICROSECONDS_PER_SECOND = 1_000_000

NEVER_US = 1 << 62
"""A time that does not come; its negative is a time long before any event."""

TICK_US = 20_000
"""How often queued requests and quota messages are looked at: well under any latency objective."""
