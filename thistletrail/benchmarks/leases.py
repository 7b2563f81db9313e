"""What dividing budgets costs the steward of a fleet: holders that renew, on one real process."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from thistletrail.benchmarks.work import DIGITS, MOST_US, steward
from thistletrail.leasing.budget_holder import BudgetHolder, Demand
from thistletrail.leasing.budget_state import BudgetLimits
from thistletrail.leasing.client import RenewalConnection
from thistletrail.leasing.config import read_config
from thistletrail.leasing.framing import now_ms, sign
from thistletrail.leasing.journal import begin_history
from thistletrail.leasing.leadership import latest_term, term_folder
from thistletrail.leasing.messages import RenewResponse

RATE, BURST = 15.0, 30  # of a customer's budget: the largest plan of the operators' site
SET = 17  # doors that one customer's requests come through: the middle of the site's large fleets
NEED_SHARE = 0.3  # of the budgets of an ask for which something waits


@dataclass(frozen=True)
class Asked:
    """One play; bytes and microseconds are an ask's."""

    holders: int
    budgets: int  # of one ask
    asks: int
    late: int  # asks that were not made, as the one before was unanswered when they were due
    granted: int
    processor_us: float  # of the steward's process
    p50_us: int
    p99_us: int
    ask_bytes: float
    answer_bytes: float
    log_bytes: float


class Asker:
    """One front door's asks, at fixed times; one that is due while another is out is left out."""

    def __init__(
        self, number: int, budgets: list[str], line: RenewalConnection, secret: bytes, seed: int
    ) -> None:
        self.holder, self.budgets, self.line, self.secret = (
            BudgetHolder(number, 1, SET),
            budgets,
            line,
            secret,
        )
        self.chance = random.Random(f"{seed}/{number}")
        self.asks = self.late = self.granted = self.sent = self.got = 0
        self.took_us: list[int] = []

    async def run(self, rate: float, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + self.chance.random() / rate
        end = loop.time() + seconds
        while due < end:
            await asyncio.sleep(due - loop.time())
            await self.ask()
            due += 1 / rate
            while due < loop.time():
                due, self.late = due + 1 / rate, self.late + 1
        self.line.close()

    async def ask(self) -> None:
        now, began = now_ms(), time.monotonic_ns()
        for name in self.budgets:
            demand, waits = self.chance.randrange(3000), self.chance.random() < NEED_SHARE
            self.holder.set_demand(name, BudgetLimits.from_rate(RATE, BURST), Demand(demand, int(waits)), now)
        body = msgspec.msgpack.encode(self.holder.next_request(now))
        found = (await self.line.call(body, sign(self.secret, body))).body
        answer = msgspec.msgpack.decode(found, type=RenewResponse)
        self.holder.on_response(answer, now_ms())
        self.took_us.append((time.monotonic_ns() - began) // 1000)
        self.asks, self.granted = self.asks + 1, self.granted + len(answer.grants)
        self.sent, self.got = self.sent + len(body), self.got + len(found)


async def play(holders: int, budgets: int, rate: float, seconds: float, seed: int) -> Asked:
    """So many front doors, each with so many customers of its own set's, ask at that rate (a second)."""
    with TemporaryDirectory(prefix="bench-") as name:
        folder = Path(name)
        text = f'doors = {holders}\n[[budgets]]\nname = "quota/*"\nrate = {RATE}\nburst = {BURST}\n'
        (folder / "begin.toml").write_text(text)
        begin_history(folder / "state", read_config(folder / "begin.toml"))
        async with steward(folder, seed, text) as keeper:
            secret = (folder / "secret").read_bytes()
            askers = [
                Asker(
                    number,
                    [f"quota/{number // SET}/{customer}" for customer in range(budgets)],
                    RenewalConnection(keeper.address),
                    secret,
                    seed,
                )
                for number in range(holders)
            ]
            used = keeper.processor_us()
            await asyncio.gather(*(asker.run(rate, seconds) for asker in askers))
            used = keeper.processor_us() - used
        state = folder / "state"
        log = (term_folder(state, latest_term(state)) / "log").stat().st_size
    histogram = HdrHistogram(1, MOST_US, DIGITS)
    for asker in askers:
        for took in asker.took_us:
            histogram.record_value(min(MOST_US, took))
    asks = sum(asker.asks for asker in askers)
    return Asked(
        holders,
        budgets,
        asks,
        sum(asker.late for asker in askers),
        sum(asker.granted for asker in askers),
        used / asks,
        int(histogram.get_value_at_percentile(50)),
        int(histogram.get_value_at_percentile(99)),
        sum(asker.sent for asker in askers) / asks,
        sum(asker.got for asker in askers) / asks,
        log / asks,
    )


def table(found: Asked) -> str:
    return "\n".join(
        [
            f"{found.holders} front doors, {found.budgets} budgets each: {found.asks} asks, "
            f"{found.late} late, "
            f"{found.granted} grants",
            f"the steward: {found.processor_us:.0f} us of processor time an ask, "
            f"{1e6 / found.processor_us:.0f} asks a second of one core",
            f"an answer after {found.p50_us / 1000:.1f} ms (median), {found.p99_us / 1000:.1f} ms (99%)",
            f"bytes: an ask {found.ask_bytes:.0f}, an answer {found.answer_bytes:.0f}, "
            f"log {found.log_bytes:.0f}",
        ]
    )


def as_json(found: Asked) -> dict[str, Any]:
    return asdict(found)
