"""What ends a command of fault injection with one plain line."""


class FaultInjectionError(Exception):
    """Bad input, or processes that cannot be started; the text is one plain line."""
