"""Errors of the registry, grouped by how a caller can respond to them."""

from __future__ import annotations


class RegistryError(Exception):
    """Base class of the errors of this package."""


class RejectedError(RegistryError):
    """A request is invalid or cannot be accepted now; it changed nothing, and a repetition fails again.

    The message is one sentence and is sent to the client.
    """


class ConflictError(RejectedError):
    """An update named an outdated generation of the instance; read the instance and decide again."""


class UnknownInstanceError(RejectedError):
    """No instance is registered under this id; register it."""


class StorageError(RejectedError):
    """A change could not be stored, for example on a full disk; retry once there is room."""


class UnavailableError(RegistryError):
    """There is no endpoint list to serve yet; retry after `retry_after_s` seconds, None if unknown."""

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class MalformedResponseError(RegistryError):
    """Another registry sent an invalid response; a later attempt may succeed."""


class RegistrationError(RegistryError):
    """A request of a registration failed. The message is the error text of the registry if it sent one."""


class RegistrationRejectedError(RegistrationError):
    """The registry rejected the request; a repetition fails again."""


class RegistryUnreachableError(RegistrationError):
    """No usable response within the allowed attempts; the request may be repeated later."""
