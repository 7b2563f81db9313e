"""A self-contained HTML report on runs: requests served and rejected, units beyond quota, load by server."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from thistletrail.simulation.errors import SimulationError

MAX_PLOTTED_CAUSES = 8  # the others are plotted as one sum
STYLE = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse}td{border:1px solid #ccc;padding:.2em .6em}img{max-width:100%}"
)
MAX_LINES = 1_000_000  # a longer file is rejected; a run of the longest scenario writes a few thousand lines


@dataclass
class RecordedRun:
    """A run as read from its file of JSON lines."""

    name: str
    total: dict[str, object]
    seconds: list[dict[str, object]] = field(default_factory=list)
    servers: list[dict[str, object]] = field(default_factory=list)


def read(path: Path) -> RecordedRun:
    """Read the file of a run.

    Raises:
        SimulationError: the file cannot be read or is not that of a complete run; the message names it and,
            for invalid JSON, the line.
    """
    run = RecordedRun(path.stem, {})
    try:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                if number > MAX_LINES:
                    raise SimulationError(f"{path}: more than {MAX_LINES} lines")
                try:
                    value = msgspec.json.decode(line, type=dict[str, object])
                except msgspec.DecodeError as error:
                    raise SimulationError(f"{path}, line {number}: {error}") from error
                kind = value.get("kind")
                if kind == "second":
                    run.seconds.append(value)
                elif kind == "server":
                    run.servers.append(value)
                elif kind == "total":
                    run.total = value
    except OSError as error:
        raise SimulationError(f"{path}: cannot be read: {error.strerror}") from error
    if not run.total or not run.seconds:
        raise SimulationError(f"{path}: not the output of a complete run (or written with --total)")
    return run


def counts_by_cause(run: RecordedRun, key: str) -> dict[str, list[float]]:
    """Return the counts of each cause by second; less frequent causes are summed as `others`."""
    sums: dict[str, float] = defaultdict(float)
    for second in run.seconds:
        for cause, count in second[key].items():
            sums[cause] += count
    largest = sorted(sums, key=lambda cause: (-sums[cause], cause))
    shown, rest = largest[:MAX_PLOTTED_CAUSES], largest[MAX_PLOTTED_CAUSES:]
    rows = {cause: [second[key].get(cause, 0) for second in run.seconds] for cause in shown}
    if rest:
        rows["others"] = [sum(second[key].get(cause, 0) for cause in rest) for second in run.seconds]
    return rows


def plots(run: RecordedRun) -> str:
    """Return the plots of the run as one PNG image in Base64."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(5, 1, figsize=(12, 17), layout="constrained")
    times_s = [second["at"] for second in run.seconds]
    for name in run.total["classes"]:
        shares = [
            earned / offered if offered else None
            for second in run.seconds
            for offered, earned in [second["classes"][name]]
        ]
        axes[0].plot(times_s, shares, marker=".", label=name)
    axes[0].set(title="served, as a share of the value offered", ylim=(0, 1.3), xlabel="second")
    for axis, key, title, unit in (
        (axes[1], "refused", "rejections by cause", "requests a second"),
        (axes[2], "over", "units beyond quota by cause", "units a second"),
        (axes[3], "messages", "peer messages by fate", "messages a second"),
    ):
        if rows := counts_by_cause(run, key):
            axis.stackplot(times_s, list(rows.values()), labels=list(rows))
        axis.set(title=title, ylabel=unit, xlabel="second")
    zones = sorted({server["zone"] for server in run.servers})
    ordered = sorted(run.servers, key=lambda server: (server["zone"], -server["served"]))
    for zone in zones:
        bars = [(index, server["served"]) for index, server in enumerate(ordered) if server["zone"] == zone]
        axes[4].bar(
            [index for index, _ in bars], [served for _, served in bars], width=1.0, label=f"zone {zone}"
        )
    axes[4].set(
        title="load by server, the most loaded of each zone first", ylabel="requests served", xlabel="server"
    )
    for axis in axes:
        if axis.get_legend_handles_labels()[0]:
            axis.legend(fontsize="small", loc="upper left", bbox_to_anchor=(1.0, 1.0))  # outside the plot
        axis.grid(alpha=0.3)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=80, metadata={"Software": None})
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()


def table_rows(values: dict[str, object], total: float) -> str:
    """Return HTML rows of cause, value and share of the total, the largest value first."""
    return "".join(
        f"<tr><td>{html.escape(str(cause))}</td><td>{count:.4g}</td>"
        f"<td>{count / total if total else 0:.1%}</td></tr>"
        for cause, count in sorted(values.items(), key=lambda item: -item[1])
    )


def section(run: RecordedRun) -> str:
    """Return the section of the report about one run, as HTML."""
    total = run.total
    figures = {
        "G": total["g"],
        "whole run": total["whole"],
        "worst 10 s": total["worst_10s"],
        **{f"plan {name}": share for name, share in total["plans"].items()},
        **{f"class {name}": share for name, share in total["classes"].items()},
        **{f"price: {name}": price for name, price in total["prices"].items()},
    }
    fragments = [
        f"<h2>{html.escape(run.name)}: {html.escape(str(total['scenario']))}, seed {total['seed']}</h2>",
        "<table>",
        *(f"<tr><td>{html.escape(name)}</td><td>{value:.4f}</td></tr>" for name, value in figures.items()),
        "</table>",
    ]
    broken = total["broken"]
    fragments.append(
        f"<p>{'No rule was broken.' if not broken else 'Broken rules: ' + html.escape(str(broken))}</p>"
    )
    for title, key, reference in (
        ("Losses of value by cause, net", "lost", total["offered"]),
        ("Rejections by cause", "refused", total["ends"].get("refused", 0)),
        ("Units beyond quota by cause", "over", total["units_beyond"]),
    ):
        fragments.append(f"<h3>{title}</h3><table>{table_rows(total[key], reference)}</table>")
    fragments.append(f'<img alt="plots of {html.escape(run.name)}" src="data:image/png;base64,{plots(run)}">')
    return "\n".join(fragments)


def write(runs: list[RecordedRun], out: Path) -> None:
    """Write the report of these runs, in the order given, as one self-contained file.

    Raises:
        SimulationError: the file cannot be written.
    """
    text = "\n".join(
        [
            "<!doctype html>",
            '<html lang="en"><meta charset="utf-8">',
            f"<title>Simulation runs</title><style>{STYLE}</style>",
            "<h1>Simulation runs</h1>",
            *map(section, runs),
            "</html>\n",
        ]
    )
    try:
        out.write_text(text)
    except OSError as error:
        raise SimulationError(f"{out}: cannot be written: {error.strerror}") from error
