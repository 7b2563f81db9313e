"""Builds the lease service's messages about a request, and decodes transferred requests."""

from __future__ import annotations

import hashlib

from thistletrail.gateway.backends import Attempt, now_us
from thistletrail.gateway.command_parser import Command, CommandError, CommandParser, read_fields
from thistletrail.gateway.errors import TransferredRequestError
from thistletrail.gateway.exchange import Exchange
from thistletrail.gateway.resp import CommandReader, ProtocolError, encode
from thistletrail.gateway.takeover.work_item import WorkItem
from thistletrail.leasing.messages import AttemptWork, BeginWork, WorkEffect
from thistletrail.policy.events import Server
from thistletrail.policy.settings import Effect, IdempotencyScope, Settings

DIGEST_BYTES = 16
DIGEST_FIELDS = ("c", "t", "units")  # the fields that do not change when a client retries a request
WORK_EFFECTS = {
    Effect.IDEMPOTENT: WorkEffect.SAFE,
    Effect.IDEMPOTENT_BY_KEY: WorkEffect.KEYED,
    Effect.UNSAFE: WorkEffect.UNSAFE,
}


def new_work_item(exchange: Exchange, settings: Settings) -> WorkItem:
    """Return the work item of a request, named by its customer and idempotency key, else by its id."""
    arguments = exchange.command.arguments
    values = read_fields(arguments[3])
    effect = settings.classes[exchange.command.class_index].effect
    if effect is Effect.IDEMPOTENT_BY_KEY:
        name = f"{arguments[1].decode().lower()}/{values['k']}"
    else:
        name = f"#{exchange.command.id}"
    return WorkItem(exchange, name, request_digest(arguments, values), WORK_EFFECTS[effect])


def request_digest(arguments: list[bytes], values: dict[str, str]) -> str:
    """Return a digest of a request's content, in hexadecimal.

    If the request's key is recorded with another digest, the lease service's result is `CONFLICT`.
    """
    stable_fields = [f"{field}={values.get(field, '')}".encode() for field in DIGEST_FIELDS]
    content = encode([arguments[0], arguments[1], *stable_fields, *arguments[4:]])
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def begin_message(item: WorkItem, attempt: Attempt, place: str, settings: Settings) -> BeginWork:
    """Return the operation that records a request with its first attempt."""
    command = item.exchange.command
    request_class = settings.classes[command.class_index]
    return BeginWork(
        name=item.name,
        request_id=command.id,
        digest=item.digest,
        customer=command.arguments[1].decode(),
        effect=item.effect,
        left_ms=remaining_ms(item),
        window_ms=request_class.idempotency_window_us // 1000,
        request=encode(command.arguments),
        server=attempt.server,
        place=place,
    )


def attempt_message(item: WorkItem, attempt: Attempt, place: str) -> AttemptWork:
    """Return the operation that records a further attempt under the item's fence."""
    return AttemptWork(
        name=item.name,
        fence=item.fence,
        number=item.attempt_number,
        server=attempt.server,
        place=place,
        earlier_never_ran=item.has_never_run,
    )


def remaining_ms(item: WorkItem) -> int:
    """Return the time until the request's deadline, in milliseconds rounded down."""
    return item.exchange.deadline.remaining_us(now_us()) // 1000


def place_of_server(settings: Settings, class_index: int, server: Server) -> str:
    """Return a server's place: the name of the group of servers that deduplicate a key together with it.

    The lease service stores and compares places.
    """
    scope = settings.classes[class_index].idempotency_scope
    if scope is IdempotencyScope.ZONE:
        return f"zone {server.zone}"
    if scope is IdempotencyScope.CELL:
        return f"cell {server.cell}"
    return "all"


def read_transferred_request(parser: CommandParser, data: bytes) -> Command:
    """Decode a request that another gateway recorded.

    Raises:
        TransferredRequestError: It is incomplete or malformed, or its command or class is unknown here.
    """
    reader = CommandReader()
    reader.feed(data)
    try:
        arguments = reader.next()
        if arguments is None:
            raise TransferredRequestError(f"the command is cut off after {len(data)} bytes")
        return parser.parse(arguments, is_own_customer=False)
    except (CommandError, ProtocolError, KeyError, TypeError, ValueError) as error:
        raise TransferredRequestError(
            f"the recorded command is invalid: {type(error).__name__}: {error}"
        ) from error
