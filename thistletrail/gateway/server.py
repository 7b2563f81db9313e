"""The gateway: wiring of its parts, start, reload and graceful shutdown. It makes no decisions.

Everything runs on one event loop and one monotonic clock. `policy_driver` passes events to the policy and
carries out its actions, `exchanges` holds the open requests, and clients, servers, peers and discovery have a
module each.
"""

import asyncio
import logging
import random
from dataclasses import fields, replace
from typing import Protocol

from thistletrail.gateway import cost_counters as costs
from thistletrail.gateway.address_owners import AddressOwners
from thistletrail.gateway.backends import Backends
from thistletrail.gateway.clients import Clients
from thistletrail.gateway.command_parser import CommandParser
from thistletrail.gateway.config import Config
from thistletrail.gateway.discovery_client import DiscoveryClient
from thistletrail.gateway.endpoint_list import EndpointListCodec, EndpointListUpdate
from thistletrail.gateway.exchange import WorkLeases
from thistletrail.gateway.exchanges import Exchanges
from thistletrail.gateway.graceful_shutdown import GracefulShutdown, TransferableWork
from thistletrail.gateway.peer_transport import PeerTransport
from thistletrail.gateway.policy_driver import ActionHandlers, PolicyDriver
from thistletrail.gateway.resource_limits import ResourceLimits
from thistletrail.policy.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from thistletrail.policy.engine import PolicyEngine
from thistletrail.policy.events import EndpointUpdateKind, Event

log = logging.getLogger(__name__)

FIRST_LIST_TIMEOUT_S = 0.3  # then the gateway starts with the known list, or without servers if it has none


class Takeover(WorkLeases, TransferableWork, Protocol):
    """Records requests at the lease service so that other gateways can take them over."""


class GatewayServer:
    """One gateway: the connections to clients, servers, discovery and peers, and the policy."""

    def __init__(self, config: Config) -> None:
        """Create all parts; requires a running event loop. `start` opens the sockets."""
        self.config = config
        self.settings = config.settings
        self.address = config.listen
        self.loop = asyncio.get_running_loop()
        self.costs = costs.CostCounters(config.time_stages)
        self.takeover: Takeover | None = None
        limits = ResourceLimits.from_config(config)
        self.policy = PolicyEngine(config.settings, max_customers=limits.customers)
        self.driver = PolicyDriver(self.policy, self.costs.stages)
        self.backends = Backends(
            config.conn_idle_us,
            config.connect_timeout_us,
            limits.server_sockets,
            self.costs,
            limits.answer_bytes,
        )
        self.parser = CommandParser(config)
        self.exchanges = Exchanges(
            config,
            self.parser,
            self.driver,
            self.backends,
            self.costs,
            limits.request_bytes,
            limits.recent_ids,
        )
        self.clients = self.new_clients(limits)
        self.peers = PeerTransport(config.peers, config.settings.gateway_index, self.driver.post, self.costs)
        self.driver.connect(self.action_handlers(), self.exchanges)
        self.endpoint_codec = EndpointListCodec(config)
        self.address_owners = AddressOwners()
        self.discovery = self.new_discovery()

    # --- wiring ---

    def new_clients(self, limits: ResourceLimits) -> Clients:
        """Create the handler of client connections, which passes commands to the exchanges."""
        return Clients(
            limits.client_sockets,
            limits.client_bytes,
            self.exchanges.on_command,
            self.exchanges.on_client_disconnected,
            self.backends.spawn,
            self.costs,
            lambda: self.driver.timer_due_us,
        )

    def new_discovery(self) -> DiscoveryClient:
        """Create the watch on discovery; it continues from the known endpoint list, if any."""
        known = self.apply_known_list()
        return DiscoveryClient(
            self.config.discovery,
            self.endpoint_codec,
            known.event.version if known else 0,
            self.on_endpoint_update,
            self.backends.spawn,
            self.costs,
            random.Random(self.settings.seed),
        )

    def action_handlers(self) -> ActionHandlers:
        """The handler of each type of the policy's actions."""
        stages = self.costs.stages
        return {
            StartAttempt: stages.wrap(costs.BACKENDS, self.exchanges.start_attempt),
            CancelAttempt: self.exchanges.cancel_attempt,
            RejectRequest: self.exchanges.reject,
            FailRequest: self.exchanges.fail,
            SetTimer: self.driver.set_timer,
            WriteLog: lambda action: log.info("%s", action.text),
            SendPeerMessage: stages.wrap(costs.PEERS, self.peers.send),
            CloseIdleConnections: lambda action: self.backends.close_idle(action.server),
            # The watch on discovery is always open.
            WatchEndpoints: lambda action: None,
            FetchEndpoints: lambda action: None,
        }

    def enable_takeover(self, takeover: Takeover) -> None:
        """Record requests at the lease service from now on, so that other gateways can take them over."""
        self.takeover = takeover
        self.exchanges.work_leases = takeover

    def post(self, event: Event) -> None:
        """Queue an event for the policy."""
        self.driver.post(event)

    # --- endpoint lists ---

    def apply_known_list(self) -> EndpointListUpdate | None:
        """Apply the known endpoint list, that of the configuration file or else of a stored snapshot.

        Returns None if there is none or it is malformed.
        """
        if not self.config.known:
            return None
        try:
            update = self.endpoint_codec.decode_update(self.config.known, EndpointUpdateKind.CACHED)
        except (KeyError, TypeError, ValueError) as error:
            log.error("the known list makes no sense: %s", error)
            return None
        self.on_endpoint_update(update)
        return update

    def current_list(self) -> dict[str, object]:
        """The current endpoint list, in discovery's format, with the servers that have a connection pool."""
        pools = self.backends.pools
        entries = [
            self.endpoint_codec.encode_entry(server.entry, pools[name].address)
            for name, server in self.policy.servers_by_name.items()
            if name in pools
        ]
        return {"generation": self.discovery.version or 0, "reset": True, "instances": entries}

    def on_endpoint_update(self, update: EndpointListUpdate) -> None:
        """Apply a complete endpoint list, or changes to it."""
        update = self.address_owners.resolve(update)
        is_full = update.event.kind is not EndpointUpdateKind.CHANGES
        states = {server.name: server.state for server in update.event.servers}
        self.backends.update(states, update.addresses, is_full)
        self.close_connections_to_earlier_processes(update)
        self.driver.post(update.event)

    def close_connections_to_earlier_processes(self, update: EndpointListUpdate) -> None:
        """Close the idle connections to instances that the update shows to have started again.

        They lead to the process before, whose machine may have vanished without closing them. A request
        on one is reset by the new process, and one of an unsafe class cannot be retried.
        """
        for server in update.event.servers:
            known = self.policy.servers_by_name.get(server.name)
            if known and known.entry.started_us != server.started_us:
                self.backends.close_idle(server.name)

    # --- start and end ---

    async def start(self) -> None:
        """Open all sockets; returns once clients are served. Raises OSError if an address cannot be bound."""
        self.backends.sweep()
        if self.settings.may_message_peers and self.config.peer_listen:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)
        self.discovery.start()
        try:
            await asyncio.wait_for(self.discovery.first_update.wait(), FIRST_LIST_TIMEOUT_S)
        except TimeoutError:
            log.warning("discovery is silent; starting with the known list")
        self.address = self.clients.listen(self.config.listen)

    def reconfigure(self, config: Config) -> None:
        """Apply the addresses of discovery, the only setting that can change without a restart.

        Logs the names of other settings that have changed, except the seed and the known endpoint list, which
        may be that of a stored snapshot.
        """
        comparable = replace(
            config,
            discovery=self.config.discovery,
            known=self.config.known,
            settings=replace(config.settings, seed=self.settings.seed),
        )
        changed = [
            field.name
            for field in fields(comparable)
            if getattr(comparable, field.name) != getattr(self.config, field.name)
        ]
        if changed:
            log.warning("a restart is needed for new values of: %s", ", ".join(changed))
        addresses = ", ".join(f"{host}:{port}" for host, port in config.discovery)
        log.info("takes over the configuration: discovery at %s", addresses)
        self.discovery.change_addresses(config.discovery)

    async def drain(self) -> None:
        """Shut down gracefully, then close all sockets."""
        shutdown = GracefulShutdown(self.settings, self.exchanges, self.clients, self.driver)
        await shutdown.run(self.takeover)
        self.close()

    def close(self) -> None:
        """Close all sockets at once, also those with open requests."""
        self.peers.close()
        self.clients.close()
        self.backends.close()

    def cost_line(self) -> str:
        """The `costs` log line: what all requests so far have cost."""
        buffered_bytes = {
            "requests": self.exchanges.buffered_bytes,
            "clients": self.clients.buffered_bytes(),
        }
        descriptors = {
            "clients": self.clients.sockets,
            "listener": int(self.clients.listener is not None),
            "backends": self.backends.connection_count(),
            "discovery": self.discovery.sockets,
            "peers": int(self.peers.transport is not None),
        }
        list_age_s = self.discovery.age_s()
        ages_s = {"list": round(list_age_s, 1)} if list_age_s >= 0 else {}
        return costs.to_log_line(costs.report(self.costs, buffered_bytes, descriptors, ages_s))
