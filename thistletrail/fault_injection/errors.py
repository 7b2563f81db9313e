"""What ends a command of the rig with one plain line."""


class RigError(Exception):
    """Bad input, or processes that cannot be started; the text is one plain line."""
