"""A quota-keeping gateway for a fleet of scan servers, its services, and the tools that test them."""
