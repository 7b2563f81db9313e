"""Errors of the policy package: one base class, and a subclass for each kind of malformed input.

The subclasses are ValueErrors as well, since what they reject is a value that came from outside. Their
messages say in one line where it was found, what was expected and what was found.
"""


class PolicyError(Exception):
    """Base class of the errors that this package raises on purpose."""


class MalformedSettingError(PolicyError, ValueError):
    """A setting has a value that it cannot have; the message begins with the setting's path."""


class MalformedReportError(PolicyError, ValueError):
    """A server's load report holds a value that is no number; the message names the field."""
