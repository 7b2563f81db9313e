"""Work that this gateway takes over: its request is posted to the policy as one that was admitted before.

The request is either transferred by the lease service, then decoded and opened here, or a client of this
gateway has repeated it, so that it is already open.
"""

from __future__ import annotations

import logging
from dataclasses import replace

from thistletrail.gateway.backends import now_us
from thistletrail.gateway.command_parser import CommandParser
from thistletrail.gateway.deadline import ANSWER_MARGIN_US, Deadline
from thistletrail.gateway.errors import TransferredRequestError
from thistletrail.gateway.exchange import EventSink
from thistletrail.gateway.takeover.client import WorkLeaseClient
from thistletrail.gateway.takeover.detached_reply import DetachedReply
from thistletrail.gateway.takeover.host import Requests, ServerDirectory
from thistletrail.gateway.takeover.messages import new_work_item, place_of_server, read_transferred_request
from thistletrail.gateway.takeover.work_item import WorkItem
from thistletrail.gateway.takeover.work_table import WorkTable
from thistletrail.leasing.messages import TransferredWork
from thistletrail.policy.actions import FailRequest

log = logging.getLogger(__name__)


class WorkTransfer:
    """Continues work whose earlier owner has lost its lease or released the work."""

    def __init__(
        self,
        table: WorkTable,
        client: WorkLeaseClient,
        requests: Requests,
        events: EventSink,
        parser: CommandParser,
        directory: ServerDirectory,
    ) -> None:
        self.table = table
        self.client = client
        self.holder = client.holder
        self.requests = requests
        self.events = events
        self.parser = parser
        self.directory = directory

    def accept(self, transferred: TransferredWork) -> None:
        """Continue transferred work under the fence that the lease service gave this gateway.

        Work that cannot be decoded is released. If its request cannot be opened, as the id is in use or too
        many requests are open, it is released for transfer.
        """
        self.table.counts.transferred += 1
        self.client.wake()  # acknowledges that the work has arrived
        has_never_run = not transferred.server
        try:
            command = read_transferred_request(self.parser, transferred.request)
        except TransferredRequestError as error:
            log.warning("a transferred request cannot be read: %s (fence %d)", error, transferred.fence)
            self.holder.release(transferred.name, never_ran=has_never_run)
            return
        reply = DetachedReply(f"{command.id}.{transferred.fence}")
        # `Deadline.start` subtracts the margin, but the gateway that accepted the request already did so.
        deadline = Deadline.start(transferred.left_ms * 1000 + ANSWER_MARGIN_US, 0, now_us())
        exchange = self.requests.open_transferred(command, reply, deadline)
        if exchange is None:
            self.holder.release(transferred.name, transfer=True, never_ran=has_never_run)
            return
        item = new_work_item(exchange, self.requests.settings)
        item.fence = transferred.fence
        item.may_have_run_before = not has_never_run
        self.table.add(item)
        self.table.by_name[item.name] = item
        log.info("continues request %s of another gateway (fence %d)", command.id, transferred.fence)
        self.post_arrival(item, transferred.server, transferred.place)

    def resume(self, item: WorkItem, server: str, place: str) -> None:
        """Run an open request of a client, whose work this gateway has got from an earlier owner.

        `server` and `place` say where the work may have run; `server` is empty if it has not.
        """
        self.table.stop_waiting(item)
        item.exchange.attempt_count = 0
        self.post_arrival(item, server, place)

    def post_arrival(self, item: WorkItem, server: str, place: str) -> None:
        """Post the request to the policy as one that was admitted before, by the work's earlier owner.

        The request fails if it may have run at a place of which the policy knows no server.
        """
        exchange = item.exchange
        request_id = item.request_id
        ran_on_server = self.find_server(exchange.command.class_index, server, place) if server else ""
        if server and not ran_on_server:
            self.table.release(request_id)
            self.requests.fail(FailRequest(request_id))
            return
        arrival = exchange.command.build_arrival(remaining_us=exchange.deadline.remaining_us(now_us()))
        self.events.post(replace(arrival, id=request_id, is_taken_over=True, ran_on_server=ran_on_server))

    def find_server(self, class_index: int, server: str, place: str) -> str:
        """Return `server` if the policy knows it, else a server of `place`, else the empty string."""
        known_servers = self.directory.servers_by_name
        if server in known_servers:
            return server
        settings = self.requests.settings
        for name, known_server in known_servers.items():
            if place_of_server(settings, class_index, known_server.entry) == place:
                return name
        return ""
