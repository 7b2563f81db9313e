"""Errors of the lease service and of its clients, by what a caller can do about them."""

from __future__ import annotations


class LeasingError(Exception):
    """Base class of all errors of this package; the text is one plain line."""


class ConfigError(LeasingError):
    """A configuration file cannot be used: correct it and start, or reload, again."""


class RequestRejectedError(LeasingError):
    """A request is invalid or out of bounds: sending the same one again is of no use."""


class FolderLockedError(LeasingError):
    """The data folder belongs to another process or to another history: wait, or choose another folder."""


class LeadershipLostError(LeasingError):
    """Another process has begun a later term: nothing that was decided here may be answered any more."""


class FrameError(LeasingError):
    """A frame is too large, or not signed by the shared secret: close the connection."""


class ServiceUnavailableError(LeasingError):
    """A lease service did not answer as one: try the next address."""


class ServiceFullError(ServiceUnavailableError):
    """A lease service cannot persist what was sent to it: go on without it, or try again later."""
