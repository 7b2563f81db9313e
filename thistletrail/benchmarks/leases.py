"""The cost of budget leases: many holders renew their leases at one lease service process."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from thistletrail.benchmarks.work import MAX_LATENCY_US, SIGNIFICANT_DIGITS, running_lease_service
from thistletrail.leasing.budget_holder import BudgetHolder, Demand
from thistletrail.leasing.budget_state import BudgetLimits
from thistletrail.leasing.client import RenewalConnection
from thistletrail.leasing.config import read_config
from thistletrail.leasing.framing import now_ms, sign
from thistletrail.leasing.journal import begin_history
from thistletrail.leasing.leadership import latest_term, term_folder
from thistletrail.leasing.messages import RenewResponse

RATE, BURST = 15.0, 30  # units a second and units of each budget: the largest plan of the operators' site
GATEWAYS_PER_CUSTOMER = 17  # gateways that share a budget: the middle of the site's large fleets
WAITING_SHARE = 0.3  # share of the budgets in a renewal for whose units a request waits


@dataclass(frozen=True)
class Figures:
    """The figures of one run."""

    holders: int
    budgets: int
    """Budgets in each renewal."""
    renewals: int
    late: int
    """Renewals that were skipped, as the previous one was still unanswered when they were due."""
    granted: int
    cpu_us: float
    """Processor time of the lease service for each renewal, in microseconds."""
    latency_p50_us: int
    """Median latency of a renewal, in microseconds."""
    latency_p99_us: int
    """99th percentile of the latency of a renewal, in microseconds."""
    request_bytes: float
    """Size of a renewal's request, in bytes."""
    response_bytes: float
    """Size of a renewal's response, in bytes."""
    log_bytes: float
    """Growth of the write-ahead log for each renewal, in bytes."""

    def to_json_object(self) -> dict[str, Any]:
        """Return the figures under the keys of the JSON file."""
        return {
            "holders": self.holders,
            "budgets": self.budgets,
            "asks": self.renewals,
            "late": self.late,
            "granted": self.granted,
            "processor_us": self.cpu_us,
            "p50_us": self.latency_p50_us,
            "p99_us": self.latency_p99_us,
            "ask_bytes": self.request_bytes,
            "answer_bytes": self.response_bytes,
            "log_bytes": self.log_bytes,
        }


class RenewingHolder:
    """One gateway's renewals at fixed intervals; one that is due while another is unanswered is skipped."""

    def __init__(
        self, number: int, budgets: list[str], connection: RenewalConnection, secret: bytes, seed: int
    ) -> None:
        self.holder = BudgetHolder(number, 1, GATEWAYS_PER_CUSTOMER)
        self.budgets = budgets
        self.connection = connection
        self.secret = secret
        self.random = random.Random(f"{seed}/{number}")
        self.renewals = self.late = self.granted = self.request_bytes = self.response_bytes = 0
        self.latencies_us: list[int] = []

    async def run(self, rate: float, seconds: float) -> None:
        """Renew all budgets `rate` times a second, for `seconds`."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self.random.random() / rate
        end_s = loop.time() + seconds
        while due_s < end_s:
            await asyncio.sleep(due_s - loop.time())
            await self.renew()
            due_s += 1 / rate
            while due_s < loop.time():
                due_s, self.late = due_s + 1 / rate, self.late + 1
        self.connection.close()

    async def renew(self) -> None:
        """Renew all budgets once, with a random demand for each."""
        now, began_ns = now_ms(), time.monotonic_ns()
        for name in self.budgets:
            demand, waits = self.random.randrange(3000), self.random.random() < WAITING_SHARE
            self.holder.set_demand(name, BudgetLimits.from_rate(RATE, BURST), Demand(demand, int(waits)), now)
        request = msgspec.msgpack.encode(self.holder.next_request(now))
        response = (await self.connection.call(request, sign(self.secret, request))).body
        decoded = msgspec.msgpack.decode(response, type=RenewResponse)
        self.holder.on_response(decoded, now_ms())
        self.latencies_us.append((time.monotonic_ns() - began_ns) // 1000)
        self.renewals += 1
        self.granted += len(decoded.grants)
        self.request_bytes += len(request)
        self.response_bytes += len(response)


async def measure(holders: int, budgets: int, rate: float, seconds: float, seed: int) -> Figures:
    """Run `holders` gateways that each renew `budgets` budgets `rate` times a second.

    Every `GATEWAYS_PER_CUSTOMER` gateways share their budgets.
    """
    with TemporaryDirectory(prefix="bench-") as folder_name:
        folder = Path(folder_name)
        config_text = f'doors = {holders}\n[[budgets]]\nname = "quota/*"\nrate = {RATE}\nburst = {BURST}\n'
        (folder / "begin.toml").write_text(config_text)
        begin_history(folder / "state", read_config(folder / "begin.toml"))
        async with running_lease_service(folder, seed, config_text) as process:
            secret = (folder / "secret").read_bytes()
            renewing = [
                RenewingHolder(
                    number,
                    [f"quota/{number // GATEWAYS_PER_CUSTOMER}/{customer}" for customer in range(budgets)],
                    RenewalConnection(process.address),
                    secret,
                    seed,
                )
                for number in range(holders)
            ]
            used_us = process.processor_us()
            await asyncio.gather(*(holder.run(rate, seconds) for holder in renewing))
            used_us = process.processor_us() - used_us
        data = folder / "state"
        log_bytes = (term_folder(data, latest_term(data)) / "log").stat().st_size
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for holder in renewing:
        for latency_us in holder.latencies_us:
            histogram.record_value(min(MAX_LATENCY_US, latency_us))
    renewals = sum(holder.renewals for holder in renewing)
    return Figures(
        holders=holders,
        budgets=budgets,
        renewals=renewals,
        late=sum(holder.late for holder in renewing),
        granted=sum(holder.granted for holder in renewing),
        cpu_us=used_us / renewals,
        latency_p50_us=int(histogram.get_value_at_percentile(50)),
        latency_p99_us=int(histogram.get_value_at_percentile(99)),
        request_bytes=sum(holder.request_bytes for holder in renewing) / renewals,
        response_bytes=sum(holder.response_bytes for holder in renewing) / renewals,
        log_bytes=log_bytes / renewals,
    )


def format_table(figures: Figures) -> str:
    """Return the figures as lines for a reader."""
    return "\n".join(
        [
            f"{figures.holders} gateways, {figures.budgets} budgets each: {figures.renewals} renewals, "
            f"{figures.late} skipped as late, "
            f"{figures.granted} grants",
            f"the lease service: {figures.cpu_us:.0f} us of processor time a renewal, "
            f"{1e6 / figures.cpu_us:.0f} renewals a second of one core",
            f"latency of a renewal: {figures.latency_p50_us / 1000:.1f} ms (median), "
            f"{figures.latency_p99_us / 1000:.1f} ms (99%)",
            f"bytes a renewal: request {figures.request_bytes:.0f}, response {figures.response_bytes:.0f}, "
            f"log {figures.log_bytes:.0f}",
        ]
    )
