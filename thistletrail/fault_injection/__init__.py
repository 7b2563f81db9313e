"""Fault injection: real processes with relays between them, injected faults, and checks of the histories."""
