"""Parses and validates the commands of clients: invalid ones reach neither the policy nor a server."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from thistletrail.gateway.config import Config
from thistletrail.gateway.deadline import MAX_INTEGER_DIGITS, decode_remaining, encode_remaining
from thistletrail.gateway.resp import encode
from thistletrail.policy.events import RequestArrived
from thistletrail.policy.settings import Effect

CUSTOMER_ID_LIMIT = 1 << 33  # exclusive
CUSTOMER_ID_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
MAX_REQUEST_ID_BYTES = 64
FIXED_ARGUMENTS = 4  # command, customer, request id and fields; SVC.SUBMIT has a body as well
MAX_FIELDS = 32  # the longest known list has seven
MAX_WAIT_MULTIPLE = 2  # the longest accepted wait, as a multiple of the class's deadline
MAX_UNITS_WITHOUT_BURST = 1e6  # the most units of a request whose plan has no burst
UNITS_PATTERN = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?")


class CommandError(Exception):
    """A well-formed command is invalid; its text is answered to the client, and the connection stays open."""


class TooManyRequestsError(CommandError):
    """A valid command cannot be accepted now, as too many requests are open."""

    def __init__(self) -> None:
        super().__init__("too many requests are open")


@dataclass(frozen=True, slots=True)
class Command:
    """A valid request: what the policy needs to know of it, and the arguments to forward."""

    id: str
    class_index: int
    build_arrival: Callable[..., RequestArrived]  # takes `remaining_us`
    wait_us: int  # how long the client said it would wait, counted from its sending
    arguments: list[bytes]
    # The request's fields before and after the number of milliseconds in `d`.
    fields_before_wait: bytes
    fields_after_wait: bytes
    size_bytes: int  # all arguments together

    def payload(self, remaining_us: int) -> bytes:
        """The command as it is forwarded: unchanged, except that `d` is how long this gateway waits."""
        fields = b"%b%b%b" % (self.fields_before_wait, encode_remaining(remaining_us), self.fields_after_wait)
        arguments = [*self.arguments[:3], fields, *self.arguments[4:]]
        return encode(arguments)


def parse_integer(text: str, field_name: str, min_value: int, max_value: int) -> int:
    """The value of a decimal integer field; raises CommandError if it is malformed or out of bounds."""
    is_integer = len(text) <= MAX_INTEGER_DIGITS and text.isascii() and text.isdigit()
    number = int(text) if is_integer else -1
    if not min_value <= number <= max_value:
        raise CommandError(f"invalid {field_name}")
    return number


def read_fields(argument: bytes) -> dict[str, str]:
    """The values by name in a list `name=value,...`; raises CommandError if it is malformed.

    A name that comes twice is an error as well.
    """
    if not argument.isascii():
        raise CommandError("invalid fields")
    if argument.count(b",") >= MAX_FIELDS:
        raise CommandError("too many fields")
    values = {}
    has_duplicate = False
    for field in argument.decode().split(","):
        name, equals_sign, value = field.partition("=")
        if not name or not equals_sign:
            raise CommandError("invalid fields")
        has_duplicate = has_duplicate or name in values
        values[name] = value
    if has_duplicate:
        raise CommandError("a field is given twice")
    return values


def split_at_wait(fields: bytes, wait: str) -> tuple[bytes, bytes]:
    """The parts of the fields before and after `wait`, the value of `d`."""
    wait_start = fields.find(b"d=") if fields.startswith(b"d=") else fields.find(b",d=") + 1
    return fields[: wait_start + 2], fields[wait_start + 2 + len(wait) :]


class CommandParser:
    """Validates commands against the settings: invalid ones reach neither the policy nor a server."""

    def __init__(self, config: Config) -> None:
        self.class_numbers = config.class_numbers
        self.plan_numbers = config.plan_numbers
        self.settings = config.settings
        # By class. Clients add up to a tenth to the class's deadline. A client that waits for a day would
        # occupy memory for a day.
        self.max_wait_us = [MAX_WAIT_MULTIPLE * rule.deadline_us for rule in self.settings.classes]
        # By plan. A request of more units than the plan admits at once would only drain its customer's
        # token bucket.
        bursts = [(plan.burst, plan.ceiling_burst) for plan in self.settings.plans]
        self.max_units = [
            max(1.0, min((burst for burst in both if burst > 0), default=MAX_UNITS_WITHOUT_BURST))
            for both in bursts
        ]

    def parse(self, arguments: list[bytes], is_own_customer: bool = True) -> Command:
        """The command that the arguments form; raises CommandError if they are invalid.

        If `is_own_customer` is False, this gateway need not be among those that serve the customer.
        """
        is_write = arguments[0] == b"SVC.SUBMIT"
        if not is_write and arguments[0] != b"SVC.QUERY":
            raise CommandError("unknown command")
        if len(arguments) != FIXED_ARGUMENTS + is_write:
            raise CommandError("wrong number of arguments")
        customer = self.parse_customer(arguments[1])
        request_id = self.parse_request_id(arguments[2])
        values = read_fields(arguments[3])
        class_index = self.parse_class(values, is_write)
        plan_index = self.plan_numbers.get(values.get("t", ""))
        if plan_index is None:
            raise CommandError("unknown plan")
        wait_us = decode_remaining(values.get("d", ""), self.max_wait_us[class_index])
        if wait_us is None:
            raise CommandError("invalid time")
        set_size, set_first = self.parse_gateway_set(values, is_own_customer)
        units = self.parse_units(values, plan_index)
        build_arrival = partial(
            RequestArrived,
            id=request_id,
            class_index=class_index,
            plan_index=plan_index,
            customer=customer,
            units=units,
            set_size=set_size,
            set_first=set_first,
            is_retry=values.get("r") == "1",
            is_write=is_write,
        )
        before_wait, after_wait = split_at_wait(arguments[3], values["d"])
        size_bytes = sum(map(len, arguments))
        return Command(
            request_id, class_index, build_arrival, wait_us, arguments, before_wait, after_wait, size_bytes
        )

    def parse_customer(self, argument: bytes) -> str:
        """The customer's id, in lower case."""
        if not CUSTOMER_ID_PATTERN.fullmatch(argument) or int(argument, 16) >= CUSTOMER_ID_LIMIT:
            raise CommandError("invalid customer")
        return argument.decode().lower()

    def parse_request_id(self, argument: bytes) -> str:
        """The request's id."""
        if not 0 < len(argument) <= MAX_REQUEST_ID_BYTES or not argument.isalnum():
            raise CommandError("invalid id")
        return argument.decode()

    def parse_class(self, values: dict[str, str], is_write: bool) -> int:
        """The index of the request class, whose effect has to match the command."""
        class_index = self.class_numbers.get(values.get("c", ""))
        if class_index is None:
            raise CommandError("unknown class")
        effect = self.settings.classes[class_index].effect
        if is_write == (effect is Effect.IDEMPOTENT):
            raise CommandError("the command does not serve this class")
        if effect is Effect.IDEMPOTENT_BY_KEY and not values.get("k"):
            raise CommandError("a key is missing")
        return class_index

    def parse_units(self, values: dict[str, str], plan_index: int) -> float:
        """The units of quota that the request uses."""
        text = values.get("units", "1")
        if text == "1":  # the usual case, which every plan admits
            return 1.0
        if not UNITS_PATTERN.fullmatch(text) or not 0 < float(text) <= self.max_units[plan_index]:
            raise CommandError("invalid units")
        return float(text)

    def parse_gateway_set(self, values: dict[str, str], is_own_customer: bool) -> tuple[int, int]:
        """How many gateways serve the customer, and the index of the first.

        If `is_own_customer` is True, this gateway has to be one of them.
        """
        gateway_count = self.settings.gateway_count
        size = parse_integer(values.get("spread", "1"), "spread", 1, gateway_count)
        default_first = str(self.settings.gateway_index)
        first = parse_integer(values.get("first", default_first), "first", 0, gateway_count - 1)
        if is_own_customer and (self.settings.gateway_index - first) % gateway_count >= size:
            raise CommandError("the set is without this front door")
        return size, first
