"""What a gateway says to the lease service about a request, and how it reads one of another gateway's."""

from dataclasses import replace

import pytest

from tests.sockets import CONFIG, SETTINGS, query, submit
from thistletrail.gateway.clients import CommandParser
from thistletrail.gateway.deadline import Deadline
from thistletrail.gateway.errors import GatewayError, TransferredRequestError
from thistletrail.gateway.exchange import Exchange
from thistletrail.gateway.resp import CommandReader
from thistletrail.gateway.takeover.detached_reply import DetachedReply
from thistletrail.gateway.takeover.messages import (
    new_work_item,
    placement,
    read_transferred_request,
    request_digest,
)
from thistletrail.policy.events import Server, ServerState
from thistletrail.policy.settings import IdempotencyScope

PARSER = CommandParser(CONFIG)


def test_request_without_a_key_is_named_by_its_id() -> None:
    command = read_transferred_request(PARSER, submit("a1"))
    exchange = Exchange(command, DetachedReply("a1.7"), Deadline.start(command.wait_us, 0, 0))
    item = new_work_item(exchange, SETTINGS)
    assert item.name == "#a1"
    assert item.request_id == "a1.7"
    assert item.is_transferred and item.has_never_run


@pytest.mark.parametrize(
    "data", [submit("a1")[:-3], b"", b"?\r\n", b"*1\r\n$3\r\nODD\r\n"], ids=["cut", "empty", "odd", "unknown"]
)
def test_transferred_request_that_cannot_be_read_is_a_typed_error(data: bytes) -> None:
    with pytest.raises(TransferredRequestError) as raised:
        read_transferred_request(PARSER, data)
    assert isinstance(raised.value, GatewayError)


def test_digest_is_that_of_the_content_and_not_of_the_time_left() -> None:
    def arguments(data: bytes) -> list[bytes]:
        reader = CommandReader()
        reader.feed(data)
        return reader.next()

    first = arguments(submit("a1", body=b"x"))
    values = {"c": "settle", "t": "team", "units": "2"}
    assert request_digest(first, values) == request_digest(first, {**values, "d": "17", "r": "1"})
    assert request_digest(first, values) != request_digest(first, {**values, "units": "3"})
    assert request_digest(first, values) != request_digest(arguments(submit("a1", body=b"y")), values)
    assert request_digest(first, values) != request_digest(arguments(query("a1")), values)


@pytest.mark.parametrize(
    ("scope", "place"),
    [(IdempotencyScope.ZONE, "zone 2"), (IdempotencyScope.CELL, "cell 5"), (IdempotencyScope.ALL, "all")],
)
def test_place_is_where_repeats_of_a_key_are_dropped(scope: IdempotencyScope, place: str) -> None:
    rule = replace(SETTINGS.classes[0], idempotency_scope=scope)
    settings = replace(SETTINGS, classes=(rule, *SETTINGS.classes[1:]))
    assert placement(settings, 0, Server("s1", 2, 0, 5, ServerState.UP)) == place
