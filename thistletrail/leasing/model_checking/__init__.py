"""Explicit-state model checking of the lease service's state machines: fleet-wide budgets and work leases.

Each check has a world (one state of the whole system), the transitions between states, properties that must
hold in every state, and planted faults, which show that the check finds violations.
"""
