"""Explicit-state model checking of the lease service's state machines: fleet-wide budgets and work leases."""
