"""Tests of work item names, digests and places, and of decoding transferred requests."""

from dataclasses import replace

import pytest

from tests.sockets import CONFIG, SETTINGS, query_command, submit_command
from thistletrail.gateway.command_parser import CommandParser
from thistletrail.gateway.deadline import Deadline
from thistletrail.gateway.errors import GatewayError, TransferredRequestError
from thistletrail.gateway.exchange import Exchange
from thistletrail.gateway.resp import CommandReader
from thistletrail.gateway.takeover.detached_reply import DetachedReply
from thistletrail.gateway.takeover.messages import (
    new_work_item,
    place_of_server,
    read_transferred_request,
    request_digest,
)
from thistletrail.policy.events import Server, ServerState
from thistletrail.policy.settings import IdempotencyScope

PARSER = CommandParser(CONFIG)


def test_work_item_of_a_request_without_a_key_is_named_by_its_id() -> None:
    command = read_transferred_request(PARSER, submit_command("a1"))
    exchange = Exchange(command, DetachedReply("a1.7"), Deadline.start(command.wait_us, 0, 0))
    item = new_work_item(exchange, SETTINGS)
    assert item.name == "#a1"
    assert item.request_id == "a1.7"
    assert item.is_transferred and item.has_never_run


@pytest.mark.parametrize(
    "data",
    [submit_command("a1")[:-3], b"", b"?\r\n", b"*1\r\n$3\r\nODD\r\n"],
    ids=["cut", "empty", "odd", "unknown"],
)
def test_unreadable_transferred_request_raises_transferred_request_error(data: bytes) -> None:
    with pytest.raises(TransferredRequestError) as raised:
        read_transferred_request(PARSER, data)
    assert isinstance(raised.value, GatewayError)


def test_digest_depends_on_the_content_and_not_on_time_or_retry_fields() -> None:
    def parse_arguments(data: bytes) -> list[bytes]:
        reader = CommandReader()
        reader.feed(data)
        return reader.next()

    arguments = parse_arguments(submit_command("a1", body=b"x"))
    values = {"c": "settle", "t": "team", "units": "2"}
    assert request_digest(arguments, values) == request_digest(arguments, {**values, "d": "17", "r": "1"})
    assert request_digest(arguments, values) != request_digest(arguments, {**values, "units": "3"})
    assert request_digest(arguments, values) != request_digest(
        parse_arguments(submit_command("a1", body=b"y")), values
    )
    assert request_digest(arguments, values) != request_digest(parse_arguments(query_command("a1")), values)


@pytest.mark.parametrize(
    ("scope", "place"),
    [(IdempotencyScope.ZONE, "zone 2"), (IdempotencyScope.CELL, "cell 5"), (IdempotencyScope.ALL, "all")],
)
def test_place_is_the_group_of_servers_that_deduplicate_together(scope: IdempotencyScope, place: str) -> None:
    request_class = replace(SETTINGS.classes[0], idempotency_scope=scope)
    settings = replace(SETTINGS, classes=(request_class, *SETTINGS.classes[1:]))
    assert place_of_server(settings, 0, Server("s1", 2, 0, 5, ServerState.SERVING)) == place
