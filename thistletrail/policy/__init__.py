"""The decisions of a gateway as a deterministic state machine without I/O: events in, actions out."""
