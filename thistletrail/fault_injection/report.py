"""One self-contained HTML of runs: faults as bands over what was served, refused, failed, opened, said."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path

from thistletrail.fault_injection.checks import RunHistory
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.figures import by_second, points, start_us
from thistletrail.fault_injection.runs import Run, rows
from thistletrail.simulation.clock import S
from thistletrail.simulation.report import STYLE

MOST_LISTED = 50  # violations that are shown; all are counted
COLOURS = {"up": "#8c8", "down": "#d66", "paused": "#dc7"}


def bands(seen: RunHistory, length_s: float) -> list[tuple[float, float, str]]:
    """Each fault, from and to in seconds of the load."""
    start = start_us(seen)
    ends = {record["number"]: (record["at"] - start) / S for record in seen.by["undone"]}
    return [
        ((record["at"] - start) / S, ends.get(record["number"], length_s), record["fault"])
        for record in seen.by["fault"]
    ]


def states(seen: RunHistory, length_s: float) -> list[list[tuple[float, float, str]]]:
    """Each door's spans of being down or paused, in seconds of the load."""
    start = start_us(seen)
    found = []
    for door in range(seen.plan.fleet.doors):
        spans = []
        for kind, of in (("down", seen.down), ("paused", seen.paused)):
            for begin, end in of.spans.get(f"doors-{door}", ()):
                spans.append((max(0.0, (begin - start) / S), min(length_s, (end - S - start) / S), kind))
        found.append([span for span in spans if span[0] < span[1]])
    return found


def plots(run: Run) -> str:
    """The run's plots as one PNG in base64."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seen, length = run.seen, run.plan.fleet.length_s
    start, seconds = start_us(seen), range(int(length) + 1)
    figure, axes = pyplot.subplots(5, 1, figsize=(10, 17), sharex=True, layout="constrained")
    for name, of in (("with the faults", seen), ("without", run.calm)):
        if of is None:
            continue
        served, asked = [0.0] * len(seconds), [0.0] * len(seconds)
        for at, worth, in_time in points(of):
            if 0 <= at // S < len(seconds):
                asked[at // S] += worth
                served[at // S] += worth * in_time
        shares = [one / all_ if all_ else None for one, all_ in zip(served, asked, strict=True)]
        axes[0].plot(seconds, shares, marker=".", label=name)
    axes[0].set(title="served in time, as a share of the worth asked inside the quotas", ylim=(0, 1.05))
    for how in ("refused", "failed", "unreached", "gone"):
        kept = [record for record in seen.by["end"] if record["how"] == how]
        axes[1].plot(seconds, by_second(kept, start, length), label=how)
    axes[1].set(title="other ends of requests", ylabel="a second")
    for link in ("clients-doors", "doors-servers", "doors-list", "doors-follower", "servers-list"):
        kept = [record for record in seen.by["open"] if record["link"] == link]
        axes[2].plot(seconds, by_second(kept, start, length), label=link)
    axes[2].set(title="connections opened", ylabel="a second")
    for fate in ("passed", "lost"):
        kept = [record for record in seen.by["words"] if record["fate"] == fate]
        axes[3].plot(seconds, by_second(kept, start, length), label=fate)
    axes[3].set(title="datagrams between doors", ylabel="a second")
    for door, spans in enumerate(states(seen, length)):
        axes[4].broken_barh([(0, length)], (door - 0.4, 0.8), color=COLOURS["up"])
        for begin, end, kind in spans:
            axes[4].broken_barh([(begin, end - begin)], (door - 0.4, 0.8), color=COLOURS[kind])
    axes[4].set(
        title="doors: serving, down (red), paused (yellow)", ylabel="door", xlabel="second", xlim=(0, length)
    )
    for axis in axes:
        for begin, end, _ in bands(seen, length):
            axis.axvspan(begin, max(end, begin + 0.05), alpha=0.12, color="#a00")
        if axis.get_legend_handles_labels()[0]:
            axis.legend(fontsize="small", loc="upper left", bbox_to_anchor=(1.0, 1.0))
        axis.grid(alpha=0.3)
    for begin, _, kind in bands(seen, length):
        axes[0].annotate(kind, (begin, 0.02), rotation=90, fontsize="small")
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=80, metadata={"Software": None})
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()


def section(name: str, run: Run) -> str:
    cells = rows([("value", [run.figures.as_json()])])[1:]
    parts = [
        f"<h2>{html.escape(name)}: {html.escape(run.plan.name)}, seed {run.seed}</h2>",
        "<table>",
        *(f"<tr><td>{html.escape(figure)}</td><td>{html.escape(value)}</td></tr>" for figure, value in cells),
        "</table>",
    ]
    if run.violations:
        start = start_us(run.seen)
        parts.append(f"<h3>{len(run.violations)} broken rules</h3><table>")
        parts += [
            f"<tr><td>{(one.at_us - start) / S:.2f} s</td><td>{html.escape(one.rule)}</td>"
            f"<td>{html.escape(one.text)}</td></tr>"
            for one in run.violations[:MOST_LISTED]
        ]
        parts.append("</table>")
    else:
        parts.append("<p>Rules kept.</p>")
    parts.append(f'<img alt="plots of {html.escape(name)}" src="data:image/png;base64,{plots(run)}">')
    return "\n".join(parts)


def write(runs: list[tuple[str, Run]], out: Path) -> None:
    """The report of these runs, as one file that needs no other."""
    page = "\n".join(
        [
            "<!doctype html>",
            '<html lang="en"><meta charset="utf-8">',
            f"<title>Runs of real processes</title><style>{STYLE}</style>",
            "<h1>Runs of real processes</h1>",
            *(section(*one) for one in runs),
            "</html>\n",
        ]
    )
    try:
        out.write_text(page)
    except OSError as error:
        raise FaultInjectionError(f"{out}: {error.strerror}") from error
