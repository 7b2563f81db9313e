"""A self-contained HTML report of runs: plots of outcomes, connections and messages, with faults shaded."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path

from thistletrail.fault_injection.checks import FAULT_AFTERMATH_US, RunHistory
from thistletrail.fault_injection.errors import FaultInjectionError
from thistletrail.fault_injection.figures import count_by_second, load_start_us, operations_in_quota
from thistletrail.fault_injection.runs import Run, figure_table
from thistletrail.simulation.clock import S
from thistletrail.simulation.report import STYLE

MAX_LISTED_VIOLATIONS = 50  # all violations are counted
COLOURS = {"up": "#8c8", "down": "#d66", "paused": "#dc7"}


def fault_spans(history: RunHistory, length_s: float) -> list[tuple[float, float, str]]:
    """Return start, end and kind of each fault; times are seconds from the load's start."""
    start_us = load_start_us(history)
    ends_s = {record["number"]: (record["at"] - start_us) / S for record in history.records_by_kind["undone"]}
    return [
        ((record["at"] - start_us) / S, ends_s.get(record["number"], length_s), record["fault"])
        for record in history.records_by_kind["fault"]
    ]


def gateway_spans(history: RunHistory, length_s: float) -> list[list[tuple[float, float, str]]]:
    """Return for each gateway the spans in which it was down or paused: start, end and state.

    Times are seconds from the load's start.
    """
    start_us = load_start_us(history)
    spans_by_gateway = []
    for gateway in range(history.plan.fleet.doors):
        spans = []
        for state, state_spans in (("down", history.down_spans), ("paused", history.paused_spans)):
            for begin_us, end_us in state_spans.spans.get(f"doors-{gateway}", ()):
                spans.append(
                    (
                        max(0.0, (begin_us - start_us) / S),
                        min(length_s, (end_us - FAULT_AFTERMATH_US - start_us) / S),
                        state,
                    )
                )
        spans_by_gateway.append([span for span in spans if span[0] < span[1]])
    return spans_by_gateway


def plot_base64(run: Run) -> str:
    """Plot a run, and return the PNG in base64."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    run_history, length_s = run.history, run.plan.fleet.length_s
    start_us, seconds = load_start_us(run_history), range(int(length_s) + 1)
    figure, axes = pyplot.subplots(5, 1, figsize=(10, 17), sharex=True, layout="constrained")
    for name, history in (("with faults", run_history), ("baseline run without faults", run.baseline)):
        if history is None:
            continue
        served, requested = [0.0] * len(seconds), [0.0] * len(seconds)
        for at_us, worth, in_time in operations_in_quota(history):
            if 0 <= at_us // S < len(seconds):
                requested[at_us // S] += worth
                served[at_us // S] += worth * in_time
        shares = [
            in_time / total if total else None for in_time, total in zip(served, requested, strict=True)
        ]
        axes[0].plot(seconds, shares, marker=".", label=name)
    axes[0].set(
        title="worth served in time, as a share of the worth requested inside the quotas", ylim=(0, 1.05)
    )
    for outcome in ("refused", "failed", "unreached", "gone"):
        records = [record for record in run_history.records_by_kind["end"] if record["how"] == outcome]
        axes[1].plot(seconds, count_by_second(records, start_us, length_s), label=outcome)
    axes[1].set(title="requests that were not served, by outcome", ylabel="requests a second")
    for link in ("clients-doors", "doors-servers", "doors-list", "doors-follower", "servers-list"):
        records = [record for record in run_history.records_by_kind["open"] if record["link"] == link]
        axes[2].plot(seconds, count_by_second(records, start_us, length_s), label=link)
    axes[2].set(title="connections opened, by link", ylabel="connections a second")
    for fate in ("passed", "lost"):
        records = [record for record in run_history.records_by_kind["words"] if record["fate"] == fate]
        axes[3].plot(seconds, count_by_second(records, start_us, length_s), label=fate)
    axes[3].set(title="quota messages between gateways", ylabel="datagrams a second")
    for gateway, spans in enumerate(gateway_spans(run_history, length_s)):
        axes[4].broken_barh([(0, length_s)], (gateway - 0.4, 0.8), color=COLOURS["up"])
        for begin, end, kind in spans:
            axes[4].broken_barh([(begin, end - begin)], (gateway - 0.4, 0.8), color=COLOURS[kind])
    axes[4].set(
        title="gateways: serving (green), down (red), paused (yellow)",
        ylabel="gateway",
        xlabel="seconds from the start of the load",
        xlim=(0, length_s),
    )
    for axis in axes:
        for begin, end, _ in fault_spans(run_history, length_s):
            axis.axvspan(begin, max(end, begin + 0.05), alpha=0.12, color="#a00")
        if axis.get_legend_handles_labels()[0]:
            axis.legend(fontsize="small", loc="upper left", bbox_to_anchor=(1.0, 1.0))
        axis.grid(alpha=0.3)
    for begin, _, kind in fault_spans(run_history, length_s):
        axes[0].annotate(kind, (begin, 0.02), rotation=90, fontsize="small")
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=80, metadata={"Software": None})
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()


def run_section(name: str, run: Run) -> str:
    """Return the section of a run in HTML: its figures, its violations and its plots."""
    cells = figure_table([("value", [run.figures.as_json()])])[1:]
    lines = [
        f"<h2>{html.escape(name)}: {html.escape(run.plan.name)}, seed {run.seed}</h2>",
        "<table>",
        *(f"<tr><td>{html.escape(figure)}</td><td>{html.escape(value)}</td></tr>" for figure, value in cells),
        "</table>",
    ]
    if run.violations:
        start_us = load_start_us(run.history)
        lines.append(f"<h3>{len(run.violations)} violations of rules</h3><table>")
        lines += [
            f"<tr><td>{(violation.at_us - start_us) / S:.2f} s</td><td>{html.escape(violation.rule)}</td>"
            f"<td>{html.escape(violation.text)}</td></tr>"
            for violation in run.violations[:MAX_LISTED_VIOLATIONS]
        ]
        lines.append("</table>")
    else:
        lines.append("<p>Rules kept.</p>")
    lines.append(f'<img alt="plots of {html.escape(name)}" src="data:image/png;base64,{plot_base64(run)}">')
    return "\n".join(lines)


def write_report(runs: list[tuple[str, Run]], out: Path) -> None:
    """Write the report of these runs as one self-contained file.

    Raises FaultInjectionError if the file cannot be written.
    """
    page = "\n".join(
        [
            "<!doctype html>",
            '<html lang="en"><meta charset="utf-8">',
            f"<title>Runs of real processes</title><style>{STYLE}</style>",
            "<h1>Runs of real processes</h1>",
            *(run_section(name, run) for name, run in runs),
            "</html>\n",
        ]
    )
    try:
        out.write_text(page)
    except OSError as error:
        raise FaultInjectionError(f"{out}: {error.strerror}") from error
