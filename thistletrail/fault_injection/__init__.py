"""Fault injection: runs real processes with relays between them, injects faults, and checks the histories."""
