"""Every decision of a quota-keeping gateway, pure: events in, actions out."""
