"""Divides the process's descriptors and memory among clients, servers and requests."""

import resource
from dataclasses import dataclass

from thistletrail.gateway.config import Config

MIN_SOCKETS = 16  # with fewer, the gateway could not serve
RESERVED_SOCKETS = 32  # for the listener, discovery, peers, the event loop and the log
CLIENT_SOCKET_SHARE = 0.8  # the rest of the unreserved sockets is for servers
REQUEST_MEMORY_SHARE = 1 / 8  # for unanswered commands
CLIENT_MEMORY_SHARE = 1 / 8  # for incomplete commands and unsent answers
ANSWER_MEMORY_SHARE = 1 / 8  # for incomplete answers from servers


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The maximum numbers of sockets, and of buffered bytes, of one gateway process."""

    client_sockets: int
    server_sockets: int
    request_bytes: int
    client_bytes: int
    answer_bytes: int

    @classmethod
    def from_config(cls, config: Config) -> "ResourceLimits":
        """The limits of a configuration, within the system's limit on open descriptors."""
        descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = max(MIN_SOCKETS, min(config.sockets, descriptor_limit) - RESERVED_SOCKETS)
        client_sockets = round(sockets * CLIENT_SOCKET_SHARE)
        memory_bytes = config.memory_mb << 20
        return cls(
            client_sockets=client_sockets,
            server_sockets=sockets - client_sockets,
            request_bytes=round(memory_bytes * REQUEST_MEMORY_SHARE),
            client_bytes=round(memory_bytes * CLIENT_MEMORY_SHARE),
            answer_bytes=round(memory_bytes * ANSWER_MEMORY_SHARE),
        )
