"""The burn report as one HTML page that contains its plot."""

import html
import io
import time

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure
from rich.console import Console

from godwitmast.burn.budget import DEFAULT_GOAL, RULES, Tally
from godwitmast.burn.report import Report
from godwitmast.burn.tables import format_duration, print_report

COLOURS = ("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#e69f00", "#555555")
"""Okabe and Ito's palette, which colour-blind readers can tell apart."""

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report</title>
<style>
body {{ font: 16px/1.4 system-ui, sans-serif; margin: 2rem auto; max-width: 64rem; }}
.calm {{ background: #e6f4ea; }} .fires {{ background: #fce8e6; }}
.calm, .fires {{ padding: .7rem 1rem; font-size: 1.25rem; border-radius: .4rem; }}
pre {{ overflow-x: auto; font-size: 13px; }} svg {{ width: 100%; height: auto; }}
</style></head><body>
<h1>Burn report, {when}</h1>
<p class="{mood}">{headline}</p>
{svg}
<pre>{tables}</pre>
</body></html>
"""


def render_page(report: Report) -> str:
    """Return a page that refers to no other file."""
    when = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(report.at))
    return PAGE.format(
        when=when,
        mood="fires" if report.alerts else "calm",
        headline=html.escape(headline(report)),
        svg=render_svg(report),
        tables=html.escape(render_tables(report)),
    )


def headline(report: Report) -> str:
    """Return the summary for a person on call: the alerts, or the worst-served team."""
    if report.alerts:
        return "; ".join(
            f"{a.severity.upper()}: {a.class_name} burns {a.burn:.1f} times too fast "
            f"over {format_duration(a.long_s)}"
            for a in report.alerts
        )
    worst = report.worst
    if worst is None:
        return "No burn alert fires."
    return (
        f"No burn alert fires. Worst served: {worst.team}, {worst.class_name}, "
        f"{worst.tally.attainment or 0:.1%} of {worst.tally.total:.0f} requests met."
    )


def render_tables(report: Report) -> str:
    console = Console(file=io.StringIO(), width=120, record=True)
    print_report(report, console)
    return console.export_text()


def render_svg(report: Report) -> str:
    figure = draw(report)
    FigureCanvasSVG(figure)
    output = io.StringIO()
    figure.savefig(output, format="svg", metadata={"Date": None})
    text = output.getvalue()
    return text[text.index("<svg") :]


def render_png(report: Report) -> bytes:
    figure = draw(report)
    FigureCanvasAgg(figure)
    output = io.BytesIO()
    figure.savefig(output, format="png", dpi=110)
    return output.getvalue()


def draw(report: Report) -> Figure:
    """Return a figure of attainment over time and of burn rates by window."""
    figure = Figure(figsize=(10, 6.4), layout="constrained")
    above, below = figure.subplots(2, 1)
    names = list(report.windows[-1].classes)
    for number, name in enumerate(names):
        colour = COLOURS[number % len(COLOURS)]
        points = [(at, seen[name]) for at, seen in report.history if name in seen]
        minutes = [(at - report.at) / 60 for at, _ in points]
        shares = [100 * share for _, share in points]
        above.plot(minutes, shares, color=colour, marker=".", label=name)
        goal = 100 * report.goals.get(name, DEFAULT_GOAL)
        above.axhline(goal, color=colour, linewidth=0.8, linestyle=":")
    above.set_ylabel("met targets, %")
    above.set_xlabel("minutes before the report")
    above.set_ylim(top=101)
    above.grid(alpha=0.3)
    if names:
        above.legend(loc="lower left")
    width = 0.8 / max(1, len(names))
    for number, name in enumerate(names):
        goal = report.goals.get(name, DEFAULT_GOAL)
        burns = [
            w.classes.get(name, Tally()).burn_rate(goal) or 0.0 for w in report.windows
        ]
        places = [n + number * width for n in range(len(burns))]
        colour = COLOURS[number % len(COLOURS)]
        bars = below.bar(places, burns, width, color=colour)
        below.bar_label(bars, fmt="%.1f", fontsize=7)
    for rule in RULES:
        below.axhline(rule.burn, color="#999999", linewidth=0.8, linestyle="--")
        text = f"{rule.severity} at {rule.burn:g}"
        place = below.get_yaxis_transform()
        below.text(0.995, rule.burn, text, transform=place, ha="right", fontsize=7)
    below.set_xticks([n + 0.4 - width / 2 for n in range(len(report.windows))])
    below.set_xticklabels([format_duration(w.window_s) for w in report.windows])
    below.set_ylabel("error-budget burn rate")
    below.set_xlabel("window")
    return figure
