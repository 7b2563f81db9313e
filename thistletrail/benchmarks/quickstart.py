"""Sends one request through a gateway to stub scan servers, as a first demonstration.

Everything runs on loopback at ports that the system chooses, and ends with the command.
"""

import socket
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from thistletrail.benchmarks.cost import PLAN, gateway_config
from thistletrail.benchmarks.errors import BenchmarkError
from thistletrail.benchmarks.load_generator import GatewayClient
from thistletrail.benchmarks.loads import LOADS
from thistletrail.benchmarks.process import free_port, running_gateway_process, working_tree
from thistletrail.benchmarks.stub_servers import HOST, StubServers, format_address
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
    """The gateway's address, the number of its stub scan servers, and the outcome of the request."""

    address: str
    servers: int
    answer: str  # "served", "refused", "failed" or "closed"
    attempts: int


async def run() -> Outcome:
    """Start a gateway, send it one request and stop it; BenchmarkError if the gateway cannot be started."""
    load = LOADS["steady"]
    stubs = StubServers(load, SEED, peer_level=PLAN["burst"])
    with TemporaryDirectory(prefix="quickstart-") as folder:
        try:
            discovery = await stubs.start()
            values = gateway_config(
                discovery, stubs.peer_address, free_port(socket.SOCK_STREAM), SEED, timed=False
            )
            async with running_gateway_process(working_tree(), values, Path(folder)) as process:
                client = await GatewayClient.open(process.address)
                answer = await client.send_commands([encode(list(COMMAND))])[0]
                client.close()
                report = await process.cost_report()
                return Outcome(format_address(process.address), load.servers, answer, report["attempts"])
        except OSError as error:
            raise BenchmarkError(f"cannot start on {HOST}: {error}") from error
        finally:
            await stubs.close()


def describe(outcome: Outcome) -> str:
    """Return the outcome as the lines that the command prints."""
    return (
        f"a gateway serves at {outcome.address}, in front of {outcome.servers} stub scan servers\n"
        f"request: {b' '.join(COMMAND).decode()}\n"
        f"answer: {outcome.answer}, after {outcome.attempts} attempt(s)"
    )
