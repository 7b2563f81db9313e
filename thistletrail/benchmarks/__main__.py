"""The harness's commands."""

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

MOST_PAIRS = 100


class Parser(argparse.ArgumentParser):
    """Bad input is one plain line."""

    def error(self, message: str) -> NoReturn:
        raise BenchmarkError(message)


def whole(most: int) -> Any:  # noqa: ANN401 - argparse takes any callable
    def read(text: str) -> int:
        if not text.isascii() or not text.isdigit() or len(text) > 12 or not 1 <= int(text) <= most:
            raise argparse.ArgumentTypeError(f"'{text}' is no whole number from 1 to {most}")
        return int(text)

    return read


def parser() -> Parser:
    found = Parser(prog="benchmarks", description="What a front door costs, on loopback, with stand-ins.")
    commands = found.add_subparsers(dest="command", required=True, metavar="COMMAND")
    commands.add_parser("quickstart", help="start one gateway before stubs, and send one request through it")
    costs = commands.add_parser("cost", help="processor time, memory and descriptors of requests")
    costs.add_argument("--load", action="append", metavar="NAME", help=f"of {', '.join(LOADS)}; default: all")
    costs.add_argument("--seed", type=whole(1 << 30), default=1, metavar="N")
    costs.add_argument("--requests", type=whole(cost.MAX_REQUESTS), metavar="N", help="of each load")
    costs.add_argument("--port", type=whole(65535), default=0, metavar="N", help="for the front door")
    costs.add_argument("--json", type=Path, metavar="FILE", help="keep the figures")
    costs.add_argument("--against", metavar="REV", help="play another revision in turns with this tree")
    costs.add_argument("--pairs", type=whole(MOST_PAIRS), default=5, metavar="N", help="of plays")
    lists_ = commands.add_parser("registry", help="what watchers, changes and renewals cost the registry")
    lists_.add_argument("--watchers", type=whole(900), default=200, metavar="N")
    lists_.add_argument("--instances", type=whole(2000), default=200, metavar="N")
    lists_.add_argument("--changes", type=whole(10_000), default=50, metavar="N")
    lists_.add_argument("--seed", type=whole(1 << 30), default=1, metavar="N")
    lists_.add_argument("--json", type=Path, metavar="FILE", help="keep the figures")
    work_ = commands.add_parser("takeover", help="what it costs that work in hand is kept")
    work_.add_argument("--load", choices=sorted(LOADS), default="steady")
    work_.add_argument("--seed", type=whole(1 << 30), default=1, metavar="N")
    work_.add_argument("--requests", type=whole(cost.MAX_REQUESTS), metavar="N", help="of each play")
    work_.add_argument("--pairs", type=whole(MOST_PAIRS), default=3, metavar="N", help="of plays")
    work_.add_argument("--pieces", type=whole(10**6), default=10_000, metavar="N", help="at the steward")
    work_.add_argument("--json", type=Path, metavar="FILE", help="keep the figures")
    leases_ = commands.add_parser("leases", help="what dividing budgets costs the steward")
    leases_.add_argument("--holders", type=whole(900), default=200, metavar="N", help="front doors")
    leases_.add_argument("--budgets", type=whole(2000), default=20, metavar="N", help="of each ask")
    leases_.add_argument("--rate", type=whole(100), default=3, metavar="N", help="asks a second of each")
    leases_.add_argument("--seconds", type=whole(600), default=5, metavar="N")
    leases_.add_argument("--seed", type=whole(1 << 30), default=1, metavar="N")
    leases_.add_argument("--json", type=Path, metavar="FILE", help="keep the figures")
    return found


async def run_quickstart(_: argparse.Namespace) -> None:
    print(quickstart.describe(await quickstart.run()))


async def run_takeover(args: argparse.Namespace) -> None:
    from thistletrail.benchmarks import work  # its packages are not those of a front door

    if args.json:
        check_writable(args.json)
    load = cost.with_request_count(LOADS[args.load], args.requests)
    found = await work.pairs(build_source_tree(ROOT), load, args.seed, args.pairs)
    by_itself = await work.alone(args.pieces, args.seed)
    print(work.table(found, by_itself))
    if args.json:
        args.json.write_text(json.dumps(work.as_json(found, by_itself), indent=1) + "\n")


async def run_leases(args: argparse.Namespace) -> None:
    from thistletrail.benchmarks import leases  # its packages are not those of a front door

    if args.json:
        check_writable(args.json)
    found = await leases.play(args.holders, args.budgets, args.rate, args.seconds, args.seed)
    print(leases.table(found))
    if args.json:
        args.json.write_text(json.dumps(leases.as_json(found), indent=1) + "\n")


async def run_cost(args: argparse.Namespace) -> None:
    unknown = [name for name in args.load or () if name not in LOADS]
    if unknown:
        raise BenchmarkError(f"unknown load '{unknown[0]}'; known are {', '.join(LOADS)}")
    loads = [cost.with_request_count(LOADS[name], args.requests) for name in args.load or LOADS]
    if args.port:
        check_port(args.port)
    if args.json:
        check_writable(args.json)
    with contextlib.ExitStack() as stack:
        theirs = stack.enter_context(build_revision(args.against)) if args.against else None
        ours = build_source_tree(ROOT)
        if theirs is None:
            plays = await cost.measure_costs(ours, loads, args.seed, args.port)
            print(cost.cost_table(plays))
            kept: Any = {"seed": args.seed, "plays": cost.as_json(plays)}
        else:
            found = await cost.run_pairs(ours, theirs, loads, args.seed, args.port, args.pairs)
            rows = cost.differences(found)
            print(cost.difference_table(rows, args.against))
            kept = {
                "seed": args.seed,
                "against": args.against,
                "differences": rows,
                "here": cost.as_json(ours for ours, _ in found),
                "there": cost.as_json(theirs for _, theirs in found),
            }
    if args.json:
        args.json.write_text(json.dumps(kept, indent=1) + "\n")


async def run_registry(args: argparse.Namespace) -> None:
    from thistletrail.benchmarks import registry  # its packages are not those of a front door

    if args.json:
        check_writable(args.json)
    figures = await registry.measure(args.watchers, args.instances, args.changes, args.seed)
    print(registry.format_table(figures))
    if args.json:
        args.json.write_text(json.dumps(registry.to_json_object(figures), indent=1) + "\n")


def check_writable(path: Path) -> None:
    """Before anything is played for nothing."""
    try:
        with path.open("a"):
            pass
    except OSError as error:
        raise BenchmarkError(f"cannot write {path}: {error.strerror}") from error


async def until_told(args: argparse.Namespace) -> None:
    """Run the command; SIGTERM and SIGINT, also one that was ignored at the start, end it and all that it
    started."""
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
    try:
        asyncio.run(until_told(parser().parse_args()))
    except BenchmarkError as error:
        print(f"benchmarks: {error}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("benchmarks: ended before its time", file=sys.stderr)
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
