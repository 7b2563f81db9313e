"""The lease service: fleet-wide budgets and ownership of work, by fenced leases."""
