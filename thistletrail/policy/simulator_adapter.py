"""Runs the policy engines of many simulated gateways for the simulator, on standard input and output.

The simulator writes batches of events, each for one of the instances in this process, and reads one reply
with the actions for each batch. Each instance has a `PolicyEngine` of its own and shares no state with the
others; the time of a batch is the only clock. `simulator_wire` parses and formats the lines.

Malformed input ends the process with one line on standard error and exit code 2. An exception in a policy
engine is reported in the reply instead, and processing continues with the next event.
"""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from io import TextIOWrapper
from typing import TextIO

from thistletrail.policy.engine import PolicyEngine
from thistletrail.policy.errors import PolicyError
from thistletrail.policy.events import EndpointUpdate, EndpointUpdateKind, Event, Server
from thistletrail.policy.settings_codec import read_settings
from thistletrail.policy.simulator_wire import (
    UPDATE_KINDS,
    Fields,
    WireError,
    read_event,
    read_server,
    read_setting_values,
    to_one_line,
    write_action,
)

EXIT_MALFORMED_INPUT = 2


class DecisionError(PolicyError):
    """A policy engine raised an exception while it handled an event."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One simulated gateway: its policy engine, and the names of the values in load reports, in order."""

    gateway: PolicyEngine
    report_names: tuple[str, ...]


class Host:
    """The instances in this process, and the numbered server lists that their events refer to."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}  # by number
        self.server_lists: dict[int, tuple[Server, ...]] = {}  # by number, which may be reused for a new list
        self.now_us = 0  # the time of the batch
        self.target: int | None = None  # the instance that handles the next events of the batch
        self.context: int | None = None  # the instance of the last actions in the reply

    def start_batch(self, now_us: int) -> None:
        """Begin a batch at `now_us`; it has to name an instance before the first event."""
        self.now_us = now_us
        self.target = None
        self.context = None

    def event(self, name: str, values: list[str], following_lines: Iterator[str]) -> list[str]:
        """Apply one line of a batch, and return the lines of the reply to it.

        The entries of a server list are read from `following_lines`. Raises WireError or another ValueError
        for malformed input, and DecisionError if the policy engine raises an exception.
        """
        if name == "TARGET_INSTANCE":
            self.target = Fields(values).integer()
            return []
        if name == "SHEET":
            self._store_server_list(Fields(values), following_lines)
            return []
        if self.target is None:
            raise WireError(f"no instance is named for message '{name}'")
        if name == "NEW_INSTANCE":
            self.instances[self.target] = start_instance(values)
            return []
        if self.target not in self.instances:
            raise WireError(f"there is no instance {self.target} for message '{name}'")
        if name == "KILLED":
            del self.instances[self.target]
            return []
        return self._handle(self.target, self._read_event(self.target, name, values))

    def _store_server_list(self, fields: Fields, lines: Iterator[str]) -> None:
        number = fields.integer()
        size = fields.integer()
        servers: list[Server] = []
        for _ in range(size):
            line = next(lines, None)
            if line is None:
                raise WireError(
                    f"server list {number} is cut off: expected {size} entries, found {len(servers)}"
                )
            servers.append(read_server(line))
        self.server_lists[number] = tuple(servers)

    def _read_event(self, target: int, name: str, values: list[str]) -> Event:
        fields = Fields(values, self.instances[target].report_names)
        if name == "UPDATE":
            return self._read_endpoint_update(fields)
        return read_event(name, fields)

    def _read_endpoint_update(self, fields: Fields) -> EndpointUpdate:
        kind = fields.choice(UPDATE_KINDS)
        version = fields.integer(0)
        number = fields.integer(0)
        if kind is EndpointUpdateKind.FAILED:
            return EndpointUpdate(kind, version)
        if number not in self.server_lists:
            raise WireError(f"there is no server list {number} for an endpoint update")
        return EndpointUpdate(kind, version, self.server_lists[number])

    def _handle(self, target: int, event: Event) -> list[str]:
        """Have an instance handle an event, and return the lines of its actions.

        A line that names the instance precedes them, unless the last actions in the reply were its own.
        """
        try:
            actions = self.instances[target].gateway.handle(self.now_us, event)
        except Exception as error:
            raise DecisionError(f"{type(error).__name__}: {error}") from error
        lines = [write_action(action) for action in actions]
        if lines and self.context != target:
            self.context = target
            lines.insert(0, f"CONTEXT {target}")
        return lines


def start_instance(values: list[str]) -> Instance:
    """Create an instance from the values of NEW_INSTANCE: the seed of its random draws, and its settings."""
    setting_values = read_setting_values(part for part in values[1:] if part)
    report_names = setting_values.text("stats.names")
    seed = Fields(values).integer()
    gateway = PolicyEngine(read_settings(seed, setting_values))
    return Instance(gateway, tuple(report_names.split(",")) if report_names else ())


def run_batch(host: Host, lines: Iterator[str]) -> list[str] | None:
    """Process the next batch, and return the lines of the reply; None at the end of the input."""
    first = next(lines, None)
    if first is None:
        return None
    name, *values = first.split(" ")
    if name != "MARK":
        raise WireError(f"expected a batch to start with MARK, found {name!r}")
    host.start_batch(Fields(values).integer())
    reply: list[str] = []
    for line in lines:
        name, *values = line.split(" ")
        if name == "EOF_BATCH":
            return [*reply, "FINISHED"]
        try:
            reply += host.event(name, values, lines)
        except DecisionError as error:
            reply += [f"CONTEXT {host.target}", f"FAULT {to_one_line(str(error))}"]
    raise WireError("the input ends within a batch: expected EOF_BATCH")


class LineReader:
    """Iterates over the lines of the input without line feeds, and counts them for error messages."""

    def __init__(self, source: Iterable[str]) -> None:
        self.lines = iter(source)
        self.count = 0  # lines read so far

    def __iter__(self) -> "LineReader":
        return self

    def __next__(self) -> str:
        line = next(self.lines)
        self.count += 1
        return line.rstrip("\n")


def serve(source: TextIO, sink: TextIO) -> int:
    """Answer batches until the input ends, and return the exit code of the process."""
    host, lines = Host(), LineReader(source)
    try:
        while (reply := run_batch(host, lines)) is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    except (WireError, ValueError) as error:
        print(f"simulator_adapter: line {lines.count}: {to_one_line(str(error))}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


def main() -> int:
    """Serve standard input and output, in UTF-8 and with line feeds as line ends on every platform."""
    for stream in (sys.stdin, sys.stdout):
        if isinstance(stream, TextIOWrapper):
            stream.reconfigure(encoding="utf-8", newline="\n")
    return serve(sys.stdin, sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
