"""Random scenarios, looked through for one that breaks a rule, which is then made as small as it stays so.

Everything follows from the seed: the same seed looks at the same scenarios in the same order.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from thistletrail.simulation.day import play
from thistletrail.simulation.errors import ModelError
from thistletrail.simulation.scenario import Clients, Demand, Net, Scenario, Servers, Trouble, dump
from thistletrail.simulation.streams import Stream
from thistletrail.simulation.troubles import KINDS

MOST_DOORS, MOST_SERVERS, MOST_LENGTH_S, MOST_TROUBLES = 12, 16, 12.0, 4  # small, so that many are played
SHRINKS = 200  # plays that making one scenario smaller may take


@dataclass
class Found:
    """What a search came to."""

    played: int = 0
    kept: list[Path] = field(default_factory=list)


def breaks(scenario: Scenario, seed: int) -> str:
    """The first rule, by name, that a run breaks; nothing where all are kept and all sums hold."""
    try:
        day = play(scenario, seed)
    except Exception as error:  # a fault of the module or of the model is as good a find as a broken rule
        return f"fault: {type(error).__name__}: {error}"
    wrong = sorted(day.books.violation_counts) + day.books.check()
    return wrong[0] if wrong else ""


def draw(stream: Stream, number: int) -> Scenario:
    """A random scenario, rougher than the operators' ranges but within what the pages describe."""
    zones = 1 + stream.below(3)
    length = round(stream.between(4, MOST_LENGTH_S), 1)
    doors = 1 + stream.below(MOST_DOORS)
    kinds = sorted(KINDS)
    troubles = tuple(
        Trouble(
            kind=stream.pick(kinds),
            at_s=round(stream.uniform() * length * 0.7, 1),
            for_s=round(stream.between(0.2, 6), 1),
            part=round(stream.uniform(), 2),
            size=round(stream.between(0.05, 3), 2),
            zone=stream.below(zones),
        )
        for _ in range(stream.below(MOST_TROUBLES + 1))
    )
    low = round(stream.between(0.2, 1.1), 2)
    return Scenario(
        name=f"found-{number}",
        doors=doors,
        length_s=length,
        stretch=round(stream.between(0.8, 2), 2),
        servers=Servers(
            count=1 + stream.below(MOST_SERVERS),
            connections=8 + stream.below(200),
            drops_cancelled=stream.chance(0.5),
            drops_expired=stream.chance(0.5),
        ),
        net=Net(zones=zones, peer_loss=(0, round(stream.uniform() * 0.5, 2))),
        clients=Clients(retries=stream.below(4)),
        demand=Demand(load=(low, low)),
        troubles=troubles,
    )


def smaller(scenario: Scenario) -> Iterator[Scenario]:
    """Scenarios with a little less of something, the largest steps first."""
    for number in range(len(scenario.troubles)):
        rest = scenario.troubles[:number] + scenario.troubles[number + 1 :]
        yield msgspec.structs.replace(scenario, troubles=rest)
    for half in (scenario.doors // 2, scenario.doors - 1):
        if 1 <= half < scenario.doors:
            yield msgspec.structs.replace(scenario, doors=half)
    for half in (scenario.servers.count // 2, scenario.servers.count - 1):
        if 1 <= half < scenario.servers.count:
            servers = msgspec.structs.replace(scenario.servers, count=half)
            yield msgspec.structs.replace(scenario, servers=servers)
    shorter = round(scenario.length_s * 0.7, 1)
    if shorter >= 1 and all(trouble.at_s <= shorter for trouble in scenario.troubles):
        yield msgspec.structs.replace(scenario, length_s=shorter)
    if scenario.net.zones > 1 and all(trouble.zone < scenario.net.zones - 1 for trouble in scenario.troubles):
        net = msgspec.structs.replace(scenario.net, zones=scenario.net.zones - 1)
        yield msgspec.structs.replace(scenario, net=net)
    plain = {
        "servers": Servers(count=scenario.servers.count),
        "net": Net(zones=scenario.net.zones),
        "clients": Clients(),
        "demand": Demand(),
        "stretch": 1.0,
    }
    for key, value in plain.items():
        if getattr(scenario, key) != value:
            yield msgspec.structs.replace(scenario, **{key: value})


def shrink(
    scenario: Scenario,
    seed: int,
    rule: str,
    broken: Callable[[Scenario, int], str] = breaks,
    most: int = SHRINKS,
) -> Scenario:
    """The smallest scenario found that still breaks that rule under that seed."""
    plays = 0
    again = True
    while again and plays < most:
        again = False
        for candidate in smaller(scenario):
            plays += 1
            if broken(candidate, seed) == rule:
                scenario, again = candidate, True
                break
            if plays >= most:
                break
    return scenario


def look(
    seed: int,
    folder: Path,
    seconds: float,
    count: int | None,
    say: Callable[[str], None],
    broken: Callable[[Scenario, int], str] = breaks,
) -> Found:
    """Play random scenarios for so long, or so many of them; keep what breaks a rule, made small."""
    stream, found = Stream(seed, "search"), Found()
    ends = time.monotonic() + seconds
    while found.played < count if count is not None else time.monotonic() < ends:
        scenario, play_seed = draw(stream, found.played), stream.below(1 << 20)
        rule = broken(scenario, play_seed)
        found.played += 1
        if not rule:
            continue
        say(f"{scenario.name}, seed {play_seed}: {rule}")
        small = shrink(scenario, play_seed, rule, broken)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / f"{small.name}.toml"
            path.write_text(f"# seed {play_seed}: {rule}\n{dump(small)}")
        except OSError as error:
            raise ModelError(f"{folder}: {error.strerror}") from error
        found.kept.append(path)
    return found
