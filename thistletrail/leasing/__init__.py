"""Fleet-wide budgets, divided among the front doors by leases: never more than the whole."""
