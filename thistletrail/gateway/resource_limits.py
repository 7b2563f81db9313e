"""How the process's descriptors and memory are divided between clients, servers and requests."""

import resource
from dataclasses import dataclass

from thistletrail.gateway.config import Config

MIN_SOCKETS = 16  # below which nothing could be served
RESERVED_SOCKETS = 32  # for listening, discovery, peers, the loop and log
CLIENT_SHARE = 0.8  # of the other sockets
REQUEST_MEMORY_SHARE = 1 / 8  # for commands that are not answered yet
CLIENT_MEMORY_SHARE = 1 / 8  # for incomplete commands, and answers that clients do not read
ANSWER_MEMORY_SHARE = 1 / 8  # for incomplete answers of servers


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Upper bounds of one gateway process: numbers of sockets, and bytes."""

    client_sockets: int
    server_sockets: int
    request_bytes: int
    client_bytes: int
    answer_bytes: int

    @classmethod
    def from_config(cls, config: Config) -> "ResourceLimits":
        """The limits of a configuration, within the descriptors that the system grants the process."""
        descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = max(MIN_SOCKETS, min(config.sockets, descriptor_limit) - RESERVED_SOCKETS)
        client_sockets = round(sockets * CLIENT_SHARE)
        memory_bytes = config.memory_mb << 20
        return cls(
            client_sockets=client_sockets,
            server_sockets=sockets - client_sockets,
            request_bytes=round(memory_bytes * REQUEST_MEMORY_SHARE),
            client_bytes=round(memory_bytes * CLIENT_MEMORY_SHARE),
            answer_bytes=round(memory_bytes * ANSWER_MEMORY_SHARE),
        )
