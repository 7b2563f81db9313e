"""Errors of the gateway, grouped by how a caller handles them."""


class GatewayError(Exception):
    """Base class of the gateway's own errors."""


class ConfigError(GatewayError):
    """The environment or the configuration is unusable; the text has one line."""


class RejectedSnapshotError(GatewayError):
    """A stored snapshot must not be used: it is damaged, too old, or of another gateway or other settings."""


class StaleEndpointListError(GatewayError):
    """A discovery address sent an endpoint list that is older than the one in use."""


class DiscoveryProtocolError(GatewayError, ValueError):
    """Discovery sent a malformed endpoint list or answered with an error.

    Also a ValueError, as the configuration may contain an endpoint list.
    """


class MalformedJsonError(GatewayError):
    """A stream of JSON objects has malformed data or an object that is too large."""


class LeaseServiceUnavailableError(GatewayError):
    """The lease service gave no usable answer; repeat the operations at another of its addresses."""


class TransferredRequestError(GatewayError):
    """A request that was transferred from another gateway cannot be read; release its lease."""
