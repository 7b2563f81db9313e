"""Fault injection: begins and ends each fault of a scenario by scheduled calls on the run's clock."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, get_args

from thistletrail.policy.events import ServerState
from thistletrail.simulation.clock import MS, S
from thistletrail.simulation.endpoint_list import SERVING
from thistletrail.simulation.scenario import FaultKind, ScenarioFault
from thistletrail.simulation.servers import ScanServer

if TYPE_CHECKING:
    from thistletrail.simulation.clients import Customer
    from thistletrail.simulation.gateways import Gateway
    from thistletrail.simulation.run import SimulationRun

# Time from the end of a gateway's process to its next start in a planned restart, as of a real gateway.
RESTART_S = 0.4
# After SIGTERM, new connections still arrive for a time in this range (the protocol page).
LOAD_BALANCER_SETTLE_S = (0.2, 0.4)
# The age that a snapshot is given in addition, to make it stale.
STALE_SNAPSHOT_AGE_S = 3600
# A gateway drains for its longest deadline, but at least the minimum, and the extra time, as the gateway
# process does.
DRAIN_EXTRA_S, MIN_DRAIN_S = 0.5, 3.0
# A draining gateway is checked at this interval, and stopped this long after the end of its drain time.
DRAIN_CHECK_INTERVAL_S, DRAIN_SLACK_US = 0.05, 200 * MS
# A server that is removed drains for a time in this range (as in the site's `shrink`).
SERVER_DRAIN_S = (2.0, 5.4)
# In a rolling restart a tenth of the gateways restarts at a time.
RESTART_STEPS = 10
# The plan of customers that make one request each.
ONE_SHOT_PLAN = 0
# The registry knows of a drain at once, so only the publication of the list takes time.
DRAIN_REPORT_DELAY_S = (0.05, 0.5)


class FaultInjector:
    """Injects a scenario's faults. Each kind of fault is injected by the method of its name."""

    def __init__(self, run: SimulationRun) -> None:
        self.run, self.stream = run, run.streams["troubles"]
        self.replacement_count = 0

    def begin(self) -> None:
        """Schedule all faults of the scenario."""
        for fault in self.run.scenario.troubles:
            self.run.clock.at(self.run.start_us + round(fault.at_s * S), KINDS[fault.kind], self, fault)

    def after_s(self, delay_s: float, call: Callable[..., None], *args: object) -> None:
        """Schedule a call after a delay in seconds."""
        self.run.clock.after(delay_s * S, call, *args)

    def sample(self, values: list, share: float) -> list:
        """Return a random share of the values, rounded up."""
        count = min(len(values), math.ceil(len(values) * share - 1e-9))
        return self.stream.shuffled(values)[:count]

    def serving_servers(self) -> list[ScanServer]:
        """Return the servers that run and are not draining."""
        return [server for server in self.run.servers.values() if server.is_alive and not server.is_draining]

    # --- demand ---

    def burst(self, fault: ScenarioFault) -> None:
        """Raise the load of all customers by the share `size` of the usual load."""
        self.run.demand.set_load_factor(1 + fault.size)
        self.after_s(fault.for_s, self.run.demand.set_load_factor, 1.0)

    def hot_customers(self, fault: ScenarioFault) -> None:
        """Let one to three random customers together add `size` times the usual load."""
        demand = self.run.demand
        affected = [self.stream.choice(demand.customers) for _ in range(1 + self.stream.integer_below(3))]
        for customer in affected:
            customer.rate += fault.size * demand.in_quota_rate / len(affected)
            demand.restart_arrivals(customer)
        self.after_s(fault.for_s, self.end_hot_customers, affected)

    def end_hot_customers(self, affected: list[Customer]) -> None:
        """Set customers back to their usual rates."""
        for customer in affected:
            customer.rate = customer.usual_rate
            self.run.demand.restart_arrivals(customer)

    def one_shots(self, fault: ScenarioFault) -> None:
        """Let customers that make one request each add `size` times the usual load."""
        self.next_one_shot(fault, self.run.clock.now + round(fault.for_s * S))

    def next_one_shot(self, fault: ScenarioFault, until_us: int, must_request: bool = False) -> None:
        """Let one customer make its request if `must_request`, and schedule the next one."""
        demand = self.run.demand
        if self.run.clock.now >= min(until_us, self.run.end_us):
            return
        if must_request:
            customer = demand.add_customer(ONE_SHOT_PLAN, 0.0)
            demand.start_operation(customer)
            demand.customers.remove(customer)
        rate = fault.size * demand.in_quota_rate
        if rate > 0:
            self.after_s(self.stream.exponential(1 / rate), self.next_one_shot, fault, until_us, True)

    # --- gateways ---

    def kill_doors(self, fault: ScenarioFault) -> None:
        """Kill a share of the gateways; each restarts after a time from `back_s`."""
        running = [gateway for gateway in self.run.gateways if gateway.is_alive]
        for gateway in self.sample(running, fault.part):
            self.kill_gateway(gateway, fault)

    def kill_gateway(self, gateway: Gateway, fault: ScenarioFault) -> None:
        """Kill a gateway, keep, remove or age its snapshot as `state` says, and schedule its restart."""
        back_s = self.stream.uniform_in(fault.back_s)
        gateway.stop()
        if gateway.stored_snapshot and fault.state != "kept":
            stored_us, snapshot = gateway.stored_snapshot
            gateway.stored_snapshot = (
                (stored_us - STALE_SNAPSHOT_AGE_S * S, snapshot) if fault.state == "stale" else None
            )
        detection_s = self.stream.uniform_in(self.run.scenario.clients.notice_s)
        if detection_s < back_s:
            self.after_s(detection_s, self.run.clients.known_down.add, gateway.number)
        self.after_s(back_s, self.start_gateway, gateway)

    def start_gateway(self, gateway: Gateway) -> None:
        """Start a gateway again. The load balancer uses it as soon as it answers."""
        self.run.clients.known_down.discard(gateway.number)
        if not gateway.is_alive:
            gateway.start()
            self.run.accounting.last_restart_us = self.run.clock.now - self.run.start_us

    def restart_doors(self, fault: ScenarioFault) -> None:
        """Restart all gateways by SIGTERM, a tenth of them at a time."""
        gateways = self.sample(self.run.gateways, 1.0)
        step = math.ceil(len(gateways) / RESTART_STEPS)
        for number in range(0, len(gateways), step):
            delay_s = fault.for_s * number / len(gateways)
            self.after_s(delay_s, self.terminate, gateways[number : number + step])

    def terminate(self, gateways: list[Gateway]) -> None:
        """Start a graceful shutdown of gateways."""
        longest_s = max(self.run.clients.deadlines_us) / S
        drain_s = max(MIN_DRAIN_S, longest_s) + DRAIN_EXTRA_S
        for gateway in gateways:
            if gateway.is_alive:
                gateway.drain(round(drain_s * S))
                settle_s = self.stream.uniform_in(LOAD_BALANCER_SETTLE_S)
                self.after_s(settle_s, self.run.clients.known_down.add, gateway.number)
                self.check_drained(gateway, gateway.epoch, self.run.clock.now + round(drain_s * S))

    def check_drained(self, gateway: Gateway, epoch: int, latest_us: int) -> None:
        """End a draining process once all requests are answered, or when its time is up."""
        if gateway.epoch != epoch:
            return
        is_settled = gateway.number in self.run.clients.known_down
        if (is_settled and not gateway.open_requests) or self.run.clock.now > latest_us + DRAIN_SLACK_US:
            if gateway.stored_snapshot:  # a graceful shutdown stores a last snapshot
                gateway.store_snapshot(gateway.epoch)
            gateway.stop()
            self.after_s(RESTART_S, self.start_gateway, gateway)
        else:
            self.after_s(DRAIN_CHECK_INTERVAL_S, self.check_drained, gateway, epoch, latest_us)

    # --- servers ---

    def release(self, fault: ScenarioFault) -> None:
        """Replace the share `part` of the servers over `for_s`; each drains while its successor starts."""
        old = self.sample(self.serving_servers(), fault.part)
        for number, server in enumerate(old):
            self.after_s(fault.for_s * number / max(1, len(old)), self.replace_server, server)

    def replace_server(self, server: ScanServer) -> None:
        """Add a cold server under a new name, and drain the one that it replaces."""
        self.replacement_count += 1
        name = f"{server.name}r{self.replacement_count}"
        new_server = self.run.add_server(name, (server.zone, server.cell), cold=True)
        self.run.endpoint_list.report(new_server, SERVING, self.run.scenario.net.list_add_s)
        self.drain_server(server)

    def drain_server(self, server: ScanServer) -> None:
        """Start to drain a server, and remove it after its drain time."""
        if not server.is_alive or server.is_draining:
            return
        server.is_draining = True
        self.run.endpoint_list.report(server, ServerState.DRAINING, DRAIN_REPORT_DELAY_S)
        self.after_s(self.stream.uniform_in(SERVER_DRAIN_S), self.remove_server, server)

    def remove_server(self, server: ScanServer) -> None:
        """Stop a server and report its removal to the registry."""
        if server.is_alive:
            server.stop()
        self.run.endpoint_list.report(server, ServerState.GONE, self.run.scenario.net.list_gone_s)

    def shrink(self, fault: ScenarioFault) -> None:
        """Drain the share `part` of the servers over `for_s`, without replacement."""
        old = self.sample(self.serving_servers(), fault.part)
        for number, server in enumerate(old):
            self.after_s(fault.for_s * number / max(1, len(old)), self.drain_server, server)

    def zone_loss(self, fault: ScenarioFault) -> None:
        """Stop a zone's servers, which restart cold, and kill `part` of its gateways.

        With a `size` above 0.5 the machines vanish without a reset, else only the processes die. In a fleet
        of one zone, 30% of the servers are stopped.
        """
        is_silent = fault.size > 0.5
        affected = [server for server in self.serving_servers() if server.zone == fault.zone]
        if self.run.scenario.net.zones == 1:
            affected = self.sample(self.serving_servers(), 0.3)
        delay_range_s = (
            self.run.scenario.net.list_silent_s if is_silent else self.run.scenario.net.list_gone_s
        )
        for server in affected:
            self.run.stop_server(server, is_silent)
            if fault.for_s > delay_range_s[0]:
                self.run.endpoint_list.report(server, ServerState.GONE, delay_range_s)
        self.after_s(fault.for_s, self.start_servers, affected)
        gateways = [
            gateway for gateway in self.run.gateways if gateway.zone == fault.zone and gateway.is_alive
        ]
        for gateway in self.sample(gateways, fault.part) if fault.part else []:
            self.kill_gateway(gateway, fault)

    def start_servers(self, affected: list[ScanServer]) -> None:
        """Start those of the servers that are stopped; they are cold."""
        for server in affected:
            if not server.is_alive:
                self.run.unresponsive_servers.discard(server.name)
                server.start()
                self.run.endpoint_list.report(server, SERVING, self.run.scenario.net.list_add_s)

    def zone_cut(self, fault: ScenarioFault) -> None:
        """Isolate a zone for `for_s`."""
        isolated_zones = self.run.network.isolated_zones
        isolated_zones.add(fault.zone)
        self.after_s(fault.for_s, isolated_zones.discard, fault.zone)

    def silent(self, fault: ScenarioFault) -> None:
        """Make the share `part` of the servers unreachable for `for_s`; they lose no work."""
        names = {server.name for server in self.sample(self.serving_servers(), fault.part)}
        self.run.network.unreachable_servers |= names
        self.after_s(fault.for_s, self.run.network.unreachable_servers.difference_update, names)

    def bad(self, fault: ScenarioFault, fails_fast: bool = False) -> None:
        """Let the share `part` of the servers answer the share `size` of their requests with errors."""
        affected = self.sample(self.serving_servers(), fault.part)
        for server in affected:
            server.error_share, server.fails_fast = fault.size, fails_fast
        self.after_s(fault.for_s, self.end_errors, affected)

    def errors_fast(self, fault: ScenarioFault) -> None:
        """Let servers answer with errors as `bad` does, but at once, without having done the work."""
        self.bad(fault, fails_fast=True)

    def end_errors(self, affected: list[ScanServer]) -> None:
        """End the errors of servers."""
        for server in affected:
            server.error_share, server.fails_fast = 0.0, False

    def slow(self, fault: ScenarioFault) -> None:
        """Make the share `part` of the servers slower by the factor `size`."""
        affected = self.sample(self.serving_servers(), fault.part)
        self.set_slowdown(affected, max(1.0, fault.size))
        self.after_s(fault.for_s, self.set_slowdown, affected, 1.0)

    def set_slowdown(self, affected: list[ScanServer], factor: float) -> None:
        """Divide the speed of servers by a factor from now on."""
        for server in affected:
            server.advance()
            server.slowdown = factor
            if server.is_alive:
                server.schedule_step()

    # --- network and endpoint lists ---

    def messages_lost(self, fault: ScenarioFault) -> None:
        """Lose the share `size` of the peer messages."""
        self.set_message_loss(min(1.0, fault.size))
        self.after_s(fault.for_s, self.set_message_loss, 0.0)

    def set_message_loss(self, share: float) -> None:
        """Set the share of peer messages that are lost in addition to the usual loss."""
        self.run.network.message_loss = share

    def drop_answers(self, fault: ScenarioFault) -> None:
        """Lose the share `size` of the servers' answers."""
        self.set_answer_loss(min(1.0, fault.size))
        self.after_s(fault.for_s, self.set_answer_loss, 0.0)

    def set_answer_loss(self, share: float) -> None:
        """Set the share of the servers' answers that are lost."""
        self.run.network.answer_loss = share

    def lists_late(self, fault: ScenarioFault) -> None:
        """Delay changes of the endpoint list by `size` seconds, without changing their order."""
        self.run.endpoint_list.extra_delay_us = round(fault.size * S)
        self.after_s(fault.for_s, self.reduce_list_delay)

    def reduce_list_delay(self) -> None:
        """Reduce the extra delay in small steps, so that no change overtakes one that was sent before."""
        endpoint_list = self.run.endpoint_list
        step_us = 20 * MS
        endpoint_list.extra_delay_us = max(0, endpoint_list.extra_delay_us - step_us)
        if endpoint_list.extra_delay_us:
            self.after_s(step_us / S, self.reduce_list_delay)


KINDS: dict[str, Callable[[FaultInjector, ScenarioFault], None]] = {
    kind: getattr(FaultInjector, kind) for kind in get_args(FaultKind)
}
