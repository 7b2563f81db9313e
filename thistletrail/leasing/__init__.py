"""The lease service: fleet-wide budgets and ownership of work items, by fenced leases."""
