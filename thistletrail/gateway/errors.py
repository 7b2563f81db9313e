"""Errors of the gateway, by what a caller can do about them."""


class GatewayError(Exception):
    """Base class of the errors that the gateway itself raises."""


class ConfigError(GatewayError):
    """The environment or the configuration is not usable; the text is one plain line."""


class LeaseServiceUnavailableError(GatewayError):
    """The lease service gave no usable answer: call another of its addresses, and repeat the operations."""


class TransferredRequestError(GatewayError):
    """A request that was transferred from another gateway cannot be read: release its lease."""
