"""Explicit-state model checking of the lease service's state machines: fleet-wide budgets and work leases.

Each check has a world (one state of everything), its transitions, properties that hold in every state, and
planted faults that show that the properties would be found broken.
"""
