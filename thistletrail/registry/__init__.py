"""Service registry: instances, leases, generations, watches, read replicas and the registration client."""
