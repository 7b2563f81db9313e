"""The gateway process: its wiring, its start, its reload and its graceful shutdown. No decision is made here.

Everything runs on one event loop and one monotonic clock. `policy_driver` gives events to the policy and
carries out its actions, `exchanges` keeps the requests, and clients, servers, peers and discovery have a
module each.
"""

import asyncio
import logging
import random
from dataclasses import fields, replace
from typing import Protocol

from thistletrail.gateway import cost_counters as costs
from thistletrail.gateway.backends import Backends
from thistletrail.gateway.clients import Clients, CommandParser
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

FIRST_LIST_S = 0.3  # how long the start waits for an endpoint list that is newer than the known one


class Takeover(WorkLeases, TransferableWork, Protocol):
    """Work that other gateways can take over, as the gateway uses it."""


class GatewayServer:
    """One gateway: clients, servers, discovery and peers around one policy."""

    def __init__(self, config: Config) -> None:
        """Build all parts; needs the running loop. Nothing is opened before `start`."""
        self.config = config
        self.settings = config.settings
        self.address = config.listen
        self.loop = asyncio.get_running_loop()
        self.costs = costs.CostCounters(config.time_stages)
        self.takeover: Takeover | None = None
        limits = ResourceLimits.of(config)
        self.policy = PolicyEngine(config.settings)
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
            config, self.parser, self.driver, self.backends, self.costs, limits.request_bytes
        )
        self.clients = self.new_clients(limits)
        self.peers = PeerTransport(config.peers, config.settings.gateway_index, self.driver.post, self.costs)
        self.driver.connect(self.action_handlers(), self.exchanges)
        self.catalog = EndpointListCodec(config)
        self.discovery = self.new_discovery()

    # --- wiring ---

    def new_clients(self, limits: ResourceLimits) -> Clients:
        """The client connections, whose commands go to the exchanges."""
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
        """The watch on discovery, which goes on from the configured endpoint list, if there is one."""
        known = self.read_known_list()
        return DiscoveryClient(
            self.config.discovery,
            self.catalog,
            known.event.version if known else 0,
            self.on_endpoint_update,
            self.backends.spawn,
            self.costs,
            random.Random(self.settings.seed),
        )

    def action_handlers(self) -> ActionHandlers:
        """What carries out each type of the policy's actions."""
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
            WatchEndpoints: lambda action: None,
            FetchEndpoints: lambda action: None,  # the watch is always on
        }

    def enable_takeover(self, takeover: Takeover) -> None:
        """Record requests at the lease service from now on, so that other gateways can take them over."""
        self.takeover = takeover
        self.exchanges.work_leases = takeover

    def post(self, event: Event) -> None:
        """Queue an event for the policy."""
        self.driver.post(event)

    # --- endpoint lists ---

    def read_known_list(self) -> EndpointListUpdate | None:
        """Use the endpoint list of the configuration; None where there is none or it is malformed."""
        if not self.config.known:
            return None
        try:
            update = self.catalog.decode_update(self.config.known, EndpointUpdateKind.CACHED)
        except (KeyError, TypeError, ValueError) as error:
            log.error("the known list makes no sense: %s", error)
            return None
        self.on_endpoint_update(update)
        return update

    def known_list(self) -> dict[str, object]:
        """The endpoint list as it is known now, in discovery's form."""
        pools = self.backends.pools
        entries = [
            self.catalog.encode_entry(server.entry, pools[name].address)
            for name, server in self.policy.servers_by_name.items()
            if name in pools
        ]
        return {"generation": self.discovery.version or 0, "reset": True, "instances": entries}

    def on_endpoint_update(self, update: EndpointListUpdate) -> None:
        """DiscoveryClient has sent a full list or changes to it."""
        is_full = update.event.kind is not EndpointUpdateKind.CHANGES
        states = {server.name: server.state for server in update.event.servers}
        self.backends.update(states, update.addresses, is_full)
        self.driver.post(update.event)

    # --- start and end ---

    async def start(self) -> None:
        """Serve; returns once clients are answered. An address that cannot be bound is an OSError."""
        self.backends.sweep()
        if self.settings.may_message_peers and self.config.peer_listen:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)
        self.discovery.start()
        try:
            await asyncio.wait_for(self.discovery.first_update.wait(), FIRST_LIST_S)
        except TimeoutError:
            log.warning("discovery is silent; starting with the known list")
        self.address = self.clients.listen(self.config.listen)

    def reconfigure(self, config: Config) -> None:
        """Apply what can change while the gateway serves: the address of discovery."""
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
        """Close all sockets, whatever is open on them."""
        self.peers.close()
        self.clients.close()
        self.backends.close()

    def cost_line(self) -> str:
        """What the requests so far have cost, as a line for the log."""
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
