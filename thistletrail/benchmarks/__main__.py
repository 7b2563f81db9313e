"""The commands of the benchmarks."""

import argparse
import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path
from typing import Any, NoReturn

from thistletrail.benchmarks import cost, quickstart
from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.loads import LOADS
from thistletrail.benchmarks.process import ROOT, build_revision, build_source_tree, check_port

MAX_PAIRS = 100


class Parser(argparse.ArgumentParser):
    """A parser that reports bad input as an error of one line."""

    def error(self, message: str) -> NoReturn:
        """Raise a `BenchmarkError` instead of printing the usage and exiting."""
        raise BenchmarkError(message)


def bounded_integer(maximum: int) -> Any:  # noqa: ANN401 - argparse takes any callable
    """Return a function for argparse that parses decimal integers from 1 to `maximum`."""

    def parse(text: str) -> int:
        if not text.isascii() or not text.isdigit() or len(text) > 12 or not 1 <= int(text) <= maximum:
            raise argparse.ArgumentTypeError(f"'{text}' is no whole number from 1 to {maximum}")
        return int(text)

    return parse


def build_parser() -> Parser:
    """Return the parser of all commands."""
    parser = Parser(
        prog="benchmarks", description="Measure what a gateway costs, on loopback, with stub servers."
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    commands.add_parser(
        "quickstart", help="start one gateway in front of stub servers, and send it one request"
    )
    cost_parser = commands.add_parser(
        "cost", help="what requests cost a gateway: processor time, memory, descriptors"
    )
    cost_parser.add_argument(
        "--load",
        action="append",
        metavar="NAME",
        help=f"run this load only; may be repeated: {', '.join(LOADS)}",
    )
    cost_parser.add_argument("--seed", type=bounded_integer(1 << 30), default=1, metavar="N")
    cost_parser.add_argument(
        "--requests", type=bounded_integer(cost.MAX_REQUESTS), metavar="N", help="requests in each load"
    )
    cost_parser.add_argument(
        "--port",
        type=bounded_integer(65535),
        default=0,
        metavar="N",
        help="port of the gateway; default: any free one",
    )
    cost_parser.add_argument("--json", type=Path, metavar="FILE", help="write the figures to a file")
    cost_parser.add_argument(
        "--against", metavar="REV", help="compare with a revision, in turns with this tree"
    )
    cost_parser.add_argument(
        "--pairs", type=bounded_integer(MAX_PAIRS), default=5, metavar="N", help="pairs of runs"
    )
    registry_parser = commands.add_parser(
        "registry", help="what watchers, changes and renewals cost the registry"
    )
    registry_parser.add_argument(
        "--watchers", type=bounded_integer(900), default=200, metavar="N", help="number of watchers"
    )
    registry_parser.add_argument(
        "--instances", type=bounded_integer(2000), default=200, metavar="N", help="number of leased instances"
    )
    registry_parser.add_argument(
        "--changes", type=bounded_integer(10_000), default=50, metavar="N", help="number of measured changes"
    )
    registry_parser.add_argument("--seed", type=bounded_integer(1 << 30), default=1, metavar="N")
    registry_parser.add_argument("--json", type=Path, metavar="FILE", help="write the figures to a file")
    takeover_parser = commands.add_parser(
        "takeover", help="what work leases cost the gateway and the lease service"
    )
    takeover_parser.add_argument("--load", choices=sorted(LOADS), default="steady")
    takeover_parser.add_argument("--seed", type=bounded_integer(1 << 30), default=1, metavar="N")
    takeover_parser.add_argument(
        "--requests", type=bounded_integer(cost.MAX_REQUESTS), metavar="N", help="requests in each run"
    )
    takeover_parser.add_argument(
        "--pairs", type=bounded_integer(MAX_PAIRS), default=3, metavar="N", help="pairs of runs"
    )
    takeover_parser.add_argument(
        "--pieces",
        type=bounded_integer(10**6),
        default=10_000,
        metavar="N",
        help="work items sent to the lease service alone",
    )
    takeover_parser.add_argument("--json", type=Path, metavar="FILE", help="write the figures to a file")
    leases_parser = commands.add_parser(
        "leases", help="what renewals of budget leases cost the lease service"
    )
    leases_parser.add_argument(
        "--holders", type=bounded_integer(900), default=200, metavar="N", help="number of gateways"
    )
    leases_parser.add_argument(
        "--budgets", type=bounded_integer(2000), default=20, metavar="N", help="budgets in each renewal"
    )
    leases_parser.add_argument(
        "--rate",
        type=bounded_integer(100),
        default=3,
        metavar="N",
        help="renewals per second of each gateway",
    )
    leases_parser.add_argument("--seconds", type=bounded_integer(600), default=5, metavar="N")
    leases_parser.add_argument("--seed", type=bounded_integer(1 << 30), default=1, metavar="N")
    leases_parser.add_argument("--json", type=Path, metavar="FILE", help="write the figures to a file")
    return parser


async def run_quickstart(_: argparse.Namespace) -> None:
    """Run the command `quickstart` and print its result."""
    print(quickstart.describe(await quickstart.run()))


async def run_takeover(args: argparse.Namespace) -> None:
    """Run the command `takeover`, print its table and write its JSON file."""
    from thistletrail.benchmarks import work  # it imports packages that a gateway does not need

    if args.json:
        check_writable(args.json)
    load = cost.with_request_count(LOADS[args.load], args.requests)
    pairs = await work.run_pairs(build_source_tree(ROOT), load, args.seed, args.pairs)
    service = await work.measure_service(args.pieces, args.seed)
    print(work.format_table(pairs, service))
    if args.json:
        args.json.write_text(json.dumps(work.to_json_object(pairs, service), indent=1) + "\n")


async def run_leases(args: argparse.Namespace) -> None:
    """Run the command `leases`, print its table and write its JSON file."""
    from thistletrail.benchmarks import leases  # it imports packages that a gateway does not need

    if args.json:
        check_writable(args.json)
    figures = await leases.measure(args.holders, args.budgets, args.rate, args.seconds, args.seed)
    print(leases.format_table(figures))
    if args.json:
        args.json.write_text(json.dumps(figures.to_json_object(), indent=1) + "\n")


async def run_cost(args: argparse.Namespace) -> None:
    """Run the command `cost`, print its table and write its JSON file."""
    unknown = [name for name in args.load or () if name not in LOADS]
    if unknown:
        raise BenchmarkError(f"unknown load '{unknown[0]}'; known are {', '.join(LOADS)}")
    loads = [cost.with_request_count(LOADS[name], args.requests) for name in args.load or LOADS]
    if args.port:
        check_port(args.port)
    if args.json:
        check_writable(args.json)
    with contextlib.ExitStack() as stack:
        other_tree = stack.enter_context(build_revision(args.against)) if args.against else None
        tree = build_source_tree(ROOT)
        if other_tree is None:
            runs = await cost.measure_costs(tree, loads, args.seed, args.port)
            print(cost.cost_table(runs))
            report: Any = {"seed": args.seed, "plays": cost.as_json(runs)}
        else:
            pairs = await cost.run_pairs(tree, other_tree, loads, args.seed, args.port, args.pairs)
            rows = cost.differences(pairs)
            print(cost.difference_table(rows, args.against))
            report = {
                "seed": args.seed,
                "against": args.against,
                "differences": rows,
                "here": cost.as_json(here for here, _ in pairs),
                "there": cost.as_json(there for _, there in pairs),
            }
    if args.json:
        args.json.write_text(json.dumps(report, indent=1) + "\n")


async def run_registry(args: argparse.Namespace) -> None:
    """Run the command `registry`, print its table and write its JSON file."""
    from thistletrail.benchmarks import registry  # it imports packages that a gateway does not need

    if args.json:
        check_writable(args.json)
    figures = await registry.measure(args.watchers, args.instances, args.changes, args.seed)
    print(registry.format_table(figures))
    if args.json:
        args.json.write_text(json.dumps(registry.to_json_object(figures), indent=1) + "\n")


def check_writable(path: Path) -> None:
    """Raise a `BenchmarkError`, before any run, if the figures cannot be written to `path`."""
    try:
        with path.open("a"):
            pass
    except OSError as error:
        raise BenchmarkError(f"cannot write {path}: {error.strerror}") from error


async def run_until_signalled(args: argparse.Namespace) -> None:
    """Run the command; SIGTERM and SIGINT end it and all processes that it started.

    This also holds for a signal that was ignored when the program started.
    """
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    commands = {
        "quickstart": run_quickstart,
        "cost": run_cost,
        "registry": run_registry,
        "takeover": run_takeover,
        "leases": run_leases,
    }
    await commands[args.command](args)


def main() -> int:
    """Run the command line; return the exit status."""
    try:
        asyncio.run(run_until_signalled(build_parser().parse_args()))
    except BenchmarkError as error:
        print(f"benchmarks: {error}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("benchmarks: ended before its time", file=sys.stderr)
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
