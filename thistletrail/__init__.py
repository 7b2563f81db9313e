"""A gateway that enforces quotas for a fleet of scan servers, its services, and their test tools."""
