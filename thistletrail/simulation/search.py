"""Searches random scenarios for those that break a rule, and reduces each to a small one that still does.

The search is deterministic: the same seed plays the same scenarios in the same order.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from thistletrail.simulation.errors import SimulationError
from thistletrail.simulation.faults import KINDS
from thistletrail.simulation.run import play
from thistletrail.simulation.scenario import Clients, Demand, Net, Scenario, ScenarioFault, Servers, dump
from thistletrail.simulation.streams import Stream

# The scenarios are small, so that many of them can be played.
MAX_GATEWAYS = 12
MAX_SERVERS = 16
MAX_LENGTH_S = 12.0
MAX_FAULTS = 4
MAX_SHRINK_RUNS = 200  # runs to shrink one scenario
MAX_PLAY_SEED = 1 << 20


@dataclass
class SearchResult:
    """How many scenarios a search played, and the files of those that broke a rule."""

    played: int = 0
    saved: list[Path] = field(default_factory=list)


def first_broken_rule(scenario: Scenario, seed: int) -> str:
    """Return the first broken rule, in alphabetical order, or else the first wrong sum of the accounting.

    An exception in the policy or in the simulation counts as a broken rule too. The result is empty if
    nothing is wrong.
    """
    try:
        run = play(scenario, seed)
    except Exception as error:
        return f"fault: {type(error).__name__}: {error}"
    broken = sorted(run.accounting.violation_counts) + run.accounting.check()
    return broken[0] if broken else ""


def random_scenario(stream: Stream, number: int) -> Scenario:
    """Return a random scenario, with ranges wider than the site's and within the operators' description."""
    zones = 1 + stream.integer_below(3)
    length_s = round(stream.uniform_between(4, MAX_LENGTH_S), 1)
    gateway_count = 1 + stream.integer_below(MAX_GATEWAYS)
    kinds = sorted(KINDS)
    faults = tuple(
        ScenarioFault(
            kind=stream.choice(kinds),
            at_s=round(stream.uniform() * length_s * 0.7, 1),
            for_s=round(stream.uniform_between(0.2, 6), 1),
            part=round(stream.uniform(), 2),
            size=round(stream.uniform_between(0.05, 3), 2),
            zone=stream.integer_below(zones),
        )
        for _ in range(stream.integer_below(MAX_FAULTS + 1))
    )
    load = round(stream.uniform_between(0.2, 1.1), 2)
    return Scenario(
        name=f"found-{number}",
        doors=gateway_count,
        length_s=length_s,
        stretch=round(stream.uniform_between(0.8, 2), 2),
        servers=Servers(
            count=1 + stream.integer_below(MAX_SERVERS),
            connections=8 + stream.integer_below(200),
            drops_cancelled=stream.chance(0.5),
            drops_expired=stream.chance(0.5),
        ),
        net=Net(zones=zones, peer_loss=(0, round(stream.uniform() * 0.5, 2))),
        clients=Clients(retries=stream.integer_below(4)),
        demand=Demand(load=(load, load)),
        troubles=faults,
    )


def smaller_scenarios(scenario: Scenario) -> Iterator[Scenario]:
    """Yield scenarios with one property reduced in each, larger reductions before smaller ones."""
    for index in range(len(scenario.troubles)):
        remaining = scenario.troubles[:index] + scenario.troubles[index + 1 :]
        yield msgspec.structs.replace(scenario, troubles=remaining)
    for count in (scenario.doors // 2, scenario.doors - 1):
        if 1 <= count < scenario.doors:
            yield msgspec.structs.replace(scenario, doors=count)
    for count in (scenario.servers.count // 2, scenario.servers.count - 1):
        if 1 <= count < scenario.servers.count:
            servers = msgspec.structs.replace(scenario.servers, count=count)
            yield msgspec.structs.replace(scenario, servers=servers)
    shorter_s = round(scenario.length_s * 0.7, 1)
    if shorter_s >= 1 and all(fault.at_s <= shorter_s for fault in scenario.troubles):
        yield msgspec.structs.replace(scenario, length_s=shorter_s)
    if scenario.net.zones > 1 and all(fault.zone < scenario.net.zones - 1 for fault in scenario.troubles):
        net = msgspec.structs.replace(scenario.net, zones=scenario.net.zones - 1)
        yield msgspec.structs.replace(scenario, net=net)
    defaults = {
        "servers": Servers(count=scenario.servers.count),
        "net": Net(zones=scenario.net.zones),
        "clients": Clients(),
        "demand": Demand(),
        "stretch": 1.0,
    }
    for key, value in defaults.items():
        if getattr(scenario, key) != value:
            yield msgspec.structs.replace(scenario, **{key: value})


def shrink(
    scenario: Scenario,
    seed: int,
    rule: str,
    broken_rule: Callable[[Scenario, int], str] = first_broken_rule,
    max_runs: int = MAX_SHRINK_RUNS,
) -> Scenario:
    """Return the smallest scenario found that still breaks the rule with this seed."""
    runs = 0
    is_smaller = True
    while is_smaller and runs < max_runs:
        is_smaller = False
        for candidate in smaller_scenarios(scenario):
            runs += 1
            if broken_rule(candidate, seed) == rule:
                scenario, is_smaller = candidate, True
                break
            if runs >= max_runs:
                break
    return scenario


def search(
    seed: int,
    folder: Path,
    seconds: float,
    count: int | None,
    report: Callable[[str], None],
    broken_rule: Callable[[Scenario, int], str] = first_broken_rule,
) -> SearchResult:
    """Play `count` random scenarios; if `count` is None, as many as can begin within `seconds`.

    Each scenario that breaks a rule is reported, shrunk and saved in the folder.

    Raises:
        SimulationError: a file cannot be written.
    """
    stream, result = Stream(seed, "search"), SearchResult()
    end = time.monotonic() + seconds
    while result.played < count if count is not None else time.monotonic() < end:
        scenario, play_seed = random_scenario(stream, result.played), stream.integer_below(MAX_PLAY_SEED)
        rule = broken_rule(scenario, play_seed)
        result.played += 1
        if not rule:
            continue
        report(f"{scenario.name}, seed {play_seed}: {rule}")
        shrunk = shrink(scenario, play_seed, rule, broken_rule)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / f"{shrunk.name}.toml"
            path.write_text(f"# seed {play_seed}: {rule}\n{dump(shrunk)}")
        except OSError as error:
            raise SimulationError(f"{folder}: cannot be written: {error.strerror}") from error
        result.saved.append(path)
    return result
