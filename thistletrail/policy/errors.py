"""Errors of the policy package: one base class, and a subclass for each kind of malformed input.

The subclasses are also ValueErrors, as they reject values from outside the process. Their messages state in
one line where the value was found, what was expected and what was found.
"""


class PolicyError(Exception):
    """Base class of the errors that this package raises for malformed input."""


class MalformedSettingError(PolicyError, ValueError):
    """A setting has an invalid value; the message begins with the setting's path."""


class MalformedReportError(PolicyError, ValueError):
    """A server's load report has a value that is not a number; the message names the field."""
