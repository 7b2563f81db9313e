"""The simulator's wire protocol: parses lines of text into events, and formats actions as lines of text.

A line consists of the name of a message and its values, separated by single spaces; `-` is an absent value.
Each reader below takes the values of one message in the order of the protocol's page. This module is
stateless and makes no decisions.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from typing import TypeVar

from thistletrail.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    ProbeServer,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from thistletrail.policy.errors import PolicyError
from thistletrail.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    CounterReply,
    EndpointUpdateKind,
    Event,
    LoadReport,
    PeerMessageReceived,
    ProbeEnded,
    RequestArrived,
    Server,
    ServerState,
    StreamStarted,
    TimerFired,
)
from thistletrail.policy.load_report_codec import read_load_report
from thistletrail.policy.peer_codec import PeerDatagram, pack_datagrams, unpack_datagram
from thistletrail.policy.settings_codec import SettingValues

ABSENT = ("", "-")  # Values that mean that a field is absent.

# The wire's names for the result of an attempt, the state of a server and the kind of an endpoint update.
RESULTS = {
    "served": AttemptResult.SUCCESS,
    "server_error": AttemptResult.ERROR,
    "turned_away": AttemptResult.AT_CAPACITY,
    "no_answer": AttemptResult.TIMEOUT,
    "no_connection": AttemptResult.CONNECT_FAILED,
    "connection_lost": AttemptResult.RESET,
    "called_off": AttemptResult.CANCELLED,
    "not_sent": AttemptResult.NOT_SENT,
}
SERVER_STATES = {"U": ServerState.SERVING, "L": ServerState.DRAINING, "D": ServerState.GONE}
UPDATE_KINDS = {
    "snapshot": EndpointUpdateKind.FULL,
    "disk": EndpointUpdateKind.CACHED,
    "diff": EndpointUpdateKind.CHANGES,
    "error": EndpointUpdateKind.FAILED,
}

# Bits of the field `marks` of a request; the protocol's page defines no others.
RETRY_MARK = 2
WRITE_MARK = 4

Choice = TypeVar("Choice", bound=Enum)


class WireError(PolicyError):
    """A line does not follow the wire protocol; the message says what was expected and what was found."""


class Fields:
    """The values of one line, read in order.

    The methods raise WireError for a missing or malformed value.
    """

    def __init__(self, values: Sequence[str], report_names: Sequence[str] = ()) -> None:
        """Start at the first value; `report_names` are the names of the values in a load report, in order."""
        self.values = values
        self.report_names = report_names
        self.position = 0  # the index of the next value

    def has_value(self) -> bool:
        """Whether the next optional value is present; one that is marked as absent is skipped."""
        if self.position >= len(self.values):
            return False
        if self.values[self.position] in ABSENT:
            self.position += 1
            return False
        return True

    def text(self) -> str:
        """The next value, which is required, as an unchanged text."""
        if self.position >= len(self.values) or self.values[self.position] in ABSENT:
            raise WireError(f"field {self.position + 1} is missing")
        self.position += 1
        return self.values[self.position - 1]

    def optional_text(self) -> str:
        """The next value as an unchanged text, or an empty text if it is absent."""
        return self.text() if self.has_value() else ""

    def integer(self, default: int | None = None) -> int:
        """The next value as an integer; it is required if there is no default."""
        if default is not None and not self.has_value():
            return default
        text = self.text()
        try:
            return int(text)
        except ValueError as error:
            raise self._malformed("an integer", text) from error

    def number(self, default: float) -> float:
        """The next value as a number, or the default if it is absent."""
        if not self.has_value():
            return default
        text = self.text()
        try:
            return float(text)
        except ValueError as error:
            raise self._malformed("a number", text) from error

    def flag(self) -> bool:
        """The next value, which is required and has to be 0 or 1, as a boolean."""
        text = self.text()
        if text not in ("0", "1"):
            raise self._malformed("0 or 1", text)
        return text == "1"

    def choice(self, choices: Mapping[str, Choice]) -> Choice:
        """The member of `choices` that the next value names; the value is required."""
        name = self.text()
        if name not in choices:
            expected = ", ".join(choices)
            raise WireError(f"field {self.position} is an unknown word {name!r}: expected one of {expected}")
        return choices[name]

    def data(self) -> bytes:
        """The next value, in hex digits, as bytes; empty if it is absent."""
        text = self.optional_text()
        try:
            return bytes.fromhex(text)
        except ValueError as error:
            raise self._malformed("hex digits", text) from error

    def load_report(self) -> LoadReport | None:
        """The next value as a load report, with values in the order of `report_names`; None if absent."""
        if not self.has_value():
            return None
        values = self.text().split(",")
        if len(values) > len(self.report_names):
            raise WireError(
                f"field {self.position} is invalid: expected a load report of at most "
                f"{len(self.report_names)} values, found {len(values)}"
            )
        return read_load_report(zip(self.report_names, values, strict=False))

    def _malformed(self, expected: str, text: str) -> WireError:
        """The error for `text`, the value that was read last."""
        return WireError(f"field {self.position} is invalid: expected {expected}, found {text!r}")


def read_setting_values(parts: Iterable[str]) -> SettingValues:
    """Read the settings of an instance from parts of the form `path=value`."""
    values: dict[str, str] = {}
    for part in parts:
        path, equals_sign, value = part.partition("=")
        if not equals_sign:
            raise WireError(f"a setting is invalid: expected path=value, found {part!r}")
        values[path] = value
    return SettingValues(values)


def read_server(line: str) -> Server:
    """Read an entry of a server list from a line `M ...`."""
    name, *values = line.split(" ")
    if name != "M":
        raise WireError(f"a server list entry is missing: expected a line M, found {name!r}")
    fields = Fields(values)
    return Server(
        name=fields.text(),
        zone=fields.integer(),
        kind=fields.integer(),
        cell=fields.integer(),
        state=fields.choice(SERVER_STATES),
        size=fields.number(1.0),
        started_us=fields.integer(0),
    )


def read_event(name: str, fields: Fields) -> Event:
    """Read an event of an instance; the start and end of one, and server lists, are not events."""
    reader = EVENT_READERS.get(name)
    if reader is None:
        raise WireError(f"unknown message '{name}'")
    return reader(fields)


def _read_request_arrived(fields: Fields) -> RequestArrived:
    request_id = fields.text()
    class_index = fields.integer()
    plan_index = fields.integer(0)
    customer = fields.optional_text()
    remaining_us = fields.integer()
    units = fields.number(1.0)
    set_size = int(fields.number(1.0))
    set_first = int(fields.number(0.0))
    marks = fields.integer(0)
    return RequestArrived(
        id=request_id,
        class_index=class_index,
        plan_index=plan_index,
        customer=customer,
        remaining_us=remaining_us,
        units=units,
        set_size=max(1, set_size),
        set_first=set_first,
        is_retry=bool(marks & RETRY_MARK),
        is_write=bool(marks & WRITE_MARK),
    )


def _read_attempt_ended(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        id=fields.text(),
        request_ended=fields.flag(),
        attempt=fields.integer(),
        server=fields.text(),
        result=fields.choice(RESULTS),
        latency_us=fields.integer(0),
        used_percent=fields.integer(0),
        true_units=fields.number(0.0),
        report=fields.load_report(),
    )


def _read_stream_started(fields: Fields) -> StreamStarted:
    return StreamStarted(
        id=fields.text(),
        attempt=fields.integer(),
        server=fields.text(),
        latency_us=fields.integer(0),
    )


def _read_client_disconnected(fields: Fields) -> ClientDisconnected:
    return ClientDisconnected(fields.text())


def _read_timer_fired(fields: Fields) -> TimerFired:
    return TimerFired(fields.integer())


def _read_probe_ended(fields: Fields) -> ProbeEnded:
    return ProbeEnded(
        server=fields.text(),
        result=fields.choice(RESULTS),
        latency_us=fields.integer(0),
        report=fields.load_report(),
    )


def _read_peer_message(fields: Fields) -> PeerMessageReceived:
    """A malformed datagram becomes an empty message, as it still shows that its sender is alive."""
    sender = fields.integer()
    datagram = unpack_datagram(fields.data()) or PeerDatagram((), None)
    return PeerMessageReceived(sender, datagram.quota_messages, datagram.digest)


def _read_counter_reply(fields: Fields) -> CounterReply:
    return CounterReply(
        name=fields.integer(),
        result=fields.choice(RESULTS),
        total=fields.number(0.0),
        latency_us=fields.integer(0),
    )


EVENT_READERS: dict[str, Callable[[Fields], Event]] = {
    "NEW_REQUEST": _read_request_arrived,
    "ATTEMPT_END": _read_attempt_ended,
    "ACK_FIRST": _read_stream_started,
    "HANGUP": _read_client_disconnected,
    "BELL": _read_timer_fired,
    "CHECK_RESULT": _read_probe_ended,
    "FROM_PEER": _read_peer_message,
    "TOTAL": _read_counter_reply,
}


def write_action(action: Action) -> str:
    """Format an action as a line, or as a line for each datagram of a SendPeerMessage.

    Raises TypeError for any other object.
    """
    match action:
        case StartAttempt(request_id, server, timeout_us):
            return f"TRY {request_id} {server} {timeout_us}"
        case CancelAttempt(request_id, attempt):
            return f"CANCEL {request_id} {attempt}"
        case RejectRequest(request_id, retry_after_us):
            return f"TURN_AWAY {request_id} {retry_after_us}"
        case FailRequest(request_id):
            return f"END_FAILED {request_id}"
        case SetTimer(delay_us, token):
            return f"ARM {delay_us} {token}"
        case ProbeServer(server):
            return f"CHECK {server}"
        case CloseIdleConnections(server):
            return f"HANG_UP {server}"
        case SendPeerMessage(peer, quota_messages, digest):
            datagrams = pack_datagrams(quota_messages, digest)
            return "\n".join(f"TELL {peer} {datagram.hex()}" for datagram in datagrams)
        case AddToCounter(name, amount, lifetime_us):
            return f"ADD_TO {name} {amount:g} {lifetime_us}"
        case WatchEndpoints(enabled):
            return f"STREAM_CHANGES {int(enabled)}"
        case FetchEndpoints():
            return "SNAPSHOT"
        case WriteLog(text):
            return f"EMIT {to_one_line(text)}"
    raise TypeError(f"expected an action of the policy, found {action!r}")


def to_one_line(text: str) -> str:
    """The text with each run of white space, which includes line feeds, replaced by a single space."""
    return " ".join(text.split())
