"""Errors of the registry, by what a caller can do about them."""

from __future__ import annotations


class RegistryError(Exception):
    """Base class of the errors of this package."""


class RejectedError(RegistryError):
    """An input is invalid or not acceptable now; nothing has changed, and the same input fails again.

    The message is one sentence for the sender.
    """


class ConflictError(RejectedError):
    """An update went by an older generation than the instance has; read it again and decide anew."""


class UnknownInstanceError(RejectedError):
    """There is no such instance; register it."""


class StorageError(RejectedError):
    """A change could not be stored, for example on a full disk; retry once there is room."""


class UnavailableError(RegistryError):
    """There is no endpoint list to answer with yet; retry after `retry_after_s` seconds, if that is known."""

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class MalformedResponseError(RegistryError):
    """Another registry answered with something that cannot be used; a later attempt may succeed."""


class RegistrationError(RegistryError):
    """A registration call failed. The message is one sentence, the registry's own where it sent one."""


class RegistrationRejectedError(RegistrationError):
    """The registry rejected the call; the same call fails again."""


class RegistryUnreachableError(RegistrationError):
    """No usable answer within the allowed attempts; the call may be repeated later."""
