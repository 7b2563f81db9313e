"""Errors of the lease service and of its clients, by what a caller can do about them."""

from __future__ import annotations


class LeasingError(Exception):
    """Base class of all errors of this package; the message is one line of text."""


class ConfigError(LeasingError):
    """A configuration file cannot be used: correct it, then restart or reload."""


class RequestRejectedError(LeasingError):
    """A request is invalid or out of bounds: retrying the same request fails again."""


class FolderLockedError(LeasingError):
    """The data folder belongs to another process or to another history: wait, or choose another folder."""


class LeadershipLostError(LeasingError):
    """Another process has begun a later term: this one may not send responses any more."""


class FrameError(LeasingError):
    """A frame is too large, or not signed by the shared secret: close the connection."""


class ServiceUnavailableError(LeasingError):
    """A lease service did not answer, or rejected the request: try the next address."""


class ServiceFullError(ServiceUnavailableError):
    """A lease service cannot persist a request now: continue without a lease, or retry later."""
