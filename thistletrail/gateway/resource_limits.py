"""Divides the process's descriptors and memory among clients, servers and requests."""

import resource
from dataclasses import dataclass

from thistletrail.gateway.config import Config
from thistletrail.gateway.recent_request_ids import ID_BYTES, MIN_IDS

MIN_SOCKETS = 16  # with fewer, the gateway could not serve
RESERVED_SOCKETS = 32  # for the listener, discovery, peers, the event loop and the log
CLIENT_SOCKET_SHARE = 0.8  # the rest of the unreserved sockets is for servers
PROCESS_BYTES = 27 << 20  # of a process without requests, with all its connections
MIN_BUFFER_BYTES = 128 << 10  # a share that holds one command of the maximum size
MEMORY_SHARE = 1 / 8  # of the memory limit, the most for each kind of buffered bytes
MIN_CUSTOMERS = 1000
CUSTOMER_BYTES = 1000  # of a customer in the policy
# Of the memory beyond PROCESS_BYTES, the most for each kind: three kinds of buffers, and customers.
FREE_MEMORY_SHARE = 0.22


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The maximum numbers of sockets, and of buffered bytes, of one gateway process."""

    client_sockets: int
    server_sockets: int
    request_bytes: int  # of unanswered commands
    client_bytes: int  # of incomplete commands and unsent answers
    customers: int  # in the memory of the policy
    recent_ids: int  # of ended requests
    answer_bytes: int  # of incomplete answers from servers

    @classmethod
    def from_config(cls, config: Config) -> "ResourceLimits":
        """The limits of a configuration, within the system's limit on open descriptors."""
        descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = max(MIN_SOCKETS, min(config.sockets, descriptor_limit) - RESERVED_SOCKETS)
        client_sockets = round(sockets * CLIENT_SOCKET_SHARE)
        buffer_bytes = max_buffer_bytes(config.memory_mb << 20)
        return cls(
            client_sockets=client_sockets,
            server_sockets=sockets - client_sockets,
            request_bytes=buffer_bytes,
            client_bytes=buffer_bytes,
            customers=max(MIN_CUSTOMERS, buffer_bytes // 2 // CUSTOMER_BYTES),
            recent_ids=max(MIN_IDS, buffer_bytes // 4 // ID_BYTES),
            answer_bytes=buffer_bytes,
        )


def max_buffer_bytes(memory_bytes: int) -> int:
    """The maximum of each kind of buffered bytes, so that all together stay within the memory limit."""
    free_bytes = memory_bytes - PROCESS_BYTES
    share_bytes = round(min(memory_bytes * MEMORY_SHARE, free_bytes * FREE_MEMORY_SHARE))
    return max(MIN_BUFFER_BYTES, share_bytes)
