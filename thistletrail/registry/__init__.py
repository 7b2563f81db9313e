"""The list service: which scan servers there are, with leases and generations."""
