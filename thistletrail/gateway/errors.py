"""The errors of a gateway, below one base class; the text of each is one plain line."""


class GatewayError(Exception):
    """Base of all errors that the gateway itself raises."""


class ConfigError(GatewayError):
    """The environment, the configuration file or a folder that it names cannot be used."""


class RejectedSnapshotError(GatewayError):
    """A stored snapshot is not to be used: damaged, of another gateway or settings, or too old."""


class StaleEndpointListError(GatewayError):
    """A discovery address sent an older endpoint list than the one that is in use."""


class DiscoveryProtocolError(GatewayError, ValueError):
    """Discovery sent what is no endpoint list, or answered with an error. A ValueError as well, as an
    endpoint list is also a value of the configuration."""


class MalformedJsonError(GatewayError):
    """A stream of JSON objects has bytes that can be no part of one, or an object that is too large."""
