"""Errors of the gateway, by what a caller can do about them."""


class GatewayError(Exception):
    """Base class of the errors that the gateway itself raises."""


class ConfigError(GatewayError):
    """The environment or the configuration is not usable; the text is one plain line."""


class RejectedSnapshotError(GatewayError):
    """A stored snapshot is not to be used: damaged, of another gateway or settings, or too old."""


class StaleEndpointListError(GatewayError):
    """A discovery address sent an older endpoint list than the one that is in use."""


class DiscoveryProtocolError(GatewayError, ValueError):
    """Discovery sent what is no endpoint list, or answered with an error.

    A ValueError as well, as an endpoint list is also a value of the configuration.
    """


class MalformedJsonError(GatewayError):
    """A stream of JSON objects has bytes that can be no part of one, or an object that is too large."""


class LeaseServiceUnavailableError(GatewayError):
    """The lease service gave no usable answer: call another of its addresses, and repeat the operations."""


class TransferredRequestError(GatewayError):
    """A request that was transferred from another gateway cannot be read: release its lease."""
