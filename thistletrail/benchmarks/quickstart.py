"""One gateway before stubs of its scan servers, and one request through it: a first look at the program.

Everything runs on loopback, at ports that the system chooses, and ends with the command.
"""

import socket
import sys
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from thistletrail.benchmarks.callers import Caller
from thistletrail.benchmarks.cost import PLAN, config
from thistletrail.benchmarks.errors import BenchError
from thistletrail.benchmarks.loads import LOADS
from thistletrail.benchmarks.process import ROOT, Tree, free_port, front_door
from thistletrail.benchmarks.standins import HOST, World, text
from thistletrail.gateway.resp import encode

SEED = 1
COMMAND = (
    b"SVC.QUERY",
    b"%016x" % 1,  # the customer
    b"%016x" % 1,  # the request's id
    b"c=view-sheet,t=standard,d=2000,units=1,spread=2,first=0",
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What was tried: where the gateway served, before how many stubs, and how the request ended."""

    address: str
    servers: int
    answer: str  # "served", "refused" or "failed"
    attempts: int


async def play() -> Outcome:
    """Start the gateway with this interpreter, send one request, and end all; BenchError if it cannot."""
    tree = Tree(ROOT, f"exec {sys.executable} -m thistletrail.gateway", tells_costs=True)
    load = LOADS["steady"]
    world = World(load, SEED, peer_level=PLAN["burst"])
    with TemporaryDirectory(prefix="quickstart-") as folder:
        try:
            discovery = await world.start()
            values = config(discovery, world.peer_address, free_port(socket.SOCK_STREAM), SEED, timed=False)
            async with front_door(tree, values, Path(folder)) as process:
                caller = await Caller.open(process.address)
                answer = await caller.ask([encode(list(COMMAND))])[0]
                caller.close()
                costs = await process.costs()
                return Outcome(text(process.address), load.servers, answer, costs["attempts"])
        except OSError as error:
            raise BenchError(f"cannot start on {HOST}: {error}") from error
        finally:
            await world.close()


def describe(outcome: Outcome) -> str:
    """The outcome as the lines that the command prints."""
    return (
        f"a gateway serves at {outcome.address}, before {outcome.servers} stub scan servers\n"
        f"request: {b' '.join(COMMAND).decode()}\n"
        f"answer: {outcome.answer}, after {outcome.attempts} attempt(s)"
    )
