"""The error that ends a command of fault injection."""


class FaultInjectionError(Exception):
    """Invalid input, or a process that cannot be started; the message is a single line."""
